#include "worker.h"

#include <string.h>

enum
{
  STATUS_INTERVAL = 200, /* ms without an answer from the database after which
                            an idle connection queries the status */
  MIN_CONNS = 1          /* connections kept open to each database */
};

/* ---- groups ---- */

group_state_t *
group_get (worker_t *w, str_t name)
{
  for (group_state_t *g = w->groups; g; g = g->next)
    if (str_eq (g->name, name))
      return g;
  group_state_t *g = apr_pcalloc (w->pool, sizeof *g);
  g->name = str_dup (w->pool, name);
  g->next = w->groups;
  w->groups = g;
  return g;
}

/* Requests that wait at the same time share one sample.  */
void
barrier_request (req_t *r)
{
  worker_t *w = r->w;
  group_state_t *g = r->group;

  r->state = R_BARRIER;
  if (g->sampling)
    return;
  g->sampling = true;
  g->sampled = w->now;
  counter_add (w->stats.barriers, 1);
  req_t *b = request_new (w);
  b->group = g;
  b->route = r->route;
  b->arrived = w->now;
  b->db = dbpool_get (w, r->route.db);
  dbpool_queue (b->db, b, true);
  dbpool_dispatch (b->db);
}

void
barrier_done (group_state_t *g, worker_t *w)
{
  g->sampling = false;
  for (req_t *r = w->reqs; r; r = r->next)
    if (r->state == R_BARRIER && r->group == g)
      {
        r->state = R_DELAYED;
        r->wake = w->now;
      }
  w->next_tick = w->now;
}

/* ---- pools ---- */

dbpool_t *
dbpool_find (worker_t *w, str_t name)
{
  for (dbpool_t *d = w->dbs; d; d = d->next)
    if (str_eq (d->name, name))
      return d;
  return NULL;
}

/* Connections to the old address are not reused.  */
static void
change_address (dbpool_t *d, str_t address)
{
  d->address = str_dup (d->w->pool, address);
  for (int i = 0; i < POOL_MAX; i++)
    if (d->conn[i])
      d->conn[i]->unusable = true;
  for (int slot; (slot = pool_take (&d->pool, 1, d->w->now)) >= 0;)
    conn_close (d->conn[slot]);
}

dbpool_t *
dbpool_get (worker_t *w, const db_t *db)
{
  dbpool_t *d = dbpool_find (w, db->name);

  if (d == NULL)
    {
      int queue = w->cfg ? w->cfg->limits.queue : CONF_DEFAULT_QUEUE;
      d = apr_pcalloc (w->pool, sizeof *d);
      d->w = w;
      d->name = str_dup (w->pool, db->name);
      d->group = str_dup (w->pool, db->group);
      d->address = str_dup (w->pool, db->address);
      d->waiting_end = &d->waiting;
      pool_init (&d->pool);
      d->admit = admit_new (w->pool, (admit_conf_t){ queue, 0 });
      d->next = w->dbs;
      w->dbs = d;
    }
  else if (!str_eq (d->address, db->address) && db->address.n)
    change_address (d, db->address);
  d->usable = db->state == DB_ACTIVE && d->address.n;
  return d;
}

/* This worker's share of a limit of the process.  */
static int
share (const worker_t *w, int limit)
{
  int n = w->in->nworkers;

  return limit / n + (w->index < limit % n);
}

void
dbpool_limits (worker_t *w)
{
  for (dbpool_t *d = w->dbs; d; d = d->next)
    {
      int limit = share (w, view_conn_limit (w->view, d->name, w->now));
      if (limit == d->pool.limit)
        continue;
      pool_limit (&d->pool, limit);
      admit_set_cap (d->admit, d->pool.limit);
      dbpool_start_admitted (d);
    }
}

/* ---- queue for connections ---- */

void
dbpool_queue (dbpool_t *d, req_t *r, bool first)
{
  r->state = R_CONN;
  d->nwaiting++;
  if (first)
    {
      r->wait_next = d->waiting;
      d->waiting = r;
      if (r->wait_next == NULL)
        d->waiting_end = &r->wait_next;
      return;
    }
  r->wait_next = NULL;
  *d->waiting_end = r;
  d->waiting_end = &r->wait_next;
}

void
dbpool_unqueue (dbpool_t *d, req_t *r)
{
  for (req_t **at = &d->waiting; *at; at = &(*at)->wait_next)
    if (*at == r)
      {
        *at = r->wait_next;
        if (*at == NULL)
          d->waiting_end = at;
        d->nwaiting--;
        return;
      }
}

/* The route was chosen before the wait in the queue, so the database may have
   become unusable or the lease may have expired since.  */
static bool
route_holds (const dbpool_t *d, const req_t *r)
{
  if (!d->usable)
    return false;
  return r->route.kind != ROUTE_PRIMARY
         || view_lease_valid (r->w->view, r->group->name, r->route.term,
                              r->w->now);
}

static void
assign (dbpool_t *d, req_t *r, int slot)
{
  conn_t *c = d->conn[slot];

  c->owner = (uint64_t)(uintptr_t)r;
  c->state = C_RUN;
  c->since = d->w->now;
  if (r->s == NULL)
    {
      conn_query_status (c, r);
      return;
    }
  c->admitted = true;
  r->conn = c;
  request_run (r);
}

static void
open_conns (dbpool_t *d, int want)
{
  for (; want > 0; want--)
    {
      int slot = pool_open (&d->pool, d->w->now);
      if (slot < 0)
        return;
      conn_open (d, slot);
    }
}

void
dbpool_dispatch (dbpool_t *d)
{
  while (d->waiting && (d->pool.nidle > 0 || !d->usable))
    {
      req_t *r = d->waiting;
      if (r->s && !route_holds (d, r))
        {
          request_detach (r);
          r->state = R_DELAYED;
          r->wake = d->w->now;
          d->w->next_tick = d->w->now;
          continue;
        }
      if (d->pool.nidle == 0)
        break;
      dbpool_unqueue (d, r);
      assign (d, r, pool_take (&d->pool, (uint64_t)(uintptr_t)r, d->w->now));
    }
  open_conns (d, d->nwaiting - d->pool.connecting);
}

void
dbpool_start_admitted (dbpool_t *d)
{
  admit_action_t a;

  while ((a = admit_next (d->admit, d->w->now)).kind != ADMIT_NOTHING)
    {
      req_t *r = (req_t *)(uintptr_t)a.id;
      if (a.kind == ADMIT_START)
        dbpool_queue (d, r, false);
      else
        {
          r->state = R_START;
          request_refuse (r, a.kind == ADMIT_FULL ? PG_OVERLOAD : PG_DEADLINE,
                          "");
        }
    }
  dbpool_dispatch (d);
}

/* The requests that wait for a connection to D can be routed again: none of
   them has been sent.  */
void
dbpool_failed (dbpool_t *d)
{
  worker_t *w = d->w;

  view_db_failed (w->view, d->name, w->now);
  while (d->waiting)
    {
      req_t *r = d->waiting;
      if (r->s == NULL)
        {
          group_state_t *g = r->group;
          dbpool_unqueue (d, r);
          request_free (r);
          barrier_done (g, w);
          continue;
        }
      request_detach (r);
      r->state = R_DELAYED;
      r->wake = w->now;
    }
  w->next_tick = w->now;
}

/* ---- maintenance ---- */

static void
close_surplus (dbpool_t *d)
{
  int slot;

  while ((slot = pool_surplus (&d->pool, d->usable ? MIN_CONNS : 0,
                               d->usable ? IDLE_TIMEOUT : 0, d->w->now))
         >= 0)
    conn_close (d->conn[slot]);
}

/* Closes a connection that does not answer; opening a new one shows whether
   the database itself answers.  */
static void
check_timeout (dbpool_t *d, conn_t *c)
{
  worker_t *w = d->w;
  msec_t age = w->now - c->since;

  if (c->state == C_CONNECT && age > CONNECT_TIMEOUT)
    {
      conn_close (c);
      dbpool_failed (d);
    }
  else if ((c->state == C_STATUS || c->state == C_RESET)
           && age > CHECK_TIMEOUT)
    {
      req_t *r = c->req;
      log_event (EV_CONNECTION_SILENT, "database=" STR_FMT, STR_ARG (d->name));
      conn_close (c);
      if (r)
        {
          group_state_t *g = r->group;
          request_free (r);
          barrier_done (g, w);
        }
      dbpool_failed (d);
    }
}

static void
ping (dbpool_t *d, msec_t age)
{
  int slot = pool_take_oldest (&d->pool, 1, age, d->w->now);

  if (slot < 0)
    return;
  conn_t *c = d->conn[slot];
  c->owner = 1;
  d->last_ping = d->w->now;
  conn_query_status (c, NULL);
}

void
dbpool_tick (dbpool_t *d)
{
  msec_t now = d->w->now;

  for (int i = 0, seen = 0; i < POOL_MAX && seen < d->pool.open; i++)
    if (d->conn[i])
      {
        seen++;
        check_timeout (d, d->conn[i]);
      }
  close_surplus (d);
  msec_t wake = admit_wake_time (d->admit);
  if (wake >= 0 && now >= wake)
    dbpool_start_admitted (d);
  if (d->waiting)
    dbpool_dispatch (d);
  if (!d->usable)
    return;
  if (d->pool.open < MIN_CONNS)
    open_conns (d, 1);
  if (now - d->last_ok > STATUS_INTERVAL
      && now - d->last_ping > STATUS_INTERVAL / 2)
    ping (d, -1);
  else
    ping (d, PING_AFTER);
}
