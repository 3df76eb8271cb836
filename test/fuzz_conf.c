/* Fuzz target of the settings and the questionnaire: no input may crash the
   checks; a refusal has a type and a line; what is accepted is written and
   read back as the same text.  */

#include "conf.h"

#include <apr_general.h>
#include <stdio.h>
#include <stdlib.h>

int LLVMFuzzerTestOneInput (const uint8_t *data, size_t n);

static void
must (bool ok, const char *what, const err_t *e)
{
  char line[400];

  if (ok)
    return;
  err_line (e, line, sizeof line);
  fprintf (stderr, "%s: %s\n", what, line);
  abort ();
}

static void
check_refusal (const err_t *e)
{
  must (e->code != ERR_NONE, "refusal without a type", e);
  must (e->line > 0 || e->code == ERR_TOO_LARGE, "refusal without a line", e);
}

static void
try_questionnaire (apr_pool_t *pool, str_t text)
{
  err_t e = { 0 };
  config_t *c = questionnaire_parse (pool, "fuzz", text, &e);

  if (c == NULL)
    {
      check_refusal (&e);
      return;
    }
  str_t canonical = config_text (pool, c);
  must (config_parse (pool, canonical, &e) != NULL, "not canonical", &e);
  for (size_t i = 0; i < c->ninstances; i++)
    {
      str_t s = settings_text (
          pool, config_settings (pool, c, &c->instances[i], "data"));
      must (settings_parse (pool, "fuzz", s, &e) != NULL, "settings", &e);
    }
}

static void
try_settings (apr_pool_t *pool, str_t text)
{
  err_t e = { 0 };
  settings_t *s = settings_parse (pool, "fuzz", text, &e);

  if (s == NULL)
    {
      check_refusal (&e);
      return;
    }
  str_t once = settings_text (pool, s);
  s = settings_parse (pool, "fuzz", once, &e);
  must (s != NULL, "settings do not read back", &e);
  must (str_eq (settings_text (pool, s), once), "settings changed", &e);
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
