#include "raft.h"

static void
observe_role (const raft_t *r, raft_observed_t *s)
{
  if (raft_role (r) == s->role && raft_term (r) == s->term
      && raft_leader (r) == s->leader)
    return;
  s->role = raft_role (r);
  s->term = raft_term (r);
  s->leader = raft_leader (r);
  const member_t *l = raft_member (r, s->leader);
  log_event (EV_RAFT_ROLE, "role=%s term=%lld leader=" STR_FMT,
             s->role == RAFT_LEADER ? "leader" : "follower",
             (long long)s->term, STR_ARG (l ? l->name : STR ("-")));
}

static void
observe_members (const raft_t *r, raft_observed_t *s)
{
  const members_t *m = raft_member_list (r);
  buf_t b;

  if (m == s->members)
    return;
  s->members = m;
  s->members_changes++;
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
observe_disk (const raft_t *r, raft_observed_t *s)
{
  err_t e = { 0 };
  bool blocked = raft_blocked (r, &e);
  char line[256];

  if (blocked == s->blocked)
    return;
  s->blocked = blocked;
  err_line (&e, line, sizeof line);
  if (blocked)
    log_event (EV_DISK_REFUSES, "cause=%s", line);
  else
    log_event (EV_DISK_TAKES, "term=%lld last=%lld", (long long)raft_term (r),
               (long long)raft_last (r));
}

void
raft_observe (const raft_t *r, raft_observed_t *s)
{
  observe_disk (r, s);
  observe_role (r, s);
  observe_members (r, s);
}
