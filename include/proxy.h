/* proxy - runs the operations of client sessions on pooled connections to
   databases.

   The wire protocols of clients and databases are tables of function pointers
   (client_codec_t, db_codec_t).  Read freshness, placement and the choice of
   owners are pure functions without I/O or a clock; the rest connects them to
   the event loop.  */

#ifndef PROXY_H
#define PROXY_H

#include "base.h"
#include "loop.h"
#include "quota.h"
#include "rpc.h"

/* ---- operations ---- */

typedef enum
{
  OP_BEGIN,
  OP_BEGIN_READ,
  OP_COMMIT,
  OP_ROLLBACK,
  OP_READ,       /* ARG: item */
  OP_WRITE,      /* ARG: item and data */
  OP_SET,        /* NAME, ARG: value */
  OP_PREPARE,    /* NAME, WRITES, ARG: shape */
  OP_EXECUTE,    /* NAME, ARG: item and data */
  OP_DEALLOCATE, /* NAME */
  OP_MALFORMED
} op_kind_t;

typedef struct
{
  op_kind_t kind;
  str_t id; /* request id given by the client */
  str_t name;
  str_t arg;
  bool writes;
} op_t;

/* Why an operation failed.  FAIL_BUSY to FAIL_TOOMANY guarantee that nothing
   of the attempt took effect.  */
typedef enum
{
  FAIL_NONE,
  FAIL_BUSY,
  FAIL_ABORTED,
  FAIL_LAGGING,
  FAIL_READONLY,
  FAIL_MISROUTED,
  FAIL_TOOMANY,
  FAIL_INDOUBT, /* it may or may not have taken effect */
  FAIL_TIMEOUT, /* the same */
  FAIL_FAILED,  /* the database ran it and it failed */
  FAIL_NOSTMT,
  FAIL_MALFORMED,
  FAIL_NODB,
  FAIL_NOAUTH, /* the caller's key is unknown or was withdrawn */
  FAIL_OTHER   /* an error code unknown to the codec; see the text */
} fail_t;

const char *fail_name (fail_t f);

/* A position in the log of a service's databases; TERM 0 means none.  */
typedef struct
{
  int64_t term;
  int64_t number;
} pos_t;

/* pos_cmp: returns <0, 0 or >0.  The term is compared first: the log of a
   later term contains everything of the earlier terms that survived.  */
int pos_cmp (pos_t a, pos_t b);

typedef enum
{
  TX_NONE,
  TX_OPEN,
  TX_FAILED
} tx_t;

/* ---- codecs ---- */

typedef enum
{
  CLIENT_STARTUP, /* HOST */
  CLIENT_OP,      /* OP */
  CLIENT_END
} client_kind_t;

typedef struct
{
  client_kind_t kind;
  str_t host;
  str_t client; /* rest of the start-up message: the caller's key */
  op_t op;
} client_msg_t;

/* Client protocol.  Strings of a decoded message are views into IN.  DECODE
   returns 1 and sets USED to the bytes consumed, 0 when the message is
   incomplete, -1 when IN is malformed.  */
typedef struct
{
  int (*decode) (str_t in, size_t *used, client_msg_t *m);
  void (*row) (buf_t *out, str_t row);
  void (*done) (buf_t *out, str_t signature);
  void (*error) (buf_t *out, fail_t f, str_t text);
  /* POS: position of the session's last write, sent to a forwarding instance;
     otherwise none.  */
  void (*ready) (buf_t *out, tx_t state, pos_t pos);
  /* Whether DECODE may have an answer other than 0 for IN, whose first SEEN
     bytes it found incomplete.  Spares it to read a message again with each
     piece of it.  May be NULL.  */
  bool (*may_decode) (str_t in, size_t seen);
} client_codec_t;

typedef enum
{
  DB_ROW,   /* TEXT */
  DB_DONE,  /* TEXT: signature */
  DB_ERROR, /* FAIL, TEXT: code and detail as received */
  DB_READY  /* STATE, POS */
} db_kind_t;

typedef struct
{
  db_kind_t kind;
  str_t text;
  fail_t fail;
  tx_t state;
  pos_t pos;
} db_msg_t;

/* Status that a database reports.  */
typedef struct
{
  bool primary;
  int64_t term;
  pos_t received;
  int64_t held; /* term of the last pause */
} db_status_t;

typedef struct
{
  int (*decode) (str_t in, size_t *used, db_msg_t *m);
  void (*startup) (buf_t *out, str_t service, str_t client, str_t id);
  /* Sends the client's OP; PREPARED replaces the client's name of a prepared
     statement; AFTER is the position that the database must have reached, or
     none.  An operation that the proxy itself issues has an empty id.  */
  void (*op) (buf_t *out, const op_t *op, str_t prepared, pos_t after);
  void (*reset) (buf_t *out);
  void (*status) (buf_t *out);
  /* PAUSE: a replica receives nothing more until RESUME or a promotion; TERM
     is above the newest term.  Answered like STATUS.  */
  void (*pause) (buf_t *out, int64_t term);
  void (*resume) (buf_t *out);
  bool (*status_row) (str_t row, db_status_t *st);
} db_codec_t;

/* ---- read freshness ---- */

enum
{
  SAMPLES_MAX = 16,     /* kept for each service */
  SAMPLE_SPACING = 160, /* ms between samples; together they span the ages that
                         reads may have */
};

/* Sampled positions of the primary.  POS covers every commit that was
   acknowledged before SENT, the time at which the statement that returned it
   was sent.  */
typedef struct
{
  int n;
  int next;
  struct
  {
    msec_t sent;
    pos_t pos;
  } at[SAMPLES_MAX];
} samples_t;

/* samples_add: adds a sample.  A later term discards the older samples,
   because a position that was rolled back is never reached again.  */
void samples_add (samples_t *m, msec_t sent, pos_t pos);
/* samples_required: sets NEED to the position that a database must have
   reached to serve a read that arrived at BEGAN: it covers the session's last
   write OWN (or none) and every commit acknowledged more than MAX_AGE ms
   before the read.  Uses the oldest sample that is recent enough, since more
   replicas have reached it.  Returns false when no sample is recent enough. */
bool samples_required (const samples_t *m, msec_t began, msec_t max_age,
                       pos_t own, pos_t *need);
/* samples_newest: SENT of the newest sample, or -1 without samples.  */
msec_t samples_newest (const samples_t *m);

/* ---- placement ---- */

/* A database that a statement may be placed on.  */
typedef struct
{
  bool leader;    /* believed to be the primary */
  bool same_zone; /* in this instance's availability zone */
  bool usable;    /* registered, not draining, not in backoff, not tried */
  int idle;       /* unused connections of the statement's tenant */
  int opening;    /* connections of all tenants that are being opened */
  int open;       /* of all tenants */
  int limit;      /* connections that this instance may open */
  int busy;       /* connections that this instance has in use */
  double ms;      /* moving average of a statement's time; 0: unknown */

  /* The rest counts only where connections belong to tenants.  */
  bool tenants;
  int own_opening;   /* of OPENING, for the statement's tenant */
  int own;           /* of OPEN */
  int own_limit;     /* connections that one tenant may have */
  int opening_limit; /* connections that may be opened at once */
  /* ms since the last use of the connection that gives way to the statement's
     tenant at the limit, -1: none does.  */
  msec_t give_way;
} candidate_t;

typedef enum
{
  PLACE_USE,  /* run it on an idle connection to AT */
  PLACE_OPEN, /* open a connection to AT and wait for it */
  PLACE_WAIT, /* wait for a busy or opening connection */
  PLACE_NONE  /* no database can run it now */
} place_kind_t;

typedef struct
{
  place_kind_t kind;
  int at;
} place_t;

/* place_read: places a read that any of the N databases may serve.  Prefers
   replicas over the primary, whose connections are needed for writes, and the
   instance's own zone over others.  */
place_t place_read (const candidate_t *s, int n);
/* place_leader: places a statement that only the primary may serve.  */
place_t place_leader (const candidate_t *s, int n);

/* ---- statements that wait ---- */

/* A statement that no database can run yet.  */
typedef struct
{
  msec_t arrived;
  msec_t target;   /* an answer after this time is late */
  msec_t deadline; /* no answer counts after this time */
  int64_t priority;
  double ms; /* time at a database that statements of this kind take */
  int rank;  /* 0: of a tenant within its share, see fair_rank */
} waiter_t;

/* waiter_cmp: <0 when A is to run before B at NOW.  First by rank, then those
   that can still be answered in time, then by priority, then the shorter kind,
   then by arrival.  */
int waiter_cmp (const waiter_t *a, const waiter_t *b, msec_t now);
enum
{
  WAITER_KINDS = 3,  /* kinds of statements of one service */
  FLOW_WINDOW = 300, /* ms that rates are taken over, up to twice that */
  FLOW_MIN = 300     /* ms; over a shorter time rates are unknown */
};

typedef struct
{
  msec_t since;
  int arrived[2][WAITER_KINDS]; /* of rank 0, of others */
  int started;
} flow_window_t;

/* Statements that came to the queue of a service and that left it for a
   database, while it was not empty.  Zeroed: empty.  */
typedef struct
{
  bool active;
  flow_window_t last;
  flow_window_t current;
  int64_t priority[WAITER_KINDS]; /* of the kind's last arrival */
  double ms[WAITER_KINDS];
} flow_t;

/* flow_arrived: W of KIND came to the queue.  flow_started: one left it for a
   database.  flow_empty: the queue is empty.  */
void flow_arrived (flow_t *f, int kind, const waiter_t *w, msec_t now);
void flow_started (flow_t *f, msec_t now);
void flow_empty (flow_t *f);

/* waiter_hopeless: whether W, with AHEAD statements before it, cannot be
   answered before its deadline at the present rates.  False while nothing
   leaves the queue: that is an outage, whose end the rates don't tell.  */
bool waiter_hopeless (const waiter_t *w, const flow_t *f, int ahead,
                      msec_t now);

/* ---- tenants that share a queue ---- */

/* A tenant's use of one queue.  Zeroed: none.  */
typedef struct
{
  double tag;     /* time of the queue's clock when its next one is due */
  double share;   /* of all rates, above 0 */
  double backlog; /* ms of work that wait */
  double ahead;   /* of fair_order */
  int waiting;
  int at; /* in fair_t.busy while some wait */
} fair_flow_t;

/* Weighted fair queuing between tenants.  The clock counts ms of work divided
   by the share of who used it, and follows the tenants that wait: what a
   tenant used while no other waited isn't held against it.  Zeroed: empty.  */
typedef struct
{
  double clock;
  fair_flow_t **busy; /* tenants of which statements wait: a heap by tag */
  int n;
  int cap;
} fair_t;

typedef struct
{
  waiter_t w;
  fair_flow_t *flow;
  void *of; /* the caller's */
  msec_t now;
} fair_waiter_t;

/* fair_arrived: a statement of F that takes MS came to the queue; SHARE is the
   tenant's.  fair_left: one left it, to a database or refused.  fair_ran: one
   went to a database, whether it waited or not.  */
void fair_arrived (fair_t *q, fair_flow_t *f, double share, double ms);
void fair_left (fair_t *q, fair_flow_t *f, double ms);
void fair_ran (fair_t *q, fair_flow_t *f, double share, double ms);
/* fair_rank: rank of the next statement of F that comes: 0 within its share,
   higher the further beyond, 0 while no other tenant waits.  */
int fair_rank (const fair_t *q, const fair_flow_t *f);
/* fair_order: sorts the N statements that wait into the order in which they
   are to run and sets their ranks.  */
void fair_order (fair_t *q, fair_waiter_t *v, int n, msec_t now);
void fair_free (fair_t *q);

/* What is known of the positions that a replica lacks.  */
typedef struct
{
  pos_t lacks;   /* lowest position that it refused since UNTIL was set */
  msec_t until;  /* not asked for LACKS or a later one before this time */
  msec_t delay;  /* ms, doubles with each refusal in a row */
  pos_t reached; /* last position that it reported */
  double lag;    /* ms that it usually takes to have a commit */
} progress_t;

/* AGE: ms since the commit of NEED was acknowledged, -1: unknown.

   progress_refused: the replica lacked NEED.  */
void progress_refused (progress_t *g, pos_t need, msec_t age, msec_t now);
/* progress_reached: it had NEED and reported POS.  */
void progress_reached (progress_t *g, pos_t pos, msec_t age);
/* progress_may_have: whether it is worth asking it for NEED.  */
bool progress_may_have (const progress_t *g, pos_t need, msec_t age,
                        msec_t now);

/* ---- owners of scarce connections ---- */

enum
{
  OWNERS_MAX = 8 /* owners of a service in one availability zone */
};

/* When a database allows fewer than two connections for each entry instance, a
   few instances of each zone, the owners, hold the connections to a service
   and the other instances forward statements to them.  The statements of many
   sessions share a queue, connections aren't opened for single statements, and
   few are opened at once after a power loss.

   owners_needed: whether CONNECTIONS to each database are too few for ENTRIES
   entry instances.  */
bool owners_needed (int connections, int entries);
/* owners_count: number of owners among the NEAR instances of one zone, for
   ENTRIES instances in all zones and CONNECTIONS to each database.  */
int owners_count (int connections, int entries, int near);
/* owners_spread: the same, or more where NEAR instances would leave some
   without any of NSERVICE services: an owner's link carries the statements of
   its share of the zone.  */
int owners_spread (int connections, int entries, int near, int nservice);
/* owners_pick: stores in OUT the indexes of the K owners of SERVICE among the
   N addresses, by rendezvous hashing: an instance that joins or leaves doesn't
   move the services of others.  Returns their number, at most K and
   OWNERS_MAX.  */
int owners_pick (str_t service, const str_t *address, int n, int k, int *out);

/* The owners of one service.  */
typedef struct
{
  str_t service;
  int want; /* number of owners, see owners_count */
  int n;    /* found: WANT, at most the number of addresses and OWNERS_MAX */
  int owner[OWNERS_MAX]; /* indexes of the addresses */
} owner_role_t;

/* owners_assign: picks the owners of NROLE services among the N addresses so
   that none owns more services than its even share, rounded up: an owner sends
   the statements of a zone through its own link.  Each service gets the
   addresses with the highest ranks of owners_pick that still have room, so
   most stay when an instance joins or leaves.  The result doesn't depend on
   the order of ROLE or of the addresses.  */
void owners_assign (owner_role_t *role, int nrole, const str_t *address,
                    int n);

/* ---- daemon ---- */

typedef struct
{
  str_t name;
  str_t zone;
  str_t listen; /* address for clients */
  str_t peers;  /* address advertised to instances that forward to this one */
  str_t peers_listen; /* address bound for them; empty: no forwarding */
  str_t quota_listen; /* address bound for the holders of quotas; its port
                         follows that of PEERS; empty: none */
  quota_rule_t quota;
  str_t *control; /* RPC addresses of control instances, from settings */
  size_t ncontrol;
  msec_t grace;           /* from SIGTERM to the exit of the process; 0:
                             unknown */
  msec_t startup_timeout; /* from accept to a client's start-up message */
  msec_t message_timeout; /* from the first byte of a message to its last; 0:
                             none */
  msec_t reader_timeout;  /* that a client may take no byte of its answers; 0:
                             none */
  size_t memory;          /* bytes that the process may use; 0: unlimited */
  int descriptors;        /* that it may open; 0: unlimited */
  const client_codec_t *client;
  const db_codec_t *db;
} proxy_conf_t;

typedef struct proxy proxy_t;

/* proxy_new: binds the listeners; proxy_turn does the rest.  NULL on an
   error.  */
proxy_t *proxy_new (apr_pool_t *pool, loop_t *l, const proxy_conf_t *c,
                    err_t *e);
/* proxy_set_control: replaces the control addresses of the settings, after a
   reload.  */
void proxy_set_control (proxy_t *p, const str_t *address, size_t n);
/* proxy_turn: the turn function for loop_run.  */
msec_t proxy_turn (void *arg, msec_t now);
/* proxy_ready: whether it accepts new sessions.  Safe from any thread.  */
bool proxy_ready (const proxy_t *p);
/* proxy_stop: begins a graceful shutdown, which ends with loop_stop.  */
void proxy_stop (proxy_t *p);

#endif
