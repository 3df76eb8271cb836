/* queue - bounded queue by worth, then deadline, then arrival (internal to
   lib/admit).  A sorted array: bounds are some hundred, and a search gives
   the number of requests ahead.  */

#ifndef QUEUE_H
#define QUEUE_H

#include "base.h"

typedef struct
{
  uint64_t id;
  double worth;
  msec_t deadline;
} wait_t;

typedef struct
{
  wait_t *v; /* the next one last */
  int n;
  int cap;
  msec_t earliest; /* deadline in the queue, or before it */
} queue_t;

void queue_init (queue_t *q, apr_pool_t *pool, int cap);
/* queue_ahead: requests that would be served before W.  */
int queue_ahead (const queue_t *q, const wait_t *w);
/* queue_put: the caller has made sure that there is room.  */
void queue_put (queue_t *q, wait_t w);
/* queue_take: the next, queue_drop: the last one.  The queue is not empty.  */
wait_t queue_take (queue_t *q);
wait_t queue_drop (queue_t *q);
bool queue_remove (queue_t *q, uint64_t id);
/* queue_expired: takes one request with a deadline at or before T.  */
bool queue_expired (queue_t *q, double t, wait_t *w);

#endif
