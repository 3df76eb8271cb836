/* Internals of the store, shared by store.c, load.c and cleanup.c.  */

#ifndef RAFT_STORE_H
#define RAFT_STORE_H

#include "raft.h"

#include <apr_tables.h>

/* The FAULT_ macros compile in deliberate faults for test/raft_faults.sh.  */
#ifdef FAULT_NO_SYNC
#define SYNC false
#else
#define SYNC true
#endif

/* A record consists of the magic number, the length of the body (4 bytes), its
   checksum (8 bytes) and the body, an encoded message.  A segment starts with
   a header: magic number, index and term of the entry before the segment, the
   reset flag, and a checksum of all these, 8 bytes each.  */
#define RECORD_MAGIC "\xc1PPr"
#define SEGMENT_MAGIC "PPLOG\0\0\1"

enum
{
  RECORD_HEADER_SIZE = 16,
  SEGMENT_HEADER_SIZE = 40,
  SEGMENT_MAX_SIZE = 1 << 20 /* bytes, above which a new segment is started */
};

typedef struct
{
  int64_t seq;
  int64_t base; /* index of the entry before the segment */
  int64_t base_term;
  bool reset; /* earlier segments are obsolete */
} segment_t;

struct store
{
  apr_pool_t *pool; /* only while loading */
  const store_fs_t *fs;
  void *arg;
  int64_t id;
  apr_array_header_t *segments;
  int64_t last_seq;
  size_t size;    /* of the last segment */
  bool torn;      /* a failed write may have left bytes after SIZE */
  bool leftovers; /* a failed write may have left obsolete files */
  int64_t last;   /* index of the last entry */
  int64_t last_term;
  int64_t snap_index;
};

/* put64, get64: little-endian.  */
void put64 (unsigned char *p, uint64_t v);
uint64_t get64 (const unsigned char *p);
void record_put (buf_t *b, msgtype_t type, const void *msg);
uint64_t record_sum (const unsigned char *p, size_t n);
/* record_len: length of the valid record at offset AT of S, 0 when there is
   none.  */
size_t record_len (str_t s, size_t at);
void *record_decode (store_t *s, str_t file, size_t at, msgtype_t type,
                     err_t *e);
/* store_replace: replaces the file NAME atomically with one record.  */
bool store_replace (store_t *s, const char *name, msgtype_t type,
                    const void *msg, err_t *e);
bool segment_begin (store_t *s, int64_t base, int64_t base_term, bool reset,
                    err_t *e);
/* store_prune: removes the segments that the current snapshot makes obsolete,
   oldest first, so that a crash leaves no gap between the remaining ones.  */
bool store_prune (store_t *s, err_t *e);
void segment_name (char name[32], int64_t seq);
void snapshot_name (char name[32], int64_t index);
/* parse_name: whether NAME consists of PREFIX and 16 hexadecimal digits, whose
   value goes to N.  */
bool parse_name (const char *name, const char *prefix, int64_t *n);

/* cleanup.c */
/* store_cleanup: removes what failed writes left behind.  Called before each
   write.  */
bool store_cleanup (store_t *s, err_t *e);

#endif
