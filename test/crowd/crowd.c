/* crowd - many misbehaving clients at once, against one process.

   crowd NAME SERVER PID MEMORY-MB DESCRIPTORS CONTROL

   Runs the crowd NAME of the table below against the address SERVER of the
   process PID.  While the crowd's connections are open an ordinary client asks
   for one request, again until it is answered.  Fails when the process ends,
   when its resident memory and the bytes that it left unread in its sockets
   exceed MEMORY-MB at any time, when it has more than DESCRIPTORS open, or
   when the ordinary request isn't answered within ORDINARY_TIME.  CONTROL is
   the address that ordinary heartbeats go to.  */

#include "base.h"

#include <arpa/inet.h>
#include <dirent.h>
#include <errno.h>
#include <fcntl.h>
#include <poll.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

enum
{
  MIB = 1 << 20,
  CLIENTS_MAX = 2000,
  SEND_MAX = 256 << 10,  /* bytes of one write */
  CROWD_TIME = 4000,     /* ms that the crowd runs before the request */
  ORDINARY_TIME = 10000, /* ms until an ordinary request must be answered */
  ANSWER_TIME = 2000,    /* ms for one attempt of it */
  SAMPLE_TIME = 20       /* ms between looks at the process */
};

#define LISTENING "0A" /* state in /proc/net/tcp */

typedef enum
{
  READ_ALL,
  READ_NONE,
  READ_SLOW /* a byte a second */
} reading_t;

typedef enum
{
  TEXT_NONE,     /* nothing is sent */
  TEXT_READ,     /* reads of SIZE bytes */
  TEXT_LARGE,    /* reads answered with a row of 1 MiB */
  TEXT_HUGE,     /* reads answered with 32 rows of 1 MiB */
  TEXT_SET,      /* settings of SIZE bytes, each with another name */
  TEXT_PREPARE,  /* prepared statements of SIZE bytes, the same */
  TEXT_START,    /* a start-up message of SIZE bytes */
  TEXT_HTTP_PUT, /* a request with a body of SIZE bytes */
  TEXT_HTTP_GET  /* metrics */
} text_t;

/* One kind of misbehaviour.  */
typedef struct
{
  const char *name;
  int clients;
  text_t text;
  size_t size;  /* bytes of one message */
  int messages; /* sent by one client; 0: without end */
  size_t stop;  /* bytes sent after the opening until the client stops; 0: all
                   messages */
  size_t chunk; /* bytes of one write; 0: as many as possible */
  int pause;    /* ms between two writes */
  bool http;    /* without a start-up message */
  bool in_tx;   /* opens a transaction first */
  reading_t reading;
} crowd_t;

static const crowd_t crowds[] = {
  /* Messages of legal size.  */
  { "large_messages", 60, TEXT_READ, MIB - 64, 40, 0, 0, 0, false, false,
    READ_ALL },
  { "large_pieces", 60, TEXT_READ, MIB - 64, 40, 0, 1400, 0, false, false,
    READ_ALL },
  /* Far over the limit, without and with the end of the message.  */
  { "endless_message", 200, TEXT_READ, 512u * MIB, 1, 511u * MIB, 0, 0, false,
    false, READ_ALL },
  { "oversized_message", 200, TEXT_READ, 8 * MIB, 4, 0, 0, 0, false, false,
    READ_ALL },
  /* Messages sent ahead without reading the answers.  */
  { "sent_ahead", 200, TEXT_READ, 40, 20000, 0, 0, 0, false, false,
    READ_NONE },
  { "slow_senders", 300, TEXT_READ, 40, 0, 0, 1, 1000, false, false,
    READ_ALL },
  { "slow_readers", 100, TEXT_LARGE, 40, 8, 0, 0, 0, false, false, READ_SLOW },
  /* Stopped half-way.  */
  { "half_startup", 300, TEXT_START, MIB - 64, 1, 512 << 10, 0, 0, true, false,
    READ_ALL },
  { "half_message", 300, TEXT_READ, MIB - 64, 1, MIB - 1024, 0, 0, false,
    false, READ_ALL },
  { "half_transaction", 300, TEXT_READ, 40, 1, 20, 0, 0, false, true,
    READ_ALL },
  { "connections", 1500, TEXT_NONE, 0, 0, 0, 0, 0, true, false, READ_ALL },
  { "sessions", 1500, TEXT_NONE, 0, 0, 0, 0, 0, false, false, READ_ALL },
  /* State of sessions up to its bound.  */
  { "settings", 200, TEXT_SET, 60000, 34, 0, 0, 0, false, false, READ_ALL },
  { "prepared", 200, TEXT_PREPARE, 2000, 1000, 0, 0, 0, false, false,
    READ_ALL },
  { "large_answers", 100, TEXT_HUGE, 40, 4, 0, 0, 0, false, false, READ_ALL },
  /* Nobody: the ordinary request is a message of legal size.  */
  { "calm", 0, TEXT_NONE, 0, 0, 0, 0, 0, false, false, READ_ALL },
  /* HTTP.  */
  { "http_connections", 1500, TEXT_NONE, 0, 0, 0, 0, 0, true, false,
    READ_ALL },
  { "http_slow_senders", 600, TEXT_HTTP_PUT, 4096, 1, 0, 1, 1000, true, false,
    READ_ALL },
  { "http_half_bodies", 300, TEXT_HTTP_PUT, 3 * MIB, 1, 3 * MIB - 4096, 0, 0,
    true, false, READ_ALL },
  { "http_large_bodies", 100, TEXT_HTTP_PUT, 64 * MIB, 1, 0, 0, 0, true, false,
    READ_ALL },
  { "http_sent_ahead", 60, TEXT_HTTP_GET, 0, 20000, 0, 0, 0, true, false,
    READ_NONE },
  { "http_slow_readers", 300, TEXT_HTTP_GET, 0, 1000, 0, 0, 0, true, false,
    READ_SLOW },
};

typedef struct
{
  int fd;
  buf_t out;
  int sent;       /* messages */
  size_t stopped; /* bytes after the opening that are still to be sent */
  msec_t next_write;
  msec_t next_read;
  bool done;
} client_t;

static const crowd_t *crowd;
static struct sockaddr_in server, control;
static client_t client[CLIENTS_MAX];
static struct pollfd watched[CLIENTS_MAX];
static pid_t pid;
static int64_t memory_peak, unread_peak, descriptors_peak;

/* ---- addresses ---- */

static struct sockaddr_in
parse_address (const char *text)
{
  struct sockaddr_in a = { .sin_family = AF_INET };
  char host[64];
  const char *colon = strchr (text, ':');

  if (colon == NULL
      || !str_copy (host, sizeof host,
                    (str_t){ (char *)text, (size_t)(colon - text) })
      || inet_pton (AF_INET, host, &a.sin_addr) != 1)
    {
      fprintf (stderr, "%s is not an address\n", text);
      exit (2);
    }
  a.sin_port = htons ((uint16_t)strtoul (colon + 1, NULL, 10));
  return a;
}

/* ---- the process ---- */

/* Bytes that have arrived at the process's sockets and are not read yet. Lines
   of /proc/net/tcp: N: LOCAL:PORT REMOTE:PORT STATE TX:RX ...  */
static int64_t
unread_bytes (void)
{
  FILE *f = fopen ("/proc/net/tcp", "re");
  char line[512];
  int64_t sum = 0;

  while (f && fgets (line, sizeof line, f))
    {
      char *next = NULL;
      char *word = strtok_r (line, " ", &next);
      char *local = word ? strtok_r (NULL, " ", &next) : NULL;
      char *remote = local ? strtok_r (NULL, " ", &next) : NULL;
      char *state = remote ? strtok_r (NULL, " ", &next) : NULL;
      char *queues = state ? strtok_r (NULL, " ", &next) : NULL;
      char *rx = queues ? strchr (queues, ':') : NULL;
      if (rx && strtoul (local, NULL, 16) == server.sin_addr.s_addr
          && strcmp (state, LISTENING) != 0)
        sum += strtol (rx + 1, NULL, 16);
    }
  if (f)
    fclose (f);
  return sum;
}

static int64_t
resident_bytes (const char *field)
{
  char path[64], line[256];
  int64_t kib = 0;

  snprintf (path, sizeof path, "/proc/%d/status", (int)pid);
  FILE *f = fopen (path, "re");
  while (f && fgets (line, sizeof line, f))
    if (strncmp (line, field, strlen (field)) == 0)
      kib = strtoll (line + strlen (field) + 1, NULL, 10);
  if (f)
    fclose (f);
  return kib << 10;
}

static int64_t
open_descriptors (void)
{
  char path[64];
  int64_t n = -2; /* . and .. */

  snprintf (path, sizeof path, "/proc/%d/fd", (int)pid);
  DIR *d = opendir (path);
  while (d && readdir (d))
    n++;
  if (d)
    closedir (d);
  return n;
}

static void
sample (void)
{
  int64_t unread = unread_bytes ();
  int64_t n = open_descriptors ();
  int64_t used = resident_bytes ("VmRSS:") + unread;

  if (n > descriptors_peak)
    descriptors_peak = n;
  if (unread > unread_peak)
    unread_peak = unread;
  if (used > memory_peak)
    memory_peak = used;
  int64_t resident = resident_bytes ("VmHWM:");
  if (resident > memory_peak)
    memory_peak = resident;
}

/* ---- clients of the crowd ---- */

static void
add_padding (buf_t *out, size_t n)
{
  memset (buf_room (out, n), 'x', n);
  out->n += n;
}

static void
add_message (client_t *c)
{
  buf_t *out = &c->out;
  int n = c->sent++;

  switch (crowd->text)
    {
    case TEXT_READ:
      buf_fmt (out, "QUERY q%d READ ", n);
      break;
    case TEXT_LARGE:
      buf_fmt (out, "QUERY q%d READ large\r\n", n);
      return;
    case TEXT_HUGE:
      buf_fmt (out, "QUERY q%d READ huge\r\n", n);
      return;
    case TEXT_SET:
      buf_fmt (out, "QUERY q%d SET v%d ", n, n);
      break;
    case TEXT_PREPARE:
      buf_fmt (out, "QUERY q%d PREPARE p%d READ ", n, n);
      break;
    case TEXT_START:
      buf_adds (out, STR ("STARTUP crowd "));
      break;
    case TEXT_HTTP_PUT:
      buf_fmt (out,
               "PUT /pimentopost/config HTTP/1.1\r\nHost: x\r\n"
               "Content-Length: %zu\r\n\r\n",
               crowd->size);
      break;
    case TEXT_HTTP_GET:
      buf_adds (out, STR ("GET /metrics HTTP/1.1\r\nHost: x\r\n\r\n"));
      return;
    case TEXT_NONE:
      return;
    }
  /* An endless message is sent in parts, see refill.  */
  add_padding (out, crowd->size < 16 * MIB ? crowd->size : MIB);
  if (!crowd->http)
    buf_adds (out, STR ("\r\n"));
}

static void
client_connect (client_t *c)
{
  c->fd = socket (AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  if (c->fd < 0
      || (connect (c->fd, (struct sockaddr *)&server, sizeof server)
          && errno != EINPROGRESS))
    {
      perror ("connect");
      exit (2);
    }
  buf_init (&c->out);
  c->stopped = crowd->stop;
  if (!crowd->http)
    buf_fmt (&c->out, "STARTUP hcrowd crowd\r\n");
  if (crowd->in_tx)
    buf_fmt (&c->out, "QUERY b BEGIN\r\nQUERY w WRITE item x\r\n");
  if (c->stopped)
    c->stopped += buf_len (&c->out);
}

static void
client_close (client_t *c)
{
  if (c->fd >= 0)
    close (c->fd);
  c->fd = -1;
  buf_free (&c->out);
}

/* Whether C has bytes to send.  */
static bool
refill (client_t *c)
{
  if (buf_len (&c->out))
    return true;
  if (crowd->stop && crowd->size >= 16 * MIB && c->sent)
    {
      add_padding (&c->out, MIB);
      return true;
    }
  if (crowd->text != TEXT_NONE
      && (crowd->messages == 0 || c->sent < crowd->messages))
    add_message (c);
  return buf_len (&c->out) > 0;
}

static void
client_write (client_t *c, msec_t now)
{
  size_t most = crowd->chunk ? crowd->chunk : SEND_MAX;
  size_t total = 0;

  while (total < SEND_MAX && !c->done && now >= c->next_write && refill (c))
    {
      size_t n = buf_len (&c->out);
      n = n < most ? n : most;
      if (crowd->stop && n > c->stopped)
        n = c->stopped;
      ssize_t w = send (c->fd, c->out.p + c->out.off, n, MSG_NOSIGNAL);
      if (w < 0 && errno != EAGAIN)
        client_close (c);
      if (w <= 0)
        return;
      buf_take (&c->out, (size_t)w);
      total += (size_t)w;
      if (crowd->stop && (c->stopped -= (size_t)w) == 0)
        c->done = true;
      if (crowd->pause)
        c->next_write = now + crowd->pause;
    }
  if (buf_len (&c->out) == 0 && !refill (c))
    c->done = true;
}

static void
client_read (client_t *c, msec_t now)
{
  static char in[SEND_MAX];
  size_t most = crowd->reading == READ_SLOW ? 1 : sizeof in;

  if (crowd->reading == READ_NONE || now < c->next_read)
    return;
  ssize_t n = recv (c->fd, in, most, 0);
  if (n == 0 || (n < 0 && errno != EAGAIN))
    client_close (c);
  if (n > 0 && crowd->reading == READ_SLOW)
    c->next_read = now + 1000;
}

static void
crowd_turn (void)
{
  int n = crowd->clients;

  for (int i = 0; i < n; i++)
    {
      client_t *c = &client[i];
      bool reads = crowd->reading == READ_ALL;
      watched[i] = (struct pollfd){
        .fd = c->fd,
        .events = (short)((reads ? POLLIN : 0)
                          | (c->done || crowd->pause ? 0 : POLLOUT))
      };
    }
  poll (watched, (nfds_t)n, SAMPLE_TIME / 2);
  msec_t now = msec_now ();
  for (int i = 0; i < n; i++)
    {
      client_t *c = &client[i];
      short got = watched[i].revents;
      if (c->fd >= 0 && (got || crowd->reading == READ_SLOW))
        client_read (c, now);
      if (c->fd >= 0 && ((got & POLLOUT) || crowd->pause))
        client_write (c, now);
      if (c->fd >= 0 && (got & (POLLERR | POLLHUP)))
        client_close (c);
    }
}

static void
run_crowd (msec_t until, pid_t ordinary, int *status)
{
  msec_t next_sample = 0;

  while (msec_now () < until)
    {
      crowd_turn ();
      if (msec_now () >= next_sample)
        {
          sample ();
          next_sample = msec_now () + SAMPLE_TIME;
        }
      if (ordinary && waitpid (ordinary, status, WNOHANG) == ordinary)
        return;
    }
}

/* ---- the ordinary client ---- */

/* Sends TEXT to A and waits until WANT has arrived.  */
static bool
ask (const struct sockaddr_in *a, const char *text, const char *want)
{
  struct timeval limit = { .tv_sec = ANSWER_TIME / 1000 };
  int fd = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  char in[4096];
  size_t n = 0;
  ssize_t got = 0;

  setsockopt (fd, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof limit);
  setsockopt (fd, SOL_SOCKET, SO_SNDTIMEO, &limit, sizeof limit);
  in[0] = '\0';
  if (connect (fd, (const struct sockaddr *)a, sizeof *a) == 0
      && send (fd, text, strlen (text), MSG_NOSIGNAL) > 0)
    while (strstr (in, want) == NULL && n < sizeof in - 1
           && (got = recv (fd, in + n, sizeof in - 1 - n, 0)) > 0)
      {
        n += (size_t)got;
        in[n] = '\0';
      }
  close (fd);
  return strstr (in, want) != NULL;
}

/* Sends one message of legal size.  */
static bool
ask_large (void)
{
  buf_t out;

  buf_init (&out);
  buf_adds (&out, STR ("STARTUP hcrowd ordinary\r\nQUERY o1 READ "));
  add_padding (&out, MIB - 64);
  buf_add (&out, "\r\n", sizeof "\r\n");
  bool served = ask (&server, out.p, "COMPLETE signed");
  buf_free (&out);
  return served;
}

static bool
ordinary_request (void)
{
  char text[512];
  static const char body[] = "{\"service\":\"s\",\"addr\":\"127.0.9.9:1\","
                             "\"zone\":\"z1\",\"state\":"
                             "\"ready\",\"db-role\":\"replica\",\"version\":"
                             "\"v1\",\"cold-left-ms\":"
                             "0,\"slots\":2,\"seq\":1}";

  if (crowd->clients == 0)
    return ask_large ();
  if (strncmp (crowd->name, "http_", 5) != 0)
    return ask (&server, "STARTUP hcrowd ordinary\r\nQUERY o1 READ item\r\n",
                "COMPLETE signed");
  if (server.sin_addr.s_addr == control.sin_addr.s_addr)
    {
      snprintf (text, sizeof text,
                "PUT /pimentopost/instances/ordinary HTTP/1.1\r\nHost: x\r\n"
                "Content-Length: %zu\r\n\r\n%s",
                sizeof body - 1, body);
      return ask (&control, text, " 200 ")
             && ask (&control,
                     "GET /pimentopost/config HTTP/1.1\r\nHost: x\r\n\r\n",
                     " 200 ");
    }
  return ask (&server,
              "GET /pimentopost/readiness HTTP/1.1\r\nHost: x\r\n\r\n",
              " 200 ");
}

static pid_t
start_ordinary (void)
{
  pid_t p = fork ();
  msec_t until = msec_now () + ORDINARY_TIME;

  if (p)
    return p;
  while (!ordinary_request ())
    {
      if (msec_now () > until)
        _exit (1);
      msec_sleep (100);
    }
  _exit (0);
}

int
main (int argc, char **argv)
{
  int status = 1;
  int failed = 0;

  if (argc != 7)
    return 2;
  for (size_t i = 0; i < sizeof crowds / sizeof *crowds; i++)
    if (strcmp (crowds[i].name, argv[1]) == 0)
      crowd = &crowds[i];
  if (crowd == NULL)
    return 2;
  server = parse_address (argv[2]);
  pid = (pid_t)strtol (argv[3], NULL, 10);
  int64_t memory = strtol (argv[4], NULL, 10) * MIB;
  int64_t descriptors = strtol (argv[5], NULL, 10);
  control = parse_address (argv[6]);
  for (int i = 0; i < crowd->clients; i++)
    client_connect (&client[i]);
  run_crowd (msec_now () + CROWD_TIME, 0, &status);
  run_crowd (msec_now () + ORDINARY_TIME + 2 * ANSWER_TIME, start_ordinary (),
             &status);
  sample ();
  bool alive = resident_bytes ("VmRSS:") > 0; /* a zombie has none */
  int open = 0;
  for (int i = 0; i < crowd->clients; i++)
    open += client[i].fd >= 0;
  printf ("%s: memory %lld MB (at most %lld, %lld unread in sockets), "
          "descriptors %lld (at most %lld), %s, ordinary request %s, "
          "%d of %d clients still connected\n",
          crowd->name, (long long)memory_peak / MIB, (long long)memory / MIB,
          (long long)unread_peak / MIB, (long long)descriptors_peak,
          (long long)descriptors, alive ? "alive" : "ended",
          status == 0 ? "answered" : "not answered", open, crowd->clients);
  failed += !alive;
  failed += memory_peak > memory;
  failed += descriptors_peak > descriptors;
  failed += status != 0;
  for (int i = 0; i < crowd->clients; i++)
    client_close (&client[i]);
  return failed ? 1 : 0;
}
