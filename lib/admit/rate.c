#include "admit.h"

void
rate_init (rate_t *r)
{
  *r = (rate_t){ 0 };
}

/* Drops the sub-buckets that have left the window when BUCKET is the newest.
 */
static void
advance (rate_t *r, int64_t bucket)
{
  if (bucket <= r->last)
    return;
  if (bucket - r->last >= RATE_BUCKETS)
    {
      rate_init (r);
      r->last = bucket;
      return;
    }
  while (r->last < bucket)
    {
      uint32_t *c = &r->count[++r->last % RATE_BUCKETS];
      r->total -= (int32_t)*c;
      *c = 0;
    }
}

/* ms until the oldest sub-bucket with a count leaves the window.  */
static msec_t
until_free (const rate_t *r, msec_t width, msec_t now)
{
  int64_t b = r->last - RATE_BUCKETS + 1;

  while (b < r->last && (b < 0 || r->count[b % RATE_BUCKETS] == 0))
    b++;
  return (b + RATE_BUCKETS) * width - now;
}

bool
rate_take (rate_t *r, int limit, msec_t window, msec_t now, msec_t *wait)
{
  /* The sub-buckets without the newest cover a whole window, so that no window
     of WINDOW ms admits more than LIMIT, wherever it begins.  */
  msec_t width = window / (RATE_BUCKETS - 1);

  if (limit <= 0)
    return true;
  if (width < 1)
    width = 1;
  advance (r, now / width);
  if (r->total >= limit)
    {
      if (wait)
        *wait = until_free (r, width, now);
      return false;
    }
  r->count[r->last % RATE_BUCKETS]++;
  r->total++;
  return true;
}
