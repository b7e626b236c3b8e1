/* Encodes and restores what was learned about images and durations, for the next owner. */
#include <math.h>

#include "batch/message.h"
#include "batch/sched_tables.h"

/** Largest logarithm of a duration in ms, of a ratio of two, or of their errors. */
#define LOG_MAX 40.0F

typedef struct
{
  Batch__Learned *message;
  GHashTable *image_indexes; /**< name -> index in the message's images + 1 */
} Writer;

static uint32_t
index_of_image (Writer *writer, const char *image)
{
  Batch__Learned *message = writer->message;
  uint32_t index = GPOINTER_TO_UINT (g_hash_table_lookup (writer->image_indexes, image));

  if (index != 0)
    return index - 1;
  message->images[message->n_images++] = message_strdup (image);
  g_hash_table_insert (writer->image_indexes, (gpointer) image,
                       GUINT_TO_POINTER ((guint) message->n_images));
  return (uint32_t) message->n_images - 1;
}

static void
add_pair (void *ctx, const InterferencePair *pair)
{
  Writer *writer = ctx;
  Batch__PairTake *row = message_alloc (sizeof *row);

  batch__pair_take__init (row);
  row->serving = index_of_image (writer, pair->serving);
  row->filling = index_of_image (writer, pair->best_effort);
  row->take = (float) pair->impact;
  row->variance = (float) pair->variance;
  writer->message->pairs[writer->message->n_pairs++] = row;
}

static void
add_queues (const Sched *sched, Batch__Learned *message)
{
  GHashTableIter iter;
  gpointer key = NULL;
  gpointer value = NULL;

  message->queues = message_alloc (g_hash_table_size (sched->durations) * sizeof *message->queues);
  g_hash_table_iter_init (&iter, sched->durations);
  while (g_hash_table_iter_next (&iter, &key, &value))
    {
      const SchedDurations *learned = value;
      Batch__QueueDurations *row = message_alloc (sizeof *row);
      batch__queue_durations__init (row);
      row->queue = message_strdup (key);
      row->count = learned->count;
      row->log_ms = (float) learned->log_ms;
      row->log_ratio = (float) learned->log_ratio;
      row->ms_error = (float) learned->ms_error;
      row->ratio_error = (float) learned->ratio_error;
      message->queues[message->n_queues++] = row;
    }
}

GBytes *
sched_encode_learned (const Sched *sched)
{
  Batch__Learned *message = message_alloc (sizeof *message);
  g_autoptr (GHashTable) image_indexes = g_hash_table_new (g_str_hash, g_str_equal);
  Writer writer = { message, image_indexes };

  batch__learned__init (message);
  message->images = message_alloc (INTERFERENCE_IMAGES_MAX * sizeof *message->images);
  message->pairs = message_alloc (INTERFERENCE_PAIRS_MAX * sizeof *message->pairs);
  interference_each_pair (sched->interference, add_pair, &writer);
  add_queues (sched, message);
  size_t size = batch__learned__get_packed_size (message);
  uint8_t *bytes = g_malloc (MAX (size, 1));
  (void) batch__learned__pack (message, bytes);
  batch__learned__free_unpacked (message, NULL);
  return g_bytes_new_take (bytes, size);
}

static gboolean
is_log (float value)
{
  return isfinite (value) && fabsf (value) <= LOG_MAX;
}

static void
restore_queue (Sched *sched, const Batch__QueueDurations *row)
{
  if (!is_log (row->log_ms) || !is_log (row->log_ratio) || !is_log (row->ms_error)
      || !is_log (row->ratio_error))
    return;
  SchedDurations *learned = g_new (SchedDurations, 1);
  *learned = (SchedDurations){ .count = row->count,
                               .log_ms = row->log_ms,
                               .log_ratio = row->log_ratio,
                               .ms_error = row->ms_error,
                               .ratio_error = row->ratio_error };
  g_hash_table_replace (sched->durations, g_strdup (row->queue), learned);
}

void
sched_restore_learned (Sched *sched, const Batch__Learned *learned)
{
  for (size_t i = 0; i < learned->n_pairs; i++)
    {
      const Batch__PairTake *row = learned->pairs[i];
      if (row->serving >= learned->n_images || row->filling >= learned->n_images)
        continue;
      const InterferencePair pair = { learned->images[row->serving], learned->images[row->filling],
                                      row->take, row->variance };
      interference_restore (sched->interference, &pair);
    }
  for (size_t i = 0; i < learned->n_queues; i++)
    restore_queue (sched, learned->queues[i]);
}
