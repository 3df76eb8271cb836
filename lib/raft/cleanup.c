#include "store.h"

#include <string.h>

/* A failed write counts as not made.  What it left behind would later be read
   as a part of the store: bytes after the last record, an incomplete segment
   or snapshot, a file not yet renamed.  */

/* Whether the file NAME is not a part of the store.  */
typedef bool (*obsolete_t) (const store_t *s, const char *name);

static bool
unfinished (const store_t *s, const char *name)
{
  int64_t n;

  return strcmp (name, "tmp") == 0
         || (parse_name (name, "log-", &n) && n > s->last_seq);
}

static bool
other_snapshot (const store_t *s, const char *name)
{
  int64_t n;

  return parse_name (name, "snap-", &n) && n != s->snap_index;
}

static bool
remove_files (store_t *s, const apr_array_header_t *names, obsolete_t obsolete,
              err_t *e)
{
  for (int i = 0; i < names->nelts; i++)
    {
      const char *name = APR_ARRAY_IDX (names, i, const char *);
      if (obsolete (s, name) && !s->fs->remove (s->arg, name, e))
        return false;
    }
  return s->fs->sync_dir (s->arg, e);
}

/* A segment that resets the log is removed before the snapshot that it
   continues.  */
static bool
remove_leftovers (store_t *s, err_t *e)
{
  apr_pool_t *pool;

  if (apr_pool_create (&pool, NULL))
    return err_set (e, ERR_NOMEM, "data folder", "no pool");
  apr_array_header_t *names = apr_array_make (pool, 8, sizeof (char *));
  bool ok = s->fs->list (s->arg, names, e)
            && remove_files (s, names, unfinished, e)
            && remove_files (s, names, other_snapshot, e);
  apr_pool_destroy (pool);
  return ok;
}

bool
store_cleanup (store_t *s, err_t *e)
{
  char name[32];

  if (s->leftovers && !remove_leftovers (s, e))
    return false;
  s->leftovers = false;
  segment_name (name, s->last_seq);
  if (s->torn && !s->fs->truncate (s->arg, name, (int64_t)s->size, e))
    return false;
  s->torn = false;
  return true;
}
