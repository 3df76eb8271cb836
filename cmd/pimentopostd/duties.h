/* duties - the duties of a control instance: network I/O and decisions, which
   exchange messages through two rings.  */

#ifndef DUTIES_H
#define DUTIES_H

#include "base.h"
#include "conf.h"
#include "control.h"
#include "raft.h"
#include "rpc.h"

enum
{
  RING_ITEMS = 4096,
  ADDRESS_MAX = 64
};

/* A message from the network.  Lives in POOL, which the receiver destroys.  */
typedef struct
{
  int64_t conn; /* connection that it came on and the answer goes to */
  msgtype_t type;
  void *msg;
  apr_pool_t *pool;
} inbound_t;

/* A frame to the network, on the heap.  */
typedef struct
{
  int64_t conn; /* 0: to ADDRESS */
  char address[ADDRESS_MAX];
  bool expects_answer; /* the connection is closed if none comes in time */
  buf_t frame;
} outbound_t;

/* ---- network ---- */

typedef struct net net_t;

/* net_new: listens on ADDRESS.  Sends each outbound_t of OUT and puts received
   messages into IN as inbound_t; what does not fit is dropped and counted.  */
net_t *net_new (apr_pool_t *pool, str_t address, ring_t *in, ring_t *out,
                err_t *e);
duty_t net_duty (net_t *n);

/* ---- decisions ---- */

typedef struct decide decide_t;

decide_t *decide_new (apr_pool_t *pool, const settings_t *s, ring_t *in,
                      ring_t *out, err_t *e);
duty_t decide_duty (decide_t *d);
/* decide_link: the duty that runs the connections to databases.  */
duty_t decide_link (decide_t *d);
/* decide_health: appends role, term and indexes to OUT for GET /health; true
   while a leader is known.  Any thread.  */
bool decide_health (void *arg, buf_t *out);

/* ---- joining a cluster ---- */

enum
{
  HELLO_INTERVAL = 200, /* ms between HELLO messages to the other instances */
  HELLO_MAX_AGE = 1000, /* ms that an answer to a HELLO remains valid */
  CONTROL_MAX = 16      /* control instances of a configuration, at most */
};

/* Another control instance.  */
typedef struct
{
  str_t name;
  str_t address;
  int64_t id;
  bool has_log;       /* its log has entries */
  msec_t answered_at; /* time of its last answer, -1: none */
} join_peer_t;

/* State of an instance that joins a cluster or forms one, and of a leader that
   lets others join.  */
typedef struct
{
  const settings_t *settings;
  join_peer_t *peers; /* all control instances of the settings but this one */
  size_t n;
  str_t address;     /* of this instance */
  msec_t last_hello; /* time of the last HELLO */
  /* Control instances of the configuration in force.  */
  int64_t version;
  char name[CONTROL_MAX][DB_NAME_MAX];
  size_t nnames;
} join_t;

typedef void (*join_send_t) (void *arg, str_t address, msgtype_t type,
                             const void *msg);

void join_init (join_t *j, apr_pool_t *pool, const settings_t *s);
/* join_tick: while this instance is not a member with its present address,
   sends HELLO to the others, or forms the first membership when all have
   answered, none has a log and this instance's name sorts first.  */
bool join_tick (join_t *j, raft_t *r, msec_t now, join_send_t send, void *arg,
                err_t *e);
/* join_handle_response: records the answer to a HELLO.  */
void join_handle_response (join_t *j, const hello_resp_t *m, msec_t now);
/* join_handle_hello: answers a HELLO; a leader adds the sender as a learner if
   the sender asks to join and is allowed to.  */
void join_handle_hello (join_t *j, raft_t *r, const hello_t *m, msec_t now,
                        hello_resp_t *out);

/* join_set_config: reads the control instances of the canonical configuration
   TEXT if VERSION is not the known one.  */
void join_set_config (join_t *j, apr_pool_t *pool, str_t text,
                      int64_t version);
/* join_remove_unneeded: as leader, removes one member that the configuration
   does not name, once all that it names are voters.  */
void join_remove_unneeded (const join_t *j, raft_t *r, msec_t now);

/* control_main, entry_main: run the process; return its exit code.  */
int control_main (const settings_t *s);
int entry_main (const settings_t *s);

#endif
