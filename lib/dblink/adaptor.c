#include "link.h"

#include <stdio.h>
#include <string.h>

PGconn *
adaptor_connect (const char *address)
{
  char host[DB_NAME_MAX];
  const char *colon = strrchr (address, ':');

  if (!colon)
    return NULL;
  snprintf (host, sizeof host, "%.*s", (int)(colon - address), address);
  const char *const keys[]
      = { "hostaddr",         "port",    "user",       "dbname",
          "application_name", "sslmode", "gssencmode", NULL };
  const char *const values[]
      = { host,       colon + 1,     "pimentopost_control",
          "postgres", "pimentopost", "disable",
          "disable",  NULL };
  return PQconnectStartParams (keys, values, 0);
}

bool
adaptor_probe (PGconn *conn)
{
  return PQsendQuery (conn, "SELECT * FROM pimentopost_status()") == 1;
}

bool
adaptor_command (PGconn *conn, const db_cmd_t *c)
{
  char sql[512];
  const char *text = c->op == DB_FOLLOW ? c->target : c->owner;
  char *quoted = PQescapeLiteral (conn, text, strlen (text));
  long long term = c->term;

  if (!quoted)
    return false;
  if (c->op == DB_FOLLOW)
    snprintf (sql, sizeof sql, "SELECT * FROM pimentopost_follow(%s, %lld)",
              quoted, term);
  else
    snprintf (sql, sizeof sql, "SELECT * FROM pimentopost_%s(%lld, %s)",
              c->op == DB_FENCE ? "fence" : "promote", term, quoted);
  PQfreemem (quoted);
  return PQsendQuery (conn, sql) == 1;
}

static str_t
column_text (const PGresult *res, const char *column)
{
  int col = PQfnumber (res, column);

  if (col < 0)
    return STR ("");
  return (str_t){ PQgetvalue (res, 0, col),
                  (size_t)PQgetlength (res, 0, col) };
}

static int64_t
column_number (const PGresult *res, const char *column, int64_t missing)
{
  int64_t v;

  return str_int (column_text (res, column), &v) ? v : missing;
}

bool
adaptor_row (const PGresult *res, apr_pool_t *pool, probe_t *p)
{
  if (PQntuples (res) != 1 || PQfnumber (res, "term") < 0
      || PQfnumber (res, "role") < 0)
    return false;
  p->term = column_number (res, "term", 0);
  p->role = str_dup (pool, column_text (res, "role"));
  p->position = column_number (res, "position", 0);
  p->confirmed = column_number (res, "confirmed", 0);
  p->upstream_age = column_number (res, "upstream_age_ms", 0);
  p->history = str_dup (pool, column_text (res, "history"));
  return true;
}
