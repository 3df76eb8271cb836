#include "admit.h"

enum
{
  SHARE = 1,       /* tenths of a retry earned by a request: 10% */
  RESERVE = 100,   /* tenths at the start, so that a failure early in a
                      process's life can be retried */
  MAX_SAVED = 1000 /* tenths; bounds a burst after a quiet time */
};

void
retry_init (retry_t *r)
{
  r->tenths = RESERVE;
}

void
retry_request (retry_t *r)
{
  if (r->tenths < MAX_SAVED)
    r->tenths += SHARE;
}

bool
retry_take (retry_t *r)
{
  if (r->tenths < 10)
    return false;
  r->tenths -= 10;
  return true;
}
