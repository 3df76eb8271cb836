/* world - simulation of control instances, the views of entry instances and
   databases, with a simulated clock and network; for tests of lib/control
   together with lib/route.  */

#ifndef WORLD_H
#define WORLD_H

#include "../lib/control/ctl.h"
#include "route.h"

#include <check.h>

enum
{
  W_CONTROLS = 3, /* control instances */
  W_ENTRIES = 4,  /* entry instances */
  W_GROUPS = 2,
  W_DBS_PER_GROUP = 3,
  W_DBS = W_GROUPS * W_DBS_PER_GROUP,
  W_ZONES = 3,
  W_STEP = 5,        /* ms */
  W_CONNECTIONS = 20 /* that each database accepts */
};

/* A simulated database.  LOG[i] is the write at position i + 1.  */
typedef struct
{
  char name[16];
  char address[32];
  int group;
  int zone;
  bool alive, frozen, leaving;
  bool primary;
  int64_t fence;                /* term of the last fence command */
  char owner[DB_NAME_MAX];      /* of that fence */
  char term_owner[DB_NAME_MAX]; /* of the promotion that began its term */
  char upstream[DB_NAME_MAX];
  int64_t upstream_term; /* of the last follow command */
  msec_t upstream_at;    /* last contact with the upstream */
  msec_t lag_until;      /* applies nothing before this time */
  history_t hist;
  int64_t pos;
  int *log;
  int cap;
  int64_t confirmed;
  msec_t leaving_at;
} world_db_t;

typedef struct
{
  int64_t term;
  char *p;
  size_t n;
} world_log_entry_t;

typedef struct
{
  control_t *c;
  apr_pool_t *pool;
  bool alive, frozen;
  int64_t applied;
  msec_t probed; /* when it last probed the databases */
  bool reachable[W_DBS];
  msec_t ok_at[W_DBS];
} world_ctl_t;

typedef struct
{
  view_t *view;
  apr_pool_t *pool;
  bool alive, frozen;
  bool unknown; /* by its last grant, the configuration does not name it */
  int zone;
  int64_t boot, seq, raft_term;
  int64_t cfg_term, cfg_index, cfg_version;
  int64_t full;         /* number of the last full renewal, 0 until answered */
  msec_t renewed, skew; /* its clock is the world's NOW plus SKEW */
  msec_t ok_at[W_DBS];
  bool reachable[W_DBS];
  int open[W_DBS], want[W_DBS];
} world_entry_t;

/* Kinds of messages.  */
enum
{
  W_RENEWAL,
  W_GRANT,
  W_COMMAND
};

/* A message in transit, delivered at AT.  */
typedef struct world_msg world_msg_t;
struct world_msg
{
  world_msg_t *next;
  msec_t at;
  int kind;
  int to, from;
  db_cmd_t cmd;
  buf_t b;
};

typedef struct
{
  int64_t status, version;
  bool repeated, answered;
} world_answer_t;

typedef struct
{
  apr_pool_t *pool;
  rng_t rng;
  msec_t now;
  world_db_t db[W_DBS];
  world_ctl_t ctl[W_CONTROLS];
  world_entry_t ent[W_ENTRIES];
  int leader; /* -1: none */
  int64_t term;
  msec_t last_heartbeat[W_CONTROLS]; /* of a leader, by follower */
  msec_t elect_at;
  world_log_entry_t *log; /* beyond COMMIT only on the leader */
  int64_t nlog, caplog;
  int64_t commit;
  bool cut[W_ZONES][W_ZONES]; /* no messages from one zone to another */
  world_msg_t *msgs;
  int delay; /* ms, longest time that a message takes */
  world_answer_t answers[4096];
  int restarts;
  rules_t rules; /* of every control instance, if HAS_RULES */
  bool has_rules;
  void (*on_promote) (void *arg, int db, int64_t term);
  void *arg;
} world_t;

extern const ctl_conf_ops_t world_ops;

/* world_new: everything is up.  With PRIMARIES, the first database of each
   group is its primary in term 1.  */
world_t *world_new (uint64_t seed, bool primaries);
void world_free (world_t *w);
/* world_run: advances the simulation by MS ms.  */
void world_run (world_t *w, msec_t ms);
/* world_until: runs until DONE returns true, at most MS ms; false if it never
   does.  */
bool world_until (world_t *w, bool (*done) (world_t *w), msec_t ms);
/* world_connected: messages from ZONE1 reach ZONE2.  */
bool world_connected (const world_t *w, int zone1, int zone2);
/* world_submit: submits TEXT to the leader; the answer is stored in
   answers[TICKET].  */
void world_submit (world_t *w, int ticket, const char *id, const char *who,
                   int64_t base, const char *text);
/* world_config: configuration for world_ops, naming the first ENTRIES entry
   instances and all control instances.  */
const char *world_config (world_t *w, int entries);
control_t *world_leader (world_t *w);
grp_t *world_group (world_t *w, int group);
/* world_primary: primary of GROUP according to the leader, or NULL.  */
world_db_t *world_primary (world_t *w, int group);
mem_t *world_member (world_t *w, int db);
/* world_restart_ctl: restarts control instance I with the state of its
   snapshot or without state.  */
void world_restart_ctl (world_t *w, int i, bool from_snapshot);
void world_restart_entry (world_t *w, int i);
/* world_db_wipe: the database loses its disk.  */
void world_db_wipe (world_db_t *d);
/* world_entry_now: time by the clock of entry instance I.  */
msec_t world_entry_now (const world_t *w, int i);
/* world_settled: there is a leader that is ready, and every group has a
   primary whose leases may be renewed.  */
bool world_settled (world_t *w);
/* world_start: elects a leader, submits the first configuration and waits for
   leases.  */
bool world_start (world_t *w);
/* world_run_tests: runs N tests and sets *FAILED to the number that failed. */
typedef const TTest *tests_t;
void world_run_tests (const char *name, const tests_t *t, int n, int *failed);
/* world_audit_count: number of times that WHAT occurs in the leader's audit
   records.  */
int world_audit_count (world_t *w, const char *what);

/* ---- shared by the files of the simulation ---- */
/* world_send: a message of KIND, to be completed by the caller; it arrives
   after a random delay.  */
world_msg_t *world_send (world_t *w, int kind, int from, int to);
void world_free_msg (world_msg_t *m);
/* world_ctl_up: control instance CTL is neither stopped nor frozen.  */
bool world_ctl_up (const world_t *w, int ctl);
/* world_ctl_reaches_db: control instance I can connect to database DB.  */
bool world_ctl_reaches_db (const world_t *w, int i, int db);
void world_start_ctl (world_t *w, int i);
/* world_run_actions: carries out the pending actions of control instance I. */
void world_run_actions (world_t *w, int i);
void world_raft_step (world_t *w);
void world_ctl_step (world_t *w, int i);
void world_entry_step (world_t *w, int i);
/* world_deliver: delivers the messages that are due.  */
void world_deliver (world_t *w);

/* ---- world_db.c ---- */
void world_db_init (world_db_t *d, int i, bool primary);
/* world_db_term: term of its log; 0: none yet.  */
int64_t world_db_term (const world_db_t *d);
bool world_db_readonly (const world_db_t *d);
void world_db_write (world_db_t *d, int id);
void world_db_step (world_t *w);
/* world_db_command: runs C on database I and stores the result in EV; false
   when the database refuses it.  */
bool world_db_command (world_t *w, int i, const db_cmd_t *c, db_event_t *ev);
void world_db_probe (world_t *w, int i, probe_t *p, apr_pool_t *pool);

#endif
