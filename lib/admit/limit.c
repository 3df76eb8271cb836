#include "limit.h"

#include <math.h>

enum
{
  START = 1,
  WINDOW = 20,        /* answers, at least, in a window */
  BASE_INTERVAL = 64, /* windows between two that measure the baseline */
  BASE_WINDOW = 8,    /* answers in those */
  BASE_SHARE = 4
};

/* Latency over the baseline by this factor counts as queueing.  */
static const double tolerance = 1.5;
/* Growth in a window without queueing; also the queue at the database that
   remains in a steady state.  */
static const double growth = 0.5;
/* A window shrinks the limit at most by this factor.  */
static const double shrink = 0.5;
/* Rise of the baseline in a window, so that a database that became slower for
   good is learned.  */
static const double rise = 1.001;
static const double service_weight = 0.1;
/* A latency counts at most as this many times the mean, so that the few
   answers held up by a freeze do not pass for the time of all later ones.  */
static const double outlier = 3;

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
  l->limit = START;
  l->slow = true;
  l->windows = 0;
  new_window (l);
}

/* A window that measures the baseline has a fraction of the limit.  */
static bool
measuring (const limit_t *l)
{
  return l->windows >= BASE_INTERVAL;
}

int
limit_now (const limit_t *l)
{
  double v = measuring (l) ? l->limit / BASE_SHARE : l->limit;

  if (v < 1)
    v = 1;
  return (int)(v < l->cap ? v : l->cap);
}

static void
adjust (limit_t *l, double mean)
{
  double g = fmin (1, fmax (shrink, tolerance * l->base / mean));
  double ceiling = fmax (1, l->cap);

  if (l->slow && g < 1)
    l->slow = false;
  if (l->slow)
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

  if (l->base <= 0 || mean < l->base)
    l->base = mean;
  else
    l->base *= rise;
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
learn_service (limit_t *l, double latency)
{
  if (l->service <= 0)
    {
      l->service = latency;
      return;
    }
  double off = fmin (latency, outlier * l->service) - l->service;
  l->service += service_weight * off;
  l->spread += service_weight * (fabs (off) - l->spread);
}

void
limit_sample (limit_t *l, double latency, int running)
{
  learn_service (l, latency);
  if (l->rest > 0)
    l->rest--;
  /* Requests from before the limit was lowered still queue with many.  */
  if (measuring (l) && running > limit_now (l))
    return;
  l->sum += latency;
  l->n++;
  if (running > l->peak)
    l->peak = running;
  if (l->n >= (measuring (l) ? BASE_WINDOW : WINDOW)
      || (l->slow && l->n >= 4 * l->limit))
    end_window (l);
}

/* Requests that were running together fail together; they count as one
   cut.  */
void
limit_cut (limit_t *l, int running)
{
  if (l->rest > 0)
    {
      l->rest--;
      return;
    }
  l->limit = fmax (1, l->limit * shrink);
  l->slow = false;
  l->rest = running;
  new_window (l);
}
