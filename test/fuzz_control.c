/* Stateful fuzzing of the control and route decisions: each byte of the input
   chooses an operation on the world and the next ones follow from its seed;
   the oracle checks the rules after each. Ends after FUZZ_CONTROL_OPS
   operations when that variable is set.  */

#include "oracle.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

int LLVMFuzzerTestOneInput (const uint8_t *data, size_t size);

enum
{
  PER_BYTE = 16 /* operations */
};

static long total, acked, reads, episodes;

static void
account (const oracle_t *o)
{
  const char *limit = getenv ("FUZZ_CONTROL_OPS");

  acked += o->acked;
  reads += o->reads;
  episodes++;
  if (!limit || total < strtol (limit, NULL, 10))
    return;
  printf (
      "%ld operations in %ld episodes: %ld writes acknowledged, %ld reads, "
      "no rule broken\n",
      total, episodes, acked, reads);
  fflush (stdout);
  fprintf (stderr, "stat::number_of_executed_units: %ld\n", episodes);
  _exit (0); /* libFuzzer takes exit for a crash */
}

int
LLVMFuzzerTestOneInput (const uint8_t *data, size_t size)
{
  uint64_t seed = 0;
  rng_t rng;

  if (size < sizeof seed + 64)
    return 0;
  memcpy (&seed, data, sizeof seed);
  rng_init (&rng, seed);
  oracle_t *o = oracle_new (seed, FAULT_NONE);
  for (size_t i = sizeof seed; i < size && !o->failure[0]; i++)
    {
      oracle_op (o, (rng_u64 (&rng) & ~(uint64_t)255) | data[i]);
      for (int k = 1; k < PER_BYTE && !o->failure[0]; k++)
        oracle_op (o, rng_u64 (&rng));
      total += PER_BYTE;
    }
  if (!o->failure[0])
    oracle_settle (o);
  if (o->failure[0])
    {
      fprintf (stderr, "%s\n", o->failure);
      abort ();
    }
  account (o);
  oracle_free (o);
  return 0;
}
