#include "ctl.h"

#include <stdio.h>
#include <string.h>

static void
apply_takeover (control_t *c, const rec_t *r, int64_t raft_term, msec_t now)
{
  if (!c->is_leader || c->ready || raft_term != c->raft_term
      || !str_eq (r->decider, str_of (c->name)))
    return;
  c->ready = true;
  member_takeover (c, now);
}

static void
accept_config (control_t *c, const rec_t *r, outcome_t *o, msec_t now)
{
  err_t e = { 0 };

  c->cfg_version++;
  c->cfg_term = o->raft_term;
  c->cfg_index = o->index;
  name_set (c->cfg_by, r->actor);
  o->status = SUBMIT_ACCEPTED;
  o->version = c->cfg_version;
  if (!conf_apply (c, r->text, now, &e))
    snprintf (o->detail, sizeof o->detail, "accepted, but unreadable: %.120s",
              e.detail);
}

bool
apply_base_matches (const control_t *c, const rec_t *r)
{
  return r->base == c->cfg_version;
}

/* Decides a submission by the order of the log alone, so that of several
   submissions with one base version every instance accepts the first.  */
static void
apply_submit (control_t *c, rec_t *r, int64_t raft_term, int64_t index,
              msec_t now)
{
  outcome_t o = { .raft_term = raft_term, .index = index };

  if (c->rules.outcome (c, r->id))
    return;
  name_set (o.id, r->id);
  if (r->state == SUBMIT_INVALID)
    {
      o.status = SUBMIT_INVALID;
      o.version = c->cfg_version;
      snprintf (o.detail, sizeof o.detail, STR_FMT, STR_ARG (r->cause));
    }
  else if (!c->rules.base_matches (c, r))
    {
      o.status = SUBMIT_CONFLICT;
      o.version = c->cfg_version;
      name_set (o.by, str_of (c->cfg_by));
      snprintf (o.detail, sizeof o.detail,
                "based on version %lld, version %lld is by %s",
                (long long)r->base, (long long)c->cfg_version, c->cfg_by);
    }
  else
    {
      name_set (o.by, r->actor);
      accept_config (c, r, &o, now);
    }
  outcome_add (c, &o);
  r->state = o.status;
  r->cause = str_of (outcome_find (c, r->id)->detail);
  r->position = o.version;
}

static void
change_address (mem_t *m, const rec_t *r, msec_t now)
{
  name_set (m->address, r->address);
  m->nobs = 0;
  m->answered = m->own_ok = m->fenced = false;
  m->announced = now;
  m->unreachable_since = now;
}

static void
apply_member (control_t *c, const rec_t *r, msec_t now)
{
  mem_t *m
      = (r->state & M_REMOVED) ? mem_find (c, r->name) : mem_add (c, r->name);

  if (!m)
    return;
  m->proposed = 0;
  c->targets_changed++;
  if (r->state & M_REMOVED)
    {
      m->bits = M_REMOVED;
      m->removed_at = now;
      m->group[0] = '\0';
      return;
    }
  name_set (m->group, r->group);
  name_set (m->zone, r->zone);
  if (!str_eq (str_of (m->address), r->address))
    change_address (m, r, now);
  if ((r->state & M_STALE) && !(m->bits & M_STALE))
    {
      m->stale_since = now;
      m->catchup_pos = -1;
    }
  if ((m->bits & M_EXPIRED) && !(r->state & M_EXPIRED))
    m->announced = now;
  if ((m->bits & M_STALE) && !(r->state & M_STALE))
    m->regressed = false;
  m->bits = r->state;
}

static void
apply_entry (control_t *c, const rec_t *r)
{
  int slot;
  ent_t *t = ent_find (c, r->name, &slot);

  if (!t)
    return;
  t->proposed = 0;
  if (r->state == 3)
    {
      t->has_floors = true;
      return;
    }
  t->up = r->state == 1;
  if (r->state == 2 && t->removed)
    {
      /* The next instance to use the slot must start without grants.  */
      for (int i = 0; i < c->nmem; i++)
        memset (&c->mem[i]->hold[slot], 0, sizeof (hold_t));
      ent_free (c, slot);
    }
}

static void
apply_intent (control_t *c, const rec_t *r, int64_t raft_term, msec_t now)
{
  grp_t *g = grp_add (c, r->group);

  if (!g)
    return;
  g->proposed = 0;
  if (r->term <= g->term || r->term <= g->new_term)
    return;
  g->intent = true;
  g->new_term = r->term;
  g->intent_raft_term = raft_term;
  g->intent_at = now;
  name_set (g->owner, r->actor);
  if (c->ready && raft_term == c->raft_term)
    failover_begin (c, g, now);
}

static void
apply_primary (control_t *c, const rec_t *r, msec_t now)
{
  grp_t *g = grp_add (c, r->group);
  mem_t *m = mem_find (c, r->name);

  if (!g)
    return;
  g->proposed = 0;
  bool adopted = r->state == 0 && !g->intent && g->term == 0;
  bool promoted = r->state == 1 && g->intent && r->term == g->new_term
                  && str_eq (r->actor, str_of (g->owner));
  if (!adopted && !promoted)
    return;
  g->term = r->term;
  if (g->new_term < r->term)
    g->new_term = r->term;
  name_set (g->primary, r->name);
  g->adopted = adopted;
  g->intent = g->lease_open = g->lease_proposed = g->refusal_recorded = false;
  g->promoted_at = promoted ? now : 0;
  g->promotions += promoted;
  if (!m)
    return;
  detect_reset (m, now);
  if (m->answered)
    m->observed_term = r->term;
}

static void
apply_lease (control_t *c, const rec_t *r)
{
  grp_t *g = grp_find (c, r->group);

  if (g && r->term == g->term)
    g->lease_open = r->state == 1;
}

static void
apply_repair (control_t *c, const rec_t *r)
{
  mem_t *m = mem_find (c, r->name);

  if (!m)
    return;
  m->proposed = 0;
  if (r->term > m->follow_term)
    m->follow_term = r->term;
  if (m->answered)
    m->observed_term = r->term;
}

static void
dispatch (control_t *c, rec_t *r, int64_t raft_term, int64_t index, msec_t now)
{
  switch ((rec_type_t)r->type)
    {
    case REC_TAKEOVER:
      apply_takeover (c, r, raft_term, now);
      break;
    case REC_SUBMIT:
      apply_submit (c, r, raft_term, index, now);
      break;
    case REC_MEMBER:
      apply_member (c, r, now);
      break;
    case REC_ENTRY:
      apply_entry (c, r);
      break;
    case REC_INTENT:
      apply_intent (c, r, raft_term, now);
      break;
    case REC_PRIMARY:
      apply_primary (c, r, now);
      break;
    case REC_LEASE:
      apply_lease (c, r);
      break;
    case REC_REPAIR:
      apply_repair (c, r);
      break;
    default: /* refusals only go to the audit trail */
      break;
    }
}

bool
control_apply (control_t *c, int64_t raft_term, int64_t index, str_t data,
               msec_t now, err_t *e)
{
  rec_t r;
  size_t off = 0;

  if (!rec_unpack (data, &off, &r, e))
    return false;
  if (r.type < REC_TAKEOVER || r.type > REC_REFUSAL)
    return err_set (e, ERR_CORRUPT, "record", "type %lld", (long long)r.type);
  if (index <= c->applied)
    return true;
  c->applied = index;
  c->applied_term = raft_term;
  bool repeated = r.type == REC_SUBMIT && outcome_find (c, r.id);
  dispatch (c, &r, raft_term, index, now);
  if (!repeated)
    audit_add (c, raft_term, index, &r);
  if (r.type == REC_SUBMIT)
    submit_done (c, r.id);
  return true;
}
