#include "platform/platform.h"

#include <apr_general.h>
#include <check.h>
#include <stdio.h>
#include <string.h>

static apr_pool_t *pool;

static bool
parse_config (const char *body, errcode_t *code)
{
  int64_t version;
  err_t e = { 0 };
  buf_t out;

  buf_init (&out);
  bool ok = pf_config_parse (pool, str_of (body), &version, &out, &e);
  buf_free (&out);
  *code = e.code;
  return ok;
}

#define SERVICES "\"services\":[{\"name\":\"s\",\"max-conns\":22}]"
#define ROUTE(host, more)                                                     \
  "{\"name\":\"r\",\"host\":\"" host "\",\"path-prefix\":\"/\","              \
  "\"service\":\"s\"" more "}"
#define GOOD ",\"timeout-ms\":800"

/* Guards against an invalid configuration being acknowledged.  */
START_TEST (invalid_configurations_are_refused)
{
  static const struct
  {
    const char *body;
    errcode_t code;
  } bad[] = {
    { "{\"version\":3,", ERR_SYNTAX },
    { "[]", ERR_SYNTAX },
    { "{" SERVICES ",\"routes\":[]}", ERR_BAD_TYPE },
    { "{\"version\":\"3\"," SERVICES ",\"routes\":[]}", ERR_BAD_TYPE },
    { "{\"version\":0," SERVICES ",\"routes\":[]}", ERR_RANGE },
    { "{\"version\":3,\"routes\":[]}", ERR_BAD_TYPE },
    { "{\"version\":3," SERVICES "}", ERR_BAD_TYPE },
    { "{\"version\":3," SERVICES ",\"routes\":[" ROUTE ("a", "") "]}",
      ERR_BAD_TYPE },
    { "{\"version\":3," SERVICES
      ",\"routes\":[" ROUTE ("a", ",\"timeout-ms\":0") "]}",
      ERR_RANGE },
    { "{\"version\":3," SERVICES
      ",\"routes\":[" ROUTE ("a", GOOD ",\"route-kind\":\"other\"") "]}",
      ERR_RANGE },
    { "{\"version\":3," SERVICES
      ",\"routes\":[" ROUTE ("a", GOOD) "," ROUTE ("a", GOOD) "]}",
      ERR_DUPLICATE_KEY },
    { "{\"version\":3,\"services\":[],\"routes\":[" ROUTE ("a", GOOD) "]}",
      ERR_REFERENCE },
  };
  errcode_t code;

  for (size_t i = 0; i < sizeof bad / sizeof *bad; i++)
    {
      ck_assert_msg (!parse_config (bad[i].body, &code), "%s", bad[i].body);
      ck_assert_msg (code == bad[i].code, "%s: %s", bad[i].body,
                     err_name (code));
    }
  ck_assert (parse_config ("{\"version\":3," SERVICES ",\"routes\":[" ROUTE (
                               "a", GOOD) "," ROUTE ("b", GOOD) "],\"new\":1}",
                           &code));
}
END_TEST

/* Guards against a valid configuration that is refused because two of its
   hosts agree in their first 1,023 bytes.  */
START_TEST (long_hosts_are_not_duplicates)
{
  char body[8192], host[2][2000];
  errcode_t code;

  for (int same = 0; same < 2; same++)
    {
      snprintf (host[0], sizeof host[0], "%01998d", 1);
      snprintf (host[1], sizeof host[1], "%01998d", same ? 1 : 2);
      snprintf (body, sizeof body,
                "{\"version\":3," SERVICES
                ",\"routes\":[" ROUTE ("%s", GOOD) "," ROUTE ("%s", GOOD) "]}",
                host[0], host[1]);
      ck_assert_int_eq (parse_config (body, &code), !same);
    }
  ck_assert_int_eq (code, ERR_DUPLICATE_KEY);
}
END_TEST

#define TENANTS(list)                                                         \
  "{\"version\":3," SERVICES ",\"routes\":[],\"tenants\":" list "}"

/* Guards against a configuration whose tenants can't be told apart, or are
   lost for a wrong type, being acknowledged; against an error that doesn't
   name the field; and against one that quotes a key.  */
START_TEST (invalid_tenants_are_refused)
{
  static const struct
  {
    const char *body;
    errcode_t code;
    const char *field;
  } bad[] = {
    { TENANTS ("{}"), ERR_BAD_TYPE, "tenants" },
    { TENANTS ("null"), ERR_BAD_TYPE, "tenants" },
    { TENANTS ("[7]"), ERR_BAD_TYPE, "tenants[0].name" },
    { TENANTS ("[{\"api-keys\":[]}]"), ERR_BAD_TYPE, "tenants[0].name" },
    { TENANTS ("[{\"name\":7,\"api-keys\":[]}]"), ERR_BAD_TYPE,
      "tenants[0].name" },
    { TENANTS ("[{\"name\":\"\",\"api-keys\":[]}]"), ERR_RANGE,
      "tenants[0].name" },
    { TENANTS ("[{\"name\":\"a b\",\"api-keys\":[]}]"), ERR_RANGE,
      "tenants[0].name" },
    { TENANTS ("[{\"name\":\"a\"}]"), ERR_BAD_TYPE, "tenants[0].api-keys" },
    { TENANTS ("[{\"name\":\"a\",\"api-keys\":\"secret\"}]"), ERR_BAD_TYPE,
      "tenants[0].api-keys" },
    { TENANTS ("[{\"name\":\"a\",\"api-keys\":[\"secret\",7]}]"), ERR_BAD_TYPE,
      "tenants[0].api-keys[1]" },
    { TENANTS ("[{\"name\":\"a\",\"api-keys\":[\"\"]}]"), ERR_BAD_TYPE,
      "tenants[0].api-keys[0]" },
    { TENANTS ("[{\"name\":\"a\",\"api-keys\":[\"secret\\n\"]}]"), ERR_RANGE,
      "tenants[0].api-keys[0]" },
    { TENANTS ("[{\"name\":\"a\",\"api-keys\":[\"secret\"]},"
               "{\"name\":\"b\",\"api-keys\":[\"x\",\"secret\"]}]"),
      ERR_DUPLICATE_KEY, "tenants[1].api-keys[1]" },
    { TENANTS ("[{\"name\":\"secret\",\"api-keys\":[]},"
               "{\"name\":\"secret\",\"api-keys\":[]}]"),
      ERR_DUPLICATE_KEY, "tenants[1].name" },
    { TENANTS ("[{\"name\":\"a\",\"api-keys\":[],\"rate-per-s\":\"9\"}]"),
      ERR_BAD_TYPE, "tenants[0]" },
    { TENANTS ("[{\"name\":\"a\",\"api-keys\":[],\"rate-per-s\":-1}]"),
      ERR_RANGE, "tenants[0]" },
    { TENANTS ("[{\"name\":\"a\",\"api-keys\":[],\"burst\":[]}]"),
      ERR_BAD_TYPE, "tenants[0]" },
    { TENANTS ("[{\"name\":\"a\",\"api-keys\":[],\"priority\":{}}]"),
      ERR_BAD_TYPE, "tenants[0]" },
    { TENANTS ("[{\"name\":\"a\",\"api-keys\":[\"secret\" \"secret\"]}]"),
      ERR_SYNTAX, "configuration" },
    { TENANTS ("[{\"name\":\"a\",\"api-keys\":[secret]}]"), ERR_SYNTAX,
      "configuration" },
    { "{\"version\":3," SERVICES
      ",\"routes\":[" ROUTE ("a", GOOD ",\"public\":\"secret\"") "]}",
      ERR_BAD_TYPE, "public" },
  };

  for (size_t i = 0; i < sizeof bad / sizeof *bad; i++)
    {
      int64_t version;
      err_t e = { 0 };
      buf_t out;
      char line[400];
      buf_init (&out);
      ck_assert_msg (
          !pf_config_parse (pool, str_of (bad[i].body), &version, &out, &e),
          "%s", bad[i].body);
      err_line (&e, line, sizeof line);
      ck_assert_msg (e.code == bad[i].code, "%s: %s", bad[i].body, line);
      ck_assert_msg (strcmp (e.subject, bad[i].field) == 0, "%s: %s",
                     bad[i].body, line);
      ck_assert_msg (strstr (line, "secret") == NULL, "%s", line);
      ck_assert_uint_eq (buf_len (&out), 0);
      buf_free (&out);
    }
}
END_TEST

static setup_t *
parse_setup (const char *body)
{
  int64_t version;
  err_t e = { 0 };
  msgtype_t type;
  buf_t out;

  buf_init (&out);
  ck_assert_msg (pf_config_parse (pool, str_of (body), &version, &out, &e),
                 "%s %s", e.subject, e.detail);
  setup_t *s = rpc_decode (pool, buf_str (&out), &type, &e);
  ck_assert (s && type == MSG_SETUP);
  buf_free (&out);
  return s;
}

static bool
has_key (const setup_t *s, const char *key, int64_t tenant)
{
  for (size_t i = 0; i < s->keys.n; i++)
    if (str_eq (LIST_AT (s->keys, api_key_t, i)->key, str_of (key)))
      return LIST_AT (s->keys, api_key_t, i)->tenant == tenant;
  return false;
}

/* Guards against tenants, keys or limits that are lost or changed on their way
   from the document to the entry instances.  */
START_TEST (tenants_are_read)
{
  const tenant_entry_t *t;
  setup_t *s = parse_setup (
      "{\"version\":3," SERVICES
      ",\"routes\":[" ROUTE ("a", GOOD ",\"public\":true") "," ROUTE (
          "b", GOOD
          ",\"public\":false") "," ROUTE ("c",
                                          GOOD) "],"
                                                "\"tenants\":[{\"name\":"
                                                "\"t1\",\"api-keys\":[\"k1\","
                                                "\" k 2 \",\"k1\"],"
                                                "\"priority\":2,\"rate-per-"
                                                "s\":439,\"burst\":12.5},"
                                                "{\"name\":\"t2\",\"api-"
                                                "keys\":[],\"rate-per-s\":0.2}"
                                                ","
                                                "{\"name\":\"t3\",\"api-"
                                                "keys\":[\"k3\"],\"later\":[]}"
                                                "]}");

  ck_assert (s->tenanted);
  ck_assert_uint_eq (s->tenants.n, 3);
  t = LIST_AT (s->tenants, tenant_entry_t, 0);
  ck_assert (str_eq (t->name, STR ("t1")) && t->priority == 2 && t->rate == 439
             && t->burst == 12);
  t = LIST_AT (s->tenants, tenant_entry_t, 1);
  /* A rate of 0 would be none.  */
  ck_assert (str_eq (t->name, STR ("t2")) && t->rate == 1 && t->burst == 0);
  ck_assert_uint_eq (s->keys.n, 3);
  ck_assert (has_key (s, "k1", 0) && has_key (s, " k 2 ", 0)
             && has_key (s, "k3", 2));
  ck_assert (LIST_AT (s->routes, route_entry_t, 0)->anonymous);
  ck_assert (!LIST_AT (s->routes, route_entry_t, 1)->anonymous);
  ck_assert (!LIST_AT (s->routes, route_entry_t, 2)->anonymous);
  ck_assert (
      !parse_setup ("{\"version\":3," SERVICES ",\"routes\":[]}")->tenanted);
  ck_assert (parse_setup (TENANTS ("[]"))->tenanted);
}
END_TEST

/* Guards against a large set of keys that is refused or cut off, and against
   one beyond the bounds that is acknowledged.  */
START_TEST (many_and_long_keys_are_read)
{
  enum
  {
    MANY = 10000,
    LONG = 4096
  };
  int64_t version;
  err_t e = { 0 };
  buf_t body, out;
  char big[LONG + 1];

  memset (big, 'k', LONG);
  big[LONG] = '\0';
  for (int over = 0; over < 2; over++)
    {
      int n = over ? RPC_MAX_LIST : MANY;
      buf_init (&body);
      buf_init (&out);
      buf_adds (&body,
                STR ("{\"version\":3," SERVICES ",\"routes\":[],\"tenants\":[{"
                     "\"name\":\"t1\",\"api-keys\":["));
      for (int i = 0; i < n; i++)
        buf_fmt (&body, "\"key-%d\",", i);
      buf_fmt (&body, "\"%s\"]}]}", big);
      ck_assert_int_eq (
          pf_config_parse (pool, buf_str (&body), &version, &out, &e), !over);
      if (!over)
        {
          msgtype_t type;
          setup_t *s = rpc_decode (pool, buf_str (&out), &type, &e);
          ck_assert_uint_eq (s->keys.n, MANY + 1);
          ck_assert (has_key (s, big, 0) && has_key (s, "key-9999", 0));
        }
      buf_free (&body);
      buf_free (&out);
    }
  ck_assert_int_eq (e.code, ERR_TOO_LARGE);
  char *longer = apr_pcalloc (pool, API_KEY_MAX + 256);
  int n = snprintf (longer, API_KEY_MAX + 256,
                    "{\"version\":3," SERVICES ",\"routes\":[],\"tenants\":[{"
                    "\"name\":\"t1\",\"api-keys\":[\"");
  memset (longer + n, 'k', API_KEY_MAX + 1);
  memcpy (longer + n + API_KEY_MAX + 1, "\"]}]}", sizeof "\"]}]}");
  buf_init (&out);
  ck_assert (!pf_config_parse (pool, str_of (longer), &version, &out, &e));
  ck_assert_int_eq (e.code, ERR_RANGE);
  ck_assert_str_eq (e.subject, "tenants[0].api-keys[0]");
}
END_TEST

static client_msg_t decode_client (const char *line);

/* Guards against a key with blanks that is cut at the first one.  */
START_TEST (key_is_the_rest_of_the_line)
{
  ck_assert (str_eq (decode_client ("STARTUP h  a key \r\n").client,
                     STR (" a key ")));
  ck_assert (str_eq (decode_client ("STARTUP h k\r\n").client, STR ("k")));
  ck_assert_uint_eq (decode_client ("STARTUP h\r\n").client.n, 0);
  ck_assert_uint_eq (decode_client ("STARTUP h \r\n").client.n, 0);
}
END_TEST

static bool
parse_heartbeat (const char *body, backend_t *b)
{
  err_t e = { 0 };

  return pf_heartbeat_parse (pool, STR ("i-1"), str_of (body), false, b, &e);
}

#define GOOD_BEAT                                                             \
  "{\"service\":\"ss\",\"addr\":\"h:1\",\"zone\":\"zz\","                     \
  "\"version\":\"v1\",\"slots\":33,\"state\":\"ready\","                      \
  "\"cold-left-ms\":10,\"db-role\":\"replica\",\"seq\":44}"

/* Guards against a database registered from missing fields or fields of the
   wrong type, and against such a heartbeat under the id of a live one: its
   sequence number made those of the database count as late, so that its
   draining was acknowledged and not followed (review's record 'odd').  */
START_TEST (invalid_heartbeats_are_refused)
{
  static const char *const bad[] = {
    "",
    "{",
    "{}",
    "{\"service\":\"s\",\"addr\":\"h:1\",\"zone\":\"z\",\"state\":\"ready\","
    "\"db-role\":\"primary\"}",
    "{\"service\":\"s\",\"addr\":\"h:1\",\"zone\":\"z\",\"state\":\"odd\","
    "\"db-role\":\"primary\",\"seq\":1}",
    "{\"service\":\"s\",\"addr\":\"h:1\",\"zone\":\"z\",\"state\":\"ready\","
    "\"db-role\":\"both\",\"seq\":1}",
    "{\"service\":\"s\",\"addr\":\"h:1\",\"zone\":\"z\",\"state\":\"ready\","
    "\"db-role\":\"primary\",\"seq\":1,\"born\":\"x\"}",
    "{\"service\":7,\"addr\":\"h:1\",\"zone\":\"z\",\"state\":\"ready\","
    "\"db-role\":\"primary\",\"seq\":1}",
  };
  backend_t b;

  for (size_t i = 0; i < sizeof bad / sizeof *bad; i++)
    ck_assert_msg (!parse_heartbeat (bad[i], &b), "%s", bad[i]);
  ck_assert (
      parse_heartbeat ("{\"service\":\"s\",\"addr\":\"h:1\",\"zone\":\"z\","
                       "\"version\":\"v1\",\"cold-left-ms\":0,"
                       "\"state\":\"draining\",\"db-role\":\"replica\","
                       "\"seq\":4,\"born\":17,\"slots\":3}",
                       &b));
  ck_assert (b.leaving && !b.primary);
  ck_assert_int_eq (b.born, 17);
  ck_assert_int_eq (b.slots, 3);
  ck_assert (parse_heartbeat (GOOD_BEAT, &b));
  /* Each field in turn is renamed, or gets a value of another type.  */
  static const char *const field[]
      = { "service", "addr", "zone",         "version", "slots",
          "state",   "seq",  "cold-left-ms", "db-role" };
  for (size_t i = 0; i < sizeof field / sizeof *field; i++)
    {
      char body[400], name[32];
      snprintf (name, sizeof name, "\"%s\":", field[i]);
      snprintf (body, sizeof body, "%s", GOOD_BEAT);
      strstr (body, name)[1] = '_';
      ck_assert_msg (!parse_heartbeat (body, &b), "%s", body);
      snprintf (body, sizeof body, "%s", GOOD_BEAT);
      char *value = strstr (body, name) + strlen (name);
      size_t n = strcspn (value, ",}");
      memset (value, ' ', n);
      memcpy (value, "[]", 2);
      if (n >= 2)
        ck_assert_msg (!parse_heartbeat (body, &b), "%s", body);
    }
}
END_TEST

static client_msg_t
decode_client (const char *line)
{
  client_msg_t m = { 0 };
  size_t used;

  ck_assert_int_eq (pf_client.decode (str_of (line), &used, &m), 1);
  ck_assert_uint_eq (used, strlen (line));
  return m;
}

static void
check_unchanged (const char *line)
{
  client_msg_t m = decode_client (line);
  buf_t b;

  buf_init (&b);
  pf_db.op (&b, &m.op, m.op.name, (pos_t){ 0 });
  ck_assert_msg (str_eq (buf_str (&b), str_of (line)), "%s" STR_FMT, line,
                 STR_ARG (buf_str (&b)));
  buf_free (&b);
}

/* Guards against a statement whose text changes on the way: databases count it
   as one that no client sent.  */
START_TEST (statements_are_forwarded_unchanged)
{
  check_unchanged ("QUERY 5c BEGIN\r\n");
  check_unchanged ("QUERY 5c BEGIN READ\r\n");
  check_unchanged ("QUERY 5c COMMIT\r\n");
  check_unchanged ("QUERY 5c READ 1a4\r\n");
  check_unchanged ("QUERY 5c WRITE 1a4  two  blanks \r\n");
  check_unchanged ("QUERY 5c EXECUTE s1 1a4 xkq\r\n");
  check_unchanged ("QUERY 5c PREPARE s1 WRITE q2c\r\n");
}
END_TEST

/* Guards against a client that uses the proxy's own request id, a position or
   a command reserved to the proxy.  */
START_TEST (reserved_words_are_refused)
{
  ck_assert_int_eq (decode_client ("QUERY - READ 1\r\n").op.kind,
                    OP_MALFORMED);
  ck_assert_int_eq (decode_client ("QUERY a AFTER 1.2 READ 1\r\n").op.kind,
                    OP_MALFORMED);
  ck_assert_int_eq (decode_client ("QUERY a STATUS\r\n").op.kind,
                    OP_MALFORMED);
  ck_assert_int_eq (decode_client ("QUERY a RESET\r\n").op.kind, OP_MALFORMED);
  ck_assert_int_eq (decode_client ("QUERY a READ\r\n").op.kind, OP_MALFORMED);
  ck_assert_int_eq (decode_client ("QUERY a PREPARE s BOTH q\r\n").op.kind,
                    OP_MALFORMED);
}
END_TEST

/* Guards against unbounded memory for a line that never ends.  */
START_TEST (overlong_line_is_refused)
{
  static char big[(1 << 20) + 16];
  client_msg_t m;
  size_t used;

  memset (big, 'x', sizeof big);
  ck_assert_int_eq (pf_client.decode ((str_t){ big, sizeof big }, &used, &m),
                    -1);
  ck_assert_int_eq (pf_client.decode ((str_t){ big, 1000 }, &used, &m), 0);
}
END_TEST

/* Guards against misread answers of databases.  */
START_TEST (database_answers_are_decoded)
{
  db_msg_t m;
  db_status_t st;
  size_t used;

  ck_assert_int_eq (pf_db.decode (STR ("READY E 3.1209\r\n"), &used, &m), 1);
  ck_assert (m.kind == DB_READY && m.state == TX_FAILED && m.pos.term == 3
             && m.pos.number == 1209);
  ck_assert_int_eq (pf_db.decode (STR ("READY X 3.1\r\n"), &used, &m), -1);
  ck_assert_int_eq (pf_db.decode (STR ("READY I 3.x\r\n"), &used, &m), -1);
  ck_assert_int_eq (pf_db.decode (STR ("ERROR READONLY i-7\r\n"), &used, &m),
                    1);
  ck_assert (m.fail == FAIL_READONLY && str_eq (m.text, STR ("i-7")));
  ck_assert_int_eq (pf_db.decode (STR ("ERROR NEW why\r\n"), &used, &m), 1);
  ck_assert (m.fail == FAIL_OTHER && str_eq (m.text, STR ("NEW why")));
  ck_assert_int_eq (pf_db.decode (STR ("OTHER x\r\n"), &used, &m), -1);
  ck_assert (pf_db.status_row (STR ("replica 3 3.1209 0 12 2 17"), &st));
  ck_assert (!st.primary && st.term == 3 && st.received.number == 1209);
  ck_assert_int_eq (st.held, 0);
  ck_assert (!pf_db.status_row (STR ("replica"), &st));
  ck_assert (!pf_db.status_row (STR ("replica 3 3.1209"), &st));
}
END_TEST

/* Guards against a process that starts with unusable settings.  */
START_TEST (settings_are_checked)
{
  err_t e = { 0 };
  pf_settings_t *s;

  ck_assert_ptr_null (pf_settings_parse (pool, STR ("{"), &e));
  ck_assert_int_eq (e.code, ERR_SYNTAX);
  ck_assert_ptr_null (pf_settings_parse (pool, STR ("{}"), &e));
  ck_assert_int_eq (e.code, ERR_MISSING_KEY);
  s = pf_settings_parse (
      pool,
      STR ("{\"node-name\":\"n\",\"ip\":\"10.0.0.1\",\"zone\":\"z\","
           "\"internal-ports\":[7440,7455],\"seeds\":[\"10.0.0.2:8782\"],"
           "\"listen\":{\"front\":\"10.0.0.1:80\"},\"bootstrap\":true,"
           "\"fault-tolerance\":{\"machines\":2,\"zones\":1},"
           "\"zones\":{\"z\":\"r\",\"y\":\"r\"},"
           "\"bounds\":{\"grace-s\":6,\"quota-window-s\":4,"
           "\"quota-excess\":0.1,\"quota-slack\":20},\"later\":{}}"),
      &e);
  ck_assert_ptr_nonnull (s);
  ck_assert_int_eq (s->tolerated_losses, 2);
  ck_assert (str_eq (s->rpc, STR ("10.0.0.1:7440")));
  ck_assert (str_eq (s->seeds[0], STR ("10.0.0.2:7440")));
  ck_assert (s->bootstrap && s->grace == 6000);
  ck_assert (str_eq (s->rpc_listen, s->rpc));
  ck_assert (str_eq (s->quota_listen, STR ("10.0.0.1:7441")));
  ck_assert_int_eq (s->quota.zones, 2);
  ck_assert_int_eq (s->quota.window, 4000);
  ck_assert (s->quota.excess > 0.09 && s->quota.slack > 19);
  s = pf_settings_parse (pool,
                         STR ("{\"node-name\":\"n\",\"ip\":\"10.0.0.1\","
                              "\"bind-ip\":\"10.0.0.9\","
                              "\"internal-ports\":[7440,7455],"
                              "\"bounds\":{\"quota-slack\":-1,"
                              "\"quota-window-s\":\"5\"}}"),
                         &e);
  ck_assert_ptr_nonnull (s);
  ck_assert_int_eq (s->quota.window, 5000);
  ck_assert (s->quota.slack >= 0 && s->quota.slack <= 0);
  ck_assert_int_eq (s->tolerated_losses, 0);
  ck_assert (str_eq (s->rpc, STR ("10.0.0.1:7440")));
  ck_assert (str_eq (s->rpc_listen, STR ("10.0.0.9:7440")));
}
END_TEST

int
main (void)
{
  Suite *s = suite_create ("platform");
  TCase *t = tcase_create ("formats");

  apr_initialize ();
  apr_pool_create (&pool, NULL);
  tcase_add_test (t, invalid_configurations_are_refused);
  tcase_add_test (t, long_hosts_are_not_duplicates);
  tcase_add_test (t, invalid_tenants_are_refused);
  tcase_add_test (t, tenants_are_read);
  tcase_add_test (t, many_and_long_keys_are_read);
  tcase_add_test (t, key_is_the_rest_of_the_line);
  tcase_add_test (t, invalid_heartbeats_are_refused);
  tcase_add_test (t, statements_are_forwarded_unchanged);
  tcase_add_test (t, reserved_words_are_refused);
  tcase_add_test (t, overlong_line_is_refused);
  tcase_add_test (t, database_answers_are_decoded);
  tcase_add_test (t, settings_are_checked);
  suite_add_tcase (s, t);
  SRunner *r = srunner_create (s);
  srunner_run_all (r, CK_ENV);
  int failed = srunner_ntests_failed (r);
  srunner_free (r);
  return failed != 0;
}
