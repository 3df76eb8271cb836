/* One connection to a stand-in database.  */

#ifndef SOAK_DBCONN_H
#define SOAK_DBCONN_H

#include "soak.h"

typedef struct dbconn
{
  struct dbconn *next;
  db_t *db;
  int64_t serial;
  stream_t *stream;
  bool started;
  char caller[64]; /* named in its start-up message */
  char tx;         /* I: none, T: in a transaction, E: failed */
  bool read_only;
  int64_t tx_serial;
  attempt_t *owner; /* of the transaction's statements */
  int writes;       /* not yet committed */
  char values[VALUES][NAME];
  struct
  {
    char name[NAME];
    char query[NAME];
  } prepared[PREPARED];
  msec_t due; /* when the answer is sent; 0: none is pending; -1: send it and
                 close */
  log_pos_t commit; /* that the answer waits for; number 0: none */
  buf_t answer;
} dbconn_t;

/* dbconn_serial: a number unique among connections and transactions.  */
int64_t dbconn_serial (void);
/* dbconn_query: runs the statement in LINE, checks it, and puts the answer
   into C->answer; C->due is set to the time of sending it.  */
void dbconn_query (dbconn_t *c, char *line);
void dbconn_ready (dbconn_t *c);

#endif
