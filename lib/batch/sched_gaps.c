/*
 * Reservations for large tasks. The first stage of a service and priority that waits for processors
 * or memory reserves the worker where its next task is expected to fit soonest; tasks that come
 * later in the pass start there only if they do not delay it.
 */
#include <string.h>

#include "batch/sched_tables.h"
#include "common/clk.h"

/** A task that is expected to fit later than this gets no reservation: over longer times, estimates
 * say little, and a worker would be kept partly idle for long. */
#define AHEAD_MAX_MS 2000
/** A reservation lasts for this percentage of the expected wait, and a few report intervals. */
#define BOUND_PERCENT 150
#define BOUND_MARGIN_MS 300
/** Longest reservation: jobs with a task that may start must not wait for longer than this. */
#define BOUND_MAX_MS 3000
/** A search goes over all tasks of all workers, so the scheduler makes one in this time, and none
 * again for a stage for which no worker was found until the pause is over. */
#define SEARCH_EVERY_MS 100
#define SEARCH_PAUSE_MS 500
/** A task is large if it needs one in this many of a worker's processors or of its memory. Smaller
 * ones find room often enough. */
#define LARGE_DIVISOR 16
/** Reservations that hold in one pass, of all services and priorities. */
#define RESERVATIONS_MAX 8
/** A task that has been expected to end, or is being stopped, may be gone with the next report. */
#define END_MS 100

struct SchedGaps
{
  Sched *sched;
  const GPtrArray *workers;
  const SchedStage *stages[RESERVATIONS_MAX]; /**< with a reservation that holds */
  guint n_stages;
};

SchedGaps *
sched_gaps_new (Sched *sched, const GPtrArray *workers)
{
  SchedGaps *gaps = g_new0 (SchedGaps, 1);

  gaps->sched = sched;
  gaps->workers = workers;
  sched->are_holds_valid = TRUE;
  return gaps;
}

void
sched_gaps_free (SchedGaps *gaps)
{
  gaps->sched->are_holds_valid = FALSE;
  g_free (gaps);
}

static int64_t
expected_us (const Sched *sched, const SchedTask *task)
{
  const SchedStage *stage = task->stage;

  return sched_expected_ms (sched, stage->job, stage->step, stage) * CLK_US_PER_MS;
}

/* A task that takes longer than expected is expected to take as long again as it is late. */
int64_t
sched_expected_end_us (const Sched *sched, const SchedTask *task)
{
  int64_t left_us = task->placed_us + expected_us (sched, task) - sched->now_us;

  if (task->is_stopping || task->is_done_elsewhere)
    left_us = 0;
  return sched->now_us + MAX (ABS (left_us), END_MS * CLK_US_PER_MS);
}

gboolean
sched_fit_on (
    const Sched *sched, SchedWorker *worker, const SchedTask *task, int64_t until_us, GapsFit *fit)
{
  gboolean is_best_effort = task->stage->step->is_best_effort;
  g_autofree GapsEnd *ends = g_new (GapsEnd, worker->tasks->len + 1);
  GapsWorker gaps_worker = { .free = sched_free_for (worker, task->stage), .ends = ends };
  const JobSize wanted = task->stage->step->size;

  for (guint i = 0; i < worker->tasks->len; i++)
    {
      const SchedTask *other = g_ptr_array_index (worker->tasks, i);
      if (other->stage->step->is_continuous && !other->is_stopping)
        continue;
      ends[gaps_worker.n_ends++] = (GapsEnd){ sched_size_for (other->stage->step, is_best_effort),
                                              sched_expected_end_us (sched, other) };
    }
  return gaps_fit (&gaps_worker, &wanted, sched->now_us, until_us, fit);
}

static gboolean
is_large_on (const SchedWorker *worker, const JobSize *size)
{
  const JobSize *capacity = &worker->info->capacity;

  return size->cpu_m >= capacity->cpu_m / LARGE_DIVISOR
         || size->mem_mb >= capacity->mem_mb / LARGE_DIVISOR || size->gpus > 0;
}

static gboolean
was_held (const Sched *sched, const SchedWorker *worker)
{
  return worker->hold.pass != 0 && worker->hold.pass + 1 >= sched->pass;
}

/* Whether the worker was kept for as long as one may be, perhaps for several stages in turn. */
static gboolean
is_held_for_long (const Sched *sched, const SchedWorker *worker)
{
  return was_held (sched, worker)
         && sched->now_us - worker->hold.since_us >= BOUND_MAX_MS * CLK_US_PER_MS;
}

/* Finds the worker where the task fits soonest; NULL if there is none, or nothing has to be kept
 * for it. */
static SchedWorker *
find_worker (SchedGaps *gaps, const SchedTask *task, GapsFit *fit)
{
  const Sched *sched = gaps->sched;
  int64_t until_us = sched->now_us + AHEAD_MAX_MS * CLK_US_PER_MS;
  SchedWorker *best = NULL;

  for (guint i = 0; i < gaps->workers->len; i++)
    {
      SchedWorker *worker = g_ptr_array_index (gaps->workers, i);
      GapsFit found;
      if (worker->gap_barred_until_us > sched->now_us || worker->hold.pass == sched->pass
          || is_held_for_long (sched, worker) || !is_large_on (worker, &task->stage->step->size)
          || !sched_may_admit_later (worker, task)
          || !sched_fit_on (sched, worker, task, until_us, &found) || found.at_us <= sched->now_us)
        continue;
      if (best == NULL || found.at_us < fit->at_us)
        {
          best = worker;
          *fit = found;
        }
    }
  return best != NULL && !fit->is_freed_at_once ? best : NULL;
}

static int64_t
age_ms (const Sched *sched, const SchedStage *stage)
{
  return (sched->now_us - stage->gap.since_us) / CLK_US_PER_MS;
}

static void
hold (SchedGaps *gaps, SchedWorker *worker, const SchedStage *stage, const GapsFit *fit)
{
  const Sched *sched = gaps->sched;
  int64_t since_us = was_held (sched, worker) ? worker->hold.since_us : sched->now_us;

  worker->hold = (SchedHold){ .pass = sched->pass,
                              .since_us = since_us,
                              .is_best_effort = stage->step->is_best_effort,
                              .fit = *fit };
  gaps->stages[gaps->n_stages++] = stage;
}

static void
reserve (SchedGaps *gaps, SchedStage *stage)
{
  Sched *sched = gaps->sched;
  GapsFit fit = { 0 };

  if (sched->gap_search_us > sched->now_us || stage->gap.search_us > sched->now_us)
    return;
  sched->gap_search_us = sched->now_us + SEARCH_EVERY_MS * CLK_US_PER_MS;
  SchedWorker *worker = find_worker (gaps, sched_first_waiting (stage), &fit);
  if (worker == NULL)
    {
      stage->gap.search_us = sched->now_us + SEARCH_PAUSE_MS * CLK_US_PER_MS;
      return;
    }
  int64_t wait_ms = (fit.at_us - sched->now_us) / CLK_US_PER_MS;
  stage->gap.worker = worker;
  stage->gap.since_us = sched->now_us;
  stage->gap.bound_ms = MIN (wait_ms * BOUND_PERCENT / 100 + BOUND_MARGIN_MS, BOUND_MAX_MS);
  sched_note (sched, "gap_reserved", stage->job->id,
              "step=%u worker=%s cpu_m=%" G_GINT64_FORMAT " mem_mb=%" G_GINT64_FORMAT
              " free_cpu_m=%" G_GINT64_FORMAT " expected_ms=%" G_GINT64_FORMAT
              " bound_ms=%" G_GINT64_FORMAT,
              stage->step_index, worker->name, stage->step->size.cpu_m, stage->step->size.mem_mb,
              sched_free_for (worker, stage).cpu_m, wait_ms, stage->gap.bound_ms);
  hold (gaps, worker, stage, &fit);
}

/* The worker of the reservation, if it still accepts tasks. The pointer in the stage may be that of
 * a worker that was removed. */
static SchedWorker *
reserved_worker (const SchedGaps *gaps, const SchedStage *stage)
{
  for (guint i = 0; i < gaps->workers->len; i++)
    {
      if (g_ptr_array_index (gaps->workers, i) == stage->gap.worker)
        return g_ptr_array_index (gaps->workers, i);
    }
  return NULL;
}

static void
drop (Sched *sched, SchedStage *stage, SchedWorker *worker, const char *reason)
{
  int64_t lasted_ms = MIN (age_ms (sched, stage), stage->gap.bound_ms);
  int64_t until_us = sched->now_us + lasted_ms * CLK_US_PER_MS;

  sched_note (sched, "gap_dropped", stage->job->id,
              "step=%u worker=%s reason=%s after_ms=%" G_GINT64_FORMAT
              " bound_ms=%" G_GINT64_FORMAT,
              stage->step_index, worker != NULL ? worker->name : "-", reason, age_ms (sched, stage),
              stage->gap.bound_ms);
  stage->gap.worker = NULL;
  stage->gap.search_us = until_us;
  if (worker != NULL)
    worker->gap_barred_until_us = until_us;
}

/* Keeps the worker for the stage in this pass, unless the reservation has lasted too long. */
static void
renew (SchedGaps *gaps, SchedStage *stage)
{
  Sched *sched = gaps->sched;
  SchedWorker *worker = reserved_worker (gaps, stage);
  const SchedTask *task = sched_first_waiting (stage);
  GapsFit fit;

  if (age_ms (sched, stage) >= stage->gap.bound_ms
      || (worker != NULL && is_held_for_long (sched, worker)))
    drop (sched, stage, worker, "bound");
  else if (worker == NULL || !sched_may_admit_later (worker, task)
           || !sched_fit_on (sched, worker, task, INT64_MAX, &fit))
    drop (sched, stage, worker, "worker");
  else if (worker->hold.pass != sched->pass)
    hold (gaps, worker, stage, &fit);
}

static gboolean
has_reservation (const SchedGaps *gaps, const SchedStage *stage)
{
  const Queue *queue = stage->job->queue;

  for (guint i = 0; i < gaps->n_stages; i++)
    {
      const Queue *other = gaps->stages[i]->job->queue;
      if (other->priority == queue->priority && strcmp (other->service, queue->service) == 0)
        return TRUE;
    }
  return FALSE;
}

static gboolean
may_reserve (const SchedGaps *gaps, const SchedStage *stage)
{
  return stage->n_waiting > 0 && !stage->step->is_gang
         && (stage->waits_for == SCHED_WAIT_PROCESSORS || stage->waits_for == SCHED_WAIT_MEMORY)
         && gaps->n_stages < RESERVATIONS_MAX && !has_reservation (gaps, stage)
         && !sched_is_suspect (sched_first_waiting (stage))
         && !sched_needs_trial (sched_first_waiting (stage));
}

void
sched_reserve_gap (SchedGaps *gaps, SchedStage *stage)
{
  if (!gaps->sched->options.reserves_gaps || !may_reserve (gaps, stage)
      || sched_is_mostly_free (gaps->workers, stage->job->queue->service))
    return;
  if (stage->gap.worker != NULL)
    renew (gaps, stage);
  else
    reserve (gaps, stage);
}

gboolean
sched_is_held (const SchedWorker *worker, const SchedTask *task)
{
  return worker->sched->are_holds_valid && sched_was_held (worker, task);
}

gboolean
sched_was_held (const SchedWorker *worker, const SchedTask *task)
{
  const Sched *sched = worker->sched;
  const SchedHold *hold = &worker->hold;

  if (hold->pass != sched->pass || hold->pass == 0)
    return FALSE;
  JobSize size = sched_size_for (task->stage->step, hold->is_best_effort);
  int64_t end_us
      = task->stage->step->is_continuous ? INT64_MAX : sched->now_us + expected_us (sched, task);
  return gaps_delays (&hold->fit, &size, end_us);
}

void
sched_note_gap_start (SchedWorker *worker, const SchedTask *task)
{
  Sched *sched = worker->sched;
  SchedStage *stage = task->stage;
  SchedHold *hold = &worker->hold;

  if (stage->gap.worker != NULL)
    {
      sched_note (sched, "gap_used", stage->job->id,
                  "step=%u worker=%s reserved_here=%d after_ms=%" G_GINT64_FORMAT
                  " bound_ms=%" G_GINT64_FORMAT,
                  stage->step_index, worker->name, worker == stage->gap.worker,
                  age_ms (sched, stage), stage->gap.bound_ms);
      if (worker == stage->gap.worker)
        hold->since_us = sched->now_us;
      stage->gap.worker = NULL;
    }
  if (!sched->are_holds_valid || hold->pass != sched->pass)
    return;
  JobSize size = sched_size_for (stage->step, hold->is_best_effort);
  gaps_take (&hold->fit, &size,
             stage->step->is_continuous ? INT64_MAX : sched->now_us + expected_us (sched, task));
}
