#include "local.h"

#include <stdlib.h>
#include <string.h>

static str_t
heap_copy (str_t s)
{
  str_t c = { malloc (s.n + 1), s.n };

  if (c.p == NULL)
    abort ();
  if (s.n)
    memcpy (c.p, s.p, s.n);
  return c;
}

void
snap_unref (snap_t *s)
{
  if (s == NULL || --s->refs > 0)
    return;
  free (s->s.members.p);
  free (s->s.data.p);
  free (s);
}

bool
set_snapshot (raft_t *r, const raft_snap_t *s)
{
  snap_t *h = malloc (sizeof *h);

  if (h == NULL)
    abort ();
  h->refs = 1;
  h->s = *s;
  h->s.members = heap_copy (s->members);
  h->s.data = heap_copy (s->data);
  snap_unref (r->snap);
  r->snap = h;
  return true;
}

str_t
members_at (raft_t *r, int64_t i)
{
  for (; i > r->base; i--)
    if (log_at (r, i)->kind == ENTRY_MEMBERS)
      return log_at (r, i)->data;
  return r->snap ? r->snap->s.members : (str_t){ 0 };
}

bool
compact (raft_t *r)
{
  int64_t last_index = r->snap ? r->snap->s.index : 0;
  buf_t b;

  if (r->applied - last_index < r->conf.compact_after || !may_write (r))
    return true;
  buf_init (&b);
  r->ops->snapshot (r->arg, &b);
  raft_snap_t s = { .index = r->applied,
                    .term = log_term (r, r->applied),
                    .members = members_at (r, r->applied),
                    .data = buf_str (&b) };
  bool ok = write_snapshot (r, &s);
  if (ok)
    set_snapshot (r, &s);
  buf_free (&b);
  if (!ok)
    return !r->stopped;
  log_compact (r, r->applied - r->conf.trail);
  return true;
}

/* ---- leader ---- */

void
send_snapshot (raft_t *r, peer_t *p, bool heartbeat)
{
  const raft_snap_t *s = &p->snap->s;
  size_t left = s->data.n - (size_t)p->off;
  bool chunk = r->now - p->chunk_at >= CHUNK_RETRY;

  if (!heartbeat && !chunk)
    return;
  if (left > RPC_SNAP_CHUNK)
    left = RPC_SNAP_CHUNK;
  snap_req_t m = { .term = r->term,
                   .from = r->id,
                   .last_index = s->index,
                   .last_term = s->term,
                   .offset = p->off,
                   .total = (int64_t)s->data.n,
                   .members = s->members,
                   .seq = r->now };
  if (chunk)
    {
      m.data = (str_t){ s->data.p + p->off, left };
      p->chunk_at = r->now;
    }
  send_to (r, p->id, MSG_SNAP_REQ, &m);
}

bool
recv_snap_resp (raft_t *r, const snap_resp_t *m)
{
  if (m->term > r->term)
    return become_follower (r, m->term);
  peer_t *p = peer_of (r, m->from);
  if (r->role != RAFT_LEADER || m->term < r->term || p == NULL)
    return true;
  if (m->seq > p->acked && m->seq <= r->now)
    p->acked = m->seq;
  if (p->snap == NULL || m->last_index != p->snap->s.index)
    return true;
  if (m->done)
    {
      if (p->match < m->last_index)
        p->match = m->last_index;
      p->next = p->match + 1;
      p->probing = false;
      snap_unref (p->snap);
      p->snap = NULL;
      if (!advance_commit (r))
        return false;
    }
  else if (m->offset >= 0 && m->offset <= (int64_t)p->snap->s.data.n
           && m->offset != p->off)
    {
      p->off = m->offset;
      p->chunk_at = r->now - CHUNK_RETRY;
    }
  if (r->role == RAFT_LEADER && (p = peer_of (r, m->from)) != NULL)
    replicate (r, p, false);
  return true;
}

/* ---- follower ---- */

static bool
install_received (raft_t *r, const snap_req_t *m)
{
  raft_snap_t s = { .index = m->last_index,
                    .term = m->last_term,
                    .members = m->members,
                    .data = buf_str (&r->in) };

  if (!write_install (r, &s))
    return false;
  if (!r->ops->restore (r->arg, &s, &r->err))
    return fail_stop (r);
  set_snapshot (r, &s);
  log_reset (r, s.index, s.term);
  r->commit = r->applied = s.index;
  buf_free (&r->in);
  r->in_total = 0;
  return members_from_log (r);
}

/* A chunk of a snapshot other than the one being received restarts the
   transfer.  */
static void
add_chunk (raft_t *r, const snap_req_t *m)
{
  if (m->from != r->in_from || m->term != r->in_leader_term
      || m->last_index != r->in_index || m->last_term != r->in_term
      || m->total != r->in_total)
    {
      buf_free (&r->in);
      r->in_from = m->from;
      r->in_leader_term = m->term;
      r->in_index = m->last_index;
      r->in_term = m->last_term;
      r->in_total = m->total;
    }
  if (m->offset == (int64_t)buf_len (&r->in)
      && m->data.n <= (size_t)(m->total - m->offset))
    buf_adds (&r->in, m->data);
}

/* A log that contains the snapshot's last entry is kept: later entries in it
   may count towards a quorum.  */
static bool
receive_snapshot (raft_t *r, const snap_req_t *m, snap_resp_t *a)
{
  if (m->last_index > r->commit && log_term (r, m->last_index) == m->last_term)
    {
      r->commit = m->last_index;
      if (!apply_committed (r))
        return false;
    }
  if (m->last_index <= r->commit)
    {
      a->done = true;
      return true;
    }
  add_chunk (r, m);
  a->offset = (int64_t)buf_len (&r->in);
  a->done = a->offset == m->total;
  return !a->done || install_received (r, m);
}

bool
recv_snap_req (raft_t *r, const snap_req_t *m)
{
  snap_resp_t a
      = { .from = r->id, .seq = m->seq, .last_index = m->last_index };

  if ((m->term == r->term && r->role == RAFT_LEADER) || m->total < 0
      || m->total > RAFT_MAX_SNAPSHOT || m->last_index <= 0)
    return true;
  if (m->term >= r->term)
    {
      if (!accept_leader (r, m->term, m->from))
        return false;
      if (!receive_snapshot (r, m, &a))
        return false;
    }
  a.term = r->term;
  send_to (r, m->from, MSG_SNAP_RESP, &a);
  return true;
}
