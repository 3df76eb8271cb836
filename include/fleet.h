/* fleet - decisions of a control instance about backend servers, without I/O
   or clock: the roster of those that register by heartbeat, and when and by
   which database a lost primary is replaced.  */

#ifndef FLEET_H
#define FLEET_H

#include "base.h"
#include "proxy.h"
#include "rpc.h"

enum
{
  ROSTER_MAX = 4096,      /* backend servers */
  ROSTER_SILENT = 60000,  /* ms without a heartbeat: taken as gone */
  ROSTER_FORGET = 120000, /* ms that a sign-off is kept, so that a late
                             heartbeat of the same start is known */
  FLEET_NAME = 64
};

/* ---- roster ---- */

typedef struct
{
  char id[FLEET_NAME];
  char service[FLEET_NAME];
  char address[FLEET_NAME];
  char zone[FLEET_NAME];
  int64_t born;
  int64_t seq;
  int64_t slots;
  bool primary;
  bool leaving;
  bool gone;
  msec_t heard;
  int64_t changed; /* number of the roster that has the last change */
} server_t;

typedef struct
{
  server_t *at;
  size_t n;
  size_t cap;
  int64_t number; /* grows with each change that others have to know */
} roster_table_t;

/* roster_beat: a heartbeat heard AGE ms ago.  False when it is older than what
   is known (ERR_STALE) or no database can be made of it (ERR_RANGE).  A
   sign-off has GONE set; what it leaves out is kept.  */
bool roster_beat (roster_table_t *r, const backend_t *b, msec_t now, err_t *e);
/* roster_sweep: signs off what is silent, forgets what signed off.  */
void roster_sweep (roster_table_t *r, msec_t now);
server_t *roster_find (roster_table_t *r, str_t id);
/* roster_list: the entries that changed after NUMBER (-1: all) to OUT, views
   into R; returns their number.  */
size_t roster_list (const roster_table_t *r, int64_t number, msec_t now,
                    backend_t *out, size_t max);
void roster_free (roster_table_t *r);

/* ---- takeover ---- */

enum
{
  PROBE_EVERY = 250,  /* ms between probes of a primary */
  PROBE_TIME = 300,   /* ms until a probe has failed */
  LOST_REFUSED = 200, /* ms of refused connections until a primary is
                         lost; its process has ended */
  LOST_SILENT = 450,  /* the same without any answer */
  SURVEY_TIME = 250,  /* ms that replicas have to tell their positions */
  CALL_TIME = 1500,   /* ms until an unanswered call is made again */
  ROLE_TIME = 2500,   /* ms until a promoted database reports its role */
  HOLD_OFF = 1500,    /* ms after a takeover until the next one */
  NONE_TIME = 2000,   /* ms without any primary until one is chosen */
  SITES = 16          /* databases of one service */
};

typedef enum
{
  TAKE_NOTHING,
  TAKE_SURVEY, /* ask every other database, also a leaving one, for its
                  position */
  TAKE_INTENT, /* record the intent to promote ID */
  TAKE_CALL    /* promote ID under TOKEN */
} take_kind_t;

typedef struct
{
  take_kind_t kind;
  char service[FLEET_NAME];
  char id[FLEET_NAME];
  int64_t token;
} take_act_t;

typedef enum
{
  PHASE_WATCH,
  PHASE_SURVEY,
  PHASE_INTENT,
  PHASE_CALL,
  PHASE_ROLE
} phase_t;

typedef struct
{
  char id[FLEET_NAME];
  pos_t pos;
} survey_t;

/* One service, at the control leader.  */
typedef struct
{
  char service[FLEET_NAME];
  char primary[FLEET_NAME]; /* "" while none is known */
  phase_t phase;
  msec_t since;    /* of the phase */
  msec_t probe_ok; /* last answer of the primary to a probe, -1: none */
  msec_t fail;     /* first probe that failed since, -1: none */
  bool refused;    /* ... and its connections are refused */
  msec_t seen_ok;  /* last success that an entry instance reported */
  msec_t none;     /* since when no primary is known, -1 */
  msec_t hold;     /* no takeover before this time */
  bool planned;
  int64_t sync; /* replicas that hold each acknowledged commit, at least; set
                   by the caller */
  survey_t survey[SITES];
  int nsurvey;
  int asked;
  int calls;
  char chosen[FLEET_NAME];
  int64_t token;
} takeover_t;

void takeover_init (takeover_t *t, str_t service, msec_t now);
/* takeover_probe: a probe of database ID that was sent at SENT.  */
void takeover_probe (takeover_t *t, str_t id, bool ok, bool refused,
                     msec_t sent, msec_t now);
/* takeover_sight: an entry instance heard from ID at OK.  */
void takeover_sight (takeover_t *t, str_t id, msec_t ok);
/* takeover_position: a database other than the primary answered.  */
void takeover_position (takeover_t *t, str_t id, pos_t pos);
/* takeover_recorded: the intent is committed; its index is TOKEN.  */
void takeover_recorded (takeover_t *t, str_t id, int64_t token, msec_t now);
typedef enum
{
  CALL_DONE,    /* accepted */
  CALL_REFUSED, /* another token was higher, or the database is not running */
  CALL_UNKNOWN  /* no answer, or try again */
} call_t;
void takeover_called (takeover_t *t, int64_t token, call_t result, msec_t now);
/* takeover_tick: what to do now.  */
take_act_t takeover_tick (takeover_t *t, const roster_table_t *r, msec_t now);

#endif
