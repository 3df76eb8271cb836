#include "fleet.h"

#include <stdio.h>
#include <string.h>

void
takeover_init (takeover_t *t, str_t service, msec_t now)
{
  *t = (takeover_t){ .phase = PHASE_WATCH,
                     .since = now,
                     .probe_ok = -1,
                     .fail = -1,
                     .seen_ok = -1,
                     .none = -1,
                     .hold = now + HOLD_OFF };
  snprintf (t->service, sizeof t->service, STR_FMT, STR_ARG (service));
}

static void
enter (takeover_t *t, phase_t p, msec_t now)
{
  t->phase = p;
  t->since = now;
}

void
takeover_probe (takeover_t *t, str_t id, bool ok, bool refused, msec_t sent,
                msec_t now)
{
  if (!str_eq (str_of (t->primary), id))
    return;
  if (ok)
    {
      t->probe_ok = now;
      t->fail = -1;
      t->refused = false;
      return;
    }
  if (t->fail < 0)
    t->fail = sent;
  t->refused = refused;
}

void
takeover_sight (takeover_t *t, str_t id, msec_t ok)
{
  if (str_eq (str_of (t->primary), id) && ok > t->seen_ok)
    t->seen_ok = ok;
}

void
takeover_position (takeover_t *t, str_t id, pos_t pos)
{
  if (t->phase != PHASE_SURVEY)
    return;
  for (int i = 0; i < t->nsurvey; i++)
    if (str_eq (str_of (t->survey[i].id), id))
      {
        t->survey[i].pos = pos;
        return;
      }
  if (t->nsurvey == SITES)
    return;
  survey_t *s = &t->survey[t->nsurvey++];
  snprintf (s->id, sizeof s->id, STR_FMT, STR_ARG (id));
  s->pos = pos;
}

void
takeover_recorded (takeover_t *t, str_t id, int64_t token, msec_t now)
{
  if (t->phase != PHASE_INTENT || !str_eq (str_of (t->chosen), id))
    return;
  t->token = token;
  t->calls = 0;
  enter (t, PHASE_CALL, now);
}

void
takeover_called (takeover_t *t, int64_t token, call_t result, msec_t now)
{
  if (t->phase != PHASE_CALL || token != t->token)
    return;
  if (result == CALL_DONE)
    enter (t, PHASE_ROLE, now);
  else if (result == CALL_REFUSED)
    enter (t, PHASE_WATCH, now);
  else
    t->since = now - CALL_TIME + PROBE_EVERY;
}

/* ---- the primary and its state ---- */

static const server_t *
current (const takeover_t *t, const roster_table_t *r)
{
  const server_t *best = NULL;

  for (size_t i = 0; i < r->n; i++)
    {
      const server_t *s = &r->at[i];
      if (s->gone || !s->primary || strcmp (s->service, t->service) != 0)
        continue;
      /* Two report the role for a moment: the later word counts.  */
      if (best == NULL || s->changed > best->changed)
        best = s;
    }
  return best;
}

static void
follow_primary (takeover_t *t, const server_t *p, msec_t now)
{
  if (p == NULL)
    {
      if (t->none < 0)
        t->none = now;
      return;
    }
  t->none = -1;
  if (strcmp (p->id, t->primary) == 0)
    return;
  snprintf (t->primary, sizeof t->primary, "%s", p->id);
  t->probe_ok = t->fail = t->seen_ok = -1;
  t->refused = false;
}

/* Whether the primary has to be replaced.  One opinion is not enough: as long
   as an entry instance is answered, only the path from here is harmed.  */
static bool
lost (const takeover_t *t, const server_t *p, msec_t now)
{
  if (p == NULL)
    return t->none >= 0 && now - t->none >= NONE_TIME;
  if (t->fail < 0)
    return false;
  msec_t limit = t->refused ? LOST_REFUSED : LOST_SILENT;
  return now - t->fail >= limit && t->seen_ok < t->fail;
}

/* Databases beside the primary; one that leaves receives until it ends, but
   cannot be chosen.  */
static int
replicas (const takeover_t *t, const roster_table_t *r, const server_t *p,
          bool leaving)
{
  int n = 0;

  for (size_t i = 0; i < r->n; i++)
    {
      const server_t *s = &r->at[i];
      n += s != p && !s->gone && (leaving || !s->leaving)
           && strcmp (s->service, t->service) == 0;
    }
  return n;
}

static take_act_t
act (const takeover_t *t, take_kind_t kind)
{
  take_act_t a = { .kind = kind, .token = t->token };

  snprintf (a.service, sizeof a.service, "%s", t->service);
  snprintf (a.id, sizeof a.id, "%s", t->chosen);
  return a;
}

static take_act_t
watch (takeover_t *t, const roster_table_t *r, const server_t *p, msec_t now)
{
  t->planned = p && p->leaving;
  if (now < t->hold || !(t->planned || lost (t, p, now)))
    return act (t, TAKE_NOTHING);
  if (replicas (t, r, p, false) == 0)
    return act (t, TAKE_NOTHING);
  t->asked = replicas (t, r, p, t->sync > 0);
  t->nsurvey = 0;
  enter (t, PHASE_SURVEY, now);
  return act (t, TAKE_SURVEY);
}

static bool
alive (const roster_table_t *r, const char *id)
{
  for (size_t i = 0; i < r->n; i++)
    if (strcmp (r->at[i].id, id) == 0)
      return !r->at[i].gone && !r->at[i].leaving;
  return false;
}

/* The most advanced of those that answered and stay.  Where an acknowledged
   commit is on SYNC replicas, it may be on those alone that did not answer:
   then nobody can be chosen yet, nor while one that leaves is ahead.  */
static const survey_t *
choose (const takeover_t *t, const roster_table_t *r)
{
  const survey_t *best = NULL;

  if (t->sync > 0 && t->nsurvey <= t->asked - t->sync)
    return NULL;
  for (int i = 0; i < t->nsurvey; i++)
    if (alive (r, t->survey[i].id)
        && (best == NULL || pos_cmp (t->survey[i].pos, best->pos) > 0))
      best = &t->survey[i];
  for (int i = 0; best && t->sync > 0 && i < t->nsurvey; i++)
    if (pos_cmp (t->survey[i].pos, best->pos) > 0)
      return NULL;
  return best;
}

static take_act_t
survey (takeover_t *t, const roster_table_t *r, const server_t *p, msec_t now)
{

  if (p && !p->leaving && !lost (t, p, now))
    {
      enter (t, PHASE_WATCH, now);
      return act (t, TAKE_NOTHING);
    }
  if (t->nsurvey < t->asked && now - t->since < SURVEY_TIME)
    return act (t, TAKE_NOTHING);
  const survey_t *best = choose (t, r);
  if (best == NULL)
    {
      /* Too few answered: ask again.  */
      enter (t, PHASE_WATCH, now);
      t->hold = now + PROBE_EVERY;
      return act (t, TAKE_NOTHING);
    }
  memcpy (t->chosen, best->id, sizeof t->chosen);
  enter (t, PHASE_INTENT, now);
  return act (t, TAKE_INTENT);
}

take_act_t
takeover_tick (takeover_t *t, const roster_table_t *r, msec_t now)
{
  const server_t *p = current (t, r);

  follow_primary (t, p, now);
  switch (t->phase)
    {
    case PHASE_WATCH:
      return watch (t, r, p, now);
    case PHASE_SURVEY:
      return survey (t, r, p, now);
    case PHASE_INTENT:
      /* The record may have been dropped with the leadership.  */
      if (now - t->since > ROLE_TIME)
        enter (t, PHASE_WATCH, now);
      break;
    case PHASE_CALL:
      if (t->calls == 0 || now - t->since >= CALL_TIME)
        {
          t->since = now;
          if (t->calls++ < 4)
            return act (t, TAKE_CALL);
          enter (t, PHASE_WATCH, now);
        }
      break;
    case PHASE_ROLE:
      if ((p && strcmp (p->id, t->chosen) == 0) || now - t->since > ROLE_TIME)
        {
          t->hold = now + (p && strcmp (p->id, t->chosen) == 0 ? HOLD_OFF : 0);
          enter (t, PHASE_WATCH, now);
        }
      break;
    }
  return act (t, TAKE_NOTHING);
}
