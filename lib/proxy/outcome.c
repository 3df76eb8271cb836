#include "local.h"

#include <string.h>

/* The end of a statement: the answer to its client, and the log line of a
   failure.  */

static buf_t *
client_out (session_t *s)
{
  stream_flush (s->stream);
  return stream_out (s->stream);
}

void
statement_clear (session_t *s)
{
  statement_dequeue (s);
  gate_end (s);
  s->req.active = false;
}

/* Logs enough to explain the failure to someone who has only the request's
   id.  */
static void
log_failure (const session_t *s, fail_t f)
{
  const proxy_t *p = s->proxy;
  const request_t *r = &s->req;
  const service_t *v = s->service;
  const db_t *lead = v ? v->leader : NULL;
  msec_t silent = lead && lead->fail_at >= 0 ? p->now - lead->fail_at : 0;
  msec_t sample_age
      = v && v->samples.n ? p->now - samples_newest (&v->samples) : -1;

  log_event (
      EV_REQUEST_FAILED,
      "request=" STR_FMT " host=" STR_FMT " service=" STR_FMT
      " outcome=%s ms=%lld "
      "needs=%s attempts=%d last=%s database=%s leader=%s "
      "leader_silent_ms=%lld mark_age=%lld cut_off=%d version=%lld",
      STR_ARG (r->op.id), STR_ARG (s->host), STR_ARG (v ? v->name : STR ("-")),
      fail_name (f), (long long)(p->now - r->arrived),
      r->needs_leader ? "leader" : "position", r->attempts,
      fail_name (r->last_fail), r->last_db[0] ? r->last_db : "-",
      lead ? lead->id : "-", (long long)silent, (long long)sample_age,
      p->cut_off_at >= 0, p->setup ? (long long)p->setup->version : 0LL);
}

void
statement_fail (session_t *s, fail_t f, str_t text)
{
  proxy_t *p = s->proxy;

  metrics_answered (s, f == FAIL_INDOUBT ? OUTCOME_UNKNOWN : OUTCOME_REFUSED);
  if (!s->req.over_quota)
    log_failure (s, f);
  statement_clear (s);
  p->conf.client->error (client_out (s), f, text);
  session_send_ready (s);
  session_next (s);
}

void
statement_abort (session_t *s, str_t why)
{
  if (s->link)
    {
      link_t *k = s->link;
      link_close (s->proxy, k);
    }
  s->link = NULL;
  s->tx = s->req.op.kind == OP_COMMIT ? TX_NONE : TX_FAILED;
  if (s->tx == TX_NONE)
    session_tx_end (s);
  statement_fail (s, FAIL_ABORTED, why);
}

void
statement_indoubt (session_t *s, str_t why)
{
  s->tx = TX_NONE;
  session_tx_end (s);
  statement_fail (s, FAIL_INDOUBT, why);
}

static void
send_rows (session_t *s, link_t *k)
{
  proxy_t *p = s->proxy;
  str_t all = buf_str (&k->rows);
  uint32_t n;

  while (all.n >= sizeof n)
    {
      memcpy (&n, all.p, sizeof n);
      p->conf.client->row (client_out (s), (str_t){ all.p + sizeof n, n });
      all.p += sizeof n + n;
      all.n -= sizeof n + n;
    }
}

void
statement_deliver (session_t *s, link_t *k)
{
  proxy_t *p = s->proxy;

  metrics_answered (s, OUTCOME_SERVED);
  if (s->req.read_only)
    {
      bool lead = k->db == s->service->leader;
      counter_add (lead ? p->reads_primary : p->reads_replica, 1);
      if (str_eq (str_of (k->db->zone), p->conf.zone))
        counter_add (p->reads_near, 1);
    }
  send_rows (s, k);
  p->conf.client->done (client_out (s), buf_str (&k->text));
  session_send_ready (s);
}

void
answer_clear (link_t *k)
{
  k->rows.n = k->rows.off = 0;
  k->text.n = k->text.off = 0;
  k->fail = FAIL_NONE;
  k->done = false;
}
