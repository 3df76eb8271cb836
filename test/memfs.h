/* memfs - in-memory files for the store, with simulated crashes that lose
   unsynced data.  */

#ifndef MEMFS_H
#define MEMFS_H

#include "raft.h"

typedef struct memfs memfs_t;

extern const store_fs_t memfs_ops;

memfs_t *memfs_new (void);
void memfs_free (memfs_t *m);
/* memfs_crash: each file keeps a random prefix of its unsynced bytes, possibly
   corrupted; of the unsynced changes of names, a random prefix remains.  */
void memfs_crash (memfs_t *m, rng_t *rng);
/* memfs_fail: the K-th change from now on and all later ones fail until the
   next crash, or until K is 0.  A failed append may leave its bytes.  */
void memfs_fail (memfs_t *m, int k);
/* memfs_wipe: removes all files.  */
void memfs_wipe (memfs_t *m);
/* memfs_data: contents of a file, which a test may change; NULL when there is
   no such file.  */
buf_t *memfs_data (memfs_t *m, const char *name);

#endif
