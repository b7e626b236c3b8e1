/**
 * @file fuzz_record.c
 * Folds arbitrary bytes as records of the log. No record causes a crash, and the state can still be
 * written to a snapshot and loaded from it.
 */
#include <stddef.h>
#include <stdint.h>

#include "state/fold.h"

int LLVMFuzzerTestOneInput (const uint8_t *data, /* NOLINT(readability-identifier-naming) */
                            size_t size);

int
LLVMFuzzerTestOneInput (const uint8_t *data, /* NOLINT(readability-identifier-naming) */
                        size_t size)
{
  const FoldOptions options = { .key_window_ms = 600000,
                                .answer_bytes_max = 4096,
                                .id_window_ms = 600000,
                                .shards = 2,
                                .history_max = 4 };
  Fold *fold = fold_new (&options);

  (void) fold_apply (fold, 0, 1000000, data, size);
  (void) fold_apply (fold, 1, 1000001, data, size);
  GBytes *snapshot = fold_snapshot (fold);
  gsize snapshot_size;
  const uint8_t *bytes = g_bytes_get_data (snapshot, &snapshot_size);
  Fold *loaded = fold_from_snapshot (&options, bytes, snapshot_size, NULL);
  g_assert (loaded != NULL);
  fold_free (loaded);
  g_bytes_unref (snapshot);
  fold_free (fold);
  return 0;
}
