#include "local.h"

/* Applies time limits to sessions, and closes them while the instance drains.
 */

static bool
idle_too_long (const session_t *s, msec_t now)
{
  const proxy_t *p = s->proxy;
  msec_t limit = p->setup ? p->setup->tx_idle : 0;

  return s->tx == TX_OPEN && s->link && !s->req.active && limit > 0
         && now - s->last_active >= limit;
}

/* Ends a session when its start-up message, or the first configuration, is
   late.  */
static bool
start_expired (session_t *s, msec_t now)
{
  proxy_t *p = s->proxy;
  buf_t *out = stream_out (s->stream);
  msec_t age = now - s->opened;

  if (!s->started && age >= p->conf.startup_timeout)
    {
      log_event (EV_STARTUP_TIMEOUT, "ms=%lld", (long long)age);
      p->conf.client->error (out, FAIL_TIMEOUT,
                             STR ("no start-up message in time"));
    }
  else if (p->setup == NULL && age >= SETUP_TIMEOUT)
    p->conf.client->error (out, FAIL_BUSY, STR ("no configuration yet"));
  else
    return false;
  session_end (s);
  return true;
}

/* Rolls back a transaction whose client has been idle for too long.  */
static void
expire_idle_tx (session_t *s, msec_t now)
{
  link_t *k = s->link;

  if (!idle_too_long (s, now))
    return;
  log_event (EV_TX_IDLE, "host=" STR_FMT " ms=%lld", STR_ARG (s->host),
             (long long)(now - s->last_active));
  s->tx_lost = true;
  link_release (s->proxy, k);
}

/* Closes a session without an open transaction if the instance drains.  */
static void
close_if_draining (session_t *s, msec_t now)
{
  proxy_t *p = s->proxy;

  if (s->tx != TX_NONE)
    return;
  if (s->from_peer && p->cut_off_at >= 0)
    {
      session_end (s);
      return;
    }
  /* Forwarding instances leave by themselves once control has told them, and
     a statement that is on its way here would end in doubt.  */
  if (s->from_peer && p->stop_at >= 0 && stop_phase (p, now) < STOP_REFUSE)
    return;
  if (p->close_quota == 0 || !stream_input_empty (s->stream))
    return;
  /* A close now would lose output that the client has not received.  Closed in
     the turn of its answer, the session has not got the next statement yet. */
  if (!stream_flush_now (s->stream))
    {
      wake_at (p, now + 1);
      return;
    }
  p->close_quota--;
  session_end (s);
}

/* Whether the caller of S may be refused: no answer of a database is due.  */
static bool
may_refuse (const session_t *s)
{
  return s->started && !(s->forward && s->forward->active)
         && (!s->req.active || s->req.waiting);
}

static void
sweep_one (session_t *s, msec_t now)
{
  if (start_expired (s, now) || limits_expire (s, now)
      || (may_refuse (s)
          && caller_check (s, s->req.active ? &s->req.op : NULL)
                 == CALLER_CLOSED))
    return;
  if (s->forward)
    {
      bool active = s->forward->active;
      forward_expire (s, now);
      if (active)
        return;
    }
  expire_idle_tx (s, now);
  if (s->req.active)
    statement_expire (s, now);
  else if (buf_len (stream_in (s->stream)))
    session_advance (s);
  else
    close_if_draining (s, now);
}

void
sessions_sweep (proxy_t *p, msec_t now)
{
  session_t *next;

  /* In batches, since the clients reconnect to other instances.  */
  if (!health_draining (p, now))
    p->close_quota = 0;
  else if (now - p->batch_start >= CLOSE_INTERVAL)
    {
      p->close_quota = CLOSE_BATCH;
      p->batch_start = now;
    }
  for (session_t *s = p->sessions; s; s = next)
    {
      next = s->next;
      sweep_one (s, now);
    }
  if (health_draining (p, now) && p->sessions)
    wake_at (p, now + CLOSE_INTERVAL);
}
