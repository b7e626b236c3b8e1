#include "batch/sched_tables.h"

/** A task whose work does not advance for this long stands still. */
#define STALL_MS 2500
/** One that shares processors with others may be slow for longer. */
#define STALL_FILL_MS 6000
/** First step down, and each step up, in percent of a task's share. */
#define PACE_LOW 30
/** Between two steps: tails are measured over half a second and told half a second later. */
#define PACE_DOWN_MS 900
#define PACE_UP_MS 1000
/** Tasks that fill are slowed down once a tail is above this percent of its target. */
#define PACE_FROM_PERCENT 100
/** Tasks that fill get more once the worst tail is below this percent of its target, and are slowed
 * down to this one. */
#define PACE_UP_PERCENT 65
#define PACE_GOAL_PERCENT 80.0
/** Tasks that fill are not the cause of a tail to which they add less than this, in percent. */
#define BLAME_PERCENT 6.0
/** A tail that stays over its target for this long is put down to all that fill there, whatever was
 * learned: half of the time for which it may be so, less two reports. */
#define PATIENCE_MS 1200
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

static gboolean
is_long_over (const Sched *sched, const SchedTask *serving)
{
  return serving->over_us != 0 && sched->now_us - serving->over_us >= PATIENCE_MS * 1000;
}

/* Notes since when tails are over their targets. */
static void
watch_tails (Sched *sched, SchedWorker *worker)
{
  worker->is_harmed = FALSE;
  for (guint i = 0; i < worker->tasks->len && worker->n_serving > 0; i++)
    {
      SchedTask *task = g_ptr_array_index (worker->tasks, i);
      if (!sched_is_serving (task))
        continue;
      if (sched_tail_percent (task) <= PACE_FROM_PERCENT)
        task->over_us = 0;
      else if (task->over_us == 0)
        task->over_us = sched->now_us;
      worker->is_harmed |= is_long_over (sched, task);
    }
}

/* The serving task that is furthest over its target through tasks that fill, or NULL. */
static SchedTask *
worst_harmed (Sched *sched, const SchedWorker *worker)
{
  SchedTask *worst = NULL;

  for (guint i = 0; i < worker->tasks->len; i++)
    {
      SchedTask *task = g_ptr_array_index (worker->tasks, i);
      if (sched_is_serving (task) && sched_tail_percent (task) > PACE_FROM_PERCENT
          && sched_tails_shares (sched, worker, task) >= BLAME_PERCENT
          && (worst == NULL || sched_tail_percent (task) > sched_tail_percent (worst)))
        worst = task;
    }
  return worst;
}

static SchedTask *
largest_share (Sched *sched, const SchedWorker *worker, const SchedTask *serving)
{
  SchedTask *largest = NULL;
  double most = 0;

  for (guint i = 0; i < worker->tasks->len; i++)
    {
      SchedTask *task = g_ptr_array_index (worker->tasks, i);
      if (!task->part->step->fills || task->is_stopping || task->pace == 0)
        continue;
      double share = sched_tail_share (sched, serving, task);
      if (largest == NULL || share > most)
        {
          largest = task;
          most = share;
        }
    }
  return largest;
}

/* Slows the tasks that add most to a tail, until the rest should be below the target. */
static void
slow_fills (Sched *sched, SchedWorker *worker, const SchedTask *serving)
{
  double excess = (double) sched_tail_percent (serving) - PACE_GOAL_PERCENT;
  SchedTask *task = NULL;

  worker->pace_us = sched->now_us;
  while (excess > 0 && (task = largest_share (sched, worker, serving)) != NULL)
    {
      double before = sched_tail_share (sched, serving, task);
      sched_order_pace (sched, task, task->pace > PACE_LOW ? PACE_LOW : 0);
      excess -= MAX (before - sched_tail_share (sched, serving, task), 1.0);
    }
}

/* A task that stands still here goes on elsewhere, if little of it is lost. */
static void
stop_paced (Sched *sched, SchedWorker *worker)
{
  for (guint i = 0; i < worker->tasks->len; i++)
    {
      SchedTask *task = g_ptr_array_index (worker->tasks, i);
      if (task->part->step->fills && task->pace == 0
          && sched->now_us - task->pace_us >= PACE_UP_MS * 1000
          && (task->part->step->saves || task->percent < WASTE_PERCENT)
          && sched_has_place (sched, task))
        sched_order_stop (sched, task, "tail_over_target");
    }
}

/* Gives one slowed task a larger share again. */
static void
restore_pace (Sched *sched, SchedWorker *worker)
{
  SchedTask *slowest = NULL;

  for (guint i = 0; i < worker->tasks->len; i++)
    {
      SchedTask *task = g_ptr_array_index (worker->tasks, i);
      if (task->part->step->fills && !task->is_stopping && task->pace < 100
          && (slowest == NULL || task->pace < slowest->pace))
        slowest = task;
    }
  if (slowest == NULL)
    return;
  worker->pace_us = sched->now_us;
  sched_order_pace (sched, slowest, MIN (slowest->pace + PACE_LOW * 2, 100));
}

static void
stand_fills (Sched *sched, SchedWorker *worker)
{
  for (guint i = 0; i < worker->tasks->len; i++)
    {
      SchedTask *task = g_ptr_array_index (worker->tasks, i);
      if (task->part->step->fills && !task->is_stopping)
        sched_order_pace (sched, task, 0);
    }
}

static int64_t
worst_tail (const SchedWorker *worker)
{
  int64_t worst = 0;

  for (guint i = 0; i < worker->tasks->len; i++)
    {
      const SchedTask *task = g_ptr_array_index (worker->tasks, i);
      if (sched_is_serving (task))
        worst = MAX (worst, sched_tail_percent (task));
    }
  return worst;
}

static void
adjust_paces (Sched *sched, SchedWorker *worker)
{
  int64_t since_ms = (sched->now_us - worker->pace_us) / 1000;
  const SchedTask *harmed = worst_harmed (sched, worker);

  if (harmed != NULL && since_ms >= PACE_DOWN_MS)
    slow_fills (sched, worker, harmed);
  else if (harmed == NULL && since_ms >= PACE_UP_MS && worst_tail (worker) < PACE_UP_PERCENT)
    restore_pace (sched, worker);
}

static void
protect_serving (Sched *sched, SchedWorker *worker)
{
  watch_tails (sched, worker);
  if (worker->fill_cpu_m == 0)
    return;
  if (worker->is_harmed)
    stand_fills (sched, worker);
  else
    adjust_paces (sched, worker);
  stop_paced (sched, worker);
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
