#include "worker.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

static bool
refuse (session_t *s, pgrefusal_t r, const char *why)
{
  session_fatal (s, r, why);
  return false;
}

/* A setting from the startup message or its options.  */
static bool
apply_setting (session_t *s, str_t name, str_t value)
{
  err_t e = { 0 };

  if (str_starts (name, STR ("pimentopost.")))
    {
      str_t prop = { name.p + 12, name.n - 12 };
      return props_set (s, prop, value, false, &e)
             || refuse (s, PG_BAD_SETTING, e.detail);
    }
  /* The application's name is informative only and not worth a SET on every
     connection.  UTF8 is the default encoding of connections.  */
  if (str_caseeq (name, STR ("application_name"))
      || str_caseeq (name, STR ("fallback_application_name"))
      || (str_caseeq (name, STR ("client_encoding"))
          && (str_caseeq (value, STR ("UTF8"))
              || str_caseeq (value, STR ("'utf-8'"))
              || str_caseeq (value, STR ("utf-8")))))
    return true;
  return guc_set (&s->guc, name, value, false, &e)
         || refuse (s, PG_TOO_LARGE, e.detail);
}

/* Options in the form "-c name=value" or "--name=value".  */
static bool
apply_options (session_t *s, str_t o)
{
  while (o.n)
    {
      size_t n = 0;
      while (n < o.n && o.p[n] != ' ')
        n++;
      str_t word = { o.p, n };
      o = n < o.n ? (str_t){ o.p + n + 1, o.n - n - 1 } : (str_t){ 0 };
      if (word.n == 0 || str_eq (word, STR ("-c")))
        continue;
      if (str_starts (word, STR ("--")) || str_starts (word, STR ("-c")))
        word = (str_t){ word.p + 2, word.n - 2 };
      const char *eq = memchr (word.p, '=', word.n);
      if (eq == NULL)
        return refuse (s, PG_BAD_SETTING, "options must be -c name=value");
      size_t k = (size_t)(eq - word.p);
      if (!apply_setting (s, (str_t){ word.p, k },
                          (str_t){ word.p + k + 1, word.n - k - 1 }))
        return false;
    }
  return true;
}

static bool
apply_settings (session_t *s, const pgstart_t *m)
{
  for (int i = 0; i < m->n; i++)
    {
      str_t name = m->param[i].name;
      if (str_eq (name, STR ("user")) || str_eq (name, STR ("database"))
          || str_starts (name, STR ("_pq_.")))
        continue;
      bool ok = str_eq (name, STR ("options"))
                    ? apply_options (s, m->param[i].value)
                    : apply_setting (s, name, m->param[i].value);
      if (!ok)
        return false;
    }
  return true;
}

static void
send_startup_reply (session_t *s, int minor)
{
  static const char *const status[][2] = {
    { "server_version", "15.0 (pimentopost)" },
    { "server_encoding", "UTF8" },
    { "client_encoding", "UTF8" },
    { "DateStyle", "ISO, MDY" },
    { "IntervalStyle", "postgres" },
    { "TimeZone", "UTC" },
    { "integer_datetimes", "on" },
    { "standard_conforming_strings", "on" },
    { "is_superuser", "off" },
  };

  if (minor > 0)
    pg_put_version (&s->out, 0);
  pg_put_auth_ok (&s->out);
  for (size_t i = 0; i < sizeof status / sizeof *status; i++)
    pg_put_status (&s->out, str_of (status[i][0]), str_of (status[i][1]));
  pg_put_key (&s->out, s->pid, s->secret);
  pg_put_ready (&s->out, s->block);
  session_flush_later (s);
}

static bool
start_session (session_t *s, const pgstart_t *m)
{
  worker_t *w = s->w;
  str_t db = m->database.n ? m->database : m->user;

  if (m->user.n == 0)
    return refuse (s, PG_NO_USER, "");
  snprintf (s->user, sizeof s->user, STR_FMT, STR_ARG (m->user));
  s->admin = str_eq (db, STR ("pimentopost"));
  if (!s->admin && w->drain_since && w->now >= w->drain_since + DRAIN_GRACE)
    return refuse (s, PG_SHUTDOWN, "");
  if (!s->admin && !view_has_group (w->view, db)
      && (w->cfg == NULL || config_group (w->cfg, db) == NULL))
    return w->cfg ? refuse (s, PG_NO_GROUP, "")
                  : refuse (s, PG_NO_PRIMARY, "no configuration yet");
  if (!s->admin)
    s->group = group_get (w, db);
  if (!apply_settings (s, m))
    return false;
  s->state = S_OPEN;
  /* One ms later than now: a position sampled in the same millisecond may
     have been read before the client connected.  */
  s->began = msec_now () + 1;
  send_startup_reply (s, m->minor);
  return true;
}

bool
startup_message (session_t *s, const pgstart_t *m)
{
  switch (m->kind)
    {
    case PG_START_SSL:
    case PG_START_GSSENC:
      /* Bytes that arrive before the answer may have been injected by a man
         in the middle.  */
      if (buf_len (&s->in) > m->size)
        return refuse (s, PG_MALFORMED, "bytes after an encryption request");
      buf_add (&s->out, "N", 1);
      session_flush_later (s);
      return true;
    case PG_START_CANCEL:
      session_cancel (s->w, m->pid, m->secret);
      session_close (s);
      return false;
    default:
      return start_session (s, m);
    }
}

static session_t *
find_session (worker_t *w, uint32_t pid, uint32_t secret)
{
  for (session_t *s = w->sessions; s; s = s->next)
    if (s->pid == pid && s->secret == secret)
      return s;
  return NULL;
}

static void
cancel_request (req_t *r)
{
  if (r->state == R_RUN)
    conn_cancel (r->conn);
  else
    request_refuse (r, PG_CANCELED, "");
}

void
session_cancel (worker_t *w, uint32_t pid, uint32_t secret)
{
  int index = (int)(pid >> 24);

  if (index != w->index)
    {
      inbox_msg_t *m = index < w->in->nworkers ? calloc (1, sizeof *m) : NULL;
      if (m == NULL)
        return;
      *m = (inbox_msg_t){ .cancel = true, .pid = pid, .secret = secret };
      if (!ring_put (w->in->worker[index]->inbox, m, NULL))
        free (m);
      return;
    }
  session_t *s = find_session (w, pid, secret);
  counter_add (w->stats.cancels, 1);
  if (s && s->req)
    cancel_request (s->req);
}
