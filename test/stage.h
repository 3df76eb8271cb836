/* stage - a proxy on loopback in the loop of the test, with simulated control
   instances, databases and clients that speak the line protocol.  */

#ifndef STAGE_H
#define STAGE_H

#include "platform/platform.h"

#include <check.h>

enum
{
  STAGE_DBS = 3,
  STAGE_LOG = 4096,
  STAGE_RAW = 32768
};

typedef struct stage stage_t;

/* A key of the configuration and its tenant.  */
typedef struct
{
  const char *tenant;
  const char *key;
} stage_key_t;

/* A simulated database, and what it does with the next statements.  */
typedef struct
{
  stage_t *stage;
  int fd;
  char id[16];
  char address[32];
  bool primary;
  bool leaving;
  bool ignore_all;        /* reads statements and never answers */
  bool ignore_startup;    /* never answers a STARTUP */
  bool full;              /* refuses connections */
  bool disconnect;        /* closes the connection instead of answering */
  char disconnect_at[16]; /* the same once for this kind, e.g. COMMIT */
  char ignore_at[16];     /* runs this kind once without an answer */
  char fail_at[16];       /* fails this kind once with FAIL_CODE */
  char fail_code[16];
  int64_t term;
  int64_t number;
  int64_t seq;
  int conns;
  int resets;
  void *list;          /* of connections */
  char log[STAGE_LOG]; /* statements received, one a line */
  /* The same after the name that its connection was opened with, and a line
     "NAME STARTUP" for each connection.  */
  char by_name[STAGE_LOG];
  /* Everything received, one a line, each after the caller that the start-up
     message of its connection names: "t1> QUERY q1 READ 7".  */
  char raw[STAGE_RAW];
} stage_db_t;

typedef struct
{
  stage_t *stage;
  stream_t *stream;
  bool closed;
  char received[STAGE_LOG]; /* everything received */
} stage_client_t;

struct stage
{
  apr_pool_t *pool;
  loop_t *loop;
  proxy_t *proxy;
  proxy_t *second; /* a second instance of the zone, or NULL */
  int second_port;
  char endpoint[2][32]; /* of both instances */
  int connections;      /* to each database */
  int sync_replicas;
  int entries;
  stage_db_t db[STAGE_DBS];
  int port;
  int control[2]; /* listening sockets of two control instances */
  char control_address[2][32];
  bool control_silent[2];     /* accepts connections and never answers */
  bool control_leaderless[2]; /* reports that it has no leader */
  const char *control_zone[2];
  int reports[2]; /* received by each control instance */
  int64_t version;
  int64_t roster;
  bool roster_complete;    /* the control instances run for long enough */
  bool roster_changes;     /* later rosters are marked as changes */
  int64_t roster_reported; /* roster that the last report names */
  int64_t tx_idle;         /* ms */
  int64_t timeout;         /* of statements, ms */
  bool extra_route;
  const char *extra_host; /* of another route, or NULL */
  bool extra_anonymous;   /* its callers aren't identified */
  /* The configuration has tenants: those of KEYS; without any the tenants a, b
     and c with the keys key-a, key-b and key-c.  */
  bool tenanted;
  int64_t rate[2]; /* of the tenants "hot" and "calm", with the keys u1 and u2,
                      in place of those; all 0: no quotas */
  int64_t burst[2];
  bool hot_withdrawn;  /* the tenant "hot" has no key */
  int64_t own_rate[3]; /* rate and burst of the tenants a, b and c */
  bool near_anonymous; /* the route "near" needs no key */
  bool repeat_setup;   /* each update contains the configuration */
  const stage_key_t *keys;
  size_t nkeys;
  struct tap *tap[2];         /* of stage_pair_tapped */
  char peer_bytes[STAGE_RAW]; /* sent between the instances so far */
  msec_t until;
  bool (*done) (void *arg);
  void *arg;
};

/* stage_listen: listens on a free port of loopback; its address to OUT of SIZE
   bytes.  */
int stage_listen (char *out, size_t size);
/* stage_new: with WAIT, waits until the proxy is ready.  Hosts: "lead" (reads
   of the primary), "near" (reads up to 1500 ms old), "own" (reads that include
   the session's own writes, up to 2500 ms old).  */
stage_t *stage_new (bool wait);
/* stage_pair: two instances of one zone that share fewer connections than
   instances; waits until both know each other.  */
stage_t *stage_pair (void);
/* stage_pair_tapped: the same, and stores what one instance sends to the other
   in peer_bytes.  */
stage_t *stage_pair_tapped (void);
/* stage_set_keys: puts a new configuration with tenants and KEYS in force.  */
void stage_set_keys (stage_t *s, const stage_key_t *keys, size_t n);
/* stage_session_at: like stage_session, at the second instance if SECOND.
   stage_session_key: with another KEY than "u1".  */
stage_client_t *stage_session_at (stage_t *s, bool second, const char *host);
stage_client_t *stage_session_key (stage_t *s, bool second, const char *host,
                                   const char *key);
void stage_free (stage_t *s);
/* stage_run: runs the loop for MS of real time, or until DONE returns true;
   returns what DONE returns last.  */
bool stage_run (stage_t *s, msec_t ms, bool (*done) (void *arg), void *arg);
stage_client_t *stage_client (stage_t *s);
void stage_send (stage_client_t *c, const char *text);
/* stage_request: sends TEXT and waits until the response contains WANT.  */
bool stage_request (stage_client_t *c, const char *text, const char *want);
/* ASK: stage_request that has to get WANT.  */
#define ASK(c, text, want)                                                    \
  ck_assert_msg (stage_request (c, text, want), "received: %s", (c)->received)
/* stage_session: a client with an open session.  */
stage_client_t *stage_session (stage_t *s, const char *host);
/* stage_count: how often TEXT occurs in the statements that D received.  */
int stage_count (const stage_db_t *d, const char *text);

/* stage_conns: open connections to D that were opened with NAME.  */
int stage_conns (const stage_db_t *d, const char *name);

/* stage_disconnect: database D closes all its connections.  */
void stage_disconnect (stage_db_t *d);

#endif
