/* sim - a simulated cluster of Raft instances with in-memory stores, and an
   oracle that checks the protocol's invariants after every step.  Used by the
   tests and by the fuzz target.  */

#ifndef SIM_H
#define SIM_H

#include "memfs.h"
#include "raft.h"

enum
{
  SIM_NODES = 7,
  SIM_LOG = 8192 /* entries that the oracle checks */
};

typedef struct sim sim_t;

typedef struct
{
  sim_t *sim;
  int slot;
  memfs_t *disk;
  apr_pool_t *pool; /* of the running instance */
  raft_t *raft;     /* NULL: not running */
  store_t *store;
  rng_t rng;
  int64_t id;
  bool frozen;     /* gets no packets and no ticks */
  uint64_t chain;  /* hash over all applied entries in order */
  int64_t applied; /* index of the last entry in CHAIN */
  bool was_leader;
} node_t;

typedef struct packet packet_t;

struct sim
{
  apr_pool_t *pool;
  msec_t now;
  rng_t rng;
  int n; /* slots in use */
  node_t node[SIM_NODES];
  bool cut[SIM_NODES][SIM_NODES];
  packet_t *queue; /* oldest first */
  packet_t **tail;
  int queued;
  int reply_to; /* slot that receives responses now, or -1 */
  int64_t next_id;
  raft_conf_t conf;
  size_t padding; /* bytes added to each snapshot */

  /* Oracle.  */
  uint64_t chain[SIM_LOG]; /* by index, 0: not applied anywhere yet */
  int64_t committed;
  int64_t max_term;
  apr_array_header_t *leaders; /* vote_record_t: id and term of each leader */
  apr_array_header_t *votes;   /* vote_record_t: votes saved */
  char violation[256];         /* the first one, empty when none */
};

/* sim_new: N running instances, of which the first MEMBERS form the cluster.
   SEED also selects some settings.  */
sim_t *sim_new (uint64_t seed, int n, int members);
void sim_free (sim_t *s);
/* sim_run: simulates MS milliseconds, delivering all packets on links that are
   up.  */
void sim_run (sim_t *s, msec_t ms);
/* sim_tick: advances the time by MS milliseconds without deliveries.  */
void sim_tick (sim_t *s, msec_t ms);
/* sim_deliver: delivers the packet at position K of the queue, which stays in
   the queue if KEEP is set.  Returns false when there is no such packet or its
   receiver is frozen.  */
bool sim_deliver (sim_t *s, int k, bool keep);
/* sim_drop: discards the packet at position K of the queue.  */
void sim_drop (sim_t *s, int k);
void sim_crash (sim_t *s, int slot);
bool sim_start (sim_t *s, int slot);
/* sim_wipe_disk: crashes an instance and empties its disk.  */
void sim_wipe_disk (sim_t *s, int slot);
/* sim_fail_disk: on the disk of a running instance, the K-th change from now
   on and all later ones fail; K of 0: changes succeed again.  */
void sim_fail_disk (sim_t *s, int slot, int k);
void sim_cut (sim_t *s, int a, int b, bool cut);
/* sim_isolate: cuts or restores all links of SLOT.  */
void sim_isolate (sim_t *s, int slot, bool cut);
/* sim_join: has the leader add running instances that are not members.  */
void sim_join (sim_t *s);
bool sim_propose (sim_t *s, int slot, str_t record);
/* sim_leader: slot of the leader with the highest term, -1 when there is none.
 */
int sim_leader (sim_t *s);
/* sim_wait_leader: runs until a leader can commit, at most MS milliseconds;
   returns its slot or -1.  */
int sim_wait_leader (sim_t *s, msec_t ms);
/* sim_settle: restores all links and disks, starts all instances, and reports
   a violation unless a new record reaches every member within MS
   milliseconds.  */
void sim_settle (sim_t *s, msec_t ms);

#endif
