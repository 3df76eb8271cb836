#include "proxy.h"

#include <stdlib.h>

enum
{
  /* Connections to each database that an owner makes use of: transactions hold
     some while their clients pause.  */
  CONNECTIONS_PER_OWNER = 4,
  /* Fewer where instances of the zone would own nothing.  */
  CONNECTIONS_PER_OWNER_MIN = 3
};

bool
owners_needed (int connections, int entries)
{
  /* Half of the connections stay free to replace lost ones, which the database
     may still count.  */
  return entries > 0 && connections / 2 < entries;
}

static int
count (int connections, int entries, int near, int each)
{
  int all = connections / 2 / each;
  int n;

  if (entries < near)
    entries = near;
  if (near == 0)
    return 0;
  n = (all * near + entries - 1) / entries;
  if (n < 1)
    n = 1;
  return n < near ? n : near;
}

int
owners_count (int connections, int entries, int near)
{
  return count (connections, entries, near, CONNECTIONS_PER_OWNER);
}

int
owners_spread (int connections, int entries, int near, int nservice)
{
  int least = owners_count (connections, entries, near);
  int most = count (connections, entries, near, CONNECTIONS_PER_OWNER_MIN);
  int even = nservice > 0 ? near / nservice : 0;

  if (even > most)
    even = most;
  return even > least ? even : least;
}

static uint64_t
rank (str_t service, str_t address)
{
  return str_hash (service) * 0x9e3779b97f4a7c15u ^ str_hash (address);
}

static uint64_t
mix (uint64_t x)
{
  x ^= x >> 32;
  x *= 0xd6e8feb86659fd93u;
  x ^= x >> 32;
  return x;
}

/* owners_pick among the addresses with a LOAD below CAP; all, if LOAD is
   NULL.  */
static int
pick (str_t service, const str_t *address, int n, int k, const int *load,
      int cap, int *out)
{
  uint64_t best[OWNERS_MAX] = { 0 };
  int found = 0;

  if (k > OWNERS_MAX)
    k = OWNERS_MAX;
  for (int i = 0; i < n; i++)
    {
      uint64_t r = mix (rank (service, address[i]));
      int at = found;
      while (at > 0 && best[at - 1] < r)
        at--;
      if (at >= k || (load && load[i] >= cap))
        continue;
      if (found < k)
        found++;
      for (int j = found - 1; j > at; j--)
        {
          best[j] = best[j - 1];
          out[j] = out[j - 1];
        }
      best[at] = r;
      out[at] = i;
    }
  return found;
}

int
owners_pick (str_t service, const str_t *address, int n, int k, int *out)
{
  return pick (service, address, n, k, NULL, 0, out);
}

static int
role_compare (const void *a, const void *b)
{
  const owner_role_t *const *x = a, *const *y = b;
  uint64_t h = str_hash ((*x)->service), g = str_hash ((*y)->service);

  return h < g ? -1 : h > g;
}

void
owners_assign (owner_role_t *role, int nrole, const str_t *address, int n)
{
  owner_role_t **order = calloc ((size_t)nrole + 1, sizeof *order);
  int *load = calloc ((size_t)n + 1, sizeof *load);
  int total = 0;

  if (order == NULL || load == NULL)
    abort ();
  for (int i = 0; i < nrole; i++)
    {
      order[i] = &role[i];
      if (role[i].want > n)
        role[i].want = n;
      if (role[i].want > OWNERS_MAX)
        role[i].want = OWNERS_MAX;
      total += role[i].want;
    }
  qsort (order, (size_t)nrole, sizeof (owner_role_t *), role_compare);
  for (int i = 0; i < nrole; i++)
    {
      owner_role_t *r = order[i];
      /* The last services may find too few addresses below the even share.  */
      int cap = (total + n - 1) / n;
      do
        r->n = pick (r->service, address, n, r->want, load, cap++, r->owner);
      while (r->n < r->want);
      for (int j = 0; j < r->n; j++)
        load[r->owner[j]]++;
    }
  free (load);
  free (order);
}
