#include "worker.h"

#include <stdlib.h>

/* Frees the connection of R from R; it is released, or stays with a session
   whose block is open.  */
static void
part (req_t *r, bool doubt)
{
  conn_t *c = r->conn;
  session_t *s = r->s;

  r->conn = NULL;
  if (c == NULL)
    return;
  c->req = NULL;
  c->ended = true;
  if (doubt)
    c->no_reuse = true;
  bool open = !doubt && r->x.ready != BLOCK_NONE && !s->disconnected;
  s->conn = open ? c : NULL;
  c->session = open ? s : NULL;
  if (!open && c->no_reuse)
    conn_release (c);
  /* Without doubt conn_read releases it once it has seen that nothing
     follows the answer.  */
}

/* Time at the database for admission.  Below a millisecond the differences
   come from this loop and the network, not from queueing there.  */
static double
service_ms (const req_t *r)
{
  double ms = (usec_now () - r->sent_us) / 1000;

  return ms < 1 ? 1 : ms;
}

static void
learn (req_t *r, admit_outcome_t o)
{
  worker_t *w = r->w;
  dbpool_t *d = r->db;

  if (d == NULL)
    return;
  if (r->conn && r->conn->admitted && o != ADMIT_VOID)
    {
      admit_done (d->admit, service_ms (r), o, w->now);
      r->conn->admitted = false;
    }
  if (r->route.db)
    r->route.db->busy--;
  if (o == ADMIT_OK)
    {
      view_ok (w->view, d->name, w->now - r->sent, w->now);
      d->last_ok = w->now;
    }
  r->db = NULL;
}

static void
release_held (req_t *r)
{
  buf_adds (&r->s->out, buf_str (&r->hold));
  r->hold.n = r->hold.off = 0;
}

/* ---- settings ---- */

static void
set_now (guc_t *g, const req_t *r)
{
  guc_set (g, str_of (r->set_name), str_of (r->set_value), r->set_default,
           NULL);
}

/* Settings made in a block count when it commits.  */
static void
settle_settings (req_t *r)
{
  session_t *s = r->s;
  bool set = r->set_name && r->plan.touches && r->x.complete && !r->x.failed;

  if (set && s->block == BLOCK_NONE && r->x.ready == BLOCK_NONE)
    set_now (&s->guc, r);
  else if (set)
    {
      if (!s->has_pending)
        {
          guc_free (&s->pending);
          if (s->guc.n)
            {
              s->pending.p = malloc (s->guc.n);
              if (s->pending.p == NULL)
                abort ();
              s->pending.n = s->guc.n;
              __builtin_memcpy (s->pending.p, s->guc.p, s->guc.n);
            }
          s->has_pending = true;
        }
      set_now (&s->pending, r);
    }
  if (s->has_pending && r->x.ready == BLOCK_NONE)
    {
      if (r->plan.kind == PLAN_COMMIT && !r->x.rolled_back && !r->x.failed)
        {
          guc_free (&s->guc);
          s->guc = s->pending;
          s->pending = (guc_t){ 0 };
        }
      guc_free (&s->pending);
      s->has_pending = false;
    }
}

/* ---- ends ---- */

static void
new_token (req_t *r)
{
  session_t *s = r->s;
  const history_t *h = view_history (r->w->view, r->group->name);
  static const history_t none;
  char text[48];

  if (!r->x.confirmed)
    return;
  counter_add (r->w->stats.writes, 1);
  token_t t = token_max (h ? h : &none, s->token, r->x.token);
  if (t.term == s->token.term && t.pos == s->token.pos)
    return;
  s->token = t;
  size_t n = token_format (t, text);
  pg_put_status (&s->out, STR ("pimentopost.token"), (str_t){ text, n });
}

static void
done (req_t *r)
{
  session_t *s = r->s;
  char block = r->plan.kind == PLAN_KEYED ? BLOCK_NONE : r->x.stmt_ready;

  if (r->plan.kind == PLAN_READ)
    counter_add (r->route.kind == ROUTE_REPLICA ? r->w->stats.replica_reads
                                                : r->w->stats.primary_reads,
                 1);
  settle_settings (r);
  release_held (r);
  new_token (r);
  if (block != BLOCK_NONE && s->block == BLOCK_NONE)
    s->block_read_only
        = r->route.kind == ROUTE_REPLICA || r->plan.kind == PLAN_BEGIN_READ;
  if (r->x.failed && r->flush)
    s->skip = true;
  learn (r, r->x.ready == BLOCK_NONE ? ADMIT_OK : ADMIT_VOID);
  part (r, false);
  bool commit = r->x.confirmed;
  request_end (r, block);
  /* An acknowledgement leaves at once, while the lease just checked holds. */
  if (commit && !s->disconnected)
    session_flush (s);
}

static void
replay (req_t *r)
{
  buf_t msgs = { 0 };
  err_t e = { 0 };

  if (!outcome_read (&msgs, buf_str (&r->outcome), &e))
    {
      buf_free (&msgs);
      learn (r, ADMIT_OK);
      part (r, true);
      request_refuse (r, PG_INDOUBT, "the recorded outcome is not readable");
      return;
    }
  learn (r, ADMIT_OK);
  new_token (r);
  part (r, false);
  local_stored (r, buf_str (&msgs));
  buf_free (&msgs);
}

static unsigned
place_bit (worker_t *w, const db_t *d)
{
  for (size_t i = 0; i < 32 && view_dbs (w->view, i); i++)
    if (view_dbs (w->view, i) == d)
      return 1U << i;
  return 0;
}

/* Sends R elsewhere.  FREE: it does not count as a retry.  False when it may
   not be repeated.  */
static bool
again (req_t *r, bool free_of_charge)
{
  worker_t *w = r->w;

  if (w->now >= r->deadline || r->s->disconnected || r->expired)
    return false;
  if (!free_of_charge)
    {
      if (!retry_take (&w->retry))
        return false;
      counter_add (w->stats.retries, 1);
    }
  r->tries++;
  r->tried |= place_bit (w, r->route.db);
  r->hold.n = r->hold.off = 0;
  r->outcome.n = r->outcome.off = 0;
  r->state = R_START;
  request_route (r);
  return true;
}

static void
not_run (req_t *r)
{
  bool read_only = str_eq (str_of (r->x.sqlstate), STR ("25006"));
  session_t *s = r->s;
  /* The held error, in case the request is not repeated.  */
  bool setup = r->x.phase == 0;

  learn (r, setup ? ADMIT_VOID : ADMIT_BUSY);
  part (r, setup || r->x.ready != BLOCK_NONE);
  if (read_only && r->plan.kind == PLAN_READ && r->route.kind == ROUTE_REPLICA)
    {
      /* A function that writes was taken for a read.  */
      r->plan.kind = PLAN_WRITE;
      r->plan.touches = true;
    }
  buf_t held = r->hold;
  r->hold = (buf_t){ 0 };
  if (!setup && again (r, false))
    {
      buf_free (&held);
      return;
    }
  buf_adds (&s->out, buf_str (&held));
  buf_free (&held);
  counter_add (s->w->stats.db_refused, 1);
  if (r->flush)
    s->skip = true;
  request_end (r, s->block);
}

static void
unproven (req_t *r)
{
  counter_add (r->w->stats.unproven, 1);
  learn (r, ADMIT_VOID);
  part (r, r->x.ready != BLOCK_NONE);
  if (!again (r, true))
    request_refuse (r, PG_NO_DATABASE,
                    "no database proved recent enough data in time");
}

/* The block of S is lost; it stays failed for the client until ROLLBACK.  */
static void
lose_block (req_t *r, bool commit)
{
  session_t *s = r->s;

  s->block_lost = !commit;
  s->block = commit ? BLOCK_NONE : BLOCK_FAILED;
  guc_free (&s->pending);
  s->has_pending = false;
}

static void
unknown (req_t *r)
{
  session_t *s = r->s;

  log_event (EV_OUTCOME_UNKNOWN, "group=" STR_FMT " sessions=%u",
             STR_ARG (r->group->name), s->pid);
  learn (r, ADMIT_VOID);
  if (r->conn)
    part (r, r->x.ready != BLOCK_NONE);
  lose_block (r, true);
  request_refuse (r, PG_INDOUBT, "the commit was not confirmed");
}

void
request_apply_verdict (req_t *r, xverdict_t v)
{
  switch (v)
    {
    case XV_MORE:
      break;
    case XV_NEXT:
      xchg_phase (&r->x);
      send_phase (r);
      break;
    case XV_DONE:
      done (r);
      break;
    case XV_UNKNOWN:
      unknown (r);
      break;
    case XV_NOT_RUN:
      not_run (r);
      break;
    case XV_UNPROVEN:
      unproven (r);
      break;
    case XV_REPLAY:
      replay (r);
      break;
    case XV_BROKEN:
      log_event (EV_ANSWER_BROKEN, "database=" STR_FMT,
                 STR_ARG (r->conn->db->name));
      request_conn_lost (r);
      break;
    }
}

static void
lost_in_block (req_t *r)
{
  lose_block (r, false);
  request_refuse (r, PG_LOST_BLOCK, "the connection to the primary was lost");
}

static void
lost_statement (req_t *r, xlost_t what, bool repeat)
{
  session_t *s = r->s;

  switch (what)
    {
    case XL_NOT_RUN:
      if (!repeat || !again (r, false))
        request_refuse (r, r->expired ? PG_DEADLINE : PG_NO_DATABASE,
                        "the connection to the database was lost");
      break;
    case XL_READ:
      if (!repeat || !again (r, false))
        request_refuse (r, PG_INDOUBT,
                        "a read without effect was not "
                        "answered");
      break;
    case XL_CUT:
      request_refuse (r, PG_INDOUBT, "the answer to a read was cut off");
      break;
    case XL_BLOCK:
      lost_in_block (r);
      break;
    case XL_FAILED:
      release_held (r);
      if (r->flush)
        s->skip = true;
      request_end (r, BLOCK_NONE);
      break;
    case XL_UNKNOWN:
      if (r->repeatable && r->plan.kind == PLAN_WRITE && repeat
          && again (r, false))
        break;
      unknown (r);
      break;
    }
}

/* Nothing of an in-block statement was sent.  The block is lost all the
   same.  */
void
request_conn_lost (req_t *r)
{
  xlost_t what = xchg_lost (&r->x);
  session_t *s = r->s;
  bool pinned = r->plan.kind == PLAN_BLOCK || r->plan.kind == PLAN_COMMIT;

  learn (r, ADMIT_LOST);
  part (r, true);
  s->conn = NULL;
  if (s->disconnected)
    {
      request_end (r, BLOCK_NONE);
      return;
    }
  if (pinned && what == XL_NOT_RUN)
    what = XL_BLOCK;
  lost_statement (r, what, true);
}

void
request_expire (req_t *r)
{
  r->expired = true;
  if (r->state == R_RUN)
    {
      conn_t *c = r->conn;
      conn_cancel (c);
      request_conn_lost (r);
      return;
    }
  request_refuse (r,
                  r->state == R_DELAYED && r->plan.kind != PLAN_READ
                      ? PG_NO_PRIMARY
                      : PG_DEADLINE,
                  "");
}
