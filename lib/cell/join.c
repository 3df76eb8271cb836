#include "local.h"

#include <stdio.h>
#include <string.h>

/* While this instance is no member it contacts the seeds of its settings;
   later the membership supplies the addresses.  */
void
cell_set_seeds (cell_t *c, const str_t *address, size_t n)
{
  join_t *j = &c->join;

  j->ncontact = 0;
  for (size_t i = 0; i < n && j->ncontact < PEERS_MAX; i++)
    {
      contact_t *o = &j->contact[j->ncontact];
      if (str_eq (address[i], c->conf.address))
        continue;
      *o = (contact_t){ .answered_at = -1 };
      j->ncontact += str_copy (o->address, sizeof o->address, address[i]);
    }
}

static bool
is_seed (const cell_t *c)
{
  for (size_t i = 0; i < c->conf.nseeds; i++)
    if (str_eq (c->conf.seeds[i], c->conf.address))
      return true;
  return false;
}

/* Whether this instance forms the first membership: at the first start of the
   deployment the seed with the lowest address does, once all seeds have
   answered that they have no log.  */
static bool
may_bootstrap (const cell_t *c)
{
  const join_t *j = &c->join;

  if (!c->conf.first_start || raft_last (c->raft) || !is_seed (c))
    return false;
  for (size_t i = 0; i < j->ncontact; i++)
    {
      const contact_t *o = &j->contact[i];
      if (o->answered_at < 0 || c->now - o->answered_at > HELLO_MAX_AGE
          || o->has_log || str_cmp (str_of (o->address), c->conf.address) < 0)
        return false;
    }
  return true;
}

static void
bootstrap (cell_t *c)
{
  member_t m[PEERS_MAX + 1];
  size_t n = 0;

  m[n++] = (member_t){ .id = raft_id (c->raft),
                       .name = c->conf.name,
                       .address = c->conf.address,
                       .zone = c->conf.zone };
  for (size_t i = 0; i < c->join.ncontact; i++)
    {
      const contact_t *o = &c->join.contact[i];
      m[n++] = (member_t){ .id = o->id,
                           .name = str_of (o->name),
                           .address = str_of (o->address),
                           .zone = str_of (o->zone) };
    }
  log_event (EV_RAFT_BOOTSTRAP, "instances=%zu", n);
  cell_check (c, raft_bootstrap (c->raft, m, n, c->now, &c->err));
}

static void
add_contact (cell_t *c, str_t address)
{
  join_t *j = &c->join;

  if (address.n == 0 || j->ncontact == PEERS_MAX
      || str_eq (address, c->conf.address))
    return;
  for (size_t i = 0; i < j->ncontact; i++)
    if (str_eq (str_of (j->contact[i].address), address))
      return;
  j->contact[j->ncontact] = (contact_t){ .answered_at = -1 };
  j->ncontact
      += str_copy (j->contact[j->ncontact].address, NAME_SIZE, address);
}

/* Members that are not seeds may know the leader as well.  */
static void
add_members (cell_t *c)
{
  const members_t *m = raft_member_list (c->raft);

  for (size_t i = 0; i < m->list.n; i++)
    add_contact (c, LIST_AT (m->list, member_t, i)->address);
}

void
join_tick (cell_t *c)
{
  const member_t *self = raft_member (c->raft, raft_id (c->raft));
  hello_t m = { .id = raft_id (c->raft),
                .name = c->conf.name,
                .address = c->conf.address,
                .join = true,
                .zone = c->conf.zone };

  if (raft_leader (c->raft))
    c->leader_seen_at = c->now;
  if (c->stopping_since)
    return;
  /* A member without a leader may have been removed while it was cut off, so
     it asks to join as well.  */
  if (self && str_eq (self->address, c->conf.address)
      && c->now - c->leader_seen_at < NO_LEADER_LIMIT)
    return;
  if (may_bootstrap (c))
    {
      bootstrap (c);
      return;
    }
  if (c->now - c->join.asked_at < HELLO_INTERVAL)
    return;
  c->join.asked_at = c->now;
  add_members (c);
  for (size_t i = 0; i < c->join.ncontact; i++)
    peers_send (c, str_of (c->join.contact[i].address), MSG_HELLO, &m, true);
}

void
join_handle_response (cell_t *c, const hello_resp_t *m)
{
  const remote_t *r = c->sender;

  for (size_t i = 0; r && i < c->join.ncontact; i++)
    {
      contact_t *o = &c->join.contact[i];
      if (strcmp (o->address, r->address) != 0
          || !str_copy (o->name, sizeof o->name, m->name)
          || !str_copy (o->zone, sizeof o->zone, m->zone))
        continue;
      o->id = m->id;
      o->has_log = m->has_log;
      o->answered_at = c->now;
    }
  c->removed |= m->removed;
  /* The leader may not be a seed.  */
  add_contact (c, m->leader);
}

void
join_handle_hello (cell_t *c, const hello_t *m, hello_resp_t *out)
{
  const member_t *l = raft_member (c->raft, raft_leader (c->raft));
  member_t add = {
    .id = m->id, .name = m->name, .address = m->address, .zone = m->zone
  };
  const member_t *known = raft_member (c->raft, m->id);
  err_t e = { 0 };

  *out = (hello_resp_t){ .id = raft_id (c->raft),
                         .name = c->conf.name,
                         .has_log = raft_last (c->raft) > 0,
                         .leader = l ? l->address : (str_t){ 0 },
                         .zone = c->conf.zone };
  if (m->request_removal)
    leave_request (c, m, out);
  if (!m->join || raft_role (c->raft) != RAFT_LEADER || m->id <= 0
      || (known && str_eq (known->address, m->address)))
    return;
  if (raft_members (c->raft, MEMBER_ADD, &add, c->now, &e))
    log_event (EV_RAFT_JOIN, "instance=" STR_FMT " id=%lld", STR_ARG (m->name),
               (long long)m->id);
  else if (e.code == ERR_CONFLICT)
    log_event (EV_RAFT_JOIN_REFUSED, "instance=" STR_FMT " cause=%s",
               STR_ARG (m->name), err_name (e.code));
}

/* ---- removal of silent members ---- */

static int
member_slot (cell_t *c, int64_t id)
{
  for (size_t i = 0; i < c->nmember; i++)
    if (c->member_id[i] == id)
      return (int)i;
  if (c->nmember == PEERS_MAX)
    return -1;
  c->member_id[c->nmember] = id;
  c->member_since[c->nmember] = c->now;
  c->member_answered_at[c->nmember] = c->now;
  return (int)c->nmember++;
}

static bool
is_member (const members_t *m, int64_t id)
{
  for (size_t i = 0; i < m->list.n; i++)
    if (LIST_AT (m->list, member_t, i)->id == id)
      return true;
  return false;
}

static void
free_slots (cell_t *c, const members_t *m)
{
  for (size_t i = 0; i < c->nmember; i++)
    {
      if (is_member (m, c->member_id[i]))
        continue;
      c->nmember--;
      c->member_id[i] = c->member_id[c->nmember];
      c->member_since[i] = c->member_since[c->nmember];
      c->member_answered_at[i] = c->member_answered_at[c->nmember];
      i--;
    }
}

/* Whether there are more voters than the fault tolerance needs.  A silent one
   then only raises the quorum: it may never come back, its replacement having
   joined long before.  If it does come back, it joins again.  */
bool
join_has_surplus (const cell_t *c)
{
  const members_t *m = raft_member_list (c->raft);
  int voters = 0;

  for (size_t i = 0; i < m->list.n; i++)
    voters += LIST_AT (m->list, member_t, i)->voter;
  return c->conf.fault_tolerance > 0
         && voters > 2 * c->conf.fault_tolerance + 1;
}

/* Whether some voter joined after the member of slot S fell silent: that voter
   replaces the member, which would only raise the quorum.  An instance that is
   cut off for a while stays a member, since no other joined meanwhile.  */
static bool
was_replaced (cell_t *c, int s)
{
  const members_t *m = raft_member_list (c->raft);

  for (size_t i = 0; i < m->list.n; i++)
    {
      const member_t *x = LIST_AT (m->list, member_t, i);
      int k = member_slot (c, x->id);
      if (k >= 0 && x->voter
          && c->now - c->member_answered_at[k] < MEMBER_TIMEOUT
          && c->member_since[k] + REPLACED_SLACK > c->member_answered_at[s]
          && c->member_since[k] > c->member_since[s])
        return true;
    }
  return false;
}

void
join_remove_unneeded (cell_t *c)
{
  const members_t *m = raft_member_list (c->raft);

  if (!raft_leader_ready (c->raft))
    {
      c->nmember = 0;
      return;
    }
  free_slots (c, m);
  for (size_t i = 0; i < m->list.n; i++)
    member_slot (c, LIST_AT (m->list, member_t, i)->id);
  for (size_t i = 0; i < m->list.n; i++)
    {
      member_t x = *LIST_AT (m->list, member_t, i);
      int s = member_slot (c, x.id);
      if (s < 0 || x.id == raft_id (c->raft)
          || c->now - c->member_answered_at[s] < MEMBER_TIMEOUT
          || !(join_has_surplus (c) || was_replaced (c, s)))
        continue;
      if (raft_members (c->raft, MEMBER_REMOVE, &x, c->now, NULL))
        log_event (EV_RAFT_REMOVE, "id=%lld silent_ms=%lld", (long long)x.id,
                   (long long)(c->now - c->member_answered_at[s]));
      return;
    }
}
