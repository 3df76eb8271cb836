#include "local.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* Endpoints of entry instances: those that watch this instance, and those that
   other control instances told.  An entry instance that changes its control
   instance stays listed.  */

static cell_endpoint_t *
find (cell_t *c, str_t address)
{
  for (size_t i = 0; i < c->nendpoint; i++)
    if (str_eq (str_of (c->endpoint[i].address), address))
      return &c->endpoint[i];
  return NULL;
}

static cell_endpoint_t *
add (cell_t *c, str_t address, str_t zone)
{
  if (c->nendpoint == c->endpoint_cap)
    {
      c->endpoint_cap = c->endpoint_cap ? c->endpoint_cap * 2 : 32;
      c->endpoint
          = realloc (c->endpoint, c->endpoint_cap * sizeof *c->endpoint);
      if (c->endpoint == NULL)
        abort ();
    }
  cell_endpoint_t *x = &c->endpoint[c->nendpoint++];
  *x = (cell_endpoint_t){ .own = false };
  snprintf (x->address, sizeof x->address, STR_FMT, STR_ARG (address));
  snprintf (x->zone, sizeof x->zone, STR_FMT, STR_ARG (zone));
  c->endpoints_number++;
  return x;
}

static void
drop (cell_t *c, cell_endpoint_t *x)
{
  if (x->own)
    c->own_endpoints_number++;
  c->endpoints_number++;
  *x = c->endpoint[--c->nendpoint];
}

void
endpoint_watch (cell_t *c, remote_t *r, const watch_t *m)
{
  cell_endpoint_t *x = find (c, str_of (r->endpoint));

  if (x && !str_eq (str_of (r->endpoint), m->address))
    drop (c, x);
  snprintf (r->endpoint, sizeof r->endpoint, STR_FMT, STR_ARG (m->address));
  snprintf (r->zone, sizeof r->zone, STR_FMT, STR_ARG (m->zone));
  if (m->address.n == 0)
    return;
  x = find (c, m->address);
  if (x == NULL)
    x = add (c, m->address, m->zone);
  if (!x->own)
    c->own_endpoints_number++;
  x->own = true;
  x->heard = c->now;
}

/* Those that FROM named before and does not name any more may have gone to
   another control instance, which tells soon.  */
void
endpoint_heard (cell_t *c, const roster_t *m)
{
  if (!m->has_endpoints)
    return;
  for (size_t i = 0; i < c->nendpoint; i++)
    if (!c->endpoint[i].own && str_eq (str_of (c->endpoint[i].from), m->from)
        && c->endpoint[i].heard > c->now - WATCHED_AGE + ENDPOINT_AGE)
      c->endpoint[i].heard = c->now - WATCHED_AGE + ENDPOINT_AGE;
  for (size_t i = 0; i < m->endpoints.n; i++)
    {
      const endpoint_t *n = LIST_AT (m->endpoints, endpoint_t, i);
      cell_endpoint_t *x = find (c, n->address);
      if (x == NULL)
        x = add (c, n->address, n->zone);
      if (x->own && c->now - x->heard < WATCH_GAP)
        continue;
      if (x->own)
        c->own_endpoints_number++;
      x->own = false;
      x->heard = c->now;
      snprintf (x->from, sizeof x->from, STR_FMT, STR_ARG (m->from));
    }
}

void
endpoint_sweep (cell_t *c)
{
  for (size_t i = 0; i < c->nendpoint;)
    {
      cell_endpoint_t *x = &c->endpoint[i];
      if (c->now - x->heard >= (x->own ? ENDPOINT_AGE : WATCHED_AGE))
        drop (c, x);
      else
        i++;
    }
}

size_t
endpoint_own (const cell_t *c, endpoint_t *out)
{
  size_t n = 0;

  for (size_t i = 0; i < c->nendpoint; i++)
    if (c->endpoint[i].own)
      out[n++] = (endpoint_t){ str_of (c->endpoint[i].address),
                               str_of (c->endpoint[i].zone) };
  return n;
}

size_t
endpoint_near (const cell_t *c, const char *zone, endpoint_t *out)
{
  size_t n = 0;

  for (size_t i = 0; i < c->nendpoint; i++)
    if (strcmp (c->endpoint[i].zone, zone) == 0)
      out[n++] = (endpoint_t){ str_of (c->endpoint[i].address),
                               str_of (c->endpoint[i].zone) };
  return n;
}

bool
endpoint_news (cell_t *c, remote_t *r)
{
  uint64_t sum = 0;

  if (r->endpoint[0] == '\0' || r->endpoints_number == c->endpoints_number)
    return false;
  for (size_t i = 0; i < c->nendpoint; i++)
    if (strcmp (c->endpoint[i].zone, r->zone) == 0)
      sum ^= str_hash (str_of (c->endpoint[i].address));
  r->endpoints_number = c->endpoints_number;
  bool changed = sum != r->endpoints_sum;
  r->endpoints_sum = sum;
  return changed;
}
