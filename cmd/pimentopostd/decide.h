/* decide - internals of the decision duty: one thread that connects the
   replicated log, the decision logic and the link to the databases.  */

#ifndef DECIDE_H
#define DECIDE_H

#include "duties.h"

#include <stdatomic.h>

enum
{
  PENDING_MAX = 256 /* records that wait for room in the log, at most */
};

struct decide
{
  apr_pool_t *pool;
  ring_t *in;
  ring_t *out;
  ring_t *db_events; /* db_event_t, from LINK */
  raft_t *raft;
  store_t *store;
  control_t *control;
  dblink_t *link;
  rng_t rng;
  join_t join;
  msec_t now;
  msec_t last_tick;
  msec_t last_report;
  msec_t last_member_check;
  int64_t conn;    /* connection of the message being received */
  int64_t targets; /* revision of the list that LINK has, from
                      control_targets */

  /* As last reported to control.  */
  raft_role_t role;
  int64_t term;
  char leader[ADDRESS_MAX];
  raft_observed_t observed; /* by raft_observe, which logs changes */

  str_t pending[PENDING_MAX];
  int npending;

  atomic_bool stopping;
  /* For decide_health, which another thread calls.  */
  atomic_int_fast64_t health_role;
  atomic_int_fast64_t health_member; /* 2 voter, 1 learner, 0 none */
  atomic_int_fast64_t health_term;
  atomic_int_fast64_t health_commit;
  atomic_int_fast64_t health_version;
  atomic_bool health_leader;
  counter_t *gauge[6];
};

/* decide_answer: sends a message on the connection CONN, if that is not 0.  */
void decide_answer (decide_t *d, int64_t conn, msgtype_t type,
                    const void *msg);
/* run_action: performs one action of control.  False when the store failed or
   too many records wait.  */
bool run_action (decide_t *d, const ctl_act_t *a, err_t *e);
/* pending_retry: proposes the waiting records, until the log is full.  */
bool pending_retry (decide_t *d, err_t *e);
void pending_drop (decide_t *d);
void metrics_init (decide_t *d);
/* status_publish: updates what decide_health and /metrics show.  */
void status_publish (decide_t *d);

#endif
