#include "entry.h"

#include <string.h>

void
xchg_init (xchg_t *x, xplan_t plan)
{
  *x = (xchg_t){ .plan = plan, .phase = plan.setup ? 0 : 1 };
  x->covered = true;
}

void
xchg_ops (xchg_t *x, const xop_t *ops, int n)
{
  x->ops = ops;
  x->nops = n;
}

static void
add (xchg_t *x, seg_t s)
{
  x->seg[x->nseg++] = (uint8_t)s;
}

static void
statement_phase (xchg_t *x)
{
  if (x->plan.kind == PLAN_KEYED)
    {
      add (x, SEG_BEGIN);
      add (x, SEG_KEY);
    }
  if (x->plan.check)
    add (x, SEG_CHECK);
  add (x, SEG_STMT);
  if (x->plan.kind == PLAN_WRITE || x->plan.kind == PLAN_COMMIT)
    add (x, SEG_CONFIRM);
}

static void
keyed_end_phase (xchg_t *x)
{
  if (x->key_taken)
    {
      add (x, SEG_ROLLBACK);
      add (x, SEG_OUTCOME);
      add (x, SEG_CONFIRM);
    }
  else if (x->failed)
    add (x, SEG_ROLLBACK);
  else
    {
      add (x, SEG_RECORD);
      add (x, SEG_COMMIT);
      add (x, SEG_CONFIRM);
    }
}

void
xchg_phase (xchg_t *x)
{
  x->nseg = x->at = 0;
  if (x->phase == 0)
    add (x, SEG_SETUP);
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

/* ---- the statement's answer ---- */

static bool
confirms (const xchg_t *x)
{
  return x->plan.kind == PLAN_WRITE || x->plan.kind == PLAN_COMMIT
         || x->plan.kind == PLAN_KEYED;
}

/* Where a part of the answer goes that is not its first substantial part.  */
static xact_t
prefix (xchg_t *x, size_t n)
{
  if (!x->covered || x->key_taken)
    return X_DROP;
  if (x->plan.kind == PLAN_BLOCK || (x->began && !confirms (x)))
    return X_FORWARD;
  x->held += n;
  return X_HOLD;
}

static xact_t
forward (xchg_t *x)
{
  if (!x->covered)
    return X_DROP;
  x->began = true;
  x->held = 0;
  return X_FORWARD;
}

static xact_t
row (xchg_t *x, size_t n)
{
  if (!confirms (x))
    return forward (x);
  /* Rows of a large RETURNING are sent on before the confirmation; the
     CommandComplete behind them is not.  */
  if (x->plan.kind != PLAN_KEYED && !x->complete && x->held > XCHG_HOLD_MAX)
    return forward (x);
  return prefix (x, n);
}

static xact_t
complete (xchg_t *x, const pgmsg_t *m)
{
  x->complete = true;
  if (x->plan.kind == PLAN_COMMIT && m->type == 'C'
      && str_starts (m->body, STR ("ROLLBACK")))
    x->rolled_back = true;
  return confirms (x) ? prefix (x, m->size) : forward (x);
}

static bool
note_error (xchg_t *x, const pgmsg_t *m)
{
  pgerr_t f;

  if (!pg_error (m->body, &f, NULL) || f.code.n != 5)
    return false;
  memcpy (x->sqlstate, f.code.p, 5);
  x->failed = true;
  x->not_run = pg_not_run_code (f.code);
  return true;
}

static xact_t
statement_error (xchg_t *x, const pgmsg_t *m, xverdict_t *v)
{
  if (x->plan.kind == PLAN_KEYED && (x->failed || x->key_taken))
    return X_DROP;
  if (!note_error (x, m))
    {
      *v = XV_BROKEN;
      return X_DROP;
    }
  x->failed_op = x->op;
  x->op = x->nops;
  if (confirms (x) || (x->not_run && !x->began))
    return prefix (x, m->size);
  return forward (x);
}

/* Takes the next expected answer of a batch; false when it is another.  */
static bool
take_op (xchg_t *x, char type, bool *own)
{
  *own = false;
  if (!x->plan.extended)
    return true;
  if (x->op >= x->nops || x->ops[x->op].type != type)
    return false;
  *own = x->ops[x->op++].own;
  return true;
}

static xact_t
answer_part (xchg_t *x, const pgmsg_t *m, xverdict_t *v)
{
  bool own = false;
  bool known = true;
  xact_t act;

  switch (m->type)
    {
    case '1':
    case '2':
    case '3':
      known = x->plan.extended && take_op (x, m->type, &own);
      act = own || !known ? X_DROP : prefix (x, m->size);
      break;
    case 'T':
    case 'n':
      known = take_op (x, 'T', &own);
      act = known ? prefix (x, m->size) : X_DROP;
      break;
    case 't':
    case 'N':
    case 'S':
      act = prefix (x, m->size);
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
      known = take_op (x, 'E', &own);
      act = known ? complete (x, m) : X_DROP;
      break;
    case 'E':
      act = statement_error (x, m, v);
      break;
    default: /* among them the COPY messages */
      act = X_DROP;
      known = false;
    }
  if (!known)
    *v = XV_BROKEN;
  return act;
}

static void
start_statement (xchg_t *x, const xworld_t *w)
{
  if (x->started)
    return;
  x->started = true;
  /* The answer was computed before it arrived.  While the lease holds, no
     other primary has acknowledged anything.  */
  if (x->plan.lease && !confirms (x) && !w->lease (w->arg))
    x->covered = false;
}

char
xchg_made (xchg_t *x, const xworld_t *w, xact_t *act)
{
  if (!x->plan.extended || x->at >= x->nseg || x->seg[x->at] != SEG_STMT
      || x->failed || x->key_taken || x->op >= x->nops || !x->ops[x->op].made)
    return 0;
  start_statement (x, w);
  *act = prefix (x, 5);
  return x->ops[x->op++].type;
}

/* ---- the proxy's own statements ---- */

static void
own_row (xchg_t *x, seg_t seg, const pgmsg_t *m, const xworld_t *w)
{
  str_t col[4] = { 0 };
  int n = pg_row (m->body, col, 4);

  if (n < 1)
    return;
  if (seg == SEG_OUTCOME)
    x->found = col[0].n > 0;
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
  if (w->row)
    w->row (w->arg, seg, col, n);
}

static xact_t
own_error (xchg_t *x, seg_t seg, const pgmsg_t *m, xverdict_t *v)
{
  bool first = !x->failed;

  if (seg == SEG_RECORD || seg == SEG_COMMIT)
    x->rolled_back = true;
  if (seg != SEG_SETUP && seg != SEG_BEGIN && seg != SEG_KEY)
    return X_DROP;
  if (!first)
    return X_DROP;
  if (!note_error (x, m))
    {
      *v = XV_BROKEN;
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

static xact_t
own_part (xchg_t *x, seg_t seg, const pgmsg_t *m, const xworld_t *w,
          xverdict_t *v)
{
  switch (m->type)
    {
    case 'D':
      own_row (x, seg, m, w);
      break;
    case 'C':
      if (seg == SEG_COMMIT && str_starts (m->body, STR ("ROLLBACK")))
        x->rolled_back = true;
      break;
    case 'E':
      return own_error (x, seg, m, v);
    case 'T':
    case 'S':
    case 'N':
    case 'A':
    case 'I':
      break;
    default:
      *v = XV_BROKEN;
    }
  return X_DROP;
}

/* ---- ends of segments and phases ---- */

static xverdict_t
commit_verdict (const xchg_t *x, const xworld_t *w, xverdict_t good)
{
  return x->confirmed && w->lease (w->arg) ? good : XV_UNKNOWN;
}

static xverdict_t
keyed_verdict (xchg_t *x, const xworld_t *w)
{
  if (x->phase == 1)
    {
      x->phase = 2;
      return XV_NEXT;
    }
  if (x->key_taken)
    return x->found ? commit_verdict (x, w, XV_REPLAY) : XV_UNKNOWN;
  if (x->failed)
    return x->not_run ? XV_NOT_RUN : XV_DONE;
  return x->rolled_back ? XV_UNKNOWN : commit_verdict (x, w, XV_DONE);
}

static xverdict_t
phase_verdict (xchg_t *x, const xworld_t *w)
{
  if (x->phase == 0)
    {
      if (x->failed)
        return XV_NOT_RUN;
      x->phase = 1;
      return XV_NEXT;
    }
  if (!x->covered)
    return XV_UNPROVEN;
  if (x->plan.kind == PLAN_KEYED)
    return keyed_verdict (x, w);
  if (x->not_run && !x->began && !x->complete && x->plan.kind != PLAN_BLOCK
      && x->plan.kind != PLAN_COMMIT)
    return XV_NOT_RUN;
  if (!confirms (x) || x->rolled_back || (x->failed && !x->complete))
    return XV_DONE;
  return commit_verdict (x, w, XV_DONE);
}

static xverdict_t
segment_end (xchg_t *x, const pgmsg_t *m, const xworld_t *w)
{
  seg_t seg = (seg_t)x->seg[x->at];

  if (m->body.n != 1 || !memchr ("ITE", m->body.p[0], 3))
    return XV_BROKEN;
  x->ready = m->body.p[0];
  if (seg == SEG_STMT)
    {
      start_statement (x, w);
      x->stmt_ready = x->ready;
      if (x->plan.extended && !x->failed && !x->key_taken && x->op != x->nops)
        return XV_BROKEN;
    }
  if (++x->at < x->nseg)
    return XV_MORE;
  return phase_verdict (x, w);
}

xact_t
xchg_message (xchg_t *x, const pgmsg_t *m, const xworld_t *w, xverdict_t *v)
{
  *v = XV_MORE;
  if (x->at >= x->nseg)
    {
      *v = XV_BROKEN;
      return X_DROP;
    }
  seg_t seg = (seg_t)x->seg[x->at];
  if (m->type == 'Z')
    {
      *v = segment_end (x, m, w);
      return X_DROP;
    }
  if (seg != SEG_STMT)
    return own_part (x, seg, m, w, v);
  start_statement (x, w);
  return answer_part (x, m, v);
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
      return x->began ? XL_BLOCK : XL_READ;
    default:
      return x->began ? XL_CUT : XL_READ;
    }
}
