#include "local.h"

/* The pool of connections to databases: opens some in advance, closes those
   idle or silent for too long.  */

void
links_close_unused (proxy_t *p, db_t *d, msec_t since)
{
  link_t *next;

  for (link_t *k = d->links; k; k = next)
    {
      next = k->next;
      if (k->state == LINK_IDLE && k->since < since)
        link_close (p, k);
    }
}

void
links_close_idle (proxy_t *p, db_t *d)
{
  link_t *next;

  for (link_t *k = d->links; k; k = next)
    {
      next = k->next;
      if (k->state == LINK_IDLE)
        link_close (p, k);
    }
}

link_t *
link_giving_way (const db_t *d, const tenant_t *t, msec_t now)
{
  link_t *best = NULL;

  /* A full database may refuse what would be opened instead.  */
  if (d->full_at && now - d->full_at < FULL_BACKOFF)
    return NULL;
  for (link_t *k = d->links; k; k = k->next)
    if (k->state == LINK_IDLE && k->tenant != t
        && (k->used || now - k->since >= UNUSED_TIME)
        && (best == NULL || k->since < best->since))
      best = k;
  return best;
}

/* Whether S is in the configuration and its limit allows a connection for each
   instance that opens connections to it.  */
static bool
one_per_instance (proxy_t *p, service_t *s)
{
  return p->entries > 0 && p->setup && s->setup_version == p->setup->version
         && service_may_connect (p, s) && !service_owners_pending (p, s)
         && s->connections > service_sharers (p, s);
}

static db_t *
unconnected_db (proxy_t *p, msec_t now)
{
  for (service_t *s = p->services; s; s = s->next)
    for (db_t *d = s->dbs; d && one_per_instance (p, s); d = d->next)
      if (d->open + d->opening == 0 && !d->leaving && !d->gone
          && d->avoid_until <= now && now - d->full_at >= FULL_BACKOFF)
        return d;
  return NULL;
}

void
links_warm (proxy_t *p, msec_t now)
{
  /* A connection of no tenant would serve public routes only.  */
  if (p->stop_at >= 0 || p->cut_off_at >= 0
      || now - p->warmed_at < WARM_INTERVAL
      || (p->setup && p->setup->tenanted))
    return;
  db_t *d = unconnected_db (p, now);
  if (d == NULL)
    return;
  p->warmed_at = now;
  link_open (p, d, NULL);
  wake_at (p, now + WARM_INTERVAL);
}

/* ms that an idle connection to D is kept.  */
static msec_t
idle_timeout (proxy_t *p, service_t *s, const db_t *d, msec_t now)
{
  if (d->full_at && now - d->full_at < FULL_TIME)
    return IDLE_TIMEOUT_FULL;
  if (p->setup && p->setup->tenanted)
    return service_may_connect (p, s) && d->open <= link_limit (p, s, d)
               ? IDLE_TIMEOUT_LAST
               : IDLE_TIMEOUT_SURPLUS;
  if (d->open > 1)
    return IDLE_TIMEOUT_SURPLUS;
  return one_per_instance (p, s) ? IDLE_TIMEOUT_LAST : IDLE_TIMEOUT;
}

void
links_sweep (proxy_t *p, service_t *s, msec_t now)
{
  link_t *next;

  for (db_t *d = s->dbs; d; d = d->next)
    for (link_t *k = d->links; k; k = next)
      {
        msec_t keep = idle_timeout (p, s, d, now);
        next = k->next;
        if (k->state == LINK_OPENING && now - k->since >= CONNECT_TIMEOUT)
          {
            log_event (EV_DB_LOST,
                       "database=%s service=" STR_FMT
                       " state=opening cause=timeout",
                       d->id, STR_ARG (s->name));
            link_close (p, k);
            db_failed (p, d, now);
          }
        else if (k->state == LINK_IDLE
                 && (d->leaving || d->gone || now - k->since >= keep))
          link_close (p, k);
        else if (k->state == LINK_BUSY && k->session == NULL
                 && now - k->since > ACK_TIMEOUT)
          link_close (p, k);
      }
}
