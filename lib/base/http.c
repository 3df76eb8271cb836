#include "base.h"

#include <microhttpd.h>
#include <stdatomic.h>
#include <string.h>
#include <unistd.h>

enum
{
  WAIT = 100,           /* ms between checks of STOPPING */
  MAX_CONNECTIONS = 16, /* at the same time */
  IDLE_TIMEOUT = 5      /* s without activity until a connection is closed */
};

struct http
{
  struct MHD_Daemon *daemon;
  bool (*health) (void *arg, buf_t *out);
  void *arg;
  atomic_bool stopping;
};

static enum MHD_Result
reply (struct MHD_Connection *c, unsigned status, str_t text)
{
  struct MHD_Response *r = MHD_create_response_from_buffer (
      text.n, text.p, MHD_RESPMEM_MUST_COPY);

  if (r == NULL)
    return MHD_NO;
  MHD_add_response_header (r, "Content-Type", "text/plain; charset=utf-8");
  enum MHD_Result ok = MHD_queue_response (c, status, r);
  MHD_destroy_response (r);
  return ok;
}

static enum MHD_Result
serve (void *arg, struct MHD_Connection *c, const char *url,
       const char *method, const char *version, const char *data, size_t *n,
       void **state)
{
  http_t *h = arg;
  unsigned status = MHD_HTTP_OK;
  buf_t b;

  (void)version;
  (void)data;
  (void)n;
  (void)state;
  buf_init (&b);
  if (strcmp (method, "GET") != 0)
    status = MHD_HTTP_METHOD_NOT_ALLOWED;
  else if (strcmp (url, "/metrics") == 0)
    counter_text (&b);
  else if (strcmp (url, "/health") != 0)
    status = MHD_HTTP_NOT_FOUND;
  else if (!h->health (h->arg, &b))
    status = MHD_HTTP_SERVICE_UNAVAILABLE;
  enum MHD_Result ok = reply (c, status, buf_str (&b));
  buf_free (&b);
  return ok;
}

static apr_status_t
http_free (void *arg)
{
  http_t *h = arg;

  MHD_stop_daemon (h->daemon);
  return APR_SUCCESS;
}

http_t *
http_new (apr_pool_t *pool, int fd, bool (*health) (void *arg, buf_t *out),
          void *arg, err_t *e)
{
  http_t *h = apr_pcalloc (pool, sizeof *h);

  h->health = health;
  h->arg = arg;
  h->daemon = MHD_start_daemon (
      MHD_USE_EPOLL, 0, NULL, NULL, serve, h, MHD_OPTION_LISTEN_SOCKET, fd,
      MHD_OPTION_CONNECTION_LIMIT, (unsigned)MAX_CONNECTIONS,
      MHD_OPTION_CONNECTION_TIMEOUT, (unsigned)IDLE_TIMEOUT, MHD_OPTION_END);
  if (h->daemon == NULL)
    {
      close (fd);
      err_set (e, ERR_SYS, "health", "cannot start the HTTP server");
      return NULL;
    }
  apr_pool_cleanup_register (pool, h, http_free, apr_pool_cleanup_null);
  return h;
}

static bool
run (void *arg, err_t *e)
{
  http_t *h = arg;

  while (!atomic_load (&h->stopping))
    if (MHD_run_wait (h->daemon, WAIT) != MHD_YES)
      return err_set (e, ERR_SYS, "health", "the HTTP server failed");
  return true;
}

static void
stop (void *arg)
{
  atomic_store (&((http_t *)arg)->stopping, true);
}

duty_t
http_duty (http_t *h)
{
  return (duty_t){ "health", run, stop, h };
}
