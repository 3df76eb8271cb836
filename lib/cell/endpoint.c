#include "local.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* Endpoints of entry instances: those that report to this instance, and those
   that other control instances reported.  An entry instance that moves to
   another control instance stays listed.  */

static cell_endpoint_t *
find (const cell_t *c, str_t address)
{
  return apr_hash_get (c->endpoints.by_address, address.p,
                       (apr_ssize_t)address.n);
}

static void
unlink_endpoint (endpoint_table_t *t, cell_endpoint_t *x)
{
  if (x->prev)
    x->prev->next = x->next;
  else if (t->newest == x)
    t->newest = x->next;
  if (x->next)
    x->next->prev = x->prev;
  else if (t->oldest == x)
    t->oldest = x->prev;
  x->next = x->prev = NULL;
}

static void
mark_changed (endpoint_table_t *t, cell_endpoint_t *x)
{
  unlink_endpoint (t, x);
  x->changed = ++t->revision;
  x->next = t->newest;
  if (t->newest)
    t->newest->prev = x;
  t->newest = x;
  if (t->oldest == NULL)
    t->oldest = x;
}

static cell_endpoint_t *
create (endpoint_table_t *t, str_t address)
{
  cell_endpoint_t *x = calloc (1, sizeof *x);

  if (x == NULL || !str_copy (x->address, sizeof x->address, address))
    abort (); /* add has checked its length */
  apr_hash_set (t->by_address, x->address, (apr_ssize_t)strlen (x->address),
                x);
  t->n++;
  return x;
}

/* NULL if the address or the zone can't be one.  */
static cell_endpoint_t *
add (cell_t *c, str_t address, str_t zone)
{
  endpoint_table_t *t = &c->endpoints;
  cell_endpoint_t *x = find (c, address);

  if (x && !x->gone)
    return x;
  if (!address_check (address, "endpoint", NULL)
      || (zone.n && !name_check (zone, "zone", NULL)))
    return NULL;
  if (x == NULL)
    x = create (t, address);
  x->gone = x->direct = false;
  str_copy (x->zone, sizeof x->zone, zone);
  mark_changed (t, x);
  return x;
}

static void
set_direct (cell_t *c, cell_endpoint_t *x, bool direct)
{
  if (x->direct != direct)
    c->endpoints.direct_revision++;
  x->direct = direct;
}

static void
drop (cell_t *c, cell_endpoint_t *x)
{
  set_direct (c, x, false);
  x->gone = true;
  x->reported_at = c->now;
  mark_changed (&c->endpoints, x);
}

void
endpoint_report (cell_t *c, remote_t *r, const watch_t *m)
{
  cell_endpoint_t *x = find (c, str_of (r->endpoint));

  if (x && !x->gone && !str_eq (str_of (r->endpoint), m->address))
    drop (c, x);
  r->takes_changes = m->takes_changes;
  if (!str_copy (r->endpoint, sizeof r->endpoint, m->address)
      || !str_copy (r->zone, sizeof r->zone, m->zone))
    {
      log_event (EV_ENDPOINT_LEFT_OUT, "address=" STR_FMT " zone=" STR_FMT,
                 STR_ARG (m->address), STR_ARG (m->zone));
      return;
    }
  if (m->address.n == 0 || (x = add (c, m->address, m->zone)) == NULL)
    return;
  set_direct (c, x, true);
  x->reported_at = c->now;
}

/* Endpoints that M->from listed before and does not list any more may have
   moved to another control instance, whose report follows soon: they are
   dropped after ENDPOINT_MAX_AGE only.  */
static void
shorten_age (cell_t *c, str_t from)
{
  msec_t limit = c->now - PEER_REPORT_MAX_AGE + ENDPOINT_MAX_AGE;

  for (cell_endpoint_t *x = c->endpoints.newest; x; x = x->next)
    if (!x->gone && !x->direct && str_eq (str_of (x->reporter), from)
        && x->reported_at > limit)
      x->reported_at = limit;
}

void
endpoint_merge (cell_t *c, const roster_t *m)
{
  if (!m->has_endpoints)
    return;
  shorten_age (c, m->from);
  for (size_t i = 0; i < m->endpoints.n; i++)
    {
      const endpoint_t *n = LIST_AT (m->endpoints, endpoint_t, i);
      cell_endpoint_t *x = add (c, n->address, n->zone);
      if (x == NULL
          || (x->direct && c->now - x->reported_at < ENTRY_REPORT_GAP))
        continue;
      if (!str_copy (x->reporter, sizeof x->reporter, m->from))
        continue;
      set_direct (c, x, false);
      x->reported_at = c->now;
    }
}

/* Deletes X, whose removal is old.  Who has not received it gets the whole
   list.  */
static void
forget (endpoint_table_t *t, cell_endpoint_t *x)
{
  if (x->changed > t->forgotten)
    t->forgotten = x->changed;
  apr_hash_set (t->by_address, x->address, (apr_ssize_t)strlen (x->address),
                NULL);
  unlink_endpoint (t, x);
  t->n--;
  free (x);
}

static void
drop_silent (cell_t *c)
{
  cell_endpoint_t *next;

  for (cell_endpoint_t *x = c->endpoints.newest; x; x = next)
    {
      msec_t limit = x->direct ? ENDPOINT_MAX_AGE : PEER_REPORT_MAX_AGE;
      next = x->next;
      if (!x->gone && c->now - x->reported_at >= limit)
        drop (c, x);
    }
}

static void
forget_removed (cell_t *c)
{
  cell_endpoint_t *next;

  for (cell_endpoint_t *x = c->endpoints.newest; x; x = next)
    {
      next = x->next;
      if (x->gone && c->now - x->reported_at >= ENDPOINT_RETENTION)
        forget (&c->endpoints, x);
    }
}

void
endpoint_expire (cell_t *c)
{
  if (c->now - c->endpoints.expired_at < ENDPOINT_EXPIRE_INTERVAL)
    return;
  c->endpoints.expired_at = c->now;
  drop_silent (c);
  forget_removed (c);
}

static endpoint_t
view (const cell_endpoint_t *x)
{
  return (endpoint_t){ str_of (x->address), str_of (x->zone), x->gone };
}

size_t
endpoint_list_direct (const cell_t *c, endpoint_t *out)
{
  size_t n = 0;

  for (const cell_endpoint_t *x = c->endpoints.newest; x; x = x->next)
    if (x->direct)
      out[n++] = view (x);
  return n;
}

size_t
endpoint_list_zone (const cell_t *c, const char *zone, endpoint_t *out)
{
  size_t n = 0;

  for (const cell_endpoint_t *x = c->endpoints.newest; x; x = x->next)
    if (!x->gone && strcmp (x->zone, zone) == 0)
      out[n++] = view (x);
  return n;
}

bool
endpoint_changed (const cell_t *c, const char *zone, int64_t revision)
{
  for (const cell_endpoint_t *x = c->endpoints.newest;
       x && x->changed > revision; x = x->next)
    if (strcmp (x->zone, zone) == 0)
      return true;
  return false;
}

size_t
endpoint_list_changes (const cell_t *c, const char *zone, int64_t revision,
                       endpoint_t *out)
{
  size_t n = 0;

  for (const cell_endpoint_t *x = c->endpoints.newest;
       x && x->changed > revision; x = x->next)
    if (strcmp (x->zone, zone) == 0)
      out[n++] = view (x);
  return n;
}
