#include "sim.h"
#include "rpc.h"

#include <errno.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <stdlib.h>
#include <sys/epoll.h>
#include <sys/socket.h>
#include <unistd.h>

enum
{
  EVENTS = 64,
  IDLE_MS = 20,         /* longest time between two ticks */
  WAIT_INPUT = 64 << 10 /* bytes read ahead of a waiting session */
};

static bool
cut_off (const conn_t *c)
{
  return c->sim->cut
         && (c->kind == K_REPLICA || c->kind == K_UPSTREAM
             || (c->kind == K_PG && c->control));
}

bool
conn_muted (const conn_t *c)
{
  return c->silent || (!c->fault && (c->sim->frozen || cut_off (c)));
}

int
conn_count (const sim_t *s)
{
  int n = 0;

  for (const conn_t *c = s->conns; c; c = c->next)
    n += c->kind == K_PG && !c->gone && !c->fault;
  return n;
}

conn_t *
conn_add (sim_t *s, int fd, ckind_t kind)
{
  conn_t *c = calloc (1, sizeof *c);

  if (c == NULL)
    abort ();
  *c = (conn_t){ .next = s->conns, .sim = s, .fd = fd, .kind = kind };
  c->tx = 'I';
  apr_pool_create (&c->pool, s->pool);
  s->conns = c;
  return c;
}

void
conn_close (conn_t *c)
{
  if (c->gone)
    return;
  c->gone = true;
  if (c->wait == W_SERVICE)
    stmt_cancel (c);
  c->wait = W_NONE;
  if (c->kind == K_PG)
    tx_end (c, false);
  close (c->fd);
}

static void
conn_free (conn_t *c)
{
  sim_t *s = c->sim;

  if (s->up == c)
    repl_stop_upstream (s);
  if (s->ann == c)
    s->ann = NULL;
  prep_clear (&c->prepared);
  prep_clear (&c->portals);
  prep_clear (&c->settings);
  buf_free (&c->in);
  buf_free (&c->out);
  apr_pool_destroy (c->pool);
  free (c);
}

static void
sweep (sim_t *s)
{
  conn_t **p = &s->conns;

  while (*p)
    {
      conn_t *c = *p;
      if (c->gone)
        {
          *p = c->next;
          conn_free (c);
        }
      else
        p = &c->next;
    }
}

static void
accept_all (sim_t *s)
{
  int one = 1;
  int fd;

  while ((fd = accept4 (s->listener, NULL, NULL, SOCK_NONBLOCK | SOCK_CLOEXEC))
         >= 0)
    {
      setsockopt (fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
      conn_add (s, fd, K_NEW);
    }
}

static void
input (conn_t *c)
{
  err_t e;

  if (rpc_read (c->fd, &c->in, &e) < 0)
    c->eof = true;
  if (c->kind == K_UPSTREAM || c->kind == K_REPLICA)
    repl_input (c);
  else if (c->kind == K_ANNOUNCE)
    announce_input (c);
  else
    sess_input (c);
}

static unsigned
wanted (const conn_t *c)
{
  unsigned ev = 0;
  bool full = c->wait != W_NONE && buf_len (&c->in) > WAIT_INPUT;

  if ((!conn_muted (c) || (c->kind == K_NEW && !c->silent)) && !c->eof
      && !full)
    ev |= EPOLLIN;
  if (!conn_muted (c) && buf_len (&c->out))
    ev |= EPOLLOUT;
  return ev;
}

static void
flush (conn_t *c)
{
  err_t e;

  if (!conn_muted (c) && buf_len (&c->out)
      && rpc_write (c->fd, &c->out, &e) < 0)
    {
      buf_free (&c->out);
      c->eof = true;
    }
  if (c->eof && (c->wait == W_NONE || c->wait == W_CONNECT)
      && buf_len (&c->out) == 0 && !conn_muted (c))
    {
      conn_close (c);
      return;
    }
  unsigned ev = wanted (c);
  struct epoll_event e1 = { .events = ev, .data.ptr = c };
  if (ev != c->events)
    epoll_ctl (c->sim->ep,
               c->events == 0 ? EPOLL_CTL_ADD
               : ev == 0      ? EPOLL_CTL_DEL
                              : EPOLL_CTL_MOD,
               c->fd, &e1);
  c->events = ev;
}

/* wake_all: lets waiting sessions go on; again while one may have released a
   lock that another waits for.  */
static void
wake_all (sim_t *s)
{
  bool again = true;

  for (int round = 0; again && round < 8; round++)
    {
      again = false;
      for (conn_t *c = s->conns; c; c = c->next)
        if (c->wait != W_NONE && !c->gone && !conn_muted (c))
          {
            stmt_wake (c);
            again |= c->wait == W_NONE;
          }
    }
}

static int
next_timeout (sim_t *s)
{
  msec_t due = s->now + IDLE_MS;

  for (conn_t *c = s->conns; c; c = c->next)
    if (!conn_muted (c)
        && (c->wait == W_CONNECT || c->wait == W_SERVICE || c->wait == W_LOCK
            || c->wait == W_CONFIRM || c->wait == W_COVER)
        && c->due < due)
      due = c->due;
  msec_t late = repl_due (s);
  if (late && late < due)
    due = late;
  return due > s->now ? (int)(due - s->now) : 0;
}

static void
handle (sim_t *s, const struct epoll_event *ev)
{
  conn_t *c = ev->data.ptr;

  if (c == NULL)
    accept_all (s);
  else if (!c->gone && (ev->events & ~(unsigned)EPOLLOUT))
    input (c);
}

static void
turn (sim_t *s)
{
  if (s->frozen && s->thaw && s->now >= s->thaw)
    {
      s->frozen = false;
      s->thaw = 0;
    }
  if (!s->frozen)
    repl_tick (s);
  announce_tick (s);
  wake_all (s);
  if (!s->frozen)
    repl_tick (s);
  disk_sync (s);
  for (conn_t *c = s->conns; c; c = c->next)
    if (!c->gone)
      flush (c);
  sweep (s);
}

void
sim_run (sim_t *s)
{
  struct epoll_event ev[EVENTS];

  ev[0] = (struct epoll_event){ .events = EPOLLIN };
  epoll_ctl (s->ep, EPOLL_CTL_ADD, s->listener, &ev[0]);
  s->now = msec_now ();
  while (!s->stop)
    {
      int n = epoll_wait (s->ep, ev, EVENTS, next_timeout (s));
      s->now = msec_now ();
      for (int i = 0; i < n; i++)
        handle (s, &ev[i]);
      turn (s);
    }
}
