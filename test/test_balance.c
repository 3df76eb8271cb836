/* Replays loads against the decisions about which database and which zone gets
   a statement: simulated time, a seeded generator, no I/O.  */

#include "balance.h"

#include <check.h>
#include <stdlib.h>

/* ---- databases that fail ---- */

enum
{
  DBS = 3,
  GAP = 5 /* ms between the statements of one instance to a service */
};

typedef struct
{
  rng_t rng;
  msec_t now;
  outlier_t db[DBS];
  double failing[DBS]; /* what each fails */
  int sent[DBS];
  int failed;
} farm_t;

static bool
any_may_use (const farm_t *f)
{
  for (int i = 0; i < DBS; i++)
    if (outlier_may_use (&f->db[i], f->now))
      return true;
  return false;
}

/* Sends statements in turn to the databases that may be used for MS; all, if
   none may.  */
static void
run (farm_t *f, msec_t ms)
{
  for (msec_t end = f->now + ms; f->now < end; f->now += GAP)
    {
      const outlier_t *other[DBS];
      int at = (int)rng_below (&f->rng, DBS), n = 0;
      for (int i = 0;
           any_may_use (f) && i < DBS && !outlier_may_use (&f->db[at], f->now);
           i++)
        at = (at + 1) % DBS;
      bool ok = rng_unit (&f->rng) >= f->failing[at];
      f->sent[at]++;
      f->failed += !ok;
      outlier_started (&f->db[at], f->now);
      outlier_answered (&f->db[at], ok, f->now);
      for (int i = 0; i < DBS; i++)
        if (i != at)
          other[n++] = &f->db[i];
      if (!ok)
        outlier_judge (&f->db[at], other, n, f->now);
    }
}

static farm_t
farm (uint64_t seed, double a, double b, double c)
{
  farm_t f = { .now = 1000, .failing = { a, b, c } };

  rng_init (&f.rng, seed);
  return f;
}

/* Guards against a database whose health is good and that fails 45% of what it
   gets, over the whole 7 s of its trouble: a third of the statements went
   there.  */
START_TEST (grey_database_is_ejected)
{
  for (uint64_t seed = 1; seed <= 20; seed++)
    {
      farm_t f = farm (seed, 0.45, 0.01, 0.01);
      run (&f, 7000);
      ck_assert_int_lt (f.sent[0], 7000 / GAP / 10);
    }
}
END_TEST

/* The same for one that answers health checks and fails everything.  */
START_TEST (lying_database_is_ejected)
{
  for (uint64_t seed = 1; seed <= 20; seed++)
    {
      farm_t f = farm (seed, 1, 0, 0);
      run (&f, 6500);
      ck_assert_int_lt (f.sent[0], 40);
    }
}
END_TEST

/* Guards against an ejection that leaves the load of a service to too few:
   when two of three, or all, fail, at most one is ejected at a time.  */
START_TEST (most_databases_stay_in_use)
{
  for (uint64_t seed = 1; seed <= 20; seed++)
    {
      farm_t f = farm (seed, 0.5, 0.5, 0.01);
      for (int i = 0; i < 100; i++)
        {
          int ejected = 0;
          run (&f, 70);
          for (int k = 0; k < DBS; k++)
            ejected += f.now < f.db[k].ejected_until;
          ck_assert_int_le (ejected, 1);
        }
      f = farm (seed, 0.5, 0.5, 0.5);
      run (&f, 7000);
      for (int k = 0; k < DBS; k++)
        ck_assert_int_gt (f.sent[k], 7000 / GAP / 6);
    }
}
END_TEST

/* Guards against ejections for lost answers, which are few: they are no sign
   of a failing database.  */
START_TEST (few_lost_answers_are_no_reason)
{
  int ejections = 0;

  for (uint64_t seed = 1; seed <= 20; seed++)
    {
      farm_t f = farm (seed, 0.03, 0, 0);
      run (&f, 10000);
      ejections += f.db[0].ejections;
    }
  ck_assert_int_eq (ejections, 0);
}
END_TEST

/* Guards against a returned database that gets its full share at once, and
   against one that never gets it back.  */
START_TEST (returned_database_starts_slowly)
{
  farm_t f = farm (7, 1, 0, 0);

  run (&f, 400);
  ck_assert_int_gt (f.db[0].ejected_until, f.now);
  f.failing[0] = 0;
  run (&f, f.db[0].ejected_until - f.now);
  f.sent[0] = 0;
  run (&f, 400);
  ck_assert_int_gt (f.sent[0], 0);
  ck_assert_int_le (f.sent[0], 4);
  run (&f, SLOW_START);
  f.sent[0] = 0;
  run (&f, 3000);
  ck_assert_int_gt (f.sent[0], 3000 / GAP / 4);
}
END_TEST

/* Guards against a database that goes down and up by turns and gets statements
   at each return: each ejection in a row lasts twice as long.  */
START_TEST (flapping_database_stays_out_longer)
{
  farm_t f = farm (9, 0, 0, 0);

  for (int i = 0; i < 5; i++)
    {
      f.failing[0] = 1;
      run (&f, 700);
      f.failing[0] = 0;
      run (&f, 700);
    }
  ck_assert_int_ge (f.db[0].ejections, 2);
  ck_assert_int_lt (f.failed, 80);
}
END_TEST

int
main (void)
{
  Suite *s = suite_create ("balance");
  TCase *c = tcase_create ("outliers");
  SRunner *r;

  tcase_add_test (c, grey_database_is_ejected);
  tcase_add_test (c, lying_database_is_ejected);
  tcase_add_test (c, most_databases_stay_in_use);
  tcase_add_test (c, few_lost_answers_are_no_reason);
  tcase_add_test (c, returned_database_starts_slowly);
  tcase_add_test (c, flapping_database_stays_out_longer);
  suite_add_tcase (s, c);
  r = srunner_create (s);
  srunner_run_all (r, CK_ENV);
  int failed = srunner_ntests_failed (r);
  srunner_free (r);
  return failed ? EXIT_FAILURE : EXIT_SUCCESS;
}
