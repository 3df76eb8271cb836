#include "base.h"

#include <apr_tables.h>
#include <pthread.h>

typedef struct
{
  duty_t duty;
  sup_t *sup;
  pthread_t thread;
  bool running;
  bool done;
  bool failed;
  err_t err;
  int restarts; /* since PERIOD_START */
  msec_t period_start;
} child_t;

struct sup
{
  const char *name;
  int restarts;
  msec_t period;
  apr_pool_t *pool;
  apr_array_header_t *children;
  pthread_mutex_t lock;
  pthread_cond_t changed; /* a child ended, or STOPPING was set */
  bool stopping;
};

sup_t *
sup_new (apr_pool_t *pool, const char *name, int restarts, msec_t period)
{
  sup_t *s = apr_pcalloc (pool, sizeof *s);

  s->name = name;
  s->restarts = restarts;
  s->period = period;
  s->pool = pool;
  s->children = apr_array_make (pool, 8, sizeof (child_t *));
  pthread_mutex_init (&s->lock, NULL);
  pthread_cond_init (&s->changed, NULL);
  return s;
}

void
sup_add (sup_t *s, duty_t d)
{
  child_t *c = apr_pcalloc (s->pool, sizeof *c);

  c->duty = d;
  c->sup = s;
  APR_ARRAY_PUSH (s->children, child_t *) = c;
}

static bool
run_child_sup (void *arg, err_t *e)
{
  return sup_run (arg, e);
}

static void
stop_child_sup (void *arg)
{
  sup_stop (arg);
}

duty_t
sup_duty (sup_t *s)
{
  return (duty_t){ s->name, run_child_sup, stop_child_sup, s };
}

static void *
child_main (void *arg)
{
  child_t *c = arg;
  err_t e = { 0 };

  log_event (EV_DUTY_START, "duty=%s", c->duty.name);
  bool ok = c->duty.run (c->duty.arg, &e);
  pthread_mutex_lock (&c->sup->lock);
  c->done = true;
  c->failed = !ok;
  c->err = e;
  pthread_cond_broadcast (&c->sup->changed);
  pthread_mutex_unlock (&c->sup->lock);
  return NULL;
}

static bool
start (child_t *c)
{
  c->done = c->failed = false;
  c->running = pthread_create (&c->thread, NULL, child_main, c) == 0;
  return c->running;
}

static child_t *
child_at (sup_t *s, int i)
{
  return APR_ARRAY_IDX (s->children, i, child_t *);
}

static bool
may_restart (sup_t *s, child_t *c, msec_t now)
{
  if (now - c->period_start > s->period)
    {
      c->period_start = now;
      c->restarts = 0;
    }
  return c->restarts++ < s->restarts;
}

/* Joins the threads that ended and restarts those that failed.  Called with
   the lock held; false when a child has used up its restarts.  */
static bool
join_and_restart (sup_t *s, err_t *e)
{
  for (int i = 0; i < s->children->nelts; i++)
    {
      child_t *c = child_at (s, i);
      char line[400];

      if (!c->running || !c->done)
        continue;
      pthread_join (c->thread, NULL);
      c->running = false;
      if (!c->failed || s->stopping)
        continue;
      err_line (&c->err, line, sizeof line);
      if (!may_restart (s, c, msec_now ()) || !start (c))
        {
          log_event (EV_DUTY_GIVEN_UP, "duty=%s cause=%s", c->duty.name, line);
          if (e)
            *e = c->err;
          return false;
        }
      log_event (EV_DUTY_RESTART, "duty=%s cause=%s", c->duty.name, line);
    }
  return true;
}

static int
count_running (sup_t *s)
{
  int n = 0;

  for (int i = 0; i < s->children->nelts; i++)
    n += child_at (s, i)->running;
  return n;
}

static void
stop_all (sup_t *s)
{
  for (int i = s->children->nelts - 1; i >= 0; i--)
    {
      child_t *c = child_at (s, i);
      if (!c->running)
        continue;
      if (c->duty.stop)
        c->duty.stop (c->duty.arg);
      pthread_join (c->thread, NULL);
      c->running = false;
    }
}

bool
sup_run (sup_t *s, err_t *e)
{
  bool ok = true;

  pthread_mutex_lock (&s->lock);
  for (int i = 0; i < s->children->nelts; i++)
    start (child_at (s, i));
  while (ok && !s->stopping && count_running (s))
    {
      pthread_cond_wait (&s->changed, &s->lock);
      ok = join_and_restart (s, e);
    }
  s->stopping = true;
  pthread_mutex_unlock (&s->lock);
  stop_all (s);
  return ok;
}

void
sup_stop (sup_t *s)
{
  pthread_mutex_lock (&s->lock);
  s->stopping = true;
  pthread_cond_broadcast (&s->changed);
  pthread_mutex_unlock (&s->lock);
}
