/* Internals of the protocol, shared by the files of lib/raft.  */

#ifndef RAFT_LOCAL_H
#define RAFT_LOCAL_H

#include "raft.h"

enum
{
  PEERS_MAX = 16,
  WINDOW = 512,          /* entries sent beyond the last acknowledged one */
  APPLY_MAX = 16,        /* entries applied in one event: applying can be slow,
                            and must not delay heartbeats */
  CHUNK_RETRY = 200,     /* ms until a snapshot chunk is sent again */
  DEFAULT_COMPACT = 256, /* entries, see raft_conf_t */
  DEFAULT_TRAIL = 128    /* entries, see raft_conf_t */
};

/* A snapshot, reference-counted: a transfer in progress keeps it allocated
   when a newer one replaces it.  */
typedef struct
{
  int refs;
  raft_snap_t s;
} snap_t;

/* Another member: replication progress for the leader, vote for a candidate.
 */
typedef struct
{
  int64_t id;
  int64_t next;  /* index of the next entry to send */
  int64_t match; /* last entry known to be stored on the peer */
  msec_t acked;  /* send time of the latest answered message, or -1 */
  bool probing;  /* NEXT is not confirmed: send no entries until it is */
  bool granted;
  snap_t *snap;    /* being transferred, or NULL */
  int64_t off;     /* of the next chunk */
  msec_t chunk_at; /* when the last chunk was sent */
} peer_t;

struct raft
{
  apr_pool_t *pool;
  raft_conf_t conf;
  const raft_ops_t *ops;
  void *arg;
  rng_t *rng;
  msec_t now;
  bool stopped;
  err_t err;

  int64_t id;
  int64_t term;
  int64_t vote;
  int64_t saved_term; /* term in the store, at most TERM; see write.c */
  bool blocked;       /* the last write failed */
  msec_t retry_at;    /* earliest time of the next write while blocked */
  raft_role_t role;
  bool prevote; /* candidate in the pre-vote phase */
  int64_t leader;
  msec_t last_contact; /* time of the leader's last message */
  msec_t deadline;     /* end of the election timeout */
  msec_t heartbeat_at; /* time of the last round of heartbeats */
  int64_t noop_index;  /* leader: index of the first entry of its term */
  msec_t elected_at;   /* leader: time of its election */

  /* Entries BASE+1 .. BASE+N; BASE is at most the index of the snapshot.  */
  log_entry_t *log;
  size_t n;
  size_t cap;
  int64_t base;
  int64_t base_term;
  int64_t commit;
  int64_t applied;
  int64_t leader_commit; /* commit index of the leader's last message that
                            fitted the log; -1: none since the start */
  bool applying;
  snap_t *snap;

  apr_pool_t *members_pool;
  members_t *members;
  int64_t members_index;
  peer_t peer[PEERS_MAX];
  int npeer;

  /* Snapshot being received: IN holds the first bytes.  */
  buf_t in;
  int64_t in_from;
  int64_t in_leader_term; /* term of the leader that sends it */
  int64_t in_index;
  int64_t in_term;
  int64_t in_total;
};

/* log.c */
int64_t log_last (const raft_t *r);
/* log_term: term of entry I, -1 when I is not in the log.  */
int64_t log_term (const raft_t *r, int64_t i);
/* log_at: entry I, NULL when it is not in the log.  */
log_entry_t *log_at (raft_t *r, int64_t i);
/* log_put: appends a copy of V in memory.  */
void log_put (raft_t *r, const log_entry_t *v);
/* log_truncate: removes the entries from FROM on from memory.  */
void log_truncate (raft_t *r, int64_t from);
/* log_compact: removes the entries up to and including UPTO from memory.  */
void log_compact (raft_t *r, int64_t upto);
/* log_reset: empties the log; the next entry follows INDEX of TERM.  */
void log_reset (raft_t *r, int64_t index, int64_t term);
/* log_append: stores the N entries and appends them in memory, replacing the
   entries from V[0].index on; puts a membership among them in force.  */
bool log_append (raft_t *r, const log_entry_t *v, size_t n);

/* raft.c */
/* fail_stop: stops the instance after an error in R->err; returns false.  */
bool fail_stop (raft_t *r);
void reset_timeout (raft_t *r);
/* accept_leader: notes a message of FROM, the leader of TERM, which is at
   least the current term.  */
bool accept_leader (raft_t *r, int64_t term, int64_t from);
/* last_quorum: for a leader: send time of the latest messages that a quorum
   has answered, at least the time of its election.  */
msec_t last_quorum (const raft_t *r);
/* step_down: stops leading or campaigning in the current term.  */
void step_down (raft_t *r);
/* become_follower: makes the instance a follower in TERM, or in the current
   term if that is later.  */
bool become_follower (raft_t *r, int64_t term);
/* leader_append: appends an entry as the leader, which steps down when the
   write fails.  */
bool leader_append (raft_t *r, int64_t kind, str_t data);
/* append_error: sets E after leader_append failed; returns false.  */
bool append_error (const raft_t *r, err_t *e);
void send_to (raft_t *r, int64_t to, msgtype_t type, const void *msg);

/* write.c */
/* may_write: false for a while after a failed write.  The other functions
   return false when the write failed, with no other effect, or when the
   instance stopped.  */
bool may_write (const raft_t *r);
bool write_vote (raft_t *r, int64_t term, int64_t vote);
bool write_entries (raft_t *r, const log_entry_t *v, size_t n);
bool write_snapshot (raft_t *r, const raft_snap_t *s);
bool write_install (raft_t *r, const raft_snap_t *s);
/* write_retry: after a failed write, checks whether writes succeed again.  */
void write_retry (raft_t *r);

/* vote.c */
bool start_prevote (raft_t *r);
bool recv_vote_req (raft_t *r, const vote_req_t *m);
bool recv_vote_resp (raft_t *r, const vote_resp_t *m);

/* append.c */
/* replicate: sends P the entries or the snapshot chunk that it needs next; if
   HEARTBEAT is set, sends a message in any case.  */
void replicate (raft_t *r, peer_t *p, bool heartbeat);
void replicate_all (raft_t *r, bool heartbeat);
bool recv_append_req (raft_t *r, const append_req_t *m);
bool recv_append_resp (raft_t *r, const append_resp_t *m);
/* advance_commit: advances the leader's commit index and applies the entries
   committed by that.  */
bool advance_commit (raft_t *r);
/* apply_committed: applies at most APPLY_MAX entries; later events and ticks
   apply the rest.  */
bool apply_committed (raft_t *r);

/* snap.c */
/* members_at: the encoded membership in force at index I.  */
str_t members_at (raft_t *r, int64_t i);
/* compact: saves a snapshot when enough entries have been applied since the
   last one, and removes old entries.  */
bool compact (raft_t *r);
/* set_snapshot: replaces the current snapshot in memory with a copy of S.  */
bool set_snapshot (raft_t *r, const raft_snap_t *s);
void snap_unref (snap_t *s);
void send_snapshot (raft_t *r, peer_t *p, bool heartbeat);
bool recv_snap_req (raft_t *r, const snap_req_t *m);
bool recv_snap_resp (raft_t *r, const snap_resp_t *m);

/* member.c */
peer_t *peer_of (raft_t *r, int64_t id);
bool is_voter (const raft_t *r, int64_t id);
/* may_campaign: true for a voter, and for a removed voter until its commit
   index includes its removal.  */
bool may_campaign (raft_t *r);
int voters (const raft_t *r);
int quorum (const raft_t *r);
/* members_from_log: puts the latest membership of the log in force.  */
bool members_from_log (raft_t *r);
/* members_set: puts the encoded membership of entry INDEX in force.  */
bool members_set (raft_t *r, str_t packed, int64_t index);
/* promote_learners: makes a learner that has caught up a voter, or removes the
   voter that it replaces.  */
void promote_learners (raft_t *r);

#endif
