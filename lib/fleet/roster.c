#include "fleet.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

server_t *
roster_find (roster_table_t *r, str_t id)
{
  for (size_t i = 0; i < r->n; i++)
    if (str_eq (str_of (r->at[i].id), id))
      return &r->at[i];
  return NULL;
}

static server_t *
add (roster_table_t *r, str_t id)
{
  if (r->n == ROSTER_MAX)
    return NULL;
  if (r->n == r->cap)
    {
      r->cap = r->cap ? 2 * r->cap : 32;
      r->at = realloc (r->at, r->cap * sizeof *r->at);
      if (r->at == NULL)
        abort ();
    }
  server_t *s = &r->at[r->n++];
  *s = (server_t){ .born = -1, .seq = -1 };
  snprintf (s->id, sizeof s->id, STR_FMT, STR_ARG (id));
  return s;
}

static bool
fits (str_t s)
{
  return s.n > 0 && s.n < FLEET_NAME;
}

static bool
valid (const backend_t *b)
{
  if (!fits (b->id))
    return false;
  if (!b->gone && (b->born < 0 || b->seq < 0))
    return false;
  return b->gone
         || (fits (b->service) && fits (b->address) && b->zone.n < FLEET_NAME);
}

static void
touch (roster_table_t *r, server_t *s)
{
  s->changed = ++r->number;
}

/* Addresses are used again: of two at one address the later start lives.  */
static void
free_address (roster_table_t *r, const server_t *s)
{
  for (size_t i = 0; i < r->n; i++)
    {
      server_t *o = &r->at[i];
      if (o == s || o->gone || strcmp (o->address, s->address) != 0)
        continue;
      if (o->born < s->born)
        {
          o->gone = true;
          touch (r, o);
        }
    }
}

static bool
put (char *to, str_t from)
{
  if (str_eq (str_of (to), from))
    return false;
  snprintf (to, FLEET_NAME, STR_FMT, STR_ARG (from));
  return true;
}

static bool
sign_off (roster_table_t *r, server_t *s, const backend_t *b, msec_t now)
{
  if (b->seq > s->seq)
    s->seq = b->seq;
  s->heard = now;
  if (s->gone)
    return true;
  s->gone = true;
  touch (r, s);
  return true;
}

bool
roster_beat (roster_table_t *r, const backend_t *b, msec_t now, err_t *e)
{
  bool differs = false;

  if (!valid (b))
    return err_set (e, ERR_RANGE, "heartbeat",
                    "no database can be made of it");
  server_t *s = roster_find (r, b->id);
  if (s == NULL && b->gone)
    return true;
  /* A sign-off that does not say of which start is of the present one.  */
  if (s && b->gone && b->born < 0)
    return sign_off (r, s, b, now);
  if (s
      && (b->born < s->born || (b->born == s->born && b->seq < s->seq)
          || (b->born == s->born && s->gone && !b->gone)))
    return err_set (e, ERR_STALE, s->id, "a later heartbeat is known");
  if (s && b->gone)
    return sign_off (r, s, b, now);
  if (s == NULL && (s = add (r, b->id)) == NULL)
    return err_set (e, ERR_FULL, "roster", "%d databases", ROSTER_MAX);
  bool reborn = b->born != s->born;
  differs = put (s->service, b->service) | put (s->address, b->address)
            | put (s->zone, b->zone);
  differs |= reborn || s->primary != b->primary || s->leaving != b->leaving
             || s->gone;
  /* A leaving database of one start does not come back to work.  */
  s->leaving = b->leaving || (s->leaving && !reborn);
  s->gone = false;
  s->primary = b->primary;
  s->slots = b->slots;
  s->born = b->born;
  s->seq = b->seq;
  if (now - b->age > s->heard || reborn)
    s->heard = now - b->age;
  if (differs)
    touch (r, s);
  free_address (r, s);
  return true;
}

void
roster_sweep (roster_table_t *r, msec_t now)
{
  for (size_t i = 0; i < r->n; i++)
    {
      server_t *s = &r->at[i];
      if (!s->gone && now - s->heard > ROSTER_SILENT)
        {
          s->gone = true;
          touch (r, s);
        }
      else if (s->gone && now - s->heard > ROSTER_SILENT + ROSTER_FORGET)
        r->at[i--] = r->at[--r->n];
    }
}

size_t
roster_list (const roster_table_t *r, int64_t number, msec_t now,
             backend_t *out, size_t max)
{
  size_t n = 0;

  for (size_t i = 0; i < r->n && n < max; i++)
    {
      const server_t *s = &r->at[i];
      if (s->changed <= number)
        continue;
      out[n++] = (backend_t){ .id = str_of (s->id),
                              .service = str_of (s->service),
                              .address = str_of (s->address),
                              .zone = str_of (s->zone),
                              .born = s->born,
                              .seq = s->seq,
                              .age = now - s->heard,
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
  *r = (roster_table_t){ 0 };
}
