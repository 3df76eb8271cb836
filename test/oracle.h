/* oracle - random operations on a world, a record of the acknowledged writes,
   and checks of the rules (R1 to R9 of docs/design.md) that can be observed at
   this level.  */

#ifndef ORACLE_H
#define ORACLE_H

#include "world.h"

enum
{
  O_SESSIONS = 6,
  O_PENDING = 64,   /* unacknowledged writes, at most */
  O_EPISODE = 4000, /* operations before all faults are repaired */
  O_OPS = 22        /* kinds of operations */
};

/* Faults built in on purpose, to show that the checks detect them.  */
typedef enum
{
  FAULT_NONE,
  FAULT_FENCE_QUORUM,   /* one fenced database is enough for a promotion */
  FAULT_MORE_ADVANCED,  /* the least advanced database is promoted */
  FAULT_LEASE_EXPIRED,  /* no wait for leases before a promotion */
  FAULT_HELD_BY_OTHERS, /* budgets ignore connections of other instances */
  FAULT_BASE,           /* a change is accepted whatever its base version */
  FAULT_OUTCOME,        /* a repeated submission is decided again */
  FAULT_STATE,          /* leaving databases are reported as active */
  FAULT_COVER,          /* every replica counts as covering every token */
  FAULT_LEASE_CHECK,    /* the entry instance does not check its lease */
  FAULT_AGE,            /* a sample of any age proves an age bound */
  FAULTS
} fault_t;

typedef struct
{
  int id;
  int64_t pos;
  msec_t at;
} ack_t;

typedef struct
{
  int entry, group;
  token_t token;
  msec_t began;
  int pending; /* -1: none */
} session_t;

typedef struct
{
  bool used, answered, slow;
  int session, entry, db, group, id;
  int64_t boot, term, pos;
  msec_t sent, due;
} pending_write_t;

typedef struct
{
  world_t *w;
  fault_t fault;
  session_t s[O_SESSIONS];
  pending_write_t p[O_PENDING];
  ack_t *acks[W_GROUPS];
  int nacks[W_GROUPS], cap[W_GROUPS];
  int64_t ack_term[W_GROUPS];
  int next_id;
  int64_t version; /* highest accepted configuration version */
  int nsubmits, ticket;
  struct
  {
    char id[16];
    int64_t base, status, version;
    const char *text;
    int ticket;
    bool done;
  } submit[64];
  int64_t entry_cfg[W_ENTRIES];
  msec_t last_fault;           /* time of the last injected fault */
  msec_t leaving_since[W_DBS]; /* 0: no, or a fault since */
  int64_t done[O_OPS];
  int64_t acked, refused, reads, stale_refused, promoted;
  char failure[160]; /* of the first failed check, else empty */
} oracle_t;

oracle_t *oracle_new (uint64_t seed, fault_t fault);
void oracle_free (oracle_t *o);
/* oracle_op: runs one operation, chosen by CHOICE.  False after a failure.  */
bool oracle_op (oracle_t *o, uint64_t choice);
/* oracle_settle: repairs all faults; false when the system does not recover or
   has lost a write or a configuration.  */
bool oracle_settle (oracle_t *o);
/* oracle_fail: records the first failure; returns false.  */
bool oracle_fail (oracle_t *o, const char *fmt, ...)
    __attribute__ ((format (printf, 2, 3)));

/* ---- oracle_fault.c ---- */
/* oracle_fault: builds F into the rules of every control instance.  */
void oracle_fault (world_t *w, fault_t f);

/* ---- oracle_check.c ---- */
/* oracle_ack: records that write P is acknowledged, and checks R2.  */
void oracle_ack (oracle_t *o, const pending_write_t *p);
/* oracle_has: D contains the first N acknowledged writes of GROUP.  */
bool oracle_has (const oracle_t *o, const world_db_t *d, int group, int n);
/* oracle_checks: the checks that hold at any time.  */
void oracle_checks (oracle_t *o);

#endif
