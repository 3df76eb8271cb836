#include "soak.h"

#include <stdlib.h>
#include <string.h>

/* Life of the stand-in databases: heartbeats, crashes, leaving, promotion.  */

enum
{
  DB_PORT = 28500,
};

static void
born (db_t *d)
{
  world_t *w = d->service->world;

  d->up = true;
  d->back = 0;
  d->seq = 0;
  d->born = msec_wall ();
  d->beat = w->now;
  d->leaving = false;
  d->told_leave = d->leave_since = 0;
  d->held = 0;
}

static void
rename_db (db_t *d)
{
  snprintf (
      d->id, NAME, "i-%08llx",
      (unsigned long long)(rng_u64 (&d->service->world->rng) & 0xffffffff));
}

void
db_crash (db_t *d, msec_t ms)
{
  db_number (d);
  if (db_leads (d))
    d->number = d->service->head;
  d->up = false;
  d->back = d->service->world->now + ms;
  dbconn_drop (d);
}

void
db_leave (db_t *d)
{
  d->leaving = true;
  d->leave_since = d->service->world->now;
  d->beat = d->leave_since;
}

static void
told (void *arg, unsigned status, const char *body, const char *to)
{
  db_t *d = arg;
  world_t *w = d->service->world;

  (void)body;
  (void)to;
  d->beating = false;
  if (status / 100 != 2)
    {
      d->teller = (d->teller + 1) % CONTROLS;
      d->beat = w->now + 50;
    }
  else if (d->leaving && !d->told_leave)
    d->told_leave = w->now;
}

static void
beat (db_t *d)
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
            d->leaving ? "draining" : "ready",
            db_leads (d) ? "primary" : "replica", (long long)++d->seq,
            (long long)d->born);
  d->beating = true;
  d->beat = w->now + 600;
  web_call (w, "PUT", w->control_http[d->teller]->listen, path, body, 1000,
            told, d);
}

static void
ignored (void *arg, unsigned status, const char *body, const char *to)
{
  (void)arg;
  (void)status;
  (void)body;
  (void)to;
}

/* Ends after its notice; another one comes to its address.  */
static void
leave_now (db_t *d)
{
  world_t *w = d->service->world;
  char path[64];

  if (db_leads (d) && w->now < d->leave_since + 2 * LEAVING_TIME)
    return;
  snprintf (path, sizeof path, "/pimentopost/instances/%s", d->id);
  web_call (w, "DELETE", w->control_http[d->teller]->listen, path, "{}", 1000,
            ignored, NULL);
  note (w, "%s has left", d->id);
  db_crash (d, 1500);
  rename_db (d);
}

static void
db_turn (db_t *d, msec_t now)
{
  if (!d->up && d->back && now >= d->back)
    {
      if (!db_leads (d))
        d->primary = false;
      born (d);
      note (d->service->world, "%s is back as %s", d->id,
            db_leads (d) ? "primary" : "replica");
    }
  if (!d->up)
    return;
  if (!d->beating && now >= d->beat)
    beat (d);
  dbconn_answers (d, now);
  if (d->leaving
      && ((d->told_leave && now > d->told_leave + LEAVING_TIME + 1000)
          || now > d->leave_since + 2 * LEAVING_TIME))
    leave_now (d);
}

db_t *
service_primary (service_t *s)
{
  for (int i = 0; i < DBS; i++)
    if (db_leads (&s->db[i]))
      return &s->db[i];
  return NULL;
}

/* The chosen database leads the next term with what it has.  */
static void
promote (service_t *s)
{
  world_t *w = s->world;
  db_t *d = s->next;
  int64_t n = db_number (d);

  s->next = NULL;
  if (!d->up)
    return;
  for (int i = 0; i < DBS; i++)
    if (&s->db[i] != d)
      {
        db_number (&s->db[i]);
        s->db[i].primary = false;
        if (s->db[i].number > n)
          s->db[i].number = n;
      }
  if (s->term + 1 >= TERMS)
    return;
  s->term++;
  s->start[s->term] = n;
  s->head = n;
  while (s->nacked && s->acked[s->nacked - 1].pos.number > n)
    s->nacked--;
  d->primary = true;
  d->term = s->term;
  d->held = 0;
  for (int i = 0; i < DBS; i++)
    s->db[i].beat = w->now;
  w->promotions++;
  note (w, "%s leads %s in term %lld from %lld", d->id, s->name,
        (long long)s->term, (long long)n);
}

void
service_turn (service_t *s, msec_t now)
{
  if (s->next && now >= s->next_at)
    promote (s);
  for (int i = 0; i < DBS; i++)
    db_turn (&s->db[i], now);
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
      d->teller = i % CONTROLS;
      rename_db (d);
      address (w, own, 60 + n * DBS + i, DB_PORT);
      address (w, d->address, 70 + n * DBS + i, DB_PORT);
      d->fd = rpc_listen (str_of (own), &e);
      if (d->fd < 0 || !loop_watch (w->loop, d->fd, dbconn_accept, d, &e))
        {
          fprintf (stderr, "%s: %s\n", own, e.detail);
          exit (2);
        }
      d->relay = relay_new (w, d->address, own);
      born (d);
    }
}
