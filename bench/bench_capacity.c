/* Cost of a control leader by the number of entry instances and groups:
   processor time, bytes and memory.  The leader runs on a simulated clock and
   gets the lease renewals and probe reports of a whole cell.  There are no
   sockets; bytes are those of the encoded frames.  */

#include "conf.h"
#include "control.h"

#include <apr_general.h>
#include <malloc.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

enum
{
  ROUND = 100, /* ms of the simulated clock */
  ROUNDS = 200,
  PER_GROUP = 3,  /* databases */
  TICKS = 10,     /* of each round */
  FULL_EVERY = 5, /* one renewal of so many is not brief, as in
                     lib/entry/link.c */
  PEERS = 2       /* other control instances */
};

typedef struct
{
  control_t *c;
  apr_pool_t *pool;
  apr_pool_t *scratch;
  int entries;
  int groups;
  msec_t now;
  int64_t index;
  int64_t appended;
  int64_t seq;
  int64_t cfg_term;
  int64_t cfg_index;
  int64_t renew_bytes;
  int64_t grant_bytes;
  int64_t report_bytes;
  int64_t config_bytes;
} cell_t;

static double
cpu_seconds (void)
{
  struct timespec ts;

  clock_gettime (CLOCK_PROCESS_CPUTIME_ID, &ts);
  return (double)ts.tv_sec + (double)ts.tv_nsec / 1e9;
}

static void
apply_actions (cell_t *x)
{
  ctl_act_t a;
  buf_t data;

  buf_init (&data);
  while (control_next (x->c, &a))
    if (a.kind == CTL_APPEND)
      {
        data.n = data.off = 0;
        buf_adds (&data, a.data);
        x->appended += (int64_t)a.data.n;
        control_apply (x->c, 1, ++x->index, buf_str (&data), x->now, NULL);
      }
  buf_free (&data);
}

static str_t
questionnaire (cell_t *x)
{
  buf_t b;

  buf_init (&b);
  buf_fmt (&b, "team: bench\nregion: r\navailability_zones: [z0, z1, z2]\n"
               "groups:\n");
  for (int i = 0; i < x->groups; i++)
    buf_fmt (&b,
             "  - name: ledger-%d\n    databases: 3\n    slots: 3\n"
             "    connections: %d\n    connect_time: 10ms\n",
             i, 2 * x->entries + 10);
  buf_fmt (&b, "instances:\n");
  for (int i = 0; i < x->entries + 3; i++)
    {
      const char *role = i < x->entries ? "entry" : "control";
      buf_fmt (&b,
               "  - name: %s-%d\n    role: %s\n    availability_zone: z%d\n"
               "    address: 127.0.0.1:%d\n    health: 127.0.0.1:%d\n",
               role, i, role, i % 3, 10000 + i, 20000 + i);
    }
  buf_fmt (&b, "request_kinds:\n  - name: sale\n    worth: 10\n"
               "    deadline: 2s\n    repeatable: false\n    key: required\n"
               "    effect: write\n");
  str_t s = str_dup (x->pool, buf_str (&b));
  buf_free (&b);
  return s;
}

static probe_t
probe_of (const cell_t *x, int db)
{
  return (probe_t){ .name = str_fmt (x->scratch, "ledger-%d-%d",
                                     db / PER_GROUP, db % PER_GROUP),
                    .address
                    = str_fmt (x->scratch, "127.0.0.1:%d", 30000 + db),
                    .reachable = true,
                    .ok_age = 20,
                    .term = 1,
                    .role = db % PER_GROUP ? STR ("replica") : STR ("primary"),
                    .position = 1000000 + x->now,
                    .confirmed = 1000000 + x->now,
                    .upstream_age = 10,
                    .history = STR ("1:0") };
}

static list_t
probes (cell_t *x)
{
  int n = x->groups * PER_GROUP;
  probe_t *p = apr_palloc (x->scratch, sizeof *p * (size_t)n);

  for (int i = 0; i < n; i++)
    p[i] = probe_of (x, i);
  return (list_t){ p, (size_t)n };
}

/* Each database announces itself four times a second to one instance.  */
static list_t
announces (cell_t *x, int entry)
{
  int n = x->groups * PER_GROUP;
  announce_t *a = apr_palloc (x->scratch, sizeof *a * (size_t)n);
  size_t k = 0;

  for (int i = 0; i < n; i++)
    {
      probe_t p = probe_of (x, i);
      if (i % x->entries != entry)
        continue;
      a[k++] = (announce_t){ .group = str_fmt (x->scratch, "ledger-%d",
                                               i / PER_GROUP),
                             .name = p.name,
                             .address = p.address,
                             .zone = str_fmt (x->scratch, "z%d", i % 3),
                             .term = 1,
                             .position = p.position };
    }
  return (list_t){ a, k };
}

/* A brief renewal reports primaries only.  */
static void
drop_replicas (list_t *l)
{
  size_t n = 0;

  for (size_t i = 0; i < l->n; i += PER_GROUP)
    *LIST_AT (*l, probe_t, n++) = *LIST_AT (*l, probe_t, i);
  l->n = n;
}

static void
renew_lease (cell_t *x, int entry, bool brief)
{
  renew_t r
      = { .name = str_fmt (x->scratch, "entry-%d", entry),
          .zone = str_fmt (x->scratch, "z%d", entry % 3),
          .boot = entry + 1,
          .seq = ++x->seq,
          .sent = x->now,
          .cfg_term = x->cfg_term,
          .cfg_index = x->cfg_index,
          .announces = announces (x, entry),
          .address = str_fmt (x->scratch, "127.0.0.1:%d", 10000 + entry) };
  int n = x->groups * PER_GROUP;
  db_usage_t *u = apr_palloc (x->scratch, sizeof *u * (size_t)n);
  grant_t g;
  buf_t b;

  r.probes = probes (x);
  for (int i = 0; i < n; i++)
    u[i] = (db_usage_t){ .name = LIST_AT (r.probes, probe_t, i)->name,
                         .open = 1,
                         .demand = 1 };
  r.brief = brief;
  r.usage = (list_t){ u, brief ? 0 : (size_t)n };
  if (brief)
    drop_replicas (&r.probes);
  control_renew (x->c, &r, x->now, x->scratch, &g);
  buf_init (&b);
  rpc_encode (&b, MSG_RENEW, &r);
  x->renew_bytes += (int64_t)buf_len (&b);
  b.n = b.off = 0;
  rpc_encode (&b, MSG_GRANT, &g);
  x->grant_bytes += (int64_t)buf_len (&b);
  buf_free (&b);
  if (g.cfg.n)
    x->config_bytes = (int64_t)g.cfg.n;
}

static void
send_report (cell_t *x, int peer)
{
  probe_report_t r
      = { .from = str_fmt (x->scratch, "control-%d", x->entries + peer),
          .probes = probes (x) };
  buf_t b;

  control_peer_report (x->c, &r, x->now);
  buf_init (&b);
  rpc_encode (&b, MSG_PROBE_REPORT, &r);
  x->report_bytes += (int64_t)buf_len (&b);
  buf_free (&b);
}

static void
run_round (cell_t *x)
{
  apr_pool_clear (x->scratch);
  control_quorum (x->c, x->now);
  for (int i = 0; i < x->groups * PER_GROUP; i++)
    {
      db_event_t ev = { .kind = DB_EV_PROBE, .probe = probe_of (x, i) };
      control_db (x->c, &ev, x->now);
    }
  for (int i = 1; i <= PEERS; i++)
    send_report (x, i);
  for (int i = 0; i < x->entries; i++)
    renew_lease (x, i, x->now / ROUND % FULL_EVERY != 0);
  for (int i = 0; i < TICKS; i++)
    {
      x->now += ROUND / TICKS;
      control_quorum (x->c, x->now);
      control_tick (x->c, x->now);
      apply_actions (x);
    }
}

static bool
begin (cell_t *x)
{
  submit_t s = { .id = STR ("first"), .operator_name = STR ("bench") };

  x->c = control_new (x->pool, str_fmt (x->pool, "control-%d", x->entries),
                      STR ("127.0.0.1:1"), &ctl_conf_ops, NULL);
  x->now = 1000;
  x->cfg_term = x->cfg_index = -1;
  control_role (x->c, true, 1, STR ("127.0.0.1:1"), x->now);
  control_quorum (x->c, x->now);
  apply_actions (x);
  s.text = questionnaire (x);
  control_submit (x->c, &s, 1, x->now);
  apply_actions (x);
  for (int i = 0; i < 30; i++)
    run_round (x);
  return control_config (x->c, NULL, &x->cfg_term, &x->cfg_index).n > 0;
}

static void
measure (apr_pool_t *root, int entries, int groups)
{
  cell_t x = { .entries = entries, .groups = groups };
  size_t before = mallinfo2 ().uordblks;

  apr_pool_create (&x.pool, root);
  apr_pool_create (&x.scratch, root);
  if (!begin (&x))
    {
      printf ("%7d %6d  no configuration\n", entries, groups);
      return;
    }
  size_t state = mallinfo2 ().uordblks - before;
  x.renew_bytes = x.grant_bytes = x.report_bytes = x.appended = 0;
  double cpu = cpu_seconds ();
  for (int i = 0; i < ROUNDS; i++)
    run_round (&x);
  cpu = cpu_seconds () - cpu;
  double time = ROUNDS * ROUND / 1000.0;
  int64_t n = (int64_t)ROUNDS * entries;
  printf ("%7d %6d %9.2f %8lld %8lld %9.1f %9.1f %9.1f %8.1f %8lld\n", entries,
          groups, cpu / time * 100, (long long)(x.renew_bytes / n),
          (long long)(x.grant_bytes / n),
          (double)(x.renew_bytes + x.grant_bytes) / time / entries / 1000,
          (double)(x.renew_bytes + x.grant_bytes + x.report_bytes) / time
              / 1000,
          (double)x.appended / time, (double)state / 1e6,
          (long long)x.config_bytes);
  apr_pool_destroy (x.scratch);
  apr_pool_destroy (x.pool);
}

int
main (void)
{
  static const int sizes[][2]
      = { { 4, 3 }, { 9, 3 },  { 18, 3 }, { 36, 3 }, { 9, 1 },
          { 9, 6 }, { 9, 12 }, { 9, 24 }, { 18, 6 }, { 36, 12 } };
  apr_pool_t *root;

  apr_initialize ();
  apr_pool_create (&root, NULL);
  log_open ("bench_capacity", 2);
  printf ("processor time includes building and encoding the messages of the "
          "whole cell\n");
  printf ("%7s %6s %9s %8s %8s %9s %9s %9s %8s %8s\n", "entries", "groups",
          "leader_%", "renew_B", "grant_B", "entry_KB/s", "leader_KB/s",
          "log_B/s", "state_MB", "config_B");
  for (size_t i = 0; i < sizeof sizes / sizeof *sizes; i++)
    measure (root, sizes[i][0], sizes[i][1]);
  return 0;
}
