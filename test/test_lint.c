#include "lint.h"

#include <apr_general.h>
#include <check.h>
#include <stdlib.h>
#include <string.h>

static apr_pool_t *pool;

static void
setup_pool (void)
{
  apr_pool_create (&pool, NULL);
}

static void
free_pool (void)
{
  apr_pool_destroy (pool);
}

/* A configuration without findings, whose entries the tests change.  */
typedef struct
{
  route_entry_t routes[2];
  service_entry_t services[2];
  tenant_entry_t tenants[2];
  api_key_t keys[2];
  setup_t s;
} sample_t;

static void
sample_init (sample_t *x)
{
  *x = (sample_t){
    .routes = { { .host = STR ("h1"),
                  .service = STR ("s1"),
                  .timeout = 800,
                  .target = 150 },
                { .host = STR ("h2"),
                  .service = STR ("s2"),
                  .freshness = FRESH_BOUNDED,
                  .max_age = 1500,
                  .timeout = 2000,
                  .target = 1000 } },
    .services = { { .name = STR ("s1"), .connections = 56 },
                  { .name = STR ("s2"), .connections = 56 } },
    .tenants = { { .name = STR ("t1"), .rate = 30, .burst = 30 },
                 { .name = STR ("t2"), .rate = 40, .burst = 40 } },
    .keys = { { STR ("secret-one"), 0 }, { STR ("secret-two"), 1 } },
  };
  x->s = (setup_t){ .version = 7,
                    .tx_idle = 3000,
                    .routes = { x->routes, 2 },
                    .services = { x->services, 2 },
                    .tenanted = true,
                    .tenants = { x->tenants, 2 },
                    .keys = { x->keys, 2 } };
}

static const lint_facts_t facts
    = { .instances = 59, .databases = 3, .slots = 4, .work = 19, .lag = 12 };

static void
expect (const findings_t *f, const char *path, const char *text)
{
  for (size_t i = 0; i < f->n; i++)
    if (strcmp (f->at[i].path.p, path) == 0 && strstr (f->at[i].text.p, text))
      return;
  ck_abort_msg ("no finding '%s' for %s among %zu", text, path, f->n);
}

static findings_t
lint (const sample_t *x)
{
  findings_t f = { .pool = pool };

  lint_setup (&f, &x->s, &facts);
  return f;
}

/* Guards against warnings about a configuration that is as it should be.  */
START_TEST (a_good_configuration_has_no_findings)
{
  sample_t x;

  sample_init (&x);
  ck_assert_uint_eq (lint (&x).n, 0);
  findings_t f = lint (&x);
  ck_assert_int_eq (lint_worst (&f), LINT_CHANGE);
}
END_TEST

/* Guards against entries that no caller can reach and nobody notices.  */
START_TEST (entries_that_never_match_are_found)
{
  sample_t x;

  sample_init (&x);
  x.routes[0].host = STR ("h 1");
  x.routes[1].service = STR ("s1");
  x.keys[1].key = STR ("line\nend");
  findings_t f = lint (&x);
  expect (&f, "routes[0].host", "never matches");
  expect (&f, "services[1].name", "no route");
  expect (&f, "tenants[1].keys", "never matches");
  ck_assert_int_eq (lint_worst (&f), LINT_WARNING);
  sample_init (&x);
  x.routes[1].host = STR ("h1");
  x.s.keys.n = 1;
  f = lint (&x);
  expect (&f, "routes[1].host", "only the last");
  expect (&f, "tenants[1].keys", "has no key");
  sample_init (&x);
  x.s.tenants.n = x.s.keys.n = 0;
  f = lint (&x);
  expect (&f, "tenants", "every caller of 2 routes is refused");
}
END_TEST

/* Guards against limits that contradict each other.  */
START_TEST (contradicting_limits_are_found)
{
  sample_t x;

  sample_init (&x);
  x.routes[0].target = 900;
  x.routes[0].max_age = 5;
  x.routes[1].max_age = 3;
  x.services[0].connections = 1;
  x.services[1].sync_replicas = 3;
  x.tenants[0].burst = 0;
  x.tenants[1].rate = 5000;
  findings_t f = lint (&x);
  expect (&f, "routes[0].target", "time-out");
  expect (&f, "routes[0].max_age", "not used");
  expect (&f, "routes[1].max_age", "below the usual lag");
  expect (&f, "services[0].connections", "slots stay unused");
  expect (&f, "services[1].sync_replicas", "not so many replicas");
  expect (&f, "tenants[0].burst", "zero beside a rate");
  expect (&f, "tenants", "add up to 5030 operations/s");
}
END_TEST

/* Guards against a difference that is left out, and against a key among the
   differences.  */
START_TEST (differences_are_listed_without_keys)
{
  sample_t a, b;
  findings_t f = { .pool = pool };

  sample_init (&a);
  sample_init (&b);
  b.s.version = 8;
  b.s.tx_idle = 1000;
  b.routes[0].timeout = 700;
  b.services[1].name = STR ("s3");
  b.tenants[0].rate = 10;
  b.keys[1].key = STR ("secret-three");
  lint_diff (&f, &a.s, &b.s);
  expect (&f, "tx_idle", "1000, was 3000");
  expect (&f, "routes[h1].timeout", "700, was 800");
  expect (&f, "services[s2]", "removed");
  expect (&f, "services[s3]", "added");
  expect (&f, "tenants[t1].rate", "10, was 30");
  expect (&f, "tenants[t2].keys", "1 added, 1 withdrawn");
  ck_assert_uint_eq (f.n, 6);
  for (size_t i = 0; i < f.n; i++)
    ck_assert_ptr_null (strstr (f.at[i].text.p, "secret"));
}
END_TEST

/* Guards against a version that control acknowledges without effect.  */
START_TEST (a_version_that_changes_nothing_is_found)
{
  sample_t a;
  findings_t f = { .pool = pool };

  sample_init (&a);
  lint_diff (&f, &a.s, &a.s);
  expect (&f, "version", "changes nothing");
}
END_TEST

int
main (void)
{
  Suite *s = suite_create ("lint");
  TCase *c = tcase_create ("lint");
  SRunner *r = srunner_create (s);

  apr_initialize ();
  tcase_add_checked_fixture (c, setup_pool, free_pool);
  tcase_add_test (c, a_good_configuration_has_no_findings);
  tcase_add_test (c, entries_that_never_match_are_found);
  tcase_add_test (c, contradicting_limits_are_found);
  tcase_add_test (c, differences_are_listed_without_keys);
  tcase_add_test (c, a_version_that_changes_nothing_is_found);
  suite_add_tcase (s, c);
  srunner_run_all (r, CK_NORMAL);
  int failed = srunner_ntests_failed (r);
  srunner_free (r);
  return failed != 0;
}
