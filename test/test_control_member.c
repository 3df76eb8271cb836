#include "world.h"

#include <stdlib.h>
#include <string.h>

static world_t *
start (uint64_t seed)
{
  world_t *w = world_new (seed, true);

  ck_assert (world_start (w));
  return w;
}

static db_t *
db_in_view (world_t *w, int entry, int db)
{
  return view_db (w->ent[entry].view, str_of (w->db[db].name));
}

static void
announce (world_t *w, const char *name, const char *address, int64_t term,
          int64_t pos)
{
  announce_t a = { .group = STR ("g0"),
                   .name = str_of (name),
                   .address = str_of (address),
                   .zone = STR ("z"),
                   .term = term,
                   .position = pos };

  member_announce (world_leader (w), &a, w->now);
  world_run (w, 100);
}

/* Guards against routing work to a replica that announced it is leaving.  */
START_TEST (leaving_is_visible_within_500_ms)
{
  world_t *w = start (1);

  w->db[1].leaving = true;
  world_run (w, 500);
  for (int e = 0; e < W_ENTRIES; e++)
    ck_assert_int_eq (db_in_view (w, e, 1)->state, DB_LEAVING);
  w->db[1].leaving = false;
  world_run (w, 500);
  ck_assert_int_eq (db_in_view (w, 0, 1)->state, DB_ACTIVE);
  world_free (w);
}
END_TEST

/* Guards against routing work to a database that stopped without announcing
   it, and against its expiry before 3 s.  */
START_TEST (expiry_after_3_s)
{
  world_t *w = start (2);

  w->db[1].alive = false;
  world_run (w, 2700);
  ck_assert_int_eq (db_in_view (w, 0, 1)->state, DB_ACTIVE);
  world_run (w, 600);
  ck_assert_int_eq (db_in_view (w, 0, 1)->state, DB_EXPIRED);
  w->db[1].alive = true;
  world_run (w, 1000);
  ck_assert_int_eq (db_in_view (w, 0, 1)->state, DB_ACTIVE);
  world_free (w);
}
END_TEST

/* Guards against a second database taking over a name or an address.  */
START_TEST (duplicates_are_refused)
{
  world_t *w = start (3);

  announce (w, "other", w->db[1].address, 1, 0);
  ck_assert_ptr_null (mem_find (world_leader (w), STR ("other")));
  ck_assert_int_eq (world_audit_count (w, "two names at one address"), 1);
  announce (w, w->db[1].name, "127.0.0.1:9", 1, 0);
  ck_assert_str_eq (world_member (w, 1)->address, w->db[1].address);
  ck_assert_int_eq (world_audit_count (w, "one name at two live addresses"),
                    1);
  announce (w, w->db[1].name, "127.0.0.1:9", 1, 0);
  ck_assert_int_eq (world_audit_count (w, "one name at two live addresses"),
                    1);
  world_free (w);
}
END_TEST

/* Guards against refusing a database forever after it changed its address.  */
START_TEST (address_change_after_expiry)
{
  world_t *w = start (4);

  w->db[1].alive = false;
  world_run (w, 3500);
  announce (w, w->db[1].name, "127.0.0.1:9", 1, 0);
  ck_assert_str_eq (world_member (w, 1)->address, "127.0.0.1:9");
  ck_assert_int_eq (world_audit_count (w, "moved to a new address"), 1);
  world_free (w);
}
END_TEST

/* Guards against routing work to a database that lost its data, until it has
   caught up with the current term.  */
START_TEST (data_loss_is_detected)
{
  world_t *w = start (5);

  for (int i = 0; i < 20; i++)
    world_db_write (&w->db[0], i);
  world_run (w, 2500);
  world_db_wipe (&w->db[1]);
  w->db[1].lag_until = w->now + 1000;
  world_run (w, 700);
  ck_assert_int_eq (mem_state (world_member (w, 1)), DB_STALE);
  ck_assert_int_eq (world_audit_count (w, "returned from the past"), 1);
  world_run (w, 2000);
  ck_assert_int_eq (w->db[1].pos, 20);
  ck_assert_int_eq (mem_state (world_member (w, 1)), DB_ACTIVE);
  ck_assert_int_eq (world_audit_count (w, "caught up"), 1);
  world_free (w);
}
END_TEST

/* Guards against a second process with the name of an entry instance, and
   against refusing a restarted one.  */
START_TEST (entry_duplicates_and_restarts)
{
  world_t *w = start (6);
  renew_t r = { .name = STR ("ent0"), .boot = 5 };
  grant_t g;

  control_renew (world_leader (w), &r, w->now, w->pool, &g);
  ck_assert_int_eq (g.status, GRANT_UNKNOWN);
  w->ent[0].alive = false;
  world_run (w, 600);
  control_renew (world_leader (w), &r, w->now, w->pool, &g);
  ck_assert_int_eq (g.status, GRANT_OK);
  r.name = STR ("stranger");
  control_renew (world_leader (w), &r, w->now, w->pool, &g);
  ck_assert_int_eq (g.status, GRANT_UNKNOWN);
  world_free (w);
}
END_TEST

/* Guards against granting leases after the first missed probe or without a
   quorum.  */
START_TEST (leases_end_without_probe_or_quorum)
{
  world_t *w = start (7);
  control_t *c = world_leader (w);
  msec_t last;

  world_run (w, 200);
  last = world_group (w, 0)->last_grant;
  ck_assert (w->now - last <= 100 + 2 * W_STEP);
  w->db[0].alive = false;
  world_run (w, 110);
  last = world_group (w, 0)->last_grant;
  world_run (w, 250);
  ck_assert_int_eq (world_group (w, 0)->last_grant, last);
  ck_assert_ptr_null (lease_refusal (c, world_group (w, 1), w->now));
  w->ctl[(w->leader + 1) % W_CONTROLS].alive = false;
  w->ctl[(w->leader + 2) % W_CONTROLS].alive = false;
  world_run (w, 250);
  ck_assert_ptr_nonnull (lease_refusal (c, world_group (w, 1), w->now));
  world_free (w);
}
END_TEST

/* Guards against an audit record for each renewal, and against none.  */
START_TEST (leases_are_audited_once)
{
  world_t *w = start (8);

  world_run (w, 2000);
  ck_assert_int_eq (world_audit_count (w, "first lease of this term"),
                    W_GROUPS);
  w->db[0].alive = false;
  world_run (w, 2500);
  ck_assert_int_eq (world_audit_count (w, "first lease of this term"),
                    W_GROUPS + 1);
  ck_assert_int_eq (world_audit_count (w, "all leases of the old term"), 1);
  world_free (w);
}
END_TEST

/* Guards against removing a member from the group while it may have confirmed
   writes in the current term.  */
START_TEST (leaving_member_is_removed_after_a_new_term)
{
  world_t *w = start (9);

  w->db[1].leaving = w->db[4].leaving = true;
  world_run (w, 500);
  w->db[1].alive = w->db[4].alive = false;
  world_run (w, 5000);
  ck_assert_int_eq (world_audit_count (w, "left the group"), 0);
  w->db[1].leaving = false;
  w->db[1].alive = true;
  world_run (w, 500);
  w->db[0].leaving = true;
  while (!world_group (w, 0)->intent)
    world_run (w, W_STEP);
  w->db[1].alive = false;
  world_run (w, 500);
  member_propose (world_leader (w), world_member (w, 1), M_LEAVING, "test",
                  w->now);
  world_run (w, 7000);
  ck_assert_int_eq (world_audit_count (w, "left the group"), 1);
  ck_assert (world_member (w, 1)->bits & M_REMOVED);
  world_free (w);
}
END_TEST

int
main (void)
{
  const tests_t t[] = { leaving_is_visible_within_500_ms,
                        expiry_after_3_s,
                        duplicates_are_refused,
                        address_change_after_expiry,
                        data_loss_is_detected,
                        entry_duplicates_and_restarts,
                        leases_end_without_probe_or_quorum,
                        leases_are_audited_once,
                        leaving_member_is_removed_after_a_new_term };
  int failed;

  world_run_tests ("control_member", t, sizeof t / sizeof *t, &failed);
  return failed ? EXIT_FAILURE : EXIT_SUCCESS;
}
