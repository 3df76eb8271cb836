#include "sim.h"

#include <ctype.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* Parser of the statement forms that pimentopost and its tests use: a
   tokenizer and one function for each form.  */
typedef enum
{
  T_END,
  T_WORD,
  T_TEXT, /* literal or parameter */
  T_SYMBOL
} ttype_t;

typedef struct
{
  apr_pool_t *pool;
  str_t in;
  const str_t *param;
  int nparams;
  ttype_t type; /* of the current token */
  str_t tok;
  const char *err;
} lex_t;

static void
skip_space (lex_t *x)
{
  for (;;)
    {
      while (x->in.n && isspace ((unsigned char)x->in.p[0]))
        x->in.p++, x->in.n--;
      if (!str_starts (x->in, STR ("/*")))
        return;
      char *end = memmem (x->in.p + 2, x->in.n - 2, "*/", 2);
      size_t n = end ? (size_t)(end + 2 - x->in.p) : x->in.n;
      x->in.p += n;
      x->in.n -= n;
    }
}

static void
take (lex_t *x, size_t n, ttype_t type)
{
  x->tok = (str_t){ x->in.p, n };
  x->type = type;
  x->in.p += n;
  x->in.n -= n;
}

static void
take_quoted (lex_t *x)
{
  char *out = apr_palloc (x->pool, x->in.n);
  size_t n = 0;
  size_t i = 1;
  char quote = x->in.p[0];

  for (; i < x->in.n; i++)
    {
      if (x->in.p[i] == quote)
        {
          if (i + 1 >= x->in.n || x->in.p[i + 1] != quote)
            break;
          i++;
        }
      out[n++] = x->in.p[i];
    }
  if (i >= x->in.n)
    x->err = "unterminated quoted string";
  else
    i++;
  x->in.p += i;
  x->in.n -= i;
  x->tok = (str_t){ out, n };
  x->type = quote == '\'' ? T_TEXT : T_WORD;
}

static void
take_param (lex_t *x)
{
  size_t n = 1;
  int64_t i = 0;

  while (n < x->in.n && isdigit ((unsigned char)x->in.p[n]))
    i = i * 10 + (x->in.p[n++] - '0');
  take (x, n, T_TEXT);
  if (i < 1 || i > x->nparams)
    x->tok = (str_t){ 0 };
  else
    x->tok = x->param[i - 1];
}

static void
next_token (lex_t *x)
{
  size_t n = 0;

  skip_space (x);
  if (x->in.n == 0)
    {
      take (x, 0, T_END);
      return;
    }
  unsigned char ch = (unsigned char)x->in.p[0];
  if (ch == '\'' || ch == '"')
    take_quoted (x);
  else if (ch == '$')
    take_param (x);
  else if (isalpha (ch) || ch == '_')
    {
      while (n < x->in.n
             && (isalnum ((unsigned char)x->in.p[n]) || x->in.p[n] == '_'
                 || x->in.p[n] == '.'))
        n++;
      take (x, n, T_WORD);
    }
  else if (isdigit (ch) || (ch == '-' && x->in.n > 1 && isdigit (x->in.p[1])))
    {
      for (n = 1;
           n < x->in.n
           && (isdigit ((unsigned char)x->in.p[n]) || x->in.p[n] == '.');)
        n++;
      take (x, n, T_TEXT);
    }
  else
    take (x, 1, T_SYMBOL);
}

static bool
token_is (const lex_t *x, const char *word)
{
  return (x->type == T_WORD || x->type == T_SYMBOL)
         && str_caseeq (x->tok, str_of (word));
}

static bool
accept_word (lex_t *x, const char *word)
{
  if (!token_is (x, word))
    return false;
  next_token (x);
  return true;
}

static void
expect (lex_t *x, const char *word)
{
  if (!accept_word (x, word) && x->err == NULL)
    x->err = "syntax error";
}

static str_t
word (lex_t *x)
{
  str_t t = x->tok;

  if (x->type != T_WORD && x->err == NULL)
    x->err = "syntax error";
  next_token (x);
  return t;
}

static str_t
value (lex_t *x)
{
  str_t t = x->tok;

  if (x->type != T_TEXT && x->err == NULL)
    x->err = "syntax error";
  next_token (x);
  if (accept_word (x, ":"))
    {
      expect (x, ":"); /* a cast is ignored: every type is text */
      word (x);
    }
  return t;
}

static void
columns (lex_t *x, stmt_t *st)
{
  do
    {
      if (st->ncols == COLS_MAX)
        x->err = "too many columns";
      else
        st->col[st->ncols++] = word (x);
    }
  while (x->err == NULL && accept_word (x, ","));
}

static void
where (lex_t *x, stmt_t *st)
{
  expect (x, "where");
  word (x);
  expect (x, "=");
  st->id = value (x);
}

static void
returning (lex_t *x, stmt_t *st)
{
  if (accept_word (x, "returning"))
    columns (x, st);
}

static void
parse_insert (lex_t *x, stmt_t *st)
{
  st->kind = ST_INSERT;
  expect (x, "into");
  st->table = word (x);
  expect (x, "(");
  word (x);
  expect (x, ",");
  word (x);
  expect (x, ")");
  expect (x, "values");
  expect (x, "(");
  st->id = value (x);
  expect (x, ",");
  st->val = value (x);
  expect (x, ")");
  returning (x, st);
}

static void
parse_update (lex_t *x, stmt_t *st)
{
  st->kind = ST_UPDATE;
  st->table = word (x);
  expect (x, "set");
  word (x);
  expect (x, "=");
  if (x->type == T_WORD)
    {
      st->add = true;
      next_token (x);
      if (accept_word (x, "|"))
        {
          st->add = false;
          st->append = true;
          expect (x, "|");
        }
      else if (x->type != T_TEXT)
        expect (x, "+");
      st->val = value (x);
    }
  else
    st->val = value (x);
  where (x, st);
  returning (x, st);
}

static void
parse_func (lex_t *x, stmt_t *st)
{
  st->kind = ST_FUNC;
  expect (x, "(");
  while (x->err == NULL && !token_is (x, ")"))
    {
      if (st->nargs == ARGS_MAX)
        x->err = "too many arguments";
      else
        st->arg[st->nargs++] = value (x);
      accept_word (x, ",");
    }
  expect (x, ")");
  func_cols (st);
  if (st->ncols == 0 && x->err == NULL)
    x->err = "unknown function";
}

static void
parse_call (lex_t *x, stmt_t *st, str_t name)
{
  char num[32];

  st->table = name;
  st->col[0] = name;
  if (str_caseeq (name, STR ("pg_sleep")))
    {
      expect (x, "(");
      str_t v = value (x);
      snprintf (num, sizeof num, STR_FMT, STR_ARG (v));
      st->kind = ST_SLEEP;
      st->ncols = 1;
      st->n = (int64_t)(strtod (num, NULL) * 1000);
      expect (x, ")");
    }
  else if (str_caseeq (name, STR ("generate_series")))
    {
      st->kind = ST_SERIES;
      st->ncols = 1;
      expect (x, "(");
      value (x);
      expect (x, ",");
      if (!str_int (value (x), &st->n))
        x->err = "generate_series needs a number";
      expect (x, ")");
    }
  else
    parse_func (x, st);
}

static void
parse_select (lex_t *x, stmt_t *st)
{
  if (x->type == T_TEXT)
    {
      st->kind = ST_CONST;
      st->val = value (x);
      st->ncols = 1;
      st->col[0] = STR ("?column?");
      return;
    }
  if (accept_word (x, "*"))
    {
      expect (x, "from");
      parse_call (x, st, word (x));
      return;
    }
  str_t first = word (x);
  if (token_is (x, "(") && str_caseeq (first, STR ("count")))
    {
      st->kind = ST_COUNT;
      st->ncols = 1;
      st->col[0] = STR ("count");
      next_token (x);
      expect (x, "*");
      expect (x, ")");
      expect (x, "from");
      st->table = word (x);
      return;
    }
  if (token_is (x, "("))
    {
      parse_call (x, st, first);
      return;
    }
  st->col[st->ncols++] = first;
  if (accept_word (x, ","))
    columns (x, st);
  expect (x, "from");
  st->table = word (x);
  st->kind = token_is (x, "where") ? ST_SELECT : ST_LIST;
  if (st->kind == ST_SELECT)
    where (x, st);
}

static void
parse_set (lex_t *x, stmt_t *st)
{
  st->kind = ST_SET;
  if (!accept_word (x, "session"))
    accept_word (x, "local");
  st->table = word (x);
  if (!accept_word (x, "to"))
    expect (x, "=");
  st->val = x->tok;
  /* Only the first element of a list of values is kept.  */
  while (x->type != T_END && !token_is (x, ";"))
    next_token (x);
}

static void
parse_begin (lex_t *x, stmt_t *st)
{
  st->kind = ST_BEGIN;
  while (x->type == T_WORD || token_is (x, ","))
    {
      if (token_is (x, "only"))
        st->readonly = true;
      next_token (x);
    }
}

static void
parse_show (lex_t *x, stmt_t *st)
{
  st->kind = ST_SHOW;
  st->table = word (x);
  st->ncols = 1;
  st->col[0] = st->table;
}

static void
parse_delete (lex_t *x, stmt_t *st)
{
  st->kind = ST_DELETE;
  expect (x, "from");
  st->table = word (x);
  where (x, st);
  returning (x, st);
}

static void
parse_rest (lex_t *x, stmt_t *st, stmt_kind_t kind)
{
  st->kind = kind;
  while (x->type != T_END && !token_is (x, ";"))
    next_token (x);
}

static void
parse_one (lex_t *x, stmt_t *st)
{
  if (accept_word (x, "select"))
    parse_select (x, st);
  else if (accept_word (x, "insert"))
    parse_insert (x, st);
  else if (accept_word (x, "update"))
    parse_update (x, st);
  else if (accept_word (x, "delete"))
    parse_delete (x, st);
  else if (accept_word (x, "begin"))
    parse_begin (x, st);
  else if (accept_word (x, "start"))
    parse_begin (x, st);
  else if (accept_word (x, "commit") || accept_word (x, "end"))
    parse_rest (x, st, ST_COMMIT);
  else if (accept_word (x, "rollback") || accept_word (x, "abort"))
    parse_rest (x, st, ST_ROLLBACK);
  else if (accept_word (x, "set"))
    parse_set (x, st);
  else if (accept_word (x, "show"))
    parse_show (x, st);
  else if (accept_word (x, "discard") || accept_word (x, "reset"))
    parse_rest (x, st, ST_DISCARD);
  else if (accept_word (x, "create"))
    parse_rest (x, st, ST_CREATE);
  else if (x->type != T_END && !token_is (x, ";"))
    x->err = "syntax error";
}

bool
parse_next (apr_pool_t *pool, str_t *sql, const str_t *param, int nparams,
            stmt_t *st, const char **err)
{
  lex_t x = { .pool = pool, .in = *sql, .param = param, .nparams = nparams };

  *st = (stmt_t){ 0 };
  next_token (&x);
  parse_one (&x, st);
  if (x.err == NULL && x.type != T_END && !token_is (&x, ";"))
    x.err = "syntax error";
  *err = x.err;
  *sql = x.in;
  return x.err == NULL;
}
