#include "dblink.h"
#include "pgwire.h"

#include <apr_general.h>
#include <check.h>
#include <poll.h>
#include <pthread.h>
#include <stdatomic.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

enum
{
  CONNS = 32
};

/* A backend server that answers, returns an error, or leaves the connections
   below number SILENT without an answer.  */
typedef struct
{
  int listener;
  atomic_int silent; /* connections below this number get no answer */
  atomic_int opened;
  atomic_bool refuse, stop;
  char last[256]; /* last query */
  pthread_t thread;
  struct
  {
    int fd;
    bool started;
    buf_t in, out;
  } c[CONNS];
} server_t;

static const char *const columns[] = { "term",     "role",
                                       "position", "confirmed",
                                       "history",  "upstream_age_ms" };

static void
respond (server_t *f, int i)
{
  pgstart_t s;
  pgmsg_t m;
  err_t e;
  const str_t row[] = { STR ("3"),  STR ("primary"), STR ("42"),
                        STR ("41"), STR ("1:0,3:7"), STR ("0") };

  if (!f->c[i].started && pg_startup (&f->c[i].in, &s, &e) > 0)
    {
      buf_take (&f->c[i].in, s.size);
      f->c[i].started = true;
      pg_put_auth_ok (&f->c[i].out);
      pg_put_ready (&f->c[i].out, 'I');
    }
  while (f->c[i].started
         && pg_message (&f->c[i].in, PG_MAX_MESSAGE, &m, &e) > 0)
    {
      snprintf (f->last, sizeof f->last, STR_FMT, STR_ARG (m.body));
      buf_take (&f->c[i].in, m.size);
      if (atomic_load (&f->refuse))
        pg_put_error (&f->c[i].out, "ERROR", "55000", STR ("fenced"),
                      STR (""));
      else
        {
          pg_put_columns (&f->c[i].out, columns, 6);
          pg_put_row (&f->c[i].out, row, 6);
          pg_put_complete (&f->c[i].out, "SELECT 1");
        }
      pg_put_ready (&f->c[i].out, 'I');
    }
}

static void *
serve (void *arg)
{
  server_t *f = arg;

  while (!atomic_load (&f->stop))
    {
      struct pollfd p = { .fd = f->listener, .events = POLLIN };
      if (poll (&p, 1, 2) > 0 && atomic_load (&f->opened) < CONNS)
        f->c[atomic_fetch_add (&f->opened, 1)].fd
            = accept4 (f->listener, NULL, NULL, SOCK_NONBLOCK);
      for (int i = 0; i < atomic_load (&f->opened); i++)
        if (rpc_read (f->c[i].fd, &f->c[i].in, NULL) > 0
            && i >= atomic_load (&f->silent))
          {
            respond (f, i);
            rpc_write (f->c[i].fd, &f->c[i].out, NULL);
          }
    }
  return NULL;
}

typedef struct
{
  apr_pool_t *pool;
  server_t f;
  ring_t *out;
  duty_t duty;
  dblink_t *d;
  pthread_t thread;
} fixture_t;

static const char address[] = "127.0.0.1:21451";

static void *
run_duty (void *arg)
{
  duty_t *d = arg;

  d->run (d->arg, NULL);
  return NULL;
}

static fixture_t *
start (void)
{
  fixture_t *b = calloc (1, sizeof *b);
  db_target_t t = { .name = "db1" };

  apr_initialize ();
  apr_pool_create (&b->pool, NULL);
  memcpy (t.address, address, sizeof address);
  b->f.listener = rpc_listen (str_of (address), NULL);
  ck_assert_int_ge (b->f.listener, 0);
  pthread_create (&b->f.thread, NULL, serve, &b->f);
  b->out = ring_new (b->pool, 64);
  b->d = dblink_new (b->pool, b->out);
  b->duty = dblink_duty (b->d);
  dblink_targets (b->d, &t, 1);
  pthread_create (&b->thread, NULL, run_duty, &b->duty);
  return b;
}

static void
finish (fixture_t *b)
{
  b->duty.stop (b->duty.arg);
  pthread_join (b->thread, NULL);
  atomic_store (&b->f.stop, true);
  pthread_join (b->f.thread, NULL);
  for (db_event_t *ev; (ev = ring_get (b->out, 0));)
    db_event_free (ev);
  apr_pool_destroy (b->pool);
  free (b);
}

/* The next event of KIND, or NULL after 2 s.  */
static db_event_t *
next_event (fixture_t *b, db_event_kind_t kind)
{
  for (msec_t end = msec_now () + 2000; msec_now () < end;)
    {
      db_event_t *ev = ring_get (b->out, 100);
      if (ev && ev->kind == kind)
        return ev;
      db_event_free (ev);
    }
  return NULL;
}

/* A probe reports the columns of the status row.  */
START_TEST (probe_reads_the_status)
{
  fixture_t *b = start ();
  db_event_t *ev = next_event (b, DB_EV_PROBE);

  ck_assert_ptr_nonnull (ev);
  ck_assert (ev->probe.reachable && ev->err.code == ERR_NONE);
  ck_assert_int_eq (ev->probe.term, 3);
  ck_assert (str_eq (ev->probe.role, STR ("primary")));
  ck_assert_int_eq (ev->probe.position, 42);
  ck_assert (str_eq (ev->probe.history, STR ("1:0,3:7")));
  db_event_free (ev);
  finish (b);
}
END_TEST

/* A connection that stops answering while new ones work is replaced, and the
   backend server is reachable again.  */
START_TEST (unresponsive_connection_is_replaced)
{
  fixture_t *b = start ();
  db_event_t *ev = next_event (b, DB_EV_PROBE);
  int opened = atomic_load (&b->f.opened);

  ck_assert (ev && ev->probe.reachable);
  db_event_free (ev);
  atomic_store (&b->f.silent, opened);
  bool failed_probe = false;
  bool recovered = false;
  for (int i = 0; i < 20 && !recovered; i++)
    {
      ev = next_event (b, DB_EV_PROBE);
      ck_assert_ptr_nonnull (ev);
      failed_probe = failed_probe
                     || (!ev->probe.reachable && ev->err.code == ERR_TIMEOUT);
      recovered = failed_probe && ev->probe.reachable;
      db_event_free (ev);
    }
  ck_assert (failed_probe && recovered);
  ck_assert_int_eq (atomic_load (&b->f.opened), opened + 1);
  finish (b);
}
END_TEST

/* An error returned for a command is told apart from success and from an
   unknown outcome, and so is a command that was not sent.  */
START_TEST (commands_have_typed_outcomes)
{
  fixture_t *b = start ();
  db_cmd_t c = { .op = DB_FENCE, .name = "db1", .term = 7, .owner = "o'1" };

  memcpy (c.address, address, sizeof address);
  ck_assert (dblink_command (b->d, &c, NULL));
  db_event_t *ev = next_event (b, DB_EV_RESULT);
  ck_assert (ev && ev->err.code == ERR_NONE);
  ck_assert_int_eq (ev->cmd.term, 7);
  ck_assert_int_eq (ev->probe.position, 42);
  db_event_free (ev);
  atomic_store (&b->f.refuse, true);
  ck_assert (dblink_command (b->d, &c, NULL));
  ev = next_event (b, DB_EV_RESULT);
  ck_assert (ev && ev->err.code == ERR_DB);
  ck_assert_str_eq (ev->err.subject, "55000");
  db_event_free (ev);
  memcpy (c.address, "127.0.0.1:21452", sizeof address);
  ck_assert (dblink_command (b->d, &c, NULL));
  ev = next_event (b, DB_EV_RESULT);
  ck_assert (ev && ev->err.code == ERR_UNREACHABLE);
  db_event_free (ev);
  finish (b);
}
END_TEST

/* A refused connection is reported as a failed probe.  */
START_TEST (refused_connection_fails_the_probe)
{
  fixture_t *b = start ();
  db_event_t *ev;

  atomic_store (&b->f.stop, true);
  pthread_join (b->f.thread, NULL);
  close (b->f.listener);
  for (int i = 0; i < CONNS && i < atomic_load (&b->f.opened); i++)
    close (b->f.c[i].fd);
  bool failed_probe = false;
  for (int i = 0; i < 20 && !failed_probe; i++)
    {
      ev = next_event (b, DB_EV_PROBE);
      ck_assert_ptr_nonnull (ev);
      failed_probe = !ev->probe.reachable;
      db_event_free (ev);
    }
  ck_assert (failed_probe);
  pthread_create (&b->f.thread, NULL, serve, &b->f); /* ends at once */
  finish (b);
}
END_TEST

int
main (void)
{
  Suite *s = suite_create ("dblink");
  TCase *t = tcase_create ("dblink");
  SRunner *r = srunner_create (s);

  log_open ("test_dblink", 3);
  tcase_set_timeout (t, 30);
  tcase_add_test (t, probe_reads_the_status);
  tcase_add_test (t, unresponsive_connection_is_replaced);
  tcase_add_test (t, commands_have_typed_outcomes);
  tcase_add_test (t, refused_connection_fails_the_probe);
  suite_add_tcase (s, t);
  srunner_run_all (r, CK_NORMAL);
  int failed = srunner_ntests_failed (r);
  srunner_free (r);
  return failed ? EXIT_FAILURE : EXIT_SUCCESS;
}
