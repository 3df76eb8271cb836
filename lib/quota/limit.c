#include "quota.h"

/* docs/design/quotas.md, "Worst case".  */
#define EXCESS_NEEDED 0.1
/* Parts of the slack that are given out.  For a small tenant a zone's part is
   so low that the operations of a usual second would often exceed it.  The
   rest is left for failures.  */
#define SLACK_CAPACITY 0.4
#define SLACK_RATE 0.2
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
  quota_limit_t l
      = { .version = version,
          .rate = (double)rate * part + slack * SLACK_RATE / window,
          .capacity = (double)burst * part + slack * SLACK_CAPACITY,
          .second = SECOND_OF_FLEET * zones };

  if (l.second > SECOND_MAX)
    l.second = SECOND_MAX;

  if (l.capacity < 1)
    l.capacity = 1;
  return l;
}

quota_limit_t
quota_limit_part (const quota_limit_t *l, int n)
{
  quota_limit_t part = *l;

  part.rate /= n > 0 ? n : 1;
  part.capacity /= n > 0 ? n : 1;
  if (part.capacity < 1)
    part.capacity = 1;
  return part;
}
