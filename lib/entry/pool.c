#include "entry.h"

enum
{
  BACKOFF_FIRST = 50, /* ms until the next attempt after one failed */
  BACKOFF_MAX = 2000  /* ms; each failure doubles the backoff up to this */
};

void
pool_init (pool_t *p)
{
  *p = (pool_t){ 0 };
}

void
pool_limit (pool_t *p, int limit)
{
  p->limit = limit < 0 ? 0 : limit > POOL_MAX ? POOL_MAX : limit;
}

static void
set_state (pool_t *p, int slot, slot_state_t state, msec_t now)
{
  pool_slot_t *s = &p->slot[slot];

  p->busy += (state == SLOT_BUSY) - (s->state == SLOT_BUSY);
  p->connecting += (state == SLOT_CONNECTING) - (s->state == SLOT_CONNECTING);
  p->open += (state != SLOT_FREE) - (s->state != SLOT_FREE);
  s->state = state;
  s->owner = 0;
  s->since = now;
}

static void
push_idle (pool_t *p, int slot, msec_t now)
{
  set_state (p, slot, SLOT_IDLE, now);
  p->idle_slots[p->nidle++] = (int16_t)slot;
  p->idle = p->nidle;
}

static void
remove_idle (pool_t *p, int at)
{
  for (int i = at; i + 1 < p->nidle; i++)
    p->idle_slots[i] = p->idle_slots[i + 1];
  p->idle = --p->nidle;
}

static int
take_at (pool_t *p, int at, uint64_t owner, msec_t now)
{
  int slot = p->idle_slots[at];

  remove_idle (p, at);
  set_state (p, slot, SLOT_BUSY, now);
  p->slot[slot].owner = owner;
  return slot;
}

int
pool_take (pool_t *p, uint64_t owner, msec_t now)
{
  return p->nidle == 0 || owner == 0 ? -1
                                     : take_at (p, p->nidle - 1, owner, now);
}

int
pool_take_oldest (pool_t *p, uint64_t owner, msec_t age, msec_t now)
{
  if (p->nidle == 0 || owner == 0
      || now - p->slot[p->idle_slots[0]].since <= age)
    return -1;
  return take_at (p, 0, owner, now);
}

int
pool_open (pool_t *p, msec_t now)
{
  if (p->open >= p->limit || now < p->retry_at)
    return -1;
  for (int i = 0; i < POOL_MAX; i++)
    if (p->slot[i].state == SLOT_FREE)
      {
        set_state (p, i, SLOT_CONNECTING, now);
        return i;
      }
  return -1;
}

/* A connection over the limit is closed instead of becoming idle.  */
static pool_action_t
keep_or_close (pool_t *p, int slot, msec_t now)
{
  if (p->open > p->limit)
    return POOL_CLOSE;
  push_idle (p, slot, now);
  return POOL_KEEP;
}

pool_action_t
pool_connected (pool_t *p, int slot, msec_t now)
{
  p->backoff = p->retry_at = 0;
  return keep_or_close (p, slot, now);
}

void
pool_failed (pool_t *p, int slot, msec_t now)
{
  pool_closed (p, slot);
  p->backoff = p->backoff ? p->backoff * 2 : BACKOFF_FIRST;
  if (p->backoff > BACKOFF_MAX)
    p->backoff = BACKOFF_MAX;
  p->retry_at = now + p->backoff;
}

pool_action_t
pool_release (pool_t *p, int slot, uint64_t owner, char ready, bool stateful,
              bool unusable, msec_t now)
{
  pool_slot_t *s = &p->slot[slot];

  if (s->state != SLOT_BUSY || s->owner != owner || unusable || ready != 'I')
    return POOL_CLOSE;
  if (!stateful)
    return keep_or_close (p, slot, now);
  set_state (p, slot, SLOT_RESETTING, now);
  return POOL_RESET;
}

pool_action_t
pool_reset (pool_t *p, int slot, char ready, bool ok, msec_t now)
{
  if (p->slot[slot].state != SLOT_RESETTING || ready != 'I' || !ok)
    return POOL_CLOSE;
  return keep_or_close (p, slot, now);
}

void
pool_closed (pool_t *p, int slot)
{
  for (int i = 0; i < p->nidle; i++)
    if (p->idle_slots[i] == slot)
      {
        remove_idle (p, i);
        break;
      }
  set_state (p, slot, SLOT_FREE, 0);
}

int
pool_surplus (pool_t *p, int min_open, msec_t idle_timeout, msec_t now)
{
  if (p->nidle == 0)
    return -1;
  /* The least recently used slot comes first.  */
  int slot = p->idle_slots[0];
  bool old = now - p->slot[slot].since > idle_timeout && p->open > min_open;
  if (p->open <= p->limit && !old)
    return -1;
  remove_idle (p, 0);
  set_state (p, slot, SLOT_RESETTING, now);
  return slot;
}
