#include "local.h"

#include <stdio.h>
#include <string.h>

enum
{
  ATTEMPTS_MAX = 8,
  LOST_ANSWER = 8,       /* times the usual time of a statement until the
                            answer of a read counts as lost, and */
  LOST_ANSWER_MIN = 200, /* ms, at least */
  SHARE_OF_READ = 60     /* percent of a statement's time for one attempt of a
                            read, so that another database can still answer */
};

/* ---- waiting ---- */

static void
enqueue (session_t *s)
{
  session_t **at = &s->service->waiting;
  request_t *r = &s->req;

  if (r->waiting)
    return;
  /* By priority, then by arrival.  */
  while (*at
         && ((*at)->route.priority < s->route.priority
             || ((*at)->route.priority == s->route.priority
                 && (*at)->req.arrived <= r->arrived)))
    at = &(*at)->next_waiting;
  s->next_waiting = *at;
  *at = s;
  r->waiting = true;
}

static void
dequeue (session_t *s)
{
  session_t **at;

  if (!s->req.waiting || s->service == NULL)
    return;
  at = &s->service->waiting;
  while (*at && *at != s)
    at = &(*at)->next_waiting;
  if (*at)
    *at = s->next_waiting;
  s->req.waiting = false;
}

/* ---- answers to the client ---- */

static buf_t *
client (session_t *s)
{
  stream_flush (s->stream);
  return stream_out (s->stream);
}

void
statement_drop (session_t *s)
{
  dequeue (s);
  s->req.active = false;
}

/* What is needed to explain the failure from the request's id alone.  */
static void
log_failure (const session_t *s, fail_t f)
{
  const proxy_t *p = s->proxy;
  const request_t *r = &s->req;
  const service_t *v = s->service;
  const db_t *lead = v ? v->leader : NULL;
  msec_t silent = lead && lead->fail_at >= 0 ? p->now - lead->fail_at : 0;
  msec_t mark = v && v->marks.n ? p->now - marks_fresh (&v->marks) : -1;

  log_event (EV_REQUEST_FAILED,
             "request=" STR_FMT " host=%s service=%s outcome=%s ms=%lld "
             "needs=%s attempts=%d last=%s database=%s leader=%s "
             "leader_silent_ms=%lld mark_age=%lld cut_off=%d version=%lld",
             STR_ARG (r->op.id), s->host, v ? v->name : "-", fail_name (f),
             (long long)(p->now - r->arrived), r->lead ? "leader" : "position",
             r->attempts, fail_name (r->last), r->asked[0] ? r->asked : "-",
             lead ? lead->id : "-", (long long)silent, (long long)mark,
             p->cut_at >= 0, p->setup ? (long long)p->setup->version : 0LL);
}

void
statement_fail (session_t *s, fail_t f, str_t text)
{
  proxy_t *p = s->proxy;

  metrics_answered (s, f == FAIL_INDOUBT ? OUTCOME_UNKNOWN : OUTCOME_REFUSED);
  log_failure (s, f);
  statement_drop (s);
  p->conf.client->error (client (s), f, text);
  session_state (s);
  session_next (s);
}

/* The transaction cannot go on; nothing of it is kept.  */
static void
abort_tx (session_t *s, str_t why)
{
  if (s->link)
    {
      link_t *k = s->link;
      link_close (s->proxy, k);
    }
  s->link = NULL;
  s->tx = s->req.op.kind == OP_COMMIT ? TX_NONE : TX_FAILED;
  if (s->tx == TX_NONE)
    session_tx_end (s);
  statement_fail (s, FAIL_ABORTED, why);
}

static void
in_doubt (session_t *s, str_t why)
{
  s->tx = TX_NONE;
  session_tx_end (s);
  statement_fail (s, FAIL_INDOUBT, why);
}

static void
give_rows (session_t *s, link_t *k)
{
  proxy_t *p = s->proxy;
  str_t all = buf_str (&k->rows);
  uint32_t n;

  while (all.n >= sizeof n)
    {
      memcpy (&n, all.p, sizeof n);
      p->conf.client->row (client (s), (str_t){ all.p + sizeof n, n });
      all.p += sizeof n + n;
      all.n -= sizeof n + n;
    }
}

static void
deliver (session_t *s, link_t *k)
{
  proxy_t *p = s->proxy;

  metrics_answered (s, OUTCOME_SERVED);
  if (s->req.reads)
    {
      bool lead = k->db == s->service->leader;
      counter_add (lead ? p->reads_primary : p->reads_replica, 1);
      if (str_eq (str_of (k->db->zone), p->conf.zone))
        counter_add (p->reads_near, 1);
    }
  give_rows (s, k);
  p->conf.client->done (client (s), buf_str (&k->text));
  session_state (s);
}

static void
reset_answer (link_t *k)
{
  k->rows.n = k->rows.off = 0;
  k->text.n = k->text.off = 0;
  k->fail = FAIL_NONE;
  k->done = false;
}

/* ---- placing ---- */

static void
try_other (session_t *s, db_t *d, fail_t f)
{
  request_t *r = &s->req;

  r->last = f;
  log_event (EV_RETRY,
             "request=" STR_FMT " database=%s cause=%s ms=%lld attempt=%d "
             "need=%lld.%lld",
             STR_ARG (r->op.id), d ? d->id : r->asked, fail_name (f),
             (long long)(s->proxy->now - r->arrived), r->attempts,
             (long long)r->need.term, (long long)r->need.number);
  if (d && r->ntried < SITES_MAX && !site_tried (r, d))
    r->tried[r->ntried++] = d;
  counter_add (s->proxy->retried, 1);
  statement_place (s);
}

/* What the statement needs of a database: the leader, or a position.  */
static void
want (session_t *s)
{
  request_t *r = &s->req;
  bool alone = s->tx == TX_NONE;
  msec_t began = alone ? r->arrived : s->tx_began;
  bool lead = alone ? !r->reads : !s->tx_read;

  if (!lead && s->route.freshness == FRESH_PRIMARY)
    lead = true;
  if (!lead)
    lead = !marks_need (
        &s->service->marks, began, s->route.max_age,
        s->route.freshness == FRESH_SESSION ? s->own : (pos_t){ 0 }, &r->need);
  r->lead = lead;
}

/* How long one attempt of a read may take with LEFT ms to its limit.  An
   answer that takes many times longer than usual was lost, and keeps a
   connection.  */
static msec_t
read_time (const db_t *d, msec_t left)
{
  msec_t share = left * SHARE_OF_READ / 100;
  msec_t usual = (msec_t)(d->ms * LOST_ANSWER);

  if (usual < LOST_ANSWER_MIN)
    usual = LOST_ANSWER_MIN;
  return d->ms > 0 && usual < share ? usual : share;
}

static void
start_on (session_t *s, db_t *d)
{
  proxy_t *p = s->proxy;
  request_t *r = &s->req;
  link_t *k = link_take (d, s, p->now);
  msec_t left = r->deadline - p->now;

  dequeue (s);
  if (r->attempts++ == 0)
    metrics_started (s);
  snprintf (r->asked, sizeof r->asked, "%s", d->id);
  r->attempt = r->reads && s->tx == TX_NONE ? p->now + read_time (d, left)
                                            : r->deadline;
  wake_at (p, r->attempt);
  if (s->tx == TX_OPEN || (r->reads && r->lead))
    link_begin (p, k, s);
  else
    link_run (p, k, s);
}

/* One round of placing.  False when the statement has to wait.  */
static bool
place_once (session_t *s)
{
  proxy_t *p = s->proxy;
  site_t site[SITES_MAX];
  db_t *db[SITES_MAX];

  want (s);
  int n = sites_list (p, s, site, db);
  place_t at = s->req.lead ? place_lead (site, n) : place_read (site, n);
  if (at.kind == PLACE_USE)
    {
      start_on (s, db[at.at]);
      return true;
    }
  if (at.kind == PLACE_OPEN)
    link_open (p, db[at.at]);
  /* Every database was asked: ask again, since what they lack changes soon. */
  if (at.kind == PLACE_NONE && !s->req.lead && s->req.ntried)
    s->req.ntried = 0;
  return false;
}

void
statement_place (session_t *s)
{
  request_t *r = &s->req;

  r->sent = false;
  if (r->attempts >= ATTEMPTS_MAX)
    {
      fail_t f = r->last ? r->last : FAIL_BUSY;
      if (s->tx != TX_NONE)
        abort_tx (s, STR ("no database could run it"));
      else
        statement_fail (s, f, STR ("no database could run it"));
      return;
    }
  if (!place_once (s))
    enqueue (s);
}

void
statement_pump (proxy_t *p, service_t *v)
{
  session_t *s, *next;

  (void)p;
  for (s = v->waiting; s; s = next)
    {
      next = s->next_waiting;
      place_once (s);
    }
}

/* ---- a new statement ---- */

static void
copy_op (request_t *r, const op_t *op)
{
  buf_t *b = &r->text;

  b->n = b->off = 0;
  buf_adds (b, op->id);
  buf_adds (b, op->name);
  buf_adds (b, op->arg);
  r->op = *op;
  r->op.id.p = b->p;
  r->op.name.p = b->p + op->id.n;
  r->op.arg.p = b->p + op->id.n + op->name.n;
}

void
statement_start (session_t *s, const op_t *op)
{
  proxy_t *p = s->proxy;
  request_t *r = &s->req;
  buf_t text = r->text;

  *r = (request_t){ .active = true, .text = text, .arrived = p->now };
  copy_op (r, op);
  r->reads = op->kind == OP_READ || (op->kind == OP_EXECUTE && !op->writes);
  r->deadline = p->now + s->route.timeout;
  r->attempt = r->deadline;
  wake_at (p, r->deadline);
  if (op->kind == OP_EXECUTE)
    snprintf (r->prepared, sizeof r->prepared, "%c" STR_FMT,
              op->writes ? 'w' : 'r', STR_ARG (r->op.name));
  if (s->tx == TX_OPEN && s->tx_begun)
    {
      if (op->kind == OP_WRITE || op->writes)
        s->tx_wrote = true;
      r->attempts++;
      link_run (p, s->link, s);
      return;
    }
  statement_place (s);
}

/* ---- events of the connection ---- */

static bool
not_run (fail_t f)
{
  return f == FAIL_BUSY || f == FAIL_LAGGING || f == FAIL_READONLY
         || f == FAIL_NOSTMT;
}

void
statement_begun (session_t *s, link_t *k, fail_t f, pos_t pos)
{
  proxy_t *p = s->proxy;
  request_t *r = &s->req;
  bool proven = r->lead || pos_cmp (pos, r->need) >= 0;

  reset_answer (k);
  if (f == FAIL_NONE && r->lead)
    {
      marks_add (&s->service->marks, k->marked, pos);
      lead_learned (s->service, k->db);
    }
  if (f == FAIL_READONLY && r->lead)
    lead_refused (s->service, k->db, p->now);
  if (f != FAIL_NONE || !proven)
    {
      db_t *d = k->db;
      link_release (p, k);
      try_other (s, d, f ? f : FAIL_LAGGING);
      return;
    }
  if (s->tx == TX_OPEN)
    {
      s->tx_begun = true;
      s->tx_wrote |= r->op.kind == OP_WRITE || r->op.writes;
    }
  link_run (p, k, s);
}

static void
answer_alone (session_t *s, link_t *k, pos_t pos)
{
  proxy_t *p = s->proxy;
  request_t *r = &s->req;
  db_t *d = k->db;
  fail_t f = k->fail;

  if (f == FAIL_NONE && r->reads && !r->lead && pos_cmp (pos, r->need) < 0)
    f = FAIL_LAGGING;
  if (f == FAIL_NONE)
    {
      double ms = (double)(p->now - k->sent);
      d->ms = d->ms > 0 ? d->ms * 0.9 + ms * 0.1 : ms + 0.5;
      if (!r->reads)
        {
          s->own = pos;
          marks_add (&s->service->marks, k->sent, pos);
          lead_learned (s->service, d);
        }
      deliver (s, k);
      reset_answer (k);
      statement_drop (s);
      link_release (p, k);
      session_next (s);
      return;
    }
  if (f == FAIL_READONLY)
    lead_refused (s->service, d, p->now);
  if (f == FAIL_NOSTMT)
    values_free (&k->prepared);
  if (not_run (f) || (f == FAIL_FAILED && r->reads && !r->repeated))
    {
      r->repeated |= f == FAIL_FAILED;
      reset_answer (k);
      link_release (p, k);
      try_other (s, f == FAIL_NOSTMT ? NULL : d, f);
      return;
    }
  buf_t text = k->text;
  buf_init (&k->text);
  reset_answer (k);
  link_release (p, k);
  statement_fail (s, f, buf_str (&text));
  buf_free (&text);
}

static void
answer_in_tx (session_t *s, link_t *k, tx_t state, pos_t pos)
{
  proxy_t *p = s->proxy;
  request_t *r = &s->req;
  fail_t f = k->fail;
  bool commit = r->op.kind == OP_COMMIT;

  if (f == FAIL_NONE)
    {
      if (commit)
        {
          if (s->tx_wrote)
            {
              s->own = pos;
              marks_add (&s->service->marks, k->sent, pos);
            }
          session_tx_end (s);
        }
      deliver (s, k);
      reset_answer (k);
      statement_drop (s);
      if (commit)
        link_release (p, k);
      session_next (s);
      return;
    }
  if (f == FAIL_READONLY)
    lead_refused (s->service, k->db, p->now);
  if (f == FAIL_NOSTMT)
    values_free (&k->prepared);
  buf_t text = k->text;
  buf_init (&k->text);
  reset_answer (k);
  (void)state;
  if (commit)
    session_tx_end (s);
  else
    s->tx = TX_FAILED;
  /* An answer that says nothing of what is kept ends the connection, which
     rolls back; so does the ROLLBACK that a release sends.  */
  link_release (p, k);
  statement_fail (s, f, buf_str (&text));
  buf_free (&text);
}

void
statement_answer (session_t *s, link_t *k, tx_t state, pos_t pos)
{
  if (!s->req.active)
    return;
  if (s->tx == TX_NONE)
    answer_alone (s, k, pos);
  else
    answer_in_tx (s, k, state, pos);
}

/* The connection is gone, and with it the answer.  */
void
statement_lost (session_t *s, link_t *k)
{
  request_t *r = &s->req;

  (void)k;
  s->link = NULL;
  if (!r->active)
    {
      /* The next statement of the transaction is told.  */
      s->tx_lost = true;
      return;
    }
  if (s->tx == TX_NONE)
    {
      if (r->reads || !r->sent)
        try_other (s, NULL, FAIL_BUSY);
      else
        in_doubt (s, STR ("the connection was lost before the answer"));
    }
  else if (!s->tx_begun)
    try_other (s, NULL, FAIL_BUSY);
  else if (r->op.kind == OP_COMMIT && s->tx_wrote && r->sent)
    in_doubt (s, STR ("the connection was lost before the answer"));
  else
    abort_tx (s, STR ("the connection was lost"));
}

/* ---- time ---- */

static void
expire_waiting (session_t *s)
{
  request_t *r = &s->req;
  fail_t f = r->last ? r->last : r->lead ? FAIL_READONLY : FAIL_BUSY;

  if (s->tx != TX_NONE)
    abort_tx (s, STR ("no connection in time"));
  else
    statement_fail (s, f, STR ("no connection in time"));
}

void
statement_expire (session_t *s, msec_t now)
{
  proxy_t *p = s->proxy;
  request_t *r = &s->req;
  link_t *k = s->link;

  if (!r->active)
    return;
  /* Nothing here can serve it before the zone is joined again.  */
  if (p->cut_at >= 0 && r->waiting && r->lead
      && lead_pick (s->service, now) == NULL)
    {
      expire_waiting (s);
      return;
    }
  if (now < r->deadline && now < r->attempt)
    return;
  if (k == NULL)
    {
      if (now >= r->deadline)
        expire_waiting (s);
      return;
    }
  db_t *d = k->db;
  log_event (
      EV_DB_SILENT, "request=" STR_FMT " database=%s service=%s ms=%lld",
      STR_ARG (r->op.id), d->id, s->service->name, (long long)(now - k->sent));
  msec_t sent = k->sent;
  link_close (p, k);
  s->link = NULL;
  links_close_quiet (p, d, sent);
  /* One that answered others meanwhile works; this answer was lost.  */
  if (d->ok_at < sent)
    db_failed (p, d, now);
  if (now < r->deadline)
    try_other (s, d, FAIL_BUSY);
  else if (s->tx == TX_NONE && r->reads)
    statement_fail (s, FAIL_TIMEOUT, STR ("no answer in time"));
  else if (s->tx == TX_NONE
           || (r->op.kind == OP_COMMIT && s->tx_wrote && s->tx_begun))
    in_doubt (s, STR ("no answer in time"));
  else
    abort_tx (s, STR ("no answer in time"));
}
