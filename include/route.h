/* route - decisions at an entry instance without I/O: session tokens, log
   histories, leases, the view of the groups and the choice of a database.
   One thread uses a view.  All times are msec_now times of this process.  */

#ifndef ROUTE_H
#define ROUTE_H

#include "base.h"
#include "rpc.h"

/* ---- tokens ---- */

/* A point in a group's log.  A term of 0 is "no token".  */
typedef struct
{
  int64_t term;
  int64_t pos;
} token_t;

/* token_parse: "TERM:POSITION"; false with ERR_SYNTAX.  */
bool token_parse (str_t s, token_t *t, err_t *e);
/* token_format: writes T to OUT, returns its length.  */
size_t token_format (token_t t, char out[48]);

enum
{
  HISTORY_MAX = 64 /* terms kept; older ones are merged into the oldest */
};

/* The group terms that a log went through: term N began at position START.  */
typedef struct
{
  int n;
  struct
  {
    int64_t term;
    int64_t start;
  } at[HISTORY_MAX];
} history_t;

/* history_parse: "1:0,2:553", terms and starts rising; ERR_SYNTAX.  */
bool history_parse (str_t s, history_t *h, err_t *e);
/* history_covers: a database with history H and applied position POS has all
   that T stands for.  */
bool history_covers (const history_t *h, int64_t pos, token_t t);
/* token_max: the later of two tokens under H (positions of different terms are
   compared through H only).  */
token_t token_max (const history_t *h, token_t a, token_t b);

/* ---- view of the groups ---- */

typedef struct view view_t;

typedef struct
{
  str_t name;
  str_t group;
  str_t address;
  str_t zone;
  int64_t state; /* db_state_t */
  int64_t term;
  int64_t pos;    /* last known position */
  msec_t seen;    /* when POS was learned */
  double lag;     /* ms, smoothed estimate of replication lag */
  double latency; /* ms, smoothed time of a round trip to it */
  int busy;       /* requests of this process running on it */
  int failures;   /* consecutive failures to connect or answer */
  msec_t avoid;   /* not chosen before this time, after failures */
} db_t;

view_t *view_new (apr_pool_t *pool, str_t zone, rng_t *rng);

/* view_grant: takes a grant received at NOW.  Ignores one of an older raft
   term or an older renewal (ERR_STALE).  CFG_NEW is set when it carries a
   configuration newer than the one in force.  */
bool view_grant (view_t *v, const grant_t *g, msec_t now, bool *cfg_new,
                 err_t *e);

/* view_group: false when the configuration or a grant never named GROUP.  */
bool view_group (view_t *v, str_t group);
/* view_db, view_dbs: databases by name; by place, NULL past the end.  */
db_t *view_db (view_t *v, str_t name);
db_t *view_dbs (view_t *v, size_t i);
/* view_primary: the primary under a lease that holds at NOW, with its term,
   or NULL.  */
db_t *view_primary (view_t *v, str_t group, msec_t now, int64_t *term);
/* view_lease: this instance may acknowledge writes of TERM at NOW.  */
bool view_lease (view_t *v, str_t group, int64_t term, msec_t now);
/* view_limit: connections this process may hold to DB at NOW; FLOOR when no
   budget lease holds.  */
int view_limit (view_t *v, str_t db, msec_t now);
/* view_history: last known history of GROUP's present term, or NULL.  */
const history_t *view_history (view_t *v, str_t group);

/* ---- what requests teach ---- */

/* view_sample: the primary of TERM had reached POS when it answered a query
   sent at SENT.  */
void view_sample (view_t *v, str_t group, int64_t term, int64_t pos,
                  msec_t sent);
/* view_applied: DB reported an applied position, in answer to a query sent at
   SENT and answered at NOW.  */
void view_applied (view_t *v, str_t db, int64_t term, int64_t pos, msec_t sent,
                   msec_t now);
void view_ok (view_t *v, str_t db, msec_t latency, msec_t now);
void view_failed (view_t *v, str_t db, msec_t now);

/* ---- choice ---- */

typedef enum
{
  ROUTE_PRIMARY, /* DB, TERM */
  ROUTE_REPLICA, /* DB; prove coverage of NEED, waiting at most WAIT ms */
  ROUTE_BARRIER, /* sample the primary DB first, then ask again */
  ROUTE_LATER,   /* ask again after WAIT ms or at the next grant */
  ROUTE_NONE     /* refuse: nothing can serve it before the deadline */
} route_kind_t;

typedef struct
{
  route_kind_t kind;
  db_t *db;
  int64_t term;
  token_t need;
  msec_t wait;
} route_t;

typedef struct
{
  str_t group;
  bool write;
  token_t token;   /* of the session; term 0: none */
  msec_t began;    /* when the session's connection began */
  msec_t max_age;  /* ms; -1: read-your-writes instead of an age */
  msec_t deadline; /* absolute */
  unsigned tried;  /* bit i set: view_dbs (v, i) has failed this request */
} ask_t;

/* route_pick: where the request goes now.  */
route_t route_pick (view_t *v, const ask_t *a, msec_t now);

#endif
