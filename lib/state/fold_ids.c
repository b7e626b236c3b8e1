#include "state/fold_ids.h"

#include <string.h>

#define RING_MIN 1024
#define RESULT_BITS 4
#define RESULT_MASK ((UINT64_C (1) << RESULT_BITS) - 1)
/** Hash table slots for each record in the ring. */
#define SLOTS_PER_RECORD 2

typedef struct
{
  IdsId id;
  uint64_t stamp; /**< time_ms shifted by RESULT_BITS, with the result in the low bits */
} IdRow;

struct FoldIds
{
  IdRow *ring;
  uint32_t capacity; /**< a power of two */
  uint32_t head;     /**< ring index of the oldest record */
  uint32_t count;
  uint32_t *slots; /**< ring index + 1; 0: free */
};

static uint32_t
slot_mask (const FoldIds *ids)
{
  return ids->capacity * SLOTS_PER_RECORD - 1;
}

/* Ids are normally random, but a peer may choose them, so both halves are mixed. */
static uint32_t
first_slot (const FoldIds *ids, IdsId id)
{
  uint64_t mixed
      = (id.high ^ (id.low * UINT64_C (0x9E3779B97F4A7C15))) * UINT64_C (0xD6E8FEB86659FD93);

  return (uint32_t) (mixed >> 32) & slot_mask (ids);
}

FoldIds *
fold_ids_new (void)
{
  FoldIds *ids = g_new0 (FoldIds, 1);

  ids->capacity = RING_MIN;
  ids->ring = g_new0 (IdRow, ids->capacity);
  ids->slots = g_new0 (uint32_t, (gsize) ids->capacity * SLOTS_PER_RECORD);
  return ids;
}

void
fold_ids_free (FoldIds *ids)
{
  if (ids == NULL)
    return;
  g_free (ids->ring);
  g_free (ids->slots);
  g_free (ids);
}

uint32_t
fold_ids_count (const FoldIds *ids)
{
  return ids->count;
}

/* Returns the slot of @p id, or the free slot where it would be inserted. */
static uint32_t
find_slot (const FoldIds *ids, IdsId id)
{
  uint32_t slot = first_slot (ids, id);

  while (ids->slots[slot] != 0 && !ids_equal (ids->ring[ids->slots[slot] - 1].id, id))
    slot = (slot + 1) & slot_mask (ids);
  return slot;
}

gboolean
fold_ids_find (const FoldIds *ids, IdsId id, uint8_t *result)
{
  uint32_t position = ids->slots[find_slot (ids, id)];

  if (position == 0)
    return FALSE;
  *result = (uint8_t) (ids->ring[position - 1].stamp & RESULT_MASK);
  return TRUE;
}

static void
grow (FoldIds *ids)
{
  IdRow *ring = g_new0 (IdRow, (gsize) ids->capacity * 2);

  for (uint32_t i = 0; i < ids->count; i++)
    ring[i] = ids->ring[(ids->head + i) & (ids->capacity - 1)];
  g_free (ids->ring);
  g_free (ids->slots);
  ids->ring = ring;
  ids->head = 0;
  ids->capacity *= 2;
  ids->slots = g_new0 (uint32_t, (gsize) ids->capacity * SLOTS_PER_RECORD);
  for (uint32_t i = 0; i < ids->count; i++)
    ids->slots[find_slot (ids, ring[i].id)] = i + 1;
}

void
fold_ids_add (FoldIds *ids, IdsId id, int64_t time_ms, uint8_t result)
{
  g_assert (result <= RESULT_MASK);
  if (ids->count == ids->capacity)
    grow (ids);
  uint32_t position = (ids->head + ids->count) & (ids->capacity - 1);
  uint32_t slot = find_slot (ids, id);
  g_assert (ids->slots[slot] == 0);
  ids->ring[position] = (IdRow){ id, ((uint64_t) time_ms << RESULT_BITS) | result };
  ids->slots[slot] = position + 1;
  ids->count++;
}

/* Frees a slot and moves back the following rows whose probe sequence it would interrupt. */
static void
clear_slot (FoldIds *ids, uint32_t slot)
{
  uint32_t mask = slot_mask (ids);
  uint32_t next = slot;

  for (;;)
    {
      next = (next + 1) & mask;
      if (ids->slots[next] == 0)
        break;
      uint32_t home_slot = first_slot (ids, ids->ring[ids->slots[next] - 1].id);
      if (((next - home_slot) & mask) >= ((next - slot) & mask))
        {
          ids->slots[slot] = ids->slots[next];
          slot = next;
        }
    }
  ids->slots[slot] = 0;
}

void
fold_ids_expire (FoldIds *ids, int64_t before_ms)
{
  while (ids->count > 0)
    {
      const IdRow *oldest = &ids->ring[ids->head];
      if ((int64_t) (oldest->stamp >> RESULT_BITS) >= before_ms)
        break;
      clear_slot (ids, find_slot (ids, oldest->id));
      ids->head = (ids->head + 1) & (ids->capacity - 1);
      ids->count--;
    }
}

void
fold_ids_save (const FoldIds *ids, GByteArray *out)
{
  for (uint32_t i = 0; i < ids->count; i++)
    {
      const IdRow *row = &ids->ring[(ids->head + i) & (ids->capacity - 1)];
      const uint64_t words[] = { GUINT64_TO_LE (row->id.high), GUINT64_TO_LE (row->id.low),
                                 GUINT64_TO_LE (row->stamp) };
      g_byte_array_append (out, (const guint8 *) words, sizeof words);
    }
}

gboolean
fold_ids_load (FoldIds *ids, const uint8_t *data, size_t size)
{
  uint64_t newest = 0;

  if (size % FOLD_IDS_SAVED_BYTES != 0)
    return FALSE;
  for (size_t i = 0; i < size; i += FOLD_IDS_SAVED_BYTES)
    {
      uint64_t words[3];
      uint8_t known;
      memcpy (words, data + i, sizeof words);
      IdsId id = { GUINT64_FROM_LE (words[0]), GUINT64_FROM_LE (words[1]) };
      uint64_t stamp = GUINT64_FROM_LE (words[2]);
      uint64_t time_ms = stamp >> RESULT_BITS;
      if (time_ms < newest || ids_is_zero (id) || fold_ids_find (ids, id, &known))
        return FALSE;
      newest = time_ms;
      fold_ids_add (ids, id, (int64_t) time_ms, (uint8_t) (stamp & RESULT_MASK));
    }
  return TRUE;
}
