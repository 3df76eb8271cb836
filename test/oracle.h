/* oracle - operations on a world with a plain record of what was acknowledged,
   and one check for each rule that shows at this level.  */

#ifndef ORACLE_H
#define ORACLE_H

#include "world.h"

enum
{
  O_SESSIONS = 6,
  O_PENDING = 64,
  O_EPISODE = 4000, /* operations before everything is healed */
  O_OPS = 22        /* kinds of operations */
};

/* Deliberate faults, to show that the checks notice.  */
typedef enum
{
  FAULT_NONE,
  FAULT_NEED,        /* one fenced database is enough */
  FAULT_FURTHER,     /* the least advanced database is promoted */
  FAULT_LEASE_OVER,  /* no wait for leases before a promotion */
  FAULT_OTHERS,      /* budgets ignore what others hold */
  FAULT_BASE,        /* a change is accepted on any base version */
  FAULT_OUTCOME,     /* a resend is decided again */
  FAULT_STATE,       /* leaving databases look active */
  FAULT_COVER,       /* a replica claims to cover every token */
  FAULT_LEASE_CHECK, /* the entry instance does not check its lease */
  FAULT_AGE,         /* samples of any age prove a read */
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
  int64_t version; /* highest accepted */
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
  msec_t quiet_since; /* last fault */
  msec_t left[W_DBS]; /* announced leaving, without faults since; 0: no */
  int64_t done[O_OPS];
  int64_t acked, refused, reads, stale_refused, promoted;
  char failure[160]; /* empty while every check holds */
} oracle_t;

oracle_t *oracle_new (uint64_t seed, fault_t fault);
void oracle_free (oracle_t *o);
/* oracle_op: one operation chosen by CHOICE.  False after a failure.  */
bool oracle_op (oracle_t *o, uint64_t choice);
/* oracle_settle: heals everything; false when work does not go on.  */
bool oracle_settle (oracle_t *o);
bool oracle_fail (oracle_t *o, const char *fmt, ...)
    __attribute__ ((format (printf, 2, 3)));

/* ---- oracle_fault.c ---- */
void oracle_fault (world_t *w, fault_t f);

/* ---- oracle_check.c ---- */
void oracle_ack (oracle_t *o, const pending_write_t *p);
/* oracle_has: the first N acknowledged writes of GROUP are in D.  */
bool oracle_has (const oracle_t *o, const world_db_t *d, int group, int n);
void oracle_checks (oracle_t *o);

#endif
