#include "worker.h"

enum
{
  REPORTS = 4096, /* announcements and reports waiting for the link */
  CANCELS = 256,
  CONTACT_LATE = 2000 /* ms without a grant until /health says so */
};

bool
instance_health (void *arg, buf_t *out)
{
  const instance_t *in = arg;
  msec_t contact = __atomic_load_n (&in->last_grant, __ATOMIC_ACQUIRE);

  if (instance_stopping (in))
    {
      buf_fmt (out, "stopping\n");
      return false;
    }
  /* Without control the instance goes on serving what it can.  */
  buf_fmt (out,
           msec_now () - contact > CONTACT_LATE ? "ok, no contact\n" : "ok\n");
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
  in->reports = ring_new (pool, REPORTS);
  in->cancels = ring_new (pool, CANCELS);
  int fd = rpc_listen (s->listen, e);
  if (fd < 0)
    return NULL;
  for (int i = 0; i < in->nworkers; i++)
    in->worker[i] = worker_new (in, i, fd);
  return in;
}
