#include "duties.h"

#include <apr_general.h>
#include <argp.h>
#include <stdlib.h>
#include <string.h>

typedef struct
{
  const char *settings;
  const char *role;
} args_t;

const char *argp_program_version = "pimentopostd " PP_VERSION;

static error_t
parse (int key, char *arg, struct argp_state *state)
{
  args_t *a = state->input;

  if (key == 's')
    a->settings = arg;
  else if (key == 'r')
    a->role = arg;
  else if (key == ARGP_KEY_END && a->settings == NULL)
    argp_error (state, "--settings is required");
  else if (key == ARGP_KEY_ARG)
    argp_error (state, "unexpected argument '%s'", arg);
  else
    return ARGP_ERR_UNKNOWN;
  return 0;
}

static const struct argp_option options[]
    = { { "settings", 's', "FILE", 0, "settings file of this instance", 0 },
        { "role", 'r', "ROLE", 0, "entry or control; must match the settings",
          0 },
        { 0 } };
static const struct argp argp
    = { options, parse, NULL, "Daemon of the pimentopost database proxy.",
        NULL,    NULL,  NULL };

static int
fail_start (const err_t *e)
{
  char line[400];

  err_line (e, line, sizeof line);
  log_event (EV_FATAL, "cause=%s", line);
  return err_exit (e->code);
}

int
main (int argc, char **argv)
{
  args_t a = { 0 };
  apr_pool_t *pool;
  err_t e = { 0 };

  argp_parse (&argp, argc, argv, 0, NULL, &a);
  apr_initialize ();
  apr_pool_create (&pool, NULL);
  log_open ("pimentopostd", 6);
  settings_t *s = settings_load (pool, a.settings, &e);
  if (s && a.role && strcmp (a.role, conf_role_name (s->role)) != 0)
    {
      err_set (&e, ERR_USAGE, "--role", "the role in the settings is %s",
               conf_role_name (s->role));
      s = NULL;
    }
  if (s == NULL)
    return fail_start (&e);
  log_open ("pimentopostd", s->log_level);
  return s->role == ROLE_CONTROL ? control_main (s) : entry_main (s);
}
