#include "local.h"

/* The shares of tenants in the queue of a service, from the rates that the
   configuration gives them.  */

fair_flow_t *
share_flow (session_t *s)
{
  service_t *v = s->service;
  const void *key = s->tenant;
  proxy_t *p = s->proxy;

  if (v->shares == NULL)
    v->shares = apr_hash_make (p->pool);
  fair_flow_t *f = apr_hash_get (v->shares, &key, sizeof key);
  if (f)
    return f;
  /* It lives as long as the process, as the tenant does.  */
  struct
  {
    const void *key;
    fair_flow_t flow;
  } *x = apr_pcalloc (p->pool, sizeof *x);
  x->key = key;
  apr_hash_set (v->shares, &x->key, sizeof x->key, &x->flow);
  return &x->flow;
}

static void
sum_rates (proxy_t *p)
{
  const setup_t *m = p->setup;

  p->rates = 0;
  for (size_t i = 0; i < m->tenants.n; i++)
    p->rates += (double)LIST_AT (m->tenants, tenant_entry_t, i)->rate;
  p->rates_version = m->version;
}

double
share_of (proxy_t *p, const tenant_t *t)
{
  size_t n = p->setup ? p->setup->tenants.n : 0;

  if (n == 0)
    return 1;
  if (p->rates_version != p->setup->version)
    sum_rates (p);
  if (p->rates <= 0 || t == NULL || t->rate <= 0)
    return 1 / (double)n;
  /* At least half of the mean: two statements of a rare tenant are no burst.
   */
  double share = (double)t->rate / p->rates, least = 0.5 / (double)n;
  return share > least ? share : least;
}
