#include "store.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

/* `state` holds identity, term and vote; `log-N` hold the entries, numbered in
   order of creation; `snap-N` is a snapshot up to and including entry N.  All
   numbers in file headers are little-endian.  */

void
put64 (unsigned char *p, uint64_t v)
{
  for (int i = 0; i < 8; i++)
    p[i] = (unsigned char)(v >> (8 * i));
}

uint64_t
get64 (const unsigned char *p)
{
  uint64_t v = 0;

  for (int i = 7; i >= 0; i--)
    v = v << 8 | p[i];
  return v;
}

/* ---- records ---- */

void
record_put (buf_t *b, msgtype_t type, const void *msg)
{
  unsigned char head[RECORD_HEADER_SIZE] = { 0 };
  size_t at = buf_len (b);

  buf_add (b, head, sizeof head);
  rpc_pack (b, type, msg);
  unsigned char *p = (unsigned char *)b->p + b->off + at;
  size_t n = buf_len (b) - at - RECORD_HEADER_SIZE;
  memcpy (p, RECORD_MAGIC, 4);
  for (int i = 0; i < 4; i++)
    p[4 + i] = (unsigned char)(n >> (8 * i));
  put64 (p + 8, record_sum (p, n));
}

uint64_t
record_sum (const unsigned char *p, size_t n)
{
  return XXH3_64bits_withSeed (p + RECORD_HEADER_SIZE, n, n);
}

size_t
record_len (str_t s, size_t at)
{
  const unsigned char *p = (const unsigned char *)s.p + at;
  size_t n = 0;

  if (s.n - at < RECORD_HEADER_SIZE || memcmp (p, RECORD_MAGIC, 4) != 0)
    return 0;
  for (int i = 3; i >= 0; i--)
    n = n << 8 | p[4 + i];
  if (n > s.n - at - RECORD_HEADER_SIZE || get64 (p + 8) != record_sum (p, n))
    return 0;
  return n + RECORD_HEADER_SIZE;
}

void *
record_decode (store_t *s, str_t file, size_t at, msgtype_t type, err_t *e)
{
  size_t n = record_len (file, at);
  msgtype_t got;

  if (n == 0)
    {
      err_set (e, ERR_CORRUPT, "record", "bad checksum");
      return NULL;
    }
  void *m = rpc_decode (
      s->pool,
      (str_t){ file.p + at + RECORD_HEADER_SIZE, n - RECORD_HEADER_SIZE },
      &got, e);
  if (m && got != type)
    {
      err_set (e, ERR_CORRUPT, "record", "holds %s", rpc_name (got));
      m = NULL;
    }
  return m;
}

/* ---- atomic replacement of a file ---- */

bool
store_replace (store_t *s, const char *name, msgtype_t type, const void *msg,
               err_t *e)
{
  buf_t b;

  buf_init (&b);
  record_put (&b, type, msg);
  bool ok = s->fs->append (s->arg, "tmp", buf_str (&b), SYNC, e)
            && s->fs->rename (s->arg, "tmp", name, e)
            && s->fs->sync_dir (s->arg, e);
  buf_free (&b);
  s->leftovers |= !ok;
  return ok;
}

/* ---- file names ---- */

bool
parse_name (const char *name, const char *prefix, int64_t *n)
{
  size_t k = strlen (prefix);
  char *end;

  if (strncmp (name, prefix, k) != 0 || strlen (name) != k + 16)
    return false;
  *n = (int64_t)strtoull (name + k, &end, 16);
  return *end == '\0';
}

void
segment_name (char name[32], int64_t seq)
{
  snprintf (name, 32, "log-%016llx", (unsigned long long)seq);
}

void
snapshot_name (char name[32], int64_t index)
{
  snprintf (name, 32, "snap-%016llx", (unsigned long long)index);
}

/* ---- writes of raft_ops_t ---- */

bool
store_vote (store_t *s, int64_t term, int64_t vote, err_t *e)
{
  raft_state_t st = { .id = s->id, .term = term, .vote = vote };

  return store_cleanup (s, e)
         && store_replace (s, "state", MSG_RAFT_STATE, &st, e);
}

bool
segment_begin (store_t *s, int64_t base, int64_t base_term, bool reset,
               err_t *e)
{
  unsigned char h[SEGMENT_HEADER_SIZE] = { 0 };
  char name[32];

  memcpy (h, SEGMENT_MAGIC, 8);
  put64 (h + 8, (uint64_t)base);
  put64 (h + 16, (uint64_t)base_term);
  put64 (h + 24, reset);
  put64 (h + 32, XXH3_64bits (h, 32));
  segment_name (name, s->last_seq + 1);
  if (!s->fs->append (s->arg, name, (str_t){ (char *)h, sizeof h }, SYNC, e)
      || !s->fs->sync_dir (s->arg, e))
    {
      s->leftovers = true;
      return false;
    }
  s->last_seq++;
  s->size = SEGMENT_HEADER_SIZE;
  APR_ARRAY_PUSH (s->segments, segment_t)
      = (segment_t){ s->last_seq, base, base_term, reset };
  return true;
}

bool
store_entries (store_t *s, const log_entry_t *v, size_t n, err_t *e)
{
  raft_record_t rec = { .entries = { (void *)v, n } };
  char name[32];
  buf_t b;

  if (n == 0)
    return true;
  if (!store_cleanup (s, e))
    return false;
  if (s->size > SEGMENT_MAX_SIZE
      && !segment_begin (s, s->last, s->last_term, false, e))
    return false;
  buf_init (&b);
  record_put (&b, MSG_RAFT_RECORD, &rec);
  segment_name (name, s->last_seq);
  bool ok = s->fs->append (s->arg, name, buf_str (&b), SYNC, e);
  if (ok)
    {
      s->size += buf_len (&b);
      s->last = v[n - 1].index;
      s->last_term = v[n - 1].term;
    }
  s->torn |= !ok;
  buf_free (&b);
  return ok;
}

bool
store_prune (store_t *s, err_t *e)
{
  apr_array_header_t *v = s->segments;
  char name[32];
  int k = 0;

  for (int i = 1; i < v->nelts; i++)
    if (APR_ARRAY_IDX (v, i, segment_t).base <= s->snap_index
        || APR_ARRAY_IDX (v, i, segment_t).reset)
      k = i;
  for (; k > 0; k--)
    {
      segment_name (name, APR_ARRAY_IDX (v, 0, segment_t).seq);
      if (!s->fs->remove (s->arg, name, e))
        return false;
      v->nelts--;
      memmove (v->elts, v->elts + v->elt_size,
               (size_t)v->nelts * (size_t)v->elt_size);
    }
  return s->fs->sync_dir (s->arg, e);
}

static bool
save_snapshot_file (store_t *s, const raft_snap_t *snap, err_t *e)
{
  char name[32];

  snapshot_name (name, snap->index);
  return store_cleanup (s, e)
         && store_replace (s, name, MSG_RAFT_SNAP, snap, e);
}

/* Makes the saved snapshot at INDEX the current one.  What it replaces does no
   harm: if it cannot be removed now, a later write removes it.  */
static void
set_current_snapshot (store_t *s, int64_t index)
{
  char name[32];
  int64_t old = s->snap_index;
  err_t e = { 0 };

  s->snap_index = index;
  snapshot_name (name, old);
  if (!store_prune (s, &e)
      || (old && old != index
          && !(s->fs->remove (s->arg, name, &e)
               && s->fs->sync_dir (s->arg, &e))))
    s->leftovers = true;
}

bool
store_snapshot (store_t *s, const raft_snap_t *snap, err_t *e)
{
  if (!save_snapshot_file (s, snap, e)
      || !segment_begin (s, s->last, s->last_term, false, e))
    return false;
  set_current_snapshot (s, snap->index);
  return true;
}

bool
store_install (store_t *s, const raft_snap_t *snap, err_t *e)
{
  if (!save_snapshot_file (s, snap, e)
      || !segment_begin (s, snap->index, snap->term, true, e))
    return false;
  s->last = snap->index;
  s->last_term = snap->term;
  set_current_snapshot (s, snap->index);
  return true;
}
