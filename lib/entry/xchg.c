#include "entry.h"

#include <string.h>

void
xchg_init (xchg_t *x, xplan_t plan)
{
  *x = (xchg_t){ .plan = plan, .phase = plan.setup ? 0 : 1 };
  /* A check that fails, or whose row can't be read, proves nothing.  */
  x->covered = !plan.check;
}

void
xchg_ops (xchg_t *x, const xop_t *ops, int n)
{
  x->ops = ops;
  x->nops = n;
}

static void
add_segment (xchg_t *x, seg_t s)
{
  x->seg[x->nseg++] = (uint8_t)s;
}

static void
statement_phase (xchg_t *x)
{
  if (x->plan.kind == PLAN_KEYED)
    {
      add_segment (x, SEG_BEGIN);
      add_segment (x, SEG_KEY);
    }
  if (x->plan.check)
    add_segment (x, SEG_CHECK);
  add_segment (x, SEG_STMT);
  if (x->plan.kind == PLAN_WRITE || x->plan.kind == PLAN_COMMIT)
    add_segment (x, SEG_CONFIRM);
}

static void
keyed_end_phase (xchg_t *x)
{
  if (x->key_taken)
    {
      add_segment (x, SEG_ROLLBACK);
      add_segment (x, SEG_OUTCOME);
      add_segment (x, SEG_CONFIRM);
    }
  else if (x->failed)
    add_segment (x, SEG_ROLLBACK);
  else
    {
      add_segment (x, SEG_RECORD);
      add_segment (x, SEG_COMMIT);
      add_segment (x, SEG_CONFIRM);
    }
}

void
xchg_phase (xchg_t *x)
{
  x->nseg = x->at = 0;
  if (x->phase == 0)
    add_segment (x, SEG_SETUP);
  else if (x->phase == 1)
    statement_phase (x);
  else
    keyed_end_phase (x);
}

void
xchg_sent (xchg_t *x)
{
  if (x->phase >= 1)
    x->sent = true;
}

/* ---- the answer to the client's statement ---- */

/* The success of X is reported only after a confirmation.  */
static bool
confirms (const xchg_t *x)
{
  return x->plan.kind == PLAN_WRITE || x->plan.kind == PLAN_COMMIT
         || x->plan.kind == PLAN_KEYED;
}

/* For messages that do not start the answer to the client: they are held until
   a row, a CommandComplete or an error is forwarded.  */
static xaction_t
hold_or_forward (xchg_t *x, size_t n)
{
  if (!x->covered || x->key_taken)
    return X_DROP;
  if (x->plan.kind == PLAN_BLOCK || (x->forwarded && !confirms (x)))
    return X_FORWARD;
  x->held_bytes += n;
  return X_HOLD;
}

static xaction_t
forward (xchg_t *x)
{
  if (!x->covered)
    return X_DROP;
  x->forwarded = true;
  x->held_bytes = 0;
  return X_FORWARD;
}

static xaction_t
row (xchg_t *x, size_t n)
{
  if (!confirms (x))
    return forward (x);
  /* Rows of a large RETURNING are forwarded before the confirmation; the
     CommandComplete after them is not.  */
  if (x->plan.kind != PLAN_KEYED && !x->complete
      && x->held_bytes > XCHG_HOLD_MAX)
    return forward (x);
  return hold_or_forward (x, n);
}

static xaction_t
complete (xchg_t *x, const pgmsg_t *m)
{
  x->complete = true;
  if (x->plan.kind == PLAN_COMMIT && m->type == 'C'
      && str_starts (m->body, STR ("ROLLBACK")))
    x->rolled_back = true;
  return confirms (x) ? hold_or_forward (x, m->size) : forward (x);
}

static bool
record_error (xchg_t *x, const pgmsg_t *m)
{
  pgerr_t f;

  if (!pg_error (m->body, &f, NULL) || f.code.n != 5)
    return false;
  memcpy (x->sqlstate, f.code.p, 5);
  x->failed = true;
  x->not_run = pg_not_run_code (f.code);
  return true;
}

static xaction_t
statement_error (xchg_t *x, const pgmsg_t *m, xverdict_t *v)
{
  if (x->plan.kind == PLAN_KEYED && (x->failed || x->key_taken))
    return X_DROP;
  if (!record_error (x, m))
    {
      *v = XV_PROTOCOL;
      return X_DROP;
    }
  x->failed_op = x->op;
  x->op = x->nops;
  if (confirms (x) || (x->not_run && !x->forwarded))
    return hold_or_forward (x, m->size);
  return forward (x);
}

/* Consumes the next expected answer of a batch; false if TYPE is not its
   type.  */
static bool
expect_answer (xchg_t *x, char type, bool *internal)
{
  *internal = false;
  if (!x->plan.extended)
    return true;
  if (x->op >= x->nops || x->ops[x->op].type != type)
    return false;
  *internal = x->ops[x->op++].internal;
  return true;
}

static xaction_t
answer_message (xchg_t *x, const pgmsg_t *m, xverdict_t *v)
{
  bool internal = false;
  bool expected = true;
  xaction_t act;

  switch (m->type)
    {
    case '1':
    case '2':
    case '3':
      expected = x->plan.extended && expect_answer (x, m->type, &internal);
      act = internal || !expected ? X_DROP : hold_or_forward (x, m->size);
      break;
    case 'T':
    case 'n':
      expected = expect_answer (x, 'T', &internal);
      act = expected ? hold_or_forward (x, m->size) : X_DROP;
      break;
    case 't':
    case 'N':
    case 'S':
      act = hold_or_forward (x, m->size);
      break;
    case 'A':
      act = X_DROP;
      break;
    case 'D':
      act = row (x, m->size);
      break;
    case 'C':
    case 'I':
    case 's':
      expected = expect_answer (x, 'E', &internal);
      act = expected ? complete (x, m) : X_DROP;
      break;
    case 'E':
      act = statement_error (x, m, v);
      break;
    default: /* COPY messages and unknown types */
      act = X_DROP;
      expected = false;
    }
  if (!expected)
    *v = XV_PROTOCOL;
  return act;
}

static void
start_statement (xchg_t *x, const xcallbacks_t *cb)
{
  if (x->answer_started)
    return;
  x->answer_started = true;
  /* The answer was computed before it arrived.  If the lease still holds,
     no other primary has acknowledged a write yet.  */
  if (x->plan.lease && !confirms (x) && !cb->lease (cb->arg))
    x->covered = false;
}

char
xchg_local_answer (xchg_t *x, const xcallbacks_t *cb, xaction_t *act)
{
  if (!x->plan.extended || x->at >= x->nseg || x->seg[x->at] != SEG_STMT
      || x->failed || x->key_taken || x->op >= x->nops || !x->ops[x->op].local)
    return 0;
  start_statement (x, cb);
  *act = hold_or_forward (x, 5);
  return x->ops[x->op++].type;
}

/* ---- answers to the proxy's own statements ---- */

static void
internal_row (xchg_t *x, seg_t seg, const pgmsg_t *m, const xcallbacks_t *cb)
{
  str_t col[4] = { 0 };
  int n = pg_row (m->body, col, 4);

  if (n < 1)
    return;
  if (seg == SEG_OUTCOME)
    x->outcome_found = col[0].n > 0;
  else if ((seg == SEG_CHECK || seg == SEG_CONFIRM) && n == 4)
    {
      bool yes = str_eq (col[2], STR ("t"));
      if (!str_int (col[0], &x->token.term)
          || !str_int (col[1], &x->token.pos))
        return;
      if (seg == SEG_CHECK)
        x->covered = yes;
      else
        x->confirmed = yes && x->token.term == x->plan.term;
    }
  if (cb->row)
    cb->row (cb->arg, seg, col, n);
}

static xaction_t
internal_error (xchg_t *x, seg_t seg, const pgmsg_t *m, xverdict_t *v)
{
  bool first = !x->failed;

  if (seg == SEG_RECORD || seg == SEG_COMMIT)
    x->rolled_back = true;
  if (seg != SEG_SETUP && seg != SEG_BEGIN && seg != SEG_KEY)
    return X_DROP;
  if (!first)
    return X_DROP;
  if (!record_error (x, m))
    {
      *v = XV_PROTOCOL;
      return X_DROP;
    }
  if (seg == SEG_KEY && strcmp (x->sqlstate, "23505") == 0)
    {
      x->failed = false;
      x->key_taken = true;
      return X_DROP;
    }
  if (seg == SEG_SETUP)
    x->not_run = true;
  return X_HOLD;
}

static xaction_t
internal_message (xchg_t *x, seg_t seg, const pgmsg_t *m,
                  const xcallbacks_t *cb, xverdict_t *v)
{
  switch (m->type)
    {
    case 'D':
      internal_row (x, seg, m, cb);
      break;
    case 'C':
      if (seg == SEG_COMMIT && str_starts (m->body, STR ("ROLLBACK")))
        x->rolled_back = true;
      break;
    case 'E':
      return internal_error (x, seg, m, v);
    case 'T':
    case 'S':
    case 'N':
    case 'A':
    case 'I':
      break;
    default:
      *v = XV_PROTOCOL;
    }
  return X_DROP;
}

/* ---- ends of segments and phases ---- */

static xverdict_t
commit_verdict (const xchg_t *x, const xcallbacks_t *cb, xverdict_t good)
{
  return x->confirmed && cb->lease (cb->arg) ? good : XV_UNKNOWN;
}

static xverdict_t
keyed_verdict (xchg_t *x, const xcallbacks_t *cb)
{
  if (x->phase == 1)
    {
      x->phase = 2;
      return XV_NEXT_PHASE;
    }
  if (x->key_taken)
    return x->outcome_found ? commit_verdict (x, cb, XV_REPLAY) : XV_UNKNOWN;
  if (x->failed)
    return x->not_run ? XV_NOT_RUN : XV_DONE;
  return x->rolled_back ? XV_UNKNOWN : commit_verdict (x, cb, XV_DONE);
}

static xverdict_t
phase_verdict (xchg_t *x, const xcallbacks_t *cb)
{
  if (x->phase == 0)
    {
      if (x->failed)
        return XV_NOT_RUN;
      x->phase = 1;
      return XV_NEXT_PHASE;
    }
  if (!x->covered)
    return XV_UNPROVEN;
  if (x->plan.kind == PLAN_KEYED)
    return keyed_verdict (x, cb);
  if (x->not_run && !x->forwarded && !x->complete && x->plan.kind != PLAN_BLOCK
      && x->plan.kind != PLAN_COMMIT)
    return XV_NOT_RUN;
  if (!confirms (x) || x->rolled_back || (x->failed && !x->complete))
    return XV_DONE;
  return commit_verdict (x, cb, XV_DONE);
}

static xverdict_t
segment_end (xchg_t *x, const pgmsg_t *m, const xcallbacks_t *cb)
{
  seg_t seg = (seg_t)x->seg[x->at];

  if (m->body.n != 1 || !memchr ("ITE", m->body.p[0], 3))
    return XV_PROTOCOL;
  x->ready = m->body.p[0];
  if (seg == SEG_STMT)
    {
      start_statement (x, cb);
      x->stmt_ready = x->ready;
      if (x->plan.extended && !x->failed && !x->key_taken && x->op != x->nops)
        return XV_PROTOCOL;
    }
  if (++x->at < x->nseg)
    return XV_MORE;
  return phase_verdict (x, cb);
}

xaction_t
xchg_message (xchg_t *x, const pgmsg_t *m, const xcallbacks_t *cb,
              xverdict_t *v)
{
  *v = XV_MORE;
  if (x->at >= x->nseg)
    {
      *v = XV_PROTOCOL;
      return X_DROP;
    }
  seg_t seg = (seg_t)x->seg[x->at];
  if (m->type == 'Z')
    {
      *v = segment_end (x, m, cb);
      return X_DROP;
    }
  if (seg != SEG_STMT)
    return internal_message (x, seg, m, cb, v);
  start_statement (x, cb);
  return answer_message (x, m, v);
}

xlost_t
xchg_lost (const xchg_t *x)
{
  if (!x->sent)
    return XL_NOT_RUN;
  switch (x->plan.kind)
    {
    case PLAN_KEYED:
      if (x->phase == 1)
        return XL_NOT_RUN;
      if (x->key_taken)
        return XL_READ;
      return x->failed ? XL_FAILED : XL_UNKNOWN;
    case PLAN_WRITE:
    case PLAN_COMMIT:
      return x->failed && !x->complete ? XL_FAILED : XL_UNKNOWN;
    case PLAN_BLOCK:
      return XL_BLOCK;
    case PLAN_BEGIN:
      return x->forwarded ? XL_BLOCK : XL_READ;
    default:
      return x->forwarded ? XL_READ_PARTIAL : XL_READ;
    }
}
