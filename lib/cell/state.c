#include "local.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

bool
cell_check (cell_t *c, bool ok)
{
  if (!ok && !c->failed)
    {
      char line[256];
      c->failed = true;
      err_line (&c->err, line, sizeof line);
      log_event (EV_RAFT_STOPPED, "cause=%s", line);
      loop_stop (c->loop);
    }
  return ok;
}

static void
ops_send (void *arg, int64_t to, msgtype_t type, const void *msg)
{
  cell_t *c = arg;

  if (type == MSG_VOTE_RESP || type == MSG_APPEND_RESP
      || type == MSG_SNAP_RESP)
    {
      peers_reply (c, c->sender, type, msg);
      return;
    }
  const member_t *m = raft_member (c->raft, to);
  if (m)
    peers_send (c, m->address, type, msg, true);
}

static bool
ops_vote (void *arg, int64_t term, int64_t vote, err_t *e)
{
  return store_vote (((cell_t *)arg)->store, term, vote, e);
}

static bool
ops_entries (void *arg, const log_entry_t *v, size_t n, err_t *e)
{
  return store_entries (((cell_t *)arg)->store, v, n, e);
}

static bool
ops_snapshot (void *arg, const raft_snap_t *s, err_t *e)
{
  return store_snapshot (((cell_t *)arg)->store, s, e);
}

static bool
ops_install (void *arg, const raft_snap_t *s, err_t *e)
{
  return store_install (((cell_t *)arg)->store, s, e);
}

static void
put (buf_t *b, str_t s)
{
  b->n = b->off = 0;
  buf_adds (b, s);
}

static void
decode_setup (cell_t *c)
{
  msgtype_t type = MSG_SETUP;
  err_t e = { 0 };
  char line[256];

  if (c->decoded_pool)
    apr_pool_destroy (c->decoded_pool);
  c->decoded_pool = NULL;
  c->decoded_setup = NULL;
  if (buf_len (&c->setup) == 0)
    return;
  apr_pool_create (&c->decoded_pool, c->pool);
  c->decoded_setup
      = rpc_decode (c->decoded_pool, buf_str (&c->setup), &type, &e);
  if (c->decoded_setup && type == MSG_SETUP)
    return;
  c->decoded_setup = NULL;
  err_line (&e, line, sizeof line);
  log_event (EV_RECORD_REFUSED, "version=%lld cause=%s", (long long)c->version,
             line);
}

static void
apply_setup (cell_t *c, int64_t version, str_t setup, str_t document)
{
  if (version <= c->version)
    return;
  log_event (EV_SETUP_ACCEPTED, "version=%lld before=%lld bytes=%zu",
             (long long)version, (long long)c->version, document.n);
  c->version = version;
  put (&c->setup, setup);
  put (&c->document, document);
  decode_setup (c);
}

static void
apply_intent (cell_t *c, const fleet_record_t *r, int64_t index)
{
  takeover_t *t;

  c->intents++;
  log_event (EV_PROMOTE_INTENT,
             "service=" STR_FMT " database=" STR_FMT " token=%lld",
             STR_ARG (r->service), STR_ARG (r->id), (long long)index);
  if (raft_leader_ready (c->raft) && (t = takeover_of (c, r->service)) != NULL)
    takeover_recorded (t, r->id, index, c->now);
}

void
roster_refused (cell_t *c, const backend_t *b, const char *source,
                const err_t *e)
{
  char line[256];

  err_line (e, line, sizeof line);
  counter_add (c->refused, 1);
  log_event (EV_BACKEND_REFUSED, "database=" STR_FMT " source=%s cause=%s",
             STR_ARG (b->id), source, line);
}

/* The roster is in the log so that after a restart of all control instances
   the databases are known before their next heartbeat.  Heartbeats that this
   instance received since are newer and stay.  */
void
roster_merge (cell_t *c, const list_t *v, const char *source)
{
  for (size_t i = 0; i < v->n; i++)
    {
      const backend_t *b = LIST_AT (*v, backend_t, i);
      err_t e = { 0 };
      if (!roster_heartbeat (&c->roster, b, c->now, &e) && e.code != ERR_STALE)
        roster_refused (c, b, source, &e);
    }
}

static void
ops_apply (void *arg, const log_entry_t *v)
{
  cell_t *c = arg;
  apr_pool_t *pool;
  msgtype_t type;
  err_t e = { 0 };

  if (v->kind != ENTRY_RECORD)
    return;
  apr_pool_create (&pool, c->pool);
  const fleet_record_t *r = rpc_decode (pool, v->data, &type, &e);
  if (r == NULL || type != MSG_FLEET_RECORD)
    log_event (EV_RECORD_REFUSED, "index=%lld cause=%s", (long long)v->index,
               err_name (e.code));
  else if (r->kind == FLEET_SETUP)
    apply_setup (c, r->version, r->setup, r->document);
  else if (r->kind == FLEET_ROSTER)
    roster_merge (c, &r->backends, "log");
  else
    apply_intent (c, r, v->index);
  apr_pool_destroy (pool);
}

static void
ops_state (void *arg, buf_t *out)
{
  const cell_t *c = arg;
  backend_t *v = calloc (c->roster.n + 1, sizeof *v);
  fleet_state_t s = { .version = c->version,
                      .setup = buf_str (&c->setup),
                      .document = buf_str (&c->document),
                      .intents = c->intents };

  if (v == NULL)
    abort ();
  s.backends.v = v;
  s.backends.n = roster_list (&c->roster, -1, c->now, v, c->roster.n);
  rpc_pack (out, MSG_FLEET_STATE, &s);
  free (v);
}

static bool
ops_restore (void *arg, const raft_snap_t *snap, err_t *e)
{
  cell_t *c = arg;
  apr_pool_t *pool;
  msgtype_t type = MSG_FLEET_STATE;

  apr_pool_create (&pool, c->pool);
  const fleet_state_t *s = rpc_decode (pool, snap->data, &type, e);
  bool ok = s && type == MSG_FLEET_STATE;
  if (ok)
    {
      c->version = s->version;
      c->intents = s->intents;
      put (&c->setup, s->setup);
      put (&c->document, s->document);
      decode_setup (c);
      roster_merge (c, &s->backends, "snapshot");
    }
  else
    err_set (e, ERR_CORRUPT, "snapshot", "not the state of a fleet");
  apr_pool_destroy (pool);
  return ok;
}

const raft_ops_t cell_raft_ops
    = { ops_send,    ops_vote,  ops_entries, ops_snapshot,
        ops_install, ops_apply, ops_state,   ops_restore };

/* ---- pending submissions and reads ---- */

static void
answer (cell_t *c, int64_t ticket, cell_status_t status)
{
  cell_answer_t a = { .status = status };
  const member_t *m = raft_member (c->raft, raft_leader (c->raft));

  if (status == CELL_NOT_LEADER
      && (m == NULL || m->id == raft_id (c->raft)
          || !str_copy (a.address, sizeof a.address, m->address)))
    a.status = CELL_UNAVAILABLE;
  if (status == CELL_OK)
    a.document = buf_str (&c->document);
  c->conf.ops.answer (c->conf.ops.arg, ticket, &a);
}

/* Proposes R; a failure of the store stops the process.  */
bool
cell_propose (cell_t *c, const fleet_record_t *r, int64_t *index)
{
  err_t e = { 0 };
  buf_t b;

  buf_init (&b);
  rpc_pack (&b, MSG_FLEET_RECORD, r);
  bool ok = raft_propose (c->raft, buf_str (&b), c->now, index, &e);
  buf_free (&b);
  if (!ok && e.code != ERR_NOT_LEADER && e.code != ERR_FULL
      && e.code != ERR_TOO_LARGE)
    {
      c->err = e;
      cell_check (c, false);
    }
  return ok;
}

void
roster_record (cell_t *c)
{
  fleet_record_t r = { .kind = FLEET_ROSTER };

  if (!raft_leader_ready (c->raft))
    {
      c->recorded_revision = -1;
      return;
    }
  if (c->recorded_revision >= c->roster.revision
      || c->now - c->recorded_at < RECORD_INTERVAL)
    return;
  backend_t *v = calloc (c->roster.n + 1, sizeof *v);
  if (v == NULL)
    abort ();
  r.backends.v = v;
  r.backends.n
      = roster_list (&c->roster, c->recorded_revision, c->now, v, c->roster.n);
  if (r.backends.n == 0 || cell_propose (c, &r, NULL))
    c->recorded_revision = c->roster.revision;
  c->recorded_at = c->now;
  free (v);
}

static pending_t *
pending_new (cell_t *c, int64_t ticket)
{
  for (int i = 0; i < PENDING_MAX; i++)
    if (c->pending[i].ticket == 0)
      {
        c->pending[i] = (pending_t){ .ticket = ticket, .since = c->now };
        return &c->pending[i];
      }
  return NULL;
}

static void
finish (cell_t *c, pending_t *p, cell_status_t status)
{
  int64_t ticket = p->ticket;

  p->ticket = 0;
  c->answered_at = c->now;
  answer (c, ticket, status);
}

static void
check_one (cell_t *c, pending_t *p)
{
  msec_t limit = p->read ? READ_TIMEOUT : SUBMIT_TIMEOUT;

  if (!raft_leader_ready (c->raft) || raft_term (c->raft) != p->term)
    finish (c, p, CELL_UNAVAILABLE);
  else if (p->read && raft_quorum_at (c->raft) > p->since
           && raft_applied (c->raft) >= p->index)
    finish (c, p, c->version ? CELL_OK : CELL_UNAVAILABLE);
  else if (!p->read && raft_applied (c->raft) >= p->index)
    finish (c, p, CELL_OK);
  else if (c->now - p->since > limit)
    finish (c, p, CELL_UNAVAILABLE);
}

bool
pending_any (const cell_t *c)
{
  for (int i = 0; i < PENDING_MAX; i++)
    if (c->pending[i].ticket)
      return true;
  return false;
}

void
pending_check (cell_t *c)
{
  for (int i = 0; i < PENDING_MAX; i++)
    if (c->pending[i].ticket)
      check_one (c, &c->pending[i]);
}

bool
cell_fits (str_t setup, str_t document)
{
  return setup.n + document.n + RECORD_OVERHEAD <= RAFT_MAX_RECORD;
}

void
cell_submit (cell_t *c, int64_t version, str_t setup, str_t document,
             int64_t ticket)
{
  fleet_record_t r = { .kind = FLEET_SETUP,
                       .version = version,
                       .setup = setup,
                       .document = document };

  c->now = loop_now (c->loop);
  if (!raft_leader_ready (c->raft))
    {
      answer (c, ticket, CELL_NOT_LEADER);
      return;
    }
  if (version <= c->version)
    {
      answer (c, ticket, CELL_OK);
      return;
    }
  if (!cell_fits (setup, document))
    {
      answer (c, ticket, CELL_TOO_LARGE);
      return;
    }
  pending_t *p = pending_new (c, ticket);
  if (p == NULL)
    {
      answer (c, ticket, CELL_UNAVAILABLE);
      return;
    }
  p->term = raft_term (c->raft);
  if (!cell_propose (c, &r, &p->index))
    finish (c, p, CELL_UNAVAILABLE);
}

void
cell_read (cell_t *c, int64_t ticket)
{
  pending_t *p;

  c->now = loop_now (c->loop);
  if (!raft_leader_ready (c->raft))
    {
      answer (c, ticket, CELL_NOT_LEADER);
      return;
    }
  if ((p = pending_new (c, ticket)) == NULL)
    {
      answer (c, ticket, CELL_UNAVAILABLE);
      return;
    }
  p->read = true;
  p->term = raft_term (c->raft);
  p->index = raft_commit (c->raft);
}
