#include "proxy.h"

#include <stdlib.h>

/* Start-time fair queuing between tenants.  Tags belong to tenants, not to
   statements, since the order of the statements of one tenant changes while
   they wait.  */

enum
{
  /* Work in ms that a tenant may have ahead of its share before its statements
     go after those of others: about five statements.  Within it worth and
     deadline decide.  */
  ALLOWANCE = 100,
  /* The same as ms of its share, for large tenants.  */
  ALLOWANCE_SHARE = 500,
  /* ms of work assumed for a statement of unknown kind.  */
  WORK_UNKNOWN = 10,
  /* The clock is at most this many ms behind the tag of a statement that runs:
     a tenant whose database can't be reached doesn't hold it back.  */
  CLOCK_LAG = 20000
};

static double
work (double ms)
{
  return ms > 0 ? ms : WORK_UNKNOWN;
}

static double
tag_of (const fair_t *q, const fair_flow_t *f)
{
  return f->tag > q->clock ? f->tag : q->clock;
}

/* Whole allowances that F is ahead of the clock, with AHEAD ms of work that
   run before.  */
static int
rank_at (const fair_t *q, const fair_flow_t *f, double ahead)
{
  double lead = (tag_of (q, f) - q->clock) * f->share + ahead;

  return (int)(lead / (ALLOWANCE + ALLOWANCE_SHARE * f->share));
}

int
fair_rank (const fair_t *q, const fair_flow_t *f)
{
  return q->n > 1 || (q->n == 1 && f->waiting == 0)
             ? rank_at (q, f, f->backlog)
             : 0;
}

/* ---- the tenants that wait: a heap by tag ---- */

static void
put (fair_t *q, fair_flow_t *f, int at)
{
  q->busy[at] = f;
  f->at = at;
}

static void
sift_up (fair_t *q, fair_flow_t *f)
{
  int at = f->at;

  for (int up; at > 0 && q->busy[up = (at - 1) / 2]->tag > f->tag; at = up)
    put (q, q->busy[up], at);
  put (q, f, at);
}

static void
sift_down (fair_t *q, fair_flow_t *f)
{
  int at = f->at;

  for (int next; (next = 2 * at + 1) < q->n; at = next)
    {
      if (next + 1 < q->n && q->busy[next + 1]->tag < q->busy[next]->tag)
        next++;
      if (q->busy[next]->tag >= f->tag)
        break;
      put (q, q->busy[next], at);
    }
  put (q, f, at);
}

static void
busy_add (fair_t *q, fair_flow_t *f)
{
  if (q->n == q->cap)
    {
      q->cap = q->cap ? 2 * q->cap : 16;
      q->busy = realloc (q->busy, (size_t)q->cap * sizeof (fair_flow_t *));
      if (q->busy == NULL)
        abort ();
    }
  put (q, f, q->n++);
  sift_up (q, f);
}

static void
busy_remove (fair_t *q, const fair_flow_t *f)
{
  fair_flow_t *last = q->busy[--q->n];

  if (last == f)
    return;
  put (q, last, f->at);
  sift_up (q, last);
  sift_down (q, last);
}

/* ---- arrivals and departures ---- */

void
fair_arrived (fair_t *q, fair_flow_t *f, double share, double ms)
{
  f->share = share;
  if (f->waiting++ == 0)
    {
      f->tag = tag_of (q, f);
      f->backlog = 0;
      busy_add (q, f);
    }
  f->backlog += work (ms);
}

void
fair_left (fair_t *q, fair_flow_t *f, double ms)
{
  f->backlog -= work (ms);
  if (--f->waiting == 0)
    busy_remove (q, f);
}

void
fair_ran (fair_t *q, fair_flow_t *f, double share, double ms)
{
  double start = tag_of (q, f), least = start;

  if (q->n && q->busy[0]->tag < least)
    least = q->busy[0]->tag;
  if (least < start - CLOCK_LAG)
    least = start - CLOCK_LAG;
  if (least > q->clock)
    q->clock = least;
  f->share = share;
  f->tag = start + work (ms) / share;
  if (f->waiting)
    sift_down (q, f);
}

void
fair_free (fair_t *q)
{
  free (q->busy);
  *q = (fair_t){ 0 };
}

/* ---- order ---- */

static int
compare (const void *a, const void *b)
{
  const fair_waiter_t *x = a, *y = b;

  return waiter_cmp (&x->w, &y->w, x->now);
}

void
fair_order (fair_t *q, fair_waiter_t *v, int n, msec_t now)
{
  for (int i = 0; i < n; i++)
    {
      v[i].now = now;
      v[i].w.rank = 0;
      v[i].flow->ahead = 0;
    }
  qsort (v, (size_t)n, sizeof *v, compare);
  if (q->n < 2)
    return;
  for (int i = 0; i < n; i++)
    {
      fair_flow_t *f = v[i].flow;
      v[i].w.rank = rank_at (q, f, f->ahead);
      f->ahead += work (v[i].w.ms);
    }
  qsort (v, (size_t)n, sizeof *v, compare);
}
