#include "duties.h"

#include <errno.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <stdatomic.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/epoll.h>
#include <sys/socket.h>
#include <unistd.h>

enum
{
  CONNS = 1024,      /* connections at a time */
  OUT_MAX = 4 << 20, /* bytes waiting on one connection */
  REDIAL = 100,      /* ms between attempts to reach a peer */
  SILENCE = 1000,    /* ms without the answer that a peer owes */
  LOOK = 50,         /* ms between looks at silent peers */
  EVENTS = 64
};

typedef struct
{
  int64_t id; /* 0: free */
  int fd;
  char address[ADDRESS_MAX]; /* of a peer that this side dialled */
  msec_t dialled;
  msec_t asked; /* oldest question without an answer, -1 for none */
  buf_t in;
  buf_t out;
  bool writing; /* waits for room */
} conn_t;

struct net
{
  int listener;
  int poll;
  ring_t *in;
  ring_t *out;
  conn_t conn[CONNS];
  int64_t next_id;
  msec_t looked;
  atomic_bool stopping;
  counter_t *dropped;
  counter_t *bytes_in;
  counter_t *bytes_out;
};

static void
watch (net_t *n, conn_t *c, int op)
{
  struct epoll_event ev = { .events = EPOLLIN | (c->writing ? EPOLLOUT : 0),
                            .data.u64 = (uint64_t)(c - n->conn) };

  epoll_ctl (n->poll, op, c->fd, &ev);
}

static void
hang_up (conn_t *c)
{
  close (c->fd);
  buf_free (&c->in);
  buf_free (&c->out);
  c->fd = -1;
  c->id = 0;
  c->writing = false;
  c->asked = -1;
}

/* A place for a connection.  Peers that were dialled keep theirs, so that the
   time of the last attempt is known.  */
static conn_t *
place (net_t *n)
{
  for (int i = 0; i < CONNS; i++)
    if (n->conn[i].id == 0 && n->conn[i].address[0] == '\0')
      return &n->conn[i];
  return NULL;
}

static void
begin (net_t *n, conn_t *c, int fd)
{
  int ms = SILENCE;

  setsockopt (fd, IPPROTO_TCP, TCP_USER_TIMEOUT, &ms, sizeof ms);
  c->id = ++n->next_id;
  c->fd = fd;
  c->asked = -1;
  c->writing = false;
  buf_init (&c->in);
  buf_init (&c->out);
}

static void
accept_all (net_t *n)
{
  int one = 1;

  for (;;)
    {
      int fd = accept4 (n->listener, NULL, NULL, SOCK_NONBLOCK | SOCK_CLOEXEC);
      if (fd < 0)
        return;
      conn_t *c = place (n);
      if (c == NULL)
        {
          counter_add (n->dropped, 1);
          close (fd);
          continue;
        }
      setsockopt (fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
      begin (n, c, fd);
      watch (n, c, EPOLL_CTL_ADD);
    }
}

/* ---- from the network ---- */

static bool
take_frame (net_t *n, conn_t *c, str_t body)
{
  apr_pool_t *pool;
  err_t e = { 0 };
  char line[256];

  if (apr_pool_create (&pool, NULL))
    return false;
  inbound_t *m = apr_pcalloc (pool, sizeof *m);
  m->pool = pool;
  m->conn = c->id;
  m->msg = rpc_decode (pool, body, &m->type, &e);
  if (m->msg == NULL)
    {
      err_line (&e, line, sizeof line);
      log_event (EV_FRAME_REFUSED, "cause=%s", line);
      apr_pool_destroy (pool);
      return false;
    }
  if (!ring_put (n->in, m, NULL))
    {
      counter_add (n->dropped, 1);
      apr_pool_destroy (pool);
    }
  return true;
}

static bool
read_frames (net_t *n, conn_t *c)
{
  str_t body;
  long got, k = 0;
  int whole = 0;

  while (k < RPC_MAX_FRAME && (got = rpc_read (c->fd, &c->in, NULL)) > 0)
    k += got;
  if (k < RPC_MAX_FRAME && got < 0 && k == 0)
    return false;
  if (k)
    c->asked = -1;
  counter_add (n->bytes_in, k);
  while ((whole = rpc_frame (&c->in, &body, NULL)) > 0)
    {
      if (!take_frame (n, c, body))
        return false;
      buf_take (&c->in, body.n + 4);
    }
  return whole == 0;
}

/* ---- to the network ---- */

static bool
write_out (net_t *n, conn_t *c)
{
  size_t before = buf_len (&c->out);
  long left = rpc_write (c->fd, &c->out, NULL);

  if (left < 0)
    return false;
  counter_add (n->bytes_out, (int64_t)before - left);
  if (c->writing != (left > 0))
    {
      c->writing = left > 0;
      watch (n, c, EPOLL_CTL_MOD);
    }
  return true;
}

static conn_t *
by_id (net_t *n, int64_t id)
{
  for (int i = 0; i < CONNS; i++)
    if (n->conn[i].id == id)
      return &n->conn[i];
  return NULL;
}

/* The connection to the peer at ADDRESS, opened when there is none.  */
static conn_t *
by_address (net_t *n, const char *address, msec_t now)
{
  conn_t *c = NULL;

  for (int i = 0; i < CONNS && c == NULL; i++)
    if (strcmp (n->conn[i].address, address) == 0)
      c = &n->conn[i];
  if (c && c->id)
    return c;
  if (c == NULL && (c = place (n)) != NULL)
    {
      snprintf (c->address, sizeof c->address, "%s", address);
      c->dialled = now - REDIAL;
    }
  if (c == NULL || now - c->dialled < REDIAL)
    return NULL;
  c->dialled = now;
  int fd = rpc_connect (str_of (address), NULL);
  if (fd < 0)
    return NULL;
  begin (n, c, fd);
  c->writing = true;
  watch (n, c, EPOLL_CTL_ADD);
  return c;
}

static void
send_one (net_t *n, outbound_t *o, msec_t now)
{
  conn_t *c = o->conn ? by_id (n, o->conn) : by_address (n, o->address, now);

  if (c && buf_len (&c->out) + buf_len (&o->frame) <= OUT_MAX)
    {
      buf_adds (&c->out, buf_str (&o->frame));
      if (o->asks && c->asked < 0)
        c->asked = now;
      if (!c->writing && !write_out (n, c))
        hang_up (c);
    }
  else
    counter_add (n->dropped, 1);
  buf_free (&o->frame);
  free (o);
}

/* A peer that is stopped or behind a silent connection keeps the connection
   open; a new one may work.  */
static void
drop_silent (net_t *n, msec_t now)
{
  for (int i = 0; i < CONNS; i++)
    {
      conn_t *c = &n->conn[i];
      if (c->id == 0 || c->asked < 0 || now - c->asked <= SILENCE)
        continue;
      log_event (EV_PEER_SILENT, "address=%s", c->address);
      hang_up (c);
    }
}

/* ---- loop ---- */

static void
handle (net_t *n, const struct epoll_event *ev)
{
  conn_t *c = &n->conn[ev->data.u64];

  if (c->id == 0)
    return;
  bool ok
      = (ev->events & (EPOLLERR | EPOLLHUP)) == 0 || (ev->events & EPOLLIN);
  if (ok && (ev->events & EPOLLOUT))
    ok = write_out (n, c);
  if (ok && (ev->events & EPOLLIN))
    ok = read_frames (n, c);
  if (!ok)
    hang_up (c);
}

enum
{
  ON_LISTENER = CONNS,
  ON_RING
};

static bool
run (void *arg, err_t *e)
{
  net_t *n = arg;
  struct epoll_event ev[EVENTS];
  outbound_t *o;

  while (!atomic_load (&n->stopping))
    {
      int k = epoll_wait (n->poll, ev, EVENTS, LOOK);
      if (k < 0 && errno != EINTR)
        return err_sys (e, "network", "epoll_wait");
      for (int i = 0; i < k; i++)
        if (ev[i].data.u64 == ON_LISTENER)
          accept_all (n);
        else if (ev[i].data.u64 != ON_RING)
          handle (n, &ev[i]);
      msec_t now = msec_now ();
      while ((o = ring_get (n->out, 0)) != NULL)
        send_one (n, o, now);
      if (now - n->looked >= LOOK)
        {
          drop_silent (n, now);
          n->looked = now;
        }
    }
  return true;
}

static void
stop (void *arg)
{
  atomic_store (&((net_t *)arg)->stopping, true);
}

static apr_status_t
net_free (void *arg)
{
  net_t *n = arg;

  for (int i = 0; i < CONNS; i++)
    if (n->conn[i].id)
      hang_up (&n->conn[i]);
  close (n->listener);
  close (n->poll);
  return APR_SUCCESS;
}

net_t *
net_new (apr_pool_t *pool, str_t address, ring_t *in, ring_t *out, err_t *e)
{
  net_t *n = apr_pcalloc (pool, sizeof *n);
  struct epoll_event l = { .events = EPOLLIN, .data.u64 = ON_LISTENER };
  struct epoll_event r = { .events = EPOLLIN, .data.u64 = ON_RING };

  n->in = in;
  n->out = out;
  n->dropped = counter_get ("pimentopost_control_dropped_total",
                            "messages and connections dropped");
  n->bytes_in
      = counter_get ("pimentopost_control_read_bytes_total", "bytes read");
  n->bytes_out = counter_get ("pimentopost_control_written_bytes_total",
                              "bytes written");
  n->listener = rpc_listen (address, e);
  if (n->listener < 0)
    return NULL;
  n->poll = epoll_create1 (EPOLL_CLOEXEC);
  apr_pool_cleanup_register (pool, n, net_free, apr_pool_cleanup_null);
  epoll_ctl (n->poll, EPOLL_CTL_ADD, n->listener, &l);
  epoll_ctl (n->poll, EPOLL_CTL_ADD, ring_fd (out), &r);
  return n;
}

duty_t
net_duty (net_t *n)
{
  return (duty_t){ "network", run, stop, n };
}
