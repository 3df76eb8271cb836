/* Internals of a control instance.  */

#ifndef CELL_LOCAL_H
#define CELL_LOCAL_H

#include "cell.h"

enum
{
  TICK = 10,              /* ms between ticks of the replicated log */
  PEERS = 32,             /* connections dialled to control instances */
  REDIAL = 100,           /* ms between attempts to reach one */
  DIAL_TIME = 500,        /* ms to reach one */
  PEER_SILENT = 1000,     /* ms that one may owe an answer */
  PEER_OUT_MAX = 4 << 20, /* bytes that wait for one */
  HELLO_EVERY = 200,      /* ms between questions to the other instances */
  HELLO_AGE = 1500,       /* ms that an answer counts */
  GOSSIP_EVERY = 3000,    /* ms between whole rosters to the others */
  READ_TIME = 900,        /* ms that a read may wait for its quorum */
  SUBMIT_TIME = 2500,     /* ms that an order may wait for its quorum */
  RECORD_EVERY = 300,     /* ms between records of the roster */
  WATCHED_AGE = 8000,  /* ms that another's count of entry instances holds */
  ENDPOINT_AGE = 1500, /* ms without a report until an endpoint is dropped */
  WATCH_GAP = 900,     /* ms between reports of an entry instance, at most */
  WARM = 5000,         /* ms after the start until all heartbeats were heard */
  REPLACED_SLACK = 1000, /* ms that a successor may join before the silence of
                            its predecessor is noticed */
  REPLACED = 2500,       /* ms of silence of a member that another replaced, or
                            that is more than the losses need */
  LEAVE_EVERY = 50,      /* ms between requests to leave the membership */
  LEAVE_TIME = 1500,     /* ms that a stop waits for it, at most */
  UNLED = 1000,          /* ms without a leader until a member asks whether it
                            still is one */
  PENDING = 64,          /* orders and reads at a time */
  SERVICES = 256
};

typedef struct remote remote_t;

/* A connection to or from another process.  */
struct remote
{
  remote_t *next;
  struct cell *cell;
  stream_t *stream;
  char address[64]; /* of one that this side dialled */
  msec_t dialled;
  msec_t asked; /* oldest question without an answer, -1 */
  int64_t told; /* number of the roster sent over this connection, -1: none */
  bool accepted;
  /* Of an entry instance.  */
  bool watcher;
  int64_t seq;
  int64_t version;
  int64_t roster;
  int64_t members; /* number of the membership told last */
  bool led;        /* as told last */
  char endpoint[64];
  char zone[64];
  int64_t endpoints_number; /* looked at last */
  uint64_t endpoints_sum;   /* of those told last */
  int64_t told_endpoints;   /* own ones told to this control instance */
};

typedef struct
{
  char address[64];
  char zone[64];
  char from[64]; /* control instance that told, unless OWN */
  bool own;
  msec_t heard;
} cell_endpoint_t;

typedef struct
{
  char name[64];
  char address[64];
  char zone[64];
  int64_t id;
  bool has_log;
  msec_t at;
} other_t;

typedef struct
{
  other_t other[PEERS];
  size_t n;
  msec_t asked;
} join_t;

typedef struct
{
  int64_t ticket; /* 0: free */
  bool read;
  msec_t since;
  int64_t index; /* of the record */
  int64_t term;
} pending_t;

/* A connection of the leader to a database, for probes and positions.  */
typedef struct probe
{
  struct probe *next;
  struct cell *cell;
  char id[FLEET_NAME];
  char service[FLEET_NAME];
  char address[FLEET_NAME];
  stream_t *stream;
  bool up;
  int64_t born;
  bool lead;   /* the primary: probed all the time */
  bool survey; /* its position is wanted */
  msec_t dialled;
  msec_t asked; /* question under way, -1 */
  msec_t next_at;
  uint8_t want[8]; /* answers expected, oldest first */
  int nwant;
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
  msec_t ticked;
  msec_t gossiped;
  msec_t swept;
  int listener;
  raft_t *raft;
  store_t *store;
  rng_t rng;
  err_t err;
  bool failed;
  remote_t *remotes;
  remote_t *reply; /* connection of the message being received */
  join_t join;
  msec_t led_at;   /* when a leader was known last */
  msec_t stopping; /* since; 0: not */
  bool left;       /* the leader says that this one is no member */
  /* What a joining or leaving of members was decided by.  */
  int64_t voter[PEERS];
  msec_t voter_since[PEERS];
  msec_t heard[PEERS];
  size_t nvoter;
  /* Entry instances that watch the other control instances.  */
  struct
  {
    char name[64];
    int64_t entries;
    msec_t at;
  } watched[PEERS];
  size_t nwatched;
  cell_endpoint_t *endpoint;
  size_t nendpoint;
  size_t endpoint_cap;
  int64_t endpoints_number; /* of changes, from 1 */
  int64_t own_endpoints_number;
  /* The replicated state.  */
  int64_t version;
  buf_t setup;
  apr_pool_t *plan_pool;
  const setup_t *plan; /* SETUP, decoded */
  buf_t document;
  int64_t intents;
  pending_t pending[PENDING];
  /* The rest.  */
  int64_t boot;
  roster_table_t roster;
  int64_t recorded; /* number of the roster in the log, -1: not by this one */
  msec_t recorded_at;
  raft_observed_t seen;
  takeover_t take[SERVICES];
  size_t ntake;
  dbprobe_t *probes;
  counter_t *gauge[5];
};

/* peers.c */
bool peers_listen (cell_t *c, err_t *e);
/* peers_to: the connection to ADDRESS, dialled if need be; NULL when there is
   none or too much waits for it.  */
remote_t *peers_to (cell_t *c, str_t address);
void peers_send (cell_t *c, str_t address, msgtype_t type, const void *msg,
                 bool asks);
void peers_answer (cell_t *c, remote_t *to, msgtype_t type, const void *msg);
void peers_sweep (cell_t *c);
/* message.c */
void cell_message (cell_t *c, remote_t *from, msgtype_t type, void *msg);
/* join.c */
void join_tick (cell_t *c);
void join_answer (cell_t *c, const hello_resp_t *m);
void join_ask (cell_t *c, const hello_t *m, hello_resp_t *out);
void join_review (cell_t *c);
/* join_surplus: there are more voters than the losses need.  */
bool join_surplus (const cell_t *c);
/* leave.c */
/* leave_tick: ends the loop of an instance that stops once it has left, or
   could not in time.  */
void leave_tick (cell_t *c);
/* leave_ask: removes the instance that sent M, or says that it is.  */
void leave_ask (cell_t *c, const hello_t *m, hello_resp_t *out);
/* state.c */
extern const raft_ops_t cell_raft_ops;
bool cell_step (cell_t *c, bool ok);
bool cell_record (cell_t *c, const fleet_record_t *r, int64_t *index);
int64_t cell_sync_replicas (const cell_t *c, const char *service);
void roster_record (cell_t *c);
void pending_review (cell_t *c);
/* news.c */
int64_t news_entries (cell_t *c);
void news_watched (cell_t *c, const roster_t *m);
void news_send (cell_t *c, remote_t *r);
void news_spread (cell_t *c);
void gossip (cell_t *c);
void gossip_again (cell_t *c);
/* endpoint.c */
void endpoint_watch (cell_t *c, remote_t *r, const watch_t *m);
void endpoint_heard (cell_t *c, const roster_t *m);
void endpoint_sweep (cell_t *c);
/* endpoint_own, endpoint_near: views to OUT, with room for all.  */
size_t endpoint_own (const cell_t *c, endpoint_t *out);
size_t endpoint_near (const cell_t *c, const char *zone, endpoint_t *out);
/* endpoint_news: those of R's zone have changed since the last call.  */
bool endpoint_news (cell_t *c, remote_t *r);
/* probe.c */
void probes_tick (cell_t *c);
void probes_stop (cell_t *c);
void probe_survey (cell_t *c, const char *service);
/* takeover.c */
void takeovers_tick (cell_t *c);
takeover_t *takeover_of (cell_t *c, str_t service);

#endif
