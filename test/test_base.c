#include "base.h"
#include "rpc.h"

#include <apr_general.h>
#include <check.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

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

/* Guards against a name that is shortened to a fixed field and so becomes
   another one.  */
START_TEST (copy_is_whole_or_refused)
{
  char to[4] = "old";

  ck_assert (!str_copy (to, sizeof to, STR ("four")));
  ck_assert (!str_copy (to, sizeof to, STR ("a\0b")));
  ck_assert_str_eq (to, "old");
  ck_assert (str_copy (to, sizeof to, STR ("abc")));
  ck_assert_str_eq (to, "abc");
  ck_assert (str_copy (to, sizeof to, (str_t){ 0 }));
  ck_assert_str_eq (to, "");
}
END_TEST

/* Guards against accepting numbers with trailing characters.  */
START_TEST (int_parsing)
{
  int64_t v;

  ck_assert (str_int (STR ("-42"), &v));
  ck_assert_int_eq (v, -42);
  ck_assert (!str_int (STR ("42x"), &v));
  ck_assert (!str_int (STR (""), &v));
  ck_assert (!str_int (STR ("99999999999999999999"), &v));
}
END_TEST

/* Guards against formats that pass the compiler's check but not the formatter:
   the one of APR does not know "ll".  */
START_TEST (format)
{
  str_t s
      = str_fmt (pool, "%lld %s %zu", (long long)INT64_MIN, "x", (size_t)7);

  ck_assert (str_eq (s, STR ("-9223372036854775808 x 7")));
}
END_TEST

/* Guards against losing or overwriting an item of a full ring.  */
START_TEST (ring_refuses_when_full)
{
  ring_t *r = ring_new (pool, 2);
  err_t e = { 0 };
  int a, b, c;

  ck_assert (ring_put (r, &a, &e));
  ck_assert (ring_put (r, &b, &e));
  ck_assert (!ring_put (r, &c, &e));
  ck_assert_int_eq (e.code, ERR_FULL);
  ck_assert_ptr_eq (ring_get (r, 0), &a);
  ck_assert_ptr_eq (ring_get (r, 0), &b);
  ck_assert_ptr_null (ring_get (r, 1));
}
END_TEST

/* Guards against messages that differ after encoding and decoding.  */
START_TEST (codec_round_trip)
{
  lease_t l[2] = { { .group = STR ("g1"), .term = 7, .ttl = 400 },
                   { .group = STR ("g2"), .sample = -1 } };
  grant_t g = { .seq = 3, .cfg = STR ("a: 1\n"), .leases = { l, 2 } };
  buf_t b;
  str_t body;
  msgtype_t type;
  err_t e = { 0 };

  buf_init (&b);
  rpc_encode (&b, MSG_GRANT, &g);
  ck_assert_int_eq (rpc_frame (&b, &body, &e), 1);
  grant_t *d = rpc_decode (pool, body, &type, &e);
  ck_assert_ptr_nonnull (d);
  ck_assert_int_eq (type, MSG_GRANT);
  ck_assert_int_eq (d->seq, 3);
  ck_assert_int_eq (d->leases.n, 2);
  ck_assert (str_eq (LIST_AT (d->leases, lease_t, 0)->group, STR ("g1")));
  ck_assert_int_eq (LIST_AT (d->leases, lease_t, 1)->sample, -1);
  ck_assert (str_eq (d->cfg, STR ("a: 1\n")));
  buf_free (&b);
}
END_TEST

/* Guards against truncated or altered frames that crash the decoder.  */
START_TEST (codec_refuses_damaged_frames)
{
  vote_req_t v = { .term = 1, .from = 2 };
  buf_t b;
  str_t body;
  msgtype_t type;
  err_t e = { 0 };

  buf_init (&b);
  rpc_encode (&b, MSG_VOTE_REQ, &v);
  ck_assert_int_eq (rpc_frame (&b, &body, &e), 1);
  for (size_t n = 0; n < body.n; n++)
    ck_assert_ptr_null (rpc_decode (pool, (str_t){ body.p, n }, &type, &e));
  body.p[1] = 99;
  ck_assert_ptr_null (rpc_decode (pool, body, &type, &e));
  memset (b.p, 0xff, 4);
  ck_assert_int_eq (rpc_frame (&b, &body, &e), -1);
  ck_assert_int_eq (e.code, ERR_TOO_LARGE);
  buf_free (&b);
}
END_TEST

/* Guards against a short frame with the header of a huge array: unpacking it
   tried to allocate 128 GiB (found by fuzz_frames).  Also refuses arrays
   nested deeper than RPC_DEPTH.  */
START_TEST (codec_refuses_excessive_lengths)
{
  msgtype_t type;
  err_t e = { 0 };

  ck_assert_ptr_null (
      rpc_decode (pool, STR ("\xdd\xb8\xb8\xb8\x85\x7a"), &type, &e));
  ck_assert_int_eq (e.code, ERR_PROTOCOL);
  ck_assert_ptr_null (rpc_decode (
      pool, STR ("\x91\x91\x91\x91\x91\x91\x91\x91\x91\x01"), &type, &e));
}
END_TEST

/* Guards against an event that takes several lines of the log: messages of
   libpq contain line ends.  */
START_TEST (event_is_one_line)
{
  char text[512];
  int fds[2];
  int saved = dup (STDERR_FILENO);

  ck_assert_int_eq (pipe (fds), 0);
  dup2 (fds[1], STDERR_FILENO);
  log_event (EV_FATAL, "cause=\"refused\n\tIs it running?\"");
  dup2 (saved, STDERR_FILENO);
  close (saved);
  ssize_t n = read (fds[0], text, sizeof text);
  ck_assert_int_gt (n, 1);
  ck_assert_ptr_eq (memchr (text, '\n', (size_t)n), text + n - 1);
  close (fds[0]);
  close (fds[1]);
}
END_TEST

typedef struct
{
  int runs;
} failing_t;

static bool
fail_twice (void *arg, err_t *e)
{
  failing_t *f = arg;

  return ++f->runs > 2 || err_set (e, ERR_STATE, "test", "run %d", f->runs);
}

/* Guards against a failed duty that is not restarted, and against endless
   restarts.  */
START_TEST (supervisor_restarts_with_a_limit)
{
  failing_t f = { 0 };
  err_t e = { 0 };
  sup_t *s = sup_new (pool, "s", 5, 10000);

  sup_add (s, (duty_t){ "flaky", fail_twice, NULL, &f });
  ck_assert (sup_run (s, &e));
  ck_assert_int_eq (f.runs, 3);
  f.runs = 0;
  s = sup_new (pool, "s", 1, 10000);
  sup_add (s, (duty_t){ "flaky", fail_twice, NULL, &f });
  ck_assert (!sup_run (s, &e));
  ck_assert_int_eq (e.code, ERR_STATE);
}
END_TEST

int
main (void)
{
  Suite *s = suite_create ("base");
  TCase *t = tcase_create ("base");
  SRunner *r = srunner_create (s);

  tcase_add_checked_fixture (t, setup, teardown);
  tcase_add_test (t, copy_is_whole_or_refused);
  tcase_add_test (t, int_parsing);
  tcase_add_test (t, format);
  tcase_add_test (t, ring_refuses_when_full);
  tcase_add_test (t, codec_round_trip);
  tcase_add_test (t, codec_refuses_damaged_frames);
  tcase_add_test (t, codec_refuses_excessive_lengths);
  tcase_add_test (t, event_is_one_line);
  tcase_add_test (t, supervisor_restarts_with_a_limit);
  suite_add_tcase (s, t);
  srunner_run_all (r, CK_NORMAL);
  int failed = srunner_ntests_failed (r);
  srunner_free (r);
  return failed ? EXIT_FAILURE : EXIT_SUCCESS;
}
