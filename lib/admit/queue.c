#include "queue.h"

#include <string.h>

void
queue_init (queue_t *q, apr_pool_t *pool, int cap)
{
  *q = (queue_t){ .cap = cap < 1 ? 1 : cap, .earliest = INT64_MAX };
  q->v = apr_pcalloc (pool, (size_t)q->cap * sizeof *q->v);
}

static bool
before (const waiter_t *a, const waiter_t *b)
{
  if (a->worth != b->worth)
    return a->worth > b->worth;
  return a->deadline < b->deadline;
}

/* Index at which W is inserted: served after all equal ones, which arrived
   earlier.  */
static int
insert_index (const queue_t *q, const waiter_t *w)
{
  int lo = 0;
  int hi = q->n;

  while (lo < hi)
    {
      int mid = (lo + hi) / 2;
      if (before (w, &q->v[mid]))
        lo = mid + 1;
      else
        hi = mid;
    }
  return lo;
}

int
queue_ahead (const queue_t *q, const waiter_t *w)
{
  return q->n - insert_index (q, w);
}

void
queue_insert (queue_t *q, waiter_t w)
{
  int i = insert_index (q, &w);

  memmove (&q->v[i + 1], &q->v[i], (size_t)(q->n - i) * sizeof w);
  q->v[i] = w;
  q->n++;
  if (w.deadline < q->earliest)
    q->earliest = w.deadline;
}

static waiter_t
remove_at (queue_t *q, int i)
{
  waiter_t w = q->v[i];

  q->n--;
  memmove (&q->v[i], &q->v[i + 1], (size_t)(q->n - i) * sizeof w);
  if (q->n == 0)
    q->earliest = INT64_MAX;
  return w;
}

waiter_t
queue_pop (queue_t *q)
{
  return remove_at (q, q->n - 1);
}

waiter_t
queue_drop_last (queue_t *q)
{
  return remove_at (q, 0);
}

bool
queue_remove (queue_t *q, uint64_t id)
{
  for (int i = 0; i < q->n; i++)
    if (q->v[i].id == id)
      {
        remove_at (q, i);
        return true;
      }
  return false;
}

bool
queue_expired (queue_t *q, double t, waiter_t *w)
{
  if ((double)q->earliest > t)
    return false;
  q->earliest = INT64_MAX;
  for (int i = 0; i < q->n; i++)
    {
      if ((double)q->v[i].deadline <= t)
        {
          q->earliest = q->v[i].deadline;
          *w = remove_at (q, i);
          return true;
        }
      if (q->v[i].deadline < q->earliest)
        q->earliest = q->v[i].deadline;
    }
  return false;
}
