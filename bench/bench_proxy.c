/* Compares one entry process with direct access to the databases.
   speed: throughput and latency, in rounds of 1 s that alternate between the
   two; memory: resident memory of PID for each idle connection.

   bench_proxy speed DIRECT[,DIRECT...] ENTRY DATABASE CLIENTS ROUNDS SQL
   bench_proxy memory ENTRY PID DATABASE CONNECTIONS  */
#include "pgwire.h"
#include "rpc.h"

#include <errno.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/epoll.h>
#include <sys/resource.h>
#include <time.h>
#include <unistd.h>

enum
{
  ROUND_MS = 1000,
  MAX_SAMPLES = 4 << 20 /* latencies kept of a round */
};

typedef struct
{
  int fd;
  buf_t in;
  buf_t out;
  int64_t sent; /* ns, time of the last query */
  bool ready;
} client_t;

static int64_t sample[MAX_SAMPLES]; /* ns */
static size_t nsamples;

static int64_t
now_ns (void)
{
  struct timespec t;

  clock_gettime (CLOCK_MONOTONIC, &t);
  return (int64_t)t.tv_sec * 1000000000 + t.tv_nsec;
}

static void
die (const char *what)
{
  fprintf (stderr, "bench_proxy: %s\n", what);
  exit (1);
}

static void
client_open (client_t *c, str_t address, str_t db, int ep)
{
  err_t e;
  struct epoll_event ev = { .events = EPOLLIN, .data.ptr = c };

  *c = (client_t){ .fd = rpc_connect (address, &e) };
  if (c->fd < 0 || epoll_ctl (ep, EPOLL_CTL_ADD, c->fd, &ev))
    die ("connect");
  pg_put_startup (&c->out, STR ("bench"), db);
}

static void
client_write (client_t *c)
{
  err_t e;

  if (rpc_write (c->fd, &c->out, &e) < 0)
    die ("write");
}

/* client_read: reads what has arrived; true after ReadyForQuery.  */
static bool
client_read (client_t *c)
{
  pgmsg_t m;
  err_t e;
  bool ready = false;

  if (rpc_read (c->fd, &c->in, &e) < 0)
    die ("connection closed");
  while (pg_message (&c->in, PG_MAX_ANSWER, &m, &e) > 0)
    {
      if (m.type == 'E')
        {
          fprintf (stderr, "%.*s\n", (int)m.body.n, m.body.p);
          die ("error answer");
        }
      ready |= m.type == 'Z';
      buf_take (&c->in, m.size);
    }
  return ready;
}

/* connect_all: opens N connections, to the addresses in turn, and waits until
   all are ready.  */
static void
connect_all (client_t *c, int n, const str_t *address, int naddr, str_t db,
             int ep)
{
  struct epoll_event ev[256];
  int ready = 0;
  int opened = 0;
  msec_t end = msec_now () + 60000;

  while (ready < n)
    {
      /* At most 200 pending, since the backlog of a listener is limited.  */
      for (; opened < n && opened - ready < 200; opened++)
        client_open (&c[opened], address[opened % naddr], db, ep);
      for (int i = 0; i < opened; i++)
        if (buf_len (&c[i].out))
          {
            err_t e;
            if (rpc_write (c[i].fd, &c[i].out, &e) < 0 && e.sys != ENOTCONN)
              die ("connect");
          }
      int k = epoll_wait (ep, ev, 256, 10);
      for (int i = 0; i < k; i++)
        if (client_read (ev[i].data.ptr))
          ready++;
      if (msec_now () > end)
        die ("connections were not ready within 60 s");
    }
}

static void
send_query (client_t *c, str_t sql)
{
  c->sent = now_ns ();
  pg_put_query (&c->out, sql);
  client_write (c);
}

/* run_closed_loop: each client sends SQL again after each answer, for
   ROUND_MS; returns statements per second.  */
static double
run_closed_loop (client_t *c, int n, str_t sql, int ep)
{
  struct epoll_event ev[256];
  int64_t start = now_ns ();
  int64_t end = start + (int64_t)ROUND_MS * 1000000;
  int running = n;
  int64_t done = 0;

  for (int i = 0; i < n; i++)
    send_query (&c[i], sql);
  while (running > 0)
    {
      int k = epoll_wait (ep, ev, 256, 5000);
      if (k == 0)
        die ("no answer for 5 s");
      for (int i = 0; i < k; i++)
        {
          client_t *x = ev[i].data.ptr;
          if (!client_read (x))
            continue;
          int64_t t = now_ns ();
          done++;
          if (nsamples < MAX_SAMPLES)
            sample[nsamples++] = t - x->sent;
          if (t < end)
            send_query (x, sql);
          else
            running--;
        }
    }
  return (double)done * 1e9 / (double)(now_ns () - start);
}

static int
by_value (const void *a, const void *b)
{
  int64_t x = *(const int64_t *)a;
  int64_t y = *(const int64_t *)b;

  return (x > y) - (x < y);
}

typedef struct
{
  double rate; /* statements per second */
  double p50;  /* us */
  double p99;  /* us */
} result_t;

static result_t
run_round (client_t *c, int n, str_t sql, int ep)
{
  result_t r;

  nsamples = 0;
  r.rate = run_closed_loop (c, n, sql, ep);
  qsort (sample, nsamples, sizeof *sample, by_value);
  size_t mid = nsamples / 2;
  size_t high = nsamples * 99 / 100;
  r.p50 = (double)sample[mid] / 1000;
  r.p99 = (double)sample[high] / 1000;
  return r;
}

static int
by_double (const void *a, const void *b)
{
  double x = *(const double *)a;
  double y = *(const double *)b;

  return (x > y) - (x < y);
}

static double
median (double *v, int n)
{
  qsort (v, (size_t)n, sizeof *v, by_double);
  return v[n / 2];
}

static int
parse_count (const char *text)
{
  int64_t v;

  if (!str_int (str_of (text), &v) || v < 1 || v > 1000000)
    die ("expected a number from 1 to 1000000");
  return (int)v;
}

static int
split_list (char *text, str_t *out, int max)
{
  int n = 0;
  char *save;

  for (char *p = strtok_r (text, ",", &save); p && n < max;
       p = strtok_r (NULL, ",", &save))
    out[n++] = str_of (p);
  return n;
}

static void
bench_speed (char **a)
{
  str_t direct[8];
  str_t entry = str_of (a[1]);
  int nd = split_list (a[0], direct, 8);
  int n = parse_count (a[3]);
  int rounds = parse_count (a[4]);
  int ep[2] = { epoll_create1 (0), epoll_create1 (0) };
  client_t *c[2];
  double *v[5];

  for (int i = 0; i < 5; i++)
    v[i] = calloc ((size_t)rounds, sizeof *v[i]);
  for (int i = 0; i < 2; i++)
    c[i] = calloc ((size_t)n, sizeof *c[i]);
  connect_all (c[0], n, direct, nd, str_of (a[2]), ep[0]);
  connect_all (c[1], n, &entry, 1, str_of (a[2]), ep[1]);
  for (int i = -1; i < rounds; i++)
    {
      result_t d = run_round (c[0], n, str_of (a[5]), ep[0]);
      result_t p = run_round (c[1], n, str_of (a[5]), ep[1]);
      if (i < 0)
        continue; /* warm-up */
      v[0][i] = p.rate / d.rate;
      v[1][i] = (p.p50 - d.p50) / d.p50;
      v[2][i] = (p.p99 - d.p99) / d.p50;
      v[3][i] = d.rate;
      v[4][i] = p.rate;
      printf ("  round %d: direct %.0f/s p50 %.0f us p99 %.0f us; entry "
              "%.0f/s p50 %.0f us p99 %.0f us\n",
              i + 1, d.rate, d.p50, d.p99, p.rate, p.p50, p.p99);
    }
  printf ("clients %d: direct %.0f/s, entry %.0f/s, ratio %.3f; added p50 "
          "%.2f and p99 %.2f direct round trips (medians of %d rounds)\n",
          n, median (v[3], rounds), median (v[4], rounds),
          median (v[0], rounds), median (v[1], rounds), median (v[2], rounds),
          rounds);
}

static long
resident_kb (const char *pid)
{
  char path[64];
  char line[256];
  long kb = -1;

  snprintf (path, sizeof path, "/proc/%s/status", pid);
  FILE *f = fopen (path, "r");
  if (f == NULL)
    die ("no such process");
  while (fgets (line, sizeof line, f))
    if (strncmp (line, "VmRSS:", 6) == 0)
      kb = strtol (line + 6, NULL, 10);
  fclose (f);
  return kb;
}

static void
bench_memory (char **a)
{
  int n = parse_count (a[3]);
  str_t entry = str_of (a[0]);
  static client_t c[10000];
  int ep = epoll_create1 (0);

  if (n > (int)(sizeof c / sizeof *c))
    die ("too many connections");
  long before = resident_kb (a[1]);
  connect_all (c, n, &entry, 1, str_of (a[2]), ep);
  msec_sleep (1000);
  long after = resident_kb (a[1]);
  printf ("%d idle client connections: resident %ld KB before, %ld KB after, "
          "%.2f KB each\n",
          n, before, after, (double)(after - before) / n);
}

int
main (int argc, char **argv)
{
  struct rlimit r;

  getrlimit (RLIMIT_NOFILE, &r);
  r.rlim_cur = r.rlim_max;
  setrlimit (RLIMIT_NOFILE, &r);
  if (argc == 8 && strcmp (argv[1], "speed") == 0)
    bench_speed (argv + 2);
  else if (argc == 6 && strcmp (argv[1], "memory") == 0)
    bench_memory (argv + 2);
  else
    {
      printf ("usage: see the head of bench/bench_proxy.c; tools/bench runs "
              "it\n");
      return 0;
    }
  return 0;
}
