#ifndef LOOP_LOCAL_H
#define LOOP_LOCAL_H

#include "loop.h"

/* A descriptor in the epoll set and its callback.  */
typedef struct fd_watch
{
  int fd;
  loop_fn_t fn;
  void *arg;
  struct fd_watch *next; /* in the list of loop_watch */
} fd_watch_t;

struct stream
{
  fd_watch_t watch;
  loop_t *loop;
  const stream_ops_t *ops;
  void *arg;
  buf_t in;
  buf_t out;
  bool connected;
  bool writing;    /* waits until the socket accepts more bytes */
  bool flushing;   /* in TO_FLUSH of the loop */
  bool closed;     /* in TO_FREE of the loop */
  bool paused;     /* in PAUSED of the loop: EPOLLIN is not asked for */
  size_t in_max;   /* bytes in IN from which it is paused; 0: none */
  size_t held;     /* charged to the budget */
  size_t reserved; /* of the budget, for the large message being received; 0:
                      none is */
  msec_t stalled_since; /* no byte of OUT was taken since; 0: none unsent */
  stream_t *next_to_flush;
  stream_t *next_to_free;
  stream_t *next_paused;
};

struct loop
{
  int poll; /* epoll descriptor */
  msec_t now;
  bool stopping;
  fd_watch_t *watched; /* by loop_watch */
  stream_t *to_flush;
  stream_t *to_free;
  stream_t *paused;
  int streams;
  byte_budget_t budget;
  size_t reserved; /* by all streams */
};

/* stream_send: sends the unsent bytes.  stream_free: frees a closed stream.
   stream_resume: continues to read if its limits allow it; false when they do
   not.  */
void stream_send (stream_t *s);
bool stream_resume (stream_t *s);
void stream_free (stream_t *s);

#endif
