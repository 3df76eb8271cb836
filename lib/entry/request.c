#include "worker.h"

#include <stdlib.h>
#include <string.h>

/* ---- lifetime ---- */

req_t *
request_new (worker_t *w)
{
  req_t *r = w->free_reqs;

  if (r)
    w->free_reqs = r->next;
  else if ((r = calloc (1, sizeof *r)) == NULL)
    abort ();
  /* The arrays of the batch are reused.  */
  bmsg_t *msg = r->msg;
  xop_t *op = r->op;
  int msg_cap = r->msg_cap;
  int op_cap = r->op_cap;
  memset (r, 0, sizeof *r);
  r->msg = msg;
  r->msg_cap = msg_cap;
  r->op = op;
  r->op_cap = op_cap;
  r->w = w;
  r->next = w->reqs;
  if (r->next)
    r->next->prev = r;
  w->reqs = r;
  if (w->nreqs++ == 0)
    w->next_tick = w->now + TICK;
  return r;
}

void
request_free (req_t *r)
{
  worker_t *w = r->w;

  if (w->next_req == r)
    w->next_req = r->next;
  if (r->prev)
    r->prev->next = r->next;
  else
    w->reqs = r->next;
  if (r->next)
    r->next->prev = r->prev;
  w->nreqs--;
  batch_free (r);
  buf_free (&r->hold);
  buf_free (&r->outcome);
  free (r->set_name);
  free (r->set_value);
  r->set_name = r->set_value = NULL;
  r->next = w->free_reqs;
  w->free_reqs = r;
}

str_t
request_unit (const req_t *r)
{
  return (str_t){ buf_str (&r->s->in).p, r->size };
}

/* ---- end ---- */

void
request_detach (req_t *r)
{
  dbpool_t *d = r->db;

  if (d == NULL)
    return;
  if (r->state == R_ADMIT)
    admit_withdraw (d->admit, (uint64_t)(uintptr_t)r);
  else if (r->state == R_CONN)
    {
      dbpool_unqueue (d, r);
      if (r->s)
        admit_done (d->admit, 0, ADMIT_UNTIMED, r->w->now);
    }
  if (r->route.db && r->s)
    r->route.db->busy--;
  r->db = NULL;
  r->state = R_START;
}

void
request_end (req_t *r, char block)
{
  session_t *s = r->s;

  request_detach (r);
  if (r->extended)
    batch_end (r);
  s->block = block;
  if (block == BLOCK_NONE)
    s->block_lost = s->block_read_only = s->block_savepoint = false;
  if (!r->flush)
    pg_put_ready (&s->out, block);
  buf_take (&s->in, r->size);
  s->req = NULL;
  request_free (r);
  session_flush_later (s);
  session_process_later (s);
  session_resume (s);
}

void
request_refuse (req_t *r, pgrefusal_t why, const char *detail)
{
  session_t *s = r->s;

  counter_add (s->w->stats.refusal[why], 1);
  pg_put_refusal (&s->out, why, false, detail);
  if (r->flush)
    s->skip_to_sync = true;
  request_end (r, s->block);
}

/* ---- start ---- */

plan_input_t
request_plan_input (const req_t *r)
{
  const session_t *s = r->s;

  return (plan_input_t){ .block = (block_t)s->block,
                         .block_lost = s->block_lost,
                         .read_only = s->block_read_only,
                         .keyed = r->key_len > 0,
                         .savepoint = s->block_savepoint };
}

void
request_save_setting (req_t *r, const sql_t *q)
{
  if (q->cls != SQL_SET && q->cls != SQL_RESET && q->cls != SQL_SHOW)
    return;
  free (r->set_name);
  free (r->set_value);
  r->set_name = strndup (q->name.n ? q->name.p : "", q->name.n);
  r->set_value = strndup (q->value.n ? q->value.p : "", q->value.n);
  r->set_default = q->defaulted || q->cls == SQL_RESET;
}

static void
plan_query (req_t *r, str_t unit)
{
  err_t e = { 0 };
  sql_t q;

  if (!pg_query ((str_t){ unit.p + 5, unit.n - 5 }, &r->text, &e))
    {
      r->plan = (plan_t){ .kind = PLAN_REFUSE, .refusal = PG_MALFORMED };
      return;
    }
  if (!props_request (r, r->text))
    return;
  sql_classify (r->w->sql, r->text, &q);
  request_save_setting (r, &q);
  plan_input_t in = request_plan_input (r);
  r->plan = plan_statement (&q, &in);
  r->s->block_savepoint = r->s->block_savepoint || r->plan.savepoint;
}

static bool
within_rate (req_t *r)
{
  const config_t *c = r->w->cfg;

  return c == NULL
         || rate_take (&r->s->rate, c->limits.session_requests,
                       c->limits.session_window, r->w->now, NULL);
}

static void
run_plan (req_t *r)
{
  session_t *s = r->s;

  switch (r->plan.kind)
    {
    case PLAN_REFUSE:
      request_refuse (r, r->plan.refusal, r->plan.why);
      break;
    case PLAN_LOCAL:
      local_answer (r);
      break;
    case PLAN_BLOCK:
    case PLAN_COMMIT:
      r->conn = s->conn;
      r->db = NULL;
      request_run (r);
      break;
    default:
      if (within_rate (r))
        request_route (r);
      else
        request_refuse (r, PG_OVERLOAD,
                        "the session's rate is above its "
                        "limit");
    }
}

void
request_start (session_t *s, unit_t u, size_t size)
{
  worker_t *w = s->w;
  req_t *r = request_new (w);

  r->s = s;
  s->req = r;
  r->size = size;
  r->group = s->group;
  r->arrived = w->now;
  r->deadline = w->now + DEADLINE_DEFAULT;
  r->max_age = -1;
  r->extended = u != UNIT_QUERY;
  r->flush = u == UNIT_FLUSH;
  counter_add (w->stats.requests, 1);
  retry_request (&w->retry);
  if (s->admin)
    {
      request_refuse (r, PG_UNSUPPORTED,
                      "only simple queries in the admin database");
      return;
    }
  if (r->extended)
    batch_read (r, request_unit (r));
  else
    plan_query (r, request_unit (r));
  /* A key set for the session applies to one write only.  */
  if (r->plan.kind == PLAN_KEYED && s->props)
    s->props->hint.key = (str_t){ 0 };
  run_plan (r);
}

/* ---- routing ---- */

static bool
needs_primary (const req_t *r)
{
  return r->plan.kind == PLAN_WRITE || r->plan.kind == PLAN_KEYED
         || r->plan.kind == PLAN_BEGIN;
}

static void
refuse_unroutable (req_t *r)
{
  if (r->w->now >= r->deadline)
    request_refuse (r, needs_primary (r) ? PG_NO_PRIMARY : PG_DEADLINE,
                    "the deadline has passed");
  else
    request_refuse (r, needs_primary (r) ? PG_NO_PRIMARY : PG_NO_DATABASE, "");
}

static void
offer_to_database (req_t *r)
{
  worker_t *w = r->w;
  dbpool_t *d = dbpool_get (w, r->route.db);
  admit_kind_t why = ADMIT_FULL;

  if (!admit_offer (d->admit, (uint64_t)(uintptr_t)r, r->worth, r->deadline,
                    w->now, &why))
    {
      request_refuse (r, why == ADMIT_FULL ? PG_OVERLOAD : PG_DEADLINE, "");
      return;
    }
  r->db = d;
  r->route.db->busy++;
  r->state = R_ADMIT;
  dbpool_start_admitted (d);
}

void
request_route (req_t *r)
{
  worker_t *w = r->w;
  route_request_t ask = { .group = r->group->name,
                          .write = needs_primary (r),
                          .token = r->s->token,
                          .began = r->s->began,
                          .max_age = r->max_age,
                          .deadline = r->deadline,
                          .tried = r->tried };

  r->route = route_pick (w->view, &ask, w->now);
  switch (r->route.kind)
    {
    case ROUTE_PRIMARY:
    case ROUTE_REPLICA:
      offer_to_database (r);
      break;
    case ROUTE_BARRIER:
      barrier_request (r);
      break;
    case ROUTE_RETRY:
      r->state = R_DELAYED;
      r->wake = w->now + r->route.wait;
      r->tried = 0;
      break;
    case ROUTE_NONE:
      refuse_unroutable (r);
      break;
    }
}

/* ---- running ---- */

static xplan_t
exchange_plan (const req_t *r)
{
  const session_t *s = r->s;
  bool pinned = r->plan.kind == PLAN_BLOCK || r->plan.kind == PLAN_COMMIT;

  return (xplan_t){ .kind = r->plan.kind,
                    .setup = !pinned && s->guc.n > 0,
                    .check = !pinned && r->route.kind == ROUTE_REPLICA
                             && r->route.need.term > 0,
                    .lease = !pinned && r->route.kind == ROUTE_PRIMARY,
                    .extended = r->extended,
                    .term = pinned ? s->conn->term : r->route.term };
}

void
request_run (req_t *r)
{
  worker_t *w = r->w;
  conn_t *c = r->conn;
  xplan_t plan = exchange_plan (r);

  r->state = R_RUN;
  r->sent = r->progress = w->now;
  r->sent_us = usec_now ();
  c->req = r;
  c->term = plan.term;
  if (r->plan.stateful || plan.setup)
    c->stateful = true;
  buf_free (&r->hold);
  xchg_init (&r->x, plan);
  xchg_phase (&r->x);
  send_phase (r);
}
