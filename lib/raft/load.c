#include "store.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

typedef struct
{
  store_t *s;
  raft_saved_t *out;
  apr_array_header_t *names;
  apr_array_header_t *entries; /* log_entry_t after BASE */
  int64_t base;
  int64_t base_term;
  bool has_state;
} load_t;

static bool
corrupt (err_t *e, const char *file, size_t offset, const char *what)
{
  err_set (e, ERR_CORRUPT, file, "%s at offset %zu", what, offset);
  if (e)
    e->offset = (int64_t)offset;
  return false;
}

static bool
read_file (load_t *l, const char *name, str_t *out, err_t *e)
{
  buf_t b;

  buf_init (&b);
  bool ok = l->s->fs->read (l->s->arg, name, &b, e);
  if (ok)
    *out = str_dup (l->s->pool, buf_str (&b));
  buf_free (&b);
  return ok;
}

/* Reads a file that must hold exactly one record.  */
static void *
read_single_record (load_t *l, const char *name, msgtype_t type, err_t *e)
{
  str_t s;
  err_t inner = { 0 };

  if (!read_file (l, name, &s, e))
    return NULL;
  void *m = record_decode (l->s, s, 0, type, &inner);
  if (m && record_len (s, 0) == s.n)
    return m;
  corrupt (e, name, m ? record_len (s, 0) : 0,
           m ? "unexpected bytes after the record" : inner.detail);
  return NULL;
}

static const char *
name_at (load_t *l, int i)
{
  return APR_ARRAY_IDX (l->names, i, char *);
}

static bool
load_state (load_t *l, err_t *e)
{
  for (int i = 0; i < l->names->nelts; i++)
    if (strcmp (name_at (l, i), "state") == 0)
      l->has_state = true;
  if (!l->has_state)
    return true;
  raft_state_t *st = read_single_record (l, "state", MSG_RAFT_STATE, e);
  if (st == NULL)
    return false;
  l->s->id = l->out->id = st->id;
  l->out->term = st->term;
  l->out->vote = st->vote;
  return true;
}

/* The newest snapshot is the current one; older ones were left by a crash.  */
static bool
load_snapshot (load_t *l, err_t *e)
{
  const char *newest = NULL;
  int64_t n, index = 0;

  for (int i = 0; i < l->names->nelts; i++)
    if (parse_name (name_at (l, i), "snap-", &n) && n > index)
      {
        index = n;
        newest = name_at (l, i);
      }
  if (newest == NULL)
    return true;
  raft_snap_t *snap = read_single_record (l, newest, MSG_RAFT_SNAP, e);
  if (snap == NULL)
    return false;
  if (snap->index != index)
    return corrupt (e, newest, 0, "snapshot index differs from the file name");
  l->out->snap = *snap;
  l->s->snap_index = index;
  return true;
}

static int64_t
last_index (const load_t *l)
{
  return l->base + l->entries->nelts;
}

static int64_t
term_at (const load_t *l, int64_t i)
{
  if (i == l->base)
    return l->base_term;
  if (i < l->base || i > last_index (l))
    return -1;
  return APR_ARRAY_IDX (l->entries, (int)(i - l->base - 1), log_entry_t).term;
}

/* An entry replaces those at its index and after it.  Entries before a
   segment's base can be replaced as well, since a segment may start after
   uncommitted entries.  If no earlier segment is left, the snapshot covers
   that base.  */
static bool
add_record (load_t *l, const raft_record_t *rec)
{
  for (size_t i = 0; i < rec->entries.n; i++)
    {
      const log_entry_t *v = LIST_AT (rec->entries, log_entry_t, i);
      if (v->index <= 0 || v->index > last_index (l) + 1)
        return false;
      if (v->index <= l->base)
        {
          l->base = v->index - 1;
          l->base_term = -1;
        }
      l->entries->nelts = (int)(v->index - l->base - 1);
      APR_ARRAY_PUSH (l->entries, log_entry_t) = *v;
    }
  return true;
}

/* Each record is synced before the next one is written, so only the last one
   can be torn: a valid record after a damaged one means corruption.  */
static bool
record_follows (str_t s, size_t at)
{
  for (at++; at + RECORD_HEADER_SIZE <= s.n; at++)
    if (record_len (s, at))
      return true;
  return false;
}

static bool
load_records (load_t *l, const char *name, str_t s, bool last, err_t *e)
{
  size_t at = SEGMENT_HEADER_SIZE;
  err_t inner = { 0 };

  while (at < s.n)
    {
      size_t n = record_len (s, at);
      if (n == 0 && last && !record_follows (s, at))
        return l->s->fs->truncate (l->s->arg, name, (int64_t)(l->s->size = at),
                                   e);
      if (n == 0)
        return corrupt (e, name, at, "damaged record");
      raft_record_t *rec
          = record_decode (l->s, s, at, MSG_RAFT_RECORD, &inner);
      if (rec == NULL)
        return corrupt (e, name, at, inner.detail);
      if (!add_record (l, rec))
        return corrupt (e, name, at, "entry out of order");
      at += n;
    }
  l->s->size = at;
  return true;
}

static bool
header_ok (str_t s)
{
  const unsigned char *p = (const unsigned char *)s.p;

  return s.n >= SEGMENT_HEADER_SIZE && memcmp (p, SEGMENT_MAGIC, 8) == 0
         && get64 (p + 32) == XXH3_64bits (p, 32);
}

/* Checks that the segment continues the entries loaded so far.  Entries before
   a base that the snapshot covers are dropped, since a crash can leave some of
   the segments that were being removed.  */
static bool
check_base (load_t *l, const char *name, const segment_t *g, err_t *e)
{
  if (l->s->segments->nelts == 0 || g->reset || g->base <= l->out->snap.index)
    {
      l->base = g->base;
      l->base_term = g->base_term;
      l->entries->nelts = 0;
      return g->base <= l->out->snap.index
             || corrupt (e, name, 8,
                         "the entries before this segment are missing");
    }
  const segment_t *prev
      = &APR_ARRAY_IDX (l->s->segments, l->s->segments->nelts - 1, segment_t);
  if (g->seq != prev->seq + 1)
    return corrupt (e, name, 0, "the preceding segment is missing");
  if (g->base != last_index (l) || g->base_term != term_at (l, g->base))
    return corrupt (e, name, 8, "does not continue the preceding segment");
  return true;
}

static bool
load_segment (load_t *l, const char *name, int64_t seq, bool last, err_t *e)
{
  str_t s;

  if (!read_file (l, name, &s, e))
    return false;
  if (!header_ok (s))
    {
      /* A crash can leave the header of a new segment incomplete.  */
      if (!last || s.n > SEGMENT_HEADER_SIZE || l->s->segments->nelts == 0)
        return corrupt (e, name, 0, "damaged header");
      l->s->size = SEGMENT_MAX_SIZE + 1;
      return l->s->fs->remove (l->s->arg, name, e);
    }
  const unsigned char *p = (const unsigned char *)s.p;
  segment_t g = { seq, (int64_t)get64 (p + 8), (int64_t)get64 (p + 16),
                  get64 (p + 24) != 0 };
  if (!check_base (l, name, &g, e))
    return false;
  APR_ARRAY_PUSH (l->s->segments, segment_t) = g;
  l->s->last_seq = seq;
  return load_records (l, name, s, last, e);
}

static int
compare_names (const void *a, const void *b)
{
  return strcmp (*(char *const *)a, *(char *const *)b);
}

static bool
load_log (load_t *l, err_t *e)
{
  apr_array_header_t *a = apr_array_make (l->s->pool, 8, sizeof (char *));
  int64_t seq = 0;

  for (int i = 0; i < l->names->nelts; i++)
    if (parse_name (name_at (l, i), "log-", &seq))
      APR_ARRAY_PUSH (a, const char *) = name_at (l, i);
  qsort (a->elts, (size_t)a->nelts, sizeof (char *), compare_names);
  for (int i = 0; i < a->nelts; i++)
    {
      const char *name = APR_ARRAY_IDX (a, i, const char *);
      parse_name (name, "log-", &seq);
      if (!load_segment (l, name, seq, i == a->nelts - 1, e))
        return false;
    }
  return true;
}

/* Combines snapshot and log.  */
static bool
combine (load_t *l, err_t *e)
{
  raft_saved_t *o = l->out;
  int64_t skip = o->snap.index - l->base;

  if (l->s->segments->nelts == 0)
    return corrupt (e, "log-0000000000000001", 0, "the log is missing");
  l->s->last = last_index (l);
  l->s->last_term = term_at (l, l->s->last);
  if (o->snap.index && term_at (l, o->snap.index) != o->snap.term)
    {
      /* The process crashed after saving a received snapshot and before
         resetting the log.  */
      l->s->last = o->snap.index;
      l->s->last_term = o->snap.term;
      return segment_begin (l->s, l->s->last, l->s->last_term, true, e);
    }
  o->entries.n = (size_t)(l->entries->nelts - skip);
  o->entries.v = (log_entry_t *)(void *)l->entries->elts + skip;
  return true;
}

/* Removes files left behind by crashes.  */
static bool
remove_obsolete (load_t *l, err_t *e)
{
  int64_t n, keep = l->s->snap_index;

  for (int i = 0; i < l->names->nelts; i++)
    if (strcmp (name_at (l, i), "tmp") == 0
        || (parse_name (name_at (l, i), "snap-", &n) && n < keep))
      if (!l->s->fs->remove (l->s->arg, name_at (l, i), e))
        return false;
  return keep == 0 || store_prune (l->s, e);
}

/* Creates a new store.  A crash during this leaves at most an empty first
   segment.  */
static bool
create_store (load_t *l, int64_t id, err_t *e)
{
  int64_t n;
  str_t s;

  for (int i = 0; i < l->names->nelts; i++)
    {
      const char *name = name_at (l, i);
      if (parse_name (name, "snap-", &n))
        return corrupt (e, "state", 0, "missing, but a snapshot exists");
      if (!parse_name (name, "log-", &n) && strcmp (name, "tmp") != 0)
        continue;
      if (!read_file (l, name, &s, e))
        return false;
      if (name[0] == 'l' && s.n > SEGMENT_HEADER_SIZE)
        return corrupt (e, "state", 0, "missing, but log entries exist");
      if (!l->s->fs->remove (l->s->arg, name, e))
        return false;
    }
  l->s->id = l->out->id = id;
  return segment_begin (l->s, 0, 0, false, e) && store_vote (l->s, 0, 0, e);
}

store_t *
store_open (apr_pool_t *pool, apr_pool_t *tmp, const store_fs_t *fs, void *arg,
            int64_t new_id, raft_saved_t *out, err_t *e)
{
  store_t *s = apr_pcalloc (pool, sizeof *s);
  load_t l = { .s = s, .out = out };

  *out = (raft_saved_t){ 0 };
  s->pool = tmp;
  s->fs = fs;
  s->arg = arg;
  s->segments = apr_array_make (pool, 8, sizeof (segment_t));
  l.names = apr_array_make (tmp, 8, sizeof (char *));
  l.entries = apr_array_make (tmp, 64, sizeof (log_entry_t));
  if (!fs->list (arg, l.names, e) || !load_state (&l, e))
    return NULL;
  bool ok = l.has_state ? load_snapshot (&l, e) && load_log (&l, e)
                              && combine (&l, e) && remove_obsolete (&l, e)
                        : create_store (&l, new_id, e);
  s->pool = NULL;
  return ok ? s : NULL;
}
