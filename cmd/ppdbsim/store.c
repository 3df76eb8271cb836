#include "sim.h"

#include <stdlib.h>
#include <string.h>

str_t
heap_dup (str_t s)
{
  char *p = malloc (s.n + 1);

  if (p == NULL)
    abort ();
  if (s.n)
    memcpy (p, s.p, s.n);
  p[s.n] = '\0';
  return (str_t){ p, s.n };
}

void
heap_free (str_t *s)
{
  free (s->p);
  *s = (str_t){ 0 };
}

/* ---- rows ---- */

static uint64_t
row_hash (str_t table, str_t id)
{
  return str_hash (table) * 31 + str_hash (id);
}

static row_t **
slot_of (sim_t *s, str_t table, str_t id)
{
  uint64_t h = row_hash (table, id);
  row_t **p = &s->rows[h & (s->nbuckets - 1)];

  while (*p
         && ((*p)->hash != h || !str_eq ((*p)->id, id)
             || !str_eq ((*p)->table, table)))
    p = &(*p)->next;
  return p;
}

static void
grow (sim_t *s)
{
  size_t n = s->nbuckets ? s->nbuckets * 2 : 1024;
  row_t **to = calloc (n, sizeof *to);

  if (to == NULL)
    abort ();
  for (size_t i = 0; i < s->nbuckets; i++)
    for (row_t *r = s->rows[i], *next; r; r = next)
      {
        next = r->next;
        r->next = to[r->hash & (n - 1)];
        to[r->hash & (n - 1)] = r;
      }
  free (s->rows);
  s->rows = to;
  s->nbuckets = n;
}

row_t *
store_find (sim_t *s, str_t table, str_t id)
{
  return s->nbuckets ? *slot_of (s, table, id) : NULL;
}

static void
put (sim_t *s, str_t table, str_t id, str_t val)
{
  if (s->nrows >= s->nbuckets)
    grow (s);
  row_t **p = slot_of (s, table, id);
  if (*p == NULL)
    {
      row_t *r = calloc (1, sizeof *r);
      if (r == NULL)
        abort ();
      r->hash = row_hash (table, id);
      r->table = heap_dup (table);
      r->id = heap_dup (id);
      *p = r;
      s->nrows++;
    }
  else
    heap_free (&(*p)->val);
  (*p)->val = heap_dup (val);
}

static void
drop (sim_t *s, str_t table, str_t id)
{
  row_t **p = s->nbuckets ? slot_of (s, table, id) : NULL;
  row_t *r = p ? *p : NULL;

  if (r == NULL)
    return;
  *p = r->next;
  heap_free (&r->table);
  heap_free (&r->id);
  heap_free (&r->val);
  free (r);
  s->nrows--;
}

/* ---- writes ---- */

op_t *
ops_add (ops_t *o, str_t table, str_t id)
{
  op_t *p = realloc (o->op, (o->n + 1) * sizeof *p);

  if (p == NULL)
    abort ();
  o->op = p;
  p += o->n++;
  *p = (op_t){ .table = heap_dup (table), .id = heap_dup (id) };
  return p;
}

op_t *
ops_find (const ops_t *o, str_t table, str_t id)
{
  for (size_t i = o->n; i-- > 0;)
    if (str_eq (o->op[i].id, id) && str_eq (o->op[i].table, table))
      return &o->op[i];
  return NULL;
}

void
ops_free (ops_t *o)
{
  for (size_t i = 0; i < o->n; i++)
    {
      heap_free (&o->op[i].table);
      heap_free (&o->op[i].id);
      heap_free (&o->op[i].val);
      heap_free (&o->op[i].old);
    }
  free (o->op);
  *o = (ops_t){ 0 };
}

/* ---- log ---- */

static void
apply (sim_t *s, op_t *op)
{
  row_t *r = store_find (s, op->table, op->id);

  op->existed = r != NULL;
  if (r)
    op->old = heap_dup (r->val);
  if (op->del)
    drop (s, op->table, op->id);
  else
    put (s, op->table, op->id, op->val);
}

void
store_append (sim_t *s, ops_t *ops)
{
  if (s->pos == s->logcap)
    {
      s->logcap = s->logcap ? s->logcap * 2 : 1024;
      s->log = realloc (s->log, (size_t)s->logcap * sizeof *s->log);
      if (s->log == NULL)
        abort ();
    }
  for (size_t i = 0; i < ops->n; i++)
    apply (s, &ops->op[i]);
  s->log[s->pos++] = *ops;
  *ops = (ops_t){ 0 };
}

void
store_truncate (sim_t *s, int64_t pos)
{
  while (s->pos > pos)
    {
      ops_t *o = &s->log[--s->pos];
      for (size_t i = o->n; i-- > 0;)
        if (o->op[i].existed)
          put (s, o->op[i].table, o->op[i].id, o->op[i].old);
        else
          drop (s, o->op[i].table, o->op[i].id);
      ops_free (o);
    }
}

/* ---- terms ---- */

int64_t
sim_term (const sim_t *s)
{
  return s->terms.n ? s->terms.at[s->terms.n - 1].term : 0;
}

bool
sim_readonly (const sim_t *s)
{
  return !s->primary || s->fence > sim_term (s);
}

void
terms_text (const terms_t *t, buf_t *out)
{
  for (int i = 0; i < t->n; i++)
    buf_fmt (out, "%s%lld:%lld", i ? "," : "", (long long)t->at[i].term,
             (long long)t->at[i].start);
}

bool
terms_parse (str_t text, terms_t *t)
{
  t->n = 0;
  while (text.n)
    {
      char *comma = memchr (text.p, ',', text.n);
      size_t n = comma ? (size_t)(comma - text.p) : text.n;
      char *colon = memchr (text.p, ':', n);
      if (colon == NULL || t->n == TERMS_MAX)
        return false;
      size_t k = (size_t)(colon - text.p);
      epoch_t *e = &t->at[t->n++];
      if (!str_int ((str_t){ text.p, k }, &e->term)
          || !str_int ((str_t){ colon + 1, n - k - 1 }, &e->start))
        return false;
      n += comma != NULL;
      text = (str_t){ text.p + n, text.n - n };
    }
  return true;
}

void
terms_cut (terms_t *t, int64_t pos, int64_t below)
{
  while (t->n > 1
         && (t->at[t->n - 1].start > pos || t->at[t->n - 1].term >= below))
    t->n--;
}

int64_t
terms_common (const terms_t *a, int64_t ap, const terms_t *b, int64_t bp)
{
  int64_t common = 0;

  for (int i = 0, k = 0; i < a->n && k < b->n;)
    if (a->at[i].term < b->at[k].term)
      i++;
    else if (a->at[i].term > b->at[k].term)
      k++;
    else if (a->at[i].start != b->at[k].start)
      break;
    else
      {
        int64_t ae = i + 1 < a->n ? a->at[i + 1].start : ap;
        int64_t be = k + 1 < b->n ? b->at[k + 1].start : bp;
        common = ae < be ? ae : be;
        if (ae != be)
          break;
        i++;
        k++;
      }
  return common;
}

bool
terms_cover (const terms_t *t, int64_t pos, int64_t term, int64_t want)
{
  for (int i = 0; i < t->n; i++)
    if (t->at[i].term > term)
      {
        int64_t start = t->at[i].start;
        return pos >= (want < start ? want : start);
      }
  return t->n && t->at[t->n - 1].term == term && pos >= want;
}
