#include "sim.h"
#include "pgwire.h"
#include "rpc.h"

enum
{
  ANNOUNCE_PERIOD_MS = 250, /* also the delay between connection attempts */
  ANSWER_TIMEOUT_MS = 1000  /* then the next entry instance is tried */
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
  c->sent_at = s->now;
}

/* announce_input: ReadyForQuery ends the answer to an announcement.  */
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
      c->received_at = c->sim->now;
    }
  if (got < 0)
    conn_close (c);
}

static void
connect_next (sim_t *s)
{
  err_t e;
  str_t to = s->announce[s->announce_index++ % s->nannounce];
  int fd = rpc_connect (to, &e);

  s->announce_retry_at = s->now + ANNOUNCE_PERIOD_MS;
  if (fd < 0)
    return;
  s->announce_conn = conn_add (s, fd, K_ANNOUNCE);
  s->announce_conn->received_at = s->now;
  pg_put_startup (&s->announce_conn->out, STR ("pimentopost_control"),
                  STR ("pimentopost"));
}

void
announce_tick (sim_t *s)
{
  conn_t *c = s->announce_conn;

  if (s->nannounce == 0 || s->frozen)
    return;
  if (c && (c->closed || s->now - c->received_at > ANSWER_TIMEOUT_MS))
    {
      log_event (EV_SIM_ANNOUNCE_FAILED, "name=" STR_FMT, STR_ARG (s->name));
      if (!c->closed)
        conn_close (c);
      c = s->announce_conn = NULL;
    }
  if (c == NULL && s->now >= s->announce_retry_at)
    connect_next (s);
  else if (c && c->ready && s->now - c->sent_at >= ANNOUNCE_PERIOD_MS)
    {
      c->ready = false;
      send_announcement (c);
    }
}
