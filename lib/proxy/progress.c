#include "proxy.h"

/* Which positions a replica lacks, from its own answers.

   The load that this answers: replicas that lag by seconds.  Each read was
   sent to every replica of its service and refused by all before the primary
   ran it, and again when it had to wait there.  */

enum
{
  DELAY_MIN = 20,  /* ms */
  DELAY_MAX = 320, /* ms; a replica that has caught up is used again after this
                      time at the latest */
  LAG_MAX = 1000   /* ms; longer lags are found by refusals alone */
};

/* Part by which an answer shortens the lag: it is tried again when the replica
   has become faster.  */
#define LAG_DECAY 0.005

void
progress_refused (progress_t *g, pos_t need, msec_t age, msec_t now)
{
  if (age >= 0 && age < LAG_MAX && (double)age >= g->lag)
    g->lag = (double)age + 1;
  bool again = g->until > now - g->delay;

  g->delay = !again || g->delay == 0 ? DELAY_MIN : 2 * g->delay;
  if (g->delay > DELAY_MAX)
    g->delay = DELAY_MAX;
  if (g->until <= now || pos_cmp (need, g->lacks) < 0)
    g->lacks = need;
  g->until = now + g->delay;
}

void
progress_reached (progress_t *g, pos_t pos, msec_t age)
{
  if (age >= 0)
    g->lag -= g->lag * LAG_DECAY;
  if (pos_cmp (pos, g->reached) > 0 || pos.term != g->reached.term)
    g->reached = pos;
  if (g->until && pos_cmp (g->reached, g->lacks) >= 0)
    g->until = g->delay = 0;
}

bool
progress_may_have (const progress_t *g, pos_t need, msec_t age, msec_t now)
{
  if (pos_cmp (need, g->reached) <= 0 && need.term == g->reached.term)
    return true;
  if (age >= 0 && (double)age < g->lag)
    return false;
  return now >= g->until || pos_cmp (need, g->lacks) < 0;
}
