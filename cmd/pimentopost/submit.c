#include "tool.h"

#include "conf.h"

#include <pwd.h>
#include <stdio.h>
#include <stdlib.h>
#include <unistd.h>

/* Derives the id from the command, so that a command repeated after a lost
   answer returns the first outcome.  */
static str_t
derive_id (tool_t *t, const submit_t *s)
{
  str_t all = str_fmt (t->pool, STR_FMT "\n%lld\n" STR_FMT,
                       STR_ARG (s->operator_name), (long long)s->base,
                       STR_ARG (s->text));

  return str_fmt (t->pool, "%016llx", (unsigned long long)str_hash (all));
}

static void
add_config_servers (tool_t *t, const config_t *c)
{
  for (size_t i = 0; i < c->ninstances && t->nservers < MAX_SERVERS; i++)
    if (c->instances[i].role == ROLE_CONTROL)
      t->servers[t->nservers++] = c->instances[i].address;
}

static const char *
operator_name (const tool_t *t)
{
  const char *user = getenv ("USER");
  const struct passwd *pw;

  if (t->operator_name)
    return t->operator_name;
  if (user && *user)
    return user;
  pw = getpwuid (getuid ());
  return pw ? pw->pw_name : "";
}

static bool
prepare (tool_t *t, submit_t *s, err_t *e)
{
  const char *name = operator_name (t);
  config_t *c;

  if (t->base < 0)
    return err_set (e, ERR_USAGE, "--base", "is required");
  if (*name == '\0')
    return err_set (e, ERR_USAGE, "--operator", "is required");
  s->base = t->base;
  s->operator_name = str_of (name);
  if (!conf_read_file (t->pool, t->file, &s->text, e))
    return false;
  c = questionnaire_parse (t->pool, t->file, s->text, e);
  if (c == NULL)
    return false;
  if (t->nservers == 0)
    add_config_servers (t, c);
  s->id = t->id ? str_of (t->id) : derive_id (t, s);
  return true;
}

static void
print_outcome (const tool_t *t, const submit_t *s, const submit_resp_t *r)
{
  static const char *const names[]
      = { "accepted", "conflict", "invalid", "not-leader", "unknown" };
  const char *name = names[r->status];
  buf_t b;

  if (!t->json)
    {
      if (r->status == SUBMIT_ACCEPTED)
        printf ("accepted as version %lld%s\n", (long long)r->version,
                r->repeated ? " (outcome of the first submission)" : "");
      return;
    }
  buf_init (&b);
  buf_fmt (&b, "{\"outcome\": \"%s\", \"id\": ", name);
  json_string (&b, s->id);
  buf_fmt (&b,
           ", \"version\": %lld, \"raft_term\": %lld, \"index\": %lld, "
           "\"repeated\": %s, \"by\": ",
           (long long)r->version, (long long)r->raft_term, (long long)r->index,
           r->repeated ? "true" : "false");
  json_string (&b, r->by);
  buf_adds (&b, STR (", \"detail\": "));
  json_string (&b, r->detail);
  printf (STR_FMT "}\n", STR_ARG (buf_str (&b)));
  buf_free (&b);
}

static bool
outcome_error (const submit_t *s, const submit_resp_t *r, err_t *e)
{
  if (r->status == SUBMIT_CONFLICT)
    return err_set (e, ERR_CONFLICT, "submission",
                    "not in force: " STR_FMT " won with version %lld; get it "
                    "with 'pimentopost config' and submit again with --base "
                    "%lld",
                    STR_ARG (r->by), (long long)r->version,
                    (long long)r->version);
  if (r->status == SUBMIT_INVALID)
    return err_set (e, ERR_SYNTAX, "submission",
                    "refused by control: " STR_FMT, STR_ARG (r->detail));
  return err_set (e, ERR_PROTOCOL, "submission",
                  "unknown outcome %lld; repeat with --id " STR_FMT,
                  (long long)r->status, STR_ARG (s->id));
}

bool
run_submit (tool_t *t, err_t *e)
{
  msec_t until = msec_now () + t->timeout;
  submit_t s = { 0 };
  submit_resp_t *r;
  bool maybe_sent;

  if (!prepare (t, &s, e))
    return false;
  r = call_submit (t, &s, until, &maybe_sent, e);
  if (r == NULL && maybe_sent)
    return err_set (
        e, ERR_TIMEOUT, "submission",
        "outcome unknown; repeat the command, or use --id " STR_FMT,
        STR_ARG (s.id));
  if (r == NULL)
    return false;
  if (r->status != SUBMIT_ACCEPTED && r->status != SUBMIT_CONFLICT
      && r->status != SUBMIT_INVALID)
    return outcome_error (&s, r, e);
  print_outcome (t, &s, r);
  if (r->status != SUBMIT_ACCEPTED)
    return outcome_error (&s, r, e);
  return !t->wait || wait_in_force (t, r->index, until, e);
}
