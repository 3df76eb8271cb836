#include "base.h"

#include <stdio.h>
#include <stdlib.h>

/* ms; upper ends of the buckets, the last one holds the rest.  */
static const int64_t ends[]
    = { 1, 2, 5, 10, 20, 50, 100, 200, 500, 1000, 2000, 5000 };

enum
{
  ENDS = sizeof ends / sizeof *ends
};

struct hist
{
  counter_t *bucket[ENDS + 1];
  counter_t *sum;
  counter_t *count;
};

hist_t *
hist_new (const char *name, const char *labels, const char *help)
{
  hist_t *h = calloc (1, sizeof *h);
  char full[256];

  if (h == NULL)
    abort ();
  for (int i = 0; i <= ENDS; i++)
    {
      if (i < ENDS)
        snprintf (full, sizeof full, "%s_bucket{%s,le=\"%lld\"}", name, labels,
                  (long long)ends[i]);
      else
        snprintf (full, sizeof full, "%s_bucket{%s,le=\"+Inf\"}", name,
                  labels);
      h->bucket[i] = counter_get (full, help);
    }
  snprintf (full, sizeof full, "%s_sum{%s}", name, labels);
  h->sum = counter_get (full, help);
  snprintf (full, sizeof full, "%s_count{%s}", name, labels);
  h->count = counter_get (full, help);
  return h;
}

void
hist_add (hist_t *h, msec_t ms)
{
  for (int i = ENDS; i >= 0 && (i == ENDS || ms <= ends[i]); i--)
    counter_add (h->bucket[i], 1);
  counter_add (h->sum, ms);
  counter_add (h->count, 1);
}
