#include "sim.h"

#include <apr_general.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

struct packet
{
  packet_t *next;
  int from;
  int to;
  size_t n;
  char data[];
};

typedef struct
{
  int64_t id;
  int64_t term;
  int64_t vote;
} vote_record_t;

static void
report_violation (sim_t *s, const char *what, int64_t a, int64_t b)
{
  if (s->violation[0] == '\0')
    snprintf (s->violation, sizeof s->violation,
              "%.180s (%lld, %lld) at %lld ms", what, (long long)a,
              (long long)b, (long long)s->now);
}

/* ---- oracle ---- */

static void
check_vote (sim_t *s, int64_t id, int64_t term, int64_t vote)
{
  if (vote == 0)
    return;
  for (int i = s->votes->nelts - 1; i >= 0; i--)
    {
      vote_record_t *v = &APR_ARRAY_IDX (s->votes, i, vote_record_t);
      if (v->id == id && v->term == term && v->vote != vote)
        report_violation (s, "an identity voted twice in one term", id, term);
      if (v->id == id && v->term == term)
        return;
    }
  APR_ARRAY_PUSH (s->votes, vote_record_t) = (vote_record_t){ id, term, vote };
}

static void
check_chain (node_t *n, int64_t index)
{
  sim_t *s = n->sim;

  if (index >= SIM_LOG)
    return;
  if (s->chain[index] == 0)
    s->chain[index] = n->chain;
  if (s->chain[index] != n->chain)
    report_violation (s, "applied sequences differ at an index", index,
                      n->slot);
  if (index > s->committed)
    s->committed = index;
}

static void
check_leader (node_t *n)
{
  sim_t *s = n->sim;
  int64_t term = raft_term (n->raft);
  bool leads = raft_role (n->raft) == RAFT_LEADER;

  if (leads && !n->was_leader)
    {
      for (int i = 0; i < s->leaders->nelts; i++)
        {
          vote_record_t *l = &APR_ARRAY_IDX (s->leaders, i, vote_record_t);
          if (l->term == term && l->id != n->id)
            report_violation (s, "two leaders in one term", term, n->slot);
        }
      APR_ARRAY_PUSH (s->leaders, vote_record_t)
          = (vote_record_t){ n->id, term, 0 };
      if (term >= s->max_term && raft_last (n->raft) < s->committed)
        report_violation (s, "a leader lacks committed entries", term,
                          s->committed);
    }
  if (leads && term > s->max_term)
    s->max_term = term;
  n->was_leader = leads;
}

static void
check_event (node_t *n, bool ok, const err_t *e)
{
  char line[256];

  if (!ok)
    {
      err_line (e, line, sizeof line);
      report_violation (n->sim, line, n->slot, 0);
      return;
    }
  check_leader (n);
}

/* ---- callbacks of an instance ---- */

static int
slot_of (sim_t *s, const node_t *n, int64_t id)
{
  const member_t *m = raft_member (n->raft, id);
  int64_t slot;

  if (m && str_int (m->address, &slot) && slot >= 0 && slot < s->n)
    return (int)slot;
  return -1;
}

static void
sim_send (void *arg, int64_t to, msgtype_t type, const void *msg)
{
  node_t *n = arg;
  sim_t *s = n->sim;
  bool resp = type == MSG_VOTE_RESP || type == MSG_APPEND_RESP
              || type == MSG_SNAP_RESP;
  int slot = resp ? s->reply_to : slot_of (s, n, to);
  buf_t b;

  if (slot < 0 || slot == n->slot)
    return;
  buf_init (&b);
  rpc_pack (&b, type, msg);
  packet_t *p = malloc (sizeof *p + buf_len (&b));
  if (p == NULL)
    abort ();
  p->next = NULL;
  p->from = n->slot;
  p->to = slot;
  p->n = buf_len (&b);
  memcpy (p->data, b.p + b.off, p->n);
  buf_free (&b);
  *s->tail = p;
  s->tail = &p->next;
  s->queued++;
}

static bool
sim_save_vote (void *arg, int64_t term, int64_t vote, err_t *e)
{
  node_t *n = arg;

  /* A vote whose write failed is not granted.  */
  if (!store_vote (n->store, term, vote, e))
    return false;
  check_vote (n->sim, n->id, term, vote);
  return true;
}

static bool
sim_save_entries (void *arg, const log_entry_t *v, size_t k, err_t *e)
{
  return store_entries (((node_t *)arg)->store, v, k, e);
}

static bool
sim_save_snapshot (void *arg, const raft_snap_t *snap, err_t *e)
{
  return store_snapshot (((node_t *)arg)->store, snap, e);
}

static bool
sim_install (void *arg, const raft_snap_t *snap, err_t *e)
{
  return store_install (((node_t *)arg)->store, snap, e);
}

static void
sim_apply (void *arg, const log_entry_t *v)
{
  node_t *n = arg;
  uint64_t h[4]
      = { n->chain, (uint64_t)v->term, (uint64_t)v->kind, str_hash (v->data) };

  if (v->index != n->applied + 1)
    report_violation (n->sim, "an index was skipped or applied twice",
                      v->index, n->applied);
  n->applied = v->index;
  n->chain = str_hash ((str_t){ (char *)h, sizeof h }) | 1;
  check_chain (n, v->index);
}

static void
sim_snapshot (void *arg, buf_t *out)
{
  const node_t *n = arg;

  buf_add (out, &n->chain, sizeof n->chain);
  memset (buf_room (out, n->sim->padding), (int)(n->chain & 0x7f),
          n->sim->padding);
  out->n += n->sim->padding;
}

static bool
sim_restore (void *arg, const raft_snap_t *snap, err_t *e)
{
  node_t *n = arg;

  if (snap->data.n < sizeof n->chain)
    return err_set (e, ERR_CORRUPT, "snapshot", "too short");
  memcpy (&n->chain, snap->data.p, sizeof n->chain);
  n->applied = snap->index;
  check_chain (n, snap->index);
  return true;
}

static const raft_ops_t sim_ops
    = { sim_send,    sim_save_vote, sim_save_entries, sim_save_snapshot,
        sim_install, sim_apply,     sim_snapshot,     sim_restore };

/* ---- instances ---- */

void
sim_crash (sim_t *s, int slot)
{
  node_t *n = &s->node[slot];

  if (n->raft == NULL)
    return;
  apr_pool_destroy (n->pool);
  n->raft = NULL;
  n->frozen = n->was_leader = false;
  memfs_crash (n->disk, &s->rng);
}

bool
sim_start (sim_t *s, int slot)
{
  node_t *n = &s->node[slot];
  raft_saved_t saved;
  apr_pool_t *tmp;
  err_t e = { 0 };

  if (n->raft)
    return true;
  apr_pool_create (&n->pool, NULL);
  apr_pool_create (&tmp, n->pool);
  n->chain = 1;
  n->applied = 0;
  n->store
      = store_open (n->pool, tmp, &memfs_ops, n->disk, s->next_id, &saved, &e);
  if (n->store)
    {
      if (saved.id == s->next_id)
        s->next_id++;
      n->id = saved.id;
      rng_init (&n->rng, rng_u64 (&s->rng));
      n->raft = raft_new (n->pool, &s->conf, &sim_ops, n, &saved, &n->rng,
                          s->now, &e);
    }
  if (n->raft == NULL)
    {
      apr_pool_destroy (n->pool);
      check_event (n, false, &e);
      return false;
    }
  apr_pool_destroy (tmp);
  return true;
}

void
sim_fail_disk (sim_t *s, int slot, int k)
{
  if (s->node[slot].raft)
    memfs_fail (s->node[slot].disk, k);
}

void
sim_wipe_disk (sim_t *s, int slot)
{
  sim_crash (s, slot);
  memfs_wipe (s->node[slot].disk);
}

static member_t
member_of (const node_t *n)
{
  static char digit[SIM_NODES][2];

  digit[n->slot][0] = (char)('0' + n->slot);
  str_t name = { digit[n->slot], 1 };
  return (member_t){ .id = n->id, .name = name, .address = name };
}

sim_t *
sim_new (uint64_t seed, int n, int members)
{
  member_t m[SIM_NODES];
  apr_pool_t *pool;
  err_t e = { 0 };

  apr_initialize ();
  apr_pool_create (&pool, NULL);
  sim_t *s = calloc (1, sizeof *s);
  if (s == NULL)
    abort ();
  s->pool = pool;
  s->n = n;
  s->tail = &s->queue;
  s->reply_to = -1;
  s->next_id = 1;
  s->now = 1000;
  s->padding = 600;
  s->conf = (raft_conf_t){ .compact_after = 8 + (int64_t)(seed & 16),
                           .trail = 3,
                           .batch = seed & 1 };
  rng_init (&s->rng, seed);
  s->leaders = apr_array_make (pool, 16, sizeof (vote_record_t));
  s->votes = apr_array_make (pool, 64, sizeof (vote_record_t));
  for (int i = 0; i < n; i++)
    {
      s->node[i] = (node_t){ .sim = s, .slot = i, .disk = memfs_new () };
      sim_start (s, i);
      m[i] = member_of (&s->node[i]);
    }
  bool ok = raft_bootstrap (s->node[0].raft, m, (size_t)members, s->now, &e);
  check_event (&s->node[0], ok, &e);
  return s;
}

void
sim_free (sim_t *s)
{
  while (s->queue)
    sim_drop (s, 0);
  for (int i = 0; i < s->n; i++)
    {
      if (s->node[i].raft)
        apr_pool_destroy (s->node[i].pool);
      memfs_free (s->node[i].disk);
    }
  apr_pool_destroy (s->pool);
  free (s);
}

/* ---- network and time ---- */

static packet_t **
packet_at (sim_t *s, int k)
{
  packet_t **p = &s->queue;

  while (*p && k-- > 0)
    p = &(*p)->next;
  return p;
}

static void
unlink_packet (sim_t *s, packet_t **p)
{
  packet_t *x = *p;

  *p = x->next;
  if (*p == NULL)
    s->tail = p;
  s->queued--;
  free (x);
}

void
sim_drop (sim_t *s, int k)
{
  packet_t **p = packet_at (s, k);

  if (*p)
    unlink_packet (s, p);
}

static void
receive (sim_t *s, const packet_t *x)
{
  node_t *n = &s->node[x->to];
  apr_pool_t *pool;
  msgtype_t type;
  err_t e = { 0 };

  if (n->raft == NULL || s->cut[x->from][x->to])
    return;
  apr_pool_create (&pool, s->pool);
  void *m = rpc_decode (pool, (str_t){ (char *)x->data, x->n }, &type, &e);
  s->reply_to = x->from;
  check_event (n, m && raft_recv (n->raft, type, m, s->now, &e), &e);
  s->reply_to = -1;
  apr_pool_destroy (pool);
}

bool
sim_deliver (sim_t *s, int k, bool keep)
{
  packet_t **p = packet_at (s, k);

  if (*p == NULL || s->node[(*p)->to].frozen)
    return false;
  /* receive only appends packets after this one.  */
  receive (s, *p);
  if (!keep)
    unlink_packet (s, p);
  return true;
}

void
sim_tick (sim_t *s, msec_t ms)
{
  s->now += ms;
  for (int i = 0; i < s->n; i++)
    {
      node_t *n = &s->node[i];
      err_t e;
      if (n->raft && !n->frozen)
        check_event (n, raft_tick (n->raft, s->now, &e), &e);
    }
}

void
sim_run (sim_t *s, msec_t ms)
{
  msec_t end = s->now + ms;

  while (s->now < end && s->violation[0] == '\0')
    {
      int k = 0;
      for (int left = s->queued; left > 0; left--)
        k += !sim_deliver (s, k, false);
      sim_tick (s, 4);
    }
}

void
sim_cut (sim_t *s, int a, int b, bool cut)
{
  s->cut[a][b] = s->cut[b][a] = cut;
}

void
sim_isolate (sim_t *s, int slot, bool cut)
{
  for (int i = 0; i < s->n; i++)
    if (i != slot)
      sim_cut (s, slot, i, cut);
}

/* ---- leader and records ---- */

int
sim_leader (sim_t *s)
{
  int best = -1;

  for (int i = 0; i < s->n; i++)
    if (s->node[i].raft && raft_role (s->node[i].raft) == RAFT_LEADER
        && (best < 0
            || raft_term (s->node[i].raft) > raft_term (s->node[best].raft)))
      best = i;
  return best;
}

int
sim_wait_leader (sim_t *s, msec_t ms)
{
  msec_t end = s->now + ms;
  int l = -1;

  while (s->now < end && s->violation[0] == '\0')
    {
      sim_run (s, 10);
      l = sim_leader (s);
      if (l >= 0 && raft_leader_ready (s->node[l].raft)
          && s->now - raft_quorum_at (s->node[l].raft) < 100)
        return l;
    }
  return -1;
}

void
sim_join (sim_t *s)
{
  int l = sim_leader (s);

  for (int i = 0; l >= 0 && i < s->n; i++)
    {
      node_t *n = &s->node[i];
      member_t m = member_of (n);
      if (n->raft && !s->cut[i][l] && !s->node[l].frozen
          && raft_member (s->node[l].raft, n->id) == NULL)
        raft_members (s->node[l].raft, MEMBER_ADD, &m, s->now, NULL);
    }
}

bool
sim_propose (sim_t *s, int slot, str_t record)
{
  node_t *n = &s->node[slot];
  err_t e = { 0 };

  if (n->raft == NULL || n->frozen)
    return false;
  bool ok = raft_propose (n->raft, record, s->now, NULL, &e);
  check_event (n, ok || e.code == ERR_NOT_LEADER || e.code == ERR_FULL, &e);
  return ok;
}

static bool
all_applied (sim_t *s, int leader, int64_t index)
{
  for (int i = 0; i < s->n; i++)
    if (raft_member (s->node[leader].raft, s->node[i].id)
        && s->node[i].applied < index)
      return false;
  return true;
}

void
sim_settle (sim_t *s, msec_t ms)
{
  msec_t end = s->now + ms;
  int64_t want = 0;

  memset (s->cut, 0, sizeof s->cut);
  for (int i = 0; i < s->n; i++)
    {
      s->node[i].frozen = false;
      memfs_fail (s->node[i].disk, 0);
      sim_start (s, i);
    }
  while (s->now < end && s->violation[0] == '\0')
    {
      int l = sim_wait_leader (s, end - s->now);
      if (l < 0)
        break;
      sim_join (s);
      if (want == 0 && sim_propose (s, l, STR ("settle")))
        want = raft_last (s->node[l].raft);
      if (want && s->committed >= want && all_applied (s, l, want))
        return;
    }
  report_violation (s, "no record reached every member", want, s->committed);
}
