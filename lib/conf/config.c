#include "conf.h"

static void
add_groups (buf_t *b, const config_t *c)
{
  buf_adds (b, STR ("groups:\n"));
  for (size_t i = 0; i < c->ngroups; i++)
    {
      const cfg_group_t *g = &c->groups[i];
      buf_fmt (b,
               "  - name: " STR_FMT "\n    databases: %d\n    slots: %d\n"
               "    connections: %d\n    connect_time: %lldms\n",
               STR_ARG (g->name), g->databases, g->slots, g->connections,
               (long long)g->connect_time);
    }
}

static void
add_instances (buf_t *b, const config_t *c)
{
  buf_adds (b, STR ("instances:\n"));
  for (size_t i = 0; i < c->ninstances; i++)
    {
      const cfg_instance_t *in = &c->instances[i];
      buf_fmt (b,
               "  - name: " STR_FMT
               "\n    role: %s\n    availability_zone: " STR_FMT
               "\n    address: " STR_FMT "\n    health: " STR_FMT "\n",
               STR_ARG (in->name), conf_role_name (in->role),
               STR_ARG (in->zone), STR_ARG (in->address),
               STR_ARG (in->health));
    }
}

static void
add_kinds (buf_t *b, const config_t *c)
{
  buf_adds (b, STR ("request_kinds:\n"));
  for (size_t i = 0; i < c->nkinds; i++)
    {
      const cfg_kind_t *k = &c->kinds[i];
      buf_fmt (b,
               "  - name: " STR_FMT "\n    worth: %.15g\n"
               "    deadline: %lldms\n",
               STR_ARG (k->name), k->worth, (long long)k->deadline);
      if (k->max_age < 0)
        buf_adds (b, STR ("    max_age: none\n"));
      else
        buf_fmt (b, "    max_age: %lldms\n", (long long)k->max_age);
      buf_fmt (b, "    repeatable: %s\n    key: %s\n    effect: %s\n",
               k->repeatable ? "true" : "false", k->key ? "required" : "none",
               k->effect == EFFECT_WRITE ? "write" : "read");
    }
}

str_t
config_text (apr_pool_t *pool, const config_t *c)
{
  buf_t b;
  str_t out;

  buf_init (&b);
  buf_fmt (&b, "team: " STR_FMT "\nregion: " STR_FMT "\n", STR_ARG (c->team),
           STR_ARG (c->region));
  buf_adds (&b, STR ("availability_zones:\n"));
  for (size_t i = 0; i < c->nzones; i++)
    buf_fmt (&b, "  - " STR_FMT "\n", STR_ARG (c->zones[i]));
  add_groups (&b, c);
  add_instances (&b, c);
  add_kinds (&b, c);
  buf_fmt (&b,
           "limits:\n  queue: %d\n  session_requests: %d\n"
           "  session_window: %lldms\n",
           c->limits.queue, c->limits.session_requests,
           (long long)c->limits.session_window);
  out = str_dup (pool, buf_str (&b));
  buf_free (&b);
  return out;
}

bool
config_generate (apr_pool_t *pool, const char *file, str_t text, str_t *out,
                 err_t *e)
{
  config_t *c = questionnaire_parse (pool, file, text, e);

  if (c == NULL)
    return false;
  *out = config_text (pool, c);
  return true;
}

config_t *
config_parse (apr_pool_t *pool, str_t text, err_t *e)
{
  config_t *c = questionnaire_parse (pool, "configuration", text, e);

  if (c && !str_eq (config_text (pool, c), text))
    {
      err_set (e, ERR_SYNTAX, "configuration", "not in canonical form");
      return NULL;
    }
  return c;
}

const cfg_group_t *
config_group (const config_t *c, str_t name)
{
  for (size_t i = 0; i < c->ngroups; i++)
    if (str_eq (c->groups[i].name, name))
      return &c->groups[i];
  return NULL;
}

const cfg_kind_t *
config_kind (const config_t *c, str_t name)
{
  for (size_t i = 0; i < c->nkinds; i++)
    if (str_eq (c->kinds[i].name, name))
      return &c->kinds[i];
  return NULL;
}

const cfg_instance_t *
config_instance (const config_t *c, str_t name)
{
  for (size_t i = 0; i < c->ninstances; i++)
    if (str_eq (c->instances[i].name, name))
      return &c->instances[i];
  return NULL;
}

settings_t *
config_settings (apr_pool_t *pool, const config_t *c, const cfg_instance_t *i,
                 const char *data)
{
  settings_t *s = apr_pcalloc (pool, sizeof *s);

  *s = (settings_t){ .role = i->role,
                     .name = i->name,
                     .zone = i->zone,
                     .listen = i->address,
                     .health = i->health,
                     .log_level = 6,
                     .workers = 1 };
  s->peers = apr_pcalloc (pool, (c->ncontrol + 1) * sizeof *s->peers);
  for (size_t k = 0; k < c->ninstances; k++)
    if (c->instances[k].role == ROLE_CONTROL)
      s->peers[s->npeers++]
          = (peer_t){ c->instances[k].name, c->instances[k].address };
  if (i->role == ROLE_CONTROL)
    s->data = str_fmt (pool, "%s/" STR_FMT, data, STR_ARG (i->name));
  return s;
}
