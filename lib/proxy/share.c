#include "local.h"

#include <stdio.h>

/* The shares of tenants in the queue of a service, from the rates that the
   configuration gives them.  */

enum
{
  LABELLED_MAX = 32 /* tenants with metrics of their own; the others share
                       one */
};

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

/* ---- metrics ---- */

/* Only tenants with at least the mean rate have a label of their own, so that
   the number of metrics doesn't grow with that of the tenants.  */
static bool
is_labelled (proxy_t *p, tenant_t *t)
{
  if (t == NULL || t->labelled)
    return t != NULL;
  if (p->nlabelled == LABELLED_MAX
      || share_of (p, t) * (double)p->setup->tenants.n < 1)
    return false;
  p->nlabelled++;
  return t->labelled = true;
}

static counter_t *
tenant_counter (const char *name, const char *label, const char *help)
{
  char text[512];

  snprintf (text, sizeof text, "%s{tenant=\"%s\"}", name, label);
  return counter_get (text, help);
}

static void
share_metrics (proxy_t *p, share_t *x, tenant_t *t)
{
  char label[256];

  if (!is_labelled (p, t) || !str_copy (label, sizeof label, t->name))
    str_copy (label, sizeof label, STR ("other"));
  for (char *c = label; *c; c++)
    if (*c == '"' || *c == '\\' || (unsigned char)*c < ' ')
      *c = '_';
  x->started = tenant_counter ("pimentopost_tenant_started_total", label,
                               "statements sent to a database");
  x->wait_ms = tenant_counter ("pimentopost_tenant_wait_ms_total", label,
                               "ms that these waited before");
  x->refused = tenant_counter ("pimentopost_tenant_hopeless_total", label,
                               "statements refused since too many waited");
}

share_t *
share_get (session_t *s)
{
  service_t *v = s->service;
  proxy_t *p = s->proxy;

  if (v->shares == NULL)
    v->shares = apr_hash_make (p->pool);
  share_t *x = apr_hash_get (v->shares, &s->tenant, sizeof s->tenant);
  if (x)
    return x;
  /* It lives as long as the process, as the tenant does.  */
  x = apr_pcalloc (p->pool, sizeof *x);
  x->tenant = s->tenant;
  share_metrics (p, x, s->tenant);
  apr_hash_set (v->shares, &x->tenant, sizeof x->tenant, x);
  return x;
}
