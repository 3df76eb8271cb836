#include "ctl.h"

/* Every entry instance may hold one connection to each database, its floor,
   for as long as it may run.  The rest is divided by demand in grants that
   expire.  The sum for a database counts, for each instance, the largest of
   its floor, its grants that may still be valid, and the connections that it
   reported.  */

enum
{
  FLOOR = 1 /* connections */
};

static int64_t
held (const hold_t *h, msec_t now)
{
  int64_t n = FLOOR;

  if (now < h->cur_until && h->cur > n)
    n = h->cur;
  if (now < h->old_until && h->old > n)
    n = h->old;
  return n;
}

static int64_t
shared_connections (const control_t *c, const mem_t *m)
{
  const ctl_group_t *k = conf_group (c, str_of (m->group));

  return k && k->connections > CTL_RESERVED ? k->connections - CTL_RESERVED
                                            : 0;
}

int64_t
budget_held_by_others (const control_t *c, const mem_t *m, int slot,
                       msec_t now)
{
  int64_t n = 0;

  for (int i = 0; i < MAX_ENTRIES; i++)
    if (c->ent[i] && i != slot)
      n += held (&m->hold[i], now);
  return n;
}

static bool
competes (const control_t *c, int i, msec_t now)
{
  const ent_t *t = c->ent[i];

  return t && !t->removed && t->boot && now - t->renewed_at < CTL_BUDGET;
}

/* Fair share of the instance in SLOT: the connections above the floors are
   assigned one by one to the instances with unmet demand, then to all, which
   leaves each of them room for a burst.  */
static int64_t
share (const control_t *c, const mem_t *m, int slot, msec_t now)
{
  int64_t extra = shared_connections (c, m);
  int64_t got[MAX_ENTRIES] = { 0 };
  int who[MAX_ENTRIES] = { 0 };
  int n = 0;

  for (int i = 0; i < MAX_ENTRIES; i++)
    {
      extra -= c->ent[i] ? FLOOR : 0;
      if (competes (c, i, now))
        who[n++] = i;
    }
  for (bool unmet = true; extra > 0 && n > 0;)
    {
      bool any = false;
      for (int k = 0; k < n && extra > 0; k++)
        {
          int i = who[k];
          if (unmet && m->hold[i].want <= got[i] + FLOOR)
            continue;
          got[i]++;
          extra--;
          any = true;
        }
      unmet = unmet && any;
    }
  return got[slot] + FLOOR;
}

static void
record_grant (hold_t *h, int64_t limit, msec_t now)
{
  if (now < h->cur_until && h->cur > limit)
    {
      if (now >= h->old_until || h->cur > h->old)
        h->old = h->cur;
      if (h->cur_until > h->old_until)
        h->old_until = h->cur_until;
    }
  if (h->open > limit)
    {
      if (now >= h->old_until || h->open > h->old)
        h->old = h->open;
      h->old_until = now + CTL_BUDGET_WAIT;
    }
  h->cur = limit;
  h->cur_until = now + CTL_BUDGET_WAIT;
}

void
budget_usage (control_t *c, int slot, const renew_t *r, msec_t now)
{
  (void)now;
  for (int i = 0; i < c->nmem; i++)
    c->mem[i]->hold[slot].want = c->mem[i]->hold[slot].open = 0;
  for (size_t i = 0; i < r->usage.n; i++)
    {
      const db_usage_t *u = LIST_AT (r->usage, db_usage_t, i);
      mem_t *m = mem_find (c, u->name);
      if (!m)
        continue;
      m->hold[slot].want = u->demand;
      m->hold[slot].open = u->open;
    }
}

/* A new leader does not have its predecessor's grants.  Until those have
   expired it only confirms the connections that an instance has open, in
   renewals sent after the change (they carry the new raft term): these
   connections were within the predecessor's grants and are counted there.  An
   instance without recorded floors waits until there is room for them.  False
   once the grants have expired; a *LIMIT of -1 omits the database from the
   grant.  */
static bool
confirm_open (const control_t *c, const hold_t *h, const ent_t *t,
              const renew_t *r, msec_t now, int64_t *limit)
{
  if (now - c->role_at >= CTL_BUDGET_WAIT)
    return false;
  if (!t->has_floors)
    *limit = 0;
  else if (r->raft_term == c->raft_term && !r->brief)
    *limit = h->open > FLOOR ? h->open : FLOOR;
  else
    *limit = -1;
  return true;
}

bool
budget_fill (control_t *c, mem_t *m, int slot, const renew_t *r, msec_t now,
             budget_t *out)
{
  hold_t *h = &m->hold[slot];
  int64_t limit;

  out->name = mem_name (m);
  out->ttl = CTL_BUDGET;
  if (!confirm_open (c, h, c->ent[slot], r, now, &limit))
    {
      int64_t room = shared_connections (c, m)
                     - c->rules.held_by_others (c, m, slot, now);
      limit = share (c, m, slot, now);
      limit = limit < room ? limit : room;
      limit = limit > 0 ? limit : 0;
      if (limit >= FLOOR)
        entry_record_floors (c, c->ent[slot], now);
    }
  if (limit < 0)
    return false;
  record_grant (h, limit, now);
  out->limit = limit;
  return true;
}
