#include "tool.h"

#include <errno.h>

enum
{
  /* ms; a leader commits within a few round trips, and a new one is elected
     within 1 s.  */
  ATTEMPT_TIMEOUT = 1500,
  ROUND_DELAY = 100 /* ms between rounds over all instances */
};

bool
tool_servers (tool_t *t, str_t list, err_t *e)
{
  while (list.n)
    {
      size_t n = 0;
      while (n < list.n && list.p[n] != ',')
        n++;
      if (n == 0 || t->nservers == MAX_SERVERS)
        return err_set (e, ERR_USAGE, "--server",
                        "needs 1 to %d addresses, separated by commas",
                        MAX_SERVERS);
      t->servers[t->nservers++] = (str_t){ list.p, n };
      n += n < list.n;
      list = (str_t){ list.p + n, list.n - n };
    }
  return true;
}

/* A message that is sent to the instances in turn until one answers.  */
typedef struct
{
  tool_t *t;
  msgtype_t type;
  msgtype_t response;
  const void *msg;
  msec_t until;
  size_t attempts; /* to the given instances, in their order */
  str_t leader;    /* named by the last answer, to be tried next */
  str_t server;    /* of the last attempt */
  bool maybe_sent; /* an attempt may have arrived without an answer */
  err_t err;       /* of the last attempt */
} call_t;

static str_t
next_server (call_t *c)
{
  str_t a = c->leader;

  c->leader = (str_t){ 0 };
  if (a.n)
    return a;
  if (c->attempts > 0 && c->attempts % c->t->nservers == 0)
    msec_sleep (ROUND_DELAY);
  return c->t->servers[c->attempts++ % c->t->nservers];
}

/* The next answer of the expected type; NULL when the time is up or an address
   is malformed.  */
static void *
next_answer (call_t *c)
{
  msgtype_t got = 0;

  for (;;)
    {
      msec_t left = c->until - msec_now ();
      if (left <= 0)
        return NULL;
      str_t a = c->server = next_server (c);
      void *r = rpc_call (c->t->pool, a, c->type, c->msg,
                          left < ATTEMPT_TIMEOUT ? left : ATTEMPT_TIMEOUT,
                          &got, &c->err);
      if (r && got == c->response)
        return r;
      if (r)
        err_set (&c->err, ERR_PROTOCOL, "answer", "unexpected %s",
                 rpc_name (got));
      /* A refused connection is the one failure that proves that nothing
         was sent.  */
      if (r || c->err.sys != ECONNREFUSED)
        c->maybe_sent = true;
      if (c->err.code == ERR_SYNTAX)
        return NULL;
    }
}

static bool
have_servers (tool_t *t, err_t *e)
{
  if (t->nservers)
    return true;
  return err_set (e, ERR_USAGE, "--server",
                  "no control instance given (or PIMENTOPOST_SERVER)");
}

static void
set_call_error (const call_t *c, err_t *e)
{
  if (c->err.code == ERR_SYNTAX)
    err_set (e, ERR_USAGE, "--server", "%.150s", c->err.detail);
  else
    err_set (e, ERR_UNREACHABLE, "control",
             "no answer from any control instance in %lld ms (last: %.90s)",
             (long long)c->t->timeout,
             c->err.code ? c->err.detail : "no leader");
}

/* The answer of the leader that R names, or R when the leader does not answer
   in time.  */
static query_resp_t *
query_leader (call_t *c, query_resp_t *r)
{
  msgtype_t got = 0;
  err_t e = { 0 };
  msec_t left = c->until - msec_now ();
  query_resp_t *answer;

  if (c->t->local || r->leader.n == 0 || str_eq (r->leader, c->server)
      || left <= 0)
    return r;
  answer
      = rpc_call (c->t->pool, r->leader, c->type, c->msg,
                  left < ATTEMPT_TIMEOUT ? left : ATTEMPT_TIMEOUT, &got, &e);
  return answer && got == c->response ? answer : r;
}

query_resp_t *
call_query (tool_t *t, const query_t *q, msec_t until, err_t *e)
{
  call_t c = { .t = t,
               .type = MSG_QUERY,
               .response = MSG_QUERY_RESP,
               .msg = q,
               .until = until };
  query_resp_t *r;

  if (!have_servers (t, e))
    return NULL;
  r = next_answer (&c);
  if (r)
    return query_leader (&c, r);
  set_call_error (&c, e);
  return NULL;
}

submit_resp_t *
call_submit (tool_t *t, const submit_t *s, msec_t until, bool *maybe_sent,
             err_t *e)
{
  call_t c = { .t = t,
               .type = MSG_SUBMIT,
               .response = MSG_SUBMIT_RESP,
               .msg = s,
               .until = until };
  submit_resp_t *r;

  *maybe_sent = false;
  if (!have_servers (t, e))
    return NULL;
  while ((r = next_answer (&c)) != NULL)
    {
      if (r->status != SUBMIT_NOT_LEADER && r->status != SUBMIT_UNKNOWN)
        return r;
      c.maybe_sent = c.maybe_sent || r->status == SUBMIT_UNKNOWN;
      c.leader = r->leader;
      c.err = (err_t){ 0 };
    }
  *maybe_sent = c.maybe_sent;
  set_call_error (&c, e);
  return NULL;
}
