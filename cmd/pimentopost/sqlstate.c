#include "tool.h"

#include <string.h>

static const struct
{
  const char *state;
  const char *text;
} states[] = {
  { "53400", "not run: the queue of the database is full, or the deadline "
             "could not be met" },
  { "57P03", "not run: no primary of the group has a lease at present" },
  { "57P01", "not run: the entry instance is shutting down; connect again" },
  { "40003", "outcome unknown: the request may or may not have run; a request "
             "with a key can be sent again safely" },
  { "0A000", "not run: the statement is not supported through the proxy" },
  { "08P01", "not run: the message was malformed" },
  { "54000", "not run: the message or statement is too large" },
  { "28000", "not run: unknown group or user" },
  { "3D000", "not run: unknown group; the database name selects the group" },
  { "22023", "not run: a hint or setting has an invalid value" },
};

const char *
sqlstate_text (const char *state)
{
  for (size_t i = 0; i < sizeof states / sizeof *states; i++)
    if (strcasecmp (states[i].state, state) == 0)
      return states[i].text;
  return NULL;
}

void
json_string (buf_t *b, str_t s)
{
  buf_adds (b, STR ("\""));
  for (size_t i = 0; i < s.n; i++)
    {
      unsigned char c = (unsigned char)s.p[i];
      if (c == '"' || c == '\\')
        buf_fmt (b, "\\%c", c);
      else if (c < ' ')
        buf_fmt (b, "\\u%04x", c);
      else
        buf_add (b, s.p + i, 1);
    }
  buf_adds (b, STR ("\""));
}
