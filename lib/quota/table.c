#include "quota.h"

#include <stdlib.h>
#include <string.h>

/* The accountant's buckets: a hash table with open addressing.  */

enum
{
  TABLE_MIN = 64,
  IDLE_TIME = 600000 /* ms after which an unused bucket may be dropped */
};

/* A bucket that starts anew has this many tokens: the first operation after a
   hand-over isn't refused.  */
#define START_TOKENS 1.5
/* Part of the rate while another accountant may count for the tenant.  */
#define SECOND_RATE 0.5
/* Part of the tokens left that one holder may have beyond its need.  */
#define MORE_PART 0.25

typedef struct
{
  uint64_t hash;
  str_t name; /* on the heap; empty: the place is free */
  double level;
  double rate; /* tokens a second, since AT */
  quota_limit_t limit;
  msec_t at;   /* time of LEVEL */
  msec_t slot; /* start of the current slot of grants */
  int out[2];  /* granted in the current and the previous slot */
} bucket_t;

struct quota_table
{
  bucket_t *at;
  size_t cap; /* a power of 2 */
  size_t n;
  size_t names; /* bytes */
  msec_t turned_at;
  msec_t emptied_at; /* buckets are empty at this time; -1: never */
};

static bucket_t *
places_new (size_t n)
{
  bucket_t *v = calloc (n, sizeof *v);

  if (v == NULL)
    abort ();
  return v;
}

quota_table_t *
quota_table_new (void)
{
  quota_table_t *t = calloc (1, sizeof *t);

  if (t == NULL)
    abort ();
  t->cap = TABLE_MIN;
  t->at = places_new (t->cap);
  t->turned_at = t->emptied_at = -1;
  return t;
}

void
quota_table_free (quota_table_t *t)
{
  for (size_t i = 0; i < t->cap; i++)
    free (t->at[i].name.p);
  free (t->at);
  free (t);
}

void
quota_table_turn (quota_table_t *t, msec_t now)
{
  if (t->turned_at >= 0 && now - t->turned_at > QUOTA_FREEZE)
    t->emptied_at = now;
  t->turned_at = now;
}

/* ---- places ---- */

static bucket_t *
find (const quota_table_t *t, str_t name, uint64_t hash)
{
  size_t i = hash & (t->cap - 1);

  while (t->at[i].name.n
         && (t->at[i].hash != hash || !str_eq (t->at[i].name, name)))
    i = (i + 1) & (t->cap - 1);
  return &t->at[i];
}

/* Doubles the table, without the buckets that are unused for long.  */
static void
grow (quota_table_t *t, msec_t now)
{
  bucket_t *old = t->at;
  size_t cap = t->cap;

  t->cap = cap * 2;
  t->at = places_new (t->cap);
  t->n = t->names = 0;
  for (size_t i = 0; i < cap; i++)
    if (old[i].name.n == 0)
      continue;
    else if (now - old[i].at > IDLE_TIME)
      free (old[i].name.p);
    else
      {
        *find (t, old[i].name, old[i].hash) = old[i];
        t->n++;
        t->names += old[i].name.n;
      }
  free (old);
}

/* The bucket of NAME, which may be new; NULL when there are too many.  */
static bucket_t *
get (quota_table_t *t, str_t name, msec_t now)
{
  uint64_t hash = str_hash (name);
  bucket_t *b = find (t, name, hash);

  if (b->name.n)
    return b;
  if (t->n >= QUOTA_BUCKETS_MAX)
    return NULL;
  if (t->n >= t->cap / 2)
    {
      grow (t, now);
      b = find (t, name, hash);
    }
  b->name.p = malloc (name.n);
  if (b->name.p == NULL)
    abort ();
  memcpy (b->name.p, name.p, name.n);
  b->name.n = name.n;
  b->hash = hash;
  b->level = START_TOKENS;
  b->at = b->slot = now;
  b->limit.version = -1;
  t->n++;
  t->names += name.n;
  return b;
}

/* ---- buckets ---- */

static void
limit_level (bucket_t *b)
{
  if (b->level > b->limit.capacity)
    b->level = b->limit.capacity;
}

/* Brings B to NOW at the limit that was in force until now.  */
static void
refill (const quota_table_t *t, bucket_t *b, msec_t now)
{
  if (t->emptied_at > b->at)
    {
      b->level = 0;
      b->at = t->emptied_at;
      b->out[0] = b->out[1] = 0;
    }
  if (now > b->at)
    {
      b->level += b->rate * (double)(now - b->at) / 1000;
      b->at = now;
      limit_level (b);
    }
}

static void
set_limit (bucket_t *b, const quota_limit_t *l, bool second)
{
  if (l->version >= b->limit.version)
    b->limit = *l;
  b->rate = b->limit.rate * (second ? SECOND_RATE : 1);
  limit_level (b);
}

static void
turn_slots (bucket_t *b, msec_t now)
{
  msec_t age = now - b->slot;

  if (age < QUOTA_RETURN_SLOT)
    return;
  b->out[1] = age < 2 * QUOTA_RETURN_SLOT ? b->out[0] : 0;
  b->out[0] = 0;
  b->slot = now;
}

/* A return that was long on its way must not give a window tokens of an
   earlier one.  */
static void
take_back (bucket_t *b, int returned)
{
  int most = b->out[0] + b->out[1];
  int n = returned < most ? returned : most;

  if (n <= 0)
    return;
  int old = n < b->out[1] ? n : b->out[1];
  b->out[1] -= old;
  b->out[0] -= n - old;
  b->level += n;
  limit_level (b);
}

static int
at_most (int n, double level)
{
  int whole = level > 0 ? (int)level : 0;

  return n < whole ? n : whole;
}

static msec_t
retry_after (const bucket_t *b)
{
  double ms
      = b->rate > 0 ? (1 - b->level) / b->rate * 1000 + 1 : QUOTA_RETRY_MAX;

  if (ms < QUOTA_RETRY_MIN)
    return QUOTA_RETRY_MIN;
  return ms < QUOTA_RETRY_MAX ? (msec_t)ms : QUOTA_RETRY_MAX;
}

quota_answer_t
quota_table_ask (quota_table_t *t, str_t tenant, const quota_limit_t *limit,
                 bool second, int need, int more, int returned, msec_t now)
{
  bucket_t *b = tenant.n ? get (t, tenant, now) : NULL;
  quota_answer_t a = { 0, QUOTA_RETRY_MAX };

  if (b == NULL)
    return a;
  refill (t, b, now);
  set_limit (b, limit, second);
  turn_slots (b, now);
  take_back (b, returned);
  a.tokens = at_most (need > 0 ? need : 0, b->level);
  b->level -= a.tokens;
  if (a.tokens == need && more > 0)
    {
      int extra = at_most (more, b->level * MORE_PART);
      a.tokens += extra;
      b->level -= extra;
    }
  b->out[0] += a.tokens;
  a.retry = a.tokens >= need ? 0 : retry_after (b);
  return a;
}

size_t
quota_table_bytes (const quota_table_t *t)
{
  return sizeof *t + t->cap * sizeof *t->at + t->names;
}

size_t
quota_table_size (const quota_table_t *t)
{
  return t->n;
}
