/**
 * @file fold_ids.h
 * What became of each record id within a window of log time; a part of the fold.
 *
 * Ids are held in a ring, oldest first, with a hash table of ring positions beside it, since a
 * window may hold a million of them.
 */
#pragma once

#include <glib.h>
#include <stdint.h>

#include "common/ids.h"

G_BEGIN_DECLS

typedef struct FoldIds FoldIds;

/** Bytes of one id in fold_ids_save(). */
#define FOLD_IDS_SAVED_BYTES 24

FoldIds *fold_ids_new (void);
void fold_ids_free (FoldIds *ids);

/** Number of ids held. */
uint32_t fold_ids_count (const FoldIds *ids);

/** Reads the result (0 to 15) noted for @p id; FALSE when it isn't held. */
gboolean fold_ids_find (const FoldIds *ids, IdsId id, uint8_t *result);

/** Notes @p result for @p id, which isn't held yet; @p time_ms never goes back. */
void fold_ids_add (FoldIds *ids, IdsId id, int64_t time_ms, uint8_t result);

/** Drops the ids noted before @p before_ms. */
void fold_ids_expire (FoldIds *ids, int64_t before_ms);

/** Appends all ids to @p out, oldest first. */
void fold_ids_save (const FoldIds *ids, GByteArray *out);

/** Adds what fold_ids_save() wrote; FALSE when the bytes are no such list. */
gboolean fold_ids_load (FoldIds *ids, const uint8_t *data, size_t size);

G_END_DECLS
