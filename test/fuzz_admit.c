/* Fuzz target for admission control.  The input is a sequence of operations on
   one queue, checked against a model of each request's state.  No request may
   be started or refused twice, refused after it was started, lost, or started
   when the limit is reached.  After admit_next has returned ADMIT_NOTHING,
   admit_wake_time must lie in the future, or an event loop would spin.  */

#include "admit.h"

#include <apr_general.h>
#include <stdio.h>
#include <stdlib.h>

int LLVMFuzzerTestOneInput (const uint8_t *data, size_t n);

enum
{
  MAX_IDS = 4096,
  QUEUE = 8
};

typedef enum
{
  ID_NEW,
  ID_WAITING,
  ID_RUNNING,
  ID_ENDED
} id_state_t;

typedef struct
{
  admit_t *a;
  id_state_t ids[MAX_IDS];
  msec_t deadline[MAX_IDS];
  int offered;
  int waiting;
  int running;
  int cap;
  msec_t now;
} model_t;

static void
require (bool ok, const char *what)
{
  if (ok)
    return;
  fprintf (stderr, "admission: %s\n", what);
  abort ();
}

static void
set_state (model_t *m, uint64_t id, id_state_t from, id_state_t to)
{
  require (id < (uint64_t)m->offered, "unknown request");
  require (m->ids[id] == from, "request in the wrong state");
  m->waiting += (to == ID_WAITING) - (from == ID_WAITING);
  m->running += (to == ID_RUNNING) - (from == ID_RUNNING);
  m->ids[id] = to;
}

static void
drain (model_t *m)
{
  admit_action_t x;

  while ((x = admit_next (m->a, m->now)).kind != ADMIT_NOTHING)
    {
      if (x.kind != ADMIT_START)
        {
          set_state (m, x.id, ID_WAITING, ID_ENDED);
          continue;
        }
      require (m->running < m->cap,
               "more requests running than the cap allows");
      require (m->deadline[x.id] > m->now, "started after its deadline");
      set_state (m, x.id, ID_WAITING, ID_RUNNING);
    }
  admit_state_t s = admit_state (m->a);
  msec_t wake = admit_wake_time (m->a);
  require (s.waiting == m->waiting && s.running == m->running,
           "wrong number of waiting or running requests");
  require (s.waiting <= QUEUE, "queue longer than its bound");
  require (wake == -1 ? s.waiting == 0 : wake > m->now,
           "wake time is not in the future");
  require (m->cap == 0 || s.waiting == 0 || s.running > 0,
           "requests wait but none is running");
}

static void
offer (model_t *m, uint8_t x, uint8_t y)
{
  int id = m->offered;
  admit_kind_t why = ADMIT_NOTHING;

  if (id == MAX_IDS)
    return;
  m->offered++;
  m->deadline[id] = m->now + y;
  if (admit_offer (m->a, (uint64_t)id, x % 4, m->deadline[id], m->now, &why))
    set_state (m, (uint64_t)id, ID_NEW, ID_WAITING);
  else
    require (why == ADMIT_FULL || why == ADMIT_TOO_LATE,
             "refused without a reason");
}

/* The first request in STATE from START on, or -1.  */
static int
pick (const model_t *m, int start, id_state_t state)
{
  for (int i = 0; i < m->offered; i++)
    if (m->ids[(start + i) % m->offered] == state)
      return (start + i) % m->offered;
  return -1;
}

static void
done (model_t *m, uint8_t x, uint8_t y)
{
  int id = pick (m, x, ID_RUNNING);

  if (id < 0)
    return;
  set_state (m, (uint64_t)id, ID_RUNNING, ID_ENDED);
  admit_done (m->a, y / 4.0, y < 240 ? ADMIT_OK : (admit_outcome_t)(y % 4),
              m->now);
}

static void
withdraw (model_t *m, uint8_t x)
{
  int id = pick (m, x, ID_WAITING);

  if (id < 0)
    return;
  require (admit_withdraw (m->a, (uint64_t)id),
           "waiting request cannot be withdrawn");
  set_state (m, (uint64_t)id, ID_WAITING, ID_ENDED);
  require (!admit_withdraw (m->a, (uint64_t)id), "request withdrawn twice");
}

static void
step (model_t *m, uint8_t op, uint8_t x, uint8_t y)
{
  switch (op % 8)
    {
    case 0:
    case 1:
    case 2:
      offer (m, x, y);
      break;
    case 3:
    case 4:
      done (m, x, y);
      break;
    case 5:
      m->now += x % 16;
      break;
    case 6:
      withdraw (m, x);
      break;
    default:
      if (y < 16)
        admit_restart (m->a, m->now);
      else if (y < 64)
        admit_set_cap (m->a, m->cap = x % 6);
      return; /* several offers may come before admit_next */
    }
  if (op < 224)
    drain (m);
}

int
LLVMFuzzerTestOneInput (const uint8_t *data, size_t n)
{
  static model_t m;
  apr_pool_t *pool;

  apr_initialize ();
  apr_pool_create (&pool, NULL);
  m = (model_t){ .cap = 4, .now = 1000 };
  m.a = admit_new (pool, (admit_conf_t){ QUEUE, m.cap });
  for (size_t i = 0; i + 2 < n; i += 3)
    step (&m, data[i], data[i + 1], data[i + 2]);
  drain (&m);
  apr_pool_destroy (pool);
  apr_terminate ();
  return 0;
}
