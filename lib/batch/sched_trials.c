/*
 * Two suspects are kept on different workers. Trials: a task that has been in several crashes runs
 * alone on a worker, so that another crash shows that it is to blame and takes nothing else with
 * it. An empty worker is used at once; one worker of a service at a time is kept free of new tasks
 * until it is empty.
 */
#include <string.h>

#include "batch/sched_tables.h"
#include "common/clk.h"

/** Trials of a service may use one in this many of its workers, and at least one. */
#define TRIALS_DIVISOR 4
/** A suspect waits this long for a worker without another suspect; a serving one less, since its
 * users wait as well. */
#define APART_MAX_MS 6000
#define APART_SERVING_MAX_MS 1500
/** A task waits this long for a worker where it is tried alone; then it runs beside others. Workers
 * may have tasks that run for minutes, and are not empty before those end. */
#define TRIAL_WAIT_MAX_MS 10000
/** For so long it waits for a worker that has not crashed lately, while another one is empty. */
#define TRIAL_CALM_WAIT_MAX_MS 3000

static gboolean
is_reserved (const Sched *sched, const SchedWorker *worker)
{
  return worker->reserved_pass != 0 && worker->reserved_pass + 1 >= sched->pass;
}

static gboolean
has_waited_ms (const Sched *sched, const SchedTask *task, int64_t most_ms)
{
  return task->kept_us != 0 && sched->now_us - task->kept_us > most_ms * CLK_US_PER_MS;
}

/* A task must not wait for long because of others that may be to blame. */
static gboolean
has_waited_long (const Sched *sched, const SchedTask *task)
{
  int64_t most_ms = task->stage->step->is_continuous ? APART_SERVING_MAX_MS : APART_MAX_MS;

  return has_waited_ms (sched, task, most_ms);
}

gboolean
sched_is_guarded (const SchedWorker *worker, const SchedTask *task)
{
  if (is_reserved (worker->sched, worker))
    return TRUE;
  if (!worker->has_suspect)
    return FALSE;
  gboolean is_kept_apart = sched_is_suspect (task) && !has_waited_long (worker->sched, task);
  for (guint i = 0; i < worker->tasks->len; i++)
    {
      const SchedTask *other = g_ptr_array_index (worker->tasks, i);
      if (sched_is_on_trial (worker->sched, other) || (is_kept_apart && sched_is_suspect (other)))
        return TRUE;
    }
  return FALSE;
}

/** Workers of one service. */
typedef struct
{
  uint32_t n_workers;
  uint32_t n_trials;     /**< a trial runs there */
  SchedWorker *empty;    /**< admits the task, and runs nothing */
  SchedWorker *emptying; /**< kept free of new tasks, but not empty */
  SchedWorker *least;    /**< has the fewest tasks, and no serving ones */
} TrialWorkers;

static gboolean
fits_alone (const SchedWorker *worker, const JobStep *step)
{
  const JobSize *capacity = &worker->info->capacity;

  return step->size.cpu_m <= capacity->cpu_m && step->size.mem_mb <= capacity->mem_mb
         && step->size.gpus <= capacity->gpus
         && (step->label == NULL || sched_has_label (worker->info, step->label));
}

static void
consider (const Sched *sched, TrialWorkers *found, SchedWorker *worker, const SchedTask *task)
{
  gboolean is_kept = is_reserved (sched, worker);

  found->n_workers++;
  if (worker->tasks->len == 1 && sched_is_on_trial (sched, g_ptr_array_index (worker->tasks, 0)))
    {
      found->n_trials++;
      return;
    }
  if (!fits_alone (worker, task->stage->step) || worker->n_serving > 0)
    return;
  if (worker->tasks->len == 0)
    found->empty = found->empty == NULL || is_kept ? worker : found->empty;
  else if (is_kept)
    found->emptying = worker;
  else if (found->least == NULL || worker->tasks->len < found->least->tasks->len)
    found->least = worker;
}

/* Considers the workers that have crashed under the task or lately, or the others. */
static TrialWorkers
find_workers (const Sched *sched,
              const GPtrArray *workers,
              const SchedTask *task,
              gboolean are_calm)
{
  TrialWorkers found = { 0 };

  for (guint i = 0; i < workers->len; i++)
    {
      SchedWorker *worker = g_ptr_array_index (workers, i);
      if (strcmp (worker->info->service, task->stage->job->queue->service) == 0
          && sched_is_calm_worker (sched, worker, task) == are_calm)
        consider (sched, &found, worker, task);
    }
  return found;
}

static void
start (Sched *sched, SchedWorker *worker, SchedTask *task)
{
  task->run = sched_next_run (sched, task);
  worker->has_suspect = TRUE;
  sched_note (sched, "trial", task->stage->job->id, "task=%u.%u.%u worker=%s crashes=%u",
              task->stage->occurrence, task->stage->step_index, task->index, worker->name,
              task->crashes->len);
  sched_order_start (sched, worker, task);
}

static gboolean
has_any (const TrialWorkers *found)
{
  return found->empty != NULL || found->emptying != NULL || found->least != NULL;
}

SchedTrial
sched_start_trial (Sched *sched, const GPtrArray *workers, SchedTask *task)
{
  TrialWorkers calm = find_workers (sched, workers, task, TRUE);
  TrialWorkers others = find_workers (sched, workers, task, FALSE);
  uint32_t n_trials = calm.n_trials + others.n_trials;
  gboolean takes_calm
      = has_any (&calm)
        && (others.empty == NULL || !has_waited_ms (sched, task, TRIAL_CALM_WAIT_MAX_MS));
  TrialWorkers found = calm.empty != NULL || takes_calm ? calm : others;

  if ((n_trials == 0 && !has_any (&found)) || has_waited_ms (sched, task, TRIAL_WAIT_MAX_MS))
    return SCHED_TRIAL_IMPOSSIBLE;
  task->kept_us = task->kept_us != 0 ? task->kept_us : sched->now_us;
  if (n_trials >= MAX ((calm.n_workers + others.n_workers) / TRIALS_DIVISOR, 1))
    return SCHED_TRIAL_WAITS;
  if (found.empty != NULL)
    {
      start (sched, found.empty, task);
      return SCHED_TRIAL_STARTED;
    }
  if (found.emptying == NULL)
    found.emptying = found.least;
  if (found.emptying != NULL)
    found.emptying->reserved_pass = sched->pass;
  return SCHED_TRIAL_WAITS;
}
