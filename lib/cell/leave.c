#include "local.h"

enum
{
  ANSWER_LIMIT
  = 1500, /* ms that an answer may take after the rest of a stop */
  ANSWER_SEND_TIME = 50 /* ms that the HTTP server has to send the last one */
};

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

/* Asks to be removed; false once that is done or has taken too long.  */
static bool
is_leaving (cell_t *c)
{
  bool leads = raft_role (c->raft) == RAFT_LEADER;

  if (!c->leaving)
    return false;
  /* A leader that was removed steps down when its removal is committed.  */
  c->removed |= !leads && raft_member (c->raft, raft_id (c->raft)) == NULL;
  if (c->removed || c->now - c->stopping_since >= LEAVE_TIMEOUT)
    {
      log_event (EV_RAFT_LEAVE, "left=%d ms=%lld", c->removed,
                 (long long)(c->now - c->stopping_since));
      c->leaving = false;
      return false;
    }
  if (c->now - c->join.asked_at < LEAVE_INTERVAL)
    return true;
  c->join.asked_at = c->now;
  if (leads)
    remove_self (c);
  else
    request_removal (c);
  return true;
}

void
leave_tick (cell_t *c)
{
  if (c->stopping_since == 0 || is_leaving (c))
    return;
  bool answered
      = !pending_any (c) && c->now - c->answered_at >= ANSWER_SEND_TIME;
  if (answered || c->now - c->stopping_since >= LEAVE_TIMEOUT + ANSWER_LIMIT)
    loop_stop (c->loop);
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

  if (c->stopping_since)
    return;
  c->stopping_since = c->now;
  c->leaving = self && join_has_surplus (c) && raft_leader (c->raft) != 0;
}
