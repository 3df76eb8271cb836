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
  c->recorded_revision = c->probed_revision = -1;
  c->boot = (int64_t)(rng_system_seed () >> 1);
  rng_init (&c->rng, rng_system_seed ());
  c->endpoints.by_address = apr_hash_make (pool);
  c->takeover_by_service = apr_hash_make (pool);
  c->probe_by_id = apr_hash_make (pool);
  c->sent_bytes = counter_get ("pimentopost_control_update_bytes_total",
                               "Bytes of updates sent to entry instances.");
  c->sent_updates = counter_get ("pimentopost_control_updates_total",
                                 "Updates sent to entry instances.");
  c->refused = counter_get (
      "pimentopost_backend_refused_total",
      "Records of backend servers that can't be used and were left out.");
  c->deferred = counter_get (
      "pimentopost_control_deferred_total",
      "Reports of entry instances that were answered without the roster,"
      " because many asked for all of it at once.");
  buf_init (&c->setup);
  buf_init (&c->document);
  cell_set_seeds (c, conf->seeds, conf->nseeds);
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
cell_has_leader (const cell_t *c)
{
  if (raft_role (c->raft) == RAFT_LEADER)
    return raft_leader_ready (c->raft) && raft_quorum_at (c->raft) >= 0
           && c->now - raft_quorum_at (c->raft) < RAFT_ELECTION_MAX;
  return raft_leader (c->raft) != 0;
}

cell_status_t
cell_heartbeat (cell_t *c, const backend_t *b, err_t *e)
{
  err_t inner = { 0 };
  int64_t old_revision = c->roster.revision;

  c->now = loop_now (c->loop);
  if (!cell_has_leader (c))
    return CELL_UNAVAILABLE;
  if (!roster_heartbeat (&c->roster, b, c->now, &inner)
      && inner.code != ERR_STALE)
    {
      roster_refused (c, b, "heartbeat", &inner);
      if (e)
        *e = inner;
      return CELL_INVALID;
    }
  if (c->roster.revision != old_revision)
    log_event (EV_BACKEND,
               "database=" STR_FMT " service=" STR_FMT
               " primary=%d leaving=%d gone=%d seq=%lld",
               STR_ARG (b->id), STR_ARG (b->service), b->primary, b->leaving,
               b->gone, (long long)b->seq);
  return CELL_OK;
}

static void
apply_committed (cell_t *c)
{
  while (!c->failed && raft_applied (c->raft) < raft_commit (c->raft))
    if (!cell_check (c, raft_tick (c->raft, c->now, &c->err)))
      return;
}

/* Whole rosters repair what changes missed; their cost is bounded by sending
   large ones less often, but several times in ROSTER_TIMEOUT.  */
static msec_t
roster_interval (const cell_t *c)
{
  msec_t t = (msec_t)c->roster.n * ROSTER_RECORD_TIME;

  return t < ROSTER_INTERVAL      ? ROSTER_INTERVAL
         : t > ROSTER_TIMEOUT / 4 ? ROSTER_TIMEOUT / 4
                                  : t;
}

msec_t
cell_turn (void *arg, msec_t now)
{
  cell_t *c = arg;

  c->now = now;
  if (c->failed)
    return now;
  if (now - c->ticked_at >= TICK_INTERVAL)
    {
      c->ticked_at = now;
      c->full_quota = FULL_PER_TICK;
      cell_check (c, raft_tick (c->raft, now, &c->err));
      leave_tick (c);
      join_tick (c);
      join_remove_unneeded (c);
      peers_expire (c);
      takeovers_tick (c);
      roster_record (c);
      endpoint_expire (c);
      update_broadcast (c);
    }
  apply_committed (c);
  raft_observe (c->raft, &c->observed);
  pending_check (c);
  if (now - c->rosters_sent_at >= roster_interval (c))
    {
      roster_expire (&c->roster, now);
      /* It may have moved the records that the list refers to.  */
      c->changes.revision = -1;
      roster_reset_sent (c);
    }
  return c->failed ? now : c->ticked_at + TICK_INTERVAL;
}
