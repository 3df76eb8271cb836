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

/* Guards against a running primary being replaced at the start.  */
START_TEST (running_primary_is_adopted)
{
  world_t *w = start (1);

  ck_assert_int_eq (term (w), 1);
  ck_assert_str_eq (world_group (w, 0)->primary, "db0");
  ck_assert_int_eq (world_audit_count (w, "adopted"), W_GROUPS);
  world_free (w);
}
END_TEST

/* Guards against a group without any primary staying without one.  */
START_TEST (first_primary_is_promoted)
{
  world_t *w = world_new (2, false);

  ck_assert (world_start (w));
  ck_assert_int_eq (term (w), 1);
  ck_assert (world_primary (w, 0)->primary);
  world_free (w);
}
END_TEST

/* Guards against writes that were confirmed being lost, and against a slow
   failover: the more advanced replica wins, within 2 s.  */
START_TEST (most_advanced_is_promoted)
{
  world_t *w = start (3);
  msec_t killed;

  w->db[1].lag_until = w->now + 60000;
  for (int i = 0; i < 10; i++)
    world_db_write (&w->db[0], i);
  world_run (w, 50);
  ck_assert_int_eq (w->db[0].confirmed, 10);
  killed = w->now;
  w->db[0].alive = false;
  ck_assert (world_until (w, second_term, 2000));
  ck_assert (w->now - killed <= 1200);
  ck_assert_str_eq (world_group (w, 0)->primary, "db2");
  ck_assert_int_eq (world_primary (w, 0)->pos, 10);
  world_free (w);
}
END_TEST

/* Guards against the old primary's return: it follows and loses its tail.  */
START_TEST (old_primary_follows)
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

/* Guards against a promotion by a minority, and against silence about it.  */
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

/* Guards against a single opinion or a single missed probe replacing the
   primary, while leases stop at once.  */
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

/* Guards against promotions in circles: right after a repair 400 ms of silence
   are not enough, 1 s is.  */
START_TEST (second_loss_after_repair)
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

/* Guards against opinions from before a promotion deposing the new primary at
   once: seven promotions within a second were seen at a start.  */
START_TEST (opinions_restart_with_a_promotion)
{
  world_t *w = start (20);
  mem_t *m = world_member (w, 0);

  for (int i = 0; i < m->nobs; i++)
    {
      m->obs[i].control = m->obs[i].reachable = false;
      m->obs[i].at = w->now;
      m->obs[i].bad_since = m->obs[i].ok = w->now - CTL_LOST;
    }
  ck_assert_ptr_nonnull (
      detect_lost (world_leader (w), world_group (w, 0), w->now));
  detect_grace (m, w->now);
  ck_assert_ptr_null (
      detect_lost (world_leader (w), world_group (w, 0), w->now));
  world_free (w);
}
END_TEST

/* Guards against a refused connection deposing a primary that answers on other
   connections: one failover in nine was followed by a second one.  */
START_TEST (answers_outweigh_a_refused_connection)
{
  world_t *w = start (22);
  mem_t *m = world_member (w, 0);

  for (int i = 0; i < m->nobs; i++)
    {
      m->obs[i].control = m->obs[i].reachable = false;
      m->obs[i].at = w->now;
      m->obs[i].ok = w->now - CTL_LOST / 2;
      m->obs[i].bad_since = w->now - 3 * CTL_LOST;
    }
  ck_assert_ptr_null (
      detect_lost (world_leader (w), world_group (w, 0), w->now));
  world_free (w);
}
END_TEST

/* Guards against entry instances that have not asked a new primary since its
   promotion being counted as having lost it.  */
START_TEST (roles_of_earlier_terms_say_nothing)
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

/* Guards against a flapping primary causing one promotion after another.  */
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

/* Guards against a failover that stays half done when the leader dies.  */
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

/* Guards against a promotion while leases of a former leader may hold.  */
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

/* Guards against a database that lost its data counting among the fenced: an
   acknowledged write that only it had must not be voted away.  */
START_TEST (lost_disk_does_not_count)
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

/* Guards against a primary keeping the role although its replicas lost it. */
START_TEST (replicas_lost_the_primary)
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

/* Guards against a leaving primary keeping the role.  */
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
                        old_primary_follows,
                        no_majority_no_promotion,
                        one_observer_is_not_enough,
                        second_loss_after_repair,
                        flapping_group,
                        opinions_restart_with_a_promotion,
                        answers_outweigh_a_refused_connection,
                        roles_of_earlier_terms_say_nothing,
                        resumed_by_next_leader,
                        new_leader_waits,
                        lost_disk_does_not_count,
                        replicas_lost_the_primary,
                        leaving_primary_is_replaced };
  int failed;

  world_run_tests ("control_failover", t, sizeof t / sizeof *t, &failed);
  return failed ? EXIT_FAILURE : EXIT_SUCCESS;
}
