#include "local.h"

#include <stdlib.h>
#include <string.h>

static void session_closed (void *arg, err_t *e);
static const stream_ops_t session_ops
    = { NULL, session_input, session_closed };

enum
{
  OWNERS_INTERVAL = 20 /* ms until a session that waits for the owners of
                          connections looks again */
};

static buf_t *
out (session_t *s)
{
  stream_flush (s->stream);
  return stream_out (s->stream);
}

void
session_open (proxy_t *p, int fd, bool from_peer)
{
  session_t *s = calloc (1, sizeof *s);

  if (s == NULL)
    abort ();
  s->proxy = p;
  s->from_peer = from_peer;
  s->opened = s->last_active = p->now;
  s->next = p->sessions;
  if (p->sessions)
    p->sessions->prev = s;
  p->sessions = s;
  p->nsession++;
  s->stream = stream_accept (p->loop, fd, &session_ops, s);
  stream_set_input_max (s->stream, MESSAGE_MAX);
}

static void
session_free (session_t *s)
{
  proxy_t *p = s->proxy;

  statement_clear (s);
  forward_end (s);
  if (s->link)
    link_release (p, s->link);
  if (s->prev)
    s->prev->next = s->next;
  else
    p->sessions = s->next;
  if (s->next)
    s->next->prev = s->prev;
  p->nsession--;
  budget_charge (loop_budget (p->loop), &s->held, 0);
  values_free (&s->values);
  values_free (&s->prepared);
  buf_free (&s->req.text);
  free (s->host.p);
  free (s->key.p);
  free (s);
}

void
session_end (session_t *s)
{
  stream_close (s->stream);
  session_free (s);
}

static void
session_closed (void *arg, err_t *e)
{
  session_t *s = arg;

  (void)e;
  s->proxy->now = loop_now (s->proxy->loop);
  session_free (s);
}

/* ---- answers that the proxy gives itself ---- */

void
session_send_ready (session_t *s)
{
  s->proxy->conf.client->ready (out (s), s->tx,
                                s->from_peer ? s->last_write : (pos_t){ 0 });
}

void
session_done (session_t *s)
{
  s->proxy->conf.client->done (out (s), (str_t){ 0 });
  session_send_ready (s);
}

void
session_refuse (session_t *s, fail_t f, str_t why)
{
  s->proxy->conf.client->error (out (s), f, why);
  session_send_ready (s);
}

void
session_tx_end (session_t *s)
{
  s->tx = TX_NONE;
  s->tx_begun = s->tx_read = s->tx_wrote = s->tx_lost = false;
}

/* ---- start-up ---- */

static bool
use_route (session_t *s)
{
  proxy_t *p = s->proxy;
  const route_entry_t *r = route_find (p, s->host);

  if (r == NULL)
    return false;
  if (s->service == NULL || !str_eq (s->service->name, r->service))
    s->service = service_get (p, r->service);
  s->route = *r;
  /* These point into a configuration that may be replaced.  */
  s->route.host = s->route.service = (str_t){ 0 };
  return true;
}

/* False when the session is closed.  */
static bool
refuse_no_database (session_t *s, str_t host)
{
  /* Of a name that isn't known only the length is written: a client that mixes
     up the fields of its start-up message sends its key there.  */
  str_t name = s->host.n ? s->host : STR ("-");

  log_event (EV_NO_DATABASE, "host=" STR_FMT " bytes=%zu version=%lld",
             STR_ARG (name), host.n,
             s->proxy->setup ? (long long)s->proxy->setup->version : 0LL);
  s->proxy->conf.client->error (out (s), FAIL_NODB, name);
  session_end (s);
  return false;
}

/* A forwarding instance sends the position of the session's last write and the
   name of its tenant, which may be empty.  */
static void
parse_forwarded (session_t *s, str_t text)
{
  const char *blank = text.n ? memchr (text.p, ' ', text.n) : NULL;
  str_t client = { text.p, blank ? (size_t)(blank - text.p) : text.n };
  const char *dot = client.n ? memchr (client.p, '.', client.n) : NULL;
  size_t n = dot ? (size_t)(dot - client.p) : 0;
  pos_t pos;

  if (blank)
    caller_keep_key (s, (str_t){ (char *)blank + 1, text.n - client.n - 1 });
  if (dot && str_int ((str_t){ client.p, n }, &pos.term)
      && str_int ((str_t){ client.p + n + 1, client.n - n - 1 }, &pos.number))
    s->last_write = pos;
}

static bool
startup (session_t *s, str_t host, str_t client)
{
  /* Only the name of a known database is kept.  */
  if (route_find (s->proxy, host) == NULL)
    return refuse_no_database (s, host);
  s->host = (str_t){ malloc (host.n), host.n };
  if (s->host.p == NULL)
    abort ();
  memcpy (s->host.p, host.p, host.n);
  use_route (s);
  if (s->from_peer)
    parse_forwarded (s, client);
  else
    caller_keep_key (s, client);
  if (!caller_start (s))
    return false;
  bool stopping = stop_phase (s->proxy, s->proxy->now) >= STOP_REFUSE;
  if (stopping || (s->from_peer && s->proxy->cut_off_at >= 0))
    {
      session_refuse (s, FAIL_BUSY,
                      stopping ? STR ("the instance is stopping")
                               : STR ("cut off"));
      session_end (s);
      return false;
    }
  s->started = true;
  session_send_ready (s);
  return true;
}

/* ---- operations ---- */

static bool
op_in_failed_tx (session_t *s, const op_t *op)
{
  if (op->kind == OP_ROLLBACK)
    {
      session_tx_end (s);
      session_done (s);
    }
  else if (op->kind == OP_COMMIT)
    {
      session_tx_end (s);
      session_refuse (s, FAIL_ABORTED, STR ("the transaction had failed"));
    }
  else
    session_refuse (s, FAIL_MALFORMED, STR ("the transaction has failed"));
  return true;
}

static bool
begin (session_t *s, const op_t *op)
{
  if (s->tx != TX_NONE)
    {
      session_refuse (s, FAIL_MALFORMED, STR ("a transaction is open"));
      return true;
    }
  if (!use_route (s))
    return refuse_no_database (s, s->host);
  session_tx_end (s);
  s->tx = TX_OPEN;
  s->tx_read = op->kind == OP_BEGIN_READ;
  s->tx_began = s->proxy->now;
  session_done (s);
  return true;
}

static void
rollback (session_t *s)
{
  link_t *k = s->link;

  if (s->tx == TX_NONE)
    {
      session_refuse (s, FAIL_MALFORMED, STR ("no transaction is open"));
      return;
    }
  session_tx_end (s);
  if (k)
    link_release (s->proxy, k);
  session_done (s);
}

void
session_note (session_t *s, const op_t *op)
{
  buf_t key;

  if (op->kind == OP_SET)
    values_set (&s->values, op->name, op->arg);
  else if (op->kind == OP_DEALLOCATE)
    values_drop (&s->prepared, op->name);
  else if (op->kind == OP_PREPARE)
    {
      buf_init (&key);
      buf_adds (&key, op->writes ? STR ("w") : STR ("r"));
      buf_adds (&key, op->arg);
      values_set (&s->prepared, op->name, buf_str (&key));
      buf_free (&key);
    }
}

/* SET and PREPARE.  The settings of a session are sent to a connection in one
   go.  */
static void
note_bounded (session_t *s, const op_t *op)
{
  size_t bytes
      = s->values.bytes + s->prepared.bytes + op->name.n + op->arg.n + 1;

  if (op->kind == OP_SET && values_full (&s->values, op->name, SETTINGS_MAX))
    session_refuse (s, FAIL_MALFORMED, STR ("too many settings"));
  else if (op->kind == OP_PREPARE
           && values_full (&s->prepared, op->name, PREPARED_MAX))
    session_refuse (s, FAIL_MALFORMED, STR ("too many prepared statements"));
  else if (bytes > SESSION_BYTES_MAX)
    session_refuse (s, FAIL_MALFORMED,
                    STR ("the session's settings and prepared statements are "
                         "too large"));
  else
    {
      session_note (s, op);
      session_done (s);
    }
}

/* The transaction's connection ended between statements.  */
static void
refuse_lost_tx (session_t *s, const op_t *op)
{
  if (op->kind == OP_COMMIT)
    session_tx_end (s);
  else
    s->tx = TX_FAILED;
  session_refuse (s, FAIL_ABORTED, STR ("the connection was lost"));
}

/* False when the session is closed.  */
static bool
run_statement (session_t *s, op_t *op)
{
  const str_t *key;

  if (op->kind == OP_COMMIT && s->tx == TX_NONE)
    {
      session_refuse (s, FAIL_MALFORMED, STR ("no transaction is open"));
      return true;
    }
  if (op->kind == OP_EXECUTE)
    {
      key = values_get (&s->prepared, op->name);
      if (key == NULL)
        {
          s->tx = s->tx == TX_NONE ? TX_NONE : TX_FAILED;
          session_refuse (s, FAIL_NOSTMT, op->name);
          return true;
        }
      op->writes = key->p[0] == 'w';
      op->name = *key;
    }
  if (op->kind == OP_WRITE)
    op->writes = true;
  if (s->tx == TX_OPEN && s->tx_lost)
    {
      refuse_lost_tx (s, op);
      return true;
    }
  if (s->tx == TX_NONE && !use_route (s))
    return refuse_no_database (s, s->host);
  statement_start (s, op);
  return true;
}

static bool
run_op (session_t *s, op_t *op)
{
  s->last_active = s->proxy->now;
  if (s->tx == TX_FAILED)
    return op_in_failed_tx (s, op);
  switch (op->kind)
    {
    case OP_BEGIN:
    case OP_BEGIN_READ:
      return begin (s, op);
    case OP_ROLLBACK:
      rollback (s);
      return true;
    case OP_SET:
    case OP_PREPARE:
      note_bounded (s, op);
      return true;
    case OP_DEALLOCATE:
      if (values_drop (&s->prepared, op->name))
        session_done (s);
      else
        session_refuse (s, FAIL_NOSTMT, op->name);
      return true;
    case OP_MALFORMED:
      session_refuse (s, FAIL_MALFORMED, STR ("not a statement"));
      return true;
    default:
      return run_statement (s, op);
    }
}

/* ---- input ---- */

static bool
handle_message (session_t *s, client_msg_t *m)
{
  if (m->kind == CLIENT_END || (m->kind == CLIENT_STARTUP) == s->started)
    {
      session_end (s);
      return false;
    }
  return m->kind == CLIENT_STARTUP ? startup (s, m->host, m->client)
                                   : run_op (s, &m->op);
}

bool
session_executes_write (session_t *s, const op_t *op)
{
  const str_t *key = values_get (&s->prepared, op->name);

  return key && key->p[0] == 'w';
}

void
session_run_here (session_t *s, client_msg_t *m)
{
  if (caller_check (s, &m->op) == CALLER_KNOWN && run_op (s, &m->op)
      && !s->req.active)
    session_next (s);
}

static bool
is_busy (const session_t *s)
{
  return s->req.active || (s->forward && s->forward->active);
}

/* Whether S may be closed by a draining instance: no transaction is open.  */
static bool
may_close (const session_t *s)
{
  return s->tx == TX_NONE && health_draining (s->proxy, s->proxy->now);
}

static int
decode_next (session_t *s, size_t *used, client_msg_t *m)
{
  const client_codec_t *c = s->proxy->conf.client;
  str_t in = buf_str (stream_in (s->stream));

  if (s->seen && c->may_decode && !c->may_decode (in, s->seen))
    {
      s->seen = in.n;
      return 0;
    }
  int got = c->decode (in, used, m);
  s->seen = got == 0 ? in.n : 0;
  return got;
}

/* After handling the input of S, of which INCOMPLETE: part of a message is
   left.  */
static void
note_input (session_t *s, bool incomplete)
{
  bool waits = is_busy (s) || !stream_may_answer (s->stream);
  bool receives = !waits && incomplete && buf_len (stream_in (s->stream));

  if (!receives || stream_paused (s->stream))
    s->message_since = 0;
  else if (s->message_since == 0)
    s->message_since = s->proxy->now;
  stream_set_input_max (s->stream, waits ? AHEAD_MAX : MESSAGE_MAX);
  session_charge (s);
}

void
session_advance (session_t *s)
{
  proxy_t *p = s->proxy;
  client_msg_t m;
  size_t used;
  int got = 0;

  /* Without a configuration it isn't known which databases exist.  */
  if (p->setup == NULL)
    return;
  while (!is_busy (s) && stream_may_answer (s->stream)
         && (got = decode_next (s, &used, &m)) > 0)
    {
      stream_t *st = s->stream;
      str_t raw = { buf_str (stream_in (st)).p, used };
      bool op = m.kind == CLIENT_OP && s->started;
      bool open = true;
      if (op && s->tenant && !s->from_peer && owners_awaited (p))
        {
          wake_at (p, p->now + OWNERS_INTERVAL);
          return;
        }
      caller_t known = op ? caller_check (s, &m.op) : CALLER_KNOWN;
      if (known == CALLER_CLOSED)
        return;
      if (known == CALLER_KNOWN && op && s->tenant && !s->from_peer
          && owners_awaited (p))
        {
          wake_at (p, p->now + OWNERS_INTERVAL);
          return;
        }
      if (known == CALLER_REFUSED)
        open = true; /* it was answered */
      else if (op && stop_refuses (s, &m.op))
        open = stop_refuse (s, &m.op);
      else if (!op || !forward_needed (s, &m.op)
               || !forward_op (s, &m.op, raw))
        open = handle_message (s, &m);
      if (!open)
        return;
      buf_take (stream_in (st), used);
      s->message_since = 0;
      s->seen = 0;
    }
  if (got < 0)
    {
      log_event (EV_CLIENT_MALFORMED, "started=%d", s->started);
      p->conf.client->error (out (s), FAIL_MALFORMED, STR ("not a message"));
      session_end (s);
      return;
    }
  note_input (s, got == 0);
  if (!is_busy (s) && may_close (s))
    wake_at (p, p->now);
}

void
session_input (void *arg)
{
  session_t *s = arg;

  s->proxy->now = loop_now (s->proxy->loop);
  session_advance (s);
}

void
session_next (session_t *s)
{
  proxy_t *p = s->proxy;

  s->last_active = p->now;
  session_charge (s);
  /* The sweep at the end of this turn handles input received meanwhile.  It
     also closes the session of a draining instance, before the client sends
     its next statement.  */
  if (buf_len (stream_in (s->stream)) || may_close (s))
    wake_at (p, p->now);
}
