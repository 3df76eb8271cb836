/* httpd - HTTP server in a thread of its own, and an HTTP client on an event
   loop.

   The server answers a request at once through HANDLE, or puts it into a
   bounded ring, where it waits until another thread calls httpd_respond.

   Connections are kept open between requests.  When three quarters of the
   limit are open, each is closed after its answer, so that new callers get in.
   When seven eighths are open, each new one replaces another: the oldest that
   never completed a request, or the one that last did so the longest ago.
   Bodies and responses are charged to a budget of bytes; while it is scarce,
   large ones get status 503.  */

#ifndef HTTPD_H
#define HTTPD_H

#include "base.h"
#include "loop.h"

enum
{
  HTTPD_BODY_MAX = 4 << 20, /* bytes of a request; more gives status 413.  A
                               server without a ring keeps no body */
  HTTPD_CONNECTIONS_MAX = 2048, /* at a time; further ones replace idle ones */
  HTTPD_CONNECTION_BYTES = 16 << 10 /* of a connection, for headers and
                                       buffers */
};

typedef struct httpd httpd_t;

typedef struct httpd_req
{
  struct httpd *server;
  const char *method;
  const char *path;
  buf_t body;
  bool too_large; /* longer than HTTPD_BODY_MAX */
  bool too_busy;  /* there was no memory for the body */
  size_t held;    /* bytes charged to the budget */
  /* The response.  */
  unsigned status;
  str_t type; /* content type */
  str_t location;
  buf_t reply;
  bool queued; /* put into the ring */
  bool done;   /* httpd_respond was called */
  void *conn;  /* struct MHD_Connection */
  char line[]; /* method and path */
} httpd_req_t;

typedef struct
{
  /* Handles R in the server's thread; false to put it into the ring.  */
  bool (*handle) (void *arg, httpd_req_t *r);
  void *arg;
  unsigned connections;  /* at a time, at most; 0: half of the descriptors */
  byte_budget_t *budget; /* for bodies and responses; may be NULL */
} httpd_ops_t;

/* httpd_new: listens on ADDRESS.  Requests that HANDLE does not answer go into
   IN, which may be NULL if there are none.  Freed with POOL.  */
httpd_t *httpd_new (apr_pool_t *pool, str_t address, ring_t *in,
                    const httpd_ops_t *ops, err_t *e);
/* httpd_set_response: sets the response to STATUS and BODY, for HANDLE.  */
void httpd_set_response (httpd_req_t *r, unsigned status, str_t type,
                         str_t body);
/* httpd_respond: answers a request from the ring; R is invalid afterwards.  */
void httpd_respond (httpd_req_t *r, unsigned status, str_t type,
                    str_t location, str_t body);

/* ---- client ---- */

typedef struct http_call http_call_t;

/* http_post: posts BODY to PATH at ADDRESS ("IPV4:PORT") from the loop's
   thread.  HEADERS are complete lines, each ending in CR LF.  DONE is called
   once, with the status of the response, or 0 when there was none (the server
   may have executed the request), unless http_cancel is called first.  NULL
   with E when the call cannot be started.  */
http_call_t *http_post (loop_t *l, str_t address, str_t path, str_t headers,
                        str_t body, void (*done) (void *arg, unsigned status),
                        void *arg, err_t *e);
/* http_cancel: ends the call without calling DONE.  */
void http_cancel (http_call_t *c);

#endif
