/**
 * @file wire_parse.h
 * Parses envelopes with a limit on the memory that a hostile message can cause to be allocated.
 */
#pragma once

#include <glib.h>

#include "wire/message.pb-c.h"

G_BEGIN_DECLS

/** Limit of the memory that one parsed message takes, in bytes. */
#define WIRE_PARSE_BYTES_MAX (32 * 1024 * 1024)

/** Parses @p size bytes. Returns NULL with #ERR_PROTOCOL; free with wire_parsed_free(). */
Wire__Envelope *wire_parse (const void *data, size_t size, GError **error);

/** Frees an envelope from wire_parse(). NULL is allowed. */
void wire_parsed_free (Wire__Envelope *envelope);

G_END_DECLS
