#include "local.h"

static int
votes_granted (const raft_t *r)
{
  int n = is_voter (r, r->id);

  for (int i = 0; i < r->npeer; i++)
    n += r->peer[i].granted && is_voter (r, r->peer[i].id);
  return n;
}

static void
request_votes (raft_t *r)
{
  vote_req_t m = { .term = r->prevote ? r->term + 1 : r->term,
                   .from = r->id,
                   .last_index = log_last (r),
                   .last_term = log_term (r, log_last (r)),
                   .pre = r->prevote };

  for (int i = 0; i < r->npeer; i++)
    {
      r->peer[i].granted = false;
      if (is_voter (r, r->peer[i].id))
        send_to (r, r->peer[i].id, MSG_VOTE_REQ, &m);
    }
}

/* Entries of older terms are committed together with the first entry of the
   leader's own term, so it appends one at once.  */
static bool
become_leader (raft_t *r)
{
  r->role = RAFT_LEADER;
  r->leader = r->id;
  r->heartbeat_at = r->now;
  r->noop_index = log_last (r) + 1;
  for (int i = 0; i < r->npeer; i++)
    {
      peer_t *p = &r->peer[i];
      snap_unref (p->snap);
      *p = (peer_t){ .id = p->id, .next = r->noop_index, .acked = -1 };
    }
  r->elected_at = r->now;
  return leader_append (r, ENTRY_NOOP, (str_t){ 0 });
}

static bool
start_election (raft_t *r)
{
  if (!write_vote (r, r->term + 1, r->id))
    {
      step_down (r);
      return !r->stopped;
    }
  r->prevote = false;
  r->term++;
  r->vote = r->id;
  r->leader = 0;
  reset_timeout (r);
  request_votes (r);
  return votes_granted (r) < quorum (r) || become_leader (r);
}

bool
start_prevote (raft_t *r)
{
  r->role = RAFT_CANDIDATE;
  r->prevote = true;
  /* A pre-vote does not increase the term, so it is retried soon: instances
     that restart together reject it for RAFT_ELECTION_MIN, as if a leader had
     just sent a message.  */
  r->deadline = r->now + RAFT_HEARTBEAT
                + (msec_t)rng_below (r->rng, 2 * RAFT_HEARTBEAT);
  request_votes (r);
  return votes_granted (r) < quorum (r) || start_election (r);
}

static bool
log_up_to_date (const raft_t *r, const vote_req_t *m)
{
  int64_t term = log_term (r, log_last (r));

  return m->last_term > term
         || (m->last_term == term && m->last_index >= log_last (r));
}

/* While the leader's last message is younger than the shortest election
   timeout, no vote is granted, so that a member that receives no messages from
   the leader cannot depose it.  A start counts as a message: the instance may
   have answered a heartbeat just before it restarted, and the validity of
   database leases depends on when a quorum last answered the leader.  */
static bool
leader_is_recent (const raft_t *r)
{
  if (r->role == RAFT_LEADER)
    return r->now - last_quorum (r) < RAFT_ELECTION_MIN;
  return r->now - r->last_contact < RAFT_ELECTION_MIN;
}

static void
send_vote_resp (raft_t *r, const vote_req_t *m, bool grant)
{
  vote_resp_t a = { .term = grant ? m->term : r->term,
                    .from = r->id,
                    .pre = m->pre,
                    .granted = grant };

  send_to (r, m->from, MSG_VOTE_RESP, &a);
}

bool
recv_vote_req (raft_t *r, const vote_req_t *m)
{
  if (leader_is_recent (r) || m->term < r->term)
    {
      send_vote_resp (r, m, false);
      return true;
    }
  if (m->pre)
    {
      send_vote_resp (
          r, m, m->term > r->term && log_up_to_date (r, m) && !r->blocked);
      return true;
    }
  if (m->term > r->term && !become_follower (r, m->term))
    return false;
  bool grant = log_up_to_date (r, m) && r->leader == 0
               && (r->vote == 0 || r->vote == m->from);
#ifdef FAULT_VOTE_TWICE
  grant = log_up_to_date (r, m);
#endif
  if (grant && r->vote != m->from)
    {
      if (!write_vote (r, r->term, m->from))
        return !r->stopped;
      r->vote = m->from;
    }
  if (grant)
    reset_timeout (r);
  send_vote_resp (r, m, grant);
  return true;
}

bool
recv_vote_resp (raft_t *r, const vote_resp_t *m)
{
  if (!m->granted && m->term > r->term)
    return become_follower (r, m->term);
  if (r->role != RAFT_CANDIDATE || !m->granted || m->pre != r->prevote
      || m->term != (r->prevote ? r->term + 1 : r->term))
    return true;
  peer_t *p = peer_of (r, m->from);
  if (p == NULL)
    return true;
  p->granted = true;
  if (votes_granted (r) < quorum (r))
    return true;
  return r->prevote ? start_election (r) : become_leader (r);
}
