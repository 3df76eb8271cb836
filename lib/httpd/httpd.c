#include "httpd.h"
#include "rpc.h"

#include <microhttpd.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/resource.h>
#include <unistd.h>

enum
{
  DESCRIPTORS_MAX = 4096, /* considered of those that the process may open */
  /* Connections stay open after an answer while fewer than this share of the
     limit are open.  Beyond it they are closed, so that callers that keep
     theirs do not shut out the others.  */
  KEEP_PERCENT = 75,
  IDLE_TIMEOUT = 15,      /* s without activity until a connection is closed */
  CONN_MEMORY = 16 << 10, /* bytes of a connection, for headers and buffers */
  STACK = 128 << 10       /* bytes, of the thread */
};

struct httpd
{
  struct MHD_Daemon *daemon;
  unsigned limit; /* connections */
  ring_t *in;
  httpd_ops_t ops;
};

static httpd_req_t *
req_new (httpd_t *h, struct MHD_Connection *c, const char *method,
         const char *path)
{
  size_t nmethod = strlen (method) + 1, npath = strlen (path) + 1;
  httpd_req_t *r = calloc (1, sizeof *r + nmethod + npath);

  if (r == NULL)
    return NULL;
  r->server = h;
  r->conn = c;
  r->method = memcpy (r->line, method, nmethod);
  r->path = memcpy (r->line + nmethod, path, npath);
  buf_init (&r->body);
  buf_init (&r->reply);
  return r;
}

void
httpd_set_response (httpd_req_t *r, unsigned status, str_t type, str_t body)
{
  r->status = status;
  r->type = type;
  buf_adds (&r->reply, body);
}

/* Half of the descriptors stay for peers, backend servers and files.  */
static unsigned
connection_limit (void)
{
  struct rlimit r;
  rlim_t n = DESCRIPTORS_MAX;

  if (getrlimit (RLIMIT_NOFILE, &r) == 0 && r.rlim_cur < n)
    n = r.rlim_cur;
  return (unsigned)n / 2;
}

static bool
is_crowded (const httpd_t *h)
{
  const union MHD_DaemonInfo *i
      = MHD_get_daemon_info (h->daemon, MHD_DAEMON_INFO_CURRENT_CONNECTIONS);

  return i && i->num_connections > h->limit * KEEP_PERCENT / 100;
}

static enum MHD_Result
respond (httpd_req_t *r)
{
  struct MHD_Response *m = MHD_create_response_from_buffer (
      buf_len (&r->reply), r->reply.p ? r->reply.p : "",
      MHD_RESPMEM_MUST_COPY);

  if (m == NULL)
    return MHD_NO;
  if (r->type.n)
    MHD_add_response_header (m, "Content-Type", r->type.p);
  if (r->location.n)
    MHD_add_response_header (m, "Location", r->location.p);
  if (is_crowded (r->server))
    MHD_add_response_header (m, "Connection", "close");
  enum MHD_Result ok = MHD_queue_response (r->conn, r->status, m);
  MHD_destroy_response (m);
  return ok;
}

static enum MHD_Result
dispatch (httpd_req_t *r)
{
  httpd_t *h = r->server;

  if (r->too_large)
    httpd_set_response (r, MHD_HTTP_CONTENT_TOO_LARGE, (str_t){ 0 },
                        (str_t){ 0 });
  else if (h->ops.handle == NULL || !h->ops.handle (h->ops.arg, r))
    {
      r->queued = true;
      MHD_suspend_connection (r->conn);
      if (h->in && ring_put (h->in, r, NULL))
        return MHD_YES;
      MHD_resume_connection (r->conn);
      httpd_set_response (r, MHD_HTTP_SERVICE_UNAVAILABLE, (str_t){ 0 },
                          (str_t){ 0 });
      r->done = true;
      return MHD_YES;
    }
  return respond (r);
}

static enum MHD_Result
serve (void *arg, struct MHD_Connection *c, const char *url,
       const char *method, const char *version, const char *data, size_t *n,
       void **state)
{
  httpd_req_t *r = *state;

  (void)version;
  if (r == NULL)
    {
      *state = req_new (arg, c, method, url);
      return *state ? MHD_YES : MHD_NO;
    }
  if (*n)
    {
      if (r->body.n + *n > HTTPD_BODY_MAX)
        r->too_large = true;
      else
        buf_add (&r->body, data, *n);
      *n = 0;
      return MHD_YES;
    }
  if (r->queued)
    return r->done ? respond (r) : MHD_YES;
  return dispatch (r);
}

static void
finished (void *arg, struct MHD_Connection *c, void **state,
          enum MHD_RequestTerminationCode why)
{
  httpd_req_t *r = *state;

  (void)arg;
  (void)c;
  (void)why;
  if (r == NULL)
    return;
  buf_free (&r->body);
  buf_free (&r->reply);
  free (r->location.p);
  free (r);
  *state = NULL;
}

void
httpd_respond (httpd_req_t *r, unsigned status, str_t type, str_t location,
               str_t body)
{
  httpd_set_response (r, status, type, body);
  if (location.n && (r->location.p = malloc (location.n + 1)) != NULL)
    {
      memcpy (r->location.p, location.p, location.n);
      r->location.p[location.n] = '\0';
      r->location.n = location.n;
    }
  struct MHD_Connection *c = r->conn;
  r->done = true;
  MHD_resume_connection (c);
}

static apr_status_t
httpd_free (void *arg)
{
  MHD_quiesce_daemon (((httpd_t *)arg)->daemon);
  return APR_SUCCESS;
}

httpd_t *
httpd_new (apr_pool_t *pool, str_t address, ring_t *in, const httpd_ops_t *ops,
           err_t *e)
{
  httpd_t *h = apr_pcalloc (pool, sizeof *h);
  int fd = rpc_listen (address, e);

  if (fd < 0)
    return NULL;
  h->in = in;
  h->ops = *ops;
  h->limit = ops->connections ? ops->connections : connection_limit ();
  h->daemon = MHD_start_daemon (
      MHD_USE_EPOLL_INTERNAL_THREAD | MHD_ALLOW_SUSPEND_RESUME, 0, NULL, NULL,
      serve, h, MHD_OPTION_LISTEN_SOCKET, fd, MHD_OPTION_CONNECTION_LIMIT,
      h->limit, MHD_OPTION_CONNECTION_TIMEOUT, (unsigned)IDLE_TIMEOUT,
      MHD_OPTION_CONNECTION_MEMORY_LIMIT, (size_t)CONN_MEMORY,
      MHD_OPTION_THREAD_STACK_SIZE, (size_t)STACK, MHD_OPTION_NOTIFY_COMPLETED,
      finished, h, MHD_OPTION_END);
  if (h->daemon == NULL)
    {
      close (fd);
      err_set (e, ERR_SYS, "http", "cannot start the HTTP server");
      return NULL;
    }
  apr_pool_cleanup_register (pool, h, httpd_free, apr_pool_cleanup_null);
  return h;
}
