/**
 * @file plat_http.h
 * One HTTP call with JSON to a service of the platform, shared by its clients; not for others.
 *
 * It keeps one connection and belongs to one thread. What matters to its users is whether the
 * service may have acted on a call that failed, so the error kinds keep these cases apart.
 */
#pragma once

#include <glib.h>
#include <jansson.h>
#include <stdint.h>

G_BEGIN_DECLS

typedef struct PlatHttp PlatHttp;

typedef struct
{
  const char *host; /**< IP number */
  uint16_t port;
  int64_t connect_ms;
  int64_t read_ms;
} PlatHttpOptions;

typedef struct
{
  const char *method;
  const char *path;
  const json_t *body; /**< NULL for none */
  int64_t wait_ms;    /**< time that the service may hold its answer, beyond read_ms */
} PlatHttpCall;

PlatHttp *plat_http_new (const PlatHttpOptions *options);
void plat_http_free (PlatHttp *http);

/**
 * Sends @p call and waits for the whole answer. Returns the status and its JSON object, which the
 * caller unrefs, or 0 with an error: #ERR_REFUSED when nothing was sent, #ERR_TIMEOUT when no
 * answer came, #ERR_PROTOCOL when it is cut short or no JSON object.
 */
uint32_t plat_http_call (PlatHttp *http, const PlatHttpCall *call, json_t **answer, GError **error);

/** Reads an integer member of @p object within 0 and INT64_MAX; FALSE with #ERR_PROTOCOL. */
gboolean plat_http_integer (const json_t *object, const char *key, int64_t *value, GError **error);

/** Sets @p error to what an answer with a failure status says, or to @p fallback. */
void plat_http_failure (uint32_t status, const json_t *answer, int fallback, GError **error);

G_END_DECLS
