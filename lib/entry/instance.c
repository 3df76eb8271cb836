#include "worker.h"

#include <unistd.h>

enum
{
  REPORTS = 4096, /* announcements and reports waiting for the link */
  CANCELS = 256
};

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
