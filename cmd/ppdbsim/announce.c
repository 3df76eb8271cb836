#include "sim.h"
#include "rpc.h"

#include <arpa/inet.h>
#include <string.h>

enum
{
  PERIOD_MS = 250,
  SILENCE_MS = 1000 /* without an answer for so long the next is tried */
};

static void
send_startup (conn_t *c)
{
  static const char body[]
      = "user\0pimentopost_control\0database\0pimentopost\0";
  uint32_t head[2] = { htonl (8 + sizeof body), htonl (196608) };

  buf_add (&c->out, head, sizeof head);
  buf_add (&c->out, body, sizeof body);
}

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
  uint32_t n = htonl ((uint32_t)b.n + 5);
  buf_add (&c->out, "Q", 1);
  buf_add (&c->out, &n, 4);
  buf_add (&c->out, b.p, b.n);
  buf_add (&c->out, "", 1);
  buf_free (&b);
  c->told = s->now;
}

/* announce_input: READY marks the end of the last answer.  */
void
announce_input (conn_t *c)
{
  uint32_t n;

  while (buf_len (&c->in) >= 5)
    {
      char type = c->in.p[c->in.off];
      memcpy (&n, c->in.p + c->in.off + 1, 4);
      n = ntohl (n);
      if (n < 4 || n > IN_MAX)
        {
          conn_close (c);
          return;
        }
      if (buf_len (&c->in) < (size_t)n + 1)
        return;
      if (type == 'Z')
        c->ready = true;
      if (type == 'E')
        log_event (EV_SIM_ANNOUNCE_FAILED, "name=" STR_FMT " refused",
                   STR_ARG (c->sim->name));
      buf_take (&c->in, (size_t)n + 1);
      c->heard = c->sim->now;
    }
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
  send_startup (s->ann);
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
