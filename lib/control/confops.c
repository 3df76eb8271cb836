#include "control.h"
#include "conf.h"

static bool
generate (void *arg, apr_pool_t *pool, str_t questionnaire, int64_t version,
          str_t *out, err_t *e)
{
  (void)arg;
  (void)version;
  return config_generate (pool, "questionnaire", questionnaire, out, e);
}

static bool
read_config (void *arg, apr_pool_t *pool, str_t canonical, ctl_conf_t *out,
             err_t *e)
{
  const config_t *k = config_parse (pool, canonical, e);

  (void)arg;
  if (!k)
    return false;
  ctl_group_t *g = apr_pcalloc (pool, sizeof *g * (k->ngroups + 1));
  ctl_instance_t *x = apr_pcalloc (pool, sizeof *x * (k->ninstances + 1));
  for (size_t i = 0; i < k->ngroups; i++)
    g[i] = (ctl_group_t){ k->groups[i].name, k->groups[i].databases,
                          k->groups[i].connections };
  for (size_t i = 0; i < k->ninstances; i++)
    x[i] = (ctl_instance_t){ k->instances[i].name,
                             k->instances[i].role == ROLE_ENTRY,
                             k->instances[i].zone, k->instances[i].address };
  out->groups = (list_t){ g, k->ngroups };
  out->instances = (list_t){ x, k->ninstances };
  return true;
}

const ctl_conf_ops_t ctl_conf_ops
    = { .arg = NULL, .generate = generate, .read = read_config };
