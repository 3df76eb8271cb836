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
  WANT_START,
  WANT_BEGIN,
  WANT_END,
  WANT_STATUS
};

static void
expect (dbprobe_t *p, int what)
{
  if (p->nwant < (int)sizeof p->want)
    p->want[p->nwant++] = (uint8_t)what;
}

/* What the question under way has shown.  */
static void
outcome (dbprobe_t *p, bool ok, bool refused)
{
  cell_t *c = p->cell;
  takeover_t *t = takeover_of (c, str_of (p->service));
  msec_t sent = p->asked >= 0 ? p->asked : c->now;

  p->asked = -1;
  p->next_at = c->now + PROBE_EVERY;
  if (t)
    takeover_probe (t, str_of (p->id), ok, refused, sent, c->now);
}

static void
hang_up (dbprobe_t *p)
{
  if (p->stream)
    stream_close (p->stream);
  p->stream = NULL;
  p->up = false;
  p->nwant = 0;
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
  p->up = false;
  p->nwant = 0;
  outcome (p, false, e->code != ERR_TIMEOUT);
  p->next_at = p->cell->now + REDIAL;
}

/* ---- questions ---- */

static void
dial (dbprobe_t *p)
{
  cell_t *c = p->cell;
  err_t e = { 0 };

  p->dialled = p->asked = c->now;
  p->stream = stream_dial (c->loop, str_of (p->address), PEER_SILENT * 3,
                           &probe_ops, p, &e);
  if (p->stream == NULL)
    {
      outcome (p, false, true);
      return;
    }
  expect (p, WANT_START);
  c->conf.db->startup (stream_out (p->stream), str_of (p->service),
                       c->conf.name, str_of (p->id));
}

static void
ask (dbprobe_t *p)
{
  cell_t *c = p->cell;
  buf_t *out = stream_out (p->stream);
  op_t begin = { .kind = OP_BEGIN };
  op_t end = { .kind = OP_ROLLBACK };

  p->asked = c->now;
  if (p->survey)
    {
      expect (p, WANT_STATUS);
      c->conf.db->status (out);
    }
  else
    {
      expect (p, WANT_BEGIN);
      c->conf.db->op (out, &begin, (str_t){ 0 }, (pos_t){ 0 });
      expect (p, WANT_END);
      c->conf.db->op (out, &end, (str_t){ 0 }, (pos_t){ 0 });
    }
  stream_flush (p->stream);
}

/* ---- answers ---- */

static void
position (dbprobe_t *p, pos_t pos)
{
  takeover_t *t = takeover_of (p->cell, str_of (p->service));

  p->survey = false;
  if (t)
    takeover_position (t, str_of (p->id), pos);
}

static void
answered (dbprobe_t *p, int what, const db_msg_t *m)
{
  if (what == WANT_START)
    {
      p->up = true;
      outcome (p, true, false);
      p->next_at = p->cell->now;
    }
  /* Any answer, also that it does not lead, shows that it lives.  */
  else if (what == WANT_BEGIN)
    outcome (p, true, false);
  else if (what == WANT_STATUS)
    {
      outcome (p, true, false);
      /* A busy database still tells its position.  */
      position (p, p->row ? p->status.received : m->pos);
    }
  p->row = false;
  p->fail = FAIL_NONE;
}

static void
take (dbprobe_t *p, const db_msg_t *m)
{
  if (m->kind == DB_ROW)
    p->row |= p->cell->conf.db->status_row (m->text, &p->status);
  else if (m->kind == DB_ERROR)
    p->fail = m->fail;
  else if (m->kind == DB_READY && p->nwant)
    {
      int what = p->want[0];
      memmove (p->want, p->want + 1, (size_t)--p->nwant);
      answered (p, what, m);
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
      take (p, &m);
      buf_take (stream_in (p->stream), used);
      if (p->nwant && p->want[0] == WANT_START && p->fail)
        got = -1;
      if (got < 0)
        break;
    }
  if (got < 0)
    {
      /* It lives, but this is not the database, or it has no room.  */
      hang_up (p);
      outcome (p, p->fail == FAIL_TOOMANY, true);
      p->next_at = p->cell->now + PROBE_EVERY;
      p->fail = FAIL_NONE;
    }
}

/* ---- which databases ---- */

static dbprobe_t *
find (cell_t *c, const char *id)
{
  dbprobe_t *p = c->probes;

  while (p && strcmp (p->id, id) != 0)
    p = p->next;
  return p;
}

static void
add (cell_t *c, const server_t *s)
{
  dbprobe_t *p = calloc (1, sizeof *p);

  if (p == NULL)
    abort ();
  p->cell = c;
  p->asked = -1;
  p->born = s->born;
  memcpy (p->id, s->id, sizeof p->id);
  memcpy (p->service, s->service, sizeof p->service);
  memcpy (p->address, s->address, sizeof p->address);
  p->next = c->probes;
  c->probes = p;
}

static void
remove_probe (cell_t *c, dbprobe_t *p)
{
  dbprobe_t **at = &c->probes;

  while (*at != p)
    at = &(*at)->next;
  *at = p->next;
  hang_up (p);
  free (p);
}

static void
match_roster (cell_t *c)
{
  dbprobe_t *next;

  for (dbprobe_t *p = c->probes; p; p = next)
    {
      const server_t *s = roster_find (&c->roster, str_of (p->id));
      next = p->next;
      if (s == NULL || s->gone || s->born != p->born
          || strcmp (s->address, p->address) != 0)
        remove_probe (c, p);
    }
  for (size_t i = 0; i < c->roster.n; i++)
    if (!c->roster.at[i].gone && find (c, c->roster.at[i].id) == NULL)
      add (c, &c->roster.at[i]);
}

void
probe_survey (cell_t *c, const char *service)
{
  const takeover_t *t = takeover_of (c, str_of (service));

  for (dbprobe_t *p = c->probes; p; p = p->next)
    if (strcmp (p->service, service) == 0
        && (t == NULL || strcmp (p->id, t->primary) != 0))
      {
        p->survey = true;
        p->next_at = c->now;
      }
}

static void
tick_one (dbprobe_t *p)
{
  cell_t *c = p->cell;
  bool wanted = p->lead || p->survey;

  if (p->asked >= 0 && c->now - p->asked >= PROBE_TIME)
    {
      hang_up (p);
      outcome (p, false, false);
      p->next_at = c->now;
    }
  if (!wanted || p->asked >= 0 || c->now < p->next_at)
    return;
  if (p->stream == NULL)
    dial (p);
  else if (p->up)
    ask (p);
}

void
probes_tick (cell_t *c)
{
  match_roster (c);
  for (dbprobe_t *p = c->probes; p; p = p->next)
    {
      const takeover_t *t = takeover_of (c, str_of (p->service));
      p->lead = t && strcmp (t->primary, p->id) == 0;
      tick_one (p);
    }
}

void
probes_stop (cell_t *c)
{
  while (c->probes)
    remove_probe (c, c->probes);
}
