/* rpc - frames over TCP between the system's own processes, with a msgpack
   message codec driven by tables of fields.

   A frame is a 4-byte big-endian length (of what follows, at most
   RPC_MAX_FRAME) and one msgpack array: message type, protocol version, then
   the fields of the message in the order of its table.  Fields may be added
   at the end: a decoder takes missing ones as zero and ignores surplus ones.
 */

#ifndef RPC_H
#define RPC_H

#include "base.h"

enum
{
  RPC_MAX_FRAME = 1 << 20, /* bytes */
  RPC_MAX_LIST
  = 16384, /* records; bounds the memory that a frame can ask for */
  RPC_VERSION = 1,
  RPC_SNAP_CHUNK = 256 << 10 /* bytes */
};

typedef enum
{
  MSG_VOTE_REQ = 1,
  MSG_VOTE_RESP,
  MSG_APPEND_REQ,
  MSG_APPEND_RESP,
  MSG_SNAP_REQ,
  MSG_SNAP_RESP,
  MSG_PROBE_REPORT,
  MSG_RENEW,
  MSG_GRANT,
  MSG_SUBMIT,
  MSG_SUBMIT_RESP,
  MSG_QUERY,
  MSG_QUERY_RESP,
  MSG_HELLO,
  MSG_HELLO_RESP,
  MSG_MEMBERS,
  MSG_RAFT_STATE, /* this and the next two only in files */
  MSG_RAFT_RECORD,
  MSG_RAFT_SNAP,
  MSG_ROSTER,
  MSG_WATCH,
  MSG_WATCH_UPDATE,
  MSG_FLEET_RECORD, /* this and the next only in the log and in snapshots */
  MSG_FLEET_STATE,
  MSG_SETUP,
  MSG_TYPES
} msgtype_t;

/* A list of N elements at V; the element type stands beside each field.  */
typedef struct
{
  void *v;
  size_t n;
} list_t;

#define LIST_AT(l, type, i) (&((type *)(l).v)[i])

/* ---- consensus ---- */

typedef struct
{
  int64_t term;
  int64_t from;
  int64_t last_index;
  int64_t last_term;
  bool pre; /* pre-vote: asks without raising the term */
} vote_req_t;

typedef struct
{
  int64_t term;
  int64_t from;
  bool pre;
  bool granted;
} vote_resp_t;

typedef struct
{
  int64_t term;
  int64_t index;
  int64_t kind;
  str_t data;
} log_entry_t;

typedef struct
{
  int64_t term;
  int64_t from;
  int64_t prev_index;
  int64_t prev_term;
  int64_t commit;
  int64_t seq;    /* round of heartbeats, echoed in the answer */
  list_t entries; /* log_entry_t */
} append_req_t;

typedef struct
{
  int64_t term;
  int64_t from;
  int64_t seq;
  bool ok;
  int64_t match; /* last index known to be the same, when ok */
  int64_t hint;  /* where to try next, when not ok */
} append_resp_t;

typedef struct
{
  int64_t term;
  int64_t from;
  int64_t last_index;
  int64_t last_term;
  int64_t offset; /* bytes */
  int64_t total;  /* bytes */
  str_t members;  /* encoded membership of the snapshot */
  str_t data;
  int64_t seq;
} snap_req_t;

typedef struct
{
  int64_t term;
  int64_t from;
  int64_t offset; /* bytes taken so far */
  bool done;
  int64_t seq;
  int64_t last_index; /* of the snapshot that this answers */
} snap_resp_t;

typedef struct
{
  int64_t id;
  bool voter; /* false: learner */
  str_t name; /* of the instance */
  str_t address;
  str_t zone; /* availability zone; may be empty */
} member_t;

typedef struct
{
  list_t list; /* member_t */
} members_t;

/* First message on a connection between control instances.  An instance with
   an empty data folder learns from the answers whether a log exists, and asks
   the leader with it to become a member.  */
typedef struct
{
  int64_t id;
  str_t name;
  str_t address;
  bool join; /* wants to become a learner */
  str_t zone;
  bool request_removal; /* is about to stop, and need not stay a member */
} hello_t;

typedef struct
{
  int64_t id;
  str_t name;
  bool has_log;
  str_t leader; /* host:port, empty when unknown */
  str_t zone;
  bool removed; /* the leader answers: who asked is no member any more */
} hello_resp_t;

/* ---- files of the replicated log ---- */

typedef struct
{
  int64_t id;
  int64_t term;
  int64_t vote;
} raft_state_t;

typedef struct
{
  list_t entries; /* log_entry_t */
} raft_record_t;

typedef struct
{
  int64_t index; /* of the last entry it covers */
  int64_t term;
  str_t members; /* members_t, packed */
  str_t data;
} raft_snap_t;

/* ---- probes of databases ---- */

typedef struct
{
  str_t name;     /* of the database */
  str_t address;  /* host:port */
  bool reachable; /* answered the last probe */
  int64_t ok_age; /* ms since the last answer; -1 for never */
  int64_t term;
  str_t role; /* primary, replica */
  int64_t position;
  int64_t confirmed;
  int64_t upstream_age; /* ms since a replica last heard its primary */
  str_t history;        /* term:start,term:start */
} probe_t;

typedef struct
{
  str_t from;    /* name of the control instance */
  list_t probes; /* probe_t */
} probe_report_t;

/* ---- entry instances ---- */

typedef struct
{
  str_t group;
  str_t name;
  str_t address;
  str_t zone;
  int64_t term;
  int64_t position;
  bool leaving;
  int64_t age; /* ms since the announcement */
} announce_t;

typedef struct
{
  str_t name;     /* of the database */
  int64_t open;   /* connections held now */
  int64_t demand; /* connections it could use now */
} db_usage_t;

typedef struct
{
  str_t name;
  str_t zone;
  int64_t boot; /* random, new at each start */
  int64_t seq;
  int64_t sent;     /* sender's clock in ms, echoed in the grant */
  int64_t cfg_term; /* configuration in force: raft term and index */
  int64_t cfg_index;
  bool stopping;
  list_t probes;     /* probe_t: what this instance saw of databases */
  list_t announces;  /* announce_t received since the last renewal */
  list_t usage;      /* db_usage_t */
  str_t address;     /* caller address of this instance */
  int64_t raft_term; /* highest in a grant received, 0 for none */
  bool brief; /* probes only of primaries and of databases that fail, no uses;
                 the grant may be brief too */
} renew_t;

typedef enum
{
  GRANT_OK = 0,
  GRANT_NOT_LEADER = 1, /* only the configuration and the leader's address */
  GRANT_NO_QUORUM = 2,  /* leader without recent quorum: no leases */
  GRANT_UNKNOWN = 3     /* the instance is not in the configuration */
} grant_status_t;

typedef struct
{
  str_t group;
  int64_t term;
  str_t primary;      /* database name */
  str_t address;      /* host:port */
  int64_t ttl;        /* ms from the sender's SENT; 0: no lease */
  int64_t sample;     /* a position that the primary had reached */
  int64_t sample_age; /* ms, at the time of the grant */
  str_t history;
} lease_t;

typedef enum
{
  DB_ACTIVE = 0,
  DB_LEAVING = 1, /* no new work */
  DB_STALE = 2,   /* known, but has to follow the present term first */
  DB_EXPIRED = 3  /* its announcement has run out */
} db_state_t;

typedef struct
{
  str_t group;
  str_t name;
  str_t address;
  str_t zone;
  int64_t state; /* db_state_t */
  int64_t term;
  int64_t position;
  int64_t lag; /* ms, estimate for routing only */
} db_info_t;

typedef struct
{
  str_t name;    /* of the database */
  int64_t limit; /* connections this instance may hold, floor included */
  int64_t ttl;   /* ms from SENT; then the floor alone */
} budget_t;

typedef struct
{
  int64_t seq;
  int64_t sent;
  int64_t status; /* grant_status_t */
  int64_t raft_term;
  str_t leader; /* host:port of the leader, empty when unknown */
  int64_t cfg_term;
  int64_t cfg_index;
  int64_t cfg_version;
  bool cfg_confirmed; /* committed as known by a leader with a quorum */
  str_t cfg;          /* canonical YAML; empty when the sender has it */
  list_t leases;      /* lease_t */
  list_t dbs;         /* db_info_t */
  list_t budgets;     /* budget_t */
  bool brief; /* no dbs, budgets and histories: nothing in them changed */
} grant_t;

/* ---- operators ---- */

typedef struct
{
  str_t id; /* submission id */
  str_t operator_name;
  int64_t base; /* version that the change is based on; 0 for the first */
  str_t text;   /* questionnaire */
} submit_t;

typedef enum
{
  SUBMIT_ACCEPTED = 0,
  SUBMIT_CONFLICT = 1, /* another change took the version */
  SUBMIT_INVALID = 2,
  SUBMIT_NOT_LEADER = 3,
  SUBMIT_UNKNOWN = 4 /* outcome unknown: resend with the same id */
} submit_status_t;

typedef struct
{
  int64_t status;
  int64_t version; /* accepted: the new one; conflict: the present one */
  int64_t raft_term;
  int64_t index;
  str_t by;     /* operator whose change holds that version */
  str_t leader; /* host:port */
  str_t detail;
  bool repeated; /* this is the first outcome of an earlier submission */
} submit_resp_t;

typedef struct
{
  str_t what; /* status, audit, explain, config */
  str_t arg;
  int64_t since; /* index, for audit */
  int64_t limit;
  bool json;
} query_t;

typedef struct
{
  bool ok;
  str_t text;
  str_t leader; /* host:port */
} query_resp_t;

/* ---- fleets whose backend servers register by heartbeat ---- */

/* How fresh the reads of a route are.  */
typedef enum
{
  FRESH_PRIMARY = 0, /* every commit acknowledged before the read */
  FRESH_BOUNDED = 1, /* those acknowledged more than MAX_AGE before it */
  FRESH_SESSION = 2  /* as FRESH_BOUNDED, and all of the same session */
} freshness_t;

typedef struct
{
  str_t host;    /* database name that clients ask for */
  str_t service; /* group that serves it */
  int64_t freshness;
  int64_t max_age;  /* ms */
  int64_t timeout;  /* ms, of one statement */
  int64_t target;   /* ms, of one operation */
  int64_t priority; /* 0 is the highest */
} route_entry_t;

typedef struct
{
  str_t name;
  int64_t connections; /* limit of each database, all callers together */
  int64_t sync_replicas;
} service_entry_t;

/* A configuration in typed form.  */
typedef struct
{
  int64_t version;
  int64_t tx_idle; /* ms that a transaction may stay idle */
  list_t routes;   /* route_entry_t */
  list_t services; /* service_entry_t */
} setup_t;

/* What is known of one backend server.  */
typedef struct
{
  str_t id;
  str_t service;
  str_t address; /* host:port */
  str_t zone;
  int64_t born; /* orders the starts under one id */
  int64_t seq;  /* orders the heartbeats of one start */
  int64_t age;  /* ms since the last heartbeat, at the sender */
  int64_t slots;
  bool primary; /* as it sees itself */
  bool leaving; /* no new work */
  bool gone;    /* signed off */
} backend_t;

/* Where an entry instance runs statements for others of its availability
   zone.  */
typedef struct
{
  str_t address;
  str_t zone;
} endpoint_t;

/* Heartbeats seen by a control instance, to the other ones.  */
typedef struct
{
  str_t from;
  list_t backends; /* backend_t */
  bool full;       /* all that it knows */
  int64_t entries; /* entry instances that watch the sender */
  bool has_endpoints;
  list_t endpoints; /* endpoint_t: of these */
} roster_t;

/* What an entry instance saw of the primary of a service.  */
typedef struct
{
  str_t service;
  str_t id;
  int64_t ok_age;   /* ms since an answer of it; -1: never */
  int64_t fail_age; /* ms since it first failed without an answer after; -1:
                       it works */
} reachability_t;

typedef struct
{
  str_t name;
  int64_t seq;         /* echoed in the news */
  int64_t version;     /* configuration in force; 0: none */
  int64_t roster;      /* number of the roster last received */
  int64_t boot;        /* ... and the start of the instance that numbered it */
  list_t reachability; /* reachability_t */
  str_t address;       /* of its endpoint; empty: it takes nothing */
  str_t zone;
} watch_t;

typedef struct
{
  int64_t seq;
  int64_t boot;
  bool has_leader;      /* the sender has a leader that a quorum follows */
  bool roster_complete; /* it has listened for longer than heartbeats last */
  int64_t version;
  str_t setup; /* MSG_SETUP, packed; empty when the receiver has it */
  int64_t roster;
  bool full;       /* BACKENDS is the roster */
  list_t backends; /* backend_t */
  list_t control;  /* member_t: control instances */
  int64_t entries; /* entry instances that share the databases */
  bool has_endpoints;
  list_t endpoints; /* endpoint_t: those of the receiver's zone */
} watch_update_t;

typedef enum
{
  FLEET_SETUP = 0,   /* VERSION, SETUP, DOCUMENT */
  FLEET_PROMOTE = 1, /* SERVICE, ID: intent; its index is the fencing token */
  FLEET_ROSTER = 2   /* BACKENDS: changes of the roster */
} fleet_kind_t;

typedef struct
{
  int64_t kind; /* fleet_kind_t */
  int64_t version;
  str_t setup;    /* MSG_SETUP, packed */
  str_t document; /* the operator's bytes, read back as they came */
  str_t service;
  str_t id;
  list_t backends; /* backend_t */
} fleet_record_t;

typedef struct
{
  int64_t version;
  str_t setup;
  str_t document;
  int64_t intents; /* promotions decided so far */
  list_t backends; /* backend_t */
} fleet_state_t;

/* ---- codec ---- */

/* rpc_encode: appends the frame of message TYPE at MSG to OUT.  */
void rpc_encode (buf_t *out, msgtype_t type, const void *msg);
/* rpc_frame: looks for a whole frame at the unread bytes of IN.  Returns 1
   with BODY (a view into IN; take it with buf_take (in, body.n + 4)), 0 when
   more bytes are needed, -1 with ERR_TOO_LARGE.  */
int rpc_frame (const buf_t *in, str_t *body, err_t *e);
/* rpc_decode: decodes BODY; the message and its strings live in POOL.
   Returns NULL with ERR_PROTOCOL or ERR_VERSION.  */
void *rpc_decode (apr_pool_t *pool, str_t body, msgtype_t *type, err_t *e);
const char *rpc_name (msgtype_t type);

/* rpc_pack: the same encoding without the length, for records on disk; read it
   back with rpc_decode.  */
void rpc_pack (buf_t *out, msgtype_t type, const void *msg);

/* ---- sockets ---- */

/* rpc_listen: non-blocking listening socket on "host:port" (IP number).
   Returns the descriptor or -1.  */
int rpc_listen (str_t address, err_t *e);
/* rpc_connect: starts a non-blocking connect, -1 on failure.  */
int rpc_connect (str_t address, err_t *e);
/* rpc_call: connects, sends one message, waits for one answer.  TIMEOUT in ms
   for all of it.  For command-line tools.  */
void *rpc_call (apr_pool_t *pool, str_t address, msgtype_t type,
                const void *msg, msec_t timeout, msgtype_t *answer, err_t *e);
/* rpc_read: reads what there is into B; returns bytes, 0 when none now, -1
   when the connection ended (ERR_CLOSED) or failed.  */
long rpc_read (int fd, buf_t *b, err_t *e);
/* rpc_write: writes unread bytes of B; -1 on failure, else bytes left.  */
long rpc_write (int fd, buf_t *b, err_t *e);

#endif
