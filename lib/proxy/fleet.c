#include "local.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

static service_t *
service_find (const proxy_t *p, str_t name)
{
  return apr_hash_get (p->service_by_name, name.p, (apr_ssize_t)name.n);
}

service_t *
service_get (proxy_t *p, str_t name)
{
  service_t *s = service_find (p, name);

  if (s)
    return s;
  s = apr_pcalloc (p->pool, sizeof *s);
  s->proxy = p;
  s->name = str_dup (p->pool, name);
  s->connections = 8;
  s->next = p->services;
  p->services = s;
  apr_hash_set (p->service_by_name, s->name.p, (apr_ssize_t)name.n, s);
  return s;
}

const route_entry_t *
route_find (proxy_t *p, str_t host)
{
  return p->routes ? apr_hash_get (p->routes, host.p, (apr_ssize_t)host.n)
                   : NULL;
}

/* ---- the leader of a service ---- */

static bool
may_lead (const db_t *d, msec_t now)
{
  return !d->gone && d->not_leader_until <= now && d->avoid_until <= now;
}

/* Without control this instance doesn't learn of a new primary.  It then tries
   the other databases in turn: a statement that needs the leader is refused by
   the others, so a wrong guess costs one round trip.  Once the instance counts
   as cut off, such statements are refused at once.  */
static db_t *
leader_guess (const service_t *s, msec_t now)
{
  db_t *best = NULL;

  if (now - s->proxy->watch.has_leader_at < CONTROL_TIMEOUT
      || s->proxy->cut_off_at >= 0)
    return NULL;
  for (db_t *d = s->dbs; d; d = d->next)
    if (!d->gone && !d->leaving && may_lead (d, now)
        && (best == NULL || d->not_leader_until < best->not_leader_until))
      best = d;
  return best;
}

db_t *
leader_pick (service_t *s, msec_t now)
{
  db_t *best = NULL;

  if (s->leader && may_lead (s->leader, now))
    return s->leader;
  for (db_t *d = s->dbs; d; d = d->next)
    if (d->primary && may_lead (d, now)
        && (best == NULL || d->leaving < best->leaving))
      best = d;
  return best ? best : leader_guess (s, now);
}

void
leader_confirmed (service_t *s, db_t *d)
{
  d->not_leader_until = 0;
  s->no_leader_since = 0;
  if (s->leader == d)
    return;
  log_event (EV_LEADER, "service=" STR_FMT " database=%s before=%s",
             STR_ARG (s->name), d->id, s->leader ? s->leader->id : "-");
  s->leader = d;
}

void
leader_refused (service_t *s, db_t *d, msec_t now)
{
  d->not_leader_until = now + LEADER_RETRY;
  if (s->leader != d)
    return;
  s->leader = NULL;
  s->no_leader_since = now;
}

void
db_answered (db_t *d, msec_t now)
{
  d->ok_at = now;
  d->fail_at = -1;
  d->backoff = 0;
  d->avoid_until = 0;
}

void
db_result (db_t *d, bool ok, msec_t now)
{
  const outlier_t *other[CANDIDATES_MAX];
  msec_t ejected_until = d->outlier.ejected_until;
  int n = 0;

  outlier_answered (&d->outlier, ok, now);
  if (ok)
    return;
  for (const db_t *x = d->service->dbs; x && n < CANDIDATES_MAX; x = x->next)
    if (x != d && !x->gone && x->avoid_until <= now)
      other[n++] = &x->outlier;
  outlier_judge (&d->outlier, other, n, now);
  if (d->outlier.ejected_until != ejected_until)
    log_event (EV_EJECTED, "database=%s service=" STR_FMT " ms=%lld times=%d",
               d->id, STR_ARG (d->service->name),
               (long long)(d->outlier.ejected_until - now),
               d->outlier.ejections);
}

void
db_failed (proxy_t *p, db_t *d, msec_t now)
{
  if (d->fail_at < 0)
    d->fail_at = now;
  d->backoff = d->backoff ? 2 * d->backoff : BACKOFF_MIN;
  if (d->backoff > BACKOFF_MAX)
    d->backoff = BACKOFF_MAX;
  d->avoid_until = now + d->backoff;
  p->watch.urgent = true;
}

/* ---- updates from control ---- */

static db_t *
db_find (service_t *s, str_t id)
{
  for (db_t *d = s->dbs; d; d = d->next)
    if (str_eq (str_of (d->id), id))
      return d;
  return NULL;
}

/* ID was checked.  */
static db_t *
db_new (service_t *s, str_t id)
{
  db_t *d = calloc (1, sizeof *d);

  if (d == NULL)
    abort ();
  d->service = s;
  d->ok_at = d->fail_at = -1;
  if (!str_copy (d->id, sizeof d->id, id))
    abort ();
  d->next = s->dbs;
  s->dbs = d;
  return d;
}

/* The database restarted under the same id: its connections are invalid.  */
static void
db_restarted (proxy_t *p, db_t *d, const backend_t *b)
{
  links_close_idle (p, d);
  d->primary = d->leaving = d->gone = false;
  d->ms = 0;
  d->fail_at = d->ok_at = -1;
  d->avoid_until = d->backoff = d->full_at = 0;
  d->progress = (progress_t){ 0 };
  d->outlier = (outlier_t){ 0 };
  d->born = b->born;
  d->seq = -1;
  if (d->service->leader == d)
    d->service->leader = NULL;
}

static void
db_update (proxy_t *p, const backend_t *b)
{
  err_t e = { 0 };
  char line[256];

  if (!backend_check (b, &e))
    {
      err_line (&e, line, sizeof line);
      log_event (EV_DATABASE_REFUSED, "database=" STR_FMT " cause=%s",
                 STR_ARG (b->id), line);
      return;
    }
  service_t *s
      = b->gone ? service_find (p, b->service) : service_get (p, b->service);
  db_t *d = s ? db_find (s, b->id) : NULL;

  if (d ? b->born < d->born : b->gone)
    return;
  if (d == NULL)
    d = db_new (s, b->id);
  if (b->born > d->born)
    db_restarted (p, d, b);
  if (b->seq < d->seq)
    return;
  if (!b->gone)
    {
      str_copy (d->address, sizeof d->address, b->address);
      str_copy (d->zone, sizeof d->zone, b->zone);
      d->slots = (int)b->slots;
    }
  if (d->leaving != b->leaving || d->gone != b->gone
      || d->primary != b->primary || d->seq < 0)
    log_event (EV_DATABASE,
               "database=%s service=" STR_FMT " primary=%d leaving=%d gone=%d "
               "seq=%lld age=%lld",
               d->id, STR_ARG (s->name), b->primary, b->leaving, b->gone,
               (long long)b->seq, (long long)b->age);
  if (b->primary && !d->primary && !b->leaving)
    {
      d->not_leader_until = 0;
      s->leader = d;
    }
  if (!b->primary && d->primary && s->leader == d)
    s->leader = NULL;
  d->seq = b->seq;
  d->primary = b->primary;
  d->leaving = b->leaving;
  d->gone = b->gone;
  if (d->leaving || d->gone)
    links_close_idle (p, d);
}

static void
free_gone (service_t *s)
{
  db_t **at = &s->dbs;

  while (*at)
    {
      db_t *d = *at;
      if (!d->gone || d->links)
        {
          at = &d->next;
          continue;
        }
      *at = d->next;
      if (s->leader == d)
        s->leader = NULL;
      free (d);
    }
}

/* N is a full roster from an instance that has received heartbeats for long
   enough: a database that it doesn't contain is gone.  */
static void
remove_absent (proxy_t *p, const watch_update_t *n)
{
  apr_pool_t *pool;

  apr_pool_create (&pool, p->pool);
  apr_hash_t *listed = apr_hash_make (pool);
  for (size_t i = 0; i < n->backends.n; i++)
    {
      const backend_t *b = LIST_AT (n->backends, backend_t, i);
      apr_hash_set (listed, b->id.p, (apr_ssize_t)b->id.n, b);
    }
  for (service_t *s = p->services; s; s = s->next)
    for (db_t *d = s->dbs; d; d = d->next)
      if (!d->gone && !apr_hash_get (listed, d->id, APR_HASH_KEY_STRING))
        {
          log_event (EV_DATABASE,
                     "database=%s service=" STR_FMT " gone=1 named=0", d->id,
                     STR_ARG (s->name));
          d->gone = true;
          links_close_idle (p, d);
        }
  apr_pool_destroy (pool);
}

/* Without a leader a control instance may have an old configuration.  An
   instance that starts doesn't take one with keys from it: a withdrawn key
   would work again.  */
static void
update_setup (proxy_t *p, str_t packed, bool has_leader)
{
  apr_pool_t *pool;
  msgtype_t type;
  err_t e = { 0 };

  apr_pool_create (&pool, p->pool);
  setup_t *n = rpc_decode (pool, packed, &type, &e);
  if (n == NULL || type != MSG_SETUP
      || (p->setup && n->version <= p->setup->version)
      || ((p->setup == NULL || !p->setup->tenanted) && n->tenanted
          && !has_leader))
    {
      apr_pool_destroy (pool);
      return;
    }
  if (p->setup_pool)
    apr_pool_destroy (p->setup_pool);
  p->setup_pool = pool;
  p->setup = n;
  setup_bound (n);
  p->routes = apr_hash_make (pool);
  for (size_t i = 0; i < n->routes.n; i++)
    {
      route_entry_t *r = LIST_AT (n->routes, route_entry_t, i);
      apr_hash_set (p->routes, r->host.p, (apr_ssize_t)r->host.n, r);
    }
  for (size_t i = 0; i < n->services.n; i++)
    {
      const service_entry_t *x = LIST_AT (n->services, service_entry_t, i);
      service_t *v = service_get (p, x->name);
      v->connections = (int)x->connections;
      v->sync_replicas = (int)x->sync_replicas;
      v->setup_version = n->version;
    }
  p->endpoints_version++; /* owners are picked for all services together */
  tenants_update (p);
  log_event (EV_SETUP, "version=%lld routes=%zu", (long long)n->version,
             n->routes.n);
}

void
fleet_update (proxy_t *p, const watch_update_t *n)
{
  /* A control instance that has just started has heard of a few only.  With a
     small number, owners of connections seem not to be needed.  */
  if (n->entries > 0 && (n->roster_complete || n->entries > p->entries))
    p->entries = (int)n->entries;
  if (p->entries >= p->entries_held
      || p->now - p->entries_held_at >= ENTRIES_HOLD)
    {
      p->entries_held = p->entries;
      p->entries_held_at = p->now;
    }
  endpoints_update (p, n);
  if (n->setup.n
      && (n->has_leader || p->setup
          || p->now - p->started >= SETUP_NO_LEADER_DELAY))
    {
      update_setup (p, n->setup, n->has_leader);
      wake_at (p, p->now);
    }
  for (size_t i = 0; i < n->backends.n; i++)
    db_update (p, LIST_AT (n->backends, backend_t, i));
  if (n->full && n->roster_complete)
    remove_absent (p, n);
  for (service_t *s = p->services; s; s = s->next)
    {
      free_gone (s);
      statement_place_queued (p, s);
    }
}
