#include "route.h"

#include <apr_general.h>
#include <check.h>
#include <stdlib.h>

static apr_pool_t *pool;
static rng_t rng;
static view_t *view;
static int64_t seq;

static db_info_t dbs[3] = {
  { .group = STR ("g"), .name = STR ("a"), .zone = STR ("z1"), .term = 1 },
  { .group = STR ("g"), .name = STR ("b"), .zone = STR ("z1"), .term = 1 },
  { .group = STR ("g"), .name = STR ("c"), .zone = STR ("z2"), .term = 1 },
};

static void
setup (void)
{
  apr_initialize ();
  apr_pool_create (&pool, NULL);
  rng_init (&rng, 1);
  view = view_new (pool, STR ("z1"), &rng);
  seq = 0;
}

static void
teardown (void)
{
  apr_pool_destroy (pool);
}

static bool
grant (msec_t sent, msec_t now, int64_t raft_term, int64_t term,
       const char *primary, const char *history)
{
  lease_t l = { .group = STR ("g"),
                .term = term,
                .primary = str_of (primary),
                .ttl = 400,
                .sample = -1,
                .history = str_of (history) };
  budget_t b = { .name = STR ("b"), .limit = 3, .ttl = 2000 };
  seq++;
  grant_t g = { .seq = seq,
                .sent = sent,
                .raft_term = raft_term,
                .leases = { &l, 1 },
                .dbs = { dbs, 3 },
                .budgets = { &b, 1 } };
  bool cfg_new;

  return view_apply_grant (view, &g, now, &cfg_new, NULL);
}

static route_request_t
request (bool write)
{
  return (route_request_t){ .group = STR ("g"),
                            .write = write,
                            .max_age = -1,
                            .began = 1000,
                            .deadline = 5000 };
}

/* Guards against a lease that runs from the grant instead of the renewal.  */
START_TEST (lease_counts_from_send)
{
  ck_assert (grant (1000, 1350, 1, 1, "a", "1:0"));
  ck_assert (view_lease_valid (view, STR ("g"), 1, 1399));
  ck_assert (!view_lease_valid (view, STR ("g"), 1, 1400));
  ck_assert (!view_lease_valid (view, STR ("g"), 2, 1300));
}
END_TEST

/* Guards against accepting a grant of a deposed leader or an older grant.  */
START_TEST (stale_grants_are_refused)
{
  ck_assert (grant (1000, 1001, 5, 3, "a", "3:0"));
  ck_assert (!grant (1100, 1101, 4, 4, "b", "3:0,4:1"));
  seq -= 2;
  ck_assert (!grant (1200, 1201, 5, 4, "b", "3:0,4:1"));
  seq += 5;
  ck_assert (grant (1300, 1301, 6, 2, "b", "2:0"));
  ck_assert (!view_lease_valid (view, STR ("g"), 2, 1310));
}
END_TEST

/* Guards against acknowledging writes under a lease after a database has
   reported a later term.  */
START_TEST (later_term_ends_the_lease)
{
  grant (1000, 1001, 1, 1, "a", "1:0");
  view_add_sample (view, STR ("g"), 2, 10, 1100);
  ck_assert (!view_lease_valid (view, STR ("g"), 1, 1110));
}
END_TEST

/* Guards against a return to an older configuration, from a leader or another
   control instance.  */
START_TEST (configuration_never_goes_back)
{
  grant_t g = { .cfg = STR ("team: t\n") };
  static const struct
  {
    int64_t status, raft_term, term, index;
    bool taken;
  } c[] = {
    { GRANT_NOT_LEADER, 1, 1, 10, true },
    { GRANT_OK, 2, 2, 12, true },
    { GRANT_OK, 2, 2, 12, false },
    { GRANT_OK, 2, 1, 11, false },
    { GRANT_NOT_LEADER, 2, 1, 10, false },
    { GRANT_NOT_LEADER, 1, 1, 20, false },
    { GRANT_OK, 3, 2, 11, false },
    { GRANT_OK, 3, 3, 13, true },
  };

  for (size_t i = 0; i < sizeof c / sizeof *c; i++)
    {
      bool cfg_new;
      g.seq = (int64_t)i + 1;
      g.status = c[i].status;
      g.raft_term = c[i].raft_term;
      g.cfg_term = c[i].term;
      g.cfg_index = c[i].index;
      view_apply_grant (view, &g, 1000 + (msec_t)i, &cfg_new, NULL);
      ck_assert_msg (cfg_new == c[i].taken, "grant %zu", i);
    }
}
END_TEST

/* Guards against a write without a lease.  */
START_TEST (write_needs_lease)
{
  route_request_t q = request (true);
  int64_t term;

  ck_assert_int_eq (route_pick (view, &q, 1000).kind, ROUTE_NONE);
  grant (1000, 1001, 1, 1, "a", "1:0");
  ck_assert_int_eq (route_pick (view, &q, 1100).kind, ROUTE_PRIMARY);
  ck_assert_int_eq (route_pick (view, &q, 1500).kind, ROUTE_RETRY);
  ck_assert_int_eq (route_pick (view, &q, 5000).kind, ROUTE_NONE);
  ck_assert_ptr_null (view_primary (view, STR ("g"), 1500, &term));
}
END_TEST

/* Guards against a read without a token that relies on a position sampled
   before the session's connection was opened.  */
START_TEST (barrier_needs_fresh_sample)
{
  route_request_t q = request (false);

  grant (900, 901, 1, 1, "a", "1:0");
  view_add_sample (view, STR ("g"), 1, 7, 999);
  ck_assert_int_eq (route_pick (view, &q, 1010).kind, ROUTE_BARRIER);
  view_add_sample (view, STR ("g"), 1, 9, 1000);
  route_t r = route_pick (view, &q, 1010);
  ck_assert_int_eq (r.kind, ROUTE_REPLICA);
  ck_assert_int_eq (r.need.pos, 9);
  ck_assert (!str_eq (r.db->name, STR ("a")));
}
END_TEST

/* Guards against proving an age bound by a sample that is too old, and against
   a read with an age bound that misses the session's own write.  */
START_TEST (age_bound)
{
  route_request_t q = request (false);

  grant (900, 901, 1, 1, "a", "1:0");
  view_add_sample (view, STR ("g"), 1, 7, 910);
  q.max_age = 500;
  ck_assert_int_eq (route_pick (view, &q, 1100).kind, ROUTE_REPLICA);
  ck_assert_int_eq (route_pick (view, &q, 1100).need.pos, 7);
  q.token = (token_t){ 1, 12 };
  ck_assert_int_eq (route_pick (view, &q, 1100).need.pos, 12);
  grant (1800, 1801, 1, 1, "a", "1:0");
  ck_assert_int_eq (route_pick (view, &q, 1810).kind, ROUTE_BARRIER);
  q.max_age = 10;
  ck_assert_int_eq (route_pick (view, &q, 1810).kind, ROUTE_PRIMARY);
}
END_TEST

/* Guards against routing reads to a leaving or failing database.  */
START_TEST (leaving_and_failed_replicas_get_no_work)
{
  route_request_t q = request (false);

  q.token = (token_t){ 1, 0 };
  dbs[1].state = DB_LEAVING;
  grant (1000, 1001, 1, 1, "a", "1:0");
  dbs[1].state = DB_ACTIVE;
  for (int i = 0; i < 20; i++)
    ck_assert (str_eq (route_pick (view, &q, 1010).db->name, STR ("c")));
  view_db_failed (view, STR ("c"), 1010);
  ck_assert_int_eq (route_pick (view, &q, 1011).kind, ROUTE_PRIMARY);
  q.tried = 1u << 2;
  ck_assert_int_eq (route_pick (view, &q, 4900).kind, ROUTE_RETRY);
}
END_TEST

/* Guards against using a budget after its lease has expired.  */
START_TEST (budget_falls_to_the_floor)
{
  ck_assert_int_eq (view_conn_limit (view, STR ("b"), 1000), 0);
  grant (1000, 1100, 1, 1, "a", "1:0");
  ck_assert_int_eq (view_conn_limit (view, STR ("b"), 2999), 3);
  ck_assert_int_eq (view_conn_limit (view, STR ("b"), 3000), 1);
  ck_assert_int_eq (view_conn_limit (view, STR ("b"), 1100 + 7200000), 0);
}
END_TEST

/* Guards against preferring a lagging replica to one that does not lag, and
   against choosing a replica again right after a failure.  */
START_TEST (replica_with_less_lag_is_chosen)
{
  route_request_t q = request (false);

  grant (1000, 1001, 1, 1, "a", "1:0");
  for (int i = 0; i < 100; i++)
    {
      msec_t t = 1010 + i * 10;
      view_add_sample (view, STR ("g"), 1, 100 + i, t);
      view_set_applied (view, STR ("b"), 1, i < 25 ? 0 : 75 + i, t, t + 1);
      view_set_applied (view, STR ("c"), 1, 100 + i, t, t + 1);
    }
  ck_assert (view_db (view, STR ("b"))->lag > 100);
  ck_assert (view_db (view, STR ("c"))->lag < 20);
  q.token = (token_t){ 1, 199 };
  grant (2000, 2001, 1, 1, "a", "1:0");
  for (int i = 0; i < 20; i++)
    ck_assert (str_eq (route_pick (view, &q, 2002).db->name, STR ("c")));
  view_db_failed (view, STR ("c"), 2002);
  ck_assert_int_eq (route_pick (view, &q, 2003).kind, ROUTE_PRIMARY);
  view_db_ok (view, STR ("c"), 2, 2004);
  ck_assert (str_eq (route_pick (view, &q, 2004).db->name, STR ("c")));
}
END_TEST

/* Guards against an instance that keeps its connections after its removal from
   the configuration, when the budget is assigned to other instances.  */
START_TEST (unknown_instance_has_no_leases)
{
  grant_t g = { .seq = 2, .raft_term = 1, .status = GRANT_UNKNOWN };
  bool cfg_new;

  grant (1000, 1001, 1, 1, "a", "1:0");
  ck_assert_int_eq (view_conn_limit (view, STR ("b"), 1010), 3);
  ck_assert (view_apply_grant (view, &g, 1020, &cfg_new, NULL));
  ck_assert_int_eq (view_conn_limit (view, STR ("b"), 1021), 0);
  ck_assert_int_eq (view_conn_limit (view, STR ("a"), 1021), 0);
  ck_assert (!view_lease_valid (view, STR ("g"), 1, 1021));
  seq = 2;
  grant (1100, 1101, 1, 1, "a", "1:0");
  ck_assert_int_eq (view_conn_limit (view, STR ("b"), 1110), 3);
}
END_TEST

static const struct
{
  const char *history;
  int64_t pos;
  token_t token;
  bool covers;
} coverage[] = {
  { "1:0", 10, { 1, 10 }, true },        { "1:0", 9, { 1, 10 }, false },
  { "1:0,2:8", 8, { 1, 10 }, true },     { "1:0,2:8", 7, { 1, 10 }, false },
  { "1:0,2:8", 7, { 1, 7 }, true },      { "1:0,2:8", 20, { 3, 1 }, false },
  { "1:0,2:8,3:30", 9, { 2, 9 }, true }, { "1:0,3:30", 30, { 2, 90 }, true },
  { "1:0", 0, { 0, 0 }, true },          { "", 10, { 1, 1 }, false },
};

/* Guards against comparing positions of different terms directly.  */
START_TEST (coverage_across_terms)
{
  history_t h;

  ck_assert (history_parse (str_of (coverage[_i].history), &h, NULL));
  ck_assert_int_eq (history_covers (&h, coverage[_i].pos, coverage[_i].token),
                    coverage[_i].covers);
}
END_TEST

/* Guards against accepting malformed tokens and histories.  */
START_TEST (bad_tokens)
{
  static const char *const bad[] = { "", "1", "1:", ":1", "a:1", "-1:2" };
  token_t t;
  history_t h;
  err_t e = { 0 };

  for (size_t i = 0; i < sizeof bad / sizeof *bad; i++)
    ck_assert (!token_parse (str_of (bad[i]), &t, &e));
  ck_assert (!history_parse (STR ("2:0,1:5"), &h, &e));
  ck_assert (!history_parse (STR ("1:5,2:4"), &h, &e));
  ck_assert (!history_parse (STR ("1:5,"), &h, &e));
}
END_TEST

int
main (void)
{
  Suite *s = suite_create ("route");
  TCase *t = tcase_create ("route");
  SRunner *r = srunner_create (s);

  tcase_add_checked_fixture (t, setup, teardown);
  tcase_add_test (t, lease_counts_from_send);
  tcase_add_test (t, stale_grants_are_refused);
  tcase_add_test (t, later_term_ends_the_lease);
  tcase_add_test (t, configuration_never_goes_back);
  tcase_add_test (t, write_needs_lease);
  tcase_add_test (t, barrier_needs_fresh_sample);
  tcase_add_test (t, age_bound);
  tcase_add_test (t, leaving_and_failed_replicas_get_no_work);
  tcase_add_test (t, budget_falls_to_the_floor);
  tcase_add_loop_test (t, coverage_across_terms, 0,
                       sizeof coverage / sizeof *coverage);
  tcase_add_test (t, replica_with_less_lag_is_chosen);
  tcase_add_test (t, unknown_instance_has_no_leases);
  tcase_add_test (t, bad_tokens);
  suite_add_tcase (s, t);
  srunner_run_all (r, CK_NORMAL);
  int failed = srunner_ntests_failed (r);
  srunner_free (r);
  return failed ? EXIT_FAILURE : EXIT_SUCCESS;
}
