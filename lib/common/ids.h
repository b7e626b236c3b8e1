/**
 * @file ids.h
 * Random 128-bit ids and 64-bit hashes.
 */
#pragma once

#include <glib.h>
#include <stdint.h>

G_BEGIN_DECLS

/** Size in bytes of a printed id, including the terminating zero. */
#define IDS_TEXT_SIZE 33

/** A 128-bit id; all zero means "none". */
typedef struct
{
  uint64_t high;
  uint64_t low;
} IdsId;

/** Returns a new random id from the system's generator; never zero. */
IdsId ids_new (void);

/** Returns whether @p id is the zero id. */
gboolean ids_is_zero (IdsId id);

/** Returns whether @p a and @p b are the same id. */
gboolean ids_equal (IdsId a, IdsId b);

/** Writes 32 lower-case hexadecimal digits and a zero into @p text; returns @p text. */
const char *ids_print (IdsId id, char text[IDS_TEXT_SIZE]);

/** Parses 32 hexadecimal digits; FALSE for anything else. */
gboolean ids_parse (const char *text, IdsId *id);

/** Returns the 64-bit XXH3 hash of @p size bytes; it is the same on every machine. */
uint64_t ids_hash (const void *data, size_t size);

/** Returns the 64-bit XXH3 hash of a zero-terminated string. */
uint64_t ids_hash_text (const char *text);

G_END_DECLS
