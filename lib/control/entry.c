#include "ctl.h"

#include <string.h>

static void
propose (control_t *c, ent_t *t, int64_t state, const char *cause, msec_t now)
{
  rec_t r = { .type = REC_ENTRY,
              .name = str_of (t->name),
              .state = state,
              .cause = str_of (cause) };

  if (t->proposed && now - t->proposed < REPROPOSE)
    return;
  t->proposed = now;
  act_append (c, &r);
}

/* The floors of an instance that was removed from the configuration are freed
   once it reports no open connections and uses the current configuration,
   under which it opens no more.  */
static void
release_removed (control_t *c, ent_t *t, const renew_t *r, msec_t now)
{
  int64_t open = 0;

  for (size_t i = 0; i < r->usage.n; i++)
    open += LIST_AT (r->usage, db_usage_t, i)->open;
  if (open == 0 && !r->brief && r->cfg_index >= c->cfg_index)
    propose (c, t, 2, "removed from the configuration, holds nothing", now);
}

ent_t *
entry_renew (control_t *c, const renew_t *r, msec_t now, int *slot)
{
  const ctl_instance_t *x = conf_instance (c, r->name);
  ent_t *t = ent_find (c, r->name, slot);

  if (!t)
    return NULL;
  if (!x || !x->entry)
    {
      if (t->removed)
        release_removed (c, t, r, now);
      return NULL;
    }
  if (t->boot && t->boot != r->boot && !t->stopping
      && now - t->renewed_at < CTL_LEASE)
    {
      audit_refusal (c, STR (""), r->name, r->address,
                     "two instances with one name", now);
      return NULL;
    }
  if (t->boot != r->boot)
    t->full_sent = false;
  t->boot = r->boot;
  t->renewed_at = now;
  t->stopping = r->stopping;
  t->cfg_index = r->cfg_index;
  if (!t->up && !r->stopping)
    propose (c, t, 1, "renewed", now);
  else if (t->up && r->stopping)
    propose (c, t, 0, "planned stop", now);
  return t;
}

void
entry_record_floors (control_t *c, ent_t *t, msec_t now)
{
  if (!t->has_floors)
    propose (c, t, 3, "given its floors", now);
}

void
entry_tick (control_t *c, msec_t now)
{
  for (int i = 0; i < MAX_ENTRIES; i++)
    {
      ent_t *t = c->ent[i];
      if (!t)
        continue;
      if (t->up && now - t->renewed_at > CTL_MEMBER_EXPIRY)
        propose (c, t, 0, "no renewal for 3 s", now);
      else if (t->removed && now - t->removed_at > CTL_FLOOR_HOLD)
        propose (c, t, 2, "removed from the configuration for 2 h", now);
    }
}
