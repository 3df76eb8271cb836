/* balance - which database a statement is kept away from, judged by its own
   answers, and which share of a zone's statements leaves the zone.

   Decisions without I/O or a clock; times are in ms.  */

#ifndef BALANCE_H
#define BALANCE_H

#include "base.h"

/* ---- databases that fail ---- */

enum
{
  OUTLIER_MIN = 8,      /* answers needed for a judgement */
  OUTLIER_STALE = 3000, /* ms after which answers tell nothing any more */
  EJECT_MIN = 1000,     /* ms; doubles with each ejection in a row */
  EJECT_MAX = 8000,     /* ms */
  SLOW_START = 2000,    /* ms in which a returned database gets its full
                           share again */
  OUTLIER_PROBE = 200   /* ms between statements when that time begins */
};

/* What the answers of one database showed.  Zeroed: nothing is known.  */
typedef struct
{
  float failing;        /* moving share of answers that failed */
  int answers;          /* that it was taken from, up to OUTLIER_MIN */
  int ejections;        /* in a row */
  msec_t at;            /* time of the last answer */
  msec_t ejected_until; /* 0: not ejected */
  msec_t returned_at;   /* begin of its slow start; 0: none */
  msec_t started_at;    /* last statement sent in the slow start */
} outlier_t;

/* outlier_answered: an answer arrived, or did not come in time.  OK: false if
   it failed for a reason that the statement has not itself caused, and that is
   no lag.  */
void outlier_answered (outlier_t *o, bool ok, msec_t now);
/* outlier_started: a statement was sent.  */
void outlier_started (outlier_t *o, msec_t now);
/* outlier_judge: ejects O if it fails much more often than the N others of its
   service do on average, unless more than half of them would then be ejected.
   Where all fail, such as under overload, none is.  */
void outlier_judge (outlier_t *o, const outlier_t *const *other, int n,
                    msec_t now);
/* outlier_may_use: whether a statement that another database could run as well
   may go to it now: not while it is ejected, and during its slow start in
   intervals that become shorter.  */
bool outlier_may_use (const outlier_t *o, msec_t now);

#endif
