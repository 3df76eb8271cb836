/* dblink - a control instance's connections to the backend servers: probes and
   the commands fence, promote and follow, sent with libpq in asynchronous mode
   from one thread.  A connection without an answer within its timeout is
   closed, and the next probe opens a new one.  */

#ifndef DBLINK_H
#define DBLINK_H

#include "base.h"
#include "rpc.h"

enum
{
  DB_NAME_MAX = 64,        /* bytes of a name or address with its NUL */
  DB_PROBE_INTERVAL = 100, /* ms between probes of one backend server */
  DB_PROBE_TIMEOUT = 150,  /* ms for an answer, including the connect */
  DB_COMMAND_TIMEOUT = 300 /* ms for the answer to a command */
};

typedef enum
{
  DB_FENCE,
  DB_PROMOTE,
  DB_FOLLOW
} db_op_t;

/* A command to one backend server.  Strings are NUL-terminated.  */
typedef struct
{
  db_op_t op;
  char name[DB_NAME_MAX];    /* of the backend server */
  char address[DB_NAME_MAX]; /* host:port */
  int64_t term;              /* group term */
  char owner[DB_NAME_MAX];   /* DB_FENCE, DB_PROMOTE */
  char target[DB_NAME_MAX];  /* DB_FOLLOW: host:port of the primary */
} db_cmd_t;

const char *db_op_name (db_op_t op);

typedef enum
{
  DB_EV_PROBE, /* outcome of a probe: ERR and PROBE */
  DB_EV_RESULT /* outcome of CMD: ERR, and the status row in PROBE */
} db_event_kind_t;

/* The outcome of a probe or command.  ERR.code is ERR_NONE on success, ERR_DB
   if the backend server returned an error (SQLSTATE in ERR.subject),
   ERR_TIMEOUT or ERR_CLOSED if the outcome of a command is unknown,
   ERR_UNREACHABLE if it was never sent.  The strings of PROBE are valid until
   db_event_free.  */
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

/* dblink_new: puts db_event_t pointers into OUT; the receiver frees them with
   db_event_free.  An event that does not fit is dropped and counted.  POOL may
   only be destroyed after the duty has ended.  */
dblink_t *dblink_new (apr_pool_t *pool, ring_t *out);
/* dblink_targets: sets the N backend servers to probe from now on (see
   control_target); connections to others are closed.  Callable from any
   thread.  */
typedef struct
{
  char name[DB_NAME_MAX];
  char address[DB_NAME_MAX];
} db_target_t;
void dblink_targets (dblink_t *d, const db_target_t *t, size_t n);
/* dblink_command: queues a command; ERR_FULL if the queue is full.  Callable
   from any thread.  */
bool dblink_command (dblink_t *d, const db_cmd_t *c, err_t *e);
/* dblink_duty: the duty whose thread serves the connections.  */
duty_t dblink_duty (dblink_t *d);

#endif
