#include "tool.h"

#include <stdio.h>

/* Prints the answer of control, ending with a newline.  */
static void
print_text (const tool_t *t, str_t text)
{
  if (t->table && print_table (text))
    return;
  if (text.p == NULL || text.n == 0)
    return;
  fwrite (text.p, 1, text.n, stdout);
  if (text.p[text.n - 1] != '\n')
    putchar ('\n');
  fflush (stdout);
}

static query_resp_t *
send_query (tool_t *t, const query_t *q, err_t *e)
{
  query_resp_t *r = call_query (t, q, msec_now () + t->timeout, e);

  if (r && !r->ok)
    {
      err_set (e, ERR_STATE, "query", STR_FMT, STR_ARG (r->text));
      return NULL;
    }
  return r;
}

static bool
print_query (tool_t *t, const char *what, str_t arg, err_t *e)
{
  query_t q = { .what = str_of (what),
                .arg = arg,
                .since = t->since,
                .limit = t->limit,
                .json = t->json || t->table };
  query_resp_t *r = send_query (t, &q, e);

  if (r)
    print_text (t, r->text);
  return r != NULL;
}

bool
run_status (tool_t *t, err_t *e)
{
  return print_query (t, "status", (str_t){ 0 }, e);
}

bool
run_config (tool_t *t, err_t *e)
{
  return print_query (t, "config", (str_t){ 0 }, e);
}

bool
run_audit (tool_t *t, err_t *e)
{
  return print_query (t, "audit", str_of (t->subject), e);
}

bool
run_explain (tool_t *t, err_t *e)
{
  const char *meaning = sqlstate_text (t->subject);
  buf_t b;

  if (meaning == NULL)
    return print_query (t, "explain", str_of (t->subject), e);
  buf_init (&b);
  buf_adds (&b, STR ("{\"sqlstate\": "));
  json_string (&b, str_of (t->subject));
  buf_adds (&b, STR (", \"meaning\": "));
  json_string (&b, str_of (meaning));
  if (t->json)
    printf (STR_FMT "}\n", STR_ARG (buf_str (&b)));
  else
    printf ("%s: %s\n", t->subject, meaning);
  buf_free (&b);
  return true;
}

static void
print_failure (const err_t *e)
{
  char line[400];

  err_line (e, line, sizeof line);
  fprintf (stderr, "pimentopost: %s\n", line);
}

/* Prints the status if it differs from LAST.  A failure is printed and does
   not end the watch, which should show a change of the control leader too;
   that of the FINAL query is returned.  */
static bool
watch_once (tool_t *t, str_t *last, bool final, err_t *e)
{
  query_t q = { .what = STR ("status"), .json = t->json || t->table };
  query_resp_t *r = send_query (t, &q, e);

  if (r == NULL && !final)
    print_failure (e);
  if (r && !str_eq (r->text, *last))
    print_text (t, r->text);
  if (r)
    *last = r->text;
  else
    *last = (str_t){ 0 };
  return r != NULL;
}

bool
run_watch (tool_t *t, err_t *e)
{
  apr_pool_t *pools[2] = { 0 };
  apr_pool_t *top = t->pool;
  str_t last = { 0 };
  bool ok = true;

  apr_pool_create (&pools[0], top);
  apr_pool_create (&pools[1], top);
  for (int64_t i = 0; t->count == 0 || i < t->count; i++)
    {
      bool final = i + 1 == t->count;
      /* Two pools alternate: the previous answer must live until it is
         compared with this one.  */
      t->pool = pools[i % 2];
      apr_pool_clear (t->pool);
      *e = (err_t){ 0 };
      ok = watch_once (t, &last, final, e);
      if (e->code == ERR_USAGE)
        break;
      if (!final)
        msec_sleep (t->interval);
    }
  t->pool = top;
  return ok;
}
