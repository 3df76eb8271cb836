#include "ctl.h"

/* A primary that already runs in the highest term, when it is the only one.
   Sets *SEEN to the databases that have announced themselves and answer.  */
static mem_t *
running (const control_t *c, const grp_t *g, msec_t now, int *seen)
{
  mem_t *best = NULL;
  int64_t top = 0;
  int same = 0;

  *seen = 0;
  for (int i = 0;;)
    {
      mem_t *m = grp_mem (c, g, &i);
      if (!m)
        return same == 1 ? best : NULL;
      if (!mem_fresh (m, now) || !mem_whole (m) || (m->bits & M_EXPIRED))
        continue;
      ++*seen;
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
  int seen;
  mem_t *m = running (c, g, now, &seen);

  if (seen < k->databases / 2 + 1 || seen < c->rules.need (c, g))
    {
      g->ready_since = 0;
      return;
    }
  if (!g->ready_since)
    g->ready_since = now;
  if (seen < k->databases && now - g->ready_since < CTL_ADOPT_WAIT)
    return;
  if (m && m->st.term > 0)
    adopt (c, g, m, now);
  else
    failover_propose (c, g, "no database of the new group is primary", now);
}
