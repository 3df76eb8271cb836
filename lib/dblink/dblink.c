#include "link.h"

#include <apr_thread_mutex.h>
#include <poll.h>
#include <stdatomic.h>
#include <stdlib.h>
#include <string.h>
#include <sys/eventfd.h>
#include <unistd.h>

enum
{
  MAX_LINKS = 256,
  MAX_QUEUED = 256 /* commands not yet received by the thread */
};

struct dblink
{
  ring_t *out;
  ring_t *commands;
  apr_thread_mutex_t *lock; /* protects TARGETS, NTARGETS and CHANGED */
  db_target_t targets[MAX_LINKS];
  size_t ntargets;
  bool changed;
  link_t *link[MAX_LINKS];
  size_t nlink;
  int wake; /* eventfd */
  atomic_bool stop;
};

const char *
db_op_name (db_op_t op)
{
  static const char *const names[] = { "fence", "promote", "follow" };

  return names[op];
}

void
db_event_free (db_event_t *ev)
{
  if (!ev)
    return;
  if (ev->pool)
    apr_pool_destroy (ev->pool);
  free (ev);
}

static apr_status_t
cleanup (void *arg)
{
  dblink_t *d = arg;

  for (size_t i = 0; i < d->nlink; i++)
    link_free (d->link[i]);
  for (void *c; (c = ring_get (d->commands, 0));)
    free (c);
  close (d->wake);
  return APR_SUCCESS;
}

dblink_t *
dblink_new (apr_pool_t *pool, ring_t *out)
{
  dblink_t *d = apr_pcalloc (pool, sizeof *d);

  d->out = out;
  d->commands = ring_new (pool, MAX_QUEUED);
  d->wake = eventfd (0, EFD_NONBLOCK | EFD_CLOEXEC);
  apr_thread_mutex_create (&d->lock, APR_THREAD_MUTEX_DEFAULT, pool);
  apr_pool_pre_cleanup_register (pool, d, cleanup);
  return d;
}

static void
wake (dblink_t *d)
{
  uint64_t one = 1;

  if (write (d->wake, &one, sizeof one) < 0)
    return; /* the counter is at its maximum, so the thread wakes up */
}

void
dblink_targets (dblink_t *d, const db_target_t *t, size_t n)
{
  if (n > MAX_LINKS)
    log_event (EV_TARGETS_DROPPED, "targets=%zu most=%d", n, MAX_LINKS);
  apr_thread_mutex_lock (d->lock);
  d->ntargets = n < MAX_LINKS ? n : MAX_LINKS;
  if (d->ntargets)
    memcpy (d->targets, t, d->ntargets * sizeof *t);
  d->changed = true;
  apr_thread_mutex_unlock (d->lock);
  wake (d);
}

bool
dblink_command (dblink_t *d, const db_cmd_t *c, err_t *e)
{
  db_cmd_t *copy = malloc (sizeof *copy);

  if (!copy)
    return err_set (e, ERR_NOMEM, c->name, "command");
  *copy = *c;
  if (ring_put (d->commands, copy, e))
    return true;
  free (copy);
  return false;
}

static bool
same_target (const db_target_t *a, const db_target_t *b)
{
  return strcmp (a->name, b->name) == 0
         && strcmp (a->address, b->address) == 0;
}

static void
close_removed (dblink_t *d)
{
  size_t n = 0;

  for (size_t i = 0; i < d->nlink; i++)
    {
      bool keep = false;
      for (size_t j = 0; j < d->ntargets && !keep; j++)
        keep = same_target (&d->link[i]->target, &d->targets[j]);
      if (keep)
        d->link[n++] = d->link[i];
      else
        link_free (d->link[i]);
    }
  d->nlink = n;
}

static void
update_targets (dblink_t *d, msec_t now)
{
  apr_thread_mutex_lock (d->lock);
  if (d->changed)
    {
      close_removed (d);
      for (size_t j = 0; j < d->ntargets; j++)
        {
          bool found = false;
          for (size_t i = 0; i < d->nlink && !found; i++)
            found = same_target (&d->link[i]->target, &d->targets[j]);
          if (!found && d->nlink < MAX_LINKS)
            d->link[d->nlink++] = link_new (&d->targets[j], d->out, now);
        }
      d->changed = false;
    }
  apr_thread_mutex_unlock (d->lock);
}

/* Reports that C was not sent.  */
static void
reject (dblink_t *d, const db_cmd_t *c, const char *why)
{
  db_event_t *ev = calloc (1, sizeof *ev);

  if (!ev)
    abort ();
  ev->kind = DB_EV_RESULT;
  ev->cmd = *c;
  apr_pool_create (&ev->pool, NULL);
  ev->probe.name = str_dup (ev->pool, str_of (c->name));
  ev->probe.address = str_dup (ev->pool, str_of (c->address));
  err_set (&ev->err, ERR_UNREACHABLE, c->name, "%s", why);
  if (!ring_put (d->out, ev, NULL))
    db_event_free (ev);
}

static void
dispatch_commands (dblink_t *d, msec_t now)
{
  db_cmd_t *c;

  while ((c = ring_get (d->commands, 0)))
    {
      link_t *l = NULL;
      for (size_t i = 0; i < d->nlink; i++)
        if (strcmp (d->link[i]->target.name, c->name) == 0
            && strcmp (d->link[i]->target.address, c->address) == 0)
          l = d->link[i];
      if (!l)
        reject (d, c, "not a target");
      else if (!link_command (l, c, now))
        reject (d, c, "too many commands are waiting");
      free (c);
    }
}

static int
timeout (const dblink_t *d, msec_t now)
{
  msec_t due = now + DB_PROBE_INTERVAL;

  for (size_t i = 0; i < d->nlink; i++)
    if (link_due (d->link[i]) < due)
      due = link_due (d->link[i]);
  return due > now ? (int)(due - now) : 0;
}

static void
poll_once (dblink_t *d)
{
  struct pollfd p[MAX_LINKS + 2];
  link_t *of[MAX_LINKS + 2];
  nfds_t n = 2;
  uint64_t count;

  p[0] = (struct pollfd){ .fd = ring_fd (d->commands), .events = POLLIN };
  p[1] = (struct pollfd){ .fd = d->wake, .events = POLLIN };
  for (size_t i = 0; i < d->nlink; i++)
    {
      p[n].fd = link_poll (d->link[i], &p[n].events);
      if (p[n].fd >= 0)
        of[n++] = d->link[i];
    }
  if (poll (p, n, timeout (d, msec_now ())) < 0)
    return;
  if (p[1].revents && read (d->wake, &count, sizeof count) < 0)
    return;
  for (nfds_t i = 2; i < n; i++)
    if (p[i].revents)
      link_ready (of[i], p[i].revents, msec_now ());
}

static bool
run (void *arg, err_t *e)
{
  dblink_t *d = arg;

  (void)e;
  while (!atomic_load (&d->stop))
    {
      msec_t now = msec_now ();
      update_targets (d, now);
      dispatch_commands (d, now);
      for (size_t i = 0; i < d->nlink; i++)
        link_tick (d->link[i], msec_now ());
      poll_once (d);
    }
  return true;
}

static void
stop (void *arg)
{
  dblink_t *d = arg;

  atomic_store (&d->stop, true);
  wake (d);
}

duty_t
dblink_duty (dblink_t *d)
{
  return (duty_t){ .name = "dblink", .run = run, .stop = stop, .arg = d };
}
