/* conf - settings of a process, the operators' questionnaire, and the
   configuration that is generated from it.

   All texts are YAML.  A failed check sets an err_t with the subject (the
   file, or "configuration"), the line and one of ERR_SYNTAX, ERR_UNKNOWN_KEY,
   ERR_DUPLICATE_KEY, ERR_MISSING_KEY, ERR_BAD_TYPE, ERR_BAD_UNIT, ERR_RANGE,
   ERR_REFERENCE, ERR_TOO_LARGE.  Durations are written with a unit (`ms` or
   `s`) and stored in ms.  Results are allocated in POOL.  */

#ifndef CONF_H
#define CONF_H

#include "base.h"

enum
{
  CONF_MAX_TEXT = 256 << 10,    /* bytes of a settings or questionnaire text */
  CONF_MAX_NAME = 63,           /* bytes of a name */
  CONF_CONTROL_CONNECTIONS = 3, /* per database, reserved for control */
  CONF_ENTRY_CONNECTIONS = 1,   /* the same for each entry instance */
  CONF_DEFAULT_QUEUE = 256,     /* default of limits.queue */
  CONF_DEFAULT_WINDOW = 1000    /* ms, default of limits.session_window */
};

typedef enum
{
  ROLE_ENTRY,
  ROLE_CONTROL
} role_t;

/* conf_role_name: "entry" or "control".  */
const char *conf_role_name (role_t r);

/* ---- settings of pimentopostd ---- */

typedef struct
{
  str_t name;
  str_t address; /* host:port */
} peer_t;

typedef struct
{
  role_t role;
  str_t name;
  str_t zone;    /* availability zone */
  str_t listen;  /* host:port; entry: clients, control: rpc */
  str_t health;  /* host:port; HTTP health and metrics */
  peer_t *peers; /* all control instances, one of them lists itself too */
  size_t npeers;
  str_t data;    /* control: path of the data directory */
  int log_level; /* 0..7 as in syslog; default 6 */
  int workers;   /* event loops of an entry process, 1..64; default 1 */
} settings_t;

/* settings_parse: parses and checks TEXT; errors name FILE.  Returns NULL and
   sets E on error.  */
settings_t *settings_parse (apr_pool_t *pool, const char *file, str_t text,
                            err_t *e);
/* settings_load: settings_parse on the file at PATH; also ERR_SYS.  */
settings_t *settings_load (apr_pool_t *pool, const char *path, err_t *e);
/* settings_text: S as YAML.  */
str_t settings_text (apr_pool_t *pool, const settings_t *s);

/* ---- questionnaire and configuration ---- */

typedef struct
{
  str_t name;
  int databases;       /* 3..9 */
  int slots;           /* per database */
  int connections;     /* limit of each database */
  msec_t connect_time; /* ms to open a connection */
  int shared;          /* derived: connections of each database that control
                          divides among the entry instances by demand, beyond
                          CONF_CONTROL_CONNECTIONS and
                          CONF_ENTRY_CONNECTIONS per entry instance */
} cfg_group_t;

typedef struct
{
  str_t name;
  role_t role;
  str_t zone;
  str_t address; /* entry: clients, control: rpc */
  str_t health;
} cfg_instance_t;

typedef enum
{
  EFFECT_READ,
  EFFECT_WRITE
} effect_t;

typedef struct
{
  str_t name;
  double worth;    /* above 0, at most 1e6 */
  msec_t deadline; /* ms from the arrival of the request */
  msec_t max_age;  /* ms, accepted staleness of a read; -1: read-your-writes */
  bool repeatable; /* safe to run more than once */
  bool key;        /* requests must have an idempotency key */
  effect_t effect;
} cfg_kind_t;

typedef struct
{
  int queue;             /* waiting requests per database and process */
  int session_requests;  /* per session and window; 0: no limit */
  msec_t session_window; /* ms */
} cfg_limits_t;

/* A checked configuration.  Lists are sorted by name.  */
typedef struct
{
  str_t team;
  str_t region;
  str_t *zones;
  size_t nzones;
  cfg_group_t *groups;
  size_t ngroups;
  cfg_instance_t *instances;
  size_t ninstances;
  size_t nentry;   /* instances with role entry */
  size_t ncontrol; /* 3 or 5; no availability zone holds a majority */
  cfg_kind_t *kinds;
  size_t nkinds;
  cfg_limits_t limits;
} config_t;

/* questionnaire_parse: parses and checks TEXT; errors name FILE.  Returns NULL
   and sets E on error.  */
config_t *questionnaire_parse (apr_pool_t *pool, const char *file, str_t text,
                               err_t *e);
/* config_text: C as canonical YAML.  Equal configurations give equal bytes,
   whatever the order or layout of the questionnaire.  */
str_t config_text (apr_pool_t *pool, const config_t *c);
/* config_generate: questionnaire_parse and config_text in one step; OUT is the
   canonical YAML.  */
bool config_generate (apr_pool_t *pool, const char *file, str_t text,
                      str_t *out, err_t *e);
/* config_parse: parses canonical YAML.  Text that differs from what
   config_text would write is rejected with ERR_SYNTAX.  */
config_t *config_parse (apr_pool_t *pool, str_t text, err_t *e);

/* config_group, config_kind, config_instance: look up by name; NULL if
   absent.  */
const cfg_group_t *config_group (const config_t *c, str_t name);
const cfg_kind_t *config_kind (const config_t *c, str_t name);
const cfg_instance_t *config_instance (const config_t *c, str_t name);
/* config_settings: the settings of instance I.  The data directory of a
   control instance is DATA/NAME.  */
settings_t *config_settings (apr_pool_t *pool, const config_t *c,
                             const cfg_instance_t *i, const char *data);

/* conf_read_file: reads the whole file at PATH; ERR_SYS, ERR_TOO_LARGE over
   CONF_MAX_TEXT.  */
bool conf_read_file (apr_pool_t *pool, const char *path, str_t *text,
                     err_t *e);
/* conf_check: checks TEXT as settings if it has the key `role`, else as a
   questionnaire.  SETTINGS is set to true for settings.  */
bool conf_check (apr_pool_t *pool, const char *file, str_t text,
                 bool *settings, err_t *e);
/* conf_duration: parses "10ms" or "2s" into ms; ERR_BAD_TYPE, ERR_BAD_UNIT,
   ERR_RANGE.  */
bool conf_duration (str_t s, msec_t *out, err_t *e);

#endif
