/* Quotas of tenants at instances: who is admitted, refused, and counted.  The
   decisions are tested in test_quota.c.  */

#include "../lib/proxy/local.h"
#include "stage.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

/* ---- quotas and sessions ---- */

static bool
in_force (void *arg)
{
  const stage_t *s = arg;

  return s->proxy->setup && s->proxy->setup->version == s->version
         && (s->second == NULL || s->second->setup->version == s->version);
}

static void
set_quotas (stage_t *s, int64_t hot, int64_t hot_burst, int64_t calm,
            int64_t calm_burst)
{
  s->rate[0] = hot;
  s->burst[0] = hot_burst;
  s->rate[1] = calm;
  s->burst[1] = calm_burst;
  s->version++;
  ck_assert (stage_run (s, 3000, in_force, s));
}

/* A session of tenant "hot" or "calm".  */
static stage_client_t *
session_of (stage_t *s, bool second, const char *tenant, const char *host)
{
  proxy_t *p = second ? s->second : s->proxy;
  const char *key = strcmp (tenant, "hot") == 0 ? "u1" : "u2";
  stage_client_t *c = stage_session_key (s, second, host, key);

  ck_assert_ptr_nonnull (p->sessions->tenant);
  ck_assert (str_eq (p->sessions->tenant->name, str_of (tenant)));
  return c;
}

static quota_use_t *
use (proxy_t *p, const char *tenant)
{
  return tenant_find (p, str_of (tenant))->use;
}

static bool
is_served (stage_client_t *c)
{
  return stage_request (c, "QUERY q1 READ 7\r\n", "READY I -\r\n")
         && strstr (c->received, "COMPLETE") != NULL;
}

/* Reads N times in a row; how many were served.  */
static int
served (stage_client_t *c, int n)
{
  int k = 0;

  for (int i = 0; i < n; i++)
    k += is_served (c);
  return k;
}

/* ---- admission ---- */

/* Guards against a burst that is refused, and against one without a bound.  */
START_TEST (burst_is_admitted_up_to_the_burst)
{
  stage_t *s = stage_new (true);

  set_quotas (s, 20, 10, 0, 0);
  stage_client_t *c = session_of (s, false, "hot", "near");
  ck_assert (is_served (c));
  stage_run (s, 800, NULL, NULL);
  int n = served (c, 16);
  ck_assert_msg (n >= 9 && n <= 12, "%d", n);
  ASK (c, "QUERY q2 READ 7\r\n", "ERROR BUSY quota exceeded; come back in ");
  stage_free (s);
}
END_TEST

/* Guards against a tenant beyond its quota that is held, or that makes others
   wait.  */
START_TEST (hot_tenant_is_refused_at_once_and_others_are_served)
{
  stage_t *s = stage_new (true);

  set_quotas (s, 2, 2, 200, 50);
  stage_client_t *hot = session_of (s, false, "hot", "near");
  stage_client_t *calm = session_of (s, false, "calm", "near");
  /* A bucket starts with 1.5 tokens.  */
  ck_assert (is_served (calm));
  stage_run (s, 300, NULL, NULL);
  served (hot, 4);
  for (int i = 0; i < 10; i++)
    {
      msec_t from = msec_now ();
      ASK (hot, "QUERY q1 WRITE 7 x\r\n", "ERROR BUSY quota exceeded");
      ck_assert_int_lt (msec_now () - from, 50);
      ck_assert (is_served (calm));
    }
  ck_assert_int_eq (use (s->proxy, "calm")->refused, 0);
  ck_assert_int_ge (use (s->proxy, "hot")->refused, 10);
  stage_free (s);
}
END_TEST

/* Guards against a transaction that is counted for each of its statements, or
   one that is refused in its middle.  */
START_TEST (transaction_counts_once)
{
  stage_t *s = stage_new (true);

  set_quotas (s, 1, 1, 0, 0);
  stage_client_t *c = session_of (s, false, "hot", "lead");
  ASK (c, "QUERY q1 BEGIN\r\n", "READY T");
  for (int i = 0; i < 5; i++)
    ASK (c, "QUERY q2 WRITE 7 x\r\n", "COMPLETE sig-db0\r\nREADY T");
  ASK (c, "QUERY q3 COMMIT\r\n", "COMPLETE sig-db0\r\nREADY I");
  ck_assert_int_eq (use (s->proxy, "hot")->admitted, 1);
  ASK (c, "QUERY q4 BEGIN\r\n", "READY T");
  ASK (c, "QUERY q5 READ 7\r\n", "ERROR ABORTED quota exceeded");
  ASK (c, "QUERY q6 ROLLBACK\r\n", "READY I");
  stage_free (s);
}
END_TEST

/* Guards against callers of a public route that use up a tenant's quota or are
   refused for one.  */
START_TEST (anonymous_callers_are_not_counted)
{
  stage_t *s = stage_new (true);

  s->extra_host = "open";
  s->extra_anonymous = true;
  set_quotas (s, 1, 1, 0, 0);
  stage_client_t *c = stage_session (s, "open");
  ck_assert_int_eq (served (c, 10), 10);
  ck_assert_ptr_null (use (s->proxy, "hot"));
  ck_assert_int_eq ((int)quota_table_size (s->proxy->gate->table), 0);
  stage_free (s);
}
END_TEST

/* Guards against a lowered limit that leaves the old burst.  */
START_TEST (lowered_limit_cuts_the_bucket)
{
  stage_t *s = stage_new (true);

  set_quotas (s, 100, 60, 0, 0);
  stage_client_t *c = session_of (s, false, "hot", "near");
  ck_assert (is_served (c));
  stage_run (s, 700, NULL, NULL);
  ck_assert_int_eq (served (c, 10), 10);
  set_quotas (s, 1, 2, 0, 0);
  stage_run (s, QUOTA_GRANT_LIFE, NULL, NULL);
  ck_assert_int_le (served (c, 10), 3);
  stage_free (s);
}
END_TEST

/* ---- what is counted ---- */

/* Guards against an operation that takes a token for each attempt.  */
START_TEST (retry_is_not_counted_again)
{
  stage_t *s = stage_new (true);

  set_quotas (s, 1, 1, 0, 0);
  stage_client_t *c = session_of (s, false, "hot", "lead");
  strcpy (s->db[0].fail_at, "WRITE");
  strcpy (s->db[0].fail_code, "BUSY");
  ASK (c, "QUERY q1 WRITE 7 x\r\n", "COMPLETE sig-db0");
  ck_assert_int_eq (stage_count (&s->db[0], "q1 WRITE"), 2);
  ck_assert_int_eq (use (s->proxy, "hot")->admitted, 1);
  stage_free (s);
}
END_TEST

/* Guards against a quota that is used up by operations that were never sent to
   a database.  */
START_TEST (operation_that_was_never_sent_is_given_back)
{
  stage_t *s = stage_new (true);

  set_quotas (s, 1, 1, 0, 0);
  for (int i = 0; i < STAGE_DBS; i++)
    {
      s->db[i].ignore_startup = true;
      stage_disconnect (&s->db[i]);
    }
  stage_run (s, 50, NULL, NULL);
  for (int i = 0; i < 3; i++)
    {
      stage_client_t *c = session_of (s, false, "hot", "near");
      stage_send (c, "QUERY q1 READ 7\r\n");
      stage_run (s, 40, NULL, NULL);
      ck_assert_int_eq (use (s->proxy, "hot")->admitted, i + 1);
      stream_close (c->stream);
      stage_run (s, 40, NULL, NULL);
    }
  ck_assert_int_eq (use (s->proxy, "hot")->refused, 0);
  stage_free (s);
}
END_TEST

/* Guards against a metric for each of many tenants, and against operations
   that are in none.  */
START_TEST (metrics_of_tenants_are_bounded)
{
  stage_t *s = stage_new (true);
  int named = 0;

  set_quotas (s, 10, 10, 0, 0);
  for (int i = 0; i < 1000; i++)
    {
      char name[16];
      snprintf (name, sizeof name, "t\"%d", i);
      tenant_t *t = tenant_get (s->proxy, str_of (name));
      t->use = apr_pcalloc (s->pool, sizeof *t->use);
      t->use->admitted = i;
    }
  for (int k = 1; k <= 5; k++)
    {
      usage_turn (s->proxy, s->proxy->now + k * 10000);
      for (tenant_t *t = s->proxy->tenants; t; t = t->next)
        if (t->use && k < 5)
          t->use->admitted = 1000 - t->use->admitted + k;
    }
  int64_t sum = 0, own = 0;
  for (tenant_t *t = s->proxy->tenants; t; t = t->next)
    if (t->use)
      {
        sum += t->use->admitted;
        if (t->use->admitted_total)
          own += counter_value (t->use->admitted_total);
        named += t->use->admitted_total != NULL;
      }
  ck_assert_int_eq (named, 32);
  counter_t *rest
      = counter_get ("pimentopost_tenant_admitted_total{tenant=\"\"}", "");
  ck_assert_int_eq (own + counter_value (rest), sum);
  stage_free (s);
}
END_TEST

/* ---- the list of instances ---- */

static void
list_instances (proxy_t *p, int n)
{
  free (p->endpoint);
  p->endpoint = calloc ((size_t)n, sizeof *p->endpoint);
  p->nendpoint = (size_t)n;
  p->endpoints_version++;
  for (int i = 0; i < n; i++)
    snprintf (p->endpoint[i].address, sizeof p->endpoint[i].address,
              "10.0.0.%d:7440", i);
  accountants_update (p);
}

/* Guards against instances that each count the whole quota after control
   started again and lists the instances one by one; and against a zone that
   never follows the loss of most of them.  */
START_TEST (list_of_few_instances_is_followed_late)
{
  stage_t *s = stage_new (true);
  proxy_t *p = s->proxy;

  list_instances (p, 6);
  ck_assert_int_eq ((int)p->gate->nendpoint, 6);
  list_instances (p, 2);
  ck_assert_int_eq ((int)p->gate->nendpoint, 6);
  p->now += 1900;
  list_instances (p, 1);
  ck_assert_int_eq ((int)p->gate->nendpoint, 6);
  p->now += 200;
  accountants_update (p);
  ck_assert_int_eq ((int)p->gate->nendpoint, 1);
  list_instances (p, 6);
  list_instances (p, 2);
  list_instances (p, 5);
  ck_assert_int_eq ((int)p->gate->nendpoint, 5);
  ck_assert (p->gate->shrunk_at < 0);
  stage_free (s);
}
END_TEST

/* Guards against a list that is sent again unchanged, after which nobody would
   count as the first for a while.  */
START_TEST (unchanged_list_changes_no_standing)
{
  stage_t *s = stage_new (true);
  proxy_t *p = s->proxy;

  list_instances (p, 3);
  int64_t version = p->gate->version;
  msec_t since = p->gate->since;
  p->now += 500;
  list_instances (p, 3);
  ck_assert_int_eq (p->gate->version, version);
  ck_assert_int_eq (p->gate->since, since);
  list_instances (p, 4);
  ck_assert_int_eq (p->gate->since, p->now);
  ck_assert_int_eq ((int)p->gate->earlier[0].n, 3);
  stage_free (s);
}
END_TEST

/* ---- two instances ---- */

/* Two instances without owners of connections: both run statements.  */
static stage_t *
pair_with_quotas (int64_t rate, int64_t burst)
{
  stage_t *s = stage_pair ();

  s->connections = 400;
  set_quotas (s, rate, burst, rate, burst);
  /* Until both are known to have the list.  */
  stage_run (s, QUOTA_SETTLE + 400, NULL, NULL);
  return s;
}

static const char *
accountant (proxy_t *p, const char *tenant)
{
  int rank[QUOTA_RANKS];

  ck_assert_int_gt (accountant_rank (p, str_of (tenant), rank), 0);
  return p->gate->endpoint[rank[0]].address;
}

/* Guards against instances that each grant the whole quota.  */
START_TEST (instances_share_a_quota)
{
  stage_t *s = pair_with_quotas (10, 10);
  bool second = strcmp (accountant (s->proxy, "hot"), s->endpoint[1]) == 0;
  proxy_t *counts = second ? s->second : s->proxy;
  proxy_t *other = second ? s->proxy : s->second;
  stage_client_t *a = session_of (s, false, "hot", "near");
  stage_client_t *b = session_of (s, true, "hot", "near");

  ck_assert (is_served (a));
  ck_assert_int_eq ((int)quota_table_size (counts->gate->table), 1);
  stage_run (s, 1200, NULL, NULL);
  int n = 0;
  for (int i = 0; i < 15; i++)
    n += is_served (a) + is_served (b);
  ck_assert_msg (n >= 9 && n <= 13, "%d", n);
  ck_assert_int_eq ((int)quota_table_size (other->gate->table), 0);
  stage_free (s);
}
END_TEST

/* Guards against tokens that end unused at an instance and are then missing
   from the quota.  */
START_TEST (unused_tokens_return_to_the_accountant)
{
  stage_t *s = pair_with_quotas (10, 20);
  bool second = strcmp (accountant (s->proxy, "hot"), s->endpoint[0]) == 0;
  stage_client_t *c = session_of (s, second, "hot", "near");
  proxy_t *holder = second ? s->second : s->proxy;

  ck_assert (is_served (c));
  stage_run (s, 2200, NULL, NULL);
  ck_assert_int_eq (served (c, 8), 8);
  quota_hold_t *h = &use (holder, "hot")->hold;
  ck_assert_int_gt (h->tokens, 0);
  stage_run (s, QUOTA_GRANT_LIFE + 50, NULL, NULL);
  ck_assert_int_eq (h->tokens, 0);
  int n = served (c, 20);
  ck_assert_msg (n >= 13, "%d", n);
  stage_free (s);
}
END_TEST

/* Guards against a forwarded operation that is counted at both instances, or
   at none.  */
START_TEST (forwarded_operation_is_counted_once)
{
  stage_t *s = stage_pair ();

  set_quotas (s, 50, 20, 0, 0);
  stage_run (s, QUOTA_SETTLE + 400, NULL, NULL);
  service_t *v = service_get (s->second, STR ("svc"));
  bool second = service_may_connect (s->second, v);
  proxy_t *owner = second ? s->second : s->proxy;
  proxy_t *other = second ? s->proxy : s->second;
  stage_client_t *c = session_of (s, !second, "hot", "near");
  ck_assert_int_eq (served (c, 5), 5);
  ck_assert_int_eq (use (owner, "hot")->admitted, 5);
  ck_assert_ptr_null (use (other, "hot"));
  stage_free (s);
}
END_TEST

/* Each ranks above the fixed address with a probability that depends on that
   one's rank: of 40, all were below in one run of 41.  */
enum
{
  ADDRESSES_TRIED = 2000
};

/* Replaces one endpoint by one that accepts connections and never answers, and
   that counts for "hot".  Returns its socket.  */
static int
silence_accountant (stage_t *s, bool second)
{
  str_t rivals[2] = { str_of (s->endpoint[!second]) };
  char own[32];
  int first;

  for (int i = 0; i < ADDRESSES_TRIED; i++)
    {
      char address[32];
      int fd = stage_listen (address, sizeof address);
      int port = (int)strtol (strchr (address, ':') + 1, NULL, 10);
      snprintf (own, sizeof own, "127.0.0.1:%d", port - 1);
      rivals[1] = str_of (own);
      owners_pick (STR ("hot"), rivals, 2, 1, &first);
      if (first == 0)
        {
          close (fd);
          continue;
        }
      memcpy (s->endpoint[second], own, sizeof own);
      s->roster++;
      stage_run (s, 500, NULL, NULL);
      ck_assert_str_eq (accountant (second ? s->proxy : s->second, "hot"),
                        s->endpoint[second]);
      return fd;
    }
  ck_abort_msg ("no address that counts for the tenant");
}

/* Guards against sessions that hang, or are refused, while the instance that
   counts for their tenant is frozen.  */
START_TEST (next_accountant_answers_for_a_frozen_one)
{
  stage_t *s = pair_with_quotas (50, 10);
  stage_client_t *c = session_of (s, false, "hot", "near");
  int fd = silence_accountant (s, true);

  msec_t from = msec_now ();
  ck_assert (is_served (c));
  msec_t took = msec_now () - from;
  ck_assert_msg (took >= 250 && took < 600, "%lld ms", (long long)took);
  stage_run (s, 200, NULL, NULL);
  from = msec_now ();
  ck_assert (is_served (c));
  ck_assert_int_lt (msec_now () - from, 100);
  ck_assert_int_eq (use (s->proxy, "hot")->refused, 0);
  close (fd);
  stage_free (s);
}
END_TEST

/* Guards against the loss of what a malformed message arrived with: the
   process, or the other connections.  */
START_TEST (malformed_ask_closes_only_its_connection)
{
  stage_t *s = pair_with_quotas (50, 10);
  char port[32];
  int64_t n = strtol (strchr (s->endpoint[0], ':') + 1, NULL, 10) + 1;
  buf_t bad;

  buf_init (&bad);
  snprintf (port, sizeof port, "127.0.0.1:%lld", (long long)n);
  quota_ask_t odd = { .tenant = STR (""),
                      .need = INT64_MAX,
                      .more = INT64_MIN,
                      .returned = INT64_MAX,
                      .rate = INT64_MAX };
  rpc_encode (&bad, MSG_QUOTA_ASK, &odd);
  odd.tenant = STR ("nobody");
  rpc_encode (&bad, MSG_QUOTA_ASK, &odd);
  watch_t w = { 0 };
  rpc_encode (&bad, MSG_WATCH, &w);
  int fd = rpc_connect (str_of (port), NULL);
  ck_assert_int_ge (fd, 0);
  stage_run (s, 50, NULL, NULL);
  rpc_write (fd, &bad, NULL);
  stage_run (s, 100, NULL, NULL);
  char text[512];
  while (read (fd, text, sizeof text) > 0)
    ;
  ck_assert_int_eq ((int)read (fd, text, sizeof text), 0);
  close (fd);
  buf_free (&bad);
  ck_assert (is_served (session_of (s, true, "hot", "near")));
  stage_free (s);
}
END_TEST

/* Guards against a statement that is sent for a withdrawn key, since it waited
   for a token when the key was withdrawn.  */
START_TEST (withdrawn_key_sends_no_waiting_statement)
{
  stage_t *s = pair_with_quotas (50, 10);
  stage_client_t *c = session_of (s, false, "hot", "lead");

  /* Leaves an idle connection, so that w1 needs nothing but the token.  */
  ASK (c, "QUERY w0 WRITE 7 x\r\n", "COMPLETE");
  stage_run (s, 400, NULL, NULL);
  int fd = silence_accountant (s, true);
  stage_send (c, "QUERY w1 WRITE 7 x\r\n");
  stage_run (s, 60, NULL, NULL);
  ck_assert (s->proxy->sessions->req.gated);
  s->hot_withdrawn = true;
  s->version++;
  stage_run (s, 1200, NULL, NULL);
  for (int i = 0; i < STAGE_DBS; i++)
    ck_assert_int_eq (stage_count (&s->db[i], "w1 WRITE"), 0);
  ck_assert_ptr_nonnull (strstr (c->received, "ERROR NOAUTH"));
  ck_assert (c->closed);
  close (fd);
  stage_free (s);
}
END_TEST

int
main (void)
{
  Suite *s = suite_create ("gate");
  TCase *t = tcase_create ("one instance");
  TCase *u = tcase_create ("two instances");

  tcase_set_timeout (t, 30);
  tcase_add_test (t, burst_is_admitted_up_to_the_burst);
  tcase_add_test (t, hot_tenant_is_refused_at_once_and_others_are_served);
  tcase_add_test (t, transaction_counts_once);
  tcase_add_test (t, anonymous_callers_are_not_counted);
  tcase_add_test (t, lowered_limit_cuts_the_bucket);
  tcase_add_test (t, retry_is_not_counted_again);
  tcase_add_test (t, operation_that_was_never_sent_is_given_back);
  tcase_add_test (t, metrics_of_tenants_are_bounded);
  tcase_add_test (t, list_of_few_instances_is_followed_late);
  tcase_add_test (t, unchanged_list_changes_no_standing);
  suite_add_tcase (s, t);
  tcase_set_timeout (u, 60);
  tcase_add_test (u, instances_share_a_quota);
  tcase_add_test (u, unused_tokens_return_to_the_accountant);
  tcase_add_test (u, forwarded_operation_is_counted_once);
  tcase_add_test (u, next_accountant_answers_for_a_frozen_one);
  tcase_add_test (u, withdrawn_key_sends_no_waiting_statement);
  tcase_add_test (u, malformed_ask_closes_only_its_connection);
  suite_add_tcase (s, u);
  SRunner *r = srunner_create (s);
  srunner_run_all (r, CK_NORMAL);
  int failed = srunner_ntests_failed (r);
  srunner_free (r);
  return failed ? 1 : 0;
}
