/* Stateful fuzz target for the decisions of lib/control and lib/route.  The
   first eight bytes of the input are a seed.  Each further byte chooses an
   operation on the simulation; the seed determines the other operations.  The
   oracle checks the rules after each.  If the environment variable
   FUZZ_CONTROL_OPS is set, the run ends after that many operations.  */

#include "oracle.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

int LLVMFuzzerTestOneInput (const uint8_t *data, size_t size);

enum
{
  PER_BYTE = 16 /* operations per byte of input */
};

static long total, acked, reads, episodes;

static void
count_episode (const oracle_t *o)
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
  _exit (0); /* libFuzzer reports exit as a crash */
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
  count_episode (o);
  oracle_free (o);
  return 0;
}
