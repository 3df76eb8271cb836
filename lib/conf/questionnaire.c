#include "conf.h"

#include "field.h"

#include <stddef.h>
#include <stdlib.h>

enum
{
  /* One control cell serves one team of about nine instances.  The limits
     leave room for growth and keep all checks cheap.  */
  MAX_ZONES = 16,
  MAX_GROUPS = 64,
  MAX_INSTANCES = 64,
  MAX_KINDS = 64
};

static const char *const roles[] = { "entry", "control", NULL };
static const char *const keys[] = { "none", "required", NULL };
static const char *const effects[] = { "read", "write", NULL };

#define AT(type, member) .off = offsetof (type, member)

static const field_t group_fields[] = {
  { "name", FIELD_NAME, AT (cfg_group_t, name) },
  { "databases", FIELD_INT, AT (cfg_group_t, databases), .min = 3, .max = 9 },
  { "slots", FIELD_INT, AT (cfg_group_t, slots), .min = 1, .max = 1000 },
  { "connections", FIELD_INT, AT (cfg_group_t, connections), .min = 5,
    .max = 100000 },
  { "connect_time", FIELD_DURATION, AT (cfg_group_t, connect_time), .min = 0,
    .max = 60000 },
  { 0 },
};

static const field_t instance_fields[] = {
  { "name", FIELD_NAME, AT (cfg_instance_t, name) },
  { "role", FIELD_ENUM, AT (cfg_instance_t, role), .words = roles },
  { "availability_zone", FIELD_NAME, AT (cfg_instance_t, zone) },
  { "address", FIELD_ADDRESS, AT (cfg_instance_t, address) },
  { "health", FIELD_ADDRESS, AT (cfg_instance_t, health) },
  { 0 },
};

/* FIELD_ENUM stores an int, but cfg_kind_t.key is a bool.  */
typedef struct
{
  cfg_kind_t kind;
  int key;
} kind_row_t;

static const field_t kind_fields[] = {
  { "name", FIELD_NAME, AT (kind_row_t, kind.name) },
  { "worth", FIELD_NUMBER, AT (kind_row_t, kind.worth), .min = 0,
    .max = 1000000 },
  { "deadline", FIELD_DURATION, AT (kind_row_t, kind.deadline), .min = 1,
    .max = 600000 },
  { "max_age", FIELD_AGE, AT (kind_row_t, kind.max_age), .optional = true,
    .min = 1, .max = 86400000 },
  { "repeatable", FIELD_BOOL, AT (kind_row_t, kind.repeatable),
    .optional = true },
  { "key", FIELD_ENUM, AT (kind_row_t, key), .optional = true, .words = keys },
  { "effect", FIELD_ENUM, AT (kind_row_t, kind.effect), .words = effects },
  { 0 },
};

static const field_t limit_fields[] = {
  { "queue", FIELD_INT, AT (cfg_limits_t, queue), .optional = true, .min = 1,
    .max = 65536 },
  { "session_requests", FIELD_INT, AT (cfg_limits_t, session_requests),
    .optional = true, .min = 0, .max = 1000000 },
  { "session_window", FIELD_DURATION, AT (cfg_limits_t, session_window),
    .optional = true, .min = 100, .max = 3600000 },
  { 0 },
};

static const kind_row_t kind_defaults = { .kind.max_age = -1 };
static const cfg_limits_t limit_defaults
    = { .queue = CONF_DEFAULT_QUEUE, .session_window = CONF_DEFAULT_WINDOW };

static const table_t groups = { group_fields, sizeof (cfg_group_t), NULL };
static const table_t instances
    = { instance_fields, sizeof (cfg_instance_t), NULL };
static const table_t kinds
    = { kind_fields, sizeof (kind_row_t), &kind_defaults };
static const table_t limits
    = { limit_fields, sizeof (cfg_limits_t), &limit_defaults };

typedef struct
{
  config_t c;
  kind_row_t *rows;
} answers_t;

#define LIST_OF(member, count)                                                \
  .off = offsetof (answers_t, c.member), .noff = offsetof (answers_t, c.count)

static const field_t fields[] = {
  { "team", FIELD_NAME, AT (answers_t, c.team) },
  { "region", FIELD_NAME, AT (answers_t, c.region) },
  { "availability_zones", FIELD_NAMES, LIST_OF (zones, nzones), .min = 1,
    .max = MAX_ZONES },
  { "groups", FIELD_LIST, LIST_OF (groups, ngroups), .min = 1,
    .max = MAX_GROUPS, .sub = &groups },
  { "instances", FIELD_LIST, LIST_OF (instances, ninstances), .min = 4,
    .max = MAX_INSTANCES, .sub = &instances },
  { "request_kinds", FIELD_LIST, AT (answers_t, rows),
    .noff = offsetof (answers_t, c.nkinds), .min = 1, .max = MAX_KINDS,
    .sub = &kinds },
  { "limits", FIELD_MAP, AT (answers_t, c.limits), .optional = true,
    .sub = &limits },
  { 0 },
};

static const answers_t defaults
    = { .c.limits = { .queue = CONF_DEFAULT_QUEUE,
                      .session_window = CONF_DEFAULT_WINDOW } };
static const table_t questionnaire = { fields, sizeof (answers_t), &defaults };

static bool
unique_names (check_t *k, const node_t *n, const config_t *c)
{
  return field_unique (k, node_get (n, "availability_zones"), NULL, c->zones,
                       c->nzones, sizeof *c->zones)
         && field_unique (k, node_get (n, "groups"), "name", &c->groups->name,
                          c->ngroups, sizeof *c->groups)
         && field_unique (k, node_get (n, "instances"), "name",
                          &c->instances->name, c->ninstances,
                          sizeof *c->instances)
         && field_unique (k, node_get (n, "instances"), "address",
                          &c->instances->address, c->ninstances,
                          sizeof *c->instances)
         && field_unique (k, node_get (n, "instances"), "health",
                          &c->instances->health, c->ninstances,
                          sizeof *c->instances)
         && field_unique (k, node_get (n, "request_kinds"), "name",
                          &c->kinds->name, c->nkinds, sizeof *c->kinds);
}

static bool
has_zone (const config_t *c, str_t zone)
{
  for (size_t i = 0; i < c->nzones; i++)
    if (str_eq (c->zones[i], zone))
      return true;
  return false;
}

static size_t
controls_in (const config_t *c, str_t zone)
{
  size_t n = 0;

  for (size_t i = 0; i < c->ninstances; i++)
    n += c->instances[i].role == ROLE_CONTROL
         && str_eq (c->instances[i].zone, zone);
  return n;
}

static bool
check_instance (check_t *k, const node_t *list, const config_t *c, size_t i)
{
  const cfg_instance_t *in = &c->instances[i];
  const node_t *n = node_at (list, i);

  if (!has_zone (c, in->zone))
    return conf_err (
        k->err, ERR_REFERENCE, k->file, node_line (n, "availability_zone"),
        "availability zone '" STR_FMT "' is not listed", STR_ARG (in->zone));
  for (size_t j = 0; j < c->ninstances; j++)
    if (str_eq (in->health, c->instances[j].address))
      return conf_err (
          k->err, ERR_DUPLICATE_KEY, k->file, node_line (n, "health"),
          "'" STR_FMT "' is the address of instance '" STR_FMT "'",
          STR_ARG (in->health), STR_ARG (c->instances[j].name));
  if (in->role == ROLE_CONTROL && 2 * controls_in (c, in->zone) > c->ncontrol)
    return conf_err (k->err, ERR_RANGE, k->file,
                     node_line (n, "availability_zone"),
                     "availability zone '" STR_FMT
                     "' holds a majority of the control instances",
                     STR_ARG (in->zone));
  return true;
}

static bool
check_instances (check_t *k, const node_t *n, config_t *c)
{
  const node_t *list = node_get (n, "instances");

  for (size_t i = 0; i < c->ninstances; i++)
    c->ncontrol += c->instances[i].role == ROLE_CONTROL;
  c->nentry = c->ninstances - c->ncontrol;
  if (c->ncontrol != 3 && c->ncontrol != 5)
    return conf_err (k->err, ERR_RANGE, k->file, list->line,
                     "%zu control instances, must be 3 or 5", c->ncontrol);
  if (c->nentry == 0)
    return conf_err (k->err, ERR_RANGE, k->file, list->line,
                     "no entry instance");
  for (size_t i = 0; i < c->ninstances; i++)
    if (!check_instance (k, list, c, i))
      return false;
  return true;
}

static bool
check_groups (check_t *k, const node_t *n, config_t *c)
{
  const node_t *list = node_get (n, "groups");

  for (size_t i = 0; i < c->ngroups; i++)
    {
      cfg_group_t *g = &c->groups[i];
      const node_t *at = node_at (list, i);
      int need
          = CONF_CONTROL_CONNECTIONS + CONF_ENTRY_CONNECTIONS * (int)c->nentry;
      g->shared = g->connections - need;
      if (g->shared < 0)
        return conf_err (k->err, ERR_RANGE, k->file,
                         node_line (at, "connections"),
                         "connections is %d, but %d for control and %d for "
                         "each of %zu entry instances need %d",
                         g->connections, CONF_CONTROL_CONNECTIONS,
                         CONF_ENTRY_CONNECTIONS, c->nentry, need);
      if (g->slots > g->connections)
        return conf_err (k->err, ERR_RANGE, k->file, node_line (at, "slots"),
                         "slots is %d, more than the %d connections", g->slots,
                         g->connections);
    }
  return true;
}

static bool
check_kinds (check_t *k, const node_t *n, const config_t *c)
{
  const node_t *list = node_get (n, "request_kinds");

  for (size_t i = 0; i < c->nkinds; i++)
    {
      const cfg_kind_t *kind = &c->kinds[i];
      const node_t *at = node_at (list, i);
      if (kind->effect == EFFECT_WRITE && kind->max_age >= 0)
        return conf_err (k->err, ERR_RANGE, k->file, node_line (at, "max_age"),
                         "max_age applies to effect read only");
      if (kind->effect == EFFECT_READ && kind->key)
        return conf_err (k->err, ERR_RANGE, k->file, node_line (at, "key"),
                         "key applies to effect write only");
    }
  return true;
}

static int
by_name (const void *a, const void *b)
{
  return str_cmp (*(const str_t *)a, *(const str_t *)b);
}

/* by_name reads the name at offset 0.  */
_Static_assert(offsetof (cfg_group_t, name) == 0, "name first");
_Static_assert(offsetof (cfg_instance_t, name) == 0, "name first");
_Static_assert(offsetof (cfg_kind_t, name) == 0, "name first");

static void
sort_lists (config_t *c)
{
  qsort (c->zones, c->nzones, sizeof *c->zones, by_name);
  qsort (c->groups, c->ngroups, sizeof *c->groups, by_name);
  qsort (c->instances, c->ninstances, sizeof *c->instances, by_name);
  qsort (c->kinds, c->nkinds, sizeof *c->kinds, by_name);
}

static void
copy_kinds (apr_pool_t *pool, answers_t *a)
{
  a->c.kinds = apr_pcalloc (pool, (a->c.nkinds + 1) * sizeof *a->c.kinds);
  for (size_t i = 0; i < a->c.nkinds; i++)
    {
      a->c.kinds[i] = a->rows[i].kind;
      a->c.kinds[i].key = a->rows[i].key != 0;
    }
}

config_t *
questionnaire_parse (apr_pool_t *pool, const char *file, str_t text, err_t *e)
{
  check_t k = { pool, file, e };
  answers_t *a = apr_pcalloc (pool, sizeof *a);
  node_t *n = node_parse (pool, file, text, e);

  if (n == NULL || !field_read (&k, &questionnaire, n, a))
    return NULL;
  copy_kinds (pool, a);
  if (!unique_names (&k, n, &a->c) || !check_instances (&k, n, &a->c)
      || !check_groups (&k, n, &a->c) || !check_kinds (&k, n, &a->c))
    return NULL;
  sort_lists (&a->c);
  return &a->c;
}
