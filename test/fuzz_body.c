/* Fuzz target of the bodies and settings of the platform: no input may crash
   the checks; a refusal has a type; an accepted configuration is read back
   from its packed form.  */

#include "platform/platform.h"

#include <apr_general.h>
#include <stdlib.h>

int LLVMFuzzerTestOneInput (const uint8_t *data, size_t n);

static void
must (bool ok)
{
  if (!ok)
    abort ();
}

static void
configuration (apr_pool_t *pool, str_t in)
{
  int64_t version = 0;
  msgtype_t type;
  err_t e = { 0 };
  buf_t b;

  buf_init (&b);
  if (pf_config (pool, in, &version, &b, &e))
    {
      const setup_t *s = rpc_decode (pool, buf_str (&b), &type, &e);
      must (s && type == MSG_SETUP && s->version == version && version > 0);
      for (size_t i = 0; i < s->routes.n; i++)
        must (LIST_AT (s->routes, route_entry_t, i)->timeout > 0);
    }
  else
    must (e.code != ERR_NONE);
  buf_free (&b);
}

static void
heartbeat (apr_pool_t *pool, str_t in)
{
  roster_table_t r = { 0 };
  backend_t b;
  err_t e = { 0 };

  if (pf_beat (pool, STR ("i-1"), in, false, &b, &e))
    roster_heartbeat (&r, &b, 1000, &e);
  else
    must (e.code != ERR_NONE);
  e.code = ERR_NONE;
  if (pf_beat (pool, STR ("i-1"), in, true, &b, &e))
    roster_heartbeat (&r, &b, 1000, &e);
  roster_free (&r);
}

int
LLVMFuzzerTestOneInput (const uint8_t *data, size_t n)
{
  str_t in = { (char *)data, n };
  apr_pool_t *pool;
  err_t e = { 0 };

  apr_initialize ();
  apr_pool_create (&pool, NULL);
  configuration (pool, in);
  heartbeat (pool, in);
  must (pf_settings_parse (pool, in, &e) || e.code != ERR_NONE);
  apr_pool_destroy (pool);
  return 0;
}
