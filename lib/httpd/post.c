#include "httpd.h"

#include <http_parser.h>
#include <stdlib.h>

enum
{
  ACK_TIMEOUT = 3000 /* ms without an acknowledgement until a call fails */
};

struct http_call
{
  stream_t *stream;
  http_parser parser;
  bool complete; /* the response was received */
  void (*done) (void *arg, unsigned status);
  void *arg;
};

static int
on_complete (http_parser *p)
{
  ((http_call_t *)p->data)->complete = true;
  return 0;
}

static void
finish (http_call_t *c, unsigned status)
{
  void (*done) (void *, unsigned) = c->done;
  void *arg = c->arg;

  free (c);
  done (arg, status);
}

static void
on_input (void *arg)
{
  http_call_t *c = arg;
  http_parser_settings s;
  buf_t *in = stream_in (c->stream);

  http_parser_settings_init (&s);
  s.on_message_complete = on_complete;
  size_t n = buf_len (in);
  size_t used = http_parser_execute (&c->parser, &s, in->p + in->off, n);
  buf_take (in, n);
  if (!c->complete && used == n)
    return;
  stream_close (c->stream);
  finish (c, c->complete ? c->parser.status_code : 0);
}

static void
on_closed (void *arg, err_t *e)
{
  (void)e;
  finish (arg, 0);
}

http_call_t *
http_post (loop_t *l, str_t address, str_t path, str_t headers, str_t body,
           void (*done) (void *arg, unsigned status), void *arg, err_t *e)
{
  static const stream_ops_t ops = { NULL, on_input, on_closed };
  http_call_t *c = calloc (1, sizeof *c);

  if (c == NULL)
    abort ();
  c->done = done;
  c->arg = arg;
  http_parser_init (&c->parser, HTTP_RESPONSE);
  c->parser.data = c;
  c->stream = stream_dial (l, address, ACK_TIMEOUT, &ops, c, e);
  if (c->stream == NULL)
    {
      free (c);
      return NULL;
    }
  buf_fmt (stream_out (c->stream),
           "POST " STR_FMT " HTTP/1.1\r\nHost: " STR_FMT
           "\r\nConnection: close\r\nContent-Length: %zu\r\n" STR_FMT "\r\n",
           STR_ARG (path), STR_ARG (address), body.n, STR_ARG (headers));
  buf_adds (stream_out (c->stream), body);
  return c;
}

void
http_cancel (http_call_t *c)
{
  stream_close (c->stream);
  free (c);
}
