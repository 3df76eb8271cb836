#include "soak.h"

#include <stdlib.h>
#include <string.h>

/* Stand-in databases: heartbeats, crashes, draining, promotion.  */

enum
{
  DB_PORT = 28500,
};

static void
db_start (db_t *d)
{
  world_t *w = d->service->world;

  d->up = true;
  d->restart_at = 0;
  d->seq = 0;
  d->start_wall = msec_wall ();
  d->next_heartbeat = w->now;
  d->draining = false;
  d->drain_acked = d->drain_since = 0;
  d->pause_term = 0;
}

static void
assign_id (db_t *d)
{
  snprintf (
      d->id, NAME, "i-%08llx",
      (unsigned long long)(rng_u64 (&d->service->world->rng) & 0xffffffff));
}

void
db_crash (db_t *d, msec_t ms)
{
  db_received (d);
  if (db_is_primary (d))
    d->number = d->service->head;
  d->up = false;
  d->restart_at = d->service->world->now + ms;
  dbconn_close_all (d);
}

void
db_drain (db_t *d)
{
  d->draining = true;
  d->drain_since = d->service->world->now;
  d->next_heartbeat = d->drain_since;
}

static void
on_heartbeat_answer (void *arg, unsigned status, const char *body,
                     const char *to)
{
  db_t *d = arg;
  world_t *w = d->service->world;

  (void)body;
  (void)to;
  d->heartbeat_pending = false;
  if (status / 100 != 2)
    {
      d->control = (d->control + 1) % CONTROLS;
      d->next_heartbeat = w->now + 50;
    }
  else if (d->draining && !d->drain_acked)
    d->drain_acked = w->now;
}

static void
send_heartbeat (db_t *d)
{
  world_t *w = d->service->world;
  char path[64], body[400];
  static const char *const zone[] = { "z1", "z2", "z3" };

  snprintf (path, sizeof path, "/pimentopost/instances/%s", d->id);
  snprintf (body, sizeof body,
            "{\"service\":\"%s\",\"addr\":\"%s\",\"zone\":\"%s\",\"version\":"
            "\"v1\",\"slots\":8,\"state\":\"%s\",\"cold-left-ms\":0,"
            "\"db-role\":\"%s\",\"seq\":%lld,\"born\":%lld}",
            d->service->name, d->address, zone[d - d->service->db],
            d->draining ? "draining" : "ready",
            db_is_primary (d) ? "primary" : "replica", (long long)++d->seq,
            (long long)d->start_wall);
  d->heartbeat_pending = true;
  d->next_heartbeat = w->now + 600;
  http_send (w, "PUT", w->control_http[d->control]->listen, path, body, 1000,
             on_heartbeat_answer, d);
}

static void
ignore_answer (void *arg, unsigned status, const char *body, const char *to)
{
  (void)arg;
  (void)status;
  (void)body;
  (void)to;
}

/* Stops a drained database; one with another id takes its address.  */
static void
finish_drain (db_t *d)
{
  world_t *w = d->service->world;
  char path[64];

  if (db_is_primary (d) && w->now < d->drain_since + 2 * DRAIN_TIME)
    return;
  snprintf (path, sizeof path, "/pimentopost/instances/%s", d->id);
  http_send (w, "DELETE", w->control_http[d->control]->listen, path, "{}",
             1000, ignore_answer, NULL);
  note (w, "%s is drained and stops", d->id);
  db_crash (d, 1500);
  assign_id (d);
}

static void
db_tick (db_t *d, msec_t now)
{
  if (!d->up && d->restart_at && now >= d->restart_at)
    {
      if (!db_is_primary (d))
        d->primary = false;
      db_start (d);
      note (d->service->world, "%s restarts as %s", d->id,
            db_is_primary (d) ? "primary" : "replica");
    }
  if (!d->up)
    return;
  if (!d->heartbeat_pending && now >= d->next_heartbeat)
    send_heartbeat (d);
  dbconn_send_due (d, now);
  if (d->draining
      && ((d->drain_acked && now > d->drain_acked + DRAIN_TIME + 1000)
          || now > d->drain_since + 2 * DRAIN_TIME))
    finish_drain (d);
}

db_t *
service_primary (service_t *s)
{
  for (int i = 0; i < DBS; i++)
    if (db_is_primary (&s->db[i]))
      return &s->db[i];
  return NULL;
}

/* The candidate becomes primary of the next term with the commits that it
   has.  */
static void
promote (service_t *s)
{
  world_t *w = s->world;
  db_t *d = s->candidate;
  int64_t n = db_received (d);

  s->candidate = NULL;
  if (!d->up)
    return;
  for (int i = 0; i < DBS; i++)
    if (&s->db[i] != d)
      {
        db_received (&s->db[i]);
        s->db[i].primary = false;
        if (s->db[i].number > n)
          s->db[i].number = n;
      }
  if (s->term + 1 >= TERMS)
    return;
  s->term++;
  s->start[s->term] = n;
  s->head = n;
  if (w->sync_replicas && s->nacked && s->acked[s->nacked - 1].pos.number > n)
    finding (w, "LOST",
             "%s leads term %lld of %s with %lld commits, %lld were "
             "acknowledged",
             d->id, (long long)s->term, s->name, (long long)n,
             (long long)s->acked[s->nacked - 1].pos.number);
  while (s->nacked && s->acked[s->nacked - 1].pos.number > n)
    s->nacked--;
  d->primary = true;
  d->term = s->term;
  d->pause_term = 0;
  for (int i = 0; i < DBS; i++)
    s->db[i].next_heartbeat = w->now;
  w->promotions++;
  note (w, "%s is primary of %s in term %lld from commit %lld", d->id, s->name,
        (long long)s->term, (long long)n);
}

void
service_tick (service_t *s, msec_t now)
{
  if (s->candidate && now >= s->promote_at)
    promote (s);
  for (int i = 0; i < DBS; i++)
    db_tick (&s->db[i], now);
}

void
service_new (world_t *w, service_t *s, int n)
{
  err_t e = { 0 };

  s->world = w;
  snprintf (s->name, NAME, "svc%d", n);
  s->term = 1;
  s->cap = 4096;
  s->time = calloc (s->cap, sizeof *s->time);
  for (int i = 0; i < DBS; i++)
    {
      db_t *d = &s->db[i];
      char own[NAME];
      d->service = s;
      d->primary = i == 0;
      d->term = 1;
      d->control = i % CONTROLS;
      assign_id (d);
      address (w, own, 60 + n * DBS + i, DB_PORT);
      address (w, d->address, 70 + n * DBS + i, DB_PORT);
      d->fd = rpc_listen (str_of (own), &e);
      if (d->fd < 0 || !loop_watch (w->loop, d->fd, dbconn_accept, d, &e))
        {
          fprintf (stderr, "%s: %s\n", own, e.detail);
          exit (2);
        }
      d->relay = relay_new (w, d->address, own);
      db_start (d);
    }
}
