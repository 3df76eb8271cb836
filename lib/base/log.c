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

static const char *prog = "pimentopost";
static atomic_int maxlevel = 6;

void
log_open (const char *program, int level)
{
  prog = program;
  maxlevel = level;
}

int
log_level (void)
{
  return maxlevel;
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
static pthread_mutex_t gate = PTHREAD_MUTEX_INITIALIZER;
static struct
{
  msec_t second;
  int lines;
  int64_t omitted;
} rate[sizeof catalogue / sizeof *catalogue];
static msec_t all_second;
static int all_lines;

void
log_structured (bool on)
{
  int flags = fcntl (STDOUT_FILENO, F_GETFL);

  structured = on;
  if (on && flags >= 0)
    fcntl (STDOUT_FILENO, F_SETFL, flags | O_NONBLOCK);
}

/* Appends S as the inside of a JSON text.  */
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

/* The words NAME=VALUE of TEXT as members; a value may hold blanks.  */
static size_t
json_members (char *out, size_t at, size_t size, char *text)
{
  char *save = NULL;
  bool open = false;

  for (char *w = strtok_r (text, " ", &save); w;
       w = strtok_r (NULL, " ", &save))
    {
      char *eq = strchr (w, '=');
      if (eq == NULL || eq == w)
        {
          if (!open || at + 8 >= size)
            continue;
          out[at++] = ' ';
          at = json_put (out, at, size, w, strlen (w));
          continue;
        }
      if (at + 16 >= size)
        break;
      at += (size_t)snprintf (out + at, size - at, open ? "\",\"" : ",\"");
      at = json_put (out, at, size, w, (size_t)(eq - w));
      at += (size_t)snprintf (out + at, size - at, "\":\"");
      at = json_put (out, at, size, eq + 1, strlen (eq + 1));
      open = true;
    }
  if (open)
    out[at++] = '"';
  return at;
}

/* False when the event has had its lines of this second.  */
static bool
within_rate (const entry_t *c, msec_t wall, int64_t *omitted)
{
  size_t i = (size_t)(c - catalogue);

  if (rate[i].second != wall / 1000)
    {
      rate[i].second = wall / 1000;
      rate[i].lines = 0;
    }
  if (all_second != wall / 1000)
    {
      all_second = wall / 1000;
      all_lines = 0;
    }
  if (rate[i].lines >= LOG_RATE || all_lines++ >= LOG_RATE_ALL)
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

  pthread_mutex_lock (&gate);
  if (within_rate (c, wall, &omitted))
    {
      vsnprintf (text, sizeof text, fmt, ap);
      size_t n = (size_t)snprintf (
          line, sizeof line,
          "{\"time\":%lld,\"program\":\"%s\",\"event\":\"E%d\","
          "\"name\":\"%s\",\"level\":%d",
          (long long)wall, prog, c->number, c->name, c->level);
      n = json_members (line, n, sizeof line - 64, text);
      if (omitted)
        n += (size_t)snprintf (line + n, sizeof line - n, ",\"omitted\":%lld",
                               (long long)omitted);
      line[n++] = '}';
      line[n++] = '\n';
      if (write (STDOUT_FILENO, line, n) != (ssize_t)n)
        rate[c - catalogue].omitted += omitted + 1;
    }
  pthread_mutex_unlock (&gate);
}

void
log_event (event_t ev, const char *fmt, ...)
{
  const entry_t *c = find (ev);
  char line[1024];
  char when[32];
  struct tm tm;
  va_list ap;

  if (c->level > maxlevel)
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
                    c->level, prog, (int)getpid (), when, (int)(wall % 1000),
                    c->number, c->name);
  va_start (ap, fmt);
  int m = vsnprintf (line + n, sizeof line - (size_t)n - 1, fmt, ap);
  va_end (ap);
  if (m < 0)
    m = 0;
  n += m;
  if (n > (int)sizeof line - 2)
    n = (int)sizeof line - 2;
  /* Texts of libraries may hold line ends; one event is one line.  */
  for (int i = 0; i < n; i++)
    if ((unsigned char)line[i] < ' ' || line[i] == 0x7f)
      line[i] = ' ';
  line[n] = '\n';
  /* One write call per line, so that lines of several threads or processes
     on one descriptor do not mix.  */
  if (write (STDERR_FILENO, line, (size_t)n + 1) < 0)
    return;
}
