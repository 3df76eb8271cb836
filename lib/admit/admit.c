#include "admit.h"

#include "limit.h"
#include "queue.h"

#include <math.h>

/* Mean deviations above the mean service time for which a deadline must leave
   time.  */
static const double deviations = 3;

enum
{
  /* A queue that has not been empty for this time is a standing queue: it
     serves no more requests than a short one, but delays each of them and its
     client's session.  Until then the queue may hold a burst of requests up to
     their deadlines.  */
  STANDING_TIME = 500, /* ms */
  /* In a standing queue, a request must have 1 / SPARE_DIVISOR of its time
     left when it ends.  */
  SPARE_DIVISOR = 2
};

struct admit
{
  queue_t queue;
  msec_t last_empty; /* when the queue was last found empty */
  limit_t limit;
  int running;
  waiter_t *displaced; /* removed from a full queue, not yet reported */
  int ndisplaced;
};

admit_t *
admit_new (apr_pool_t *pool, admit_conf_t c)
{
  admit_t *a = apr_pcalloc (pool, sizeof *a);

  queue_init (&a->queue, pool, c.queue);
  limit_init (&a->limit, c.cap);
  a->displaced
      = apr_pcalloc (pool, (size_t)a->queue.cap * sizeof *a->displaced);
  return a;
}

/* ms until a request with AHEAD others in front of it starts: by Little's
   law, LIMIT / SERVICE requests end per ms.  */
static double
wait_time (const admit_t *a, int ahead)
{
  int limit = limit_now (&a->limit);
  int excess = a->running + ahead + 1 - limit;

  if (excess <= 0 || limit < 1)
    return 0;
  return excess * a->limit.service / limit;
}

double
admit_wait (const admit_t *a, double worth, msec_t deadline)
{
  waiter_t w = { .worth = worth, .deadline = deadline };

  return wait_time (a, queue_ahead (&a->queue, &w));
}

/* ms that a request is likely to take at most at the database.  With the mean
   alone, many requests would be started that end late and waste a slot.  */
static double
likely_service (const admit_t *a)
{
  return a->limit.service + deviations * a->limit.deviation;
}

/* While nothing is running, a request is admitted whatever the estimated
   service time: an estimate raised by a stall would otherwise refuse every
   request and never be corrected.  */
static bool
too_late (const admit_t *a, const waiter_t *w, double wait, msec_t now)
{
  if (a->running == 0)
    return w->deadline <= now;
  return (double)now + wait + likely_service (a) >= (double)w->deadline;
}

static bool
refuse (admit_kind_t *why, admit_kind_t kind)
{
  if (why)
    *why = kind;
  return false;
}

/* DEADLINE, brought forward while the queue is a standing one.  */
static msec_t
effective_deadline (admit_t *a, msec_t deadline, msec_t now)
{
  if (a->queue.n == 0)
    a->last_empty = now;
  if (now - a->last_empty < STANDING_TIME || deadline <= now)
    return deadline;
  return deadline - (deadline - now) / SPARE_DIVISOR;
}

bool
admit_offer (admit_t *a, uint64_t id, double worth, msec_t deadline,
             msec_t now, admit_kind_t *why)
{
  waiter_t w = { id, worth, effective_deadline (a, deadline, now) };
  int ahead = queue_ahead (&a->queue, &w);

  if (too_late (a, &w, wait_time (a, ahead), now))
    return refuse (why, ADMIT_TOO_LATE);
  if (a->queue.n == a->queue.cap)
    {
      if (ahead == a->queue.n || a->ndisplaced == a->queue.cap)
        return refuse (why, ADMIT_FULL);
      a->displaced[a->ndisplaced++] = queue_drop_last (&a->queue);
    }
  queue_insert (&a->queue, w);
  return true;
}

admit_action_t
admit_next (admit_t *a, msec_t now)
{
  waiter_t w;
  double latest = (double)now + (a->running ? likely_service (a) : 0);

  if (a->ndisplaced)
    return (admit_action_t){ ADMIT_FULL, a->displaced[--a->ndisplaced].id };
  if (queue_expired (&a->queue, latest, &w))
    return (admit_action_t){ ADMIT_TOO_LATE, w.id };
  if (a->queue.n == 0 || a->running >= limit_now (&a->limit))
    return (admit_action_t){ ADMIT_NOTHING, 0 };
  w = queue_pop (&a->queue);
  a->running++;
  return (admit_action_t){ ADMIT_START, w.id };
}

void
admit_done (admit_t *a, double latency, admit_outcome_t o, msec_t now)
{
  (void)now;
  if (o == ADMIT_OK)
    limit_sample (&a->limit, latency, a->running);
  else if (o != ADMIT_UNTIMED)
    limit_reduce (&a->limit, a->running);
  if (a->running > 0)
    a->running--;
}

bool
admit_withdraw (admit_t *a, uint64_t id)
{
  for (int i = 0; i < a->ndisplaced; i++)
    if (a->displaced[i].id == id)
      {
        a->displaced[i] = a->displaced[--a->ndisplaced];
        return true;
      }
  return queue_remove (&a->queue, id);
}

msec_t
admit_wake_time (const admit_t *a)
{
  if (a->ndisplaced)
    return 0;
  if (a->queue.n == 0)
    return -1;
  return a->queue.earliest
         - (a->running ? (msec_t)floor (likely_service (a)) : 0);
}

void
admit_set_cap (admit_t *a, int cap)
{
  a->limit.cap = cap < 0 ? 0 : cap;
}

void
admit_restart (admit_t *a, msec_t now)
{
  (void)now;
  limit_restart (&a->limit);
}

admit_state_t
admit_state (const admit_t *a)
{
  return (admit_state_t){ .limit = a->limit.limit,
                          .service = a->limit.service,
                          .baseline = a->limit.baseline,
                          .running = a->running,
                          .waiting = a->queue.n };
}
