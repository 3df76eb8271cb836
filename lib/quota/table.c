#include "quota.h"

#include <stdlib.h>
#include <string.h>

/* The accountant's buckets: a hash table with open addressing.  */

enum
{
  TABLE_MIN = 64,
  PURGE_INTERVAL = 1000, /* ms between searches of a full table */
  /* While another accountant may count for the tenant, the bucket fills for
     SECOND_TIME ms of each SECOND_PERIOD: the first one is lost for longer
     only if control can't replace it.  */
  SECOND_TIME = 2200,
  SECOND_PERIOD = 5000,
  START_TIME = 60000,            /* ms that a new bucket fills for at most */
  SECOND_FILL = QUOTA_GRANT_LIFE /* ms of filling that it can have at most */
};

/* A bucket that starts anew has this many tokens: the first operation after a
   hand-over isn't refused.  */
#define START_TOKENS 1.5
/* Part of the tokens left that one holder may have beyond its need.  */
#define MORE_PART 0.25

typedef struct
{
  uint64_t hash;
  str_t name; /* on the heap; empty: the place is free */
  double level;
  double rate; /* tokens a second, since AT */
  quota_limit_t limit;
  msec_t at;           /* time of LEVEL */
  msec_t second_since; /* not the first accountant since then; -1: is it */
  msec_t slot;         /* start of the current slot of grants */
  int out[2];          /* granted in the current and the previous slot */
  /* Granted in the window, in parts of it.  */
  int64_t part; /* number of the current one */
  int granted[QUOTA_SLOTS];
  int sum;
} bucket_t;

struct quota_table
{
  bucket_t *at;
  size_t cap; /* a power of 2 */
  size_t n;
  size_t names; /* bytes */
  msec_t turned_at;
  msec_t emptied_at; /* woke from a freeze, with empty buckets; -1: never */
  msec_t purged_at; /* last search for unused buckets at the bound; -1: none */
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
  t->turned_at = t->emptied_at = t->purged_at = -1;
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

/* Moves the buckets to TO places, without those that are unused for long.  */
static void
rebuild (quota_table_t *t, size_t to, msec_t now)
{
  bucket_t *old = t->at;
  size_t cap = t->cap;

  t->cap = to;
  t->at = places_new (t->cap);
  t->n = t->names = 0;
  for (size_t i = 0; i < cap; i++)
    if (old[i].name.n == 0)
      continue;
    else if (now - old[i].at > QUOTA_IDLE)
      free (old[i].name.p);
    else
      {
        *find (t, old[i].name, old[i].hash) = old[i];
        t->n++;
        t->names += old[i].name.n;
      }
  free (old);
}

/* Whether there is room for a new bucket; drops unused ones to make some.  */
static bool
has_room (quota_table_t *t, msec_t now)
{
  if (t->n < QUOTA_BUCKETS_MAX)
    return true;
  if (t->purged_at < 0 || now - t->purged_at >= PURGE_INTERVAL)
    {
      t->purged_at = now;
      rebuild (t, t->cap, now);
    }
  return t->n < QUOTA_BUCKETS_MAX;
}

/* The bucket of NAME, which may be new; NULL when there are too many.  */
static bucket_t *
get (quota_table_t *t, str_t name, msec_t now)
{
  uint64_t hash = str_hash (name);
  bucket_t *b = find (t, name, hash);

  if (b->name.n)
    return b;
  if (!has_room (t, now))
    return NULL;
  if (t->n >= t->cap / 2)
    rebuild (t, t->cap * 2, now);
  b = find (t, name, hash);
  b->name.p = malloc (name.n);
  if (b->name.p == NULL)
    abort ();
  memcpy (b->name.p, name.p, name.n);
  b->name.n = name.n;
  b->hash = hash;
  b->level = START_TOKENS;
  b->at = b->slot = now;
  b->second_since = -1;
  b->limit.version = -1;
  t->n++;
  t->names += name.n;
  return b;
}

/* ---- buckets ---- */

static void
limit_level (bucket_t *b)
{
  double most = b->limit.capacity;

  /* Without the use of another accountant a bucket would fill in vain.  */
  if (b->second_since >= 0)
    most = START_TOKENS + b->limit.rate * b->limit.second * SECOND_FILL / 1000;
  if (most > b->limit.capacity)
    most = b->limit.capacity;
  if (b->level > most)
    b->level = most;
}

/* Brings B to NOW at the limit that was in force until now.  */
static void
refill (bucket_t *b, msec_t emptied_at, msec_t now)
{
  if (emptied_at > b->at)
    {
      b->level = 0;
      b->at = emptied_at;
      b->out[0] = b->out[1] = 0;
    }
  if (now > b->at)
    {
      b->level += b->rate * (double)(now - b->at) / 1000;
      b->at = now;
      limit_level (b);
    }
}

/* Part of the rate that B fills with from now on.  */
static double
part_of_rate (bucket_t *b, bool second, msec_t now)
{
  if (!second)
    {
      b->second_since = -1;
      return 1;
    }
  if (b->second_since < 0 || now - b->second_since >= SECOND_PERIOD)
    b->second_since = now;
  return now - b->second_since < SECOND_TIME ? b->limit.second : 0;
}

static void
set_limit (bucket_t *b, const quota_limit_t *l, bool second, msec_t now)
{
  if (l->version >= b->limit.version)
    b->limit = *l;
  b->rate = b->limit.rate * part_of_rate (b, second, now);
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

static msec_t
part_length (const bucket_t *b)
{
  msec_t ms = b->limit.window / (QUOTA_SLOTS - 1);

  return ms > 0 ? ms : 1;
}

/* Drops the parts that are out of the window at NOW.  */
static void
turn_window (bucket_t *b, msec_t now)
{
  int64_t part = now / part_length (b);
  int64_t n = part - b->part;

  for (int64_t i = n > QUOTA_SLOTS || n < 0 ? QUOTA_SLOTS : n; i > 0; i--)
    {
      int *x = &b->granted[(part - i + 1 + QUOTA_SLOTS) % QUOTA_SLOTS];
      b->sum -= *x;
      *x = 0;
    }
  b->part = part;
}

static void
grant (bucket_t *b, int n)
{
  b->level -= n;
  b->out[0] += n;
  b->granted[b->part % QUOTA_SLOTS] += n;
  b->sum += n;
}

/* Takes N of the latest grants out of the window.  */
static void
ungrant (bucket_t *b, int n)
{
  for (int i = 0; n > 0 && i < QUOTA_SLOTS; i++)
    {
      int *x = &b->granted[(b->part - i + QUOTA_SLOTS) % QUOTA_SLOTS];
      int k = n < *x ? n : *x;
      *x -= k;
      b->sum -= k;
      n -= k;
    }
}

static double
available (const bucket_t *b)
{
  double left = b->limit.most - b->sum;

  return b->limit.most > 0 && left < b->level ? left : b->level;
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
  ungrant (b, n);
  limit_level (b);
}

static int
at_most (int n, double level)
{
  int whole = level > 0 ? (int)level : 0;

  return n < whole ? n : whole;
}

/* ms until the oldest grants leave the window.  */
static msec_t
window_moves (const bucket_t *b, msec_t now)
{
  for (int i = QUOTA_SLOTS - 1; i > 0; i--)
    if (b->granted[(b->part - i + QUOTA_SLOTS) % QUOTA_SLOTS])
      return (b->part - i + QUOTA_SLOTS) * part_length (b) - now;
  return b->limit.window;
}

static msec_t
retry_after (const bucket_t *b, msec_t now)
{
  if (b->limit.most > 0 && b->limit.most - b->sum < 1 && b->level >= 1)
    {
      msec_t left = window_moves (b, now);
      return left < QUOTA_RETRY_MIN ? QUOTA_RETRY_MIN : left;
    }

  double ms
      = b->rate > 0 ? (1 - b->level) / b->rate * 1000 + 1 : QUOTA_RETRY_MAX;

  if (ms < QUOTA_RETRY_MIN)
    return QUOTA_RETRY_MIN;
  return ms < QUOTA_RETRY_MAX ? (msec_t)ms : QUOTA_RETRY_MAX;
}

bool
quota_is_second (const quota_standing_t *at, msec_t frozen_at)
{
  msec_t since = at->since > frozen_at ? at->since : frozen_at;

  return !at->first || at->heard_at - since < QUOTA_SETTLE;
}

/* Whoever counts for a tenant since SINCE knows that it used nothing before
   its first ask: its new bucket has been filling.  */
static void
start (bucket_t *b, const quota_limit_t *l, msec_t since, msec_t now)
{
  b->limit = *l;
  b->rate = l->rate;
  b->at = since > now - START_TIME ? since : now - START_TIME;
}

quota_answer_t
quota_table_ask (quota_table_t *t, str_t tenant, const quota_limit_t *limit,
                 const quota_standing_t *at, int need, int more, int returned,
                 msec_t now)
{
  bucket_t *b = tenant.n ? get (t, tenant, now) : NULL;
  quota_answer_t a = { 0, QUOTA_RETRY_MAX, tenant.n > 0 && b == NULL };
  msec_t emptied_at = t->emptied_at;

  if (b == NULL)
    return a;
  if (at->first && at->since > emptied_at)
    emptied_at = at->since;
  if (b->limit.version < 0 && !quota_is_second (at, t->emptied_at))
    start (b, limit, emptied_at, now);
  refill (b, emptied_at, now);
  set_limit (b, limit, quota_is_second (at, t->emptied_at), now);
  turn_slots (b, now);
  turn_window (b, now);
  take_back (b, returned);
  a.tokens = at_most (need > 0 ? need : 0, available (b));
  grant (b, a.tokens);
  if (a.tokens == need && more > 0)
    {
      int extra = at_most (more, available (b) * MORE_PART);
      a.tokens += extra;
      grant (b, extra);
    }
  a.retry = a.tokens >= need ? 0 : retry_after (b, now);
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
