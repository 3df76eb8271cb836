/* db ADDRESS - a primary database that answers every statement, for the
   crowds.

   READ large gives a row of 1 MiB, READ huge gives 32 of them.  A thread
   serves each connection.  */

#include "base.h"
#include "rpc.h"

#include <errno.h>
#include <fcntl.h>
#include <poll.h>
#include <pthread.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

enum
{
  ROW = (1 << 20) - 64, /* bytes */
  HUGE_ROWS = 32
};

static bool
send_all (int fd, buf_t *out)
{
  while (buf_len (out))
    {
      ssize_t n = send (fd, out->p + out->off, buf_len (out), MSG_NOSIGNAL);
      if (n <= 0)
        return false;
      buf_take (out, (size_t)n);
    }
  return true;
}

static bool
send_rows (int fd, buf_t *out, int n)
{
  for (int i = 0; i < n; i++)
    {
      buf_adds (out, STR ("ROW "));
      memset (buf_room (out, ROW), 'r', ROW);
      out->n += ROW;
      buf_adds (out, STR ("\r\n"));
      if (!send_all (fd, out))
        return false;
    }
  return true;
}

/* Answers the line TEXT of a connection with the state TX.  */
static bool
answer (int fd, char *text, char *tx, buf_t *out)
{
  char *verb = strncmp (text, "QUERY ", 6) ? NULL : strchr (text + 6, ' ');

  verb = verb ? verb + 1 : text;
  if (strncmp (verb, "AFTER ", 6) == 0 && strchr (verb + 6, ' '))
    verb = strchr (verb + 6, ' ') + 1;
  if (strncmp (verb, "BEGIN", 5) == 0)
    *tx = 'T';
  else if (strcmp (verb, "COMMIT") == 0 || strcmp (verb, "ROLLBACK") == 0
           || strcmp (verb, "RESET") == 0)
    *tx = 'I';
  if (strcmp (verb, "READ large") == 0 && !send_rows (fd, out, 1))
    return false;
  if (strcmp (verb, "READ huge") == 0 && !send_rows (fd, out, HUGE_ROWS))
    return false;
  if (strcmp (verb, "STATUS") == 0 || strncmp (verb, "PAUSE", 5) == 0)
    buf_adds (out, STR ("ROW primary 1 1.1 0\r\n"));
  if (strncmp (text, "STARTUP ", 8) != 0)
    buf_fmt (out, "COMPLETE %s\r\n",
             strncmp (verb, "READ", 4) != 0 && strncmp (verb, "WRITE", 5) != 0
                 ? "-"
                 : "signed");
  buf_fmt (out, "READY %c 1.1\r\n", *tx);
  return send_all (fd, out);
}

static void *
serve (void *arg)
{
  int fd = (int)(intptr_t)arg;
  buf_t in, out;
  char tx = 'I';
  err_t e;
  bool open = true;

  buf_init (&in);
  buf_init (&out);
  while (open && rpc_read (fd, &in, &e) > 0)
    {
      char *lf;
      while (open && buf_len (&in)
             && (lf = memchr (in.p + in.off, '\n', buf_len (&in))) != NULL)
        {
          char *line = in.p + in.off;
          size_t n = (size_t)(lf - line);
          lf[n ? -1 : 0] = '\0';
          open = answer (fd, line, &tx, &out);
          buf_take (&in, n + 1);
        }
    }
  buf_free (&in);
  buf_free (&out);
  close (fd);
  return NULL;
}

int
main (int argc, char **argv)
{
  err_t e = { 0 };
  struct pollfd p = { .events = POLLIN };

  p.fd = argc == 2 ? rpc_listen (str_of (argv[1]), &e) : -1;
  if (p.fd < 0)
    {
      fprintf (stderr, "db: %s\n", e.detail);
      return 2;
    }
  for (;;)
    {
      pthread_t t;
      poll (&p, 1, -1);
      int fd = accept4 (p.fd, NULL, NULL, SOCK_CLOEXEC);
      if (fd >= 0
          && pthread_create (&t, NULL, serve, (void *)(intptr_t)fd) == 0)
        pthread_detach (t);
    }
}
