#include "local.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* Admission of operations within the quota of their tenant: tokens from the
   tenant's accountant, and the operations that wait for its answer.
   docs/design/quotas.md describes the protocol.  */

enum
{
  ASK_TIMEOUT = 300, /* ms without an answer: the next accountant is asked.  A
                        lost segment is sent again after 200 ms, and a process
                        with a part of a core stands still for up to 90.  */
  ACCOUNTANT_BACKOFF = 1000, /* ms that a lost accountant isn't asked */
  PEER_ACK_TIMEOUT = 500,
  ANSWER_MAX = 4096,         /* bytes */
  NO_ACCOUNTANT_RETRY = 200, /* ms, told to clients */
  LOG_INTERVAL = 1000        /* ms between log lines of one tenant */
};

static void settle (proxy_t *p, quota_use_t *u);
static void ask (proxy_t *p, quota_use_t *u);

bool
gate_new (proxy_t *p, err_t *e)
{
  gate_t *g = apr_pcalloc (p->pool, sizeof *g);

  p->gate = g;
  g->table = quota_table_new ();
  g->held_end = &g->held;
  g->held_due = -1;
  apr_pool_create (&g->scratch, p->pool);
  return accountant_new (p, e);
}

static quota_use_t *
use_of (proxy_t *p, tenant_t *t)
{
  if (t->use == NULL)
    {
      t->use = apr_pcalloc (p->pool, sizeof *t->use);
      t->use->tenant = t;
      t->use->waiting_end = &t->use->waiting;
      t->use->rank_version = -1;
    }
  return t->use;
}

/* ---- statements ---- */

static void
log_refusals (proxy_t *p, quota_use_t *u, msec_t wait)
{
  const tenant_t *t = u->tenant;
  bool known = u->nrank && u->rank_version == p->gate->version;

  if (u->logged_at && p->now - u->logged_at < LOG_INTERVAL)
    return;
  log_event (EV_QUOTA_REFUSED,
             "tenant=" STR_FMT " rate=%lld burst=%lld version=%lld "
             "refused=%lld admitted=%lld retry_ms=%lld accountant=%s",
             STR_ARG (t->name), (long long)t->rate, (long long)t->burst,
             (long long)t->setup_version, (long long)(u->refused - u->logged),
             (long long)u->admitted, (long long)wait,
             known ? p->gate->endpoint[u->rank[0]].address : "-");
  u->logged_at = p->now;
  u->logged = u->refused;
}

static void
refuse (session_t *s, const char *why, msec_t wait)
{
  proxy_t *p = s->proxy;
  quota_use_t *u = s->req.use;
  char text[128];

  snprintf (text, sizeof text, "%s; come back in %lld ms", why,
            (long long)wait);
  u->refused++;
  log_refusals (p, u, wait);
  s->req.over_quota = true;
  if (s->tx != TX_NONE)
    statement_abort (s, str_of (text));
  else
    statement_fail (s, FAIL_BUSY, str_of (text));
}

static void
refuse_over (session_t *s)
{
  proxy_t *p = s->proxy;
  const quota_use_t *u = s->req.use;

  refuse (s, "quota exceeded", u->hold.retry_at - p->now);
}

static void
admit (session_t *s)
{
  s->req.counted = true;
  s->req.use->admitted++;
}

static void
wait_for_token (session_t *s)
{
  quota_use_t *u = s->req.use;

  s->req.gated = true;
  s->next_gated = NULL;
  *u->waiting_end = s;
  u->waiting_end = &s->next_gated;
  u->nwaiting++;
}

static void
stop_waiting (session_t *s)
{
  quota_use_t *u = s->req.use;
  session_t **at = &u->waiting;

  while (*at != s)
    at = &(*at)->next_gated;
  *at = s->next_gated;
  if (*at == NULL)
    u->waiting_end = at;
  u->nwaiting--;
  s->req.gated = false;
}

bool
gate_admits (session_t *s)
{
  proxy_t *p = s->proxy;
  tenant_t *t = s->tenant;
  quota_use_t *u;

  if (t == NULL || t->rate <= 0)
    return true;
  s->req.use = u = use_of (p, t);
  switch (quota_hold_take (&u->hold, p->now, &s->req.token_until))
    {
    case QUOTA_GO:
      admit (s);
      return true;
    case QUOTA_REFUSE:
      refuse_over (s);
      return false;
    case QUOTA_WAIT:
      wait_for_token (s);
      return false;
    case QUOTA_ASK:
      wait_for_token (s);
      u->tried = 0;
      ask (p, u);
      return false;
    }
  return false;
}

static void
hold (proxy_t *p, quota_use_t *u)
{
  gate_t *g = p->gate;
  msec_t due = quota_hold_due (&u->hold);

  if (due < 0)
    return;
  if (g->held_due < 0 || due < g->held_due)
    g->held_due = due;
  wake_at (p, due);
  if (u->held)
    return;
  u->held = true;
  u->next_held = NULL;
  *g->held_end = u;
  g->held_end = &u->next_held;
}

void
gate_end (session_t *s)
{
  request_t *r = &s->req;

  if (!r->active)
    return;
  if (r->gated)
    stop_waiting (s);
  if (r->counted && r->attempts == 0)
    {
      quota_hold_back (&r->use->hold, r->token_until, s->proxy->now);
      hold (s->proxy, r->use);
    }
  r->counted = false;
}

/* ---- accountants ---- */

/* The accountant of U to be asked next; NULL when there is none.  */
static endpoint_entry_t *
pick (proxy_t *p, quota_use_t *u)
{
  if (u->rank_version != p->gate->version)
    {
      u->nrank = accountant_rank (p, u->tenant->name, u->rank);
      u->rank_version = p->gate->version;
    }
  for (int i = 0; i < u->nrank; i++)
    {
      endpoint_entry_t *x = &p->gate->endpoint[u->rank[i]];
      bool self = str_eq (str_of (x->address), p->conf.peers);
      if (x->avoid_until <= p->now && !(self && p->stop_at >= 0))
        return x;
    }
  return NULL;
}

static void
refuse_all (quota_use_t *u)
{
  while (u->waiting)
    {
      session_t *s = u->waiting;
      stop_waiting (s);
      refuse (s, "no instance counts for the quota", NO_ACCOUNTANT_RETRY);
    }
}

/* The asks that were sent to K go to the next accountants.  */
static void
peer_lost (quota_peer_t *k, const char *cause)
{
  proxy_t *p = k->proxy;
  quota_peer_t **at = &p->gate->peers;
  quota_use_t *asked = k->asked;

  log_event (EV_ACCOUNTANT_LOST, "instance=%s cause=%s", k->address, cause);
  for (size_t i = 0; i < p->gate->nendpoint; i++)
    if (strcmp (p->gate->endpoint[i].address, k->address) == 0)
      p->gate->endpoint[i].avoid_until = p->now + ACCOUNTANT_BACKOFF;
  while (*at != k)
    at = &(*at)->next;
  *at = k->next;
  free (k);
  while (asked)
    {
      quota_use_t *u = asked;
      asked = u->next_asked;
      quota_hold_lost (&u->hold);
      u->tried++;
      settle (p, u);
    }
}

static bool
on_grant (quota_peer_t *k, const quota_grant_t *m)
{
  proxy_t *p = k->proxy;
  quota_use_t *u = k->asked;

  if (u == NULL || m->tokens < 0 || m->tokens > INT32_MAX || m->retry < 0)
    return false;
  k->asked = u->next_asked;
  if (k->asked == NULL)
    k->asked_end = &k->asked;
  quota_answer_t a = { (int)m->tokens, m->retry };
  quota_hold_answer (&u->hold, &a, p->now);
  settle (p, u);
  return true;
}

static void
peer_input (void *arg)
{
  quota_peer_t *k = arg;
  proxy_t *p = k->proxy;
  buf_t *in = stream_in (k->stream);
  const char *cause = "protocol-violation";
  err_t e = { 0 };
  msgtype_t type;
  str_t body;
  int got;

  p->now = loop_now (p->loop);
  while ((got = rpc_frame (in, &body, &e)) > 0 && body.n <= ANSWER_MAX)
    {
      const quota_grant_t *m = rpc_decode (p->gate->scratch, body, &type, &e);
      bool ok = m && type == MSG_QUOTA_GRANT;
      if (ok && m->stopping)
        {
          cause = "stopping";
          break;
        }
      if (!ok || !on_grant (k, m))
        break;
      buf_take (in, body.n + 4);
      apr_pool_clear (p->gate->scratch);
    }
  if (got == 0 && buf_len (in) <= ANSWER_MAX)
    return;
  apr_pool_clear (p->gate->scratch);
  stream_close (k->stream);
  peer_lost (k, cause);
}

static void
peer_closed (void *arg, err_t *e)
{
  quota_peer_t *k = arg;

  k->proxy->now = loop_now (k->proxy->loop);
  peer_lost (k, err_name (e->code));
}

static const stream_ops_t peer_ops = { NULL, peer_input, peer_closed };

/* The address at which the instance of endpoint X answers holders: its port
   is the next one.  */
static bool
quota_address (const endpoint_entry_t *x, char *out, size_t size)
{
  const char *colon = strrchr (x->address, ':');
  int64_t port;

  if (colon == NULL || !str_int (str_of (colon + 1), &port))
    return false;
  snprintf (out, size, "%.*s:%lld", (int)(colon - x->address), x->address,
            (long long)port + 1);
  return true;
}

static quota_peer_t *
peer_to (proxy_t *p, const endpoint_entry_t *x)
{
  gate_t *g = p->gate;
  char address[NAME_SIZE + 8];
  err_t e = { 0 };
  quota_peer_t *k;

  for (k = g->peers; k; k = k->next)
    if (strcmp (k->address, x->address) == 0)
      return k;
  if (!quota_address (x, address, sizeof address))
    return NULL;
  k = calloc (1, sizeof *k);
  if (k == NULL)
    abort ();
  k->proxy = p;
  k->asked_end = &k->asked;
  memcpy (k->address, x->address, sizeof k->address);
  k->stream = stream_dial (p->loop, str_of (address), PEER_ACK_TIMEOUT,
                           &peer_ops, k, &e);
  if (k->stream == NULL)
    {
      free (k);
      return NULL;
    }
  k->id = ++g->last_id;
  k->next = g->peers;
  g->peers = k;
  return k;
}

static quota_ask_t
new_ask (proxy_t *p, const quota_use_t *u)
{
  const tenant_t *t = u->tenant;

  return (quota_ask_t){ .seq = ++p->gate->seq,
                        .tenant = t->name,
                        .version = t->setup_version,
                        .rate = t->rate,
                        .burst = t->burst };
}

static void
send_ask (quota_peer_t *k, const quota_ask_t *m)
{
  rpc_encode (stream_out (k->stream), MSG_QUOTA_ASK, m);
  stream_flush (k->stream);
}

/* Asks the first accountant that isn't avoided for those that wait.  */
static void
ask (proxy_t *p, quota_use_t *u)
{
  quota_ask_t m = new_ask (p, u);
  int more, returned;

  for (;;)
    {
      endpoint_entry_t *x = pick (p, u);
      bool here = p->gate->nendpoint == 0
                  || (x && str_eq (str_of (x->address), p->conf.peers));
      quota_peer_t *k = x && !here ? peer_to (p, x) : NULL;
      if (u->tried >= QUOTA_RANKS || (!here && x == NULL))
        {
          refuse_all (u);
          return;
        }
      if (!here && k == NULL)
        {
          x->avoid_until = p->now + ACCOUNTANT_BACKOFF;
          u->tried++;
          continue;
        }
      int64_t id = here ? 0 : k->id;
      quota_hold_ask (&u->hold, p->now, &more, &returned);
      m.need = u->nwaiting;
      m.more = more;
      m.returned = id == u->peer ? returned : 0;
      u->peer = id;
      if (here)
        {
          quota_answer_t a = accountant_ask (p, &m);
          quota_hold_answer (&u->hold, &a, p->now);
          settle (p, u);
          return;
        }
      send_ask (k, &m);
      u->next_asked = NULL;
      *k->asked_end = u;
      k->asked_end = &u->next_asked;
      wake_at (p, p->now + ASK_TIMEOUT);
      return;
    }
}

/* Admits or refuses those that wait, after an answer or the loss of an
   accountant.  */
static void
settle (proxy_t *p, quota_use_t *u)
{
  while (u->waiting && !u->hold.asked)
    {
      session_t *s = u->waiting;
      quota_take_t at
          = quota_hold_take (&u->hold, p->now, &s->req.token_until);
      if (at == QUOTA_ASK)
        {
          ask (p, u);
          return;
        }
      stop_waiting (s);
      if (at == QUOTA_GO)
        {
          admit (s);
          statement_place (s);
        }
      else
        refuse_over (s);
    }
  hold (p, u);
}

/* ---- turns ---- */

static quota_peer_t *
peer_find (const gate_t *g, int64_t id)
{
  for (quota_peer_t *k = g->peers; k; k = k->next)
    if (k->id == id)
      return k;
  return NULL;
}

static void
give_back (proxy_t *p, quota_use_t *u, int n)
{
  quota_ask_t m = new_ask (p, u);
  quota_peer_t *k = peer_find (p->gate, u->peer);

  m.returned = n;
  if (u->peer == 0)
    accountant_ask (p, &m);
  else if (k)
    send_ask (k, &m);
}

static void
return_held (proxy_t *p, msec_t now)
{
  gate_t *g = p->gate;
  quota_use_t *all = g->held;

  g->held = NULL;
  g->held_end = &g->held;
  g->held_due = -1;
  while (all)
    {
      quota_use_t *u = all;
      all = u->next_held;
      u->held = false;
      int n = quota_hold_leftover (&u->hold, now);
      if (n)
        give_back (p, u, n);
      hold (p, u);
    }
}

void
gate_turn (proxy_t *p, msec_t now)
{
  quota_peer_t *next;

  quota_table_turn (p->gate->table, now);
  accountants_update (p);
  usage_turn (p, now);
  for (quota_peer_t *k = p->gate->peers; k; k = next)
    {
      next = k->next;
      if (k->asked == NULL)
        continue;
      if (now - k->asked->hold.asked_at < ASK_TIMEOUT)
        {
          wake_at (p, k->asked->hold.asked_at + ASK_TIMEOUT);
          continue;
        }
      stream_close (k->stream);
      peer_lost (k, "timeout");
    }
  if (p->gate->held_due >= 0 && now >= p->gate->held_due)
    return_held (p, now);
  else if (p->gate->held_due >= 0)
    wake_at (p, p->gate->held_due);
}
