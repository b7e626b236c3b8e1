#include "core/core.h"

#include "core/tables.h"

#define CORE_FORGET_TASKS_US (600 * CLK_US_PER_S)
#define CORE_FORGET_JOB_US (24 * 3600 * CLK_US_PER_S)
#define CORE_SEED_MIX UINT64_C (0x9e3779b97f4a7c15)

Core *
core_new (const CoreOptions *options)
{
  static const CoreOptions fallback
      = { .seed = 1, .policy = CORE_POLICY_ACACIA, .mechanisms = CORE_MECHANISM_ALL };
  Core *core = g_new0 (Core, 1);

  core->options = options != NULL ? *options : fallback;
  core->random = (uint64_t) core->options.seed * CORE_SEED_MIX + CORE_SEED_MIX;
  core->backfill_row = CORE_NONE;
  tables_init (core);
  core->placer = policy_placer (core);
  config_load (core, NULL);
  return core;
}

void
core_free (Core *core)
{
  if (core == NULL)
    return;
  tables_clear (core);
  config_clear (&core->config);
  g_free (core);
}

void
core_set_document (Core *core, const DocDocument *document)
{
  config_load (core, document);
}

/* Drops the tasks of finished jobs after ten minutes. The job's row is kept for a day, so that a
 * job that is accepted again within that time does not run twice. */
static void
forget_finished (Core *core)
{
  while (core->finished->len > 0)
    {
      CoreJob *job = g_ptr_array_index (core->finished, 0);
      if (core->now_us - job->finished_us < CORE_FORGET_TASKS_US)
        break;
      g_clear_pointer (&job->tasks, g_free);
      g_ptr_array_remove_index (core->finished, 0);
      g_ptr_array_add (core->ended, job);
    }
  while (core->ended->len > 0)
    {
      CoreJob *job = g_ptr_array_index (core->ended, 0);
      if (core->now_us - job->finished_us < CORE_FORGET_JOB_US)
        break;
      g_ptr_array_remove_index (core->ended, 0);
      g_hash_table_remove (core->jobs_by_id, &job->id);
    }
}

void
core_tick (Core *core, int64_t now_us, const CoreInput *inputs, size_t n_inputs, GArray *commands)
{
  g_assert (now_us >= core->now_us);
  g_assert (g_array_get_element_size (commands) == sizeof (CoreCommand));
  core->now_us = now_us;
  core->commands = commands;
  ingest_run (core, inputs, n_inputs);
  health_run (core);
  tail_run (core);
  quota_run (core);
  check_run (core);
  order_run (core);
  place_run (core);
  reclaim_run (core);
  forget_finished (core);
  core->commands = NULL;
}

static uint32_t
count_unplaceable (const Core *core)
{
  uint32_t n = 0;

  for (guint i = 0; i < core->ready->len; i++)
    {
      const CoreJob *job = g_ptr_array_index (core->ready, i);
      if (job->is_unplaceable)
        n += job->count[TASK_WAITING];
    }
  return n;
}

void
core_counts (const Core *core, CoreCounts *counts)
{
  *counts = (CoreCounts){ .workers = g_hash_table_size (core->worker_rows),
                          .quarantined = core->quarantined->len,
                          .jobs = g_hash_table_size (core->jobs_by_id),
                          .waiting = core->total[TASK_WAITING] + core->total[TASK_HELD],
                          .running = core->total[TASK_LIVE] + core->total[TASK_STOPPING],
                          .done = core->total[TASK_DONE],
                          .unplaceable = count_unplaceable (core),
                          .evictions = core->evictions,
                          .interruptions = core->interruptions,
                          .starts = core->starts };
}

gboolean
core_reserved (const Core *core, const char *id, DocSize *reserved)
{
  const CoreWorker *worker = tables_worker (core, id);

  if (worker == NULL)
    return FALSE;
  *reserved = size_add (worker->endpoints_size, worker->tasks_size);
  return TRUE;
}
