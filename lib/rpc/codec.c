#include "rpc.h"
#include "scan.h"

#include <msgpack.h>
#include <string.h>

typedef enum
{
  F_INT,
  F_BOOL,
  F_STR,
  F_LIST
} fkind_t;

/* The fields of one record type, in the order of their encoding.  */
typedef struct table table_t;

typedef struct
{
  fkind_t kind;
  size_t off;         /* in the record */
  const table_t *sub; /* of the elements of a list */
} field_t;

struct table
{
  const char *name;
  size_t size; /* bytes of the record */
  size_t n;
  const field_t *f;
};

#define INT(t, m)                                                             \
  {                                                                           \
    F_INT, offsetof (t, m), NULL                                              \
  }
#define BOOL(t, m)                                                            \
  {                                                                           \
    F_BOOL, offsetof (t, m), NULL                                             \
  }
#define TEXT(t, m)                                                            \
  {                                                                           \
    F_STR, offsetof (t, m), NULL                                              \
  }
#define LIST(t, m, s)                                                         \
  {                                                                           \
    F_LIST, offsetof (t, m), &s##_table                                       \
  }
/* The fields of the record S_t; NAME is the text that rpc_name and error
   messages print for it.  */
#define TABLE_AS(s, name)                                                     \
  static const table_t s##_table                                              \
      = { name, sizeof (s##_t), sizeof s##_fields / sizeof *s##_fields,       \
          s##_fields }
#define TABLE(s) TABLE_AS (s, #s)

static const field_t vote_req_fields[]
    = { INT (vote_req_t, term), INT (vote_req_t, from),
        INT (vote_req_t, last_index), INT (vote_req_t, last_term),
        BOOL (vote_req_t, pre) };
TABLE (vote_req);

static const field_t vote_resp_fields[]
    = { INT (vote_resp_t, term), INT (vote_resp_t, from),
        BOOL (vote_resp_t, pre), BOOL (vote_resp_t, granted) };
TABLE (vote_resp);

static const field_t log_entry_fields[]
    = { INT (log_entry_t, term), INT (log_entry_t, index),
        INT (log_entry_t, kind), TEXT (log_entry_t, data) };
TABLE (log_entry);

static const field_t append_req_fields[]
    = { INT (append_req_t, term),
        INT (append_req_t, from),
        INT (append_req_t, prev_index),
        INT (append_req_t, prev_term),
        INT (append_req_t, commit),
        INT (append_req_t, seq),
        LIST (append_req_t, entries, log_entry) };
TABLE (append_req);

static const field_t append_resp_fields[]
    = { INT (append_resp_t, term),  INT (append_resp_t, from),
        INT (append_resp_t, seq),   BOOL (append_resp_t, ok),
        INT (append_resp_t, match), INT (append_resp_t, hint) };
TABLE (append_resp);

static const field_t snap_req_fields[]
    = { INT (snap_req_t, term),       INT (snap_req_t, from),
        INT (snap_req_t, last_index), INT (snap_req_t, last_term),
        INT (snap_req_t, offset),     INT (snap_req_t, total),
        TEXT (snap_req_t, members),   TEXT (snap_req_t, data),
        INT (snap_req_t, seq) };
TABLE (snap_req);

static const field_t snap_resp_fields[]
    = { INT (snap_resp_t, term),   INT (snap_resp_t, from),
        INT (snap_resp_t, offset), BOOL (snap_resp_t, done),
        INT (snap_resp_t, seq),    INT (snap_resp_t, last_index) };
TABLE (snap_resp);

static const field_t member_fields[]
    = { INT (member_t, id), BOOL (member_t, voter), TEXT (member_t, name),
        TEXT (member_t, address), TEXT (member_t, zone) };
TABLE (member);

static const field_t members_fields[] = { LIST (members_t, list, member) };
TABLE (members);

static const field_t hello_fields[]
    = { INT (hello_t, id),       TEXT (hello_t, name),
        TEXT (hello_t, address), BOOL (hello_t, join),
        TEXT (hello_t, zone),    BOOL (hello_t, request_removal) };
TABLE (hello);

static const field_t hello_resp_fields[]
    = { INT (hello_resp_t, id),       TEXT (hello_resp_t, name),
        BOOL (hello_resp_t, has_log), TEXT (hello_resp_t, leader),
        TEXT (hello_resp_t, zone),    BOOL (hello_resp_t, removed) };
TABLE (hello_resp);

static const field_t raft_state_fields[]
    = { INT (raft_state_t, id), INT (raft_state_t, term),
        INT (raft_state_t, vote) };
TABLE (raft_state);

static const field_t raft_record_fields[]
    = { LIST (raft_record_t, entries, log_entry) };
TABLE (raft_record);

static const field_t raft_snap_fields[]
    = { INT (raft_snap_t, index), INT (raft_snap_t, term),
        TEXT (raft_snap_t, members), TEXT (raft_snap_t, data) };
TABLE (raft_snap);

static const field_t probe_fields[]
    = { TEXT (probe_t, name),        TEXT (probe_t, address),
        BOOL (probe_t, reachable),   INT (probe_t, ok_age),
        INT (probe_t, term),         TEXT (probe_t, role),
        INT (probe_t, position),     INT (probe_t, confirmed),
        INT (probe_t, upstream_age), TEXT (probe_t, history) };
TABLE (probe);

static const field_t probe_report_fields[]
    = { TEXT (probe_report_t, from), LIST (probe_report_t, probes, probe) };
TABLE (probe_report);

static const field_t announce_fields[]
    = { TEXT (announce_t, group),   TEXT (announce_t, name),
        TEXT (announce_t, address), TEXT (announce_t, zone),
        INT (announce_t, term),     INT (announce_t, position),
        BOOL (announce_t, leaving), INT (announce_t, age) };
TABLE (announce);

static const field_t db_usage_fields[]
    = { TEXT (db_usage_t, name), INT (db_usage_t, open),
        INT (db_usage_t, demand) };
TABLE_AS (db_usage, "use");

static const field_t renew_fields[] = { TEXT (renew_t, name),
                                        TEXT (renew_t, zone),
                                        INT (renew_t, boot),
                                        INT (renew_t, seq),
                                        INT (renew_t, sent),
                                        INT (renew_t, cfg_term),
                                        INT (renew_t, cfg_index),
                                        BOOL (renew_t, stopping),
                                        LIST (renew_t, probes, probe),
                                        LIST (renew_t, announces, announce),
                                        LIST (renew_t, usage, db_usage),
                                        TEXT (renew_t, address),
                                        INT (renew_t, raft_term),
                                        BOOL (renew_t, brief) };
TABLE (renew);

static const field_t lease_fields[]
    = { TEXT (lease_t, group),     INT (lease_t, term),
        TEXT (lease_t, primary),   TEXT (lease_t, address),
        INT (lease_t, ttl),        INT (lease_t, sample),
        INT (lease_t, sample_age), TEXT (lease_t, history) };
TABLE (lease);

static const field_t db_info_fields[]
    = { TEXT (db_info_t, group),   TEXT (db_info_t, name),
        TEXT (db_info_t, address), TEXT (db_info_t, zone),
        INT (db_info_t, state),    INT (db_info_t, term),
        INT (db_info_t, position), INT (db_info_t, lag) };
TABLE (db_info);

static const field_t budget_fields[]
    = { TEXT (budget_t, name), INT (budget_t, limit), INT (budget_t, ttl) };
TABLE (budget);

static const field_t grant_fields[] = { INT (grant_t, seq),
                                        INT (grant_t, sent),
                                        INT (grant_t, status),
                                        INT (grant_t, raft_term),
                                        TEXT (grant_t, leader),
                                        INT (grant_t, cfg_term),
                                        INT (grant_t, cfg_index),
                                        INT (grant_t, cfg_version),
                                        BOOL (grant_t, cfg_confirmed),
                                        TEXT (grant_t, cfg),
                                        LIST (grant_t, leases, lease),
                                        LIST (grant_t, dbs, db_info),
                                        LIST (grant_t, budgets, budget),
                                        BOOL (grant_t, brief) };
TABLE (grant);

static const field_t submit_fields[]
    = { TEXT (submit_t, id), TEXT (submit_t, operator_name),
        INT (submit_t, base), TEXT (submit_t, text) };
TABLE (submit);

static const field_t submit_resp_fields[]
    = { INT (submit_resp_t, status),    INT (submit_resp_t, version),
        INT (submit_resp_t, raft_term), INT (submit_resp_t, index),
        TEXT (submit_resp_t, by),       TEXT (submit_resp_t, leader),
        TEXT (submit_resp_t, detail),   BOOL (submit_resp_t, repeated) };
TABLE (submit_resp);

static const field_t query_fields[]
    = { TEXT (query_t, what), TEXT (query_t, arg), INT (query_t, since),
        INT (query_t, limit), BOOL (query_t, json) };
TABLE (query);

static const field_t query_resp_fields[]
    = { BOOL (query_resp_t, ok), TEXT (query_resp_t, text),
        TEXT (query_resp_t, leader) };
TABLE (query_resp);

static const field_t route_entry_fields[]
    = { TEXT (route_entry_t, host),     TEXT (route_entry_t, service),
        INT (route_entry_t, freshness), INT (route_entry_t, max_age),
        INT (route_entry_t, timeout),   INT (route_entry_t, target),
        INT (route_entry_t, priority),  BOOL (route_entry_t, anonymous) };
TABLE (route_entry);

static const field_t service_entry_fields[]
    = { TEXT (service_entry_t, name), INT (service_entry_t, connections),
        INT (service_entry_t, sync_replicas) };
TABLE (service_entry);

static const field_t tenant_entry_fields[]
    = { TEXT (tenant_entry_t, name), INT (tenant_entry_t, priority),
        INT (tenant_entry_t, rate), INT (tenant_entry_t, burst) };
TABLE (tenant_entry);

static const field_t api_key_fields[]
    = { TEXT (api_key_t, key), INT (api_key_t, tenant) };
TABLE (api_key);

static const field_t setup_fields[]
    = { INT (setup_t, version),
        INT (setup_t, tx_idle),
        LIST (setup_t, routes, route_entry),
        LIST (setup_t, services, service_entry),
        BOOL (setup_t, tenanted),
        LIST (setup_t, tenants, tenant_entry),
        LIST (setup_t, keys, api_key) };
TABLE (setup);

static const field_t backend_fields[]
    = { TEXT (backend_t, id),      TEXT (backend_t, service),
        TEXT (backend_t, address), TEXT (backend_t, zone),
        INT (backend_t, born),     INT (backend_t, seq),
        INT (backend_t, age),      INT (backend_t, slots),
        BOOL (backend_t, primary), BOOL (backend_t, leaving),
        BOOL (backend_t, gone) };
TABLE (backend);

static const field_t endpoint_fields[]
    = { TEXT (endpoint_t, address), TEXT (endpoint_t, zone),
        BOOL (endpoint_t, gone) };
TABLE (endpoint);

static const field_t roster_fields[]
    = { TEXT (roster_t, from),          LIST (roster_t, backends, backend),
        BOOL (roster_t, full),          INT (roster_t, entries),
        BOOL (roster_t, has_endpoints), LIST (roster_t, endpoints, endpoint) };
TABLE (roster);

static const field_t reachability_fields[]
    = { TEXT (reachability_t, service), TEXT (reachability_t, id),
        INT (reachability_t, ok_age), INT (reachability_t, fail_age) };
TABLE_AS (reachability, "sight");

static const field_t watch_fields[] = {
  TEXT (watch_t, name),         INT (watch_t, seq),
  INT (watch_t, version),       INT (watch_t, roster),
  INT (watch_t, boot),          LIST (watch_t, reachability, reachability),
  TEXT (watch_t, address),      TEXT (watch_t, zone),
  BOOL (watch_t, takes_changes)
};
TABLE (watch);

static const field_t watch_update_fields[]
    = { INT (watch_update_t, seq),
        INT (watch_update_t, boot),
        BOOL (watch_update_t, has_leader),
        BOOL (watch_update_t, roster_complete),
        INT (watch_update_t, version),
        TEXT (watch_update_t, setup),
        INT (watch_update_t, roster),
        BOOL (watch_update_t, full),
        LIST (watch_update_t, backends, backend),
        LIST (watch_update_t, control, member),
        INT (watch_update_t, entries),
        BOOL (watch_update_t, has_endpoints),
        LIST (watch_update_t, endpoints, endpoint),
        BOOL (watch_update_t, endpoint_changes),
        INT (watch_update_t, retry_after) };
TABLE_AS (watch_update, "news");

static const field_t fleet_record_fields[]
    = { INT (fleet_record_t, kind),
        INT (fleet_record_t, version),
        TEXT (fleet_record_t, setup),
        TEXT (fleet_record_t, document),
        TEXT (fleet_record_t, service),
        TEXT (fleet_record_t, id),
        LIST (fleet_record_t, backends, backend) };
TABLE (fleet_record);

static const field_t fleet_state_fields[]
    = { INT (fleet_state_t, version), TEXT (fleet_state_t, setup),
        TEXT (fleet_state_t, document), INT (fleet_state_t, intents),
        LIST (fleet_state_t, backends, backend) };
TABLE (fleet_state);

static const field_t quota_ask_fields[]
    = { INT (quota_ask_t, seq),     TEXT (quota_ask_t, tenant),
        INT (quota_ask_t, version), INT (quota_ask_t, rate),
        INT (quota_ask_t, burst),   INT (quota_ask_t, need),
        INT (quota_ask_t, more),    INT (quota_ask_t, returned) };
TABLE (quota_ask);

static const field_t quota_grant_fields[]
    = { INT (quota_grant_t, seq), INT (quota_grant_t, tokens),
        INT (quota_grant_t, retry), BOOL (quota_grant_t, stopping) };
TABLE (quota_grant);

static const table_t *const tables[MSG_TYPES] = {
  [MSG_VOTE_REQ] = &vote_req_table,
  [MSG_VOTE_RESP] = &vote_resp_table,
  [MSG_APPEND_REQ] = &append_req_table,
  [MSG_APPEND_RESP] = &append_resp_table,
  [MSG_SNAP_REQ] = &snap_req_table,
  [MSG_SNAP_RESP] = &snap_resp_table,
  [MSG_PROBE_REPORT] = &probe_report_table,
  [MSG_RENEW] = &renew_table,
  [MSG_GRANT] = &grant_table,
  [MSG_SUBMIT] = &submit_table,
  [MSG_SUBMIT_RESP] = &submit_resp_table,
  [MSG_QUERY] = &query_table,
  [MSG_QUERY_RESP] = &query_resp_table,
  [MSG_HELLO] = &hello_table,
  [MSG_HELLO_RESP] = &hello_resp_table,
  [MSG_MEMBERS] = &members_table,
  [MSG_RAFT_STATE] = &raft_state_table,
  [MSG_RAFT_RECORD] = &raft_record_table,
  [MSG_RAFT_SNAP] = &raft_snap_table,
  [MSG_ROSTER] = &roster_table,
  [MSG_WATCH] = &watch_table,
  [MSG_WATCH_UPDATE] = &watch_update_table,
  [MSG_FLEET_RECORD] = &fleet_record_table,
  [MSG_FLEET_STATE] = &fleet_state_table,
  [MSG_SETUP] = &setup_table,
  [MSG_QUOTA_ASK] = &quota_ask_table,
  [MSG_QUOTA_GRANT] = &quota_grant_table,
};

const char *
rpc_name (msgtype_t type)
{
  return type > 0 && type < MSG_TYPES ? tables[type]->name : "unknown";
}

static int
append_bytes (void *out, const char *p, size_t n)
{
  buf_add (out, p, n);
  return 0;
}

static void pack_fields (msgpack_packer *pk, const table_t *t,
                         const char *record);

static void
pack_field (msgpack_packer *pk, const field_t *f, const char *record)
{
  const void *m = record + f->off;
  const str_t *s = m;
  const list_t *l = m;

  switch (f->kind)
    {
    case F_INT:
      msgpack_pack_int64 (pk, *(const int64_t *)m);
      break;
    case F_BOOL:
      if (*(const bool *)m)
        msgpack_pack_true (pk);
      else
        msgpack_pack_false (pk);
      break;
    case F_STR:
      msgpack_pack_bin (pk, s->n);
      msgpack_pack_bin_body (pk, s->p ? s->p : "", s->n);
      break;
    case F_LIST:
      msgpack_pack_array (pk, l->n);
      for (size_t i = 0; i < l->n; i++)
        {
          msgpack_pack_array (pk, f->sub->n);
          pack_fields (pk, f->sub, (const char *)l->v + i * f->sub->size);
        }
      break;
    }
}

static void
pack_fields (msgpack_packer *pk, const table_t *t, const char *record)
{
  for (size_t i = 0; i < t->n; i++)
    pack_field (pk, &t->f[i], record);
}

void
rpc_pack (buf_t *out, msgtype_t type, const void *msg)
{
  const table_t *t = tables[type];
  msgpack_packer pk;

  msgpack_packer_init (&pk, out, append_bytes);
  msgpack_pack_array (&pk, t->n + 2);
  msgpack_pack_int64 (&pk, type);
  msgpack_pack_int64 (&pk, RPC_VERSION);
  pack_fields (&pk, t, msg);
}

void
rpc_encode (buf_t *out, msgtype_t type, const void *msg)
{
  uint32_t zero = 0;

  buf_add (out, &zero, sizeof zero);
  /* Offsets are relative to the unread part, since growing the buffer may move
     it.  */
  size_t body = buf_len (out);
  rpc_pack (out, type, msg);
  size_t n = buf_len (out) - body;
  unsigned char *p = (unsigned char *)out->p + out->off + body - sizeof zero;
  p[0] = (unsigned char)(n >> 24);
  p[1] = (unsigned char)(n >> 16);
  p[2] = (unsigned char)(n >> 8);
  p[3] = (unsigned char)n;
}

int
rpc_frame (const buf_t *in, str_t *body, err_t *e)
{
  if (buf_len (in) < 4)
    return 0;
  const unsigned char *p = (const unsigned char *)in->p + in->off;
  size_t n
      = (size_t)p[0] << 24 | (size_t)p[1] << 16 | (size_t)p[2] << 8 | p[3];
  if (n > RPC_MAX_FRAME)
    {
      err_set (e, ERR_TOO_LARGE, "frame",
               "length of %zu bytes, at most %d allowed", n, RPC_MAX_FRAME);
      return -1;
    }
  if (buf_len (in) < n + 4)
    return 0;
  *body = (str_t){ (char *)p + 4, n };
  return 1;
}

static bool unpack_fields (apr_pool_t *pool, const table_t *t,
                           const msgpack_object *o, size_t n, char *record,
                           err_t *e);

static bool
unpack_list (apr_pool_t *pool, const table_t *t, const msgpack_object *o,
             list_t *l, err_t *e)
{
  if (o->type != MSGPACK_OBJECT_ARRAY)
    return err_set (e, ERR_PROTOCOL, t->name, "expected a list");
  if (o->via.array.size > RPC_MAX_LIST)
    return err_set (e, ERR_TOO_LARGE, t->name,
                    "list of %u records, at most %d allowed",
                    o->via.array.size, RPC_MAX_LIST);
  l->n = o->via.array.size;
  l->v = apr_pcalloc (pool, l->n * t->size + 1);
  for (size_t i = 0; i < l->n; i++)
    {
      const msgpack_object *x = &o->via.array.ptr[i];
      if (x->type != MSGPACK_OBJECT_ARRAY)
        return err_set (e, ERR_PROTOCOL, t->name, "expected a record");
      if (!unpack_fields (pool, t, x->via.array.ptr, x->via.array.size,
                          (char *)l->v + i * t->size, e))
        return false;
    }
  return true;
}

static bool
unpack_field (apr_pool_t *pool, const table_t *t, const field_t *f,
              const msgpack_object *o, char *record, err_t *e)
{
  void *m = record + f->off;
  bool num = o->type == MSGPACK_OBJECT_POSITIVE_INTEGER
             || o->type == MSGPACK_OBJECT_NEGATIVE_INTEGER;

  if (f->kind == F_LIST)
    return unpack_list (pool, f->sub, o, m, e);
  if (f->kind == F_INT && num)
    *(int64_t *)m = o->via.i64;
  else if (f->kind == F_BOOL && o->type == MSGPACK_OBJECT_BOOLEAN)
    *(bool *)m = o->via.boolean;
  else if (f->kind == F_STR && o->type == MSGPACK_OBJECT_BIN)
    *(str_t *)m
        = str_dup (pool, (str_t){ (char *)o->via.bin.ptr, o->via.bin.size });
  else
    return err_set (e, ERR_PROTOCOL, t->name,
                    "field of wrong type, msgpack type %d", (int)o->type);
  return true;
}

static bool
unpack_fields (apr_pool_t *pool, const table_t *t, const msgpack_object *o,
               size_t n, char *record, err_t *e)
{
  for (size_t i = 0; i < t->n && i < n; i++)
    if (!unpack_field (pool, t, &t->f[i], &o[i], record, e))
      return false;
  return true;
}

static void *
unpack_message (apr_pool_t *pool, const msgpack_object *o, msgtype_t *type,
                err_t *e)
{
  const msgpack_object *v = o->via.array.ptr;

  if (o->type != MSGPACK_OBJECT_ARRAY || o->via.array.size < 2
      || v[0].type != MSGPACK_OBJECT_POSITIVE_INTEGER
      || v[1].type != MSGPACK_OBJECT_POSITIVE_INTEGER)
    {
      err_set (e, ERR_PROTOCOL, "frame", "no message type and version");
      return NULL;
    }
  if (v[1].via.u64 != RPC_VERSION)
    {
      err_set (e, ERR_VERSION, "frame",
               "protocol version %llu, this side has %d",
               (unsigned long long)v[1].via.u64, RPC_VERSION);
      return NULL;
    }
  if (v[0].via.u64 == 0 || v[0].via.u64 >= MSG_TYPES)
    {
      err_set (e, ERR_PROTOCOL, "frame", "unknown message type %llu",
               (unsigned long long)v[0].via.u64);
      return NULL;
    }
  *type = (msgtype_t)v[0].via.u64;
  const table_t *t = tables[*type];
  char *msg = apr_pcalloc (pool, t->size);
  if (!unpack_fields (pool, t, v + 2, o->via.array.size - 2, msg, e))
    return NULL;
  return msg;
}

void *
rpc_decode (apr_pool_t *pool, str_t body, msgtype_t *type, err_t *e)
{
  msgpack_unpacked u;
  size_t off = 0;
  void *msg = NULL;

  if (!rpc_scan (body))
    {
      err_set (e, ERR_PROTOCOL, "frame",
               "%zu bytes that are not exactly one valid msgpack value",
               body.n);
      return NULL;
    }
  msgpack_unpacked_init (&u);
  int rc = msgpack_unpack_next (&u, body.p, body.n, &off);
  if (rc != MSGPACK_UNPACK_SUCCESS || off != body.n)
    err_set (e, ERR_PROTOCOL, "frame", "msgpack unpacking failed with code %d",
             rc);
  else
    msg = unpack_message (pool, &u.data, type, e);
  msgpack_unpacked_destroy (&u);
  return msg;
}
