#include "local.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

static int64_t
local_entry_count (const cell_t *c)
{
  int64_t n = 0;

  for (const remote_t *r = c->remotes; r; r = r->next)
    n += r->is_entry && r->stream;
  return n;
}

void
update_peer_entries (cell_t *c, const roster_t *m)
{
  size_t i = 0;

  while (i < c->npeer_entries
         && !str_eq (str_of (c->peer_entries[i].name), m->from))
    i++;
  if (i == PEERS_MAX)
    return;
  if (i == c->npeer_entries)
    snprintf (c->peer_entries[c->npeer_entries++].name,
              sizeof c->peer_entries[i].name, STR_FMT, STR_ARG (m->from));
  c->peer_entries[i].entries = m->entries;
  c->peer_entries[i].at = c->now;
}

int64_t
update_entry_count (cell_t *c)
{
  int64_t n = local_entry_count (c);

  for (size_t i = 0; i < c->npeer_entries; i++)
    if (c->now - c->peer_entries[i].at < PEER_REPORT_MAX_AGE)
      n += c->peer_entries[i].entries;
  return n;
}

static void
send_update (cell_t *c, remote_t *r, bool endpoints)
{
  size_t max = c->roster.n;
  backend_t *v = calloc (max + 1, sizeof *v);
  endpoint_t *x = calloc (c->nendpoint + 1, sizeof *x);
  const members_t *m = raft_member_list (c->raft);
  bool setup = c->version > r->version;

  if (v == NULL || x == NULL)
    abort ();
  watch_update_t n = { .seq = r->seq,
                       .boot = c->boot,
                       .has_leader = cell_has_leader (c),
                       .roster_complete = c->now - c->started > WARMUP_TIME,
                       .version = c->version,
                       .setup = setup ? buf_str (&c->setup) : (str_t){ 0 },
                       .roster = c->roster.revision,
                       .full = r->roster_known < 0,
                       .entries = update_entry_count (c),
                       .has_endpoints = endpoints };
  if (endpoints)
    n.endpoints = (list_t){ x, endpoint_list_zone (c, r->zone, x) };
  if (r->members_sent != c->observed.members_changes)
    n.control = m->list;
  n.backends.v = v;
  n.backends.n = roster_list (&c->roster, r->roster_known, c->now, v, max);
  peers_reply (c, r, MSG_WATCH_UPDATE, &n);
  r->roster_known = c->roster.revision;
  r->leader_sent = n.has_leader;
  r->members_sent = c->observed.members_changes;
  if (setup)
    r->version = c->version;
  free (v);
  free (x);
}

void
update_send (cell_t *c, remote_t *r)
{
  send_update (c, r, endpoint_changed (c, r));
}

void
update_broadcast (cell_t *c)
{
  roster_broadcast (c);
  for (remote_t *r = c->remotes; r; r = r->next)
    {
      if (!r->is_entry || r->stream == NULL)
        continue;
      bool endpoints = endpoint_changed (c, r);
      if (endpoints || r->roster_known < c->roster.revision
          || r->version < c->version || r->leader_sent != cell_has_leader (c))
        send_update (c, r, endpoints);
    }
}

/* Sends R what has changed since its last roster.  */
static void
send_roster (cell_t *c, remote_t *r)
{
  size_t max = c->roster.n;
  backend_t *v = calloc (max + 1, sizeof *v);
  endpoint_t *x = calloc (c->nendpoint + 1, sizeof *x);
  roster_t m
      = { .from = c->conf.name,
          .full = r->roster_sent < 0,
          .entries = local_entry_count (c),
          .has_endpoints = r->endpoints_sent != c->direct_endpoints_revision };

  if (v == NULL || x == NULL)
    abort ();
  if (m.has_endpoints)
    m.endpoints = (list_t){ x, endpoint_list_direct (c, x) };
  m.backends.v = v;
  m.backends.n = roster_list (&c->roster, r->roster_sent, c->now, v, max);
  rpc_encode (stream_out (r->stream), MSG_ROSTER, &m);
  stream_flush (r->stream);
  r->roster_sent = c->roster.revision;
  r->endpoints_sent = c->direct_endpoints_revision;
  free (v);
  free (x);
}

/* What was sent may be lost with its connection: a new connection starts with
   nothing sent, so the whole roster follows as soon as it is open.  */
void
roster_broadcast (cell_t *c)
{
  const members_t *m = raft_member_list (c->raft);

  for (size_t i = 0; i < m->list.n; i++)
    {
      const member_t *x = LIST_AT (m->list, member_t, i);
      remote_t *r
          = x->id == raft_id (c->raft) ? NULL : peers_connect (c, x->address);
      if (r
          && (r->roster_sent < c->roster.revision
              || r->endpoints_sent != c->direct_endpoints_revision))
        send_roster (c, r);
    }
}

void
roster_reset_sent (cell_t *c)
{
  c->rosters_sent_at = c->now;
  for (remote_t *r = c->remotes; r; r = r->next)
    r->roster_sent = r->endpoints_sent = -1;
}
