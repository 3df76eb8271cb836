#include "stage.h"

#include "../lib/proxy/local.h"

#include <apr_general.h>
#include <arpa/inet.h>
#include <errno.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

/* ---- listening ---- */

enum
{
  /* Below the ports that the kernel gives to outgoing connections: such a
     connection could hold a port that a test has found free and listens on
     later.  */
  PORT_FIRST = 12000,
  PORT_COUNT = 20000,
  LISTEN_ATTEMPTS = 50
};

int
stage_listen (char *out, size_t size)
{
  static rng_t rng;
  err_t e = { 0 };
  int fd = -1;

  if (rng.seed == 0)
    rng_init (&rng, rng_system_seed ());
  for (int i = 0; fd < 0 && i < LISTEN_ATTEMPTS; i++)
    {
      int port = PORT_FIRST + (int)rng_below (&rng, PORT_COUNT);
      snprintf (out, size, "127.0.0.1:%d", port);
      fd = rpc_listen (str_of (out), &e);
    }
  ck_assert_msg (fd >= 0, "%s: %s", e.subject, e.detail);
  return fd;
}

/* ---- databases ---- */

typedef struct dbconn
{
  struct dbconn *next;
  stage_db_t *db;
  stream_t *stream;
  char name[32]; /* of its start-up message */
  bool started;
  bool tx;
  bool failed;
  char values[256];
  /* Prepared statements: name on the connection, kind and shape.  */
  struct
  {
    char name[16];
    char key[768];
  } prepared[LINK_PREPARED_MAX + 1];
  int nprepared;
} dbconn_t;

static void
send_line (dbconn_t *c, const char *fmt, ...)
{
  char line[512];
  va_list ap;

  va_start (ap, fmt);
  vsnprintf (line, sizeof line, fmt, ap);
  va_end (ap);
  buf_adds (stream_out (c->stream), str_of (line));
  stream_flush (c->stream);
}

static void
ready (dbconn_t *c)
{
  send_line (c, "READY %c %lld.%lld\r\n",
             c->failed ? 'E'
             : c->tx   ? 'T'
                       : 'I',
             (long long)c->db->term, (long long)c->db->number);
}

static void
refuse_with (dbconn_t *c, const char *code)
{
  if (c->tx)
    c->failed = true;
  send_line (c, "ERROR %s %s\r\n", code, c->db->id);
  ready (c);
}

/* The kind and shape of the statement that "EXECUTE NAME ..." executes, or
   NULL.  */
static const char *
prepared_key (const dbconn_t *c, const char *text)
{
  const char *name = text + strlen ("EXECUTE ");
  size_t n = strcspn (name, " ");

  for (int i = 0; i < c->nprepared; i++)
    if (strlen (c->prepared[i].name) == n
        && strncmp (c->prepared[i].name, name, n) == 0)
      return c->prepared[i].key;
  return NULL;
}

/* PREPARE NAME READ|WRITE SHAPE: the shape is the rest of the line.  */
static void
prepare (dbconn_t *c, const char *text)
{
  const char *name = text + strlen ("PREPARE ");
  const char *mode = name + strcspn (name, " ") + 1;
  const char *shape = mode + strcspn (mode, " ") + 1;

  ck_assert_int_le (c->nprepared, LINK_PREPARED_MAX);
  ck_assert (strncmp (mode, "READ ", 5) == 0
             || strncmp (mode, "WRITE ", 6) == 0);
  snprintf (c->prepared[c->nprepared].name, sizeof c->prepared->name, "%.*s",
            (int)(mode - name) - 1, name);
  snprintf (c->prepared[c->nprepared].key, sizeof c->prepared->key, "%c%s",
            mode[0] == 'W' ? 'w' : 'r', shape);
  c->nprepared++;
}

static void
note_name (const dbconn_t *c, const char *text)
{
  size_t n = strlen (c->db->by_name);

  snprintf (c->db->by_name + n, sizeof c->db->by_name - n, "%s %s\n", c->name,
            text);
}

/* An EXECUTE is logged with the kind and shape in place of the name.  */
static void
log_statement (dbconn_t *c, const char *line)
{
  size_t n = strlen (c->db->log);
  const char *text = strstr (line, " EXECUTE ");
  const char *key = text ? prepared_key (c, text + 1) : NULL;
  int before = key ? (int)(text - line) + (int)strlen (" EXECUTE ") : 0;

  note_name (c, line);
  snprintf (c->db->log + n, sizeof c->db->log - n, "%c%.*s%s%s|%s\n",
            c->tx ? 'T' : 'I', before, line, key ? key : "",
            key ? line + before + strcspn (line + before, " ") : line,
            c->values);
}

static bool
is_behind (const stage_db_t *d, const char *after)
{
  char *end;
  long long term = strtoll (after + strlen ("AFTER "), &end, 10);
  long long number = strtoll (end + 1, NULL, 10);

  return term > d->term || (term == d->term && number > d->number);
}

static bool
is_kind (const char *text, const char *kind)
{
  size_t n = strlen (kind);

  return n && strncmp (text, kind, n) == 0
         && (text[n] == ' ' || text[n] == '\0');
}

static void
done (dbconn_t *c, const char *row)
{
  if (row)
    send_line (c, "ROW %s\r\n", row);
  send_line (c, "COMPLETE sig-%s\r\n", c->db->id);
  ready (c);
}

/* Whether TEXT executes a prepared statement of KIND, 'r' or 'w'.  */
static bool
executes (const dbconn_t *c, const char *text, char kind)
{
  const char *key = is_kind (text, "EXECUTE") ? prepared_key (c, text) : NULL;

  return key && key[0] == kind;
}

static void
run (dbconn_t *c, const char *text)
{
  stage_db_t *d = c->db;
  bool read_only = !d->primary;

  if (is_kind (text, "SET"))
    snprintf (c->values, sizeof c->values, "%s", text + 4);
  else if (is_kind (text, "RESET"))
    {
      c->values[0] = '\0';
      c->nprepared = 0;
      d->resets++;
    }
  else if (is_kind (text, "PREPARE"))
    prepare (c, text);
  else if (is_kind (text, "EXECUTE") && prepared_key (c, text) == NULL)
    {
      refuse_with (c, "NOSTMT");
      return;
    }
  else if (is_kind (text, "ROLLBACK"))
    c->tx = c->failed = false;
  else if (is_kind (text, "BEGIN"))
    {
      if (read_only && strcmp (text, "BEGIN READ") != 0)
        {
          refuse_with (c, "READONLY");
          return;
        }
      c->tx = true;
    }
  else if (is_kind (text, "COMMIT"))
    {
      if (c->failed)
        {
          c->tx = c->failed = false;
          refuse_with (c, "ABORTED");
          return;
        }
      c->tx = false;
      d->number++;
    }
  else if (is_kind (text, "WRITE") || executes (c, text, 'w'))
    {
      if (read_only)
        {
          refuse_with (c, "READONLY");
          return;
        }
      if (!c->tx)
        d->number++;
    }
  done (c, is_kind (text, "READ") || executes (c, text, 'r') ? d->id : NULL);
}

static void
remove_conn (dbconn_t *c)
{
  dbconn_t **at = (dbconn_t **)&c->db->list;

  while (*at != c)
    at = &(*at)->next;
  *at = c->next;
  c->db->conns--;
  free (c);
}

static void
close_conn (dbconn_t *c)
{
  stream_close (c->stream);
  remove_conn (c);
}

void
stage_disconnect (stage_db_t *d)
{
  while (d->list)
    close_conn (d->list);
}

static void
log_raw (dbconn_t *c, const char *text)
{
  size_t n = strlen (c->db->raw);

  snprintf (c->db->raw + n, sizeof c->db->raw - n, "%s> %s\n", c->name, text);
}

/* False when the connection was closed.  */
static bool
query (dbconn_t *c, char *line)
{
  stage_db_t *d = c->db;
  char *text = strchr (line, ' ');

  log_statement (c, line);
  if (d->ignore_all)
    return true;
  if (text == NULL)
    return true;
  text++;
  if (strncmp (text, "AFTER ", 6) == 0)
    {
      bool missing = is_behind (d, text);
      text = strchr (text + 6, ' ') + 1;
      if (missing)
        {
          refuse_with (c, "LAGGING");
          return true;
        }
    }
  if (is_kind (text, d->ignore_at))
    {
      d->ignore_at[0] = '\0';
      return true;
    }
  if (d->disconnect || is_kind (text, d->disconnect_at))
    {
      d->disconnect_at[0] = '\0';
      close_conn (c);
      return false;
    }
  if (is_kind (text, d->fail_at))
    {
      d->fail_at[0] = '\0';
      refuse_with (c, d->fail_code);
      return true;
    }
  run (c, text);
  return true;
}

static bool
line (dbconn_t *c, char *text)
{
  bool start = strncmp (text, "STARTUP ", 8) == 0;

  if (start)
    ck_assert_int_eq (sscanf (text, "STARTUP %*s %31s", c->name), 1);
  log_raw (c, text);
  if (start)
    {
      note_name (c, "STARTUP");
      if (c->db->ignore_startup)
        return true;
      if (c->db->full)
        {
          send_line (c, "ERROR TOOMANY %s\r\n", c->db->id);
          close_conn (c);
          return false;
        }
      ready (c);
      return true;
    }
  return query (c, text + 6);
}

static void
db_input (void *arg)
{
  dbconn_t *c = arg;
  stream_t *st = c->stream;
  char text[1024];

  for (;;)
    {
      str_t in = buf_str (stream_in (st));
      char *lf = in.n ? memchr (in.p, '\n', in.n) : NULL;
      if (lf == NULL)
        return;
      size_t n = (size_t)(lf - in.p);
      ck_assert (n > 0 && n < sizeof text && in.p[n - 1] == '\r');
      memcpy (text, in.p, n - 1);
      text[n - 1] = '\0';
      buf_take (stream_in (st), n + 1);
      if (!line (c, text))
        return;
    }
}

static void
db_closed (void *arg, err_t *e)
{
  dbconn_t *c = arg;

  (void)e;
  remove_conn (c);
}

static const stream_ops_t db_ops = { NULL, db_input, db_closed };

static void
db_accept (void *arg, uint32_t events)
{
  stage_db_t *d = arg;
  int fd;

  (void)events;
  while ((fd = accept4 (d->fd, NULL, NULL, SOCK_NONBLOCK)) >= 0)
    {
      dbconn_t *c = calloc (1, sizeof *c);
      c->db = d;
      d->conns++;
      c->next = d->list;
      d->list = c;
      c->stream = stream_accept (d->stage->loop, fd, &db_ops, c);
    }
}

int
stage_count (const stage_db_t *d, const char *text)
{
  int n = 0;

  for (const char *p = d->log; (p = strstr (p, text)) != NULL; p++)
    n++;
  return n;
}

int
stage_conns (const stage_db_t *d, const char *name)
{
  int n = 0;

  for (const dbconn_t *c = d->list; c; c = c->next)
    n += strcmp (c->name, name) == 0;
  return n;
}

/* ---- control ---- */

typedef struct
{
  stage_t *stage;
  int at;
  stream_t *stream;
} control_conn_t;

/* The tenants "hot" and "calm" with their quotas.  */
static void
list_limited (const stage_t *s, setup_t *m)
{
  static api_key_t key[] = { { STR ("u1"), 0 }, { STR ("u2"), 1 } };
  tenant_entry_t *t = apr_pcalloc (s->pool, 2 * sizeof *t);

  t[0] = (tenant_entry_t){ STR ("hot"), 1, s->rate[0], s->burst[0] };
  t[1] = (tenant_entry_t){ STR ("calm"), 1, s->rate[1], s->burst[1] };
  m->tenanted = true;
  m->tenants = (list_t){ t, 2 };
  m->keys = s->hot_withdrawn ? (list_t){ key + 1, 1 } : (list_t){ key, 2 };
}

/* Tenants in the order of their first key.  */
static void
list_tenants (const stage_t *s, setup_t *m)
{
  tenant_entry_t *t = apr_pcalloc (s->pool, (s->nkeys + 1) * sizeof *t);
  api_key_t *k = apr_pcalloc (s->pool, (s->nkeys + 1) * sizeof *k);

  tenant_entry_t *own = apr_pcalloc (s->pool, 3 * sizeof *own);
  static api_key_t keys[]
      = { { STR ("key-a"), 0 }, { STR ("key-b"), 1 }, { STR ("key-c"), 2 } };

  if (s->rate[0] || s->rate[1])
    {
      list_limited (s, m);
      return;
    }
  for (int i = 0; i < 3; i++)
    own[i] = (tenant_entry_t){ .name = { (char *)"abc" + i, 1 },
                               .rate = s->own_rate[i],
                               .burst = s->own_rate[i] };
  m->tenanted = s->tenanted;
  if (s->keys == NULL)
    {
      m->tenants = (list_t){ own, s->tenanted ? 3 : 0 };
      m->keys = (list_t){ keys, s->tenanted ? 3 : 0 };
      return;
    }
  for (size_t i = 0; i < s->nkeys; i++)
    {
      str_t name = str_of (s->keys[i].tenant);
      size_t at = 0;
      while (at < m->tenants.n && !str_eq (t[at].name, name))
        at++;
      if (at == m->tenants.n)
        t[m->tenants.n++].name = name;
      k[i] = (api_key_t){ str_of (s->keys[i].key), (int64_t)at };
    }
  m->tenants.v = t;
  m->keys = (list_t){ k, s->nkeys };
}

static void
put_setup (stage_t *s, buf_t *out)
{
  route_entry_t r[5] = {
    { STR ("lead"), STR ("svc"), FRESH_PRIMARY, 0, s->timeout, 200, 1 },
    { STR ("near"), STR ("svc"), FRESH_BOUNDED, 1500, s->timeout, 200, 2 },
    { STR ("own"), STR ("svc"), FRESH_SESSION, 2500, s->timeout, 200, 2 },
    { STR ("new"), STR ("svc"), FRESH_PRIMARY, 0, s->timeout, 200, 2 },
  };
  size_t n = s->extra_route ? 4 : 3;
  if (s->extra_host)
    {
      r[n] = (route_entry_t){ str_of (s->extra_host),
                              STR ("svc"),
                              FRESH_PRIMARY,
                              0,
                              s->timeout,
                              200,
                              2,
                              s->extra_anonymous };
      n++;
    }
  service_entry_t v = { STR ("svc"), s->connections, s->sync_replicas };
  setup_t m = { .version = s->version,
                .tx_idle = s->tx_idle,
                .routes = { r, n },
                .services = { &v, 1 } };

  r[1].anonymous = s->near_anonymous;
  list_tenants (s, &m);
  rpc_pack (out, MSG_SETUP, &m);
}

static void
send_update (control_conn_t *w, const watch_t *m)
{
  stage_t *s = w->stage;
  backend_t b[STAGE_DBS];
  member_t ctl[2];
  buf_t setup;

  buf_init (&setup);
  put_setup (s, &setup);
  for (int i = 0; i < STAGE_DBS; i++)
    b[i] = (backend_t){ .id = str_of (s->db[i].id),
                        .service = STR ("svc"),
                        .address = str_of (s->db[i].address),
                        .zone = i == 1 ? STR ("z1") : STR ("z2"),
                        .born = 1,
                        .seq = s->roster + 1,
                        .primary = s->db[i].primary,
                        .leaving = s->db[i].leaving };
  for (int i = 0; i < 2; i++)
    ctl[i]
        = (member_t){ i + 1, true, STR ("c"), str_of (s->control_address[i]),
                      str_of (s->control_zone[i]) };
  watch_update_t n = { .seq = m->seq,
                       .boot = 1,
                       .has_leader = !s->control_leaderless[w->at],
                       .roster_complete = s->roster_complete,
                       .version = s->version,
                       .setup = m->version < s->version || s->repeat_setup
                                    ? buf_str (&setup)
                                    : (str_t){ 0 },
                       .roster = s->roster,
                       .full = !(s->roster_changes && m->roster >= 0),
                       .backends = { b, STAGE_DBS },
                       .control = { ctl, 2 },
                       .entries = s->entries,
                       .has_endpoints = s->second != NULL };
  endpoint_t x[2] = { { str_of (s->endpoint[0]), STR ("z1") },
                      { str_of (s->endpoint[1]), STR ("z1") } };
  n.endpoints = (list_t){ x, s->second ? 2 : 0 };
  if (s->version == 0)
    n.setup = (str_t){ 0 };
  rpc_encode (stream_out (w->stream), MSG_WATCH_UPDATE, &n);
  stream_flush (w->stream);
  buf_free (&setup);
}

static void
control_input (void *arg)
{
  control_conn_t *w = arg;
  str_t body;

  while (rpc_frame (stream_in (w->stream), &body, NULL) > 0)
    {
      apr_pool_t *pool;
      msgtype_t type;
      apr_pool_create (&pool, NULL);
      watch_t *m = rpc_decode (pool, body, &type, NULL);
      ck_assert (m && type == MSG_WATCH);
      w->stage->reports[w->at]++;
      w->stage->roster_reported = m->roster;
      if (!w->stage->control_silent[w->at])
        send_update (w, m);
      buf_take (stream_in (w->stream), body.n + 4);
      apr_pool_destroy (pool);
    }
}

static void
control_closed (void *arg, err_t *e)
{
  (void)e;
  free (arg);
}

static const stream_ops_t control_ops
    = { NULL, control_input, control_closed };

static void
control_accept (stage_t *s, int at)
{
  int fd;

  while ((fd = accept4 (s->control[at], NULL, NULL, SOCK_NONBLOCK)) >= 0)
    {
      control_conn_t *w = calloc (1, sizeof *w);
      w->stage = s;
      w->at = at;
      w->stream = stream_accept (s->loop, fd, &control_ops, w);
    }
}

static void
accept_0 (void *arg, uint32_t events)
{
  (void)events;
  control_accept (arg, 0);
}

static void
accept_1 (void *arg, uint32_t events)
{
  (void)events;
  control_accept (arg, 1);
}

/* ---- clients ---- */

static void
client_input (void *arg)
{
  stage_client_t *c = arg;
  str_t in = buf_str (stream_in (c->stream));
  size_t n = strlen (c->received);

  snprintf (c->received + n, sizeof c->received - n, STR_FMT, STR_ARG (in));
  buf_take (stream_in (c->stream), in.n);
}

static void
client_closed (void *arg, err_t *e)
{
  (void)e;
  ((stage_client_t *)arg)->closed = true;
}

static const stream_ops_t client_ops = { NULL, client_input, client_closed };

static stage_client_t *
client_at (stage_t *s, int port)
{
  stage_client_t *c = apr_pcalloc (s->pool, sizeof *c);
  char address[32];
  err_t e = { 0 };

  snprintf (address, sizeof address, "127.0.0.1:%d", port);
  c->stage = s;
  c->stream
      = stream_dial (s->loop, str_of (address), 3000, &client_ops, c, &e);
  ck_assert (c->stream);
  return c;
}

stage_client_t *
stage_client (stage_t *s)
{
  return client_at (s, s->port);
}

void
stage_send (stage_client_t *c, const char *text)
{
  buf_adds (stream_out (c->stream), str_of (text));
  stream_flush (c->stream);
}

typedef struct
{
  stage_client_t *c;
  const char *want;
} wait_t;

static bool
has (void *arg)
{
  const wait_t *w = arg;

  return strstr (w->c->received, w->want) || w->c->closed;
}

bool
stage_request (stage_client_t *c, const char *text, const char *want)
{
  wait_t w = { c, want };

  c->received[0] = '\0';
  stage_send (c, text);
  stage_run (c->stage, 4000, has, &w);
  return strstr (c->received, want) != NULL;
}

stage_client_t *
stage_session_key (stage_t *s, bool second, const char *host, const char *key)
{
  stage_client_t *c = client_at (s, second ? s->second_port : s->port);
  char text[1024];

  snprintf (text, sizeof text, "STARTUP %s %s\r\n", host, key);
  ck_assert_msg (stage_request (c, text, "READY I -\r\n"), "got: %s",
                 c->received);
  return c;
}

stage_client_t *
stage_session_at (stage_t *s, bool second, const char *host)
{
  return stage_session_key (s, second, host, "u1");
}

stage_client_t *
stage_session (stage_t *s, const char *host)
{
  return stage_session_at (s, false, host);
}

/* ---- the stage ---- */

static msec_t
turn (void *arg, msec_t now)
{
  stage_t *s = arg;
  msec_t wake = proxy_turn (s->proxy, now);

  if (s->second)
    {
      msec_t other = proxy_turn (s->second, now);
      if (wake < 0 || (other >= 0 && other < wake))
        wake = other;
    }

  if (now >= s->until || (s->done && s->done (s->arg)))
    loop_stop (s->loop);
  return wake >= 0 && wake < s->until ? wake : s->until;
}

bool
stage_run (stage_t *s, msec_t ms, bool (*when) (void *arg), void *arg)
{
  s->until = msec_now () + ms;
  s->done = when;
  s->arg = arg;
  loop_run (s->loop, turn, s, NULL);
  return when && when (arg);
}

static bool
is_ready (void *arg)
{
  return proxy_ready (((stage_t *)arg)->proxy);
}

static int
port_of (const char *address)
{
  return (int)strtol (strchr (address, ':') + 1, NULL, 10);
}

/* An address without a listener.  */
static void
free_address (char *out, size_t size)
{
  close (stage_listen (out, size));
}

/* ADDRESS with the next port; empty for NULL.  */
static str_t
next_port (apr_pool_t *pool, const char *address)
{
  return address ? str_fmt (pool, "127.0.0.1:%d", port_of (address) + 1)
                 : (str_t){ 0 };
}

/* Two addresses with successive ports and without listeners.  */
static void
free_addresses (stage_t *s, char *out, size_t size)
{
  err_t e = { 0 };
  int fd = -1;

  while (fd < 0)
    {
      free_address (out, size);
      fd = rpc_listen (next_port (s->pool, out), &e);
    }
  close (fd);
}

static proxy_t *
new_proxy (stage_t *s, const char *name, int *port, const char *endpoint,
           const char *listen)
{
  str_t *ctl = apr_palloc (s->pool, 2 * sizeof *ctl);
  char own[32];
  err_t e = { 0 };

  for (int i = 0; i < 2; i++)
    ctl[i] = str_of (s->control_address[i]);
  proxy_conf_t c = { .name = str_of (name),
                     .zone = STR ("z1"),
                     .peers = str_of (endpoint),
                     .peers_listen = str_of (listen),
                     .quota_listen = next_port (s->pool, endpoint),
                     .quota = { .zones = 1, .window = 5000, .excess = 0.1 },
                     .control = ctl,
                     .ncontrol = 2,
                     .grace = 6000,
                     .startup_timeout = 700,
                     .message_timeout = 700,
                     .client = &pf_client,
                     .db = &pf_db };
  proxy_t *p = NULL;
  /* Another process may take the address before it is bound.  */
  for (int i = 0; p == NULL && i < 5; i++)
    {
      free_address (own, sizeof own);
      *port = port_of (own);
      c.listen = str_dup (s->pool, str_of (own));
      p = proxy_new (s->pool, s->loop, &c, &e);
      ck_assert_msg (p || e.sys == EADDRINUSE, "%s: %s", e.subject, e.detail);
    }
  ck_assert (p);
  return p;
}

static stage_t *
stage_base (bool version)
{
  apr_pool_t *pool;
  err_t e = { 0 };

  apr_initialize ();
  apr_pool_create (&pool, NULL);
  log_open ("test", getenv ("STAGE_LOG_LEVEL") ? 7 : 0);
  stage_t *s = apr_pcalloc (pool, sizeof *s);
  s->pool = pool;
  s->loop = loop_new (pool, &e);
  s->version = version ? 1 : 0;
  s->tx_idle = 3000;
  s->timeout = 500;
  s->connections = 40;
  s->entries = 1;
  for (int i = 0; i < STAGE_DBS; i++)
    {
      stage_db_t *d = &s->db[i];
      d->stage = s;
      snprintf (d->id, sizeof d->id, "db%d", i);
      d->primary = i == 0;
      d->term = 1;
      d->number = 10;
      d->fd = stage_listen (d->address, sizeof d->address);
      loop_watch (s->loop, d->fd, db_accept, d, NULL);
    }
  for (int i = 0; i < 2; i++)
    s->control[i]
        = stage_listen (s->control_address[i], sizeof s->control_address[i]);
  loop_watch (s->loop, s->control[0], accept_0, s, NULL);
  loop_watch (s->loop, s->control[1], accept_1, s, NULL);
  return s;
}

stage_t *
stage_new (bool wait)
{
  stage_t *s = stage_base (wait);

  s->proxy = new_proxy (s, "p1", &s->port, NULL, NULL);
  if (wait)
    ck_assert (stage_run (s, 3000, is_ready, s));
  return s;
}

static bool
is_pair (void *arg)
{
  const stage_t *s = arg;

  return proxy_ready (s->proxy) && proxy_ready (s->second);
}

/* ---- what one instance sends to another ---- */

/* Passes connections to an instance on and stores what they carry to it.  */
typedef struct tap
{
  stage_t *stage;
  int fd;
  char listen[32]; /* of the instance */
} tap_t;

typedef struct half
{
  stage_t *stage;
  stream_t *stream;
  struct half *other;
  bool store;
} half_t;

static void
half_input (void *arg)
{
  half_t *h = arg;
  stage_t *s = h->stage;
  str_t in = buf_str (stream_in (h->stream));
  size_t n = strlen (s->peer_bytes);

  if (h->store)
    snprintf (s->peer_bytes + n, sizeof s->peer_bytes - n, STR_FMT,
              STR_ARG (in));
  if (h->other)
    {
      buf_adds (stream_out (h->other->stream), in);
      stream_flush (h->other->stream);
    }
  buf_take (stream_in (h->stream), in.n);
}

static void
half_closed (void *arg, err_t *e)
{
  half_t *h = arg;

  (void)e;
  if (h->other)
    {
      stream_close (h->other->stream);
      free (h->other);
    }
  free (h);
}

static const stream_ops_t half_ops = { NULL, half_input, half_closed };

static void
tap_accept (void *arg, uint32_t events)
{
  tap_t *t = arg;
  int fd;

  (void)events;
  while ((fd = accept4 (t->fd, NULL, NULL, SOCK_NONBLOCK)) >= 0)
    {
      half_t *in = calloc (1, sizeof *in), *out = calloc (1, sizeof *out);
      err_t e = { 0 };
      *in = (half_t){ t->stage, NULL, out, true };
      *out = (half_t){ t->stage, NULL, in, false };
      out->stream = stream_dial (t->stage->loop, str_of (t->listen), 3000,
                                 &half_ops, out, &e);
      ck_assert (out->stream);
      in->stream = stream_accept (t->stage->loop, fd, &half_ops, in);
    }
}

/* Listens at the advertised address of instance I.  */
static const char *
tap_new (stage_t *s, int i)
{
  tap_t *t = apr_pcalloc (s->pool, sizeof *t);

  t->stage = s;
  t->fd = stage_listen (s->endpoint[i], sizeof s->endpoint[i]);
  free_address (t->listen, sizeof t->listen);
  loop_watch (s->loop, t->fd, tap_accept, t, NULL);
  s->tap[i] = t;
  return t->listen;
}

static stage_t *
pair_new (bool tapped)
{
  stage_t *s = stage_base (true);
  const char *listen[2];

  s->connections = 10;
  s->entries = 40;
  for (int i = 0; i < 2; i++)
    {
      listen[i] = s->endpoint[i];
      if (tapped)
        listen[i] = tap_new (s, i);
      else
        free_addresses (s, s->endpoint[i], sizeof s->endpoint[i]);
    }
  s->proxy = new_proxy (s, "p1", &s->port, s->endpoint[0], listen[0]);
  s->second = new_proxy (s, "p2", &s->second_port, s->endpoint[1], listen[1]);
  ck_assert (stage_run (s, 3000, is_pair, s));
  stage_run (s, 400, NULL, NULL);
  return s;
}

stage_t *
stage_pair (void)
{
  return pair_new (false);
}

stage_t *
stage_pair_tapped (void)
{
  return pair_new (true);
}

static bool
has_version (void *arg)
{
  const stage_t *s = arg;

  return s->proxy->setup->version == s->version
         && (s->second == NULL || s->second->setup->version == s->version);
}

void
stage_set_keys (stage_t *s, const stage_key_t *keys, size_t n)
{
  s->tenanted = true;
  s->keys = keys;
  s->nkeys = n;
  s->version++;
  ck_assert (stage_run (s, 3000, has_version, s));
}

void
stage_free (stage_t *s)
{
  for (int i = 0; i < 2; i++)
    if (s->tap[i])
      close (s->tap[i]->fd);
  for (int i = 0; i < STAGE_DBS; i++)
    close (s->db[i].fd);
  close (s->control[0]);
  close (s->control[1]);
  apr_pool_destroy (s->pool);
}
