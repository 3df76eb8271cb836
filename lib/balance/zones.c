#include "balance.h"

/* The load that this answers: a zone loses a third of its databases, or 40% of
   another zone's clients move to it.  A fixed factor on the cost of the other
   zones sent statements out whenever a connection at home was busy, and kept
   them home while their queue grew.  */

/* Part of the way to the new share that one report moves it.  */
#define STEP 0.3
/* ms of link and bytes at which a zone gets half of what its room is worth. */
#define HALF_PENALTY 5.0
#define WAIT_SPAN 1000.0 /* ms */

/* A zone is not filled to the last slot: statements come in bunches.  */
const zone_costs_t zone_costs_default
    = { .fill = 0.85, .kb = 1.0, .cost_mb = 100.0 };

static bool
is_fresh (const zone_figures_t *z, msec_t now)
{
  return !z->cut && now - z->at < ZONE_STALE;
}

static double
lack (const zone_figures_t *z, const zone_costs_t *c)
{
  double n = z->demand - c->fill * z->room;

  return n > 0 ? n : 0;
}

static double
spare (const zone_figures_t *z, const zone_costs_t *c)
{
  double n = c->fill * z->room - z->demand;

  return n > 0 ? n : 0;
}

/* ms that a statement loses by running at Z.  */
static double
penalty (const zone_figures_t *z, const zone_costs_t *c)
{
  return z->link + c->cost_mb * c->kb / 1024;
}

/* ms that statements at HOME would wait if none left: the queue that its lack
   makes in WAIT_SPAN is added to the present one.  Present waits alone would
   end the leaving that keeps them short.  */
static double
wait_without (const zone_figures_t *home, const zone_costs_t *c)
{
  return home->wait
         + (home->room > 0 ? lack (home, c) / home->room : 1) * WAIT_SPAN;
}

/* Whether a statement of HOME is answered sooner at Z.  */
static bool
is_worth_it (const zone_figures_t *z, const zone_figures_t *home,
             const zone_costs_t *c, msec_t now)
{
  return is_fresh (z, now) && spare (z, c) > 0
         && z->wait + penalty (z, c) <= wait_without (home, c);
}

/* Part of what HOME lacks that it may send out: the zones that lack share what
   all others can spare.  */
static double
fair_part (const zone_figures_t *z, int n, int home, const zone_costs_t *c,
           msec_t now)
{
  double all_lack = 0, all_spare = 0;

  for (int i = 0; i < n; i++)
    if (i == home || is_fresh (&z[i], now))
      {
        all_lack += lack (&z[i], c);
        all_spare += spare (&z[i], c);
      }
  return all_lack > all_spare ? all_spare / all_lack : 1;
}

/* Gives AMOUNT to the zones in proportion to WEIGHT, none beyond its LIMIT. */
static void
distribute (double amount, const double *weight, const double *limit, int n,
            double *out)
{
  for (int round = 0; round < n && amount > 0; round++)
    {
      double sum = 0, left = amount;
      for (int i = 0; i < n; i++)
        if (out[i] < limit[i])
          sum += weight[i];
      if (sum <= 0)
        return;
      for (int i = 0; i < n; i++)
        {
          double x = amount * weight[i] / sum;
          if (out[i] >= limit[i])
            continue;
          if (x > limit[i] - out[i])
            x = limit[i] - out[i];
          out[i] += x;
          left -= x;
        }
      amount = left;
    }
}

void
zones_share (const zone_figures_t *z, int n, int home, const zone_costs_t *c,
             msec_t now, double *share)
{
  double weight[ZONES_MAX] = { 0 }, limit[ZONES_MAX] = { 0 };
  double out[ZONES_MAX] = { 0 };
  const zone_figures_t *h = &z[home];
  bool known = now - h->at < ZONE_STALE && h->demand > 0;
  int all = n;

  if (n > ZONES_MAX)
    n = ZONES_MAX;
  for (int i = 0; i < n && known; i++)
    if (i != home && is_worth_it (&z[i], h, c, now))
      {
        limit[i] = spare (&z[i], c);
        weight[i] = limit[i] / (1 + penalty (&z[i], c) / HALF_PENALTY);
      }
  if (known)
    distribute (lack (h, c) * fair_part (z, n, home, c, now), weight, limit, n,
                out);
  share[home] = 1;
  for (int i = n; i < all; i++)
    if (i != home)
      share[i] = 0;
  for (int i = 0; i < n; i++)
    {
      if (i == home)
        continue;
      if (!known || !is_fresh (&z[i], now))
        share[i] = 0;
      else
        share[i] += STEP * (out[i] / h->demand - share[i]);
      share[home] -= share[i];
    }
}

bool
zone_takes_guest (const zone_figures_t *z, double guests,
                  const zone_costs_t *c, msec_t now)
{
  return is_fresh (z, now) && guests < spare (z, c);
}
