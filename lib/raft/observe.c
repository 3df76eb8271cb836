#include "raft.h"

static void
observe_role (const raft_t *r, raft_observed_t *last)
{
  if (raft_role (r) == last->role && raft_term (r) == last->term
      && raft_leader (r) == last->leader)
    return;
  last->role = raft_role (r);
  last->term = raft_term (r);
  last->leader = raft_leader (r);
  const member_t *l = raft_member (r, last->leader);
  log_event (EV_RAFT_ROLE, "role=%s term=%lld leader=" STR_FMT,
             last->role == RAFT_LEADER ? "leader" : "follower",
             (long long)last->term, STR_ARG (l ? l->name : STR ("-")));
}

static void
observe_members (const raft_t *r, raft_observed_t *last)
{
  const members_t *m = raft_member_list (r);
  buf_t b;

  if (m == last->members)
    return;
  last->members = m;
  last->members_changes++;
  buf_init (&b);
  for (size_t i = 0; i < m->list.n; i++)
    {
      const member_t *x = LIST_AT (m->list, member_t, i);
      buf_fmt (&b, "%s" STR_FMT "%s", i ? "," : "", STR_ARG (x->name),
               x->voter ? "" : "(learner)");
    }
  log_event (EV_RAFT_MEMBERS, "members=" STR_FMT, STR_ARG (buf_str (&b)));
  buf_free (&b);
}

static void
observe_disk (const raft_t *r, raft_observed_t *last)
{
  err_t e = { 0 };
  bool blocked = raft_blocked (r, &e);
  char line[256];

  if (blocked == last->blocked)
    return;
  last->blocked = blocked;
  err_line (&e, line, sizeof line);
  if (blocked)
    log_event (EV_DISK_REFUSES, "cause=%s", line);
  else
    log_event (EV_DISK_TAKES, "term=%lld last=%lld", (long long)raft_term (r),
               (long long)raft_last (r));
}

void
raft_observe (const raft_t *r, raft_observed_t *last)
{
  observe_disk (r, last);
  observe_role (r, last);
  observe_members (r, last);
}
