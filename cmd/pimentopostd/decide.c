#include "decide.h"

#include <poll.h>
#include <stdio.h>
#include <stdlib.h>

enum
{
  TICK_INTERVAL = 10,          /* ms between ticks */
  REPORT_INTERVAL = 100,       /* ms between reports of probes to the leader */
  MEMBER_CHECK_INTERVAL = 200, /* ms between checks of the membership */
  TARGETS_MAX = 512,           /* databases that are probed, at most */
  BATCH_MAX = 256 /* messages handled before the clock is read again */
};

/* ---- sending ---- */

static void
send_frame (decide_t *d, int64_t conn, str_t address, msgtype_t type,
            const void *msg)
{
  outbound_t *o = calloc (1, sizeof *o);

  if (o == NULL)
    abort ();
  o->conn = conn;
  o->expects_answer = type == MSG_VOTE_REQ || type == MSG_APPEND_REQ
                      || type == MSG_SNAP_REQ || type == MSG_HELLO;
  snprintf (o->address, sizeof o->address, STR_FMT, STR_ARG (address));
  buf_init (&o->frame);
  rpc_encode (&o->frame, type, msg);
  if (ring_put (d->out, o, NULL))
    return;
  buf_free (&o->frame);
  free (o);
}

void
decide_answer (decide_t *d, int64_t conn, msgtype_t type, const void *msg)
{
  if (conn)
    send_frame (d, conn, (str_t){ 0 }, type, msg);
}

static void
send_address (void *arg, str_t address, msgtype_t type, const void *msg)
{
  if (address.n)
    send_frame (arg, 0, address, type, msg);
}

/* ---- callbacks of the replicated log ---- */

static void
log_send (void *arg, int64_t to, msgtype_t type, const void *msg)
{
  decide_t *d = arg;

  if (type == MSG_VOTE_RESP || type == MSG_APPEND_RESP
      || type == MSG_SNAP_RESP)
    {
      decide_answer (d, d->conn, type, msg);
      return;
    }
  const member_t *m = raft_member (d->raft, to);
  if (m)
    send_address (d, m->address, type, msg);
}

static bool
log_vote (void *arg, int64_t term, int64_t vote, err_t *e)
{
  return store_vote (((decide_t *)arg)->store, term, vote, e);
}

static bool
log_entries (void *arg, const log_entry_t *v, size_t n, err_t *e)
{
  return store_entries (((decide_t *)arg)->store, v, n, e);
}

static bool
log_snapshot (void *arg, const raft_snap_t *snap, err_t *e)
{
  return store_snapshot (((decide_t *)arg)->store, snap, e);
}

static bool
log_install (void *arg, const raft_snap_t *snap, err_t *e)
{
  return store_install (((decide_t *)arg)->store, snap, e);
}

static void
log_apply (void *arg, const log_entry_t *v)
{
  decide_t *d = arg;
  err_t e = { 0 };
  char line[256];

  if (v->kind != ENTRY_RECORD
      || control_apply (d->control, v->term, v->index, v->data, d->now, &e))
    return;
  err_line (&e, line, sizeof line);
  log_event (EV_RECORD_REFUSED, "index=%lld cause=%s", (long long)v->index,
             line);
}

static void
log_state (void *arg, buf_t *out)
{
  control_snapshot (((decide_t *)arg)->control, out);
}

static bool
log_restore (void *arg, const raft_snap_t *snap, err_t *e)
{
  decide_t *d = arg;

  return control_restore (d->control, snap->data, d->now, e);
}

static const raft_ops_t log_ops
    = { log_send,    log_vote,  log_entries, log_snapshot,
        log_install, log_apply, log_state,   log_restore };

/* ---- after each event ---- */

static str_t
leader_address (const decide_t *d)
{
  const member_t *m = raft_member (d->raft, raft_leader (d->raft));

  return m ? m->address : (str_t){ 0 };
}

static void
update_role (decide_t *d)
{
  raft_role_t role = raft_role (d->raft);
  int64_t term = raft_term (d->raft);
  str_t leader = leader_address (d);

  if (role == d->role && term == d->term
      && str_eq (leader, str_of (d->leader)))
    return;
  bool is_leader = role == RAFT_LEADER;
  if (is_leader != (d->role == RAFT_LEADER) || term != d->term)
    pending_drop (d);
  d->role = role;
  d->term = term;
  snprintf (d->leader, sizeof d->leader, STR_FMT, STR_ARG (leader));
  control_role (d->control, is_leader, term, leader, d->now);
}

/* Reports role and quorum to control and performs its actions until none is
   left; each may change the role.  */
static bool
run_actions (decide_t *d, err_t *e)
{
  ctl_act_t a;
  msec_t at;

  do
    {
      update_role (d);
      if ((at = raft_quorum_at (d->raft)) >= 0)
        control_quorum (d->control, at);
      if (!control_next (d->control, &a))
        break;
      if (!run_action (d, &a, e))
        return false;
    }
  while (true);
  raft_observe (d->raft, &d->observed);
  status_publish (d);
  return true;
}

/* ---- events ---- */

static void
answer_renewal (decide_t *d, const inbound_t *m)
{
  grant_t g;

  control_renew (d->control, m->msg, d->now, m->pool, &g);
  decide_answer (d, m->conn, MSG_GRANT, &g);
}

static void
answer_query (decide_t *d, const inbound_t *m)
{
  query_resp_t r = { 0 };

  control_query (d->control, m->msg, d->now, m->pool, &r);
  decide_answer (d, m->conn, MSG_QUERY_RESP, &r);
}

static void
answer_hello (decide_t *d, const inbound_t *m)
{
  hello_resp_t r;

  join_handle_hello (&d->join, d->raft, m->msg, d->now, &r);
  decide_answer (d, m->conn, MSG_HELLO_RESP, &r);
}

static bool
dispatch (decide_t *d, const inbound_t *m, err_t *e)
{
  switch (m->type)
    {
    case MSG_VOTE_REQ:
    case MSG_VOTE_RESP:
    case MSG_APPEND_REQ:
    case MSG_APPEND_RESP:
    case MSG_SNAP_REQ:
    case MSG_SNAP_RESP:
      d->conn = m->conn;
      return raft_recv (d->raft, m->type, m->msg, d->now, e);
    case MSG_PROBE_REPORT:
      control_peer_report (d->control, m->msg, d->now);
      break;
    case MSG_RENEW:
      answer_renewal (d, m);
      break;
    case MSG_SUBMIT:
      control_submit (d->control, m->msg, m->conn, d->now);
      break;
    case MSG_QUERY:
      answer_query (d, m);
      break;
    case MSG_HELLO:
      answer_hello (d, m);
      break;
    case MSG_HELLO_RESP:
      join_handle_response (&d->join, m->msg, d->now);
      break;
    default:
      break;
    }
  return true;
}

static bool
handle_messages (decide_t *d, err_t *e)
{
  inbound_t *m;
  bool ok = true;

  for (int i = 0; ok && i < BATCH_MAX && (m = ring_get (d->in, 0)) != NULL;
       i++)
    {
      ok = dispatch (d, m, e) && run_actions (d, e);
      apr_pool_destroy (m->pool);
    }
  return ok;
}

static bool
handle_db_events (decide_t *d, err_t *e)
{
  db_event_t *ev;

  while ((ev = ring_get (d->db_events, 0)) != NULL)
    {
      control_db (d->control, ev, d->now);
      db_event_free (ev);
      if (!run_actions (d, e))
        return false;
    }
  return true;
}

static void
send_report (decide_t *d)
{
  apr_pool_t *pool;
  probe_report_t r;

  if (d->role == RAFT_LEADER || d->leader[0] == '\0'
      || d->now - d->last_report < REPORT_INTERVAL
      || apr_pool_create (&pool, d->pool))
    return;
  d->last_report = d->now;
  control_report (d->control, pool, d->now, &r);
  send_address (d, str_of (d->leader), MSG_PROBE_REPORT, &r);
  apr_pool_destroy (pool);
}

static void
update_targets (decide_t *d)
{
  db_target_t t[TARGETS_MAX];
  int64_t changed = 0;
  size_t n = control_targets (d->control, t, TARGETS_MAX, &changed);

  if (changed == d->targets)
    return;
  d->targets = changed;
  dblink_targets (d->link, t, n < TARGETS_MAX ? n : TARGETS_MAX);
}

static void
check_members (decide_t *d)
{
  int64_t version = 0;
  str_t text = control_config (d->control, &version, NULL, NULL);

  join_set_config (&d->join, d->pool, text, version);
  if (d->now - d->last_member_check < MEMBER_CHECK_INTERVAL)
    return;
  d->last_member_check = d->now;
  join_remove_unneeded (&d->join, d->raft, d->now);
}

static bool
has_entries_to_apply (const decide_t *d)
{
  return raft_applied (d->raft) < raft_commit (d->raft);
}

static bool
tick (decide_t *d, err_t *e)
{
  if (has_entries_to_apply (d)
      && !(raft_tick (d->raft, d->now, e) && run_actions (d, e)))
    return false;
  if (d->now - d->last_tick < TICK_INTERVAL)
    return true;
  d->last_tick = d->now;
  if (!raft_tick (d->raft, d->now, e)
      || !join_tick (&d->join, d->raft, d->now, send_address, d, e)
      || !pending_retry (d, e))
    return false;
  control_tick (d->control, d->now);
  send_report (d);
  update_targets (d);
  check_members (d);
  return run_actions (d, e);
}

static bool
run_once (decide_t *d, err_t *e)
{
  struct pollfd p[2] = { { .fd = ring_fd (d->in), .events = POLLIN },
                         { .fd = ring_fd (d->db_events), .events = POLLIN } };

  poll (p, 2, has_entries_to_apply (d) ? 0 : TICK_INTERVAL);
  /* Messages that have arrived are handled before timeouts, so that a pause of
     this process does not count as silence of its peers.  */
  d->now = msec_now ();
  if (!handle_messages (d, e) || !handle_db_events (d, e))
    return false;
  return tick (d, e);
}

static bool
run (void *arg, err_t *e)
{
  decide_t *d = arg;
  char line[300];

  while (!atomic_load (&d->stopping))
    if (!run_once (d, e))
      {
        err_line (e, line, sizeof line);
        log_event (EV_RAFT_STOPPED, "cause=%s", line);
        return false;
      }
  return true;
}

static void
stop (void *arg)
{
  atomic_store (&((decide_t *)arg)->stopping, true);
}

duty_t
decide_duty (decide_t *d)
{
  return (duty_t){ "decisions", run, stop, d };
}

duty_t
decide_link (decide_t *d)
{
  return dblink_duty (d->link);
}

/* ---- start ---- */

static bool
open_log (decide_t *d, const settings_t *s, err_t *e)
{
  raft_open_t o = { .path = s->data,
                    .conf = { .name = s->name },
                    .ops = &log_ops,
                    .arg = d,
                    .rng = &d->rng,
                    .now = d->now,
                    .store = &d->store };

  d->raft = raft_open (d->pool, &o, e);
  return d->raft != NULL;
}

decide_t *
decide_new (apr_pool_t *pool, const settings_t *s, ring_t *in, ring_t *out,
            err_t *e)
{
  decide_t *d = apr_pcalloc (pool, sizeof *d);

  d->pool = pool;
  d->in = in;
  d->out = out;
  d->now = msec_now ();
  d->targets = -1;
  d->role = RAFT_FOLLOWER;
  rng_init (&d->rng, rng_system_seed ());
  join_init (&d->join, pool, s);
  d->db_events = ring_new (pool, RING_ITEMS);
  d->link = dblink_new (pool, d->db_events);
  d->control
      = control_new (pool, s->name, d->join.address, &ctl_conf_ops, msec_wall);
  metrics_init (d);
  return open_log (d, s, e) ? d : NULL;
}
