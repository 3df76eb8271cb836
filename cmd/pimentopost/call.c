#include "tool.h"

#include <errno.h>

enum
{
  /* One attempt; a leader commits within a few round trips, and a new one is
     elected within 1 s.  */
  ATTEMPT = 1500, /* ms */
  PAUSE = 100     /* ms between rounds over all instances */
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

/* One message to the instances in turn.  LAST is the address of the leader if
   one was named.  */
typedef struct
{
  tool_t *t;
  msgtype_t type;
  msgtype_t want;
  const void *msg;
  msec_t until;
  size_t at;
  str_t leader;
  str_t asked; /* by the last attempt */
  bool sent;   /* an attempt may have arrived without an answer */
  err_t err;   /* of the last attempt */
} call_t;

static str_t
pick (call_t *c)
{
  str_t a = c->leader;

  c->leader = (str_t){ 0 };
  if (a.n)
    return a;
  if (c->at > 0 && c->at % c->t->nservers == 0)
    msec_sleep (PAUSE);
  return c->t->servers[c->at++ % c->t->nservers];
}

/* The next answer of the wanted type, or NULL when the time is up.  */
static void *
attempt (call_t *c)
{
  msgtype_t got = 0;

  for (;;)
    {
      msec_t left = c->until - msec_now ();
      if (left <= 0)
        return NULL;
      str_t a = c->asked = pick (c);
      void *r = rpc_call (c->t->pool, a, c->type, c->msg,
                          left < ATTEMPT ? left : ATTEMPT, &got, &c->err);
      if (r && got == c->want)
        return r;
      if (r)
        err_set (&c->err, ERR_PROTOCOL, "answer", "unexpected %s",
                 rpc_name (got));
      /* A refused connection is the one failure that proves that nothing
         was sent.  */
      if (r || c->err.sys != ECONNREFUSED)
        c->sent = true;
      if (c->err.code == ERR_SYNTAX)
        return NULL;
    }
}

static bool
ready (tool_t *t, err_t *e)
{
  if (t->nservers)
    return true;
  return err_set (e, ERR_USAGE, "--server",
                  "no control instance given (or PIMENTOPOST_SERVER)");
}

static void
unanswered (const call_t *c, err_t *e)
{
  if (c->err.code == ERR_SYNTAX)
    err_set (e, ERR_USAGE, "--server", "%.150s", c->err.detail);
  else
    err_set (e, ERR_UNREACHABLE, "control",
             "no answer from any control instance in %lld ms (last: %.90s)",
             (long long)c->t->timeout,
             c->err.code ? c->err.detail : "no leader");
}

/* The same query to the leader that the answer R names, or R when the leader
   does not answer in time.  */
static query_resp_t *
ask_leader (call_t *c, query_resp_t *r)
{
  msgtype_t got = 0;
  err_t e = { 0 };
  msec_t left = c->until - msec_now ();
  query_resp_t *better;

  if (c->t->local || r->leader.n == 0 || str_eq (r->leader, c->asked)
      || left <= 0)
    return r;
  better = rpc_call (c->t->pool, r->leader, c->type, c->msg,
                     left < ATTEMPT ? left : ATTEMPT, &got, &e);
  return better && got == c->want ? better : r;
}

query_resp_t *
call_query (tool_t *t, const query_t *q, msec_t until, err_t *e)
{
  call_t c = {
    .t = t, .type = MSG_QUERY, .want = MSG_QUERY_RESP, .msg = q, .until = until
  };
  query_resp_t *r;

  if (!ready (t, e))
    return NULL;
  r = attempt (&c);
  if (r)
    return ask_leader (&c, r);
  unanswered (&c, e);
  return NULL;
}

submit_resp_t *
call_submit (tool_t *t, const submit_t *s, msec_t until, bool *sent, err_t *e)
{
  call_t c = { .t = t,
               .type = MSG_SUBMIT,
               .want = MSG_SUBMIT_RESP,
               .msg = s,
               .until = until };
  submit_resp_t *r;

  *sent = false;
  if (!ready (t, e))
    return NULL;
  while ((r = attempt (&c)) != NULL)
    {
      if (r->status != SUBMIT_NOT_LEADER && r->status != SUBMIT_UNKNOWN)
        return r;
      c.sent = c.sent || r->status == SUBMIT_UNKNOWN;
      c.leader = r->leader;
      c.err = (err_t){ 0 };
    }
  *sent = c.sent;
  unanswered (&c, e);
  return NULL;
}
