/* tool - shared declarations of the operator tool.  */

#ifndef TOOL_H
#define TOOL_H

#include "base.h"
#include "lint.h"
#include "rpc.h"

#include <argp.h>

enum
{
  MAX_SERVERS = 8
};

typedef struct
{
  apr_pool_t *pool;
  bool json;
  bool table; /* rows as aligned tables */
  bool local; /* the view of the first instance that answers, not of
                 the leader */
  str_t servers[MAX_SERVERS]; /* control instances, host:port */
  size_t nservers;
  msec_t timeout; /* of the whole command */
  /* Options and arguments of the commands.  */
  const char *file;
  const char *settings;
  const char *data;
  const char *output;
  int64_t base; /* version that a submission changes, -1: not given */
  const char *id;
  const char *operator_name;
  bool wait;
  const char *subject;
  int64_t since;
  int64_t limit;
  msec_t interval;
  int64_t count;
  const char *in_force; /* file with the configuration in force */
  lint_facts_t facts;
  int exit; /* exit status of a command that succeeded */
} tool_t;

typedef struct
{
  const char *name;
  const struct argp *argp;
  bool (*run) (tool_t *t, err_t *e);
} command_t;

extern const command_t commands[]; /* ends with an entry whose name is NULL */

bool run_check (tool_t *t, err_t *e);
bool run_generate (tool_t *t, err_t *e);
bool run_submit (tool_t *t, err_t *e);
bool run_status (tool_t *t, err_t *e);
bool run_watch (tool_t *t, err_t *e);
bool run_audit (tool_t *t, err_t *e);
bool run_explain (tool_t *t, err_t *e);
bool run_config (tool_t *t, err_t *e);
bool run_lint (tool_t *t, err_t *e);

/* tool_servers: adds a comma-separated list of addresses.  */
bool tool_servers (tool_t *t, str_t list, err_t *e);
/* call_query: queries the control instances in turn until one answers, then
   the leader that the answer names; returns the leader's answer if there is
   one.  Gives up at UNTIL: NULL with ERR_UNREACHABLE.  ERR_USAGE for a
   malformed or missing address.  */
query_resp_t *call_query (tool_t *t, const query_t *q, msec_t until, err_t *e);
/* fetch_document: GETs PATH from the servers in turn, over HTTP, until one
   answers; the body lives in the tool's pool.  ERR_UNREACHABLE when none
   does.  */
bool fetch_document (tool_t *t, const char *path, str_t *body, err_t *e);
/* call_submit: submits S to the leader, following the addresses that answers
   name, and resends it with the same id when an answer was lost.  Errors as
   call_query; MAYBE_SENT is then true when control may have received the
   submission although no answer came.  */
submit_resp_t *call_submit (tool_t *t, const submit_t *s, msec_t until,
                            bool *maybe_sent, err_t *e);
/* wait_in_force: waits until every reachable entry instance has the
   configuration at INDEX of the log, or a later one, in force.  ERR_TIMEOUT at
   UNTIL.  */
bool wait_in_force (tool_t *t, int64_t index, msec_t until, err_t *e);
/* print_table: prints a JSON array of objects as aligned tables; false when
   JSON is not such an array.  */
bool print_table (str_t json);
/* sqlstate_text: the meaning of an SQLSTATE that the proxy sends, or NULL.  */
const char *sqlstate_text (const char *state);
/* json_string: appends S to B as a JSON string.  */
void json_string (buf_t *b, str_t s);

#endif
