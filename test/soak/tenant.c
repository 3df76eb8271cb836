#include "soak.h"

#include <string.h>

/* Tenants, their keys, and the checks that go with them.  Each tenant has one
   key for the whole run and others that the operator adds and withdraws.  */

enum
{
  APPLY_TIME = 4000, /* ms from the acknowledgement of a configuration until
                        it binds all instances in touch */
  CHANGED = 2        /* of so many configurations one changes the keys */
};

#define KEY_PREFIX "soak-key-"

/* The keys have a random sequence of their own: the faults of a seed are the
   same with and without tenants.  */
static int
below (world_t *w, int n)
{
  return (int)rng_below (&w->key_rng, (uint64_t)n);
}

static caller_key_t *
key_new (world_t *w, int tenant, int64_t version)
{
  if (w->nkeys == KEYS)
    return NULL;
  caller_key_t *k = &w->key[w->nkeys];
  *k = (caller_key_t){ .tenant = tenant, .from = version };
  /* Some contain blanks.  */
  snprintf (k->text, sizeof k->text, KEY_PREFIX "%d%s%d", tenant,
            w->nkeys % 3 ? "-" : " and ", w->nkeys);
  w->nkeys++;
  return k;
}

static bool
is_fixed (const world_t *w, const caller_key_t *k)
{
  return k - w->key < TENANTS;
}

static void
change_keys (world_t *w, int64_t version)
{
  for (int i = TENANTS; i < w->nkeys; i++)
    if (w->key[i].to == 0 && below (w, 4) == 0)
      w->key[i].to = version;
  key_new (w, below (w, TENANTS), version);
}

void
tenants_write (world_t *w, int64_t version, buf_t *b)
{
  if (!w->tenanted)
    return;
  for (int i = 0; w->nkeys < TENANTS; i++)
    key_new (w, i, version);
  if (below (w, CHANGED) == 0)
    change_keys (w, version);
  buf_adds (b, STR (",\"tenants\":["));
  for (int t = 0; t < TENANTS; t++)
    {
      buf_fmt (b, "%s{\"name\":\"t%d\",\"api-keys\":[", t ? "," : "", t);
      bool first = true;
      for (int i = 0; i < w->nkeys; i++)
        if (w->key[i].tenant == t && w->key[i].to == 0)
          {
            buf_fmt (b, "%s\"%s\"", first ? "" : ",", w->key[i].text);
            first = false;
          }
      buf_adds (b, STR ("],\"priority\":1}"));
    }
  buf_adds (b, STR ("]"));
}

void
tenants_acked (world_t *w, int64_t version)
{
  for (int i = 0; i < w->nkeys; i++)
    {
      caller_key_t *k = &w->key[i];
      if (k->from <= version && k->added_at == 0)
        k->added_at = w->now;
      if (k->to && k->to <= version && k->withdrawn_at == 0)
        k->withdrawn_at = w->now;
    }
}

const caller_key_t *
tenants_pick (world_t *w)
{
  if (!w->tenanted || w->nkeys == 0)
    return NULL;
  return &w->key[below (w, below (w, 3) ? TENANTS : w->nkeys)];
}

bool
tenants_lasting (const world_t *w, const caller_key_t *k)
{
  return k && !is_fixed (w, k);
}

bool
tenants_may_refuse (const world_t *w, const caller_key_t *k, msec_t sent)
{
  if (k == NULL || is_fixed (w, k))
    return false;
  return k->to || k->added_at == 0 || sent < k->added_at + APPLY_TIME
         || !settled (w, sent);
}

void
tenants_check_run (world_t *w, const statement_t *q, const char *caller)
{
  char name[NAME] = "";
  const caller_key_t *k = q->key;

  if (!w->tenanted)
    return;
  if (k)
    snprintf (name, sizeof name, "t%d", k->tenant);
  if (k ? strcmp (name, caller) != 0 : caller[0] == 't')
    finding (w, "TENANT", "%s '%s' of '%s' ran under '%s'", q->id, q->text,
             name, caller);
  if (k && k->withdrawn_at && q->sent > k->withdrawn_at + APPLY_TIME
      && settled (w, k->withdrawn_at))
    finding (w, "REVOKED",
             "%s '%s' ran, sent %lld ms after the withdrawal of its key",
             q->id, q->text, (long long)(q->sent - k->withdrawn_at));
}

void
tenants_check_text (world_t *w, const char *where, str_t text)
{
  if (text.n && memmem (text.p, text.n, KEY_PREFIX, strlen (KEY_PREFIX)))
    finding (w, "SECRET", "%s contains a key", where);
}
