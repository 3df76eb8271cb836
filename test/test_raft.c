#include "raft.h"
#include "sim.h"

#include <apr_general.h>
#include <check.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* ---- whole clusters ---- */

static void
records (sim_t *s, int n)
{
  for (int i = 0; i < n; i++)
    {
      int l = sim_wait (s, 3000);
      ck_assert_int_ge (l, 0);
      ck_assert (sim_propose (s, l, STR ("record")));
      sim_run (s, 10);
    }
}

static void
done (sim_t *s)
{
  ck_assert_str_eq (s->fault, "");
  sim_settle (s, 5000);
  ck_assert_str_eq (s->fault, "");
  sim_free (s);
}

/* Guards against a cluster without a leader, and against records that do not
   reach every member.  */
START_TEST (elects_and_commits)
{
  sim_t *s = sim_new (1, 3, 3);

  records (s, 100);
  done (s);
}
END_TEST

/* Guards against a member that was cut off deposing the leader when it
   returns (pre-vote).  */
START_TEST (return_keeps_the_term)
{
  sim_t *s = sim_new (2, 3, 3);
  int l = sim_wait (s, 2000);
  int64_t term = raft_term (s->node[l].raft);
  int f = (l + 1) % 3;

  sim_isolate (s, f, true);
  sim_run (s, 3000);
  ck_assert_int_eq (raft_term (s->node[f].raft), term);
  sim_isolate (s, f, false);
  sim_run (s, 1000);
  ck_assert_int_eq (sim_leader (s), l);
  ck_assert_int_eq (raft_term (s->node[l].raft), term);
  done (s);
}
END_TEST

/* Guards against a member that only fails to hear the leader deposing it
   while the others hear it (leader stickiness).  */
START_TEST (one_deaf_member)
{
  sim_t *s = sim_new (3, 3, 3);
  int l = sim_wait (s, 2000);
  int64_t term = raft_term (s->node[l].raft);

  sim_cut (s, l, (l + 1) % 3, true);
  sim_run (s, 3000);
  ck_assert_int_eq (sim_leader (s), l);
  ck_assert_int_eq (raft_term (s->node[l].raft), term);
  done (s);
}
END_TEST

/* Guards against a leader on the far side of a partition that goes on leading,
   and against its entries being kept.  */
START_TEST (stale_leader_steps_down)
{
  sim_t *s = sim_new (4, 3, 3);
  records (s, 5);
  int l = sim_wait (s, 2000);
  msec_t cut = s->now;

  sim_isolate (s, l, true);
  sim_run (s, 20);
  for (int i = 0; i < 3; i++)
    ck_assert (sim_propose (s, l, STR ("lost")));
  ck_assert_int_le (raft_quorum_at (s->node[l].raft), cut);
  sim_run (s, RAFT_ELECTION_MAX + 60);
  ck_assert_int_ne (raft_role (s->node[l].raft), RAFT_LEADER);
  ck_assert (!sim_propose (s, l, STR ("refused")));
  records (s, 40);
  ck_assert_int_ne (sim_leader (s), l);
  ck_assert_int_lt (s->node[l].applied, 10);
  sim_isolate (s, l, false);
  sim_run (s, 1000);
  ck_assert_int_ge (s->node[l].applied, 40);
  done (s);
}
END_TEST

/* Guards against a minority that elects a leader or commits.  */
START_TEST (minority_does_nothing)
{
  sim_t *s = sim_new (5, 5, 5);
  int l = sim_wait (s, 2000);
  int64_t before;

  for (int i = 1; i <= 3; i++)
    sim_crash (s, (l + i) % 5);
  before = s->committed;
  sim_propose (s, l, STR ("uncommitted"));
  sim_run (s, 3000);
  ck_assert_int_eq (sim_leader (s), -1);
  ck_assert_int_eq (s->committed, before);
  done (s);
}
END_TEST

static int
voters_in (const raft_t *r)
{
  const members_t *m = raft_member_list (r);
  int n = 0;

  for (size_t i = 0; i < m->list.n; i++)
    n += LIST_AT (m->list, member_t, i)->voter;
  return n;
}

/* Runs until the id of SLOT is a voter.  */
static void
repaired (sim_t *s, int slot)
{
  for (int i = 0; i < 100; i++)
    {
      int l = sim_wait (s, 3000);
      ck_assert_int_ge (l, 0);
      const member_t *m = raft_member (s->node[l].raft, s->node[slot].id);
      if (m && m->voter)
        return;
      sim_join (s);
      sim_run (s, 50);
    }
  ck_abort_msg ("instance did not become a voter: %s", s->fault);
}

/* Guards against a lost disk that keeps its old vote, against an old identity
   that stays a voter, and against a second loss right after the repair taking
   committed records with it.  */
START_TEST (lost_disks)
{
  sim_t *s = sim_new (6, 3, 3);
  records (s, 60);
  int l = sim_wait (s, 2000);
  int a = (l + 1) % 3;
  int b = (l + 2) % 3;
  int64_t old = s->node[a].id;

  sim_lose_disk (s, a);
  ck_assert (sim_start (s, a));
  ck_assert_int_ne (s->node[a].id, old);
  repaired (s, a);
  l = sim_wait (s, 2000);
  ck_assert_ptr_null (raft_member (s->node[l].raft, old));
  ck_assert_int_eq (voters_in (s->node[l].raft), 3);
  sim_lose_disk (s, b);
  ck_assert (sim_start (s, b));
  repaired (s, b);
  l = sim_wait (s, 2000);
  sim_lose_disk (s, l);
  ck_assert (sim_start (s, l));
  repaired (s, l);
  records (s, 5);
  done (s);
}
END_TEST

/* Guards against an instance with an empty disk being counted before it has
   caught up: with one voter down as well there is no quorum.  */
START_TEST (learner_does_not_count)
{
  sim_t *s = sim_new (7, 3, 3);
  records (s, 30);
  int l = sim_wait (s, 2000);
  int a = (l + 1) % 3;

  sim_lose_disk (s, a);
  sim_crash (s, (l + 2) % 3);
  ck_assert (sim_start (s, a));
  int64_t before = s->committed;
  for (int i = 0; i < 30; i++)
    {
      sim_run (s, 100);
      sim_join (s);
    }
  ck_assert_int_eq (sim_leader (s), -1);
  ck_assert_int_eq (s->committed, before);
  const member_t *m = raft_member (s->node[l].raft, s->node[a].id);
  ck_assert (m == NULL || !m->voter);
  done (s);
}
END_TEST

/* Guards against two changes of membership at once, and against a new
   instance that votes before it holds the log.  */
START_TEST (one_change_at_a_time)
{
  sim_t *s = sim_new (8, 5, 3);
  records (s, 60);
  int l = sim_wait (s, 2000);
  raft_t *r = s->node[l].raft;
  member_t m
      = { .id = s->node[3].id, .name = STR ("3"), .address = STR ("3") };
  member_t k
      = { .id = s->node[4].id, .name = STR ("4"), .address = STR ("4") };
  member_t again = { .id = 999, .name = STR ("0"), .address = STR ("0") };
  err_t e = { 0 };

  ck_assert (!raft_members (r, MEMBER_ADD, &again, s->now, &e));
  ck_assert_int_eq (e.code, ERR_CONFLICT);
  ck_assert (raft_members (r, MEMBER_ADD, &m, s->now, &e));
  ck_assert (!raft_members (r, MEMBER_ADD, &k, s->now, &e));
  ck_assert_int_eq (e.code, ERR_FULL);
  ck_assert_int_eq (voters_in (r), 3);
  repaired (s, 3);
  repaired (s, 4);
  ck_assert_int_eq (voters_in (s->node[sim_wait (s, 2000)].raft), 5);
  done (s);
}
END_TEST

/* Guards against a removal that is not committed stopping all elections: the
   removed instance holds the longest log, so it has to campaign itself.  Found
   by fuzzing.  */
START_TEST (removed_instance_campaigns)
{
  sim_t *s = sim_new (11, 2, 2);
  int l = sim_wait (s, 2000);
  int a = 1 - l;
  member_t m = { .id = s->node[l].id };

  records (s, 3);
  sim_isolate (s, l, true);
  ck_assert (raft_members (s->node[l].raft, MEMBER_REMOVE, &m, s->now, NULL));
  sim_run (s, 700);
  sim_isolate (s, l, false);
  ck_assert_int_ge (sim_wait (s, 5000), 0);
  ck_assert_int_eq (voters_in (s->node[a].raft), 1);
  done (s);
}
END_TEST

/* Guards against a leader that goes on leading a membership without it.  */
START_TEST (leader_is_removed)
{
  sim_t *s = sim_new (9, 4, 4);
  int l = sim_wait (s, 2000);
  member_t m = { .id = s->node[l].id };

  records (s, 3);
  ck_assert (raft_members (s->node[l].raft, MEMBER_REMOVE, &m, s->now, NULL));
  sim_run (s, 1500);
  int k = sim_wait (s, 3000);
  ck_assert_int_ge (k, 0);
  ck_assert_int_ne (k, l);
  ck_assert_int_eq (voters_in (s->node[k].raft), 3);
  done (s);
}
END_TEST

/* Guards against a snapshot of several chunks arriving damaged, and against
   lost chunks stopping the transfer.  */
START_TEST (snapshot_in_chunks)
{
  sim_t *s = sim_new (10, 3, 3);
  s->fill = 3 * RPC_SNAP_CHUNK + 77;
  int l = sim_wait (s, 2000);
  int f = (l + 1) % 3;

  sim_crash (s, f);
  records (s, 80);
  ck_assert (sim_start (s, f));
  for (int i = 0; i < 40; i++)
    {
      sim_tick (s, 10);
      if (s->queued > 2)
        sim_drop (s, 1);
      while (sim_deliver (s, 0, false))
        ;
    }
  sim_run (s, 2000);
  ck_assert_int_ge (s->node[f].applied, 80);
  done (s);
}
END_TEST

/* ---- one instance, with recorded messages ---- */

typedef struct
{
  char trace[400]; /* s: save, m: message type in order */
  bool fail;
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
  return !o->fail || err_set (e, ERR_SYS, "state", "no space");
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
static raft_t *
solo_new (void)
{
  static log_entry_t v[2];
  static buf_t b;
  member_t m[3] = { { 1, true, STR ("a"), STR ("1") },
                    { 2, true, STR ("b"), STR ("2") },
                    { 3, true, STR ("c"), STR ("3") } };
  members_t ms = { .list = { m, 3 } };
  raft_conf_t conf = { 0 };

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
  ck_assert (!raft_leads (r));
  a.match = 3;
  ck_assert (raft_recv (r, MSG_APPEND_RESP, &a, 2010, NULL));
  ck_assert_int_eq (raft_commit (r), 3);
  ck_assert_int_eq (solo.applied, 3);
  ck_assert (raft_leads (r));
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

/* Guards against answers that leave before what they promise is stored, and
   against going on after the store failed.  */
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
  ck_assert (!raft_recv (r, MSG_APPEND_REQ, &a, 2020, &e));
  ck_assert_int_eq (e.code, ERR_SYS);
  ck_assert_str_eq (solo.trace, "save ");
  ck_assert (!raft_tick (r, 5000, &e));
  ck_assert_str_eq (solo.trace, "save ");
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

int
main (void)
{
  Suite *s = suite_create ("raft");
  TCase *c = tcase_create ("cluster");
  TCase *o = tcase_create ("one");

  tcase_set_timeout (c, 60);
  tcase_add_test (c, elects_and_commits);
  tcase_add_test (c, return_keeps_the_term);
  tcase_add_test (c, one_deaf_member);
  tcase_add_test (c, stale_leader_steps_down);
  tcase_add_test (c, minority_does_nothing);
  tcase_add_test (c, lost_disks);
  tcase_add_test (c, learner_does_not_count);
  tcase_add_test (c, one_change_at_a_time);
  tcase_add_test (c, removed_instance_campaigns);
  tcase_add_test (c, leader_is_removed);
  tcase_add_test (c, snapshot_in_chunks);
  tcase_add_test (o, old_term_is_not_counted);
  tcase_add_test (o, hint_before_match);
  tcase_add_test (o, quorum_at_is_the_time_of_sending);
  tcase_add_test (o, applies_in_parts);
  tcase_add_test (o, store_before_answer);
  tcase_add_test (o, committed_entries_stay);
  suite_add_tcase (s, c);
  suite_add_tcase (s, o);
  SRunner *r = srunner_create (s);
  srunner_run_all (r, CK_NORMAL);
  int failed = srunner_ntests_failed (r);
  srunner_free (r);
  return failed ? EXIT_FAILURE : EXIT_SUCCESS;
}
