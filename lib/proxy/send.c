#include "local.h"

#include <string.h>

/* Prepares a connection for a statement and sends the statement.  */

static void
send_values (proxy_t *p, link_t *k, session_t *s)
{
  op_t op = { .kind = OP_SET };
  bool reset = false;

  for (int i = 0; i < k->values.n && !k->in_tx; i++)
    reset |= values_get (&s->values, k->values.at[i].name) == NULL;
  if (reset)
    {
      link_expect (k, STEP_RESET);
      p->conf.db->reset (link_out (k));
      values_free (&k->values);
      values_free (&k->prepared);
    }
  for (int i = 0; i < s->values.n; i++)
    {
      const value_t *x = &s->values.at[i];
      const char *have = values_get (&k->values, x->name);
      if (have && strcmp (have, x->value) == 0)
        continue;
      op.name = str_of (x->name);
      op.arg = str_of (x->value);
      link_expect (k, STEP_SET);
      p->conf.db->op (link_out (k), &op, (str_t){ 0 }, (pos_t){ 0 });
      values_set (&k->values, op.name, op.arg);
    }
}

static void
send_prepare (proxy_t *p, link_t *k, session_t *s)
{
  const char *name = s->req.prepared;
  op_t op = { .kind = OP_PREPARE,
              .name = str_of (name),
              .arg = str_of (name + 1),
              .writes = name[0] == 'w' };

  if (s->req.op.kind != OP_EXECUTE || values_get (&k->prepared, name))
    return;
  link_expect (k, STEP_PREPARE);
  p->conf.db->op (link_out (k), &op, (str_t){ 0 }, (pos_t){ 0 });
  values_set (&k->prepared, op.name, (str_t){ 0 });
}

/* A plain BEGIN succeeds only at the leader.  A replica may serve a read-only
   transaction once it has reached the required position.  */
void
link_begin (proxy_t *p, link_t *k, session_t *s)
{
  bool read = s->tx_read && !s->req.needs_leader;
  op_t op = { .kind = read ? OP_BEGIN_READ : OP_BEGIN };

  send_values (p, k, s);
  link_expect (k, STEP_BEGIN);
  p->conf.db->op (link_out (k), &op, (str_t){ 0 },
                  read ? s->req.need : (pos_t){ 0 });
  k->begin_sent = k->sent = p->now;
}

void
link_run (proxy_t *p, link_t *k, session_t *s)
{
  request_t *r = &s->req;
  op_t end = { .kind = OP_ROLLBACK };
  bool no_tx = s->tx == TX_NONE;

  send_values (p, k, s);
  send_prepare (p, k, s);
  link_expect (k, STEP_OP);
  p->conf.db->op (link_out (k), &r->op, str_of (r->prepared),
                  no_tx && r->read_only && !r->needs_leader ? r->need
                                                            : (pos_t){ 0 });
  if (no_tx && r->read_only && r->needs_leader)
    {
      link_expect (k, STEP_ROLLBACK);
      p->conf.db->op (link_out (k), &end, (str_t){ 0 }, (pos_t){ 0 });
    }
  k->sent = p->now;
  r->sent = true;
}
