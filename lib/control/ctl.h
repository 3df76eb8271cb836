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
  HISTORY_BYTES = 512, /* bytes stored of a term history */
  PROBE_FRESH = 300,   /* ms that an answer or a report stays valid */
  MAX_REFUSALS = 64,   /* recent refusals stored, to audit each only once */
  REPROPOSE = 1000,    /* ms after which a proposed record counts as dropped */
  RESEND = 100         /* ms between attempts of one command */
};

typedef char name_t[DB_NAME_MAX];

/* ---- records ---- */

typedef enum
{
  REC_TAKEOVER = 1,
  REC_SUBMIT, /* STATE: submit_status_t */
  REC_MEMBER, /* STATE: mem_bits_t */
  REC_ENTRY,  /* STATE 0: down, 1: up, 2: removed, 3: granted its floors */
  REC_INTENT,
  REC_PRIMARY, /* STATE 0: adopted, 1: promoted */
  REC_LEASE,   /* STATE 0: all expired, 1: first granted */
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

/* An entry of the log, or a part of a snapshot.  The use of each field depends
   on the type.  */
typedef struct
{
  int64_t type;
  int64_t wall; /* ms since 1970, for display only */
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
  str_t actor;
  str_t text;
} rec_t;

void rec_pack (buf_t *out, const rec_t *r);
/* rec_unpack: reads the record at *OFF and advances *OFF past it; strings are
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

/* Reachability of one database as reported by one observer, a control or an
   entry instance.  */
typedef struct
{
  name_t name;
  bool control;
  bool reachable;
  msec_t at;            /* last report */
  msec_t ok;            /* last answer as the primary of the current term */
  msec_t failing_since; /* first of the failing reports; 0: none */
} obs_t;

/* Connections to one database granted to one entry instance.  */
typedef struct
{
  int64_t cur; /* last grant */
  msec_t cur_until;
  int64_t old; /* largest earlier grant that may still be used */
  msec_t old_until;
  int64_t want; /* connections it could use */
  int64_t open; /* connections it reported as held */
} hold_t;

typedef enum
{
  M_LEAVING = 1,
  M_STALE = 2,
  M_EXPIRED = 4,
  M_REMOVED = 8
} mem_bits_t;

/* Status that a database reports.  */
typedef struct
{
  int64_t term;
  bool primary;
  int64_t position;
  int64_t confirmed;
  int64_t upstream_age;
  char history[HISTORY_BYTES];
} status_t;

/* A database, member of a group.  */
typedef struct
{
  /* Replicated.  */
  name_t name;
  name_t group;
  name_t address;
  name_t zone;
  int64_t bits;        /* mem_bits_t */
  int64_t follow_term; /* highest term of a recorded follow command */

  /* Local to this process.  */
  msec_t announced;
  bool leaving; /* in its last announcement */
  bool answered;
  msec_t at;           /* last answer to any control instance */
  status_t st;         /* in that answer */
  int64_t log_term;    /* last term of the history */
  int64_t record_term; /* term of the log record at POSITION */
  bool own_ok;         /* answered this instance's last probe */
  msec_t own_at;
  msec_t own_answer; /* last answer to this instance; 0: never */
  status_t own;      /* in that answer */

  /* Highest log term and position observed; BASELINE is the same 1 to 2 s ago.
     Up to OBSERVED_TERM, MAX covers all data that it ever had.  */
  int64_t max_term, max_pos;
  int64_t baseline_term, baseline_pos;
  int64_t next_baseline_term, next_baseline_pos;
  msec_t baseline_at;
  int64_t observed_term;
  bool regressed; /* a probe or announcement was below BASELINE */

  msec_t proposed;          /* a record about it is pending since; 0: none */
  msec_t stale_since;       /* when it became stale, for the catch-up check */
  int64_t catchup_pos;      /* position to reach; -1: not sampled yet */
  msec_t unreachable_since; /* 0: reachable */
  msec_t removed_at;        /* 0: not removed since this process started */

  /* Failover.  */
  bool fenced;
  msec_t fence_sent;
  bool fence_refused;
  int64_t fence_max_term, fence_max_pos; /* MAX at the last fence command */
  int64_t fence_log_term, fence_record_term, fence_pos;
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
  int64_t intent_raft_term; /* of the intent record */
  bool lease_open;          /* a lease for TERM is on record */
  bool adopted;             /* PRIMARY was adopted in TERM, not promoted */

  /* Local to this process.  */
  msec_t proposed;     /* an intent or result is pending since; 0: none */
  msec_t last_grant;   /* last lease granted by this instance */
  bool lease_proposed; /* the record of TERM's first lease was appended */
  msec_t promoted_at;  /* when PRIMARY was promoted; 0: unknown */
  msec_t intent_at;
  msec_t ready_since;         /* adoption: majority announced since; 0: no */
  msec_t role_mismatch_since; /* PRIMARY reports another role or term; 0: no */
  name_t candidate;
  msec_t promote_first;
  msec_t promote_sent;
  bool refusal_recorded; /* a refusal was audited during this outage */
  msec_t majority_at;    /* when a majority was fenced; 0: not yet */
  int64_t promotions;
} grp_t;

/* An entry instance.  */
typedef struct
{
  /* Replicated.  */
  name_t name;
  bool up;
  bool removed;    /* no longer configured, its floors are still counted */
  bool has_floors; /* its floors were granted */

  /* Local to this process.  */
  int64_t boot; /* in its last renewal, new at each start; 0: none yet */
  msec_t renewed_at;
  msec_t removed_at;
  bool stopping;
  int64_t cfg_index; /* of the configuration that it uses */
  msec_t proposed;
  bool full_sent;  /* a full grant was sent since it or this leader started */
  uint64_t digest; /* of the databases and terms in the last grant */
} ent_t;

typedef struct act_node act_node_t;

typedef struct
{
  int64_t ticket;
  name_t id;
} pending_t;

/* A refusal in the audit trail.  */
typedef struct
{
  uint64_t key;
  msec_t at;
} refusal_t;

/* The decisions that safety depends on.  The fuzzer replaces them one by one
   with faulty ones to show that its oracle detects the fault.  */
typedef struct
{
  bool (*lease_expired) (const control_t *c, const grp_t *g, msec_t now);
  int (*fence_quorum) (const control_t *c, const grp_t *g);
  bool (*more_advanced) (const mem_t *a, const mem_t *b);
  int64_t (*held_by_others) (const control_t *c, const mem_t *m, int slot,
                             msec_t now);
  bool (*base_matches) (const control_t *c, const rec_t *r);
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
  ent_t *ent[MAX_ENTRIES]; /* by slot; NULL: free */
  apr_pool_t *conf_pool;
  ctl_conf_t conf;

  /* Local to this process.  */
  bool is_leader;
  bool ready; /* leader, and its takeover record is applied */
  int64_t raft_term;
  name_t leader;
  msec_t role_at;
  msec_t quorum_at;
  int64_t targets_changed;
  pending_t *pending;
  int npending, cap_pending;
  refusal_t refusals[MAX_REFUSALS];
  int refusal_at;
  act_node_t *head, *tail, *popped;
};

/* ---- act.c ---- */
void act_append (control_t *c, rec_t *r);
void act_db (control_t *c, db_op_t op, const mem_t *m, int64_t term,
             const char *owner, const char *target);
void act_answer (control_t *c, int64_t ticket, const submit_resp_t *r);
void act_clear (control_t *c);

/* ---- state.c ---- */
/* name_set: copies S; false when it does not fit and is truncated.  */
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
/* audit_get: I-th oldest record stored, or NULL.  */
const audit_t *audit_get (const control_t *c, int i);
/* conf_apply: makes TEXT the current configuration; false when it cannot be
   parsed.  */
bool conf_apply (control_t *c, str_t text, msec_t now, err_t *e);
void state_clear (control_t *c);
static inline str_t
mem_name (const mem_t *m)
{
  return str_of (m->name);
}
/* mem_state: db_state_t for grants.  */
int64_t mem_state (const mem_t *m);
/* mem_intact: M is not known to have lost data.  */
bool mem_intact (const mem_t *m);
/* mem_fresh: M answered a control instance within PROBE_FRESH.  */
bool mem_fresh (const mem_t *m, msec_t now);
/* grp_mem: next member of G from *I on, or NULL.  */
mem_t *grp_mem (const control_t *c, const grp_t *g, int *i);
/* grp_size: configured size, or the number of members when larger.  */
int grp_size (const control_t *c, const grp_t *g);
/* grp_fence_quorum: number of databases that must be fenced before a
   promotion.  */
int grp_fence_quorum (const control_t *c, const grp_t *g);

/* ---- detect.c ---- */
/* detect_probe: processes the probe result P of observer WHO.  */
void detect_probe (control_t *c, str_t who, bool control, const probe_t *p,
                   msec_t now);
/* detect_unreachable: NULL, or why the primary of G counts as unreachable.  */
const char *detect_unreachable (const control_t *c, const grp_t *g,
                                msec_t now);
/* detect_reset: restarts the observation of M, after it became the primary. */
void detect_reset (mem_t *m, msec_t now);
/* detect_reachable: a majority of the observers with fresh reports reach M. */
bool detect_reachable (const mem_t *m, msec_t now);

/* ---- member.c ---- */
void member_announce (control_t *c, const announce_t *a, msec_t now);
/* member_regressed: TERM and POS are below what M had 1 to 2 s ago.  */
bool member_regressed (const mem_t *m, int64_t term, int64_t pos);
void member_takeover (control_t *c, msec_t now);
void member_tick (control_t *c, msec_t now);
/* member_propose: appends a change of M's bits with CAUSE.  */
void member_propose (control_t *c, mem_t *m, int64_t bits, const char *cause,
                     msec_t now);

/* ---- entry.c ---- */
/* entry_renew: NULL when the renewal is not accepted.  */
ent_t *entry_renew (control_t *c, const renew_t *r, msec_t now, int *slot);
/* entry_record_floors: records that T was granted its floors.  */
void entry_record_floors (control_t *c, ent_t *t, msec_t now);
void entry_tick (control_t *c, msec_t now);

/* ---- refuse.c ---- */
/* audit_refusal: appends a refusal to the audit trail, at most once a minute
   for the same GROUP, NAME and CAUSE.  */
void audit_refusal (control_t *c, str_t group, str_t name, str_t address,
                    const char *cause, msec_t now);

/* ---- lease.c ---- */
/* lease_refusal: NULL when leases of G may be granted at NOW, or why not.  */
const char *lease_refusal (const control_t *c, const grp_t *g, msec_t now);
void lease_fill (control_t *c, grp_t *g, msec_t now, lease_t *out);
/* lease_expired: no lease of G granted by any leader can still be valid.  */
bool lease_expired (const control_t *c, const grp_t *g, msec_t now);

/* ---- budget.c ---- */
/* budget_fill: grants the instance in SLOT connections to M; false when the
   grant omits M.  */
bool budget_fill (control_t *c, mem_t *m, int slot, const renew_t *r,
                  msec_t now, budget_t *out);
/* budget_held_by_others: connections to M that instances other than the one in
   SLOT may be using.  */
int64_t budget_held_by_others (const control_t *c, const mem_t *m, int slot,
                               msec_t now);
/* budget_usage: stores the connections that the renewal reports.  */
void budget_usage (control_t *c, int slot, const renew_t *r, msec_t now);

/* ---- failover.c ---- */
void failover_tick (control_t *c, msec_t now);
/* failover_more_advanced: A's log is more advanced than B's, by the term of
   its last record, then position.  The last term of the history cannot be
   used: a replica adopts its primary's history before it has the records.  */
bool failover_more_advanced (const mem_t *a, const mem_t *b);
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
/* apply_base_matches: submission R is based on the current version.  */
bool apply_base_matches (const control_t *c, const rec_t *r);

/* ---- submit.c ---- */
/* submit_done: answers the pending submissions ID with its outcome.  */
void submit_done (control_t *c, str_t id);
/* submit_drop: answers all pending submissions as SUBMIT_UNKNOWN.  */
void submit_drop (control_t *c);

#endif
