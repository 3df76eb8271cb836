#include "ctl.h"

#include <msgpack.h>

enum
{
  NINTS = 6,
  NSTRS = 11
};

static int
sink (void *out, const char *p, size_t n)
{
  buf_add (out, p, n);
  return 0;
}

void
rec_pack (buf_t *out, const rec_t *r)
{
  const int64_t ints[NINTS]
      = { r->type, r->wall, r->base, r->term, r->position, r->state };
  const str_t strs[NSTRS]
      = { r->cause, r->decider, r->group, r->name,  r->address, r->zone,
          r->prev,  r->next,    r->id,    r->actor, r->text };
  msgpack_packer pk;

  msgpack_packer_init (&pk, out, sink);
  msgpack_pack_array (&pk, NINTS + NSTRS);
  for (int i = 0; i < NINTS; i++)
    msgpack_pack_int64 (&pk, ints[i]);
  for (int i = 0; i < NSTRS; i++)
    {
      msgpack_pack_bin (&pk, strs[i].n);
      msgpack_pack_bin_body (&pk, strs[i].p ? strs[i].p : "", strs[i].n);
    }
}

static bool
read_fields (rec_t *r, const msgpack_object *o, err_t *e)
{
  int64_t *ints[NINTS]
      = { &r->type, &r->wall, &r->base, &r->term, &r->position, &r->state };
  str_t *strs[NSTRS]
      = { &r->cause, &r->decider, &r->group, &r->name,  &r->address, &r->zone,
          &r->prev,  &r->next,    &r->id,    &r->actor, &r->text };

  if (o->type != MSGPACK_OBJECT_ARRAY || o->via.array.size < NINTS + NSTRS)
    return err_set (e, ERR_CORRUPT, "record",
                    "not an array of at least 17 fields");
  for (int i = 0; i < NINTS; i++)
    {
      const msgpack_object *x = &o->via.array.ptr[i];
      if (x->type != MSGPACK_OBJECT_POSITIVE_INTEGER
          && x->type != MSGPACK_OBJECT_NEGATIVE_INTEGER)
        return err_set (e, ERR_CORRUPT, "record", "field %d is not an integer",
                        i);
      *ints[i] = x->via.i64;
    }
  for (int i = 0; i < NSTRS; i++)
    {
      const msgpack_object *x = &o->via.array.ptr[NINTS + i];
      if (x->type != MSGPACK_OBJECT_BIN)
        return err_set (e, ERR_CORRUPT, "record",
                        "field %d is not a binary string", NINTS + i);
      *strs[i] = (str_t){ (char *)x->via.bin.ptr, x->via.bin.size };
    }
  return true;
}

bool
rec_unpack (str_t data, size_t *off, rec_t *r, err_t *e)
{
  msgpack_unpacked u;
  bool ok;

  msgpack_unpacked_init (&u);
  if (msgpack_unpack_next (&u, data.p, data.n, off) != MSGPACK_UNPACK_SUCCESS)
    ok = err_set (e, ERR_CORRUPT, "record", "truncated at byte %zu", *off);
  else
    ok = read_fields (r, &u.data, e);
  msgpack_unpacked_destroy (&u);
  return ok;
}
