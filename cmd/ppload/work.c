#include "load.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

enum
{
  TRIES_MAX = 12,          /* attempts of one request */
  FAILURES_LOGGED_MAX = 5, /* of each request kind */
  RESEND_MS = 15000 /* time from arrival after which a request is not resent */
};

static const cfg_kind_t *
kind_of (load_t *l, const session_t *s)
{
  return s->req.kind < 0 ? NULL : &l->cfg->kinds[s->req.kind];
}

/* ---- choice of the operation ---- */

static op_kind_t
choose_write (load_t *l, session_t *s)
{
  if (rng_below (&l->rng, 100) < 8)
    return OP_BLOCK;
  return s->row_acked && s->nsent < ROW_WRITES_MAX ? OP_APPEND : OP_INSERT;
}

static op_kind_t
choose_read (load_t *l, const cfg_kind_t *k)
{
  uint64_t r = rng_below (&l->rng, 100);

  if (k->max_age < 0)
    return OP_READ_OWN;
  return r < 5 ? OP_READ_SERIES : r < 15 ? OP_READ_OWN : OP_READ_BOUNDED;
}

/* required_version: the last version acknowledged at or before SINCE.  */
static int64_t
required_version (const load_group_t *g, msec_t since)
{
  for (size_t i = g->acked_cap; i-- > 1;)
    if (g->acked_at[i] && g->acked_at[i] <= since)
      return (int64_t)i;
  return 0;
}

static void
begin_write (load_t *l, session_t *s)
{
  req_t *r = &s->req;
  char id[32];

  if (r->op == OP_INSERT)
    {
      snprintf (s->row, sizeof s->row, "s%d-%d.%x", s->n, s->rows++, l->run);
      s->ntags = s->nsent = 0;
      s->row_acked = false;
    }
  if (r->op == OP_BLOCK)
    snprintf (id, sizeof id, "b%d-%d.%x.", s->n, s->rows++, l->run);
  else
    snprintf (id, sizeof id, "%s", s->row);
  s->nsent++;
  r->write = ledger_add (l, s->group, id, r->op == OP_BLOCK);
  r->rollback = r->op == OP_BLOCK && rng_below (&l->rng, 4) == 0;
  if (r->op != OP_BLOCK && kind_of (l, s)->key)
    snprintf (r->key, sizeof r->key, "%x-%lld", l->run, (long long)r->write);
}

void
work_begin (load_t *l, session_t *s)
{
  const cfg_kind_t *k = kind_of (l, s);
  req_t *r = &s->req;

  r->write = -1;
  if (k == NULL)
    r->op = OP_VERSION;
  else if (k->effect == EFFECT_WRITE)
    {
      r->op = choose_write (l, s);
      begin_write (l, s);
    }
  else
    r->op = choose_read (l, k);
  if (r->op == OP_VERSION)
    l->group[s->group].version++;
}

/* ---- statements ---- */

static void
block_sql (load_t *l, session_t *s, char *sql, size_t size)
{
  const req_t *r = &s->req;

  if (r->step == 0)
    snprintf (sql, size, "BEGIN");
  else if (r->step == 3)
    snprintf (sql, size, r->rollback ? "ROLLBACK" : "COMMIT");
  else
    snprintf (
        sql, size, "INSERT INTO ledger(id, val) VALUES ('%s%c', '<%lld>')",
        l->write[r->write].id, r->step == 1 ? 'a' : 'b', (long long)r->write);
}

static void
version_sql (load_t *l, session_t *s, char *sql, size_t size)
{
  load_group_t *g = &l->group[s->group];

  snprintf (sql, size,
            g->version_row
                ? "UPDATE version SET val = '%2$lld' WHERE id = '%1$.*3$s'"
                : "INSERT INTO version(id, val) VALUES ('%1$.*3$s', '%2$lld')",
            g->name.p, (long long)g->version, (int)g->name.n);
}

/* hint: the SQL comment with request kind and key.  A read of the session's
   own row whose kind has an age bound carries none, so that the bound does not
   apply and the session reads its own writes.  */
static size_t
hint (load_t *l, const session_t *s, char *sql, size_t size)
{
  const cfg_kind_t *k = kind_of (l, s);
  const req_t *r = &s->req;

  if (k == NULL || r->op == OP_BLOCK
      || (r->op == OP_READ_OWN && k->max_age >= 0))
    return 0;
  return (size_t)snprintf (
      sql, size, "/* pimentopost kind=" STR_FMT "%s%s */ ", STR_ARG (k->name),
      r->key[0] ? " key=" : "", r->key);
}

void
work_sql (load_t *l, session_t *s, char *sql, size_t size)
{
  req_t *r = &s->req;
  load_group_t *g = &l->group[s->group];
  size_t n = hint (l, s, sql, size);

  sql += n;
  size -= n;
  switch (r->op)
    {
    case OP_INSERT:
      snprintf (sql, size,
                "INSERT INTO ledger(id, val) VALUES ('%s', '<%lld>')", s->row,
                (long long)r->write);
      break;
    case OP_APPEND:
      snprintf (sql, size,
                "UPDATE ledger SET val = val || '<%lld>' WHERE id = '%s'",
                (long long)r->write, s->row);
      break;
    case OP_BLOCK:
      block_sql (l, s, sql, size);
      break;
    case OP_READ_OWN:
      snprintf (sql, size, "SELECT id, val FROM ledger WHERE id = '%s'",
                s->row);
      break;
    case OP_READ_BOUNDED:
      r->min_version = required_version (g, l->now - kind_of (l, s)->max_age);
      snprintf (sql, size,
                "SELECT id, val FROM version WHERE id = '" STR_FMT "'",
                STR_ARG (g->name));
      break;
    case OP_READ_SERIES:
      snprintf (sql, size, "SELECT generate_series(1, %d)", SERIES_ROWS);
      break;
    default:
      version_sql (l, s, sql, size);
    }
}

/* ---- answers ---- */

static void
finish_request (load_t *l, session_t *s, outcome_t out)
{
  req_t *r = &s->req;

  if (out == OUT_NOT_RUN && r->maybe_applied)
    out = OUT_UNKNOWN;
  if (r->write >= 0)
    l->write[r->write].out = out;
  s->has_req = false;
}

static void
count_ok (load_t *l, session_t *s)
{
  const cfg_kind_t *k = kind_of (l, s);
  msec_t took = l->now - s->req.arrival;

  if (k == NULL)
    return;
  stat_t *st = &l->stat[s->req.kind];
  st->ok++;
  stat_add (st, took);
  if (took > k->deadline)
    st->late++;
  else
    st->worth_ok += k->worth;
}

/* write_acked: records the acknowledgement of a write.  The first one in a new
   term ends the failover gap.  */
static void
write_acked (load_t *l, session_t *s)
{
  load_group_t *g = &l->group[s->group];
  const char *token = PQparameterStatus (s->conn, "pimentopost.token");
  const char *colon = token ? strchr (token, ':') : NULL;
  int64_t term = 0;

  if (l->ack_file)
    fprintf (l->ack_file, "%lld %d\n", (long long)(l->now - l->start),
             s->group);
  if (colon)
    {
      str_int ((str_t){ (char *)token, (size_t)(colon - token) }, &term);
      snprintf (s->token, sizeof s->token, "%s", token);
    }
  if (term > g->term && g->term && g->ngaps < GAPS_MAX)
    {
      g->gap[g->ngaps].term = term;
      g->gap[g->ngaps].from = g->last_ack - l->start;
      g->gap[g->ngaps++].to = l->now - l->start;
      log_event (
          EV_LOAD_TERM, "group=" STR_FMT " term=%lld gap_ms=%lld at=%lld",
          STR_ARG (g->name), (long long)term,
          (long long)(l->now - g->last_ack), (long long)(l->now - l->start));
    }
  if (term > g->term)
    g->term = term;
  g->last_ack = l->now;
}

static void
version_acked (load_t *l, session_t *s)
{
  load_group_t *g = &l->group[s->group];
  size_t v = (size_t)g->version;

  if (v >= g->acked_cap)
    {
      size_t n = g->acked_cap ? g->acked_cap * 2 : 1024;
      while (n <= v)
        n *= 2;
      g->acked_at = realloc (g->acked_at, n * sizeof *g->acked_at);
      if (g->acked_at == NULL)
        abort ();
      memset (g->acked_at + g->acked_cap, 0,
              (n - g->acked_cap) * sizeof *g->acked_at);
      g->acked_cap = n;
    }
  g->acked_at[v] = l->now;
  g->version_row = true;
}

static void
check_read_own (load_t *l, session_t *s, PGresult *r)
{
  int n = PQntuples (r);

  if (n > 1)
    rule_violated (l, RULE_MIXED, "session=%d rows=%d", s->n, n);
  else if (n == 1 && strcmp (PQgetvalue (r, 0, 0), s->row) != 0)
    rule_violated (l, RULE_CROSSED, "session=%d asked=%s got=%s", s->n, s->row,
                   PQgetvalue (r, 0, 0));
  else if (n == 0 && s->row_acked)
    rule_violated (l, RULE_STALE, "session=%d row=%s missing tries=%d", s->n,
                   s->row, s->req.tries);
  else if (s->row_acked)
    for (int i = 0; i < s->ntags; i++)
      if (count_tag (PQgetvalue (r, 0, 1), s->tag[i]) == 0)
        {
          rule_violated (l, RULE_STALE,
                         "session=%d row=%s write=%lld tries=%d", s->n, s->row,
                         (long long)s->tag[i], s->req.tries);
          return;
        }
}

static void
check_read_bounded (load_t *l, session_t *s, PGresult *r)
{
  load_group_t *g = &l->group[s->group];
  int64_t v = 0;
  int n = PQntuples (r);

  if (n > 1)
    rule_violated (l, RULE_MIXED, "session=%d rows=%d", s->n, n);
  else if (n == 1 && !str_eq (str_of (PQgetvalue (r, 0, 0)), g->name))
    rule_violated (l, RULE_CROSSED, "session=%d asked=" STR_FMT " got=%s",
                   s->n, STR_ARG (g->name), PQgetvalue (r, 0, 0));
  else
    {
      if (n == 1)
        str_int (str_of (PQgetvalue (r, 0, 1)), &v);
      if (v < s->req.min_version)
        rule_violated (
            l, RULE_STALE, "group=" STR_FMT " version=%lld needed=%lld",
            STR_ARG (g->name), (long long)v, (long long)s->req.min_version);
    }
}

static void
check_read_series (load_t *l, session_t *s, PGresult *r)
{
  int n = PQntuples (r);

  if (n != SERIES_ROWS)
    rule_violated (l, n < SERIES_ROWS ? RULE_TRUNCATED : RULE_MIXED,
                   "session=%d rows=%d", s->n, n);
  for (int i = 0; i < n; i++)
    {
      int64_t v = 0;
      str_int (str_of (PQgetvalue (r, i, 0)), &v);
      if (v != i + 1)
        {
          rule_violated (l, RULE_MIXED, "session=%d row=%d value=%lld", s->n,
                         i, (long long)v);
          return;
        }
    }
}

static bool
answer_read (load_t *l, session_t *s, PGresult *r)
{
  bool rows = PQresultStatus (r) == PGRES_TUPLES_OK;

  if (!rows || PQnfields (r) != (s->req.op == OP_READ_SERIES ? 1 : 2))
    rule_violated (l, RULE_CROSSED, "session=%d answer=%s", s->n,
                   PQcmdStatus (r));
  else if (s->req.op == OP_READ_OWN)
    check_read_own (l, s, r);
  else if (s->req.op == OP_READ_BOUNDED)
    check_read_bounded (l, s, r);
  else
    check_read_series (l, s, r);
  count_ok (l, s);
  finish_request (l, s, OUT_ACKED);
  return false;
}

/* answer_write: handles the acknowledgement of a write of one row.  */
static bool
answer_write (load_t *l, session_t *s, PGresult *r)
{
  req_t *q = &s->req;
  const char *tag = PQcmdStatus (r);
  bool insert = q->op == OP_INSERT || strncmp (tag, "INSERT", 6) == 0;

  if (strncmp (tag, insert ? "INSERT 0 " : "UPDATE ", insert ? 9 : 7) != 0)
    rule_violated (l, RULE_CROSSED, "session=%d answer=%s", s->n, tag);
  write_acked (l, s);
  if (strcmp (PQcmdTuples (r), "0") == 0)
    rule_violated (l, RULE_LOST, "session=%d row=%s of an acknowledged write",
                   s->n, q->op == OP_VERSION ? "version" : s->row);
  else if (q->op == OP_VERSION)
    version_acked (l, s);
  else if (s->ntags < ROW_WRITES_MAX)
    {
      s->tag[s->ntags++] = q->write;
      s->row_acked = true;
    }
  count_ok (l, s);
  finish_request (l, s, OUT_ACKED);
  return false;
}

static bool
answer_block (load_t *l, session_t *s)
{
  req_t *q = &s->req;

  if (q->step++ < 3)
    return true;
  if (!q->rollback)
    write_acked (l, s);
  count_ok (l, s);
  finish_request (l, s, q->rollback ? OUT_NOT_RUN : OUT_ACKED);
  return false;
}

/* ---- errors ---- */

static stat_t *
stat_of (load_t *l, session_t *s)
{
  return s->req.kind < 0 ? &l->version_stat : &l->stat[s->req.kind];
}

bool
work_answer_lost (load_t *l, session_t *s)
{
  req_t *q = &s->req;
  bool write = q->write >= 0;

  if (q->op == OP_BLOCK)
    {
      stat_of (l, s)->unknown += q->step == 3 && !q->rollback;
      stat_of (l, s)->failed += q->step != 3 || q->rollback;
      finish_request (
          l, s, q->step == 3 && !q->rollback ? OUT_UNKNOWN : OUT_NOT_RUN);
      return false;
    }
  q->maybe_applied = true;
  bool again = write ? q->key[0] && !l->baseline : q->op != OP_VERSION;
  if (again && ++q->tries < TRIES_MAX && l->now - q->arrival < RESEND_MS)
    {
      stat_of (l, s)->resent++;
      return true;
    }
  stat_of (l, s)->unknown++;
  finish_request (l, s, OUT_UNKNOWN);
  return false;
}

static bool
answer_error (load_t *l, session_t *s, PGresult *r)
{
  req_t *q = &s->req;
  const char *code = PQresultErrorField (r, PG_DIAG_SQLSTATE);
  const char *text = PQresultErrorMessage (r);
  bool not_run = strstr (text, "not run") != NULL;

  if (code == NULL || strcmp (code, "40003") == 0
      || strstr (text, "outcome unknown"))
    return work_answer_lost (l, s);
  if (q->op == OP_VERSION && strcmp (code, "23505") == 0)
    l->group[s->group].version_row = true;
  if (!not_run && q->op != OP_VERSION
      && stat_of (l, s)->failed < FAILURES_LOGGED_MAX)
    log_event (EV_LOAD_ANSWER, "session=%d code=%s op=%d text=%s", s->n, code,
               (int)q->op, text);
  stat_of (l, s)->refused += not_run;
  stat_of (l, s)->failed += !not_run;
  finish_request (l, s, OUT_NOT_RUN);
  return false;
}

bool
work_answer (load_t *l, session_t *s, PGresult *r)
{
  ExecStatusType st = PQresultStatus (r);

  if (st != PGRES_TUPLES_OK && st != PGRES_COMMAND_OK)
    return answer_error (l, s, r);
  if (s->req.op == OP_BLOCK)
    return answer_block (l, s);
  if (s->req.write >= 0 || s->req.op == OP_VERSION)
    return answer_write (l, s, r);
  return answer_read (l, s, r);
}
