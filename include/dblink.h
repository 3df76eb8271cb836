/* dblink - a control instance's connections to the databases: probes and the
   commands fence, promote and follow, by libpq in asynchronous mode in one
   thread.  A connection that stays silent past its timeout is dropped and the
   next probe opens a new one.  */

#ifndef DBLINK_H
#define DBLINK_H

#include "base.h"
#include "rpc.h"

enum
{
  DB_NAME_MAX = 64,        /* bytes with NUL, names and addresses */
  DB_PROBE_INTERVAL = 100, /* ms between probes of one database */
  DB_PROBE_TIMEOUT = 150,  /* ms for an answer, connecting included */
  DB_COMMAND_TIMEOUT = 300 /* ms for the answer to a command */
};

typedef enum
{
  DB_FENCE,
  DB_PROMOTE,
  DB_FOLLOW
} db_op_t;

/* A command to one database.  Strings end in NUL.  */
typedef struct
{
  db_op_t op;
  char name[DB_NAME_MAX];    /* of the database */
  char address[DB_NAME_MAX]; /* host:port */
  int64_t term;              /* group term */
  char owner[DB_NAME_MAX];   /* DB_FENCE, DB_PROMOTE */
  char target[DB_NAME_MAX];  /* DB_FOLLOW: host:port of the primary */
} db_cmd_t;

const char *db_op_name (db_op_t op);

typedef enum
{
  DB_EV_PROBE, /* PROBE holds the outcome of one probe */
  DB_EV_RESULT /* outcome of CMD: ERR, and the status row in PROBE */
} db_event_kind_t;

/* The outcome of a probe or command.  ERR.code is ERR_NONE on success, ERR_DB
   when the database refused (SQLSTATE in ERR.subject), ERR_TIMEOUT or
   ERR_CLOSED when the outcome of a command is unknown, ERR_UNREACHABLE when it
   was never sent.  PROBE's strings live as long as the event.  */
typedef struct
{
  db_event_kind_t kind;
  db_cmd_t cmd;
  err_t err;
  probe_t probe;
  apr_pool_t *pool;
} db_event_t;

void db_event_free (db_event_t *ev);

typedef struct dblink dblink_t;

/* dblink_new: puts db_event_t pointers into OUT, whose taker frees them; an
   event that does not fit is dropped and counted.  Freed with POOL after its
   duty ended.  */
dblink_t *dblink_new (apr_pool_t *pool, ring_t *out);
/* dblink_targets: the databases to probe from now on (N names and addresses,
   see control_target); connections to others are closed.  Any thread.  */
typedef struct
{
  char name[DB_NAME_MAX];
  char address[DB_NAME_MAX];
} db_target_t;
void dblink_targets (dblink_t *d, const db_target_t *t, size_t n);
/* dblink_command: queues a command; ERR_FULL when the queue is full.  Any
   thread.  */
bool dblink_command (dblink_t *d, const db_cmd_t *c, err_t *e);
/* dblink_duty: the thread that runs the connections.  */
duty_t dblink_duty (dblink_t *d);

#endif
