/**
 * @file net_link.h
 * Messages between our processes: ZeroMQ sockets on the default GLib main context.
 *
 * One side listens and answers whoever wrote to it, the other connects. A connection that is silent
 * for #NET_LINK_SILENCE_MS is made anew. Messages may be lost at a reconnect; what is sent has to
 * be safe to repeat.
 */
#pragma once

#include <glib.h>
#include <stdint.h>

G_BEGIN_DECLS

/** A connection without any sign of life for this long is closed and made again. */
#define NET_LINK_SILENCE_MS 1200
/** Largest message. */
#define NET_LINK_MESSAGE_MAX (8 * 1024 * 1024)

typedef struct NetLinks NetLinks;
typedef struct NetLink NetLink;

/** @p peer identifies the sender on a listening link; NULL on a connecting one. */
typedef void (*NetLinkMessage) (void *ctx, GBytes *peer, const uint8_t *data, size_t size);

/** Makes the context that all links of a process share. */
NetLinks *net_links_new (void);

/** All links must have been closed. NULL is allowed. */
void net_links_free (NetLinks *links);

/** Listens on @p address ("IP:PORT"); NULL with #ERR_REFUSED when it is taken. */
NetLink *net_link_listen (
    NetLinks *links, const char *address, NetLinkMessage on_message, void *ctx, GError **error);

/** Connects, now or whenever @p address can be reached; NULL with #ERR_BAD_CONFIG. */
NetLink *net_link_connect (
    NetLinks *links, const char *address, NetLinkMessage on_message, void *ctx, GError **error);

/** Closes at once; what was not sent yet is dropped. NULL is allowed. */
void net_link_free (NetLink *link);

/** Sends to @p peer (NULL on a connecting link). FALSE: not connected or its queue is full. */
gboolean net_link_send (NetLink *link, GBytes *peer, const void *data, size_t size);

G_END_DECLS
