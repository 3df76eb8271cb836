#include "ctl.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

bool
name_set (name_t d, str_t s)
{
  size_t n = s.n < DB_NAME_MAX - 1 ? s.n : DB_NAME_MAX - 1;

  if (n)
    memcpy (d, s.p, n);
  memset (d + n, 0, DB_NAME_MAX - n);
  return s.n < DB_NAME_MAX;
}

static void *
zalloc (size_t size)
{
  void *p = calloc (1, size);

  if (!p)
    abort ();
  return p;
}

mem_t *
mem_find (const control_t *c, str_t name)
{
  for (int i = 0; i < c->nmem; i++)
    if (str_eq (mem_name (c->mem[i]), name))
      return c->mem[i];
  return NULL;
}

mem_t *
mem_add (control_t *c, str_t name)
{
  mem_t *m = mem_find (c, name);

  if (m || c->nmem == MAX_DBS)
    return m;
  m = zalloc (sizeof *m);
  name_set (m->name, name);
  m->catchup_pos = -1;
  c->mem[c->nmem++] = m;
  return m;
}

grp_t *
grp_find (const control_t *c, str_t name)
{
  for (int i = 0; i < c->ngrp; i++)
    if (str_eq (str_of (c->grp[i]->name), name))
      return c->grp[i];
  return NULL;
}

grp_t *
grp_add (control_t *c, str_t name)
{
  grp_t *g = grp_find (c, name);

  if (g || c->ngrp == MAX_GROUPS)
    return g;
  g = zalloc (sizeof *g);
  name_set (g->name, name);
  c->grp[c->ngrp++] = g;
  return g;
}

ent_t *
ent_find (const control_t *c, str_t name, int *slot)
{
  for (int i = 0; i < MAX_ENTRIES; i++)
    if (c->ent[i] && str_eq (str_of (c->ent[i]->name), name))
      {
        if (slot)
          *slot = i;
        return c->ent[i];
      }
  return NULL;
}

ent_t *
ent_add (control_t *c, str_t name)
{
  ent_t *x = ent_find (c, name, NULL);

  for (int i = 0; !x && i < MAX_ENTRIES; i++)
    if (!c->ent[i])
      {
        x = c->ent[i] = zalloc (sizeof *x);
        name_set (x->name, name);
      }
  return x;
}

void
ent_free (control_t *c, int slot)
{
  free (c->ent[slot]);
  c->ent[slot] = NULL;
}

const ctl_group_t *
conf_group (const control_t *c, str_t name)
{
  for (size_t i = 0; i < c->conf.groups.n; i++)
    if (str_eq (LIST_AT (c->conf.groups, ctl_group_t, i)->name, name))
      return LIST_AT (c->conf.groups, ctl_group_t, i);
  return NULL;
}

const ctl_instance_t *
conf_instance (const control_t *c, str_t name)
{
  for (size_t i = 0; i < c->conf.instances.n; i++)
    if (str_eq (LIST_AT (c->conf.instances, ctl_instance_t, i)->name, name))
      return LIST_AT (c->conf.instances, ctl_instance_t, i);
  return NULL;
}

const outcome_t *
outcome_find (const control_t *c, str_t id)
{
  for (int i = 0; i < c->noutcomes; i++)
    if (str_eq (str_of (c->outcomes[i].id), id))
      return &c->outcomes[i];
  return NULL;
}

void
outcome_add (control_t *c, const outcome_t *o)
{
  const outcome_t *old = outcome_find (c, str_of (o->id));

  if (old)
    {
      c->outcomes[old - c->outcomes] = *o;
      return;
    }
  c->outcomes[c->outcome_at] = *o;
  c->outcome_at = (c->outcome_at + 1) % CTL_OUTCOMES;
  if (c->noutcomes < CTL_OUTCOMES)
    c->noutcomes++;
}

void
audit_add (control_t *c, int64_t raft_term, int64_t index, const rec_t *r)
{
  audit_t *a = &c->audits[c->audit_at];
  rec_t kept = *r;
  buf_t b;

  kept.text = STR ("");
  buf_init (&b);
  rec_pack (&b, &kept);
  free (a->p);
  a->p = b.p; /* the record takes ownership of the buffer's memory */
  a->n = b.n;
  a->index = index;
  a->raft_term = raft_term;
  c->audit_at = (c->audit_at + 1) % CTL_AUDIT;
  if (c->naudits < CTL_AUDIT)
    c->naudits++;
}

const audit_t *
audit_get (const control_t *c, int i)
{
  if (i < 0 || i >= c->naudits)
    return NULL;
  return &c->audits[(c->audit_at - c->naudits + i + CTL_AUDIT) % CTL_AUDIT];
}

/* Adds the configured entry instances.  Those no longer configured keep their
   floors until a REC_ENTRY record frees them.  */
static void
conf_entries (control_t *c, msec_t now)
{
  for (size_t i = 0; i < c->conf.instances.n; i++)
    {
      const ctl_instance_t *x = LIST_AT (c->conf.instances, ctl_instance_t, i);
      ent_t *t = x->entry ? ent_add (c, x->name) : NULL;
      if (t)
        t->removed = t->full_sent = false;
    }
  for (int i = 0; i < MAX_ENTRIES; i++)
    {
      ent_t *t = c->ent[i];
      const ctl_instance_t *x = t ? conf_instance (c, str_of (t->name)) : NULL;
      if (!t || t->removed || (x && x->entry))
        continue;
      t->removed = true;
      t->removed_at = now;
    }
}

bool
conf_apply (control_t *c, str_t text, msec_t now, err_t *e)
{
  apr_pool_t *p;
  ctl_conf_t conf = { 0 };

  free (c->cfg);
  c->cfg = zalloc (text.n + 1);
  memcpy (c->cfg, text.p, text.n);
  c->cfg_n = text.n;
  apr_pool_create (&p, c->pool);
  if (!c->ops.read (c->ops.arg, p, (str_t){ c->cfg, c->cfg_n }, &conf, e))
    {
      apr_pool_destroy (p);
      return false;
    }
  if (c->conf_pool)
    apr_pool_destroy (c->conf_pool);
  c->conf_pool = p;
  c->conf = conf;
  for (size_t i = 0; i < conf.groups.n; i++)
    grp_add (c, LIST_AT (conf.groups, ctl_group_t, i)->name);
  conf_entries (c, now);
  c->targets_changed++;
  return true;
}

void
state_clear (control_t *c)
{
  for (int i = 0; i < c->nmem; i++)
    free (c->mem[i]);
  for (int i = 0; i < c->ngrp; i++)
    free (c->grp[i]);
  for (int i = 0; i < MAX_ENTRIES; i++)
    {
      free (c->ent[i]);
      c->ent[i] = NULL;
    }
  for (int i = 0; i < CTL_AUDIT; i++)
    free (c->audits[i].p);
  memset (c->audits, 0, sizeof c->audits);
  memset (c->outcomes, 0, sizeof c->outcomes);
  if (c->conf_pool)
    apr_pool_destroy (c->conf_pool);
  c->conf_pool = NULL;
  memset (&c->conf, 0, sizeof c->conf);
  free (c->cfg);
  c->cfg = NULL;
  c->cfg_n = 0;
  c->cfg_version = c->cfg_term = c->cfg_index = 0;
  memset (c->cfg_by, 0, sizeof c->cfg_by);
  c->nmem = c->ngrp = c->naudits = c->audit_at = 0;
  c->noutcomes = c->outcome_at = 0;
  c->applied = c->applied_term = 0;
}

int64_t
mem_state (const mem_t *m)
{
  if (!mem_intact (m))
    return DB_STALE;
  if (m->bits & M_EXPIRED)
    return DB_EXPIRED;
  return (m->bits & M_LEAVING) || m->leaving ? DB_LEAVING : DB_ACTIVE;
}

bool
mem_intact (const mem_t *m)
{
  return !(m->bits & M_STALE) && !m->regressed;
}

bool
mem_fresh (const mem_t *m, msec_t now)
{
  return m->answered && now - m->at <= PROBE_FRESH;
}

mem_t *
grp_mem (const control_t *c, const grp_t *g, int *i)
{
  while (*i < c->nmem)
    {
      mem_t *m = c->mem[(*i)++];
      if (strcmp (m->group, g->name) == 0)
        return m;
    }
  return NULL;
}

int
grp_size (const control_t *c, const grp_t *g)
{
  const ctl_group_t *k = conf_group (c, str_of (g->name));
  int n = 0;

  for (int i = 0; grp_mem (c, g, &i);)
    n++;
  return k && k->databases > n ? (int)k->databases : n;
}

/* An acknowledged write is on the primary and on at least one replica, so at
   most one database of the group, whatever its size, may be missing from the
   fenced ones, and these must be a majority.  */
int
grp_fence_quorum (const control_t *c, const grp_t *g)
{
  int n = grp_size (c, g);
  int majority = n / 2 + 1;

  return n - 1 > majority ? n - 1 : majority;
}
