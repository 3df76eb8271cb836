#include "local.h"

tenant_t *
tenant_get (proxy_t *p, str_t name)
{
  tenant_t *t = apr_hash_get (p->tenant_by_name, name.p, (apr_ssize_t)name.n);

  if (t)
    return t;
  t = apr_pcalloc (p->pool, sizeof *t);
  t->name = str_dup (p->pool, name);
  t->next = p->tenants;
  p->tenants = t;
  apr_hash_set (p->tenant_by_name, t->name.p, (apr_ssize_t)name.n, t);
  return t;
}

tenant_t *
tenant_find (const proxy_t *p, str_t name)
{
  tenant_t *t = apr_hash_get (p->tenant_by_name, name.p, (apr_ssize_t)name.n);

  return t && p->setup && t->setup_version == p->setup->version ? t : NULL;
}

tenant_t *
tenant_of_key (const proxy_t *p, str_t key)
{
  return p->tenant_by_key
             ? apr_hash_get (p->tenant_by_key, key.p, (apr_ssize_t)key.n)
             : NULL;
}

static void
update_keys (proxy_t *p)
{
  setup_t *s = p->setup;

  p->tenant_by_key = apr_hash_make (p->setup_pool);
  for (size_t i = 0; i < s->keys.n; i++)
    {
      const api_key_t *k = LIST_AT (s->keys, api_key_t, i);
      if (k->tenant < 0 || (size_t)k->tenant >= s->tenants.n || k->key.n == 0)
        continue;
      const tenant_entry_t *x
          = LIST_AT (s->tenants, tenant_entry_t, (size_t)k->tenant);
      apr_hash_set (p->tenant_by_key, k->key.p, (apr_ssize_t)k->key.n,
                    tenant_get (p, x->name));
    }
}

void
tenants_update (proxy_t *p)
{
  p->has_quotas = false;
  for (size_t i = 0; i < p->setup->tenants.n; i++)
    {
      const tenant_entry_t *x = LIST_AT (p->setup->tenants, tenant_entry_t, i);
      tenant_t *t = tenant_get (p, x->name);
      t->rate = x->rate;
      t->burst = x->burst;
      p->has_quotas |= x->rate > 0;
      t->setup_version = p->setup->version;
    }
  update_keys (p);
}
