#include "soak.h"

#include <stdlib.h>
#include <string.h>

enum
{
  CALL = 1000,      /* ms for one call */
  LAST_READ = 4000, /* ms that the last read is repeated; an instance that is
                       not sure which configuration is the newest says so */
  FLYING = 4
};

/* One order or read, sent until it gets a clear answer.  */
typedef struct
{
  world_t *world;
  int64_t version; /* 0: a read; -1: an invalid order */
  int64_t floor;   /* a read must not be older */
  int at;          /* control instance */
  int hops;
  int refused;
  char path[160];
  char to[64];
  bool last;
  msec_t until; /* the last read is repeated */
} order_t;

static void send_order (order_t *o);

static char *
text_of (world_t *w, int64_t version)
{
  buf_t b;

  buf_init (&b);
  buf_fmt (&b, "{\"version\":%lld,\"routes\":[", (long long)version);
  for (int i = 0; i < SERVICES; i++)
    {
      static const char *const host[] = { "lead", "near", "own" };
      static const char *const kind[]
          = { "primary", "bounded_staleness", "read_own_writes" };
      static const int age[] = { 0, 1500, 2500 };
      for (int k = 0; k < 3; k++)
        buf_fmt (&b,
                 "%s{\"name\":\"r%d%d\",\"host\":\"%ssvc%d\",\"path-prefix\":"
                 "\"/\",\"route-kind\":\"%s\",\"timeout-ms\":%d,"
                 "\"target-latency-ms\":200,\"priority\":1,\"service\":"
                 "\"svc%d\",\"max-staleness-ms\":%d}",
                 i + k ? "," : "", i, k, host[k], i, kind[k],
                 800 + 100 * chance (w, 5), i, age[k]);
    }
  if (chance (w, 2))
    buf_fmt (&b,
             ",{\"name\":\"rx\",\"host\":\"extra%lld\",\"path-prefix\":\"/\","
             "\"route-kind\":\"primary\",\"timeout-ms\":800,\"service\":"
             "\"svc0\"}",
             (long long)version);
  buf_adds (&b, STR ("],\"services\":["));
  for (int i = 0; i < SERVICES; i++)
    buf_fmt (&b, "%s{\"name\":\"svc%d\",\"max-conns\":30,\"sync-replicas\":0}",
             i ? "," : "", i);
  buf_adds (&b, STR ("],\"limits\":{\"tx-idle-ms\":3000}}"));
  buf_add (&b, "", 1);
  return b.p;
}

static void
keep (world_t *w, int64_t version, char *text)
{
  operator_t *o = &w->operator;

  while ((size_t)version >= o->cap)
    {
      size_t cap = o->cap ? o->cap * 2 : 256;
      o->sent = realloc (o->sent, cap * sizeof *o->sent);
      memset (o->sent + o->cap, 0, (cap - o->cap) * sizeof *o->sent);
      o->cap = cap;
    }
  o->sent[version] = text;
}

/* ---- answers ---- */

static void
finish (order_t *o)
{
  o->world->operator.flying--;
  free (o);
}

static void
acknowledged (order_t *o)
{
  operator_t *p = &o->world->operator;

  p->changes++;
  if (o->version > p->acked)
    {
      p->acked = o->version;
      p->acked_at = o->world->now;
    }
}

static void
check_read (order_t *o, const char *body)
{
  world_t *w = o->world;
  operator_t *p = &w->operator;
  const char *v = strstr (body, "\"version\":");
  int64_t version = v ? strtoll (v + 10, NULL, 10) : -1;

  p->reads++;
  if (version < o->floor)
    finding (w, "CONFIG", "c%d read version %lld after %lld was acknowledged",
             o->at, (long long)version, (long long)o->floor);
  else if (version > 0
           && ((size_t)version >= p->cap || p->sent[version] == NULL
               || strcmp (p->sent[version], body) != 0))
    finding (w, "CONFIG", "c%d read other content under version %lld", o->at,
             (long long)version);
}

static void
on_answer (void *arg, unsigned status, const char *body, const char *to)
{
  order_t *o = arg;
  world_t *w = o->world;

  if (status == 307 && o->hops++ < 2 && strncmp (to, "http://", 7) == 0)
    {
      size_t n = strcspn (to + 7, "/");
      snprintf (o->to, sizeof o->to, "%.*s", (int)n, to + 7);
      send_order (o);
      return;
    }
  if (status == 200 && o->version > 0)
    acknowledged (o);
  else if (status == 200 && o->version == 0)
    check_read (o, body);
  else if (status == 200)
    finding (w, "CONFIG", "c%d accepted an invalid configuration", o->at);
  else if (status / 100 == 4 && o->version > 0)
    finding (w, "CONFIG", "c%d refused version %lld with %u", o->at,
             (long long)o->version, status);
  if (o->last && status != 200 && w->now < o->until)
    {
      o->hops = 0;
      snprintf (o->to, sizeof o->to, "%s", w->control_http[o->at]->listen);
      send_order (o);
      return;
    }
  if (status == 200 || status / 100 == 4 || o->version == 0)
    {
      if (o->last && status != 200)
        finding (w, "CONFIG", "c%d does not read the configuration: %u", o->at,
                 status);
      finish (o);
      return;
    }
  o->at = (o->at + 1) % CONTROLS;
  o->hops = 0;
  snprintf (o->to, sizeof o->to, "%s", w->control_http[o->at]->listen);
  send_order (o);
}

static void
send_order (order_t *o)
{
  world_t *w = o->world;
  const char *body
      = o->version > 0 ? w->operator.sent[o->version] : o->version
                             ? "{\"version\":99999999,\"routes\":[{}]"
                             : "";

  web_call (w, o->version ? "PUT" : "GET", o->to, "/pimentopost/config", body,
            CALL, on_answer, o);
}

static order_t *
order_new (world_t *w, int64_t version)
{
  order_t *o = calloc (1, sizeof *o);

  if (o == NULL)
    abort ();
  o->world = w;
  o->version = version;
  o->floor = w->operator.acked;
  o->at = chance (w, CONTROLS);
  snprintf (o->to, sizeof o->to, "%s", w->control_http[o->at]->listen);
  w->operator.flying++;
  return o;
}

void
operator_turn (world_t *w, msec_t now)
{
  operator_t *p = &w->operator;

  if (now >= p->next_put && p->flying < FLYING && now < w->end - 4000)
    {
      p->next_put = now + 200 + chance (w, 1200);
      if (chance (w, 8) == 0 && p->version)
        {
          send_order (order_new (w, -1));
          return;
        }
      p->version += 1 + chance (w, 4);
      keep (w, p->version, text_of (w, p->version));
      send_order (order_new (w, p->version));
    }
  if (now >= p->next_get)
    {
      p->next_get = now + 100 + chance (w, 400);
      send_order (order_new (w, 0));
    }
}

void
operator_last_read (world_t *w)
{
  for (int i = 0; i < CONTROLS; i++)
    {
      order_t *o = order_new (w, 0);
      o->at = i;
      o->last = true;
      o->until = w->now + LAST_READ;
      snprintf (o->to, sizeof o->to, "%s", w->control_http[i]->listen);
      send_order (o);
    }
}
