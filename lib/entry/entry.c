#include "worker.h"

/* Adds the HTTP server for health and metrics if one is configured.  */
static bool
add_health (sup_t *sup, instance_t *in, err_t *e)
{
  if (in->set->health.n == 0)
    return true;
  int fd = rpc_listen (in->set->health, e);
  http_t *h = fd < 0 ? NULL : http_new (in->pool, fd, instance_health, in, e);
  if (h)
    sup_add (sup, http_duty (h));
  return h != NULL;
}

static int
fail (const err_t *e)
{
  char line[400];

  err_line (e, line, sizeof line);
  log_event (EV_FATAL, "cause=%s", line);
  return err_exit (e->code);
}

int
entry_main (const settings_t *s)
{
  enum
  {
    RESTARTS_MAX = 5,      /* of a duty in RESTART_PERIOD */
    RESTART_PERIOD = 60000 /* ms */
  };
  apr_pool_t *pool;
  err_t e = { 0 };

  apr_pool_create (&pool, NULL);
  instance_t *in = instance_new (pool, s, &e);
  if (in == NULL)
    return fail (&e);
  sup_t *sup = sup_new (pool, "entry", RESTARTS_MAX, RESTART_PERIOD);
  /* Duties stop in reverse order: the event loops stop first, while leases are
     still renewed and the health check already fails.  */
  sup_add (sup, link_duty (in));
  sup_add (sup, cancel_duty (in));
  if (!add_health (sup, in, &e))
    return fail (&e);
  for (int i = 0; i < in->nworkers; i++)
    sup_add (sup, worker_duty (in->worker[i]));
  int code = sup_main (sup);
  apr_pool_destroy (pool);
  return code;
}
