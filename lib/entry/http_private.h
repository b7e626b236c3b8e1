/**
 * @file http_private.h
 * Internal state of the HTTP server; private to http.c and http_route.c.
 */
#pragma once

#include <microhttpd.h>
#include <pthread.h>

#include "entry/http.h"
#include "net/net_conns.h"

G_BEGIN_DECLS

struct Http
{
  HttpOptions options;
  char *host;
  struct MHD_Daemon *daemon;
  pthread_t thread;
  int wake_fd; /**< eventfd, written when an answer is ready */
  gint stopping;
  NetConns conns;     /**< used by the HTTP thread only */
  int64_t checked_us; /**< when connections were last checked for their time limits */
};

struct HttpRequest
{
  HttpRequestInfo ask;
  Http *http;
  struct MHD_Connection *connection;
  NetConn *conn;
  char *target; /**< raw request target */
  GByteArray *received;
  gboolean is_started; /**< the headers were processed */
  NetBody body_state;
  gboolean is_submitted; /**< passed to the loop */
  GError *refusal;       /**< error found before the body was read */
  gint status;           /**< HTTP status of the answer; 0: not answered. Set last, atomically */
  char *content_type;
  GBytes *body;
  GPtrArray *headers; /**< alternating names and values */
};

/** Determines the operation from method and path; FALSE with the error. */
gboolean http_route (HttpRequest *request, const char *method, const char *path, GError **error);

/** Parses or validates the body; FALSE with the error. */
gboolean http_read_body (HttpRequest *request, GError **error);

/** Answers requests that do not need the loop, including early refusals; TRUE when answered. */
gboolean http_answer_directly (HttpRequest *request);

G_END_DECLS
