#include "json.h"

static void
quoted (buf_t *b, str_t s)
{
  buf_adds (b, STR ("\""));
  for (size_t i = 0; i < s.n; i++)
    {
      unsigned char ch = (unsigned char)s.p[i];
      if (ch == '"' || ch == '\\')
        buf_fmt (b, "\\%c", ch);
      else if (ch < 0x20)
        buf_fmt (b, "\\u%04x", ch);
      else
        buf_add (b, &s.p[i], 1);
    }
  buf_adds (b, STR ("\""));
}

void
rows_init (rows_t *r, bool json)
{
  buf_init (&r->b);
  r->json = json;
  r->rows = r->fields = 0;
  if (json)
    buf_adds (&r->b, STR ("["));
}

void
rows_begin (rows_t *r)
{
  if (r->json)
    buf_adds (&r->b, r->rows ? STR (",\n{") : STR ("\n{"));
  r->rows++;
  r->fields = 0;
}

static void
field (rows_t *r, const char *name)
{
  if (r->json)
    buf_fmt (&r->b, "%s\"%s\":", r->fields ? "," : "", name);
  else
    buf_fmt (&r->b, "%s%s=", r->fields ? " " : "", name);
  r->fields++;
}

/* Text that is empty or has a blank, quote, backslash or control character is
   quoted in rows of text, which would be ambiguous otherwise.  */
static bool
plain (str_t s)
{
  for (size_t i = 0; i < s.n; i++)
    if ((unsigned char)s.p[i] <= ' ' || s.p[i] == '"' || s.p[i] == '\\')
      return false;
  return s.n > 0;
}

void
rows_str (rows_t *r, const char *name, str_t value)
{
  field (r, name);
  if (r->json || !plain (value))
    quoted (&r->b, value);
  else
    buf_adds (&r->b, value);
}

void
rows_int (rows_t *r, const char *name, int64_t value)
{
  field (r, name);
  buf_fmt (&r->b, "%lld", (long long)value);
}

void
rows_bool (rows_t *r, const char *name, bool value)
{
  field (r, name);
  buf_adds (&r->b, value ? STR ("true") : STR ("false"));
}

void
rows_end (rows_t *r)
{
  buf_adds (&r->b, r->json ? STR ("}") : STR ("\n"));
}

str_t
rows_done (rows_t *r, apr_pool_t *pool)
{
  if (r->json)
    buf_adds (&r->b, STR ("\n]\n"));
  str_t s = str_dup (pool, buf_str (&r->b));
  buf_free (&r->b);
  return s;
}
