/*
 * Preemption among best-effort tasks. Where serving tasks leave little headroom, the tasks of a
 * wide job hold it for seconds, and jobs that need a fraction of it are late. Tasks with
 * checkpoints give way to those of jobs that come no later and have at most two thirds of the work
 * left.
 */
#include "batch/sched_tables.h"
#include "common/clk.h"

/** Tasks that are stopped in one pass. */
#define STOPS_MAX 20
/** Pairs of a running and a waiting task that are compared in one pass. */
#define TRIES_MAX 2000
/** A job gives way only if it has this many times the work left. So two jobs cannot stop each
 * other's tasks in turn. */
#define WORK_FACTOR 1.5
/** A task that has come further than this, in percent, is left to end. */
#define PERCENT_MAX 70
/** Added to the progress of a task, in percent, when candidates are compared: how much a task that
 * has just begun is preferred. */
#define PROGRESS_OFFSET 20.0
/** Time in which stops ordered for a stage take effect. */
#define EFFECT_MS 300
/** Preference for tasks whose jobs are late, as a multiple of the work. */
#define LATE_FACTOR 2.0

/** A running task that may give way. */
typedef struct
{
  SchedTask *task;
  SchedReadyStage place; /**< dispatch order of its stage */
  double score;          /**< those with the highest score give way first */
} Candidate;

struct SchedPreemption
{
  Sched *sched;
  const GPtrArray *workers;
  GArray *candidates; /**< Candidate, best first; NULL until it is needed */
  uint32_t n_stops;
  uint32_t n_tries;
};

SchedPreemption *
sched_preemption_new (Sched *sched, const GPtrArray *workers)
{
  SchedPreemption *preemption = g_new0 (SchedPreemption, 1);

  preemption->sched = sched;
  preemption->workers = workers;
  return preemption;
}

void
sched_preemption_free (SchedPreemption *preemption)
{
  g_clear_pointer (&preemption->candidates, g_array_unref);
  g_free (preemption);
}

static gboolean
has_stopping_task (const SchedWorker *worker)
{
  for (guint i = 0; i < worker->tasks->len; i++)
    {
      if (((SchedTask *) g_ptr_array_index (worker->tasks, i))->is_stopping)
        return TRUE;
    }
  return FALSE;
}

static gboolean
may_give_way (const Sched *sched, const SchedTask *task)
{
  const JobStep *step = task->stage->step;

  return step->is_best_effort && step->has_checkpoints && !step->is_gang && !task->is_starting
         && !task->is_done_elsewhere && task->percent <= PERCENT_MAX
         && sched_has_terms (sched, task->stage->job);
}

static void
add_candidates (SchedPreemption *preemption, const SchedWorker *worker)
{
  for (guint i = 0; i < worker->tasks->len; i++)
    {
      SchedTask *task = g_ptr_array_index (worker->tasks, i);
      if (!may_give_way (preemption->sched, task))
        continue;
      Candidate row = { task, sched_ready_stage (preemption->sched, task->stage), 0 };
      double lateness = row.place.rank >= SCHED_RANK_LATE ? LATE_FACTOR : 1.0;
      row.score = row.place.work * lateness / (PROGRESS_OFFSET + (double) task->percent);
      g_array_append_val (preemption->candidates, row);
    }
}

static gint
compare_candidates (gconstpointer a, gconstpointer b)
{
  const Candidate *left = a;
  const Candidate *right = b;

  return left->score > right->score ? -1 : left->score < right->score;
}

static void
find_candidates (SchedPreemption *preemption)
{
  preemption->candidates = g_array_new (FALSE, FALSE, sizeof (Candidate));
  for (guint i = 0; i < preemption->workers->len; i++)
    {
      const SchedWorker *worker = g_ptr_array_index (preemption->workers, i);
      if (!worker->is_over_target && worker->best_effort_cpu_m > 0)
        add_candidates (preemption, worker);
    }
  g_array_sort (preemption->candidates, compare_candidates);
}

/* Whether a measured impact of the image keeps the task from some worker. Impacts that are only
 * assumed are no reason to stop anything. */
static gboolean
is_kept_off (const SchedPreemption *preemption, const SchedTask *waiting)
{
  for (guint i = 0; i < preemption->workers->len; i++)
    {
      SchedWorker *worker = g_ptr_array_index (preemption->workers, i);
      if (worker->n_serving > 0 && sched_tails_is_impact_known (worker, waiting)
          && sched_admit (worker, waiting, FALSE) == SCHED_WAIT_HEADROOM)
        return TRUE;
    }
  return FALSE;
}

static gboolean
comes_later (const Candidate *row, const SchedReadyStage *waiting)
{
  const SchedReadyStage *place = &row->place;

  return place->priority >= waiting->priority && place->rank >= waiting->rank
         && (place->exceeds_share || !waiting->exceeds_share)
         && place->work >= WORK_FACTOR * waiting->work;
}

/* Stops one task so that the waiting one fits where it ran; FALSE if there is none. */
static gboolean
stop_one (SchedPreemption *preemption, const SchedReadyStage *waiting, const SchedTask *task)
{
  for (guint i = 0; i < preemption->candidates->len && preemption->n_tries < TRIES_MAX; i++)
    {
      const Candidate *row = &g_array_index (preemption->candidates, Candidate, i);
      if (!comes_later (row, waiting))
        continue;
      preemption->n_tries++;
      if (has_stopping_task (row->task->worker)
          || !sched_fits_instead (row->task->worker, task, row->task))
        continue;
      sched_order_stop (preemption->sched, row->task, "preempted");
      sched_find_stage (row->task->stage->job, row->task->stage->occurrence, 0)->n_preempted++;
      preemption->n_stops++;
      return TRUE;
    }
  return FALSE;
}

static gboolean
may_preempt (const SchedPreemption *preemption, const SchedReadyStage *waiting)
{
  const SchedStage *stage = waiting->stage;

  return stage->step->is_best_effort && !stage->step->is_gang && stage->n_waiting > 0
         && stage->waits_for == SCHED_WAIT_HEADROOM && waiting->rank <= SCHED_RANK_IN_TIME
         && preemption->sched->now_us >= stage->preempted_us + EFFECT_MS * CLK_US_PER_MS
         && is_kept_off (preemption, sched_first_waiting (stage));
}

void
sched_preempt (SchedPreemption *preemption, const SchedReadyStage *waiting)
{
  SchedStage *stage = waiting->stage;

  if (preemption->n_stops >= STOPS_MAX || preemption->n_tries >= TRIES_MAX
      || !may_preempt (preemption, waiting))
    return;
  if (preemption->candidates == NULL)
    find_candidates (preemption);
  uint32_t n_most = MIN (stage->n_waiting, STOPS_MAX - preemption->n_stops);
  for (uint32_t i = 0; i < n_most && stop_one (preemption, waiting, sched_first_waiting (stage));
       i++)
    stage->preempted_us = preemption->sched->now_us;
}
