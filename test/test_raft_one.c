#include "raft.h"

#include <apr_general.h>
#include <check.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* A single instance; its messages and writes are recorded.  */

typedef struct
{
  char trace[8000]; /* "save" or the message type, in order */
  bool fail;        /* writes fail */
  bool corrupt;     /* with ERR_CORRUPT, not ERR_SYS */
  int snaps;        /* attempts to store a snapshot */
  vote_resp_t vote;
  append_req_t append;
  append_resp_t resp;
  int64_t applied;
} solo_t;

static void
trace (solo_t *o, const char *what)
{
  size_t n = strlen (o->trace);

  snprintf (o->trace + n, sizeof o->trace - n, "%s ", what);
}

static void
solo_send (void *arg, int64_t to, msgtype_t type, const void *msg)
{
  solo_t *o = arg;

  (void)to;
  trace (o, rpc_name (type));
  if (type == MSG_VOTE_RESP)
    o->vote = *(const vote_resp_t *)msg;
  if (type == MSG_APPEND_REQ)
    o->append = *(const append_req_t *)msg;
  if (type == MSG_APPEND_RESP)
    o->resp = *(const append_resp_t *)msg;
}

static bool
solo_vote (void *arg, int64_t term, int64_t vote, err_t *e)
{
  solo_t *o = arg;

  (void)term;
  (void)vote;
  trace (o, "save");
  return !o->fail
         || err_set (e, o->corrupt ? ERR_CORRUPT : ERR_SYS, "state",
                     "no space");
}

static bool
solo_entries (void *arg, const log_entry_t *v, size_t n, err_t *e)
{
  (void)v;
  return solo_vote (arg, 0, (int64_t)n, e);
}

static bool
solo_snap (void *arg, const raft_snap_t *snap, err_t *e)
{
  (void)snap;
  ((solo_t *)arg)->snaps++;
  return solo_vote (arg, 0, 0, e);
}

static void
solo_apply (void *arg, const log_entry_t *v)
{
  ((solo_t *)arg)->applied = v->index;
}

static void
solo_snapshot (void *arg, buf_t *out)
{
  (void)arg;
  (void)out;
}

static bool
solo_restore (void *arg, const raft_snap_t *snap, err_t *e)
{
  (void)arg;
  (void)snap;
  (void)e;
  return true;
}

static const raft_ops_t solo_ops
    = { solo_send, solo_vote,  solo_entries,  solo_snap,
        solo_snap, solo_apply, solo_snapshot, solo_restore };

static apr_pool_t *pool;
static rng_t rng;
static solo_t solo;

static bool solo_eager;

/* Instance 1 of voters 1, 2 and 3 in term 3, with an uncommitted entry of
   term 2 at index 2.  */
static raft_t *
solo_new (void)
{
  static log_entry_t v[2];
  static buf_t b;
  member_t m[3] = { { 1, true, STR ("a"), STR ("1") },
                    { 2, true, STR ("b"), STR ("2") },
                    { 3, true, STR ("c"), STR ("3") } };
  members_t ms = { .list = { m, 3 } };
  raft_conf_t conf = { .eager_start = solo_eager };

  apr_initialize ();
  apr_pool_create (&pool, NULL);
  rng_init (&rng, 1);
  solo = (solo_t){ 0 };
  buf_init (&b);
  rpc_pack (&b, MSG_MEMBERS, &ms);
  v[0] = (log_entry_t){ 1, 1, ENTRY_MEMBERS, buf_str (&b) };
  v[1] = (log_entry_t){ 2, 2, ENTRY_RECORD, STR ("old") };
  raft_saved_t saved = { .id = 1, .term = 3, .entries = { v, 2 } };
  return raft_new (pool, &conf, &solo_ops, &solo, &saved, &rng, 1000, NULL);
}

/* Makes the instance the leader of term 4 at time 2000.  */
static void
solo_lead (raft_t *r)
{
  vote_resp_t pre = { .term = 4, .from = 2, .pre = true, .granted = true };
  vote_resp_t vote = { .term = 4, .from = 2, .granted = true };

  ck_assert (raft_tick (r, 2000, NULL));
  ck_assert (raft_recv (r, MSG_VOTE_RESP, &pre, 2000, NULL));
  ck_assert (raft_recv (r, MSG_VOTE_RESP, &vote, 2000, NULL));
  ck_assert_int_eq (raft_role (r), RAFT_LEADER);
  ck_assert_int_eq (raft_term (r), 4);
}

/* Guards against committing an entry of an older term because a quorum stores
   it.  */
START_TEST (old_term_is_not_committed)
{
  raft_t *r = solo_new ();
  append_resp_t a
      = { .term = 4, .from = 2, .seq = 2000, .ok = true, .match = 2 };

  solo_lead (r);
  ck_assert (raft_recv (r, MSG_APPEND_RESP, &a, 2010, NULL));
  ck_assert_int_eq (raft_commit (r), 0);
  ck_assert (!raft_leader_ready (r));
  a.match = 3;
  ck_assert (raft_recv (r, MSG_APPEND_RESP, &a, 2010, NULL));
  ck_assert_int_eq (raft_commit (r), 3);
  ck_assert_int_eq (solo.applied, 3);
  ck_assert (raft_leader_ready (r));
  apr_pool_destroy (pool);
}
END_TEST

/* Guards against a follower that never catches up because its conflicting term
   starts before an entry that is known to match.  Found by fuzzing.  */
START_TEST (hint_before_match)
{
  raft_t *r = solo_new ();
  append_resp_t a = { .term = 4, .from = 2, .seq = 2000, .ok = true };

  solo_lead (r);
  for (int i = 0; i < 3; i++)
    ck_assert (raft_propose (r, STR ("x"), 2000, NULL, NULL));
  a.match = 2;
  ck_assert (raft_recv (r, MSG_APPEND_RESP, &a, 2010, NULL));
  a.ok = false;
  a.match = 0;
  a.hint = 1;
  ck_assert (raft_recv (r, MSG_APPEND_RESP, &a, 2020, NULL));
  ck_assert_int_eq (solo.append.prev_index, 2);
  ck_assert_uint_eq (solo.append.entries.n, 0);
  apr_pool_destroy (pool);
}
END_TEST

/* Guards against raft_quorum_at returning the time of the response instead of
   the send time of the request, and against counting responses of instances
   that are not members.  */
START_TEST (quorum_at_is_send_time)
{
  raft_t *r = solo_new ();
  append_resp_t a
      = { .term = 4, .from = 3, .seq = 2000, .ok = true, .match = 3 };

  solo_lead (r);
  ck_assert_int_eq (raft_quorum_at (r), -1);
  a.from = 77;
  ck_assert (raft_recv (r, MSG_APPEND_RESP, &a, 2030, NULL));
  ck_assert_int_eq (raft_quorum_at (r), -1);
  a.from = 3;
  ck_assert (raft_recv (r, MSG_APPEND_RESP, &a, 2090, NULL));
  ck_assert_int_eq (raft_quorum_at (r), 2000);
  ck_assert (raft_tick (r, 2090, NULL));
  a.seq = solo.append.seq;
  ck_assert (raft_recv (r, MSG_APPEND_RESP, &a, 2300, NULL));
  ck_assert_int_eq (raft_quorum_at (r), 2090);
  ck_assert (raft_tick (r, 2591, NULL));
  ck_assert_int_eq (raft_role (r), RAFT_FOLLOWER);
  ck_assert_int_eq (raft_quorum_at (r), -1);
  apr_pool_destroy (pool);
}
END_TEST

/* Guards against applying a long log in one event, which would delay
   heartbeats until the leader is deposed.  */
START_TEST (applies_in_batches)
{
  raft_t *r = solo_new ();
  append_resp_t a = { .term = 4, .from = 2, .seq = 2000, .ok = true };

  solo_lead (r);
  for (int i = 0; i < 100; i++)
    ck_assert (raft_propose (r, STR ("x"), 2000, NULL, NULL));
  a.match = raft_last (r);
  ck_assert (raft_recv (r, MSG_APPEND_RESP, &a, 2000, NULL));
  ck_assert_int_eq (raft_commit (r), 103);
  ck_assert_int_lt (solo.applied, 40);
  for (int i = 0; i < 10; i++)
    ck_assert (raft_tick (r, 2000, NULL));
  ck_assert_int_eq (solo.applied, 103);
  apr_pool_destroy (pool);
}
END_TEST

/* Guards against a voter with a changed address being added a second time or
   losing its vote.  */
START_TEST (address_change)
{
  raft_t *r = solo_new ();
  append_resp_t a
      = { .term = 4, .from = 2, .seq = 2000, .ok = true, .match = 3 };
  member_t m = { .id = 2, .name = STR ("b"), .address = STR ("22") };
  err_t e = { 0 };

  solo_lead (r);
  ck_assert (!raft_members (r, MEMBER_ADD, &m, 2000, &e));
  ck_assert_int_eq (e.code, ERR_FULL);
  ck_assert (raft_recv (r, MSG_APPEND_RESP, &a, 2000, NULL));
  ck_assert (raft_members (r, MEMBER_ADD, &m, 2000, &e));
  ck_assert_int_eq (raft_last (r), 4);
  ck_assert (str_eq (raft_member (r, 2)->address, STR ("22")));
  ck_assert (raft_member (r, 2)->voter);
  ck_assert_uint_eq (raft_member_list (r)->list.n, 3);
  apr_pool_destroy (pool);
}
END_TEST

/* Guards against responses sent before the vote or entries that they confirm
   are stored, and against a full disk stopping the instance: what cannot be
   stored is neither confirmed nor kept in memory, and is accepted once there
   is space.  */
START_TEST (stores_before_response)
{
  raft_t *r = solo_new ();
  vote_req_t v = { .term = 5, .from = 2, .last_index = 9, .last_term = 4 };
  log_entry_t x = { .term = 5, .index = 3, .data = STR ("x") };
  append_req_t a = { .term = 5, .from = 2, .prev_index = 2, .prev_term = 2 };
  err_t e = { 0 };

  ck_assert (raft_recv (r, MSG_VOTE_REQ, &v, 2000, NULL));
  ck_assert_str_eq (solo.trace, "save save vote_resp ");
  ck_assert (solo.vote.granted);
  v.from = 3;
  ck_assert (raft_recv (r, MSG_VOTE_REQ, &v, 2000, NULL));
  ck_assert (!solo.vote.granted);
  solo.trace[0] = '\0';
  a.entries = (list_t){ &x, 1 };
  ck_assert (raft_recv (r, MSG_APPEND_REQ, &a, 2010, NULL));
  ck_assert_str_eq (solo.trace, "save append_resp ");
  ck_assert (solo.resp.ok);
  solo.trace[0] = '\0';
  solo.fail = true;
  a.prev_index = 3;
  a.prev_term = 5;
  x.index = 4;
  ck_assert (raft_recv (r, MSG_APPEND_REQ, &a, 2020, NULL));
  ck_assert_str_eq (solo.trace, "save ");
  ck_assert (raft_blocked (r, &e));
  ck_assert_int_eq (e.code, ERR_SYS);
  ck_assert_int_eq (raft_last (r), 3);
  solo.fail = false;
  ck_assert (raft_tick (r, 2200, NULL));
  ck_assert (!raft_blocked (r, NULL));
  solo.trace[0] = '\0';
  ck_assert (raft_recv (r, MSG_APPEND_REQ, &a, 2210, NULL));
  ck_assert_str_eq (solo.trace, "save append_resp ");
  ck_assert_int_eq (raft_last (r), 4);
  apr_pool_destroy (pool);
}
END_TEST

/* Guards against an instance that continues after the store reported
   corruption.  */
START_TEST (corruption_stops_instance)
{
  raft_t *r = solo_new ();
  vote_req_t v = { .term = 5, .from = 2, .last_index = 9, .last_term = 4 };
  err_t e = { 0 };

  solo.fail = solo.corrupt = true;
  ck_assert (!raft_recv (r, MSG_VOTE_REQ, &v, 2000, &e));
  ck_assert_int_eq (e.code, ERR_CORRUPT);
  ck_assert (!raft_tick (r, 5000, &e));
  ck_assert_str_eq (solo.trace, "save ");
  apr_pool_destroy (pool);
}
END_TEST

/* Guards against a leader that stays leader while it cannot store entries, and
   against an instance in that state campaigning or granting pre-votes.  */
START_TEST (full_disk_steps_down)
{
  raft_t *r = solo_new ();
  vote_req_t req
      = { .term = 9, .from = 2, .last_index = 9, .last_term = 4, .pre = true };
  err_t e = { 0 };

  solo_lead (r);
  solo.fail = true;
  solo.trace[0] = '\0';
  ck_assert (!raft_propose (r, STR ("x"), 2010, NULL, &e));
  ck_assert_int_eq (e.code, ERR_NOT_LEADER);
  ck_assert_int_eq (raft_role (r), RAFT_FOLLOWER);
  ck_assert_int_eq (raft_leader (r), 0);
  ck_assert_int_eq (raft_last (r), 3);
  ck_assert_str_eq (solo.trace, "save ");
  for (msec_t now = 2020; now < 6000; now += 10)
    ck_assert (raft_tick (r, now, NULL));
  ck_assert_ptr_null (strstr (solo.trace, "vote_req"));
  ck_assert (raft_recv (r, MSG_VOTE_REQ, &req, 6000, NULL));
  ck_assert (!solo.vote.granted);
  solo.fail = false;
  for (msec_t now = 6010; now < 7000; now += 10)
    ck_assert (raft_tick (r, now, NULL));
  ck_assert_int_eq (raft_role (r), RAFT_CANDIDATE);
  apr_pool_destroy (pool);
}
END_TEST

/* Guards against an instance with a full disk leaving the cluster: it follows
   a new leader and answers its heartbeats, but it grants no vote that it
   cannot store and acknowledges no entry before the term is stored.  */
START_TEST (full_disk_follows)
{
  raft_t *r = solo_new ();
  append_req_t heartbeat
      = { .term = 7, .from = 2, .prev_index = 2, .prev_term = 2 };
  vote_req_t v = { .term = 8, .from = 3, .last_index = 9, .last_term = 7 };
  log_entry_t x = { .term = 7, .index = 3, .data = STR ("x") };

  solo.fail = true;
  ck_assert (raft_recv (r, MSG_APPEND_REQ, &heartbeat, 2000, NULL));
  ck_assert (solo.resp.ok);
  ck_assert_int_eq (solo.resp.match, 2);
  ck_assert_int_eq (raft_leader (r), 2);
  solo.trace[0] = '\0';
  ck_assert (raft_recv (r, MSG_VOTE_REQ, &v, 2900, NULL));
  ck_assert_ptr_null (strstr (solo.trace, "vote_resp"));
  solo.fail = false;
  heartbeat.entries = (list_t){ &x, 1 };
  heartbeat.term = 8;
  solo.trace[0] = '\0';
  ck_assert (raft_recv (r, MSG_APPEND_REQ, &heartbeat, 3100, NULL));
  ck_assert_str_eq (solo.trace, "save save append_resp ");
  apr_pool_destroy (pool);
}
END_TEST

/* Guards against a snapshot that does not fit on the disk stopping the
   instance or losing entries.  */
START_TEST (full_disk_keeps_log)
{
  raft_t *r = solo_new ();
  append_resp_t a = { .term = 4, .from = 2, .seq = 2000, .ok = true };
  int snaps = 0;

  solo_lead (r);
  for (int i = 0; i < 300; i++)
    ck_assert (raft_propose (r, STR ("x"), 2000, NULL, NULL));
  a.match = raft_last (r);
  solo.fail = true;
  ck_assert (raft_recv (r, MSG_APPEND_RESP, &a, 2000, NULL));
  for (msec_t now = 2000; now < 2040; now++)
    ck_assert (raft_tick (r, now, NULL));
  ck_assert_int_eq (solo.applied, a.match);
  ck_assert (raft_blocked (r, NULL));
  snaps = solo.snaps;
  solo.fail = false;
  ck_assert (raft_tick (r, 2200, NULL));
  ck_assert (raft_propose (r, STR ("x"), 2200, NULL, NULL));
  a.match = raft_last (r);
  ck_assert (raft_recv (r, MSG_APPEND_RESP, &a, 2200, NULL));
  ck_assert_int_eq (solo.snaps, snaps + 1);
  apr_pool_destroy (pool);
}
END_TEST

/* Guards against a restarted instance that passes its old state on as the
   newest because it knows the leader: what was committed before may come with
   a later message.  */
START_TEST (state_is_current_after_an_entry_of_the_term)
{
  raft_t *r = solo_new ();
  log_entry_t noop = { .term = 4, .index = 3, .kind = ENTRY_NOOP };
  append_req_t m = { .term = 4, .from = 2, .prev_index = 2, .prev_term = 2 };

  ck_assert (!raft_current (r));
  ck_assert (raft_recv (r, MSG_APPEND_REQ, &m, 1010, NULL));
  ck_assert_int_eq (raft_leader (r), 2);
  ck_assert (!raft_current (r));
  m.commit = 2;
  ck_assert (raft_recv (r, MSG_APPEND_REQ, &m, 1020, NULL));
  ck_assert_int_eq (raft_applied (r), 2);
  ck_assert (!raft_current (r));
  m.entries = (list_t){ &noop, 1 };
  ck_assert (raft_recv (r, MSG_APPEND_REQ, &m, 1030, NULL));
  ck_assert (!raft_current (r));
  m = (append_req_t){
    .term = 4, .from = 2, .prev_index = 3, .prev_term = 4, .commit = 3
  };
  ck_assert (raft_recv (r, MSG_APPEND_REQ, &m, 1040, NULL));
  ck_assert (raft_current (r));
  m.commit = 5; /* entries that it lacks */
  ck_assert (raft_recv (r, MSG_APPEND_REQ, &m, 1050, NULL));
  ck_assert (!raft_current (r));
  apr_pool_destroy (pool);
}
END_TEST

/* Guards against a message that replaces committed entries.  */
START_TEST (committed_entries_stay)
{
  raft_t *r = solo_new ();
  log_entry_t x = { .term = 5, .index = 2, .data = STR ("x") };
  append_req_t a
      = { .term = 5, .from = 2, .prev_index = 2, .prev_term = 2, .commit = 2 };
  err_t e = { 0 };

  ck_assert (raft_recv (r, MSG_APPEND_REQ, &a, 2000, NULL));
  ck_assert_int_eq (solo.applied, 2);
  a.prev_index = a.prev_term = 1;
  a.entries = (list_t){ &x, 1 };
  ck_assert (!raft_recv (r, MSG_APPEND_REQ, &a, 2010, &e));
  ck_assert_int_eq (e.code, ERR_STATE);
  apr_pool_destroy (pool);
}
END_TEST

/* Guards against instances with an eager start that wait for a leader after
   they restarted together, and against instances without it that do not
   wait.  */
START_TEST (eager_start_campaigns_early)
{
  vote_req_t req
      = { .term = 4, .from = 2, .last_index = 2, .last_term = 2, .pre = true };

  solo_eager = false;
  raft_t *r = solo_new ();
  ck_assert (raft_recv (r, MSG_VOTE_REQ, &req, 1010, NULL));
  ck_assert (!solo.vote.granted);
  ck_assert (raft_tick (r, 1000 + RAFT_EAGER_START, NULL));
  ck_assert_int_eq (raft_role (r), RAFT_FOLLOWER);
  solo_eager = true;
  r = solo_new ();
  ck_assert (raft_recv (r, MSG_VOTE_REQ, &req, 1010, NULL));
  ck_assert (solo.vote.granted);
  ck_assert (raft_tick (r, 1000 + RAFT_EAGER_START, NULL));
  ck_assert_int_eq (raft_role (r), RAFT_CANDIDATE);
  solo_eager = false;
}
END_TEST

int
main (void)
{
  Suite *s = suite_create ("raft_one");
  TCase *o = tcase_create ("one");

  tcase_add_test (o, old_term_is_not_committed);
  tcase_add_test (o, hint_before_match);
  tcase_add_test (o, quorum_at_is_send_time);
  tcase_add_test (o, applies_in_batches);
  tcase_add_test (o, address_change);
  tcase_add_test (o, stores_before_response);
  tcase_add_test (o, corruption_stops_instance);
  tcase_add_test (o, full_disk_steps_down);
  tcase_add_test (o, full_disk_follows);
  tcase_add_test (o, full_disk_keeps_log);
  tcase_add_test (o, state_is_current_after_an_entry_of_the_term);
  tcase_add_test (o, committed_entries_stay);
  tcase_add_test (o, eager_start_campaigns_early);
  suite_add_tcase (s, o);
  SRunner *r = srunner_create (s);
  srunner_run_all (r, CK_NORMAL);
  int failed = srunner_ntests_failed (r);
  srunner_free (r);
  return failed ? EXIT_FAILURE : EXIT_SUCCESS;
}
