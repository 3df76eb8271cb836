/* Guards against a replicated log that violates its invariants under crashes,
   partitions, lost disks and changes of membership: runs the fuzz target on
   inputs generated from fixed seeds and on the corpus in test/corpus/raft.  */

#include "fuzz_raft.c"

#include <check.h>
#include <dirent.h>

enum
{
  INPUTS = 1500,
  INPUT_BYTES = 600
};

static void
check_input (const uint8_t *data, size_t size, const char *name, int k)
{
  char fault[256];

  run_ops (data, size, fault);
  ck_assert_msg (fault[0] == '\0', "%s %d: %s", name, k, fault);
}

START_TEST (seeded_inputs)
{
  uint8_t bytes[INPUT_BYTES];
  rng_t r;

  for (int i = 0; i < INPUTS; i++)
    {
      rng_init (&r, 20261204 + (uint64_t)i);
      for (size_t k = 0; k < sizeof bytes; k++)
        bytes[k] = (uint8_t)rng_u64 (&r);
      check_input (bytes, sizeof bytes, "seed", i);
    }
  printf ("%lld operations\n", (long long)fuzz_ops);
}
END_TEST

START_TEST (corpus)
{
  uint8_t bytes[4096];
  char path[512];
  DIR *d = opendir ("test/corpus/raft");
  const struct dirent *x;
  int n = 0;

  while (d && (x = readdir (d)) != NULL)
    {
      snprintf (path, sizeof path, "test/corpus/raft/%s", x->d_name);
      FILE *f = x->d_name[0] != '.' ? fopen (path, "rb") : NULL;
      if (f == NULL)
        continue;
      size_t size = fread (bytes, 1, sizeof bytes, f);
      fclose (f);
      check_input (bytes, size, x->d_name, 0);
      n++;
    }
  if (d)
    closedir (d);
  ck_assert_int_gt (n, 0);
}
END_TEST

int
main (void)
{
  Suite *s = suite_create ("fuzz_raft");
  TCase *c = tcase_create ("fuzz_raft");

  tcase_set_timeout (c, 120);
  tcase_add_test (c, seeded_inputs);
  tcase_add_test (c, corpus);
  suite_add_tcase (s, c);
  SRunner *r = srunner_create (s);
  srunner_run_all (r, CK_NORMAL);
  int failed = srunner_ntests_failed (r);
  srunner_free (r);
  return failed ? EXIT_FAILURE : EXIT_SUCCESS;
}
