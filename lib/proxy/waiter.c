#include "proxy.h"

/* The order of statements that wait, and which of them are refused.

   The load that this answers: a service whose replicas lag or are down sends
   everything to its primary, which can run three quarters of it.  By arrival,
   every statement waits longer than its target, and the service earns the
   worth of late answers only.  */

static bool
in_time (const waiter_t *w, msec_t now)
{
  return (double)(w->target - now) >= w->ms;
}

int
waiter_cmp (const waiter_t *a, const waiter_t *b, msec_t now)
{
  bool x = in_time (a, now), y = in_time (b, now);

  if (a->rank != b->rank)
    return a->rank < b->rank ? -1 : 1;
  if (x != y)
    return x ? -1 : 1;
  if (a->priority != b->priority)
    return a->priority < b->priority ? -1 : 1;
  if (a->ms != b->ms)
    return a->ms < b->ms ? -1 : 1;
  return a->arrived < b->arrived ? -1 : a->arrived > b->arrived;
}

/* ---- rates ---- */

static void
roll (flow_t *f, msec_t now)
{
  if (f->active && now - f->current.since < FLOW_WINDOW)
    return;
  f->last = f->active ? f->current : (flow_window_t){ .since = now };
  f->current = (flow_window_t){ .since = now };
  f->active = true;
}

void
flow_arrived (flow_t *f, int kind, const waiter_t *w, msec_t now)
{
  roll (f, now);
  f->current.arrived[w->rank > 0][kind]++;
  f->priority[kind] = w->priority;
  f->ms[kind] = w->ms;
}

void
flow_started (flow_t *f, msec_t now)
{
  roll (f, now);
  f->current.started++;
}

void
flow_empty (flow_t *f)
{
  f->active = false;
}

/* ---- refusal ---- */

/* Statements of KIND that came, of tenants within their share, or BEYOND it.
 */
static int
arrivals (const flow_t *f, bool beyond, int kind)
{
  return f->last.arrived[beyond][kind] + f->current.arrived[beyond][kind];
}

/* Whether statements of KIND that can be answered in time run before W, when W
   has the rank that LATE gives it.  */
static bool
overtakes (const flow_t *f, bool beyond, int kind, const waiter_t *w,
           bool late)
{
  if (beyond != (w->rank > 0))
    return !beyond;
  return late || f->priority[kind] < w->priority
         || (f->priority[kind] == w->priority && f->ms[kind] < w->ms);
}

/* ms until W is started, at the rates of SPAN ms: the statements ahead and
   those that will overtake it meanwhile.  -1: never at these rates.  */
static double
expected_wait (const waiter_t *w, const flow_t *f, int ahead, bool late,
               double span)
{
  double leave = f->last.started + f->current.started, come = 0;

  for (int k = 0; k < WAITER_KINDS; k++)
    for (int beyond = 0; beyond < 2; beyond++)
      if (overtakes (f, beyond, k, w, late))
        come += arrivals (f, beyond, k);
  return leave > come ? ahead * span / (leave - come) : -1;
}

/* A statement that becomes late is overtaken by all that come after it, so
   under a lasting overload it is either answered in time or not at all.  */
bool
waiter_hopeless (const waiter_t *w, const flow_t *f, int ahead, msec_t now)
{
  double span = (double)(now - f->last.since);

  if (!f->active || span < FLOW_MIN
      || f->last.started + f->current.started == 0)
    return false;
  double wait = expected_wait (w, f, ahead, false, span);
  if (in_time (w, now) && wait >= 0
      && (double)now + wait + w->ms <= (double)w->target)
    return false;
  wait = expected_wait (w, f, ahead, true, span);
  return wait < 0 || (double)now + wait + w->ms > (double)w->deadline;
}
