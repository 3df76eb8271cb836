#include "soak.h"

#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>

/* TCP relays that delay, block, blackhole or reset connections.  */

/* Bytes in transit.  */
typedef struct chunk
{
  struct chunk *next;
  msec_t due;
  size_t n;
  char p[];
} chunk_t;

typedef struct
{
  pair_t *pair;
  stream_t *stream;      /* NULL: closed, or not yet dialled */
  chunk_t *head, **tail; /* to be sent to this side */
  bool peer_closed;      /* the other side has closed */
} side_t;

struct pair
{
  pair_t *next;
  relay_t *relay;
  side_t side[2]; /* 0: the accepted connection, 1: that to the target */
  int fd;
  bool dialled;
  bool blackholed;
};

static void
pair_free (pair_t *p)
{
  pair_t **at = &p->relay->pairs;

  while (*at != p)
    at = &(*at)->next;
  *at = p->next;
  for (int i = 0; i < 2; i++)
    {
      if (p->side[i].stream)
        stream_close (p->side[i].stream);
      while (p->side[i].head)
        {
          chunk_t *c = p->side[i].head;
          p->side[i].head = c->next;
          free (c);
        }
    }
  free (p);
}

static void
on_input (void *arg)
{
  side_t *from = arg;
  pair_t *p = from->pair;
  side_t *to = &p->side[from == &p->side[0]];
  buf_t *in = stream_in (from->stream);
  size_t n = buf_len (in);
  chunk_t *c = malloc (sizeof *c + n);

  if (c == NULL)
    abort ();
  c->next = NULL;
  c->n = n;
  c->due = p->relay->world->now + p->relay->delay;
  memcpy (c->p, in->p + in->off, n);
  buf_take (in, n);
  *to->tail = c;
  to->tail = &c->next;
}

static void
on_closed (void *arg, err_t *e)
{
  side_t *from = arg;
  pair_t *p = from->pair;

  (void)e;
  from->stream = NULL;
  p->side[from == &p->side[0]].peer_closed = true;
}

static const stream_ops_t ops = { NULL, on_input, on_closed };

static void
on_accept (void *arg, uint32_t events)
{
  relay_t *r = arg;
  int fd;

  (void)events;
  while ((fd = accept4 (r->fd, NULL, NULL, SOCK_NONBLOCK | SOCK_CLOEXEC)) >= 0)
    {
      pair_t *p = calloc (1, sizeof *p);
      if (p == NULL)
        abort ();
      p->relay = r;
      p->fd = fd;
      for (int i = 0; i < 2; i++)
        {
          p->side[i].pair = p;
          p->side[i].tail = &p->side[i].head;
        }
      p->side[0].stream
          = stream_accept (r->world->loop, fd, &ops, &p->side[0]);
      p->next = r->pairs;
      r->pairs = p;
    }
}

relay_t *
relay_new (world_t *w, const char *listen, const char *target)
{
  relay_t *r = apr_pcalloc (w->pool, sizeof *r);
  err_t e = { 0 };

  r->world = w;
  snprintf (r->listen, NAME, "%s", listen);
  snprintf (r->target, NAME, "%s", target);
  r->fd = rpc_listen (str_of (listen), &e);
  if (r->fd < 0 || !loop_watch (w->loop, r->fd, on_accept, r, &e))
    {
      fprintf (stderr, "%s: %s\n", listen, e.detail);
      exit (2);
    }
  r->next = w->relays;
  w->relays = r;
  return r;
}

void
relay_reset (relay_t *r)
{
  const struct linger now = { 1, 0 };

  for (pair_t *next, *p = r->pairs; p; p = next)
    {
      next = p->next;
      if (p->side[0].stream)
        setsockopt (p->fd, SOL_SOCKET, SO_LINGER, &now, sizeof now);
      pair_free (p);
    }
}

void
relay_blackhole (relay_t *r)
{
  for (pair_t *p = r->pairs; p; p = p->next)
    p->blackholed = true;
}

/* Sends the chunks that are due.  */
static void
deliver (side_t *to, msec_t now)
{
  while (to->head && to->head->due <= now)
    {
      chunk_t *c = to->head;
      if (to->stream)
        {
          buf_add (stream_out (to->stream), c->p, c->n);
          stream_flush (to->stream);
        }
      to->head = c->next;
      if (to->head == NULL)
        to->tail = &to->head;
      free (c);
    }
}

static void
pair_tick (pair_t *p, msec_t now)
{
  relay_t *r = p->relay;
  err_t e = { 0 };

  if (p->blackholed)
    {
      if (p->side[0].stream == NULL)
        pair_free (p);
      return;
    }
  if (!p->dialled && !r->hold[0])
    {
      p->dialled = true;
      p->side[1].stream = stream_dial (r->world->loop, str_of (r->target),
                                       60000, &ops, &p->side[1], &e);
      p->side[0].peer_closed = p->side[1].stream == NULL;
    }
  if (!r->hold[0] && p->side[1].stream)
    deliver (&p->side[1], now);
  if (!r->hold[1])
    deliver (&p->side[0], now);
  for (int i = 0; i < 2; i++)
    if (p->side[i].peer_closed && !r->hold[!i]
        && (p->side[i].head == NULL || p->side[i].stream == NULL))
      {
        pair_free (p);
        return;
      }
}

void
relay_tick (relay_t *r, msec_t now)
{
  if (r->until && now >= r->until)
    {
      r->until = r->delay = 0;
      r->hold[0] = r->hold[1] = false;
    }
  for (pair_t *next, *p = r->pairs; p; p = next)
    {
      next = p->next;
      pair_tick (p, now);
    }
}
