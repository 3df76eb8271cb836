#include "load.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

enum
{
  POLL_MS = 500 /* between two reads of the counters */
};

PGconn *
db_open (str_t address, const char *user, const char *dbname, int timeout)
{
  char host[64];
  char port[16];
  char wait[16];
  const char *colon = address.n ? memrchr (address.p, ':', address.n) : NULL;
  size_t n = colon ? (size_t)(colon - address.p) : 0;

  snprintf (host, sizeof host, "%.*s", (int)n, address.p ? address.p : "");
  snprintf (port, sizeof port, "%.*s", colon ? (int)(address.n - n - 1) : 0,
            colon ? colon + 1 : "");
  snprintf (wait, sizeof wait, "%d", timeout);
  const char *const key[]
      = { "hostaddr",        "port",    "user",       "dbname",
          "connect_timeout", "sslmode", "gssencmode", NULL };
  const char *const val[]
      = { host, port, user, dbname, wait, "disable", "disable", NULL };
  return PQconnectdbParams (key, val, 0);
}

/* query_term: term and role of the database at ADDRESS; 0 if it does not
   answer.  */
static int64_t
query_term (str_t address, bool *primary)
{
  int64_t term = 0;
  PGconn *c = db_open (address, "pimentopost_control", "ppdbsim", 2);

  if (PQstatus (c) == CONNECTION_OK)
    {
      PGresult *r = PQexec (c, "SELECT * FROM pimentopost_status()");
      if (PQntuples (r) == 1)
        {
          str_int (str_of (PQgetvalue (r, 0, 0)), &term);
          *primary = strcmp (PQgetvalue (r, 0, 1), "primary") == 0;
        }
      PQclear (r);
    }
  PQfinish (c);
  return term;
}

str_t
db_primary (const load_group_t *g)
{
  str_t best = { 0 };
  int64_t highest = 0;

  for (int i = 0; i < g->ndbs; i++)
    {
      bool primary = false;
      int64_t term = query_term (g->db[i], &primary);
      if (primary && term > highest)
        {
          highest = term;
          best = g->db[i];
        }
    }
  return best;
}

/* ---- reads by role ---- */

typedef struct
{
  PGconn *c;
  int64_t reads; /* at the previous poll */
  bool known;    /* READS is of the present connection */
} db_reads_t;

static void
poll_db (load_group_t *g, int i, db_reads_t *s)
{
  int64_t reads;

  if (s->c == NULL || PQstatus (s->c) != CONNECTION_OK)
    {
      PQfinish (s->c);
      s->c = db_open (g->db[i], "pimentopost_control", "ppdbsim", 2);
      s->known = false;
    }
  PGresult *a = PQexec (s->c, "SELECT * FROM pimentopost_status()");
  PGresult *b = PQexec (s->c, "SELECT * FROM ppdbsim_stats()");
  if (PQntuples (a) == 1 && PQntuples (b) == 1
      && str_int (str_of (PQgetvalue (b, 0, 1)), &reads))
    {
      bool primary = strcmp (PQgetvalue (a, 0, 1), "primary") == 0;
      if (s->known && reads >= s->reads)
        *(primary ? &g->reads_primary : &g->reads_replica) += reads - s->reads;
      s->reads = reads;
      s->known = true;
    }
  PQclear (a);
  PQclear (b);
}

void *
dbs_poll (void *arg)
{
  load_t *l = arg;
  db_reads_t *dbs = calloc (GROUPS_MAX * DBS_MAX, sizeof *dbs);

  if (dbs == NULL)
    abort ();
  for (bool last = false; !last; msec_sleep (last ? 0 : POLL_MS))
    {
      last = l->stop_poller;
      for (int g = 0; g < l->ngroups; g++)
        for (int i = 0; i < l->group[g].ndbs; i++)
          poll_db (&l->group[g], i, &dbs[g * DBS_MAX + i]);
    }
  for (int i = 0; i < GROUPS_MAX * DBS_MAX; i++)
    PQfinish (dbs[i].c);
  free (dbs);
  return NULL;
}
