#include "entry.h"

#include <apr_general.h>
#include <check.h>
#include <stdio.h>
#include <string.h>

static pool_t pool;

static int
open_connection (msec_t now)
{
  int slot = pool_open (&pool, now);

  ck_assert_int_ge (slot, 0);
  ck_assert_int_eq (pool_connected (&pool, slot, now), POOL_KEEP);
  return slot;
}

static void
setup (void)
{
  pool_init (&pool);
  pool_limit (&pool, 3);
}

/* Guards against two owners of one connection (rule R3).  */
START_TEST (one_owner)
{
  int a = open_connection (1);
  int got = pool_take (&pool, 11, 2);

  ck_assert_int_eq (got, a);
  ck_assert_int_eq (pool_take (&pool, 12, 2), -1);
  ck_assert_int_eq (pool_take (&pool, 0, 2), -1);
  ck_assert_int_eq (pool_release (&pool, a, 12, 'I', false, false, 3),
                    POOL_CLOSE);
  ck_assert_int_eq (pool_release (&pool, a, 11, 'I', false, false, 3),
                    POOL_KEEP);
  ck_assert_int_eq (pool_take (&pool, 12, 4), a);
}
END_TEST

/* Guards against a connection that becomes idle after a cancelled or broken
   request, inside a transaction block or with session state.  */
START_TEST (unusable_is_closed)
{
  static const struct
  {
    char ready;
    bool stateful;
    bool unusable;
    pool_action_t action;
  } c[]
      = { { 'I', false, false, POOL_KEEP },  { 'I', false, true, POOL_CLOSE },
          { 'T', false, false, POOL_CLOSE }, { 'E', false, false, POOL_CLOSE },
          { 0, false, false, POOL_CLOSE },   { 'I', true, false, POOL_RESET },
          { 'I', true, true, POOL_CLOSE } };

  for (size_t i = 0; i < sizeof c / sizeof *c; i++)
    {
      setup ();
      int s = open_connection (1);
      pool_take (&pool, 5, 1);
      ck_assert_int_eq (pool_release (&pool, s, 5, c[i].ready, c[i].stateful,
                                      c[i].unusable, 2),
                        c[i].action);
      if (c[i].action != POOL_KEEP)
        ck_assert_int_eq (pool_take (&pool, 6, 3), -1);
      if (c[i].action == POOL_RESET)
        {
          ck_assert_int_eq (pool_reset (&pool, s, 'I', false, 4), POOL_CLOSE);
          ck_assert_int_eq (pool_reset (&pool, s, 'I', true, 4), POOL_KEEP);
        }
    }
}
END_TEST

/* Guards against more connections than the limit allows, and against
   connection attempts without backoff to a database that refuses them.  */
START_TEST (limits)
{
  int a = open_connection (1);
  open_connection (1);
  open_connection (1);
  ck_assert_int_eq (pool_open (&pool, 1), -1);
  pool_take (&pool, 9, 2);
  pool_limit (&pool, 1);
  int s = pool_surplus (&pool, 0, 1000, 2);
  ck_assert_int_eq (s, a);
  pool_closed (&pool, s);
  s = pool_surplus (&pool, 0, 1000, 2);
  ck_assert_int_ge (s, 0);
  pool_closed (&pool, s);
  ck_assert_int_eq (pool.open, 1);
  pool_limit (&pool, 2);
  s = pool_open (&pool, 3);
  pool_failed (&pool, s, 3);
  ck_assert_int_eq (pool_open (&pool, 3), -1);
  ck_assert_int_ge (pool_open (&pool, 3 + 60), 0);
}
END_TEST

/* Guards against counters that differ from the slots: random events, with a
   recount after each.  A connection never has two owners, and none is opened
   above the limit.  */
START_TEST (fuzz)
{
  uint64_t owner[POOL_MAX] = { 0 };
  rng_t r;

  rng_init (&r, 3);
  for (msec_t now = 1; now < 300000; now++)
    {
      int s = (int)rng_below (&r, 8);
      switch (rng_below (&r, 7))
        {
        case 0:
          pool_limit (&pool, (int)rng_below (&r, 9));
          break;
        case 1:
          if (pool_open (&pool, now) >= 0)
            ck_assert_int_le (pool.open, pool.limit);
          break;
        case 2:
          if (pool.slot[s].state == SLOT_CONNECTING)
            {
              if (rng_below (&r, 8) == 0)
                pool_failed (&pool, s, now);
              else if (pool_connected (&pool, s, now) == POOL_CLOSE)
                pool_closed (&pool, s);
            }
          break;
        case 3:
          s = pool_take (&pool, (uint64_t)now, now);
          if (s >= 0)
            {
              ck_assert_uint_eq (owner[s], 0);
              owner[s] = (uint64_t)now;
            }
          break;
        case 4:
          if (pool.slot[s].state == SLOT_BUSY)
            {
              pool_action_t a
                  = pool_release (&pool, s, owner[s], "ITI"[rng_below (&r, 3)],
                                  rng_below (&r, 2), false, now);
              owner[s] = 0;
              if (a == POOL_CLOSE)
                pool_closed (&pool, s);
            }
          break;
        case 5:
          if (pool.slot[s].state == SLOT_RESETTING
              && pool_reset (&pool, s, 'I', true, now) == POOL_CLOSE)
            pool_closed (&pool, s);
          break;
        default:
          s = pool_surplus (&pool, 1, 50, now);
          if (s >= 0)
            pool_closed (&pool, s);
        }
      int open = 0;
      int idle = 0;
      for (int i = 0; i < 16; i++)
        {
          open += pool.slot[i].state != SLOT_FREE;
          idle += pool.slot[i].state == SLOT_IDLE;
        }
      ck_assert (open == pool.open && idle == pool.nidle);
    }
}
END_TEST

/* ---- plans ---- */

static plan_t
plan (const char *text, block_t block, bool keyed)
{
  static sql_cache_t *cache;
  static apr_pool_t *p;
  sql_t q;

  if (cache == NULL)
    {
      apr_initialize ();
      apr_pool_create (&p, NULL);
      cache = sql_cache_new (p, 64);
    }
  sql_classify (cache, str_of (text), &q);
  plan_input_t in = { .block = block, .keyed = keyed };
  return plan_statement (&q, &in);
}

/* Guards against a write that is planned as a read, and against features that
   need a session of their own on a pooled connection.  */
START_TEST (plans)
{
  static const struct
  {
    const char *text;
    block_t block;
    bool keyed;
    plan_kind_t kind;
  } c[] = {
    { "SELECT 1", BLOCK_NONE, false, PLAN_READ },
    { "INSERT INTO t VALUES (1)", BLOCK_NONE, false, PLAN_WRITE },
    { "INSERT INTO t VALUES (1)", BLOCK_NONE, true, PLAN_KEYED },
    { "INSERT INTO t VALUES (1)", BLOCK_OPEN, true, PLAN_REFUSE },
    { "SELECT f(1)", BLOCK_NONE, false, PLAN_WRITE },
    { "not sql", BLOCK_NONE, false, PLAN_WRITE },
    { "BEGIN", BLOCK_NONE, false, PLAN_BEGIN },
    { "BEGIN READ ONLY", BLOCK_NONE, false, PLAN_BEGIN_READ },
    { "COMMIT", BLOCK_OPEN, false, PLAN_COMMIT },
    { "ROLLBACK", BLOCK_OPEN, false, PLAN_BLOCK },
    { "BEGIN; INSERT INTO t VALUES (1); COMMIT", BLOCK_NONE, false,
      PLAN_WRITE },
    { "BEGIN; SELECT 1; COMMIT", BLOCK_NONE, true, PLAN_REFUSE },
    { "SELECT 1; COMMIT", BLOCK_OPEN, false, PLAN_COMMIT },
    { "COPY t FROM STDIN", BLOCK_NONE, false, PLAN_REFUSE },
    { "LISTEN a", BLOCK_OPEN, false, PLAN_REFUSE },
    { "SELECT 1; LISTEN a", BLOCK_NONE, false, PLAN_REFUSE },
    { "SET search_path = a", BLOCK_NONE, false, PLAN_SET },
    { "SET pimentopost.key = 'a'", BLOCK_NONE, false, PLAN_LOCAL },
    { "DISCARD ALL", BLOCK_OPEN, false, PLAN_REFUSE },
    { "", BLOCK_NONE, false, PLAN_LOCAL },
  };

  for (size_t i = 0; i < sizeof c / sizeof *c; i++)
    ck_assert_msg (plan (c[i].text, c[i].block, c[i].keyed).kind == c[i].kind,
                   "%s", c[i].text);
  sql_t set_q = { .cls = SQL_SET, .name = STR ("search_path") };
  plan_input_t in = { .block = BLOCK_OPEN };
  ck_assert_int_eq (plan_statement (&set_q, &in).kind, PLAN_BLOCK);
  in.savepoint = true; /* ROLLBACK TO may undo the setting */
  ck_assert_int_eq (plan_statement (&set_q, &in).kind, PLAN_REFUSE);
  ck_assert (plan ("SAVEPOINT a", BLOCK_OPEN, false).savepoint);
  plan_t read = { .kind = PLAN_READ };
  plan_t write = { .kind = PLAN_WRITE };
  plan_t begin = { .kind = PLAN_BEGIN };
  plan_t set = { .kind = PLAN_SET };
  ck_assert_int_eq (plan_join (read, write).kind, PLAN_WRITE);
  ck_assert_int_eq (plan_join (begin, read).kind, PLAN_WRITE);
  ck_assert_int_eq (plan_join (set, read).kind, PLAN_SET);
}
END_TEST

/* Guards against running statements in a block whose connection was lost.  */
START_TEST (lost_block)
{
  sql_t q = { .cls = SQL_WRITE };
  plan_input_t in = { .block = BLOCK_FAILED, .block_lost = true };

  ck_assert_int_eq (plan_statement (&q, &in).refusal, PG_ABORTED);
  q.cls = SQL_COMMIT;
  ck_assert_int_eq (plan_statement (&q, &in).local, LOCAL_ROLLBACK);
}
END_TEST

/* ---- settings, outcomes, statements, admin database ---- */

/* Guards against SQL injection through the values of settings, and against
   settings that remain after RESET.  */
START_TEST (settings)
{
  guc_t g = { 0 };
  buf_t b = { 0 };

  ck_assert (guc_set (&g, STR ("a.b"), STR ("x'; DROP"), false, NULL));
  ck_assert (guc_set (&g, STR ("A.B"), STR ("it's"), false, NULL));
  ck_assert (guc_set (&g, STR ("p"), STR ("\\'"), false, NULL));
  guc_sql (&g, &b);
  ck_assert (str_eq (buf_str (&b), STR ("SET \"A\".\"B\" TO 'it''s'; "
                                        "SET \"p\" TO  E'\\\\'''; ")));
  ck_assert (guc_set (&g, STR ("p"), STR (""), true, NULL));
  ck_assert_ptr_null (guc_get (&g, STR ("p")).p);
  char big[GUC_MAX];
  memset (big, 'x', sizeof big);
  ck_assert (
      !guc_set (&g, STR ("c"), (str_t){ big, sizeof big }, false, NULL));
  buf_free (&b);
  guc_free (&g);
}
END_TEST

/* Guards against a replay that differs from the first answer, and against
   replaying a corrupt outcome.  */
START_TEST (outcomes)
{
  buf_t answer = { 0 };
  buf_t text = { 0 };
  buf_t back = { 0 };
  err_t e = { 0 };

  pg_put_empty (&answer, '1');
  pg_put_columns (&answer, (const char *[]){ "id" }, 1);
  pg_put_row (&answer, (str_t[]){ STR ("7") }, 1);
  pg_put_complete (&answer, "INSERT 0 1");
  outcome_write (&text, buf_str (&answer));
  ck_assert (outcome_read (&back, buf_str (&text), &e));
  buf_take (&answer, 5);
  ck_assert (str_eq (buf_str (&answer), buf_str (&back)));
  for (size_t n = 0; n < text.n; n++)
    {
      buf_t part = { 0 };
      outcome_read (&part, (str_t){ text.p, n }, NULL);
      buf_free (&part);
    }
  text.p[20] = 'x';
  back.n = back.off = 0;
  ck_assert (!outcome_read (&back, buf_str (&text), &e));
  ck_assert_int_eq (e.code, ERR_CORRUPT);
  buf_free (&answer);
  buf_free (&text);
  buf_free (&back);
}
END_TEST

/* Guards against confusing two prepared statements, and against using one that
   was closed on the connection.  */
START_TEST (statements)
{
  apr_pool_t *p;
  prepared_t c = { 0 };
  stmt_names_t n = { 0 };
  char evicted[40];
  char text[32];
  stmt_t *s[PREPARED_MAX + 1];

  apr_initialize ();
  apr_pool_create (&p, NULL);
  stmts_t *all = stmts_new (p);
  for (int i = 0; i <= PREPARED_MAX; i++)
    {
      int len = snprintf (text, sizeof text, "SELECT %d", i);
      s[i] = stmt_get (all, (str_t){ text, (size_t)len }, 0, STR (""));
      ck_assert (prepared_add (&c, s[i], evicted) == (i == PREPARED_MAX));
    }
  ck_assert_str_eq (evicted, s[0]->name);
  ck_assert (!prepared_has (&c, s[0]) && prepared_has (&c, s[1]));
  ck_assert (stmt_get (all, STR ("SELECT 1"), 0, STR ("")) == s[1]);
  ck_assert (stmt_get (all, STR ("SELECT 1"), 1, STR ("abcd")) != s[1]);
  ck_assert (stmt_names_set (&n, all, STR ("a"), s[1], NULL));
  ck_assert (stmt_names_set (&n, all, STR ("a"), s[2], NULL));
  ck_assert_ptr_eq (stmt_names_find (&n, STR ("a")), s[2]);
  stmt_names_free (&n, all);
  apr_pool_destroy (p);
}
END_TEST

/* Guards against passing malformed announcements to control.  */
START_TEST (admin)
{
  static const char *const bad[]
      = { "ANNOUNCE",
          "ANNOUNCE GROUP 'g'",
          "ANNOUNCE GROUP 'g' NAME 'd' ADDRESS 'a' ZONE 'z' TERM -1",
          "ANNOUNCE GROUP 'g' NAME 'd ADDRESS",
          "SELECT 1",
          "SHOW TABLES" };
  announce_t a;
  err_t e;
  admin_kind_t k = admin_parse (
      STR ("ANNOUNCE GROUP 'g' NAME 'd' ADDRESS '127.0.0.1:1' ZONE 'z' TERM "
           "3 POSITION 100 LEAVING true;"),
      &a, &e);

  ck_assert (k == ADMIN_ANNOUNCE && a.term == 3 && a.position == 100
             && a.leaving && str_eq (a.address, STR ("127.0.0.1:1")));
  for (size_t i = 0; i < sizeof bad / sizeof *bad; i++)
    ck_assert_int_eq (admin_parse (str_of (bad[i]), &a, &e), ADMIN_ERROR);
  ck_assert_int_eq (admin_parse (STR ("show leases"), &a, &e), ADMIN_LEASES);
}
END_TEST

int
main (void)
{
  Suite *s = suite_create ("entry_pool");
  TCase *t = tcase_create ("decisions");

  tcase_set_timeout (t, 60);
  tcase_add_checked_fixture (t, setup, NULL);
  tcase_add_test (t, one_owner);
  tcase_add_test (t, unusable_is_closed);
  tcase_add_test (t, limits);
  tcase_add_test (t, fuzz);
  tcase_add_test (t, plans);
  tcase_add_test (t, lost_block);
  tcase_add_test (t, settings);
  tcase_add_test (t, outcomes);
  tcase_add_test (t, statements);
  tcase_add_test (t, admin);
  suite_add_tcase (s, t);
  SRunner *r = srunner_create (s);
  srunner_run_all (r, CK_NORMAL);
  int failed = srunner_ntests_failed (r);
  srunner_free (r);
  return failed != 0;
}
