#include "oracle.h"

#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

bool
oracle_fail (oracle_t *o, const char *fmt, ...)
{
  va_list ap;

  if (o->failure[0])
    return false;
  va_start (ap, fmt);
  vsnprintf (o->failure, sizeof o->failure, fmt, ap);
  va_end (ap);
  return false;
}

bool
oracle_has (const oracle_t *o, const world_db_t *d, int group, int n)
{
  for (int i = n - 1; i >= 0; i--)
    {
      const ack_t *a = &o->acks[group][i];
      if (a->pos > d->pos || d->log[a->pos - 1] != a->id)
        return false;
    }
  return true;
}

/* R2, and no acknowledged write is lost: the terms of acknowledgements never
   decrease, and at the first one in a term the log of its database has all
   earlier writes.  */
void
oracle_ack (oracle_t *o, const pending_write_t *p)
{
  int g = p->group;

  if (p->term < o->ack_term[g])
    oracle_fail (o, "R2: write acknowledged in term %lld after term %lld",
                 (long long)p->term, (long long)o->ack_term[g]);
  if (p->term > o->ack_term[g]
      && !oracle_has (o, &o->w->db[p->db], g, o->nacks[g]))
    oracle_fail (o, "lost: db%d in term %lld lacks an acknowledged write",
                 p->db, (long long)p->term);
  o->ack_term[g] = p->term;
  if (o->nacks[g] == o->cap[g])
    {
      o->cap[g] = o->cap[g] ? 2 * o->cap[g] : 256;
      o->acks[g]
          = realloc (o->acks[g], (size_t)o->cap[g] * sizeof *o->acks[g]);
    }
  o->acks[g][o->nacks[g]++] = (ack_t){ p->id, p->pos, o->w->now };
  o->acked++;
}

/* The database in the state of the control instance that has applied the most
   entries.  */
static const mem_t *
latest (world_t *w, int db)
{
  const control_t *c = w->ctl[0].c;

  for (int i = 1; i < W_CONTROLS; i++)
    if (w->ctl[i].c->applied > c->applied)
      c = w->ctl[i].c;
  return mem_find (c, str_of (w->db[db].name));
}

static void
check_budgets (oracle_t *o)
{
  world_t *w = o->w;

  for (int d = 0; d < W_DBS; d++)
    {
      const mem_t *m = latest (w, d);
      int n = 0;
      if (m && (m->bits & M_REMOVED))
        continue; /* no instance connects to it; old limits expire */
      for (int e = 0; e < W_ENTRIES; e++)
        if (w->ent[e].alive && !w->ent[e].unknown)
          n += view_conn_limit (w->ent[e].view, str_of (w->db[d].name),
                                world_entry_now (w, e));
      if (n > W_CONNECTIONS - CTL_RESERVED)
        oracle_fail (o, "budget: %d connections to db%d", n, d);
    }
}

/* R9: no instance returns to an older version, and the leader has every
   accepted change.  */
static void
check_config (oracle_t *o)
{
  control_t *c = world_leader (o->w);
  int64_t v;

  for (int e = 0; e < W_ENTRIES; e++)
    {
      if (o->w->ent[e].cfg_version < o->entry_cfg[e])
        oracle_fail (o, "R9: ent%d returned to version %lld", e,
                     (long long)o->w->ent[e].cfg_version);
      o->entry_cfg[e] = o->w->ent[e].cfg_version;
    }
  if (!c || !control_ready (c))
    return;
  control_config (c, &v, NULL, NULL);
  if (v < o->version)
    oracle_fail (o, "R9: leader has version %lld although %lld was accepted",
                 (long long)v, (long long)o->version);
}

/* R9: at most one change of each base version is accepted; a repeated
   submission gets the outcome of the first.  */
static void
check_submits (oracle_t *o)
{
  for (int i = 0; i < o->nsubmits; i++)
    {
      world_answer_t *a = &o->w->answers[o->submit[i].ticket];
      if (!a->answered || a->status == SUBMIT_UNKNOWN
          || a->status == SUBMIT_NOT_LEADER)
        continue;
      if (o->submit[i].done
          && (o->submit[i].status != a->status
              || o->submit[i].version != a->version))
        oracle_fail (o, "R9: repeated submission %s got another outcome",
                     o->submit[i].id);
      if (!o->submit[i].done && a->status == SUBMIT_ACCEPTED)
        {
          if (a->version != o->submit[i].base + 1)
            oracle_fail (o, "R9: %s on version %lld became version %lld",
                         o->submit[i].id, (long long)o->submit[i].base,
                         (long long)a->version);
          for (int j = 0; j < o->nsubmits; j++)
            if (j != i && o->submit[j].done
                && o->submit[j].status == SUBMIT_ACCEPTED
                && o->submit[j].version == a->version)
              oracle_fail (o, "R9: version %lld accepted twice",
                           (long long)a->version);
          if (a->version > o->version)
            o->version = a->version;
        }
      o->submit[i].done = true;
      o->submit[i].status = a->status;
      o->submit[i].version = a->version;
      a->answered = false;
    }
}

void
oracle_checks (oracle_t *o)
{
  check_budgets (o);
  check_submits (o);
  check_config (o);
}
