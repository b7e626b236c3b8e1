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

/* Static split: every third row of the table of workers runs batch tasks. */
static gboolean
admits_batch_split (void *ctx, const CoreWorker *worker, const CoreJob *job)
{
  (void) ctx;
  (void) job;
  return worker->row % POLICY_BATCH_THIRD == POLICY_BATCH_THIRD - 1;
}

static double
score_first (void *ctx, const CoreOffer *offer)
{
  (void) ctx;
  return -(double) offer->worker->row;
}

static double
score_most_free (void *ctx, const CoreOffer *offer)
{
  (void) ctx;
  return (double) tables_free_size (offer->worker).cpu_milli;
}

static double
utilisation (int64_t free, int64_t size, int64_t capacity)
{
  return capacity > 0 ? 1.0 - (double) (free - size) / (double) capacity : 0;
}

/* Trades a low predicted tail off against tight packing, by the operator's weights. */
static double
score_weighted (void *ctx, const CoreOffer *offer)
{
  const Core *core = ctx;
  const DocPolicy *policy = &core->config.policy;
  const DocSize *capacity = &offer->worker->capacity;
  DocSize free = tables_free_size (offer->worker);
  double tail = (double) offer->forecast.tail_permille / POLICY_PERMILLE;
  double packing = MAX (utilisation (free.cpu_milli, offer->size.cpu_milli, capacity->cpu_milli),
                        utilisation (free.memory_mb, offer->size.memory_mb, capacity->memory_mb));

  /* Reports with the least delay give the earliest result of a trial. */
  if (offer->forecast.is_trial)
    return -(double) offer->worker->lag_us;
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
      return (CorePlacer){ core, admits_batch_split, score_first };
    case CORE_POLICY_ACACIA:
      break;
    }
  return (CorePlacer){ core, admits_all, score_weighted };
}
