#include "worker.h"

enum
{
  REPORT_QUEUE = 4096, /* announcements and reports waiting for the link */
  CANCEL_QUEUE = 256,  /* cancel requests waiting to be sent */
  GRANT_AGE_MAX = 2000 /* ms since the last grant; above it /health reports
                           "no contact" */
};

bool
instance_health (void *arg, buf_t *out)
{
  const instance_t *in = arg;
  msec_t last_grant = __atomic_load_n (&in->last_grant, __ATOMIC_ACQUIRE);

  if (instance_stopping (in))
    {
      buf_fmt (out, "stopping\n");
      return false;
    }
  /* Without contact to control the instance stays healthy, as it can still
     serve some requests.  */
  buf_fmt (out, msec_now () - last_grant > GRANT_AGE_MAX ? "ok, no contact\n"
                                                         : "ok\n");
  return true;
}

instance_t *
instance_new (apr_pool_t *pool, const settings_t *s, err_t *e)
{
  instance_t *in = apr_pcalloc (pool, sizeof *in);

  in->pool = pool;
  in->set = s;
  in->nworkers = s->workers;
  in->boot = (int64_t)(rng_system_seed () >> 1);
  in->reports = ring_new (pool, REPORT_QUEUE);
  in->cancels = ring_new (pool, CANCEL_QUEUE);
  int fd = rpc_listen (s->listen, e);
  if (fd < 0)
    return NULL;
  for (int i = 0; i < in->nworkers; i++)
    in->worker[i] = worker_new (in, i, fd);
  return in;
}
