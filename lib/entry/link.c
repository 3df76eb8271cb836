#include "worker.h"

#include <poll.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

enum
{
  RENEW_INTERVAL = 100, /* ms */
  FULL_EVERY = 5,       /* renewals; those between full ones leave out what
                           seldom changes, so that control receives less than
                           10 KB/s */
  ANSWER_TIMEOUT = 250, /* ms until another control instance is tried */
  POLL_TIMEOUT = 20,    /* ms, the longest delay of a stop */
  ANNOUNCES_MAX = 1024, /* announcements kept between two renewals */
  ANNOUNCE_TTL = 3000,  /* ms until an announcement expires */
  DBS_MAX = 1024        /* databases in one renewal */
};

/* The connection to one control instance at a time.  It renews the leases of
   this entry instance, and passes on the workers' reports and announcements.
 */
typedef struct
{
  instance_t *in;
  int stop;      /* __atomic access */
  str_t control; /* host:port of the control instance in use, or empty */
  char leader[64];
  size_t peer; /* index of the next control instance to try */
  int fd;      /* -1: not connected */
  buf_t rx;
  buf_t tx;
  int64_t seq;
  int64_t raft_term; /* of the last grant */
  int since_full; /* renewals over this connection since the last full one; -1:
                     none yet */
  msec_t next_renewal;
  msec_t unanswered_since; /* time of the oldest renewal without an answer; 0:
                              none */
  bool answered;           /* a grant was received over this connection */
  report_t *report[WORKERS_MAX]; /* the last one of each worker */
  report_t *announce[ANNOUNCES_MAX];
  int nannounce;
} link_t;

/* ---- reports of the workers ---- */

static bool
same_announcement (const report_t *a, const report_t *b)
{
  return strcmp (a->name, b->name) == 0 && strcmp (a->address, b->address) == 0
         && strcmp (a->group, b->group) == 0;
}

static void
store_announcement (link_t *l, report_t *r)
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
read_reports (link_t *l)
{
  report_t *r;

  while ((r = ring_get (l->in->reports, 0)) != NULL)
    if (r->announce)
      store_announcement (l, r);
    else
      {
        free (l->report[r->worker]);
        l->report[r->worker] = r;
      }
}

static void
drop_announcements (link_t *l)
{
  while (l->nannounce)
    free (l->announce[--l->nannounce]);
}

static void
expire_announcements (link_t *l, msec_t now)
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

/* Lists of one renewal; PROBE and USAGE have N elements each.  */
typedef struct
{
  probe_t probe[DBS_MAX];
  db_usage_t usage[DBS_MAX];
  announce_t announce[ANNOUNCES_MAX];
  int n;
} lists_t;

/* Index of D in the lists, or -1 when they are full.  */
static int
find_or_add (lists_t *t, const report_db_t *d)
{
  for (int i = 0; i < t->n; i++)
    if (str_eq (t->usage[i].name, str_of (d->name)))
      return i;
  if (t->n == DBS_MAX)
    return -1;
  t->usage[t->n] = (db_usage_t){ .name = str_of (d->name) };
  t->probe[t->n] = (probe_t){ .name = str_of (d->name),
                              .address = str_of (d->address),
                              .ok_age = -1 };
  return t->n++;
}

static void
merge_db (lists_t *t, const report_db_t *d)
{
  int i = find_or_add (t, d);

  if (i < 0)
    return;
  t->usage[i].open += d->open;
  t->usage[i].demand += d->demand;
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

/* Keeps only the probes that failover decisions depend on.  */
static void
keep_failover_probes (lists_t *t)
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
      const report_t *r = l->report[i];
      for (int k = 0; r && k < r->ndbs; k++)
        merge_db (t, &r->db[k]);
      /* The instance reports the oldest configuration in use by a worker.  */
      if (r && (i == 0 || r->cfg_index < m.cfg_index))
        {
          m.cfg_term = r->cfg_term;
          m.cfg_index = r->cfg_index;
        }
    }
  fill_announces (l, t, now);
  m.brief = l->since_full >= 0 && l->since_full < FULL_EVERY - 1;
  l->since_full = m.brief ? l->since_full + 1 : 0;
  if (m.brief)
    keep_failover_probes (t);
  m.probes = (list_t){ t->probe, (size_t)t->n };
  m.usage = (list_t){ t->usage, m.brief ? 0 : (size_t)t->n };
  m.announces = (list_t){ t->announce, (size_t)l->nannounce };
  /* The lease runs from this time.  */
  m.sent = msec_now ();
  rpc_encode (&l->tx, MSG_RENEW, &m);
  free (t);
  drop_announcements (l);
  if (l->unanswered_since == 0)
    l->unanswered_since = now;
}

/* ---- grants ---- */

static void
send_to_worker (link_t *l, str_t body, worker_t *w)
{
  inbox_msg_t *m = calloc (1, sizeof *m);
  msgtype_t type;

  if (m == NULL)
    abort ();
  apr_pool_create (&m->pool, NULL);
  m->grant = rpc_decode (m->pool, body, &type, NULL);
  if (m->grant && type == MSG_GRANT && ring_put (w->inbox, m, NULL))
    return;
  apr_pool_destroy (m->pool);
  free (m);
  (void)l;
}

static void
switch_to_leader (link_t *l, const grant_t *g)
{
  if (g->status != GRANT_NOT_LEADER || g->leader.n == 0
      || g->leader.n >= sizeof l->leader || str_eq (g->leader, l->control))
    return;
  memcpy (l->leader, g->leader.p, g->leader.n);
  l->leader[g->leader.n] = '\0';
  l->control = str_of (l->leader);
  close (l->fd);
  l->fd = -1;
  l->next_renewal = 0;
}

static bool
handle_grant (link_t *l, str_t body, err_t *e)
{
  apr_pool_t *pool;
  msgtype_t type;

  apr_pool_create (&pool, NULL);
  grant_t *g = rpc_decode (pool, body, &type, e);
  bool ok = g && type == MSG_GRANT;
  if (ok)
    {
      for (int i = 0; i < l->in->nworkers; i++)
        send_to_worker (l, body, l->in->worker[i]);
      l->raft_term = g->raft_term;
      if (g->status == GRANT_OK)
        __atomic_store_n (&l->in->last_grant, msec_now (), __ATOMIC_RELEASE);
      if (!l->answered)
        log_event (EV_LINK_UP, "control=" STR_FMT " status=%d",
                   STR_ARG (l->control), (int)g->status);
      l->answered = true;
      switch_to_leader (l, g);
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
  l->unanswered_since = 0;
  l->since_full = -1;
  if (l->answered)
    log_event (EV_LINK_DOWN, "control=" STR_FMT, STR_ARG (l->control));
  l->answered = false;
  l->control = (str_t){ 0 };
}

static bool
connect_next (link_t *l)
{
  const settings_t *set = l->in->set;

  if (l->fd >= 0)
    return true;
  l->rx.n = l->rx.off = l->tx.n = l->tx.off = 0;
  l->unanswered_since = 0;
  l->since_full = -1;
  if (l->control.n == 0 && set->npeers)
    l->control = set->peers[l->peer++ % set->npeers].address;
  l->fd = l->control.n ? rpc_connect (l->control, NULL) : -1;
  if (l->fd < 0)
    l->control = (str_t){ 0 };
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
      if (!handle_grant (l, body, &e))
        return false;
      l->unanswered_since = 0;
      if (l->fd < 0) /* closed to connect to the leader */
        return true;
      buf_take (&l->rx, body.n + 4);
    }
  return got == 0;
}

static void
run_once (link_t *l)
{
  msec_t now = msec_now ();

  read_reports (l);
  expire_announcements (l, now);
  if (now >= l->next_renewal)
    {
      l->next_renewal = now + RENEW_INTERVAL;
      if (connect_next (l))
        renew (l, now);
    }
  if (l->fd < 0)
    {
      msec_sleep (POLL_TIMEOUT);
      return;
    }
  struct pollfd p
      = { .fd = l->fd,
          .events = (short)(POLLIN | (buf_len (&l->tx) ? POLLOUT : 0)) };
  if (poll (&p, 1, POLL_TIMEOUT) < 0)
    return;
  bool ok = true;
  if (p.revents & POLLOUT)
    ok = rpc_write (l->fd, &l->tx, NULL) >= 0;
  if (ok && (p.revents & (POLLIN | POLLHUP | POLLERR)))
    ok = read_grants (l);
  if (!ok
      || (l->unanswered_since
          && msec_now () - l->unanswered_since > ANSWER_TIMEOUT))
    {
      disconnect (l);
      l->next_renewal = 0;
    }
}

static bool
run (void *arg, err_t *e)
{
  link_t *l = arg;

  (void)e;
  while (!__atomic_load_n (&l->stop, __ATOMIC_ACQUIRE))
    run_once (l);
  disconnect (l);
  drop_announcements (l);
  buf_free (&l->rx);
  buf_free (&l->tx);
  for (int i = 0; i < l->in->nworkers; i++)
    free (l->report[i]);
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
  /* A random first peer spreads the entry instances over the control
     instances.  */
  l->peer = in->set->npeers ? (size_t)in->boot % in->set->npeers : 0;
  return (duty_t){ "link", run, stop, l };
}
