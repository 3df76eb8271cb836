#include "worker.h"

/* PQcancel blocks while it connects, so it runs in a thread of its own.  */
static bool
run (void *arg, err_t *e)
{
  instance_t *in = arg;
  PGcancel *pc;
  char why[256];

  (void)e;
  while ((pc = ring_get (in->cancels, -1)) != NULL)
    {
      if (!PQcancel (pc, why, sizeof why))
        log_event (EV_CANCEL_FAILED, "cause=%s", why);
      PQfreeCancel (pc);
    }
  return true;
}

static void
stop (void *arg)
{
  instance_t *in = arg;

  ring_close (in->cancels);
}

duty_t
cancel_duty (instance_t *in)
{
  return (duty_t){ "cancel", run, stop, in };
}
