#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <string.h>

#include <cmocka.h>

#include "common/err.h"
#include "state/chunks.h"
#include "support/fake_state.h"

static GBytes *
snapshot_of (uint32_t n_entries)
{
  const FoldOptions options = fake_fold_options ();
  Fold *fold = fold_new (&options);

  for (uint32_t i = 0; i < n_entries; i++)
    {
      g_autofree char *name = g_strdup_printf ("entry-%u", i);
      uint8_t data[256];
      Record__Record record;
      Record__Entry entry;
      fake_entry_record (&record, &entry, name);
      record.id_low = i + 1;
      assert_int_equal (fold_apply (fold, i, 1000, data, record__record__pack (&record, data)),
                        FOLD_APPLIED);
    }
  GBytes *bytes = fold_snapshot (fold);
  fold_free (fold);
  return bytes;
}

static void
add (Chunks *chunks, const GPtrArray *records, guint index)
{
  gsize size;
  const uint8_t *data = g_bytes_get_data (g_ptr_array_index (records, index), &size);

  assert_true (chunks_add (chunks, data, size));
}

/* Interleaved, duplicated and reordered chunks give only complete snapshots, newest first. */
static void
only_complete_snapshots_are_returned (void **state)
{
  g_autoptr (GBytes) older = snapshot_of (5);
  g_autoptr (GBytes) newer = snapshot_of (9);
  g_autoptr (GPtrArray) first = chunks_split (older, 5, 40);
  g_autoptr (GPtrArray) second = chunks_split (newer, 9, 40);
  g_autoptr (GPtrArray) incomplete = chunks_split (newer, 12, 40);
  g_autoptr (GPtrArray) beyond = chunks_split (newer, 30, 4000);
  g_autoptr (GPtrArray) before = chunks_split (older, 3, 4000);
  Chunks *chunks = chunks_new (4, 20);

  assert_true (first->len > 2 && second->len > 2);
  for (guint i = second->len; i > 0; i--)
    {
      add (chunks, second, i - 1);
      add (chunks, first, (i - 1) % first->len);
      if (i > 1)
        add (chunks, incomplete, i - 1);
    }
  add (chunks, beyond, 0);
  add (chunks, before, 0);
  for (guint i = 0; i < first->len; i++)
    add (chunks, first, i);
  g_autoptr (GBytes) best = chunks_take_best (chunks);
  g_autoptr (GBytes) next = chunks_take_best (chunks);
  assert_true (g_bytes_equal (best, newer));
  assert_true (g_bytes_equal (next, older));
  assert_null (chunks_take_best (chunks));
  chunks_free (chunks);
  (void) state;
}

/* A snapshot is discarded if one of its chunks was corrupted. */
static void
digest_must_match (void **state)
{
  g_autoptr (GBytes) whole = snapshot_of (5);
  g_autoptr (GPtrArray) records = chunks_split (whole, 5, 4000);
  gsize size;
  const uint8_t *data = g_bytes_get_data (g_ptr_array_index (records, 0), &size);
  g_autofree uint8_t *corrupted = g_memdup2 (data, size);
  Chunks *chunks = chunks_new (0, 20);

  assert_int_equal (records->len, 1);
  corrupted[size - 1] ^= 1;
  assert_true (chunks_add (chunks, corrupted, size));
  assert_null (chunks_take_best (chunks));
  assert_false (chunks_add (chunks, corrupted, size / 2));
  chunks_free (chunks);
  (void) state;
}

/* A truncated snapshot must not crash; another number of shards is an error. */
static void
malformed_snapshots_are_errors (void **state)
{
  g_autoptr (GBytes) whole = snapshot_of (5);
  FoldOptions options = fake_fold_options ();
  gsize size;
  const uint8_t *data = g_bytes_get_data (whole, &size);

  for (gsize length = 0; length < size; length++)
    {
      Fold *fold = fold_from_snapshot (&options, data, length, NULL);
      /* Cut between two rows, it decodes with fewer entries; only the digest detects that. */
      fold_free (fold);
    }
  options.shards = 3;
  g_autoptr (GError) error = NULL;
  assert_null (fold_from_snapshot (&options, data, size, &error));
  assert_int_equal (err_kind (error), ERR_PROTOCOL);
  (void) state;
}

typedef struct
{
  const char *name;
  FollowSnapshotStatus status;
  gboolean due;
} DueCase;

static const DueCase due_cases[] = {
  { "empty log", { 0, 0, 0, 0, 0, 0, 0, 0, 10 }, FALSE },
  { "no snapshot yet", { 0, 0, 10, 0, 0, 0, 0, 0, 10 }, TRUE },
  { "fresh", { 1000, 0, 1500, 0, 0, 4, 1000, 3600000, 10 }, FALSE },
  { "too many to fold", { 1000, 0, 51000, 0, 0, 4, 1000, 3600000, 10 }, TRUE },
  { "half of the records expired", { 6000, 5500, 9000, 0, 0, 4, 1000, 0, 0 }, TRUE },
  { "most of the records kept", { 8900, 5500, 9000, 0, 0, 4, 1000, 0, 0 }, FALSE },
  { "its chunks expire", { 8900, 5500, 9000, 11, 10, 20, 1000, 0, 0 }, TRUE },
  { "a quarter of the retention", { 1000, 0, 1500, 0, 0, 4, 900000, 3600000, 10 }, TRUE },
  { "expires within two minutes", { 8000, 7000, 9000, 0, 0, 4, 1000, 0, 100 }, TRUE },
  { "short retention, just written", { 8990, 8000, 9000, 0, 0, 4, 1000, 0, 100 }, FALSE },
};

static void
snapshot_is_due_in_time (void **state)
{
  for (size_t i = 0; i < G_N_ELEMENTS (due_cases); i++)
    if (follow_snapshot_due (&due_cases[i].status) != due_cases[i].due)
      fail_msg ("%s", due_cases[i].name);
  (void) state;
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (only_complete_snapshots_are_returned),
    cmocka_unit_test (digest_must_match),
    cmocka_unit_test (malformed_snapshots_are_errors),
    cmocka_unit_test (snapshot_is_due_in_time),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
