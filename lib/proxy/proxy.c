#include "local.h"

#include <stdlib.h>
#include <sys/socket.h>
#include <unistd.h>

enum
{
  /* ms between sweeps while a statement is forwarded or a stop runs */
  SWEEP_INTERVAL = 100,
  ACCEPTS_MAX = 64 /* connections accepted in one turn; the rest in the next:
                      statements go on while a crowd connects */
};

void
wake_at (proxy_t *p, msec_t at)
{
  if (p->wake < 0 || at < p->wake)
    p->wake = at;
}

static void
accept_all (proxy_t *p, int listener, bool from_peer)
{
  p->now = loop_now (p->loop);
  for (int i = 0; i < ACCEPTS_MAX; i++)
    {
      int fd = accept4 (listener, NULL, NULL, SOCK_NONBLOCK | SOCK_CLOEXEC);
      if (fd < 0)
        return;
      if (!limits_accept (p, from_peer))
        {
          close (fd);
          continue;
        }
      session_open (p, fd, from_peer);
      wake_at (p, p->now + p->conf.startup_timeout);
    }
}

static void
on_client (void *arg, uint32_t events)
{
  proxy_t *p = arg;

  (void)events;
  accept_all (p, p->listener, false);
}

static void
on_peer (void *arg, uint32_t events)
{
  proxy_t *p = arg;

  (void)events;
  accept_all (p, p->peer_listener, true);
}

/* Bytes that the kernel keeps while a session does not read count as memory of
   the process, and with few to send it shows soon that a client does not
   read.  */
static int
listen_bounded (str_t address, err_t *e)
{
  const int bytes = STREAM_SOCKET_BUFFER;
  int fd = rpc_listen (address, e);

  if (fd >= 0)
    {
      setsockopt (fd, SOL_SOCKET, SO_RCVBUF, &bytes, sizeof bytes);
      setsockopt (fd, SOL_SOCKET, SO_SNDBUF, &bytes, sizeof bytes);
    }
  return fd;
}

proxy_t *
proxy_new (apr_pool_t *pool, loop_t *l, const proxy_conf_t *c, err_t *e)
{
  proxy_t *p = apr_pcalloc (pool, sizeof *p);

  p->pool = pool;
  p->loop = l;
  p->conf = *c;
  p->service_by_name = apr_hash_make (pool);
  p->tenant_by_name = apr_hash_make (pool);
  p->now = p->started = loop_now (l);
  p->stop_at = p->cut_off_at = -1;
  p->watch.has_leader_at = p->now;
  p->wake = p->now;
  p->watch.roster = -1;
  p->watch.sent_at = p->now - 1000;
  p->watch.updated_at = p->now;
  rng_init (&p->watch.rng, rng_system_seed ());
  p->watch.at = (size_t)rng_below (&p->watch.rng, 1024);
  metrics_new (p);
  if (!gate_new (p, e))
    return NULL;
  limits_new (p);
  p->listener = listen_bounded (c->listen, e);
  if (p->listener < 0 || !loop_watch (l, p->listener, on_client, p, e))
    return NULL;
  if (c->peers_listen.n == 0)
    return p;
  p->peer_listener = listen_bounded (c->peers_listen, e);
  return p->peer_listener >= 0
                 && loop_watch (l, p->peer_listener, on_peer, p, e)
             ? p
             : NULL;
}

void
proxy_set_control (proxy_t *p, const str_t *address, size_t n)
{
  p->conf.ncontrol = n;
  p->conf.control = apr_palloc (p->pool, n * sizeof *address + 1);
  for (size_t i = 0; i < n; i++)
    p->conf.control[i] = str_dup (p->pool, address[i]);
}

bool
proxy_ready (const proxy_t *p)
{
  return atomic_load (&p->ready);
}

void
proxy_stop (proxy_t *p)
{
  if (p->stop_at >= 0)
    return;
  p->stop_at = loop_now (p->loop);
  atomic_store (&p->ready, false);
  log_event (EV_DRAIN_BEGIN, "sessions=%d", p->nsession);
}

msec_t
proxy_turn (void *arg, msec_t now)
{
  proxy_t *p = arg;
  bool due = p->wake >= 0 && now >= p->wake;

  p->now = now;
  links_free_closed (p);
  if (due)
    p->wake = -1;
  watch_turn (p, now);
  gate_turn (p, now);
  links_warm (p, now);
  if (due)
    {
      sessions_sweep (p, now);
      for (service_t *s = p->services; s; s = s->next)
        {
          links_sweep (p, s, now);
          statement_place_queued (p, s);
        }
    }
  if (p->stop_at >= 0)
    stop_turn (p, now);
  health_turn (p, now);
  limits_turn (p);
  for (session_t *s = p->sessions; s; s = s->next)
    if (s->forward && s->forward->active)
      wake_at (p, now + SWEEP_INTERVAL);
    else if (s->req.active)
      wake_at (p,
               s->req.attempt_end > now && s->req.attempt_end < s->req.deadline
                   ? s->req.attempt_end
                   : s->req.deadline);
  wake_at (p, now + (p->stop_at >= 0 ? SWEEP_INTERVAL : 3 * SWEEP_INTERVAL));
  for (service_t *s = p->services; s; s = s->next)
    if (s->waiting)
      wake_at (p, now + SWEEP_INTERVAL / 2);
  return p->wake;
}
