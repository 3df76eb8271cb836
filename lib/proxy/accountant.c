#include "local.h"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>

/* The accountant's side of quotas: other instances of the zone ask it for
   tokens of the tenants that it counts for.  */

enum
{
  ASK_MAX = 4096,      /* bytes of an ask */
  TOKENS_MAX = 100000, /* in one ask */
  SHRUNK_TIME = 2000,  /* ms that a list of less than half as many instances
                          as before isn't followed */
  FULL_LOG_INTERVAL = 1000, /* ms between log lines of a full table */
  KEEPALIVE_IDLE = 10,      /* s without data until a holder is probed */
  KEEPALIVE_INTERVAL = 5,   /* s between probes */
  KEEPALIVE_PROBES = 3      /* without an answer until the holder is lost */
};

typedef struct
{
  proxy_t *proxy;
  stream_t *stream;
} holder_t;

/* ---- the instances of the zone ---- */

static msec_t
avoided_until (const gate_t *g, const char *address)
{
  for (size_t i = 0; i < g->nendpoint; i++)
    if (strcmp (g->endpoint[i].address, address) == 0)
      return g->endpoint[i].avoid_until;
  return 0;
}

/* After a start, control lists instances as they report.  Each of them would
   count the whole quota until it knows the others.  */
static bool
is_partial (proxy_t *p)
{
  gate_t *g = p->gate;

  if (p->nendpoint * 2 >= g->nendpoint)
    {
      g->shrunk_at = -1;
      return false;
    }
  if (g->shrunk_at < 0)
    g->shrunk_at = p->now;
  return p->now - g->shrunk_at < SHRUNK_TIME;
}

static bool
is_same_list (const proxy_t *p)
{
  const gate_t *g = p->gate;

  for (size_t i = 0; i < p->nendpoint && i < g->nendpoint; i++)
    if (!endpoint_listed (p, g->endpoint[i].address))
      return false;
  return p->nendpoint == g->nendpoint;
}

void
accountants_update (proxy_t *p)
{
  gate_t *g = p->gate;
  endpoint_entry_t *v;

  if (g->followed == p->endpoints_version || is_partial (p))
    return;
  g->followed = p->endpoints_version;
  if (is_same_list (p))
    return;
  v = calloc (p->nendpoint + 1, sizeof *v);
  if (v == NULL)
    abort ();
  for (size_t i = 0; i < p->nendpoint; i++)
    {
      v[i] = p->endpoint[i];
      v[i].avoid_until = avoided_until (g, v[i].address);
    }
  free (g->earlier[QUOTA_LISTS - 1].endpoint);
  memmove (&g->earlier[1], &g->earlier[0],
           (QUOTA_LISTS - 1) * sizeof *g->earlier);
  g->earlier[0] = (accountants_t){ g->endpoint, g->nendpoint, g->since };
  g->since = p->now;
  g->endpoint = v;
  g->nendpoint = p->nendpoint;
  g->version++;
  g->shrunk_at = -1;
}

static int
rank_among (const endpoint_entry_t *x, size_t n, str_t tenant, int *out)
{
  str_t *address = calloc (n + 1, sizeof *address);

  if (address == NULL)
    abort ();
  for (size_t i = 0; i < n; i++)
    address[i] = str_of (x[i].address);
  int k = owners_pick (tenant, address, (int)n, QUOTA_RANKS, out);
  free (address);
  return k;
}

int
accountant_rank (const proxy_t *p, str_t tenant, int *out)
{
  return rank_among (p->gate->endpoint, p->gate->nendpoint, tenant, out);
}

static bool
is_first (const proxy_t *p, const endpoint_entry_t *x, size_t n, str_t tenant)
{
  int rank[QUOTA_RANKS];

  return rank_among (x, n, tenant, rank) > 0
         && str_eq (str_of (x[rank[0]].address), p->conf.peers);
}

static quota_standing_t
standing (const proxy_t *p, str_t tenant)
{
  const gate_t *g = p->gate;
  msec_t since = g->since;

  if (g->nendpoint == 0)
    return (quota_standing_t){ true, 0, p->now };
  for (int i = 0; i < QUOTA_LISTS; i++)
    if (g->earlier[i].endpoint
        && is_first (p, g->earlier[i].endpoint, g->earlier[i].n, tenant))
      since = g->earlier[i].since;
    else
      break;
  return (quota_standing_t){ is_first (p, g->endpoint, g->nendpoint, tenant),
                             since, p->watch.updated_at };
}

static int
tokens (int64_t n)
{
  if (n < 0)
    return 0;
  return n < TOKENS_MAX ? (int)n : TOKENS_MAX;
}

static void
log_full (proxy_t *p, str_t tenant)
{
  if (p->gate->full_at && p->now - p->gate->full_at < FULL_LOG_INTERVAL)
    return;
  p->gate->full_at = p->now;
  log_event (EV_QUOTA_TABLE_FULL, "tenant=" STR_FMT " tenants=%zu",
             STR_ARG (tenant), quota_table_size (p->gate->table));
}

quota_answer_t
accountant_ask (proxy_t *p, const quota_ask_t *m)
{
  quota_limit_t l
      = quota_limit (&p->conf.quota, m->version, m->rate, m->burst);
  const tenant_t *t = tenant_find (p, m->tenant);
  int zones = p->conf.quota.zones > 0 ? p->conf.quota.zones : 1;

  if (t && t->setup_version > m->version)
    l = quota_limit (&p->conf.quota, t->setup_version, t->rate, t->burst);
  if (p->gate->nendpoint == 0)
    {
      /* Each instance counts alone.  */
      int all = p->entries > 0 ? p->entries : ENTRIES_DEFAULT * zones;
      l = quota_limit_part (&l, (all + zones - 1) / zones);
    }
  quota_standing_t at = standing (p, m->tenant);
  quota_table_turn (p->gate->table, p->now);
  quota_answer_t a
      = quota_table_ask (p->gate->table, m->tenant, &l, &at, tokens (m->need),
                         tokens (m->more), tokens (m->returned), p->now);
  if (a.full)
    log_full (p, m->tenant);
  return a;
}

/* ---- connections of holders ---- */

static void
answer (holder_t *h, const quota_ask_t *m)
{
  proxy_t *p = h->proxy;
  /* Without a list it doesn't know who counts.  */
  bool stopping = p->stop_at >= 0 || p->gate->nendpoint == 0;
  quota_answer_t a = { 0 };

  if (!stopping)
    a = accountant_ask (p, m);
  if (m->need <= 0)
    return;
  quota_grant_t g = { m->seq, a.tokens, a.retry, stopping };
  rpc_encode (stream_out (h->stream), MSG_QUOTA_GRANT, &g);
  stream_flush (h->stream);
}

static void
holder_input (void *arg)
{
  holder_t *h = arg;
  proxy_t *p = h->proxy;
  buf_t *in = stream_in (h->stream);
  err_t e = { 0 };
  msgtype_t type;
  str_t body;
  int got;

  p->now = loop_now (p->loop);
  while ((got = rpc_frame (in, &body, &e)) > 0 && body.n <= ASK_MAX)
    {
      const quota_ask_t *m = rpc_decode (p->gate->scratch, body, &type, &e);
      if (m == NULL || type != MSG_QUOTA_ASK)
        break;
      answer (h, m);
      buf_take (in, body.n + 4);
      apr_pool_clear (p->gate->scratch);
    }
  if (got == 0 && buf_len (in) <= ASK_MAX)
    return;
  log_event (EV_QUOTA_MALFORMED, "cause=%s bytes=%zu", err_name (e.code),
             buf_len (in));
  apr_pool_clear (p->gate->scratch);
  stream_close (h->stream);
  free (h);
}

static void
holder_closed (void *arg, err_t *e)
{
  (void)e;
  free (arg);
}

static const stream_ops_t holder_ops = { NULL, holder_input, holder_closed };

/* An instance that lost power would otherwise keep a descriptor for good: the
   accountant writes only when it is asked.  */
static void
keep_alive (int fd)
{
  int on = 1, idle = KEEPALIVE_IDLE, interval = KEEPALIVE_INTERVAL;
  int probes = KEEPALIVE_PROBES;

  setsockopt (fd, SOL_SOCKET, SO_KEEPALIVE, &on, sizeof on);
  setsockopt (fd, IPPROTO_TCP, TCP_KEEPIDLE, &idle, sizeof idle);
  setsockopt (fd, IPPROTO_TCP, TCP_KEEPINTVL, &interval, sizeof interval);
  setsockopt (fd, IPPROTO_TCP, TCP_KEEPCNT, &probes, sizeof probes);
}

static void
on_holder (void *arg, uint32_t events)
{
  proxy_t *p = arg;
  int fd;

  (void)events;
  while ((fd = accept4 (p->gate->listener, NULL, NULL,
                        SOCK_NONBLOCK | SOCK_CLOEXEC))
         >= 0)
    {
      holder_t *h = calloc (1, sizeof *h);
      if (h == NULL)
        abort ();
      h->proxy = p;
      keep_alive (fd);
      h->stream = stream_accept (p->loop, fd, &holder_ops, h);
    }
}

bool
accountant_new (proxy_t *p, err_t *e)
{
  gate_t *g = p->gate;

  g->listener = -1;
  g->shrunk_at = -1;
  if (p->conf.quota_listen.n == 0)
    return true;
  g->listener = rpc_listen (p->conf.quota_listen, e);
  return g->listener >= 0
         && loop_watch (p->loop, g->listener, on_holder, p, e);
}
