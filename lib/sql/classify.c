#include "classify.h"

#include <pg_query.h>
#include <pg_query/pg_query.pb-c.h>
#include <stdio.h>
#include <string.h>

/* Properties of any part of a parse tree.  */
typedef struct
{
  bool write;   /* may change data */
  bool session; /* needs a connection of its own */
} found_t;

/* Functions without side effects.  A call of any other function makes the
   statement a write, since it may change data.  */
static const char *const pure_functions[] = {
  "abs",
  "age",
  "array_agg",
  "avg",
  "bool_and",
  "bool_or",
  "btrim",
  "ceil",
  "char_length",
  "concat",
  "concat_ws",
  "count",
  "current_database",
  "current_schema",
  "current_setting",
  "date_part",
  "date_trunc",
  "dense_rank",
  "exp",
  "extract",
  "first_value",
  "floor",
  "format",
  "format_type",
  "generate_series",
  "initcap",
  "json_agg",
  "json_build_object",
  "jsonb_agg",
  "jsonb_build_object",
  "lag",
  "last_value",
  "lead",
  "left",
  "length",
  "ln",
  "lower",
  "lpad",
  "ltrim",
  "max",
  "md5",
  "min",
  "mod",
  "now",
  "obj_description",
  "pg_get_expr",
  "pg_get_userbyid",
  "pg_sleep",
  "pg_table_is_visible",
  "position",
  "power",
  "quote_literal",
  "random",
  "rank",
  "regexp_replace",
  "repeat",
  "replace",
  "reverse",
  "right",
  "round",
  "row_number",
  "row_to_json",
  "rpad",
  "rtrim",
  "sign",
  "split_part",
  "sqrt",
  "starts_with",
  "string_agg",
  "strpos",
  "substr",
  "substring",
  "sum",
  "to_char",
  "to_date",
  "to_json",
  "to_number",
  "to_timestamp",
  "translate",
  "trim",
  "trunc",
  "unnest",
  "upper",
  "version",
};

/* Functions that depend on the session or change its state.  */
static const char *const session_functions[] = {
  "pg_advisory_lock",
  "pg_advisory_lock_shared",
  "pg_advisory_unlock",
  "pg_advisory_unlock_all",
  "pg_advisory_unlock_shared",
  "pg_try_advisory_lock",
  "pg_try_advisory_lock_shared",
  "pg_backend_pid",
  "pg_notify",
  "set_config",
};

static bool
listed (const char *const *list, size_t n, const char *name)
{
  for (size_t i = 0; i < n; i++)
    if (strcmp (list[i], name) == 0)
      return true;
  return false;
}

#define LISTED(list, name) listed (list, sizeof (list) / sizeof *(list), name)

static void
visit_function (const PgQuery__FuncCall *f, found_t *found)
{
  if (f->n_funcname == 0)
    return;
  const PgQuery__Node *last = f->funcname[f->n_funcname - 1];
  if (last->node_case != PG_QUERY__NODE__NODE_STRING)
    return;
  const char *name = last->string->sval;
  /* The functions of the backend server interface change terms and roles;
     only the system itself may call them.  */
  if (strncmp (name, "pimentopost_", 12) == 0
      || LISTED (session_functions, name))
    found->session = true;
  else if (!LISTED (pure_functions, name))
    found->write = true;
}

static void
visit_message (const ProtobufCMessage *m, found_t *found)
{
  const ProtobufCMessageDescriptor *d = m->descriptor;

  if (d == &pg_query__func_call__descriptor)
    visit_function ((const PgQuery__FuncCall *)m, found);
  else if (d == &pg_query__insert_stmt__descriptor
           || d == &pg_query__update_stmt__descriptor
           || d == &pg_query__delete_stmt__descriptor
           || d == &pg_query__merge_stmt__descriptor
           || d == &pg_query__locking_clause__descriptor
           || d == &pg_query__into_clause__descriptor)
    found->write = true;
  else if (d == &pg_query__range_var__descriptor
           && strcmp (((const PgQuery__RangeVar *)m)->relpersistence, "t")
                  == 0)
    found->session = true;
}

static void walk (const ProtobufCMessage *m, found_t *found);

static void
walk_field (const ProtobufCMessage *m, const ProtobufCFieldDescriptor *f,
            found_t *found)
{
  const char *base = (const char *)m;

  if (f->type != PROTOBUF_C_TYPE_MESSAGE)
    return;
  if (f->label == PROTOBUF_C_LABEL_REPEATED)
    {
      size_t n = *(const size_t *)(base + f->quantifier_offset);
      ProtobufCMessage **v = *(ProtobufCMessage ***)(base + f->offset);
      for (size_t i = 0; i < n; i++)
        walk (v[i], found);
      return;
    }
  if ((f->flags & PROTOBUF_C_FIELD_FLAG_ONEOF)
      && *(const uint32_t *)(base + f->quantifier_offset) != f->id)
    return;
  walk (*(ProtobufCMessage *const *)(base + f->offset), found);
}

static void
walk (const ProtobufCMessage *m, found_t *found)
{
  if (m == NULL)
    return;
  visit_message (m, found);
  for (unsigned i = 0; i < m->descriptor->n_fields; i++)
    walk_field (m, &m->descriptor->fields[i], found);
}

static sqlclass_t
by_content (const PgQuery__Node *n, sqlclass_t otherwise)
{
  found_t found = { 0 };

  walk (&n->base, &found);
  if (found.session)
    return SQL_SESSION;
  return found.write ? SQL_WRITE : otherwise;
}

static bool
read_only_option (const PgQuery__TransactionStmt *t)
{
  for (size_t i = 0; i < t->n_options; i++)
    {
      const PgQuery__Node *o = t->options[i];
      if (o->node_case != PG_QUERY__NODE__NODE_DEF_ELEM
          || strcmp (o->def_elem->defname, "transaction_read_only") != 0)
        continue;
      const PgQuery__Node *a = o->def_elem->arg;
      return a && a->node_case == PG_QUERY__NODE__NODE_A_CONST
             && a->a_const->val_case == PG_QUERY__A__CONST__VAL_IVAL
             && a->a_const->ival->ival != 0;
    }
  return false;
}

static sqlclass_t
transaction_class (const PgQuery__TransactionStmt *t)
{
  switch (t->kind)
    {
    case PG_QUERY__TRANSACTION_STMT_KIND__TRANS_STMT_BEGIN:
    case PG_QUERY__TRANSACTION_STMT_KIND__TRANS_STMT_START:
      return read_only_option (t) ? SQL_BEGIN_READ_ONLY : SQL_BEGIN;
    case PG_QUERY__TRANSACTION_STMT_KIND__TRANS_STMT_COMMIT:
      /* COMMIT AND CHAIN starts the next transaction block.  */
      return t->chain ? SQL_SESSION : SQL_COMMIT;
    case PG_QUERY__TRANSACTION_STMT_KIND__TRANS_STMT_ROLLBACK:
      return t->chain ? SQL_SESSION : SQL_ROLLBACK;
    case PG_QUERY__TRANSACTION_STMT_KIND__TRANS_STMT_SAVEPOINT:
    case PG_QUERY__TRANSACTION_STMT_KIND__TRANS_STMT_RELEASE:
    case PG_QUERY__TRANSACTION_STMT_KIND__TRANS_STMT_ROLLBACK_TO:
      return SQL_SAVEPOINT;
    default:
      return SQL_TWO_PHASE;
    }
}

static str_t
constant_text (apr_pool_t *pool, const PgQuery__Node *n)
{
  if (n->node_case == PG_QUERY__NODE__NODE_TYPE_CAST)
    return constant_text (pool, n->type_cast->arg);
  if (n->node_case != PG_QUERY__NODE__NODE_A_CONST)
    return STR ("");
  const PgQuery__AConst *c = n->a_const;
  switch (c->val_case)
    {
    case PG_QUERY__A__CONST__VAL_IVAL:
      return str_fmt (pool, "%d", c->ival->ival);
    case PG_QUERY__A__CONST__VAL_FVAL:
      return str_dup (pool, str_of (c->fval->fval));
    case PG_QUERY__A__CONST__VAL_BOOLVAL:
      return c->boolval->boolval ? STR ("true") : STR ("false");
    case PG_QUERY__A__CONST__VAL_SVAL:
      return str_dup (pool, str_of (c->sval->sval));
    default:
      return STR ("");
    }
}

static sqlclass_t
set_class (apr_pool_t *pool, const PgQuery__VariableSetStmt *s, sql_t *out)
{
  out->name = str_dup (pool, str_of (s->name));
  switch (s->kind)
    {
    case PG_QUERY__VARIABLE_SET_KIND__VAR_SET_VALUE:
      for (size_t i = 0; i < s->n_args; i++)
        out->value = str_fmt (pool, STR_FMT "%s" STR_FMT, STR_ARG (out->value),
                              i ? "," : "",
                              STR_ARG (constant_text (pool, s->args[i])));
      break;
    case PG_QUERY__VARIABLE_SET_KIND__VAR_SET_DEFAULT:
      out->defaulted = true;
      break;
    case PG_QUERY__VARIABLE_SET_KIND__VAR_RESET:
    case PG_QUERY__VARIABLE_SET_KIND__VAR_RESET_ALL:
      return SQL_RESET;
    case PG_QUERY__VARIABLE_SET_KIND__VAR_SET_MULTI:
      /* SET TRANSACTION applies to the transaction block; SET SESSION
         CHARACTERISTICS applies beyond it.  */
      return strcmp (s->name, "TRANSACTION") == 0 ? SQL_SET_LOCAL
                                                  : SQL_SESSION;
    default:
      return SQL_SESSION;
    }
  return s->is_local ? SQL_SET_LOCAL : SQL_SET;
}

static sqlclass_t
cursor_class (const PgQuery__DeclareCursorStmt *d)
{
  enum
  {
    CURSOR_HOLD = 0x20 /* CURSOR_OPT_HOLD in PostgreSQL's parsenodes.h */
  };

  if (d->options & CURSOR_HOLD)
    return SQL_SESSION;
  return by_content (d->query, SQL_READ);
}

static bool
has_analyze (const PgQuery__ExplainStmt *e)
{
  for (size_t i = 0; i < e->n_options; i++)
    if (e->options[i]->node_case == PG_QUERY__NODE__NODE_DEF_ELEM
        && strcmp (e->options[i]->def_elem->defname, "analyze") == 0)
      return true;
  return false;
}

static sqlclass_t
statement_class (apr_pool_t *pool, const PgQuery__Node *n, sql_t *out)
{
  switch (n->node_case)
    {
    case PG_QUERY__NODE__NODE_SELECT_STMT:
      return by_content (n, SQL_READ);
    case PG_QUERY__NODE__NODE_EXPLAIN_STMT:
      return has_analyze (n->explain_stmt)
                 ? by_content (n->explain_stmt->query, SQL_READ)
                 : SQL_READ;
    case PG_QUERY__NODE__NODE_TRANSACTION_STMT:
      return transaction_class (n->transaction_stmt);
    case PG_QUERY__NODE__NODE_VARIABLE_SET_STMT:
      return set_class (pool, n->variable_set_stmt, out);
    case PG_QUERY__NODE__NODE_VARIABLE_SHOW_STMT:
      out->name = str_dup (pool, str_of (n->variable_show_stmt->name));
      return SQL_SHOW;
    case PG_QUERY__NODE__NODE_DISCARD_STMT:
      return SQL_RESET;
    case PG_QUERY__NODE__NODE_PREPARE_STMT:
    case PG_QUERY__NODE__NODE_EXECUTE_STMT:
    case PG_QUERY__NODE__NODE_DEALLOCATE_STMT:
      return SQL_PREPARE;
    case PG_QUERY__NODE__NODE_COPY_STMT:
      return SQL_COPY;
    case PG_QUERY__NODE__NODE_LISTEN_STMT:
    case PG_QUERY__NODE__NODE_UNLISTEN_STMT:
    case PG_QUERY__NODE__NODE_LOAD_STMT:
      return SQL_SESSION;
    case PG_QUERY__NODE__NODE_DECLARE_CURSOR_STMT:
      return cursor_class (n->declare_cursor_stmt);
    case PG_QUERY__NODE__NODE_FETCH_STMT:
    case PG_QUERY__NODE__NODE_CLOSE_PORTAL_STMT:
      return SQL_READ;
    default:
      return by_content (n, SQL_WRITE);
    }
}

static void
add_to_multi (sqlclass_t cls, sql_t *out)
{
  switch (cls)
    {
    case SQL_COPY:
    case SQL_SESSION:
    case SQL_TWO_PHASE:
    case SQL_PREPARE:
    case SQL_SET:
    case SQL_RESET:
      out->multi_refused = true;
      break;
    case SQL_BEGIN:
    case SQL_BEGIN_READ_ONLY:
    case SQL_COMMIT:
    case SQL_ROLLBACK:
    case SQL_SAVEPOINT:
      out->multi_block = true;
      break;
    case SQL_READ:
    case SQL_SHOW:
    case SQL_EMPTY:
      break;
    default:
      out->multi_write = true;
    }
}

static void
classify_tree (apr_pool_t *pool, const PgQuery__ParseResult *r, sql_t *out)
{
  if (r->n_stmts == 0)
    {
      out->cls = SQL_EMPTY;
      return;
    }
  for (size_t i = 0; i < r->n_stmts; i++)
    {
      out->cls = statement_class (pool, r->stmts[i]->stmt, out);
      add_to_multi (out->cls, out);
    }
  if (r->n_stmts > 1)
    out->cls = SQL_MULTI;
}

void
sql_parse (apr_pool_t *pool, const char *text, sql_t *out)
{
  *out = (sql_t){ .cls = SQL_INVALID };
  PgQueryProtobufParseResult res = pg_query_parse_protobuf (text);
  PgQuery__ParseResult *tree = NULL;

  if (res.error == NULL)
    tree = pg_query__parse_result__unpack (
        NULL, res.parse_tree.len, (const uint8_t *)res.parse_tree.data);
  if (tree)
    {
      classify_tree (pool, tree, out);
      pg_query__parse_result__free_unpacked (tree, NULL);
    }
  pg_query_free_protobuf_parse_result (res);
}
