#include "lint.h"

#include <apr_hash.h>

/* What differs between two configurations, by entry and field.  */

typedef struct
{
  findings_t *out;
  const char *list;
  str_t name; /* of the entry */
} entry_t;

static str_t
path_of (const entry_t *x, const char *field)
{
  return str_fmt (x->out->pool, "%s[" STR_FMT "]%s%s", x->list,
                  STR_ARG (x->name), *field ? "." : "", field);
}

static void
diff_int (const entry_t *x, const char *field, int64_t from, int64_t to)
{
  if (from != to)
    lint_add (x->out, LINT_CHANGE, path_of (x, field), "%lld, was %lld",
              (long long)to, (long long)from);
}

static void
added (const entry_t *x)
{
  lint_add (x->out, LINT_CHANGE, path_of (x, ""), "added");
}

static void
removed (const entry_t *x)
{
  lint_add (x->out, LINT_CHANGE, path_of (x, ""), "removed");
}

/* ---- a list of entries with names ---- */

typedef struct
{
  const char *list;
  size_t size;                       /* bytes of an entry */
  str_t (*name) (const void *entry); /* identifies it in both versions */
  void (*diff) (const entry_t *x, const void *from, const void *to);
} list_kind_t;

static const void *
entry_at (const list_kind_t *k, list_t l, size_t i)
{
  return (const char *)l.v + i * k->size;
}

static apr_hash_t *
index_names (apr_pool_t *pool, const list_kind_t *k, list_t l)
{
  apr_hash_t *h = apr_hash_make (pool);

  for (size_t i = 0; i < l.n; i++)
    {
      str_t name = k->name (entry_at (k, l, i));
      apr_hash_set (h, name.p, (apr_ssize_t)name.n, entry_at (k, l, i));
    }
  return h;
}

static void
diff_list (findings_t *f, const list_kind_t *k, list_t from, list_t to)
{
  apr_hash_t *was = index_names (f->pool, k, from);
  apr_hash_t *is = index_names (f->pool, k, to);

  for (size_t i = 0; i < from.n; i++)
    {
      str_t name = k->name (entry_at (k, from, i));
      entry_t x = { f, k->list, name };
      if (!apr_hash_get (is, name.p, (apr_ssize_t)name.n))
        removed (&x);
    }
  for (size_t i = 0; i < to.n; i++)
    {
      str_t name = k->name (entry_at (k, to, i));
      entry_t x = { f, k->list, name };
      const void *old = apr_hash_get (was, name.p, (apr_ssize_t)name.n);
      if (old)
        k->diff (&x, old, entry_at (k, to, i));
      else
        added (&x);
    }
}

/* ---- the lists ---- */

static str_t
route_name (const void *entry)
{
  return ((const route_entry_t *)entry)->host;
}

static void
diff_route (const entry_t *x, const void *from, const void *to)
{
  const route_entry_t *a = from, *b = to;

  if (!str_eq (a->service, b->service))
    lint_add (x->out, LINT_CHANGE, path_of (x, "service"),
              STR_FMT ", was " STR_FMT, STR_ARG (b->service),
              STR_ARG (a->service));
  diff_int (x, "freshness", a->freshness, b->freshness);
  diff_int (x, "max_age", a->max_age, b->max_age);
  diff_int (x, "timeout", a->timeout, b->timeout);
  diff_int (x, "target", a->target, b->target);
  diff_int (x, "priority", a->priority, b->priority);
  diff_int (x, "anonymous", a->anonymous, b->anonymous);
}

static str_t
service_name (const void *entry)
{
  return ((const service_entry_t *)entry)->name;
}

static void
diff_service (const entry_t *x, const void *from, const void *to)
{
  const service_entry_t *a = from, *b = to;

  diff_int (x, "connections", a->connections, b->connections);
  diff_int (x, "sync_replicas", a->sync_replicas, b->sync_replicas);
}

static str_t
tenant_name (const void *entry)
{
  return ((const tenant_entry_t *)entry)->name;
}

static void
diff_tenant (const entry_t *x, const void *from, const void *to)
{
  const tenant_entry_t *a = from, *b = to;

  diff_int (x, "priority", a->priority, b->priority);
  diff_int (x, "rate", a->rate, b->rate);
  diff_int (x, "burst", a->burst, b->burst);
}

/* ---- keys, which are never printed ---- */

/* The number of keys of TENANT in S that OTHER doesn't give to it.  */
static int
keys_missing (apr_pool_t *pool, const setup_t *s, const setup_t *other,
              str_t tenant)
{
  apr_hash_t *have = apr_hash_make (pool);
  int n = 0;

  for (size_t i = 0; i < other->keys.n; i++)
    {
      const api_key_t *k = LIST_AT (other->keys, api_key_t, i);
      if (str_eq (LIST_AT (other->tenants, tenant_entry_t, k->tenant)->name,
                  tenant))
        apr_hash_set (have, k->key.p, (apr_ssize_t)k->key.n, k);
    }
  for (size_t i = 0; i < s->keys.n; i++)
    {
      const api_key_t *k = LIST_AT (s->keys, api_key_t, i);
      n += str_eq (LIST_AT (s->tenants, tenant_entry_t, k->tenant)->name,
                   tenant)
           && !apr_hash_get (have, k->key.p, (apr_ssize_t)k->key.n);
    }
  return n;
}

static void
diff_keys (findings_t *f, const setup_t *from, const setup_t *to)
{
  apr_pool_t *pool;

  for (size_t i = 0; i < to->tenants.n; i++)
    {
      entry_t x
          = { f, "tenants", LIST_AT (to->tenants, tenant_entry_t, i)->name };
      apr_pool_create (&pool, f->pool);
      int plus = keys_missing (pool, to, from, x.name);
      int minus = keys_missing (pool, from, to, x.name);
      apr_pool_destroy (pool);
      if (plus || minus)
        lint_add (f, LINT_CHANGE, path_of (&x, "keys"),
                  "%d added, %d withdrawn", plus, minus);
    }
}

void
lint_diff (findings_t *f, const setup_t *from, const setup_t *to)
{
  static const list_kind_t kinds[]
      = { { "routes", sizeof (route_entry_t), route_name, diff_route },
          { "services", sizeof (service_entry_t), service_name, diff_service },
          { "tenants", sizeof (tenant_entry_t), tenant_name, diff_tenant } };

  if (from->tx_idle != to->tx_idle)
    lint_add (f, LINT_CHANGE, STR ("tx_idle"), "%lld, was %lld",
              (long long)to->tx_idle, (long long)from->tx_idle);
  if (from->tenanted != to->tenanted)
    lint_add (f, LINT_CHANGE, STR ("tenants"), "callers %s a key",
              to->tenanted ? "now need" : "no longer need");
  if (to->version <= from->version)
    lint_add (f, LINT_WARNING, STR ("version"),
              "%lld changes nothing: version %lld is in force",
              (long long)to->version, (long long)from->version);
  diff_list (f, &kinds[0], from->routes, to->routes);
  diff_list (f, &kinds[1], from->services, to->services);
  diff_list (f, &kinds[2], from->tenants, to->tenants);
  diff_keys (f, from, to);
}
