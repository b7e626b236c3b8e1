/**
 * @file proxy.h
 * TCP proxy on the loopback that can delay, block, reset or refuse its connections.
 */
#pragma once

#include <glib.h>
#include <stdint.h>

G_BEGIN_DECLS

typedef struct Proxy Proxy;

#define PROXY_PASS_MS 250

typedef enum
{
  PROXY_PASS,
  PROXY_DELAY,     /**< bytes are forwarded after a delay */
  PROXY_HOLD_OUT,  /**< bytes to the server are buffered until the mode changes */
  PROXY_HOLD_BACK, /**< bytes to the client are buffered */
  PROXY_HOLD,      /**< bytes of both directions are buffered */
  PROXY_RESET,     /**< all connections are reset, also new ones */
  /** Answers are lost, while requests still pass, for #PROXY_PASS_MS; then all connections are
   * reset and new ones refused until the mode changes. */
  PROXY_RESET_AND_REFUSE,
  PROXY_MODE_COUNT,
} ProxyMode;

const char *proxy_mode_name (ProxyMode mode);

/** Listens on @p ip and @p port and forwards each connection to @p server_ip and @p port. */
Proxy *proxy_new (const char *ip, const char *server_ip, uint16_t port, GError **error);
void proxy_free (Proxy *proxy);

/** @p delay_ms applies to #PROXY_DELAY only. */
void proxy_set (Proxy *proxy, ProxyMode mode, uint32_t delay_ms);

G_END_DECLS
