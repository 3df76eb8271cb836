/* Time to classify a statement, with and without a cache hit.  */

#include "sql.h"

#include <apr_general.h>
#include <stdio.h>
#include <time.h>

enum
{
  ROUNDS = 20000
};

static double
seconds (void)
{
  struct timespec ts;

  clock_gettime (CLOCK_MONOTONIC, &ts);
  return (double)ts.tv_sec + (double)ts.tv_nsec / 1e9;
}

/* us per statement.  FORMAT has one %d, which takes the round.  */
static double
microseconds_each (sql_cache_t *c, const char *format)
{
  char text[160];
  sql_t s;
  double start = seconds ();

  for (int i = 0; i < ROUNDS; i++)
    {
      int n = snprintf (text, sizeof text, format, i);
      sql_classify (c, (str_t){ text, (size_t)n }, &s);
    }
  return (seconds () - start) * 1e6 / ROUNDS;
}

int
main (void)
{
  apr_pool_t *pool;

  apr_initialize ();
  apr_pool_create (&pool, NULL);
  printf ("classify, shape in the cache:     %.2f us\n",
          microseconds_each (sql_cache_new (pool, 4096),
                             "/* pimentopost kind=proof_view max_age=2000 */ "
                             "SELECT val FROM proof WHERE id = 'p%d'"));
  printf ("classify, shape not in the cache: %.2f us\n",
          microseconds_each (sql_cache_new (pool, 4),
                             "SELECT val FROM proof%d WHERE id = 'p'"));
  return 0;
}
