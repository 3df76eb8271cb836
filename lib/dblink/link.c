#include "link.h"

#include <poll.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

link_t *
link_new (const db_target_t *t, ring_t *out, msec_t now)
{
  link_t *l = calloc (1, sizeof *l);

  if (!l)
    abort ();
  l->target = *t;
  l->out = out;
  l->next_probe = now;
  return l;
}

static void
emit (link_t *l, db_event_kind_t kind, const db_cmd_t *c)
{
  db_event_t *ev = calloc (1, sizeof *ev);

  if (!ev)
    abort ();
  if (!l->pool)
    apr_pool_create (&l->pool, NULL);
  ev->kind = kind;
  if (c)
    ev->cmd = *c;
  ev->err = l->err;
  ev->probe = l->probe;
  ev->probe.name = str_dup (l->pool, str_of (l->target.name));
  ev->probe.address = str_dup (l->pool, str_of (l->target.address));
  ev->pool = l->pool;
  l->pool = NULL;
  if (ring_put (l->out, ev, NULL))
    return;
  log_event (EV_DBLINK_FULL, "database=%s", l->target.name);
  db_event_free (ev);
}

static void
close_conn (link_t *l)
{
  if (l->conn)
    PQfinish (l->conn);
  l->conn = NULL;
  l->state = LINK_CLOSED;
}

void
link_free (link_t *l)
{
  close_conn (l);
  if (l->pool)
    apr_pool_destroy (l->pool);
  free (l);
}

static void
report_change (link_t *l, bool up)
{
  if (up != l->up)
    log_event (up ? EV_DATABASE_ANSWERS : EV_DATABASE_SILENT,
               "database=%s address=%s cause=\"%s\"", l->target.name,
               l->target.address, up ? "" : l->err.detail);
  l->up = up;
}

static void
probe_done (link_t *l, bool ok, msec_t now)
{
  report_change (l, ok);
  if (ok)
    l->last_answer = now;
  l->probe.reachable = ok;
  l->probe.ok_age = l->last_answer ? now - l->last_answer : -1;
  emit (l, DB_EV_PROBE, NULL);
  l->next_probe = l->started + DB_PROBE_INTERVAL;
}

static void
command_done (link_t *l)
{
  db_cmd_t c = l->queue[0];

  if (l->err.code != ERR_NONE)
    log_event (EV_COMMAND_FAILED,
               "database=%s command=%s term=%lld error=%s cause=\"%s\"",
               l->target.name, db_op_name (c.op), (long long)c.term,
               err_name (l->err.code), l->err.detail);
  memmove (l->queue, l->queue + 1, (size_t)--l->nqueue * sizeof l->queue[0]);
  l->probe.reachable = l->err.code == ERR_NONE;
  emit (l, DB_EV_RESULT, &c);
}

/* Fails the current connect, probe or command and closes the connection: the
   answer may still arrive, so nothing else can be sent on it.  */
static void
fail (link_t *l, errcode_t code, const char *detail, msec_t now)
{
  bool command = l->state == LINK_COMMAND;
  errcode_t queued = l->state == LINK_CONNECTING ? ERR_UNREACHABLE : code;

  if (l->err.code == ERR_NONE)
    err_set (&l->err, code, l->target.name, "%s", detail);
  err_t err = l->err;
  close_conn (l);
  if (command)
    {
      err_t kept = l->err;
      command_done (l);
      l->err = kept;
    }
  else if (queued == ERR_UNREACHABLE)
    while (l->nqueue)
      {
        l->err.code = ERR_UNREACHABLE;
        command_done (l);
      }
  l->err = err;
  l->have_row = false;
  memset (&l->probe, 0, sizeof l->probe);
  probe_done (l, false, now);
}

static void
start_query (link_t *l, msec_t now)
{
  bool sent;

  memset (&l->err, 0, sizeof l->err);
  memset (&l->probe, 0, sizeof l->probe);
  l->have_row = false;
  if (l->nqueue)
    {
      l->state = LINK_COMMAND;
      l->deadline = now + DB_COMMAND_TIMEOUT;
      sent = adaptor_command (l->conn, &l->queue[0]);
    }
  else
    {
      l->state = LINK_PROBE;
      l->deadline = l->started + DB_PROBE_TIMEOUT;
      sent = adaptor_probe (l->conn);
    }
  if (!sent || PQflush (l->conn) < 0)
    fail (l, ERR_CLOSED, PQerrorMessage (l->conn), now);
}

static void
start (link_t *l, msec_t now)
{
  l->started = now;
  if (l->state == LINK_IDLE)
    {
      start_query (l, now);
      return;
    }
  memset (&l->err, 0, sizeof l->err);
  l->state = LINK_CONNECTING;
  l->deadline = now + DB_PROBE_TIMEOUT;
  l->poll = PGRES_POLLING_WRITING;
  l->conn = adaptor_connect (l->target.address);
  if (!l->conn || PQstatus (l->conn) == CONNECTION_BAD)
    {
      fail (l, ERR_UNREACHABLE, "no connection", now);
      return;
    }
  PQsetnonblocking (l->conn, 1);
}

static void
store_result (link_t *l, const PGresult *res)
{
  ExecStatusType s = PQresultStatus (res);

  if (!l->pool)
    apr_pool_create (&l->pool, NULL);
  if (s == PGRES_TUPLES_OK)
    l->have_row = adaptor_row (res, l->pool, &l->probe) || l->have_row;
  else if (s != PGRES_COMMAND_OK)
    {
      const char *state = PQresultErrorField (res, PG_DIAG_SQLSTATE);
      const char *why = PQresultErrorField (res, PG_DIAG_MESSAGE_PRIMARY);
      err_set (&l->err, ERR_DB, state ? state : "", "%s", why ? why : "");
    }
}

static void
query_done (link_t *l, msec_t now)
{
  bool command = l->state == LINK_COMMAND;

  if (l->err.code == ERR_NONE && !l->have_row)
    err_set (&l->err, ERR_DB, l->target.name, "no status row");
  l->state = LINK_IDLE;
  if (command)
    command_done (l);
  else
    probe_done (l, l->err.code == ERR_NONE, now);
}

static void
read_answer (link_t *l, msec_t now)
{
  if (!PQconsumeInput (l->conn))
    {
      fail (l, ERR_CLOSED, PQerrorMessage (l->conn), now);
      return;
    }
  while (!PQisBusy (l->conn))
    {
      PGresult *res = PQgetResult (l->conn);
      if (!res)
        {
          if (PQstatus (l->conn) == CONNECTION_BAD)
            fail (l, ERR_CLOSED, "connection lost", now);
          else
            query_done (l, now);
          return;
        }
      store_result (l, res);
      PQclear (res);
    }
}

void
link_ready (link_t *l, short revents, msec_t now)
{
  if (l->state == LINK_CONNECTING)
    {
      l->poll = PQconnectPoll (l->conn);
      if (l->poll == PGRES_POLLING_FAILED)
        fail (l, ERR_UNREACHABLE, PQerrorMessage (l->conn), now);
      else if (l->poll == PGRES_POLLING_OK)
        start_query (l, now);
    }
  else if (l->state == LINK_IDLE)
    {
      /* Input without a query: the backend server closed the connection.  The
         next probe opens a new one.  */
      if (revents & (POLLIN | POLLHUP | POLLERR))
        close_conn (l);
    }
  else if (l->state != LINK_CLOSED)
    {
      if (PQflush (l->conn) < 0)
        fail (l, ERR_CLOSED, PQerrorMessage (l->conn), now);
      else
        read_answer (l, now);
    }
}

int
link_poll (const link_t *l, short *events)
{
  if (!l->conn)
    return -1;
  *events = POLLIN;
  if (l->state == LINK_CONNECTING && l->poll == PGRES_POLLING_WRITING)
    *events = POLLOUT;
  return PQsocket (l->conn);
}

void
link_tick (link_t *l, msec_t now)
{
  bool busy = l->state != LINK_CLOSED && l->state != LINK_IDLE;

  if (busy && now >= l->deadline)
    fail (l, ERR_TIMEOUT, "no answer in time", now);
  else if (!busy && (now >= l->next_probe || l->nqueue))
    start (l, now);
}

msec_t
link_due (const link_t *l)
{
  if (l->state == LINK_CLOSED || l->state == LINK_IDLE)
    return l->nqueue ? 0 : l->next_probe;
  return l->deadline;
}

bool
link_command (link_t *l, const db_cmd_t *c, msec_t now)
{
  (void)now;
  if (l->nqueue == LINK_COMMANDS)
    return false;
  l->queue[l->nqueue++] = *c;
  return true;
}
