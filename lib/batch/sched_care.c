/* Remediation: stalled tasks, broken gangs, serving tasks over their target latency. */
#include "batch/sched_tables.h"

/** A task without progress for this long is stalled. */
#define STALL_MS 2500
/** The same for best-effort tasks, which share processors and may be slow for longer. */
#define STALL_FILL_MS 6000
/** CPU limits are multiples of this, in percent; limits below the minimum become 0. */
#define PACE_STEP 10
#define PACE_LEAST 20
/** Largest increase of a CPU limit in one step, in percent. */
#define PACE_RISE 60
/** Least interval between two changes. The model includes limits that were ordered but have no
 * effect on the tails yet, so a decrease does not wait for the effect of the previous one. */
#define PACE_DOWN_MS 100
#define PACE_UP_MS 300
/** Best-effort tasks are throttled once a serving task's headroom is below HEADROOM_FROM, until it
 * is predicted to reach HEADROOM_GOAL. Their limits are raised while that leaves HEADROOM_UP. */
#define HEADROOM_FROM 1.05
#define HEADROOM_GOAL 1.2
#define HEADROOM_UP 1.15
/** Best-effort tasks that reduce a headroom by less than this in total are not the cause of a tail
 * over target. */
#define BLAME_TAKE 0.08
/** A tail that is over its target for this long is attributed to all best-effort tasks of the
 * worker, whatever the model says. Half of the allowed time over target, less two report intervals.
 */
#define PATIENCE_MS 1200
/** A task without checkpoints is stopped only below this progress, in percent. */
#define WASTE_PERCENT 25

static gboolean
stands_still (const Sched *sched, const SchedTask *task)
{
  const JobStep *step = task->part->step;
  int64_t limit_ms = step->fills ? STALL_FILL_MS : STALL_MS;

  if (task->is_starting || task->is_stopping || task->pace < SCHED_FULL_PACE)
    return FALSE;
  if (step->lasts && task->percent >= 100)
    return FALSE;
  /* Members of a gang wait for each other before they make progress. */
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

/* A gang that lost a member cannot continue: its other members are stopped, and all start again. */
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

static gboolean
is_over (const SchedTask *serving)
{
  double headroom = sched_headroom (serving);

  return headroom > 0 && headroom < HEADROOM_FROM;
}

/* Records since when tails are over their targets. */
static void
watch_tails (Sched *sched, SchedWorker *worker)
{
  worker->is_harmed = FALSE;
  for (guint i = 0; i < worker->tasks->len && worker->n_serving > 0; i++)
    {
      SchedTask *task = g_ptr_array_index (worker->tasks, i);
      if (!sched_is_serving (task))
        continue;
      if (!is_over (task))
        task->over_us = 0;
      else if (task->over_us == 0)
        task->over_us = sched->now_us;
      worker->is_harmed |= is_long_over (sched, task);
    }
}

/* Returns the serving task with the least headroom below HEADROOM_FROM to which best-effort tasks
 * contribute, or NULL. */
static SchedTask *
worst_harmed (const SchedWorker *worker)
{
  SchedTask *worst = NULL;
  double least = HEADROOM_FROM;

  for (guint i = 0; i < worker->tasks->len; i++)
    {
      SchedTask *task = g_ptr_array_index (worker->tasks, i);
      if (!sched_is_serving (task) || sched_headroom (task) <= 0)
        continue;
      double room = sched_tails_now (worker, task);
      if (room < least && sched_tails_takes (worker, task) >= BLAME_TAKE)
        {
          worst = task;
          least = room;
        }
    }
  return worst;
}

static SchedTask *
largest_take (const SchedWorker *worker, const SchedTask *serving)
{
  SchedTask *largest = NULL;
  double most = 0;

  for (guint i = 0; i < worker->tasks->len; i++)
    {
      SchedTask *task = g_ptr_array_index (worker->tasks, i);
      if (!task->part->step->fills || task->is_stopping || task->pace == 0)
        continue;
      double take = sched_tails_take (worker, serving, task);
      if (largest == NULL || take > most)
        {
          largest = task;
          most = take;
        }
    }
  return largest;
}

/* CPU limit at which a task reduces the headroom by @p cut less. */
static uint32_t
pace_after_cut (const SchedTask *task, double take, double cut)
{
  if (take <= cut)
    return 0;
  uint32_t pace = (uint32_t) ((double) task->pace * (take - cut) / take);
  pace -= pace % PACE_STEP;
  return pace >= PACE_LEAST ? pace : 0;
}

/* Throttles the tasks with the largest impact until the predicted headroom is sufficient. */
static void
slow_fills (Sched *sched, SchedWorker *worker, const SchedTask *serving)
{
  double missing = HEADROOM_GOAL - sched_tails_now (worker, serving);
  SchedTask *task = NULL;

  worker->pace_us = sched->now_us;
  while (missing > 0 && (task = largest_take (worker, serving)) != NULL)
    {
      double take = sched_tails_take (worker, serving, task);
      sched_order_pace (sched, task, pace_after_cut (task, take, missing));
      missing -= take - sched_tails_take (worker, serving, task);
    }
}

/* Stops tasks whose CPU limit is 0, so that they continue on another worker, if little work is
 * lost.
 */
static void
stop_paced (Sched *sched, SchedWorker *worker)
{
  for (guint i = 0; i < worker->tasks->len; i++)
    {
      SchedTask *task = g_ptr_array_index (worker->tasks, i);
      if (task->part->step->fills && task->pace == 0
          && (task->part->step->saves || task->percent < WASTE_PERCENT)
          && sched_has_place (sched, task))
        sched_order_stop (sched, task, "tail_over_target");
    }
}

static SchedTask *
slowest_fill (const SchedWorker *worker)
{
  SchedTask *slowest = NULL;

  for (guint i = 0; i < worker->tasks->len; i++)
    {
      SchedTask *task = g_ptr_array_index (worker->tasks, i);
      if (task->part->step->fills && !task->is_stopping && task->pace < SCHED_FULL_PACE
          && (slowest == NULL || task->pace < slowest->pace))
        slowest = task;
    }
  return slowest;
}

/* Raises the CPU limit of the most throttled task as far as the serving tasks' headroom allows. */
static void
restore_pace (Sched *sched, SchedWorker *worker)
{
  SchedTask *task = slowest_fill (worker);

  if (task == NULL)
    return;
  uint32_t pace = MIN (task->pace + PACE_RISE, SCHED_FULL_PACE);
  while (pace > task->pace
         && sched_tails_room (worker, task, sched_tails_share (worker, task, pace - task->pace))
                < HEADROOM_UP)
    pace -= MIN (PACE_STEP, pace);
  if (pace <= task->pace || pace < PACE_LEAST)
    return;
  worker->pace_us = sched->now_us;
  sched_order_pace (sched, task, pace);
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

static void
adjust_paces (Sched *sched, SchedWorker *worker)
{
  int64_t since_ms = (sched->now_us - worker->pace_us) / 1000;
  const SchedTask *harmed = worst_harmed (worker);

  if (harmed != NULL && since_ms >= PACE_DOWN_MS)
    slow_fills (sched, worker, harmed);
  else if (harmed == NULL && since_ms >= PACE_UP_MS)
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
