#include "base.h"

#include <Random123/philox.h>
#include <sys/random.h>

void
rng_init (rng_t *r, uint64_t seed)
{
  *r = (rng_t){ seed, 0 };
}

uint64_t
rng_u64 (rng_t *r)
{
  philox4x32_ctr_t c
      = { { (uint32_t)r->ctr, (uint32_t)(r->ctr >> 32), 0, 0 } };
  philox4x32_key_t k = { { (uint32_t)r->seed, (uint32_t)(r->seed >> 32) } };

  r->ctr++;
  c = philox4x32 (c, k);
  return (uint64_t)c.v[0] << 32 | c.v[1];
}

uint64_t
rng_below (rng_t *r, uint64_t n)
{
  return n ? rng_u64 (r) % n : 0;
}

double
rng_unit (rng_t *r)
{
  return (double)(rng_u64 (r) >> 11) / 9007199254740992.0;
}

uint64_t
rng_system_seed (void)
{
  uint64_t s = 0;

  if (getrandom (&s, sizeof s, 0) != sizeof s)
    s = (uint64_t)msec_now ();
  return s;
}
