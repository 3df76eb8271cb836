#include "entry.h"

static plan_t
refuse (pgrefusal_t r, const char *why)
{
  return (plan_t){ .kind = PLAN_REFUSE, .refusal = r, .why = why };
}

static plan_t
run (plan_kind_t kind, bool stateful)
{
  return (plan_t){ .kind = kind, .stateful = stateful };
}

static plan_t
local (local_t what)
{
  return (plan_t){ .kind = PLAN_LOCAL, .local = what };
}

static bool
is_proxy_setting (const sql_t *q)
{
  return str_starts (q->name, STR ("pimentopost."));
}

/* Statements that the proxy always refuses.  */
static bool
unsupported (const sql_t *q, plan_t *p)
{
  switch (q->cls)
    {
    case SQL_COPY:
      *p = refuse (PG_UNSUPPORTED, "COPY");
      return true;
    case SQL_SESSION:
      *p = refuse (PG_UNSUPPORTED, "the statement needs a session of its own");
      return true;
    case SQL_TWO_PHASE:
      *p = refuse (PG_UNSUPPORTED, "two-phase commit");
      return true;
    case SQL_PREPARE:
      *p = refuse (PG_UNSUPPORTED, "PREPARE, EXECUTE and DEALLOCATE as SQL; "
                                   "use the extended query protocol");
      return true;
    case SQL_MULTI:
      if (!q->multi_refused)
        return false;
      *p = refuse (PG_UNSUPPORTED,
                   "COPY, SET or session-level features among several "
                   "statements");
      return true;
    default:
      return false;
    }
}

static bool
answered_locally (const sql_t *q, plan_t *p)
{
  if (q->cls == SQL_EMPTY)
    *p = local (LOCAL_EMPTY);
  else if (q->cls == SQL_SHOW && is_proxy_setting (q))
    *p = local (LOCAL_SHOW);
  else if (q->cls == SQL_SET && is_proxy_setting (q))
    *p = local (LOCAL_SET);
  else
    return false;
  return true;
}

static plan_t
plan_lost_block (const sql_t *q)
{
  if (q->cls == SQL_COMMIT || q->cls == SQL_ROLLBACK)
    return local (LOCAL_ROLLBACK);
  return refuse (PG_ABORTED, "the block's connection was lost");
}

static plan_t
plan_in_block (const sql_t *q, const plan_input_t *in)
{
  bool stateful = q->cls == SQL_SET || q->cls == SQL_RESET;

  if (in->block_lost)
    return plan_lost_block (q);
  if (in->keyed && q->cls == SQL_WRITE)
    return refuse (PG_BAD_SETTING, "a key needs a write outside a block");
  if (q->cls == SQL_RESET && (q->name.n == 0 || str_eq (q->name, STR ("all"))))
    return refuse (PG_UNSUPPORTED, "RESET ALL and DISCARD in a block");
  /* ROLLBACK TO would undo the setting, and the proxy does not track settings
     per savepoint.  */
  if (stateful && in->savepoint)
    return refuse (PG_UNSUPPORTED, "SET and RESET after SAVEPOINT");
  bool ends = q->cls == SQL_COMMIT || (q->cls == SQL_MULTI && q->multi_block);
  plan_t p = run (ends && !in->read_only ? PLAN_COMMIT : PLAN_BLOCK, stateful);
  p.savepoint
      = q->cls == SQL_SAVEPOINT || (q->cls == SQL_MULTI && q->multi_block);
  return p;
}

static plan_t
write_plan (const plan_input_t *in, bool stateful)
{
  return run (in->keyed ? PLAN_KEYED : PLAN_WRITE, stateful);
}

static plan_t
multi_plan (const sql_t *q, const plan_input_t *in)
{
  if (q->multi_block && in->keyed)
    return refuse (PG_BAD_SETTING, "a key needs a write outside a block");
  if (q->multi_block)
    return run (PLAN_WRITE, true);
  return q->multi_write ? write_plan (in, true) : run (PLAN_READ, true);
}

plan_t
plan_statement (const sql_t *q, const plan_input_t *in)
{
  plan_t p;

  if (unsupported (q, &p) || answered_locally (q, &p))
    return p;
  if (in->block != BLOCK_NONE)
    return plan_in_block (q, in);
  switch (q->cls)
    {
    case SQL_WRITE:
    case SQL_INVALID:
      return write_plan (in, false);
    case SQL_BEGIN:
      return run (PLAN_BEGIN, false);
    case SQL_BEGIN_READ_ONLY:
      return run (PLAN_BEGIN_READ, false);
    case SQL_SET:
      return run (PLAN_SET, true);
    case SQL_RESET:
      return local (LOCAL_RESET);
    case SQL_MULTI:
      return multi_plan (q, in);
    default:
      return run (PLAN_READ, false);
    }
}

static bool
writes (plan_kind_t k)
{
  return k == PLAN_WRITE || k == PLAN_KEYED;
}

static plan_t
join_kinds (plan_t a, plan_t b)
{
  bool stateful = a.stateful || b.stateful;

  if (a.kind == PLAN_KEYED || b.kind == PLAN_KEYED)
    {
      plan_kind_t o = a.kind == PLAN_KEYED ? b.kind : a.kind;
      if (!writes (o) && o != PLAN_READ)
        return refuse (PG_BAD_SETTING, "a key needs a write outside a block");
      return run (PLAN_KEYED, stateful);
    }
  if (a.kind == PLAN_COMMIT || b.kind == PLAN_COMMIT)
    return run (PLAN_COMMIT, stateful);
  if (a.kind == PLAN_BLOCK || b.kind == PLAN_BLOCK)
    return run (PLAN_BLOCK, stateful);
  /* A block that begins inside a batch may also commit in it, so the batch is
     confirmed like a write.  */
  if (writes (a.kind) || writes (b.kind) || a.kind == PLAN_BEGIN
      || b.kind == PLAN_BEGIN || a.kind == PLAN_BEGIN_READ
      || b.kind == PLAN_BEGIN_READ)
    return run (PLAN_WRITE, stateful);
  if (a.kind == PLAN_SET || b.kind == PLAN_SET)
    return run (PLAN_SET, stateful);
  return run (PLAN_READ, stateful);
}

plan_t
plan_join (plan_t a, plan_t b)
{
  if (a.kind == PLAN_REFUSE || b.kind == PLAN_REFUSE)
    return a.kind == PLAN_REFUSE ? a : b;
  if (a.kind == PLAN_LOCAL && a.local == LOCAL_EMPTY)
    return b;
  if (b.kind == PLAN_LOCAL && b.local == LOCAL_EMPTY)
    return a;
  if (a.kind == PLAN_LOCAL || b.kind == PLAN_LOCAL)
    return refuse (PG_UNSUPPORTED,
                   "a statement for the proxy among others in one batch");
  return join_kinds (a, b);
}
