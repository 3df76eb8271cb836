/* worker - one event loop of the proxy with its sessions, connection pools and
   requests.  Internal to the files of lib/entry that do I/O.  A worker and all
   that it holds are used by one thread only.  */

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
  READ_SIZE = 64 << 10,     /* bytes of the shared read buffer */
  FREE_BUF_SIZE = 2048,     /* bytes of a recycled session buffer */
  FREE_BUFS_MAX = 1024,     /* recycled session buffers kept */
  BATCH_MAX = 16 << 20,     /* bytes of one batch up to Sync */
  READ_AHEAD = 64 << 10,    /* bytes buffered behind a running request before
                               reading from the client pauses */
  OUT_HIGH = 1 << 20,       /* bytes buffered for a client at which reading
                               from its database connection pauses */
  OUT_LOW = 256 << 10,      /* bytes below which it resumes */
  TICK = 5,                 /* ms between ticks while there are requests */
  TICK_IDLE = 50,           /* ms between ticks otherwise */
  DEADLINE_DEFAULT = 10000, /* ms, for requests without a kind */
  DRAIN_GRACE = 1000,       /* ms the listener stays open after SIGTERM */
  DRAIN_MAX = 30000,        /* ms after SIGTERM until sessions with open blocks
                               or running requests are ended */
  CONNECT_TIMEOUT = 3000,   /* ms to open a connection */
  CHECK_TIMEOUT = 150,      /* ms to answer a check (on top of its own wait), a
                               status query or a reset */
  PING_AFTER = 2000,        /* ms after which an idle connection is pinged */
  PROBE_AFTER = 300,        /* ms without an answer to a running request until
                               a new connection probes the database */
  IDLE_TIMEOUT = 60000,     /* ms until an idle connection is closed while more
                               than MIN_CONNS are open */
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
  uint32_t events; /* mask registered with epoll */
} io_t;

/* Barrier state of a database group in one worker.  */
typedef struct group_state
{
  struct group_state *next;
  str_t name;
  bool sampling;  /* a barrier sample is being taken */
  msec_t sampled; /* when the last sample was requested */
} group_state_t;

/* ---- sessions ---- */

typedef enum
{
  S_STARTUP,
  S_OPEN,
  S_CLOSING /* closed once its output is written */
} session_state_t;

/* Properties set with SET pimentopost.NAME; values are heap strings.  */
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
  session_t *flush_next;   /* in the worker's flush_sessions */
  session_t *process_next; /* in its process_sessions or, once closed, in
                              closed_sessions */
  uint8_t state;           /* session_state_t */
  bool flush_queued;
  bool process_queued;
  bool admin;        /* connected to the admin database */
  bool disconnected; /* by the client; a request still runs */
  bool paused;       /* input is not read */
  bool skip_to_sync; /* messages up to the next Sync are discarded */
  bool closed;       /* freed at the end of the round */
  char block;        /* block_t */
  bool block_lost;   /* the block's connection was lost */
  bool block_read_only;
  bool block_savepoint;
  bool has_pending; /* PENDING is in use */
  uint32_t pid;     /* PID and SECRET identify it in a cancel request */
  uint32_t secret;
  group_state_t *group;
  token_t token;
  msec_t began; /* when the session was opened */
  conn_t *conn; /* that holds the open block, or NULL */
  req_t *req;   /* in progress, or NULL */
  buf_t in;
  buf_t out;
  size_t scanned; /* bytes of the next unit already scanned */
  guc_t guc;
  guc_t pending;      /* GUC with the changes of the open block */
  stmt_names_t names; /* prepared statements */
  stmt_t *unnamed;    /* the unnamed prepared statement */
  props_t *props;
  rate_t rate;
  char user[32];
};

/* ---- requests ---- */

typedef enum
{
  R_START,   /* not routed yet */
  R_BARRIER, /* waits for a position sample of the primary */
  R_DELAYED, /* routed again at WAKE */
  R_ADMIT,   /* in the admission queue */
  R_CONN,    /* admitted, waits for a connection */
  R_RUN
} req_state_t;

/* One message of a batch.  */
typedef struct
{
  char type;
  char kind;    /* 'S' or 'P' in Describe and Close */
  uint32_t off; /* from the start of the unit */
  uint32_t size;
  stmt_t *stmt; /* of Parse, Bind, and Describe of a statement */
  str_t name;   /* of the statement, during batch_read and batch_send */
  str_t portal;
} bmsg_t;

struct req
{
  session_t *s; /* NULL for a barrier sample */
  worker_t *w;
  req_t *prev;
  req_t *next;
  req_t *wait_next; /* in the queue for a connection */
  uint8_t state;    /* req_state_t */
  bool extended;    /* extended query protocol */
  bool flush;       /* the batch ended with Flush */
  bool repeatable;
  bool expired; /* its deadline has passed */
  bool probed;  /* a probe was considered for it */
  size_t size;  /* bytes of the unit at the start of the session's input */
  plan_t plan;
  group_state_t *group;
  msec_t arrived;
  msec_t deadline;
  msec_t max_age;  /* see route_request_t */
  double worth;    /* see admit_offer */
  msec_t wake;     /* when an R_DELAYED request is routed again */
  msec_t sent;     /* when the exchange was sent */
  double sent_us;  /* the same in us, for latencies */
  msec_t progress; /* when the database last sent a message */
  unsigned tried;  /* databases tried, see route_request_t */
  int tries;       /* repetitions */
  route_t route;
  dbpool_t *db;
  conn_t *conn;
  xchg_t x;
  buf_t hold;     /* answer held back, see X_HOLD */
  buf_t outcome;  /* recorded outcome of an earlier run */
  char *set_name; /* setting that a SET, RESET or SHOW names */
  char *set_value;
  bool set_default; /* SET ... TO DEFAULT or RESET */
  str_t text; /* of the statement; for a simple query a view into the session's
                 input */
  char key[260]; /* idempotency key */
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
  C_RUN, /* an exchange runs, or a block is open between requests */
  C_RESET,
  C_STATUS, /* status query: barrier sample or ping */
  C_CLOSED
} conn_state_t;

struct conn
{
  io_t io;
  worker_t *w;
  dbpool_t *db;
  conn_t *flush_next;
  PGconn *pg;
  int slot;      /* in the pool */
  uint8_t state; /* conn_state_t */
  bool flush_queued;
  bool closed;    /* freed at the end of the round */
  bool stateful;  /* the backend session has state of its client */
  bool unusable;  /* close it when it is released */
  bool admitted;  /* admit_done has to be called for its request */
  bool paused;    /* input is not read */
  bool ended;     /* an exchange, reset or status query ended in this read */
  bool reset_ok;  /* the reset has had no error so far */
  bool probe;     /* opened to find out whether the database answers */
  char ready;     /* status in the last ReadyForQuery */
  int ready_due;  /* ReadyForQuery messages still expected */
  uint64_t owner; /* see pool_take */
  int64_t term;   /* group term of the lease that the exchange needs */
  session_t *session; /* with an open block, or NULL */
  req_t *req;         /* in progress, or NULL */
  buf_t in;
  buf_t out;
  msec_t since; /* when STATE was entered */
  prepared_t prepared;
  uint64_t unnamed[2]; /* hash of the unnamed statement; 0: unknown */
};

/* Connections and request queues of one database in one worker.  */
struct dbpool
{
  dbpool_t *next;
  worker_t *w;
  str_t name;
  str_t group;
  str_t address;
  bool usable; /* active, and its address is known */
  pool_t pool;
  conn_t *conn[POOL_MAX];
  admit_t *admit;
  req_t *waiting; /* admitted requests that wait for a connection, in order */
  req_t **waiting_end;
  int nwaiting;
  msec_t last_ok; /* when it last answered; 0: never */
  msec_t last_ping;
  msec_t last_probe; /* when a probe connection was last opened */
  bool primary;      /* PRIMARY, TERM, POS: from its last status */
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
  counter_t *db_refused; /* "not run" errors passed on from a database */
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
  msec_t now; /* time at the start of the round */
  msec_t next_tick;
  bool spin; /* poll for a short time before sleeping */
  msec_t next_report;
  io_t listen;
  io_t inbox_io; /* event descriptor of INBOX */
  ring_t *inbox; /* of inbox_msg_t */
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
  req_t *next_req; /* next one in walk_requests; NULL outside it */
  req_t *free_reqs;
  session_t *flush_sessions;   /* with output to write */
  session_t *process_sessions; /* with input to process */
  conn_t *flush_conns;         /* with output to write */
  session_t *closed_sessions;
  conn_t *closed_conns;
  char *free_bufs[FREE_BUFS_MAX];
  int nfree_bufs;
  retry_t retry;
  msec_t drain_since; /* when draining began; 0: not draining */
  stats_t stats;
  char *scratch; /* read buffer of READ_SIZE bytes */
};

/* A message to a worker from another thread.  */
typedef struct
{
  bool cancel;  /* else GRANT */
  uint32_t pid; /* of the session to cancel */
  uint32_t secret;
  apr_pool_t *pool; /* that holds GRANT */
  grant_t *grant;
} inbox_msg_t;

/* loop.c */
worker_t *worker_new (instance_t *in, int index, int listen_fd);
/* worker_run: runs the event loop ARG until it is drained.  */
bool worker_run (void *arg, err_t *e);
/* io_watch: sets the epoll event mask of IO.  EVENTS of 0 keeps the descriptor
   registered for errors only.  */
void io_watch (worker_t *w, io_t *io, uint32_t events);
/* worker_apply_grant: takes over the leases, limits and configuration of
   G.  */
void worker_apply_grant (worker_t *w, const grant_t *g);
/* usec_now: monotonic clock in us.  */
double usec_now (void);

/* timer.c */
/* worker_tick: timeouts, pool upkeep, reports and draining.  */
void worker_tick (worker_t *w);

/* session.c */
void session_accept (worker_t *w);
void session_event (session_t *s, uint32_t events);
/* session_process: starts requests from the input of S, one at a time.  */
void session_process (session_t *s);
/* session_process_later, session_flush_later: queue S for session_process or
   session_flush in this round of the loop.  */
void session_process_later (session_t *s);
void session_flush_later (session_t *s);
void session_flush (session_t *s);
/* session_fatal: sends a FATAL error, then closes the session.  */
void session_fatal (session_t *s, pgrefusal_t r, const char *why);
void session_close (session_t *s);
void session_free_closed (worker_t *w);
/* session_resume: reads from the client again after a pause.  */
void session_resume (session_t *s);

/* startup.c */
/* startup_message: handles the startup, encryption or cancel message M of S;
   false when S was refused or closed.  */
bool startup_message (session_t *s, const pgstart_t *m);
/* session_cancel: cancels the request of a session of any worker.  */
void session_cancel (worker_t *w, uint32_t pid, uint32_t secret);

/* unit.c */
/* A unit is the part of the client's input that is handled as one request.  */
typedef enum
{
  UNIT_MORE,  /* incomplete */
  UNIT_QUERY, /* simple query */
  UNIT_BATCH, /* extended protocol up to Sync */
  UNIT_FLUSH, /* extended protocol up to Flush, or a late COPY message */
  UNIT_SYNC,  /* Sync alone */
  UNIT_CALL,  /* FunctionCall */
  UNIT_END,   /* Terminate */
  UNIT_BAD    /* malformed or too large */
} unit_t;
/* unit_next: kind and SIZE in bytes of the first unit in the input of S.  */
unit_t unit_next (session_t *s, size_t *size, err_t *e);

/* request.c */
/* request_start: begins a request for the first SIZE bytes of S's input.  */
void request_start (session_t *s, unit_t u, size_t size);
/* request_route: chooses a database and queues R there, delays or refuses
   it.  */
void request_route (req_t *r);
/* request_run: starts the exchange of R on its connection.  */
void request_run (req_t *r);
/* request_end: ends R, whose answer is in the session's output, with
   ReadyForQuery and status BLOCK.  */
void request_end (req_t *r, char block);
/* request_refuse: answers R with the error WHY and ends it.  */
void request_refuse (req_t *r, pgrefusal_t why, const char *detail);
/* request_plan_input: the input of plan_statement for R.  */
plan_input_t request_plan_input (const req_t *r);
/* request_save_setting: keeps name and value of a SET, RESET or SHOW.  */
void request_save_setting (req_t *r, const sql_t *q);
/* request_detach: takes R out of the queues of its database, before it is
   routed again or ends.  */
void request_detach (req_t *r);
/* request_unit: the client's messages of R; a view.  */
str_t request_unit (const req_t *r);
req_t *request_new (worker_t *w);
void request_free (req_t *r);

/* finish.c */
/* request_apply_verdict: continues, ends or repeats R after a message of its
   exchange.  */
void request_apply_verdict (req_t *r, xverdict_t v);
/* request_conn_lost: the connection of R was lost or has to be closed.  */
void request_conn_lost (req_t *r);
/* request_expire: the deadline of R has passed.  */
void request_expire (req_t *r);

/* props.c */
/* props_request: sets the properties of R from the hint in TEXT, the session
   and the request kind; false when R is refused.  */
bool props_request (req_t *r, str_t text);
bool props_set (session_t *s, str_t name, str_t value, bool defaulted,
                err_t *e);
/* props_show: appends the value of pimentopost.NAME to OUT; false when NAME is
   unknown.  */
bool props_show (session_t *s, str_t name, buf_t *out);
void props_free (session_t *s);
void props_reset (session_t *s);

/* batch.c */
/* batch_read: parses and plans the messages of UNIT.  False with the refusal
   in R's plan.  */
bool batch_read (req_t *r, str_t unit);
/* batch_send: puts the batch into the output of C and sets the answers that
   the exchange expects.  */
void batch_send (req_t *r, conn_t *c, str_t unit);
/* batch_end: updates the session's prepared statements.  */
void batch_end (req_t *r);
void batch_free (req_t *r);
/* batch_failed: after an error, drops the statements that were not parsed on C
   from its list.  */
void batch_failed (req_t *r, conn_t *c);

/* local.c */
/* local_answer: answers R, whose plan is PLAN_LOCAL, without a database.  */
void local_answer (req_t *r);
/* request_answer: answers R, in the simple or extended protocol, with the
   messages in MSGS, which are RowDescription, DataRow, CommandComplete or
   EmptyQueryResponse, and ends it.  */
void request_answer (req_t *r, str_t msgs);

/* send.c */
/* send_phase: puts the current phase of R's exchange into the output of its
   connection.  */
void send_phase (req_t *r);

/* connect.c */
/* conn_open: starts a connection to D in SLOT of its pool; NULL on failure. */
conn_t *conn_open (dbpool_t *d, int slot);
/* conn_continue_connect: handles a socket event of a connection in
   C_CONNECT.  */
void conn_continue_connect (conn_t *c);

/* conn.c */
/* conn_idle: makes C available to the next request, or closes it, as ACTION
   says.  */
void conn_idle (conn_t *c, pool_action_t action);
void conn_event (conn_t *c, uint32_t events);
/* conn_flush_later: queues C for conn_flush in this round of the loop.  */
void conn_flush_later (conn_t *c);
void conn_flush (conn_t *c);
/* conn_release: gives C back to its pool, after a reset if it needs one, or
   closes it.  */
void conn_release (conn_t *c);
/* conn_close: the caller has ended or detached its request and session.  */
void conn_close (conn_t *c);
void conn_free_closed (worker_t *w);
/* conn_query_status: sends a status query; R is a barrier sample or NULL.  */
void conn_query_status (conn_t *c, req_t *r);
/* conn_cancel: cancels what runs on C, which is not reused afterwards.  */
void conn_cancel (conn_t *c);
/* conn_resume, conn_pause: reading from C.  */
void conn_resume (conn_t *c);
void conn_pause (conn_t *c);

/* dbs.c */
/* dbpool_get: the pool of D, made or updated as needed.  */
dbpool_t *dbpool_get (worker_t *w, const db_t *d);
dbpool_t *dbpool_find (worker_t *w, str_t name);
/* dbpool_dispatch: assigns idle connections to waiting requests and opens
   more.  */
void dbpool_dispatch (dbpool_t *d);
/* dbpool_start_admitted: starts admitted requests and refuses those that
   admission rejects.  */
void dbpool_start_admitted (dbpool_t *d);
/* dbpool_queue: R waits for a connection, in front of the others if FIRST.  */
void dbpool_queue (dbpool_t *d, req_t *r, bool first);
void dbpool_unqueue (dbpool_t *d, req_t *r);
/* dbpool_failed: D did not answer; requests that wait for a connection are
   routed again.  */
void dbpool_failed (dbpool_t *d);
/* dbpool_limits: applies W's share of the connection budgets.  */
void dbpool_limits (worker_t *w);
/* dbpool_tick: closes silent and surplus connections, pings the database.  */
void dbpool_tick (dbpool_t *d);
group_state_t *group_get (worker_t *w, str_t name);
/* barrier_request: R waits for a position sample of the primary.  */
void barrier_request (req_t *r);
/* barrier_done: the sample of G was taken or has failed; requests that wait
   for it are routed again.  */
void barrier_done (group_state_t *g, worker_t *w);

/* admin.c */
/* admin_query: answers a simple query to the admin database.  */
void admin_query (session_t *s, str_t text);

/* ---- instance: state shared by the threads of one process ---- */

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
  ring_t *reports;             /* of report_t, to the link */
  ring_t *cancels;             /* of PGcancel, to the cancel duty */
  int64_t boot;                /* random number of this start */
  volatile int stopping;       /* __atomic access */
  volatile int64_t last_grant; /* msec_now of the last GRANT_OK; __atomic
                                  access */
};

/* One database in a worker's report; see probe_t and db_usage_t.  */
typedef struct
{
  char name[CONF_MAX_NAME + 1];
  char address[64];
  bool reachable;
  bool primary;
  int64_t ok_age; /* ms since its last answer; -1: none yet */
  int64_t term;
  int64_t pos;
  int open;
  int demand;
} report_db_t;

/* A message to the control link.  */
typedef struct
{
  bool announce; /* an announcement, else a worker's report */
  int worker;
  /* announcement */
  char group[CONF_MAX_NAME + 1];
  char name[CONF_MAX_NAME + 1];
  char address[64];
  char zone[CONF_MAX_NAME + 1];
  int64_t term;
  int64_t position;
  bool leaving;
  msec_t when; /* it was received */
  /* a worker's report */
  int64_t cfg_term;
  int64_t cfg_index;
  int ndbs;
  report_db_t db[];
} report_t;

bool instance_stopping (const instance_t *in);

/* link.c, canceller.c, loop.c: duties */
duty_t link_duty (instance_t *in);
duty_t cancel_duty (instance_t *in);
duty_t worker_duty (worker_t *w);
/* instance_new: an instance that listens on its address.  */
instance_t *instance_new (apr_pool_t *pool, const settings_t *s, err_t *e);
/* instance_health: writes the text for GET /health to OUT; false once the
   instance stops.  */
bool instance_health (void *arg, buf_t *out);

#endif
