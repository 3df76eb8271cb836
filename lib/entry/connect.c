#include "worker.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/epoll.h>

/* Opens connections to databases; libpq does the startup exchange.  */

static PGconn *
start_connect (const dbpool_t *d)
{
  char host[64];
  char group[CONF_MAX_NAME + 1];
  const char *colon = memrchr (d->address.p, ':', d->address.n);

  if (colon == NULL || d->address.n >= sizeof host)
    return NULL;
  snprintf (host, sizeof host, STR_FMT, STR_ARG (d->address));
  char *port = host + (colon - d->address.p);
  *port++ = '\0';
  snprintf (group, sizeof group, STR_FMT, STR_ARG (d->group));
  const char *const names[] = { "hostaddr",
                                "port",
                                "user",
                                "dbname",
                                "sslmode",
                                "gssencmode",
                                "keepalives_idle",
                                "keepalives_interval",
                                "keepalives_count",
                                "tcp_user_timeout",
                                NULL };
  const char *const values[]
      = { host, port, "pimentopost", group,  "disable", "disable",
          "5",  "1",  "3",           "5000", NULL };
  return PQconnectStartParams (names, values, 0);
}

conn_t *
conn_open (dbpool_t *d, int slot)
{
  worker_t *w = d->w;
  conn_t *c = calloc (1, sizeof *c);

  if (c == NULL)
    abort ();
  c->w = w;
  c->db = d;
  c->slot = slot;
  c->state = C_CONNECT;
  c->since = w->now;
  c->pg = start_connect (d);
  c->io = (io_t){ .fd = -1, .kind = IO_CONN };
  d->conn[slot] = c;
  if (c->pg == NULL || PQstatus (c->pg) == CONNECTION_BAD)
    {
      conn_close (c);
      return NULL;
    }
  c->io.fd = PQsocket (c->pg);
  io_watch (w, &c->io, EPOLLOUT);
  return c;
}

static void
finish_connect (conn_t *c)
{
  dbpool_t *d = c->db;

  c->ready = 'I';
  PQsetnonblocking (c->pg, 1);
  io_watch (c->w, &c->io, EPOLLIN);
  d->last_ok = c->w->now;
  if (c->probe)
    view_db_ok (c->w->view, d->name, 0, c->w->now);
  conn_idle (c, pool_connected (&d->pool, c->slot, c->w->now));
}

/* libpq may change the socket while it connects.  */
static void
set_poll_events (conn_t *c, uint32_t events)
{
  if (c->io.fd != PQsocket (c->pg))
    {
      c->io.fd = PQsocket (c->pg);
      c->io.events = 0;
    }
  io_watch (c->w, &c->io, events);
}

void
conn_continue_connect (conn_t *c)
{
  dbpool_t *d = c->db;

  switch (PQconnectPoll (c->pg))
    {
    case PGRES_POLLING_READING:
      set_poll_events (c, EPOLLIN);
      break;
    case PGRES_POLLING_WRITING:
      set_poll_events (c, EPOLLOUT);
      break;
    case PGRES_POLLING_OK:
      finish_connect (c);
      break;
    default:
      log_event (EV_CONNECT_FAILED,
                 "database=" STR_FMT " address=" STR_FMT " cause=\"%s\"",
                 STR_ARG (d->name), STR_ARG (d->address),
                 PQerrorMessage (c->pg));
      conn_close (c);
      dbpool_failed (d);
    }
}
