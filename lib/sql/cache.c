#include "classify.h"
#include "shape.h"

#include <stdlib.h>
#include <string.h>

/* A set-associative hash table with WAYS slots per set.  The least recently
   used slot of a set is evicted.  That bounds the memory without an LRU
   list.  */
enum
{
  WAYS = 4
};

typedef struct
{
  char *text;
  size_t len;
  uint64_t hash;
  uint64_t used; /* tick of the last use */
  sql_t sql;     /* its strings are stored behind the LEN bytes of TEXT */
} slot_t;

struct sql_cache
{
  apr_pool_t *scratch;
  buf_t shape;
  size_t sets;
  uint64_t tick;
  slot_t *slots;
};

static apr_status_t
free_slots (void *arg)
{
  sql_cache_t *c = arg;

  for (size_t i = 0; i < c->sets * WAYS; i++)
    free (c->slots[i].text);
  free (c->slots);
  buf_free (&c->shape);
  return APR_SUCCESS;
}

sql_cache_t *
sql_cache_new (apr_pool_t *pool, size_t cap)
{
  sql_cache_t *c = apr_pcalloc (pool, sizeof *c);

  c->sets = cap / WAYS ? cap / WAYS : 1;
  c->slots = calloc (c->sets * WAYS, sizeof *c->slots);
  if (c->slots == NULL)
    abort ();
  apr_pool_create (&c->scratch, pool);
  apr_pool_cleanup_register (pool, c, free_slots, apr_pool_cleanup_null);
  return c;
}

static slot_t *
find (sql_cache_t *c, str_t text, uint64_t hash, slot_t **victim)
{
  slot_t *set = &c->slots[(hash % c->sets) * WAYS];

  *victim = set;
  for (int i = 0; i < WAYS; i++)
    {
      slot_t *s = &set[i];
      if (s->text && s->hash == hash
          && str_eq ((str_t){ s->text, s->len }, text))
        return s;
      if (s->used < (*victim)->used)
        *victim = s;
    }
  return NULL;
}

static char *
store_str (char *to, str_t *s)
{
  if (s->n)
    memcpy (to, s->p, s->n);
  s->p = to;
  return to + s->n;
}

static void
store (slot_t *s, str_t text, uint64_t hash, const sql_t *sql)
{
  free (s->text);
  s->text = malloc (text.n + sql->name.n + sql->value.n + 1);
  if (s->text == NULL)
    abort ();
  memcpy (s->text, text.p, text.n);
  s->len = text.n;
  s->hash = hash;
  s->sql = *sql;
  char *next = store_str (s->text + text.n, &s->sql.name);
  store_str (next, &s->sql.value);
}

/* Parses TEXT and stores the result in VICTIM under KEY.  Returns NULL if it
   is not cached.  */
static slot_t *
parse_miss (sql_cache_t *c, str_t text, str_t key, uint64_t hash,
            slot_t *victim, sql_t *out)
{
  apr_pool_clear (c->scratch);
  str_t z = str_dup (c->scratch, text);

  /* A text with a NUL in it cannot be forwarded as one statement.  */
  *out = (sql_t){ .cls = SQL_INVALID };
  if (strlen (z.p) != z.n)
    return NULL;
  sql_parse (c->scratch, z.p, out);
  out->fingerprint = hash;
  if (key.n > SQL_CACHE_TEXT)
    return NULL;
  store (victim, key, hash, out);
  return victim;
}

void
sql_classify (sql_cache_t *c, str_t text, sql_t *out)
{
  c->shape.n = c->shape.off = 0;
  /* The first byte distinguishes shapes from whole texts.  */
  buf_add (&c->shape, "s", 1);
  if (!sql_shape (text, &c->shape))
    {
      c->shape.n = 0;
      buf_add (&c->shape, "t", 1);
      buf_adds (&c->shape, text);
    }
  str_t key = buf_str (&c->shape);
  uint64_t hash = str_hash (key);
  slot_t *victim;
  slot_t *s = find (c, key, hash, &victim);
  if (s == NULL)
    s = parse_miss (c, text, key, hash, victim, out);
  if (s == NULL)
    return;
  s->used = ++c->tick;
  *out = s->sql;
}
