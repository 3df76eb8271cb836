/* raft - replicated log: the Raft protocol as a state machine without I/O, and
   a store that keeps term, vote, log and snapshot in files.

   Source: Ongaro and Ousterhout, "In Search of an Understandable Consensus
   Algorithm", with pre-vote and check-quorum from Ongaro's dissertation.

   A raft_t belongs to one thread.  Every event takes the current time NOW; if
   NOW goes backwards, the latest time passed so far is used.  After a failed
   write (ERR_SYS) the instance keeps running and retries, see raft_blocked.
   An event that returns false because the store failed otherwise (ERR_CORRUPT,
   ERR_STATE) leaves the instance stopped: it sends nothing more, and the
   process has to exit.  */

#ifndef RAFT_H
#define RAFT_H

#include "base.h"
#include "rpc.h"

#include <apr_tables.h>

enum
{
  RAFT_HEARTBEAT = 50,          /* ms between rounds of heartbeats */
  RAFT_ELECTION_MIN = 250,      /* ms; shortest election timeout; an instance
                                   rejects vote requests for this long after a
                                   message of the leader */
  RAFT_EAGER_START = 120,       /* ms; longest time from an eager start to the
                                   first campaign */
  RAFT_ELECTION_MAX = 500,      /* ms; longest election timeout; a leader steps
                                   down when no quorum answers for longer than
                                   this */
  RAFT_MAX_RECORD = 6 << 20,    /* bytes of one record */
  RAFT_MAX_SNAPSHOT = 64 << 20, /* bytes */
  RAFT_MAX_UNCOMMITTED = 1024,  /* entries not yet committed */
  RAFT_MAX_BATCH = 256 << 10    /* bytes of entries in one message */
};

typedef enum
{
  ENTRY_NOOP = 0,   /* first entry of a leader's term */
  ENTRY_RECORD = 1, /* from raft_propose */
  ENTRY_MEMBERS = 2 /* members_t; in force as soon as it is appended */
} entry_kind_t;

typedef enum
{
  RAFT_FOLLOWER, /* also a learner */
  RAFT_CANDIDATE,
  RAFT_LEADER
} raft_role_t;

/* What store_open returns.  Strings and lists are allocated in its pool TMP.
 */
typedef struct
{
  int64_t id; /* identity stored in this data folder */
  int64_t term;
  int64_t vote;     /* id voted for in TERM, 0: none */
  raft_snap_t snap; /* INDEX 0: none */
  list_t entries;   /* log_entry_t, first one at snap.index + 1 */
} raft_saved_t;

/* Callbacks for network, storage and replicated state.  ARG is the one given
   to raft_new.  */
typedef struct
{
  /* Sends MSG to the member TO; delivery is not guaranteed.  Strings of MSG
     are valid only during the call.  Responses (MSG_*_RESP) go to the sender
     of the message that is being received.  Must not call raft functions.  */
  void (*send) (void *arg, int64_t to, msgtype_t type, const void *msg);

  /* The next four return true only when the change is durable.  ERR_SYS: the
     change counts as not made, and writes can be retried later.  */
  bool (*save_vote) (void *arg, int64_t term, int64_t vote, err_t *e);
  /* Deletes the stored entries from V[0].index on, then appends the N entries.
   */
  bool (*save_entries) (void *arg, const log_entry_t *v, size_t n, err_t *e);
  /* Saves a snapshot of the local state; entries up to SNAP->index may be
     deleted.  */
  bool (*save_snapshot) (void *arg, const raft_snap_t *snap, err_t *e);
  /* Saves a snapshot received from a leader and deletes all stored entries.
   */
  bool (*install_snapshot) (void *arg, const raft_snap_t *snap, err_t *e);

  /* Applies a committed entry of any kind; called once for each entry, in the
     order of the index.  May call raft_propose.  */
  void (*apply) (void *arg, const log_entry_t *entry);
  /* Appends to OUT the serialized state as of the last applied entry.  */
  void (*snapshot) (void *arg, buf_t *out);
  /* Replaces the state with that of SNAP.  */
  bool (*restore) (void *arg, const raft_snap_t *snap, err_t *e);
} raft_ops_t;

typedef struct
{
  str_t name;            /* of this instance, for membership */
  int64_t compact_after; /* number of entries applied since the last snapshot
                            that triggers a new one; 0: 256 */
  int64_t trail;         /* number of entries before a snapshot that stay in
                            memory for slow followers; 0: 128 */
  size_t batch;          /* most bytes of entries in one message, which always
                            carries at least one entry; 0: RAFT_MAX_BATCH */
  bool eager_start;      /* grant votes right after a start instead of waiting
                            as if a leader had just sent a message; instances
                            that restart together then elect a leader sooner.
                            Only for users without leases whose validity
                            depends on when a quorum last answered the
                            leader.  */
} raft_conf_t;

typedef struct raft raft_t;

/* raft_new: creates an instance from the contents SAVED of its store; it is
   freed with POOL.  Restores the snapshot through OPS.  RNG randomizes the
   election timeouts.  Returns NULL with the error of OPS->restore or with
   ERR_CORRUPT.  */
raft_t *raft_new (apr_pool_t *pool, const raft_conf_t *conf,
                  const raft_ops_t *ops, void *arg, const raft_saved_t *saved,
                  rng_t *rng, msec_t now, err_t *e);

/* ---- events ---- */

/* raft_recv: handles a Raft message (MSG_VOTE_REQ .. MSG_SNAP_RESP).  */
bool raft_recv (raft_t *r, msgtype_t type, const void *msg, msec_t now,
                err_t *e);
/* raft_tick: advances the time.  Call it about every 10 ms, and again at once
   while raft_applied is less than raft_commit: each event applies only a few
   entries, so that a long log does not delay heartbeats.  */
bool raft_tick (raft_t *r, msec_t now, err_t *e);
/* raft_propose: appends a record and stores its index in INDEX unless that is
   NULL.  The record is committed when apply is called with an entry of this
   index and the current term.  ERR_NOT_LEADER, ERR_FULL, ERR_TOO_LARGE:
   nothing was appended.  */
bool raft_propose (raft_t *r, str_t record, msec_t now, int64_t *index,
                   err_t *e);

typedef enum
{
  MEMBER_ADD,   /* as a learner; once it has caught up, the leader makes it a
                   voter, replacing an older id of the same name */
  MEMBER_REMOVE /* by id */
} member_op_t;

/* raft_members: makes one change of membership.  ERR_NOT_LEADER; ERR_FULL
   while another change is in progress or the leader has not committed an entry
   of its term; ERR_CONFLICT when an instance of that name still responds under
   its old id; ERR_STATE when M is the last voter.  Returns true without a
   change when M is already a member with the same address, or already
   removed.  */
bool raft_members (raft_t *r, member_op_t op, const member_t *m, msec_t now,
                   err_t *e);
/* raft_bootstrap: writes the first membership; the log must be empty
   (ERR_STATE).  Only one instance of a deployment may call this; see
   docs/design.md.  When the write fails, the call returns true and the log is
   still empty: call it again.  */
bool raft_bootstrap (raft_t *r, const member_t *m, size_t n, msec_t now,
                     err_t *e);

/* ---- queries ---- */

raft_role_t raft_role (const raft_t *r);
/* raft_leader_ready: whether this instance is the leader and has applied the
   first entry of its term, so that its state includes everything that was
   committed before.  */
bool raft_leader_ready (const raft_t *r);
/* raft_current: whether it has applied an entry of the current term and all
   that the leader had committed when it last wrote.  After a start its state
   may be old until then, though the leader is known.  */
bool raft_current (const raft_t *r);
/* raft_leader: id of the leader of the current term, 0 when unknown.  */
int64_t raft_leader (const raft_t *r);
/* raft_quorum_at: send time of the latest messages that a quorum of voters has
   answered; -1 when this instance is not the leader or no quorum has answered
   yet.  */
msec_t raft_quorum_at (const raft_t *r);
int64_t raft_id (const raft_t *r);
int64_t raft_term (const raft_t *r);
int64_t raft_last (const raft_t *r);    /* index of the last entry */
int64_t raft_commit (const raft_t *r);  /* index of the last committed one */
int64_t raft_applied (const raft_t *r); /* index of the last applied one */
/* raft_blocked: whether the last write failed; E is set to its error.  Such an
   instance follows and answers heartbeats; it neither leads nor campaigns, and
   grants no vote and acknowledges no entry that it cannot store.  Writes are
   retried until one succeeds.  */
bool raft_blocked (const raft_t *r, err_t *e);
/* raft_member_list: the membership in force, members_t.  */
const members_t *raft_member_list (const raft_t *r);
const member_t *raft_member (const raft_t *r, int64_t id);

/* State at the last call of raft_observe; initially all zero.  */
typedef struct
{
  raft_role_t role;
  int64_t term;
  int64_t leader;
  const members_t *members;
  int64_t members_changes; /* number of changes observed */
  bool blocked;
} raft_observed_t;

/* raft_observe: logs changes of role, leader, membership and of whether the
   disk accepts writes, and updates LAST.  */
void raft_observe (const raft_t *r, raft_observed_t *last);

/* ---- store ---- */

/* File operations in one folder.  Names contain no slash.  */
typedef struct
{
  /* Appends the names of all files to NAMES (char *, in its pool).  */
  bool (*list) (void *arg, apr_array_header_t *names, err_t *e);
  bool (*read) (void *arg, const char *name, buf_t *out, err_t *e);
  /* Appends DATA, creating the file if necessary; syncs the file if SYNC is
     set.  */
  bool (*append) (void *arg, const char *name, str_t data, bool sync,
                  err_t *e);
  bool (*truncate) (void *arg, const char *name, int64_t size, err_t *e);
  bool (*rename) (void *arg, const char *from, const char *to, err_t *e);
  bool (*remove) (void *arg, const char *name, err_t *e);
  /* Makes created, renamed and removed names durable.  */
  bool (*sync_dir) (void *arg, err_t *e);
} store_fs_t;

typedef struct store store_t;

/* store_files: sets FS and ARG for the folder PATH, which is created if
   necessary and locked until POOL is destroyed.  ERR_CONFLICT when another
   process holds the lock.  */
bool store_files (apr_pool_t *pool, const char *path, const store_fs_t **fs,
                  void **arg, err_t *e);
/* store_open: opens a store, or creates one with identity NEW_ID when the
   folder is empty.  Fills OUT with the contents, allocated in TMP.  A torn
   last record is truncated; damage anywhere else is ERR_CORRUPT with file and
   offset.  */
store_t *store_open (apr_pool_t *pool, apr_pool_t *tmp, const store_fs_t *fs,
                     void *arg, int64_t new_id, raft_saved_t *out, err_t *e);
/* Arguments of raft_open; it sets *STORE to the opened store.  */
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

/* raft_open: opens the store in the folder PATH and creates an instance from
   it.  For use at program start: blocks while the disk is full or reports I/O
   errors.  */
raft_t *raft_open (apr_pool_t *pool, const raft_open_t *o, err_t *e);
/* These follow the contract of the callbacks in raft_ops_t: after ERR_SYS the
   contents of the store are unchanged, and the next write first removes what
   the failed one left behind.  */
bool store_vote (store_t *s, int64_t term, int64_t vote, err_t *e);
bool store_entries (store_t *s, const log_entry_t *v, size_t n, err_t *e);
bool store_snapshot (store_t *s, const raft_snap_t *snap, err_t *e);
bool store_install (store_t *s, const raft_snap_t *snap, err_t *e);

#endif
