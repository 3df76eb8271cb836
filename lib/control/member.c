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
member_past (const mem_t *m, int64_t term, int64_t pos)
{
  return term < m->past_term || (term == m->past_term && pos < m->past_pos);
}

static bool
live (const mem_t *m, msec_t now)
{
  return !(m->bits & (M_REMOVED | M_EXPIRED))
         && now - m->announced <= CTL_MEMBER_EXPIRY;
}

/* Why the announcement is refused, or NULL.  Of two claims to a name or an
   address the older one stands.  An address stays with its name until that
   database was removed, because one database behind two names would count
   twice among the fenced.  */
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
    m->bits = M_REMOVED; /* until the record is committed */
  m->proposed = now;
  act_append (c, &r);
}

static void
renewed (control_t *c, mem_t *m, const announce_t *a, msec_t now)
{
  enum
  {
    OLD = 500 /* ms; an older announcement may be below a newer probe */
  };
  int64_t bits = m->bits & ~(int64_t)(M_EXPIRED | M_LEAVING);

  if (now - a->age < m->announced)
    return;
  m->announced = now - a->age;
  m->leaving = a->leaving;
  m->back
      = m->back || (a->age <= OLD && member_past (m, a->term, a->position));
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
    refuse_note (c, a->group, a->name, a->address, why, now);
  else if (m && m->removed_at && now - m->removed_at < CTL_BUDGET_WAIT)
    return; /* budgets from before its removal may still be in use */
  else if (!m || (m->bits & M_REMOVED))
    join (c, a, "announced itself", a->leaving ? M_LEAVING : 0, now);
  else if (!str_eq (str_of (m->address), a->address))
    join (c, a, "moved to a new address",
          (a->leaving ? M_LEAVING : 0) | (m->bits & M_STALE), now);
  else
    renewed (c, m, a, now);
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
      g->proposed = g->ready_since = g->wrong_since = 0;
      g->lease_told = g->refused = false;
    }
  for (int i = 0; i < MAX_ENTRIES; i++)
    if (c->ent[i])
      {
        c->ent[i]->seen = now;
        c->ent[i]->boot = c->ent[i]->proposed = 0;
        c->ent[i]->stopping = c->ent[i]->filled = false;
      }
}

/* A database that came back without its data has caught up once it follows the
   present term and has passed a position that the primary had reached after
   the return.  */
static bool
caught_up (const control_t *c, mem_t *m, const grp_t *g, msec_t now)
{
  const mem_t *p = mem_find (c, str_of (g->primary));

  if (!p || p == m || !mem_fresh (p, now) || !p->st.primary
      || p->st.term != g->term || g->intent)
    return false;
  if (m->need_pos < 0 && p->at > m->stale_since)
    m->need_pos = p->st.position;
  return m->need_pos >= 0 && mem_fresh (m, now) && m->at > m->stale_since
         && !m->st.primary && m->st.term == g->term && m->log_term == g->term
         && m->st.position >= m->need_pos;
}

/* A database leaves the group for good only when it is not needed for the
   group's size and cannot have confirmed anything in the present term.  */
static bool
removable (const control_t *c, const mem_t *m, const grp_t *g, msec_t now)
{
  const ctl_group_t *k = conf_group (c, str_of (g->name));
  int n = 0;

  for (int i = 0; grp_mem (c, g, &i);)
    n++;
  return k && (n > k->databases || (m->bits & M_LEAVING))
         && (m->bits & M_EXPIRED) && m->gone_since
         && now - m->gone_since > CTL_MEMBER_EXPIRY && !g->intent && g->term
         && strcmp (m->name, g->primary) != 0 && m->answered
         && m->st.term < g->term && m->follow_term < g->term;
}

static void
check (control_t *c, mem_t *m, const grp_t *g, msec_t now)
{
  if (!(m->bits & M_EXPIRED) && now - m->announced > CTL_MEMBER_EXPIRY)
    member_propose (c, m, m->bits | M_EXPIRED,
                    "its announcement ran out after 3 s", now);
  else if (m->back && !(m->bits & M_STALE))
    member_propose (c, m, m->bits | M_STALE,
                    "returned from the past: term or position below the "
                    "known one",
                    now);
  else if ((m->bits & M_STALE) && caught_up (c, m, g, now))
    {
      m->back = false;
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
      if (m->gone_since == 0 && m->answered && !mem_fresh (m, now))
        m->gone_since = now;
      if (g)
        check (c, m, g, now);
    }
}
