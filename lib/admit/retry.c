#include "admit.h"

enum
{
  RETRY_SHARE = 1,      /* tenths of a retry added per request: 10% */
  INITIAL_BUDGET = 100, /* tenths, for failures soon after the start */
  MAX_BUDGET = 1000     /* tenths; bounds a burst of retries after idle time */
};

void
retry_init (retry_t *r)
{
  r->tenths = INITIAL_BUDGET;
}

void
retry_request (retry_t *r)
{
  if (r->tenths < MAX_BUDGET)
    r->tenths += RETRY_SHARE;
}

bool
retry_take (retry_t *r)
{
  if (r->tenths < 10)
    return false;
  r->tenths -= 10;
  return true;
}
