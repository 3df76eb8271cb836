/* load - sends requests of each configured kind over libpq and checks every
   answer, and finally the databases, against a ledger of the writes that it
   sent.  Times are in milliseconds.  */

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
  GAPS_MAX = 32,       /* failover gaps recorded for a group */
  ROW_WRITES_MAX = 16, /* writes to one row */
  SERIES_ROWS = 2000   /* rows of a long answer */
};

/* ---- ledger ---- */

typedef enum
{
  OUT_PENDING,
  OUT_ACKED,
  OUT_UNKNOWN, /* may or may not have been committed */
  OUT_NOT_RUN, /* refused, failed or rolled back: must have no effect */
} outcome_t;

/* One write: it appends the tag <N> to row ID (to rows IDa and IDb for a
   transaction block), so that a lost or repeated write is detected.  N is its
   index in the ledger.  */
typedef struct
{
  outcome_t out;
  int group;
  bool block; /* a transaction block of two rows */
  char id[32];
} write_t;

typedef enum
{
  RULE_LOST,          /* an acknowledged write is missing */
  RULE_DOUBLED,       /* a write was applied more than once */
  RULE_STALE,         /* a read returned data older than it may */
  RULE_MIXED,         /* wrong rows or results, or half of a transaction */
  RULE_TRUNCATED,     /* an answer ended early */
  RULE_CROSSED,       /* the answer to another request */
  RULE_FALSE_NOT_RUN, /* a write reported as not run was applied */
  RULES
} rule_t;

/* ---- requests ---- */

typedef enum
{
  OP_INSERT,   /* inserts a row with its first tag */
  OP_APPEND,   /* appends a tag to the row */
  OP_BLOCK,    /* two rows in a transaction block, committed or rolled back */
  OP_READ_OWN, /* reads the session's own row */
  OP_READ_BOUNDED, /* reads the group's version with an age bound */
  OP_READ_SERIES,  /* reads a long answer */
  OP_VERSION       /* writes the group's next version */
} op_kind_t;

typedef struct
{
  op_kind_t op;
  int kind; /* index of the request kind, -1 for OP_VERSION */
  msec_t arrival;
  msec_t sent;
  int64_t write;       /* index in the ledger, -1 for reads */
  int64_t min_version; /* OP_READ_BOUNDED: oldest version within the bound */
  char key[40];
  int step; /* of a transaction block, 0 to 3 */
  bool rollback;
  bool maybe_applied; /* an earlier attempt may have been applied */
  int tries;
} req_t;

typedef enum
{
  S_DISCONNECTED,
  S_CONNECTING,
  S_IDLE,
  S_BUSY
} session_state_t;

typedef struct
{
  int n;
  int group;
  bool versions; /* the version writer of its group */
  PGconn *conn;
  session_state_t state;
  int entry;
  PostgresPollingStatusType want;
  msec_t due; /* timeout of a connection or answer, or time of a retry */
  bool has_req;
  req_t req;
  char token[48];
  char row[32]; /* id of the row written at present */
  int rows;     /* rows started */
  int ntags;    /* acknowledged tags of the row */
  int nsent;    /* tags sent to the row */
  int64_t tag[ROW_WRITES_MAX];
  bool row_acked;   /* the insert of the row was acknowledged */
  PGresult *result; /* result of the statement in progress */
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
  double worth;    /* of all requests sent */
  double worth_ok; /* of the requests served in time */
  msec_t *latency; /* of the successful answers, from arrival */
  size_t nlatency;
  size_t caplatency;
} stat_t;

typedef struct
{
  str_t name;
  str_t db[DBS_MAX]; /* addresses, the primary first */
  int ndbs;
  int64_t term; /* highest term of an acknowledged write */
  msec_t last_ack;
  int ngaps;
  struct
  {
    int64_t term;
    msec_t from;
    msec_t to;
  } gap[GAPS_MAX];
  int64_t version;     /* last version sent */
  bool version_row;    /* the row of the version exists */
  msec_t version_next; /* time of the next version */
  msec_t *acked_at;    /* by version: time of its acknowledgement or 0 */
  size_t acked_cap;
  int64_t reads_primary;
  int64_t reads_replica;
} load_group_t;

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
  load_group_t group[GROUPS_MAX];
  int ngroups;
  config_t *cfg;
  double mix[KINDS_MAX]; /* weight of each kind */
  double mixsum;
  str_t mixtext;
  double rate;    /* requests/s */
  msec_t seconds; /* duration in ms */
  int nsessions;
  double roam;   /* probability of a switch to another entry instance */
  bool baseline; /* connect to the primaries, not to entry instances */
  str_t report;
  str_t plot;
  str_t title;

  unsigned run; /* distinguishes the rows and keys of this run */
  msec_t start;
  msec_t now;
  msec_t next_arrival;
  session_t *session;
  int nall;         /* sessions and version writers */
  arrival_t *queue; /* requests without a session, in order of arrival */
  size_t nqueue;
  size_t qhead;
  size_t capqueue;
  write_t *write;
  int64_t nwrites;
  int64_t capwrites;
  int64_t violations[RULES];
  stat_t stat[KINDS_MAX];
  stat_t version_stat; /* of the version writers; not reported */
  FILE *ack_file;      /* plot data: time and group of each acknowledgement */

  pthread_t poller;
  volatile bool stop_poller;
} load_t;

/* ---- ledger.c ---- */

/* ledger_add: records a pending write; its index.  */
int64_t ledger_add (load_t *l, int group, const char *id, bool block);
/* rule_violated: counts a violation of R and logs it with text FMT.  */
void rule_violated (load_t *l, rule_t r, const char *fmt, ...)
    __attribute__ ((format (printf, 3, 4)));
const char *rule_name (rule_t r);
/* count_tag: number of occurrences of <TAG> in VAL.  */
int count_tag (const char *val, int64_t tag);
/* ledger_check: compares the rows of the primaries with the ledger.  False if
   a primary could not be read.  */
bool ledger_check (load_t *l);

/* ---- work.c: statements and answers ---- */

/* work_begin: chooses the operation of S->req according to its kind.  */
void work_begin (load_t *l, session_t *s);
/* work_sql: the next statement of S's request.  */
void work_sql (load_t *l, session_t *s, char *sql, size_t size);
/* work_answer: processes the result of a statement.  True if the request goes
   on: with its next statement, or resent after an error.  */
bool work_answer (load_t *l, session_t *s, PGresult *r);
/* work_answer_lost: no answer arrived.  True if the request is to be
   resent.  */
bool work_answer_lost (load_t *l, session_t *s);

/* ---- session.c ---- */

/* session_tick: connects, detects timeouts and starts version writes.  */
void session_tick (load_t *l, session_t *s);
/* session_event: the socket of S is ready.  */
void session_event (load_t *l, session_t *s);
/* session_start: starts the request S->req.  */
void session_start (load_t *l, session_t *s);

/* ---- dbs.c: direct access to the databases ---- */

/* db_open: connects to the database at ADDRESS; TIMEOUT in seconds.  */
PGconn *db_open (str_t address, const char *user, const char *dbname,
                 int timeout);
/* db_primary: address of G's primary with the highest term, or empty.  */
str_t db_primary (const load_group_t *g);
/* dbs_poll: thread that counts the reads of each group by role.  */
void *dbs_poll (void *arg);

/* ---- report.c ---- */

/* stat_add: adds a latency to the samples of S.  */
void stat_add (stat_t *s, msec_t latency);
void report_text (load_t *l, FILE *out);
bool report_json (load_t *l);
bool report_plot (load_t *l);

#endif
