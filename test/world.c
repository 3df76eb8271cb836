#include "world.h"

#include <apr_general.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* ---- configuration ---- */

static bool
generate (void *arg, apr_pool_t *pool, str_t text, int64_t version, str_t *out,
          err_t *e)
{
  (void)arg;
  (void)version;
  if (!str_starts (text, STR ("entries ")))
    return err_set (e, ERR_SYNTAX, "questionnaire", "no entries");
  *out = str_dup (pool, text);
  return true;
}

static bool
read_text (void *arg, apr_pool_t *pool, str_t text, ctl_conf_t *out, err_t *e)
{
  int n = text.n > 8 ? text.p[8] - '0' : -1;
  ctl_group_t *g = apr_pcalloc (pool, sizeof *g * W_GROUPS);
  ctl_instance_t *x = apr_pcalloc (pool, sizeof *x * (W_CONTROLS + W_ENTRIES));

  (void)arg;
  if (n < 0 || n > W_ENTRIES)
    return err_set (e, ERR_SYNTAX, "configuration", "entries");
  for (int i = 0; i < W_GROUPS; i++)
    g[i] = (ctl_group_t){ str_fmt (pool, "g%d", i), W_DBS_PER_GROUP,
                          W_CONNECTIONS };
  for (int i = 0; i < n; i++)
    x[i] = (ctl_instance_t){ .name = str_fmt (pool, "ent%d", i),
                             .entry = true };
  for (int i = 0; i < W_CONTROLS; i++)
    x[n + i] = (ctl_instance_t){ .name = str_fmt (pool, "ctl%d", i) };
  out->groups = (list_t){ g, W_GROUPS };
  out->instances = (list_t){ x, (size_t)(n + W_CONTROLS) };
  return true;
}

const ctl_conf_ops_t world_ops = { NULL, generate, read_text };

const char *
world_config (world_t *w, int entries)
{
  return str_fmt (w->pool, "entries %d", entries).p;
}

/* ---- start and end ---- */

bool
world_connected (const world_t *w, int zone1, int zone2)
{
  return !w->cut[zone1][zone2];
}

msec_t
world_entry_now (const world_t *w, int i)
{
  return w->now + w->ent[i].skew;
}

void
world_start_ctl (world_t *w, int i)
{
  world_ctl_t *x = &w->ctl[i];
  char name[16];

  if (x->pool)
    apr_pool_destroy (x->pool);
  apr_pool_create (&x->pool, w->pool);
  snprintf (name, sizeof name, "ctl%d", i);
  x->c = control_new (x->pool, str_of (name), str_of (name), &world_ops, NULL);
  if (w->has_rules)
    x->c->rules = w->rules;
  x->applied = 0;
  x->alive = true;
  x->frozen = false;
  w->last_heartbeat[i] = w->now;
  memset (x->reachable, 0, sizeof x->reachable);
  memset (x->ok_at, 0, sizeof x->ok_at);
}

void
world_restart_entry (world_t *w, int i)
{
  world_entry_t *x = &w->ent[i];
  msec_t skew = (msec_t)rng_below (&w->rng, 100000);

  if (x->pool)
    apr_pool_destroy (x->pool);
  memset (x, 0, sizeof *x);
  apr_pool_create (&x->pool, w->pool);
  x->view = view_new (x->pool, STR ("z"), &w->rng);
  x->alive = true;
  x->zone = i % W_ZONES;
  x->boot = (int64_t)(rng_u64 (&w->rng) >> 8) + 1;
  x->skew = skew;
  x->cfg_term = x->cfg_index = -1;
}

world_t *
world_new (uint64_t seed, bool primaries)
{
  world_t *w = calloc (1, sizeof *w);

  apr_initialize ();
  apr_pool_create (&w->pool, NULL);
  rng_init (&w->rng, seed);
  w->now = 1000000;
  w->leader = -1;
  for (int i = 0; i < W_DBS; i++)
    world_db_init (&w->db[i], i, primaries);
  for (int i = 0; i < W_CONTROLS; i++)
    world_start_ctl (w, i);
  for (int i = 0; i < W_ENTRIES; i++)
    world_restart_entry (w, i);
  return w;
}

void
world_free_msg (world_msg_t *m)
{
  buf_free (&m->b);
  free (m);
}

void
world_free (world_t *w)
{
  while (w->msgs)
    {
      world_msg_t *m = w->msgs;
      w->msgs = m->next;
      world_free_msg (m);
    }
  for (int64_t i = 0; i < w->nlog; i++)
    free (w->log[i].p);
  for (int i = 0; i < W_DBS; i++)
    free (w->db[i].log);
  free (w->log);
  apr_pool_destroy (w->pool);
  free (w);
}

/* ---- messages ---- */

world_msg_t *
world_send (world_t *w, int kind, int from, int to)
{
  world_msg_t *m = calloc (1, sizeof *m);

  m->kind = kind;
  m->from = from;
  m->to = to;
  m->at = w->now + (msec_t)rng_below (&w->rng, (uint64_t)w->delay + 1);
  buf_init (&m->b);
  m->next = w->msgs;
  w->msgs = m;
  return m;
}

bool
world_ctl_up (const world_t *w, int i)
{
  return w->ctl[i].alive && !w->ctl[i].frozen;
}

bool
world_ctl_reaches_db (const world_t *w, int i, int db)
{
  return w->db[db].alive && !w->db[db].frozen
         && world_connected (w, i % W_ZONES, w->db[db].zone);
}

void
world_run (world_t *w, msec_t ms)
{
  for (msec_t end = w->now + ms; w->now < end;)
    {
      w->now += W_STEP;
      world_deliver (w);
      world_db_step (w);
      world_raft_step (w);
      for (int i = 0; i < W_CONTROLS; i++)
        world_ctl_step (w, i);
      for (int i = 0; i < W_ENTRIES; i++)
        world_entry_step (w, i);
    }
}

bool
world_until (world_t *w, bool (*done) (world_t *w), msec_t ms)
{
  for (msec_t end = w->now + ms; w->now < end; world_run (w, W_STEP))
    if (done (w))
      return true;
  return done (w);
}

/* ---- functions for tests ---- */

bool
world_settled (world_t *w)
{
  control_t *c = world_leader (w);

  if (!c || !control_ready (c))
    return false;
  for (int i = 0; i < W_GROUPS; i++)
    {
      const grp_t *g = world_group (w, i);
      if (!g || !g->term || lease_refusal (c, g, w->now))
        return false;
    }
  return true;
}

bool
world_start (world_t *w)
{
  world_run (w, 1000);
  if (!world_leader (w))
    return false;
  world_submit (w, 0, "s0", "op", 0, world_config (w, W_ENTRIES));
  return world_until (w, world_settled, 5000);
}

void
world_run_tests (const char *name, const tests_t *t, int n, int *failed)
{
  Suite *s = suite_create (name);
  TCase *k = tcase_create (name);
  SRunner *r = srunner_create (s);

  tcase_set_timeout (k, 60);
  for (int i = 0; i < n; i++)
    tcase_add_test (k, t[i]);
  suite_add_tcase (s, k);
  srunner_run_all (r, CK_NORMAL);
  *failed = srunner_ntests_failed (r);
  srunner_free (r);
}

control_t *
world_leader (world_t *w)
{
  return w->leader >= 0 ? w->ctl[w->leader].c : NULL;
}

void
world_submit (world_t *w, int ticket, const char *id, const char *who,
              int64_t base, const char *text)
{
  submit_t s = { .id = str_of (id),
                 .operator_name = str_of (who),
                 .base = base,
                 .text = str_of (text) };

  memset (&w->answers[ticket], 0, sizeof w->answers[ticket]);
  if (w->leader < 0 || !world_ctl_up (w, w->leader))
    return;
  control_submit (world_leader (w), &s, ticket, w->now);
  world_run_actions (w, w->leader);
}

grp_t *
world_group (world_t *w, int group)
{
  char name[8];

  snprintf (name, sizeof name, "g%d", group);
  return world_leader (w) ? grp_find (world_leader (w), str_of (name)) : NULL;
}

world_db_t *
world_primary (world_t *w, int group)
{
  const grp_t *g = world_group (w, group);

  for (int d = 0; g && g->term && d < W_DBS; d++)
    if (strcmp (w->db[d].name, g->primary) == 0)
      return &w->db[d];
  return NULL;
}

mem_t *
world_member (world_t *w, int db)
{
  return world_leader (w)
             ? mem_find (world_leader (w), str_of (w->db[db].name))
             : NULL;
}

int
world_audit_count (world_t *w, const char *what)
{
  query_t q = { .what = STR ("audit"), .limit = CTL_AUDIT };
  query_resp_t out;
  apr_pool_t *p;
  int n = 0;

  apr_pool_create (&p, w->pool);
  control_query (world_leader (w), &q, w->now, p, &out);
  for (const char *s = out.text.p; (s = strstr (s, what)); s++)
    n++;
  apr_pool_destroy (p);
  return n;
}
