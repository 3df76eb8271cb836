#include "base.h"

#include <time.h>

static msec_t
read_clock (clockid_t id)
{
  struct timespec ts;

  clock_gettime (id, &ts);
  return (msec_t)ts.tv_sec * 1000 + ts.tv_nsec / 1000000;
}

msec_t
msec_now (void)
{
  return read_clock (CLOCK_BOOTTIME);
}

msec_t
msec_wall (void)
{
  return read_clock (CLOCK_REALTIME);
}

void
msec_sleep (msec_t ms)
{
  struct timespec ts = { ms / 1000, (ms % 1000) * 1000000 };

  nanosleep (&ts, NULL);
}
