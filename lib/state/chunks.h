/**
 * @file chunks.h
 * Splits a snapshot into records of the snapshot stream and reassembles them.
 *
 * Chunks of several snapshots may be interleaved, duplicated or missing. Only a snapshot that is
 * complete and matches its digest is returned.
 */
#pragma once

#include <glib.h>
#include <stdint.h>

#include "state/record.pb-c.h"

G_BEGIN_DECLS

/** Limits on one reassembled snapshot. */
#define CHUNKS_COUNT_MAX 8192
#define CHUNKS_BYTES_MAX ((size_t) 512 * 1024 * 1024)

typedef struct Chunks Chunks;

/** Packed chunk records (GBytes) of @p snapshot, each with at most @p chunk_bytes of its data. */
GPtrArray *chunks_split (GBytes *snapshot, int64_t next_offset, uint32_t chunk_bytes);

/** Collects snapshots whose next_offset is from @p min_offset to @p max_offset. */
Chunks *chunks_new (int64_t min_offset, int64_t max_offset);
void chunks_free (Chunks *chunks);

/** Adds one record of the snapshot stream; returns FALSE if it is malformed. */
gboolean chunks_add (Chunks *chunks, const uint8_t *data, size_t size);

/**
 * Removes and returns the complete snapshot with the highest next_offset, NULL if there is none.
 * The caller unrefs it.
 */
GBytes *chunks_take_best (Chunks *chunks);

G_END_DECLS
