#include "soak.h"

#include <stdlib.h>

/* Logs of the databases: which commits each has, and which a promotion rolled
   back.  */

/* The last commit that the logs of terms A and B share.  */
static int64_t
fork_of (const service_t *s, int64_t a, int64_t b)
{
  int64_t low = INT64_MAX;

  for (int64_t t = (a < b ? a : b) + 1; t <= (a < b ? b : a); t++)
    if (s->start[t] < low)
      low = s->start[t];
  return low;
}

bool
position_holds (const service_t *s, int64_t term, int64_t number,
                log_pos_t pos)
{
  int64_t fork = fork_of (s, term, pos.term);

  if (pos.term <= term)
    return number >= (pos.number < fork ? pos.number : fork);
  return pos.number <= fork && number >= pos.number;
}

bool
service_kept (const service_t *s, log_pos_t pos)
{
  return pos.number <= fork_of (s, pos.term, s->term);
}

log_pos_t
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
  return low ? s->acked[low - 1].pos : (log_pos_t){ 1, 0 };
}

void
service_ack (service_t *s, log_pos_t pos, msec_t now)
{
  log_pos_t last = service_acked (s, now);

  if (s->world->sync_replicas && !service_kept (s, pos))
    finding (
        s->world, "LOST",
        "commit %lld.%lld of %s was acknowledged, term %lld is without it",
        (long long)pos.term, (long long)pos.number, s->name,
        (long long)s->term);
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

/* A replica receives each commit LAG after it was made.  */
int64_t
db_received (db_t *d)
{
  service_t *s = d->service;
  int64_t n = s->head;

  if (d->primary && d->term == s->term)
    return s->head;
  if (!d->up || d->pause_term || d->primary
      || d->stalled_until > s->world->now)
    return d->number;
  while (n > s->start[s->term] && s->time[n] + LAG > s->world->now)
    n--;
  d->term = s->term;
  return d->number = n;
}

bool
service_replicated (service_t *s, log_pos_t pos)
{
  for (int i = 0; i < DBS; i++)
    {
      db_t *d = &s->db[i];
      if (d->up && !db_is_primary (d) && db_received (d) >= pos.number
          && d->term == pos.term)
        return true;
    }
  return false;
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
db_is_primary (const db_t *d)
{
  return d->primary && d->term == d->service->term;
}
