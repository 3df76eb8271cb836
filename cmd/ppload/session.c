#include "load.h"

#include <stdio.h>
#include <string.h>

enum
{
  CONNECT_MS = 2000,
  GRACE_MS = 1500, /* past the deadline an answer counts as lost */
  RETRY_MS = 50,
  VERSION_MS = 20 /* between two versions of a group */
};

static void
down (load_t *l, session_t *s, msec_t pause)
{
  PQfinish (s->conn);
  s->conn = NULL;
  s->state = S_DOWN;
  s->due = l->now + pause;
}

static void
other_entry (load_t *l, session_t *s)
{
  if (l->nentries > 1)
    s->entry
        = (s->entry + 1 + (int)rng_below (&l->rng, (uint64_t)l->nentries - 1))
          % l->nentries;
}

static void
connect_to (load_t *l, session_t *s)
{
  lgroup_t *g = &l->group[s->group];
  str_t address = l->baseline ? g->db[0] : l->entry[s->entry];
  char host[64];
  char port[16];
  char options[128] = "";
  char db[64];
  const char *colon = memrchr (address.p, ':', address.n);
  int n = (int)(colon - address.p);

  snprintf (host, sizeof host, "%.*s", n, address.p);
  snprintf (port, sizeof port, "%.*s", (int)address.n - n - 1, colon + 1);
  snprintf (db, sizeof db, STR_FMT, STR_ARG (g->name));
  /* Half of the roaming sessions carry their token, the others rely on the
     position sampled after the connection began.  */
  if (s->token[0] && rng_below (&l->rng, 2) == 0)
    snprintf (options, sizeof options, "-c pimentopost.token=%s", s->token);
  const char *const key[] = { "hostaddr", "port",    "user",       "dbname",
                              "sslmode",  "options", "gssencmode", NULL };
  const char *const val[]
      = { host, port, "ppload", db, "disable", options, "disable", NULL };
  s->conn = PQconnectStartParams (key, val, 0);
  s->state = S_CONNECTING;
  s->want = PGRES_POLLING_WRITING;
  s->due = l->now + CONNECT_MS;
  if (s->conn == NULL || PQstatus (s->conn) == CONNECTION_BAD)
    {
      other_entry (l, s);
      down (l, s, RETRY_MS);
    }
}

/* ---- one statement ---- */

static void
send_statement (load_t *l, session_t *s)
{
  char sql[512];
  msec_t deadline
      = s->req.kind < 0 ? 1000 : l->cfg->kinds[s->req.kind].deadline;

  work_sql (l, s, sql, sizeof sql);
  s->req.sent = l->now;
  s->due = l->now + deadline + GRACE_MS;
  s->state = S_BUSY;
  PQsendQuery (s->conn, sql);
  PQflush (s->conn);
}

/* lost: the connection ended or was given up while an answer was due.  */
static void
lost (load_t *l, session_t *s)
{
  other_entry (l, s);
  down (l, s, RETRY_MS);
  if (s->has_req)
    work_lost (l, s);
}

static void
ended (load_t *l, session_t *s)
{
  PGresult *r = s->first;
  bool more;

  s->first = NULL;
  s->state = S_IDLE;
  if (PQstatus (s->conn) != CONNECTION_OK
      || PQresultStatus (r) == PGRES_NONFATAL_ERROR)
    {
      PQclear (r);
      lost (l, s);
      return;
    }
  more = work_answer (l, s, r);
  bool block = PQtransactionStatus (s->conn) != PQTRANS_IDLE;
  bool failed = PQresultStatus (r) == PGRES_FATAL_ERROR;
  PQclear (r);
  if (more && failed)
    {
      /* Resent with the same key through another entry instance.  */
      other_entry (l, s);
      down (l, s, RETRY_MS);
    }
  else if (more)
    send_statement (l, s);
  else if (block)
    down (l, s, 0);
}

static void
read_answer (load_t *l, session_t *s)
{
  if (!PQconsumeInput (s->conn))
    {
      PQclear (s->first);
      s->first = NULL;
      lost (l, s);
      return;
    }
  PQflush (s->conn);
  while (!PQisBusy (s->conn))
    {
      PGresult *r = PQgetResult (s->conn);
      if (r == NULL && s->first == NULL)
        {
          lost (l, s);
          return;
        }
      if (r == NULL)
        {
          ended (l, s);
          return;
        }
      if (s->first == NULL)
        s->first = r;
      else
        {
          /* One statement has one result; the error of a lost connection
             may come second.  */
          if (PQresultStatus (r) != PGRES_FATAL_ERROR)
            rule_broken (l, RULE_MIXED, "session=%d two results", s->n);
          PQclear (r);
        }
    }
}

void
session_start (load_t *l, session_t *s)
{
  if (!s->has_req)
    {
      s->has_req = true;
      work_begin (l, s);
    }
  if (s->state == S_IDLE)
    send_statement (l, s);
}

/* ---- events ---- */

static void
connected (load_t *l, session_t *s)
{
  s->state = S_IDLE;
  if (s->has_req)
    send_statement (l, s);
}

void
session_event (load_t *l, session_t *s)
{
  if (s->state == S_CONNECTING)
    {
      s->want = PQconnectPoll (s->conn);
      if (s->want == PGRES_POLLING_OK)
        connected (l, s);
      else if (s->want == PGRES_POLLING_FAILED)
        {
          other_entry (l, s);
          down (l, s, RETRY_MS);
        }
    }
  else if (s->state == S_BUSY)
    read_answer (l, s);
  else if (s->state == S_IDLE
           && (!PQconsumeInput (s->conn)
               || PQstatus (s->conn) != CONNECTION_OK))
    {
      other_entry (l, s);
      down (l, s, 0);
    }
}

static void
next_version (load_t *l, session_t *s)
{
  lgroup_t *g = &l->group[s->group];

  if (s->state != S_IDLE || s->has_req || l->now < g->version_next
      || l->now > l->start + l->seconds)
    return;
  g->version_next = l->now + VERSION_MS;
  s->req = (req_t){ .kind = -1, .arrival = l->now };
  session_start (l, s);
}

void
session_tick (load_t *l, session_t *s)
{
  if (s->state == S_DOWN && l->now >= s->due)
    connect_to (l, s);
  else if (s->state == S_CONNECTING && l->now >= s->due)
    {
      other_entry (l, s);
      down (l, s, 0);
    }
  else if (s->state == S_BUSY && l->now >= s->due)
    {
      PQclear (s->first);
      s->first = NULL;
      lost (l, s);
    }
  else if (s->versions)
    next_version (l, s);
}
