#include "soak.h"

#include <http_parser.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <sys/socket.h>

/* A small HTTP server and client on the event loop.  */

static http_conn_t *
http_conn_new (world_t *w, enum http_parser_type type)
{
  http_conn_t *h = calloc (1, sizeof *h);
  http_parser *p = calloc (1, sizeof *p);

  if (h == NULL || p == NULL)
    abort ();
  http_parser_init (p, type);
  p->data = h;
  h->world = w;
  h->parser = p;
  return h;
}

static void
http_conn_free (http_conn_t *h)
{
  buf_free (&h->head);
  buf_free (&h->field);
  buf_free (&h->body);
  free (h->parser);
  free (h);
}

/* ---- parsing ---- */

static int
on_url (http_parser *p, const char *at, size_t n)
{
  http_conn_t *h = p->data;

  snprintf (h->path, sizeof h->path, "%.*s", (int)n, at);
  snprintf (h->method, sizeof h->method, "%s", http_method_str (p->method));
  return 0;
}

static int
on_field (http_parser *p, const char *at, size_t n)
{
  http_conn_t *h = p->data;

  buf_take (&h->field, buf_len (&h->field));
  buf_add (&h->field, at, n);
  return 0;
}

static int
on_value (http_parser *p, const char *at, size_t n)
{
  http_conn_t *h = p->data;
  str_t f = buf_str (&h->field);

  if (str_caseeq (f, STR ("Duty-Holder")))
    snprintf (h->holder, sizeof h->holder, "%.*s", (int)n, at);
  else if (str_caseeq (f, STR ("Fence-Token")))
    h->token = strtoll (at, NULL, 10);
  else if (str_caseeq (f, STR ("Location")))
    snprintf (h->location, sizeof h->location, "%.*s", (int)n, at);
  return 0;
}

static int
on_body (http_parser *p, const char *at, size_t n)
{
  buf_add (&((http_conn_t *)p->data)->body, at, n);
  return 0;
}

static int
on_complete (http_parser *p)
{
  http_conn_t *h = p->data;

  h->status = p->status_code;
  h->complete = true;
  buf_add (&h->body, "", 1);
  return 0;
}

static void
parse (http_conn_t *h)
{
  static const http_parser_settings s = { .on_url = on_url,
                                          .on_header_field = on_field,
                                          .on_header_value = on_value,
                                          .on_body = on_body,
                                          .on_message_complete = on_complete };
  buf_t *in = stream_in (h->stream);
  size_t n = buf_len (in);

  http_parser_execute (h->parser, &s, in->p + in->off, n);
  buf_take (in, n);
}

/* ---- server ---- */

typedef struct
{
  world_t *world;
  int fd;
  void (*serve) (void *arg, void *request);
  void *arg;
} server_t;

static void
server_input (void *arg)
{
  http_conn_t *h = arg;

  parse (h);
  if (h->complete)
    h->serve (h->arg, h);
}

static void
server_closed (void *arg, err_t *e)
{
  http_conn_t *h = arg;

  (void)e;
  h->stream = NULL;
  if (!h->complete)
    http_conn_free (h);
}

static const stream_ops_t server_ops = { NULL, server_input, server_closed };

static void
server_accept (void *arg, uint32_t events)
{
  server_t *s = arg;
  int fd;

  (void)events;
  while ((fd = accept4 (s->fd, NULL, NULL, SOCK_NONBLOCK | SOCK_CLOEXEC)) >= 0)
    {
      http_conn_t *h = http_conn_new (s->world, HTTP_REQUEST);
      h->serve = s->serve;
      h->arg = s->arg;
      h->stream = stream_accept (s->world->loop, fd, &server_ops, h);
    }
}

void
http_serve (world_t *w, const char *at,
            void (*serve) (void *arg, void *request), void *arg)
{
  server_t *s = apr_pcalloc (w->pool, sizeof *s);
  err_t e = { 0 };

  *s = (server_t){ w, rpc_listen (str_of (at), &e), serve, arg };
  if (s->fd < 0 || !loop_watch (w->loop, s->fd, server_accept, s, &e))
    {
      fprintf (stderr, "%s: %s\n", at, e.detail);
      exit (2);
    }
}

void
http_reply (http_conn_t *h, unsigned status)
{
  if (h->stream)
    {
      buf_fmt (stream_out (h->stream),
               "HTTP/1.1 %u -\r\nContent-Length: 2\r\n"
               "Content-Type: application/json\r\nConnection: close\r\n\r\n{}",
               status);
      stream_flush (h->stream);
      stream_close (h->stream);
    }
  http_conn_free (h);
}

/* ---- client ---- */

static void
finish (http_conn_t *h)
{
  http_conn_t **at = &h->world->calls;

  while (*at != h)
    at = (http_conn_t **)&(*at)->next;
  *at = h->next;
  if (h->stream)
    stream_close (h->stream);
  h->done (h->arg, h->complete ? h->status : 0, h->complete ? h->body.p : "",
           h->location);
  http_conn_free (h);
}

static void
call_input (void *arg)
{
  http_conn_t *h = arg;

  parse (h);
  if (h->complete)
    finish (h);
}

static void
call_closed (void *arg, err_t *e)
{
  http_conn_t *h = arg;

  (void)e;
  h->stream = NULL;
  finish (h);
}

static const stream_ops_t call_ops = { NULL, call_input, call_closed };

void
http_send (world_t *w, const char *method, const char *to, const char *path,
           const char *body, msec_t ms,
           void (*done) (void *, unsigned, const char *, const char *),
           void *arg)
{
  http_conn_t *h = http_conn_new (w, HTTP_RESPONSE);
  err_t e = { 0 };

  h->done = done;
  h->arg = arg;
  h->deadline = w->now + ms;
  h->next = w->calls;
  w->calls = h;
  h->stream = stream_dial (w->loop, str_of (to), 5000, &call_ops, h, &e);
  if (h->stream == NULL)
    {
      h->deadline = w->now;
      return;
    }
  buf_fmt (stream_out (h->stream),
           "%s %s HTTP/1.1\r\nHost: %s\r\nConnection: close\r\n"
           "Content-Type: application/json\r\nContent-Length: %zu\r\n\r\n%s",
           method, path, to, strlen (body), body);
  stream_flush (h->stream);
}

void
http_tick (world_t *w, msec_t now)
{
  for (http_conn_t *next, *h = w->calls; h; h = next)
    {
      next = h->next;
      if (now >= h->deadline)
        finish (h);
    }
}
