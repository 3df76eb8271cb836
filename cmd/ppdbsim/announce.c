#include "sim.h"
#include "pgwire.h"
#include "rpc.h"

enum
{
  PERIOD_MS = 250,
  SILENCE_MS = 1000 /* without an answer for so long the next is tried */
};

static void
send_announcement (conn_t *c)
{
  sim_t *s = c->sim;
  buf_t b;

  buf_init (&b);
  buf_fmt (&b,
           "ANNOUNCE GROUP '" STR_FMT "' NAME '" STR_FMT "' ADDRESS '" STR_FMT
           "' ZONE '" STR_FMT "' TERM %lld POSITION %lld LEAVING %s",
           STR_ARG (s->group), STR_ARG (s->name), STR_ARG (s->address),
           STR_ARG (s->zone), (long long)sim_term (s), (long long)s->pos,
           s->leaving ? "true" : "false");
  pg_put_query (&c->out, buf_str (&b));
  buf_free (&b);
  c->told = s->now;
}

/* announce_input: READY marks the end of the last answer.  */
void
announce_input (conn_t *c)
{
  pgmsg_t m;
  err_t e;
  int got;

  while ((got = pg_message (&c->in, PG_MAX_MESSAGE, &m, &e)) > 0)
    {
      if (m.type == 'Z')
        c->ready = true;
      if (m.type == 'E')
        log_event (EV_SIM_ANNOUNCE_FAILED, "name=" STR_FMT " refused",
                   STR_ARG (c->sim->name));
      buf_take (&c->in, m.size);
      c->heard = c->sim->now;
    }
  if (got < 0)
    conn_close (c);
}

static void
connect_next (sim_t *s)
{
  err_t e;
  str_t to = s->announce[s->ann_at++ % s->nannounce];
  int fd = rpc_connect (to, &e);

  s->ann_next = s->now + PERIOD_MS;
  if (fd < 0)
    return;
  s->ann = conn_add (s, fd, K_ANNOUNCE);
  s->ann->heard = s->now;
  pg_put_startup (&s->ann->out, STR ("pimentopost_control"),
                  STR ("pimentopost"));
}

void
announce_tick (sim_t *s)
{
  conn_t *c = s->ann;

  if (s->nannounce == 0 || s->frozen)
    return;
  if (c && (c->gone || s->now - c->heard > SILENCE_MS))
    {
      log_event (EV_SIM_ANNOUNCE_FAILED, "name=" STR_FMT, STR_ARG (s->name));
      if (!c->gone)
        conn_close (c);
      c = s->ann = NULL;
    }
  if (c == NULL && s->now >= s->ann_next)
    connect_next (s);
  else if (c && c->ready && s->now - c->told >= PERIOD_MS)
    {
      c->ready = false;
      send_announcement (c);
    }
}
