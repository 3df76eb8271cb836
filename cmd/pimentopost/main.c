#include "tool.h"

#include "conf.h"

#include <apr_general.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

const char *argp_program_version = "pimentopost " PP_VERSION;

static error_t
parse_command (int key, char *arg, struct argp_state *state)
{
  int *command = state->input;

  (void)arg;
  if (key == ARGP_KEY_ARG)
    {
      *command = state->next - 1;
      state->next = state->argc;
      return 0;
    }
  if (key == ARGP_KEY_NO_ARGS)
    argp_error (state, "a command is missing");
  return ARGP_ERR_UNKNOWN;
}

static const struct argp top = {
  .parser = parse_command,
  .args_doc = "COMMAND [OPTION...] [ARGUMENT...]",
  .doc = "Operator tool of pimentopost.\v"
         "Commands:\n"
         "  check FILE        check a questionnaire or a settings file\n"
         "  lint FILE         check a configuration of the users' platform "
         "before it is sent\n"
         "  generate FILE     print the configuration, or write settings\n"
         "  submit FILE       submit a changed questionnaire\n"
         "  config            print the configuration in force\n"
         "  status            print instances, groups and databases\n"
         "  watch             print the status whenever it changes\n"
         "  audit             print audit records\n"
         "  explain SUBJECT   explain an instance, group, database, "
         "submission or SQLSTATE\n\n"
         "COMMAND --help describes the options of a command. Exit codes: 0 "
         "done, 1 system error, 2 usage, 3 faulty questionnaire or settings, "
         "4 conflict, 5 unreachable or busy, 6 protocol, 7 corrupt data.",
};

static const command_t *
find_command (const char *name)
{
  for (const command_t *c = commands; c->name; c++)
    if (strcmp (c->name, name) == 0)
      return c;
  return NULL;
}

static void
print_error (const tool_t *t, const err_t *e)
{
  char line[400];
  buf_t b;

  err_line (e, line, sizeof line);
  fprintf (stderr, "pimentopost: %s\n", line);
  if (!t->json)
    return;
  buf_init (&b);
  buf_fmt (&b, "{\"error\": \"%s\", \"subject\": ", err_name (e->code));
  json_string (&b, str_of (e->subject));
  buf_fmt (&b, ", \"line\": %d, \"detail\": ", e->line);
  json_string (&b, str_of (e->detail));
  printf (STR_FMT "}\n", STR_ARG (buf_str (&b)));
  buf_free (&b);
}

static bool
run (tool_t *t, int argc, char **argv, err_t *e)
{
  int command = 0;
  char name[64];

  argp_parse (&top, argc, argv, ARGP_IN_ORDER, NULL, &command);
  const command_t *c = find_command (argv[command]);
  if (c == NULL)
    return err_set (e, ERR_USAGE, argv[command],
                    "no such command; see pimentopost --help");
  snprintf (name, sizeof name, "pimentopost %s", c->name);
  argv[command] = name;
  argp_parse (c->argp, argc - command, argv + command, 0, NULL, t);
  const char *servers = getenv ("PIMENTOPOST_SERVER");
  if (t->nservers == 0 && servers && !tool_servers (t, str_of (servers), e))
    return false;
  return c->run (t, e);
}

int
main (int argc, char **argv)
{
  tool_t t = { .base = -1, .timeout = 10000, .interval = 1000, .limit = 100 };
  err_t e = { 0 };

  argp_err_exit_status = err_exit (ERR_USAGE);
  apr_initialize ();
  apr_pool_create (&t.pool, NULL);
  if (!run (&t, argc, argv, &e))
    print_error (&t, &e);
  apr_pool_destroy (t.pool);
  apr_terminate ();
  if (fflush (stdout) != 0)
    return err_exit (ERR_SYS);
  return e.code ? err_exit (e.code) : t.exit;
}
