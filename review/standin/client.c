/* Clients.  */

#define _GNU_SOURCE
#include "standin.h"

#include <arpa/inet.h>
#include <errno.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

/* A line without its CR LF; NULL at the end of the connection (CLOSED) or
   after UNTIL (SILENT).  */
static char *
read_line (client_t *c, double until, outcome_t *why)
{
  for (;;)
    {
      char *lf = memchr (c->buf + c->off, '\n', (size_t)(c->n - c->off));
      if (lf)
        {
          char *line = c->buf + c->off;
          if (lf > line)
            lf[-1] = '\0';
          c->off = (int)(lf + 1 - c->buf);
          return line;
        }
      memmove (c->buf, c->buf + c->off, (size_t)(c->n - c->off));
      c->n -= c->off;
      c->off = 0;
      double left = until - now_ms ();
      struct pollfd p = { c->fd, POLLIN, 0 };
      if (left <= 0 || poll (&p, 1, (int)left + 1) != 1)
        {
          *why = SILENT;
          return NULL;
        }
      ssize_t k
          = recv (c->fd, c->buf + c->n, sizeof c->buf - (size_t)c->n, 0);
      if (k <= 0)
        {
          *why = CLOSED;
          return NULL;
        }
      c->n += (int)k;
    }
}

bool
client_open (client_t *c, int n, const char *host)
{
  struct sockaddr_in sa = { .sin_family = AF_INET };
  char a[64], text[128];
  int one = 1;
  outcome_t why;

  c->entry = n >= 0 ? n : ingress_pick ();
  c->n = c->off = 0;
  snprintf (a, sizeof a, "%s.%d", net, 10 + c->entry);
  sa.sin_port = htons (FRONT_PORT);
  inet_pton (AF_INET, a, &sa.sin_addr);
  c->fd = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  setsockopt (c->fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
  int k = snprintf (text, sizeof text, "STARTUP %s client\r\n", host);
  if (connect (c->fd, (struct sockaddr *)&sa, sizeof sa) == 0
      && send (c->fd, text, (size_t)k, MSG_NOSIGNAL) == k)
    {
      char *line = read_line (c, now_ms () + 2000, &why);
      if (line && strncmp (line, "READY I", 7) == 0)
        return true;
    }
  client_close (c);
  return false;
}

void
client_close (client_t *c)
{
  if (c->fd >= 0)
    close (c->fd);
  c->fd = -1;
}

static void
parse (answer_t *a, const char *line)
{
  if (strncmp (line, "ROW ", 4) == 0)
    {
      if (a->rows < 64)
        snprintf (a->row_tag[a->rows], sizeof a->row_tag[0], "%.*s",
                  (int)strcspn (line + 4, " "), line + 4);
      a->rows++;
    }
  else if (strncmp (line, "COMPLETE ", 9) == 0)
    {
      a->complete = true;
      snprintf (a->signature, sizeof a->signature, "%s", line + 9);
    }
  else if (strncmp (line, "ERROR ", 6) == 0)
    snprintf (a->error, sizeof a->error, "%.*s",
              (int)strcspn (line + 6, " "), line + 6);
}

void
client_query (client_t *c, const char *text, int timeout_ms, answer_t *a)
{
  static int serial;
  char req[400], *line;

  memset (a, 0, sizeof *a);
  snprintf (a->id, sizeof a->id, "%08x%08x", (unsigned)uniform (0, 4e9),
            (unsigned)__sync_add_and_fetch (&serial, 1));
  int n = snprintf (req, sizeof req, "QUERY %s %s\r\n", a->id, text);
  record ("%s sent to %s: %s", a->id, entry[c->entry].name, text);
  a->sent = now_ms ();
  a->outcome = CLOSED;
  if (send (c->fd, req, (size_t)n, MSG_NOSIGNAL) == n)
    while ((line = read_line (c, a->sent + timeout_ms, &a->outcome)) != NULL)
      {
        parse (a, line);
        if (strncmp (line, "READY ", 6) == 0)
          {
            a->state = line[6];
            a->outcome = ANSWERED;
            break;
          }
      }
  a->ended = now_ms ();
  record ("%s %s %s%s%s, %d rows, state %c", a->id,
          a->outcome == ANSWERED ? "answered"
          : a->outcome == CLOSED ? "cut off"
                                 : "without answer",
          a->error, a->error[0] && a->complete ? " and " : "",
          a->complete ? a->signature : "", a->rows,
          a->state ? a->state : '-');
}
