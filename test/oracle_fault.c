#include "oracle.h"

static bool
always_expired (const control_t *c, const grp_t *g, msec_t now)
{
  (void)c;
  (void)g;
  (void)now;
  return true;
}

static int
quorum_of_one (const control_t *c, const grp_t *g)
{
  (void)c;
  (void)g;
  return 1;
}

static bool
less_advanced (const mem_t *a, const mem_t *b)
{
  return failover_more_advanced (b, a);
}

static int64_t
none_held (const control_t *c, const mem_t *m, int slot, msec_t now)
{
  (void)c;
  (void)m;
  (void)slot;
  (void)now;
  return 0;
}

static bool
any_base (const control_t *c, const rec_t *r)
{
  (void)c;
  (void)r;
  return true;
}

static const outcome_t *
no_outcome (const control_t *c, str_t id)
{
  (void)c;
  (void)id;
  return NULL;
}

static int64_t
all_active (const mem_t *m)
{
  (void)m;
  return DB_ACTIVE;
}

void
oracle_fault (world_t *w, fault_t f)
{
  w->rules = w->ctl[0].c->rules;
  w->has_rules = true;
  if (f == FAULT_FENCE_QUORUM)
    w->rules.fence_quorum = quorum_of_one;
  else if (f == FAULT_MORE_ADVANCED)
    w->rules.more_advanced = less_advanced;
  else if (f == FAULT_LEASE_EXPIRED)
    w->rules.lease_expired = always_expired;
  else if (f == FAULT_HELD_BY_OTHERS)
    w->rules.held_by_others = none_held;
  else if (f == FAULT_BASE)
    w->rules.base_matches = any_base;
  else if (f == FAULT_OUTCOME)
    w->rules.outcome = no_outcome;
  else if (f == FAULT_STATE)
    w->rules.state = all_active;
  for (int i = 0; i < W_CONTROLS; i++)
    w->ctl[i].c->rules = w->rules;
}
