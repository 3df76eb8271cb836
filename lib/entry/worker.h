/* worker - one proxy event loop: its sessions, pools and requests.  Shared by
   the files of lib/entry that do I/O; all of it belongs to one thread.  */

#ifndef WORKER_H
#define WORKER_H

#include "admit.h"
#include "entry.h"

#include <libpq-fe.h>

typedef struct worker worker_t;
typedef struct session session_t;
typedef struct conn conn_t;
typedef struct req req_t;
typedef struct dbpool dbpool_t;
typedef struct instance instance_t;

enum
{
  READ_SIZE = 64 << 10,     /* bytes read at once */
  FREE_BUF_SIZE = 2048,     /* bytes of a recycled session buffer */
  FREE_BUFS_MAX = 1024,     /* recycled session buffers kept */
  BATCH_MAX = 16 << 20,     /* bytes of one batch up to Sync */
  READ_AHEAD = 64 << 10,    /* bytes read while a request runs */
  OUT_HIGH = 1 << 20,       /* bytes for a client at which the database's
                               answer is not read further */
  OUT_LOW = 256 << 10,      /* bytes at which reading goes on */
  TICK = 5,                 /* ms, resolution of timers with requests */
  TICK_IDLE = 50,           /* ms, the same without */
  DEADLINE_DEFAULT = 10000, /* ms, of requests without a kind */
  DRAIN_GRACE = 1000,       /* ms of listening after SIGTERM */
  DRAIN_MAX = 30000,        /* ms until open blocks are cut */
  CONNECT_TIMEOUT = 3000,   /* ms to open a connection */
  CHECK_TIMEOUT = 150,      /* ms beyond the wait for the answer to a check,
                           a status or a reset */
  PING_AFTER = 2000,        /* ms after which an idle connection is tried */
  PROBE_AFTER = 300,        /* ms without an answer to a write until a probe
                                over a new connection */
  IDLE_TIMEOUT = 60000,     /* ms an idle connection above the warm ones is
                            kept */
  REPORT_INTERVAL = 100     /* ms between reports to the control link */
};

typedef enum
{
  IO_LISTEN,
  IO_SESSION,
  IO_CONN,
  IO_INBOX
} io_kind_t;

typedef struct
{
  int fd;
  io_kind_t kind;
  uint32_t events; /* registered with epoll */
} io_t;

/* A group as this loop sees it.  */
typedef struct group_state
{
  struct group_state *next;
  str_t name;
  bool sampling;  /* a barrier sample is on its way */
  msec_t sampled; /* when it was asked for */
} group_state_t;

/* ---- sessions ---- */

typedef enum
{
  S_STARTUP,
  S_OPEN,
  S_CLOSING /* ends once its output is written */
} session_state_t;

/* Properties set with SET pimentopost.*; values are heap strings.  */
typedef struct
{
  hint_t hint;
  char *kind;
  char *key;
} props_t;

struct session
{
  io_t io;
  worker_t *w;
  session_t *prev;
  session_t *next;
  session_t *flush_next;
  session_t *process_next;
  uint8_t state;
  bool flush_queued;
  bool process_queued;
  bool admin;
  bool disconnected; /* the client has left; a request still runs */
  bool paused;       /* input is not read */
  bool skip;         /* messages up to Sync are discarded */
  bool closed;
  char block; /* block_t */
  bool block_lost;
  bool block_read_only;
  bool block_savepoint;
  bool has_pending;
  uint32_t pid;
  uint32_t secret;
  group_state_t *group;
  token_t token;
  msec_t began;
  conn_t *conn; /* of an open block */
  req_t *req;
  buf_t in;
  buf_t out;
  size_t scanned; /* bytes of the next unit already looked at */
  guc_t guc;
  guc_t pending; /* settings with those made in the open block */
  names_t names;
  stmt_t *unnamed;
  props_t *props;
  rate_t rate;
  char user[32];
};

/* ---- requests ---- */

typedef enum
{
  R_START,
  R_BARRIER, /* waits for a sample of the primary */
  R_DELAYED, /* asks again at WAKE */
  R_ADMIT,   /* in the admission queue */
  R_CONN,    /* admitted, waits for a connection */
  R_RUN
} req_state_t;

/* One message of a batch; offsets count from the start of the unit.  */
typedef struct
{
  char type;
  char kind; /* 'S' or 'P' of Describe and Close */
  uint32_t off;
  uint32_t size;
  stmt_t *stmt; /* of Parse, Bind, and Describe of a statement */
  str_t name;   /* of the statement, during batch_read and batch_send */
  str_t portal;
} bmsg_t;

struct req
{
  session_t *s; /* NULL: a barrier sample */
  worker_t *w;
  req_t *prev;
  req_t *next;
  req_t *wait_next; /* in the queue for a connection */
  uint8_t state;
  bool extended;
  bool flush; /* the batch ended with Flush */
  bool repeatable;
  bool expired;
  bool probed;
  bool unparsed; /* the batch names an unknown statement */
  size_t size;   /* bytes of the unit in the session's input */
  plan_t plan;
  group_state_t *group;
  msec_t arrived;
  msec_t deadline;
  msec_t max_age;
  double worth;
  msec_t wake;
  msec_t sent;     /* when the exchange was sent */
  double sent_us;  /* the same in microseconds, for latencies */
  msec_t progress; /* when the database last said something */
  unsigned tried;
  int tries;
  route_t route;
  dbpool_t *db;
  conn_t *conn;
  xchg_t x;
  buf_t hold;
  buf_t outcome;
  char *set_name; /* PLAN_SET */
  char *set_value;
  bool set_default;
  str_t text; /* simple query: view into the session's input */
  char key[260];
  size_t key_len;
  bmsg_t *msg;
  int nmsg;
  int msg_cap;
  xop_t *op;
  int nop;
  int op_cap;
};

/* ---- connections to databases ---- */

typedef enum
{
  C_CONNECT,
  C_IDLE,
  C_RUN, /* an exchange, or a block between requests */
  C_RESET,
  C_STATUS, /* barrier sample or ping */
  C_CLOSED
} conn_state_t;

struct conn
{
  io_t io;
  worker_t *w;
  dbpool_t *db;
  conn_t *flush_next;
  PGconn *pg;
  int slot;
  uint8_t state;
  bool flush_queued;
  bool closed;
  bool needs_reset; /* the backend session has state of a client */
  bool no_reuse;    /* close instead of reusing */
  bool admitted;    /* admit_done is due when it is released */
  bool paused;
  bool ended; /* the exchange ended in this round of reading */
  bool reset_ok;
  bool probe;     /* opened to probe the database */
  char ready;     /* state of the last ReadyForQuery */
  int due;        /* ReadyForQuery messages that are still to come */
  uint64_t owner; /* as known to the pool */
  int64_t term;   /* of the lease that the present owner's work needs */
  session_t *session;
  req_t *req;
  buf_t in;
  buf_t out;
  msec_t since; /* of the state */
  prepared_t prepared;
  uint64_t unnamed[2];
};

struct dbpool
{
  dbpool_t *next;
  worker_t *w;
  str_t name;
  str_t group;
  str_t address;
  bool usable; /* neither leaving nor unknown to control */
  pool_t pool;
  conn_t *conn[POOL_MAX];
  admit_t *admit;
  req_t *waiting; /* admitted requests without a connection, in order */
  req_t **waiting_end;
  int nwaiting;
  msec_t last_ok; /* last answer */
  msec_t last_ping;
  msec_t last_probe; /* last new connection for a probe */
  bool primary;
  int64_t term;
  int64_t pos;
};

/* ---- event loop ---- */

typedef struct
{
  counter_t *requests;
  counter_t *replica_reads;
  counter_t *primary_reads;
  counter_t *writes;
  counter_t *refusal[PG_NREFUSALS];
  counter_t *db_refused; /* errors of a database that say "not run" */
  counter_t *retries;
  counter_t *unproven;
  counter_t *barriers;
  counter_t *sessions;
  counter_t *cancels;
} stats_t;

struct worker
{
  instance_t *in;
  int index;
  apr_pool_t *pool;
  int epoll;
  msec_t now;
  msec_t next_tick;
  bool spin; /* look again before sleeping */
  msec_t next_report;
  io_t listen;
  io_t inbox_io;
  ring_t *inbox; /* of inbox_t */
  view_t *view;
  rng_t rng;
  sql_cache_t *sql;
  stmts_t *stmts;
  config_t *cfg;
  apr_pool_t *cfg_pool;
  int64_t cfg_term;
  int64_t cfg_index;
  int64_t cfg_version;
  bool cfg_confirmed;
  dbpool_t *dbs;
  group_state_t *groups;
  session_t *sessions;
  int nsessions;
  uint32_t next_pid;
  req_t *reqs;
  int nreqs;
  req_t *next_req; /* next request of the walk that is going on */
  req_t *free_reqs;
  session_t *flush_sessions;
  session_t *process_sessions;
  conn_t *flush_conns;
  session_t *closed_sessions;
  conn_t *closed_conns;
  char *free_bufs[FREE_BUFS_MAX];
  int nfree_bufs;
  retry_t retry;
  msec_t drain_since; /* when the stop was asked for; 0 */
  stats_t stats;
  char *scratch;
};

/* What reaches a loop from other threads.  */
typedef struct
{
  bool cancel; /* else a grant */
  uint32_t pid;
  uint32_t secret;
  apr_pool_t *pool; /* of the grant */
  grant_t *grant;
} inbox_t;

/* loop.c */
worker_t *worker_new (instance_t *in, int index, int listen_fd);
bool worker_run (void *arg, err_t *e);
void io_watch (worker_t *w, io_t *io, uint32_t events);
void worker_apply_grant (worker_t *w, const grant_t *g);
double usec_now (void);

/* timer.c */
void worker_tick (worker_t *w);

/* session.c */
void session_accept (worker_t *w);
void session_event (session_t *s, uint32_t events);
void session_process (session_t *s);
void session_process_later (session_t *s);
void session_flush_later (session_t *s);
void session_flush (session_t *s);
/* session_fatal: a last error, then the session ends.  */
void session_fatal (session_t *s, pgrefusal_t r, const char *why);
void session_close (session_t *s);
void session_cancel (worker_t *w, uint32_t pid, uint32_t secret);
void session_free_closed (worker_t *w);
void session_resume (session_t *s);

/* startup.c */
/* startup_message: the message at the start of S's connection; false when the
   session has ended.  */
bool startup_message (session_t *s, const pgstart_t *m);

/* unit.c */
typedef enum
{
  UNIT_MORE,
  UNIT_QUERY,
  UNIT_BATCH,
  UNIT_FLUSH,
  UNIT_SYNC,
  UNIT_CALL, /* FunctionCall */
  UNIT_END,
  UNIT_BAD
} unit_t;
unit_t unit_next (session_t *s, size_t *size, err_t *e);

/* request.c */
void request_start (session_t *s, unit_t u, size_t size);
void request_route (req_t *r);
void request_run (req_t *r);
/* request_end: ends R; what is in the session's output is its answer, and
   ReadyForQuery with BLOCK follows.  */
void request_end (req_t *r, char block);
void request_refuse (req_t *r, pgrefusal_t why, const char *detail);
/* request_plan_input, request_save_setting: what plan_statement needs of R,
   and the setting that R makes.  */
planin_t request_plan_input (const req_t *r);
void request_save_setting (req_t *r, const sql_t *q);
/* request_detach: takes R out of queues, before it goes elsewhere or ends.  */
void request_detach (req_t *r);
req_t *request_new (worker_t *w);
void request_free (req_t *r);

/* finish.c */
/* request_apply_verdict: the exchange of R ended with V.  */
void request_apply_verdict (req_t *r, xverdict_t v);
/* request_conn_lost: the connection of R is gone or has to be given up.  */
void request_conn_lost (req_t *r);
void request_expire (req_t *r);

/* props.c */
/* props_request: properties of R from the text's hint, the session and the
   kind; false when refused.  */
bool props_request (req_t *r, str_t text);
bool props_set (session_t *s, str_t name, str_t value, bool defaulted,
                err_t *e);
/* props_show: value of SHOW pimentopost.NAME in OUT; false when unknown.  */
bool props_show (session_t *s, str_t name, buf_t *out);
void props_free (session_t *s);
void props_reset (session_t *s);

/* batch.c */
/* batch_read: reads the messages of R's unit and plans them.  False with a
   refusal in R's plan.  */
bool batch_read (req_t *r, str_t unit);
/* batch_send: the batch for connection C, and the answers that it will
   give.  */
void batch_send (req_t *r, conn_t *c, str_t unit);
/* batch_end: the session's prepared statements after the batch.  */
void batch_end (req_t *r);
void batch_free (req_t *r);
/* batch_failed: the batch ended with an error on C; what was not parsed there
   is forgotten.  */
void batch_failed (req_t *r, conn_t *c);

/* local.c */
void local_answer (req_t *r);
/* local_stored: answers with the messages RowDescription, DataRow and
   CommandComplete in MSGS, as simple or extended protocol asks.  */
void local_stored (req_t *r, str_t msgs);

/* send.c */
/* send_phase: puts the present phase of R's exchange into its connection's
   output.  */
void send_phase (req_t *r);
str_t request_unit (const req_t *r);

/* connect.c */
conn_t *conn_open (dbpool_t *d, int slot);
/* conn_continue_connect: an event of the socket of a connection that is being
 * opened.  */
void conn_continue_connect (conn_t *c);
/* conn.c */
/* conn_idle: C can be used by the next owner, or is closed.  */
void conn_idle (conn_t *c, pool_after_t after);
void conn_event (conn_t *c, uint32_t events);
void conn_flush_later (conn_t *c);
void conn_flush (conn_t *c);
/* conn_release: the owner has done with C.  */
void conn_release (conn_t *c);
void conn_close (conn_t *c);
void conn_free_closed (worker_t *w);
void conn_query_status (conn_t *c, req_t *r);
void conn_cancel (conn_t *c);
void conn_resume (conn_t *c);
void conn_pause (conn_t *c);

/* dbs.c */
dbpool_t *dbpool_get (worker_t *w, const db_t *d);
dbpool_t *dbpool_find (worker_t *w, str_t name);
/* dbpool_dispatch: gives connections to waiting requests and opens more.  */
void dbpool_dispatch (dbpool_t *d);
/* dbpool_start_admitted: starts what admission lets start.  */
void dbpool_start_admitted (dbpool_t *d);
void dbpool_queue (dbpool_t *d, req_t *r, bool first);
void dbpool_unqueue (dbpool_t *d, req_t *r);
/* dbpool_failed: D did not answer; waiting requests go elsewhere.  */
void dbpool_failed (dbpool_t *d);
void dbpool_limits (worker_t *w);
void dbpool_tick (dbpool_t *d);
group_state_t *group_get (worker_t *w, str_t name);
void barrier_request (req_t *r);
void barrier_done (group_state_t *g, worker_t *w);

/* admin.c */
void admin_query (session_t *s, str_t text);

/* ---- instance: what the duties of one process share ---- */

enum
{
  WORKERS_MAX = 64
};

struct instance
{
  apr_pool_t *pool;
  const settings_t *set;
  worker_t *worker[WORKERS_MAX];
  int nworkers;
  ring_t *reports; /* of report_t, to the link */
  ring_t *cancels; /* of PGcancel, to the cancel duty */
  int64_t boot;
  volatile int stopping;    /* __atomic access */
  volatile int64_t contact; /* last grant, msec; __atomic access */
};

typedef struct
{
  char name[CONF_MAX_NAME + 1];
  char address[64];
  bool reachable;
  bool primary;
  int64_t ok_age;
  int64_t term;
  int64_t pos;
  int open;
  int want;
} report_db_t;

typedef struct
{
  bool announce; /* else DB of a worker */
  int worker;
  /* announcement */
  char group[CONF_MAX_NAME + 1];
  char name[CONF_MAX_NAME + 1];
  char address[64];
  char zone[CONF_MAX_NAME + 1];
  int64_t term;
  int64_t position;
  bool leaving;
  msec_t when;
  /* a worker's report */
  int64_t cfg_term;
  int64_t cfg_index;
  int ndbs;
  report_db_t db[];
} report_t;

bool instance_stopping (const instance_t *in);

/* link.c, canceller.c: duties */
duty_t link_duty (instance_t *in);
duty_t cancel_duty (instance_t *in);
duty_t worker_duty (worker_t *w);
/* instance_new: an instance that listens on its address.  */
instance_t *instance_new (apr_pool_t *pool, const settings_t *s, err_t *e);
/* instance_health: text for GET /health; false once the instance stops.  */
bool instance_health (void *arg, buf_t *out);

#endif
