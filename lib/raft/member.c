#include "local.h"

#include <string.h>

/* A member counts as responsive for this long after the leader sent the latest
   message that the member has answered.  */
enum
{
  RESPONSE_MAX_AGE = 250 /* ms */
};

peer_t *
peer_of (raft_t *r, int64_t id)
{
  for (int i = 0; i < r->npeer; i++)
    if (r->peer[i].id == id)
      return &r->peer[i];
  return NULL;
}

static member_t *
member_at (const raft_t *r, size_t i)
{
  return LIST_AT (r->members->list, member_t, i);
}

const member_t *
raft_member (const raft_t *r, int64_t id)
{
  for (size_t i = 0; i < r->members->list.n; i++)
    if (member_at (r, i)->id == id)
      return member_at (r, i);
  return NULL;
}

bool
is_voter (const raft_t *r, int64_t id)
{
  const member_t *m = raft_member (r, id);

  return m && m->voter;
}

/* An instance whose removal is not committed can have the longest log.  The
   other instances then cannot win an election without its vote, which it does
   not grant.  So it has to campaign itself, though its own vote does not
   count.  */
bool
may_campaign (raft_t *r)
{
  apr_pool_t *pool;
  msgtype_t type;
  bool was = false;

  if (is_voter (r, r->id))
    return true;
  if (r->commit >= r->members_index || apr_pool_create (&pool, r->pool))
    return false;
  str_t before = members_at (r, r->members_index - 1);
  const members_t *m
      = before.n ? rpc_decode (pool, before, &type, NULL) : NULL;
  for (size_t i = 0; m && i < m->list.n; i++)
    {
      const member_t *x = LIST_AT (m->list, member_t, i);
      was |= x->id == r->id && x->voter;
    }
  apr_pool_destroy (pool);
  return was;
}

int
voters (const raft_t *r)
{
  int n = 0;

  for (size_t i = 0; i < r->members->list.n; i++)
    n += member_at (r, i)->voter;
  return n;
}

int
quorum (const raft_t *r)
{
  return voters (r) / 2 + 1;
}

/* Rebuilds the list of peers; the state of peers that remain is kept.  */
static void
sync_peers (raft_t *r)
{
  peer_t old[PEERS_MAX];
  int n = r->npeer;

  memcpy (old, r->peer, sizeof old);
  r->npeer = 0;
  for (size_t i = 0; i < r->members->list.n; i++)
    {
      int64_t id = member_at (r, i)->id;
      peer_t p = { .id = id, .next = log_last (r) + 1, .acked = -1 };
      p.probing = true;
      if (id == r->id)
        continue;
      for (int j = 0; j < n; j++)
        if (old[j].id == id)
          {
            p = old[j];
            old[j].snap = NULL;
          }
      r->peer[r->npeer++] = p;
    }
  for (int j = 0; j < n; j++)
    snap_unref (old[j].snap);
}

bool
members_set (raft_t *r, str_t packed, int64_t index)
{
  apr_pool_t *pool;
  members_t *m;
  msgtype_t type = MSG_MEMBERS;

  if (apr_pool_create (&pool, r->pool))
    return err_set (&r->err, ERR_NOMEM, "members", "no pool") || fail_stop (r);
  m = packed.n ? rpc_decode (pool, packed, &type, &r->err)
               : apr_pcalloc (pool, sizeof *m);
  if (m == NULL || type != MSG_MEMBERS || m->list.n > PEERS_MAX)
    {
      apr_pool_destroy (pool);
      return err_set (&r->err, ERR_CORRUPT, "members",
                      "entry %lld holds no valid membership", (long long)index)
             || fail_stop (r);
    }
  if (r->members_pool)
    apr_pool_destroy (r->members_pool);
  r->members_pool = pool;
  r->members = m;
  r->members_index = index;
  sync_peers (r);
  return true;
}

bool
members_from_log (raft_t *r)
{
  for (int64_t i = log_last (r); i > r->base; i--)
    if (log_at (r, i)->kind == ENTRY_MEMBERS)
      return members_set (r, log_at (r, i)->data, i);
  if (r->snap)
    return members_set (r, r->snap->s.members, r->snap->s.index);
  return members_set (r, (str_t){ 0 }, 0);
}

/* Appends an entry with the N members at V.  */
static bool
append_members (raft_t *r, member_t *v, size_t n, err_t *e)
{
  members_t m = { .list = { v, n } };
  buf_t b;

  buf_init (&b);
  rpc_pack (&b, MSG_MEMBERS, &m);
  bool ok = leader_append (r, ENTRY_MEMBERS, buf_str (&b));
  buf_free (&b);
  return ok || append_error (r, e);
}

/* Appends the first entry of a deployment, the first membership.  */
static bool
append_first_members (raft_t *r, member_t *v, size_t n)
{
  members_t m = { .list = { v, n } };
  log_entry_t x = { .term = r->term, .index = 1, .kind = ENTRY_MEMBERS };
  buf_t b;

  buf_init (&b);
  rpc_pack (&b, MSG_MEMBERS, &m);
  x.data = buf_str (&b);
  bool ok = log_append (r, &x, 1);
  buf_free (&b);
  return ok;
}

/* One change at a time, and only after an entry of the current term is
   committed: otherwise two leaders could each have a change in progress that
   the other has not received, with quorums that do not overlap.  */
static bool
may_change (const raft_t *r)
{
  return r->role == RAFT_LEADER && r->commit >= r->members_index
         && r->commit >= r->noop_index;
}

static bool
is_responsive (raft_t *r, int64_t id)
{
  const peer_t *p = peer_of (r, id);

  return id == r->id
         || (p && p->acked >= 0 && r->now - p->acked <= RESPONSE_MAX_AGE);
}

/* Copies the members to V, except the one with the id WITHOUT; returns their
   number.  */
static size_t
copy_members (const raft_t *r, int64_t without, member_t *v)
{
  size_t n = 0;

  for (size_t i = 0; i < r->members->list.n; i++)
    if (member_at (r, i)->id != without)
      v[n++] = *member_at (r, i);
  return n;
}

static const member_t *
member_by_name (const raft_t *r, str_t name, bool voter, int64_t not_id)
{
  for (size_t i = 0; i < r->members->list.n; i++)
    {
      const member_t *m = member_at (r, i);
      if (str_eq (m->name, name) && m->voter == voter && m->id != not_id)
        return m;
    }
  return NULL;
}

/* Updates the address of a member.  */
static bool
update_address (raft_t *r, const member_t *m, err_t *e)
{
  member_t v[PEERS_MAX + 1];
  size_t n = copy_members (r, 0, v);

  if (str_eq (raft_member (r, m->id)->address, m->address))
    return true;
  for (size_t i = 0; i < n; i++)
    if (v[i].id == m->id)
      v[i].address = m->address;
  return append_members (r, v, n, e);
}

static bool
add_learner (raft_t *r, const member_t *m, err_t *e)
{
  member_t v[PEERS_MAX + 1];
  const member_t *voter = member_by_name (r, m->name, true, m->id);
  const member_t *learner = member_by_name (r, m->name, false, m->id);

  if (raft_member (r, m->id))
    return update_address (r, m, e);
  if ((voter && is_responsive (r, voter->id))
      || (learner && is_responsive (r, learner->id)))
    return err_set (e, ERR_CONFLICT, "members",
                    "'" STR_FMT "' still responds under another identity",
                    STR_ARG (m->name));
  size_t n = copy_members (r, learner ? learner->id : 0, v);
  if (n == PEERS_MAX)
    return err_set (e, ERR_FULL, "members", "limit of %d members reached",
                    PEERS_MAX);
  v[n] = *m;
  v[n++].voter = false;
  return append_members (r, v, n, e);
}

bool
raft_members (raft_t *r, member_op_t op, const member_t *m, msec_t now,
              err_t *e)
{
  member_t v[PEERS_MAX + 1];

  if (now > r->now)
    r->now = now;
  if (r->stopped || r->role != RAFT_LEADER)
    return err_set (e, ERR_NOT_LEADER, "members",
                    "this instance is not the leader");
  if (!may_change (r))
    return err_set (e, ERR_FULL, "members", "another change is in progress");
  if (op == MEMBER_ADD)
    return add_learner (r, m, e);
  if (raft_member (r, m->id) == NULL)
    return true;
  if (is_voter (r, m->id) && voters (r) == 1)
    return err_set (e, ERR_STATE, "members",
                    "the last voter cannot be removed");
  return append_members (r, v, copy_members (r, m->id, v), e);
}

/* Makes the learner M a voter.  */
static void
make_voter (raft_t *r, const member_t *m)
{
  member_t v[PEERS_MAX + 1];
  size_t n = copy_members (r, 0, v);

  for (size_t i = 0; i < n; i++)
    if (v[i].id == m->id)
      v[i].voter = true;
  append_members (r, v, n, NULL);
}

/* Whether the responsive voters still form a quorum after one more voter is
   added: a promotion that raises the quorum above their number could never be
   committed.  */
static bool
promotion_keeps_quorum (raft_t *r)
{
  int responsive = 1; /* the new voter */

  for (size_t i = 0; i < r->members->list.n; i++)
    responsive
        += member_at (r, i)->voter && is_responsive (r, member_at (r, i)->id);
  return responsive >= (voters (r) + 1) / 2 + 1;
}

/* A learner that has caught up replaces the voter of the same name in two
   changes, of which the first removes the old voter: the quorums before and
   after each change overlap, and the quorum is not raised while the old voter,
   which does not respond, is a member.  */
void
promote_learners (raft_t *r)
{
  member_t v[PEERS_MAX + 1];

  if (!may_change (r))
    return;
  for (size_t i = 0; i < r->members->list.n; i++)
    {
      const member_t *m = member_at (r, i);
      const peer_t *p = peer_of (r, m->id);
      const member_t *old = member_by_name (r, m->name, true, m->id);
      if (m->voter || p == NULL || p->match < r->commit
          || !is_responsive (r, m->id) || (old && is_responsive (r, old->id)))
        continue;
      if (old == NULL && promotion_keeps_quorum (r))
        make_voter (r, m);
      else if (old)
        append_members (r, v, copy_members (r, old->id, v), NULL);
      return;
    }
}

bool
raft_bootstrap (raft_t *r, const member_t *m, size_t n, msec_t now, err_t *e)
{
  member_t v[PEERS_MAX];

  if (r->stopped || log_last (r) || r->snap || n == 0 || n > PEERS_MAX)
    return err_set (e, ERR_STATE, "members",
                    "the first membership requires an empty log");
  if (now > r->now)
    r->now = now;
  for (size_t i = 0; i < n; i++)
    {
      v[i] = m[i];
      v[i].voter = true;
    }
  /* The term is random: if this instance loses its disk right after this and
     bootstraps again, the term of its new entry differs from that of the lost
     one.  */
  if (!become_follower (r, r->term + 1 + (int64_t)rng_below (r->rng, 1000))
      || !append_first_members (r, v, n))
    {
      if (r->stopped && e)
        *e = r->err;
      return !r->stopped;
    }
  r->deadline = r->now;
  return true;
}
