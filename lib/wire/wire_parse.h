/**
 * @file wire_parse.h
 * Packs and parses envelopes, bounded in what a hostile message can make us allocate.
 */
#pragma once

#include <glib.h>

#include "wire/message.pb-c.h"

G_BEGIN_DECLS

/** Memory that one parsed message may take. */
#define WIRE_PARSE_BYTES_MAX (32 * 1024 * 1024)

/** Parses @p size bytes; NULL with #ERR_PROTOCOL. Free with wire_parsed_free(). */
Wire__Envelope *wire_parse (const void *data, size_t size, GError **error);

/** Frees what wire_parse() returned. NULL is allowed. */
void wire_parsed_free (Wire__Envelope *envelope);

G_END_DECLS
