/* Instances that share scarce connections: a few own them, the others
   forward.  */

#include "../lib/proxy/local.h"
#include "stage.h"

#include <stdio.h>
#include <string.h>

#define ASK(c, text, want)                                                    \
  ck_assert_msg (stage_request (c, text, want), "got: %s", (c)->received)

/* ---- decisions ---- */

/* Guards against a way that costs a hop where each instance has connections of
   its own.  */
START_TEST (owners_only_where_connections_are_scarce)
{
  ck_assert (!owners_needed (22, 9));
  ck_assert (!owners_needed (32, 8));
  ck_assert (owners_needed (46, 69));
  ck_assert (owners_needed (98, 78));
  ck_assert (!owners_needed (8, 0));
  ck_assert_int_eq (owners_count (46, 69, 23), 2);
  ck_assert_int_eq (owners_count (98, 78, 16), 3);
  ck_assert_int_eq (owners_count (4, 100, 10), 1);
  ck_assert_int_eq (owners_count (98, 78, 0), 0);
}
END_TEST

/* Guards against sessions of all services that move when one instance comes
   or goes.  */
START_TEST (owners_stay_when_another_instance_goes)
{
  char text[20][16];
  str_t all[20], fewer[19];
  int before[OWNERS_MAX], after[OWNERS_MAX], load[20] = { 0 };

  for (int i = 0; i < 20; i++)
    {
      snprintf (text[i], sizeof text[i], "10.0.0.%d:7440", i);
      all[i] = str_of (text[i]);
      if (i < 19)
        fewer[i] = all[i];
    }
  for (int k = 0; k < 100; k++)
    {
      char name[16];
      snprintf (name, sizeof name, "svc%d", k);
      int n = owners_pick (str_of (name), all, 20, 3, before);
      ck_assert_int_eq (n, 3);
      ck_assert_int_eq (owners_pick (str_of (name), fewer, 19, 3, after), 3);
      int kept = 0;
      for (int i = 0; i < 3; i++)
        {
          load[before[i]]++;
          for (int j = 0; j < 3; j++)
            kept += before[i] == after[j];
        }
      bool lost = before[0] == 19 || before[1] == 19 || before[2] == 19;
      ck_assert_int_eq (kept, lost ? 2 : 3);
    }
  for (int i = 0; i < 20; i++)
    ck_assert_int_gt (load[i], 0);
}
END_TEST

/* ---- sessions ---- */

static bool
fellow_owns (stage_t *s)
{
  return forward_owns (s->second, service_get (s->second, STR ("svc")));
}

/* A session at the instance that owns no connections.  */
static stage_client_t *
start_elsewhere (stage_t *s, const char *host)
{
  bool fellow = fellow_owns (s);

  ck_assert (fellow
             != forward_owns (s->proxy, service_get (s->proxy, STR ("svc"))));
  return stage_session_at (s, !fellow, host);
}

static proxy_t *
owner (stage_t *s)
{
  return fellow_owns (s) ? s->second : s->proxy;
}

static proxy_t *
other (stage_t *s)
{
  return fellow_owns (s) ? s->proxy : s->second;
}

static int
connections (proxy_t *p)
{
  int n = 0;

  for (const db_t *d = service_get (p, STR ("svc"))->dbs; d; d = d->next)
    n += d->open + d->opening;
  return n;
}

/* The owner's process ends.  */
static void
lose_owner (stage_t *s)
{
  session_t *next;

  for (session_t *x = owner (s)->sessions; x; x = next)
    {
      next = x->next;
      if (x->fellow)
        session_end (x);
    }
}

/* Guards against connections opened by every instance, and against values and
   prepared statements that do not follow the session.  */
START_TEST (statements_run_at_the_owner)
{
  stage_t *s = stage_pair ();
  stage_client_t *c = start_elsewhere (s, "lead");

  ASK (c, "QUERY q1 SET v1 blue\r\n", "READY I -\r\n");
  ASK (c, "QUERY q2 PREPARE s1 WRITE shape\r\n", "READY I -\r\n");
  ASK (c, "QUERY q3 WRITE 7 data\r\n", "COMPLETE sig-db0\r\nREADY I -\r\n");
  ASK (c, "QUERY q4 EXECUTE s1 7 data\r\n", "COMPLETE sig-db0\r\nREADY I");
  ck_assert_ptr_nonnull (strstr (s->db[0].log, "Iq3 WRITE 7 data|v1 blue\n"));
  ck_assert_int_eq (connections (other (s)), 0);
  ck_assert_int_gt (connections (owner (s)), 0);
  stage_free (s);
}
END_TEST

/* Guards against a transaction that is torn between instances.  */
START_TEST (transaction_runs_at_the_owner)
{
  stage_t *s = stage_pair ();
  stage_client_t *c = start_elsewhere (s, "lead");

  ASK (c, "QUERY q1 BEGIN\r\n", "READY T -\r\n");
  ASK (c, "QUERY q2 WRITE 7 data\r\n", "COMPLETE sig-db0\r\nREADY T -\r\n");
  ASK (c, "QUERY q3 COMMIT\r\n", "COMPLETE sig-db0\r\nREADY I -\r\n");
  ck_assert_int_eq (stage_count (&s->db[0], "q3 COMMIT"), 1);
  ck_assert_int_eq (connections (other (s)), 0);
  stage_free (s);
}
END_TEST

/* Guards against a write that is repeated, or said not to have run, when the
   owner is lost under it; and against a session that loses its values.  */
START_TEST (write_under_way_at_a_lost_owner_is_in_doubt)
{
  stage_t *s = stage_pair ();
  stage_client_t *c = start_elsewhere (s, "lead");

  ASK (c, "QUERY q1 SET v1 blue\r\n", "READY I -\r\n");
  ASK (c, "QUERY q2 WRITE 7 data\r\n", "READY I -\r\n");
  s->db[0].ignore_all = true;
  stage_send (c, "QUERY q3 WRITE 8 data\r\n");
  stage_run (s, 100, NULL, NULL);
  c->received[0] = '\0';
  lose_owner (s);
  stage_run (s, 100, NULL, NULL);
  ck_assert_ptr_nonnull (strstr (c->received, "ERROR INDOUBT"));
  ck_assert_int_eq (stage_count (&s->db[0], "q3 WRITE"), 1);
  s->db[0].ignore_all = false;
  stage_run (s, 600, NULL, NULL);
  ASK (c, "QUERY q4 WRITE 9 data\r\n", "COMPLETE sig-db0\r\nREADY I -\r\n");
  ck_assert_ptr_nonnull (strstr (s->db[0].log, "Iq4 WRITE 9 data|v1 blue\n"));
  ck_assert (!c->closed);
  stage_free (s);
}
END_TEST

/* Guards against a read that hangs or fails when it could run here.  */
START_TEST (read_under_way_at_a_lost_owner_runs_here)
{
  stage_t *s = stage_pair ();
  stage_client_t *c = start_elsewhere (s, "lead");

  ASK (c, "QUERY q1 READ 7\r\n", "READY I -\r\n");
  s->db[0].ignore_all = true;
  stage_send (c, "QUERY q2 READ 8\r\n");
  stage_run (s, 50, NULL, NULL);
  c->received[0] = '\0';
  s->db[0].ignore_all = false;
  lose_owner (s);
  stage_run (s, 400, NULL, NULL);
  ck_assert_ptr_nonnull (
      strstr (c->received, "COMPLETE sig-db0\r\nREADY I -"));
  stage_free (s);
}
END_TEST

/* Guards against a transaction that goes on without what it did before its
   owner was lost.  */
START_TEST (transaction_of_a_lost_owner_is_aborted)
{
  stage_t *s = stage_pair ();
  stage_client_t *c = start_elsewhere (s, "lead");

  ASK (c, "QUERY q1 BEGIN\r\n", "READY T -\r\n");
  ASK (c, "QUERY q2 WRITE 7 data\r\n", "READY T -\r\n");
  lose_owner (s);
  stage_run (s, 50, NULL, NULL);
  ASK (c, "QUERY q3 COMMIT\r\n", "ERROR ABORTED");
  ck_assert_ptr_nonnull (strstr (c->received, "READY I -"));
  ck_assert_int_eq (stage_count (&s->db[0], "COMMIT"), 0);
  stage_free (s);
}
END_TEST

/* Guards against a read of the own write that a replica without it serves
   after the session has changed instances.  */
START_TEST (session_sees_its_write_at_another_instance)
{
  stage_t *s = stage_pair ();
  stage_client_t *c = start_elsewhere (s, "own");

  s->db[0].number = 20;
  ASK (c, "QUERY q1 WRITE 7 data\r\n", "READY I -\r\n");
  lose_owner (s);
  stage_run (s, 200, NULL, NULL);
  ASK (c, "QUERY q2 READ 7\r\n", "COMPLETE sig-db0\r\nREADY I -\r\n");
  stage_free (s);
}
END_TEST

/* Guards against sessions that stay at an instance in a zone that is cut off:
   one that owns no connections does not see the primary itself.  */
START_TEST (lost_owner_and_control_mean_a_cut_zone)
{
  stage_t *s = stage_pair ();
  stage_client_t *c = start_elsewhere (s, "lead");

  ASK (c, "QUERY q1 READ 7\r\n", "READY I -\r\n");
  s->control_leaderless[0] = s->control_leaderless[1] = true;
  stage_run (s, CUT_CONTROL + 300, NULL, NULL);
  ck_assert (proxy_ready (other (s)));
  lose_owner (s);
  stage_run (s, 400, NULL, NULL);
  ck_assert (!proxy_ready (other (s)));
  s->control_leaderless[0] = s->control_leaderless[1] = false;
  stage_run (s, 3000, NULL, NULL);
  ck_assert (proxy_ready (other (s)));
  stage_free (s);
}
END_TEST

int
main (void)
{
  Suite *s = suite_create ("forward");
  TCase *d = tcase_create ("decisions");
  TCase *t = tcase_create ("sessions");

  tcase_add_test (d, owners_only_where_connections_are_scarce);
  tcase_add_test (d, owners_stay_when_another_instance_goes);
  suite_add_tcase (s, d);
  tcase_set_timeout (t, 30);
  tcase_add_test (t, statements_run_at_the_owner);
  tcase_add_test (t, transaction_runs_at_the_owner);
  tcase_add_test (t, write_under_way_at_a_lost_owner_is_in_doubt);
  tcase_add_test (t, read_under_way_at_a_lost_owner_runs_here);
  tcase_add_test (t, transaction_of_a_lost_owner_is_aborted);
  tcase_add_test (t, session_sees_its_write_at_another_instance);
  tcase_add_test (t, lost_owner_and_control_mean_a_cut_zone);
  suite_add_tcase (s, t);
  SRunner *r = srunner_create (s);
  srunner_run_all (r, CK_NORMAL);
  int failed = srunner_ntests_failed (r);
  srunner_free (r);
  return failed ? 1 : 0;
}
