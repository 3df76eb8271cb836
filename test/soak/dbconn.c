#include "dbconn.h"

#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

/* Connections to the stand-in databases.  */

enum
{
  MAX_CONNS = 30
};

static void
dbconn_free (dbconn_t *c)
{
  dbconn_t **at = (dbconn_t **)&c->db->conns;

  while (*at != c)
    at = &(*at)->next;
  *at = c->next;
  buf_free (&c->answer);
  free (c);
}

static void
startup (dbconn_t *c, const char *line)
{
  db_t *d = c->db;
  char service[NAME] = "", client[64] = "", id[NAME] = "";
  int n = 0;

  sscanf (line, "%31s %63s %31s", service, client, id);
  for (const dbconn_t *o = d->conns; o; o = o->next)
    n++;
  if (strcmp (service, d->service->name) != 0
      || (id[0] && strcmp (id, d->id) != 0))
    buf_fmt (&c->answer, "ERROR MISROUTED %s\r\n", d->id);
  else if (n > MAX_CONNS)
    buf_fmt (&c->answer, "ERROR TOOMANY %s\r\n", d->id);
  else
    {
      c->started = true;
      copy (c->caller, sizeof c->caller, client);
      dbconn_ready (c);
      return;
    }
  c->due = -1;
}

/* Runs the received lines, up to a statement whose answer is delayed.  False
   when the connection was closed and freed.  */
static bool
run_lines (dbconn_t *c)
{
  char line[512];

  while (c->due == 0)
    {
      str_t in = buf_str (stream_in (c->stream));
      const char *lf = in.n ? memchr (in.p, '\n', in.n) : NULL;
      if (lf == NULL)
        break;
      size_t n = (size_t)(lf - in.p);
      snprintf (line, sizeof line, "%.*s", n ? (int)n - 1 : 0, in.p);
      tenants_check_text (c->db->service->world, "a message to a database",
                          (str_t){ in.p, n });
      buf_take (stream_in (c->stream), n + 1);
      if (strncmp (line, "STARTUP ", 8) == 0)
        startup (c, line + 8);
      else if (strncmp (line, "QUERY ", 6) == 0 && c->started)
        dbconn_query (c, line + 6);
      if (c->due == 0)
        {
          buf_adds (stream_out (c->stream), buf_str (&c->answer));
          buf_take (&c->answer, buf_len (&c->answer));
          stream_flush (c->stream);
        }
    }
  if (c->due >= 0)
    return true;
  buf_adds (stream_out (c->stream), buf_str (&c->answer));
  stream_flush (c->stream);
  stream_close (c->stream);
  dbconn_free (c);
  return false;
}

static void
on_input (void *arg)
{
  run_lines (arg);
}

static void
on_closed (void *arg, err_t *e)
{
  (void)e;
  dbconn_free (arg);
}

static const stream_ops_t ops = { NULL, on_input, on_closed };

void
dbconn_accept (void *arg, uint32_t events)
{
  db_t *d = arg;
  int fd;

  (void)events;
  while ((fd = accept4 (d->fd, NULL, NULL, SOCK_NONBLOCK | SOCK_CLOEXEC)) >= 0)
    {
      if (!d->up)
        {
          close (fd);
          continue;
        }
      dbconn_t *c = calloc (1, sizeof *c);
      if (c == NULL)
        abort ();
      c->db = d;
      c->serial = dbconn_serial ();
      c->tx = 'I';
      c->next = d->conns;
      d->conns = c;
      c->stream = stream_accept (d->service->world->loop, fd, &ops, c);
    }
}

void
dbconn_close_all (db_t *d)
{
  for (dbconn_t *next, *c = d->conns; c; c = next)
    {
      next = c->next;
      stream_close (c->stream);
      dbconn_free (c);
    }
}

/* Whether the answer of C waits for a replica to receive its commit.  A
   primary that was replaced meanwhile never answers.  */
static bool
awaits_replica (const dbconn_t *c)
{
  return c->commit.number && !service_replicated (c->db->service, c->commit);
}

/* With lossy_until, some answers are dropped and their connections closed.  */
void
dbconn_send_due (db_t *d, msec_t now)
{
  world_t *w = d->service->world;

  for (dbconn_t *next, *c = d->conns; c; c = next)
    {
      next = c->next;
      if (c->due == 0 || c->due > now || awaits_replica (c))
        continue;
      c->due = 0;
      c->commit = (log_pos_t){ 0 };
      if (d->lossy_until > now && rand_below (w, 8) == 0)
        {
          stream_close (c->stream);
          dbconn_free (c);
          continue;
        }
      buf_adds (stream_out (c->stream), buf_str (&c->answer));
      buf_take (&c->answer, buf_len (&c->answer));
      stream_flush (c->stream);
      run_lines (c);
    }
}
