#include "local.h"

/* All writes to the store.  When the disk is full or a write fails for another
   reason, the instance keeps running and retries: an event whose write fails
   has no effect on votes and log, as if its message had been lost, and sends
   no response that depends on the write.  A term may take effect before it is
   stored, but no vote and no entry is stored before its term.  */

enum
{
  WRITE_RETRY = 100 /* ms after a failed write until the next attempt */
};

/* Handles the result of a write; errors other than ERR_SYS, such as corruption
   or misuse, stop the instance.  */
static bool
write_result (raft_t *r, bool ok)
{
  if (ok)
    {
      r->blocked = false;
      return true;
    }
  if (r->err.code != ERR_SYS)
    return fail_stop (r);
  r->blocked = true;
  r->retry_at = r->now + WRITE_RETRY;
  return false;
}

bool
may_write (const raft_t *r)
{
  return !r->blocked || r->now >= r->retry_at;
}

bool
write_vote (raft_t *r, int64_t term, int64_t vote)
{
  if (!may_write (r)
      || !write_result (r, r->ops->save_vote (r->arg, term, vote, &r->err)))
    return false;
  r->saved_term = term;
  return true;
}

bool
write_entries (raft_t *r, const log_entry_t *v, size_t n)
{
  if (r->saved_term != r->term && !write_vote (r, r->term, r->vote))
    return false;
  return may_write (r)
         && write_result (r, r->ops->save_entries (r->arg, v, n, &r->err));
}

bool
write_snapshot (raft_t *r, const raft_snap_t *s)
{
  return may_write (r)
         && write_result (r, r->ops->save_snapshot (r->arg, s, &r->err));
}

bool
write_install (raft_t *r, const raft_snap_t *s)
{
  return may_write (r)
         && write_result (r, r->ops->install_snapshot (r->arg, s, &r->err));
}

void
write_retry (raft_t *r)
{
  if (r->blocked && may_write (r))
    write_vote (r, r->term, r->vote);
}

bool
raft_blocked (const raft_t *r, err_t *e)
{
  if (r->blocked && e)
    *e = r->err;
  return r->blocked;
}
