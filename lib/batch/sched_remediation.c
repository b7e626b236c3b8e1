/* Remediation: stalled tasks, broken gangs, serving tasks over their target latency. */
#include "batch/sched_tables.h"
#include "common/clk.h"

/** A task without progress for this long is stalled. */
#define STALL_MS 2500
/** The same limit for best-effort tasks, which share processors and may be slow for longer. */
#define STALL_BEST_EFFORT_MS 6000
/** Workers list progress in whole percents. A task whose percents are expected to take longer is
 * stalled only after the expected time of so many of them, up to a limit: estimates are rough. */
#define STALL_PERCENTS 2
#define STALL_MAX_MS 60000
/** CPU limits are multiples of this, in percent; limits below the minimum become 0. */
#define LIMIT_STEP 10
#define LIMIT_LEAST 20
/** Largest increase of a CPU limit in one step, in percent. */
#define LIMIT_RISE 60
/** Least interval between two changes. The model includes limits that were ordered but have no
 * effect on the tails yet, so a decrease does not wait for the effect of the previous one. */
#define LIMIT_DOWN_MS 100
#define LIMIT_UP_MS 300
/** Best-effort tasks are throttled once a serving task's headroom is below HEADROOM_FROM, until it
 * is predicted to reach HEADROOM_GOAL. Their limits are raised while that leaves HEADROOM_UP. */
#define HEADROOM_FROM 1.05
#define HEADROOM_GOAL 1.2
#define HEADROOM_UP 1.15
/** Best-effort tasks that reduce a headroom by less than this in total are not the cause of a tail
 * over target. */
#define CAUSE_IMPACT_MIN 0.08
/** A tail that is over its target for this long is attributed to all best-effort tasks of the
 * worker, whatever the model predicts. Half of the allowed time over target, less two report
 * intervals.
 */
#define OVER_TARGET_MAX_MS 1200
/** A task without checkpoints is stopped only below this progress, in percent. */
#define WASTE_PERCENT 25

/* Time that the task is expected to take for STALL_PERCENTS. */
static int64_t
expected_stall_ms (const Sched *sched, const SchedTask *task)
{
  const SchedStage *stage = task->stage;
  int64_t expected_ms = sched_expected_ms (sched, stage->job, stage->step, stage);

  return MIN (MAX (expected_ms, stage->step->estimate_ms) * STALL_PERCENTS / 100, STALL_MAX_MS);
}

static gboolean
is_stalled (const Sched *sched, const SchedTask *task)
{
  const JobStep *step = task->stage->step;
  int64_t limit_ms = step->is_best_effort ? STALL_BEST_EFFORT_MS : STALL_MS;

  /* The end of the task may not be listed yet. */
  if (task->worker->has_more_ends)
    return FALSE;
  if (task->is_starting || task->is_stopping || task->cpu_limit < SCHED_CPU_LIMIT_NONE)
    return FALSE;
  if (step->is_continuous && task->percent >= 100)
    return FALSE;
  if (!step->is_continuous)
    limit_ms = MAX (limit_ms, expected_stall_ms (sched, task));
  /* Members of a gang wait for each other before they make progress. */
  if (step->is_gang)
    limit_ms += sched->options.gang_timeout_ms;
  /* Nothing is known of its progress after the newest look that was answered. */
  return task->worker->measured_us - task->percent_us > limit_ms * CLK_US_PER_MS;
}

static void
stop_stalled (Sched *sched, SchedWorker *worker)
{
  uint32_t n_stalled = 0;

  for (guint i = 0; i < worker->tasks->len; i++)
    {
      SchedTask *task = g_ptr_array_index (worker->tasks, i);
      if (!is_stalled (sched, task))
        continue;
      n_stalled++;
      task->avoid = worker;
      sched_order_stop (sched, task, "stalled");
    }
  if (n_stalled > 0 && sched->now_us >= worker->quarantine_until_us)
    sched_quarantine_worker (sched, worker, "stalled");
}

/* A gang that lost a member cannot continue: its other members are stopped, and all start again. */
static void
stop_broken_gangs (Sched *sched, SchedWorker *worker)
{
  for (guint i = 0; i < worker->tasks->len; i++)
    {
      SchedTask *task = g_ptr_array_index (worker->tasks, i);
      if (task->stage->step->is_gang && task->stage->n_waiting > 0)
        sched_order_stop (sched, task, "gang_broken");
    }
}

static gboolean
is_long_over (const Sched *sched, const SchedTask *serving)
{
  return serving->over_us != 0 && sched->now_us - serving->over_us >= OVER_TARGET_MAX_MS * 1000;
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
  worker->is_over_target = FALSE;
  for (guint i = 0; i < worker->tasks->len && worker->n_serving > 0; i++)
    {
      SchedTask *task = g_ptr_array_index (worker->tasks, i);
      if (!sched_is_serving (task))
        continue;
      if (!is_over (task))
        task->over_us = 0;
      else if (task->over_us == 0)
        task->over_us = sched->now_us;
      worker->is_over_target |= is_long_over (sched, task);
    }
}

/* Returns the serving task with the least headroom below HEADROOM_FROM to which best-effort tasks
 * contribute, or NULL. */
static SchedTask *
worst_affected (const SchedWorker *worker)
{
  SchedTask *worst = NULL;
  double least = HEADROOM_FROM;

  for (guint i = 0; i < worker->tasks->len; i++)
    {
      SchedTask *task = g_ptr_array_index (worker->tasks, i);
      if (!sched_is_serving (task) || sched_headroom (task) <= 0)
        continue;
      double headroom = sched_tails_headroom_now (worker, task);
      if (headroom < least && sched_tails_total_impact (worker, task) >= CAUSE_IMPACT_MIN)
        {
          worst = task;
          least = headroom;
        }
    }
  return worst;
}

static SchedTask *
largest_impact (const SchedWorker *worker, const SchedTask *serving)
{
  SchedTask *largest = NULL;
  double most = 0;

  for (guint i = 0; i < worker->tasks->len; i++)
    {
      SchedTask *task = g_ptr_array_index (worker->tasks, i);
      if (!task->stage->step->is_best_effort || task->is_stopping || task->cpu_limit == 0)
        continue;
      double impact = sched_tails_impact (worker, serving, task);
      if (largest == NULL || impact > most)
        {
          largest = task;
          most = impact;
        }
    }
  return largest;
}

/* CPU limit at which a task reduces the headroom by @p cut less. */
static uint32_t
limit_after_cut (const SchedTask *task, double impact, double cut)
{
  if (impact <= cut)
    return 0;
  uint32_t limit = (uint32_t) ((double) task->cpu_limit * (impact - cut) / impact);
  limit -= limit % LIMIT_STEP;
  return limit >= LIMIT_LEAST ? limit : 0;
}

/* Throttles the tasks with the largest impact until the predicted headroom is sufficient. */
static void
throttle_best_effort (Sched *sched, SchedWorker *worker, const SchedTask *serving)
{
  double missing = HEADROOM_GOAL - sched_tails_headroom_now (worker, serving);
  SchedTask *task = NULL;

  worker->cpu_limit_us = sched->now_us;
  while (missing > 0 && (task = largest_impact (worker, serving)) != NULL)
    {
      double impact = sched_tails_impact (worker, serving, task);
      sched_order_cpu_limit (sched, task, limit_after_cut (task, impact, missing));
      missing -= impact - sched_tails_impact (worker, serving, task);
    }
}

/* Stops tasks whose CPU limit is 0 and that lose little work, so that they continue elsewhere. */
static void
stop_paused (Sched *sched, SchedWorker *worker)
{
  for (guint i = 0; i < worker->tasks->len; i++)
    {
      SchedTask *task = g_ptr_array_index (worker->tasks, i);
      if (task->stage->step->is_best_effort && task->cpu_limit == 0
          && (task->stage->step->has_checkpoints || task->percent < WASTE_PERCENT)
          && sched_has_other_worker (sched, task))
        sched_order_stop (sched, task, "tail_over_target");
    }
}

static SchedTask *
most_throttled (const SchedWorker *worker)
{
  SchedTask *lowest = NULL;

  for (guint i = 0; i < worker->tasks->len; i++)
    {
      SchedTask *task = g_ptr_array_index (worker->tasks, i);
      if (task->stage->step->is_best_effort && !task->is_stopping
          && task->cpu_limit < SCHED_CPU_LIMIT_NONE
          && (lowest == NULL || task->cpu_limit < lowest->cpu_limit))
        lowest = task;
    }
  return lowest;
}

/* Raises the CPU limit of the most throttled task as far as the serving tasks' headroom allows. */
static void
raise_limit (Sched *sched, SchedWorker *worker)
{
  SchedTask *task = most_throttled (worker);

  if (task == NULL)
    return;
  uint32_t limit = MIN (task->cpu_limit + LIMIT_RISE, SCHED_CPU_LIMIT_NONE);
  while (limit > task->cpu_limit
         && sched_tails_headroom_with (worker, task,
                                       sched_tails_share (worker, task, limit - task->cpu_limit))
                < HEADROOM_UP)
    limit -= MIN (LIMIT_STEP, limit);
  if (limit <= task->cpu_limit || limit < LIMIT_LEAST)
    return;
  worker->cpu_limit_us = sched->now_us;
  sched_order_cpu_limit (sched, task, limit);
}

static void
pause_best_effort (Sched *sched, SchedWorker *worker)
{
  for (guint i = 0; i < worker->tasks->len; i++)
    {
      SchedTask *task = g_ptr_array_index (worker->tasks, i);
      if (task->stage->step->is_best_effort && !task->is_stopping)
        sched_order_cpu_limit (sched, task, 0);
    }
}

static void
adjust_limits (Sched *sched, SchedWorker *worker)
{
  int64_t since_ms = (sched->now_us - worker->cpu_limit_us) / 1000;
  const SchedTask *affected = worst_affected (worker);

  if (affected != NULL && since_ms >= LIMIT_DOWN_MS)
    throttle_best_effort (sched, worker, affected);
  else if (affected == NULL && since_ms >= LIMIT_UP_MS)
    raise_limit (sched, worker);
}

static void
protect_serving (Sched *sched, SchedWorker *worker)
{
  watch_tails (sched, worker);
  if (worker->best_effort_cpu_m == 0)
    return;
  if (worker->is_over_target)
    pause_best_effort (sched, worker);
  else
    adjust_limits (sched, worker);
  stop_paused (sched, worker);
}

void
sched_remediate (Sched *sched)
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
