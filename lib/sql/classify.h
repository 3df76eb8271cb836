/* classify - parse tree of one statement text to its class.  */

#ifndef CLASSIFY_H
#define CLASSIFY_H

#include "sql.h"

/* sql_parse: classifies the NUL-terminated TEXT without a cache.  Strings of
   OUT are allocated in POOL.  */
void sql_parse (apr_pool_t *pool, const char *text, sql_t *out);

#endif
