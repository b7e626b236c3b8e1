/*
 * Estimates the durations of tasks. Declared estimates may be far off, so each queue learns a
 * correction factor and a typical duration. The prediction is the corrected estimate or the typical
 * duration, whichever had the smaller error so far.
 */
#include <math.h>

#include "batch/sched_tables.h"

/** Weight of a new duration in the moving averages. */
#define AVERAGE_WEIGHT 0.08
/** Duration that is assumed for a task without an estimate. */
#define DEFAULT_MS 1000.0
/** Floor of a duration: shorter ones are noise of the report interval. */
#define LEAST_MS 20.0

static SchedDurations *
durations_of (const Sched *sched, const char *queue)
{
  SchedDurations *row = g_hash_table_lookup (sched->durations, queue);

  if (row == NULL)
    {
      row = g_new0 (SchedDurations, 1);
      g_hash_table_insert (sched->durations, g_strdup (queue), row);
    }
  return row;
}

static double
declared_ms (const JobStep *step)
{
  return step->estimate_ms > 0 ? (double) step->estimate_ms : DEFAULT_MS;
}

void
sched_learn_duration (const Sched *sched, SchedTask *task, int64_t took_ms)
{
  SchedStage *stage = task->stage;
  SchedDurations *row = durations_of (sched, stage->job->queue_name);
  double log_ms = log (MAX ((double) took_ms, LEAST_MS));
  double log_ratio = log_ms - log (declared_ms (stage->step));

  stage->n_timed++;
  stage->timed_ms += took_ms;
  if (row->count == 0)
    {
      row->log_ms = log_ms;
      row->log_ratio = log_ratio;
    }
  row->count++;
  row->ms_error += AVERAGE_WEIGHT * (fabs (log_ms - row->log_ms) - row->ms_error);
  row->ratio_error += AVERAGE_WEIGHT * (fabs (log_ratio - row->log_ratio) - row->ratio_error);
  row->log_ms += AVERAGE_WEIGHT * (log_ms - row->log_ms);
  row->log_ratio += AVERAGE_WEIGHT * (log_ratio - row->log_ratio);
}

int64_t
sched_expected_ms (const Sched *sched,
                   const SchedJob *job,
                   const JobStep *step,
                   const SchedStage *stage)
{
  const SchedDurations *row = g_hash_table_lookup (sched->durations, job->queue_name);

  if (stage != NULL && stage->n_timed > 0)
    return stage->timed_ms / stage->n_timed;
  if (row == NULL)
    return (int64_t) declared_ms (step);
  if (row->ratio_error <= row->ms_error)
    return (int64_t) MIN (declared_ms (step) * exp (row->log_ratio), (double) JOB_DURATION_MAX_MS);
  return (int64_t) MIN (exp (row->log_ms), (double) JOB_DURATION_MAX_MS);
}
