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
  TICK_MS = 20,             /* longest wait in epoll */
  WAIT_INPUT_MAX = 64 << 10 /* bytes buffered from a waiting session */
};

static bool
is_partitioned (const conn_t *c)
{
  return c->sim->partitioned
         && (c->kind == K_REPLICA || c->kind == K_UPSTREAM
             || (c->kind == K_PG && c->control));
}

bool
conn_suspended (const conn_t *c)
{
  return c->silent
         || (!c->fault_exempt && (c->sim->frozen || is_partitioned (c)));
}

int
conn_count (const sim_t *s)
{
  int n = 0;

  for (const conn_t *c = s->conns; c; c = c->next)
    n += c->kind == K_PG && !c->closed && !c->fault_exempt;
  return n;
}

conn_t *
conn_add (sim_t *s, int fd, conn_kind_t kind)
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
  if (c->closed)
    return;
  c->closed = true;
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

  if (s->upstream_conn == c)
    repl_stop_upstream (s);
  if (s->announce_conn == c)
    s->announce_conn = NULL;
  prep_clear (&c->prepared);
  prep_clear (&c->portals);
  prep_clear (&c->settings);
  buf_free (&c->in);
  buf_free (&c->out);
  apr_pool_destroy (c->pool);
  free (c);
}

static void
free_closed (sim_t *s)
{
  conn_t **p = &s->conns;

  while (*p)
    {
      conn_t *c = *p;
      if (c->closed)
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
wanted_events (const conn_t *c)
{
  unsigned ev = 0;
  bool full = c->wait != W_NONE && buf_len (&c->in) > WAIT_INPUT_MAX;

  if ((!conn_suspended (c) || (c->kind == K_NEW && !c->silent)) && !c->eof
      && !full)
    ev |= EPOLLIN;
  if (!conn_suspended (c) && buf_len (&c->out))
    ev |= EPOLLOUT;
  return ev;
}

static void
flush (conn_t *c)
{
  err_t e;

  if (!conn_suspended (c) && buf_len (&c->out)
      && rpc_write (c->fd, &c->out, &e) < 0)
    {
      buf_free (&c->out);
      c->eof = true;
    }
  if (c->eof && (c->wait == W_NONE || c->wait == W_CONNECT)
      && buf_len (&c->out) == 0 && !conn_suspended (c))
    {
      conn_close (c);
      return;
    }
  unsigned ev = wanted_events (c);
  struct epoll_event e1 = { .events = ev, .data.ptr = c };
  if (ev != c->events)
    epoll_ctl (c->sim->ep,
               c->events == 0 ? EPOLL_CTL_ADD
               : ev == 0      ? EPOLL_CTL_DEL
                              : EPOLL_CTL_MOD,
               c->fd, &e1);
  c->events = ev;
}

/* wake_all: resumes waiting sessions; repeated, up to a bound, since a resumed
   session may release a lock that another waits for.  */
static void
wake_all (sim_t *s)
{
  bool again = true;

  for (int round = 0; again && round < 8; round++)
    {
      again = false;
      for (conn_t *c = s->conns; c; c = c->next)
        if (c->wait != W_NONE && !c->closed && !conn_suspended (c))
          {
            stmt_wake (c);
            again |= c->wait == W_NONE;
          }
    }
}

static int
next_timeout (sim_t *s)
{
  msec_t due = s->now + TICK_MS;

  for (conn_t *c = s->conns; c; c = c->next)
    if (!conn_suspended (c)
        && (c->wait == W_CONNECT || c->wait == W_SERVICE || c->wait == W_LOCK
            || c->wait == W_CONFIRM || c->wait == W_POSITION)
        && c->due < due)
      due = c->due;
  msec_t apply_at = repl_due (s);
  if (apply_at && apply_at < due)
    due = apply_at;
  return due > s->now ? (int)(due - s->now) : 0;
}

static void
handle (sim_t *s, const struct epoll_event *ev)
{
  conn_t *c = ev->data.ptr;

  if (c == NULL)
    accept_all (s);
  else if (!c->closed && (ev->events & ~(unsigned)EPOLLOUT))
    input (c);
}

static void
loop_step (sim_t *s)
{
  if (s->frozen && s->frozen_until && s->now >= s->frozen_until)
    {
      s->frozen = false;
      s->frozen_until = 0;
    }
  if (!s->frozen)
    repl_tick (s);
  announce_tick (s);
  wake_all (s);
  if (!s->frozen)
    repl_tick (s);
  disk_sync (s);
  for (conn_t *c = s->conns; c; c = c->next)
    if (!c->closed)
      flush (c);
  free_closed (s);
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
      loop_step (s);
    }
}
