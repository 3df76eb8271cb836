#include "ctl.h"

#include <string.h>

void
member_propose (control_t *c, mem_t *m, int64_t bits, const char *cause,
                msec_t now)
{
  rec_t r = { .type = REC_MEMBER,
              .group = str_of (m->group),
              .name = mem_name (m),
              .address = str_of (m->address),
              .zone = str_of (m->zone),
              .state = bits,
              .base = m->bits,
              .cause = str_of (cause) };

  if (m->proposed && now - m->proposed < REPROPOSE)
    return;
  m->proposed = now;
  act_append (c, &r);
}

bool
member_regressed (const mem_t *m, int64_t term, int64_t pos)
{
  return term < m->baseline_term
         || (term == m->baseline_term && pos < m->baseline_pos);
}

static bool
live (const mem_t *m, msec_t now)
{
  return !(m->bits & (M_REMOVED | M_EXPIRED))
         && now - m->announced <= CTL_MEMBER_EXPIRY;
}

/* Why the announcement is refused, or NULL.  Of two claims to a name or an
   address the earlier one is kept.  An address belongs to its name until that
   database is removed, because one database with two names would count twice
   among the fenced.  */
static const char *
refusal (const control_t *c, const announce_t *a, const mem_t *m, msec_t now)
{
  if (!a->name.n || a->name.n >= DB_NAME_MAX || !a->address.n
      || a->address.n >= DB_NAME_MAX || a->zone.n >= DB_NAME_MAX
      || a->group.n >= DB_NAME_MAX)
    return "announcement with an empty or too long field";
  if (!conf_group (c, a->group))
    return "announcement for a group that is not configured";
  for (int i = 0; i < c->nmem; i++)
    if (c->mem[i] != m && !(c->mem[i]->bits & M_REMOVED)
        && str_eq (str_of (c->mem[i]->address), a->address))
      return "two names at one address";
  if (!m || (m->bits & M_REMOVED))
    return NULL;
  if (!str_eq (str_of (m->group), a->group))
    return "one name in two groups";
  if (!str_eq (str_of (m->address), a->address) && live (m, now))
    return "one name at two live addresses";
  return NULL;
}

static void
join (control_t *c, const announce_t *a, const char *cause, int64_t bits,
      msec_t now)
{
  rec_t r = { .type = REC_MEMBER,
              .group = a->group,
              .name = a->name,
              .address = a->address,
              .zone = a->zone,
              .state = bits,
              .cause = str_of (cause) };
  mem_t *m = mem_add (c, a->name);

  if (!m || (m->proposed && now - m->proposed < REPROPOSE))
    return;
  if (!m->group[0])
    m->bits = M_REMOVED; /* until the record is applied */
  m->proposed = now;
  act_append (c, &r);
}

static void
refresh (control_t *c, mem_t *m, const announce_t *a, msec_t now)
{
  enum
  {
    MAX_CHECK_AGE = 500 /* ms; an older one may be below a newer probe */
  };
  int64_t bits = m->bits & ~(int64_t)(M_EXPIRED | M_LEAVING);

  if (now - a->age < m->announced)
    return;
  m->announced = now - a->age;
  m->leaving = a->leaving;
  m->regressed = m->regressed
                 || (a->age <= MAX_CHECK_AGE
                     && member_regressed (m, a->term, a->position));
  bits |= a->leaving ? M_LEAVING : 0;
  if (bits != m->bits)
    member_propose (c, m, bits,
                    (m->bits & M_EXPIRED) ? "announced again"
                    : a->leaving          ? "announced that it leaves"
                                          : "announced that it stays",
                    now);
}

void
member_announce (control_t *c, const announce_t *a, msec_t now)
{
  mem_t *m = mem_find (c, a->name);
  const char *why = refusal (c, a, m, now);

  if (a->age > CTL_MEMBER_EXPIRY || a->age < 0)
    return;
  if (why)
    audit_refusal (c, a->group, a->name, a->address, why, now);
  else if (m && m->removed_at && now - m->removed_at < CTL_BUDGET_WAIT)
    return; /* connections granted before its removal may still be open */
  else if (!m || (m->bits & M_REMOVED))
    join (c, a, "announced itself", a->leaving ? M_LEAVING : 0, now);
  else if (!str_eq (str_of (m->address), a->address))
    join (c, a, "moved to a new address",
          (a->leaving ? M_LEAVING : 0) | (m->bits & M_STALE), now);
  else
    refresh (c, m, a, now);
}

void
member_takeover (control_t *c, msec_t now)
{
  for (int i = 0; i < c->nmem; i++)
    {
      mem_t *m = c->mem[i];
      m->announced = now;
      m->leaving = m->bits & M_LEAVING;
      m->proposed = 0;
      m->fenced = false;
      m->fence_sent = m->follow_sent = 0;
      memset (m->hold, 0, sizeof m->hold);
    }
  for (int i = 0; i < c->ngrp; i++)
    {
      grp_t *g = c->grp[i];
      g->proposed = g->ready_since = g->role_mismatch_since = 0;
      g->lease_proposed = g->refusal_recorded = false;
    }
  for (int i = 0; i < MAX_ENTRIES; i++)
    if (c->ent[i])
      {
        c->ent[i]->renewed_at = now;
        c->ent[i]->boot = c->ent[i]->proposed = 0;
        c->ent[i]->stopping = c->ent[i]->full_sent = false;
      }
}

/* A database that lost data has caught up once it follows in the current term
   and has reached a position that the primary had after the loss was
   recorded.  */
static bool
caught_up (const control_t *c, mem_t *m, const grp_t *g, msec_t now)
{
  const mem_t *p = mem_find (c, str_of (g->primary));

  if (!p || p == m || !mem_fresh (p, now) || !p->st.primary
      || p->st.term != g->term || g->intent)
    return false;
  if (m->catchup_pos < 0 && p->at > m->stale_since)
    m->catchup_pos = p->st.position;
  return m->catchup_pos >= 0 && mem_fresh (m, now) && m->at > m->stale_since
         && !m->st.primary && m->st.term == g->term && m->log_term == g->term
         && m->st.position >= m->catchup_pos;
}

/* A database may be removed from the group only when the group is large enough
   without it or it is leaving, and it cannot have confirmed any write in the
   current term.  */
static bool
removable (const control_t *c, const mem_t *m, const grp_t *g, msec_t now)
{
  const ctl_group_t *k = conf_group (c, str_of (g->name));
  int n = 0;

  for (int i = 0; grp_mem (c, g, &i);)
    n++;
  return k && (n > k->databases || (m->bits & M_LEAVING))
         && (m->bits & M_EXPIRED) && m->unreachable_since
         && now - m->unreachable_since > CTL_MEMBER_EXPIRY && !g->intent
         && g->term && strcmp (m->name, g->primary) != 0 && m->answered
         && m->st.term < g->term && m->follow_term < g->term;
}

static void
check (control_t *c, mem_t *m, const grp_t *g, msec_t now)
{
  if (!(m->bits & M_EXPIRED) && now - m->announced > CTL_MEMBER_EXPIRY)
    member_propose (c, m, m->bits | M_EXPIRED,
                    "its announcement ran out after 3 s", now);
  else if (m->regressed && !(m->bits & M_STALE))
    member_propose (
        c, m, m->bits | M_STALE,
        "returned from the past: term or position below the known one", now);
  else if ((m->bits & M_STALE) && caught_up (c, m, g, now))
    {
      m->regressed = false;
      member_propose (c, m, m->bits & ~(int64_t)M_STALE,
                      "caught up with the present term", now);
    }
  else if (removable (c, m, g, now))
    member_propose (c, m, M_REMOVED, "left the group", now);
}

void
member_tick (control_t *c, msec_t now)
{
  for (int i = 0; i < c->nmem; i++)
    {
      mem_t *m = c->mem[i];
      const grp_t *g = grp_find (c, str_of (m->group));
      if (m->bits & M_REMOVED)
        continue;
      if (m->unreachable_since == 0 && m->answered && !mem_fresh (m, now))
        m->unreachable_since = now;
      if (g)
        check (c, m, g, now);
    }
}
