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
  READ_MAX = 256 << 10, /* bytes of one stream read in one turn */
  OUT_KEEP = 4 << 10    /* bytes of the output buffer of an idle stream; a
                           larger one is freed */
};

static void
poll_for (stream_t *s, int op)
{
  struct epoll_event ev = { .events = (s->paused ? EPOLLRDHUP : EPOLLIN)
                                      | (s->writing ? EPOLLOUT : 0),
                            .data.ptr = &s->watch };

  epoll_ctl (s->loop->poll, op, s->watch.fd, &ev);
}

/* ---- budget ---- */

static byte_budget_t *
budget (const stream_t *s)
{
  return &s->loop->budget;
}

static void
release_reserved (stream_t *s)
{
  s->loop->reserved -= s->reserved;
  s->reserved = 0;
}

/* Charges the buffers, after freeing those that are empty: most connections
   are idle.  */
static void
charge (stream_t *s)
{
  size_t unread = s->paused ? STREAM_SOCKET_BUFFER : 0;

  if (buf_len (&s->in) == 0 && s->in.cap)
    buf_free (&s->in);
  if (buf_len (&s->out) == 0 && s->out.cap > OUT_KEEP)
    buf_free (&s->out);
  if (buf_len (&s->in) < STREAM_IN_SMALL)
    release_reserved (s);
  budget_charge (budget (s), &s->held, s->in.cap + s->out.cap + unread);
}

/* Whether S may receive a large message.  Few do at the same time, so that
   what they have begun also finds room.  */
static bool
reserve (stream_t *s)
{
  size_t most = budget (s)->limit / 2;
  /* A buffer doubles, so that it may be twice as large as the message.  */
  size_t n = 2 * s->in_max;

  if (s->reserved)
    return !budget_exceeded (budget (s));
  /* One always goes on: those that wait hold memory too.  */
  if (most && s->loop->reserved
      && (budget_scarce (budget (s)) || s->loop->reserved + n > most))
    return false;
  if (budget_exceeded (budget (s)))
    return false;
  s->reserved = n;
  s->loop->reserved += n;
  return true;
}

static bool
may_read (stream_t *s)
{
  size_t n = buf_len (&s->in);

  if (s->in_max == 0)
    return true;
  return n < s->in_max && (n < STREAM_IN_SMALL || reserve (s));
}

static void
pause_reading (stream_t *s)
{
  if (s->paused || s->closed || may_read (s))
    return;
  s->paused = true;
  s->next_paused = s->loop->paused;
  s->loop->paused = s;
  poll_for (s, EPOLL_CTL_MOD);
}

bool
stream_resume (stream_t *s)
{
  charge (s);
  if (!may_read (s))
    return false;
  s->paused = false;
  poll_for (s, EPOLL_CTL_MOD);
  charge (s);
  return true;
}

void
stream_set_input_max (stream_t *s, size_t n)
{
  s->in_max = n;
}

bool
stream_paused (const stream_t *s)
{
  return s->paused;
}

size_t
stream_held (const stream_t *s)
{
  return s->held;
}

bool
stream_may_answer (const stream_t *s)
{
  return buf_len (&s->out) < STREAM_OUT_HIGH;
}

msec_t
stream_stalled (const stream_t *s)
{
  return s->stalled_since ? s->loop->now - s->stalled_since : 0;
}

/* ---- life ---- */

static void
mark_closed (stream_t *s)
{
  if (s->closed)
    return;
  s->closed = true;
  s->loop->streams--;
  release_reserved (s);
  close (s->watch.fd);
  s->next_to_free = s->loop->to_free;
  s->loop->to_free = s;
}

static void
fail (stream_t *s, err_t *e)
{
  if (s->closed)
    return;
  mark_closed (s);
  s->ops->closed (s->arg, e);
}

void
stream_free (stream_t *s)
{
  budget_charge (budget (s), &s->held, 0);
  buf_free (&s->in);
  buf_free (&s->out);
  free (s);
}

void
stream_send (stream_t *s)
{
  err_t e = { 0 };
  size_t before = buf_len (&s->out);

  if (!s->connected || s->closed)
    return;
  long left = rpc_write (s->watch.fd, &s->out, &e);
  if (left < 0)
    {
      fail (s, &e);
      return;
    }
  if (left > STREAM_OUT_MAX)
    {
      err_set (&e, ERR_FULL, "connection",
               "too many unsent bytes, the peer does not read");
      fail (s, &e);
      return;
    }
  if (left == 0)
    s->stalled_since = 0;
  else if (s->stalled_since == 0 || (size_t)left < before)
    s->stalled_since = s->loop->now;
  charge (s);
  if (s->writing != (left > 0))
    {
      s->writing = left > 0;
      poll_for (s, EPOLL_CTL_MOD);
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
  s->connected = true;
  s->writing = false;
  poll_for (s, EPOLL_CTL_MOD);
  if (s->ops->open)
    s->ops->open (s->arg);
  if (!s->closed)
    stream_send (s);
  return true;
}

static void
read_input (stream_t *s)
{
  err_t e = { 0 };
  long got = 0, total = 0;
  bool added = false;

  while (!s->closed && total < READ_MAX && may_read (s)
         && (got = rpc_read (s->watch.fd, &s->in, &e)) > 0)
    {
      total += got;
      added = true;
      /* A read of less than READ_CHUNK of sock.c has emptied the socket; epoll
         reports what arrives later.  */
      if (got < 16 << 10)
        break;
      /* Small messages are handled before it is known whether there is a large
         one, and then whether it may be read.  */
      if (s->in_max && s->reserved == 0)
        {
          s->ops->input (s->arg);
          added = false;
        }
    }
  if (s->closed)
    return;
  charge (s);
  if (added)
    s->ops->input (s->arg);
  if (got < 0 && !s->closed)
    fail (s, &e);
  if (s->closed)
    return;
  pause_reading (s);
  charge (s);
}

/* Sends unsent bytes.  The input that waited for room is handled.  */
static void
write_output (stream_t *s)
{
  bool full = !stream_may_answer (s);

  stream_send (s);
  if (s->closed || s->in_max == 0 || !full || !stream_may_answer (s))
    return;
  if (buf_len (&s->in))
    s->ops->input (s->arg);
}

static void
on_event (void *arg, uint32_t events)
{
  stream_t *s = arg;
  err_t e = { 0 };

  if (s->closed)
    return;
  if (!s->connected)
    {
      if ((events & (EPOLLOUT | EPOLLERR | EPOLLHUP))
          && !finish_connect (s, &e))
        fail (s, &e);
      return;
    }
  if (events & EPOLLOUT)
    write_output (s);
  if (s->closed)
    return;
  if (s->paused && (events & (EPOLLERR | EPOLLHUP | EPOLLRDHUP)))
    {
      err_set (&e, ERR_CLOSED, "connection", "closed by the peer");
      fail (s, &e);
    }
  else if (events & (EPOLLIN | EPOLLERR | EPOLLHUP))
    read_input (s);
}

static stream_t *
stream_new (loop_t *l, int fd, const stream_ops_t *ops, void *arg)
{
  stream_t *s = calloc (1, sizeof *s);

  if (s == NULL)
    abort ();
  s->watch = (fd_watch_t){ fd, on_event, s, NULL };
  s->loop = l;
  s->ops = ops;
  s->arg = arg;
  buf_init (&s->in);
  buf_init (&s->out);
  l->streams++;
  return s;
}

stream_t *
stream_accept (loop_t *l, int fd, const stream_ops_t *ops, void *arg)
{
  stream_t *s = stream_new (l, fd, ops, arg);
  int one = 1;

  setsockopt (fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
  s->connected = true;
  poll_for (s, EPOLL_CTL_ADD);
  return s;
}

stream_t *
stream_dial (loop_t *l, str_t address, msec_t ack_timeout,
             const stream_ops_t *ops, void *arg, err_t *e)
{
  int fd = rpc_connect (address, e);
  unsigned ms = (unsigned)ack_timeout;

  if (fd < 0)
    return NULL;
  setsockopt (fd, IPPROTO_TCP, TCP_USER_TIMEOUT, &ms, sizeof ms);
  stream_t *s = stream_new (l, fd, ops, arg);
  s->writing = true;
  poll_for (s, EPOLL_CTL_ADD);
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
  if (s->flushing || s->closed)
    return;
  s->flushing = true;
  s->next_to_flush = s->loop->to_flush;
  s->loop->to_flush = s;
}

bool
stream_flush_now (stream_t *s)
{
  return s->connected && !s->closed
         && (buf_len (&s->out) == 0
             || rpc_write (s->watch.fd, &s->out, NULL) == 0);
}

bool
stream_connected (const stream_t *s)
{
  return s->connected && !s->closed;
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
  if (s->connected && !s->closed && buf_len (&s->out))
    rpc_write (s->watch.fd, &s->out, NULL);
  mark_closed (s);
}
