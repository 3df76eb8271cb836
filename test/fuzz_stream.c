/* Fuzz target of what other machines send, through the buffers of a stream:
   the line protocol of clients and of databases, frames between instances, and
   bodies of HTTP requests.  The first byte of the input chooses one of them
   and the size of the pieces in which the rest arrives.

   However it arrives, the messages found are those of the whole input, no more
   is read than the stream's limit allows, and the budget is empty at the end.
 */

#include "platform/platform.h"

#include <apr_general.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

enum
{
  KINDS = 4,
  INPUT_MAX = 1024 /* bytes at which the stream stops to read */
};

typedef enum
{
  KIND_CLIENT,
  KIND_DB,
  KIND_FRAMES,
  KIND_BODY
} kind_t;

typedef struct
{
  kind_t kind;
  apr_pool_t *pool;
  loop_t *loop;
  stream_t *stream;
  size_t seen;  /* bytes found incomplete */
  int messages; /* decoded */
  bool refused;
  int peer; /* the other end; -1: closed */
  str_t left;
  size_t piece; /* bytes sent in one turn */
} run_t;

int LLVMFuzzerTestOneInput (const uint8_t *data, size_t n);

static void
require (bool ok)
{
  if (!ok)
    abort ();
}

static int
decode (run_t *r, const buf_t *in, size_t *used)
{
  str_t s = buf_str (in);
  client_msg_t c;
  db_msg_t d;
  str_t body;
  err_t e = { 0 };
  msgtype_t type;
  int got = 0;

  switch (r->kind)
    {
    case KIND_CLIENT:
      if (r->seen && !pf_client.may_decode (s, r->seen))
        {
          require (pf_client.decode (s, used, &c) == 0);
          return 0;
        }
      got = pf_client.decode (s, used, &c);
      break;
    case KIND_DB:
      got = pf_db.decode (s, used, &d);
      break;
    case KIND_FRAMES:
      got = rpc_frame (in, &body, &e);
      if (got > 0)
        {
          *used = body.n + 4;
          rpc_decode (r->pool, body, &type, &e);
        }
      break;
    case KIND_BODY:
      break;
    }
  return got;
}

/* Decodes all messages of IN, and counts them.  */
static void
take_messages (run_t *r, buf_t *in)
{
  size_t used = 0;
  int got = 0;

  while (!r->refused && (got = decode (r, in, &used)) > 0)
    {
      require (used > 0 && used <= buf_len (in));
      buf_take (in, used);
      r->messages++;
      r->seen = 0;
    }
  r->seen = got == 0 ? buf_len (in) : 0;
  r->refused |= got < 0;
}

static void
on_input (void *arg)
{
  run_t *r = arg;

  take_messages (r, stream_in (r->stream));
  /* A read of 16 KiB may end above the limit.  */
  require (buf_len (stream_in (r->stream)) <= INPUT_MAX + (16 << 10));
}

static void
on_closed (void *arg, err_t *e)
{
  run_t *r = arg;

  (void)e;
  r->stream = NULL;
  loop_stop (r->loop);
}

static msec_t
on_turn (void *arg, msec_t now)
{
  run_t *r = arg;
  size_t n = r->left.n < r->piece ? r->left.n : r->piece;

  if (r->stream && (r->refused || stream_paused (r->stream)))
    {
      stream_close (r->stream);
      r->stream = NULL;
      loop_stop (r->loop);
    }
  else if (n)
    {
      require (send (r->peer, r->left.p, n, MSG_NOSIGNAL) == (ssize_t)n);
      r->left.p += n;
      r->left.n -= n;
    }
  else if (r->peer >= 0)
    {
      close (r->peer);
      r->peer = -1;
    }
  return now;
}

static void
fuzz_stream (run_t *r, str_t in)
{
  static const stream_ops_t ops = { NULL, on_input, on_closed };
  int fd[2];
  err_t e = { 0 };
  run_t whole = { .kind = r->kind, .pool = r->pool };
  buf_t all;
  bool paused;

  r->loop = loop_new (r->pool, &e);
  require (r->loop != NULL);
  require (
      socketpair (AF_UNIX, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0, fd)
      == 0);
  budget_set_limit (loop_budget (r->loop), 1 << 20);
  r->peer = fd[1];
  r->left = in;
  r->stream = stream_accept (r->loop, fd[0], &ops, r);
  stream_set_input_max (r->stream, INPUT_MAX);
  require (loop_run (r->loop, on_turn, r, &e));
  paused = r->left.n > 0 || r->refused;
  if (r->peer >= 0)
    close (r->peer);
  require (budget_used (loop_budget (r->loop)) == 0);
  require (loop_streams (r->loop) == 0);
  buf_init (&all);
  buf_adds (&all, in);
  take_messages (&whole, &all);
  buf_free (&all);
  require (r->messages <= whole.messages);
  require (paused || r->messages == whole.messages);
}

/* Bodies arrive in pieces in a buffer of the HTTP server.  */
static void
fuzz_body (run_t *r)
{
  buf_t body;
  buf_t setup;
  int64_t version = 0;
  backend_t b;
  err_t e = { 0 };

  buf_init (&body);
  buf_init (&setup);
  while (r->left.n)
    {
      size_t n = r->left.n < r->piece ? r->left.n : r->piece;
      buf_add (&body, r->left.p, n);
      r->left.p += n;
      r->left.n -= n;
    }
  if (!pf_config_parse (r->pool, buf_str (&body), &version, &setup, &e))
    require (e.code != ERR_NONE);
  e = (err_t){ 0 };
  if (!pf_heartbeat_parse (r->pool, STR ("i-1"), buf_str (&body), false, &b,
                           &e))
    require (e.code != ERR_NONE);
  buf_free (&body);
  buf_free (&setup);
}

int
LLVMFuzzerTestOneInput (const uint8_t *data, size_t n)
{
  static bool started;
  run_t r = { .peer = -1 };

  if (!started)
    {
      apr_initialize ();
      log_open ("fuzz", 0);
      started = true;
    }
  if (n == 0)
    return 0;
  str_t in = { (char *)data + 1, n - 1 };
  r.kind = (kind_t)(data[0] % KINDS);
  r.piece = 1 + (size_t)(data[0] / KINDS) * 8;
  apr_pool_create (&r.pool, NULL);
  if (r.kind == KIND_BODY)
    {
      r.left = in;
      fuzz_body (&r);
    }
  else
    fuzz_stream (&r, in);
  apr_pool_destroy (r.pool);
  return 0;
}
