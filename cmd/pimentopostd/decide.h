/* Internals of the decision duty.  */

#ifndef DECIDE_H
#define DECIDE_H

#include "duties.h"

#include <stdatomic.h>

enum
{
  PENDING = 256 /* records that wait for room in the log */
};

struct decide
{
  apr_pool_t *pool;
  ring_t *in;
  ring_t *out;
  ring_t *links; /* db_event_t */
  raft_t *raft;
  store_t *store;
  control_t *control;
  dblink_t *link;
  rng_t rng;
  join_t join;
  msec_t now;
  msec_t ticked;
  msec_t reported;
  msec_t reviewed;
  int64_t conn; /* connection of the message being received */
  int64_t targets;

  /* What control was told last.  */
  raft_role_t role;
  int64_t term;
  char leader[ADDRESS_MAX];
  raft_observed_t seen;

  str_t pending[PENDING];
  int npending;

  atomic_bool stopping;
  /* For health, which another thread asks for.  */
  atomic_int_fast64_t shown_role;
  atomic_int_fast64_t shown_member; /* 2 voter, 1 learner, 0 none */
  atomic_int_fast64_t shown_term;
  atomic_int_fast64_t shown_commit;
  atomic_int_fast64_t shown_version;
  atomic_bool shown_leader;
  counter_t *gauge[6];
};

/* decide_answer: to the connection CONN.  */
void decide_answer (decide_t *d, int64_t conn, msgtype_t type,
                    const void *msg);
/* carry_out: one decision of control.  */
bool carry_out (decide_t *d, const ctl_act_t *a, err_t *e);
bool pending_retry (decide_t *d, err_t *e);
void pending_drop (decide_t *d);
void metrics (decide_t *d);
void publish (decide_t *d);

#endif
