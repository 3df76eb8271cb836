#include "pgwire.h"

#include <stdio.h>

static const struct
{
  const char *code;
  pgrun_t run;
  const char *text;
} table[] = {
#define X(name, code, run, text) { code, run, text },
  PG_REFUSALS (X)
#undef X
};

const char *
pg_refusal_code (pgrefusal_t r)
{
  return table[r].code;
}

pgrun_t
pg_refusal_run (pgrefusal_t r)
{
  return table[r].run;
}

void
pg_put_refusal (buf_t *b, pgrefusal_t r, bool fatal, const char *why)
{
  const char *run = table[r].run == PG_NOT_RUN ? "not run" : "outcome unknown";
  char message[256];
  char detail[512];
  int m = snprintf (message, sizeof message, "%s (%s)", table[r].text, run);
  int d = snprintf (detail, sizeof detail, "%s%s%s", run,
                    why && *why ? ": " : "", why ? why : "");

  if ((size_t)d >= sizeof detail)
    d = sizeof detail - 1;
  pg_put_error (b, fatal ? "FATAL" : "ERROR", table[r].code,
                (str_t){ message, (size_t)m }, (str_t){ detail, (size_t)d });
}

bool
pg_not_run_code (str_t code)
{
  return str_eq (code, STR ("25006")) || str_eq (code, STR ("53300"))
         || str_eq (code, STR ("57P03"));
}
