#include "local.h"

#include <stdlib.h>
#include <string.h>

int64_t
log_last (const raft_t *r)
{
  return r->base + (int64_t)r->n;
}

int64_t
log_term (const raft_t *r, int64_t i)
{
  if (i == r->base)
    return r->base_term;
  if (i < r->base || i > log_last (r))
    return -1;
  return r->log[i - r->base - 1].term;
}

log_entry_t *
log_at (raft_t *r, int64_t i)
{
  return i > r->base && i <= log_last (r) ? &r->log[i - r->base - 1] : NULL;
}

void
log_put (raft_t *r, const log_entry_t *v)
{
  if (r->n == r->cap)
    {
      r->cap = r->cap ? 2 * r->cap : 64;
      r->log = realloc (r->log, r->cap * sizeof *r->log);
      if (r->log == NULL)
        abort ();
    }
  log_entry_t *x = &r->log[r->n++];
  *x = *v;
  x->data.p = malloc (v->data.n + 1);
  if (x->data.p == NULL)
    abort ();
  if (v->data.n)
    memcpy (x->data.p, v->data.p, v->data.n);
}

void
log_truncate (raft_t *r, int64_t from)
{
  while (r->n && log_last (r) >= from)
    free (r->log[--r->n].data.p);
}

void
log_compact (raft_t *r, int64_t upto)
{
  if (upto <= r->base || upto > log_last (r))
    return;
  size_t k = (size_t)(upto - r->base);
  int64_t term = log_term (r, upto);

  for (size_t i = 0; i < k; i++)
    free (r->log[i].data.p);
  memmove (r->log, r->log + k, (r->n - k) * sizeof *r->log);
  r->n -= k;
  r->base = upto;
  r->base_term = term;
}

void
log_reset (raft_t *r, int64_t index, int64_t term)
{
  log_truncate (r, 0);
  r->base = index;
  r->base_term = term;
}

bool
log_append (raft_t *r, const log_entry_t *v, size_t n)
{
  bool members = false;

  if (n == 0)
    return true;
  if (v[0].index <= r->commit || v[0].index > log_last (r) + 1)
    return err_set (&r->err, ERR_STATE, "log",
                    "entry %lld does not follow commit %lld, last %lld",
                    (long long)v[0].index, (long long)r->commit,
                    (long long)log_last (r))
           || fail_stop (r);
  if (!write_entries (r, v, n))
    return false;
  members = r->members_index >= v[0].index;
  log_truncate (r, v[0].index);
  for (size_t i = 0; i < n; i++)
    {
      log_put (r, &v[i]);
      members |= v[i].kind == ENTRY_MEMBERS;
    }
  return !members || members_from_log (r);
}
