/* sim - a simulated cluster of raft instances over stores in memory, with an
   oracle that checks what must hold after every step.  Used by the tests and
   by the fuzz target.  */

#ifndef SIM_H
#define SIM_H

#include "memfs.h"
#include "raft.h"

enum
{
  SIM_NODES = 7,
  SIM_LOG = 8192 /* entries that the oracle remembers */
};

typedef struct sim sim_t;

typedef struct
{
  sim_t *sim;
  int slot;
  memfs_t *disk;
  apr_pool_t *pool; /* of the running instance */
  raft_t *raft;     /* NULL: down */
  store_t *store;
  rng_t rng;
  int64_t id;
  bool frozen;
  uint64_t chain;  /* hash over all applied entries */
  int64_t applied; /* index that CHAIN stands for */
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
  int answering; /* slot that gets answers now, or -1 */
  int64_t next_id;
  raft_conf_t conf;
  size_t fill; /* bytes added to each snapshot */

  /* Oracle.  */
  uint64_t chain[SIM_LOG]; /* by index, 0: not applied anywhere yet */
  int64_t committed;
  int64_t max_term;
  apr_array_header_t *leaders; /* of a term */
  apr_array_header_t *votes;
  char fault[256]; /* first violation, empty when none */
};

sim_t *sim_new (uint64_t seed, int n, int members);
void sim_free (sim_t *s);
/* sim_run: MS of simulated time, delivering what is not cut.  */
void sim_run (sim_t *s, msec_t ms);
/* sim_tick: MS of simulated time without deliveries.  */
void sim_tick (sim_t *s, msec_t ms);
/* sim_deliver: the packet at place K of the queue; false when none or when its
   receiver is frozen.  */
bool sim_deliver (sim_t *s, int k, bool keep);
void sim_drop (sim_t *s, int k);
void sim_crash (sim_t *s, int slot);
bool sim_start (sim_t *s, int slot);
void sim_lose_disk (sim_t *s, int slot);
/* sim_refuse: the disk of a running instance refuses the K-th write from now
   on and all later ones; K of 0: it takes them again.  */
void sim_refuse (sim_t *s, int slot, int k);
void sim_cut (sim_t *s, int a, int b, bool cut);
void sim_isolate (sim_t *s, int slot, bool cut);
/* sim_join: lets the leader add running instances that are no members.  */
void sim_join (sim_t *s);
bool sim_propose (sim_t *s, int slot, str_t record);
/* sim_leader: slot of the leader of the highest term, -1 for none.  */
int sim_leader (sim_t *s);
/* sim_wait: runs until a leader can commit, at most MS; its slot or -1.  */
int sim_wait (sim_t *s, msec_t ms);
/* sim_settle: heals all, starts all, and reports a fault unless a new record
   reaches every member within MS.  */
void sim_settle (sim_t *s, msec_t ms);

#endif
