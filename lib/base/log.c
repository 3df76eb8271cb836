#include "base.h"

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
