/* Internals of a control instance.  */

#ifndef CELL_LOCAL_H
#define CELL_LOCAL_H

#include "cell.h"

#include <apr_hash.h>

enum
{
  TICK_INTERVAL = 10,     /* ms between ticks of the replicated log */
  PEERS_MAX = 32,         /* control instances */
  REDIAL_INTERVAL = 100,  /* ms between attempts to connect to one */
  DIAL_TIMEOUT = 200,     /* ms to connect to one; the longest round trip
                             between regions takes 40 */
  PEER_TIMEOUT = 1000,    /* ms until an unanswered request closes the
                             connection */
  PEER_OUT_MAX = 4 << 20, /* bytes queued for one instance */
  CHECK_INTERVAL = 500,   /* ms between checks of a connection, at least */
  HELLO_INTERVAL = 200,   /* ms between hello requests to the others */
  HELLO_MAX_AGE = 1500,   /* ms that a response is valid */
  ROSTER_INTERVAL = 3000, /* ms between whole rosters to the others */
  READ_TIMEOUT = 900,     /* ms that a read may wait for its quorum */
  SUBMIT_TIMEOUT = 2500,  /* ms that a submission may wait for its quorum */
  RECORD_INTERVAL = 300,  /* ms between records of the roster */
  PEER_REPORT_MAX_AGE = 8000, /* ms that another control instance's report of
                                 entry instances is valid */
  ENDPOINT_MAX_AGE = 1500,    /* ms that an endpoint's own report is valid */
  ENDPOINT_RETENTION = 10000, /* ms that the removal of one is kept */
  ENDPOINTS_INTERVAL = 30,    /* ms between changes of endpoints to one entry
                                 instance */
  ENDPOINT_EXPIRE_INTERVAL = 50, /* ms between searches for expired ones */
  DIRECT_INTERVAL = 200,         /* ms between lists of the direct endpoints to
                                    another control instance */
  ENTRY_REPORT_GAP = 900,        /* ms between reports of an entry instance, at
                                    most */
  WARMUP_TIME = 5000,     /* ms after the start until every running database
                             has sent a heartbeat */
  REPLACED_SLACK = 1000,  /* ms that a replacement may join before the silence
                             of the member that it replaces begins */
  MEMBER_TIMEOUT = 2500,  /* ms of silence until a member is removed that was
                             replaced or is not needed for the fault
                             tolerance */
  LEAVE_INTERVAL = 50,    /* ms between requests to be removed from the
                             membership */
  LEAVE_TIMEOUT = 1500,   /* ms that a stop waits for it, at most */
  NO_LEADER_LIMIT = 1000, /* ms without a leader until a member sends join
                             requests, since it may have been removed */
  PENDING_MAX = 64,       /* submissions and reads at a time */
  RECORD_OVERHEAD = 1024, /* bytes of a record beside its contents */
  SERVICES_MAX = 4096,
  PROBES_PER_SECOND = 400, /* of primaries, by the leader; with more of them
                              each is probed less often */
  ROSTER_RECORD_TIME = 5,  /* ms of ROSTER_INTERVAL for each backend server */
  FULL_PER_TICK = 4 /* entry instances that get a whole roster in one tick of
                       the log: encoding more would delay elections */
};

typedef struct remote remote_t;

/* A connection to or from another process.  */
struct remote
{
  remote_t *next;
  struct cell *cell;
  stream_t *stream;
  char address[NAME_SIZE]; /* remote address, when this side connected */
  msec_t dialled_at;
  msec_t request_at;   /* oldest request without a response, -1: none */
  int64_t roster_sent; /* revision of the roster sent over this connection,
                          -1: none */
  bool unconfirmed;    /* a roster was sent after the last check */
  msec_t checked_at;   /* last check of the connection */
  bool accepted;
  /* Of an entry instance: its last report, and what was sent since.  */
  bool is_entry;
  int64_t seq;
  int64_t version;
  int64_t roster_known; /* revision of the roster that it has, -1: none */
  int64_t updates;      /* sent over this connection */
  int64_t members_sent; /* number of the membership sent last */
  bool leader_sent;     /* whether a leader was known, as sent last */
  char endpoint[NAME_SIZE];
  char zone[NAME_SIZE];
  bool takes_changes;     /* it merges changes of endpoints into its list */
  int64_t endpoints_sent; /* revision of the endpoints sent to this entry
                             instance, or of the direct ones sent to this
                             control instance; -1: none */
  msec_t endpoints_at;    /* changes of endpoints looked for last */
  msec_t direct_sent_at;  /* direct endpoints sent last */
};

typedef struct cell_endpoint
{
  struct cell_endpoint *next; /* changed before this one */
  struct cell_endpoint *prev;
  char address[NAME_SIZE];
  char zone[NAME_SIZE];
  char reporter[NAME_SIZE]; /* control instance that reported it, unless DIRECT
                             */
  bool direct;              /* the entry instance reports to this one */
  bool gone;                /* no longer reported; kept to pass this on */
  msec_t reported_at;
  int64_t changed; /* revision of the endpoints at the last change */
} cell_endpoint_t;

/* The endpoints by address, and in the order of their last change, so that the
   changes since a revision are found without a search.  */
typedef struct
{
  apr_hash_t *by_address;
  cell_endpoint_t *newest;
  cell_endpoint_t *oldest;
  size_t n;
  int64_t revision;        /* grows with each change, from 1 */
  int64_t direct_revision; /* grows with each change of the direct ones */
  int64_t forgotten;       /* revision up to which removals are deleted */
  msec_t expired_at;
} endpoint_table_t;

typedef struct
{
  char name[NAME_SIZE];
  char address[NAME_SIZE];
  char zone[NAME_SIZE];
  int64_t id;
  bool has_log;
  msec_t answered_at;
} contact_t;

typedef struct
{
  contact_t contact[PEERS_MAX]; /* instances to ask for the membership */
  size_t ncontact;
  msec_t asked_at; /* last hello requests */
} join_t;

/* A list of the records that changed, with views into the roster.  */
typedef struct
{
  backend_t *v;
  size_t n;
  msec_t at;
  int64_t known;
  int64_t revision;
} changes_t;

typedef struct
{
  int64_t ticket; /* 0: free */
  bool read;
  msec_t since;
  int64_t index; /* of the record; of a read: committed at its start */
  int64_t term;
} pending_t;

/* What a database is asked, apart from probes of a primary.  */
typedef enum
{
  ASK_NOTHING,
  ASK_STATUS,
  ASK_PAUSE,
  ASK_RESUME
} ask_t;

/* A connection of the leader to a database, for probes and takeovers.  */
typedef struct probe
{
  struct probe *next;
  struct cell *cell;
  char id[NAME_SIZE];
  char service[NAME_SIZE];
  char address[NAME_SIZE];
  takeover_t *takeover; /* of the service; NULL beyond SERVICES_MAX */
  stream_t *stream;
  bool ready;
  int64_t incarnation;
  bool is_primary; /* probed periodically */
  ask_t ask;       /* repeated until it is answered */
  int64_t pause_term;
  msec_t dialled_at;
  msec_t request_at; /* request in progress, -1: none */
  msec_t next_at;
  uint8_t expected[8]; /* responses expected, oldest first */
  int nexpected;
  fail_t fail;
  bool row;
  db_status_t status;
} dbprobe_t;

struct cell
{
  apr_pool_t *pool;
  loop_t *loop;
  cell_conf_t conf;
  msec_t now;
  msec_t started;
  msec_t ticked_at;
  msec_t rosters_sent_at; /* whole rosters were due last */
  int64_t entries; /* entry instances of the fleet, as of the last tick */
  int full_quota;  /* whole rosters that may still be sent in this tick */
  int listener;
  raft_t *raft;
  store_t *store;
  rng_t rng;
  err_t err;
  bool failed;
  remote_t *remotes;
  remote_t *sender; /* connection of the message being received */
  join_t join;
  msec_t leader_seen_at; /* a leader was known last */
  msec_t stopping_since; /* 0: not stopping */
  bool leaving;          /* stopping, and asks to be removed */
  msec_t answered_at;    /* last answer to a submission or a read */
  bool removed;          /* this instance is no longer a member */
  /* At the leader: when each member joined and answered last.  */
  int64_t member_id[PEERS_MAX];
  msec_t member_since[PEERS_MAX];
  msec_t member_answered_at[PEERS_MAX];
  size_t nmember;
  /* Entry instances connected to the other control instances.  */
  struct
  {
    char name[NAME_SIZE];
    int64_t entries;
    msec_t at;
  } peer_entries[PEERS_MAX];
  size_t npeer_entries;
  endpoint_table_t endpoints;
  /* Replicated state.  */
  int64_t version;
  buf_t setup;
  apr_pool_t *decoded_pool;
  const setup_t *decoded_setup; /* SETUP, decoded */
  buf_t document;
  int64_t intents;
  pending_t pending[PENDING_MAX];
  /* Local state.  */
  int64_t boot; /* random, new at each start */
  roster_table_t roster;
  changes_t changes;         /* listed last */
  int64_t recorded_revision; /* of the roster in the log, -1: not written by
                                this instance */
  msec_t recorded_at;
  raft_observed_t observed; /* by raft_observe, which logs changes */
  takeover_t *takeover[SERVICES_MAX];
  size_t ntakeover;
  apr_hash_t *takeover_by_service;
  int64_t takeovers_version; /* of the configuration that they follow */
  dbprobe_t *probes;
  apr_hash_t *probe_by_id;
  int nprimary;            /* primaries probed in the last tick */
  int64_t probed_revision; /* of the roster that PROBES follow, -1: none */
  counter_t *sent_bytes;
  counter_t *sent_updates;
  counter_t *deferred;
  counter_t *refused;
};

/* peers.c */
bool peers_listen (cell_t *c, err_t *e);
/* peers_connect: the connection to ADDRESS, opened if need be; NULL when there
   is none or more than PEER_OUT_MAX is queued.  */
remote_t *peers_connect (cell_t *c, str_t address);
/* peers_send: REQUEST means that a response is due within PEER_TIMEOUT.  */
void peers_send (cell_t *c, str_t address, msgtype_t type, const void *msg,
                 bool request);
/* peers_check: sends R a request, at most every CHECK_INTERVAL, after messages
   that get no answer of their own.  An open connection may deliver nothing
   more; without the answer it is closed, and what was sent is sent again.  */
void peers_check (cell_t *c, remote_t *r);
void peers_reply (cell_t *c, remote_t *to, msgtype_t type, const void *msg);
/* peers_expire: closes connections that did not open or answer in time.  */
void peers_expire (cell_t *c);
/* message.c */
void cell_message (cell_t *c, remote_t *from, msgtype_t type, void *msg);
/* join.c */
void join_tick (cell_t *c);
/* join_handle_response: records the response to a hello request.  */
void join_handle_response (cell_t *c, const hello_resp_t *m);
/* join_handle_hello: answers a hello request; the leader adds the sender of a
   join request to the membership.  */
void join_handle_hello (cell_t *c, const hello_t *m, hello_resp_t *out);
/* join_remove_unneeded: at the leader, removes one silent member that was
   replaced or that the fault tolerance does not need.  */
void join_remove_unneeded (cell_t *c);
/* join_has_surplus: there are more voters than the fault tolerance needs.  */
bool join_has_surplus (const cell_t *c);
/* leave.c */
/* leave_tick: ends the loop of a stopping instance once it was removed from
   the membership, if it is not needed, or LEAVE_TIMEOUT has passed, and what
   it accepted is answered.  */
void leave_tick (cell_t *c);
/* leave_request: at the leader, removes the instance that sent M; OUT says
   whether that is committed.  */
void leave_request (cell_t *c, const hello_t *m, hello_resp_t *out);
/* state.c */
extern const raft_ops_t cell_raft_ops;
/* cell_check: passes on OK, the result of a call of the log; stops the
   instance when the store failed.  */
bool cell_check (cell_t *c, bool ok);
bool cell_propose (cell_t *c, const fleet_record_t *r, int64_t *index);
void roster_record (cell_t *c);
/* roster_refused: logs and counts a record from SOURCE that is left out.  */
void roster_refused (cell_t *c, const backend_t *b, const char *source,
                     const err_t *e);
/* roster_merge: enters the records V, which SOURCE lists.  */
void roster_merge (cell_t *c, const list_t *v, const char *source);
void pending_check (cell_t *c);
/* pending_any: a submission or a read awaits its answer.  */
bool pending_any (const cell_t *c);
/* update.c: rosters to control instances, updates to entry instances */
/* update_entry_count: entry instances connected to any control instance.  */
int64_t update_entry_count (cell_t *c);
void update_peer_entries (cell_t *c, const roster_t *m);
/* update_send: answers a report of R; without the roster when R needs the
   whole of it and this tick has sent FULL_PER_TICK.  */
void update_send (cell_t *c, remote_t *r);
/* update_broadcast: sends every process what changed since its last update. */
void update_broadcast (cell_t *c);
/* roster_broadcast: sends each control instance the backend servers that
   changed since its last roster, and all direct endpoints if any changed.  */
void roster_broadcast (cell_t *c);
/* roster_reset_sent: the next roster_broadcast sends everything.  */
void roster_reset_sent (cell_t *c);
/* endpoint.c */
/* endpoint_report: enters the endpoint that R, an entry instance, reports.  */
void endpoint_report (cell_t *c, remote_t *r, const watch_t *m);
/* endpoint_merge: enters those that another control instance reports.  */
void endpoint_merge (cell_t *c, const roster_t *m);
void endpoint_expire (cell_t *c);
/* endpoint_list_direct, endpoint_list_zone, endpoint_list_changes: views to
   OUT, which has room for all; return how many.  The last one lists what
   changed in ZONE after REVISION, with GONE set for what was removed.  */
size_t endpoint_list_direct (const cell_t *c, endpoint_t *out);
size_t endpoint_list_zone (const cell_t *c, const char *zone, endpoint_t *out);
/* endpoint_changed: whether that list is not empty.  */
bool endpoint_changed (const cell_t *c, const char *zone, int64_t revision);
size_t endpoint_list_changes (const cell_t *c, const char *zone,
                              int64_t revision, endpoint_t *out);
/* probe.c */
void probes_tick (cell_t *c);
void probes_stop (cell_t *c);
/* probe_now: probes database ID, the primary of its service, at once.  */
void probe_now (cell_t *c, str_t id);
/* probe_ask: asks all databases of SERVICE but the primary; TERM is that of
   ASK_PAUSE.  */
void probe_ask (cell_t *c, const char *service, ask_t ask, int64_t term);
/* takeovers.c */
void takeovers_tick (cell_t *c);
takeover_t *takeover_of (cell_t *c, str_t service);

#endif
