#include "tool.h"

#include "conf.h"
#include "platform/platform.h"

#include <stdio.h>

/* Decodes the document TEXT, called NAME in errors.  NULL with E when control
   would refuse it.  */
static const setup_t *
read_setup (tool_t *t, str_t text, err_t *e)
{
  buf_t packed;
  int64_t version;
  msgtype_t type;
  setup_t *s = NULL;

  buf_init (&packed);
  if (!pf_config_parse (t->pool, text, &version, &packed, e))
    ;
  else if (text.n > HTTPD_BODY_MAX || !cell_fits (buf_str (&packed), text))
    err_set (e, ERR_TOO_LARGE, "configuration", "%zu bytes", text.n);
  else
    s = rpc_decode (t->pool, str_dup (t->pool, buf_str (&packed)), &type, e);
  buf_free (&packed);
  return s;
}

static bool
read_in_force (tool_t *t, str_t *text, err_t *e)
{
  if (t->in_force)
    return conf_read_file (t->pool, t->in_force, text, e);
  return fetch_document (t, PF_CONFIG_PATH, text, e);
}

static void
print_text (const findings_t *f)
{
  for (size_t i = 0; i < f->n; i++)
    printf ("%s: " STR_FMT ": " STR_FMT "\n", lint_level_name (f->at[i].level),
            STR_ARG (f->at[i].path), STR_ARG (f->at[i].text));
}

static void
print_json (const findings_t *f)
{
  buf_t b;

  buf_init (&b);
  buf_adds (&b, STR ("["));
  for (size_t i = 0; i < f->n; i++)
    {
      buf_fmt (&b, "%s{\"level\": \"%s\", \"path\": ", i ? ",\n " : "",
               lint_level_name (f->at[i].level));
      json_string (&b, f->at[i].path);
      buf_adds (&b, STR (", \"text\": "));
      json_string (&b, f->at[i].text);
      buf_adds (&b, STR ("}"));
    }
  printf (STR_FMT "]\n", STR_ARG (buf_str (&b)));
  buf_free (&b);
}

static int
exit_of (const findings_t *f)
{
  static const int status[]
      = { [LINT_CHANGE] = 0, [LINT_WARNING] = 1, [LINT_ERROR] = 2 };

  return status[lint_worst (f)];
}

/* Compares S with the configuration in force, if the command names one.  */
static bool
compare (tool_t *t, findings_t *f, const setup_t *s, err_t *e)
{
  str_t text;

  if (t->in_force == NULL && t->nservers == 0)
    return true;
  if (!read_in_force (t, &text, e))
    return false;
  const setup_t *now = read_setup (t, text, e);
  if (now)
    lint_diff (f, now, s);
  return now != NULL;
}

bool
run_lint (tool_t *t, err_t *e)
{
  findings_t f = { .pool = t->pool };
  err_t why = { 0 };
  str_t text;

  if (!conf_read_file (t->pool, t->file, &text, e))
    return false;
  const setup_t *s = read_setup (t, text, &why);
  if (s == NULL)
    lint_add (&f, LINT_ERROR, str_of (why.subject), "%s: %s",
              err_name (why.code), why.detail);
  else
    {
      lint_setup (&f, s, &t->facts);
      if (!compare (t, &f, s, e))
        return false;
    }
  (t->json ? print_json : print_text) (&f);
  t->exit = exit_of (&f);
  return true;
}
