#include "base.h"

#include <errno.h>
#include <stdio.h>
#include <string.h>

static const struct
{
  const char *name;
  int exit;
} codes[] = {
#define X(code, name, cls) { name, cls },
  ERR_CODES (X)
#undef X
};

bool
err_set (err_t *e, errcode_t code, const char *subject, const char *fmt, ...)
{
  va_list ap;

  if (e == NULL)
    return false;
  *e = (err_t){ .code = code };
  if (subject)
    snprintf (e->subject, sizeof e->subject, "%s", subject);
  va_start (ap, fmt);
  vsnprintf (e->detail, sizeof e->detail, fmt, ap);
  va_end (ap);
  return false;
}

bool
err_sys (err_t *e, const char *subject, const char *what)
{
  int saved = errno;
  char text[96];

  err_set (e, ERR_SYS, subject, "%s: %s", what,
           strerror_r (saved, text, sizeof text));
  if (e)
    e->sys = saved;
  return false;
}

const char *
err_name (errcode_t code)
{
  return codes[code].name;
}

int
err_exit (errcode_t code)
{
  return codes[code].exit;
}

void
err_line (const err_t *e, char *out, size_t size)
{
  char where[24] = "";

  if (e->line)
    snprintf (where, sizeof where, "%d:", e->line);
  snprintf (out, size, "%s:%s %s: %s", e->subject, where, err_name (e->code),
            e->detail);
}
