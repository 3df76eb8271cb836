#include "admit.h"

#include <apr_general.h>
#include <check.h>
#include <stdlib.h>

#include "fuzz_admit.c"

static apr_pool_t *pool;

static void
setup (void)
{
  apr_initialize ();
  apr_pool_create (&pool, NULL);
}

static void
teardown (void)
{
  apr_pool_destroy (pool);
}

static admit_t *
make (int queue, int cap)
{
  return admit_new (pool, (admit_conf_t){ queue, cap });
}

/* Runs one request of LATENCY ms at NOW, which updates the limit.  */
static void
serve (admit_t *a, double latency, msec_t now)
{
  ck_assert (admit_offer (a, 999, 1, now + 100000, now, NULL));
  while (admit_next (a, now).kind == ADMIT_START)
    ;
  admit_done (a, latency, ADMIT_OK, now);
}

static void
expect (admit_t *a, msec_t now, admit_kind_t kind, uint64_t id)
{
  admit_action_t x = admit_next (a, now);

  ck_assert_int_eq (x.kind, kind);
  if (kind != ADMIT_NOTHING)
    ck_assert_uint_eq (x.id, id);
}

/* Guards against starting a request of low worth before one of high worth, a
   late deadline before an early one, or equal requests out of order.  */
START_TEST (order)
{
  admit_t *a = make (10, 1);

  ck_assert (admit_offer (a, 1, 1, 500, 0, NULL));
  ck_assert (admit_offer (a, 2, 9, 900, 0, NULL));
  ck_assert (admit_offer (a, 3, 9, 400, 0, NULL));
  ck_assert (admit_offer (a, 4, 9, 400, 0, NULL));
  ck_assert (admit_offer (a, 5, 1, 300, 0, NULL));
  for (int i = 0; i < 5; i++)
    {
      static const uint64_t want[] = { 3, 4, 2, 5, 1 };
      expect (a, 0, ADMIT_START, want[i]);
      expect (a, 0, ADMIT_NOTHING, 0);
      admit_done (a, 1, ADMIT_UNTIMED, 0);
    }
  expect (a, 0, ADMIT_NOTHING, 0);
}
END_TEST

/* Guards against an unbounded queue, and against refusing a request of high
   worth while requests of low worth wait.  */
START_TEST (full_queue)
{
  admit_t *a = make (2, 0);
  admit_kind_t why;

  ck_assert (admit_offer (a, 1, 1, 500, 0, NULL));
  ck_assert (admit_offer (a, 2, 5, 500, 0, NULL));
  ck_assert (!admit_offer (a, 3, 1, 500, 0, &why));
  ck_assert_int_eq (why, ADMIT_FULL);
  ck_assert (admit_offer (a, 4, 7, 500, 0, NULL));
  expect (a, 0, ADMIT_FULL, 1);
  expect (a, 0, ADMIT_NOTHING, 0);
  ck_assert_int_eq (admit_state (a).waiting, 2);
  ck_assert (admit_withdraw (a, 2));
  ck_assert (!admit_withdraw (a, 2));
}
END_TEST

/* Guards against queueing a request that cannot meet its deadline, and against
   starting one that no longer can.  */
START_TEST (deadlines)
{
  admit_t *a = make (10, 1);
  admit_kind_t why;

  serve (a, 10, 0);
  ck_assert (admit_offer (a, 1, 1, 1000, 0, NULL));
  expect (a, 0, ADMIT_START, 1);
  /* Two services of 10 ms are needed: that of request 1 and its own.  */
  ck_assert (!admit_offer (a, 2, 1, 20, 0, &why));
  ck_assert_int_eq (why, ADMIT_TOO_LATE);
  ck_assert (admit_offer (a, 3, 1, 21, 0, NULL));
  ck_assert (admit_offer (a, 4, 1, 500, 0, NULL));
  ck_assert_int_eq (admit_wake_time (a), 11);
  expect (a, 10, ADMIT_NOTHING, 0);
  expect (a, 11, ADMIT_TOO_LATE, 3);
  expect (a, 11, ADMIT_NOTHING, 0);
  ck_assert_int_eq (admit_wake_time (a), 490);
}
END_TEST

/* Guards against a lockout: a service time measured during a stall must not
   cause all later requests to be refused.  */
START_TEST (estimate_recovers_after_stall)
{
  admit_t *a = make (10, 4);
  int refused = 0;

  serve (a, 5000, 0);
  for (int i = 0; i < 200; i++)
    {
      msec_t now = i * 10;
      if (!admit_offer (a, (uint64_t)i, 1, now + 50, now, NULL))
        refused++;
      else if (admit_next (a, now).kind == ADMIT_START)
        admit_done (a, 2, ADMIT_OK, now);
    }
  ck_assert_int_eq (refused, 0);
  ck_assert_double_lt (admit_state (a).service, 10);
}
END_TEST

/* Guards against a standing queue that delays every request almost to its
   deadline in lasting overload, and against refusing a burst that can be
   served.  */
START_TEST (standing_queue)
{
  admit_t *a = make (100, 1);
  admit_kind_t why;

  serve (a, 10, 0);
  for (uint64_t id = 1; id <= 60; id++)
    ck_assert (admit_offer (a, id, 1, 1000, 0, NULL));
  expect (a, 0, ADMIT_START, 1);
  /* 60 requests of 10 ms are in front.  1,000 ms remain to the deadline; from
     500 ms on only half of the time may be used.  */
  ck_assert (admit_offer (a, 61, 1, 1499, 499, NULL));
  ck_assert (!admit_offer (a, 62, 1, 1500, 500, &why));
  ck_assert_int_eq (why, ADMIT_TOO_LATE);
  ck_assert (admit_offer (a, 63, 1, 2000, 500, NULL));
}
END_TEST

/* Guards against refusing requests that can meet their deadlines because a
   freeze delayed a few earlier answers.  */
START_TEST (delayed_answers)
{
  admit_t *a = make (10, 4);

  for (int i = 0; i < 50; i++)
    serve (a, 5, 0);
  for (int i = 0; i < 3; i++)
    serve (a, 1000, 0);
  ck_assert_double_lt (admit_state (a).service, 10);
  ck_assert (admit_offer (a, 1, 1, 50, 0, NULL));
  expect (a, 0, ADMIT_START, 1);
  ck_assert (admit_offer (a, 2, 1, 50, 0, NULL));
  expect (a, 0, ADMIT_START, 2);
}
END_TEST

/* Simulates a database with SLOTS slots and a service time of SERVICE ms, with
   as many requests running as the limit allows, for N answers.  */
static void
saturate (admit_t *a, int slots, double service, int n)
{
  for (int i = 0; i < n; i++)
    {
      admit_offer (a, (uint64_t)i, 1, 1 << 30, 0, NULL);
      admit_offer (a, (uint64_t)i, 1, 1 << 30, 0, NULL);
      while (admit_next (a, 0).kind == ADMIT_START)
        ;
      int running = admit_state (a).running;
      double over = running > slots ? (double)running / slots : 1;
      admit_done (a, service * over, ADMIT_OK, 0);
    }
}

/* Guards against a limit far above or below the database's number of slots,
   also after the database has slowed down.  */
START_TEST (limit_follows_slots)
{
  for (int slots = 2; slots <= 16; slots *= 2)
    {
      admit_t *a = make (64, 100);
      saturate (a, slots, 4, 5000);
      ck_assert_double_ge (admit_state (a).limit, slots);
      ck_assert_double_le (admit_state (a).limit, 2 * slots + 2);
      saturate (a, slots, 12, 50000);
      ck_assert_double_ge (admit_state (a).limit, slots);
      ck_assert_double_le (admit_state (a).limit, 2 * slots + 2);
    }
}
END_TEST

/* Guards against sending many requests at once to a database that has just
   recovered, and against reducing the limit once for each connection of one
   failure.  */
START_TEST (restart_and_failures)
{
  admit_t *a = make (64, 100);
  int started = 0;

  saturate (a, 8, 4, 5000);
  double was = admit_state (a).limit;
  admit_done (a, 0, ADMIT_FAILED, 0);
  admit_done (a, 0, ADMIT_FAILED, 0);
  ck_assert_double_eq_tol (admit_state (a).limit, was / 2, 0.01);
  while (admit_state (a).running)
    admit_done (a, 0, ADMIT_UNTIMED, 0);
  admit_restart (a, 0);
  for (int i = 0; i < 60; i++)
    admit_offer (a, (uint64_t)i, 1, 1 << 30, 0, NULL);
  while (admit_next (a, 0).kind == ADMIT_START)
    started++;
  ck_assert_int_eq (started, 1);
  saturate (a, 8, 4, 500);
  ck_assert_double_ge (admit_state (a).limit, 8);
}
END_TEST

/* Guards against running more requests than there are connections.  */
START_TEST (cap)
{
  admit_t *a = make (64, 2);
  int started = 0;

  saturate (a, 8, 4, 1000);
  ck_assert_int_le (admit_state (a).running, 2);
  admit_set_cap (a, 0);
  while (admit_state (a).running)
    admit_done (a, 0, ADMIT_UNTIMED, 0);
  while (admit_next (a, 0).kind == ADMIT_START)
    started++;
  ck_assert_int_eq (started, 0);
}
END_TEST

/* Guards against retries of more than 10% of the requests.  */
START_TEST (retries)
{
  retry_t r;
  int taken = 0;

  retry_init (&r);
  for (int i = 0; i < 10000; i++)
    {
      retry_request (&r);
      taken += retry_take (&r);
    }
  ck_assert_int_le (taken, 1010);
  ck_assert_int_ge (taken, 1000);
}
END_TEST

/* Guards against admitting more than LIMIT requests in any window, wherever it
   begins, and against locking out a client that keeps retrying.  */
START_TEST (rates)
{
  rate_t r;
  msec_t at[20000];
  int n = 0;
  msec_t wait = 0;

  rate_init (&r);
  for (msec_t now = 12345; now < 32345; now++)
    if (rate_take (&r, 50, 1000, now, &wait))
      at[n++] = now;
    else
      ck_assert (wait > 0 && wait <= 1200);
  for (int i = 50; i < n; i++)
    ck_assert_int_ge (at[i] - at[i - 50], 1000);
  ck_assert_int_ge (n, 50 * 17);
  ck_assert (rate_take (&r, 0, 1000, 0, NULL));
}
END_TEST

/* Guards against missing, repeated and late decisions in any order of events;
   the seed is fixed so that a failure can be reproduced.  */
START_TEST (fuzz)
{
  static uint8_t ops[3000];
  rng_t r;

  rng_init (&r, 20261204);
  for (int i = 0; i < 300; i++)
    {
      for (size_t k = 0; k < sizeof ops; k++)
        ops[k] = (uint8_t)rng_u64 (&r);
      LLVMFuzzerTestOneInput (ops, sizeof ops);
    }
}
END_TEST

int
main (void)
{
  Suite *s = suite_create ("admit");
  TCase *t = tcase_create ("admit");
  SRunner *r;

  tcase_add_checked_fixture (t, setup, teardown);
  tcase_add_test (t, order);
  tcase_add_test (t, full_queue);
  tcase_add_test (t, deadlines);
  tcase_add_test (t, estimate_recovers_after_stall);
  tcase_add_test (t, standing_queue);
  tcase_add_test (t, delayed_answers);
  tcase_add_test (t, limit_follows_slots);
  tcase_add_test (t, restart_and_failures);
  tcase_add_test (t, cap);
  tcase_add_test (t, retries);
  tcase_add_test (t, rates);
  tcase_add_test (t, fuzz);
  suite_add_tcase (s, t);
  r = srunner_create (s);
  srunner_run_all (r, CK_ENV);
  int failed = srunner_ntests_failed (r);
  srunner_free (r);
  return failed ? EXIT_FAILURE : EXIT_SUCCESS;
}
