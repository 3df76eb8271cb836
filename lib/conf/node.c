#include "node.h"

#include "conf.h"

#include <stdio.h>
#include <string.h>
#include <yaml.h>

enum
{
  /* A questionnaire has four levels.  The limit bounds the recursion of
     read_node.  */
  MAX_DEPTH = 8,
  /* No valid map has this many keys; the search for duplicates is
     quadratic.  */
  MAX_KEYS = 64
};

typedef struct
{
  apr_pool_t *pool;
  const char *file;
  err_t *err;
  yaml_parser_t yaml;
} reader_t;

bool
conf_err (err_t *e, errcode_t code, const char *file, int line,
          const char *fmt, ...)
{
  char text[sizeof e->detail];
  va_list ap;

  va_start (ap, fmt);
  vsnprintf (text, sizeof text, fmt, ap);
  va_end (ap);
  err_set (e, code, file, "%s", text);
  if (e)
    e->line = line;
  return false;
}

static int
line_of (yaml_mark_t m)
{
  return (int)m.line + 1;
}

static bool
next_event (reader_t *r, yaml_event_t *ev)
{
  if (yaml_parser_parse (&r->yaml, ev))
    return true;
  /* libyaml's reader reports an encoding error before it sets a mark.  */
  conf_err (r->err,
            r->yaml.error == YAML_MEMORY_ERROR ? ERR_NOMEM : ERR_SYNTAX,
            r->file, line_of (r->yaml.problem_mark), "%s",
            r->yaml.problem ? r->yaml.problem : "not YAML");
  return false;
}

static bool
check_plain (reader_t *r, const yaml_event_t *ev)
{
  const yaml_char_t *anchor = NULL;
  const yaml_char_t *tag = NULL;

  switch (ev->type)
    {
    case YAML_SCALAR_EVENT:
      anchor = ev->data.scalar.anchor;
      tag = ev->data.scalar.tag;
      break;
    case YAML_SEQUENCE_START_EVENT:
      anchor = ev->data.sequence_start.anchor;
      tag = ev->data.sequence_start.tag;
      break;
    case YAML_MAPPING_START_EVENT:
      anchor = ev->data.mapping_start.anchor;
      tag = ev->data.mapping_start.tag;
      break;
    default:
      return conf_err (r->err, ERR_SYNTAX, r->file, line_of (ev->start_mark),
                       "aliases are not supported");
    }
  if (anchor || tag)
    return conf_err (r->err, ERR_SYNTAX, r->file, line_of (ev->start_mark),
                     "anchors and tags are not supported");
  return true;
}

static node_t *
new_node (reader_t *r, const yaml_event_t *ev)
{
  node_t *n = apr_pcalloc (r->pool, sizeof *n);

  n->line = line_of (ev->start_mark);
  n->kind = ev->type == YAML_SCALAR_EVENT           ? NODE_SCALAR
            : ev->type == YAML_SEQUENCE_START_EVENT ? NODE_LIST
                                                    : NODE_MAP;
  if (n->kind == NODE_SCALAR)
    n->val = str_dup (r->pool, (str_t){ (char *)ev->data.scalar.value,
                                        ev->data.scalar.length });
  return n;
}

static void
append (node_t *parent, node_t *n)
{
  if (parent->last)
    parent->last->next = n;
  else
    parent->child = n;
  parent->last = n;
  parent->n++;
}

static bool
add_key (reader_t *r, const node_t *map, const node_t *key)
{
  if (key->kind != NODE_SCALAR)
    return conf_err (r->err, ERR_BAD_TYPE, r->file, key->line,
                     "a key must be a word");
  if (map->n >= MAX_KEYS)
    return conf_err (r->err, ERR_TOO_LARGE, r->file, key->line,
                     "more than %d keys", MAX_KEYS);
  for (node_t *c = map->child; c; c = c->next)
    if (str_eq (c->key->val, key->val))
      return conf_err (r->err, ERR_DUPLICATE_KEY, r->file, key->line,
                       "'%.60s' was given in line %d", key->val.p,
                       c->key->line);
  return true;
}

static node_t *read_node (reader_t *r, const yaml_event_t *ev, int depth);

/* Reads the node that starts at the next event.  At the end of a collection,
   returns true with N set to NULL.  */
static bool
read_next (reader_t *r, int depth, node_t **n)
{
  yaml_event_t ev;

  *n = NULL;
  if (!next_event (r, &ev))
    return false;
  bool end = ev.type == YAML_SEQUENCE_END_EVENT
             || ev.type == YAML_MAPPING_END_EVENT;
  if (!end)
    *n = read_node (r, &ev, depth);
  yaml_event_delete (&ev);
  return end || *n;
}

static bool
read_children (reader_t *r, node_t *parent, int depth)
{
  node_t *n;
  node_t *key;

  for (;;)
    {
      if (!read_next (r, depth, &n))
        return false;
      if (n == NULL)
        return true;
      if (parent->kind == NODE_MAP)
        {
          key = n;
          if (!add_key (r, parent, key) || !read_next (r, depth, &n))
            return false;
          if (n == NULL)
            return conf_err (r->err, ERR_SYNTAX, r->file, key->line,
                             "key without value");
          n->key = key;
        }
      append (parent, n);
    }
}

static node_t *
read_node (reader_t *r, const yaml_event_t *ev, int depth)
{
  if (!check_plain (r, ev))
    return NULL;
  if (depth > MAX_DEPTH)
    {
      conf_err (r->err, ERR_SYNTAX, r->file, line_of (ev->start_mark),
                "nested more than %d levels", MAX_DEPTH);
      return NULL;
    }
  node_t *n = new_node (r, ev);
  if (n->kind != NODE_SCALAR && !read_children (r, n, depth + 1))
    return NULL;
  return n;
}

static bool
expect (reader_t *r, yaml_event_type_t type, const char *what)
{
  yaml_event_t ev;

  if (!next_event (r, &ev))
    return false;
  bool ok = ev.type == type;
  int line = line_of (ev.start_mark);
  yaml_event_delete (&ev);
  return ok || conf_err (r->err, ERR_SYNTAX, r->file, line, "%s", what);
}

static node_t *
read_document (reader_t *r)
{
  node_t *root;

  if (!expect (r, YAML_STREAM_START_EVENT, "not YAML")
      || !expect (r, YAML_DOCUMENT_START_EVENT, "the text is empty")
      || !read_next (r, 0, &root)
      || !expect (r, YAML_DOCUMENT_END_EVENT, "not YAML")
      || !expect (r, YAML_STREAM_END_EVENT, "more than one document"))
    return NULL;
  if (root == NULL || root->kind != NODE_MAP)
    {
      conf_err (r->err, ERR_BAD_TYPE, r->file, root ? root->line : 1,
                "expected keys and values");
      return NULL;
    }
  return root;
}

node_t *
node_parse (apr_pool_t *pool, const char *file, str_t text, err_t *e)
{
  reader_t r = { .pool = pool, .file = file, .err = e };
  node_t *root;

  if (text.n > CONF_MAX_TEXT)
    {
      conf_err (e, ERR_TOO_LARGE, file, 0, "%zu bytes, at most %d", text.n,
                CONF_MAX_TEXT);
      return NULL;
    }
  if (!yaml_parser_initialize (&r.yaml))
    {
      err_set (e, ERR_NOMEM, file, "no memory for the YAML parser");
      return NULL;
    }
  yaml_parser_set_input_string (
      &r.yaml, (const unsigned char *)(text.p ? text.p : ""), text.n);
  yaml_parser_set_encoding (&r.yaml, YAML_UTF8_ENCODING);
  root = read_document (&r);
  yaml_parser_delete (&r.yaml);
  return root;
}

node_t *
node_get (const node_t *n, const char *key)
{
  for (node_t *c = n->child; c; c = c->next)
    if (c->key && str_eq (c->key->val, str_of (key)))
      return c;
  return NULL;
}

int
node_line (const node_t *n, const char *key)
{
  const node_t *c = node_get (n, key);

  return c ? c->line : n->line;
}

node_t *
node_at (const node_t *n, size_t i)
{
  node_t *c = n->child;

  while (c && i--)
    c = c->next;
  return c;
}
