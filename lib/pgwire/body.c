#include "pgwire.h"

#include <string.h>

pgcur_t
pg_cur (str_t body)
{
  return (pgcur_t){ body.p, body.n, false };
}

str_t
pg_getbytes (pgcur_t *c, size_t n)
{
  if (c->bad || c->n < n)
    {
      c->bad = true;
      return (str_t){ 0 };
    }
  str_t s = { (char *)c->p, n };
  c->p += n;
  c->n -= n;
  return s;
}

int
pg_get8 (pgcur_t *c)
{
  str_t s = pg_getbytes (c, 1);

  return c->bad ? 0 : (unsigned char)s.p[0];
}

int
pg_get16 (pgcur_t *c)
{
  str_t s = pg_getbytes (c, 2);

  return c->bad
             ? 0
             : (int16_t)((unsigned char)s.p[0] << 8 | (unsigned char)s.p[1]);
}

int32_t
pg_get32 (pgcur_t *c)
{
  uint32_t hi = (uint16_t)pg_get16 (c);
  uint32_t lo = (uint16_t)pg_get16 (c);

  return c->bad ? 0 : (int32_t)(hi << 16 | lo);
}

str_t
pg_getstr (pgcur_t *c)
{
  const char *end = c->bad || c->n == 0 ? NULL : memchr (c->p, 0, c->n);

  if (end == NULL)
    {
      c->bad = true;
      return (str_t){ 0 };
    }
  str_t s = pg_getbytes (c, (size_t)(end - c->p));
  pg_getbytes (c, 1);
  return s;
}

/* The body must have been read to its end, and not beyond.  */
static bool
check_end (const pgcur_t *c, const char *what, err_t *e)
{
  return (!c->bad && c->n == 0)
         || err_set (e, ERR_PROTOCOL, what,
                     c->bad ? "body too short" : "body too long");
}

bool
pg_query (str_t body, str_t *text, err_t *e)
{
  pgcur_t c = pg_cur (body);

  *text = pg_getstr (&c);
  return check_end (&c, "Query", e);
}

bool
pg_parse (str_t body, pgparse_t *p, err_t *e)
{
  pgcur_t c = pg_cur (body);

  p->name = pg_getstr (&c);
  p->text = pg_getstr (&c);
  p->ntypes = pg_get16 (&c);
  if (p->ntypes < 0)
    c.bad = true;
  p->types = pg_getbytes (&c, 4 * (size_t)p->ntypes);
  return check_end (&c, "Parse", e);
}

static void
skip_formats (pgcur_t *c)
{
  int n = pg_get16 (c);

  if (n < 0)
    c->bad = true;
  else
    pg_getbytes (c, 2 * (size_t)n);
}

static void
skip_values (pgcur_t *c)
{
  int n = pg_get16 (c);

  for (int i = 0; i < n && !c->bad; i++)
    {
      int32_t len = pg_get32 (c);
      if (len < -1)
        c->bad = true;
      else if (len > 0)
        pg_getbytes (c, (size_t)len);
    }
  if (n < 0)
    c->bad = true;
}

bool
pg_bind (str_t body, pgbind_t *b, err_t *e)
{
  pgcur_t c = pg_cur (body);

  b->portal = pg_getstr (&c);
  b->name = pg_getstr (&c);
  b->rest = (str_t){ (char *)c.p, c.n };
  skip_formats (&c);
  skip_values (&c);
  skip_formats (&c);
  return check_end (&c, "Bind", e);
}

bool
pg_target (str_t body, pgtarget_t *d, err_t *e)
{
  pgcur_t c = pg_cur (body);

  d->kind = (char)pg_get8 (&c);
  d->name = pg_getstr (&c);
  if (!c.bad && d->kind != 'S' && d->kind != 'P')
    return err_set (e, ERR_PROTOCOL, "Describe or Close", "kind %d", d->kind);
  return check_end (&c, "Describe or Close", e);
}

bool
pg_exec (str_t body, pgexec_t *x, err_t *e)
{
  pgcur_t c = pg_cur (body);

  x->portal = pg_getstr (&c);
  x->max = pg_get32 (&c);
  return check_end (&c, "Execute", e);
}

int
pg_row (str_t body, str_t *col, int max)
{
  pgcur_t c = pg_cur (body);
  int n = pg_get16 (&c);

  for (int i = 0; i < n; i++)
    {
      int32_t len = pg_get32 (&c);
      str_t v = { 0 };
      if (len < -1)
        c.bad = true;
      else if (len >= 0)
        v = pg_getbytes (&c, (size_t)len);
      if (c.bad)
        return -1;
      if (i < max)
        col[i] = v;
    }
  return c.bad || c.n || n < 0 ? -1 : n;
}

bool
pg_error (str_t body, pgerr_t *f, err_t *e)
{
  pgcur_t c = pg_cur (body);
  int field;

  *f = (pgerr_t){ 0 };
  while ((field = pg_get8 (&c)) != 0)
    {
      str_t v = pg_getstr (&c);
      if (field == 'V' || (field == 'S' && f->severity.n == 0))
        f->severity = v;
      else if (field == 'C')
        f->code = v;
      else if (field == 'M')
        f->message = v;
      else if (field == 'D')
        f->detail = v;
    }
  return check_end (&c, "ErrorResponse", e);
}
