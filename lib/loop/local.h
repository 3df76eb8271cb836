#ifndef LOOP_LOCAL_H
#define LOOP_LOCAL_H

#include "loop.h"

typedef struct watched
{
  int fd;
  loop_fn_t fn;
  void *arg;
  struct watched *next; /* of those that last as long as the loop */
} watched_t;

struct stream
{
  watched_t watch;
  loop_t *loop;
  const stream_ops_t *ops;
  void *arg;
  buf_t in;
  buf_t out;
  bool up;
  bool writing; /* waits for room */
  bool dirty;   /* in the loop's list of streams to send */
  bool dead;
  stream_t *next_dirty;
  stream_t *next_dead;
};

struct loop
{
  int poll;
  msec_t now;
  bool stopping;
  watched_t *watched;
  stream_t *dirty;
  stream_t *dead;
};

/* stream_send: writes what waits; stream_free: frees a closed stream.  */
void stream_send (stream_t *s);
void stream_free (stream_t *s);

#endif
