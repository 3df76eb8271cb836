/* Stateful fuzzing of the replicated log with its store: the input bytes
   encode operations on a simulated cluster, the oracle of sim.h checks every
   step, and at the end, with all faults removed, the cluster has to commit
   again.  */

#include "sim.h"

#include <apr_general.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

int LLVMFuzzerTestOneInput (const uint8_t *data, size_t size);
int LLVMFuzzerInitialize (int *argc, char ***argv);

enum
{
  OPS_MAX = 400,   /* operations of one input */
  QUEUE_MAX = 200, /* packets in transit */
  SETTLE = 10000   /* ms until the cluster has to commit again */
};

/* Operations done since the program started.  */
static int64_t fuzz_ops;

static bool
disk_present (const sim_t *s, int64_t id)
{
  for (int i = 0; i < s->n; i++)
    if (s->node[i].id == id)
      return true;
  return false;
}

static bool
same_members (const members_t *a, const members_t *b)
{
  for (size_t i = 0; i < a->list.n && i < b->list.n; i++)
    if (LIST_AT (a->list, member_t, i)->id
            != LIST_AT (b->list, member_t, i)->id
        || LIST_AT (a->list, member_t, i)->voter
               != LIST_AT (b->list, member_t, i)->voter)
      return false;
  return a->list.n == b->list.n;
}

/* Slot of a leader that has applied its whole log, while every instance runs
   and all members have the same membership; only then is it certain that the
   loss of a disk leaves a quorum.  -1 otherwise.  */
static int
steady_leader (sim_t *s)
{
  int l = sim_leader (s);

  if (l < 0 || !raft_leader_ready (s->node[l].raft)
      || raft_applied (s->node[l].raft) < raft_last (s->node[l].raft))
    return -1;
  const members_t *m = raft_member_list (s->node[l].raft);
  for (int i = 0; i < s->n; i++)
    if (s->node[i].raft == NULL
        || (raft_member (s->node[l].raft, s->node[i].id)
            && !same_members (m, raft_member_list (s->node[i].raft))))
      return -1;
  return l;
}

/* Whether a quorum still has its disks after the instance WITHOUT loses its
   own.  Checked with and without learners, since a learner can become a voter
   at the moment its disk is lost.  */
static bool
keeps_quorum (sim_t *s, int l, int64_t without)
{
  const members_t *m = raft_member_list (s->node[l].raft);
  int all[2] = { 0 }, left[2] = { 0 };

  for (size_t i = 0; i < m->list.n; i++)
    {
      const member_t *x = LIST_AT (m->list, member_t, i);
      bool stays = x->id != without && disk_present (s, x->id);
      all[0] += x->voter;
      left[0] += x->voter && stays;
      all[1]++;
      left[1] += stays;
    }
  return left[0] > all[0] / 2 && left[1] > all[1] / 2;
}

static void
lose_disk (sim_t *s, int slot)
{
  int l = steady_leader (s);

  if (l < 0 || !keeps_quorum (s, l, s->node[slot].id))
    return;
  sim_wipe_disk (s, slot);
  sim_start (s, slot);
}

/* Removes a member if all members have their disks; sim_join adds it again as
   a learner.  */
static void
remove_member (sim_t *s, int slot)
{
  int l = steady_leader (s);
  member_t m = { .id = s->node[slot].id };

  if (l < 0 || s->node[l].frozen)
    return;
  const members_t *list = raft_member_list (s->node[l].raft);
  for (size_t i = 0; i < list->list.n; i++)
    if (!disk_present (s, LIST_AT (list->list, member_t, i)->id))
      return;
  raft_members (s->node[l].raft, MEMBER_REMOVE, &m, s->now, NULL);
}

static void
restore_network (sim_t *s)
{
  memset (s->cut, 0, sizeof s->cut);
  for (int i = 0; i < s->n; i++)
    s->node[i].frozen = false;
}

static void
propose (sim_t *s, unsigned arg)
{
  char text[16];
  int l = arg & 0x80 ? sim_leader (s) : (int)arg % s->n;

  snprintf (text, sizeof text, "%u", arg);
  if (l >= 0)
    sim_propose (s, l, str_of (text));
}

static void
network (sim_t *s, unsigned op, unsigned arg)
{
  int a = (int)(arg % (unsigned)s->n);
  int b = (int)(arg / 8 % (unsigned)s->n);

  if (op < 76)
    sim_deliver (s, (int)(arg % 8), false);
  else if (op < 100)
    for (unsigned i = 0; i < arg % 32; i++)
      sim_deliver (s, 0, false);
  else if (op < 112)
    sim_drop (s, (int)(arg % 8));
  else if (op < 120)
    sim_deliver (s, (int)(arg % 8), true);
  else if (op < 124)
    sim_cut (s, a, b, true);
  else if (op < 128)
    sim_isolate (s, a, true);
  else if (op < 134)
    restore_network (s);
  else
    sim_cut (s, a, b, false);
}

/* Isolates the leader, restores all other links and stops at the moment
   another leader is elected, while its first entry is still in transit.  */
static void
elect_next_leader (sim_t *s)
{
  msec_t end = s->now + 2000;
  int old = sim_leader (s);

  restore_network (s);
  if (old >= 0)
    sim_isolate (s, old, true);
  while (s->now < end && s->violation[0] == '\0')
    {
      while (sim_deliver (s, 0, false))
        {
          int l = sim_leader (s);
          if (l >= 0 && l != old)
            return;
        }
      sim_drop (s, 0);
      sim_tick (s, 5);
    }
}

static void
step (sim_t *s, unsigned op, unsigned arg)
{
  int slot = (int)(arg % (unsigned)s->n);

  if (op < 138)
    network (s, op, arg);
  else if (op < 166)
    sim_tick (s, 1 + arg % 80);
  else if (op < 192)
    propose (s, arg);
  else if (op < 196)
    s->node[slot].frozen = s->node[slot].raft != NULL;
  else if (op < 200)
    s->node[slot].frozen = false;
  else if (op < 207)
    sim_crash (s, slot);
  else if (op < 218)
    sim_start (s, slot);
  else if (op < 222)
    lose_disk (s, slot);
  else if (op < 230)
    sim_join (s);
  else if (op < 232)
    remove_member (s, slot);
  else if (op < 240)
    sim_run (s, 20 + arg / 2);
  else if (op < 252)
    elect_next_leader (s);
  else if (op < 254)
    sim_run (s, 400);
  else if (op < 255)
    sim_fail_disk (s, slot, 1 + (int)(arg / 16));
  else
    sim_fail_disk (s, slot, 0);
  while (s->queued > QUEUE_MAX)
    sim_drop (s, 0);
}

/* Many elections with few deliveries between them.  */
static void
election_step (sim_t *s, unsigned op, unsigned arg)
{
  if (op < 70)
    elect_next_leader (s);
  else if (op < 200)
    for (unsigned i = 0; i <= arg % 8; i++)
      sim_deliver (s, 0, false);
  else
    step (s, op, arg);
}

/* Runs one input; sets FAULT to the first violation, empty when none.  */
static void
run_ops (const uint8_t *data, size_t size, char fault[256])
{
  fault[0] = '\0';
  if (size < 4)
    return;
  int n = 3 + data[0] % 3;
  sim_t *s = sim_new (data[1], n, data[0] & 0x80 ? n : 3);
  if (data[2] & 1)
    sim_wait_leader (s, 3000);
  for (size_t i = 4; i + 1 < size && i < 2 * OPS_MAX + 4; i += 2)
    {
      if (data[3] & 1)
        election_step (s, data[i], data[i + 1]);
      else
        step (s, data[i], data[i + 1]);
      fuzz_ops++;
      if (s->violation[0])
        break;
    }
  if (s->violation[0] == '\0')
    sim_settle (s, SETTLE);
  memcpy (fault, s->violation, 256);
  sim_free (s);
}

static void
print_ops (void)
{
  fprintf (stderr, "stat::operations: %lld\n", (long long)fuzz_ops);
}

int
LLVMFuzzerInitialize (int *argc, char ***argv)
{
  (void)argc;
  (void)argv;
  return atexit (print_ops);
}

int
LLVMFuzzerTestOneInput (const uint8_t *data, size_t size)
{
  char fault[256];

  run_ops (data, size, fault);
  if (fault[0])
    {
      fprintf (stderr, "oracle: %s\n", fault);
      abort ();
    }
  return 0;
}
