#include "local.h"

#include <stdio.h>

/* Prepares a connection for a statement and sends the statement.  */

static bool
has_other_settings (const link_t *k, const session_t *s)
{
  for (int i = 0; i < k->values.n; i++)
    if (values_get (&s->values, k->values.at[i].name) == NULL)
      return true;
  return false;
}

static bool
has_many_prepared (const link_t *k)
{
  return k->prepared.n >= LINK_PREPARED_MAX
         || k->prepared.bytes > LINK_PREPARED_BYTES;
}

static bool
needs_reset (const link_t *k, const session_t *s)
{
  if (k->in_tx)
    return false;
  if (!has_many_prepared (k))
    return has_other_settings (k, s);
  log_event (EV_LINK_RESET, "database=%s prepared=%d bytes=%zu", k->db->id,
             k->prepared.n, k->prepared.bytes);
  return true;
}

static void
send_values (proxy_t *p, link_t *k, session_t *s)
{
  op_t op = { .kind = OP_SET };

  if (needs_reset (k, s))
    {
      link_expect (k, STEP_RESET);
      p->conf.db->reset (link_out (k));
      values_free (&k->values);
      values_free (&k->prepared);
    }
  for (int i = 0; i < s->values.n; i++)
    {
      const value_t *x = &s->values.at[i];
      const str_t *have = values_get (&k->values, x->name);
      if (have && str_eq (*have, x->value))
        continue;
      op.name = x->name;
      op.arg = x->value;
      link_expect (k, STEP_SET);
      p->conf.db->op (link_out (k), &op, (str_t){ 0 }, (pos_t){ 0 });
      values_set (&k->values, op.name, op.arg);
    }
}

/* Prepares the statement with KEY, unless K has it, and returns its name on K.
   The name is a counter, since it is a field in the middle of a message, which
   a shape with blanks would split.  */
static str_t
send_prepare (proxy_t *p, link_t *k, str_t key)
{
  const str_t *have = values_get (&k->prepared, key);
  char name[32];
  op_t op = { .kind = OP_PREPARE,
              .arg = { key.p + 1, key.n - 1 },
              .writes = key.p[0] == 'w' };

  if (have)
    return *have;
  snprintf (name, sizeof name, "p%lld", (long long)k->prepared_names++);
  op.name = str_of (name);
  link_expect (k, STEP_PREPARE);
  p->conf.db->op (link_out (k), &op, (str_t){ 0 }, (pos_t){ 0 });
  values_set (&k->prepared, key, op.name);
  return *values_get (&k->prepared, key);
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
  str_t prepared = { 0 };

  send_values (p, k, s);
  if (r->op.kind == OP_EXECUTE)
    prepared = send_prepare (p, k, r->op.name);
  link_expect (k, STEP_OP);
  p->conf.db->op (link_out (k), &r->op, prepared,
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
