#include "world.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

static world_t *
start (uint64_t seed)
{
  world_t *w = world_new (seed, true);

  ck_assert (world_start (w));
  return w;
}

static int64_t
version (world_t *w)
{
  int64_t v;

  control_config (world_leader (w), &v, NULL, NULL);
  return v;
}

/* Guards against accepting two submissions with the same base version.  */
START_TEST (concurrent_submissions)
{
  world_t *w = start (1);

  world_submit (w, 1, "a", "ann", 1, "entries 3");
  world_submit (w, 2, "b", "bob", 1, "entries 2");
  world_run (w, 20);
  ck_assert_int_eq (w->answers[1].status, SUBMIT_ACCEPTED);
  ck_assert_int_eq (w->answers[2].status, SUBMIT_CONFLICT);
  ck_assert_int_eq (w->answers[2].version, 2);
  ck_assert_int_eq (version (w), 2);
  ck_assert_str_eq (world_leader (w)->cfg_by, "ann");
  world_free (w);
}
END_TEST

/* Guards against deciding a resent submission again: it gets the first
   outcome, also while the first is pending and after a snapshot.  */
START_TEST (resend_gets_first_outcome)
{
  world_t *w = start (2);

  world_submit (w, 1, "a", "ann", 1, "entries 3");
  world_submit (w, 2, "a", "ann", 1, "entries 3");
  world_run (w, 20);
  ck_assert_int_eq (w->answers[2].status, SUBMIT_ACCEPTED);
  ck_assert (w->answers[2].repeated && !w->answers[1].repeated);
  for (int i = 0; i < W_CONTROLS; i++)
    world_restart_ctl (w, i, true);
  ck_assert (world_until (w, world_settled, 4000));
  world_submit (w, 3, "a", "ann", 1, "entries 3");
  world_run (w, 20);
  ck_assert_int_eq (w->answers[3].status, SUBMIT_ACCEPTED);
  ck_assert_int_eq (w->answers[3].version, 2);
  ck_assert (w->answers[3].repeated);
  ck_assert_int_eq (version (w), 2);
  world_free (w);
}
END_TEST

/* Guards against assigning a version to an invalid questionnaire, and against
   a different answer when it is resent.  */
START_TEST (invalid_questionnaire)
{
  world_t *w = start (3);

  world_submit (w, 1, "x", "ann", 1, "nonsense");
  world_run (w, 20);
  world_submit (w, 2, "x", "ann", 1, "entries 3");
  world_run (w, 20);
  ck_assert_int_eq (w->answers[1].status, SUBMIT_INVALID);
  ck_assert_int_eq (w->answers[2].status, SUBMIT_INVALID);
  ck_assert_int_eq (version (w), 1);
  world_free (w);
}
END_TEST

/* Guards against discarding outcomes too early and against storing them
   without a limit.  */
START_TEST (outcomes_are_bounded)
{
  world_t *w = start (4);
  control_t *c = world_leader (w);
  char id[32];

  for (int i = 0; i < CTL_OUTCOMES; i++)
    {
      snprintf (id, sizeof id, "n%d", i);
      world_submit (w, 1, id, "ann", 0, "entries 1");
      if (i % 512 == 0)
        world_run (w, W_STEP);
    }
  world_run (w, 20);
  ck_assert_int_eq (c->noutcomes, CTL_OUTCOMES);
  ck_assert_ptr_nonnull (outcome_find (c, STR ("n0")));
  ck_assert_ptr_null (outcome_find (c, STR ("s0")));
  world_free (w);
}
END_TEST

/* Guards against reporting an outcome that a change of leader made unknown. */
START_TEST (unknown_after_leader_change)
{
  world_t *w = start (5);
  int l = w->leader;

  for (int z = 0; z < W_ZONES; z++)
    w->cut[z][l % W_ZONES] = w->cut[l % W_ZONES][z] = z != l % W_ZONES;
  world_run (w, 10);
  world_submit (w, 1, "late", "ann", 1, "entries 3");
  ck_assert (!w->answers[1].answered);
  world_run (w, 2000);
  ck_assert_int_eq (w->answers[1].status, SUBMIT_UNKNOWN);
  memset (w->cut, 0, sizeof w->cut);
  world_run (w, 1000);
  world_submit (w, 2, "late", "ann", 1, "entries 3");
  world_run (w, 20);
  ck_assert_int_eq (w->answers[2].status, SUBMIT_ACCEPTED);
  ck_assert_int_eq (version (w), 2);
  world_free (w);
}
END_TEST

/* Guards against state that a snapshot omits.  */
START_TEST (snapshot_is_complete)
{
  world_t *w = start (6);
  control_t *c = world_leader (w);
  control_t *d = control_new (w->pool, STR ("x"), STR ("x"), &world_ops, NULL);
  buf_t a, b;
  err_t e = { 0 };

  w->db[0].alive = false;
  world_run (w, 5000);
  buf_init (&a);
  buf_init (&b);
  control_snapshot (c, &a);
  ck_assert (control_restore (d, buf_str (&a), w->now, &e));
  control_snapshot (d, &b);
  ck_assert (str_eq (buf_str (&a), buf_str (&b)));
  for (size_t n = 0; n < a.n; n += 7)
    ck_assert (!control_restore (d, (str_t){ a.p, n }, w->now, &e));
  buf_free (&a);
  buf_free (&b);
  world_free (w);
}
END_TEST

/* Guards against an entry instance that remains on an old configuration after
   it missed changes, and against sending one that it already has.  */
START_TEST (entries_get_the_configuration)
{
  world_t *w = start (7);

  w->ent[1].frozen = true;
  for (int i = 1; i <= 3; i++)
    {
      char id[8];
      snprintf (id, sizeof id, "c%d", i);
      world_submit (w, i, id, "ann", i, "entries 4");
      world_run (w, 200);
    }
  ck_assert_int_eq (w->ent[0].cfg_version, 4);
  ck_assert_int_eq (w->ent[1].cfg_version, 1);
  w->ent[1].frozen = false;
  world_run (w, 300);
  ck_assert_int_eq (w->ent[1].cfg_version, 4);
  renew_t r = { .name = STR ("ent0"),
                .boot = w->ent[0].boot,
                .cfg_index = w->ent[0].cfg_index };
  grant_t g;
  control_renew (world_leader (w), &r, w->now, w->pool, &g);
  ck_assert_int_eq (g.cfg.n, 0);
  world_free (w);
}
END_TEST

/* Guards against queries that fail or return malformed JSON.  */
START_TEST (queries_answer)
{
  world_t *w = start (8);
  static const char *const what[] = { "status", "audit", "explain", "config" };
  query_resp_t out;

  for (int i = 0; i < 8; i++)
    {
      query_t q = { .what = str_of (what[i % 4]),
                    .json = i >= 4,
                    .arg = i % 4 ? STR ("g0") : STR ("") };
      control_query (world_leader (w), &q, w->now, w->pool, &out);
      ck_assert (out.ok && out.text.n >= 9);
      ck_assert (
          i < 4
          || (out.text.p[0] == '[' && out.text.p[out.text.n - 2] == ']'));
    }
  query_t q = { .what = STR ("explain"), .arg = STR ("s0") };
  control_query (world_leader (w), &q, w->now, w->pool, &out);
  ck_assert_ptr_nonnull (strstr (out.text.p, "outcome=accepted"));
  q.what = STR ("nothing");
  control_query (world_leader (w), &q, w->now, w->pool, &out);
  ck_assert (!out.ok);
  world_free (w);
}
END_TEST

int
main (void)
{
  const tests_t t[]
      = { concurrent_submissions,        resend_gets_first_outcome,
          invalid_questionnaire,         outcomes_are_bounded,
          unknown_after_leader_change,   snapshot_is_complete,
          entries_get_the_configuration, queries_answer };
  int failed;

  world_run_tests ("control_config", t, sizeof t / sizeof *t, &failed);
  return failed ? EXIT_FAILURE : EXIT_SUCCESS;
}
