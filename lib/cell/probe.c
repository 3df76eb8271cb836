#include "local.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

static void probe_open (void *arg);
static void probe_input (void *arg);
static void probe_closed (void *arg, err_t *e);
static const stream_ops_t probe_ops
    = { probe_open, probe_input, probe_closed };

enum
{
  BUSY_RETRY = 40 /* ms until a busy database is asked again */
};

enum
{
  EXPECT_STARTUP,
  EXPECT_BEGIN,
  EXPECT_ROLLBACK,
  EXPECT_STATUS,
  EXPECT_PAUSE,
  EXPECT_RESUME
};

static void
expect (dbprobe_t *p, int kind)
{
  if (p->nexpected < (int)sizeof p->expected)
    p->expected[p->nexpected++] = (uint8_t)kind;
}

/* ms between probes of one primary.  */
static msec_t
probe_interval (const cell_t *c)
{
  msec_t t = (msec_t)c->nprimary * 1000 / PROBES_PER_SECOND;

  return t > PROBE_INTERVAL ? t : PROBE_INTERVAL;
}

/* Records the result of the request in progress.  */
static void
report (dbprobe_t *p, bool ok, bool refused)
{
  cell_t *c = p->cell;
  takeover_t *t = p->takeover;
  msec_t sent = p->request_at >= 0 ? p->request_at : c->now;

  p->request_at = -1;
  p->next_at = c->now + (ok ? probe_interval (c) : PROBE_INTERVAL);
  if (t)
    takeover_probe (t, str_of (p->id), ok, refused, sent, c->now);
}

static void
disconnect (dbprobe_t *p)
{
  if (p->stream)
    stream_close (p->stream);
  p->stream = NULL;
  p->ready = false;
  p->nexpected = 0;
}

static void
probe_open (void *arg)
{
  (void)arg;
}

static void
probe_closed (void *arg, err_t *e)
{
  dbprobe_t *p = arg;

  p->cell->now = loop_now (p->cell->loop);
  p->stream = NULL;
  p->ready = false;
  p->nexpected = 0;
  report (p, false, e->code != ERR_TIMEOUT);
  p->next_at = p->cell->now + REDIAL_INTERVAL;
}

/* ---- requests ---- */

static void
dial (dbprobe_t *p)
{
  cell_t *c = p->cell;
  err_t e = { 0 };

  p->dialled_at = p->request_at = c->now;
  p->stream = stream_dial (c->loop, str_of (p->address), PEER_TIMEOUT * 3,
                           &probe_ops, p, &e);
  if (p->stream == NULL)
    {
      report (p, false, true);
      return;
    }
  expect (p, EXPECT_STARTUP);
  c->conf.db->startup (stream_out (p->stream), str_of (p->service),
                       c->conf.name, str_of (p->id));
}

static void
send_request (dbprobe_t *p)
{
  cell_t *c = p->cell;
  buf_t *out = stream_out (p->stream);
  op_t begin = { .kind = OP_BEGIN };
  op_t end = { .kind = OP_ROLLBACK };

  p->request_at = c->now;
  switch (p->ask)
    {
    case ASK_STATUS:
      expect (p, EXPECT_STATUS);
      c->conf.db->status (out);
      break;
    case ASK_PAUSE:
      expect (p, EXPECT_PAUSE);
      c->conf.db->pause (out, p->pause_term);
      break;
    case ASK_RESUME:
      expect (p, EXPECT_RESUME);
      c->conf.db->resume (out);
      break;
    case ASK_NOTHING:
      expect (p, EXPECT_BEGIN);
      c->conf.db->op (out, &begin, (str_t){ 0 }, (pos_t){ 0 });
      expect (p, EXPECT_ROLLBACK);
      c->conf.db->op (out, &end, (str_t){ 0 }, (pos_t){ 0 });
      break;
    }
  stream_flush (p->stream);
}

/* ---- responses ---- */

/* The answer to ASK; false when it was asked something else since.  */
static bool
answered (dbprobe_t *p, ask_t ask)
{
  if (p->ask != ask || p->takeover == NULL)
    return false;
  p->ask = ASK_NOTHING;
  return true;
}

/* A busy database runs no PAUSE and is asked again.  */
static void
pause_answered (dbprobe_t *p)
{
  takeover_t *t = p->takeover;

  if (p->fail == FAIL_BUSY)
    {
      p->next_at = p->cell->now + BUSY_RETRY;
      return;
    }
  if (!answered (p, ASK_PAUSE))
    return;
  if (p->fail == FAIL_NONE && p->row && p->status.held >= p->pause_term)
    takeover_paused (t, str_of (p->id), p->pause_term, p->status.received);
  else
    {
      log_event (EV_PAUSE_REFUSED, "service=%s database=%s term=%lld cause=%s",
                 p->service, p->id, (long long)p->pause_term,
                 p->fail ? fail_name (p->fail) : "not-held");
      takeover_unpausable (t);
    }
}

static void
response (dbprobe_t *p, int kind, const db_msg_t *m)
{
  /* Any response shows that the database runs, also an error because it is not
     the primary.  */
  if (kind != EXPECT_ROLLBACK)
    report (p, true, false);
  if (kind == EXPECT_STARTUP)
    {
      p->ready = true;
      p->next_at = p->cell->now;
    }
  /* A busy database reports its position as well.  */
  else if (kind == EXPECT_STATUS && answered (p, ASK_STATUS))
    takeover_position (p->takeover, str_of (p->id),
                       p->row ? p->status.received : m->pos);
  else if (kind == EXPECT_PAUSE)
    pause_answered (p);
  else if (kind == EXPECT_RESUME && p->fail == FAIL_BUSY)
    p->next_at = p->cell->now + BUSY_RETRY;
  else if (kind == EXPECT_RESUME)
    answered (p, ASK_RESUME);
  p->row = false;
  p->fail = FAIL_NONE;
}

static void
receive (dbprobe_t *p, const db_msg_t *m)
{
  if (m->kind == DB_ROW)
    p->row |= p->cell->conf.db->status_row (m->text, &p->status);
  else if (m->kind == DB_ERROR)
    p->fail = m->fail;
  else if (m->kind == DB_READY && p->nexpected)
    {
      int kind = p->expected[0];
      memmove (p->expected, p->expected + 1, (size_t)--p->nexpected);
      response (p, kind, m);
    }
}

static void
probe_input (void *arg)
{
  dbprobe_t *p = arg;
  db_msg_t m;
  size_t used;
  int got;

  p->cell->now = loop_now (p->cell->loop);
  while ((got = p->cell->conf.db->decode (buf_str (stream_in (p->stream)),
                                          &used, &m))
         > 0)
    {
      receive (p, &m);
      buf_take (stream_in (p->stream), used);
      if (p->nexpected && p->expected[0] == EXPECT_STARTUP && p->fail)
        got = -1;
      if (got < 0)
        break;
    }
  if (got < 0)
    {
      /* The server runs, but is not this database or has no free connection.
       */
      disconnect (p);
      report (p, p->fail == FAIL_TOOMANY, true);
      p->next_at = p->cell->now + PROBE_INTERVAL;
      p->fail = FAIL_NONE;
    }
}

/* ---- databases to probe ---- */

static dbprobe_t *
find (const cell_t *c, str_t id)
{
  return apr_hash_get (c->probe_by_id, id.p, (apr_ssize_t)id.n);
}

static void
add (cell_t *c, const server_t *s)
{
  dbprobe_t *p = calloc (1, sizeof *p);

  if (p == NULL)
    abort ();
  p->cell = c;
  p->request_at = -1;
  p->takeover = takeover_of (c, str_of (s->service));
  p->incarnation = s->incarnation;
  memcpy (p->id, s->id, sizeof p->id);
  memcpy (p->service, s->service, sizeof p->service);
  memcpy (p->address, s->address, sizeof p->address);
  p->next = c->probes;
  c->probes = p;
  apr_hash_set (c->probe_by_id, p->id, (apr_ssize_t)strlen (p->id), p);
}

static void
remove_probe (cell_t *c, dbprobe_t *p)
{
  dbprobe_t **at = &c->probes;

  while (*at != p)
    at = &(*at)->next;
  *at = p->next;
  apr_hash_set (c->probe_by_id, p->id, (apr_ssize_t)strlen (p->id), NULL);
  disconnect (p);
  free (p);
}

static bool
is_current (cell_t *c, const dbprobe_t *p)
{
  const server_t *s = roster_find (&c->roster, str_of (p->id));

  return s && !s->gone && s->incarnation == p->incarnation
         && strcmp (s->address, p->address) == 0;
}

/* Adds and removes probes after changes of the roster.  */
static void
follow_roster (cell_t *c)
{
  int64_t followed = c->probed_revision;
  dbprobe_t *next;

  c->probed_revision = c->roster.revision;
  for (dbprobe_t *p = c->probes; p; p = next)
    {
      next = p->next;
      if (!is_current (c, p))
        remove_probe (c, p);
    }
  for (size_t i = 0; i < c->roster.n; i++)
    {
      const server_t *s = &c->roster.at[i];
      if (s->changed > followed && !s->gone
          && find (c, str_of (s->id)) == NULL)
        add (c, s);
    }
}

void
probe_now (cell_t *c, str_t id)
{
  dbprobe_t *p = find (c, id);

  if (p && p->is_primary)
    p->next_at = c->now;
}

void
probe_ask (cell_t *c, const char *service, ask_t ask, int64_t term)
{
  const takeover_t *t = takeover_of (c, str_of (service));

  for (dbprobe_t *p = c->probes; p; p = p->next)
    if (strcmp (p->service, service) == 0
        && (t == NULL || strcmp (p->id, t->primary) != 0))
      {
        p->ask = ask;
        p->pause_term = term;
        p->next_at = c->now;
      }
}

/* A primary that answers entry instances needs no probe.  */
static bool
is_due (const dbprobe_t *p)
{
  const cell_t *c = p->cell;
  const takeover_t *t = p->takeover;

  if (p->ask || t == NULL || t->fail_since >= 0)
    return c->now >= p->next_at;
  return c->now >= p->next_at
         && c->now - t->reported_ok_at >= probe_interval (c);
}

static void
tick_one (dbprobe_t *p)
{
  cell_t *c = p->cell;
  bool needed = p->is_primary || p->ask;

  if (p->request_at >= 0 && c->now - p->request_at >= PROBE_TIMEOUT)
    {
      disconnect (p);
      report (p, false, false);
      p->next_at = c->now;
    }
  if (!needed || p->request_at >= 0 || !is_due (p))
    return;
  if (p->stream == NULL)
    dial (p);
  else if (p->ready)
    send_request (p);
}

void
probes_tick (cell_t *c)
{
  int n = 0;

  if (c->probed_revision != c->roster.revision)
    follow_roster (c);
  for (dbprobe_t *p = c->probes; p; p = p->next)
    {
      const takeover_t *t = p->takeover;
      p->is_primary = t && strcmp (t->primary, p->id) == 0;
      n += p->is_primary;
      tick_one (p);
    }
  c->nprimary = n;
}

void
probes_stop (cell_t *c)
{
  c->probed_revision = -1;
  while (c->probes)
    remove_probe (c, c->probes);
}
