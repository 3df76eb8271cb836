#include "ctl.h"

void
audit_refusal (control_t *c, str_t group, str_t name, str_t address,
               const char *cause, msec_t now)
{
  enum
  {
    REPEAT_INTERVAL = 60000 /* ms between records of one refusal */
  };
  rec_t r = { .type = REC_REFUSAL,
              .group = group,
              .name = name,
              .address = address,
              .cause = str_of (cause) };
  uint64_t key = str_hash (name) ^ (str_hash (str_of (cause)) << 1)
                 ^ (str_hash (group) << 2);

  for (int i = 0; i < MAX_REFUSALS; i++)
    if (c->refusals[i].key == key && now - c->refusals[i].at < REPEAT_INTERVAL)
      return;
  c->refusals[c->refusal_at] = (refusal_t){ key, now };
  c->refusal_at = (c->refusal_at + 1) % MAX_REFUSALS;
  act_append (c, &r);
}
