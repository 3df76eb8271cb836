#include "quota.h"

/* The holder's side: grants of one tenant.  */

static void
count_use (quota_hold_t *h, msec_t now)
{
  msec_t age = now - h->slot;

  if (age >= QUOTA_RECENT)
    {
      h->used[1] = age < 2 * QUOTA_RECENT ? h->used[0] : 0;
      h->used[0] = 0;
      h->slot = now;
    }
  h->used[0]++;
}

/* Operations of the last QUOTA_RECENT ms, where the previous slot counts by
   the part of it that is as recent.  */
static int
recent_use (const quota_hold_t *h, msec_t now)
{
  msec_t age = now - h->slot;

  if (age >= 2 * QUOTA_RECENT)
    return 0;
  if (age >= QUOTA_RECENT)
    return (int)(h->used[0] * (2 * QUOTA_RECENT - age) / QUOTA_RECENT);
  return h->used[0] + (int)(h->used[1] * (QUOTA_RECENT - age) / QUOTA_RECENT);
}

quota_take_t
quota_hold_take (quota_hold_t *h, msec_t now, msec_t *until)
{
  if (h->tokens > 0 && now < h->until)
    {
      h->tokens--;
      count_use (h, now);
      *until = h->until;
      return QUOTA_GO;
    }
  h->tokens = 0;
  if (h->asked)
    return QUOTA_WAIT;
  return now < h->retry_at ? QUOTA_REFUSE : QUOTA_ASK;
}

void
quota_hold_ask (quota_hold_t *h, msec_t now, int *more, int *returned)
{
  *more = recent_use (h, now);
  *returned = now < h->spare_until ? h->spare : 0;
  h->spare = 0;
  h->asked = true;
  h->asked_at = now;
}

void
quota_hold_answer (quota_hold_t *h, const quota_answer_t *a, msec_t now)
{
  if (!h->asked)
    return;
  h->asked = false;
  h->tokens = a->tokens;
  h->until = h->asked_at + QUOTA_GRANT_LIFE;
  h->fresh = h->asked_at + QUOTA_RECENT;
  h->retry_at = a->retry > 0 ? now + a->retry : 0;
  if (now >= h->until)
    h->tokens = 0;
}

void
quota_hold_lost (quota_hold_t *h)
{
  h->asked = false;
}

void
quota_hold_back (quota_hold_t *h, msec_t until, msec_t now)
{
  if (now >= until)
    return;
  if (h->spare == 0 || now >= h->spare_until)
    {
      h->spare = 0;
      h->spare_until = until;
    }
  if (until < h->spare_until)
    h->spare_until = until;
  h->spare++;
}

int
quota_hold_leftover (quota_hold_t *h, msec_t now)
{
  int n = 0;

  if (h->tokens > 0 && now >= h->fresh)
    {
      n += now < h->until ? h->tokens : 0;
      h->tokens = 0;
    }
  if (h->spare > 0 && h->tokens == 0)
    {
      n += now < h->spare_until ? h->spare : 0;
      h->spare = 0;
    }
  return n;
}

msec_t
quota_hold_due (const quota_hold_t *h)
{
  if (h->tokens > 0)
    return h->fresh;
  return h->spare > 0 ? 0 : -1;
}
