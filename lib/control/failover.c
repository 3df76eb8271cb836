#include "ctl.h"

#include <stdio.h>
#include <string.h>

enum
{
  PROMOTE_TIMEOUT = 400, /* ms until an unresponsive candidate is abandoned */
  INTENT_PAUSE = 500,    /* ms between intents of one failover */
  MAJORITY_WAIT = 1000   /* ms until a missing majority is audited */
};

/* Number of answering databases that would count if fenced.  */
static int
reachable (const control_t *c, const grp_t *g, msec_t now)
{
  int n = 0;

  for (int i = 0;;)
    {
      const mem_t *m = grp_mem (c, g, &i);
      if (!m)
        return n;
      n += mem_fresh (m, now) && mem_intact (m);
    }
}

static int64_t
highest_term (const control_t *c, const grp_t *g)
{
  int64_t t = g->new_term > g->term ? g->new_term : g->term;

  for (int i = 0;;)
    {
      const mem_t *m = grp_mem (c, g, &i);
      if (!m)
        return t;
      if (m->st.term > t)
        t = m->st.term;
    }
}

void
failover_propose (control_t *c, grp_t *g, const char *cause, msec_t now)
{
  rec_t r = { .type = REC_INTENT,
              .group = str_of (g->name),
              .name = str_of (g->primary),
              .cause = str_of (cause),
              .base = g->term,
              .term = highest_term (c, g) + 1 };
  char owner[2 * DB_NAME_MAX];

  if (g->proposed && now - g->proposed < REPROPOSE)
    return;
  /* Another leader's intent may have the same group term; the raft term
     distinguishes their owners.  */
  snprintf (owner, sizeof owner, "%lld.%lld/%.30s", (long long)c->raft_term,
            (long long)r.term, c->name);
  r.actor = str_of (owner);
  g->proposed = now;
  act_append (c, &r);
}

void
failover_begin (control_t *c, grp_t *g, msec_t now)
{
  (void)now;
  g->candidate[0] = '\0';
  g->promote_first = g->promote_sent = g->majority_at = 0;
  for (int i = 0;;)
    {
      mem_t *m = grp_mem (c, g, &i);
      if (!m)
        return;
      m->fenced = m->fence_refused = false;
      m->fence_sent = 0;
    }
}

static int
fence (control_t *c, grp_t *g, msec_t now, bool *refused)
{
  int n = 0;

  for (int i = 0;;)
    {
      mem_t *m = grp_mem (c, g, &i);
      if (!m)
        return n;
      n += m->fenced && mem_intact (m);
      *refused = *refused || m->fence_refused;
      if (m->fenced || (m->fence_sent && now - m->fence_sent < RESEND))
        continue;
      m->fence_sent = now;
      m->fence_max_term = m->max_term;
      m->fence_max_pos = m->max_pos;
      act_db (c, DB_FENCE, m, g->new_term, g->owner, "");
    }
}

bool
failover_more_advanced (const mem_t *a, const mem_t *b)
{
  return a->fence_record_term > b->fence_record_term
         || (a->fence_record_term == b->fence_record_term
             && a->fence_pos > b->fence_pos);
}

/* The most advanced of the fenced databases; unless LEAVING, only of the
   active ones, which is preferred when these alone are enough.  Sets *COUNT to
   their number.  */
static mem_t *
choose (const control_t *c, const grp_t *g, bool leaving, int *count)
{
  mem_t *best = NULL;

  *count = 0;
  for (int i = 0;;)
    {
      mem_t *m = grp_mem (c, g, &i);
      if (!m)
        return best;
      if (!m->fenced || !mem_intact (m)
          || (!leaving && mem_state (m) != DB_ACTIVE))
        continue;
      ++*count;
      if (!best || c->rules.more_advanced (m, best))
        best = m;
    }
}

static void
end_lease (control_t *c, grp_t *g)
{
  rec_t r = { .type = REC_LEASE,
              .group = str_of (g->name),
              .name = str_of (g->primary),
              .term = g->term,
              .state = 0,
              .cause = STR ("all leases of the old term ran out") };

  if (g->lease_open)
    act_append (c, &r);
}

static void
promote (control_t *c, grp_t *g, msec_t now)
{
  mem_t *m = mem_find (c, str_of (g->candidate));

  if (!m || (g->promote_sent && now - g->promote_sent < RESEND))
    return;
  if (g->promote_first && now - g->promote_first > PROMOTE_TIMEOUT)
    {
      if (now - g->intent_at < INTENT_PAUSE)
        return;
      /* It may have been promoted nevertheless.  A higher term makes that
         harmless; a second candidate in this term would not.  */
      failover_propose (c, g, "the candidate did not answer", now);
      return;
    }
  if (!g->promote_first)
    g->promote_first = now;
  g->promote_sent = now;
  act_db (c, DB_PROMOTE, m, g->new_term, g->owner, "");
}

static void
pick (control_t *c, grp_t *g, msec_t now)
{
  int n;
  mem_t *m = choose (c, g, false, &n);

  if (n < c->rules.fence_quorum (c, g))
    {
      /* Allows the remaining active databases time to be fenced too.  */
      if (now - g->majority_at < MAJORITY_WAIT / 5 && n > 0)
        return;
      m = choose (c, g, true, &n);
    }
  if (!m)
    return;
  name_set (g->candidate, mem_name (m));
  end_lease (c, g);
  promote (c, g, now);
}

static void
run_failover (control_t *c, grp_t *g, msec_t now)
{
  bool refused = false;
  int n = fence (c, g, now, &refused);

  if (g->candidate[0])
    {
      promote (c, g, now);
      return;
    }
  if (refused && now - g->intent_at > INTENT_PAUSE)
    {
      failover_propose (c, g, "a database refused the fence", now);
      return;
    }
  if (n < c->rules.fence_quorum (c, g))
    {
      if (now - g->intent_at > MAJORITY_WAIT && !g->refusal_recorded)
        {
          g->refusal_recorded = true;
          audit_refusal (c, str_of (g->name), STR (""), STR (""),
                         "no promotion: no majority of the databases answers",
                         now);
        }
      return;
    }
  if (!g->majority_at)
    g->majority_at = now;
  if (c->rules.lease_expired (c, g, now))
    pick (c, g, now);
}

/* The primary itself reports another role or term, as after the loss of its
   disk.  Entry instances only observe that it answers.  */
static bool
role_mismatch (const mem_t *p, grp_t *g, msec_t now)
{
  if (!mem_fresh (p, now) || (p->st.primary && p->st.term == g->term))
    g->role_mismatch_since = 0;
  else if (!g->role_mismatch_since)
    g->role_mismatch_since = now;
  return g->role_mismatch_since
         && now - g->role_mismatch_since >= CTL_FAIL_TIMEOUT;
}

/* Why the primary must be replaced although it answers, or NULL.  */
static const char *
replace_reason (const control_t *c, grp_t *g, msec_t now)
{
  const mem_t *p = mem_find (c, str_of (g->primary));
  int remaining = 0;

  if (!p)
    return NULL;
  if (!mem_intact (p))
    return "the primary came back from the past";
  if (role_mismatch (p, g, now))
    return "the primary does not answer as primary of its term";
  if (mem_state (p) == DB_ACTIVE)
    return NULL;
  for (int i = 0;;)
    {
      const mem_t *m = grp_mem (c, g, &i);
      if (!m)
        break;
      remaining += m != p && mem_state (m) == DB_ACTIVE && mem_fresh (m, now)
                   && m->st.term == g->term;
    }
  if (remaining < c->rules.fence_quorum (c, g))
    return NULL;
  return mem_state (p) == DB_LEAVING ? "the primary is leaving"
                                     : "the primary's announcement ran out";
}

/* Why a term that is not on record is in use, or NULL.  */
static const char *
unrecorded_term (const control_t *c, const grp_t *g, msec_t now)
{
  for (int i = 0;;)
    {
      const mem_t *m = grp_mem (c, g, &i);
      if (!m)
        return NULL;
      if (mem_fresh (m, now) && m->st.term > g->term)
        return "a database is in a higher term";
    }
}

static void
check_primary (control_t *c, grp_t *g, msec_t now)
{
  const char *cause = detect_unreachable (c, g, now);

  if (!cause)
    cause = replace_reason (c, g, now);
  if (!cause)
    cause = unrecorded_term (c, g, now);
  if (!cause)
    {
      g->refusal_recorded = false;
      return;
    }
  if (now - c->quorum_at > CTL_QUORUM_AGE)
    return;
  if (reachable (c, g, now) >= c->rules.fence_quorum (c, g))
    failover_propose (c, g, cause, now);
  else if (!g->refusal_recorded)
    {
      g->refusal_recorded = true;
      audit_refusal (c, str_of (g->name), STR (""), STR (""),
                     "no promotion: no majority of the databases answers",
                     now);
    }
}

void
failover_tick (control_t *c, msec_t now)
{
  for (int i = 0; i < c->ngrp; i++)
    {
      grp_t *g = c->grp[i];
      if (!conf_group (c, str_of (g->name))
          || (g->proposed && now - g->proposed < REPROPOSE))
        continue;
      if (g->intent && g->intent_raft_term == c->raft_term)
        run_failover (c, g, now);
      else if (g->intent)
        failover_propose (c, g, "resumed after a change of leader", now);
      else if (g->term == 0)
        adopt_tick (c, g, now);
      else
        {
          check_primary (c, g, now);
          follow_tick (c, g, now);
        }
    }
}

static void
on_promoted (control_t *c, grp_t *g, const mem_t *m, msec_t now)
{
  rec_t r = { .type = REC_PRIMARY,
              .group = str_of (g->name),
              .name = mem_name (m),
              .address = str_of (m->address),
              .term = g->new_term,
              .base = g->term,
              .state = 1,
              .position = m->fence_pos,
              .prev = str_of (g->primary),
              .next = mem_name (m),
              .actor = str_of (g->owner),
              .cause = STR ("most advanced of the fenced majority") };

  if (g->proposed && now - g->proposed < REPROPOSE)
    return;
  g->proposed = now;
  act_append (c, &r);
}

/* The fenced database has less data than before.  This instance may not have
   observed it with more, so the records count too: an empty database that was
   instructed to follow in the current term may have confirmed writes of that
   term before its disk was lost, unless it was observed throughout.  */
static bool
lost_data (const grp_t *g, const mem_t *m)
{
  bool may_have_data = g->adopted || m->follow_term >= g->term
                       || strcmp (m->name, g->primary) == 0;

  if (may_have_data && m->fence_log_term == 0 && g->term > 0
      && m->observed_term < g->term)
    return true;
  return m->fence_log_term < m->fence_max_term
         || (m->fence_log_term == m->fence_max_term
             && m->fence_pos < m->fence_max_pos);
}

static void
on_fenced (control_t *c, const grp_t *g, mem_t *m, msec_t now)
{
  m->fenced = true;
  m->fence_log_term = m->log_term;
  m->fence_record_term = m->record_term;
  m->fence_pos = m->st.position;
  if (!lost_data (g, m))
    return;
  m->regressed = true; /* excluded even if the record is not committed */
  member_propose (c, m, m->bits | M_STALE,
                  "fenced with less data than it had before", now);
}

void
failover_result (control_t *c, const db_event_t *ev, msec_t now)
{
  mem_t *m = mem_find (c, str_of (ev->cmd.name));
  grp_t *g = m ? grp_find (c, str_of (m->group)) : NULL;
  bool ok = ev->err.code == ERR_NONE;

  if (!g || !c->ready || !g->intent || ev->cmd.op == DB_FOLLOW
      || g->intent_raft_term != c->raft_term || ev->cmd.term != g->new_term
      || strcmp (ev->cmd.owner, g->owner) != 0)
    return;
  if (ok)
    detect_probe (c, str_of (c->name), true, &ev->probe, now);
  if (ev->cmd.op == DB_FENCE && ok && !m->fenced)
    on_fenced (c, g, m, now);
  else if (ev->cmd.op == DB_FENCE && ev->err.code == ERR_DB)
    m->fence_refused = true;
  else if (ev->cmd.op == DB_PROMOTE && ok
           && strcmp (m->name, g->candidate) == 0)
    on_promoted (c, g, m, now);
  else if (ev->err.code == ERR_DB && ev->cmd.op == DB_PROMOTE)
    g->promote_first = now - PROMOTE_TIMEOUT - 1; /* abandons it next tick */
}
