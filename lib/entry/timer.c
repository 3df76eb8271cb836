#include "worker.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/epoll.h>
#include <unistd.h>

enum
{
  BARRIER_MAX = 500, /* ms a barrier sample may wait for a connection */
  PROBE_EVERY = 500  /* ms between probes of one database */
};

/* A probe over a new connection tells a silent connection from a silent
   database.  */
static void
probe (req_t *r)
{
  dbpool_t *d = r->conn->db;

  r->probed = true;
  if (r->w->now - d->last_probe < PROBE_EVERY)
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
  bool checking = r->x.plan.check && !r->x.started && r->x.phase == 1;

  if (checking && now - r->sent > r->route.wait + CHECK_TIMEOUT)
    {
      /* The answer to the check takes no slot of the database, so that only
         a silent connection can be late with it.  */
      log_event (EV_CONNECTION_SILENT, "database=" STR_FMT,
                 STR_ARG (r->conn->db->name));
      view_failed (r->w->view, r->conn->db->name, now);
      request_conn_lost (r);
    }
  else if (!r->probed && now - r->progress > PROBE_AFTER)
    probe (r);
}

/* Whoever waits for a database that does not answer, or that is leaving, goes
   elsewhere instead of waiting there until the deadline.  */
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
      if (r->state == R_CONN && w->now - r->arrived > BARRIER_MAX)
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
drain_session (session_t *s, bool last)
{
  if (s->state == S_CLOSING || s->disconnected)
    return;
  bool between
      = s->req == NULL && s->block == BLOCK_NONE && buf_len (&s->in) == 0;
  if (!between && !last)
    return;
  if (s->state == S_STARTUP)
    session_close (s);
  else
    session_fatal (s, PG_SHUTDOWN, "");
}

static void
drain (worker_t *w)
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
  bool last = w->now >= w->drain_since + DRAIN_MAX;
  session_t *next;
  for (session_t *s = w->sessions; s; s = next)
    {
      next = s->next;
      drain_session (s, last);
    }
}

/* ---- reports to the control link ---- */

static void
report_db (const worker_t *w, const dbpool_t *d, report_db_t *to)
{
  const db_t *known = view_db (w->view, d->name);

  /* An instance without traffic has no opinion: only failures count as not
     reaching the database.  */
  *to = (report_db_t){ .reachable = known == NULL || known->failures == 0,
                       .primary = d->primary,
                       .ok_age = d->last_ok ? w->now - d->last_ok : -1,
                       .term = d->term,
                       .pos = d->pos,
                       .open = d->pool.open,
                       .want = d->pool.busy + d->nwaiting
                               + admit_state (d->admit).waiting + 1 };
  snprintf (to->name, sizeof to->name, STR_FMT, STR_ARG (d->name));
  snprintf (to->address, sizeof to->address, STR_FMT, STR_ARG (d->address));
}

static void
report (worker_t *w)
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
  /* Set first: what happens below may ask for an earlier tick.  */
  w->next_tick = w->now + (w->nreqs ? TICK : TICK_IDLE);
  walk_requests (w);
  for (dbpool_t *d = w->dbs; d; d = d->next)
    dbpool_tick (d);
  if (w->now >= w->next_report)
    {
      w->next_report = w->now + REPORT_INTERVAL;
      dbpool_limits (w);
      report (w);
    }
  if (instance_stopping (w->in))
    drain (w);
}
