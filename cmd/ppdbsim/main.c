#include "sim.h"
#include "rpc.h"

#include <argp.h>
#include <signal.h>
#include <stdlib.h>
#include <string.h>
#include <sys/epoll.h>
#include <unistd.h>

const char *argp_program_version = "ppdbsim " PP_VERSION;

static sim_t sim;

static const char doc[]
    = "ppdbsim -- stand-in database server of a group, for tests.  It has the "
      "PostgreSQL protocol, group terms, log positions, asynchronous "
      "replication and fault injection.\vTimes are in milliseconds.";

enum
{
  O_GROUP = 256,
  O_ZONE,
  O_DATA,
  O_SLOTS,
  O_LIMIT,
  O_MEMBERS,
  O_CONNECT,
  O_READ,
  O_WRITE,
  O_LAG,
  O_ANNOUNCE,
  O_PRIMARY,
  O_FOLLOW,
  O_LEVEL
};

static const struct argp_option options[] = {
  { "listen", 'l', "HOST:PORT", 0, "address for clients and replicas", 0 },
  { "name", 'n', "NAME", 0, "name of the database", 0 },
  { "group", O_GROUP, "NAME", 0, "group of the database", 0 },
  { "zone", O_ZONE, "NAME", 0, "availability zone", 0 },
  { "members", O_MEMBERS, "N", 0, "databases of the group (3)", 0 },
  { "data", O_DATA, "FOLDER", 0,
    "directory for log, terms and fence (default: memory only)", 0 },
  { "slots", O_SLOTS, "N", 0, "statements served concurrently (3)", 0 },
  { "connections", O_LIMIT, "N", 0, "connection limit (20)", 0 },
  { "connect-time", O_CONNECT, "MS", 0, "time to open a connection (0)", 0 },
  { "read-time", O_READ, "MS", 0, "service time of a read (0)", 0 },
  { "write-time", O_WRITE, "MS", 0, "service time of a write (0)", 0 },
  { "lag", O_LAG, "MS", 0, "replication lag of a replica (0)", 0 },
  { "announce", O_ANNOUNCE, "ADDRESS,...", 0,
    "entry instances to announce the database to", 0 },
  { "primary", O_PRIMARY, 0, 0, "start as primary of term 1", 0 },
  { "follow", O_FOLLOW, "HOST:PORT", 0, "start as a replica of this primary",
    0 },
  { "log-level", O_LEVEL, "N", 0,
    "syslog severity up to which lines are logged (6)", 0 },
  { 0 }
};

static int
number (const char *arg, struct argp_state *state)
{
  int64_t v;

  if (!str_int (str_of (arg), &v) || v < 0 || v > 1000000)
    argp_error (state, "'%s' is not a number from 0 to 1000000", arg);
  return (int)v;
}

static void
add_announce (sim_t *s, char *arg)
{
  char *save = NULL;

  for (char *p = strtok_r (arg, ",", &save); p;
       p = strtok_r (NULL, ",", &save))
    if (s->nannounce < (int)(sizeof s->announce / sizeof s->announce[0]))
      s->announce[s->nannounce++] = str_of (p);
}

static error_t
parse_number (int key, char *arg, struct argp_state *state)
{
  sim_t *s = state->input;

  switch (key)
    {
    case O_MEMBERS:
      s->members = number (arg, state);
      break;
    case O_SLOTS:
      s->slots = number (arg, state);
      break;
    case O_LIMIT:
      s->limit = number (arg, state);
      break;
    case O_CONNECT:
      s->connect_ms = number (arg, state);
      break;
    case O_READ:
      s->read_ms = number (arg, state);
      break;
    case O_WRITE:
      s->write_ms = number (arg, state);
      break;
    case O_LAG:
      s->initial_lag = s->lag = number (arg, state);
      break;
    case O_LEVEL:
      log_open ("ppdbsim", number (arg, state));
      break;
    default:
      return ARGP_ERR_UNKNOWN;
    }
  return 0;
}

static error_t
parse_option (int key, char *arg, struct argp_state *state)
{
  sim_t *s = state->input;

  switch (key)
    {
    case 'l':
      s->address = str_of (arg);
      break;
    case 'n':
      s->name = str_of (arg);
      break;
    case O_GROUP:
      s->group = str_of (arg);
      break;
    case O_ZONE:
      s->zone = str_of (arg);
      break;
    case O_DATA:
      s->data = str_of (arg);
      break;
    case O_ANNOUNCE:
      add_announce (s, arg);
      break;
    case O_PRIMARY:
      s->primary = true;
      break;
    case O_FOLLOW:
      s->upstream = heap_dup (str_of (arg));
      break;
    case ARGP_KEY_END:
      if (s->address.n == 0 || s->name.n == 0)
        argp_error (state, "--listen and --name are required");
      break;
    default:
      return parse_number (key, arg, state);
    }
  return 0;
}

static void
on_signal (int sig)
{
  (void)sig;
  sim.stop = true;
}

static bool
start (sim_t *s, err_t *e)
{
  s->pending_end = &s->pending;
  s->terms.n = 1;
  s->terms.at[0] = (epoch_t){ 1, 0 };
  s->upstream_term = s->upstream.n ? 1 : 0;
  rng_init (&s->rng, rng_system_seed ());
  if (!disk_open (s, e))
    return false;
  disk_state (s);
  s->upstream_received_at = msec_now ();
  s->ep = epoll_create1 (EPOLL_CLOEXEC);
  s->listener = rpc_listen (s->address, e);
  return s->listener >= 0;
}

int
main (int argc, char **argv)
{
  static const struct argp argp = { options, parse_option, NULL, doc };
  sim_t *s = &sim;
  err_t e = { 0 };
  char line[400];

  log_open ("ppdbsim", 6);
  apr_initialize ();
  apr_pool_create (&s->pool, NULL);
  s->slots = s->members = 3;
  s->limit = 20;
  s->group = s->zone = STR ("none");
  argp_parse (&argp, argc, argv, 0, NULL, s);
  signal (SIGTERM, on_signal);
  signal (SIGINT, on_signal);
  signal (SIGPIPE, SIG_IGN);
  if (!start (s, &e))
    {
      err_line (&e, line, sizeof line);
      log_event (EV_FATAL, "cause=%s", line);
      return err_exit (e.code);
    }
  log_event (EV_START, "name=" STR_FMT " listen=" STR_FMT, STR_ARG (s->name),
             STR_ARG (s->address));
  sim_run (s);
  log_event (EV_STOP, "name=" STR_FMT, STR_ARG (s->name));
  return 0;
}
