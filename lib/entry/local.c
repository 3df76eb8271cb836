#include "worker.h"

#include <string.h>

/* ---- answers in the simple and the extended protocol ---- */

static bool
has_columns (str_t msgs)
{
  return msgs.n && *msgs.p == 'T';
}

static void
add_types (buf_t *out, str_t msgs, const char *types)
{
  size_t off = 0;
  pgmsg_t m;

  while (pg_next (msgs, &off, PG_MAX_ANSWER, &m, NULL) == 1)
    if (strchr (types, m.type))
      pg_put_raw (out, m.type, m.body);
}

static void
describe (buf_t *out, const bmsg_t *b, str_t msgs)
{
  if (b->kind == 'S')
    {
      size_t at = pg_begin (out, 't');
      pg_put16 (out, b->stmt ? b->stmt->ntypes : 0);
      if (b->stmt)
        buf_adds (out, b->stmt->types);
      pg_end (out, at);
    }
  if (has_columns (msgs))
    add_types (out, msgs, "T");
  else
    pg_put_empty (out, 'n');
}

static void
answer_batch (const req_t *r, str_t msgs)
{
  buf_t *out = &r->s->out;

  for (int i = 0; i < r->nmsg; i++)
    switch (r->msg[i].type)
      {
      case 'P':
        pg_put_empty (out, '1');
        break;
      case 'B':
        pg_put_empty (out, '2');
        break;
      case 'C':
        pg_put_empty (out, '3');
        break;
      case 'D':
        describe (out, &r->msg[i], msgs);
        break;
      case 'E':
        add_types (out, msgs, "DCI");
        break;
      default:
        break;
      }
}

void
request_answer (req_t *r, str_t msgs)
{
  if (r->extended)
    answer_batch (r, msgs);
  else
    buf_adds (&r->s->out, msgs);
  request_end (r, r->s->block);
}

/* ---- statements answered without a database ---- */

static str_t
property_name (const req_t *r)
{
  str_t name = str_of (r->set_name);

  return (str_t){ name.p + 12, name.n - 12 }; /* after "pimentopost." */
}

static bool
show (req_t *r, buf_t *out)
{
  buf_t value = { 0 };
  const char *column = r->set_name;

  if (!props_show (r->s, property_name (r), &value))
    {
      buf_free (&value);
      request_refuse (r, PG_BAD_SETTING, "unknown property");
      return false;
    }
  str_t v = buf_str (&value);
  if (v.p == NULL)
    v = STR ("");
  pg_put_columns (out, &column, 1);
  pg_put_row (out, &v, 1);
  pg_put_complete (out, "SHOW");
  buf_free (&value);
  return true;
}

static bool
set (req_t *r, buf_t *out)
{
  err_t e = { 0 };

  if (!props_set (r->s, property_name (r), str_of (r->set_value),
                  r->set_default, &e))
    {
      request_refuse (r, PG_BAD_SETTING, e.detail);
      return false;
    }
  pg_put_complete (out, "SET");
  return true;
}

/* RESET name, RESET ALL and DISCARD.  */
static void
reset (req_t *r, buf_t *out)
{
  session_t *s = r->s;
  str_t name = str_of (r->set_name);
  bool discard
      = r->text.n && memmem (r->text.p, r->text.n, "DISCARD", 7) != NULL;

  if (!discard)
    discard = r->text.n && memmem (r->text.p, r->text.n, "discard", 7);
  if (str_starts (name, STR ("pimentopost.")))
    props_set (s, property_name (r), (str_t){ 0 }, true, NULL);
  else if (name.n && !str_eq (name, STR ("all")))
    guc_set (&s->guc, name, (str_t){ 0 }, true, NULL);
  else
    {
      guc_free (&s->guc);
      props_reset (s);
    }
  if (discard)
    stmt_names_free (&s->names, s->w->stmts);
  pg_put_complete (out, discard ? "DISCARD ALL" : "RESET");
}

void
local_answer (req_t *r)
{
  buf_t msgs = { 0 };
  bool ok = true;

  switch (r->plan.local)
    {
    case LOCAL_EMPTY:
      pg_put_empty (&msgs, 'I');
      break;
    case LOCAL_SET:
      ok = set (r, &msgs);
      break;
    case LOCAL_SHOW:
      ok = show (r, &msgs);
      break;
    case LOCAL_RESET:
      reset (r, &msgs);
      break;
    case LOCAL_ROLLBACK:
      pg_put_complete (&msgs, "ROLLBACK");
      r->s->block = BLOCK_NONE;
      break;
    }
  if (ok)
    request_answer (r, buf_str (&msgs));
  buf_free (&msgs);
}
