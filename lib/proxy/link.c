#include "local.h"

#include <stdlib.h>
#include <string.h>

static void link_input (void *arg);
static void link_closed (void *arg, err_t *e);
static void link_opened (void *arg);
static const stream_ops_t link_ops = { link_opened, link_input, link_closed };

static proxy_t *
proxy_of (const link_t *k)
{
  return k->db->service->proxy;
}

static void
push (link_t *k, step_t step)
{
  k->step[(k->first + k->nstep++) % STEPS_MAX] = (uint8_t)step;
}

static buf_t *
out (link_t *k)
{
  stream_flush (k->stream);
  return stream_out (k->stream);
}

/* ---- opening and closing ---- */

bool
link_open (proxy_t *p, db_t *d)
{
  err_t e = { 0 };
  link_t *k = calloc (1, sizeof *k);

  if (k == NULL)
    abort ();
  k->db = d;
  k->since = p->now;
  k->stream
      = stream_dial (p->loop, str_of (d->address), SILENCE, &link_ops, k, &e);
  if (k->stream == NULL)
    {
      free (k);
      db_failed (p, d, p->now);
      return false;
    }
  buf_init (&k->rows);
  buf_init (&k->text);
  k->next = d->links;
  d->links = k;
  d->opening++;
  counter_add (p->opened, 1);
  push (k, STEP_START);
  p->conf.db->startup (stream_out (k->stream), str_of (d->service->name),
                       p->conf.name, str_of (d->id));
  wake_at (p, p->now + CONNECT_TIME);
  return true;
}

static void
link_opened (void *arg)
{
  link_t *k = arg;

  k->sent = loop_now (proxy_of (k)->loop);
}

static void
unlist (link_t *k)
{
  link_t **at = &k->db->links;

  while (*at != k)
    at = &(*at)->next;
  *at = k->next;
  if (k->state == LINK_OPENING)
    k->db->opening--;
  else
    k->db->open--;
  if (k->state == LINK_IDLE)
    k->db->idle--;
}

static void
link_free (link_t *k)
{
  unlist (k);
  values_free (&k->values);
  values_free (&k->prepared);
  buf_free (&k->rows);
  buf_free (&k->text);
  /* A callback of this turn may still hold it.  */
  k->next = proxy_of (k)->dead;
  proxy_of (k)->dead = k;
}

void
links_bury (proxy_t *p)
{
  link_t *k;

  while ((k = p->dead) != NULL)
    {
      p->dead = k->next;
      free (k);
    }
}

void
link_close (proxy_t *p, link_t *k)
{
  (void)p;
  if (k->owner && k->owner->link == k)
    k->owner->link = NULL;
  stream_close (k->stream);
  link_free (k);
}

/* The database ended the connection, or it failed.  */
static void
link_closed (void *arg, err_t *e)
{
  link_t *k = arg;
  proxy_t *p = proxy_of (k);
  session_t *s = k->owner;
  db_t *d = k->db;
  service_t *v = d->service;
  bool failed = k->state != LINK_IDLE;

  (void)e;
  p->now = loop_now (p->loop);
  if (failed && !k->closing)
    {
      log_event (EV_DB_LOST, "database=%s service=%s state=%s cause=%s", d->id,
                 v->name, k->state == LINK_OPENING ? "opening" : "busy",
                 err_name (e->code));
      db_failed (p, d, p->now);
    }
  if (s && s->link == k)
    s->link = NULL;
  link_free (k);
  if (s)
    statement_lost (s, NULL);
  statement_pump (p, v);
}

void
links_close_quiet (proxy_t *p, db_t *d, msec_t since)
{
  link_t *next;

  for (link_t *k = d->links; k; k = next)
    {
      next = k->next;
      if (k->state == LINK_IDLE && k->since < since)
        link_close (p, k);
    }
}

void
links_close_idle (proxy_t *p, db_t *d)
{
  link_t *next;

  for (link_t *k = d->links; k; k = next)
    {
      next = k->next;
      if (k->state == LINK_IDLE)
        link_close (p, k);
    }
}

static bool
one_each (proxy_t *p, service_t *s)
{
  return p->entries > 0 && forward_owns (p, s) && !forward_expects (p, s)
         && s->connections > forward_sharers (p, s);
}

static db_t *
cold (proxy_t *p, msec_t now)
{
  for (service_t *s = p->services; s; s = s->next)
    for (db_t *d = s->dbs; d && one_each (p, s); d = d->next)
      if (d->open + d->opening == 0 && !d->leaving && !d->gone
          && d->avoid <= now && now - d->full_at >= FULL_HOLD)
        return d;
  return NULL;
}

void
links_warm (proxy_t *p, msec_t now)
{
  if (p->stop_at >= 0 || p->cut_at >= 0 || now - p->warmed < WARM_EVERY)
    return;
  db_t *d = cold (p, now);
  if (d == NULL)
    return;
  p->warmed = now;
  link_open (p, d);
  wake_at (p, now + WARM_EVERY);
}

void
links_sweep (proxy_t *p, service_t *s, msec_t now)
{
  link_t *next;

  for (db_t *d = s->dbs; d; d = d->next)
    for (link_t *k = d->links; k; k = next)
      {
        bool tight = d->full_at && now - d->full_at < 3000;
        msec_t keep = tight             ? IDLE_KEEP_SHORT
                      : d->open > 1     ? IDLE_KEEP_MORE
                      : one_each (p, s) ? IDLE_KEEP_LAST
                                        : IDLE_KEEP;
        next = k->next;
        if (k->state == LINK_OPENING && now - k->since >= CONNECT_TIME)
          {
            log_event (EV_DB_LOST,
                       "database=%s service=%s state=opening cause=timeout",
                       d->id, s->name);
            link_close (p, k);
            db_failed (p, d, now);
          }
        else if (k->state == LINK_IDLE
                 && (d->leaving || d->gone || now - k->since >= keep))
          link_close (p, k);
        else if (k->state == LINK_BUSY && k->owner == NULL
                 && now - k->since > SILENCE)
          link_close (p, k);
      }
}

/* ---- taking and giving back ---- */

link_t *
link_take (db_t *d, session_t *s, msec_t now)
{
  link_t *best = NULL;

  for (link_t *k = d->links; k; k = k->next)
    {
      if (k->state != LINK_IDLE)
        continue;
      if (best == NULL
          || (values_equal (&k->values, &s->values)
              && !values_equal (&best->values, &s->values)))
        best = k;
    }
  if (best == NULL)
    return NULL;
  best->state = LINK_BUSY;
  best->since = now;
  best->owner = s;
  d->idle--;
  s->link = best;
  return best;
}

void
link_release (proxy_t *p, link_t *k)
{
  op_t op = { .kind = OP_ROLLBACK };

  if (k->owner && k->owner->link == k)
    k->owner->link = NULL;
  k->owner = NULL;
  k->since = p->now;
  if (k->nstep)
    return; /* goes on when its answers are in */
  if (k->in_tx)
    {
      push (k, STEP_ROLLBACK);
      p->conf.db->op (out (k), &op, (str_t){ 0 }, (pos_t){ 0 });
      return;
    }
  if (k->db->leaving || k->db->gone)
    {
      link_close (p, k);
      return;
    }
  k->state = LINK_IDLE;
  k->db->idle++;
  statement_pump (p, k->db->service);
}

/* ---- sending ---- */

static void
send_values (proxy_t *p, link_t *k, session_t *s)
{
  op_t op = { .kind = OP_SET };
  bool reset = false;

  for (int i = 0; i < k->values.n && !k->in_tx; i++)
    reset |= values_get (&s->values, k->values.at[i].name) == NULL;
  if (reset)
    {
      push (k, STEP_RESET);
      p->conf.db->reset (out (k));
      values_free (&k->values);
      values_free (&k->prepared);
    }
  for (int i = 0; i < s->values.n; i++)
    {
      const value_t *x = &s->values.at[i];
      const char *have = values_get (&k->values, x->name);
      if (have && strcmp (have, x->value) == 0)
        continue;
      op.name = str_of (x->name);
      op.arg = str_of (x->value);
      push (k, STEP_SET);
      p->conf.db->op (out (k), &op, (str_t){ 0 }, (pos_t){ 0 });
      values_set (&k->values, op.name, op.arg);
    }
}

static void
send_prepare (proxy_t *p, link_t *k, session_t *s)
{
  const char *name = s->req.prepared;
  op_t op = { .kind = OP_PREPARE,
              .name = str_of (name),
              .arg = str_of (name + 1),
              .writes = name[0] == 'w' };

  if (s->req.op.kind != OP_EXECUTE || values_get (&k->prepared, name))
    return;
  push (k, STEP_PREPARE);
  p->conf.db->op (out (k), &op, (str_t){ 0 }, (pos_t){ 0 });
  values_set (&k->prepared, op.name, (str_t){ 0 });
}

static void
send_mark (proxy_t *p, link_t *k)
{
  op_t begin = { .kind = OP_BEGIN };
  op_t end = { .kind = OP_ROLLBACK };

  push (k, STEP_MARK);
  p->conf.db->op (out (k), &begin, (str_t){ 0 }, (pos_t){ 0 });
  push (k, STEP_UNMARK);
  p->conf.db->op (out (k), &end, (str_t){ 0 }, (pos_t){ 0 });
  k->marked = p->now;
  k->mark_ok = false;
}

/* A replica may serve a transaction that only reads, after the position that
   proves it fresh enough.  */
void
link_begin (proxy_t *p, link_t *k, session_t *s)
{
  bool read = s->tx_read && !s->req.lead;
  op_t op = { .kind = read ? OP_BEGIN_READ : OP_BEGIN };

  send_values (p, k, s);
  push (k, STEP_BEGIN);
  p->conf.db->op (out (k), &op, (str_t){ 0 },
                  read ? s->req.need : (pos_t){ 0 });
  k->marked = k->sent = p->now;
}

void
link_run (proxy_t *p, link_t *k, session_t *s)
{
  request_t *r = &s->req;
  bool alone = s->tx == TX_NONE;

  send_values (p, k, s);
  send_prepare (p, k, s);
  k->mark_ok = true;
  if (alone && r->reads && r->lead)
    send_mark (p, k);
  push (k, STEP_OP);
  p->conf.db->op (out (k), &r->op, str_of (r->prepared),
                  alone && r->reads && !r->lead ? r->need : (pos_t){ 0 });
  k->sent = p->now;
  k->prep_ok = true;
  r->sent = true;
}

/* ---- answers ---- */

static void
clear_answer (link_t *k)
{
  k->rows.n = k->rows.off = 0;
  k->text.n = k->text.off = 0;
  k->fail = FAIL_NONE;
  k->done = false;
}

static void
started (proxy_t *p, link_t *k)
{
  k->db->opening--;
  k->db->open++;
  k->db->idle++;
  k->state = LINK_IDLE;
  k->since = p->now;
  k->db->full_at
      = k->db->full_at && p->now - k->db->full_at > 3000 ? 0 : k->db->full_at;
  db_ok (k->db, p->now);
  if (k->db->leaving || k->db->gone)
    link_close (p, k);
  else
    statement_pump (p, k->db->service);
}

/* The database refused the connection and closes it.  */
static void
start_refused (proxy_t *p, link_t *k)
{
  db_t *d = k->db;

  log_event (EV_DB_REFUSED, "database=%s service=%s cause=%s", d->id,
             d->service->name, fail_name (k->fail));
  if (k->fail == FAIL_TOOMANY)
    {
      d->full_at = p->now;
      d->avoid = d->open ? d->avoid : p->now + AVOID_FIRST;
    }
  else
    d->avoid = p->now + AVOID_MAX;
  k->closing = true;
  link_close (p, k);
}

static void
learn (proxy_t *p, link_t *k, const db_msg_t *m)
{
  if (k->fail == FAIL_NONE)
    {
      marks_add (&k->db->service->marks, k->marked, m->pos);
      lead_learned (k->db->service, k->db);
    }
  else if (k->fail == FAIL_READONLY)
    lead_refused (k->db->service, k->db, p->now);
}

/* The answer to the oldest step is whole.  The link may be gone after it, or
   belong to another session.  */
static void
finish_step (proxy_t *p, link_t *k, const db_msg_t *m)
{
  step_t step = k->step[k->first];
  session_t *s = k->owner;

  k->first = (k->first + 1) % STEPS_MAX;
  k->nstep--;
  switch (step)
    {
    case STEP_START:
      started (p, k);
      return;
    case STEP_MARK:
      k->mark_ok = k->fail == FAIL_NONE;
      learn (p, k, m);
      break;
    case STEP_BEGIN:
      k->in_tx = m->state != TX_NONE;
      if (s)
        {
          statement_begun (s, k, k->fail, m->pos);
          return;
        }
      break;
    case STEP_OP:
      k->in_tx = m->state != TX_NONE;
      db_ok (k->db, p->now);
      if (s)
        {
          statement_answer (s, k, m->state, m->pos);
          return;
        }
      break;
    case STEP_ROLLBACK:
      k->in_tx = m->state != TX_NONE;
      break;
    default:
      k->prep_ok &= k->fail == FAIL_NONE;
      break;
    }
  clear_answer (k);
  if (k->nstep == 0 && s == NULL)
    link_release (p, k);
}

static void
take (proxy_t *p, link_t *k, const db_msg_t *m)
{
  uint32_t n = (uint32_t)m->text.n;

  switch (m->kind)
    {
    case DB_ROW:
      buf_add (&k->rows, &n, sizeof n);
      buf_adds (&k->rows, m->text);
      return;
    case DB_DONE:
      k->done = true;
      k->text.n = k->text.off = 0;
      buf_adds (&k->text, m->text);
      return;
    case DB_ERROR:
      k->fail = m->fail;
      k->text.n = k->text.off = 0;
      buf_adds (&k->text, m->text);
      if (k->nstep && k->step[k->first] == STEP_START)
        start_refused (p, k);
      return;
    case DB_READY:
      break;
    }
  finish_step (p, k, m);
}

static void
broken (proxy_t *p, link_t *k)
{
  session_t *s = k->owner;

  log_event (EV_DB_BROKEN, "database=%s service=%s", k->db->id,
             k->db->service->name);
  link_close (p, k);
  if (s)
    statement_lost (s, NULL);
}

static void
link_input (void *arg)
{
  link_t *k = arg;
  proxy_t *p = proxy_of (k);
  /* Both outlive a close until the turn ends.  */
  stream_t *st = k->stream;
  db_msg_t m;
  size_t used;
  int got;

  p->now = loop_now (p->loop);
  while ((got = p->conf.db->decode (buf_str (stream_in (st)), &used, &m)) > 0)
    {
      if (k->nstep == 0)
        break;
      take (p, k, &m);
      if (!stream_up (st))
        return;
      buf_take (stream_in (st), used);
    }
  /* No message, or an answer that nobody asked for.  */
  if (got != 0)
    broken (p, k);
}
