/* Decisions of the fair queue with 1,000 tenants, all of which wait.  */

#include "proxy.h"

#include <stdio.h>
#include <stdlib.h>

enum
{
  TENANTS = 1000,
  DECISIONS = 3000000
};

int
main (void)
{
  fair_flow_t *f = calloc (TENANTS, sizeof *f);
  fair_t q = { 0 };
  rng_t rng;
  int beyond = 0;

  if (f == NULL)
    return 1;
  rng_init (&rng, 5);
  for (int i = 0; i < TENANTS; i++)
    fair_arrived (&q, &f[i], 1.0 / TENANTS, 18);
  msec_t began = msec_now ();
  for (int i = 0; i < DECISIONS; i++)
    {
      fair_flow_t *x = &f[rng_below (&rng, TENANTS)];
      beyond += fair_rank (&q, x) > 0;
      fair_arrived (&q, x, 1.0 / TENANTS, 18);
      fair_left (&q, x, 18);
      fair_ran (&q, x, 1.0 / TENANTS, 18);
    }
  msec_t ms = msec_now () - began;
  printf ("fair queue, %d tenants: %.2f million decisions/s, %zu bytes a "
          "tenant, %d beyond their share\n",
          TENANTS, DECISIONS / 1000.0 / (double)(ms ? ms : 1),
          sizeof *f + sizeof *q.busy, beyond);
  fair_free (&q);
  free (f);
  return 0;
}
