/* loop - single-threaded event loop, and buffered TCP streams on it.

   All functions and callbacks of a loop run in its thread.  A turn is one
   iteration: the callbacks of the ready descriptors, the TURN function, then
   the sending of flushed streams.  A stream closed in a callback is freed at
   the end of the turn, so that pending events of the same turn can still refer
   to it.

   A loop has a budget of bytes, which bounds the memory that other machines
   can make the process use.  */

#ifndef LOOP_H
#define LOOP_H

#include "base.h"

#include <stdatomic.h>

typedef struct loop loop_t;
typedef void (*loop_fn_t) (void *arg, uint32_t events);

/* loop_new: freed with POOL.  */
loop_t *loop_new (apr_pool_t *pool, err_t *e);
/* loop_watch: calls FN in each turn in which FD is readable, until the loop is
   freed.  */
bool loop_watch (loop_t *l, int fd, loop_fn_t fn, void *arg, err_t *e);
/* loop_now: start time of the current turn.  */
msec_t loop_now (const loop_t *l);
/* loop_run: runs until loop_stop.  TURN is called after the callbacks of each
   turn and returns the time by which it must be called again (-1: not before
   the next event).  False with E when polling fails.  */
bool loop_run (loop_t *l, msec_t (*turn) (void *arg, msec_t now), void *arg,
               err_t *e);
void loop_stop (loop_t *l);

/* ---- budget of bytes ---- */

/* Bytes held on behalf of other machines, and how many they may be.  Every
   holder charges the capacity of its buffers.  Above one half the budget is
   scarce: streams begin to receive no further large message.  Above the limit
   it is exceeded: owners of connections close those that hold the most.  May
   be charged from any thread.  */
typedef struct
{
  size_t limit; /* 0: none */
  _Atomic size_t used;
} byte_budget_t;

/* loop_budget: the budget of L, without a limit at first.  */
byte_budget_t *loop_budget (loop_t *l);
/* loop_streams: number of streams, which have a descriptor each.  */
int loop_streams (const loop_t *l);
void budget_set_limit (byte_budget_t *b, size_t limit);
/* budget_charge: a holder that was charged HELD bytes now holds BYTES.  */
void budget_charge (byte_budget_t *b, size_t *held, size_t bytes);
size_t budget_used (const byte_budget_t *b);
bool budget_scarce (const byte_budget_t *b);
bool budget_exceeded (const byte_budget_t *b);

/* ---- streams ---- */

typedef struct stream stream_t;

typedef struct
{
  /* The connection of stream_dial is established; may be NULL.  */
  void (*open) (void *arg);
  /* Bytes were added to stream_in.  */
  void (*input) (void *arg);
  /* The peer closed the connection, or it failed.  The stream is freed after
     this call.  Not called after stream_close.  */
  void (*closed) (void *arg, err_t *e);
} stream_ops_t;

enum
{
  STREAM_OUT_MAX = 8 << 20, /* unsent bytes until a slow peer is
                               disconnected */
  /* Unsent bytes until stream_may_answer asks to wait.  */
  STREAM_OUT_HIGH = 64 << 10,
  /* Bytes of a message that a stream receives also while the budget is
     scarce.  */
  STREAM_IN_SMALL = 16 << 10,
  STREAM_SOCKET_BUFFER = 64 << 10 /* bytes that the kernel keeps unread, of a
                                     stream with a limit */
};

/* stream_accept: a stream on the connected descriptor FD, which it owns.  */
stream_t *stream_accept (loop_t *l, int fd, const stream_ops_t *ops,
                         void *arg);
/* stream_dial: starts to connect; NULL with E when that fails at once.  The
   connection fails when sent bytes stay unacknowledged for ACK_TIMEOUT ms.  */
stream_t *stream_dial (loop_t *l, str_t address, msec_t ack_timeout,
                       const stream_ops_t *ops, void *arg, err_t *e);
/* stream_set_input_max: stops reading while stream_in holds N bytes or more,
   0: no limit, and calls INPUT again when sent output makes room for answers
   to what it holds.  */
void stream_set_input_max (stream_t *s, size_t n);
/* stream_paused: it does not read, because of its limit or the budget.  */
bool stream_paused (const stream_t *s);
/* stream_held: bytes charged to the budget for its buffers.  */
size_t stream_held (const stream_t *s);
/* stream_may_answer: few enough bytes are unsent for another answer.  */
bool stream_may_answer (const stream_t *s);
/* stream_stalled: ms since the peer last took a byte while some are unsent. */
msec_t stream_stalled (const stream_t *s);
/* stream_in: buffer of the bytes received.  */
buf_t *stream_in (stream_t *s);
/* stream_out: buffer of bytes to send; call stream_flush after adding.  */
buf_t *stream_out (stream_t *s);
/* stream_flush: sends the buffer at the end of the turn.  */
void stream_flush (stream_t *s);
/* stream_flush_now: sends it at once; whether the socket accepted all.  */
bool stream_flush_now (stream_t *s);
/* stream_connected: the connection is established and not closed.  */
bool stream_connected (const stream_t *s);
/* stream_input_empty: no received bytes are unread, neither in the buffer nor
   in the socket.  Closing a socket with unread bytes resets the connection,
   and the reset can discard output that the peer has not read yet.  */
bool stream_input_empty (const stream_t *s);
/* stream_close: sends what the socket accepts without blocking, then closes.
 */
void stream_close (stream_t *s);

#endif
