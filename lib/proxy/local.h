/* Internals of the proxy.  */

#ifndef PROXY_LOCAL_H
#define PROXY_LOCAL_H

#include "balance.h"
#include "proxy.h"

#include <apr_hash.h>
#include <signal.h>
#include <stdatomic.h>

/* Times are in ms.  */
enum
{
  FRESH_KINDS = FRESH_SESSION + 1,
  CANDIDATES_MAX = 16, /* databases of a service that placement considers */
  SETTINGS_MAX = 40,   /* of one session */
  PREPARED_MAX = 1024, /* statements of one session */
  /* Names and values of a session's settings and prepared statements.  One
     message of the users' platform, 1 MiB, fits in.  */
  SESSION_BYTES_MAX = 2 << 20,
  /* Statements and bytes prepared on one connection, after which it is
     reset.  */
  LINK_PREPARED_MAX = 1024,
  LINK_PREPARED_BYTES = 2 << 20,
  /* Steps in flight on one connection: the settings of a session, and the
     reset, preparation, BEGIN, statement and ROLLBACK beside them.  */
  STEPS_MAX = SETTINGS_MAX + 8,
  /* Bytes received ahead of the statement in progress, and of one message: 1
     MiB and what lets the codec tell that it is longer.  */
  AHEAD_MAX = STREAM_IN_SMALL,
  MESSAGE_MAX = (1 << 20) + (64 << 10),
  /* While there is no descriptor for both, a session gives way to a new one
     when it is idle, or its client takes no byte of its answers, for this
     time.  */
  REPLACE_IDLE = 5000,
  REPLACE_STALLED = 1000,
  CONNECT_TIMEOUT = 700, /* for opening a connection to a database */
  ACK_TIMEOUT = 3000, /* without a TCP acknowledgement a connection is lost */

  /* How long an idle connection to a database is kept: */
  IDLE_TIMEOUT = 8000,
  /* the only one to a database whose limit allows one for each instance, */
  IDLE_TIMEOUT_LAST = 50000,
  /* each while there are several to the database, */
  IDLE_TIMEOUT_SURPLUS = 1000,
  /* each while the database refuses more.  */
  IDLE_TIMEOUT_FULL = 120,
  /* A connection that was opened for a tenant and not used yet gives way to no
     other tenant for this time.  */
  UNUSED_TIME = 100,
  /* Connections to one database that are opened at once for different tenants.
     Each occupies one of its few slots.  */
  OPENINGS_MAX = 2,

  WARM_INTERVAL = 30, /* between connections opened in advance */
  BACKOFF_MIN = 100,  /* a failed database is avoided for this time, which */
  BACKOFF_MAX = 1000, /* doubles with each further failure, up to this */
  /* A database counts the connections of lost instances for 3 s after.  */
  ENTRIES_HOLD = 4000,
  START_CONNECTIONS = 1, /* to a database for this time after the start */
  ENTRIES_DEFAULT = 8, /* entry instances assumed until control reports them */
  FULL_BACKOFF = 50,   /* after a database refused a connection as too many, no
                          other is opened for this time, */
  FULL_TIME = 3000,    /* and the database counts as full for this time */
  LEADER_RETRY = 150,  /* until a database that said it is not the primary is
                          tried as the primary again */
  SETUP_TIMEOUT = 1500, /* a session waits this long for the first
                           configuration; clients wait 2 s */
  /* After this time from the start the first configuration is also accepted
     from a control instance without a leader: it may be an old one.  */
  SETUP_NO_LEADER_DELAY = 2000,
  REPORT_INTERVAL = 300, /* between reports to control */
  UPDATE_TIMEOUT = 800,  /* without an update: try another instance */

  /* Without a control instance that has a leader for CONTROL_TIMEOUT and
     without the primary of a service for LEADER_TIMEOUT, this zone is cut off,
     and another serves its clients better.  */
  CONTROL_TIMEOUT = 1000,
  LEADER_TIMEOUT = 300,
  OWNER_LOST_TIME = 2000, /* the loss of an owner counts in place of the loss
                             of a primary for this time */

  DRAIN_DELAY = 2200,  /* from SIGTERM until sessions are closed; the load
                          balancer needs two probes a second apart */
  CLOSE_BATCH = 12,    /* sessions closed in one batch while draining */
  CLOSE_INTERVAL = 25, /* between batches */
  /* The process ends this long before the end of the grace period, */
  STOP_MARGIN = 400,
  /* and waits no longer for clients to take the last answers.  */
  FLUSH_TIME = 200
};

typedef struct db db_t;
typedef struct tenant tenant_t;
typedef struct quota_use quota_use_t;
typedef struct gate gate_t;
typedef struct service service_t;
typedef struct session session_t;
typedef struct link link_t;

/* ---- settings and prepared statements ---- */

typedef struct
{
  str_t name;
  str_t value;
} value_t;

typedef struct
{
  value_t *at;
  int n;
  int cap;
  size_t bytes; /* of all names and values */
} values_t;

void values_set (values_t *v, str_t name, str_t value);
/* values_get: the value of NAME, a view into V, or NULL.  */
const str_t *values_get (const values_t *v, str_t name);
/* values_full: whether V has MAX values and none of NAME.  */
bool values_full (const values_t *v, str_t name, int max);
bool values_drop (values_t *v, str_t name);
/* values_equal: whether V and WANT hold the same names and values.  */
bool values_equal (const values_t *v, const values_t *want);
void values_free (values_t *v);

/* ---- connections to databases ---- */

typedef enum
{
  STEP_START,
  STEP_RESET,
  STEP_SET,
  STEP_PREPARE,
  STEP_BEGIN,   /* of the client's transaction, or of the one around a single
                   read that needs the leader */
  STEP_OP,      /* the client's statement */
  STEP_ROLLBACK /* ends the transaction of STEP_BEGIN */
} step_t;

typedef enum
{
  LINK_OPENING,
  LINK_IDLE,
  LINK_BUSY
} link_state_t;

/* A tenant of the configuration; lives as long as the process, since sessions
   and connections refer to it.  */
struct tenant
{
  tenant_t *next; /* in the proxy's list */
  str_t name;
  int64_t rate;  /* operations a second over all instances; 0: no quota */
  int64_t burst; /* operations beyond that at once */
  int64_t setup_version; /* last configuration that contains it */
  quota_use_t *use;      /* its quota at this instance; NULL: not used yet */
  bool labelled;         /* it has metrics of its own */
};

/* A tenant's use of the queue of a service.  */
typedef struct
{
  const tenant_t *tenant;
  fair_flow_t flow;
  counter_t *started;
  counter_t *wait_ms;
  counter_t *refused;
} share_t;

struct link
{
  link_t *next; /* in the database's list */
  db_t *db;
  tenant_t *tenant; /* named in its start-up message; only statements of its
                       sessions run on it; NULL: of no tenant */
  stream_t *stream;
  link_state_t state;
  session_t *session;      /* NULL: idle, or its session has closed */
  uint8_t step[STEPS_MAX]; /* ring of step_t that await an answer */
  int first;
  int nstep;
  msec_t since;      /* time of the last change of state or release */
  msec_t sent;       /* time of the last statement or BEGIN */
  msec_t begin_sent; /* time at which STEP_BEGIN was sent */
  bool in_tx;
  bool closing;
  bool used; /* a statement ran on it */
  values_t values;
  values_t prepared;      /* statement_key to its name on the connection */
  int64_t prepared_names; /* names given on the connection so far */
  /* The answer to the oldest step, as far as received.  */
  size_t held; /* bytes charged to the budget */
  buf_t rows;  /* rows of STEP_OP, each after its uint32_t length */
  buf_t text;  /* signature or error */
  fail_t fail;
  bool done;
};

struct db
{
  db_t *next; /* in the service's list */
  service_t *service;
  char id[NAME_SIZE];
  char address[NAME_SIZE];
  char zone[NAME_SIZE];
  int64_t born; /* orders the starts of a database with the same id */
  int64_t seq;  /* of the last heartbeat of this start; -1: none */
  int slots;    /* statements that it runs concurrently; 0: unknown */
  bool primary; /* according to control */
  bool leaving; /* draining: gets new statements only as the leader */
  bool gone;    /* deregistered, or its heartbeats stopped; freed once its
                   connections are closed */
  link_t *links;
  int idle;
  int opening;
  int open;           /* idle and busy */
  double ms;          /* moving average of a statement's time; 0: unknown */
  msec_t avoid_until; /* gets no work before this time */
  msec_t backoff;     /* last delay in ms; 0: after an answer */
  msec_t not_leader_until; /* not tried as the primary before this time */
  msec_t ok_at;            /* time of the last answer; -1: never */
  msec_t fail_at;          /* time of the first failure since then; -1: none */
  msec_t full_at;          /* last refusal as too many connections; 0: none */
  progress_t progress;     /* as a replica */
  outlier_t outlier;       /* whether it fails more than the others */
};

struct service
{
  service_t *next;
  proxy_t *proxy;
  str_t name;
  int connections;       /* limit of each database, all instances together */
  int sync_replicas;     /* that acknowledge each commit */
  int64_t setup_version; /* last configuration that contains it; 0: none */
  /* Instances of this zone that own connections to it.  */
  int owner[OWNERS_MAX]; /* indexes into proxy_t.endpoint */
  int nowner;
  int next_owner;         /* owner for the next session, modulo nowner */
  bool is_owner;          /* this instance is an owner */
  int64_t owners_version; /* endpoints_version that they were picked from */
  db_t *dbs;
  db_t *leader;
  /* When the leader reported that it isn't the primary; 0 once a leader is
     confirmed.  */
  msec_t no_leader_since;
  samples_t samples;
  session_t *waiting; /* in no order */
  int nwaiting;
  double kind_ms[FRESH_KINDS]; /* usual time of a statement at a database, by
                                  the freshness of its route; 0: unknown */
  flow_t flow;                 /* of WAITING */
  fair_t fair;                 /* between the tenants in WAITING */
  apr_hash_t *shares;          /* share_t by the address of the tenant */
};

/* ---- other instances ---- */

typedef struct
{
  char address[NAME_SIZE];
  msec_t avoid_until; /* gets no sessions before this time */
} endpoint_entry_t;

/* Forwarding of a session's statements to another instance.  */
typedef struct
{
  stream_t *stream;
  char address[NAME_SIZE];
  bool up;     /* connected */
  int skip;    /* answers to the transferred session state, to be dropped */
  bool active; /* a statement awaits its answer */
  bool done;   /* it succeeded */
  msec_t sent;
  msec_t timeout; /* ms for one statement, of the route */
  buf_t text;     /* the statement as the client sent it */
  buf_t answer; /* kept until it is complete: the statement may be repeated */
} forward_t;

/* ---- sessions ---- */

/* The statement that a session has in progress.  */
typedef struct
{
  bool active;
  bool waiting;      /* queued in service_t.waiting */
  share_t *share;    /* that it was queued under, with */
  double queued_ms;  /* this time of its kind */
  bool needs_leader; /* only the primary can run it */
  bool read_only;    /* no side effects: may be repeated */
  bool sent;
  bool repeated;      /* was retried after it had run and failed */
  quota_use_t *use;   /* quota that it counts for; NULL: none */
  bool gated;         /* waits for a token of it */
  bool counted;       /* has one */
  bool over_quota;    /* was refused for it */
  msec_t token_until; /* the token can be given back before this time */
  op_t op; /* its strings are in TEXT; of OP_EXECUTE, NAME is the key of
              the prepared statement */
  buf_t text;
  pos_t need; /* position that the database must have reached */
  msec_t arrived;
  msec_t deadline;
  msec_t attempt_end; /* end of the current attempt */
  db_t *tried[CANDIDATES_MAX];
  int ntried;
  fail_t last_fail; /* why the last attempt failed */
  int attempts;
  char last_db[NAME_SIZE]; /* database of the last attempt, for the log */
} request_t;

struct session
{
  session_t *next; /* in the proxy's list */
  session_t *prev;
  session_t *next_waiting;
  session_t *next_gated;
  proxy_t *proxy;
  stream_t *stream;
  str_t host; /* database name that the client asked for; empty before that;
                 on the heap */
  str_t key;  /* the caller's key, or of a forwarded session the
                 tenant's name; on the heap */
  tenant_t *tenant;   /* NULL: the route is anonymous or there are none */
  int64_t identified; /* version of the configuration that gave TENANT */
  service_t *service; /* of the current transaction */
  tx_t tx;
  bool started;       /* its start-up message was accepted */
  bool from_peer;     /* the client is an instance that forwards to this one */
  forward_t *forward; /* NULL: statements run at this instance */
  bool tx_read;       /* begun as read only */
  bool tx_begun;      /* BEGIN succeeded on LINK */
  bool tx_wrote;
  bool tx_lost; /* its connection ended between statements */
  msec_t tx_began;
  msec_t opened;
  msec_t last_active; /* last statement or answer */
  link_t *link;
  values_t values;
  values_t prepared;    /* name to key: 'r' or 'w' and the shape */
  pos_t last_write;     /* position of its last write */
  msec_t last_write_at; /* when it was acknowledged here; 0: elsewhere */
  route_entry_t route;
  request_t req;
  size_t seen;          /* bytes of the input that are no whole message */
  msec_t message_since; /* the message being received began; 0: none */
  size_t held;          /* bytes charged to the budget, beside the stream's */
};

/* ---- quotas ---- */

typedef struct quota_peer quota_peer_t;

/* Quota of a tenant at this instance.  */
struct quota_use
{
  quota_hold_t hold;
  tenant_t *tenant;
  quota_use_t *next_asked; /* in the peer's list, in the order of the asks */
  quota_use_t *next_held;  /* among those with tokens that may have to be
                              returned */
  bool held;               /* is among these */
  session_t *waiting;      /* for an answer, in the order of arrival */
  session_t **waiting_end;
  int nwaiting;
  int rank[QUOTA_RANKS]; /* accountants, places in gate_t.endpoint */
  int nrank;
  int64_t rank_version; /* gate_t.version that RANK is from */
  int tried;            /* accountants asked in vain for those that wait */
  int64_t peer;         /* accountant of the last ask; 0: this instance */
  int64_t admitted;
  int64_t refused;
  counter_t *admitted_total; /* metrics of its own; NULL: none */
  counter_t *refused_total;
  msec_t logged_at; /* last log line of a refusal */
  int64_t logged;   /* refusals at that time */
};

/* A connection to an accountant.  */
struct quota_peer
{
  quota_peer_t *next;
  proxy_t *proxy;
  stream_t *stream;
  char address[NAME_SIZE]; /* of its endpoint */
  int64_t id;
  quota_use_t *asked; /* asks without an answer, oldest first */
  quota_use_t **asked_end;
};

/* An earlier list of the instances that may be accountants.  */
typedef struct
{
  endpoint_entry_t *endpoint; /* NULL: none */
  size_t n;
  msec_t since;
} accountants_t;

struct gate
{
  quota_table_t *table;
  int listener;
  /* Instances that may be accountants, the endpoints of the zone; AVOID_UNTIL:
     no asks before this time.  */
  endpoint_entry_t *endpoint;
  size_t nendpoint;
  msec_t since;     /* these are known */
  int64_t version;  /* counts changes of these */
  int64_t followed; /* endpoints_version that they are from */
  accountants_t earlier[QUOTA_LISTS]; /* the latest first */
  msec_t shrunk_at; /* control lists much fewer since then; -1: no */
  msec_t full_at;   /* last log line of a full table; 0: none */
  apr_pool_t *scratch;
  quota_peer_t *peers;
  int64_t last_id;
  int64_t seq;
  quota_use_t *held;
  quota_use_t **held_end;
  msec_t held_due; /* the first of these is due; -1: none */
  msec_t usage_at; /* the metrics of tenants were set */
  int nnamed;      /* tenants with metrics of their own */
};

/* ---- control ---- */

typedef struct
{
  stream_t *stream;
  str_t *address; /* control instances that control reported */
  size_t n;
  size_t at; /* next to try, among these and those of the settings */
  char dialed[NAME_SIZE]; /* address that STREAM was opened to */
  apr_pool_t *pool;
  int64_t seq;      /* of the last report */
  int64_t boot;     /* identifies the start of the instance that numbered
                       ROSTER */
  int64_t roster;   /* version of the last full roster; -1: none */
  msec_t sent_at;   /* last report or connection attempt */
  msec_t dial_at;   /* no connection attempt before this time */
  msec_t opened_at; /* STREAM was connected */
  msec_t retry_at;  /* next report that control asked for; 0: none */
  int attempts;     /* connections in a row without an update */
  int64_t updates;  /* received on STREAM */
  int patience;     /* connections given up for silence, of late */
  rng_t rng;
  msec_t updated_at;    /* last update */
  msec_t heard_at;      /* last bytes of one */
  msec_t has_leader_at; /* last update from an instance that has a leader */
  bool urgent;          /* report without waiting for the interval */
  bool lost; /* a loss of control was logged, and no update came since */
  bool endpoint_sent; /* the last report contained this instance's endpoint */
} watcher_t;

/* Labels of metrics: kinds of statements, outcomes, what a statement waited
   for.  */
enum
{
  KIND_READ,
  KIND_WRITE,
  KIND_COMMIT,
  KINDS,
  OUTCOME_SERVED = 0,
  OUTCOME_REFUSED,
  OUTCOME_UNKNOWN,
  OUTCOMES,
  CAUSE_LEADER = 0,
  CAUSE_REPLICA,
  CAUSES
};

/* Why a session of a client that uses too much was closed.  */
typedef enum
{
  EVICT_MEMORY,      /* it held the most when the budget was exceeded */
  EVICT_DESCRIPTORS, /* no descriptor was left for it */
  EVICT_MESSAGE,     /* its message took too long */
  EVICT_READER,      /* it took no byte of its answers */
  EVICTIONS
} eviction_t;

struct proxy
{
  apr_pool_t *pool;
  loop_t *loop;
  proxy_conf_t conf;
  int listener;
  msec_t now;
  msec_t started;
  session_t *sessions;
  int nsession;
  int close_quota;    /* sessions that may still be closed in this batch */
  msec_t batch_start; /* start of the current batch */
  int entries;      /* entry instances that share the databases; 0: unknown */
  int entries_held; /* most of them in the last ENTRIES_HOLD ms */
  msec_t entries_held_at; /* last time when there were as many */
  int peer_listener;
  /* Instances of this zone that run statements for others.  */
  endpoint_entry_t *endpoint;
  size_t nendpoint;
  int64_t endpoints_version; /* counts changes of the endpoints and of the
                                configuration */
  msec_t owner_lost_at;      /* last loss of an owner while updates from
                                control were overdue; 0: none */
  service_t *services;
  apr_hash_t *service_by_name;
  tenant_t *tenants;
  apr_hash_t *tenant_by_name;
  apr_hash_t *tenant_by_key; /* of SETUP */
  msec_t caller_logged;      /* last log line of a refused caller; 0: none */
  int callers_refused;       /* since then */
  bool has_quotas;           /* a tenant of the configuration has a rate */
  gate_t *gate;
  double rates;          /* of all tenants of SETUP */
  int64_t rates_version; /* version of SETUP that they are of */
  int nlabelled;         /* tenants that have metrics of their own */
  link_t *closed_links;  /* closed, freed at the next turn */
  watcher_t watch;
  apr_pool_t *setup_pool;
  setup_t *setup;
  apr_hash_t *routes; /* of SETUP: host to route_entry_t */
  msec_t stop_at;     /* time of SIGTERM; -1: none */
  msec_t cut_off_at;  /* cut off since; -1: not cut off */
  msec_t wake;        /* next time-out; -1: none */
  msec_t warmed_at;   /* last connection opened in advance */
  atomic_bool ready;
  counter_t *evicted[EVICTIONS];
  counter_t *refused;
  counter_t *budget_used;
  counter_t *retried;
  counter_t *opened;
  counter_t *gave_way;
  counter_t *forwarded;
  counter_t *unknown_callers;
  counter_t *reads_replica;
  counter_t *reads_primary;
  counter_t *reads_near;
  hist_t *statement_ms[KINDS][OUTCOMES];
  hist_t *wait_ms[CAUSES];
};

/* health.c */
/* health_turn: updates whether the instance is ready and whether it is cut
   off.  */
void health_turn (proxy_t *p, msec_t now);
/* health_draining: whether idle sessions are closed so that their clients
   connect to another instance.  */
bool health_draining (const proxy_t *p, msec_t now);

/* fleet.c */
service_t *service_get (proxy_t *p, str_t name);
void fleet_update (proxy_t *p, const watch_update_t *n);
const route_entry_t *route_find (proxy_t *p, str_t host);
/* leader_pick: the database believed to be the primary, or NULL.  */
db_t *leader_pick (service_t *s, msec_t now);
void leader_confirmed (service_t *s, db_t *d);
void leader_refused (service_t *s, db_t *d, msec_t now);
void db_answered (db_t *d, msec_t now);
/* db_result: a statement succeeded at D or failed through no fault of its own;
   reads are kept away from a database that fails more often than the others
   of its service.  */
void db_result (db_t *d, bool ok, msec_t now);
void db_failed (proxy_t *p, db_t *d, msec_t now);

/* tenant.c */
/* tenant_get: the tenant NAME, created when it is new.  */
tenant_t *tenant_get (proxy_t *p, str_t name);
/* tenant_find: the tenant NAME if the configuration in force has it, or
   NULL.  */
tenant_t *tenant_find (const proxy_t *p, str_t name);
/* tenant_of_key: the tenant that holds KEY, or NULL.  */
tenant_t *tenant_of_key (const proxy_t *p, str_t key);
/* tenants_update: follows a new configuration.  */
void tenants_update (proxy_t *p);

/* share.c */
/* share_flow: what the tenant of S uses of the queue of its service.  */
fair_flow_t *share_flow (session_t *s);
/* share_of: the tenant's part of the rates of all, above 0.  */
double share_of (proxy_t *p, const tenant_t *t);
/* caller.c */
/* caller_keep_key: keeps what a start-up message says of its caller.  */
void caller_keep_key (session_t *s, str_t key);
/* caller_start: identifies the caller of a session that starts.  False when it
   is unknown and the session is closed.  */
bool caller_start (session_t *s);
/* caller_is_current: whether the configuration in force still gives the caller
   of S its tenant; else nothing more is sent for it.  */
bool caller_is_current (const session_t *s);
typedef enum
{
  CALLER_KNOWN,
  CALLER_REFUSED, /* the operation was answered */
  CALLER_CLOSED   /* and the session is closed */
} caller_t;
/* caller_check: the same for OP of a session, when the configuration has
   changed; an open transaction of an unknown caller is rolled back.  OP is
   NULL when no request awaits its answer.  */
caller_t caller_check (session_t *s, const op_t *op);

/* share.c */
/* share_get: what the tenant of S uses of the queue of its service.  */
share_t *share_get (session_t *s);
/* share_of: the tenant's part of the rates of all, above 0.  */
double share_of (proxy_t *p, const tenant_t *t);

/* link.c */
/* link_open: opens a connection to D for the tenant T, or NULL for none.  */
bool link_open (proxy_t *p, db_t *d, tenant_t *t);
/* link_acquire: takes an idle connection of the session's tenant to D for S,
   preferably one with the session's settings; NULL when none is idle.  */
link_t *link_acquire (db_t *d, session_t *s, msec_t now);
/* link_release: returns it to the idle ones, after a rollback of its open
   transaction.  */
void link_release (proxy_t *p, link_t *k);
/* links_free_closed: frees the connections closed in the last turn.  */
void links_free_closed (proxy_t *p);
/* link_close: closes it at once, without an event to its session.  */
void link_close (proxy_t *p, link_t *k);
/* link_expect: queues STEP, whose answer is expected after those queued.  */
void link_expect (link_t *k, step_t step);
buf_t *link_out (link_t *k);

/* send.c */
/* link_begin: sends BEGIN on K, of the session's transaction or of one around
   a single read that needs the leader.  */
void link_begin (proxy_t *p, link_t *k, session_t *s);
/* link_run: sends the session's statement on K, and the ROLLBACK that ends the
   transaction around a single read.  */
void link_run (proxy_t *p, link_t *k, session_t *s);

/* pool.c */
/* links_warm: opens a connection to a database without one, if the limit
   allows one for each instance.  Opening occupies a slot of the database, and
   many at once when traffic starts would hold up statements.  */
void links_warm (proxy_t *p, msec_t now);
/* links_sweep: closes connections of S whose time is over.  */
void links_sweep (proxy_t *p, service_t *s, msec_t now);
void links_close_idle (proxy_t *p, db_t *d);
/* link_giving_way: the idle connection to D, of another tenant than T, that is
   closed when T needs one and D is at its limit: the least recently used.
   NULL: none.  */
link_t *link_giving_way (const db_t *d, const tenant_t *t, msec_t now);
/* links_close_unused: closes idle connections to D that were last used before
   SINCE.  */
void links_close_unused (proxy_t *p, db_t *d, msec_t since);

/* candidates.c */
/* candidate_tried: whether an attempt of R failed at D.  */
bool candidate_tried (const request_t *r, const db_t *d);
/* candidates_list: stores the databases of the session's service in DB and
   their descriptions in OUT, at most CANDIDATES_MAX; returns their number.  */
int candidates_list (proxy_t *p, session_t *s, candidate_t *out, db_t **db);
/* link_limit: connections to D, a database of V, that this instance may have.
 */
int link_limit (proxy_t *p, service_t *v, const db_t *d);

/* statement.c */
void statement_start (session_t *s, const op_t *op);
void statement_expire (session_t *s, msec_t now);
/* statement_give_up: answers a statement in progress without its result.  */
void statement_give_up (session_t *s);
/* statement_begun: BEGIN was answered.  statement_answer: the statement was
   answered.  statement_disconnected: the connection ended.  */
void statement_begun (session_t *s, link_t *k, fail_t f, pos_t pos);
void statement_answer (session_t *s, link_t *k, tx_t state, pos_t pos);
void statement_disconnected (session_t *s, link_t *k);

/* attempt.c */
/* statement_place: sends the statement to a database, or queues it.  */
void statement_place (session_t *s);
/* statement_place_queued: tries to place the queued statements of V.  */
void statement_place_queued (proxy_t *p, service_t *v);
/* statement_retry: places it again after an attempt failed with F.  A read is
   sent to D, if not NULL, only after all others were tried.  */
void statement_retry (session_t *s, db_t *d, fail_t f);
/* statement_need_age: ms since the commit that the statement needs was
   acknowledged to the session, -1: it is no write of the session.  */
msec_t statement_need_age (const session_t *s);
/* statement_dequeue: removes it from the queue.  */
void statement_dequeue (session_t *s);

/* outcome.c */
/* statement_clear: ends it without an answer.  */
void statement_clear (session_t *s);
void statement_fail (session_t *s, fail_t f, str_t text);
/* statement_abort: fails it and its transaction, of which nothing takes
   effect.  */
void statement_abort (session_t *s, str_t why);
/* statement_indoubt: fails it as one that may or may not have taken effect. */
void statement_indoubt (session_t *s, str_t why);
/* statement_deliver: sends the complete answer on K to the client.  */
void statement_deliver (session_t *s, link_t *k);
/* answer_clear: discards the answer on K.  */
void answer_clear (link_t *k);

/* endpoint.c */
void endpoints_update (proxy_t *p, const watch_update_t *n);
/* endpoints_update: follows an update of control.  endpoint_offered: whether
   this instance runs statements for others.  */
bool endpoint_offered (const proxy_t *p);
/* service_has_owners: whether only owners open connections to V.  */
bool service_has_owners (const proxy_t *p, const service_t *v);
/* service_may_connect: whether this instance opens connections to V: it is an
   owner, or V has none.  */
bool service_may_connect (proxy_t *p, service_t *v);
/* service_owners_pending: whether V needs owners that aren't known yet.  */
bool service_owners_pending (const proxy_t *p, const service_t *v);
/* owners_awaited: whether this instance has just started and it isn't known
   yet where the connections of tenants are.  Each instance would open its own,
   while databases still count those that were lost.  */
bool owners_awaited (proxy_t *p);
/* service_sharers: number of instances that open connections to V, at
   least 1.  */
int service_sharers (proxy_t *p, service_t *v);
/* endpoint_pick_owner: the next owner of V that isn't avoided, or NULL.  For a
   tenant T the first such of an order of its own, so that the connections of T
   are at one owner; it may be this instance.
   endpoint_avoid: avoids ADDRESS for a while.  endpoint_listed: whether
   control lists it.  */
endpoint_entry_t *endpoint_pick_owner (proxy_t *p, service_t *v,
                                       const tenant_t *t);
/* endpoint_is_own: whether X is this instance.  */
bool endpoint_is_own (const proxy_t *p, const endpoint_entry_t *x);
void endpoint_avoid (proxy_t *p, const char *address);
bool endpoint_listed (const proxy_t *p, const char *address);

/* gate.c: quotas of tenants.  The instance that runs an operation takes a
   token for it.  */
bool gate_new (proxy_t *p, err_t *e);
/* gate_admits: whether the session's statement, a single one or the first of
   a transaction, is within the quota.  If not, it waits for a token, after
   which it is placed, or it was refused.  */
bool gate_admits (session_t *s);
/* gate_end: the statement ends; its token is given back if it was never sent
   to a database.  */
void gate_end (session_t *s);
void gate_turn (proxy_t *p, msec_t now);

/* usage_turn: sets the metrics of tenants.  */
void usage_turn (proxy_t *p, msec_t now);

/* accountant.c: counts for tenants on behalf of this zone.  */
bool accountant_new (proxy_t *p, err_t *e);
/* accountant_ask: asks this instance itself.  */
quota_answer_t accountant_ask (proxy_t *p, const quota_ask_t *m);
/* accountants_update: follows the endpoints of the zone.  */
void accountants_update (proxy_t *p);
/* accountant_rank: the places in gate_t.endpoint of the accountants of TENANT,
   at most QUOTA_RANKS, by their rank; returns their number.  */
int accountant_rank (const proxy_t *p, str_t tenant, int *out);

/* forward.c */
/* forward_needed: whether OP is to be sent to another instance.  */
bool forward_needed (session_t *s, const op_t *op);
/* forward_op: forwards OP; RAW is its text as the client sent it.  False when
   no other instance can be reached.  */
bool forward_op (session_t *s, const op_t *op, str_t raw);
void forward_expire (session_t *s, msec_t now);
void forward_end (session_t *s);
/* forward_give_up: the same for a forwarded statement.  */
void forward_give_up (session_t *s);

/* session.c */
/* session_open: FROM_PEER: the client is an instance that forwards.  */
void session_open (proxy_t *p, int fd, bool from_peer);
/* session_send_ready: sends the ready message with the transaction state.  */
void session_send_ready (session_t *s);
void session_refuse (session_t *s, fail_t f, str_t why);
/* session_note: keeps the setting or prepared statement of OP, which was
   acknowledged to the client, or drops it.  */
void session_note (session_t *s, const op_t *op);
/* session_executes_write: whether the prepared statement that OP executes
   writes.  */
bool session_executes_write (session_t *s, const op_t *op);
/* session_run_here: runs M, which was forwarded before, at this instance.  */
void session_run_here (session_t *s, client_msg_t *m);
void session_input (void *arg);
/* session_advance: handles received messages until a statement awaits its
   answer.  */
void session_advance (session_t *s);
/* session_next: after an answer: schedules the handling of further input.  */
void session_next (session_t *s);
void session_end (session_t *s);
/* session_done: answers that the operation is complete.  */
void session_done (session_t *s);
/* session_tx_end: resets the state of the transaction.  */
void session_tx_end (session_t *s);

/* stop.c: a planned stop, from SIGTERM to the end of the process.  Everything
   that is accepted is answered.  */
typedef enum
{
  STOP_NONE,
  STOP_ACCEPT, /* the load balancer still sends clients */
  STOP_FINISH, /* sessions without a transaction are closed; open transactions
                  go on, for the first half of the grace period */
  STOP_REFUSE, /* statements are refused with a promise, except a COMMIT that
                  can be answered in time */
  STOP_LEAVE   /* what is in progress gets its last answer */
} stop_phase_t;

stop_phase_t stop_phase (const proxy_t *p, msec_t now);
/* stop_refuses: whether OP can't be run any more.  stop_refuse: refuses it.  A
   session without a transaction is then closed, unless its client does not
   read; false when it was.  */
bool stop_refuses (const session_t *s, const op_t *op);
bool stop_refuse (session_t *s, const op_t *op);
/* stop_turn: ends the loop when all sessions are closed, or it is time.  */
void stop_turn (proxy_t *p, msec_t now);

/* limits.c: clients that use more than their share.  */
/* limits_new: derives the limits from the configuration of P.  */
void limits_new (proxy_t *p);
/* limits_accept: makes room for another session; false when there is no
   descriptor for it.  */
bool limits_accept (proxy_t *p, bool from_peer);
/* limits_may_dial: whether a descriptor is left to forward a session.  */
bool limits_may_dial (const proxy_t *p);
/* session_charge, link_charge: charge what they hold to the budget.  */
void session_charge (session_t *s);
void link_charge (link_t *k);
/* limits_turn: closes the sessions that hold the most while the budget is
   exceeded.  */
void limits_turn (proxy_t *p);
/* limits_expire: closes S when its message, or the reading of its answers,
   takes too long.  True when it was closed.  */
bool limits_expire (session_t *s, msec_t now);

/* sweep.c */
/* sessions_sweep: applies time limits, and closes sessions while draining.  */
void sessions_sweep (proxy_t *p, msec_t now);

/* metrics.c */
void metrics_new (proxy_t *p);
void metrics_answered (session_t *s, int outcome);
void metrics_started (session_t *s);

/* watch.c */
void watch_turn (proxy_t *p, msec_t now);
/* wake_at: the next sweep is due at AT or earlier.  */
void wake_at (proxy_t *p, msec_t at);

#endif
