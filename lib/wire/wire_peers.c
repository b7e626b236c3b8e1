#include "wire/wire_peers.h"

#include <string.h>

#include "wire/wire.h"

#define INCARNATION_DIGITS 16

struct WirePeers
{
  GHashTable *by_name; /**< name -> Peer */
};

typedef struct
{
  char name[WIRE_NAME_MAX + 1];
  char id[WIRE_ID_SIZE];
  uint64_t incarnation;
  uint64_t replaced[WIRE_REPLACED_MAX];
  uint32_t n_replaced; /**< total count; the ring holds the last WIRE_REPLACED_MAX */
  int64_t received_us;
} Peer;

WirePeers *
wire_peers_new (void)
{
  WirePeers *peers = g_new0 (WirePeers, 1);

  peers->by_name = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, g_free);
  return peers;
}

void
wire_peers_free (WirePeers *peers)
{
  if (peers == NULL)
    return;
  g_hash_table_unref (peers->by_name);
  g_free (peers);
}

static gboolean
is_name (const char *name, size_t length)
{
  if (length == 0 || length > WIRE_NAME_MAX)
    return FALSE;
  for (size_t i = 0; i < length; i++)
    {
      /* strchr() also finds the terminating zero, so that is checked first. */
      if (name[i] == '\0' || (!g_ascii_isalnum (name[i]) && strchr ("._-", name[i]) == NULL))
        return FALSE;
    }
  return TRUE;
}

gboolean
wire_id_print (const char *name, uint64_t incarnation, char id[WIRE_ID_SIZE])
{
  if (!is_name (name, strlen (name)))
    return FALSE;
  (void) g_snprintf (id, WIRE_ID_SIZE, "%s/%016" G_GINT64_MODIFIER "x", name, incarnation);
  return TRUE;
}

static gboolean
parse_id (const char *id, size_t size, char name[WIRE_NAME_MAX + 1], uint64_t *incarnation)
{
  size_t length;

  if (size < INCARNATION_DIGITS + 2 || size >= WIRE_ID_SIZE)
    return FALSE;
  length = size - INCARNATION_DIGITS - 1;
  if (id[length] != '/' || !is_name (id, length))
    return FALSE;
  *incarnation = 0;
  for (size_t i = length + 1; i < size; i++)
    {
      int digit = g_ascii_xdigit_value (id[i]);
      if (digit < 0)
        return FALSE;
      *incarnation = *incarnation << 4 | (uint64_t) digit;
    }
  memcpy (name, id, length);
  name[length] = '\0';
  return TRUE;
}

static gboolean
was_replaced (const Peer *peer, uint64_t incarnation)
{
  uint32_t held = MIN (peer->n_replaced, WIRE_REPLACED_MAX);

  for (uint32_t i = 0; i < held; i++)
    {
      if (peer->replaced[i] == incarnation)
        return TRUE;
    }
  return FALSE;
}

static void
set_incarnation (Peer *peer, uint64_t incarnation)
{
  gboolean valid = wire_id_print (peer->name, incarnation, peer->id);

  g_assert (valid);
  peer->incarnation = incarnation;
}

static Peer *
add_peer (WirePeers *peers, const char *name, uint64_t incarnation)
{
  Peer *peer = g_new0 (Peer, 1);

  (void) g_strlcpy (peer->name, name, sizeof (peer->name));
  set_incarnation (peer, incarnation);
  g_hash_table_insert (peers->by_name, peer->name, peer);
  return peer;
}

static void
replace_incarnation (Peer *peer, uint64_t incarnation)
{
  peer->replaced[peer->n_replaced % WIRE_REPLACED_MAX] = peer->incarnation;
  peer->n_replaced++;
  set_incarnation (peer, incarnation);
}

WirePeerStatus
wire_peers_note_message (
    WirePeers *peers, const void *id, size_t size, int64_t now_us, const char **name)
{
  char text[WIRE_NAME_MAX + 1];
  uint64_t incarnation;
  WirePeerStatus status = WIRE_PEER_CURRENT;

  if (!parse_id (id, size, text, &incarnation))
    return WIRE_PEER_BAD_ID;
  Peer *peer = g_hash_table_lookup (peers->by_name, text);
  if (peer == NULL)
    {
      if (g_hash_table_size (peers->by_name) >= WIRE_PEERS_MAX)
        return WIRE_PEERS_FULL;
      peer = add_peer (peers, text, incarnation);
      status = WIRE_PEER_NEW;
    }
  else if (peer->incarnation != incarnation)
    {
      if (was_replaced (peer, incarnation))
        return WIRE_PEER_REPLACED;
      replace_incarnation (peer, incarnation);
      status = WIRE_PEER_NEW;
    }
  peer->received_us = now_us;
  *name = peer->name;
  return status;
}

const char *
wire_peers_id (const WirePeers *peers, const char *name)
{
  const Peer *peer = g_hash_table_lookup (peers->by_name, name);

  return peer != NULL ? peer->id : NULL;
}

uint32_t
wire_peers_expire (WirePeers *peers, int64_t oldest_us)
{
  GHashTableIter iter;
  gpointer value;
  uint32_t expired = 0;

  g_hash_table_iter_init (&iter, peers->by_name);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const Peer *peer = value;
      if (peer->received_us >= oldest_us)
        continue;
      g_hash_table_iter_remove (&iter);
      expired++;
    }
  return expired;
}

uint32_t
wire_peers_count (const WirePeers *peers)
{
  return g_hash_table_size (peers->by_name);
}
