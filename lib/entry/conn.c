#include "worker.h"

#include <errno.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/epoll.h>
#include <unistd.h>

/* ---- lifetime and state ---- */

static void
unqueue_flush (conn_t *c)
{
  for (conn_t **at = &c->w->flush_conns; *at; at = &(*at)->flush_next)
    if (*at == c)
      {
        *at = c->flush_next;
        return;
      }
}

void
conn_close (conn_t *c)
{
  dbpool_t *d = c->db;

  if (c->closed)
    return;
  c->closed = true;
  if (c->flush_queued)
    unqueue_flush (c);
  if (c->admitted)
    admit_done (d->admit, 0, ADMIT_UNTIMED, c->w->now);
  c->admitted = false;
  if (c->state == C_CONNECT)
    pool_failed (&d->pool, c->slot, c->w->now);
  else
    pool_closed (&d->pool, c->slot);
  d->conn[c->slot] = NULL;
  c->state = C_CLOSED;
  if (c->pg)
    PQfinish (c->pg); /* closes the socket, which removes it from epoll */
  c->pg = NULL;
  buf_free (&c->in);
  buf_free (&c->out);
  c->flush_next = c->w->closed_conns;
  c->w->closed_conns = c;
}

void
conn_free_closed (worker_t *w)
{
  while (w->closed_conns)
    {
      conn_t *c = w->closed_conns;
      w->closed_conns = c->flush_next;
      free (c);
    }
}

void
conn_flush_later (conn_t *c)
{
  if (c->flush_queued || c->closed)
    return;
  c->flush_queued = true;
  c->flush_next = c->w->flush_conns;
  c->w->flush_conns = c;
}

static void
update_events (conn_t *c)
{
  io_watch (c->w, &c->io,
            (c->paused ? 0 : EPOLLIN) | (buf_len (&c->out) ? EPOLLOUT : 0));
}

void
conn_pause (conn_t *c)
{
  c->paused = true;
  update_events (c);
}

void
conn_resume (conn_t *c)
{
  c->paused = false;
  update_events (c);
}

void
conn_cancel (conn_t *c)
{
  PGcancel *pc = c->pg ? PQgetCancel (c->pg) : NULL;

  /* A late cancel can hit whatever runs on the connection next, so it is not
     used for another request.  */
  c->unusable = true;
  if (pc && !ring_put (c->w->in->cancels, pc, NULL))
    PQfreeCancel (pc);
}

/* ---- queries of the proxy: status and reset ---- */

static void
internal_query (conn_t *c, conn_state_t state, str_t text)
{
  c->state = (uint8_t)state;
  c->since = c->w->now;
  c->ready_due++;
  pg_put_query (&c->out, text);
  conn_flush_later (c);
}

void
conn_query_status (conn_t *c, req_t *r)
{
  c->req = r;
  internal_query (c, C_STATUS, STR ("SELECT * FROM pimentopost_status()"));
}

void
conn_idle (conn_t *c, pool_action_t action)
{
  if (action == POOL_CLOSE)
    {
      dbpool_t *d = c->db;
      conn_close (c);
      dbpool_start_admitted (d);
      return;
    }
  c->state = C_IDLE;
  c->since = c->w->now;
  c->owner = 0;
  dbpool_start_admitted (c->db);
}

void
conn_release (conn_t *c)
{
  dbpool_t *d = c->db;

  if (c->closed)
    return;
  if (c->admitted)
    admit_done (d->admit, 0, ADMIT_UNTIMED, c->w->now);
  c->admitted = c->ended = false;
  c->session = NULL;
  c->req = NULL;
  char ready = c->ready_due == 0 && buf_len (&c->in) == 0 ? c->ready : 0;
  pool_action_t action = pool_release (&d->pool, c->slot, c->owner, ready,
                                       c->stateful, c->unusable, c->w->now);
  if (action != POOL_RESET)
    {
      conn_idle (c, action);
      return;
    }
  c->reset_ok = true;
  memset (&c->prepared, 0, sizeof c->prepared);
  c->unnamed[0] = c->unnamed[1] = 0;
  internal_query (c, C_RESET, STR ("DISCARD ALL"));
  dbpool_start_admitted (d);
}

static void
reset_message (conn_t *c, const pgmsg_t *m)
{
  if (m->type == 'E')
    c->reset_ok = false;
  if (m->type == 'Z')
    c->ended = true;
}

static void
reset_done (conn_t *c)
{
  bool ok = c->reset_ok && !c->unusable;

  c->stateful = false;
  conn_idle (c, pool_reset (&c->db->pool, c->slot, c->ready, ok, c->w->now));
}

static void
status_row (conn_t *c, str_t body)
{
  worker_t *w = c->w;
  dbpool_t *d = c->db;
  str_t col[10] = { 0 };

  if (pg_row (body, col, 10) < 7 || !str_int (col[0], &d->term)
      || !str_int (col[2], &d->pos))
    return;
  d->primary = str_eq (col[1], STR ("primary"));
  d->last_ok = msec_now ();
  if (!d->primary)
    view_set_applied (w->view, d->name, d->term, d->pos, c->since, w->now);
  else if (view_lease_valid (w->view, d->group, d->term, d->last_ok))
    view_add_sample (w->view, d->group, d->term, d->pos, c->since);
}

static void
status_message (conn_t *c, const pgmsg_t *m)
{
  req_t *r = c->req;

  if (m->type == 'D')
    status_row (c, m->body);
  else if (m->type == 'Z')
    {
      if (r)
        {
          group_state_t *g = r->group;
          c->req = NULL;
          request_free (r);
          barrier_done (g, c->w);
        }
      c->ended = true;
    }
}

/* ---- output ---- */

void
conn_flush (conn_t *c)
{
  size_t before = buf_len (&c->out);
  long left = rpc_write (c->io.fd, &c->out, NULL);

  if (c->state == C_RUN && c->req && buf_len (&c->out) < before)
    xchg_sent (&c->req->x);
  /* A write error is handled as the read error or end of file that follows,
     after what the database may have sent before.  */
  if (left < 0)
    c->out.n = c->out.off = 0;
  if (left == 0 && c->out.cap > READ_SIZE)
    buf_free (&c->out);
  update_events (c);
}

/* ---- input ---- */

static bool
lease_held (void *arg)
{
  req_t *r = arg;

  /* Not W->now: the process may have been suspended since the events of this
     round were read.  */
  return view_lease_valid (r->w->view, r->group->name, r->x.plan.term,
                           msec_now ());
}

static void
apply_row (void *arg, seg_t seg, const str_t *col, int n)
{
  req_t *r = arg;
  worker_t *w = r->w;
  str_t db = r->conn->db->name;

  if (seg == SEG_OUTCOME && n > 0)
    {
      r->outcome.n = r->outcome.off = 0;
      buf_adds (&r->outcome, col[0]);
    }
  else if (seg == SEG_CHECK)
    view_set_applied (w->view, db, r->x.token.term, r->x.token.pos, r->sent,
                      w->now);
  else if (seg == SEG_CONFIRM
           && view_lease_valid (w->view, r->group->name, r->x.token.term,
                                w->now))
    view_add_sample (w->view, r->group->name, r->x.token.term, r->x.token.pos,
                     r->sent);
}

static void
pass_answer (req_t *r, xaction_t act, str_t raw)
{
  session_t *s = r->s;

  if (act == X_DROP || s->disconnected)
    return;
  if (act == X_HOLD)
    {
      buf_adds (&r->hold, raw);
      return;
    }
  if (buf_len (&r->hold))
    {
      buf_adds (&s->out, buf_str (&r->hold));
      r->hold.n = r->hold.off = 0;
    }
  buf_adds (&s->out, raw);
  session_flush_later (s);
}

static void
exchange_message (conn_t *c, const pgmsg_t *m, str_t raw)
{
  req_t *r = c->req;
  xcallbacks_t cb = { lease_held, apply_row, r };
  xverdict_t v;
  xaction_t act;
  char local;

  r->progress = c->w->now;
  while ((local = xchg_local_answer (&r->x, &cb, &act)) != 0)
    {
      char msg[5] = { local, 0, 0, 0, 4 };
      pass_answer (r, act, (str_t){ msg, sizeof msg });
    }
  bool failed = r->x.failed;
  act = xchg_message (&r->x, m, &cb, &v);
  if (r->x.failed && !failed && r->extended)
    batch_failed (r, c);
  pass_answer (r, act, raw);
  request_apply_verdict (r, v);
}

/* Messages that a database may send at any time.  */
static bool
is_asynchronous (char type)
{
  return type == 'N' || type == 'S' || type == 'A';
}

static void
connection_lost (conn_t *c)
{
  worker_t *w = c->w;
  dbpool_t *d = c->db;
  session_t *s = c->session;
  req_t *r = c->req;
  bool in_use = c->state != C_IDLE;

  c->unusable = true;
  if (c->state == C_RUN && r)
    {
      request_conn_lost (r);
      if (!c->closed)
        conn_close (c);
    }
  else
    {
      if (s)
        {
          s->conn = NULL;
          s->block_lost = true;
          s->block = BLOCK_FAILED;
        }
      conn_close (c);
      if (r) /* a barrier sample */
        {
          group_state_t *g = r->group;
          request_free (r);
          barrier_done (g, w);
        }
    }
  if (in_use)
    view_db_failed (w->view, d->name, w->now);
  dbpool_start_admitted (d);
}

static void
handle_message (conn_t *c, const pgmsg_t *m, str_t raw)
{
  if (m->type == 'Z' && m->body.n == 1)
    {
      c->ready = *m->body.p;
      c->ready_due--;
    }
  if (c->ended)
    c->unusable = c->unusable || !is_asynchronous (m->type);
  else if (c->state == C_RUN && c->req)
    exchange_message (c, m, raw);
  else if (c->state == C_RESET)
    reset_message (c, m);
  else if (c->state == C_STATUS)
    status_message (c, m);
  else if (!is_asynchronous (m->type))
    {
      /* No query is running that this message could answer, so the connection
         is not used again.  */
      log_event (EV_ANSWER_UNASKED, "database=" STR_FMT " type=%c",
                 STR_ARG (c->db->name), m->type);
      connection_lost (c);
    }
}

static bool
read_bytes (conn_t *c, str_t *got)
{
  worker_t *w = c->w;
  ssize_t n = read (c->io.fd, w->scratch, READ_SIZE);

  if (n < 0 && (errno == EAGAIN || errno == EINTR))
    return false;
  if (n <= 0)
    {
      connection_lost (c);
      return false;
    }
  if (buf_len (&c->in))
    {
      buf_add (&c->in, w->scratch, (size_t)n);
      *got = buf_str (&c->in);
    }
  else
    *got = (str_t){ w->scratch, (size_t)n };
  return true;
}

/* Keeps the bytes of S from OFF on, an incomplete message, for the next
   read.  */
static void
keep_rest (conn_t *c, str_t s, size_t off)
{
  if (s.p == c->w->scratch)
    buf_add (&c->in, s.p + off, s.n - off);
  else
    buf_take (&c->in, off);
  if (buf_len (&c->in) == 0)
    buf_free (&c->in);
}

static void
finish_read (conn_t *c)
{
  session_t *s = c->req ? c->req->s : NULL;

  if (c->ended)
    {
      c->ended = false;
      if (c->state == C_RESET)
        reset_done (c);
      else if (c->session == NULL)
        conn_release (c);
    }
  else if (s && buf_len (&s->out) > OUT_HIGH && !c->paused)
    conn_pause (c);
}

static void
conn_read (conn_t *c)
{
  str_t in;
  size_t off = 0;
  pgmsg_t m;
  err_t e = { 0 };
  int got;

  if (!read_bytes (c, &in))
    return;
  while ((got = pg_next (in, &off, PG_MAX_ANSWER, &m, &e)) == 1)
    {
      handle_message (c, &m, (str_t){ in.p + off - m.size, m.size });
      if (c->closed)
        return;
    }
  if (got < 0)
    {
      log_event (EV_ANSWER_BROKEN, "database=" STR_FMT " detail=%s",
                 STR_ARG (c->db->name), e.detail);
      connection_lost (c);
      return;
    }
  keep_rest (c, in, off);
  finish_read (c);
}

void
conn_event (conn_t *c, uint32_t events)
{
  if (c->closed)
    return;
  if (c->state == C_CONNECT)
    {
      conn_continue_connect (c);
      return;
    }
  if (events & EPOLLOUT)
    conn_flush_later (c);
  if (events & (EPOLLIN | EPOLLHUP | EPOLLERR))
    conn_read (c);
}
