#include "entry.h"

#include <string.h>

static const char digits[] = "0123456789abcdef";

static void
add_hex (buf_t *out, const char *p, size_t n)
{
  char *to = buf_room (out, 2 * n);

  for (size_t i = 0; i < n; i++)
    {
      to[2 * i] = digits[(unsigned char)p[i] >> 4];
      to[2 * i + 1] = digits[(unsigned char)p[i] & 15];
    }
  out->n += 2 * n;
}

/* Bytes of the messages in ANSWER that belong into a recorded outcome.  */
static size_t
recorded_size (str_t answer)
{
  size_t off = 0;
  size_t n = 0;
  pgmsg_t m;

  while (pg_next (answer, &off, PG_MAX_ANSWER, &m, NULL) == 1)
    if (memchr ("TDC", m.type, 3))
      n += m.size;
  return n;
}

void
outcome_write (buf_t *out, str_t answer)
{
  bool rows = recorded_size (answer) <= OUTCOME_MAX;
  size_t off = 0;
  pgmsg_t m;

  buf_adds (out, STR ("1:"));
  while (pg_next (answer, &off, PG_MAX_ANSWER, &m, NULL) == 1)
    if (m.type == 'C' || (rows && (m.type == 'T' || m.type == 'D')))
      add_hex (out, answer.p + off - m.size, m.size);
}

static int
hex_value (char c)
{
  const char *at = c ? strchr (digits, c) : NULL;

  return at ? (int)(at - digits) : -1;
}

bool
outcome_read (buf_t *out, str_t text, err_t *e)
{
  pgmsg_t m;
  size_t off = 0;
  int got;

  if (!str_starts (text, STR ("1:")) || text.n % 2)
    return err_set (e, ERR_CORRUPT, "outcome", "not a recorded outcome");
  for (size_t i = 2; i < text.n; i += 2)
    {
      int hi = hex_value (text.p[i]);
      int lo = hex_value (text.p[i + 1]);
      if (hi < 0 || lo < 0)
        return err_set (e, ERR_CORRUPT, "outcome", "not hexadecimal");
      char c = (char)(hi << 4 | lo);
      buf_add (out, &c, 1);
    }
  str_t s = buf_str (out);
  while ((got = pg_next (s, &off, PG_MAX_ANSWER, &m, e)) == 1)
    if (!memchr ("TDC", m.type, 3))
      return err_set (e, ERR_CORRUPT, "outcome", "message of type %d", m.type);
  return (got == 0 && off == s.n && s.n > 0)
         || err_set (e, ERR_CORRUPT, "outcome", "damaged message");
}
