/* route - routing decisions of an entry instance, without I/O: session tokens,
   log histories, leases, the view of groups and databases, and the choice of a
   database for a request.  A view belongs to one thread.  All times are
   msec_now times of this process.  */

#ifndef ROUTE_H
#define ROUTE_H

#include "base.h"
#include "rpc.h"

/* ---- tokens ---- */

/* A position in a group's log.  Term 0 means "no token".  */
typedef struct
{
  int64_t term;
  int64_t pos;
} token_t;

/* token_parse: reads "TERM:POSITION"; false and ERR_SYNTAX when malformed.  */
bool token_parse (str_t s, token_t *t, err_t *e);
/* token_format: writes T to OUT and returns the length of the text.  */
size_t token_format (token_t t, char out[48]);

enum
{
  HISTORY_MAX = 64 /* terms kept; the oldest is dropped to add another */
};

/* The terms of a group's log: each TERM began at position START.  */
typedef struct
{
  int n;
  struct
  {
    int64_t term;
    int64_t start;
  } at[HISTORY_MAX];
} history_t;

/* history_parse: reads a list such as "1:0,2:553".  False and ERR_SYNTAX when
   it is malformed, a term does not increase or a start decreases.  */
bool history_parse (str_t s, history_t *h, err_t *e);
/* history_covers: a database with history H that has applied the log up to
   position POS contains every write up to token T.  */
bool history_covers (const history_t *h, int64_t pos, token_t t);
/* token_max: the later of two tokens.  Positions of different terms are
   compared through H only.  */
token_t token_max (const history_t *h, token_t a, token_t b);

/* ---- view of the groups ---- */

typedef struct view view_t;

typedef struct
{
  str_t name;
  str_t group;
  str_t address;
  str_t zone;
  int64_t state;  /* db_state_t */
  int64_t term;   /* of POS */
  int64_t pos;    /* last known position */
  msec_t pos_at;  /* when POS was last updated */
  double lag;     /* ms, smoothed estimate of replication lag */
  double latency; /* ms, smoothed round-trip time */
  int busy;       /* requests of this process running on it */
  int failures;   /* consecutive failures to connect or answer */
  msec_t avoid;   /* after failures: not chosen before this time */
} db_t;

/* view_new: a view of an instance in availability zone ZONE, without groups or
   databases; its memory comes from POOL.  */
view_t *view_new (apr_pool_t *pool, str_t zone, rng_t *rng);

/* view_apply_grant: updates the view from a grant received at NOW.  False and
   ERR_STALE when the grant has an older raft term or answers an older renewal;
   nothing changes then.  Sets *CFG_NEW when the grant carries a configuration
   newer than the one in force.  */
bool view_apply_grant (view_t *v, const grant_t *g, msec_t now, bool *cfg_new,
                       err_t *e);

/* view_has_group: false when no grant has named GROUP.  */
bool view_has_group (view_t *v, str_t group);
/* view_db: the database NAME or NULL; view_db_at: the database at index I,
   NULL past the end.  */
db_t *view_db (view_t *v, str_t name);
db_t *view_db_at (view_t *v, size_t i);
/* view_primary: the primary of GROUP if its lease is valid at NOW, with its
   term in *TERM; else NULL.  */
db_t *view_primary (view_t *v, str_t group, msec_t now, int64_t *term);
/* view_lease_valid: this instance may acknowledge writes of TERM at NOW.  */
bool view_lease_valid (view_t *v, str_t group, int64_t term, msec_t now);
/* view_conn_limit: connections that this process may hold to DB at NOW.
   Without a valid budget lease: FLOOR, or 0 when the last grant is too old. */
int view_conn_limit (view_t *v, str_t db, msec_t now);
/* view_history: last known history of GROUP's present term, or NULL.  */
const history_t *view_history (view_t *v, str_t group);

/* ---- observations from requests ---- */

/* view_add_sample: the primary of TERM was at position POS when it answered a
   query sent at SENT.  */
void view_add_sample (view_t *v, str_t group, int64_t term, int64_t pos,
                      msec_t sent);
/* view_set_applied: DB reported that it has applied the log up to POS of TERM,
   in answer to a query sent at SENT and answered at NOW.  Also updates the
   estimate of its lag.  */
void view_set_applied (view_t *v, str_t db, int64_t term, int64_t pos,
                       msec_t sent, msec_t now);
/* view_db_ok: DB answered after LATENCY ms: clears its failures.  */
void view_db_ok (view_t *v, str_t db, msec_t latency, msec_t now);
/* view_db_failed: DB failed to connect or answer: it is not chosen for a time
   that doubles with each consecutive failure.  */
void view_db_failed (view_t *v, str_t db, msec_t now);

/* ---- choice of a database ---- */

typedef enum
{
  ROUTE_PRIMARY, /* run on DB, the primary of TERM */
  ROUTE_REPLICA, /* run on DB once it proves that it covers NEED, within WAIT
                  */
  ROUTE_BARRIER, /* sample the primary DB, then call route_pick again */
  ROUTE_RETRY,   /* call again after WAIT or at the next grant */
  ROUTE_NONE     /* refuse: nothing can serve it before the deadline */
} route_kind_t;

typedef struct
{
  route_kind_t kind;
  db_t *db;
  int64_t term;
  token_t need;
  msec_t wait; /* ms */
} route_t;

/* A request to be routed.  */
typedef struct
{
  str_t group;
  bool write;
  token_t token;   /* of the session; term 0: none */
  msec_t began;    /* when the session's connection was opened */
  msec_t max_age;  /* ms, of the data read; -1: read-your-writes instead */
  msec_t deadline; /* absolute */
  unsigned tried;  /* bit i set: view_db_at (v, i) failed this request */
} route_request_t;

/* route_pick: decides at NOW where the request goes.  */
route_t route_pick (view_t *v, const route_request_t *q, msec_t now);

#endif
