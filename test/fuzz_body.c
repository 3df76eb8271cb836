/* Fuzz target of the platform's request bodies and settings: no input may
   crash the parsers; every refusal has an error code; an accepted
   configuration can be decoded from its packed form.  */

#include "platform/platform.h"

#include <apr_general.h>
#include <stdlib.h>

int LLVMFuzzerTestOneInput (const uint8_t *data, size_t n);

static void
require (bool ok)
{
  if (!ok)
    abort ();
}

static void
fuzz_configuration (apr_pool_t *pool, str_t in)
{
  int64_t version = 0;
  msgtype_t type;
  err_t e = { 0 };
  buf_t b;

  buf_init (&b);
  if (pf_config_parse (pool, in, &version, &b, &e))
    {
      const setup_t *s = rpc_decode (pool, buf_str (&b), &type, &e);
      require (s && type == MSG_SETUP && s->version == version && version > 0);
      for (size_t i = 0; i < s->routes.n; i++)
        require (LIST_AT (s->routes, route_entry_t, i)->timeout > 0);
    }
  else
    require (e.code != ERR_NONE);
  buf_free (&b);
}

static void
fuzz_heartbeat (apr_pool_t *pool, str_t in)
{
  roster_table_t r = { 0 };
  backend_t b;
  err_t e = { 0 };

  if (pf_heartbeat_parse (pool, STR ("i-1"), in, false, &b, &e))
    roster_heartbeat (&r, &b, 1000, &e);
  else
    require (e.code != ERR_NONE);
  e.code = ERR_NONE;
  if (pf_heartbeat_parse (pool, STR ("i-1"), in, true, &b, &e))
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
  fuzz_configuration (pool, in);
  fuzz_heartbeat (pool, in);
  require (pf_settings_parse (pool, in, &e) || e.code != ERR_NONE);
  apr_pool_destroy (pool);
  return 0;
}
