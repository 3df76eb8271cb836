/* base - strings, errors, clock, log events, random numbers, rings,
   counters and duties shared by every library and program.  */

#ifndef BASE_H
#define BASE_H

#include <apr_pools.h>
#include <stdarg.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/* Version of all programs, printed by --version.  */
#define PP_VERSION "0.1"

/* ---- strings ---- */

/* A length-counted byte string.  P need not end in NUL unless it came
   from str_dup.  */
typedef struct
{
  char *p;
  size_t n;
} str_t;

#define STR(lit) ((str_t){ .p = (char *)(lit), .n = sizeof (lit) - 1 })
#define STR_FMT "%.*s"
#define STR_ARG(s) (int)(s).n, ((s).p ? (s).p : "")

/* str_of: view of the NUL-terminated C; C may be NULL (empty).  */
str_t str_of (const char *c);
/* str_dup: copy of S in POOL with a NUL behind it.  */
str_t str_dup (apr_pool_t *pool, str_t s);
/* str_fmt: formatted string in POOL.  */
str_t str_fmt (apr_pool_t *pool, const char *fmt, ...)
    __attribute__ ((format (printf, 2, 3)));
bool str_eq (str_t a, str_t b);
bool str_caseeq (str_t a, str_t b);
bool str_starts (str_t s, str_t prefix);
int str_cmp (str_t a, str_t b);
/* str_int: parses all of S as a decimal int64.  False when S is empty, has
   other characters or is out of range.  */
bool str_int (str_t s, int64_t *out);
/* str_hash: XXH3 64-bit hash.  */
uint64_t str_hash (str_t s);

/* A growable byte buffer on the heap.  Bytes OFF..N are unread.  */
typedef struct
{
  char *p;
  size_t n;
  size_t off;
  size_t cap;
} buf_t;

void buf_init (buf_t *b);
/* buf_free: releases the memory; B can be used again.  */
void buf_free (buf_t *b);
/* buf_room: makes room for N more bytes, returns where they go.  */
char *buf_room (buf_t *b, size_t n);
void buf_add (buf_t *b, const void *p, size_t n);
void buf_adds (buf_t *b, str_t s);
void buf_fmt (buf_t *b, const char *fmt, ...)
    __attribute__ ((format (printf, 2, 3)));
/* buf_take: marks N unread bytes as read.  */
void buf_take (buf_t *b, size_t n);
static inline size_t
buf_len (const buf_t *b)
{
  return b->n - b->off;
}
static inline str_t
buf_str (const buf_t *b)
{
  return (str_t){ b->p + b->off, b->n - b->off };
}

/* ---- errors ---- */

/* Every failure has one of these types.  The class decides the exit code of
   programs, see err_exit.  */
#define ERR_CODES(X)                                                          \
  X (ERR_NONE, "ok", 0)                                                       \
  X (ERR_SYS, "system-call-failed", 1)                                        \
  X (ERR_NOMEM, "out-of-memory", 1)                                           \
  X (ERR_FULL, "queue-full", 5)                                               \
  X (ERR_TIMEOUT, "timeout", 5)                                               \
  X (ERR_CLOSED, "connection-closed", 5)                                      \
  X (ERR_UNREACHABLE, "unreachable", 5)                                       \
  X (ERR_USAGE, "usage", 2)                                                   \
  X (ERR_SYNTAX, "syntax", 3)                                                 \
  X (ERR_UNKNOWN_KEY, "unknown-key", 3)                                       \
  X (ERR_DUPLICATE_KEY, "duplicate-key", 3)                                   \
  X (ERR_MISSING_KEY, "missing-key", 3)                                       \
  X (ERR_BAD_TYPE, "wrong-type", 3)                                           \
  X (ERR_BAD_UNIT, "wrong-unit", 3)                                           \
  X (ERR_RANGE, "out-of-range", 3)                                            \
  X (ERR_REFERENCE, "unknown-reference", 3)                                   \
  X (ERR_PROTOCOL, "protocol-violation", 6)                                   \
  X (ERR_TOO_LARGE, "too-large", 6)                                           \
  X (ERR_VERSION, "unsupported-version", 6)                                   \
  X (ERR_CORRUPT, "corrupt-data", 7)                                          \
  X (ERR_CONFLICT, "conflict", 4)                                             \
  X (ERR_NOT_LEADER, "not-leader", 5)                                         \
  X (ERR_STALE, "stale", 4)                                                   \
  X (ERR_STATE, "wrong-state", 4)                                             \
  X (ERR_DB, "backend-server-error", 5)

typedef enum
{
#define X(code, name, cls) code,
  ERR_CODES (X)
#undef X
} errcode_t;

/* What failed: the type, errno where the system said so, the file, line or
   byte offset it concerns, and one line for people.  */
typedef struct
{
  errcode_t code;
  int sys;
  int line;
  int64_t offset;
  char subject[128];
  char detail[192];
} err_t;

/* err_set: fills E (may be NULL), returns false so that callers can write
   `return err_set (...)`.  */
bool err_set (err_t *e, errcode_t code, const char *subject, const char *fmt,
              ...) __attribute__ ((format (printf, 4, 5)));
/* err_sys: like err_set with errno.  */
bool err_sys (err_t *e, const char *subject, const char *what);
const char *err_name (errcode_t code);
/* err_exit: exit code of a program for CODE: 0 ok, 1 system, 2 usage, 3 bad
   settings or questionnaire, 4 conflict, 5 unreachable or busy, 6 protocol, 7
   corrupt data.  */
int err_exit (errcode_t code);
/* err_line: "subject:line: name: detail" in a buffer of SIZE bytes.  */
void err_line (const err_t *e, char *out, size_t size);

/* ---- clock ---- */

/* Milliseconds of a monotonic clock that also counts time while the machine
   is suspended.  */
typedef int64_t msec_t;

/* msec_now: CLOCK_BOOTTIME in milliseconds.  */
msec_t msec_now (void);
/* msec_wall: milliseconds since 1970, for people only; never compared.  */
msec_t msec_wall (void);
void msec_sleep (msec_t ms);

/* ---- log events ---- */

#include "events.h"

/* log_open: sets the program's name and the highest level that is written
   (0 emergency .. 7 debug, as in syslog).  */
void log_open (const char *program, int level);
int log_level (void);
/* log_structured: from now on one JSON object a line on standard output,
   never waiting for its reader: a line that does not fit is counted, as are
   those of one event over LOG_RATE a second.  */
void log_structured (bool on);
enum
{
  LOG_RATE = 100,    /* lines of one event a second */
  LOG_RATE_ALL = 190 /* lines of all events a second */
};
/* log_event: one line on standard error: `<LEVEL>PROGRAM[PID]: TIME E<NUMBER>
   NAME key=value ...`.  */
void log_event (event_t ev, const char *fmt, ...)
    __attribute__ ((format (printf, 2, 3)));
/* event_name, event_number, event_level: the catalogue entry of EV.  */
const char *event_name (event_t ev);
int event_number (event_t ev);
int event_level (event_t ev);

/* ---- random numbers ---- */

/* A Philox 4x32 counter generator (Random123): the same seed gives the same
   sequence.  */
typedef struct
{
  uint64_t seed;
  uint64_t ctr;
} rng_t;

void rng_init (rng_t *r, uint64_t seed);
uint64_t rng_u64 (rng_t *r);
/* rng_below: uniform in 0..N-1; N of 0 gives 0.  */
uint64_t rng_below (rng_t *r, uint64_t n);
/* rng_unit: uniform in [0,1).  */
double rng_unit (rng_t *r);
/* rng_system_seed: a seed from the kernel, for daemons.  */
uint64_t rng_system_seed (void);

/* ---- bounded ring ---- */

/* Joins duties.  Any number of threads may put; one takes.  */
typedef struct ring ring_t;

/* ring_new: a ring of CAP pointers, freed with POOL.  */
ring_t *ring_new (apr_pool_t *pool, size_t cap);
/* ring_put: false with ERR_FULL when the ring is full or closed; the caller
   keeps the item.  */
bool ring_put (ring_t *r, void *item, err_t *e);
/* ring_get: next item, or NULL after TIMEOUT ms (-1 waits for ever) or when
   the ring is closed and empty.  */
void *ring_get (ring_t *r, msec_t timeout);
/* ring_fd: an eventfd that is readable while items wait; for event loops.
   Read it through ring_get with timeout 0 until NULL.  */
int ring_fd (ring_t *r);
void ring_close (ring_t *r);
size_t ring_len (ring_t *r);

/* ---- counters ---- */

typedef struct counter counter_t;

/* counter_get: the counter or gauge of that NAME (Prometheus style, may carry
   labels); made on first use, lives as long as the process.  */
counter_t *counter_get (const char *name, const char *help);
void counter_add (counter_t *c, int64_t n);
void counter_set (counter_t *c, int64_t n);
int64_t counter_value (const counter_t *c);
/* A histogram of times in ms, in the form that Prometheus reads: cumulative
   buckets, sum and count, each a counter.  */
typedef struct hist hist_t;

/* hist_new: lives as long as the process.  LABELS: name="value",...  */
hist_t *hist_new (const char *name, const char *labels, const char *help);
void hist_add (hist_t *h, msec_t ms);
/* counter_text: all counters in Prometheus text format.  */
void counter_text (buf_t *out);

/* ---- duties ---- */

typedef struct sup sup_t;

/* A duty runs in its own thread until it returns.  True: finished.  False
   with E: failed, and the supervisor starts it again.  RUN must return soon
   after STOP was called (from another thread).  */
typedef struct
{
  const char *name;
  bool (*run) (void *arg, err_t *e);
  void (*stop) (void *arg);
  void *arg;
} duty_t;

/* sup_new: a supervisor that allows RESTARTS restarts of one duty within
   PERIOD ms.  */
sup_t *sup_new (apr_pool_t *pool, const char *name, int restarts,
                msec_t period);
/* sup_add: a child; a supervisor can be run as a duty, see sup_duty.  */
void sup_add (sup_t *s, duty_t d);
duty_t sup_duty (sup_t *s);
/* sup_run: starts the children in order, restarts those that fail, stops them
   in reverse order.  Returns false with the cause when a child exceeded its
   restarts.  */
bool sup_run (sup_t *s, err_t *e);
void sup_stop (sup_t *s);
/* sup_main: body of a daemon: runs S until SIGTERM or SIGINT, logs start and
   end, returns the exit code.  Call it before any thread exists.  */
int sup_main (sup_t *s);

/* ---- health and metrics ---- */

typedef struct http http_t;

/* http_new: serves GET /health (200 or 503 with the text that HEALTH appends
   to OUT, called in the duty's thread) and GET /metrics (counter_text) on the
   listening socket FD, which it takes over.  Freed with POOL.  */
http_t *http_new (apr_pool_t *pool, int fd,
                  bool (*health) (void *arg, buf_t *out), void *arg, err_t *e);
duty_t http_duty (http_t *h);

#endif
