#include "local.h"

#include <stdlib.h>
#include <string.h>

static str_t
copy (str_t s)
{
  str_t t = { malloc (s.n + 1), s.n };

  if (t.p == NULL)
    abort ();
  if (s.n)
    memcpy (t.p, s.p, s.n);
  t.p[s.n] = '\0';
  return t;
}

static value_t *
find (const values_t *v, str_t name)
{
  for (int i = 0; i < v->n; i++)
    if (str_eq (v->at[i].name, name))
      return &v->at[i];
  return NULL;
}

static void
grow (values_t *v)
{
  v->cap = v->cap ? 2 * v->cap : 4;
  v->at = realloc (v->at, (size_t)v->cap * sizeof *v->at);
  if (v->at == NULL)
    abort ();
}

void
values_set (values_t *v, str_t name, str_t value)
{
  value_t *x = find (v, name);

  v->bytes += value.n;
  if (x)
    {
      v->bytes -= x->value.n;
      free (x->value.p);
      x->value = copy (value);
      return;
    }
  v->bytes += name.n;
  if (v->n == v->cap)
    grow (v);
  v->at[v->n++] = (value_t){ copy (name), copy (value) };
}

bool
values_full (const values_t *v, str_t name, int max)
{
  return v->n >= max && find (v, name) == NULL;
}

const str_t *
values_get (const values_t *v, str_t name)
{
  const value_t *x = find (v, name);

  return x ? &x->value : NULL;
}

bool
values_drop (values_t *v, str_t name)
{
  value_t *x = find (v, name);

  if (x == NULL)
    return false;
  v->bytes -= x->name.n + x->value.n;
  free (x->name.p);
  free (x->value.p);
  *x = v->at[--v->n];
  return true;
}

bool
values_equal (const values_t *v, const values_t *want)
{
  if (v->n != want->n)
    return false;
  for (int i = 0; i < want->n; i++)
    {
      const str_t *x = values_get (v, want->at[i].name);
      if (x == NULL || !str_eq (*x, want->at[i].value))
        return false;
    }
  return true;
}

void
values_free (values_t *v)
{
  for (int i = 0; i < v->n; i++)
    {
      free (v->at[i].name.p);
      free (v->at[i].value.p);
    }
  free (v->at);
  *v = (values_t){ 0 };
}
