/* Internals of the decision module, shared by the files of lib/raft.  */

#ifndef RAFT_LOCAL_H
#define RAFT_LOCAL_H

#include "raft.h"

enum
{
  PEERS_MAX = 16,
  WINDOW = 512,      /* entries sent ahead of the last answer */
  APPLY_MAX = 16,    /* entries applied in one event: applying can be slow,
                        and must not keep heartbeats waiting */
  CHUNK_RETRY = 200, /* ms until a snapshot chunk is sent again */
  DEFAULT_COMPACT = 256,
  DEFAULT_TRAIL = 128
};

/* A snapshot that a transfer under way keeps alive after a newer one.  */
typedef struct
{
  int refs;
  raft_snap_t s;
} snap_t;

/* What the leader knows of another member, and the candidate of its vote.  */
typedef struct
{
  int64_t id;
  int64_t next;  /* first entry to send */
  int64_t match; /* last entry known to be stored there */
  msec_t acked;  /* when the last answered message was sent, or -1 */
  bool probing;  /* NEXT is a guess: send no entries before an answer */
  bool granted;
  snap_t *snap; /* transfer under way */
  int64_t off;
  msec_t chunk_at;
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
  int64_t saved_term; /* at most TERM, see write.c */
  bool blocked;       /* the disk refused the last write */
  msec_t retry_at;
  raft_role_t role;
  bool prevote; /* candidate that asks for pre-votes */
  int64_t leader;
  msec_t last_contact; /* last message of the leader */
  msec_t deadline;     /* of the election timeout */
  msec_t heartbeat_at; /* last round of heartbeats */
  int64_t noop_index;  /* leader: index of its own first entry */
  msec_t elected_at;   /* leader: time of its election */

  /* Entries BASE+1 .. BASE+N; BASE is at most the snapshot's index.  */
  log_entry_t *log;
  size_t n;
  size_t cap;
  int64_t base;
  int64_t base_term;
  int64_t commit;
  int64_t applied;
  bool applying;
  snap_t *snap;

  apr_pool_t *members_pool;
  members_t *members;
  int64_t members_index;
  peer_t peer[PEERS_MAX];
  int npeer;

  /* Snapshot being received.  */
  buf_t in;
  int64_t in_from;
  int64_t in_leader_term; /* raft term of that leader */
  int64_t in_index;
  int64_t in_term;
  int64_t in_total;
};

/* log.c */
int64_t log_last (const raft_t *r);
/* log_term: term of entry I, -1 when it is not held.  */
int64_t log_term (const raft_t *r, int64_t i);
log_entry_t *log_at (raft_t *r, int64_t i);
/* log_put: copies V behind the last entry.  */
void log_put (raft_t *r, const log_entry_t *v);
/* log_cut: drops entries from FROM on.  */
void log_truncate (raft_t *r, int64_t from);
/* log_drop: forgets entries up to and including UPTO.  */
void log_compact (raft_t *r, int64_t upto);
/* log_reset: empty log behind entry INDEX of TERM.  */
void log_reset (raft_t *r, int64_t index, int64_t term);
/* log_append: stores and holds entries that follow the log, replacing those
   that conflict; takes over a membership among them.  */
bool log_append (raft_t *r, const log_entry_t *v, size_t n);

/* raft.c */
bool fail_stop (raft_t *r);
void reset_timeout (raft_t *r);
/* hear_leader: a message of the leader FROM of TERM, which is not before the
   present one, came.  */
bool accept_leader (raft_t *r, int64_t term, int64_t from);
/* last_quorum: leader: when a quorum last answered, at least its election.  */
msec_t last_quorum (const raft_t *r);
/* resign: gives up leading or campaigning in the present term.  */
void step_down (raft_t *r);
/* follow: becomes a follower in TERM, at least the present one.  */
bool become_follower (raft_t *r, int64_t term);
/* append_own: appends an entry of a leader, which resigns when the disk
   refuses it.  */
bool leader_append (raft_t *r, int64_t kind, str_t data);
/* not_written: fills E for an entry that append_own did not append.  */
bool append_error (const raft_t *r, err_t *e);
void send_to (raft_t *r, int64_t to, msgtype_t type, const void *msg);

/* write.c */
/* May_write: false for a while after a refused write.  The others return false
   when the disk refused, with no other effect, or when the instance
   stopped.  */
bool may_write (const raft_t *r);
bool write_vote (raft_t *r, int64_t term, int64_t vote);
bool write_entries (raft_t *r, const log_entry_t *v, size_t n);
bool write_snapshot (raft_t *r, const raft_snap_t *s);
bool write_install (raft_t *r, const raft_snap_t *s);
/* write_retry: looks whether a disk that refused takes writes again.  */
void write_retry (raft_t *r);

/* vote.c */
bool start_prevote (raft_t *r);
bool recv_vote_req (raft_t *r, const vote_req_t *m);
bool recv_vote_resp (raft_t *r, const vote_resp_t *m);

/* append.c */
/* replicate: what P needs next; a heartbeat sends something in any case.  */
void replicate (raft_t *r, peer_t *p, bool heartbeat);
void replicate_all (raft_t *r, bool heartbeat);
bool recv_append_req (raft_t *r, const append_req_t *m);
bool recv_append_resp (raft_t *r, const append_resp_t *m);
/* advance: moves the leader's commit index, applies what is committed.  */
bool advance_commit (raft_t *r);
/* apply_committed: applies at most APPLY_MAX entries; each event and tick goes
   on with the rest.  */
bool apply_committed (raft_t *r);

/* snap.c */
/* members_at: membership, packed, in force at index I.  */
str_t members_at (raft_t *r, int64_t i);
bool compact (raft_t *r);
bool set_snapshot (raft_t *r, const raft_snap_t *s);
void snap_unref (snap_t *s);
void send_snapshot (raft_t *r, peer_t *p, bool heartbeat);
bool recv_snap_req (raft_t *r, const snap_req_t *m);
bool recv_snap_resp (raft_t *r, const snap_resp_t *m);

/* member.c */
peer_t *peer_of (raft_t *r, int64_t id);
bool is_voter (const raft_t *r, int64_t id);
/* may_campaign: a voter, or one until the change that removes it is known to
   be committed.  */
bool may_campaign (raft_t *r);
int voters (const raft_t *r);
int quorum (const raft_t *r);
/* members_from_log: takes the membership over that is in force by the log.  */
bool members_from_log (raft_t *r);
bool members_set (raft_t *r, str_t packed, int64_t index);
void promote_learners (raft_t *r);

#endif
