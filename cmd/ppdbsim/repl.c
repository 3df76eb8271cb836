#include "sim.h"
#include "rpc.h"

#include <arpa/inet.h>
#include <stdlib.h>
#include <string.h>

/* Replication: the replica connects to the client port of its primary and
   sends REPL_CODE in place of a startup message.  Then both send frames: a
   4-byte length and a body whose first byte is the type.
   H replica to primary: name, lowest term accepted, position, history
   S primary to replica: term, owner of the term, history, common position
     after which the records start
   R primary to replica: position, writes of the transaction
   K primary to replica: keepalive
   A replica to primary: term, applied position  */
enum
{
  KEEPALIVE_MS = 50,
  RECEIVE_TIMEOUT_MS = 1000, /* then the connection is closed */
  RETRY_MS = 100             /* between connection attempts */
};

struct pending
{
  pending_t *next;
  msec_t due; /* time at which it is applied */
  ops_t ops;
};

static void
send_frame (conn_t *c, const buf_t *body)
{
  uint32_t n = htonl ((uint32_t)body->n);

  buf_add (&c->out, &n, 4);
  buf_add (&c->out, body->p, body->n);
  c->sent_at = c->sim->now;
}

/* ---- primary ---- */

void
repl_accept (conn_t *c)
{
  c->kind = K_REPLICA;
  c->received_at = c->sim->now;
  repl_input (c);
}

static void
on_hello (conn_t *c, str_t in)
{
  sim_t *s = c->sim;
  str_t name;
  str_t text;
  uint64_t min;
  uint64_t pos;
  terms_t t;
  buf_t b;

  if (!unpack_str (&in, &name) || !unpack_u64 (&in, &min)
      || !unpack_u64 (&in, &pos) || !unpack_str (&in, &text)
      || !terms_parse (text, &t) || !s->primary || sim_term (s) < (int64_t)min)
    {
      conn_close (c);
      return;
    }
  size_t n = name.n < sizeof c->peer - 1 ? name.n : sizeof c->peer - 1;
  /* One connection for each replica, so that none counts twice in the
     majority.  */
  for (conn_t *o = s->conns; o; o = o->next)
    if (o != c && o->kind == K_REPLICA && strlen (o->peer) == n
        && memcmp (o->peer, name.p, n) == 0)
      conn_close (o);
  memcpy (c->peer, name.p, n);
  c->sent_pos = terms_common (&s->terms, s->pos, &t, (int64_t)pos);
  c->ready = true;
  buf_init (&b);
  buf_add (&b, "S", 1);
  pack_u64 (&b, (uint64_t)sim_term (s));
  pack_str (&b, s->term_owner);
  buf_t h;
  buf_init (&h);
  terms_text (&s->terms, &h);
  pack_str (&b, buf_str (&h));
  pack_u64 (&b, (uint64_t)c->sent_pos);
  send_frame (c, &b);
  buf_free (&h);
  buf_free (&b);
}

static void
on_ack (conn_t *c, str_t in)
{
  uint64_t term;
  uint64_t pos;

  if (!unpack_u64 (&in, &term) || !unpack_u64 (&in, &pos))
    return;
  c->ack_term = (int64_t)term;
  c->ack_pos = (int64_t)pos;
  admin_confirmed (c->sim);
}

static void
send_records (conn_t *c)
{
  sim_t *s = c->sim;
  buf_t b;

  buf_init (&b);
  while (c->sent_pos < s->pos && buf_len (&c->out) < OUT_HIGH)
    {
      b.n = 0;
      buf_add (&b, "R", 1);
      pack_u64 (&b, (uint64_t)c->sent_pos + 1);
      pack_ops (&b, &s->log[c->sent_pos++]);
      send_frame (c, &b);
    }
  if (s->now - c->sent_at >= KEEPALIVE_MS)
    {
      b.n = 0;
      buf_add (&b, "K", 1);
      send_frame (c, &b);
    }
  buf_free (&b);
}

/* ---- replica ---- */

static void
send_ack (sim_t *s)
{
  buf_t b;

  if (s->upstream_conn == NULL || !s->upstream_conn->ready)
    return;
  buf_init (&b);
  buf_add (&b, "A", 1);
  pack_u64 (&b, (uint64_t)sim_term (s));
  pack_u64 (&b, (uint64_t)s->pos);
  send_frame (s->upstream_conn, &b);
  buf_free (&b);
}

static int64_t
min_term (const sim_t *s)
{
  int64_t t = sim_term (s);

  t = s->fence > t ? s->fence : t;
  return s->upstream_term > t ? s->upstream_term : t;
}

static void
drop_pending (sim_t *s)
{
  while (s->pending)
    {
      pending_t *l = s->pending;
      s->pending = l->next;
      ops_free (&l->ops);
      free (l);
    }
  s->pending_end = &s->pending;
}

void
repl_stop_upstream (sim_t *s)
{
  if (s->upstream_conn)
    conn_close (s->upstream_conn);
  s->upstream_conn = NULL;
  s->upstream_retry_at = s->now + RETRY_MS;
  drop_pending (s);
}

void
repl_stop_replicas (sim_t *s)
{
  for (conn_t *c = s->conns; c; c = c->next)
    if (c->kind == K_REPLICA)
      conn_close (c);
}

static void
connect_upstream (sim_t *s)
{
  err_t e;
  buf_t b;
  uint32_t head[2] = { htonl (8), htonl (REPL_CODE) };
  int fd = rpc_connect (s->upstream, &e);

  s->upstream_retry_at = s->now + RETRY_MS;
  if (fd < 0)
    return;
  conn_t *c = s->upstream_conn = conn_add (s, fd, K_UPSTREAM);
  c->received_at = s->now;
  buf_add (&c->out, head, sizeof head);
  buf_init (&b);
  buf_add (&b, "H", 1);
  pack_str (&b, s->name);
  pack_u64 (&b, (uint64_t)min_term (s));
  pack_u64 (&b, (uint64_t)s->pos);
  buf_t h;
  buf_init (&h);
  terms_text (&s->terms, &h);
  pack_str (&b, buf_str (&h));
  send_frame (c, &b);
  buf_free (&h);
  buf_free (&b);
}

static void
adopt_history (sim_t *s, const terms_t *t, int64_t start, str_t owner)
{
  if (start < s->pos)
    {
      log_event (EV_SIM_TRUNCATED, "name=" STR_FMT " from=%lld to=%lld",
                 STR_ARG (s->name), (long long)s->pos, (long long)start);
      store_truncate (s, start);
      disk_truncate (s, start);
    }
  s->terms = *t;
  heap_free (&s->term_owner);
  s->term_owner = heap_dup (owner);
  disk_state (s);
}

static void
on_start (conn_t *c, str_t in)
{
  sim_t *s = c->sim;
  uint64_t term;
  uint64_t start;
  str_t owner;
  str_t text;
  terms_t t;

  if (!unpack_u64 (&in, &term) || !unpack_str (&in, &owner)
      || !unpack_str (&in, &text) || !unpack_u64 (&in, &start)
      || !terms_parse (text, &t) || (int64_t)term < min_term (s)
      || (int64_t)start > s->pos
      || ((int64_t)term == s->fence && s->owner.n
          && !str_eq (owner, s->owner)))
    {
      repl_stop_upstream (s);
      return;
    }
  adopt_history (s, &t, (int64_t)start, owner);
  c->ready = true;
  log_event (EV_SIM_UPSTREAM,
             "name=" STR_FMT " from=" STR_FMT " term=%lld position=%lld",
             STR_ARG (s->name), STR_ARG (s->upstream), (long long)term,
             (long long)start);
  send_ack (s);
}

static void
on_record (conn_t *c, str_t in)
{
  sim_t *s = c->sim;
  uint64_t pos;
  pending_t *l = calloc (1, sizeof *l);

  if (l == NULL)
    abort ();
  if (!unpack_u64 (&in, &pos) || !unpack_ops (&in, &l->ops))
    {
      free (l);
      repl_stop_upstream (s);
      return;
    }
  l->due = s->now + s->lag;
  *s->pending_end = l;
  s->pending_end = &l->next;
  c->sent_at = 0;
}

static void
apply_pending (sim_t *s)
{
  bool any = false;

  while (s->pending && s->pending->due <= s->now)
    {
      pending_t *l = s->pending;
      s->pending = l->next;
      if (s->pending == NULL)
        s->pending_end = &s->pending;
      disk_record (s, &l->ops);
      store_append (s, &l->ops);
      free (l);
      any = true;
    }
  if (any)
    send_ack (s);
}

msec_t
repl_due (const sim_t *s)
{
  return s->pending ? s->pending->due : 0;
}

/* ---- frames ---- */

static void
on_frame (conn_t *c, str_t in)
{
  char type = in.n ? in.p[0] : 0;

  if (in.n == 0)
    return;
  in.p++;
  in.n--;
  c->received_at = c->sim->now;
  if (c->kind == K_UPSTREAM)
    c->sim->upstream_received_at = c->sim->now;
  if (c->kind == K_REPLICA && type == 'H')
    on_hello (c, in);
  else if (c->kind == K_REPLICA && type == 'A')
    on_ack (c, in);
  else if (c->kind == K_UPSTREAM && type == 'S')
    on_start (c, in);
  else if (c->kind == K_UPSTREAM && type == 'R' && c->ready)
    on_record (c, in);
  else if (c->kind == K_UPSTREAM && type == 'K')
    send_ack (c->sim);
}

void
repl_input (conn_t *c)
{
  uint32_t n;

  while (!c->closed && buf_len (&c->in) >= 4)
    {
      memcpy (&n, c->in.p + c->in.off, 4);
      n = ntohl (n);
      if (n > IN_MAX)
        {
          conn_close (c);
          return;
        }
      if (buf_len (&c->in) < 4 + (size_t)n)
        return;
      on_frame (c, (str_t){ c->in.p + c->in.off + 4, n });
      buf_take (&c->in, 4 + (size_t)n);
    }
}

void
repl_tick (sim_t *s)
{
  apply_pending (s);
  if (s->upstream_conn
      && (s->upstream_conn->closed
          || (!s->partitioned
              && s->now - s->upstream_conn->received_at > RECEIVE_TIMEOUT_MS)))
    {
      log_event (EV_SIM_UPSTREAM_LOST, "name=" STR_FMT, STR_ARG (s->name));
      repl_stop_upstream (s);
    }
  if (!s->primary && s->upstream_conn == NULL && s->upstream.n
      && !s->partitioned && s->now >= s->upstream_retry_at
      && s->upstream_term >= s->fence)
    connect_upstream (s);
  for (conn_t *c = s->conns; c; c = c->next)
    if (c->kind == K_REPLICA && !c->closed && c->ready && !conn_suspended (c))
      {
        send_records (c);
        if (s->now - c->received_at > RECEIVE_TIMEOUT_MS)
          conn_close (c);
      }
}
