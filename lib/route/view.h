/* view - what an entry instance knows of groups and databases; shared by the
   files of lib/route.  */

#ifndef VIEW_H
#define VIEW_H

#include "route.h"

enum
{
  SAMPLES = 32,       /* positions of a primary kept with their times */
  SAMPLE_GAP = 5,     /* ms between two kept samples */
  AVOID_FIRST = 100,  /* ms a database is avoided after a failure */
  AVOID_MAX = 3000,   /* ms */
  WAIT_SHORT = 30,    /* ms, longest wait for a replica to catch up */
  AGE_MARGIN = 50,    /* ms of an age bound kept for the read itself */
  RETRY_LATER = 20,   /* ms until a waiting request asks again */
  FLOOR = 1,          /* connections a process keeps without a lease */
  FLOOR_TTL = 7200000 /* ms without contact after which no floor is used */
};

/* The primary had reached POS at some time not before SENT.  */
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
  msec_t until;      /* end of the lease */
  int64_t best_term; /* highest term heard of */
  history_t history;
  sample_t samples[SAMPLES]; /* oldest first */
  int nsamples;
} group_t;

typedef struct
{
  str_t db;
  int limit;
  msec_t until;
} limit_t;

struct view
{
  apr_pool_t *pool;
  str_t zone;
  rng_t *rng;
  int64_t raft_term;
  int64_t seq;
  int64_t cfg_term;
  int64_t cfg_index;
  msec_t contact; /* last grant from a leader */
  group_t *groups[256];
  int ngroups;
  db_t *dbs[1024];
  int ndbs;
  limit_t *limits[1024];
  int nlimits;
};

group_t *view_find_group (view_t *v, str_t name);
/* view_newest: the newest sample of G taken at or after SINCE that was sent
   last; NULL when there is none.  */
const sample_t *view_newest (const group_t *g, msec_t since);
/* view_oldest: the oldest sample of G sent at or after SINCE: the least that a
   replica has to cover.  */
const sample_t *view_oldest (const group_t *g, msec_t since);

#endif
