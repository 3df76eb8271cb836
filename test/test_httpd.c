#include "httpd.h"
#include "rpc.h"

#include <apr_general.h>
#include <arpa/inet.h>
#include <check.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

/* A server, its event loop, and the result of the last call.  */
typedef struct
{
  loop_t *loop;
  ring_t *in;
  unsigned status;
  bool done;
  char body[64];
  size_t npath; /* bytes of the last path */
  msec_t until; /* end of the loop without a result */
} fixture_t;

/* Writes the address of a port that nothing listens on.  */
static void
free_address (char *out, size_t size)
{
  err_t e = { 0 };
  struct sockaddr_in sa = { 0 };
  socklen_t n = sizeof sa;
  int fd = rpc_listen (STR ("127.0.0.1:0"), &e);

  getsockname (fd, (struct sockaddr *)&sa, &n);
  snprintf (out, size, "127.0.0.1:%d", ntohs (sa.sin_port));
  close (fd);
}

static bool
handle (void *arg, httpd_req_t *r)
{
  (void)arg;
  if (strcmp (r->path, "/quick") != 0)
    return false;
  httpd_set_response (r, 409, (str_t){ 0 }, (str_t){ 0 });
  return true;
}

static void
on_request (void *arg, uint32_t events)
{
  fixture_t *w = arg;
  httpd_req_t *r;

  (void)events;
  while ((r = ring_get (w->in, 0)) != NULL)
    {
      w->npath = strlen (r->path);
      snprintf (w->body, sizeof w->body, "%s " STR_FMT, r->method,
                STR_ARG (buf_str (&r->body)));
      httpd_respond (r, 202, STR ("text/plain"), (str_t){ 0 }, STR ("ok"));
    }
}

static void
on_done (void *arg, unsigned status)
{
  fixture_t *w = arg;

  w->status = status;
  w->done = true;
}

static msec_t
turn (void *arg, msec_t now)
{
  fixture_t *w = arg;

  if (w->done || now > w->until)
    loop_stop (w->loop);
  return now + 10;
}

static unsigned
post (fixture_t *w, const char *address, const char *path)
{
  err_t e = { 0 };

  w->done = false;
  w->status = 999;
  w->until = msec_now () + 3000;
  ck_assert (http_post (w->loop, str_of (address), str_of (path),
                        STR ("X-Token: 1\r\n"), STR ("hello"), on_done, w,
                        &e));
  loop_run (w->loop, turn, w, &e);
  ck_assert (w->done);
  return w->status;
}

/* Guards against losing a response between the server's thread and the loop,
   and against reporting a status for a call without a response.  */
START_TEST (calls_are_answered)
{
  char path[600];
  fixture_t w = { 0 };
  apr_pool_t *pool;
  char address[32], unused[32];
  err_t e = { 0 };
  const httpd_ops_t ops = { handle, &w };

  apr_initialize ();
  apr_pool_create (&pool, NULL);
  log_open ("test", 0);
  w.loop = loop_new (pool, &e);
  w.in = ring_new (pool, 8);
  loop_watch (w.loop, ring_fd (w.in), on_request, &w, &e);
  free_address (address, sizeof address);
  ck_assert (httpd_new (pool, str_of (address), w.in, &ops, &e));
  ck_assert_uint_eq (post (&w, address, "/slow"), 202);
  ck_assert_str_eq (w.body, "POST hello");
  ck_assert_uint_eq (post (&w, address, "/quick"), 409);
  /* A path that is cut names another database.  */
  snprintf (path, sizeof path, "/%0500d", 1);
  ck_assert_uint_eq (post (&w, address, path), 202);
  ck_assert_uint_eq (w.npath, 501);
  free_address (unused, sizeof unused);
  ck_assert_uint_eq (post (&w, unused, "/quick"), 0);
}
END_TEST

/* Sends a request on a new connection and waits for the answer.  Returns the
   descriptor, which stays open, or -1 without an answer in MS.  */
static int
request (const char *address, int ms)
{
  static const char text[] = "GET /quick HTTP/1.1\r\nHost: h\r\n\r\n";
  struct timeval limit = { ms / 1000, ms % 1000 * 1000 };
  struct sockaddr_in sa = { .sin_family = AF_INET };
  char answer[256];

  sa.sin_port
      = htons ((uint16_t)strtol (strrchr (address, ':') + 1, NULL, 10));
  sa.sin_addr.s_addr = htonl (INADDR_LOOPBACK);
  int fd = socket (AF_INET, SOCK_STREAM, 0);
  ck_assert_int_ge (fd, 0);
  setsockopt (fd, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof limit);
  ck_assert_int_eq (connect (fd, (struct sockaddr *)&sa, sizeof sa), 0);
  ck_assert_int_eq (send (fd, text, sizeof text - 1, 0), sizeof text - 1);
  if (recv (fd, answer, sizeof answer, 0) > 0)
    return fd;
  close (fd);
  return -1;
}

/* Guards against callers that are shut out by others: databases keep the
   connection of their heartbeats open, and once there were 256 the operator's
   calls got no answer, so that a fleet never got its configuration.  */
START_TEST (kept_connections_shut_nobody_out)
{
  enum
  {
    CALLERS = 300
  };
  apr_pool_t *pool;
  char address[32];
  err_t e = { 0 };
  const unsigned limit[] = { 0, 40 };
  int fd[CALLERS];

  apr_initialize ();
  apr_pool_create (&pool, NULL);
  log_open ("test", 0);
  for (int k = 0; k < 2; k++)
    {
      const httpd_ops_t ops = { handle, NULL, limit[k] };
      free_address (address, sizeof address);
      ck_assert (httpd_new (pool, str_of (address), NULL, &ops, &e));
      for (int i = 0; i < CALLERS; i++)
        {
          fd[i] = request (address, 3000);
          ck_assert_msg (fd[i] >= 0, "limit %u, caller %d", limit[k], i);
        }
      for (int i = 0; i < CALLERS; i++)
        close (fd[i]);
    }
}
END_TEST

int
main (void)
{
  Suite *s = suite_create ("httpd");
  TCase *t = tcase_create ("calls");

  tcase_add_test (t, calls_are_answered);
  tcase_add_test (t, kept_connections_shut_nobody_out);
  suite_add_tcase (s, t);
  SRunner *r = srunner_create (s);
  srunner_run_all (r, CK_ENV);
  int failed = srunner_ntests_failed (r);
  srunner_free (r);
  return failed != 0;
}
