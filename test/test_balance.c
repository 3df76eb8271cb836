/* Replays loads against the decisions about which database and which zone gets
   a statement: simulated time, a seeded generator, no I/O.  */

#include "balance.h"

#include <check.h>
#include <stdlib.h>

/* ---- databases that fail ---- */

enum
{
  DBS = 3,
  GAP = 5 /* ms between the statements of one instance to a service */
};

typedef struct
{
  rng_t rng;
  msec_t now;
  outlier_t db[DBS];
  double failing[DBS]; /* what each fails */
  int sent[DBS];
  int failed;
} farm_t;

static bool
any_may_use (const farm_t *f)
{
  for (int i = 0; i < DBS; i++)
    if (outlier_may_use (&f->db[i], f->now))
      return true;
  return false;
}

/* Sends statements in turn to the databases that may be used for MS; all, if
   none may.  */
static void
run (farm_t *f, msec_t ms)
{
  for (msec_t end = f->now + ms; f->now < end; f->now += GAP)
    {
      const outlier_t *other[DBS];
      int at = (int)rng_below (&f->rng, DBS), n = 0;
      for (int i = 0;
           any_may_use (f) && i < DBS && !outlier_may_use (&f->db[at], f->now);
           i++)
        at = (at + 1) % DBS;
      bool ok = rng_unit (&f->rng) >= f->failing[at];
      f->sent[at]++;
      f->failed += !ok;
      outlier_started (&f->db[at], f->now);
      outlier_answered (&f->db[at], ok, f->now);
      for (int i = 0; i < DBS; i++)
        if (i != at)
          other[n++] = &f->db[i];
      if (!ok)
        outlier_judge (&f->db[at], other, n, f->now);
    }
}

static farm_t
farm (uint64_t seed, double a, double b, double c)
{
  farm_t f = { .now = 1000, .failing = { a, b, c } };

  rng_init (&f.rng, seed);
  return f;
}

/* Guards against a database whose health is good and that fails 45% of what it
   gets, over the whole 7 s of its trouble: a third of the statements went
   there.  */
START_TEST (grey_database_is_ejected)
{
  for (uint64_t seed = 1; seed <= 20; seed++)
    {
      farm_t f = farm (seed, 0.45, 0.01, 0.01);
      run (&f, 7000);
      ck_assert_int_lt (f.sent[0], 7000 / GAP / 10);
    }
}
END_TEST

/* The same for one that answers health checks and fails everything.  */
START_TEST (lying_database_is_ejected)
{
  for (uint64_t seed = 1; seed <= 20; seed++)
    {
      farm_t f = farm (seed, 1, 0, 0);
      run (&f, 6500);
      ck_assert_int_lt (f.sent[0], 40);
    }
}
END_TEST

/* Guards against an ejection that leaves the load of a service to too few:
   when two of three, or all, fail, at most one is ejected at a time.  */
START_TEST (most_databases_stay_in_use)
{
  for (uint64_t seed = 1; seed <= 20; seed++)
    {
      farm_t f = farm (seed, 0.5, 0.5, 0.01);
      for (int i = 0; i < 100; i++)
        {
          int ejected = 0;
          run (&f, 70);
          for (int k = 0; k < DBS; k++)
            ejected += f.now < f.db[k].ejected_until;
          ck_assert_int_le (ejected, 1);
        }
      f = farm (seed, 0.5, 0.5, 0.5);
      run (&f, 7000);
      for (int k = 0; k < DBS; k++)
        ck_assert_int_gt (f.sent[k], 7000 / GAP / 6);
    }
}
END_TEST

/* Guards against ejections for lost answers, which are few: they are no sign
   of a failing database.  */
START_TEST (few_lost_answers_are_no_reason)
{
  int ejections = 0;

  for (uint64_t seed = 1; seed <= 20; seed++)
    {
      farm_t f = farm (seed, 0.03, 0, 0);
      run (&f, 10000);
      ejections += f.db[0].ejections;
    }
  ck_assert_int_eq (ejections, 0);
}
END_TEST

/* Guards against a returned database that gets its full share at once, and
   against one that never gets it back.  */
START_TEST (returned_database_starts_slowly)
{
  farm_t f = farm (7, 1, 0, 0);

  run (&f, 400);
  ck_assert_int_gt (f.db[0].ejected_until, f.now);
  f.failing[0] = 0;
  run (&f, f.db[0].ejected_until - f.now);
  f.sent[0] = 0;
  run (&f, 400);
  ck_assert_int_gt (f.sent[0], 0);
  ck_assert_int_le (f.sent[0], 4);
  run (&f, SLOW_START);
  f.sent[0] = 0;
  run (&f, 3000);
  ck_assert_int_gt (f.sent[0], 3000 / GAP / 4);
}
END_TEST

/* Guards against a database that goes down and up by turns and gets statements
   at each return: each ejection in a row lasts twice as long.  */
START_TEST (flapping_database_stays_out_longer)
{
  farm_t f = farm (9, 0, 0, 0);

  for (int i = 0; i < 5; i++)
    {
      f.failing[0] = 1;
      run (&f, 700);
      f.failing[0] = 0;
      run (&f, 700);
    }
  ck_assert_int_ge (f.db[0].ejections, 2);
  ck_assert_int_lt (f.failed, 80);
}
END_TEST

/* ---- leaving the zone ---- */

enum
{
  ZONES = 3,
  REPORT = 300 /* ms between reports; figures are one report old */
};

typedef struct
{
  rng_t rng;
  msec_t now;
  double demand[ZONES]; /* slots that the zone's callers ask for */
  double room[ZONES];
  double link; /* ms between zones */
  bool cut[ZONES];
  msec_t age; /* of all figures, beyond one report */
  zone_figures_t last[ZONES];
  double wait[ZONES];
  double share[ZONES][ZONES];
} region_t;

static region_t
region (uint64_t seed, double demand)
{
  region_t r = { .now = 10000, .link = 1 };

  rng_init (&r.rng, seed);
  for (int i = 0; i < ZONES; i++)
    {
      r.demand[i] = demand;
      r.room[i] = 40;
      r.share[i][i] = 1;
    }
  return r;
}

/* Slots of work that come to zone I, from its own callers and from others.  */
static double
load (const region_t *r, int i)
{
  double n = 0;

  for (int k = 0; k < ZONES; k++)
    n += r->demand[k] * r->share[k][i];
  return n;
}

static double
sent_out (const region_t *r, int i)
{
  return 1 - r->share[i][i];
}

/* One report: the wait at a zone grows while it has more than its room, the
   figures of demand are counts and differ by 4% from one to the next.  */
static void
report (region_t *r)
{
  zone_figures_t seen[ZONES];

  for (int i = 0; i < ZONES; i++)
    {
      double over = load (r, i) / r->room[i];
      seen[i] = r->last[i];
      r->wait[i] = over > 0.85 ? r->wait[i] + REPORT * (over - 0.85)
                               : r->wait[i] * 0.5;
      r->last[i] = (zone_figures_t){
        .demand = r->demand[i] * (0.96 + 0.08 * rng_unit (&r->rng)),
        .room = r->room[i],
        .wait = r->wait[i] + 3,
        .at = r->now,
      };
    }
  r->now += REPORT;
  for (int i = 0; i < ZONES; i++)
    {
      zone_figures_t z[ZONES];
      for (int k = 0; k < ZONES; k++)
        {
          z[k] = k == i ? r->last[k] : seen[k];
          z[k].link = k == i ? 0 : r->link;
          z[k].cut = k != i && (r->cut[i] || r->cut[k]);
          z[k].at -= k == i ? 0 : r->age;
        }
      zones_share (z, ZONES, i, &zone_costs_default, r->now, r->share[i]);
    }
}

/* Runs MS and then 6 s more; in these no share may move by 5 points.  */
static void
settle (region_t *r, msec_t ms)
{
  double low[ZONES], high[ZONES];

  for (msec_t end = r->now + ms; r->now < end;)
    report (r);
  for (int i = 0; i < ZONES; i++)
    low[i] = high[i] = sent_out (r, i);
  for (msec_t end = r->now + 6000; r->now < end;)
    {
      report (r);
      for (int i = 0; i < ZONES; i++)
        {
          double s = sent_out (r, i);
          low[i] = s < low[i] ? s : low[i];
          high[i] = s > high[i] ? s : high[i];
        }
    }
  for (int i = 0; i < ZONES; i++)
    ck_assert_double_lt (high[i] - low[i], 0.05);
}

/* Guards against billed and slower traffic without need.  */
START_TEST (zone_with_room_sends_nothing_out)
{
  region_t r = region (1, 25);

  settle (&r, 3000);
  for (int i = 0; i < ZONES; i++)
    ck_assert_double_lt (sent_out (&r, i), 0.001);
}
END_TEST

/* Guards against a zone that keeps what it can't run, or empties itself: it
   sends out what it lacks of 85% of its room.  */
START_TEST (zone_without_a_part_of_its_servers_sends_what_it_lacks)
{
  for (int lost = 1; lost <= 2; lost++)
    {
      region_t r = region ((uint64_t)lost, 26);
      r.room[0] = 40 - 40 * lost / 3.0;
      double lacks = (26 - 0.85 * r.room[0]) / 26;
      if (lacks < 0)
        lacks = 0;
      settle (&r, 6000);
      /* Both others together spare 16.  */
      if (lacks * 26 > 16)
        lacks = 16 / 26.0;
      ck_assert_double_gt (sent_out (&r, 0), lacks - 0.05);
      ck_assert_double_lt (sent_out (&r, 0), lacks + 0.05);
      ck_assert_double_lt (sent_out (&r, 1), 0.001);
      ck_assert_double_lt (load (&r, 1), 0.9 * r.room[1]);
      /* Shares, not a switch to one of them.  */
      ck_assert_double_lt (r.share[0][1], 2 * r.share[0][2]);
      ck_assert_double_lt (r.share[0][2], 2 * r.share[0][1]);
    }
}
END_TEST

/* Guards against a zone that is overrun while others have room, and one that
   goes on sending when its clients have moved back.  */
START_TEST (shift_of_clients_is_followed_and_undone)
{
  region_t r = region (5, 26);

  settle (&r, 1500);
  r.demand[0] += 0.42 * 26;
  r.demand[1] -= 0.42 * 26;
  settle (&r, 3000);
  double lacks = (1.42 * 26 - 34) / (1.42 * 26);
  ck_assert_double_gt (sent_out (&r, 0), lacks - 0.05);
  ck_assert_double_lt (sent_out (&r, 0), lacks + 0.05);
  r.demand[0] = r.demand[1] = 26;
  settle (&r, 6000);
  ck_assert_double_lt (sent_out (&r, 0), 0.001);
}
END_TEST

/* Guards against statements that are sent over a link which costs more time
   than they wait at home.  */
START_TEST (slow_link_is_not_used_before_it_pays)
{
  const msec_t now = 10000;
  double share[ZONES] = { 1 };
  zone_figures_t z[ZONES] = {
    { .demand = 36, .room = 40, .wait = 20, .at = now },
    { .demand = 10, .room = 40, .wait = 1, .link = 100, .at = now },
    { .demand = 10, .room = 40, .wait = 1, .link = 100, .at = now },
  };

  zones_share (z, ZONES, 0, &zone_costs_default, now, share);
  ck_assert_double_eq (share[0], 1);
  z[0].wait = 150;
  zones_share (z, ZONES, 0, &zone_costs_default, now, share);
  ck_assert_double_lt (share[0], 1);
  /* Over a dear link less goes than over a cheap one.  */
  z[2].link = 1;
  for (int i = 0; i < 20; i++)
    zones_share (z, ZONES, 0, &zone_costs_default, now, share);
  ck_assert_double_gt (share[2], 4 * share[1]);
}
END_TEST

/* Guards against statements sent into a cut, or on figures that are 5 s old:
   none, from the next report on.  */
START_TEST (cut_or_stale_figures_mean_none)
{
  region_t r = region (6, 26);

  r.room[0] = 20;
  settle (&r, 3000);
  ck_assert_double_gt (sent_out (&r, 0), 0.2);
  r.cut[1] = true;
  report (&r);
  ck_assert_double_eq (r.share[0][1], 0);
  ck_assert_double_gt (r.share[0][2], 0);
  r.cut[1] = false;
  settle (&r, 3000);
  r.age = 5000;
  report (&r);
  ck_assert_double_eq (sent_out (&r, 0), 0);
}
END_TEST

/* Guards against figures of more zones than there is room for.  */
START_TEST (further_zones_get_nothing)
{
  enum
  {
    MANY = ZONES_MAX + 3
  };
  zone_figures_t z[MANY];
  double share[MANY];

  for (int i = 0; i < MANY; i++)
    {
      z[i] = (zone_figures_t){ .demand = 4, .room = 20, .at = 1000 };
      share[i] = 0.1;
    }
  z[0].room = 1;
  for (int k = 0; k < 50; k++)
    zones_share (z, MANY, 0, &zone_costs_default, 1000, share);
  double sum = 0;
  for (int i = 0; i < MANY; i++)
    {
      sum += share[i];
      ck_assert (i < ZONES_MAX || share[i] == 0);
    }
  ck_assert_double_eq_tol (sum, 1, 1e-9);
  ck_assert_double_gt (share[0], 0);
  ck_assert_double_lt (share[0], 1);
}
END_TEST

/* Guards against two full zones that together send the third more than it can
   take, and against guests before its own callers.  */
START_TEST (two_full_zones_share_what_the_third_spares)
{
  region_t r = region (8, 45);
  const zone_costs_t *c = &zone_costs_default;

  r.demand[2] = 20;
  settle (&r, 6000);
  ck_assert_double_lt (load (&r, 2), 0.9 * r.room[2]);
  ck_assert_double_gt (load (&r, 2), 0.8 * r.room[2]);
  ck_assert_double_eq_tol (sent_out (&r, 0), sent_out (&r, 1), 0.05);
  ck_assert (zone_takes_guest (&r.last[2], 10, c, r.now));
  ck_assert (!zone_takes_guest (&r.last[2], 16, c, r.now));
  ck_assert (!zone_takes_guest (&r.last[0], 0, c, r.now));
}
END_TEST

int
main (void)
{
  Suite *s = suite_create ("balance");
  TCase *c = tcase_create ("outliers");
  SRunner *r;

  tcase_add_test (c, grey_database_is_ejected);
  tcase_add_test (c, lying_database_is_ejected);
  tcase_add_test (c, most_databases_stay_in_use);
  tcase_add_test (c, few_lost_answers_are_no_reason);
  tcase_add_test (c, returned_database_starts_slowly);
  tcase_add_test (c, flapping_database_stays_out_longer);
  suite_add_tcase (s, c);
  c = tcase_create ("zones");
  tcase_add_test (c, zone_with_room_sends_nothing_out);
  tcase_add_test (c, zone_without_a_part_of_its_servers_sends_what_it_lacks);
  tcase_add_test (c, shift_of_clients_is_followed_and_undone);
  tcase_add_test (c, slow_link_is_not_used_before_it_pays);
  tcase_add_test (c, cut_or_stale_figures_mean_none);
  tcase_add_test (c, further_zones_get_nothing);
  tcase_add_test (c, two_full_zones_share_what_the_third_spares);
  suite_add_tcase (s, c);
  r = srunner_create (s);
  srunner_run_all (r, CK_ENV);
  int failed = srunner_ntests_failed (r);
  srunner_free (r);
  return failed ? EXIT_FAILURE : EXIT_SUCCESS;
}
