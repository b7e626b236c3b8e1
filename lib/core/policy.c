#include "core/tables.h"

#define POLICY_BATCH_THIRD 3U
#define POLICY_PERMILLE 1000.0

static gboolean
admits_all (void *ctx, const CoreWorker *worker, const CoreJob *job)
{
  (void) ctx;
  (void) worker;
  (void) job;
  return TRUE;
}

/* Static split: the instances of every third row take the batch work. */
static gboolean
admits_third (void *ctx, const CoreWorker *worker, const CoreJob *job)
{
  (void) ctx;
  (void) job;
  return worker->row % POLICY_BATCH_THIRD == POLICY_BATCH_THIRD - 1;
}

static double
score_first (void *ctx, const CoreWorker *worker, const CoreJob *job, DocSize size)
{
  (void) ctx;
  (void) job;
  (void) size;
  return -(double) worker->row;
}

static double
score_most_free (void *ctx, const CoreWorker *worker, const CoreJob *job, DocSize size)
{
  (void) ctx;
  (void) job;
  (void) size;
  return (double) tables_free_size (worker).cpu_milli;
}

static double
filled (int64_t free, int64_t size, int64_t capacity)
{
  return capacity > 0 ? 1.0 - (double) (free - size) / (double) capacity : 0;
}

/* A low predicted tail against a tight packing, by the operator's weights. */
static double
score_weighted (void *ctx, const CoreWorker *worker, const CoreJob *job, DocSize size)
{
  Core *core = ctx;
  const DocPolicy *policy = &core->config.policy;
  DocSize free = tables_free_size (worker);
  CoreForecast forecast;

  interference_forecast (core, (CoreWorker *) worker, job, &forecast);
  double tail = (double) forecast.tail_permille / POLICY_PERMILLE;
  double packing = MAX (filled (free.cpu_milli, size.cpu_milli, worker->capacity.cpu_milli),
                        filled (free.memory_mb, size.memory_mb, worker->capacity.memory_mb));
  /* A trial is answered soonest where reports are youngest. */
  if (forecast.is_trial)
    return -(double) worker->lag_us;
  return (double) policy->batch_weight * packing - (double) policy->tail_weight * tail;
}

CorePlacer
policy_placer (Core *core)
{
  switch (core->options.policy)
    {
    case CORE_POLICY_FIRST_FIT:
      return (CorePlacer){ core, admits_all, score_first };
    case CORE_POLICY_LEAST_LOADED:
      return (CorePlacer){ core, admits_all, score_most_free };
    case CORE_POLICY_STATIC_SPLIT:
      return (CorePlacer){ core, admits_third, score_first };
    case CORE_POLICY_ACACIA:
      break;
    }
  return (CorePlacer){ core, admits_all, score_weighted };
}
