#include "local.h"

#include <string.h>

takeover_t *
takeover_of (cell_t *c, str_t service)
{
  for (size_t i = 0; i < c->ntake; i++)
    if (str_eq (str_of (c->take[i].service), service))
      return &c->take[i];
  if (c->ntake == SERVICES || service.n >= FLEET_NAME)
    return NULL;
  takeover_init (&c->take[c->ntake], service, c->now);
  return &c->take[c->ntake++];
}

static void
record_intent (cell_t *c, takeover_t *t, const take_act_t *a)
{
  fleet_record_t r = { .kind = FLEET_PROMOTE,
                       .service = str_of (a->service),
                       .id = str_of (a->id) };

  log_event (EV_PRIMARY_LOST,
             "service=%s primary=%s planned=%d fail_ms=%lld refused=%d "
             "seen_ms=%lld chosen=%s survey=%d",
             a->service, t->primary, t->planned,
             t->fail < 0 ? -1LL : (long long)(c->now - t->fail), t->refused,
             t->seen_ok < 0 ? -1LL : (long long)(c->now - t->seen_ok), a->id,
             t->nsurvey);
  cell_record (c, &r, NULL);
}

static void
carry_out (cell_t *c, takeover_t *t, const take_act_t *a)
{
  switch (a->kind)
    {
    case TAKE_NOTHING:
      break;
    case TAKE_SURVEY:
      probe_survey (c, a->service);
      break;
    case TAKE_INTENT:
      record_intent (c, t, a);
      break;
    case TAKE_CALL:
      log_event (EV_PROMOTE, "service=%s database=%s token=%lld try=%d",
                 a->service, a->id, (long long)a->token, t->calls);
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
      c->ntake = 0;
      probes_stop (c);
      return;
    }
  for (size_t i = 0; i < c->roster.n; i++)
    if (!c->roster.at[i].gone)
      takeover_of (c, str_of (c->roster.at[i].service));
  probes_tick (c);
  for (size_t i = 0; i < c->ntake; i++)
    {
      c->take[i].sync = cell_sync_replicas (c, c->take[i].service);
      take_act_t a = takeover_tick (&c->take[i], &c->roster, c->now);
      carry_out (c, &c->take[i], &a);
    }
}

void
cell_promoted (cell_t *c, str_t service, int64_t token, call_t result)
{
  takeover_t *t = takeover_of (c, service);

  c->now = loop_now (c->loop);
  log_event (EV_PROMOTED, "service=" STR_FMT " token=%lld result=%d",
             STR_ARG (service), (long long)token, (int)result);
  if (t)
    takeover_called (t, token, result, c->now);
}
