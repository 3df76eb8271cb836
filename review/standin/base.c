/* Time, the record, processes, the ingress and HTTP calls.  */

#define _GNU_SOURCE
#include "standin.h"

#include <arpa/inet.h>
#include <errno.h>
#include <fcntl.h>
#include <poll.h>
#include <signal.h>
#include <stdarg.h>
#include <stdlib.h>
#include <string.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <time.h>
#include <unistd.h>

deployment_t dep;
char net[32];
proc_t control[CONTROLS], entry[ENTRIES_MAX];
bool trouble = true;
volatile bool over;

static char dir[200];
static FILE *out;
static pthread_mutex_t out_mu = PTHREAD_MUTEX_INITIALIZER;
static int breaks;
static double began;

static double
clock_ms (void)
{
  struct timespec t;

  clock_gettime (CLOCK_MONOTONIC, &t);
  return (double)t.tv_sec * 1e3 + (double)t.tv_nsec / 1e6;
}

double
now_ms (void)
{
  return clock_ms () - began;
}

void
sleep_ms (double ms)
{
  struct timespec t;

  if (ms <= 0)
    return;
  t.tv_sec = (time_t)(ms / 1e3);
  t.tv_nsec = (long)((ms - (double)t.tv_sec * 1e3) * 1e6);
  nanosleep (&t, NULL);
}

double
uniform (double a, double b)
{
  static __thread unsigned short seed[3];

  if (seed[0] == 0 && seed[1] == 0 && seed[2] == 0)
    {
      uint64_t x = (uint64_t)(clock_ms () * 1e3) ^ (uint64_t)(uintptr_t)&seed;
      seed[0] = (unsigned short)(x | 1);
      seed[1] = (unsigned short)(x >> 16);
      seed[2] = (unsigned short)(x >> 32);
    }
  return a + (b - a) * erand48 (seed);
}

static void
put (const char *prefix, const char *fmt, va_list ap)
{
  pthread_mutex_lock (&out_mu);
  if (out)
    {
      fprintf (out, "%10.1f %s", now_ms (), prefix);
      vfprintf (out, fmt, ap);
      fputc ('\n', out);
    }
  pthread_mutex_unlock (&out_mu);
}

void
record (const char *fmt, ...)
{
  va_list ap;

  va_start (ap, fmt);
  put ("", fmt, ap);
  va_end (ap);
}

void
broken (const char *fmt, ...)
{
  va_list ap;

  va_start (ap, fmt);
  put ("BROKEN ", fmt, ap);
  va_end (ap);
  pthread_mutex_lock (&out_mu);
  if (breaks++ < 5)
    {
      va_start (ap, fmt);
      printf ("%.1f s: ", now_ms () / 1e3);
      vprintf (fmt, ap);
      putchar ('\n');
      va_end (ap);
    }
  pthread_mutex_unlock (&out_mu);
}

static void
kill_all (void)
{
  for (int i = 0; i < CONTROLS; i++)
    if (control[i].pid)
      kill (control[i].pid, SIGKILL);
  for (int i = 0; i < ENTRIES_MAX; i++)
    if (entry[i].pid)
      kill (entry[i].pid, SIGKILL);
  while (waitpid (-1, NULL, 0) > 0)
    ;
}

static void
leave (int status)
{
  char cmd[300];

  kill_all ();
  pthread_mutex_lock (&out_mu);
  if (out)
    fflush (out);
  if (status != 2 && getenv ("KEEP") == NULL && dir[0])
    {
      snprintf (cmd, sizeof cmd, "rm -rf '%s'", dir);
      if (system (cmd))
        status = 2;
    }
  else
    printf ("logs: %s\n", dir);
  fflush (stdout);
  _exit (status);
}

void
cannot_run (const char *fmt, ...)
{
  va_list ap;

  va_start (ap, fmt);
  vprintf (fmt, ap);
  putchar ('\n');
  va_end (ap);
  leave (2);
  abort ();
}

void
finish (void)
{
  record ("%d breaks of the rule", breaks);
  printf ("%s: %d breaks of the rule\n",
          trouble ? "with the disruption" : "without it", breaks);
  leave (breaks ? 1 : 0);
  abort ();
}

void
thread (void *(*fn) (void *), void *arg)
{
  pthread_attr_t a;
  pthread_t t;

  pthread_attr_init (&a);
  pthread_attr_setstacksize (&a, 512 << 10);
  pthread_attr_setdetachstate (&a, PTHREAD_CREATE_DETACHED);
  if (pthread_create (&t, &a, fn, arg))
    cannot_run ("no thread");
}

/* ---- processes ---- */

static void
write_settings (proc_t *p, int host, int advertised, const char *zone,
                const char *class, const char *command, bool bootstrap)
{
  bool is_control = strcmp (class, "core") == 0;

  p->command = command;
  snprintf (p->settings, sizeof p->settings, "%s/%s.json", dir, p->name);
  FILE *f = fopen (p->settings, "w");
  if (f == NULL)
    cannot_run ("no settings file");
  fprintf (f,
           "{\"node-name\":\"%s\",\"role\":\"%s\",\"machine-class\":\"%s\","
           "\"serves\":[\"%s\"],\"ip\":\"%s.%d\",\"bind-ip\":\"%s.%d\","
           "\"zone\":\"%s\",\"region\":\"klang-valley\","
           "\"zones\":{\"shah-alam\":\"klang-valley\",\"petaling-jaya\":"
           "\"klang-valley\",\"klang\":\"klang-valley\"},",
           p->name, is_control ? "control" : "entry", class,
           is_control ? "control" : "front", net, advertised, net, host, zone);
  if (is_control)
    fprintf (f, "\"listen\":{\"control\":\"%s.%d:%d\"},", net, host,
             CONTROL_PORT);
  else
    fprintf (f, "\"listen\":{\"front\":\"%s.%d:%d\",\"ready\":\"%s.%d:%d\"},",
             net, host, FRONT_PORT, net, host, READY_PORT);
  fprintf (f,
           "\"internal-ports\":[%d,%d],\"seeds\":[\"%s.1:%d\",\"%s.2:%d\","
           "\"%s.3:%d\"],\"bootstrap\":%s,\"in-fault-budget\":%s,"
           "\"limits\":{\"cpu-share\":0.25,\"cores\":1,\"memory-mb\":260,"
           "\"max-fds\":4200,\"link-mbps\":%.1f,\"disk-mb\":%d},",
           RPC_PORT, RPC_PORT + 15, net, CONTROL_PORT, net, CONTROL_PORT, net,
           CONTROL_PORT, bootstrap ? "true" : "false",
           is_control ? "true" : "false", dep.link_mbps,
           is_control ? 128 : 0);
  if (is_control)
    {
      char data[300];
      snprintf (data, sizeof data, "%s/%s.data", dir, p->name);
      mkdir (data, 0700);
      fprintf (f, "\"data-dir\":\"%s\",", data);
    }
  else
    fprintf (f, "\"data-dir\":null,");
  fprintf (
      f,
      "\"discovery\":\"registry\",\"entry\":\"vip\",\"heartbeat-ms\":%d,"
      "\"contracts\":[\"base\",\"drain\",\"config\",\"cost\",\"recover\","
      "\"sql\"],\"fault-tolerance\":{\"machines\":1,\"zones\":1,\"regions\":"
      "0},\"bounds\":{\"seed-lag-s\":3,\"addr-reuse-s\":2,\"contact-ms\":4000,"
      "\"ack-ms\":5000,\"catch-up-s\":4,\"drain-ms\":%d,\"grace-s\":%d,"
      "\"loss-slack-ms\":200,\"config-apply-ms\":3000,\"rollback-slack-ms\":"
      "250,\"drift-max-ms\":12000,\"recovery-s\":12,\"fencing-enforced\":true,"
      "\"thaw-slack-ms\":300},\"config_mode\":\"highest\",\"cloud-api\":{"
      "\"addr\":\"%s.90:%d\",\"rate-per-s\":50.0,\"duties\":[\"promotion\"],"
      "\"duty-per-s\":50.0}}\n",
      HEARTBEAT, DRAIN_TIME, GRACE, net, PLATFORM_PORT);
  fclose (f);
}

void
proc_start (proc_t *p)
{
  char log[300], setting[340];

  snprintf (log, sizeof log, "%s/%s.log", dir, p->name);
  snprintf (setting, sizeof setting, "PIMENTOPOST_CONFIG=%s", p->settings);
  char *argv[] = { (char *)p->command, NULL };
  char *envp[] = { setting, "PATH=/usr/bin:/bin", "LANG=C", NULL };
  int pid = fork ();
  if (pid == 0)
    {
      int fd = open (log, O_WRONLY | O_CREAT | O_APPEND, 0600);
      dup2 (fd, 1);
      dup2 (fd, 2);
      for (int i = 3; i < 4096; i++)
        close (i);
      prctl (PR_SET_PDEATHSIG, SIGKILL);
      signal (SIGPIPE, SIG_DFL);
      execve (p->command, argv, envp);
      _exit (127);
    }
  if (pid < 0)
    cannot_run ("no process");
  p->pid = pid;
  record ("start %s pid %d", p->name, pid);
}

void
proc_signal (proc_t *p, int sig)
{
  record ("signal %d to %s", sig, p->name);
  if (p->pid)
    kill (p->pid, sig);
}

bool
proc_wait (proc_t *p, double ms)
{
  double until = now_ms () + ms;

  while (now_ms () < until)
    {
      if (waitpid (p->pid, NULL, WNOHANG) == p->pid)
        {
          record ("%s has ended", p->name);
          p->pid = 0;
          return true;
        }
      sleep_ms (5);
    }
  return false;
}

/* ---- HTTP ---- */

static int
dial (const char *to, int timeout_ms)
{
  char host[64];
  const char *colon = strchr (to, ':');
  struct sockaddr_in sa = { .sin_family = AF_INET };
  int err = 0;
  socklen_t n = sizeof err;

  snprintf (host, sizeof host, "%.*s", (int)(colon - to), to);
  sa.sin_port = htons ((uint16_t)atoi (colon + 1));
  inet_pton (AF_INET, host, &sa.sin_addr);
  int fd = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
  if (fd < 0)
    return -1;
  struct pollfd p = { fd, POLLOUT, 0 };
  if (connect (fd, (struct sockaddr *)&sa, sizeof sa)
      && (errno != EINPROGRESS || poll (&p, 1, timeout_ms) != 1
          || getsockopt (fd, SOL_SOCKET, SO_ERROR, &err, &n) || err))
    {
      close (fd);
      return -1;
    }
  fcntl (fd, F_SETFL, fcntl (fd, F_GETFL) & ~O_NONBLOCK);
  return fd;
}

int
http_call (const char *method, const char *to, const char *path,
           const char *body, int timeout_ms, char location[128])
{
  char req[70000], ans[8192];
  double until = now_ms () + timeout_ms;
  int fd = dial (to, timeout_ms), n, got = 0, status = 0;

  if (fd < 0)
    return 0;
  n = snprintf (req, sizeof req,
                "%s %s HTTP/1.1\r\nHost: %s\r\nConnection: close\r\n"
                "Content-Type: application/json\r\nContent-Length: %zu\r\n\r\n"
                "%s",
                method, path, to, strlen (body), body);
  if (send (fd, req, (size_t)n, MSG_NOSIGNAL) == n)
    while (got < (int)sizeof ans - 1)
      {
        struct pollfd p = { fd, POLLIN, 0 };
        int left = (int)(until - now_ms ());
        if (left <= 0 || poll (&p, 1, left) != 1)
          break;
        ssize_t k = recv (fd, ans + got, sizeof ans - 1 - (size_t)got, 0);
        if (k <= 0)
          break;
        got += (int)k;
        ans[got] = '\0';
        if (strstr (ans, "\r\n\r\n"))
          {
            sscanf (ans, "HTTP/1.1 %d", &status);
            break;
          }
      }
  if (location)
    {
      char *l = status ? strcasestr (ans, "\nLocation: http://") : NULL;
      location[0] = '\0';
      if (l)
        snprintf (location, 128, "%.*s", (int)strcspn (l + 18, "/\r\n"),
                  l + 18);
    }
  close (fd);
  return status;
}

/* ---- operator ---- */

const char *route_host[SERVICES_MAX];

bool
put_config (int version)
{
  char host[SERVICES_MAX][32];
  static char body[60000];
  char to[128], location[128];
  int n = snprintf (body, sizeof body, "{\"version\":%d,\"routes\":[", version);

  for (int i = 0; i < dep.services; i++)
    snprintf (host[i], sizeof host[i], "db%d", i);
  for (int i = 0; i < dep.services; i++)
    n += snprintf (body + n, sizeof body - (size_t)n,
                   "%s{\"name\":\"r-%d\",\"host\":\"%s\",\"path-prefix\":"
                   "\"/\",\"route-kind\":\"%s\",\"timeout-ms\":%d,"
                   "\"target-latency-ms\":400,\"priority\":1,\"service\":"
                   "\"svc%d\",\"max-attempts\":2,\"max-staleness-ms\":%d}",
                   i ? "," : "", i, route_host[i] ? route_host[i] : host[i],
                   dep.route_kind, dep.timeout, i,
                   dep.max_age);
  n += snprintf (body + n, sizeof body - (size_t)n, "],\"services\":[");
  for (int i = 0; i < dep.services; i++)
    n += snprintf (body + n, sizeof body - (size_t)n,
                   "%s{\"name\":\"svc%d\",\"health-path\":\"/health\","
                   "\"max-conns\":%d,\"protocol\":\"h1\",\"tls\":false,"
                   "\"sync-replicas\":%d}",
                   i ? "," : "", i, dep.max_conns, dep.sync_replicas);
  snprintf (body + n, sizeof body - (size_t)n,
            "],\"limits\":{\"max-header-bytes\":16384,\"max-body-bytes\":"
            "262144,\"header-timeout-ms\":3000,\"idle-timeout-ms\":15000,"
            "\"tx-idle-ms\":3000}}");
  for (int i = 0; i < 60; i++)
    {
      snprintf (to, sizeof to, "%s.%d:%d", net, 1 + i % CONTROLS,
                CONTROL_PORT);
      int st = http_call ("PUT", to, "/pimentopost/config", body, 1000,
                          location);
      for (int hop = 0; st == 307 && location[0] && hop < 2; hop++)
        {
          snprintf (to, sizeof to, "%s", location);
          st = http_call ("PUT", to, "/pimentopost/config", body, 1000,
                          location);
        }
      if (st == 200)
        {
          record ("configuration %d is acknowledged", version);
          return true;
        }
      sleep_ms (200);
    }
  return false;
}

/* ---- ingress ---- */

static volatile int misses[ENTRIES_MAX];

/* A question each second; two misses take an instance out.  */
static void *
ingress (void *arg)
{
  int i = (int)(intptr_t)arg;
  char to[64];

  snprintf (to, sizeof to, "%s.%d:%d", net, 10 + i, READY_PORT);
  for (;;)
    {
      int st
          = http_call ("GET", to, "/pimentopost/readiness", "", 900, NULL);
      if (st == 200)
        misses[i] = 0;
      else if (++misses[i] == 2)
        record ("ingress: %s is out", entry[i].name);
      sleep_ms (1000);
    }
  return NULL;
}

int
ingress_pick (void)
{
  int from = (int)uniform (0, dep.entries);

  for (int i = 0; i < dep.entries; i++)
    if (misses[(from + i) % dep.entries] < 2)
      return (from + i) % dep.entries;
  return from;
}

/* ---- set-up ---- */

static bool
address_free (int host, int port)
{
  char a[64];
  struct sockaddr_in sa = { .sin_family = AF_INET };
  int fd = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0), one = 1;

  snprintf (a, sizeof a, "%s.%d", net, host);
  sa.sin_port = htons ((uint16_t)port);
  inet_pton (AF_INET, a, &sa.sin_addr);
  setsockopt (fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof one);
  bool ok = bind (fd, (struct sockaddr *)&sa, sizeof sa) == 0;
  close (fd);
  return ok;
}

static void
choose_addresses (void)
{
  for (int i = 0; i < 200; i++)
    {
      snprintf (net, sizeof net, "127.91.%d", 1 + (getpid () + i) % 250);
      if (address_free (1, CONTROL_PORT) && address_free (10, FRONT_PORT)
          && address_free (90, PLATFORM_PORT) && address_free (1, 9464))
        return;
    }
  cannot_run ("no free addresses");
}

static const char *const zones[] = { "shah-alam", "petaling-jaya", "klang" };

static void
wait_ready (void)
{
  double until = now_ms () + 20000;

  for (int i = 0; i < dep.entries; i++)
    while (misses[i] != 0)
      {
        if (now_ms () > until)
          cannot_run ("%s is not ready", entry[i].name);
        sleep_ms (50);
      }
}

void
deploy (void)
{
  int relayed = dep.relay_mbps > 0 ? 110 : 10;

  choose_addresses ();
  platform_start ();
  for (int i = 0; i < CONTROLS; i++)
    {
      snprintf (control[i].name, sizeof control[i].name, "core-%s-1",
                zones[i]);
      write_settings (&control[i], 1 + i, 1 + i, zones[i], "core",
                      "target/bin/pimentopost-control", true);
      proc_start (&control[i]);
    }
  for (int i = 0; i < dep.entries; i++)
    {
      const char *z
          = dep.entry_zone[i] ? dep.entry_zone[i] : zones[i % 3];
      snprintf (entry[i].name, sizeof entry[i].name, "front-%s-%d", z, i);
      write_settings (&entry[i], 10 + i, relayed + i, z, "front",
                      "target/bin/pimentopost-entry", true);
      if (dep.relay_mbps > 0)
        relay_start (relayed + i, 10 + i, RPC_PORT, dep.relay_mbps);
      proc_start (&entry[i]);
    }
  services_start ();
  if (!put_config (7))
    cannot_run ("no configuration is acknowledged");
  for (int i = 0; i < dep.entries; i++)
    {
      misses[i] = 2;
      thread (ingress, (void *)(intptr_t)i);
    }
  sleep_ms (1500);
  wait_ready ();
  /* As in a deployment: traffic starts 10 s after the machines.  */
  if (now_ms () < 8000)
    sleep_ms (8000 - now_ms ());
  record ("ready");
}

/* ---- main ---- */

static void
on_signal (int sig)
{
  (void)sig;
  for (int i = 0; i < CONTROLS; i++)
    if (control[i].pid)
      kill (control[i].pid, SIGKILL);
  for (int i = 0; i < ENTRIES_MAX; i++)
    if (entry[i].pid)
      kill (entry[i].pid, SIGKILL);
  _exit (2);
}

int
main (int argc, char **argv)
{
  static const struct
  {
    const char *name;
    void (*run) (void);
  } cases[] = { { "sync", case_sync },
                { "rows", case_rows },
                { "stop", case_stop },
                { "odd", case_odd },
                { "shape", case_shape },
                { "host", case_host } };
  const char *t = getenv ("TROUBLE");
  const char *tmp = getenv ("TMPDIR");

  began = clock_ms ();
  signal (SIGPIPE, SIG_IGN);
  signal (SIGTERM, on_signal);
  signal (SIGINT, on_signal);
  signal (SIGALRM, on_signal);
  alarm (118);
  trouble = t == NULL || strcmp (t, "0") != 0;
  if (argc != 3)
    {
      fprintf (stderr, "usage: standin CASE RECORD\n");
      return 2;
    }
  out = fopen (argv[2], "w");
  snprintf (dir, sizeof dir, "%s/pimentopost-review.XXXXXX",
            tmp ? tmp : "/tmp");
  if (out == NULL || mkdtemp (dir) == NULL)
    return 2;
  for (size_t i = 0; i < sizeof cases / sizeof *cases; i++)
    if (strcmp (cases[i].name, argv[1]) == 0)
      {
        cases[i].run ();
        finish ();
      }
  return 2;
}
