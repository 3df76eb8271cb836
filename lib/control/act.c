#include "ctl.h"

#include <stdio.h>
#include <stdlib.h>

struct act_node
{
  act_node_t *next;
  ctl_act_t act;
  buf_t data;
  outcome_t strings; /* owns the strings of RESP */
  name_t leader;
};

static act_node_t *
enqueue (control_t *c, ctl_kind_t kind)
{
  act_node_t *n = calloc (1, sizeof *n);

  if (!n)
    abort ();
  n->act.kind = kind;
  buf_init (&n->data);
  if (c->tail)
    c->tail->next = n;
  else
    c->head = n;
  c->tail = n;
  return n;
}

static void
release (act_node_t *n)
{
  if (!n)
    return;
  buf_free (&n->data);
  free (n);
}

void
act_append (control_t *c, rec_t *r)
{
  act_node_t *n = enqueue (c, CTL_APPEND);

  r->wall = c->wall ? c->wall () : 0;
  if (!r->decider.n)
    r->decider = str_of (c->name);
  rec_pack (&n->data, r);
  n->act.data = buf_str (&n->data);
}

void
act_db (control_t *c, db_op_t op, const mem_t *m, int64_t term,
        const char *owner, const char *target)
{
  db_cmd_t *d = &enqueue (c, CTL_DB)->act.db;

  d->op = op;
  d->term = term;
  snprintf (d->name, sizeof d->name, "%s", m->name);
  snprintf (d->address, sizeof d->address, "%s", m->address);
  snprintf (d->owner, sizeof d->owner, "%s", owner);
  snprintf (d->target, sizeof d->target, "%s", target);
}

void
act_answer (control_t *c, int64_t ticket, const submit_resp_t *r)
{
  act_node_t *n = enqueue (c, CTL_ANSWER);

  n->act.ticket = ticket;
  n->act.resp = *r;
  name_set (n->strings.by, r->by);
  name_set (n->leader, r->leader);
  snprintf (n->strings.detail, sizeof n->strings.detail, STR_FMT,
            STR_ARG (r->detail));
  n->act.resp.by = str_of (n->strings.by);
  n->act.resp.leader = str_of (n->leader);
  n->act.resp.detail = str_of (n->strings.detail);
}

bool
control_next (control_t *c, ctl_act_t *a)
{
  act_node_t *n = c->head;

  release (c->popped);
  c->popped = n;
  if (!n)
    return false;
  c->head = n->next;
  if (!c->head)
    c->tail = NULL;
  *a = n->act;
  return true;
}

void
act_clear (control_t *c)
{
  while (c->head)
    {
      act_node_t *n = c->head;
      c->head = n->next;
      release (n);
    }
  c->tail = NULL;
  release (c->popped);
  c->popped = NULL;
}
