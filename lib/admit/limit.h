/* limit - adaptive concurrency limit of one database (internal to lib/admit).

   The limit follows the latency: while the mean latency of a window of
   requests stays near the baseline, the limit grows; when it exceeds the
   baseline by more than the tolerance, requests are queueing at the database
   and the limit shrinks in proportion.  */

#ifndef LIMIT_H
#define LIMIT_H

#include "base.h"

typedef struct
{
  double limit;
  double cap;
  double baseline;  /* ms, latency without queueing; 0: unknown */
  double service;   /* ms, moving average of the latency; 0: unknown */
  double deviation; /* ms, moving average of the deviation from it */
  double sum;       /* ms, of the latencies in this window */
  int n;            /* answers in this window */
  int peak;         /* most requests running in this window */
  int windows;      /* since the last one that measured the baseline */
  bool slow_start;  /* doubling after a restart */
  int holdoff;      /* answers left before a failure reduces the limit again */
} limit_t;

void limit_init (limit_t *l, int cap);
/* limit_restart: the limit starts at its minimum and doubles each window until
   requests queue at the database.  */
void limit_restart (limit_t *l);
/* limit_now: number of requests that may run.  */
int limit_now (const limit_t *l);
/* limit_sample: a request was answered after LATENCY ms while RUNNING requests
   were running.  */
void limit_sample (limit_t *l, double latency, int running);
/* limit_reduce: the database refused a request or did not answer it, while
   RUNNING requests were running.  */
void limit_reduce (limit_t *l, int running);

#endif
