#include "local.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* Reports to a control instance and receives its updates of the fleet.  */

static void watch_open (void *arg);
static void watch_input (void *arg);
static void watch_closed (void *arg, err_t *e);
static const stream_ops_t watch_ops
    = { watch_open, watch_input, watch_closed };

enum
{
  URGENT_INTERVAL = 40, /* ms between reports marked urgent */
  PATIENCE_MAX = 2,     /* the silence limit doubles so often at most */
  DIAL_TIMEOUT = 200,   /* ms to connect to a control instance; the longest
                           round trip between regions takes 40 */
  /* Attempts in a row that got no update before the next is delayed: the other
     instances may be down, and the next one may answer.  */
  FREE_ATTEMPTS = 2,
  DIAL_BACKOFF_MIN = 100, /* ms, doubles with each further attempt */
  DIAL_BACKOFF_MAX = 1600,
  /* ms with updates until the patience with a silent instance shrinks.  */
  STEADY_TIME = 5000
};

/* Delay in ms before the next connection to a control instance.  It differs
   between entry instances: all of them lose a failed control instance at the
   same time.  */
static msec_t
dial_delay (watcher_t *w)
{
  msec_t d = DIAL_BACKOFF_MIN;

  if (w->attempts < FREE_ATTEMPTS)
    return URGENT_INTERVAL;
  for (int i = FREE_ATTEMPTS; i < w->attempts && d < DIAL_BACKOFF_MAX; i++)
    d *= 2;
  return d / 2 + (msec_t)rng_below (&w->rng, (uint64_t)d);
}

/* Time in ms without an update until another control instance is tried.  One
   that is late since it has much to do would get more to do by each entry
   instance that comes from another, so the time doubles with each move and
   shrinks again once updates come steadily.  */
static msec_t
silence_limit (const watcher_t *w)
{
  return UPDATE_TIMEOUT << w->patience;
}

static void
control_lost (proxy_t *p, const char *cause)
{
  if (!p->watch.lost)
    log_event (EV_CONTROL_LOST, "cause=%s heard_ms=%lld", cause,
               (long long)(p->now - p->watch.updated_at));
  p->watch.lost = true;
  p->watch.stream = NULL;
  p->watch.roster = -1;
  p->watch.at++;
  p->watch.attempts++;
  p->watch.dial_at = p->now + dial_delay (&p->watch);
}

static void
watch_closed (void *arg, err_t *e)
{
  proxy_t *p = arg;

  p->now = loop_now (p->loop);
  control_lost (p, err_name (e->code));
  wake_at (p, p->watch.dial_at);
}

static void
disconnect (proxy_t *p, const char *cause)
{
  stream_close (p->watch.stream);
  control_lost (p, cause);
}

static void
send_report (proxy_t *p)
{
  watcher_t *w = &p->watch;
  reachability_t v[64];
  size_t n = 0;
  watch_t m = { .name = p->conf.name,
                .seq = ++w->seq,
                .version = p->setup ? p->setup->version : 0,
                .roster = w->roster,
                .boot = w->boot,
                .zone = p->conf.zone,
                .takes_changes = true,
                .updates = w->updates };

  if (endpoint_offered (p))
    m.address = p->conf.peers;
  w->endpoint_sent = m.address.n > 0;

  for (service_t *s = p->services; s && n < 64; s = s->next)
    for (db_t *d = s->dbs; d && n < 64; d = d->next)
      if ((d == s->leader || d->primary) && (d->ok_at >= 0 || d->fail_at >= 0))
        v[n++] = (reachability_t){
          .service = s->name,
          .id = str_of (d->id),
          .ok_age = d->ok_at < 0 ? -1 : p->now - d->ok_at,
          .fail_age = d->fail_at < 0 ? -1 : p->now - d->fail_at,
        };
  m.reachability = (list_t){ v, n };
  rpc_encode (stream_out (w->stream), MSG_WATCH, &m);
  stream_flush (w->stream);
  w->sent_at = p->now;
  w->retry_at = 0;
  w->urgent = false;
}

static void
watch_open (void *arg)
{
  proxy_t *p = arg;

  p->now = loop_now (p->loop);
  /* The time without updates starts again with each instance.  */
  p->watch.updates = 0;
  p->watch.updated_at = p->watch.heard_at = p->watch.opened_at = p->now;
  send_report (p);
}

static bool
same_control (const watcher_t *w, const watch_update_t *n)
{
  size_t found = 0;

  for (size_t i = 0; i < n->control.n; i++)
    for (size_t j = 0; j < w->n; j++)
      found += str_eq (w->address[j],
                       LIST_AT (n->control, member_t, i)->address);
  return n->control.n == w->n && found == w->n;
}

/* Copies the addresses of the control instances in this availability zone
   (NEAR), or of the others; returns their number.  */
static size_t
copy_addresses (proxy_t *p, apr_pool_t *pool, const watch_update_t *n,
                bool near, str_t *out)
{
  size_t k = 0;

  for (size_t i = 0; i < n->control.n; i++)
    {
      const member_t *m = LIST_AT (n->control, member_t, i);
      if (str_eq (m->zone, p->conf.zone) == near)
        out[k++] = str_dup (pool, m->address);
    }
  return k;
}

/* Stores the addresses of the control instances in N, those of this
   availability zone first, and reconnects to one of these, so that reports
   stay inside the zone.  */
static void
update_control (proxy_t *p, const watch_update_t *n)
{
  watcher_t *w = &p->watch;
  apr_pool_t *pool;

  if (n->control.n == 0 || same_control (w, n))
    return;
  apr_pool_create (&pool, p->pool);
  w->address = apr_palloc (pool, n->control.n * sizeof *w->address);
  w->n = copy_addresses (p, pool, n, true, w->address);
  size_t near = w->n;
  w->n += copy_addresses (p, pool, n, false, w->address + near);
  if (w->pool)
    apr_pool_destroy (w->pool);
  w->pool = pool;
  w->at = 0;
  if (near == 0 || w->stream == NULL
      || str_eq (w->address[0], str_of (w->dialed)))
    return;
  stream_close (w->stream);
  w->stream = NULL;
  w->roster = -1;
}

/* The time that a control instance asks for, within what a report takes.  */
static msec_t
retry_delay (int64_t asked)
{
  return asked < REPORT_INTERVAL ? asked : REPORT_INTERVAL;
}

static void
apply_update (proxy_t *p, const watch_update_t *n)
{
  watcher_t *w = &p->watch;

  w->updated_at = p->now;
  if (n->has_leader)
    w->has_leader_at = p->now;
  if (w->lost)
    log_event (EV_CONTROL_UP, "version=%lld led=%d", (long long)n->version,
               n->has_leader);
  w->lost = false;
  w->attempts = 0;
  w->updates++;
  if (p->now - w->opened_at >= STEADY_TIME)
    w->patience = 0;
  /* Changes follow on the roster of the report before, or on a whole one.  */
  if (n->full || (w->roster >= 0 && w->boot == n->boot))
    w->roster = n->roster;
  w->boot = n->boot;
  if (n->retry_after > 0)
    {
      w->retry_at = p->now + retry_delay (n->retry_after);
      wake_at (p, w->retry_at);
    }
  fleet_update (p, n);
  /* Other instances wait for this one's endpoint.  */
  if (w->endpoint_sent != endpoint_offered (p))
    w->urgent = true;
  update_control (p, n);
  /* A control instance without a leader misses changes.  */
  if (!n->has_leader && w->stream && w->n > 1)
    disconnect (p, "no-leader");
}

static void
watch_input (void *arg)
{
  proxy_t *p = arg;
  watcher_t *w = &p->watch;
  str_t body;
  err_t e = { 0 };
  int got = 0;

  p->now = w->heard_at = loop_now (p->loop);
  while (w->stream && (got = rpc_frame (stream_in (w->stream), &body, &e)) > 0)
    {
      apr_pool_t *pool;
      msgtype_t type;
      stream_t *s = w->stream;
      apr_pool_create (&pool, p->pool);
      watch_update_t *n = rpc_decode (pool, body, &type, &e);
      if (n && type == MSG_WATCH_UPDATE)
        apply_update (p, n);
      else
        got = -1;
      buf_take (stream_in (s), body.n + 4);
      apr_pool_destroy (pool);
      if (got < 0 || w->stream != s)
        break;
    }
  if (got < 0 && w->stream)
    disconnect (p, "protocol-violation");
}

static void
dial (proxy_t *p)
{
  watcher_t *w = &p->watch;
  str_t address;
  err_t e = { 0 };
  size_t all = w->n + p->conf.ncontrol;

  if (all == 0)
    return;
  /* In turn: the instances reported last, then those of the settings.  */
  size_t i = w->at % all;
  address = i < w->n ? w->address[i] : p->conf.control[i - w->n];
  w->sent_at = p->now;
  if (!str_copy (w->dialed, sizeof w->dialed, address))
    w->dialed[0] = '\0'; /* stream_dial refuses it */
  w->stream = stream_dial (p->loop, address, ACK_TIMEOUT, &watch_ops, p, &e);
  if (w->stream == NULL)
    control_lost (p, err_name (e.code));
}

void
watch_turn (proxy_t *p, msec_t now)
{
  watcher_t *w = &p->watch;

  if (w->stream == NULL)
    {
      if (now >= w->dial_at)
        dial (p);
      wake_at (p, w->stream ? now + URGENT_INTERVAL : w->dial_at);
      return;
    }
  if (!stream_connected (w->stream))
    {
      if (now - w->sent_at >= DIAL_TIMEOUT)
        disconnect (p, "timeout");
      wake_at (p, now + URGENT_INTERVAL);
      return;
    }
  /* The first update of a large fleet can take seconds on a slow link.  */
  if (now - w->heard_at >= silence_limit (w)
      && now - w->sent_at < UPDATE_TIMEOUT
      && w->sent_at > w->heard_at + REPORT_INTERVAL)
    {
      if (w->patience < PATIENCE_MAX)
        w->patience++;
      disconnect (p, "silent");
      wake_at (p, w->dial_at);
      return;
    }
  if (now - w->sent_at >= REPORT_INTERVAL
      || (w->urgent && now - w->sent_at >= URGENT_INTERVAL)
      || (w->retry_at && now >= w->retry_at))
    send_report (p);
  wake_at (p, w->sent_at + (w->urgent ? URGENT_INTERVAL : REPORT_INTERVAL));
}
