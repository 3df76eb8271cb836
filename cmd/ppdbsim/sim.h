/* sim - a stand-in database: one process, one epoll thread.  A table is a map
   from id to val; a committed transaction is one record of the log and its
   position is the number of records up to it.  */

#ifndef SIM_H
#define SIM_H

#include "base.h"

enum
{
  TERMS_MAX = 64,
  COLS_MAX = 12,
  ARGS_MAX = 3,
  RESERVED = 3,      /* connections kept for pimentopost_control */
  IN_MAX = 4 << 20,  /* bytes of one message or of unread input */
  OUT_HIGH = 1 << 20 /* bytes of output at which production pauses */
};

/* ---- rows and log ---- */

typedef struct
{
  str_t table;
  str_t id;
  str_t val;
  str_t old; /* value before, kept so that the log tail can be undone */
  bool del;
  bool had; /* the row existed before */
} op_t;

typedef struct
{
  size_t n;
  op_t *op;
} ops_t;

typedef struct
{
  int64_t term;
  int64_t start;
} epoch_t;

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
  ST_CREATE, /* accepted, does nothing: every table exists */
  ST_CONST,
  ST_SLEEP,
  ST_SERIES,
  ST_INSERT,
  ST_UPDATE,
  ST_DELETE,
  ST_SELECT, /* with WHERE */
  ST_LIST,
  ST_COUNT,
  ST_FUNC
} skind_t;

typedef struct
{
  skind_t kind;
  str_t table; /* or name of a function or setting */
  str_t id;
  str_t val;
  bool add;      /* val = val + VAL */
  bool append;   /* val = val || VAL */
  bool readonly; /* BEGIN READ ONLY */
  int64_t n;     /* ms of a sleep, rows of a series */
  int ncols;
  str_t col[COLS_MAX]; /* of the answer; none when there are no rows */
  int nargs;
  str_t arg[ARGS_MAX];
} stmt_t;

/* ---- connections ---- */

typedef enum
{
  K_NEW,
  K_PG,
  K_REPLICA,  /* a replica that pulls from here */
  K_UPSTREAM, /* the primary that this database pulls from */
  K_ANNOUNCE  /* an entry instance */
} ckind_t;

typedef enum
{
  W_NONE,
  W_CONNECT, /* delay of a new connection */
  W_SLOT,
  W_SERVICE,
  W_LOCK,
  W_CONFIRM,
  W_COVER,
  W_SERIES
} cwait_t;

typedef struct prep prep_t;
struct prep
{
  prep_t *next;
  str_t name;
  str_t sql;
  int nparams;
  str_t *param; /* of a portal; p is NULL for a null */
};

typedef struct sim sim_t;
typedef struct conn conn_t;
struct conn
{
  conn_t *next;
  sim_t *sim;
  int fd;
  ckind_t kind;
  buf_t in;
  buf_t out;
  unsigned events; /* what epoll waits for */
  bool eof;        /* the peer has closed; buffered input is still run */
  bool gone;       /* to be freed */
  bool silent;     /* fault: never answered */

  /* PostgreSQL session */
  apr_pool_t *pool; /* of the present message */
  uint32_t pid;
  uint32_t secret;
  bool control; /* user pimentopost_control */
  bool fault;   /* dbname ppdbsim: immune to faults */
  char tx;      /* I, T or E */
  bool readonly;
  bool skip;    /* extended protocol: an error was sent, skip to Sync */
  bool ext;     /* the running statement came by Execute */
  ops_t ops;    /* uncommitted writes */
  int64_t last; /* position at the end of the last transaction */
  prep_t *prepared;
  prep_t *portals;
  prep_t *settings;
  str_t rest; /* statements of a simple query still to run */
  stmt_t st;
  cwait_t wait;
  msec_t due;
  uint64_t ticket; /* order among those that wait for a slot */
  msec_t service;
  int64_t cover_term;
  int64_t cover_pos;
  int64_t series;

  /* replication and announcement */
  char peer[64];
  int64_t sent;
  int64_t ack;
  int64_t ack_term;
  bool ready;
  msec_t heard;
  msec_t told;
};

typedef struct late late_t; /* a received record that is not yet applied */

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
  str_t data;
  int slots;
  int limit;
  int members; /* databases of the group */
  msec_t connect_ms;
  msec_t read_ms;
  msec_t write_ms;
  msec_t lag0; /* configured lag, to which heal returns */
  str_t announce[32];
  int nannounce;

  /* state */
  bool primary;
  terms_t terms;
  int64_t fence;
  str_t owner;      /* of the fence */
  str_t term_owner; /* of the present term */
  str_t upstream;
  int64_t upstream_term;
  row_t **rows;
  size_t nbuckets;
  size_t nrows;
  ops_t *log;
  int64_t pos;
  int64_t logcap;
  int64_t confirmed;
  int logfd;
  bool dirty; /* written to the file, not yet synced */

  /* runtime */
  int busy; /* slots taken */
  uint64_t tickets;
  uint32_t pids;
  rng_t rng;
  conn_t *up;
  msec_t up_next;
  msec_t up_heard;
  late_t *late;
  late_t **late_end;
  conn_t *ann;
  int ann_at;
  msec_t ann_next;

  /* faults */
  bool frozen;
  msec_t thaw; /* end of a freeze, 0 for none */
  bool cut;
  bool leaving;
  msec_t lag;

  int64_t reads;
  int64_t writes;
  int64_t opened;
};

/* ---- store.c: rows and the log in memory ---- */

str_t heap_dup (str_t s);
void heap_free (str_t *s);
row_t *store_find (sim_t *s, str_t table, str_t id);
/* store_append: applies OPS as the next record; takes over its memory.  */
void store_append (sim_t *s, ops_t *ops);
/* store_truncate: undoes all records past POS.  */
void store_truncate (sim_t *s, int64_t pos);
void ops_free (ops_t *o);
op_t *ops_add (ops_t *o, str_t table, str_t id);
/* ops_find: the last write of (TABLE, ID) in O or NULL.  */
op_t *ops_find (const ops_t *o, str_t table, str_t id);
int64_t sim_term (const sim_t *s);
bool sim_readonly (const sim_t *s);
void terms_text (const terms_t *t, buf_t *out);
bool terms_parse (str_t text, terms_t *t);
/* terms_common: the last position up to which the logs (A, AP) and (B, BP)
   are the same.  */
int64_t terms_common (const terms_t *a, int64_t ap, const terms_t *b,
                      int64_t bp);
/* terms_cover: the coverage rule of the design page.  */
bool terms_cover (const terms_t *t, int64_t pos, int64_t term, int64_t want);
void terms_cut (terms_t *t, int64_t pos, int64_t below);

/* ---- disk.c: the data folder ---- */

void pack_u64 (buf_t *b, uint64_t v);
void pack_str (buf_t *b, str_t s);
bool unpack_u64 (str_t *in, uint64_t *v);
bool unpack_str (str_t *in, str_t *s);
void pack_ops (buf_t *b, const ops_t *o);
bool unpack_ops (str_t *in, ops_t *o);
/* disk_open: reads the log of the data folder, if one is given.  A torn last
   record is cut off; ERR_CORRUPT for damage before it.  */
bool disk_open (sim_t *s, err_t *e);
void disk_record (sim_t *s, const ops_t *o);
void disk_truncate (sim_t *s, int64_t pos);
/* disk_state: role, terms and fence; synced before it returns.  */
void disk_state (sim_t *s);
void disk_sync (sim_t *s);

/* ---- parse.c ---- */

/* parse_next: takes one statement off SQL.  PARAM holds NPARAMS values.
   False with a message in ERR at a syntax error.  */
bool parse_next (apr_pool_t *pool, str_t *sql, const str_t *param, int nparams,
                 stmt_t *st, const char **err);

/* ---- exec.c ---- */

void stmt_start (conn_t *c);
/* stmt_wake: C waits; goes on when what it waits for has come.  */
void stmt_wake (conn_t *c);
void stmt_cancel (conn_t *c);
/* tx_end: commits (or drops) the writes of C.  False when they could not be
   committed; nothing has run then.  */
bool tx_end (conn_t *c, bool commit);

/* ---- admin.c: functions of the backend server interface ---- */

/* func_start: runs C's statement of kind ST_FUNC.  */
void func_start (conn_t *c);
void func_confirm (conn_t *c);
void func_cover (conn_t *c);
/* func_cols: columns of the answer of function ST.  */
void func_cols (stmt_t *st);
void admin_confirmed (sim_t *s);

/* ---- pg.c: PostgreSQL protocol; prep.c: lists of named texts ---- */

void sess_input (conn_t *c);
void sess_next (conn_t *c); /* after a statement has ended */
void sess_error (conn_t *c, const char *state, const char *fmt, ...)
    __attribute__ ((format (printf, 3, 4)));
void sess_rowdesc (conn_t *c);
void sess_row (conn_t *c, int n, const str_t *v);
void sess_complete (conn_t *c, const char *fmt, ...)
    __attribute__ ((format (printf, 2, 3)));
void sess_welcome (conn_t *c);
void prep_set (prep_t **list, str_t name, str_t sql);
prep_t *prep_find (prep_t *list, str_t name);
void prep_drop (prep_t **list, str_t name);
void prep_clear (prep_t **list);

/* ---- repl.c ---- */

void repl_accept (conn_t *c); /* C sent the code of replication */
void repl_input (conn_t *c);
void repl_tick (sim_t *s);
/* repl_due: when the next received record is to be applied, 0 for none.  */
msec_t repl_due (const sim_t *s);
void repl_stop_upstream (sim_t *s);
void repl_stop_replicas (sim_t *s);
enum
{
  REPL_CODE = 0x70706462
};

/* ---- announce.c ---- */

void announce_tick (sim_t *s);
void announce_input (conn_t *c);

/* ---- loop.c ---- */

conn_t *conn_add (sim_t *s, int fd, ckind_t kind);
void conn_close (conn_t *c);
/* conn_muted: a fault keeps C from being served.  */
bool conn_muted (const conn_t *c);
int conn_count (const sim_t *s);
void sim_run (sim_t *s);

#endif
