/* loop - event loop of one thread, and buffered streams over TCP.

   Everything of a loop is called in its thread.  What a callback frees goes
   at the end of the turn, so that no other callback of the turn meets it.  */

#ifndef LOOP_H
#define LOOP_H

#include "base.h"

typedef struct loop loop_t;
typedef void (*loop_fn_t) (void *arg, uint32_t events);

/* loop_new: freed with POOL.  */
loop_t *loop_new (apr_pool_t *pool, err_t *e);
/* loop_watch: calls FN while FD is readable; the watch lasts as long as the
   loop.  */
bool loop_watch (loop_t *l, int fd, loop_fn_t fn, void *arg, err_t *e);
/* loop_now: when the present turn began.  */
msec_t loop_now (const loop_t *l);
/* loop_run: TURN is called after the events of each turn and returns when it
   has to be called again at the latest (absolute, -1: with the next event).
   Returns after loop_stop.  */
bool loop_run (loop_t *l, msec_t (*turn) (void *arg, msec_t now), void *arg,
               err_t *e);
void loop_stop (loop_t *l);

/* ---- streams ---- */

typedef struct stream stream_t;

typedef struct
{
  /* A connection that this side dialled is up; may be NULL.  */
  void (*open) (void *arg);
  /* Bytes came, see stream_in.  */
  void (*input) (void *arg);
  /* The other end closed it, or it failed.  The stream is freed after this
     call.  Not called after stream_close.  */
  void (*closed) (void *arg, err_t *e);
} stream_ops_t;

enum
{
  STREAM_OUT_MAX = 8 << 20 /* bytes that may wait for a slow reader */
};

/* stream_accept: takes over the connected descriptor FD.  */
stream_t *stream_accept (loop_t *l, int fd, const stream_ops_t *ops,
                         void *arg);
/* stream_dial: starts to connect.  NULL with E.  SILENCE: ms after which
   unacknowledged bytes end the connection.  */
stream_t *stream_dial (loop_t *l, str_t address, msec_t silence,
                       const stream_ops_t *ops, void *arg, err_t *e);
buf_t *stream_in (stream_t *s);
/* stream_out: buffer of bytes to send; call stream_flush after adding.  */
buf_t *stream_out (stream_t *s);
/* stream_flush: sends at the end of the turn.  */
void stream_flush (stream_t *s);
bool stream_connected (const stream_t *s);
/* stream_input_empty: no bytes have come that were not read.  A close then
   does not reset the connection under a message on its way.  */
bool stream_input_empty (const stream_t *s);
/* stream_close: sends what can be sent at once, then closes.  */
void stream_close (stream_t *s);

#endif
