/* soak - random faults against the real programs on one machine.

   The entry and control instances run as processes of their own.  Everything
   around them lives in one loop of this program: databases, clients, the
   operator, the platform's call that promotes, and a relay before each
   address, which delays, holds, silences or resets connections.  Checks run
   with each message; a broken promise is a finding.  */

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
  DBS = 3,             /* of each service */
  LEAVING_TIME = 7000, /* ms that a leaving database serves after its news */
  LAG = 20,            /* ms that replicas are behind */
  VALUES = 2,
  PREPARED = 8,
  TERMS = 64,
  ANSWERS = 4,
  NAME = 32,
  CALM = 5000 /* ms after a fault until bounds in time hold again */
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
  bool hold[2]; /* towards the target, and back */
  msec_t until; /* end of delay and hold */
  pair_t *pairs;
} relay_t;

relay_t *relay_new (world_t *w, const char *listen, const char *target);
/* relay_reset: ends all connections with a reset.  */
void relay_reset (relay_t *r);
/* relay_silence: the present connections carry nothing any more.  */
void relay_silence (relay_t *r);
void relay_turn (relay_t *r, msec_t now);

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
  msec_t restart;   /* when to start it again; 0: not due */
  msec_t frozen;    /* until */
  msec_t full;      /* disk full until */
  msec_t unread;    /* standard output is not read until */
  msec_t term;      /* when SIGTERM was sent; 0: it was not */
  char probe[NAME]; /* readiness address; empty: not probed */
  msec_t next_probe, next_turn;
  bool ready;
  bool wipe;         /* lose the disk before the next start */
  bool torn;         /* leave a torn write behind */
  bool killed;       /* its end was asked for */
  msec_t ended_full; /* last time that its disk was full */
} proc_t;

void proc_start (proc_t *p);
void proc_signal (proc_t *p, int sig);
void proc_kill (proc_t *p, msec_t restart);
void proc_freeze (proc_t *p, msec_t ms);
void proc_fill_disk (proc_t *p, msec_t ms);
void proc_turn (proc_t *p, msec_t now);
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
  bool whole;
  msec_t give_up;
  void (*serve) (void *arg, void *request);
  void (*done) (void *arg, unsigned status, const char *body, const char *to);
  void *arg;
  void *next;
} web_t;

void web_serve (world_t *w, const char *at,
                void (*serve) (void *arg, void *request), void *arg);
void web_reply (web_t *h, unsigned status);
/* web_call: DONE gets status 0 without an answer within MS.  */
void web_call (world_t *w, const char *method, const char *to,
               const char *path, const char *body, msec_t ms,
               void (*done) (void *arg, unsigned status, const char *body,
                             const char *to),
               void *arg);
void web_turn (world_t *w, msec_t now);

/* ---- databases ---- */

typedef struct
{
  int64_t term;
  int64_t number;
} at_t;

/* One try of an operation by a client.  */
typedef struct
{
  bool tx;
  bool writes;
  bool promised; /* the client was told that nothing is kept */
  int commits;
  at_t commit;
  int64_t conn; /* database connection of its transaction */
  int64_t conn_tx;
} attempt_t;

typedef struct service service_t;

/* One statement of a client.  */
typedef struct
{
  char id[20];
  char text[96];
  service_t *service;
  attempt_t *attempt;
  at_t need; /* a read has to see this */
  bool reads;
  char values[VALUES][NAME];
  char shape[NAME]; /* of the prepared statement that it executes */
  struct
  {
    char signature[48];
    char row[48];
  } answer[ANSWERS]; /* of its runs, the last ones */
  int signed_runs;
  int runs;
} ask_t;

typedef struct
{
  service_t *service;
  char id[NAME];
  char address[NAME]; /* as told, of the relay */
  relay_t *relay;
  int fd;
  bool up;
  bool primary;
  bool leaving;
  int64_t term;
  int64_t held; /* term of a PAUSE; 0: receives */
  int64_t number;
  int64_t born;
  int64_t seq;
  msec_t beat; /* when the next heartbeat is due */
  bool beating;
  int teller;        /* control instance that it calls */
  msec_t told_leave; /* when leaving was acknowledged */
  msec_t leave_since;
  msec_t back;                      /* when a crashed one starts again */
  msec_t grey, slow, lossy, behind; /* until */
  void *conns;
} db_t;

struct service
{
  world_t *world;
  char name[NAME];
  db_t db[DBS];
  int64_t term;
  int64_t start[TERMS]; /* position at which each term began */
  int64_t head;
  msec_t *time; /* of each commit */
  size_t cap;
  struct
  {
    msec_t at;
    at_t pos;
  } * acked;
  size_t nacked, acked_cap;
  db_t *next; /* to be promoted */
  msec_t next_at;
  int64_t token;
  char holder[NAME];
};

void service_new (world_t *w, service_t *s, int n);
void service_turn (service_t *s, msec_t now);
/* service_acked: newest commit acknowledged until AT.  */
at_t service_acked (const service_t *s, msec_t at);
void service_ack (service_t *s, at_t pos, msec_t now);
/* service_kept: the commit at POS is still in the log.  */
bool service_kept (const service_t *s, at_t pos);
db_t *service_primary (service_t *s);
/* position.c */
bool db_leads (const db_t *d);
/* db_number: what D has received so far.  */
int64_t db_number (db_t *d);
/* db_commit: the number of a new commit.  */
int64_t db_commit (db_t *d);
/* position_holds: a log of TERM with NUMBER commits has what POS asks for;
   commits that a promotion rolled back are not asked for.  */
bool position_holds (const service_t *s, int64_t term, int64_t number,
                     at_t pos);
/* dbconn.c */
/* dbconn_accept: a callback of the loop for the listening socket of the
   database ARG.  */
void dbconn_accept (void *arg, uint32_t events);
/* dbconn_answers: sends the answers of D that are due.  */
void dbconn_answers (db_t *d, msec_t now);
/* dbconn_drop: closes all connections to D.  */
void dbconn_drop (db_t *d);
/* db.c */
void db_crash (db_t *d, msec_t ms);
void db_leave (db_t *d);
void promoter_new (world_t *w);

/* ---- clients ---- */

typedef struct session session_t;

session_t *session_new (world_t *w, int n);
void session_turn (session_t *s, msec_t now);

/* ---- operator ---- */

typedef struct
{
  int64_t version;
  int64_t acked;
  msec_t acked_at;
  char **sent; /* text under each version */
  size_t cap;
  msec_t next_put, next_get;
  int flying;
  int64_t reads;
  int64_t changes;
} operator_t;

void operator_turn (world_t *w, msec_t now);
void operator_last_read (world_t *w);

/* ---- the whole ---- */

typedef struct
{
  int64_t served, promised, doubt, failed, lost, given_up;
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
  msec_t now, begun, end, storm_end;
  proc_t control[CONTROLS];
  proc_t entry[ENTRIES_MAX];
  relay_t *control_http[CONTROLS];
  relay_t *control_rpc[CONTROLS];
  relay_t *entry_front[ENTRIES_MAX];
  relay_t *relays;
  service_t service[SERVICES];
  apr_hash_t *asks;
  session_t **session;
  operator_t operator;
  web_t *calls;
  msec_t disturbed; /* end of the last fault that was not planned */
  msec_t next_fault;
  msec_t wiped;
  msec_t promoter_down; /* until */
  int64_t promotions;
  tally_t all, last;
  int faults;
  int findings;
  bool started; /* the first start is over */
  FILE *journal;
};

/* finding: a promise was broken.  */
void finding (world_t *w, const char *rule, const char *fmt, ...)
    __attribute__ ((format (printf, 3, 4)));
void note (world_t *w, const char *fmt, ...)
    __attribute__ ((format (printf, 2, 3)));
/* calm: no unplanned fault in the CALM before SINCE, nor after it.  */
bool calm (const world_t *w, msec_t since);
void fault_turn (world_t *w, msec_t now);
/* address: "NET.HOST:PORT" in OUT of NAME bytes.  */
void address (const world_t *w, char *out, int host, int port);
int chance (world_t *w, int n);
/* copy: as much of TEXT as fits.  */
void copy (char *out, size_t size, const char *text);

/* crash_watch: a crash of the soak itself says where it came from.  */
void crash_watch (void);

#endif
