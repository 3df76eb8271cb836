#include "world.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

void
world_db_init (world_db_t *d, int i, bool primary)
{
  snprintf (d->name, sizeof d->name, "db%d", i);
  snprintf (d->address, sizeof d->address, "127.0.0.1:%d", 21100 + i);
  d->group = i / W_DBS_PER_GROUP;
  d->zone = i % W_ZONES;
  d->alive = true;
  if (!primary)
    return;
  d->hist.n = 1;
  d->hist.at[0].term = 1;
  if (i % W_DBS_PER_GROUP == 0)
    {
      d->primary = true;
      return;
    }
  snprintf (d->upstream, sizeof d->upstream, "127.0.0.1:%d",
            21100 + i - i % W_DBS_PER_GROUP);
  d->upstream_term = 1;
}

int64_t
world_db_term (const world_db_t *d)
{
  return d->hist.n ? d->hist.at[d->hist.n - 1].term : 0;
}

bool
world_db_readonly (const world_db_t *d)
{
  return !d->primary || d->fence > world_db_term (d);
}

void
world_db_write (world_db_t *d, int id)
{
  if (d->pos == d->cap)
    {
      d->cap = d->cap ? 2 * d->cap : 256;
      d->log = realloc (d->log, (size_t)d->cap * sizeof *d->log);
    }
  d->log[d->pos++] = id;
}

static int64_t
min_term (const world_db_t *d)
{
  int64_t t = world_db_term (d);

  t = d->fence > t ? d->fence : t;
  return d->upstream_term > t ? d->upstream_term : t;
}

/* The last position up to which the logs agree, from their histories.  */
static int64_t
common_position (const world_db_t *a, const world_db_t *b)
{
  int64_t pos = a->pos < b->pos ? a->pos : b->pos;

  for (int i = 0; i < a->hist.n || i < b->hist.n; i++)
    {
      bool same = i < a->hist.n && i < b->hist.n
                  && a->hist.at[i].term == b->hist.at[i].term
                  && a->hist.at[i].start == b->hist.at[i].start;
      if (same)
        continue;
      if (i < a->hist.n && a->hist.at[i].start < pos)
        pos = a->hist.at[i].start;
      if (i < b->hist.n && b->hist.at[i].start < pos)
        pos = b->hist.at[i].start;
      return pos;
    }
  return pos;
}

static world_db_t *
upstream (world_t *w, const world_db_t *d)
{
  for (int i = 0; i < W_DBS; i++)
    if (strcmp (w->db[i].address, d->upstream) == 0)
      return &w->db[i];
  return NULL;
}

static void
replicate (world_t *w, world_db_t *d)
{
  world_db_t *u = upstream (w, d);

  if (d->primary || !d->alive || d->frozen || !u || !u->alive || u->frozen
      || !u->primary || !world_connected (w, d->zone, u->zone)
      || d->upstream_term < d->fence || world_db_term (u) < min_term (d)
      || (world_db_term (u) == d->fence && d->owner[0]
          && strcmp (d->owner, u->term_owner) != 0))
    return;
  d->upstream_at = w->now;
  int64_t start = common_position (d, u);
  if (start < d->pos)
    d->pos = start;
  if (w->now < d->lag_until && world_db_term (d) == world_db_term (u))
    return;
  d->hist = u->hist;
  snprintf (d->term_owner, sizeof d->term_owner, "%s", u->term_owner);
  if (w->now < d->lag_until)
    return;
  while (d->pos < u->pos)
    world_db_write (d, u->log[d->pos]);
}

void
world_db_step (world_t *w)
{
  for (int i = 0; i < W_DBS; i++)
    replicate (w, &w->db[i]);
  for (int i = 0; i < W_DBS; i++)
    {
      world_db_t *p = &w->db[i];
      if (!p->primary || !p->alive || p->frozen)
        continue;
      /* Of three databases, the primary and one replica are a majority.  */
      for (int j = 0; j < W_DBS; j++)
        {
          const world_db_t *d = &w->db[j];
          if (j != i && d->alive && !d->frozen && !d->primary
              && strcmp (d->upstream, p->address) == 0
              && world_db_term (d) == world_db_term (p)
              && d->upstream_term >= d->fence
              && world_connected (w, d->zone, p->zone)
              && d->pos > p->confirmed)
            p->confirmed = d->pos < p->pos ? d->pos : p->pos;
        }
    }
}

static bool
fence (world_db_t *d, const db_cmd_t *c)
{
  if (c->term < d->fence || c->term < world_db_term (d)
      || (c->term == d->fence && strcmp (c->owner, d->owner) != 0)
      || (c->term == world_db_term (d)
          && strcmp (c->owner, d->term_owner) != 0))
    return false;
  d->fence = c->term;
  snprintf (d->owner, sizeof d->owner, "%s", c->owner);
  return true;
}

static bool
promote (world_t *w, int i, const db_cmd_t *c)
{
  world_db_t *d = &w->db[i];

  if (c->term != d->fence || strcmp (c->owner, d->owner) != 0)
    return false;
  if (d->primary && world_db_term (d) == c->term)
    return true;
  if (world_db_term (d) >= c->term)
    return false;
  if (d->hist.n == HISTORY_MAX)
    memmove (&d->hist.at[1], &d->hist.at[2],
             (size_t)(--d->hist.n - 1) * sizeof d->hist.at[0]);
  d->hist.at[d->hist.n].term = c->term;
  d->hist.at[d->hist.n++].start = d->pos;
  d->primary = true;
  d->confirmed = 0;
  snprintf (d->term_owner, sizeof d->term_owner, "%s", c->owner);
  if (w->on_promote)
    w->on_promote (w->arg, i, c->term);
  return true;
}

static bool
follow (world_t *w, world_db_t *d, const db_cmd_t *c)
{
  if (c->term < d->fence || c->term < world_db_term (d)
      || (d->primary && c->term == world_db_term (d)))
    return false;
  if (!d->primary && c->term == d->upstream_term
      && strcmp (c->target, d->upstream) == 0)
    return true;
  d->primary = false;
  d->upstream_term = c->term;
  snprintf (d->upstream, sizeof d->upstream, "%s", c->target);
  d->upstream_at = w->now;
  return true;
}

void
world_db_probe (world_t *w, int i, probe_t *p, apr_pool_t *pool)
{
  const world_db_t *d = &w->db[i];
  char text[HISTORY_MAX * 24] = "";
  size_t n = 0;

  for (int k = 0; k < d->hist.n; k++)
    n += (size_t)snprintf (text + n, sizeof text - n, "%s%lld:%lld",
                           k ? "," : "", (long long)d->hist.at[k].term,
                           (long long)d->hist.at[k].start);
  *p = (probe_t){ .name = str_dup (pool, str_of (d->name)),
                  .address = str_dup (pool, str_of (d->address)),
                  .reachable = true,
                  .term = world_db_term (d),
                  .role = d->primary ? STR ("primary") : STR ("replica"),
                  .position = d->pos,
                  .confirmed = d->confirmed,
                  .upstream_age = d->primary ? 0 : w->now - d->upstream_at,
                  .history = str_dup (pool, str_of (text)) };
}

bool
world_db_command (world_t *w, int i, const db_cmd_t *c, db_event_t *ev)
{
  world_db_t *d = &w->db[i];
  bool ok = c->op == DB_FENCE     ? fence (d, c)
            : c->op == DB_PROMOTE ? promote (w, i, c)
                                  : follow (w, d, c);

  if (!ok)
    err_set (&ev->err, ERR_DB, "55000", "refused");
  world_db_probe (w, i, &ev->probe, ev->pool);
  return ok;
}

void
world_db_wipe (world_db_t *d)
{
  d->hist.n = 0;
  d->pos = d->confirmed = d->fence = d->upstream_term = 0;
  d->primary = false;
  d->owner[0] = d->term_owner[0] = d->upstream[0] = '\0';
}
