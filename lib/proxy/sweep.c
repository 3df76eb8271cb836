#include "local.h"

/* What time does to sessions: limits, and the end at a planned stop.  */

static bool
idle_too_long (const session_t *s, msec_t now)
{
  const proxy_t *p = s->proxy;
  msec_t limit = p->setup ? p->setup->tx_idle : 0;

  return s->tx == TX_OPEN && s->link && !s->req.active && limit > 0
         && now - s->seen >= limit;
}

/* A session that has not started in time, or cannot, is ended.  */
static bool
start_expired (session_t *s, msec_t now)
{
  proxy_t *p = s->proxy;
  buf_t *out = stream_out (s->stream);
  msec_t age = now - s->opened;

  if (!s->started && age >= p->conf.startup)
    {
      log_event (EV_STARTUP_TIMEOUT, "ms=%lld", (long long)age);
      p->conf.client->error (out, FAIL_TIMEOUT,
                             STR ("no start-up message in time"));
    }
  else if (p->setup == NULL && age >= SETUP_WAIT)
    p->conf.client->error (out, FAIL_BUSY, STR ("no configuration yet"));
  else
    return false;
  session_end (s);
  return true;
}

/* The client rests inside its transaction for too long.  */
static void
release_idle (session_t *s, msec_t now)
{
  link_t *k = s->link;

  if (!idle_too_long (s, now))
    return;
  log_event (EV_TX_IDLE, "host=%s ms=%lld", s->host,
             (long long)(now - s->seen));
  s->tx_lost = true;
  link_release (s->proxy, k);
}

/* Lets go of a session between two transactions.  */
static void
leave (session_t *s, msec_t now)
{
  proxy_t *p = s->proxy;

  if (s->tx != TX_NONE)
    return;
  if (s->fellow && p->cut_at >= 0)
    {
      session_end (s);
      return;
    }
  if (p->closing == 0 || !stream_input_empty (s->stream))
    return;
  /* What is closed now would lose what its client has not taken yet.  */
  if (buf_len (stream_out (s->stream)))
    {
      wake_at (p, now + 1);
      return;
    }
  p->closing--;
  session_end (s);
}

static void
sweep_one (session_t *s, msec_t now)
{
  if (start_expired (s, now))
    return;
  if (s->forward)
    {
      bool active = s->forward->active;
      forward_expire (s, now);
      if (active)
        return;
    }
  release_idle (s, now);
  if (s->req.active)
    statement_expire (s, now);
  else if (buf_len (stream_in (s->stream)))
    session_advance (s);
  else
    leave (s, now);
}

void
sessions_sweep (proxy_t *p, msec_t now)
{
  session_t *next;

  /* Their clients come back elsewhere, so not all at once.  */
  if (!health_leaving (p, now))
    p->closing = 0;
  else if (now - p->close_at >= CLOSE_EVERY)
    {
      p->closing = CLOSE_BATCH;
      p->close_at = now;
    }
  for (session_t *s = p->sessions; s; s = next)
    {
      next = s->next;
      sweep_one (s, now);
    }
  if (health_leaving (p, now) && p->sessions)
    wake_at (p, now + CLOSE_EVERY);
}
