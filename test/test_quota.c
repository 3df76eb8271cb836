/* Quotas: the decisions of accountants and holders, and sequences of use and
   failures of a few zones with both.  */

#include "proxy.h"
#include "quota.h"

#include <check.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* ---- decisions ---- */

static const quota_standing_t first = { true, -1, 1000000 };
static const quota_limit_t limit10
    = { .version = 1, .rate = 10, .capacity = 5, .second = 0.4 };

static int
granted (quota_table_t *t, int need, msec_t now)
{
  return quota_table_ask (t, STR ("a"), &limit10, &first, need, 0, 0, now)
      .tokens;
}

/* Guards against the seam of a window that is reset: the whole limit before
   and after it.  */
START_TEST (bucket_has_no_seam)
{
  quota_table_t *t = quota_table_new ();

  ck_assert_int_eq (granted (t, 100, 0), 1);
  ck_assert_int_eq (granted (t, 100, 4000), 5);
  ck_assert_int_eq (granted (t, 100, 4000), 0);
  ck_assert_int_eq (granted (t, 100, 4100), 1);
  ck_assert_int_eq (granted (t, 100, 5000), 5);
  quota_table_free (t);
}
END_TEST

/* Guards against a window with a burst and a full rate beside it, and against
   a tenant that gets less in the long run than a window allows.  */
START_TEST (window_limits_what_the_bucket_grants)
{
  quota_table_t *t = quota_table_new ();
  quota_limit_t l = { 1, 20, 20, 100, 5000, 0.4 };
  int granted_at[1200], sum = 0, most = 0;

  quota_table_ask (t, STR ("a"), &l, &first, 1, 0, 0, 0);
  for (int i = 0; i < 1200; i++)
    {
      quota_answer_t a = quota_table_ask (t, STR ("a"), &l, &first, 100, 0, 0,
                                          10000 + i * 50);
      granted_at[i] = a.tokens;
      ck_assert (a.tokens > 0 || a.retry >= QUOTA_RETRY_MIN);
      sum += a.tokens;
      int window = 0;
      for (int k = i; k >= 0 && k > i - 100; k--)
        window += granted_at[k];
      most = window > most ? window : most;
    }
  ck_assert_int_eq (granted_at[0], 20);
  ck_assert_int_eq (most, 100);
  /* The oldest part counts whole: 5.25 s.  */
  ck_assert_int_ge (sum, 60 * 100 * 100 / 525);
  quota_table_free (t);
}
END_TEST

/* Guards against returned tokens that stay counted in the window.  */
START_TEST (returned_tokens_leave_the_window)
{
  quota_table_t *t = quota_table_new ();
  quota_limit_t l = { 1, 1000, 100, 50, 5000, 0.4 };
  str_t a = STR ("a");

  quota_table_ask (t, a, &l, &first, 0, 0, 0, 0);
  ck_assert_int_eq (quota_table_ask (t, a, &l, &first, 60, 0, 0, 1000).tokens,
                    50);
  ck_assert_int_eq (quota_table_ask (t, a, &l, &first, 60, 0, 30, 1300).tokens,
                    30);
  quota_answer_t none = quota_table_ask (t, a, &l, &first, 1, 0, 0, 1400);
  ck_assert_int_eq (none.tokens, 0);
  ck_assert (none.retry > 4000 && none.retry <= 5000);
  quota_table_free (t);
}
END_TEST

/* Guards against an accountant that wakes from a freeze with a full bucket,
   while another one has granted from its own.  */
START_TEST (bucket_is_empty_after_a_freeze)
{
  quota_table_t *t = quota_table_new ();

  quota_table_turn (t, 0);
  granted (t, 1, 0);
  for (msec_t now = 100; now <= 2000; now += 100)
    quota_table_turn (t, now);
  ck_assert_int_eq (granted (t, 2, 2000), 2);
  quota_table_turn (t, 6000);
  ck_assert_int_eq (granted (t, 100, 6050), 0);
  ck_assert_int_eq (granted (t, 100, 6100), 1);
  quota_table_free (t);
}
END_TEST

/* Guards against a full bucket of an instance that counts again: another one
   has granted in between.  */
START_TEST (bucket_is_empty_after_a_hand_over)
{
  quota_table_t *t = quota_table_new ();
  quota_standing_t again = { true, 3000, 4000 };

  granted (t, 1, 0);
  ck_assert_int_eq (
      quota_table_ask (t, STR ("a"), &limit10, &again, 9, 0, 0, 3110).tokens,
      1);
  quota_table_free (t);
}
END_TEST

/* Guards against two accountants that grant the whole limit: one that isn't
   the first, or hasn't heard from control since it became the first.  */
START_TEST (second_accountant_grants_less)
{
  quota_table_t *t = quota_table_new ();
  int sum[2] = { 0 };

  for (int k = 0; k < 2; k++)
    {
      quota_standing_t at = { k == 0, 0, QUOTA_SETTLE - 1 };
      for (msec_t now = 0; now < 5000; now += 50)
        sum[k] += quota_table_ask (t, k ? STR ("a") : STR ("b"), &limit10, &at,
                                   100, 0, 0, now)
                      .tokens;
      ck_assert_msg (sum[k] >= 8 && sum[k] <= 11, "%d", sum[k]);
    }
  quota_standing_t at = { true, 0, QUOTA_SETTLE };
  ck_assert (!quota_is_second (&at, -1));
  ck_assert (quota_is_second (&at, 1));
  quota_table_free (t);
}
END_TEST

/* Guards against a return that arrives late, or twice, and fills the bucket
   for a second use.  */
START_TEST (late_returns_are_ignored)
{
  quota_table_t *t = quota_table_new ();
  quota_limit_t slow = { .version = 2, .rate = 0.001, .capacity = 5 };
  str_t a = STR ("a");

  quota_table_ask (t, a, &limit10, &first, 1, 0, 0, 0);
  ck_assert_int_eq (granted (t, 5, 1000), 5);
  quota_table_ask (t, a, &slow, &first, 0, 0, 3, 1000);
  ck_assert_int_eq (
      quota_table_ask (t, a, &slow, &first, 5, 0, 0, 1100).tokens, 3);
  quota_table_ask (t, a, &slow, &first, 0, 0, 9, 1100);
  ck_assert_int_eq (
      quota_table_ask (t, a, &slow, &first, 9, 0, 0, 1100).tokens, 5);
  quota_table_ask (t, a, &slow, &first, 0, 0, 5, 1100 + 2 * QUOTA_RETURN_SLOT);
  ck_assert_int_eq (
      quota_table_ask (t, a, &slow, &first, 5, 0, 0, 1600).tokens, 0);
  quota_table_free (t);
}
END_TEST

/* Guards against an instance with an older configuration that raises a limit
   again.  */
START_TEST (newest_limit_holds)
{
  quota_table_t *t = quota_table_new ();
  quota_limit_t low = { .version = 2, .rate = 1, .capacity = 1 };
  str_t a = STR ("a");

  quota_table_ask (t, a, &limit10, &first, 1, 0, 0, 0);
  quota_table_ask (t, a, &limit10, &first, 0, 0, 0, 1000);
  ck_assert_int_eq (quota_table_ask (t, a, &low, &first, 9, 0, 0, 1000).tokens,
                    1);
  ck_assert_int_eq (granted (t, 9, 1500), 0);
  ck_assert_int_eq (granted (t, 9, 9000), 1);
  quota_table_free (t);
}
END_TEST

/* Guards against a grant that is used after a freeze of its holder, or one
   that counts from the arrival of a late answer.  */
START_TEST (grant_ends_by_the_time_of_the_ask)
{
  quota_hold_t h = { 0 };
  quota_answer_t a = { 3, 0 };
  int more, returned;
  msec_t until;

  ck_assert_int_eq (quota_hold_take (&h, 1000, &until), QUOTA_ASK);
  quota_hold_ask (&h, 1000, &more, &returned);
  ck_assert_int_eq (quota_hold_take (&h, 1001, &until), QUOTA_WAIT);
  quota_hold_answer (&h, &a, 1100);
  ck_assert_int_eq (quota_hold_take (&h, 1101, &until), QUOTA_GO);
  ck_assert_int_eq (until, 1000 + QUOTA_GRANT_LIFE);
  ck_assert_int_eq (quota_hold_take (&h, 1250, &until), QUOTA_ASK);
  quota_hold_ask (&h, 1250, &more, &returned);
  ck_assert_int_eq (more, 1);
  quota_hold_answer (&h, &a, 1500);
  ck_assert_int_eq (quota_hold_take (&h, 1500, &until), QUOTA_ASK);
}
END_TEST

/* Guards against tokens that end unused, and against their return after they
   ended.  */
START_TEST (unused_tokens_are_returned_in_time)
{
  quota_answer_t a = { 3, 0 };
  int more, returned;
  msec_t until;

  for (int late = 0; late < 2; late++)
    {
      quota_hold_t h = { 0 };
      quota_hold_ask (&h, 0, &more, &returned);
      quota_hold_answer (&h, &a, 5);
      ck_assert_int_eq (quota_hold_take (&h, 10, &until), QUOTA_GO);
      ck_assert_int_eq (quota_hold_leftover (&h, QUOTA_RECENT - 1), 0);
      ck_assert_int_eq (quota_hold_due (&h), QUOTA_RECENT);
      msec_t now = late ? QUOTA_GRANT_LIFE : QUOTA_RECENT;
      /* The operation that took a token was never sent.  */
      quota_hold_back (&h, until, now);
      ck_assert_int_eq (quota_hold_leftover (&h, now), late ? 0 : 3);
      ck_assert_int_eq (quota_hold_leftover (&h, now), 0);
      quota_hold_back (&h, now + 1, now);
      quota_hold_ask (&h, now + late, &more, &returned);
      ck_assert_int_eq (returned, !late);
    }
}
END_TEST

/* Guards against a holder that asks for each operation beyond the quota.  */
START_TEST (holder_refuses_until_the_time_told)
{
  quota_hold_t h = { 0 };
  quota_answer_t none = { 0, 80 };
  int more, returned;
  msec_t until;

  quota_hold_ask (&h, 0, &more, &returned);
  quota_hold_answer (&h, &none, 1);
  ck_assert_int_eq (quota_hold_take (&h, 80, &until), QUOTA_REFUSE);
  ck_assert_int_eq (quota_hold_take (&h, 81, &until), QUOTA_ASK);
}
END_TEST

/* Guards against the refusal of the first burst of a tenant that was idle.  */
START_TEST (idle_tenant_has_its_burst)
{
  quota_table_t *t = quota_table_new ();
  quota_standing_t new = { true, 900, 1900 };

  ck_assert_int_eq (granted (t, 100, 5000), 5);
  ck_assert_int_eq (
      quota_table_ask (t, STR ("b"), &limit10, &new, 100, 0, 0, 1000).tokens,
      2);
  quota_table_free (t);
}
END_TEST

/* Guards against a table that loses buckets when it grows.  */
START_TEST (table_keeps_many_tenants)
{
  quota_table_t *t = quota_table_new ();
  quota_limit_t l = { .version = 1, .rate = 1, .capacity = 3 };
  char name[32];

  for (int round = 0; round < 2; round++)
    for (int i = 0; i < 10000; i++)
      {
        snprintf (name, sizeof name, "tenant-%d", i);
        quota_answer_t a = quota_table_ask (t, str_of (name), &l, &first, 1, 0,
                                            0, round * 10);
        ck_assert_int_eq (a.tokens, round == 0);
      }
  ck_assert_int_eq ((int)quota_table_size (t), 10000);
  ck_assert_int_lt ((int)(quota_table_bytes (t) / 10000), 1024);
  quota_table_free (t);
}
END_TEST

/* Guards against a full table that stays full for good after its tenants have
   left the configuration, and against a refusal that nobody can tell from one
   by quota.  */
START_TEST (full_table_makes_room_for_others)
{
  quota_table_t *t = quota_table_new ();
  quota_limit_t l = { .version = 1, .rate = 1, .capacity = 3 };
  char name[32];

  for (int i = 0; i < QUOTA_BUCKETS_MAX; i++)
    {
      snprintf (name, sizeof name, "tenant-%d", i);
      quota_table_ask (t, str_of (name), &l, &first, 1, 0, 0, 0);
    }
  quota_answer_t a
      = quota_table_ask (t, STR ("another"), &l, &first, 1, 0, 0, 10);
  ck_assert_int_eq (a.tokens, 0);
  ck_assert (a.full);
  ck_assert_int_eq ((int)quota_table_size (t), QUOTA_BUCKETS_MAX);
  a = quota_table_ask (t, STR ("tenant-7"), &l, &first, 1, 0, 0, 5000);
  ck_assert_int_eq (a.tokens, 1);
  ck_assert (!a.full);
  /* All but that one are unused for long.  */
  a = quota_table_ask (t, STR ("another"), &l, &first, 1, 0, 0,
                       QUOTA_IDLE + 1000);
  ck_assert_int_eq (a.tokens, 1);
  ck_assert_int_eq ((int)quota_table_size (t), 2);
  quota_table_free (t);
}
END_TEST

/* ---- sequences ---- */

enum
{
  SEQUENCES = 1000,
  CALM_EVERY = 4, /* one sequence of as many is calm */
  TICK = 5,       /* ms */
  DURATION = 20000,
  DEMAND_FROM = 2000, /* the instances start before their callers */
  ZONES = 4,
  NEAR = 4, /* instances of a zone at most */
  ALL = ZONES * NEAR,
  MESSAGES = 4096,
  RUNS = 1 << 18,
  WINDOW = 5000,
  SLACK = 20,
  ASK_TIMEOUT = 300,
  BACKOFF = 1000,
  CONTROL_LOST = 1500, /* ms until control drops a silent instance */
  STEPS = 256
};

#define EXCESS 0.1

typedef struct
{
  int64_t version;
  int64_t rate;
  int64_t burst;
} config_t;

typedef struct
{
  msec_t at; /* arrival */
  int to;
  int from;
  bool answer;
  int64_t id;
  config_t config;
  int need, more, returned;
  quota_answer_t a;
} message_t;

typedef struct
{
  bool alive;
  msec_t frozen_until;
  msec_t restart_at;
  msec_t heard_at; /* by control */
  bool listed;     /* by control */
  msec_t changed_at;
  msec_t offset;  /* of its clock */
  msec_t lag;     /* of news from control */
  bool known;     /* it has a list since its start: */
  bool sees[ALL]; /* the current one, since VIEW_AT, */
  msec_t view_at;
  struct
  {
    bool sees[ALL];
    msec_t since;
  } earlier[QUOTA_LISTS + 1]; /* and earlier ones, the latest first */
  int nearlier;
  msec_t news_at; /* of control */
  msec_t avoid_until[ALL];
  config_t config;
  quota_table_t *table;
  quota_hold_t hold;
  int64_t ask_id; /* in flight; 0: none */
  int asked;      /* whom */
  int tried;
  int waiting;
  int arrived; /* not yet handled */
} node_t;

typedef struct
{
  rng_t rng;
  bool calm;
  msec_t now;
  int zones, near;
  node_t node[ALL];
  msec_t cut[ALL][ALL];      /* until */
  msec_t control_cut[ZONES]; /* until */
  double loss;
  config_t config[8];
  int nconfig;
  msec_t config_at[8];
  double weight[ZONES];
  double demand; /* operations a second, all zones */
  msec_t demand_until;
  message_t msg[MESSAGES];
  int nmsg;
  int64_t last_id;
  msec_t run[RUNS];
  int nrun;
  struct
  {
    msec_t at;
    int64_t rate;
    int64_t burst;
  } step[STEPS]; /* the highest ones that an instance knows */
  int nstep;
  /* An ideal bucket for the whole fleet, of what callers are owed.  */
  double owed_level;
  int owed, lost;
} world_t;

static const quota_rule_t *
rule_of (const world_t *w)
{
  static quota_rule_t r;

  r = (quota_rule_t){ w->zones, WINDOW, EXCESS, SLACK };
  return &r;
}

static int
zone_of (const world_t *w, int i)
{
  return i / w->near;
}

static int
nodes (const world_t *w)
{
  return w->zones * w->near;
}

static bool
runs (const world_t *w, int i)
{
  return w->node[i].alive && w->now >= w->node[i].frozen_until;
}

static msec_t
local_time (const world_t *w, int i)
{
  return w->now + w->node[i].offset;
}

/* ---- messages ---- */

static void
post (world_t *w, message_t m)
{
  if (w->now < w->cut[m.from][m.to] || rng_unit (&w->rng) < w->loss)
    return;
  ck_assert_int_lt (w->nmsg, MESSAGES);
  m.at = w->now + 1 + (msec_t)rng_below (&w->rng, w->calm ? 4 : 30);
  if (!w->calm && rng_below (&w->rng, 100) == 0)
    m.at += (msec_t)rng_below (&w->rng, 600);
  w->msg[w->nmsg++] = m;
}

/* ---- holders, as gate.c drives them ---- */

static int
rank_among (const world_t *w, int viewer, const bool *sees, int *out)
{
  str_t address[NEAR];
  char text[NEAR][16];
  int at[NEAR] = { 0 }, rank[QUOTA_RANKS], n = 0;
  int zone = zone_of (w, viewer);

  for (int i = zone * w->near; i < (zone + 1) * w->near; i++)
    if (sees[i])
      {
        snprintf (text[n], sizeof text[n], "10.0.0.%d:7440", i);
        address[n] = str_of (text[n]);
        at[n++] = i;
      }
  n = owners_pick (STR ("tenant"), address, n, QUOTA_RANKS, rank);
  for (int i = 0; i < n; i++)
    out[i] = at[rank[i]];
  return n;
}

static int
rank_of (const world_t *w, int viewer, int *out)
{
  return rank_among (w, viewer, w->node[viewer].sees, out);
}

static bool
is_first (const world_t *w, int i, const bool *sees)
{
  int rank[QUOTA_RANKS];

  return rank_among (w, i, sees, rank) > 0 && rank[0] == i;
}

static quota_answer_t
account (world_t *w, int i, const message_t *m)
{
  node_t *x = &w->node[i];
  const config_t *c
      = m->config.version > x->config.version ? &m->config : &x->config;
  quota_limit_t l = quota_limit (rule_of (w), c->version, c->rate, c->burst);
  msec_t since = x->view_at;

  for (int k = 0; k < x->nearlier && is_first (w, i, x->earlier[k].sees); k++)
    since = x->earlier[k].since;
  quota_standing_t at = { is_first (w, i, x->sees), since + x->offset,
                          x->news_at + x->offset };

  return quota_table_ask (x->table, STR ("tenant"), &l, &at, m->need, m->more,
                          m->returned, local_time (w, i));
}

static void
run_one (world_t *w)
{
  ck_assert_int_lt (w->nrun, RUNS);
  w->run[w->nrun++] = w->now;
}

static void
refuse_waiting (world_t *w, node_t *x)
{
  w->lost += x->waiting;
  x->waiting = 0;
}

static void settle (world_t *w, int i);

static void
ask (world_t *w, int i)
{
  node_t *x = &w->node[i];
  message_t m = { .from = i, .config = x->config, .need = x->waiting };
  int rank[QUOTA_RANKS], n = rank_of (w, i, rank), to = -1;

  for (int k = 0; k < n && to < 0; k++)
    if (x->avoid_until[rank[k]] <= w->now)
      to = rank[k];
  if (to < 0 || x->tried >= QUOTA_RANKS)
    {
      refuse_waiting (w, x);
      return;
    }
  quota_hold_ask (&x->hold, local_time (w, i), &m.more, &m.returned);
  if (to != x->asked)
    m.returned = 0;
  x->asked = to;
  if (to == i)
    {
      quota_answer_t a = account (w, i, &m);
      quota_hold_answer (&x->hold, &a, local_time (w, i));
      settle (w, i);
      return;
    }
  m.to = to;
  m.id = x->ask_id = ++w->last_id;
  post (w, m);
}

static void
settle (world_t *w, int i)
{
  node_t *x = &w->node[i];
  msec_t until;

  while (x->waiting && !x->hold.asked)
    switch (quota_hold_take (&x->hold, local_time (w, i), &until))
      {
      case QUOTA_GO:
        x->waiting--;
        /* Some operations end before they are sent to a database.  */
        if (!w->calm && rng_below (&w->rng, 20) == 0)
          quota_hold_back (&x->hold, until, local_time (w, i));
        else
          run_one (w);
        break;
      case QUOTA_ASK:
        ask (w, i);
        return;
      default:
        refuse_waiting (w, x);
      }
}

static void
lose_ask (world_t *w, int i)
{
  node_t *x = &w->node[i];

  x->avoid_until[x->asked] = w->now + BACKOFF;
  x->ask_id = 0;
  x->tried++;
  quota_hold_lost (&x->hold);
  settle (w, i);
}

static void
receive (world_t *w, const message_t *m)
{
  node_t *x = &w->node[m->to];

  if (m->answer)
    {
      if (m->id != x->ask_id)
        return;
      x->ask_id = 0;
      quota_hold_answer (&x->hold, &m->a, local_time (w, m->to));
      settle (w, m->to);
      return;
    }
  if (!x->known)
    return;
  message_t r = { .from = m->to, .to = m->from, .answer = true, .id = m->id };
  r.a = account (w, m->to, m);
  if (m->need > 0)
    post (w, r);
}

static void
node_turn (world_t *w, int i)
{
  node_t *x = &w->node[i];
  msec_t now = local_time (w, i);
  int n;

  quota_table_turn (x->table, now);
  for (int k = 0; k < w->nmsg; k++)
    if (w->msg[k].to == i && w->msg[k].at <= w->now)
      {
        message_t m = w->msg[k];
        w->msg[k--] = w->msg[--w->nmsg];
        receive (w, &m);
      }
  if (x->arrived)
    {
      if (!x->hold.asked)
        x->tried = 0;
      x->waiting += x->arrived;
      x->arrived = 0;
      settle (w, i);
    }
  if (x->ask_id && now - x->hold.asked_at >= ASK_TIMEOUT)
    lose_ask (w, i);
  n = quota_hold_leftover (&x->hold, now);
  if (n)
    {
      message_t m
          = { .from = i, .to = x->asked, .returned = n, .config = x->config };
      if (x->asked == i)
        account (w, i, &m);
      else
        post (w, m);
    }
}

/* ---- control ---- */

static void
follow_list (world_t *w, int i)
{
  node_t *x = &w->node[i];
  int zone = zone_of (w, i);
  bool was[ALL];

  memcpy (was, x->sees, sizeof was);
  for (int k = zone * w->near; k < (zone + 1) * w->near; k++)
    if (!x->known || w->now >= w->node[k].changed_at + x->lag)
      x->sees[k] = w->node[k].listed;
  x->news_at = w->now;
  if (x->known && memcmp (was, x->sees, sizeof was) == 0)
    return;
  if (x->known)
    {
      memmove (&x->earlier[1], &x->earlier[0],
               QUOTA_LISTS * sizeof *x->earlier);
      memcpy (x->earlier[0].sees, was, sizeof was);
      x->earlier[0].since = x->view_at;
      x->nearlier += x->nearlier < QUOTA_LISTS;
    }
  x->known = true;
  x->view_at = w->now;
}

static void
control_turn (world_t *w)
{
  for (int i = 0; i < nodes (w); i++)
    {
      node_t *x = &w->node[i];
      bool contact = runs (w, i) && w->now >= w->control_cut[zone_of (w, i)];
      if (contact)
        x->heard_at = w->now;
      bool listed = w->now - x->heard_at < CONTROL_LOST;
      if (listed != x->listed)
        {
          x->listed = listed;
          x->changed_at = w->now;
        }
      if (!contact)
        continue;
      for (int k = 0; k < w->nconfig; k++)
        if (w->now >= w->config_at[k] + x->lag
            && w->config[k].version > x->config.version)
          x->config = w->config[k];
      follow_list (w, i);
    }
}

static void
note_bound (world_t *w)
{
  int64_t rate = 0, burst = 0;

  for (int i = 0; i < nodes (w); i++)
    {
      const config_t *c = &w->node[i].config;
      rate = c->rate > rate ? c->rate : rate;
      burst = c->burst > burst ? c->burst : burst;
    }
  if (w->nstep && w->step[w->nstep - 1].rate == rate
      && w->step[w->nstep - 1].burst == burst)
    return;
  ck_assert_int_lt (w->nstep, STEPS);
  w->step[w->nstep].at = w->now;
  w->step[w->nstep].rate = rate;
  w->step[w->nstep++].burst = burst;
}

/* ---- failures ---- */

static void
start_node (world_t *w, int i)
{
  node_t *x = &w->node[i];

  x->alive = true;
  x->table = quota_table_new ();
  x->hold = (quota_hold_t){ 0 };
  x->ask_id = 0;
  x->asked = i;
  x->waiting = x->arrived = 0;
  memset (x->avoid_until, 0, sizeof x->avoid_until);
  x->frozen_until = 0;
  x->known = false;
  x->nearlier = 0;
  memset (x->sees, 0, sizeof x->sees);
}

static void
stop_node (world_t *w, int i)
{
  node_t *x = &w->node[i];

  if (!x->alive)
    return;
  x->alive = false;
  x->restart_at = w->now + 500 + (msec_t)rng_below (&w->rng, 3000);
  quota_table_free (x->table);
  x->table = NULL;
  for (int k = 0; k < w->nmsg; k++)
    if (w->msg[k].to == i)
      w->msg[k--] = w->msg[--w->nmsg];
}

static msec_t
some (world_t *w, int least, int most)
{
  return least + (msec_t)rng_below (&w->rng, (uint64_t)(most - least));
}

static void
fail_something (world_t *w)
{
  int i = (int)rng_below (&w->rng, (uint64_t)nodes (w));
  int zone = zone_of (w, i);
  int k = zone * w->near + (int)rng_below (&w->rng, (uint64_t)w->near);

  switch (rng_below (&w->rng, 6))
    {
    case 0:
      w->node[i].frozen_until = w->now + some (w, 100, 5000);
      break;
    case 1:
      stop_node (w, i);
      break;
    case 2:
      w->cut[i][k] = w->now + some (w, 100, 4000);
      if (rng_below (&w->rng, 2))
        w->cut[k][i] = w->cut[i][k];
      break;
    case 3:
      w->control_cut[zone] = w->now + some (w, 500, 6000);
      break;
    case 4:
      w->loss = 0.05 * rng_unit (&w->rng);
      break;
    case 5:
      if (w->nconfig < 8)
        {
          config_t c = w->config[w->nconfig - 1];
          c.version++;
          c.rate = c.rate * some (w, 20, 200) / 100 + 1;
          c.burst = c.burst * some (w, 20, 200) / 100;
          w->config_at[w->nconfig] = w->now;
          w->config[w->nconfig++] = c;
        }
    }
}

/* ---- demand ---- */

static int
poisson (world_t *w, double mean)
{
  double limit = rng_unit (&w->rng), p = 1, sum = 0;
  int n = 0;

  /* exp (-mean) for a mean far below 1, by its series.  */
  p = 1 - mean + mean * mean / 2 - mean * mean * mean / 6;
  for (sum = p; sum < limit && n < 100; sum += p)
    p *= mean / ++n;
  return n;
}

static void
demand_turn (world_t *w)
{
  const config_t *c = &w->config[w->nconfig - 1];
  static const double factor[] = { 0.2, 0.6, 0.9, 1.3, 3, 7.5 };

  if (!w->calm && w->now >= w->demand_until)
    {
      double sum = 0;
      w->demand = (double)c->rate * factor[rng_below (&w->rng, 6)];
      w->demand_until = w->now + some (w, 300, 6000);
      for (int z = 0; z < w->zones; z++)
        sum += w->weight[z] = rng_unit (&w->rng) + 0.1;
      for (int z = 0; z < w->zones; z++)
        w->weight[z] /= sum;
    }
  w->owed_level += (double)c->rate * TICK / 1000;
  if (w->owed_level > (double)c->burst)
    w->owed_level = (double)c->burst > 1 ? (double)c->burst : 1;
  for (int i = 0; i < nodes (w); i++)
    {
      double a = w->demand * w->weight[zone_of (w, i)] / w->near * TICK / 1000;
      int n = poisson (w, a);
      if (!w->node[i].known)
        continue;
      int owed = n < (int)w->owed_level ? n : (int)w->owed_level;
      w->owed_level -= owed;
      w->owed += owed;
      /* Calm: nothing is asked that isn't owed, and all that is refused is
         lost.  */
      if (w->calm)
        n = owed;
      if (w->node[i].alive && w->node[i].known)
        w->node[i].arrived += n;
    }
}

/* ---- the oracle ---- */

/* The bound of a window.  Where the limit changes in it, the burst may be used
   before and the higher rate after.  */
static double
bound_in (const world_t *w, msec_t from, msec_t to)
{
  int64_t rate = 0, burst = 0;

  for (int i = 0; i < w->nstep; i++)
    if (w->step[i].at <= to
        && (i + 1 == w->nstep || w->step[i + 1].at >= from))
      {
        rate = w->step[i].rate > rate ? w->step[i].rate : rate;
        burst = w->step[i].burst > burst ? w->step[i].burst : burst;
      }
  return ((double)rate * WINDOW / 1000 + (double)burst) * (1 + EXCESS) + SLACK;
}

/* The highest part of its bound that any window reaches.  */
static double
fullest_window (const world_t *w)
{
  double most = 0;
  int from = 0;

  for (int i = 0; i < w->nrun; i++)
    {
      while (w->run[from] <= w->run[i] - WINDOW)
        from++;
      double part
          = (i - from + 1) / bound_in (w, w->run[i] - WINDOW, w->run[i]);
      if (part > most)
        most = part;
    }
  return most;
}

static void
run_sequence (world_t *w, uint64_t seed, bool calm)
{
  memset (w, 0, sizeof *w);
  rng_init (&w->rng, seed);
  w->calm = calm;
  w->zones = (int)some (w, 1, ZONES + 1);
  w->near = (int)some (w, 2, NEAR + 1);
  w->config[0] = (config_t){ 1, some (w, 2, 60), 0 };
  if (rng_below (&w->rng, 4) == 0)
    w->config[0].rate *= 10;
  w->config[0].burst = w->config[0].rate * some (w, 20, 200) / 100 + 1;
  w->nconfig = 1;
  w->demand = (double)w->config[0].rate * (0.3 + 0.5 * rng_unit (&w->rng));
  for (int z = 0; z < w->zones; z++)
    w->weight[z] = 1.0 / w->zones;
  for (int i = 0; i < nodes (w); i++)
    {
      node_t *x = &w->node[i];
      start_node (w, i);
      x->offset = some (w, 0, 1000000000);
      x->lag = some (w, 50, 500);
      x->listed = true;
      x->heard_at = 0;
      x->changed_at = -1000;
      x->config = w->config[0];
    }
  for (w->now = 0; w->now < DURATION; w->now += TICK)
    {
      if (!calm && rng_below (&w->rng, 200) == 0)
        fail_something (w);
      for (int i = 0; i < nodes (w); i++)
        if (!w->node[i].alive && w->now >= w->node[i].restart_at)
          start_node (w, i);
      control_turn (w);
      note_bound (w);
      if (w->now >= DEMAND_FROM)
        demand_turn (w);
      for (int i = 0; i < nodes (w); i++)
        if (runs (w, i))
          node_turn (w, i);
    }
  for (int i = 0; i < nodes (w); i++)
    if (w->node[i].alive)
      quota_table_free (w->node[i].table);
}

/* Guards against a window above the limit, whatever fails, and against
   operations that are refused below it while nothing does.  */
START_TEST (no_window_exceeds_the_limit)
{
  world_t *w = malloc (sizeof *w);
  double fullest = 0, worst = 0;
  int64_t owed = 0, lost = 0;
  int above = 0;
  uint64_t worst_seed = 0;

  for (uint64_t seed = 1; seed <= SEQUENCES; seed++)
    {
      bool calm = seed % CALM_EVERY == 0;
      run_sequence (w, seed, calm);
      double part = fullest_window (w);
      if (part > fullest)
        fullest = part;
      if (part > 1)
        {
          above++;
          printf ("seed %llu: %.3f of the bound, %d zones of %d, rate %lld\n",
                  (unsigned long long)seed, part, w->zones, w->near,
                  (long long)w->config[0].rate);
        }
      if (!calm)
        continue;
      owed += w->owed;
      lost += w->lost;
      if (w->owed && (double)w->lost / w->owed > worst)
        {
          worst = (double)w->lost / w->owed;
          worst_seed = seed;
        }
    }
  printf ("fullest window %.3f of the bound; calm: %.3f%% of %lld refused, "
          "worst sequence %.2f%% (seed %llu)\n",
          fullest, 100.0 * (double)lost / (double)owed, (long long)owed,
          100 * worst, (unsigned long long)worst_seed);
  free (w);
  ck_assert_int_eq (above, 0);
  ck_assert (lost * 100 < owed * 3);
}
END_TEST

int
main (void)
{
  Suite *s = suite_create ("quota");
  TCase *t = tcase_create ("decisions");
  TCase *u = tcase_create ("sequences");

  tcase_add_test (t, bucket_has_no_seam);
  tcase_add_test (t, window_limits_what_the_bucket_grants);
  tcase_add_test (t, returned_tokens_leave_the_window);
  tcase_add_test (t, bucket_is_empty_after_a_freeze);
  tcase_add_test (t, bucket_is_empty_after_a_hand_over);
  tcase_add_test (t, second_accountant_grants_less);
  tcase_add_test (t, late_returns_are_ignored);
  tcase_add_test (t, newest_limit_holds);
  tcase_add_test (t, grant_ends_by_the_time_of_the_ask);
  tcase_add_test (t, unused_tokens_are_returned_in_time);
  tcase_add_test (t, holder_refuses_until_the_time_told);
  tcase_add_test (t, idle_tenant_has_its_burst);
  tcase_add_test (t, table_keeps_many_tenants);
  tcase_add_test (t, full_table_makes_room_for_others);
  suite_add_tcase (s, t);
  tcase_set_timeout (u, 300);
  tcase_add_test (u, no_window_exceeds_the_limit);
  suite_add_tcase (s, u);
  SRunner *r = srunner_create (s);
  srunner_run_all (r, CK_NORMAL);
  int failed = srunner_ntests_failed (r);
  srunner_free (r);
  return failed ? 1 : 0;
}
