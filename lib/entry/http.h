/**
 * @file http.h
 * HTTP server: one thread polls all connections; connections of pending requests are suspended.
 */
#pragma once

#include <glib.h>
#include <stdint.h>

#include "common/err.h"
#include "common/met.h"
#include "entry/params.h"
#include "entry/view.h"

G_BEGIN_DECLS

typedef struct Http Http;
typedef struct HttpRequest HttpRequest;

/** Operation of a request. The loop handles some; the HTTP thread answers the others. */
typedef enum
{
  HTTP_CALL,
  HTTP_CONFIG_PUT,
  HTTP_CONFIG_CHECK,
  HTTP_CONFIG_HISTORY,
  HTTP_JOB_SUBMIT,
  HTTP_JOB_LIST,
  HTTP_JOB_GET,
  HTTP_JOB_CANCEL,
  HTTP_JOB_EXPLAIN,
  HTTP_STATUS,
  HTTP_CONFIG_GET,
  HTTP_METRICS,
  HTTP_HEALTH,
  HTTP_READY,
} HttpOp;

/** Parsed request for the loop; owned by the HTTP server. */
typedef struct
{
  HttpOp op;
  ParamsCall call; /**< valid for HTTP_CALL */
  GBytes *body;
  int64_t received_us;
  uint64_t job; /**< valid for HTTP_JOB_GET, CANCEL and EXPLAIN */
  uint64_t base;
  char *author;
  char *note;
  char *job_name; /**< valid for HTTP_JOB_SUBMIT */
  char *job_key;
  char *submitter;
} HttpRequestInfo;

typedef struct
{
  const char *host;
  uint16_t port;
  uint32_t body_bytes_max;
  uint32_t headers_bytes_max;
  uint32_t connections_max;
  /** Memory of libmicrohttpd for each connection. Without room for the headers it refuses them. */
  size_t pool_bytes;
  /** Bytes of request bodies of all connections that are read or handled, and of unsent answers. */
  uint32_t buffer_bytes_max;
  int64_t idle_ms;
  MetRegistry *metrics;
  ViewBoard *board;
  /** Passes a request to the loop; FALSE: the loop can't accept it now. */
  gboolean (*submit) (void *ctx, HttpRequest *request);
  void *ctx;
} HttpOptions;

/** Starts the server; NULL with #ERR_REFUSED when it can't listen. */
Http *http_new (const HttpOptions *options, GError **error);

/** Stops the polling thread: no further request is passed to the loop. */
void http_stop (Http *http);

/**
 * Sends the remaining answers for a bounded time and closes all connections. Call it after
 * http_stop(), when every request that was passed to the loop has been answered.
 */
void http_free (Http *http);

const HttpRequestInfo *http_request_info (const HttpRequest *request);

/** One response header. */
typedef struct
{
  const char *name;
  const char *value;
} HttpHeader;

/** Sends the final answer, exactly once for each request; callable from any thread. */
void http_answer (HttpRequest *request,
                  uint32_t status,
                  const char *content_type,
                  GBytes *body,
                  const HttpHeader *headers,
                  size_t n_headers);

/** Sends an error as the final answer, see http_answer(); @p request_id may be NULL. */
void http_fail (HttpRequest *request,
                ErrKind kind,
                ErrRan ran,
                const char *message,
                int64_t retry_after_ms,
                const char *request_id,
                uint32_t attempts);

G_END_DECLS
