/* Fuzz target of the settings and questionnaire parsers: no input causes a
   crash, a rejection has a type and a line, and accepted input that is written
   as text parses to the same text again.  */

#include "conf.h"

#include <apr_general.h>
#include <stdio.h>
#include <stdlib.h>

int LLVMFuzzerTestOneInput (const uint8_t *data, size_t n);

static void
require (bool ok, const char *what, const err_t *e)
{
  char line[400];

  if (ok)
    return;
  err_line (e, line, sizeof line);
  fprintf (stderr, "%s: %s\n", what, line);
  abort ();
}

static void
check_rejection (const err_t *e)
{
  require (e->code != ERR_NONE, "rejection without a type", e);
  require (e->line > 0 || e->code == ERR_TOO_LARGE, "rejection without a line",
           e);
}

static void
try_questionnaire (apr_pool_t *pool, str_t text)
{
  err_t e = { 0 };
  config_t *c = questionnaire_parse (pool, "fuzz", text, &e);

  if (c == NULL)
    {
      check_rejection (&e);
      return;
    }
  str_t canonical = config_text (pool, c);
  require (config_parse (pool, canonical, &e) != NULL,
           "written configuration is rejected", &e);
  for (size_t i = 0; i < c->ninstances; i++)
    {
      str_t s = settings_text (
          pool, config_settings (pool, c, &c->instances[i], "data"));
      require (settings_parse (pool, "fuzz", s, &e) != NULL,
               "settings of an instance are rejected", &e);
    }
}

static void
try_settings (apr_pool_t *pool, str_t text)
{
  err_t e = { 0 };
  settings_t *s = settings_parse (pool, "fuzz", text, &e);

  if (s == NULL)
    {
      check_rejection (&e);
      return;
    }
  str_t written = settings_text (pool, s);
  s = settings_parse (pool, "fuzz", written, &e);
  require (s != NULL, "written settings are rejected", &e);
  require (str_eq (settings_text (pool, s), written),
           "settings differ after a round trip", &e);
}

int
LLVMFuzzerTestOneInput (const uint8_t *data, size_t n)
{
  static bool ready;
  apr_pool_t *pool;
  str_t text = { (char *)data, n };

  if (!ready)
    apr_initialize ();
  ready = true;
  apr_pool_create (&pool, NULL);
  try_questionnaire (pool, text);
  try_settings (pool, text);
  apr_pool_destroy (pool);
  return 0;
}
