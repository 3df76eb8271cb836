#include "world.h"

#include <stdlib.h>
#include <string.h>

enum
{
  SHARED = W_CONNECTIONS - CTL_RESERVED /* connections */
};

static int
limit (world_t *w, int entry, int db)
{
  return view_conn_limit (w->ent[entry].view, str_of (w->db[db].name),
                          world_entry_now (w, entry));
}

static int
sum (world_t *w, int db)
{
  int n = 0;

  for (int e = 0; e < W_ENTRIES; e++)
    if (w->ent[e].alive)
      n += limit (w, e, db);
  return n;
}

/* Guards against ignoring demand and against leaving connections unused.  */
START_TEST (demand_is_met)
{
  world_t *w = world_new (1, true);

  w->ent[1].want[0] = 12;
  ck_assert (world_start (w));
  world_run (w, 5000);
  ck_assert_int_eq (sum (w, 0), SHARED);
  ck_assert_int_ge (limit (w, 1, 0), 11);
  ck_assert_int_ge (limit (w, 0, 0), 1);
  w->ent[0].want[0] = 12;
  world_run (w, 5000);
  ck_assert_int_ge (limit (w, 0, 0), 7);
  world_free (w);
}
END_TEST

/* Guards against the loss of the floor of a partitioned instance.  */
START_TEST (floor_survives_a_partition)
{
  world_t *w = world_new (2, true);

  ck_assert (world_start (w));
  w->ent[1].frozen = true;
  world_run (w, 60000);
  w->ent[1].frozen = false;
  ck_assert_int_eq (limit (w, 1, 0), 1);
  world_free (w);
}
END_TEST

/* Guards against a drop of the budgets to the floors at a change of leader. */
START_TEST (budgets_survive_a_leader_change)
{
  world_t *w = world_new (3, true);

  for (int e = 0; e < W_ENTRIES; e++)
    w->ent[e].want[0] = 4;
  ck_assert (world_start (w));
  world_run (w, 5000);
  ck_assert_int_ge (limit (w, 0, 0), 4);
  w->ctl[w->leader].alive = false;
  w->leader = -1;
  for (int i = 0; i < 800; i++)
    {
      world_run (w, W_STEP);
      ck_assert_int_ge (limit (w, 0, 0), 4);
      ck_assert_int_le (sum (w, 0), SHARED);
    }
  world_free (w);
}
END_TEST

static void
inject_fault (world_t *w)
{
  int e = (int)rng_below (&w->rng, W_ENTRIES);
  int z = (int)rng_below (&w->rng, W_ZONES);
  int c = (int)rng_below (&w->rng, W_CONTROLS);

  switch (rng_below (&w->rng, 7))
    {
    case 0:
      world_restart_entry (w, e);
      break;
    case 1:
      w->ent[e].alive = false;
      break;
    case 2:
      w->ent[e].frozen = !w->ent[e].frozen;
      break;
    case 3:
      for (int k = 0; k < W_ZONES; k++)
        w->cut[z][k] = w->cut[k][z] = k != z && !w->cut[z][k];
      break;
    case 4:
      world_restart_ctl (w, c, true);
      break;
    case 5:
      w->ctl[c].frozen = !w->ctl[c].frozen;
      break;
    default:
      for (int d = 0; d < W_DBS; d++)
        w->ent[e].want[d] = (int)rng_below (&w->rng, 20);
    }
}

/* Guards against granting more connections than a database allows, at each
   step while instances start, stop and are partitioned and leaders change.  */
START_TEST (sum_is_never_above_the_limit)
{
  world_t *w = world_new ((uint64_t)_i + 100, true);
  int peak = 0;

  w->delay = 60;
  ck_assert (world_start (w));
  for (int i = 0; i < 400; i++)
    {
      inject_fault (w);
      for (int k = 0; k < 40; k++)
        {
          world_run (w, W_STEP);
          for (int d = 0; d < W_DBS; d++)
            {
              ck_assert_int_le (sum (w, d), SHARED);
              peak = sum (w, d) > peak ? sum (w, d) : peak;
            }
        }
    }
  ck_assert_int_ge (peak, SHARED / 2); /* the test did grant connections */
  world_free (w);
}
END_TEST

int
main (void)
{
  const tests_t t[]
      = { demand_is_met, floor_survives_a_partition,
          budgets_survive_a_leader_change, sum_is_never_above_the_limit };
  int failed;

  world_run_tests ("control_budget", t, sizeof t / sizeof *t, &failed);
  return failed ? EXIT_FAILURE : EXIT_SUCCESS;
}
