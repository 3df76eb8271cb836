#include "sql.h"

#include <apr_general.h>
#include <check.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

static apr_pool_t *pool;
static sql_cache_t *cache;

static void
setup (void)
{
  apr_initialize ();
  apr_pool_create (&pool, NULL);
  cache = sql_cache_new (pool, 64);
}

static void
teardown (void)
{
  apr_pool_destroy (pool);
}

static const struct
{
  const char *text;
  sqlclass_t cls;
} cases[] = {
  { "", SQL_EMPTY },
  { "/* nothing */ ;", SQL_EMPTY },
  { "SELECT val FROM t WHERE id = 'a'", SQL_READ },
  { "WITH x AS (SELECT 1) SELECT count(*) FROM x", SQL_READ },
  { "VALUES (1), (2)", SQL_READ },
  { "SELECT * FROM t FOR UPDATE", SQL_WRITE },
  { "SELECT * INTO u FROM t", SQL_WRITE },
  { "WITH d AS (DELETE FROM t RETURNING *) SELECT * FROM d", SQL_WRITE },
  { "SELECT nextval('s')", SQL_WRITE },
  { "SELECT val FROM t WHERE id = (SELECT charge_card(1))", SQL_WRITE },
  { "INSERT INTO t(id, val) VALUES ('a', 'b')", SQL_WRITE },
  { "CREATE TABLE t (id int)", SQL_WRITE },
  { "CREATE TEMP TABLE t (id int)", SQL_SESSION },
  { "SELECT pg_advisory_lock(1)", SQL_SESSION },
  { "SELECT pimentopost_fence(9, 'me')", SQL_SESSION },
  { "LISTEN c", SQL_SESSION },
  { "DECLARE c CURSOR WITH HOLD FOR SELECT 1", SQL_SESSION },
  { "DECLARE c CURSOR FOR SELECT 1", SQL_READ },
  { "EXPLAIN DELETE FROM t", SQL_READ },
  { "EXPLAIN ANALYZE DELETE FROM t", SQL_WRITE },
  { "BEGIN", SQL_BEGIN },
  { "START TRANSACTION READ ONLY", SQL_BEGIN_READ_ONLY },
  { "BEGIN READ WRITE", SQL_BEGIN },
  { "END", SQL_COMMIT },
  { "ROLLBACK", SQL_ROLLBACK },
  { "ROLLBACK TO s", SQL_SAVEPOINT },
  { "COMMIT AND CHAIN", SQL_SESSION },
  { "PREPARE TRANSACTION 'x'", SQL_TWO_PHASE },
  { "SET LOCAL work_mem = '1MB'", SQL_SET_LOCAL },
  { "SHOW pimentopost.token", SQL_SHOW },
  { "DISCARD ALL", SQL_RESET },
  { "COPY t FROM STDIN", SQL_COPY },
  { "PREPARE p AS SELECT 1", SQL_PREPARE },
  { "SELECT 1; SELECT 2", SQL_MULTI },
  { "SELEKT 1", SQL_INVALID },
};

/* A write classified as a read would be sent to a replica, and a statement
   that needs its own connection would run on a pooled one.  The second round
   reads the class from the cache.  */
START_TEST (classes)
{
  sql_t s;

  for (int round = 0; round < 2; round++)
    {
      sql_classify (cache, str_of (cases[_i].text), &s);
      ck_assert_msg (s.cls == cases[_i].cls, "'%s' has class %d, expected %d",
                     cases[_i].text, (int)s.cls, (int)cases[_i].cls);
    }
}
END_TEST

/* Name and value of a SET survive the cache.  */
START_TEST (set_keeps_name_and_value)
{
  sql_t s;

  for (int round = 0; round < 2; round++)
    {
      sql_classify (cache, STR ("SET pimentopost.token = '3:17'"), &s);
      ck_assert_int_eq (s.cls, SQL_SET);
      ck_assert (str_eq (s.name, STR ("pimentopost.token")));
      ck_assert (str_eq (s.value, STR ("3:17")));
    }
  sql_classify (cache, STR ("SET search_path TO a, b"), &s);
  ck_assert (str_eq (s.value, STR ("a,b")));
  sql_classify (cache, STR ("SET timezone TO DEFAULT"), &s);
  ck_assert (s.defaulted);
}
END_TEST

/* A text with several statements shows writes, transaction control and
   unsupported statements in it.  */
START_TEST (multi_flags)
{
  sql_t s;

  sql_classify (cache, STR ("SELECT 1; DELETE FROM t"), &s);
  ck_assert (s.multi_write && !s.multi_block && !s.multi_refused);
  sql_classify (cache, STR ("BEGIN; SELECT 1; COMMIT"), &s);
  ck_assert (s.multi_block);
  sql_classify (cache, STR ("SELECT 1; LISTEN x"), &s);
  ck_assert (s.multi_refused);
}
END_TEST

/* Texts keep their class when the cache evicts others.  */
START_TEST (cache_evicts)
{
  sql_t s;
  char text[64];

  for (int i = 0; i < 2000; i++)
    {
      snprintf (text, sizeof text, i % 3 ? "SELECT %d" : "DELETE FROM t%d",
                i % 500);
      sql_classify (cache, str_of (text), &s);
      ck_assert_int_eq (s.cls, i % 3 ? SQL_READ : SQL_WRITE);
    }
}
END_TEST

static const char *const lookalikes[][2] = {
  /* A read, then a write that must have another shape.  */
  { "SELECT 'a'", "SELECT 'a'; DELETE FROM t; SELECT 'b'" },
  { "SELECT 'a''b'", "SELECT 'a'; DELETE FROM t WHERE id = 'b'" },
  { "SELECT E'a'", "SELECT E'a\\\\'; DELETE FROM t; --'" },
  { "SELECT $$a$$", "SELECT $$a$$; DELETE FROM t; SELECT $$b$$" },
  { "/* a */ SELECT 1", "/* a /* b */ */ DELETE FROM t" },
  { "SELECT \"a\" FROM t", "SELECT \"a\" FROM t; DELETE FROM t" },
  { "SELECT 1 -- x", "SELECT 1 -- x\n; DELETE FROM t" },
  { "SELECT val FROM t1", "DELETE FROM t1" },
};

/* A write that hit the cache entry of a read would be sent to a replica.  */
START_TEST (shapes_keep_writes_apart)
{
  sql_t a;
  sql_t b;

  sql_classify (cache, str_of (lookalikes[_i][0]), &a);
  ck_assert_int_eq (a.cls, SQL_READ);
  sql_classify (cache, str_of (lookalikes[_i][1]), &b);
  ck_assert_msg (b.cls == SQL_WRITE || b.multi_write, "'%s' is class %d",
                 lookalikes[_i][1], (int)b.cls);
}
END_TEST

/* Texts that differ only in constants and the hint share a cache entry, so
   that constants cannot fill the cache.  */
START_TEST (shapes_merge_constants)
{
  sql_t a;
  sql_t b;

  sql_classify (cache, STR ("/* pimentopost key=1 */ SELECT 'x', 1.5"), &a);
  sql_classify (cache, STR ("SELECT 'yy''z', 22"), &b);
  ck_assert_int_eq (a.fingerprint, b.fingerprint);
  sql_classify (cache, STR ("SELECT 'x', x1"), &b);
  ck_assert_int_ne (a.fingerprint, b.fingerprint);
}
END_TEST

/* Hints are parsed, and invalid ones rejected instead of ignored.  */
START_TEST (hints)
{
  hint_t h;
  err_t e = { 0 };

  hint_init (&h);
  ck_assert (hint_parse (STR (" /* pimentopost kind=sale key=k-1 max_age=0 "
                              "deadline=800 repeatable=true */ SELECT 1"),
                         &h, &e));
  ck_assert (str_eq (h.kind, STR ("sale")));
  ck_assert (str_eq (h.key, STR ("k-1")));
  ck_assert_int_eq (h.max_age, 0);
  ck_assert_int_eq (h.deadline, 800);
  ck_assert_int_eq (h.repeatable, 1);
  ck_assert_int_eq (h.worth, -1);
  hint_init (&h);
  ck_assert (hint_parse (STR ("/* other */ SELECT 1"), &h, &e));
  ck_assert (hint_parse (STR ("/* pimentopostal x */ SELECT 1"), &h, &e));
  ck_assert (!hint_parse (STR ("/* pimentopost x=1 */"), &h, &e));
  ck_assert_int_eq (e.code, ERR_UNKNOWN_KEY);
  ck_assert (!hint_parse (STR ("/* pimentopost worth=-1 */"), &h, &e));
  ck_assert_int_eq (e.code, ERR_RANGE);
  ck_assert (!hint_parse (STR ("/* pimentopost worth=1 worth=2 */"), &h, &e));
  ck_assert_int_eq (e.code, ERR_DUPLICATE_KEY);
  ck_assert (!hint_parse (STR ("/* pimentopost worth"), &h, &e));
  ck_assert_int_eq (e.code, ERR_SYNTAX);
  ck_assert (!hint_parse (STR ("/* pimentopost worth */"), &h, &e));
  ck_assert_int_eq (e.code, ERR_SYNTAX);
}
END_TEST

int
main (void)
{
  Suite *s = suite_create ("sql");
  TCase *t = tcase_create ("sql");
  SRunner *r = srunner_create (s);

  tcase_add_checked_fixture (t, setup, teardown);
  tcase_add_loop_test (t, classes, 0, sizeof cases / sizeof *cases);
  tcase_add_test (t, set_keeps_name_and_value);
  tcase_add_test (t, multi_flags);
  tcase_add_test (t, cache_evicts);
  tcase_add_loop_test (t, shapes_keep_writes_apart, 0,
                       sizeof lookalikes / sizeof *lookalikes);
  tcase_add_test (t, shapes_merge_constants);
  tcase_add_test (t, hints);
  suite_add_tcase (s, t);
  srunner_run_all (r, CK_NORMAL);
  int failed = srunner_ntests_failed (r);
  srunner_free (r);
  return failed ? EXIT_FAILURE : EXIT_SUCCESS;
}
