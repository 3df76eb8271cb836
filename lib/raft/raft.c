#include "local.h"

#include <stdlib.h>

bool
fail_stop (raft_t *r)
{
  r->stopped = true;
  return false;
}

/* Returns the result of an event.  */
static bool
end_event (raft_t *r, err_t *e)
{
  if (r->stopped && e)
    *e = r->err;
  return !r->stopped;
}

static bool
begin_event (raft_t *r, msec_t now)
{
  if (now > r->now)
    r->now = now;
  return !r->stopped;
}

void
send_to (raft_t *r, int64_t to, msgtype_t type, const void *msg)
{
  if (!r->stopped)
    r->ops->send (r->arg, to, type, msg);
}

void
reset_timeout (raft_t *r)
{
  r->deadline = r->now + RAFT_ELECTION_MIN
                + (msec_t)rng_below (r->rng, RAFT_ELECTION_MAX
                                                 - RAFT_ELECTION_MIN + 1);
}

void
step_down (raft_t *r)
{
  r->leader = 0;
  become_follower (r, r->term);
}

bool
become_follower (raft_t *r, int64_t term)
{
  if (r->role == RAFT_LEADER)
    for (int i = 0; i < r->npeer; i++)
      {
        snap_unref (r->peer[i].snap);
        r->peer[i].snap = NULL;
      }
  if (r->role != RAFT_FOLLOWER)
    reset_timeout (r);
  r->role = RAFT_FOLLOWER;
  if (term <= r->term)
    return true;
  r->term = term;
  r->vote = 0;
  r->leader = 0;
  return write_vote (r, r->term, r->vote) || !r->stopped;
}

bool
accept_leader (raft_t *r, int64_t term, int64_t from)
{
  if (!become_follower (r, term))
    return false;
  r->leader = from;
  r->last_contact = r->now;
  reset_timeout (r);
  return true;
}

static apr_status_t
raft_free (void *arg)
{
  raft_t *r = arg;

  for (int i = 0; i < r->npeer; i++)
    snap_unref (r->peer[i].snap);
  snap_unref (r->snap);
  log_truncate (r, 0);
  free (r->log);
  buf_free (&r->in);
  return APR_SUCCESS;
}

/* Initializes the state from the contents of the store.  */
static bool
restore_saved (raft_t *r, const raft_saved_t *s)
{
  r->id = s->id;
  r->term = r->saved_term = s->term;
  r->vote = s->vote;
  if (s->snap.index)
    {
      if (!r->ops->restore (r->arg, &s->snap, &r->err)
          || !set_snapshot (r, &s->snap))
        return false;
      log_reset (r, s->snap.index, s->snap.term);
      r->commit = r->applied = s->snap.index;
    }
  for (size_t i = 0; i < s->entries.n; i++)
    {
      const log_entry_t *v = LIST_AT (s->entries, log_entry_t, i);
      if (v->index != log_last (r) + 1 || v->term < log_term (r, v->index - 1))
        return err_set (&r->err, ERR_CORRUPT, "log",
                        "entry %lld of term %lld follows %lld of term %lld",
                        (long long)v->index, (long long)v->term,
                        (long long)log_last (r),
                        (long long)log_term (r, log_last (r)));
      log_put (r, v);
    }
  return members_from_log (r);
}

raft_t *
raft_new (apr_pool_t *pool, const raft_conf_t *conf, const raft_ops_t *ops,
          void *arg, const raft_saved_t *saved, rng_t *rng, msec_t now,
          err_t *e)
{
  raft_t *r = apr_pcalloc (pool, sizeof *r);

  r->pool = pool;
  r->leader_commit = -1;
  r->conf = *conf;
  if (r->conf.compact_after == 0)
    r->conf.compact_after = DEFAULT_COMPACT;
  if (r->conf.trail == 0)
    r->conf.trail = DEFAULT_TRAIL;
  if (r->conf.batch == 0)
    r->conf.batch = RAFT_MAX_BATCH;
  r->ops = ops;
  r->arg = arg;
  r->rng = rng;
  r->now = now;
  r->last_contact = conf->eager_start ? now - RAFT_ELECTION_MIN : now;
  buf_init (&r->in);
  apr_pool_cleanup_register (pool, r, raft_free, apr_pool_cleanup_null);
  if (!restore_saved (r, saved))
    {
      if (e)
        *e = r->err;
      return NULL;
    }
  reset_timeout (r);
  if (conf->eager_start)
    r->deadline = now + RAFT_EAGER_START / 4
                  + (msec_t)rng_below (rng, RAFT_EAGER_START * 3 / 4);
  return r;
}

bool
raft_recv (raft_t *r, msgtype_t type, const void *msg, msec_t now, err_t *e)
{
  if (!begin_event (r, now))
    return end_event (r, e);
  switch (type)
    {
    case MSG_VOTE_REQ:
      recv_vote_req (r, msg);
      break;
    case MSG_VOTE_RESP:
      recv_vote_resp (r, msg);
      break;
    case MSG_APPEND_REQ:
      recv_append_req (r, msg);
      break;
    case MSG_APPEND_RESP:
      recv_append_resp (r, msg);
      break;
    case MSG_SNAP_REQ:
      recv_snap_req (r, msg);
      break;
    case MSG_SNAP_RESP:
      recv_snap_resp (r, msg);
      break;
    default:
      break;
    }
  return end_event (r, e);
}

/* The votes that elected the leader count as answers of a quorum.  */
msec_t
last_quorum (const raft_t *r)
{
  msec_t at = raft_quorum_at (r);

  return at > r->elected_at ? at : r->elected_at;
}

static void
tick_leader (raft_t *r)
{
  if (r->now - last_quorum (r) > RAFT_ELECTION_MAX)
    {
      step_down (r);
      return;
    }
  if (r->now - r->heartbeat_at < RAFT_HEARTBEAT)
    return;
  r->heartbeat_at = r->now;
  replicate_all (r, true);
  promote_learners (r);
}

bool
raft_tick (raft_t *r, msec_t now, err_t *e)
{
  if (!begin_event (r, now))
    return end_event (r, e);
  if (r->applied < r->commit && !apply_committed (r))
    return end_event (r, e);
  write_retry (r);
  if (r->role == RAFT_LEADER)
    tick_leader (r);
  else if (r->now >= r->deadline)
    {
      r->leader = 0;
      if (may_campaign (r) && !r->blocked)
        start_prevote (r);
      else
        reset_timeout (r);
    }
  return end_event (r, e);
}

bool
leader_append (raft_t *r, int64_t kind, str_t data)
{
  log_entry_t v = {
    .term = r->term, .index = log_last (r) + 1, .kind = kind, .data = data
  };

  if (!log_append (r, &v, 1))
    {
      if (!r->stopped)
        step_down (r);
      return false;
    }
  replicate_all (r, false);
  return advance_commit (r);
}

bool
append_error (const raft_t *r, err_t *e)
{
  if (r->stopped && e)
    *e = r->err;
  return !r->stopped
         && err_set (e, ERR_NOT_LEADER, "log",
                     "stepped down because a write failed: %s", r->err.detail);
}

bool
raft_propose (raft_t *r, str_t record, msec_t now, int64_t *index, err_t *e)
{
  if (!begin_event (r, now))
    return end_event (r, e);
  if (r->role != RAFT_LEADER)
    return err_set (e, ERR_NOT_LEADER, "log",
                    "this instance is not the leader");
  if (record.n > RAFT_MAX_RECORD)
    return err_set (e, ERR_TOO_LARGE, "record", "%zu bytes, at most %d",
                    record.n, RAFT_MAX_RECORD);
  if (log_last (r) - r->commit >= RAFT_MAX_UNCOMMITTED)
    return err_set (e, ERR_FULL, "log", "%d entries are not yet committed",
                    RAFT_MAX_UNCOMMITTED);
  if (index)
    *index = log_last (r) + 1;
  return leader_append (r, ENTRY_RECORD, record) || append_error (r, e);
}

raft_role_t
raft_role (const raft_t *r)
{
  return r->role;
}

bool
raft_leader_ready (const raft_t *r)
{
  return r->role == RAFT_LEADER && r->applied >= r->noop_index;
}

bool
raft_current (const raft_t *r)
{
  if (r->role == RAFT_LEADER)
    return raft_leader_ready (r);
  return r->leader != 0 && r->leader_commit >= 0
         && r->applied >= r->leader_commit
         && log_term (r, r->applied) == r->term;
}

int64_t
raft_leader (const raft_t *r)
{
  return r->leader;
}

int64_t
raft_id (const raft_t *r)
{
  return r->id;
}

int64_t
raft_term (const raft_t *r)
{
  return r->term;
}

int64_t
raft_last (const raft_t *r)
{
  return log_last (r);
}

int64_t
raft_commit (const raft_t *r)
{
  return r->commit;
}

int64_t
raft_applied (const raft_t *r)
{
  return r->applied;
}

const members_t *
raft_member_list (const raft_t *r)
{
  return r->members;
}

static int
descending (const void *a, const void *b)
{
  msec_t x = *(const msec_t *)a;
  msec_t y = *(const msec_t *)b;

  return (x < y) - (x > y);
}

msec_t
raft_quorum_at (const raft_t *r)
{
  msec_t at[PEERS_MAX + 1];
  int n = 0;

  if (r->role != RAFT_LEADER)
    return -1;
  if (is_voter (r, r->id))
    at[n++] = r->now;
  for (int i = 0; i < r->npeer; i++)
    if (is_voter (r, r->peer[i].id))
      at[n++] = r->peer[i].acked;
  qsort (at, (size_t)n, sizeof *at, descending);
  return n >= quorum (r) ? at[quorum (r) - 1] : -1;
}
