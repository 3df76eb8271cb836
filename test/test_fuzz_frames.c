/* Guards against frames, tokens, term histories and hints that crash their
   decoders: gives randomly damaged valid inputs to the fuzz target.  The seed
   is fixed.  */

#include "base.h"
#include "rpc.h"

#include <apr_general.h>
#include <check.h>
#include <stdlib.h>
#include <string.h>

int LLVMFuzzerTestOneInput (const uint8_t *data, size_t size);

#include "fuzz_frames.c"

enum
{
  ROUNDS = 20000 /* damaged inputs */
};

static void
valid_inputs (buf_t in[5])
{
  lease_t l = { .group = STR ("g1"), .term = 7, .ttl = 400 };
  grant_t g = { .seq = 3, .cfg = STR ("a: 1\n"), .leases = { &l, 1 } };
  submit_t s = { .id = STR ("id"), .base = -5, .text = STR ("team: t\n") };

  for (int i = 0; i < 5; i++)
    buf_init (&in[i]);
  rpc_encode (&in[0], MSG_GRANT, &g);
  rpc_pack (&in[1], MSG_SUBMIT, &s);
  buf_fmt (&in[2], "1:0,2:553,9:1000");
  buf_fmt (&in[3], "/* pimentopost kind=sale key=k worth=3 */ SELECT 1");
  buf_fmt (&in[4], "12:99");
}

START_TEST (damaged_inputs)
{
  buf_t in[5];
  rng_t r;
  uint8_t bytes[512];

  rng_init (&r, 20261204);
  valid_inputs (in);
  for (int i = 0; i < ROUNDS; i++)
    {
      buf_t *b = &in[rng_below (&r, 5)];
      size_t n = buf_len (b) < sizeof bytes ? buf_len (b) : sizeof bytes;
      memcpy (bytes, b->p, n);
      for (uint64_t k = rng_below (&r, 4); k > 0; k--)
        bytes[rng_below (&r, n)] = (uint8_t)rng_u64 (&r);
      LLVMFuzzerTestOneInput (bytes, n - rng_below (&r, 3));
    }
}
END_TEST

int
main (void)
{
  Suite *s = suite_create ("fuzz_frames");
  TCase *t = tcase_create ("fuzz_frames");
  SRunner *r = srunner_create (s);

  apr_initialize ();
  tcase_set_timeout (t, 60);
  tcase_add_test (t, damaged_inputs);
  suite_add_tcase (s, t);
  srunner_run_all (r, CK_NORMAL);
  int failed = srunner_ntests_failed (r);
  srunner_free (r);
  return failed ? EXIT_FAILURE : EXIT_SUCCESS;
}
