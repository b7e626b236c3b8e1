/**
 * @file fuzz_wire.c
 * Parses arbitrary bytes as a message and as a routing id. A parsed message is packed and parsed
 * again.
 */
#include <stddef.h>
#include <stdint.h>

#include "wire/wire.h"
#include "wire/wire_parse.h"
#include "wire/wire_peers.h"

int LLVMFuzzerTestOneInput (const uint8_t *data, /* NOLINT(readability-identifier-naming) */
                            size_t size);

static void
check_round_trip (const Wire__Envelope *envelope)
{
  size_t size = wire__envelope__get_packed_size (envelope);
  g_autofree uint8_t *packed = g_malloc (size);

  g_assert (wire__envelope__pack (envelope, packed) == size);
  if (size > WIRE_MESSAGE_MAX)
    return;
  /* protobuf-c keeps unknown fields, including number 0, but fails to parse a field of number 0, so
   * parsing may fail here. */
  Wire__Envelope *again = wire_parse (packed, size, NULL);
  g_assert (again == NULL || again->body_case == envelope->body_case);
  wire_parsed_free (again);
}

static void
register_peer (const uint8_t *data, size_t size)
{
  WirePeers *peers = wire_peers_new ();
  const char *name = NULL;

  if (wire_peers_note_message (peers, data, size, 1, &name) == WIRE_PEER_NEW)
    g_assert (wire_peers_id (peers, name) != NULL);
  wire_peers_free (peers);
}

int
LLVMFuzzerTestOneInput (const uint8_t *data, /* NOLINT(readability-identifier-naming) */
                        size_t size)
{
  g_autoptr (GError) error = NULL;
  Wire__Envelope *envelope = wire_parse (data, size, &error);

  g_assert ((envelope == NULL) == (error != NULL));
  if (envelope != NULL)
    check_round_trip (envelope);
  wire_parsed_free (envelope);
  register_peer (data, size);
  return 0;
}
