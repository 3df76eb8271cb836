#include "ctl.h"

/* The only database that is primary in the highest term, or NULL.  Sets
   *ANSWERING to the number of databases that have announced themselves and
   answer.  */
static mem_t *
running_primary (const control_t *c, const grp_t *g, msec_t now,
                 int *answering)
{
  mem_t *best = NULL;
  int64_t top = 0;
  int same = 0;

  *answering = 0;
  for (int i = 0;;)
    {
      mem_t *m = grp_mem (c, g, &i);
      if (!m)
        return same == 1 ? best : NULL;
      if (!mem_fresh (m, now) || !mem_intact (m) || (m->bits & M_EXPIRED))
        continue;
      ++*answering;
      if (m->st.term > top)
        {
          top = m->st.term;
          best = NULL;
          same = 0;
        }
      if (m->st.term == top && m->st.primary)
        {
          best = m;
          same++;
        }
    }
}

static void
adopt (control_t *c, grp_t *g, const mem_t *m, msec_t now)
{
  rec_t r = { .type = REC_PRIMARY,
              .group = str_of (g->name),
              .name = mem_name (m),
              .address = str_of (m->address),
              .term = m->st.term,
              .position = m->st.position,
              .next = mem_name (m),
              .cause = STR ("adopted: primary in the highest term") };

  g->proposed = now;
  act_append (c, &r);
}

void
adopt_tick (control_t *c, grp_t *g, msec_t now)
{
  const ctl_group_t *k = conf_group (c, str_of (g->name));
  int answering;
  mem_t *m = running_primary (c, g, now, &answering);

  if (answering < k->databases / 2 + 1
      || answering < c->rules.fence_quorum (c, g))
    {
      g->ready_since = 0;
      return;
    }
  if (!g->ready_since)
    g->ready_since = now;
  if (answering < k->databases && now - g->ready_since < CTL_ADOPT_WAIT)
    return;
  if (m && m->st.term > 0)
    adopt (c, g, m, now);
  else
    failover_propose (c, g, "no database of the new group is primary", now);
}
