/* Connections to databases that belong to tenants.  */

#include "../lib/proxy/local.h"
#include "stage.h"

#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* ---- on stage ---- */

static bool
is_ready (void *arg)
{
  return proxy_ready (((stage_t *)arg)->proxy);
}

/* A stage with the tenants a, b, c, whose instance may have LIMIT connections
   to each database.  */
static stage_t *
tenants_new (int limit)
{
  stage_t *s = stage_new (false);

  s->tenanted = true;
  s->connections = 2 * limit;
  s->version = 1;
  ck_assert (stage_run (s, 3000, is_ready, s));
  /* Not in the time after a start, which has a lower limit.  */
  s->proxy->started -= ENTRIES_HOLD;
  return s;
}

static stage_client_t *
tenant_session (stage_t *s, const char *host, const char *tenant)
{
  stage_client_t *c = stage_client (s);
  char text[64];

  snprintf (text, sizeof text, "STARTUP %s key-%s\r\n", host, tenant);
  ck_assert_msg (stage_request (c, text, "READY I -\r\n"), "got: %s",
                 c->received);
  return c;
}

/* Requests have ids that begin with their tenant's name: no line of the log
   names another.  */
static void
check_names (const stage_t *s)
{
  for (int i = 0; i < STAGE_DBS; i++)
    for (const char *line = s->db[i].by_name; *line;
         line = strchr (line, '\n') + 1)
      {
        const char *text = strchr (line, ' ') + 1;
        if (strncmp (text, "STARTUP", 7) != 0 && text[0] != ' '
            && text[0] != '-')
          ck_assert_msg (line[0] == text[0], "%.40s", line);
      }
}

static int
conns (const stage_t *s, const char *name)
{
  int n = 0;

  for (int i = 0; i < STAGE_DBS; i++)
    n += stage_conns (&s->db[i], name);
  return n;
}

/* Guards against a statement of one tenant on a connection that another
   opened.  */
START_TEST (connection_serves_one_tenant)
{
  stage_t *s = tenants_new (4);
  stage_client_t *a = tenant_session (s, "own", "a");
  stage_client_t *b = tenant_session (s, "own", "b");
  stage_client_t *a2 = tenant_session (s, "lead", "a");

  for (int i = 0; i < 5; i++)
    {
      ASK (a, "QUERY a1 READ 7\r\n", "READY I");
      ASK (b, "QUERY b1 WRITE 7 x\r\n", "READY I");
      ASK (a2, "QUERY a2 WRITE 7 x\r\n", "READY I");
      ASK (b, "QUERY b2 READ 7\r\n", "READY I");
    }
  check_names (s);
  ck_assert_int_ge (stage_conns (&s->db[0], "a"), 1);
  ck_assert_int_ge (stage_conns (&s->db[0], "b"), 1);
  ck_assert_int_eq (conns (s, "p1"), 0);
  stage_free (s);
}
END_TEST

static int64_t
started (const char *label)
{
  char name[96];

  snprintf (name, sizeof name,
            "pimentopost_tenant_started_total{tenant=\"%s\"}", label);
  return counter_value (counter_get (name, ""));
}

/* Guards against a metric for each of thousands of tenants: only those with
   the mean rate at least have their own.  */
START_TEST (small_tenants_share_a_metric)
{
  stage_t *s = tenants_new (4);

  s->own_rate[0] = s->own_rate[1] = 100000;
  s->own_rate[2] = 10000;
  s->version++;
  stage_run (s, 400, NULL, NULL);
  stage_client_t *a = tenant_session (s, "lead", "a");
  stage_client_t *c = tenant_session (s, "lead", "c");
  ASK (a, "QUERY a1 WRITE 7 x\r\n", "COMPLETE");
  ASK (c, "QUERY c1 WRITE 7 x\r\n", "COMPLETE");
  ck_assert_int_eq (started ("a"), 1);
  ck_assert_int_eq (started ("c"), 0);
  ck_assert_int_eq (started ("other"), 1);
  stage_free (s);
}
END_TEST

/* Guards against settings and prepared statements of one tenant that another
   meets, and against ones that are lost with a connection that gave way.  */
START_TEST (settings_survive_a_change_of_tenant)
{
  stage_t *s = tenants_new (2);
  stage_client_t *a = tenant_session (s, "lead", "a");
  stage_client_t *b = tenant_session (s, "lead", "b");
  stage_client_t *c = tenant_session (s, "lead", "c");

  ASK (a, "QUERY a1 SET color red\r\n", "READY I");
  ASK (a, "QUERY a2 PREPARE st WRITE shape-of-a\r\n", "READY I");
  ASK (b, "QUERY b2 PREPARE st WRITE shape-of-b\r\n", "READY I");
  for (int i = 0; i < 3; i++)
    {
      ASK (a, "QUERY a3 EXECUTE st 7 x\r\n", "COMPLETE sig-db0");
      ASK (b, "QUERY b3 EXECUTE st 7 x\r\n", "COMPLETE sig-db0");
      ASK (c, "QUERY c3 WRITE 7 x\r\n", "COMPLETE sig-db0");
    }
  check_names (s);
  ck_assert_int_eq (
      stage_count (&s->db[0], "Ia3 EXECUTE wshape-of-a 7 x|color red"), 3);
  ck_assert_int_eq (stage_count (&s->db[0], "Ib3 EXECUTE wshape-of-b 7 x|\n"),
                    3);
  ck_assert_int_eq (stage_count (&s->db[0], "Ic3 WRITE 7 x|\n"), 3);
  stage_free (s);
}
END_TEST

/* Guards against a limit that is exceeded, or a connection in frequent use
   that gives way while others rest.  */
START_TEST (least_recently_used_gives_way)
{
  stage_t *s = tenants_new (2);
  stage_client_t *a = tenant_session (s, "lead", "a");
  stage_client_t *b = tenant_session (s, "lead", "b");
  stage_client_t *c = tenant_session (s, "lead", "c");

  ASK (a, "QUERY a1 WRITE 7 x\r\n", "READY I");
  stage_run (s, 20, NULL, NULL);
  ASK (b, "QUERY b1 WRITE 7 x\r\n", "READY I");
  stage_run (s, 20, NULL, NULL);
  ASK (a, "QUERY a2 WRITE 7 x\r\n", "READY I");
  stage_run (s, 20, NULL, NULL);
  ASK (c, "QUERY c1 WRITE 7 x\r\n", "COMPLETE");
  stage_run (s, 50, NULL, NULL);
  ck_assert_int_eq (stage_conns (&s->db[0], "a"), 1);
  ck_assert_int_eq (stage_conns (&s->db[0], "b"), 0);
  ck_assert_int_eq (stage_conns (&s->db[0], "c"), 1);
  check_names (s);
  stage_free (s);
}
END_TEST

/* Guards against a transaction that loses its connection to another tenant,
   and against a statement that is never placed after it has ended.  */
START_TEST (pinned_connection_never_gives_way)
{
  stage_t *s = tenants_new (2);
  stage_client_t *a = tenant_session (s, "lead", "a");
  stage_client_t *b = tenant_session (s, "lead", "b");
  stage_client_t *c = tenant_session (s, "lead", "c");

  ASK (a, "QUERY a1 BEGIN\r\nQUERY a2 WRITE 7 x\r\n", "COMPLETE");
  ASK (b, "QUERY b1 BEGIN\r\nQUERY b2 WRITE 7 x\r\n", "COMPLETE");
  ASK (c, "QUERY c1 WRITE 7 x\r\n", "ERROR");
  ck_assert_int_eq (stage_count (&s->db[0], "c1"), 0);
  ck_assert_int_eq (stage_conns (&s->db[0], "a"), 1);
  ck_assert_int_eq (stage_conns (&s->db[0], "b"), 1);
  stage_send (c, "QUERY c2 WRITE 7 x\r\n");
  stage_run (s, 50, NULL, NULL);
  ASK (a, "QUERY a3 COMMIT\r\n", "COMPLETE");
  ASK (b, "QUERY b3 WRITE 7 x\r\n", "READY T");
  ASK (b, "QUERY b4 COMMIT\r\n", "COMPLETE");
  stage_run (s, 100, NULL, NULL);
  ck_assert_int_eq (stage_count (&s->db[0], "c2 WRITE"), 1);
  check_names (s);
  stage_free (s);
}
END_TEST

/* Guards against a tenant whose resting transactions hold every connection of
   the instance.  */
START_TEST (one_tenant_leaves_room_for_others)
{
  stage_t *s = tenants_new (4);
  stage_client_t *a[5];

  for (int i = 0; i < 5; i++)
    {
      a[i] = tenant_session (s, "lead", "a");
      stage_send (a[i], "QUERY a1 BEGIN\r\nQUERY a2 WRITE 7 x\r\n");
    }
  stage_run (s, 200, NULL, NULL);
  ck_assert_int_eq (stage_conns (&s->db[0], "a"), 3);
  stage_client_t *b = tenant_session (s, "lead", "b");
  msec_t began = msec_now ();
  ASK (b, "QUERY b1 WRITE 7 x\r\n", "COMPLETE");
  ck_assert_int_lt (msec_now () - began, 200);
  check_names (s);
  stage_free (s);
}
END_TEST

/* Guards against the first statement of a rare tenant that waits until the
   opening for another one has ended or failed.  */
START_TEST (openings_of_tenants_do_not_wait_for_each_other)
{
  stage_t *s = tenants_new (4);
  stage_client_t *a = tenant_session (s, "lead", "a");
  stage_client_t *b = tenant_session (s, "lead", "b");

  s->db[0].ignore_startup = true;
  stage_send (a, "QUERY a1 WRITE 7 x\r\n");
  stage_run (s, 50, NULL, NULL);
  s->db[0].ignore_startup = false;
  msec_t began = msec_now ();
  ASK (b, "QUERY b1 WRITE 7 x\r\n", "COMPLETE");
  ck_assert_int_lt (msec_now () - began, 200);
  stage_free (s);
}
END_TEST

/* Guards against a full database that is asked again and again, or whose idle
   connections are kept from the tenants of other instances, and against a
   connection in use that is closed for one that would be refused.  */
START_TEST (full_database_sheds_idle_connections)
{
  stage_t *s = tenants_new (4);
  stage_client_t *a = tenant_session (s, "lead", "a");
  stage_client_t *b = tenant_session (s, "lead", "b");

  ASK (a, "QUERY a1 WRITE 7 x\r\n", "READY I");
  s->db[0].full = true;
  stage_send (b, "QUERY b1 WRITE 7 x\r\n");
  stage_run (s, 400, NULL, NULL);
  ck_assert_int_eq (stage_conns (&s->db[0], "a"), 0);
  int asked = 0;
  for (const char *at = s->db[0].by_name; (at = strstr (at, "b STARTUP"));
       at++)
    asked++;
  ck_assert_int_ge (asked, 1);
  ck_assert_int_le (asked, 400 / FULL_BACKOFF + 1);
  s->db[0].full = false;
  ASK (b, "QUERY b2 WRITE 7 x\r\n", "COMPLETE sig-db0");
  stage_free (s);
}
END_TEST

/* Guards against connections of tenants that are closed although there is
   room: each one costs 12 ms of a slot to open again.  */
START_TEST (idle_connections_stay_while_there_is_room)
{
  stage_t *s = tenants_new (4);
  stage_client_t *a = tenant_session (s, "lead", "a");
  stage_client_t *b = tenant_session (s, "lead", "b");

  ASK (a, "QUERY a1 WRITE 7 x\r\n", "READY I");
  ASK (b, "QUERY b1 WRITE 7 x\r\n", "READY I");
  stage_run (s, 2500, NULL, NULL);
  ck_assert_int_eq (stage_conns (&s->db[0], "a"), 1);
  ck_assert_int_eq (stage_conns (&s->db[0], "b"), 1);
  stage_free (s);
}
END_TEST

/* Guards against a statement that runs on no tenant's connection, or on that
   of another, after the owner of its tenant has failed.  */
START_TEST (tenant_moves_when_its_owner_fails)
{
  stage_t *s = stage_pair ();

  s->tenanted = true;
  s->version++;
  stage_run (s, 800, NULL, NULL);
  s->proxy->started -= ENTRIES_HOLD;
  s->second->started -= ENTRIES_HOLD;
  service_t *v = service_get (s->proxy, STR ("svc"));
  bool second = service_may_connect (s->proxy, v);
  proxy_t *owner = second ? s->proxy : s->second;
  proxy_t *other = second ? s->second : s->proxy;
  s->port = second ? s->second_port : s->port;
  stage_client_t *a = tenant_session (s, "lead", "a");
  stage_client_t *b = tenant_session (s, "lead", "b");
  ASK (a, "QUERY a1 WRITE 7 x\r\n", "COMPLETE");
  ASK (b, "QUERY b1 WRITE 7 x\r\n", "COMPLETE");
  ck_assert_ptr_null (service_get (other, STR ("svc"))->dbs->links);
  for (session_t *x = owner->sessions, *next; x; x = next)
    {
      next = x->next;
      if (x->from_peer)
        session_end (x);
    }
  stage_run (s, 100, NULL, NULL);
  ASK (a, "QUERY a2 WRITE 7 x\r\n", "COMPLETE");
  ASK (b, "QUERY b2 WRITE 7 x\r\n", "COMPLETE");
  check_names (s);
  for (const db_t *d = service_get (other, STR ("svc"))->dbs; d; d = d->next)
    for (const link_t *k = d->links; k; k = k->next)
      ck_assert_ptr_nonnull (k->tenant);
  stage_free (s);
}
END_TEST

/* ---- the owner of a tenant ---- */

enum
{
  INSTANCES = 6,
  OWNERS = 3,
  TENANTS = 73
};

typedef struct
{
  proxy_t proxy;
  service_t service;
  endpoint_entry_t endpoint[INSTANCES];
} zone_t;

/* The zone as the instance AT sees it, which lists the others in an order of
   its own.  */
static void
zone_init (zone_t *z, int at)
{
  *z = (zone_t){ 0 };
  z->proxy.endpoint = z->endpoint;
  z->proxy.nendpoint = INSTANCES;
  z->proxy.now = 1000;
  z->proxy.conf.peers = STR ("none");
  z->service.nowner = OWNERS;
  for (int i = 0; i < INSTANCES; i++)
    {
      int n = (i + at) % INSTANCES;
      snprintf (z->endpoint[i].address, sizeof z->endpoint[i].address,
                "10.0.0.%d:7", n);
      if (n < OWNERS)
        z->service.owner[n] = i;
    }
}

static const char *
owner_of (zone_t *z, int i)
{
  char name[16];

  snprintf (name, sizeof name, "tenant-%d", i);
  tenant_t t = { .name = str_of (name) };
  const endpoint_entry_t *x = endpoint_pick_owner (&z->proxy, &z->service, &t);
  return x ? x->address : "";
}

/* Guards against instances that send a tenant to different owners, each of
   which then holds connections for it, and against a lost owner that moves the
   tenants of others.  */
START_TEST (instances_agree_on_the_owner_of_a_tenant)
{
  zone_t x, y;
  int used[OWNERS] = { 0 }, moved = 0;

  zone_init (&x, 0);
  zone_init (&y, 4);
  for (int i = 0; i < TENANTS; i++)
    {
      char before[NAME_SIZE];
      str_copy (before, sizeof before, str_of (owner_of (&x, i)));
      ck_assert_str_eq (before, owner_of (&x, i));
      ck_assert_str_eq (before, owner_of (&y, i));
      used[before[strlen ("10.0.0.")] - '0']++;
      y.endpoint[y.service.owner[1]].avoid_until = y.proxy.now + 1;
      const char *after = owner_of (&y, i);
      ck_assert_str_ne (after, "10.0.0.1:7");
      moved += strcmp (before, after) != 0;
      y.endpoint[y.service.owner[1]].avoid_until = 0;
    }
  ck_assert_int_eq (moved, used[1]);
  for (int i = 0; i < OWNERS; i++)
    ck_assert_int_ge (used[i], TENANTS / OWNERS / 2);
  for (int i = 0; i < OWNERS; i++)
    x.endpoint[x.service.owner[i]].avoid_until = x.proxy.now + 1;
  ck_assert_str_eq (owner_of (&x, 0), "");
}
END_TEST

/* ---- after a loss of power ---- */

/* Guards against instances that open more than the databases allow while these
   still count the connections that were lost: 4,419 were refused in the 1.5 s
   after a loss of power of the whole deployment.  */
START_TEST (share_is_small_after_a_loss_of_power)
{
  zone_t z;
  setup_t setup = { .version = 1, .tenanted = true };
  db_t d = { .service = &z.service, .open = 4 };

  zone_init (&z, 0);
  z.proxy.setup = &setup;
  z.proxy.entries = z.proxy.entries_held = 59;
  z.service.connections = 56;
  z.service.proxy = &z.proxy;
  z.proxy.stop_at = -1;
  z.service.nowner = 1;
  /* No owner is picked again.  */
  z.service.owners_version = z.proxy.endpoints_version;
  z.proxy.started = z.proxy.now - ENTRIES_HOLD;
  int usual = link_limit (&z.proxy, &z.service, &d);
  ck_assert_int_ge (usual, 2);
  z.proxy.started = z.proxy.now - 100;
  ck_assert_int_eq (link_limit (&z.proxy, &z.service, &d), START_CONNECTIONS);
  /* Half of the instances are lost: the share doesn't grow yet.  */
  z.proxy.started = z.proxy.now - ENTRIES_HOLD;
  z.proxy.entries = 30;
  ck_assert_int_le (link_limit (&z.proxy, &z.service, &d), usual + 1);
  z.proxy.entries_held = 30;
  ck_assert_int_gt (link_limit (&z.proxy, &z.service, &d), usual + 1);
}
END_TEST

/* Guards against an instance that opens connections of its own for tenants
   before it can know their owners, and against one that waits for ever where
   none are reported.  */
START_TEST (tenants_wait_for_their_owners_after_a_start)
{
  zone_t z;
  setup_t setup = { .version = 1, .tenanted = true };

  zone_init (&z, 0);
  z.proxy.setup = &setup;
  z.proxy.stop_at = -1;
  z.proxy.started = z.proxy.now - 100;
  z.proxy.nendpoint = 0;
  ck_assert (owners_awaited (&z.proxy));
  z.proxy.nendpoint = 2;
  ck_assert (!owners_awaited (&z.proxy));
  z.proxy.nendpoint = 0;
  z.proxy.now += 1200;
  ck_assert (!owners_awaited (&z.proxy));
  z.proxy.now -= 1200;
  setup.tenanted = false;
  ck_assert (!owners_awaited (&z.proxy));
}
END_TEST

/* ---- replay of a calm load ---- */

enum
{
  DBS = 3,
  LIMIT = 6, /* connections of an owner to a database */
  MS = 600000
};

typedef struct
{
  int tenant; /* -1: free */
  msec_t free_at;
  msec_t used;
} conn_t;

typedef struct
{
  conn_t conn[DBS][LIMIT];
  int opened;
  int gave_way;
  int ran;
  int waited; /* ms that a statement waited for an opening or a connection */
} pool_t;

static candidate_t
describe (const pool_t *p, int d, int tenant, msec_t now)
{
  candidate_t c = { .leader = d == 0,
                    .same_zone = d == 1,
                    .usable = true,
                    .limit = LIMIT,
                    .tenants = true,
                    .own_limit = LIMIT - 2,
                    .opening_limit = OPENINGS_MAX,
                    .ms = 18,
                    .give_way = -1 };

  for (int i = 0; i < LIMIT; i++)
    {
      const conn_t *k = &p->conn[d][i];
      bool idle = k->free_at <= now;
      if (k->tenant < 0)
        continue;
      c.open++;
      c.busy += !idle;
      c.own += k->tenant == tenant;
      c.idle += k->tenant == tenant && idle;
      if (k->tenant != tenant && idle && now - k->used > c.give_way)
        c.give_way = now - k->used;
    }
  return c;
}

/* The connection that is free, or gives way, or is idle for TENANT.  */
static conn_t *
conn_for (pool_t *p, int d, int tenant, bool idle, msec_t now)
{
  conn_t *best = NULL;

  for (int i = 0; i < LIMIT; i++)
    {
      conn_t *k = &p->conn[d][i];
      if (idle ? k->tenant == tenant && k->free_at <= now : k->tenant < 0)
        return k;
      if (!idle && k->tenant != tenant && k->free_at <= now
          && (best == NULL || k->used < best->used))
        best = k;
    }
  p->gave_way += best != NULL;
  return best;
}

/* Runs a statement of TENANT at NOW; one that has to wait comes again a ms
   later.  False: it waits.  */
static bool
run_statement (pool_t *p, int tenant, bool lead, msec_t now)
{
  candidate_t c[DBS];

  for (int d = 0; d < DBS; d++)
    c[d] = describe (p, d, tenant, now);
  place_t at = lead ? place_leader (c, DBS) : place_read (c, DBS);
  if (at.kind != PLACE_USE && at.kind != PLACE_OPEN)
    return false;
  conn_t *k = conn_for (p, at.at, tenant, at.kind == PLACE_USE, now);
  ck_assert (k);
  p->opened += at.kind == PLACE_OPEN;
  p->ran++;
  *k = (conn_t){ tenant, now + 18 + (at.kind == PLACE_OPEN ? 12 : 0), now };
  return true;
}

/* Guards against placement that opens a connection for most statements: 73
   tenants, of which the hash gives every second one to this owner, at the calm
   rate of one service and zone.  The model of docs/design/connections.md finds
   0.79 at 6 connections; a pool that closes any other connection than the
   least recently used is below the bound.  */
START_TEST (most_statements_find_a_connection)
{
  pool_t *p = calloc (1, sizeof *p);
  double weight[TENANTS], sum = 0;
  int waiting[TENANTS] = { 0 };
  rng_t rng;

  rng_init (&rng, 3);
  for (int t = 0; t < TENANTS; t++)
    sum += weight[t] = pow (t + 1, -1.2);
  for (int d = 0; d < DBS; d++)
    for (int i = 0; i < LIMIT; i++)
      p->conn[d][i].tenant = -1;
  for (msec_t now = 0; now < MS; now++)
    for (int t = 1; t < TENANTS; t += 2)
      {
        waiting[t] += rng_unit (&rng) < 33.6 / 1000 * weight[t] / sum;
        if (waiting[t] && run_statement (p, t, rng_unit (&rng) < 0.21, now))
          waiting[t]--;
        p->waited += waiting[t];
      }
  double found = 1 - (double)p->opened / p->ran;
  printf (
      "%d statements, %.3f found a connection, %d gave way, wait %.2f ms\n",
      p->ran, found, p->gave_way, (double)p->waited / p->ran);
  ck_assert_double_ge (found, 0.7);
  free (p);
}
END_TEST

int
main (void)
{
  Suite *s = suite_create ("tenants_pool");
  TCase *t = tcase_create ("stage");
  TCase *d = tcase_create ("decisions");

  tcase_set_timeout (t, 20);
  tcase_add_test (t, connection_serves_one_tenant);
  tcase_add_test (t, small_tenants_share_a_metric);
  tcase_add_test (t, settings_survive_a_change_of_tenant);
  tcase_add_test (t, least_recently_used_gives_way);
  tcase_add_test (t, pinned_connection_never_gives_way);
  tcase_add_test (t, one_tenant_leaves_room_for_others);
  tcase_add_test (t, openings_of_tenants_do_not_wait_for_each_other);
  tcase_add_test (t, full_database_sheds_idle_connections);
  tcase_add_test (t, idle_connections_stay_while_there_is_room);
  tcase_add_test (t, tenant_moves_when_its_owner_fails);
  tcase_add_test (d, instances_agree_on_the_owner_of_a_tenant);
  tcase_add_test (d, share_is_small_after_a_loss_of_power);
  tcase_add_test (d, tenants_wait_for_their_owners_after_a_start);
  tcase_add_test (d, most_statements_find_a_connection);
  suite_add_tcase (s, t);
  suite_add_tcase (s, d);
  SRunner *r = srunner_create (s);
  srunner_run_all (r, CK_NORMAL);
  int failed = srunner_ntests_failed (r);
  srunner_free (r);
  return failed ? 1 : 0;
}
