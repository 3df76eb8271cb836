#include "tool.h"

#include "conf.h"

#include <stdlib.h>

enum
{
  OPT_SETTINGS = 256,
  OPT_DATA,
  OPT_BASE,
  OPT_ID,
  OPT_OPERATOR,
  OPT_WAIT,
  OPT_SINCE,
  OPT_LIMIT,
  OPT_INTERVAL,
  OPT_COUNT,
  OPT_TIMEOUT,
  OPT_JSON,
  OPT_LOCAL,
  OPT_TABLE,
  OPT_IN_FORCE,
  OPT_INSTANCES,
  OPT_DATABASES,
  OPT_SLOTS,
  OPT_WORK,
  OPT_LAG
};

static const struct argp_option common[] = {
  { "json", OPT_JSON, 0, 0, "Print JSON", 10 },
  { 0 },
};

static const struct argp_option remote[] = {
  { "server", 's', "ADDRESS[,ADDRESS...]", 0,
    "Control instances as IP-NUMBER:PORT; default: PIMENTOPOST_SERVER", 9 },
  { "timeout", OPT_TIMEOUT, "TIME", 0,
    "Give up after this time, such as 500ms or 10s (default)", 9 },
  { 0 },
};

static const struct argp_option local[] = {
  { "local", OPT_LOCAL, 0, 0,
    "Print the view of the first instance that answers, not of the leader",
    8 },
  { "table", OPT_TABLE, 0, 0, "Print aligned tables with times as dates", 8 },
  { 0 },
};

static const struct argp_option generate[] = {
  { "output", 'o', "FILE", 0, "Write the configuration to FILE", 0 },
  { "settings", OPT_SETTINGS, "DIR", 0,
    "Write DIR/NAME.yaml, the settings of each instance, instead", 0 },
  { "data", OPT_DATA, "DIR", 0,
    "The data folder of a control instance is DIR/NAME (default "
    "/var/lib/pimentopost)",
    0 },
  { 0 },
};

static const struct argp_option submit[] = {
  { "base", OPT_BASE, "VERSION", 0,
    "Version that the change is based on (required; 0 for the first "
    "submission)",
    0 },
  { "id", OPT_ID, "ID", 0,
    "Submission id; default: derived from operator, base and text, so that "
    "the same command can safely be repeated",
    0 },
  { "operator", OPT_OPERATOR, "NAME", 0, "Who submits; default: USER", 0 },
  { "wait", OPT_WAIT, 0, 0,
    "Wait until the version is in force on every reachable instance", 0 },
  { 0 },
};

static const struct argp_option audit[] = {
  { "since", OPT_SINCE, "INDEX", 0, "Only records after INDEX", 0 },
  { "limit", OPT_LIMIT, "N", 0, "At most N records (default 100)", 0 },
  { 0 },
};

static const struct argp_option lint[] = {
  { "in-force", OPT_IN_FORCE, "FILE", 0,
    "Compare with the configuration in FILE instead of that of --server", 0 },
  { "instances", OPT_INSTANCES, "N", 0, "Number of entry instances", 0 },
  { "databases", OPT_DATABASES, "N", 0, "Databases of each service", 0 },
  { "slots", OPT_SLOTS, "N", 0, "Statements that a database runs at a time",
    0 },
  { "work", OPT_WORK, "TIME", 0, "Time of a statement at a database", 0 },
  { "lag", OPT_LAG, "TIME", 0, "Usual lag of the replicas", 0 },
  { 0 },
};

static const struct argp_option watch[] = {
  { "interval", OPT_INTERVAL, "TIME", 0, "Time between queries (default 1s)",
    0 },
  { "count", OPT_COUNT, "N", 0, "Stop after N queries (default: never)", 0 },
  { 0 },
};

static int64_t
parse_int (struct argp_state *state, const char *arg)
{
  int64_t v = 0;

  if (!str_int (str_of (arg), &v) || v < 0)
    argp_error (state, "'%s' is not a non-negative integer", arg);
  return v;
}

static msec_t
parse_duration (struct argp_state *state, const char *arg)
{
  msec_t v = 0;
  err_t e = { 0 };

  if (!conf_duration (str_of (arg), &v, &e))
    argp_error (state, "%s", e.detail);
  return v;
}

static error_t
parse_servers (tool_t *t, const char *arg, struct argp_state *state)
{
  err_t e = { 0 };

  if (!tool_servers (t, str_of (arg), &e))
    argp_error (state, "%s", e.detail);
  return 0;
}

static error_t
parse_number (tool_t *t, int key, const char *arg, struct argp_state *state)
{
  switch (key)
    {
    case OPT_BASE:
      t->base = parse_int (state, arg);
      return 0;
    case OPT_SINCE:
      t->since = parse_int (state, arg);
      return 0;
    case OPT_LIMIT:
      t->limit = parse_int (state, arg);
      return 0;
    case OPT_COUNT:
      t->count = parse_int (state, arg);
      return 0;
    case OPT_TIMEOUT:
      t->timeout = parse_duration (state, arg);
      return 0;
    case OPT_INTERVAL:
      t->interval = parse_duration (state, arg);
      return 0;
    case OPT_INSTANCES:
      t->facts.instances = parse_int (state, arg);
      return 0;
    case OPT_DATABASES:
      t->facts.databases = parse_int (state, arg);
      return 0;
    case OPT_SLOTS:
      t->facts.slots = parse_int (state, arg);
      return 0;
    case OPT_WORK:
      t->facts.work = parse_duration (state, arg);
      return 0;
    case OPT_LAG:
      t->facts.lag = parse_duration (state, arg);
      return 0;
    default:
      return ARGP_ERR_UNKNOWN;
    }
}

/* Passes the tool on to the parsers of the shared options.  child_inputs is
   NULL in a parser without children.  */
static error_t
share_input (struct argp_state *state)
{
  const struct argp_child *c = state->root_argp->children;

  for (int i = 0; state->child_inputs && c[i].argp; i++)
    state->child_inputs[i] = state->input;
  return 0;
}

static error_t
parse_option (int key, char *arg, struct argp_state *state)
{
  tool_t *t = state->input;

  switch (key)
    {
    case ARGP_KEY_INIT:
      return share_input (state);
    case OPT_JSON:
      t->json = true;
      return 0;
    case 's':
      return parse_servers (t, arg, state);
    case 'o':
      t->output = arg;
      return 0;
    case OPT_SETTINGS:
      t->settings = arg;
      return 0;
    case OPT_DATA:
      t->data = arg;
      return 0;
    case OPT_ID:
      t->id = arg;
      return 0;
    case OPT_OPERATOR:
      t->operator_name = arg;
      return 0;
    case OPT_TABLE:
      t->table = true;
      return 0;
    case OPT_LOCAL:
      t->local = true;
      return 0;
    case OPT_WAIT:
      t->wait = true;
      return 0;
    case OPT_IN_FORCE:
      t->in_force = arg;
      return 0;
    default:
      return parse_number (t, key, arg, state);
    }
}

/* Of commands with an optional subject.  */
static error_t
parse_subject (int key, char *arg, struct argp_state *state)
{
  tool_t *t = state->input;

  if (key == ARGP_KEY_ARG && state->arg_num == 0)
    {
      t->subject = arg;
      return 0;
    }
  return parse_option (key, arg, state);
}

/* Of commands with one required argument.  */
static error_t
parse_argument (int key, char *arg, struct argp_state *state)
{
  tool_t *t = state->input;

  if (key == ARGP_KEY_ARG && state->arg_num == 0)
    {
      t->file = t->subject = arg;
      return 0;
    }
  if (key == ARGP_KEY_NO_ARGS)
    argp_error (state, "an argument is missing");
  return parse_option (key, arg, state);
}

static const struct argp common_argp
    = { .options = common, .parser = parse_option };
static const struct argp remote_argp
    = { .options = remote, .parser = parse_option };
static const struct argp local_argp
    = { .options = local, .parser = parse_option };
static const struct argp_child query_children[]
    = { { &local_argp }, { &remote_argp }, { &common_argp }, { 0 } };
static const struct argp_child local_children[] = { { &common_argp }, { 0 } };
static const struct argp_child remote_children[]
    = { { &remote_argp }, { &common_argp }, { 0 } };

static const struct argp check_argp
    = { NULL, parse_argument, "FILE",
        "Check a questionnaire or a settings file.", local_children };
static const struct argp lint_argp = {
  lint, parse_argument, "FILE",
  "Check a configuration of the users' platform before it is sent, and "
  "compare it with the one in force, from --in-force or, over HTTP, from "
  "--server.  Exit status: 0 nothing found but changes, 1 warnings, 2 "
  "errors.",
  remote_children
};
static const struct argp generate_argp
    = { generate, parse_argument, "QUESTIONNAIRE",
        "Print the configuration as canonical YAML, or write the settings of "
        "every instance.",
        local_children };
static const struct argp submit_argp
    = { submit, parse_argument, "QUESTIONNAIRE",
        "Submit a changed questionnaire. Without --server, the control "
        "instances that it names are used.",
        remote_children };
static const struct argp status_argp
    = { NULL, parse_option, NULL, "Print instances, groups and databases.",
        query_children };
static const struct argp config_argp
    = { NULL, parse_option, NULL,
        "Print the configuration in force; it can be edited and submitted.",
        query_children };
static const struct argp watch_argp
    = { watch, parse_option, NULL, "Print the status whenever it changes.",
        query_children };
static const struct argp audit_argp = {
  audit, parse_subject, "[SUBJECT]",
  "Print audit records, oldest first; with SUBJECT those that concern an "
  "instance, group, database, submission, operator or kind of record.",
  query_children
};
static const struct argp explain_argp
    = { NULL, parse_argument, "SUBJECT",
        "Explain the state of an instance, group, database or submission, or "
        "what an SQLSTATE means.",
        query_children };

const command_t commands[] = {
  { "check", &check_argp, run_check },
  { "lint", &lint_argp, run_lint },
  { "generate", &generate_argp, run_generate },
  { "submit", &submit_argp, run_submit },
  { "config", &config_argp, run_config },
  { "status", &status_argp, run_status },
  { "watch", &watch_argp, run_watch },
  { "audit", &audit_argp, run_audit },
  { "explain", &explain_argp, run_explain },
  { 0 },
};
