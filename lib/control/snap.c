#include "ctl.h"

#include <stdio.h>

enum
{
  SNAP_VERSION = 1
};

static void
put_outcomes (const control_t *c, buf_t *out)
{
  int first = (c->outcome_at - c->noutcomes + CTL_OUTCOMES) % CTL_OUTCOMES;

  for (int i = 0; i < c->noutcomes; i++)
    {
      const outcome_t *o = &c->outcomes[(first + i) % CTL_OUTCOMES];
      rec_t r = { .type = SNAP_OUTCOME,
                  .id = str_of (o->id),
                  .state = o->status,
                  .base = o->version,
                  .term = o->raft_term,
                  .position = o->index,
                  .actor = str_of (o->by),
                  .cause = str_of (o->detail) };
      rec_pack (out, &r);
    }
}

static void
put_members (const control_t *c, buf_t *out)
{
  for (int i = 0; i < c->nmem; i++)
    {
      const mem_t *m = c->mem[i];
      rec_t r = { .type = SNAP_MEMBER,
                  .name = mem_name (m),
                  .group = str_of (m->group),
                  .address = str_of (m->address),
                  .zone = str_of (m->zone),
                  .term = m->follow_term,
                  .state = m->bits };
      rec_pack (out, &r);
    }
}

static void
put_groups (const control_t *c, buf_t *out)
{
  for (int i = 0; i < c->ngrp; i++)
    {
      const grp_t *g = c->grp[i];
      rec_t r = { .type = SNAP_GROUP,
                  .group = str_of (g->name),
                  .name = str_of (g->primary),
                  .term = g->term,
                  .position = g->new_term,
                  .base = g->intent_raft_term,
                  .actor = str_of (g->owner),
                  .state = (g->intent ? 1 : 0) | (g->lease_open ? 2 : 0)
                           | (g->adopted ? 4 : 0) };
      rec_pack (out, &r);
    }
}

static void
put_entries (const control_t *c, buf_t *out)
{
  for (int i = 0; i < MAX_ENTRIES; i++)
    {
      const ent_t *t = c->ent[i];
      if (!t)
        continue;
      rec_t r = { .type = SNAP_ENTRY,
                  .name = str_of (t->name),
                  .base = i,
                  .state = (t->up ? 1 : 0) | (t->removed ? 2 : 0)
                           | (t->has_floors ? 4 : 0) };
      rec_pack (out, &r);
    }
}

void
control_snapshot (const control_t *c, buf_t *out)
{
  rec_t head = { .type = SNAP_HEAD,
                 .state = SNAP_VERSION,
                 .base = c->cfg_version,
                 .term = c->cfg_term,
                 .position = c->cfg_index,
                 .actor = str_of (c->cfg_by),
                 .text = { c->cfg, c->cfg_n } };
  rec_t end
      = { .type = SNAP_END, .position = c->applied, .term = c->applied_term };

  rec_pack (out, &head);
  put_outcomes (c, out);
  put_members (c, out);
  put_groups (c, out);
  put_entries (c, out);
  for (int i = 0; i < c->naudits; i++)
    {
      const audit_t *a = audit_get (c, i);
      rec_t r = { .type = SNAP_AUDIT,
                  .position = a->index,
                  .term = a->raft_term,
                  .text = { a->p, a->n } };
      rec_pack (out, &r);
    }
  rec_pack (out, &end);
}

static bool
restore_head (control_t *c, const rec_t *r, msec_t now, err_t *e)
{
  if (r->state != SNAP_VERSION)
    return err_set (e, ERR_VERSION, "snapshot", "version %lld",
                    (long long)r->state);
  c->cfg_version = r->base;
  c->cfg_term = r->term;
  c->cfg_index = r->position;
  name_set (c->cfg_by, r->actor);
  return r->text.n == 0 || conf_apply (c, r->text, now, e);
}

static void
restore_outcome (control_t *c, const rec_t *r)
{
  outcome_t o = { .status = r->state,
                  .version = r->base,
                  .raft_term = r->term,
                  .index = r->position };

  name_set (o.id, r->id);
  name_set (o.by, r->actor);
  snprintf (o.detail, sizeof o.detail, STR_FMT, STR_ARG (r->cause));
  outcome_add (c, &o);
}

static void
restore_member (control_t *c, const rec_t *r, msec_t now)
{
  mem_t *m = mem_add (c, r->name);

  if (!m)
    return;
  name_set (m->group, r->group);
  name_set (m->address, r->address);
  name_set (m->zone, r->zone);
  m->bits = r->state;
  m->follow_term = r->term;
  m->announced = m->unreachable_since = m->stale_since = m->removed_at = now;
}

static void
restore_group (control_t *c, const rec_t *r)
{
  grp_t *g = grp_add (c, r->group);

  if (!g)
    return;
  name_set (g->primary, r->name);
  g->term = r->term;
  g->new_term = r->position;
  g->intent_raft_term = r->base;
  name_set (g->owner, r->actor);
  g->intent = r->state & 1;
  g->lease_open = r->state & 2;
  g->adopted = r->state & 4;
}

static void
restore_entry (control_t *c, const rec_t *r, msec_t now)
{
  ent_t *t = ent_add (c, r->name);

  if (!t)
    return;
  t->up = r->state & 1;
  t->removed = r->state & 2;
  t->has_floors = r->state & 4;
  t->removed_at = now;
}

static bool
restore_audit (control_t *c, const rec_t *r, err_t *e)
{
  rec_t kept;
  size_t off = 0;

  if (!rec_unpack (r->text, &off, &kept, e))
    return false;
  audit_add (c, r->term, r->position, &kept);
  return true;
}

static bool
restore_record (control_t *c, const rec_t *r, msec_t now, err_t *e)
{
  switch ((rec_type_t)r->type)
    {
    case SNAP_HEAD:
      return restore_head (c, r, now, e);
    case SNAP_OUTCOME:
      restore_outcome (c, r);
      return true;
    case SNAP_MEMBER:
      restore_member (c, r, now);
      return true;
    case SNAP_GROUP:
      restore_group (c, r);
      return true;
    case SNAP_ENTRY:
      restore_entry (c, r, now);
      return true;
    case SNAP_AUDIT:
      return restore_audit (c, r, e);
    default:
      return err_set (e, ERR_CORRUPT, "snapshot", "type %lld",
                      (long long)r->type);
    }
}

bool
control_restore (control_t *c, str_t data, msec_t now, err_t *e)
{
  rec_t r = { 0 };
  size_t off = 0;

  state_clear (c);
  c->ready = false;
  c->targets_changed++;
  while (rec_unpack (data, &off, &r, e))
    {
      if (r.type == SNAP_END)
        {
          c->applied = r.position;
          c->applied_term = r.term;
          return true;
        }
      if (!restore_record (c, &r, now, e))
        return false;
    }
  return false;
}
