#include "load.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

void
stat_add (stat_t *s, msec_t latency)
{
  if (s->nlatency == s->caplatency)
    {
      s->caplatency = s->caplatency ? s->caplatency * 2 : 256;
      s->latency = realloc (s->latency, s->caplatency * sizeof *s->latency);
      if (s->latency == NULL)
        abort ();
    }
  s->latency[s->nlatency++] = latency;
}

static int
by_value (const void *a, const void *b)
{
  msec_t x = *(const msec_t *)a;
  msec_t y = *(const msec_t *)b;

  return (x > y) - (x < y);
}

static msec_t
quantile (stat_t *s, double q)
{
  if (s->nlatency == 0)
    return 0;
  qsort (s->latency, s->nlatency, sizeof *s->latency, by_value);
  return s->latency[(size_t)((double)(s->nlatency - 1) * q)];
}

static void
sum (load_t *l, stat_t *t)
{
  *t = (stat_t){ 0 };
  for (size_t i = 0; i < l->cfg->nkinds; i++)
    {
      const stat_t *s = &l->stat[i];
      t->sent += s->sent;
      t->ok += s->ok;
      t->late += s->late;
      t->refused += s->refused;
      t->unknown += s->unknown;
      t->failed += s->failed;
      t->resent += s->resent;
      t->worth += s->worth;
      t->worth_ok += s->worth_ok;
    }
}

static double
share (double part, double whole)
{
  return whole > 0 ? part / whole : 0;
}

static double
replica_share (load_t *l)
{
  int64_t p = 0;
  int64_t r = 0;

  for (int i = 0; i < l->ngroups; i++)
    {
      p += l->group[i].reads_primary;
      r += l->group[i].reads_replica;
    }
  return share ((double)r, (double)(p + r));
}

static msec_t
worst_gap (const load_t *l)
{
  msec_t worst = -1;

  for (int i = 0; i < l->ngroups; i++)
    for (int k = 0; k < l->group[i].ngaps; k++)
      {
        msec_t gap = l->group[i].gap[k].to - l->group[i].gap[k].from;
        worst = gap > worst ? gap : worst;
      }
  return worst;
}

static void
text_kinds (load_t *l, FILE *out)
{
  fprintf (out, "%-18s %7s %7s %6s %7s %7s %6s %6s %6s %6s %6s\n",
           "request kind", "sent", "served", "late", "refused", "unknown",
           "failed", "resent", "p50ms", "p99ms", "worth");
  for (size_t i = 0; i < l->cfg->nkinds; i++)
    {
      stat_t *s = &l->stat[i];
      fprintf (out,
               "%-18.*s %7lld %7lld %6lld %7lld %7lld %6lld %6lld %6lld "
               "%6lld %6.3f\n",
               STR_ARG (l->cfg->kinds[i].name), (long long)s->sent,
               (long long)s->ok, (long long)s->late, (long long)s->refused,
               (long long)s->unknown, (long long)s->failed,
               (long long)s->resent, (long long)quantile (s, 0.5),
               (long long)quantile (s, 0.99), share (s->worth_ok, s->worth));
    }
}

void
report_text (load_t *l, FILE *out)
{
  stat_t t;

  sum (l, &t);
  fprintf (out, "== " STR_FMT "%s\n", STR_ARG (l->title),
           l->baseline ? " (baseline: directly to the primaries)" : "");
  text_kinds (l, out);
  fprintf (out, "served %lld of %lld, late %lld", (long long)t.ok,
           (long long)t.sent, (long long)t.late);
  for (int i = 0; i < RULES; i++)
    fprintf (out, ", %s %lld", rule_name ((rule_t)i),
             (long long)l->violations[i]);
  fprintf (out, "\nshare of reads on replicas %.4f\n", replica_share (l));
  for (int i = 0; i < l->ngroups; i++)
    for (int k = 0; k < l->group[i].ngaps; k++)
      fprintf (out, "failover gap " STR_FMT " to term %lld: %lld ms\n",
               STR_ARG (l->group[i].name), (long long)l->group[i].gap[k].term,
               (long long)(l->group[i].gap[k].to - l->group[i].gap[k].from));
  fprintf (out, "cost weighted by worth %.4f (worth not served in time)\n",
           1 - share (t.worth_ok, t.worth));
}

bool
report_json (load_t *l)
{
  stat_t t;
  char path[512];

  if (l->report.n == 0)
    return true;
  snprintf (path, sizeof path, STR_FMT, STR_ARG (l->report));
  FILE *f = fopen (path, "w");
  if (f == NULL)
    return false;
  sum (l, &t);
  fprintf (f,
           "{\"title\":\"" STR_FMT "\",\"baseline\":%s,\"sent\":%lld,"
           "\"served\":%lld,\"late\":%lld,\"refused\":%lld,\"unknown\":%lld,"
           "\"failed\":%lld,\"resent\":%lld,\"worth\":%.1f,"
           "\"worth_served\":%.1f,\"replica_share\":%.4f,"
           "\"worst_gap_ms\":%lld,\"start_wall\":%lld",
           STR_ARG (l->title), l->baseline ? "true" : "false",
           (long long)t.sent, (long long)t.ok, (long long)t.late,
           (long long)t.refused, (long long)t.unknown, (long long)t.failed,
           (long long)t.resent, t.worth, t.worth_ok, replica_share (l),
           (long long)worst_gap (l),
           (long long)(msec_wall () - (msec_now () - l->start)));
  for (int i = 0; i < RULES; i++)
    fprintf (f, ",\"%s\":%lld", rule_name ((rule_t)i),
             (long long)l->violations[i]);
  fprintf (f, ",\"gaps\":[");
  const char *sep = "";
  for (int i = 0; i < l->ngroups; i++)
    for (int k = 0; k < l->group[i].ngaps; k++, sep = ",")
      fprintf (f,
               "%s{\"group\":\"" STR_FMT "\",\"term\":%lld,\"from\":%lld,"
               "\"to\":%lld}",
               sep, STR_ARG (l->group[i].name),
               (long long)l->group[i].gap[k].term,
               (long long)l->group[i].gap[k].from,
               (long long)l->group[i].gap[k].to);
  fprintf (f, "]}\n");
  return fclose (f) == 0;
}

/* report_plot: writes a gnuplot script that plots the acknowledgements of each
   group in bins of 100 ms.  */
bool
report_plot (load_t *l)
{
  char path[512];

  if (l->ack_file == NULL)
    return true;
  fclose (l->ack_file);
  snprintf (path, sizeof path, STR_FMT ".gp", STR_ARG (l->plot));
  FILE *f = fopen (path, "w");
  if (f == NULL)
    return false;
  fprintf (f,
           "set terminal png size 900,400\nset output '" STR_FMT ".png'\n"
           "set title '" STR_FMT ": acknowledged writes'\n"
           "set xlabel 's'\nset ylabel 'per 100 ms'\nplot ",
           STR_ARG (l->plot), STR_ARG (l->title));
  for (int i = 0; i < l->ngroups; i++)
    fprintf (f,
             "%s'" STR_FMT ".dat' using (floor($1/100)/10.0):($2==%d?1:0) "
             "smooth frequency with lines title '" STR_FMT "'",
             i ? ", " : "", STR_ARG (l->plot), i, STR_ARG (l->group[i].name));
  fprintf (f, "\n");
  return fclose (f) == 0;
}
