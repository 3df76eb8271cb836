#include "conf.h"

#include <apr_general.h>
#include <check.h>
#include <stdlib.h>
#include <string.h>

#include "fuzz_conf.c"

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

static str_t
load (const char *path)
{
  str_t text = { 0 };
  err_t e = { 0 };

  ck_assert_msg (conf_read_file (pool, path, &text, &e), "%s", e.detail);
  return text;
}

/* TEXT with the first occurrence of OLD replaced by NEW.  */
static str_t
replaced (str_t text, const char *old, const char *new)
{
  const char *at = strstr (text.p, old);

  ck_assert_msg (at != NULL, "no '%s'", old);
  return str_fmt (pool, "%.*s%s%s", (int)(at - text.p), text.p, new,
                  at + strlen (old));
}

/* The examples pass the checks and have the sizes of the two deployments.  */
START_TEST (examples)
{
  err_t e = { 0 };
  config_t *t
      = questionnaire_parse (pool, "tan", load ("examples/tan.yaml"), &e);
  config_t *b = questionnaire_parse (pool, "bureau",
                                     load ("examples/bureau.yaml"), &e);

  ck_assert_msg (t && b, "%s:%d %s", e.subject, e.line, e.detail);
  ck_assert_int_eq (t->nentry, 9);
  ck_assert_int_eq (t->ncontrol, 3);
  ck_assert_int_eq (t->groups[0].shared, 20 - 3 - 9);
  ck_assert_int_eq (b->nentry, 8);
  ck_assert_int_eq (b->nzones, 4);
  ck_assert_int_eq (config_kind (b, STR ("proof-view"))->max_age, 5000);
  ck_assert_int_eq (config_kind (t, STR ("route-view"))->max_age, -1);
  ck_assert (config_kind (t, STR ("sale"))->key);
  ck_assert_ptr_null (config_group (t, STR ("topper-db-1")));
  ck_assert_ptr_nonnull (config_instance (t, STR ("tan-control-3")));
  ck_assert (settings_load (pool, "examples/entry-settings.yaml", &e));
  ck_assert (settings_load (pool, "examples/control-settings.yaml", &e));
}
END_TEST

/* Questionnaires of the same meaning give equal configurations, and text that
   is not canonical is rejected.  */
START_TEST (canonical)
{
  err_t e = { 0 };
  str_t q = load ("examples/tan.yaml");
  str_t one;
  str_t two;

  ck_assert (config_generate (pool, "q", q, &one, &e));
  q = replaced (q, "[shah-alam, petaling-jaya, klang]",
                "[klang, shah-alam, petaling-jaya]");
  q = replaced (q, "deadline: 2s", "deadline: 2000ms");
  ck_assert (config_generate (pool, "q", q, &two, &e));
  ck_assert (str_eq (one, two));
  ck_assert_ptr_nonnull (config_parse (pool, one, &e));
  ck_assert_ptr_null (config_parse (pool, q, &e));
  ck_assert_int_eq (e.code, ERR_SYNTAX);
}
END_TEST

static const struct
{
  const char *old;
  const char *new;
  errcode_t code;
  int line; /* lines after that of OLD; -1: not compared */
} faults[] = {
  { "team: tan", "team: [tan", ERR_SYNTAX, -1 },
  { "team: tan", "team: &a tan", ERR_SYNTAX, 0 },
  { "team: tan", "team: \"a b\"", ERR_BAD_TYPE, 0 },
  { "team: tan", "team: {a: 1}", ERR_BAD_TYPE, 0 },
  { "team: tan", "taem: tan", ERR_UNKNOWN_KEY, 0 },
  { "team: tan", "team: tan\nteam: tan", ERR_DUPLICATE_KEY, 1 },
  { "team: tan\nregion", "region", ERR_MISSING_KEY, 0 },
  { "connect_time: 10ms", "connect_time: 10", ERR_BAD_UNIT, 0 },
  { "connect_time: 10ms", "connect_time: 10min", ERR_BAD_UNIT, 0 },
  { "connect_time: 10ms", "connect_time: fast", ERR_BAD_TYPE, 0 },
  { "connect_time: 10ms", "connect_time: 61s", ERR_RANGE, 0 },
  { "connect_time: 10ms", "connect_time: 99999999999999999999s", ERR_RANGE,
    0 },
  { "slots: 3", "slots: 3ms", ERR_BAD_TYPE, 0 },
  { "slots: 3", "slots: 0", ERR_RANGE, 0 },
  { "slots: 3", "slots: 21", ERR_RANGE, 0 },
  { "databases: 3", "databases: 2", ERR_RANGE, 0 },
  { "connections: 20", "connections: 11", ERR_RANGE, 0 },
  { "name: sticker-ledger-2", "name: sticker-ledger-1", ERR_DUPLICATE_KEY,
    -1 },
  { "availability_zone: shah-alam", "availability_zone: subang", ERR_REFERENCE,
    0 },
  { "role: entry", "role: proxy", ERR_BAD_TYPE, 0 },
  { "role: control", "role: entry", ERR_RANGE, -1 },
  { "address: 127.0.0.1:22001", "address: localhost:22001", ERR_BAD_TYPE, 0 },
  { "address: 127.0.0.1:22001", "address: 127.0.0.1:0", ERR_RANGE, 0 },
  { "address: 127.0.0.1:22001", "address: 127.0.0.1:22002", ERR_DUPLICATE_KEY,
    -1 },
  { "health: 127.0.0.1:22101", "health: 127.0.0.1:22051", ERR_DUPLICATE_KEY,
    0 },
  { "worth: 10", "worth: 0", ERR_RANGE, -1 },
  { "worth: 10", "worth: 1e3", ERR_BAD_TYPE, -1 },
  { "repeatable: false", "repeatable: no", ERR_BAD_TYPE, -1 },
  { "key: required\n    effect: write", "max_age: 1s\n    effect: write",
    ERR_RANGE, -1 },
  { "max_age: 2s", "key: required", ERR_RANGE, -1 },
  { "session_window: 1s", "session_window: 1s\n  rate: 1", ERR_UNKNOWN_KEY,
    -1 },
  { "  session_window: 1s\n", "  session_window: 1s\n---\na: 1\n", ERR_SYNTAX,
    -1 },
};

static int
line_of_text (str_t text, const char *part)
{
  int line = 1;

  for (const char *p = text.p; p < strstr (text.p, part); p++)
    line += *p == '\n';
  return line;
}

/* An invalid answer is rejected with the right type and line.  */
START_TEST (refusals)
{
  str_t q = load ("examples/tan.yaml");
  err_t e = { 0 };
  str_t bad = replaced (q, faults[_i].old, faults[_i].new);

  ck_assert_ptr_null (questionnaire_parse (pool, "tan.yaml", bad, &e));
  ck_assert_msg (e.code == faults[_i].code, "%s -> %s: %s", faults[_i].new,
                 err_name (e.code), e.detail);
  ck_assert_str_eq (e.subject, "tan.yaml");
  ck_assert_int_gt (e.line, 0);
  if (faults[_i].line >= 0)
    ck_assert_msg (e.line
                       == line_of_text (q, faults[_i].old) + faults[_i].line,
                   "%s: line %d", faults[_i].new, e.line);
}
END_TEST

/* An availability zone that holds a majority of the control instances is
   rejected, since its loss would leave the cell without a quorum.  */
START_TEST (zone_majority)
{
  str_t q = load ("examples/tan.yaml");
  str_t at = q;
  err_t e = { 0 };

  at.p = strstr (q.p, "name: tan-control-2");
  str_t tail = replaced (str_of (at.p), "petaling-jaya", "shah-alam");
  q = str_fmt (pool, "%.*s%s", (int)(at.p - q.p), q.p, tail.p);
  ck_assert_ptr_null (questionnaire_parse (pool, "q", q, &e));
  ck_assert_int_eq (e.code, ERR_RANGE);
  ck_assert_ptr_nonnull (strstr (e.detail, "majority"));
}
END_TEST

/* Settings of another role are rejected, and so is a control instance that
   is missing from its own list.  */
START_TEST (settings_refusals)
{
  str_t c = load ("examples/control-settings.yaml");
  str_t n = load ("examples/entry-settings.yaml");
  err_t e = { 0 };

  ck_assert (!settings_parse (
      pool, "s", replaced (c, "role: control", "role: entry"), &e));
  ck_assert_int_eq (e.code, ERR_UNKNOWN_KEY);
  ck_assert (!settings_parse (
      pool, "s", replaced (n, "role: entry", "role: control"), &e));
  ck_assert_int_eq (e.code, ERR_MISSING_KEY);
  ck_assert (!settings_parse (pool, "s",
                              replaced (n, "workers: 1", "workers: 65"), &e));
  ck_assert_int_eq (e.code, ERR_RANGE);
  ck_assert (!settings_parse (
      pool, "s", replaced (c, "name: tan-control-1", "name: tan-control-9"),
      &e));
  ck_assert_int_eq (e.code, ERR_REFERENCE);
  ck_assert (!settings_load (pool, "/nonexistent/s.yaml", &e));
  ck_assert_int_eq (e.code, ERR_SYS);
}
END_TEST

static size_t
mutate (rng_t *r, char *p, size_t n, size_t cap)
{
  static const char *const words[] = {
    "10ms",        "-1",    "none",        "&a ",  "*a",     "[",
    "{",           "}",     "]",           "\n- ", ": ",     "\n",
    "\"",          "'",     "|\n",         "? ",   "!!int ", "\t",
    "%YAML 1.1\n", "---\n", "99999999999", "0.5",  "\xff",   "\xef\xbb\xbf",
    "<<: "
  };
  char byte = (char)rng_u64 (r);
  char part[40];
  size_t at = rng_below (r, n + 1);
  size_t cut = rng_below (r, 2) * rng_below (r, 40);
  /* A word, a byte, nothing (a deletion) or a copy of a part of the text.  */
  str_t in[] = { str_of (words[rng_below (r, sizeof words / sizeof *words)]),
                 { &byte, 1 },
                 { 0 },
                 { part, n - at < sizeof part ? n - at : sizeof part } };
  str_t w = in[rng_below (r, 4)];

  memcpy (part, p + at, in[3].n);
  if (cut > n - at)
    cut = n - at;
  if (n - cut + w.n > cap)
    return n;
  memmove (p + at + w.n, p + at + cut, n - at - cut);
  if (w.n)
    memcpy (p + at, w.p, w.n);
  return n - cut + w.n;
}

/* Mutated examples cause no crash, and accepted text parses again after it was
   written.  The seed is fixed, so that a failure repeats.  */
START_TEST (fuzz)
{
  static const char *const seeds[]
      = { "examples/tan.yaml", "examples/bureau.yaml",
          "examples/entry-settings.yaml", "examples/control-settings.yaml" };
  enum
  {
    ROUNDS = 2000,
    CAP = 64 << 10
  };
  static char work[CAP];
  rng_t r;

  rng_init (&r, 20261204);
  for (int i = 0; i < ROUNDS; i++)
    {
      str_t s = load (seeds[i % 4]);
      size_t n = s.n;
      memcpy (work, s.p, n);
      for (uint64_t m = rng_below (&r, 6); m > 0; m--)
        n = mutate (&r, work, n, CAP);
      LLVMFuzzerTestOneInput ((const uint8_t *)work, n);
      apr_pool_clear (pool);
    }
}
END_TEST

int
main (void)
{
  Suite *s = suite_create ("conf");
  TCase *t = tcase_create ("conf");
  SRunner *r;

  tcase_add_checked_fixture (t, setup, teardown);
  tcase_set_timeout (t, 60);
  tcase_add_test (t, examples);
  tcase_add_test (t, canonical);
  tcase_add_loop_test (t, refusals, 0, sizeof faults / sizeof *faults);
  tcase_add_test (t, zone_majority);
  tcase_add_test (t, settings_refusals);
  tcase_add_test (t, fuzz);
  suite_add_tcase (s, t);
  r = srunner_create (s);
  srunner_run_all (r, CK_ENV);
  int failed = srunner_ntests_failed (r);
  srunner_free (r);
  return failed ? EXIT_FAILURE : EXIT_SUCCESS;
}
