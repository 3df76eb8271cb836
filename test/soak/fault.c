#include "soak.h"

#include <signal.h>

/* Faults from outside.  They come in series and overlap; between two series
   it is calm for long enough that the bounds in time are checked.  */

enum
{
  SERIES = 6000,     /* ms of faults */
  CALM_SPELL = 9000, /* ms between two series */
  DISK_REST = 8000   /* ms without a fault in control before a disk is lost */
};

static void
disturb (world_t *w, msec_t ms)
{
  if (w->now + ms > w->disturbed)
    w->disturbed = w->now + ms;
}

static relay_t *
any_relay (world_t *w)
{
  int n = 0;

  for (relay_t *r = w->relays; r; r = r->next)
    n++;
  n = chance (w, n);
  for (relay_t *r = w->relays; r; r = r->next)
    if (n-- == 0)
      return r;
  return w->relays;
}

static db_t *
any_db (world_t *w)
{
  return &w->service[chance (w, SERVICES)].db[chance (w, DBS)];
}

static proc_t *
any_entry (world_t *w)
{
  return &w->entry[chance (w, w->entries)];
}

static proc_t *
any_control (world_t *w)
{
  return &w->control[chance (w, CONTROLS)];
}

/* ---- planned work ---- */

static msec_t
entry_stop (world_t *w)
{
  proc_t *p = any_entry (w);

  note (w, "SIGTERM %s", p->name);
  if (p->term == 0 && p->frozen == 0)
    proc_signal (p, SIGTERM);
  return 0;
}

static msec_t
reload (world_t *w)
{
  proc_t *p = chance (w, 2) ? any_entry (w) : any_control (w);

  note (w, "SIGHUP %s", p->name);
  if (w->now > p->started + 1000)
    proc_signal (p, SIGHUP);
  return 0;
}

static msec_t
output_unread (world_t *w)
{
  proc_t *p = chance (w, 2) ? any_entry (w) : any_control (w);

  note (w, "output of %s is not read", p->name);
  p->unread = w->now + 10000;
  return 0;
}

static msec_t
database_leaves (world_t *w)
{
  db_t *d = any_db (w);

  for (int i = 0; i < DBS; i++)
    if (d->service->db[i].leaving || !d->service->db[i].up)
      return 0;
  note (w, "%s leaves", d->id);
  db_leave (d);
  return 0;
}

/* ---- faults of processes ---- */

static msec_t
entry_kill (world_t *w)
{
  proc_t *p = any_entry (w);

  note (w, "SIGKILL %s", p->name);
  proc_kill (p, 200 + chance (w, 2000));
  return 2500;
}

static msec_t
control_kill (world_t *w)
{
  proc_t *p = any_control (w);

  note (w, "SIGKILL %s", p->name);
  p->torn = chance (w, 2);
  proc_kill (p, 100 + chance (w, 2000));
  return 2500;
}

static msec_t
control_stop (world_t *w)
{
  proc_t *p = any_control (w);

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
      w->control[i].torn = chance (w, 2);
      proc_kill (&w->control[i], 100 + chance (w, 800));
    }
  return 3000;
}

static msec_t
freeze (world_t *w)
{
  proc_t *p = chance (w, 2) ? any_entry (w) : any_control (w);
  msec_t ms = 100 + chance (w, 3000);

  note (w, "SIGSTOP %s for %lld ms", p->name, (long long)ms);
  proc_freeze (p, ms);
  return ms;
}

/* ---- faults of storage ---- */

static msec_t
disk_full (world_t *w)
{
  proc_t *p = any_control (w);

  note (w, "disk of %s is full", p->name);
  proc_fill_disk (p, 2000);
  return 3500;
}

/* One disk at a time may be lost, with the others in touch.  */
static msec_t
disk_lost (world_t *w)
{
  proc_t *p = any_control (w);

  for (int i = 0; i < CONTROLS; i++)
    if (w->control[i].pid == 0 || w->control[i].frozen
        || w->control[i].started + DISK_REST > w->now)
      return 0;
  if (w->disturbed + DISK_REST > w->now || w->wiped + 2 * DISK_REST > w->now)
    return 0;
  note (w, "disk of %s is lost", p->name);
  w->wiped = w->now;
  p->wipe = true;
  proc_kill (p, 200);
  return 5000;
}

/* ---- faults of connections ---- */

static msec_t
link_delay (world_t *w)
{
  relay_t *r = any_relay (w);

  note (w, "%s is delayed", r->listen);
  r->delay = 5 + chance (w, 300);
  r->until = w->now + 500 + chance (w, 3000);
  return r->until - w->now;
}

static msec_t
link_reset (world_t *w)
{
  relay_t *r = any_relay (w);

  note (w, "%s is reset", r->listen);
  relay_reset (r);
  return 10;
}

static msec_t
link_cut (world_t *w)
{
  relay_t *r = any_relay (w);
  int ways = 1 + chance (w, 3);

  note (w, "%s is cut, ways %d", r->listen, ways);
  r->hold[0] = ways & 1;
  r->hold[1] = ways & 2;
  r->until = w->now + 300 + chance (w, 3500);
  return r->until - w->now;
}

static msec_t
link_silent (world_t *w)
{
  relay_t *r = any_relay (w);

  note (w, "connections of %s fall silent", r->listen);
  relay_silence (r);
  return 7000;
}

/* ---- faults of databases and the platform ---- */

static msec_t
database_crash (world_t *w)
{
  db_t *d = any_db (w);

  if (!d->up)
    return 0;
  note (w, "%s crashes", d->id);
  db_crash (d, 300 + chance (w, 3000));
  return 3500;
}

static msec_t
database_harmed (world_t *w)
{
  db_t *d = any_db (w);
  msec_t until = w->now + 500 + chance (w, 2500);
  int how = chance (w, 4);
  msec_t *harm[] = { &d->grey, &d->slow, &d->lossy, &d->behind };

  note (w, "%s is harmed, way %d", d->id, how);
  if (how == 3)
    until += 4000; /* longer than the ages that reads may have */
  *harm[how] = until;
  return until - w->now;
}

static msec_t
promoter_down (world_t *w)
{
  w->promoter_down = w->now + 500 + chance (w, 2000);
  note (w, "the call that promotes answers 503");
  return w->promoter_down - w->now;
}

typedef msec_t (*fault_fn_t) (world_t *w);

static const fault_fn_t planned[]
    = { entry_stop, reload, output_unread, database_leaves };
static const fault_fn_t harmful[]
    = { entry_kill,      control_kill,   control_stop,   control_kill_all,
        freeze,          freeze,         disk_full,      link_delay,
        link_reset,      link_cut,       link_cut,       link_silent,
        link_silent,     database_crash, database_crash, database_harmed,
        database_harmed, promoter_down };

void
fault_turn (world_t *w, msec_t now)
{
  msec_t spell = (now - w->begun) % (SERIES + CALM_SPELL);
  bool series = spell < SERIES;

  if (now < w->next_fault || now > w->storm_end)
    return;
  w->next_fault
      = now + (series ? 50 + chance (w, 900) : 1200 + chance (w, 900));
  w->faults++;
  if (!series && spell > SERIES + CALM_SPELL - 300)
    disturb (w, disk_lost (w));
  else if (!series || chance (w, 5) == 0)
    planned[chance (w, sizeof planned / sizeof *planned)](w);
  else
    disturb (w, harmful[chance (w, sizeof harmful / sizeof *harmful)](w));
}
