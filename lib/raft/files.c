#include "raft.h"

#include <apr_strings.h>
#include <dirent.h>
#include <errno.h>
#include <fcntl.h>
#include <stdio.h>
#include <string.h>
#include <sys/file.h>
#include <sys/stat.h>
#include <unistd.h>

typedef struct
{
  int dir;
  int lock;
} folder_t;

static bool
files_list (void *arg, apr_array_header_t *names, err_t *e)
{
  const folder_t *f = arg;
  int fd = openat (f->dir, ".", O_RDONLY | O_DIRECTORY | O_CLOEXEC);
  DIR *d = fd < 0 ? NULL : fdopendir (fd);
  const struct dirent *x;

  if (d == NULL)
    {
      if (fd >= 0)
        close (fd);
      return err_sys (e, "data folder", "list");
    }
  while ((x = readdir (d)) != NULL)
    if (x->d_name[0] != '.' && strcmp (x->d_name, "lock") != 0)
      APR_ARRAY_PUSH (names, char *) = apr_pstrdup (names->pool, x->d_name);
  closedir (d);
  return true;
}

static bool
files_read (void *arg, const char *name, buf_t *out, err_t *e)
{
  const folder_t *f = arg;
  int fd = openat (f->dir, name, O_RDONLY | O_CLOEXEC);
  ssize_t n = -1;

  if (fd < 0)
    return err_sys (e, name, "open");
  while ((n = read (fd, buf_room (out, 64 << 10), 64 << 10)) > 0)
    out->n += (size_t)n;
  if (n < 0)
    err_sys (e, name, "read");
  close (fd);
  return n == 0;
}

static bool
files_append (void *arg, const char *name, str_t data, bool sync, err_t *e)
{
  const folder_t *f = arg;
  int fd
      = openat (f->dir, name, O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0600);

  if (fd < 0)
    return err_sys (e, name, "open");
  while (data.n)
    {
      ssize_t n = write (fd, data.p, data.n);
      if (n < 0 && errno == EINTR)
        continue;
      if (n <= 0)
        break;
      data.p += n;
      data.n -= (size_t)n;
    }
  bool ok = data.n == 0 || err_sys (e, name, "write");
  if (ok && sync && fsync (fd))
    ok = err_sys (e, name, "fsync");
  close (fd);
  return ok;
}

static bool
files_truncate (void *arg, const char *name, int64_t size, err_t *e)
{
  const folder_t *f = arg;
  int fd = openat (f->dir, name, O_WRONLY | O_CLOEXEC);

  if (fd < 0)
    return err_sys (e, name, "open");
  bool ok = (ftruncate (fd, size) == 0 && fsync (fd) == 0)
            || err_sys (e, name, "truncate");
  close (fd);
  return ok;
}

static bool
files_rename (void *arg, const char *from, const char *to, err_t *e)
{
  const folder_t *f = arg;

  return renameat (f->dir, from, f->dir, to) == 0 || err_sys (e, to, "rename");
}

static bool
files_remove (void *arg, const char *name, err_t *e)
{
  const folder_t *f = arg;

  return unlinkat (f->dir, name, 0) == 0 || err_sys (e, name, "remove");
}

static bool
files_sync_dir (void *arg, err_t *e)
{
  const folder_t *f = arg;

  return fsync (f->dir) == 0 || err_sys (e, "data folder", "fsync");
}

static const store_fs_t files
    = { files_list,   files_read,   files_append,  files_truncate,
        files_rename, files_remove, files_sync_dir };

static apr_status_t
folder_close (void *arg)
{
  folder_t *f = arg;

  if (f->lock >= 0)
    close (f->lock);
  if (f->dir >= 0)
    close (f->dir);
  return APR_SUCCESS;
}

bool
store_files (apr_pool_t *pool, const char *path, const store_fs_t **fs,
             void **arg, err_t *e)
{
  folder_t *f = apr_palloc (pool, sizeof *f);

  f->dir = f->lock = -1;
  if (mkdir (path, 0700) && errno != EEXIST)
    return err_sys (e, path, "mkdir");
  apr_pool_cleanup_register (pool, f, folder_close, apr_pool_cleanup_null);
  f->dir = open (path, O_RDONLY | O_DIRECTORY | O_CLOEXEC);
  if (f->dir < 0)
    return err_sys (e, path, "open");
  f->lock = openat (f->dir, "lock", O_RDWR | O_CREAT | O_CLOEXEC, 0600);
  if (f->lock < 0)
    return err_sys (e, path, "open the lock file");
  if (flock (f->lock, LOCK_EX | LOCK_NB))
    return err_set (e, ERR_CONFLICT, path, "another process holds the lock");
  *fs = &files;
  *arg = f;
  return true;
}
