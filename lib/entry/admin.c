#include "worker.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

enum
{
  COLUMNS = 10, /* of a table, at most */
  CELL = 64     /* bytes of a number or name; longer ones are cut */
};

/* A row of a table; numbers and short strings are formatted into CELL.  */
typedef struct
{
  char cell[COLUMNS][CELL];
  str_t v[COLUMNS];
  int n;
} row_t;

static void
add_str (row_t *r, str_t s)
{
  int n = snprintf (r->cell[r->n], CELL, STR_FMT, STR_ARG (s));

  r->v[r->n] = (str_t){ r->cell[r->n], (size_t)(n < CELL ? n : CELL - 1) };
  r->n++;
}

static void
add_num (row_t *r, int64_t v)
{
  int n = snprintf (r->cell[r->n], CELL, "%lld", (long long)v);

  r->v[r->n] = (str_t){ r->cell[r->n], (size_t)n };
  r->n++;
}

static void
put_row (buf_t *out, const row_t *r)
{
  pg_put_row (out, r->v, r->n);
}

static void
show_pools (worker_t *w, buf_t *out)
{
  static const char *const names[]
      = { "database", "address", "open",     "idle",   "busy",
          "limit",    "waiting", "admitted", "learned" };

  pg_put_columns (out, names, 9);
  for (dbpool_t *d = w->dbs; d; d = d->next)
    {
      row_t r = { .n = 0 };
      admit_state_t a = admit_state (d->admit);
      add_str (&r, d->name);
      add_str (&r, d->address);
      add_num (&r, d->pool.open);
      add_num (&r, d->pool.idle);
      add_num (&r, d->pool.busy);
      add_num (&r, d->pool.limit);
      add_num (&r, a.waiting + d->nwaiting);
      add_num (&r, a.running);
      add_num (&r, (int64_t)a.limit);
      put_row (out, &r);
    }
}

static str_t
state_name (int64_t state)
{
  static const char *const names[]
      = { "active", "leaving", "stale", "expired" };

  return state >= 0 && state < 4 ? str_of (names[state]) : STR ("unknown");
}

static void
show_databases (worker_t *w, buf_t *out)
{
  static const char *const names[]
      = { "group", "database", "address", "availability_zone", "state",
          "term",  "position", "lag_ms",  "failures" };
  db_t *d;

  pg_put_columns (out, names, 9);
  for (size_t i = 0; (d = view_db_at (w->view, i)) != NULL; i++)
    {
      row_t r = { .n = 0 };
      add_str (&r, d->group);
      add_str (&r, d->name);
      add_str (&r, d->address);
      add_str (&r, d->zone);
      add_str (&r, state_name (d->state));
      add_num (&r, d->term);
      add_num (&r, d->pos);
      add_num (&r, (int64_t)d->lag);
      add_num (&r, d->failures);
      put_row (out, &r);
    }
}

static void
show_leases (worker_t *w, buf_t *out)
{
  static const char *const names[] = { "group", "primary", "term", "held" };

  pg_put_columns (out, names, 4);
  for (size_t i = 0; w->cfg && i < w->cfg->ngroups; i++)
    {
      row_t r = { .n = 0 };
      int64_t term = 0;
      str_t group = w->cfg->groups[i].name;
      const db_t *d = view_primary (w->view, group, w->now, &term);
      add_str (&r, group);
      add_str (&r, d ? d->name : STR (""));
      add_num (&r, term);
      add_str (&r, d ? STR ("t") : STR ("f"));
      put_row (out, &r);
    }
}

static void
show_sessions (worker_t *w, buf_t *out)
{
  enum
  {
    LISTED_MAX = 1000 /* sessions */
  };
  static const char *const names[]
      = { "id", "user", "group", "block", "token", "waits" };
  /* By req_state_t.  */
  static const char *const waits[]
      = { "start", "barrier", "later", "admission", "connection", "database" };
  int n = 0;

  pg_put_columns (out, names, 6);
  for (session_t *s = w->sessions; s && n < LISTED_MAX; s = s->next, n++)
    {
      row_t r = { .n = 0 };
      char token[48];
      add_num (&r, s->pid);
      add_str (&r, str_of (s->user));
      add_str (&r, s->group ? s->group->name : STR ("pimentopost"));
      add_str (&r, (str_t){ &s->block, 1 });
      add_str (&r, (str_t){ token, token_format (s->token, token) });
      add_str (&r, s->req ? str_of (waits[s->req->state]) : STR (""));
      put_row (out, &r);
    }
}

static void
show_config (worker_t *w, buf_t *out)
{
  static const char *const names[]
      = { "version", "raft_term", "index", "confirmed", "team", "text" };
  row_t r = { .n = 0 };
  apr_pool_t *pool;

  pg_put_columns (out, names, 6);
  if (w->cfg == NULL)
    return;
  apr_pool_create (&pool, w->pool);
  add_num (&r, w->cfg_version);
  add_num (&r, w->cfg_term);
  add_num (&r, w->cfg_index);
  add_str (&r, w->cfg_confirmed ? STR ("t") : STR ("f"));
  add_str (&r, w->cfg->team);
  r.v[r.n++] = config_text (pool, w->cfg);
  put_row (out, &r);
  apr_pool_destroy (pool);
}

static void
copy_name (char *to, size_t size, str_t from)
{
  snprintf (to, size, STR_FMT, STR_ARG (from));
}

static void
announce (session_t *s, const announce_t *a)
{
  worker_t *w = s->w;
  report_t *r = calloc (1, sizeof *r);

  if (r == NULL)
    abort ();
  r->announce = true;
  copy_name (r->group, sizeof r->group, a->group);
  copy_name (r->name, sizeof r->name, a->name);
  copy_name (r->address, sizeof r->address, a->address);
  copy_name (r->zone, sizeof r->zone, a->zone);
  r->term = a->term;
  r->position = a->position;
  r->leaving = a->leaving;
  r->when = w->now;
  if (ring_put (w->in->reports, r, NULL))
    {
      pg_put_complete (&s->out, "ANNOUNCE");
      return;
    }
  free (r);
  pg_put_refusal (&s->out, PG_OVERLOAD, false, "too many announcements");
}

static void
run_statement (session_t *s, admin_kind_t kind, const announce_t *a,
               const err_t *e)
{
  worker_t *w = s->w;

  switch (kind)
    {
    case ADMIN_ERROR:
      pg_put_error (&s->out, "ERROR", "42601", str_of (e->detail),
                    STR ("not run"));
      return;
    case ADMIN_EMPTY:
      pg_put_empty (&s->out, 'I');
      return;
    case ADMIN_ANNOUNCE:
      announce (s, a);
      return;
    case ADMIN_POOLS:
      show_pools (w, &s->out);
      break;
    case ADMIN_DATABASES:
      show_databases (w, &s->out);
      break;
    case ADMIN_LEASES:
      show_leases (w, &s->out);
      break;
    case ADMIN_SESSIONS:
      show_sessions (w, &s->out);
      break;
    case ADMIN_CONFIG:
      show_config (w, &s->out);
      break;
    }
  pg_put_complete (&s->out, "SHOW");
}

void
admin_query (session_t *s, str_t text)
{
  announce_t a;
  err_t e = { 0 };

  run_statement (s, admin_parse (text, &a, &e), &a, &e);
  pg_put_ready (&s->out, 'I');
  session_flush_later (s);
}
