/**
 * @file plat_http.h
 * HTTP calls with JSON to a service of the platform; internal to the clients in this folder.
 *
 * It keeps one connection and must be used from one thread only. The error kinds distinguish failed
 * calls on which the service may have acted from those on which it did not.
 */
#pragma once

#include <glib.h>
#include <jansson.h>
#include <stdint.h>

G_BEGIN_DECLS

typedef struct PlatHttp PlatHttp;

typedef struct
{
  const char *host; /**< IP address */
  uint16_t port;
  int64_t connect_ms;
  int64_t read_ms;
} PlatHttpOptions;

typedef struct
{
  const char *method;
  const char *path;
  const json_t *body; /**< NULL for none */
  int64_t wait_ms;    /**< how long the service may hold its answer, in addition to read_ms */
} PlatHttpCall;

PlatHttp *plat_http_new (const PlatHttpOptions *options);
void plat_http_free (PlatHttp *http);

/**
 * Sends @p call and waits for the complete answer. Returns the status and sets @p answer to the
 * JSON object, which the caller unrefs. Returns 0 with an error: #ERR_REFUSED when nothing was
 * sent, #ERR_TIMEOUT when no complete answer arrived in time, #ERR_PROTOCOL when it is truncated or
 * not a JSON object, or refuses the repeat of a request that may have been executed before.
 */
uint32_t plat_http_call (PlatHttp *http, const PlatHttpCall *call, json_t **answer, GError **error);

/** Reads a non-negative integer member of @p object; FALSE with #ERR_PROTOCOL. */
gboolean plat_http_integer (const json_t *object, const char *key, int64_t *value, GError **error);

/** Sets @p error to the error kind in an answer with a failure status, else to @p fallback. */
void plat_http_failure (uint32_t status, const json_t *answer, int fallback, GError **error);

G_END_DECLS
