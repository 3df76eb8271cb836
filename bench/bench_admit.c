/* Simulates overload: entry instances with admission control, or with
   first-in-first-out queues that refuse nothing, in front of one database with
   a few slots.  Prints the worth that is served before its deadline.  */

#include "admit.h"

#include <apr_general.h>
#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

enum
{
  MAX_ENTRIES = 9,
  MAX_REQUESTS = 1 << 20,
  FREEZE_AT = 10000,  /* ms */
  FREEZE_TIME = 1000, /* ms */
  RECOVERY = 2000     /* ms after a freeze in which the worth is counted */
};

typedef struct
{
  double worth;
  double deadline; /* ms */
  double service;  /* ms, mean in a slot */
  double share;    /* of the arrivals */
} kind_t;

typedef struct
{
  const char *name;
  int entries;
  int slots;
  int connections; /* of one entry instance */
  double trip;     /* ms, entry to database and back */
  bool fixed;      /* service times are constant, else exponential */
  kind_t kinds[3];
} mix_t;

typedef struct
{
  double arrived;
  double began; /* sent to the database */
  double service;
  double deadline;
  double worth;
  int entry;
} request_t;

typedef struct
{
  double at;
  int64_t what; /* -1: an arrival, else the index of the request that ends */
} sim_event_t;

typedef struct
{
  const mix_t *mix;
  bool fifo;
  rng_t rng;
  apr_pool_t *pool;
  admit_t *admit[MAX_ENTRIES];
  request_t *r;
  int64_t n;
  sim_event_t *heap;
  size_t nheap;
  int64_t *wait[MAX_ENTRIES]; /* FIFO queues of the entry instances */
  size_t head[MAX_ENTRIES];
  size_t tail[MAX_ENTRIES];
  int running[MAX_ENTRIES];
  int64_t *db; /* queue in the database */
  size_t dbhead;
  size_t dbtail;
  int busy;
  double now;
  double freeze; /* ms, start of a freeze of FREEZE_TIME; 0: none */
  double after;  /* worth served within RECOVERY after the freeze */
  double offered;
  double served;
  int64_t late;
  int64_t refused;
} sim_t;

static void
heap_put (sim_t *s, double at, int64_t what)
{
  size_t i = s->nheap++;

  while (i > 0 && s->heap[(i - 1) / 2].at > at)
    {
      s->heap[i] = s->heap[(i - 1) / 2];
      i = (i - 1) / 2;
    }
  s->heap[i] = (sim_event_t){ at, what };
}

static sim_event_t
heap_take (sim_t *s)
{
  sim_event_t top = s->heap[0];
  sim_event_t last = s->heap[--s->nheap];
  size_t i = 0;

  for (;;)
    {
      size_t c = 2 * i + 1;
      if (c >= s->nheap)
        break;
      if (c + 1 < s->nheap && s->heap[c + 1].at < s->heap[c].at)
        c++;
      if (s->heap[c].at >= last.at)
        break;
      s->heap[i] = s->heap[c];
      i = c;
    }
  s->heap[i] = last;
  return top;
}

static double
exponential (rng_t *r, double mean)
{
  return -mean * log (1 - rng_unit (r));
}

/* A statement that overlaps the freeze takes FREEZE_TIME longer.  */
static double
end_of (const sim_t *s, double end)
{
  bool hit
      = s->freeze > 0 && end > s->freeze && s->now < s->freeze + FREEZE_TIME;

  return hit ? end + FREEZE_TIME : end;
}

/* Starts queued statements of the database in its free slots.  */
static void
db_fill (sim_t *s)
{
  while (s->busy < s->mix->slots && s->dbhead < s->dbtail)
    {
      int64_t id = s->db[s->dbhead++];
      s->busy++;
      heap_put (s, end_of (s, s->now + s->r[id].service), id);
    }
}

static void
send_to_db (sim_t *s, int64_t id)
{
  s->r[id].began = s->now;
  s->running[s->r[id].entry]++;
  s->db[s->dbtail++] = id;
}

static void
start_requests (sim_t *s, int e)
{
  admit_action_t a;

  if (s->fifo)
    while (s->running[e] < s->mix->connections && s->head[e] < s->tail[e])
      send_to_db (s, s->wait[e][s->head[e]++]);
  else
    while ((a = admit_next (s->admit[e], (msec_t)s->now)).kind
           != ADMIT_NOTHING)
      {
        if (a.kind == ADMIT_START)
          send_to_db (s, (int64_t)a.id);
        else
          s->refused++;
      }
  db_fill (s);
}

static void
arrive (sim_t *s)
{
  int64_t id = s->n++;
  request_t *r = &s->r[id];
  double x = rng_unit (&s->rng);
  const kind_t *k = s->mix->kinds;

  while (x >= k->share && k < s->mix->kinds + 2)
    x -= (k++)->share;
  r->arrived = s->now;
  r->deadline = s->now + k->deadline;
  r->worth = k->worth;
  r->service = s->mix->fixed ? k->service : exponential (&s->rng, k->service);
  r->entry = (int)rng_below (&s->rng, (uint64_t)s->mix->entries);
  s->offered += k->worth;
  if (s->fifo)
    s->wait[r->entry][s->tail[r->entry]++] = id;
  else if (!admit_offer (s->admit[r->entry], (uint64_t)id, r->worth,
                         (msec_t)r->deadline, (msec_t)s->now, NULL))
    s->refused++;
  start_requests (s, r->entry);
}

static void
finish (sim_t *s, int64_t id)
{
  request_t *r = &s->r[id];
  double end = s->now + s->mix->trip;

  s->busy--;
  s->running[r->entry]--;
  if (end <= r->deadline)
    {
      s->served += r->worth;
      if (s->now > FREEZE_AT + FREEZE_TIME
          && s->now <= FREEZE_AT + FREEZE_TIME + RECOVERY)
        s->after += r->worth;
    }
  else
    s->late++;
  if (!s->fifo)
    admit_done (s->admit[r->entry], end - r->began, ADMIT_OK, (msec_t)s->now);
  start_requests (s, r->entry);
}

static double
capacity (const mix_t *m)
{
  double mean = 0;

  for (int i = 0; i < 3; i++)
    mean += m->kinds[i].share * m->kinds[i].service;
  return m->slots / mean;
}

static sim_t *
sim_new (apr_pool_t *pool, const mix_t *m, bool fifo)
{
  sim_t *s = apr_pcalloc (pool, sizeof *s);

  s->mix = m;
  s->fifo = fifo;
  rng_init (&s->rng, 7);
  s->r = calloc (MAX_REQUESTS, sizeof *s->r);
  s->heap = calloc (MAX_REQUESTS, sizeof *s->heap);
  s->db = calloc (MAX_REQUESTS, sizeof *s->db);
  for (int i = 0; i < m->entries; i++)
    {
      s->wait[i] = calloc (MAX_REQUESTS, sizeof **s->wait);
      s->admit[i] = admit_new (pool, (admit_conf_t){ 256, m->connections });
    }
  return s;
}

static void
sim_free (sim_t *s)
{
  free (s->r);
  free (s->heap);
  free (s->db);
  for (int i = 0; i < s->mix->entries; i++)
    free (s->wait[i]);
}

static void
simulate (sim_t *s, double load, double time)
{
  double gap = 1 / (capacity (s->mix) * load);

  heap_put (s, 0, -1);
  while (s->nheap && s->heap[0].at < time && s->n < MAX_REQUESTS)
    {
      sim_event_t ev = heap_take (s);
      s->now = ev.at;
      if (ev.what < 0)
        {
          arrive (s);
          heap_put (s, s->now + exponential (&s->rng, gap), -1);
        }
      else
        finish (s, ev.what);
    }
}

/* Worth served within RECOVERY after a freeze, divided by the worth served in
   the same time without a freeze.  */
static double
recovery (apr_pool_t *pool, const mix_t *m, bool fifo)
{
  double after[2];

  for (int i = 0; i < 2; i++)
    {
      sim_t *s = sim_new (pool, m, fifo);
      s->freeze = i ? FREEZE_AT : 0;
      simulate (s, 0.8, FREEZE_AT + FREEZE_TIME + RECOVERY);
      after[i] = s->after;
      sim_free (s);
    }
  return after[1] / after[0];
}

/* Simulates TIME ms with LOAD times the capacity.  Returns the worth served
   before its deadline, per second.  */
static double
run (apr_pool_t *pool, const mix_t *m, bool fifo, double load, double time)
{
  sim_t *s = sim_new (pool, m, fifo);
  double limit = 0;

  simulate (s, load, time);
  for (int i = 0; i < m->entries; i++)
    limit += admit_state (s->admit[i]).limit / m->entries;
  printf ("  %-9s %3.1fx  offered %8.0f/s  served in time %8.0f/s  late %7lld"
          "  refused %7lld",
          fifo ? "fifo" : "admission", load, s->offered / time * 1000,
          s->served / time * 1000, (long long)s->late, (long long)s->refused);
  if (fifo)
    printf ("\n");
  else
    printf ("  limit %.1f\n", limit);
  double worth = s->served / time * 1000;
  sim_free (s);
  return worth;
}

static const mix_t mixes[] = {
  { "Tan, 9 entry instances",
    9,
    3,
    2,
    4,
    false,
    { { 10, 2000, 6, 0.2 }, { 1, 1000, 3, 0.7 }, { 5, 2000, 6, 0.1 } } },
  { "Tan, 1 entry instance",
    1,
    3,
    17,
    4,
    false,
    { { 10, 2000, 6, 0.2 }, { 1, 1000, 3, 0.7 }, { 5, 2000, 6, 0.1 } } },
  { "Bureau, 8 entry instances",
    8,
    2,
    3,
    3,
    false,
    { { 10, 2000, 5, 0.1 }, { 1, 1000, 2, 0.85 }, { 4, 3000, 5, 0.05 } } },
  { "equal worth, short deadline, 8 entry instances",
    8,
    2,
    3,
    3,
    false,
    { { 1, 100, 5, 1 }, { 1, 100, 5, 0 }, { 1, 100, 5, 0 } } },
  { "equal worth, short deadline, 1 entry instance",
    1,
    2,
    27,
    3,
    false,
    { { 1, 100, 5, 1 }, { 1, 100, 5, 0 }, { 1, 100, 5, 0 } } },
  { "equal worth, 8 entry instances with many connections",
    8,
    3,
    30,
    3,
    false,
    { { 1, 500, 5, 1 }, { 1, 500, 5, 0 }, { 1, 500, 5, 0 } } },
  { "equal worth, constant service, 1 entry instance",
    1,
    3,
    17,
    3,
    true,
    { { 1, 200, 4, 1 }, { 1, 200, 4, 0 }, { 1, 200, 4, 0 } } },
};

int
main (int argc, char **argv)
{
  double time = argc > 1 ? strtod (argv[1], NULL) * 1000 : 60000;
  bool ok = true;
  apr_pool_t *pool;

  apr_initialize ();
  apr_pool_create (&pool, NULL);
  for (size_t i = 0; i < sizeof mixes / sizeof *mixes; i++)
    {
      const mix_t *m = &mixes[i];
      double full = capacity (m) * 1000;
      printf ("%s (%d slots, %.0f requests/s)\n", m->name, m->slots, full);
      double f1 = run (pool, m, true, 1, time);
      double f3 = run (pool, m, true, 3, time);
      double a1 = run (pool, m, false, 1, time);
      double a3 = run (pool, m, false, 3, time);
      printf ("  3x / 1x: fifo %.3f, admission %.3f (target 0.9)\n", f3 / f1,
              a3 / a1);
      printf ("  served in the 2 s after a freeze of 1 s at 0.8x: fifo %.3f, "
              "admission %.3f\n",
              recovery (pool, m, true), recovery (pool, m, false));
      ok = ok && a3 >= 0.9 * a1;
    }
  printf ("%s\n", ok ? "target met" : "target missed");
  return ok ? EXIT_SUCCESS : EXIT_FAILURE;
}
