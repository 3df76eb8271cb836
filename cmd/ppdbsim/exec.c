#include "sim.h"

#include <stdio.h>
#include <string.h>

enum
{
  LOCK_TIMEOUT_MS = 1000 /* lock wait; resolves deadlocks */
};

/* ---- transactions ---- */

bool
tx_end (conn_t *c, bool commit)
{
  sim_t *s = c->sim;
  bool ok = true;

  if (commit && c->ops.n)
    {
      ok = !sim_readonly (s);
      if (ok)
        {
          disk_record (s, &c->ops);
          store_append (s, &c->ops);
          admin_confirmed (s);
        }
    }
  ops_free (&c->ops);
  c->tx = 'I';
  c->readonly = false;
  c->last_pos = s->pos;
  return ok;
}

static void
refuse_write (conn_t *c)
{
  sess_error (c, "25006",
              "cannot execute a write in a read-only transaction: this "
              "database is not the primary");
}

static void
run_block (conn_t *c)
{
  bool failed = c->tx == 'E';

  if (c->st.kind == ST_BEGIN)
    {
      if (c->tx == 'I')
        {
          c->tx = 'T';
          c->readonly = c->st.readonly;
        }
      sess_complete (c, "BEGIN");
    }
  else if (c->st.kind == ST_COMMIT && !failed)
    {
      if (tx_end (c, true))
        sess_complete (c, "COMMIT");
      else
        refuse_write (c);
    }
  else
    {
      tx_end (c, false);
      sess_complete (c, "ROLLBACK");
    }
}

/* ---- reads ---- */

/* value_of: the value that C sees, including its uncommitted writes.  */
static bool
value_of (conn_t *c, str_t table, str_t id, str_t *val)
{
  op_t *o = ops_find (&c->ops, table, id);
  row_t *r;

  if (o)
    {
      *val = o->val;
      return !o->del;
    }
  r = store_find (c->sim, table, id);
  if (r)
    *val = r->val;
  return r != NULL;
}

static bool
is_key_column (str_t col)
{
  return str_caseeq (col, STR ("id")) || str_caseeq (col, STR ("key"));
}

static void
answer_row (conn_t *c, str_t id, str_t val)
{
  str_t v[COLS_MAX];

  for (int i = 0; i < c->st.ncols; i++)
    v[i] = is_key_column (c->st.col[i]) ? id : val;
  sess_row (c, c->st.ncols, v);
}

static void
run_select (conn_t *c)
{
  str_t val;
  bool found = value_of (c, c->st.table, c->st.id, &val);

  sess_rowdesc (c);
  if (found)
    answer_row (c, c->st.id, val);
  sess_complete (c, "SELECT %d", found);
}

static int64_t
each_row (conn_t *c, bool emit)
{
  sim_t *s = c->sim;
  int64_t n = 0;

  for (size_t i = 0; i < s->nbuckets; i++)
    for (row_t *r = s->rows[i]; r; r = r->next)
      if (str_eq (r->table, c->st.table)
          && !ops_find (&c->ops, r->table, r->id))
        {
          n++;
          if (emit)
            answer_row (c, r->id, r->val);
        }
  for (size_t i = 0; i < c->ops.n; i++)
    {
      op_t *o = &c->ops.op[i];
      if (str_eq (o->table, c->st.table) && !o->del
          && ops_find (&c->ops, o->table, o->id) == o)
        {
          n++;
          if (emit)
            answer_row (c, o->id, o->val);
        }
    }
  return n;
}

static void
run_list (conn_t *c)
{
  char num[24];
  bool count = c->st.kind == ST_COUNT;

  sess_rowdesc (c);
  int64_t n = each_row (c, !count);
  if (count)
    {
      snprintf (num, sizeof num, "%lld", (long long)n);
      sess_row (c, 1, (str_t[]){ str_of (num) });
    }
  sess_complete (c, "SELECT %lld", count ? 1LL : (long long)n);
}

static void
run_series (conn_t *c)
{
  char num[24];

  c->wait = W_SERIES;
  while (c->series < c->st.n && buf_len (&c->out) < OUT_HIGH)
    {
      snprintf (num, sizeof num, "%lld", (long long)++c->series);
      sess_row (c, 1, (str_t[]){ str_of (num) });
    }
  if (c->series < c->st.n)
    return;
  c->wait = W_NONE;
  sess_complete (c, "SELECT %lld", (long long)c->st.n);
}

static void
run_value (conn_t *c, str_t v)
{
  sess_rowdesc (c);
  sess_row (c, 1, &v);
  sess_complete (c, "SELECT 1");
}

static void
run_show (conn_t *c)
{
  prep_t *p = prep_find (c->settings, c->st.table);
  str_t v = p ? p->sql : STR ("");

  if (str_caseeq (c->st.table, STR ("ppdbsim.name")))
    v = c->sim->name;
  sess_rowdesc (c);
  sess_row (c, 1, &v);
  sess_complete (c, "SHOW");
}

/* ---- writes ---- */

static bool
locked (conn_t *c)
{
  for (conn_t *o = c->sim->conns; o; o = o->next)
    if (o != c && !o->closed && o->ops.n
        && ops_find (&o->ops, c->st.table, c->st.id))
      return true;
  return false;
}

static void
write_row (conn_t *c, str_t val, bool del)
{
  op_t *o = ops_add (&c->ops, c->st.table, c->st.id);

  o->val = heap_dup (val);
  o->del = del;
  if (c->st.ncols)
    {
      sess_rowdesc (c);
      answer_row (c, o->id, o->val);
    }
}

static void
run_insert (conn_t *c)
{
  str_t old;

  if (value_of (c, c->st.table, c->st.id, &old))
    {
      sess_error (c, "23505",
                  "duplicate key value violates unique constraint \"" STR_FMT
                  "_pkey\"",
                  STR_ARG (c->st.table));
      return;
    }
  write_row (c, c->st.val, false);
  sess_complete (c, "INSERT 0 1");
}

static void
run_change (conn_t *c)
{
  str_t val;
  char num[24];
  int64_t a;
  int64_t b;
  bool del = c->st.kind == ST_DELETE;
  bool found = value_of (c, c->st.table, c->st.id, &val);

  if (found && c->st.add)
    {
      if (!str_int (val, &a) || !str_int (c->st.val, &b))
        {
          sess_error (c, "22P02", "value is not a number");
          return;
        }
      snprintf (num, sizeof num, "%lld", (long long)a + (long long)b);
      val = str_of (num);
    }
  else if (found && c->st.append)
    val = str_fmt (c->pool, STR_FMT STR_FMT, STR_ARG (val),
                   STR_ARG (c->st.val));
  else if (!del)
    val = c->st.val;
  if (found)
    write_row (c, val, del);
  else if (c->st.ncols)
    sess_rowdesc (c);
  sess_complete (c, "%s %d", del ? "DELETE" : "UPDATE", found);
}

static void
run_write (conn_t *c)
{
  sim_t *s = c->sim;

  if (sim_readonly (s) || c->readonly)
    {
      refuse_write (c);
      return;
    }
  if (locked (c))
    {
      if (c->wait != W_LOCK)
        c->due = s->now + LOCK_TIMEOUT_MS;
      c->wait = W_LOCK;
      return;
    }
  c->wait = W_NONE;
  s->writes++;
  if (c->st.kind == ST_INSERT)
    run_insert (c);
  else
    run_change (c);
}

/* ---- one statement ---- */

static void
run_setting (conn_t *c)
{
  if (c->st.kind == ST_SET)
    prep_set (&c->settings, c->st.table, c->st.val);
  else
    prep_clear (&c->settings);
  sess_complete (c, c->st.kind == ST_SET ? "SET" : "DISCARD ALL");
}

static void
stmt_run (conn_t *c)
{
  c->wait = W_NONE;
  switch (c->st.kind)
    {
    case ST_BEGIN:
    case ST_COMMIT:
    case ST_ROLLBACK:
      run_block (c);
      break;
    case ST_SET:
    case ST_DISCARD:
      run_setting (c);
      break;
    case ST_SHOW:
      run_show (c);
      break;
    case ST_CREATE:
      sess_complete (c, "CREATE TABLE");
      break;
    case ST_CONST:
      run_value (c, c->st.val);
      break;
    case ST_SLEEP:
      run_value (c, STR (""));
      break;
    case ST_SERIES:
      sess_rowdesc (c);
      c->series = 0;
      run_series (c);
      break;
    case ST_SELECT:
      c->sim->reads++;
      run_select (c);
      break;
    case ST_LIST:
    case ST_COUNT:
      c->sim->reads++;
      run_list (c);
      break;
    case ST_FUNC:
      func_start (c);
      break;
    default:
      run_write (c);
    }
}

static msec_t
service_time (conn_t *c)
{
  switch (c->st.kind)
    {
    case ST_SLEEP:
      return c->st.n;
    case ST_INSERT:
    case ST_UPDATE:
    case ST_DELETE:
      return c->sim->write_ms;
    case ST_SELECT:
    case ST_LIST:
    case ST_COUNT:
      return c->sim->read_ms;
    default:
      return 0;
    }
}

static void
take_slot (conn_t *c)
{
  c->sim->busy++;
  c->wait = W_SERVICE;
  c->due = c->sim->now + c->service;
}

void
stmt_start (conn_t *c)
{
  sim_t *s = c->sim;

  if (c->tx == 'E' && c->st.kind != ST_COMMIT && c->st.kind != ST_ROLLBACK)
    {
      sess_error (c, "25P02",
                  "current transaction is aborted, commands ignored until end "
                  "of transaction block");
      return;
    }
  c->service = service_time (c);
  if (c->service <= 0)
    {
      stmt_run (c);
      return;
    }
  c->ticket = s->next_ticket++;
  c->wait = W_SLOT;
  if (s->busy < s->slots)
    take_slot (c);
}

/* first_waiting: the session that has waited longest for a slot.  */
static conn_t *
first_waiting (sim_t *s)
{
  conn_t *first = NULL;

  for (conn_t *c = s->conns; c; c = c->next)
    if (c->wait == W_SLOT && !c->closed
        && (first == NULL || c->ticket < first->ticket))
      first = c;
  return first;
}

static void
release_slot (conn_t *c)
{
  c->sim->busy--;
  c->wait = W_NONE;
  conn_t *w = first_waiting (c->sim);
  if (w)
    take_slot (w);
}

static void
wake_lock (conn_t *c)
{
  run_write (c);
  if (c->wait == W_LOCK && c->sim->now >= c->due)
    {
      c->wait = W_NONE;
      sess_error (c, "40001", "could not serialize access: the row is locked");
    }
}

void
stmt_wake (conn_t *c)
{
  if (c->wait == W_SERVICE && c->sim->now >= c->due)
    {
      release_slot (c);
      stmt_run (c);
    }
  else if (c->wait == W_LOCK)
    wake_lock (c);
  else if (c->wait == W_CONFIRM)
    func_confirm (c);
  else if (c->wait == W_POSITION)
    func_wait (c);
  else if (c->wait == W_SERIES && buf_len (&c->out) < OUT_HIGH / 2)
    run_series (c);
  else if (c->wait == W_CONNECT && c->sim->now >= c->due)
    {
      c->wait = W_NONE;
      sess_startup_reply (c);
    }
  if (c->wait == W_NONE)
    sess_next (c);
}

void
stmt_cancel (conn_t *c)
{
  if (c->wait == W_NONE || c->wait == W_CONNECT)
    return;
  if (c->wait == W_SERVICE)
    release_slot (c);
  c->wait = W_NONE;
  sess_error (c, "57014", "canceling statement due to user request");
  sess_next (c);
}
