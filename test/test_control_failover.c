#include "world.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

static world_t *
start (uint64_t seed)
{
  world_t *w = world_new (seed, true);

  ck_assert (world_start (w));
  return w;
}

static int64_t
term (world_t *w)
{
  return world_group (w, 0)->term;
}

static bool
second_term (world_t *w)
{
  return world_settled (w) && term (w) == 2;
}

static bool
third_term (world_t *w)
{
  return world_settled (w) && term (w) == 3;
}

/* Guards against replacing a running primary at the start.  */
START_TEST (running_primary_is_adopted)
{
  world_t *w = start (1);

  ck_assert_int_eq (term (w), 1);
  ck_assert_str_eq (world_group (w, 0)->primary, "db0");
  ck_assert_int_eq (world_audit_count (w, "adopted"), W_GROUPS);
  world_free (w);
}
END_TEST

/* Guards against leaving a group that has no primary without one.  */
START_TEST (first_primary_is_promoted)
{
  world_t *w = world_new (2, false);

  ck_assert (world_start (w));
  ck_assert_int_eq (term (w), 1);
  ck_assert (world_primary (w, 0)->primary);
  world_free (w);
}
END_TEST

/* Guards against the loss of confirmed writes and against a slow failover: the
   more advanced replica is promoted, within 1.2 s.  */
START_TEST (most_advanced_is_promoted)
{
  world_t *w = start (3);
  msec_t stopped_at;

  w->db[1].lag_until = w->now + 60000;
  for (int i = 0; i < 10; i++)
    world_db_write (&w->db[0], i);
  world_run (w, 50);
  ck_assert_int_eq (w->db[0].confirmed, 10);
  stopped_at = w->now;
  w->db[0].alive = false;
  ck_assert (world_until (w, second_term, 2000));
  ck_assert (w->now - stopped_at <= 1200);
  ck_assert_str_eq (world_group (w, 0)->primary, "db2");
  ck_assert_int_eq (world_primary (w, 0)->pos, 10);
  world_free (w);
}
END_TEST

/* Guards against a former primary that keeps its role or its unconfirmed
   writes when it restarts: it must follow the new primary.  */
START_TEST (former_primary_follows)
{
  world_t *w = start (4);

  w->db[0].alive = false;
  ck_assert (world_until (w, second_term, 3000));
  world_db_write (&w->db[0], 99); /* never confirmed */
  w->db[0].alive = true;
  world_run (w, 1500);
  ck_assert (!w->db[0].primary);
  ck_assert_int_eq (world_db_term (&w->db[0]), 2);
  ck_assert_int_eq (w->db[0].pos, 0);
  ck_assert_int_eq (mem_state (world_member (w, 0)), DB_ACTIVE);
  ck_assert_int_ge (world_audit_count (w, "told to follow"), 2);
  world_free (w);
}
END_TEST

/* Guards against a promotion by a minority, and against refusing it without an
   audit record.  */
START_TEST (no_majority_no_promotion)
{
  world_t *w = start (5);

  w->db[0].alive = w->db[1].alive = false;
  world_run (w, 3000);
  ck_assert_int_eq (term (w), 1);
  ck_assert_int_eq (world_audit_count (w, "no majority of the databases"), 1);
  ck_assert (!w->db[2].primary);
  w->db[1].alive = true;
  ck_assert (world_until (w, second_term, 3000));
  world_free (w);
}
END_TEST

/* Guards against a failover because a single control instance does not reach
   the primary.  */
START_TEST (one_observer_is_not_enough)
{
  world_t *w = start (6);
  int z = w->leader % W_ZONES;

  w->cut[z][w->db[0].zone] = z != w->db[0].zone;
  w->cut[w->db[0].zone][z] = z != w->db[0].zone;
  world_run (w, 2000);
  ck_assert_int_eq (term (w), 1);
  world_free (w);
}
END_TEST

/* Guards against repeated promotions: right after a promotion, 400 ms without
   an answer do not cause another one, 1 s does.  */
START_TEST (second_failure_after_promotion)
{
  world_t *w = start (7);

  w->db[0].alive = false;
  ck_assert (world_until (w, second_term, 3000));
  w->db[0].alive = true;
  world_run (w, 600);
  world_db_t *p = world_primary (w, 0);
  p->frozen = true;
  world_run (w, 800);
  ck_assert_int_eq (term (w), 2);
  p->frozen = false;
  world_run (w, 300);
  p->frozen = true;
  ck_assert (world_until (w, third_term, 3000));
  world_free (w);
}
END_TEST

/* Guards against observations from before a promotion counting against the new
   primary: they caused seven promotions within a second at a start.  */
START_TEST (observations_restart_with_a_promotion)
{
  world_t *w = start (20);
  mem_t *m = world_member (w, 0);

  for (int i = 0; i < m->nobs; i++)
    {
      m->obs[i].control = m->obs[i].reachable = false;
      m->obs[i].at = w->now;
      m->obs[i].failing_since = m->obs[i].ok = w->now - CTL_FAIL_TIMEOUT;
    }
  ck_assert_ptr_nonnull (
      detect_unreachable (world_leader (w), world_group (w, 0), w->now));
  detect_reset (m, w->now);
  ck_assert_ptr_null (
      detect_unreachable (world_leader (w), world_group (w, 0), w->now));
  world_free (w);
}
END_TEST

/* Guards against a refused connection counting against a primary that answers
   on other connections: one failover in nine caused a second one.  */
START_TEST (answers_outweigh_a_refused_connection)
{
  world_t *w = start (22);
  mem_t *m = world_member (w, 0);

  for (int i = 0; i < m->nobs; i++)
    {
      m->obs[i].control = m->obs[i].reachable = false;
      m->obs[i].at = w->now;
      m->obs[i].ok = w->now - CTL_FAIL_TIMEOUT / 2;
      m->obs[i].failing_since = w->now - 3 * CTL_FAIL_TIMEOUT;
    }
  ck_assert_ptr_null (
      detect_unreachable (world_leader (w), world_group (w, 0), w->now));
  world_free (w);
}
END_TEST

/* Guards against counting the primary as unreachable for entry instances that
   have not queried it since its promotion.  */
START_TEST (roles_of_earlier_terms_are_ignored)
{
  world_t *w = start (21);
  mem_t *m = world_member (w, 0);
  probe_t p = { .name = str_of (m->name),
                .address = str_of (m->address),
                .reachable = true,
                .term = 0,
                .role = STR ("replica") };

  m->nobs = 0;
  detect_probe (world_leader (w), STR ("ent0"), false, &p, w->now);
  ck_assert (m->obs[0].reachable);
  p.term = 1;
  detect_probe (world_leader (w), STR ("ent0"), false, &p, w->now);
  ck_assert (!m->obs[0].reachable);
  world_free (w);
}
END_TEST

/* Guards against a promotion at each outage of a flapping primary.  */
START_TEST (flapping_group)
{
  world_t *w = start (8);

  for (int i = 0; i < 40; i++)
    {
      world_db_t *p = world_primary (w, 0);
      p->frozen = true;
      world_run (w, 450);
      p->frozen = false;
      world_run (w, 50);
    }
  ck_assert_int_le (term (w), 6);
  world_free (w);
}
END_TEST

/* Guards against a failover that remains incomplete when the leader fails.  */
START_TEST (resumed_by_next_leader)
{
  world_t *w = start (9);

  w->db[0].alive = false;
  for (int i = 0; i < 400 && !world_group (w, 0)->intent; i++)
    world_run (w, W_STEP);
  ck_assert (world_group (w, 0)->intent);
  w->ctl[w->leader].alive = false;
  w->leader = -1;
  ck_assert (world_until (w, world_settled, 4000));
  ck_assert_int_ge (term (w), 2);
  ck_assert_int_ge (world_audit_count (w, "resumed after a change"), 1);
  world_free (w);
}
END_TEST

/* Guards against a promotion while leases of a former leader may be valid.  */
START_TEST (new_leader_waits)
{
  world_t *w = start (10);
  control_t *c;

  w->ctl[w->leader].alive = false;
  w->db[0].frozen = true;
  w->leader = -1;
  while (!world_leader (w) || !control_ready (world_leader (w)))
    world_run (w, W_STEP);
  c = world_leader (w);
  while (term (w) == 1)
    world_run (w, W_STEP);
  ck_assert_int_ge (w->now - c->role_at, CTL_LEASE_WAIT);
  world_free (w);
}
END_TEST

/* Guards against counting a database without its data among the fenced: an
   acknowledged write that only it had replicated must not be lost.  */
START_TEST (database_without_data_is_not_counted)
{
  world_t *w = start (11);

  w->db[2].lag_until = w->now + 60000;
  for (int i = 0; i < 5; i++)
    world_db_write (&w->db[0], i);
  world_run (w, 2500);
  w->db[1].lag_until = w->now + 60000;
  world_db_wipe (&w->db[1]);
  w->db[0].alive = false;
  world_run (w, 3000);
  ck_assert (!w->db[1].primary && !w->db[2].primary);
  w->db[0].alive = true;
  ck_assert (world_until (w, world_settled, 4000));
  ck_assert_int_eq (world_primary (w, 0)->pos, 5);
  world_free (w);
}
END_TEST

/* Guards against a primary that keeps its role although its replicas do not
   reach it.  */
START_TEST (replicas_do_not_reach_the_primary)
{
  world_t *w = start (12);

  for (int z = 0; z < W_ZONES; z++)
    if (z != w->db[0].zone)
      snprintf (w->db[z].upstream, sizeof w->db[z].upstream, "nowhere");
  ck_assert (world_until (w, second_term, 3000));
  ck_assert_int_eq (world_audit_count (w, "a majority of the replicas"), 1);
  world_free (w);
}
END_TEST

/* Guards against a leaving primary that keeps its role.  */
START_TEST (leaving_primary_is_replaced)
{
  world_t *w = start (13);

  w->db[0].leaving = true;
  ck_assert (world_until (w, second_term, 3000));
  ck_assert_str_ne (world_group (w, 0)->primary, "db0");
  world_run (w, 1000);
  ck_assert_int_eq (term (w), 2);
  world_free (w);
}
END_TEST

int
main (void)
{
  const tests_t t[] = { running_primary_is_adopted,
                        first_primary_is_promoted,
                        most_advanced_is_promoted,
                        former_primary_follows,
                        no_majority_no_promotion,
                        one_observer_is_not_enough,
                        second_failure_after_promotion,
                        flapping_group,
                        observations_restart_with_a_promotion,
                        answers_outweigh_a_refused_connection,
                        roles_of_earlier_terms_are_ignored,
                        resumed_by_next_leader,
                        new_leader_waits,
                        database_without_data_is_not_counted,
                        replicas_do_not_reach_the_primary,
                        leaving_primary_is_replaced };
  int failed;

  world_run_tests ("control_failover", t, sizeof t / sizeof *t, &failed);
  return failed ? EXIT_FAILURE : EXIT_SUCCESS;
}
