#include "ctl.h"

void
refuse_note (control_t *c, str_t group, str_t name, str_t address,
             const char *cause, msec_t now)
{
  enum
  {
    QUIET = 60000 /* ms */
  };
  rec_t r = { .type = REC_REFUSAL,
              .group = group,
              .name = name,
              .address = address,
              .cause = str_of (cause) };
  uint64_t key = str_hash (name) ^ (str_hash (str_of (cause)) << 1)
                 ^ (str_hash (group) << 2);

  for (int i = 0; i < MAX_TOLD; i++)
    if (c->told[i].key == key && now - c->told[i].at < QUIET)
      return;
  c->told[c->told_at] = (told_t){ key, now };
  c->told_at = (c->told_at + 1) % MAX_TOLD;
  act_append (c, &r);
}
