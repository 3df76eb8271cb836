#include "local.h"

#include <stdio.h>

/* Attempts of a statement at databases, and its wait for one.  The choice of
   the database is made in place.c.  */

enum
{
  ATTEMPTS_MAX = 8,
  LOST_ANSWER = 8,       /* times the usual time of a statement until the
                            answer of a read counts as lost, and */
  LOST_ANSWER_MIN = 200, /* ms, at least */
  SHARE_OF_READ = 60     /* percent of a statement's time for one attempt of a
                            read, so that another database can still answer */
};

/* ---- waiting ---- */

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

/* ---- placing ---- */

void
statement_retry (session_t *s, db_t *d, fail_t f)
{
  request_t *r = &s->req;

  r->last = f;
  log_event (EV_RETRY,
             "request=" STR_FMT " database=%s cause=%s ms=%lld attempt=%d "
             "need=%lld.%lld",
             STR_ARG (r->op.id), d ? d->id : r->asked, fail_name (f),
             (long long)(s->proxy->now - r->arrived), r->attempts,
             (long long)r->need.term, (long long)r->need.number);
  if (d && r->ntried < SITES_MAX && !site_tried (r, d))
    r->tried[r->ntried++] = d;
  counter_add (s->proxy->retried, 1);
  statement_place (s);
}

/* What the statement needs of a database: the leader, or a position.  */
static void
want (session_t *s)
{
  request_t *r = &s->req;
  bool alone = s->tx == TX_NONE;
  msec_t began = alone ? r->arrived : s->tx_began;
  bool lead = alone ? !r->reads : !s->tx_read;

  if (!lead && s->route.freshness == FRESH_PRIMARY)
    lead = true;
  if (!lead)
    lead = !marks_need (
        &s->service->marks, began, s->route.max_age,
        s->route.freshness == FRESH_SESSION ? s->own : (pos_t){ 0 }, &r->need);
  r->lead = lead;
}

/* How long one attempt of a read may take with LEFT ms to its limit.  An
   answer that takes many times longer than usual was lost, and keeps a
   connection.  */
static msec_t
read_time (const db_t *d, msec_t left)
{
  msec_t share = left * SHARE_OF_READ / 100;
  msec_t usual = (msec_t)(d->ms * LOST_ANSWER);

  if (usual < LOST_ANSWER_MIN)
    usual = LOST_ANSWER_MIN;
  return d->ms > 0 && usual < share ? usual : share;
}

static void
start_on (session_t *s, db_t *d)
{
  proxy_t *p = s->proxy;
  request_t *r = &s->req;
  link_t *k = link_take (d, s, p->now);
  msec_t left = r->deadline - p->now;

  statement_dequeue (s);
  if (r->attempts++ == 0)
    metrics_started (s);
  snprintf (r->asked, sizeof r->asked, "%s", d->id);
  r->attempt = r->reads && s->tx == TX_NONE ? p->now + read_time (d, left)
                                            : r->deadline;
  wake_at (p, r->attempt);
  if (s->tx == TX_OPEN || (r->reads && r->lead))
    link_begin (p, k, s);
  else
    link_run (p, k, s);
}

/* One round of placing.  False when the statement has to wait.  */
static bool
place_once (session_t *s)
{
  proxy_t *p = s->proxy;
  site_t site[SITES_MAX];
  db_t *db[SITES_MAX];

  want (s);
  int n = sites_list (p, s, site, db);
  place_t at = s->req.lead ? place_lead (site, n) : place_read (site, n);
  if (at.kind == PLACE_USE)
    {
      start_on (s, db[at.at]);
      return true;
    }
  if (at.kind == PLACE_OPEN)
    link_open (p, db[at.at]);
  /* Every database was asked: ask again, since what they lack changes soon. */
  if (at.kind == PLACE_NONE && !s->req.lead && s->req.ntried)
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
      fail_t f = r->last ? r->last : FAIL_BUSY;
      if (s->tx != TX_NONE)
        statement_abort (s, STR ("no database could run it"));
      else
        statement_fail (s, f, STR ("no database could run it"));
      return;
    }
  if (!place_once (s))
    enqueue (s);
}

void
statement_pump (proxy_t *p, service_t *v)
{
  session_t *s, *next;

  (void)p;
  for (s = v->waiting; s; s = next)
    {
      next = s->next_waiting;
      place_once (s);
    }
}
