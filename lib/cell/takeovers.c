#include "local.h"

#include <stdlib.h>
#include <string.h>

takeover_t *
takeover_of (cell_t *c, str_t service)
{
  takeover_t *t = apr_hash_get (c->takeover_by_service, service.p,
                                (apr_ssize_t)service.n);

  if (t)
    return t;
  /* Reports of other instances name services that no check has seen.  */
  if (!name_check (service, "service", NULL))
    return NULL;
  if (c->ntakeover == SERVICES_MAX)
    {
      log_event (EV_SERVICES_FULL, "service=" STR_FMT " services=%d",
                 STR_ARG (service), SERVICES_MAX);
      return NULL;
    }
  t = malloc (sizeof *t);
  if (t == NULL)
    abort ();
  takeover_init (t, service, c->now);
  c->takeover[c->ntakeover++] = t;
  apr_hash_set (c->takeover_by_service, t->service,
                (apr_ssize_t)strlen (t->service), t);
  c->takeovers_version = -1;
  return t;
}

static void
takeovers_free (cell_t *c)
{
  apr_hash_clear (c->takeover_by_service);
  while (c->ntakeover)
    free (c->takeover[--c->ntakeover]);
}

/* Sets the number of synchronous replicas, after a change of the configuration
   or of the services.  */
static void
follow_setup (cell_t *c)
{
  const setup_t *s = c->decoded_setup;

  if (c->takeovers_version == c->version)
    return;
  c->takeovers_version = c->version;
  for (size_t i = 0; i < c->ntakeover; i++)
    c->takeover[i]->sync_replicas = 0;
  for (size_t i = 0; s && i < s->services.n; i++)
    {
      const service_entry_t *v = LIST_AT (s->services, service_entry_t, i);
      takeover_t *t = apr_hash_get (c->takeover_by_service, v->name.p,
                                    (apr_ssize_t)v->name.n);
      if (t)
        t->sync_replicas = v->sync_replicas;
    }
}

static void
record_intent (cell_t *c, takeover_t *t, const takeover_action_t *a)
{
  fleet_record_t r = { .kind = FLEET_PROMOTE,
                       .service = str_of (a->service),
                       .id = str_of (a->id) };

  log_event (EV_PRIMARY_LOST,
             "service=%s primary=%s planned=%d fail_ms=%lld refused=%d "
             "seen_ms=%lld chosen=%s survey=%d",
             a->service, t->primary, t->planned,
             t->fail_since < 0 ? -1LL : (long long)(c->now - t->fail_since),
             t->refused,
             t->reported_ok_at < 0 ? -1LL
                                   : (long long)(c->now - t->reported_ok_at),
             a->id, t->nsurvey);
  cell_propose (c, &r, NULL);
}

static void
execute (cell_t *c, takeover_t *t, const takeover_action_t *a)
{
  switch (a->kind)
    {
    case TAKEOVER_NONE:
      break;
    case TAKEOVER_SURVEY:
      probe_ask (c, a->service, ASK_STATUS, 0);
      break;
    case TAKEOVER_PAUSE:
      log_event (EV_REPLICAS_PAUSED, "service=%s primary=%s term=%lld",
                 a->service, t->primary, (long long)a->token);
      probe_ask (c, a->service, ASK_PAUSE, a->token);
      break;
    case TAKEOVER_RESUME:
      log_event (EV_REPLICAS_RESUMED, "service=%s primary=%s", a->service,
                 t->primary);
      probe_ask (c, a->service, ASK_RESUME, 0);
      break;
    case TAKEOVER_INTENT:
      record_intent (c, t, a);
      break;
    case TAKEOVER_CALL:
      log_event (EV_PROMOTE, "service=%s database=%s token=%lld try=%d",
                 a->service, a->id, (long long)a->token, t->attempts);
      c->conf.ops.promote (c->conf.ops.arg, str_of (a->service),
                           str_of (a->id), a->token);
      break;
    }
}

void
takeovers_tick (cell_t *c)
{
  if (!raft_leader_ready (c->raft))
    {
      probes_stop (c);
      takeovers_free (c);
      return;
    }
  for (size_t i = 0;
       c->probed_revision != c->roster.revision && i < c->roster.n; i++)
    if (!c->roster.at[i].gone)
      takeover_of (c, str_of (c->roster.at[i].service));
  probes_tick (c);
  follow_setup (c);
  for (size_t i = 0; i < c->ntakeover; i++)
    {
      takeover_action_t a = takeover_tick (c->takeover[i], &c->roster, c->now);
      execute (c, c->takeover[i], &a);
    }
}

void
cell_promote_result (cell_t *c, str_t service, int64_t token,
                     promote_result_t result)
{
  takeover_t *t = takeover_of (c, service);

  c->now = loop_now (c->loop);
  log_event (EV_PROMOTED, "service=" STR_FMT " token=%lld result=%d",
             STR_ARG (service), (long long)token, (int)result);
  if (t)
    takeover_promote_result (t, token, result, c->now);
}
