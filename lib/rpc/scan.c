#include "scan.h"

typedef struct
{
  const unsigned char *p;
  size_t n;
  size_t values; /* seen so far */
} cursor_t;

static bool
skip (cursor_t *r, size_t n)
{
  if (r->n < n)
    return false;
  r->p += n;
  r->n -= n;
  return true;
}

/* Reads a length, BYTES bytes in big-endian order.  */
static bool
read_length (cursor_t *r, int bytes, size_t *len)
{
  const unsigned char *p = r->p;

  if (!skip (r, (size_t)bytes))
    return false;
  *len = 0;
  for (int i = 0; i < bytes; i++)
    *len = *len << 8 | p[i];
  return true;
}

static bool scan_value (cursor_t *r, int depth);

static bool
scan_array (cursor_t *r, size_t len, int depth)
{
  /* Each element has at least one byte.  */
  if (depth == RPC_DEPTH || len > r->n)
    return false;
  for (size_t i = 0; i < len; i++)
    if (!scan_value (r, depth + 1))
      return false;
  return true;
}

/* Size of the number that follows TAG, 0 for other tags.  */
static size_t
number_size (unsigned tag)
{
  switch (tag)
    {
    case 0xcc: /* uint 8 */
    case 0xd0: /* int 8 */
      return 1;
    case 0xcd:
    case 0xd1:
      return 2;
    case 0xce:
    case 0xd2:
      return 4;
    case 0xcf:
    case 0xd3:
      return 8;
    default:
      return 0;
    }
}

static bool
scan_value (cursor_t *r, int depth)
{
  size_t len;

  if (r->n == 0 || ++r->values > RPC_VALUES)
    return false;
  unsigned tag = *r->p;
  skip (r, 1);
  if (tag <= 0x7f || tag >= 0xe0 || tag == 0xc2 || tag == 0xc3)
    return true;
  if (number_size (tag))
    return skip (r, number_size (tag));
  if (tag >= 0x90 && tag <= 0x9f)
    return scan_array (r, tag & 0x0f, depth);
  if (tag >= 0xc4 && tag <= 0xc6) /* bin 8, 16, 32 */
    return read_length (r, 1 << (tag - 0xc4), &len) && skip (r, len);
  if (tag == 0xdc || tag == 0xdd) /* array 16, 32 */
    return read_length (r, tag == 0xdc ? 2 : 4, &len)
           && scan_array (r, len, depth);
  return false;
}

bool
rpc_scan (str_t body)
{
  cursor_t r = { (const unsigned char *)body.p, body.n, 0 };

  return scan_value (&r, 0) && r.n == 0;
}
