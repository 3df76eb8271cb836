/* Forwarding when connections are scarce: a few instances own them, the others
   forward statements to these.  */

#include "../lib/proxy/local.h"
#include "stage.h"

#include <stdio.h>
#include <string.h>

/* ---- choice of owners ---- */

/* Guards against forwarding, which costs a hop, where each instance can have
   its own connections.  */
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
  /* 8 services before 32 instances of a zone: 3 owners each would leave 8
     without any.  Before 23 or 12, or with a few connections, there are no
     more.  */
  ck_assert_int_eq (owners_count (73, 99, 32), 3);
  ck_assert_int_eq (owners_spread (73, 99, 32, 8), 4);
  ck_assert_int_eq (owners_spread (73, 99, 30, 8), 3);
  ck_assert_int_eq (owners_spread (73, 99, 32, 1), 4);
  ck_assert_int_eq (owners_spread (73, 99, 12, 8), owners_count (73, 99, 12));
  ck_assert_int_eq (owners_spread (46, 69, 23, 8), 2);
  ck_assert_int_eq (owners_spread (4, 100, 10, 1), 1);
  ck_assert_int_eq (owners_spread (73, 99, 0, 8), 0);
}
END_TEST

/* Guards against owners of all services that change when one instance joins or
   leaves.  */
START_TEST (owners_stay_when_another_instance_leaves)
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
      bool left = before[0] == 19 || before[1] == 19 || before[2] == 19;
      ck_assert_int_eq (kept, left ? 2 : 3);
    }
  for (int i = 0; i < 20; i++)
    ck_assert_int_gt (load[i], 0);
}
END_TEST

enum
{
  ASSIGN_SERVICES = 8,
  ASSIGN_ENTRIES = 32
};

/* Assigns owners for 8 services among N of 32 addresses, first to last or the
   other way round; returns the largest number of services of one address, and
   in SET a bit for each owner of each service.  */
static int
assign (int n, bool reverse, uint32_t *set)
{
  static char text[ASSIGN_ENTRIES][16], name[ASSIGN_SERVICES][16];
  str_t address[ASSIGN_ENTRIES];
  owner_role_t role[ASSIGN_SERVICES];
  int load[ASSIGN_ENTRIES] = { 0 }, most = 0;

  for (int i = 0; i < n; i++)
    {
      int at = reverse ? n - 1 - i : i;
      snprintf (text[at], sizeof text[at], "10.0.0.%d:7440", at);
      address[i] = str_of (text[at]);
    }
  for (int i = 0; i < ASSIGN_SERVICES; i++)
    {
      int at = reverse ? ASSIGN_SERVICES - 1 - i : i;
      snprintf (name[at], sizeof name[at], "svc%d", at);
      role[i] = (owner_role_t){ .service = str_of (name[at]), .want = 3 };
    }
  owners_assign (role, ASSIGN_SERVICES, address, n);
  for (int i = 0; i < ASSIGN_SERVICES; i++)
    {
      int at = reverse ? ASSIGN_SERVICES - 1 - i : i;
      ck_assert_int_eq (role[i].n, n < 3 ? n : 3);
      set[at] = 0;
      for (int j = 0; j < role[i].n; j++)
        {
          int x = reverse ? n - 1 - role[i].owner[j] : role[i].owner[j];
          ck_assert ((set[at] & 1u << x) == 0);
          set[at] |= 1u << x;
          if (++load[x] > most)
            most = load[x];
        }
    }
  return most;
}

/* Guards against an instance that owns three services while others own none:
   its link of 1.4 Mbit/s held up the statements of a whole zone.  */
START_TEST (owners_are_spread_evenly)
{
  uint32_t set[ASSIGN_SERVICES], other[ASSIGN_SERVICES];

  ck_assert_int_eq (assign (ASSIGN_ENTRIES, false, set), 1);
  assign (ASSIGN_ENTRIES, true, other);
  ck_assert_mem_eq (set, other, sizeof set);
  for (int n = 1; n <= ASSIGN_ENTRIES; n++)
    {
      int want = ASSIGN_SERVICES * (n < 3 ? n : 3);
      ck_assert_int_le (assign (n, false, other), (want + n - 1) / n + 1);
    }
}
END_TEST

/* Guards against sessions that all move when one instance leaves.  */
START_TEST (an_assignment_mostly_stays_when_an_instance_leaves)
{
  uint32_t set[ASSIGN_SERVICES], fewer[ASSIGN_SERVICES];
  int moved = 0;

  assign (ASSIGN_ENTRIES, false, set);
  assign (ASSIGN_ENTRIES - 1, false, fewer);
  for (int i = 0; i < ASSIGN_SERVICES; i++)
    moved += __builtin_popcount (set[i] & ~fewer[i]);
  ck_assert_int_le (moved, 3);
}
END_TEST

/* ---- sessions ---- */

static bool
second_may_connect (stage_t *s)
{
  return service_may_connect (s->second, service_get (s->second, STR ("svc")));
}

/* Opens a session at the instance that owns no connections.  */
static stage_client_t *
start_at_non_owner (stage_t *s, const char *host)
{
  bool second = second_may_connect (s);

  ck_assert (
      second
      != service_may_connect (s->proxy, service_get (s->proxy, STR ("svc"))));
  return stage_session_at (s, !second, host);
}

static proxy_t *
owner (stage_t *s)
{
  return second_may_connect (s) ? s->second : s->proxy;
}

static proxy_t *
non_owner (stage_t *s)
{
  return second_may_connect (s) ? s->proxy : s->second;
}

static int
connections (proxy_t *p)
{
  int n = 0;

  for (const db_t *d = service_get (p, STR ("svc"))->dbs; d; d = d->next)
    n += d->open + d->opening;
  return n;
}

/* Closes the sessions forwarded to the owner, as when its process ends.  */
static void
fail_owner (stage_t *s)
{
  session_t *next;

  for (session_t *x = owner (s)->sessions; x; x = next)
    {
      next = x->next;
      if (x->from_peer)
        session_end (x);
    }
}

/* Guards against connections opened by an instance that is no owner, and
   against settings and prepared statements that aren't sent to the owner.  */
START_TEST (statements_run_at_the_owner)
{
  stage_t *s = stage_pair ();
  stage_client_t *c = start_at_non_owner (s, "lead");

  ASK (c, "QUERY q1 SET v1 blue\r\n", "READY I -\r\n");
  ASK (c, "QUERY q2 PREPARE s1 WRITE shape\r\n", "READY I -\r\n");
  ASK (c, "QUERY q3 WRITE 7 data\r\n", "COMPLETE sig-db0\r\nREADY I -\r\n");
  ASK (c, "QUERY q4 EXECUTE s1 7 data\r\n", "COMPLETE sig-db0\r\nREADY I");
  ck_assert_ptr_nonnull (strstr (s->db[0].log, "Iq3 WRITE 7 data|v1 blue\n"));
  ck_assert_int_eq (connections (non_owner (s)), 0);
  ck_assert_int_gt (connections (owner (s)), 0);
  stage_free (s);
}
END_TEST

/* Guards against a prepared statement that is unknown, or runs another shape,
   after its session moved to an owner and back: long shapes that were prepared
   while the session was forwarded were dropped.  */
START_TEST (prepared_statements_follow_the_session)
{
  stage_t *s = stage_pair ();
  stage_client_t *c = start_at_non_owner (s, "lead");
  char text[512], want[512];

  ASK (c, "QUERY p1 PREPARE s1 WRITE two words\r\n", "COMPLETE -");
  ASK (c, "QUERY e1 EXECUTE s1 7 data\r\n", "COMPLETE sig-db0");
  ASK (c, "QUERY p2 PREPARE s2 READ three more words\r\n", "COMPLETE -");
  snprintf (text, sizeof text, "QUERY p3 PREPARE s3 READ %0200d\r\n", 3);
  ASK (c, text, "COMPLETE -");
  ASK (c, "QUERY e2 EXECUTE s2 7\r\n", "COMPLETE sig-db0");
  fail_owner (s);
  stage_run (s, 600, NULL, NULL);
  ASK (c, "QUERY e3 EXECUTE s2 8\r\n", "COMPLETE sig-db0");
  ASK (c, "QUERY e4 EXECUTE s3 9\r\n", "COMPLETE sig-db0");
  ck_assert_int_eq (stage_count (&s->db[0], "e1 EXECUTE wtwo words 7 data|"),
                    1);
  ck_assert_int_eq (stage_count (&s->db[0], "EXECUTE rthree more words"), 2);
  snprintf (want, sizeof want, "e4 EXECUTE r%0200d 9|", 3);
  ck_assert_int_eq (stage_count (&s->db[0], want), 1);
  stage_free (s);
}
END_TEST

/* Guards against a transaction whose statements run at different instances. */
START_TEST (transaction_runs_at_the_owner)
{
  stage_t *s = stage_pair ();
  stage_client_t *c = start_at_non_owner (s, "lead");

  ASK (c, "QUERY q1 BEGIN\r\n", "READY T -\r\n");
  ASK (c, "QUERY q2 WRITE 7 data\r\n", "COMPLETE sig-db0\r\nREADY T -\r\n");
  ASK (c, "QUERY q3 COMMIT\r\n", "COMPLETE sig-db0\r\nREADY I -\r\n");
  ck_assert_int_eq (stage_count (&s->db[0], "q3 COMMIT"), 1);
  ck_assert_int_eq (connections (non_owner (s)), 0);
  stage_free (s);
}
END_TEST

/* Guards against a write that is repeated, or reported as not run, when the
   owner fails before the answer; and against a session without its settings
   afterwards.  */
START_TEST (write_is_in_doubt_after_owner_fails)
{
  stage_t *s = stage_pair ();
  stage_client_t *c = start_at_non_owner (s, "lead");

  ASK (c, "QUERY q1 SET v1 blue\r\n", "READY I -\r\n");
  ASK (c, "QUERY q2 WRITE 7 data\r\n", "READY I -\r\n");
  s->db[0].ignore_all = true;
  stage_send (c, "QUERY q3 WRITE 8 data\r\n");
  stage_run (s, 100, NULL, NULL);
  c->received[0] = '\0';
  fail_owner (s);
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

/* Guards against a read that waits or fails after the loss of the owner, when
   it could run at the session's own instance.  */
START_TEST (read_runs_locally_after_owner_fails)
{
  stage_t *s = stage_pair ();
  stage_client_t *c = start_at_non_owner (s, "lead");

  ASK (c, "QUERY q1 READ 7\r\n", "READY I -\r\n");
  s->db[0].ignore_all = true;
  stage_send (c, "QUERY q2 READ 8\r\n");
  stage_run (s, 50, NULL, NULL);
  c->received[0] = '\0';
  s->db[0].ignore_all = false;
  fail_owner (s);
  stage_run (s, 400, NULL, NULL);
  ck_assert_ptr_nonnull (
      strstr (c->received, "COMPLETE sig-db0\r\nREADY I -"));
  stage_free (s);
}
END_TEST

/* Sends TEXT from the owner to the instances that forward to it.  */
static void
owner_sends (stage_t *s, const char *text)
{
  for (session_t *x = owner (s)->sessions; x; x = x->next)
    if (x->from_peer)
      {
        buf_adds (stream_out (x->stream), str_of (text));
        stream_flush (x->stream);
      }
}

/* A statement of C, at the instance that owns no connections, whose answer has
   come in part: TEXT.  Then its owner fails.  */
static void
fail_in_answer (stage_t *s, stage_client_t *c, const char *statement,
                const char *text)
{
  s->db[0].ignore_all = true;
  c->received[0] = '\0';
  stage_send (c, statement);
  stage_run (s, 50, NULL, NULL);
  owner_sends (s, text);
  stage_run (s, 50, NULL, NULL);
  s->db[0].ignore_all = false;
  fail_owner (s);
  stage_run (s, 400, NULL, NULL);
}

/* Guards against a read with the rows of two runs: those of the owner's answer
   were passed on before it was complete, and the read was run again when the
   connection was reset (review/2).  */
START_TEST (part_of_an_answer_is_dropped_with_its_owner)
{
  stage_t *s = stage_pair ();
  stage_client_t *c = start_at_non_owner (s, "lead");

  ASK (c, "QUERY q1 READ 7\r\n", "READY I -\r\n");
  fail_in_answer (s, c, "QUERY q2 READ 8\r\n",
                  "ROW first\r\nROW second\r\nCOMPLETE sig-first\r\n");
  ck_assert_str_eq (c->received,
                    "ROW db0\r\nCOMPLETE sig-db0\r\nREADY I -\r\n");
  stage_free (s);
}
END_TEST

/* Guards against two answers to one write: COMPLETE was passed on, and the
   connection ended before READY.  */
START_TEST (write_has_one_answer_after_its_owner_fails)
{
  stage_t *s = stage_pair ();
  stage_client_t *c = start_at_non_owner (s, "lead");

  ASK (c, "QUERY q1 WRITE 7 data\r\n", "READY I -\r\n");
  fail_in_answer (s, c, "QUERY q2 WRITE 8 data\r\n", "COMPLETE sig-first\r\n");
  ck_assert_str_eq (c->received,
                    "ERROR INDOUBT an instance was lost\r\nREADY I -\r\n");
  stage_free (s);
}
END_TEST

/* Guards against a transaction that continues without its earlier statements
   after the owner failed.  */
START_TEST (transaction_aborts_after_owner_fails)
{
  stage_t *s = stage_pair ();
  stage_client_t *c = start_at_non_owner (s, "lead");

  ASK (c, "QUERY q1 BEGIN\r\n", "READY T -\r\n");
  ASK (c, "QUERY q2 WRITE 7 data\r\n", "READY T -\r\n");
  fail_owner (s);
  stage_run (s, 50, NULL, NULL);
  ASK (c, "QUERY q3 COMMIT\r\n", "ERROR ABORTED");
  ck_assert_ptr_nonnull (strstr (c->received, "READY I -"));
  ck_assert_int_eq (stage_count (&s->db[0], "COMMIT"), 0);
  stage_free (s);
}
END_TEST

/* Guards against a replica's answer that lacks the session's own write, after
   the session moved to another instance.  */
START_TEST (session_reads_own_write_at_another_instance)
{
  stage_t *s = stage_pair ();
  stage_client_t *c = start_at_non_owner (s, "own");

  s->db[0].number = 20;
  ASK (c, "QUERY q1 WRITE 7 data\r\n", "READY I -\r\n");
  fail_owner (s);
  stage_run (s, 200, NULL, NULL);
  ASK (c, "QUERY q2 READ 7\r\n", "COMPLETE sig-db0\r\nREADY I -\r\n");
  stage_free (s);
}
END_TEST

/* Guards against an instance that owns no connections staying ready in a zone
   that is cut off: it can't observe the primary itself.  */
START_TEST (loss_of_owner_and_control_is_cut_off)
{
  stage_t *s = stage_pair ();
  stage_client_t *c = start_at_non_owner (s, "lead");

  ASK (c, "QUERY q1 READ 7\r\n", "READY I -\r\n");
  s->control_leaderless[0] = s->control_leaderless[1] = true;
  stage_run (s, CONTROL_TIMEOUT + 300, NULL, NULL);
  ck_assert (proxy_ready (non_owner (s)));
  fail_owner (s);
  stage_run (s, 400, NULL, NULL);
  ck_assert (!proxy_ready (non_owner (s)));
  s->control_leaderless[0] = s->control_leaderless[1] = false;
  stage_run (s, 3000, NULL, NULL);
  ck_assert (proxy_ready (non_owner (s)));
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
  tcase_add_test (d, owners_stay_when_another_instance_leaves);
  tcase_add_test (d, owners_are_spread_evenly);
  tcase_add_test (d, an_assignment_mostly_stays_when_an_instance_leaves);
  suite_add_tcase (s, d);
  tcase_set_timeout (t, 30);
  tcase_add_test (t, statements_run_at_the_owner);
  tcase_add_test (t, prepared_statements_follow_the_session);
  tcase_add_test (t, transaction_runs_at_the_owner);
  tcase_add_test (t, write_is_in_doubt_after_owner_fails);
  tcase_add_test (t, read_runs_locally_after_owner_fails);
  tcase_add_test (t, part_of_an_answer_is_dropped_with_its_owner);
  tcase_add_test (t, write_has_one_answer_after_its_owner_fails);
  tcase_add_test (t, transaction_aborts_after_owner_fails);
  tcase_add_test (t, session_reads_own_write_at_another_instance);
  tcase_add_test (t, loss_of_owner_and_control_is_cut_off);
  suite_add_tcase (s, t);
  SRunner *r = srunner_create (s);
  srunner_run_all (r, CK_NORMAL);
  int failed = srunner_ntests_failed (r);
  srunner_free (r);
  return failed ? 1 : 0;
}
