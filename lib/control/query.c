#include "ctl.h"
#include "json.h"

#include <string.h>

static const char *const kinds[] = {
  [REC_TAKEOVER] = "member", [REC_SUBMIT] = "configuration",
  [REC_MEMBER] = "member",   [REC_ENTRY] = "member",
  [REC_INTENT] = "primary",  [REC_PRIMARY] = "primary",
  [REC_LEASE] = "lease",     [REC_REPAIR] = "repair",
  [REC_REFUSAL] = "refusal",
};

static const char *
member_text (int64_t bits)
{
  if (bits & M_REMOVED)
    return "removed";
  if (bits & M_STALE)
    return "stale";
  if (bits & M_EXPIRED)
    return "expired";
  return (bits & M_LEAVING) ? "leaving" : "active";
}

static const char *
submit_text (int64_t status)
{
  static const char *const t[]
      = { "accepted", "conflict", "invalid", "not-leader", "unknown" };

  return status >= 0 && status <= SUBMIT_UNKNOWN ? t[status] : "unknown";
}

static const char *
entry_text (int64_t state)
{
  static const char *const t[] = { "down", "up", "removed", "has its floors" };

  return state >= 0 && state <= 3 ? t[state] : "unknown";
}

static str_t
subject (const rec_t *r)
{
  if (r->type == REC_SUBMIT)
    return r->id;
  if (r->type == REC_INTENT || r->type == REC_PRIMARY || r->type == REC_LEASE)
    return r->group;
  return r->name.n ? r->name : r->group;
}

/* Formats the old and the new value of a record in P.  */
static void
change (apr_pool_t *p, const rec_t *r, str_t *from, str_t *to)
{
  *from = *to = STR ("");
  switch ((rec_type_t)r->type)
    {
    case REC_SUBMIT:
      *from = str_fmt (p, "version %lld", (long long)r->base);
      *to = str_fmt (p, "%s, version %lld", submit_text (r->state),
                     (long long)r->position);
      break;
    case REC_MEMBER:
      *from = str_of (member_text (r->base));
      *to = str_fmt (p, "%s at " STR_FMT, member_text (r->state),
                     STR_ARG (r->address));
      break;
    case REC_ENTRY:
      *from = r->state == 1   ? STR ("down")
              : r->state == 3 ? STR ("")
                              : STR ("up");
      *to = str_of (entry_text (r->state));
      break;
    case REC_INTENT:
      *from = str_fmt (p, "term %lld primary " STR_FMT, (long long)r->base,
                       STR_ARG (r->name));
      *to = str_fmt (p, "term %lld to be started", (long long)r->term);
      break;
    case REC_PRIMARY:
      *from = str_fmt (p, "term %lld primary " STR_FMT, (long long)r->base,
                       STR_ARG (r->prev));
      *to = str_fmt (p, "term %lld primary " STR_FMT " at %lld",
                     (long long)r->term, STR_ARG (r->next),
                     (long long)r->position);
      break;
    case REC_LEASE:
      *to = str_fmt (p, "term %lld %s", (long long)r->term,
                     r->state ? "granted" : "ended");
      break;
    case REC_REPAIR:
      *from = str_fmt (p, STR_FMT " in term %lld", STR_ARG (r->prev),
                       (long long)r->base);
      *to = str_fmt (p, "follows " STR_FMT " in term %lld", STR_ARG (r->next),
                     (long long)r->term);
      break;
    default:
      break;
    }
}

static void
audit_row (rows_t *w, apr_pool_t *p, const audit_t *a, const rec_t *r)
{
  str_t from, to;

  change (p, r, &from, &to);
  rows_begin (w);
  rows_int (w, "index", a->index);
  rows_int (w, "term", a->raft_term);
  rows_int (w, "wall", r->wall);
  rows_str (w, "kind", str_of (kinds[r->type]));
  rows_str (w, "subject", subject (r));
  rows_str (w, "decider", r->decider);
  rows_str (w, "cause", r->cause);
  rows_str (w, "old", from);
  rows_str (w, "new", to);
  rows_end (w);
}

static bool
matches (const rec_t *r, str_t arg)
{
  return !arg.n || str_eq (arg, r->group) || str_eq (arg, r->name)
         || str_eq (arg, r->id) || str_eq (arg, r->actor)
         || str_eq (arg, str_of (kinds[r->type]));
}

/* The newest LIMIT records after SINCE that match ARG, oldest first.  */
static void
audit_rows (const control_t *c, rows_t *w, apr_pool_t *p, str_t arg,
            int64_t since, int64_t limit)
{
  rec_t r;
  size_t off;
  int first = c->naudits;
  int64_t n = 0;

  for (int pass = 0; pass < 2; pass++)
    for (int i = pass ? first : c->naudits - 1;
         pass ? i < c->naudits : i >= 0 && n < limit; i += pass ? 1 : -1)
      {
        const audit_t *a = audit_get (c, i);
        off = 0;
        if (a->index <= since
            || !rec_unpack ((str_t){ a->p, a->n }, &off, &r, NULL)
            || !matches (&r, arg))
          continue;
        if (pass)
          audit_row (w, p, a, &r);
        else
          {
            n++;
            first = i;
          }
      }
}

static void
group_rows (const control_t *c, rows_t *w, str_t arg, msec_t now)
{
  for (int i = 0; i < c->ngrp; i++)
    {
      const grp_t *g = c->grp[i];
      const char *why = lease_refusal (c, g, now);
      if (!conf_group (c, str_of (g->name))
          || (arg.n && !str_eq (arg, str_of (g->name))))
        continue;
      rows_begin (w);
      rows_str (w, "group", str_of (g->name));
      rows_int (w, "term", g->term);
      rows_str (w, "primary", str_of (g->primary));
      rows_bool (w, "failover", g->intent);
      rows_int (w, "promotions", g->promotions);
      rows_str (w, "lease", why ? STR ("no") : STR ("yes"));
      rows_str (w, "why", str_of (why ? why : "the primary answers"));
      rows_end (w);
    }
}

static void
db_rows (const control_t *c, rows_t *w, str_t arg, msec_t now)
{
  for (int i = 0; i < c->nmem; i++)
    {
      const mem_t *m = c->mem[i];
      if ((m->bits & M_REMOVED)
          || (arg.n && !str_eq (arg, mem_name (m))
              && !str_eq (arg, str_of (m->group))))
        continue;
      rows_begin (w);
      rows_str (w, "database", mem_name (m));
      rows_str (w, "group", str_of (m->group));
      rows_str (w, "address", str_of (m->address));
      rows_str (w, "zone", str_of (m->zone));
      rows_str (w, "state",
                str_of (member_text (mem_intact (m) ? m->bits : M_STALE)));
      rows_bool (w, "answers", mem_fresh (m, now));
      rows_str (w, "role", m->st.primary ? STR ("primary") : STR ("replica"));
      rows_int (w, "term", m->st.term);
      rows_int (w, "position", m->st.position);
      rows_str (w, "history", str_of (m->st.history));
      rows_end (w);
    }
}

static void
entry_rows (const control_t *c, rows_t *w, str_t arg, msec_t now)
{
  for (int i = 0; i < MAX_ENTRIES; i++)
    {
      const ent_t *t = c->ent[i];
      if (!t || (arg.n && !str_eq (arg, str_of (t->name))))
        continue;
      rows_begin (w);
      rows_str (w, "entry", str_of (t->name));
      rows_str (w, "state",
                str_of (t->removed ? "removed"
                        : t->up    ? "up"
                                   : "down"));
      rows_int (w, "config_index", c->ready && t->boot ? t->cfg_index : -1);
      rows_int (w, "renewed_ms",
                c->ready && t->boot ? now - t->renewed_at : -1);
      rows_end (w);
    }
}

static void
head_row (const control_t *c, rows_t *w, msec_t now)
{
  bool confirmed = c->ready && now - c->quorum_at <= CTL_QUORUM_AGE;

  rows_begin (w);
  rows_str (w, "instance", str_of (c->name));
  rows_str (w, "role", c->is_leader ? STR ("leader") : STR ("follower"));
  rows_str (w, "leader", str_of (c->leader));
  rows_int (w, "raft_term", c->raft_term);
  rows_int (w, "applied", c->applied);
  rows_int (w, "version", c->cfg_version);
  rows_int (w, "config_term", c->cfg_term);
  rows_int (w, "config_index", c->cfg_index);
  rows_str (w, "by", str_of (c->cfg_by));
  rows_str (w, "state", confirmed ? STR ("confirmed") : STR ("unconfirmed"));
  rows_end (w);
}

static bool
explain_submission (const control_t *c, rows_t *w, str_t id)
{
  const outcome_t *o = id.n ? outcome_find (c, id) : NULL;

  if (!o)
    return false;
  rows_begin (w);
  rows_str (w, "submission", id);
  rows_str (w, "outcome", str_of (submit_text (o->status)));
  rows_int (w, "version", o->version);
  rows_int (w, "term", o->raft_term);
  rows_int (w, "index", o->index);
  rows_str (w, "by", str_of (o->by));
  rows_str (w, "detail", str_of (o->detail));
  rows_end (w);
  return true;
}

static void
explain (const control_t *c, const query_t *q, rows_t *w, apr_pool_t *p,
         msec_t now)
{
  if (!explain_submission (c, w, q->arg))
    {
      group_rows (c, w, q->arg, now);
      db_rows (c, w, q->arg, now);
      entry_rows (c, w, q->arg, now);
    }
  audit_rows (c, w, p, q->arg, q->since, q->limit > 0 ? q->limit : 20);
}

void
control_query (control_t *c, const query_t *q, msec_t now, apr_pool_t *pool,
               query_resp_t *out)
{
  rows_t w;

  *out = (query_resp_t){ .ok = true,
                         .leader = str_dup (pool, str_of (c->leader)) };
  if (str_eq (q->what, STR ("config")) && !q->json)
    {
      out->text = str_dup (pool, (str_t){ c->cfg, c->cfg_n });
      return;
    }
  rows_init (&w, q->json);
  if (str_eq (q->what, STR ("status")))
    {
      head_row (c, &w, now);
      group_rows (c, &w, STR (""), now);
      db_rows (c, &w, STR (""), now);
      entry_rows (c, &w, STR (""), now);
    }
  else if (str_eq (q->what, STR ("audit")))
    audit_rows (c, &w, pool, q->arg, q->since, q->limit > 0 ? q->limit : 100);
  else if (str_eq (q->what, STR ("explain")))
    explain (c, q, &w, pool, now);
  else if (str_eq (q->what, STR ("config")))
    {
      rows_begin (&w);
      rows_int (&w, "version", c->cfg_version);
      rows_str (&w, "by", str_of (c->cfg_by));
      rows_str (&w, "text", (str_t){ c->cfg, c->cfg_n });
      rows_end (&w);
    }
  else
    out->ok = false;
  out->text = rows_done (&w, pool);
  if (!out->ok)
    out->text
        = str_fmt (pool, "unknown query \"" STR_FMT "\"", STR_ARG (q->what));
}
