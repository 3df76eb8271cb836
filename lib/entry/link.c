#include "worker.h"

#include <poll.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

enum
{
  RENEW_EVERY = 100,    /* ms */
  FULL_EVERY = 5,       /* renewals; the others leave out what seldom changes,
                           so that control takes less than 10 KB/s */
  ANSWER_MAX = 250,     /* ms until another control instance is tried */
  POLL_MAX = 20,        /* ms, bounds the reaction to a stop */
  ANNOUNCES_MAX = 1024, /* kept between two renewals */
  ANNOUNCE_TTL = 3000,  /* ms, after which an announcement has run out */
  DBS_MAX = 1024
};

typedef struct
{
  instance_t *in;
  int stop; /* __atomic access */
  str_t to; /* host:port of the control instance asked now */
  char leader[64];
  size_t peer; /* next one to try */
  int fd;
  buf_t rx;
  buf_t tx;
  int64_t seq;
  int64_t raft_term; /* of the last grant */
  int brief;    /* renewals over this connection since the last full one; -1:
                   none yet */
  msec_t next;  /* time of the next renewal */
  msec_t asked; /* time of the oldest renewal without an answer; 0 */
  bool up;
  report_t *last[WORKERS_MAX];
  report_t *announce[ANNOUNCES_MAX];
  int nannounce;
} link_t;

/* ---- what the loops reported ---- */

static bool
same_announcement (const report_t *a, const report_t *b)
{
  return strcmp (a->name, b->name) == 0 && strcmp (a->address, b->address) == 0
         && strcmp (a->group, b->group) == 0;
}

static void
keep_announcement (link_t *l, report_t *r)
{
  for (int i = 0; i < l->nannounce; i++)
    if (same_announcement (l->announce[i], r))
      {
        free (l->announce[i]);
        l->announce[i] = r;
        return;
      }
  if (l->nannounce == ANNOUNCES_MAX)
    free (r);
  else
    l->announce[l->nannounce++] = r;
}

static void
take_reports (link_t *l)
{
  report_t *r;

  while ((r = ring_get (l->in->reports, 0)) != NULL)
    if (r->announce)
      keep_announcement (l, r);
    else
      {
        free (l->last[r->worker]);
        l->last[r->worker] = r;
      }
}

static void
drop_announcements (link_t *l)
{
  while (l->nannounce)
    free (l->announce[--l->nannounce]);
}

static void
drop_old_announcements (link_t *l, msec_t now)
{
  int n = 0;

  for (int i = 0; i < l->nannounce; i++)
    if (now - l->announce[i]->when < ANNOUNCE_TTL)
      l->announce[n++] = l->announce[i];
    else
      free (l->announce[i]);
  l->nannounce = n;
}

/* ---- renewals ---- */

typedef struct
{
  probe_t probe[DBS_MAX];
  db_usage_t use[DBS_MAX];
  announce_t announce[ANNOUNCES_MAX];
  int n;
} lists_t;

static int
place (lists_t *t, const report_db_t *d)
{
  for (int i = 0; i < t->n; i++)
    if (str_eq (t->use[i].name, str_of (d->name)))
      return i;
  if (t->n == DBS_MAX)
    return -1;
  t->use[t->n] = (db_usage_t){ .name = str_of (d->name) };
  t->probe[t->n] = (probe_t){ .name = str_of (d->name),
                              .address = str_of (d->address),
                              .ok_age = -1 };
  return t->n++;
}

static void
add_db (lists_t *t, const report_db_t *d)
{
  int i = place (t, d);

  if (i < 0)
    return;
  t->use[i].open += d->open;
  t->use[i].demand += d->want;
  probe_t *p = &t->probe[i];
  p->reachable = p->reachable || d->reachable;
  if (d->ok_age < 0 || (p->ok_age >= 0 && p->ok_age <= d->ok_age))
    return;
  p->ok_age = d->ok_age;
  p->term = d->term;
  p->position = d->pos;
  if (d->term > 0)
    p->role = d->primary ? STR ("primary") : STR ("replica");
}

static void
fill_announces (const link_t *l, lists_t *t, msec_t now)
{
  for (int i = 0; i < l->nannounce; i++)
    {
      const report_t *r = l->announce[i];
      t->announce[i] = (announce_t){ .group = str_of (r->group),
                                     .name = str_of (r->name),
                                     .address = str_of (r->address),
                                     .zone = str_of (r->zone),
                                     .term = r->term,
                                     .position = r->position,
                                     .leaving = r->leaving,
                                     .age = now - r->when };
    }
}

/* Keeps the probes that decide about failovers.  */
static void
keep_urgent (lists_t *t)
{
  int n = 0;

  for (int i = 0; i < t->n; i++)
    if (!t->probe[i].reachable || str_eq (t->probe[i].role, STR ("primary")))
      t->probe[n++] = t->probe[i];
  t->n = n;
}

static void
renew (link_t *l, msec_t now)
{
  const settings_t *set = l->in->set;
  lists_t *t = calloc (1, sizeof *t);
  renew_t m = { .name = set->name,
                .zone = set->zone,
                .boot = l->in->boot,
                .seq = ++l->seq,
                .cfg_term = -1,
                .cfg_index = -1,
                .stopping = instance_stopping (l->in),
                .address = set->listen,
                .raft_term = l->raft_term };

  if (t == NULL)
    abort ();
  for (int i = 0; i < l->in->nworkers; i++)
    {
      const report_t *r = l->last[i];
      for (int k = 0; r && k < r->ndbs; k++)
        add_db (t, &r->db[k]);
      /* In force is what every loop has.  */
      if (r && (i == 0 || r->cfg_index < m.cfg_index))
        {
          m.cfg_term = r->cfg_term;
          m.cfg_index = r->cfg_index;
        }
    }
  fill_announces (l, t, now);
  m.brief = l->brief >= 0 && l->brief < FULL_EVERY - 1;
  l->brief = m.brief ? l->brief + 1 : 0;
  if (m.brief)
    keep_urgent (t);
  m.probes = (list_t){ t->probe, (size_t)t->n };
  m.usage = (list_t){ t->use, m.brief ? 0 : (size_t)t->n };
  m.announces = (list_t){ t->announce, (size_t)l->nannounce };
  /* The lease counts from here.  */
  m.sent = msec_now ();
  rpc_encode (&l->tx, MSG_RENEW, &m);
  free (t);
  drop_announcements (l);
  if (l->asked == 0)
    l->asked = now;
}

/* ---- grants ---- */

static void
deliver (link_t *l, str_t body, worker_t *w)
{
  inbox_t *m = calloc (1, sizeof *m);
  msgtype_t type;

  if (m == NULL)
    abort ();
  apr_pool_create (&m->pool, NULL);
  m->grant = rpc_decode (m->pool, body, &type, NULL);
  if (m->grant && type == MSG_GRANT && ring_put (w->ring, m, NULL))
    return;
  apr_pool_destroy (m->pool);
  free (m);
  (void)l;
}

static void
follow_leader (link_t *l, const grant_t *g)
{
  if (g->status != GRANT_NOT_LEADER || g->leader.n == 0
      || g->leader.n >= sizeof l->leader || str_eq (g->leader, l->to))
    return;
  memcpy (l->leader, g->leader.p, g->leader.n);
  l->leader[g->leader.n] = '\0';
  l->to = str_of (l->leader);
  close (l->fd);
  l->fd = -1;
  l->next = 0;
}

static bool
take_grant (link_t *l, str_t body, err_t *e)
{
  apr_pool_t *pool;
  msgtype_t type;

  apr_pool_create (&pool, NULL);
  grant_t *g = rpc_decode (pool, body, &type, e);
  bool ok = g && type == MSG_GRANT;
  if (ok)
    {
      for (int i = 0; i < l->in->nworkers; i++)
        deliver (l, body, l->in->worker[i]);
      l->raft_term = g->raft_term;
      if (g->status == GRANT_OK)
        __atomic_store_n (&l->in->contact, msec_now (), __ATOMIC_RELEASE);
      if (!l->up)
        log_event (EV_LINK_UP, "control=" STR_FMT " status=%d",
                   STR_ARG (l->to), (int)g->status);
      l->up = true;
      follow_leader (l, g);
    }
  apr_pool_destroy (pool);
  return ok;
}

/* ---- connection ---- */

static void
disconnect (link_t *l)
{
  if (l->fd >= 0)
    close (l->fd);
  l->fd = -1;
  l->rx.n = l->rx.off = l->tx.n = l->tx.off = 0;
  l->asked = 0;
  l->brief = -1;
  if (l->up)
    log_event (EV_LINK_DOWN, "control=" STR_FMT, STR_ARG (l->to));
  l->up = false;
  l->to = (str_t){ 0 };
}

static bool
connect_next (link_t *l)
{
  const settings_t *set = l->in->set;

  if (l->fd >= 0)
    return true;
  l->rx.n = l->rx.off = l->tx.n = l->tx.off = 0;
  l->asked = 0;
  l->brief = -1;
  if (l->to.n == 0 && set->npeers)
    l->to = set->peers[l->peer++ % set->npeers].address;
  l->fd = l->to.n ? rpc_connect (l->to, NULL) : -1;
  if (l->fd < 0)
    l->to = (str_t){ 0 };
  return l->fd >= 0;
}

static bool
read_grants (link_t *l)
{
  str_t body;
  err_t e = { 0 };
  int got;

  if (rpc_read (l->fd, &l->rx, &e) < 0)
    return false;
  while ((got = rpc_frame (&l->rx, &body, &e)) == 1)
    {
      if (!take_grant (l, body, &e))
        return false;
      l->asked = 0;
      if (l->fd < 0) /* the leader is elsewhere */
        return true;
      buf_take (&l->rx, body.n + 4);
    }
  return got == 0;
}

static void
cycle (link_t *l)
{
  msec_t now = msec_now ();

  take_reports (l);
  drop_old_announcements (l, now);
  if (now >= l->next)
    {
      l->next = now + RENEW_EVERY;
      if (connect_next (l))
        renew (l, now);
    }
  if (l->fd < 0)
    {
      msec_sleep (POLL_MAX);
      return;
    }
  struct pollfd p
      = { .fd = l->fd,
          .events = (short)(POLLIN | (buf_len (&l->tx) ? POLLOUT : 0)) };
  if (poll (&p, 1, POLL_MAX) < 0)
    return;
  bool ok = true;
  if (p.revents & POLLOUT)
    ok = rpc_write (l->fd, &l->tx, NULL) >= 0;
  if (ok && (p.revents & (POLLIN | POLLHUP | POLLERR)))
    ok = read_grants (l);
  if (!ok || (l->asked && msec_now () - l->asked > ANSWER_MAX))
    {
      disconnect (l);
      l->next = 0;
    }
}

static bool
run (void *arg, err_t *e)
{
  link_t *l = arg;

  (void)e;
  while (!__atomic_load_n (&l->stop, __ATOMIC_ACQUIRE))
    cycle (l);
  disconnect (l);
  drop_announcements (l);
  buf_free (&l->rx);
  buf_free (&l->tx);
  for (int i = 0; i < l->in->nworkers; i++)
    free (l->last[i]);
  return true;
}

static void
stop (void *arg)
{
  link_t *l = arg;

  __atomic_store_n (&l->stop, 1, __ATOMIC_RELEASE);
}

duty_t
link_duty (instance_t *in)
{
  link_t *l = apr_pcalloc (in->pool, sizeof *l);

  l->in = in;
  l->fd = -1;
  /* Instances spread over the control instances from the start.  */
  l->peer = in->set->npeers ? (size_t)in->boot % in->set->npeers : 0;
  return (duty_t){ "link", run, stop, l };
}
