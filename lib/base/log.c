#include "base.h"

#include <fcntl.h>
#include <pthread.h>
#include <stdatomic.h>
#include <stdio.h>
#include <string.h>
#include <time.h>
#include <unistd.h>

typedef struct
{
  int number;
  int level;
  const char *name;
} entry_t;

static const entry_t catalogue[] = {
#define EV(num, level, name, meaning) { num, level, #name },
#include "../lib/base/events.def"
#include "../lib/rpc/events.def"
#include "../lib/conf/events.def"
#include "../lib/raft/events.def"
#include "../lib/control/events.def"
#include "../lib/pgwire/events.def"
#include "../lib/sql/events.def"
#include "../lib/entry/events.def"
#include "../lib/dblink/events.def"
#include "../lib/proxy/events.def"
#include "../lib/cell/events.def"
#include "../platform/events.def"
#include "../cmd/ppdbsim/events.def"
#include "../cmd/ppload/events.def"
#include "../cmd/pimentopost/events.def"
#undef EV
};

static const char *program_name = "pimentopost";
static atomic_int max_level = 6;

void
log_open (const char *program, int level)
{
  program_name = program;
  max_level = level;
}

int
log_level (void)
{
  return max_level;
}

static const entry_t *
find (event_t ev)
{
  for (size_t i = 0; i < sizeof catalogue / sizeof *catalogue; i++)
    if (catalogue[i].number == (int)ev)
      return &catalogue[i];
  return &catalogue[0];
}

const char *
event_name (event_t ev)
{
  return find (ev)->name;
}

int
event_number (event_t ev)
{
  return find (ev)->number;
}

int
event_level (event_t ev)
{
  return find (ev)->level;
}

/* ---- structured lines ---- */

static bool structured;
static pthread_mutex_t lock = PTHREAD_MUTEX_INITIALIZER;
static struct
{
  msec_t second;
  int lines; /* in that second */
  int64_t omitted;
} rate[sizeof catalogue / sizeof *catalogue];
static msec_t total_second;
static int total_lines;

void
log_structured (bool on)
{
  int flags = fcntl (STDOUT_FILENO, F_GETFL);

  structured = on;
  if (on && flags >= 0)
    fcntl (STDOUT_FILENO, F_SETFL, flags | O_NONBLOCK);
}

/* Appends S to a JSON string, bytes outside printable ASCII as '?'.  */
static size_t
json_put (char *out, size_t at, size_t size, const char *s, size_t n)
{
  for (size_t i = 0; i < n && at + 8 < size; i++)
    {
      unsigned char ch = (unsigned char)s[i];
      if (ch == '"' || ch == '\\')
        out[at++] = '\\';
      out[at++] = ch < ' ' || ch >= 0x7f ? '?' : (char)ch;
    }
  return at;
}

/* Appends the words NAME=VALUE of TEXT as members.  A word without = continues
   the value before it.  */
static size_t
json_members (char *out, size_t at, size_t size, char *text)
{
  char *save = NULL;
  bool in_value = false;

  for (char *w = strtok_r (text, " ", &save); w;
       w = strtok_r (NULL, " ", &save))
    {
      char *eq = strchr (w, '=');
      if (eq == NULL || eq == w)
        {
          if (!in_value || at + 8 >= size)
            continue;
          out[at++] = ' ';
          at = json_put (out, at, size, w, strlen (w));
          continue;
        }
      if (at + 16 >= size)
        break;
      at += (size_t)snprintf (out + at, size - at, in_value ? "\",\"" : ",\"");
      at = json_put (out, at, size, w, (size_t)(eq - w));
      at += (size_t)snprintf (out + at, size - at, "\":\"");
      at = json_put (out, at, size, eq + 1, strlen (eq + 1));
      in_value = true;
    }
  if (in_value)
    out[at++] = '"';
  return at;
}

/* False when the event, or all events together, reached the rate limit of this
   second.  Sets OMITTED to the number of lines of the event that were dropped
   since its last one.  */
static bool
within_rate (const entry_t *c, msec_t wall, int64_t *omitted)
{
  size_t i = (size_t)(c - catalogue);

  if (rate[i].second != wall / 1000)
    {
      rate[i].second = wall / 1000;
      rate[i].lines = 0;
    }
  if (total_second != wall / 1000)
    {
      total_second = wall / 1000;
      total_lines = 0;
    }
  if (rate[i].lines >= LOG_RATE || total_lines++ >= LOG_RATE_ALL)
    {
      rate[i].omitted++;
      return false;
    }
  rate[i].lines++;
  *omitted = rate[i].omitted;
  rate[i].omitted = 0;
  return true;
}

static void
json_line (const entry_t *c, const char *fmt, va_list ap)
{
  char line[1400], text[1024];
  msec_t wall = msec_wall ();
  int64_t omitted = 0;

  pthread_mutex_lock (&lock);
  if (within_rate (c, wall, &omitted))
    {
      vsnprintf (text, sizeof text, fmt, ap);
      size_t n = (size_t)snprintf (
          line, sizeof line,
          "{\"time\":%lld,\"program\":\"%s\",\"event\":\"E%d\","
          "\"name\":\"%s\",\"level\":%d",
          (long long)wall, program_name, c->number, c->name, c->level);
      n = json_members (line, n, sizeof line - 64, text);
      if (omitted)
        n += (size_t)snprintf (line + n, sizeof line - n, ",\"omitted\":%lld",
                               (long long)omitted);
      line[n++] = '}';
      line[n++] = '\n';
      if (write (STDOUT_FILENO, line, n) != (ssize_t)n)
        rate[c - catalogue].omitted += omitted + 1;
    }
  pthread_mutex_unlock (&lock);
}

void
log_event (event_t ev, const char *fmt, ...)
{
  const entry_t *c = find (ev);
  char line[1024];
  char when[32];
  struct tm tm;
  va_list ap;

  if (c->level > max_level)
    return;
  if (structured)
    {
      va_start (ap, fmt);
      json_line (c, fmt, ap);
      va_end (ap);
      return;
    }
  msec_t wall = msec_wall ();
  time_t sec = wall / 1000;
  gmtime_r (&sec, &tm);
  strftime (when, sizeof when, "%Y-%m-%dT%H:%M:%S", &tm);
  int n = snprintf (line, sizeof line, "<%d>%s[%d]: %s.%03dZ E%d %s ",
                    c->level, program_name, (int)getpid (), when,
                    (int)(wall % 1000), c->number, c->name);
  va_start (ap, fmt);
  int m = vsnprintf (line + n, sizeof line - (size_t)n - 1, fmt, ap);
  va_end (ap);
  if (m < 0)
    m = 0;
  n += m;
  if (n > (int)sizeof line - 2)
    n = (int)sizeof line - 2;
  /* Messages of libraries may contain line ends; one event is one line.  */
  for (int i = 0; i < n; i++)
    if ((unsigned char)line[i] < ' ' || line[i] == 0x7f)
      line[i] = ' ';
  line[n] = '\n';
  /* One write call per line, so that lines of several threads or processes
     that share the descriptor do not interleave.  */
  if (write (STDERR_FILENO, line, (size_t)n + 1) < 0)
    return;
}
