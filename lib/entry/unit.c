#include "worker.h"

#include <string.h>

/* Finds the end of a batch, which is a Sync or a Flush.  */
static unit_t
batch_unit (session_t *s, size_t *size, err_t *e)
{
  str_t in = buf_str (&s->in);
  pgmsg_t m;
  int got;

  while ((got = pg_next (in, &s->scanned, PG_MAX_MESSAGE, &m, e)) == 1)
    {
      *size = s->scanned;
      if (m.type == 'S')
        return UNIT_BATCH;
      if (m.type == 'H')
        return UNIT_FLUSH;
      if (!strchr ("PBDEC", m.type))
        {
          err_set (e, ERR_PROTOCOL, "batch", "message of type %d", m.type);
          return UNIT_BAD;
        }
      if (s->scanned > BATCH_MAX)
        {
          err_set (e, ERR_TOO_LARGE, "batch", "more than %d bytes before Sync",
                   BATCH_MAX);
          return UNIT_BAD;
        }
    }
  return got < 0 ? UNIT_BAD : UNIT_MORE;
}

static unit_t
first_message (const pgmsg_t *m, err_t *e)
{
  switch (m->type)
    {
    case 'Q':
      return UNIT_QUERY;
    case 'S':
      return UNIT_SYNC;
    case 'F':
      return UNIT_CALL;
    case 'X':
      return UNIT_END;
    default:
      err_set (e, ERR_PROTOCOL, "message", "type %d is not expected", m->type);
      return UNIT_BAD;
    }
}

unit_t
unit_next (session_t *s, size_t *size, err_t *e)
{
  pgmsg_t m;

  if (s->scanned)
    return batch_unit (s, size, e);
  int got = pg_message (&s->in, PG_MAX_MESSAGE, &m, e);
  if (got < 0)
    return UNIT_BAD;
  if (got == 0)
    {
      /* An unknown type is an error before its body has arrived.  */
      if (buf_len (&s->in) && !pg_client_type (*buf_str (&s->in).p))
        {
          err_set (e, ERR_PROTOCOL, "message", "type %d", *buf_str (&s->in).p);
          return UNIT_BAD;
        }
      return UNIT_MORE;
    }
  if (strchr ("PBDEC", m.type))
    return batch_unit (s, size, e);
  *size = m.size;
  if (m.type == 'H' || strchr ("dcf", m.type))
    return UNIT_FLUSH; /* nothing to flush; late COPY messages are ignored */
  return first_message (&m, e);
}
