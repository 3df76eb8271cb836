/* field - parses a YAML map into a struct, driven by a table of its keys
   (internal to lib/conf).  */

#ifndef FIELD_H
#define FIELD_H

#include "node.h"

typedef enum
{
  FIELD_NAME,     /* str_t: letters, digits, '.', '_' and '-' */
  FIELD_NAMES,    /* list of names */
  FIELD_ADDRESS,  /* str_t: IP-NUMBER:PORT */
  FIELD_PATH,     /* str_t: a file name */
  FIELD_INT,      /* int */
  FIELD_NUMBER,   /* double */
  FIELD_DURATION, /* msec_t */
  FIELD_AGE,      /* msec_t, or -1 for the word "none" */
  FIELD_BOOL,     /* bool: true or false */
  FIELD_ENUM,     /* int: index into WORDS */
  FIELD_MAP,      /* struct described by SUB */
  FIELD_LIST      /* list of structs described by SUB */
} field_type_t;

typedef struct table table_t;

typedef struct
{
  const char *key;
  field_type_t type;
  size_t off;    /* of the member; of the array pointer for a list */
  size_t noff;   /* of the element count of a list, a size_t */
  bool optional; /* the member keeps its default when the key is absent */
  int64_t min;   /* lowest value or number of elements; ms for durations */
  int64_t max;
  const char *const *words; /* ends with NULL */
  const table_t *sub;
} field_t;

struct table
{
  const field_t *fields; /* ends with a NULL key */
  size_t size;           /* bytes of the struct */
  const void *defaults;  /* struct that holds the default values, or NULL */
};

typedef struct
{
  apr_pool_t *pool;
  const char *file;
  err_t *err;
} check_t;

/* field_read: reads the map N into OUT, a struct of T->size bytes.  */
bool field_read (check_t *c, const table_t *t, const node_t *n, void *out);
/* field_unique: ERR_DUPLICATE_KEY if two of N strings are equal; they lie
   STRIDE bytes apart from FIRST on.  LIST gives the line numbers.  KEY is the
   key of the string in each element, or NULL if the elements are scalars.  */
bool field_unique (check_t *c, const node_t *list, const char *key,
                   const str_t *first, size_t n, size_t stride);

#endif
