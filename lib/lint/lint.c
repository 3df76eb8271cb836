#include "lint.h"

#include <stdarg.h>
#include <stdio.h>
#include <string.h>

enum
{
  FIRST_CAP = 16 /* findings */
};

static finding_t *
next_finding (findings_t *f)
{
  if (f->n == f->cap)
    {
      size_t cap = f->cap ? 2 * f->cap : FIRST_CAP;
      finding_t *at = apr_palloc (f->pool, cap * sizeof *at);
      if (f->n)
        memcpy (at, f->at, f->n * sizeof *at);
      f->at = at;
      f->cap = cap;
    }
  return &f->at[f->n++];
}

void
lint_add (findings_t *f, lint_level_t level, str_t path, const char *fmt, ...)
{
  char text[512];
  va_list ap;

  va_start (ap, fmt);
  vsnprintf (text, sizeof text, fmt, ap);
  va_end (ap);
  *next_finding (f) = (finding_t){ level, str_dup (f->pool, path),
                                   str_dup (f->pool, str_of (text)) };
}

lint_level_t
lint_worst (const findings_t *f)
{
  lint_level_t worst = LINT_CHANGE;

  for (size_t i = 0; i < f->n; i++)
    if (f->at[i].level > worst)
      worst = f->at[i].level;
  return worst;
}

const char *
lint_level_name (lint_level_t level)
{
  static const char *const name[] = { "change", "warning", "error" };

  return name[level];
}
