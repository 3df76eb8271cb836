/* A route is withdrawn while the entry instance that owns the connections to
   its service is cut off from control.  Another entry instance of the zone
   forwards to the owner.

   usage: owner BIN DIR; TROUBLE=0: without the cut  */

#include "rig.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

enum
{
  SETTLE = 8000,  /* ms until the owners of connections are settled */
  SLACK = 250,    /* rollback-slack-ms */
  CUT_TIME = 5000 /* ms; the largest of node_cut is 5.5 s */
};

static const char *
config (char *out, size_t size, int version, bool withdrawn)
{
  static const char route[] = "{\"name\":\"r-%s\",\"host\":\"%s\",\"path-"
                              "prefix\":\"/\",\"route-kind\":"
                              "\"primary\",\"timeout-ms\":1000,\"target-"
                              "latency-ms\":200,\"priority\":1,"
                              "\"service\":\"%s\",\"max-attempts\":2}";
  size_t n
      = (size_t)snprintf (out, size, "{\"version\":%d,\"routes\":[", version);

  if (!withdrawn)
    {
      n += (size_t)snprintf (out + n, size - n, route, "old", "hostold",
                             service_name[0]);
      n += (size_t)snprintf (out + n, size - n, ",");
    }
  n += (size_t)snprintf (out + n, size - n, route, "b", "hostb",
                         service_name[1]);
  if (withdrawn)
    {
      n += (size_t)snprintf (out + n, size - n, ",");
      n += (size_t)snprintf (out + n, size - n, route, "new", "hostnew",
                             service_name[1]);
    }
  n += (size_t)snprintf (out + n, size - n, "],\"services\":[");
  for (int i = 0; i < SERVICES; i++)
    n += (size_t)snprintf (
        out + n, size - n,
        "%s{\"name\":\"%s\",\"health-path\":\"/health\",\"max-conns\":22,"
        "\"protocol\":\"h1\",\"tls\":false,\"sync-replicas\":0}",
        i ? "," : "", service_name[i]);
  snprintf (
      out + n, size - n,
      "],\"limits\":{\"max-header-bytes\":16384,\"max-body-bytes\":262144,"
      "\"header-timeout-ms\":3000,\"idle-timeout-ms\":15000,\"tx-idle-ms\":"
      "3000}}");
  return out;
}

int
main (int argc, char **argv)
{
  static const int per_zone[3] = { 4, 5, 3 };
  char body[4096], answer[TEXT_MAX], id[40];
  const char *trouble = getenv ("TROUBLE");
  bool with_cut = trouble == NULL || strcmp (trouble, "0") != 0;
  session_t s;
  run_t r;
  int at;

  if (argc != 3)
    return 2;
  rig_start (argv[1], argv[2], per_zone);
  if (put_config (config (body, sizeof body, 7, false), 20000) < 0
      || !wait_ready (20000))
    {
      note ("the system did not start");
      quit (2);
    }
  note ("version 7 is acknowledged; it has hostold and hostb");
  sleep_ms (SETTLE);

  /* A session at an entry instance that forwards.  */
  for (at = 0; at < nentry; at++)
    {
      if (session_open (&s, entry[at].address, "hostold", answer, 2000)
          && session_query (&s, "READ 1a4", id, answer, 2000)
          && run_find (id, &r) && strcmp (r.caller, entry[at].name) != 0)
        break;
      session_close (&s);
    }
  if (at == nentry)
    {
      note ("no entry instance forwards");
      quit (2);
    }
  note ("a client's session at %s for hostold: its statements run on "
        "connections of %s",
        entry[at].name, r.caller);
  char owner[40];
  snprintf (owner, sizeof owner, "%s", r.caller);

  if (with_cut)
    cut (owner, true);
  int64_t cut_at = now_ms ();
  sleep_ms (100);
  int64_t acked = put_config (config (body, sizeof body, 9, true), 4000);
  if (acked < 0)
    {
      note ("version 9 was not acknowledged");
      quit (2);
    }
  note ("version 9 is acknowledged; it lacks hostold and has hostnew");

  /* The same entry instance obeys version 9: a database sees it.  */
  int64_t seen = -1;
  for (int i = 0; i < 100 && seen < 0; i++)
    {
      session_t t;
      if (session_open (&t, entry[at].address, "hostnew", answer, 1000)
          && session_query (&t, "READ 2b5", id, answer, 1000)
          && run_find (id, &r))
        seen = r.at;
      session_close (&t);
      if (seen < 0)
        sleep_ms (20);
    }
  if (seen < 0)
    {
      note ("%s does not obey version 9", entry[at].name);
      quit (2);
    }
  note ("a database has seen version 9 through %s at %lld ms", entry[at].name,
        (long long)seen);

  /* The session sends on; hostold is gone.  */
  int broken = 0;
  while (now_ms () < cut_at + CUT_TIME)
    {
      int64_t sent = now_ms ();
      if (sent <= seen + SLACK)
        {
          sleep_ms (10);
          continue;
        }
      bool answered = session_query (&s, "READ 3c6", id, answer, 2000);
      bool ran = run_find (id, &r);
      note ("client at %s: READ on hostold sent %lld ms after the database "
            "saw version 9: %s%s",
            entry[at].name, (long long)(sent - seen), answer,
            ran ? "; a database ran it" : "");
      broken += ran;
      if (!answered)
        break;
      sleep_ms (100);
    }
  if (with_cut)
    cut (owner, false);
  note ("%d requests for the withdrawn route ran", broken);
  quit (broken ? 1 : 0);
}
