#include "view.h"

#include <string.h>

view_t *
view_new (apr_pool_t *pool, str_t zone, rng_t *rng)
{
  view_t *v = apr_pcalloc (pool, sizeof *v);

  v->pool = pool;
  v->zone = str_dup (pool, zone);
  v->rng = rng;
  v->raft_term = v->seq = -1;
  v->cfg_term = v->cfg_index = -1;
  return v;
}

group_t *
view_find_group (view_t *v, str_t name)
{
  for (int i = 0; i < v->ngroups; i++)
    if (str_eq (v->groups[i]->name, name))
      return v->groups[i];
  return NULL;
}

static group_t *
ensure_group (view_t *v, str_t name)
{
  group_t *g = view_find_group (v, name);

  if (g || v->ngroups == (int)(sizeof v->groups / sizeof *v->groups))
    return g;
  g = apr_pcalloc (v->pool, sizeof *g);
  g->name = str_dup (v->pool, name);
  v->groups[v->ngroups++] = g;
  return g;
}

bool
view_has_group (view_t *v, str_t group)
{
  return view_find_group (v, group) != NULL;
}

db_t *
view_db (view_t *v, str_t name)
{
  for (int i = 0; i < v->ndbs; i++)
    if (str_eq (v->dbs[i]->name, name))
      return v->dbs[i];
  return NULL;
}

db_t *
view_db_at (view_t *v, size_t i)
{
  return i < (size_t)v->ndbs ? v->dbs[i] : NULL;
}

static db_t *
ensure_db (view_t *v, str_t name)
{
  db_t *d = view_db (v, name);

  if (d || v->ndbs == (int)(sizeof v->dbs / sizeof *v->dbs))
    return d;
  d = apr_pcalloc (v->pool, sizeof *d);
  d->name = str_dup (v->pool, name);
  v->dbs[v->ndbs++] = d;
  return d;
}

/* Copies only a changed string, so that the pool does not grow with each
   grant.  */
static void
set_str (view_t *v, str_t *to, str_t from)
{
  if (!str_eq (*to, from))
    *to = str_dup (v->pool, from);
}

static void
update_db (view_t *v, const db_info_t *i, msec_t now)
{
  db_t *d = ensure_db (v, i->name);

  if (d == NULL)
    return;
  set_str (v, &d->group, i->group);
  set_str (v, &d->address, i->address);
  set_str (v, &d->zone, i->zone);
  d->state = i->state;
  if (i->term > d->term || (i->term == d->term && i->position > d->pos))
    {
      d->term = i->term;
      d->pos = i->position;
      d->pos_at = now;
    }
  if (i->lag >= 0 && d->lag == 0)
    d->lag = (double)i->lag;
}

static void
update_lease (view_t *v, const lease_t *l, msec_t sent)
{
  group_t *g = ensure_group (v, l->group);

  if (g == NULL || l->term < g->max_term)
    return;
  g->max_term = l->term;
  g->term = l->term;
  set_str (v, &g->primary, l->primary);
  /* The lease runs from the time at which this instance sent the renewal,
     which is before the leader granted it.  */
  g->expires = l->ttl > 0 ? sent + l->ttl : 0;
  if (l->history.n)
    {
      history_t h;
      if (history_parse (l->history, &h, NULL))
        g->history = h;
    }
  if (l->sample >= 0 && l->sample_age >= 0)
    view_add_sample (v, l->group, l->term, l->sample, sent - l->sample_age);
}

static void
update_budget (view_t *v, const budget_t *b, msec_t sent)
{
  conn_limit_t *l = NULL;

  for (int i = 0; i < v->nlimits && l == NULL; i++)
    if (str_eq (v->limits[i]->db, b->name))
      l = v->limits[i];
  if (l == NULL)
    {
      if (v->nlimits == (int)(sizeof v->limits / sizeof *v->limits))
        return;
      l = apr_pcalloc (v->pool, sizeof *l);
      l->db = str_dup (v->pool, b->name);
      v->limits[v->nlimits++] = l;
    }
  l->limit = (int)b->limit;
  l->expires = sent + b->ttl;
}

/* Excludes databases that the leader no longer lists from the choice.  */
static void
expire_unlisted (view_t *v, const grant_t *g)
{
  for (int i = 0; i < v->ndbs; i++)
    {
      bool listed = false;
      for (size_t j = 0; j < g->dbs.n && !listed; j++)
        listed
            = str_eq (LIST_AT (g->dbs, db_info_t, j)->name, v->dbs[i]->name);
      if (!listed)
        v->dbs[i]->state = DB_EXPIRED;
    }
}

/* Records the configuration's version in G when it is newer than the one in
   force.  */
static bool
accept_cfg (view_t *v, const grant_t *g)
{
  if (g->cfg.n == 0 || g->cfg_term < v->cfg_term
      || g->cfg_index <= v->cfg_index)
    return false;
  v->cfg_term = g->cfg_term;
  v->cfg_index = g->cfg_index;
  return true;
}

/* The configuration does not name this instance: it gives up all leases and
   its floors.  The leader assigns the floors to other instances as soon as
   this one reports that it holds no connection.  */
static void
revoke_leases (view_t *v, const grant_t *g)
{
  v->raft_term = g->raft_term;
  v->seq = g->seq;
  v->last_grant = 0;
  for (int i = 0; i < v->nlimits; i++)
    v->limits[i]->expires = 0;
  for (int i = 0; i < v->ngroups; i++)
    v->groups[i]->expires = 0;
}

bool
view_apply_grant (view_t *v, const grant_t *g, msec_t now, bool *cfg_new,
                  err_t *e)
{
  *cfg_new = false;
  if (g->raft_term < v->raft_term || g->seq <= v->seq)
    return err_set (e, ERR_STALE, "grant",
                    "raft term %lld, renewal %lld; latest are %lld, %lld",
                    (long long)g->raft_term, (long long)g->seq,
                    (long long)v->raft_term, (long long)v->seq);
  *cfg_new = accept_cfg (v, g);
  if (g->status == GRANT_UNKNOWN)
    revoke_leases (v, g);
  if (g->status != GRANT_OK && g->status != GRANT_NO_QUORUM)
    return true;
  v->raft_term = g->raft_term;
  v->seq = g->seq;
  for (size_t i = 0; i < g->dbs.n; i++)
    update_db (v, LIST_AT (g->dbs, db_info_t, i), now);
  if (g->status != GRANT_OK)
    return true;
  v->last_grant = now;
  if (!g->brief)
    expire_unlisted (v, g);
  for (size_t i = 0; i < g->leases.n; i++)
    update_lease (v, LIST_AT (g->leases, lease_t, i), g->sent);
  for (size_t i = 0; i < g->budgets.n; i++)
    update_budget (v, LIST_AT (g->budgets, budget_t, i), g->sent);
  return true;
}

bool
view_lease_valid (view_t *v, str_t group, int64_t term, msec_t now)
{
  const group_t *g = view_find_group (v, group);

  return g && term > 0 && g->term == term && g->max_term == term
         && now < g->expires;
}

db_t *
view_primary (view_t *v, str_t group, msec_t now, int64_t *term)
{
  const group_t *g = view_find_group (v, group);

  if (g == NULL || !view_lease_valid (v, group, g->term, now))
    return NULL;
  *term = g->term;
  return view_db (v, g->primary);
}

int
view_conn_limit (view_t *v, str_t db, msec_t now)
{
  for (int i = 0; i < v->nlimits; i++)
    if (str_eq (v->limits[i]->db, db) && now < v->limits[i]->expires)
      return v->limits[i]->limit;
  return v->last_grant && now - v->last_grant < FLOOR_TTL ? FLOOR : 0;
}

const history_t *
view_history (view_t *v, str_t group)
{
  const group_t *g = view_find_group (v, group);

  return g && g->history.n ? &g->history : NULL;
}

static void
drop_older_terms (group_t *g, int64_t term)
{
  int n = 0;

  for (int i = 0; i < g->nsamples; i++)
    if (g->samples[i].term >= term)
      g->samples[n++] = g->samples[i];
  g->nsamples = n;
}

void
view_add_sample (view_t *v, str_t group, int64_t term, int64_t pos,
                 msec_t sent)
{
  group_t *g = view_find_group (v, group);

  if (g == NULL || term < g->max_term)
    return;
  if (term > g->max_term)
    g->max_term = term;
  drop_older_terms (g, term);
  sample_t *last = g->nsamples ? &g->samples[g->nsamples - 1] : NULL;
  if (last && sent <= last->sent)
    return;
  if (g->nsamples >= 2 && sent - g->samples[g->nsamples - 2].sent < SAMPLE_GAP)
    {
      *last = (sample_t){ term, pos, sent };
      return;
    }
  if (g->nsamples == SAMPLES)
    {
      memmove (g->samples, g->samples + 1, (SAMPLES - 1) * sizeof *g->samples);
      g->nsamples--;
    }
  g->samples[g->nsamples++] = (sample_t){ term, pos, sent };
}

const sample_t *
view_oldest (const group_t *g, msec_t since)
{
  for (int i = 0; i < g->nsamples; i++)
    if (g->samples[i].sent >= since)
      return &g->samples[i];
  return NULL;
}

void
view_set_applied (view_t *v, str_t db, int64_t term, int64_t pos, msec_t sent,
                  msec_t now)
{
  enum
  {
    SMOOTH = 8 /* a sample changes the estimate by 1 / SMOOTH */
  };
  db_t *d = view_db (v, db);
  const group_t *g = d ? view_find_group (v, d->group) : NULL;

  if (g == NULL || term < d->term)
    return;
  d->term = term;
  d->pos = pos;
  d->pos_at = now;
  /* The lag is the age of the newest sample that the replica covers, or 0 when
     it covers the latest one.  */
  msec_t covered = -1;
  for (int i = g->nsamples - 1; i >= 0 && covered < 0; i--)
    if (g->samples[i].term == term && g->samples[i].pos <= pos)
      covered = g->samples[i].sent;
  if (covered < 0 || g->nsamples == 0)
    return;
  bool latest = covered == g->samples[g->nsamples - 1].sent;
  double lag = latest || sent < covered ? 0 : (double)(sent - covered);
  d->lag += (lag - d->lag) / SMOOTH;
}

void
view_db_ok (view_t *v, str_t db, msec_t latency, msec_t now)
{
  enum
  {
    SMOOTH = 16 /* an answer changes the estimate by 1 / SMOOTH */
  };
  db_t *d = view_db (v, db);

  (void)now;
  if (d == NULL)
    return;
  d->failures = 0;
  d->avoid = 0;
  d->latency += ((double)latency - d->latency) / SMOOTH;
}

void
view_db_failed (view_t *v, str_t db, msec_t now)
{
  db_t *d = view_db (v, db);
  msec_t wait = AVOID_FIRST;

  if (d == NULL)
    return;
  for (int i = 0; i < d->failures && wait < AVOID_MAX; i++)
    wait *= 2;
  if (wait > AVOID_MAX)
    wait = AVOID_MAX;
  d->failures++;
  /* Jitter keeps the instances from returning to a database all at once.  */
  d->avoid = now + wait / 2 + (msec_t)rng_below (v->rng, (uint64_t)wait / 2);
}
