/* node - a YAML document as a tree with line numbers (internal to
   lib/conf).  */

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
  str_t val;     /* scalar */
  node_t *key;   /* in a map: the key of this value */
  node_t *child; /* first child */
  node_t *last;  /* last child */
  node_t *next;  /* next sibling */
  size_t n;      /* number of children */
};

/* node_parse: parses TEXT, a single document whose root is a map.  Anchors,
   aliases, tags, merge keys and further documents are rejected (ERR_SYNTAX),
   as are duplicate keys (ERR_DUPLICATE_KEY).  */
node_t *node_parse (apr_pool_t *pool, const char *file, str_t text, err_t *e);
/* node_get: value of KEY in the map N, or NULL.  */
node_t *node_get (const node_t *n, const char *key);
/* node_line: line of the value of KEY in the map N, or of N if there is
   none.  */
int node_line (const node_t *n, const char *key);
/* node_at: element I of the list N, or NULL.  */
node_t *node_at (const node_t *n, size_t i);

/* conf_err: err_set with a line number; returns false.  */
bool conf_err (err_t *e, errcode_t code, const char *file, int line,
               const char *fmt, ...) __attribute__ ((format (printf, 5, 6)));

#endif
