/* fleet - decisions of a control instance about backend servers, without I/O
   or clock: the roster of those that register by heartbeat, and when a failed
   primary is replaced and by which database.  */

#ifndef FLEET_H
#define FLEET_H

#include "base.h"
#include "proxy.h"
#include "rpc.h"

enum
{
  ROSTER_MAX = 4096,         /* backend servers */
  ROSTER_TIMEOUT = 60000,    /* ms without heartbeat; then deregistered */
  ROSTER_RETENTION = 120000, /* ms that a deregistered one is kept, to refuse
                                late heartbeats of the same start */
  SEQ_JUMP_MAX = 1000000     /* heartbeats that may be missed in a row */
};

/* ---- roster ---- */

typedef struct
{
  char id[NAME_SIZE];
  char service[NAME_SIZE];
  char address[NAME_SIZE];
  char zone[NAME_SIZE];
  int64_t incarnation; /* orders the starts under one id */
  int64_t seq;         /* orders the heartbeats of one start */
  int64_t slots;
  bool primary; /* the role that it reports */
  bool leaving; /* draining: gets no new work */
  bool gone;    /* deregistered */
  msec_t heartbeat_at;
  int64_t changed; /* revision of the roster at the last change */
} server_t;

typedef struct
{
  server_t *at;
  size_t n;
  size_t cap;
  int64_t revision; /* grows with each change that others have to receive */
  uint32_t *index;  /* hash of the id to 1 + its place in AT; 0: free */
  size_t nindex;    /* a power of two */
} roster_table_t;

/* roster_heartbeat: enters the heartbeat B, received B->age ms ago.  False
   when a later one is known (ERR_STALE), it is invalid (ERR_RANGE) or the
   roster is full (ERR_FULL).  With GONE set it deregisters the server, whose
   other fields stay as they were.  */
bool roster_heartbeat (roster_table_t *r, const backend_t *b, msec_t now,
                       err_t *e);
/* roster_expire: deregisters servers without a recent heartbeat, deletes those
   that were deregistered long ago.  */
void roster_expire (roster_table_t *r, msec_t now);
server_t *roster_find (const roster_table_t *r, str_t id);
/* roster_list: the entries that changed after REVISION (-1: all) to OUT, views
   into R; returns how many.  */
size_t roster_list (const roster_table_t *r, int64_t revision, msec_t now,
                    backend_t *out, size_t max);
void roster_free (roster_table_t *r);

/* ---- takeover ---- */

enum
{
  PROBE_INTERVAL = 250, /* ms between probes of a primary */
  PROBE_TIMEOUT = 300,  /* ms until a probe has failed */
  REFUSED_LIMIT = 200,  /* ms of refused connections until a primary has
                           failed; short, since its process has ended */
  SILENCE_LIMIT = 450,  /* the same without any answer */
  SURVEY_TIMEOUT = 250, /* ms that replicas have to report positions, and
                           to pause */
  QUIESCE_TIME = 600,   /* ms from the draining of a primary until no entry
                           instance commits at it any more; matters only
                           where a database can't be paused */
  RESUME_DELAY = 5000,  /* ms until a new leader resumes replicas that a
                           former one may have paused: a call of that one
                           may still be carried out */
  CALL_RETRY_INTERVAL = 1500, /* ms until an unanswered call is repeated */
  CALL_ATTEMPTS = 4,          /* calls under one token */
  ROLE_TIMEOUT = 2500,        /* ms until a promoted database has to report its
                                 role; also until an intent is committed */
  TAKEOVER_HOLD_OFF = 1500,   /* ms after a takeover until the next one */
  NO_PRIMARY_LIMIT = 2000,    /* ms without any primary until one is chosen */
  SURVEY_MAX = 16             /* databases of one service that are compared */
};

typedef enum
{
  TAKEOVER_NONE,
  TAKEOVER_SURVEY, /* request the position of every other database, also of a
                      leaving one */
  TAKEOVER_PAUSE,  /* pause each of them for term TOKEN */
  TAKEOVER_RESUME, /* resume each of them */
  TAKEOVER_INTENT, /* record the intent to promote ID */
  TAKEOVER_CALL    /* call the platform to promote ID under TOKEN */
} takeover_action_kind_t;

typedef struct
{
  takeover_action_kind_t kind;
  char service[NAME_SIZE];
  char id[NAME_SIZE];
  int64_t token;
} takeover_action_t;

typedef enum
{
  PHASE_MONITOR, /* the primary works, or is not known to have failed */
  PHASE_SURVEY,  /* positions of the other databases are collected */
  PHASE_PAUSE,   /* they are paused and report final positions */
  PHASE_QUIESCE, /* one can't be paused: entry instances stop committing */
  PHASE_INTENT,  /* the intent is being committed */
  PHASE_CALL,    /* the platform is called */
  PHASE_ROLE     /* the call was accepted; the new primary has to report */
} phase_t;

typedef struct
{
  char id[NAME_SIZE];
  pos_t pos;
} survey_t;

/* One service, at the control leader.

   With synchronous replicas an acknowledged commit has to be in the log of the
   next primary, and the present one may acknowledge commits until it is
   replaced, on the word of any replica.  So the positions that decide are
   those of paused replicas, of which the primary gets no more
   acknowledgements.  They stay paused until the promotion has been seen or is
   known never to happen.  */
typedef struct
{
  char service[NAME_SIZE];
  char primary[NAME_SIZE]; /* "" while none is known */
  int64_t roster_revision; /* of the roster that PRIMARY was taken from,
                              -1: none */
  bool has_primary;        /* that roster lists PRIMARY as such */
  phase_t phase;
  msec_t phase_since;
  msec_t probe_ok_at;      /* last successful probe of the primary, -1: none */
  msec_t fail_since;       /* send time of the first probe that failed after
                              PROBE_OK_AT, -1: none */
  bool refused;            /* ... and its connections are refused */
  msec_t reported_ok_at;   /* last answer of the primary to an entry instance,
                              -1: none */
  msec_t no_primary_since; /* -1: a primary is known */
  msec_t hold_until;       /* no takeover before this time */
  bool planned;            /* the primary is leaving */
  int64_t sync_replicas;   /* replicas that hold each acknowledged commit, at
                              least; set by the caller */
  survey_t survey[SURVEY_MAX];
  int nsurvey; /* databases that have answered */
  int nasked;  /* databases whose answers are expected */
  bool final; /* no acknowledged commit is later than the positions surveyed */
  bool paused; /* replicas may be paused, by this leader or a former one */
  int64_t pause_term; /* of this leader's last pause; 0: none */
  bool unpausable;    /* a database refused to pause in this takeover */
  bool call_open;     /* a promote call may be carried out later */
  msec_t resume_at;   /* replicas aren't resumed before this time */
  msec_t planned_at;  /* the primary was first seen leaving */
  int attempts;
  char chosen[NAME_SIZE];
  int64_t token;
} takeover_t;

void takeover_init (takeover_t *t, str_t service, msec_t now);
/* takeover_probe: result of a probe of database ID that was sent at SENT.  */
void takeover_probe (takeover_t *t, str_t id, bool ok, bool refused,
                     msec_t sent, msec_t now);
/* takeover_report: an entry instance received an answer from ID at
   OK.  */
void takeover_report (takeover_t *t, str_t id, msec_t ok);
/* takeover_position: position of a database other than the primary.  */
void takeover_position (takeover_t *t, str_t id, pos_t pos);
/* takeover_paused: database ID is paused for TERM and reports its final
   position.  takeover_unpausable: one refused to pause.  */
void takeover_paused (takeover_t *t, str_t id, int64_t term, pos_t pos);
void takeover_unpausable (takeover_t *t);
/* takeover_recorded: the intent is committed; its index is TOKEN.  */
void takeover_recorded (takeover_t *t, str_t id, int64_t token, msec_t now);
/* Result of a promote call.  */
typedef enum
{
  CALL_ACCEPTED,
  CALL_REFUSED, /* another token was higher, or the database is not running */
  CALL_UNKNOWN  /* no answer, or the platform asks for a retry */
} promote_result_t;
void takeover_promote_result (takeover_t *t, int64_t token,
                              promote_result_t result, msec_t now);
/* takeover_tick: the next action.  */
takeover_action_t takeover_tick (takeover_t *t, const roster_table_t *r,
                                 msec_t now);

#endif
