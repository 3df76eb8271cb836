/* entry - the entry instance: client sessions, connection pool, request state
   machine, admin database and proxy event loop.

   The first part are decisions without I/O: events in, actions out.  They
   read no clock and open no socket, so that tests and fuzzing run the same
   code as the daemon.  */

#ifndef ENTRY_H
#define ENTRY_H

#include "base.h"
#include "conf.h"
#include "pgwire.h"
#include "route.h"
#include "sql.h"

/* ---- plan: what is done with one request ---- */

typedef enum
{
  PLAN_REFUSE,     /* see REFUSAL and WHY */
  PLAN_LOCAL,      /* answered by the proxy, see LOCAL */
  PLAN_READ,       /* check-and-read on a replica, or primary under a lease */
  PLAN_SET,        /* a read whose success changes the session's settings */
  PLAN_WRITE,      /* primary, confirm */
  PLAN_KEYED,      /* primary, recorded outcome, confirm */
  PLAN_BEGIN,      /* primary, keeps the connection */
  PLAN_BEGIN_READ, /* like a read, keeps the connection */
  PLAN_BLOCK,      /* inside a block, on its connection */
  PLAN_COMMIT      /* inside a block, confirm */
} plan_kind_t;

typedef enum
{
  LOCAL_EMPTY,    /* empty statement */
  LOCAL_SET,      /* SET pimentopost.NAME */
  LOCAL_SHOW,     /* SHOW pimentopost.NAME */
  LOCAL_RESET,    /* RESET or DISCARD of the session's settings */
  LOCAL_ROLLBACK, /* ends a block whose connection was lost */
} local_t;

typedef struct
{
  plan_kind_t kind;
  local_t local;
  pgrefusal_t refusal;
  const char *why;
  bool touches;   /* may leave state in the backend session */
  bool savepoint; /* the block has a savepoint from here on */
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
  bool lost;      /* the block's connection is gone */
  bool read_only; /* the block runs on a replica, or reads only */
  bool keyed;     /* the request carries a key */
  bool savepoint; /* the block has had a savepoint */
} planin_t;

/* plan_statement: plan of one statement of class Q.  */
plan_t plan_statement (const sql_t *q, const planin_t *in);
/* plan_join: plan of a batch of statements with plans A and B, in this
   order.  */
plan_t plan_join (plan_t a, plan_t b);

/* ---- exchange: one request on one backend connection ---- */

/* An exchange is a sequence of segments, each ended by ReadyForQuery.  The
   segments of one phase are sent in one flush.  */
typedef enum
{
  SEG_SETUP,    /* settings of the session */
  SEG_CHECK,    /* pimentopost_wait */
  SEG_BEGIN,    /* BEGIN of a keyed write */
  SEG_KEY,      /* INSERT of the key */
  SEG_STMT,     /* the client's statement or batch */
  SEG_RECORD,   /* UPDATE with the outcome */
  SEG_COMMIT,   /* COMMIT of a keyed write */
  SEG_ROLLBACK, /* ROLLBACK of a keyed write */
  SEG_OUTCOME,  /* SELECT of the first outcome */
  SEG_CONFIRM   /* pimentopost_confirm */
} seg_t;

typedef enum
{
  X_DROP,    /* not for the client */
  X_HOLD,    /* keep it behind what is already held */
  X_FORWARD, /* send what is held, then this */
} xact_t;

typedef enum
{
  XV_MORE,     /* the exchange goes on */
  XV_NEXT,     /* send the next phase, see xchg_phase */
  XV_DONE,     /* send what is held, then ReadyForQuery */
  XV_UNKNOWN,  /* drop what is held, answer 40003 */
  XV_NOT_RUN,  /* the database refused it before it ran; the held error says
                  why; it may be sent again elsewhere */
  XV_UNPROVEN, /* the read was not proven, nothing went to the client; it may
                  be sent elsewhere */
  XV_REPLAY,   /* the key was used before; answer from OUTCOME */
  XV_BROKEN    /* the answer violates the protocol: close the connection and
                  treat it as lost */
} xverdict_t;

typedef struct
{
  plan_kind_t kind;
  bool setup;    /* settings have to be sent first */
  bool check;    /* proof of coverage by a replica */
  bool lease;    /* needs the lease on the primary at the answer */
  bool extended; /* the statement is a batch of the extended protocol */
  int64_t term;  /* group term of the lease that a commit needs */
} xplan_t;

enum
{
  XCHG_SEGS = 4,
  XCHG_HOLD_MAX = 256 << 10 /* bytes of rows held back of a write */
};

/* One expected answer in a batch.  */
typedef struct
{
  char type; /* '1' '2' '3' 'T' (Describe) 'E' (Execute) */
  bool own;  /* the proxy's own message: its answer is dropped */
  bool made; /* the proxy gives this answer itself */
  void *tag; /* of the caller */
} xop_t;

typedef struct
{
  xplan_t plan;
  uint8_t seg[XCHG_SEGS];
  uint8_t nseg;
  uint8_t at;
  uint8_t phase;
  bool sent;        /* bytes of the statement may have reached the database */
  bool started;     /* the answer to the statement has arrived in part */
  bool began;       /* part of the answer went to the client */
  bool complete;    /* a CommandComplete was seen in the statement */
  bool failed;      /* an error ended the statement, see SQLSTATE */
  bool not_run;     /* ... which says that it has not run */
  bool rolled_back; /* the COMMIT rolled back */
  bool covered;
  bool key_taken; /* the key was used before */
  bool found;     /* ... and its outcome was found */
  bool confirmed;
  char ready;      /* state of the last ReadyForQuery */
  char stmt_ready; /* the same of the statement */
  size_t held;     /* bytes of the statement's answer held */
  token_t token;   /* from confirm or wait */
  char sqlstate[6];
  const xop_t *ops;
  int nops;
  int op;
  int failed_op; /* the operation that failed */
} xchg_t;

/* Outside world of an exchange.  */
typedef struct
{
  /* LEASE: this instance may acknowledge writes of the exchange's group term
     now.  */
  bool (*lease) (void *arg);
  /* ROW: a row of SEG in text form, for the view.  */
  void (*row) (void *arg, seg_t seg, const str_t *col, int n);
  void *arg;
} xworld_t;

void xchg_init (xchg_t *x, xplan_t plan);
/* xchg_ops: expected answers of the batch; must outlive X.  */
void xchg_ops (xchg_t *x, const xop_t *ops, int n);
/* xchg_phase: the segments to send now, in SEG.  The caller sends them and
   calls xchg_sent.  */
void xchg_phase (xchg_t *x);
void xchg_sent (xchg_t *x);
/* xchg_made: an answer that the proxy gives itself before the next message of
   the database, or 0.  ACT says where it goes.  */
char xchg_made (xchg_t *x, const xworld_t *w, xact_t *act);
/* xchg_message: a message of the database.  V is the verdict after it.  */
xact_t xchg_message (xchg_t *x, const pgmsg_t *m, const xworld_t *w,
                     xverdict_t *v);

typedef enum
{
  XL_NOT_RUN, /* certainly not run: may be repeated */
  XL_READ,    /* a read without effect whose answer has not begun */
  XL_CUT,     /* a read whose answer had begun */
  XL_BLOCK,   /* the block was lost and rolled back */
  XL_FAILED,  /* the held error is the answer: the statement has failed */
  XL_UNKNOWN  /* outcome unknown */
} xlost_t;

/* xchg_lost: what is known when the connection is lost now.  */
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
  SLOT_BUSY, /* has an owner */
  SLOT_RESETTING
} slot_state_t;

typedef struct
{
  slot_state_t state;
  uint64_t owner;
  msec_t since; /* of the present state */
} pool_slot_t;

typedef struct
{
  int open; /* all states but SLOT_FREE */
  int idle;
  int busy;
  int connecting;
  int limit;
  msec_t retry; /* no new connection before this time, after a failure */
  msec_t wait;  /* ms of the last such wait */
  int nidle;
  int16_t idles[POOL_MAX]; /* most recently used last */
  pool_slot_t slot[POOL_MAX];
} pool_t;

typedef enum
{
  POOL_KEEP,  /* now idle */
  POOL_RESET, /* send a reset, then pool_reset */
  POOL_CLOSE  /* close the connection, then pool_closed */
} pool_after_t;

void pool_init (pool_t *p);
/* pool_limit: connections that may be open from now on.  */
void pool_limit (pool_t *p, int limit);
/* pool_take: an idle connection becomes OWNER's (not 0); its slot or -1.  */
int pool_take (pool_t *p, uint64_t owner, msec_t now);
/* pool_take_old: the same for the connection that was idle longest, if that is
   more than AGE ms.  */
int pool_take_old (pool_t *p, uint64_t owner, msec_t age, msec_t now);
/* pool_open: a slot to connect in, or -1 at the limit and during the wait
   after a failure.  */
int pool_open (pool_t *p, msec_t now);
/* pool_connected: the connection is up and idle.  POOL_CLOSE when the limit
   fell meanwhile.  */
pool_after_t pool_connected (pool_t *p, int slot, msec_t now);
/* pool_failed: connecting failed; the slot is free.  */
void pool_failed (pool_t *p, int slot, msec_t now);
/* pool_release: OWNER gives the connection back after ReadyForQuery READY (0:
   none was seen).  TOUCHED: the backend session has state; DOUBT: cancelled,
   timed out, half read or violated.  A release by another than the owner is
   POOL_CLOSE.  */
pool_after_t pool_release (pool_t *p, int slot, uint64_t owner, char ready,
                           bool touched, bool doubt, msec_t now);
/* pool_reset: the reset was answered with READY; OK: without an error.  */
pool_after_t pool_reset (pool_t *p, int slot, char ready, bool ok, msec_t now);
void pool_closed (pool_t *p, int slot);
/* pool_surplus: an idle slot to close: over the limit, or idle for longer than
   KEEP ms while more than WARM are open; -1 for none.  It is taken out of the
   idle ones; close it and call pool_closed.  */
int pool_surplus (pool_t *p, int warm, msec_t keep, msec_t now);

/* ---- tracked settings ---- */

/* Session settings made with SET, in a heap block: name NUL value NUL ...  */
typedef struct
{
  char *p;
  size_t n;
} guc_t;

enum
{
  GUC_MAX = 4096 /* bytes of all settings of one session */
};

/* guc_set: sets NAME; DEFAULTED removes it.  False with ERR_TOO_LARGE.  */
bool guc_set (guc_t *g, str_t name, str_t value, bool defaulted, err_t *e);
/* guc_get: value of NAME, or P == NULL.  */
str_t guc_get (const guc_t *g, str_t name);
void guc_free (guc_t *g);
/* guc_sql: "SET name TO 'value'; ..." for all.  */
void guc_sql (const guc_t *g, buf_t *out);
/* sql_quote: S as a string literal, sql_quote_name: as an identifier.  */
void sql_quote (buf_t *out, str_t s);
void sql_quote_name (buf_t *out, str_t s);

/* ---- recorded outcomes ---- */

/* outcome_write: the answer messages of ANSWER (RowDescription, DataRow,
   CommandComplete) as text for pimentopost_request.outcome.  Rows that do not
   fit in OUTCOME_MAX are left out.  */
enum
{
  OUTCOME_MAX = 32 << 10 /* bytes of messages */
};
void outcome_write (buf_t *out, str_t answer);
/* outcome_read: the messages back.  ERR_CORRUPT.  */
bool outcome_read (buf_t *out, str_t text, err_t *e);

/* ---- prepared statements ---- */

/* A statement by content, shared by the sessions of one event loop.  */
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
  char name[40]; /* on backend connections */
} stmt_t;

typedef struct stmts stmts_t;

/* stmts_new: statements of one event loop, freed with POOL.  */
stmts_t *stmts_new (apr_pool_t *pool);
/* stmt_get: the statement with that content; holds a reference.  */
stmt_t *stmt_get (stmts_t *t, str_t text, int ntypes, str_t types);
stmt_t *stmt_ref (stmt_t *s);
void stmt_put (stmts_t *t, stmt_t *s);

/* Names of one session.  */
typedef struct
{
  struct
  {
    char *name;
    stmt_t *stmt;
  } * at;
  int n;
  int cap;
} names_t;

enum
{
  NAMES_MAX = 1000 /* prepared statements of one session */
};

stmt_t *names_find (const names_t *t, str_t name);
/* names_set: NAME means S from now on (takes a reference); S == NULL forgets
   it.  False with ERR_FULL.  */
bool names_set (names_t *t, stmts_t *all, str_t name, stmt_t *s, err_t *e);
void names_free (names_t *t, stmts_t *all);

/* Statements known to one backend connection, the least recently used are
   closed when it is full.  */
enum
{
  PREPARED_MAX = 128
};
typedef struct
{
  int n;
  uint64_t tick;
  struct
  {
    uint64_t hash[2];
    uint64_t used;
  } at[PREPARED_MAX];
} prepared_t;

/* prepared_has: S is known on the connection.  */
bool prepared_has (prepared_t *p, const stmt_t *s);
/* prepared_add: S is about to be parsed there.  True when another had to make
   room: close the statement named in OUT first.  */
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

/* admin_parse: a statement for the admin database.  Strings of A are views
   into TEXT.  ADMIN_ERROR with ERR_SYNTAX.  */
admin_kind_t admin_parse (str_t text, announce_t *a, err_t *e);

/* ---- daemon ---- */

/* entry_main: runs an entry instance until SIGTERM; returns the exit code.  */
int entry_main (const settings_t *s);

#endif
