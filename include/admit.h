/* admit - admission decisions at an entry instance, without I/O or clock: a
   queue per database with a learned concurrency limit, a retry budget and a
   rate window.  One thread uses an object.  Times are msec_t given by the
   caller; latencies are fractions of ms.  */

#ifndef ADMIT_H
#define ADMIT_H

#include "base.h"

/* ---- queue and concurrency limit of one database ---- */

typedef struct admit admit_t;

typedef struct
{
  int queue; /* requests that may wait; at least 1 */
  int cap;   /* the limit never exceeds this (connections); see admit_cap */
} admit_conf_t;

typedef enum
{
  ADMIT_NOTHING, /* nothing to do until admit_done or admit_wake */
  ADMIT_START,   /* start request ID now; report it with admit_done */
  ADMIT_FULL,    /* request ID is refused: the queue is full */
  ADMIT_TOO_LATE /* request ID is refused: its deadline cannot be met */
} admit_kind_t;

/* A refused request has not been started: "not run" is true.  */
typedef struct
{
  admit_kind_t kind;
  uint64_t id;
} admit_action_t;

typedef enum
{
  ADMIT_OK,   /* answered; the latency counts */
  ADMIT_BUSY, /* the database refused for lack of connections or slots */
  ADMIT_LOST, /* no answer, or the connection failed */
  ADMIT_VOID  /* the latency says nothing (cancelled, transaction block) */
} admit_outcome_t;

admit_t *admit_new (apr_pool_t *pool, admit_conf_t c);

/* admit_offer: request ID (chosen by the caller, unique while it is known
   here) arrives.  DEADLINE is absolute.  True: it waits in the queue; call
   admit_next until ADMIT_NOTHING.  False: refused, not run, and WHY (may be
   NULL) is ADMIT_FULL or ADMIT_TOO_LATE.  When the queue is full and ID is
   worth more than the last request in it, that one is refused instead, through
   admit_next.  */
bool admit_offer (admit_t *a, uint64_t id, double worth, msec_t deadline,
                  msec_t now, admit_kind_t *why);
/* admit_next: what to do now.  Call it until it returns ADMIT_NOTHING, after
   admit_offer, admit_done, admit_cap, and at admit_wake.  */
admit_action_t admit_next (admit_t *a, msec_t now);
/* admit_done: a started request ended after LATENCY ms at the database.  */
void admit_done (admit_t *a, double latency, admit_outcome_t o, msec_t now);
/* admit_withdraw: a waiting request leaves (client gone, sent elsewhere).
   False when it does not wait here.  */
bool admit_withdraw (admit_t *a, uint64_t id);
/* admit_wake: when admit_next has to be called again at the latest because a
   waiting request runs out of time; -1 when nothing waits.  */
msec_t admit_wake (const admit_t *a);
/* admit_cap: the limit may not exceed CAP from now on; 0 starts nothing.  */
void admit_cap (admit_t *a, int cap);
/* admit_restart: the database came back or changed its role: the limit starts
   low and grows.  Waiting and running requests stay.  */
void admit_restart (admit_t *a, msec_t now);

typedef struct
{
  double limit;    /* learned concurrency limit */
  double service;  /* ms, learned mean time at the database; 0: none yet */
  double baseline; /* ms, latency without queueing; 0: none yet */
  int running;
  int waiting;
} admit_state_t;

admit_state_t admit_state (const admit_t *a);
/* admit_wait: ms that a request of this worth and deadline would wait before
   it starts.  */
double admit_wait (const admit_t *a, double worth, msec_t deadline);

/* ---- retry budget ---- */

/* Retries are at most 10% of requests, with a small reserve at the start.  */
typedef struct
{
  int tenths; /* retries available, in tenths */
} retry_t;

void retry_init (retry_t *r);
/* retry_request: a request arrived.  */
void retry_request (retry_t *r);
/* retry_take: false when the budget does not allow a retry now.  */
bool retry_take (retry_t *r);

/* ---- rate window ---- */

enum
{
  RATE_BUCKETS = 10
};

/* Requests of one session or user within a sliding window of sub-buckets,
   after Josiah Carlson, "Introduction to rate limiting with Redis [Part 2]".
   Only admitted requests are counted, and the check comes before the count, so
   that a client that keeps asking is not locked out for ever.  */
typedef struct
{
  int64_t last; /* number of the newest sub-bucket */
  int32_t total;
  uint32_t count[RATE_BUCKETS];
} rate_t;

void rate_init (rate_t *r);
/* rate_take: counts a request when fewer than LIMIT were admitted in the last
   WINDOW ms; else false, with the ms until the next may be admitted in WAIT
   (may be NULL).  A LIMIT of 0 admits everything.  */
bool rate_take (rate_t *r, int limit, msec_t window, msec_t now, msec_t *wait);

#endif
