#include "soak.h"

#include <signal.h>

/* Injects faults from outside of the processes.  Periods of overlapping faults
   alternate with quiet ones, which are long enough for the time limits to be
   checked.  */

enum
{
  FAULT_PERIOD = 6000, /* ms */
  QUIET_PERIOD = 9000, /* ms between two fault periods */
  DISK_LOSS_GAP = 8000 /* ms without a fault before a disk is lost */
};

static void
disturb (world_t *w, msec_t ms)
{
  if (w->now + ms > w->disturbed_until)
    w->disturbed_until = w->now + ms;
}

static relay_t *
random_relay (world_t *w)
{
  int n = 0;

  for (relay_t *r = w->relays; r; r = r->next)
    n++;
  n = rand_below (w, n);
  for (relay_t *r = w->relays; r; r = r->next)
    if (n-- == 0)
      return r;
  return w->relays;
}

static db_t *
random_db (world_t *w)
{
  return &w->service[rand_below (w, SERVICES)].db[rand_below (w, DBS)];
}

static proc_t *
random_entry (world_t *w)
{
  return &w->entry[rand_below (w, w->entries)];
}

static proc_t *
random_control (world_t *w)
{
  return &w->control[rand_below (w, CONTROLS)];
}

/* ---- planned maintenance ---- */

static msec_t
entry_stop (world_t *w)
{
  proc_t *p = random_entry (w);

  note (w, "SIGTERM %s", p->name);
  if (p->term_sent == 0 && p->frozen_until == 0)
    proc_signal (p, SIGTERM);
  return 0;
}

static msec_t
reload (world_t *w)
{
  proc_t *p = rand_below (w, 2) ? random_entry (w) : random_control (w);

  note (w, "SIGHUP %s", p->name);
  if (w->now > p->started + 1000)
    proc_signal (p, SIGHUP);
  return 0;
}

static msec_t
output_unread (world_t *w)
{
  proc_t *p = rand_below (w, 2) ? random_entry (w) : random_control (w);

  note (w, "output of %s is not read", p->name);
  p->unread_until = w->now + 10000;
  return 0;
}

static msec_t
database_drain (world_t *w)
{
  db_t *d = random_db (w);

  for (int i = 0; i < DBS; i++)
    if (d->service->db[i].draining || !d->service->db[i].up)
      return 0;
  note (w, "%s drains", d->id);
  db_drain (d);
  return 0;
}

/* ---- faults of processes ---- */

static msec_t
entry_kill (world_t *w)
{
  proc_t *p = random_entry (w);

  note (w, "SIGKILL %s", p->name);
  proc_kill (p, 200 + rand_below (w, 2000));
  return 2500;
}

static msec_t
control_kill (world_t *w)
{
  proc_t *p = random_control (w);

  note (w, "SIGKILL %s", p->name);
  p->torn_write = rand_below (w, 2);
  proc_kill (p, 100 + rand_below (w, 2000));
  return 2500;
}

static msec_t
control_stop (world_t *w)
{
  proc_t *p = random_control (w);

  note (w, "SIGTERM %s", p->name);
  proc_signal (p, SIGTERM);
  return 1000;
}

static msec_t
control_kill_all (world_t *w)
{
  note (w, "SIGKILL all control instances");
  for (int i = 0; i < CONTROLS; i++)
    {
      w->control[i].torn_write = rand_below (w, 2);
      proc_kill (&w->control[i], 100 + rand_below (w, 800));
    }
  return 3000;
}

static msec_t
freeze (world_t *w)
{
  proc_t *p = rand_below (w, 2) ? random_entry (w) : random_control (w);
  msec_t ms = 100 + rand_below (w, 3000);

  note (w, "SIGSTOP %s for %lld ms", p->name, (long long)ms);
  proc_freeze (p, ms);
  return ms;
}

/* ---- faults of storage ---- */

static msec_t
disk_full (world_t *w)
{
  proc_t *p = random_control (w);

  note (w, "disk of %s is full", p->name);
  proc_fill_disk (p, 2000);
  return 3500;
}

/* Only one control disk is lost at a time, while all instances run and after
   a quiet time.  */
static msec_t
disk_lost (world_t *w)
{
  proc_t *p = random_control (w);

  for (int i = 0; i < CONTROLS; i++)
    if (w->control[i].pid == 0 || w->control[i].frozen_until
        || w->control[i].started + DISK_LOSS_GAP > w->now)
      return 0;
  if (w->disturbed_until + DISK_LOSS_GAP > w->now
      || w->disk_lost_at + 2 * DISK_LOSS_GAP > w->now)
    return 0;
  note (w, "disk of %s is lost", p->name);
  w->disk_lost_at = w->now;
  p->wipe_disk = true;
  proc_kill (p, 200);
  return 5000;
}

/* ---- faults of connections ---- */

static msec_t
link_delay (world_t *w)
{
  relay_t *r = random_relay (w);

  note (w, "%s is delayed", r->listen);
  r->delay = 5 + rand_below (w, 300);
  r->until = w->now + 500 + rand_below (w, 3000);
  return r->until - w->now;
}

static msec_t
link_reset (world_t *w)
{
  relay_t *r = random_relay (w);

  note (w, "%s is reset", r->listen);
  relay_reset (r);
  return 10;
}

static msec_t
link_block (world_t *w)
{
  relay_t *r = random_relay (w);
  int directions = 1 + rand_below (w, 3);

  note (w, "%s is blocked, directions %d", r->listen, directions);
  r->hold[0] = directions & 1;
  r->hold[1] = directions & 2;
  r->until = w->now + 300 + rand_below (w, 3500);
  return r->until - w->now;
}

static msec_t
link_blackhole (world_t *w)
{
  relay_t *r = random_relay (w);

  note (w, "open connections of %s are blackholed", r->listen);
  relay_blackhole (r);
  return 7000;
}

/* ---- faults of databases and the platform ---- */

static msec_t
database_crash (world_t *w)
{
  db_t *d = random_db (w);

  if (!d->up)
    return 0;
  note (w, "%s crashes", d->id);
  db_crash (d, 300 + rand_below (w, 3000));
  return 3500;
}

static msec_t
database_degraded (world_t *w)
{
  db_t *d = random_db (w);
  msec_t until = w->now + 500 + rand_below (w, 2500);
  int kind = rand_below (w, 4);
  msec_t *field[] = { &d->failing_until, &d->slow_until, &d->lossy_until,
                      &d->stalled_until };

  note (w, "%s is degraded, kind %d", d->id, kind);
  if (kind == 3)
    until += 4000; /* longer than the staleness that reads allow */
  *field[kind] = until;
  return until - w->now;
}

static msec_t
promoter_down (world_t *w)
{
  w->promoter_down_until = w->now + 500 + rand_below (w, 2000);
  note (w, "the call that promotes answers 503");
  return w->promoter_down_until - w->now;
}

typedef msec_t (*fault_fn_t) (world_t *w);

static const fault_fn_t planned[]
    = { entry_stop, reload, output_unread, database_drain };
static const fault_fn_t unplanned[] = { entry_kill,
                                        control_kill,
                                        control_stop,
                                        control_kill_all,
                                        freeze,
                                        freeze,
                                        disk_full,
                                        link_delay,
                                        link_reset,
                                        link_block,
                                        link_block,
                                        link_blackhole,
                                        link_blackhole,
                                        database_crash,
                                        database_crash,
                                        database_degraded,
                                        database_degraded,
                                        promoter_down };

void
fault_tick (world_t *w, msec_t now)
{
  msec_t phase = (now - w->begun) % (FAULT_PERIOD + QUIET_PERIOD);
  bool fault_period = phase < FAULT_PERIOD;

  if (now < w->next_fault || now > w->faults_end)
    return;
  w->next_fault = now
                  + (fault_period ? 50 + rand_below (w, 900)
                                  : 1200 + rand_below (w, 900));
  w->faults++;
  if (!fault_period && phase > FAULT_PERIOD + QUIET_PERIOD - 300)
    disturb (w, disk_lost (w));
  else if (!fault_period || rand_below (w, 5) == 0)
    planned[rand_below (w, sizeof planned / sizeof *planned)](w);
  else
    disturb (
        w, unplanned[rand_below (w, sizeof unplanned / sizeof *unplanned)](w));
}
