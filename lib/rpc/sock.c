#include "rpc.h"

#include <arpa/inet.h>
#include <errno.h>
#include <fcntl.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <stdio.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

enum
{
  READ_CHUNK = 16 << 10, /* bytes of one read */
  BACKLOG = 1024         /* connections not yet accepted */
};

static bool
parse_address (str_t a, struct sockaddr_in *sa, err_t *e)
{
  char host[64];
  int64_t port;
  const char *colon = a.n ? memrchr (a.p, ':', a.n) : NULL;
  size_t n = colon ? (size_t)(colon - a.p) : 0;

  *sa = (struct sockaddr_in){ .sin_family = AF_INET };
  if (colon == NULL || n == 0 || n >= sizeof host
      || !str_int ((str_t){ a.p + n + 1, a.n - n - 1 }, &port) || port < 0
      || port > 65535)
    return err_set (e, ERR_SYNTAX, "address",
                    "'" STR_FMT "' is not IP-NUMBER:PORT", STR_ARG (a));
  memcpy (host, a.p, n);
  host[n] = '\0';
  if (inet_pton (AF_INET, host, &sa->sin_addr) != 1)
    return err_set (e, ERR_SYNTAX, "address", "'%s' is not an IPv4 address",
                    host);
  sa->sin_port = htons ((uint16_t)port);
  return true;
}

static int
open_socket (err_t *e)
{
  int fd = socket (AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  int one = 1;

  if (fd < 0)
    err_sys (e, "socket", "socket");
  else
    setsockopt (fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
  return fd;
}

int
rpc_listen (str_t address, err_t *e)
{
  struct sockaddr_in sa;
  char name[80];
  int one = 1;

  if (!parse_address (address, &sa, e))
    return -1;
  int fd = open_socket (e);
  if (fd < 0)
    return -1;
  setsockopt (fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof one);
  if (bind (fd, (struct sockaddr *)&sa, sizeof sa) || listen (fd, BACKLOG))
    {
      snprintf (name, sizeof name, STR_FMT, STR_ARG (address));
      err_sys (e, name, "listen");
      close (fd);
      return -1;
    }
  return fd;
}

int
rpc_connect (str_t address, err_t *e)
{
  struct sockaddr_in sa;

  if (!parse_address (address, &sa, e))
    return -1;
  int fd = open_socket (e);
  if (fd < 0)
    return -1;
  if (connect (fd, (struct sockaddr *)&sa, sizeof sa) && errno != EINPROGRESS)
    {
      err_sys (e, "connect", "connect");
      close (fd);
      return -1;
    }
  return fd;
}

long
rpc_read (int fd, buf_t *b, err_t *e)
{
  ssize_t n = read (fd, buf_room (b, READ_CHUNK), READ_CHUNK);

  if (n > 0)
    {
      b->n += (size_t)n;
      return n;
    }
  if (n < 0 && (errno == EAGAIN || errno == EINTR))
    return 0;
  if (n == 0)
    err_set (e, ERR_CLOSED, "connection", "closed by the peer");
  else
    err_sys (e, "connection", "read");
  return -1;
}

long
rpc_write (int fd, buf_t *b, err_t *e)
{
  while (buf_len (b))
    {
      ssize_t n = send (fd, b->p + b->off, buf_len (b), MSG_NOSIGNAL);
      if (n > 0)
        buf_take (b, (size_t)n);
      else if (n < 0 && errno == EINTR)
        continue;
      else if (n < 0 && errno == EAGAIN)
        break;
      else
        {
          err_sys (e, "connection", "write");
          return -1;
        }
    }
  return (long)buf_len (b);
}

static bool
wait_fd (int fd, short events, msec_t until, err_t *e)
{
  struct pollfd p = { .fd = fd, .events = events };
  msec_t left = until - msec_now ();

  if (left <= 0 || poll (&p, 1, (int)left) == 0)
    return err_set (e, ERR_TIMEOUT, "connection", "no answer in time");
  return true;
}

static void *
exchange (apr_pool_t *pool, int fd, buf_t *b, msec_t until, msgtype_t *answer,
          err_t *e)
{
  str_t body;
  int got;

  while (buf_len (b))
    if (!wait_fd (fd, POLLOUT, until, e) || rpc_write (fd, b, e) < 0)
      return NULL;
  while ((got = rpc_frame (b, &body, e)) == 0)
    if (!wait_fd (fd, POLLIN, until, e) || rpc_read (fd, b, e) < 0)
      return NULL;
  return got < 0 ? NULL : rpc_decode (pool, body, answer, e);
}

void *
rpc_call (apr_pool_t *pool, str_t address, msgtype_t type, const void *msg,
          msec_t timeout, msgtype_t *answer, err_t *e)
{
  buf_t b;
  void *r;
  int fd = rpc_connect (address, e);

  if (fd < 0)
    return NULL;
  buf_init (&b);
  rpc_encode (&b, type, msg);
  r = exchange (pool, fd, &b, msec_now () + timeout, answer, e);
  buf_free (&b);
  close (fd);
  return r;
}
