#include "base.h"

#include <ctype.h>
#include <errno.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#define XXH_STATIC_LINKING_ONLY
#include <xxhash.h>

str_t
str_of (const char *c)
{
  return (str_t){ (char *)c, c ? strlen (c) : 0 };
}

str_t
str_dup (apr_pool_t *pool, str_t s)
{
  char *p = apr_palloc (pool, s.n + 1);

  if (s.n)
    memcpy (p, s.p, s.n);
  p[s.n] = '\0';
  return (str_t){ p, s.n };
}

str_t
str_fmt (apr_pool_t *pool, const char *fmt, ...)
{
  va_list ap;
  va_list again;

  va_start (ap, fmt);
  va_copy (again, ap);
  int n = vsnprintf (NULL, 0, fmt, ap);
  va_end (ap);
  char *p = apr_palloc (pool, n > 0 ? (size_t)n + 1 : 1);
  p[0] = '\0';
  if (n > 0)
    vsnprintf (p, (size_t)n + 1, fmt, again);
  va_end (again);
  return str_of (p);
}

bool
str_eq (str_t a, str_t b)
{
  return a.n == b.n && (a.n == 0 || memcmp (a.p, b.p, a.n) == 0);
}

bool
str_caseeq (str_t a, str_t b)
{
  return a.n == b.n && (a.n == 0 || strncasecmp (a.p, b.p, a.n) == 0);
}

bool
str_starts (str_t s, str_t prefix)
{
  return s.n >= prefix.n && str_eq ((str_t){ s.p, prefix.n }, prefix);
}

int
str_cmp (str_t a, str_t b)
{
  size_t n = a.n < b.n ? a.n : b.n;
  int c = n ? memcmp (a.p, b.p, n) : 0;

  if (c)
    return c;
  return a.n < b.n ? -1 : a.n > b.n;
}

bool
str_int (str_t s, int64_t *out)
{
  char tmp[24];
  char *end;

  if (s.n == 0 || s.n >= sizeof tmp || isspace ((unsigned char)s.p[0]))
    return false;
  memcpy (tmp, s.p, s.n);
  tmp[s.n] = '\0';
  errno = 0;
  long long v = strtoll (tmp, &end, 10);
  if (errno || end != tmp + s.n)
    return false;
  *out = v;
  return true;
}

bool
str_copy (char *to, size_t size, str_t s)
{
  if (s.n >= size || (s.n && memchr (s.p, '\0', s.n)))
    return false;
  if (s.n)
    memmove (to, s.p, s.n);
  to[s.n] = '\0';
  return true;
}

uint64_t
str_hash (str_t s)
{
  return XXH3_64bits (s.p ? s.p : "", s.n);
}
