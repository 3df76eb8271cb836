#include "ctl.h"

#include <stdio.h>
#include <string.h>

enum
{
  PROMOTE_TRIES = 400, /* ms until a candidate that does not answer is given
                          up */
  INTENT_PAUSE = 500,  /* ms between intents of one failover */
  MAJORITY_WAIT = 1000 /* ms until a missing majority is put on record */
};

/* Answering databases that would count when fenced.  */
static int
reachable (const control_t *c, const grp_t *g, msec_t now)
{
  int n = 0;

  for (int i = 0;;)
    {
      const mem_t *m = grp_mem (c, g, &i);
      if (!m)
        return n;
      n += mem_fresh (m, now) && mem_whole (m);
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
  /* Another leader's intent may have the same group term; the raft term keeps
     their owners apart.  */
  snprintf (owner, sizeof owner, "%lld.%lld/%.30s", (long long)c->raft_term,
            (long long)r.term, c->name);
  r.who = str_of (owner);
  g->proposed = now;
  act_append (c, &r);
}

void
failover_begin (control_t *c, grp_t *g, msec_t now)
{
  (void)now;
  g->candidate[0] = '\0';
  g->promote_first = g->promote_sent = g->majority = 0;
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
      n += m->fenced && mem_whole (m);
      *refused = *refused || m->fence_refused;
      if (m->fenced || (m->fence_sent && now - m->fence_sent < RESEND))
        continue;
      m->fence_sent = now;
      m->fence_known_term = m->known_term;
      m->fence_known_pos = m->known_pos;
      act_db (c, DB_FENCE, m, g->new_term, g->owner, "");
    }
}

bool
failover_further (const mem_t *a, const mem_t *b)
{
  return a->f_record_term > b->f_record_term
         || (a->f_record_term == b->f_record_term && a->f_pos > b->f_pos);
}

/* The most advanced of the fenced databases.  One that is leaving is passed
   over only when the others are enough by themselves.  */
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
      if (!m->fenced || !mem_whole (m)
          || (!leaving && mem_state (m) != DB_ACTIVE))
        continue;
      ++*count;
      if (!best || c->rules.further (m, best))
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
  if (g->promote_first && now - g->promote_first > PROMOTE_TRIES)
    {
      if (now - g->intent_at < INTENT_PAUSE)
        return;
      /* It may have been promoted all the same.  A higher term makes that
         harmless, a second candidate of this term would not.  */
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

  if (n < c->rules.need (c, g))
    {
      /* Gives those that stay a moment to be fenced too.  */
      if (now - g->majority < MAJORITY_WAIT / 5 && n > 0)
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
drive (control_t *c, grp_t *g, msec_t now)
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
  if (n < c->rules.need (c, g))
    {
      if (now - g->intent_at > MAJORITY_WAIT && !g->refused)
        {
          g->refused = true;
          refuse_note (c, str_of (g->name), STR (""), STR (""),
                       "no promotion: no majority of the databases answers",
                       now);
        }
      return;
    }
  if (!g->majority)
    g->majority = now;
  if (c->rules.lease_over (c, g, now))
    pick (c, g, now);
}

/* The primary itself says that it is not the primary of this term, as after
   the loss of its disk.  Entry instances only see that it answers.  */
static bool
denies (const mem_t *p, grp_t *g, msec_t now)
{
  if (!mem_fresh (p, now) || (p->st.primary && p->st.term == g->term))
    g->wrong_since = 0;
  else if (!g->wrong_since)
    g->wrong_since = now;
  return g->wrong_since && now - g->wrong_since >= CTL_LOST;
}

/* The primary has to be replaced although it answers.  */
static const char *
unfit (const control_t *c, grp_t *g, msec_t now)
{
  const mem_t *p = mem_find (c, str_of (g->primary));
  int staying = 0;

  if (!p)
    return NULL;
  if (!mem_whole (p))
    return "the primary came back from the past";
  if (denies (p, g, now))
    return "the primary does not answer as primary of its term";
  if (mem_state (p) == DB_ACTIVE)
    return NULL;
  for (int i = 0;;)
    {
      const mem_t *m = grp_mem (c, g, &i);
      if (!m)
        break;
      staying += m != p && mem_state (m) == DB_ACTIVE && mem_fresh (m, now)
                 && m->st.term == g->term;
    }
  if (staying < c->rules.need (c, g))
    return NULL;
  return mem_state (p) == DB_LEAVING ? "the primary is leaving"
                                     : "the primary's announcement ran out";
}

/* A database runs in a term that no record knows.  */
static const char *
foreign (const control_t *c, const grp_t *g, msec_t now)
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
watch (control_t *c, grp_t *g, msec_t now)
{
  const char *cause = detect_lost (c, g, now);

  if (!cause)
    cause = unfit (c, g, now);
  if (!cause)
    cause = foreign (c, g, now);
  if (!cause)
    {
      g->refused = false;
      return;
    }
  if (now - c->quorum_at > CTL_QUORUM_AGE)
    return;
  if (reachable (c, g, now) >= c->rules.need (c, g))
    failover_propose (c, g, cause, now);
  else if (!g->refused)
    {
      g->refused = true;
      refuse_note (c, str_of (g->name), STR (""), STR (""),
                   "no promotion: no majority of the databases answers", now);
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
      if (g->intent && g->intent_raft == c->raft_term)
        drive (c, g, now);
      else if (g->intent)
        failover_propose (c, g, "resumed after a change of leader", now);
      else if (g->term == 0)
        adopt_tick (c, g, now);
      else
        {
          watch (c, g, now);
          follow_tick (c, g, now);
        }
    }
}

static void
promoted (control_t *c, grp_t *g, const mem_t *m, msec_t now)
{
  rec_t r = { .type = REC_PRIMARY,
              .group = str_of (g->name),
              .name = mem_name (m),
              .address = str_of (m->address),
              .term = g->new_term,
              .base = g->term,
              .state = 1,
              .position = m->f_pos,
              .prev = str_of (g->primary),
              .next = mem_name (m),
              .who = str_of (g->owner),
              .cause = STR ("most advanced of the fenced majority") };

  if (g->proposed && now - g->proposed < REPROPOSE)
    return;
  g->proposed = now;
  act_append (c, &r);
}

/* The fenced database has less data than it once had.  This instance may not
   have seen it with more, so the records count too: an empty one that was told
   to follow in the present term may have confirmed writes of it before its
   disk was lost, unless it was watched all along.  */
static bool
lost_data (const grp_t *g, const mem_t *m)
{
  bool told = g->adopted || m->follow_term >= g->term
              || strcmp (m->name, g->primary) == 0;

  if (told && m->f_log_term == 0 && g->term > 0 && m->witness < g->term)
    return true;
  return m->f_log_term < m->fence_known_term
         || (m->f_log_term == m->fence_known_term
             && m->f_pos < m->fence_known_pos);
}

static void
fenced (control_t *c, const grp_t *g, mem_t *m, msec_t now)
{
  m->fenced = true;
  m->f_log_term = m->log_term;
  m->f_record_term = m->record_term;
  m->f_pos = m->st.position;
  if (!lost_data (g, m))
    return;
  m->back = true; /* not counted, whether or not the record is committed */
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
      || g->intent_raft != c->raft_term || ev->cmd.term != g->new_term
      || strcmp (ev->cmd.owner, g->owner) != 0)
    return;
  if (ok)
    detect_probe (c, str_of (c->name), true, &ev->probe, now);
  if (ev->cmd.op == DB_FENCE && ok && !m->fenced)
    fenced (c, g, m, now);
  else if (ev->cmd.op == DB_FENCE && ev->err.code == ERR_DB)
    m->fence_refused = true;
  else if (ev->cmd.op == DB_PROMOTE && ok
           && strcmp (m->name, g->candidate) == 0)
    promoted (c, g, m, now);
  else if (ev->err.code == ERR_DB && ev->cmd.op == DB_PROMOTE)
    g->promote_first = now - PROMOTE_TRIES - 1; /* given up at the next tick */
}
