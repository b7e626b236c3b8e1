/**
 * @file wire_peers.h
 * Table of the peers heard on a listening socket: name to routing id of its newest incarnation.
 *
 * A routing id is "NAME/INCARNATION", the incarnation as 16 hexadecimal digits. The first message
 * of an incarnation not heard before replaces the older one for good: what a replaced incarnation
 * still sends is refused, and nothing is addressed to it any more. Pure; the caller passes time.
 */
#pragma once

#include <glib.h>
#include <stdint.h>

G_BEGIN_DECLS

/** Bytes of the longest routing id with its terminating zero. */
#define WIRE_ID_SIZE 81
#define WIRE_PEERS_MAX 65536
/** Replaced incarnations that are remembered for each name. */
#define WIRE_REPLACED_MAX 8

typedef struct WirePeers WirePeers;

typedef enum
{
  WIRE_HEARD,      /**< from the peer's newest incarnation */
  WIRE_HEARD_NEW,  /**< from a peer or incarnation not heard before */
  WIRE_BAD_ID,     /**< not a routing id of ours */
  WIRE_REPLACED,   /**< from an incarnation that another one has replaced */
  WIRE_PEERS_FULL, /**< a new name, and the table is full */
} WireHeard;

WirePeers *wire_peers_new (void);
void wire_peers_free (WirePeers *peers);

/** Writes the routing id of a process into @p id; FALSE when @p name is no valid name. */
gboolean wire_id_print (const char *name, uint64_t incarnation, char id[WIRE_ID_SIZE]);

/**
 * Notes a message from routing id @p id. With #WIRE_HEARD and #WIRE_HEARD_NEW @p name becomes the
 * peer's name, owned by the table and valid until the next call.
 */
WireHeard
wire_peers_heard (WirePeers *peers, const void *id, size_t size, int64_t now_us, const char **name);

/** Routing id of the newest incarnation of @p name, or NULL; owned by the table. */
const char *wire_peers_id (const WirePeers *peers, const char *name);

/** Forgets peers not heard since @p oldest_us; returns how many. */
uint32_t wire_peers_expire (WirePeers *peers, int64_t oldest_us);

/** Number of names in the table. */
uint32_t wire_peers_count (const WirePeers *peers);

G_END_DECLS
