#include "base.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

enum
{
  MIN_CAP = 256 /* bytes */
};

void
buf_init (buf_t *b)
{
  *b = (buf_t){ 0 };
}

void
buf_free (buf_t *b)
{
  free (b->p);
  buf_init (b);
}

char *
buf_room (buf_t *b, size_t n)
{
  if (b->off == b->n)
    b->off = b->n = 0;
  if (b->off && b->n + n > b->cap)
    {
      memmove (b->p, b->p + b->off, b->n - b->off);
      b->n -= b->off;
      b->off = 0;
    }
  if (b->n + n > b->cap)
    {
      size_t cap = b->cap ? b->cap : MIN_CAP;
      while (cap < b->n + n)
        cap *= 2;
      char *p = realloc (b->p, cap);
      /* Nothing can be kept consistent without memory; the supervisor of the
         process restarts it.  */
      if (p == NULL)
        abort ();
      b->p = p;
      b->cap = cap;
    }
  return b->p + b->n;
}

void
buf_add (buf_t *b, const void *p, size_t n)
{
  if (n == 0)
    return;
  memcpy (buf_room (b, n), p, n);
  b->n += n;
}

void
buf_adds (buf_t *b, str_t s)
{
  buf_add (b, s.p, s.n);
}

void
buf_fmt (buf_t *b, const char *fmt, ...)
{
  va_list ap;
  va_list again;

  va_start (ap, fmt);
  va_copy (again, ap);
  int n = vsnprintf (NULL, 0, fmt, ap);
  va_end (ap);
  if (n > 0)
    {
      vsnprintf (buf_room (b, (size_t)n + 1), (size_t)n + 1, fmt, again);
      b->n += (size_t)n;
    }
  va_end (again);
}

void
buf_take (buf_t *b, size_t n)
{
  b->off += n;
  if (b->off >= b->n)
    b->off = b->n = 0;
}
