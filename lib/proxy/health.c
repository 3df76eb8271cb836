#include "local.h"

/* Whether the primary of S cannot be reached from here.  */
static bool
leader_lost (service_t *s, msec_t now)
{
  const db_t *d = s->leader;

  if (s->dbs == NULL)
    return false;
  /* It was replaced, and none that can be reached leads.  */
  if (s->leader == NULL && s->leaderless && now - s->leaderless >= CUT_LEADER)
    return true;
  if (d == NULL)
    for (d = s->dbs; d && !d->primary;)
      d = d->next;
  return d && d->fail_at >= 0 && now - d->fail_at >= CUT_LEADER;
}

/* Control and a primary at once out of reach: the zone is cut off.  One of
   them alone is no better elsewhere.  An instance that owns no connections
   learns of the primaries from the owners, which leave their sessions.  */
static bool
cut_off (proxy_t *p, msec_t now)
{
  if (now - p->watch.led < CUT_CONTROL)
    return false;
  if (p->owner_lost && now - p->owner_lost < OWNER_LOST)
    return true;
  for (service_t *s = p->services; s; s = s->next)
    if (leader_lost (s, now))
      return true;
  return false;
}

static bool
has_databases (const proxy_t *p)
{
  for (const service_t *s = p->services; s; s = s->next)
    if (s->dbs)
      return true;
  return false;
}

void
health_turn (proxy_t *p, msec_t now)
{
  bool cut = cut_off (p, now);
  bool ready
      = p->stop_at < 0 && p->setup && has_databases (p) && p->cut_at < 0;

  if (cut && p->cut_at < 0)
    {
      log_event (EV_CUT_OFF, "control_ms=%lld sessions=%d",
                 (long long)(now - p->watch.led), p->nsession);
      p->cut_at = now;
    }
  else if (!cut && p->cut_at >= 0 && now - p->watch.led < CUT_CONTROL)
    {
      log_event (EV_CUT_OVER, "ms=%lld", (long long)(now - p->cut_at));
      p->cut_at = -1;
    }
  if (ready == atomic_load (&p->ready))
    return;
  atomic_store (&p->ready, ready);
  if (ready)
    log_event (EV_READY, "version=%lld", (long long)p->setup->version);
}

bool
health_leaving (const proxy_t *p, msec_t now)
{
  return (p->stop_at >= 0 && now - p->stop_at >= NOT_READY_TIME)
         || (p->cut_at >= 0 && now - p->cut_at >= NOT_READY_TIME);
}
