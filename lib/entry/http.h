/**
 * @file http.h
 * The HTTP side: one thread that polls all connections; a request that waits is suspended.
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

/** What a request asks of the loop; the others are answered on the HTTP thread. */
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

/** One request as the loop sees it; owned by the HTTP side. */
typedef struct
{
  HttpOp op;
  ParamsCall call; /**< of HTTP_CALL */
  GBytes *body;
  int64_t received_us;
  uint64_t job; /**< of HTTP_JOB_GET, CANCEL and EXPLAIN */
  uint64_t base;
  char *author;
  char *note;
  char *job_name; /**< of HTTP_JOB_SUBMIT */
  char *job_key;
  char *submitter;
} HttpAsk;

typedef struct
{
  const char *host;
  uint16_t port;
  uint32_t body_bytes_max;
  uint32_t headers_bytes_max;
  uint32_t connections_max;
  int64_t idle_ms;
  MetRegistry *metrics;
  ViewBoard *board;
  /** Hands a request to the loop; FALSE: it can't take it now. */
  gboolean (*submit) (void *ctx, HttpRequest *request);
  void *ctx;
} HttpOptions;

/** Starts to listen; NULL with #ERR_REFUSED. */
Http *http_new (const HttpOptions *options, GError **error);

/** Stops the polling thread: no request is handed to the loop any more. */
void http_stop (Http *http);

/** Sends the answers that are still due, for a bounded time, and ends all connections. Comes after
 * http_stop(); every request handed to the loop must have its answer. */
void http_free (Http *http);

const HttpAsk *http_ask (const HttpRequest *request);

/** One header of an answer. */
typedef struct
{
  const char *name;
  const char *value;
} HttpHeader;

/** The final answer, once for each request; from any thread. */
void http_answer (HttpRequest *request,
                  uint32_t status,
                  const char *content_type,
                  GBytes *body,
                  const HttpHeader *headers,
                  size_t n_headers);

/** A final error answer; @p request_id may be NULL. */
void http_fail (HttpRequest *request,
                ErrKind kind,
                ErrRan ran,
                const char *message,
                int64_t retry_after_ms,
                const char *request_id,
                uint32_t attempts);

G_END_DECLS
