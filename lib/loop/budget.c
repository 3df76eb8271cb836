#include "loop.h"

#include <stdatomic.h>

void
budget_set_limit (byte_budget_t *b, size_t limit)
{
  b->limit = limit;
}

void
budget_charge (byte_budget_t *b, size_t *held, size_t bytes)
{
  if (bytes >= *held)
    atomic_fetch_add (&b->used, bytes - *held);
  else
    atomic_fetch_sub (&b->used, *held - bytes);
  *held = bytes;
}

size_t
budget_used (const byte_budget_t *b)
{
  return atomic_load (&b->used);
}

bool
budget_scarce (const byte_budget_t *b)
{
  return b->limit && budget_used (b) > b->limit / 2;
}

bool
budget_exceeded (const byte_budget_t *b)
{
  return b->limit && budget_used (b) > b->limit;
}
