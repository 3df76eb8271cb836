#include "base.h"

#include <stdio.h>
#include <stdlib.h>

/* Upper bounds of the buckets, in ms; one more bucket has no bound.  */
static const int64_t bounds[]
    = { 1, 2, 5, 10, 20, 50, 100, 200, 500, 1000, 2000, 5000 };

enum
{
  NBOUNDS = sizeof bounds / sizeof *bounds
};

struct hist
{
  counter_t *bucket[NBOUNDS + 1];
  counter_t *sum;
  counter_t *count;
};

hist_t *
hist_new (const char *name, const char *labels, const char *help)
{
  hist_t *h = calloc (1, sizeof *h);
  char series[256];

  if (h == NULL)
    abort ();
  for (int i = 0; i <= NBOUNDS; i++)
    {
      if (i < NBOUNDS)
        snprintf (series, sizeof series, "%s_bucket{%s,le=\"%lld\"}", name,
                  labels, (long long)bounds[i]);
      else
        snprintf (series, sizeof series, "%s_bucket{%s,le=\"+Inf\"}", name,
                  labels);
      h->bucket[i] = counter_get (series, help);
    }
  snprintf (series, sizeof series, "%s_sum{%s}", name, labels);
  h->sum = counter_get (series, help);
  snprintf (series, sizeof series, "%s_count{%s}", name, labels);
  h->count = counter_get (series, help);
  return h;
}

void
hist_add (hist_t *h, msec_t ms)
{
  for (int i = NBOUNDS; i >= 0 && (i == NBOUNDS || ms <= bounds[i]); i--)
    counter_add (h->bucket[i], 1);
  counter_add (h->sum, ms);
  counter_add (h->count, 1);
}
