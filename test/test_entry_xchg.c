#include "entry.h"

#include <check.h>
#include <string.h>

/* An exchange and what its client gets: OUT was sent, HOLD is still held.  */
typedef struct
{
  xchg_t x;
  buf_t out;
  buf_t hold;
  bool lease;
  xverdict_t v;
} client_t;

static bool
lease_holds (void *arg)
{
  return ((client_t *)arg)->lease;
}

static void
put (client_t *r, xaction_t act, str_t raw)
{
  if (act == X_HOLD)
    buf_adds (&r->hold, raw);
  if (act != X_FORWARD)
    return;
  buf_adds (&r->out, buf_str (&r->hold));
  r->hold.n = r->hold.off = 0;
  buf_adds (&r->out, raw);
}

static void
feed (client_t *r, const buf_t *b)
{
  xcallbacks_t cb = { .lease = lease_holds, .arg = r };
  str_t s = buf_str (b);
  size_t off = 0;
  pgmsg_t m;
  xaction_t act;
  char local;

  while (pg_next (s, &off, PG_MAX_ANSWER, &m, NULL) == 1 && r->v == XV_MORE)
    {
      while ((local = xchg_local_answer (&r->x, &cb, &act)) != 0)
        put (r, act, (str_t){ (char[]){ local, 0, 0, 0, 4 }, 5 });
      act = xchg_message (&r->x, &m, &cb, &r->v);
      put (r, act, (str_t){ s.p + off - m.size, m.size });
    }
}

static void
start (client_t *r, xplan_t plan)
{
  *r = (client_t){ .lease = true };
  xchg_init (&r->x, plan);
  xchg_phase (&r->x);
  xchg_sent (&r->x);
}

static void
end (client_t *r)
{
  buf_free (&r->out);
  buf_free (&r->hold);
}

/* ---- answers of a database ---- */

static void
internal_row (buf_t *b, const char *a, const char *p, const char *c)
{
  str_t v[4] = { str_of (a), str_of (p), str_of (c), STR ("1:0") };

  pg_put_row (b, v, 4);
  pg_put_complete (b, "SELECT 1");
  pg_put_ready (b, 'I');
}

static void
answer (buf_t *b, const char *tag, char state)
{
  pg_put_complete (b, tag);
  pg_put_ready (b, state);
}

static void
error_with (buf_t *b, const char *code, char state)
{
  pg_put_error (b, "ERROR", code, STR ("m"), STR (""));
  pg_put_ready (b, state);
}

static bool
has (const buf_t *b, char type)
{
  size_t off = 0;
  pgmsg_t m;

  while (pg_next (buf_str (b), &off, PG_MAX_ANSWER, &m, NULL) == 1)
    if (m.type == type)
      return true;
  return false;
}

static const xplan_t write_plan
    = { .kind = PLAN_WRITE, .lease = true, .term = 1 };

/* Guards against acknowledging a commit before its confirmation.  */
START_TEST (write_is_held)
{
  client_t r;
  buf_t b = { 0 };

  start (&r, write_plan);
  answer (&b, "INSERT 0 1", 'I');
  feed (&r, &b);
  ck_assert (r.v == XV_MORE && !has (&r.out, 'C') && has (&r.hold, 'C'));
  b.n = 0;
  internal_row (&b, "1", "7", "t");
  feed (&r, &b);
  ck_assert (r.v == XV_DONE && r.x.token.pos == 7);
  end (&r);
  buf_free (&b);
}
END_TEST

/* Guards against acknowledging a write of a former primary: the confirmation
   is missing or of another term, or the lease expired while this process was
   suspended.  */
START_TEST (write_without_confirmation)
{
  static const struct
  {
    const char *term;
    const char *confirmed;
    bool lease;
  } c[] = { { "1", "f", true }, { "2", "t", true }, { "1", "t", false } };

  for (size_t i = 0; i < sizeof c / sizeof *c; i++)
    {
      client_t r;
      buf_t b = { 0 };
      start (&r, write_plan);
      answer (&b, "INSERT 0 1", 'I');
      internal_row (&b, c[i].term, "7", c[i].confirmed);
      r.lease = c[i].lease;
      feed (&r, &b);
      ck_assert_int_eq (r.v, XV_UNKNOWN);
      ck_assert (!has (&r.out, 'C'));
      end (&r);
      buf_free (&b);
    }
}
END_TEST

/* Guards against a wrong "not run": it is true only after an error that rules
   out any effect, and only if no other statement of the request completed.  */
START_TEST (not_run_errors)
{
  static const struct
  {
    const char *code;
    bool complete; /* an earlier statement of the same request */
    xverdict_t v;
  } c[] = { { "25006", false, XV_NOT_RUN },
            { "53300", false, XV_NOT_RUN },
            { "23505", false, XV_DONE },
            { "25006", true, XV_UNKNOWN },
            { "23505", true, XV_UNKNOWN } };

  for (size_t i = 0; i < sizeof c / sizeof *c; i++)
    {
      client_t r;
      buf_t b = { 0 };
      start (&r, write_plan);
      if (c[i].complete)
        pg_put_complete (&b, "COMMIT");
      error_with (&b, c[i].code, 'I');
      error_with (&b, "57014", 'I'); /* the confirmation is cancelled */
      feed (&r, &b);
      ck_assert_msg (r.v == c[i].v, "case %zu: %d", i, r.v);
      end (&r);
      buf_free (&b);
    }
}
END_TEST

/* Guards against an answer from a replica that does not cover the token.  */
START_TEST (read_needs_proof)
{
  for (int covered = 0; covered < 2; covered++)
    {
      client_t r;
      buf_t b = { 0 };
      start (&r, (xplan_t){ .kind = PLAN_READ, .check = true });
      internal_row (&b, "1", "7", covered ? "t" : "f");
      pg_put_columns (&b, (const char *[]){ "a" }, 1);
      pg_put_row (&b, (str_t[]){ STR ("x") }, 1);
      answer (&b, "SELECT 1", 'I');
      feed (&r, &b);
      ck_assert_int_eq (r.v, covered ? XV_DONE : XV_UNPROVEN);
      ck_assert_int_eq (has (&r.out, 'D'), covered);
      ck_assert_int_eq (has (&r.out, 'C'), covered);
      ck_assert (r.hold.n == 0);
      end (&r);
      buf_free (&b);
    }
}
END_TEST

/* Guards against a read that is forwarded without proof: the check ended with
   an error, without a row, or with a row that can't be read.  */
START_TEST (failed_check_proves_nothing)
{
  for (int i = 0; i < 4; i++)
    {
      client_t r;
      buf_t b = { 0 };
      start (&r, (xplan_t){ .kind = PLAN_READ, .check = true });
      if (i == 0)
        error_with (&b, "57014", 'I');
      else if (i == 1)
        answer (&b, "SELECT 0", 'I');
      else
        internal_row (&b, i == 2 ? "x" : "1", i == 2 ? "7" : "", "t");
      pg_put_columns (&b, (const char *[]){ "a" }, 1);
      pg_put_row (&b, (str_t[]){ STR ("x") }, 1);
      answer (&b, "SELECT 1", 'I');
      feed (&r, &b);
      ck_assert_msg (r.v == XV_UNPROVEN, "case %d: %d", i, r.v);
      ck_assert (!has (&r.out, 'D'));
      ck_assert (!has (&r.out, 'C'));
      end (&r);
      buf_free (&b);
    }
}
END_TEST

/* Guards against a read on a primary whose lease has expired.  */
START_TEST (primary_read_needs_lease)
{
  client_t r;
  buf_t b = { 0 };

  start (&r, (xplan_t){ .kind = PLAN_READ, .lease = true, .term = 1 });
  r.lease = false;
  pg_put_row (&b, (str_t[]){ STR ("x") }, 1);
  answer (&b, "SELECT 1", 'I');
  feed (&r, &b);
  ck_assert (r.v == XV_UNPROVEN && r.out.n == 0 && r.hold.n == 0);
  end (&r);
  buf_free (&b);
}
END_TEST

static void
keyed_first_phase (client_t *r, buf_t *b, const char *insert_error,
                   const char *error)
{
  start (r, (xplan_t){ .kind = PLAN_KEYED, .lease = true, .term = 1 });
  answer (b, "BEGIN", 'T');
  if (insert_error)
    error_with (b, insert_error, 'E');
  else
    answer (b, "INSERT 0 1", 'T');
  if (error || insert_error)
    error_with (b, insert_error ? "25P02" : error, 'E');
  else
    answer (b, "INSERT 0 1", 'T');
  feed (r, b);
  ck_assert_int_eq (r->v, XV_NEXT_PHASE);
  ck_assert_uint_eq (r->out.n, 0);
  xchg_phase (&r->x);
  r->v = XV_MORE;
  b->n = 0;
}

/* Guards against running a keyed write twice, and against a repeat that does
   not get the recorded outcome.  */
START_TEST (keyed_write)
{
  client_t r;
  buf_t b = { 0 };

  keyed_first_phase (&r, &b, NULL, NULL);
  ck_assert_int_eq (r.x.seg[0], SEG_RECORD);
  answer (&b, "UPDATE 1", 'T');
  answer (&b, "COMMIT", 'I');
  internal_row (&b, "1", "9", "t");
  feed (&r, &b);
  ck_assert (r.v == XV_DONE && has (&r.hold, 'C'));
  end (&r);

  b.n = 0;
  keyed_first_phase (&r, &b, "23505", NULL);
  ck_assert_int_eq (r.x.seg[1], SEG_OUTCOME);
  answer (&b, "ROLLBACK", 'I');
  pg_put_row (&b, (str_t[]){ STR ("1:00") }, 1);
  answer (&b, "SELECT 1", 'I');
  internal_row (&b, "1", "9", "t");
  feed (&r, &b);
  ck_assert (r.v == XV_REPLAY && !has (&r.hold, 'C'));
  end (&r);

  b.n = 0;
  keyed_first_phase (&r, &b, NULL, "22012");
  answer (&b, "ROLLBACK", 'I');
  feed (&r, &b);
  ck_assert (r.v == XV_DONE && has (&r.hold, 'E'));
  end (&r);

  b.n = 0;
  keyed_first_phase (&r, &b, "25006", NULL);
  answer (&b, "ROLLBACK", 'I');
  feed (&r, &b);
  ck_assert_int_eq (r.v, XV_NOT_RUN);
  end (&r);

  b.n = 0;
  keyed_first_phase (&r, &b, NULL, NULL);
  answer (&b, "UPDATE 1", 'T');
  answer (&b, "ROLLBACK", 'I');
  internal_row (&b, "1", "9", "t");
  feed (&r, &b);
  ck_assert_int_eq (r.v, XV_UNKNOWN);
  end (&r);
  buf_free (&b);
}
END_TEST

/* Guards against an answer that goes to the wrong message of a batch (rule
   R4). The answer to a Parse that the proxy added is dropped; a Parse of a
   statement that is already prepared is answered by the proxy.  */
START_TEST (batch_answers)
{
  static const xop_t ops[]
      = { { '1', true, false, NULL },  { '1', false, true, NULL },
          { '2', false, false, NULL }, { 'T', false, false, NULL },
          { 'E', false, false, NULL }, { '3', false, true, NULL } };
  client_t r;
  buf_t b = { 0 };
  pgmsg_t m;
  size_t off = 0;
  char seen[16] = { 0 };

  start (&r, (xplan_t){ .kind = PLAN_READ, .extended = true });
  xchg_ops (&r.x, ops, 6);
  pg_put_empty (&b, '1');
  pg_put_empty (&b, '2');
  pg_put_columns (&b, (const char *[]){ "a" }, 1);
  pg_put_row (&b, (str_t[]){ STR ("x") }, 1);
  answer (&b, "SELECT 1", 'I');
  feed (&r, &b);
  ck_assert_int_eq (r.v, XV_DONE);
  buf_adds (&r.out, buf_str (&r.hold));
  for (int i = 0;
       pg_next (buf_str (&r.out), &off, 1000, &m, NULL) == 1 && i < 15; i++)
    seen[i] = m.type;
  ck_assert_str_eq (seen, "12TDC3");
  end (&r);

  start (&r, (xplan_t){ .kind = PLAN_READ, .extended = true });
  xchg_ops (&r.x, ops, 6);
  b.n = 0;
  pg_put_empty (&b, '2');
  feed (&r, &b);
  ck_assert_int_eq (r.v, XV_PROTOCOL);
  end (&r);
  buf_free (&b);
}
END_TEST

/* Guards against a wrong outcome for a request whose connection is lost.  */
START_TEST (connection_lost)
{
  static const struct
  {
    plan_kind_t kind;
    bool sent;
    xlost_t what;
  } c[]
      = { { PLAN_WRITE, false, XL_NOT_RUN }, { PLAN_WRITE, true, XL_UNKNOWN },
          { PLAN_COMMIT, true, XL_UNKNOWN }, { PLAN_READ, true, XL_READ },
          { PLAN_BLOCK, true, XL_BLOCK },    { PLAN_KEYED, true, XL_NOT_RUN },
          { PLAN_BEGIN, true, XL_READ } };

  for (size_t i = 0; i < sizeof c / sizeof *c; i++)
    {
      xchg_t x;
      xchg_init (&x, (xplan_t){ .kind = c[i].kind });
      xchg_phase (&x);
      if (c[i].sent)
        xchg_sent (&x);
      ck_assert_msg (xchg_lost (&x) == c[i].what, "case %zu", i);
      x.phase = 2;
      if (c[i].kind == PLAN_KEYED)
        ck_assert_int_eq (xchg_lost (&x), XL_UNKNOWN);
    }
}
END_TEST

static void
random_message (rng_t *g, buf_t *b)
{
  static const char *const codes[] = { "25006", "23505", "25P02", "42601" };
  static const char *const tags[] = { "INSERT 0 1", "COMMIT", "ROLLBACK" };

  switch (rng_below (g, 8))
    {
    case 0:
      internal_row (b, rng_below (g, 4) ? "1" : "2", "5",
                    rng_below (g, 3) ? "t" : "f");
      break;
    case 1:
      pg_put_error (b, "ERROR", codes[rng_below (g, 4)], STR ("m"), STR (""));
      break;
    case 2:
      pg_put_row (b, (str_t[]){ STR ("x") }, 1);
      break;
    case 3:
      pg_put_empty (b, "123nGA"[rng_below (g, 6)]);
      break;
    case 4:
      pg_put_complete (b, tags[rng_below (g, 3)]);
      break;
    default:
      pg_put_ready (b, "ITE"[rng_below (g, 3)]);
    }
}

/* Guards against an order of messages that acknowledges a write without
   confirmation and lease, or forwards a read without proof of coverage.  */
START_TEST (fuzz)
{
  static const plan_kind_t kinds[]
      = { PLAN_READ, PLAN_WRITE, PLAN_KEYED, PLAN_COMMIT, PLAN_BEGIN };
  rng_t g;
  int acks = 0;

  rng_init (&g, 7);
  for (int i = 0; i < 300000; i++)
    {
      client_t r;
      xplan_t plan = { .kind = kinds[rng_below (&g, 5)],
                       .check = false,
                       .lease = true,
                       .term = 1 };
      plan.check = plan.kind == PLAN_READ && rng_below (&g, 2);
      start (&r, plan);
      for (int k = 0; k < 14 && (r.v == XV_MORE || r.v == XV_NEXT_PHASE); k++)
        {
          buf_t b = { 0 };
          if (r.v == XV_NEXT_PHASE)
            xchg_phase (&r.x);
          r.v = XV_MORE;
          r.lease = rng_below (&g, 4) > 0;
          random_message (&g, &b);
          feed (&r, &b);
          buf_free (&b);
        }
      bool commits = plan.kind == PLAN_WRITE || plan.kind == PLAN_KEYED
                     || plan.kind == PLAN_COMMIT;
      if (commits && r.v == XV_DONE && r.x.complete && !r.x.failed
          && !r.x.rolled_back)
        {
          ck_assert (r.x.confirmed && r.x.token.term == 1 && r.lease);
          acks++;
        }
      if (commits)
        ck_assert (!has (&r.out, 'C'));
      if (plan.check && !r.x.covered)
        ck_assert_uint_eq (r.out.n, 0);
      if (r.v == XV_NOT_RUN)
        ck_assert (r.x.not_run && !r.x.forwarded);
      end (&r);
    }
  ck_assert_int_gt (acks, 100);
}
END_TEST

int
main (void)
{
  Suite *s = suite_create ("entry_xchg");
  TCase *t = tcase_create ("xchg");

  tcase_set_timeout (t, 60);
  tcase_add_test (t, write_is_held);
  tcase_add_test (t, write_without_confirmation);
  tcase_add_test (t, not_run_errors);
  tcase_add_test (t, read_needs_proof);
  tcase_add_test (t, failed_check_proves_nothing);
  tcase_add_test (t, primary_read_needs_lease);
  tcase_add_test (t, keyed_write);
  tcase_add_test (t, batch_answers);
  tcase_add_test (t, connection_lost);
  tcase_add_test (t, fuzz);
  suite_add_tcase (s, t);
  SRunner *r = srunner_create (s);
  srunner_run_all (r, CK_NORMAL);
  int failed = srunner_ntests_failed (r);
  srunner_free (r);
  return failed != 0;
}
