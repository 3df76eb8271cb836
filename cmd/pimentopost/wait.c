#include "tool.h"

#include <stdlib.h>
#include <string.h>
#include <yaml.h>

enum
{
  POLL_INTERVAL = 50, /* ms between two queries */
  /* ms.  Entry instances renew every 100 ms, and control learns of one that is
     new in the configuration by its first renewal.  */
  SETTLE_DELAY = 150,
  REACHABLE_AGE = 1000 /* ms since the last renewal of a reachable instance */
};

/* The value of KEY, or NULL.  The YAML parser reads the JSON answers, since
   JSON is a subset of YAML.  */
static const yaml_node_t *
map_get (yaml_document_t *d, const yaml_node_t *map, const char *key)
{
  if (map == NULL || map->type != YAML_MAPPING_NODE)
    return NULL;
  for (yaml_node_pair_t *p = map->data.mapping.pairs.start;
       p < map->data.mapping.pairs.top; p++)
    {
      const yaml_node_t *k = yaml_document_get_node (d, p->key);
      if (k && k->type == YAML_SCALAR_NODE
          && strcmp ((const char *)k->data.scalar.value, key) == 0)
        return yaml_document_get_node (d, p->value);
    }
  return NULL;
}

static int64_t
map_get_int (yaml_document_t *d, const yaml_node_t *map, const char *key)
{
  const yaml_node_t *n = map_get (d, map, key);
  int64_t v = -1;

  if (n && n->type == YAML_SCALAR_NODE)
    str_int (str_of ((const char *)n->data.scalar.value), &v);
  return v;
}

static bool
map_value_is (yaml_document_t *d, const yaml_node_t *map, const char *key,
              const char *value)
{
  const yaml_node_t *n = map_get (d, map, key);

  return n && n->type == YAML_SCALAR_NODE
         && strcmp ((const char *)n->data.scalar.value, value) == 0;
}

static bool
reachable (yaml_document_t *d, const yaml_node_t *row)
{
  int64_t renewed = map_get_int (d, row, "renewed_ms");

  return map_value_is (d, row, "state", "up")
         || (renewed >= 0 && renewed < REACHABLE_AGE);
}

/* Number of entry instances that are reachable and behind INDEX; -1 when the
   answer is not that of a leader, which alone receives their renewals.  */
static int
count_rows_behind (yaml_document_t *d, int64_t index)
{
  const yaml_node_t *rows = yaml_document_get_root_node (d);
  bool leader = false;
  int n = 0;

  if (rows == NULL || rows->type != YAML_SEQUENCE_NODE)
    return -1;
  for (yaml_node_item_t *i = rows->data.sequence.items.start;
       i < rows->data.sequence.items.top; i++)
    {
      const yaml_node_t *row = yaml_document_get_node (d, *i);
      leader = leader || map_value_is (d, row, "role", "leader");
      n += map_get (d, row, "entry") && reachable (d, row)
           && map_get_int (d, row, "config_index") < index;
    }
  return leader ? n : -1;
}

static int
count_behind (str_t json, int64_t index)
{
  yaml_parser_t p;
  yaml_document_t d;
  int n = -1;

  if (!yaml_parser_initialize (&p))
    return -1;
  yaml_parser_set_input_string (
      &p, (const unsigned char *)(json.p ? json.p : ""), json.n);
  if (yaml_parser_load (&p, &d))
    {
      n = count_rows_behind (&d, index);
      yaml_document_delete (&d);
    }
  yaml_parser_delete (&p);
  return n;
}

bool
wait_in_force (tool_t *t, int64_t index, msec_t until, err_t *e)
{
  query_t q = { .what = STR ("status"), .json = true };
  int n = -1;

  msec_sleep (SETTLE_DELAY);
  while (msec_now () < until)
    {
      query_resp_t *r = call_query (t, &q, until, e);
      if (r == NULL)
        return false;
      n = r->ok ? count_behind (r->text, index) : -1;
      if (n == 0)
        return true;
      msec_sleep (POLL_INTERVAL);
    }
  return err_set (
      e, ERR_TIMEOUT, "submission",
      n < 0 ? "accepted, but no leader reports which entry instances have it"
            : "accepted, but %d entry instances are behind",
      n);
}
