/**
 * @file chunks.h
 * Cuts a snapshot into the records of the snapshot stream and puts them together again.
 *
 * Chunks of several snapshots may be mixed, doubled or missing. Only a snapshot that is complete
 * and fits its digest is ever given out.
 */
#pragma once

#include <glib.h>
#include <stdint.h>

#include "state/record.pb-c.h"

G_BEGIN_DECLS

/** Bounds on what is put together. */
#define CHUNKS_COUNT_MAX 8192
#define CHUNKS_BYTES_MAX ((size_t) 512 * 1024 * 1024)

typedef struct Chunks Chunks;

/** Packed chunk records (GBytes) of @p snapshot, each with at most @p chunk_bytes of it. */
GPtrArray *chunks_cut (GBytes *snapshot, int64_t next_offset, uint32_t chunk_bytes);

/** Collects snapshots that cover the records before an offset from @p least to @p most. */
Chunks *chunks_new (int64_t least, int64_t most);
void chunks_free (Chunks *chunks);

/** Adds one record of the snapshot stream; FALSE when it is malformed. */
gboolean chunks_add (Chunks *chunks, const uint8_t *data, size_t size);

/** Takes the whole snapshot that covers most, or NULL; a further call gives the next one. */
GBytes *chunks_take_best (Chunks *chunks);

G_END_DECLS
