#include "world.h"

#include <apr_general.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

enum
{
  MSG_RENEWAL,
  MSG_GRANTED,
  MSG_COMMAND
};

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
  ctl_group_t *g = apr_pcalloc (pool, sizeof *g * W_GRP);
  ctl_instance_t *x = apr_pcalloc (pool, sizeof *x * (W_CTL + W_ENT));

  (void)arg;
  if (n < 0 || n > W_ENT)
    return err_set (e, ERR_SYNTAX, "configuration", "entries");
  for (int i = 0; i < W_GRP; i++)
    g[i] = (ctl_group_t){ str_fmt (pool, "g%d", i), W_PER, W_CONNECTIONS };
  for (int i = 0; i < n; i++)
    x[i] = (ctl_instance_t){ .name = str_fmt (pool, "ent%d", i),
                             .entry = true };
  for (int i = 0; i < W_CTL; i++)
    x[n + i] = (ctl_instance_t){ .name = str_fmt (pool, "ctl%d", i) };
  out->groups = (list_t){ g, W_GRP };
  out->instances = (list_t){ x, (size_t)(n + W_CTL) };
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
world_reach (const world_t *w, int zone1, int zone2)
{
  return !w->cut[zone1][zone2];
}

msec_t
world_ent_now (const world_t *w, int i)
{
  return w->now + w->ent[i].skew;
}

static void
start_ctl (world_t *w, int i)
{
  wctl_t *x = &w->ctl[i];
  char name[16];

  if (x->pool)
    apr_pool_destroy (x->pool);
  apr_pool_create (&x->pool, w->pool);
  snprintf (name, sizeof name, "ctl%d", i);
  x->c = control_new (x->pool, str_of (name), str_of (name), &world_ops, NULL);
  if (w->ruled)
    x->c->rules = w->rules;
  x->applied = 0;
  x->alive = true;
  x->frozen = false;
  w->heard[i] = w->now;
  memset (x->reached, 0, sizeof x->reached);
  memset (x->answer, 0, sizeof x->answer);
}

void
world_restart_ent (world_t *w, int i)
{
  went_t *x = &w->ent[i];
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
  for (int i = 0; i < W_DB; i++)
    wdb_init (&w->db[i], i, primaries);
  for (int i = 0; i < W_CTL; i++)
    start_ctl (w, i);
  for (int i = 0; i < W_ENT; i++)
    world_restart_ent (w, i);
  return w;
}

static void
free_msg (wmsg_t *m)
{
  buf_free (&m->b);
  free (m);
}

void
world_free (world_t *w)
{
  while (w->msgs)
    {
      wmsg_t *m = w->msgs;
      w->msgs = m->next;
      free_msg (m);
    }
  for (int64_t i = 0; i < w->nlog; i++)
    free (w->log[i].p);
  for (int i = 0; i < W_DB; i++)
    free (w->db[i].log);
  free (w->log);
  apr_pool_destroy (w->pool);
  free (w);
}

/* ---- messages ---- */

static wmsg_t *
post (world_t *w, int kind, int from, int to)
{
  wmsg_t *m = calloc (1, sizeof *m);

  m->kind = kind;
  m->from = from;
  m->to = to;
  m->at = w->now + (msec_t)rng_below (&w->rng, (uint64_t)w->delay + 1);
  buf_init (&m->b);
  m->next = w->msgs;
  w->msgs = m;
  return m;
}

static bool
ctl_works (const world_t *w, int i)
{
  return w->ctl[i].alive && !w->ctl[i].frozen;
}

static bool
ctl_db (const world_t *w, int i, int db)
{
  return w->db[db].alive && !w->db[db].frozen
         && world_reach (w, i % W_ZONES, w->db[db].zone);
}

/* ---- the log ---- */

static void
append (world_t *w, str_t data)
{
  if (w->nlog == w->caplog)
    {
      w->caplog = w->caplog ? 2 * w->caplog : 256;
      w->log = realloc (w->log, (size_t)w->caplog * sizeof *w->log);
    }
  wentry_t *e = &w->log[w->nlog++];
  e->term = w->term;
  e->n = data.n;
  e->p = malloc (data.n);
  memcpy (e->p, data.p, data.n);
}

static void
pump (world_t *w, int i)
{
  ctl_act_t a;

  while (control_next (w->ctl[i].c, &a))
    if (a.kind == CTL_APPEND && w->leader == i)
      append (w, a.data);
    else if (a.kind == CTL_DB)
      for (int d = 0; d < W_DB; d++)
        {
          if (strcmp (w->db[d].name, a.db.name) == 0)
            post (w, MSG_COMMAND, i, d)->cmd = a.db;
        }
    else if (a.kind == CTL_ANSWER && a.ticket >= 0 && a.ticket < 4096)
      w->answers[a.ticket] = (wanswer_t){ .status = a.resp.status,
                                          .version = a.resp.version,
                                          .repeated = a.resp.repeated,
                                          .answered = true };
}

static void
apply (world_t *w, int i)
{
  wctl_t *x = &w->ctl[i];
  err_t e = { 0 };

  if (!ctl_works (w, i) || w->leader < 0
      || (i != w->leader
          && !world_reach (w, i % W_ZONES, w->leader % W_ZONES)))
    return;
  while (x->applied < w->commit)
    {
      const wentry_t *l = &w->log[x->applied++];
      if (!control_apply (x->c, l->term, x->applied, (str_t){ l->p, l->n },
                          w->now, &e))
        abort ();
      pump (w, i);
    }
}

void
world_restart_ctl (world_t *w, int i, bool from_snapshot)
{
  wctl_t *x = &w->ctl[i];
  int64_t at = x->applied;
  buf_t b;
  err_t e = { 0 };

  buf_init (&b);
  control_snapshot (x->c, &b);
  if (w->leader == i)
    w->leader = -1;
  start_ctl (w, i);
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

  for (int j = 0; j < W_CTL; j++)
    n += ctl_works (w, j) && world_reach (w, i % W_ZONES, j % W_ZONES);
  return n;
}

static void
elect (world_t *w, int i)
{
  int votes = 0;

  for (int j = 0; j < W_CTL; j++)
    votes += ctl_works (w, j) && world_reach (w, i % W_ZONES, j % W_ZONES)
             && w->now - w->heard[j] >= 250;
  if (votes <= W_CTL / 2)
    return;
  /* Of the former leader's unacknowledged tail either everything or nothing
     was on the winner.  */
  if (rng_below (&w->rng, 2))
    while (w->nlog > w->commit)
      free (w->log[--w->nlog].p);
  w->leader = i;
  w->term++;
  w->commit = w->nlog;
  apply (w, i);
  control_role (w->ctl[i].c, true, w->term, STR (""), w->now);
  pump (w, i);
}

static void
raft_step (world_t *w)
{
  int l = w->leader;

  if (l >= 0 && ctl_works (w, l) && followers (w, l) > W_CTL / 2)
    {
      w->commit = w->nlog;
      for (int j = 0; j < W_CTL; j++)
        if (ctl_works (w, j) && world_reach (w, l % W_ZONES, j % W_ZONES))
          w->heard[j] = w->now;
      control_quorum (w->ctl[l].c, w->now);
    }
  for (int i = 0; i < W_CTL; i++)
    {
      bool late = w->now - w->heard[i] > 300 + 60 * i;
      if (ctl_works (w, i) && late && i != w->leader)
        elect (w, i);
    }
  for (int i = 0; i < W_CTL; i++)
    if (ctl_works (w, i) && w->ctl[i].c->leads && i != w->leader
        && (w->leader < 0 || w->now - w->heard[i] > 500
            || world_reach (w, i % W_ZONES, w->leader % W_ZONES)))
      control_role (w->ctl[i].c, false, w->term, STR (""), w->now);
  for (int i = 0; i < W_CTL; i++)
    apply (w, i);
}

/* ---- control instances ---- */

static void
probe_one (world_t *w, int i, int d)
{
  wctl_t *x = &w->ctl[i];
  db_event_t ev = { .kind = DB_EV_PROBE };

  apr_pool_create (&ev.pool, w->pool);
  wdb_probe (w, d, &ev.probe, ev.pool);
  ev.probe.reachable = ctl_db (w, i, d);
  if (ev.probe.reachable)
    x->answer[d] = w->now;
  ev.probe.ok_age = x->answer[d] ? w->now - x->answer[d] : -1;
  if (!ev.probe.reachable)
    ev.probe.role = STR ("");
  control_db (x->c, &ev, w->now);
  apr_pool_destroy (ev.pool);
}

static void
ctl_step (world_t *w, int i)
{
  wctl_t *x = &w->ctl[i];
  db_target_t t[W_DB];
  probe_report_t r;
  apr_pool_t *p;

  if (!ctl_works (w, i))
    return;
  if (w->now - x->probed >= 100)
    {
      x->probed = w->now;
      size_t n = control_targets (x->c, t, W_DB, NULL);
      for (size_t k = 0; k < n && k < W_DB; k++)
        for (int d = 0; d < W_DB; d++)
          if (strcmp (w->db[d].name, t[k].name) == 0)
            probe_one (w, i, d);
      int l = w->leader;
      if (l >= 0 && l != i && ctl_works (w, l)
          && world_reach (w, i % W_ZONES, l % W_ZONES))
        {
          apr_pool_create (&p, w->pool);
          control_report (x->c, p, w->now, &r);
          control_report_in (w->ctl[l].c, &r, w->now);
          apr_pool_destroy (p);
        }
    }
  control_tick (x->c, w->now);
  pump (w, i);
}

/* ---- entry instances ---- */

static size_t
announces (world_t *w, int i, apr_pool_t *p, announce_t *v)
{
  size_t n = 0;

  for (int d = 0; d < W_DB; d++)
    {
      const wdb_t *b = &w->db[d];
      int via = -1;
      for (int k = 0; k < W_ENT && via < 0; k++)
        {
          int e = (d + k) % W_ENT;
          if (w->ent[e].alive && !w->ent[e].frozen
              && world_reach (w, b->zone, w->ent[e].zone))
            via = e;
        }
      if (via != i || !b->alive || b->frozen)
        continue;
      v[n] = (announce_t){ .group = str_fmt (p, "g%d", b->group),
                           .name = str_of (b->name),
                           .address = str_of (b->address),
                           .zone = STR ("z"),
                           .term = wdb_term (b),
                           .position = b->pos,
                           .leaving = b->leaving,
                           .age = (int64_t)rng_below (&w->rng, 20) };
      n++;
    }
  return n;
}

static size_t
observe (world_t *w, int i, probe_t *v)
{
  went_t *x = &w->ent[i];

  for (int d = 0; d < W_DB; d++)
    {
      const wdb_t *b = &w->db[d];
      x->reached[d]
          = b->alive && !b->frozen && world_reach (w, x->zone, b->zone);
      if (x->reached[d])
        x->answer[d] = w->now;
      v[d] = (probe_t){ .name = str_of (b->name),
                        .address = str_of (b->address),
                        .reachable = x->reached[d],
                        .ok_age = x->answer[d] ? w->now - x->answer[d] : -1 };
    }
  return W_DB;
}

static void
renew (world_t *w, int i)
{
  went_t *x = &w->ent[i];
  probe_t probes[W_DB];
  announce_t ann[W_DB];
  use_t uses[W_DB];
  apr_pool_t *p;
  int to = w->leader;

  if (to < 0 || !world_reach (w, x->zone, to % W_ZONES))
    to = (int)rng_below (&w->rng, W_CTL);
  apr_pool_create (&p, w->pool);
  renew_t r = { .name = str_fmt (p, "ent%d", i),
                .boot = x->boot,
                .seq = ++x->seq,
                .sent = world_ent_now (w, i),
                .cfg_term = x->cfg_term,
                .cfg_index = x->cfg_index,
                .raft_term = x->raft_term,
                .probes = { probes, observe (w, i, probes) },
                .announces = { ann, announces (w, i, p, ann) },
                .uses = { uses, W_DB } };
  for (int d = 0; d < W_DB; d++)
    uses[d] = (use_t){ str_of (w->db[d].name), x->open[d], x->want[d] };
  rpc_pack (&post (w, MSG_RENEWAL, i, to)->b, MSG_RENEW, &r);
  apr_pool_destroy (p);
}

/* A message to a FROZEN process waits in its socket.  */
static bool
later (world_t *w, const wmsg_t *m, bool frozen)
{
  if (!frozen)
    return false;
  wmsg_t *again = post (w, m->kind, m->from, m->to);
  again->cmd = m->cmd;
  buf_adds (&again->b, buf_str (&m->b));
  again->at = w->now + W_STEP;
  return true;
}

static void
on_renewal (world_t *w, const wmsg_t *m, apr_pool_t *p)
{
  msgtype_t type;
  err_t e = { 0 };
  grant_t g;
  const renew_t *r = rpc_decode (p, buf_str (&m->b), &type, &e);

  if (later (w, m, w->ctl[m->to].frozen) || !ctl_works (w, m->to)
      || !world_reach (w, w->ent[m->from].zone, m->to % W_ZONES))
    return;
  control_renew (w->ctl[m->to].c, r, w->now, p, &g);
  pump (w, m->to);
  rpc_pack (&post (w, MSG_GRANTED, m->to, m->from)->b, MSG_GRANT, &g);
}

static void
on_granted (world_t *w, const wmsg_t *m, apr_pool_t *p)
{
  went_t *x = &w->ent[m->to];
  msgtype_t type;
  err_t e = { 0 };
  bool fresh;
  const grant_t *g = rpc_decode (p, buf_str (&m->b), &type, &e);

  if (later (w, m, x->frozen) || !x->alive
      || !world_reach (w, x->zone, m->from % W_ZONES) || g->seq > x->seq
      || !view_grant (x->view, g, world_ent_now (w, m->to), &fresh, &e))
    return;
  if (g->status != GRANT_NOT_LEADER && g->raft_term > x->raft_term)
    x->raft_term = g->raft_term;
  if (!fresh)
    return;
  x->cfg_term = g->cfg_term;
  x->cfg_index = g->cfg_index;
  x->cfg_version = g->cfg_version;
}

static void
on_command (world_t *w, const wmsg_t *m)
{
  db_event_t ev = { .kind = DB_EV_RESULT, .cmd = m->cmd };

  if (later (w, m, w->db[m->to].frozen))
    return;
  bool lost = !ctl_works (w, m->from);
  if (!ctl_db (w, m->from, m->to))
    {
      err_set (&ev.err, ERR_UNREACHABLE, "db", "cut");
      if (!lost)
        control_db (w->ctl[m->from].c, &ev, w->now);
      return;
    }
  apr_pool_create (&ev.pool, w->pool);
  wdb_command (w, m->to, &m->cmd, &ev);
  if (!lost)
    {
      ev.probe.ok_age = 0;
      control_db (w->ctl[m->from].c, &ev, w->now);
      pump (w, m->from);
    }
  apr_pool_destroy (ev.pool);
}

static void
deliver (world_t *w)
{
  wmsg_t *due = NULL;
  apr_pool_t *p;

  for (wmsg_t **at = &w->msgs; *at;)
    {
      wmsg_t *m = *at;
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
      wmsg_t *m = due;
      due = m->next;
      if (m->kind == MSG_RENEWAL)
        on_renewal (w, m, p);
      else if (m->kind == MSG_GRANTED)
        on_granted (w, m, p);
      else
        on_command (w, m);
      free_msg (m);
    }
  apr_pool_destroy (p);
}

static void
ent_step (world_t *w, int i)
{
  went_t *x = &w->ent[i];

  if (!x->alive || x->frozen)
    return;
  for (int d = 0; d < W_DB; d++)
    {
      int limit
          = view_limit (x->view, str_of (w->db[d].name), world_ent_now (w, i));
      x->open[d] = x->want[d] < limit ? x->want[d] : limit;
    }
  if (w->now - x->renewed < 100)
    return;
  x->renewed = w->now;
  renew (w, i);
}

void
world_run (world_t *w, msec_t ms)
{
  for (msec_t end = w->now + ms; w->now < end;)
    {
      w->now += W_STEP;
      deliver (w);
      wdb_step (w);
      raft_step (w);
      for (int i = 0; i < W_CTL; i++)
        ctl_step (w, i);
      for (int i = 0; i < W_ENT; i++)
        ent_step (w, i);
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

/* ---- for tests ---- */

bool
world_settled (world_t *w)
{
  control_t *c = world_leader (w);

  if (!c || !control_ready (c))
    return false;
  for (int i = 0; i < W_GRP; i++)
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
  world_submit (w, 0, "s0", "op", 0, world_config (w, W_ENT));
  return world_until (w, world_settled, 5000);
}

void
world_check_main (const char *name, const tests_t *t, int n, int *failed)
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
  if (w->leader < 0 || !ctl_works (w, w->leader))
    return;
  control_submit (world_leader (w), &s, ticket, w->now);
  pump (w, w->leader);
}

grp_t *
world_group (world_t *w, int group)
{
  char name[8];

  snprintf (name, sizeof name, "g%d", group);
  return world_leader (w) ? grp_find (world_leader (w), str_of (name)) : NULL;
}

wdb_t *
world_primary (world_t *w, int group)
{
  const grp_t *g = world_group (w, group);

  for (int d = 0; g && g->term && d < W_DB; d++)
    if (strcmp (w->db[d].name, g->primary) == 0)
      return &w->db[d];
  return NULL;
}

mem_t *
world_mem (world_t *w, int db)
{
  return world_leader (w)
             ? mem_find (world_leader (w), str_of (w->db[db].name))
             : NULL;
}

int
world_audit (world_t *w, const char *what)
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
