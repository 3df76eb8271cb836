/* The operator tool against control instances that give scripted answers.  */

#include "rpc.h"

#include <apr_general.h>
#include <arpa/inet.h>
#include <check.h>
#include <poll.h>
#include <pthread.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

enum
{
  MAX_IDS = 64
};

/* The answer to one submission: a submit_status_t, or DROP to close the
   connection without an answer.  */
enum
{
  DROP = -1
};
typedef int submit_step_t;

/* A control instance that answers submissions with STEPS and queries with
   STATUS, in order; the last one of each repeats.  */
typedef struct
{
  int fd;
  str_t address;
  int stop[2];
  pthread_t thread;
  const submit_step_t *steps;
  int nsteps;
  const char *const *status;
  int nstatus;
  str_t leader; /* named in answers */
  int submits;
  int queries;
  char ids[MAX_IDS][64];
  submit_t last;
  char operator_name[32];
} fake_control_t;

static apr_pool_t *pool;
static char *tool;

static void
answer_submit (fake_control_t *f, const submit_t *s, buf_t *out)
{
  int i = f->submits < f->nsteps ? f->submits : f->nsteps - 1;
  submit_resp_t r = { .status = f->steps[i],
                      .version = s->base + 1,
                      .index = 41,
                      .by = STR ("linh"),
                      .detail = STR ("too many instances") };

  if (r.status == SUBMIT_NOT_LEADER)
    r.leader = f->leader;
  if (f->submits < MAX_IDS)
    snprintf (f->ids[f->submits], sizeof f->ids[0], STR_FMT, STR_ARG (s->id));
  f->submits++;
  f->last = *s;
  snprintf (f->operator_name, sizeof f->operator_name, STR_FMT,
            STR_ARG (s->operator_name));
  if (f->steps[i] != DROP)
    rpc_encode (out, MSG_SUBMIT_RESP, &r);
}

static void
answer_query (fake_control_t *f, buf_t *out)
{
  int i = f->queries < f->nstatus ? f->queries : f->nstatus - 1;
  query_resp_t r
      = { .ok = true, .text = str_of (f->status[i]), .leader = f->leader };

  f->queries++;
  rpc_encode (out, MSG_QUERY_RESP, &r);
}

static void
serve (fake_control_t *f, int fd)
{
  apr_pool_t *p;
  buf_t b;
  buf_t out;
  str_t body;
  msgtype_t type = 0;
  void *msg = NULL;

  apr_pool_create (&p, NULL);
  buf_init (&b);
  buf_init (&out);
  while (rpc_frame (&b, &body, NULL) == 0 && rpc_read (fd, &b, NULL) > 0)
    ;
  if (rpc_frame (&b, &body, NULL) == 1)
    msg = rpc_decode (p, body, &type, NULL);
  if (msg && type == MSG_SUBMIT)
    answer_submit (f, msg, &out);
  if (msg && type == MSG_QUERY)
    answer_query (f, &out);
  rpc_write (fd, &out, NULL);
  buf_free (&b);
  buf_free (&out);
  apr_pool_destroy (p);
  close (fd);
}

static void *
fake_main (void *arg)
{
  fake_control_t *f = arg;
  struct pollfd p[2] = { { f->fd, POLLIN, 0 }, { f->stop[0], POLLIN, 0 } };

  while (poll (p, 2, 30000) > 0 && p[1].revents == 0)
    {
      int fd = accept (f->fd, NULL, NULL);
      if (fd >= 0)
        serve (f, fd);
    }
  return NULL;
}

static void
fake_start (fake_control_t *f, const submit_step_t *steps, int n)
{
  struct sockaddr_in sa = { 0 };
  socklen_t len = sizeof sa;
  err_t e = { 0 };

  f->steps = steps;
  f->nsteps = n;
  f->fd = rpc_listen (STR ("127.0.0.1:0"), &e);
  ck_assert_msg (f->fd >= 0, "%s", e.detail);
  ck_assert_int_eq (getsockname (f->fd, (struct sockaddr *)&sa, &len), 0);
  f->address = str_fmt (pool, "127.0.0.1:%d", ntohs (sa.sin_port));
  ck_assert_int_eq (pipe (f->stop), 0);
  ck_assert_int_eq (pthread_create (&f->thread, NULL, fake_main, f), 0);
}

static void
fake_stop (fake_control_t *f)
{
  ck_assert_int_eq (write (f->stop[1], "x", 1), 1);
  pthread_join (f->thread, NULL);
  close (f->fd);
  close (f->stop[0]);
  close (f->stop[1]);
}

/* Runs the tool with ARGS through the shell against F; returns the exit code,
   with the output of both streams in OUT.  */
static int
run_tool (const fake_control_t *f, const char *args, char *out, size_t size)
{
  str_t cmd = str_fmt (pool, "%s %s --server " STR_FMT " 2>&1", tool, args,
                       STR_ARG (f->address));
  FILE *p = popen (cmd.p, "r");

  ck_assert_ptr_nonnull (p);
  size_t n = fread (out, 1, size - 1, p);
  out[n] = '\0';
  int st = pclose (p);
  return WIFEXITED (st) ? WEXITSTATUS (st) : -1;
}

static void
setup (void)
{
  apr_initialize ();
  apr_pool_create (&pool, NULL);
}

static void
teardown (void)
{
  apr_pool_destroy (pool);
}

#define SUBMIT                                                                \
  "submit --base 7 --operator tan --timeout 3s "                              \
  "examples/tan.yaml "

/* Guards against a submission that is applied twice, under two ids, when an
   answer was lost, and against giving up when a follower answers.  */
START_TEST (resends_with_same_id)
{
  static const submit_step_t follower_steps[]
      = { DROP, SUBMIT_UNKNOWN, SUBMIT_NOT_LEADER };
  static const submit_step_t leader_steps[] = { DROP, SUBMIT_ACCEPTED };
  fake_control_t f = { 0 };
  fake_control_t leader = { 0 };
  char out[2000];

  fake_start (&leader, leader_steps, 2);
  f.leader = leader.address;
  fake_start (&f, follower_steps, 3);
  ck_assert_msg (run_tool (&f, SUBMIT, out, sizeof out) == 0, "%s", out);
  ck_assert_ptr_nonnull (strstr (out, "accepted as version 8"));
  fake_stop (&f);
  fake_stop (&leader);
  ck_assert_int_eq (f.submits, 4);
  ck_assert_int_eq (leader.submits, 2);
  for (int i = 0; i < 4; i++)
    ck_assert_str_eq (f.ids[i], f.ids[0]);
  ck_assert_str_eq (leader.ids[0], f.ids[0]);
  ck_assert_str_eq (leader.ids[1], f.ids[0]);
  ck_assert_str_eq (f.operator_name, "tan");
  ck_assert_int_eq (f.last.base, 7);
}
END_TEST

/* Guards against a conflict or a refusal that is reported as success, and
   against an unknown outcome that is reported as a refusal.  */
START_TEST (outcomes_give_exit_codes)
{
  static const struct
  {
    submit_step_t step;
    int exit;
    const char *text;
  } cases[] = { { SUBMIT_CONFLICT, 4, "linh won with version 8" },
                { SUBMIT_INVALID, 3, "too many instances" },
                { DROP, 5, "outcome unknown" },
                { SUBMIT_UNKNOWN, 5, "outcome unknown" },
                { SUBMIT_NOT_LEADER, 5, "unreachable" } };
  fake_control_t f = { 0 };
  char out[2000];
  int code;

  f.leader = STR ("127.0.0.1:1"); /* refuses connections */
  fake_start (&f, &cases[_i].step, 1);
  code = run_tool (&f, SUBMIT "--timeout 400ms", out, sizeof out);
  fake_stop (&f);
  ck_assert_msg (code == cases[_i].exit, "%d: %s", code, out);
  ck_assert_msg (strstr (out, cases[_i].text) != NULL, "%s", out);
}
END_TEST

#define LEADER_ROW "[\n{\"instance\":\"c\",\"role\":\"leader\"}"
#define ENTRY_ROW(name, state, index)                                         \
  ",\n{\"entry\":\"" name "\",\"state\":\"" state                             \
  "\",\"config_index\":" index "}"

/* Guards against --wait ending before every reachable instance has the
   version, and against waiting for an unreachable instance.  */
START_TEST (waits_until_in_force)
{
  static const submit_step_t steps[] = { SUBMIT_ACCEPTED };
  static const char *const status[]
      = { "[\n{\"instance\":\"c\",\"role\":\"follower\"}\n]\n",
          LEADER_ROW ENTRY_ROW ("a", "up", "40")
              ENTRY_ROW ("b", "up", "41") "\n]\n",
          LEADER_ROW ENTRY_ROW ("a", "up", "40")
              ENTRY_ROW ("b", "down", "40") "\n]\n",
          LEADER_ROW ENTRY_ROW ("a", "up", "41")
              ENTRY_ROW ("b", "down", "40") "\n]\n" };
  fake_control_t f = { .status = status, .nstatus = 4 };
  char out[2000];

  fake_start (&f, steps, 1);
  ck_assert_msg (run_tool (&f, SUBMIT "--wait", out, sizeof out) == 0, "%s",
                 out);
  ck_assert_int_eq (f.queries, 4);
  f.nstatus = 3;
  f.queries = 0;
  ck_assert_int_eq (
      run_tool (&f, SUBMIT "--wait --timeout 300ms", out, sizeof out), 5);
  ck_assert_msg (strstr (out, "1 entry instances are behind") != NULL, "%s",
                 out);
  fake_stop (&f);
}
END_TEST

/* Guards against the stale view of a follower being printed although the
   leader answers, and against no output when the leader does not answer.  */
START_TEST (prefers_answer_of_leader)
{
  static const char *const follower_status[] = { "follower's" };
  static const char *const leader_status[] = { "leader's" };
  static const submit_step_t none[] = { DROP };
  fake_control_t f = {
    .status = follower_status,
    .nstatus = 1,
  };
  fake_control_t leader = { .status = leader_status, .nstatus = 1 };
  char out[2000];

  fake_start (&leader, none, 1);
  f.leader = leader.address;
  fake_start (&f, none, 1);
  run_tool (&f, "status", out, sizeof out);
  ck_assert_str_eq (out, "leader's\n");
  run_tool (&f, "status --local", out, sizeof out);
  ck_assert_str_eq (out, "follower's\n");
  fake_stop (&leader);
  run_tool (&f, "status", out, sizeof out);
  ck_assert_str_eq (out, "follower's\n");
  fake_stop (&f);
}
END_TEST

/* Guards against watch printing unchanged answers.  */
START_TEST (watch_prints_changes)
{
  static const char *const status[] = { "one", "one", "two" };
  static const submit_step_t none[] = { DROP };
  fake_control_t f = { .status = status, .nstatus = 3 };
  char out[2000];

  fake_start (&f, none, 1);
  ck_assert_int_eq (run_tool (&f,
                              "watch --interval 1ms "
                              "--count 4",
                              out, sizeof out),
                    0);
  fake_stop (&f);
  ck_assert_str_eq (out, "one\ntwo\n");
}
END_TEST

/* Guards against rows of different kinds under one header, and against times
   printed as numbers.  */
START_TEST (prints_tables)
{
  static const char *const status[]
      = { "[\n{\"a\":\"x\",\"wall\":1796362789962},\n{\"a\":\"longer\","
          "\"wall\":0},\n{\"b\":\"\",\"c\":true}\n]\n",
          "plain\n" };
  static const submit_step_t none[] = { DROP };
  fake_control_t f = { .status = status, .nstatus = 2 };
  char out[2000];

  fake_start (&f, none, 1);
  run_tool (&f, "audit --table", out, sizeof out);
  ck_assert_str_eq (out, "a       wall\n"
                         "x       2026-12-04T05:39:49.962Z\n"
                         "longer  1970-01-01T00:00:00.000Z\n\n"
                         "b  c\n-  true\n");
  run_tool (&f, "config --table", out, sizeof out);
  fake_stop (&f);
  ck_assert_str_eq (out, "plain\n");
}
END_TEST

int
main (int argc, char **argv)
{
  Suite *s = suite_create ("cli");
  TCase *t = tcase_create ("cli");
  const char *slash = strrchr (argv[0], '/');
  SRunner *r;

  (void)argc;
  setup ();
  tool = str_fmt (pool, "%.*s/../bin/pimentopost",
                  slash ? (int)(slash - argv[0]) : 1, slash ? argv[0] : ".")
             .p;
  tool = strdup (tool);
  teardown ();
  tcase_add_checked_fixture (t, setup, teardown);
  tcase_set_timeout (t, 30);
  tcase_add_test (t, resends_with_same_id);
  tcase_add_loop_test (t, outcomes_give_exit_codes, 0, 5);
  tcase_add_test (t, waits_until_in_force);
  tcase_add_test (t, prefers_answer_of_leader);
  tcase_add_test (t, prints_tables);
  tcase_add_test (t, watch_prints_changes);
  suite_add_tcase (s, t);
  r = srunner_create (s);
  srunner_run_all (r, CK_ENV);
  int failed = srunner_ntests_failed (r);
  srunner_free (r);
  free (tool);
  return failed ? EXIT_FAILURE : EXIT_SUCCESS;
}
