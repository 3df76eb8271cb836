#include "world.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* ---- entry instances ---- */

static size_t
fill_announces (world_t *w, int i, apr_pool_t *p, announce_t *v)
{
  size_t n = 0;

  for (int d = 0; d < W_DBS; d++)
    {
      const world_db_t *b = &w->db[d];
      int via = -1;
      for (int k = 0; k < W_ENTRIES && via < 0; k++)
        {
          int e = (d + k) % W_ENTRIES;
          if (w->ent[e].alive && !w->ent[e].frozen
              && world_connected (w, b->zone, w->ent[e].zone))
            via = e;
        }
      if (via != i || !b->alive || b->frozen)
        continue;
      v[n] = (announce_t){ .group = str_fmt (p, "g%d", b->group),
                           .name = str_of (b->name),
                           .address = str_of (b->address),
                           .zone = STR ("z"),
                           .term = world_db_term (b),
                           .position = b->pos,
                           .leaving = b->leaving,
                           .age = (int64_t)rng_below (&w->rng, 20) };
      n++;
    }
  return n;
}

static size_t
fill_probes (world_t *w, int i, probe_t *v)
{
  world_entry_t *x = &w->ent[i];

  for (int d = 0; d < W_DBS; d++)
    {
      const world_db_t *b = &w->db[d];
      x->reachable[d]
          = b->alive && !b->frozen && world_connected (w, x->zone, b->zone);
      if (x->reachable[d])
        x->ok_at[d] = w->now;
      v[d] = (probe_t){ .name = str_of (b->name),
                        .address = str_of (b->address),
                        .reachable = x->reachable[d],
                        .ok_age = x->ok_at[d] ? w->now - x->ok_at[d] : -1 };
    }
  return W_DBS;
}

static void
renew (world_t *w, int i)
{
  world_entry_t *x = &w->ent[i];
  probe_t probes[W_DBS];
  announce_t ann[W_DBS];
  db_usage_t uses[W_DBS];
  apr_pool_t *p;
  int to = w->leader;

  if (to < 0 || !world_connected (w, x->zone, to % W_ZONES))
    to = (int)rng_below (&w->rng, W_CONTROLS);
  apr_pool_create (&p, w->pool);
  x->seq++;
  /* Messages may be reordered here, unlike on one TCP connection, so a full
     renewal must have been answered before brief ones follow.  */
  bool brief = x->full && x->seq - x->full < 5;
  if (!brief)
    x->full = 0;
  renew_t r = { .name = str_fmt (p, "ent%d", i),
                .boot = x->boot,
                .seq = x->seq,
                .sent = world_entry_now (w, i),
                .cfg_term = x->cfg_term,
                .cfg_index = x->cfg_index,
                .raft_term = x->raft_term,
                .probes = { probes, fill_probes (w, i, probes) },
                .announces = { ann, fill_announces (w, i, p, ann) },
                .brief = brief,
                .usage = { uses, brief ? 0 : W_DBS } };
  for (int d = 0; d < W_DBS; d++)
    uses[d] = (db_usage_t){ str_of (w->db[d].name), x->open[d], x->want[d] };
  rpc_pack (&world_send (w, W_RENEWAL, i, to)->b, MSG_RENEW, &r);
  apr_pool_destroy (p);
}

/* A message to a frozen process waits in its socket: if FROZEN, sends M again
   for the next step and returns true.  */
static bool
requeue_if_frozen (world_t *w, const world_msg_t *m, bool frozen)
{
  if (!frozen)
    return false;
  world_msg_t *again = world_send (w, m->kind, m->from, m->to);
  again->cmd = m->cmd;
  if (buf_len (&m->b))
    buf_adds (&again->b, buf_str (&m->b));
  again->at = w->now + W_STEP;
  return true;
}

static void
on_renewal (world_t *w, const world_msg_t *m, apr_pool_t *p)
{
  msgtype_t type;
  err_t e = { 0 };
  grant_t g;
  const renew_t *r = rpc_decode (p, buf_str (&m->b), &type, &e);

  if (requeue_if_frozen (w, m, w->ctl[m->to].frozen)
      || !world_ctl_up (w, m->to)
      || !world_connected (w, w->ent[m->from].zone, m->to % W_ZONES))
    return;
  control_renew (w->ctl[m->to].c, r, w->now, p, &g);
  world_run_actions (w, m->to);
  rpc_pack (&world_send (w, W_GRANT, m->to, m->from)->b, MSG_GRANT, &g);
}

static void
on_grant (world_t *w, const world_msg_t *m, apr_pool_t *p)
{
  world_entry_t *x = &w->ent[m->to];
  msgtype_t type;
  err_t e = { 0 };
  bool cfg_new;
  const grant_t *g = rpc_decode (p, buf_str (&m->b), &type, &e);

  if (requeue_if_frozen (w, m, x->frozen) || !x->alive
      || !world_connected (w, x->zone, m->from % W_ZONES) || g->seq > x->seq
      || !view_apply_grant (x->view, g, world_entry_now (w, m->to), &cfg_new,
                            &e))
    return;
  if (g->status == GRANT_UNKNOWN || g->status == GRANT_OK)
    x->unknown = g->status == GRANT_UNKNOWN;
  if (g->status != GRANT_NOT_LEADER && g->raft_term > x->raft_term)
    x->raft_term = g->raft_term;
  if (!g->brief && g->budgets.n && !x->full)
    x->full = g->seq;
  if (!cfg_new)
    return;
  x->cfg_term = g->cfg_term;
  x->cfg_index = g->cfg_index;
  x->cfg_version = g->cfg_version;
}

static void
on_command (world_t *w, const world_msg_t *m)
{
  db_event_t ev = { .kind = DB_EV_RESULT, .cmd = m->cmd };

  if (requeue_if_frozen (w, m, w->db[m->to].frozen))
    return;
  bool sender_down = !world_ctl_up (w, m->from);
  if (!world_ctl_reaches_db (w, m->from, m->to))
    {
      err_set (&ev.err, ERR_UNREACHABLE, "db", "cut");
      if (!sender_down)
        control_db (w->ctl[m->from].c, &ev, w->now);
      return;
    }
  apr_pool_create (&ev.pool, w->pool);
  world_db_command (w, m->to, &m->cmd, &ev);
  if (!sender_down)
    {
      ev.probe.ok_age = 0;
      control_db (w->ctl[m->from].c, &ev, w->now);
      world_run_actions (w, m->from);
    }
  apr_pool_destroy (ev.pool);
}

void
world_deliver (world_t *w)
{
  world_msg_t *due = NULL;
  apr_pool_t *p;

  for (world_msg_t **at = &w->msgs; *at;)
    {
      world_msg_t *m = *at;
      if (m->at > w->now)
        {
          at = &m->next;
          continue;
        }
      *at = m->next;
      m->next = due;
      due = m;
    }
  if (!due)
    return;
  apr_pool_create (&p, w->pool);
  while (due)
    {
      world_msg_t *m = due;
      due = m->next;
      if (m->kind == W_RENEWAL)
        on_renewal (w, m, p);
      else if (m->kind == W_GRANT)
        on_grant (w, m, p);
      else
        on_command (w, m);
      world_free_msg (m);
    }
  apr_pool_destroy (p);
}

void
world_entry_step (world_t *w, int i)
{
  world_entry_t *x = &w->ent[i];

  if (!x->alive || x->frozen)
    return;
  for (int d = 0; d < W_DBS; d++)
    {
      int limit = view_conn_limit (x->view, str_of (w->db[d].name),
                                   world_entry_now (w, i));
      x->open[d] = x->unknown ? 0 : x->want[d] < limit ? x->want[d] : limit;
    }
  if (w->now - x->renewed < 100)
    return;
  x->renewed = w->now;
  renew (w, i);
}
