#include "sim.h"

#include <stdlib.h>

prep_t *
prep_find (prep_t *list, str_t name)
{
  while (list && !str_caseeq (list->name, name))
    list = list->next;
  return list;
}

void
prep_drop (prep_t **list, str_t name)
{
  while (*list && !str_caseeq ((*list)->name, name))
    list = &(*list)->next;
  prep_t *p = *list;
  if (p == NULL)
    return;
  *list = p->next;
  for (int i = 0; i < p->nparams; i++)
    heap_free (&p->param[i]);
  free (p->param);
  heap_free (&p->name);
  heap_free (&p->sql);
  free (p);
}

void
prep_clear (prep_t **list)
{
  while (*list)
    prep_drop (list, (*list)->name);
}

void
prep_set (prep_t **list, str_t name, str_t sql)
{
  prep_drop (list, name);
  prep_t *p = calloc (1, sizeof *p);
  if (p == NULL)
    abort ();
  p->name = heap_dup (name);
  p->sql = heap_dup (sql);
  p->next = *list;
  *list = p;
}
