#include "shape.h"

#include <ctype.h>
#include <string.h>

static str_t
skip_front (str_t s)
{
  for (;;)
    {
      while (s.n && isspace ((unsigned char)*s.p))
        s = (str_t){ s.p + 1, s.n - 1 };
      if (!str_starts (s, STR ("/*")))
        return s;
      char *end = memmem (s.p + 2, s.n - 2, "*/", 2);
      char *inner = memmem (s.p + 2, s.n - 2, "/*", 2);
      /* Comments nest in PostgreSQL; nested ones are left to the parser.  */
      if (end == NULL || (inner && inner < end))
        return s;
      s = (str_t){ end + 2, s.n - (size_t)(end + 2 - s.p) };
    }
}

static bool
is_word (char c)
{
  return isalnum ((unsigned char)c) || c == '_' || (c & 0x80);
}

static bool
starts_with_set (str_t s)
{
  return s.n >= 3 && str_caseeq ((str_t){ s.p, 3 }, STR ("set"))
         && (s.n == 3 || !is_word (s.p[3]));
}

/* Bytes of the quoted text at S, 0 if it is not terminated.  */
static size_t
quoted_size (str_t s)
{
  char quote = *s.p;

  for (size_t i = 1; i < s.n; i++)
    if (s.p[i] == quote)
      {
        if (i + 1 == s.n || s.p[i + 1] != quote)
          return i + 1;
        i++;
      }
  return 0;
}

static size_t
word_size (str_t s)
{
  size_t n = 0;

  while (n < s.n && is_word (s.p[n]))
    n++;
  return n;
}

/* Bytes of the digits and points at S.  An exponent is not included and stays
   in the shape.  */
static size_t
number_size (str_t s)
{
  size_t n = 0;

  while (n < s.n && (isdigit ((unsigned char)s.p[n]) || s.p[n] == '.'))
    n++;
  return n;
}

/* Returns the bytes of the token at S and its shape in SHAPE; 0 if the text
   has no shape.  */
static size_t
next_token (str_t s, str_t *shape)
{
  char c = *s.p;
  size_t n = 1;

  if (c == '\'')
    {
      *shape = STR ("''");
      return quoted_size (s);
    }
  if (isdigit ((unsigned char)c))
    {
      *shape = STR ("0");
      return number_size (s);
    }
  if (c == '"')
    n = quoted_size (s);
  else if (is_word (c))
    n = word_size (s);
  else if (c == '$')
    n = s.n > 1 && isdigit ((unsigned char)s.p[1]) ? 2 : 0;
  else if (c == '\\' || c == '\0' || str_starts (s, STR ("--"))
           || str_starts (s, STR ("/*")))
    n = 0;
  *shape = (str_t){ s.p, n };
  return n;
}

bool
sql_shape (str_t text, buf_t *out)
{
  str_t s = skip_front (text);
  str_t shape;

  /* A backslash escapes a quote in E'' strings, and in all others if
     standard_conforming_strings is off.  */
  if (starts_with_set (s) || (s.n && memchr (s.p, '\\', s.n)))
    return false;
  while (s.n)
    {
      size_t n = next_token (s, &shape);
      if (n == 0)
        return false;
      buf_adds (out, shape);
      s = (str_t){ s.p + n, s.n - n };
    }
  return true;
}
