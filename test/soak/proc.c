#include "soak.h"

#include <dirent.h>
#include <errno.h>
#include <fcntl.h>
#include <signal.h>
#include <spawn.h>
#include <stdlib.h>
#include <string.h>
#include <sys/resource.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <unistd.h>

/* The processes under test, their disks and their output.  */

enum
{
  RESTART_DELAY = 300, /* ms until a process that exited is started again */
  HANDLERS_TIME
  = 1000,             /* ms from the start to the installed signal handlers */
  POLL_INTERVAL = 10, /* ms between checks of a process */
  PROBE_INTERVAL = 500, /* ms between readiness probes, and their timeout */
  TORN_BYTES = 37       /* bytes of a torn write */
};

/* ---- disks ---- */

/* Calls EACH with the path of each file of P's disk.  */
static void
each_file (const proc_t *p, void (*each) (const char *path, void *arg),
           void *arg)
{
  DIR *d = opendir (p->data);
  char path[600];

  for (struct dirent *f; d && (f = readdir (d));)
    if (f->d_name[0] != '.')
      {
        snprintf (path, sizeof path, "%s/%s", p->data, f->d_name);
        each (path, arg);
      }
  if (d)
    closedir (d);
}

static void
erase (const char *path, void *arg)
{
  (void)arg;
  unlink (path);
}

typedef struct
{
  char path[600];
  struct timespec at;
  off_t max_size;
} newest_t;

static void
newest (const char *path, void *arg)
{
  newest_t *n = arg;
  struct stat st;

  if (stat (path, &st) || !S_ISREG (st.st_mode))
    return;
  if (st.st_size > n->max_size)
    n->max_size = st.st_size;
  if (strstr (path, "/log-") == NULL || st.st_mtim.tv_sec < n->at.tv_sec
      || (st.st_mtim.tv_sec == n->at.tv_sec
          && st.st_mtim.tv_nsec <= n->at.tv_nsec))
    return;
  n->at = st.st_mtim;
  snprintf (n->path, sizeof n->path, "%s", path);
}

/* Simulates a write that a power failure cut short.  Only the log is appended
   to; the other files are written completely, then renamed.  */
static void
append_torn_write (proc_t *p)
{
  newest_t n = { 0 };
  char junk[TORN_BYTES];

  each_file (p, newest, &n);
  int fd = n.path[0] ? open (n.path, O_WRONLY | O_APPEND | O_CLOEXEC) : -1;
  if (fd < 0)
    return;
  for (int i = 0; i < TORN_BYTES; i++)
    junk[i] = (char)rng_u64 (&p->world->rng);
  if (write (fd, junk, sizeof junk) != sizeof junk)
    note (p->world, "%s: torn write failed", p->name);
  close (fd);
}

/* ---- processes ---- */

/* The child inherits only its standard files: while it held a copy of a
   descriptor, epoll would go on reporting a connection closed here.  */
static int
spawn (proc_t *p, int out)
{
  posix_spawn_file_actions_t files;
  char path[300], setting[300];
  char *argv[] = { (char *)p->program, NULL };
  char *env[] = { setting, NULL };
  pid_t pid = 0;

  snprintf (path, sizeof path, "%s/bin/%s", p->world->bin, p->program);
  snprintf (setting, sizeof setting, "PIMENTOPOST_CONFIG=%s", p->settings);
  posix_spawn_file_actions_init (&files);
  posix_spawn_file_actions_adddup2 (&files, out, 1);
  posix_spawn_file_actions_adddup2 (&files, out, 2);
  posix_spawn_file_actions_addclosefrom_np (&files, 3);
  if (posix_spawn (&pid, path, &files, NULL, argv, env))
    {
      fprintf (stderr, "%s: cannot be started\n", path);
      exit (2);
    }
  posix_spawn_file_actions_destroy (&files);
  return pid;
}

void
proc_start (proc_t *p)
{
  int fd[2];
  char log[300];

  if (p->wipe_disk)
    each_file (p, erase, NULL);
  if (p->torn_write)
    append_torn_write (p);
  p->wipe_disk = p->torn_write = p->exit_expected = false;
  p->restart_at = p->term_sent = p->frozen_until = p->full_until = 0;
  if (p->log == NULL)
    {
      snprintf (log, sizeof log, "%s/%s.log", p->world->dir, p->name);
      p->log = fopen (log, "we");
    }
  if (pipe2 (fd, O_CLOEXEC))
    abort ();
  p->pid = spawn (p, fd[1]);
  close (fd[1]);
  fcntl (fd[0], F_SETFL, O_NONBLOCK);
  p->out = fd[0];
  p->started = p->world->now;
}

void
proc_signal (proc_t *p, int sig)
{
  if (p->pid == 0)
    return;
  if (sig == SIGTERM)
    {
      p->exit_expected = true;
      p->term_sent = p->world->now;
    }
  kill (p->pid, sig);
}

void
proc_kill (proc_t *p, msec_t delay)
{
  if (p->pid == 0)
    return;
  p->exit_expected = true;
  p->restart_at = p->world->now + delay;
  kill (p->pid, SIGKILL);
}

void
proc_freeze (proc_t *p, msec_t ms)
{
  if (p->pid == 0 || p->frozen_until)
    return;
  p->frozen_until = p->world->now + ms;
  kill (p->pid, SIGSTOP);
}

static void
disk_limit (proc_t *p, rlim_t bytes)
{
  const struct rlimit l = { bytes, RLIM_INFINITY };

  if (prlimit (p->pid, RLIMIT_FSIZE, &l, NULL))
    note (p->world, "%s: prlimit: %s", p->name, strerror (errno));
}

void
proc_fill_disk (proc_t *p, msec_t ms)
{
  newest_t n = { 0 };

  if (p->pid == 0 || p->full_until)
    return;
  each_file (p, newest, &n);
  p->full_until = p->world->now + ms;
  disk_limit (p, (rlim_t)n.max_size);
}

static void
read_output (proc_t *p)
{
  char text[8192];
  ssize_t n;

  while (p->out >= 0 && (n = read (p->out, text, sizeof text)) > 0)
    {
      tenants_check_text (p->world, p->name, (str_t){ text, (size_t)n });
      if (p->log)
        fwrite (text, 1, (size_t)n, p->log);
    }
}

static void
process_ended (proc_t *p, int status, msec_t now)
{
  bool expected
      = p->exit_expected || p->full_until || now < p->full_last + 1000;

  read_output (p);
  close (p->out);
  p->out = -1;
  p->pid = 0;
  /* SIGTERM kills a process that has not installed its handlers yet.  */
  bool no_handlers = p->term_sent && WIFSIGNALED (status)
                     && WTERMSIG (status) == SIGTERM
                     && p->term_sent < p->started + HANDLERS_TIME;
  if (!expected
      || (WIFSIGNALED (status) && WTERMSIG (status) != SIGKILL
          && !no_handlers))
    finding (p->world, "EXIT", "%s exited unexpectedly, status %x", p->name,
             (unsigned)status);
  if (p->full_until)
    p->full_last = now;
  if (p->restart_at == 0)
    p->restart_at = now + RESTART_DELAY;
}

static void
on_probe (void *arg, unsigned status, const char *body, const char *to)
{
  (void)body;
  (void)to;
  ((proc_t *)arg)->ready = status == 200;
}

void
proc_tick (proc_t *p, msec_t now)
{
  int status;

  if (now < p->next_poll)
    return;
  p->next_poll = now + POLL_INTERVAL;
  if (p->probe[0] && now >= p->next_probe)
    {
      p->next_probe = now + PROBE_INTERVAL;
      http_send (p->world, "GET", p->probe, "/pimentopost/readiness", "",
                 PROBE_INTERVAL, on_probe, p);
    }

  if (p->unread_until <= now)
    read_output (p);
  if (p->pid && p->frozen_until && now >= p->frozen_until)
    {
      p->frozen_until = 0;
      kill (p->pid, SIGCONT);
    }
  if (p->pid && p->full_until && now >= p->full_until)
    {
      p->full_until = 0;
      p->full_last = now;
      disk_limit (p, RLIM_INFINITY);
    }
  if (p->pid && waitpid (p->pid, &status, WNOHANG) == p->pid)
    process_ended (p, status, now);
  if (p->pid == 0 && p->restart_at && now >= p->restart_at)
    proc_start (p);
}

void
proc_end (proc_t *p)
{
  if (p->pid)
    {
      kill (p->pid, SIGKILL);
      waitpid (p->pid, NULL, 0);
    }
  if (p->log)
    fclose (p->log);
}
