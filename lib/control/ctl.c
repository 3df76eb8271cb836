#include "ctl.h"

#include <stdlib.h>
#include <string.h>

static apr_status_t
cleanup (void *arg)
{
  control_t *c = arg;

  state_clear (c);
  act_clear (c);
  free (c->pending);
  return APR_SUCCESS;
}

control_t *
control_new (apr_pool_t *pool, str_t name, str_t address,
             const ctl_conf_ops_t *ops, msec_t (*wall) (void))
{
  control_t *c = apr_pcalloc (pool, sizeof *c);

  c->pool = pool;
  name_set (c->name, name);
  name_set (c->address, address);
  c->ops = *ops;
  c->wall = wall;
  c->rules = (rules_t){ .lease_expired = lease_expired,
                        .fence_quorum = grp_fence_quorum,
                        .more_advanced = failover_more_advanced,
                        .held_by_others = budget_held_by_others,
                        .base_matches = apply_base_matches,
                        .outcome = outcome_find,
                        .state = mem_state };
  c->quorum_at = INT64_MIN / 2;
  apr_pool_pre_cleanup_register (pool, c, cleanup);
  return c;
}

void
control_role (control_t *c, bool is_leader, int64_t raft_term, str_t leader,
              msec_t now)
{
  rec_t r = { .type = REC_TAKEOVER,
              .cause = STR ("elected leader"),
              .name = str_of (c->name) };
  bool again = is_leader && c->is_leader && raft_term == c->raft_term;

  name_set (c->leader, is_leader ? str_of (c->address) : leader);
  c->raft_term = raft_term;
  if (again)
    return;
  c->is_leader = is_leader;
  c->ready = false;
  c->role_at = now;
  c->quorum_at = INT64_MIN / 2;
  submit_drop (c);
  if (is_leader)
    act_append (c, &r);
}

void
control_quorum (control_t *c, msec_t sent)
{
  if (sent > c->quorum_at)
    c->quorum_at = sent;
}

void
control_tick (control_t *c, msec_t now)
{
  if (!c->ready)
    return;
  member_tick (c, now);
  entry_tick (c, now);
  failover_tick (c, now);
}

void
control_db (control_t *c, const db_event_t *ev, msec_t now)
{
  if (ev->kind == DB_EV_PROBE)
    detect_probe (c, str_of (c->name), true, &ev->probe, now);
  else
    failover_result (c, ev, now);
}

void
control_peer_report (control_t *c, const probe_report_t *r, msec_t now)
{
  if (str_eq (r->from, str_of (c->name)))
    return;
  for (size_t i = 0; i < r->probes.n; i++)
    detect_probe (c, r->from, true, LIST_AT (r->probes, probe_t, i), now);
}

static void
report_one (const mem_t *m, apr_pool_t *pool, msec_t now, probe_t *p)
{
  *p = (probe_t){ .name = str_dup (pool, mem_name (m)),
                  .address = str_dup (pool, str_of (m->address)),
                  .reachable = m->own_ok,
                  .ok_age = m->own_answer ? now - m->own_answer : -1,
                  .term = m->own.term,
                  .role = m->own.primary ? STR ("primary") : STR ("replica"),
                  .position = m->own.position,
                  .confirmed = m->own.confirmed,
                  .upstream_age = m->own.upstream_age,
                  .history = str_dup (pool, str_of (m->own.history)) };
}

void
control_report (const control_t *c, apr_pool_t *pool, msec_t now,
                probe_report_t *out)
{
  probe_t *v = apr_pcalloc (pool, sizeof *v * (size_t)(c->nmem + 1));

  out->from = str_dup (pool, str_of (c->name));
  out->probes = (list_t){ v, 0 };
  for (int i = 0; i < c->nmem; i++)
    if (!(c->mem[i]->bits & M_REMOVED) && c->mem[i]->own_at)
      report_one (c->mem[i], pool, now, &v[out->probes.n++]);
}

size_t
control_targets (const control_t *c, db_target_t *t, size_t n,
                 int64_t *changed)
{
  size_t k = 0;

  for (int i = 0; i < c->nmem; i++)
    {
      const mem_t *m = c->mem[i];
      if ((m->bits & M_REMOVED) || !conf_group (c, str_of (m->group)))
        continue;
      if (k < n)
        {
          memcpy (t[k].name, m->name, sizeof t[k].name);
          memcpy (t[k].address, m->address, sizeof t[k].address);
        }
      k++;
    }
  if (changed)
    *changed = c->targets_changed;
  return k;
}

str_t
control_config (const control_t *c, int64_t *version, int64_t *raft_term,
                int64_t *index)
{
  if (version)
    *version = c->cfg_version;
  if (raft_term)
    *raft_term = c->cfg_term;
  if (index)
    *index = c->cfg_index;
  return (str_t){ c->cfg, c->cfg_n };
}

bool
control_ready (const control_t *c)
{
  return c->ready;
}
