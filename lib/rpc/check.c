#include "rpc.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <string.h>

enum
{
  SLOTS_MAX = 100000,             /* statements at a time */
  CONNECTIONS_MAX = 1000000,      /* to one database */
  TIMEOUT_MAX = 24 * 3600 * 1000, /* ms */
  RATE_MAX = 1000000000           /* operations, of a quota */
};

/* Ids and names become words of line protocols: they contain neither blanks
   nor control characters.  */
static bool
is_name (str_t s)
{
  if (s.n == 0 || s.n > NAME_MAX_BYTES)
    return false;
  for (size_t i = 0; i < s.n; i++)
    if ((unsigned char)s.p[i] <= ' ' || (unsigned char)s.p[i] >= 0x7f)
      return false;
  return true;
}

static bool
is_address (str_t s)
{
  char host[NAME_MAX_BYTES + 1];
  struct in_addr in;
  int64_t port;
  const char *colon = s.n ? memrchr (s.p, ':', s.n) : NULL;
  size_t n = colon ? (size_t)(colon - s.p) : 0;

  if (n == 0 || s.n > NAME_MAX_BYTES
      || !str_int ((str_t){ s.p + n + 1, s.n - n - 1 }, &port) || port < 1
      || port > 65535)
    return false;
  memcpy (host, s.p, n);
  host[n] = '\0';
  return inet_pton (AF_INET, host, &in) == 1;
}

bool
address_check (str_t s, const char *field, err_t *e)
{
  return is_address (s)
         || err_set (e, ERR_RANGE, field,
                     "IP-NUMBER:PORT with a port from 1 to 65535 is required");
}

bool
name_check (str_t s, const char *field, err_t *e)
{
  return is_name (s)
         || err_set (e, ERR_RANGE, field,
                     "1 to %d printable characters without blanks are "
                     "required",
                     NAME_MAX_BYTES);
}

static bool
check_int (int64_t n, int64_t min, int64_t max, const char *field, err_t *e)
{
  return (n >= min && n <= max)
         || err_set (e, ERR_RANGE, field, "%lld is not between %lld and %lld",
                     (long long)n, (long long)min, (long long)max);
}

bool
backend_check (const backend_t *b, err_t *e)
{
  if (!name_check (b->id, "id", e)
      || !check_int (b->age, 0, INT32_MAX, "age", e))
    return false;
  if (b->gone)
    return check_int (b->born, -1, BORN_MAX, "born", e)
           && check_int (b->seq, -1, SEQ_MAX, "seq", e);
  return name_check (b->service, "service", e)
         && address_check (b->address, "address", e)
         && (b->zone.n == 0 || name_check (b->zone, "zone", e))
         && check_int (b->born, 0, BORN_MAX, "born", e)
         && check_int (b->seq, 0, SEQ_MAX, "seq", e)
         && check_int (b->slots, 0, SLOTS_MAX, "slots", e);
}

static bool
bound (int64_t *n, int64_t min, int64_t max)
{
  int64_t was = *n;

  *n = was < min ? min : was > max ? max : was;
  return *n != was;
}

int
setup_bound (setup_t *s)
{
  int changed = bound (&s->tx_idle, 0, TIMEOUT_MAX);

  for (size_t i = 0; i < s->routes.n; i++)
    {
      route_entry_t *r = LIST_AT (s->routes, route_entry_t, i);
      changed += bound (&r->timeout, 1, TIMEOUT_MAX);
      changed += bound (&r->max_age, 0, TIMEOUT_MAX);
      changed += bound (&r->target, 0, TIMEOUT_MAX);
      changed += bound (&r->priority, 0, INT32_MAX);
      if (r->freshness < FRESH_PRIMARY || r->freshness > FRESH_SESSION)
        {
          r->freshness = FRESH_PRIMARY;
          changed++;
        }
    }
  for (size_t i = 0; i < s->services.n; i++)
    {
      service_entry_t *v = LIST_AT (s->services, service_entry_t, i);
      changed += bound (&v->connections, 1, CONNECTIONS_MAX);
      changed += bound (&v->sync_replicas, 0, INT32_MAX);
    }
  for (size_t i = 0; i < s->tenants.n; i++)
    {
      tenant_entry_t *t = LIST_AT (s->tenants, tenant_entry_t, i);
      changed += bound (&t->priority, 0, INT32_MAX);
      changed += bound (&t->rate, 0, RATE_MAX);
      changed += bound (&t->burst, 0, RATE_MAX);
    }
  return changed;
}
