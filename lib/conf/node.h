/* node - a YAML text as a tree with line numbers (internal to lib/conf).  */

#ifndef NODE_H
#define NODE_H

#include "base.h"

typedef enum
{
  NODE_SCALAR,
  NODE_LIST,
  NODE_MAP
} node_kind_t;

typedef struct node node_t;

struct node
{
  node_kind_t kind;
  int line;
  str_t val;   /* scalar */
  node_t *key; /* in a map: the scalar before this value */
  node_t *child;
  node_t *last;
  node_t *next;
  size_t n; /* children */
};

/* node_parse: the one document in TEXT, whose root is a map.  Anchors,
   aliases, tags, merge keys and further documents are refused (ERR_SYNTAX),
   and so are duplicate keys (ERR_DUPLICATE_KEY).  */
node_t *node_parse (apr_pool_t *pool, const char *file, str_t text, err_t *e);
/* node_get: value of KEY in the map N, or NULL.  */
node_t *node_get (const node_t *n, const char *key);
/* node_line: line of KEY in the map N, else of N.  */
int node_line (const node_t *n, const char *key);
/* node_at: element I of the list N.  */
node_t *node_at (const node_t *n, size_t i);

/* conf_err: err_set with a line; returns false.  */
bool conf_err (err_t *e, errcode_t code, const char *file, int line,
               const char *fmt, ...) __attribute__ ((format (printf, 5, 6)));

#endif
