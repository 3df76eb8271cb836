#include "worker.h"

#include <arpa/inet.h>
#include <errno.h>
#include <netinet/tcp.h>
#include <stdlib.h>
#include <string.h>
#include <sys/epoll.h>
#include <sys/socket.h>
#include <unistd.h>

/* ---- buffers: idle sessions have none ---- */

static void
take_free_buf (worker_t *w, buf_t *b)
{
  if (b->p || w->nfree_bufs == 0)
    return;
  b->p = w->free_bufs[--w->nfree_bufs];
  b->cap = FREE_BUF_SIZE;
}

static void
recycle_buf (worker_t *w, buf_t *b)
{
  if (b->p == NULL || buf_len (b))
    return;
  if (b->cap == FREE_BUF_SIZE && w->nfree_bufs < FREE_BUFS_MAX)
    {
      w->free_bufs[w->nfree_bufs++] = b->p;
      buf_init (b);
    }
  else
    buf_free (b);
}

/* ---- lifetime ---- */

static void
link_session (session_t *s)
{
  worker_t *w = s->w;

  s->next = w->sessions;
  if (s->next)
    s->next->prev = s;
  w->sessions = s;
  w->nsessions++;
  counter_add (w->stats.sessions, 1);
}

static void
unlink_session (session_t *s)
{
  worker_t *w = s->w;

  if (s->prev)
    s->prev->next = s->next;
  else
    w->sessions = s->next;
  if (s->next)
    s->next->prev = s->prev;
  w->nsessions--;
  counter_add (w->stats.sessions, -1);
}

static void
new_session (worker_t *w, int fd)
{
  session_t *s = calloc (1, sizeof *s);
  int one = 1;

  if (s == NULL)
    {
      close (fd);
      return;
    }
  setsockopt (fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
  setsockopt (fd, SOL_SOCKET, SO_KEEPALIVE, &one, sizeof one);
  s->io = (io_t){ .fd = fd, .kind = IO_SESSION };
  s->w = w;
  s->block = BLOCK_NONE;
  rate_init (&s->rate);
  w->next_pid = (w->next_pid + 1) & 0xffffff;
  s->pid = (uint32_t)w->index << 24 | w->next_pid;
  s->secret = (uint32_t)rng_u64 (&w->rng);
  link_session (s);
  io_watch (w, &s->io, EPOLLIN);
}

void
session_accept (worker_t *w)
{
  enum
  {
    ACCEPTS_MAX = 64 /* connections accepted in one round of the loop */
  };

  for (int i = 0; i < ACCEPTS_MAX && w->listen.fd >= 0; i++)
    {
      int fd
          = accept4 (w->listen.fd, NULL, NULL, SOCK_NONBLOCK | SOCK_CLOEXEC);
      if (fd < 0)
        {
          if (errno == EMFILE || errno == ENFILE)
            log_event (EV_ACCEPT_FAILED, "error=%s", strerror (errno));
          return;
        }
      new_session (w, fd);
    }
}

static void
free_session (session_t *s)
{
  worker_t *w = s->w;

  stmt_names_free (&s->names, w->stmts);
  if (s->unnamed)
    stmt_put (w->stmts, s->unnamed);
  guc_free (&s->guc);
  guc_free (&s->pending);
  props_free (s);
  free (s);
}

void
session_free_closed (worker_t *w)
{
  while (w->closed_sessions)
    {
      session_t *s = w->closed_sessions;
      w->closed_sessions = s->process_next;
      free_session (s);
    }
}

/* Rolls back the open block of a client that has disconnected, by closing the
   block's connection.  */
static void
rollback_block (session_t *s)
{
  conn_t *c = s->conn;

  if (c == NULL)
    return;
  s->conn = NULL;
  c->session = NULL;
  conn_release (c);
}

void
session_close (session_t *s)
{
  worker_t *w = s->w;

  if (s->closed)
    return;
  if (s->req)
    {
      /* A running request is finished and its answer dropped.  */
      s->disconnected = true;
      if (s->req->state == R_RUN)
        {
          epoll_ctl (w->epoll, EPOLL_CTL_DEL, s->io.fd, NULL);
          s->io.events = 0;
          return;
        }
      request_detach (s->req);
      request_free (s->req);
      s->req = NULL;
    }
  rollback_block (s);
  close (s->io.fd);
  s->io.fd = -1;
  buf_free (&s->in);
  buf_free (&s->out);
  s->closed = true;
  unlink_session (s);
  /* It may still be queued to be processed or flushed.  */
  if (s->process_queued)
    for (session_t **at = &w->process_sessions; *at; at = &(*at)->process_next)
      if (*at == s)
        {
          *at = s->process_next;
          break;
        }
  if (s->flush_queued)
    for (session_t **at = &w->flush_sessions; *at; at = &(*at)->flush_next)
      if (*at == s)
        {
          *at = s->flush_next;
          break;
        }
  s->process_next = w->closed_sessions;
  w->closed_sessions = s;
}

void
session_fatal (session_t *s, pgrefusal_t r, const char *why)
{
  pg_put_refusal (&s->out, r, true, why);
  s->state = S_CLOSING;
  session_flush_later (s);
}

void
session_process_later (session_t *s)
{
  if (s->process_queued || s->closed)
    return;
  s->process_queued = true;
  s->process_next = s->w->process_sessions;
  s->w->process_sessions = s;
}

void
session_flush_later (session_t *s)
{
  if (s->flush_queued || s->closed)
    return;
  s->flush_queued = true;
  s->flush_next = s->w->flush_sessions;
  s->w->flush_sessions = s;
}

/* ---- output ---- */

void
session_flush (session_t *s)
{
  worker_t *w = s->w;

  if (s->disconnected)
    {
      buf_free (&s->out);
      if (s->req == NULL)
        session_close (s);
      return;
    }
  if (buf_len (&s->out) && rpc_write (s->io.fd, &s->out, NULL) < 0)
    {
      session_close (s);
      return;
    }
  if (buf_len (&s->out) == 0)
    {
      recycle_buf (w, &s->out);
      if (s->state == S_CLOSING && s->req == NULL)
        {
          session_close (s);
          return;
        }
    }
  conn_t *c = s->req ? s->req->conn : s->conn;
  if (c && c->paused && buf_len (&s->out) < OUT_LOW)
    conn_resume (c);
  io_watch (w, &s->io,
            (s->paused ? 0 : EPOLLIN) | (buf_len (&s->out) ? EPOLLOUT : 0));
}

/* ---- input ---- */

static void
read_startup (session_t *s)
{
  pgstart_t m;
  err_t e = { 0 };
  int got;

  while (s->state == S_STARTUP && (got = pg_startup (&s->in, &m, &e)) != 0)
    {
      if (got < 0)
        {
          session_fatal (s,
                         e.code == ERR_TOO_LARGE ? PG_TOO_LARGE : PG_MALFORMED,
                         e.detail);
          return;
        }
      if (!startup_message (s, &m))
        return;
      buf_take (&s->in, m.size);
    }
}

static bool
refuse_draining (session_t *s)
{
  worker_t *w = s->w;

  if (!w->drain_since || w->now < w->drain_since + DRAIN_GRACE
      || s->block != BLOCK_NONE)
    return false;
  session_fatal (s, PG_SHUTDOWN, "");
  return true;
}

/* After an error in a batch that ended with Flush, discards messages up to the
   next Sync.  */
static bool
skip_to_sync (session_t *s, unit_t u, size_t size)
{
  if (!s->skip_to_sync || u == UNIT_END || u == UNIT_BAD)
    return false;
  buf_take (&s->in, size);
  s->scanned = 0;
  if (u == UNIT_BATCH || u == UNIT_SYNC)
    {
      s->skip_to_sync = false;
      pg_put_ready (&s->out, s->block);
      session_flush_later (s);
    }
  return true;
}

static void
start_unit (session_t *s, unit_t u, size_t size)
{
  s->scanned = 0;
  switch (u)
    {
    case UNIT_SYNC:
      buf_take (&s->in, size);
      pg_put_ready (&s->out, s->block);
      session_flush_later (s);
      break;
    case UNIT_CALL:
      buf_take (&s->in, size);
      pg_put_refusal (&s->out, PG_UNSUPPORTED, false, "FunctionCall");
      pg_put_ready (&s->out, s->block);
      session_flush_later (s);
      break;
    case UNIT_FLUSH:
      if (pg_client_type (*buf_str (&s->in).p)
          && strchr ("Hdcf", *buf_str (&s->in).p))
        {
          buf_take (&s->in, size);
          break;
        }
      request_start (s, u, size);
      break;
    default:
      request_start (s, u, size);
    }
}

void
session_process (session_t *s)
{
  while (!s->closed && !s->disconnected && s->state == S_OPEN && s->req == NULL
         && buf_len (&s->in))
    {
      size_t size = 0;
      err_t e = { 0 };
      unit_t u = unit_next (s, &size, &e);
      if (u == UNIT_MORE)
        break;
      if (u == UNIT_END)
        {
          session_close (s);
          return;
        }
      if (u == UNIT_BAD)
        {
          session_fatal (s,
                         e.code == ERR_TOO_LARGE ? PG_TOO_LARGE : PG_MALFORMED,
                         e.detail);
          return;
        }
      if (skip_to_sync (s, u, size))
        continue;
      if (refuse_draining (s))
        return;
      if (s->admin && u == UNIT_QUERY)
        {
          admin_query (s, (str_t){ buf_str (&s->in).p + 5, size - 6 });
          buf_take (&s->in, size);
        }
      else
        start_unit (s, u, size);
    }
  if (!s->closed)
    recycle_buf (s->w, &s->in);
}

void
session_resume (session_t *s)
{
  if (!s->paused || s->closed || s->disconnected)
    return;
  s->paused = false;
  io_watch (s->w, &s->io, EPOLLIN | (buf_len (&s->out) ? EPOLLOUT : 0));
}

static void
pause_input (session_t *s)
{
  s->paused = true;
  io_watch (s->w, &s->io, buf_len (&s->out) ? EPOLLOUT : 0);
}

static bool
read_input (session_t *s)
{
  ssize_t n = read (s->io.fd, s->w->scratch, READ_SIZE);

  if (n < 0 && (errno == EAGAIN || errno == EINTR))
    return false;
  if (n <= 0)
    {
      session_close (s);
      return false;
    }
  take_free_buf (s->w, &s->in);
  buf_add (&s->in, s->w->scratch, (size_t)n);
  return true;
}

void
session_event (session_t *s, uint32_t events)
{
  if (s->closed || s->disconnected)
    return;
  if (events & EPOLLOUT)
    session_flush_later (s);
  if (!(events & (EPOLLIN | EPOLLHUP | EPOLLERR)) || !read_input (s))
    return;
  if (s->state == S_STARTUP)
    read_startup (s);
  if (s->state == S_CLOSING)
    {
      buf_free (&s->in);
      return;
    }
  if (s->req && buf_len (&s->in) > s->req->size + READ_AHEAD)
    pause_input (s);
  if (s->state == S_OPEN)
    session_process (s);
}
