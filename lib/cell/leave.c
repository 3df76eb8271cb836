#include "local.h"

/* An instance that stops while there are more voters than the losses need asks
   the leader to remove it.  Its disk may never come back, and until it was
   silent for long enough the loss of another one could end the quorum.  One
   that is only started again joins again.  */

static void
leave_self (cell_t *c)
{
  member_t self = { .id = raft_id (c->raft) };

  if (raft_member (c->raft, self.id))
    raft_members (c->raft, MEMBER_REMOVE, &self, c->now, NULL);
}

static void
leave_other (cell_t *c)
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
  if (c->stopping == 0)
    return;
  bool leads = raft_role (c->raft) == RAFT_LEADER;
  /* A leader that has left resigns when its removal is committed.  */
  c->left |= !leads && raft_member (c->raft, raft_id (c->raft)) == NULL;
  if (c->left || c->now - c->stopping >= LEAVE_TIME)
    {
      log_event (EV_RAFT_LEAVE, "left=%d ms=%lld", c->left,
                 (long long)(c->now - c->stopping));
      loop_stop (c->loop);
      return;
    }
  if (c->now - c->join.asked < LEAVE_EVERY)
    return;
  c->join.asked = c->now;
  if (leads)
    leave_self (c);
  else
    leave_other (c);
}

void
leave_ask (cell_t *c, const hello_t *m, hello_resp_t *out)
{
  member_t x = { .id = m->id };

  if (!raft_leader_ready (c->raft))
    return;
  if (raft_member (c->raft, m->id) && join_surplus (c))
    raft_members (c->raft, MEMBER_REMOVE, &x, c->now, NULL);
  out->removed = raft_member (c->raft, m->id) == NULL
                 && raft_commit (c->raft) >= raft_last (c->raft);
}

void
cell_stop (cell_t *c)
{
  const member_t *self = raft_member (c->raft, raft_id (c->raft));

  if (self == NULL || !join_surplus (c) || raft_leader (c->raft) == 0)
    {
      loop_stop (c->loop);
      return;
    }
  if (c->stopping == 0)
    c->stopping = c->now;
}
