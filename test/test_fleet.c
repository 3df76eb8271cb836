#include "fleet.h"

#include <check.h>
#include <stdlib.h>
#include <stdio.h>
#include <string.h>

/* ---- freshness of reads ---- */

/* Guards against a sample that is older than the bound, and against a position
   that is higher than the bound requires.  */
START_TEST (oldest_fresh_sample_is_used)
{
  samples_t m = { 0 };
  pos_t need;

  ck_assert (!samples_required (&m, 5000, 1500, (pos_t){ 0 }, &need));
  for (int i = 0; i < 30; i++)
    {
      samples_add (&m, 1000 + 200 * i, (pos_t){ 1, i });
      samples_add (&m, 1000 + 200 * i + SAMPLE_SPACING - 1,
                   (pos_t){ 1, 1000 });
    }
  ck_assert (samples_required (&m, 6800, 2500, (pos_t){ 0 }, &need));
  ck_assert_int_eq (need.number, 17);
  ck_assert (samples_required (&m, 6800, 1500, (pos_t){ 0 }, &need));
  ck_assert_int_eq (need.number, 22);
  ck_assert (!samples_required (&m, 8301, 1500, (pos_t){ 0 }, &need));
  ck_assert (samples_required (&m, 6800, 1500, (pos_t){ 1, 40 }, &need));
  ck_assert_int_eq (need.number, 40);
}
END_TEST

/* Guards against waiting for a position that a promotion rolled back: no log
   ever reaches it.  */
START_TEST (later_term_drops_older_positions)
{
  samples_t m = { 0 };
  pos_t need;

  samples_add (&m, 1000, (pos_t){ 1, 50 });
  samples_add (&m, 1001, (pos_t){ 2, 40 });
  samples_add (&m, 1500, (pos_t){ 1, 60 });
  ck_assert (samples_required (&m, 1600, 1500, (pos_t){ 1, 55 }, &need));
  ck_assert_int_eq (need.term, 2);
  ck_assert_int_eq (need.number, 40);
}
END_TEST

/* ---- placement ---- */

/* Guards against reads that use connections of the primary or of another zone
   without need.  */
START_TEST (reads_prefer_near_replicas)
{
  candidate_t s[3] = {
    { .leader = true,
      .same_zone = true,
      .usable = true,
      .idle = 1,
      .open = 1,
      .limit = 2,
      .ms = 10 },
    { .usable = true, .idle = 1, .open = 1, .limit = 2, .ms = 10 },
    { .same_zone = true,
      .usable = true,
      .idle = 1,
      .open = 1,
      .limit = 2,
      .ms = 10 },
  };

  ck_assert_int_eq (place_read (s, 3).at, 2);
  s[2].idle = 0;
  s[2].busy = 1;
  s[2].limit = 1;
  ck_assert_int_eq (place_read (s, 3).at, 1);
  s[1].usable = false;
  ck_assert_int_eq (place_read (s, 3).at, 0);
  ck_assert_int_eq (place_leader (s, 3).at, 0);
  s[0].usable = s[2].usable = false;
  ck_assert_int_eq (place_read (s, 3).kind, PLACE_NONE);
  ck_assert_int_eq (place_leader (s, 3).kind, PLACE_NONE);
}
END_TEST

/* Guards against reads that take the primary's slots from the writes in a
   burst: whenever the replicas' connections were busy for a moment, reads went
   to the primary beside the statements that only it can run.  */
START_TEST (reads_stay_off_a_primary_in_use)
{
  candidate_t s[2] = {
    { .leader = true,
      .same_zone = true,
      .usable = true,
      .idle = 1,
      .open = 2,
      .limit = 2,
      .busy = 1,
      .ms = 10 },
    { .same_zone = true,
      .usable = true,
      .open = 1,
      .limit = 1,
      .busy = 1,
      .ms = 10 },
  };

  ck_assert_int_eq (place_read (s, 2).kind, PLACE_WAIT);
  /* Nor is a connection opened there for them.  */
  s[0].limit = 3;
  ck_assert_int_eq (place_read (s, 2).kind, PLACE_WAIT);
  s[0].busy = 0;
  ck_assert_int_eq (place_read (s, 2).kind, PLACE_USE);
  ck_assert_int_eq (place_read (s, 2).at, 0);
  /* With no other database it runs there.  */
  s[0].busy = 1;
  s[1].usable = false;
  ck_assert_int_eq (place_read (s, 2).kind, PLACE_USE);
}
END_TEST

/* Guards against many connections being opened at once: each occupies a slot
   of the database for a while.  */
START_TEST (one_connection_is_opened_at_a_time)
{
  candidate_t s = { .leader = true, .usable = true, .limit = 3 };

  ck_assert_int_eq (place_leader (&s, 1).kind, PLACE_OPEN);
  s.opening = 1;
  ck_assert_int_eq (place_leader (&s, 1).kind, PLACE_WAIT);
  ck_assert_int_eq (place_read (&s, 1).kind, PLACE_WAIT);
  s.opening = 0;
  s.open = 3;
  ck_assert_int_eq (place_leader (&s, 1).kind, PLACE_WAIT);
}
END_TEST

/* ---- roster ---- */

static backend_t
heartbeat (const char *id, const char *address, int64_t born, int64_t seq)
{
  return (backend_t){ .id = str_of (id),
                      .service = STR ("svc"),
                      .address = str_of (address),
                      .zone = STR ("z"),
                      .born = born,
                      .seq = seq };
}

/* Guards against a delayed heartbeat that reverts a later one.  */
START_TEST (late_heartbeat_changes_nothing)
{
  roster_table_t r = { 0 };
  backend_t b = heartbeat ("a", "127.0.0.1:1", 10, 5);
  err_t e = { 0 };

  ck_assert (roster_heartbeat (&r, &b, 100, &e));
  b = heartbeat ("a", "127.0.0.1:1", 10, 4);
  b.leaving = true;
  ck_assert (!roster_heartbeat (&r, &b, 100, &e));
  ck_assert_int_eq (e.code, ERR_STALE);
  ck_assert (!r.at[0].leaving);
  b = heartbeat ("a", "127.0.0.1:1", 11, 1);
  ck_assert (roster_heartbeat (&r, &b, 100, &e));
  ck_assert_int_eq (r.at[0].incarnation, 11);
  b = heartbeat ("a", "127.0.0.1:1", 10, 99);
  ck_assert (!roster_heartbeat (&r, &b, 100, &e));
  roster_free (&r);
}
END_TEST

/* Guards against a heartbeat in transit that makes a draining or deregistered
   database eligible again.  */
START_TEST (late_heartbeat_does_not_reactivate)
{
  roster_table_t r = { 0 };
  backend_t b = heartbeat ("a", "127.0.0.1:1", 10, 5);
  err_t e = { 0 };

  b.leaving = true;
  roster_heartbeat (&r, &b, 100, &e);
  b = heartbeat ("a", "127.0.0.1:1", 10, 6);
  ck_assert (roster_heartbeat (&r, &b, 100, &e));
  ck_assert (r.at[0].leaving);
  b = (backend_t){ .id = STR ("a"), .gone = true, .born = -1 };
  ck_assert (roster_heartbeat (&r, &b, 100, &e));
  ck_assert (r.at[0].gone);
  b = heartbeat ("a", "127.0.0.1:1", 10, 7);
  ck_assert (!roster_heartbeat (&r, &b, 100, &e));
  b = heartbeat ("a", "127.0.0.1:1", 20, 0);
  ck_assert (roster_heartbeat (&r, &b, 100, &e));
  ck_assert (!r.at[0].gone && !r.at[0].leaving);
  roster_free (&r);
}
END_TEST

/* Guards against two databases at one address: addresses are reused.  */
START_TEST (later_start_takes_the_address)
{
  roster_table_t r = { 0 };
  backend_t a = heartbeat ("a", "127.0.0.1:1", 10, 5),
            b = heartbeat ("b", "127.0.0.1:1", 20, 1);
  err_t e = { 0 };

  roster_heartbeat (&r, &a, 100, &e);
  roster_heartbeat (&r, &b, 100, &e);
  ck_assert (roster_find (&r, STR ("a"))->gone);
  ck_assert (!roster_find (&r, STR ("b"))->gone);
  roster_free (&r);
}
END_TEST

/* Guards against a heartbeat that a partition delayed: its sender has ended,
   and another database runs at its address.  */
START_TEST (late_heartbeat_does_not_take_the_address_back)
{
  roster_table_t r = { 0 };
  backend_t a = heartbeat ("a", "127.0.0.1:1", 10, 5),
            b = heartbeat ("b", "127.0.0.1:1", 20, 1);
  err_t e = { 0 };

  roster_heartbeat (&r, &b, 100, &e);
  roster_heartbeat (&r, &a, 100, &e);
  ck_assert (roster_find (&r, STR ("a"))->gone);
  ck_assert (!roster_find (&r, STR ("b"))->gone);
  roster_free (&r);
}
END_TEST

/* Guards against odd entries of other writers that registered as databases:
   ports out of range, addresses that are none, numbers too large for their
   place, names that would break the line protocol.  */
START_TEST (odd_entries_are_refused)
{
  static const char *const address[] = { "127.0.0.1:99999",
                                         "127.0.0.1:0",
                                         "127.0.0.1:-4",
                                         "127.0.0.1",
                                         "not an address",
                                         "",
                                         ":80",
                                         "127.0.0.1:",
                                         "127.0.0.1:80x",
                                         "1.2.3.4.5:80" };
  roster_table_t r = { 0 };
  backend_t b;
  err_t e = { 0 };

  for (size_t i = 0; i < sizeof address / sizeof *address; i++)
    {
      b = heartbeat ("a", address[i], 10, 1);
      ck_assert_msg (!roster_heartbeat (&r, &b, 100, &e), "%s", address[i]);
      ck_assert_int_eq (e.code, ERR_RANGE);
    }
  const int64_t slots[] = { -5, INT64_C (2147483648), INT64_MAX };
  for (int i = 0; i < 3; i++)
    {
      b = heartbeat ("a", "127.0.0.1:1", 10, 1);
      b.slots = slots[i];
      ck_assert (!roster_heartbeat (&r, &b, 100, &e));
    }
  b = heartbeat ("a", "127.0.0.1:1", INT64_MAX, 1);
  ck_assert (!roster_heartbeat (&r, &b, 100, &e));
  b = heartbeat ("a", "127.0.0.1:1", 10, INT64_MAX);
  ck_assert (!roster_heartbeat (&r, &b, 100, &e));
  b = heartbeat ("a b", "127.0.0.1:1", 10, 1);
  ck_assert (!roster_heartbeat (&r, &b, 100, &e));
  b = heartbeat ("a\r\nb", "127.0.0.1:1", 10, 1);
  ck_assert (!roster_heartbeat (&r, &b, 100, &e));
  b = heartbeat ("a", "127.0.0.1:1", 10, 1);
  b.age = INT64_MIN;
  ck_assert (!roster_heartbeat (&r, &b, 100, &e));
  ck_assert_uint_eq (r.n, 0);
  roster_free (&r);
}
END_TEST

/* Guards against an entry of another writer that moves a live database to
   another service or address: clients of the one lose it, those of the other
   get its data.  */
START_TEST (odd_entry_moves_no_live_database)
{
  roster_table_t r = { 0 };
  backend_t b = heartbeat ("a", "127.0.0.1:1", 10, 1);
  err_t e = { 0 };

  ck_assert (roster_heartbeat (&r, &b, 100, &e));
  b.seq = 2;
  b.service = STR ("other");
  ck_assert (!roster_heartbeat (&r, &b, 100, &e));
  ck_assert_int_eq (e.code, ERR_RANGE);
  b = heartbeat ("a", "127.0.0.1:2", 10, 3);
  ck_assert (!roster_heartbeat (&r, &b, 100, &e));
  ck_assert_str_eq (roster_find (&r, STR ("a"))->address, "127.0.0.1:1");
  b = heartbeat ("a", "127.0.0.1:1", 10, 2);
  ck_assert (roster_heartbeat (&r, &b, 100, &e));
  b = heartbeat ("a", "127.0.0.1:2", 11, 1);
  ck_assert (roster_heartbeat (&r, &b, 100, &e));
  ck_assert_str_eq (roster_find (&r, STR ("a"))->address, "127.0.0.1:2");
  roster_free (&r);
}
END_TEST

/* Guards against a name that is shortened on its way, and so becomes that of
   another database or service: it is kept whole or refused.  */
START_TEST (long_names_are_kept_whole_or_refused)
{
  roster_table_t r = { 0 };
  char id[NAME_MAX_BYTES + 2], service[NAME_MAX_BYTES + 2];
  backend_t b = heartbeat ("a", "127.0.0.1:1", 10, 1);
  err_t e = { 0 };

  snprintf (id, sizeof id, "%0*d", NAME_MAX_BYTES, 1);
  snprintf (service, sizeof service, "%0*d", NAME_MAX_BYTES, 2);
  b.id = str_of (id);
  b.service = str_of (service);
  ck_assert (roster_heartbeat (&r, &b, 100, &e));
  ck_assert_str_eq (roster_find (&r, b.id)->id, id);
  ck_assert_str_eq (roster_find (&r, b.id)->service, service);
  snprintf (id, sizeof id, "%0*d", NAME_MAX_BYTES + 1, 1);
  b.id = str_of (id);
  ck_assert (!roster_heartbeat (&r, &b, 100, &e));
  ck_assert_int_eq (e.code, ERR_RANGE);
  ck_assert_uint_eq (r.n, 1);
  roster_free (&r);
}
END_TEST

/* Guards against an odd entry under the id of a live database: a sequence
   number far ahead made each heartbeat of the database count as late.  */
START_TEST (odd_sequence_number_keeps_the_database)
{
  roster_table_t r = { 0 };
  backend_t b = heartbeat ("a", "127.0.0.1:1", 10, 5);
  err_t e = { 0 };

  ck_assert (roster_heartbeat (&r, &b, 100, &e));
  b.seq = 5 + 2 * (int64_t)SEQ_JUMP_MAX;
  ck_assert (!roster_heartbeat (&r, &b, 100, &e));
  ck_assert_int_eq (e.code, ERR_RANGE);
  b.seq = 6;
  b.leaving = true;
  ck_assert (roster_heartbeat (&r, &b, 100, &e));
  ck_assert (roster_find (&r, STR ("a"))->leaving);
  roster_free (&r);
}
END_TEST

/* Guards against numbers of a configuration that don't fit: a time limit of
   2^63-1 ended before it began, and a freshness of a later build is no index
   of this one.  */
START_TEST (numbers_of_a_configuration_are_limited)
{
  route_entry_t r = { .timeout = INT64_MAX,
                      .max_age = -1,
                      .target = INT64_MAX,
                      .priority = -7,
                      .freshness = 9 };
  service_entry_t v
      = { .connections = INT64_C (1) << 40, .sync_replicas = -3 };
  setup_t s
      = { .tx_idle = INT64_MAX, .routes = { &r, 1 }, .services = { &v, 1 } };

  ck_assert_int_eq (setup_bound (&s), 8);
  ck_assert (r.timeout > 0 && r.timeout <= INT32_MAX);
  ck_assert_int_eq (r.max_age, 0);
  ck_assert_int_eq (r.freshness, FRESH_PRIMARY);
  ck_assert (v.connections > 0 && v.connections <= INT32_MAX);
  ck_assert_int_eq (setup_bound (&s), 0);
}
END_TEST

/* Guards against a search of the whole roster for each heartbeat, and against
   an index that loses entries when the roster grows or shrinks.  */
START_TEST (roster_finds_each_of_many)
{
  roster_table_t r = { 0 };
  char id[32], address[32];
  err_t e = { 0 };
  enum
  {
    MANY = 3400
  };

  for (int i = 0; i < MANY; i++)
    {
      snprintf (id, sizeof id, "i-%d", i);
      snprintf (address, sizeof address, "10.0.0.1:%d", i + 1);
      backend_t b = heartbeat (id, address, 10, 1);
      ck_assert (roster_heartbeat (&r, &b, i < MANY / 2 ? 0 : 100000, &e));
    }
  for (int i = 0; i < 3; i++)
    roster_expire (&r, ROSTER_TIMEOUT + ROSTER_RETENTION + 1 + i);
  ck_assert_uint_eq (r.n, MANY / 2);
  for (int i = 0; i < MANY; i++)
    {
      snprintf (id, sizeof id, "i-%d", i);
      const server_t *s = roster_find (&r, str_of (id));
      ck_assert ((s != NULL) == (i >= MANY / 2));
      ck_assert (s == NULL || strcmp (s->id, id) == 0);
    }
  roster_free (&r);
}
END_TEST

/* Guards against an invalid heartbeat that changes the roster.  */
START_TEST (unusable_heartbeat_is_refused)
{
  roster_table_t r = { 0 };
  backend_t b = heartbeat ("", "127.0.0.1:1", 1, 1);
  err_t e = { 0 };

  ck_assert (!roster_heartbeat (&r, &b, 100, &e));
  ck_assert_int_eq (e.code, ERR_RANGE);
  b = heartbeat ("a", "127.0.0.1:1", 1, -1);
  ck_assert (!roster_heartbeat (&r, &b, 100, &e));
  ck_assert_uint_eq (r.n, 0);
  roster_free (&r);
}
END_TEST

/* ---- takeover ---- */

typedef struct
{
  roster_table_t r;
  takeover_t t;
  msec_t now;
} fixture_t;

static void
fixture_init (fixture_t *s)
{
  backend_t p = heartbeat ("p", "127.0.0.1:1", 1, 1);
  backend_t a = heartbeat ("a", "127.0.0.1:2", 1, 1);
  backend_t b = heartbeat ("b", "127.0.0.1:3", 1, 1);
  err_t e = { 0 };

  *s = (fixture_t){ .now = 10000 };
  p.primary = true;
  roster_heartbeat (&s->r, &p, s->now, &e);
  roster_heartbeat (&s->r, &a, s->now, &e);
  roster_heartbeat (&s->r, &b, s->now, &e);
  takeover_init (&s->t, STR ("svc"), s->now - TAKEOVER_HOLD_OFF);
  takeover_tick (&s->t, &s->r, s->now);
  ck_assert_str_eq (s->t.primary, "p");
}

static void
fail_probe (fixture_t *s, msec_t ms)
{
  takeover_probe (&s->t, STR ("p"), false, false, s->now,
                  s->now + PROBE_TIMEOUT);
  s->now += ms;
}

static takeover_action_t
tick (fixture_t *s)
{
  return takeover_tick (&s->t, &s->r, s->now);
}

/* Guards against a failed primary that is not replaced, or by a database other
   than the most advanced one, or under a token that does not grow: it is the
   index of the recorded intent.  */
START_TEST (failed_primary_is_replaced_by_the_most_advanced)
{
  fixture_t s;

  fixture_init (&s);
  fail_probe (&s, SILENCE_LIMIT - 1);
  ck_assert_int_eq (tick (&s).kind, TAKEOVER_NONE);
  s.now += 1;
  ck_assert_int_eq (tick (&s).kind, TAKEOVER_SURVEY);
  takeover_position (&s.t, STR ("a"), (pos_t){ 1, 7 });
  ck_assert_int_eq (tick (&s).kind, TAKEOVER_NONE);
  takeover_position (&s.t, STR ("b"), (pos_t){ 1, 9 });
  takeover_action_t a = tick (&s);
  ck_assert_int_eq (a.kind, TAKEOVER_INTENT);
  ck_assert_str_eq (a.id, "b");
  ck_assert_int_eq (tick (&s).kind, TAKEOVER_NONE);
  takeover_recorded (&s.t, STR ("b"), 42, s.now);
  a = tick (&s);
  ck_assert_int_eq (a.kind, TAKEOVER_CALL);
  ck_assert_int_eq (a.token, 42);
  ck_assert_int_eq (tick (&s).kind, TAKEOVER_NONE);
  takeover_promote_result (&s.t, 42, CALL_ACCEPTED, s.now);
  s.now += 1000;
  ck_assert_int_eq (tick (&s).kind, TAKEOVER_NONE);
  roster_free (&s.r);
}
END_TEST

/* Guards against a takeover without a failed primary: only the path from the
   leader to the primary is faulty, and entry instances get answers.  */
START_TEST (primary_that_answers_others_is_kept)
{
  fixture_t s;

  fixture_init (&s);
  for (int i = 0; i < 100; i++)
    {
      fail_probe (&s, 100);
      takeover_report (&s.t, STR ("p"), s.now - 50);
      ck_assert_int_eq (tick (&s).kind, TAKEOVER_NONE);
    }
  s.now += 100;
  takeover_probe (&s.t, STR ("p"), true, false, s.now, s.now);
  s.now += 10000;
  ck_assert_int_eq (tick (&s).kind, TAKEOVER_NONE);
  roster_free (&s.r);
}
END_TEST

/* Guards against a promotion after the primary has recovered.  */
START_TEST (survey_ends_when_the_primary_answers)
{
  fixture_t s;

  fixture_init (&s);
  fail_probe (&s, SILENCE_LIMIT);
  ck_assert_int_eq (tick (&s).kind, TAKEOVER_SURVEY);
  takeover_probe (&s.t, STR ("p"), true, false, s.now, s.now);
  takeover_position (&s.t, STR ("a"), (pos_t){ 1, 7 });
  takeover_position (&s.t, STR ("b"), (pos_t){ 1, 7 });
  ck_assert_int_eq (tick (&s).kind, TAKEOVER_NONE);
  ck_assert_int_eq (s.t.phase, PHASE_MONITOR);
  roster_free (&s.r);
}
END_TEST

/* Guards against an unanswered call followed by one for another database under
   the same token: the first may still take effect later.  */
START_TEST (unanswered_call_is_repeated_unchanged)
{
  fixture_t s;

  fixture_init (&s);
  fail_probe (&s, SILENCE_LIMIT);
  tick (&s);
  takeover_position (&s.t, STR ("a"), (pos_t){ 1, 7 });
  takeover_position (&s.t, STR ("b"), (pos_t){ 1, 6 });
  ck_assert_int_eq (tick (&s).kind, TAKEOVER_INTENT);
  takeover_recorded (&s.t, STR ("a"), 5, s.now);
  ck_assert_int_eq (tick (&s).kind, TAKEOVER_CALL);
  takeover_promote_result (&s.t, 5, CALL_UNKNOWN, s.now);
  ck_assert_int_eq (tick (&s).kind, TAKEOVER_NONE);
  s.now += CALL_RETRY_INTERVAL;
  takeover_action_t a = tick (&s);
  ck_assert_int_eq (a.kind, TAKEOVER_CALL);
  ck_assert_str_eq (a.id, "a");
  ck_assert_int_eq (a.token, 5);
  takeover_promote_result (&s.t, 5, CALL_REFUSED, s.now);
  ck_assert_int_eq (s.t.phase, PHASE_MONITOR);
  roster_free (&s.r);
}
END_TEST

/* Guards against a takeover from a draining primary that starts only after
   the primary has ended.  */
START_TEST (leaving_primary_is_replaced)
{
  fixture_t s;
  backend_t p = heartbeat ("p", "127.0.0.1:1", 1, 2);
  err_t e = { 0 };

  fixture_init (&s);
  p.primary = p.leaving = true;
  roster_heartbeat (&s.r, &p, s.now, &e);
  s.now += 10;
  ck_assert_int_eq (tick (&s).kind, TAKEOVER_SURVEY);
  roster_free (&s.r);
}
END_TEST

/* Guards against a takeover that loses an acknowledged commit: with one
   synchronous replica, only the one that did not answer, or a leaving one, may
   have it.  Found by test runs with a synchronous replica.  */
START_TEST (synchronous_commits_are_kept)
{
  fixture_t s;
  backend_t b = heartbeat ("b", "127.0.0.1:3", 1, 2);
  err_t e = { 0 };

  fixture_init (&s);
  s.t.sync_replicas = 1;
  b.leaving = true;
  roster_heartbeat (&s.r, &b, s.now, &e);
  fail_probe (&s, SILENCE_LIMIT);
  ck_assert_int_eq (tick (&s).kind, TAKEOVER_SURVEY);
  takeover_position (&s.t, STR ("a"), (pos_t){ 1, 7 });
  s.now += SURVEY_TIMEOUT;
  ck_assert_int_eq (tick (&s).kind, TAKEOVER_NONE);
  s.now += PROBE_INTERVAL;
  ck_assert_int_eq (tick (&s).kind, TAKEOVER_SURVEY);
  takeover_position (&s.t, STR ("a"), (pos_t){ 1, 7 });
  takeover_position (&s.t, STR ("b"), (pos_t){ 1, 8 });
  ck_assert_int_eq (tick (&s).kind, TAKEOVER_NONE);
  s.now += PROBE_INTERVAL;
  ck_assert_int_eq (tick (&s).kind, TAKEOVER_SURVEY);
  takeover_position (&s.t, STR ("b"), (pos_t){ 1, 8 });
  takeover_position (&s.t, STR ("a"), (pos_t){ 1, 8 });
  takeover_action_t a = tick (&s);
  ck_assert_int_eq (a.kind, TAKEOVER_PAUSE);
  takeover_paused (&s.t, STR ("b"), a.token, (pos_t){ 1, 8 });
  takeover_paused (&s.t, STR ("a"), a.token, (pos_t){ 1, 8 });
  a = tick (&s);
  ck_assert_int_eq (a.kind, TAKEOVER_INTENT);
  ck_assert_str_eq (a.id, "a");
  roster_free (&s.r);
}
END_TEST

/* The takeover of a draining primary with one synchronous replica, up to the
   answer of both replicas to the survey.  */
static void
start_release (fixture_t *s)
{
  backend_t p = heartbeat ("p", "127.0.0.1:1", 1, 2);
  err_t e = { 0 };

  fixture_init (s);
  s->t.sync_replicas = 1;
  p.primary = p.leaving = true;
  roster_heartbeat (&s->r, &p, s->now, &e);
  s->now += 10;
  ck_assert_int_eq (tick (s).kind, TAKEOVER_SURVEY);
  takeover_position (&s->t, STR ("a"), (pos_t){ 3, 7 });
  takeover_position (&s->t, STR ("b"), (pos_t){ 3, 7 });
}

/* Guards against a planned replacement that loses commits which the former
   primary acknowledged after the positions were compared: the replicas are
   paused for the next term first, and compared then (review/1).  */
START_TEST (replicas_are_paused_before_they_are_compared)
{
  fixture_t s;

  start_release (&s);
  takeover_action_t a = tick (&s);
  ck_assert_int_eq (a.kind, TAKEOVER_PAUSE);
  ck_assert_int_eq (a.token, 4);
  takeover_position (&s.t, STR ("b"), (pos_t){ 3, 7 });
  takeover_paused (&s.t, STR ("a"), 3, (pos_t){ 3, 7 });
  takeover_paused (&s.t, STR ("a"), 4, (pos_t){ 3, 7 });
  ck_assert_int_eq (tick (&s).kind, TAKEOVER_NONE);
  takeover_paused (&s.t, STR ("b"), 4, (pos_t){ 3, 9 });
  a = tick (&s);
  ck_assert_int_eq (a.kind, TAKEOVER_INTENT);
  ck_assert_str_eq (a.id, "b");
  roster_free (&s.r);
}
END_TEST

/* Guards against a promotion while a replica that may still acknowledge
   commits has not been paused.  */
START_TEST (replica_that_is_not_paused_holds_up_the_promotion)
{
  fixture_t s;

  start_release (&s);
  ck_assert_int_eq (tick (&s).kind, TAKEOVER_PAUSE);
  takeover_paused (&s.t, STR ("a"), 4, (pos_t){ 3, 7 });
  s.now += SURVEY_TIMEOUT;
  ck_assert_int_eq (tick (&s).kind, TAKEOVER_NONE);
  ck_assert_int_eq (s.t.phase, PHASE_MONITOR);
  s.now += PROBE_INTERVAL;
  ck_assert_int_eq (tick (&s).kind, TAKEOVER_SURVEY);
  roster_free (&s.r);
}
END_TEST

static void
primary_stays (fixture_t *s)
{
  backend_t p = heartbeat ("p", "127.0.0.1:1", 2, 1);
  err_t e = { 0 };

  p.primary = true;
  ck_assert (roster_heartbeat (&s->r, &p, s->now, &e));
  takeover_probe (&s->t, STR ("p"), true, false, s->now, s->now);
}

/* Guards against replicas that stay paused after a takeover that was given up:
   the primary would wait for them with each commit.  */
START_TEST (replicas_are_resumed_without_a_takeover)
{
  fixture_t s;

  start_release (&s);
  ck_assert_int_eq (tick (&s).kind, TAKEOVER_PAUSE);
  primary_stays (&s);
  ck_assert_int_eq (tick (&s).kind, TAKEOVER_NONE);
  ck_assert_int_eq (s.t.phase, PHASE_MONITOR);
  s.now += RESUME_DELAY;
  ck_assert_int_eq (tick (&s).kind, TAKEOVER_RESUME);
  ck_assert_int_eq (tick (&s).kind, TAKEOVER_NONE);
  roster_free (&s.r);
}
END_TEST

/* Guards against replicas that stay paused while another one can't be reached:
   the leaving primary then acknowledges nothing although it runs.  */
START_TEST (replicas_are_resumed_while_one_is_silent)
{
  fixture_t s;

  start_release (&s);
  s.t.resume_at = s.now;
  ck_assert_int_eq (tick (&s).kind, TAKEOVER_PAUSE);
  takeover_paused (&s.t, STR ("a"), 4, (pos_t){ 3, 7 });
  s.now += SURVEY_TIMEOUT;
  ck_assert_int_eq (tick (&s).kind, TAKEOVER_NONE);
  s.now += PROBE_INTERVAL;
  ck_assert_int_eq (tick (&s).kind, TAKEOVER_SURVEY);
  takeover_position (&s.t, STR ("a"), (pos_t){ 3, 7 });
  s.now += SURVEY_TIMEOUT;
  ck_assert_int_eq (tick (&s).kind, TAKEOVER_RESUME);
  s.now += PROBE_INTERVAL;
  ck_assert_int_eq (tick (&s).kind, TAKEOVER_SURVEY);
  s.now += SURVEY_TIMEOUT;
  ck_assert_int_eq (tick (&s).kind, TAKEOVER_NONE);
  roster_free (&s.r);
}
END_TEST

/* Guards against replicas that are resumed while an unanswered call may still
   promote one of them, which would then lack what was committed since.  */
START_TEST (replicas_stay_paused_while_a_call_is_open)
{
  fixture_t s;

  start_release (&s);
  ck_assert_int_eq (tick (&s).kind, TAKEOVER_PAUSE);
  takeover_paused (&s.t, STR ("a"), 4, (pos_t){ 3, 7 });
  takeover_paused (&s.t, STR ("b"), 4, (pos_t){ 3, 7 });
  takeover_action_t a = tick (&s);
  ck_assert_int_eq (a.kind, TAKEOVER_INTENT);
  takeover_recorded (&s.t, str_of (a.id), 5, s.now);
  for (int i = 0; i < CALL_ATTEMPTS; i++)
    {
      ck_assert_int_eq (tick (&s).kind, TAKEOVER_CALL);
      s.now += CALL_RETRY_INTERVAL;
    }
  primary_stays (&s);
  ck_assert_int_eq (tick (&s).kind, TAKEOVER_NONE);
  s.now += RESUME_DELAY;
  ck_assert_int_eq (tick (&s).kind, TAKEOVER_SURVEY);
  roster_free (&s.r);
}
END_TEST

/* Guards against a promotion by positions that aren't final where a database
   can't be paused: entry instances get the time to stop committing.  */
START_TEST (unpausable_replica_is_surveyed_when_commits_have_ended)
{
  fixture_t s;

  start_release (&s);
  ck_assert_int_eq (tick (&s).kind, TAKEOVER_PAUSE);
  takeover_unpausable (&s.t);
  ck_assert_int_eq (tick (&s).kind, TAKEOVER_NONE);
  s.now += QUIESCE_TIME - 1;
  ck_assert_int_eq (tick (&s).kind, TAKEOVER_NONE);
  s.now += 1;
  ck_assert_int_eq (tick (&s).kind, TAKEOVER_SURVEY);
  takeover_position (&s.t, STR ("a"), (pos_t){ 3, 8 });
  takeover_position (&s.t, STR ("b"), (pos_t){ 3, 12 });
  takeover_action_t a = tick (&s);
  ck_assert_int_eq (a.kind, TAKEOVER_INTENT);
  ck_assert_str_eq (a.id, "b");
  roster_free (&s.r);
}
END_TEST

/* Guards against replicas that stay paused for good when the control leader
   that paused them ended; and against orders to replicas of services without
   synchronous ones.  */
START_TEST (new_leader_resumes_replicas)
{
  fixture_t s;

  fixture_init (&s);
  s.t.sync_replicas = 1;
  ck_assert_int_eq (tick (&s).kind, TAKEOVER_NONE);
  s.now += RESUME_DELAY;
  ck_assert_int_eq (tick (&s).kind, TAKEOVER_RESUME);
  roster_free (&s.r);
  fixture_init (&s);
  s.now += RESUME_DELAY;
  ck_assert_int_eq (tick (&s).kind, TAKEOVER_NONE);
  roster_free (&s.r);
}
END_TEST

int
main (void)
{
  Suite *s = suite_create ("fleet");
  TCase *t = tcase_create ("decisions");

  tcase_add_test (t, oldest_fresh_sample_is_used);
  tcase_add_test (t, later_term_drops_older_positions);
  tcase_add_test (t, reads_prefer_near_replicas);
  tcase_add_test (t, reads_stay_off_a_primary_in_use);
  tcase_add_test (t, one_connection_is_opened_at_a_time);
  tcase_add_test (t, late_heartbeat_changes_nothing);
  tcase_add_test (t, late_heartbeat_does_not_reactivate);
  tcase_add_test (t, later_start_takes_the_address);
  tcase_add_test (t, unusable_heartbeat_is_refused);
  tcase_add_test (t, late_heartbeat_does_not_take_the_address_back);
  tcase_add_test (t, odd_entries_are_refused);
  tcase_add_test (t, odd_entry_moves_no_live_database);
  tcase_add_test (t, long_names_are_kept_whole_or_refused);
  tcase_add_test (t, odd_sequence_number_keeps_the_database);
  tcase_add_test (t, roster_finds_each_of_many);
  tcase_add_test (t, numbers_of_a_configuration_are_limited);
  tcase_add_test (t, failed_primary_is_replaced_by_the_most_advanced);
  tcase_add_test (t, primary_that_answers_others_is_kept);
  tcase_add_test (t, survey_ends_when_the_primary_answers);
  tcase_add_test (t, unanswered_call_is_repeated_unchanged);
  tcase_add_test (t, leaving_primary_is_replaced);
  tcase_add_test (t, synchronous_commits_are_kept);
  tcase_add_test (t, replicas_are_paused_before_they_are_compared);
  tcase_add_test (t, replica_that_is_not_paused_holds_up_the_promotion);
  tcase_add_test (t, replicas_are_resumed_without_a_takeover);
  tcase_add_test (t, replicas_are_resumed_while_one_is_silent);
  tcase_add_test (t, replicas_stay_paused_while_a_call_is_open);
  tcase_add_test (t, unpausable_replica_is_surveyed_when_commits_have_ended);
  tcase_add_test (t, new_leader_resumes_replicas);
  suite_add_tcase (s, t);
  SRunner *r = srunner_create (s);
  srunner_run_all (r, CK_ENV);
  int failed = srunner_ntests_failed (r);
  srunner_free (r);
  return failed != 0;
}
