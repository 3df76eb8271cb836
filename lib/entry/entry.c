#include "worker.h"

#include <stdio.h>

int
entry_main (const settings_t *s)
{
  enum
  {
    RESTARTS = 5,
    PERIOD = 60000 /* ms */
  };
  apr_pool_t *pool;
  err_t e = { 0 };
  char line[400];

  apr_pool_create (&pool, NULL);
  instance_t *in = instance_new (pool, s, &e);
  if (in == NULL)
    {
      err_line (&e, line, sizeof line);
      log_event (EV_FATAL, "cause=%s", line);
      return err_exit (e.code);
    }
  sup_t *sup = sup_new (pool, "entry", RESTARTS, PERIOD);
  /* Duties stop in reverse order: the loops first, while leases are still
     renewed and the health check fails.  */
  sup_add (sup, link_duty (in));
  sup_add (sup, cancel_duty (in));
  if (s->health.n)
    sup_add (sup, http_duty (in));
  for (int i = 0; i < in->nworkers; i++)
    sup_add (sup, worker_duty (in->worker[i]));
  int code = sup_main (sup);
  return code;
}
