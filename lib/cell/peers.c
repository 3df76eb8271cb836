#include "local.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>

static void remote_open (void *arg);
static void remote_input (void *arg);
static void remote_closed (void *arg, err_t *e);
static const stream_ops_t remote_ops
    = { remote_open, remote_input, remote_closed };

static remote_t *
remote_new (cell_t *c)
{
  remote_t *r = calloc (1, sizeof *r);

  if (r == NULL)
    abort ();
  r->cell = c;
  r->request_at = -1;
  r->roster_sent = r->endpoints_sent = -1;
  r->roster_known = -1;
  r->next = c->remotes;
  c->remotes = r;
  return r;
}

static void
remote_free (remote_t *r)
{
  cell_t *c = r->cell;
  remote_t **at = &c->remotes;

  if (c->sender == r)
    c->sender = NULL;
  while (*at != r)
    at = &(*at)->next;
  *at = r->next;
  free (r);
}

/* The entry of a connection that this side opened stays: it holds the time of
   the last attempt.  */
static void
drop (remote_t *r)
{
  if (r->cell->sender == r)
    r->cell->sender = NULL;
  r->stream = NULL;
  r->request_at = -1;
  r->unconfirmed = false;
  r->roster_sent = r->endpoints_sent = -1;
  if (r->accepted)
    remote_free (r);
}

static void
disconnect (remote_t *r)
{
  stream_close (r->stream);
  drop (r);
}

static void
remote_open (void *arg)
{
  (void)arg;
}

static void
remote_closed (void *arg, err_t *e)
{
  (void)e;
  drop (arg);
}

static void
remote_input (void *arg)
{
  remote_t *r = arg;
  cell_t *c = r->cell;
  str_t body;
  err_t e = { 0 };
  char line[256];
  int got = 0;

  c->now = loop_now (c->loop);
  r->request_at = -1;
  while ((got = rpc_frame (stream_in (r->stream), &body, &e)) > 0)
    {
      apr_pool_t *pool;
      msgtype_t type;
      apr_pool_create (&pool, c->pool);
      void *msg = rpc_decode (pool, body, &type, &e);
      c->sender = r;
      if (msg)
        cell_message (c, r, type, msg);
      bool gone = c->sender == NULL;
      c->sender = NULL;
      apr_pool_destroy (pool);
      if (gone)
        return;
      buf_take (stream_in (r->stream), body.n + 4);
      if (msg == NULL)
        {
          got = -1;
          break;
        }
    }
  if (got < 0)
    {
      err_line (&e, line, sizeof line);
      log_event (EV_FRAME_REFUSED, "cause=%s", line);
      disconnect (r);
    }
}

static void
accept_peers (void *arg, uint32_t events)
{
  cell_t *c = arg;

  (void)events;
  for (;;)
    {
      int fd = accept4 (c->listener, NULL, NULL, SOCK_NONBLOCK | SOCK_CLOEXEC);
      if (fd < 0)
        return;
      remote_t *r = remote_new (c);
      r->accepted = true;
      r->stream = stream_accept (c->loop, fd, &remote_ops, r);
    }
}

bool
peers_listen (cell_t *c, err_t *e)
{
  c->listener = rpc_listen (c->conf.listen, e);
  return c->listener >= 0
         && loop_watch (c->loop, c->listener, accept_peers, c, e);
}

remote_t *
peers_connect (cell_t *c, str_t address)
{
  err_t e = { 0 };
  remote_t *r = c->remotes;

  while (r && !str_eq (str_of (r->address), address))
    r = r->next;
  if (r == NULL)
    {
      if (!address_check (address, "address", &e))
        return NULL;
      r = remote_new (c);
      str_copy (r->address, sizeof r->address, address);
      r->dialled_at = c->now - REDIAL_INTERVAL;
    }
  if (r->stream == NULL && c->now - r->dialled_at >= REDIAL_INTERVAL)
    {
      r->dialled_at = c->now;
      r->stream
          = stream_dial (c->loop, address, PEER_TIMEOUT, &remote_ops, r, &e);
    }
  return r->stream && buf_len (stream_out (r->stream)) <= PEER_OUT_MAX ? r
                                                                       : NULL;
}

void
peers_send (cell_t *c, str_t address, msgtype_t type, const void *msg,
            bool request)
{
  remote_t *r = peers_connect (c, address);

  if (r == NULL)
    return;
  rpc_encode (stream_out (r->stream), type, msg);
  stream_flush (r->stream);
  if (request && r->request_at < 0)
    r->request_at = c->now;
}

void
peers_check (cell_t *c, remote_t *r)
{
  hello_t m = { .id = raft_id (c->raft),
                .name = c->conf.name,
                .address = c->conf.address,
                .zone = c->conf.zone };

  if (r->request_at >= 0 || c->now - r->checked_at < CHECK_INTERVAL)
    return;
  r->unconfirmed = false;
  r->checked_at = r->request_at = c->now;
  rpc_encode (stream_out (r->stream), MSG_HELLO, &m);
  stream_flush (r->stream);
}

void
peers_reply (cell_t *c, remote_t *to, msgtype_t type, const void *msg)
{
  (void)c;
  if (to == NULL || to->stream == NULL)
    return;
  rpc_encode (stream_out (to->stream), type, msg);
  stream_flush (to->stream);
}

/* A stopped peer, or a broken path, leaves the connection open without a
   response; a new connection may work.  */
void
peers_expire (cell_t *c)
{
  remote_t *next;

  for (remote_t *r = c->remotes; r; r = next)
    {
      next = r->next;
      if (r->stream == NULL || r->accepted)
        continue;
      bool dialling = !stream_connected (r->stream);
      if ((dialling && c->now - r->dialled_at > DIAL_TIMEOUT)
          || (!dialling && r->request_at >= 0
              && c->now - r->request_at > PEER_TIMEOUT))
        {
          log_event (EV_PEER_SILENT, "address=%s", r->address);
          disconnect (r);
        }
    }
}
