#include "dbconn.h"

#include <stdlib.h>
#include <string.h>

/* Runs what the system sends to a stand-in database and checks it.  */

enum
{
  WORK = 3,  /* ms of a statement, at most */
  SLOW = 150 /* ms more of a slow one */
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
           (long long)db_number (c->db));
}

static void
fail (dbconn_t *c, const char *code)
{
  if (c->tx == 'T')
    c->tx = 'E';
  buf_fmt (&c->answer, "ERROR %s %s\r\n", code, c->db->id);
  dbconn_ready (c);
}

static void
done (dbconn_t *c)
{
  buf_adds (&c->answer, STR ("COMPLETE -\r\n"));
  dbconn_ready (c);
}

static void
sign (dbconn_t *c, ask_t *a)
{
  world_t *w = c->db->service->world;
  char *signature = a->answer[a->signed_runs % ANSWERS].signature;
  char *row = a->answer[a->signed_runs % ANSWERS].row;

  a->signed_runs++;
  snprintf (signature, sizeof a->answer[0].signature, "%s.%llx", c->db->id,
            (unsigned long long)rng_u64 (&w->rng));
  row[0] = '\0';
  if (a->reads)
    {
      snprintf (row, sizeof a->answer[0].row, "%llx",
                (unsigned long long)rng_u64 (&w->rng));
      buf_fmt (&c->answer, "ROW %s\r\n", row);
    }
  buf_fmt (&c->answer, "COMPLETE %s\r\n", signature);
  dbconn_ready (c);
}

static void
work (dbconn_t *c)
{
  const db_t *d = c->db;
  world_t *w = d->service->world;

  c->due = w->now + 1 + chance (w, WORK);
  if (d->slow > w->now)
    c->due += SLOW;
}

/* ---- checks ---- */

static bool
text_matches (const ask_t *a, const char *text)
{
  if (strncmp (a->text, "EXECUTE ", 8) != 0)
    return strcmp (a->text, text) == 0;
  const char *own = strchr (a->text + 8, ' ');
  const char *got
      = strncmp (text, "EXECUTE ", 8) ? NULL : strchr (text + 8, ' ');
  return own && got && strcmp (own, got) == 0;
}

static void
check_place (dbconn_t *c, const ask_t *a)
{
  world_t *w = c->db->service->world;
  attempt_t *t = a->attempt;

  if (a->service != c->db->service)
    finding (w, "ROUTE", "%s '%s' ran at %s of %s", a->id, a->text, c->db->id,
             c->db->service->name);
  if (!t->tx && c->owner)
    finding (w, "PINNED", "%s ran in another client's transaction", a->id);
  if (t->tx && t->conn == 0)
    {
      t->conn = c->serial;
      t->conn_tx = c->tx_serial;
      if (c->tx == 'I' || c->owner)
        finding (w, "PINNED", "%s '%s' ran outside its transaction", a->id,
                 a->text);
      c->owner = t;
    }
  else if (t->tx && (t->conn != c->serial || t->conn_tx != c->tx_serial))
    finding (w, "PINNED", "%s '%s' left the connection of its transaction",
             a->id, a->text);
  if (strcmp (a->text, "COMMIT") == 0)
    return;
  for (int i = 0; i < VALUES; i++)
    if (strcmp (c->values[i], a->values[i]) != 0)
      finding (w, "PINNED", "%s ran with v%d='%s', its session has '%s'",
               a->id, i, c->values[i], a->values[i]);
}

static void
check_age (dbconn_t *c, const ask_t *a)
{
  db_t *d = c->db;
  service_t *s = d->service;
  int64_t n = db_number (d);

  if (!position_holds (s, d->term, n, a->need))
    finding (s->world, "STALE",
             "%s '%s' read %s at %lld.%lld, needs %lld.%lld", a->id, a->text,
             d->id, (long long)d->term, (long long)n, (long long)a->need.term,
             (long long)a->need.number);
}

static void
check_leaving (const db_t *d, const ask_t *a)
{
  world_t *w = d->service->world;

  if (d->told_leave && w->now > d->told_leave + LEAVING_TIME
      && calm (w, w->now) && (!a->attempt->tx || a->attempt->conn == 0))
    finding (w, "DRAIN", "%s reached %s %lld ms after its leaving was known",
             a->id, d->id, (long long)(w->now - d->told_leave));
}

/* A write of A takes effect.  */
static void
kept (dbconn_t *c, attempt_t *t, const char *id)
{
  world_t *w = c->db->service->world;

  if (t->commits++ && service_kept (c->db->service, t->commit))
    finding (w, "TWICE", "%s took effect twice", id);
  if (t->promised)
    finding (w, "REFUSED", "%s was refused and takes effect", id);
  t->commit = (at_t){ c->db->term, db_commit (c->db) };
}

/* ---- statements ---- */

static void
reset (dbconn_t *c)
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
  snprintf (c->prepared[free_at].shape, NAME, "%s", sp + 1);
}

static const char *
shape_of (const dbconn_t *c, const char *text)
{
  const char *name = text + 8;
  size_t n = strcspn (name, " ");

  for (int i = 0; i < PREPARED; i++)
    if (strlen (c->prepared[i].name) == n
        && strncmp (c->prepared[i].name, name, n) == 0)
      return c->prepared[i].shape;
  return NULL;
}

static void
begin (dbconn_t *c, bool read_only)
{
  if (c->tx != 'I')
    fail (c, "MALFORMED");
  else if (!read_only && !db_leads (c->db))
    fail (c, "READONLY");
  else
    {
      c->tx = 'T';
      c->read_only = read_only;
      c->tx_serial = dbconn_serial ();
      c->owner = NULL;
      c->writes = 0;
      done (c);
    }
}

static void
run_commit (dbconn_t *c, ask_t *a)
{
  bool aborted = c->tx != 'T';

  if (aborted || (c->writes && !db_leads (c->db)))
    {
      end_tx (c);
      fail (c, aborted ? "ABORTED" : "READONLY");
      return;
    }
  check_place (c, a);
  if (c->writes)
    kept (c, a->attempt, a->id);
  end_tx (c);
  sign (c, a);
  work (c);
}

/* A read or a write of a client.  */
static void
run_data (dbconn_t *c, ask_t *a, const char *text)
{
  db_t *d = c->db;
  world_t *w = d->service->world;
  const char *shape = "";

  if (strncmp (text, "EXECUTE ", 8) == 0
      && (shape = shape_of (c, text)) == NULL)
    {
      fail (c, "NOSTMT");
      return;
    }
  bool needs_lead = !a->reads || (c->tx == 'T' && !c->read_only);
  if ((needs_lead && !db_leads (d))
      || (c->read_only && c->tx == 'T' && !a->reads))
    {
      fail (c, "READONLY");
      return;
    }
  a->runs++;
  if (strcmp (shape, a->shape) != 0)
    finding (w, "PINNED", "%s ran shape '%s', prepared was '%s'", a->id, shape,
             a->shape);
  check_place (c, a);
  check_leaving (d, a);
  if (a->reads)
    check_age (c, a);
  if (d->grey > w->now && chance (w, 3) == 0)
    {
      fail (c, "FAILED");
      return;
    }
  if (!a->reads && c->tx == 'T')
    c->writes++;
  else if (!a->reads)
    kept (c, a->attempt, a->id);
  sign (c, a);
  work (c);
}

static bool
is (const char *text, const char *verb)
{
  size_t n = strlen (verb);

  return strncmp (text, verb, n) == 0 && (text[n] == ' ' || text[n] == '\0');
}

/* Statements of the system's own, and those that it may answer itself.  */
static bool
run_own (dbconn_t *c, const char *text)
{
  db_t *d = c->db;

  if (is (text, "BEGIN"))
    begin (c, strcmp (text, "BEGIN READ") == 0);
  else if (is (text, "ROLLBACK"))
    {
      end_tx (c);
      done (c);
    }
  else if (is (text, "SET") || is (text, "PREPARE") || is (text, "DEALLOCATE")
           || is (text, "RESET"))
    {
      if (is (text, "SET"))
        set_value (c, text);
      else if (is (text, "PREPARE"))
        prepare (c, text);
      else if (is (text, "RESET"))
        reset (c);
      done (c);
    }
  else if (is (text, "STATUS") || is (text, "PAUSE") || is (text, "RESUME")
           || is (text, "DEMOTE"))
    {
      int64_t term = strtoll (text + strcspn (text, " "), NULL, 10);
      int64_t n = db_number (d);
      if (is (text, "PAUSE") && !db_leads (d) && term > d->service->term)
        d->held = term;
      else if (is (text, "RESUME"))
        d->held = 0;
      else if (is (text, "DEMOTE") && term > d->term)
        d->primary = d->primary && db_leads (d);
      buf_fmt (&c->answer, "ROW %s %lld %lld.%lld %lld %d 0 1\r\n",
               db_leads (d) ? "primary" : "replica", (long long)d->term,
               (long long)d->term, (long long)n, (long long)d->held, LAG);
      done (c);
    }
  else
    return false;
  return true;
}

/* The statement behind AFTER, or NULL when its position is missing.  */
static const char *
after (dbconn_t *c, const char *text)
{
  char *end;
  at_t pos;

  if (!is (text, "AFTER"))
    return text;
  pos.term = strtoll (text + 6, &end, 10);
  pos.number = strtoll (end + 1, &end, 10);
  int64_t n = db_number (c->db);
  return pos.number > n ? NULL : end + 1;
}

void
dbconn_query (dbconn_t *c, char *line)
{
  db_t *d = c->db;
  world_t *w = d->service->world;
  char *sp = strchr (line, ' ');
  const char *text = sp ? after (c, sp + 1) : "";

  if (sp)
    *sp = '\0';
  if (text == NULL)
    fail (c, "LAGGING");
  else if (c->tx == 'E' && !is (text, "ROLLBACK") && !is (text, "COMMIT"))
    fail (c, "MALFORMED");
  else if (!run_own (c, text))
    {
      ask_t *a = apr_hash_get (w->asks, line, APR_HASH_KEY_STRING);
      if (a == NULL || !text_matches (a, text))
        {
          finding (w, "UNASKED", "%s ran '%s' with id '%s'", d->id, text,
                   line);
          fail (c, "MALFORMED");
        }
      else if (is (text, "COMMIT"))
        run_commit (c, a);
      else
        run_data (c, a, text);
    }
}
