#include "fleet.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

enum
{
  INDEX_MIN = 64 /* slots of the index by id */
};

/* The slot of ID in the index, or the free slot where it belongs.  */
static size_t
slot_of (const roster_table_t *r, str_t id)
{
  size_t at = (size_t)str_hash (id) & (r->nindex - 1);

  while (r->index[at] && !str_eq (str_of (r->at[r->index[at] - 1].id), id))
    at = (at + 1) & (r->nindex - 1);
  return at;
}

server_t *
roster_find (const roster_table_t *r, str_t id)
{
  uint32_t at = r->nindex ? r->index[slot_of (r, id)] : 0;

  return at ? &r->at[at - 1] : NULL;
}

/* Builds the index anew, at most half full.  */
static void
build_index (roster_table_t *r)
{
  size_t n = INDEX_MIN;

  while (n < 2 * (r->n + 1))
    n *= 2;
  free (r->index);
  r->index = calloc (n, sizeof *r->index);
  if (r->index == NULL)
    abort ();
  r->nindex = n;
  for (size_t i = 0; i < r->n; i++)
    r->index[slot_of (r, str_of (r->at[i].id))] = (uint32_t)i + 1;
}

static server_t *
add (roster_table_t *r, str_t id)
{
  if (r->n == ROSTER_MAX)
    return NULL;
  if (r->at == NULL || r->n == r->cap)
    {
      r->cap = r->cap ? 2 * r->cap : 32;
      r->at = realloc (r->at, r->cap * sizeof *r->at);
      if (r->at == NULL)
        abort ();
    }
  server_t *s = &r->at[r->n++];
  *s = (server_t){ .incarnation = -1, .seq = -1 };
  if (!str_copy (s->id, sizeof s->id, id))
    abort (); /* it was checked */
  if (2 * (r->n + 1) > r->nindex)
    build_index (r);
  else
    r->index[slot_of (r, id)] = (uint32_t)r->n;
  return s;
}

/* Whether the sequence number can follow that of the last heartbeat.  A number
   written by another writer would make those of the database itself count as
   late for as long as it runs.  */
static bool
follows (const server_t *s, const backend_t *b)
{
  return s->incarnation != b->born || s->seq < 0
         || b->seq - s->seq <= SEQ_JUMP_MAX;
}

/* Whether a heartbeat of the same start, whose time is known, names another
   service or address: a database keeps them, so it is of another writer.  */
static bool
moves (const server_t *s, const backend_t *b)
{
  return b->born > 0 && b->born == s->incarnation
         && (!str_eq (str_of (s->service), b->service)
             || !str_eq (str_of (s->address), b->address));
}

static void
mark_changed (roster_table_t *r, server_t *s)
{
  s->changed = ++r->revision;
}

/* Addresses are reused: of two servers at one address only the later start
   still runs.  The earlier one's heartbeat may have been delayed by a
   partition and arrive after the later one's.  */
static void
free_address (roster_table_t *r, server_t *s)
{
  for (size_t i = 0; i < r->n; i++)
    {
      server_t *o = &r->at[i];
      if (o == s || o->gone || strcmp (o->address, s->address) != 0)
        continue;
      if (o->incarnation != s->incarnation)
        {
          server_t *older = o->incarnation < s->incarnation ? o : s;
          older->gone = true;
          mark_changed (r, older);
        }
    }
}

static bool
replace_text (char *to, str_t from)
{
  return !str_eq (str_of (to), from) && str_copy (to, NAME_SIZE, from);
}

static bool
deregister (roster_table_t *r, server_t *s, const backend_t *b, msec_t now)
{
  if (b->seq > s->seq)
    s->seq = b->seq;
  s->heartbeat_at = now;
  if (s->gone)
    return true;
  s->gone = true;
  mark_changed (r, s);
  return true;
}

bool
roster_heartbeat (roster_table_t *r, const backend_t *b, msec_t now, err_t *e)
{
  bool changed = false;

  if (!backend_check (b, e))
    return false;
  server_t *s = roster_find (r, b->id);
  if (s == NULL && b->gone)
    return true;
  /* A deregistration without an incarnation applies to the current one.  */
  if (s && b->gone && b->born < 0)
    return deregister (r, s, b, now);
  if (s
      && (b->born < s->incarnation
          || (b->born == s->incarnation && b->seq < s->seq)
          || (b->born == s->incarnation && s->gone && !b->gone)))
    return err_set (e, ERR_STALE, s->id, "a later heartbeat is known");
  if (s && !follows (s, b))
    return err_set (e, ERR_RANGE, "seq", "%lld after %lld", (long long)b->seq,
                    (long long)s->seq);
  if (s && b->gone)
    return deregister (r, s, b, now);
  if (s && moves (s, b))
    return err_set (e, ERR_RANGE, s->id,
                    "another service or address than before");
  if (s == NULL && (s = add (r, b->id)) == NULL)
    return err_set (e, ERR_FULL, "roster", "%d databases", ROSTER_MAX);
  bool restarted = b->born != s->incarnation;
  changed = replace_text (s->service, b->service)
            | replace_text (s->address, b->address)
            | replace_text (s->zone, b->zone);
  changed |= restarted || s->primary != b->primary || s->leaving != b->leaving
             || s->gone;
  /* Once leaving, a database gets no new work until it is restarted.  */
  s->leaving = b->leaving || (s->leaving && !restarted);
  s->gone = false;
  s->primary = b->primary;
  s->slots = b->slots;
  s->incarnation = b->born;
  s->seq = b->seq;
  if (now - b->age > s->heartbeat_at || restarted)
    s->heartbeat_at = now - b->age;
  if (changed)
    {
      mark_changed (r, s);
      free_address (r, s);
    }
  return true;
}

void
roster_expire (roster_table_t *r, msec_t now)
{
  size_t before = r->n;

  for (size_t i = 0; i < r->n; i++)
    {
      server_t *s = &r->at[i];
      if (!s->gone && now - s->heartbeat_at > ROSTER_TIMEOUT)
        {
          s->gone = true;
          mark_changed (r, s);
        }
      else if (s->gone
               && now - s->heartbeat_at > ROSTER_TIMEOUT + ROSTER_RETENTION)
        r->at[i--] = r->at[--r->n];
    }
  if (r->n != before)
    build_index (r);
}

size_t
roster_list (const roster_table_t *r, int64_t revision, msec_t now,
             backend_t *out, size_t max)
{
  size_t n = 0;

  for (size_t i = 0; i < r->n && n < max; i++)
    {
      const server_t *s = &r->at[i];
      if (s->changed <= revision)
        continue;
      out[n++] = (backend_t){ .id = str_of (s->id),
                              .service = str_of (s->service),
                              .address = str_of (s->address),
                              .zone = str_of (s->zone),
                              .born = s->incarnation,
                              .seq = s->seq,
                              .age = now - s->heartbeat_at,
                              .slots = s->slots,
                              .primary = s->primary,
                              .leaving = s->leaving,
                              .gone = s->gone };
    }
  return n;
}

void
roster_free (roster_table_t *r)
{
  free (r->at);
  free (r->index);
  *r = (roster_table_t){ 0 };
}
