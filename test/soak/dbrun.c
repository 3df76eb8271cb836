#include "dbconn.h"

#include <stdlib.h>
#include <string.h>

/* Runs and checks the statements that a stand-in database receives.  */

enum
{
  WORK = 3,  /* ms, longest run of a statement */
  SLOW = 150 /* ms added while the database is slow */
};

static int64_t serials;

int64_t
dbconn_serial (void)
{
  return ++serials;
}

/* ---- answers ---- */

void
dbconn_ready (dbconn_t *c)
{
  buf_fmt (&c->answer, "READY %c %lld.%lld\r\n", c->tx, (long long)c->db->term,
           (long long)db_received (c->db));
}

static void
send_error (dbconn_t *c, const char *code)
{
  if (c->tx == 'T')
    c->tx = 'E';
  buf_fmt (&c->answer, "ERROR %s %s\r\n", code, c->db->id);
  dbconn_ready (c);
}

static void
send_complete (dbconn_t *c)
{
  buf_adds (&c->answer, STR ("COMPLETE -\r\n"));
  dbconn_ready (c);
}

static void
complete_run (dbconn_t *c, statement_t *q)
{
  world_t *w = c->db->service->world;
  char *tag = q->answer[q->answered_runs % ANSWERS].tag;
  char *row = q->answer[q->answered_runs % ANSWERS].row;

  q->answered_runs++;
  snprintf (tag, sizeof q->answer[0].tag, "%s.%llx", c->db->id,
            (unsigned long long)rng_u64 (&w->rng));
  row[0] = '\0';
  if (q->reads)
    {
      snprintf (row, sizeof q->answer[0].row, "%llx",
                (unsigned long long)rng_u64 (&w->rng));
      buf_fmt (&c->answer, "ROW %s\r\n", row);
    }
  buf_fmt (&c->answer, "COMPLETE %s\r\n", tag);
  dbconn_ready (c);
}

static void
set_due (dbconn_t *c)
{
  const db_t *d = c->db;
  world_t *w = d->service->world;

  c->due = w->now + 1 + rand_below (w, WORK);
  if (d->slow_until > w->now)
    c->due += SLOW;
}

/* ---- checks ---- */

static bool
text_matches (const statement_t *q, const char *text)
{
  if (strncmp (q->text, "EXECUTE ", 8) != 0)
    return strcmp (q->text, text) == 0;
  const char *own = strchr (q->text + 8, ' ');
  const char *got
      = strncmp (text, "EXECUTE ", 8) ? NULL : strchr (text + 8, ' ');
  return own && got && strcmp (own, got) == 0;
}

static void
check_session (dbconn_t *c, const statement_t *q)
{
  world_t *w = c->db->service->world;
  attempt_t *t = q->attempt;

  tenants_check_run (w, q, c->caller);
  if (q->service != c->db->service)
    finding (w, "ROUTE", "%s '%s' ran at %s of %s", q->id, q->text, c->db->id,
             c->db->service->name);
  if (!t->tx && c->owner)
    finding (w, "PINNED", "%s ran in another client's transaction", q->id);
  if (t->tx && t->conn == 0)
    {
      t->conn = c->serial;
      t->conn_tx = c->tx_serial;
      if (c->tx == 'I' || c->owner)
        finding (w, "PINNED", "%s '%s' ran outside its transaction", q->id,
                 q->text);
      c->owner = t;
    }
  else if (t->tx && (t->conn != c->serial || t->conn_tx != c->tx_serial))
    finding (w, "PINNED",
             "%s '%s' ran on another connection than its transaction", q->id,
             q->text);
  if (strcmp (q->text, "COMMIT") == 0)
    return;
  for (int i = 0; i < VALUES; i++)
    if (strcmp (c->values[i], q->values[i]) != 0)
      finding (w, "PINNED", "%s ran with v%d='%s', its session has '%s'",
               q->id, i, c->values[i], q->values[i]);
}

static void
check_staleness (dbconn_t *c, const statement_t *q)
{
  db_t *d = c->db;
  service_t *s = d->service;
  int64_t n = db_received (d);

  if (!position_holds (s, d->term, n, q->min_pos))
    finding (s->world, "STALE",
             "%s '%s' read %s at %lld.%lld, needs %lld.%lld", q->id, q->text,
             d->id, (long long)d->term, (long long)n,
             (long long)q->min_pos.term, (long long)q->min_pos.number);
}

static void
check_drain (const db_t *d, const statement_t *q)
{
  world_t *w = d->service->world;

  if (d->drain_acked && w->now > d->drain_acked + DRAIN_TIME
      && settled (w, w->now) && (!q->attempt->tx || q->attempt->conn == 0))
    finding (w, "DRAIN",
             "%s reached %s %lld ms after its draining was acknowledged",
             q->id, d->id, (long long)(w->now - d->drain_acked));
}

/* A write of the attempt T is committed.  */
static void
commit_write (dbconn_t *c, attempt_t *t, const char *id)
{
  world_t *w = c->db->service->world;

  if (t->commits++ && service_kept (c->db->service, t->commit))
    finding (w, "TWICE", "%s is committed twice", id);
  if (t->refused)
    finding (w, "REFUSED", "%s was refused and is committed", id);
  t->commit = (log_pos_t){ c->db->term, db_commit (c->db) };
  if (w->sync_replicas)
    c->commit = t->commit;
}

/* ---- statements ---- */

static void
reset_session (dbconn_t *c)
{
  memset (c->values, 0, sizeof c->values);
  memset (c->prepared, 0, sizeof c->prepared);
}

static void
end_tx (dbconn_t *c)
{
  c->tx = 'I';
  c->owner = NULL;
  c->writes = 0;
}

static void
set_value (dbconn_t *c, const char *text)
{
  int i = text[5] - '0';

  if (strncmp (text, "SET v", 5) == 0 && i >= 0 && i < VALUES)
    snprintf (c->values[i], NAME, "%s", text + 7);
}

static void
prepare (dbconn_t *c, const char *text)
{
  const char *name = text + 8;
  const char *sp = strchr (name, ' ');
  int free_at = -1;

  if (sp == NULL)
    return;
  for (int i = 0; i < PREPARED; i++)
    if (strlen (c->prepared[i].name) == (size_t)(sp - name)
        && strncmp (c->prepared[i].name, name, (size_t)(sp - name)) == 0)
      free_at = i;
  for (int i = 0; free_at < 0 && i < PREPARED; i++)
    if (c->prepared[i].name[0] == '\0')
      free_at = i;
  if (free_at < 0)
    return;
  snprintf (c->prepared[free_at].name, NAME, "%.*s", (int)(sp - name), name);
  snprintf (c->prepared[free_at].query, NAME, "%s", sp + 1);
}

static const char *
prepared_query (const dbconn_t *c, const char *text)
{
  const char *name = text + 8;
  size_t n = strcspn (name, " ");

  for (int i = 0; i < PREPARED; i++)
    if (strlen (c->prepared[i].name) == n
        && strncmp (c->prepared[i].name, name, n) == 0)
      return c->prepared[i].query;
  return NULL;
}

static void
begin (dbconn_t *c, bool read_only)
{
  if (c->tx != 'I')
    send_error (c, "MALFORMED");
  else if (!read_only && !db_is_primary (c->db))
    send_error (c, "READONLY");
  else
    {
      c->tx = 'T';
      c->read_only = read_only;
      c->tx_serial = dbconn_serial ();
      c->owner = NULL;
      c->writes = 0;
      send_complete (c);
    }
}

static void
run_commit (dbconn_t *c, statement_t *q)
{
  bool aborted = c->tx != 'T';

  if (aborted || (c->writes && !db_is_primary (c->db)))
    {
      end_tx (c);
      send_error (c, aborted ? "ABORTED" : "READONLY");
      return;
    }
  check_session (c, q);
  if (c->writes)
    commit_write (c, q->attempt, q->id);
  end_tx (c);
  complete_run (c, q);
  set_due (c);
}

/* A read or a write of a client.  */
static void
run_data (dbconn_t *c, statement_t *q, const char *text)
{
  db_t *d = c->db;
  world_t *w = d->service->world;
  const char *query = "";

  if (strncmp (text, "EXECUTE ", 8) == 0
      && (query = prepared_query (c, text)) == NULL)
    {
      send_error (c, "NOSTMT");
      return;
    }
  bool needs_primary = !q->reads || (c->tx == 'T' && !c->read_only);
  if ((needs_primary && !db_is_primary (d))
      || (c->read_only && c->tx == 'T' && !q->reads))
    {
      send_error (c, "READONLY");
      return;
    }
  q->runs++;
  if (strcmp (query, q->query) != 0)
    finding (w, "PINNED", "%s ran the prepared query '%s' instead of '%s'",
             q->id, query, q->query);
  check_session (c, q);
  check_drain (d, q);
  if (q->reads)
    check_staleness (c, q);
  if (d->failing_until > w->now && rand_below (w, 3) == 0)
    {
      send_error (c, "FAILED");
      return;
    }
  if (!q->reads && c->tx == 'T')
    c->writes++;
  else if (!q->reads)
    commit_write (c, q->attempt, q->id);
  complete_run (c, q);
  set_due (c);
}

static bool
is_verb (const char *text, const char *verb)
{
  size_t n = strlen (verb);

  return strncmp (text, verb, n) == 0 && (text[n] == ' ' || text[n] == '\0');
}

/* Commands of the proxy itself, and session statements that it may answer
   without a database.  */
static bool
run_internal (dbconn_t *c, const char *text)
{
  db_t *d = c->db;

  if (is_verb (text, "BEGIN"))
    begin (c, strcmp (text, "BEGIN READ") == 0);
  else if (is_verb (text, "ROLLBACK"))
    {
      end_tx (c);
      send_complete (c);
    }
  else if (is_verb (text, "SET") || is_verb (text, "PREPARE")
           || is_verb (text, "DEALLOCATE") || is_verb (text, "RESET"))
    {
      if (is_verb (text, "SET"))
        set_value (c, text);
      else if (is_verb (text, "PREPARE"))
        prepare (c, text);
      else if (is_verb (text, "RESET"))
        reset_session (c);
      send_complete (c);
    }
  else if (is_verb (text, "STATUS") || is_verb (text, "PAUSE")
           || is_verb (text, "RESUME") || is_verb (text, "DEMOTE"))
    {
      int64_t term = strtoll (text + strcspn (text, " "), NULL, 10);
      int64_t n = db_received (d);
      if (is_verb (text, "PAUSE") && !db_is_primary (d)
          && term > d->service->term)
        d->pause_term = term;
      else if (is_verb (text, "RESUME"))
        d->pause_term = 0;
      else if (is_verb (text, "DEMOTE") && term > d->term)
        d->primary = d->primary && db_is_primary (d);
      buf_fmt (&c->answer, "ROW %s %lld %lld.%lld %lld %d 0 1\r\n",
               db_is_primary (d) ? "primary" : "replica", (long long)d->term,
               (long long)d->term, (long long)n, (long long)d->pause_term,
               LAG);
      send_complete (c);
    }
  else
    return false;
  return true;
}

/* The statement that follows "AFTER position", or NULL when the database has
   not received that position.  */
static const char *
strip_after (dbconn_t *c, const char *text)
{
  char *end;
  log_pos_t pos;

  if (!is_verb (text, "AFTER"))
    return text;
  pos.term = strtoll (text + 6, &end, 10);
  pos.number = strtoll (end + 1, &end, 10);
  int64_t n = db_received (c->db);
  return pos.number > n ? NULL : end + 1;
}

void
dbconn_query (dbconn_t *c, char *line)
{
  db_t *d = c->db;
  world_t *w = d->service->world;
  char *sp = strchr (line, ' ');
  const char *text = sp ? strip_after (c, sp + 1) : "";

  if (sp)
    *sp = '\0';
  if (text == NULL)
    send_error (c, "LAGGING");
  else if (c->tx == 'E' && !is_verb (text, "ROLLBACK")
           && !is_verb (text, "COMMIT"))
    send_error (c, "MALFORMED");
  else if (!run_internal (c, text))
    {
      statement_t *q = apr_hash_get (w->statements, line, APR_HASH_KEY_STRING);
      if (q == NULL || !text_matches (q, text))
        {
          finding (w, "UNASKED", "%s ran '%s' with id '%s'", d->id, text,
                   line);
          send_error (c, "MALFORMED");
        }
      else if (is_verb (text, "COMMIT"))
        run_commit (c, q);
      else
        run_data (c, q, text);
    }
}
