/* link - one connection to one database and what runs on it.  */

#ifndef LINK_H
#define LINK_H

#include "dblink.h"

#include <libpq-fe.h>

enum
{
  LINK_COMMANDS = 16 /* commands queued for one database */
};

typedef enum
{
  LINK_CLOSED,
  LINK_CONNECTING,
  LINK_IDLE,
  LINK_PROBE,
  LINK_COMMAND
} link_state_t;

typedef struct
{
  db_target_t target;
  ring_t *out;
  link_state_t state;
  PGconn *conn;
  PostgresPollingStatusType poll; /* while connecting */
  msec_t started;                 /* of the probe, connecting included */
  msec_t deadline;                /* of what runs now */
  msec_t next;                    /* when the next probe is due */
  msec_t answered;                /* last answer; 0: never */
  bool up;                        /* last probe was answered */
  db_cmd_t queue[LINK_COMMANDS];
  int nqueue;
  apr_pool_t *pool; /* of the outcome being read */
  err_t err;
  probe_t probe;
  bool row;
} link_t;

link_t *link_new (const db_target_t *t, ring_t *out, msec_t now);
void link_free (link_t *l);
/* link_command: false when the queue is full.  */
bool link_command (link_t *l, const db_cmd_t *c, msec_t now);
/* link_poll: descriptor and events to wait for; -1 for none.  */
int link_poll (const link_t *l, short *events);
/* link_ready: the descriptor has REVENTS.  */
void link_ready (link_t *l, short revents, msec_t now);
/* link_tick: starts what is due, ends what is overdue.  */
void link_tick (link_t *l, msec_t now);
/* link_due: when link_tick has to run next.  */
msec_t link_due (const link_t *l);

/* ---- adaptor.c: the databases' functions as SQL ---- */

/* adaptor_connect: starts a connection, or NULL.  */
PGconn *adaptor_connect (const char *address);
bool adaptor_probe (PGconn *conn);
bool adaptor_command (PGconn *conn, const db_cmd_t *c);
/* adaptor_row: reads a status row; false when RES is none.  Strings are copied
   to POOL.  */
bool adaptor_row (const PGresult *res, apr_pool_t *pool, probe_t *p);

#endif
