/* Duties of a control instance: network I/O and decisions, joined by two
   rings.  */

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

/* A message from the network.  Lives in POOL; its taker destroys that.  */
typedef struct
{
  int64_t conn; /* connection it came on, for the answer */
  msgtype_t type;
  void *msg;
  apr_pool_t *pool;
} inbound_t;

/* A frame to the network, on the heap.  */
typedef struct
{
  int64_t conn; /* 0: to ADDRESS */
  char address[ADDRESS_MAX];
  bool asks; /* the peer has to answer */
  buf_t frame;
} outbound_t;

/* ---- network ---- */

typedef struct net net_t;

/* net_new: listens on ADDRESS.  Takes outbound_t from OUT, puts inbound_t into
   IN; what does not fit is dropped and counted.  */
net_t *net_new (apr_pool_t *pool, str_t address, ring_t *in, ring_t *out,
                err_t *e);
duty_t net_duty (net_t *n);

/* ---- decisions ---- */

typedef struct decide decide_t;

decide_t *decide_new (apr_pool_t *pool, const settings_t *s, ring_t *in,
                      ring_t *out, err_t *e);
duty_t decide_duty (decide_t *d);
/* decide_link: the duty of the database links.  */
duty_t decide_link (decide_t *d);
/* decide_health: role and indexes for GET /health; true while a leader is
   known.  Any thread.  */
bool decide_health (void *arg, buf_t *out);

/* ---- joining a cluster ---- */

enum
{
  HELLO_EVERY = 200, /* ms between questions to the other instances */
  HELLO_AGE = 1000,  /* ms that an answer counts */
  CONTROL_MAX = 16   /* control instances of a configuration */
};

typedef struct
{
  str_t name;
  str_t address;
  int64_t id;
  bool has_log;
  msec_t at; /* of the last answer, -1 for never */
} other_t;

/* How an instance that is no member becomes one.  */
typedef struct
{
  const settings_t *set;
  other_t *other; /* all control instances but this one */
  size_t n;
  str_t address; /* of this instance */
  msec_t asked;
  /* Control instances of the configuration in force.  */
  int64_t version;
  char name[CONTROL_MAX][DB_NAME_MAX];
  size_t nnames;
} join_t;

typedef void (*join_send_t) (void *arg, str_t address, msgtype_t type,
                             const void *msg);

void join_init (join_t *j, apr_pool_t *pool, const settings_t *s);
/* join_tick: asks the other instances while R's instance is no member; forms
   the first membership when all answered and none has a log.  */
bool join_tick (join_t *j, raft_t *r, msec_t now, join_send_t send, void *arg,
                err_t *e);
void join_answer (join_t *j, const hello_resp_t *m, msec_t now);
/* join_ask: answers a HELLO, and as leader adds the asker as a learner.  */
void join_ask (join_t *j, raft_t *r, const hello_t *m, msec_t now,
               hello_resp_t *out);

/* join_configured: takes over the control instances of the canonical
   configuration TEXT, when VERSION is new.  */
void join_configured (join_t *j, apr_pool_t *pool, str_t text,
                      int64_t version);
/* join_review: as leader, removes members that the configuration does not name
   once all that it names are voters.  */
void join_review (const join_t *j, raft_t *r, msec_t now);

int control_main (const settings_t *s);
int entry_main (const settings_t *s);

#endif
