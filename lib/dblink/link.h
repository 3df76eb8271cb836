/* link - the connection to one backend server, its probes and commands.  */

#ifndef LINK_H
#define LINK_H

#include "dblink.h"

#include <libpq-fe.h>

enum
{
  LINK_COMMANDS = 16 /* length of the command queue */
};

typedef enum
{
  LINK_CLOSED,
  LINK_CONNECTING,
  LINK_IDLE,
  LINK_PROBE,  /* waits for the answer to a probe */
  LINK_COMMAND /* waits for the answer to queue[0] */
} link_state_t;

typedef struct
{
  db_target_t target;
  ring_t *out;
  link_state_t state;
  PGconn *conn;
  PostgresPollingStatusType poll; /* while connecting */
  msec_t started;                 /* of the probe, including the connect */
  msec_t deadline;                /* of the connect, probe or command */
  msec_t next_probe;              /* when the next probe is due */
  msec_t last_answer;             /* time of the last answer; 0: none yet */
  bool up;                        /* the last probe was answered */
  db_cmd_t queue[LINK_COMMANDS];
  int nqueue;
  apr_pool_t *pool; /* of the next event */
  err_t err;
  probe_t probe;
  bool have_row; /* a status row was received */
} link_t;

link_t *link_new (const db_target_t *t, ring_t *out, msec_t now);
void link_free (link_t *l);
/* link_command: queues a command; false if the queue is full.  */
bool link_command (link_t *l, const db_cmd_t *c, msec_t now);
/* link_poll: returns the descriptor to poll and sets EVENTS; -1 if there is no
   connection.  */
int link_poll (const link_t *l, short *events);
/* link_ready: handles REVENTS of the descriptor.  */
void link_ready (link_t *l, short revents, msec_t now);
/* link_tick: starts the probe or command that is due, fails the one that is
   past its deadline.  */
void link_tick (link_t *l, msec_t now);
/* link_due: time by which link_tick has to run again.  */
msec_t link_due (const link_t *l);

/* ---- adaptor.c: calls of the backend servers' SQL functions ---- */

/* adaptor_connect: starts to connect; NULL on error.  */
PGconn *adaptor_connect (const char *address);
bool adaptor_probe (PGconn *conn);
bool adaptor_command (PGconn *conn, const db_cmd_t *c);
/* adaptor_row: reads the status row from RES into P; false if it has
   none.  Strings are copied to POOL.  */
bool adaptor_row (const PGresult *res, apr_pool_t *pool, probe_t *p);

#endif
