/**
 * @file wire_peers.h
 * Table of the peers of a listening socket: maps each name to the routing id of its newest
 * incarnation.
 *
 * A routing id is "NAME/INCARNATION", the incarnation as 16 hexadecimal digits. The first message
 * of a new incarnation permanently replaces the older one: messages from a replaced incarnation are
 * refused, and none are addressed to it any more. This module does no I/O and reads no clock.
 */
#pragma once

#include <glib.h>
#include <stdint.h>

G_BEGIN_DECLS

/** Size of the longest routing id with its terminating zero, in bytes. */
#define WIRE_ID_SIZE 81
#define WIRE_PEERS_MAX 65536
/** Replaced incarnations recorded for each name. */
#define WIRE_REPLACED_MAX 8

typedef struct WirePeers WirePeers;

typedef enum
{
  WIRE_PEER_CURRENT,  /**< from the peer's newest incarnation */
  WIRE_PEER_NEW,      /**< from a new peer or a new incarnation */
  WIRE_PEER_BAD_ID,   /**< not a valid routing id */
  WIRE_PEER_REPLACED, /**< from a replaced incarnation */
  WIRE_PEERS_FULL,    /**< from a new name while the table is full */
} WirePeerStatus;

WirePeers *wire_peers_new (void);
void wire_peers_free (WirePeers *peers);

/** Writes the routing id of a process into @p id; FALSE when @p name is not a valid name. */
gboolean wire_id_print (const char *name, uint64_t incarnation, char id[WIRE_ID_SIZE]);

/**
 * Records the receipt of a message from routing id @p id. With #WIRE_PEER_CURRENT and
 * #WIRE_PEER_NEW,
 * @p name is set to the peer's name, which the table owns and which is valid until the next call.
 */
WirePeerStatus wire_peers_note_message (
    WirePeers *peers, const void *id, size_t size, int64_t now_us, const char **name);

/** Routing id of the newest incarnation of @p name, or NULL; owned by the table. */
const char *wire_peers_id (const WirePeers *peers, const char *name);

/** Removes peers without a message since @p oldest_us; returns their number. */
uint32_t wire_peers_expire (WirePeers *peers, int64_t oldest_us);

/** Number of names in the table. */
uint32_t wire_peers_count (const WirePeers *peers);

G_END_DECLS
