#include "load.h"

#include <stdio.h>
#include <string.h>

enum
{
  CONNECT_MS = 2000, /* connection timeout */
  GRACE_MS = 1500,   /* after the deadline; then the answer counts as lost */
  RETRY_MS = 50,     /* before a reconnection */
  VERSION_MS = 20    /* between two versions of a group */
};

static void
disconnect (load_t *l, session_t *s, msec_t pause)
{
  PQfinish (s->conn);
  s->conn = NULL;
  s->state = S_DISCONNECTED;
  s->due = l->now + pause;
}

static void
switch_entry (load_t *l, session_t *s)
{
  if (l->nentries > 1)
    s->entry
        = (s->entry + 1 + (int)rng_below (&l->rng, (uint64_t)l->nentries - 1))
          % l->nentries;
}

static void
connect_to (load_t *l, session_t *s)
{
  load_group_t *g = &l->group[s->group];
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
  /* Half of the reconnections pass the session token, the others rely on the
     position that is sampled after the connection starts.  */
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
      switch_entry (l, s);
      disconnect (l, s, RETRY_MS);
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

/* connection_lost: the connection was closed or timed out while an answer was
   outstanding.  */
static void
connection_lost (load_t *l, session_t *s)
{
  switch_entry (l, s);
  disconnect (l, s, RETRY_MS);
  if (s->has_req)
    work_answer_lost (l, s);
}

static void
answer_complete (load_t *l, session_t *s)
{
  PGresult *r = s->result;
  bool more;

  s->result = NULL;
  s->state = S_IDLE;
  if (PQstatus (s->conn) != CONNECTION_OK
      || PQresultStatus (r) == PGRES_NONFATAL_ERROR)
    {
      PQclear (r);
      connection_lost (l, s);
      return;
    }
  more = work_answer (l, s, r);
  bool block = PQtransactionStatus (s->conn) != PQTRANS_IDLE;
  bool failed = PQresultStatus (r) == PGRES_FATAL_ERROR;
  PQclear (r);
  if (more && failed)
    {
      /* The request is resent with its key through another entry
         instance.  */
      switch_entry (l, s);
      disconnect (l, s, RETRY_MS);
    }
  else if (more)
    send_statement (l, s);
  else if (block)
    disconnect (l, s, 0);
}

static void
read_answer (load_t *l, session_t *s)
{
  if (!PQconsumeInput (s->conn))
    {
      PQclear (s->result);
      s->result = NULL;
      connection_lost (l, s);
      return;
    }
  PQflush (s->conn);
  while (!PQisBusy (s->conn))
    {
      PGresult *r = PQgetResult (s->conn);
      if (r == NULL && s->result == NULL)
        {
          connection_lost (l, s);
          return;
        }
      if (r == NULL)
        {
          answer_complete (l, s);
          return;
        }
      if (s->result == NULL)
        s->result = r;
      else
        {
          /* A statement has one result; libpq may add the error of a
             connection that was closed.  */
          if (PQresultStatus (r) != PGRES_FATAL_ERROR)
            rule_violated (l, RULE_MIXED, "session=%d two results", s->n);
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
          switch_entry (l, s);
          disconnect (l, s, RETRY_MS);
        }
    }
  else if (s->state == S_BUSY)
    read_answer (l, s);
  else if (s->state == S_IDLE
           && (!PQconsumeInput (s->conn)
               || PQstatus (s->conn) != CONNECTION_OK))
    {
      switch_entry (l, s);
      disconnect (l, s, 0);
    }
}

static void
next_version (load_t *l, session_t *s)
{
  load_group_t *g = &l->group[s->group];

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
  if (s->state == S_DISCONNECTED && l->now >= s->due)
    connect_to (l, s);
  else if (s->state == S_CONNECTING && l->now >= s->due)
    {
      switch_entry (l, s);
      disconnect (l, s, 0);
    }
  else if (s->state == S_BUSY && l->now >= s->due)
    {
      PQclear (s->result);
      s->result = NULL;
      connection_lost (l, s);
    }
  else if (s->versions)
    next_version (l, s);
}
