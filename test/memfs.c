#include "memfs.h"

#include <apr_strings.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

enum
{
  NAMES = 24,
  INODES = 128,
  JOURNAL = 64
};

typedef struct
{
  char name[32]; /* empty: free */
  int inode;
} dirent_t;

typedef struct
{
  dirent_t e[NAMES];
} dir_t;

typedef struct
{
  buf_t data;
  size_t synced;
  bool used;
} inode_t;

struct memfs
{
  dir_t now;
  dir_t durable;
  dir_t journal[JOURNAL]; /* state after each unsynced change of names */
  int changes;
  int fail_in; /* countdown to the first change that fails; 0: none */
  int failed_appends;
  inode_t inode[INODES];
};

memfs_t *
memfs_new (void)
{
  memfs_t *m = calloc (1, sizeof *m);

  if (m == NULL)
    abort ();
  return m;
}

void
memfs_wipe (memfs_t *m)
{
  for (int i = 0; i < INODES; i++)
    buf_free (&m->inode[i].data);
  memset (m, 0, sizeof *m);
}

void
memfs_free (memfs_t *m)
{
  memfs_wipe (m);
  free (m);
}

static dirent_t *
find (dir_t *d, const char *name)
{
  for (int i = 0; i < NAMES; i++)
    if (strcmp (d->e[i].name, name) == 0)
      return &d->e[i];
  return NULL;
}

static void
journal_change (memfs_t *m)
{
  if (m->changes == JOURNAL)
    abort ();
  m->journal[m->changes++] = m->now;
}

void
memfs_fail (memfs_t *m, int k)
{
  m->fail_in = k;
}

/* Counts one change; false when it has to fail.  */
static bool
allow_change (memfs_t *m, const char *name, err_t *e)
{
  if (m->fail_in == 0 || --m->fail_in > 0)
    return true;
  m->fail_in = 1;
  return err_set (e, ERR_SYS, name, "no space");
}

buf_t *
memfs_data (memfs_t *m, const char *name)
{
  const dirent_t *d = find (&m->now, name);

  return d ? &m->inode[d->inode].data : NULL;
}

static bool
mem_list (void *arg, apr_array_header_t *names, err_t *e)
{
  const memfs_t *m = arg;

  (void)e;
  for (int i = 0; i < NAMES; i++)
    if (m->now.e[i].name[0])
      APR_ARRAY_PUSH (names, char *)
          = apr_pstrdup (names->pool, m->now.e[i].name);
  return true;
}

static bool
mem_read (void *arg, const char *name, buf_t *out, err_t *e)
{
  const buf_t *b = memfs_data (arg, name);

  if (b == NULL)
    return err_set (e, ERR_SYS, name, "no such file");
  buf_adds (out, buf_str (b));
  return true;
}

static dirent_t *
make (memfs_t *m, const char *name)
{
  dirent_t *d = find (&m->now, "");
  int i = 0;

  while (i < INODES && m->inode[i].used)
    i++;
  if (d == NULL || i == INODES)
    abort ();
  snprintf (d->name, sizeof d->name, "%s", name);
  d->inode = i;
  m->inode[i].used = true;
  journal_change (m);
  return d;
}

static bool
mem_append (void *arg, const char *name, str_t data, bool sync, err_t *e)
{
  memfs_t *m = arg;
  const dirent_t *d = find (&m->now, name);
  bool ok = allow_change (m, name, e);

  if (d == NULL)
    d = make (m, name);
  inode_t *n = &m->inode[d->inode];
  /* Every other failed append is a short write.  */
  if (!ok && m->failed_appends++ % 2)
    data.n /= 2;
  buf_adds (&n->data, data);
  if (sync && ok)
    n->synced = n->data.n;
  return ok;
}

static bool
mem_truncate (void *arg, const char *name, int64_t size, err_t *e)
{
  memfs_t *m = arg;
  const dirent_t *d = find (&m->now, name);

  if (d == NULL || !allow_change (m, name, e))
    return err_set (e, ERR_SYS, name, "no such file");
  m->inode[d->inode].data.n = (size_t)size;
  m->inode[d->inode].synced = (size_t)size;
  return true;
}

static bool
mem_rename (void *arg, const char *from, const char *to, err_t *e)
{
  memfs_t *m = arg;
  dirent_t *f = find (&m->now, from);
  dirent_t *t = find (&m->now, to);

  if (f == NULL || !allow_change (m, to, e))
    return err_set (e, ERR_SYS, from, "no such file");
  if (t)
    t->name[0] = '\0';
  snprintf (f->name, sizeof f->name, "%s", to);
  journal_change (m);
  return true;
}

static bool
mem_remove (void *arg, const char *name, err_t *e)
{
  memfs_t *m = arg;
  dirent_t *d = find (&m->now, name);

  if (d == NULL || !allow_change (m, name, e))
    return err_set (e, ERR_SYS, name, "no such file");
  d->name[0] = '\0';
  journal_change (m);
  return true;
}

/* Frees the inodes without a name.  */
static void
collect (memfs_t *m)
{
  bool named[INODES] = { false };

  for (int i = 0; i < NAMES; i++)
    if (m->now.e[i].name[0])
      named[m->now.e[i].inode] = true;
  for (int i = 0; i < INODES; i++)
    if (m->inode[i].used && !named[i])
      {
        buf_free (&m->inode[i].data);
        m->inode[i] = (inode_t){ 0 };
      }
}

static bool
mem_sync_dir (void *arg, err_t *e)
{
  memfs_t *m = arg;

  if (!allow_change (m, "folder", e))
    return false;
  m->durable = m->now;
  m->changes = 0;
  collect (m);
  return true;
}

void
memfs_crash (memfs_t *m, rng_t *rng)
{
  int k = (int)rng_below (rng, (uint64_t)m->changes + 1);

  m->fail_in = 0;
  m->now = k ? m->journal[k - 1] : m->durable;
  m->durable = m->now;
  m->changes = 0;
  collect (m);
  for (int i = 0; i < INODES; i++)
    {
      inode_t *n = &m->inode[i];
      if (!n->used || n->data.n == n->synced)
        continue;
      n->data.n = n->synced + rng_below (rng, n->data.n - n->synced + 1);
      if (n->data.n > n->synced && rng_below (rng, 2))
        n->data.p[n->data.n - 1] ^= 0x40;
      n->synced = n->data.n;
    }
}

const store_fs_t memfs_ops
    = { mem_list,   mem_read,   mem_append,  mem_truncate,
        mem_rename, mem_remove, mem_sync_dir };
