#include "soak.h"

#include <stdlib.h>

/* Logs of the databases: which commits they hold and which are kept.  */

/* Where the logs of terms A and B part.  */
static int64_t
fork_of (const service_t *s, int64_t a, int64_t b)
{
  int64_t low = INT64_MAX;

  for (int64_t t = (a < b ? a : b) + 1; t <= (a < b ? b : a); t++)
    if (s->start[t] < low)
      low = s->start[t];
  return low;
}

/* The number up to which a log of TERM with NUMBER commits shares what POS
   asks for; commits that a promotion rolled back are not asked for.  */
bool
position_holds (const service_t *s, int64_t term, int64_t number, at_t pos)
{
  int64_t part = fork_of (s, term, pos.term);

  if (pos.term <= term)
    return number >= (pos.number < part ? pos.number : part);
  return pos.number <= part && number >= pos.number;
}

bool
service_kept (const service_t *s, at_t pos)
{
  return pos.number <= fork_of (s, pos.term, s->term);
}

at_t
service_acked (const service_t *s, msec_t at)
{
  size_t low = 0, high = s->nacked;

  while (low < high)
    {
      size_t mid = (low + high) / 2;
      if (s->acked[mid].at <= at)
        low = mid + 1;
      else
        high = mid;
    }
  return low ? s->acked[low - 1].pos : (at_t){ 1, 0 };
}

void
service_ack (service_t *s, at_t pos, msec_t now)
{
  at_t last = service_acked (s, now);

  if (!service_kept (s, pos)
      || (pos.term <= last.term && pos.number <= last.number))
    return;
  if (s->nacked == s->acked_cap)
    {
      s->acked_cap = s->acked_cap ? s->acked_cap * 2 : 1024;
      s->acked = realloc (s->acked, s->acked_cap * sizeof *s->acked);
    }
  s->acked[s->nacked].at = now;
  s->acked[s->nacked++].pos = pos;
}

/* What D has received so far.  */
int64_t
db_number (db_t *d)
{
  service_t *s = d->service;
  int64_t n = s->head;

  if (d->primary && d->term == s->term)
    return s->head;
  if (!d->up || d->held || d->primary || d->behind > s->world->now)
    return d->number;
  while (n > s->start[s->term] && s->time[n] + LAG > s->world->now)
    n--;
  d->term = s->term;
  return d->number = n;
}

int64_t
db_commit (db_t *d)
{
  service_t *s = d->service;

  s->head++;
  if ((size_t)s->head >= s->cap)
    {
      s->cap = s->cap ? s->cap * 2 : 4096;
      s->time = realloc (s->time, s->cap * sizeof *s->time);
    }
  s->time[s->head] = s->world->now;
  return s->head;
}

bool
db_leads (const db_t *d)
{
  return d->primary && d->term == d->service->term;
}
