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
}
