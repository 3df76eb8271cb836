#include "pgwire.h"
#include "sim.h"

#include <arpa/inet.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

enum
{
  OID_TEXT = 25
};

/* ---- output ---- */

void
sess_error (conn_t *c, const char *state, const char *fmt, ...)
{
  char text[256];
  va_list ap;

  va_start (ap, fmt);
  vsnprintf (text, sizeof text, fmt, ap);
  va_end (ap);
  pg_put_error (&c->out, "ERROR", state, str_of (text), (str_t){ 0 });
  ops_free (&c->ops);
  if (c->tx == 'T')
    c->tx = 'E';
  c->rest.n = 0;
  c->skip = c->ext;
}

static void
describe (conn_t *c, const stmt_t *st)
{
  if (st->ncols == 0)
    {
      pg_put_empty (&c->out, 'n');
      return;
    }
  size_t at = pg_begin (&c->out, 'T');
  pg_put16 (&c->out, st->ncols);
  for (int i = 0; i < st->ncols; i++)
    {
      pg_putstr (&c->out, st->col[i]);
      pg_put32 (&c->out, 0);
      pg_put16 (&c->out, 0);
      pg_put32 (&c->out, OID_TEXT);
      pg_put16 (&c->out, -1);
      pg_put32 (&c->out, (uint32_t)-1);
      pg_put16 (&c->out, 0);
    }
  pg_end (&c->out, at);
}

void
sess_rowdesc (conn_t *c)
{
  if (!c->ext)
    describe (c, &c->st);
}

void
sess_row (conn_t *c, int n, const str_t *v)
{
  pg_put_row (&c->out, v, n);
}

void
sess_complete (conn_t *c, const char *fmt, ...)
{
  char tag[64];
  va_list ap;

  va_start (ap, fmt);
  vsnprintf (tag, sizeof tag, fmt, ap);
  va_end (ap);
  /* Outside a transaction block, the last statement of a simple query is
     committed before its completion is reported.  */
  if (!c->ext && c->rest.n == 0 && c->tx == 'I' && c->ops.n
      && !tx_end (c, true))
    {
      sess_error (c, "25006", "this database is not the primary any more");
      return;
    }
  pg_put_complete (&c->out, tag);
}

/* ---- simple query ---- */

static void
trim (str_t *s)
{
  while (s->n && strchr (" \t\r\n;", s->p[s->n - 1]))
    s->n--;
}

/* run_rest: runs the remaining statements of a simple query.  */
static void
run_rest (conn_t *c)
{
  const char *err;

  while (c->rest.n && c->wait == W_NONE)
    if (!parse_next (c->pool, &c->rest, NULL, 0, &c->st, &err))
      sess_error (c, "42601", "%s", err);
    else if (c->st.kind != ST_EMPTY)
      stmt_start (c);
  if (c->wait != W_NONE)
    return;
  if (c->tx == 'I' && !tx_end (c, true))
    sess_error (c, "25006", "this database is not the primary any more");
  pg_put_ready (&c->out, c->tx);
}

static void
simple_query (conn_t *c, str_t body)
{
  if (body.n)
    body.n--; /* terminating NUL */
  c->rest = str_dup (c->pool, body);
  trim (&c->rest);
  c->ext = false;
  if (c->rest.n == 0)
    pg_put_empty (&c->out, 'I');
  run_rest (c);
}

void
sess_next (conn_t *c)
{
  if (!c->ext && c->pid && c->rest.p)
    run_rest (c);
  if (c->wait == W_NONE)
    {
      c->rest = (str_t){ 0 };
      sess_input (c);
    }
}

/* ---- extended query ---- */

static void
on_parse (conn_t *c, const pgparse_t *m)
{
  str_t rest = m->text;
  const char *err;

  if (!parse_next (c->pool, &rest, NULL, 0, &c->st, &err))
    {
      sess_error (c, "42601", "%s", err);
      return;
    }
  prep_set (&c->prepared, m->name, m->text);
  pg_put_empty (&c->out, '1');
}

static void
on_bind (conn_t *c, const pgbind_t *m)
{
  prep_t *from = prep_find (c->prepared, m->name);
  pgcur_t in = pg_cur (m->rest);

  if (from == NULL)
    {
      sess_error (c, "26000", "prepared statement does not exist");
      return;
    }
  prep_set (&c->portals, m->portal, from->sql);
  prep_t *p = c->portals;
  for (int formats = pg_get16 (&in); formats > 0; formats--)
    pg_get16 (&in);
  p->nparams = pg_get16 (&in);
  p->param = calloc ((size_t)p->nparams + 1, sizeof *p->param);
  for (int i = 0; p->param && i < p->nparams; i++)
    {
      int32_t n = pg_get32 (&in);
      if (n >= 0)
        p->param[i] = heap_dup (pg_getbytes (&in, (size_t)n));
    }
  pg_put_empty (&c->out, '2');
}

static int
count_params (str_t sql)
{
  int max = 0;

  for (size_t i = 0; i + 1 < sql.n; i++)
    if (sql.p[i] == '$' && sql.p[i + 1] > '0' && sql.p[i + 1] <= '9'
        && sql.p[i + 1] - '0' > max)
      max = sql.p[i + 1] - '0';
  return max;
}

static void
on_describe (conn_t *c, const pgtarget_t *m)
{
  const char *err;
  stmt_t st;
  prep_t *p = prep_find (m->kind == 'S' ? c->prepared : c->portals, m->name);

  if (p == NULL)
    {
      sess_error (c, "26000", "no such statement or portal");
      return;
    }
  if (m->kind == 'S')
    {
      int n = count_params (p->sql);
      size_t at = pg_begin (&c->out, 't');
      pg_put16 (&c->out, n);
      while (n-- > 0)
        pg_put32 (&c->out, OID_TEXT);
      pg_end (&c->out, at);
    }
  str_t sql = p->sql;
  parse_next (c->pool, &sql, p->param, p->nparams, &st, &err);
  describe (c, &st);
}

static void
on_execute (conn_t *c, const pgexec_t *m)
{
  prep_t *p = prep_find (c->portals, m->portal);
  const char *err;

  if (p == NULL)
    {
      sess_error (c, "34000", "portal does not exist");
      return;
    }
  str_t sql = str_dup (c->pool, p->sql);
  str_t *param
      = apr_palloc (c->pool, (size_t)(p->nparams + 1) * sizeof *param);
  for (int i = 0; i < p->nparams; i++)
    param[i] = str_dup (c->pool, p->param[i]);
  if (!parse_next (c->pool, &sql, param, p->nparams, &c->st, &err))
    sess_error (c, "42601", "%s", err);
  else if (c->st.kind == ST_EMPTY)
    pg_put_empty (&c->out, 'I');
  else
    stmt_start (c);
}

static void
on_sync (conn_t *c)
{
  c->skip = false;
  if (c->tx == 'I' && !tx_end (c, true))
    sess_error (c, "25006", "this database is not the primary any more");
  c->skip = false;
  c->ext = false;
  pg_put_ready (&c->out, c->tx);
}

static void
on_close (conn_t *c, const pgtarget_t *m)
{
  prep_drop (m->kind == 'S' ? &c->prepared : &c->portals, m->name);
  pg_put_empty (&c->out, '3');
}

static void
extended (conn_t *c, char type, str_t body)
{
  err_t e = { 0 };
  union
  {
    pgparse_t parse;
    pgbind_t bind;
    pgtarget_t name;
    pgexec_t exec;
  } m;

  c->ext = true;
  if (type == 'S')
    on_sync (c);
  else if (c->skip || type == 'H')
    return;
  else if (type == 'P' && pg_parse (body, &m.parse, &e))
    on_parse (c, &m.parse);
  else if (type == 'B' && pg_bind (body, &m.bind, &e))
    on_bind (c, &m.bind);
  else if (type == 'D' && pg_target (body, &m.name, &e))
    on_describe (c, &m.name);
  else if (type == 'E' && pg_exec (body, &m.exec, &e))
    on_execute (c, &m.exec);
  else if (type == 'C' && pg_target (body, &m.name, &e))
    on_close (c, &m.name);
  else
    sess_error (c, "08P01", "unsupported or malformed message of type %d",
                type);
}

/* ---- connections ---- */

void
sess_startup_reply (conn_t *c)
{
  static const char *const status[][2] = {
    { "server_version", "15.0" },
    { "server_encoding", "UTF8" },
    { "client_encoding", "UTF8" },
    { "DateStyle", "ISO, MDY" },
    { "TimeZone", "UTC" },
    { "integer_datetimes", "on" },
    { "standard_conforming_strings", "on" },
  };

  pg_put_auth_ok (&c->out);
  for (size_t i = 0; i < sizeof status / sizeof *status; i++)
    pg_put_status (&c->out, str_of (status[i][0]), str_of (status[i][1]));
  pg_put_key (&c->out, c->pid, c->secret);
  pg_put_ready (&c->out, c->tx);
}

static void
on_cancel (conn_t *c, const pgstart_t *m)
{
  for (conn_t *o = c->sim->conns; o; o = o->next)
    if (o->kind == K_PG && !o->closed && o->pid == m->pid
        && o->secret == m->secret)
      stmt_cancel (o);
  conn_close (c);
}

/* has_room: connections of pimentopost_control do not count against the limit
   of other users, who may use all connections but CONTROL_RESERVED.  */
static bool
has_room (const conn_t *c)
{
  const sim_t *s = c->sim;
  int n = 0;

  for (const conn_t *o = s->conns; o; o = o->next)
    n += o->kind == K_PG && !o->closed && !o->fault_exempt && !o->control;
  return conn_count (s) <= s->limit
         && (c->control || n <= s->limit - CONTROL_RESERVED);
}

static void
on_startup (conn_t *c, const pgstart_t *m)
{
  sim_t *s = c->sim;

  c->control = str_eq (m->user, STR ("pimentopost_control"));
  c->fault_exempt = c->control && str_eq (m->database, STR ("ppdbsim"));
  c->kind = K_PG;
  c->tx = 'I';
  c->pid = ++s->last_pid;
  c->secret = (uint32_t)rng_u64 (&s->rng);
  s->opened++;
  if (!c->fault_exempt && !has_room (c))
    {
      sess_error (c, "53300", "sorry, too many clients already");
      c->eof = true;
      return;
    }
  c->wait = W_CONNECT;
  c->due = s->now + (c->fault_exempt ? 0 : s->connect_ms);
}

static bool
is_replica (const conn_t *c)
{
  uint32_t code = htonl (REPL_CODE);

  return buf_len (&c->in) >= 8
         && memcmp (c->in.p + c->in.off + 4, &code, 4) == 0;
}

/* on_first: handles the first message of a connection.  False if there is
   nothing more to process at present.  */
static bool
on_first (conn_t *c)
{
  pgstart_t m;
  err_t e;

  if (is_replica (c))
    {
      buf_take (&c->in, 8);
      repl_accept (c);
      return false;
    }
  int got = pg_startup (&c->in, &m, &e);
  if (got < 0)
    conn_close (c);
  if (got <= 0)
    return false;
  if (m.kind == PG_START_SESSION)
    on_startup (c, &m);
  else if (m.kind == PG_START_CANCEL)
    on_cancel (c, &m);
  else
    buf_add (&c->out, "N", 1);
  buf_take (&c->in, m.size);
  return !c->closed;
}

static bool
on_message (conn_t *c)
{
  pgmsg_t m;
  err_t e;
  int got = pg_message (&c->in, PG_MAX_MESSAGE, &m, &e);

  if (got < 0)
    conn_close (c);
  if (got <= 0)
    return false;
  apr_pool_clear (c->pool);
  str_t body = str_dup (c->pool, m.body);
  buf_take (&c->in, m.size);
  if (m.type == 'X')
    conn_close (c);
  else if (m.type == 'Q')
    simple_query (c, body);
  else
    extended (c, m.type, body);
  return !c->closed;
}

void
sess_input (conn_t *c)
{
  /* While the session waits, later messages stay in the buffer.  */
  while (!c->closed && c->wait == W_NONE
         && (c->kind == K_NEW ? on_first (c) : on_message (c)))
    ;
}
