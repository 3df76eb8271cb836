#include "local.h"
#include "rpc.h"

#include <errno.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <stdlib.h>
#include <sys/epoll.h>
#include <sys/socket.h>
#include <unistd.h>

enum
{
  READ_MAX = 256 << 10 /* bytes taken in one turn */
};

static void
watch (stream_t *s, int op)
{
  struct epoll_event ev = { .events = EPOLLIN | (s->writing ? EPOLLOUT : 0),
                            .data.ptr = &s->watch };

  epoll_ctl (s->loop->poll, op, s->watch.fd, &ev);
}

static void
mark_dead (stream_t *s)
{
  if (s->dead)
    return;
  s->dead = true;
  close (s->watch.fd);
  s->next_dead = s->loop->dead;
  s->loop->dead = s;
}

static void
fail (stream_t *s, err_t *e)
{
  if (s->dead)
    return;
  mark_dead (s);
  s->ops->closed (s->arg, e);
}

void
stream_free (stream_t *s)
{
  buf_free (&s->in);
  buf_free (&s->out);
  free (s);
}

void
stream_send (stream_t *s)
{
  err_t e = { 0 };

  if (!s->up || s->dead)
    return;
  long left = rpc_write (s->watch.fd, &s->out, &e);
  if (left < 0)
    {
      fail (s, &e);
      return;
    }
  if (left > STREAM_OUT_MAX)
    {
      err_set (&e, ERR_FULL, "connection", "the peer does not read");
      fail (s, &e);
      return;
    }
  if (s->writing != (left > 0))
    {
      s->writing = left > 0;
      watch (s, EPOLL_CTL_MOD);
    }
}

static bool
finish_connect (stream_t *s, err_t *e)
{
  int code = 0;
  socklen_t n = sizeof code;

  if (getsockopt (s->watch.fd, SOL_SOCKET, SO_ERROR, &code, &n) || code)
    {
      errno = code ? code : errno;
      return err_sys (e, "connection", "connect");
    }
  s->up = true;
  s->writing = false;
  watch (s, EPOLL_CTL_MOD);
  if (s->ops->open)
    s->ops->open (s->arg);
  if (!s->dead)
    stream_send (s);
  return true;
}

static void
take_input (stream_t *s)
{
  err_t e = { 0 };
  long got = 0, total = 0;

  while (total < READ_MAX && (got = rpc_read (s->watch.fd, &s->in, &e)) > 0)
    {
      total += got;
      /* A short read has emptied the socket; epoll tells of what follows.  */
      if (got < 16 << 10)
        break;
    }
  if (total)
    s->ops->input (s->arg);
  if (got < 0 && !s->dead)
    fail (s, &e);
}

static void
on_event (void *arg, uint32_t events)
{
  stream_t *s = arg;
  err_t e = { 0 };

  if (s->dead)
    return;
  if (!s->up)
    {
      if ((events & (EPOLLOUT | EPOLLERR | EPOLLHUP))
          && !finish_connect (s, &e))
        fail (s, &e);
      return;
    }
  if (events & EPOLLOUT)
    stream_send (s);
  if (!s->dead && (events & (EPOLLIN | EPOLLERR | EPOLLHUP)))
    take_input (s);
}

static stream_t *
stream_new (loop_t *l, int fd, const stream_ops_t *ops, void *arg)
{
  stream_t *s = calloc (1, sizeof *s);

  if (s == NULL)
    abort ();
  s->watch = (watched_t){ fd, on_event, s, NULL };
  s->loop = l;
  s->ops = ops;
  s->arg = arg;
  buf_init (&s->in);
  buf_init (&s->out);
  return s;
}

stream_t *
stream_accept (loop_t *l, int fd, const stream_ops_t *ops, void *arg)
{
  stream_t *s = stream_new (l, fd, ops, arg);
  int one = 1;

  setsockopt (fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
  s->up = true;
  watch (s, EPOLL_CTL_ADD);
  return s;
}

stream_t *
stream_dial (loop_t *l, str_t address, msec_t silence, const stream_ops_t *ops,
             void *arg, err_t *e)
{
  int fd = rpc_connect (address, e);
  unsigned ms = (unsigned)silence;

  if (fd < 0)
    return NULL;
  setsockopt (fd, IPPROTO_TCP, TCP_USER_TIMEOUT, &ms, sizeof ms);
  stream_t *s = stream_new (l, fd, ops, arg);
  s->writing = true;
  watch (s, EPOLL_CTL_ADD);
  return s;
}

buf_t *
stream_in (stream_t *s)
{
  return &s->in;
}

buf_t *
stream_out (stream_t *s)
{
  return &s->out;
}

void
stream_flush (stream_t *s)
{
  if (s->dirty || s->dead)
    return;
  s->dirty = true;
  s->next_dirty = s->loop->dirty;
  s->loop->dirty = s;
}

bool
stream_connected (const stream_t *s)
{
  return s->up && !s->dead;
}

bool
stream_input_empty (const stream_t *s)
{
  char c;

  return buf_len (&s->in) == 0
         && recv (s->watch.fd, &c, 1, MSG_PEEK | MSG_DONTWAIT) < 0
         && errno == EAGAIN;
}

void
stream_close (stream_t *s)
{
  if (s->up && !s->dead && buf_len (&s->out))
    rpc_write (s->watch.fd, &s->out, NULL);
  mark_dead (s);
}
