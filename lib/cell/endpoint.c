#include "local.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* Endpoints of entry instances: those that report to this instance, and those
   that other control instances reported.  An entry instance that moves to
   another control instance stays listed.  */

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
  *x = (cell_endpoint_t){ .direct = false };
  snprintf (x->address, sizeof x->address, STR_FMT, STR_ARG (address));
  snprintf (x->zone, sizeof x->zone, STR_FMT, STR_ARG (zone));
  c->endpoints_revision++;
  return x;
}

static void
drop (cell_t *c, cell_endpoint_t *x)
{
  if (x->direct)
    c->direct_endpoints_revision++;
  c->endpoints_revision++;
  *x = c->endpoint[--c->nendpoint];
}

void
endpoint_report (cell_t *c, remote_t *r, const watch_t *m)
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
  if (!x->direct)
    c->direct_endpoints_revision++;
  x->direct = true;
  x->reported_at = c->now;
}

/* Endpoints that M->from listed before and does not list any more may have
   moved to another control instance, whose report follows soon: they are
   dropped after ENDPOINT_MAX_AGE only.  */
void
endpoint_merge (cell_t *c, const roster_t *m)
{
  if (!m->has_endpoints)
    return;
  for (size_t i = 0; i < c->nendpoint; i++)
    if (!c->endpoint[i].direct
        && str_eq (str_of (c->endpoint[i].reporter), m->from)
        && c->endpoint[i].reported_at
               > c->now - PEER_REPORT_MAX_AGE + ENDPOINT_MAX_AGE)
      c->endpoint[i].reported_at
          = c->now - PEER_REPORT_MAX_AGE + ENDPOINT_MAX_AGE;
  for (size_t i = 0; i < m->endpoints.n; i++)
    {
      const endpoint_t *n = LIST_AT (m->endpoints, endpoint_t, i);
      cell_endpoint_t *x = find (c, n->address);
      if (x == NULL)
        x = add (c, n->address, n->zone);
      if (x->direct && c->now - x->reported_at < ENTRY_REPORT_GAP)
        continue;
      if (x->direct)
        c->direct_endpoints_revision++;
      x->direct = false;
      x->reported_at = c->now;
      snprintf (x->reporter, sizeof x->reporter, STR_FMT, STR_ARG (m->from));
    }
}

void
endpoint_expire (cell_t *c)
{
  for (size_t i = 0; i < c->nendpoint;)
    {
      cell_endpoint_t *x = &c->endpoint[i];
      if (c->now - x->reported_at
          >= (x->direct ? ENDPOINT_MAX_AGE : PEER_REPORT_MAX_AGE))
        drop (c, x);
      else
        i++;
    }
}

size_t
endpoint_list_direct (const cell_t *c, endpoint_t *out)
{
  size_t n = 0;

  for (size_t i = 0; i < c->nendpoint; i++)
    if (c->endpoint[i].direct)
      out[n++] = (endpoint_t){ str_of (c->endpoint[i].address),
                               str_of (c->endpoint[i].zone) };
  return n;
}

size_t
endpoint_list_zone (const cell_t *c, const char *zone, endpoint_t *out)
{
  size_t n = 0;

  for (size_t i = 0; i < c->nendpoint; i++)
    if (strcmp (c->endpoint[i].zone, zone) == 0)
      out[n++] = (endpoint_t){ str_of (c->endpoint[i].address),
                               str_of (c->endpoint[i].zone) };
  return n;
}

bool
endpoint_changed (cell_t *c, remote_t *r)
{
  uint64_t sum = 0;

  if (r->endpoint[0] == '\0' || r->endpoints_checked == c->endpoints_revision)
    return false;
  for (size_t i = 0; i < c->nendpoint; i++)
    if (strcmp (c->endpoint[i].zone, r->zone) == 0)
      sum ^= str_hash (str_of (c->endpoint[i].address));
  r->endpoints_checked = c->endpoints_revision;
  bool changed = sum != r->endpoints_hash;
  r->endpoints_hash = sum;
  return changed;
}
