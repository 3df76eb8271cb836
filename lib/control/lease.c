#include "ctl.h"

#include <string.h>

/* The primary answered the last probe of this instance.  When it has not
   answered this instance alone for CTL_FAIL_TIMEOUT, the majority of the
   observers decides instead, so that one broken network path does not stop all
   writes; before that, a single missed probe stops the leases.  */
static bool
primary_answers (const control_t *c, const mem_t *m, msec_t now)
{
  const obs_t *own = NULL;

  if (now - m->own_at > PROBE_FRESH)
    return false;
  if (m->own_ok)
    return true;
  for (int i = 0; i < m->nobs && !own; i++)
    if (strcmp (m->obs[i].name, c->name) == 0)
      own = &m->obs[i];
  return own && now - own->ok >= CTL_FAIL_TIMEOUT && detect_reachable (m, now)
         && mem_fresh (m, now);
}

const char *
lease_refusal (const control_t *c, const grp_t *g, msec_t now)
{
  const mem_t *m = mem_find (c, str_of (g->primary));

  if (!c->ready)
    return "this instance is not the leader";
  if (now - c->quorum_at > CTL_QUORUM_AGE)
    return "no recent answer from a quorum of control";
  if (!conf_group (c, str_of (g->name)))
    return "the group is not in the configuration";
  if (g->term == 0)
    return "the group has no primary yet";
  if (g->intent || g->proposed)
    return "a failover is under way";
  if (!m || (m->bits & M_REMOVED) || !mem_intact (m))
    return "the primary came back from the past";
  if (!primary_answers (c, m, now))
    return "the primary did not answer the last probe";
  if (!m->st.primary || m->st.term != g->term)
    return "the primary does not answer as primary of this term";
  return NULL;
}

static void
propose_first_lease (control_t *c, grp_t *g)
{
  rec_t r = { .type = REC_LEASE,
              .group = str_of (g->name),
              .name = str_of (g->primary),
              .term = g->term,
              .state = 1,
              .cause = STR ("first lease of this term") };

  if (g->lease_open || g->lease_proposed)
    return;
  g->lease_proposed = true;
  act_append (c, &r);
}

void
lease_fill (control_t *c, grp_t *g, msec_t now, lease_t *out)
{
  const mem_t *m = mem_find (c, str_of (g->primary));

  memset (out, 0, sizeof *out);
  out->group = str_of (g->name);
  out->term = g->term;
  out->primary = str_of (g->primary);
  out->sample = out->sample_age = -1;
  if (!m)
    return;
  out->address = str_of (m->address);
  if (m->answered && m->st.primary && m->st.term == g->term)
    {
      /* The age includes the longest time that the probe may have taken.  */
      out->sample = m->st.position;
      out->sample_age = now - m->at + DB_PROBE_TIMEOUT;
      out->history = str_of (m->st.history);
    }
  if (lease_refusal (c, g, now))
    return;
  out->ttl = CTL_LEASE;
  g->last_grant = now;
  propose_first_lease (c, g);
}

bool
lease_expired (const control_t *c, const grp_t *g, msec_t now)
{
  return now - g->last_grant >= CTL_LEASE_WAIT
         && now - c->role_at >= CTL_LEASE_WAIT;
}
