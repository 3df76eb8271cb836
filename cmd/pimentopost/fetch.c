#include "tool.h"

#include <http_parser.h>
#include <poll.h>
#include <string.h>
#include <unistd.h>

enum
{
  REDIRECTS_MAX = 2
};

/* A response as far as received.  */
typedef struct
{
  buf_t body;
  char location[256];
  bool in_location;
  bool complete;
} response_t;

static int
on_field (http_parser *p, const char *at, size_t n)
{
  response_t *r = p->data;

  r->in_location = str_caseeq ((str_t){ (char *)at, n }, STR ("Location"));
  return 0;
}

static int
on_value (http_parser *p, const char *at, size_t n)
{
  response_t *r = p->data;

  if (r->in_location)
    str_copy (r->location, sizeof r->location, (str_t){ (char *)at, n });
  return 0;
}

static int
on_body (http_parser *p, const char *at, size_t n)
{
  buf_add (&((response_t *)p->data)->body, at, n);
  return 0;
}

static int
on_complete (http_parser *p)
{
  ((response_t *)p->data)->complete = true;
  return 0;
}

static bool
wait_for (int fd, short events, msec_t until, err_t *e)
{
  struct pollfd p = { .fd = fd, .events = events };
  msec_t left = until - msec_now ();

  return (left > 0 && poll (&p, 1, (int)left) > 0)
         || err_set (e, ERR_TIMEOUT, "connection", "no answer in time");
}

static bool
send_request (int fd, const char *path, str_t address, msec_t until, err_t *e)
{
  buf_t b;
  long left = 1;

  buf_init (&b);
  buf_fmt (&b,
           "GET %s HTTP/1.1\r\nHost: " STR_FMT "\r\nConnection: close\r\n\r\n",
           path, STR_ARG (address));
  while (left > 0 && wait_for (fd, POLLOUT, until, e))
    left = rpc_write (fd, &b, e);
  buf_free (&b);
  return left == 0;
}

/* Receives the response to R; its status, or 0 with E.  */
static unsigned
receive (int fd, response_t *r, msec_t until, err_t *e)
{
  const http_parser_settings s = { .on_header_field = on_field,
                                   .on_header_value = on_value,
                                   .on_body = on_body,
                                   .on_message_complete = on_complete };
  http_parser p;
  buf_t in;
  bool ok = true;

  http_parser_init (&p, HTTP_RESPONSE);
  p.data = r;
  buf_init (&in);
  while (ok && !r->complete && wait_for (fd, POLLIN, until, e)
         && rpc_read (fd, &in, e) >= 0)
    {
      size_t n = buf_len (&in);
      ok = http_parser_execute (&p, &s, in.p + in.off, n) == n
           || err_set (e, ERR_PROTOCOL, "response", "not HTTP");
      buf_take (&in, n);
    }
  buf_free (&in);
  return r->complete ? p.status_code : 0;
}

static unsigned
get_once (str_t address, const char *path, response_t *r, msec_t until,
          err_t *e)
{
  unsigned status = 0;
  int fd = rpc_connect (address, e);

  if (fd < 0)
    return 0;
  r->body.n = r->body.off = 0;
  r->location[0] = '\0';
  r->complete = false;
  if (send_request (fd, path, address, until, e))
    status = receive (fd, r, until, e);
  close (fd);
  return status;
}

/* The address in "http://ADDRESS/...".  */
static str_t
address_in (const char *url)
{
  const char *p = strstr (url, "//");

  p = p ? p + 2 : url;
  return (str_t){ (char *)p, strcspn (p, "/") };
}

static bool
get (tool_t *t, str_t address, const char *path, response_t *r, msec_t until,
     err_t *e)
{
  unsigned status = 307;

  for (int i = 0; status == 307 && i <= REDIRECTS_MAX; i++)
    {
      status = get_once (address, path, r, until, e);
      if (status == 307)
        address = str_dup (t->pool, address_in (r->location));
    }
  if (status && status != 200)
    err_set (e, ERR_UNREACHABLE, path, "status %u", status);
  return status == 200;
}

bool
fetch_document (tool_t *t, const char *path, str_t *body, err_t *e)
{
  msec_t until = msec_now () + t->timeout;
  response_t r = { 0 };
  bool ok = false;

  buf_init (&r.body);
  for (size_t i = 0; i < t->nservers && !ok; i++)
    ok = get (t, t->servers[i], path, &r, until, e);
  if (ok)
    *body = str_dup (t->pool, buf_str (&r.body));
  buf_free (&r.body);
  return ok;
}
