/* Runs one statement many times over libpq, in several threads:
   bench_pq HOST PORT DATABASE CLIENTS COUNT extended|prepared SQL
   Prints how many runs succeeded, and fails unless all did.  */

#include <libpq-fe.h>
#include <pthread.h>
#include <stdatomic.h>
#include <stdbool.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

enum
{
  CLIENTS_MAX = 64
};

static char **args;
static long count;
static atomic_long answered;

static bool
check_result (PGconn *c, PGresult *r)
{
  ExecStatusType s = PQresultStatus (r);
  bool ok = s == PGRES_TUPLES_OK || s == PGRES_COMMAND_OK;

  if (!ok)
    fprintf (stderr, "bench_pq: %s", PQerrorMessage (c));
  PQclear (r);
  return ok;
}

static void *
client (void *unused)
{
  const char *keys[] = { "host", "port", "dbname", "user", "sslmode", NULL };
  const char *values[]
      = { args[1], args[2], args[3], "bench", "disable", NULL };
  PGconn *c = PQconnectdbParams (keys, values, 0);
  bool prepared = strcmp (args[6], "prepared") == 0;
  bool ok = PQstatus (c) == CONNECTION_OK;

  (void)unused;
  if (!ok)
    fprintf (stderr, "bench_pq: %s", PQerrorMessage (c));
  if (ok && prepared)
    ok = check_result (c, PQprepare (c, "p", args[7], 0, NULL));
  for (long i = 0; ok && i < count; i++)
    {
      ok = check_result (
          c, prepared
                 ? PQexecPrepared (c, "p", 0, NULL, NULL, NULL, 0)
                 : PQexecParams (c, args[7], 0, NULL, NULL, NULL, NULL, 0));
      answered += ok;
    }
  PQfinish (c);
  return NULL;
}

int
main (int argc, char **argv)
{
  pthread_t t[CLIENTS_MAX];

  if (argc != 8)
    {
      fprintf (stderr, "usage: bench_pq HOST PORT DATABASE CLIENTS COUNT "
                       "extended|prepared SQL\n");
      return 2;
    }
  args = argv;
  long n = strtol (argv[4], NULL, 10);
  count = strtol (argv[5], NULL, 10);
  if (n < 1 || n > CLIENTS_MAX || count < 1)
    return 2;
  for (long i = 0; i < n; i++)
    if (pthread_create (&t[i], NULL, client, NULL))
      return 1;
  for (long i = 0; i < n; i++)
    pthread_join (t[i], NULL);
  printf ("%ld of %ld answered\n", (long)answered, n * count);
  return answered == n * count ? 0 : 1;
}
