/* Limits on clients of a proxy, in the loop of the test: what is not read, who
   is closed and who is not.  */

#include "stage.h"

#include <stdio.h>
#include <string.h>

enum
{
  SESSIONS = 6,
  SETTINGS = 40, /* of a session */
  VALUE = 10000  /* bytes */
};

static bool
is_closed (void *arg)
{
  return ((const stage_client_t *)arg)->closed;
}

static void
send_bytes (stage_client_t *c, size_t n)
{
  buf_t *out = stream_out (c->stream);

  memset (buf_room (out, n), 'x', n);
  out->n += n;
  stream_flush (c->stream);
}

/* Guards against clients that stop within a message and keep what they have
   sent in memory for ever.  */
START_TEST (half_sent_message_is_closed)
{
  stage_t *s = stage_new (true);
  stage_client_t *half = stage_session (s, "lead");
  stage_client_t *idle = stage_session (s, "lead");

  stage_send (half, "QUERY a RE");
  stage_run (s, 3000, is_closed, half);
  ck_assert (half->closed);
  ck_assert (strstr (half->received, "ERROR TIMEOUT "));
  ASK (idle, "QUERY b READ item\r\n", "COMPLETE ");
  stage_free (s);
}
END_TEST

/* Guards against buffers that grow with what a client sends ahead: it stays
   with the client while a statement awaits its answer.  */
START_TEST (messages_sent_ahead_are_not_read)
{
  enum
  {
    AHEAD = 7 << 20 /* bytes, more than both sockets hold */
  };
  stage_t *s = stage_new (true);
  stage_client_t *c = stage_session (s, "lead");

  for (int i = 0; i < STAGE_DBS; i++)
    s->db[i].ignore_all = true;
  stage_send (c, "QUERY a READ item\r\n");
  for (int i = 0; i < 7; i++)
    {
      stage_send (c, "QUERY b READ ");
      send_bytes (c, AHEAD / 7 - 100);
      stage_send (c, "\r\n");
    }
  stage_run (s, 400, is_closed, c);
  ck_assert (!c->closed);
  ck_assert_uint_gt (buf_len (stream_out (c->stream)), AHEAD / 4);
  stage_free (s);
}
END_TEST

/* Guards against sessions that are bounded one by one while their sum is not:
   the largest are closed, and one that holds little goes on.  */
START_TEST (largest_sessions_are_closed)
{
  stage_t *s = stage_new (true);
  stage_client_t *small = stage_session (s, "lead");
  stage_client_t *c[SESSIONS];
  byte_budget_t *b = loop_budget (s->loop);
  int closed = 0;
  char text[64];

  budget_set_limit (b, 2 << 20);
  for (int i = 0; i < SESSIONS; i++)
    {
      c[i] = stage_session (s, "lead");
      for (int k = 0; k < SETTINGS; k++)
        {
          snprintf (text, sizeof text, "QUERY a SET name%d ", k);
          stage_send (c[i], text);
          send_bytes (c[i], VALUE);
          stage_send (c[i], "\r\n");
        }
      stage_run (s, 300, is_closed, c[i]);
      ck_assert_uint_le (budget_used (b), 2 << 20);
    }
  for (int i = 0; i < SESSIONS; i++)
    closed += c[i]->closed;
  ck_assert_int_gt (closed, 0);
  ck_assert_int_lt (closed, SESSIONS);
  for (int i = 0; i < SESSIONS; i++)
    ck_assert (!c[i]->closed || strstr (c[i]->received, "ERROR BUSY "));
  ASK (small, "QUERY b READ item\r\n", "COMPLETE ");
  stage_free (s);
}
END_TEST

/* Guards against a message within the limits that finds no room although
   nobody else needs any.  */
START_TEST (single_large_message_is_served)
{
  stage_t *s = stage_new (true);
  stage_client_t *c = stage_session (s, "lead");

  budget_set_limit (loop_budget (s->loop), 16 << 20);
  stage_send (c, "QUERY a SET name ");
  send_bytes (c, (1 << 20) - 64);
  ASK (c, "\r\n", "COMPLETE ");
  stage_free (s);
}
END_TEST

static bool
is_complete (void *arg)
{
  const stage_client_t *c = arg;

  return strstr (c->received, "COMPLETE ") != NULL;
}

/* Guards against messages that wait for memory which only the others that wait
   hold: once all wait, nothing would ever be received again.  */
START_TEST (messages_that_wait_for_memory_go_on)
{
  enum
  {
    CLIENTS = 36,
    FIRST = 16500, /* bytes, more than are received without a reservation */
    REST = 3500
  };
  stage_t *s = stage_new (true);
  stage_client_t *c[CLIENTS];

  budget_set_limit (loop_budget (s->loop), 4 << 20);
  for (int i = 0; i < CLIENTS; i++)
    c[i] = stage_session (s, "lead");
  for (int i = 0; i < CLIENTS; i++)
    {
      stage_send (c[i], "QUERY a SET name ");
      send_bytes (c[i], FIRST);
    }
  stage_run (s, 200, is_closed, c[0]);
  for (int i = 0; i < CLIENTS; i++)
    {
      send_bytes (c[i], REST);
      stage_send (c[i], "\r\n");
    }
  for (int i = 0; i < CLIENTS; i++)
    ck_assert_msg (stage_run (s, 2000, is_complete, c[i]), "client %d", i);
  stage_free (s);
}
END_TEST

int
main (void)
{
  Suite *s = suite_create ("clients");
  TCase *t = tcase_create ("limits");

  tcase_set_timeout (t, 60);
  tcase_add_test (t, half_sent_message_is_closed);
  tcase_add_test (t, messages_sent_ahead_are_not_read);
  tcase_add_test (t, largest_sessions_are_closed);
  tcase_add_test (t, single_large_message_is_served);
  tcase_add_test (t, messages_that_wait_for_memory_go_on);
  suite_add_tcase (s, t);
  SRunner *r = srunner_create (s);
  srunner_run_all (r, CK_ENV);
  int failed = srunner_ntests_failed (r);
  srunner_free (r);
  return failed != 0;
}
