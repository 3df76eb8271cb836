#include "local.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

static int64_t
own_entries (const cell_t *c)
{
  int64_t n = 0;

  for (const remote_t *r = c->remotes; r; r = r->next)
    n += r->watcher && r->stream;
  return n;
}

void
news_watched (cell_t *c, const roster_t *m)
{
  size_t i = 0;

  while (i < c->nwatched && !str_eq (str_of (c->watched[i].name), m->from))
    i++;
  if (i == PEERS)
    return;
  if (i == c->nwatched)
    snprintf (c->watched[c->nwatched++].name, sizeof c->watched[i].name,
              STR_FMT, STR_ARG (m->from));
  c->watched[i].entries = m->entries;
  c->watched[i].at = c->now;
}

int64_t
news_entries (cell_t *c)
{
  int64_t n = own_entries (c);

  for (size_t i = 0; i < c->nwatched; i++)
    if (c->now - c->watched[i].at < WATCHED_AGE)
      n += c->watched[i].entries;
  return n;
}

void
news_send (cell_t *c, remote_t *r)
{
  size_t max = c->roster.n;
  backend_t *v = calloc (max + 1, sizeof *v);
  const members_t *m = raft_member_list (c->raft);
  bool setup = c->version > r->version;

  if (v == NULL)
    abort ();
  news_t n = { .seq = r->seq,
               .boot = c->boot,
               .led = cell_led (c),
               .warm = c->now - c->started > WARM,
               .version = c->version,
               .setup = setup ? buf_str (&c->setup) : (str_t){ 0 },
               .roster = c->roster.number,
               .whole = r->roster < 0,
               .entries = news_entries (c) };
  if (r->members != c->members_number)
    n.control = m->list;
  n.backends.v = v;
  n.backends.n = roster_list (&c->roster, r->roster, c->now, v, max);
  peers_answer (c, r, MSG_NEWS, &n);
  r->roster = c->roster.number;
  r->led = n.led;
  r->members = c->members_number;
  if (setup)
    r->version = c->version;
  free (v);
}

void
news_spread (cell_t *c)
{
  if (c->roster.number != c->gossip_number)
    gossip (c, false);
  for (remote_t *r = c->remotes; r; r = r->next)
    if (r->watcher && r->stream
        && (r->roster < c->roster.number || r->version < c->version
            || r->led != cell_led (c)))
      news_send (c, r);
}

void
gossip (cell_t *c, bool whole)
{
  size_t max = c->roster.n;
  backend_t *v = calloc (max + 1, sizeof *v);
  const members_t *m = raft_member_list (c->raft);
  roster_t r
      = { .from = c->conf.name, .whole = whole, .entries = own_entries (c) };

  if (v == NULL)
    abort ();
  r.backends.v = v;
  r.backends.n = roster_list (&c->roster, whole ? -1 : c->gossip_number,
                              c->now, v, max);
  c->gossip_number = c->roster.number;
  if (whole)
    c->gossiped = c->now;
  for (size_t i = 0; i < m->list.n; i++)
    {
      const member_t *x = LIST_AT (m->list, member_t, i);
      if (x->id != raft_id (c->raft))
        peers_send (c, x->address, MSG_ROSTER, &r, false);
    }
  free (v);
}
