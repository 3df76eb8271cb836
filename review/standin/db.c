/* Stand-in databases and the platform's promote call.

   A service is a primary and two replicas that share one list of commits; for
   each commit it is known when each database has received it.  Replicas
   receive the commits in order.  */

#define _GNU_SOURCE
#include "standin.h"

#include <arpa/inet.h>
#include <errno.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <time.h>
#include <unistd.h>

service_t service[SERVICES_MAX];
void (*on_promoted) (service_t *s, int from_head, int head);
void (*on_run) (db_t *d, const char *id, const char *text, bool first);
void (*on_shape) (const char *id, const char *shape, const char *text);
void (*on_run_end) (db_t *d, const char *id);

enum
{
  LINE = 1 << 16,
  PREPARED = 64
};

/* ---- logs ---- */

/* With the service's lock held.  */
static int
received (service_t *s, int db, double at)
{
  int n = s->head;

  if (db == s->primary)
    return n;
  while (n > 0 && s->log[n].received[db] > at)
    n--;
  return n;
}

int
service_received (service_t *s, int db, double at)
{
  pthread_mutex_lock (&s->mu);
  int n = received (s, db, at);
  pthread_mutex_unlock (&s->mu);
  return n;
}

/* The commit of a write; returns its number.  With the lock held.  */
static int
commit (service_t *s, const char *id)
{
  double now = now_ms ();

  if (s->head + 1 >= COMMITS_MAX)
    cannot_run ("too many commits");
  commit_t *c = &s->log[++s->head];
  memset (c, 0, sizeof *c);
  snprintf (c->id, sizeof c->id, "%s", id);
  c->term = s->term;
  c->made = now;
  for (int i = 0; i < DBS; i++)
    {
      double from = s->deaf_until[i] > now ? s->deaf_until[i] : now;
      double at = from + uniform (dep.net_min, dep.net_max);
      double before = s->head > 1 ? s->log[s->head - 1].received[i] : 0;
      c->received[i] = i == s->primary ? now : at > before ? at : before;
    }
  return s->head;
}

/* The time at which the first replica has commit N.  */
static double
first_received (service_t *s, int n)
{
  double best = 1e18;

  for (int i = 0; i < DBS; i++)
    if (i != s->primary && s->db[i].up && s->log[n].received[i] < best)
      best = s->log[n].received[i];
  return best;
}

/* The candidate leads the next term with what it has received.  With the lock
   held.  */
static void
promote (service_t *s)
{
  int to = s->candidate, before = s->head;

  s->candidate = -1;
  if (!s->db[to].up || to == s->primary)
    return;
  int n = received (s, to, now_ms ());
  record ("promoted %s %s term %d with commit %d of %d", s->name,
          s->db[to].id, s->term + 1, n, before);
  s->term++;
  s->primary = to;
  s->head = n;
  s->promotions++;
  if (on_promoted)
    on_promoted (s, before, n);
}

static void *
promoter (void *arg)
{
  service_t *s = arg;

  for (;;)
    {
      pthread_mutex_lock (&s->mu);
      bool due = s->candidate >= 0 && now_ms () >= s->promote_at;
      if (due)
        promote (s);
      pthread_mutex_unlock (&s->mu);
      sleep_ms (0.5);
    }
  return NULL;
}

/* ---- connections ---- */

typedef struct
{
  db_t *db;
  int start; /* of the database, that the connection belongs to */
  int fd;
  char buf[LINE];
  int n, off;
  char tx; /* I, T, E */
  bool read_tx;
  int tx_term;
  int tx_statements; /* of the client */
  char first_write[24];
  char prepared[PREPARED][2][80]; /* name, mode and shape */
  int nprepared;
} conn_t;

static bool
send_text (conn_t *c, const char *text, size_t n)
{
  while (n)
    {
      ssize_t k = send (c->fd, text, n, MSG_NOSIGNAL);
      if (k <= 0)
        return false;
      text += k;
      n -= (size_t)k;
    }
  return true;
}

static char *
read_line (conn_t *c)
{
  for (;;)
    {
      char *lf = memchr (c->buf + c->off, '\n', (size_t)(c->n - c->off));
      if (lf)
        {
          char *line = c->buf + c->off;
          if (lf > line && lf[-1] == '\r')
            lf[-1] = '\0';
          *lf = '\0';
          c->off = (int)(lf + 1 - c->buf);
          return line;
        }
      memmove (c->buf, c->buf + c->off, (size_t)(c->n - c->off));
      c->n -= c->off;
      c->off = 0;
      if (c->n == LINE)
        return NULL;
      ssize_t k = recv (c->fd, c->buf + c->n, (size_t)(LINE - c->n), 0);
      if (c->start != c->db->start)
        return NULL;
      if (k < 0 && errno == EAGAIN)
        continue;
      if (k <= 0)
        return NULL;
      c->n += (int)k;
    }
}

static bool
ready (conn_t *c, char *text, size_t size, const char *before)
{
  service_t *s = c->db->service;

  pthread_mutex_lock (&s->mu);
  int term = s->term, n = received (s, c->db->number, now_ms ());
  pthread_mutex_unlock (&s->mu);
  int k = snprintf (text, size, "%sREADY %c %d.%d\r\n", before, c->tx, term, n);
  return send_text (c, text, (size_t)k);
}

static bool
answer_ok (conn_t *c)
{
  char t[128];

  return ready (c, t, sizeof t, "COMPLETE -\r\n");
}

static bool
answer_error (conn_t *c, const char *code)
{
  char t[128], e[80];

  if (c->tx == 'T')
    c->tx = 'E';
  snprintf (e, sizeof e, "ERROR %s %s\r\n", code, c->db->id);
  return ready (c, t, sizeof t, e);
}

static bool
leads (db_t *d)
{
  return d->service->primary == d->number;
}

/* Works on a statement in one of the database's slots.  */
static void
work (db_t *d)
{
  service_t *s = d->service;

  pthread_mutex_lock (&s->mu);
  while (d->busy >= dep.slots)
    pthread_cond_wait (&s->slot_free, &s->mu);
  d->busy++;
  pthread_mutex_unlock (&s->mu);
  sleep_ms (uniform (dep.work_min, dep.work_max));
  pthread_mutex_lock (&s->mu);
  d->busy--;
  pthread_cond_broadcast (&s->slot_free);
  pthread_mutex_unlock (&s->mu);
}

static void
new_signature (conn_t *c, char out[48])
{
  snprintf (out, 48, "%d.%s.%08x%08x", c->db->service->term, c->db->id + 2,
            (unsigned)uniform (0, 4e9), (unsigned)uniform (0, 4e9));
}

static bool
answer_run (conn_t *c, const char *id, int rows)
{
  char sig[48], tail[200];
  size_t cap = (size_t)rows * ((size_t)dep.row_size + 80) + 256, n = 0;
  char *t = malloc (cap);

  if (t == NULL)
    abort ();
  new_signature (c, sig);
  for (int i = 0; i < rows; i++)
    {
      n += (size_t)snprintf (t + n, cap - n, "ROW %s.%d ", sig, i);
      memset (t + n, 'a' + i % 26, (size_t)dep.row_size);
      n += (size_t)dep.row_size;
      t[n++] = '\r';
      t[n++] = '\n';
    }
  t[n] = '\0';
  record ("%s answers %s with %s and %d rows", c->db->id, id, sig, rows);
  bool ok = send_text (c, t, n);
  snprintf (tail, sizeof tail, "COMPLETE %s\r\n", sig);
  char last[300];
  ok = ok && ready (c, last, sizeof last, tail);
  free (t);
  if (on_run_end)
    on_run_end (c->db, id);
  return ok;
}

/* Commits; false when the connection is to be closed, since the database lost
   the lead before it could answer.  */
static bool
run_commit (conn_t *c, const char *write_id, bool *lost_lead)
{
  service_t *s = c->db->service;
  int n, term;
  double wait = 0;

  *lost_lead = false;
  pthread_mutex_lock (&s->mu);
  if (c->start != c->db->start)
    {
      pthread_mutex_unlock (&s->mu);
      return false;
    }
  if (!leads (c->db) || (c->tx == 'T' && c->tx_term != s->term))
    {
      *lost_lead = true;
      pthread_mutex_unlock (&s->mu);
      return true;
    }
  n = commit (s, write_id);
  term = s->term;
  if (dep.sync_replicas)
    wait = first_received (s, n) - now_ms ();
  pthread_mutex_unlock (&s->mu);
  /* The replica's acknowledgement takes the same way back.  */
  if (dep.sync_replicas)
    sleep_ms (wait + dep.net_min);
  pthread_mutex_lock (&s->mu);
  bool kept = s->term == term && c->start == c->db->start;
  pthread_mutex_unlock (&s->mu);
  return kept;
}

static const char *
prepared_mode (const conn_t *c, const char *text)
{
  size_t n = strcspn (text, " ");

  for (int i = 0; i < c->nprepared; i++)
    if (strlen (c->prepared[i][0]) == n
        && strncmp (c->prepared[i][0], text, n) == 0)
      return c->prepared[i][1];
  return NULL;
}

/* PREPARE name READ|WRITE shape; the shape extends to the end of the line.  */
static bool
prepare (conn_t *c, const char *text)
{
  char name[80] = "", mode[80] = "";
  int used = 0, at = 0;

  if (sscanf (text, "%79s %79s %n", name, mode, &used) < 2 || used == 0
      || text[used] == '\0'
      || (strcmp (mode, "READ") != 0 && strcmp (mode, "WRITE") != 0))
    return answer_error (c, "MALFORMED");
  while (at < c->nprepared && strcmp (c->prepared[at][0], name) != 0)
    at++;
  if (at == PREPARED)
    return answer_error (c, "MALFORMED");
  if (at == c->nprepared)
    c->nprepared++;
  snprintf (c->prepared[at][0], sizeof c->prepared[at][0], "%s", name);
  snprintf (c->prepared[at][1], sizeof c->prepared[at][1], "%.1s%s", mode,
            text + used);
  return answer_ok (c);
}

static bool
is (const char *text, const char *verb)
{
  size_t n = strlen (verb);

  return strncmp (text, verb, n) == 0 && (text[n] == ' ' || text[n] == '\0');
}

static bool
status (conn_t *c)
{
  service_t *s = c->db->service;
  char row[200], t[400];

  pthread_mutex_lock (&s->mu);
  snprintf (row, sizeof row, "ROW %s %d %d.%d 0 8 %d %d\r\nCOMPLETE -\r\n",
            leads (c->db) ? "primary" : "replica", s->term, s->term,
            received (s, c->db->number, now_ms ()), c->db->busy, c->db->conns);
  pthread_mutex_unlock (&s->mu);
  return ready (c, t, sizeof t, row);
}

/* A read or a write of a client.  */
static bool
run_statement (conn_t *c, const char *id, const char *text)
{
  db_t *d = c->db;
  bool writes = is (text, "WRITE"), lost = false;

  if (is (text, "EXECUTE"))
    {
      const char *mode = prepared_mode (c, text + 8);
      if (mode == NULL)
        return answer_error (c, "NOSTMT");
      writes = mode[0] == 'W';
      record ("%s at %s runs shape '%s'", id, d->id, mode + 1);
      if (on_shape)
        on_shape (id, mode + 1, text + 8);
    }
  bool plain_tx = c->tx == 'T' && !c->read_tx;
  if (on_run)
    on_run (d, id, text, c->tx == 'I' || c->tx_statements == 0);
  c->tx_statements++;
  record ("%s at %s runs %s", id, d->id, text);
  if (((writes || plain_tx) && !leads (d))
      || (plain_tx && c->tx_term != d->service->term)
      || (writes && c->read_tx))
    {
      bool ok = answer_error (c, "READONLY");
      if (on_run_end)
        on_run_end (d, id);
      return ok;
    }
  work (d);
  if (writes && c->tx == 'T')
    snprintf (c->first_write, sizeof c->first_write, "%s", id);
  else if (writes)
    {
      if (!run_commit (c, id, &lost))
        return false;
      if (lost)
        return answer_error (c, "READONLY");
    }
  return answer_run (c, id, writes ? 0 : dep.rows);
}

static void
end_tx (conn_t *c)
{
  c->tx = 'I';
  c->read_tx = false;
  c->tx_statements = 0;
  c->first_write[0] = '\0';
}

static bool
commit_tx (conn_t *c, const char *id)
{
  char write_id[24];
  bool lost = false, wrote = c->first_write[0] != '\0';

  if (c->tx != 'T')
    {
      end_tx (c);
      return answer_error (c, "ABORTED");
    }
  if (on_run)
    on_run (c->db, id, "COMMIT", c->tx_statements == 0);
  record ("%s at %s runs COMMIT", id, c->db->id);
  work (c->db);
  snprintf (write_id, sizeof write_id, "%s", id);
  if (wrote && !run_commit (c, write_id, &lost))
    return false;
  end_tx (c);
  if (lost)
    return answer_error (c, "READONLY");
  return answer_run (c, id, 0);
}

/* False: the connection is to be closed.  */
static bool
query (conn_t *c, char *line)
{
  char *text = strchr (line, ' ');
  service_t *s = c->db->service;

  if (text == NULL)
    return false;
  *text++ = '\0';
  if (is (text, "AFTER"))
    {
      int term, n, used = 0;
      if (sscanf (text, "AFTER %d.%d %n", &term, &n, &used) < 2)
        return false;
      text += used;
      if (n > service_received (s, c->db->number, now_ms ()))
        return answer_error (c, "LAGGING");
    }
  if (c->tx == 'E' && !is (text, "ROLLBACK") && !is (text, "COMMIT"))
    return answer_error (c, "MALFORMED");
  if (is (text, "BEGIN"))
    {
      bool read = strcmp (text, "BEGIN READ") == 0;
      if (c->tx != 'I')
        return answer_error (c, "MALFORMED");
      if (!read && !leads (c->db))
        return answer_error (c, "READONLY");
      end_tx (c);
      c->tx = 'T';
      c->read_tx = read;
      c->tx_term = s->term;
      return answer_ok (c);
    }
  if (is (text, "ROLLBACK"))
    {
      end_tx (c);
      return answer_ok (c);
    }
  if (is (text, "COMMIT"))
    return commit_tx (c, line);
  if (is (text, "SET") || is (text, "DEALLOCATE"))
    return answer_ok (c);
  if (is (text, "RESET"))
    {
      c->nprepared = 0;
      return answer_ok (c);
    }
  if (is (text, "PREPARE"))
    return prepare (c, text + 8);
  if (is (text, "STATUS"))
    return status (c);
  if (is (text, "READ") || is (text, "WRITE") || is (text, "EXECUTE"))
    return run_statement (c, line, text);
  return answer_error (c, "MALFORMED");
}

static bool
startup (conn_t *c, const char *line)
{
  db_t *d = c->db;
  char name[32] = "", who[80] = "", id[32] = "", t[100], e[64];

  sscanf (line, "STARTUP %31s %79s %31s", name, who, id);
  const char *code = strcmp (name, d->service->name) != 0
                             || (id[0] && strcmp (id, d->id) != 0)
                         ? "MISROUTED"
                     : d->conns > d->conn_limit ? "TOOMANY"
                                                : NULL;
  if (code == NULL)
    return ready (c, t, sizeof t, "");
  int n = snprintf (e, sizeof e, "ERROR %s %s\r\n", code, d->id);
  send_text (c, e, (size_t)n);
  return false;
}

static void *
serve (void *arg)
{
  conn_t *c = arg;
  db_t *d = c->db;
  service_t *s = d->service;
  char *line;

  pthread_mutex_lock (&s->mu);
  d->conns++;
  pthread_mutex_unlock (&s->mu);
  while (c->start == d->start && (line = read_line (c)) != NULL)
    if (strncmp (line, "STARTUP ", 8) == 0   ? !startup (c, line)
        : strncmp (line, "QUERY ", 6) == 0 ? !query (c, line + 6)
                                           : true)
      break;
  close (c->fd);
  free (c);
  pthread_mutex_lock (&s->mu);
  d->conns--;
  pthread_mutex_unlock (&s->mu);
  return NULL;
}

static int
listen_at (const char *address)
{
  struct sockaddr_in sa = { .sin_family = AF_INET };
  char host[64];
  const char *colon = strchr (address, ':');
  int fd = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0), one = 1;

  snprintf (host, sizeof host, "%.*s", (int)(colon - address), address);
  sa.sin_port = htons ((uint16_t)atoi (colon + 1));
  inet_pton (AF_INET, host, &sa.sin_addr);
  setsockopt (fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof one);
  if (bind (fd, (struct sockaddr *)&sa, sizeof sa) || listen (fd, 512))
    cannot_run ("%s: %s", address, strerror (errno));
  return fd;
}

static void *
accept_all (void *arg)
{
  db_t *d = arg;
  const struct timeval poll_time = { 0, 50000 };
  int one = 1;

  for (;;)
    {
      int fd = accept4 (d->listener, NULL, NULL, SOCK_CLOEXEC);
      if (fd < 0)
        return NULL;
      if (!d->up)
        {
          close (fd);
          continue;
        }
      setsockopt (fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
      setsockopt (fd, SOL_SOCKET, SO_RCVTIMEO, &poll_time, sizeof poll_time);
      conn_t *c = calloc (1, sizeof *c);
      if (c == NULL)
        abort ();
      c->db = d;
      c->start = d->start;
      c->fd = fd;
      c->tx = 'I';
      thread (serve, c);
    }
}

/* ---- heartbeats ---- */

int
heartbeat_send (int n, const char *id, const char *body)
{
  char to[64], path[96];

  snprintf (to, sizeof to, "%s.%d:%d", net, 1 + n, CONTROL_PORT);
  snprintf (path, sizeof path, "/pimentopost/instances/%s", id);
  return http_call ("PUT", to, path, body, 1000, NULL);
}

static bool
heartbeat (db_t *d)
{
  char body[500], id[32];

  pthread_mutex_lock (&d->service->mu);
  bool draining = d->draining, primary = leads (d);
  snprintf (id, sizeof id, "%s", d->id);
  snprintf (body, sizeof body,
            "{\"service\":\"%s\",\"addr\":\"%s\",\"zone\":\"%s\",\"version\":"
            "\"v1\",\"slots\":%d,\"state\":\"%s\",\"cold-left-ms\":0,"
            "\"db-role\":\"%s\",\"seq\":%lld,\"born\":%lld}",
            d->service->name, d->address, d->zone, dep.slots,
            draining ? "draining" : "ready", primary ? "primary" : "replica",
            (long long)++d->seq, (long long)d->born);
  pthread_mutex_unlock (&d->service->mu);
  for (int i = 0; i < CONTROLS; i++)
    {
      int st = heartbeat_send (d->control, id, body);
      if (st / 100 == 2)
        {
          if (draining && d->draining && d->drain_acked < 0)
            {
              d->drain_acked = now_ms ();
              record ("%s: draining is acknowledged by %s", id,
                      control[d->control].name);
            }
          return true;
        }
      d->control = (d->control + 1) % CONTROLS;
    }
  return false;
}

/* A change of the role or of the state is reported immediately.  */
static void *
heartbeats (void *arg)
{
  db_t *d = arg;
  double next = 0;
  bool role = false, draining = false;

  for (;;)
    {
      bool changed = role != leads (d) || draining != d->draining;
      if (d->up && (changed || now_ms () >= next))
        {
          role = leads (d);
          draining = d->draining;
          next = now_ms () + HEARTBEAT;
          if (!heartbeat (d))
            next = now_ms () + 100;
        }
      sleep_ms (2);
    }
  return NULL;
}

static int64_t
wall_ms (void)
{
  struct timespec t;

  clock_gettime (CLOCK_REALTIME, &t);
  return (int64_t)t.tv_sec * 1000 + t.tv_nsec / 1000000;
}

/* Gives D a new id.  */
static void
identify (db_t *d)
{
  snprintf (d->id, sizeof d->id, "i-%08x", (unsigned)uniform (1, 4e9));
  d->born = wall_ms ();
  d->seq = 0;
  d->draining = false;
  d->drain_acked = -1;
}

double
db_drain (db_t *d)
{
  record ("%s of %s is to be replaced: draining", d->id, d->service->name);
  d->draining = true;
  for (int i = 0; i < 2500 && d->drain_acked < 0; i++)
    sleep_ms (2);
  return d->drain_acked;
}

void
db_replace (db_t *d)
{
  char to[64], path[96];

  snprintf (to, sizeof to, "%s.%d:%d", net, 1 + d->control, CONTROL_PORT);
  snprintf (path, sizeof path, "/pimentopost/instances/%s", d->id);
  record ("%s ends", d->id);
  d->up = false;
  d->start++;
  http_call ("DELETE", to, path, "", 1000, NULL);
  sleep_ms (2000);
  pthread_mutex_lock (&d->service->mu);
  identify (d);
  pthread_mutex_unlock (&d->service->mu);
  d->up = true;
}

void
services_start (void)
{
  static const char *const zones[] = { "shah-alam", "petaling-jaya", "klang" };

  for (int i = 0; i < dep.services; i++)
    {
      service_t *s = &service[i];
      pthread_mutex_init (&s->mu, NULL);
      pthread_cond_init (&s->slot_free, NULL);
      snprintf (s->name, sizeof s->name, "svc%d", i);
      s->log = calloc (COMMITS_MAX, sizeof *s->log);
      if (s->log == NULL)
        abort ();
      s->term = 3;
      s->candidate = -1;
      s->primary = i % DBS;
      for (int k = 0; k < DBS; k++)
        {
          db_t *d = &s->db[k];
          d->service = s;
          d->number = k;
          d->zone = zones[k];
          d->control = k;
          d->conn_limit = dep.max_conns;
          identify (d);
          snprintf (d->address, sizeof d->address, "%s.%d:%d", net,
                    130 + i * DBS + k, DB_PORT);
          d->listener = listen_at (d->address);
          d->up = true;
          thread (accept_all, d);
          thread (heartbeats, d);
        }
      thread (promoter, s);
    }
}

/* ---- the platform ---- */

static const char *
json_text (const char *body, const char *key, char out[64])
{
  const char *p = strstr (body, key);

  out[0] = '\0';
  p = p ? strchr (p + strlen (key), ':') : NULL;
  p = p ? strchr (p, '"') : NULL;
  if (p)
    snprintf (out, 64, "%.*s", (int)strcspn (p + 1, "\""), p + 1);
  return out;
}

static int
promote_call (const char *head, const char *body)
{
  char name[64], id[64];
  const char *t = strcasestr (head, "\nFence-Token:");
  int64_t token = t ? strtoll (t + 13, NULL, 10) : 0;
  int status = 409;

  json_text (body, "\"service\"", name);
  json_text (body, "\"id\"", id);
  for (int i = 0; i < dep.services; i++)
    {
      service_t *s = &service[i];
      if (strcmp (s->name, name) != 0)
        continue;
      pthread_mutex_lock (&s->mu);
      for (int k = 0; k < DBS && token >= s->token; k++)
        if (s->db[k].up && strcmp (s->db[k].id, id) == 0)
          {
            status = 200;
            s->token = token;
            if (k != s->primary && s->candidate != k)
              {
                s->candidate = k;
                s->promote_at = now_ms () + PROMOTE_TIME;
              }
          }
      pthread_mutex_unlock (&s->mu);
    }
  record ("promote call for %s %s, token %lld: %d", name, id,
          (long long)token, status);
  return status;
}

static void *
platform_serve (void *arg)
{
  int fd = (int)(intptr_t)arg, n = 0;
  char b[8192], ans[200];

  for (;;)
    {
      ssize_t k = recv (fd, b + n, sizeof b - 1 - (size_t)n, 0);
      if (k <= 0)
        break;
      n += (int)k;
      b[n] = '\0';
      char *end = strstr (b, "\r\n\r\n");
      char *len = strcasestr (b, "\nContent-Length:");
      if (end == NULL || len == NULL
          || b + n - (end + 4) < strtol (len + 16, NULL, 10))
        continue;
      int st = promote_call (b, end + 4);
      int m = snprintf (ans, sizeof ans,
                        "HTTP/1.1 %d x\r\nContent-Length: 2\r\nContent-Type: "
                        "application/json\r\nConnection: close\r\n\r\n{}",
                        st);
      send (fd, ans, (size_t)m, MSG_NOSIGNAL);
      break;
    }
  close (fd);
  return NULL;
}

static void *
platform (void *arg)
{
  int listener = (int)(intptr_t)arg;

  for (;;)
    {
      int fd = accept4 (listener, NULL, NULL, SOCK_CLOEXEC);
      if (fd < 0)
        return NULL;
      thread (platform_serve, (void *)(intptr_t)fd);
    }
}

void
platform_start (void)
{
  char a[64];

  snprintf (a, sizeof a, "%s.90:%d", net, PLATFORM_PORT);
  thread (platform, (void *)(intptr_t)listen_at (a));
}
