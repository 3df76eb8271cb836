#include "raft.h"

#include <errno.h>

enum
{
  OPEN_RETRY = 200 /* ms between attempts while the disk rejects writes */
};

/* Whether the error may go away by itself; others need an operator.  */
static bool
is_transient (const err_t *e)
{
  return e->code == ERR_SYS
         && (e->sys == ENOSPC || e->sys == EDQUOT || e->sys == EFBIG
             || e->sys == EIO);
}

/* Allocates in a subpool of POOL, which is destroyed when this fails.  */
static raft_t *
try_open (apr_pool_t *pool, const raft_open_t *o, err_t *e)
{
  const store_fs_t *fs;
  void *arg;
  raft_saved_t saved;
  apr_pool_t *own, *tmp;
  raft_t *r = NULL;
  msec_t began = msec_now ();
  int64_t id = (int64_t)(rng_u64 (o->rng) >> 1) | 1;

  apr_pool_create (&own, pool);
  apr_pool_create (&tmp, own);
  if (store_files (own, str_dup (own, o->path).p, &fs, &arg, e)
      && (*o->store = store_open (own, tmp, fs, arg, id, &saved, e)) != NULL)
    r = raft_new (own, &o->conf, o->ops, o->arg, &saved, o->rng, o->now, e);
  if (r)
    log_event (EV_RAFT_IDENTITY,
               "id=%lld term=%lld snapshot=%lld entries=%zu ms=%lld",
               (long long)saved.id, (long long)saved.term,
               (long long)saved.snap.index, saved.entries.n,
               (long long)(msec_now () - began));
  apr_pool_destroy (r ? tmp : own);
  return r;
}

raft_t *
raft_open (apr_pool_t *pool, const raft_open_t *o, err_t *e)
{
  bool logged = false;
  err_t inner;
  raft_t *r;
  char line[256];

  for (;;)
    {
      inner = (err_t){ 0 };
      r = try_open (pool, o, &inner);
      if (r || !is_transient (&inner))
        break;
      err_line (&inner, line, sizeof line);
      if (!logged)
        log_event (EV_DISK_REFUSES, "cause=%s", line);
      logged = true;
      msec_sleep (OPEN_RETRY);
    }
  if (r == NULL && e)
    *e = inner;
  return r;
}
