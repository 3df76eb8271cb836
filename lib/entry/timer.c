#include "worker.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/epoll.h>
#include <unistd.h>

enum
{
  BARRIER_TIMEOUT = 500, /* ms a barrier sample may wait for a connection */
  PROBE_INTERVAL = 500   /* ms between probes of one database */
};

/* Opens a new connection: if that succeeds, only the connection of R is
   silent, not the database.  */
static void
open_probe (req_t *r)
{
  dbpool_t *d = r->conn->db;

  r->probed = true;
  if (r->w->now - d->last_probe < PROBE_INTERVAL)
    return;
  int slot = pool_open (&d->pool, r->w->now);
  if (slot < 0)
    return;
  d->last_probe = r->w->now;
  conn_t *c = conn_open (d, slot);
  if (c)
    c->probe = true;
}

static void
check_running (req_t *r)
{
  msec_t now = r->w->now;
  bool checking = r->x.plan.check && !r->x.answer_started && r->x.phase == 1;

  if (checking && now - r->sent > r->route.wait + CHECK_TIMEOUT)
    {
      /* The check takes no slot of the database, so a late answer means that
         the connection is silent.  */
      log_event (EV_CONNECTION_SILENT, "database=" STR_FMT,
                 STR_ARG (r->conn->db->name));
      view_db_failed (r->w->view, r->conn->db->name, now);
      request_conn_lost (r);
    }
  else if (!r->probed && now - r->progress > PROBE_AFTER)
    open_probe (r);
}

/* Routes a request again that waits for a database that does not answer or is
   no longer usable, rather than let it wait until its deadline.  */
static void
check_waiting (req_t *r)
{
  const db_t *d = r->route.db;

  if (r->w->now >= d->avoid && r->db->usable)
    return;
  request_detach (r);
  request_route (r);
}

static void
check_request (req_t *r)
{
  worker_t *w = r->w;

  if (r->s == NULL)
    {
      if (r->state == R_CONN && w->now - r->arrived > BARRIER_TIMEOUT)
        {
          group_state_t *g = r->group;
          dbpool_unqueue (r->db, r);
          request_free (r);
          barrier_done (g, w);
        }
      return;
    }
  if (w->now >= r->deadline)
    request_expire (r);
  else if (r->state == R_DELAYED && w->now >= r->wake)
    request_route (r);
  else if (r->state == R_ADMIT || r->state == R_CONN)
    check_waiting (r);
  else if (r->state == R_RUN)
    check_running (r);
}

static void
walk_requests (worker_t *w)
{
  req_t *r = w->reqs;

  while (r)
    {
      w->next_req = r->next;
      check_request (r);
      r = w->next_req;
    }
  w->next_req = NULL;
}

/* ---- graceful shutdown ---- */

static void
drain_session (session_t *s, bool force)
{
  if (s->state == S_CLOSING || s->disconnected)
    return;
  bool idle
      = s->req == NULL && s->block == BLOCK_NONE && buf_len (&s->in) == 0;
  if (!idle && !force)
    return;
  if (s->state == S_STARTUP)
    session_close (s);
  else
    session_fatal (s, PG_SHUTDOWN, "");
}

static void
drain_worker (worker_t *w)
{
  if (w->drain_since == 0)
    {
      w->drain_since = w->now;
      log_event (EV_DRAIN, "worker=%d sessions=%d", w->index, w->nsessions);
    }
  if (w->now < w->drain_since + DRAIN_GRACE)
    return;
  if (w->listen.fd >= 0)
    {
      epoll_ctl (w->epoll, EPOLL_CTL_DEL, w->listen.fd, NULL);
      w->listen.fd = -1;
    }
  bool force = w->now >= w->drain_since + DRAIN_MAX;
  session_t *next;
  for (session_t *s = w->sessions; s; s = next)
    {
      next = s->next;
      drain_session (s, force);
    }
}

/* ---- reports to the control link ---- */

static void
report_db (const worker_t *w, const dbpool_t *d, report_db_t *to)
{
  const db_t *db = view_db (w->view, d->name);

  /* Without traffic there is no evidence either way: only failures make a
     database unreachable.  */
  *to = (report_db_t){ .reachable = db == NULL || db->failures == 0,
                       .primary = d->primary,
                       .ok_age = d->last_ok ? w->now - d->last_ok : -1,
                       .term = d->term,
                       .pos = d->pos,
                       .open = d->pool.open,
                       .demand = d->pool.busy + d->nwaiting
                                 + admit_state (d->admit).waiting + 1 };
  snprintf (to->name, sizeof to->name, STR_FMT, STR_ARG (d->name));
  snprintf (to->address, sizeof to->address, STR_FMT, STR_ARG (d->address));
}

static void
send_report (worker_t *w)
{
  int n = 0;

  for (dbpool_t *d = w->dbs; d; d = d->next)
    n++;
  report_t *r = calloc (1, sizeof *r + (size_t)n * sizeof r->db[0]);
  if (r == NULL)
    return;
  r->worker = w->index;
  r->cfg_term = w->cfg_term;
  r->cfg_index = w->cfg_index;
  for (dbpool_t *d = w->dbs; d; d = d->next)
    report_db (w, d, &r->db[r->ndbs++]);
  if (!ring_put (w->in->reports, r, NULL))
    free (r);
}

void
worker_tick (worker_t *w)
{
  /* Set first: the calls below may set an earlier tick.  */
  w->next_tick = w->now + (w->nreqs ? TICK : TICK_IDLE);
  walk_requests (w);
  for (dbpool_t *d = w->dbs; d; d = d->next)
    dbpool_tick (d);
  if (w->now >= w->next_report)
    {
      w->next_report = w->now + REPORT_INTERVAL;
      dbpool_limits (w);
      send_report (w);
    }
  if (instance_stopping (w->in))
    drain_worker (w);
}
