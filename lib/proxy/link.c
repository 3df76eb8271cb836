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

void
link_expect (link_t *k, step_t step)
{
  k->step[(k->first + k->nstep++) % STEPS_MAX] = (uint8_t)step;
}

buf_t *
link_out (link_t *k)
{
  stream_flush (k->stream);
  return stream_out (k->stream);
}

/* ---- opening and closing ---- */

bool
link_open (proxy_t *p, db_t *d, tenant_t *t)
{
  err_t e = { 0 };
  link_t *k = calloc (1, sizeof *k);

  if (k == NULL)
    abort ();
  k->db = d;
  k->tenant = t;
  k->since = p->now;
  k->stream = stream_dial (p->loop, str_of (d->address), ACK_TIMEOUT,
                           &link_ops, k, &e);
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
  link_expect (k, STEP_START);
  p->conf.db->startup (stream_out (k->stream), d->service->name,
                       t ? t->name : p->conf.name, str_of (d->id));
  wake_at (p, p->now + CONNECT_TIMEOUT);
  return true;
}

static void
link_opened (void *arg)
{
  link_t *k = arg;

  k->sent = loop_now (proxy_of (k)->loop);
}

static void
remove_link (link_t *k)
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
  remove_link (k);
  budget_charge (loop_budget (proxy_of (k)->loop), &k->held, 0);
  values_free (&k->values);
  values_free (&k->prepared);
  buf_free (&k->rows);
  buf_free (&k->text);
  /* A callback of this turn may still use it.  */
  k->next = proxy_of (k)->closed_links;
  proxy_of (k)->closed_links = k;
}

void
links_free_closed (proxy_t *p)
{
  link_t *k;

  while ((k = p->closed_links) != NULL)
    {
      p->closed_links = k->next;
      free (k);
    }
}

void
link_close (proxy_t *p, link_t *k)
{
  (void)p;
  if (k->session && k->session->link == k)
    k->session->link = NULL;
  stream_close (k->stream);
  link_free (k);
}

/* The database closed the connection, or it failed.  */
static void
link_closed (void *arg, err_t *e)
{
  link_t *k = arg;
  proxy_t *p = proxy_of (k);
  session_t *s = k->session;
  db_t *d = k->db;
  service_t *v = d->service;
  bool failed = k->state != LINK_IDLE;

  (void)e;
  p->now = loop_now (p->loop);
  if (failed && !k->closing)
    {
      log_event (
          EV_DB_LOST, "database=%s service=" STR_FMT " state=%s cause=%s",
          d->id, STR_ARG (v->name),
          k->state == LINK_OPENING ? "opening" : "busy", err_name (e->code));
      db_result (d, false, p->now);
      db_failed (p, d, p->now);
    }
  if (s && s->link == k)
    s->link = NULL;
  link_free (k);
  if (s)
    statement_disconnected (s, NULL);
  statement_place_queued (p, v);
}

/* ---- acquire and release ---- */

link_t *
link_acquire (db_t *d, session_t *s, msec_t now)
{
  link_t *best = NULL;

  for (link_t *k = d->links; k; k = k->next)
    {
      if (k->state != LINK_IDLE || k->tenant != s->tenant)
        continue;
      if (best == NULL
          || (values_equal (&k->values, &s->values)
              && !values_equal (&best->values, &s->values)))
        best = k;
    }
  if (best == NULL)
    return NULL;
  best->state = LINK_BUSY;
  best->used = true;
  best->since = now;
  best->session = s;
  d->idle--;
  s->link = best;
  return best;
}

void
link_release (proxy_t *p, link_t *k)
{
  op_t op = { .kind = OP_ROLLBACK };

  if (k->session && k->session->link == k)
    k->session->link = NULL;
  k->session = NULL;
  k->since = p->now;
  if (k->nstep)
    buf_free (&k->rows);
  link_charge (k);
  if (k->nstep)
    return; /* finish_step releases it after the last answer */
  if (k->in_tx)
    {
      link_expect (k, STEP_ROLLBACK);
      p->conf.db->op (link_out (k), &op, (str_t){ 0 }, (pos_t){ 0 });
      return;
    }
  if (k->db->leaving || k->db->gone)
    {
      link_close (p, k);
      return;
    }
  k->state = LINK_IDLE;
  k->db->idle++;
  statement_place_queued (p, k->db->service);
}

/* ---- answers ---- */

static void
link_started (proxy_t *p, link_t *k)
{
  k->db->opening--;
  k->db->open++;
  k->db->idle++;
  k->state = LINK_IDLE;
  k->since = p->now;
  k->db->full_at = k->db->full_at && p->now - k->db->full_at > FULL_TIME
                       ? 0
                       : k->db->full_at;
  db_answered (k->db, p->now);
  if (k->db->leaving || k->db->gone)
    link_close (p, k);
  else
    statement_place_queued (p, k->db->service);
}

/* The database refused the connection and closes it.  */
static void
start_refused (proxy_t *p, link_t *k)
{
  db_t *d = k->db;

  log_event (EV_DB_REFUSED, "database=%s service=" STR_FMT " cause=%s", d->id,
             STR_ARG (d->service->name), fail_name (k->fail));
  if (k->fail == FAIL_TOOMANY)
    {
      d->full_at = p->now;
      d->avoid_until = d->open ? d->avoid_until : p->now + BACKOFF_MIN;
    }
  else
    d->avoid_until = p->now + BACKOFF_MAX;
  k->closing = true;
  link_close (p, k);
}

/* The answer to the oldest step is complete.  On return K may be closed, or
   belong to another session.  */
static void
finish_step (proxy_t *p, link_t *k, const db_msg_t *m)
{
  step_t step = k->step[k->first];
  session_t *s = k->session;

  k->first = (k->first + 1) % STEPS_MAX;
  k->nstep--;
  switch (step)
    {
    case STEP_START:
      link_started (p, k);
      return;
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
      db_answered (k->db, p->now);
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
      break;
    }
  answer_clear (k);
  if (k->nstep == 0 && s == NULL)
    link_release (p, k);
}

static void
handle_message (proxy_t *p, link_t *k, const db_msg_t *m)
{
  uint32_t n = (uint32_t)m->text.n;

  switch (m->kind)
    {
    case DB_ROW:
      if (k->session == NULL)
        return; /* its session has closed */
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
close_malformed (proxy_t *p, link_t *k)
{
  session_t *s = k->session;

  log_event (EV_DB_BROKEN, "database=%s service=" STR_FMT, k->db->id,
             STR_ARG (k->db->service->name));
  link_close (p, k);
  if (s)
    statement_disconnected (s, NULL);
}

static void
link_input (void *arg)
{
  link_t *k = arg;
  proxy_t *p = proxy_of (k);
  /* After a close both stay allocated until the turn ends.  */
  stream_t *st = k->stream;
  db_msg_t m;
  size_t used;
  int got;

  p->now = loop_now (p->loop);
  while ((got = p->conf.db->decode (buf_str (stream_in (st)), &used, &m)) > 0)
    {
      if (k->nstep == 0)
        break;
      handle_message (p, k, &m);
      if (!stream_connected (st))
        return;
      buf_take (stream_in (st), used);
    }
  /* A malformed message, or an answer without a request.  */
  if (got != 0)
    close_malformed (p, k);
  else
    link_charge (k);
}
