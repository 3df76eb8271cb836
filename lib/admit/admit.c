#include "admit.h"

#include "limit.h"
#include "queue.h"

#include <math.h>

/* Spreads over the mean service time that a deadline must leave.  */
static const double spreads = 3;

enum
{
  /* A queue that is not empty for this time stands: it serves no more requests
     than a short one would, but each of them waits, and with it the client's
     session.  Until then it may hold a burst up to its deadlines.  */
  STANDING = 500, /* ms */
  /* In a standing queue a request must leave 1 / SPARE of its time unused.  */
  SPARE = 2
};

struct admit
{
  queue_t queue;
  msec_t empty; /* when the queue was last seen empty */
  limit_t limit;
  int running;
  wait_t *out; /* displaced requests to be reported as refused */
  int nout;
};

admit_t *
admit_new (apr_pool_t *pool, admit_conf_t c)
{
  admit_t *a = apr_pcalloc (pool, sizeof *a);

  queue_init (&a->queue, pool, c.queue);
  limit_init (&a->limit, c.cap);
  a->out = apr_pcalloc (pool, (size_t)a->queue.cap * sizeof *a->out);
  return a;
}

/* ms until a request with AHEAD others in front of it starts: by Little's
   law, LIMIT / SERVICE requests end in a ms.  */
static double
wait_time (const admit_t *a, int ahead)
{
  int limit = limit_now (&a->limit);
  int over = a->running + ahead + 1 - limit;

  if (over <= 0 || limit < 1)
    return 0;
  return over * a->limit.service / limit;
}

double
admit_wait (const admit_t *a, double worth, msec_t deadline)
{
  wait_t w = { .worth = worth, .deadline = deadline };

  return wait_time (a, queue_ahead (&a->queue, &w));
}

/* ms that a request probably takes at the database.  A mean alone starts many
   that end late and have used a slot for nothing.  */
static double
likely_service (const admit_t *a)
{
  return a->limit.service + spreads * a->limit.spread;
}

/* With nothing running, a request is let through whatever the learned service
   time: a time learned from a stall would otherwise refuse everything and
   never be corrected.  */
static bool
too_late (const admit_t *a, const wait_t *w, double wait, msec_t now)
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

static msec_t
latest_end (admit_t *a, msec_t deadline, msec_t now)
{
  if (a->queue.n == 0)
    a->empty = now;
  if (now - a->empty < STANDING || deadline <= now)
    return deadline;
  return deadline - (deadline - now) / SPARE;
}

bool
admit_offer (admit_t *a, uint64_t id, double worth, msec_t deadline,
             msec_t now, admit_kind_t *why)
{
  wait_t w = { id, worth, latest_end (a, deadline, now) };
  int ahead = queue_ahead (&a->queue, &w);

  if (too_late (a, &w, wait_time (a, ahead), now))
    return refuse (why, ADMIT_TOO_LATE);
  if (a->queue.n == a->queue.cap)
    {
      if (ahead == a->queue.n || a->nout == a->queue.cap)
        return refuse (why, ADMIT_FULL);
      a->out[a->nout++] = queue_drop (&a->queue);
    }
  queue_put (&a->queue, w);
  return true;
}

admit_action_t
admit_next (admit_t *a, msec_t now)
{
  wait_t w;
  double latest = (double)now + (a->running ? likely_service (a) : 0);

  if (a->nout)
    return (admit_action_t){ ADMIT_FULL, a->out[--a->nout].id };
  if (queue_expired (&a->queue, latest, &w))
    return (admit_action_t){ ADMIT_TOO_LATE, w.id };
  if (a->queue.n == 0 || a->running >= limit_now (&a->limit))
    return (admit_action_t){ ADMIT_NOTHING, 0 };
  w = queue_take (&a->queue);
  a->running++;
  return (admit_action_t){ ADMIT_START, w.id };
}

void
admit_done (admit_t *a, double latency, admit_outcome_t o, msec_t now)
{
  (void)now;
  if (o == ADMIT_OK)
    limit_sample (&a->limit, latency, a->running);
  else if (o != ADMIT_VOID)
    limit_cut (&a->limit, a->running);
  if (a->running > 0)
    a->running--;
}

bool
admit_withdraw (admit_t *a, uint64_t id)
{
  for (int i = 0; i < a->nout; i++)
    if (a->out[i].id == id)
      {
        a->out[i] = a->out[--a->nout];
        return true;
      }
  return queue_remove (&a->queue, id);
}

msec_t
admit_wake (const admit_t *a)
{
  if (a->nout)
    return 0;
  if (a->queue.n == 0)
    return -1;
  return a->queue.earliest
         - (a->running ? (msec_t)floor (likely_service (a)) : 0);
}

void
admit_cap (admit_t *a, int cap)
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
                          .baseline = a->limit.base,
                          .running = a->running,
                          .waiting = a->queue.n };
}
