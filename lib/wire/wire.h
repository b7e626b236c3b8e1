/**
 * @file wire.h
 * Messages between the system's own processes, over ZeroMQ, with one loop thread a process.
 *
 * The loop thread owns all sockets. It calls on_message for each message, on_timer periodically and
 * the functions that wire_post() hands it, one at a time; so state that only these touch needs no
 * lock. An entry listens (ROUTER); an agent or entry connects to peers (DEALER), with its own name
 * and incarnation as routing id. Messages may be lost, late, duplicated or out of order.
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
  const char *name;        /**< of this process, unique in the system */
  uint64_t incarnation;    /**< random for each start */
  const char *listen;      /**< "tcp://IP:PORT"; NULL for a process that only connects */
  uint32_t send_queue_max; /**< messages waiting for one peer, and posts waiting for the loop */
  int64_t timer_ms;
  int64_t heartbeat_ms; /**< a connection silent for seven of these is made anew */
  MetRegistry *metrics;
} WireOptions;

typedef struct
{
  /** @p peer is the sender's name; the envelope is freed by the loop after the call. */
  void (*on_message) (void *ctx, const char *peer, const Wire__Envelope *envelope);
  void (*on_timer) (void *ctx, int64_t now_us);
  void *ctx;
} WireEvents;

/** Binds and connects nothing else yet; NULL with #ERR_REFUSED when the address is taken. */
Wire *wire_new (const WireOptions *options, const WireEvents *events, GError **error);

/** Adds a peer to connect to, before wire_start(). @p peer_name is used with wire_send(). */
gboolean wire_connect (Wire *wire, const char *peer_name, const char *address, GError **error);

/** Starts the loop thread. */
void wire_start (Wire *wire);

/** Stops the loop, joins its thread, closes all with linger 0. No callback runs after it. */
void wire_free (Wire *wire);

/**
 * Sends to a peer that is connected, or that has sent something to the listening socket. On the
 * loop thread only. FALSE when the peer is unknown or its queue is full: nothing was sent
 * (counted).
 */
gboolean wire_send (Wire *wire, const char *peer, const Wire__Envelope *envelope);

/** Names of the peers given to wire_connect(), NULL-terminated; owned by @p wire. */
const char *const *wire_peers (const Wire *wire);

/**
 * Runs @p function on the loop thread, in order of posting. From any thread. FALSE when the queue
 * is full or the loop has stopped: it will not run, and the caller keeps @p data.
 */
gboolean wire_post (Wire *wire, void (*function) (void *ctx, void *data), void *ctx, void *data);

G_END_DECLS
