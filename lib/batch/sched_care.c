#include "batch/sched_tables.h"

/** A task whose work does not advance for this long stands still. */
#define STALL_MS 2500
/** One that shares processors with others may be slow for longer. */
#define STALL_FILL_MS 6000
/** First step down, and each step up, in percent of a task's share. */
#define PACE_LOW 30
/** Between two steps: tails are measured over half a second and told half a second later. */
#define PACE_DOWN_MS 900
#define PACE_UP_MS 1500
/** Tasks that fill get more once the worst tail is below this percent of its target. */
#define PACE_UP_PERCENT 60
/** Budget of tasks that fill beside serving ones: its first size as a share of the worker, and
 * the time between two changes. */
#define BUDGET_FIRST_DIVISOR 5
#define BUDGET_STEP_MS 500
/** A task without checkpoints is stopped only before this percent of its work. */
#define WASTE_PERCENT 25

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

/* Returns the largest tail in percent of its target, and blames what fills for each above it. */
static int64_t
look_at_tails (Sched *sched, const SchedWorker *worker)
{
  int64_t worst = 0;

  for (guint i = 0; i < worker->tasks->len; i++)
    {
      const SchedTask *task = g_ptr_array_index (worker->tasks, i);
      const JobStep *step = task->part->step;
      if (!step->lasts || step->tail_target_ms <= 0 || task->percent < 100)
        continue;
      int64_t percent = task->figure * 100 / step->tail_target_ms;
      worst = MAX (worst, percent);
      if (percent > 100 && worker->fill_pace > 0
          && sched->now_us - worker->pace_us >= PACE_DOWN_MS * 1000)
        sched_pairs_blame (sched, worker, task);
    }
  return worst;
}

/* Beside serving tasks more may fill while all tails are well under their targets. */
static void
adjust_budget (Sched *sched, SchedWorker *worker)
{
  int64_t most_m = worker->info->capacity.cpu_m;
  int64_t least_m = most_m / BUDGET_FIRST_DIVISOR;

  if (worker->fill_budget_m == 0)
    worker->fill_budget_m = least_m;
  if (sched->now_us - worker->budget_us < BUDGET_STEP_MS * 1000)
    return;
  worker->budget_us = sched->now_us;
  if (worker->worst_tail_percent > 100)
    worker->fill_budget_m = MAX (worker->fill_budget_m / 2, least_m);
  else if (worker->worst_tail_percent < PACE_UP_PERCENT
           && worker->fill_cpu_m * 2 > worker->fill_budget_m)
    worker->fill_budget_m = MIN (worker->fill_budget_m + least_m / 2, most_m);
}

static void
pace_fills (Sched *sched, SchedWorker *worker, uint32_t percent)
{
  worker->fill_pace = percent;
  worker->pace_us = sched->now_us;
  for (guint i = 0; i < worker->tasks->len; i++)
    {
      SchedTask *task = g_ptr_array_index (worker->tasks, i);
      if (task->part->step->fills && !task->is_stopping)
        sched_order_pace (sched, task, percent);
    }
}

/* Tasks that can go on elsewhere from a checkpoint need not wait here. */
static void
stop_paced (Sched *sched, SchedWorker *worker)
{
  for (guint i = 0; i < worker->tasks->len; i++)
    {
      SchedTask *task = g_ptr_array_index (worker->tasks, i);
      if (task->part->step->fills && (task->part->step->saves || task->percent < WASTE_PERCENT))
        sched_order_stop (sched, task, "tail_over_target");
    }
}

/* Tasks that fill are slowed down while a serving task is over its target, and get their share
 * back step by step. */
static void
protect_serving (Sched *sched, SchedWorker *worker)
{
  int64_t since_ms = (sched->now_us - worker->pace_us) / 1000;

  worker->worst_tail_percent = look_at_tails (sched, worker);
  adjust_budget (sched, worker);
  if (worker->n_serving == 0 || worker->fill_cpu_m == 0)
    {
      if (worker->fill_pace < 100 && worker->n_serving == 0)
        pace_fills (sched, worker, 100);
      else if (worker->fill_cpu_m == 0)
        worker->fill_pace = 100;
      return;
    }
  if (worker->worst_tail_percent > 100 && since_ms >= PACE_DOWN_MS)
    {
      if (worker->fill_pace == 0)
        stop_paced (sched, worker);
      else
        pace_fills (sched, worker, worker->fill_pace > PACE_LOW ? PACE_LOW : 0);
    }
  else if (worker->worst_tail_percent < PACE_UP_PERCENT && since_ms >= PACE_UP_MS
           && worker->fill_pace < 100)
    pace_fills (sched, worker, MIN (worker->fill_pace + PACE_LOW, 100));
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
