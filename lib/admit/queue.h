/* queue - bounded priority queue ordered by worth, then deadline, then arrival
   (internal to lib/admit).  It is a sorted array: a bound is a few hundred
   requests, and a binary search yields the number of requests ahead.  */

#ifndef QUEUE_H
#define QUEUE_H

#include "base.h"

typedef struct
{
  uint64_t id;
  double worth;
  msec_t deadline;
} waiter_t;

typedef struct
{
  waiter_t *v; /* sorted, the next to be served last */
  int n;
  int cap;
  msec_t earliest; /* lower bound of the deadlines in the queue */
} queue_t;

void queue_init (queue_t *q, apr_pool_t *pool, int cap);
/* queue_ahead: requests that would be served before W.  */
int queue_ahead (const queue_t *q, const waiter_t *w);
/* queue_insert: the queue must not be full.  */
void queue_insert (queue_t *q, waiter_t w);
/* queue_pop: removes the next request to be served; queue_drop_last: the one
   to be served last.  The queue must not be empty.  */
waiter_t queue_pop (queue_t *q);
waiter_t queue_drop_last (queue_t *q);
/* queue_remove: false when request ID is not in the queue.  */
bool queue_remove (queue_t *q, uint64_t id);
/* queue_expired: removes one request with a deadline at or before T into *W;
   false when there is none.  */
bool queue_expired (queue_t *q, double t, waiter_t *w);

#endif
