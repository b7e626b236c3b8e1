/**
 * @file http.h
 * HTTP server of the agent for /metrics, /healthz and /readyz.
 */
#pragma once

#include <glib.h>
#include <stdint.h>

#include "common/met.h"

G_BEGIN_DECLS

typedef struct Http Http;

typedef struct
{
  const char *host;
  uint16_t port;
  MetRegistry *metrics;
  gboolean (*is_ready) (void *ctx); /**< called from any thread */
  void *ctx;
} HttpOptions;

/** Starts the server. NULL with #ERR_REFUSED if it can't listen on the address. */
Http *http_new (const HttpOptions *options, GError **error);

/** Stops the server. NULL is allowed. */
void http_free (Http *http);

G_END_DECLS
