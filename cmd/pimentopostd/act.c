#include "decide.h"

#include <stdlib.h>
#include <string.h>

/* ---- records ---- */

/* Queues a copy of DATA until the log has room.  */
static bool
queue_record (decide_t *d, str_t data)
{
  char *p = d->npending < PENDING_MAX ? malloc (data.n + 1) : NULL;

  if (p == NULL)
    return false;
  if (data.n)
    memcpy (p, data.p, data.n);
  d->pending[d->npending++] = (str_t){ p, data.n };
  return true;
}

/* Proposes DATA to the log; FULL: it has no room.  A record that is too large,
   or for which this instance is not the leader, is dropped.  False only when
   the store failed.  */
static bool
propose (decide_t *d, str_t data, bool *full, err_t *e)
{
  err_t inner = { 0 };

  *full = false;
  if (raft_propose (d->raft, data, d->now, NULL, &inner))
    return true;
  *full = inner.code == ERR_FULL;
  if (*full || inner.code == ERR_NOT_LEADER)
    return true;
  if (inner.code == ERR_TOO_LARGE)
    {
      log_event (EV_RECORD_REFUSED, "bytes=%zu", data.n);
      return true;
    }
  if (e)
    *e = inner;
  return false;
}

/* Appends DATA behind the records that wait, so that the order is kept.  */
static bool
append (decide_t *d, str_t data, err_t *e)
{
  bool full = true;

  if (d->npending == 0 && !propose (d, data, &full, e))
    return false;
  return !full || queue_record (d, data)
         || err_set (e, ERR_FULL, "log", "%d records already wait for room",
                     PENDING_MAX);
}

bool
pending_retry (decide_t *d, err_t *e)
{
  bool full = false;
  int i = 0;

  while (i < d->npending && !full)
    {
      if (!propose (d, d->pending[i], &full, e))
        return false;
      if (!full)
        free (d->pending[i++].p);
    }
  d->npending -= i;
  memmove (d->pending, d->pending + i,
           (size_t)d->npending * sizeof *d->pending);
  return true;
}

void
pending_drop (decide_t *d)
{
  while (d->npending)
    free (d->pending[--d->npending].p);
}

/* ---- commands to databases ---- */

/* Queues CMD.  A command that cannot be queued has not been sent; control gets
   ERR_UNREACHABLE as its result.  */
static void
send_command (decide_t *d, const db_cmd_t *cmd)
{
  db_event_t ev = { .kind = DB_EV_RESULT, .cmd = *cmd };

  if (dblink_command (d->link, cmd, &ev.err))
    return;
  log_event (EV_LINK_REFUSED, "database=%s command=%s", cmd->name,
             db_op_name (cmd->op));
  ev.err.code = ERR_UNREACHABLE;
  control_db (d->control, &ev, d->now);
}

bool
run_action (decide_t *d, const ctl_act_t *a, err_t *e)
{
  switch (a->kind)
    {
    case CTL_APPEND:
      return append (d, a->data, e);
    case CTL_DB:
      send_command (d, &a->db);
      break;
    case CTL_ANSWER:
      decide_answer (d, a->ticket, MSG_SUBMIT_RESP, &a->resp);
      break;
    }
  return true;
}

/* ---- health and metrics ---- */

void
metrics_init (decide_t *d)
{
  d->gauge[0]
      = counter_get ("pimentopost_raft_leader", "1 when this instance leads");
  d->gauge[1] = counter_get ("pimentopost_raft_term", "raft term");
  d->gauge[2] = counter_get ("pimentopost_raft_commit",
                             "index of the last committed entry");
  d->gauge[3] = counter_get ("pimentopost_raft_applied",
                             "index of the last applied entry");
  d->gauge[5] = counter_get ("pimentopost_raft_voters",
                             "voters of the membership in force");
  d->gauge[4] = counter_get ("pimentopost_configuration_version",
                             "version of the configuration in force");
}

static int
voters (const decide_t *d)
{
  const members_t *m = raft_member_list (d->raft);
  int n = 0;

  for (size_t i = 0; i < m->list.n; i++)
    n += LIST_AT (m->list, member_t, i)->voter;
  return n;
}

void
status_publish (decide_t *d)
{
  int64_t version = 0;
  const member_t *m = raft_member (d->raft, raft_id (d->raft));

  control_config (d->control, &version, NULL, NULL);
  atomic_store (&d->health_role, raft_role (d->raft));
  atomic_store (&d->health_member, m ? 1 + m->voter : 0);
  atomic_store (&d->health_term, raft_term (d->raft));
  atomic_store (&d->health_commit, raft_commit (d->raft));
  atomic_store (&d->health_version, version);
  atomic_store (&d->health_leader, raft_leader (d->raft) != 0);
  counter_set (d->gauge[0], raft_role (d->raft) == RAFT_LEADER);
  counter_set (d->gauge[1], raft_term (d->raft));
  counter_set (d->gauge[2], raft_commit (d->raft));
  counter_set (d->gauge[3], raft_applied (d->raft));
  counter_set (d->gauge[4], version);
  counter_set (d->gauge[5], voters (d));
}

bool
decide_health (void *arg, buf_t *out)
{
  static const char *const member[] = { "none", "learner", "voter" };
  decide_t *d = arg;
  bool leader = atomic_load (&d->health_leader);

  buf_fmt (
      out, "role=%s leader=%s member=%s term=%lld commit=%lld version=%lld\n",
      atomic_load (&d->health_role) == RAFT_LEADER ? "leader" : "follower",
      leader ? "known" : "unknown", member[atomic_load (&d->health_member)],
      (long long)atomic_load (&d->health_term),
      (long long)atomic_load (&d->health_commit),
      (long long)atomic_load (&d->health_version));
  return leader;
}
