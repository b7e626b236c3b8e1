/**
 * @file net_peers.h
 * Limits over all connections of a server: decides which connection is closed to make room.
 *
 * Pure: the server gives the time, and closes connections when told to.
 */
#pragma once

#include <glib.h>
#include <stdint.h>

G_BEGIN_DECLS

/** What a connection waits for, in the order in which connections are closed to make room. */
typedef enum
{
  NET_READING,   /**< the rest of a request */
  NET_SENDING,   /**< the client, to read the answer */
  NET_IDLE,      /**< the next request */
  NET_READ_ONLY, /**< the handler's reply to a request without effects */
  NET_WAITING,   /**< the handler's reply; such a connection is never closed to make room */
} NetPhase;

typedef struct NetPeers NetPeers;

/** An open connection; part of the server's own struct. Its members are private to the module. */
typedef struct
{
  NetPeers *peers;
  GList link; /**< in NetPeers.phases of its phase */
  NetPhase phase;
  int64_t since_us; /**< when the phase began */
  gboolean is_closing;
  int64_t counted_us;  /**< since when n_requests counts */
  uint32_t n_requests; /**< requests begun in the last second, at the least */
  uint64_t charged;    /**< bytes of its body and its answer */
} NetPeer;

typedef struct
{
  uint32_t connections_max;
  uint32_t buffer_bytes_max; /**< 0: no limit */
  uint32_t idle_s;
  uint32_t read_timeout_s; /**< 0: no limit */
  /** Closes a connection; it is removed later with net_peers_remove(). */
  void (*close) (void *ctx, NetPeer *peer, const char *reason);
  void *ctx;
} NetPeersOptions;

struct NetPeers
{
  NetPeersOptions options;
  GQueue phases[NET_WAITING + 1]; /**< NetPeer in the order in which their phases began */
  uint32_t n_open;                /**< without those that are closing */
  uint64_t charged;               /**< bytes of all bodies and unsent answers */
};

void net_peers_init (NetPeers *peers, const NetPeersOptions *options);

/** Adds a zeroed @p peer. Above the limit of connections it closes the one that waited longest, or
 * @p peer if all others were idle for less than a second without many requests, or wait for
 * replies to requests that may have effects. */
void net_peers_add (NetPeers *peers, NetPeer *peer, int64_t now_us);
void net_peers_remove (NetPeer *peer);

/** Has no effect on a connection that is closing. */
void net_peers_set_phase (NetPeer *peer, NetPhase phase, int64_t now_us);

/** Charges @p bytes of a body, and closes connections that read for longest until they fit. FALSE
 * if they don't fit; then nothing is charged. */
gboolean net_peers_reserve (NetPeer *peer, uint32_t bytes);
/** Charges @p bytes of an answer, which are not limited. */
void net_peers_charge (NetPeer *peer, uint64_t bytes);
/** Ends the charge of at most @p bytes. */
void net_peers_uncharge (NetPeer *peer, uint64_t bytes);

/** Closes the connections that read, send or idle for too long. */
void net_peers_close_late (NetPeers *peers, int64_t now_us);

G_END_DECLS
