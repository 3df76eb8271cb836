#include "oracle.h"

#include <stdio.h>
#include <stdlib.h>

static bool verbose;

/* In a verbose run, prints the leader's status and audit records and each
 * database.  */
static void
dump (oracle_t *o)
{
  static const char *const what[] = { "status", "audit" };
  query_resp_t out;

  for (int i = 0; verbose && world_leader (o->w) && i < 2; i++)
    {
      query_t q = { .what = str_of (what[i]), .limit = 60 };
      control_query (world_leader (o->w), &q, o->w->now, o->w->pool, &out);
      printf (STR_FMT "\n", STR_ARG (out.text));
    }
  for (int i = 0; verbose && i < W_DBS; i++)
    {
      const world_db_t *d = &o->w->db[i];
      printf ("%s %s alive=%d frozen=%d term=%lld fence=%lld by %s pos=%lld "
              "follows %s in %lld\n",
              d->name, d->primary ? "primary" : "replica", d->alive, d->frozen,
              (long long)world_db_term (d), (long long)d->fence, d->owner,
              (long long)d->pos, d->upstream, (long long)d->upstream_term);
    }
}

/* Runs OPS operations in episodes; returns how many ran before a failure.  */
static long
run (uint64_t seed, long ops, fault_t fault, char *why, size_t size)
{
  long n = 0;
  int64_t acked = 0, reads = 0, promoted = 0, refused = 0;
  rng_t rng;

  rng_init (&rng, seed);
  why[0] = '\0';
  while (n < ops && !why[0])
    {
      oracle_t *o = oracle_new (rng_u64 (&rng), fault);
      long end = n + O_EPISODE;
      while (n < end && n < ops && !o->failure[0])
        {
          n++;
          oracle_op (o, rng_u64 (&rng));
        }
      if (!o->failure[0])
        oracle_settle (o);
      acked += o->acked;
      reads += o->reads;
      refused += o->refused;
      promoted += o->promoted;
      if (o->failure[0])
        {
          snprintf (why, size, "%s", o->failure);
          dump (o);
        }
      oracle_free (o);
    }
  printf ("seed %llu fault %d: %ld operations, %lld writes acknowledged, "
          "%lld refused, %lld reads, %lld new terms: %s\n",
          (unsigned long long)seed, (int)fault, n, (long long)acked,
          (long long)refused, (long long)reads, (long long)promoted,
          why[0] ? why : "ok");
  return n;
}

/* Guards against a rule that does not hold under random faults.  */
START_TEST (rules_hold)
{
  char why[160];

  run ((uint64_t)_i + 1, 12000, FAULT_NONE, why, sizeof why);
  ck_assert_str_eq (why, "");
}
END_TEST

/* Guards against checks that detect nothing: each built-in fault must be
 * found.
 */
START_TEST (faults_are_detected)
{
  char why[160];
  long n = run (7, 120000, (fault_t)_i, why, sizeof why);

  ck_assert_str_ne (why, "");
  ck_assert_int_lt (n, 120000);
}
END_TEST

int
main (int argc, char **argv)
{
  char why[160];

  if (argc == 4)
    {
      verbose = true;
      run (strtoull (argv[1], NULL, 10), strtol (argv[2], NULL, 10),
           (fault_t)strtol (argv[3], NULL, 10), why, sizeof why);
      return why[0] ? EXIT_FAILURE : EXIT_SUCCESS;
    }
  Suite *s = suite_create ("fuzz_control");
  TCase *t = tcase_create ("fuzz_control");
  SRunner *r = srunner_create (s);
  tcase_set_timeout (t, 120);
  tcase_add_loop_test (t, rules_hold, 0, 4);
  tcase_add_loop_test (t, faults_are_detected, FAULT_NONE + 1, FAULTS);
  suite_add_tcase (s, t);
  srunner_run_all (r, CK_NORMAL);
  int failed = srunner_ntests_failed (r);
  srunner_free (r);
  return failed ? EXIT_FAILURE : EXIT_SUCCESS;
}
