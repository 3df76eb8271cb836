/* view - an entry instance's view of groups and databases (internal to
   lib/route).  */

#ifndef VIEW_H
#define VIEW_H

#include "route.h"

enum
{
  SAMPLES = 32,      /* samples of a primary's position kept per group */
  SAMPLE_GAP = 5,    /* ms, least time between two kept samples */
  AVOID_FIRST = 100, /* ms that a database is avoided after one failure */
  AVOID_MAX = 3000,  /* ms that a database is avoided at most */
  WAIT_SHORT = 30,  /* ms, longest wait for a replica if a primary can serve */
  AGE_MARGIN = 50,  /* ms of an age bound reserved for the read itself */
  RETRY_DELAY = 20, /* ms until a waiting request is routed again */
  FLOOR = 1,        /* connections allowed without a budget lease */
  FLOOR_TTL = 7200000 /* ms after the last grant that the floor is allowed */
};

/* The primary was at POS at some time not before SENT.  */
typedef struct
{
  int64_t term;
  int64_t pos;
  msec_t sent;
} sample_t;

typedef struct
{
  str_t name;
  int64_t term; /* of the lease */
  str_t primary;
  msec_t expires;   /* end of the lease */
  int64_t max_term; /* highest term observed */
  history_t history;
  sample_t samples[SAMPLES]; /* oldest first */
  int nsamples;
} group_t;

/* Budget lease: connections that this process may hold to DB.  */
typedef struct
{
  str_t db;
  int limit;
  msec_t expires;
} conn_limit_t;

struct view
{
  apr_pool_t *pool;
  str_t zone;
  rng_t *rng;
  int64_t raft_term;
  int64_t seq; /* renewal that the newest accepted grant answers */
  int64_t cfg_term;
  int64_t cfg_index;
  msec_t last_grant; /* time of the last grant of a leader; 0: none */
  group_t *groups[256];
  int ngroups;
  db_t *dbs[1024];
  int ndbs;
  conn_limit_t *limits[1024];
  int nlimits;
};

group_t *view_find_group (view_t *v, str_t name);
/* view_oldest: the oldest sample of G sent at or after SINCE, which is the
   least that a replica has to cover; NULL when there is none.  */
const sample_t *view_oldest (const group_t *g, msec_t since);

#endif
