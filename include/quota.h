/* quota - rates of operations that hold for a whole fleet: the buckets of an
   accountant, which counts for a tenant in one availability zone, and the
   grants that a holder has from it.

   Pure functions without I/O or a clock: times in ms are parameters, each of
   the clock of the instance that calls.  docs/design/quotas.md has the
   reasons.  */

#ifndef QUOTA_H
#define QUOTA_H

#include "base.h"

enum
{
  QUOTA_GRANT_LIFE = 250, /* ms from the sending of the ask */
  QUOTA_RECENT = 200, /* ms of use that a grant is made for; then the rest is
                         returned */
  QUOTA_RETURN_SLOT = 200, /* ms; returns are accepted for the grants of the
                              current and the previous slot */
  QUOTA_SLOTS = 21, /* of the window, and one for grants that are used later */
  QUOTA_FREEZE = 500,     /* ms between two turns after which buckets empty */
  QUOTA_RETRY_MIN = 20,   /* ms that a holder without tokens waits at least */
  QUOTA_RETRY_MAX = 5000, /* and at most */
  QUOTA_SETTLE = 700,     /* ms of contact with control after which others have
                             a change of the list of instances too */
  QUOTA_LISTS = 3,        /* earlier lists of instances that are kept */
  QUOTA_RANKS = 2,        /* accountants that are asked one after the other */
  QUOTA_BUCKETS_MAX = 16384, /* tenants of one accountant */
  QUOTA_IDLE = 600000 /* ms after which an unused bucket may be dropped */
};

/* ---- limits ---- */

/* What the operator's rule allows beyond (rate * window + burst), and the
   number of parts that each limit is divided into.  */
typedef struct
{
  int zones;
  msec_t window; /* ms */
  double excess; /* part of the limit */
  double slack;  /* operations in a window */
} quota_rule_t;

/* The limit of one accountant.  */
typedef struct
{
  int64_t version; /* of the configuration */
  double rate;     /* tokens a second */
  double capacity; /* tokens */
  double most;     /* tokens in a window; 0: no limit of it */
  msec_t window;   /* ms */
  double second;   /* part of RATE of an accountant that isn't the first */
} quota_limit_t;

/* quota_limit: the part of one zone of RATE operations a second and BURST.  */
quota_limit_t quota_limit (const quota_rule_t *r, int64_t version,
                           int64_t rate, int64_t burst);
/* quota_limit_part: a part 1/N of it, for an instance that counts alone.  */
quota_limit_t quota_limit_part (const quota_limit_t *l, int n);

/* ---- accountant ---- */

typedef struct quota_table quota_table_t;

/* Standing of an accountant for a tenant.  Each instance knows a list of the
   instances of its zone; they can differ for a while after a change.  */
typedef struct
{
  bool first;      /* it is the one that counts by its list, */
  msec_t since;    /* without a break since that list */
  msec_t heard_at; /* last news from control, which would have changed it */
} quota_standing_t;

/* quota_is_second: whether another instance may count too: AT isn't the first,
   or hasn't heard for long from control since it became the first or woke
   from a freeze at FROZEN_AT.  */
bool quota_is_second (const quota_standing_t *at, msec_t frozen_at);

typedef struct
{
  int tokens;
  msec_t retry; /* ms until there is a further token; 0: there were enough */
  bool full;    /* there are QUOTA_BUCKETS_MAX other tenants, all in use */
} quota_answer_t;

/* quota_table_new, quota_table_free: a table of buckets by tenant.  */
quota_table_t *quota_table_new (void);
void quota_table_free (quota_table_t *t);
/* quota_table_turn: notes a turn of the accountant's loop.  After a freeze
   other accountants have counted; all buckets are empty then.  */
void quota_table_turn (quota_table_t *t, msec_t now);
/* quota_table_ask: takes back RETURNED tokens, then grants up to NEED, and a
   part of what is left, up to MORE.  LIMIT replaces that of an older
   configuration.  A bucket is empty when the accountant becomes the first; a
   new one of another accountant starts with little more than one token.  */
quota_answer_t quota_table_ask (quota_table_t *t, str_t tenant,
                                const quota_limit_t *limit,
                                const quota_standing_t *at, int need, int more,
                                int returned, msec_t now);
/* quota_table_bytes: memory of T.  quota_table_size: number of buckets.  */
size_t quota_table_bytes (const quota_table_t *t);
size_t quota_table_size (const quota_table_t *t);

/* ---- holder ---- */

/* Grants of one tenant at one holder.  Zeroed: none.  */
typedef struct
{
  int tokens;
  msec_t until; /* TOKENS end */
  msec_t fresh; /* what is left then is to be returned */
  int spare;    /* tokens of operations that never ran, to be returned */
  msec_t spare_until;
  msec_t retry_at; /* no tokens before this time */
  bool asked;      /* an ask awaits its answer */
  msec_t asked_at;
  msec_t slot; /* start of the current slot of QUOTA_RECENT ms */
  int used[2]; /* in the current and the previous slot */
} quota_hold_t;

typedef enum
{
  QUOTA_GO,    /* a token was taken */
  QUOTA_ASK,   /* an ask is needed */
  QUOTA_WAIT,  /* for the answer of the ask in flight */
  QUOTA_REFUSE /* until retry_at */
} quota_take_t;

/* quota_hold_take: takes a token for one operation.  UNTIL: when it can no
   longer be given back.  */
quota_take_t quota_hold_take (quota_hold_t *h, msec_t now, msec_t *until);
/* quota_hold_ask: notes that an ask for WAITING operations is sent; sets MORE
   and RETURNED for it.  */
void quota_hold_ask (quota_hold_t *h, msec_t now, int *more, int *returned);
/* quota_hold_answer: the answer of the ask in flight.  quota_hold_lost: there
   will be none.  */
void quota_hold_answer (quota_hold_t *h, const quota_answer_t *a, msec_t now);
void quota_hold_lost (quota_hold_t *h);
/* quota_hold_back: an operation whose token ends at UNTIL never ran.  */
void quota_hold_back (quota_hold_t *h, msec_t until, msec_t now);
/* quota_hold_leftover: tokens to be returned now, without an ask; 0: none.
   quota_hold_due: when to call it next; -1: not before the next token.  */
int quota_hold_leftover (quota_hold_t *h, msec_t now);
msec_t quota_hold_due (const quota_hold_t *h);

#endif
