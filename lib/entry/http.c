#include "worker.h"

#include <arpa/inet.h>
#include <microhttpd.h>
#include <stdlib.h>
#include <string.h>

enum
{
  CONTACT_LATE = 2000 /* ms without a grant until /health says so */
};

typedef struct
{
  instance_t *in;
  ring_t *end; /* closed by stop */
} http_t;

static struct MHD_Response *
text_response (buf_t *b)
{
  struct MHD_Response *r = MHD_create_response_from_buffer (
      buf_len (b), (void *)buf_str (b).p, MHD_RESPMEM_MUST_COPY);

  MHD_add_response_header (r, "Content-Type", "text/plain; version=0.0.4");
  return r;
}

static unsigned
health (const instance_t *in, buf_t *out)
{
  msec_t contact = __atomic_load_n (&in->contact, __ATOMIC_ACQUIRE);

  if (instance_stopping (in))
    {
      buf_fmt (out, "stopping\n");
      return MHD_HTTP_SERVICE_UNAVAILABLE;
    }
  /* Without control the instance goes on serving what it can.  */
  buf_fmt (out,
           msec_now () - contact > CONTACT_LATE ? "ok, no contact\n" : "ok\n");
  return MHD_HTTP_OK;
}

static enum MHD_Result
answer (void *arg, struct MHD_Connection *c, const char *url,
        const char *method, const char *version, const char *data,
        size_t *size, void **state)
{
  const http_t *h = arg;
  buf_t out = { 0 };
  unsigned code = MHD_HTTP_OK;

  (void)version;
  (void)data;
  (void)size;
  (void)state;
  if (strcmp (method, "GET") != 0)
    code = MHD_HTTP_METHOD_NOT_ALLOWED;
  else if (strcmp (url, "/health") == 0)
    code = health (h->in, &out);
  else if (strcmp (url, "/metrics") == 0)
    counter_text (&out);
  else
    code = MHD_HTTP_NOT_FOUND;
  if (out.p == NULL)
    buf_fmt (&out, "%u\n", code);
  struct MHD_Response *r = text_response (&out);
  enum MHD_Result ok = MHD_queue_response (c, code, r);
  MHD_destroy_response (r);
  buf_free (&out);
  return ok;
}

static bool
parse (str_t a, struct sockaddr_in *sa)
{
  const char *colon = memrchr (a.p, ':', a.n);
  char host[64] = { 0 };
  int64_t port;

  *sa = (struct sockaddr_in){ .sin_family = AF_INET };
  if (colon == NULL || (size_t)(colon - a.p) >= sizeof host)
    return false;
  size_t n = (size_t)(colon - a.p);
  memcpy (host, a.p, n);
  if (!str_int ((str_t){ a.p + n + 1, a.n - n - 1 }, &port))
    return false;
  sa->sin_port = htons ((uint16_t)port);
  return inet_pton (AF_INET, host, &sa->sin_addr) == 1;
}

static bool
run (void *arg, err_t *e)
{
  enum
  {
    CONNECTIONS = 16,
    SECONDS = 5
  };
  http_t *h = arg;
  struct sockaddr_in sa;

  if (!parse (h->in->set->health, &sa))
    return err_set (e, ERR_SYNTAX, "health", "not an address");
  struct MHD_Daemon *d = MHD_start_daemon (
      MHD_USE_INTERNAL_POLLING_THREAD | MHD_USE_EPOLL, 0, NULL, NULL, answer,
      h, MHD_OPTION_SOCK_ADDR, &sa, MHD_OPTION_CONNECTION_LIMIT, CONNECTIONS,
      MHD_OPTION_LISTENING_ADDRESS_REUSE, 1U, MHD_OPTION_CONNECTION_TIMEOUT,
      SECONDS, MHD_OPTION_END);
  if (d == NULL)
    return err_sys (e, "health", "listen");
  ring_get (h->end, -1);
  MHD_stop_daemon (d);
  return true;
}

static void
stop (void *arg)
{
  http_t *h = arg;

  ring_close (h->end);
}

duty_t
http_duty (instance_t *in)
{
  http_t *h = apr_pcalloc (in->pool, sizeof *h);

  h->in = in;
  h->end = ring_new (in->pool, 1);
  return (duty_t){ "http", run, stop, h };
}
