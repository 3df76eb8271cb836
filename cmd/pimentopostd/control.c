#include "duties.h"

#include <apr_general.h>

enum
{
  IO_RESTARTS_MAX = 5,
  IO_RESTART_PERIOD = 10000 /* ms */
};

static int
fail_start (const err_t *e)
{
  char line[400];

  err_line (e, line, sizeof line);
  log_event (EV_FATAL, "cause=%s", line);
  return err_exit (e->code);
}

static bool
build (apr_pool_t *pool, const settings_t *s, sup_t **top, err_t *e)
{
  ring_t *in = ring_new (pool, RING_ITEMS);
  ring_t *out = ring_new (pool, RING_ITEMS);
  /* A failed decision duty has lost its store, so the process ends; the duties
     of IO are restarted.  */
  sup_t *io = sup_new (pool, "io", IO_RESTARTS_MAX, IO_RESTART_PERIOD);
  *top = sup_new (pool, "control", 0, IO_RESTART_PERIOD);
  decide_t *d = decide_new (pool, s, in, out, e);
  net_t *n = d ? net_new (pool, s->listen, in, out, e) : NULL;
  int fd = n ? rpc_listen (s->health, e) : -1;
  http_t *h = fd >= 0 ? http_new (pool, fd, decide_health, d, e) : NULL;

  if (h == NULL)
    return false;
  sup_add (io, net_duty (n));
  sup_add (io, decide_link (d));
  sup_add (io, http_duty (h));
  sup_add (*top, sup_duty (io));
  sup_add (*top, decide_duty (d));
  return true;
}

int
control_main (const settings_t *s)
{
  apr_pool_t *pool;
  sup_t *top;
  err_t e = { 0 };

  apr_pool_create (&pool, NULL);
  int code = build (pool, s, &top, &e) ? sup_main (top) : fail_start (&e);
  apr_pool_destroy (pool);
  return code;
}
