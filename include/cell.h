/* cell - a control instance of a fleet whose backend servers register by
   heartbeat: the replicated configuration (the highest version wins), the
   roster, takeovers, and updates to entry instances.  Everything runs in the
   loop's thread.  */

#ifndef CELL_H
#define CELL_H

#include "base.h"
#include "fleet.h"
#include "loop.h"
#include "proxy.h"
#include "raft.h"

/* Result of a submission, a read or a heartbeat.  */
typedef enum
{
  CELL_OK,
  CELL_NOT_LEADER,  /* send it to the leader at ADDRESS */
  CELL_UNAVAILABLE, /* no leader, or no quorum in time: try another
                       instance; a submission may still be committed */
  CELL_TOO_LARGE,   /* the submission does not fit into a record of the log */
  CELL_INVALID      /* the error says why */
} cell_status_t;

typedef struct
{
  cell_status_t status;
  char address[NAME_SIZE]; /* rpc address of the leader */
  str_t document; /* of a read: the bytes as submitted; valid during the
                     call */
} cell_answer_t;

typedef struct
{
  /* Answers the submission or read that was passed with TICKET.  */
  void (*answer) (void *arg, int64_t ticket, const cell_answer_t *a);
  /* Asks the platform to make ID the primary of SERVICE, with the fencing
     token TOKEN.  False when the call cannot be queued; otherwise
     cell_promote_result follows.  */
  bool (*promote) (void *arg, str_t service, str_t id, int64_t token);
  void *arg;
} cell_ops_t;

typedef struct
{
  str_t name;
  str_t address; /* rpc address that others connect to */
  str_t listen;  /* rpc address to bind */
  str_t zone;    /* availability zone */
  str_t data;    /* folder of the replicated log */
  str_t *seeds;  /* rpc addresses of the control instances to contact first */
  size_t nseeds;
  bool first_start;    /* first start of the deployment: a seed may form the
                       membership */
  int fault_tolerance; /* control instances that may fail at once; 0:
                          unknown */
  const db_codec_t *db;
  cell_ops_t ops;
} cell_conf_t;

typedef struct cell cell_t;

/* cell_new: opens the log and the listening socket; NULL with E when either
   fails.  */
cell_t *cell_new (apr_pool_t *pool, loop_t *l, const cell_conf_t *c, err_t *e);
/* cell_turn: periodic work, for loop_run; returns when to be called again.  */
msec_t cell_turn (void *arg, msec_t now);
/* cell_stop: ends the loop, at once or after the instance was removed from the
   membership.  It is removed when there are more voters than the fault
   tolerance needs: an instance that stops may never come back, and as a member
   it would only raise the quorum.  */
void cell_stop (cell_t *c);
/* cell_failed: the store failed and the process has to end; E is why.  */
bool cell_failed (const cell_t *c, err_t *e);
/* cell_set_seeds: replaces the addresses of control instances to contact.  */
void cell_set_seeds (cell_t *c, const str_t *address, size_t n);

/* cell_submit: makes SETUP (packed MSG_SETUP of VERSION) and DOCUMENT the
   configuration.  When VERSION or a higher one is in force it changes nothing;
   the answer is CELL_OK as well.  */
void cell_submit (cell_t *c, int64_t version, str_t setup, str_t document,
                  int64_t ticket);
/* cell_fits: whether SETUP and DOCUMENT fit into a record of the log.  */
bool cell_fits (str_t setup, str_t document);
/* cell_read: the configuration, confirmed by a quorum after this call.  */
void cell_read (cell_t *c, int64_t ticket);
/* cell_heartbeat: a heartbeat; CELL_UNAVAILABLE while no leader is known, so
   that the database sends it to another instance, whose updates reach the
   rest of the fleet.  */
cell_status_t cell_heartbeat (cell_t *c, const backend_t *b, err_t *e);
/* cell_promote_result: how the platform answered the promote call.  */
void cell_promote_result (cell_t *c, str_t service, int64_t token,
                          promote_result_t result);
/* cell_has_leader: a leader is known; the leader itself needs a recent
   quorum.  */
bool cell_has_leader (const cell_t *c);

#endif
