/* load - drives the request kinds of a deployment over libpq and checks every
   answer, and at the end the databases, against a ledger of what was sent.  */

#ifndef LOAD_H
#define LOAD_H

#include "base.h"
#include "conf.h"

#include <libpq-fe.h>
#include <pthread.h>

enum
{
  GROUPS_MAX = 16,
  DBS_MAX = 64,
  ENTRIES_MAX = 64,
  KINDS_MAX = 16,
  TERMS_SEEN = 32,
  ROW_TAGS = 16, /* writes that one row collects */
  SERIES = 2000  /* rows of a long answer */
};

/* ---- ledger ---- */

typedef enum
{
  OUT_PENDING,
  OUT_ACKED,
  OUT_UNKNOWN,
  OUT_NOT_RUN, /* refused, failed or rolled back: has no effect */
} outcome_t;

/* One write: it adds the mark <N> to row ID (to rows IDa and IDb for a
   transaction block), so that a lost or doubled write shows.  */
typedef struct
{
  outcome_t out;
  int group;
  bool pair;
  char id[32];
} write_t;

typedef enum
{
  RULE_LOST,
  RULE_DOUBLED,
  RULE_STALE,
  RULE_MIXED,
  RULE_TRUNCATED,
  RULE_CROSSED,
  RULE_FALSE_NOT_RUN,
  RULES
} rule_t;

/* ---- requests ---- */

typedef enum
{
  OP_INSERT, /* first mark of a new row */
  OP_APPEND, /* one more mark */
  OP_BLOCK,  /* two rows in a transaction block, committed or rolled back */
  OP_OWN,    /* reads the session's own row */
  OP_AGED,   /* reads the group's version with an age bound */
  OP_SERIES, /* reads a long answer */
  OP_VERSION /* writes the group's next version */
} opkind_t;

typedef struct
{
  opkind_t op;
  int kind; /* -1 for versions */
  msec_t arrival;
  msec_t sent;
  int64_t write; /* index in the ledger, -1 for reads */
  int64_t floor; /* OP_AGED: smallest version that is young enough */
  char key[40];
  int step; /* of a block */
  bool rollback;
  bool unsure; /* an earlier try may have run */
  int tries;
} req_t;

typedef enum
{
  S_DOWN,
  S_CONNECTING,
  S_IDLE,
  S_BUSY
} sstate_t;

typedef struct
{
  int n;
  int group;
  bool versions; /* writes the versions of its group */
  PGconn *conn;
  sstate_t state;
  int entry;
  PostgresPollingStatusType want;
  msec_t due; /* end of a connection attempt or answer; start of a retry */
  bool has_req;
  req_t req;
  char token[48];
  char row[32]; /* the row that collects marks now */
  int rows;     /* rows begun */
  int ntags;    /* acknowledged marks in it */
  int used;     /* marks sent to it */
  int64_t tag[ROW_TAGS];
  bool live; /* the row's insertion was acknowledged */
  PGresult *first;
} session_t;

typedef struct
{
  int64_t sent;
  int64_t ok;
  int64_t late;
  int64_t refused;
  int64_t unknown;
  int64_t failed;
  int64_t resent;
  double worth;    /* offered */
  double worth_ok; /* served in time */
  msec_t *latency; /* of the answers OK */
  size_t nlatency;
  size_t caplatency;
} stat_t;

typedef struct
{
  str_t name;
  str_t db[DBS_MAX];
  int ndbs;
  int64_t term;
  msec_t last_ack;
  int ngaps;
  struct
  {
    int64_t term;
    msec_t from;
    msec_t to;
  } gap[TERMS_SEEN];
  int64_t version; /* last sent */
  bool version_row;
  msec_t version_next;
  msec_t *acked; /* per version: when it was acknowledged, 0 if never */
  size_t nacked;
  int64_t reads_primary;
  int64_t reads_replica;
} lgroup_t;

typedef struct
{
  msec_t at;
  int kind;

} arrival_t;

typedef struct
{
  apr_pool_t *pool;
  rng_t rng;
  str_t entry[ENTRIES_MAX];
  int nentries;
  lgroup_t group[GROUPS_MAX];
  int ngroups;
  config_t *cfg;
  double mix[KINDS_MAX];
  double mixsum;
  str_t mixtext;
  double rate; /* requests/s */
  msec_t seconds;
  int nsessions;
  double roam; /* chance that a session changes its entry instance */
  bool baseline;
  str_t report;
  str_t plot;
  str_t title;

  unsigned run; /* names the rows and keys of this run */
  msec_t start;
  msec_t now;
  msec_t next_arrival;
  session_t *session;
  int nall; /* sessions and version writers */
  arrival_t *queue;
  size_t nqueue;
  size_t qhead;
  size_t capqueue;
  write_t *write;
  int64_t nwrites;
  int64_t capwrites;
  int64_t broken[RULES];
  stat_t stat[KINDS_MAX];
  stat_t all;
  FILE *acks; /* plot data */

  pthread_t poller;
  volatile bool stop_poller;
} load_t;

/* ---- ledger.c ---- */

int64_t ledger_add (load_t *l, int group, const char *id, bool pair);
void rule_broken (load_t *l, rule_t r, const char *fmt, ...)
    __attribute__ ((format (printf, 3, 4)));
const char *rule_name (rule_t r);
/* marks: how often <TAG> stands in VAL.  */
int marks (const char *val, int64_t tag);
/* ledger_check: reads the primaries and compares.  False when a primary could
   not be read.  */
bool ledger_check (load_t *l);

/* ---- work.c: statements and answers ---- */

/* work_begin: chooses what request S->req of its kind does.  */
void work_begin (load_t *l, session_t *s);
/* work_sql: the next statement of S's request.  */
void work_sql (load_t *l, session_t *s, char *sql, size_t size);
/* work_answer: takes the result of a statement; true when the request goes on
   with another one.  */
bool work_answer (load_t *l, session_t *s, PGresult *r);
/* work_lost: the answer was lost.  True when the request is to be resent.  */
bool work_lost (load_t *l, session_t *s);

/* ---- session.c ---- */

void session_tick (load_t *l, session_t *s);
void session_event (load_t *l, session_t *s);
/* session_start: begins the request in S->req.  */
void session_start (load_t *l, session_t *s);

/* ---- dbs.c: direct access to the databases ---- */

PGconn *db_open (str_t address, const char *user, const char *dbname,
                 int timeout);
/* db_primary: the address of G's primary of the highest term, or empty.  */
str_t db_primary (const lgroup_t *g);
/* dbs_poll: thread that adds up reads by role.  */
void *dbs_poll (void *arg);

/* ---- report.c ---- */

void stat_add (stat_t *s, msec_t latency);
void report_text (load_t *l, FILE *out);
bool report_json (load_t *l);
bool report_plot (load_t *l);

#endif
