#include "sim.h"

#include <stdio.h>
#include <string.h>

/* ---- result rows ---- */

typedef struct
{
  char text[24];
} num_t;

static str_t
num (num_t *n, int64_t v)
{
  int len = snprintf (n->text, sizeof n->text, "%lld", (long long)v);

  return (str_t){ n->text, (size_t)len };
}

static str_t
flag (bool b)
{
  return b ? STR ("t") : STR ("f");
}

static void
one_row (conn_t *c, const str_t *v)
{
  sess_rowdesc (c);
  sess_row (c, c->st.ncols, v);
  sess_complete (c, "SELECT 1");
}

static str_t
history (conn_t *c)
{
  buf_t b;

  buf_init (&b);
  terms_text (&c->sim->terms, &b);
  str_t s = str_dup (c->pool, buf_str (&b));
  buf_free (&b);
  return s;
}

static void
status_row (conn_t *c)
{
  sim_t *s = c->sim;
  num_t n[7];

  one_row (c,
           (str_t[]){
               num (&n[0], sim_term (s)),
               s->primary ? STR ("primary") : STR ("replica"),
               num (&n[1], s->pos),
               num (&n[2], s->primary ? s->confirmed : 0),
               history (c),
               num (&n[3], s->primary ? 0 : s->now - s->upstream_received_at),
               flag (s->leaving),
               num (&n[4], conn_count (s)),
               num (&n[5], s->limit),
               num (&n[6], s->slots),
           });
}

static void
position_row (conn_t *c, int64_t pos, bool ok)
{
  num_t n[2];

  one_row (c, (str_t[]){ num (&n[0], sim_term (c->sim)), num (&n[1], pos),
                         flag (ok), history (c) });
}

static bool
arg_int (conn_t *c, int i, int64_t *v)
{
  if (i < c->st.nargs && str_int (c->st.arg[i], v) && *v >= 0)
    return true;
  sess_error (c, "22023", "argument %d of " STR_FMT " must be a number", i + 1,
              STR_ARG (c->st.table));
  return false;
}

/* ---- confirm and wait ---- */

/* The primary counts as one member of the majority; a replica counts only if
   it acknowledged in the current term.  The confirmed position never
   decreases within a term.  */
void
admin_confirmed (sim_t *s)
{
  int64_t best[8] = { 0 };
  int need = s->members / 2;

  if (need > 8)
    need = 8;
  if (need == 0)
    s->confirmed = s->pos;
  for (conn_t *c = s->conns; c; c = c->next)
    if (c->kind == K_REPLICA && !c->closed && c->ready
        && c->ack_term == sim_term (s))
      {
        int64_t v = c->ack_pos;
        for (int i = 0; i < need; i++)
          if (v > best[i])
            {
              int64_t t = best[i];
              best[i] = v;
              v = t;
            }
      }
  if (need > 0 && best[need - 1] > s->confirmed)
    s->confirmed = best[need - 1];
}

void
func_confirm (conn_t *c)
{
  sim_t *s = c->sim;
  bool ok = s->primary && s->confirmed >= c->wait_pos
            && sim_term (s) == c->wait_term;

  if (!ok && !sim_readonly (s) && s->now < c->due
      && sim_term (s) == c->wait_term)
    {
      c->wait = W_CONFIRM;
      return;
    }
  c->wait = W_NONE;
  position_row (c, c->wait_pos, ok);
}

void
func_wait (conn_t *c)
{
  sim_t *s = c->sim;
  bool ok = terms_cover (&s->terms, s->pos, c->wait_term, c->wait_pos);

  if (!ok && s->now < c->due)
    {
      c->wait = W_POSITION;
      return;
    }
  c->wait = W_NONE;
  position_row (c, s->pos, ok);
}

static void
start_confirm (conn_t *c)
{
  int64_t ms;

  if (!arg_int (c, 0, &ms))
    return;
  c->wait_term = sim_term (c->sim);
  c->wait_pos = c->last_pos;
  c->due = c->sim->now + ms;
  func_confirm (c);
}

static void
start_wait (conn_t *c)
{
  int64_t ms;

  if (!arg_int (c, 0, &c->wait_term) || !arg_int (c, 1, &c->wait_pos)
      || !arg_int (c, 2, &ms))
    return;
  c->due = c->sim->now + ms;
  func_wait (c);
}

/* ---- fence, promote, follow ---- */

static void
replace_str (str_t *to, str_t from)
{
  str_t copy = heap_dup (from);

  heap_free (to);
  *to = copy;
}

static void
role_changed (conn_t *c, const char *what)
{
  sim_t *s = c->sim;

  disk_state (s);
  log_event (EV_SIM_ROLE,
             "name=" STR_FMT " by=%s role=%s term=%lld position=%lld "
             "fence=%lld owner=" STR_FMT,
             STR_ARG (s->name), what, s->primary ? "primary" : "replica",
             (long long)sim_term (s), (long long)s->pos, (long long)s->fence,
             STR_ARG (s->owner));
  status_row (c);
}

static void
fence (conn_t *c)
{
  sim_t *s = c->sim;
  int64_t term;
  str_t owner = c->st.arg[1];

  if (!arg_int (c, 0, &term))
    return;
  if (term < s->fence || term < sim_term (s)
      || (term == s->fence && !str_eq (owner, s->owner))
      || (term == sim_term (s) && !str_eq (owner, s->term_owner)))
    {
      sess_error (
          c, "55000", "term %lld is fenced by '" STR_FMT "'",
          (long long)(s->fence > sim_term (s) ? s->fence : sim_term (s)),
          STR_ARG (s->owner));
      return;
    }
  s->fence = term;
  replace_str (&s->owner, owner);
  if (s->upstream_conn && term > sim_term (s))
    repl_stop_upstream (s);
  role_changed (c, "fence");
}

static void
promote (conn_t *c)
{
  sim_t *s = c->sim;
  int64_t term;

  if (!arg_int (c, 0, &term))
    return;
  if (term != s->fence || !str_eq (c->st.arg[1], s->owner))
    {
      sess_error (c, "55000", "no fence of term %lld by that owner",
                  (long long)term);
      return;
    }
  if (s->primary && sim_term (s) == term)
    {
      status_row (c);
      return;
    }
  if (sim_term (s) >= term)
    {
      sess_error (c, "55000", "term %lld has already begun", (long long)term);
      return;
    }
  repl_stop_upstream (s);
  repl_stop_replicas (s);
  if (s->terms.n == TERMS_MAX)
    memmove (&s->terms.at[1], &s->terms.at[2],
             (size_t)(--s->terms.n - 1) * sizeof s->terms.at[0]);
  s->terms.at[s->terms.n++] = (epoch_t){ term, s->pos };
  s->primary = true;
  s->confirmed = 0;
  replace_str (&s->term_owner, s->owner);
  role_changed (c, "promote");
}

static void
follow (conn_t *c)
{
  sim_t *s = c->sim;
  int64_t term;
  str_t to = c->st.arg[0];

  if (!arg_int (c, 1, &term))
    return;
  if (term < s->fence || term < sim_term (s)
      || (s->primary && term == sim_term (s)))
    {
      sess_error (
          c, "55000", "cannot follow term %lld at term %lld, fence %lld",
          (long long)term, (long long)sim_term (s), (long long)s->fence);
      return;
    }
  if (!s->primary && term == s->upstream_term && str_eq (to, s->upstream))
    {
      status_row (c);
      return;
    }
  repl_stop_upstream (s);
  repl_stop_replicas (s);
  s->primary = false;
  s->upstream_term = term;
  replace_str (&s->upstream, to);
  /* upstream_age_ms starts at the order to follow.  */
  s->upstream_received_at = s->now;
  s->upstream_retry_at = s->now;
  role_changed (c, "follow");
}

/* ---- faults and statistics ---- */

static void
heal (sim_t *s)
{
  s->frozen = s->partitioned = s->leaving = false;
  s->frozen_until = 0;
  s->lag = s->initial_lag;
  for (conn_t *c = s->conns; c; c = c->next)
    if (c->silent)
      conn_close (c);
}

static void
fault (conn_t *c)
{
  sim_t *s = c->sim;
  str_t what = c->st.arg[0];
  int64_t ms = 0;

  if (!c->control)
    {
      sess_error (c, "42501", "faults are for user pimentopost_control");
      return;
    }
  if (c->st.nargs > 1 && !arg_int (c, 1, &ms))
    return;
  if (str_eq (what, STR ("freeze")))
    {
      s->frozen = true;
      s->frozen_until = ms ? s->now + ms : 0;
    }
  else if (str_eq (what, STR ("lag")))
    s->lag = ms;
  else if (str_eq (what, STR ("cut")))
    s->partitioned = true;
  else if (str_eq (what, STR ("leave")))
    s->leaving = true;
  else if (str_eq (what, STR ("heal")))
    heal (s);
  else if (str_eq (what, STR ("silent")))
    for (conn_t *o = s->conns; o; o = o->next)
      o->silent = !o->fault_exempt;
  else
    {
      sess_error (c, "22023", "unknown fault");
      return;
    }
  log_event (EV_SIM_FAULT, "name=" STR_FMT " fault=" STR_FMT " ms=%lld",
             STR_ARG (s->name), STR_ARG (what), (long long)ms);
  one_row (c, (str_t[]){ STR ("ok") });
}

static void
stats_row (conn_t *c)
{
  sim_t *s = c->sim;
  num_t n[5];

  one_row (c, (str_t[]){ s->name, num (&n[0], s->reads),
                         num (&n[1], s->writes), num (&n[2], s->opened),
                         num (&n[3], s->pos), num (&n[4], s->busy) });
}

/* ---- table of functions ---- */

typedef struct
{
  const char *name;
  void (*run) (conn_t *c);
  const char *cols;
} func_t;

#define STATUS_COLS                                                           \
  "term role position confirmed history upstream_age_ms leaving "             \
  "connections connection_limit slots"

static const func_t funcs[] = {
  { "pimentopost_status", status_row, STATUS_COLS },
  { "pimentopost_confirm", start_confirm, "term position confirmed history" },
  { "pimentopost_wait", start_wait, "term position covered history" },
  { "pimentopost_fence", fence, STATUS_COLS },
  { "pimentopost_promote", promote, STATUS_COLS },
  { "pimentopost_follow", follow, STATUS_COLS },
  { "ppdbsim_fault", fault, "ppdbsim_fault" },
  { "ppdbsim_stats", stats_row, "name reads writes opened position busy" },
};

static const func_t *
find_func (str_t name)
{
  for (size_t i = 0; i < sizeof funcs / sizeof *funcs; i++)
    if (str_caseeq (name, str_of (funcs[i].name)))
      return &funcs[i];
  return NULL;
}

void
func_cols (stmt_t *st)
{
  const func_t *f = find_func (st->table);

  st->ncols = 0;
  for (const char *p = f ? f->cols : ""; *p;)
    {
      size_t n = strcspn (p, " ");
      st->col[st->ncols++] = (str_t){ (char *)p, n };
      p += n + (p[n] == ' ');
    }
}

void
func_start (conn_t *c)
{
  find_func (c->st.table)->run (c);
}
