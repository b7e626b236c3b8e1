/**
 * @file fuzz_record.c
 * Any bytes as a record of the log: folded, never a crash, and the state can still be saved.
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
  GBytes *saved = fold_snapshot (fold);
  gsize saved_size;
  const uint8_t *bytes = g_bytes_get_data (saved, &saved_size);
  Fold *again = fold_from_snapshot (&options, bytes, saved_size, NULL);
  g_assert (again != NULL);
  fold_free (again);
  g_bytes_unref (saved);
  fold_free (fold);
  return 0;
}
