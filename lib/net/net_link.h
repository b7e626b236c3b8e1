/**
 * @file net_link.h
 * Messages between our processes: ZeroMQ sockets on the default GLib main context.
 *
 * One side listens and answers whoever wrote to it, the other connects to any number of peers over
 * one socket. Messages may be lost at a reconnect, and a few may come late; what is sent has to be
 * safe to repeat. A connection that went silent without a reset is not noticed here: whoever
 * connects adds the peer anew when it has not heard it for #NET_LINK_SILENCE_MS.
 */
#pragma once

#include <glib.h>
#include <stdint.h>

G_BEGIN_DECLS

/** A peer that writes every few hundred ms and was not heard for this long has to be added anew. */
#define NET_LINK_SILENCE_MS 1200
/** Largest message. */
#define NET_LINK_MESSAGE_MAX (8 * 1024 * 1024)
/** Messages that wait for one peer; more are not taken. */
#define NET_LINK_QUEUE_MAX 16

typedef struct NetLinks NetLinks;
typedef struct NetLink NetLink;

/** @p peer identifies the sender. */
typedef void (*NetLinkMessage) (void *ctx, GBytes *peer, const uint8_t *data, size_t size);

/** Makes the context that all links of a process share. */
NetLinks *net_links_new (void);

/** All links must have been closed. NULL is allowed. */
void net_links_free (NetLinks *links);

/** Listens on @p address ("IP:PORT"); NULL with #ERR_REFUSED when it is taken. */
NetLink *net_link_listen (
    NetLinks *links, const char *address, NetLinkMessage on_message, void *ctx, GError **error);

/** Opens a link that connects to peers. */
NetLink *net_link_open (NetLinks *links, NetLinkMessage on_message, void *ctx);

/**
 * Connects to the listening link at @p address, now or whenever it can be reached. Returns what
 * identifies the peer, never used before; NULL with #ERR_BAD_CONFIG. An address is added once at a
 * time.
 */
GBytes *net_link_add_peer (NetLink *link, const char *address, GError **error);

/** Closes the connections to @p address; what waits there is dropped. */
void net_link_drop_peer (NetLink *link, const char *address);

/** Closes at once; what was not sent yet is dropped. NULL is allowed. */
void net_link_free (NetLink *link);

/** Sends to @p peer. FALSE: not known any more, or its queue is full. */
gboolean net_link_send (NetLink *link, GBytes *peer, const void *data, size_t size);

G_END_DECLS
