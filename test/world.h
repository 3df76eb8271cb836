/* world - several control instances, entry instances' views and fake databases
   with their own clock, for tests of control together with route.  */

#ifndef WORLD_H
#define WORLD_H

#include "../lib/control/ctl.h"
#include "route.h"

#include <check.h>

enum
{
  W_CONTROLS = 3,
  W_ENTRIES = 4,
  W_GROUPS = 2,
  W_DBS_PER_GROUP = 3,
  W_DBS = W_GROUPS * W_DBS_PER_GROUP,
  W_ZONES = 3,
  W_STEP = 5, /* ms */
  W_CONNECTIONS = 20
};

/* A fake database.  LOG[i] is the write at position i + 1.  */
typedef struct
{
  char name[16];
  char address[32];
  int group;
  int zone;
  bool alive, frozen, leaving;
  bool primary;
  int64_t fence;
  char owner[DB_NAME_MAX];
  char term_owner[DB_NAME_MAX];
  char upstream[DB_NAME_MAX];
  int64_t upstream_term;
  msec_t up_heard;
  msec_t lag_until; /* applies nothing before */
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
  msec_t probed;
  bool reached[W_DBS];
  msec_t answer[W_DBS];
} world_ctl_t;

typedef struct
{
  view_t *view;
  apr_pool_t *pool;
  bool alive, frozen;
  bool unknown; /* told that the configuration does not name it */
  int zone;
  int64_t boot, seq, raft_term;
  int64_t cfg_term, cfg_index, cfg_version;
  int64_t full;         /* last full renewal, 0 until it is answered */
  msec_t renewed, skew; /* its clock is the world's plus SKEW */
  msec_t answer[W_DBS];
  bool reached[W_DBS];
  int open[W_DBS], want[W_DBS];
} world_entry_t;

enum
{
  W_RENEWAL,
  W_GRANTED,
  W_COMMAND
};

/* A message that arrives later.  */
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
  msec_t heard[W_CONTROLS]; /* last heartbeat of a leader */
  msec_t elect_at;
  world_log_entry_t
      *log; /* committed up to COMMIT, the rest is the leader's tail */
  int64_t nlog, caplog;
  int64_t commit;
  bool cut[W_ZONES][W_ZONES];
  world_msg_t *msgs;
  int delay; /* ms, most that a message takes */
  world_answer_t answers[4096];
  int restarts;
  rules_t rules; /* for every control instance, when RULED */
  bool ruled;
  void (*on_promote) (void *arg, int db, int64_t term);
  void *arg;
} world_t;

extern const ctl_conf_ops_t world_ops;

/* world_new: all alive; the first database of each group is primary of term 1
   when PRIMARIES.  */
world_t *world_new (uint64_t seed, bool primaries);
void world_free (world_t *w);
/* world_run: lets MS pass.  */
void world_run (world_t *w, msec_t ms);
/* world_until: runs until DONE, at most MS; false when it did not happen.  */
bool world_until (world_t *w, bool (*done) (world_t *w), msec_t ms);
bool world_connected (const world_t *w, int zone1, int zone2);
/* world_submit: to the leader; the answer lands in answers[TICKET].  */
void world_submit (world_t *w, int ticket, const char *id, const char *who,
                   int64_t base, const char *text);
/* world_config: text that world_ops reads: "NAME ..." of entry instances 0 to
   N - 1.  */
const char *world_config (world_t *w, int entries);
control_t *world_leader (world_t *w);
grp_t *world_group (world_t *w, int group);
world_db_t *world_primary (world_t *w, int group);
mem_t *world_member (world_t *w, int db);
void world_restart_ctl (world_t *w, int i, bool from_snapshot);
void world_restart_entry (world_t *w, int i);
void world_db_wipe (world_db_t *d);
msec_t world_entry_now (const world_t *w, int i);
/* world_settled: a leader, and leases for every group.  */
bool world_settled (world_t *w);
/* world_start: elects a leader, submits the first configuration and waits for
   leases.  */
bool world_start (world_t *w);
/* world_run_tests: runs N tests, sets the number that failed.  */
typedef const TTest *tests_t;
void world_run_tests (const char *name, const tests_t *t, int n, int *failed);
/* world_audit_count: number of records of the leader's trail with this text.
 */
int world_audit_count (world_t *w, const char *what);

/* ---- parts of the world ---- */
world_msg_t *world_send (world_t *w, int kind, int from, int to);
void world_free_msg (world_msg_t *m);
bool world_ctl_up (const world_t *w, int ctl);
/* world_ctl_reaches_db: control instance I reaches database DB.  */
bool world_ctl_reaches_db (const world_t *w, int i, int db);
void world_start_ctl (world_t *w, int i);
void world_run_actions (world_t *w, int i);
void world_raft_step (world_t *w);
void world_ctl_step (world_t *w, int i);
void world_entry_step (world_t *w, int i);
void world_deliver (world_t *w);

/* ---- world_db.c ---- */
void world_db_init (world_db_t *d, int i, bool primary);
int64_t world_db_term (const world_db_t *d);
bool world_db_readonly (const world_db_t *d);
void world_db_write (world_db_t *d, int id);
void world_db_step (world_t *w);
bool world_db_command (world_t *w, int i, const db_cmd_t *c, db_event_t *ev);
void world_db_probe (world_t *w, int i, probe_t *p, apr_pool_t *pool);

#endif
