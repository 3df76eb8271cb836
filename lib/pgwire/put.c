#include "pgwire.h"

#include <string.h>

static void
put8 (buf_t *b, char c)
{
  *buf_room (b, 1) = c;
  b->n++;
}

static void
set32 (char *p, uint32_t v)
{
  p[0] = (char)(v >> 24);
  p[1] = (char)(v >> 16);
  p[2] = (char)(v >> 8);
  p[3] = (char)v;
}

/* Returns an offset into the unread bytes, since buf_room may move them.  */
size_t
pg_begin (buf_t *b, char type)
{
  if (type)
    put8 (b, type);
  size_t at = buf_len (b);
  pg_put32 (b, 0);
  return at;
}

void
pg_end (buf_t *b, size_t at)
{
  set32 (b->p + b->off + at, (uint32_t)(buf_len (b) - at));
}

void
pg_put16 (buf_t *b, int v)
{
  char *p = buf_room (b, 2);

  p[0] = (char)((unsigned)v >> 8);
  p[1] = (char)v;
  b->n += 2;
}

void
pg_put32 (buf_t *b, int32_t v)
{
  set32 (buf_room (b, 4), (uint32_t)v);
  b->n += 4;
}

void
pg_putstr (buf_t *b, str_t s)
{
  buf_adds (b, s);
  put8 (b, '\0');
}

void
pg_put_raw (buf_t *b, char type, str_t body)
{
  put8 (b, type);
  pg_put32 (b, (int32_t)(body.n + 4));
  buf_adds (b, body);
}

void
pg_put_empty (buf_t *b, char type)
{
  pg_put_raw (b, type, (str_t){ 0 });
}

void
pg_put_auth_ok (buf_t *b)
{
  size_t at = pg_begin (b, 'R');

  pg_put32 (b, 0);
  pg_end (b, at);
}

void
pg_put_status (buf_t *b, str_t name, str_t value)
{
  size_t at = pg_begin (b, 'S');

  pg_putstr (b, name);
  pg_putstr (b, value);
  pg_end (b, at);
}

void
pg_put_key (buf_t *b, uint32_t pid, uint32_t secret)
{
  size_t at = pg_begin (b, 'K');

  pg_put32 (b, (int32_t)pid);
  pg_put32 (b, (int32_t)secret);
  pg_end (b, at);
}

void
pg_put_version (buf_t *b, int minor)
{
  size_t at = pg_begin (b, 'v');

  pg_put32 (b, minor);
  pg_put32 (b, 0);
  pg_end (b, at);
}

void
pg_put_ready (buf_t *b, char state)
{
  size_t at = pg_begin (b, 'Z');

  put8 (b, state);
  pg_end (b, at);
}

void
pg_put_columns (buf_t *b, const char *const *names, int n)
{
  enum
  {
    TYPE_TEXT = 25 /* pg_type.oid of text */
  };
  size_t at = pg_begin (b, 'T');

  pg_put16 (b, n);
  for (int i = 0; i < n; i++)
    {
      pg_putstr (b, str_of (names[i]));
      pg_put32 (b, 0);
      pg_put16 (b, 0);
      pg_put32 (b, TYPE_TEXT);
      pg_put16 (b, -1);
      pg_put32 (b, -1);
      pg_put16 (b, 0);
    }
  pg_end (b, at);
}

void
pg_put_row (buf_t *b, const str_t *values, int n)
{
  size_t at = pg_begin (b, 'D');

  pg_put16 (b, n);
  for (int i = 0; i < n; i++)
    if (values[i].p == NULL)
      pg_put32 (b, -1);
    else
      {
        pg_put32 (b, (int32_t)values[i].n);
        buf_adds (b, values[i]);
      }
  pg_end (b, at);
}

void
pg_put_complete (buf_t *b, const char *tag)
{
  size_t at = pg_begin (b, 'C');

  pg_putstr (b, str_of (tag));
  pg_end (b, at);
}

static void
put_field (buf_t *b, char field, str_t v)
{
  put8 (b, field);
  pg_putstr (b, v);
}

static void
put_response (buf_t *b, char type, const char *severity, const char *code,
              str_t message, str_t detail)
{
  size_t at = pg_begin (b, type);

  put_field (b, 'S', str_of (severity));
  put_field (b, 'V', str_of (severity));
  put_field (b, 'C', str_of (code));
  put_field (b, 'M', message);
  if (detail.n)
    put_field (b, 'D', detail);
  put8 (b, '\0');
  pg_end (b, at);
}

void
pg_put_error (buf_t *b, const char *severity, const char *code, str_t message,
              str_t detail)
{
  put_response (b, 'E', severity, code, message, detail);
}

void
pg_put_notice (buf_t *b, const char *code, str_t message)
{
  put_response (b, 'N', "NOTICE", code, message, (str_t){ 0 });
}

void
pg_put_startup (buf_t *b, str_t user, str_t database)
{
  size_t at = pg_begin (b, 0);

  pg_put32 (b, 3 << 16);
  pg_putstr (b, STR ("user"));
  pg_putstr (b, user);
  pg_putstr (b, STR ("database"));
  pg_putstr (b, database);
  put8 (b, '\0');
  pg_end (b, at);
}

void
pg_put_cancel (buf_t *b, uint32_t pid, uint32_t secret)
{
  enum
  {
    CODE_CANCEL = 80877102
  };
  size_t at = pg_begin (b, 0);

  pg_put32 (b, CODE_CANCEL);
  pg_put32 (b, (int32_t)pid);
  pg_put32 (b, (int32_t)secret);
  pg_end (b, at);
}

void
pg_put_query (buf_t *b, str_t text)
{
  size_t at = pg_begin (b, 'Q');

  pg_putstr (b, text);
  pg_end (b, at);
}

void
pg_put_parse (buf_t *b, str_t name, str_t text, int ntypes, str_t types)
{
  size_t at = pg_begin (b, 'P');

  pg_putstr (b, name);
  pg_putstr (b, text);
  pg_put16 (b, ntypes);
  buf_adds (b, types);
  pg_end (b, at);
}

void
pg_put_bind (buf_t *b, str_t portal, str_t name, str_t rest)
{
  size_t at = pg_begin (b, 'B');

  pg_putstr (b, portal);
  pg_putstr (b, name);
  buf_adds (b, rest);
  pg_end (b, at);
}

void
pg_put_target (buf_t *b, char type, char kind, str_t name)
{
  size_t at = pg_begin (b, type);

  put8 (b, kind);
  pg_putstr (b, name);
  pg_end (b, at);
}

void
pg_put_exec (buf_t *b, str_t portal, int32_t max)
{
  size_t at = pg_begin (b, 'E');

  pg_putstr (b, portal);
  pg_put32 (b, max);
  pg_end (b, at);
}
