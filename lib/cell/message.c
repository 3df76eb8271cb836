#include "local.h"

#include <string.h>

static void
heard_from (cell_t *c, int64_t id)
{
  for (size_t i = 0; i < c->nvoter; i++)
    if (c->voter[i] == id)
      c->heard[i] = c->now;
}

static void
take_roster (cell_t *c, remote_t *from, const roster_t *m)
{
  err_t e = { 0 };

  for (size_t i = 0; i < m->backends.n; i++)
    roster_beat (&c->roster, LIST_AT (m->backends, backend_t, i), c->now, &e);
  (void)from;
  news_watched (c, m);
  endpoint_heard (c, m);
  news_spread (c);
}

static void
take_sights (cell_t *c, const watch_t *m)
{
  for (size_t i = 0; i < m->reachability.n; i++)
    {
      const reachability_t *s = LIST_AT (m->reachability, reachability_t, i);
      takeover_t *t = takeover_of (c, s->service);
      if (t && s->ok_age >= 0 && s->fail_age < 0)
        takeover_sight (t, s->id, c->now - s->ok_age);
    }
}

/* Entry instances talk to any control instance; only the leader decides on
   what they saw.  */
static void
pass_sights (cell_t *c, const watch_t *m)
{
  const member_t *l = raft_member (c->raft, raft_leader (c->raft));
  watch_t copy = *m;

  if (l == NULL || m->reachability.n == 0 || m->seq == 0)
    return;
  copy.seq = 0; /* passed on: nobody answers it */
  peers_send (c, l->address, MSG_WATCH, &copy, false);
}

static void
take_watch (cell_t *c, remote_t *from, const watch_t *m)
{
  if (raft_leader_ready (c->raft))
    take_sights (c, m);
  else
    pass_sights (c, m);
  if (m->seq == 0)
    return;
  if (!from->watcher || m->boot != c->boot)
    from->roster = -1;
  else
    from->roster = m->roster;
  from->watcher = true;
  endpoint_watch (c, from, m);
  from->seq = m->seq;
  from->version = m->version;
  news_send (c, from);
}

void
cell_message (cell_t *c, remote_t *from, msgtype_t type, void *msg)
{
  hello_resp_t hello;

  switch (type)
    {
    case MSG_APPEND_RESP:
      heard_from (c, ((const append_resp_t *)msg)->from);
      cell_step (c, raft_recv (c->raft, type, msg, c->now, &c->err));
      break;
    case MSG_VOTE_REQ:
    case MSG_VOTE_RESP:
    case MSG_APPEND_REQ:
    case MSG_SNAP_REQ:
    case MSG_SNAP_RESP:
      cell_step (c, raft_recv (c->raft, type, msg, c->now, &c->err));
      break;
    case MSG_HELLO:
      join_ask (c, msg, &hello);
      peers_answer (c, from, MSG_HELLO_RESP, &hello);
      break;
    case MSG_HELLO_RESP:
      join_answer (c, msg);
      break;
    case MSG_ROSTER:
      take_roster (c, from, msg);
      break;
    case MSG_WATCH:
      take_watch (c, from, msg);
      break;
    default:
      break;
    }
}
