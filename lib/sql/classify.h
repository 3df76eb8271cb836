/* classify - class of a statement text from its parse tree.  */

#ifndef CLASSIFY_H
#define CLASSIFY_H

#include "sql.h"

/* sql_parse: classifies the NUL-terminated TEXT without a cache.  Strings of
   OUT are allocated in POOL.  */
void sql_parse (apr_pool_t *pool, const char *text, sql_t *out);

#endif
