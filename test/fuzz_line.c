/* Fuzz target of the line protocol, both of clients and of databases: no input
   may crash a decoder, make it consume more bytes than there are, or give a
   statement that is encoded with another text.  */

#include "platform/platform.h"

#include <stdlib.h>
#include <string.h>

int LLVMFuzzerTestOneInput (const uint8_t *data, size_t n);

static void
require (bool ok)
{
  if (!ok)
    abort ();
}

/* Encoding a decoded statement gives the same line again.  */
static void
check_roundtrip (str_t line, const op_t *op)
{
  buf_t b;

  if (op->kind == OP_MALFORMED || op->kind == OP_DEALLOCATE)
    return;
  buf_init (&b);
  pf_db.op (&b, op, op->name, (pos_t){ 0 });
  if (op->kind == OP_READ || op->kind == OP_WRITE)
    require (str_eq (buf_str (&b), line));
  else
    require (buf_len (&b) >= 10 && memchr (b.p, '\n', b.n) == b.p + b.n - 1);
  buf_free (&b);
}

static void
fuzz_clients (str_t in)
{
  client_msg_t m;
  size_t used = 0;

  while (pf_client.decode (in, &used, &m) > 0)
    {
      require (used > 0 && used <= in.n);
      if (m.kind == CLIENT_OP)
        check_roundtrip ((str_t){ in.p, used }, &m.op);
      in.p += used;
      in.n -= used;
    }
}

static void
fuzz_databases (str_t in)
{
  db_msg_t m;
  db_status_t st;
  size_t used = 0;

  while (pf_db.decode (in, &used, &m) > 0)
    {
      require (used > 0 && used <= in.n);
      if (m.kind == DB_ROW)
        pf_db.status_row (m.text, &st);
      in.p += used;
      in.n -= used;
    }
}

int
LLVMFuzzerTestOneInput (const uint8_t *data, size_t n)
{
  str_t in = { (char *)data, n };

  fuzz_clients (in);
  fuzz_databases (in);
  return 0;
}
