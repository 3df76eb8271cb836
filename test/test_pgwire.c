#include "pgwire.h"

#include <check.h>
#include <stdlib.h>
#include <string.h>

/* A startup message is parsed only when it is complete, with user and database
   name.  */
START_TEST (startup_session)
{
  buf_t b = { 0 };
  pgstart_t s;
  err_t e = { 0 };

  pg_put_startup (&b, STR ("tan"), STR ("sticker"));
  for (size_t n = 0; n < b.n; n++)
    {
      buf_t part = { b.p, n, 0, b.cap };
      ck_assert_int_eq (pg_startup (&part, &s, &e), 0);
    }
  ck_assert_int_eq (pg_startup (&b, &s, &e), 1);
  ck_assert (s.kind == PG_START_SESSION && s.size == b.n && s.n == 2);
  ck_assert (str_eq (s.user, STR ("tan")));
  ck_assert (str_eq (s.database, STR ("sticker")));
  buf_free (&b);
}
END_TEST

/* Cancel, SSL and GSS encryption requests are told apart from sessions.  */
START_TEST (startup_requests)
{
  buf_t b = { 0 };
  pgstart_t s;

  pg_put_cancel (&b, 7, 0xfffffff0U);
  ck_assert_int_eq (pg_startup (&b, &s, NULL), 1);
  ck_assert (s.kind == PG_START_CANCEL && s.pid == 7
             && s.secret == 0xfffffff0U);
  buf_free (&b);
  buf_add (&b, "\0\0\0\010\004\322\026\057", 8);
  ck_assert_int_eq (pg_startup (&b, &s, NULL), 1);
  ck_assert_int_eq (s.kind, PG_START_SSL);
  buf_free (&b);
  buf_add (&b, "\0\0\0\010\004\322\026\060", 8);
  ck_assert_int_eq (pg_startup (&b, &s, NULL), 1);
  ck_assert_int_eq (s.kind, PG_START_GSSENC);
  buf_free (&b);
}
END_TEST

/* Oversized and malformed startup messages are rejected.  */
START_TEST (startup_malformed)
{
  static const struct
  {
    const char *p;
    size_t n;
    errcode_t code;
  } bad[] = {
    { "\0\0\xff\0", 4, ERR_TOO_LARGE },
    { "\0\0\0\4", 4, ERR_PROTOCOL },
    { "\0\0\0\010\0\2\0\0", 8, ERR_VERSION },
    { "\0\0\0\010\0\3\0\0", 8, ERR_PROTOCOL },
    { "\0\0\0\016\0\3\0\0user\0x", 14, ERR_PROTOCOL },
    { "\0\0\0\014\004\322\026\056\0\0\0\1", 12, ERR_PROTOCOL },
  };

  for (size_t i = 0; i < sizeof bad / sizeof *bad; i++)
    {
      buf_t b = { 0 };
      pgstart_t s;
      err_t e = { 0 };
      buf_add (&b, bad[i].p, bad[i].n);
      ck_assert_int_eq (pg_startup (&b, &s, &e), -1);
      ck_assert_msg (e.code == bad[i].code, "case %zu: %s", i,
                     err_name (e.code));
      buf_free (&b);
    }
}
END_TEST

/* Messages built one after another parse to the same values in turn.  */
START_TEST (round_trip)
{
  buf_t b = { 0 };
  pgmsg_t m;
  pgparse_t p;
  pgbind_t bind;
  pgtarget_t name;
  pgexec_t x;
  str_t text;

  pg_put_query (&b, STR ("SELECT 1"));
  pg_put_parse (&b, STR ("s1"), STR ("SELECT $1"), 1, STR ("\0\0\0\031"));
  pg_put_bind (&b, STR ("p"), STR ("s1"), STR ("\0\0\0\1\0\0\0\3abc\0\1\0\0"));
  pg_put_target (&b, 'D', 'S', STR ("s1"));
  pg_put_exec (&b, STR ("p"), 9);
  ck_assert_int_eq (pg_message (&b, 1000, &m, NULL), 1);
  ck_assert (m.type == 'Q' && pg_query (m.body, &text, NULL)
             && str_eq (text, STR ("SELECT 1")));
  buf_take (&b, m.size);
  ck_assert_int_eq (pg_message (&b, 1000, &m, NULL), 1);
  ck_assert (m.type == 'P' && pg_parse (m.body, &p, NULL)
             && str_eq (p.name, STR ("s1")) && p.ntypes == 1);
  buf_take (&b, m.size);
  ck_assert_int_eq (pg_message (&b, 1000, &m, NULL), 1);
  ck_assert (m.type == 'B' && pg_bind (m.body, &bind, NULL)
             && str_eq (bind.name, STR ("s1")) && bind.rest.n == 15);
  buf_take (&b, m.size);
  ck_assert_int_eq (pg_message (&b, 1000, &m, NULL), 1);
  ck_assert (m.type == 'D' && pg_target (m.body, &name, NULL)
             && name.kind == 'S');
  buf_take (&b, m.size);
  ck_assert_int_eq (pg_message (&b, 1000, &m, NULL), 1);
  ck_assert (m.type == 'E' && pg_exec (m.body, &x, NULL) && x.max == 9);
  buf_take (&b, m.size);
  ck_assert_uint_eq (buf_len (&b), 0);
  buf_free (&b);
}
END_TEST

/* NULL and the empty string stay distinct in a DataRow, and a truncated one is
   rejected.  */
START_TEST (rows)
{
  buf_t b = { 0 };
  pgmsg_t m;
  str_t out[2];
  str_t in[3] = { STR (""), { NULL, 0 }, STR ("x") };

  pg_put_row (&b, in, 3);
  ck_assert_int_eq (pg_message (&b, 100, &m, NULL), 1);
  ck_assert_int_eq (pg_row (m.body, out, 2), 3);
  ck_assert (out[0].p != NULL && out[0].n == 0 && out[1].p == NULL);
  m.body.n--;
  ck_assert_int_eq (pg_row (m.body, out, 2), -1);
  buf_free (&b);
}
END_TEST

/* A length outside the limits is rejected at the header, before the body
   arrives.  */
START_TEST (limits)
{
  buf_t b = { 0 };
  pgmsg_t m;
  err_t e = { 0 };

  buf_add (&b, "Q\0\0\1\0", 5);
  ck_assert_int_eq (pg_message (&b, 256, &m, &e), -1);
  ck_assert_int_eq (e.code, ERR_TOO_LARGE);
  ck_assert_int_eq (pg_message (&b, 257, &m, &e), 0);
  buf_free (&b);
  buf_add (&b, "Q\0\0\0\3", 5);
  ck_assert_int_eq (pg_message (&b, 256, &m, &e), -1);
  ck_assert_int_eq (e.code, ERR_PROTOCOL);
  buf_free (&b);
}
END_TEST

/* Message and detail of a refusal agree with its SQLSTATE about whether the
   outcome is unknown.  */
START_TEST (refusals)
{
  for (int r = 0; r < PG_NREFUSALS; r++)
    {
      buf_t b = { 0 };
      pgmsg_t m;
      pgerr_t f;
      pg_put_refusal (&b, (pgrefusal_t)r, r & 1, "because");
      ck_assert_int_eq (pg_message (&b, 2000, &m, NULL), 1);
      ck_assert (pg_error (m.body, &f, NULL));
      bool unknown = pg_refusal_outcome ((pgrefusal_t)r) == PG_UNKNOWN;
      const char *expected = unknown ? "outcome unknown" : "not run";
      ck_assert (
          memmem (f.message.p, f.message.n, expected, strlen (expected)));
      ck_assert (str_starts (f.detail, str_of (expected)));
      ck_assert (unknown == str_eq (f.code, STR ("40003")));
      buf_free (&b);
    }
  ck_assert (pg_not_run_code (STR ("25006"))
             && !pg_not_run_code (STR ("55000")));
}
END_TEST

static void
parse_all (const buf_t *b)
{
  pgstart_t s;
  pgmsg_t m;
  pgparse_t p;
  pgbind_t bind;
  pgtarget_t name;
  pgexec_t x;
  pgerr_t f;
  str_t text;
  str_t col[4];
  size_t off = 0;

  if (pg_startup (b, &s, NULL) == 1)
    ck_assert_uint_le (s.size, b->n);
  while (pg_next (buf_str (b), &off, 4096, &m, NULL) == 1)
    {
      ck_assert_uint_le (off, b->n);
      pg_query (m.body, &text, NULL);
      if (pg_parse (m.body, &p, NULL))
        ck_assert_uint_eq (p.types.n, 4 * (size_t)p.ntypes);
      pg_bind (m.body, &bind, NULL);
      pg_target (m.body, &name, NULL);
      pg_exec (m.body, &x, NULL);
      pg_error (m.body, &f, NULL);
      ck_assert_int_ge (pg_row (m.body, col, 4), -1);
    }
}

/* No read outside the buffer: messages with random bytes changed and a random
   end cut off, in a buffer of the exact size.  */
START_TEST (fuzz)
{
  rng_t r;

  rng_init (&r, 42);
  for (int i = 0; i < 200000; i++)
    {
      buf_t b = { 0 };
      if (rng_below (&r, 4) == 0)
        pg_put_startup (&b, STR ("u"), STR ("d"));
      pg_put_parse (&b, STR ("s"), STR ("q"), 1, STR ("abcd"));
      pg_put_bind (&b, STR (""), STR ("s"), STR ("\0\0\0\1\0\0\0\1x\0\0"));
      pg_put_row (&b, (str_t[]){ STR ("v"), { 0 } }, 2);
      pg_put_error (&b, "ERROR", "00000", STR ("m"), STR ("d"));
      for (uint64_t k = rng_below (&r, 6); k > 0; k--)
        b.p[rng_below (&r, b.n)] = (char)rng_u64 (&r);
      buf_t cut = { 0 };
      cut.n = cut.cap = rng_below (&r, b.n + 1);
      cut.p = malloc (cut.n + !cut.n);
      if (cut.p == NULL)
        abort ();
      memcpy (cut.p, b.p, cut.n);
      parse_all (&cut);
      free (cut.p);
      buf_free (&b);
    }
}
END_TEST

int
main (void)
{
  Suite *s = suite_create ("pgwire");
  TCase *t = tcase_create ("pgwire");

  tcase_set_timeout (t, 60);
  tcase_add_test (t, startup_session);
  tcase_add_test (t, startup_requests);
  tcase_add_test (t, startup_malformed);
  tcase_add_test (t, round_trip);
  tcase_add_test (t, rows);
  tcase_add_test (t, limits);
  tcase_add_test (t, refusals);
  tcase_add_test (t, fuzz);
  suite_add_tcase (s, t);
  SRunner *r = srunner_create (s);
  srunner_run_all (r, CK_NORMAL);
  int failed = srunner_ntests_failed (r);
  srunner_free (r);
  return failed != 0;
}
