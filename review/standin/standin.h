/* Stand-ins for the review: databases, the platform's promote call, the
   operator, the ingress, clients, and relays between machines.  The programs
   of pimentopost run as separate processes beside them.

   Every stand-in follows PROTOCOL.md.  Where that page is silent it behaves
   like a sound database, client or platform.  */

#ifndef STANDIN_H
#define STANDIN_H

#include <pthread.h>
#include <stdbool.h>
#include <stdint.h>
#include <stdio.h>

enum
{
  CONTROLS = 3,
  ENTRIES_MAX = 16,
  SERVICES_MAX = 4,
  DBS = 3,               /* of each service */
  COMMITS_MAX = 400000,  /* of each service */
  CONTROL_PORT = 28782,
  PLATFORM_PORT = 28783,
  FRONT_PORT = 28784,
  READY_PORT = 28785,
  RPC_PORT = 28440,
  DB_PORT = 28500,
  HEARTBEAT = 1200,      /* ms */
  PROMOTE_TIME = 600,    /* ms from the call to the new term */
  GRACE = 6,             /* s */
  DRAIN_TIME = 7000      /* ms */
};

/* ---- time, record ---- */

double now_ms (void); /* since the start of the run */
void sleep_ms (double ms);
double uniform (double a, double b);
void record (const char *fmt, ...) __attribute__ ((format (printf, 1, 2)));
/* broken: counts and records a break of the rule of this case.  */
void broken (const char *fmt, ...) __attribute__ ((format (printf, 1, 2)));
/* cannot_run: ends the run with exit status 2.  */
void cannot_run (const char *fmt, ...)
    __attribute__ ((format (printf, 1, 2), noreturn));
extern bool trouble;       /* false: without the disruption */
extern volatile bool over; /* the load stops */
void thread (void *(*fn) (void *), void *arg);

/* ---- deployment ---- */

typedef struct
{
  int entries;
  const char *entry_zone[ENTRIES_MAX];
  int services;
  int max_conns;
  int sync_replicas;
  int slots;
  double link_mbps;
  /* Links between entry instances are relays of this rate; 0: direct.  */
  double relay_mbps;
  const char *route_kind;
  int timeout;  /* ms, of the route */
  int max_age;  /* ms */
  double work_min, work_max; /* ms, of a read, write or commit */
  double net_min, net_max;   /* ms, one way between databases */
  int rows;     /* of a read */
  int row_size; /* bytes */
} deployment_t;

extern deployment_t dep;
extern char net[32]; /* first three numbers of the addresses */

typedef struct
{
  int pid;
  char name[32];
  char settings[300];
  const char *command;
} proc_t;

extern proc_t control[CONTROLS], entry[ENTRIES_MAX];

/* deploy: starts all processes, stand-ins and the first configuration.
   Returns when all entry instances are ready.  */
void deploy (void);
void proc_start (proc_t *p);
void proc_signal (proc_t *p, int sig);
/* proc_wait: waits until it ended, at most MS; true when it has.  */
bool proc_wait (proc_t *p, double ms);
/* finish: ends all processes; exits with the result of the case.  */
void finish (void) __attribute__ ((noreturn));

/* put_config: the operator's change to VERSION; true once acknowledged.  */
bool put_config (int version);
/* Hosts of the routes; NULL: db0, db1 and so on.  */
extern const char *route_host[SERVICES_MAX];

/* ingress_pick: an entry instance for a new connection of a client.  */
int ingress_pick (void);

/* ---- HTTP ---- */

/* http_call: returns the status, or 0 without an answer.  LOCATION may be
   NULL.  */
int http_call (const char *method, const char *to, const char *path,
               const char *body, int timeout_ms, char location[128]);

/* ---- databases ---- */

typedef struct
{
  char id[20];
  int term;
  double made;          /* time of the commit */
  double received[DBS]; /* when each database has it */
  bool acked;           /* a client got a success for it */
} commit_t;

struct service;

typedef struct
{
  struct service *service;
  int number;
  char id[32];
  char address[48];
  const char *zone;
  int64_t born;
  int64_t seq;
  bool up, draining;
  double drain_acked; /* -1: not */
  int control;        /* that gets its heartbeats */
  int busy, conns, conn_limit;
  int listener;
  volatile int start; /* counts its starts */
} db_t;

typedef struct service
{
  pthread_mutex_t mu;
  pthread_cond_t slot_free;
  char name[32];
  db_t db[DBS];
  int primary;
  int term;
  int head; /* number of the last commit */
  commit_t *log; /* commits 1 to HEAD */
  int candidate; /* -1: none */
  double promote_at;
  double deaf_until[DBS]; /* a replica receives nothing until then */
  int64_t token;
  int promotions;
} service_t;

extern service_t service[SERVICES_MAX];
void services_start (void);
void platform_start (void);
/* db_drain: announces "draining"; returns the time of the acknowledgement.  */
double db_drain (db_t *d);
/* db_replace: stops a drained database; another one with a new id and a copy
   of its log takes its place at its address as a replica.  */
void db_replace (db_t *d);
int service_received (service_t *s, int db, double at);
extern void (*on_promoted) (service_t *s, int from_head, int head);
/* on_run: a statement with the client's id ID reaches D.  */
extern void (*on_run) (db_t *d, const char *id, const char *text, bool first);
/* on_shape: ID executes the shape SHAPE; TEXT follows the word EXECUTE.  */
extern void (*on_shape) (const char *id, const char *shape, const char *text);
/* on_run_end: its answer was sent.  */
extern void (*on_run_end) (db_t *d, const char *id);
/* heartbeat: sends BODY for database ID to control instance N.  */
int heartbeat_send (int n, const char *id, const char *body);

/* ---- clients ---- */

typedef enum
{
  ANSWERED, /* up to READY */
  CLOSED,   /* the connection ended before */
  SILENT    /* no answer in time */
} outcome_t;

typedef struct
{
  outcome_t outcome;
  char error[32]; /* code; empty: none */
  char signature[64];
  bool complete;
  char state;
  int rows;
  char row_tag[64][48]; /* first word of each row, up to 64 */
  double sent, ended;
  char id[20];
} answer_t;

typedef struct
{
  int fd;
  int entry;
  char buf[1 << 16];
  int n, off;
} client_t;

/* client_open: connects to an entry instance of the ingress's choice (-1) or
   to N; false when READY takes more than 2 s.  */
bool client_open (client_t *c, int n, const char *host);
void client_close (client_t *c);
/* client_query: sends one request with a new id.  */
void client_query (client_t *c, const char *text, int timeout_ms, answer_t *a);

/* ---- relays ---- */

void relay_start (int host, int target_host, int port, double mbps);
/* relay_reset: resets a share X of the connections through the relay of HOST;
   bytes on their way are lost.  Returns how many.  */
int relay_reset (int host, double x);

/* ---- cases ---- */

void case_sync (void);
void case_rows (void);
void case_stop (void);
void case_odd (void);
void case_shape (void);
void case_host (void);

#endif
