#include "soak.h"

#include <apr_general.h>
#include <argp.h>
#include <signal.h>
#include <stdlib.h>
#include <string.h>
#include <sys/stat.h>
#include <unistd.h>

/* Settings of the processes, the event loop of a run, the command line.  */

enum
{
  CONTROL_PORT = 28782,
  FRONT_PORT = 28784,
  READY_PORT = 28785,
  RPC_PORT = 28440,
  FINAL_READS_TIME = 6000, /* ms for the final reads of the configuration */
  TICK = 2,                /* ms */
  START_TIME = 4000,       /* ms until faults begin */
  FINAL_QUIET = 16000,     /* ms without unplanned faults at the end */
  SERVED_MIN = 90 /* percent of the operations in the last 4 s of the load */
};

void
note (world_t *w, const char *fmt, ...)
{
  va_list ap;

  fprintf (w->journal, "%8lld ", (long long)(w->now - w->begun));
  va_start (ap, fmt);
  vfprintf (w->journal, fmt, ap);
  va_end (ap);
  fputc ('\n', w->journal);
}

void
finding (world_t *w, const char *rule, const char *fmt, ...)
{
  char text[512];
  va_list ap;

  va_start (ap, fmt);
  vsnprintf (text, sizeof text, fmt, ap);
  va_end (ap);
  note (w, "FINDING %s %s", rule, text);
  if (w->findings++ < 10)
    printf ("seed %llu, %lld ms: %s %s\n", (unsigned long long)w->seed,
            (long long)(w->now - w->begun), rule, text);
}

bool
settled (const world_t *w, msec_t since)
{
  return since >= w->disturbed_until + SETTLE_TIME;
}

void
address (const world_t *w, char *out, int host, int port)
{
  snprintf (out, NAME, "%s.%d:%d", w->net, host, port);
}

int
rand_below (world_t *w, int n)
{
  return (int)rng_below (&w->rng, (uint64_t)n);
}

void
copy (char *out, size_t size, const char *text)
{
  size_t n = strnlen (text, size - 1);

  memcpy (out, text, n);
  out[n] = '\0';
}

/* ---- settings ---- */

static void
write_settings (world_t *w, proc_t *p, int host, int relay, const char *zone,
                bool first)
{
  bool control = p->data[0] != '\0';
  snprintf (p->settings, sizeof p->settings, "%s/%s.json", w->dir, p->name);
  FILE *f = fopen (p->settings, "w");

  if (f == NULL)
    abort ();
  fprintf (f,
           "{\"node-name\":\"%s\",\"zone\":\"%s\",\"ip\":\"%s.%d\","
           "\"bind-ip\":\"%s.%d\",\"internal-ports\":[%d,%d],"
           "\"seeds\":[\"%s.101:%d\",\"%s.102:%d\",\"%s.103:%d\"],"
           "\"bootstrap\":%s,\"bounds\":{\"grace-s\":6},"
           "\"cloud-api\":{\"addr\":\"%s.90:28783\"},",
           p->name, zone, w->net, relay, w->net, host, RPC_PORT, RPC_PORT + 9,
           w->net, CONTROL_PORT, w->net, CONTROL_PORT, w->net, CONTROL_PORT,
           first ? "true" : "false", w->net);
  if (control)
    fprintf (f, "\"listen\":{\"control\":\"%s.%d:%d\"},\"data-dir\":\"%s\"}\n",
             w->net, host, CONTROL_PORT, p->data);
  else
    fprintf (f,
             "\"listen\":{\"front\":\"%s.%d:%d\",\"ready\":\"%s.%d:%d\"},"
             "\"data-dir\":null}\n",
             w->net, host, FRONT_PORT, w->net, host, READY_PORT);
  fclose (f);
}

static const char *const zones[] = { "z1", "z2", "z3" };

static void
make_control (world_t *w, int i)
{
  proc_t *p = &w->control[i];
  char own[NAME], relayed[NAME];

  p->world = w;
  p->program = "pimentopost-control";
  snprintf (p->name, NAME, "c%d", i);
  snprintf (p->data, sizeof p->data, "%s/disk%d", w->dir, i);
  mkdir (p->data, 0700);
  address (w, own, 1 + i, RPC_PORT);
  address (w, relayed, 101 + i, RPC_PORT);
  w->control_rpc[i] = relay_new (w, relayed, own);
  address (w, own, 1 + i, CONTROL_PORT);
  address (w, relayed, 101 + i, CONTROL_PORT);
  w->control_http[i] = relay_new (w, relayed, own);
  write_settings (w, p, 1 + i, 101 + i, zones[i], true);
  proc_start (p);
}

static void
make_entry (world_t *w, int i)
{
  proc_t *p = &w->entry[i];
  char own[NAME], relayed[NAME];

  p->world = w;
  p->program = "pimentopost-entry";
  snprintf (p->name, NAME, "e%d", i);
  address (w, own, 10 + i, FRONT_PORT);
  address (w, relayed, 110 + i, FRONT_PORT);
  address (w, p->probe, 10 + i, READY_PORT);
  w->entry_front[i] = relay_new (w, relayed, own);
  write_settings (w, p, 10 + i, 10 + i, zones[i % 3], false);
  proc_start (p);
}

/* ---- the run ---- */

/* Set by SIGINT and SIGTERM: the child processes are ended before exit.  */
static volatile sig_atomic_t stopped;

static void
on_stop (int sig)
{
  (void)sig;
  stopped = 1;
}

static msec_t
tick (void *arg, msec_t now)
{
  world_t *w = arg;

  w->now = now;
  for (relay_t *r = w->relays; r; r = r->next)
    relay_tick (r, now);
  for (int i = 0; i < CONTROLS; i++)
    proc_tick (&w->control[i], now);
  for (int i = 0; i < w->entries; i++)
    proc_tick (&w->entry[i], now);
  for (int i = 0; i < SERVICES; i++)
    service_tick (&w->service[i], now);
  for (int i = 0; i < w->sessions; i++)
    session_tick (w->session[i], now);
  http_tick (w, now);
  fault_tick (w, now);
  operator_tick (w, now);
  if (!w->bootstrapped && now > w->begun + START_TIME / 2)
    {
      w->bootstrapped = true;
      for (int i = 0; i < CONTROLS; i++)
        write_settings (w, &w->control[i], 1 + i, 101 + i, zones[i], false);
    }
  if (now >= w->end || stopped)
    loop_stop (w->loop);
  return now + TICK;
}

static void
set_up (world_t *w)
{
  err_t e = { 0 };

  apr_pool_create (&w->pool, NULL);
  w->loop = loop_new (w->pool, &e);
  if (w->loop == NULL)
    exit (2);
  w->statements = apr_hash_make (w->pool);
  rng_init (&w->rng, w->seed);
  w->tenanted = w->seed % 2;
  rng_init (&w->key_rng, ~w->seed);
  w->now = w->begun = msec_now ();
  w->next_fault = w->begun + START_TIME;
  w->faults_end = w->end - FINAL_QUIET;
  promoter_new (w);
  for (int i = 0; i < CONTROLS; i++)
    make_control (w, i);
  for (int i = 0; i < w->entries; i++)
    make_entry (w, i);
  for (int i = 0; i < SERVICES; i++)
    service_new (w, &w->service[i], i);
  w->session = apr_pcalloc (w->pool, (size_t)w->sessions * sizeof *w->session);
  for (int i = 0; i < w->sessions; i++)
    w->session[i] = session_new (w, i);
}

static void
check_recovery (world_t *w)
{
  const tally_t *t = &w->last;
  int64_t all
      = t->served + t->refused + t->doubt + t->failed + t->lost + t->timed_out;

  if (all == 0 || t->served * 100 < all * SERVED_MIN)
    finding (w, "RECOVER", "%lld of the last %lld operations were served",
             (long long)t->served, (long long)all);
  if (w->operator.acked == 0)
    finding (w, "RECOVER", "no configuration was acknowledged");
}

static int
run (world_t *w, msec_t ms)
{
  err_t e = { 0 };
  char path[300];

  w->end = msec_now () + ms;
  snprintf (path, sizeof path, "%s/journal", w->dir);
  w->journal = fopen (path, "we");
  if (w->journal == NULL)
    return 2;
  set_up (w);
  loop_run (w->loop, tick, w, &e);
  check_recovery (w);
  operator_final_read (w);
  w->end = w->now + FINAL_READS_TIME;
  loop_run (w->loop, tick, w, &e);
  for (int i = 0; i < CONTROLS; i++)
    proc_end (&w->control[i]);
  for (int i = 0; i < w->entries; i++)
    proc_end (&w->entry[i]);
  fclose (w->journal);
  const tally_t *t = &w->all;
  printf ("seed %llu: %d findings; %d faults, %lld promotions; operations: "
          "%lld served, %lld refused, %lld in doubt, %lld failed, %lld lost, "
          "%lld timed out; %lld changes, %lld reads of the configuration\n",
          (unsigned long long)w->seed, w->findings, w->faults,
          (long long)w->promotions, (long long)t->served,
          (long long)t->refused, (long long)t->doubt, (long long)t->failed,
          (long long)t->lost, (long long)t->timed_out,
          (long long)w->operator.changes, (long long)w->operator.reads);
  return w->findings ? 1 : 0;
}

/* ---- command line ---- */

const char *argp_program_version = "soak " PP_VERSION;

typedef struct
{
  world_t world;
  msec_t ms;
  int place;
} args_t;

static error_t
parse (int key, char *arg, struct argp_state *state)
{
  args_t *a = state->input;
  long n = arg ? strtol (arg, NULL, 10) : 0;

  switch (key)
    {
    case 's':
      a->world.seed = (uint64_t)n;
      break;
    case 't':
      a->ms = n * 1000;
      break;
    case 'e':
      a->world.entries = (int)n;
      break;
    case 'c':
      a->world.sessions = (int)n;
      break;
    case 'r':
      a->world.sync_replicas = (int)n;
      break;
    case 'p':
      a->place = (int)n;
      break;
    case ARGP_KEY_ARG:
      snprintf (a->world.bin, sizeof a->world.bin, "%s", arg);
      break;
    case ARGP_KEY_END:
      if (a->world.bin[0] == '\0' || a->world.entries < 1
          || a->world.entries > ENTRIES_MAX || a->world.sessions < 1
          || a->world.sync_replicas < 0 || a->world.sync_replicas > 1
          || a->ms < START_TIME + FINAL_QUIET || a->place < 0
          || a->place > 250)
        argp_usage (state);
      break;
    default:
      return ARGP_ERR_UNKNOWN;
    }
  return 0;
}

static const struct argp_option options[]
    = { { "seed", 's', "N", 0, "seed of the faults and the load", 0 },
        { "seconds", 't', "S", 0, "length of the run, 20 or more", 0 },
        { "entries", 'e', "N", 0, "entry instances, 1 to 48", 0 },
        { "sessions", 'c', "N", 0, "client sessions", 0 },
        { "sync-replicas", 'r', "N", 0,
          "replicas that have to receive each commit, 0 or 1", 0 },
        { "place", 'p', "N", 0,
          "address range 127.77.N.*, for concurrent runs", 0 },
        { 0 } };

int
main (int argc, char **argv)
{
  const struct argp argp = { options,
                             parse,
                             "BUILD",
                             "Injects faults into the programs of the folder "
                             "BUILD and checks what their users see.",
                             NULL,
                             NULL,
                             NULL };
  args_t a
      = { .world = { .seed = 1, .entries = 4, .sessions = 60 }, .ms = 45000 };
  world_t *w = &a.world;

  signal (SIGPIPE, SIG_IGN);
  signal (SIGINT, on_stop);
  signal (SIGTERM, on_stop);
  crash_handlers ();
  /* Inherited: a write to a full disk fails with an error.  */
  signal (SIGXFSZ, SIG_IGN);
  apr_initialize ();
  argp_parse (&argp, argc, argv, 0, NULL, &a);
  log_open ("soak", 3);
  snprintf (w->net, sizeof w->net, "127.77.%d", a.place);
  snprintf (w->dir, sizeof w->dir, "/tmp/soak.%llu.XXXXXX",
            (unsigned long long)w->seed);
  if (mkdtemp (w->dir) == NULL)
    return 2;
  int result = run (w, a.ms);
  if (result)
    printf ("journal and logs: %s\n", w->dir);
  return result;
}
