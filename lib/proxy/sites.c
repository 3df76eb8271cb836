#include "local.h"

/* What placement is told of each database of a service.  */

bool
site_tried (const request_t *r, const db_t *d)
{
  for (int i = 0; i < r->ntried; i++)
    if (r->tried[i] == d)
      return true;
  return false;
}

/* Connections held by a transaction, or by a statement whose session has gone
   and whose answer may never come.  */
static int
pinned (const db_t *d)
{
  int n = 0;

  for (const link_t *k = d->links; k; k = k->next)
    n += k->in_tx || (k->state == LINK_BUSY && k->owner == NULL);
  return n;
}

/* Connections for statements that run at once: one where every instance has
   its own; an owner's share of the database's slots, and one more, where few
   instances run the statements of all.  */
static int
wanted (proxy_t *p, service_t *v, const db_t *d)
{
  return forward_owned (p, v) ? 1 + 2 * d->slots / forward_sharers (p, v) : 1;
}

/* Connections that this instance may open to a database: one, and one more for
   each that a transaction holds while its client pauses, up to its share of
   half of them.  After a power loss the other half takes the new connections
   while the database still counts the lost ones.  */
static int
link_limit (proxy_t *p, service_t *v, const db_t *d)
{
  bool own = forward_owned (p, v);
  int share = (own ? v->connections * 3 / 4 : v->connections / 2)
              / forward_sharers (p, v);
  int need = wanted (p, v, d) + pinned (d);

  if (d->full_at && p->now - d->full_at < FULL_HOLD)
    return d->open + d->opening;
  if (share < 2)
    share = 2;
  return need < share ? need : share;
}

int
sites_list (proxy_t *p, session_t *s, site_t *out, db_t **db)
{
  service_t *v = s->service;
  db_t *lead = lead_pick (v, p->now);
  int n = 0;

  for (db_t *d = v->dbs; d && n < SITES_MAX; d = d->next)
    {
      bool leads = d == lead;
      db[n] = d;
      out[n++] = (site_t){
        .leader = leads,
        .near = str_eq (str_of (d->zone), p->conf.zone),
        .usable = !d->gone && d->avoid <= p->now
                  && (!d->leaving || (leads && s->req.lead))
                  && (!site_tried (&s->req, d) || (leads && s->req.lead)),
        .idle = d->idle,
        .opening = d->opening,
        .open = d->open,
        .limit = link_limit (p, v, d),
        .busy = d->open - d->idle,
        .ms = d->ms,
      };
    }
  return n;
}
