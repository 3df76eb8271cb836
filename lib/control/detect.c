#include "ctl.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* The last term of "1:0,2:553", whose last start is below POS; 0 when there is
   none.  */
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
      if (str_eq (str_of (m->obs[i].who), who))
        return &m->obs[i];
      if (!old || m->obs[i].at < old->at)
        old = &m->obs[i];
    }
  if (m->nobs < MAX_OBSERVERS)
    old = &m->obs[m->nobs++];
  memset (old, 0, sizeof *old);
  name_set (old->who, who);
  old->control = control;
  old->ok = now; /* no opinion before it has looked for a while */
  return old;
}

static void
known (mem_t *m, msec_t now)
{
  if (m->log_term > m->known_term
      || (m->log_term == m->known_term && m->st.position > m->known_pos))
    {
      m->known_term = m->log_term;
      m->known_pos = m->st.position;
    }
  if (now - m->rotated < 1000)
    return;
  m->past_term = m->next_term;
  m->past_pos = m->next_pos;
  m->next_term = m->known_term;
  m->next_pos = m->known_pos;
  m->rotated = now;
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
status (mem_t *m, const probe_t *p, msec_t now)
{
  msec_t at = now - (p->ok_age > 0 ? p->ok_age : 0);

  if (m->answered && at < m->at)
    return;
  m->answered = true;
  m->at = at;
  read_status (&m->st, p);
  m->log_term = last_term (p->history, INT64_MAX);
  m->record_term = last_term (p->history, p->position);
  m->back = m->back || member_past (m, m->log_term, m->st.position);
  known (m, now);
}

/* P shows the database as what it should be.  An entry instance tells the role
   that it saw last, or none; before the present term that says nothing.  */
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
    o->bad_since = 0;
  else if (!o->bad_since)
    o->bad_since = now;
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
    status (m, p, now);
  if (mem_fresh (m, now))
    m->gone_since = 0;
  else if (!m->gone_since)
    m->gone_since = now;
}

void
detect_grace (mem_t *m, msec_t now)
{
  for (int i = 0; i < m->nobs; i++)
    {
      m->obs[i].ok = now;
      m->obs[i].bad_since = m->obs[i].reachable ? 0 : now;
    }
}

typedef enum
{
  OPINION_NONE,
  OPINION_REACHED,
  OPINION_LOST
} opinion_t;

/* A control instance probes all the time, so the age of its last answer tells
   everything.  An entry instance may have been idle: it counts as having lost
   the primary only when failures went on for THRESHOLD without any answer; one
   connection more that was refused does not outweigh the answers on others. */
static opinion_t
opinion (const obs_t *o, msec_t threshold, msec_t now)
{
  if (now - o->at > OBS_FRESH)
    return OPINION_NONE;
  if (o->control)
    return now - o->ok >= threshold ? OPINION_LOST : OPINION_REACHED;
  if (now - o->ok < threshold)
    return OPINION_REACHED;
  return !o->reachable && now - o->bad_since >= threshold ? OPINION_LOST
                                                          : OPINION_NONE;
}

static void
count (const mem_t *m, msec_t threshold, msec_t now, int *lost, int *reached)
{
  *lost = *reached = 0;
  for (int i = 0; i < m->nobs; i++)
    {
      opinion_t o = opinion (&m->obs[i], threshold, now);
      *lost += o == OPINION_LOST;
      *reached += o == OPINION_REACHED;
    }
}

bool
detect_reached (const mem_t *m, msec_t now)
{
  int lost, reached;

  count (m, CTL_LOST, now, &lost, &reached);
  return reached >= 2 && reached > lost;
}

/* Most of the replicas have lost their upstream.  One replica alone is a
   single opinion.  */
static bool
upstream_lost (const control_t *c, const grp_t *g, msec_t threshold,
               msec_t now)
{
  int lost = 0;

  for (int i = 0;;)
    {
      const mem_t *m = grp_mem (c, g, &i);
      if (!m)
        break;
      if (strcmp (m->name, g->primary) != 0 && mem_fresh (m, now)
          && !m->st.primary && m->st.term == g->term
          && m->st.upstream_age > threshold)
        lost++;
    }
  return lost >= 2 && lost * 2 > grp_size (c, g) - 1;
}

const char *
detect_lost (const control_t *c, const grp_t *g, msec_t now)
{
  const mem_t *m = mem_find (c, str_of (g->primary));
  msec_t threshold = CTL_LOST;
  int lost, reached;

  if (g->repaired && now - g->repaired < CTL_REPAIR_PAUSE)
    threshold = CTL_LOST_AGAIN;
  if (!m || (m->bits & M_REMOVED))
    return NULL;
  count (m, threshold, now, &lost, &reached);
  if (lost >= 2 && lost > reached)
    return "a majority of the observers do not reach the primary";
  if (upstream_lost (c, g, threshold, now))
    return "a majority of the replicas lost the primary";
  return NULL;
}
