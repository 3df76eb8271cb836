#include "soak.h"

#include <stdlib.h>
#include <string.h>

/* The operator: changes of the configuration and reads of it.  */

enum
{
  CALL_TIMEOUT = 1000, /* ms */
  FINAL_READ_TIME
  = 4000, /* ms that the final read is retried: an instance that is not sure
             of having the newest configuration refuses a read */
  IN_FLIGHT_MAX = 4
};

/* One change or read, sent until it gets a definite answer.  */
typedef struct
{
  world_t *world;
  int64_t version;     /* 0: a read; -1: an invalid configuration */
  int64_t min_version; /* a read must not return an older one */
  int control;         /* control instance */
  int hops;            /* redirections followed */
  int refused;
  char path[160];
  char to[64];
  bool final;
  msec_t until; /* of retrying the final read */
} request_t;

static void send_request (request_t *r);

bool
is_public (int service, int route)
{
  return service == 1 && route == 1;
}

static char *
config_text (world_t *w, int64_t version)
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
                 "\"svc%d\",\"max-staleness-ms\":%d,\"public\":%s}",
                 i + k ? "," : "", i, k, host[k], i, kind[k],
                 800 + 100 * rand_below (w, 5), i, age[k],
                 is_public (i, k) ? "true" : "false");
    }
  if (rand_below (w, 2))
    buf_fmt (&b,
             ",{\"name\":\"rx\",\"host\":\"extra%lld\",\"path-prefix\":\"/\","
             "\"route-kind\":\"primary\",\"timeout-ms\":800,\"service\":"
             "\"svc0\"}",
             (long long)version);
  buf_adds (&b, STR ("],\"services\":["));
  for (int i = 0; i < SERVICES; i++)
    buf_fmt (&b,
             "%s{\"name\":\"svc%d\",\"max-conns\":30,\"sync-replicas\":%d}",
             i ? "," : "", i, w->sync_replicas);
  buf_adds (&b, STR ("],\"limits\":{\"tx-idle-ms\":3000}"));
  tenants_write (w, version, &b);
  buf_adds (&b, STR ("}"));
  buf_add (&b, "", 1);
  return b.p;
}

static void
store_text (world_t *w, int64_t version, char *text)
{
  operator_t *p = &w->operator;

  while ((size_t)version >= p->cap)
    {
      size_t cap = p->cap ? p->cap * 2 : 256;
      p->sent = realloc (p->sent, cap * sizeof *p->sent);
      memset (p->sent + p->cap, 0, (cap - p->cap) * sizeof *p->sent);
      p->cap = cap;
    }
  p->sent[version] = text;
}

/* ---- answers ---- */

static void
finish (request_t *r)
{
  r->world->operator.in_flight--;
  free (r);
}

static void
acknowledged (request_t *r)
{
  operator_t *p = &r->world->operator;

  p->changes++;
  if (r->version > p->acked)
    {
      p->acked = r->version;
      p->acked_at = r->world->now;
      tenants_acked (r->world, r->version);
    }
}

static void
check_read (request_t *r, const char *body)
{
  world_t *w = r->world;
  operator_t *p = &w->operator;
  const char *v = strstr (body, "\"version\":");
  int64_t version = v ? strtoll (v + 10, NULL, 10) : -1;

  p->reads++;
  if (version < r->min_version)
    finding (w, "CONFIG", "c%d read version %lld after %lld was acknowledged",
             r->control, (long long)version, (long long)r->min_version);
  else if (version > 0
           && ((size_t)version >= p->cap || p->sent[version] == NULL
               || strcmp (p->sent[version], body) != 0))
    finding (w, "CONFIG", "c%d read other content under version %lld",
             r->control, (long long)version);
}

static void
on_answer (void *arg, unsigned status, const char *body, const char *to)
{
  request_t *r = arg;
  world_t *w = r->world;

  if (status == 307 && r->hops++ < 2 && strncmp (to, "http://", 7) == 0)
    {
      size_t n = strcspn (to + 7, "/");
      snprintf (r->to, sizeof r->to, "%.*s", (int)n, to + 7);
      send_request (r);
      return;
    }
  if (status == 200 && r->version > 0)
    acknowledged (r);
  else if (status == 200 && r->version == 0)
    check_read (r, body);
  else if (status == 200)
    finding (w, "CONFIG", "c%d accepted an invalid configuration", r->control);
  else if (status / 100 == 4 && r->version > 0)
    finding (w, "CONFIG", "c%d refused version %lld with %u", r->control,
             (long long)r->version, status);
  if (r->final && status != 200 && w->now < r->until)
    {
      r->hops = 0;
      snprintf (r->to, sizeof r->to, "%s",
                w->control_http[r->control]->listen);
      send_request (r);
      return;
    }
  if (status == 200 || status / 100 == 4 || r->version == 0)
    {
      if (r->final && status != 200)
        finding (w, "CONFIG", "c%d refuses to read the configuration: %u",
                 r->control, status);
      finish (r);
      return;
    }
  r->control = (r->control + 1) % CONTROLS;
  r->hops = 0;
  snprintf (r->to, sizeof r->to, "%s", w->control_http[r->control]->listen);
  send_request (r);
}

static void
send_request (request_t *r)
{
  world_t *w = r->world;
  const char *body
      = r->version > 0 ? w->operator.sent[r->version] : r->version
                             ? "{\"version\":99999999,\"routes\":[{}]"
                             : "";

  http_send (w, r->version ? "PUT" : "GET", r->to, "/pimentopost/config", body,
             CALL_TIMEOUT, on_answer, r);
}

static request_t *
request_new (world_t *w, int64_t version)
{
  request_t *r = calloc (1, sizeof *r);

  if (r == NULL)
    abort ();
  r->world = w;
  r->version = version;
  r->min_version = w->operator.acked;
  r->control = rand_below (w, CONTROLS);
  snprintf (r->to, sizeof r->to, "%s", w->control_http[r->control]->listen);
  w->operator.in_flight++;
  return r;
}

void
operator_tick (world_t *w, msec_t now)
{
  operator_t *p = &w->operator;

  if (now >= p->next_put && p->in_flight < IN_FLIGHT_MAX
      && now < w->end - 4000)
    {
      p->next_put = now + 200 + rand_below (w, 1200);
      if (rand_below (w, 8) == 0 && p->version)
        {
          send_request (request_new (w, -1));
          return;
        }
      p->version += 1 + rand_below (w, 4);
      store_text (w, p->version, config_text (w, p->version));
      send_request (request_new (w, p->version));
    }
  if (now >= p->next_get)
    {
      p->next_get = now + 100 + rand_below (w, 400);
      send_request (request_new (w, 0));
    }
}

void
operator_final_read (world_t *w)
{
  for (int i = 0; i < CONTROLS; i++)
    {
      request_t *r = request_new (w, 0);
      r->control = i;
      r->final = true;
      r->until = w->now + FINAL_READ_TIME;
      snprintf (r->to, sizeof r->to, "%s", w->control_http[i]->listen);
      send_request (r);
    }
}
