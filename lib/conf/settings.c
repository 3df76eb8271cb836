#include "conf.h"

#include "field.h"

#include <stddef.h>

static const char *const roles[] = { "entry", "control", NULL };
static const char *const levels[]
    = { "emergency", "alert", "critical", "error", "warning",
        "notice",    "info",  "debug",    NULL };

#define AT(member) .off = offsetof (settings_t, member)

static const field_t peer_fields[] = {
  { "name", FIELD_NAME, .off = offsetof (peer_t, name) },
  { "address", FIELD_ADDRESS, .off = offsetof (peer_t, address) },
  { 0 },
};

static const table_t peer_table
    = { .fields = peer_fields, .size = sizeof (peer_t) };

static const field_t fields[] = {
  { "role", FIELD_ENUM, AT (role), .words = roles },
  { "name", FIELD_NAME, AT (name) },
  { "availability_zone", FIELD_NAME, AT (zone) },
  { "listen", FIELD_ADDRESS, AT (listen) },
  { "health", FIELD_ADDRESS, AT (health) },
  { "control", FIELD_LIST, AT (peers), .noff = offsetof (settings_t, npeers),
    .min = 1, .max = 5, .sub = &peer_table },
  { "data", FIELD_PATH, AT (data), .optional = true },
  { "log_level", FIELD_ENUM, AT (log_level), .optional = true,
    .words = levels },
  { "workers", FIELD_INT, AT (workers), .optional = true, .min = 1,
    .max = 64 },
  { 0 },
};

static const settings_t defaults = { .log_level = 6, .workers = 1 };
static const table_t settings_table
    = { .fields = fields, .size = sizeof (settings_t), .defaults = &defaults };

const char *
conf_role_name (role_t r)
{
  return roles[r];
}

static bool
is_peer (const settings_t *s)
{
  for (size_t i = 0; i < s->npeers; i++)
    if (str_eq (s->peers[i].name, s->name))
      return true;
  return false;
}

static bool
check_role (check_t *c, const node_t *n, const settings_t *s)
{
  bool control = s->role == ROLE_CONTROL;

  if (control && s->data.n == 0)
    return conf_err (c->err, ERR_MISSING_KEY, c->file, n->line,
                     "'data', which role control needs");
  if (!control && s->data.n)
    return conf_err (c->err, ERR_UNKNOWN_KEY, c->file, node_line (n, "data"),
                     "'data' applies to role control only");
  if (control && node_get (n, "workers"))
    return conf_err (c->err, ERR_UNKNOWN_KEY, c->file,
                     node_line (n, "workers"),
                     "'workers' applies to role entry only");
  if (control && !is_peer (s))
    return conf_err (c->err, ERR_REFERENCE, c->file, node_line (n, "control"),
                     "the list lacks this instance, '" STR_FMT "'",
                     STR_ARG (s->name));
  return true;
}

static bool
check_settings (check_t *c, const node_t *n, const settings_t *s)
{
  const node_t *list = node_get (n, "control");

  if (str_eq (s->listen, s->health))
    return conf_err (c->err, ERR_DUPLICATE_KEY, c->file,
                     node_line (n, "health"),
                     "health and listen have the same address");
  return field_unique (c, list, "name", &s->peers->name, s->npeers,
                       sizeof *s->peers)
         && field_unique (c, list, "address", &s->peers->address, s->npeers,
                          sizeof *s->peers)
         && check_role (c, n, s);
}

settings_t *
settings_parse (apr_pool_t *pool, const char *file, str_t text, err_t *e)
{
  check_t c = { pool, file, e };
  settings_t *s = apr_pcalloc (pool, sizeof *s);
  node_t *n = node_parse (pool, file, text, e);

  if (n == NULL || !field_read (&c, &settings_table, n, s)
      || !check_settings (&c, n, s))
    return NULL;
  return s;
}

settings_t *
settings_load (apr_pool_t *pool, const char *path, err_t *e)
{
  str_t text;

  if (!conf_read_file (pool, path, &text, e))
    return NULL;
  return settings_parse (pool, path, text, e);
}

static void
add_path (buf_t *b, str_t path)
{
  buf_adds (b, STR ("data: \""));
  for (size_t i = 0; i < path.n; i++)
    {
      if (path.p[i] == '"' || path.p[i] == '\\')
        buf_adds (b, STR ("\\"));
      buf_add (b, path.p + i, 1);
    }
  buf_adds (b, STR ("\"\n"));
}

str_t
settings_text (apr_pool_t *pool, const settings_t *s)
{
  buf_t b;
  str_t out;

  buf_init (&b);
  buf_fmt (&b,
           "role: %s\nname: " STR_FMT "\navailability_zone: " STR_FMT
           "\nlisten: " STR_FMT "\nhealth: " STR_FMT "\ncontrol:\n",
           roles[s->role], STR_ARG (s->name), STR_ARG (s->zone),
           STR_ARG (s->listen), STR_ARG (s->health));
  for (size_t i = 0; i < s->npeers; i++)
    buf_fmt (&b, "  - name: " STR_FMT "\n    address: " STR_FMT "\n",
             STR_ARG (s->peers[i].name), STR_ARG (s->peers[i].address));
  if (s->role == ROLE_CONTROL)
    add_path (&b, s->data);
  else
    buf_fmt (&b, "workers: %d\n", s->workers);
  buf_fmt (&b, "log_level: %s\n", levels[s->log_level]);
  out = str_dup (pool, buf_str (&b));
  buf_free (&b);
  return out;
}
