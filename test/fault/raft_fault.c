/* Runs random operations against a build of lib/raft with a deliberate fault
   until the oracle reports a violation.  Usage: raft_fault OPERATIONS [FILE];
   the operations in FILE run first.  Exit code 0 when the oracle detected the
   fault within OPERATIONS.  */

#include "../fuzz_raft.c"

int
main (int argc, char **argv)
{
  uint8_t bytes[600] = { 0 };
  char fault[256] = "";
  int64_t limit = 0;
  FILE *f = argc > 2 ? fopen (argv[2], "rb") : NULL;
  rng_t r;

  if (argc < 2 || !str_int (str_of (argv[1]), &limit))
    return 2;
  if (f)
    {
      run_ops (bytes, fread (bytes, 1, sizeof bytes, f), fault);
      fclose (f);
    }
  for (uint64_t i = 0; fuzz_ops < limit && fault[0] == '\0'; i++)
    {
      rng_init (&r, 20261204 + i);
      for (size_t k = 0; k < sizeof bytes; k++)
        bytes[k] = (uint8_t)rng_u64 (&r);
      bytes[3] |= 1;
      run_ops (bytes, sizeof bytes, fault);
    }
  printf ("%s after %lld operations: %s\n",
          fault[0] ? "detected" : "not detected", (long long)fuzz_ops, fault);
  return fault[0] == '\0' || fuzz_ops > limit;
}
