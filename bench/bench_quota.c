/* bench_quota - decisions of quotas for many tenants on one core, with the
   holder and the accountant in one process and no messages: operations
   admitted or refused a second, for callers within and far beyond their
   limits, asks of an accountant a second, and bytes a tenant.  */

#include "quota.h"

#include <stdio.h>
#include <stdlib.h>
#include <time.h>

enum
{
  TENANTS = 1000,
  RATE = 100, /* operations a second of a tenant */
  DECISIONS = 5000000
};

static const quota_rule_t rule = { 4, 5000, 0.1, 20 };
static const quota_standing_t standing = { true, 0, 1000000 };

typedef struct
{
  quota_table_t *table;
  quota_hold_t hold[TENANTS];
  char name[TENANTS][16];
  quota_limit_t limit;
  int64_t asks;
  int64_t admitted;
} bench_t;

static void
decide (bench_t *b, int tenant, msec_t now)
{
  quota_hold_t *h = &b->hold[tenant];
  int more, returned;
  msec_t until;
  quota_take_t at = quota_hold_take (h, now, &until);

  if (at == QUOTA_ASK)
    {
      quota_hold_ask (h, now, &more, &returned);
      quota_answer_t a
          = quota_table_ask (b->table, str_of (b->name[tenant]), &b->limit,
                             &standing, 1, more, returned, now);
      quota_hold_answer (h, &a, now);
      b->asks++;
      at = quota_hold_take (h, now, &until);
    }
  b->admitted += at == QUOTA_GO;
}

static double
seconds (void)
{
  struct timespec t;

  clock_gettime (CLOCK_MONOTONIC, &t);
  return (double)t.tv_sec + (double)t.tv_nsec / 1e9;
}

/* LOAD: operations a second of each tenant, by its limit.  */
static void
measure (double load)
{
  bench_t *b = calloc (1, sizeof *b);
  double per_ms = (double)TENANTS * RATE / rule.zones * load / 1000;
  uint64_t x = 1;

  if (b == NULL)
    abort ();
  b->table = quota_table_new ();
  b->limit = quota_limit (&rule, 1, RATE, RATE);
  for (int i = 0; i < TENANTS; i++)
    snprintf (b->name[i], sizeof b->name[i], "tenant-%d", i);
  double from = seconds ();
  for (int i = 0; i < DECISIONS; i++)
    {
      x = x * 6364136223846793005u + 1442695040888963407u;
      decide (b, (int)((x >> 33) % TENANTS),
              1000 + (msec_t)((double)i / per_ms));
    }
  double took = seconds () - from;
  printf ("load %.1f of the limit: %.2f million decisions/s, %.3f admitted, "
          "%.3f asks each; accountant %zu bytes and holder %zu bytes a "
          "tenant\n",
          load, DECISIONS / took / 1e6, (double)b->admitted / DECISIONS,
          (double)b->asks / DECISIONS,
          quota_table_bytes (b->table) / quota_table_size (b->table),
          sizeof (quota_hold_t));
  quota_table_free (b->table);
  free (b);
}

int
main (void)
{
  printf ("%d tenants of %d operations/s\n", TENANTS, RATE);
  measure (0.6);
  measure (1);
  measure (7.5);
  return EXIT_SUCCESS;
}
