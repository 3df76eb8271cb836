/* rpc - messages between the processes of the system: framing over TCP and a
   msgpack codec driven by tables of fields.

   A frame is a 4-byte big-endian length of what follows, at most
   RPC_MAX_FRAME, and one msgpack array: message type, protocol version, then
   the fields of the message in the order of its table in codec.c.  Fields may
   be appended: a decoder reads missing fields as zero and ignores surplus
   ones.  Ages and times are in ms unless noted.
 */

#ifndef RPC_H
#define RPC_H

#include "base.h"

enum
{
  RPC_MAX_FRAME = 8 << 20, /* bytes; a configuration of thousands of routes
                              travels in one */
  RPC_MAX_LIST
  = 16384, /* records; bounds the memory that decoding a frame allocates */
  RPC_VERSION = 1,
  RPC_SNAP_CHUNK = 256 << 10, /* bytes of a snapshot in one message */
  API_KEY_MAX = 16 << 10      /* bytes of a tenant's key */
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
  MSG_RAFT_STATE, /* this and the next two: files only */
  MSG_RAFT_RECORD,
  MSG_RAFT_SNAP,
  MSG_ROSTER,
  MSG_WATCH,
  MSG_WATCH_UPDATE,
  MSG_FLEET_RECORD, /* this and the next: log and snapshots only */
  MSG_FLEET_STATE,
  MSG_SETUP,
  MSG_QUOTA_ASK,
  MSG_QUOTA_GRANT,
  MSG_TYPES
} msgtype_t;

/* A list of N elements at V; each field notes the element type.  */
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
  bool pre; /* pre-vote: does not raise the term */
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
  int64_t seq;    /* heartbeat round, echoed in the response */
  list_t entries; /* log_entry_t */
} append_req_t;

typedef struct
{
  int64_t term;
  int64_t from;
  int64_t seq;
  bool ok;
  int64_t match; /* if OK: last index known to match the leader's log */
  int64_t hint;  /* if not OK: index to try next */
} append_resp_t;

typedef struct
{
  int64_t term;
  int64_t from;
  int64_t last_index;
  int64_t last_term;
  int64_t offset; /* bytes */
  int64_t total;  /* bytes */
  str_t members;  /* members_t of the snapshot, packed */
  str_t data;
  int64_t seq;
} snap_req_t;

typedef struct
{
  int64_t term;
  int64_t from;
  int64_t offset; /* bytes received so far */
  bool done;
  int64_t seq;
  int64_t last_index; /* of the snapshot being transferred */
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
   an empty data directory learns from the responses whether a log exists; if
   one does, it asks the leader to add it as a member.  */
typedef struct
{
  int64_t id;
  str_t name;
  str_t address;
  bool join; /* asks to be added as a learner */
  str_t zone;
  bool request_removal; /* is stopping; may be removed from the membership */
} hello_t;

typedef struct
{
  int64_t id;
  str_t name;
  bool has_log;
  str_t leader; /* host:port, empty when unknown */
  str_t zone;
  bool removed; /* set by the leader: the requester is not a member */
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
  int64_t ok_age; /* ms since the last answer; -1: never */
  int64_t term;
  str_t role; /* primary, replica */
  int64_t position;
  int64_t confirmed;
  int64_t upstream_age; /* ms since a replica last received from its primary */
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
  bool leaving; /* gets no new requests */
  int64_t age;  /* ms since the announcement */
} announce_t;

typedef struct
{
  str_t name;     /* of the database */
  int64_t open;   /* connections open now */
  int64_t demand; /* connections that the present requests could use */
} db_usage_t;

typedef struct
{
  str_t name;
  str_t zone;
  int64_t boot; /* random, new at each start of the process */
  int64_t seq;
  int64_t sent;     /* sender's clock in ms, echoed in the grant */
  int64_t cfg_term; /* active configuration: raft term and index */
  int64_t cfg_index;
  bool stopping;
  list_t probes;     /* probe_t: this instance's own probe results */
  list_t announces;  /* announce_t received since the last renewal */
  list_t usage;      /* db_usage_t */
  str_t address;     /* listen address of this instance */
  int64_t raft_term; /* highest term of a received grant; 0: none */
  bool brief; /* PROBES has only primaries and failing databases, USAGE is
                 empty; the grant may be brief too */
} renew_t;

typedef enum
{
  GRANT_OK = 0,
  GRANT_NOT_LEADER = 1, /* only the configuration and the leader's address */
  GRANT_NO_QUORUM = 2,  /* leader without a recent quorum: no leases */
  GRANT_UNKNOWN = 3     /* the instance is not in the configuration */
} grant_status_t;

typedef struct
{
  str_t group;
  int64_t term;
  str_t primary;      /* database name */
  str_t address;      /* host:port */
  int64_t ttl;        /* ms from SENT of the renewal; 0: no lease */
  int64_t sample;     /* a position that the primary has reached; -1: none */
  int64_t sample_age; /* ms between sample and grant; -1: no sample */
  str_t history;
} lease_t;

typedef enum
{
  DB_ACTIVE = 0,
  DB_LEAVING = 1, /* gets no new requests */
  DB_STALE = 2,   /* must follow the primary of the current term first */
  DB_EXPIRED = 3  /* its announcement has expired */
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
  int64_t lag; /* ms, an estimate; for routing only */
} db_info_t;

typedef struct
{
  str_t name;    /* of the database */
  int64_t limit; /* connections this instance may open, its floor included */
  int64_t ttl;   /* ms from SENT of the renewal; then the floor applies */
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
  bool cfg_confirmed; /* committed, according to a leader with a quorum */
  str_t cfg;          /* canonical YAML; empty if the receiver has it */
  list_t leases;      /* lease_t */
  list_t dbs;         /* db_info_t */
  list_t budgets;     /* budget_t */
  bool brief; /* unchanged parts are left out: DBS, BUDGETS, and history and
                 address of each lease */
} grant_t;

/* ---- operators ---- */

typedef struct
{
  str_t id; /* of the submission */
  str_t operator_name;
  int64_t base; /* version that the change is based on; 0: none yet */
  str_t text;   /* questionnaire */
} submit_t;

typedef enum
{
  SUBMIT_ACCEPTED = 0,
  SUBMIT_CONFLICT = 1, /* another change was based on that version */
  SUBMIT_INVALID = 2,
  SUBMIT_NOT_LEADER = 3,
  SUBMIT_UNKNOWN = 4 /* outcome unknown: resend with the same ID */
} submit_status_t;

typedef struct
{
  int64_t status;
  int64_t version; /* accepted: the new one; conflict: the current one */
  int64_t raft_term;
  int64_t index;
  str_t by;     /* operator who submitted that version */
  str_t leader; /* host:port */
  str_t detail;
  bool repeated; /* a resent submission; this is its first outcome */
} submit_resp_t;

typedef struct
{
  str_t what; /* status, audit, explain, config */
  str_t arg;
  int64_t since; /* audit: first index */
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

/* Which commits the reads of a route see.  */
typedef enum
{
  FRESH_PRIMARY = 0, /* all that were acknowledged before the read */
  FRESH_BOUNDED = 1, /* those acknowledged more than MAX_AGE before the read */
  FRESH_SESSION = 2  /* as FRESH_BOUNDED, and all of the same session */
} freshness_t;

typedef struct
{
  str_t host;    /* database name in the startup message of clients */
  str_t service; /* group of databases that serves it */
  int64_t freshness;
  int64_t max_age;  /* ms */
  int64_t timeout;  /* ms, of one statement */
  int64_t target;   /* ms, target latency of one operation */
  int64_t priority; /* 0 is the highest */
  bool anonymous;   /* the caller isn't identified and belongs to no tenant */
} route_entry_t;

typedef struct
{
  str_t name;
  int64_t connections; /* limit of each database, over all its clients */
  int64_t sync_replicas;
} service_entry_t;

/* A caller of the fleet, with its quota over all instances.  */
typedef struct
{
  str_t name;
  int64_t priority; /* 0 is the highest */
  int64_t rate;     /* operations a second; 0: no quota */
  int64_t burst;    /* operations beyond that at once */
} tenant_entry_t;

/* A key is a secret: it occurs in no log, metric or error text, and is sent
   neither to a database nor with a forwarded session.  */
typedef struct
{
  str_t key;
  int64_t tenant; /* index of its tenant in setup_t.tenants */
} api_key_t;

/* The configuration of a fleet in typed form.  */
typedef struct
{
  int64_t version;
  int64_t tx_idle; /* ms that a transaction may be idle */
  list_t routes;   /* route_entry_t */
  list_t services; /* service_entry_t */
  bool tenanted;   /* callers of routes that aren't anonymous need a key */
  list_t tenants;  /* tenant_entry_t */
  list_t keys;     /* api_key_t */
} setup_t;

/* State of one backend server, from its last heartbeat.  */
typedef struct
{
  str_t id;
  str_t service;
  str_t address; /* host:port */
  str_t zone;
  int64_t born; /* orders the starts of a server with the same id */
  int64_t seq;  /* orders the heartbeats of one start */
  int64_t age;  /* ms since the last heartbeat, at the sender */
  int64_t slots;
  bool primary; /* the role that it reports */
  bool leaving; /* draining: gets no new requests */
  bool gone;    /* deregistered, or its heartbeats stopped */
} backend_t;

/* Address at which an entry instance runs statements forwarded by others of
   its availability zone.  */
typedef struct
{
  str_t address;
  str_t zone;
  bool gone; /* removed, in a list of changes */
} endpoint_t;

/* What a control instance knows of backend servers and entry instances, sent
   to the other control instances.  */
typedef struct
{
  str_t from;
  list_t backends; /* backend_t */
  bool full;       /* BACKENDS is the whole roster, not only changes */
  int64_t entries; /* entry instances that watch the sender */
  bool has_endpoints;
  list_t endpoints; /* endpoint_t: of these entry instances */
} roster_t;

/* Reachability of the primary of a service, as an entry instance sees it.  */
typedef struct
{
  str_t service;
  str_t id;
  int64_t ok_age;   /* ms since its last answer; -1: never */
  int64_t fail_age; /* ms since the first failure after its last answer; -1:
                       no failure */
} reachability_t;

/* Report of an entry instance to the control instance that it watches.  */
typedef struct
{
  str_t name;
  int64_t seq;         /* echoed in the update; 0: passed on, not answered */
  int64_t version;     /* active configuration; 0: none */
  int64_t roster;      /* number of the roster last received */
  int64_t boot;        /* of the control instance that numbered it */
  list_t reachability; /* reachability_t */
  str_t address;       /* endpoint for forwarded statements; may be empty */
  str_t zone;
  bool takes_changes; /* the sender merges changes of endpoints; an instance of
                         an older build needs the whole list each time */
  int64_t updates;    /* received on this connection when this was sent */
} watch_t;

/* Reply to a watch_t; also sent unasked after a change.  */
typedef struct
{
  int64_t seq;          /* of the last report answered */
  int64_t boot;         /* random, new at each start of the sender */
  bool has_leader;      /* the sender has a leader that a quorum follows */
  bool roster_complete; /* the sender runs for longer than a heartbeat period:
                           its roster has every live server */
  int64_t version;
  str_t setup;     /* MSG_SETUP, packed; empty if the receiver has it */
  int64_t roster;  /* number of the sender's roster */
  bool full;       /* BACKENDS is the whole roster, not only changes */
  list_t backends; /* backend_t */
  list_t control;  /* member_t: control instances; empty: unchanged */
  int64_t entries; /* entry instances that share the databases */
  bool has_endpoints;
  list_t endpoints;      /* endpoint_t: those of the receiver's zone */
  bool endpoint_changes; /* ENDPOINTS are changes, not the whole list */
  int64_t retry_after;   /* ms: the sender is busy and left out the roster and
                            the configuration; ask again then; 0: complete */
} watch_update_t;

typedef enum
{
  FLEET_SETUP = 0,   /* VERSION, SETUP, DOCUMENT */
  FLEET_PROMOTE = 1, /* SERVICE, ID: intent; log index: fencing token */
  FLEET_ROSTER = 2   /* BACKENDS: changes of the roster */
} fleet_kind_t;

typedef struct
{
  int64_t kind; /* fleet_kind_t */
  int64_t version;
  str_t setup;    /* MSG_SETUP, packed */
  str_t document; /* the operator's document, byte for byte */
  str_t service;
  str_t id;
  list_t backends; /* backend_t */
} fleet_record_t;

typedef struct
{
  int64_t version;
  str_t setup;
  str_t document;
  int64_t intents; /* number of promotions decided so far */
  list_t backends; /* backend_t */
} fleet_state_t;

/* ---- quotas, between the entry instances of a zone ---- */

/* Of a holder to the accountant of TENANT.  Asks on one connection are
   answered in their order.  */
typedef struct
{
  int64_t seq;
  str_t tenant;
  int64_t version; /* configuration that RATE and BURST are from */
  int64_t rate;    /* operations a second over all instances */
  int64_t burst;
  int64_t need;     /* operations that wait; 0: only a return, not answered */
  int64_t more;     /* tokens of use beyond that */
  int64_t returned; /* tokens of earlier grants that weren't used */
} quota_ask_t;

typedef struct
{
  int64_t seq; /* of the ask */
  int64_t tokens;
  int64_t retry; /* ms until there is a further token; 0: there were enough */
  bool stopping; /* the next accountant in rank counts from now on */
} quota_grant_t;

/* ---- checks of records that others write ---- */

#define BORN_MAX                                                              \
  INT64_C (9999999999999)           /* ms since 1970, of the year 2286        \
                                     */
#define SEQ_MAX (INT64_C (1) << 53) /* exact in every JSON reader */

enum
{
  NAME_MAX_BYTES = 255, /* of the id, service or zone of a backend server, and
                           of the name or zone of an instance */
  NAME_SIZE = NAME_MAX_BYTES + 1
};

/* backend_check: whether B can be used: names, address with a port, and
   numbers within their bounds.  ERR_RANGE with the field.  Wherever a record
   comes from (heartbeat, log, snapshot, another instance), one that fails is
   left out and the others are used.  */
bool backend_check (const backend_t *b, err_t *e);
/* name_check: whether S, the value of FIELD, is a name: 1 to NAME_MAX_BYTES
   printable characters without blanks.  address_check: whether it is
   IP-NUMBER:PORT.  ERR_RANGE otherwise.  */
bool name_check (str_t s, const char *field, err_t *e);
bool address_check (str_t s, const char *field, err_t *e);
/* setup_bound: limits the numbers of a valid configuration to what the program
   can represent; returns how many it changed.  */
int setup_bound (setup_t *s);

/* ---- codec ---- */

/* rpc_encode: appends message MSG of TYPE to OUT as a frame.  */
void rpc_encode (buf_t *out, msgtype_t type, const void *msg);
/* rpc_frame: looks for a complete frame in the unread bytes of IN.  Returns 1
   with BODY, a view into IN (consume it with buf_take (in, body.n + 4)); 0
   when more bytes are needed; -1 with ERR_TOO_LARGE.  */
int rpc_frame (const buf_t *in, str_t *body, err_t *e);
/* rpc_decode: decodes BODY; the message and its strings are allocated in POOL.
   Returns NULL with ERR_PROTOCOL, ERR_VERSION or ERR_TOO_LARGE.  */
void *rpc_decode (apr_pool_t *pool, str_t body, msgtype_t *type, err_t *e);
/* rpc_name: name of a message type, for logs.  */
const char *rpc_name (msgtype_t type);

/* rpc_pack: like rpc_encode without the length, for records on disk; decode
   it with rpc_decode.  */
void rpc_pack (buf_t *out, msgtype_t type, const void *msg);

/* ---- sockets ---- */

/* rpc_listen: opens a non-blocking listening socket on ADDRESS, "IPV4:PORT".
   Returns the descriptor or -1.  */
int rpc_listen (str_t address, err_t *e);
/* rpc_connect: starts a non-blocking connect.  Returns the descriptor or -1.
 */
int rpc_connect (str_t address, err_t *e);
/* rpc_call: connects, sends one message and waits for one answer, all within
   TIMEOUT ms.  Blocks; for command-line tools.  */
void *rpc_call (apr_pool_t *pool, str_t address, msgtype_t type,
                const void *msg, msec_t timeout, msgtype_t *answer, err_t *e);
/* rpc_read: reads once into B.  Returns the number of bytes, 0 when none are
   available, -1 when the peer closed the connection (ERR_CLOSED) or it
   failed.  */
long rpc_read (int fd, buf_t *b, err_t *e);
/* rpc_write: sends unread bytes of B.  Returns the number of bytes left, -1 on
   failure.  */
long rpc_write (int fd, buf_t *b, err_t *e);

#endif
