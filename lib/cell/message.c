#include "local.h"

#include <string.h>

static void
note_response (cell_t *c, int64_t id)
{
  for (size_t i = 0; i < c->nmember; i++)
    if (c->member_id[i] == id)
      c->member_answered_at[i] = c->now;
}

static void
merge_roster (cell_t *c, const roster_t *m)
{
  roster_merge (c, &m->backends, "peer");
  update_peer_entries (c, m);
  endpoint_merge (c, m);
}

static void
apply_reports (cell_t *c, const watch_t *m)
{
  for (size_t i = 0; i < m->reachability.n; i++)
    {
      const reachability_t *s = LIST_AT (m->reachability, reachability_t, i);
      takeover_t *t = takeover_of (c, s->service);
      if (t && s->ok_age >= 0 && s->fail_age < 0)
        takeover_report (t, s->id, c->now - s->ok_age);
      else if (s->fail_age >= 0)
        probe_now (c, s->id);
    }
}

/* Entry instances report to any control instance; only the leader decides
   about takeovers.  */
static void
forward_reports (cell_t *c, const watch_t *m)
{
  const member_t *l = raft_member (c->raft, raft_leader (c->raft));
  watch_t copy = *m;

  if (l == NULL || m->reachability.n == 0 || m->seq == 0)
    return;
  copy.seq = 0; /* forwarded: gets no answer */
  peers_send (c, l->address, MSG_WATCH, &copy, false);
}

/* A report that was sent before the last update arrived says nothing of that
   one.  On a slow link the update takes longer than the time between reports,
   and would be sent again for each of them.  */
static bool
reflects_updates (const remote_t *from, const watch_t *m)
{
  return !m->takes_changes || m->updates == from->updates;
}

static void
receive_report (cell_t *c, remote_t *from, const watch_t *m)
{
  if (raft_leader_ready (c->raft))
    apply_reports (c, m);
  else
    forward_reports (c, m);
  if (m->seq == 0)
    return;
  if (!from->is_entry || reflects_updates (from, m))
    {
      from->roster_known
          = from->is_entry && m->boot == c->boot ? m->roster : -1;
      from->version = m->version;
    }
  from->is_entry = true;
  endpoint_report (c, from, m);
  from->seq = m->seq;
  update_send (c, from);
}

void
cell_message (cell_t *c, remote_t *from, msgtype_t type, void *msg)
{
  hello_resp_t hello;

  switch (type)
    {
    case MSG_APPEND_RESP:
      note_response (c, ((const append_resp_t *)msg)->from);
      cell_check (c, raft_recv (c->raft, type, msg, c->now, &c->err));
      break;
    case MSG_VOTE_REQ:
    case MSG_VOTE_RESP:
    case MSG_APPEND_REQ:
    case MSG_SNAP_REQ:
    case MSG_SNAP_RESP:
      cell_check (c, raft_recv (c->raft, type, msg, c->now, &c->err));
      break;
    case MSG_HELLO:
      join_handle_hello (c, msg, &hello);
      peers_reply (c, from, MSG_HELLO_RESP, &hello);
      break;
    case MSG_HELLO_RESP:
      join_handle_response (c, msg);
      break;
    case MSG_ROSTER:
      merge_roster (c, msg);
      break;
    case MSG_WATCH:
      receive_report (c, from, msg);
      break;
    default:
      break;
    }
}
