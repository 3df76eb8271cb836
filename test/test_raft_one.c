#include "raft.h"

#include <apr_general.h>
#include <check.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* One instance, with recorded messages.  */

typedef struct
{
  char trace[8000]; /* s: save, m: message type in order */
  bool fail;
  bool damaged; /* fails for good */
  int snaps;    /* own snapshots that were to be stored */
  vote_resp_t vote;
  append_req_t append;
  append_resp_t resp;
  int64_t applied;
} solo_t;

static void
note (solo_t *o, const char *what)
{
  size_t n = strlen (o->trace);

  snprintf (o->trace + n, sizeof o->trace - n, "%s ", what);
}

static void
solo_send (void *arg, int64_t to, msgtype_t type, const void *msg)
{
  solo_t *o = arg;

  (void)to;
  note (o, rpc_name (type));
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
  note (o, "save");
  return !o->fail
         || err_set (e, o->damaged ? ERR_CORRUPT : ERR_SYS, "state",
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

/* Instance 1 of voters 1, 2 and 3 in term 3, with an uncommitted entry of
   term 2 at index 2.  */
static bool solo_eager;

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

/* Guards against an entry of an older term being committed because a quorum
   stores it.  */
START_TEST (old_term_is_not_counted)
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

/* Guards against a follower that is never caught up because the start of its
   diverging term lies in front of an entry known to match.  Found by
   fuzzing.  */
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

/* Guards against quorum_at telling when an answer came instead of when its
   question was sent, and against answers of others counting.  */
START_TEST (quorum_at_is_the_time_of_sending)
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

/* Guards against a long log that is applied in one event, which would keep
   heartbeats waiting and depose the leader.  */
START_TEST (applies_in_parts)
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

/* Guards against a voter that moved to another address being added anew or
   losing its vote.  */
START_TEST (new_address)
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

/* Guards against answers that leave before what they promise is stored, and
   against a full disk ending the instance: what cannot be stored is neither
   answered nor held, and is taken once there is room.  */
START_TEST (store_before_answer)
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

/* Guards against an instance going on after the store failed in a way that
   does not pass.  */
START_TEST (damage_stops)
{
  raft_t *r = solo_new ();
  vote_req_t v = { .term = 5, .from = 2, .last_index = 9, .last_term = 4 };
  err_t e = { 0 };

  solo.fail = solo.damaged = true;
  ck_assert (!raft_recv (r, MSG_VOTE_REQ, &v, 2000, &e));
  ck_assert_int_eq (e.code, ERR_CORRUPT);
  ck_assert (!raft_tick (r, 5000, &e));
  ck_assert_str_eq (solo.trace, "save ");
  apr_pool_destroy (pool);
}
END_TEST

/* Guards against a leader that keeps its place while it cannot store what it
   is given, and against it campaigning or helping another campaign.  */
START_TEST (full_disk_gives_up_leading)
{
  raft_t *r = solo_new ();
  vote_req_t ask
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
  ck_assert (raft_recv (r, MSG_VOTE_REQ, &ask, 6000, NULL));
  ck_assert (!solo.vote.granted);
  solo.fail = false;
  for (msec_t now = 6010; now < 7000; now += 10)
    ck_assert (raft_tick (r, now, NULL));
  ck_assert_int_eq (raft_role (r), RAFT_CANDIDATE);
  apr_pool_destroy (pool);
}
END_TEST

/* Guards against an instance with a full disk dropping out: it follows a new
   leader and answers its heartbeats, but its vote is not given twice and no
   entry is acknowledged before the term is stored.  */
START_TEST (full_disk_follows)
{
  raft_t *r = solo_new ();
  append_req_t beat
      = { .term = 7, .from = 2, .prev_index = 2, .prev_term = 2 };
  vote_req_t v = { .term = 8, .from = 3, .last_index = 9, .last_term = 7 };
  log_entry_t x = { .term = 7, .index = 3, .data = STR ("x") };

  solo.fail = true;
  ck_assert (raft_recv (r, MSG_APPEND_REQ, &beat, 2000, NULL));
  ck_assert (solo.resp.ok);
  ck_assert_int_eq (solo.resp.match, 2);
  ck_assert_int_eq (raft_leader (r), 2);
  solo.trace[0] = '\0';
  ck_assert (raft_recv (r, MSG_VOTE_REQ, &v, 2900, NULL));
  ck_assert_ptr_null (strstr (solo.trace, "vote_resp"));
  solo.fail = false;
  beat.entries = (list_t){ &x, 1 };
  beat.term = 8;
  solo.trace[0] = '\0';
  ck_assert (raft_recv (r, MSG_APPEND_REQ, &beat, 3100, NULL));
  ck_assert_str_eq (solo.trace, "save save append_resp ");
  apr_pool_destroy (pool);
}
END_TEST

/* Guards against a snapshot that does not fit on the disk ending the instance
   or losing entries.  */
START_TEST (full_disk_keeps_the_log)
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

/* Guards against a message that rewrites what is committed.  */
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

/* Guards against instances without leases that restart together and wait for
   a leader that cannot exist, and against instances with leases that do not.
 */
START_TEST (eager_start_elects_at_once)
{
  vote_req_t ask
      = { .term = 4, .from = 2, .last_index = 2, .last_term = 2, .pre = true };

  solo_eager = false;
  raft_t *r = solo_new ();
  ck_assert (raft_recv (r, MSG_VOTE_REQ, &ask, 1010, NULL));
  ck_assert (!solo.vote.granted);
  ck_assert (raft_tick (r, 1000 + RAFT_EAGER_START, NULL));
  ck_assert_int_eq (raft_role (r), RAFT_FOLLOWER);
  solo_eager = true;
  r = solo_new ();
  ck_assert (raft_recv (r, MSG_VOTE_REQ, &ask, 1010, NULL));
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

  tcase_add_test (o, old_term_is_not_counted);
  tcase_add_test (o, hint_before_match);
  tcase_add_test (o, quorum_at_is_the_time_of_sending);
  tcase_add_test (o, applies_in_parts);
  tcase_add_test (o, new_address);
  tcase_add_test (o, store_before_answer);
  tcase_add_test (o, damage_stops);
  tcase_add_test (o, full_disk_gives_up_leading);
  tcase_add_test (o, full_disk_follows);
  tcase_add_test (o, full_disk_keeps_the_log);
  tcase_add_test (o, committed_entries_stay);
  tcase_add_test (o, eager_start_elects_at_once);
  suite_add_tcase (s, o);
  SRunner *r = srunner_create (s);
  srunner_run_all (r, CK_NORMAL);
  int failed = srunner_ntests_failed (r);
  srunner_free (r);
  return failed ? EXIT_FAILURE : EXIT_SUCCESS;
}
