/* pgwire - PostgreSQL protocol version 3: framing in both directions over
   buf_t, message parsers and builders, limits, and the SQLSTATEs that the
   proxy sends.

   Parsers return views into the input and consume nothing; the caller removes
   a message with buf_take (in, m.size) when it is done with it.  */

#ifndef PGWIRE_H
#define PGWIRE_H

#include "base.h"

enum
{
  PG_MAX_STARTUP = 10000,   /* bytes, as in PostgreSQL */
  PG_MAX_MESSAGE = 4 << 20, /* bytes of one message from a client */
  PG_MAX_ANSWER = 64 << 20, /* bytes of one message from a backend server */
  PG_MAX_OPTIONS = 32       /* parameters of one startup message */
};

/* ---- parsing ---- */

typedef enum
{
  PG_START_SESSION,
  PG_START_SSL,    /* reply with the byte 'N' and parse again */
  PG_START_GSSENC, /* reply with the byte 'N' and parse again */
  PG_START_CANCEL
} pgstart_kind_t;

typedef struct
{
  pgstart_kind_t kind;
  size_t size; /* bytes to consume */
  int minor;   /* the client requests protocol 3.MINOR */
  str_t user;
  str_t database;  /* empty if not sent: then the same as USER */
  str_t options;   /* command-line options "-c name=value ..." */
  uint32_t pid;    /* PG_START_CANCEL */
  uint32_t secret; /* PG_START_CANCEL */
  int n;           /* number of parameters, including those above */
  struct
  {
    str_t name;
    str_t value;
  } param[PG_MAX_OPTIONS];
} pgstart_t;

/* pg_startup: parses the first message of a connection, which has no type
   byte.  Returns 1 and fills S, 0 if more bytes are needed, -1 with
   ERR_TOO_LARGE, ERR_PROTOCOL or ERR_VERSION.  */
int pg_startup (const buf_t *in, pgstart_t *s, err_t *e);

typedef struct
{
  char type;
  str_t body;
  size_t size; /* bytes to consume: type, length and body */
} pgmsg_t;

/* pg_message: parses the first typed message of the unread bytes of IN, at
   most MAX bytes long.  Returns 1 and fills M, 0 if more bytes are needed, -1
   with ERR_TOO_LARGE or ERR_PROTOCOL (length below 4).  */
int pg_message (const buf_t *in, size_t max, pgmsg_t *m, err_t *e);
/* pg_next: the same for S from offset *OFF, which it advances.  */
int pg_next (str_t s, size_t *off, size_t max, pgmsg_t *m, err_t *e);

/* pg_client_type, pg_server_type: whether a client (a server) may send a
   message of TYPE after startup.  */
bool pg_client_type (char type);
bool pg_server_type (char type);

/* Cursor over the fields of a message body.  A read past the end sets BAD and
   returns zero or an empty string.  */
typedef struct
{
  const char *p;
  size_t n;
  bool bad;
} pgcur_t;

pgcur_t pg_cur (str_t body);
int pg_get8 (pgcur_t *c);
int pg_get16 (pgcur_t *c);
int32_t pg_get32 (pgcur_t *c);
str_t pg_getstr (pgcur_t *c); /* up to a NUL, which is consumed */
str_t pg_getbytes (pgcur_t *c, size_t n);

/* pg_query: the SQL text of a Query body.  */
bool pg_query (str_t body, str_t *text, err_t *e);

typedef struct
{
  str_t name;
  str_t text;
  int ntypes;
  str_t types; /* NTYPES type OIDs of 4 bytes */
} pgparse_t;
bool pg_parse (str_t body, pgparse_t *p, err_t *e);

typedef struct
{
  str_t portal;
  str_t name; /* of the prepared statement */
  str_t rest; /* format codes and parameter values, validated */
} pgbind_t;
bool pg_bind (str_t body, pgbind_t *b, err_t *e);

typedef struct
{
  char kind; /* 'S' statement or 'P' portal */
  str_t name;
} pgtarget_t;
/* pg_target: parses the body of Describe or Close.  */
bool pg_target (str_t body, pgtarget_t *d, err_t *e);

typedef struct
{
  str_t portal;
  int32_t max; /* rows; 0: no limit */
} pgexec_t;
bool pg_exec (str_t body, pgexec_t *x, err_t *e);

/* pg_row: stores the first MAX columns of a DataRow in COL.  Returns the
   number of columns, or -1 if the message is malformed.  P is NULL for an SQL
   NULL.  */
int pg_row (str_t body, str_t *col, int max);

typedef struct
{
  str_t severity; /* the non-localized one if sent */
  str_t code;     /* SQLSTATE */
  str_t message;
  str_t detail;
} pgerr_t;
/* pg_error: parses the body of an ErrorResponse or NoticeResponse.  */
bool pg_error (str_t body, pgerr_t *f, err_t *e);

/* ---- messages of a server ---- */

/* pg_begin, pg_end: start a message of TYPE and complete its length after the
   body was added.  AT is the result of pg_begin.  TYPE 0: no type byte.  */
size_t pg_begin (buf_t *b, char type);
void pg_end (buf_t *b, size_t at);
void pg_put16 (buf_t *b, int v);
void pg_put32 (buf_t *b, int32_t v);
void pg_putstr (buf_t *b, str_t s); /* adds the NUL */

/* pg_put_raw: a message of TYPE with BODY.  */
void pg_put_raw (buf_t *b, char type, str_t body);
void pg_put_auth_ok (buf_t *b);
void pg_put_status (buf_t *b, str_t name, str_t value);
void pg_put_key (buf_t *b, uint32_t pid, uint32_t secret);
/* pg_put_version: NegotiateProtocolVersion, for clients that request a newer
   minor version than 3.0.  */
void pg_put_version (buf_t *b, int minor);
/* pg_put_ready: ReadyForQuery; STATE is 'I', 'T' or 'E'.  */
void pg_put_ready (buf_t *b, char state);
/* pg_put_columns: RowDescription of N text columns.  */
void pg_put_columns (buf_t *b, const char *const *names, int n);
/* pg_put_row: DataRow of N values in text format; P == NULL for an SQL
   NULL.  */
void pg_put_row (buf_t *b, const str_t *values, int n);
void pg_put_complete (buf_t *b, const char *tag);
/* pg_put_error: ErrorResponse.  SEVERITY is "ERROR" or "FATAL"; DETAIL may be
   empty.  */
void pg_put_error (buf_t *b, const char *severity, const char *code,
                   str_t message, str_t detail);
void pg_put_notice (buf_t *b, const char *code, str_t message);
/* pg_put_empty: a message without a body: '1' ParseComplete, '2'
   BindComplete, '3' CloseComplete, 'n' NoData, 'I' EmptyQueryResponse, 's'
   PortalSuspended; 'S' Sync, 'H' Flush, 'X' Terminate.  */
void pg_put_empty (buf_t *b, char type);

/* ---- messages of a client ---- */

/* pg_put_startup: startup of protocol 3.0 for USER and DATABASE.  */
void pg_put_startup (buf_t *b, str_t user, str_t database);
void pg_put_cancel (buf_t *b, uint32_t pid, uint32_t secret);
void pg_put_query (buf_t *b, str_t text);
/* pg_put_parse: Parse; TYPES is NTYPES type OIDs of 4 bytes.  */
void pg_put_parse (buf_t *b, str_t name, str_t text, int ntypes, str_t types);
/* pg_put_bind: Bind of statement NAME; REST as in pgbind_t.  */
void pg_put_bind (buf_t *b, str_t portal, str_t name, str_t rest);
/* pg_put_target: Describe (TYPE 'D') or Close (TYPE 'C') of a statement (KIND
   'S') or portal (KIND 'P').  */
void pg_put_target (buf_t *b, char type, char kind, str_t name);
void pg_put_exec (buf_t *b, str_t portal, int32_t max);

/* ---- SQLSTATEs ---- */

typedef enum
{
  PG_NOT_RUN,
  PG_UNKNOWN /* outcome unknown */
} pgoutcome_t;

/* Refusals by the proxy: name, SQLSTATE, outcome of the request, message.  */
#define PG_REFUSALS(X)                                                        \
  X (PG_OVERLOAD, "53400", PG_NOT_RUN, "the queue is full")                   \
  X (PG_DEADLINE, "53400", PG_NOT_RUN, "the deadline cannot be met")          \
  X (PG_NO_PRIMARY, "57P03", PG_NOT_RUN, "no primary with a lease")           \
  X (PG_NO_DATABASE, "57P03", PG_NOT_RUN, "no database can serve the read")   \
  X (PG_SHUTDOWN, "57P01", PG_NOT_RUN, "the proxy is shutting down")          \
  X (PG_INDOUBT, "40003", PG_UNKNOWN, "statement completion unknown")         \
  X (PG_LOST_BLOCK, "40001", PG_NOT_RUN,                                      \
     "the transaction block was lost and rolled back")                        \
  X (PG_CANCELED, "57014", PG_NOT_RUN, "canceled on user request")            \
  X (PG_UNSUPPORTED, "0A000", PG_NOT_RUN, "not supported by the proxy")       \
  X (PG_MALFORMED, "08P01", PG_NOT_RUN, "malformed message")                  \
  X (PG_TOO_LARGE, "54000", PG_NOT_RUN, "message too large")                  \
  X (PG_NO_USER, "28000", PG_NOT_RUN, "no user name in the startup message")  \
  X (PG_NO_GROUP, "3D000", PG_NOT_RUN, "unknown group")                       \
  X (PG_BAD_SETTING, "22023", PG_NOT_RUN, "bad hint or setting")              \
  X (PG_NO_STATEMENT, "26000", PG_NOT_RUN, "unknown prepared statement")      \
  X (PG_ABORTED, "25P02", PG_NOT_RUN,                                         \
     "current transaction is aborted, commands are ignored until the end of " \
     "the transaction block")

typedef enum
{
#define X(name, code, run, text) name,
  PG_REFUSALS (X)
#undef X
      PG_NREFUSALS
} pgrefusal_t;

const char *pg_refusal_code (pgrefusal_t r);
pgoutcome_t pg_refusal_outcome (pgrefusal_t r);
/* pg_put_refusal: ErrorResponse whose message and detail both say "not run"
   or "outcome unknown".  WHY is appended to the detail; it may be NULL.  */
void pg_put_refusal (buf_t *b, pgrefusal_t r, bool fatal, const char *why);
/* pg_not_run_code: whether an ERROR with this SQLSTATE from a backend server
   proves that the statement did not run: 25006, 53300, 57P03.  */
bool pg_not_run_code (str_t code);

#endif
