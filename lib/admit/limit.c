#include "limit.h"

#include <math.h>

enum
{
  START_LIMIT = 1,          /* requests */
  WINDOW_SIZE = 20,         /* answers in a window; fewer in slow start */
  BASELINE_INTERVAL = 64,   /* windows between two that measure the baseline */
  BASELINE_WINDOW_SIZE = 8, /* answers in a window that measures it */
  BASELINE_DIVISOR = 4      /* the limit is divided by this while measuring */
};

/* A mean latency above this multiple of the baseline counts as queueing.  */
static const double latency_tolerance = 1.5;
/* Requests added to the limit per window; also the length of the queue that
   remains at the database in a steady state.  */
static const double growth = 0.5;
/* A window shrinks the limit at most by this factor, a failure by exactly
   this.  */
static const double shrink = 0.5;
/* The baseline grows by this factor per window, so that it adapts to a
   database that has become permanently slower.  */
static const double baseline_rise = 1.001;
/* Weight of a new latency in the moving averages.  */
static const double service_weight = 0.1;
/* A latency is clipped to this multiple of the mean, so that a few answers
   delayed by a freeze do not dominate the estimate for later requests.  */
static const double outlier_factor = 3;

void
limit_init (limit_t *l, int cap)
{
  *l = (limit_t){ .cap = cap };
  limit_restart (l);
}

static void
new_window (limit_t *l)
{
  l->sum = 0;
  l->n = 0;
  l->peak = 0;
}

void
limit_restart (limit_t *l)
{
  l->limit = START_LIMIT;
  l->slow_start = true;
  l->windows = 0;
  new_window (l);
}

/* The present window measures the baseline, with the limit reduced.  */
static bool
measuring (const limit_t *l)
{
  return l->windows >= BASELINE_INTERVAL;
}

int
limit_now (const limit_t *l)
{
  double v = measuring (l) ? l->limit / BASELINE_DIVISOR : l->limit;

  if (v < 1)
    v = 1;
  return (int)(v < l->cap ? v : l->cap);
}

static void
adjust (limit_t *l, double mean)
{
  double g = fmin (1, fmax (shrink, latency_tolerance * l->baseline / mean));
  double ceiling = fmax (1, l->cap);

  if (l->slow_start && g < 1)
    l->slow_start = false;
  if (l->slow_start)
    l->limit *= 2;
  else
    l->limit = l->limit * g + growth;
  l->limit = fmin (ceiling, fmax (1, l->limit));
}

static void
end_window (limit_t *l)
{
  double mean = l->sum / l->n;
  bool used = l->peak >= limit_now (l);

  if (l->baseline <= 0 || mean < l->baseline)
    l->baseline = mean;
  else
    l->baseline *= baseline_rise;
  if (measuring (l))
    l->windows = 0;
  else
    {
      l->windows++;
      if (used)
        adjust (l, mean);
    }
  new_window (l);
}

static void
update_service (limit_t *l, double latency)
{
  if (l->service <= 0)
    {
      l->service = latency;
      return;
    }
  double diff = fmin (latency, outlier_factor * l->service) - l->service;
  l->service += service_weight * diff;
  l->deviation += service_weight * (fabs (diff) - l->deviation);
}

void
limit_sample (limit_t *l, double latency, int running)
{
  update_service (l, latency);
  if (l->holdoff > 0)
    l->holdoff--;
  /* Requests started before the limit was lowered still queue at the database
     and do not show the baseline.  */
  if (measuring (l) && running > limit_now (l))
    return;
  l->sum += latency;
  l->n++;
  if (running > l->peak)
    l->peak = running;
  if (l->n >= (measuring (l) ? BASELINE_WINDOW_SIZE : WINDOW_SIZE)
      || (l->slow_start && l->n >= 4 * l->limit))
    end_window (l);
}

/* Requests that run together often fail together: their failures reduce the
   limit once.  */
void
limit_reduce (limit_t *l, int running)
{
  if (l->holdoff > 0)
    {
      l->holdoff--;
      return;
    }
  l->limit = fmax (1, l->limit * shrink);
  l->slow_start = false;
  l->holdoff = running;
  new_window (l);
}
