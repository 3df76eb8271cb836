#include "world.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* ---- the log ---- */

static void
append (world_t *w, str_t data)
{
  if (w->nlog == w->caplog)
    {
      w->caplog = w->caplog ? 2 * w->caplog : 256;
      w->log = realloc (w->log, (size_t)w->caplog * sizeof *w->log);
    }
  world_log_entry_t *e = &w->log[w->nlog++];
  e->term = w->term;
  e->n = data.n;
  e->p = malloc (data.n);
  memcpy (e->p, data.p, data.n);
}

void
world_run_actions (world_t *w, int i)
{
  ctl_act_t a;

  while (control_next (w->ctl[i].c, &a))
    if (a.kind == CTL_APPEND && w->leader == i)
      append (w, a.data);
    else if (a.kind == CTL_DB)
      for (int d = 0; d < W_DBS; d++)
        {
          if (strcmp (w->db[d].name, a.db.name) == 0)
            world_send (w, W_COMMAND, i, d)->cmd = a.db;
        }
    else if (a.kind == CTL_ANSWER && a.ticket >= 0 && a.ticket < 4096)
      w->answers[a.ticket] = (world_answer_t){ .status = a.resp.status,
                                               .version = a.resp.version,
                                               .repeated = a.resp.repeated,
                                               .answered = true };
}

static void
apply (world_t *w, int i)
{
  world_ctl_t *x = &w->ctl[i];
  err_t e = { 0 };

  if (!world_ctl_up (w, i) || w->leader < 0
      || (i != w->leader
          && !world_connected (w, i % W_ZONES, w->leader % W_ZONES)))
    return;
  while (x->applied < w->commit)
    {
      const world_log_entry_t *l = &w->log[x->applied++];
      if (!control_apply (x->c, l->term, x->applied, (str_t){ l->p, l->n },
                          w->now, &e))
        abort ();
      world_run_actions (w, i);
    }
}

void
world_restart_ctl (world_t *w, int i, bool from_snapshot)
{
  world_ctl_t *x = &w->ctl[i];
  int64_t at = x->applied;
  buf_t b;
  err_t e = { 0 };

  buf_init (&b);
  control_snapshot (x->c, &b);
  if (w->leader == i)
    w->leader = -1;
  world_start_ctl (w, i);
  w->restarts++;
  if (from_snapshot)
    {
      if (!control_restore (x->c, buf_str (&b), w->now, &e))
        abort ();
      x->applied = at;
    }
  buf_free (&b);
}

/* ---- election ---- */

static int
followers (const world_t *w, int i)
{
  int n = 0;

  for (int j = 0; j < W_CONTROLS; j++)
    n += world_ctl_up (w, j) && world_connected (w, i % W_ZONES, j % W_ZONES);
  return n;
}

static void
elect (world_t *w, int i)
{
  int votes = 0;

  for (int j = 0; j < W_CONTROLS; j++)
    votes += world_ctl_up (w, j)
             && world_connected (w, i % W_ZONES, j % W_ZONES)
             && w->now - w->last_heartbeat[j] >= 250;
  if (votes <= W_CONTROLS / 2)
    return;
  /* The winner has either all or none of the former leader's uncommitted
     entries.  */
  if (rng_below (&w->rng, 2))
    while (w->nlog > w->commit)
      free (w->log[--w->nlog].p);
  w->leader = i;
  w->term++;
  w->commit = w->nlog;
  apply (w, i);
  control_role (w->ctl[i].c, true, w->term, STR (""), w->now);
  world_run_actions (w, i);
}

void
world_raft_step (world_t *w)
{
  int l = w->leader;

  if (l >= 0 && world_ctl_up (w, l) && followers (w, l) > W_CONTROLS / 2)
    {
      w->commit = w->nlog;
      for (int j = 0; j < W_CONTROLS; j++)
        if (world_ctl_up (w, j)
            && world_connected (w, l % W_ZONES, j % W_ZONES))
          w->last_heartbeat[j] = w->now;
      control_quorum (w->ctl[l].c, w->now);
    }
  for (int i = 0; i < W_CONTROLS; i++)
    {
      bool late = w->now - w->last_heartbeat[i] > 300 + 60 * i;
      if (world_ctl_up (w, i) && late && i != w->leader)
        elect (w, i);
    }
  for (int i = 0; i < W_CONTROLS; i++)
    if (world_ctl_up (w, i) && w->ctl[i].c->is_leader && i != w->leader
        && (w->leader < 0 || w->now - w->last_heartbeat[i] > 500
            || world_connected (w, i % W_ZONES, w->leader % W_ZONES)))
      control_role (w->ctl[i].c, false, w->term, STR (""), w->now);
  for (int i = 0; i < W_CONTROLS; i++)
    apply (w, i);
}

/* ---- control instances ---- */

static void
probe_one (world_t *w, int i, int d)
{
  world_ctl_t *x = &w->ctl[i];
  db_event_t ev = { .kind = DB_EV_PROBE };

  apr_pool_create (&ev.pool, w->pool);
  world_db_probe (w, d, &ev.probe, ev.pool);
  ev.probe.reachable = world_ctl_reaches_db (w, i, d);
  if (ev.probe.reachable)
    x->ok_at[d] = w->now;
  ev.probe.ok_age = x->ok_at[d] ? w->now - x->ok_at[d] : -1;
  if (!ev.probe.reachable)
    ev.probe.role = STR ("");
  control_db (x->c, &ev, w->now);
  apr_pool_destroy (ev.pool);
}

void
world_ctl_step (world_t *w, int i)
{
  world_ctl_t *x = &w->ctl[i];
  db_target_t t[W_DBS];
  probe_report_t r;
  apr_pool_t *p;

  if (!world_ctl_up (w, i))
    return;
  if (w->now - x->probed >= 100)
    {
      x->probed = w->now;
      size_t n = control_targets (x->c, t, W_DBS, NULL);
      for (size_t k = 0; k < n && k < W_DBS; k++)
        for (int d = 0; d < W_DBS; d++)
          if (strcmp (w->db[d].name, t[k].name) == 0)
            probe_one (w, i, d);
      int l = w->leader;
      if (l >= 0 && l != i && world_ctl_up (w, l)
          && world_connected (w, i % W_ZONES, l % W_ZONES))
        {
          apr_pool_create (&p, w->pool);
          control_report (x->c, p, w->now, &r);
          control_peer_report (w->ctl[l].c, &r, w->now);
          apr_pool_destroy (p);
        }
    }
  control_tick (x->c, w->now);
  world_run_actions (w, i);
}
