/* Fuzz target of the decoders of frames, tokens, term histories and hint
   comments.  For any input they must return an error code or a value that
   survives encoding and decoding, and never read outside the input.  */

#include "route.h"
#include "rpc.h"
#include "sql.h"

#include <apr_general.h>
#include <stdlib.h>
#include <string.h>

int LLVMFuzzerTestOneInput (const uint8_t *data, size_t size);

static void
check_round_trip (apr_pool_t *pool, str_t body)
{
  msgtype_t type;
  msgtype_t again_type;
  err_t e = { 0 };
  void *m = rpc_decode (pool, body, &type, &e);
  buf_t a, b;

  if (m == NULL)
    {
      if (e.code == ERR_NONE)
        abort ();
      return;
    }
  buf_init (&a);
  buf_init (&b);
  rpc_pack (&a, type, m);
  void *again = rpc_decode (pool, buf_str (&a), &again_type, &e);
  if (again == NULL || again_type != type)
    abort ();
  rpc_pack (&b, type, again);
  if (!str_eq (buf_str (&a), buf_str (&b)))
    abort ();
  buf_free (&a);
  buf_free (&b);
}

static void
check_texts (str_t s)
{
  token_t t;
  token_t u;
  history_t h;
  hint_t hint;
  char text[48];
  err_t e = { 0 };

  if (token_parse (s, &t, &e))
    {
      size_t n = token_format (t, text);
      if (!token_parse ((str_t){ text, n }, &u, &e) || u.term != t.term
          || u.pos != t.pos)
        abort ();
    }
  if (history_parse (s, &h, &e))
    for (int i = 0; i < h.n; i++)
      if (!history_covers (&h, h.at[i].start,
                           (token_t){ h.at[i].term, h.at[i].start }))
        abort ();
  hint_init (&hint);
  hint_parse (s, &hint, &e);
}

int
LLVMFuzzerTestOneInput (const uint8_t *data, size_t size)
{
  static apr_pool_t *root;
  apr_pool_t *pool;
  /* A copy of exactly SIZE bytes, so that the address sanitizer detects reads
     past the end.  */
  char *copy = malloc (size ? size : 1);

  if (root == NULL)
    {
      apr_initialize ();
      apr_pool_create (&root, NULL);
    }
  if (copy == NULL)
    return 0;
  if (size)
    memcpy (copy, data, size);
  apr_pool_create (&pool, root);
  buf_t in = { .p = copy, .n = size, .cap = size };
  str_t body;
  if (rpc_frame (&in, &body, NULL) == 1)
    check_round_trip (pool, body);
  check_round_trip (pool, (str_t){ copy, size });
  check_texts ((str_t){ copy, size });
  apr_pool_destroy (pool);
  free (copy);
  return 0;
}
