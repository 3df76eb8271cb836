/* Internals of the store, shared by store.c and load.c.  */

#ifndef RAFT_STORE_H
#define RAFT_STORE_H

#include "raft.h"

#include <apr_tables.h>

#ifdef FAULT_NO_SYNC
#define SYNC false
#else
#define SYNC true
#endif

/* A record is the mark, the length of the body in 4 bytes, its checksum in 8
   and the body, a packed message.  A segment begins with its mark, the index
   and term of the entry before it, a flag and the checksum of all these.  */
#define RECORD_MAGIC "\xc1PPr"
#define SEGMENT_MAGIC "PPLOG\0\0\1"

enum
{
  RECORD_HEADER_SIZE = 16,
  SEGMENT_HEADER_SIZE = 40,
  SEGMENT_MAX_SIZE = 1 << 20 /* bytes, after which a new one is begun */
};

typedef struct
{
  int64_t seq;
  int64_t base;
  int64_t base_term;
  bool reset; /* earlier segments do not count */
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
  bool torn;      /* a refused write may have left bytes behind SIZE */
  bool leftovers; /* or files that do not count */
  int64_t last;
  int64_t last_term;
  int64_t snap_index;
};

void put64 (unsigned char *p, uint64_t v);
uint64_t get64 (const unsigned char *p);
void record_put (buf_t *b, msgtype_t type, const void *msg);
uint64_t record_sum (const unsigned char *p, size_t n);
size_t record_len (str_t s, size_t at);
void *record_decode (store_t *s, str_t file, size_t at, msgtype_t type,
                     err_t *e);
bool store_replace (store_t *s, const char *name, msgtype_t type,
                    const void *msg, err_t *e);
bool segment_begin (store_t *s, int64_t base, int64_t base_term, bool reset,
                    err_t *e);
/* store_prune: removes the segments that the present snapshot makes
   unnecessary, oldest first, so that a crash leaves a whole rest.  */
bool store_prune (store_t *s, err_t *e);
void segment_name (char name[32], int64_t seq);
void snapshot_name (char name[32], int64_t index);
/* numbered: whether NAME is PREFIX and a number of 16 hexadecimal digits.  */
bool parse_name (const char *name, const char *prefix, int64_t *n);

/* mend.c */
/* store_mend: removes what refused writes left behind.  Called before each
   write.  */
bool store_cleanup (store_t *s, err_t *e);

#endif
