/* The operators' configuration, which every entry reads at the same moment. */
#include "support/emulator_private.h"

/** Time for which the queue is configured, or removed. */
#define CHANGE_MIN_MS 300
#define CHANGE_MAX_MS 6000

QueueConfig *
emu_config_new (int64_t version, gboolean has_queue)
{
  QueueConfig *config = queue_config_new (version);

  (void) queue_config_add_service (config, "service");
  if (!has_queue)
    return config;
  Queue *queue = queue_new ();
  queue->name = g_strdup ("bulk");
  queue->host = g_strdup ("host.example");
  queue->prefix = g_strdup ("/bulk/");
  queue->service = g_strdup ("service");
  queue->attempts_max = EMU_ATTEMPTS_MAX;
  queue->stretch = 2.0;
  queue->target_ms = 1000;
  queue_config_add (config, queue);
  return config;
}

static void
replace_config (gpointer ctx, gpointer data)
{
  Emulator *emu = ctx;
  QueueConfig *before = emu->config;

  emu->config = emu_config_new (before->version + 1, data != NULL);
  emu_trace (emu, "FAULT", "queue %s", data != NULL ? "added" : "removed");
  for (uint32_t i = 0; i < emu->options.n_entries; i++)
    {
      if (emu->entries[i].sched != NULL)
        sched_set_config (emu->entries[i].sched, emu->config);
    }
  queue_config_free (before);
}

/* Records of older builds have no terms, so with these the queue is there at the end. Draws from a
 * generator of its own, so that the rest of the schedule is that of the seed without changes. */
void
emu_config_schedule (Emulator *emu)
{
  g_autoptr (GRand) rand = g_rand_new_with_seed ((guint32) emu->options.seed);
  gboolean has_queue = TRUE;
  int64_t at_ms = 0;

  if (!emu->options.has_removed_queues)
    return;
  while ((at_ms += g_rand_int_range (rand, CHANGE_MIN_MS, CHANGE_MAX_MS)) < emu->options.trouble_ms)
    {
      has_queue = !has_queue;
      emu_after (emu, at_ms * CLK_US_PER_MS, NULL, replace_config, emu, GINT_TO_POINTER (has_queue),
                 NULL);
    }
  if (emu->options.has_older_builds || g_rand_boolean (rand))
    emu_after (emu, at_ms * CLK_US_PER_MS, NULL, replace_config, emu, GINT_TO_POINTER (TRUE), NULL);
}
