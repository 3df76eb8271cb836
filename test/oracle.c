#include "oracle.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* ---- start and end ---- */

oracle_t *
oracle_new (uint64_t seed, fault_t fault)
{
  oracle_t *o = calloc (1, sizeof *o);

  o->w = world_new (seed, true);
  o->w->delay = (int)(seed % 3) * 20;
  o->fault = fault;
  oracle_fault (o->w, fault);
  if (!world_start (o->w))
    oracle_fail (o, "the simulation did not start");
  o->version = 1;
  o->ticket = 1;
  o->last_fault = o->w->now;
  for (int i = 0; i < O_SESSIONS; i++)
    o->s[i] = (session_t){ .entry = i % W_ENTRIES,
                           .group = i % W_GROUPS,
                           .began = world_entry_now (o->w, i % W_ENTRIES),
                           .pending = -1 };
  return o;
}

void
oracle_free (oracle_t *o)
{
  for (int g = 0; g < W_GROUPS; g++)
    free (o->acks[g]);
  world_free (o->w);
  free (o);
}

/* ---- requests ---- */

static str_t
group_name (int g)
{
  return g ? STR ("g1") : STR ("g0");
}

static int
db_index (const world_t *w, const db_t *d)
{
  for (int i = 0; d && i < W_DBS; i++)
    if (str_eq (d->name, str_of (w->db[i].name)))
      return i;
  return -1;
}

static bool
reaches (const world_t *w, int e, int d)
{
  return d >= 0 && w->db[d].alive && !w->db[d].frozen
         && world_connected (w, w->ent[e].zone, w->db[d].zone);
}

static bool
entry_up (const world_t *w, int e)
{
  return w->ent[e].alive && !w->ent[e].frozen && !w->ent[e].unknown;
}

/* R7: a database that announced leaving 3 s ago gets no new requests.  */
static void
check_leaving (oracle_t *o, int d)
{
  if (o->leaving_since[d] && o->w->now - o->leaving_since[d] > 3000)
    oracle_fail (o,
                 "R7: db%d got a request %lld ms after it announced leaving",
                 d, (long long)(o->w->now - o->leaving_since[d]));
}

static void
op_write (oracle_t *o, session_t *s)
{
  world_t *w = o->w;
  int64_t term;
  int e = s->entry;
  int slot = -1;

  for (int i = 0; i < O_PENDING && slot < 0; i++)
    if (!o->p[i].used)
      slot = i;
  if (s->pending >= 0 || slot < 0 || !entry_up (w, e))
    return;
  const db_t *p = view_primary (w->ent[e].view, group_name (s->group),
                                world_entry_now (w, e), &term);
  int d = db_index (w, p);
  if (!reaches (w, e, d) || world_db_readonly (&w->db[d]))
    {
      o->refused++;
      return;
    }
  check_leaving (o, d);
  world_db_write (&w->db[d], ++o->next_id);
  o->p[slot] = (pending_write_t){ .used = true,
                                  .session = (int)(s - o->s),
                                  .entry = e,
                                  .boot = w->ent[e].boot,
                                  .db = d,
                                  .group = s->group,
                                  .id = o->next_id,
                                  .term = term,
                                  .pos = w->db[d].pos,
                                  .sent = w->now };
  s->pending = slot;
}

static bool
covers (const oracle_t *o, const world_db_t *d, token_t need)
{
  return o->fault == FAULT_COVER || need.term == 0
         || history_covers (&d->hist, d->pos, need);
}

/* Checks that the answer contains the session's own writes; in a session
   without a token, all writes acknowledged before it began; for a read with a
   maximum age, all writes acknowledged longer ago than that.  */
static void
check_read (oracle_t *o, const session_t *s, const world_db_t *d,
            msec_t max_age)
{
  const ack_t *a = o->acks[s->group];
  int n = o->nacks[s->group];
  msec_t before = max_age >= 0 ? o->w->now - max_age
                               : s->began - o->w->ent[s->entry].skew;

  o->reads++;
  if (s->token.term && !history_covers (&d->hist, d->pos, s->token))
    oracle_fail (o, "R1: a session's own write is not in the database read");
  if (max_age < 0 && s->token.term)
    return;
  while (n > 0 && a[n - 1].at > before)
    n--;
  if (!oracle_has (o, d, s->group, n < 32 ? n : 32)
      || (n
          && (a[n - 1].pos > d->pos
              || d->log[a[n - 1].pos - 1] != a[n - 1].id)))
    oracle_fail (o,
                 "%s: %s (%s in term %lld at %lld) lacks write %lld of %lld "
                 "that was acknowledged %lld ms ago, max_age %lld",
                 max_age >= 0 ? "stale" : "R1", d->name,
                 d->primary ? "primary" : "replica",
                 (long long)world_db_term (d), (long long)d->pos,
                 (long long)a[n - 1].pos, (long long)n,
                 (long long)(o->w->now - a[n - 1].at), (long long)max_age);
}

static void
op_read (oracle_t *o, session_t *s, msec_t max_age)
{
  world_t *w = o->w;
  int e = s->entry;
  view_t *v = w->ent[e].view;
  msec_t now = world_entry_now (w, e);
  route_request_t q
      = { .group = group_name (s->group),
          .token = s->token,
          .began = s->began,
          .max_age = o->fault == FAULT_AGE && max_age >= 0 ? 1 << 30 : max_age,
          .deadline = now + 500 };

  if (!entry_up (w, e) || s->pending >= 0)
    return;
  for (int tries = 0; tries < 3; tries++)
    {
      route_t r = route_pick (v, &q, now);
      int d = db_index (w, r.db);
      if (r.kind == ROUTE_NONE || r.kind == ROUTE_RETRY)
        return;
      if (!reaches (w, e, d))
        {
          view_db_failed (v, r.db->name, now);
          continue;
        }
      world_db_t *b = &w->db[d];
      if (r.kind == ROUTE_REPLICA)
        {
          if (!covers (o, b, r.need))
            {
              o->stale_refused++;
              view_db_failed (v, r.db->name, now);
              continue;
            }
          check_leaving (o, d);
          check_read (o, s, b, max_age);
          return;
        }
      /* A sample of a primary counts only while its lease is valid and if the
         answer shows the lease's term.  */
      if (world_db_readonly (b) || world_db_term (b) != r.term)
        return;
      view_add_sample (v, q.group, r.term, b->pos, now);
      if (r.kind == ROUTE_PRIMARY)
        {
          check_read (o, s, b, max_age);
          return;
        }
    }
}

static void
op_move_session (oracle_t *o, session_t *s, uint64_t x)
{
  token_t t = s->token;

  if (s->pending >= 0)
    return;
  s->entry = (int)(x % W_ENTRIES);
  s->began = world_entry_now (o->w, s->entry);
  s->token = x & 64 ? t : (token_t){ 0, 0 };
  if (x & 128)
    {
      s->group = (int)(x / 256 % W_GROUPS);
      s->token = (token_t){ 0, 0 };
    }
}

static void
end_write (oracle_t *o, pending_write_t *p, bool ack)
{
  session_t *s = &o->s[p->session];

  p->used = false;
  s->pending = -1;
  if (!ack)
    return;
  s->token = (token_t){ p->term, p->pos };
  oracle_ack (o, p);
}

/* Delivers the answer of the confirm query to the entry instance, which checks
   its lease when it reads the answer.  */
static void
pending_step (oracle_t *o, pending_write_t *p)
{
  world_t *w = o->w;
  const world_db_t *d = &w->db[p->db];
  world_entry_t *x = &w->ent[p->entry];

  if (!x->alive || x->boot != p->boot
      || (!p->answered && w->now - p->sent > 2000))
    {
      end_write (o, p, false);
      return;
    }
  if (!p->answered && reaches (w, p->entry, p->db) && d->primary
      && world_db_term (d) == p->term && d->confirmed >= p->pos)
    {
      p->answered = true;
      p->due = w->now;
      if (p->slow)
        p->due += 200 + (msec_t)rng_below (&w->rng, 600);
      else if (rng_below (&w->rng, 8) == 0)
        p->due += (msec_t)rng_below (&w->rng, 350);
    }
  if (!p->answered || w->now < p->due || x->frozen)
    return;
  end_write (o, p,
             o->fault == FAULT_LEASE_CHECK
                 || view_lease_valid (x->view, group_name (p->group), p->term,
                                      world_entry_now (w, p->entry)));
}

/* ---- operators ---- */

static void
send_submit (oracle_t *o, int i)
{
  world_submit (o->w, o->submit[i].ticket, o->submit[i].id, "op",
                o->submit[i].base, o->submit[i].text);
}

static void
op_submit (oracle_t *o, uint64_t x)
{
  int n = x % 3 == 0 ? 2 : 1; /* two operators at once */

  if (o->nsubmits + n > 64)
    {
      memmove (&o->submit[0], &o->submit[n],
               (size_t)(o->nsubmits - n) * sizeof o->submit[0]);
      o->nsubmits -= n;
    }
  while (n--)
    {
      int i = o->nsubmits++;
      memset (&o->submit[i], 0, sizeof o->submit[i]);
      o->submit[i].ticket = 1 + o->ticket % 4000;
      o->submit[i].base = o->version - (x % 7 == 0);
      o->submit[i].text = x % 5 == 0 ? "entries 3" : "entries 4";
      snprintf (o->submit[i].id, sizeof o->submit[i].id, "c%d", o->ticket++);
      send_submit (o, i);
    }
}

/* ---- injected faults ---- */

static bool
may_lose_disk (const oracle_t *o, int d)
{
  const world_db_t *b = &o->w->db[d];
  const mem_t *m = world_member (o->w, d);
  bool held = true;

  /* Without another copy the data would be lost whatever the system does, and
     with one copy of three no majority can prove that it is complete.  So a
     second disk is lost only after the first one's database has caught up.  */
  for (int k = 0; k < W_DBS_PER_GROUP; k++)
    {
      int i = b->group * W_DBS_PER_GROUP + k;
      const world_db_t *x = &o->w->db[i];
      const mem_t *y = world_member (o->w, i);
      if (i == d)
        continue;
      if (!y || !mem_intact (y))
        return false;
      held = held
             && (oracle_has (o, x, b->group, o->nacks[b->group])
                 && x->pos >= b->confirmed && x->pos >= b->pos
                 && world_db_term (x) == world_db_term (b));
    }
  for (int i = 0; i < O_PENDING; i++)
    if (o->p[i].used && o->p[i].group == b->group)
      return false;
  return held && m && mem_intact (m);
}

static void
op_partition (world_t *w, uint64_t x)
{
  int z = (int)(x % W_ZONES);

  for (int k = 0; k < W_ZONES; k++)
    if (k != z)
      w->cut[z][k] = w->cut[k][z] = true;
}

static void
op_repair (world_t *w)
{
  memset (w->cut, 0, sizeof w->cut);
  for (int i = 0; i < W_DBS; i++)
    w->db[i].frozen = false;
  for (int i = 0; i < W_CONTROLS; i++)
    {
      w->ctl[i].frozen = false;
      w->ctl[i].alive = true;
    }
  for (int i = 0; i < W_ENTRIES; i++)
    w->ent[i].frozen = false;
}

static void
op_kill_db (oracle_t *o, uint64_t x)
{
  int d = (int)(x % W_DBS);
  world_db_t *b = &o->w->db[d];

  if (x & 0x100)
    b = world_primary (o->w, d / W_DBS_PER_GROUP);
  if (!b)
    return;
  b->alive = !b->alive;
  if (b->alive && (x & 0x600) == 0 && may_lose_disk (o, (int)(b - o->w->db)))
    world_db_wipe (b);
}

static void
restart_entry (oracle_t *o, int e)
{
  world_restart_entry (o->w, e);
  o->entry_cfg[e] = 0;
  for (int i = 0; i < O_SESSIONS; i++)
    if (o->s[i].entry == e && o->s[i].pending < 0)
      o->s[i].began = world_entry_now (o->w, e);
}

static void
inject_fault (oracle_t *o, int kind, uint64_t x)
{
  world_t *w = o->w;

  o->last_fault = w->now;
  memset (o->leaving_since, 0, sizeof o->leaving_since);
  if (kind == 0)
    op_partition (w, x);
  else if (kind == 1)
    w->db[x % W_DBS].frozen = true;
  else if (kind == 2)
    w->ent[x % W_ENTRIES].frozen = true;
  else if (kind == 3)
    w->ctl[x % W_CONTROLS].frozen = true;
  else if (kind == 4 || kind == 5)
    op_kill_db (o, x);
  else if (kind == 6)
    world_restart_ctl (w, (int)(x % W_CONTROLS), x & 8);
  else if (kind == 7)
    restart_entry (o, (int)(x % W_ENTRIES));
  else
    w->db[x % W_DBS].lag_until = w->now + 500 + (msec_t)(x / 64 % 3000);
}

/* No fault can delay an announcement on its way to the leader, or a grant of
   the leader on its way to the entry instances.  */
static bool
healthy (world_t *w)
{
  bool ok = world_settled (w);

  for (int i = 0; i < W_ZONES * W_ZONES; i++)
    ok = ok && !w->cut[i / W_ZONES][i % W_ZONES];
  for (int i = 0; i < W_DBS; i++)
    ok = ok && w->db[i].alive && !w->db[i].frozen && world_member (w, i)
         && mem_state (world_member (w, i)) == DB_ACTIVE;
  for (int i = 0; i < W_ENTRIES; i++)
    ok = ok && entry_up (w, i);
  for (int i = 0; i < W_CONTROLS; i++)
    ok = ok && world_ctl_up (w, i);
  return ok;
}

static void
op_leave (oracle_t *o, uint64_t x)
{
  int d = (int)(x % W_DBS);
  world_db_t *b = &o->w->db[d];
  int leaving = 0;

  for (int i = 0; i < W_DBS_PER_GROUP; i++)
    leaving += o->w->db[b->group * W_DBS_PER_GROUP + i].leaving;
  if (!b->leaving && leaving)
    return;
  b->leaving = !b->leaving;
  o->leaving_since[d] = b->leaving && healthy (o->w) ? o->w->now : 0;
}

static void
step (oracle_t *o, msec_t ms)
{
  world_run (o->w, ms);
  for (int i = 0; i < O_PENDING; i++)
    if (o->p[i].used)
      pending_step (o, &o->p[i]);
  oracle_checks (o);
}

/* A planned change of the primary while the answer to a write is in transit
   and the other sessions continue to write.  */
static void
op_promote (oracle_t *o, session_t *s)
{
  world_db_t *p = world_primary (o->w, s->group);

  op_write (o, s);
  if (!p || p->leaving || s->pending < 0)
    return;
  o->p[s->pending].slow = true;
  for (int i = 0; i < W_DBS_PER_GROUP; i++)
    {
      o->w->db[p->group * W_DBS_PER_GROUP + i].leaving = false;
      o->leaving_since[p->group * W_DBS_PER_GROUP + i] = 0;
    }
  o->leaving_since[p - o->w->db] = healthy (o->w) ? o->w->now : 0;
  p->leaving = true;
  for (int i = 0; i < 900 / W_STEP; i++)
    {
      for (int k = 0; k < O_SESSIONS; k++)
        if (o->s[k].group == p->group)
          op_write (o, &o->s[k]);
      step (o, W_STEP);
    }
}

bool
oracle_op (oracle_t *o, uint64_t choice)
{
  enum
  {
    WEIGHTS = 256
  };
  world_t *w = o->w;
  unsigned k = choice % WEIGHTS;
  uint64_t x = choice / WEIGHTS;
  session_t *s = &o->s[x % O_SESSIONS];
  msec_t idle = 0;

  if (k < 90)
    op_write (o, s);
  else if (k < 140)
    op_read (o, s, -1);
  else if (k < 170)
    op_read (o, s, 100 + (msec_t)(x / 8 % 2000));
  else if (k < 190)
    op_move_session (o, s, x / 8);
  else if (k < 205)
    op_submit (o, x);
  else if (k < 213 && o->nsubmits)
    send_submit (o, (int)(x % (uint64_t)o->nsubmits));
  else if (k < 220)
    for (int d = 0; d < W_DBS; d++)
      w->ent[x % W_ENTRIES].want[d] = (int)(x / 8 % 20);
  else if (k < 226)
    op_leave (o, x);
  else if (k < 234)
    inject_fault (o, (int)(x / 4096 % 10), x);
  else if (k < 242)
    op_repair (w);
  else if (k < 245)
    idle = 1500;
  else if (k < 248)
    op_promote (o, s);
  step (o, idle ? idle : W_STEP * (msec_t)(1 + x % 3));
  return !o->failure[0];
}

bool
oracle_settle (oracle_t *o)
{
  world_t *w = o->w;

  op_repair (w);
  for (int i = 0; i < W_DBS; i++)
    {
      w->db[i].alive = true;
      w->db[i].leaving = false;
      w->db[i].lag_until = 0;
    }
  world_run (w, 3000);
  if (!world_until (w, world_settled, 15000))
    return oracle_fail (o, "no leases 18 s after all faults were repaired");
  world_run (w, 1000);
  for (int i = 0; i < O_PENDING; i++)
    if (o->p[i].used)
      end_write (o, &o->p[i], false);
  for (int g = 0; g < W_GROUPS; g++)
    if (!oracle_has (o, world_primary (w, g), g, o->nacks[g]))
      return oracle_fail (
          o, "lost: the primary of g%d lacks an acknowledged write", g);
  for (int e = 0; e < W_ENTRIES; e++)
    if (w->ent[e].cfg_version < o->version)
      return oracle_fail (o, "R9: ent%d has version %lld of %lld", e,
                          (long long)w->ent[e].cfg_version,
                          (long long)o->version);
  o->promoted += world_group (w, 0)->term + world_group (w, 1)->term - 2;
  return !o->failure[0];
}
