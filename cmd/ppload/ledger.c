#include "load.h"

#include <stdlib.h>
#include <string.h>
#include <stdio.h>

enum
{
  LOGGED_MAX = 20 /* violations of one rule that are logged */
};

const char *
rule_name (rule_t r)
{
  static const char *const name[RULES]
      = { "lost",      "doubled", "stale",        "mixed",
          "truncated", "crossed", "false_not_run" };

  return name[r];
}

void
rule_violated (load_t *l, rule_t r, const char *fmt, ...)
{
  char text[400];
  va_list ap;

  if (l->violations[r]++ >= LOGGED_MAX)
    return;
  va_start (ap, fmt);
  vsnprintf (text, sizeof text, fmt, ap);
  va_end (ap);
  log_event (EV_LOAD_RULE, "rule=%s at=%lld %s", rule_name (r),
             (long long)(l->now - l->start), text);
}

int64_t
ledger_add (load_t *l, int group, const char *id, bool block)
{
  if (l->nwrites == l->capwrites)
    {
      l->capwrites = l->capwrites ? l->capwrites * 2 : 1024;
      l->write = realloc (l->write, (size_t)l->capwrites * sizeof *l->write);
      if (l->write == NULL)
        abort ();
    }
  write_t *w = &l->write[l->nwrites];
  *w = (write_t){ .group = group, .block = block };
  snprintf (w->id, sizeof w->id, "%s", id);
  return l->nwrites++;
}

int
count_tag (const char *val, int64_t tag)
{
  char mark[32];
  int n = 0;

  snprintf (mark, sizeof mark, "<%lld>", (long long)tag);
  for (const char *p = val; (p = strstr (p, mark)) != NULL; p++)
    n++;
  return n;
}

/* ---- final state ---- */

typedef struct
{
  char *id;
  char *val;
} ledger_row_t;

static int
by_id (const void *a, const void *b)
{
  return strcmp (((const ledger_row_t *)a)->id, ((const ledger_row_t *)b)->id);
}

static int
count_row_tag (const ledger_row_t *rows, size_t n, const char *id, int64_t tag)
{
  ledger_row_t want = { .id = (char *)id };
  const ledger_row_t *p
      = n ? bsearch (&want, rows, n, sizeof *rows, by_id) : NULL;

  return p ? count_tag (p->val, tag) : 0;
}

static void
check_count (load_t *l, int64_t tag, const char *id, int n)
{
  const write_t *w = &l->write[tag];

  if (w->out == OUT_ACKED && n == 0)
    rule_violated (l, RULE_LOST, "write=%lld row=%s", (long long)tag, id);
  if (n > 1)
    rule_violated (l, RULE_DOUBLED, "write=%lld row=%s times=%d",
                   (long long)tag, id, n);
  if (w->out == OUT_NOT_RUN && n > 0)
    rule_violated (l, RULE_FALSE_NOT_RUN, "write=%lld row=%s", (long long)tag,
                   id);
}

static void
check_write (load_t *l, int64_t tag, const ledger_row_t *rows, size_t nrows)
{
  const write_t *w = &l->write[tag];
  char id[40];

  if (!w->block)
    {
      check_count (l, tag, w->id, count_row_tag (rows, nrows, w->id, tag));
      return;
    }
  snprintf (id, sizeof id, "%sa", w->id);
  int a = count_row_tag (rows, nrows, id, tag);
  check_count (l, tag, id, a);
  snprintf (id, sizeof id, "%sb", w->id);
  int b = count_row_tag (rows, nrows, id, tag);
  check_count (l, tag, id, b);
  if (a != b)
    rule_violated (l, RULE_MIXED,
                   "write=%lld: the rows of a transaction differ",
                   (long long)tag);
}

static PGresult *
read_rows (const load_group_t *g)
{
  PGresult *r = NULL;
  PGconn *c = db_open (db_primary (g), "pimentopost_control", "ppdbsim", 3);

  if (PQstatus (c) == CONNECTION_OK)
    r = PQexec (c, "SELECT id, val FROM ledger");
  if (r && PQresultStatus (r) != PGRES_TUPLES_OK)
    {
      PQclear (r);
      r = NULL;
    }
  PQfinish (c);
  return r;
}

static bool
check_group (load_t *l, int gi)
{
  PGresult *r = read_rows (&l->group[gi]);

  if (r == NULL)
    return false;
  size_t n = (size_t)PQntuples (r);
  ledger_row_t *rows = calloc (n + 1, sizeof *rows);
  if (rows == NULL)
    abort ();
  for (size_t i = 0; i < n; i++)
    rows[i] = (ledger_row_t){ PQgetvalue (r, (int)i, 0),
                              PQgetvalue (r, (int)i, 1) };
  qsort (rows, n, sizeof *rows, by_id);
  for (int64_t i = 0; i < l->nwrites; i++)
    if (l->write[i].group == gi)
      check_write (l, i, rows, n);
  free (rows);
  PQclear (r);
  return true;
}

bool
ledger_check (load_t *l)
{
  bool ok = true;

  for (int i = 0; i < l->ngroups; i++)
    if (!check_group (l, i))
      {
        log_event (EV_LOAD_ANSWER,
                   "group=" STR_FMT " no primary could be read",
                   STR_ARG (l->group[i].name));
        ok = false;
      }
  return ok;
}
