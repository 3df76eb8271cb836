#include "worker.h"

#include <stdlib.h>
#include <string.h>

static void
refuse (req_t *r, pgrefusal_t why, const char *detail)
{
  r->plan = (plan_t){ .kind = PLAN_REFUSE, .refusal = why, .why = detail };
}

/* ---- parsing ---- */

static bmsg_t *
add_message (req_t *r, char type, size_t off, size_t size)
{
  if (r->nmsg == r->msg_cap)
    {
      r->msg_cap = r->msg_cap ? 2 * r->msg_cap : 8;
      r->msg = realloc (r->msg, (size_t)r->msg_cap * sizeof *r->msg);
      if (r->msg == NULL)
        abort ();
    }
  bmsg_t *b = &r->msg[r->nmsg++];
  *b = (bmsg_t){ .type = type, .off = (uint32_t)off, .size = (uint32_t)size };
  return b;
}

/* The statement that NAME refers to before message END of the batch.  */
static stmt_t *
statement_at (const req_t *r, str_t name, int end)
{
  for (int i = end - 1; i >= 0; i--)
    {
      const bmsg_t *b = &r->msg[i];
      if (b->type == 'P' && str_eq (b->name, name))
        return b->stmt;
      if (b->type == 'C' && b->kind == 'S' && str_eq (b->name, name))
        return NULL;
    }
  return name.n ? stmt_names_find (&r->s->names, name) : r->s->unnamed;
}

static stmt_t *
portal_statement (const req_t *r, str_t portal)
{
  for (int i = r->nmsg - 1; i >= 0; i--)
    if (r->msg[i].type == 'B' && str_eq (r->msg[i].portal, portal))
      return r->msg[i].stmt;
  return NULL;
}

static bool
resolve_statement (req_t *r, bmsg_t *b)
{
  stmt_t *s = statement_at (r, b->name, r->nmsg - 1);

  if (s == NULL)
    {
      refuse (r, PG_NO_STATEMENT, "");
      return false;
    }
  b->stmt = stmt_ref (s);
  return true;
}

static bool
read_parse (req_t *r, bmsg_t *b, str_t body, err_t *e)
{
  pgparse_t p;

  if (!pg_parse (body, &p, e))
    return false;
  b->name = p.name;
  b->stmt = stmt_get (r->w->stmts, p.text, p.ntypes, p.types);
  if (p.name.n && r->s->names.n + r->nmsg > STMT_NAMES_MAX)
    refuse (r, PG_TOO_LARGE, "too many prepared statements");
  return true;
}

static bool
read_message (req_t *r, const pgmsg_t *m, size_t off, err_t *e)
{
  bmsg_t *b = add_message (r, m->type, off, m->size);
  pgbind_t bind;
  pgtarget_t name;
  pgexec_t exec;

  switch (m->type)
    {
    case 'P':
      return read_parse (r, b, m->body, e);
    case 'B':
      if (!pg_bind (m->body, &bind, e))
        return false;
      b->name = bind.name;
      b->portal = bind.portal;
      return resolve_statement (r, b);
    case 'D':
    case 'C':
      if (!pg_target (m->body, &name, e))
        return false;
      b->kind = name.kind;
      if (name.kind == 'P')
        b->portal = name.name;
      else
        b->name = name.name;
      return m->type == 'C' || name.kind == 'P' || resolve_statement (r, b);
    case 'E':
      if (!pg_exec (m->body, &exec, e))
        return false;
      b->portal = exec.portal;
      b->stmt = portal_statement (r, exec.portal);
      if (b->stmt)
        stmt_ref (b->stmt);
      return true;
    default:
      return true;
    }
}

/* ---- planning ---- */

static str_t
first_executed_text (const req_t *r)
{
  for (int i = 0; i < r->nmsg; i++)
    if (r->msg[i].type == 'E' && r->msg[i].stmt)
      return r->msg[i].stmt->text;
  return (str_t){ 0 };
}

static plan_t
execute_plan (req_t *r, const bmsg_t *b, const plan_input_t *in)
{
  sql_t q;

  if (b->stmt == NULL)
    {
      /* A portal of an earlier batch exists only inside a transaction
         block.  */
      if (in->block == BLOCK_NONE || in->block_lost)
        return (plan_t){ .kind = PLAN_REFUSE, .refusal = PG_NO_STATEMENT };
      return (plan_t){ .kind = PLAN_BLOCK };
    }
  sql_classify (r->w->sql, b->stmt->text, &q);
  r->text = b->stmt->text;
  request_save_setting (r, &q);
  return plan_statement (&q, in);
}

static void
plan_batch (req_t *r)
{
  session_t *s = r->s;
  int executes = 0;

  if (!props_request (r, first_executed_text (r)))
    return;
  plan_input_t in = request_plan_input (r);
  for (int i = 0; i < r->nmsg; i++)
    if (r->msg[i].type == 'E')
      {
        plan_t p = execute_plan (r, &r->msg[i], &in);
        in.savepoint = in.savepoint || p.savepoint;
        r->plan = executes++ ? plan_join (r->plan, p) : p;
      }
  s->block_savepoint = in.savepoint;
  if (executes == 0 && s->block_lost)
    refuse (r, PG_ABORTED, "the block's connection was lost");
  else if (executes == 0)
    r->plan.kind = s->block == BLOCK_NONE ? PLAN_READ : PLAN_BLOCK;
  else if (r->flush && s->block == BLOCK_NONE && r->plan.kind != PLAN_REFUSE)
    refuse (r, PG_UNSUPPORTED, "Flush after Execute outside a block");
}

bool
batch_read (req_t *r, str_t unit)
{
  size_t off = 0;
  pgmsg_t m;
  err_t e = { 0 };

  r->plan = (plan_t){ .kind = PLAN_READ };
  while (pg_next (unit, &off, PG_MAX_MESSAGE, &m, &e) == 1)
    {
      bool ok = read_message (r, &m, off - m.size, &e);
      if (!ok && r->plan.kind != PLAN_REFUSE)
        refuse (r, PG_MALFORMED, "");
      if (r->plan.kind == PLAN_REFUSE)
        return false;
    }
  plan_batch (r);
  return r->plan.kind != PLAN_REFUSE;
}

/* ---- sending ---- */

static void
expect_answer (req_t *r, char type, bool internal, bool local, stmt_t *s)
{
  if (r->nop == r->op_cap)
    {
      r->op_cap = r->op_cap ? 2 * r->op_cap : 8;
      r->op = realloc (r->op, (size_t)r->op_cap * sizeof *r->op);
      if (r->op == NULL)
        abort ();
    }
  r->op[r->nop++] = (xop_t){ type, internal, local, s };
}

/* Sends a Parse of S, after a Close of the statement that it evicts, if any.
   INTERNAL: the client did not send this Parse, so its answer is dropped.  */
static void
parse_on_conn (req_t *r, conn_t *c, stmt_t *s, bool named, bool internal)
{
  char evicted[40];

  if (named && prepared_add (&c->prepared, s, evicted))
    {
      pg_put_target (&c->out, 'C', 'S', str_of (evicted));
      expect_answer (r, '3', true, false, NULL);
    }
  if (!named)
    {
      c->unnamed[0] = s->hash[0];
      c->unnamed[1] = s->hash[1];
    }
  pg_put_parse (&c->out, named ? str_of (s->name) : STR (""), s->text,
                s->ntypes, s->types);
  expect_answer (r, '1', internal, false, s);
}

static bool
parsed_on_conn (conn_t *c, const stmt_t *s, bool named)
{
  return named ? prepared_has (&c->prepared, s)
               : c->unnamed[0] == s->hash[0] && c->unnamed[1] == s->hash[1];
}

static void
send_parse (req_t *r, conn_t *c, bmsg_t *b)
{
  if (b->name.n && parsed_on_conn (c, b->stmt, true))
    expect_answer (r, '1', false, true, NULL);
  else
    parse_on_conn (r, c, b->stmt, b->name.n > 0, false);
}

/* The name of B's statement on C, where it is parsed first if necessary.  */
static str_t
ensure_parsed (req_t *r, conn_t *c, bmsg_t *b)
{
  bool named = b->name.n > 0;

  if (!parsed_on_conn (c, b->stmt, named))
    parse_on_conn (r, c, b->stmt, named, true);
  return named ? str_of (b->stmt->name) : STR ("");
}

static void
send_bind (req_t *r, conn_t *c, bmsg_t *b, str_t raw)
{
  pgbind_t bind;
  str_t name = ensure_parsed (r, c, b);

  /* Cannot fail: batch_read has parsed the same bytes.  */
  if (pg_bind ((str_t){ raw.p + 5, raw.n - 5 }, &bind, NULL))
    pg_put_bind (&c->out, bind.portal, name, bind.rest);
  expect_answer (r, '2', false, false, NULL);
}

static void
send_message (req_t *r, conn_t *c, bmsg_t *b, str_t raw)
{
  switch (b->type)
    {
    case 'P':
      send_parse (r, c, b);
      break;
    case 'B':
      send_bind (r, c, b, raw);
      break;
    case 'D':
      if (b->kind == 'S')
        pg_put_target (&c->out, 'D', 'S', ensure_parsed (r, c, b));
      else
        buf_adds (&c->out, raw);
      expect_answer (r, 'T', false, false, NULL);
      break;
    case 'E':
      buf_adds (&c->out, raw);
      expect_answer (r, 'E', false, false, NULL);
      break;
    case 'C':
      if (b->kind == 'P')
        buf_adds (&c->out, raw);
      expect_answer (r, '3', false, b->kind == 'S', NULL);
      break;
    default:
      pg_put_empty (&c->out, 'S');
    }
}

/* Names and portals are views into the session's input, which may have been
   reallocated since batch_read.  */
static void
refresh_views (bmsg_t *b, str_t raw)
{
  str_t body = { raw.p + 5, raw.n - 5 };
  pgcur_t c = pg_cur (body);

  if (b->type == 'P')
    b->name = pg_getstr (&c);
  else if (b->type == 'B')
    {
      b->portal = pg_getstr (&c);
      b->name = pg_getstr (&c);
    }
  else if (b->type == 'D' || b->type == 'C')
    {
      pg_get8 (&c);
      str_t name = pg_getstr (&c);
      if (b->kind == 'S')
        b->name = name;
    }
}

void
batch_send (req_t *r, conn_t *c, str_t unit)
{
  r->nop = 0;
  for (int i = 0; i < r->nmsg; i++)
    {
      bmsg_t *b = &r->msg[i];
      str_t raw = { unit.p + b->off, b->size };
      refresh_views (b, raw);
      send_message (r, c, b, raw);
    }
  xchg_ops (&r->x, r->op, r->nop);
}

/* ---- end of a batch ---- */

/* Statements whose Parse failed or was skipped do not exist on the
   connection.  */
void
batch_failed (req_t *r, conn_t *c)
{
  for (int i = r->x.failed_op; i < r->nop; i++)
    if (r->op[i].type == '1' && r->op[i].tag)
      prepared_drop (&c->prepared, r->op[i].tag);
  c->unnamed[0] = c->unnamed[1] = 0;
}

static void
set_unnamed (session_t *s, stmt_t *st)
{
  if (st)
    stmt_ref (st);
  if (s->unnamed)
    stmt_put (s->w->stmts, s->unnamed);
  s->unnamed = st;
}

void
batch_end (req_t *r)
{
  session_t *s = r->s;
  str_t unit = request_unit (r);

  for (int i = 0; i < r->nmsg; i++)
    {
      bmsg_t *b = &r->msg[i];
      if (b->type != 'P' && (b->type != 'C' || b->kind != 'S'))
        continue;
      refresh_views (b, (str_t){ unit.p + b->off, b->size });
      if (b->name.n == 0)
        set_unnamed (s, b->stmt);
      else
        stmt_names_set (&s->names, s->w->stmts, b->name, b->stmt, NULL);
    }
}

void
batch_free (req_t *r)
{
  for (int i = 0; i < r->nmsg; i++)
    if (r->msg[i].stmt)
      stmt_put (r->w->stmts, r->msg[i].stmt);
  r->nmsg = 0;
}
