#include "proxy.h"

/* Which positions a replica lacks, from its own answers.

   The load that this answers: replicas that lag by seconds.  Each read was
   sent to every replica of its service and refused by all before the primary
   ran it, and again when it had to wait there.  */

enum
{
  DELAY_MIN = 20, /* ms */
  DELAY_MAX = 320 /* ms; a replica that has caught up is used again after this
                     time at the latest */
};

void
progress_refused (progress_t *g, pos_t need, msec_t now)
{
  bool again = g->until > now - g->delay;

  g->delay = !again || g->delay == 0 ? DELAY_MIN : 2 * g->delay;
  if (g->delay > DELAY_MAX)
    g->delay = DELAY_MAX;
  if (g->until <= now || pos_cmp (need, g->lacks) < 0)
    g->lacks = need;
  g->until = now + g->delay;
}

void
progress_reached (progress_t *g, pos_t pos)
{
  if (pos_cmp (pos, g->reached) > 0 || pos.term != g->reached.term)
    g->reached = pos;
  if (g->until && pos_cmp (g->reached, g->lacks) >= 0)
    g->until = g->delay = 0;
}

bool
progress_may_have (const progress_t *g, pos_t need, msec_t now)
{
  return now >= g->until || pos_cmp (need, g->lacks) < 0;
}
