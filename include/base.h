/* base - strings, buffers, errors, clock, log events, random numbers, queues
   between threads, metrics, supervised threads, and the HTTP server for health
   and metrics.  */

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

/* A byte string with its length.  P ends in NUL only if str_dup or str_fmt
   made it.  */
typedef struct
{
  char *p;
  size_t n;
} str_t;

#define STR(lit) ((str_t){ .p = (char *)(lit), .n = sizeof (lit) - 1 })
#define STR_FMT "%.*s"
#define STR_ARG(s) (int)(s).n, ((s).p ? (s).p : "")

/* str_of: view of the NUL-terminated string C; NULL gives the empty
   string.  */
str_t str_of (const char *c);
/* str_dup: copies S into POOL and appends a NUL.  */
str_t str_dup (apr_pool_t *pool, str_t s);
/* str_fmt: formats a string into POOL.  */
str_t str_fmt (apr_pool_t *pool, const char *fmt, ...)
    __attribute__ ((format (printf, 2, 3)));
bool str_eq (str_t a, str_t b);
bool str_caseeq (str_t a, str_t b);
bool str_starts (str_t s, str_t prefix);
int str_cmp (str_t a, str_t b);
/* str_int: parses S as a decimal int64.  False when S is empty, has other
   characters or is out of range.  */
bool str_int (str_t s, int64_t *out);
/* str_copy: copies S with a NUL to the field TO of SIZE bytes.  False, with
   TO unchanged, when it doesn't fit or contains a NUL: a shortened name would
   be that of something else.  */
bool str_copy (char *to, size_t size, str_t s);
/* str_hash: XXH3 64-bit hash.  */
uint64_t str_hash (str_t s);

/* A growable byte buffer on the heap.  Bytes OFF to N - 1 are unread.  */
typedef struct
{
  char *p;
  size_t n;
  size_t off;
  size_t cap;
} buf_t;

void buf_init (buf_t *b);
/* buf_free: frees the memory; B is empty and can be used again.  */
void buf_free (buf_t *b);
/* buf_room: makes room for N more bytes and returns where to write them; the
   caller then adds to B->n.  */
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
  /* Of an empty buffer P is NULL, to which not even 0 may be added.  */
  return (str_t){ b->off ? b->p + b->off : b->p, b->n - b->off };
}

/* ---- errors ---- */

/* Error codes: identifier, printed name, exit code of programs (err_exit).  */
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

/* A failure: its code, errno of a failed system call (or 0), the line and byte
   offset of the input (or 0), the file, field or connection concerned, and a
   one-line description.  */
typedef struct
{
  errcode_t code;
  int sys;
  int line;
  int64_t offset;
  char subject[128];
  char detail[192];
} err_t;

/* err_set: sets E, which may be NULL.  Returns false, so that callers can
   write `return err_set (...)`.  */
bool err_set (err_t *e, errcode_t code, const char *subject, const char *fmt,
              ...) __attribute__ ((format (printf, 4, 5)));
/* err_sys: sets E to ERR_SYS with the text of errno; WHAT is the system call
   that failed.  Returns false.  */
bool err_sys (err_t *e, const char *subject, const char *what);
const char *err_name (errcode_t code);
/* err_exit: exit code of a program for CODE: 0 success, 1 system error, 2
   usage, 3 invalid settings or questionnaire, 4 conflict, 5 unreachable or
   busy, 6 protocol error, 7 corrupt data.  */
int err_exit (errcode_t code);
/* err_line: writes "SUBJECT:LINE: NAME: DETAIL" to OUT, at most SIZE bytes. */
void err_line (const err_t *e, char *out, size_t size);

/* ---- clock ---- */

/* A time or duration in ms.  Times are those of a monotonic clock that also
   runs while the machine is suspended.  */
typedef int64_t msec_t;

/* msec_now: CLOCK_BOOTTIME in milliseconds.  */
msec_t msec_now (void);
/* msec_wall: milliseconds since 1970; for display only, never compared.  */
msec_t msec_wall (void);
void msec_sleep (msec_t ms);

/* ---- log events ---- */

#include "events.h"

/* log_open: sets the program's name and the highest level that is written
   (0 emergency .. 7 debug, as in syslog).  */
void log_open (const char *program, int level);
int log_level (void);
/* log_structured: true switches to one JSON object per line on standard
   output.  Writes never block: lines that the reader has no room for or that
   exceed the rates below are dropped, and the next line of the same event
   carries their number as "omitted".  */
void log_structured (bool on);
enum
{
  LOG_RATE = 100,    /* lines per second of one event */
  LOG_RATE_ALL = 190 /* lines per second of all events */
};
/* log_event: writes one line to standard error: `<LEVEL>PROGRAM[PID]: TIME
   E<NUMBER> NAME key=value ...`.  */
void log_event (event_t ev, const char *fmt, ...)
    __attribute__ ((format (printf, 2, 3)));
/* event_name, event_number, event_level: the catalogue entry of EV.  */
const char *event_name (event_t ev);
int event_number (event_t ev);
int event_level (event_t ev);

/* ---- random numbers ---- */

/* A counter-based generator, Philox 4x32 of Random123: the same seed gives the
   same sequence.  */
typedef struct
{
  uint64_t seed;
  uint64_t ctr;
} rng_t;

void rng_init (rng_t *r, uint64_t seed);
uint64_t rng_u64 (rng_t *r);
/* rng_below: uniform in 0..N-1; 0 if N is 0.  */
uint64_t rng_below (rng_t *r, uint64_t n);
/* rng_unit: uniform in [0,1).  */
double rng_unit (rng_t *r);
/* rng_system_seed: a random seed from the kernel.  */
uint64_t rng_system_seed (void);

/* ---- bounded ring ---- */

/* A bounded queue of pointers between threads: many producers, one consumer.
 */
typedef struct ring ring_t;

/* ring_new: a ring with room for CAP items, freed with POOL.  */
ring_t *ring_new (apr_pool_t *pool, size_t cap);
/* ring_put: appends ITEM.  False with ERR_FULL when the ring is full or
   closed; the caller then still owns ITEM.  */
bool ring_put (ring_t *r, void *item, err_t *e);
/* ring_get: removes and returns the oldest item; NULL after TIMEOUT ms (-1: no
   timeout) or when the ring is closed and empty.  */
void *ring_get (ring_t *r, msec_t timeout);
/* ring_fd: a descriptor for event loops, readable while the ring has items.
   Then call ring_get with timeout 0 until it returns NULL.  */
int ring_fd (ring_t *r);
void ring_close (ring_t *r);
size_t ring_len (ring_t *r);

/* ---- metrics ---- */

typedef struct counter counter_t;

/* counter_get: the counter or gauge NAME (of Prometheus, labels included).
   Created on first use, never freed.  */
counter_t *counter_get (const char *name, const char *help);
void counter_add (counter_t *c, int64_t n);
void counter_set (counter_t *c, int64_t n);
int64_t counter_value (const counter_t *c);
/* A Prometheus histogram of durations in ms: cumulative buckets, sum and
   count, each a counter.  */
typedef struct hist hist_t;

/* hist_new: never freed.  LABELS is name="value",...  */
hist_t *hist_new (const char *name, const char *labels, const char *help);
void hist_add (hist_t *h, msec_t ms);
/* counter_text: appends all counters to OUT in the text format of
   Prometheus.  */
void counter_text (buf_t *out);

/* ---- duties: supervised threads ---- */

typedef struct sup sup_t;

/* RUN is called in a thread of its own.  It returns true when it is finished,
   false with E when it failed; the supervisor then starts it again.  STOP,
   which may be NULL, is called from another thread; RUN must return soon
   after.  */
typedef struct
{
  const char *name;
  bool (*run) (void *arg, err_t *e);
  void (*stop) (void *arg);
  void *arg;
} duty_t;

/* sup_new: a supervisor that restarts each duty at most RESTARTS times within
   PERIOD ms.  */
sup_t *sup_new (apr_pool_t *pool, const char *name, int restarts,
                msec_t period);
/* sup_add: adds a duty; sup_duty makes a supervisor a duty of another.  */
void sup_add (sup_t *s, duty_t d);
duty_t sup_duty (sup_t *s);
/* sup_run: starts the duties in order, restarts those that fail, and after
   sup_stop stops them in reverse order.  Returns false with the cause when a
   duty failed more often than allowed.  */
bool sup_run (sup_t *s, err_t *e);
void sup_stop (sup_t *s);
/* sup_main: runs S until SIGTERM or SIGINT, logs start and stop, and returns
   the exit code of the program.  Call it before any thread exists.  */
int sup_main (sup_t *s);

/* ---- health and metrics ---- */

typedef struct http http_t;

/* http_new: serves GET /health and GET /metrics on the listening socket FD,
   which it then owns.  HEALTH runs in the duty's thread; it appends the body
   to OUT and returns true for status 200, false for 503.  Freed with POOL.  */
http_t *http_new (apr_pool_t *pool, int fd,
                  bool (*health) (void *arg, buf_t *out), void *arg, err_t *e);
duty_t http_duty (http_t *h);

#endif
