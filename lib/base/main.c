#include "base.h"

#include <pthread.h>
#include <signal.h>
#include <unistd.h>

typedef struct
{
  sup_t *sup;
  sigset_t set;
} signals_t;

static void *
wait_signal (void *arg)
{
  signals_t *s = arg;
  int sig;

  sigwait (&s->set, &sig);
  sup_stop (s->sup);
  return NULL;
}

int
sup_main (sup_t *s)
{
  signals_t sig = { .sup = s };
  pthread_t thread;
  err_t e = { 0 };
  char line[400];

  signal (SIGPIPE, SIG_IGN);
  sigemptyset (&sig.set);
  sigaddset (&sig.set, SIGTERM);
  sigaddset (&sig.set, SIGINT);
  /* Blocked before any thread starts, so that all threads inherit the mask. */
  pthread_sigmask (SIG_BLOCK, &sig.set, NULL);
  log_event (EV_START, "pid=%d", (int)getpid ());
  pthread_create (&thread, NULL, wait_signal, &sig);
  bool ok = sup_run (s, &e);
  pthread_cancel (thread);
  pthread_join (thread, NULL);
  err_line (&e, line, sizeof line);
  if (ok)
    log_event (EV_STOP, "pid=%d", (int)getpid ());
  else
    log_event (EV_FATAL, "cause=%s", line);
  return err_exit (e.code);
}
