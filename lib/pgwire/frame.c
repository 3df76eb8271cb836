#include "pgwire.h"

#include <string.h>

enum
{
  PROTOCOL_MAJOR = 3,
  /* Request codes in the place of a protocol version.  */
  CODE_CANCEL = 80877102,
  CODE_SSL = 80877103,
  CODE_GSSENC = 80877104
};

static uint32_t
get32 (const char *p)
{
  const unsigned char *u = (const unsigned char *)p;

  return (uint32_t)u[0] << 24 | (uint32_t)u[1] << 16 | (uint32_t)u[2] << 8
         | u[3];
}

static bool
add_param (pgstart_t *s, str_t name, str_t value, err_t *e)
{
  if (s->n == PG_MAX_OPTIONS)
    return err_set (e, ERR_TOO_LARGE, "startup", "more than %d parameters",
                    PG_MAX_OPTIONS);
  s->param[s->n].name = name;
  s->param[s->n++].value = value;
  if (str_eq (name, STR ("user")))
    s->user = value;
  else if (str_eq (name, STR ("database")))
    s->database = value;
  else if (str_eq (name, STR ("options")))
    s->options = value;
  return true;
}

static bool
read_params (pgcur_t c, pgstart_t *s, err_t *e)
{
  while (c.n > 1)
    {
      str_t name = pg_getstr (&c);
      str_t value = pg_getstr (&c);
      if (c.bad || name.n == 0)
        return err_set (e, ERR_PROTOCOL, "startup", "parameter without end");
      if (!add_param (s, name, value, e))
        return false;
    }
  if (c.n != 1 || c.p[0] != '\0')
    return err_set (e, ERR_PROTOCOL, "startup", "no end of the parameters");
  return true;
}

static bool
read_code (str_t body, pgstart_t *s, err_t *e)
{
  uint32_t code = get32 (body.p);
  pgcur_t c = pg_cur ((str_t){ body.p + 4, body.n - 4 });

  if (code == CODE_SSL || code == CODE_GSSENC || code == CODE_CANCEL)
    {
      s->kind = code == CODE_SSL      ? PG_START_SSL
                : code == CODE_GSSENC ? PG_START_GSSENC
                                      : PG_START_CANCEL;
      if (c.n != (code == CODE_CANCEL ? 8U : 0U))
        return err_set (e, ERR_PROTOCOL, "startup",
                        "request of the wrong length");
      if (code == CODE_CANCEL)
        {
          s->pid = (uint32_t)pg_get32 (&c);
          s->secret = (uint32_t)pg_get32 (&c);
        }
      return true;
    }
  if (code >> 16 != PROTOCOL_MAJOR)
    return err_set (e, ERR_VERSION, "startup", "protocol %u.%u", code >> 16,
                    code & 0xffff);
  s->kind = PG_START_SESSION;
  s->minor = (int)(code & 0xffff);
  return read_params (c, s, e);
}

int
pg_startup (const buf_t *in, pgstart_t *s, err_t *e)
{
  str_t b = buf_str (in);

  if (b.n < 4)
    return 0;
  uint32_t n = get32 (b.p);
  if (n > PG_MAX_STARTUP)
    {
      err_set (e, ERR_TOO_LARGE, "startup", "%u bytes, at most %d", n,
               PG_MAX_STARTUP);
      return -1;
    }
  if (n < 8)
    {
      err_set (e, ERR_PROTOCOL, "startup", "length %u", n);
      return -1;
    }
  if (b.n < n)
    return 0;
  *s = (pgstart_t){ .size = n };
  return read_code ((str_t){ b.p + 4, n - 4 }, s, e) ? 1 : -1;
}

int
pg_next (str_t s, size_t *off, size_t max, pgmsg_t *m, err_t *e)
{
  if (s.n - *off < 5)
    return 0;
  const char *p = s.p + *off;
  uint32_t n = get32 (p + 1);
  if (n < 4)
    {
      err_set (e, ERR_PROTOCOL, "message", "length %u", n);
      return -1;
    }
  if ((size_t)n + 1 > max)
    {
      err_set (e, ERR_TOO_LARGE, "message", "%u bytes, at most %zu", n, max);
      return -1;
    }
  if (s.n - *off < (size_t)n + 1)
    return 0;
  m->type = p[0];
  m->body = (str_t){ (char *)p + 5, n - 4 };
  m->size = (size_t)n + 1;
  *off += m->size;
  return 1;
}

int
pg_message (const buf_t *in, size_t max, pgmsg_t *m, err_t *e)
{
  size_t off = 0;

  return pg_next (buf_str (in), &off, max, m, e);
}

bool
pg_client_type (char type)
{
  return type && strchr ("QPBDECSHXFfcdp", type);
}

bool
pg_server_type (char type)
{
  return type && strchr ("RSKZTDCEN123nsItGHWdcAvV", type);
}
