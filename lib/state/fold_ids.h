/**
 * @file fold_ids.h
 * Stores the result of each record id within a window of log time; used by the fold only.
 *
 * Ids are kept in a ring buffer, oldest first, with a hash table of ring positions, since a window
 * may contain a million of them.
 */
#pragma once

#include <glib.h>
#include <stdint.h>

#include "common/ids.h"

G_BEGIN_DECLS

typedef struct FoldIds FoldIds;

/** Encoded size of one id in fold_ids_save(). */
#define FOLD_IDS_SAVED_BYTES 24

FoldIds *fold_ids_new (void);
void fold_ids_free (FoldIds *ids);

/** Number of ids stored. */
uint32_t fold_ids_count (const FoldIds *ids);

/** Looks up the result (0 to 15) of @p id; returns FALSE if it is not stored. */
gboolean fold_ids_find (const FoldIds *ids, IdsId id, uint8_t *result);

/** Stores @p result for @p id, which must not be stored yet; @p time_ms must not decrease. */
void fold_ids_add (FoldIds *ids, IdsId id, int64_t time_ms, uint8_t result);

/** Drops the ids stored before @p before_ms. */
void fold_ids_expire (FoldIds *ids, int64_t before_ms);

/** Appends all ids to @p out, oldest first. */
void fold_ids_save (const FoldIds *ids, GByteArray *out);

/** Adds the ids that fold_ids_save() wrote; returns FALSE if the bytes are malformed. */
gboolean fold_ids_load (FoldIds *ids, const uint8_t *data, size_t size);

G_END_DECLS
