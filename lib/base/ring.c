#include "base.h"

#include <errno.h>
#include <pthread.h>
#include <stdlib.h>
#include <sys/eventfd.h>
#include <time.h>
#include <unistd.h>

struct ring
{
  pthread_mutex_t lock;
  pthread_cond_t not_empty;
  void **slot;
  size_t cap;
  size_t head;
  size_t len;
  bool closed;
  int fd; /* eventfd */
};

static apr_status_t
ring_free (void *arg)
{
  ring_t *r = arg;

  if (r->fd >= 0)
    close (r->fd);
  pthread_cond_destroy (&r->not_empty);
  pthread_mutex_destroy (&r->lock);
  return APR_SUCCESS;
}

ring_t *
ring_new (apr_pool_t *pool, size_t cap)
{
  ring_t *r = apr_pcalloc (pool, sizeof *r);
  pthread_condattr_t attr;

  r->slot = apr_pcalloc (pool, cap * sizeof *r->slot);
  r->cap = cap;
  r->fd = eventfd (0, EFD_NONBLOCK | EFD_CLOEXEC);
  pthread_mutex_init (&r->lock, NULL);
  pthread_condattr_init (&attr);
  pthread_condattr_setclock (&attr, CLOCK_MONOTONIC);
  pthread_cond_init (&r->not_empty, &attr);
  pthread_condattr_destroy (&attr);
  apr_pool_cleanup_register (pool, r, ring_free, apr_pool_cleanup_null);
  return r;
}

bool
ring_put (ring_t *r, void *item, err_t *e)
{
  uint64_t one = 1;

  pthread_mutex_lock (&r->lock);
  bool full = r->closed || r->len == r->cap;
  if (!full)
    {
      r->slot[(r->head + r->len) % r->cap] = item;
      r->len++;
      pthread_cond_signal (&r->not_empty);
      if (r->fd >= 0 && write (r->fd, &one, sizeof one) < 0)
        errno = 0;
    }
  pthread_mutex_unlock (&r->lock);
  return !full
         || err_set (e, ERR_FULL, "ring", "all %zu slots are in use", r->cap);
}

static bool
ring_wait (ring_t *r, msec_t timeout)
{
  struct timespec until;

  if (timeout < 0)
    return pthread_cond_wait (&r->not_empty, &r->lock) == 0;
  clock_gettime (CLOCK_MONOTONIC, &until);
  until.tv_sec += timeout / 1000;
  until.tv_nsec += (timeout % 1000) * 1000000;
  if (until.tv_nsec >= 1000000000)
    {
      until.tv_sec++;
      until.tv_nsec -= 1000000000;
    }
  while (r->len == 0 && !r->closed)
    if (pthread_cond_timedwait (&r->not_empty, &r->lock, &until))
      return false;
  return true;
}

void *
ring_get (ring_t *r, msec_t timeout)
{
  void *item = NULL;
  uint64_t seen;

  pthread_mutex_lock (&r->lock);
  while (r->len == 0 && !r->closed && timeout != 0)
    if (!ring_wait (r, timeout))
      break;
  if (r->len)
    {
      item = r->slot[r->head];
      r->head = (r->head + 1) % r->cap;
      r->len--;
    }
  if (r->len == 0 && r->fd >= 0 && read (r->fd, &seen, sizeof seen) < 0)
    errno = 0;
  pthread_mutex_unlock (&r->lock);
  return item;
}

int
ring_fd (ring_t *r)
{
  return r->fd;
}

void
ring_close (ring_t *r)
{
  pthread_mutex_lock (&r->lock);
  r->closed = true;
  pthread_cond_broadcast (&r->not_empty);
  pthread_mutex_unlock (&r->lock);
}

size_t
ring_len (ring_t *r)
{
  pthread_mutex_lock (&r->lock);
  size_t n = r->len;
  pthread_mutex_unlock (&r->lock);
  return n;
}
