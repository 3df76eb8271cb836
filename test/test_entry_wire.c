#include "../lib/entry/worker.h"

#include <apr_general.h>
#include <check.h>
#include <poll.h>
#include <pthread.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/resource.h>
#include <sys/socket.h>
#include <unistd.h>

/* One worker in this process, without control instances or databases.  */
static settings_t set = { .name = STR ("e"),
                          .zone = STR ("z"),
                          .listen = STR ("127.0.0.1:23990"),
                          .workers = 1 };
static instance_t *in;
static pthread_t thread;

static void *
run_loop (void *arg)
{
  worker_run (arg, NULL);
  return NULL;
}

/* A grant that names the group "g", which has no primary.  */
static void
send_grant (void)
{
  inbox_msg_t *m = calloc (1, sizeof *m);

  ck_assert_ptr_nonnull (m);
  apr_pool_create (&m->pool, NULL);
  m->grant = apr_pcalloc (m->pool, sizeof *m->grant);
  lease_t *l = apr_pcalloc (m->pool, sizeof *l);
  *l = (lease_t){ .group = STR ("g"), .term = 1, .sample = -1 };
  m->grant->leases = (list_t){ l, 1 };
  ck_assert (ring_put (in->worker[0]->inbox, m, NULL));
}

static void
setup (void)
{
  apr_pool_t *pool;
  err_t e = { 0 };

  apr_initialize ();
  apr_pool_create (&pool, NULL);
  in = instance_new (pool, &set, &e);
  ck_assert_msg (in != NULL, "%s", e.detail);
  send_grant ();
  pthread_create (&thread, NULL, run_loop, in->worker[0]);
}

static void
teardown (void)
{
  duty_t d = worker_duty (in->worker[0]);

  d.stop (d.arg);
  pthread_join (thread, NULL);
}

/* ---- client ---- */

static int
open_client (void)
{
  int fd = rpc_connect (set.listen, NULL);
  struct pollfd p = { .fd = fd, .events = POLLOUT };

  ck_assert_int_ge (fd, 0);
  ck_assert_int_eq (poll (&p, 1, 5000), 1);
  return fd;
}

/* Reads until ReadyForQuery; false when the connection is closed before.
   LAST is the SQLSTATE of the last error, or empty.  */
static bool
read_ready (int fd, char last[6])
{
  buf_t b = { 0 };
  pgmsg_t m;
  pgerr_t f;
  bool ready = false;
  bool open = true;

  last[0] = '\0';
  while (open && !ready)
    {
      struct pollfd p = { .fd = fd, .events = POLLIN };
      ck_assert_msg (poll (&p, 1, 10000) == 1, "no answer");
      open = rpc_read (fd, &b, NULL) >= 0;
      while (pg_message (&b, PG_MAX_ANSWER, &m, NULL) == 1)
        {
          if (m.type == 'E' && pg_error (m.body, &f, NULL) && f.code.n == 5)
            snprintf (last, 6, STR_FMT, STR_ARG (f.code));
          ready = m.type == 'Z';
          buf_take (&b, m.size);
        }
    }
  buf_free (&b);
  return ready;
}

static void
send_all (int fd, buf_t *b)
{
  while (buf_len (b) && rpc_write (fd, b, NULL) > 0)
    {
      struct pollfd p = { .fd = fd, .events = POLLOUT };
      poll (&p, 1, 1000);
    }
  buf_free (b);
}

static int
open_session (str_t database)
{
  int fd = open_client ();
  buf_t b = { 0 };
  char last[6];

  pg_put_startup (&b, STR ("u"), database);
  send_all (fd, &b);
  ck_assert (read_ready (fd, last));
  return fd;
}

static void
check_alive (int fd)
{
  buf_t b = { 0 };
  char last[6];

  pg_put_query (&b, STR ("SHOW pimentopost.token"));
  send_all (fd, &b);
  ck_assert (read_ready (fd, last));
  ck_assert_str_eq (last, "");
}

/* Malformed input must end its own session with an error that has the right
   SQLSTATE, and leave other sessions unaffected.  */
START_TEST (malformed_input)
{
  static const struct
  {
    const char *p;
    size_t n;
    const char *code;
  } c[] = { { "Q\0\0\0\3", 5, "08P01" },
            { "Q\x7f\0\0\0", 5, "54000" },
            { "?\0\0\0\4", 5, "08P01" },
            { "P\0\0\0\5xS\0\0\0\4", 11, "08P01" },
            { "P\0\0\0\10\0\0\0\0Q\0\0\0\5\0", 15, "08P01" } };
  int good = open_session (STR ("g"));
  char last[6];

  for (size_t i = 0; i < sizeof c / sizeof *c; i++)
    {
      int fd = open_session (STR ("g"));
      buf_t b = { 0 };
      buf_add (&b, c[i].p, c[i].n);
      send_all (fd, &b);
      read_ready (fd, last);
      ck_assert_msg (strcmp (last, c[i].code) == 0, "case %zu: %s", i, last);
      close (fd);
      check_alive (good);
    }
  close (good);
}
END_TEST

/* Without a primary a write must be refused at its deadline, neither wait for
   ever nor be reported as executed.  An unknown group must be refused.  */
START_TEST (no_primary)
{
  int fd = open_session (STR ("g"));
  buf_t b = { 0 };
  char last[6];

  pg_put_query (&b, STR ("/* pimentopost deadline=100 */ INSERT INTO t VALUES "
                         "(1)"));
  send_all (fd, &b);
  ck_assert (read_ready (fd, last));
  ck_assert_str_eq (last, "57P03");
  pg_put_parse (&b, STR ("s"), STR ("COPY t FROM STDIN"), 0, STR (""));
  pg_put_bind (&b, STR (""), STR ("s"), STR ("\0\0\0\0\0\0"));
  pg_put_exec (&b, STR (""), 0);
  pg_put_empty (&b, 'S');
  send_all (fd, &b);
  ck_assert (read_ready (fd, last));
  ck_assert_str_eq (last, "0A000");
  close (fd);
  fd = open_client ();
  pg_put_startup (&b, STR ("u"), STR ("unknown"));
  send_all (fd, &b);
  ck_assert (!read_ready (fd, last));
  ck_assert_str_eq (last, "57P03"); /* no configuration yet */
  close (fd);
}
END_TEST

static void
put_random_message (rng_t *r, buf_t *b)
{
  static const char *const texts[]
      = { "SELECT 1",
          "SET pimentopost.key = 'k'",
          "BEGIN",
          "COMMIT",
          "/* pimentopost deadline=1 */ INSERT INTO t VALUES (1)",
          "SHOW pimentopost.kind",
          "DISCARD ALL",
          "",
          "not sql" };
  str_t text = str_of (texts[rng_below (r, 9)]);
  str_t name = rng_below (r, 2) ? STR ("s") : STR ("");

  switch (rng_below (r, 8))
    {
    case 0:
      pg_put_query (b, text);
      break;
    case 1:
      pg_put_parse (b, name, text, 0, STR (""));
      break;
    case 2:
      pg_put_bind (b, STR (""), name, STR ("\0\0\0\0\0\0"));
      break;
    case 3:
      pg_put_target (b, rng_below (r, 2) ? 'D' : 'C', "SP"[rng_below (r, 2)],
                     name);
      break;
    case 4:
      pg_put_exec (b, STR (""), 0);
      break;
    case 5:
      pg_put_empty (b, 'H');
      break;
    default:
      pg_put_empty (b, 'S');
    }
}

/* Many sessions send random messages, some of them damaged, and disconnect at
   any time.  Guards against crashes and against output of one session reaching
   another.  */
START_TEST (fuzz)
{
  rng_t r;
  int good = open_session (STR ("g"));

  rng_init (&r, 11);
  for (int i = 0; i < 3000; i++)
    {
      int fd = open_client ();
      buf_t b = { 0 };
      pg_put_startup (&b, STR ("u"), STR ("g"));
      for (uint64_t k = rng_below (&r, 12); k > 0; k--)
        put_random_message (&r, &b);
      for (uint64_t k = rng_below (&r, 3); k > 0; k--)
        b.p[rng_below (&r, b.n)] = (char)rng_u64 (&r);
      b.n -= rng_below (&r, 4) ? 0 : rng_below (&r, b.n);
      send_all (fd, &b);
      if (i % 100 == 0)
        check_alive (good);
      close (fd);
    }
  check_alive (good);
  close (good);
}
END_TEST

static long
resident_bytes (void)
{
  char line[128] = { 0 };
  FILE *f = fopen ("/proc/self/statm", "r");

  ck_assert_ptr_nonnull (f);
  ck_assert_ptr_nonnull (fgets (line, sizeof line, f));
  fclose (f);
  const char *second = strchr (line, ' ');
  ck_assert_ptr_nonnull (second);
  long pages = strtol (second, NULL, 10);
  return pages * sysconf (_SC_PAGESIZE);
}

/* An idle session must not use more than 4 KB, also after a statement.  */
START_TEST (idle_memory)
{
  enum
  {
    SESSIONS = 5000,
    LIMIT = 4096 /* bytes */
  };
  struct rlimit files = { 2 * SESSIONS + 200, 2 * SESSIONS + 200 };
  static int fd[SESSIONS];

  ck_assert_int_eq (setrlimit (RLIMIT_NOFILE, &files), 0);
  check_alive (fd[0] = open_session (STR ("g")));
  long before = resident_bytes ();
  for (int i = 1; i < SESSIONS; i++)
    check_alive (fd[i] = open_session (STR ("g")));
  long each = (resident_bytes () - before) / (SESSIONS - 1);
  printf ("idle_memory: %ld bytes for each of %d sessions\n", each, SESSIONS);
  ck_assert_int_le (each, LIMIT);
  for (int i = 0; i < SESSIONS; i++)
    close (fd[i]);
}
END_TEST

int
main (void)
{
  Suite *s = suite_create ("entry_wire");
  TCase *t = tcase_create ("wire");

  tcase_set_timeout (t, 60);
  tcase_add_checked_fixture (t, setup, teardown);
  tcase_add_test (t, malformed_input);
  tcase_add_test (t, no_primary);
  tcase_add_test (t, fuzz);
  tcase_add_test (t, idle_memory);
  suite_add_tcase (s, t);
  SRunner *r = srunner_create (s);
  srunner_run_all (r, CK_NORMAL);
  int failed = srunner_ntests_failed (r);
  srunner_free (r);
  return failed != 0;
}
