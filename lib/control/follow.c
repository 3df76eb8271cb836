#include "ctl.h"

#include <string.h>

enum
{
  MAX_UPSTREAM_AGE = 1000, /* ms since a replica's last contact with it */
  FOLLOW_RESEND = 300,     /* ms between follow commands to one database */
  FOLLOW_AGAIN = 2000      /* the same, to one that is in the current term */
};

static void
record_repair (control_t *c, mem_t *m, const grp_t *g, msec_t now)
{
  rec_t r = { .type = REC_REPAIR,
              .group = str_of (m->group),
              .name = mem_name (m),
              .term = g->term,
              .base = m->st.term,
              .prev = m->st.primary ? STR ("primary") : STR ("replica"),
              .next = str_of (g->primary),
              .cause = STR ("told to follow the primary of the new term") };

  if (m->proposed && now - m->proposed < REPROPOSE)
    return;
  m->proposed = now;
  act_append (c, &r);
}

/* The record is committed before the command is sent, so that every leader
   must assume that the database may confirm writes of this term.  */
static void
follow (control_t *c, mem_t *m, const grp_t *g, const mem_t *p, msec_t now)
{
  bool diverged
      = m->st.primary || m->st.term != g->term || m->log_term != g->term;
  msec_t pause = diverged ? FOLLOW_RESEND : FOLLOW_AGAIN;

  if (!diverged && m->st.upstream_age <= MAX_UPSTREAM_AGE)
    return;
  if (m->follow_sent && now - m->follow_sent < pause)
    return;
  if (m->follow_term < g->term)
    {
      record_repair (c, m, g, now);
      return;
    }
  m->follow_sent = now;
  act_db (c, DB_FOLLOW, m, g->term, "", p->address);
}

void
follow_tick (control_t *c, grp_t *g, msec_t now)
{
  const mem_t *p = mem_find (c, str_of (g->primary));

  if (!p || !mem_fresh (p, now) || !p->st.primary || p->st.term != g->term)
    return;
  for (int i = 0;;)
    {
      mem_t *m = grp_mem (c, g, &i);
      if (!m)
        return;
      if (m != p && mem_fresh (m, now) && m->st.term <= g->term)
        follow (c, m, g, p, now);
    }
}
