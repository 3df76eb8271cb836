#include "local.h"

#include <stdio.h>

/* Attempts to run a statement, and the queue of those that no database can run
   yet.  place.c chooses the database.  */

enum
{
  ATTEMPTS_MAX = 8,
  /* The answer of a read counts as lost after this many times the usual time
     of a statement at the database, and this many ms at least.  */
  LOST_ANSWER_FACTOR = 8,
  LOST_ANSWER_MIN = 200,
  /* Part of the time left that one attempt of a read may take, so that another
     database can still answer.  */
  READ_ATTEMPT_PERCENT = 60
};

/* ---- queue ---- */

static void
enqueue (session_t *s)
{
  session_t **at = &s->service->waiting;
  request_t *r = &s->req;

  if (r->waiting)
    return;
  /* By priority, then by arrival.  */
  while (*at
         && ((*at)->route.priority < s->route.priority
             || ((*at)->route.priority == s->route.priority
                 && (*at)->req.arrived <= r->arrived)))
    at = &(*at)->next_waiting;
  s->next_waiting = *at;
  *at = s;
  r->waiting = true;
}

void
statement_dequeue (session_t *s)
{
  session_t **at;

  if (!s->req.waiting || s->service == NULL)
    return;
  at = &s->service->waiting;
  while (*at && *at != s)
    at = &(*at)->next_waiting;
  if (*at)
    *at = s->next_waiting;
  s->req.waiting = false;
}

/* ---- placement ---- */

void
statement_retry (session_t *s, db_t *d, fail_t f)
{
  request_t *r = &s->req;

  r->last_fail = f;
  log_event (EV_RETRY,
             "request=" STR_FMT " database=%s cause=%s ms=%lld attempt=%d "
             "need=%lld.%lld",
             STR_ARG (r->op.id), d ? d->id : r->last_db, fail_name (f),
             (long long)(s->proxy->now - r->arrived), r->attempts,
             (long long)r->need.term, (long long)r->need.number);
  if (d && r->ntried < CANDIDATES_MAX && !candidate_tried (r, d))
    r->tried[r->ntried++] = d;
  counter_add (s->proxy->retried, 1);
  statement_place (s);
}

/* Determines what the statement needs of a database: to be the leader, or to
   have reached a position.  */
static void
set_needs (session_t *s)
{
  request_t *r = &s->req;
  bool no_tx = s->tx == TX_NONE;
  msec_t began = no_tx ? r->arrived : s->tx_began;
  bool lead = no_tx ? !r->read_only : !s->tx_read;

  if (!lead && s->route.freshness == FRESH_PRIMARY)
    lead = true;
  if (!lead)
    lead = !samples_required (
        &s->service->samples, began, s->route.max_age,
        s->route.freshness == FRESH_SESSION ? s->last_write : (pos_t){ 0 },
        &r->need);
  r->needs_leader = lead;
}

/* Limit in ms for one attempt of a read with LEFT ms to its deadline.  An
   answer that takes many times longer than usual counts as lost; waiting for
   it would occupy the connection.  */
static msec_t
read_timeout (const db_t *d, msec_t left)
{
  msec_t share = left * READ_ATTEMPT_PERCENT / 100;
  msec_t usual = (msec_t)(d->ms * LOST_ANSWER_FACTOR);

  if (usual < LOST_ANSWER_MIN)
    usual = LOST_ANSWER_MIN;
  return d->ms > 0 && usual < share ? usual : share;
}

static void
run_on (session_t *s, db_t *d)
{
  proxy_t *p = s->proxy;
  request_t *r = &s->req;
  link_t *k = link_acquire (d, s, p->now);
  msec_t left = r->deadline - p->now;

  statement_dequeue (s);
  if (r->attempts++ == 0)
    metrics_started (s);
  snprintf (r->last_db, sizeof r->last_db, "%s", d->id);
  r->attempt_end = r->read_only && s->tx == TX_NONE
                       ? p->now + read_timeout (d, left)
                       : r->deadline;
  wake_at (p, r->attempt_end);
  if (s->tx == TX_OPEN || (r->read_only && r->needs_leader))
    link_begin (p, k, s);
  else
    link_run (p, k, s);
}

/* Tries to place the statement once.  False when it has to wait.  */
static bool
try_place (session_t *s)
{
  proxy_t *p = s->proxy;
  candidate_t cand[CANDIDATES_MAX];
  db_t *db[CANDIDATES_MAX];

  set_needs (s);
  int n = candidates_list (p, s, cand, db);
  place_t at
      = s->req.needs_leader ? place_leader (cand, n) : place_read (cand, n);
  if (at.kind == PLACE_USE)
    {
      run_on (s, db[at.at]);
      return true;
    }
  if (at.kind == PLACE_OPEN)
    link_open (p, db[at.at]);
  /* All databases were tried: try them again, since what they lacked, such as
     a position, changes soon.  */
  if (at.kind == PLACE_NONE && !s->req.needs_leader && s->req.ntried)
    s->req.ntried = 0;
  return false;
}

void
statement_place (session_t *s)
{
  request_t *r = &s->req;

  r->sent = false;
  if (r->attempts >= ATTEMPTS_MAX)
    {
      fail_t f = r->last_fail ? r->last_fail : FAIL_BUSY;
      if (s->tx != TX_NONE)
        statement_abort (s, STR ("no database could run it"));
      else
        statement_fail (s, f, STR ("no database could run it"));
      return;
    }
  if (!try_place (s))
    enqueue (s);
}

void
statement_place_queued (proxy_t *p, service_t *v)
{
  session_t *s, *next;

  (void)p;
  for (s = v->waiting; s; s = next)
    {
      next = s->next_waiting;
      try_place (s);
    }
}
