#include "local.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

enum
{
  /* ms until an entry instance whose update was deferred asks again.  */
  RETRY_AFTER_MIN = 30,
  RETRY_AFTER_SPREAD = 200
};

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
    {
      if (!str_copy (c->peer_entries[i].name, NAME_SIZE, m->from))
        return;
      c->npeer_entries++;
    }
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

/* ---- updates to entry instances ---- */

static void
count_sent (cell_t *c, const remote_t *r, size_t before)
{
  counter_add (c->sent_updates, 1);
  counter_add (c->sent_bytes,
               (int64_t)(buf_len (stream_out (r->stream)) - before));
}

static void
reply_counted (cell_t *c, remote_t *r, const watch_update_t *n)
{
  size_t before = buf_len (stream_out (r->stream));

  peers_reply (c, r, MSG_WATCH_UPDATE, n);
  r->updates++;
  count_sent (c, r, before);
}

static bool
endpoints_due (const cell_t *c, const remote_t *r)
{
  return r->endpoint[0] && r->endpoints_sent < c->endpoints.revision;
}

/* The endpoints that R lacks; the whole list of its zone when R can't merge
   changes, or when some of them are no longer known.  */
static void
add_endpoints (cell_t *c, remote_t *r, watch_update_t *n, endpoint_t *out)
{
  bool whole = !r->takes_changes || r->endpoints_sent < c->endpoints.forgotten;
  size_t changes = endpoint_list_changes (c, r->zone, r->endpoints_sent, out);

  if (r->endpoints_sent >= 0 && !whole && changes == 0)
    {
      r->endpoints_sent = c->endpoints.revision;
      return;
    }
  whole |= r->endpoints_sent < 0;
  n->has_endpoints = true;
  n->endpoint_changes = !whole;
  n->endpoints.v = out;
  n->endpoints.n = whole ? endpoint_list_zone (c, r->zone, out) : changes;
  r->endpoints_sent = c->endpoints.revision;
}

static void *
list_new (size_t n, size_t size)
{
  void *v = calloc (n + 1, size);

  if (v == NULL)
    abort ();
  return v;
}

/* Whether the configuration may be sent to R.  One with tenants isn't sent to
   an instance that has none yet while it may be an old one: keys that were
   withdrawn would work again there.  */
static bool
may_send_setup (const cell_t *c, const remote_t *r)
{
  return r->version > 0 || c->decoded_setup == NULL
         || !c->decoded_setup->tenanted || raft_current (c->raft);
}

/* R looks for another control instance while this one has nothing for it, e.g.
   because its disk is full.  */
static bool
has_leader_for (const cell_t *c, const remote_t *r)
{
  return cell_has_leader (c) && may_send_setup (c, r);
}

static watch_update_t
update_head (cell_t *c, const remote_t *r)
{
  return (watch_update_t){
    .seq = r->seq,
    .boot = c->boot,
    .has_leader = has_leader_for (c, r),
    .roster_complete = c->now - c->started > WARMUP_TIME,
    .version = c->version,
    .roster = r->roster_known,
    .entries = c->entries,
  };
}

/* The records of the roster that changed after KNOWN.  Most receivers know the
   same revision, so the last list is kept for the others of the same turn.  */
static list_t
roster_changes (cell_t *c, int64_t known)
{
  changes_t *g = &c->changes;

  if (g->v && g->at == c->now && g->known == known
      && g->revision == c->roster.revision)
    return (list_t){ g->v, g->n };
  free (g->v);
  g->v = list_new (c->roster.n, sizeof *g->v);
  g->n = roster_list (&c->roster, known, c->now, g->v, c->roster.n);
  g->at = c->now;
  g->known = known;
  g->revision = c->roster.revision;
  return (list_t){ g->v, g->n };
}

static void
send_update (cell_t *c, remote_t *r)
{
  const members_t *m = raft_member_list (c->raft);
  watch_update_t n = update_head (c, r);
  endpoint_t *x = NULL;

  n.full = r->roster_known < 0;
  n.roster = c->roster.revision;
  if (c->version > r->version && may_send_setup (c, r))
    n.setup = buf_str (&c->setup);
  if (endpoints_due (c, r))
    add_endpoints (c, r, &n, x = list_new (c->endpoints.n, sizeof *x));
  if (r->members_sent != c->observed.members_changes)
    n.control = m->list;
  if (n.full || r->roster_known < c->roster.revision)
    n.backends = roster_changes (c, r->roster_known);
  reply_counted (c, r, &n);
  r->roster_known = c->roster.revision;
  r->leader_sent = n.has_leader;
  r->members_sent = c->observed.members_changes;
  if (n.setup.n)
    r->version = c->version;
  free (x);
}

/* Answers a report without the roster and the configuration.  The entry
   instance keeps what it has, and asks again after a time that differs from
   that of the others.  */
static void
defer_update (cell_t *c, remote_t *r)
{
  watch_update_t n = update_head (c, r);

  n.retry_after
      = RETRY_AFTER_MIN + (msec_t)(rng_below (&c->rng, RETRY_AFTER_SPREAD));
  counter_add (c->deferred, 1);
  reply_counted (c, r, &n);
}

void
update_send (cell_t *c, remote_t *r)
{
  if (r->roster_known < 0 && c->full_quota == 0)
    {
      defer_update (c, r);
      return;
    }
  if (r->roster_known < 0)
    c->full_quota--;
  send_update (c, r);
}

/* Whether changes of endpoints are to be sent to R without a report.  They are
   gathered for ENDPOINTS_INTERVAL, so that many instances that come or go at
   once cost each receiver a few lists.  Until the next report would be too
   late: after a restart of all control instances the first list holds only
   those that have reported so far, and sessions would be forwarded by it.  */
static bool
push_endpoints (cell_t *c, remote_t *r)
{
  if (!endpoints_due (c, r) || c->now - r->endpoints_at < ENDPOINTS_INTERVAL)
    return false;
  r->endpoints_at = c->now;
  if (endpoint_changed (c, r->zone, r->endpoints_sent))
    return true;
  r->endpoints_sent = c->endpoints.revision;
  return false;
}

void
update_broadcast (cell_t *c)
{
  c->entries = update_entry_count (c);
  roster_broadcast (c);
  for (remote_t *r = c->remotes; r; r = r->next)
    {
      if (!r->is_entry || r->stream == NULL || r->roster_known < 0)
        continue;
      if (r->roster_known < c->roster.revision
          || (r->version < c->version && may_send_setup (c, r))
          || r->leader_sent != has_leader_for (c, r) || push_endpoints (c, r))
        send_update (c, r);
    }
}

/* ---- rosters to control instances ---- */

/* Whether R is due the list of the direct endpoints: at once on a new
   connection, then at most every DIRECT_INTERVAL.  */
static bool
direct_due (const cell_t *c, const remote_t *r)
{
  return r->endpoints_sent < 0
         || (r->endpoints_sent != c->endpoints.direct_revision
             && c->now - r->direct_sent_at >= DIRECT_INTERVAL);
}

/* Sends R what has changed since its last roster.  */
static void
send_roster (cell_t *c, remote_t *r)
{
  endpoint_t *x = list_new (c->endpoints.n, sizeof *x);
  roster_t m = { .from = c->conf.name,
                 .full = r->roster_sent < 0,
                 .entries = local_entry_count (c),
                 .has_endpoints = direct_due (c, r) };

  if (m.has_endpoints)
    {
      m.endpoints = (list_t){ x, endpoint_list_direct (c, x) };
      r->endpoints_sent = c->endpoints.direct_revision;
      r->direct_sent_at = c->now;
    }
  m.backends = roster_changes (c, r->roster_sent);
  rpc_encode (stream_out (r->stream), MSG_ROSTER, &m);
  stream_flush (r->stream);
  r->roster_sent = c->roster.revision;
  r->unconfirmed = true;
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
      if (r && (r->roster_sent < c->roster.revision || direct_due (c, r)))
        send_roster (c, r);
      if (r && r->unconfirmed)
        peers_check (c, r);
    }
}

void
roster_reset_sent (cell_t *c)
{
  c->rosters_sent_at = c->now;
  for (remote_t *r = c->remotes; r; r = r->next)
    if (!r->is_entry)
      r->roster_sent = r->endpoints_sent = -1;
}
