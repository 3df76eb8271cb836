#include "soak.h"

#include <string.h>

/* The platform's HTTP call that promotes a database.  */

static const char *
text_field (const char *body, const char *key, char *out)
{
  const char *p = strstr (body, key);

  out[0] = '\0';
  p = p ? strchr (p + strlen (key), ':') : NULL;
  p = p ? strchr (p, '"') : NULL;
  if (p)
    snprintf (out, NAME, "%.*s", (int)strcspn (p + 1, "\""), p + 1);
  return out;
}

/* A fence token belongs to one holder; a call with an older token is
   refused.  */
static bool
fenced (service_t *s, const http_conn_t *h)
{
  if (h->token == s->token && s->holder[0]
      && strcmp (s->holder, h->holder) != 0)
    finding (s->world, "ONE", "%s and %s used token %lld for %s", s->holder,
             h->holder, (long long)h->token, s->name);
  if (h->token < s->token)
    return true;
  s->token = h->token;
  snprintf (s->holder, NAME, "%s", h->holder);
  return false;
}

static void
check_reason (service_t *s, const db_t *to)
{
  db_t *p = service_primary (s);

  if (p && p->up && p != to && !p->draining
      && settled (s->world, s->world->now))
    finding (s->world, "NEEDLESS", "%s is replaced by %s without a fault",
             p->id, to->id);
}

static void
serve (void *arg, void *request)
{
  world_t *w = arg;
  http_conn_t *h = request;
  char service[NAME], id[NAME];
  db_t *d = NULL;

  text_field (h->body.p + h->body.off, "\"service\"", service);
  text_field (h->body.p + h->body.off, "\"id\"", id);
  for (int i = 0; i < SERVICES * DBS; i++)
    if (strcmp (w->service[i / DBS].db[i % DBS].id, id) == 0)
      d = &w->service[i / DBS].db[i % DBS];
  note (w, "promote %s %s by %s token %lld", service, id, h->holder,
        (long long)h->token);
  if (w->promoter_down_until > w->now)
    http_reply (h, 503);
  else if (d == NULL || strcmp (d->service->name, service) != 0)
    http_reply (h, 409);
  else if (fenced (d->service, h) || !d->up)
    http_reply (h, 409);
  else
    {
      service_t *s = d->service;
      http_reply (h, 200);
      if (db_is_primary (d) || s->candidate == d)
        return;
      check_reason (s, d);
      s->candidate = d;
      s->promote_at = w->now + 400;
    }
}

void
promoter_new (world_t *w)
{
  char own[NAME];

  address (w, own, 90, 28783);
  http_serve (w, own, serve, w);
}
