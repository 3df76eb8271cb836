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

/* Guards against a frame of values of one byte, each of which takes 24 bytes
   when it is unpacked: 8 MB of them would take more than a control instance's
   memory.  */
START_TEST (frame_of_many_values_is_refused)
{
  apr_pool_t *pool;
  msgtype_t type;
  err_t e = { 0 };
  size_t n = (1 << 20) + 1;
  unsigned char *p = calloc (1, n + 5);

  ck_assert (p);
  apr_pool_create (&pool, NULL);
  p[0] = 0xdd; /* array 32 */
  for (int i = 0; i < 4; i++)
    p[1 + i] = (unsigned char)(n >> (24 - 8 * i));
  ck_assert_ptr_null (
      rpc_decode (pool, (str_t){ (char *)p, n + 5 }, &type, &e));
  ck_assert_int_eq (e.code, ERR_PROTOCOL);
  ck_assert_ptr_nonnull (strstr (e.detail, "not exactly one valid msgpack"));
  apr_pool_destroy (pool);
  free (p);
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
  tcase_add_test (t, frame_of_many_values_is_refused);
  suite_add_tcase (s, t);
  srunner_run_all (r, CK_NORMAL);
  int failed = srunner_ntests_failed (r);
  srunner_free (r);
  return failed ? EXIT_FAILURE : EXIT_SUCCESS;
}
