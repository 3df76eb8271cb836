/* sql - classifies statements with PostgreSQL's own parser (libpg_query)
   behind a bounded cache keyed by shape (the text without constants), and
   parses the hint comment at their start.  */

#ifndef SQL_H
#define SQL_H

#include "base.h"

typedef enum
{
  SQL_EMPTY, /* no statement */
  SQL_READ,  /* SELECT, VALUES, EXPLAIN and the like without side effects */
  SQL_WRITE, /* changes data or schema, or calls an unknown function */
  SQL_BEGIN, /* starts a read-write transaction block */
  SQL_BEGIN_READ_ONLY, /* starts a read-only transaction block */
  SQL_COMMIT,
  SQL_ROLLBACK,  /* ends the transaction block */
  SQL_SAVEPOINT, /* SAVEPOINT, RELEASE, ROLLBACK TO */
  SQL_SET,       /* changes the session setting NAME to VALUE */
  SQL_SET_LOCAL, /* changes a setting for the transaction */
  SQL_SHOW,      /* shows the setting NAME */
  SQL_RESET,     /* RESET name, RESET ALL, DISCARD ALL */
  SQL_PREPARE,   /* SQL-level PREPARE, EXECUTE, DEALLOCATE */
  SQL_COPY,
  SQL_SESSION,   /* needs a connection of its own: LISTEN, temporary tables,
                    session advisory locks, cursors WITH HOLD, ... */
  SQL_TWO_PHASE, /* PREPARE TRANSACTION, COMMIT PREPARED, ROLLBACK PREPARED */
  SQL_MULTI,     /* several statements, described by MULTI_WRITE,
                    MULTI_BLOCK and MULTI_REFUSED */
  SQL_INVALID    /* syntax error; forwarded as a write, so that the client
                    receives the backend server's own error */
} sqlclass_t;

typedef struct
{
  sqlclass_t cls;
  uint64_t fingerprint; /* equal if only constants differ */
  bool multi_write;   /* SQL_MULTI: contains a statement handled as a write */
  bool multi_block;   /* SQL_MULTI: contains transaction control */
  bool multi_refused; /* SQL_MULTI: contains a statement that is not supported
                         there: SQL_COPY, SQL_SESSION, SQL_TWO_PHASE,
                         SQL_PREPARE, SQL_SET or SQL_RESET */
  str_t name;         /* SQL_SET, SQL_SHOW, SQL_RESET: setting, lower case */
  str_t value;        /* SQL_SET: value; empty if DEFAULTED */
  bool defaulted;     /* SET name TO DEFAULT */
} sql_t;

typedef struct sql_cache sql_cache_t;

/* sql_cache_new: a cache of CAP shapes of at most SQL_CACHE_TEXT bytes each,
   for use by one thread.  Freed with POOL.  */
enum
{
  SQL_CACHE_TEXT = 4096 /* bytes; longer statements are parsed each time */
};
sql_cache_t *sql_cache_new (apr_pool_t *pool, size_t cap);
/* sql_classify: fills OUT with the class of TEXT.  Strings of OUT are valid
   until the next call.  */
void sql_classify (sql_cache_t *c, str_t text, sql_t *out);

/* ---- hints ---- */

/* Request properties; -1 or empty if not set.  */
typedef struct
{
  str_t kind;
  str_t key;
  int64_t max_age;  /* ms */
  int64_t deadline; /* ms */
  int64_t worth;
  int repeatable; /* -1, 0 or 1 */
} hint_t;

void hint_init (hint_t *h);
/* hint_parse: parses a comment "pimentopost name=value ..." at the start of
   TEXT, if there is one.  Values are views into TEXT.  Returns false with
   ERR_UNKNOWN_KEY, ERR_DUPLICATE_KEY, ERR_RANGE, ERR_BAD_TYPE or
   ERR_SYNTAX.  */
bool hint_parse (str_t text, hint_t *h, err_t *e);
/* hint_set: sets the property NAME; for SET pimentopost.NAME and startup
   options.  VALUE must outlive H.  Returns false with ERR_UNKNOWN_KEY,
   ERR_RANGE or ERR_BAD_TYPE.  */
bool hint_set (hint_t *h, str_t name, str_t value, err_t *e);
/* hint_merge: copies from DEFAULTS the properties that are not set in H.  */
void hint_merge (hint_t *h, const hint_t *defaults);

#endif
