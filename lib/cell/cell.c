#include "local.h"

#include <stdlib.h>
#include <string.h>

static bool
open_log (cell_t *c, err_t *e)
{
  raft_open_t o = { .path = c->conf.data,
                    .conf = { .name = c->conf.name, .eager_start = true },
                    .ops = &cell_raft_ops,
                    .arg = c,
                    .rng = &c->rng,
                    .now = c->now,
                    .store = &c->store };

  c->raft = raft_open (c->pool, &o, e);
  return c->raft != NULL;
}

cell_t *
cell_new (apr_pool_t *pool, loop_t *l, const cell_conf_t *conf, err_t *e)
{
  cell_t *c = apr_pcalloc (pool, sizeof *c);

  c->pool = pool;
  c->loop = l;
  c->conf = *conf;
  c->now = c->started = loop_now (l);
  c->recorded = -1;
  c->boot = (int64_t)(rng_system_seed () >> 1);
  rng_init (&c->rng, rng_system_seed ());
  buf_init (&c->setup);
  buf_init (&c->document);
  cell_seeds (c, conf->seeds, conf->nseeds);
  return open_log (c, e) && peers_listen (c, e) ? c : NULL;
}

bool
cell_failed (const cell_t *c, err_t *e)
{
  if (c->failed && e)
    *e = c->err;
  return c->failed;
}

bool
cell_led (const cell_t *c)
{
  if (raft_role (c->raft) == RAFT_LEADER)
    return raft_leader_ready (c->raft) && raft_quorum_at (c->raft) >= 0
           && c->now - raft_quorum_at (c->raft) < RAFT_ELECTION_MAX;
  return raft_leader (c->raft) != 0;
}

cell_status_t
cell_beat (cell_t *c, const backend_t *b, err_t *e)
{
  err_t inner = { 0 };
  int64_t before = c->roster.number;

  c->now = loop_now (c->loop);
  if (!cell_led (c))
    return CELL_UNSURE;
  if (!roster_beat (&c->roster, b, c->now, &inner) && inner.code != ERR_STALE)
    {
      if (e)
        *e = inner;
      return CELL_INVALID;
    }
  if (c->roster.number != before)
    {
      log_event (EV_BACKEND,
                 "database=" STR_FMT " service=" STR_FMT
                 " primary=%d leaving=%d gone=%d seq=%lld",
                 STR_ARG (b->id), STR_ARG (b->service), b->primary, b->leaving,
                 b->gone, (long long)b->seq);
      news_spread (c);
    }
  return CELL_OK;
}

static void
catch_up (cell_t *c)
{
  while (!c->failed && raft_applied (c->raft) < raft_commit (c->raft))
    if (!cell_step (c, raft_tick (c->raft, c->now, &c->err)))
      return;
}

msec_t
cell_turn (void *arg, msec_t now)
{
  cell_t *c = arg;

  c->now = now;
  if (c->failed)
    return now;
  if (now - c->ticked >= TICK)
    {
      c->ticked = now;
      cell_step (c, raft_tick (c->raft, now, &c->err));
      leave_tick (c);
      join_tick (c);
      join_review (c);
      peers_sweep (c);
      takeovers_tick (c);
      roster_record (c);
      endpoint_sweep (c);
      news_spread (c);
    }
  catch_up (c);
  raft_observe (c->raft, &c->seen);
  pending_review (c);
  if (now - c->gossiped >= GOSSIP_EVERY)
    {
      roster_sweep (&c->roster, now);
      gossip_again (c);
    }
  return c->failed ? now : c->ticked + TICK;
}
