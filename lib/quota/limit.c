#include "quota.h"

/* docs/design/quotas.md, "Worst case".  */
#define EXCESS_NEEDED 0.1
/* Parts of the excess and of the slack that are given out in a window, and of
   the slack that is given out at once.  For a small tenant a zone's part is so
   low that the operations of a usual second would often exceed it.  The rest
   is left for failures.  */
#define EXCESS_GIVEN 0.02
#define SLACK_GIVEN 0.5
#define SLACK_CAPACITY 0.3
/* What an accountant that isn't the first grants, as a part of the fleet's
   rate and of the zone's.  */
#define SECOND_OF_FLEET 0.05
#define SECOND_MAX 0.5

quota_limit_t
quota_limit (const quota_rule_t *r, int64_t version, int64_t rate,
             int64_t burst)
{
  double zones = r->zones > 0 ? r->zones : 1;
  double window = r->window > 0 ? (double)r->window / 1000 : 1;
  double slack = r->slack / zones;
  double part = 1 / zones;

  /* Late grants and hand-overs need an excess of EXCESS_NEEDED.  */
  if (r->excess < EXCESS_NEEDED)
    part *= (1 + r->excess) / (1 + EXCESS_NEEDED);
  double most
      = ((double)rate * window + (double)burst) * part * (1 + EXCESS_GIVEN)
        + slack * SLACK_GIVEN;
  quota_limit_t l
      = { .version = version,
          .rate = most / window,
          .capacity = (double)burst * part + slack * SLACK_CAPACITY,
          .most = most,
          .window = r->window,
          .second = SECOND_OF_FLEET * zones };

  if (l.second > SECOND_MAX)
    l.second = SECOND_MAX;

  if (l.capacity < 1)
    l.capacity = 1;
  if (l.most < 1)
    l.most = 1;
  return l;
}

quota_limit_t
quota_limit_part (const quota_limit_t *l, int n)
{
  quota_limit_t part = *l;

  part.rate /= n > 0 ? n : 1;
  part.capacity /= n > 0 ? n : 1;
  part.most /= n > 0 ? n : 1;
  if (part.capacity < 1)
    part.capacity = 1;
  if (part.most < 1)
    part.most = 1;
  return part;
}
