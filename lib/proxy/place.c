#include "proxy.h"

/* A read that a replica may serve takes a slot of the primary that writes
   need; it runs there only when replicas are this many times slower.  */
#define LEADER_WEIGHT 8.0
/* Traffic between availability zones costs latency and is billed.  */
#define OTHER_ZONE_WEIGHT 4.0
/* ms that a connection of another tenant must have been idle before it is
   closed for a tenant that has one already.  */
#define GIVE_WAY_IDLE 1000
/* ms, assumed before the first answer of a database.  */
#define DEFAULT_MS 10.0

static double
cost (const candidate_t *s)
{
  double ms = s->ms > 0 ? s->ms : DEFAULT_MS;

  return ms * (1 + s->busy) * (s->leader ? LEADER_WEIGHT : 1)
         * (s->same_zone ? 1 : OTHER_ZONE_WEIGHT);
}

static bool
has_room (const candidate_t *s)
{
  return s->open + s->opening < s->limit;
}

/* Opening a connection occupies a slot of the database, so connections are
   opened one at a time: many at once would hold up statements.  Where they
   belong to tenants, a few at a time for different tenants, so that none waits
   for the opening of another.  IDLE_MIN: ms that a connection of another
   tenant must have been idle to give way.  */
static bool
can_open (const candidate_t *s, msec_t idle_min)
{
  if (!s->tenants)
    return has_room (s) && s->opening == 0;
  return s->own_opening == 0 && s->opening < s->opening_limit
         && s->own < s->own_limit && (has_room (s) || s->give_way >= idle_min);
}

/* A tenant that has a connection soon has it idle again; closing one that
   another tenant uses often would cost an opening each time.  */
static msec_t
idle_min (const candidate_t *s, int n)
{
  for (int i = 0; i < n; i++)
    if (s[i].usable && s[i].own + s[i].own_opening)
      return GIVE_WAY_IDLE;
  return 0;
}

static bool
first_one (const candidate_t *s)
{
  if (s->tenants)
    return s->own == 0 && s->own_opening == 0 && has_room (s);
  return s->open == 0 && s->opening == 0;
}

/* Whether a read may go to S now.  At a primary that runs statements it would
   take a slot that these need, unless S alone can run it.  Where connections
   belong to tenants, the read's tenant may have none but that one.  */
static bool
suits_read (const candidate_t *s, bool alone)
{
  return alone || !s->leader || s->busy == 0 || s->tenants;
}

place_t
place_read (const candidate_t *s, int n)
{
  int best = -1, idle = -1, grow = -1, usable = 0;
  msec_t old = idle_min (s, n);

  for (int i = 0; i < n; i++)
    usable += s[i].usable;
  for (int i = 0; i < n; i++)
    {
      if (!s[i].usable)
        continue;
      if (best < 0 || cost (&s[i]) < cost (&s[best]))
        best = i;
      if (s[i].idle && suits_read (&s[i], usable == 1)
          && (idle < 0 || cost (&s[i]) < cost (&s[idle])))
        idle = i;
      if (can_open (&s[i], old) && suits_read (&s[i], usable == 1)
          && (grow < 0 || cost (&s[i]) < cost (&s[grow])))
        grow = i;
    }
  if (usable == 0)
    return (place_t){ PLACE_NONE, -1 };
  /* Rather than use an idle connection to the primary, open a first one to a
     better replica, if there is room.  */
  if (idle >= 0 && idle != best && grow == best && first_one (&s[best])
      && s[idle].leader)
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
      msec_t old = s[i].own + s[i].own_opening ? GIVE_WAY_IDLE : 0;
      return (place_t){ can_open (&s[i], old) ? PLACE_OPEN : PLACE_WAIT, i };
    }
  return (place_t){ PLACE_NONE, -1 };
}
