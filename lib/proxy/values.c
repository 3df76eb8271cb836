#include "local.h"

#include <stdlib.h>
#include <string.h>

static char *
copy (str_t s)
{
  char *p = malloc (s.n + 1);

  if (p == NULL)
    abort ();
  if (s.n)
    memcpy (p, s.p, s.n);
  p[s.n] = '\0';
  return p;
}

static value_t *
find (const values_t *v, str_t name)
{
  for (int i = 0; i < v->n; i++)
    if (strlen (v->at[i].name) == name.n
        && memcmp (v->at[i].name, name.p, name.n) == 0)
      return &v->at[i];
  return NULL;
}

void
values_set (values_t *v, str_t name, str_t value)
{
  value_t *x = find (v, name);

  if (x)
    {
      free (x->value);
      x->value = copy (value);
      return;
    }
  if (v->n == v->cap)
    {
      v->cap = v->cap ? 2 * v->cap : 4;
      v->at = realloc (v->at, (size_t)v->cap * sizeof *v->at);
      if (v->at == NULL)
        abort ();
    }
  v->at[v->n++] = (value_t){ copy (name), copy (value) };
}

bool
values_full (const values_t *v, str_t name, int max)
{
  return v->n >= max && find (v, name) == NULL;
}

const char *
values_get (const values_t *v, const char *name)
{
  const value_t *x = find (v, str_of (name));

  return x ? x->value : NULL;
}

bool
values_drop (values_t *v, str_t name)
{
  value_t *x = find (v, name);

  if (x == NULL)
    return false;
  free (x->name);
  free (x->value);
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
      const char *x = values_get (v, want->at[i].name);
      if (x == NULL || strcmp (x, want->at[i].value) != 0)
        return false;
    }
  return true;
}

void
values_free (values_t *v)
{
  for (int i = 0; i < v->n; i++)
    {
      free (v->at[i].name);
      free (v->at[i].value);
    }
  free (v->at);
  *v = (values_t){ 0 };
}
