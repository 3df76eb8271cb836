#include "local.h"

#include <stdio.h>
#include <string.h>

/* ---- start ---- */

static void
copy_op (request_t *r, const op_t *op)
{
  buf_t *b = &r->text;

  b->n = b->off = 0;
  buf_adds (b, op->id);
  buf_adds (b, op->name);
  buf_adds (b, op->arg);
  r->op = *op;
  r->op.id.p = b->p;
  r->op.name.p = b->p + op->id.n;
  r->op.arg.p = b->p + op->id.n + op->name.n;
}

/* Whether the primary that runs the transaction is being replaced and OP would
   have its writes acknowledged there.  Control chooses the next primary by
   positions that then have to be final, if there are synchronous replicas.  */
static bool
is_handed_over (const session_t *s, const op_t *op)
{
  const db_t *d = s->link->db;

  if (s->service->sync_replicas == 0 || !d->leaving
      || !(op->writes || (op->kind == OP_COMMIT && s->tx_wrote)))
    return false;
  for (const db_t *x = s->service->dbs; x; x = x->next)
    if (x != d && !x->leaving && !x->gone)
      return true;
  return false;
}

void
statement_start (session_t *s, const op_t *op)
{
  proxy_t *p = s->proxy;
  request_t *r = &s->req;
  buf_t text = r->text;

  *r = (request_t){ .active = true, .text = text, .arrived = p->now };
  copy_op (r, op);
  r->read_only
      = op->kind == OP_READ || (op->kind == OP_EXECUTE && !op->writes);
  r->deadline = p->now + s->route.timeout;
  r->attempt_end = r->deadline;
  wake_at (p, r->deadline);
  if (s->tx == TX_OPEN && s->tx_begun && is_handed_over (s, op))
    {
      statement_abort (s, STR ("the primary is being replaced"));
      return;
    }
  if (s->tx == TX_OPEN && s->tx_begun)
    {
      if (op->kind == OP_WRITE || op->writes)
        s->tx_wrote = true;
      r->attempts++;
      link_run (p, s->link, s);
      return;
    }
  if (gate_admits (s))
    statement_place (s);
}

/* ---- connection events ---- */

static bool
not_run (fail_t f)
{
  return f == FAIL_BUSY || f == FAIL_LAGGING || f == FAIL_READONLY
         || f == FAIL_NOSTMT;
}

void
statement_begun (session_t *s, link_t *k, fail_t f, pos_t pos)
{
  proxy_t *p = s->proxy;
  request_t *r = &s->req;
  bool fresh = r->needs_leader || pos_cmp (pos, r->need) >= 0;

  answer_clear (k);
  if (f == FAIL_NONE && r->needs_leader)
    {
      samples_add (&s->service->samples, k->begin_sent, pos);
      leader_confirmed (s->service, k->db);
    }
  if (f == FAIL_READONLY && r->needs_leader)
    leader_refused (s->service, k->db, p->now);
  if (f != FAIL_NONE || !fresh)
    {
      db_t *d = k->db;
      link_release (p, k);
      statement_retry (s, d, f ? f : FAIL_LAGGING);
      return;
    }
  if (s->tx == TX_OPEN)
    {
      s->tx_begun = true;
      s->tx_wrote |= r->op.kind == OP_WRITE || r->op.writes;
    }
  link_run (p, k, s);
}

/* The time of a kind leans to the shorter ones: it is what the database works,
   without the time in the database's own queue.  */
static void
note_time (session_t *s, db_t *d, double ms)
{
  double *kind = &s->service->kind_ms[s->route.freshness];
  double weight = ms < *kind ? 0.1 : 0.02;

  d->ms = d->ms > 0 ? d->ms * 0.9 + ms * 0.1 : ms + 0.5;
  *kind = *kind > 0 ? *kind + weight * (ms - *kind) : ms + 0.5;
}

/* Failures that tell of the database: those of a statement's own making, of
   lag and of a lost lead don't.  */
static void
note_result (db_t *d, fail_t f, msec_t now)
{
  if (f == FAIL_NONE || f == FAIL_FAILED || f == FAIL_BUSY)
    db_result (d, f == FAIL_NONE, now);
}

static void
answer_no_tx (session_t *s, link_t *k, pos_t pos)
{
  proxy_t *p = s->proxy;
  request_t *r = &s->req;
  db_t *d = k->db;
  fail_t f = k->fail;

  if (f == FAIL_NONE && r->read_only && !r->needs_leader
      && pos_cmp (pos, r->need) < 0)
    f = FAIL_LAGGING;
  note_result (d, f, p->now);
  if (f == FAIL_NONE)
    {
      note_time (s, d, (double)(p->now - k->sent));
      progress_reached (&d->progress, pos, statement_need_age (s));
      if (!r->read_only)
        {
          s->last_write = pos;
          s->last_write_at = p->now;
          samples_add (&s->service->samples, k->sent, pos);
          leader_confirmed (s->service, d);
        }
      statement_deliver (s, k);
      answer_clear (k);
      statement_clear (s);
      link_release (p, k);
      session_next (s);
      return;
    }
  if (f == FAIL_READONLY)
    leader_refused (s->service, d, p->now);
  if (f == FAIL_NOSTMT)
    values_free (&k->prepared);
  if (not_run (f) || (f == FAIL_FAILED && r->read_only && !r->repeated))
    {
      r->repeated |= f == FAIL_FAILED;
      answer_clear (k);
      link_release (p, k);
      statement_retry (s, f == FAIL_NOSTMT ? NULL : d, f);
      return;
    }
  buf_t text = k->text;
  buf_init (&k->text);
  answer_clear (k);
  link_release (p, k);
  statement_fail (s, f, buf_str (&text));
  buf_free (&text);
}

static void
answer_in_tx (session_t *s, link_t *k, tx_t state, pos_t pos)
{
  proxy_t *p = s->proxy;
  request_t *r = &s->req;
  fail_t f = k->fail;
  bool commit = r->op.kind == OP_COMMIT;

  note_result (k->db, f, p->now);
  if (f == FAIL_NONE)
    {
      if (commit)
        {
          if (s->tx_wrote)
            {
              s->last_write = pos;
              s->last_write_at = p->now;
              samples_add (&s->service->samples, k->sent, pos);
            }
          session_tx_end (s);
        }
      statement_deliver (s, k);
      answer_clear (k);
      statement_clear (s);
      if (commit)
        link_release (p, k);
      session_next (s);
      return;
    }
  if (f == FAIL_READONLY)
    leader_refused (s->service, k->db, p->now);
  if (f == FAIL_NOSTMT)
    values_free (&k->prepared);
  buf_t text = k->text;
  buf_init (&k->text);
  answer_clear (k);
  (void)state;
  if (commit)
    session_tx_end (s);
  else
    s->tx = TX_FAILED;
  /* An answer that says nothing of what is kept ends the connection, which
     rolls back; so does the ROLLBACK that a release sends.  */
  link_release (p, k);
  statement_fail (s, f, buf_str (&text));
  buf_free (&text);
}

void
statement_answer (session_t *s, link_t *k, tx_t state, pos_t pos)
{
  if (!s->req.active)
    return;
  if (s->tx == TX_NONE)
    answer_no_tx (s, k, pos);
  else
    answer_in_tx (s, k, state, pos);
}

void
statement_disconnected (session_t *s, link_t *k)
{
  request_t *r = &s->req;

  (void)k;
  s->link = NULL;
  if (!r->active)
    {
      /* The next statement of the transaction fails.  */
      s->tx_lost = true;
      return;
    }
  if (s->tx == TX_NONE)
    {
      if (r->read_only || !r->sent)
        statement_retry (s, NULL, FAIL_BUSY);
      else
        statement_indoubt (s,
                           STR ("the connection was lost before the answer"));
    }
  else if (!s->tx_begun)
    statement_retry (s, NULL, FAIL_BUSY);
  else if (r->op.kind == OP_COMMIT && s->tx_wrote && r->sent)
    statement_indoubt (s, STR ("the connection was lost before the answer"));
  else
    statement_abort (s, STR ("the connection was lost"));
}

/* ---- time limits ---- */

static void
expire_waiting (session_t *s)
{
  request_t *r = &s->req;
  fail_t f = r->last_fail      ? r->last_fail
             : r->needs_leader ? FAIL_READONLY
                               : FAIL_BUSY;

  if (s->tx != TX_NONE)
    statement_abort (s, STR ("no connection in time"));
  else
    statement_fail (s, f, STR ("no connection in time"));
}

/* Fails a statement that was sent and whose answer will not be received; its
   connection is closed.  */
static void
fail_unanswered (session_t *s, str_t why)
{
  const request_t *r = &s->req;

  if (s->tx == TX_NONE && r->read_only)
    statement_fail (s, FAIL_TIMEOUT, why);
  else if (s->tx == TX_NONE
           || (r->op.kind == OP_COMMIT && s->tx_wrote && s->tx_begun))
    statement_indoubt (s, why);
  else
    statement_abort (s, why);
}

void
statement_expire (session_t *s, msec_t now)
{
  proxy_t *p = s->proxy;
  request_t *r = &s->req;
  link_t *k = s->link;

  if (!r->active)
    return;
  /* Nothing can run it while the instance is cut off.  */
  if (p->cut_off_at >= 0 && r->waiting && r->needs_leader
      && leader_pick (s->service, now) == NULL)
    {
      expire_waiting (s);
      return;
    }
  if (now < r->deadline && now < r->attempt_end)
    return;
  if (k == NULL)
    {
      if (now >= r->deadline)
        expire_waiting (s);
      return;
    }
  db_t *d = k->db;
  log_event (EV_DB_SILENT,
             "request=" STR_FMT " database=%s service=" STR_FMT " ms=%lld",
             STR_ARG (r->op.id), d->id, STR_ARG (s->service->name),
             (long long)(now - k->sent));
  msec_t sent = k->sent;
  link_close (p, k);
  s->link = NULL;
  links_close_unused (p, d, sent);
  db_result (d, false, now);
  /* A database that has answered others since is alive; only this answer was
     lost.  */
  if (d->ok_at < sent)
    db_failed (p, d, now);
  if (now < r->deadline)
    statement_retry (s, d, FAIL_BUSY);
  else
    fail_unanswered (s, STR ("no answer in time"));
}

void
statement_give_up (session_t *s)
{
  link_t *k = s->link;

  if (k == NULL)
    {
      expire_waiting (s);
      return;
    }
  link_close (s->proxy, k);
  fail_unanswered (s, STR ("the instance is stopping"));
}
