#include "load.h"

#include <stdlib.h>
#include <string.h>
#include <stdio.h>

enum
{
  SHOWN = 20 /* broken rules that are logged one by one */
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
rule_broken (load_t *l, rule_t r, const char *fmt, ...)
{
  char text[400];
  va_list ap;

  if (l->broken[r]++ >= SHOWN)
    return;
  va_start (ap, fmt);
  vsnprintf (text, sizeof text, fmt, ap);
  va_end (ap);
  log_event (EV_LOAD_RULE, "rule=%s at=%lld %s", rule_name (r),
             (long long)(l->now - l->start), text);
}

int64_t
ledger_add (load_t *l, int group, const char *id, bool pair)
{
  if (l->nwrites == l->capwrites)
    {
      l->capwrites = l->capwrites ? l->capwrites * 2 : 1024;
      l->write = realloc (l->write, (size_t)l->capwrites * sizeof *l->write);
      if (l->write == NULL)
        abort ();
    }
  write_t *w = &l->write[l->nwrites];
  *w = (write_t){ .group = group, .pair = pair };
  snprintf (w->id, sizeof w->id, "%s", id);
  return l->nwrites++;
}

int
marks (const char *val, int64_t tag)
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
} pair_t;

static int
by_id (const void *a, const void *b)
{
  return strcmp (((const pair_t *)a)->id, ((const pair_t *)b)->id);
}

static int
count_marks (const pair_t *rows, size_t n, const char *id, int64_t tag)
{
  pair_t want = { .id = (char *)id };
  const pair_t *p = n ? bsearch (&want, rows, n, sizeof *rows, by_id) : NULL;

  return p ? marks (p->val, tag) : 0;
}

static void
check_count (load_t *l, int64_t tag, const char *id, int n)
{
  const write_t *w = &l->write[tag];

  if (w->out == OUT_ACKED && n == 0)
    rule_broken (l, RULE_LOST, "write=%lld row=%s", (long long)tag, id);
  if (n > 1)
    rule_broken (l, RULE_DOUBLED, "write=%lld row=%s times=%d", (long long)tag,
                 id, n);
  if (w->out == OUT_NOT_RUN && n > 0)
    rule_broken (l, RULE_FALSE_NOT_RUN, "write=%lld row=%s", (long long)tag,
                 id);
}

static void
check_write (load_t *l, int64_t tag, const pair_t *rows, size_t nrows)
{
  const write_t *w = &l->write[tag];
  char id[40];

  if (!w->pair)
    {
      check_count (l, tag, w->id, count_marks (rows, nrows, w->id, tag));
      return;
    }
  snprintf (id, sizeof id, "%sa", w->id);
  int a = count_marks (rows, nrows, id, tag);
  check_count (l, tag, id, a);
  snprintf (id, sizeof id, "%sb", w->id);
  int b = count_marks (rows, nrows, id, tag);
  check_count (l, tag, id, b);
  if (a != b)
    rule_broken (l, RULE_MIXED, "write=%lld: half of a transaction",
                 (long long)tag);
}

static PGresult *
read_rows (const lgroup_t *g)
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
  pair_t *rows = calloc (n + 1, sizeof *rows);
  if (rows == NULL)
    abort ();
  for (size_t i = 0; i < n; i++)
    rows[i] = (pair_t){ PQgetvalue (r, (int)i, 0), PQgetvalue (r, (int)i, 1) };
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
        log_event (EV_LOAD_ANSWER, "group=" STR_FMT " no primary to read",
                   STR_ARG (l->group[i].name));
        ok = false;
      }
  return ok;
}
