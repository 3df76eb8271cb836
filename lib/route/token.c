#include "route.h"

#include <stdio.h>
#include <string.h>

bool
token_parse (str_t s, token_t *t, err_t *e)
{
  const char *colon = s.n ? memchr (s.p, ':', s.n) : NULL;
  size_t n = colon ? (size_t)(colon - s.p) : 0;
  token_t v;

  if (colon == NULL || !str_int ((str_t){ s.p, n }, &v.term)
      || !str_int ((str_t){ s.p + n + 1, s.n - n - 1 }, &v.pos) || v.term < 0
      || v.pos < 0)
    return err_set (e, ERR_SYNTAX, "token",
                    "'" STR_FMT "' is not TERM:POSITION", STR_ARG (s));
  *t = v;
  return true;
}

size_t
token_format (token_t t, char out[48])
{
  return (size_t)snprintf (out, 48, "%lld:%lld", (long long)t.term,
                           (long long)t.pos);
}

static void
history_add (history_t *h, token_t t)
{
  if (h->n == HISTORY_MAX)
    {
      /* Drops the oldest term.  A token of that term is then compared with the
         start of a later term, which requires more than needed, never less. */
      memmove (&h->at[0], &h->at[1], (HISTORY_MAX - 1) * sizeof h->at[0]);
      h->n--;
    }
  h->at[h->n].term = t.term;
  h->at[h->n].start = t.pos;
  h->n++;
}

bool
history_parse (str_t s, history_t *h, err_t *e)
{
  token_t last = { 0, 0 };

  h->n = 0;
  while (s.n)
    {
      const char *comma = memchr (s.p, ',', s.n);
      size_t n = comma ? (size_t)(comma - s.p) : s.n;
      token_t t = { 0, 0 };
      if (!token_parse ((str_t){ s.p, n }, &t, e))
        return false;
      if (t.term <= last.term || t.pos < last.pos)
        return err_set (e, ERR_SYNTAX, "history",
                        "terms must increase and positions must not decrease");
      history_add (h, t);
      last = t;
      if (comma == NULL)
        break;
      s = (str_t){ s.p + n + 1, s.n - n - 1 };
      if (s.n == 0)
        return err_set (e, ERR_SYNTAX, "history", "ends with a comma");
    }
  return true;
}

/* Position up to which a database with history H must have applied its log to
   cover T; -1 when H ends before T's term.  */
static int64_t
needed (const history_t *h, token_t t)
{
  if (h->n == 0 || h->at[h->n - 1].term < t.term)
    return -1;
  for (int i = 0; i < h->n; i++)
    if (h->at[i].term > t.term)
      return t.pos < h->at[i].start ? t.pos : h->at[i].start;
  return t.pos;
}

bool
history_covers (const history_t *h, int64_t pos, token_t t)
{
  if (t.term == 0)
    return true;
  int64_t need = needed (h, t);
  return need >= 0 && pos >= need;
}

token_t
token_max (const history_t *h, token_t a, token_t b)
{
  if (a.term == b.term)
    return a.pos >= b.pos ? a : b;
  if (a.term == 0 || b.term == 0)
    return a.term ? a : b;
  int64_t na = needed (h, a);
  int64_t nb = needed (h, b);
  /* A term that H does not contain yet is newer than all that it contains.  */
  if (na < 0 || nb < 0)
    return a.term > b.term ? a : b;
  if (na == nb)
    return a.term > b.term ? a : b;
  return na > nb ? a : b;
}
