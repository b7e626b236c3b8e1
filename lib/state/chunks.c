#include "state/chunks.h"

#include "common/ids.h"

/** Incomplete snapshots kept at once; a new one evicts the oldest. */
#define PARTIAL_MAX 8
/** Complete snapshots kept. */
#define WHOLE_MAX 3

typedef struct
{
  IdsId id;
  int64_t next_offset;
  uint64_t digest;
  uint32_t count;
  uint32_t present;
  size_t bytes;
  GBytes **chunk_data; /**< array of count elements; NULL where a chunk is missing */
} PartialSnapshot;

typedef struct
{
  IdsId id;
  int64_t next_offset;
  GBytes *bytes;
} WholeSnapshot;

struct Chunks
{
  int64_t min_offset;
  int64_t max_offset;
  GPtrArray *partial; /**< PartialSnapshot, oldest first */
  GPtrArray *whole;   /**< WholeSnapshot, by next_offset, highest first */
};

static void
partial_free (void *data)
{
  PartialSnapshot *partial = data;

  for (uint32_t i = 0; i < partial->count; i++)
    g_clear_pointer (&partial->chunk_data[i], g_bytes_unref);
  g_free (partial->chunk_data);
  g_free (partial);
}

static void
whole_free (void *data)
{
  WholeSnapshot *whole = data;

  g_clear_pointer (&whole->bytes, g_bytes_unref);
  g_free (whole);
}

static GBytes *
pack_chunk (const Record__SnapshotChunk *chunk)
{
  size_t size = record__snapshot_chunk__get_packed_size (chunk);
  uint8_t *data = g_malloc (size);

  (void) record__snapshot_chunk__pack (chunk, data);
  return g_bytes_new_take (data, size);
}

GPtrArray *
chunks_split (GBytes *snapshot, int64_t next_offset, uint32_t chunk_bytes)
{
  GPtrArray *records = g_ptr_array_new_with_free_func ((GDestroyNotify) g_bytes_unref);
  gsize size;
  const uint8_t *data = g_bytes_get_data (snapshot, &size);
  IdsId id = ids_new ();
  Record__SnapshotChunk chunk = RECORD__SNAPSHOT_CHUNK__INIT;

  g_assert (chunk_bytes > 0);
  chunk.id_high = id.high;
  chunk.id_low = id.low;
  chunk.next_offset = next_offset;
  chunk.count = (uint32_t) MAX ((size + chunk_bytes - 1) / chunk_bytes, 1);
  chunk.digest = ids_hash (data, size);
  for (chunk.index = 0; chunk.index < chunk.count; chunk.index++)
    {
      size_t start = (size_t) chunk.index * chunk_bytes;
      chunk.data.data = (uint8_t *) data + start;
      chunk.data.len = MIN (size - start, chunk_bytes);
      g_ptr_array_add (records, pack_chunk (&chunk));
    }
  return records;
}

Chunks *
chunks_new (int64_t min_offset, int64_t max_offset)
{
  Chunks *chunks = g_new0 (Chunks, 1);

  chunks->min_offset = min_offset;
  chunks->max_offset = max_offset;
  chunks->partial = g_ptr_array_new_with_free_func (partial_free);
  chunks->whole = g_ptr_array_new_with_free_func (whole_free);
  return chunks;
}

void
chunks_free (Chunks *chunks)
{
  if (chunks == NULL)
    return;
  g_ptr_array_unref (chunks->partial);
  g_ptr_array_unref (chunks->whole);
  g_free (chunks);
}

static PartialSnapshot *
find_partial (const Chunks *chunks, IdsId id)
{
  for (guint i = 0; i < chunks->partial->len; i++)
    {
      PartialSnapshot *partial = g_ptr_array_index (chunks->partial, i);
      if (ids_equal (partial->id, id))
        return partial;
    }
  return NULL;
}

static PartialSnapshot *
add_partial (Chunks *chunks, const Record__SnapshotChunk *chunk)
{
  PartialSnapshot *partial = g_new0 (PartialSnapshot, 1);

  partial->id = (IdsId){ chunk->id_high, chunk->id_low };
  partial->next_offset = chunk->next_offset;
  partial->digest = chunk->digest;
  partial->count = chunk->count;
  partial->chunk_data = g_new0 (GBytes *, chunk->count);
  if (chunks->partial->len >= PARTIAL_MAX)
    g_ptr_array_remove_index (chunks->partial, 0);
  g_ptr_array_add (chunks->partial, partial);
  return partial;
}

static GBytes *
join_chunks (const PartialSnapshot *partial)
{
  GByteArray *all = g_byte_array_sized_new ((guint) partial->bytes);

  for (uint32_t i = 0; i < partial->count; i++)
    {
      gsize size;
      const guint8 *data = g_bytes_get_data (partial->chunk_data[i], &size);
      g_byte_array_append (all, data, (guint) size);
    }
  return g_byte_array_free_to_bytes (all);
}

static void
add_whole (Chunks *chunks, const PartialSnapshot *partial)
{
  GBytes *bytes = join_chunks (partial);
  guint position = 0;

  if (ids_hash (g_bytes_get_data (bytes, NULL), g_bytes_get_size (bytes)) != partial->digest)
    {
      g_bytes_unref (bytes);
      return;
    }
  while (position < chunks->whole->len
         && ((const WholeSnapshot *) g_ptr_array_index (chunks->whole, position))->next_offset
                > partial->next_offset)
    position++;
  WholeSnapshot *whole = g_new0 (WholeSnapshot, 1);
  whole->id = partial->id;
  whole->next_offset = partial->next_offset;
  whole->bytes = bytes;
  g_ptr_array_insert (chunks->whole, (gint) position, whole);
  if (chunks->whole->len > WHOLE_MAX)
    g_ptr_array_set_size (chunks->whole, WHOLE_MAX);
}

static gboolean
has_whole (const Chunks *chunks, IdsId id)
{
  for (guint i = 0; i < chunks->whole->len; i++)
    {
      const WholeSnapshot *whole = g_ptr_array_index (chunks->whole, i);
      if (ids_equal (whole->id, id))
        return TRUE;
    }
  return FALSE;
}

/* Whether @p chunk has the same header as the first chunk of its snapshot that was received. */
static gboolean
has_same_header (const Record__SnapshotChunk *chunk, const PartialSnapshot *partial)
{
  return chunk->next_offset == partial->next_offset && chunk->count == partial->count
         && chunk->digest == partial->digest;
}

static gboolean
add_chunk (Chunks *chunks, const Record__SnapshotChunk *chunk)
{
  IdsId id = { chunk->id_high, chunk->id_low };

  if (ids_is_zero (id) || chunk->count == 0 || chunk->count > CHUNKS_COUNT_MAX
      || chunk->index >= chunk->count)
    return FALSE;
  if (chunk->next_offset < chunks->min_offset || chunk->next_offset > chunks->max_offset
      || has_whole (chunks, id))
    return TRUE;
  PartialSnapshot *partial = find_partial (chunks, id);
  if (partial == NULL)
    partial = add_partial (chunks, chunk);
  if (!has_same_header (chunk, partial) || partial->bytes + chunk->data.len > CHUNKS_BYTES_MAX)
    return FALSE;
  if (partial->chunk_data[chunk->index] != NULL)
    return TRUE;
  partial->chunk_data[chunk->index] = g_bytes_new (chunk->data.data, chunk->data.len);
  partial->bytes += chunk->data.len;
  if (++partial->present < partial->count)
    return TRUE;
  add_whole (chunks, partial);
  g_ptr_array_remove (chunks->partial, partial);
  return TRUE;
}

gboolean
chunks_add (Chunks *chunks, const uint8_t *data, size_t size)
{
  Record__SnapshotChunk *chunk = record__snapshot_chunk__unpack (NULL, size, data);

  if (chunk == NULL)
    return FALSE;
  gboolean ok = add_chunk (chunks, chunk);
  record__snapshot_chunk__free_unpacked (chunk, NULL);
  return ok;
}

GBytes *
chunks_take_best (Chunks *chunks)
{
  if (chunks->whole->len == 0)
    return NULL;
  WholeSnapshot *best = g_ptr_array_index (chunks->whole, 0);
  GBytes *bytes = g_steal_pointer (&best->bytes);
  g_ptr_array_remove_index (chunks->whole, 0);
  return bytes;
}
