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

static void
send_news (cell_t *c, remote_t *r, bool endpoints)
{
  size_t max = c->roster.n;
  backend_t *v = calloc (max + 1, sizeof *v);
  endpoint_t *x = calloc (c->nendpoint + 1, sizeof *x);
  const members_t *m = raft_member_list (c->raft);
  bool setup = c->version > r->version;

  if (v == NULL || x == NULL)
    abort ();
  watch_update_t n = { .seq = r->seq,
                       .boot = c->boot,
                       .has_leader = cell_led (c),
                       .roster_complete = c->now - c->started > WARM,
                       .version = c->version,
                       .setup = setup ? buf_str (&c->setup) : (str_t){ 0 },
                       .roster = c->roster.number,
                       .full = r->roster < 0,
                       .entries = news_entries (c),
                       .has_endpoints = endpoints };
  if (endpoints)
    n.endpoints = (list_t){ x, endpoint_near (c, r->zone, x) };
  if (r->members != c->seen.members_changes)
    n.control = m->list;
  n.backends.v = v;
  n.backends.n = roster_list (&c->roster, r->roster, c->now, v, max);
  peers_answer (c, r, MSG_WATCH_UPDATE, &n);
  r->roster = c->roster.number;
  r->led = n.has_leader;
  r->members = c->seen.members_changes;
  if (setup)
    r->version = c->version;
  free (v);
  free (x);
}

void
news_send (cell_t *c, remote_t *r)
{
  send_news (c, r, endpoint_news (c, r));
}

void
news_spread (cell_t *c)
{
  gossip (c);
  for (remote_t *r = c->remotes; r; r = r->next)
    {
      if (!r->watcher || r->stream == NULL)
        continue;
      bool endpoints = endpoint_news (c, r);
      if (endpoints || r->roster < c->roster.number || r->version < c->version
          || r->led != cell_led (c))
        send_news (c, r, endpoints);
    }
}

/* Sends R what it has not been told.  */
static void
tell (cell_t *c, remote_t *r)
{
  size_t max = c->roster.n;
  backend_t *v = calloc (max + 1, sizeof *v);
  endpoint_t *x = calloc (c->nendpoint + 1, sizeof *x);
  roster_t m
      = { .from = c->conf.name,
          .full = r->told < 0,
          .entries = own_entries (c),
          .has_endpoints = r->told_endpoints != c->own_endpoints_number };

  if (v == NULL || x == NULL)
    abort ();
  if (m.has_endpoints)
    m.endpoints = (list_t){ x, endpoint_own (c, x) };
  m.backends.v = v;
  m.backends.n = roster_list (&c->roster, r->told, c->now, v, max);
  rpc_encode (stream_out (r->stream), MSG_ROSTER, &m);
  stream_flush (r->stream);
  r->told = c->roster.number;
  r->told_endpoints = c->own_endpoints_number;
  free (v);
  free (x);
}

/* News are lost with their connection, which then counts as told nothing; it
   is told again as soon as it can be dialled.  */
void
gossip (cell_t *c)
{
  const members_t *m = raft_member_list (c->raft);

  for (size_t i = 0; i < m->list.n; i++)
    {
      const member_t *x = LIST_AT (m->list, member_t, i);
      remote_t *r
          = x->id == raft_id (c->raft) ? NULL : peers_to (c, x->address);
      if (r
          && (r->told < c->roster.number
              || r->told_endpoints != c->own_endpoints_number))
        tell (c, r);
    }
}

void
gossip_again (cell_t *c)
{
  c->gossiped = c->now;
  for (remote_t *r = c->remotes; r; r = r->next)
    r->told = r->told_endpoints = -1;
}
