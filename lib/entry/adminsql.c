#include "entry.h"

#include <ctype.h>
#include <string.h>

static str_t
skip_space (str_t s)
{
  while (s.n && isspace ((unsigned char)*s.p))
    s = (str_t){ s.p + 1, s.n - 1 };
  return s;
}

/* Removes one word or quoted string from the front of S and returns it without
   quotes.  A quote inside a string cannot be escaped.  */
static bool
next_word (str_t *s, str_t *out, bool *quoted)
{
  *s = skip_space (*s);
  if (s->n == 0)
    return false;
  *quoted = *s->p == '\'';
  size_t n = 0;
  if (*quoted)
    {
      const char *end = memchr (s->p + 1, '\'', s->n - 1);
      if (end == NULL)
        return false;
      *out = (str_t){ s->p + 1, (size_t)(end - s->p - 1) };
      n = out->n + 2;
    }
  else
    {
      while (n < s->n && !isspace ((unsigned char)s->p[n]) && s->p[n] != ';')
        n++;
      *out = (str_t){ s->p, n };
    }
  *s = (str_t){ s->p + n, s->n - n };
  return n > 0;
}

static bool
announce_value (announce_t *a, str_t name, str_t value, bool quoted)
{
  const struct
  {
    str_t name;
    str_t *text;
    int64_t *number;
  } fields[] = {
    { STR ("GROUP"), &a->group, NULL },
    { STR ("NAME"), &a->name, NULL },
    { STR ("ADDRESS"), &a->address, NULL },
    { STR ("ZONE"), &a->zone, NULL },
    { STR ("TERM"), NULL, &a->term },
    { STR ("POSITION"), NULL, &a->position },
  };

  for (size_t i = 0; i < sizeof fields / sizeof *fields; i++)
    if (str_caseeq (name, fields[i].name))
      {
        if (fields[i].number)
          return !quoted && str_int (value, fields[i].number)
                 && *fields[i].number >= 0;
        *fields[i].text = value;
        return quoted && value.n > 0 && value.n <= CONF_MAX_NAME;
      }
  if (!str_caseeq (name, STR ("LEAVING")))
    return false;
  a->leaving = str_caseeq (value, STR ("true"));
  return a->leaving || str_caseeq (value, STR ("false"));
}

static admin_kind_t
announce (str_t s, announce_t *a, err_t *e)
{
  str_t name;
  str_t value;
  bool quoted;

  *a = (announce_t){ .term = -1, .position = -1 };
  while (next_word (&s, &name, &quoted))
    if (quoted || !next_word (&s, &value, &quoted)
        || !announce_value (a, name, value, quoted))
      {
        err_set (e, ERR_SYNTAX, "ANNOUNCE", "bad " STR_FMT, STR_ARG (name));
        return ADMIN_ERROR;
      }
  if (s.n && *s.p != ';')
    {
      err_set (e, ERR_SYNTAX, "ANNOUNCE", "unexpected text at the end");
      return ADMIN_ERROR;
    }
  if (!a->group.n || !a->name.n || !a->address.n || !a->zone.n || a->term < 0
      || a->position < 0)
    {
      err_set (e, ERR_SYNTAX, "ANNOUNCE",
               "GROUP, NAME, ADDRESS, ZONE, TERM and POSITION are needed");
      return ADMIN_ERROR;
    }
  return ADMIN_ANNOUNCE;
}

admin_kind_t
admin_parse (str_t text, announce_t *a, err_t *e)
{
  static const struct
  {
    const char *name;
    admin_kind_t kind;
  } shown[] = {
    { "POOLS", ADMIN_POOLS },   { "DATABASES", ADMIN_DATABASES },
    { "LEASES", ADMIN_LEASES }, { "SESSIONS", ADMIN_SESSIONS },
    { "CONFIG", ADMIN_CONFIG },
  };
  str_t s = skip_space (text);
  str_t word = { 0 };
  str_t what = { 0 };
  bool quoted;

  if (s.n == 0 || *s.p == ';')
    return ADMIN_EMPTY;
  next_word (&s, &word, &quoted);
  if (str_caseeq (word, STR ("ANNOUNCE")))
    return announce (s, a, e);
  if (str_caseeq (word, STR ("SHOW")) && next_word (&s, &what, &quoted))
    for (size_t i = 0; i < sizeof shown / sizeof *shown; i++)
      if (str_caseeq (what, str_of (shown[i].name)))
        return shown[i].kind;
  err_set (e, ERR_SYNTAX, "statement",
           "only ANNOUNCE and SHOW POOLS, DATABASES, LEASES, SESSIONS, CONFIG "
           "are known here");
  return ADMIN_ERROR;
}
