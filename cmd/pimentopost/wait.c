#include "tool.h"

#include <stdlib.h>
#include <string.h>
#include <yaml.h>

enum
{
  POLL = 50 /* ms between two queries */
};

/* JSON is read with the YAML parser, of which it is a subset.  */
static const yaml_node_t *
get (yaml_document_t *d, const yaml_node_t *map, const char *key)
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
get_int (yaml_document_t *d, const yaml_node_t *map, const char *key)
{
  const yaml_node_t *n = get (d, map, key);
  int64_t v = -1;

  if (n && n->type == YAML_SCALAR_NODE)
    str_int (str_of ((const char *)n->data.scalar.value), &v);
  return v;
}

static bool
is_true (yaml_document_t *d, const yaml_node_t *map, const char *key)
{
  const yaml_node_t *n = get (d, map, key);

  return n && n->type == YAML_SCALAR_NODE
         && strcmp ((const char *)n->data.scalar.value, "true") == 0;
}

/* Reachable instances that are behind VERSION; -1 when the answer has no
   list of instances.  */
static int
behind (yaml_document_t *d, int64_t version)
{
  const yaml_node_t *root = yaml_document_get_root_node (d);
  const yaml_node_t *list = get (d, root, "instances");
  int n = 0;

  if (list == NULL || list->type != YAML_SEQUENCE_NODE)
    return -1;
  for (yaml_node_item_t *i = list->data.sequence.items.start;
       i < list->data.sequence.items.top; i++)
    {
      const yaml_node_t *in = yaml_document_get_node (d, *i);
      n += is_true (d, in, "reachable")
           && get_int (d, in, "version") < version;
    }
  return n;
}

static int
count_behind (str_t json, int64_t version)
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
      n = behind (&d, version);
      yaml_document_delete (&d);
    }
  yaml_parser_delete (&p);
  return n;
}

bool
wait_in_force (tool_t *t, int64_t version, msec_t until, err_t *e)
{
  query_t q = { .what = STR ("status"), .json = true };
  int n = -1;

  while (msec_now () < until)
    {
      query_resp_t *r = call_query (t, &q, until, e);
      if (r == NULL)
        return false;
      n = r->ok ? count_behind (r->text, version) : -1;
      if (n == 0)
        return true;
      msec_sleep (POLL);
    }
  return err_set (e, ERR_TIMEOUT, "submission",
                  n < 0 ? "accepted, but the status lists no instances"
                        : "accepted, but %d reachable instances are behind",
                  n);
}
