#include "../lib/proxy/local.h"
#include "stage.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define ASK(c, text, want)                                                    \
  ck_assert_msg (stage_request (c, text, want), "got: %s", (c)->received)

/* Guards against a read of a primary route on a database that has lost the
   lead: it runs in a transaction that only the leader begins.  */
START_TEST (read_of_primary_is_proven)
{
  stage_t *s = stage_new (true);
  stage_client_t *c = stage_session (s, "lead");

  ASK (c, "QUERY r1 READ 7\r\n", "READY I");
  ck_assert_ptr_nonnull (
      strstr (c->received, "ROW db0\r\nCOMPLETE sig-db0\r\n"));
  ck_assert_ptr_nonnull (
      strstr (s->db[0].log, "I- BEGIN|\nTr1 READ 7|\nT- ROLLBACK|\n"));
  stage_free (s);
}
END_TEST

/* Guards against a stale read: it must not even be sent to a database that no
   longer leads, whose log lacks what its successor committed.  Found by the
   soak, seed 1.  */
START_TEST (old_primary_runs_no_read)
{
  stage_t *s = stage_new (true);
  stage_client_t *c = stage_session (s, "lead");

  ASK (c, "QUERY r1 READ 7\r\n", "READY I");
  s->db[0].primary = false;
  s->db[1].primary = true;
  s->db[1].term = 2;
  s->roster++;
  ASK (c, "QUERY r2 READ 7\r\n", "READY I");
  ck_assert_ptr_nonnull (strstr (c->received, "ROW db1"));
  ck_assert_ptr_null (strstr (c->received, "db0"));
  ck_assert_int_eq (stage_count (&s->db[0], "r2 READ"), 0);
  stage_free (s);
}
END_TEST

/* Guards against a service without a primary, for as long as this instance is
   cut off from control, after another database was promoted.  Found by an
   incident of the users (inc-3eed).  */
START_TEST (new_primary_is_found_without_control)
{
  stage_t *s = stage_new (true);
  stage_client_t *c = stage_session (s, "lead");

  ASK (c, "QUERY r1 READ 7\r\n", "READY I");
  s->control_silent[0] = s->control_silent[1] = true;
  stage_run (s, 1500, NULL, NULL);
  s->db[0].primary = false;
  s->db[1].primary = true;
  s->db[1].term = 2;
  ASK (c, "QUERY r2 READ 7\r\n", "READY I");
  ck_assert_ptr_nonnull (strstr (c->received, "ROW db1"));
  ASK (c, "QUERY w1 WRITE 7 abc\r\n", "READY I");
  ck_assert_ptr_nonnull (strstr (c->received, "COMPLETE sig-db1"));
  ck_assert_int_eq (stage_count (&s->db[0], "r2 READ"), 0);
  ck_assert_int_eq (stage_count (&s->db[2], "r2 READ"), 0);
  stage_free (s);
}
END_TEST

/* Guards against reads that may be old being served without a position, and
   against a replica that lacks it being believed.  */
START_TEST (read_of_replica_names_a_position)
{
  stage_t *s = stage_new (true);
  stage_client_t *c = stage_session (s, "near");

  ASK (c, "QUERY r1 READ 7\r\n", "READY I");
  ASK (c, "QUERY r2 READ 7\r\n", "READY I");
  ck_assert_int_eq (stage_count (&s->db[1], "r2 AFTER 1.10 READ 7")
                        + stage_count (&s->db[2], "r2 AFTER 1.10 READ 7"),
                    1);
  ck_assert_int_eq (stage_count (&s->db[1], "r2 READ")
                        + stage_count (&s->db[2], "r2 READ"),
                    0);
  s->db[1].number = s->db[2].number = 3;
  ASK (c, "QUERY r3 READ 7\r\n", "READY I");
  ck_assert_ptr_nonnull (strstr (c->received, "ROW db0"));
  stage_free (s);
}
END_TEST

/* Guards against a session that does not see its own write on a replica.  */
START_TEST (session_sees_its_write)
{
  stage_t *s = stage_new (true);
  stage_client_t *c = stage_session (s, "own");

  ASK (c, "QUERY r1 READ 7\r\n", "READY I");
  ASK (c, "QUERY w1 WRITE 7 abc\r\n", "READY I");
  ASK (c, "QUERY r2 READ 7\r\n", "READY I");
  ck_assert_ptr_nonnull (strstr (c->received, "ROW db0"));
  ck_assert_int_eq (stage_count (&s->db[1], "r2 AFTER 1.11 READ")
                            + stage_count (&s->db[2], "r2 AFTER 1.11 READ")
                            + stage_count (&s->db[0], "r2 AFTER 1.11 READ")
                            + stage_count (&s->db[0], "r2 READ")
                        >= 1,
                    1);
  stage_free (s);
}
END_TEST

/* Guards against a write that is sent twice, or called not run, when the
   answer is lost.  */
START_TEST (lost_answer_of_write_is_in_doubt)
{
  stage_t *s = stage_new (true);
  stage_client_t *c = stage_session (s, "own");

  strcpy (s->db[0].disconnect_at, "WRITE");
  ASK (c, "QUERY w1 WRITE 7 abc\r\n", "READY I");
  ck_assert_ptr_nonnull (strstr (c->received, "ERROR INDOUBT"));
  ck_assert_int_eq (stage_count (&s->db[0], "w1 WRITE"), 1);
  ck_assert_int_eq (stage_count (&s->db[1], "w1"), 0);
  stage_free (s);
}
END_TEST

/* Guards against an answer that is held back for ever by a silent
   database.  */
START_TEST (silent_write_is_in_doubt_at_its_timeout)
{
  stage_t *s = stage_new (true);
  stage_client_t *c = stage_session (s, "own");

  ASK (c, "QUERY w0 WRITE 7 abc\r\n", "READY I");
  s->db[0].ignore_all = true;
  msec_t began = msec_now ();
  ASK (c, "QUERY w1 WRITE 7 abc\r\n", "READY I");
  ck_assert_ptr_nonnull (strstr (c->received, "ERROR INDOUBT"));
  ck_assert_int_le (msec_now () - began, s->timeout + 200);
  stage_free (s);
}
END_TEST

/* Guards against a read that is lost with its database: another serves it. */
START_TEST (silent_read_goes_elsewhere)
{
  stage_t *s = stage_new (true);
  stage_client_t *c = stage_session (s, "near");

  ASK (c, "QUERY r1 READ 7\r\n", "READY I");
  s->db[1].ignore_all = true;
  ASK (c, "QUERY r2 READ 7\r\n", "READY I");
  ck_assert_ptr_nonnull (strstr (c->received, "COMPLETE sig-"));
  stage_free (s);
}
END_TEST

/* Guards against a database that is left alone, with its connections closed,
   because one answer was lost while it answers others; and against a read that
   waits for a lost answer up to its limit.  */
START_TEST (lost_answer_is_not_a_lost_database)
{
  stage_t *s = stage_new (true);
  stage_client_t *a = stage_session (s, "lead");
  stage_client_t *b = stage_session (s, "lead");

  s->timeout = 1500;
  s->version++;
  stage_run (s, 700, NULL, NULL);
  ASK (a, "QUERY a1 BEGIN\r\n", "READY T");
  ASK (a, "QUERY a2 WRITE 7 x\r\n", "READY T");
  ASK (b, "QUERY b1 READ 7\r\n", "READY I");
  strcpy (s->db[0].ignore_at, "READ");
  b->received[0] = '\0';
  stage_send (b, "QUERY b2 READ 7\r\n");
  stage_run (s, 50, NULL, NULL);
  ASK (a, "QUERY a3 WRITE 7 x\r\n", "READY T");
  stage_run (s, 350, NULL, NULL);
  ck_assert_ptr_nonnull (strstr (b->received, "COMPLETE sig-db0"));
  const db_t *d = service_get (s->proxy, STR ("svc"))->leader;
  ck_assert_int_eq (d->avoid, 0);
  ASK (a, "QUERY a4 COMMIT\r\n", "COMPLETE sig-db0\r\nREADY I");
  stage_free (s);
}
END_TEST

/* Guards against a transaction whose parts run on two connections, and against
   its outcome being told wrong.  */
START_TEST (transaction_keeps_its_connection)
{
  stage_t *s = stage_new (true);
  stage_client_t *c = stage_session (s, "own");
  stage_client_t *o = stage_session (s, "lead");

  ASK (c, "QUERY b BEGIN\r\n", "READY T");
  ASK (c, "QUERY w1 WRITE 1 a\r\n", "READY T");
  ASK (o, "QUERY w2 WRITE 2 b\r\n", "READY I");
  ASK (c, "QUERY r1 READ 1\r\n", "READY T");
  ASK (c, "QUERY c1 COMMIT\r\n", "READY I");
  ck_assert_ptr_nonnull (strstr (c->received, "COMPLETE sig-db0"));
  ck_assert_int_eq (stage_count (&s->db[0], "Tw1 WRITE"), 1);
  ck_assert_int_eq (stage_count (&s->db[0], "Tr1 READ"), 1);
  ck_assert_int_eq (stage_count (&s->db[0], "Iw2 WRITE"), 1);
  ck_assert_int_eq (stage_count (&s->db[0], "Tc1 COMMIT"), 1);
  stage_free (s);
}
END_TEST

/* Guards against a lost COMMIT being called not kept.  */
START_TEST (lost_commit_is_in_doubt)
{
  stage_t *s = stage_new (true);
  stage_client_t *c = stage_session (s, "own");

  strcpy (s->db[0].disconnect_at, "COMMIT");
  ASK (c, "QUERY b BEGIN\r\n", "READY T");
  ASK (c, "QUERY w1 WRITE 1 a\r\n", "READY T");
  ASK (c, "QUERY c1 COMMIT\r\n", "READY I");
  ck_assert_ptr_nonnull (strstr (c->received, "ERROR INDOUBT"));
  stage_free (s);
}
END_TEST

/* Guards against a statement after a lost connection starting a second
   transaction that its client believes to be the first.  */
START_TEST (transaction_lost_while_idle_is_told)
{
  stage_t *s = stage_new (true);
  stage_client_t *c = stage_session (s, "own");

  s->tx_idle = 100;
  s->version = 2;
  s->roster++;
  stage_run (s, 500, NULL, NULL);
  ASK (c, "QUERY b BEGIN\r\n", "READY T");
  ASK (c, "QUERY w1 WRITE 1 a\r\n", "READY T");
  stage_run (s, 700, NULL, NULL);
  ASK (c, "QUERY w2 WRITE 1 b\r\n", "READY E");
  ck_assert_ptr_nonnull (strstr (c->received, "ERROR ABORTED"));
  ASK (c, "QUERY e ROLLBACK\r\n", "READY I");
  ck_assert_int_eq (stage_count (&s->db[0], "w2 WRITE"), 0);
  ck_assert_int_eq (stage_count (&s->db[0], "- ROLLBACK"), 1);
  stage_free (s);
}
END_TEST

/* Guards against the same when the database closed the connection.  */
START_TEST (transaction_dropped_by_the_database_is_told)
{
  stage_t *s = stage_new (true);
  stage_client_t *c = stage_session (s, "own");

  ASK (c, "QUERY b BEGIN\r\n", "READY T");
  ASK (c, "QUERY w1 WRITE 1 a\r\n", "READY T");
  stage_disconnect (&s->db[0]);
  stage_run (s, 100, NULL, NULL);
  ASK (c, "QUERY c1 COMMIT\r\n", "READY I");
  ck_assert_ptr_nonnull (strstr (c->received, "ERROR ABORTED"));
  ck_assert_int_eq (stage_count (&s->db[0], "c1 COMMIT"), 0);
  stage_free (s);
}
END_TEST

/* Guards against a connection that keeps what a session that left had begun.
 */
START_TEST (client_that_leaves_is_rolled_back)
{
  stage_t *s = stage_new (true);
  stage_client_t *c = stage_session (s, "own");

  ASK (c, "QUERY b BEGIN\r\n", "READY T");
  ASK (c, "QUERY w1 WRITE 1 a\r\n", "READY T");
  stream_close (c->stream);
  stage_run (s, 100, NULL, NULL);
  stage_client_t *o = stage_session (s, "own");
  ASK (o, "QUERY w2 WRITE 2 b\r\n", "READY I");
  ck_assert_int_eq (stage_count (&s->db[0], "T- ROLLBACK"), 1);
  ck_assert_int_eq (stage_count (&s->db[0], "Iw2 WRITE"), 1);
  stage_free (s);
}
END_TEST

/* Guards against a statement that runs under another session's values.  */
START_TEST (values_do_not_mix)
{
  stage_t *s = stage_new (true);
  stage_client_t *a = stage_session (s, "own");
  stage_client_t *b = stage_session (s, "own");
  stage_client_t *c = stage_session (s, "own");

  ASK (a, "QUERY s1 SET tz north\r\n", "READY I");
  ASK (b, "QUERY s2 SET tz south\r\n", "READY I");
  for (int i = 0; i < 3; i++)
    {
      ASK (a, "QUERY wa WRITE 1 a\r\n", "READY I");
      ASK (b, "QUERY wb WRITE 1 b\r\n", "READY I");
      ASK (c, "QUERY wc WRITE 1 c\r\n", "READY I");
    }
  ck_assert_int_eq (stage_count (&s->db[0], "wa WRITE 1 a|tz north"), 3);
  ck_assert_int_eq (stage_count (&s->db[0], "wb WRITE 1 b|tz south"), 3);
  ck_assert_int_eq (stage_count (&s->db[0], "wc WRITE 1 c|\n"), 3);
  stage_free (s);
}
END_TEST

/* Guards against a prepared name that runs another session's shape.  */
START_TEST (prepared_names_do_not_mix)
{
  stage_t *s = stage_new (true);
  stage_client_t *a = stage_session (s, "lead");
  stage_client_t *b = stage_session (s, "lead");

  ASK (a, "QUERY p PREPARE s1 WRITE q2c\r\n", "COMPLETE -");
  ASK (b, "QUERY p PREPARE s1 READ q9\r\n", "COMPLETE -");
  ASK (a, "QUERY e1 EXECUTE s1 5 data\r\n", "READY I");
  ASK (b, "QUERY e2 EXECUTE s1 5\r\n", "READY I");
  ck_assert_int_eq (stage_count (&s->db[0], "- PREPARE wq2c WRITE q2c"), 1);
  ck_assert_int_eq (stage_count (&s->db[0], "e1 EXECUTE wq2c 5 data"), 1);
  ck_assert_int_eq (stage_count (&s->db[0], "e2 EXECUTE rq9 5"), 1);
  ASK (b, "QUERY d DEALLOCATE s1\r\n", "COMPLETE -");
  ASK (b, "QUERY e3 EXECUTE s1 5\r\n", "ERROR NOSTMT");
  stage_free (s);
}
END_TEST

/* Guards against bytes that two readers split differently.  */
START_TEST (bare_line_ends_are_refused)
{
  static const char *const bad[]
      = { "QUERY a READ 1\nQUERY b WRITE 1 x\r\n",
          "QUERY a READ 1\rQUERY b WRITE 1 x\r\n", "HELLO\r\n", "\r\n" };

  stage_t *s = stage_new (true);
  for (size_t i = 0; i < sizeof bad / sizeof *bad; i++)
    {
      stage_client_t *c = stage_session (s, "own");
      ASK (c, bad[i], "ERROR MALFORMED");
      stage_run (s, 50, NULL, NULL);
      ck_assert (c->closed);
    }
  for (int i = 0; i < STAGE_DBS; i++)
    ck_assert_int_eq (stage_count (&s->db[i], "WRITE"), 0);
  stage_free (s);
}
END_TEST

/* Guards against sessions that never finish their start-up message: they were
   kept for ever.  */
START_TEST (startup_has_a_deadline)
{
  stage_t *s = stage_new (true);
  stage_client_t *c = stage_client (s);

  ASK (c, "STARTUP ow", "ERROR TIMEOUT");
  stage_run (s, 50, NULL, NULL);
  ck_assert (c->closed);
  stage_free (s);
}
END_TEST

/* Guards against a database that does not exist being told before the
   configuration is known, and against waiting for it without an end.  */
START_TEST (session_waits_for_the_configuration)
{
  stage_t *s = stage_new (false);
  stage_client_t *c = stage_client (s);

  stage_send (c, "STARTUP own u1\r\n");
  stage_run (s, 300, NULL, NULL);
  ck_assert_str_eq (c->received, "");
  s->version = 1;
  s->roster++;
  ASK (c, "", "READY I");
  stage_free (s);

  s = stage_new (false);
  c = stage_client (s);
  /* The proxy under test has a start-up deadline of 700 ms.  */
  ASK (c, "STARTUP own u1\r\n", "ERROR ");
  ck_assert_ptr_null (strstr (c->received, "NODB"));
  stage_free (s);
}
END_TEST

/* Guards against an unknown name being served, and a new one not.  */
START_TEST (routes_follow_the_configuration)
{
  stage_t *s = stage_new (true);
  stage_client_t *c = stage_client (s);

  ASK (c, "STARTUP new u1\r\n", "ERROR NODB");
  s->extra_route = true;
  s->version = 2;
  stage_run (s, 500, NULL, NULL);
  c = stage_session (s, "new");
  s->extra_route = false;
  s->version = 3;
  stage_run (s, 500, NULL, NULL);
  ASK (c, "QUERY r READ 1\r\n", "ERROR NODB");
  stage_free (s);
}
END_TEST

/* Guards against a new watch connection being judged by the silence of the
   last one: the proxy then never heard of a configuration again.  */
START_TEST (watch_survives_a_silent_control_instance)
{
  stage_t *s = stage_new (true);

  s->control_silent[0] = s->control_silent[1] = true;
  stage_run (s, 1300, NULL, NULL);
  s->control_silent[1] = false;
  s->extra_route = true;
  s->version = 2;
  stage_run (s, 2500, NULL, NULL);
  stage_session (s, "new");
  stage_free (s);
}
END_TEST

/* Guards against an instance that stays with a control instance which no
   quorum follows: it misses changes.  */
START_TEST (watch_leaves_an_instance_without_a_leader)
{
  stage_t *s = stage_new (true);

  s->control_leaderless[0] = true;
  stage_run (s, 600, NULL, NULL);
  s->extra_route = true;
  s->version = 2;
  stage_run (s, 900, NULL, NULL);
  stage_session (s, "new");
  stage_free (s);
}
END_TEST

/* Guards against reports that leave the zone though a control instance is in
   it, and against one that stays there when that instance is lost.  */
START_TEST (watch_prefers_the_own_zone)
{
  for (int near = 0; near < 2; near++)
    {
      stage_t *s = stage_new (false);
      s->control_zone[near] = "z1";
      s->control_zone[!near] = "z2";
      s->version = 1;
      stage_run (s, 700, NULL, NULL);
      int before = s->reports[!near];
      stage_run (s, 1000, NULL, NULL);
      ck_assert_int_eq (s->reports[!near], before);
      ck_assert_int_ge (s->reports[near], 3);
      s->control_silent[near] = true;
      stage_run (s, 2000, NULL, NULL);
      ck_assert_int_gt (s->reports[!near], before);
      stage_free (s);
    }
}
END_TEST

/* Guards against new work for a database that leaves.  */
START_TEST (leaving_database_gets_no_work)
{
  stage_t *s = stage_new (true);
  stage_client_t *c = stage_session (s, "near");

  ASK (c, "QUERY r1 READ 7\r\n", "READY I");
  s->db[1].leaving = true;
  s->roster++;
  stage_run (s, 500, NULL, NULL);
  int before = stage_count (&s->db[1], "READ");
  for (int i = 0; i < 10; i++)
    ASK (c, "QUERY r2 READ 7\r\n", "READY I");
  ck_assert_int_eq (stage_count (&s->db[1], "READ"), before);
  stage_free (s);
}
END_TEST

/* Guards against a planned stop that cuts an open transaction, and against one
   that does not end.  */
START_TEST (stop_lets_a_transaction_end)
{
  stage_t *s = stage_new (true);
  stage_client_t *c = stage_session (s, "own");
  stage_client_t *idle = stage_session (s, "own");

  ASK (c, "QUERY b BEGIN\r\n", "READY T");
  ASK (c, "QUERY w1 WRITE 1 a\r\n", "READY T");
  proxy_stop (s->proxy);
  ck_assert (!proxy_ready (s->proxy));
  s->until = msec_now () + 2600;
  s->done = NULL;
  stage_run (s, 2600, NULL, NULL);
  ck_assert (idle->closed && !c->closed);
  ASK (c, "QUERY c1 COMMIT\r\n", "READY I");
  ck_assert_ptr_nonnull (strstr (c->received, "COMPLETE sig-db0"));
  stage_free (s);
}
END_TEST

static bool
not_ready (void *arg)
{
  return !proxy_ready (((stage_t *)arg)->proxy);
}

static bool
ready_again (void *arg)
{
  return proxy_ready (((stage_t *)arg)->proxy);
}

/* Guards against a session that sends one statement after the other and is
   still open, with one under way, when the process has to end.  */
START_TEST (stop_closes_a_session_after_its_answer)
{
  enum
  {
    CLIENTS = 10,
    PROMPT = 8 /* ms, a third of the time between sweeps */
  };
  stage_t *s = stage_new (true);
  stage_client_t *c[CLIENTS];

  for (int i = 0; i < CLIENTS; i++)
    {
      c[i] = stage_session (s, "own");
      ASK (c[i], "QUERY b BEGIN\r\n", "READY T");
    }
  proxy_stop (s->proxy);
  stage_run (s, NOT_READY_TIME + 100, NULL, NULL);
  /* The loop ends with the last session.  */
  for (int i = 0; i < CLIENTS - 1; i++)
    {
      ck_assert (!c[i]->closed);
      ASK (c[i], "QUERY e ROLLBACK\r\n", "READY I");
      stage_run (s, PROMPT, NULL, NULL);
      ck_assert_msg (c[i]->closed, "session %d is open", i);
    }
  stage_free (s);
}
END_TEST

/* Guards against clients that stay in a zone that is cut off, and against an
   instance that leaves for the loss of control or a primary alone.  */
START_TEST (cut_off_instance_is_not_ready)
{
  stage_t *s = stage_new (true);
  stage_client_t *c = stage_session (s, "own");

  ASK (c, "QUERY w0 WRITE 7 abc\r\n", "READY I");
  s->control_silent[0] = s->control_silent[1] = true;
  ck_assert (!stage_run (s, 2000, not_ready, s));
  s->db[0].ignore_all = s->db[0].ignore_startup = true;
  stage_request (c, "QUERY w1 WRITE 7 abc\r\n", "READY I");
  ck_assert (stage_run (s, 2000, not_ready, s));
  s->db[0].ignore_all = s->db[0].ignore_startup = false;
  s->control_silent[0] = s->control_silent[1] = false;
  ck_assert (stage_run (s, 3000, ready_again, s));
  stage_free (s);
}
END_TEST

/* Guards against clients that stay with an instance that is cut off from
   control together with a primary that has been replaced: it answers, and
   leads no more.  Found by an incident of the users (inc-3eed).  */
START_TEST (cut_off_with_a_replaced_primary_is_not_ready)
{
  stage_t *s = stage_new (true);
  stage_client_t *c = stage_session (s, "own");

  ASK (c, "QUERY w0 WRITE 7 abc\r\n", "READY I");
  s->db[0].primary = false;
  stage_request (c, "QUERY w1 WRITE 7 abc\r\n", "READY I");
  ck_assert (!stage_run (s, 1500, not_ready, s));
  s->control_silent[0] = s->control_silent[1] = true;
  ck_assert (stage_run (s, 3000, not_ready, s));
  s->control_silent[0] = s->control_silent[1] = false;
  ck_assert (stage_run (s, 3000, ready_again, s));
  stage_free (s);
}
END_TEST

int
main (void)
{
  Suite *s = suite_create ("proxy");
  TCase *t = tcase_create ("sessions");

  tcase_set_timeout (t, 30);
  tcase_add_test (t, read_of_primary_is_proven);
  tcase_add_test (t, old_primary_runs_no_read);
  tcase_add_test (t, new_primary_is_found_without_control);
  tcase_add_test (t, read_of_replica_names_a_position);
  tcase_add_test (t, session_sees_its_write);
  tcase_add_test (t, lost_answer_of_write_is_in_doubt);
  tcase_add_test (t, silent_write_is_in_doubt_at_its_timeout);
  tcase_add_test (t, silent_read_goes_elsewhere);
  tcase_add_test (t, lost_answer_is_not_a_lost_database);
  tcase_add_test (t, transaction_keeps_its_connection);
  tcase_add_test (t, lost_commit_is_in_doubt);
  tcase_add_test (t, transaction_lost_while_idle_is_told);
  tcase_add_test (t, transaction_dropped_by_the_database_is_told);
  tcase_add_test (t, client_that_leaves_is_rolled_back);
  tcase_add_test (t, values_do_not_mix);
  tcase_add_test (t, prepared_names_do_not_mix);
  tcase_add_test (t, bare_line_ends_are_refused);
  tcase_add_test (t, startup_has_a_deadline);
  tcase_add_test (t, session_waits_for_the_configuration);
  tcase_add_test (t, routes_follow_the_configuration);
  tcase_add_test (t, watch_survives_a_silent_control_instance);
  tcase_add_test (t, watch_leaves_an_instance_without_a_leader);
  tcase_add_test (t, watch_prefers_the_own_zone);
  tcase_add_test (t, leaving_database_gets_no_work);
  tcase_add_test (t, stop_lets_a_transaction_end);
  tcase_add_test (t, stop_closes_a_session_after_its_answer);
  tcase_add_test (t, cut_off_instance_is_not_ready);
  tcase_add_test (t, cut_off_with_a_replaced_primary_is_not_ready);
  suite_add_tcase (s, t);
  SRunner *r = srunner_create (s);
  srunner_run_all (r, CK_ENV);
  int failed = srunner_ntests_failed (r);
  srunner_free (r);
  return failed != 0;
}
