#include "local.h"

#include <stdio.h>

void
metrics_new (proxy_t *p)
{
  static const char *const kind[KINDS] = { "read", "write", "commit" };
  static const char *const outcome[OUTCOMES]
      = { "served", "refused", "unknown" };
  static const char *const cause[CAUSES] = { "leader", "replica" };
  char labels[64];

  p->retried = counter_get ("pimentopost_retried_total",
                            "statements sent to another database");
  p->forwarded = counter_get ("pimentopost_forwarded_total",
                              "sessions whose statements run at another "
                              "instance");
  p->unknown_callers = counter_get ("pimentopost_unknown_callers_total",
                                    "sessions refused for their key");
  p->opened = counter_get ("pimentopost_connections_opened_total",
                           "connections opened to databases");
  p->gave_way = counter_get ("pimentopost_connections_gave_way_total",
                             "idle connections closed to open one for "
                             "another tenant");
  p->reads_replica = counter_get ("pimentopost_reads_replica_total",
                                  "reads served by replicas");
  p->reads_primary = counter_get ("pimentopost_reads_primary_total",
                                  "reads served by primaries");
  p->reads_near = counter_get ("pimentopost_reads_near_total",
                               "reads served in the own availability zone");
  for (int k = 0; k < KINDS; k++)
    for (int o = 0; o < OUTCOMES; o++)
      {
        snprintf (labels, sizeof labels, "kind=\"%s\",outcome=\"%s\"", kind[k],
                  outcome[o]);
        p->statement_ms[k][o] = hist_new ("pimentopost_statement_ms", labels,
                                          "time to the answer of a statement");
      }
  for (int c = 0; c < CAUSES; c++)
    {
      snprintf (labels, sizeof labels, "cause=\"%s\"", cause[c]);
      p->wait_ms[c] = hist_new ("pimentopost_wait_ms", labels,
                                "time until a statement was sent, by what it "
                                "needed");
    }
}

void
metrics_answered (session_t *s, int outcome)
{
  const request_t *r = &s->req;
  int kind = r->op.kind == OP_COMMIT ? KIND_COMMIT
             : r->read_only          ? KIND_READ
                                     : KIND_WRITE;

  hist_add (s->proxy->statement_ms[kind][outcome], s->proxy->now - r->arrived);
}

void
metrics_started (session_t *s)
{
  const request_t *r = &s->req;

  hist_add (s->proxy->wait_ms[r->needs_leader ? CAUSE_LEADER : CAUSE_REPLICA],
            s->proxy->now - r->arrived);
}
