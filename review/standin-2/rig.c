#include "rig.h"

#include <arpa/inet.h>
#include <errno.h>
#include <fcntl.h>
#include <poll.h>
#include <pthread.h>
#include <signal.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <time.h>
#include <unistd.h>

enum
{
  HEARTBEAT_MS = 1200, /* as in the settings of the small deployments */
  LINE_BYTES = 1 << 16,
  FIRST_BYTES = 48 /* of a connection that tell whose it is */
};

process_t control[CONTROLS], entry[ENTRIES_MAX];
int nentry;
const char *service_name[SERVICES] = { "svca", "svcb", "svcc" };

static const char *zone_name[3] = { "shah-alam", "petaling-jaya", "klang" };
static int net, port; /* second byte of the addresses, first port */
static const char *data_dir;
static int64_t started;
static pthread_mutex_t lock = PTHREAD_MUTEX_INITIALIZER;
static run_t runs[RUNS_MAX];
static int nrun;
static int64_t commits[SERVICES]; /* number of the last commit */
static volatile bool cutting;
static char cut_name[32];

/* ---- time and the record ---- */

static int64_t
clock_ms (void)
{
  struct timespec t;

  clock_gettime (CLOCK_MONOTONIC, &t);
  return (int64_t)t.tv_sec * 1000 + t.tv_nsec / 1000000;
}

int64_t
now_ms (void)
{
  return clock_ms () - started;
}

void
sleep_ms (int ms)
{
  poll (NULL, 0, ms);
}

void
note (const char *fmt, ...)
{
  va_list a;

  pthread_mutex_lock (&lock);
  printf ("%8lld ms  ", (long long)now_ms ());
  va_start (a, fmt);
  vprintf (fmt, a);
  va_end (a);
  printf ("\n");
  fflush (stdout);
  pthread_mutex_unlock (&lock);
}

void
quit (int status)
{
  for (int i = 0; i < CONTROLS + nentry; i++)
    {
      process_t *p = i < CONTROLS ? &control[i] : &entry[i - CONTROLS];
      if (p->pid > 0)
        {
          kill (p->pid, SIGKILL);
          waitpid (p->pid, NULL, 0);
        }
    }
  note ("end: %d", status);
  _exit (status);
}

/* ---- sockets ---- */

static struct sockaddr_in
to_addr (const char *s)
{
  struct sockaddr_in a = { .sin_family = AF_INET };
  char host[32];

  snprintf (host, sizeof host, "%s", s);
  char *colon = strchr (host, ':');
  *colon = '\0';
  inet_pton (AF_INET, host, &a.sin_addr);
  a.sin_port = htons ((uint16_t)atoi (colon + 1));
  return a;
}

static int
listen_on (const char *address)
{
  struct sockaddr_in a = to_addr (address);
  int fd = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0), one = 1;

  setsockopt (fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof one);
  if (bind (fd, (struct sockaddr *)&a, sizeof a) || listen (fd, 256))
    {
      note ("cannot listen on %s: %s", address, strerror (errno));
      quit (2);
    }
  return fd;
}

static int
dial (const char *address, int limit)
{
  struct sockaddr_in a = to_addr (address);
  int fd = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  struct timeval t = { limit / 1000, limit % 1000 * 1000 };

  setsockopt (fd, SOL_SOCKET, SO_RCVTIMEO, &t, sizeof t);
  setsockopt (fd, SOL_SOCKET, SO_SNDTIMEO, &t, sizeof t);
  if (connect (fd, (struct sockaddr *)&a, sizeof a) == 0)
    return fd;
  close (fd);
  return -1;
}

static bool
send_all (int fd, const char *p, size_t n)
{
  while (n)
    {
      ssize_t k = send (fd, p, n, MSG_NOSIGNAL);
      if (k <= 0)
        return false;
      p += k;
      n -= (size_t)k;
    }
  return true;
}

static void
thread (void *(*fn) (void *), void *arg)
{
  pthread_t t;
  pthread_attr_t a;

  pthread_attr_init (&a);
  pthread_attr_setstacksize (&a, 256 << 10);
  pthread_attr_setdetachstate (&a, PTHREAD_CREATE_DETACHED);
  if (pthread_create (&t, &a, fn, arg))
    {
      note ("cannot create a thread");
      quit (2);
    }
}

/* ---- relays in front of the control instances ---- */

typedef struct
{
  char listen[32], target[32];
  int fd;
} relay_t;

typedef struct
{
  relay_t *relay;
  int fd;
} relay_conn_t;

/* Whether the connection whose first bytes are P is of the instance that is
   cut off: an entry instance begins with a report, whose first field is its
   name.  Control instances begin with other messages.  */
static bool
is_cut (const char *p, size_t n)
{
  return cutting && memmem (p, n, cut_name, strlen (cut_name));
}

static void *
relay_conn (void *arg)
{
  relay_conn_t *c = arg;
  char first[FIRST_BYTES], b[65536];
  size_t nfirst = 0;
  int to = dial (c->relay->target, 2000);
  struct pollfd p[2] = { { c->fd, POLLIN, 0 }, { to, POLLIN, 0 } };

  while (to >= 0)
    {
      if (poll (p, 2, 100) < 0)
        break;
      bool drop = is_cut (first, nfirst), end = false;
      for (int i = 0; i < 2 && !end; i++)
        {
          if (!(p[i].revents & (POLLIN | POLLHUP | POLLERR)))
            continue;
          ssize_t n = recv (p[i].fd, b, sizeof b, 0);
          if (n <= 0)
            {
              end = true;
              break;
            }
          if (i == 0 && nfirst < sizeof first)
            {
              size_t k = sizeof first - nfirst;
              k = (size_t)n < k ? (size_t)n : k;
              memcpy (first + nfirst, b, k);
              nfirst += k;
              drop = is_cut (first, nfirst);
            }
          if (!drop && !send_all (p[!i].fd, b, (size_t)n))
            end = true;
        }
      if (end)
        break;
    }
  close (c->fd);
  if (to >= 0)
    close (to);
  free (c);
  return NULL;
}

static void *
relay_accept (void *arg)
{
  relay_t *r = arg;

  for (;;)
    {
      relay_conn_t *c = calloc (1, sizeof *c);
      c->relay = r;
      c->fd = accept4 (r->fd, NULL, NULL, SOCK_CLOEXEC);
      if (c->fd < 0)
        return NULL;
      thread (relay_conn, c);
    }
}

void
cut (const char *name, bool on)
{
  if (on)
    snprintf (cut_name, sizeof cut_name, "%s", name);
  cutting = on;
  note ("%s: %s", name,
        on ? "cut off from all control instances" : "the cut has healed");
}

/* ---- HTTP ---- */

/* Sends a request and returns the status, 0 without an answer; LOCATION takes
   the address of a redirect.  */
static int
http (const char *address, const char *method, const char *path,
      const char *body, char *location, int limit)
{
  int fd = dial (address, limit), status = 0, n = 0;
  char head[512], in[8192];

  if (fd < 0)
    return 0;
  int k = snprintf (head, sizeof head,
                    "%s %s HTTP/1.1\r\nHost: %s\r\nContent-Type: "
                    "application/json\r\nContent-Length: %zu\r\nConnection: "
                    "close\r\n\r\n",
                    method, path, address, strlen (body));
  if (send_all (fd, head, (size_t)k) && send_all (fd, body, strlen (body)))
    while (n < (int)sizeof in - 1)
      {
        ssize_t r = recv (fd, in + n, sizeof in - 1 - (size_t)n, 0);
        if (r <= 0)
          break;
        n += (int)r;
        in[n] = '\0';
        if (strstr (in, "\r\n\r\n"))
          break;
      }
  close (fd);
  if (n > 12)
    status = atoi (in + 9);
  const char *l = n ? strcasestr (in, "\r\nLocation: http://") : NULL;
  if (location && l)
    {
      l += strlen ("\r\nLocation: http://");
      snprintf (location, 32, "%.*s", (int)strcspn (l, "/\r"), l);
    }
  return status;
}

/* Follows a redirect twice.  */
static int
call (int at, const char *method, const char *path, const char *body,
      int limit)
{
  char address[32], to[32] = "";
  int status = 0;

  snprintf (address, sizeof address, "%s", control[at].address);
  for (int i = 0; i < 3; i++)
    {
      status = http (address, method, path, body, to, limit);
      if (status != 307 || to[0] == '\0')
        return status;
      snprintf (address, sizeof address, "%s", to);
    }
  return status;
}

int64_t
put_config (const char *body, int limit)
{
  int64_t end = now_ms () + limit;
  int wait = 50;

  for (int i = 0; now_ms () < end; i++)
    {
      int status
          = call (i % CONTROLS, "PUT", "/pimentopost/config", body, 3000);
      if (status == 200)
        return now_ms ();
      note ("operator: status %d from %s", status, control[i % CONTROLS].name);
      if (status >= 400 && status < 500 && status != 408 && status != 429)
        return -1;
      sleep_ms (wait);
      wait = wait < 800 ? wait * 2 : wait;
    }
  return -1;
}

bool
wait_ready (int limit)
{
  int64_t end = now_ms () + limit;

  for (int i = 0; i < nentry;)
    {
      if (http (entry[i].ready, "GET", "/pimentopost/readiness", "", NULL,
                1000)
          == 200)
        i++;
      else if (now_ms () > end)
        return false;
      else
        sleep_ms (100);
    }
  return true;
}

/* The platform: it is never needed, since no primary fails.  */
static void *
platform (void *arg)
{
  int fd = *(int *)arg, c;
  char b[4096];
  static const char ok[]
      = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\nConnection: close\r\n\r\n";

  while ((c = accept4 (fd, NULL, NULL, SOCK_CLOEXEC)) >= 0)
    {
      if (recv (c, b, sizeof b, 0) > 0)
        send_all (c, ok, sizeof ok - 1);
      note ("platform: a call");
      close (c);
    }
  return NULL;
}

/* ---- databases ---- */

typedef struct
{
  int service, at;
  char id[32], address[32];
  int64_t born, seq;
  int fd;
} db_t;

typedef struct
{
  db_t *db;
  int fd;
  char state;
  char caller[40];
  bool writes;
} dbconn_t;

static db_t dbs[SERVICES][DBS];

static bool
reply (dbconn_t *c, const char *line)
{
  char b[512];
  int n = snprintf (b, sizeof b, "%sREADY %c 1.%lld\r\n", line, c->state,
                    (long long)commits[c->db->service]);

  return send_all (c->fd, b, (size_t)n);
}

static bool
refuse (dbconn_t *c, const char *code)
{
  char b[128];

  if (c->state == 'T')
    c->state = 'E';
  snprintf (b, sizeof b, "ERROR %s %s\r\n", code, c->db->id);
  return reply (c, b);
}

static void
record_run (dbconn_t *c, const char *id, const char *text)
{
  pthread_mutex_lock (&lock);
  if (nrun < RUNS_MAX)
    {
      run_t *r = &runs[nrun++];
      r->at = now_ms ();
      r->service = c->db->service;
      snprintf (r->id, sizeof r->id, "%s", id);
      snprintf (r->caller, sizeof r->caller, "%s", c->caller);
    }
  pthread_mutex_unlock (&lock);
  note ("%s of %s runs %s '%s' on a connection of %s", c->db->id,
        service_name[c->db->service], id, text, c->caller);
}

static bool
complete (dbconn_t *c, const char *id, const char *text, bool row)
{
  char b[256];

  record_run (c, id, text);
  snprintf (b, sizeof b, "%sCOMPLETE %s.%s\r\n", row ? "ROW value\r\n" : "",
            c->db->id, id);
  return reply (c, b);
}

static bool
db_query (dbconn_t *c, char *line)
{
  char *id = line, *text = strchr (line, ' ');
  bool primary = c->db->at == 0;

  if (text == NULL)
    return false;
  *text++ = '\0';
  if (strncmp (text, "AFTER ", 6) == 0
      && (text = strchr (text + 6, ' ')) != NULL)
    text++;
  if (text == NULL)
    return false;
  if (strcmp (text, "ROLLBACK") == 0 || strcmp (text, "COMMIT") == 0)
    {
      bool commit = text[0] == 'C' && c->state == 'T';
      if (commit && c->writes)
        __atomic_add_fetch (&commits[c->db->service], 1, __ATOMIC_SEQ_CST);
      c->state = 'I';
      c->writes = false;
      return commit ? complete (c, id, text, false)
                    : reply (c, "COMPLETE -\r\n");
    }
  if (c->state == 'E')
    return refuse (c, "MALFORMED");
  if (strcmp (text, "BEGIN") == 0 && !primary)
    return refuse (c, "READONLY");
  if (strncmp (text, "BEGIN", 5) == 0)
    {
      c->state = 'T';
      return reply (c, "COMPLETE -\r\n");
    }
  if (strncmp (text, "READ ", 5) == 0)
    {
      sleep_ms (2);
      return complete (c, id, text, true);
    }
  if (strncmp (text, "WRITE ", 6) == 0)
    {
      if (!primary)
        return refuse (c, "READONLY");
      sleep_ms (2);
      if (c->state == 'T')
        c->writes = true;
      else
        __atomic_add_fetch (&commits[c->db->service], 1, __ATOMIC_SEQ_CST);
      return complete (c, id, text, false);
    }
  if (strcmp (text, "STATUS") == 0 || strncmp (text, "PAUSE", 5) == 0
      || strcmp (text, "RESUME") == 0 || strncmp (text, "DEMOTE", 6) == 0)
    {
      char b[128];
      snprintf (b, sizeof b, "ROW %s 1 1.%lld 0 0 0 1\r\nCOMPLETE -\r\n",
                primary ? "primary" : "replica",
                (long long)commits[c->db->service]);
      return reply (c, b);
    }
  return reply (c, "COMPLETE -\r\n"); /* SET, PREPARE, DEALLOCATE, RESET */
}

static bool
db_line (dbconn_t *c, char *line)
{
  char service[64] = "", id[64] = "";

  if (strncmp (line, "QUERY ", 6) == 0 && c->caller[0])
    return db_query (c, line + 6);
  if (sscanf (line, "STARTUP %63s %39s %63s", service, c->caller, id) < 2)
    return false;
  if (strcmp (service, service_name[c->db->service]) != 0
      || (id[0] && strcmp (id, c->db->id) != 0))
    {
      send_all (c->fd, "ERROR MISROUTED -\r\n", 19);
      return false;
    }
  sleep_ms (12);
  return reply (c, "");
}

static void *
db_conn (void *arg)
{
  dbconn_t *c = arg;
  char *b = malloc (LINE_BYTES), *lf;
  size_t n = 0;
  ssize_t k;

  while (b && (k = recv (c->fd, b + n, LINE_BYTES - 1 - n, 0)) > 0)
    {
      bool ok = true;
      n += (size_t)k;
      b[n] = '\0';
      while (ok && (lf = strstr (b, "\r\n")) != NULL)
        {
          size_t used = (size_t)(lf - b) + 2;
          *lf = '\0';
          ok = db_line (c, b);
          memmove (b, b + used, n - used + 1);
          n -= used;
        }
      if (!ok)
        break;
    }
  close (c->fd);
  free (b);
  free (c);
  return NULL;
}

static void *
db_accept (void *arg)
{
  db_t *d = arg;
  int fd;

  while ((fd = accept4 (d->fd, NULL, NULL, SOCK_CLOEXEC)) >= 0)
    {
      dbconn_t *c = calloc (1, sizeof *c);
      c->db = d;
      c->fd = fd;
      c->state = 'I';
      thread (db_conn, c);
    }
  return NULL;
}

static void *
db_heartbeats (void *arg)
{
  db_t *d = arg;
  char path[64], body[400];
  int at = d->at;

  snprintf (path, sizeof path, "/pimentopost/instances/%s", d->id);
  for (;;)
    {
      snprintf (body, sizeof body,
                "{\"service\":\"%s\",\"addr\":\"%s\",\"zone\":\"%s\","
                "\"version\":\"v1\",\"slots\":3,\"state\":\"ready\","
                "\"cold-left-ms\":0,\"db-role\":\"%s\",\"seq\":%lld,"
                "\"born\":%lld}",
                service_name[d->service], d->address, zone_name[d->at],
                d->at == 0 ? "primary" : "replica", (long long)++d->seq,
                (long long)d->born);
      int status = call (at, "PUT", path, body, 1000);
      if (status / 100 == 2)
        sleep_ms (HEARTBEAT_MS);
      else
        {
          at = (at + 1) % CONTROLS;
          sleep_ms (50);
        }
    }
  return NULL;
}

bool
run_find (const char *id, run_t *out)
{
  bool found = false;

  pthread_mutex_lock (&lock);
  for (int i = 0; i < nrun && !found; i++)
    if (strcmp (runs[i].id, id) == 0)
      {
        *out = runs[i];
        found = true;
      }
  pthread_mutex_unlock (&lock);
  return found;
}

/* ---- clients ---- */

/* Reads one line.  */
static bool
read_line (session_t *s, char *line, int limit)
{
  int64_t end = now_ms () + limit;

  for (;;)
    {
      s->in[s->n] = '\0';
      char *lf = strstr (s->in, "\r\n");
      if (lf)
        {
          int used = (int)(lf - s->in) + 2;
          snprintf (line, TEXT_MAX, "%.*s", used - 2, s->in);
          memmove (s->in, s->in + used, (size_t)(s->n - used));
          s->n -= used;
          return true;
        }
      struct pollfd p = { s->fd, POLLIN, 0 };
      int left = (int)(end - now_ms ());
      if (left <= 0 || poll (&p, 1, left) <= 0)
        {
          snprintf (line, TEXT_MAX, "(no answer in %d ms)", limit);
          return false;
        }
      ssize_t k
          = recv (s->fd, s->in + s->n, sizeof s->in - 1 - (size_t)s->n, 0);
      if (k <= 0)
        {
          snprintf (line, TEXT_MAX, "(connection ended)");
          return false;
        }
      s->n += (int)k;
    }
}

bool
session_open (session_t *s, const char *address, const char *host,
              char *answer, int limit)
{
  char b[256];

  *s = (session_t){ .fd = dial (address, limit) };
  if (s->fd < 0)
    {
      snprintf (answer, TEXT_MAX, "(no connection)");
      return false;
    }
  int n = snprintf (b, sizeof b, "STARTUP %s u1\r\n", host);
  return send_all (s->fd, b, (size_t)n) && read_line (s, answer, limit)
         && strncmp (answer, "READY ", 6) == 0;
}

bool
session_query (session_t *s, const char *text, char *id, char *answer,
               int limit)
{
  static int serial;
  char b[512], line[TEXT_MAX];
  struct timespec t;

  clock_gettime (CLOCK_REALTIME, &t);
  snprintf (id, 40, "%08lx%08x", (unsigned long)(t.tv_nsec ^ getpid ()),
            (unsigned)__atomic_add_fetch (&serial, 1, __ATOMIC_SEQ_CST));
  int n = snprintf (b, sizeof b, "QUERY %s %s\r\n", id, text);
  answer[0] = '\0';
  if (!send_all (s->fd, b, (size_t)n))
    {
      snprintf (answer, TEXT_MAX, "(connection ended)");
      return false;
    }
  while (read_line (s, line, limit))
    {
      if (strncmp (line, "READY ", 6) == 0)
        return true;
      if (strncmp (line, "ROW ", 4) != 0)
        snprintf (answer, TEXT_MAX, "%s", line);
    }
  if (answer[0] == '\0')
    snprintf (answer, TEXT_MAX, "%s", line);
  return false;
}

void
session_close (session_t *s)
{
  if (s->fd >= 0)
    close (s->fd);
  s->fd = -1;
}

/* ---- processes ---- */

static void
process_start (process_t *p, const char *bin)
{
  char program[300], setting[300], log[300];

  snprintf (program, sizeof program, "%s/%s", bin, p->program);
  snprintf (setting, sizeof setting, "PIMENTOPOST_CONFIG=%s", p->settings);
  snprintf (log, sizeof log, "%s/%s.log", data_dir, p->name);
  p->pid = fork ();
  if (p->pid == 0)
    {
      int fd = open (log, O_WRONLY | O_CREAT | O_APPEND, 0600);
      char *argv[] = { program, NULL };
      char *env[] = { setting, NULL };
      prctl (PR_SET_PDEATHSIG, SIGKILL);
      dup2 (fd, 1);
      dup2 (fd, 2);
      execve (program, argv, env);
      _exit (127);
    }
}

static void
write_settings (process_t *p, const char *ip, const char *bound)
{
  FILE *f = fopen (p->settings, "w");
  char dir[300] = "null";

  if (f == NULL)
    quit (2);
  if (p->control)
    snprintf (dir, sizeof dir, "\"%s/%s.data\"", data_dir, p->name);
  fprintf (
      f,
      "{\"node-name\":\"%s\",\"role\":\"%s\",\"machine-class\":\"%s\","
      "\"serves\":[\"%s\"],\"ip\":\"%s\",\"bind-ip\":\"%s\",\"zone\":\"%s\","
      "\"region\":\"klang-valley\",\"zones\":{\"shah-alam\":\"klang-valley\","
      "\"petaling-jaya\":\"klang-valley\",\"klang\":\"klang-valley\"},",
      p->name, p->control ? "control" : "entry", p->control ? "core" : "front",
      p->control ? "control" : "front", ip, bound, p->zone);
  if (p->control)
    fprintf (f, "\"listen\":{\"control\":\"%s\"},", p->address);
  else
    fprintf (f, "\"listen\":{\"front\":\"%s\",\"ready\":\"%s\"},", p->address,
             p->ready);
  fprintf (f, "\"internal-ports\":[%d,%d],\"seeds\":[", port, port + 15);
  for (int i = 0; i < CONTROLS; i++)
    fprintf (f, "%s\"127.%d.1.%d:%d\"", i ? "," : "", net, i + 1, port + 20);
  fprintf (
      f,
      "],\"bootstrap\":true,\"in-fault-budget\":%s,\"limits\":{\"cpu-share\":"
      "0.3,"
      "\"cores\":1,\"memory-mb\":%d,\"max-fds\":4096,\"link-mbps\":1000.0,"
      "\"disk-mb\":%d},\"data-dir\":%s,\"discovery\":\"registry\",\"entry\":"
      "\"vip\","
      "\"heartbeat-ms\":1200,\"contracts\":[\"base\",\"drain\",\"config\","
      "\"cost\","
      "\"recover\",\"sql\"],\"fault-tolerance\":{\"machines\":1,\"zones\":1,"
      "\"regions\":0},\"bounds\":{\"seed-lag-s\":3,\"addr-reuse-s\":2,"
      "\"contact-ms\":4000,\"ack-ms\":5000,\"catch-up-s\":4,\"drain-ms\":7000,"
      "\"grace-s\":6,\"loss-slack-ms\":200,\"config-apply-ms\":3000,"
      "\"rollback-slack-ms\":250,\"drift-max-ms\":12000,\"recovery-s\":12,"
      "\"fencing-enforced\":true,\"thaw-slack-ms\":300},\"config_mode\":"
      "\"highest\","
      "\"cloud-api\":{\"addr\":\"127.%d.4.1:%d\",\"rate-per-s\":50.0,"
      "\"duties\":[\"promotion\"],\"duty-per-s\":50.0}}\n",
      p->control ? "true" : "false", p->control ? 256 : 260,
      p->control ? 128 : 0, dir, net, port);
  fclose (f);
}

/* Whether the ports of the case are free at the address that is used most.  */
static bool
is_free (void)
{
  for (int i = 0; i < 24; i++)
    {
      char a[32];
      snprintf (a, sizeof a, "127.%d.1.1:%d", net, port + i);
      struct sockaddr_in s = to_addr (a);
      int fd = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
      bool ok = bind (fd, (struct sockaddr *)&s, sizeof s) == 0;
      close (fd);
      if (!ok)
        return false;
    }
  return true;
}

static void
start_relays (void)
{
  static relay_t relay[CONTROLS];

  for (int i = 0; i < CONTROLS; i++)
    {
      relay_t *r = &relay[i];
      snprintf (r->listen, sizeof r->listen, "127.%d.1.%d:%d", net, i + 1,
                port);
      snprintf (r->target, sizeof r->target, "127.%d.2.%d:%d", net, i + 1,
                port);
      r->fd = listen_on (r->listen);
      thread (relay_accept, r);
    }
}

static void
start_databases (void)
{
  struct timespec t;

  clock_gettime (CLOCK_REALTIME, &t);
  for (int s = 0; s < SERVICES; s++)
    for (int i = 0; i < DBS; i++)
      {
        db_t *d = &dbs[s][i];
        d->service = s;
        d->at = i;
        d->born = (int64_t)t.tv_sec * 1000 + t.tv_nsec / 1000000;
        snprintf (d->id, sizeof d->id, "i-%d%d%08x", s, i,
                  (unsigned)getpid ());
        snprintf (d->address, sizeof d->address, "127.%d.5.%d:%d", net,
                  1 + s * DBS + i, port);
        d->fd = listen_on (d->address);
        thread (db_accept, d);
        thread (db_heartbeats, d);
      }
}

void
rig_start (const char *bin, const char *dir, const int per_zone[3])
{
  static int platform_fd;
  char ip[32], bound[32], a[32];

  signal (SIGPIPE, SIG_IGN);
  started = clock_ms ();
  data_dir = dir;
  net = 64 + getpid () % 120;
  for (port = 21000 + getpid () % 97 * 100; !is_free (); port += 100)
    if (port > 40000)
      quit (2);
  snprintf (a, sizeof a, "127.%d.4.1:%d", net, port);
  platform_fd = listen_on (a);
  thread (platform, &platform_fd);
  start_relays ();
  for (int i = 0; i < CONTROLS; i++)
    {
      process_t *p = &control[i];
      *p = (process_t){ .program = "pimentopost-control", .control = true };
      snprintf (p->zone, sizeof p->zone, "%s", zone_name[i]);
      snprintf (p->name, sizeof p->name, "core-%s-1", zone_name[i]);
      snprintf (p->settings, sizeof p->settings, "%s/%s.json", dir, p->name);
      snprintf (p->address, sizeof p->address, "127.%d.1.%d:%d", net, i + 1,
                port + 20);
      snprintf (ip, sizeof ip, "127.%d.1.%d", net, i + 1);
      snprintf (bound, sizeof bound, "127.%d.2.%d", net, i + 1);
      write_settings (p, ip, bound);
      process_start (p, bin);
    }
  for (int z = 0; z < 3; z++)
    for (int i = 0; i < per_zone[z]; i++)
      {
        process_t *p = &entry[nentry];
        *p = (process_t){ .program = "pimentopost-entry" };
        snprintf (p->zone, sizeof p->zone, "%s", zone_name[z]);
        snprintf (p->name, sizeof p->name, "front-%s-%d", zone_name[z], i + 1);
        snprintf (p->settings, sizeof p->settings, "%s/%s.json", dir, p->name);
        snprintf (ip, sizeof ip, "127.%d.3.%d", net, nentry + 1);
        snprintf (p->address, sizeof p->address, "%s:%d", ip, port + 21);
        snprintf (p->ready, sizeof p->ready, "%s:%d", ip, port + 22);
        write_settings (p, ip, ip);
        process_start (p, bin);
        nentry++;
      }
  start_databases ();
  note ("started %d control and %d entry instances", CONTROLS, nentry);
}
