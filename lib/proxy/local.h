/* Internals of the proxy.  */

#ifndef PROXY_LOCAL_H
#define PROXY_LOCAL_H

#include "proxy.h"

#include <apr_hash.h>
#include <signal.h>
#include <stdatomic.h>

enum
{
  NAME_LEN = 64,          /* bytes of names of services, databases and zones */
  SITES_MAX = 16,         /* databases of one service */
  STEPS_MAX = 48,         /* operations in flight on one connection */
  CONNECT_TIME = 700,     /* ms to open a connection to a database */
  SILENCE = 3000,         /* ms without acknowledgement ends a connection */
  IDLE_KEEP = 8000,       /* ms that an unused connection is kept */
  IDLE_KEEP_LAST = 50000, /* the same where each instance may have one */
  WARM_EVERY = 30,        /* ms between connections opened ahead of need */
  IDLE_KEEP_MORE = 1000,  /* the same for all but one to a database */
  IDLE_KEEP_SHORT = 120,  /* the same while a database has no room for more */
  AVOID_FIRST = 100,      /* ms that a failing database is avoided */
  AVOID_MAX = 1000,
  ENTRIES_GUESS = 8,  /* until control tells how many share a database */
  FULL_HOLD = 50,     /* ms until a full database is asked for room again */
  LEAD_RETRY = 150,   /* ms until a database that does not lead is asked
                         again */
  SETUP_WAIT = 1500,  /* ms that a session waits for the first
                         configuration; clients wait 2 s */
  SETUP_UNLED = 2000, /* ms after the start until a configuration of an
                         instance without a leader is taken: it may be an
                         old one */
  WATCH_EVERY = 300,  /* ms between reports to control */
  WATCH_LOST = 800,   /* ms without news: another control instance */
  CUT_CONTROL
  = 1000,            /* ms without a control instance that has a leader, and */
  CUT_LEADER = 300,  /* ms without the primary of a service: this zone is cut
                        off, and another serves its clients better */
  OWNER_LOST = 2000, /* ms that the loss of an owner counts as a sign of it */
  NOT_READY_TIME = 2200, /* ms after SIGTERM until sessions are closed; the
                            balancer needs two probes a second apart */
  CLOSE_BATCH = 12,      /* sessions closed at a time by a planned stop */
  CLOSE_EVERY = 25,      /* ms between such batches */
  STOP_MARGIN = 400      /* ms before the end of the grace period */
};

typedef struct db db_t;
typedef struct service service_t;
typedef struct session session_t;
typedef struct link link_t;

/* ---- session state that has to be the same on the connection ---- */

typedef struct
{
  char *name;
  char *value;
} value_t;

typedef struct
{
  value_t *at;
  int n;
  int cap;
} values_t;

void values_set (values_t *v, str_t name, str_t value);
const char *values_get (const values_t *v, const char *name);
bool values_drop (values_t *v, str_t name);
/* values_equal: V and WANT hold the same names and values.  */
bool values_equal (const values_t *v, const values_t *want);
void values_free (values_t *v);

/* ---- connections to databases ---- */

typedef enum
{
  STEP_START,
  STEP_RESET,
  STEP_SET,
  STEP_PREPARE,
  STEP_BEGIN,   /* of the client's transaction, or around one read of the
                   leader */
  STEP_OP,      /* the client's statement */
  STEP_ROLLBACK /* of either */
} step_t;

typedef enum
{
  LINK_OPENING,
  LINK_IDLE,
  LINK_BUSY
} link_state_t;

struct link
{
  link_t *next; /* of the database */
  db_t *db;
  stream_t *stream;
  link_state_t state;
  session_t *owner; /* NULL while it finishes for a session that is gone */
  uint8_t step[STEPS_MAX];
  int first;
  int nstep;
  msec_t since;  /* of the state */
  msec_t sent;   /* when the oldest outstanding step was sent */
  msec_t marked; /* when STEP_BEGIN was sent */
  bool in_tx;
  bool closing;
  values_t values;
  values_t prepared; /* names on the connection; the value is empty */
  /* The answer being received.  */
  buf_t rows; /* length-prefixed rows of STEP_OP */
  buf_t text; /* signature or error */
  fail_t fail;
  bool done;
};

struct db
{
  db_t *next; /* of the service */
  service_t *service;
  char id[NAME_LEN];
  char address[NAME_LEN];
  char zone[NAME_LEN];
  int64_t born;
  int64_t seq;
  int slots;    /* statements that it runs at once; 0: unknown */
  bool primary; /* as control heard */
  bool leaving;
  bool gone;
  link_t *links;
  int idle;
  int opening;
  int open; /* idle and busy */
  double ms;
  msec_t avoid;
  msec_t avoid_for;
  msec_t not_lead; /* does not lead before this time */
  msec_t ok_at;    /* last answer, -1: never */
  msec_t fail_at;  /* first failure since, -1: none */
  msec_t full_at;  /* had no room for a connection */
};

struct service
{
  service_t *next;
  proxy_t *proxy;
  char name[NAME_LEN];
  int connections;
  /* Instances of the own zone that own connections to it.  */
  int owner[OWNERS_MAX]; /* index of the endpoint */
  int nowner;
  int turn; /* of the next session */
  bool owns;
  int64_t owners_number; /* of the endpoints that they were picked from */
  db_t *dbs;
  db_t *leader;
  msec_t
      leaderless; /* since the last one said that it does not lead, 0: not */
  marks_t marks;
  session_t *waiting; /* oldest first */
};

/* ---- other instances ---- */

typedef struct
{
  char address[NAME_LEN];
  msec_t avoid; /* passed over until */
} endpoint_entry_t;

/* A session's statements run at another instance.  */
typedef struct
{
  stream_t *stream;
  char address[NAME_LEN];
  bool up;
  int skip;    /* answers to the session's state */
  bool active; /* a statement is under way */
  bool done;   /* it has succeeded */
  msec_t sent;
  msec_t limit; /* ms of one statement */
  buf_t text;   /* of the statement, as the client sent it */
} forward_t;

/* ---- sessions ---- */

/* The statement that a session waits for.  */
typedef struct
{
  bool active;
  bool waiting; /* in the service's list */
  bool lead;    /* only the primary can serve it */
  bool reads;   /* has no effect */
  bool sent;
  bool repeated; /* ran and failed elsewhere before */
  op_t op;       /* strings in TEXT */
  buf_t text;
  char prepared[NAME_LEN + 2];
  pos_t need;
  msec_t arrived;
  msec_t deadline;
  msec_t attempt; /* end of the present attempt */
  db_t *tried[SITES_MAX];
  int ntried;
  fail_t last; /* why the last attempt did not run */
  int attempts;
  char asked[NAME_LEN]; /* database of the last attempt */
} request_t;

struct session
{
  session_t *next; /* of the proxy */
  session_t *prev;
  session_t *next_waiting;
  proxy_t *proxy;
  stream_t *stream;
  char host[NAME_LEN];
  service_t *service; /* of the transaction */
  tx_t tx;
  bool started;
  bool fellow;        /* another instance forwards it */
  forward_t *forward; /* or NULL */
  bool tx_read;       /* opened as read only */
  bool tx_begun;      /* LINK is in the transaction */
  bool tx_wrote;
  bool tx_lost; /* its connection ended while no statement ran */
  msec_t tx_began;
  msec_t opened;
  msec_t seen;
  link_t *link;
  values_t values;
  values_t prepared; /* value: 'r' or 'w' and the shape */
  pos_t own;
  route_entry_t route;
  char route_service[NAME_LEN];
  request_t req;
};

/* ---- control ---- */

typedef struct
{
  stream_t *stream;
  str_t *address;
  size_t n;
  size_t at;
  char dialled[NAME_LEN]; /* address of STREAM */
  apr_pool_t *pool;
  int64_t seq;
  int64_t boot;
  int64_t roster;
  msec_t asked;
  msec_t heard;
  msec_t led;  /* last news of an instance that has a leader */
  bool urgent; /* something happened that control has to know at once */
  bool lost;
  bool offered; /* the endpoint was told last */
} watcher_t;

/* Kinds of statements, outcomes and causes of waiting in the metrics.  */
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
  int closing; /* sessions that may still be closed before the next batch */
  msec_t close_at; /* start of the present batch */
  int entries;     /* entry instances that share the databases; 0: unknown */
  int peer_listener;
  endpoint_entry_t *endpoint; /* instances of the own zone */
  size_t nendpoint;
  int64_t endpoints_number;
  msec_t owner_lost; /* while control was out of reach, 0: never */
  service_t *services;
  link_t *dead;
  watcher_t watch;
  apr_pool_t *setup_pool;
  setup_t *setup;
  apr_hash_t *routes; /* host to route_entry_t */
  msec_t stop_at;     /* SIGTERM, -1: none */
  msec_t cut_at;      /* cut off since, -1: not */
  msec_t wake;
  msec_t warmed;
  atomic_bool ready;
  counter_t *retried;
  counter_t *opened;
  counter_t *forwarded;
  counter_t *reads_replica;
  counter_t *reads_primary;
  counter_t *reads_near;
  hist_t *took[KINDS][OUTCOMES];
  hist_t *waited[CAUSES];
};

/* health.c */
void health_turn (proxy_t *p, msec_t now);
/* health_leaving: sessions are to go elsewhere.  */
bool health_leaving (const proxy_t *p, msec_t now);

/* fleet.c */
service_t *service_get (proxy_t *p, str_t name);
service_t *service_find (proxy_t *p, const char *name);
void fleet_news (proxy_t *p, const watch_update_t *n);
const route_entry_t *route_find (proxy_t *p, const char *host);
/* lead_pick: the database believed to lead, or NULL.  */
db_t *lead_pick (service_t *s, msec_t now);
void lead_learned (service_t *s, db_t *d);
void lead_refused (service_t *s, db_t *d, msec_t now);
void db_ok (db_t *d, msec_t now);
void db_failed (proxy_t *p, db_t *d, msec_t now);

/* link.c */
bool link_open (proxy_t *p, db_t *d);
/* link_take: the idle connection of D that suits the session S best.  */
link_t *link_take (db_t *d, session_t *s, msec_t now);
/* link_release: gives it back; rolls an open transaction back first.  */
void link_release (proxy_t *p, link_t *k);
/* links_bury: frees those that were closed in this turn.  */
void links_bury (proxy_t *p);
/* link_close: at once; its owner is not told.  */
void link_close (proxy_t *p, link_t *k);
/* link_push: STEP's answer is expected next.  */
void link_push (link_t *k, step_t step);
buf_t *link_out (link_t *k);

/* send.c */
/* link_begin: sends what comes before the session's statement on K: BEGIN of
   its transaction, or of one around a read that only the leader can serve.  */
void link_begin (proxy_t *p, link_t *k, session_t *s);
/* link_run: sends the session's statement on K, and what ends the transaction
   around a read.  */
void link_run (proxy_t *p, link_t *k, session_t *s);

/* keep.c */
/* links_warm: opens a connection to a database that has none, where each
   instance may have one: opening takes a slot, and many at once when traffic
   starts would keep the statements out.  */
void links_warm (proxy_t *p, msec_t now);
void links_sweep (proxy_t *p, service_t *s, msec_t now);
void links_close_idle (proxy_t *p, db_t *d);
/* links_close_quiet: closes those that have not answered after SINCE.  */
void links_close_quiet (proxy_t *p, db_t *d, msec_t since);

/* sites.c */
bool site_tried (const request_t *r, const db_t *d);
/* sites_list: the databases that S may use to OUT and DB, which have room for
   SITES_MAX; returns their number.  */
int sites_list (proxy_t *p, session_t *s, site_t *out, db_t **db);

/* statement.c */
void statement_start (session_t *s, const op_t *op);
void statement_expire (session_t *s, msec_t now);
/* statement_begun, statement_answer, statement_lost: events of the link.  */
void statement_begun (session_t *s, link_t *k, fail_t f, pos_t pos);
void statement_answer (session_t *s, link_t *k, tx_t state, pos_t pos);
void statement_lost (session_t *s, link_t *k);

/* attempt.c */
/* statement_place: tries to place the statement; it may wait.  */
void statement_place (session_t *s);
/* statement_pump: places what waits for V.  */
void statement_pump (proxy_t *p, service_t *v);
/* statement_retry: places it again after D, or a lost connection, failed it
   with F.  */
void statement_retry (session_t *s, db_t *d, fail_t f);
/* statement_dequeue: it waits no longer.  */
void statement_dequeue (session_t *s);

/* outcome.c */
void statement_drop (session_t *s);
void statement_fail (session_t *s, fail_t f, str_t text);
/* statement_abort: its transaction cannot go on; nothing of it is kept.  */
void statement_abort (session_t *s, str_t why);
/* statement_doubt: it may or may not have taken effect.  */
void statement_doubt (session_t *s, str_t why);
/* statement_deliver: the whole answer on K goes to the client.  */
void statement_deliver (session_t *s, link_t *k);
/* answer_clear: forgets the answer on K.  */
void answer_clear (link_t *k);

/* forward.c */
void forward_news (proxy_t *p, const watch_update_t *n);
/* forward_offers: this instance may run statements for others.  */
bool forward_offers (const proxy_t *p);
/* forward_owned: few instances own the connections to V.  */
bool forward_owned (const proxy_t *p, const service_t *v);
/* forward_owns: it opens connections to databases of V itself.  */
bool forward_owns (proxy_t *p, service_t *v);
/* forward_expects: the owners of connections to V are not known yet.  */
bool forward_expects (const proxy_t *p, const service_t *v);
/* forward_sharers: instances that open connections to databases of V.  */
int forward_sharers (proxy_t *p, service_t *v);
bool forward_wanted (session_t *s, const op_t *op);
/* forward_op: RAW is OP as the client sent it.  False when no other instance
   takes it.  */
bool forward_op (session_t *s, const op_t *op, str_t raw);
void forward_expire (session_t *s, msec_t now);
void forward_end (session_t *s);

/* session.c */
/* session_open: FELLOW: the client is another instance.  */
void session_open (proxy_t *p, int fd, bool fellow);
void session_state (session_t *s);
void session_refuse (session_t *s, fail_t f, str_t why);
/* session_executes_write: OP runs a prepared statement that writes.  */
bool session_executes_write (session_t *s, const op_t *op);
/* session_again: M, which came before, is run here.  */
void session_again (session_t *s, client_msg_t *m);
void session_input (void *arg);
/* session_advance: takes what the client has sent, until a statement is under
   way.  */
void session_advance (session_t *s);
/* session_next: the statement is answered; takes the next one.  */
void session_next (session_t *s);
void session_end (session_t *s);
void session_ok (session_t *s);
void session_tx_end (session_t *s);

/* sweep.c */
void sessions_sweep (proxy_t *p, msec_t now);

/* metrics.c */
void metrics_new (proxy_t *p);
void metrics_answered (session_t *s, int outcome);
void metrics_started (session_t *s);

/* watch.c */
void watch_turn (proxy_t *p, msec_t now);
void wake_at (proxy_t *p, msec_t at);

#endif
