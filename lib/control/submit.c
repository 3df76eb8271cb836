#include "ctl.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

static void
answer_outcome (control_t *c, int64_t ticket, const outcome_t *o,
                bool repeated)
{
  submit_resp_t resp = { .status = o->status,
                         .version = o->version,
                         .raft_term = o->raft_term,
                         .index = o->index,
                         .by = str_of (o->by),
                         .leader = str_of (c->address),
                         .detail = str_of (o->detail),
                         .repeated = repeated };

  act_answer (c, ticket, &resp);
}

static void
answer_refusal (control_t *c, int64_t ticket, submit_status_t status,
                const char *detail)
{
  submit_resp_t resp = { .status = status,
                         .version = c->cfg_version,
                         .leader = str_of (c->leader),
                         .detail = str_of (detail) };

  act_answer (c, ticket, &resp);
}

/* Adds a pending answer; true when a submission with this id was already
   pending.  */
static bool
add_pending (control_t *c, int64_t ticket, str_t id)
{
  bool pending = false;

  for (int i = 0; i < c->npending; i++)
    pending = pending || str_eq (str_of (c->pending[i].id), id);
  if (c->npending == c->cap_pending)
    {
      c->cap_pending = c->cap_pending ? 2 * c->cap_pending : 16;
      c->pending
          = realloc (c->pending, (size_t)c->cap_pending * sizeof *c->pending);
      if (!c->pending)
        abort ();
    }
  c->pending[c->npending].ticket = ticket;
  name_set (c->pending[c->npending++].id, id);
  return pending;
}

static void
append (control_t *c, const submit_t *s)
{
  rec_t r = { .type = REC_SUBMIT,
              .id = s->id,
              .actor = s->operator_name,
              .decider = s->operator_name,
              .base = s->base };
  apr_pool_t *p;
  err_t e = { 0 };
  char why[320];
  ctl_conf_t conf;

  apr_pool_create (&p, c->pool);
  if (!c->ops.generate (c->ops.arg, p, s->text, s->base + 1, &r.text, &e)
      || !c->ops.read (c->ops.arg, p, r.text, &conf, &e))
    {
      err_line (&e, why, sizeof why);
      r.state = SUBMIT_INVALID;
      r.cause = str_of (why);
      r.text = STR ("");
    }
  act_append (c, &r);
  apr_pool_destroy (p);
}

void
control_submit (control_t *c, const submit_t *s, int64_t ticket, msec_t now)
{
  const outcome_t *o;

  (void)now;
  if (!s->id.n || s->id.n >= DB_NAME_MAX || s->operator_name.n >= DB_NAME_MAX)
    {
      answer_refusal (c, ticket, SUBMIT_INVALID,
                      "submission id or operator missing or over 63 bytes");
      return;
    }
  if (!c->ready)
    {
      answer_refusal (c, ticket, SUBMIT_NOT_LEADER, "not the leader");
      return;
    }
  o = c->rules.outcome (c, s->id);
  if (o)
    answer_outcome (c, ticket, o, true);
  else if (!add_pending (c, ticket, s->id))
    append (c, s);
}

void
submit_done (control_t *c, str_t id)
{
  const outcome_t *o = outcome_find (c, id);
  bool first = true;
  int n = 0;

  for (int i = 0; i < c->npending; i++)
    {
      if (!o || !str_eq (str_of (c->pending[i].id), id))
        {
          c->pending[n++] = c->pending[i];
          continue;
        }
      answer_outcome (c, c->pending[i].ticket, o, !first);
      first = false;
    }
  c->npending = n;
}

void
submit_drop (control_t *c)
{
  for (int i = 0; i < c->npending; i++)
    answer_refusal (c, c->pending[i].ticket, SUBMIT_UNKNOWN,
                    "outcome unknown: the leader changed");
  c->npending = 0;
}
