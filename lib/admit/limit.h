/* limit - learned concurrency limit of one database (internal to
   lib/admit).

   The limit follows the latency: while the mean latency of a window of
   requests stays near the baseline, the limit grows; when it is over the
   baseline by more than the tolerance, requests are queueing at the database
   and the limit shrinks in proportion.  */

#ifndef LIMIT_H
#define LIMIT_H

#include "base.h"

typedef struct
{
  double limit;
  double cap;
  double base;    /* ms, latency without queueing; 0: unknown */
  double service; /* ms, mean latency at present; 0: unknown */
  double spread;  /* ms, mean deviation from it */
  double sum;     /* of this window */
  int n;
  int peak;    /* most requests running in this window */
  int windows; /* since the limit was last lowered for a baseline */
  bool slow;   /* growing from a restart */
  int rest;    /* answers to come before another cut counts */
} limit_t;

void limit_init (limit_t *l, int cap);
void limit_restart (limit_t *l);
/* limit_now: requests that may run.  */
int limit_now (const limit_t *l);
/* limit_sample: an answer after LATENCY ms while RUNNING requests ran.  */
void limit_sample (limit_t *l, double latency, int running);
/* limit_cut: the database refused or did not answer.  */
void limit_cut (limit_t *l, int running);

#endif
