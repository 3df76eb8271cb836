/* json - rows as text or JSON.  */

#ifndef JSON_H
#define JSON_H

#include "base.h"

/* Rows of fields: in text one line per row, in JSON an array of objects.  */
typedef struct
{
  buf_t b;
  bool json;
  int rows;
  int fields;
} rows_t;

void rows_init (rows_t *r, bool json);
void rows_begin (rows_t *r);
void rows_str (rows_t *r, const char *name, str_t value);
void rows_int (rows_t *r, const char *name, int64_t value);
void rows_bool (rows_t *r, const char *name, bool value);
void rows_end (rows_t *r);
/* rows_done: returns the text in POOL and frees the memory of R.  */
str_t rows_done (rows_t *r, apr_pool_t *pool);

#endif
