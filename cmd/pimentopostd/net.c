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
  CONNS_MAX = 1024,      /* open connections and known peers, at most */
  OUT_MAX = 4 << 20,     /* bytes that may wait on one connection */
  RECONNECT_DELAY = 100, /* ms between attempts to connect to a peer */
  PEER_TIMEOUT = 1000,   /* ms without an answer or acknowledgement */
  CHECK_INTERVAL = 50,   /* ms between checks for silent peers */
  EVENTS_MAX = 64        /* of one epoll_wait */
};

typedef struct
{
  int64_t id; /* 0: free */
  int fd;
  char address[ADDRESS_MAX]; /* of a peer to connect to, else empty */
  msec_t last_attempt;       /* time of the last attempt to connect */
  msec_t request_at;         /* of the oldest unanswered request, -1: none */
  buf_t in;
  buf_t out;
  bool writing; /* waits until the socket can be written */
} conn_t;

struct net
{
  int listener;
  int poll;
  ring_t *in;
  ring_t *out;
  conn_t conn[CONNS_MAX];
  int64_t next_id;
  msec_t last_check;
  atomic_bool stopping;
  counter_t *dropped;
  counter_t *bytes_in;
  counter_t *bytes_out;
};

static void
watch_conn (net_t *n, conn_t *c, int op)
{
  struct epoll_event ev = { .events = EPOLLIN | (c->writing ? EPOLLOUT : 0),
                            .data.u64 = (uint64_t)(c - n->conn) };

  epoll_ctl (n->poll, op, c->fd, &ev);
}

static void
close_conn (conn_t *c)
{
  close (c->fd);
  buf_free (&c->in);
  buf_free (&c->out);
  c->fd = -1;
  c->id = 0;
  c->writing = false;
  c->request_at = -1;
}

/* A free slot, or NULL.  Peers that this side connects to keep theirs, which
   holds the time of the last attempt.  */
static conn_t *
free_slot (net_t *n)
{
  for (int i = 0; i < CONNS_MAX; i++)
    if (n->conn[i].id == 0 && n->conn[i].address[0] == '\0')
      return &n->conn[i];
  return NULL;
}

static void
init_conn (net_t *n, conn_t *c, int fd)
{
  int ms = PEER_TIMEOUT;

  setsockopt (fd, IPPROTO_TCP, TCP_USER_TIMEOUT, &ms, sizeof ms);
  c->id = ++n->next_id;
  c->fd = fd;
  c->request_at = -1;
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
      conn_t *c = free_slot (n);
      if (c == NULL)
        {
          counter_add (n->dropped, 1);
          close (fd);
          continue;
        }
      setsockopt (fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
      init_conn (n, c, fd);
      watch_conn (n, c, EPOLL_CTL_ADD);
    }
}

/* ---- from the network ---- */

static bool
handle_frame (net_t *n, conn_t *c, str_t body)
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
  int found = 0;

  while (k < RPC_MAX_FRAME && (got = rpc_read (c->fd, &c->in, NULL)) > 0)
    k += got;
  if (k < RPC_MAX_FRAME && got < 0 && k == 0)
    return false;
  if (k)
    c->request_at = -1;
  counter_add (n->bytes_in, k);
  while ((found = rpc_frame (&c->in, &body, NULL)) > 0)
    {
      if (!handle_frame (n, c, body))
        return false;
      buf_take (&c->in, body.n + 4);
    }
  return found == 0;
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
      watch_conn (n, c, EPOLL_CTL_MOD);
    }
  return true;
}

static conn_t *
conn_by_id (net_t *n, int64_t id)
{
  for (int i = 0; i < CONNS_MAX; i++)
    if (n->conn[i].id == id)
      return &n->conn[i];
  return NULL;
}

/* The connection to the peer at ADDRESS, which is opened if there is none;
   NULL if that fails or was tried less than RECONNECT_DELAY ms ago.  */
static conn_t *
peer_conn (net_t *n, const char *address, msec_t now)
{
  conn_t *c = NULL;

  for (int i = 0; i < CONNS_MAX && c == NULL; i++)
    if (strcmp (n->conn[i].address, address) == 0)
      c = &n->conn[i];
  if (c && c->id)
    return c;
  if (c == NULL && (c = free_slot (n)) != NULL)
    {
      snprintf (c->address, sizeof c->address, "%s", address);
      c->last_attempt = now - RECONNECT_DELAY;
    }
  if (c == NULL || now - c->last_attempt < RECONNECT_DELAY)
    return NULL;
  c->last_attempt = now;
  int fd = rpc_connect (str_of (address), NULL);
  if (fd < 0)
    return NULL;
  init_conn (n, c, fd);
  c->writing = true;
  watch_conn (n, c, EPOLL_CTL_ADD);
  return c;
}

static void
send_outbound (net_t *n, outbound_t *o, msec_t now)
{
  conn_t *c
      = o->conn ? conn_by_id (n, o->conn) : peer_conn (n, o->address, now);

  if (c && buf_len (&c->out) + buf_len (&o->frame) <= OUT_MAX)
    {
      buf_adds (&c->out, buf_str (&o->frame));
      if (o->expects_answer && c->request_at < 0)
        c->request_at = now;
      if (!c->writing && !write_out (n, c))
        close_conn (c);
    }
  else
    counter_add (n->dropped, 1);
  buf_free (&o->frame);
  free (o);
}

/* Closes connections on which an answer is overdue.  A peer that is stopped or
   whose packets are lost does not close them; a new connection may work.  */
static void
close_silent (net_t *n, msec_t now)
{
  for (int i = 0; i < CONNS_MAX; i++)
    {
      conn_t *c = &n->conn[i];
      if (c->id == 0 || c->request_at < 0
          || now - c->request_at <= PEER_TIMEOUT)
        continue;
      log_event (EV_PEER_SILENT, "address=%s", c->address);
      close_conn (c);
    }
}

/* ---- loop ---- */

static void
handle_event (net_t *n, const struct epoll_event *ev)
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
    close_conn (c);
}

enum
{
  EVENT_LISTENER = CONNS_MAX,
  EVENT_RING
};

static bool
run (void *arg, err_t *e)
{
  net_t *n = arg;
  struct epoll_event ev[EVENTS_MAX];
  outbound_t *o;

  while (!atomic_load (&n->stopping))
    {
      int k = epoll_wait (n->poll, ev, EVENTS_MAX, CHECK_INTERVAL);
      if (k < 0 && errno != EINTR)
        return err_sys (e, "network", "epoll_wait");
      for (int i = 0; i < k; i++)
        if (ev[i].data.u64 == EVENT_LISTENER)
          accept_all (n);
        else if (ev[i].data.u64 != EVENT_RING)
          handle_event (n, &ev[i]);
      msec_t now = msec_now ();
      while ((o = ring_get (n->out, 0)) != NULL)
        send_outbound (n, o, now);
      if (now - n->last_check >= CHECK_INTERVAL)
        {
          close_silent (n, now);
          n->last_check = now;
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

  for (int i = 0; i < CONNS_MAX; i++)
    if (n->conn[i].id)
      close_conn (&n->conn[i]);
  close (n->listener);
  close (n->poll);
  return APR_SUCCESS;
}

net_t *
net_new (apr_pool_t *pool, str_t address, ring_t *in, ring_t *out, err_t *e)
{
  net_t *n = apr_pcalloc (pool, sizeof *n);
  struct epoll_event l = { .events = EPOLLIN, .data.u64 = EVENT_LISTENER };
  struct epoll_event r = { .events = EPOLLIN, .data.u64 = EVENT_RING };

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
