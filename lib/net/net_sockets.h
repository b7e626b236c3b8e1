/**
 * @file net_sockets.h
 * Sockets of a client's connections: finds those that are as old as one that went silent.
 *
 * A connection can go silent without a reset, and then so have all that were open at that moment.
 * Each would cost the next call a time-out.
 */
#pragma once

#include <glib.h>
#include <stdint.h>

G_BEGIN_DECLS

typedef struct NetSockets NetSockets;

/** Whether a request is under way over the connection with the local port @p port. */
typedef gboolean (*NetSocketsIsUsed) (const void *ctx, uint16_t port);

/** Creates an empty table; free with net_sockets_free(). */
NetSockets *net_sockets_new (void);

/** Frees the table; the sockets stay as they are. NULL is allowed. */
void net_sockets_free (NetSockets *sockets);

/** Adds a socket that was opened at @p now_us. */
void net_sockets_add (NetSockets *sockets, int fd, int64_t now_us);

/** Removes a socket that is about to be closed, if it is there. */
void net_sockets_remove (NetSockets *sockets, int fd);

/**
 * Call it when a request that began at @p begun_us got no answer over the connection with the local
 * port @p port. If that was opened before the request began, shuts down the other connections to
 * the same address that were, unless they are in use. Returns how many.
 */
uint32_t net_sockets_drop_silent (NetSockets *sockets,
                                  uint16_t port,
                                  int64_t begun_us,
                                  NetSocketsIsUsed is_used,
                                  const void *ctx);

G_END_DECLS
