#include "sim.h"

#include <errno.h>
#include <fcntl.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/stat.h>
#include <unistd.h>

/* A record in the file: 4-byte length of the body, 8-byte hash of the body,
   body.  The first byte of the body is its type: R (transaction), T
   (truncation) or S (state).  */
enum
{
  HEADER_SIZE = 12 /* bytes */
};

void
pack_u64 (buf_t *b, uint64_t v)
{
  unsigned char p[8];

  for (int i = 0; i < 8; i++)
    p[i] = (unsigned char)(v >> (56 - 8 * i));
  buf_add (b, p, sizeof p);
}

void
pack_str (buf_t *b, str_t s)
{
  pack_u64 (b, s.n);
  buf_adds (b, s);
}

bool
unpack_u64 (str_t *in, uint64_t *v)
{
  if (in->n < 8)
    return false;
  *v = 0;
  for (int i = 0; i < 8; i++)
    *v = *v << 8 | (unsigned char)in->p[i];
  in->p += 8;
  in->n -= 8;
  return true;
}

bool
unpack_str (str_t *in, str_t *s)
{
  uint64_t n;

  if (!unpack_u64 (in, &n) || n > in->n)
    return false;
  *s = (str_t){ in->p, n };
  in->p += n;
  in->n -= n;
  return true;
}

void
pack_ops (buf_t *b, const ops_t *o)
{
  pack_u64 (b, o->n);
  for (size_t i = 0; i < o->n; i++)
    {
      pack_str (b, o->op[i].table);
      pack_str (b, o->op[i].id);
      pack_str (b, o->op[i].val);
      pack_u64 (b, o->op[i].del);
    }
}

bool
unpack_ops (str_t *in, ops_t *o)
{
  uint64_t n;
  uint64_t del;
  str_t table;
  str_t id;
  str_t val;

  *o = (ops_t){ 0 };
  if (!unpack_u64 (in, &n))
    return false;
  for (uint64_t i = 0; i < n; i++)
    {
      if (!unpack_str (in, &table) || !unpack_str (in, &id)
          || !unpack_str (in, &val) || !unpack_u64 (in, &del))
        {
          ops_free (o);
          return false;
        }
      op_t *op = ops_add (o, table, id);
      op->val = heap_dup (val);
      op->del = del != 0;
    }
  return true;
}

static void
append_record (sim_t *s, const buf_t *body)
{
  buf_t b;
  uint32_t n = (uint32_t)body->n;
  uint64_t h = str_hash (buf_str (body));

  if (s->logfd < 0)
    return;
  buf_init (&b);
  buf_add (&b, &n, sizeof n);
  buf_add (&b, &h, sizeof h);
  buf_add (&b, body->p, body->n);
  /* A database that cannot write its log must not acknowledge anything.  */
  if (write (s->logfd, b.p, b.n) != (ssize_t)b.n)
    abort ();
  buf_free (&b);
  s->dirty = true;
}

void
disk_record (sim_t *s, const ops_t *o)
{
  buf_t b;

  if (s->logfd < 0)
    return;
  buf_init (&b);
  buf_add (&b, "R", 1);
  pack_ops (&b, o);
  append_record (s, &b);
  buf_free (&b);
}

void
disk_truncate (sim_t *s, int64_t pos)
{
  buf_t b;

  buf_init (&b);
  buf_add (&b, "T", 1);
  pack_u64 (&b, (uint64_t)pos);
  append_record (s, &b);
  buf_free (&b);
}

void
disk_state (sim_t *s)
{
  buf_t b;
  buf_t t;

  buf_init (&b);
  buf_init (&t);
  terms_text (&s->terms, &t);
  buf_add (&b, "S", 1);
  pack_u64 (&b, s->primary);
  pack_u64 (&b, (uint64_t)s->fence);
  pack_str (&b, s->owner);
  pack_str (&b, s->term_owner);
  pack_str (&b, s->upstream);
  pack_u64 (&b, (uint64_t)s->upstream_term);
  pack_str (&b, buf_str (&t));
  append_record (s, &b);
  buf_free (&t);
  buf_free (&b);
  disk_sync (s);
}

void
disk_sync (sim_t *s)
{
  if (s->dirty && fdatasync (s->logfd))
    abort ();
  s->dirty = false;
}

static bool
load_state (sim_t *s, str_t in)
{
  uint64_t primary;
  uint64_t fence;
  uint64_t uterm;
  str_t owner;
  str_t towner;
  str_t up;
  str_t terms;

  if (!unpack_u64 (&in, &primary) || !unpack_u64 (&in, &fence)
      || !unpack_str (&in, &owner) || !unpack_str (&in, &towner)
      || !unpack_str (&in, &up) || !unpack_u64 (&in, &uterm)
      || !unpack_str (&in, &terms) || !terms_parse (terms, &s->terms))
    return false;
  s->primary = primary != 0;
  s->fence = (int64_t)fence;
  s->upstream_term = (int64_t)uterm;
  heap_free (&s->owner);
  heap_free (&s->term_owner);
  heap_free (&s->upstream);
  s->owner = heap_dup (owner);
  s->term_owner = heap_dup (towner);
  s->upstream = heap_dup (up);
  return true;
}

static bool
load_body (sim_t *s, str_t in)
{
  ops_t o;
  uint64_t pos;
  char type = in.n ? in.p[0] : 0;

  in.p++;
  in.n--;
  if (type == 'S')
    return load_state (s, in);
  if (type == 'T' && unpack_u64 (&in, &pos))
    {
      store_truncate (s, (int64_t)pos);
      return true;
    }
  if (type != 'R' || !unpack_ops (&in, &o))
    return false;
  store_append (s, &o);
  return true;
}

/* load_record: 1 and the size of the record; 0 at the end of the file or at an
   incomplete last record; -1 if the record is damaged.  */
static int
load_record (sim_t *s, str_t in, size_t *size)
{
  uint32_t n;
  uint64_t h;

  if (in.n < HEADER_SIZE)
    return 0;
  memcpy (&n, in.p, sizeof n);
  memcpy (&h, in.p + sizeof n, sizeof h);
  if (n == 0 || n > in.n - HEADER_SIZE)
    return n == 0 ? -1 : 0;
  *size = HEADER_SIZE + n;
  str_t body = { in.p + HEADER_SIZE, n };
  if (str_hash (body) != h)
    return in.n == *size ? 0 : -1;
  return load_body (s, body) ? 1 : -1;
}

static bool
load (sim_t *s, const char *path, err_t *e)
{
  buf_t b;
  ssize_t n;
  size_t size;
  int got;

  buf_init (&b);
  while ((n = read (s->logfd, buf_room (&b, 1 << 20), 1 << 20)) > 0)
    b.n += (size_t)n;
  size_t at = 0;
  while ((got = load_record (s, (str_t){ b.p + at, b.n - at }, &size)) > 0)
    at += size;
  buf_free (&b);
  if (got < 0)
    {
      e->offset = (int64_t)at;
      return err_set (e, ERR_CORRUPT, path, "damaged record at byte %zu", at);
    }
  if (ftruncate (s->logfd, (off_t)at) || lseek (s->logfd, 0, SEEK_END) < 0)
    return err_sys (e, path, "truncate");
  return true;
}

bool
disk_open (sim_t *s, err_t *e)
{
  char path[512];

  s->logfd = -1;
  if (s->data.n == 0)
    return true;
  if (mkdir (s->data.p, 0755) && errno != EEXIST)
    return err_sys (e, s->data.p, "mkdir");
  snprintf (path, sizeof path, "%s/log", s->data.p);
  s->logfd = open (path, O_RDWR | O_CREAT | O_CLOEXEC, 0644);
  if (s->logfd < 0)
    return err_sys (e, path, "open");
  return load (s, path, e);
}
