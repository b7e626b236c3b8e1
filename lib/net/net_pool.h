/**
 * @file net_pool.h
 * Connections of the HTTP client to one peer, which are used and closed together.
 *
 * A pool is a libcurl multi handle that runs on the default GLib main context. Its connections are
 * used by its own transfers alone, and are closed with it.
 */
#pragma once

#include <curl/curl.h>
#include <glib.h>
#include <stdint.h>

G_BEGIN_DECLS

typedef struct NetPool NetPool;

/** Reports the end of a transfer; @p transfer is what was given to net_pool_add(). Called from the
 * main loop. It must remove the transfer. */
typedef void (*NetPoolEnded) (void *transfer, CURLcode code);

typedef struct
{
  uint32_t idle_max; /**< most connections that are kept open without a transfer */
  NetPoolEnded ended;
} NetPoolOptions;

/** Creates a pool with one reference; drop it with net_pool_unref(). */
NetPool *net_pool_new (const NetPoolOptions *options);

NetPool *net_pool_ref (NetPool *pool);

/** Drops a reference; the last one closes all connections. All transfers must have been removed.
 * Not to be called from a libcurl callback. */
void net_pool_unref (NetPool *pool);

/** Starts a transfer. @p easy stays the caller's, and the pool sets its private data. */
void net_pool_add (NetPool *pool, CURL *easy, void *transfer);

/** Removes a transfer. A connection that it still uses is closed. */
void net_pool_remove (NetPool *pool, CURL *easy);

/** Limits open connections; further transfers wait for one. */
void net_pool_set_limit (NetPool *pool, uint32_t connections_max);

/** Returns the number of transfers. */
uint32_t net_pool_transfers (const NetPool *pool);

/** Returns the number of open connections, those that are being opened included. */
uint32_t net_pool_connections (const NetPool *pool);

G_END_DECLS
