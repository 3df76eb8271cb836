#include "ctl.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* The last term in a history such as "1:0,2:553" that starts below POS; 0 when
   there is none.  */
static int64_t
last_term (str_t history, int64_t pos)
{
  int64_t last = 0;
  int64_t term, start;

  for (size_t at = 0; at < history.n;)
    {
      size_t colon = at;
      while (colon < history.n && history.p[colon] != ':')
        colon++;
      size_t end = colon;
      while (end < history.n && history.p[end] != ',')
        end++;
      if (end == colon
          || !str_int ((str_t){ history.p + at, colon - at }, &term)
          || !str_int ((str_t){ history.p + colon + 1, end - colon - 1 },
                       &start))
        return last;
      if (start < pos)
        last = term;
      at = end + 1;
    }
  return last;
}

static obs_t *
observer (mem_t *m, str_t who, bool control, msec_t now)
{
  obs_t *old = NULL;

  for (int i = 0; i < m->nobs; i++)
    {
      if (str_eq (str_of (m->obs[i].name), who))
        return &m->obs[i];
      if (!old || m->obs[i].at < old->at)
        old = &m->obs[i];
    }
  if (m->nobs < MAX_OBSERVERS)
    old = &m->obs[m->nobs++];
  memset (old, 0, sizeof *old);
  name_set (old->name, who);
  old->control = control;
  old->ok = now; /* counts as unreachable only after a full timeout */
  return old;
}

static void
update_max (mem_t *m, msec_t now)
{
  if (m->log_term > m->max_term
      || (m->log_term == m->max_term && m->st.position > m->max_pos))
    {
      m->max_term = m->log_term;
      m->max_pos = m->st.position;
    }
  if (now - m->baseline_at < 1000)
    return;
  m->baseline_term = m->next_baseline_term;
  m->baseline_pos = m->next_baseline_pos;
  m->next_baseline_term = m->max_term;
  m->next_baseline_pos = m->max_pos;
  m->baseline_at = now;
}

static void
read_status (status_t *s, const probe_t *p)
{
  s->term = p->term;
  s->primary = str_eq (p->role, STR ("primary"));
  s->position = p->position;
  s->confirmed = p->confirmed;
  s->upstream_age = p->upstream_age;
  if (p->history.n < sizeof s->history)
    snprintf (s->history, sizeof s->history, STR_FMT, STR_ARG (p->history));
}

static void
update_status (mem_t *m, const probe_t *p, msec_t now)
{
  msec_t at = now - (p->ok_age > 0 ? p->ok_age : 0);

  if (m->answered && at < m->at)
    return;
  m->answered = true;
  m->at = at;
  read_status (&m->st, p);
  m->log_term = last_term (p->history, INT64_MAX);
  m->record_term = last_term (p->history, p->position);
  m->regressed
      = m->regressed || member_regressed (m, m->log_term, m->st.position);
  update_max (m, now);
}

/* P shows the database in its expected role and term.  An entry instance
   reports the role that it observed last, or none; one from before the current
   term is ignored.  */
static bool
in_role (const control_t *c, const mem_t *m, const probe_t *p, bool control)
{
  const grp_t *g = grp_find (c, str_of (m->group));

  if (!g || strcmp (g->primary, m->name) != 0 || !p->role.n)
    return true;
  if (!control && p->term < g->term)
    return true;
  return p->term == g->term && str_eq (p->role, STR ("primary"));
}

void
detect_probe (control_t *c, str_t who, bool control, const probe_t *p,
              msec_t now)
{
  mem_t *m = mem_find (c, p->name);

  if (!m || !str_eq (str_of (m->address), p->address))
    return;
  obs_t *o = observer (m, who, control, now);
  bool good = p->reachable && in_role (c, m, p, control);
  o->at = now;
  if (p->ok_age >= 0 && in_role (c, m, p, control) && now - p->ok_age > o->ok)
    o->ok = now - p->ok_age;
  if (good)
    o->failing_since = 0;
  else if (!o->failing_since)
    o->failing_since = now;
  o->reachable = good;
  if (str_eq (who, str_of (c->name)))
    {
      m->own_ok = p->reachable;
      m->own_at = now;
      if (p->reachable)
        {
          m->own_answer = now;
          read_status (&m->own, p);
        }
    }
  if (control && p->reachable)
    update_status (m, p, now);
  if (mem_fresh (m, now))
    m->unreachable_since = 0;
  else if (!m->unreachable_since)
    m->unreachable_since = now;
}

void
detect_reset (mem_t *m, msec_t now)
{
  for (int i = 0; i < m->nobs; i++)
    {
      m->obs[i].ok = now;
      m->obs[i].failing_since = m->obs[i].reachable ? 0 : now;
    }
}

typedef enum
{
  REACH_UNKNOWN,
  REACH_UP,
  REACH_DOWN
} reach_t;

/* A control instance probes continuously, so the age of its last answer
   decides.  An entry instance may have been idle: for it the primary is
   unreachable only when failures lasted for THRESHOLD without any answer; one
   refused connection does not outweigh the answers on others.  */
static reach_t
reachability (const obs_t *o, msec_t threshold, msec_t now)
{
  if (now - o->at > PROBE_FRESH)
    return REACH_UNKNOWN;
  if (o->control)
    return now - o->ok >= threshold ? REACH_DOWN : REACH_UP;
  if (now - o->ok < threshold)
    return REACH_UP;
  return !o->reachable && now - o->failing_since >= threshold ? REACH_DOWN
                                                              : REACH_UNKNOWN;
}

static void
count (const mem_t *m, msec_t threshold, msec_t now, int *down, int *up)
{
  *down = *up = 0;
  for (int i = 0; i < m->nobs; i++)
    {
      reach_t o = reachability (&m->obs[i], threshold, now);
      *down += o == REACH_DOWN;
      *up += o == REACH_UP;
    }
}

bool
detect_reachable (const mem_t *m, msec_t now)
{
  int down, up;

  count (m, CTL_FAIL_TIMEOUT, now, &down, &up);
  return up >= 2 && up > down;
}

/* A majority of the replicas has no contact with the primary.  One replica
   alone is not enough.  */
static bool
upstream_unreachable (const control_t *c, const grp_t *g, msec_t threshold,
                      msec_t now)
{
  int down = 0;

  for (int i = 0;;)
    {
      const mem_t *m = grp_mem (c, g, &i);
      if (!m)
        break;
      if (strcmp (m->name, g->primary) != 0 && mem_fresh (m, now)
          && !m->st.primary && m->st.term == g->term
          && m->st.upstream_age > threshold)
        down++;
    }
  return down >= 2 && down * 2 > grp_size (c, g) - 1;
}

const char *
detect_unreachable (const control_t *c, const grp_t *g, msec_t now)
{
  const mem_t *m = mem_find (c, str_of (g->primary));
  msec_t threshold = CTL_FAIL_TIMEOUT;
  int down, up;

  if (g->promoted_at && now - g->promoted_at < CTL_SETTLE)
    threshold = CTL_FAIL_TIMEOUT_REPEAT;
  if (!m || (m->bits & M_REMOVED))
    return NULL;
  count (m, threshold, now, &down, &up);
  if (down >= 2 && down > up)
    return "a majority of the observers do not reach the primary";
  if (upstream_unreachable (c, g, threshold, now))
    return "a majority of the replicas lost the primary";
  return NULL;
}
