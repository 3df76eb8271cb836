#include "proxy.h"

enum
{
  /* Connections to each database that an owner makes use of: transactions hold
     some while their clients pause.  */
  CONNECTIONS_PER_OWNER = 4
};

bool
owners_needed (int connections, int entries)
{
  /* Half of the connections stay free to replace lost ones, which the database
     may still count.  */
  return entries > 0 && connections / 2 < entries;
}

int
owners_count (int connections, int entries, int near)
{
  int all = connections / 2 / CONNECTIONS_PER_OWNER;
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

int
owners_pick (str_t service, const str_t *address, int n, int k, int *out)
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
      if (at >= k)
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
