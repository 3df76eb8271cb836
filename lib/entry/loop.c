#include "worker.h"

#include <errno.h>
#include <stdio.h>
#include <stdlib.h>
#include <sys/epoll.h>
#include <time.h>
#include <unistd.h>

enum
{
  EVENTS_MAX = 256,      /* events read at once */
  INBOX_SIZE = 1024,     /* messages waiting for a worker */
  SQL_CACHE_SIZE = 4096, /* statements */
  SPIN_US = 25,          /* us of polling before sleeping */
  SPIN_EVENTS_MAX = 2 /* most events in a round after which the loop polls */
};

double
usec_now (void)
{
  struct timespec ts;

  clock_gettime (CLOCK_MONOTONIC, &ts);
  return (double)ts.tv_sec * 1e6 + (double)ts.tv_nsec / 1e3;
}

void
io_watch (worker_t *w, io_t *io, uint32_t events)
{
  struct epoll_event ev = { .events = events, .data.ptr = io };

  if (io->events == events && events)
    return;
  if (epoll_ctl (w->epoll, EPOLL_CTL_MOD, io->fd, &ev) && errno == ENOENT)
    epoll_ctl (w->epoll, EPOLL_CTL_ADD, io->fd, &ev);
  io->events = events;
}

static counter_t *
refusal_counter (pgrefusal_t r)
{
  static const char *const names[] = {
#define X(name, code, run, text) #name,
    PG_REFUSALS (X)
#undef X
  };
  char name[120];

  snprintf (name, sizeof name,
            "pimentopost_refused_total{reason=\"%s\",sqlstate=\"%s\"}",
            names[r] + 3, pg_refusal_code (r));
  return counter_get (name, "requests refused");
}

static void
stats_init (stats_t *s)
{
  s->requests = counter_get ("pimentopost_requests_total", "requests");
  s->replica_reads = counter_get (
      "pimentopost_reads_total{database=\"replica\"}", "reads answered");
  s->primary_reads = counter_get (
      "pimentopost_reads_total{database=\"primary\"}", "reads answered");
  s->writes = counter_get ("pimentopost_writes_total", "commits confirmed");
  for (int i = 0; i < PG_NREFUSALS; i++)
    s->refusal[i] = refusal_counter ((pgrefusal_t)i);
  s->db_refused = counter_get (
      "pimentopost_refused_total{reason=\"database\"}", "requests refused");
  s->retries = counter_get ("pimentopost_retries_total", "requests repeated");
  s->unproven = counter_get ("pimentopost_unproven_total",
                             "reads that a database did not prove");
  s->barriers
      = counter_get ("pimentopost_barriers_total", "samples of a primary");
  s->sessions = counter_get ("pimentopost_sessions", "client connections");
  s->cancels = counter_get ("pimentopost_cancels_total", "cancel requests");
}

worker_t *
worker_new (instance_t *in, int index, int listen_fd)
{
  worker_t *w = apr_pcalloc (in->pool, sizeof *w);

  w->in = in;
  w->index = index;
  apr_pool_create (&w->pool, in->pool);
  w->epoll = epoll_create1 (EPOLL_CLOEXEC);
  rng_init (&w->rng, rng_system_seed ());
  w->view = view_new (w->pool, in->set->zone, &w->rng);
  w->sql = sql_cache_new (w->pool, SQL_CACHE_SIZE);
  w->stmts = stmts_new (w->pool);
  w->inbox = ring_new (w->pool, INBOX_SIZE);
  w->cfg_term = w->cfg_index = -1;
  retry_init (&w->retry);
  stats_init (&w->stats);
  w->scratch = apr_palloc (w->pool, READ_SIZE);
  w->listen = (io_t){ .fd = listen_fd, .kind = IO_LISTEN };
  w->inbox_io = (io_t){ .fd = ring_fd (w->inbox), .kind = IO_INBOX };
  w->now = msec_now ();
  /* A new connection wakes up one worker, not all.  */
  struct epoll_event ev
      = { .events = EPOLLIN | EPOLLEXCLUSIVE, .data.ptr = &w->listen };
  epoll_ctl (w->epoll, EPOLL_CTL_ADD, listen_fd, &ev);
  io_watch (w, &w->inbox_io, EPOLLIN);
  return w;
}

static void
load_config (worker_t *w, const grant_t *g)
{
  apr_pool_t *pool;
  err_t e = { 0 };
  char line[400];

  apr_pool_create (&pool, w->pool);
  config_t *c = config_parse (pool, g->cfg, &e);
  if (c == NULL)
    {
      err_line (&e, line, sizeof line);
      log_event (EV_CONFIG_REFUSED, "index=%lld cause=%s",
                 (long long)g->cfg_index, line);
      apr_pool_destroy (pool);
      return;
    }
  if (w->cfg_pool)
    apr_pool_destroy (w->cfg_pool);
  w->cfg_pool = pool;
  w->cfg = c;
  if (w->index == 0)
    log_event (EV_CONFIG, "version=%lld raft_term=%lld index=%lld",
               (long long)g->cfg_version, (long long)g->cfg_term,
               (long long)g->cfg_index);
}

/* Routes delayed requests again at the next tick, as they may find a primary
   or a database now.  */
static void
wake_delayed (worker_t *w)
{
  for (req_t *r = w->reqs; r; r = r->next)
    if (r->state == R_DELAYED)
      r->wake = w->now;
  w->next_tick = w->now;
}

void
worker_apply_grant (worker_t *w, const grant_t *g)
{
  bool cfg_new;
  err_t e = { 0 };

  if (!view_apply_grant (w->view, g, w->now, &cfg_new, &e))
    {
      log_event (EV_GRANT_STALE, "detail=%s", e.detail);
      return;
    }
  if (cfg_new)
    load_config (w, g);
  if (cfg_new || g->cfg_index == w->cfg_index)
    {
      w->cfg_term = g->cfg_term;
      w->cfg_index = g->cfg_index;
      w->cfg_version = g->cfg_version;
      w->cfg_confirmed = g->cfg_confirmed;
    }
  for (size_t i = 0; view_db_at (w->view, i); i++)
    dbpool_get (w, view_db_at (w->view, i));
  dbpool_limits (w);
  wake_delayed (w);
}

static void
read_inbox (worker_t *w)
{
  inbox_msg_t *m;

  while ((m = ring_get (w->inbox, 0)) != NULL)
    {
      if (m->cancel)
        session_cancel (w, m->pid, m->secret);
      else
        {
          worker_apply_grant (w, m->grant);
          apr_pool_destroy (m->pool);
        }
      free (m);
    }
}

static void
dispatch (worker_t *w, struct epoll_event *ev)
{
  io_t *io = ev->data.ptr;

  switch (io->kind)
    {
    case IO_LISTEN:
      session_accept (w);
      break;
    case IO_SESSION:
      session_event ((session_t *)(void *)io, ev->events);
      break;
    case IO_CONN:
      conn_event ((conn_t *)(void *)io, ev->events);
      break;
    case IO_INBOX:
      read_inbox (w);
      break;
    }
}

static void
process_all (worker_t *w)
{
  while (w->process_sessions)
    {
      session_t *s = w->process_sessions;
      w->process_sessions = s->process_next;
      s->process_queued = false;
      if (!s->closed)
        session_process (s);
    }
}

/* Output is written once a round, so that several messages share one system
   call.  */
static void
flush_all (worker_t *w)
{
  while (w->flush_conns || w->flush_sessions)
    {
      while (w->flush_conns)
        {
          conn_t *c = w->flush_conns;
          w->flush_conns = c->flush_next;
          c->flush_queued = false;
          if (!c->closed)
            conn_flush (c);
        }
      process_all (w);
      while (w->flush_sessions)
        {
          session_t *s = w->flush_sessions;
          w->flush_sessions = s->flush_next;
          s->flush_queued = false;
          if (!s->closed)
            session_flush (s);
        }
    }
}

/* Closes the remaining connections and frees recycled memory.  */
static void
free_all (worker_t *w)
{
  for (dbpool_t *d = w->dbs; d; d = d->next)
    for (int i = 0; i < POOL_MAX; i++)
      if (d->conn[i])
        conn_close (d->conn[i]);
  session_free_closed (w);
  conn_free_closed (w);
  while (w->nfree_bufs)
    free (w->free_bufs[--w->nfree_bufs]);
  while (w->free_reqs)
    {
      req_t *r = w->free_reqs;
      w->free_reqs = r->next;
      free (r->msg);
      free (r->op);
      free (r);
    }
}

static bool
is_drained (worker_t *w)
{
  return w->drain_since && w->now >= w->drain_since + DRAIN_GRACE
         && w->nsessions == 0;
}

static int
timeout (const worker_t *w)
{
  msec_t left = w->next_tick - w->now;

  return left < 0 ? 0 : (int)left;
}

/* Waking up from a sleep takes about 10 us, as long as a whole exchange with a
   database on the same machine.  Under low load the loop therefore polls for
   SPIN_US first, as the next message of a running request may follow soon.  */
static int
wait_events (worker_t *w, struct epoll_event *ev)
{
  int n = epoll_wait (w->epoll, ev, EVENTS_MAX, 0);

  if (n == 0 && w->spin)
    for (double end = usec_now () + SPIN_US; n == 0 && usec_now () < end;)
      n = epoll_wait (w->epoll, ev, EVENTS_MAX, 0);
  if (n == 0)
    n = epoll_wait (w->epoll, ev, EVENTS_MAX, timeout (w));
  w->spin = n > 0 && n <= SPIN_EVENTS_MAX;
  return n;
}

bool
worker_run (void *arg, err_t *e)
{
  worker_t *w = arg;
  struct epoll_event ev[EVENTS_MAX];

  (void)e;
  while (!is_drained (w))
    {
      int n = wait_events (w, ev);
      w->now = msec_now ();
      for (int i = 0; i < n; i++)
        dispatch (w, &ev[i]);
      process_all (w);
      if (w->now >= w->next_tick)
        worker_tick (w);
      process_all (w);
      flush_all (w);
      session_free_closed (w);
      conn_free_closed (w);
    }
  free_all (w);
  return true;
}

static void
stop (void *arg)
{
  worker_t *w = arg;

  /* Workers check this at their next tick; the health check fails at once.  */
  __atomic_store_n (&w->in->stopping, 1, __ATOMIC_RELEASE);
}

duty_t
worker_duty (worker_t *w)
{
  return (duty_t){ "worker", worker_run, stop, w };
}

bool
instance_stopping (const instance_t *in)
{
  return __atomic_load_n (&in->stopping, __ATOMIC_ACQUIRE) != 0;
}
