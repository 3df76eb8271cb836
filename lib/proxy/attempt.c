#include "local.h"

#include <stdlib.h>
#include <string.h>

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

static waiter_t
waiter_of (const session_t *s)
{
  const request_t *r = &s->req;
  msec_t began = s->tx == TX_NONE ? r->arrived : s->tx_began;

  return (waiter_t){ .arrived = r->arrived,
                     .target = began + s->route.target,
                     .deadline = r->deadline,
                     .priority = s->route.priority,
                     .ms = s->service->kind_ms[s->route.freshness] };
}

static void
enqueue (session_t *s)
{
  service_t *v = s->service;
  waiter_t w = waiter_of (s);

  if (s->req.waiting)
    return;
  s->req.share = share_get (s);
  s->req.queued_ms = w.ms;
  w.rank = fair_rank (&v->fair, &s->req.share->flow);
  fair_arrived (&v->fair, &s->req.share->flow, share_of (s->proxy, s->tenant),
                w.ms);
  flow_arrived (&v->flow, (int)s->route.freshness, &w, s->proxy->now);
  s->next_waiting = v->waiting;
  v->waiting = s;
  v->nwaiting++;
  s->req.waiting = true;
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
    {
      *at = s->next_waiting;
      fair_left (&s->service->fair, &s->req.share->flow, s->req.queued_ms);
      if (--s->service->nwaiting == 0)
        flow_empty (&s->service->flow);
    }
  s->req.waiting = false;
}

static void
refuse_waiting (session_t *s, const char *why)
{
  if (s->tx != TX_NONE)
    statement_abort (s, str_of (why));
  else
    statement_fail (s, FAIL_BUSY, str_of (why));
}

/* ---- placement ---- */

void
statement_retry (session_t *s, db_t *d, fail_t f)
{
  request_t *r = &s->req;

  r->last_fail = f;
  if (f == FAIL_LAGGING && d)
    progress_refused (&d->progress, r->need, statement_need_age (s),
                      s->proxy->now);
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

msec_t
statement_need_age (const session_t *s)
{
  if (s->last_write_at == 0 || pos_cmp (s->req.need, s->last_write) != 0)
    return -1;
  return s->proxy->now - s->last_write_at;
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
  share_t *x = share_get (s);

  if (r->waiting)
    flow_started (&s->service->flow, p->now);
  statement_dequeue (s);
  fair_ran (&s->service->fair, &x->flow, share_of (p, s->tenant),
            s->service->kind_ms[s->route.freshness]);
  if (r->attempts++ == 0)
    {
      metrics_started (s);
      counter_add (x->started, 1);
      counter_add (x->wait_ms, p->now - r->arrived);
    }
  outlier_started (&d->outlier, p->now);
  memcpy (r->last_db, d->id, sizeof r->last_db);
  r->attempt_end = r->read_only && s->tx == TX_NONE
                       ? p->now + read_timeout (d, left)
                       : r->deadline;
  wake_at (p, r->attempt_end);
  if (s->tx == TX_OPEN || (r->read_only && r->needs_leader))
    link_begin (p, k, s);
  else
    link_run (p, k, s);
}

/* Opens a connection to D for the session's tenant.  At the limit another one
   is closed first.  */
static void
open_for (session_t *s, const candidate_t *c, db_t *d)
{
  proxy_t *p = s->proxy;
  link_t *k = c->open + c->opening < c->limit
                  ? NULL
                  : link_giving_way (d, s->tenant, p->now);

  if (k)
    {
      link_close (p, k);
      counter_add (p->gave_way, 1);
    }
  link_open (p, d, s->tenant);
}

/* Tries to place the statement once, with OPEN also on a connection that has
   to be opened.  False when it has to wait.  */
static bool
try_place (session_t *s, bool may_open)
{
  proxy_t *p = s->proxy;
  candidate_t cand[CANDIDATES_MAX];
  db_t *db[CANDIDATES_MAX];

  /* The sweep refuses it, or gives it to another tenant.  */
  if (!caller_is_current (s))
    return false;
  set_needs (s);
  int n = candidates_list (p, s, cand, db);
  place_t at
      = s->req.needs_leader ? place_leader (cand, n) : place_read (cand, n);
  if (at.kind == PLACE_USE)
    {
      run_on (s, db[at.at]);
      return true;
    }
  if (at.kind == PLACE_OPEN && may_open)
    open_for (s, &cand[at.at], db[at.at]);
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
  if (try_place (s, true))
    return;
  enqueue (s);
  if (s->service->nwaiting > 1)
    statement_place_queued (s->proxy, s->service);
}

/* ---- the queue after a change ---- */

static bool
refuse_hopeless (session_t *s, const waiter_t *w, int ahead)
{
  const proxy_t *p = s->proxy;

  /* After a start the rates are those of the first connections; they say
     little of what leaves the queue a second later.  */
  if (p->setup && p->setup->tenanted && p->now - p->started < ENTRIES_HOLD)
    return false;
  if (!waiter_hopeless (w, &s->service->flow, ahead, s->proxy->now))
    return false;
  counter_add (s->req.share->refused, 1);
  refuse_waiting (s, "too many statements wait");
  return true;
}

static bool
has_idle (const service_t *v)
{
  for (const db_t *d = v->dbs; d; d = d->next)
    if (d->idle)
      return true;
  return false;
}

/* Places the N statements of one rank that their tenants' idle connections can
   run: closing one of those to open another costs more.  */
static void
place_on_idle (service_t *v, const fair_waiter_t *q, int n)
{
  for (int i = 0; i < n && has_idle (v); i++)
    try_place (q[i].of, false);
}

void
statement_place_queued (proxy_t *p, service_t *v)
{
  int n = 0, ahead[2] = { 0 }, end = 0;
  bool tenants = p->setup && p->setup->tenanted;
  fair_waiter_t *q;

  if (v->nwaiting == 0)
    return;
  q = malloc ((size_t)v->nwaiting * sizeof *q);
  if (q == NULL)
    abort ();
  for (session_t *s = v->waiting; s; s = s->next_waiting)
    q[n++] = (fair_waiter_t){ .w = waiter_of (s),
                              .flow = &s->req.share->flow,
                              .of = s };
  fair_order (&v->fair, q, n, p->now);
  for (int i = 0; i < n; i++)
    {
      session_t *s = q[i].of;
      if (tenants && i == end)
        {
          while (end < n && q[end].w.rank == q[i].w.rank)
            end++;
          place_on_idle (v, &q[i], end - i);
        }
      if (!s->req.waiting || try_place (s, true)
          || refuse_hopeless (s, &q[i].w, ahead[s->req.needs_leader]))
        continue;
      ahead[0]++;
      ahead[1] += s->req.needs_leader;
    }
  free (q);
}
