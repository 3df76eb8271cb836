#include "httpd.h"
#include "rpc.h"

#include <microhttpd.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/resource.h>
#include <sys/socket.h>
#include <unistd.h>

enum
{
  /* Connections stay open after an answer while fewer than this share of the
     limit are open.  Beyond it they are closed, so that callers that keep
     theirs do not shut out the others.  */
  KEEP_PERCENT = 75,
  IDLE_TIMEOUT = 15,     /* s without activity until a connection is closed */
  BODY_SMALL = 64 << 10, /* bytes of a body that is taken also while the
                            budget is scarce */
  STACK = 128 << 10      /* bytes, of the thread */
};

/* An open connection.  */
typedef struct conn
{
  struct conn *next;
  struct conn *prev;
  int fd;
  bool served; /* completed a request */
  bool busy;   /* its request waits for httpd_respond */
  bool listed; /* not shut down yet */
} conn_t;

/* Connections in the order in which they are replaced.  */
typedef struct
{
  conn_t *first;
  conn_t *last;
  unsigned n;
} conn_list_t;

struct httpd
{
  conn_list_t fresh;  /* never completed a request, oldest first */
  conn_list_t served; /* by the time of their last request */
  counter_t *replaced;
  counter_t *refused;
  struct MHD_Daemon *daemon;
  unsigned limit; /* connections */
  ring_t *in;
  httpd_ops_t ops;
};

/* ---- connections ---- */

static conn_list_t *
list_of (httpd_t *h, const conn_t *c)
{
  return c->served ? &h->served : &h->fresh;
}

static void
conn_append (httpd_t *h, conn_t *c)
{
  conn_list_t *l = list_of (h, c);

  c->listed = true;
  c->next = NULL;
  c->prev = l->last;
  *(l->last ? &l->last->next : &l->first) = c;
  l->last = c;
  l->n++;
}

static void
conn_remove (httpd_t *h, conn_t *c)
{
  conn_list_t *l = list_of (h, c);

  if (!c->listed)
    return;
  c->listed = false;
  *(c->prev ? &c->prev->next : &l->first) = c->next;
  *(c->next ? &c->next->prev : &l->last) = c->prev;
  l->n--;
}

static conn_t *
conn_of (struct MHD_Connection *m)
{
  return MHD_get_connection_info (m, MHD_CONNECTION_INFO_SOCKET_CONTEXT)
      ->socket_context;
}

static conn_t *
first_idle (const conn_list_t *l)
{
  conn_t *c = l->first;

  while (c && c->busy)
    c = c->next;
  return c;
}

/* Shuts down the connection whose turn it is, but not the newest.  The server
   closes it when it notices.  */
static void
replace_one (httpd_t *h)
{
  conn_t *c = h->fresh.n > h->limit / 4 ? first_idle (&h->fresh) : NULL;

  if (c == NULL)
    c = first_idle (&h->served);
  if (c == NULL || c == h->fresh.last)
    return;
  conn_remove (h, c);
  shutdown (c->fd, SHUT_RDWR);
  counter_add (h->replaced, 1);
  log_event (EV_HTTP_REPLACED, "served=%d open=%u limit=%u", c->served,
             h->fresh.n + h->served.n, h->limit);
}

static void
notify_connection (void *arg, struct MHD_Connection *m, void **context,
                   enum MHD_ConnectionNotificationCode code)
{
  httpd_t *h = arg;
  conn_t *c = *context;

  if (code == MHD_CONNECTION_NOTIFY_STARTED)
    {
      c = calloc (1, sizeof *c);
      if (c == NULL)
        abort ();
      c->fd = MHD_get_connection_info (m, MHD_CONNECTION_INFO_CONNECTION_FD)
                  ->connect_fd;
      *context = c;
      conn_append (h, c);
      if (h->fresh.n + h->served.n > h->limit - h->limit / 8)
        replace_one (h);
    }
  else if (c)
    {
      conn_remove (h, c);
      free (c);
      *context = NULL;
    }
}

/* ---- requests ---- */

static void
charge (httpd_req_t *r)
{
  byte_budget_t *b = r->server->ops.budget;

  if (b)
    budget_charge (b, &r->held, r->body.cap + r->reply.cap);
}

static bool
is_scarce (const httpd_t *h)
{
  return h->ops.budget && budget_scarce (h->ops.budget);
}

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
  rlim_t n = 2 * HTTPD_CONNECTIONS_MAX;

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

/* The response is copied by the server and counts as held until it is sent. */
static enum MHD_Result
respond (httpd_req_t *r)
{
  charge (r);
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

  if (r->too_busy)
    httpd_set_response (r, MHD_HTTP_SERVICE_UNAVAILABLE, (str_t){ 0 },
                        (str_t){ 0 });
  else if (r->too_large)
    httpd_set_response (r, MHD_HTTP_CONTENT_TOO_LARGE, (str_t){ 0 },
                        (str_t){ 0 });
  else if (h->ops.handle == NULL || !h->ops.handle (h->ops.arg, r))
    {
      r->queued = true;
      conn_of (r->conn)->busy = true;
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

static void
take_body (httpd_req_t *r, const char *data, size_t n)
{
  httpd_t *h = r->server;
  size_t all = r->body.n + n;

  /* Only requests of the ring have a use for a body.  */
  if (r->too_large || r->too_busy || h->in == NULL)
    return;
  if (all > HTTPD_BODY_MAX)
    r->too_large = true;
  else if (all > BODY_SMALL && is_scarce (h))
    {
      r->too_busy = true;
      counter_add (h->refused, 1);
      log_event (EV_HTTP_REFUSED, "path=%s bytes=%zu", r->path, all);
    }
  else
    buf_add (&r->body, data, n);
  if (r->too_large || r->too_busy)
    buf_free (&r->body);
  charge (r);
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
      take_body (r, data, *n);
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
  if (r == NULL)
    return;
  httpd_t *h = r->server;
  conn_t *k = conn_of (c);
  if (h->ops.budget)
    budget_charge (h->ops.budget, &r->held, 0);
  if (k && k->listed)
    {
      conn_remove (h, k);
      k->served |= why == MHD_REQUEST_TERMINATED_COMPLETED_OK;
      k->busy = false;
      conn_append (h, k);
    }
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
  /* Bytes that the kernel keeps count as memory of the process.  */
  const int socket_buffer = STREAM_SOCKET_BUFFER;

  if (fd < 0)
    return NULL;
  setsockopt (fd, SOL_SOCKET, SO_RCVBUF, &socket_buffer, sizeof socket_buffer);
  h->replaced
      = counter_get ("pimentopost_http_replaced_total",
                     "HTTP connections closed to make room for others");
  h->refused = counter_get ("pimentopost_http_refused_total",
                            "HTTP requests refused while memory was scarce");
  h->in = in;
  h->ops = *ops;
  h->limit = ops->connections ? ops->connections : connection_limit ();
  h->daemon = MHD_start_daemon (
      MHD_USE_EPOLL_INTERNAL_THREAD | MHD_ALLOW_SUSPEND_RESUME, 0, NULL, NULL,
      serve, h, MHD_OPTION_LISTEN_SOCKET, fd, MHD_OPTION_CONNECTION_LIMIT,
      h->limit, MHD_OPTION_CONNECTION_TIMEOUT, (unsigned)IDLE_TIMEOUT,
      MHD_OPTION_CONNECTION_MEMORY_LIMIT, (size_t)HTTPD_CONNECTION_BYTES,
      MHD_OPTION_THREAD_STACK_SIZE, (size_t)STACK, MHD_OPTION_NOTIFY_COMPLETED,
      finished, h, MHD_OPTION_NOTIFY_CONNECTION, notify_connection, h,
      MHD_OPTION_END);
  if (h->daemon == NULL)
    {
      close (fd);
      err_set (e, ERR_SYS, "http", "cannot start the HTTP server");
      return NULL;
    }
  apr_pool_cleanup_register (pool, h, httpd_free, apr_pool_cleanup_null);
  return h;
}
