#include "sql.h"

#include <ctype.h>
#include <string.h>

enum
{
  HINT_KEY_MAX = 256,             /* bytes of an idempotency key */
  HINT_MS_MAX = 24 * 3600 * 1000, /* one day */
  HINT_WORTH_MAX = 1000000
};

void
hint_init (hint_t *h)
{
  *h = (hint_t){
    .max_age = -1, .deadline = -1, .worth = -1, .repeatable = -1
  };
}

static bool
set_number (str_t name, str_t value, int64_t max, int64_t *out, err_t *e)
{
  int64_t v;

  if (!str_int (value, &v) || v < 0 || v > max)
    return err_set (e, ERR_RANGE, "hint",
                    STR_FMT " must be a number from 0 to %lld", STR_ARG (name),
                    (long long)max);
  *out = v;
  return true;
}

static bool
set_flag (str_t value, int *out, err_t *e)
{
  if (str_caseeq (value, STR ("true")) || str_caseeq (value, STR ("on")))
    *out = 1;
  else if (str_caseeq (value, STR ("false"))
           || str_caseeq (value, STR ("off")))
    *out = 0;
  else
    return err_set (e, ERR_BAD_TYPE, "hint",
                    "repeatable must be true or false");
  return true;
}

static bool
set_key (hint_t *h, str_t value, err_t *e)
{
  if (value.n > HINT_KEY_MAX)
    return err_set (e, ERR_RANGE, "hint", "key is longer than %d bytes",
                    HINT_KEY_MAX);
  h->key = value;
  return true;
}

bool
hint_set (hint_t *h, str_t name, str_t value, err_t *e)
{
  if (str_eq (name, STR ("kind")))
    {
      h->kind = value;
      return true;
    }
  if (str_eq (name, STR ("key")))
    return set_key (h, value, e);
  if (str_eq (name, STR ("max_age")))
    return set_number (name, value, HINT_MS_MAX, &h->max_age, e);
  if (str_eq (name, STR ("deadline")))
    return set_number (name, value, HINT_MS_MAX, &h->deadline, e);
  if (str_eq (name, STR ("worth")))
    return set_number (name, value, HINT_WORTH_MAX, &h->worth, e);
  if (str_eq (name, STR ("repeatable")))
    return set_flag (value, &h->repeatable, e);
  return err_set (e, ERR_UNKNOWN_KEY, "hint", "'" STR_FMT "' is no property",
                  STR_ARG (name));
}

void
hint_merge (hint_t *h, const hint_t *defaults)
{
  if (h->kind.n == 0)
    h->kind = defaults->kind;
  if (h->key.n == 0)
    h->key = defaults->key;
  if (h->max_age < 0)
    h->max_age = defaults->max_age;
  if (h->deadline < 0)
    h->deadline = defaults->deadline;
  if (h->worth < 0)
    h->worth = defaults->worth;
  if (h->repeatable < 0)
    h->repeatable = defaults->repeatable;
}

static str_t
skip_space (str_t s)
{
  while (s.n && isspace ((unsigned char)*s.p))
    s = (str_t){ s.p + 1, s.n - 1 };
  return s;
}

/* Removes the bytes before STOP or white space from the front of S and returns
   them.  */
static str_t
take_word (str_t *s, char stop)
{
  size_t n = 0;

  while (n < s->n && s->p[n] != stop && !isspace ((unsigned char)s->p[n]))
    n++;
  str_t w = { s->p, n };
  *s = (str_t){ s->p + n, s->n - n };
  return w;
}

static bool
seen_before (const str_t *seen, int n, str_t name)
{
  for (int i = 0; i < n; i++)
    if (str_eq (seen[i], name))
      return true;
  return false;
}

static bool
parse_pairs (str_t body, hint_t *h, err_t *e)
{
  str_t seen[8];
  int n = 0;

  for (body = skip_space (body); body.n; body = skip_space (body))
    {
      str_t name = take_word (&body, '=');
      if (name.n == 0 || body.n == 0 || *body.p != '=')
        return err_set (e, ERR_SYNTAX, "hint", "name=value expected");
      body = (str_t){ body.p + 1, body.n - 1 };
      str_t value = take_word (&body, '\0');
      if (seen_before (seen, n, name))
        return err_set (e, ERR_DUPLICATE_KEY, "hint",
                        "'" STR_FMT "' is given twice", STR_ARG (name));
      if (!hint_set (h, name, value, e))
        return false;
      if (n < (int)(sizeof seen / sizeof *seen))
        seen[n++] = name;
    }
  return true;
}

bool
hint_parse (str_t text, hint_t *h, err_t *e)
{
  const str_t word = STR ("pimentopost");
  str_t s = skip_space (text);

  if (!str_starts (s, STR ("/*")))
    return true;
  s = (str_t){ s.p + 2, s.n - 2 };
  char *end = memmem (s.p, s.n, "*/", 2);
  s = skip_space ((str_t){ s.p, end ? (size_t)(end - s.p) : s.n });
  if (!str_starts (s, word))
    return true;
  s = (str_t){ s.p + word.n, s.n - word.n };
  if (s.n && !isspace ((unsigned char)*s.p))
    return true;
  if (end == NULL)
    return err_set (e, ERR_SYNTAX, "hint", "the comment does not end");
  return parse_pairs (s, h, e);
}
