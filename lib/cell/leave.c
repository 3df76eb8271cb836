#include "local.h"

/* An instance that stops while there are more voters than the fault tolerance
   needs asks the leader to remove it.  Its disk may never come back, and until
   it has been silent for MEMBER_TIMEOUT the failure of another one could leave
   no quorum.  An instance that is only restarted joins again.  */

static void
remove_self (cell_t *c)
{
  member_t self = { .id = raft_id (c->raft) };

  if (raft_member (c->raft, self.id))
    raft_members (c->raft, MEMBER_REMOVE, &self, c->now, NULL);
}

static void
request_removal (cell_t *c)
{
  const member_t *l = raft_member (c->raft, raft_leader (c->raft));
  hello_t m = { .id = raft_id (c->raft),
                .name = c->conf.name,
                .address = c->conf.address,
                .zone = c->conf.zone,
                .request_removal = true };

  if (l)
    peers_send (c, l->address, MSG_HELLO, &m, true);
}

void
leave_tick (cell_t *c)
{
  if (c->stopping_since == 0)
    return;
  bool leads = raft_role (c->raft) == RAFT_LEADER;
  /* A leader that was removed steps down when its removal is committed.  */
  c->removed |= !leads && raft_member (c->raft, raft_id (c->raft)) == NULL;
  if (c->removed || c->now - c->stopping_since >= LEAVE_TIMEOUT)
    {
      log_event (EV_RAFT_LEAVE, "left=%d ms=%lld", c->removed,
                 (long long)(c->now - c->stopping_since));
      loop_stop (c->loop);
      return;
    }
  if (c->now - c->join.asked_at < LEAVE_INTERVAL)
    return;
  c->join.asked_at = c->now;
  if (leads)
    remove_self (c);
  else
    request_removal (c);
}

void
leave_request (cell_t *c, const hello_t *m, hello_resp_t *out)
{
  member_t x = { .id = m->id };

  if (!raft_leader_ready (c->raft))
    return;
  if (raft_member (c->raft, m->id) && join_has_surplus (c))
    raft_members (c->raft, MEMBER_REMOVE, &x, c->now, NULL);
  out->removed = raft_member (c->raft, m->id) == NULL
                 && raft_commit (c->raft) >= raft_last (c->raft);
}

void
cell_stop (cell_t *c)
{
  const member_t *self = raft_member (c->raft, raft_id (c->raft));

  if (self == NULL || !join_has_surplus (c) || raft_leader (c->raft) == 0)
    {
      loop_stop (c->loop);
      return;
    }
  if (c->stopping_since == 0)
    c->stopping_since = c->now;
}
