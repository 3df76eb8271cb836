#include "local.h"

#include <errno.h>
#include <stdlib.h>
#include <sys/epoll.h>
#include <unistd.h>

enum
{
  MAX_EVENTS = 64 /* of one epoll_wait */
};

static apr_status_t
loop_free (void *arg)
{
  loop_t *l = arg;
  fd_watch_t *w;

  close (l->poll);
  while ((w = l->watched) != NULL)
    {
      l->watched = w->next;
      free (w);
    }
  return APR_SUCCESS;
}

loop_t *
loop_new (apr_pool_t *pool, err_t *e)
{
  loop_t *l = apr_pcalloc (pool, sizeof *l);

  l->now = msec_now ();
  l->poll = epoll_create1 (EPOLL_CLOEXEC);
  if (l->poll < 0)
    {
      err_sys (e, "loop", "epoll_create1");
      return NULL;
    }
  apr_pool_cleanup_register (pool, l, loop_free, apr_pool_cleanup_null);
  return l;
}

bool
loop_watch (loop_t *l, int fd, loop_fn_t fn, void *arg, err_t *e)
{
  fd_watch_t *w = calloc (1, sizeof *w);
  struct epoll_event ev = { .events = EPOLLIN, .data.ptr = w };

  if (w == NULL)
    return err_set (e, ERR_NOMEM, "loop", "out of memory");
  *w = (fd_watch_t){ fd, fn, arg, NULL };
  w->next = l->watched;
  l->watched = w;
  return epoll_ctl (l->poll, EPOLL_CTL_ADD, fd, &ev) == 0
         || err_sys (e, "loop", "epoll_ctl");
}

msec_t
loop_now (const loop_t *l)
{
  return l->now;
}

void
loop_stop (loop_t *l)
{
  l->stopping = true;
}

byte_budget_t *
loop_budget (loop_t *l)
{
  return &l->budget;
}

int
loop_streams (const loop_t *l)
{
  return l->streams;
}

static void
resume_paused (loop_t *l)
{
  stream_t **at = &l->paused;

  while (*at)
    {
      stream_t *s = *at;
      stream_t *next = s->next_paused;
      if (s->closed || stream_resume (s))
        *at = next;
      else
        at = &s->next_paused;
    }
}

static void
finish_turn (loop_t *l)
{
  stream_t *s;

  while ((s = l->to_flush) != NULL)
    {
      l->to_flush = s->next_to_flush;
      s->flushing = false;
      if (!s->closed)
        stream_send (s);
    }
  resume_paused (l);
  while ((s = l->to_free) != NULL)
    {
      l->to_free = s->next_to_free;
      stream_free (s);
    }
}

bool
loop_run (loop_t *l, msec_t (*turn) (void *arg, msec_t now), void *arg,
          err_t *e)
{
  struct epoll_event ev[MAX_EVENTS];
  msec_t wake = l->now;

  l->stopping = false;
  while (!l->stopping)
    {
      msec_t wait = wake < 0 ? -1 : wake - msec_now ();
      int n = epoll_wait (l->poll, ev, MAX_EVENTS,
                          wake >= 0 && wait < 0 ? 0 : (int)wait);
      if (n < 0 && errno != EINTR)
        return err_sys (e, "loop", "epoll_wait");
      l->now = msec_now ();
      for (int i = 0; i < n; i++)
        {
          fd_watch_t *w = ev[i].data.ptr;
          w->fn (w->arg, ev[i].events);
        }
      wake = turn (arg, l->now);
      finish_turn (l);
    }
  return true;
}
