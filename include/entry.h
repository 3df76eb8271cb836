/* entry - the entry instance: client sessions, connection pools, request state
   machine, admin database and proxy event loop.

   Everything but entry_main decides without I/O: it takes events, returns
   actions, reads no clock and opens no socket, so that unit tests and fuzzing
   run the same code as the daemon.  Times are msec_t, in ms.  */

#ifndef ENTRY_H
#define ENTRY_H

#include "base.h"
#include "conf.h"
#include "pgwire.h"
#include "route.h"
#include "sql.h"

/* ---- plan: how a request is handled ---- */

typedef enum
{
  PLAN_REFUSE,     /* refused with REFUSAL and WHY */
  PLAN_LOCAL,      /* answered by the proxy, see LOCAL */
  PLAN_READ,       /* on a replica that proves coverage of the token, or on the
                      primary under a lease */
  PLAN_SET,        /* a read whose success changes the session's settings */
  PLAN_WRITE,      /* on the primary, confirmed */
  PLAN_KEYED,      /* write with an idempotency key: on the primary, outcome
                      recorded, confirmed */
  PLAN_BEGIN,      /* on the primary, keeps the connection */
  PLAN_BEGIN_READ, /* routed like a read, keeps the connection */
  PLAN_BLOCK,      /* inside a transaction block, on its connection */
  PLAN_COMMIT      /* ends a transaction block, confirmed */
} plan_kind_t;

typedef enum
{
  LOCAL_EMPTY,   /* empty statement */
  LOCAL_SET,     /* SET pimentopost.NAME */
  LOCAL_SHOW,    /* SHOW pimentopost.NAME */
  LOCAL_RESET,   /* RESET or DISCARD of the session's settings */
  LOCAL_ROLLBACK /* ends a block whose connection was lost */
} local_t;

typedef struct
{
  plan_kind_t kind;
  local_t local;
  pgrefusal_t refusal;
  const char *why;
  bool stateful;  /* may leave state in the backend session */
  bool savepoint; /* sets a savepoint in the block */
} plan_t;

/* State of the session's transaction block.  */
typedef enum
{
  BLOCK_NONE = 'I',
  BLOCK_OPEN = 'T',
  BLOCK_FAILED = 'E'
} block_t;

typedef struct
{
  block_t block;
  bool block_lost; /* the block's connection was lost */
  bool read_only;  /* the block runs on a replica or is READ ONLY */
  bool keyed;      /* the request has an idempotency key */
  bool savepoint;  /* a savepoint was set in the block */
} plan_input_t;

/* plan_statement: plan of one statement that was classified as Q.  */
plan_t plan_statement (const sql_t *q, const plan_input_t *in);
/* plan_join: plan of a batch in which statements with plan B follow statements
   with plan A.  */
plan_t plan_join (plan_t a, plan_t b);

/* ---- exchange: one request on one backend connection ---- */

/* An exchange is a sequence of segments, each ended by ReadyForQuery.  The
   segments of one phase are sent in one flush: phase 0 applies settings,
   phase 1 runs the statement, phase 2 ends a keyed write.  */
typedef enum
{
  SEG_SETUP,    /* SET for each setting of the session */
  SEG_CHECK,    /* pimentopost_wait */
  SEG_BEGIN,    /* BEGIN of a keyed write */
  SEG_KEY,      /* INSERT of the key */
  SEG_STMT,     /* the client's statement or batch */
  SEG_RECORD,   /* UPDATE with the outcome */
  SEG_COMMIT,   /* COMMIT of a keyed write */
  SEG_ROLLBACK, /* ROLLBACK of a keyed write */
  SEG_OUTCOME,  /* SELECT of the outcome recorded for the key */
  SEG_CONFIRM   /* pimentopost_confirm */
} seg_t;

typedef enum
{
  X_DROP,   /* discard the message */
  X_HOLD,   /* append it to the held messages */
  X_FORWARD /* send the held messages, then this one, to the client */
} xaction_t;

typedef enum
{
  XV_MORE,       /* the exchange goes on */
  XV_NEXT_PHASE, /* send the next phase, see xchg_phase */
  XV_DONE,       /* send the held messages, then ReadyForQuery */
  XV_UNKNOWN,    /* outcome unknown: drop the held messages, answer 40003 */
  XV_NOT_RUN,    /* the database refused the statement before it ran, with the
                    held error; it may be sent to another database */
  XV_UNPROVEN,   /* coverage or the lease was not proven, nothing went to the
                    client; the read may be sent to another database */
  XV_REPLAY,  /* the key was used before: answer with the recorded outcome */
  XV_PROTOCOL /* the database violated the protocol: close the connection
                 and treat it as lost */
} xverdict_t;

typedef struct
{
  plan_kind_t kind;
  bool setup;    /* send the session's settings first */
  bool check;    /* the replica has to prove that it covers the token */
  bool lease;    /* the primary's lease has to hold when the answer arrives */
  bool extended; /* the statement is a batch of the extended protocol */
  int64_t term;  /* group term of the lease that a commit needs */
} xplan_t;

enum
{
  XCHG_SEGS = 4,            /* segments of one phase, at most */
  XCHG_HOLD_MAX = 256 << 10 /* bytes of a write's rows held until its
                               confirmation */
};

/* One answer that a batch expects.  */
typedef struct
{
  char type;     /* '1' '2' '3' 'T' (Describe) 'E' (Execute) */
  bool internal; /* to a message that the proxy added: the answer is dropped */
  bool local;    /* the proxy answers in place of the database */
  void *tag;     /* for the caller */
} xop_t;

typedef struct
{
  xplan_t plan;
  uint8_t seg[XCHG_SEGS]; /* seg_t, of the present phase */
  uint8_t nseg;
  uint8_t at; /* index in SEG of the segment being answered */
  uint8_t phase;
  bool sent; /* bytes of the statement may have reached the database */
  bool answer_started; /* the statement's answer has begun to arrive */
  bool forwarded;      /* part of the answer went to the client */
  bool complete;       /* the statement had a CommandComplete */
  bool failed;         /* an error ended the statement, see SQLSTATE */
  bool not_run;        /* the error proves that the statement did not run */
  bool rolled_back;    /* the COMMIT rolled back */
  bool covered;        /* false once a check or the lease failed */
  bool key_taken;      /* the key was used before */
  bool outcome_found;  /* with KEY_TAKEN: its outcome was found */
  bool confirmed;      /* pimentopost_confirm succeeded in the plan's term */
  char ready;          /* transaction status of the last ReadyForQuery */
  char stmt_ready;     /* the same of the statement's segment */
  size_t held_bytes;   /* of the statement's answer */
  token_t token;       /* from pimentopost_confirm or pimentopost_wait */
  char sqlstate[6];
  const xop_t *ops;
  int nops;
  int op;        /* index in OPS of the next answer */
  int failed_op; /* index in OPS of the operation that failed */
} xchg_t;

/* Callbacks of an exchange.  */
typedef struct
{
  /* LEASE: whether this instance may acknowledge writes of the exchange's
     group term now.  */
  bool (*lease) (void *arg);
  /* ROW: takes a row of SEG in text form, to update the view; may be NULL.  */
  void (*row) (void *arg, seg_t seg, const str_t *col, int n);
  void *arg;
} xcallbacks_t;

/* xchg_init: starts X with PLAN.  Afterwards, for each phase: xchg_phase,
   send, xchg_sent, and xchg_message for each message until the verdict is not
   XV_MORE.  */
void xchg_init (xchg_t *x, xplan_t plan);
/* xchg_ops: the answers that the batch expects; OPS must outlive X.  */
void xchg_ops (xchg_t *x, const xop_t *ops, int n);
/* xchg_phase: puts the segments to send now into SEG.  The caller sends them
   and calls xchg_sent.  */
void xchg_phase (xchg_t *x);
void xchg_sent (xchg_t *x);
/* xchg_local_answer: type of an answer that the proxy gives itself before the
   next message of the database, or 0.  ACT says where it goes.  */
char xchg_local_answer (xchg_t *x, const xcallbacks_t *cb, xaction_t *act);
/* xchg_message: handles message M of the database; returns where it goes.  V
   is the verdict after it.  */
xaction_t xchg_message (xchg_t *x, const pgmsg_t *m, const xcallbacks_t *cb,
                        xverdict_t *v);

typedef enum
{
  XL_NOT_RUN,      /* certainly not run: may be repeated */
  XL_READ,         /* a read without effect, nothing of its answer forwarded */
  XL_READ_PARTIAL, /* a read whose answer was forwarded in part */
  XL_BLOCK,        /* the transaction block was lost and rolled back */
  XL_FAILED,       /* the statement failed; the held error is the answer */
  XL_UNKNOWN       /* outcome unknown */
} xlost_t;

/* xchg_lost: outcome of the exchange if its connection is lost now.  */
xlost_t xchg_lost (const xchg_t *x);

/* ---- pool: connections to one database ---- */

enum
{
  POOL_MAX = 512 /* connections to one database in one event loop */
};

typedef enum
{
  SLOT_FREE,
  SLOT_CONNECTING,
  SLOT_IDLE,
  SLOT_BUSY,     /* has an owner */
  SLOT_RESETTING /* being reset, or about to be closed */
} slot_state_t;

typedef struct
{
  slot_state_t state;
  uint64_t owner;
  msec_t since; /* time of the last state change */
} pool_slot_t;

typedef struct
{
  int open; /* slots in all states but SLOT_FREE */
  int idle;
  int busy;
  int connecting;
  int limit;       /* connections that may be open */
  msec_t retry_at; /* no connection attempt before this time */
  msec_t backoff;  /* ms from the last failed attempt to RETRY_AT */
  int nidle;       /* length of IDLE_SLOTS */
  int16_t idle_slots[POOL_MAX]; /* most recently used last */
  pool_slot_t slot[POOL_MAX];
} pool_t;

typedef enum
{
  POOL_KEEP,  /* the connection is idle now */
  POOL_RESET, /* send a reset, then call pool_reset */
  POOL_CLOSE  /* close the connection, then call pool_closed */
} pool_action_t;

void pool_init (pool_t *p);
/* pool_limit: sets how many connections may be open.  */
void pool_limit (pool_t *p, int limit);
/* pool_take: gives the most recently used idle connection to OWNER (not 0);
   returns its slot or -1.  */
int pool_take (pool_t *p, uint64_t owner, msec_t now);
/* pool_take_oldest: the same for the connection that was idle longest, if that
   is more than AGE ms.  */
int pool_take_oldest (pool_t *p, uint64_t owner, msec_t age, msec_t now);
/* pool_open: a slot to connect in, or -1 at the limit and during the backoff
   after a failure.  */
int pool_open (pool_t *p, msec_t now);
/* pool_connected: the connection in SLOT is established.  POOL_CLOSE when the
   limit fell meanwhile.  */
pool_action_t pool_connected (pool_t *p, int slot, msec_t now);
/* pool_failed: connecting failed; the slot is free.  */
void pool_failed (pool_t *p, int slot, msec_t now);
/* pool_release: OWNER gives the connection back after ReadyForQuery READY (0:
   none was seen).  STATEFUL: the backend session has state; UNUSABLE: the
   request was cancelled or timed out, or its answer was read in part or
   violated the protocol.  POOL_CLOSE if OWNER is not the owner.  */
pool_action_t pool_release (pool_t *p, int slot, uint64_t owner, char ready,
                            bool stateful, bool unusable, msec_t now);
/* pool_reset: the reset was answered with READY; OK: without an error.  */
pool_action_t pool_reset (pool_t *p, int slot, char ready, bool ok,
                          msec_t now);
void pool_closed (pool_t *p, int slot);
/* pool_surplus: an idle slot to close: over the limit, or idle for longer than
   IDLE_TIMEOUT ms while more than MIN_OPEN connections are open; -1 for none.
   The slot is no longer idle; close its connection and call pool_closed.  */
int pool_surplus (pool_t *p, int min_open, msec_t idle_timeout, msec_t now);

/* ---- session settings ---- */

/* Settings that a session made with SET, to be repeated on each connection
   that it uses.  A heap block: name NUL value NUL ...  */
typedef struct
{
  char *p;
  size_t n;
} guc_t;

enum
{
  GUC_MAX = 4096 /* bytes of all settings of one session */
};

/* guc_set: sets NAME to VALUE; DEFAULTED removes it.  False with
   ERR_TOO_LARGE.  */
bool guc_set (guc_t *g, str_t name, str_t value, bool defaulted, err_t *e);
/* guc_get: value of NAME; its P is NULL when NAME is not set.  */
str_t guc_get (const guc_t *g, str_t name);
void guc_free (guc_t *g);
/* guc_sql: appends "SET name TO 'value'; " for each setting.  */
void guc_sql (const guc_t *g, buf_t *out);
/* sql_quote: appends S as a string literal; sql_quote_name: as an
   identifier.  */
void sql_quote (buf_t *out, str_t s);
void sql_quote_name (buf_t *out, str_t s);

/* ---- recorded outcomes ---- */

enum
{
  OUTCOME_MAX = 32 << 10 /* bytes of messages */
};
/* outcome_write: the messages RowDescription, DataRow and CommandComplete of
   ANSWER as text for pimentopost_request.outcome.  With more than OUTCOME_MAX
   bytes only CommandComplete is written.  */
void outcome_write (buf_t *out, str_t answer);
/* outcome_read: appends the messages recorded in TEXT.  False with
   ERR_CORRUPT.  */
bool outcome_read (buf_t *out, str_t text, err_t *e);

/* ---- prepared statements ---- */

/* A statement identified by its text and parameter types; shared by the
   sessions of one event loop.  */
typedef struct stmt
{
  struct stmt *next;
  uint64_t hash[2];
  int refs;
  sqlclass_t cls;
  bool multi;
  int ntypes;
  str_t text;
  str_t types;
  char name[40]; /* its name on backend connections */
} stmt_t;

typedef struct stmts stmts_t;

/* stmts_new: table of the statements of one event loop, freed with POOL.  */
stmts_t *stmts_new (apr_pool_t *pool);
/* stmt_get: the statement with TEXT and TYPES, created if it is new, with one
   more reference.  stmt_ref adds a reference, stmt_put drops one and frees the
   statement with the last.  */
stmt_t *stmt_get (stmts_t *t, str_t text, int ntypes, str_t types);
stmt_t *stmt_ref (stmt_t *s);
void stmt_put (stmts_t *t, stmt_t *s);

/* Prepared statements of one session by name.  */
typedef struct
{
  struct
  {
    char *name;
    stmt_t *stmt;
  } * at;
  int n;
  int cap;
} stmt_names_t;

enum
{
  STMT_NAMES_MAX = 1000 /* prepared statements of one session */
};

/* stmt_names_find: the statement called NAME, or NULL.  */
stmt_t *stmt_names_find (const stmt_names_t *t, str_t name);
/* stmt_names_set: binds NAME to S and takes a reference; S == NULL removes
   NAME.  False with ERR_FULL.  */
bool stmt_names_set (stmt_names_t *t, stmts_t *all, str_t name, stmt_t *s,
                     err_t *e);
void stmt_names_free (stmt_names_t *t, stmts_t *all);

/* Statements prepared on one backend connection.  When it is full, the least
   recently used one is closed.  */
enum
{
  PREPARED_MAX = 128 /* statements */
};
typedef struct
{
  int n;
  uint64_t tick; /* counts uses */
  struct
  {
    uint64_t hash[2];
    uint64_t used; /* TICK at the last use */
  } at[PREPARED_MAX];
} prepared_t;

/* prepared_has: whether S is prepared on the connection; counts as a use.  */
bool prepared_has (prepared_t *p, const stmt_t *s);
/* prepared_add: adds S, which the caller is about to parse there.  True when
   another statement was evicted: close the one named in OUT first.  */
bool prepared_add (prepared_t *p, const stmt_t *s, char out[40]);
void prepared_drop (prepared_t *p, const stmt_t *s);

/* ---- admin database ---- */

typedef enum
{
  ADMIN_ERROR,
  ADMIN_EMPTY,
  ADMIN_POOLS,
  ADMIN_DATABASES,
  ADMIN_LEASES,
  ADMIN_SESSIONS,
  ADMIN_CONFIG,
  ADMIN_ANNOUNCE
} admin_kind_t;

/* admin_parse: parses a statement for the admin database.  Strings of A are
   views into TEXT.  ADMIN_ERROR with ERR_SYNTAX.  */
admin_kind_t admin_parse (str_t text, announce_t *a, err_t *e);

/* ---- daemon ---- */

/* entry_main: runs an entry instance until SIGTERM; returns the exit code of
   the process.  */
int entry_main (const settings_t *s);

#endif
