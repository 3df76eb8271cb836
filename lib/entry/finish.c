#include "worker.h"

#include <stdlib.h>

/* Detaches R from its connection, which stays with the session while a block
   is open and is released otherwise.  */
static void
detach_conn (req_t *r, bool unusable)
{
  conn_t *c = r->conn;
  session_t *s = r->s;

  r->conn = NULL;
  if (c == NULL)
    return;
  c->req = NULL;
  c->ended = true;
  if (unusable)
    c->unusable = true;
  bool open = !unusable && r->x.ready != BLOCK_NONE && !s->disconnected;
  s->conn = open ? c : NULL;
  c->session = open ? s : NULL;
  if (!open && c->unusable)
    conn_release (c);
  /* A usable connection is released by conn_read, once it has seen that
     nothing follows the answer.  */
}

/* Time at the database in ms, for admission; at least 1, because differences
   below a millisecond come from this event loop and the network, not from
   queueing at the database.  */
static double
service_ms (const req_t *r)
{
  double ms = (usec_now () - r->sent_us) / 1000;

  return ms < 1 ? 1 : ms;
}

static void
record_result (req_t *r, admit_outcome_t o)
{
  worker_t *w = r->w;
  dbpool_t *d = r->db;

  if (d == NULL)
    return;
  if (r->conn && r->conn->admitted && o != ADMIT_UNTIMED)
    {
      admit_done (d->admit, service_ms (r), o, w->now);
      r->conn->admitted = false;
    }
  if (r->route.db)
    r->route.db->busy--;
  if (o == ADMIT_OK)
    {
      view_db_ok (w->view, d->name, w->now - r->sent, w->now);
      d->last_ok = w->now;
    }
  r->db = NULL;
}

static void
send_held (req_t *r)
{
  buf_adds (&r->s->out, buf_str (&r->hold));
  r->hold.n = r->hold.off = 0;
}

/* ---- settings ---- */

static void
apply_setting (guc_t *g, const req_t *r)
{
  guc_set (g, str_of (r->set_name), str_of (r->set_value), r->set_default,
           NULL);
}

/* Settings made in a block take effect when it commits.  */
static void
update_settings (req_t *r)
{
  session_t *s = r->s;
  bool set = r->set_name && r->plan.stateful && r->x.complete && !r->x.failed;

  if (set && s->block == BLOCK_NONE && r->x.ready == BLOCK_NONE)
    apply_setting (&s->guc, r);
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
      apply_setting (&s->pending, r);
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

/* ---- end of an exchange ---- */

static void
update_token (req_t *r)
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
finish (req_t *r)
{
  session_t *s = r->s;
  char block = r->plan.kind == PLAN_KEYED ? BLOCK_NONE : r->x.stmt_ready;

  if (r->plan.kind == PLAN_READ)
    counter_add (r->route.kind == ROUTE_REPLICA ? r->w->stats.replica_reads
                                                : r->w->stats.primary_reads,
                 1);
  update_settings (r);
  send_held (r);
  update_token (r);
  if (block != BLOCK_NONE && s->block == BLOCK_NONE)
    s->block_read_only
        = r->route.kind == ROUTE_REPLICA || r->plan.kind == PLAN_BEGIN_READ;
  if (r->x.failed && r->flush)
    s->skip_to_sync = true;
  record_result (r, r->x.ready == BLOCK_NONE ? ADMIT_OK : ADMIT_UNTIMED);
  detach_conn (r, false);
  bool confirmed = r->x.confirmed;
  request_end (r, block);
  /* An acknowledgement is sent at once, while the lease just checked holds. */
  if (confirmed && !s->disconnected)
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
      record_result (r, ADMIT_OK);
      detach_conn (r, true);
      request_refuse (r, PG_INDOUBT, "the recorded outcome is not readable");
      return;
    }
  record_result (r, ADMIT_OK);
  update_token (r);
  detach_conn (r, false);
  request_answer (r, buf_str (&msgs));
  buf_free (&msgs);
}

static unsigned
tried_bit (worker_t *w, const db_t *d)
{
  for (size_t i = 0; i < 32 && view_db_at (w->view, i); i++)
    if (view_db_at (w->view, i) == d)
      return 1U << i;
  return 0;
}

/* Routes R again, avoiding the databases tried before.  UNCOUNTED: not
   charged to the retry budget.  False if R cannot be repeated: the budget is
   used up, the deadline has passed or the client has disconnected.  */
static bool
retry (req_t *r, bool uncounted)
{
  worker_t *w = r->w;

  if (w->now >= r->deadline || r->s->disconnected || r->expired)
    return false;
  if (!uncounted)
    {
      if (!retry_take (&w->retry))
        return false;
      counter_add (w->stats.retries, 1);
    }
  r->tries++;
  r->tried |= tried_bit (w, r->route.db);
  r->hold.n = r->hold.off = 0;
  r->outcome.n = r->outcome.off = 0;
  r->state = R_START;
  request_route (r);
  return true;
}

static void
handle_not_run (req_t *r)
{
  bool read_only = str_eq (str_of (r->x.sqlstate), STR ("25006"));
  session_t *s = r->s;
  bool setup = r->x.phase == 0;

  record_result (r, setup ? ADMIT_UNTIMED : ADMIT_BUSY);
  detach_conn (r, setup || r->x.ready != BLOCK_NONE);
  if (read_only && r->plan.kind == PLAN_READ && r->route.kind == ROUTE_REPLICA)
    {
      /* Classified as a read, but it calls a function that writes.  */
      r->plan.kind = PLAN_WRITE;
      r->plan.stateful = true;
    }
  /* The held error is the answer if the request is not repeated.  */
  buf_t held = r->hold;
  r->hold = (buf_t){ 0 };
  if (!setup && retry (r, false))
    {
      buf_free (&held);
      return;
    }
  buf_adds (&s->out, buf_str (&held));
  buf_free (&held);
  counter_add (s->w->stats.db_refused, 1);
  if (r->flush)
    s->skip_to_sync = true;
  request_end (r, s->block);
}

static void
handle_unproven (req_t *r)
{
  counter_add (r->w->stats.unproven, 1);
  record_result (r, ADMIT_UNTIMED);
  detach_conn (r, r->x.ready != BLOCK_NONE);
  if (!retry (r, true))
    request_refuse (r, PG_NO_DATABASE,
                    "no database proved recent enough data in time");
}

/* Discards the settings made in the transaction block of R's session.  ENDED:
   no block is open any more; otherwise the block was lost and stays failed for
   the client until ROLLBACK.  */
static void
abort_block (req_t *r, bool ended)
{
  session_t *s = r->s;

  s->block_lost = !ended;
  s->block = ended ? BLOCK_NONE : BLOCK_FAILED;
  guc_free (&s->pending);
  s->has_pending = false;
}

static void
refuse_unknown (req_t *r)
{
  session_t *s = r->s;

  log_event (EV_OUTCOME_UNKNOWN, "group=" STR_FMT " sessions=%u",
             STR_ARG (r->group->name), s->pid);
  record_result (r, ADMIT_UNTIMED);
  if (r->conn)
    detach_conn (r, r->x.ready != BLOCK_NONE);
  abort_block (r, true);
  request_refuse (r, PG_INDOUBT, "the commit was not confirmed");
}

void
request_apply_verdict (req_t *r, xverdict_t v)
{
  switch (v)
    {
    case XV_MORE:
      break;
    case XV_NEXT_PHASE:
      xchg_phase (&r->x);
      send_phase (r);
      break;
    case XV_DONE:
      finish (r);
      break;
    case XV_UNKNOWN:
      refuse_unknown (r);
      break;
    case XV_NOT_RUN:
      handle_not_run (r);
      break;
    case XV_UNPROVEN:
      handle_unproven (r);
      break;
    case XV_REPLAY:
      replay (r);
      break;
    case XV_PROTOCOL:
      log_event (EV_ANSWER_BROKEN, "database=" STR_FMT,
                 STR_ARG (r->conn->db->name));
      request_conn_lost (r);
      break;
    }
}

static void
refuse_lost_block (req_t *r)
{
  abort_block (r, false);
  request_refuse (r, PG_LOST_BLOCK, "the connection to the primary was lost");
}

static void
handle_lost (req_t *r, xlost_t what, bool repeat)
{
  session_t *s = r->s;

  switch (what)
    {
    case XL_NOT_RUN:
      if (!repeat || !retry (r, false))
        request_refuse (r, r->expired ? PG_DEADLINE : PG_NO_DATABASE,
                        "the connection to the database was lost");
      break;
    case XL_READ:
      if (!repeat || !retry (r, false))
        request_refuse (r, PG_INDOUBT,
                        "a read without effect was not "
                        "answered");
      break;
    case XL_READ_PARTIAL:
      request_refuse (r, PG_INDOUBT, "the answer to a read was cut off");
      break;
    case XL_BLOCK:
      refuse_lost_block (r);
      break;
    case XL_FAILED:
      send_held (r);
      if (r->flush)
        s->skip_to_sync = true;
      request_end (r, BLOCK_NONE);
      break;
    case XL_UNKNOWN:
      if (r->repeatable && r->plan.kind == PLAN_WRITE && repeat
          && retry (r, false))
        break;
      refuse_unknown (r);
      break;
    }
}

void
request_conn_lost (req_t *r)
{
  xlost_t what = xchg_lost (&r->x);
  session_t *s = r->s;
  bool pinned = r->plan.kind == PLAN_BLOCK || r->plan.kind == PLAN_COMMIT;

  record_result (r, ADMIT_FAILED);
  detach_conn (r, true);
  s->conn = NULL;
  if (s->disconnected)
    {
      request_end (r, BLOCK_NONE);
      return;
    }
  /* The block is lost even if nothing of this statement was sent.  */
  if (pinned && what == XL_NOT_RUN)
    what = XL_BLOCK;
  handle_lost (r, what, true);
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
