/* Internal types of the control library.  */

#ifndef CTL_H
#define CTL_H

#include "control.h"

enum
{
  MAX_DBS = 256,       /* databases of all groups */
  MAX_GROUPS = 64,     /* groups ever configured */
  MAX_ENTRIES = 128,   /* entry instances, removed ones included */
  MAX_OBSERVERS = 136, /* observers of one database */
  HISTORY_TEXT = 512,  /* bytes of a history kept */
  OBS_FRESH = 300,     /* ms that an observer's last report counts */
  MAX_TOLD = 64,       /* recent refusals remembered */
  REPROPOSE = 1000,    /* ms after which a record counts as dropped */
  RESEND = 100         /* ms between tries of one command */
};

typedef char name_t[DB_NAME_MAX];

/* ---- records ---- */

typedef enum
{
  REC_TAKEOVER = 1,
  REC_SUBMIT,
  REC_MEMBER,
  REC_ENTRY,
  REC_INTENT,
  REC_PRIMARY,
  REC_LEASE,
  REC_REPAIR,
  REC_REFUSAL,
  /* Only in snapshots.  */
  SNAP_HEAD = 100,
  SNAP_OUTCOME,
  SNAP_MEMBER,
  SNAP_GROUP,
  SNAP_ENTRY,
  SNAP_AUDIT,
  SNAP_END
} rec_type_t;

/* One entry of the log, and one part of a snapshot.  The use of each field
   depends on the type.  */
typedef struct
{
  int64_t type;
  int64_t wall; /* ms since 1970, for people only */
  int64_t base;
  int64_t term;
  int64_t position;
  int64_t state;
  str_t cause;
  str_t decider;
  str_t group;
  str_t name;
  str_t address;
  str_t zone;
  str_t prev;
  str_t next;
  str_t id;
  str_t who;
  str_t text;
} rec_t;

void rec_pack (buf_t *out, const rec_t *r);
/* rec_unpack: reads the record at *OFF and moves *OFF past it; strings are
   views into DATA.  */
bool rec_unpack (str_t data, size_t *off, rec_t *r, err_t *e);

/* ---- state ---- */

typedef struct
{
  name_t id;
  int64_t status; /* submit_status_t */
  int64_t version;
  int64_t raft_term;
  int64_t index;
  name_t by;
  char detail[192];
} outcome_t;

typedef struct
{
  int64_t index;
  int64_t raft_term;
  char *p; /* packed rec_t */
  size_t n;
} audit_t;

/* What one observer says about one database.  */
typedef struct
{
  name_t who;
  bool control;
  bool reachable;
  msec_t at;        /* last report */
  msec_t ok;        /* last answer as the primary of the present term */
  msec_t bad_since; /* first report of the present run of failures */
} obs_t;

/* Connections to one database granted to one entry instance.  */
typedef struct
{
  int64_t cur; /* last grant */
  msec_t cur_until;
  int64_t old; /* largest earlier grant that may still be in use */
  msec_t old_until;
  int64_t want;
  int64_t open;
} hold_t;

typedef enum
{
  M_LEAVING = 1,
  M_STALE = 2,
  M_EXPIRED = 4,
  M_REMOVED = 8
} mem_bits_t;

/* What a database says of itself.  */
typedef struct
{
  int64_t term;
  bool primary;
  int64_t position;
  int64_t confirmed;
  int64_t upstream_age;
  char history[HISTORY_TEXT];
} status_t;

/* A database.  */
typedef struct
{
  /* Replicated.  */
  name_t name;
  name_t group;
  name_t address;
  name_t zone;
  int64_t bits;        /* mem_bits_t */
  int64_t follow_term; /* highest term it was told to follow in */

  /* Of this process.  */
  msec_t announced;
  bool leaving; /* by its last announcement */
  bool answered;
  msec_t at;           /* last answer to any control instance */
  status_t st;         /* in that answer */
  int64_t log_term;    /* last term of the history */
  int64_t record_term; /* term of the record at POSITION */
  bool own_ok;         /* answered this instance's last probe */
  msec_t own_at;
  msec_t own_answer; /* last answer to this instance; 0: never */
  status_t own;      /* in that answer */

  /* Highest log term and position seen, and the same 1 to 2 s ago.  */
  int64_t known_term, known_pos;
  int64_t past_term, past_pos;
  int64_t next_term, next_pos;
  msec_t rotated;
  int64_t witness; /* term for which KNOWN has all that it ever had */
  bool back;       /* a probe or announcement was below PAST */

  msec_t proposed;    /* a record about it is under way since; 0: none */
  msec_t stale_since; /* for the proof of having caught up */
  int64_t need_pos;   /* -1: not sampled yet */
  msec_t gone_since;  /* unreachable since; 0: reachable */
  msec_t removed_at;  /* left the group; 0: not since this process started */

  /* Failover.  */
  bool fenced;
  msec_t fence_sent;
  bool fence_refused;
  int64_t fence_known_term, fence_known_pos; /* known at the first fence */
  int64_t f_log_term, f_record_term, f_pos;
  msec_t follow_sent;

  obs_t obs[MAX_OBSERVERS];
  int nobs;
  hold_t hold[MAX_ENTRIES];
} mem_t;

typedef struct
{
  /* Replicated.  */
  name_t name;
  int64_t term;
  name_t primary;
  bool intent;
  int64_t new_term;
  name_t owner;
  int64_t intent_raft; /* raft term of the intent record */
  bool lease_open;     /* a lease for TERM is on record */
  bool adopted;        /* TERM was running when the group was first seen */

  /* Of this process.  */
  msec_t proposed;   /* an intent or result is under way since; 0: none */
  msec_t last_grant; /* last lease given by this instance */
  bool lease_told;   /* the first grant of TERM is on its way to the log */
  msec_t repaired;   /* when the present primary was recorded; 0 unknown */
  msec_t intent_at;
  msec_t ready_since; /* adoption: majority announced since; 0: no */
  msec_t wrong_since; /* the primary denies its role since; 0: no */
  name_t candidate;
  msec_t promote_first;
  msec_t promote_sent;
  bool refused;    /* the refusal of this episode is on record */
  msec_t majority; /* when a majority was fenced; 0: not yet */
  int64_t promotions;
} grp_t;

/* An entry instance.  */
typedef struct
{
  /* Replicated.  */
  name_t name;
  bool up;
  bool removed; /* no longer configured, its floors are still held */
  bool floored; /* it has been given its floors */

  /* Of this process.  */
  int64_t boot;
  msec_t seen;
  msec_t removed_at;
  bool stopping;
  int64_t cfg_index; /* of the configuration that it has in force */
  msec_t proposed;
  bool filled;     /* has had a full grant since it or this leader started */
  uint64_t digest; /* of the databases and terms in the last grant */
} ent_t;

typedef struct act_node act_node_t;

typedef struct
{
  int64_t ticket;
  name_t id;
} pending_t;

/* A refusal that is on record.  */
typedef struct
{
  uint64_t key;
  msec_t at;
} told_t;

/* The decisions that safety rests on.  The fuzzer replaces them one by one to
   show that its oracle notices.  */
typedef struct
{
  bool (*lease_over) (const control_t *c, const grp_t *g, msec_t now);
  int (*need) (const control_t *c, const grp_t *g);
  bool (*further) (const mem_t *a, const mem_t *b);
  int64_t (*others) (const control_t *c, const mem_t *m, int slot, msec_t now);
  bool (*base_holds) (const control_t *c, const rec_t *r);
  const outcome_t *(*outcome) (const control_t *c, str_t id);
  int64_t (*state) (const mem_t *m);
} rules_t;

struct control
{
  apr_pool_t *pool;
  rules_t rules;
  name_t name;
  name_t address;
  ctl_conf_ops_t ops;
  msec_t (*wall) (void);

  /* Replicated.  */
  char *cfg;
  size_t cfg_n;
  int64_t cfg_version, cfg_term, cfg_index;
  name_t cfg_by;
  int64_t applied, applied_term;
  outcome_t outcomes[CTL_OUTCOMES];
  int noutcomes, outcome_at;
  audit_t audits[CTL_AUDIT];
  int naudits, audit_at;
  mem_t *mem[MAX_DBS];
  int nmem;
  grp_t *grp[MAX_GROUPS];
  int ngrp;
  ent_t *ent[MAX_ENTRIES]; /* by slot, may have holes */
  apr_pool_t *conf_pool;
  ctl_conf_t conf;

  /* Of this process.  */
  bool leads, ready;
  int64_t raft_term;
  name_t leader;
  msec_t role_at;
  msec_t quorum_at;
  int64_t targets_changed;
  pending_t *pending;
  int npending, cap_pending;
  told_t told[MAX_TOLD];
  int told_at;
  act_node_t *head, *tail, *popped;
};

/* ---- act.c ---- */
void act_append (control_t *c, rec_t *r);
void act_db (control_t *c, db_op_t op, const mem_t *m, int64_t term,
             const char *owner, const char *target);
void act_answer (control_t *c, int64_t ticket, const submit_resp_t *r);
void act_clear (control_t *c);

/* ---- state.c ---- */
/* name_set: false when S does not fit; D is then cut.  */
bool name_set (name_t d, str_t s);
mem_t *mem_find (const control_t *c, str_t name);
mem_t *mem_add (control_t *c, str_t name);
grp_t *grp_find (const control_t *c, str_t name);
grp_t *grp_add (control_t *c, str_t name);
ent_t *ent_find (const control_t *c, str_t name, int *slot);
ent_t *ent_add (control_t *c, str_t name);
void ent_free (control_t *c, int slot);
const ctl_group_t *conf_group (const control_t *c, str_t name);
const ctl_instance_t *conf_instance (const control_t *c, str_t name);
const outcome_t *outcome_find (const control_t *c, str_t id);
void outcome_add (control_t *c, const outcome_t *o);
void audit_add (control_t *c, int64_t raft_term, int64_t index,
                const rec_t *r);
/* audit_at: I-th oldest record kept, or NULL.  */
const audit_t *audit_get (const control_t *c, int i);
bool conf_use (control_t *c, str_t text, msec_t now, err_t *e);
void state_clear (control_t *c);
static inline str_t
mem_name (const mem_t *m)
{
  return str_of (m->name);
}
/* mem_state: db_state_t for grants.  */
int64_t mem_state (const mem_t *m);
/* mem_whole: it has not come back without data that it had.  */
bool mem_whole (const mem_t *m);
/* mem_fresh: a control instance had an answer within OBS_FRESH.  */
bool mem_fresh (const mem_t *m, msec_t now);
/* grp_mem: next member of G from *I on, or NULL.  */
mem_t *grp_mem (const control_t *c, const grp_t *g, int *i);
/* grp_size: configured size, or the number of members when larger.  */
int grp_size (const control_t *c, const grp_t *g);
/* grp_need: databases that must be fenced before a promotion.  */
int grp_need (const control_t *c, const grp_t *g);

/* ---- detect.c ---- */
void detect_probe (control_t *c, str_t who, bool control, const probe_t *p,
                   msec_t now);
/* detect_lost: NULL, or why the primary of G counts as lost.  */
const char *detect_lost (const control_t *c, const grp_t *g, msec_t now);
/* detect_grace: observers of M start anew, after it became the primary.  */
void detect_grace (mem_t *m, msec_t now);
/* detect_reached: a majority of the fresh observers reach the primary.  */
bool detect_reached (const mem_t *m, msec_t now);

/* ---- member.c ---- */
void member_announce (control_t *c, const announce_t *a, msec_t now);
/* member_past: TERM and POS are below what M had a second ago.  */
bool member_past (const mem_t *m, int64_t term, int64_t pos);
void member_takeover (control_t *c, msec_t now);
void member_tick (control_t *c, msec_t now);
/* member_propose: appends a change of M's bits with CAUSE.  */
void member_propose (control_t *c, mem_t *m, int64_t bits, const char *cause,
                     msec_t now);

/* ---- entry.c ---- */
/* entry_renew: NULL when the renewal is not accepted.  */
ent_t *entry_renew (control_t *c, const renew_t *r, msec_t now, int *slot);
/* entry_floored: puts on record that T was given its floors.  */
void entry_floored (control_t *c, ent_t *t, msec_t now);
void entry_tick (control_t *c, msec_t now);

/* ---- refuse.c ---- */
/* refuse_note: appends a refusal to the audit trail, at most once a minute for
   the same CAUSE and NAME.  */
void refuse_note (control_t *c, str_t group, str_t name, str_t address,
                  const char *cause, msec_t now);

/* ---- lease.c ---- */
/* lease_refusal: NULL when leases of G may be given at NOW, or why not.  */
const char *lease_refusal (const control_t *c, const grp_t *g, msec_t now);
void lease_fill (control_t *c, grp_t *g, msec_t now, lease_t *out);
/* lease_over: no lease of G given by any leader can still hold.  */
bool lease_over (const control_t *c, const grp_t *g, msec_t now);

/* ---- budget.c ---- */
/* budget_fill: connections of the instance in SLOT to M; false when the grant
   says nothing about M.  */
bool budget_fill (control_t *c, mem_t *m, int slot, const renew_t *r,
                  msec_t now, budget_t *out);
/* budget_others: connections to M that instances other than the one in SLOT
   may be using.  */
int64_t budget_others (const control_t *c, const mem_t *m, int slot,
                       msec_t now);
void budget_uses (control_t *c, int slot, const renew_t *r, msec_t now);

/* ---- failover.c ---- */
void failover_tick (control_t *c, msec_t now);
/* failover_further: A has a longer log than B, by the term of its last record,
   then position.  The last term of the history would not do: a replica takes
   over its primary's history before it has the records.  */
bool failover_further (const mem_t *a, const mem_t *b);
void failover_result (control_t *c, const db_event_t *ev, msec_t now);
/* failover_begin: an intent of this instance was applied.  */
void failover_begin (control_t *c, grp_t *g, msec_t now);
/* failover_propose: appends the intent of the next term.  */
void failover_propose (control_t *c, grp_t *g, const char *cause, msec_t now);

/* ---- adopt.c ---- */
void adopt_tick (control_t *c, grp_t *g, msec_t now);

/* ---- follow.c ---- */
void follow_tick (control_t *c, grp_t *g, msec_t now);

/* ---- apply.c ---- */
/* apply_base_holds: submission R is based on the present version.  */
bool apply_base_holds (const control_t *c, const rec_t *r);

/* ---- submit.c ---- */
void submit_done (control_t *c, str_t id);
void submit_drop (control_t *c);

#endif
