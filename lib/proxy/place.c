#include "proxy.h"

/* Statements that a replica may serve cost the primary a slot that writes
   need; they go there only when replicas are this much slower.  */
#define LEADER_WEIGHT 8.0
/* Between availability zones a statement costs a round trip and paid bytes. */
#define FAR_WEIGHT 4.0
/* ms, before the first answer of a database.  */
#define FIRST_MS 10.0

static double
cost (const site_t *s)
{
  double ms = s->ms > 0 ? s->ms : FIRST_MS;

  return ms * (1 + s->busy) * (s->leader ? LEADER_WEIGHT : 1)
         * (s->near ? 1 : FAR_WEIGHT);
}

/* Opening a connection takes a slot of the database for a while, so one at a
   time: many at once would keep the statements out.  */
static bool
can_open (const site_t *s)
{
  return s->open + s->opening < s->limit && s->opening == 0;
}

place_t
place_read (const site_t *s, int n)
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
  /* The best database is worth a new connection when it has none at all.  */
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
place_lead (const site_t *s, int n)
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
