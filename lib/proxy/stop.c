#include "local.h"

enum
{
  GRACE_DEFAULT = 6000 /* ms, when the settings name no grace period */
};

static msec_t
grace (const proxy_t *p)
{
  return p->conf.grace > 0 ? p->conf.grace : GRACE_DEFAULT;
}

static msec_t
leave_at (const proxy_t *p)
{
  return p->stop_at + grace (p) - STOP_MARGIN;
}

stop_phase_t
stop_phase (const proxy_t *p, msec_t now)
{
  if (p->stop_at < 0)
    return STOP_NONE;
  if (now >= leave_at (p))
    return STOP_LEAVE;
  if (now - p->stop_at >= grace (p) / 2)
    return STOP_REFUSE;
  return now - p->stop_at >= DRAIN_DELAY ? STOP_FINISH : STOP_ACCEPT;
}

/* ---- refusals ---- */

/* Whether OP is answered by this instance itself.  */
static bool
is_local (const session_t *s, const op_t *op)
{
  switch (op->kind)
    {
    case OP_ROLLBACK:
    case OP_SET:
    case OP_PREPARE:
    case OP_DEALLOCATE:
    case OP_MALFORMED:
      return true;
    default:
      return s->tx == TX_FAILED;
    }
}

static bool
can_finish (const session_t *s, const op_t *op)
{
  const proxy_t *p = s->proxy;

  return op->kind == OP_COMMIT && p->now + s->route.timeout <= leave_at (p);
}

/* The transaction ends without effect, here or at the instance that runs
   it.  */
static void
refuse_in_tx (session_t *s, const op_t *op)
{
  forward_end (s);
  if (s->link)
    link_release (s->proxy, s->link);
  if (op->kind == OP_COMMIT)
    session_tx_end (s);
  else
    s->tx = TX_FAILED;
  session_refuse (s, FAIL_ABORTED, STR ("the instance is stopping"));
}

bool
stop_refuses (const session_t *s, const op_t *op)
{
  return stop_phase (s->proxy, s->proxy->now) >= STOP_REFUSE
         && !is_local (s, op) && !can_finish (s, op);
}

bool
stop_refuse (session_t *s, const op_t *op)
{
  s->last_active = s->proxy->now;
  if (s->tx == TX_NONE)
    session_refuse (s, FAIL_BUSY, STR ("the instance is stopping"));
  else
    refuse_in_tx (s, op);
  if (s->tx != TX_NONE || !stream_flush_now (s->stream))
    return true;
  session_end (s);
  return false;
}

/* ---- the end ---- */

static void
give_up_all (proxy_t *p)
{
  session_t *next;

  for (session_t *s = p->sessions; s; s = next)
    {
      next = s->next;
      if (s->forward && s->forward->active)
        forward_give_up (s);
      else if (s->req.active)
        statement_give_up (s);
    }
}

static bool
is_flushed (const proxy_t *p)
{
  for (const session_t *s = p->sessions; s; s = s->next)
    if (buf_len (stream_out (s->stream)))
      return false;
  return true;
}

void
stop_turn (proxy_t *p, msec_t now)
{
  stop_phase_t phase = stop_phase (p, now);

  if (phase < STOP_FINISH || (p->nsession && phase < STOP_LEAVE))
    return;
  if (phase == STOP_LEAVE)
    give_up_all (p);
  if (!is_flushed (p) && now < leave_at (p) + FLUSH_TIME)
    {
      wake_at (p, now + 1);
      return;
    }
  log_event (EV_DRAIN_END, "sessions=%d ms=%lld", p->nsession,
             (long long)(now - p->stop_at));
  loop_stop (p->loop);
}
