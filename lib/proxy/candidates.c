#include "local.h"

/* Describes the databases of a service for placement.  */

enum
{
  QUEUE_LONG = 8 /* statements that wait for a service at an owner */
};

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
   its share of the database's slots.  More would wait in the queue of the
   database, which knows no priority.  An owner with a long queue has more than
   its share of the clients and opens one more, but not to the primary, for the
   sake of the statements that only it can run.  */
static int
wanted (proxy_t *p, service_t *v, const db_t *d)
{
  if (!service_has_owners (p, v))
    return 1;
  bool queue = d != v->leader && v->nwaiting > QUEUE_LONG;
  return 1 + queue + d->slots / service_sharers (p, v);
}

/* This instance's share of half the database's connections, or of three
   quarters for an owner.  The rest stays free for the new connections after a
   power loss, while the database still counts the lost ones.  */
static int
link_share (proxy_t *p, service_t *v)
{
  bool own = service_has_owners (p, v);
  int sharers = service_sharers (p, v);

  /* With tenants the whole share is used: grown at once after the loss of many
     instances, it would exceed what the databases allow.  */
  if (p->setup && p->setup->tenanted && p->entries_held > p->entries
      && p->entries > 0)
    sharers = sharers * p->entries_held / p->entries;
  int share = (own ? v->connections * 3 / 4 : v->connections / 2) / sharers;

  return share < 2 ? 2 : share;
}

/* Those wanted, and one more for each that is pinned, up to the share.  Where
   connections belong to tenants the whole share: an idle one saves its tenant
   an opening.  */
int
link_limit (proxy_t *p, service_t *v, const db_t *d)
{
  int share = link_share (p, v);

  if (d->full_at && p->now - d->full_at < FULL_BACKOFF)
    return d->open + d->opening;
  bool tenants = p->setup && p->setup->tenanted;
  if (tenants && p->now - p->started >= ENTRIES_HOLD)
    return share;
  int need = (tenants ? START_CONNECTIONS : wanted (p, v, d)) + pinned (d);
  return need < share ? need : share;
}

/* Counts the connections to D of the tenant T.  A quarter of the limit is out
   of reach of one tenant, whose transactions may hold all that it has.  */
static void
count_own (proxy_t *p, const db_t *d, const tenant_t *t, candidate_t *c)
{
  for (const link_t *k = d->links; k; k = k->next)
    {
      if (k->tenant != t)
        continue;
      c->own_opening += k->state == LINK_OPENING;
      c->own += k->state != LINK_OPENING;
      c->idle += k->state == LINK_IDLE;
    }
  if (!c->tenants)
    return;
  const link_t *k = link_giving_way (d, t, p->now);
  c->own_limit = c->limit > 1 ? c->limit - (c->limit + 3) / 4 : 1;
  c->opening_limit = OPENINGS_MAX;
  c->give_way = k ? p->now - k->since : -1;
}

/* Keeps a read away from databases that fail more often than the others,
   unless no other can run it.  */
static void
leave_out_failing (candidate_t *c, db_t *const *db, int n, msec_t now)
{
  bool other = false;

  for (int i = 0; i < n; i++)
    other |= c[i].usable && outlier_may_use (&db[i]->outlier, now);
  for (int i = 0; i < n && other; i++)
    c[i].usable &= outlier_may_use (&db[i]->outlier, now);
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
      out[n] = (candidate_t){
        .leader = leads,
        .same_zone = str_eq (str_of (d->zone), p->conf.zone),
        .usable
        = !d->gone && d->avoid_until <= p->now
          && (!d->leaving || (leads && s->req.needs_leader))
          && (leads || s->req.needs_leader
              || progress_may_have (&d->progress, s->req.need,
                                    statement_need_age (s), p->now))
          && (!candidate_tried (&s->req, d) || (leads && s->req.needs_leader)),
        .opening = d->opening,
        .open = d->open,
        .limit = link_limit (p, v, d),
        .busy = d->open - d->idle,
        .ms = d->ms,
        .tenants = p->setup && p->setup->tenanted,
      };
      count_own (p, d, s->tenant, &out[n++]);
    }
  if (!s->req.needs_leader)
    leave_out_failing (out, db, n, p->now);
  return n;
}
