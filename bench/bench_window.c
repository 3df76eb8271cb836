/* bench_window - rate limits at the boundary between two windows: the sliding
   window of sub-buckets (rate_take) compared with a fixed window that is reset
   every second.  Prints the most requests admitted in any second, the share of
   the limit that a steady client gets, memory and time per request.  */

#include "admit.h"

#include <stdio.h>
#include <stdlib.h>
#include <time.h>

enum
{
  LIMIT = 100,          /* requests in one window */
  WINDOW = 1000,        /* ms */
  DURATION = 600000,    /* ms, simulated */
  ADMITTED_MAX = 200000 /* requests */
};

typedef struct
{
  int64_t window;
  int count;
} fixed_t;

typedef struct
{
  fixed_t fixed;
  rate_t sliding;
} limiter_t;

static bool
fixed_take (fixed_t *f, msec_t now)
{
  if (now / WINDOW != f->window)
    *f = (fixed_t){ .window = now / WINDOW };
  if (f->count >= LIMIT)
    return false;
  f->count++;
  return true;
}

static bool
take (limiter_t *b, bool sliding, msec_t now)
{
  return sliding ? rate_take (&b->sliding, LIMIT, WINDOW, now, NULL)
                 : fixed_take (&b->fixed, now);
}

/* Simulates a client that sends PER_MS requests per ms in bursts of BURST ms,
   one burst every PERIOD ms, centred on a boundary between windows.  Puts the
   times of the admitted requests into AT and returns their number.  */
static int
run_client (bool sliding, int period, int burst, int per_ms, msec_t *at)
{
  limiter_t b = { 0 };
  int n = 0;

  for (msec_t now = 1000000; now < 1000000 + DURATION; now++)
    {
      msec_t phase = (now + burst / 2) % period;
      for (int i = 0; phase < burst && i < per_ms && n < ADMITTED_MAX; i++)
        if (take (&b, sliding, now))
          at[n++] = now;
    }
  return n;
}

/* The most of the N times in AT within any WINDOW.  */
static int
max_in_window (const msec_t *at, int n)
{
  int max = 0;

  for (int i = 0, j = 0; i < n; i++)
    {
      while (at[i] - at[j] >= WINDOW)
        j++;
      if (i - j + 1 > max)
        max = i - j + 1;
    }
  return max;
}

/* Time per request in ns.  */
static double
measure_ns (bool sliding)
{
  limiter_t b = { 0 };
  struct timespec t0;
  struct timespec t1;
  enum
  {
    REQUESTS = 20000000
  };
  int admitted = 0;

  clock_gettime (CLOCK_MONOTONIC, &t0);
  for (int i = 0; i < REQUESTS; i++)
    admitted += take (&b, sliding, 1000000 + i / 16);
  clock_gettime (CLOCK_MONOTONIC, &t1);
  if (admitted == 0)
    abort ();
  return ((double)(t1.tv_sec - t0.tv_sec) * 1e9
          + (double)(t1.tv_nsec - t0.tv_nsec))
         / REQUESTS;
}

int
main (void)
{
  msec_t *at = calloc (ADMITTED_MAX, sizeof *at);
  static const char *const names[] = { "fixed", "sliding" };

  if (at == NULL)
    return EXIT_FAILURE;
  printf ("limit %d in %d ms, %d s\n", LIMIT, WINDOW, DURATION / 1000);
  for (int s = 0; s < 2; s++)
    {
      int n = run_client (s, 2 * WINDOW, 100, 4, at);
      int at_boundary = max_in_window (at, n);
      n = run_client (s, WINDOW, WINDOW, 1, at);
      printf ("%-8s most in any second: bursts at the boundary %d, steady %d; "
              "steady client gets %.3f of the limit; %zu bytes, %.1f ns\n",
              names[s], at_boundary, max_in_window (at, n),
              (double)n * WINDOW / DURATION / LIMIT,
              s ? sizeof (rate_t) : sizeof (fixed_t), measure_ns (s));
    }
  free (at);
  return EXIT_SUCCESS;
}
