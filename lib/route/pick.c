#include "view.h"

static bool
usable (view_t *v, const route_request_t *q, int i, msec_t now)
{
  const db_t *d = v->dbs[i];

  return str_eq (d->group, q->group) && d->state == DB_ACTIVE
         && now >= d->avoid && (i >= 32 || !(q->tried & 1u << i));
}

static route_t
retry_or_refuse (const route_request_t *q, msec_t now)
{
  if (now >= q->deadline)
    return (route_t){ .kind = ROUTE_NONE };
  msec_t remaining = q->deadline - now;
  return (route_t){ .kind = ROUTE_RETRY,
                    .wait
                    = remaining < RETRY_DELAY ? remaining : RETRY_DELAY };
}

static route_t
to_primary (view_t *v, const route_request_t *q, msec_t now, route_kind_t kind)
{
  int64_t term;
  db_t *d = view_primary (v, q->group, now, &term);

  if (d == NULL || d->state == DB_EXPIRED || now < d->avoid)
    return retry_or_refuse (q, now);
  return (route_t){ .kind = kind, .db = d, .term = term };
}

/* Expected ms until D covers NEED, from its last known position and its
   estimated lag.  Used only to choose; the database itself proves coverage. */
static double
expected_wait (const db_t *d, const group_t *g, token_t need, msec_t now)
{
  if (need.term == 0 || history_covers (&g->history, d->pos, need))
    return 0;
  if (d->term < need.term && g->history.n == 0)
    return d->lag + WAIT_SHORT;
  /* The primary reached NEED by the time of some sample; the replica follows
     after its lag.  */
  msec_t when = now;
  for (int i = g->nsamples - 1; i >= 0; i--)
    if (g->samples[i].term == need.term && g->samples[i].pos >= need.pos)
      when = g->samples[i].sent;
  double remaining = (double)when + d->lag - (double)now;
  return remaining > 0 ? remaining : 0;
}

/* Expected ms until D has served a read, plus random jitter below 1 ms to
   break ties.  */
static double
cost (view_t *v, const db_t *d, const group_t *g, token_t need, msec_t now)
{
  enum
  {
    OTHER_ZONE = 3 /* ms, round trip between availability zones */
  };
  double zone = str_eq (d->zone, v->zone) ? 0 : OTHER_ZONE;

  return expected_wait (d, g, need, now) + zone
         + d->latency * (1 + (double)d->busy) + rng_unit (v->rng);
}

static db_t *
best_replica (view_t *v, const route_request_t *q, const group_t *g,
              token_t need, msec_t now, double *wait)
{
  db_t *best = NULL;
  double least = 0;

  for (int i = 0; i < v->ndbs; i++)
    {
      db_t *d = v->dbs[i];
      if (!usable (v, q, i, now) || str_eq (d->name, g->primary)
          || view_conn_limit (v, d->name, now) == 0)
        continue;
      double c = cost (v, d, g, need, now);
      if (best && c >= least)
        continue;
      best = d;
      least = c;
      *wait = expected_wait (d, g, need, now);
    }
  return best;
}

/* Sets *NEED to the token that a replica has to cover for Q; false when the
   primary has to be sampled first.  */
static bool
required_token (const route_request_t *q, const group_t *g, msec_t now,
                token_t *need)
{
  *need = q->token;
  if (q->max_age < 0 && q->token.term)
    return true;
  /* Of the samples that are recent enough, the oldest requires the least of a
     replica.  */
  msec_t since = q->max_age < 0 ? q->began : now - q->max_age + AGE_MARGIN;
  const sample_t *s = view_oldest (g, since);
  if (s)
    *need = token_max (&g->history, q->token, (token_t){ s->term, s->pos });
  return s != NULL;
}

route_t
route_pick (view_t *v, const route_request_t *q, msec_t now)
{
  const group_t *g = view_find_group (v, q->group);
  token_t need = { 0, 0 };
  double wait = 0;

  if (g == NULL || now >= q->deadline)
    return (route_t){ .kind = ROUTE_NONE };
  /* An age bound shorter than the read itself cannot be proved on a replica.
   */
  if (q->write || (q->max_age >= 0 && q->max_age <= AGE_MARGIN))
    return to_primary (v, q, now, ROUTE_PRIMARY);
  if (!required_token (q, g, now, &need))
    return to_primary (v, q, now, ROUTE_BARRIER);
  db_t *d = best_replica (v, q, g, need, now, &wait);
  msec_t remaining = q->deadline - now;
  if (d == NULL || wait > WAIT_SHORT)
    {
      route_t r = to_primary (v, q, now, ROUTE_PRIMARY);
      /* Without a primary, the read can only be served by a replica that
         catches up before the deadline.  */
      if (r.kind == ROUTE_PRIMARY || d == NULL)
        return r;
    }
  msec_t max_wait = wait > WAIT_SHORT ? remaining : WAIT_SHORT;
  return (route_t){ .kind = ROUTE_REPLICA,
                    .db = d,
                    .term = need.term,
                    .need = need,
                    .wait = max_wait < remaining ? max_wait : remaining };
}
