/* httpd - HTTP server in a thread of its own that hands requests to a loop.

   A request is answered at once by the table's QUICK, or goes into a bounded
   ring and waits until httpd_respond.  */

#ifndef HTTPD_H
#define HTTPD_H

#include "base.h"
#include "loop.h"

enum
{
  HTTPD_BODY_MAX = 1 << 20 /* bytes */
};

typedef struct httpd httpd_t;

typedef struct httpd_req
{
  struct httpd *server;
  const char *method;
  const char *path;
  buf_t body;
  bool too_large;
  /* The answer.  */
  unsigned status;
  str_t type; /* content type */
  str_t location;
  buf_t reply;
  bool queued;
  bool done;
  void *conn;
  char line[256]; /* method and path */
} httpd_req_t;

typedef struct
{
  /* Answers R in the server's thread; false when it has to go to the loop.  */
  bool (*handle) (void *arg, httpd_req_t *r);
  void *arg;
} httpd_ops_t;

/* httpd_new: listens on ADDRESS; requests go to IN (may be NULL when QUICK
   answers all).  Freed with POOL.  */
httpd_t *httpd_new (apr_pool_t *pool, str_t address, ring_t *in,
                    const httpd_ops_t *ops, err_t *e);
/* httpd_set_response: STATUS with the text BODY, for QUICK.  */
void httpd_set_response (httpd_req_t *r, unsigned status, str_t type,
                         str_t body);
/* httpd_respond: answers a request from the ring, which then is gone.  */
void httpd_respond (httpd_req_t *r, unsigned status, str_t type,
                    str_t location, str_t body);

/* ---- calls to other servers ---- */

typedef struct http_call http_call_t;

/* http_post: sends BODY to PATH at ADDRESS ("host:port") from the loop's
   thread.  HEADERS are whole lines, each with CR LF.  DONE is called once,
   with the status, or 0 when there was no answer (the call may have run all
   the same), unless http_cancel comes first.  NULL with E when it cannot even
   be started.  */
http_call_t *http_post (loop_t *l, str_t address, str_t path, str_t headers,
                        str_t body, void (*done) (void *arg, unsigned status),
                        void *arg, err_t *e);
void http_cancel (http_call_t *c);

#endif
