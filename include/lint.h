/* lint - findings about a valid configuration before it is sent: entries that
   can never match, limits that contradict each other, and what differs from
   the version in force.  Pure functions without I/O.  A finding never contains
   an API key.  */

#ifndef LINT_H
#define LINT_H

#include "base.h"
#include "rpc.h"

typedef enum
{
  LINT_CHANGE,  /* differs from the version in force */
  LINT_WARNING, /* accepted, but probably not what is meant */
  LINT_ERROR    /* control refuses the configuration */
} lint_level_t;

typedef struct
{
  lint_level_t level;
  str_t path; /* such as "routes[2].target"; counted from 0 */
  str_t text;
} finding_t;

typedef struct
{
  apr_pool_t *pool; /* findings live there */
  finding_t *at;
  size_t n;
  size_t cap;
} findings_t;

/* What the caller knows of the deployment beside its configuration; 0: not
   known, and findings that need it are left out.  */
typedef struct
{
  int64_t instances; /* entry instances */
  int64_t databases; /* of one service */
  int64_t slots;     /* statements that one database runs at a time */
  int64_t work;      /* ms that a statement takes at a database */
  int64_t lag;       /* ms that replicas are usually behind */
} lint_facts_t;

/* lint_add: adds a finding; FMT as printf.  */
void lint_add (findings_t *f, lint_level_t level, str_t path, const char *fmt,
               ...) __attribute__ ((format (printf, 4, 5)));
/* lint_setup: adds warnings about S, a valid configuration.  */
void lint_setup (findings_t *f, const setup_t *s, const lint_facts_t *facts);
/* lint_diff: adds what differs in TO from FROM, the version in force.  */
void lint_diff (findings_t *f, const setup_t *from, const setup_t *to);
/* lint_worst: highest level among the findings, LINT_CHANGE without any.  */
lint_level_t lint_worst (const findings_t *f);
/* lint_level_name: "change", "warning" or "error".  */
const char *lint_level_name (lint_level_t level);

#endif
