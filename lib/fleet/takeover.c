#include "fleet.h"

#include <stdlib.h>
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
                     .planned_at = -1,
                     .paused = true,
                     .resume_at = now + RESUME_DELAY,
                     .hold_until = now + TAKEOVER_HOLD_OFF };
  if (!str_copy (t->service, sizeof t->service, service))
    abort (); /* name_check has bounded it */
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

static void
note_position (takeover_t *t, str_t id, pos_t pos)
{
  for (int i = 0; i < t->nsurvey; i++)
    if (str_eq (str_of (t->survey[i].id), id))
      {
        t->survey[i].pos = pos;
        return;
      }
  if (t->nsurvey == SURVEY_MAX
      || !str_copy (t->survey[t->nsurvey].id, NAME_SIZE, id))
    return;
  t->survey[t->nsurvey++].pos = pos;
}

void
takeover_position (takeover_t *t, str_t id, pos_t pos)
{
  if (t->phase == PHASE_SURVEY)
    note_position (t, id, pos);
}

void
takeover_paused (takeover_t *t, str_t id, int64_t term, pos_t pos)
{
  if (t->phase == PHASE_PAUSE && term >= t->pause_term)
    note_position (t, id, pos);
}

void
takeover_unpausable (takeover_t *t)
{
  if (t->phase == PHASE_PAUSE)
    t->unpausable = true;
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
    {
      /* An earlier attempt without an answer may still be carried out.  */
      t->call_open = t->attempts > 1;
      set_phase (t, PHASE_MONITOR, now);
    }
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
  memcpy (t->primary, p->id, sizeof t->primary);
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
  memcpy (a.service, t->service, sizeof a.service);
  memcpy (a.id, t->chosen, sizeof a.id);
  return a;
}

/* Whether a takeover that may have been ordered has to be completed even if
   the primary works: the replicas stay paused until then.  */
static bool
is_forced (const takeover_t *t)
{
  return t->paused && t->pause_term > 0 && t->call_open;
}

static void
start_survey (takeover_t *t, msec_t now)
{
  t->nsurvey = 0;
  set_phase (t, PHASE_SURVEY, now);
}

/* Back to PHASE_MONITOR; the next takeover doesn't start before HOLD ms.  */
static takeover_action_t
give_up (takeover_t *t, msec_t now, msec_t hold)
{
  set_phase (t, PHASE_MONITOR, now);
  t->hold_until = now + hold;
  return action (t, TAKEOVER_NONE);
}

/* Resumes replicas that are or may be paused, once that is harmless.  Of a
   service without synchronous replicas only this leader can have paused
   them.  */
static takeover_action_t
resume (takeover_t *t, msec_t now)
{
  if (!t->paused || t->call_open || now < t->resume_at)
    return action (t, TAKEOVER_NONE);
  t->paused = false;
  if (t->sync_replicas == 0 && t->pause_term == 0)
    return action (t, TAKEOVER_NONE);
  return action (t, TAKEOVER_RESUME);
}

static takeover_action_t
monitor (takeover_t *t, const roster_table_t *r, const server_t *p, msec_t now)
{
  t->planned = p && p->leaving;
  t->planned_at = !t->planned ? -1 : t->planned_at < 0 ? now : t->planned_at;
  if (!t->planned && !primary_failed (t, p, now) && !is_forced (t))
    return resume (t, now);
  if (now < t->hold_until)
    return action (t, TAKEOVER_NONE);
  if (count_replicas (t, r, p, false) == 0)
    return action (t, TAKEOVER_NONE);
  t->nasked = count_replicas (t, r, p, t->sync_replicas > 0);
  t->final = t->unpausable = false;
  start_survey (t, now);
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

/* Whether the survey is to be ended since the primary works.  */
static bool
is_unneeded (const takeover_t *t, const server_t *p, msec_t now)
{
  return p && !p->leaving && !primary_failed (t, p, now) && !is_forced (t);
}

static takeover_action_t
decide (takeover_t *t, const roster_table_t *r, msec_t now)
{
  const survey_t *best = choose (t, r);

  /* Too few answered, or a leaving one is ahead: repeat the survey.  */
  if (best == NULL)
    return give_up (t, now, PROBE_INTERVAL);
  memcpy (t->chosen, best->id, sizeof t->chosen);
  set_phase (t, PHASE_INTENT, now);
  return action (t, TAKEOVER_INTENT);
}

/* Pauses the replicas for the term after the newest one.  */
static takeover_action_t
start_pause (takeover_t *t, msec_t now)
{
  int64_t newest = 0;

  for (int i = 0; i < t->nsurvey; i++)
    if (t->survey[i].pos.term > newest)
      newest = t->survey[i].pos.term;
  t->pause_term = newest + 1;
  t->paused = true;
  t->nsurvey = 0;
  set_phase (t, PHASE_PAUSE, now);
  takeover_action_t a = action (t, TAKEOVER_PAUSE);
  a.token = t->pause_term;
  return a;
}

static takeover_action_t
survey (takeover_t *t, const roster_table_t *r, const server_t *p, msec_t now)
{
  if (is_unneeded (t, p, now))
    return give_up (t, now, 0);
  if (t->nsurvey < t->nasked && now - t->phase_since < SURVEY_TIMEOUT)
    return action (t, TAKEOVER_NONE);
  if (t->sync_replicas == 0 || t->final)
    return decide (t, r, now);
  if (choose (t, r))
    return start_pause (t, now);
  /* Pausing is in vain while no database can be chosen, and those paused
     before hold up the commits of a primary that still runs.  */
  give_up (t, now, PROBE_INTERVAL);
  return resume (t, now);
}

static takeover_action_t
pause_replicas (takeover_t *t, const roster_table_t *r, const server_t *p,
                msec_t now)
{
  if (is_unneeded (t, p, now))
    return give_up (t, now, 0);
  if (t->unpausable)
    {
      set_phase (t, PHASE_QUIESCE, now);
      return action (t, TAKEOVER_NONE);
    }
  if (t->nsurvey < t->nasked && now - t->phase_since < SURVEY_TIMEOUT)
    return action (t, TAKEOVER_NONE);
  return decide (t, r, now);
}

/* A failed primary is not waited for.  */
static takeover_action_t
quiesce (takeover_t *t, const server_t *p, msec_t now)
{
  if (is_unneeded (t, p, now))
    return give_up (t, now, 0);
  if (t->planned && now - t->planned_at < QUIESCE_TIME)
    return action (t, TAKEOVER_NONE);
  t->final = true;
  start_survey (t, now);
  return action (t, TAKEOVER_SURVEY);
}

static takeover_action_t
call (takeover_t *t, msec_t now)
{
  if (t->attempts > 0 && now - t->phase_since < CALL_RETRY_INTERVAL)
    return action (t, TAKEOVER_NONE);
  if (t->attempts == CALL_ATTEMPTS)
    return give_up (t, now, 0);
  t->phase_since = now;
  t->attempts++;
  t->call_open = true;
  return action (t, TAKEOVER_CALL);
}

static takeover_action_t
await_role (takeover_t *t, const server_t *p, msec_t now)
{
  if (p && strcmp (p->id, t->chosen) == 0)
    {
      t->call_open = false;
      t->resume_at = now;
      return give_up (t, now, TAKEOVER_HOLD_OFF);
    }
  return now - t->phase_since > ROLE_TIMEOUT ? give_up (t, now, 0)
                                             : action (t, TAKEOVER_NONE);
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
    case PHASE_PAUSE:
      return pause_replicas (t, r, p, now);
    case PHASE_QUIESCE:
      return quiesce (t, p, now);
    case PHASE_INTENT:
      /* The record may have been dropped when the leadership changed.  */
      if (now - t->phase_since > ROLE_TIMEOUT)
        return give_up (t, now, 0);
      break;
    case PHASE_CALL:
      return call (t, now);
    case PHASE_ROLE:
      return await_role (t, p, now);
    }
  return action (t, TAKEOVER_NONE);
}
