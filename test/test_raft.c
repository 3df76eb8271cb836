#include "raft.h"
#include "sim.h"

#include <apr_general.h>
#include <check.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

static void
propose_records (sim_t *s, int n)
{
  for (int i = 0; i < n; i++)
    {
      int l = sim_wait_leader (s, 3000);
      ck_assert_int_ge (l, 0);
      ck_assert (sim_propose (s, l, STR ("record")));
      sim_run (s, 10);
    }
}

static void
settle (sim_t *s)
{
  ck_assert_str_eq (s->violation, "");
  sim_settle (s, 5000);
  ck_assert_str_eq (s->violation, "");
  sim_free (s);
}

/* Guards against a cluster that elects no leader, and against records that do
   not reach every member.  */
START_TEST (elects_and_commits)
{
  sim_t *s = sim_new (1, 3, 3);

  propose_records (s, 100);
  settle (s);
}
END_TEST

/* Guards against an isolated member that deposes the leader when it is
   reconnected (pre-vote).  */
START_TEST (rejoin_keeps_term)
{
  sim_t *s = sim_new (2, 3, 3);
  int l = sim_wait_leader (s, 2000);
  int64_t term = raft_term (s->node[l].raft);
  int f = (l + 1) % 3;

  sim_isolate (s, f, true);
  sim_run (s, 3000);
  ck_assert_int_eq (raft_term (s->node[f].raft), term);
  sim_isolate (s, f, false);
  sim_run (s, 1000);
  ck_assert_int_eq (sim_leader (s), l);
  ck_assert_int_eq (raft_term (s->node[l].raft), term);
  settle (s);
}
END_TEST

/* Guards against a member that deposes the leader when only the link between
   the two is down (leader stickiness).  */
START_TEST (member_without_link_to_leader)
{
  sim_t *s = sim_new (3, 3, 3);
  int l = sim_wait_leader (s, 2000);
  int64_t term = raft_term (s->node[l].raft);

  sim_cut (s, l, (l + 1) % 3, true);
  sim_run (s, 3000);
  ck_assert_int_eq (sim_leader (s), l);
  ck_assert_int_eq (raft_term (s->node[l].raft), term);
  settle (s);
}
END_TEST

/* Guards against a leader that stays leader after a partition separates it
   from the quorum (check-quorum), and against its uncommitted entries being
   kept.
 */
START_TEST (stale_leader_steps_down)
{
  sim_t *s = sim_new (4, 3, 3);
  propose_records (s, 5);
  int l = sim_wait_leader (s, 2000);
  msec_t cut = s->now;

  sim_isolate (s, l, true);
  sim_run (s, 20);
  for (int i = 0; i < 3; i++)
    ck_assert (sim_propose (s, l, STR ("lost")));
  ck_assert_int_le (raft_quorum_at (s->node[l].raft), cut);
  sim_run (s, RAFT_ELECTION_MAX + 60);
  ck_assert_int_ne (raft_role (s->node[l].raft), RAFT_LEADER);
  ck_assert (!sim_propose (s, l, STR ("refused")));
  propose_records (s, 40);
  ck_assert_int_ne (sim_leader (s), l);
  ck_assert_int_lt (s->node[l].applied, 10);
  sim_isolate (s, l, false);
  sim_run (s, 1000);
  ck_assert_int_ge (s->node[l].applied, 40);
  settle (s);
}
END_TEST

/* Guards against a minority that elects a leader or commits entries.  */
START_TEST (minority_cannot_commit)
{
  sim_t *s = sim_new (5, 5, 5);
  int l = sim_wait_leader (s, 2000);
  int64_t before;

  for (int i = 1; i <= 3; i++)
    sim_crash (s, (l + i) % 5);
  before = s->committed;
  sim_propose (s, l, STR ("uncommitted"));
  sim_run (s, 3000);
  ck_assert_int_eq (sim_leader (s), -1);
  ck_assert_int_eq (s->committed, before);
  settle (s);
}
END_TEST

static int
count_voters (const raft_t *r)
{
  const members_t *m = raft_member_list (r);
  int n = 0;

  for (size_t i = 0; i < m->list.n; i++)
    n += LIST_AT (m->list, member_t, i)->voter;
  return n;
}

/* Runs the cluster until the instance of SLOT is a voter.  */
static void
wait_for_voter (sim_t *s, int slot)
{
  for (int i = 0; i < 100; i++)
    {
      int l = sim_wait_leader (s, 3000);
      ck_assert_int_ge (l, 0);
      const member_t *m = raft_member (s->node[l].raft, s->node[slot].id);
      if (m && m->voter)
        return;
      sim_join (s);
      sim_run (s, 50);
    }
  ck_abort_msg ("instance did not become a voter: %s", s->violation);
}

/* Guards against an instance that votes under its old identity after it lost
   its disk, against the old identity remaining a voter, and against the loss
   of committed records when a second disk is lost right after the repair.  */
START_TEST (disk_loss_is_repaired)
{
  sim_t *s = sim_new (6, 3, 3);
  propose_records (s, 60);
  int l = sim_wait_leader (s, 2000);
  int a = (l + 1) % 3;
  int b = (l + 2) % 3;
  int64_t old = s->node[a].id;

  sim_wipe_disk (s, a);
  ck_assert (sim_start (s, a));
  ck_assert_int_ne (s->node[a].id, old);
  wait_for_voter (s, a);
  l = sim_wait_leader (s, 2000);
  ck_assert_ptr_null (raft_member (s->node[l].raft, old));
  ck_assert_int_eq (count_voters (s->node[l].raft), 3);
  sim_wipe_disk (s, b);
  ck_assert (sim_start (s, b));
  wait_for_voter (s, b);
  l = sim_wait_leader (s, 2000);
  sim_wipe_disk (s, l);
  ck_assert (sim_start (s, l));
  wait_for_voter (s, l);
  propose_records (s, 5);
  settle (s);
}
END_TEST

/* Guards against an instance with an empty disk counting towards the quorum
   before it has caught up: with a second voter down there is no quorum.  */
START_TEST (learner_has_no_vote)
{
  sim_t *s = sim_new (7, 3, 3);
  propose_records (s, 30);
  int l = sim_wait_leader (s, 2000);
  int a = (l + 1) % 3;

  sim_wipe_disk (s, a);
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
  settle (s);
}
END_TEST

/* Guards against two concurrent changes of membership, and against a new
   instance that votes before it has the log.  */
START_TEST (one_change_at_a_time)
{
  sim_t *s = sim_new (8, 5, 3);
  propose_records (s, 60);
  int l = sim_wait_leader (s, 2000);
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
  ck_assert_int_eq (count_voters (r), 3);
  wait_for_voter (s, 3);
  wait_for_voter (s, 4);
  ck_assert_int_eq (count_voters (s->node[sim_wait_leader (s, 2000)].raft), 5);
  settle (s);
}
END_TEST

/* Guards against an uncommitted removal that blocks all elections: the removed
   instance has the longest log, so it has to campaign itself.  Found by
   fuzzing.  */
START_TEST (removed_instance_campaigns)
{
  sim_t *s = sim_new (11, 2, 2);
  int l = sim_wait_leader (s, 2000);
  int a = 1 - l;
  member_t m = { .id = s->node[l].id };

  propose_records (s, 3);
  sim_isolate (s, l, true);
  ck_assert (raft_members (s->node[l].raft, MEMBER_REMOVE, &m, s->now, NULL));
  sim_run (s, 700);
  sim_isolate (s, l, false);
  ck_assert_int_ge (sim_wait_leader (s, 5000), 0);
  ck_assert_int_eq (count_voters (s->node[a].raft), 1);
  settle (s);
}
END_TEST

/* Guards against a leader that stays leader after its own removal.  */
START_TEST (leader_is_removed)
{
  sim_t *s = sim_new (9, 4, 4);
  int l = sim_wait_leader (s, 2000);
  member_t m = { .id = s->node[l].id };

  propose_records (s, 3);
  ck_assert (raft_members (s->node[l].raft, MEMBER_REMOVE, &m, s->now, NULL));
  sim_run (s, 1500);
  int k = sim_wait_leader (s, 3000);
  ck_assert_int_ge (k, 0);
  ck_assert_int_ne (k, l);
  ck_assert_int_eq (count_voters (s->node[k].raft), 3);
  settle (s);
}
END_TEST

/* Guards against corruption of a snapshot of several chunks, and against lost
   chunks that stop the transfer.  */
START_TEST (snapshot_in_chunks)
{
  sim_t *s = sim_new (10, 3, 3);
  s->padding = 3 * RPC_SNAP_CHUNK + 77;
  int l = sim_wait_leader (s, 2000);
  int f = (l + 1) % 3;

  sim_crash (s, f);
  propose_records (s, 80);
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
  settle (s);
}
END_TEST

int
main (void)
{
  Suite *s = suite_create ("raft");
  TCase *c = tcase_create ("cluster");

  tcase_set_timeout (c, 60);
  tcase_add_test (c, elects_and_commits);
  tcase_add_test (c, rejoin_keeps_term);
  tcase_add_test (c, member_without_link_to_leader);
  tcase_add_test (c, stale_leader_steps_down);
  tcase_add_test (c, minority_cannot_commit);
  tcase_add_test (c, disk_loss_is_repaired);
  tcase_add_test (c, learner_has_no_vote);
  tcase_add_test (c, one_change_at_a_time);
  tcase_add_test (c, removed_instance_campaigns);
  tcase_add_test (c, leader_is_removed);
  tcase_add_test (c, snapshot_in_chunks);
  suite_add_tcase (s, c);
  SRunner *r = srunner_create (s);
  srunner_run_all (r, CK_NORMAL);
  int failed = srunner_ntests_failed (r);
  srunner_free (r);
  return failed ? EXIT_FAILURE : EXIT_SUCCESS;
}
