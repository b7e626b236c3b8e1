/**
 * @file fuzz_snapshot.c
 * Loads arbitrary bytes as a snapshot and as a chunk of one. The result is an error, or a state
 * that folds a further record and can be written to a snapshot.
 */
#include <stddef.h>
#include <stdint.h>

#include "state/chunks.h"
#include "state/fold.h"

int LLVMFuzzerTestOneInput (const uint8_t *data, /* NOLINT(readability-identifier-naming) */
                            size_t size);

static void
load (const uint8_t *data, size_t size)
{
  const FoldOptions options = { .key_window_ms = 600000,
                                .answer_bytes_max = 4096,
                                .id_window_ms = 600000,
                                .shards = 2,
                                .history_max = 4 };
  GError *error = NULL;
  Fold *fold = fold_from_snapshot (&options, data, size, &error);

  if (fold == NULL)
    {
      g_assert (error != NULL);
      g_error_free (error);
      return;
    }
  static const uint8_t garbage[] = { 0xff };
  (void) fold_apply (fold, fold_next_offset (fold), INT64_MAX, garbage, sizeof garbage);
  GBytes *snapshot = fold_snapshot (fold);
  g_bytes_unref (snapshot);
  fold_free (fold);
}

int
LLVMFuzzerTestOneInput (const uint8_t *data, /* NOLINT(readability-identifier-naming) */
                        size_t size)
{
  Chunks *chunks = chunks_new (0, INT64_MAX);

  load (data, size);
  (void) chunks_add (chunks, data, size);
  GBytes *whole = chunks_take_best (chunks);
  if (whole != NULL)
    {
      gsize whole_size;
      const uint8_t *bytes = g_bytes_get_data (whole, &whole_size);
      load (bytes, whole_size);
      g_bytes_unref (whole);
    }
  chunks_free (chunks);
  return 0;
}
