/**
 * @file proxy.h
 * TCP proxy on the loopback that can delay, block or reset its connections.
 */
#pragma once

#include "soak.h"

G_BEGIN_DECLS

typedef struct Proxy Proxy;

typedef enum
{
  PROXY_PASS,
  PROXY_DELAY,     /**< bytes are forwarded after a delay */
  PROXY_HOLD_OUT,  /**< bytes to the server are buffered until the mode changes */
  PROXY_HOLD_BACK, /**< bytes to the client are buffered */
  PROXY_HOLD,      /**< bytes of both directions are buffered */
  PROXY_RESET,     /**< all connections are reset, also new ones */
  PROXY_MODE_COUNT,
} ProxyMode;

const char *proxy_mode_name (ProxyMode mode);

/** Listens on @p ip and @p port and forwards each connection to @p server_ip and @p port. */
Proxy *proxy_new (const char *ip, const char *server_ip, uint16_t port, GError **error);
void proxy_free (Proxy *proxy);

/** @p delay_ms applies to #PROXY_DELAY only. */
void proxy_set (Proxy *proxy, ProxyMode mode, uint32_t delay_ms);

G_END_DECLS
