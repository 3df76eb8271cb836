/* Rate windows at the boundary between two windows: the sliding window of
   sub-buckets (rate_take) against a fixed window that starts anew every
   second.  Prints the most requests admitted in any second, the share of the
   permitted rate that a steady client gets, memory and time.  */

#include "admit.h"

#include <stdio.h>
#include <stdlib.h>
#include <time.h>

enum
{
  LIMIT = 100,
  WINDOW = 1000, /* ms */
  TIME = 600000, /* ms */
  MAX = 200000
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
} both_t;

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
take (both_t *b, bool sliding, msec_t now)
{
  return sliding ? rate_take (&b->sliding, LIMIT, WINDOW, now, NULL)
                 : fixed_take (&b->fixed, now);
}

/* A client that asks PER_MS times a ms in bursts of BURST ms, one in PERIOD
   ms, each around a boundary between windows.  */
static int
drive (bool sliding, int period, int burst, int per_ms, msec_t *at)
{
  both_t b = { 0 };
  int n = 0;

  for (msec_t now = 1000000; now < 1000000 + TIME; now++)
    {
      msec_t phase = (now + burst / 2) % period;
      for (int i = 0; phase < burst && i < per_ms && n < MAX; i++)
        if (take (&b, sliding, now))
          at[n++] = now;
    }
  return n;
}

static int
worst (const msec_t *at, int n)
{
  int most = 0;

  for (int i = 0, j = 0; i < n; i++)
    {
      while (at[i] - at[j] >= WINDOW)
        j++;
      if (i - j + 1 > most)
        most = i - j + 1;
    }
  return most;
}

static double
cost (bool sliding)
{
  both_t b = { 0 };
  struct timespec t0;
  struct timespec t1;
  enum
  {
    N = 20000000
  };
  int admitted = 0;

  clock_gettime (CLOCK_MONOTONIC, &t0);
  for (int i = 0; i < N; i++)
    admitted += take (&b, sliding, 1000000 + i / 16);
  clock_gettime (CLOCK_MONOTONIC, &t1);
  if (admitted == 0)
    abort ();
  return ((double)(t1.tv_sec - t0.tv_sec) * 1e9
          + (double)(t1.tv_nsec - t0.tv_nsec))
         / N;
}

int
main (void)
{
  msec_t *at = calloc (MAX, sizeof *at);
  static const char *const names[] = { "fixed", "sliding" };

  if (at == NULL)
    return EXIT_FAILURE;
  printf ("limit %d in %d ms, %d s\n", LIMIT, WINDOW, TIME / 1000);
  for (int s = 0; s < 2; s++)
    {
      int n = drive (s, 2 * WINDOW, 100, 4, at);
      int edge = worst (at, n);
      n = drive (s, WINDOW, WINDOW, 1, at);
      printf ("%-8s most in any second: bursts at the boundary %d, steady %d; "
              "steady client gets %.3f of the limit; %zu bytes, %.1f ns\n",
              names[s], edge, worst (at, n), (double)n * WINDOW / TIME / LIMIT,
              s ? sizeof (rate_t) : sizeof (fixed_t), cost (s));
    }
  free (at);
  return EXIT_SUCCESS;
}
