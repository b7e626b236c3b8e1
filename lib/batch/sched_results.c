/* Results of occurrences: whether they were of use to their callers, by size. */
#include "batch/sched_tables.h"

/** What an occurrence was worth to its caller. */
typedef enum
{
  OUTCOME_IN_TIME,
  OUTCOME_LATE,
  OUTCOME_EXPIRED, /**< it is too late to be of use, done or not */
  OUTCOME_FAILED,
  OUTCOME_CANCELLED,
  OUTCOMES,
} Outcome;

static Outcome
outcome_of (SchedJobState state, int64_t after_ms, int64_t objective_ms)
{
  if (state != SCHED_COMPLETED)
    return state == SCHED_CANCELLED ? OUTCOME_CANCELLED : OUTCOME_FAILED;
  if (after_ms > objective_ms * SCHED_USEFUL_FACTOR)
    return OUTCOME_EXPIRED;
  return after_ms <= objective_ms ? OUTCOME_IN_TIME : OUTCOME_LATE;
}

static const char *
outcome_name (Outcome outcome)
{
  static const char *const names[OUTCOMES]
      = { "in_time", "late", "expired", "failed", "cancelled" };

  return names[outcome];
}

static void
count_tasks (const SchedStage *first, uint32_t *n_tasks, uint32_t *n_failed)
{
  const SchedJob *job = first->job;

  for (uint32_t i = 0; i < job->spec->steps->len; i++)
    {
      const SchedStage *stage = sched_find_stage (job, first->occurrence, i);
      *n_tasks += stage != NULL ? stage->step->n_tasks : 0;
      *n_failed += stage != NULL ? stage->failed->len : 0;
    }
}

static void
count_size (Sched *sched, SchedStage *first, Outcome outcome)
{
  Sizes *sizes = sched_sizes_of (sched, first->job);
  gboolean is_served = outcome == OUTCOME_IN_TIME || outcome == OUTCOME_LATE;

  if (outcome != OUTCOME_CANCELLED)
    sizes_add_result (sizes, first->size, is_served, first->is_favoured);
  else if (first->is_favoured)
    sizes_release (sizes, first->size);
  first->is_favoured = FALSE;
}

static int64_t
took_ms (const Sched *sched, const SchedStage *first)
{
  return MAX (sched->wall_ms - sched_due_wall_ms (first->job, first->occurrence), 0);
}

static void
note (Sched *sched, SchedStage *first, Outcome outcome)
{
  const SchedJob *job = first->job;
  int64_t due_ms = sched_due_wall_ms (job, first->occurrence);
  uint32_t n_tasks = 0;
  uint32_t n_failed = 0;

  first->has_result = TRUE;
  count_tasks (first, &n_tasks, &n_failed);
  sched_note (sched, "result", job->id,
              "queue=%s occurrence=%u outcome=%s size=%s tasks=%u work_core_ms=%.0f"
              " objective_ms=%" G_GINT64_FORMAT " took_ms=%" G_GINT64_FORMAT
              " first_start_ms=%" G_GINT64_FORMAT " left_out_ms=%" G_GINT64_FORMAT
              " preempted=%u failed_runs=%u favoured=%d",
              job->queue_name, first->occurrence, outcome_name (outcome),
              sizes_class_name (first->size), n_tasks, first->chains.whole_work,
              sched_objective_ms (job, &first->chains), took_ms (sched, first),
              first->started_wall_ms != 0 ? MAX (first->started_wall_ms - due_ms, 0) : -1,
              first->left_out_ms, first->n_preempted, n_failed, first->is_favoured);
  count_size (sched, first, outcome);
  if (sched->options.ended != NULL)
    {
      const SchedResult result
          = { job->queue_name, sizes_class_name (first->size), outcome_name (outcome) };
      sched->options.ended (sched->options.ctx, &result);
    }
}

void
sched_note_result (Sched *sched, SchedStage *first, SchedJobState state)
{
  const SchedJob *job = first->job;

  if (first->step->is_continuous || first->has_result || sched->wall_ms == 0)
    return;
  first->chains = sched_chains_of (sched, job, first->occurrence);
  if (!first->is_favoured)
    first->size = sizes_class (sched_sizes_of (sched, job), first->chains.whole_work);
  note (sched, first,
        outcome_of (state, took_ms (sched, first), sched_objective_ms (job, &first->chains)));
}

void
sched_check_expired (Sched *sched, SchedStage *first)
{
  int64_t useful_ms = sched_objective_ms (first->job, &first->chains) * SCHED_USEFUL_FACTOR;

  if (!first->has_result && took_ms (sched, first) > useful_ms)
    note (sched, first, OUTCOME_EXPIRED);
}
