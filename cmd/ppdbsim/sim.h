/* sim - stand-in database server for tests: one process, one epoll thread.
   A table maps id to val; every value is text.  Each committed transaction is
   one log record; its position is the number of records up to and including
   it.  Times are in milliseconds.  */

#ifndef SIM_H
#define SIM_H

#include "base.h"

enum
{
  TERMS_MAX = 64,       /* terms that a history keeps */
  COLS_MAX = 12,        /* columns of a result */
  ARGS_MAX = 3,         /* arguments of a function */
  CONTROL_RESERVED = 3, /* connections reserved for user pimentopost_control */
  IN_MAX = 4 << 20,     /* bytes of one replication frame */
  OUT_HIGH = 1 << 20    /* bytes of pending output at which producers pause */
};

/* ---- rows and log ---- */

typedef struct
{
  str_t table;
  str_t id;
  str_t val;
  str_t old;    /* previous value, for undoing the record */
  bool del;     /* deletes the row */
  bool existed; /* the row existed before */
} op_t;

typedef struct
{
  size_t n;
  op_t *op;
} ops_t;

typedef struct
{
  int64_t term;
  int64_t start; /* position at which the term began */
} epoch_t;

/* The history of a log: its terms in ascending order.  */
typedef struct
{
  int n;
  epoch_t at[TERMS_MAX];
} terms_t;

typedef struct row row_t;
struct row
{
  row_t *next;
  uint64_t hash;
  str_t table;
  str_t id;
  str_t val;
};

/* ---- statements ---- */

typedef enum
{
  ST_EMPTY,
  ST_BEGIN,
  ST_COMMIT,
  ST_ROLLBACK,
  ST_SET,
  ST_SHOW,
  ST_DISCARD,
  ST_CREATE, /* accepted and ignored: every table exists */
  ST_CONST,  /* SELECT of a literal */
  ST_SLEEP,  /* pg_sleep */
  ST_SERIES, /* generate_series */
  ST_INSERT,
  ST_UPDATE,
  ST_DELETE,
  ST_SELECT, /* with WHERE */
  ST_LIST,   /* every row of a table */
  ST_COUNT,
  ST_FUNC /* a function of admin.c */
} stmt_kind_t;

typedef struct
{
  stmt_kind_t kind;
  str_t table; /* or the name of a function or setting */
  str_t id;
  str_t val;
  bool add;      /* val = val + VAL */
  bool append;   /* val = val || VAL */
  bool readonly; /* BEGIN READ ONLY */
  int64_t n;     /* ms to sleep, or rows of a series */
  int ncols;
  str_t col[COLS_MAX]; /* result columns; none if no rows are returned */
  int nargs;
  str_t arg[ARGS_MAX];
} stmt_t;

/* ---- connections ---- */

typedef enum
{
  K_NEW,      /* accepted, nothing received yet */
  K_PG,       /* PostgreSQL client */
  K_REPLICA,  /* replica that follows this database */
  K_UPSTREAM, /* to the primary that this database follows */
  K_ANNOUNCE  /* to an entry instance */
} conn_kind_t;

typedef enum
{
  W_NONE,
  W_CONNECT,  /* for the configured time to open a connection */
  W_SLOT,     /* for a free slot */
  W_SERVICE,  /* for the end of the service time */
  W_LOCK,     /* for a row lock of another transaction */
  W_CONFIRM,  /* for a majority to hold a position */
  W_POSITION, /* for this database to reach a position */
  W_SERIES    /* for room in the output buffer */
} conn_wait_t;

/* A prepared statement, a portal, or a setting with its value in SQL.  */
typedef struct prep prep_t;
struct prep
{
  prep_t *next;
  str_t name;
  str_t sql;
  int nparams;
  str_t *param; /* bound values of a portal; p is NULL for SQL NULL */
};

typedef struct sim sim_t;
typedef struct conn conn_t;
struct conn
{
  conn_t *next;
  sim_t *sim;
  int fd;
  conn_kind_t kind;
  buf_t in;
  buf_t out;
  unsigned events; /* registered with epoll */
  bool eof;        /* the peer has closed; buffered input is still processed */
  bool closed;     /* freed at the end of the loop step */
  bool silent;     /* fault: receives no answer */

  /* PostgreSQL session */
  apr_pool_t *pool; /* memory of the current message */
  uint32_t pid;
  uint32_t secret;
  bool control;      /* user pimentopost_control */
  bool fault_exempt; /* dbname ppdbsim: not subject to faults or the
                        connection limit */
  char tx;           /* transaction status as in ReadyForQuery: I, T or E */
  bool readonly;
  bool skip;        /* extended protocol: after an error, skip to Sync */
  bool ext;         /* the current statement came by Execute */
  ops_t ops;        /* uncommitted writes */
  int64_t last_pos; /* position at the end of the last transaction */
  prep_t *prepared;
  prep_t *portals;
  prep_t *settings;
  str_t rest; /* remaining statements of a simple query */
  stmt_t st;
  conn_wait_t wait;
  msec_t due;        /* end of the wait, for waits with a time */
  uint64_t ticket;   /* order of arrival among waits for a slot */
  msec_t service;    /* service time of the statement */
  int64_t wait_term; /* of W_CONFIRM and W_POSITION */
  int64_t wait_pos;
  int64_t series; /* rows of the series sent so far */

  /* replication and announcement */
  char peer[64];      /* name of the replica */
  int64_t sent_pos;   /* last record sent to the replica */
  int64_t ack_pos;    /* last record that the replica acknowledged */
  int64_t ack_term;   /* term of the replica at that acknowledgement */
  bool ready;         /* handshake done; K_ANNOUNCE: no answer outstanding */
  msec_t received_at; /* time of the last message from the peer */
  msec_t sent_at;     /* time of the last message to the peer */
};

typedef struct pending pending_t; /* received record, not yet applied */

struct sim
{
  apr_pool_t *pool;
  int ep;
  int listener;
  conn_t *conns;
  msec_t now;
  volatile bool stop;

  /* settings */
  str_t name;
  str_t group;
  str_t zone;
  str_t address;
  str_t data;  /* data directory; empty: memory only */
  int slots;   /* statements served at a time */
  int limit;   /* connections */
  int members; /* databases of the group */
  msec_t connect_ms;
  msec_t read_ms;
  msec_t write_ms;
  msec_t initial_lag; /* configured lag, restored by the fault command heal */
  str_t announce[32]; /* addresses of the entry instances */
  int nannounce;

  /* state */
  bool primary;
  terms_t terms;
  int64_t fence;
  str_t owner;      /* of the fence */
  str_t term_owner; /* of the current term */
  str_t upstream;   /* address of the primary to follow */
  int64_t upstream_term;
  row_t **rows;
  size_t nbuckets;
  size_t nrows;
  ops_t *log;
  int64_t pos; /* records in the log */
  int64_t logcap;
  int64_t confirmed; /* position that a majority holds in the current term */
  int logfd;
  bool dirty; /* written to the file but not yet synced */

  /* runtime */
  int busy; /* slots in use */
  uint64_t next_ticket;
  uint32_t last_pid;
  rng_t rng;
  conn_t *upstream_conn;
  msec_t upstream_retry_at;
  msec_t upstream_received_at; /* last frame, or the order to follow */
  pending_t *pending;          /* queue in order of position */
  pending_t **pending_end;
  conn_t *announce_conn;
  int announce_index; /* next entry instance to try */
  msec_t announce_retry_at;

  /* faults */
  bool frozen;
  msec_t frozen_until; /* 0: until healed */
  bool partitioned;    /* from control and the other databases */
  bool leaving; /* reported by status and announcements: takes no new work */
  msec_t lag;   /* delay before a received record is applied */

  int64_t reads;
  int64_t writes;
  int64_t opened; /* client connections */
};

/* ---- store.c: rows and the log in memory ---- */

str_t heap_dup (str_t s);
void heap_free (str_t *s);
row_t *store_find (sim_t *s, str_t table, str_t id);
/* store_append: applies OPS as the next record and takes ownership of its
   memory.  */
void store_append (sim_t *s, ops_t *ops);
/* store_truncate: undoes all records after POS.  */
void store_truncate (sim_t *s, int64_t pos);
void ops_free (ops_t *o);
op_t *ops_add (ops_t *o, str_t table, str_t id);
/* ops_find: the last write to (TABLE, ID) in O, or NULL.  */
op_t *ops_find (const ops_t *o, str_t table, str_t id);
int64_t sim_term (const sim_t *s);
/* sim_readonly: not the primary, or fenced by a later term.  */
bool sim_readonly (const sim_t *s);
/* terms_text, terms_parse: TERM:START,... in ascending order.  */
void terms_text (const terms_t *t, buf_t *out);
bool terms_parse (str_t text, terms_t *t);
/* terms_common: the last position up to which two logs are equal, with the
   histories A and B and the positions AP and BP.  */
int64_t terms_common (const terms_t *a, int64_t ap, const terms_t *b,
                      int64_t bp);
/* terms_cover: the coverage rule: a log with history T at position POS holds
   the records of TERM up to WANT, as far as the next term in T kept them.  */
bool terms_cover (const terms_t *t, int64_t pos, int64_t term, int64_t want);
void terms_cut (terms_t *t, int64_t pos, int64_t below);

/* ---- disk.c: the data directory ---- */

void pack_u64 (buf_t *b, uint64_t v);
void pack_str (buf_t *b, str_t s);
bool unpack_u64 (str_t *in, uint64_t *v);
bool unpack_str (str_t *in, str_t *s);
void pack_ops (buf_t *b, const ops_t *o);
bool unpack_ops (str_t *in, ops_t *o);
/* disk_open: reads the log in the data directory, if one is configured.  An
   incomplete last record is removed; ERR_CORRUPT if an earlier record is
   damaged.  */
bool disk_open (sim_t *s, err_t *e);
void disk_record (sim_t *s, const ops_t *o);
void disk_truncate (sim_t *s, int64_t pos);
/* disk_state: writes role, terms and fence; synced before it returns.  */
void disk_state (sim_t *s);
void disk_sync (sim_t *s);

/* ---- parse.c ---- */

/* parse_next: parses the first statement of SQL and advances SQL past it.
   PARAM holds NPARAMS values.  False with a message in ERR on a syntax
   error.  */
bool parse_next (apr_pool_t *pool, str_t *sql, const str_t *param, int nparams,
                 stmt_t *st, const char **err);

/* ---- exec.c ---- */

/* stmt_start: runs C's statement, or makes C wait for a slot.  */
void stmt_start (conn_t *c);
/* stmt_wake: resumes the waiting C if its condition holds.  */
void stmt_wake (conn_t *c);
void stmt_cancel (conn_t *c);
/* tx_end: commits or discards the writes of C.  False if they could not be
   committed; none has been applied then.  */
bool tx_end (conn_t *c, bool commit);

/* ---- admin.c: functions of the backend server interface ---- */

/* func_start: runs C's statement of kind ST_FUNC.  */
void func_start (conn_t *c);
void func_confirm (conn_t *c);
void func_wait (conn_t *c);
/* func_cols: sets the result columns of function ST.  */
void func_cols (stmt_t *st);
/* admin_confirmed: updates the confirmed position.  */
void admin_confirmed (sim_t *s);

/* ---- pg.c: PostgreSQL protocol; prep.c: lists of prep_t ---- */

void sess_input (conn_t *c);
void sess_next (conn_t *c); /* after a statement has ended */
void sess_error (conn_t *c, const char *state, const char *fmt, ...)
    __attribute__ ((format (printf, 3, 4)));
void sess_rowdesc (conn_t *c);
void sess_row (conn_t *c, int n, const str_t *v);
void sess_complete (conn_t *c, const char *fmt, ...)
    __attribute__ ((format (printf, 2, 3)));
/* sess_startup_reply: completes the startup of a session.  */
void sess_startup_reply (conn_t *c);
void prep_set (prep_t **list, str_t name, str_t sql);
prep_t *prep_find (prep_t *list, str_t name);
void prep_drop (prep_t **list, str_t name);
void prep_clear (prep_t **list);

/* ---- repl.c ---- */

void repl_accept (conn_t *c); /* C sent REPL_CODE */
void repl_input (conn_t *c);
void repl_tick (sim_t *s);
/* repl_due: time at which the next pending record is applied, 0 for none.  */
msec_t repl_due (const sim_t *s);
void repl_stop_upstream (sim_t *s);
void repl_stop_replicas (sim_t *s);
enum
{
  REPL_CODE = 0x70706462 /* "ppdb" */
};

/* ---- announce.c ---- */

void announce_tick (sim_t *s);
void announce_input (conn_t *c);

/* ---- loop.c ---- */

conn_t *conn_add (sim_t *s, int fd, conn_kind_t kind);
void conn_close (conn_t *c);
/* conn_suspended: a fault keeps C from being served.  */
bool conn_suspended (const conn_t *c);
/* conn_count: client connections that count towards the limit.  */
int conn_count (const sim_t *s);
void sim_run (sim_t *s);

#endif
