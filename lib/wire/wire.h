/**
 * @file wire.h
 * Messages between the processes of this project, over ZeroMQ, with one loop thread per process.
 *
 * The loop thread owns all sockets. It calls on_message for each message, on_timer periodically and
 * the functions passed to wire_post(), one at a time, so state that is used only in these callbacks
 * needs no lock. An entry listens (ROUTER); agents and entries connect to peers (DEALER), with
 * their name and incarnation as routing id. Messages may be lost, late, duplicated or out of order.
 */
#pragma once

#include <glib.h>
#include <stdint.h>

#include "common/met.h"
#include "wire/message.pb-c.h"

G_BEGIN_DECLS

#define WIRE_MESSAGE_MAX (4 * 1024 * 1024)
#define WIRE_NAME_MAX 63

typedef struct Wire Wire;

typedef struct
{
  const char *name;        /**< name of this process, unique in the system */
  uint64_t incarnation;    /**< random number, new for each process start */
  const char *listen;      /**< "tcp://IP:PORT"; NULL for a process that only connects */
  uint32_t send_queue_max; /**< limit of messages queued for one peer, and of queued posts */
  int64_t timer_ms;
  int64_t heartbeat_ms; /**< a connection without traffic for seven times this is re-established */
  MetRegistry *metrics;
} WireOptions;

typedef struct
{
  /** @p peer is the sender's name. The loop frees @p envelope after the call. */
  void (*on_message) (void *ctx, const char *peer, const Wire__Envelope *envelope);
  void (*on_timer) (void *ctx, int64_t now_us);
  void *ctx;
} WireEvents;

/** Binds the listening socket, if any. Returns NULL with #ERR_BAD_CONFIG for an invalid name, or
 * #ERR_REFUSED when the address is in use. */
Wire *wire_new (const WireOptions *options, const WireEvents *events, GError **error);

/** Adds a peer to connect to; only before wire_start(). @p peer_name is its name in wire_send(). */
gboolean wire_connect (Wire *wire, const char *peer_name, const char *address, GError **error);

/** Starts the loop thread. */
void wire_start (Wire *wire);

/** Stops and joins the loop thread. No callback runs afterwards, and posts are refused; messages
 * may still be sent by the caller's thread. */
void wire_stop (Wire *wire);

/** Stops the loop thread unless that was done, and closes all sockets, dropping unsent messages. */
void wire_free (Wire *wire);

/**
 * Sends to a peer that was added with wire_connect() or that has sent to the listening socket. Must
 * be called on the loop thread. Returns FALSE when the message is too large, the peer is unknown or
 * its queue is full; nothing was sent then, and the refusal is counted.
 */
gboolean wire_send (Wire *wire, const char *peer, const Wire__Envelope *envelope);

/** Names of the peers added with wire_connect(), NULL-terminated; owned by @p wire. */
const char *const *wire_peers (const Wire *wire);

/**
 * Queues @p function to run on the loop thread, in order of posting. May be called from any thread.
 * Returns FALSE when the queue is full or the loop has stopped: @p function will not run, and the
 * caller keeps ownership of @p data.
 */
gboolean wire_post (Wire *wire, void (*function) (void *ctx, void *data), void *ctx, void *data);

G_END_DECLS
