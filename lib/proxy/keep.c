#include "local.h"

/* How many connections are kept, and for how long.  */

void
links_close_quiet (proxy_t *p, db_t *d, msec_t since)
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

static bool
one_each (proxy_t *p, service_t *s)
{
  return p->entries > 0 && forward_owns (p, s) && !forward_expects (p, s)
         && s->connections > forward_sharers (p, s);
}

static db_t *
cold (proxy_t *p, msec_t now)
{
  for (service_t *s = p->services; s; s = s->next)
    for (db_t *d = s->dbs; d && one_each (p, s); d = d->next)
      if (d->open + d->opening == 0 && !d->leaving && !d->gone
          && d->avoid <= now && now - d->full_at >= FULL_HOLD)
        return d;
  return NULL;
}

void
links_warm (proxy_t *p, msec_t now)
{
  if (p->stop_at >= 0 || p->cut_at >= 0 || now - p->warmed < WARM_EVERY)
    return;
  db_t *d = cold (p, now);
  if (d == NULL)
    return;
  p->warmed = now;
  link_open (p, d);
  wake_at (p, now + WARM_EVERY);
}

void
links_sweep (proxy_t *p, service_t *s, msec_t now)
{
  link_t *next;

  for (db_t *d = s->dbs; d; d = d->next)
    for (link_t *k = d->links; k; k = next)
      {
        bool tight = d->full_at && now - d->full_at < 3000;
        msec_t keep = tight             ? IDLE_KEEP_SHORT
                      : d->open > 1     ? IDLE_KEEP_MORE
                      : one_each (p, s) ? IDLE_KEEP_LAST
                                        : IDLE_KEEP;
        next = k->next;
        if (k->state == LINK_OPENING && now - k->since >= CONNECT_TIME)
          {
            log_event (EV_DB_LOST,
                       "database=%s service=%s state=opening cause=timeout",
                       d->id, s->name);
            link_close (p, k);
            db_failed (p, d, now);
          }
        else if (k->state == LINK_IDLE
                 && (d->leaving || d->gone || now - k->since >= keep))
          link_close (p, k);
        else if (k->state == LINK_BUSY && k->owner == NULL
                 && now - k->since > SILENCE)
          link_close (p, k);
      }
}
