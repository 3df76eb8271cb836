#include "local.h"

#include <stdio.h>

/* Limits on what clients can make the process use: bytes, descriptors and
   time.  */

enum
{
  VALUE_OVERHEAD = 128,  /* bytes of a setting or prepared statement beside its
                            name and value */
  BUFFER_KEEP = 4 << 10, /* bytes of an empty buffer; a larger one is freed */
  OWNER_SWEEP_TIME = 1000 /* ms until an owner has rolled back a transaction
                             that was idle for too long */
};

/* ---- descriptors ---- */

void
limits_new (proxy_t *p)
{
  static const char *const cause[EVICTIONS]
      = { "memory", "descriptors", "message", "reader" };
  char name[64];

  /* The other half is for the program itself, fragmentation and bytes that the
     kernel holds.  */
  budget_set_limit (loop_budget (p->loop), p->conf.memory / 2);
  for (int i = 0; i < EVICTIONS; i++)
    {
      snprintf (name, sizeof name,
                "pimentopost_sessions_evicted_total{cause=\"%s\"}", cause[i]);
      p->evicted[i]
          = counter_get (name, "sessions closed since they use too much");
    }
  p->refused = counter_get ("pimentopost_sessions_refused_total",
                            "connections closed at once for lack of a "
                            "descriptor");
  p->budget_used = counter_get ("pimentopost_budget_bytes",
                                "bytes held on behalf of other machines");
}

/* Clients leave room for the forwarding of their sessions and for sessions of
   other instances, these for forwarding, and all for databases and control. */
static bool
below_eighths (const proxy_t *p, int eighths)
{
  int n = p->conf.descriptors;

  return n == 0 || loop_streams (p->loop) < n * eighths / 8;
}

bool
limits_may_dial (const proxy_t *p)
{
  return below_eighths (p, 7);
}

/* ---- closing ---- */

/* Tells the client why S is closed.  Of statements in progress only a read is
   answered: BUSY says that it has not taken effect.  An instance that forwards
   takes an error without a request for a violation of the protocol.  */
static void
explain (session_t *s, fail_t f, str_t why)
{
  const request_t *r = &s->req;
  bool forwarded = s->forward && s->forward->active;

  if (r->active && r->read_only && s->tx == TX_NONE)
    session_refuse (s, FAIL_BUSY, why);
  else if (!r->active && !forwarded && !s->from_peer)
    s->proxy->conf.client->error (stream_out (s->stream), f, why);
}

static void
evict (session_t *s, eviction_t cause, fail_t f, str_t why)
{
  proxy_t *p = s->proxy;

  log_event (EV_SESSION_EVICTED,
             "cause=" STR_FMT " host=" STR_FMT
             " started=%d peer=%d bytes=%zu idle_ms=%lld",
             STR_ARG (why), STR_ARG (s->host), s->started, s->from_peer,
             s->held + stream_held (s->stream),
             (long long)(p->now - s->last_active));
  counter_add (p->evicted[cause], 1);
  explain (s, f, why);
  session_end (s);
}

/* Whether A gives way to a new session before B: one without a start-up
   message, then the one that is idle for longer.  */
static bool
gives_way_before (const session_t *a, const session_t *b)
{
  if (a->started != b->started)
    return !a->started;
  return a->last_active < b->last_active;
}

static bool
may_give_way (const session_t *s)
{
  bool active = s->req.active || (s->forward && s->forward->active);
  /* One that was idle for too long has been rolled back.  */
  msec_t limit = s->proxy->setup ? s->proxy->setup->tx_idle : 0;
  msec_t idle = s->proxy->now - s->last_active;
  /* The owner has rolled it back by then, or it never began there.  */
  bool expired
      = !active && s->forward && limit > 0 && idle > limit + OWNER_SWEEP_TIME;
  bool in_tx
      = s->tx == TX_OPEN && !s->tx_lost && !expired && (s->link || s->forward);

  if (!s->started)
    return true;
  if (in_tx)
    return false;
  /* Its client has sent more ahead than is received.  */
  if (stream_paused (s->stream))
    return true;
  return !active
         && (s->proxy->now - s->last_active >= REPLACE_IDLE
             || stream_stalled (s->stream) >= REPLACE_STALLED);
}

bool
limits_accept (proxy_t *p, bool from_peer)
{
  session_t *oldest = NULL;

  if (below_eighths (p, from_peer ? 6 : 5))
    return true;
  for (session_t *s = p->sessions; s; s = s->next)
    if (s->from_peer == from_peer && may_give_way (s)
        && (oldest == NULL || gives_way_before (s, oldest)))
      oldest = s;
  if (oldest)
    evict (oldest, EVICT_DESCRIPTORS, FAIL_TOOMANY,
           STR ("too many connections"));
  else
    {
      log_event (EV_SESSION_REFUSED, "streams=%d", loop_streams (p->loop));
      counter_add (p->refused, 1);
    }
  return oldest != NULL;
}

/* ---- memory ---- */

static size_t
values_held (const values_t *v)
{
  return v->bytes + (size_t)v->n * VALUE_OVERHEAD;
}

static void
trim (buf_t *b)
{
  if (b->cap > BUFFER_KEEP)
    buf_free (b);
}

void
session_charge (session_t *s)
{
  if (!s->req.active)
    trim (&s->req.text);
  if (s->forward && !s->forward->active)
    {
      trim (&s->forward->text);
      trim (&s->forward->answer);
    }
  size_t n = values_held (&s->values) + values_held (&s->prepared)
             + s->req.text.cap + s->key.n + s->host.n;

  if (s->forward)
    n += s->forward->text.cap + s->forward->answer.cap;
  budget_charge (loop_budget (s->proxy->loop), &s->held, n);
}

void
link_charge (link_t *k)
{
  if (buf_len (&k->rows) == 0)
    trim (&k->rows);
  if (buf_len (&k->text) == 0)
    trim (&k->text);
  budget_charge (loop_budget (k->db->service->proxy->loop), &k->held,
                 k->rows.cap + k->text.cap);
}

static size_t
held_by (const session_t *s)
{
  size_t n = s->held + stream_held (s->stream);

  if (s->link)
    n += s->link->held + stream_held (s->link->stream);
  if (s->forward)
    n += stream_held (s->forward->stream);
  return n;
}

/* The session that holds the most, of several the newest: the list begins with
   it.  */
static session_t *
largest (const proxy_t *p)
{
  session_t *most = NULL;

  for (session_t *s = p->sessions; s; s = s->next)
    if (most == NULL || held_by (s) > held_by (most))
      most = s;
  return most;
}

void
limits_turn (proxy_t *p)
{
  const byte_budget_t *b = loop_budget (p->loop);
  session_t *s;

  counter_set (p->budget_used, (int64_t)budget_used (b));
  if (!budget_exceeded (b))
    return;
  /* Down to where large messages are received again: the others may hold what
     they have for as long as they like.  */
  size_t over = budget_used (b) - b->limit / 2;
  size_t freed = 0;
  while (freed < over && (s = largest (p)) != NULL)
    {
      size_t held = held_by (s);
      if (held == 0)
        return;
      freed += held;
      evict (s, EVICT_MEMORY, FAIL_BUSY, STR ("out of memory for clients"));
    }
}

/* ---- time ---- */

bool
limits_expire (session_t *s, msec_t now)
{
  const proxy_conf_t *c = &s->proxy->conf;

  if (c->message_timeout && s->message_since
      && now - s->message_since >= c->message_timeout)
    evict (s, EVICT_MESSAGE, FAIL_TIMEOUT, STR ("the message took too long"));
  else if (c->reader_timeout
           && stream_stalled (s->stream) >= c->reader_timeout)
    evict (s, EVICT_READER, FAIL_TIMEOUT, STR ("answers are not read"));
  else
    return false;
  return true;
}
