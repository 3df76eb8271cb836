#include "local.h"

#include <stdlib.h>

/* Number of entries from index FROM to UPTO that fit into one message.  */
static size_t
batch_count (raft_t *r, int64_t from, int64_t upto)
{
  size_t n = 0, bytes = 0;

  for (int64_t i = from; i <= upto; i++)
    {
      bytes += log_at (r, i)->data.n;
      if (n && bytes > r->conf.batch)
        break;
      n++;
    }
  return n;
}

static void
send_append (raft_t *r, peer_t *p, bool heartbeat)
{
  int64_t upto = log_last (r);
  int64_t known = p->match ? p->match : p->next;
  size_t n;

  if (upto > known + WINDOW)
    upto = known + WINDOW;
  n = p->probing ? 0 : batch_count (r, p->next, upto);
  if (n == 0 && !heartbeat)
    return;
  append_req_t m = { .term = r->term,
                     .from = r->id,
                     .prev_index = p->next - 1,
                     .prev_term = log_term (r, p->next - 1),
                     .commit = r->commit,
                     .seq = r->now,
                     .entries = { n ? log_at (r, p->next) : NULL, n } };
  p->next += (int64_t)n;
  send_to (r, p->id, MSG_APPEND_REQ, &m);
}

void
replicate (raft_t *r, peer_t *p, bool heartbeat)
{
  if (p->snap == NULL && p->next <= r->base && r->snap)
    {
      p->snap = r->snap;
      p->snap->refs++;
      p->off = 0;
      p->chunk_at = r->now - CHUNK_RETRY;
    }
  if (p->snap)
    send_snapshot (r, p, heartbeat);
  else
    send_append (r, p, heartbeat);
}

void
replicate_all (raft_t *r, bool heartbeat)
{
  for (int i = 0; i < r->npeer; i++)
    replicate (r, &r->peer[i], heartbeat);
}

/* ---- follower ---- */

/* First uncommitted index whose entry has the term of entry I: the leader then
   skips all conflicting entries of a term at once.  */
static int64_t
term_start (const raft_t *r, int64_t i)
{
  int64_t term = log_term (r, i);

  while (i > r->commit + 1 && log_term (r, i - 1) == term)
    i--;
  return i;
}

/* Position in M of the first entry that is missing from the log or differs in
   term; number of entries when there is none.  */
static size_t
first_missing (const raft_t *r, const append_req_t *m)
{
  size_t i;

  for (i = 0; i < m->entries.n; i++)
    {
      const log_entry_t *v = LIST_AT (m->entries, log_entry_t, i);
      if (v->index > r->base && log_term (r, v->index) != v->term)
        break;
    }
  return i;
}

static bool
well_formed (const append_req_t *m)
{
  for (size_t i = 0; i < m->entries.n; i++)
    if (LIST_AT (m->entries, log_entry_t, i)->index
        != m->prev_index + 1 + (int64_t)i)
      return false;
  return m->prev_index >= 0;
}

static bool
accept_entries (raft_t *r, const append_req_t *m, append_resp_t *a)
{
  int64_t prev = log_term (r, m->prev_index);

  if (m->prev_index >= r->base && prev != m->prev_term)
    {
      a->hint = prev < 0 ? log_last (r) + 1 : term_start (r, m->prev_index);
      return true;
    }
  size_t i = first_missing (r, m);
  if (i < m->entries.n
      && !log_append (r, &LIST_AT (m->entries, log_entry_t, i)[0],
                      m->entries.n - i))
    return false;
  a->ok = true;
  a->match = m->prev_index + (int64_t)m->entries.n;
  r->leader_commit = m->commit;
  int64_t commit = m->commit < a->match ? m->commit : a->match;
  if (commit > r->commit)
    r->commit = commit;
  return apply_committed (r);
}

bool
recv_append_req (raft_t *r, const append_req_t *m)
{
  append_resp_t a = { .from = r->id, .seq = m->seq };

  if (!well_formed (m) || (m->term == r->term && r->role == RAFT_LEADER))
    return true;
  if (m->term >= r->term)
    {
      if (!accept_leader (r, m->term, m->from))
        return false;
      if (!accept_entries (r, m, &a))
        return false;
    }
  a.term = r->term;
  send_to (r, m->from, MSG_APPEND_RESP, &a);
  return true;
}

/* ---- leader ---- */

/* Moves P->next back after a rejected append.  The hint skips a whole term and
   can lie before entries that are known to match.  Returns false for an
   outdated rejection.  */
static bool
lower_next (peer_t *p, int64_t hint)
{
  int64_t next = hint > p->match ? hint : p->match + 1;

  if (next >= p->next)
    return false;
  p->probing = true;
  p->next = next;
  return true;
}

bool
recv_append_resp (raft_t *r, const append_resp_t *m)
{
  if (m->term > r->term)
    return become_follower (r, m->term);
  peer_t *p = peer_of (r, m->from);
  if (r->role != RAFT_LEADER || m->term < r->term || p == NULL
      || m->match > log_last (r))
    return true;
  if (m->seq > p->acked && m->seq <= r->now)
    p->acked = m->seq;
  if (p->snap)
    return true;
  if (m->ok)
    {
      p->probing = false;
      if (m->match > p->match)
        p->match = m->match;
      if (p->next <= p->match)
        p->next = p->match + 1;
    }
  else if (!lower_next (p, m->hint))
    return true;
  if (!advance_commit (r))
    return false;
  /* Applying an entry can make the leader step down.  */
  if (r->role == RAFT_LEADER && (p = peer_of (r, m->from)) != NULL)
    replicate (r, p, p->probing);
  return true;
}

static int
descending (const void *a, const void *b)
{
  int64_t x = *(const int64_t *)a;
  int64_t y = *(const int64_t *)b;

  return (x < y) - (x > y);
}

bool
advance_commit (raft_t *r)
{
  int64_t at[PEERS_MAX + 1];
  int n = 0;

  if (is_voter (r, r->id))
    at[n++] = log_last (r);
  for (int i = 0; i < r->npeer; i++)
    if (is_voter (r, r->peer[i].id))
      at[n++] = r->peer[i].match;
  if (n < quorum (r) || n == 0)
    return true;
  qsort (at, (size_t)n, sizeof *at, descending);
  int64_t commit = at[quorum (r) - 1];
  /* An entry of an older term can be stored by a quorum and still be replaced,
     so only entries of the current term are committed by counting.  */
  bool current = log_term (r, commit) == r->term;
#ifdef FAULT_COMMIT_OLD_TERM
  current = true;
#endif
  if (commit <= r->commit || !current)
    return true;
  r->commit = commit;
  return apply_committed (r);
}

bool
apply_committed (raft_t *r)
{
  if (r->applying)
    return !r->stopped;
  r->applying = true;
  for (int i = 0; i < APPLY_MAX && r->applied < r->commit && !r->stopped; i++)
    {
      /* apply may propose, which can move the array of entries but not their
         data.  */
      log_entry_t v = *log_at (r, r->applied + 1);
      r->applied++;
      r->ops->apply (r->arg, &v);
    }
  r->applying = false;
  if (r->stopped)
    return false;
  if (r->role == RAFT_LEADER && !is_voter (r, r->id)
      && r->commit >= r->members_index)
    step_down (r);
  return compact (r);
}
