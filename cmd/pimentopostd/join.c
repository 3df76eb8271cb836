#include "duties.h"

#include <stdio.h>

void
join_init (join_t *j, apr_pool_t *pool, const settings_t *s)
{
  *j = (join_t){ .settings = s,
                 .address = s->listen,
                 .last_hello = -HELLO_INTERVAL };
  j->peers = apr_pcalloc (pool, (s->npeers + 1) * sizeof *j->peers);
  for (size_t i = 0; i < s->npeers; i++)
    if (!str_eq (s->peers[i].name, s->name))
      j->peers[j->n++] = (join_peer_t){ .name = s->peers[i].name,
                                        .address = s->peers[i].address,
                                        .answered_at = -1 };
    else
      j->address = s->peers[i].address;
}

static bool
is_configured (const join_t *j, str_t name)
{
  for (size_t i = 0; i < j->nnames; i++)
    if (str_eq (str_of (j->name[i]), name))
      return true;
  return false;
}

static bool
in_settings (const join_t *j, str_t name)
{
  for (size_t i = 0; i < j->settings->npeers; i++)
    if (str_eq (j->settings->peers[i].name, name))
      return true;
  return false;
}

static const member_t *
member_named (raft_t *r, str_t name)
{
  const members_t *m = raft_member_list (r);

  for (size_t i = 0; i < m->list.n; i++)
    if (str_eq (LIST_AT (m->list, member_t, i)->name, name))
      return LIST_AT (m->list, member_t, i);
  return NULL;
}

/* Whether the instance NAME may join.  A removed instance remains in the
   settings, so those count only while there is no configuration, or for an
   instance that is a member under another id.  */
static bool
may_join (const join_t *j, raft_t *r, str_t name)
{
  return is_configured (j, name)
         || (in_settings (j, name)
             && (j->nnames == 0 || member_named (r, name)));
}

void
join_set_config (join_t *j, apr_pool_t *pool, str_t text, int64_t version)
{
  ctl_conf_t c;
  apr_pool_t *tmp;

  if (version == j->version || apr_pool_create (&tmp, pool))
    return;
  j->version = version;
  j->nnames = 0;
  if (text.n && ctl_conf_ops.read (ctl_conf_ops.arg, tmp, text, &c, NULL))
    for (size_t i = 0; i < c.instances.n && j->nnames < CONTROL_MAX; i++)
      {
        const ctl_instance_t *x = LIST_AT (c.instances, ctl_instance_t, i);
        if (!x->entry && x->name.n < DB_NAME_MAX)
          snprintf (j->name[j->nnames++], DB_NAME_MAX, STR_FMT,
                    STR_ARG (x->name));
      }
  apr_pool_destroy (tmp);
}

void
join_remove_unneeded (const join_t *j, raft_t *r, msec_t now)
{
  const members_t *m = raft_member_list (r);

  if (!raft_leader_ready (r) || j->nnames == 0)
    return;
  for (size_t i = 0; i < j->nnames; i++)
    {
      const member_t *x = member_named (r, str_of (j->name[i]));
      if (x == NULL || !x->voter)
        return;
    }
  for (size_t i = 0; i < m->list.n; i++)
    {
      member_t x = *LIST_AT (m->list, member_t, i);
      char name[DB_NAME_MAX];
      if (is_configured (j, x.name))
        continue;
      /* raft_members changes the list that holds the name.  */
      snprintf (name, sizeof name, STR_FMT, STR_ARG (x.name));
      if (raft_members (r, MEMBER_REMOVE, &x, now, NULL))
        log_event (EV_RAFT_REMOVE, "instance=%s id=%lld", name,
                   (long long)x.id);
      return;
    }
}

/* Whether this instance forms the first membership: if all instances have
   empty folders, the one whose name sorts first.  All must have answered,
   since one that did not may hold a log.  */
static bool
forms_cluster (const join_t *j, msec_t now)
{
  for (size_t i = 0; i < j->n; i++)
    {
      const join_peer_t *o = &j->peers[i];
      if (o->answered_at < 0 || now - o->answered_at > HELLO_MAX_AGE
          || o->has_log || str_cmp (o->name, j->settings->name) < 0)
        return false;
    }
  return true;
}

static bool
bootstrap (const join_t *j, raft_t *r, msec_t now, err_t *e)
{
  member_t m[16];
  size_t n = 0;

  m[n++] = (member_t){ .id = raft_id (r),
                       .name = j->settings->name,
                       .address = j->address };
  for (size_t i = 0; i < j->n && n < 16; i++)
    m[n++] = (member_t){ .id = j->peers[i].id,
                         .name = j->peers[i].name,
                         .address = j->peers[i].address };
  log_event (EV_RAFT_BOOTSTRAP, "instances=%zu", n);
  return raft_bootstrap (r, m, n, now, e);
}

bool
join_tick (join_t *j, raft_t *r, msec_t now, join_send_t send, void *arg,
           err_t *e)
{
  hello_t m = { .id = raft_id (r),
                .name = j->settings->name,
                .address = j->address,
                .join = true };

  const member_t *self = raft_member (r, raft_id (r));

  if (self && str_eq (self->address, j->address))
    return true;
  if (raft_last (r) == 0 && forms_cluster (j, now))
    return bootstrap (j, r, now, e);
  if (now - j->last_hello < HELLO_INTERVAL)
    return true;
  j->last_hello = now;
  for (size_t i = 0; i < j->n; i++)
    send (arg, j->peers[i].address, MSG_HELLO, &m);
  return true;
}

void
join_handle_response (join_t *j, const hello_resp_t *m, msec_t now)
{
  for (size_t i = 0; i < j->n; i++)
    {
      join_peer_t *o = &j->peers[i];
      if (!str_eq (o->name, m->name))
        continue;
      o->id = m->id;
      o->has_log = m->has_log;
      o->answered_at = now;
    }
}

void
join_handle_hello (join_t *j, raft_t *r, const hello_t *m, msec_t now,
                   hello_resp_t *out)
{
  const member_t *l = raft_member (r, raft_leader (r));
  member_t add = { .id = m->id, .name = m->name, .address = m->address };
  err_t e = { 0 };
  char line[256];

  *out = (hello_resp_t){ .id = raft_id (r),
                         .name = j->settings->name,
                         .has_log = raft_last (r) > 0,
                         .leader = l ? l->address : (str_t){ 0 } };
  const member_t *existing = raft_member (r, m->id);
  if (!m->join || raft_role (r) != RAFT_LEADER || m->id <= 0
      || !may_join (j, r, m->name)
      || (existing && str_eq (existing->address, m->address)))
    return;
  if (raft_members (r, MEMBER_ADD, &add, now, &e))
    log_event (EV_RAFT_JOIN, "instance=" STR_FMT " id=%lld", STR_ARG (m->name),
               (long long)m->id);
  else if (e.code == ERR_CONFLICT)
    {
      err_line (&e, line, sizeof line);
      log_event (EV_RAFT_JOIN_REFUSED, "instance=" STR_FMT " cause=%s",
                 STR_ARG (m->name), line);
    }
}
