#include "batch/sched_tables.h"

/** A task whose work does not advance for this long stands still. */
#define STALL_MS 2500
/** One that shares processors with others may be slow for longer. */
#define STALL_FILL_MS 6000
/** A stop that was not obeyed is given again after this long. */
#define STOP_AGAIN_MS 3000

static gboolean
stands_still (const Sched *sched, const SchedTask *task)
{
  const JobStep *step = task->part->step;
  int64_t limit_ms = step->fills ? STALL_FILL_MS : STALL_MS;

  if (task->is_starting || task->is_stopping || task->pace < 100)
    return FALSE;
  if (step->lasts && task->percent >= 100)
    return FALSE;
  /* Members of a gang wait for each other before they work. */
  if (step->is_gang)
    limit_ms += sched->options.gang_timeout_ms;
  return sched->now_us - task->percent_us > limit_ms * 1000;
}

static void
stop_stalled (Sched *sched, SchedWorker *worker)
{
  uint32_t n_stalled = 0;

  for (guint i = 0; i < worker->tasks->len; i++)
    {
      SchedTask *task = g_ptr_array_index (worker->tasks, i);
      if (!stands_still (sched, task))
        continue;
      n_stalled++;
      task->avoid = worker;
      sched_order_stop (sched, task, "stalled");
    }
  if (n_stalled > 0 && sched->now_us >= worker->shun_until_us)
    sched_shun (sched, worker, "stalled");
}

/* A gang that lost a member can't go on: the others are stopped, and all start again. */
static void
stop_broken_gangs (Sched *sched, SchedWorker *worker)
{
  for (guint i = 0; i < worker->tasks->len; i++)
    {
      SchedTask *task = g_ptr_array_index (worker->tasks, i);
      if (task->part->step->is_gang && task->part->n_waiting > 0)
        sched_order_stop (sched, task, "gang_broken");
    }
}

static gboolean
is_over_target (const SchedWorker *worker)
{
  for (guint i = 0; i < worker->tasks->len; i++)
    {
      const SchedTask *task = g_ptr_array_index (worker->tasks, i);
      const JobStep *step = task->part->step;
      if (step->lasts && step->tail_target_ms > 0 && task->percent >= 100
          && task->figure > step->tail_target_ms)
        return TRUE;
    }
  return FALSE;
}

/* Tasks that fill make way at once: slowing them halves a harm that stopping them would end. */
static void
protect_serving (Sched *sched, SchedWorker *worker)
{
  if (worker->n_serving == 0 || worker->fill_cpu_m == 0 || !is_over_target (worker))
    return;
  for (guint i = 0; i < worker->tasks->len; i++)
    {
      SchedTask *task = g_ptr_array_index (worker->tasks, i);
      if (task->part->step->fills)
        sched_order_stop (sched, task, "tail_over_target");
    }
}

void
sched_care (Sched *sched)
{
  GHashTableIter iter;
  gpointer value = NULL;

  g_hash_table_iter_init (&iter, sched->workers);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      SchedWorker *worker = value;
      if (worker->report_us == 0)
        continue;
      stop_stalled (sched, worker);
      stop_broken_gangs (sched, worker);
      protect_serving (sched, worker);
    }
}
