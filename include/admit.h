/* admit - admission control of an entry instance, without I/O or clock: a
   queue per database with an adaptive concurrency limit, a retry budget and a
   sliding rate window.  An object belongs to one thread.  Times are msec_t
   given by the caller; latencies are in ms, with fractions.  */

#ifndef ADMIT_H
#define ADMIT_H

#include "base.h"

/* ---- queue and concurrency limit of one database ---- */

typedef struct admit admit_t;

typedef struct
{
  int queue; /* requests that may wait; at least 1 */
  int cap;   /* connections, upper bound of the limit; see admit_set_cap */
} admit_conf_t;

typedef enum
{
  ADMIT_NOTHING, /* nothing to do until admit_done or the admit_wake_time */
  ADMIT_START,   /* start request ID now; report its end with admit_done */
  ADMIT_FULL,    /* request ID is refused: the queue is full */
  ADMIT_TOO_LATE /* request ID is refused: it cannot meet its deadline */
} admit_kind_t;

/* A refused request has never been started, so the client may be told that it
   was not run.  */
typedef struct
{
  admit_kind_t kind;
  uint64_t id;
} admit_action_t;

typedef enum
{
  ADMIT_OK,     /* answered; its latency updates the limit */
  ADMIT_BUSY,   /* the database refused for lack of connections or slots */
  ADMIT_FAILED, /* no answer, or the connection failed */
  ADMIT_UNTIMED /* its latency does not count (cancelled, transaction block) */
} admit_outcome_t;

admit_t *admit_new (apr_pool_t *pool, admit_conf_t c);

/* admit_offer: submits request ID, a number that the caller chooses and that
   is unique among its waiting and running requests.  DEADLINE is absolute.
   True: the request is queued; call admit_next until ADMIT_NOTHING.  False: it
   is refused, not run, and *WHY (may be NULL) is ADMIT_FULL or ADMIT_TOO_LATE.
   When the queue is full and ID would be served before its last request,
   admit_next refuses that one instead.  */
bool admit_offer (admit_t *a, uint64_t id, double worth, msec_t deadline,
                  msec_t now, admit_kind_t *why);
/* admit_next: the next action.  Call it until it returns ADMIT_NOTHING after
   admit_offer, admit_done and admit_set_cap, and at admit_wake_time.  */
admit_action_t admit_next (admit_t *a, msec_t now);
/* admit_done: a started request ended with outcome O after LATENCY ms at the
   database.  */
void admit_done (admit_t *a, double latency, admit_outcome_t o, msec_t now);
/* admit_withdraw: removes waiting request ID (the client disconnected, or it
   is routed elsewhere).  False when it is not waiting here.  */
bool admit_withdraw (admit_t *a, uint64_t id);
/* admit_wake_time: latest time for the next call of admit_next, since a
   waiting request can no longer meet its deadline then; -1 when nothing waits.
 */
msec_t admit_wake_time (const admit_t *a);
/* admit_set_cap: sets the upper bound of the limit; with 0 no request is
   started.  */
void admit_set_cap (admit_t *a, int cap);
/* admit_restart: the database recovered or changed its role: resets the limit,
   which then grows by slow start.  Waiting and running requests stay.  */
void admit_restart (admit_t *a, msec_t now);

typedef struct
{
  double limit;    /* estimated concurrency limit */
  double service;  /* ms, mean time at the database; 0: unknown */
  double baseline; /* ms, latency without queueing; 0: unknown */
  int running;
  int waiting;
} admit_state_t;

admit_state_t admit_state (const admit_t *a);
/* admit_wait: expected ms until a request of this worth and deadline starts.
 */
double admit_wait (const admit_t *a, double worth, msec_t deadline);

/* ---- retry budget ---- */

/* Limits retries to 10% of the requests plus a small initial reserve.  */
typedef struct
{
  int tenths; /* retries available, in tenths */
} retry_t;

void retry_init (retry_t *r);
/* retry_request: counts an arriving request, which adds to the budget.  */
void retry_request (retry_t *r);
/* retry_take: spends one retry; false when the budget is exhausted.  */
bool retry_take (retry_t *r);

/* ---- rate window ---- */

enum
{
  RATE_BUCKETS = 10 /* sub-buckets of a window */
};

/* Requests of one session or user in a sliding window of sub-buckets, after
   Josiah Carlson, "Introduction to rate limiting with Redis [Part 2]".  Only
   admitted requests are counted, and the check precedes the count: a client
   that keeps retrying is not locked out for ever.  */
typedef struct
{
  int64_t last; /* number of the newest sub-bucket */
  int32_t total;
  uint32_t count[RATE_BUCKETS];
} rate_t;

void rate_init (rate_t *r);
/* rate_take: admits and counts a request when fewer than LIMIT were admitted
   in the last WINDOW ms.  Else false, with the ms until the next one may be
   admitted in *WAIT (may be NULL).  A LIMIT of 0 admits everything.  */
bool rate_take (rate_t *r, int limit, msec_t window, msec_t now, msec_t *wait);

#endif
