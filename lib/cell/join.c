#include "local.h"

#include <stdio.h>
#include <string.h>

/* The instances to ask are the seeds of the settings, as long as this one is
   no member; later the membership names them.  */
void
cell_seeds (cell_t *c, const str_t *address, size_t n)
{
  join_t *j = &c->join;

  j->n = 0;
  for (size_t i = 0; i < n && j->n < PEERS; i++)
    {
      other_t *o = &j->other[j->n];
      if (str_eq (address[i], c->conf.address))
        continue;
      *o = (other_t){ .at = -1 };
      snprintf (o->address, sizeof o->address, STR_FMT, STR_ARG (address[i]));
      j->n++;
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
   deployment, the seed with the lowest address, once all seeds answered that
   they hold no log.  */
static bool
forms_first (const cell_t *c)
{
  const join_t *j = &c->join;

  if (!c->conf.first || raft_last (c->raft) || !is_seed (c))
    return false;
  for (size_t i = 0; i < j->n; i++)
    {
      const other_t *o = &j->other[i];
      if (o->at < 0 || c->now - o->at > HELLO_AGE || o->has_log
          || str_cmp (str_of (o->address), c->conf.address) < 0)
        return false;
    }
  return true;
}

static void
bootstrap (cell_t *c)
{
  member_t m[PEERS + 1];
  size_t n = 0;

  m[n++] = (member_t){ .id = raft_id (c->raft),
                       .name = c->conf.name,
                       .address = c->conf.address,
                       .zone = c->conf.zone };
  for (size_t i = 0; i < c->join.n; i++)
    {
      const other_t *o = &c->join.other[i];
      m[n++] = (member_t){ .id = o->id,
                           .name = str_of (o->name),
                           .address = str_of (o->address),
                           .zone = str_of (o->zone) };
    }
  log_event (EV_RAFT_BOOTSTRAP, "instances=%zu", n);
  cell_step (c, raft_bootstrap (c->raft, m, n, c->now, &c->err));
}

static void
add_other (cell_t *c, str_t address)
{
  join_t *j = &c->join;

  if (address.n == 0 || j->n == PEERS || str_eq (address, c->conf.address))
    return;
  for (size_t i = 0; i < j->n; i++)
    if (str_eq (str_of (j->other[i].address), address))
      return;
  j->other[j->n] = (other_t){ .at = -1 };
  snprintf (j->other[j->n].address, sizeof j->other[j->n].address, STR_FMT,
            STR_ARG (address));
  j->n++;
}

/* Members that no seed names may know the leader as well.  */
static void
add_members (cell_t *c)
{
  const members_t *m = raft_member_list (c->raft);

  for (size_t i = 0; i < m->list.n; i++)
    add_other (c, LIST_AT (m->list, member_t, i)->address);
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
    c->led_at = c->now;
  if (c->stopping)
    return;
  /* A member that no leader calls may have been removed in its absence.  */
  if (self && str_eq (self->address, c->conf.address)
      && c->now - c->led_at < UNLED)
    return;
  if (forms_first (c))
    {
      bootstrap (c);
      return;
    }
  if (c->now - c->join.asked < HELLO_EVERY)
    return;
  c->join.asked = c->now;
  add_members (c);
  for (size_t i = 0; i < c->join.n; i++)
    peers_send (c, str_of (c->join.other[i].address), MSG_HELLO, &m, true);
}

void
join_answer (cell_t *c, const hello_resp_t *m)
{
  const remote_t *r = c->reply;

  for (size_t i = 0; r && i < c->join.n; i++)
    {
      other_t *o = &c->join.other[i];
      if (strcmp (o->address, r->address) != 0)
        continue;
      snprintf (o->name, sizeof o->name, STR_FMT, STR_ARG (m->name));
      snprintf (o->zone, sizeof o->zone, STR_FMT, STR_ARG (m->zone));
      o->id = m->id;
      o->has_log = m->has_log;
      o->at = c->now;
    }
  c->left |= m->removed;
  /* The leader may be none of the seeds.  */
  add_other (c, m->leader);
}

void
join_ask (cell_t *c, const hello_t *m, hello_resp_t *out)
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
    leave_ask (c, m, out);
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

/* ---- members that another has replaced ---- */

static int
slot (cell_t *c, int64_t id)
{
  for (size_t i = 0; i < c->nvoter; i++)
    if (c->voter[i] == id)
      return (int)i;
  if (c->nvoter == PEERS)
    return -1;
  c->voter[c->nvoter] = id;
  c->voter_since[c->nvoter] = c->now;
  c->heard[c->nvoter] = c->now;
  return (int)c->nvoter++;
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
forget_slots (cell_t *c, const members_t *m)
{
  for (size_t i = 0; i < c->nvoter; i++)
    {
      if (is_member (m, c->voter[i]))
        continue;
      c->nvoter--;
      c->voter[i] = c->voter[c->nvoter];
      c->voter_since[i] = c->voter_since[c->nvoter];
      c->heard[i] = c->heard[c->nvoter];
      i--;
    }
}

/* Whether there are more voters than the losses need.  A silent one of these
   only raises the quorum: it may be gone for good, its successor having joined
   long before.  It joins again when it comes back.  */
bool
join_surplus (const cell_t *c)
{
  const members_t *m = raft_member_list (c->raft);
  int voters = 0;

  for (size_t i = 0; i < m->list.n; i++)
    voters += LIST_AT (m->list, member_t, i)->voter;
  return c->conf.losses > 0 && voters > 2 * c->conf.losses + 1;
}

/* Whether some voter joined after the member of slot S fell silent: it takes
   the place of that one, which would only raise the quorum.  An instance that
   is cut off for a while keeps its place, since nobody joined instead.  */
static bool
was_replaced (cell_t *c, int s)
{
  const members_t *m = raft_member_list (c->raft);

  for (size_t i = 0; i < m->list.n; i++)
    {
      const member_t *x = LIST_AT (m->list, member_t, i);
      int k = slot (c, x->id);
      if (k >= 0 && x->voter && c->now - c->heard[k] < REPLACED
          && c->voter_since[k] + REPLACED_SLACK > c->heard[s]
          && c->voter_since[k] > c->voter_since[s])
        return true;
    }
  return false;
}

void
join_review (cell_t *c)
{
  const members_t *m = raft_member_list (c->raft);

  if (!raft_leader_ready (c->raft))
    {
      c->nvoter = 0;
      return;
    }
  forget_slots (c, m);
  for (size_t i = 0; i < m->list.n; i++)
    slot (c, LIST_AT (m->list, member_t, i)->id);
  for (size_t i = 0; i < m->list.n; i++)
    {
      member_t x = *LIST_AT (m->list, member_t, i);
      int s = slot (c, x.id);
      if (s < 0 || x.id == raft_id (c->raft) || c->now - c->heard[s] < REPLACED
          || !(join_surplus (c) || was_replaced (c, s)))
        continue;
      if (raft_members (c->raft, MEMBER_REMOVE, &x, c->now, NULL))
        log_event (EV_RAFT_REMOVE, "id=%lld silent_ms=%lld", (long long)x.id,
                   (long long)(c->now - c->heard[s]));
      return;
    }
}
