#include "lint.h"

#include <apr_hash.h>
#include <string.h>

/* Warnings about one configuration.  */

typedef struct
{
  findings_t *out;
  const setup_t *s;
  const lint_facts_t *facts;
} check_t;

static void
warn (const check_t *c, const char *list, size_t i, const char *field,
      const char *text)
{
  lint_add (c->out, LINT_WARNING,
            str_fmt (c->out->pool, "%s[%zu].%s", list, i, field), "%s", text);
}

/* ---- entries that can never match ---- */

/* A field of a start-up message ends at a blank or at the line's end.  */
static bool
is_sendable (str_t s, bool last_field)
{
  for (size_t i = 0; i < s.n; i++)
    if (s.p[i] == '\r' || s.p[i] == '\n' || s.p[i] == '\0'
        || (s.p[i] == ' ' && !last_field))
      return false;
  return s.n > 0;
}

static void
check_hosts (const check_t *c)
{
  apr_hash_t *seen = apr_hash_make (c->out->pool);

  for (size_t i = 0; i < c->s->routes.n; i++)
    {
      const route_entry_t *r = LIST_AT (c->s->routes, route_entry_t, i);
      if (!is_sendable (r->host, false))
        warn (c, "routes", i, "host",
              "never matches: no start-up message can contain this name");
      if (apr_hash_get (seen, r->host.p, (apr_ssize_t)r->host.n))
        warn (c, "routes", i, "host",
              "another route has this name; only the last of them is used");
      apr_hash_set (seen, r->host.p, (apr_ssize_t)r->host.n, r);
    }
}

static bool
is_routed (const setup_t *s, str_t service)
{
  for (size_t i = 0; i < s->routes.n; i++)
    if (str_eq (LIST_AT (s->routes, route_entry_t, i)->service, service))
      return true;
  return false;
}

static bool
has_key (const setup_t *s, size_t tenant)
{
  for (size_t i = 0; i < s->keys.n; i++)
    if (LIST_AT (s->keys, api_key_t, i)->tenant == (int64_t)tenant)
      return true;
  return false;
}

static size_t
routes_with_tenants (const setup_t *s)
{
  size_t n = 0;

  for (size_t i = 0; i < s->routes.n; i++)
    n += !LIST_AT (s->routes, route_entry_t, i)->anonymous;
  return n;
}

static void
check_unused (const check_t *c)
{
  const setup_t *s = c->s;

  for (size_t i = 0; i < s->services.n; i++)
    if (!is_routed (s, LIST_AT (s->services, service_entry_t, i)->name))
      warn (c, "services", i, "name", "no route leads to this service");
  for (size_t i = 0; i < s->tenants.n; i++)
    if (!has_key (s, i))
      warn (c, "tenants", i, "keys",
            "no caller can be this tenant: it has no key");
  for (size_t i = 0; i < s->keys.n; i++)
    {
      const api_key_t *k = LIST_AT (s->keys, api_key_t, i);
      if (!is_sendable (k->key, true))
        warn (c, "tenants", (size_t)k->tenant, "keys",
              "a key never matches: no start-up message can contain it");
    }
  if (s->tenants.n && routes_with_tenants (s) == 0)
    lint_add (c->out, LINT_WARNING, STR ("tenants"),
              "never used: no route identifies its callers");
  if (s->tenanted && s->tenants.n == 0 && routes_with_tenants (s))
    lint_add (c->out, LINT_WARNING, STR ("tenants"),
              "empty, so every caller of %zu routes is refused",
              routes_with_tenants (s));
}

/* ---- limits that contradict each other ---- */

static void
check_route_limits (const check_t *c, size_t i)
{
  const route_entry_t *r = LIST_AT (c->s->routes, route_entry_t, i);
  int64_t lag = c->facts->lag;

  if (r->target > r->timeout)
    warn (c, "routes", i, "target",
          "above the time-out of a single statement, so a statement is given "
          "up while it is still on time");
  if (r->freshness == FRESH_PRIMARY && r->max_age > 0)
    warn (c, "routes", i, "max_age",
          "not used: reads of this route see every commit");
  if (r->freshness != FRESH_PRIMARY && r->max_age == 0)
    warn (c, "routes", i, "max_age",
          "zero, so every read of this route needs the primary");
  else if (r->freshness != FRESH_PRIMARY && lag > 0 && r->max_age < lag)
    warn (c, "routes", i, "max_age",
          "below the usual lag of the replicas, so reads go to the primary");
  if (c->s->tx_idle > 0 && c->s->tx_idle < r->target)
    warn (c, "routes", i, "target",
          "above the time that a transaction may be idle");
}

static void
check_service_limits (const check_t *c, size_t i)
{
  const service_entry_t *v = LIST_AT (c->s->services, service_entry_t, i);
  const lint_facts_t *k = c->facts;

  if (k->instances > 0 && v->connections < 2)
    warn (c, "services", i, "connections",
          "too few: one is needed beside those of a failed instance");
  if (k->slots > 0 && v->connections < k->slots)
    warn (c, "services", i, "connections",
          "fewer than a database has slots, so slots stay unused");
  if (k->databases > 0 && v->sync_replicas >= k->databases)
    warn (c, "services", i, "sync_replicas",
          "no commit is acknowledged: there are not so many replicas");
}

static void
check_quotas (const check_t *c)
{
  const lint_facts_t *k = c->facts;
  double rates = 0, capacity;

  for (size_t i = 0; i < c->s->tenants.n; i++)
    {
      const tenant_entry_t *t = LIST_AT (c->s->tenants, tenant_entry_t, i);
      rates += (double)t->rate;
      if (t->rate > 0 && t->burst == 0)
        warn (c, "tenants", i, "burst",
              "zero beside a rate: operations that come together are refused");
      if (t->rate == 0 && t->burst > 0)
        warn (c, "tenants", i, "burst", "not used: there is no rate");
    }
  if (k->databases == 0 || k->slots == 0 || k->work == 0)
    return;
  capacity = (double)(c->s->services.n) * (double)k->databases
             * (double)k->slots * 1000 / (double)k->work;
  if (rates > capacity)
    lint_add (c->out, LINT_WARNING, STR ("tenants"),
              "the rates add up to %.0f operations/s, but the slots of all "
              "databases run %.0f",
              rates, capacity);
}

void
lint_setup (findings_t *f, const setup_t *s, const lint_facts_t *facts)
{
  check_t c = { f, s, facts };

  check_hosts (&c);
  check_unused (&c);
  for (size_t i = 0; i < s->routes.n; i++)
    check_route_limits (&c, i);
  for (size_t i = 0; i < s->services.n; i++)
    check_service_limits (&c, i);
  check_quotas (&c);
}
