/**
 * @file http_private.h
 * Internal state of the HTTP server; private to http.c and http_route.c.
 */
#pragma once

#include <microhttpd.h>
#include <pthread.h>

#include "entry/http.h"
#include "net/net_peers.h"

G_BEGIN_DECLS

/** An open connection. */
typedef struct
{
  NetPeer peer; /**< first, so that it is the same address */
  int fd;
  HttpRequest *request; /**< NULL between requests */
} HttpConnection;

struct Http
{
  HttpOptions options;
  char *host;
  struct MHD_Daemon *daemon;
  pthread_t thread;
  int wake_fd; /**< eventfd, written when an answer is ready */
  gint stopping;
  NetPeers peers;     /**< used by the HTTP thread only */
  uint64_t freed;     /**< bytes freed since memory was last given back */
  int64_t checked_us; /**< when connections were last checked for their time limits */
};

struct HttpRequest
{
  HttpRequestInfo ask;
  Http *http;
  struct MHD_Connection *connection;
  HttpConnection *peer;
  char *target; /**< raw request target */
  GByteArray *received;
  gboolean is_started;    /**< the headers were processed */
  gboolean is_too_large;  /**< the body exceeds its limit: the rest is dropped */
  gboolean is_unbuffered; /**< there was no memory for the body */
  gboolean is_submitted;  /**< passed to the loop */
  GError *refusal;        /**< error found before the body was read */
  gint status;            /**< HTTP status of the answer; 0: not answered. Set last, atomically */
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
