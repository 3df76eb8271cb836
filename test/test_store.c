#include "memfs.h"
#include "raft.h"

#include <apr_general.h>
#include <check.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

static apr_pool_t *pool;
static memfs_t *disk;
static raft_saved_t saved;
static err_t err;

#define LOG1 "log-0000000000000001"
#define LOG2 "log-0000000000000002"

static void
setup (void)
{
  apr_initialize ();
  apr_pool_create (&pool, NULL);
  disk = memfs_new ();
}

static void
teardown (void)
{
  memfs_free (disk);
  apr_pool_destroy (pool);
}

static store_t *
reopen (void)
{
  err = (err_t){ 0 };
  return store_open (pool, pool, &memfs_ops, disk, 77, &saved, &err);
}

/* Appends entries FROM..TO of TERM, one record each.  */
static void
fill (store_t *s, int64_t from, int64_t to, int64_t term)
{
  for (int64_t i = from; i <= to; i++)
    {
      log_entry_t v = { term, i, ENTRY_RECORD, STR ("0123456789") };
      ck_assert (store_entries (s, &v, 1, NULL));
    }
}

static int64_t
term_of (size_t i)
{
  return LIST_AT (saved.entries, log_entry_t, i)->term;
}

/* Guards against losing identity, vote or entries in a restart, and against
   replaced entries reappearing.  */
START_TEST (reload)
{
  store_t *s = reopen ();

  ck_assert_int_eq (saved.id, 77);
  ck_assert (store_vote (s, 5, 9, NULL));
  fill (s, 1, 10, 1);
  fill (s, 8, 9, 2);
  memfs_crash (disk, &(rng_t){ 1, 1 });
  ck_assert_ptr_nonnull (
      store_open (pool, pool, &memfs_ops, disk, 78, &saved, &err));
  ck_assert_int_eq (saved.id, 77);
  ck_assert_int_eq (saved.term, 5);
  ck_assert_int_eq (saved.vote, 9);
  ck_assert_uint_eq (saved.entries.n, 9);
  ck_assert_int_eq (term_of (6), 1);
  ck_assert_int_eq (term_of (7), 2);
}
END_TEST

/* Guards against a start that fails or loses complete records because the last
   one is torn: cuts it at each length, and corrupts it.  */
START_TEST (torn_tail)
{
  store_t *s = reopen ();
  buf_t *b = memfs_data (disk, LOG1);

  fill (s, 1, 4, 1);
  size_t whole = b->n;
  fill (s, 5, 5, 1);
  size_t full = b->n;
  for (size_t n = full; n > whole; n--)
    {
      b->n = n;
      if (n == full)
        b->p[n - 1] ^= 1;
      ck_assert_ptr_nonnull (reopen ());
      ck_assert_uint_eq (saved.entries.n, 4);
      ck_assert_uint_eq (b->n, whole);
      fill (reopen (), 5, 5, 1);
      ck_assert_ptr_nonnull (reopen ());
      ck_assert_uint_eq (saved.entries.n, 5);
    }
}
END_TEST

/* Guards against truncating at a damaged record that is followed by valid ones
   as if it were a torn tail, which would lose acknowledged records.  */
START_TEST (corrupt_middle)
{
  store_t *s = reopen ();
  buf_t *b = memfs_data (disk, LOG1);

  fill (s, 1, 3, 1);
  size_t from = b->n;
  fill (s, 4, 4, 1);
  size_t to = b->n;
  fill (s, 5, 9, 1);
  for (size_t at = from; at < to; at++)
    {
      b->p[at] ^= 0x10;
      ck_assert_ptr_null (reopen ());
      ck_assert_int_eq (err.code, ERR_CORRUPT);
      ck_assert_str_eq (err.subject, LOG1);
      ck_assert_int_eq (err.offset, (int64_t)from);
      b->p[at] ^= 0x10;
    }
  ck_assert_ptr_nonnull (reopen ());
  b->p[12] ^= 1;
  ck_assert_ptr_null (reopen ());
  ck_assert_int_eq (err.code, ERR_CORRUPT);
}
END_TEST

static void
check_corrupt (const char *file)
{
  ck_assert_ptr_null (reopen ());
  ck_assert_int_eq (err.code, ERR_CORRUPT);
  ck_assert_str_eq (err.subject, file);
}

/* Guards against a start without the vote, the snapshot or a segment: the
   instance could then vote twice in a term or lack acknowledged entries.  */
START_TEST (missing_or_damaged_files)
{
  store_t *s = reopen ();
  raft_snap_t snap = { .index = 6, .term = 1, .data = STR ("state") };
  const char snap_name[] = "snap-0000000000000006";
  err_t e;

  ck_assert (store_vote (s, 1, 77, NULL));
  memfs_data (disk, "state")->p[20] ^= 1;
  check_corrupt ("state");
  memfs_data (disk, "state")->p[20] ^= 1;
  fill (s, 1, 8, 1);
  ck_assert (store_snapshot (s, &snap, NULL));
  memfs_data (disk, snap_name)->p[20] ^= 1;
  check_corrupt (snap_name);
  memfs_data (disk, snap_name)->p[20] ^= 1;
  fill (s, 9, 9, 1);
  ck_assert_ptr_nonnull (reopen ());
  ck_assert_int_eq (saved.snap.index, 6);
  ck_assert_uint_eq (saved.entries.n, 3);
  ck_assert (memfs_ops.remove (disk, LOG1, &e));
  check_corrupt (LOG2);
  ck_assert (memfs_ops.remove (disk, LOG2, &e));
  check_corrupt ("log-0000000000000001");
  ck_assert (memfs_ops.remove (disk, "state", &e));
  check_corrupt ("state");
}
END_TEST

/* Guards against rejecting a segment that was started after uncommitted
   entries when these have been replaced and the preceding segment has been
   removed. Found by fuzzing.  */
START_TEST (replaced_base)
{
  store_t *s = reopen ();
  raft_snap_t snap = { .index = 5, .term = 1, .data = STR ("state") };

  fill (s, 1, 10, 1);
  ck_assert (store_snapshot (s, &snap, NULL));
  fill (s, 8, 14, 2);
  snap.index = 10;
  snap.term = 2;
  ck_assert (store_snapshot (s, &snap, NULL));
  ck_assert_ptr_null (memfs_data (disk, LOG1));
  ck_assert_ptr_nonnull (reopen ());
  ck_assert_uint_eq (saved.entries.n, 4);
  ck_assert_int_eq (term_of (0), 2);
}
END_TEST

/* Guards against obsolete segments that are never removed, and against errors
   in loading the entries after a snapshot.  */
START_TEST (compaction)
{
  store_t *s = reopen ();
  raft_snap_t snap = { .term = 1, .data = STR ("state") };

  for (int64_t i = 10; i <= 200; i += 10)
    {
      fill (s, i - 9, i, 1);
      snap.index = i;
      ck_assert (store_snapshot (s, &snap, NULL));
    }
  apr_array_header_t *names = apr_array_make (pool, 8, sizeof (char *));
  ck_assert (memfs_ops.list (disk, names, NULL));
  ck_assert_int_le (names->nelts, 3);
  fill (s, 201, 203, 1);
  ck_assert_ptr_nonnull (reopen ());
  ck_assert_int_eq (saved.snap.index, 200);
  ck_assert_uint_eq (saved.entries.n, 3);
}
END_TEST

/* Guards against a crash during the installation of a received snapshot that
   leaves neither all old entries nor the snapshot alone.  */
START_TEST (crash_in_install)
{
  rng_t rng;
  int outcome[2] = { 0, 0 };

  for (uint64_t seed = 1; seed <= 400; seed++)
    {
      raft_snap_t snap = { .index = 50, .term = 3, .data = STR ("state") };
      rng_init (&rng, seed);
      memfs_wipe (disk);
      store_t *s = reopen ();
      fill (s, 1, 60, 2);
      memfs_fail (disk, 1 + (int)(seed % 8));
      bool ok = store_install (s, &snap, NULL);
      memfs_crash (disk, &rng);
      s = reopen ();
      ck_assert_msg (s != NULL, "%s: %s", err.subject, err.detail);
      bool new = saved.snap.index == 50;
      ck_assert (new || !ok);
      ck_assert_uint_eq (saved.entries.n, new ? 0 : 60);
      outcome[new]++;
      fill (s, new ? 51 : 61, 62, 3);
      ck_assert_ptr_nonnull (reopen ());
      ck_assert_uint_eq (saved.entries.n, new ? 12 : 62);
    }
  ck_assert_int_gt (outcome[0], 50);
  ck_assert_int_gt (outcome[1], 50);
}
END_TEST

/* A random write to the store; LAST is the last entry that it acknowledged. */
static bool
random_write (store_t *s, rng_t *rng, int64_t *last)
{
  raft_snap_t snap = { .index = *last, .term = 1 };

  if (*last && rng_below (rng, 4) == 0)
    return store_snapshot (s, &snap, NULL);
  if (rng_below (rng, 3) == 0)
    return store_vote (s, *last, 1, NULL);
  log_entry_t v = { 1, *last + 1, ENTRY_RECORD, STR ("0123456789") };
  if (!store_entries (s, &v, 1, NULL))
    return false;
  ++*last;
  return true;
}

/* Guards against a crash during any write that loses what was acknowledged
   before it, or after which the store cannot be opened.  */
START_TEST (crash_anywhere)
{
  rng_t rng;

  for (uint64_t seed = 1; seed <= 300; seed++)
    {
      int64_t last = 0;
      rng_init (&rng, seed);
      memfs_wipe (disk);
      store_t *s = reopen ();
      for (int i = 0; i < 40; i++)
        {
          memfs_fail (disk, 1 + (int)rng_below (&rng, 40));
          while (random_write (s, &rng, &last))
            ;
          memfs_crash (disk, &rng);
          s = reopen ();
          ck_assert_msg (s != NULL, "%s: %s", err.subject, err.detail);
          int64_t got = saved.snap.index + (int64_t)saved.entries.n;
          ck_assert (got == last || got == last + 1);
          last = got;
        }
    }
}
END_TEST

/* Reopens the store after a power loss and compares its contents with what it
   acknowledged.  */
static void
check_reopened (rng_t *rng, int64_t *last)
{
  memfs_crash (disk, rng);
  ck_assert_msg (reopen () != NULL, "%s: %s", err.subject, err.detail);
  int64_t got = saved.snap.index + (int64_t)saved.entries.n;
  ck_assert_msg (got == *last || got == *last + 1, "%lld entries, not %lld",
                 (long long)got, (long long)*last);
  *last = got;
}

/* Guards against a write that fails on a full disk and leaves bytes or files
   that a later write or the next start reads as a part of the store.  */
START_TEST (failed_writes)
{
  rng_t rng;

  for (uint64_t seed = 1; seed <= 300; seed++)
    {
      int64_t last = 0;
      rng_init (&rng, seed);
      memfs_wipe (disk);
      store_t *s = reopen ();
      for (int i = 0; i < 40; i++)
        {
          memfs_fail (disk, 1 + (int)rng_below (&rng, 12));
          while (random_write (s, &rng, &last))
            ;
          if (rng_below (&rng, 2))
            ck_assert (!random_write (s, &rng, &last));
          memfs_fail (disk, 0);
          for (uint64_t k = rng_below (&rng, 4); k > 0; k--)
            ck_assert (random_write (s, &rng, &last));
        }
      check_reopened (&rng, &last);
    }
}
END_TEST

/* The same for a snapshot received from a leader: it is installed completely
   or not at all, and new entries continue from what is installed.  */
START_TEST (failed_install)
{
  rng_t rng;

  for (uint64_t seed = 1; seed <= 400; seed++)
    {
      raft_snap_t snap = { .index = 50, .term = 3, .data = STR ("state") };
      rng_init (&rng, seed);
      memfs_wipe (disk);
      store_t *s = reopen ();
      fill (s, 1, 60, 2);
      memfs_fail (disk, 1 + (int)(seed % 8));
      bool ok = store_install (s, &snap, NULL);
      memfs_fail (disk, 0);
      int64_t last = ok ? 50 : 60;
      fill (s, last + 1, last + 4, 3);
      last += 4;
      check_reopened (&rng, &last);
      ck_assert_int_eq (saved.snap.index, ok ? 50 : 0);
    }
}
END_TEST

/* Guards against a slow start with 1,000 synced records in real files, and
   against two processes that open the same folder.  */
START_TEST (real_files)
{
  char path[] = "/tmp/pimentopost-store-XXXXXX";
  const store_fs_t *fs;
  void *arg, *other;
  apr_pool_t *p;
  char rm[64];

  ck_assert_ptr_nonnull (mkdtemp (path));
  apr_pool_create (&p, pool);
  ck_assert (store_files (p, path, &fs, &arg, &err));
  ck_assert (!store_files (p, path, &fs, &other, &err));
  ck_assert_int_eq (err.code, ERR_CONFLICT);
  store_t *s = store_open (p, p, fs, arg, 5, &saved, &err);
  ck_assert_ptr_nonnull (s);
  fill (s, 1, 1000, 1);
  apr_pool_destroy (p);
  msec_t began = msec_now ();
  ck_assert (store_files (pool, path, &fs, &arg, &err));
  ck_assert_ptr_nonnull (store_open (pool, pool, fs, arg, 6, &saved, &err));
  msec_t took = msec_now () - began;
  printf ("1000 records reloaded in %lld ms\n", (long long)took);
  ck_assert_int_eq (saved.id, 5);
  ck_assert_uint_eq (saved.entries.n, 1000);
  ck_assert_int_lt (took, 500);
  snprintf (rm, sizeof rm, "rm -r %s", path);
  ck_assert_int_eq (system (rm), 0);
}
END_TEST

int
main (void)
{
  Suite *s = suite_create ("store");
  TCase *c = tcase_create ("store");

  tcase_add_checked_fixture (c, setup, teardown);
  tcase_set_timeout (c, 60);
  tcase_add_test (c, reload);
  tcase_add_test (c, torn_tail);
  tcase_add_test (c, corrupt_middle);
  tcase_add_test (c, missing_or_damaged_files);
  tcase_add_test (c, replaced_base);
  tcase_add_test (c, compaction);
  tcase_add_test (c, crash_in_install);
  tcase_add_test (c, crash_anywhere);
  tcase_add_test (c, failed_writes);
  tcase_add_test (c, failed_install);
  tcase_add_test (c, real_files);
  suite_add_tcase (s, c);
  SRunner *r = srunner_create (s);
  srunner_run_all (r, CK_NORMAL);
  int failed = srunner_ntests_failed (r);
  srunner_free (r);
  return failed ? EXIT_FAILURE : EXIT_SUCCESS;
}
