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

/* ---- leaving the zone ---- */

enum
{
  ZONES_MAX = 8,    /* availability zones considered; others get nothing */
  ZONE_STALE = 2000 /* ms after which figures of a zone tell nothing */
};

/* What is known of one zone, for one service and kind of statement.  DEMAND
   counts what its own callers ask for, whichever zone then runs it: shares
   that follow from it don't change it, so they don't swing.  */
typedef struct
{
  double demand; /* work of its own callers, in slots */
  double room;   /* slots of its usable databases that may run the kind */
  double wait;   /* ms that a statement waits there for a slot */
  double link;   /* ms there and back; 0 for the own zone */
  bool cut;      /* can't be reached */
  msec_t at;     /* time at which the figures were taken */
} zone_figures_t;

typedef struct
{
  double fill;    /* share of a zone's room that is planned for */
  double kb;      /* size of a statement with its answer */
  double cost_mb; /* ms of waiting that saving 1 MB between zones is worth */
} zone_costs_t;

/* The defaults of the settings.  */
extern const zone_costs_t zone_costs_default;

/* zones_share: moves SHARE, the parts of the statements of zone HOME that go
   to each of the N zones, one step from their last values; called with each
   report.  The part of HOME is what remains.  A zone sends out what it lacks,
   to zones with room to spare in proportion to it, less over dear links; if
   all zones together lack more than is spare, each gets the same part of its
   lack. Stale figures of HOME, or of a target, and a cut link mean none at
   once.  */
void zones_share (const zone_figures_t *z, int n, int home,
                  const zone_costs_t *c, msec_t now, double *share);
/* zone_takes_guest: whether a zone that runs GUESTS slots of work of other
   zones takes another statement from them; otherwise it is refused at once.  A
   guest is never sent on.  */
bool zone_takes_guest (const zone_figures_t *z, double guests,
                       const zone_costs_t *c, msec_t now);

#endif
