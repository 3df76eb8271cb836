/* field - tables of keys that turn a map of a YAML text into a struct
   (internal to lib/conf).  */

#ifndef FIELD_H
#define FIELD_H

#include "node.h"

typedef enum
{
  FIELD_NAME,     /* str_t: letters, digits, '.', '_' and '-' */
  FIELD_NAMES,    /* list of names */
  FIELD_ADDRESS,  /* str_t: IP-NUMBER:PORT */
  FIELD_PATH,     /* str_t */
  FIELD_INT,      /* int */
  FIELD_NUMBER,   /* double */
  FIELD_DURATION, /* msec_t */
  FIELD_AGE,      /* msec_t, or -1 for the word "none" */
  FIELD_BOOL,     /* bool: true or false */
  FIELD_WORD,     /* int: place in WORDS */
  FIELD_MAP,      /* struct by SUB */
  FIELD_LIST      /* list of structs by SUB */
} field_type_t;

typedef struct table table_t;

typedef struct
{
  const char *key;
  field_type_t type;
  size_t off;    /* of the member; for lists of the pointer */
  size_t noff;   /* of the number of elements of a list (size_t) */
  bool optional; /* the member keeps its present value when absent */
  int64_t min;   /* smallest value or number of elements */
  int64_t max;
  const char *const *words; /* ends with NULL */
  const table_t *sub;
} field_t;

struct table
{
  const field_t *fields; /* ends with a NULL key */
  size_t size;           /* bytes of the struct */
  const void *defaults;  /* struct with the values of absent keys, or NULL */
};

typedef struct
{
  apr_pool_t *pool;
  const char *file;
  err_t *err;
} check_t;

/* field_read: fills OUT, a struct of T's size, from the map N.  */
bool field_read (check_t *c, const table_t *t, const node_t *n, void *out);
/* field_unique: ERR_DUPLICATE_KEY when two of the N strings, STRIDE bytes
   apart from FIRST on, are the same.  LIST has the lines; KEY is the key of
   the string in each element or NULL when the elements are scalars.  */
bool field_unique (check_t *c, const node_t *list, const char *key,
                   const str_t *first, size_t n, size_t stride);

#endif
