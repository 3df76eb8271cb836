#include "proxy.h"

/* A read that a replica may serve takes a slot of the primary that writes
   need; it runs there only when replicas are this many times slower.  */
#define LEADER_WEIGHT 8.0
/* Traffic between availability zones costs latency and is billed.  */
#define OTHER_ZONE_WEIGHT 4.0
/* ms, assumed before the first answer of a database.  */
#define DEFAULT_MS 10.0

static double
cost (const candidate_t *s)
{
  double ms = s->ms > 0 ? s->ms : DEFAULT_MS;

  return ms * (1 + s->busy) * (s->leader ? LEADER_WEIGHT : 1)
         * (s->same_zone ? 1 : OTHER_ZONE_WEIGHT);
}

/* Opening a connection occupies a slot of the database, so connections are
   opened one at a time: many at once would hold up statements.  */
static bool
can_open (const candidate_t *s)
{
  return s->open + s->opening < s->limit && s->opening == 0;
}

place_t
place_read (const candidate_t *s, int n)
{
  int best = -1, idle = -1, grow = -1, usable = 0;

  for (int i = 0; i < n; i++)
    {
      if (!s[i].usable)
        continue;
      usable++;
      if (best < 0 || cost (&s[i]) < cost (&s[best]))
        best = i;
      if (s[i].idle && (idle < 0 || cost (&s[i]) < cost (&s[idle])))
        idle = i;
      if (can_open (&s[i]) && (grow < 0 || cost (&s[i]) < cost (&s[grow])))
        grow = i;
    }
  if (usable == 0)
    return (place_t){ PLACE_NONE, -1 };
  /* Rather than use an idle connection to the primary, open a first one to a
     better replica.  */
  if (idle >= 0 && idle != best && grow == best && s[best].open == 0
      && s[best].opening == 0 && s[idle].leader)
    return (place_t){ PLACE_OPEN, best };
  if (idle >= 0)
    return (place_t){ PLACE_USE, idle };
  if (grow >= 0)
    return (place_t){ PLACE_OPEN, grow };
  return (place_t){ PLACE_WAIT, best };
}

place_t
place_leader (const candidate_t *s, int n)
{
  for (int i = 0; i < n; i++)
    {
      if (!s[i].leader || !s[i].usable)
        continue;
      if (s[i].idle)
        return (place_t){ PLACE_USE, i };
      return (place_t){ can_open (&s[i]) ? PLACE_OPEN : PLACE_WAIT, i };
    }
  return (place_t){ PLACE_NONE, -1 };
}
