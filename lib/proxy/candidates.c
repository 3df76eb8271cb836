#include "local.h"

/* Describes the databases of a service for placement.  */

bool
candidate_tried (const request_t *r, const db_t *d)
{
  for (int i = 0; i < r->ntried; i++)
    if (r->tried[i] == d)
      return true;
  return false;
}

/* Number of connections held by a transaction, or by a statement whose session
   has closed and whose answer may never arrive.  */
static int
pinned (const db_t *d)
{
  int n = 0;

  for (const link_t *k = d->links; k; k = k->next)
    n += k->in_tx || (k->state == LINK_BUSY && k->session == NULL);
  return n;
}

/* Number of connections for concurrent statements: one if every instance opens
   its own; for an owner, which runs the statements of many, one more than
   twice its share of the database's slots.  */
static int
wanted (proxy_t *p, service_t *v, const db_t *d)
{
  return service_has_owners (p, v) ? 1 + 2 * d->slots / service_sharers (p, v)
                                   : 1;
}

/* Limit of connections from this instance to D: those wanted, and one more for
   each that is pinned, up to the instance's share of half the database's
   connections, or of three quarters for an owner.  The rest stays free for the
   new connections after a power loss, while the database still counts the lost
   ones.  */
static int
link_limit (proxy_t *p, service_t *v, const db_t *d)
{
  bool own = service_has_owners (p, v);
  int share = (own ? v->connections * 3 / 4 : v->connections / 2)
              / service_sharers (p, v);
  int need = wanted (p, v, d) + pinned (d);

  if (d->full_at && p->now - d->full_at < FULL_BACKOFF)
    return d->open + d->opening;
  if (share < 2)
    share = 2;
  return need < share ? need : share;
}

int
candidates_list (proxy_t *p, session_t *s, candidate_t *out, db_t **db)
{
  service_t *v = s->service;
  db_t *lead = leader_pick (v, p->now);
  int n = 0;

  for (db_t *d = v->dbs; d && n < CANDIDATES_MAX; d = d->next)
    {
      bool leads = d == lead;
      db[n] = d;
      out[n++] = (candidate_t){
        .leader = leads,
        .same_zone = str_eq (str_of (d->zone), p->conf.zone),
        .usable
        = !d->gone && d->avoid_until <= p->now
          && (!d->leaving || (leads && s->req.needs_leader))
          && (leads || s->req.needs_leader
              || progress_may_have (&d->progress, s->req.need,
                                    statement_need_age (s), p->now))
          && (!candidate_tried (&s->req, d) || (leads && s->req.needs_leader)),
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
