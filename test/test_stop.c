/* A planned stop of an entry instance: everything that it accepted is
   answered.  */

#include "../lib/proxy/local.h"
#include "stage.h"

#include <string.h>

/* Runs the loop for MS though the proxy, which has closed its last session,
   ends it in each turn.  */
static void
run_stopped (stage_t *s, msec_t ms)
{
  msec_t end = msec_now () + ms;

  while (msec_now () < end)
    stage_run (s, 5, NULL, NULL);
}

/* Guards against a planned stop that aborts an open transaction, and against
   one that keeps an idle session open.  */
START_TEST (stop_lets_open_transaction_finish)
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
  c->received[0] = '\0';
  stage_send (c, "QUERY c1 COMMIT\r\n");
  /* The proxy closes its last session with the answer, and ends the loop
     before the client has read it.  */
  run_stopped (s, 200);
  ck_assert_ptr_nonnull (strstr (c->received, "COMPLETE sig-db0\r\nREADY I"));
  ck_assert (c->closed);
  stage_free (s);
}
END_TEST

/* Guards against a session whose client sends statements without a pause and
   which is still open, with one in progress, when the process has to end.  */
START_TEST (stop_closes_a_session_after_its_answer)
{
  enum
  {
    CLIENTS = 10,
    CLOSE_TIME = 8 /* ms to the close, a third of CLOSE_INTERVAL */
  };
  stage_t *s = stage_new (true);
  stage_client_t *c[CLIENTS];

  for (int i = 0; i < CLIENTS; i++)
    {
      c[i] = stage_session (s, "own");
      ASK (c[i], "QUERY b BEGIN\r\n", "READY T");
    }
  proxy_stop (s->proxy);
  stage_run (s, DRAIN_DELAY + 100, NULL, NULL);
  /* The loop stops when the last session is closed.  */
  for (int i = 0; i < CLIENTS - 1; i++)
    {
      ck_assert (!c[i]->closed);
      ASK (c[i], "QUERY e ROLLBACK\r\n", "READY I");
      stage_run (s, CLOSE_TIME, NULL, NULL);
      ck_assert_msg (c[i]->closed, "session %d is open", i);
    }
  stage_free (s);
}
END_TEST

/* A session whose transaction has written.  */
static stage_client_t *
session_in_tx (stage_t *s)
{
  stage_client_t *c = stage_session (s, "own");

  ASK (c, "QUERY b BEGIN\r\n", "READY T");
  ASK (c, "QUERY w1 WRITE 1 a\r\n", "READY T");
  return c;
}

/* A stage whose statements and idle transactions have other time limits.  */
static stage_t *
stage_with_limits (msec_t timeout, msec_t tx_idle)
{
  stage_t *s = stage_new (true);

  s->timeout = timeout;
  s->tx_idle = tx_idle;
  s->version = 2;
  stage_run (s, 700, NULL, NULL);
  return s;
}

/* Guards against a statement of an open transaction that is accepted late in a
   planned stop and cut off when the process ends: after the first half of the
   grace period it is refused, but for a COMMIT that can be answered in time
   (review/4).  */
START_TEST (stop_refuses_late_statements_of_transactions)
{
  stage_t *s = stage_with_limits (500, 10000);
  stage_client_t *a = session_in_tx (s);
  stage_client_t *b = session_in_tx (s);
  stage_client_t *c = stage_session (s, "own");

  ASK (c, "QUERY c1 BEGIN\r\n", "READY T");
  proxy_stop (s->proxy);
  stage_run (s, 2900, NULL, NULL);
  ASK (a, "QUERY a3 READ 1\r\n", "READY T");
  stage_run (s, 200, NULL, NULL);
  ASK (a, "QUERY a4 READ 1\r\n", "ERROR ABORTED");
  ck_assert_ptr_nonnull (strstr (a->received, "READY E"));
  ASK (c, "QUERY c2 READ 1\r\n", "ERROR ABORTED");
  ASK (b, "QUERY b3 COMMIT\r\n", "COMPLETE sig-db0\r\nREADY I");
  ck_assert_int_eq (stage_count (&s->db[0], "a4 READ"), 0);
  ck_assert_int_eq (stage_count (&s->db[0], "T- ROLLBACK"), 1);
  stage_free (s);
}
END_TEST

/* Guards against a stop that cuts all sessions off at once when the settings
   name no grace period.  */
START_TEST (stop_without_a_grace_period_drains)
{
  stage_t *s = stage_new (true);
  stage_client_t *c = session_in_tx (s);

  s->proxy->conf.grace = 0;
  proxy_stop (s->proxy);
  stage_run (s, 1000, NULL, NULL);
  ASK (c, "QUERY r1 READ 1\r\n", "READY T");
  stage_free (s);
}
END_TEST

/* Guards against a COMMIT that is accepted although its answer may come only
   after the end of the process.  */
START_TEST (stop_refuses_a_commit_without_time)
{
  stage_t *s = stage_with_limits (2000, 10000);
  stage_client_t *c = session_in_tx (s);

  proxy_stop (s->proxy);
  stage_run (s, 4000, NULL, NULL);
  c->received[0] = '\0';
  stage_send (c, "QUERY c3 COMMIT\r\n");
  run_stopped (s, 200);
  ck_assert_ptr_nonnull (strstr (c->received, "ERROR ABORTED"));
  ck_assert_int_eq (stage_count (&s->db[0], "c3 COMMIT"), 0);
  stage_free (s);
}
END_TEST

static bool
has_ready (void *arg)
{
  const stage_client_t *c = arg;

  return strstr (c->received, "READY ") || c->closed;
}

static bool
is_closed (void *arg)
{
  return ((const stage_client_t *)arg)->closed;
}

/* Guards against statements whose database is silent and that are cut off
   without an answer at the end of a planned stop.  */
START_TEST (stop_answers_what_is_in_progress)
{
  stage_t *s = stage_with_limits (8000, 3000);
  stage_client_t *a = session_in_tx (s);
  stage_client_t *b = session_in_tx (s);
  stage_client_t *c = stage_session (s, "lead");

  proxy_stop (s->proxy);
  stage_run (s, 2000, NULL, NULL);
  for (int i = 0; i < STAGE_DBS; i++)
    s->db[i].ignore_all = true;
  a->received[0] = b->received[0] = c->received[0] = '\0';
  stage_send (a, "QUERY a3 WRITE 1 a\r\n");
  stage_send (b, "QUERY b3 COMMIT\r\n");
  stage_send (c, "QUERY c1 READ 1\r\n");
  /* The loop ends with the process.  */
  stage_run (s, 4500, NULL, NULL);
  ck_assert_int_lt (msec_now () - s->proxy->stop_at, s->proxy->conf.grace);
  run_stopped (s, 50);
  ck_assert_ptr_nonnull (strstr (a->received, "ERROR ABORTED"));
  ck_assert_ptr_nonnull (strstr (b->received, "ERROR INDOUBT"));
  ck_assert_ptr_nonnull (strstr (c->received, "ERROR "));
  stage_free (s);
}
END_TEST

/* Guards against a client that sends each statement right after the answer to
   the one before, and is cut off: its session is closed with an answer.  */
START_TEST (stop_closes_a_busy_session_with_an_answer)
{
  stage_t *s = stage_new (true);
  stage_client_t *c = stage_session (s, "own");

  proxy_stop (s->proxy);
  stage_run (s, DRAIN_DELAY - 100, NULL, NULL);
  while (!stage_run (s, 1, is_closed, c))
    {
      c->received[0] = '\0';
      stage_send (c, "QUERY r READ 1\r\n");
      for (int i = 0; i < 1000 && !has_ready (c); i++)
        stage_run (s, 1, has_ready, c);
      ck_assert_ptr_nonnull (strstr (c->received, "READY I"));
      ck_assert_int_lt (msec_now () - s->proxy->stop_at,
                        s->proxy->conf.grace / 2 + 500);
    }
  stage_free (s);
}
END_TEST

int
main (void)
{
  Suite *s = suite_create ("stop");
  TCase *t = tcase_create ("sessions");

  tcase_set_timeout (t, 30);
  tcase_add_test (t, stop_lets_open_transaction_finish);
  tcase_add_test (t, stop_closes_a_session_after_its_answer);
  tcase_add_test (t, stop_refuses_late_statements_of_transactions);
  tcase_add_test (t, stop_without_a_grace_period_drains);
  tcase_add_test (t, stop_refuses_a_commit_without_time);
  tcase_add_test (t, stop_answers_what_is_in_progress);
  tcase_add_test (t, stop_closes_a_busy_session_with_an_answer);
  suite_add_tcase (s, t);
  SRunner *r = srunner_create (s);
  srunner_run_all (r, CK_ENV);
  int failed = srunner_ntests_failed (r);
  srunner_free (r);
  return failed != 0;
}
