#include "pgwire.h"

#include <stdio.h>

static const struct
{
  const char *code;
  pgoutcome_t outcome;
  const char *text;
} table[] = {
#define X(name, code, outcome, text) { code, outcome, text },
  PG_REFUSALS (X)
#undef X
};

const char *
pg_refusal_code (pgrefusal_t r)
{
  return table[r].code;
}

pgoutcome_t
pg_refusal_outcome (pgrefusal_t r)
{
  return table[r].outcome;
}

void
pg_put_refusal (buf_t *b, pgrefusal_t r, bool fatal, const char *why)
{
  const char *outcome
      = table[r].outcome == PG_NOT_RUN ? "not run" : "outcome unknown";
  char message[256];
  char detail[512];
  int m
      = snprintf (message, sizeof message, "%s (%s)", table[r].text, outcome);
  int d = snprintf (detail, sizeof detail, "%s%s%s", outcome,
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
