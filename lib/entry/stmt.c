#include "entry.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

enum
{
  BUCKETS = 1024 /* of the hash table */
};

struct stmts
{
  stmt_t *at[BUCKETS];
};

static apr_status_t
free_all (void *arg)
{
  stmts_t *t = arg;

  for (int i = 0; i < BUCKETS; i++)
    while (t->at[i])
      {
        stmt_t *s = t->at[i];
        t->at[i] = s->next;
        free (s);
      }
  return APR_SUCCESS;
}

stmts_t *
stmts_new (apr_pool_t *pool)
{
  stmts_t *t = apr_pcalloc (pool, sizeof *t);

  apr_pool_cleanup_register (pool, t, free_all, apr_pool_cleanup_null);
  return t;
}

static void
content_hash (str_t text, str_t types, uint64_t hash[2])
{
  uint64_t seed = types.n ? XXH3_64bits (types.p, types.n) : 0;
  XXH128_hash_t h = XXH3_128bits_withSeed (text.p, text.n, seed);
  hash[0] = h.high64;
  hash[1] = h.low64;
}

static stmt_t *
stmt_new (str_t text, int ntypes, str_t types, const uint64_t hash[2])
{
  stmt_t *s = malloc (sizeof *s + text.n + types.n + 1);

  if (s == NULL)
    abort ();
  *s = (stmt_t){ .hash = { hash[0], hash[1] }, .ntypes = ntypes };
  s->text = (str_t){ (char *)(s + 1), text.n };
  s->types = (str_t){ s->text.p + text.n, types.n };
  memcpy (s->text.p, text.p, text.n);
  if (types.n)
    memcpy (s->types.p, types.p, types.n);
  snprintf (s->name, sizeof s->name, "pp_%016llx%016llx",
            (unsigned long long)hash[0], (unsigned long long)hash[1]);
  return s;
}

stmt_t *
stmt_get (stmts_t *t, str_t text, int ntypes, str_t types)
{
  uint64_t hash[2];

  content_hash (text, types, hash);
  stmt_t **head = &t->at[hash[1] % BUCKETS];
  for (stmt_t *s = *head; s; s = s->next)
    if (s->hash[0] == hash[0] && s->hash[1] == hash[1])
      return stmt_ref (s);
  stmt_t *s = stmt_new (text, ntypes, types, hash);
  s->next = *head;
  *head = s;
  return stmt_ref (s);
}

stmt_t *
stmt_ref (stmt_t *s)
{
  s->refs++;
  return s;
}

void
stmt_put (stmts_t *t, stmt_t *s)
{
  if (--s->refs > 0)
    return;
  stmt_t **at = &t->at[s->hash[1] % BUCKETS];
  while (*at != s)
    at = &(*at)->next;
  *at = s->next;
  free (s);
}

static int
find_name (const stmt_names_t *t, str_t name)
{
  for (int i = 0; i < t->n; i++)
    if (str_eq (str_of (t->at[i].name), name))
      return i;
  return -1;
}

stmt_t *
stmt_names_find (const stmt_names_t *t, str_t name)
{
  int i = find_name (t, name);

  return i < 0 ? NULL : t->at[i].stmt;
}

static void
remove_at (stmt_names_t *t, stmts_t *all, int i)
{
  stmt_put (all, t->at[i].stmt);
  free (t->at[i].name);
  t->at[i] = t->at[--t->n];
}

bool
stmt_names_set (stmt_names_t *t, stmts_t *all, str_t name, stmt_t *s, err_t *e)
{
  int i = find_name (t, name);

  if (s)
    stmt_ref (s);
  if (i >= 0)
    remove_at (t, all, i);
  if (s == NULL)
    return true;
  if (t->n == STMT_NAMES_MAX)
    {
      stmt_put (all, s);
      return err_set (e, ERR_FULL, "statements",
                      "more than %d prepared statements", STMT_NAMES_MAX);
    }
  if (t->n == t->cap)
    {
      t->cap = t->cap ? 2 * t->cap : 4;
      void *p = realloc (t->at, (size_t)t->cap * sizeof *t->at);
      if (p == NULL)
        abort ();
      t->at = p;
    }
  t->at[t->n].name = strndup (name.n ? name.p : "", name.n);
  t->at[t->n++].stmt = s;
  return true;
}

void
stmt_names_free (stmt_names_t *t, stmts_t *all)
{
  while (t->n)
    remove_at (t, all, t->n - 1);
  free (t->at);
  *t = (stmt_names_t){ 0 };
}

static int
find_prepared (const prepared_t *p, const stmt_t *s)
{
  for (int i = 0; i < p->n; i++)
    if (p->at[i].hash[0] == s->hash[0] && p->at[i].hash[1] == s->hash[1])
      return i;
  return -1;
}

bool
prepared_has (prepared_t *p, const stmt_t *s)
{
  int i = find_prepared (p, s);

  if (i >= 0)
    p->at[i].used = ++p->tick;
  return i >= 0;
}

bool
prepared_add (prepared_t *p, const stmt_t *s, char out[40])
{
  bool full = p->n == PREPARED_MAX;
  int i = full ? 0 : p->n++;

  for (int k = 1; full && k < p->n; k++)
    if (p->at[k].used < p->at[i].used)
      i = k;
  if (full)
    snprintf (out, 40, "pp_%016llx%016llx",
              (unsigned long long)p->at[i].hash[0],
              (unsigned long long)p->at[i].hash[1]);
  p->at[i].hash[0] = s->hash[0];
  p->at[i].hash[1] = s->hash[1];
  p->at[i].used = ++p->tick;
  return full;
}

void
prepared_drop (prepared_t *p, const stmt_t *s)
{
  int i = find_prepared (p, s);

  if (i >= 0)
    p->at[i] = p->at[--p->n];
}
