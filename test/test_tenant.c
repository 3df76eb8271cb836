/* Tenants: callers are identified by their keys, and nothing of one tenant
   reaches a connection of another.  */

#include "../lib/proxy/local.h"
#include "stage.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#define KEY_1 "key-of-t1-5f2a"
#define KEY_1B "second-key-of-t1-77c0"
#define KEY_2 "key-of-t2-9d41"
#define KEY_BLANKS "  two words and blanks  "

static const stage_key_t keys[] = {
  { "t1", KEY_1 }, { "t1", KEY_1B }, { "t2", KEY_2 }, { "t3", KEY_BLANKS }
};
static const size_t all_keys = sizeof keys / sizeof *keys;

static stage_t *
new_stage (void)
{
  stage_t *s = stage_new (true);

  stage_set_keys (s, keys, all_keys);
  return s;
}

static stage_client_t *
open_session (stage_client_t *c, const char *host, const char *key)
{
  char text[8192];

  snprintf (text, sizeof text, "STARTUP %s %s\r\n", host, key);
  ASK (c, text, "READY I -\r\n");
  return c;
}

static int
count (const char *in, const char *what)
{
  int n = 0;

  for (const char *at = in; (at = strstr (at, what)) != NULL; at++)
    n++;
  return n;
}

/* How often the databases received TEXT.  */
static int
received (const stage_t *s, const char *text)
{
  int n = 0;

  for (int i = 0; i < STAGE_DBS; i++)
    n += count (s->db[i].raw, text);
  return n;
}

static void
assert_refused (stage_t *s, const char *startup)
{
  stage_client_t *c = stage_client (s);

  ASK (c, startup, "ERROR NOAUTH ");
  stage_run (s, 50, NULL, NULL);
  ck_assert (c->closed);
  ck_assert_ptr_null (strstr (c->received, "READY"));
}

/* Guards against a caller without a known key being served, and against a
   statement of such a caller that reaches a database.  */
START_TEST (unknown_key_is_refused)
{
  stage_t *s = new_stage ();

  assert_refused (s, "STARTUP lead not-a-key\r\nQUERY q1 READ 7\r\n");
  assert_refused (s, "STARTUP lead\r\n");
  assert_refused (s, "STARTUP lead \r\n");
  assert_refused (s, "STARTUP lead " KEY_1 " \r\n");
  assert_refused (s, "STARTUP lead t1\r\n");
  ck_assert_int_eq (received (s, "q1 READ"), 0);
  stage_free (s);
}
END_TEST

/* Guards against a tenant's statement on a connection that names another
   caller, and against a wrong tenant for a key.  */
START_TEST (databases_are_told_the_tenant)
{
  stage_t *s = new_stage ();
  stage_client_t *a = open_session (stage_client (s), "lead", KEY_1);
  stage_client_t *b = open_session (stage_client (s), "lead", KEY_2);
  stage_client_t *c = open_session (stage_client (s), "lead", KEY_1B);
  stage_client_t *d = open_session (stage_client (s), "lead", KEY_BLANKS);

  ASK (a, "QUERY qa READ 7\r\n", "COMPLETE sig-db0\r\nREADY I");
  ASK (b, "QUERY qb READ 7\r\n", "COMPLETE sig-db0\r\nREADY I");
  ASK (c, "QUERY qc WRITE 7 x\r\n", "COMPLETE sig-db0\r\nREADY I");
  ASK (d, "QUERY qd WRITE 7 x\r\n", "COMPLETE sig-db0\r\nREADY I");
  ck_assert_int_eq (received (s, "\nt1> QUERY qa READ 7"), 1);
  ck_assert_int_eq (received (s, "\nt2> QUERY qb READ 7"), 1);
  ck_assert_int_eq (received (s, "\nt1> QUERY qc WRITE 7 x"), 1);
  ck_assert_int_eq (received (s, "\nt3> QUERY qd WRITE 7 x"), 1);
  ck_assert_int_eq (received (s, " qa READ") + received (s, " qb READ")
                        + received (s, " qc WRITE")
                        + received (s, " qd WRITE"),
                    4);
  stage_free (s);
}
END_TEST

/* Guards against a value or prepared name of one tenant on a connection of
   another.  */
START_TEST (settings_stay_with_their_tenant)
{
  stage_t *s = new_stage ();
  stage_client_t *a = open_session (stage_client (s), "lead", KEY_1);
  stage_client_t *b = open_session (stage_client (s), "lead", KEY_2);

  ASK (a, "QUERY a1 SET v1 blue\r\n", "READY I");
  ASK (a, "QUERY a2 PREPARE s1 WRITE shape-of-one\r\n", "READY I");
  ASK (a, "QUERY a3 EXECUTE s1 7 x\r\n", "COMPLETE sig-db0");
  ASK (b, "QUERY b1 SET v1 red\r\n", "READY I");
  ASK (b, "QUERY b2 PREPARE s1 WRITE shape-of-two\r\n", "READY I");
  for (int i = 0; i < 4; i++)
    {
      ASK (b, "QUERY b3 EXECUTE s1 7 x\r\n", "COMPLETE sig-db0");
      ASK (a, "QUERY a4 EXECUTE s1 7 x\r\n", "COMPLETE sig-db0");
    }
  ck_assert_int_eq (received (s, "t2> QUERY - SET v1 blue"), 0);
  ck_assert_int_eq (received (s, "t1> QUERY - SET v1 red"), 0);
  for (int i = 0; i < STAGE_DBS; i++)
    for (const char *at = s->db[i].raw;
         (at = strstr (at, "shape-of-")) != NULL; at++)
      {
        const char *line = at;
        while (line > s->db[i].raw && line[-1] != '\n')
          line--;
        ck_assert_msg (strncmp (line, at[9] == 'o' ? "t1>" : "t2>", 3) == 0,
                       "%.60s", line);
      }
  stage_free (s);
}
END_TEST

/* Guards against an idle session that may go on after its key was
   withdrawn, and against one of a tenant's other keys being refused with
   it.  */
START_TEST (withdrawn_key_ends_an_idle_session)
{
  stage_t *s = new_stage ();
  stage_client_t *a = open_session (stage_client (s), "lead", KEY_1);
  stage_client_t *b = open_session (stage_client (s), "lead", KEY_1B);

  ASK (a, "QUERY q1 READ 7\r\n", "COMPLETE sig-db0\r\nREADY I");
  stage_set_keys (s, keys + 1, all_keys - 1);
  stage_send (a, "QUERY q2 READ 7\r\n");
  stage_run (s, 500, NULL, NULL);
  ck_assert (a->closed);
  ck_assert_ptr_nonnull (strstr (a->received, "ERROR NOAUTH"));
  ck_assert_int_eq (received (s, "q2 READ"), 0);
  ASK (b, "QUERY q3 READ 7\r\n", "COMPLETE sig-db0\r\nREADY I");
  assert_refused (s, "STARTUP lead " KEY_1 "\r\n");
  stage_free (s);
}
END_TEST

/* Guards against an open transaction that is committed, or keeps its
   connection, after the key of its session was withdrawn.  */
START_TEST (withdrawn_key_rolls_back)
{
  stage_t *s = new_stage ();
  stage_client_t *a = open_session (stage_client (s), "lead", KEY_1);
  stage_client_t *b = open_session (stage_client (s), "lead", KEY_1B);

  ASK (a, "QUERY q1 BEGIN\r\n", "READY T");
  ASK (a, "QUERY q2 WRITE 7 x\r\n", "READY T");
  stage_set_keys (s, keys + 1, all_keys - 1);
  stage_send (a, "QUERY q3 COMMIT\r\n");
  stage_run (s, 500, NULL, NULL);
  ck_assert (a->closed);
  ck_assert_ptr_nonnull (strstr (a->received, "ERROR NOAUTH"));
  ck_assert_int_eq (received (s, "COMMIT"), 0);
  ck_assert_int_eq (received (s, "t1> QUERY - ROLLBACK"), 1);
  ASK (b, "QUERY q4 WRITE 7 y\r\n", "COMPLETE sig-db0\r\nREADY I");
  stage_free (s);
}
END_TEST

/* Guards against a transaction without a further statement that holds its
   locks after its key was withdrawn.  */
START_TEST (withdrawn_key_rolls_back_an_idle_transaction)
{
  stage_t *s = new_stage ();
  stage_client_t *a = open_session (stage_client (s), "lead", KEY_1);

  ASK (a, "QUERY q1 BEGIN\r\n", "READY T");
  ASK (a, "QUERY q2 WRITE 7 x\r\n", "READY T");
  a->received[0] = '\0';
  stage_set_keys (s, keys + 1, all_keys - 1);
  stage_run (s, 500, NULL, NULL);
  ck_assert (a->closed);
  ck_assert_int_eq (received (s, "t1> QUERY - ROLLBACK"), 1);
  /* A client takes any other message as the answer to nothing.  */
  ck_assert_ptr_nonnull (strstr (a->received, "ERROR NOAUTH"));
  ck_assert_ptr_null (strstr (a->received, "READY"));
  stage_free (s);
}
END_TEST

/* Guards against a statement that is cut off, or runs twice, because its key
   was withdrawn while a database ran it.  */
START_TEST (statement_in_progress_is_answered)
{
  stage_t *s = new_stage ();
  stage_client_t *a = open_session (stage_client (s), "lead", KEY_1);

  s->timeout = 2000;
  stage_set_keys (s, keys, all_keys);
  ASK (a, "QUERY q0 WRITE 7 x\r\n", "READY I");
  strcpy (s->db[0].ignore_at, "WRITE");
  a->received[0] = '\0';
  stage_send (a, "QUERY q1 WRITE 7 x\r\n");
  stage_run (s, 50, NULL, NULL);
  stage_set_keys (s, keys + 1, all_keys - 1);
  ck_assert (!a->closed);
  stage_run (s, 2500, NULL, NULL);
  ck_assert_ptr_nonnull (strstr (a->received, "ERROR INDOUBT"));
  ck_assert_int_eq (received (s, "q1 WRITE"), 1);
  ck_assert (a->closed);
  stage_free (s);
}
END_TEST

/* Guards against a new key that is refused though the configuration with it is
   in force.  */
START_TEST (added_key_works)
{
  stage_t *s = stage_new (true);

  stage_set_keys (s, keys, 1);
  assert_refused (s, "STARTUP lead " KEY_2 "\r\n");
  stage_set_keys (s, keys, all_keys);
  stage_client_t *b = open_session (stage_client (s), "lead", KEY_2);
  ASK (b, "QUERY q1 READ 7\r\n", "COMPLETE sig-db0\r\nREADY I");
  ck_assert_int_eq (received (s, "t2> QUERY q1 READ 7"), 1);
  stage_free (s);
}
END_TEST

/* Guards against a caller without a key being refused on a public route, and
   against such a caller on the connection of a tenant.  */
START_TEST (anonymous_route_needs_no_key)
{
  stage_t *s = new_stage ();

  s->near_anonymous = true;
  stage_set_keys (s, keys, all_keys);
  stage_client_t *a = open_session (stage_client (s), "own", KEY_1);
  stage_client_t *b = open_session (stage_client (s), "near", "");
  stage_client_t *c = open_session (stage_client (s), "near", KEY_2);
  ASK (a, "QUERY q1 READ 7\r\n", "COMPLETE sig-db");
  ASK (b, "QUERY q2 READ 7\r\n", "COMPLETE sig-db");
  ASK (c, "QUERY q3 READ 7\r\n", "COMPLETE sig-db");
  ck_assert_int_eq (received (s, "t1> QUERY q1 "), 1);
  ck_assert_int_eq (received (s, "p1> QUERY q2 "), 1);
  ck_assert_int_eq (received (s, "p1> QUERY q3 "), 1);
  /* The route needs a key again: the session without one ends.  */
  s->near_anonymous = false;
  stage_set_keys (s, keys, all_keys);
  ASK (c, "QUERY q4 READ 7\r\n", "COMPLETE sig-db");
  ck_assert_int_eq (received (s, "t2> QUERY q4 "), 1);
  stage_run (s, 400, NULL, NULL);
  ck_assert (b->closed);
  stage_free (s);
}
END_TEST

/* Guards against a key that moved to another tenant being refused, and against
   its session going on as the former tenant, also inside a transaction.  */
START_TEST (key_of_another_tenant)
{
  static const stage_key_t moved[]
      = { { "t1", KEY_1B }, { "t2", KEY_1 }, { "t2", KEY_2 } };
  stage_t *s = new_stage ();
  stage_client_t *a = open_session (stage_client (s), "lead", KEY_1);
  stage_client_t *b = open_session (stage_client (s), "lead", KEY_1);

  ASK (a, "QUERY a1 WRITE 7 x\r\n", "READY I");
  ASK (b, "QUERY b1 BEGIN\r\n", "READY T");
  ASK (b, "QUERY b2 WRITE 7 x\r\n", "READY T");
  stage_set_keys (s, moved, 3);
  ASK (a, "QUERY a2 WRITE 7 x\r\n", "COMPLETE sig-db0\r\nREADY I");
  ASK (b, "QUERY b3 COMMIT\r\n", "ERROR ABORTED");
  ck_assert_ptr_nonnull (strstr (b->received, "READY I"));
  ASK (b, "QUERY b4 WRITE 7 x\r\n", "COMPLETE sig-db0\r\nREADY I");
  ck_assert_int_eq (received (s, "t2> QUERY a2 WRITE"), 1);
  ck_assert_int_eq (received (s, "t2> QUERY b4 WRITE"), 1);
  ck_assert_int_eq (received (s, "COMMIT"), 0);
  ck_assert_int_eq (received (s, "t1> QUERY - ROLLBACK"), 1);
  stage_free (s);
}
END_TEST

/* Guards against a statement that was admitted as one of a tenant and runs
   under another, since its key moved while it waited.  */
START_TEST (waiting_statement_changes_no_tenant)
{
  static const stage_key_t moved[]
      = { { "t1", KEY_1B }, { "t2", KEY_1 }, { "t2", KEY_2 } };
  stage_t *s = new_stage ();

  s->timeout = 3000;
  stage_set_keys (s, keys, all_keys);
  stage_client_t *a = open_session (stage_client (s), "lead", KEY_1);
  for (int i = 0; i < STAGE_DBS; i++)
    s->db[i].ignore_startup = true;
  stage_send (a, "QUERY a1 WRITE 7 x\r\n");
  stage_run (s, 60, NULL, NULL);
  stage_set_keys (s, moved, 3);
  for (int i = 0; i < STAGE_DBS; i++)
    s->db[i].ignore_startup = false;
  stage_run (s, 100, NULL, NULL);
  ck_assert_ptr_nonnull (
      strstr (a->received, "ERROR BUSY the key belongs to another tenant"));
  ck_assert_int_eq (received (s, "a1 WRITE"), 0);
  ASK (a, "QUERY a2 WRITE 7 x\r\n", "COMPLETE sig-db0");
  ck_assert_int_eq (received (s, "t2> QUERY a2 WRITE"), 1);
  stage_free (s);
}
END_TEST

/* Guards against a withdrawn key that works again: an older configuration
   arrives late, from a control instance that missed the withdrawal.  */
START_TEST (older_configuration_is_ignored)
{
  stage_t *s = new_stage ();

  stage_set_keys (s, keys + 1, all_keys - 1);
  int64_t newest = s->version;
  s->keys = keys;
  s->nkeys = all_keys;
  s->version = newest - 1;
  s->repeat_setup = true;
  stage_run (s, 1000, NULL, NULL);
  ck_assert_int_eq (s->proxy->setup->version, newest);
  assert_refused (s, "STARTUP lead " KEY_1 "\r\n");
  stage_free (s);
}
END_TEST

/* Guards against a withdrawn key that works again after a restart, when the
   only control instances that answer have no leader and may hold an old
   configuration.  */
START_TEST (start_without_leader_takes_no_keys)
{
  stage_t *s = stage_new (false);

  s->tenanted = true;
  s->keys = keys;
  s->nkeys = all_keys;
  s->version = 1;
  s->control_leaderless[0] = s->control_leaderless[1] = true;
  stage_run (s, SETUP_NO_LEADER_DELAY + 1000, NULL, NULL);
  ck_assert_ptr_null (s->proxy->setup);
  ck_assert (!proxy_ready (s->proxy));
  s->control_leaderless[0] = s->control_leaderless[1] = false;
  s->nkeys = 1;
  stage_run (s, 2000, NULL, NULL);
  ck_assert_ptr_nonnull (s->proxy->setup);
  open_session (stage_client (s), "lead", KEY_1);
  assert_refused (s, "STARTUP lead " KEY_2 "\r\n");
  stage_free (s);
}
END_TEST

/* Guards against a configuration of full size that is cut off, and against
   keys of 4 KB.  */
START_TEST (many_and_long_keys)
{
  enum
  {
    MANY = 10000,
    LONG = 4096
  };
  stage_t *s = stage_new (true);
  stage_key_t *k = apr_pcalloc (s->pool, MANY * sizeof *k);
  char *big = apr_pcalloc (s->pool, LONG + 1);

  memset (big, 'k', LONG);
  for (int i = 0; i < MANY; i++)
    {
      char *text = apr_pcalloc (s->pool, 64);
      snprintf (text, 64, "key number %d", i);
      k[i] = (stage_key_t){ i % 2 ? "t1" : "t2", text };
    }
  k[MANY - 1] = (stage_key_t){ "t3", big };
  stage_set_keys (s, k, MANY);
  stage_client_t *a = open_session (stage_client (s), "lead", "key number 0");
  stage_client_t *b
      = open_session (stage_client (s), "lead", "key number 9997");
  stage_client_t *c = open_session (stage_client (s), "lead", big);
  ASK (a, "QUERY qa READ 7\r\n", "COMPLETE sig-db0");
  ASK (b, "QUERY qb READ 7\r\n", "COMPLETE sig-db0");
  ASK (c, "QUERY qc READ 7\r\n", "COMPLETE sig-db0");
  ck_assert_int_eq (received (s, "t2> QUERY qa READ"), 1);
  ck_assert_int_eq (received (s, "t1> QUERY qb READ"), 1);
  ck_assert_int_eq (received (s, "t3> QUERY qc READ"), 1);
  big[LONG - 1] = 'x';
  char *startup = apr_pcalloc (s->pool, LONG + 64);
  snprintf (startup, LONG + 64, "STARTUP lead %s\r\n", big);
  assert_refused (s, startup);
  stage_free (s);
}
END_TEST

/* Redirects standard error, the log, to a file; returns its former
   descriptor.  */
static int
redirect_log (FILE *to)
{
  int before = dup (STDERR_FILENO);

  fflush (stderr);
  dup2 (fileno (to), STDERR_FILENO);
  return before;
}

static char *
end_redirect (stage_t *s, FILE *to, int before)
{
  char *text;
  size_t n;

  fflush (stderr);
  dup2 (before, STDERR_FILENO);
  close (before);
  fseek (to, 0, SEEK_END);
  n = (size_t)ftell (to);
  rewind (to);
  text = apr_pcalloc (s->pool, n + 1);
  ck_assert_uint_eq (fread (text, 1, n, to), n);
  return text;
}

/* Guards against a key in the log, or in anything that a database receives:
   in service, refused, malformed, withdrawn and with a failing database.  */
START_TEST (keys_are_not_revealed)
{
  FILE *file = tmpfile ();
  int before = redirect_log (file);
  stage_t *s = new_stage ();

  log_open ("test", 7);
  stage_client_t *a = open_session (stage_client (s), "lead", KEY_1);
  stage_client_t *b = open_session (stage_client (s), "lead", KEY_2);
  ASK (a, "QUERY q1 SET v1 x\r\n", "READY I");
  ASK (a, "QUERY q2 WRITE 7 x\r\n", "COMPLETE sig-db0");
  strcpy (s->db[0].fail_at, "WRITE");
  strcpy (s->db[0].fail_code, "FAILED");
  ASK (a, "QUERY q3 WRITE 7 x\r\n", "ERROR FAILED");
  strcpy (s->db[0].disconnect_at, "WRITE");
  ASK (a, "QUERY q4 WRITE 7 x\r\n", "ERROR INDOUBT");
  assert_refused (s, "STARTUP lead " KEY_1 KEY_2 "\r\n");
  stage_client_t *c = stage_client (s);
  ASK (c, "STARTUP no-such-host " KEY_1 "\r\n", "ERROR NODB");
  /* Fields in the wrong order: the key stands where the database does.  */
  stage_client_t *d = stage_client (s);
  ASK (d, "STARTUP " KEY_1 " lead\r\n", "ERROR NODB");
  ASK (b, "STARTUP\n" KEY_2 "\r\n", "ERROR MALFORMED");
  stage_set_keys (s, keys + 1, all_keys - 1);
  stage_run (s, 400, NULL, NULL);
  ck_assert (a->closed);
  char *log = end_redirect (s, file, before);
  ck_assert_ptr_nonnull (strstr (log, "E9025"));
  for (size_t i = 0; i < all_keys; i++)
    {
      ck_assert_ptr_null (strstr (log, keys[i].key));
      ck_assert_int_eq (received (s, keys[i].key), 0);
      ck_assert_ptr_null (strstr (a->received, keys[i].key));
      ck_assert_ptr_null (strstr (d->received, keys[i].key));
    }
  log_open ("test", 0);
  fclose (file);
  stage_free (s);
}
END_TEST

/* Guards against a log that refused callers fill, and against refusals that it
   leaves out without a number.  */
START_TEST (refused_callers_are_logged_rarely)
{
  enum
  {
    CALLERS = 40
  };
  FILE *file = tmpfile ();
  int before = redirect_log (file);
  stage_t *s = new_stage ();

  log_open ("test", 7);
  for (int i = 0; i < CALLERS; i++)
    assert_refused (s, "STARTUP lead not-a-key\r\n");
  stage_run (s, 1000, NULL, NULL);
  assert_refused (s, "STARTUP lead not-a-key\r\n");
  char *log = end_redirect (s, file, before);
  log_open ("test", 0);
  int lines = 0, refused = 0;
  for (const char *at = log; (at = strstr (at, "E9025")) != NULL; at++)
    {
      lines++;
      refused += (int)strtol (strstr (at, " refused=") + strlen (" refused="),
                              NULL, 10);
    }
  /* 40 refusals take 2 s, at 50 ms each.  */
  ck_assert_int_ge (lines, 2);
  ck_assert_int_le (lines, 6);
  ck_assert_int_eq (refused, CALLERS + 1);
  fclose (file);
  stage_free (s);
}
END_TEST

/* Guards against a process that ends, or a caller that is let in, because of a
   record with an odd tenant or key.  */
START_TEST (odd_keys_are_left_out)
{
  stage_t *s = new_stage ();
  tenant_entry_t t[] = { { .name = STR ("t1") } };
  api_key_t k[] = { { STR ("k1"), -1 },
                    { STR ("k2"), 1 },
                    { STR ("k3"), INT64_MAX },
                    { { 0 }, 0 },
                    { STR ("k4"), 0 } };
  setup_t m = { .version = s->version + 1,
                .tenanted = true,
                .tenants = { t, 1 },
                .keys = { k, sizeof k / sizeof *k } };
  setup_t *own = s->proxy->setup;

  s->proxy->setup = &m;
  tenants_update (s->proxy);
  ck_assert_ptr_null (tenant_of_key (s->proxy, STR ("k1")));
  ck_assert_ptr_null (tenant_of_key (s->proxy, STR ("k2")));
  ck_assert_ptr_null (tenant_of_key (s->proxy, STR ("k3")));
  ck_assert_ptr_null (tenant_of_key (s->proxy, (str_t){ 0 }));
  ck_assert_ptr_nonnull (tenant_of_key (s->proxy, STR ("k4")));
  s->proxy->setup = own;
  stage_free (s);
}
END_TEST

/* ---- forwarded sessions ---- */

static bool
is_owner (proxy_t *p)
{
  return service_may_connect (p, service_get (p, STR ("svc")));
}

static stage_client_t *
client_of_non_owner (stage_t *s)
{
  int port = s->port;

  ck_assert (is_owner (s->proxy) != is_owner (s->second));
  s->port = is_owner (s->second) ? s->port : s->second_port;
  stage_client_t *c = stage_client (s);
  s->port = port;
  return c;
}

static int
forwarded_sessions (stage_t *s)
{
  const proxy_t *p = is_owner (s->second) ? s->second : s->proxy;
  int n = 0;

  for (const session_t *x = p->sessions; x; x = x->next)
    n += x->from_peer;
  return n;
}

/* Guards against a forwarded statement under another tenant, and against a key
   that is sent to another instance.  */
START_TEST (forwarding_names_the_tenant)
{
  stage_t *s = stage_pair_tapped ();

  stage_set_keys (s, keys, all_keys);
  stage_client_t *a = open_session (client_of_non_owner (s), "lead", KEY_1);
  stage_client_t *b = open_session (client_of_non_owner (s), "lead", KEY_2);
  stage_client_t *c
      = open_session (client_of_non_owner (s), "lead", KEY_BLANKS);
  ASK (a, "QUERY qa WRITE 7 x\r\n", "COMPLETE sig-db0\r\nREADY I -");
  ASK (b, "QUERY qb WRITE 7 x\r\n", "COMPLETE sig-db0\r\nREADY I -");
  ASK (c, "QUERY qc WRITE 7 x\r\n", "COMPLETE sig-db0\r\nREADY I -");
  ck_assert_int_eq (forwarded_sessions (s), 3);
  ck_assert_int_eq (received (s, "t1> QUERY qa WRITE"), 1);
  ck_assert_int_eq (received (s, "t2> QUERY qb WRITE"), 1);
  ck_assert_int_eq (received (s, "t3> QUERY qc WRITE"), 1);
  ck_assert_int_eq (count (s->peer_bytes, "STARTUP lead 0.0 t1\r\n"), 1);
  ck_assert_int_eq (count (s->peer_bytes, "STARTUP lead 0.0 t2\r\n"), 1);
  for (size_t i = 0; i < all_keys; i++)
    ck_assert_ptr_null (strstr (s->peer_bytes, keys[i].key));
  stage_free (s);
}
END_TEST

/* Guards against a forwarded session that goes on at the other instance after
   its key was withdrawn: that instance never sees the key.  */
START_TEST (withdrawn_key_ends_a_forwarded_session)
{
  stage_t *s = stage_pair ();

  stage_set_keys (s, keys, all_keys);
  stage_client_t *a = open_session (client_of_non_owner (s), "lead", KEY_1);
  stage_client_t *b = open_session (client_of_non_owner (s), "lead", KEY_1B);
  /* Before the transaction, which holds the tenant's only connection.  */
  ASK (b, "QUERY q3 WRITE 7 x\r\n", "COMPLETE sig-db0\r\nREADY I");
  ASK (a, "QUERY q1 BEGIN\r\n", "READY T");
  ASK (a, "QUERY q2 WRITE 7 x\r\n", "COMPLETE sig-db0\r\nREADY T");
  ck_assert_int_eq (forwarded_sessions (s), 2);
  stage_set_keys (s, keys + 1, all_keys - 1);
  stage_send (a, "QUERY q4 COMMIT\r\n");
  stage_run (s, 500, NULL, NULL);
  ck_assert (a->closed);
  ck_assert_ptr_nonnull (strstr (a->received, "ERROR NOAUTH"));
  ck_assert_int_eq (received (s, "q4 COMMIT"), 0);
  ck_assert_int_eq (received (s, "t1> QUERY - ROLLBACK"), 1);
  ck_assert_int_eq (forwarded_sessions (s), 1);
  ASK (b, "QUERY q5 WRITE 7 x\r\n", "COMPLETE sig-db0\r\nREADY I");
  stage_free (s);
}
END_TEST

/* Guards against an owner of connections that is avoided by all sessions of
   another instance because it doesn't know one tenant yet, and against
   statements of that tenant under the name of the instance.  */
START_TEST (owner_learns_of_a_tenant_later)
{
  stage_t *s = stage_pair ();

  stage_set_keys (s, keys, all_keys);
  proxy_t *owner = is_owner (s->second) ? s->second : s->proxy;
  tenant_t *t2 = tenant_find (owner, STR ("t2"));
  t2->setup_version = -1; /* the owner's configuration is older */
  stage_client_t *a = open_session (client_of_non_owner (s), "lead", KEY_1);
  stage_client_t *b = open_session (client_of_non_owner (s), "lead", KEY_2);
  ASK (a, "QUERY a1 WRITE 7 x\r\n", "COMPLETE sig-db0\r\nREADY I");
  ASK (b, "QUERY b0 SET v1 blue\r\n", "COMPLETE -\r\nREADY I");
  ASK (b, "QUERY b1 PREPARE s1 WRITE shape\r\n", "COMPLETE -\r\nREADY I");
  ASK (b, "QUERY b2 WRITE 7 x\r\n", "ERROR BUSY");
  ck_assert_ptr_nonnull (strstr (b->received, "READY I"));
  ASK (b, "QUERY b3 BEGIN\r\n", "ERROR BUSY");
  ASK (a, "QUERY a2 WRITE 7 x\r\n", "COMPLETE sig-db0\r\nREADY I");
  ck_assert_int_eq (forwarded_sessions (s), 2);
  t2->setup_version = owner->setup->version;
  ASK (b, "QUERY b4 EXECUTE s1 7 x\r\n", "COMPLETE sig-db0\r\nREADY I");
  ck_assert_int_eq (received (s, " b2 WRITE"), 0);
  ck_assert_int_eq (received (s, "t2> QUERY b4 EXECUTE"), 1);
  ck_assert_int_eq (received (s, "p1> QUERY ") + received (s, "p2> QUERY "),
                    0);
  stage_free (s);
}
END_TEST

/* Guards against a forwarded transaction that goes on at an instance whose
   configuration lost its tenant before that of the forwarding instance.  */
START_TEST (owner_loses_a_tenant_first)
{
  stage_t *s = stage_pair ();

  stage_set_keys (s, keys, all_keys);
  proxy_t *owner = is_owner (s->second) ? s->second : s->proxy;
  stage_client_t *b = open_session (client_of_non_owner (s), "lead", KEY_2);
  ASK (b, "QUERY b1 BEGIN\r\n", "READY T");
  ASK (b, "QUERY b2 WRITE 7 x\r\n", "COMPLETE sig-db0\r\nREADY T");
  tenant_find (owner, STR ("t2"))->setup_version = -1;
  for (session_t *x = owner->sessions; x; x = x->next)
    x->identified = 0;
  ASK (b, "QUERY b3 COMMIT\r\n", "ERROR BUSY");
  ck_assert_ptr_nonnull (strstr (b->received, "READY I"));
  ck_assert_int_eq (received (s, "COMMIT"), 0);
  ck_assert_int_eq (received (s, "t2> QUERY - ROLLBACK"), 1);
  ck_assert_int_eq (forwarded_sessions (s), 1);
  stage_free (s);
}
END_TEST

/* A case of the suite; test/mutants.sh runs single ones.  */
static TCase *
case_new (Suite *s, const char *name)
{
  TCase *c = tcase_create (name);

  tcase_set_timeout (c, 30);
  suite_add_tcase (s, c);
  return c;
}

int
main (void)
{
  Suite *s = suite_create ("tenant");
  TCase *c;

  c = case_new (s, "keys");
  tcase_add_test (c, unknown_key_is_refused);
  tcase_add_test (c, databases_are_told_the_tenant);
  tcase_add_test (c, added_key_works);
  tcase_add_test (c, anonymous_route_needs_no_key);
  tcase_add_test (c, many_and_long_keys);
  tcase_add_test (c, odd_keys_are_left_out);
  c = case_new (s, "withdrawn");
  tcase_add_test (c, withdrawn_key_ends_an_idle_session);
  tcase_add_test (c, withdrawn_key_rolls_back);
  tcase_add_test (c, withdrawn_key_rolls_back_an_idle_transaction);
  tcase_add_test (c, statement_in_progress_is_answered);
  c = case_new (s, "moved");
  tcase_add_test (c, settings_stay_with_their_tenant);
  tcase_add_test (c, key_of_another_tenant);
  tcase_add_test (c, waiting_statement_changes_no_tenant);
  c = case_new (s, "versions");
  tcase_add_test (c, older_configuration_is_ignored);
  tcase_add_test (c, start_without_leader_takes_no_keys);
  c = case_new (s, "secrets");
  tcase_add_test (c, keys_are_not_revealed);
  tcase_add_test (c, refused_callers_are_logged_rarely);
  c = case_new (s, "forwarded");
  tcase_add_test (c, forwarding_names_the_tenant);
  tcase_add_test (c, withdrawn_key_ends_a_forwarded_session);
  tcase_add_test (c, owner_learns_of_a_tenant_later);
  tcase_add_test (c, owner_loses_a_tenant_first);
  SRunner *r = srunner_create (s);
  srunner_run_all (r, CK_ENV);
  int failed = srunner_ntests_failed (r);
  srunner_free (r);
  return failed ? 1 : 0;
}
