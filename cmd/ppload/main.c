#include "load.h"

#include <argp.h>
#include <math.h>
#include <poll.h>
#include <signal.h>
#include <stdlib.h>
#include <string.h>

const char *argp_program_version = "ppload " PP_VERSION;

static load_t load;

static const char doc[]
    = "ppload -- load generator: sends the request kinds of a questionnaire "
      "to entry instances and checks every answer and the final state of the "
      "databases.\v"
      "Exit code 8: a rule was violated; 5: a primary could not be read.";

enum
{
  O_DB = 256,
  O_MIX,
  O_ROAM,
  O_BASELINE,
  O_REPORT,
  O_PLOT,
  O_TITLE,
  EXIT_RULE = 8,
  DRAIN_MS = 12000 /* longest wait for answers after the last request */
};

static const struct argp_option options[] = {
  { "questionnaire", 'q', "FILE", 0, "request kinds and entry instances", 0 },
  { "entry", 'e', "ADDRESS,...", 0,
    "entry instances (default: those of the questionnaire)", 0 },
  { "db", O_DB, "GROUP=ADDRESS,...", 0,
    "databases of a group, the primary first", 0 },
  { "rate", 'r', "N", 0, "requests per second (100)", 0 },
  { "seconds", 's', "N", 0, "duration in seconds (10)", 0 },
  { "sessions", 'c', "N", 0, "client sessions (60)", 0 },
  { "seed", 'S', "N", 0, "seed of the random numbers (1)", 0 },
  { "mix", O_MIX, "KIND=WEIGHT,...", 0, "weights of the request kinds", 0 },
  { "roam", O_ROAM, "PERCENT", 0,
    "share of requests before which a session "
    "switches to another entry instance (10)",
    0 },
  { "baseline", O_BASELINE, 0, 0, "connect directly to the primaries", 0 },
  { "report", O_REPORT, "FILE", 0, "write a JSON report", 0 },
  { "plot", O_PLOT, "PREFIX", 0, "write plot data and a gnuplot script", 0 },
  { "title", O_TITLE, "TEXT", 0, "title of the report", 0 },
  { 0 }
};

/* ---- options ---- */

static int
split (str_t text, str_t *out, int max)
{
  int n = 0;

  while (text.n && n < max)
    {
      char *comma = memchr (text.p, ',', text.n);
      size_t k = comma ? (size_t)(comma - text.p) : text.n;
      out[n++] = (str_t){ text.p, k };
      k += comma != NULL;
      text = (str_t){ text.p + k, text.n - k };
    }
  return n;
}

static void
add_group (load_t *l, const char *arg, struct argp_state *state)
{
  const char *eq = strchr (arg, '=');

  if (eq == NULL || l->ngroups == GROUPS_MAX)
    argp_error (state, "--db %s: expected GROUP=ADDRESS,...", arg);
  load_group_t *g = &l->group[l->ngroups++];
  g->name = (str_t){ (char *)arg, (size_t)(eq - arg) };
  g->ndbs = split (str_of (eq + 1), g->db, DBS_MAX);
}

static void
read_questionnaire (load_t *l, const char *path, struct argp_state *state)
{
  err_t e = { 0 };
  char line[400];
  str_t text;

  if (conf_read_file (l->pool, path, &text, &e))
    l->cfg = questionnaire_parse (l->pool, path, text, &e);
  if (l->cfg == NULL)
    {
      err_line (&e, line, sizeof line);
      argp_failure (state, err_exit (e.code), 0, "%s", line);
      return;
    }
  for (size_t i = 0; i < l->cfg->ninstances; i++)
    if (l->cfg->instances[i].role == ROLE_ENTRY && l->nentries < ENTRIES_MAX)
      l->entry[l->nentries++] = l->cfg->instances[i].address;
  l->title = l->cfg->team;
}

static error_t
parse_option (int key, char *arg, struct argp_state *state)
{
  load_t *l = state->input;

  switch (key)
    {
    case 'q':
      read_questionnaire (l, arg, state);
      break;
    case 'e':
      l->nentries = split (str_of (arg), l->entry, ENTRIES_MAX);
      break;
    case 'r':
      l->rate = strtod (arg, NULL);
      break;
    case 's':
      l->seconds = (msec_t)(strtod (arg, NULL) * 1000);
      break;
    case 'c':
      l->nsessions = (int)strtol (arg, NULL, 10);
      break;
    case 'S':
      rng_init (&l->rng, strtoull (arg, NULL, 10));
      break;
    case O_DB:
      add_group (l, arg, state);
      break;
    case O_MIX:
      l->mixtext = str_of (arg);
      break;
    case O_ROAM:
      l->roam = strtod (arg, NULL) / 100;
      break;
    case O_BASELINE:
      l->baseline = true;
      break;
    case O_REPORT:
      l->report = str_of (arg);
      break;
    case O_PLOT:
      l->plot = str_of (arg);
      break;
    case O_TITLE:
      l->title = str_of (arg);
      break;
    case ARGP_KEY_END:
      if (l->cfg == NULL || l->ngroups == 0 || l->nsessions < 1)
        argp_error (state,
                    "--questionnaire, --db and at least one session are "
                    "required");
      break;
    default:
      return ARGP_ERR_UNKNOWN;
    }
  return 0;
}

/* set_mix: by default, reads with an age bound have 8 times the weight of
   other kinds.  */
static void
set_mix (load_t *l)
{
  str_t part[KINDS_MAX];
  int n = split (l->mixtext, part, KINDS_MAX);

  for (size_t i = 0; i < l->cfg->nkinds && i < KINDS_MAX; i++)
    {
      const cfg_kind_t *k = &l->cfg->kinds[i];
      l->mix[i] = n ? 0 : k->effect == EFFECT_READ && k->max_age >= 0 ? 8 : 1;
      for (int j = 0; j < n; j++)
        if (part[j].n > k->name.n + 1 && str_starts (part[j], k->name)
            && part[j].p[k->name.n] == '=')
          l->mix[i] = strtod (part[j].p + k->name.n + 1, NULL);
      l->mixsum += l->mix[i];
    }
}

/* ---- arrivals ---- */

static int
pick_kind (load_t *l)
{
  double r = rng_unit (&l->rng) * l->mixsum;
  int i = 0;

  while (i + 1 < (int)l->cfg->nkinds && r >= l->mix[i])
    r -= l->mix[i++];
  return i;
}

static void
queue_arrival (load_t *l)
{
  if (l->nqueue == l->capqueue)
    {
      l->capqueue = l->capqueue ? l->capqueue * 2 : 1024;
      l->queue = realloc (l->queue, l->capqueue * sizeof *l->queue);
      if (l->queue == NULL)
        abort ();
    }
  int kind = pick_kind (l);
  l->queue[l->nqueue++] = (arrival_t){ .at = l->next_arrival, .kind = kind };
  l->stat[kind].sent++;
  l->stat[kind].worth += l->cfg->kinds[kind].worth;
}

static void
generate_arrivals (load_t *l)
{
  static double carry; /* fraction of a ms left from the last interval */

  while (l->now >= l->next_arrival && l->next_arrival < l->start + l->seconds)
    {
      queue_arrival (l);
      carry += -log (1 - rng_unit (&l->rng)) / l->rate * 1000;
      l->next_arrival += (msec_t)carry;
      carry -= floor (carry);
    }
}

static session_t *
idle_session (load_t *l)
{
  int at = (int)rng_below (&l->rng, (uint64_t)l->nsessions);

  for (int i = 0; i < l->nsessions; i++)
    {
      session_t *s = &l->session[(at + i) % l->nsessions];
      if (s->state == S_IDLE && !s->has_req)
        return s;
    }
  return NULL;
}

/* drop_expired: drops requests that found no idle session before their
   deadline.  */
static void
drop_expired (load_t *l)
{
  while (l->qhead < l->nqueue)
    {
      arrival_t a = l->queue[l->qhead];
      if (l->now <= a.at + l->cfg->kinds[a.kind].deadline)
        return;
      l->stat[a.kind].late++;
      l->qhead++;
    }
}

static void
assign (load_t *l)
{
  session_t *s;

  drop_expired (l);
  while (l->qhead < l->nqueue && (s = idle_session (l)) != NULL)
    {
      arrival_t a = l->queue[l->qhead++];
      s->req = (req_t){ .kind = a.kind, .arrival = a.at };
      if (rng_unit (&l->rng) < l->roam && !l->baseline)
        {
          s->entry = (int)rng_below (&l->rng, (uint64_t)l->nentries);
          PQfinish (s->conn);
          s->conn = NULL;
          s->state = S_DISCONNECTED;
          s->due = l->now;
        }
      session_start (l, s);
    }
  if (l->qhead == l->nqueue)
    l->qhead = l->nqueue = 0;
}

/* ---- event loop ---- */

static void
wait_events (load_t *l, struct pollfd *p)
{
  for (int i = 0; i < l->nall; i++)
    {
      session_t *s = &l->session[i];
      p[i].fd = s->conn ? PQsocket (s->conn) : -1;
      p[i].events
          = s->state == S_CONNECTING && s->want == PGRES_POLLING_WRITING
                ? POLLOUT
                : POLLIN;
      p[i].revents = 0;
    }
  poll (p, (nfds_t)l->nall, 1);
  l->now = msec_now ();
  for (int i = 0; i < l->nall; i++)
    if (p[i].revents && l->session[i].conn)
      session_event (l, &l->session[i]);
}

static bool
finished (load_t *l)
{
  if (l->now < l->start + l->seconds)
    return false;
  if (l->now > l->start + l->seconds + DRAIN_MS)
    return true;
  for (int i = 0; i < l->nall; i++)
    if (l->session[i].has_req)
      return false;
  return l->qhead == l->nqueue;
}

static void
run (load_t *l)
{
  struct pollfd *p = apr_pcalloc (l->pool, (size_t)l->nall * sizeof *p);

  while (!finished (l))
    {
      generate_arrivals (l);
      assign (l);
      for (int i = 0; i < l->nall; i++)
        session_tick (l, &l->session[i]);
      wait_events (l, p);
    }
  for (int i = 0; i < l->nall; i++)
    {
      session_t *s = &l->session[i];
      if (s->has_req && s->req.write >= 0)
        l->write[s->req.write].out = OUT_UNKNOWN;
      PQfinish (s->conn);
    }
}

static void
make_sessions (load_t *l)
{
  char path[512];

  l->nall = l->nsessions + l->ngroups;
  l->session = apr_pcalloc (l->pool, (size_t)l->nall * sizeof *l->session);
  for (int i = 0; i < l->nall; i++)
    {
      session_t *s = &l->session[i];
      s->n = i;
      s->group = i % l->ngroups;
      s->versions = i >= l->nsessions;
      s->entry = l->nentries ? i % l->nentries : 0;
      s->due = l->now;
    }
  for (int i = 0; i < l->ngroups; i++)
    l->session[l->nsessions + i].group = i;
  if (l->plot.n)
    {
      snprintf (path, sizeof path, STR_FMT ".dat", STR_ARG (l->plot));
      l->ack_file = fopen (path, "w");
    }
}

int
main (int argc, char **argv)
{
  static const struct argp argp = { options, parse_option, NULL, doc };
  load_t *l = &load;
  int64_t violations = 0;

  log_open ("ppload", 5);
  apr_initialize ();
  apr_pool_create (&l->pool, NULL);
  l->rate = 100;
  l->seconds = 10000;
  l->nsessions = 60;
  l->roam = 0.1;
  rng_init (&l->rng, 1);
  argp_parse (&argp, argc, argv, 0, NULL, l);
  signal (SIGPIPE, SIG_IGN);
  set_mix (l);
  l->start = l->now = l->next_arrival = msec_now ();
  l->run = (unsigned)(msec_wall () & 0xffffffff);
  make_sessions (l);
  pthread_create (&l->poller, NULL, dbs_poll, l);
  run (l);
  l->stop_poller = true;
  pthread_join (l->poller, NULL);
  bool read = ledger_check (l);
  report_text (l, stdout);
  bool wrote = report_json (l) && report_plot (l);
  for (int i = 0; i < RULES; i++)
    violations += l->violations[i];
  return violations ? EXIT_RULE : !read ? 5 : !wrote;
}
