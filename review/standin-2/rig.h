/* rig - stand-ins for the scripts of review/: starts the programs of the
   deploy file on loopback addresses, with databases, the platform, the
   operator and clients as this process's threads.  Whatever is sent, answered
   and run is written to the record.  */

#ifndef RIG_H
#define RIG_H

#include <stdbool.h>
#include <stdint.h>
#include <sys/types.h>

enum
{
  CONTROLS = 3,
  ENTRIES_MAX = 12,
  SERVICES = 3,
  DBS = 3, /* of each service */
  RUNS_MAX = 20000,
  TEXT_MAX = 200
};

typedef struct
{
  char name[32];
  char zone[32];
  char address[32]; /* for clients; of a control instance: HTTP */
  char ready[32];
  char settings[256];
  const char *program;
  bool control;
  pid_t pid;
} process_t;

/* A statement that a database ran.  */
typedef struct
{
  int64_t at; /* ms since the start */
  char id[40];
  char caller[40]; /* who connected */
  int service;
} run_t;

/* A client's session.  */
typedef struct
{
  int fd;
  char in[4096];
  int n;
} session_t;

extern process_t control[CONTROLS], entry[ENTRIES_MAX];
extern int nentry;
extern const char *service_name[SERVICES];

int64_t now_ms (void);
void sleep_ms (int ms);
/* note: writes a line with the time to the record.  */
void note (const char *fmt, ...) __attribute__ ((format (printf, 1, 2)));
/* quit: ends all processes and exits; 0: the rule held, 1: it was broken, 2:
   the case could not run.  */
void quit (int status) __attribute__ ((noreturn));

/* rig_start: starts everything; PER_ZONE entry instances in each of the three
   zones.  */
void rig_start (const char *bin, const char *dir, const int per_zone[3]);
/* cut: while ON, the entry instance NAME is partitioned from all control
   instances: bytes in either direction are dropped, connections stay open.  */
void cut (const char *name, bool on);

/* put_config: sends BODY as the operator does, until it is acknowledged or
   LIMIT ms have passed; returns the time of the acknowledgement or -1.  */
int64_t put_config (const char *body, int limit);
bool wait_ready (int limit);

bool session_open (session_t *s, const char *address, const char *host,
                   char *answer, int limit);
/* session_query: sends TEXT under a new ID and returns the final line before
   READY in ANSWER; false when the connection ended or nothing came.  */
bool session_query (session_t *s, const char *text, char *id, char *answer,
                    int limit);
void session_close (session_t *s);

/* run_find: the run of the statement ID; false when no database ran it.  */
bool run_find (const char *id, run_t *out);

#endif
