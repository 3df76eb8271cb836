/* raft - replicated log: consensus decisions without I/O, and the store that
   keeps term, vote, log and snapshot in files.

   Source: Ongaro and Ousterhout, "In Search of an Understandable Consensus
   Algorithm", with pre-vote and check-quorum from Ongaro's dissertation.

   One thread uses a raft_t.  Every event takes NOW; a NOW that goes backwards
   is taken as the last one.  A disk that refuses a write (ERR_SYS) is waited
   out, see raft_blocked.  An event that returns false because the store
   failed otherwise (ERR_CORRUPT, ERR_STATE) leaves the instance stopped: it
   sends nothing more, and the process has to end.  */

#ifndef RAFT_H
#define RAFT_H

#include "base.h"
#include "rpc.h"

#include <apr_tables.h>

enum
{
  RAFT_HEARTBEAT = 50,          /* ms between rounds of heartbeats */
  RAFT_ELECTION_MIN = 250,      /* ms; also how long a follower keeps to a
                                   leader it has heard */
  RAFT_EAGER_START = 120,       /* ms after an eager start until it campaigns,
                             at most */
  RAFT_ELECTION_MAX = 500,      /* ms; a leader that no quorum answered for
                                   this long steps down */
  RAFT_MAX_RECORD = 512 << 10,  /* bytes of one record */
  RAFT_MAX_SNAPSHOT = 64 << 20, /* bytes */
  RAFT_MAX_UNCOMMITTED = 1024,  /* entries waiting for a quorum */
  RAFT_MAX_BATCH = 256 << 10    /* bytes of entries in one message */
};

typedef enum
{
  ENTRY_NOOP = 0,   /* first entry of a leader */
  ENTRY_RECORD = 1, /* from raft_propose */
  ENTRY_MEMBERS = 2 /* members_t; in force from the moment it is appended */
} entry_kind_t;

typedef enum
{
  RAFT_FOLLOWER, /* also a learner */
  RAFT_CANDIDATE,
  RAFT_LEADER
} raft_role_t;

/* What a store hands back when it is opened.  Strings and lists live in the
   pool that was given.  */
typedef struct
{
  int64_t id; /* identity of this data folder */
  int64_t term;
  int64_t vote;     /* id voted for in TERM, 0 for none */
  raft_snap_t snap; /* INDEX 0: none */
  list_t entries;   /* log_entry_t, first one at snap.index + 1 */
} raft_saved_t;

/* The outside world.  ARG is the one given to raft_new.  */
typedef struct
{
  /* Sends MSG to the member TO; may lose it.  Strings of MSG are valid only
     during the call.  Answers (MSG_*_RESP) go to the sender of the message
     that is being received.  Must not call raft functions.  */
  void (*send) (void *arg, int64_t to, msgtype_t type, const void *msg);

  /* The next four return true only when the change is durable.  ERR_SYS: it
     counts as not made, and writes can be tried again later.  */
  bool (*save_vote) (void *arg, int64_t term, int64_t vote, err_t *e);
  /* Drops stored entries from V[0].index on, then appends the N entries.  */
  bool (*save_entries) (void *arg, const log_entry_t *v, size_t n, err_t *e);
  /* Snapshot of the own state; entries up to SNAP->index can go.  */
  bool (*save_snapshot) (void *arg, const raft_snap_t *snap, err_t *e);
  /* Snapshot received from a leader; all stored entries go.  */
  bool (*install_snapshot) (void *arg, const raft_snap_t *snap, err_t *e);

  /* A committed entry of any kind, in order of index, each once.  May call
     raft_propose.  */
  void (*apply) (void *arg, const log_entry_t *entry);
  /* Appends the state after the last applied entry to OUT.  */
  void (*snapshot) (void *arg, buf_t *out);
  /* Replaces the state by that of SNAP.  */
  bool (*restore) (void *arg, const raft_snap_t *snap, err_t *e);
} raft_ops_t;

typedef struct
{
  str_t name;            /* of this instance, for membership */
  int64_t compact_after; /* applied entries behind the snapshot that start a
                            new one; 0: 256 */
  int64_t trail;         /* entries kept in front of a snapshot for slow
                            followers; 0: 128 */
  size_t batch;          /* bytes of entries in one message, of which at least
                            one entry is sent; 0: RAFT_MAX_BATCH */
  bool eager_start;      /* a start does not count as having heard a leader:
                      for users without leases that rest on the time
                      that a leader keeps its quorum.  Instances that
                      restart together elect sooner.  */
} raft_conf_t;

typedef struct raft raft_t;

/* raft_new: an instance from what the store SAVED, freed with POOL.  Restores
   the snapshot through OPS.  RNG draws the election timeouts.  NULL with the
   error of restore, or ERR_CORRUPT.  */
raft_t *raft_new (apr_pool_t *pool, const raft_conf_t *conf,
                  const raft_ops_t *ops, void *arg, const raft_saved_t *saved,
                  rng_t *rng, msec_t now, err_t *e);

/* ---- events ---- */

/* raft_recv: a message of consensus (MSG_VOTE_REQ .. MSG_SNAP_RESP) came.  */
bool raft_recv (raft_t *r, msgtype_t type, const void *msg, msec_t now,
                err_t *e);
/* raft_tick: time went by; call it every 10 ms or so, and at once again while
   raft_applied is behind raft_commit: an event applies only some entries, so
   that a long log keeps no heartbeat waiting.  */
bool raft_tick (raft_t *r, msec_t now, err_t *e);
/* raft_propose: appends a record.  INDEX (may be NULL) is where it stands; it
   is committed when apply gets an entry with this index and the present term.
   ERR_NOT_LEADER, ERR_FULL, ERR_TOO_LARGE: nothing was appended.  */
bool raft_propose (raft_t *r, str_t record, msec_t now, int64_t *index,
                   err_t *e);

typedef enum
{
  MEMBER_ADD,   /* as a learner; the leader makes it a voter when it has
                   caught up, in place of an older id of the same name */
  MEMBER_REMOVE /* by id */
} member_op_t;

/* raft_members: one change of membership.  ERR_NOT_LEADER; ERR_FULL while
   another change is under way or the leader has not committed in its term;
   ERR_CONFLICT when the instance of that name still answers under its old id;
   true without a change when M is already there under its
   address (or already gone).  */
bool raft_members (raft_t *r, member_op_t op, const member_t *m, msec_t now,
                   err_t *e);
/* raft_bootstrap: first membership, with an empty log only (ERR_STATE).  Only
   one instance of a deployment may call this; see docs/design.md.  The log is
   still empty after it when the disk refused: call it again.  */
bool raft_bootstrap (raft_t *r, const member_t *m, size_t n, msec_t now,
                     err_t *e);

/* ---- queries ---- */

raft_role_t raft_role (const raft_t *r);
/* raft_leader_ready: leader whose first entry is applied, so that its state
   holds all that was committed before.  */
bool raft_leader_ready (const raft_t *r);
/* raft_leader: id of the leader of the present term, 0 when unknown.  */
int64_t raft_leader (const raft_t *r);
/* raft_quorum_at: when the round of heartbeats was sent that a quorum of
   voters last answered; -1 when not leader or none yet.  */
msec_t raft_quorum_at (const raft_t *r);
int64_t raft_id (const raft_t *r);
int64_t raft_term (const raft_t *r);
int64_t raft_last (const raft_t *r);    /* index of the last entry */
int64_t raft_commit (const raft_t *r);  /* index of the last committed one */
int64_t raft_applied (const raft_t *r); /* index of the last applied one */
/* raft_blocked: whether the disk refused the last write, with its error.  Such
   an instance follows and answers heartbeats; it neither leads nor campaigns,
   and votes for and acknowledges nothing that it cannot store.  Writes are
   tried again until one succeeds.  */
bool raft_blocked (const raft_t *r, err_t *e);
/* raft_member_list: the membership in force, members_t.  */
const members_t *raft_member_list (const raft_t *r);
const member_t *raft_member (const raft_t *r, int64_t id);

/* What raft_observe saw last; all zero at first.  */
typedef struct
{
  raft_role_t role;
  int64_t term;
  int64_t leader;
  const members_t *members;
  int64_t members_changes; /* of changes seen, from 1 */
  bool blocked;
} raft_observed_t;

/* raft_observe: logs what changed of role, leader, membership and disk.  */
void raft_observe (const raft_t *r, raft_observed_t *seen);

/* ---- store ---- */

/* Files of one folder.  Names have no slash.  */
typedef struct
{
  /* Appends the names of all files to NAMES (char *, in its pool).  */
  bool (*list) (void *arg, apr_array_header_t *names, err_t *e);
  bool (*read) (void *arg, const char *name, buf_t *out, err_t *e);
  /* Appends DATA, making the file when it is missing, and syncs the file when
     SYNC.  */
  bool (*append) (void *arg, const char *name, str_t data, bool sync,
                  err_t *e);
  bool (*truncate) (void *arg, const char *name, int64_t size, err_t *e);
  bool (*rename) (void *arg, const char *from, const char *to, err_t *e);
  bool (*remove) (void *arg, const char *name, err_t *e);
  /* Makes new, renamed and removed names durable.  */
  bool (*sync_dir) (void *arg, err_t *e);
} store_fs_t;

typedef struct store store_t;

/* store_files: FS and ARG for the folder PATH of the file system, made when it
   is missing, locked against a second process (ERR_CONFLICT).  */
bool store_files (apr_pool_t *pool, const char *path, const store_fs_t **fs,
                  void **arg, err_t *e);
/* store_open: opens a store, or makes one with identity NEW_ID when the folder
   is empty.  OUT is filled with what was saved, in the pool TMP.  A torn last
   record is cut off; damage anywhere else is ERR_CORRUPT with file and
   offset.  */
store_t *store_open (apr_pool_t *pool, apr_pool_t *tmp, const store_fs_t *fs,
                     void *arg, int64_t new_id, raft_saved_t *out, err_t *e);
/* What raft_open is given; STORE is where the store goes.  */
typedef struct
{
  str_t path;
  raft_conf_t conf;
  const raft_ops_t *ops;
  void *arg;
  rng_t *rng;
  msec_t now;
  store_t **store;
} raft_open_t;

/* raft_open: an instance with its store in the folder PATH; for programs that
   start.  Waits while the disk is full or refuses writes.  */
raft_t *raft_open (apr_pool_t *pool, const raft_open_t *o, err_t *e);
/* These have the contract of raft_ops_t: after ERR_SYS the store is as it was
   before, and the next write first removes what the refused one left.  */
bool store_vote (store_t *s, int64_t term, int64_t vote, err_t *e);
bool store_entries (store_t *s, const log_entry_t *v, size_t n, err_t *e);
bool store_snapshot (store_t *s, const raft_snap_t *snap, err_t *e);
bool store_install (store_t *s, const raft_snap_t *snap, err_t *e);

#endif
