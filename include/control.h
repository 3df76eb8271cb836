/* control - the decision logic of a control instance, without I/O or clock:
   configuration, members, leases, failover, connection budgets and audit.

   One control_t belongs to each control instance and is used by one thread.
   Its replicated part changes only through control_apply, in log order, and is
   the same on every instance at the same index; the rest (liveness, probes,
   grants issued) is local to this process.  Every function that makes a
   decision takes NOW, a msec_now time.  The resulting actions are queued; call
   control_next after each event until it returns false.

   The consensus layer must guarantee that a voter which acknowledged a
   leader's heartbeat grants no vote (nor pre-vote) to another candidate for
   the minimum election timeout of 250 ms, and that a restarted voter acts as
   if it had received a heartbeat at its start.  Together with CTL_QUORUM_AGE
   this bounds the time of the last lease of a former leader.  */

#ifndef CONTROL_H
#define CONTROL_H

#include "base.h"
#include "dblink.h"
#include "rpc.h"

enum
{
  CTL_LEASE = 400,        /* ms, from the SENT of the renewal */
  CTL_LEASE_WAIT = 414,   /* ms, CTL_LEASE x 1.01 + 10 */
  CTL_BUDGET = 2000,      /* ms, from the SENT of the renewal */
  CTL_BUDGET_WAIT = 2030, /* ms, CTL_BUDGET x 1.01 + 10 */
  CTL_QUORUM_AGE = 200,   /* ms, maximum age of a quorum answer for a grant */
  CTL_MEMBER_EXPIRY = 3000,       /* ms without an announcement */
  CTL_FAIL_TIMEOUT = 400,         /* ms without an answer: unreachable */
  CTL_FAIL_TIMEOUT_REPEAT = 1000, /* ms, instead, within CTL_SETTLE */
  CTL_SETTLE = 5000,              /* ms after a promotion */
  CTL_ADOPT_WAIT = 1000,    /* ms from an announced majority to adoption */
  CTL_FLOOR_HOLD = 7200000, /* ms that a removed instance keeps its floors */
  CTL_RESERVED = 3,         /* connections per database reserved for control */
  CTL_OUTCOMES = 4096,      /* outcomes of submissions kept */
  CTL_AUDIT = 4096          /* audit records kept */
};

/* ---- configuration ---- */

typedef struct
{
  str_t name;
  int64_t databases;   /* size of the group */
  int64_t connections; /* connection limit of each database */
} ctl_group_t;

typedef struct
{
  str_t name;
  bool entry; /* else a control instance */
  str_t zone;
  str_t address;
} ctl_instance_t;

/* The parts of a generated configuration that control uses.  */
typedef struct
{
  list_t groups;    /* ctl_group_t */
  list_t instances; /* ctl_instance_t */
} ctl_conf_t;

/* Callbacks that generate and parse configurations; ctl_conf_ops uses the
   functions of conf.h.  */
typedef struct
{
  void *arg;
  /* generate: validates a questionnaire and returns the canonical
     configuration with VERSION in POOL.  */
  bool (*generate) (void *arg, apr_pool_t *pool, str_t questionnaire,
                    int64_t version, str_t *out, err_t *e);
  /* read: parses a canonical configuration.  */
  bool (*read) (void *arg, apr_pool_t *pool, str_t canonical, ctl_conf_t *out,
                err_t *e);
} ctl_conf_ops_t;

extern const ctl_conf_ops_t ctl_conf_ops;

/* ---- actions ---- */

typedef enum
{
  CTL_APPEND, /* append DATA to the replicated log */
  CTL_DB,     /* send the command DB through dblink */
  CTL_ANSWER  /* send RESP to the submitter identified by TICKET */
} ctl_kind_t;

typedef struct
{
  ctl_kind_t kind;
  str_t data;
  db_cmd_t db;
  int64_t ticket;
  submit_resp_t resp;
} ctl_act_t;

typedef struct control control_t;

/* control_new: NAME is this instance's name, ADDRESS its rpc address.  WALL
   returns the wall-clock time of audit records (msec_wall; may be NULL).  */
control_t *control_new (apr_pool_t *pool, str_t name, str_t address,
                        const ctl_conf_ops_t *ops, msec_t (*wall) (void));
/* control_next: removes the oldest action from the queue.  Its strings live
   until the next call of control_next.  */
bool control_next (control_t *c, ctl_act_t *a);

/* ---- events from the consensus ---- */

/* control_role: if IS_LEADER, this instance became the leader of RAFT_TERM;
   else it follows the leader at the address LEADER ("" when unknown).  A new
   leader first appends a takeover record and makes no decisions until that is
   applied.  */
void control_role (control_t *c, bool is_leader, int64_t raft_term,
                   str_t leader, msec_t now);
/* control_quorum: a quorum has answered a round of heartbeats that was sent at
   SENT (the send time, not the time of the answers).  */
void control_quorum (control_t *c, msec_t sent);
/* control_apply: applies a committed entry; call in log order, once each, also
   while replaying the log after a start.  Entries of other kinds (no-ops,
   membership changes) are not passed.  ERR_CORRUPT when DATA is no record.  */
bool control_apply (control_t *c, int64_t raft_term, int64_t index, str_t data,
                    msec_t now, err_t *e);
/* control_snapshot, control_restore: writes and loads the replicated part.  */
void control_snapshot (const control_t *c, buf_t *out);
bool control_restore (control_t *c, str_t data, msec_t now, err_t *e);

/* ---- other events ---- */

/* control_tick: call every 10 to 25 ms.  */
void control_tick (control_t *c, msec_t now);
/* control_db: a probe or command result from this instance's dblink.  */
void control_db (control_t *c, const db_event_t *ev, msec_t now);
/* control_peer_report: probe results from another control instance; followers
   may receive them too.  */
void control_peer_report (control_t *c, const probe_report_t *r, msec_t now);
/* control_report: this instance's probe results, to be sent to the leader
   every 100 ms; lives in POOL.  */
void control_report (const control_t *c, apr_pool_t *pool, msec_t now,
                     probe_report_t *out);
/* control_renew: answers a renewal.  The grant lives in POOL.  */
void control_renew (control_t *c, const renew_t *r, msec_t now,
                    apr_pool_t *pool, grant_t *out);
/* control_submit: the answer is a CTL_ANSWER action with TICKET.  */
void control_submit (control_t *c, const submit_t *s, int64_t ticket,
                     msec_t now);
/* control_query: answers status, audit, explain and config; lives in POOL.  */
void control_query (control_t *c, const query_t *q, msec_t now,
                    apr_pool_t *pool, query_resp_t *out);

/* ---- state ---- */

/* control_targets: writes up to N of the databases to probe to T and returns
   their total number.  CHANGED (may be NULL) counts changes of the list.  */
size_t control_targets (const control_t *c, db_target_t *t, size_t n,
                        int64_t *changed);
/* control_config: canonical text of the current configuration, empty when
   there is none.  Any pointer may be NULL.  */
str_t control_config (const control_t *c, int64_t *version, int64_t *raft_term,
                      int64_t *index);
/* control_ready: this instance is the leader and has applied its takeover
   record.  */
bool control_ready (const control_t *c);

#endif
