/* Choice of a worker for each task that may start. */
#include <string.h>

#include "batch/sched_tables.h"

/** Cost terms of a placement, in thousandths of a core; the worker with the least cost is chosen.
 */
#define COST_OTHER_RACK 20000
#define COST_SERVING_BESIDE_BEST_EFFORT 8000
#define COST_SERVING_ALONE 40000
#define COST_AVOIDED 50000
/** For a suspect: each task that its worker would lose, and each serving one besides. */
#define COST_LOST_WITH_IT 2000
#define COST_SERVING_LOST 4000
/** Multiplied by the share of a serving task's spare headroom that the placement would use up. */
#define COST_HEADROOM 100000
#define COST_FULL 30000
#define COST_FREE 8000
/** Run numbers of a task in one term. The runs of a term are higher than those of earlier terms. */
#define RUNS_PER_TERM 1000
/** See SCHED_STARVED_MS. */
#define STARVED_USED_PERCENT 60
/** Tasks that such a stage has running: with only one there would be gaps between two tasks. */
#define STARVED_TASKS 2

static int64_t
cost_of_headroom (SchedWorker *worker, const SchedTask *task)
{
  return (int64_t) (COST_HEADROOM * sched_tails_headroom_use (worker, task));
}

static int64_t
cost_of_crash (const SchedWorker *worker)
{
  return (int64_t) worker->tasks->len * COST_LOST_WITH_IT
         + (int64_t) worker->n_serving * COST_SERVING_LOST;
}

int64_t
sched_cost (SchedWorker *worker, const SchedTask *task)
{
  const JobStep *step = task->stage->step;
  int64_t cost = 0;

  if (step->rack != NULL && !sched_has_label (worker->info, step->rack))
    cost += COST_OTHER_RACK;
  if (task->avoid == worker)
    cost += COST_AVOIDED;
  if (sched_is_suspect (task))
    cost += cost_of_crash (worker);
  if (sched_has_crashed_under (worker, task))
    cost += COST_AVOIDED;
  if (step->is_best_effort)
    {
      cost += COST_FULL * (worker->used.cpu_m + worker->best_effort_cpu_m)
              / MAX (worker->info->capacity.cpu_m, 1);
      cost += worker->n_serving > 0 ? cost_of_headroom (worker, task) : COST_FREE;
    }
  else if (step->is_continuous)
    {
      /* Serving tasks are packed, so that other workers are left to best-effort tasks. */
      cost += worker->best_effort_cpu_m > 0
                  ? COST_SERVING_BESIDE_BEST_EFFORT + worker->best_effort_cpu_m
                  : 0;
      cost += worker->n_serving == 0 ? COST_SERVING_ALONE : 0;
      /* Tightest fit first: gaps that no further task fits would cost whole workers. */
      cost += worker->info->capacity.cpu_m - worker->used.cpu_m;
    }
  else
    {
      cost += worker->used.cpu_m + worker->best_effort_cpu_m;
      cost -= worker->n_serving > 0 ? COST_SERVING_BESIDE_BEST_EFFORT : 0;
    }
  return cost;
}

/* Returns the worker with the least cost, or NULL; then the stage has what its task waits for. */
static SchedWorker *
choose_worker (const GPtrArray *workers, const SchedTask *task, gboolean is_starved)
{
  SchedWorker *best = NULL;
  int64_t best_cost = 0;
  SchedWait nearest = SCHED_WAIT_WORKER;

  for (guint i = 0; i < workers->len; i++)
    {
      SchedWorker *worker = g_ptr_array_index (workers, i);
      SchedWait wait = sched_admit (worker, task, is_starved);
      if (wait != SCHED_WAIT_NONE)
        {
          nearest = MAX (nearest, wait);
          continue;
        }
      if (!is_starved && sched_is_held (worker, task))
        {
          nearest = MAX (nearest, SCHED_WAIT_RESERVATION);
          continue;
        }
      int64_t cost = sched_cost (worker, task);
      if (best == NULL || cost < best_cost)
        {
          best = worker;
          best_cost = cost;
        }
    }
  task->stage->waits_for = best == NULL ? nearest : SCHED_WAIT_NONE;
  return best;
}

int64_t
sched_next_run (const Sched *sched, const SchedTask *task)
{
  int64_t first = (int64_t) (sched->term - 1) * RUNS_PER_TERM + 1;

  return MAX (task->run + 1, first);
}

/* Tries the task alone if that is possible; returns whether it may run beside others. */
static gboolean
may_share (Sched *sched, const GPtrArray *workers, SchedTask *task)
{
  return sched_start_trial (sched, workers, task) == SCHED_TRIAL_IMPOSSIBLE;
}

static void
place_stage (Sched *sched, const GPtrArray *workers, SchedStage *stage)
{
  for (uint32_t i = 0;
       i < stage->step->n_tasks && stage->n_waiting > 0 && sched_job_is_open (stage->job); i++)
    {
      SchedTask *task = &stage->tasks[i];
      if (task->state != TASK_WAITING)
        continue;
      if (sched_needs_trial (task) && !may_share (sched, workers, task))
        continue;
      SchedWorker *worker = choose_worker (workers, task, FALSE);
      if (worker == NULL && sched_is_suspect (task))
        {
          task->kept_us = task->kept_us != 0 ? task->kept_us : sched->now_us;
          continue;
        }
      if (worker == NULL)
        return;
      task->run = sched_next_run (sched, task);
      sched_note_gap_start (worker, task);
      sched_order_start (sched, worker, task);
    }
}

static void
undo_gang (SchedStage *stage)
{
  for (uint32_t i = 0; i < stage->step->n_tasks; i++)
    {
      if (stage->tasks[i].state == TASK_PLACED)
        sched_detach (&stage->tasks[i], TASK_WAITING);
    }
}

/* Places all members or none; they share one run number and one checkpoint. Returns whether they
 * were placed. */
static gboolean
place_gang (Sched *sched, const GPtrArray *workers, SchedStage *stage, gboolean is_starved)
{
  uint32_t n_tasks = stage->step->n_tasks;
  g_autoptr (GPtrArray) chosen = g_ptr_array_new ();
  int64_t run = 0;

  if (stage->n_waiting < n_tasks)
    return FALSE;
  for (uint32_t i = 0; i < n_tasks; i++)
    {
      SchedWorker *worker = choose_worker (workers, &stage->tasks[i], is_starved);
      if (worker == NULL)
        {
          undo_gang (stage);
          return FALSE;
        }
      run = MAX (run, sched_next_run (sched, &stage->tasks[i]));
      sched_note_gap_start (worker, &stage->tasks[i]);
      sched_attach (worker, &stage->tasks[i], sched->now_us);
      g_ptr_array_add (chosen, worker);
    }
  undo_gang (stage);
  g_autofree char *checkpoint = g_strdup (stage->tasks[0].checkpoint);
  for (uint32_t i = 0; i < n_tasks; i++)
    {
      SchedTask *task = &stage->tasks[i];
      task->run = run;
      g_free (task->checkpoint);
      task->checkpoint = g_strdup (checkpoint);
      sched_order_start (sched, g_ptr_array_index (chosen, i), task);
    }
  return TRUE;
}

static uint32_t
count_running (const SchedStage *stage)
{
  uint32_t n_placed = 0;

  for (uint32_t i = 0; i < stage->step->n_tasks; i++)
    n_placed += stage->tasks[i].state == TASK_PLACED && !stage->tasks[i].is_stopping;
  return n_placed;
}

gboolean
sched_is_mostly_free (const GPtrArray *workers, const char *service)
{
  int64_t used_m = 0;
  int64_t capacity_m = 0;

  for (guint i = 0; i < workers->len; i++)
    {
      const SchedWorker *worker = g_ptr_array_index (workers, i);
      if (strcmp (worker->info->service, service) != 0)
        continue;
      used_m += worker->used.cpu_m;
      capacity_m += worker->info->capacity.cpu_m;
    }
  return used_m * 100 < capacity_m * STARVED_USED_PERCENT;
}

SchedTask *
sched_first_waiting (const SchedStage *stage)
{
  uint32_t index = 0;

  while (stage->tasks[index].state != TASK_WAITING)
    index++;
  return &stage->tasks[index];
}

static void
note_starved (Sched *sched, const SchedStage *stage)
{
  sched_note (sched, "starved", stage->job->id, "ready_ms=%" G_GINT64_FORMAT,
              (sched->now_us - stage->ready_us) / 1000);
}

static void
start_starved (Sched *sched, const GPtrArray *workers, SchedStage *stage)
{
  SchedTask *task = sched_first_waiting (stage);
  SchedWorker *worker = sched_needs_trial (task) ? NULL : choose_worker (workers, task, TRUE);
  if (worker == NULL)
    return;
  task->run = sched_next_run (sched, task);
  note_starved (sched, stage);
  sched_note_gap_start (worker, task);
  sched_order_start (sched, worker, task);
}

static void
check_starved (Sched *sched, const GPtrArray *workers, SchedStage *stage)
{
  if (stage->ready_us == 0)
    stage->ready_us = sched->now_us;
  if (stage->n_waiting == 0 || sched->now_us - stage->ready_us < SCHED_STARVED_MS * 1000
      || !sched_is_mostly_free (workers, stage->job->queue->service))
    return;
  if (!stage->step->is_gang && count_running (stage) < STARVED_TASKS)
    start_starved (sched, workers, stage);
  /* Members of a best-effort gang would all start at once beside serving tasks. */
  else if (stage->step->is_gang && !stage->step->is_best_effort
           && place_gang (sched, workers, stage, TRUE))
    note_starved (sched, stage);
}

static GPtrArray *
accepting_workers (Sched *sched)
{
  GPtrArray *workers = g_ptr_array_new ();
  GHashTableIter iter;
  gpointer value = NULL;

  g_hash_table_iter_init (&iter, sched->workers);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      if (sched_worker_refusal (sched, value) == SCHED_ACCEPTS)
        g_ptr_array_add (workers, value);
    }
  return workers;
}

gboolean
sched_has_other_worker (Sched *sched, const SchedTask *task)
{
  g_autoptr (GPtrArray) workers = accepting_workers (sched);

  (void) g_ptr_array_remove_fast (workers, task->worker);
  return choose_worker (workers, task, FALSE) != NULL;
}

uint32_t
sched_place (Sched *sched)
{
  uint32_t n_left = 0;
  g_autoptr (GArray) ready_stages = sched_ready_stages (sched);
  g_autoptr (GPtrArray) workers = accepting_workers (sched);
  sched->pass++;
  SchedPreemption *preemption = sched_preemption_new (sched, workers);
  SchedGaps *gaps = sched_gaps_new (sched, workers);

  for (guint i = 0; i < ready_stages->len; i++)
    {
      const SchedReadyStage *ready_stage = &g_array_index (ready_stages, SchedReadyStage, i);
      SchedStage *stage = ready_stage->stage;
      /* A task that was given up in this pass may have ended the job. */
      if (!sched_job_is_open (stage->job))
        continue;
      if (stage->step->is_gang)
        (void) place_gang (sched, workers, stage, FALSE);
      else
        place_stage (sched, workers, stage);
      if (!sched_job_is_open (stage->job))
        continue;
      if (stage->waits_for == SCHED_WAIT_HEADROOM
          && !sched_is_mostly_free (workers, stage->job->queue->service))
        sched_preempt (preemption, ready_stage);
      check_starved (sched, workers, stage);
      sched_reserve_gap (gaps, stage);
      sched_plan_note_waiting (sched, stage);
      sched_note_share_left (sched, stage);
      sched_count_waiting (sched, stage);
      n_left += stage->n_waiting;
    }
  sched_count_shares (sched);
  sched_gaps_free (gaps);
  sched_preemption_free (preemption);
  return n_left;
}
