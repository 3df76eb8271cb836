#include "fleet.h"

#include <stdio.h>
#include <string.h>

void
takeover_init (takeover_t *t, str_t service, msec_t now)
{
  *t = (takeover_t){ .phase = PHASE_MONITOR,
                     .phase_since = now,
                     .roster_revision = -1,
                     .probe_ok_at = -1,
                     .fail_since = -1,
                     .reported_ok_at = -1,
                     .no_primary_since = -1,
                     .hold_until = now + TAKEOVER_HOLD_OFF };
  snprintf (t->service, sizeof t->service, STR_FMT, STR_ARG (service));
}

static void
set_phase (takeover_t *t, phase_t p, msec_t now)
{
  t->phase = p;
  t->phase_since = now;
}

void
takeover_probe (takeover_t *t, str_t id, bool ok, bool refused, msec_t sent,
                msec_t now)
{
  if (!str_eq (str_of (t->primary), id))
    return;
  if (ok)
    {
      t->probe_ok_at = now;
      t->fail_since = -1;
      t->refused = false;
      return;
    }
  if (t->fail_since < 0)
    t->fail_since = sent;
  t->refused = refused;
}

void
takeover_report (takeover_t *t, str_t id, msec_t ok)
{
  if (str_eq (str_of (t->primary), id) && ok > t->reported_ok_at)
    t->reported_ok_at = ok;
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
  if (t->nsurvey == SURVEY_MAX)
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
  t->attempts = 0;
  set_phase (t, PHASE_CALL, now);
}

void
takeover_promote_result (takeover_t *t, int64_t token, promote_result_t result,
                         msec_t now)
{
  if (t->phase != PHASE_CALL || token != t->token)
    return;
  if (result == CALL_ACCEPTED)
    set_phase (t, PHASE_ROLE, now);
  else if (result == CALL_REFUSED)
    set_phase (t, PHASE_MONITOR, now);
  else
    t->phase_since = now - CALL_RETRY_INTERVAL + PROBE_INTERVAL;
}

/* ---- the primary and its state ---- */

static const server_t *
search_primary (const takeover_t *t, const roster_table_t *r)
{
  const server_t *best = NULL;

  for (size_t i = 0; i < r->n; i++)
    {
      const server_t *s = &r->at[i];
      if (s->gone || !s->primary || strcmp (s->service, t->service) != 0)
        continue;
      /* Two databases may report the role for a moment: the later report
         counts.  */
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
      if (t->no_primary_since < 0)
        t->no_primary_since = now;
      return;
    }
  t->no_primary_since = -1;
  if (strcmp (p->id, t->primary) == 0)
    return;
  snprintf (t->primary, sizeof t->primary, "%s", p->id);
  t->probe_ok_at = t->fail_since = t->reported_ok_at = -1;
  t->refused = false;
}

/* Whether the primary has to be replaced.  Failed probes alone are not enough:
   while the primary answers an entry instance, only the path from this
   instance is faulty.  */
static bool
primary_failed (const takeover_t *t, const server_t *p, msec_t now)
{
  if (p == NULL)
    return t->no_primary_since >= 0
           && now - t->no_primary_since >= NO_PRIMARY_LIMIT;
  if (t->fail_since < 0)
    return false;
  msec_t limit = t->refused ? REFUSED_LIMIT : SILENCE_LIMIT;
  return now - t->fail_since >= limit && t->reported_ok_at < t->fail_since;
}

/* Number of databases other than the primary.  A leaving one replicates until
   it ends, but cannot be chosen.  */
static int
count_replicas (const takeover_t *t, const roster_table_t *r,
                const server_t *p, bool leaving)
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

static takeover_action_t
action (const takeover_t *t, takeover_action_kind_t kind)
{
  takeover_action_t a = { .kind = kind, .token = t->token };

  if (kind == TAKEOVER_NONE)
    return a;
  snprintf (a.service, sizeof a.service, "%s", t->service);
  snprintf (a.id, sizeof a.id, "%s", t->chosen);
  return a;
}

static takeover_action_t
monitor (takeover_t *t, const roster_table_t *r, const server_t *p, msec_t now)
{
  t->planned = p && p->leaving;
  if (now < t->hold_until || !(t->planned || primary_failed (t, p, now)))
    return action (t, TAKEOVER_NONE);
  if (count_replicas (t, r, p, false) == 0)
    return action (t, TAKEOVER_NONE);
  t->nasked = count_replicas (t, r, p, t->sync_replicas > 0);
  t->nsurvey = 0;
  set_phase (t, PHASE_SURVEY, now);
  return action (t, TAKEOVER_SURVEY);
}

static bool
eligible (const roster_table_t *r, const char *id)
{
  const server_t *s = roster_find (r, str_of (id));

  return s && !s->gone && !s->leaving;
}

/* The most advanced of the databases that answered and are not leaving.  With
   synchronous replicas, NULL while SYNC_REPLICAS or more have not answered,
   since an acknowledged commit may be on these only, and while a leaving one
   is ahead.  */
static const survey_t *
choose (const takeover_t *t, const roster_table_t *r)
{
  const survey_t *best = NULL;

  if (t->sync_replicas > 0 && t->nsurvey <= t->nasked - t->sync_replicas)
    return NULL;
  for (int i = 0; i < t->nsurvey; i++)
    if (eligible (r, t->survey[i].id)
        && (best == NULL || pos_cmp (t->survey[i].pos, best->pos) > 0))
      best = &t->survey[i];
  for (int i = 0; best && t->sync_replicas > 0 && i < t->nsurvey; i++)
    if (pos_cmp (t->survey[i].pos, best->pos) > 0)
      return NULL;
  return best;
}

static takeover_action_t
survey (takeover_t *t, const roster_table_t *r, const server_t *p, msec_t now)
{

  if (p && !p->leaving && !primary_failed (t, p, now))
    {
      set_phase (t, PHASE_MONITOR, now);
      return action (t, TAKEOVER_NONE);
    }
  if (t->nsurvey < t->nasked && now - t->phase_since < SURVEY_TIMEOUT)
    return action (t, TAKEOVER_NONE);
  const survey_t *best = choose (t, r);
  if (best == NULL)
    {
      /* Too few answered, or a leaving one is ahead: repeat the survey.  */
      set_phase (t, PHASE_MONITOR, now);
      t->hold_until = now + PROBE_INTERVAL;
      return action (t, TAKEOVER_NONE);
    }
  memcpy (t->chosen, best->id, sizeof t->chosen);
  set_phase (t, PHASE_INTENT, now);
  return action (t, TAKEOVER_INTENT);
}

/* The primary according to the roster, which is searched after a change only:
   each service asks in every tick.  */
static const server_t *
current_primary (takeover_t *t, const roster_table_t *r, msec_t now)
{
  const server_t *p;

  if (t->roster_revision == r->revision)
    p = t->has_primary ? roster_find (r, str_of (t->primary)) : NULL;
  else
    p = search_primary (t, r);
  follow_primary (t, p, now);
  t->has_primary = p != NULL;
  t->roster_revision = r->revision;
  return p;
}

takeover_action_t
takeover_tick (takeover_t *t, const roster_table_t *r, msec_t now)
{
  const server_t *p = current_primary (t, r, now);

  switch (t->phase)
    {
    case PHASE_MONITOR:
      return monitor (t, r, p, now);
    case PHASE_SURVEY:
      return survey (t, r, p, now);
    case PHASE_INTENT:
      /* The record may have been dropped when the leadership changed.  */
      if (now - t->phase_since > ROLE_TIMEOUT)
        set_phase (t, PHASE_MONITOR, now);
      break;
    case PHASE_CALL:
      if (t->attempts == 0 || now - t->phase_since >= CALL_RETRY_INTERVAL)
        {
          t->phase_since = now;
          if (t->attempts++ < 4)
            return action (t, TAKEOVER_CALL);
          set_phase (t, PHASE_MONITOR, now);
        }
      break;
    case PHASE_ROLE:
      if ((p && strcmp (p->id, t->chosen) == 0)
          || now - t->phase_since > ROLE_TIMEOUT)
        {
          t->hold_until
              = now
                + (p && strcmp (p->id, t->chosen) == 0 ? TAKEOVER_HOLD_OFF
                                                       : 0);
          set_phase (t, PHASE_MONITOR, now);
        }
      break;
    }
  return action (t, TAKEOVER_NONE);
}
