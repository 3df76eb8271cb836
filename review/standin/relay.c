/* Relays between machines: a link of a limited rate whose connections can be
   reset.  Bytes travel in segments of 1,400 bytes.  */

#define _GNU_SOURCE
#include "standin.h"

#include <arpa/inet.h>
#include <errno.h>
#include <netinet/tcp.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

enum
{
  SEGMENT = 1400,
  PAIRS_MAX = 4096
};

typedef struct relay relay_t;

typedef struct
{
  relay_t *relay;
  int fd[2]; /* accepted, to the target */
  volatile bool reset;
  int users;
} pair_t;

struct relay
{
  int host, target, port, listener;
  double mbps;
  pthread_mutex_t mu;
  pair_t *pairs[PAIRS_MAX];
  int n;
  /* Each direction is one link that its connections share.  */
  pthread_mutex_t link[2];
};

static relay_t *relays[64];
static int nrelays;

static void
pair_drop (pair_t *p)
{
  relay_t *r = p->relay;

  pthread_mutex_lock (&r->mu);
  if (--p->users == 0)
    {
      for (int i = 0; i < r->n; i++)
        if (r->pairs[i] == p)
          r->pairs[i] = r->pairs[--r->n];
      close (p->fd[0]);
      close (p->fd[1]);
      free (p);
    }
  pthread_mutex_unlock (&r->mu);
}

typedef struct
{
  pair_t *pair;
  int from;
} half_t;

static void *
pump (void *arg)
{
  half_t h = *(half_t *)arg;
  pair_t *p = h.pair;
  relay_t *r = p->relay;
  char b[SEGMENT];

  free (arg);
  for (;;)
    {
      ssize_t n = recv (p->fd[h.from], b, sizeof b, 0);
      if (n <= 0 || p->reset)
        break;
      pthread_mutex_lock (&r->link[h.from]);
      sleep_ms ((double)n * 8 / (r->mbps * 1000));
      pthread_mutex_unlock (&r->link[h.from]);
      if (p->reset)
        break;
      if (send (p->fd[!h.from], b, (size_t)n, MSG_NOSIGNAL) != n)
        break;
    }
  if (!p->reset)
    shutdown (p->fd[!h.from], SHUT_WR);
  pair_drop (p);
  return NULL;
}

static int
dial (relay_t *r)
{
  struct sockaddr_in sa = { .sin_family = AF_INET };
  char a[64];
  int fd = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0), one = 1;

  snprintf (a, sizeof a, "%s.%d", net, r->target);
  sa.sin_port = htons ((uint16_t)r->port);
  inet_pton (AF_INET, a, &sa.sin_addr);
  setsockopt (fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
  if (connect (fd, (struct sockaddr *)&sa, sizeof sa))
    {
      close (fd);
      return -1;
    }
  return fd;
}

static void *
accept_all (void *arg)
{
  relay_t *r = arg;
  int one = 1;

  for (;;)
    {
      int fd = accept4 (r->listener, NULL, NULL, SOCK_CLOEXEC);
      if (fd < 0)
        return NULL;
      int to = dial (r);
      pair_t *p = calloc (1, sizeof *p);
      if (to < 0 || p == NULL || r->n == PAIRS_MAX)
        {
          close (fd);
          free (p);
          continue;
        }
      setsockopt (fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
      *p = (pair_t){ r, { fd, to }, false, 2 };
      pthread_mutex_lock (&r->mu);
      r->pairs[r->n++] = p;
      pthread_mutex_unlock (&r->mu);
      for (int i = 0; i < 2; i++)
        {
          half_t *h = malloc (sizeof *h);
          *h = (half_t){ p, i };
          thread (pump, h);
        }
    }
}

void
relay_start (int host, int target_host, int port, double mbps)
{
  relay_t *r = calloc (1, sizeof *r);
  struct sockaddr_in sa = { .sin_family = AF_INET };
  char a[64];
  int one = 1;

  *r = (relay_t){ .host = host, .target = target_host, .port = port,
                  .mbps = mbps };
  pthread_mutex_init (&r->mu, NULL);
  for (int i = 0; i < 2; i++)
    pthread_mutex_init (&r->link[i], NULL);
  snprintf (a, sizeof a, "%s.%d", net, host);
  sa.sin_port = htons ((uint16_t)port);
  inet_pton (AF_INET, a, &sa.sin_addr);
  r->listener = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  setsockopt (r->listener, SOL_SOCKET, SO_REUSEADDR, &one, sizeof one);
  if (bind (r->listener, (struct sockaddr *)&sa, sizeof sa)
      || listen (r->listener, 512))
    cannot_run ("relay %s: %s", a, strerror (errno));
  relays[nrelays++] = r;
  thread (accept_all, r);
}

int
relay_reset (int host, double x)
{
  const struct linger now = { 1, 0 };
  int n = 0, of = 0;

  for (int i = 0; i < nrelays; i++)
    {
      relay_t *r = relays[i];
      if (r->host != host)
        continue;
      pthread_mutex_lock (&r->mu);
      of = r->n;
      for (int k = 0; k < r->n; k++)
        {
          pair_t *p = r->pairs[k];
          if (p->reset || uniform (0, 1) >= x)
            continue;
          p->reset = true;
          n++;
          for (int j = 0; j < 2; j++)
            {
              struct sockaddr none = { .sa_family = AF_UNSPEC };
              setsockopt (p->fd[j], SOL_SOCKET, SO_LINGER, &now, sizeof now);
              /* Disconnecting with a zero linger time sends a reset.  */
              connect (p->fd[j], &none, sizeof none);
            }
        }
      pthread_mutex_unlock (&r->mu);
    }
  record ("%d of %d connections to host %d are reset", n, of, host);
  return n;
}
