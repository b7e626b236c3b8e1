/**
 * @file net_link.h
 * Messages between processes of this project: ZeroMQ sockets on the default GLib main context.
 *
 * One side listens and can answer any peer that has sent to it; the other connects to any number of
 * peers over one socket. A reconnect may lose messages and deliver a few of them late, so messages
 * must be safe to repeat. This module does not detect a connection that fails without a reset: the
 * connecting side has to add the peer again when it has received nothing from it for
 * #NET_LINK_PEER_TIMEOUT_MS.
 */
#pragma once

#include <glib.h>
#include <stdint.h>

G_BEGIN_DECLS

/** Time without a message from a peer that sends every few hundred ms; then it is added again. */
#define NET_LINK_PEER_TIMEOUT_MS 1200
/** Size limit of a message, in bytes. A receiver closes the connection over a larger one. */
#define NET_LINK_MESSAGE_MAX (8 * 1024 * 1024)
/** Limit of the messages queued for one peer. */
#define NET_LINK_QUEUE_MAX 16

typedef struct NetLinks NetLinks;
typedef struct NetLink NetLink;

/** @p peer identifies the sender. */
typedef void (*NetLinkMessage) (void *ctx, GBytes *peer, const uint8_t *data, size_t size);

/** Creates the context that all links of a process share. */
NetLinks *net_links_new (void);

/** All links must have been freed before. NULL is allowed. */
void net_links_free (NetLinks *links);

/** Listens on @p address ("IP:PORT"). Returns NULL with #ERR_REFUSED when it is in use. */
NetLink *net_link_listen (
    NetLinks *links, const char *address, NetLinkMessage on_message, void *ctx, GError **error);

/** Opens a link that connects to peers. */
NetLink *net_link_open (NetLinks *links, NetLinkMessage on_message, void *ctx);

/**
 * Connects to the listening link at @p address, now or as soon as it is reachable. Returns the id
 * of the peer, which is never reused, or NULL with #ERR_BAD_CONFIG. An address must not be added
 * again before net_link_drop_peer().
 */
GBytes *net_link_add_peer (NetLink *link, const char *address, GError **error);

/** Closes the connections to @p address and drops the messages queued for it. */
void net_link_drop_peer (NetLink *link, const char *address);

/** Closes the link at once and drops unsent messages. NULL is allowed. */
void net_link_free (NetLink *link);

typedef enum
{
  NET_LINK_SENT,
  NET_LINK_NOT_SENT,  /**< the peer is no longer known, or its queue is full */
  NET_LINK_TOO_LARGE, /**< over #NET_LINK_MESSAGE_MAX: the peer would close the connection, each
                         time that it is sent */
} NetLinkResult;

/** Sends to @p peer. */
NetLinkResult net_link_send (NetLink *link, GBytes *peer, const void *data, size_t size);

G_END_DECLS
