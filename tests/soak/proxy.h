/**
 * @file proxy.h
 * A TCP proxy on the loopback that delays, holds or resets what passes through it.
 */
#pragma once

#include "soak.h"

G_BEGIN_DECLS

typedef struct Proxy Proxy;

typedef enum
{
  PROXY_PASS,
  PROXY_DELAY,     /**< bytes pass later */
  PROXY_HOLD_OUT,  /**< nothing passes to the server; it passes when the hold ends */
  PROXY_HOLD_BACK, /**< nothing passes to the client */
  PROXY_HOLD,      /**< nothing passes either way */
  PROXY_RESET,     /**< all connections are reset, new ones too */
  PROXY_MODE_COUNT,
} ProxyMode;

const char *proxy_mode_name (ProxyMode mode);

/** Listens on @p ip and @p port and connects each connection on to @p server_ip. */
Proxy *proxy_new (const char *ip, const char *server_ip, uint16_t port, GError **error);
void proxy_free (Proxy *proxy);

/** @p delay_ms counts with #PROXY_DELAY only. */
void proxy_set (Proxy *proxy, ProxyMode mode, uint32_t delay_ms);

G_END_DECLS
