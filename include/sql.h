/* sql - what a statement does, by PostgreSQL's own parser (libpg_query) behind
   a bounded cache by shape (the text without constants), and the hint comment
   in front of it.  */

#ifndef SQL_H
#define SQL_H

#include "base.h"

typedef enum
{
  SQL_EMPTY, /* no statement */
  SQL_READ,  /* SELECT, VALUES, EXPLAIN and the like without effects */
  SQL_WRITE, /* changes data or schema, or calls an unknown function */
  SQL_BEGIN, /* starts a read-write block */
  SQL_BEGIN_READ_ONLY, /* starts a read-only block */
  SQL_COMMIT,
  SQL_ROLLBACK,  /* ends the block */
  SQL_SAVEPOINT, /* SAVEPOINT, RELEASE, ROLLBACK TO */
  SQL_SET,       /* session setting, see NAME and VALUE */
  SQL_SET_LOCAL, /* setting of the transaction */
  SQL_SHOW,      /* see NAME */
  SQL_RESET,     /* RESET name, RESET ALL, DISCARD ALL */
  SQL_PREPARE,   /* SQL-level PREPARE, EXECUTE, DEALLOCATE */
  SQL_COPY,
  SQL_SESSION,   /* needs one connection: LISTEN, temporary tables,
                    session advisory locks, cursors WITH HOLD, ... */
  SQL_TWO_PHASE, /* PREPARE TRANSACTION and its ends */
  SQL_MULTI,     /* several statements; class of each in turn is not kept */
  SQL_INVALID    /* the parser refused it; sent on as a write so that the
                    database's own error is returned */
} sqlclass_t;

typedef struct
{
  sqlclass_t cls;
  uint64_t fingerprint; /* same for statements that differ in constants only */
  bool multi_write;     /* SQL_MULTI: one of them is not a read */
  bool multi_block;     /* SQL_MULTI: has transaction control in it */
  bool multi_refused;   /* SQL_MULTI: has COPY, SQL_SESSION or SQL_TWO_PHASE */
  str_t name;           /* SQL_SET, SQL_SHOW, SQL_RESET: setting, lower case */
  str_t value;          /* SQL_SET: value; empty with DEFAULTED */
  bool defaulted;       /* SET name TO DEFAULT */
} sql_t;

typedef struct sql_cache sql_cache_t;

/* sql_cache_new: a cache of CAP shapes of at most SQL_CACHE_TEXT bytes each;
 * used by one thread.  Freed with POOL.  */
enum
{
  SQL_CACHE_TEXT = 4096 /* longer ones are parsed each time */
};
sql_cache_t *sql_cache_new (apr_pool_t *pool, size_t cap);
/* sql_classify: class of TEXT.  Strings of OUT live until the next call.  */
void sql_classify (sql_cache_t *c, str_t text, sql_t *out);

/* ---- hints ---- */

/* Request properties; -1 or empty where nothing was said.  Durations in ms. */
typedef struct
{
  str_t kind;
  str_t key;
  int64_t max_age;
  int64_t deadline;
  int64_t worth;
  int repeatable; /* -1 unsaid, 0, 1 */
} hint_t;

void hint_init (hint_t *h);
/* hint_parse: reads a comment "pimentopost name=value ..." at the start of
   TEXT, if there is one.  Values are views into TEXT.  False with
   ERR_UNKNOWN_KEY, ERR_DUPLICATE_KEY, ERR_RANGE or ERR_SYNTAX.  */
bool hint_parse (str_t text, hint_t *h, err_t *e);
/* hint_set: one property by name; for SET pimentopost.NAME and startup
   options.  VALUE must outlive H.  */
bool hint_set (hint_t *h, str_t name, str_t value, err_t *e);
/* hint_merge: fills what is unsaid in H from OVER.  */
void hint_merge (hint_t *h, const hint_t *over);

#endif
