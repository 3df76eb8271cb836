#include "sim.h"

#include <arpa/inet.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

enum
{
  CODE_V3 = 196608,
  CODE_CANCEL = 80877102,
  CODE_SSL = 80877103,
  CODE_GSS = 80877104,
  OID_TEXT = 25
};

/* ---- output ---- */

static size_t
begin (buf_t *b, char type)
{
  buf_add (b, &type, 1);
  buf_room (b, 4);
  b->n += 4;
  return b->n - b->off;
}

/* end: writes the length of the message whose body began at AT.  */
static void
end (buf_t *b, size_t at)
{
  uint32_t n = htonl ((uint32_t)(b->n - b->off - at + 4));

  memcpy (b->p + b->off + at - 4, &n, 4);
}

static void
put16 (buf_t *b, int v)
{
  uint16_t n = htons ((uint16_t)v);

  buf_add (b, &n, 2);
}

static void
put32 (buf_t *b, uint32_t v)
{
  v = htonl (v);
  buf_add (b, &v, 4);
}

static void
put_cstr (buf_t *b, str_t s)
{
  buf_adds (b, s);
  buf_add (b, "", 1);
}

static void
empty (conn_t *c, char type)
{
  end (&c->out, begin (&c->out, type));
}

static void
ready (conn_t *c)
{
  size_t at = begin (&c->out, 'Z');

  buf_add (&c->out, &c->tx, 1);
  end (&c->out, at);
}

void
pg_error (conn_t *c, const char *state, const char *fmt, ...)
{
  char text[256];
  va_list ap;

  va_start (ap, fmt);
  vsnprintf (text, sizeof text, fmt, ap);
  va_end (ap);
  size_t at = begin (&c->out, 'E');
  buf_add (&c->out, "SERROR", 7);
  buf_add (&c->out, "VERROR", 7);
  buf_add (&c->out, "C", 1);
  put_cstr (&c->out, str_of (state));
  buf_add (&c->out, "M", 1);
  put_cstr (&c->out, str_of (text));
  buf_add (&c->out, "", 1);
  end (&c->out, at);
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
      empty (c, 'n');
      return;
    }
  size_t at = begin (&c->out, 'T');
  put16 (&c->out, st->ncols);
  for (int i = 0; i < st->ncols; i++)
    {
      put_cstr (&c->out, st->col[i]);
      put32 (&c->out, 0);
      put16 (&c->out, 0);
      put32 (&c->out, OID_TEXT);
      put16 (&c->out, -1);
      put32 (&c->out, (uint32_t)-1);
      put16 (&c->out, 0);
    }
  end (&c->out, at);
}

void
pg_rowdesc (conn_t *c)
{
  if (!c->ext)
    describe (c, &c->st);
}

void
pg_row (conn_t *c, int n, const str_t *v)
{
  size_t at = begin (&c->out, 'D');

  put16 (&c->out, n);
  for (int i = 0; i < n; i++)
    {
      put32 (&c->out, (uint32_t)v[i].n);
      buf_adds (&c->out, v[i]);
    }
  end (&c->out, at);
}

void
pg_complete (conn_t *c, const char *fmt, ...)
{
  char tag[64];
  va_list ap;

  va_start (ap, fmt);
  vsnprintf (tag, sizeof tag, fmt, ap);
  va_end (ap);
  /* Outside a block the last statement of a simple query commits before it
     is reported.  */
  if (!c->ext && c->rest.n == 0 && c->tx == 'I' && c->ops.n
      && !tx_end (c, true))
    {
      pg_error (c, "25006", "this database is not the primary any more");
      return;
    }
  size_t at = begin (&c->out, 'C');
  put_cstr (&c->out, str_of (tag));
  end (&c->out, at);
}

/* ---- simple query ---- */

static void
trim (str_t *s)
{
  while (s->n && strchr (" \t\r\n;", s->p[s->n - 1]))
    s->n--;
}

/* run_rest: runs the statements left in a simple query.  */
static void
run_rest (conn_t *c)
{
  const char *err;

  while (c->rest.n && c->wait == W_NONE)
    if (!parse_next (c->pool, &c->rest, NULL, 0, &c->st, &err))
      pg_error (c, "42601", "%s", err);
    else if (c->st.kind != ST_EMPTY)
      stmt_start (c);
  if (c->wait != W_NONE)
    return;
  if (c->tx == 'I' && !tx_end (c, true))
    pg_error (c, "25006", "this database is not the primary any more");
  ready (c);
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
    empty (c, 'I');
  run_rest (c);
}

void
pg_next (conn_t *c)
{
  if (!c->ext && c->pid && c->rest.p)
    run_rest (c);
  if (c->wait == W_NONE)
    {
      c->rest = (str_t){ 0 };
      pg_input (c);
    }
}

/* ---- extended query ---- */

static str_t
get_cstr (str_t *in)
{
  char *nul = in->n ? memchr (in->p, 0, in->n) : NULL;
  size_t n = nul ? (size_t)(nul - in->p) : in->n;
  str_t s = { in->p, n };

  in->p += n + (nul != NULL);
  in->n -= n + (nul != NULL);
  return s;
}

static int
get16 (str_t *in)
{
  if (in->n < 2)
    return 0;
  int v = (unsigned char)in->p[0] << 8 | (unsigned char)in->p[1];
  in->p += 2;
  in->n -= 2;
  return v;
}

static int64_t
get32 (str_t *in)
{
  uint32_t v;

  if (in->n < 4)
    return -1;
  memcpy (&v, in->p, 4);
  in->p += 4;
  in->n -= 4;
  return (int32_t)ntohl (v);
}

static void
on_parse (conn_t *c, str_t in)
{
  str_t name = get_cstr (&in);
  str_t sql = get_cstr (&in);
  str_t rest = sql;
  const char *err;

  if (!parse_next (c->pool, &rest, NULL, 0, &c->st, &err))
    {
      pg_error (c, "42601", "%s", err);
      return;
    }
  prep_set (&c->prepared, name, sql);
  empty (c, '1');
}

static void
on_bind (conn_t *c, str_t in)
{
  str_t portal = get_cstr (&in);
  prep_t *from = prep_find (c->prepared, get_cstr (&in));

  if (from == NULL)
    {
      pg_error (c, "26000", "prepared statement does not exist");
      return;
    }
  prep_set (&c->portals, portal, from->sql);
  prep_t *p = c->portals;
  for (int formats = get16 (&in); formats > 0; formats--)
    get16 (&in);
  p->nparams = get16 (&in);
  p->param = calloc ((size_t)p->nparams + 1, sizeof *p->param);
  for (int i = 0; p->param && i < p->nparams; i++)
    {
      int64_t n = get32 (&in);
      if (n < 0 || (size_t)n > in.n)
        continue;
      p->param[i] = heap_dup ((str_t){ in.p, (size_t)n });
      in.p += n;
      in.n -= (size_t)n;
    }
  empty (c, '2');
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
on_describe (conn_t *c, str_t in)
{
  char what = in.n ? in.p[0] : 0;
  const char *err;
  stmt_t st;

  in.p++;
  in.n--;
  prep_t *p
      = prep_find (what == 'S' ? c->prepared : c->portals, get_cstr (&in));
  if (p == NULL)
    {
      pg_error (c, "26000", "no such statement or portal");
      return;
    }
  if (what == 'S')
    {
      int n = count_params (p->sql);
      size_t at = begin (&c->out, 't');
      put16 (&c->out, n);
      while (n-- > 0)
        put32 (&c->out, OID_TEXT);
      end (&c->out, at);
    }
  str_t sql = p->sql;
  parse_next (c->pool, &sql, p->param, p->nparams, &st, &err);
  describe (c, &st);
}

static void
on_execute (conn_t *c, str_t in)
{
  prep_t *p = prep_find (c->portals, get_cstr (&in));
  const char *err;

  if (p == NULL)
    {
      pg_error (c, "34000", "portal does not exist");
      return;
    }
  str_t sql = str_dup (c->pool, p->sql);
  str_t *param
      = apr_palloc (c->pool, (size_t)(p->nparams + 1) * sizeof *param);
  for (int i = 0; i < p->nparams; i++)
    param[i] = str_dup (c->pool, p->param[i]);
  if (!parse_next (c->pool, &sql, param, p->nparams, &c->st, &err))
    pg_error (c, "42601", "%s", err);
  else if (c->st.kind == ST_EMPTY)
    empty (c, 'I');
  else
    stmt_start (c);
}

static void
on_sync (conn_t *c)
{
  c->skip = false;
  if (c->tx == 'I' && !tx_end (c, true))
    pg_error (c, "25006", "this database is not the primary any more");
  c->skip = false;
  c->ext = false;
  ready (c);
}

static void
on_close (conn_t *c, str_t in)
{
  char what = in.n ? in.p[0] : 0;

  in.p++;
  in.n--;
  prep_drop (what == 'S' ? &c->prepared : &c->portals, get_cstr (&in));
  empty (c, '3');
}

static void
extended (conn_t *c, char type, str_t body)
{
  c->ext = true;
  if (type == 'S')
    on_sync (c);
  else if (c->skip)
    return;
  else if (type == 'P')
    on_parse (c, body);
  else if (type == 'B')
    on_bind (c, body);
  else if (type == 'D' && body.n)
    on_describe (c, body);
  else if (type == 'E')
    on_execute (c, body);
  else if (type == 'C' && body.n)
    on_close (c, body);
  else if (type != 'H')
    pg_error (c, "08P01", "unsupported message type %d", type);
}

/* ---- connections ---- */

static void
parameter (conn_t *c, const char *name, const char *v)
{
  size_t at = begin (&c->out, 'S');

  put_cstr (&c->out, str_of (name));
  put_cstr (&c->out, str_of (v));
  end (&c->out, at);
}

void
pg_welcome (conn_t *c)
{
  size_t at = begin (&c->out, 'R');

  put32 (&c->out, 0);
  end (&c->out, at);
  parameter (c, "server_version", "15.0");
  parameter (c, "server_encoding", "UTF8");
  parameter (c, "client_encoding", "UTF8");
  parameter (c, "DateStyle", "ISO, MDY");
  parameter (c, "TimeZone", "UTC");
  parameter (c, "integer_datetimes", "on");
  parameter (c, "standard_conforming_strings", "on");
  at = begin (&c->out, 'K');
  put32 (&c->out, c->pid);
  put32 (&c->out, c->secret);
  end (&c->out, at);
  ready (c);
}

static void
on_cancel (conn_t *c, str_t in)
{
  int64_t pid = get32 (&in);
  int64_t secret = get32 (&in);

  for (conn_t *o = c->sim->conns; o; o = o->next)
    if (o->kind == K_PG && !o->gone && o->pid == (uint32_t)pid
        && o->secret == (uint32_t)secret)
      stmt_cancel (o);
  conn_close (c);
}

static void
on_startup (conn_t *c, str_t in)
{
  sim_t *s = c->sim;

  while (in.n > 1)
    {
      str_t name = get_cstr (&in);
      str_t v = get_cstr (&in);
      if (str_eq (name, STR ("user")))
        c->control = str_eq (v, STR ("pimentopost_control"));
      if (str_eq (name, STR ("database")))
        c->fault = str_eq (v, STR ("ppdbsim"));
    }
  c->fault = c->fault && c->control;
  c->kind = K_PG;
  c->tx = 'I';
  c->pid = ++s->pids;
  c->secret = (uint32_t)rng_u64 (&s->rng);
  s->opened++;
  int free_for = c->control ? s->limit : s->limit - RESERVED;
  if (!c->fault && conn_count (s) > free_for)
    {
      pg_error (c, "53300", "sorry, too many clients already");
      c->eof = true;
      return;
    }
  c->wait = W_CONNECT;
  c->due = s->now + (c->fault ? 0 : s->connect_ms);
  if (c->due <= s->now)
    stmt_wake (c);
}

/* on_first: a connection's first message.  False when more bytes are
   needed.  */
static bool
on_first (conn_t *c)
{
  str_t in = buf_str (&c->in);
  int64_t n = get32 (&in);
  int64_t code = get32 (&in);

  if (n < 0 || code < 0)
    return false;
  if (n < 8 || n > IN_MAX)
    {
      conn_close (c);
      return false;
    }
  if ((int64_t)buf_len (&c->in) < n)
    return false;
  in.n = (size_t)n - 8;
  str_t body = str_dup (c->pool, in);
  buf_take (&c->in, (size_t)n);
  if (code == CODE_SSL || code == CODE_GSS)
    buf_add (&c->out, "N", 1);
  else if (code == CODE_CANCEL)
    on_cancel (c, body);
  else if (code == REPL_CODE)
    repl_accept (c);
  else if (code == CODE_V3)
    on_startup (c, body);
  else
    conn_close (c);
  return !c->gone && c->kind != K_REPLICA;
}

static bool
on_message (conn_t *c)
{
  if (buf_len (&c->in) < 5)
    return false;
  str_t in = buf_str (&c->in);
  char type = in.p[0];
  in.p++;
  in.n--;
  int64_t n = get32 (&in);
  if (n < 4 || n > IN_MAX)
    {
      conn_close (c);
      return false;
    }
  if (buf_len (&c->in) < (size_t)n + 1)
    return false;
  in.n = (size_t)n - 4;
  apr_pool_clear (c->pool);
  str_t body = str_dup (c->pool, in);
  buf_take (&c->in, (size_t)n + 1);
  if (type == 'X')
    conn_close (c);
  else if (type == 'Q')
    simple_query (c, body);
  else
    extended (c, type, body);
  return !c->gone;
}

void
pg_input (conn_t *c)
{
  /* A message that makes the session wait leaves the rest unread.  */
  while (!c->gone && c->wait == W_NONE
         && (c->kind == K_NEW ? on_first (c) : on_message (c)))
    ;
}
