#include "worker.h"

#include <stdio.h>

enum
{
  CONFIRM_WAIT_MIN = 50 /* ms, shortest wait for a confirmation, also when less
                          is left until the deadline */
};

static void
put_query (buf_t *out, str_t text)
{
  pg_put_query (out, text);
}

static void
send_check (req_t *r, buf_t *out)
{
  char text[128];
  int n = snprintf (text, sizeof text,
                    "SELECT * FROM pimentopost_wait(%lld, %lld, %lld)",
                    (long long)r->route.need.term,
                    (long long)r->route.need.pos, (long long)r->route.wait);

  put_query (out, (str_t){ text, (size_t)n });
}

static void
send_confirm (req_t *r, buf_t *out)
{
  char text[80];
  msec_t left = r->deadline - r->w->now;
  int n = snprintf (
      text, sizeof text, "SELECT * FROM pimentopost_confirm(%lld)",
      (long long)(left < CONFIRM_WAIT_MIN ? CONFIRM_WAIT_MIN : left));

  put_query (out, (str_t){ text, (size_t)n });
}

static void
send_setup (req_t *r, buf_t *out)
{
  buf_t text = { 0 };

  guc_sql (&r->s->guc, &text);
  put_query (out, buf_str (&text));
  buf_free (&text);
}

static void
send_key (req_t *r, buf_t *out)
{
  buf_t text = { 0 };

  buf_adds (&text, STR ("INSERT INTO pimentopost_request (key, outcome) "
                        "VALUES ("));
  sql_quote (&text, (str_t){ r->key, r->key_len });
  buf_adds (&text, STR (", '')"));
  put_query (out, buf_str (&text));
  buf_free (&text);
}

static void
send_record (req_t *r, buf_t *out)
{
  buf_t text = { 0 };

  buf_adds (&text, STR ("UPDATE pimentopost_request SET outcome = '"));
  outcome_write (&text, buf_str (&r->hold));
  buf_adds (&text, STR ("' WHERE key = "));
  sql_quote (&text, (str_t){ r->key, r->key_len });
  put_query (out, buf_str (&text));
  buf_free (&text);
}

static void
send_outcome (req_t *r, buf_t *out)
{
  buf_t text = { 0 };

  buf_adds (&text, STR ("SELECT outcome FROM pimentopost_request WHERE "
                        "key = "));
  sql_quote (&text, (str_t){ r->key, r->key_len });
  put_query (out, buf_str (&text));
  buf_free (&text);
}

static void
send_segment (req_t *r, seg_t seg)
{
  buf_t *out = &r->conn->out;

  switch (seg)
    {
    case SEG_SETUP:
      send_setup (r, out);
      break;
    case SEG_CHECK:
      send_check (r, out);
      break;
    case SEG_BEGIN:
      put_query (out, STR ("BEGIN"));
      break;
    case SEG_KEY:
      send_key (r, out);
      break;
    case SEG_STMT:
      if (r->extended)
        batch_send (r, r->conn, request_unit (r));
      else
        buf_adds (out, request_unit (r));
      break;
    case SEG_RECORD:
      send_record (r, out);
      break;
    case SEG_COMMIT:
      put_query (out, STR ("COMMIT"));
      break;
    case SEG_ROLLBACK:
      put_query (out, STR ("ROLLBACK"));
      break;
    case SEG_OUTCOME:
      send_outcome (r, out);
      break;
    case SEG_CONFIRM:
      send_confirm (r, out);
      break;
    }
}

void
send_phase (req_t *r)
{
  for (int i = 0; i < r->x.nseg; i++)
    send_segment (r, (seg_t)r->x.seg[i]);
  r->conn->ready_due += r->x.nseg;
  conn_flush_later (r->conn);
}
