/* soak - random faults against the real programs on one machine.

   The entry and control instances run as separate processes.  Everything
   else runs in one event loop of this program: stand-in databases, clients,
   the operator, the platform's HTTP call that promotes a database, and a relay
   in front of each address, which delays, blocks, blackholes or resets
   connections.  Every message is checked; a broken guarantee is a finding.  */

#ifndef SOAK_H
#define SOAK_H

#include "loop.h"
#include "rpc.h"

#include <apr_hash.h>
#include <stdio.h>

enum
{
  CONTROLS = 3,
  ENTRIES_MAX = 48,
  SERVICES = 2,
  DBS = 3,           /* of each service */
  DRAIN_TIME = 7000, /* ms that a database serves after its announcement of
                        "draining" is acknowledged */
  LAG = 20,          /* ms, replication lag */
  VALUES = 2,        /* session settings v0, v1 */
  PREPARED = 8,      /* prepared statements of a database connection */
  TERMS = 64,
  TENANTS = 4,
  KEYS = 256,        /* of a run */
  ANSWERS = 4,       /* answers kept of a statement that runs repeatedly */
  NAME = 32,         /* bytes */
  SETTLE_TIME = 5000 /* ms after a fault until the time limits hold again */
};

typedef struct world world_t;

/* ---- relays ---- */

typedef struct pair pair_t;

typedef struct relay
{
  struct relay *next;
  world_t *world;
  char listen[NAME];
  char target[NAME];
  int fd;
  msec_t delay;
  bool hold[2]; /* blocked: 0 towards the target, 1 back */
  msec_t until; /* end of delay and hold */
  pair_t *pairs;
} relay_t;

relay_t *relay_new (world_t *w, const char *listen, const char *target);
/* relay_reset: ends all connections with a TCP reset.  */
void relay_reset (relay_t *r);
/* relay_blackhole: from now on the open connections stay open and deliver
   nothing; new ones work.  */
void relay_blackhole (relay_t *r);
void relay_tick (relay_t *r, msec_t now);

/* ---- processes ---- */

typedef struct
{
  world_t *world;
  char name[NAME];
  const char *program;
  char settings[256];
  char data[256]; /* empty: no disk */
  int pid;        /* 0: not running */
  int out;        /* its standard output */
  FILE *log;
  msec_t started;
  msec_t restart_at;   /* when to start it again; 0: not due */
  msec_t frozen_until; /* 0: not stopped */
  msec_t full_until;   /* the disk is full; 0: it is not */
  msec_t unread_until; /* standard output is not read */
  msec_t term_sent;    /* when SIGTERM was sent; 0: it was not */
  char probe[NAME];    /* readiness address; empty: not probed */
  msec_t next_probe, next_poll;
  bool ready;
  bool wipe_disk;     /* erase the disk before the next start */
  bool torn_write;    /* append a torn write before the next start */
  bool exit_expected; /* it was sent SIGTERM or SIGKILL */
  msec_t full_last;   /* last time that its disk was full */
} proc_t;

void proc_start (proc_t *p);
void proc_signal (proc_t *p, int sig);
/* proc_kill: sends SIGKILL and starts the process again after DELAY ms.  */
void proc_kill (proc_t *p, msec_t delay);
void proc_freeze (proc_t *p, msec_t ms);
void proc_fill_disk (proc_t *p, msec_t ms);
void proc_tick (proc_t *p, msec_t now);
void proc_end (proc_t *p);

/* ---- HTTP ---- */

typedef struct
{
  world_t *world;
  stream_t *stream;
  void *parser;
  char method[8];
  char path[128];
  char holder[NAME];
  int64_t token;
  char location[128];
  buf_t head; /* field or value being read */
  buf_t field;
  buf_t body;
  unsigned status;
  bool complete;
  msec_t deadline;
  void (*serve) (void *arg, void *request);
  void (*done) (void *arg, unsigned status, const char *body, const char *to);
  void *arg;
  void *next;
} http_conn_t;

void http_serve (world_t *w, const char *at,
                 void (*serve) (void *arg, void *request), void *arg);
void http_reply (http_conn_t *h, unsigned status);
/* http_send: sends a request; DONE gets status 0 when no answer came within
   MS.  */
void http_send (world_t *w, const char *method, const char *to,
                const char *path, const char *body, msec_t ms,
                void (*done) (void *arg, unsigned status, const char *body,
                              const char *to),
                void *arg);
void http_tick (world_t *w, msec_t now);

/* ---- databases ---- */

/* A position in the log of a service.  */
typedef struct
{
  int64_t term;
  int64_t number; /* of the commit */
} log_pos_t;

/* One attempt of a client at an operation.  */
typedef struct
{
  bool tx;
  bool writes;
  bool refused; /* the client got an error that rules out any effect */
  int commits;
  log_pos_t commit;
  int64_t conn; /* database connection of its transaction */
  int64_t conn_tx;
} attempt_t;

typedef struct service service_t;

/* A key of a tenant.  It is in the configurations from version FROM on, and
   from version TO on no more; 0: not withdrawn.  */
typedef struct
{
  int tenant;
  char text[NAME];
  int64_t from, to;
  msec_t added_at, withdrawn_at; /* acknowledged; 0: not */
} caller_key_t;

/* One statement of a client.  */
typedef struct
{
  char id[20];
  char text[96];
  service_t *service;
  attempt_t *attempt;
  log_pos_t min_pos; /* oldest position at which it may read */
  bool reads;
  const caller_key_t *key; /* of its session; NULL: the route is public */
  msec_t sent;
  char values[VALUES][NAME]; /* settings of its session */
  char query[NAME];          /* of the prepared statement that it executes */
  struct
  {
    char tag[48]; /* random: identifies the run */
    char row[48];
  } answer[ANSWERS]; /* of its last runs */
  int answered_runs;
  int runs;
} statement_t;

typedef struct
{
  service_t *service;
  char id[NAME];
  char address[NAME]; /* as announced: that of the relay */
  relay_t *relay;
  int fd;
  bool up;
  bool primary;
  bool draining;
  int64_t term;
  int64_t pause_term; /* term of a PAUSE; 0: replication is not paused */
  int64_t number;
  int64_t start_wall; /* wall time of its start */
  int64_t seq;
  msec_t next_heartbeat;
  bool heartbeat_pending;
  int control;        /* control instance that gets its heartbeats */
  msec_t drain_acked; /* when a heartbeat with "draining" was acknowledged */
  msec_t drain_since;
  msec_t restart_at; /* after a crash */
  msec_t failing_until, slow_until, lossy_until, stalled_until;
  void *conns;
} db_t;

struct service
{
  world_t *world;
  char name[NAME];
  db_t db[DBS];
  int64_t term;
  int64_t start[TERMS]; /* number of the last commit before each term */
  int64_t head;
  msec_t *time; /* of each commit */
  size_t cap;
  struct
  {
    msec_t at;
    log_pos_t pos;
  } * acked;
  size_t nacked, acked_cap;
  db_t *candidate; /* to be promoted */
  msec_t promote_at;
  int64_t token;
  char holder[NAME];
};

void service_new (world_t *w, service_t *s, int n);
void service_tick (service_t *s, msec_t now);
/* service_acked: newest commit acknowledged until AT.  */
log_pos_t service_acked (const service_t *s, msec_t at);
void service_ack (service_t *s, log_pos_t pos, msec_t now);
/* service_kept: the commit at POS is still in the log.  */
bool service_kept (const service_t *s, log_pos_t pos);
db_t *service_primary (service_t *s);
/* position.c */
bool db_is_primary (const db_t *d);
/* db_received: number of the last commit that D has.  */
int64_t db_received (db_t *d);
/* db_commit: the number of a new commit.  */
int64_t db_commit (db_t *d);
/* service_replicated: a replica has the commit POS of the present term.  */
bool service_replicated (service_t *s, log_pos_t pos);
/* position_holds: true when a log of TERM with NUMBER commits has all commits
   up to POS, other than those that a promotion rolled back.  */
bool position_holds (const service_t *s, int64_t term, int64_t number,
                     log_pos_t pos);
/* dbconn.c */
/* dbconn_accept: a callback of the loop for the listening socket of the
   database ARG.  */
void dbconn_accept (void *arg, uint32_t events);
/* dbconn_send_due: sends the answers of D that are due.  */
void dbconn_send_due (db_t *d, msec_t now);
void dbconn_close_all (db_t *d);
/* db.c */
void db_crash (db_t *d, msec_t ms);
void db_drain (db_t *d);
void promoter_new (world_t *w);

/* ---- clients ---- */

typedef struct session session_t;

session_t *session_new (world_t *w, int n);
void session_tick (session_t *s, msec_t now);

/* ---- operator ---- */

typedef struct
{
  int64_t version;
  int64_t acked;
  msec_t acked_at;
  char **sent; /* text under each version */
  size_t cap;
  msec_t next_put, next_get;
  int in_flight;
  int64_t reads;
  int64_t changes;
} operator_t;

void operator_tick (world_t *w, msec_t now);
/* operator_final_read: reads the configuration from each control instance.  */
void operator_final_read (world_t *w);

/* ---- tenants ---- */

/* is_public: whether callers of route number ROUTE need no key.  */
bool is_public (int service, int route);
/* tenants_write: appends the tenants of VERSION, the newest, to B, at times
   with other keys.  tenants_acked: VERSION was acknowledged.  */
void tenants_write (world_t *w, int64_t version, buf_t *b);
void tenants_acked (world_t *w, int64_t version);
/* tenants_pick: the key of a new session, which may be withdrawn.  */
const caller_key_t *tenants_pick (world_t *w);
/* tenants_lasting: whether the client keeps a session of K open: K may be
   withdrawn meanwhile.  */
bool tenants_lasting (const world_t *w, const caller_key_t *k);
/* tenants_may_refuse: whether a request of K, sent at SENT, may get NOAUTH. */
bool tenants_may_refuse (const world_t *w, const caller_key_t *k, msec_t sent);
/* tenants_check_run: Q runs on a connection that names CALLER.  */
void tenants_check_run (world_t *w, const statement_t *q, const char *caller);
/* tenants_check_text: no key is in TEXT, which was found in WHERE.  */
void tenants_check_text (world_t *w, const char *where, str_t text);

/* ---- the whole run ---- */

/* Outcomes of the operations of all clients.  */
typedef struct
{
  int64_t served, refused, doubt, failed, lost, timed_out;
} tally_t;

struct world
{
  apr_pool_t *pool;
  loop_t *loop;
  rng_t rng;
  uint64_t seed;
  char dir[200];
  char bin[200];
  char net[16]; /* first three numbers of the addresses */
  int entries;
  int sessions;
  int sync_replicas; /* that have to receive each commit, 0 or 1 */
  msec_t now, begun, end, faults_end;
  proc_t control[CONTROLS];
  proc_t entry[ENTRIES_MAX];
  relay_t *control_http[CONTROLS];
  relay_t *control_rpc[CONTROLS];
  relay_t *entry_front[ENTRIES_MAX];
  relay_t *relays;
  service_t service[SERVICES];
  apr_hash_t *statements;
  session_t **session;
  operator_t operator;
  bool tenanted; /* the configuration has tenants */
  rng_t key_rng;
  caller_key_t key[KEYS];
  int nkeys;
  http_conn_t *calls;
  msec_t disturbed_until; /* end of the last unplanned fault */
  msec_t next_fault;
  msec_t disk_lost_at;
  msec_t promoter_down_until;
  int64_t promotions;
  tally_t all, last; /* of the whole run, of its last 4 s */
  int faults;
  int findings;
  bool bootstrapped; /* later starts are without "bootstrap" */
  FILE *journal;
};

/* finding: reports a broken guarantee.  */
void finding (world_t *w, const char *rule, const char *fmt, ...)
    __attribute__ ((format (printf, 3, 4)));
/* note: writes a line to the journal.  */
void note (world_t *w, const char *fmt, ...)
    __attribute__ ((format (printf, 2, 3)));
/* settled: no unplanned fault in the SETTLE_TIME before SINCE, nor after.  */
bool settled (const world_t *w, msec_t since);
void fault_tick (world_t *w, msec_t now);
/* address: "NET.HOST:PORT" in OUT of NAME bytes.  */
void address (const world_t *w, char *out, int host, int port);
/* rand_below: a random number from 0 to N - 1.  */
int rand_below (world_t *w, int n);
/* copy: as much of TEXT as fits.  */
void copy (char *out, size_t size, const char *text);

/* crash_handlers: installs signal handlers that print the fault address and
   the stack when the soak itself crashes.  */
void crash_handlers (void);

#endif
