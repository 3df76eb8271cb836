#include "local.h"

#include <stdlib.h>
#include <string.h>

/* The caller of a session and its tenant.  A client is identified by the key
   of its start-up message, a forwarded session by the tenant's name that the
   forwarding instance sends.  A key is a secret: it is compared and kept, and
   written nowhere.  */

enum
{
  LOG_INTERVAL = 1000 /* ms between log lines of refused callers */
};

void
caller_keep_key (session_t *s, str_t key)
{
  free (s->key.p);
  s->key = (str_t){ 0 };
  /* No key is that long; a session doesn't keep a whole message.  */
  if (key.n == 0 || key.n > API_KEY_MAX)
    return;
  s->key = (str_t){ malloc (key.n), key.n };
  if (s->key.p == NULL)
    abort ();
  memcpy (s->key.p, key.p, key.n);
}

static bool
caller_identify (const session_t *s, bool anonymous, tenant_t **t)
{
  const proxy_t *p = s->proxy;

  *t = NULL;
  /* The forwarding instance has checked the key.  */
  if (s->from_peer && s->key.n)
    return (*t = tenant_find (p, s->key)) != NULL;
  if (!p->setup->tenanted || anonymous)
    return true;
  *t = s->from_peer ? NULL : tenant_of_key (p, s->key);
  return *t != NULL;
}

bool
caller_is_current (const session_t *s)
{
  const proxy_t *p = s->proxy;
  tenant_t *t;

  return p->setup == NULL || s->identified == p->setup->version
         || (caller_identify (s, s->route.anonymous, &t) && t == s->tenant);
}

static void
log_refused (session_t *s)
{
  proxy_t *p = s->proxy;

  counter_add (p->unknown_callers, 1);
  p->callers_refused++;
  if (p->caller_logged && p->now - p->caller_logged < LOG_INTERVAL)
    return;
  log_event (EV_CALLER_REFUSED,
             "host=" STR_FMT " tenant=" STR_FMT
             " forwarded=%d version=%lld refused=%d",
             STR_ARG (s->host),
             STR_ARG (s->tenant ? s->tenant->name : STR ("-")), s->from_peer,
             (long long)p->setup->version, p->callers_refused);
  p->caller_logged = p->now;
  p->callers_refused = 0;
}

/* Ends the session of a client.  ASKED: a request awaits its answer.  */
static void
refuse (session_t *s, bool asked)
{
  log_refused (s);
  session_tx_end (s);
  /* The end of the session rolls back, here and at another instance.  */
  s->proxy->conf.client->error (stream_out (s->stream), FAIL_NOAUTH,
                                STR ("unknown key"));
  if (asked)
    session_send_ready (s);
  session_end (s);
}

/* Answers an operation of a forwarded session.  The session stays open: the
   forwarding instance takes its end for a failure and avoids this one, also
   for the sessions of other tenants.  */
static void
refuse_forwarded (session_t *s)
{
  log_refused (s);
  statement_clear (s); /* it may wait for a connection */
  if (s->link)
    link_release (s->proxy, s->link);
  session_tx_end (s);
  session_refuse (s, FAIL_BUSY, STR ("unknown tenant"));
}

/* The caller belongs to another tenant now, whose statements run on other
   connections.  A statement that waits was admitted and queued as one of the
   former tenant; it has not been sent.  */
static void
change_tenant (session_t *s, tenant_t *t)
{
  if (s->req.active && s->tx != TX_NONE)
    statement_abort (s, STR ("the key belongs to another tenant"));
  else if (s->req.active)
    statement_fail (s, FAIL_BUSY, STR ("the key belongs to another tenant"));
  s->tx_lost |= s->tx == TX_OPEN && (s->forward || s->link);
  forward_end (s);
  if (s->link)
    link_release (s->proxy, s->link);
  s->tenant = t;
}

bool
caller_start (session_t *s)
{
  if (caller_identify (s, s->route.anonymous, &s->tenant))
    s->identified = s->proxy->setup->version;
  else if (!s->from_peer)
    {
      refuse (s, false);
      return false;
    }
  return true;
}

/* The state of a forwarded session may come before its tenant is known.  */
static bool
only_keeps_state (const op_t *op)
{
  return op->kind == OP_SET || op->kind == OP_PREPARE
         || op->kind == OP_DEALLOCATE;
}

caller_t
caller_check (session_t *s, const op_t *op)
{
  proxy_t *p = s->proxy;
  const route_entry_t *r;
  tenant_t *t;

  if (p->setup == NULL || s->identified == p->setup->version)
    return CALLER_KNOWN;
  /* A changed route applies from the next transaction on.  */
  r = s->tx == TX_NONE ? route_find (p, s->host) : NULL;
  if (r)
    s->route.anonymous = r->anonymous;
  if (caller_identify (s, s->route.anonymous, &t))
    {
      if (t != s->tenant)
        change_tenant (s, t);
      if (s->tx == TX_NONE)
        s->identified = p->setup->version;
      return CALLER_KNOWN;
    }
  if (!s->from_peer)
    {
      refuse (s, op != NULL);
      return CALLER_CLOSED;
    }
  if (op == NULL || only_keeps_state (op))
    return CALLER_KNOWN;
  refuse_forwarded (s);
  return CALLER_REFUSED;
}
