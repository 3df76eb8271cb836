/* Three control instances in one loop, and many stand-ins of entry instances
   that watch them and count what they receive.  */

#include "../lib/cell/local.h"
#include "stage.h"

#include <apr_general.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

enum
{
  CELLS = 3,
  WATCHERS = 300,
  SERVERS = 60,
  REPORT_EVERY = 300, /* ms */
  /* Bytes of one record on the wire, at most.  */
  BACKEND_BYTES = 120,
  ENDPOINT_BYTES = 32,
  UPDATE_BYTES = 64, /* of an update without lists */
  MEMBERS_BYTES = 160
};

typedef struct field field_t;

typedef struct
{
  field_t *field;
  stream_t *stream;
  int at; /* control instance that it watches */
  bool alive;
  char address[24];
  int64_t seq;
  int64_t boot;
  int64_t updates; /* received on the connection */
  int64_t roster;
  msec_t report_at;
  msec_t asked_at;
  int64_t backends;
  bool known[WATCHERS]; /* endpoints listed to it */
} watcher_stub_t;

struct field
{
  apr_pool_t *pool;
  loop_t *loop;
  char dir[64];
  char address[CELLS][32];
  cell_t *cell[CELLS];
  bool stopped[CELLS];
  watcher_stub_t w[WATCHERS];
  int64_t seq; /* of the heartbeats */
  int nserver; /* backend servers that send heartbeats */
  msec_t heartbeat_at;
  msec_t until;
  bool (*done) (field_t *f);
  /* Received by all watchers.  */
  int64_t bytes;
  int64_t messages;
  int64_t endpoints;
  int64_t backends;
  int64_t deferred;
  int dialled;
  msec_t slowest; /* ms from a report to its answer */
};

static const char *const zones[CELLS] = { "za", "zb", "zc" };

/* ---- watchers ---- */

static void
send_report (watcher_stub_t *w)
{
  watch_t m = { .name = str_of (w->address),
                .seq = ++w->seq,
                .version = 0,
                .roster = w->roster,
                .boot = w->boot,
                .address = str_of (w->address),
                .zone = str_of (zones[(w - w->field->w) % CELLS]),
                .takes_changes = true,
                .updates = w->updates };

  rpc_encode (stream_out (w->stream), MSG_WATCH, &m);
  stream_flush (w->stream);
  w->asked_at = loop_now (w->field->loop);
  w->report_at = w->asked_at + REPORT_EVERY;
}

static void
apply_endpoint (watcher_stub_t *w, const endpoint_t *x)
{
  /* The addresses are 10.9.HIGH.LOW:7440.  */
  char *low = NULL;
  long high = strtol (x->address.p + strlen ("10.9."), &low, 10);
  long i = high * 100 + strtol (low + 1, NULL, 10);

  ck_assert (i >= 0 && i < WATCHERS);
  w->known[i] = !x->gone;
}

static void
apply_update (watcher_stub_t *w, const watch_update_t *n)
{
  field_t *f = w->field;
  msec_t took = loop_now (f->loop) - w->asked_at;

  f->messages++;
  w->updates++;
  f->endpoints += (int64_t)n->endpoints.n;
  f->backends += (int64_t)n->backends.n;
  f->deferred += n->retry_after > 0;
  if (n->seq == w->seq && took > f->slowest)
    f->slowest = took;
  if (n->full)
    w->backends = 0;
  w->backends += (int64_t)n->backends.n;
  if (n->full || w->roster >= 0)
    w->roster = n->roster;
  w->boot = n->boot;
  if (n->retry_after > 0)
    w->report_at = loop_now (f->loop) + n->retry_after;
  if (n->has_endpoints && !n->endpoint_changes)
    memset (w->known, 0, sizeof w->known);
  for (size_t i = 0; i < n->endpoints.n; i++)
    apply_endpoint (w, LIST_AT (n->endpoints, endpoint_t, i));
}

static void
watcher_input (void *arg)
{
  watcher_stub_t *w = arg;
  str_t body;

  while (rpc_frame (stream_in (w->stream), &body, NULL) > 0)
    {
      apr_pool_t *pool;
      msgtype_t type;
      apr_pool_create (&pool, NULL);
      watch_update_t *n = rpc_decode (pool, body, &type, NULL);
      ck_assert (n && type == MSG_WATCH_UPDATE);
      w->field->bytes += (int64_t)body.n + 4;
      apply_update (w, n);
      buf_take (stream_in (w->stream), body.n + 4);
      apr_pool_destroy (pool);
    }
}

static void
watcher_closed (void *arg, err_t *e)
{
  watcher_stub_t *w = arg;

  (void)e;
  w->stream = NULL;
  w->updates = 0;
  w->roster = -1;
  w->at = (w->at + 1) % CELLS;
}

static void
watcher_open (void *arg)
{
  send_report (arg);
}

static const stream_ops_t watcher_ops
    = { watcher_open, watcher_input, watcher_closed };

static void
watcher_turn (watcher_stub_t *w, msec_t now)
{
  err_t e = { 0 };

  if (!w->alive)
    return;
  if (w->stream == NULL && now >= w->report_at)
    {
      w->report_at = now + REPORT_EVERY;
      w->stream
          = stream_dial (w->field->loop, str_of (w->field->address[w->at]),
                         3000, &watcher_ops, w, &e);
      w->field->dialled++;
      if (w->stream == NULL)
        w->at = (w->at + 1) % CELLS;
    }
  else if (w->stream && stream_connected (w->stream) && now >= w->report_at)
    send_report (w);
}

/* ---- control ---- */

static void
answer (void *arg, int64_t ticket, const cell_answer_t *a)
{
  (void)arg;
  (void)ticket;
  (void)a;
}

static bool
promote (void *arg, str_t service, str_t id, int64_t token)
{
  (void)arg;
  (void)service;
  (void)id;
  (void)token;
  return true;
}

static void
start_cell (field_t *f, int i)
{
  static const char *const name[CELLS] = { "c0", "c1", "c2" };
  err_t e = { 0 };
  str_t *seeds = apr_palloc (f->pool, CELLS * sizeof *seeds);

  for (int k = 0; k < CELLS; k++)
    seeds[k] = str_of (f->address[k]);
  cell_conf_t c = { .name = str_of (name[i]),
                    .address = str_of (f->address[i]),
                    .listen = str_of (f->address[i]),
                    .zone = str_of (zones[i]),
                    .data = str_fmt (f->pool, "%s/%d", f->dir, i),
                    .seeds = seeds,
                    .nseeds = CELLS,
                    .first_start = true,
                    .fault_tolerance = 1,
                    .db = &pf_db,
                    .ops = { answer, promote, f } };
  f->cell[i] = cell_new (f->pool, f->loop, &c, &e);
  ck_assert_msg (f->cell[i] != NULL, "%s: %s", e.subject, e.detail);
}

/* Ends a control instance as a kill does.  */
static void
kill_cell (field_t *f, int i)
{
  cell_t *c = f->cell[i];

  f->stopped[i] = true;
  probes_stop (c);
  close (c->listener);
  for (remote_t *r = c->remotes; r; r = r->next)
    if (r->stream)
      {
        stream_close (r->stream);
        r->stream = NULL;
      }
}

static int
leader (const field_t *f)
{
  for (int i = 0; i < CELLS; i++)
    if (!f->stopped[i] && raft_leader_ready (f->cell[i]->raft))
      return i;
  return -1;
}

static void
heartbeat (field_t *f, int i)
{
  char id[16], address[32], service[16];
  err_t e = { 0 };

  snprintf (id, sizeof id, "i-%08x", i);
  snprintf (address, sizeof address, "127.0.0.1:%d", 1 + i);
  snprintf (service, sizeof service, "svc%02d", i / 3);
  backend_t b = { .id = str_of (id),
                  .service = str_of (service),
                  .address = str_of (address),
                  .zone = str_of (zones[i % CELLS]),
                  .born = 1700000000000 + i,
                  .seq = f->seq,
                  .slots = 4,
                  .primary = i % 3 == 0 };
  int at = i % CELLS;
  if (!f->stopped[at])
    cell_heartbeat (f->cell[at], &b, &e);
}

/* ---- field ---- */

static msec_t
turn (void *arg, msec_t now)
{
  field_t *f = arg;

  for (int i = 0; i < CELLS; i++)
    if (!f->stopped[i])
      cell_turn (f->cell[i], now);
  for (int i = 0; i < WATCHERS; i++)
    watcher_turn (&f->w[i], now);
  if (now >= f->heartbeat_at)
    {
      f->heartbeat_at = now + 1200;
      f->seq++;
      for (int i = 0; i < f->nserver; i++)
        heartbeat (f, i);
    }
  if (now >= f->until || (f->done && f->done (f)))
    loop_stop (f->loop);
  return now + 3;
}

static bool
run (field_t *f, msec_t ms, bool (*done) (field_t *f))
{
  f->until = msec_now () + ms;
  f->done = done;
  loop_run (f->loop, turn, f, NULL);
  return done && done (f);
}

static bool
has_leader (field_t *f)
{
  return leader (f) >= 0;
}

static field_t *
field_new (void)
{
  apr_pool_t *pool;
  err_t e = { 0 };

  apr_initialize ();
  apr_pool_create (&pool, NULL);
  log_open ("test", 0);
  field_t *f = apr_pcalloc (pool, sizeof *f);
  f->pool = pool;
  f->loop = loop_new (pool, &e);
  strcpy (f->dir, "/tmp/test_watchers.XXXXXX");
  ck_assert (mkdtemp (f->dir));
  for (int i = 0; i < CELLS; i++)
    close (stage_listen (f->address[i], sizeof f->address[i]));
  for (int i = 0; i < CELLS; i++)
    start_cell (f, i);
  ck_assert (run (f, 5000, has_leader));
  return f;
}

static void
field_free (field_t *f)
{
  char command[96];

  snprintf (command, sizeof command, "rm -rf %s", f->dir);
  apr_pool_destroy (f->pool);
  ck_assert_int_eq (system (command), 0);
}

/* Starts all watchers, spread over SPAN ms.  */
static void
start_watchers (field_t *f, msec_t span)
{
  msec_t now = msec_now ();

  for (int i = 0; i < WATCHERS; i++)
    {
      watcher_stub_t *w = &f->w[i];
      *w = (watcher_stub_t){ .field = f,
                             .at = i % CELLS,
                             .alive = true,
                             .roster = -1,
                             .report_at = now + i * span / WATCHERS };
      snprintf (w->address, sizeof w->address, "10.9.%d.%d:7440", i / 100,
                i % 100);
    }
}

static void
kill_watchers (field_t *f)
{
  for (int i = 0; i < WATCHERS; i++)
    {
      f->w[i].alive = false;
      if (f->w[i].stream)
        stream_close (f->w[i].stream);
      f->w[i].stream = NULL;
    }
}

static bool
knows_zone (const field_t *f, int i)
{
  for (int k = i % CELLS; k < WATCHERS; k += CELLS)
    if (f->w[k].alive && !f->w[i].known[k])
      return false;
  return true;
}

/* Every watcher knows all endpoints of its zone and all servers.  */
static bool
is_complete (field_t *f)
{
  for (int i = 0; i < WATCHERS; i++)
    if (f->w[i].alive && (f->w[i].backends < f->nserver || !knows_zone (f, i)))
      return false;
  return true;
}

static void
reset_counts (field_t *f)
{
  f->bytes = f->messages = f->endpoints = f->backends = f->deferred = 0;
  f->dialled = 0;
  f->slowest = 0;
}

static void
print_counts (const field_t *f, const char *phase)
{
  printf ("%s: %lld bytes, %lld messages, %lld endpoints, %lld servers, "
          "%lld deferred, %d dialled, slowest answer %lld ms\n",
          phase, (long long)f->bytes, (long long)f->messages,
          (long long)f->endpoints, (long long)f->backends,
          (long long)f->deferred, f->dialled, (long long)f->slowest);
}

/* Bytes that N watchers receive when each gets the whole roster once, each
   endpoint of its zone twice, and ROUNDS answers without changes.  */
static int64_t
bytes_allowed (int64_t n, int64_t rounds)
{
  return n
         * (SERVERS * BACKEND_BYTES + 2 * n / CELLS * ENDPOINT_BYTES
            + MEMBERS_BYTES + (rounds + 2) * UPDATE_BYTES);
}

/* ---- test cases ---- */

/* Guards against costs that grow with the square of the fleet: 300 entry
   instances that join within a second once got the zone's whole list of
   endpoints for each other one that joined.  */
START_TEST (joining_costs_each_endpoint_twice_at_most)
{
  field_t *f = field_new ();

  f->nserver = SERVERS;
  run (f, 500, NULL);
  reset_counts (f);
  start_watchers (f, 1000);
  ck_assert (run (f, 6000, is_complete));
  print_counts (f, "join");
  ck_assert_int_le (f->endpoints, 2 * WATCHERS * WATCHERS / CELLS);
  ck_assert_int_le (f->bytes,
                    bytes_allowed (WATCHERS, f->messages / WATCHERS));
  field_free (f);
}
END_TEST

/* Guards against sessions that are forwarded by a partial list: after a
   restart of all control instances each entry instance got a list of those
   that had reported before it, and the others only with its next report.
   Everyone knows its zone within half of the time between reports.  */
START_TEST (zone_is_known_before_the_next_report)
{
  field_t *f = field_new ();

  f->nserver = SERVERS;
  run (f, 1500, NULL);
  start_watchers (f, 0);
  for (int i = CELLS * FULL_PER_TICK; i < WATCHERS; i++)
    f->w[i].alive = false;
  ck_assert (run (f, REPORT_EVERY / 2, is_complete));
  field_free (f);
}
END_TEST

/* Guards against answers that repeat what the entry instance has: after the
   last change every answer is an update without lists.  */
START_TEST (quiet_fleet_gets_no_lists)
{
  field_t *f = field_new ();

  f->nserver = SERVERS / 2;
  start_watchers (f, 300);
  ck_assert (run (f, 6000, is_complete));
  f->nserver = SERVERS;
  ck_assert (run (f, 6000, is_complete));
  run (f, 2 * REPORT_EVERY, NULL);
  reset_counts (f);
  run (f, 3000, NULL);
  print_counts (f, "quiet");
  ck_assert_int_gt (f->messages, WATCHERS);
  ck_assert_int_eq (f->backends, 0);
  ck_assert_int_eq (f->endpoints, 0);
  ck_assert_int_le (f->bytes, f->messages * UPDATE_BYTES);
  field_free (f);
}
END_TEST

/* Guards against a collapse after a loss of power: all entry instances end at
   the same time and return at once, while a control instance is killed and the
   other two take its share.  */
START_TEST (restart_of_all_beside_a_lost_control_instance)
{
  field_t *f = field_new ();

  f->nserver = SERVERS;
  start_watchers (f, 300);
  ck_assert (run (f, 6000, is_complete));
  kill_watchers (f);
  run (f, 300, NULL);
  kill_cell (f, (leader (f) + 1) % CELLS);
  reset_counts (f);
  start_watchers (f, 0);
  ck_assert (run (f, 8000, is_complete));
  print_counts (f, "restart");
  ck_assert_int_le (f->dialled, 3 * WATCHERS);
  /* Endpoints of instances that have not returned yet may be listed, and
     removed, once more.  */
  ck_assert_int_le (f->endpoints, 4 * WATCHERS * WATCHERS / CELLS);
  ck_assert_int_le (f->bytes,
                    2 * bytes_allowed (WATCHERS, f->messages / WATCHERS));
  ck_assert_int_ge (leader (f), 0);
  field_free (f);
}
END_TEST

/* Guards against elections that wait for the encoding of whole rosters: when
   more instances ask than one tick serves, the others are told when to ask
   again.  */
START_TEST (whole_rosters_are_deferred_beyond_a_rate)
{
  field_t *f = field_new ();

  f->nserver = SERVERS;
  run (f, 500, NULL);
  reset_counts (f);
  start_watchers (f, 0);
  ck_assert (run (f, 6000, is_complete));
  print_counts (f, "at once");
  ck_assert_int_gt (f->deferred, 0);
  ck_assert_int_eq (f->dialled, WATCHERS);
  field_free (f);
}
END_TEST

/* Guards against whole rosters that are sent again while the first one is on
   its way: on a link that needs longer for it than the time between reports,
   each report before its arrival was answered with another one.  */
START_TEST (roster_on_its_way_is_not_sent_again)
{
  field_t *f = field_new ();
  watcher_stub_t *w = &f->w[0];

  f->nserver = SERVERS;
  run (f, 1500, NULL);
  start_watchers (f, 0);
  for (int i = 1; i < WATCHERS; i++)
    f->w[i].alive = false;
  run (f, 200, NULL);
  reset_counts (f);
  w->updates = 0;
  w->roster = -1;
  stream_close (w->stream);
  w->stream = NULL;
  w->report_at = 0;
  run (f, 4, NULL);
  ck_assert_ptr_nonnull (w->stream);
  /* What it reports meanwhile says that nothing has arrived yet.  */
  w->roster = -1;
  w->updates = 0;
  for (int i = 0; i < 4; i++)
    send_report (w);
  run (f, 200, NULL);
  print_counts (f, "reports ahead");
  ck_assert_int_le (f->backends, SERVERS);
  field_free (f);
}
END_TEST

int
main (void)
{
  Suite *s = suite_create ("watchers");
  TCase *t = tcase_create ("300 entry instances");

  tcase_set_timeout (t, 60);
  tcase_add_test (t, joining_costs_each_endpoint_twice_at_most);
  tcase_add_test (t, zone_is_known_before_the_next_report);
  tcase_add_test (t, quiet_fleet_gets_no_lists);
  tcase_add_test (t, restart_of_all_beside_a_lost_control_instance);
  tcase_add_test (t, whole_rosters_are_deferred_beyond_a_rate);
  tcase_add_test (t, roster_on_its_way_is_not_sent_again);
  suite_add_tcase (s, t);
  SRunner *r = srunner_create (s);
  srunner_run_all (r, CK_NORMAL);
  int failed = srunner_ntests_failed (r);
  srunner_free (r);
  return failed ? 1 : 0;
}
