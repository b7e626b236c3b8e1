/**
 * @file http.h
 * /metrics, /healthz and /readyz of the agent.
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
  gboolean (*is_ready) (void *ctx); /**< from any thread */
  void *ctx;
} HttpOptions;

/** Starts serving; NULL with #ERR_REFUSED when the address is taken. */
Http *http_new (const HttpOptions *options, GError **error);

/** Stops serving. NULL is allowed. */
void http_free (Http *http);

G_END_DECLS
