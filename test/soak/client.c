#include "soak.h"

#include <stdlib.h>
#include <string.h>

enum
{
  TEXT = 96,
  STEPS = 8,
  RETRIES = 2,
  LOSS_SLACK = 200, /* ms that a statement may be on its way */
  GIVE_UP = 6000,   /* ms for one answer */
  GRACE_HALF = 3000 /* ms that a transaction has at a planned stop */
};

typedef enum
{
  STEP_SET,
  STEP_PREPARE,
  STEP_BEGIN,
  STEP_READ,
  STEP_WRITE,
  STEP_COMMIT,
  STEP_ROLLBACK
} step_kind_t;

typedef struct
{
  step_kind_t kind;
  char text[TEXT];
  int prepared; /* 1 + the statement that it executes */
} step_t;

typedef enum
{
  SESSION_OFF,
  SESSION_START,
  SESSION_IDLE,
  SESSION_ASKED
} session_state_t;

static const char *const routes[] = { "lead", "near", "own" };

struct session
{
  world_t *world;
  service_t *service;
  int route; /* of ROUTES */
  proc_t *entry;
  stream_t *stream;
  session_state_t state;
  char tx; /* as the last READY said */
  msec_t next;
  msec_t asked_at;
  ask_t *ask;
  attempt_t *attempt;
  step_t step[STEPS];
  int nsteps, at, tries;
  bool rude; /* rests inside its transaction */
  bool only_reads;
  at_t own;  /* its last commit */
  at_t need; /* of its transaction */
  char values[VALUES][NAME];
  char shape[2][NAME]; /* of its prepared statements: a read and a write */
  /* The answer that is coming.  */
  char signature[64], row[64], code[NAME];
  bool complete;
};

static unsigned long long ids;

/* ---- operations ---- */

static step_t *
add (session_t *s, step_kind_t kind)
{
  step_t *t = &s->step[s->nsteps++];

  *t = (step_t){ .kind = kind };
  return t;
}

static void
add_data (session_t *s, bool writes)
{
  world_t *w = s->world;
  step_t *t = add (s, writes ? STEP_WRITE : STEP_READ);
  int item = chance (w, 50);

  if (s->shape[writes][0] && chance (w, 2))
    {
      t->prepared = 1 + writes;
      snprintf (t->text, sizeof t->text, "EXECUTE s%d i%d%s", writes, item,
                writes ? " data" : "");
    }
  else
    snprintf (t->text, sizeof t->text, "%s i%d%s", writes ? "WRITE" : "READ",
              item, writes ? " data" : "");
}

static void
plan_setup (session_t *s)
{
  world_t *w = s->world;
  int i = chance (w, 2);

  if (chance (w, 2))
    snprintf (add (s, STEP_SET)->text, TEXT, "SET v%d n%d", i, chance (w, 9));
  else
    snprintf (add (s, STEP_PREPARE)->text, TEXT, "PREPARE s%d %s q%d", i,
              i ? "WRITE" : "READ", chance (w, 5));
}

static void
plan_tx (session_t *s)
{
  world_t *w = s->world;
  bool writes = s->route != 1 && chance (w, 2);
  int n = 1 + chance (w, 4);

  copy (add (s, STEP_BEGIN)->text, TEXT, "BEGIN");
  if (!writes && chance (w, 2))
    copy (s->step[0].text, TEXT, "BEGIN READ");
  for (int i = 0; i < n; i++)
    add_data (s, writes && chance (w, 2));
  bool back = chance (w, 6) == 0;
  copy (add (s, back ? STEP_ROLLBACK : STEP_COMMIT)->text, TEXT,
        back ? "ROLLBACK" : "COMMIT");
  s->rude = chance (w, 60) == 0;
}

static void
plan (session_t *s)
{
  world_t *w = s->world;
  int dice = chance (w, 10);

  s->nsteps = s->at = s->tries = 0;
  s->rude = false;
  if (dice < 2)
    plan_setup (s);
  else if (dice < 6)
    add_data (s, false);
  else if (dice < 8 && s->route != 1)
    add_data (s, true);
  else
    plan_tx (s);
  s->only_reads = true;
  for (int i = 0; i < s->nsteps; i++)
    if (s->step[i].kind == STEP_WRITE)
      s->only_reads = false;
}

/* ---- asking ---- */

static at_t
as_of_now (const service_t *s, at_t pos)
{
  while (pos.term < s->term)
    {
      pos.term++;
      if (pos.number > s->start[pos.term])
        pos.number = s->start[pos.term];
    }
  return pos;
}

/* What a read sent now has to see.  */
static at_t
need (const session_t *s)
{
  static const msec_t age[] = { 0, 1500, 2500 };
  const service_t *v = s->service;
  at_t n = as_of_now (v, service_acked (v, s->world->now - age[s->route]));
  at_t own = as_of_now (v, s->own);

  return s->route == 2 && own.number > n.number ? own : n;
}

static void
ask (session_t *s)
{
  world_t *w = s->world;
  const step_t *t = &s->step[s->at];
  ask_t *a = apr_pcalloc (w->pool, sizeof *a);

  if (s->at == 0)
    {
      s->attempt = apr_pcalloc (w->pool, sizeof *s->attempt);
      s->attempt->tx = t->kind == STEP_BEGIN;
    }
  if (t->kind == STEP_WRITE)
    s->attempt->writes = true;
  if (s->at == 0)
    s->need = need (s);
  snprintf (a->id, sizeof a->id, "%016llx", (w->seed << 32) + ++ids);
  snprintf (a->text, sizeof a->text, "%s", t->text);
  a->service = s->service;
  a->attempt = s->attempt;
  a->need = s->need;
  a->reads = t->kind == STEP_READ;
  memcpy (a->values, s->values, sizeof a->values);
  if (t->prepared)
    snprintf (a->shape, NAME, "%s", s->shape[t->prepared - 1]);
  apr_hash_set (w->asks, a->id, APR_HASH_KEY_STRING, a);
  s->ask = a;
  s->asked_at = w->now;
  s->state = SESSION_ASKED;
  s->signature[0] = s->row[0] = s->code[0] = '\0';
  s->complete = false;
  buf_fmt (stream_out (s->stream), "QUERY %s %s\r\n", a->id, a->text);
  stream_flush (s->stream);
}

/* ---- answers ---- */

static bool
promise (const char *code)
{
  static const char *const codes[]
      = { "BUSY", "ABORTED", "LAGGING", "READONLY", "MISROUTED", "TOOMANY" };

  for (size_t i = 0; i < sizeof codes / sizeof *codes; i++)
    if (strcmp (code, codes[i]) == 0)
      return true;
  return false;
}

static void
off (session_t *s, msec_t after)
{
  if (s->stream)
    stream_close (s->stream);
  s->stream = NULL;
  s->state = SESSION_OFF;
  s->next = s->world->now + after;
  memset (s->values, 0, sizeof s->values);
  memset (s->shape, 0, sizeof s->shape);
  s->own = (at_t){ 1, 0 };
  s->nsteps = 0;
}

static void
count (session_t *s, size_t field)
{
  world_t *w = s->world;

  ++*(int64_t *)((char *)&w->all + field);
  if (w->now > w->end - 4000)
    ++*(int64_t *)((char *)&w->last + field);
}

#define COUNT(s, what) count (s, offsetof (tally_t, what))

static void
op_done (session_t *s)
{
  world_t *w = s->world;

  s->nsteps = 0;
  s->state = SESSION_IDLE;
  s->next = w->now + 5 + chance (w, 200);
  if (s->tx != 'I')
    off (s, 50);
  else if (chance (w, 12) == 0)
    {
      buf_adds (stream_out (s->stream), STR ("TERMINATE\r\n"));
      stream_flush (s->stream);
      off (s, 50);
    }
}

static void
acknowledged (session_t *s)
{
  attempt_t *t = s->attempt;

  if (!t->commits)
    return;
  service_ack (s->service, t->commit, s->world->now);
  s->own = t->commit;
}

/* A read, a write or a commit succeeded: with the answer of one of its runs, a
   read may have been repeated.  */
static void
check_success (session_t *s)
{
  const ask_t *a = s->ask;

  for (int i = 0; i < ANSWERS && i < a->signed_runs; i++)
    if (strcmp (s->signature, a->answer[i].signature) == 0
        && strcmp (s->row, a->answer[i].row) == 0)
      return;
  finding (s->world, "MIXED",
           "%s '%s' was answered '%s' '%s', which none of its %d runs said",
           a->id, a->text, s->row, s->signature, a->signed_runs);
}

static void
success (session_t *s)
{
  world_t *w = s->world;
  const step_t *t = &s->step[s->at];
  bool single = !s->attempt->tx;

  switch (t->kind)
    {
    case STEP_SET:
      copy (s->values[t->text[5] - '0'], NAME, t->text + 7);
      break;
    case STEP_PREPARE:
      copy (s->shape[t->text[9] - '0'], NAME, t->text + 11);
      break;
    case STEP_READ:
    case STEP_WRITE:
    case STEP_COMMIT:
      check_success (s);
      if (t->kind == STEP_COMMIT || (single && t->kind == STEP_WRITE))
        acknowledged (s);
      break;
    case STEP_BEGIN:
    case STEP_ROLLBACK:
      break;
    }
  if (++s->at == s->nsteps)
    {
      COUNT (s, served);
      op_done (s);
      return;
    }
  s->state = SESSION_IDLE;
  s->next = w->now + (s->rude ? 4000 : chance (w, 3) ? 0 : chance (w, 120));
}

/* The client was told that nothing of its attempt is kept.  */
static void
check_promise (session_t *s)
{
  attempt_t *t = s->attempt;

  t->promised = true;
  if (t->commits && service_kept (s->service, t->commit))
    finding (s->world, "REFUSED", "%s '%s' got %s and is kept at %lld.%lld",
             s->ask->id, s->ask->text, s->code, (long long)t->commit.term,
             (long long)t->commit.number);
}

static void
again (session_t *s)
{
  s->tries++;
  s->at = 0;
  s->state = SESSION_IDLE;
  s->next = s->world->now + 20 + chance (s->world, 80);
  if (s->tx == 'I')
    return;
  /* The transaction is ended first; its answer is not checked.  */
  buf_adds (stream_out (s->stream), STR ("TERMINATE\r\n"));
  stream_flush (s->stream);
  off (s, 30);
}

static void
failure (session_t *s)
{
  const step_t *t = &s->step[s->at];
  bool promised = promise (s->code);

  if (strcmp (s->code, "NODB") == 0)
    finding (s->world, "CONFIG", "%s: '%s' was refused as unknown", s->ask->id,
             s->ask->text);
  if (promised)
    check_promise (s);
  if (promised)
    COUNT (s, promised);
  else if (strcmp (s->code, "INDOUBT") == 0)
    COUNT (s, doubt);
  else
    COUNT (s, failed);
  if (t->kind == STEP_SET || t->kind == STEP_PREPARE)
    off (s, 100);
  else if ((promised || (s->only_reads && strcmp (s->code, "FAILED") == 0))
           && s->tries < RETRIES)
    again (s);
  else
    op_done (s);
}

static void
line (session_t *s, const char *text)
{
  char tx;

  if (s->state == SESSION_START && sscanf (text, "READY %c", &tx) == 1)
    {
      s->state = SESSION_IDLE;
      s->tx = tx;
      return;
    }
  if (s->state == SESSION_START && strncmp (text, "ERROR ", 6) == 0)
    {
      if (strncmp (text + 6, "NODB", 4) == 0)
        finding (s->world, "CONFIG", "route %s%s was refused as unknown",
                 routes[s->route], s->service->name);
      off (s, 200);
      return;
    }
  if (s->state != SESSION_ASKED)
    {
      if (strncmp (text, "ERROR ", 6) != 0)
        finding (s->world, "UNSOLICITED", "'%s' came unasked", text);
      off (s, 100);
      return;
    }
  if (strncmp (text, "ROW ", 4) == 0)
    copy (s->row, sizeof s->row, text + 4);
  else if (strncmp (text, "COMPLETE ", 9) == 0)
    {
      s->complete = true;
      copy (s->signature, sizeof s->signature, text + 9);
    }
  else if (strncmp (text, "ERROR ", 6) == 0)
    snprintf (s->code, sizeof s->code, "%.*s", (int)strcspn (text + 6, " "),
              text + 6);
  else if (sscanf (text, "READY %c", &tx) == 1)
    {
      s->tx = tx;
      if (s->complete)
        success (s);
      else
        failure (s);
    }
}

static void
on_input (void *arg)
{
  session_t *s = arg;
  char text[512];

  while (s->stream)
    {
      str_t in = buf_str (stream_in (s->stream));
      const char *lf = in.n ? memchr (in.p, '\n', in.n) : NULL;
      if (lf == NULL)
        return;
      size_t n = (size_t)(lf - in.p);
      snprintf (text, sizeof text, "%.*s", n ? (int)n - 1 : 0, in.p);
      buf_take (stream_in (s->stream), n + 1);
      line (s, text);
    }
}

/* A connection may end between statements, and not under one.  */
static void
check_close (session_t *s)
{
  world_t *w = s->world;
  const proc_t *p = s->entry;
  bool late = p->term && s->tx == 'T' && w->now > p->term + GRACE_HALF;
  /* One that crossed the close on its way, and has not run.  */
  bool crossed = s->state == SESSION_ASKED && s->ask->runs == 0
                 && w->now - s->asked_at <= LOSS_SLACK;

  if (s->state == SESSION_ASKED)
    COUNT (s, lost);
  if (crossed)
    note (w, "%s crossed the close of %s, %lld ms after it was sent",
          s->ask->id, p->name, (long long)(w->now - s->asked_at));
  if (s->state == SESSION_ASKED && !late && !crossed && !s->rude
      && calm (w, s->asked_at))
    finding (w, "LOST",
             "%s '%s' at %s ended without an answer, %lld ms after it was "
             "sent, run %d times, SIGTERM %lld ms ago, process %d",
             s->ask->id, s->ask->text, p->name,
             (long long)(w->now - s->asked_at), s->ask->runs,
             p->term ? (long long)(w->now - p->term) : -1LL, p->pid);
}

static void
on_closed (void *arg, err_t *e)
{
  session_t *s = arg;

  (void)e;
  s->stream = NULL;
  check_close (s);
  off (s, 100);
}

static const stream_ops_t ops = { NULL, on_input, on_closed };

/* ---- life ---- */

static int
pick_entry (world_t *w)
{
  int first = chance (w, w->entries);

  for (int i = 0; i < w->entries; i++)
    if (w->entry[(first + i) % w->entries].ready)
      return (first + i) % w->entries;
  return first;
}

static void
dial (session_t *s)
{
  world_t *w = s->world;
  int i = pick_entry (w);
  err_t e = { 0 };

  s->service = &w->service[chance (w, SERVICES)];
  s->route = chance (w, 3);
  s->entry = &w->entry[i];
  s->stream = stream_dial (w->loop, str_of (w->entry_front[i]->listen), 60000,
                           &ops, s, &e);
  if (s->stream == NULL)
    {
      off (s, 200);
      return;
    }
  buf_fmt (stream_out (s->stream), "STARTUP %s%s u1\r\n", routes[s->route],
           s->service->name);
  stream_flush (s->stream);
  s->state = SESSION_START;
  s->tx = 'I';
  s->asked_at = w->now;
  s->next = w->now;
}

static void
give_up (session_t *s)
{
  if (s->state == SESSION_ASKED)
    COUNT (s, given_up);
  if (s->state == SESSION_ASKED && calm (s->world, s->asked_at))
    finding (s->world, "SILENT", "%s '%s' at %s got no answer in %d ms",
             s->ask->id, s->ask->text, s->entry->name, GIVE_UP);
  off (s, 100);
}

static void
go_on (session_t *s)
{
  world_t *w = s->world;

  if (s->nsteps == 0)
    plan (s);
  else if (s->at && chance (w, 200) == 0)
    {
      off (s, 50); /* leaves in the middle of a transaction */
      return;
    }
  ask (s);
}

void
session_turn (session_t *s, msec_t now)
{
  if (s->state == SESSION_OFF && now >= s->next)
    dial (s);
  else if (s->state == SESSION_IDLE && now >= s->next)
    go_on (s);
  else if ((s->state == SESSION_ASKED || s->state == SESSION_START)
           && now > s->asked_at + GIVE_UP)
    give_up (s);
}

session_t *
session_new (world_t *w, int n)
{
  session_t *s = apr_pcalloc (w->pool, sizeof *s);

  s->world = w;
  s->state = SESSION_OFF;
  s->own = (at_t){ 1, 0 };
  s->next = w->now + 3000 + n * 7;
  return s;
}
