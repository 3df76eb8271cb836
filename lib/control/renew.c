#include "ctl.h"

#include <string.h>

static str_t
copy (apr_pool_t *pool, const char *s)
{
  return str_dup (pool, str_of (s));
}

static bool
configured (const control_t *c, const mem_t *m)
{
  return !(m->bits & M_REMOVED) && conf_group (c, str_of (m->group));
}

static void
fill_dbs (const control_t *c, apr_pool_t *pool, grant_t *out)
{
  db_info_t *v = apr_pcalloc (pool, sizeof *v * (size_t)(c->nmem + 1));

  for (int i = 0; i < c->nmem; i++)
    {
      const mem_t *m = c->mem[i];
      if (!configured (c, m))
        continue;
      v[out->dbs.n++]
          = (db_info_t){ .group = copy (pool, m->group),
                         .name = copy (pool, m->name),
                         .address = copy (pool, m->address),
                         .zone = copy (pool, m->zone),
                         .state = c->rules.state (m),
                         .term = m->log_term,
                         .position = m->st.position,
                         .lag = m->st.primary ? 0 : m->st.upstream_age };
    }
  out->dbs.v = v;
}

static void
fill_leases (control_t *c, msec_t now, apr_pool_t *pool, grant_t *out)
{
  lease_t *v = apr_pcalloc (pool, sizeof *v * (size_t)(c->ngrp + 1));

  for (int i = 0; i < c->ngrp; i++)
    {
      if (!conf_group (c, str_of (c->grp[i]->name)))
        continue;
      lease_t *l = &v[out->leases.n++];
      lease_fill (c, c->grp[i], now, l);
      l->group = str_dup (pool, l->group);
      l->primary = str_dup (pool, l->primary);
      l->address = str_dup (pool, l->address);
      l->history = str_dup (pool, l->history);
    }
  out->leases.v = v;
}

static void
fill_budgets (control_t *c, const renew_t *r, int slot, msec_t now,
              apr_pool_t *pool, grant_t *out)
{
  budget_t *v = apr_pcalloc (pool, sizeof *v * (size_t)(c->nmem + 1));

  for (int i = 0; i < c->nmem; i++)
    {
      budget_t *b = &v[out->budgets.n];
      if (!configured (c, c->mem[i])
          || !budget_fill (c, c->mem[i], slot, r, now, b))
        continue;
      b->name = str_dup (pool, b->name);
      out->budgets.n++;
    }
  out->budgets.v = v;
}

static void
fill_config (const control_t *c, const renew_t *r, apr_pool_t *pool,
             grant_t *out)
{
  out->cfg_term = c->cfg_term;
  out->cfg_index = c->cfg_index;
  out->cfg_version = c->cfg_version;
  if (c->cfg_index > r->cfg_index)
    out->cfg = str_dup (pool, (str_t){ c->cfg, c->cfg_n });
}

static void
process_reports (control_t *c, const renew_t *r, int slot, msec_t now)
{
  for (size_t i = 0; i < r->probes.n; i++)
    detect_probe (c, r->name, false, LIST_AT (r->probes, probe_t, i), now);
  for (size_t i = 0; i < r->announces.n; i++)
    member_announce (c, LIST_AT (r->announces, announce_t, i), now);
  if (!r->brief)
    budget_usage (c, slot, r, now);
}

/* Hash of what must be sent at once when it changes.  Positions and ages are
   estimates and can wait for the next full grant.  */
static uint64_t
digest (const grant_t *g)
{
  buf_t b;

  buf_init (&b);
  for (size_t i = 0; i < g->dbs.n; i++)
    {
      const db_info_t *d = LIST_AT (g->dbs, db_info_t, i);
      buf_fmt (&b, STR_FMT "@" STR_FMT "=%d;", STR_ARG (d->name),
               STR_ARG (d->address), (int)d->state);
    }
  for (size_t i = 0; i < g->leases.n; i++)
    {
      const lease_t *l = LIST_AT (g->leases, lease_t, i);
      buf_fmt (&b, STR_FMT "@%lld=" STR_FMT ";", STR_ARG (l->group),
               (long long)l->term, STR_ARG (l->history));
    }
  uint64_t hash = str_hash (buf_str (&b));
  buf_free (&b);
  return hash;
}

/* Omits what the instance has already received.  A grant is lost only together
   with its connection, and the first renewal over a new one is not brief.  An
   instance that was just added to the configuration has received nothing:
   without budgets it would use its floors before there is room for them, or
   obsolete budgets.  */
static void
make_brief (ent_t *t, const renew_t *r, grant_t *g)
{
  uint64_t hash = digest (g);
  bool same = hash == t->digest;

  t->digest = hash;
  if (!r->brief || !same || !t->full_sent)
    return;
  g->brief = true;
  g->dbs = g->budgets = (list_t){ 0 };
  for (size_t i = 0; i < g->leases.n; i++)
    {
      lease_t *l = LIST_AT (g->leases, lease_t, i);
      l->history = l->address = (str_t){ 0 };
    }
}

void
control_renew (control_t *c, const renew_t *r, msec_t now, apr_pool_t *pool,
               grant_t *out)
{
  bool quorum = now - c->quorum_at <= CTL_QUORUM_AGE;
  int slot = -1;

  memset (out, 0, sizeof *out);
  out->seq = r->seq;
  out->sent = r->sent;
  out->raft_term = c->raft_term;
  out->leader = copy (pool, c->is_leader ? c->address : c->leader);
  fill_config (c, r, pool, out);
  out->status = GRANT_NOT_LEADER;
  if (!c->is_leader)
    return;
  out->status = GRANT_NO_QUORUM;
  if (!c->ready)
    return;
  out->status = GRANT_UNKNOWN;
  if (!entry_renew (c, r, now, &slot))
    return;
  process_reports (c, r, slot, now);
  fill_dbs (c, pool, out);
  out->cfg_confirmed = quorum;
  out->status = quorum ? GRANT_OK : GRANT_NO_QUORUM;
  if (!quorum)
    return;
  fill_leases (c, now, pool, out);
  ent_t *t = c->ent[slot];
  make_brief (t, r, out);
  if (!r->brief || !t->full_sent)
    fill_budgets (c, r, slot, now, pool, out);
  t->full_sent = true;
}
