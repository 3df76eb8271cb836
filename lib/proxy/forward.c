#include "local.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* Forwards the statements of a session to another instance of the availability
   zone, which owns connections to the service's databases.  The session's
   settings, prepared statements and position are kept here as well, so that
   the session can continue at any instance when that one fails.  */

static void peer_open (void *arg);
static void peer_input (void *arg);
static void peer_closed (void *arg, err_t *e);
static const stream_ops_t peer_ops = { peer_open, peer_input, peer_closed };

enum
{
  ANSWER_SLACK = 300, /* ms beyond the route's limit until an owner that does
                         not answer counts as failed */
  ANSWER_KEEP = 64 << 10, /* bytes of the buffer of an idle session's answers;
                             a larger one is freed */
  DIAL_TIMEOUT = 150,     /* ms to connect to an owner in the same zone */
  PEER_ACK_TIMEOUT = 500, /* ms without a TCP acknowledgement: machine down */
};

/* ---- sending ---- */

bool
forward_needed (session_t *s, const op_t *op)
{
  proxy_t *p = s->proxy;
  const route_entry_t *r;
  service_t *v;

  if (s->forward)
    return true;
  if (s->from_peer || !s->started || s->tx != TX_NONE
      || (op->kind != OP_BEGIN && op->kind != OP_BEGIN_READ
          && op->kind != OP_READ && op->kind != OP_WRITE
          && op->kind != OP_EXECUTE))
    return false;
  r = route_find (p, s->host);
  if (r == NULL)
    return false;
  v = service_get (p, r->service);
  if (service_may_connect (p, v)
      && (s->tenant == NULL || !service_has_owners (p, v)))
    return false;
  const endpoint_entry_t *x = endpoint_pick_owner (p, v, s->tenant);
  return x && !endpoint_is_own (p, x);
}

/* Sends the session's state; the answers to it are counted and dropped.  */
static void
send_state (session_t *s, forward_t *f)
{
  const db_codec_t *c = s->proxy->conf.db;
  buf_t *out = stream_out (f->stream);
  char pos[64];
  op_t op = { .kind = OP_SET, .id = STR ("0") };

  snprintf (pos, sizeof pos, "%lld.%lld", (long long)s->last_write.term,
            (long long)s->last_write.number);
  c->startup (out, s->host, str_of (pos),
              s->tenant ? s->tenant->name : (str_t){ 0 });
  for (int i = 0; i < s->values.n; i++)
    {
      op.name = s->values.at[i].name;
      op.arg = s->values.at[i].value;
      c->op (out, &op, (str_t){ 0 }, (pos_t){ 0 });
    }
  op.kind = OP_PREPARE;
  for (int i = 0; i < s->prepared.n; i++)
    {
      str_t key = s->prepared.at[i].value;
      op.name = s->prepared.at[i].name;
      op.writes = key.p[0] == 'w';
      op.arg = (str_t){ key.p + 1, key.n - 1 };
      c->op (out, &op, (str_t){ 0 }, (pos_t){ 0 });
    }
  f->skip = 1 + s->values.n + s->prepared.n;
}

static bool
forward_open (session_t *s)
{
  proxy_t *p = s->proxy;
  const route_entry_t *r = route_find (p, s->host);
  endpoint_entry_t *x
      = r ? endpoint_pick_owner (p, service_get (p, r->service), s->tenant)
          : NULL;
  forward_t *f = calloc (1, sizeof *f);
  err_t e = { 0 };

  if (f == NULL)
    abort ();
  if (x && limits_may_dial (p))
    f->stream = stream_dial (p->loop, str_of (x->address), PEER_ACK_TIMEOUT,
                             &peer_ops, s, &e);
  if (f->stream == NULL)
    {
      if (x && limits_may_dial (p))
        endpoint_avoid (p, x->address);
      free (f);
      return false;
    }
  memcpy (f->address, x->address, sizeof f->address);
  f->timeout = r->timeout;
  send_state (s, f);
  s->forward = f;
  counter_add (p->forwarded, 1);
  return true;
}

static void
forward_free (session_t *s)
{
  forward_t *f = s->forward;

  s->forward = NULL;
  buf_free (&f->text);
  buf_free (&f->answer);
  free (f);
}

void
forward_end (session_t *s)
{
  if (s->forward == NULL)
    return;
  stream_close (s->forward->stream);
  forward_free (s);
}

static bool
op_writes (session_t *s, const op_t *op)
{
  return op->kind == OP_WRITE
         || (op->kind == OP_EXECUTE && session_executes_write (s, op));
}

bool
forward_op (session_t *s, const op_t *op, str_t raw)
{
  proxy_t *p = s->proxy;
  forward_t *f;

  if (s->forward == NULL && !forward_open (s))
    return false;
  f = s->forward;
  f->active = true;
  f->sent = p->now;
  f->done = false;
  buf_take (&f->text, buf_len (&f->text));
  buf_take (&f->answer, buf_len (&f->answer));
  buf_adds (&f->text, raw);
  buf_adds (stream_out (f->stream), raw);
  stream_flush (f->stream);
  if (s->tx == TX_OPEN && op_writes (s, op))
    s->tx_wrote = true;
  s->last_active = p->now;
  wake_at (p, p->now + (f->up ? f->timeout + ANSWER_SLACK : DIAL_TIMEOUT));
  return true;
}

/* ---- loss of the other instance ---- */

static void
fail_lost_answer (session_t *s, const op_t *op)
{
  if ((s->tx == TX_NONE && op_writes (s, op))
      || (op->kind == OP_COMMIT && s->tx == TX_OPEN && s->tx_wrote))
    {
      session_tx_end (s);
      session_refuse (s, FAIL_INDOUBT, STR ("an instance was lost"));
    }
  else if (op->kind == OP_COMMIT && s->tx == TX_OPEN)
    {
      session_tx_end (s);
      session_refuse (s, FAIL_ABORTED, STR ("an instance was lost"));
    }
  else if (op->kind == OP_ROLLBACK)
    {
      session_tx_end (s);
      session_done (s);
    }
  else
    {
      s->tx = TX_FAILED;
      session_refuse (s, FAIL_ABORTED, STR ("an instance was lost"));
    }
}

/* Continues the session at this instance.  Of statements that may have run at
   the other one, only those without side effects are repeated.  */
static void
forward_disconnected (session_t *s, const char *cause)
{
  proxy_t *p = s->proxy;
  forward_t *f = s->forward;
  bool active = f->active, up = f->up;
  buf_t text = f->text;
  client_msg_t m;
  size_t used;

  buf_init (&f->text);
  log_event (EV_FORWARD_LOST,
             "instance=%s host=" STR_FMT " cause=%s active=%d ms=%lld",
             f->address, STR_ARG (s->host), cause, active,
             active ? (long long)(p->now - f->sent) : 0LL);
  /* One that closes a session between statements has other work to do.  */
  if (active || !up)
    endpoint_avoid (p, f->address);
  if (p->now - p->watch.has_leader_at >= CONTROL_TIMEOUT / 2)
    p->owner_lost_at = p->now;
  forward_free (s);
  if (!active)
    {
      s->tx_lost = s->tx == TX_OPEN;
      buf_free (&text);
      return;
    }
  if (p->conf.client->decode (buf_str (&text), &used, &m) <= 0)
    abort (); /* it was decoded when it was sent */
  if (s->tx == TX_NONE && (!up || !op_writes (s, &m.op)))
    session_run_here (s, &m);
  else if (s->tx == TX_FAILED)
    session_run_here (s, &m);
  else
    {
      fail_lost_answer (s, &m.op);
      session_next (s);
    }
  buf_free (&text);
}

void
forward_give_up (session_t *s)
{
  forward_t *f = s->forward;
  buf_t text = f->text;
  client_msg_t m;
  size_t used;

  buf_init (&f->text);
  forward_end (s);
  if (s->proxy->conf.client->decode (buf_str (&text), &used, &m) <= 0)
    abort (); /* it was decoded when it was sent */
  if (s->tx == TX_NONE && !op_writes (s, &m.op))
    session_refuse (s, FAIL_BUSY, STR ("the instance is stopping"));
  else
    fail_lost_answer (s, &m.op);
  buf_free (&text);
}

static void
peer_open (void *arg)
{
  session_t *s = arg;

  s->forward->up = true;
}

static void
peer_closed (void *arg, err_t *e)
{
  session_t *s = arg;

  s->proxy->now = loop_now (s->proxy->loop);
  forward_disconnected (s, err_name (e->code));
}

static bool
is_first_owner (session_t *s, const char *address)
{
  proxy_t *p = s->proxy;
  const route_entry_t *r = route_find (p, s->host);
  service_t *v = r ? service_get (p, r->service) : NULL;

  if (v == NULL || !service_has_owners (p, v))
    return true;
  service_may_connect (p, v); /* follows the endpoints */
  const endpoint_entry_t *x = endpoint_pick_owner (p, v, s->tenant);
  return x == NULL || strcmp (x->address, address) == 0;
}

void
forward_expire (session_t *s, msec_t now)
{
  forward_t *f = s->forward;

  if (f->active
      && now - f->sent >= (f->up ? f->timeout + ANSWER_SLACK : DIAL_TIMEOUT))
    {
      stream_close (f->stream);
      forward_disconnected (s, "timeout");
      return;
    }
  /* The session stops using a draining owner between transactions, and one
     that isn't its tenant's first any more.  */
  if (!f->active && s->tx == TX_NONE
      && (!endpoint_listed (s->proxy, f->address)
          || (s->tenant && !is_first_owner (s, f->address))))
    forward_end (s);
}

/* ---- answers ---- */

static void
apply_statement (session_t *s)
{
  client_msg_t m;
  size_t used;

  if (s->forward->done
      && s->proxy->conf.client->decode (buf_str (&s->forward->text), &used, &m)
             > 0)
    session_note (s, &m.op);
}

static void
finish_answer (session_t *s, const db_msg_t *m)
{
  forward_t *f = s->forward;

  apply_statement (s);
  f->active = false;
  if (pos_cmp (m->pos, s->last_write) > 0)
    s->last_write = m->pos;
  if (m->state == TX_NONE)
    session_tx_end (s);
  s->tx = m->state;
  buf_adds (stream_out (s->stream), buf_str (&f->answer));
  buf_take (&f->answer, buf_len (&f->answer));
  if (f->answer.cap > ANSWER_KEEP)
    buf_free (&f->answer);
  s->proxy->conf.client->ready (stream_out (s->stream), s->tx, (pos_t){ 0 });
  stream_flush (s->stream);
  session_next (s);
}

/* False when the other instance violates the protocol.  */
static bool
handle_message (session_t *s, const db_msg_t *m, str_t raw)
{
  forward_t *f = s->forward;

  if (f->skip)
    {
      f->skip -= m->kind == DB_READY;
      return m->kind != DB_ERROR;
    }
  if (!f->active)
    return false;
  if (m->kind == DB_READY)
    {
      finish_answer (s, m);
      return true;
    }
  f->done |= m->kind == DB_DONE;
  buf_adds (&f->answer, raw);
  return true;
}

static void
peer_input (void *arg)
{
  session_t *s = arg;
  proxy_t *p = s->proxy;
  db_msg_t m;
  size_t used;
  int got = 0;

  p->now = loop_now (p->loop);
  while (s->forward)
    {
      stream_t *st = s->forward->stream;
      str_t in = buf_str (stream_in (st));
      got = p->conf.db->decode (in, &used, &m);
      if (got <= 0 || !handle_message (s, &m, (str_t){ in.p, used }))
        break;
      buf_take (stream_in (st), used);
      got = 0;
    }
  session_charge (s);
  if (got == 0 || s->forward == NULL)
    return;
  stream_close (s->forward->stream);
  forward_disconnected (s, "protocol-violation");
}
