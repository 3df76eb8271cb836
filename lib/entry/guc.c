#include "entry.h"

#include <stdlib.h>
#include <string.h>

/* Finds NAME: the setting is bytes AT to END of G.  */
static bool
find (const guc_t *g, str_t name, size_t *at, size_t *end, str_t *value)
{
  for (size_t i = 0; i < g->n;)
    {
      size_t n = strlen (g->p + i);
      size_t v = i + n + 1;
      size_t vn = strlen (g->p + v);
      if (str_caseeq ((str_t){ g->p + i, n }, name))
        {
          *at = i;
          *end = v + vn + 1;
          *value = (str_t){ g->p + v, vn };
          return true;
        }
      i = v + vn + 1;
    }
  return false;
}

bool
guc_set (guc_t *g, str_t name, str_t value, bool defaulted, err_t *e)
{
  size_t at;
  size_t end;
  str_t old;
  size_t more = name.n + value.n + 2;

  if (g->n + more > GUC_MAX || memchr (name.p, 0, name.n)
      || (value.n && memchr (value.p, 0, value.n)))
    return err_set (e, ERR_TOO_LARGE, "settings",
                    "more than %d bytes of settings in one session", GUC_MAX);
  if (find (g, name, &at, &end, &old))
    {
      memmove (g->p + at, g->p + end, g->n - end);
      g->n -= end - at;
    }
  if (defaulted)
    return true;
  char *p = realloc (g->p, g->n + more);
  if (p == NULL)
    abort ();
  g->p = p;
  memcpy (p + g->n, name.p, name.n);
  p[g->n + name.n] = '\0';
  if (value.n)
    memcpy (p + g->n + name.n + 1, value.p, value.n);
  p[g->n + more - 1] = '\0';
  g->n += more;
  return true;
}

str_t
guc_get (const guc_t *g, str_t name)
{
  size_t at;
  size_t end;
  str_t v = { 0 };

  return find (g, name, &at, &end, &v) ? v : (str_t){ 0 };
}

void
guc_free (guc_t *g)
{
  free (g->p);
  *g = (guc_t){ 0 };
}

static void
quote (buf_t *out, str_t s, char q)
{
  buf_add (out, &q, 1);
  for (size_t i = 0; i < s.n; i++)
    {
      if (s.p[i] == q)
        buf_add (out, &q, 1);
      buf_add (out, s.p + i, 1);
    }
  buf_add (out, &q, 1);
}

void
sql_quote (buf_t *out, str_t s)
{
  /* The meaning of a backslash in '...' depends on
     standard_conforming_strings; in E'...' it does not.  */
  if (s.n && memchr (s.p, '\\', s.n))
    {
      buf_adds (out, STR (" E'"));
      for (size_t i = 0; i < s.n; i++)
        {
          if (s.p[i] == '\'' || s.p[i] == '\\')
            buf_add (out, s.p + i, 1);
          buf_add (out, s.p + i, 1);
        }
      buf_adds (out, STR ("'"));
      return;
    }
  quote (out, s, '\'');
}

void
sql_quote_name (buf_t *out, str_t s)
{
  /* A custom setting is named class.name; each part is quoted.  */
  while (s.n)
    {
      const char *dot = memchr (s.p, '.', s.n);
      size_t n = dot ? (size_t)(dot - s.p) : s.n;
      quote (out, (str_t){ s.p, n }, '"');
      if (dot == NULL)
        break;
      buf_adds (out, STR ("."));
      s = (str_t){ s.p + n + 1, s.n - n - 1 };
    }
}

void
guc_sql (const guc_t *g, buf_t *out)
{
  for (size_t i = 0; i < g->n;)
    {
      size_t n = strlen (g->p + i);
      str_t name = { g->p + i, n };
      str_t value = str_of (g->p + i + n + 1);
      buf_adds (out, STR ("SET "));
      sql_quote_name (out, name);
      buf_adds (out, STR (" TO "));
      sql_quote (out, value);
      buf_adds (out, STR ("; "));
      i += n + value.n + 2;
    }
}
