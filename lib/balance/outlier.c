#include "balance.h"

/* The load that this answers: a database that registers as well and fails
   45% of its statements.  Its answers are fast, so the cheapest database by
   time was the failing one.  */

/* Weight of an answer in the moving share.  */
#define ANSWER_WEIGHT 0.0625F
/* Share of failures from which a database may be ejected.  A lost answer in
   twenty is no reason: the others would have to carry its load.  */
#define EJECT_SHARE 0.25F
/* The others must fail this much less.  */
#define EJECT_FACTOR 2.5F

static bool
is_known (const outlier_t *o, msec_t now)
{
  return o->answers >= OUTLIER_MIN && now - o->at < OUTLIER_STALE;
}

static void
forget (outlier_t *o)
{
  o->failing = 0;
  o->answers = 0;
}

void
outlier_answered (outlier_t *o, bool ok, msec_t now)
{
  if (o->answers && now - o->at >= OUTLIER_STALE)
    forget (o);
  o->failing += ANSWER_WEIGHT * ((ok ? 0.0F : 1.0F) - o->failing);
  if (o->answers < OUTLIER_MIN)
    o->answers++;
  o->at = now;
}

void
outlier_started (outlier_t *o, msec_t now)
{
  o->started_at = now;
}

static void
eject (outlier_t *o, msec_t now)
{
  msec_t ms = EJECT_MIN;

  /* Failures of the slow start follow on the ejection before; later ones are
     new.  */
  if (o->returned_at == 0 || now - o->returned_at > 2 * SLOW_START)
    o->ejections = 0;
  for (int i = 0; i < o->ejections && ms < EJECT_MAX; i++)
    ms *= 2;
  o->ejections++;
  o->ejected_until = now + ms;
  o->returned_at = o->ejected_until;
  o->started_at = 0;
  forget (o);
}

void
outlier_judge (outlier_t *o, const outlier_t *const *other, int n, msec_t now)
{
  float sum = 0;
  int known = 0, ejected = 0;

  if (!is_known (o, now) || o->failing < EJECT_SHARE || now < o->ejected_until)
    return;
  for (int i = 0; i < n; i++)
    if (now < other[i]->ejected_until)
      ejected++;
    else if (is_known (other[i], now))
      {
        sum += other[i]->failing;
        known++;
      }
  if (known && 2 * (ejected + 1) <= n + 1
      && o->failing >= EJECT_FACTOR * sum / (float)known)
    eject (o, now);
}

bool
outlier_may_use (const outlier_t *o, msec_t now)
{
  if (o->returned_at == 0)
    return true;
  if (now < o->ejected_until)
    return false;
  msec_t left = o->returned_at + SLOW_START - now;
  return left <= 0 || now - o->started_at >= OUTLIER_PROBE * left / SLOW_START;
}
