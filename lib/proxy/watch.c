#include "local.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

static void watch_open (void *arg);
static void watch_input (void *arg);
static void watch_closed (void *arg, err_t *e);
static const stream_ops_t watch_ops
    = { watch_open, watch_input, watch_closed };

enum
{
  URGENT_SPACING = 40, /* ms between reports that cannot wait */
  DIAL_TIME = 500      /* ms to reach a control instance */
};

static void
lost (proxy_t *p, const char *cause)
{
  if (!p->watch.lost)
    log_event (EV_CONTROL_LOST, "cause=%s heard_ms=%lld", cause,
               (long long)(p->now - p->watch.heard));
  p->watch.lost = true;
  p->watch.stream = NULL;
  p->watch.roster = -1;
  p->watch.at++;
}

static void
watch_closed (void *arg, err_t *e)
{
  proxy_t *p = arg;

  p->now = loop_now (p->loop);
  lost (p, err_name (e->code));
  wake_at (p, p->now + URGENT_SPACING);
}

static void
hang_up (proxy_t *p, const char *cause)
{
  stream_close (p->watch.stream);
  lost (p, cause);
}

static void
report (proxy_t *p)
{
  watcher_t *w = &p->watch;
  reachability_t v[64];
  size_t n = 0;
  watch_t m = { .name = p->conf.name,
                .seq = ++w->seq,
                .version = p->setup ? p->setup->version : 0,
                .roster = w->roster,
                .boot = w->boot,
                .zone = p->conf.zone };

  if (forward_offers (p))
    m.address = p->conf.peers;
  w->offered = m.address.n > 0;

  for (service_t *s = p->services; s && n < 64; s = s->next)
    for (db_t *d = s->dbs; d && n < 64; d = d->next)
      if ((d == s->leader || d->primary) && (d->ok_at >= 0 || d->fail_at >= 0))
        v[n++] = (reachability_t){
          .service = str_of (s->name),
          .id = str_of (d->id),
          .ok_age = d->ok_at < 0 ? -1 : p->now - d->ok_at,
          .fail_age = d->fail_at < 0 ? -1 : p->now - d->fail_at,
        };
  m.reachability = (list_t){ v, n };
  rpc_encode (stream_out (w->stream), MSG_WATCH, &m);
  stream_flush (w->stream);
  w->asked = p->now;
  w->urgent = false;
}

static void
watch_open (void *arg)
{
  proxy_t *p = arg;

  p->now = loop_now (p->loop);
  /* The silence of the instance before is not that of this one.  */
  p->watch.heard = p->now;
  report (p);
}

static bool
same_list (const watcher_t *w, const watch_update_t *n)
{
  size_t found = 0;

  for (size_t i = 0; i < n->control.n; i++)
    for (size_t j = 0; j < w->n; j++)
      found += str_eq (w->address[j],
                       LIST_AT (n->control, member_t, i)->address);
  return n->control.n == w->n && found == w->n;
}

/* Copies the addresses of the instances that are in the own availability zone,
   or of those that are not; returns their number.  */
static size_t
copy_list (proxy_t *p, apr_pool_t *pool, const watch_update_t *n, bool near,
           str_t *out)
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

/* Keeps the addresses of the control instances that the news name, those of
   the own availability zone first, and moves to one of these: reports stay
   inside the zone.  */
static void
learn_control (proxy_t *p, const watch_update_t *n)
{
  watcher_t *w = &p->watch;
  apr_pool_t *pool;

  if (n->control.n == 0 || same_list (w, n))
    return;
  apr_pool_create (&pool, p->pool);
  w->address = apr_palloc (pool, n->control.n * sizeof *w->address);
  w->n = copy_list (p, pool, n, true, w->address);
  size_t near = w->n;
  w->n += copy_list (p, pool, n, false, w->address + near);
  if (w->pool)
    apr_pool_destroy (w->pool);
  w->pool = pool;
  w->at = 0;
  if (near == 0 || w->stream == NULL
      || str_eq (w->address[0], str_of (w->dialled)))
    return;
  stream_close (w->stream);
  w->stream = NULL;
  w->roster = -1;
}

static void
take_news (proxy_t *p, const watch_update_t *n)
{
  watcher_t *w = &p->watch;

  w->heard = p->now;
  if (n->has_leader)
    w->led = p->now;
  if (w->lost)
    log_event (EV_CONTROL_UP, "version=%lld led=%d", (long long)n->version,
               n->has_leader);
  w->lost = false;
  if (n->full)
    w->roster = n->roster;
  w->boot = n->boot;
  fleet_news (p, n);
  /* The others wait for its endpoint.  */
  if (w->offered != forward_offers (p))
    w->urgent = true;
  learn_control (p, n);
  /* An instance that no quorum follows misses changes.  */
  if (!n->has_leader && w->stream && w->n > 1)
    hang_up (p, "no-leader");
}

static void
watch_input (void *arg)
{
  proxy_t *p = arg;
  watcher_t *w = &p->watch;
  str_t body;
  err_t e = { 0 };
  int got = 0;

  p->now = loop_now (p->loop);
  while (w->stream && (got = rpc_frame (stream_in (w->stream), &body, &e)) > 0)
    {
      apr_pool_t *pool;
      msgtype_t type;
      stream_t *s = w->stream;
      apr_pool_create (&pool, p->pool);
      watch_update_t *n = rpc_decode (pool, body, &type, &e);
      if (n && type == MSG_WATCH_UPDATE)
        take_news (p, n);
      else
        got = -1;
      buf_take (stream_in (s), body.n + 4);
      apr_pool_destroy (pool);
      if (got < 0 || w->stream != s)
        break;
    }
  if (got < 0 && w->stream)
    hang_up (p, "protocol-violation");
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
  /* The instances last heard of, and now and then those of the settings.  */
  size_t i = w->at % all;
  address = i < w->n ? w->address[i] : p->conf.control[i - w->n];
  w->asked = p->now;
  snprintf (w->dialled, sizeof w->dialled, STR_FMT, STR_ARG (address));
  w->stream = stream_dial (p->loop, address, SILENCE, &watch_ops, p, &e);
  if (w->stream == NULL)
    lost (p, err_name (e.code));
}

void
watch_turn (proxy_t *p, msec_t now)
{
  watcher_t *w = &p->watch;

  if (w->stream == NULL)
    {
      if (now - w->asked >= URGENT_SPACING)
        dial (p);
      wake_at (p, now + URGENT_SPACING);
      return;
    }
  if (!stream_connected (w->stream))
    {
      if (now - w->asked >= DIAL_TIME)
        hang_up (p, "timeout");
      wake_at (p, now + URGENT_SPACING);
      return;
    }
  if (now - w->heard >= WATCH_LOST && now - w->asked < WATCH_LOST
      && w->asked > w->heard + WATCH_EVERY)
    {
      hang_up (p, "silent");
      wake_at (p, now);
      return;
    }
  if (now - w->asked >= WATCH_EVERY
      || (w->urgent && now - w->asked >= URGENT_SPACING))
    report (p);
  wake_at (p, w->asked + (w->urgent ? URGENT_SPACING : WATCH_EVERY));
}
