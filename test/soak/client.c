#include "soak.h"

#include <stdlib.h>
#include <string.h>

/* Simulated clients: random operations, and checks of their answers.  */

enum
{
  TEXT = 96,
  STEPS = 8,
  RETRIES = 2,
  CLOSE_SLACK = 200,     /* ms that a statement may be in transit */
  ANSWER_TIMEOUT = 6000, /* ms */
  TX_GRACE = 3000 /* ms that an open transaction gets at a planned stop: half
                     of the setting grace-s */
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
  int prepared; /* 1 + index of the prepared statement; 0: none */
} step_t;

typedef enum
{
  SESSION_CLOSED,
  SESSION_STARTING,
  SESSION_IDLE,
  SESSION_WAITING
} session_state_t;

static const char *const routes[] = { "lead", "near", "own" };

struct session
{
  world_t *world;
  service_t *service;
  int route; /* of ROUTES */
  proc_t *entry;
  const caller_key_t *key; /* NULL: the route is public */
  stream_t *stream;
  session_state_t state;
  char tx; /* transaction state of the last READY: I, T or E */
  msec_t next;
  msec_t sent_at;
  statement_t *statement;
  attempt_t *attempt;
  step_t step[STEPS];
  int nsteps, at, tries;
  bool idle_in_tx; /* waits long between the statements of a transaction */
  bool only_reads;
  log_pos_t own_commit; /* its last acknowledged one */
  log_pos_t min_pos;    /* for the reads of this operation */
  char values[VALUES][NAME];
  char query[2][NAME]; /* of its prepared statements: a read and a write */
  /* The answer being received.  */
  char tag[64], row[64], code[NAME];
  bool complete;
};

static unsigned long long ids;

/* ---- operations ---- */

static step_t *
add_step (session_t *s, step_kind_t kind)
{
  step_t *t = &s->step[s->nsteps++];

  *t = (step_t){ .kind = kind };
  return t;
}

static void
add_data (session_t *s, bool writes)
{
  world_t *w = s->world;
  step_t *t = add_step (s, writes ? STEP_WRITE : STEP_READ);
  int item = rand_below (w, 50);

  if (s->query[writes][0] && rand_below (w, 2))
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
  int i = rand_below (w, 2);

  if (rand_below (w, 2))
    snprintf (add_step (s, STEP_SET)->text, TEXT, "SET v%d n%d", i,
              rand_below (w, 9));
  else
    snprintf (add_step (s, STEP_PREPARE)->text, TEXT, "PREPARE s%d %s q%d", i,
              i ? "WRITE" : "READ", rand_below (w, 5));
}

static void
plan_tx (session_t *s)
{
  world_t *w = s->world;
  bool writes = s->route != 1 && rand_below (w, 2);
  int n = 1 + rand_below (w, 4);

  copy (add_step (s, STEP_BEGIN)->text, TEXT, "BEGIN");
  if (!writes && rand_below (w, 2))
    copy (s->step[0].text, TEXT, "BEGIN READ");
  for (int i = 0; i < n; i++)
    add_data (s, writes && rand_below (w, 2));
  bool rollback = rand_below (w, 6) == 0;
  copy (add_step (s, rollback ? STEP_ROLLBACK : STEP_COMMIT)->text, TEXT,
        rollback ? "ROLLBACK" : "COMMIT");
  s->idle_in_tx = rand_below (w, 60) == 0;
}

static void
plan (session_t *s)
{
  world_t *w = s->world;
  int roll = rand_below (w, 10);

  s->nsteps = s->at = s->tries = 0;
  s->idle_in_tx = false;
  if (roll < 2)
    plan_setup (s);
  else if (roll < 6)
    add_data (s, false);
  else if (roll < 8 && s->route != 1)
    add_data (s, true);
  else
    plan_tx (s);
  s->only_reads = true;
  for (int i = 0; i < s->nsteps; i++)
    if (s->step[i].kind == STEP_WRITE)
      s->only_reads = false;
}

/* ---- requests ---- */

/* POS without the commits that later promotions rolled back.  */
static log_pos_t
clip_to_history (const service_t *s, log_pos_t pos)
{
  while (pos.term < s->term)
    {
      pos.term++;
      if (pos.number > s->start[pos.term])
        pos.number = s->start[pos.term];
    }
  return pos;
}

/* The oldest position at which a read sent now may run.  */
static log_pos_t
required_pos (const session_t *s)
{
  static const msec_t age[] = { 0, 1500, 2500 };
  const service_t *v = s->service;
  log_pos_t n
      = clip_to_history (v, service_acked (v, s->world->now - age[s->route]));
  log_pos_t own = clip_to_history (v, s->own_commit);

  return s->route == 2 && own.number > n.number ? own : n;
}

static void
send_statement (session_t *s)
{
  world_t *w = s->world;
  const step_t *t = &s->step[s->at];
  statement_t *q = apr_pcalloc (w->pool, sizeof *q);

  if (s->at == 0)
    {
      s->attempt = apr_pcalloc (w->pool, sizeof *s->attempt);
      s->attempt->tx = t->kind == STEP_BEGIN;
    }
  if (t->kind == STEP_WRITE)
    s->attempt->writes = true;
  if (s->at == 0)
    s->min_pos = required_pos (s);
  snprintf (q->id, sizeof q->id, "%016llx", (w->seed << 32) + ++ids);
  snprintf (q->text, sizeof q->text, "%s", t->text);
  q->service = s->service;
  q->attempt = s->attempt;
  q->min_pos = s->min_pos;
  q->reads = t->kind == STEP_READ;
  q->key = s->key;
  q->sent = w->now;
  memcpy (q->values, s->values, sizeof q->values);
  if (t->prepared)
    snprintf (q->query, NAME, "%s", s->query[t->prepared - 1]);
  apr_hash_set (w->statements, q->id, APR_HASH_KEY_STRING, q);
  s->statement = q;
  s->sent_at = w->now;
  s->state = SESSION_WAITING;
  s->tag[0] = s->row[0] = s->code[0] = '\0';
  s->complete = false;
  buf_fmt (stream_out (s->stream), "QUERY %s %s\r\n", q->id, q->text);
  stream_flush (s->stream);
}

/* ---- answers ---- */

static bool
is_refusal (const char *code)
{
  static const char *const codes[]
      = { "BUSY", "ABORTED", "LAGGING", "READONLY", "MISROUTED", "TOOMANY" };

  for (size_t i = 0; i < sizeof codes / sizeof *codes; i++)
    if (strcmp (code, codes[i]) == 0)
      return true;
  return false;
}

static void
disconnect (session_t *s, msec_t delay)
{
  if (s->stream)
    stream_close (s->stream);
  s->stream = NULL;
  s->state = SESSION_CLOSED;
  s->next = s->world->now + delay;
  memset (s->values, 0, sizeof s->values);
  memset (s->query, 0, sizeof s->query);
  s->own_commit = (log_pos_t){ 1, 0 };
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
  s->next = w->now + 5 + rand_below (w, 200);
  if (s->tx != 'I')
    disconnect (s, 50);
  else if (rand_below (w, 12) == 0 && !tenants_lasting (w, s->key))
    {
      buf_adds (stream_out (s->stream), STR ("TERMINATE\r\n"));
      stream_flush (s->stream);
      disconnect (s, 50);
    }
}

static void
record_ack (session_t *s)
{
  attempt_t *t = s->attempt;

  if (!t->commits)
    return;
  service_ack (s->service, t->commit, s->world->now);
  s->own_commit = t->commit;
}

/* The answer must be that of one run: the system may run a read several
   times.  */
static void
check_success (session_t *s)
{
  const statement_t *q = s->statement;

  for (int i = 0; i < ANSWERS && i < q->answered_runs; i++)
    if (strcmp (s->tag, q->answer[i].tag) == 0
        && strcmp (s->row, q->answer[i].row) == 0)
      return;
  finding (
      s->world, "MIXED",
      "%s '%s' was answered '%s' '%s', which none of its %d runs returned",
      q->id, q->text, s->row, s->tag, q->answered_runs);
}

static void
on_success (session_t *s)
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
      copy (s->query[t->text[9] - '0'], NAME, t->text + 11);
      break;
    case STEP_READ:
    case STEP_WRITE:
    case STEP_COMMIT:
      check_success (s);
      if (t->kind == STEP_COMMIT || (single && t->kind == STEP_WRITE))
        record_ack (s);
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
  s->next = w->now
            + (s->idle_in_tx       ? 4000
               : rand_below (w, 3) ? 0
                                   : rand_below (w, 120));
}

static void
check_no_auth (session_t *s)
{
  if (!tenants_may_refuse (s->world, s->key, s->sent_at))
    finding (s->world, "CONFIG", "%s refused a caller whose key is known",
             s->entry->name);
}

/* The error code rules out any effect of the attempt.  */
static void
check_refusal (session_t *s)
{
  attempt_t *t = s->attempt;

  t->refused = true;
  if (t->commits && service_kept (s->service, t->commit))
    finding (s->world, "REFUSED",
             "%s '%s' got %s but is committed at %lld.%lld", s->statement->id,
             s->statement->text, s->code, (long long)t->commit.term,
             (long long)t->commit.number);
}

static void
retry (session_t *s)
{
  s->tries++;
  s->at = 0;
  s->state = SESSION_IDLE;
  s->next = s->world->now + 20 + rand_below (s->world, 80);
  if (s->tx == 'I')
    return;
  /* Disconnecting ends the transaction.  */
  buf_adds (stream_out (s->stream), STR ("TERMINATE\r\n"));
  stream_flush (s->stream);
  disconnect (s, 30);
}

static void
on_failure (session_t *s)
{
  const step_t *t = &s->step[s->at];
  bool refused = is_refusal (s->code);

  if (strcmp (s->code, "NODB") == 0)
    finding (s->world, "CONFIG", "%s: '%s' was refused as unknown",
             s->statement->id, s->statement->text);
  if (strcmp (s->code, "NOAUTH") == 0)
    {
      check_no_auth (s);
      op_done (s);
      return;
    }
  if (refused)
    check_refusal (s);
  if (refused)
    COUNT (s, refused);
  else if (strcmp (s->code, "INDOUBT") == 0)
    COUNT (s, doubt);
  else
    COUNT (s, failed);
  if (t->kind == STEP_SET || t->kind == STEP_PREPARE)
    disconnect (s, 100);
  else if ((refused || (s->only_reads && strcmp (s->code, "FAILED") == 0))
           && s->tries < RETRIES)
    retry (s);
  else
    op_done (s);
}

static void
on_line (session_t *s, const char *text)
{
  char tx;

  tenants_check_text (s->world, "an answer to a client", str_of (text));
  if (s->state == SESSION_STARTING && sscanf (text, "READY %c", &tx) == 1)
    {
      s->state = SESSION_IDLE;
      s->tx = tx;
      return;
    }
  if (s->state == SESSION_STARTING && strncmp (text, "ERROR ", 6) == 0)
    {
      if (strncmp (text + 6, "NODB", 4) == 0)
        finding (s->world, "CONFIG", "route %s%s was refused as unknown",
                 routes[s->route], s->service->name);
      if (strncmp (text + 6, "NOAUTH", 6) == 0)
        check_no_auth (s);
      disconnect (s, 200);
      return;
    }
  if (s->state != SESSION_WAITING)
    {
      if (strncmp (text, "ERROR ", 6) != 0)
        finding (s->world, "UNSOLICITED", "received '%s' without a request",
                 text);
      disconnect (s, 100);
      return;
    }
  if (strncmp (text, "ROW ", 4) == 0)
    copy (s->row, sizeof s->row, text + 4);
  else if (strncmp (text, "COMPLETE ", 9) == 0)
    {
      s->complete = true;
      copy (s->tag, sizeof s->tag, text + 9);
    }
  else if (strncmp (text, "ERROR ", 6) == 0)
    snprintf (s->code, sizeof s->code, "%.*s", (int)strcspn (text + 6, " "),
              text + 6);
  else if (sscanf (text, "READY %c", &tx) == 1)
    {
      s->tx = tx;
      if (s->complete)
        on_success (s);
      else
        on_failure (s);
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
      on_line (s, text);
    }
}

/* A connection may close between statements, but not during one.  */
static void
check_close (session_t *s)
{
  world_t *w = s->world;
  const proc_t *p = s->entry;
  bool late = p->term_sent && s->tx == 'T' && w->now > p->term_sent + TX_GRACE;
  /* The statement was in transit when the other end closed, and has not
     run.  */
  bool crossed = s->state == SESSION_WAITING && s->statement->runs == 0
                 && w->now - s->sent_at <= CLOSE_SLACK;

  if (s->state == SESSION_WAITING)
    COUNT (s, lost);
  if (crossed)
    note (w, "%s was in transit when %s closed, %lld ms after it was sent",
          s->statement->id, p->name, (long long)(w->now - s->sent_at));
  if (s->state == SESSION_WAITING && !late && !crossed && !s->idle_in_tx
      && settled (w, s->sent_at))
    finding (w, "LOST",
             "%s '%s' at %s: closed without an answer, %lld ms after it was "
             "sent, run %d times, SIGTERM %lld ms ago, process %d",
             s->statement->id, s->statement->text, p->name,
             (long long)(w->now - s->sent_at), s->statement->runs,
             p->term_sent ? (long long)(w->now - p->term_sent) : -1LL, p->pid);
}

static void
on_closed (void *arg, err_t *e)
{
  session_t *s = arg;

  (void)e;
  s->stream = NULL;
  check_close (s);
  disconnect (s, 100);
}

static const stream_ops_t ops = { NULL, on_input, on_closed };

/* ---- connections ---- */

static int
pick_entry (world_t *w)
{
  int first = rand_below (w, w->entries);

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

  s->service = &w->service[rand_below (w, SERVICES)];
  s->route = rand_below (w, 3);
  s->entry = &w->entry[i];
  s->stream = stream_dial (w->loop, str_of (w->entry_front[i]->listen), 60000,
                           &ops, s, &e);
  if (s->stream == NULL)
    {
      disconnect (s, 200);
      return;
    }
  s->key = is_public ((int)(s->service - w->service), s->route)
               ? NULL
               : tenants_pick (w);
  buf_fmt (stream_out (s->stream), "STARTUP %s%s %s\r\n", routes[s->route],
           s->service->name, s->key ? s->key->text : "u1");
  stream_flush (s->stream);
  s->state = SESSION_STARTING;
  s->tx = 'I';
  s->sent_at = w->now;
  s->next = w->now;
}

static void
on_timeout (session_t *s)
{
  if (s->state == SESSION_WAITING)
    COUNT (s, timed_out);
  if (s->state == SESSION_WAITING && settled (s->world, s->sent_at))
    finding (s->world, "SILENT", "%s '%s' at %s got no answer in %d ms",
             s->statement->id, s->statement->text, s->entry->name,
             ANSWER_TIMEOUT);
  disconnect (s, 100);
}

static void
next_step (session_t *s)
{
  world_t *w = s->world;

  if (s->nsteps == 0)
    plan (s);
  else if (s->at && rand_below (w, 200) == 0)
    {
      disconnect (s, 50); /* in the middle of a transaction */
      return;
    }
  send_statement (s);
}

void
session_tick (session_t *s, msec_t now)
{
  if (s->state == SESSION_CLOSED && now >= s->next)
    dial (s);
  else if (s->state == SESSION_IDLE && now >= s->next)
    next_step (s);
  else if ((s->state == SESSION_WAITING || s->state == SESSION_STARTING)
           && now > s->sent_at + ANSWER_TIMEOUT)
    on_timeout (s);
}

session_t *
session_new (world_t *w, int n)
{
  session_t *s = apr_pcalloc (w->pool, sizeof *s);

  s->world = w;
  s->state = SESSION_CLOSED;
  s->own_commit = (log_pos_t){ 1, 0 };
  s->next = w->now + 3000 + n * 7;
  return s;
}
