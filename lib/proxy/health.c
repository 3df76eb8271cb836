#include "local.h"

/* Whether this instance can't reach the primary of S.  */
static bool
leader_unreachable (service_t *s, msec_t now)
{
  const db_t *d = s->leader;

  if (s->dbs == NULL)
    return false;
  /* It was replaced, and no reachable database is the primary.  */
  if (s->leader == NULL && s->no_leader_since
      && now - s->no_leader_since >= LEADER_TIMEOUT)
    return true;
  if (d == NULL)
    for (d = s->dbs; d && !d->primary;)
      d = d->next;
  return d && d->fail_at >= 0 && now - d->fail_at >= LEADER_TIMEOUT;
}

/* The zone counts as cut off when neither control nor the primary of a service
   can be reached.  If only one of them can't, other zones are no better off.
   An instance that owns no connections can't observe the primaries itself.  An
   owner that is cut off closes the sessions forwarded to it, so the loss of an
   owner counts as the loss of a primary.  */
static bool
cut_off (proxy_t *p, msec_t now)
{
  if (now - p->watch.has_leader_at < CONTROL_TIMEOUT)
    return false;
  if (p->owner_lost_at && now - p->owner_lost_at < OWNER_LOST_TIME)
    return true;
  for (service_t *s = p->services; s; s = s->next)
    if (leader_unreachable (s, now))
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
      = p->stop_at < 0 && p->setup && has_databases (p) && p->cut_off_at < 0;

  if (cut && p->cut_off_at < 0)
    {
      log_event (EV_CUT_OFF, "control_ms=%lld sessions=%d",
                 (long long)(now - p->watch.has_leader_at), p->nsession);
      p->cut_off_at = now;
    }
  else if (!cut && p->cut_off_at >= 0
           && now - p->watch.has_leader_at < CONTROL_TIMEOUT)
    {
      log_event (EV_CUT_OVER, "ms=%lld", (long long)(now - p->cut_off_at));
      p->cut_off_at = -1;
    }
  if (ready == atomic_load (&p->ready))
    return;
  atomic_store (&p->ready, ready);
  if (ready)
    log_event (EV_READY, "version=%lld", (long long)p->setup->version);
}

bool
health_draining (const proxy_t *p, msec_t now)
{
  return (p->stop_at >= 0 && now - p->stop_at >= DRAIN_DELAY)
         || (p->cut_off_at >= 0 && now - p->cut_off_at >= DRAIN_DELAY);
}
