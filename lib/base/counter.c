#include "base.h"

#include <pthread.h>
#include <stdatomic.h>
#include <stdlib.h>
#include <string.h>

struct counter
{
  _Atomic int64_t value;
  char *name;
  char *help;
  struct counter *next;
};

static pthread_mutex_t lock = PTHREAD_MUTEX_INITIALIZER;
static counter_t *counters;

counter_t *
counter_get (const char *name, const char *help)
{
  counter_t *c;

  pthread_mutex_lock (&lock);
  for (c = counters; c; c = c->next)
    if (strcmp (c->name, name) == 0)
      break;
  if (c == NULL)
    {
      c = calloc (1, sizeof *c);
      if (c == NULL)
        abort ();
      c->name = strdup (name);
      c->help = strdup (help);
      c->next = counters;
      counters = c;
    }
  pthread_mutex_unlock (&lock);
  return c;
}

void
counter_add (counter_t *c, int64_t n)
{
  atomic_fetch_add_explicit (&c->value, n, memory_order_relaxed);
}

void
counter_set (counter_t *c, int64_t n)
{
  atomic_store_explicit (&c->value, n, memory_order_relaxed);
}

int64_t
counter_value (const counter_t *c)
{
  return atomic_load_explicit (&c->value, memory_order_relaxed);
}

void
counter_text (buf_t *out)
{
  pthread_mutex_lock (&lock);
  for (counter_t *c = counters; c; c = c->next)
    {
      int n = (int)strcspn (c->name, "{");
      buf_fmt (out, "# HELP %.*s %s\n%s %lld\n", n, c->name, c->help, c->name,
               (long long)counter_value (c));
    }
  pthread_mutex_unlock (&lock);
}
