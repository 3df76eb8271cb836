#include "tool.h"

#include "conf.h"

#include <errno.h>
#include <stdio.h>
#include <string.h>
#include <sys/stat.h>

bool
run_check (tool_t *t, err_t *e)
{
  str_t text;
  bool settings;

  if (!conf_read_file (t->pool, t->file, &text, e)
      || !conf_check (t->pool, t->file, text, &settings, e))
    return false;
  if (t->json)
    printf ("{\"ok\": true, \"kind\": \"%s\"}\n",
            settings ? "settings" : "questionnaire");
  else
    printf ("%s: %s ok\n", t->file, settings ? "settings" : "questionnaire");
  return true;
}

static bool
write_file (const char *path, str_t text, err_t *e)
{
  FILE *f = fopen (path, "w");

  if (f == NULL)
    return err_sys (e, path, "open");
  bool ok = fwrite (text.p, 1, text.n, f) == text.n;
  if (fclose (f) != 0 || !ok)
    return err_sys (e, path, "write");
  return true;
}

static bool
write_settings (tool_t *t, const config_t *c, err_t *e)
{
  const char *data = t->data ? t->data : "/var/lib/pimentopost";

  if (mkdir (t->settings, 0777) != 0 && errno != EEXIST)
    return err_sys (e, t->settings, "mkdir");
  for (size_t i = 0; i < c->ninstances; i++)
    {
      const cfg_instance_t *in = &c->instances[i];
      settings_t *s = config_settings (t->pool, c, in, data);
      str_t path = str_fmt (t->pool, "%s/" STR_FMT ".yaml", t->settings,
                            STR_ARG (in->name));
      if (!write_file (path.p, settings_text (t->pool, s), e))
        return false;
    }
  if (t->json)
    printf ("{\"ok\": true, \"files\": %zu}\n", c->ninstances);
  else
    printf ("%zu settings files in %s\n", c->ninstances, t->settings);
  return true;
}

bool
run_generate (tool_t *t, err_t *e)
{
  str_t text;
  config_t *c;

  if (!conf_read_file (t->pool, t->file, &text, e))
    return false;
  c = questionnaire_parse (t->pool, t->file, text, e);
  if (c == NULL)
    return false;
  if (t->settings)
    return write_settings (t, c, e);
  text = config_text (t->pool, c);
  if (t->output)
    return write_file (t->output, text, e);
  fwrite (text.p, 1, text.n, stdout);
  return true;
}
