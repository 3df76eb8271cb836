#include "local.h"

#include <stdio.h>

/* Metrics of tenants.  A metric is never deleted, so that only the tenants
   with the most operations get their own ones, and a bounded number of them
   during the life of the process; the others are summed.  */

enum
{
  USAGE_INTERVAL = 5000, /* ms */
  USAGE_TOP = 16,        /* tenants with the most operations */
  USAGE_NAMED = 32       /* tenants with metrics of their own, in all */
};

static int64_t
operations (const tenant_t *t)
{
  return t->use->admitted + t->use->refused;
}

/* The tenants with the most operations, in OUT; returns their number.  */
static int
largest (const proxy_t *p, tenant_t **out)
{
  int n = 0;

  for (tenant_t *t = p->tenants; t; t = t->next)
    {
      int at = n;
      if (t->use == NULL)
        continue;
      while (at > 0 && operations (out[at - 1]) < operations (t))
        at--;
      if (at >= USAGE_TOP)
        continue;
      n += n < USAGE_TOP;
      for (int i = n - 1; i > at; i--)
        out[i] = out[i - 1];
      out[at] = t;
    }
  return n;
}

static counter_t *
counter_of (const char *what, str_t tenant)
{
  char name[NAME_SIZE + 64];
  int n = snprintf (name, sizeof name, "pimentopost_tenant_%s_total{tenant=\"",
                    what);

  for (size_t i = 0; i < tenant.n && n < (int)sizeof name - 3; i++)
    {
      char c = tenant.p[i];
      name[n++] = c == '"' || c == '\\' || c < ' ' ? '_' : c;
    }
  snprintf (name + n, sizeof name - (size_t)n, "\"}");
  return counter_get (name, "operations of a tenant within and beyond its "
                            "quota; tenant=\"\": all without their own");
}

static void
name_tenant (proxy_t *p, const tenant_t *t)
{
  quota_use_t *u = t->use;

  if (u->admitted_total || p->gate->nnamed >= USAGE_NAMED)
    return;
  p->gate->nnamed++;
  u->admitted_total = counter_of ("admitted", t->name);
  u->refused_total = counter_of ("refused", t->name);
}

void
usage_turn (proxy_t *p, msec_t now)
{
  gate_t *g = p->gate;
  tenant_t *top[USAGE_TOP];
  int64_t admitted = 0, refused = 0;

  if (!p->has_quotas || now - g->usage_at < USAGE_INTERVAL)
    return;
  g->usage_at = now;
  int n = largest (p, top);
  for (int i = 0; i < n; i++)
    name_tenant (p, top[i]);
  for (const tenant_t *t = p->tenants; t; t = t->next)
    if (t->use == NULL)
      continue;
    else if (t->use->admitted_total)
      {
        counter_set (t->use->admitted_total, t->use->admitted);
        counter_set (t->use->refused_total, t->use->refused);
      }
    else
      {
        admitted += t->use->admitted;
        refused += t->use->refused;
      }
  counter_set (counter_of ("admitted", (str_t){ 0 }), admitted);
  counter_set (counter_of ("refused", (str_t){ 0 }), refused);
}
