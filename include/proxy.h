/* proxy - sessions of clients on connections to databases, in typed
   operations.

   The wire formats of clients and databases are tables of function pointers
   (client_codec_t, db_codec_t).  Samples and placement are decisions without
   I/O or clock; the rest joins them to the loop.  */

#ifndef PROXY_H
#define PROXY_H

#include "base.h"
#include "loop.h"
#include "rpc.h"

/* ---- operations ---- */

typedef enum
{
  OP_BEGIN,
  OP_BEGIN_READ,
  OP_COMMIT,
  OP_ROLLBACK,
  OP_READ,       /* ARG: item */
  OP_WRITE,      /* ARG: item and data */
  OP_SET,        /* NAME, ARG: value */
  OP_PREPARE,    /* NAME, WRITES, ARG: shape */
  OP_EXECUTE,    /* NAME, ARG: item and data */
  OP_DEALLOCATE, /* NAME */
  OP_MALFORMED
} op_kind_t;

typedef struct
{
  op_kind_t kind;
  str_t id; /* of the client's request */
  str_t name;
  str_t arg;
  bool writes;
} op_t;

/* Why an operation failed.  Of the first group a client knows that nothing of
   its attempt is kept.  */
typedef enum
{
  FAIL_NONE,
  FAIL_BUSY,
  FAIL_ABORTED,
  FAIL_LAGGING,
  FAIL_READONLY,
  FAIL_MISROUTED,
  FAIL_TOOMANY,
  FAIL_INDOUBT, /* it may or may not be kept */
  FAIL_TIMEOUT, /* the same */
  FAIL_FAILED,  /* it ran and failed */
  FAIL_NOSTMT,
  FAIL_MALFORMED,
  FAIL_NODB,
  FAIL_OTHER /* a code that this side does not know; see the text */
} fail_t;

const char *fail_name (fail_t f);

/* A place in a group's log; a TERM of 0 is none.  */
typedef struct
{
  int64_t term;
  int64_t number;
} pos_t;

/* pos_cmp: <0, 0, >0.  A later term is later, whatever the numbers: its log
   holds all of the earlier terms that is kept.  */
int pos_cmp (pos_t a, pos_t b);

typedef enum
{
  TX_NONE,
  TX_OPEN,
  TX_FAILED
} tx_t;

/* ---- codecs ---- */

typedef enum
{
  CLIENT_STARTUP, /* HOST */
  CLIENT_OP,      /* OP */
  CLIENT_END
} client_kind_t;

typedef struct
{
  client_kind_t kind;
  str_t host;
  str_t who; /* who asks, as it says itself */
  op_t op;
} client_msg_t;

/* Strings of a decoded message are views into IN.  DECODE returns 1 with USED
   bytes, 0 when more are needed, -1 when IN is no message.  */
typedef struct
{
  int (*decode) (str_t in, size_t *used, client_msg_t *m);
  void (*row) (buf_t *out, str_t row);
  void (*done) (buf_t *out, str_t signature);
  void (*error) (buf_t *out, fail_t f, str_t text);
  /* POS: what the session has written last, for another instance; or none.  */
  void (*ready) (buf_t *out, tx_t state, pos_t pos);
} client_codec_t;

typedef enum
{
  DB_ROW,   /* TEXT */
  DB_DONE,  /* TEXT: signature */
  DB_ERROR, /* FAIL, TEXT: code and detail as they came */
  DB_READY  /* STATE, POS */
} db_kind_t;

typedef struct
{
  db_kind_t kind;
  str_t text;
  fail_t fail;
  tx_t state;
  pos_t pos;
} db_msg_t;

/* What a database says of itself.  */
typedef struct
{
  bool primary;
  int64_t term;
  pos_t received;
} db_status_t;

typedef struct
{
  int (*decode) (str_t in, size_t *used, db_msg_t *m);
  void (*startup) (buf_t *out, str_t service, str_t who, str_t id);
  /* OP as the client asked it, with the prepared statement PREPARED instead
     of its name; AFTER (may be none) is the position that it needs.  An empty
     id stands for an operation of the proxy's own.  */
  void (*op) (buf_t *out, const op_t *op, str_t prepared, pos_t after);
  void (*reset) (buf_t *out);
  void (*status) (buf_t *out);
  bool (*status_row) (str_t row, db_status_t *st);
} db_codec_t;

/* ---- decisions: proofs of freshness ---- */

enum
{
  MARKS = 16,         /* samples kept for a service */
  MARK_SPACING = 160, /* ms between them: together they span the ages that
                         reads may have, and the oldest asks least */
};

/* Positions of the primary, each at least every commit that was acknowledged
   before the question was sent.  */
typedef struct
{
  int n;
  int next;
  struct
  {
    msec_t sent;
    pos_t pos;
  } at[MARKS];
} marks_t;

/* marks_add: a sample; one of a later term drops the others, since a position
   that was rolled back is never reached again.  */
void marks_add (marks_t *m, msec_t sent, pos_t pos);
/* marks_need: the position that a read which arrived at BEGAN has to see, of
   a session that last wrote at OWN (or none), with commits acknowledged over
   MAX_AGE ms before it.  The oldest sample that is young enough asks least of
   a replica.  False when no sample is.  */
bool marks_need (const marks_t *m, msec_t began, msec_t max_age, pos_t own,
                 pos_t *need);
/* marks_fresh: sent time of the newest sample, -1 for none.  */
msec_t marks_fresh (const marks_t *m);

/* ---- decisions: placement ---- */

/* What is known of one database when a statement is placed.  */
typedef struct
{
  bool leader; /* believed to take writes */
  bool near;   /* in the own availability zone */
  bool usable; /* registered, not leaving, not avoided, not tried */
  int idle;    /* connections that nobody uses */
  int opening;
  int open;
  int limit; /* connections that this instance may open */
  int busy;  /* statements that this instance has running there */
  double ms; /* smoothed time of a statement there; 0: unknown */
} site_t;

typedef enum
{
  PLACE_USE,  /* an idle connection of AT */
  PLACE_OPEN, /* open a connection to AT, and wait */
  PLACE_WAIT, /* for a connection that is busy or opening */
  PLACE_NONE  /* nothing can serve it now */
} place_kind_t;

typedef struct
{
  place_kind_t kind;
  int at;
} place_t;

/* place_read: a read that any database may serve.  Replicas come before the
   primary, whose connections writes need; the own zone before others.  */
place_t place_read (const site_t *s, int n);
/* place_lead: a statement that only the primary may serve.  */
place_t place_lead (const site_t *s, int n);

/* ---- decisions: owners of scarce connections ---- */

enum
{
  OWNERS_MAX = 8 /* of a service in one availability zone */
};

/* Where databases have fewer connections than two for each entry instance, a
   few instances of each zone own those of a service, and the others forward
   to them: one queue sees the statements of many sessions, connections are not
   opened for one statement each, and after a loss of power few are opened at
   once.  */
bool owners_needed (int connections, int entries);
/* owners_count: how many of the NEAR instances of one zone, of ENTRIES in
   all, own connections to a service with CONNECTIONS to each database.  */
int owners_count (int connections, int entries, int near);
/* owners_pick: the K of N addresses that own SERVICE, by rendezvous hashing:
   one that comes or goes moves no other.  Returns their number.  */
int owners_pick (str_t service, const str_t *address, int n, int k, int *out);

/* ---- daemon ---- */

typedef struct
{
  str_t name;
  str_t zone;
  str_t listen;       /* clients */
  str_t peers;        /* told to other instances, which forward to it */
  str_t peers_listen; /* bound for them; empty: nothing is forwarded */
  str_t *control;     /* rpc addresses of control instances known at start */
  size_t ncontrol;
  msec_t grace;   /* from SIGTERM to the end of the process */
  msec_t startup; /* that a client may take to ask for its database */
  const client_codec_t *client;
  const db_codec_t *db;
} proxy_conf_t;

typedef struct proxy proxy_t;

proxy_t *proxy_new (apr_pool_t *pool, loop_t *l, const proxy_conf_t *c,
                    err_t *e);
/* proxy_control: other control instances to try, after a reload.  */
void proxy_control (proxy_t *p, const str_t *address, size_t n);
/* proxy_turn: for loop_run.  */
msec_t proxy_turn (void *arg, msec_t now);
/* proxy_ready: takes new sessions.  Any thread.  */
bool proxy_ready (const proxy_t *p);
/* proxy_stop: begins a graceful shutdown; the loop stops after it.  */
void proxy_stop (proxy_t *p);

#endif
