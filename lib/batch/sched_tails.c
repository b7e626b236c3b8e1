/*
 * Tail latencies of serving tasks beside best-effort tasks. The best-effort tasks of a worker are
 * recorded as exposures over the last seconds, since a worker's measurements are averages over the
 * half second before them.
 */
#include <math.h>

#include "batch/sched_tables.h"
#include "common/clk.h"

/** Window of a measurement. */
#define MEASUREMENT_MS 500
/** Delay from an order to its effect at the worker. */
#define START_LAG_MS 30
#define LIMIT_LAG_MS 100
/** Exposures that ended longer ago do not affect any measurement that is still to come. */
#define EXPOSURE_KEEP_MS 2000
/** Smaller impacts are ignored: otherwise a task that is over its target for another reason would
 * exclude harmless neighbours. */
#define IMPACT_MIN 0.03
/** Headroom of a worker without affected serving tasks. */
#define UNBOUNDED 1000.0
/** An impact is known once its standard deviation is below this share of it. */
#define KNOWN_DEVIATION 0.5
/** A tail over this multiple of its target comes from a faulty worker, not from interference. */
#define TARGETS_MAX 30
#define PERCENT 100.0
/** A best-effort task interferes most, with an activity of 1, while it uses all its processors. Its
 * activity falls linearly with its use, down to ACTIVITY_LEAST at USE_LEAST. */
#define USE_LEAST 0.66
#define ACTIVITY_LEAST 0.25
/** Prior mean of the activity, and variance of a prediction of it. */
#define ACTIVITY_MEAN SCHED_ACTIVITY_DEFAULT
#define ACTIVITY_VARIANCE 0.12
/** Weight of the current activity in a prediction: activity changes while a task runs. */
#define ACTIVITY_KEPT 0.5
/** Headroom is predicted for now and this much later, which is about the duration of a short task.
 */
#define PREDICTION_MS 1500
/** Standard deviations that are subtracted from a predicted headroom. */
#define HEADROOM_DEVIATIONS 0.5

gboolean
sched_is_serving (const SchedTask *task)
{
  return task->stage->step->is_continuous && task->stage->step->tail_target_ms > 0;
}

double
sched_headroom (const SchedTask *serving)
{
  if (serving->percent < 100 || serving->measurement <= 0)
    return 0;
  return (double) serving->stage->step->tail_target_ms / (double) serving->measurement;
}

static uint32_t
image_of (const SchedWorker *worker, SchedStage *stage)
{
  if (!stage->has_image)
    stage->image = interference_image (worker->sched->interference, stage->step->image);
  stage->has_image = TRUE;
  return stage->image;
}

static InterferenceService *
service_of (const SchedWorker *worker, SchedStage *stage)
{
  if (stage->service == NULL)
    stage->service
        = interference_service_new (worker->sched->interference, image_of (worker, stage));
  return stage->service;
}

/* Share of the worker's processors without throttling. */
static double
full_share (const SchedWorker *worker, const SchedTask *best_effort)
{
  return (double) best_effort->stage->step->size.cpu_m
         / (double) MAX (worker->info->capacity.cpu_m, 1);
}

static void
add_exposure (SchedWorker *worker, SchedTask *best_effort, int64_t from_us)
{
  const SchedExposure row
      = { .task = best_effort,
          .image = image_of (worker, best_effort->stage),
          .share = full_share (worker, best_effort) * best_effort->cpu_limit / PERCENT,
          .activity = best_effort->activity,
          .from_us = from_us };

  g_array_append_val (worker->exposures, row);
  worker->has_outdated_predictions = TRUE;
}

static void
end_exposure (SchedWorker *worker, const SchedTask *best_effort, int64_t to_us)
{
  for (guint i = 0; i < worker->exposures->len; i++)
    {
      SchedExposure *row = &g_array_index (worker->exposures, SchedExposure, i);
      if (row->task == best_effort && row->to_us == 0)
        row->to_us = to_us;
    }
  worker->has_outdated_predictions = TRUE;
}

void
sched_tails_attach (SchedWorker *worker, SchedTask *task)
{
  if (task->stage->step->is_best_effort)
    add_exposure (worker, task, worker->sched->now_us + START_LAG_MS * CLK_US_PER_MS);
  worker->has_outdated_predictions = TRUE;
}

void
sched_tails_detach (SchedWorker *worker, const SchedTask *task)
{
  if (task->stage->step->is_best_effort)
    end_exposure (worker, task, MAX (worker->sched->now_us, 1));
  worker->has_outdated_predictions = TRUE;
}

void
sched_tails_cpu_limit (SchedWorker *worker, SchedTask *task)
{
  int64_t at_us = worker->sched->now_us + LIMIT_LAG_MS * CLK_US_PER_MS;

  end_exposure (worker, task, at_us);
  add_exposure (worker, task, at_us);
}

static void
drop_old_exposures (SchedWorker *worker)
{
  int64_t before_us = worker->sched->now_us - EXPOSURE_KEEP_MS * CLK_US_PER_MS;

  for (guint i = worker->exposures->len; i-- > 0;)
    {
      const SchedExposure *row = &g_array_index (worker->exposures, SchedExposure, i);
      if (row->to_us != 0 && row->to_us < before_us)
        g_array_remove_index_fast (worker->exposures, i);
    }
}

/* Activity derived from the measured CPU use of a task, which is averaged over the same window as a
 * tail. */
static double
activity_of (const SchedTask *best_effort)
{
  double full_m = (double) best_effort->stage->step->size.cpu_m * best_effort->cpu_limit / PERCENT;
  double use = (double) best_effort->measurement / MAX (full_m, 1.0);
  double share = (use - USE_LEAST) / (1.0 - USE_LEAST);

  return CLAMP (ACTIVITY_LEAST + share * (1.0 - ACTIVITY_LEAST), ACTIVITY_LEAST, 1.0);
}

static void
update_activities (SchedWorker *worker)
{
  int64_t before_us = worker->measured_us - MEASUREMENT_MS * CLK_US_PER_MS;

  for (guint i = 0; i < worker->exposures->len; i++)
    {
      SchedExposure *row = &g_array_index (worker->exposures, SchedExposure, i);
      if (row->to_us != 0 || row->share <= 0 || row->task->measurement <= 0)
        continue;
      /* A measurement from before a change of the CPU limit does not apply to the new limit. */
      if (row->from_us < before_us || row->task->cpu_limit_us == 0)
        row->task->activity = activity_of (row->task);
      row->activity = row->task->activity;
    }
}

static uint32_t
add_load (InterferenceLoad *loads, uint32_t n_loads, uint32_t image, double share)
{
  for (uint32_t i = 0; i < n_loads; i++)
    {
      if (loads[i].image != image)
        continue;
      loads[i].share += share;
      return n_loads;
    }
  if (n_loads == INTERFERENCE_LOADS_MAX)
    return n_loads;
  loads[n_loads] = (InterferenceLoad){ image, share };
  return n_loads + 1;
}

/* Loads of best-effort images while the newest measurements were taken. */
static uint32_t
measured_loads (const SchedWorker *worker, InterferenceLoad *loads)
{
  int64_t to_us = worker->measured_us;
  int64_t from_us = to_us - MEASUREMENT_MS * CLK_US_PER_MS;
  uint32_t n_loads = 0;

  for (guint i = 0; i < worker->exposures->len; i++)
    {
      const SchedExposure *row = &g_array_index (worker->exposures, SchedExposure, i);
      int64_t end_us = row->to_us == 0 ? to_us : MIN (row->to_us, to_us);
      int64_t common_us = end_us - MAX (row->from_us, from_us);
      if (common_us > 0 && row->share > 0)
        n_loads = add_load (loads, n_loads, row->image,
                            row->share * row->activity * (double) common_us
                                / (MEASUREMENT_MS * CLK_US_PER_MS));
    }
  return n_loads;
}

void
sched_tails_learn (SchedWorker *worker)
{
  InterferenceLoad loads[INTERFERENCE_LOADS_MAX];
  uint32_t n_loads = 0;

  drop_old_exposures (worker);
  update_activities (worker);
  if (worker->n_serving == 0)
    return;
  n_loads = measured_loads (worker, loads);
  for (guint i = 0; i < worker->tasks->len; i++)
    {
      SchedTask *task = g_ptr_array_index (worker->tasks, i);
      double headroom = sched_is_serving (task) ? sched_headroom (task) : 0;
      if (headroom <= 1.0 / TARGETS_MAX)
        continue;
      interference_observe (service_of (worker, task->stage), &task->offset, headroom, loads,
                            n_loads, worker->measured_us - MEASUREMENT_MS * CLK_US_PER_MS / 2);
    }
  worker->has_outdated_predictions = TRUE;
}

/* Predicted activity of a task for the near future. */
static double
predicted_activity (double activity)
{
  return ACTIVITY_KEPT * activity + (1.0 - ACTIVITY_KEPT) * ACTIVITY_MEAN;
}

static InterferenceEstimate
least_alone (const SchedTask *serving, int64_t now_us)
{
  const InterferenceService *service = serving->stage->service;
  InterferenceEstimate soon = interference_alone (service, &serving->offset, now_us);
  InterferenceEstimate later
      = interference_alone (service, &serving->offset, now_us + PREDICTION_MS * CLK_US_PER_MS);
  return soon.mean < later.mean ? soon : later;
}

/* Subtracts the impact of an image that uses @p share of the worker's processors. */
static void
subtract_impact (InterferenceEstimate *predicted,
                 InterferenceEstimate impact,
                 double share,
                 double activity)
{
  double spread = impact.mean * share;

  predicted->mean -= impact.mean * share * activity;
  predicted->variance += impact.variance * share * share * activity * activity
                         + spread * spread * ACTIVITY_VARIANCE;
}

/* Predicted headroom of a serving task beside all current best-effort tasks. */
static InterferenceEstimate
predict_headroom (const SchedWorker *worker, const SchedTask *serving)
{
  const Interference *model = worker->sched->interference;
  InterferenceEstimate predicted = least_alone (serving, worker->sched->now_us);

  for (guint i = 0; i < worker->exposures->len; i++)
    {
      const SchedExposure *row = &g_array_index (worker->exposures, SchedExposure, i);
      if (row->to_us == 0)
        subtract_impact (&predicted, interference_pair (model, serving->stage->image, row->image),
                         row->share, predicted_activity (row->activity));
    }
  return predicted;
}

double
sched_tails_headroom_now (const SchedWorker *worker, const SchedTask *serving)
{
  return interference_alone (serving->stage->service, &serving->offset, worker->sched->now_us).mean
         - sched_tails_total_impact (worker, serving);
}

static void
update_predictions (SchedWorker *worker)
{
  if (!worker->has_outdated_predictions)
    return;
  for (guint i = 0; i < worker->tasks->len; i++)
    {
      SchedTask *task = g_ptr_array_index (worker->tasks, i);
      if (!sched_is_serving (task))
        continue;
      (void) image_of (worker, task->stage);
      task->predicted = predict_headroom (worker, task);
    }
  worker->has_outdated_predictions = FALSE;
}

static double
lower_bound (InterferenceEstimate predicted)
{
  return predicted.mean - HEADROOM_DEVIATIONS * sqrt (predicted.variance);
}

static void
peek_image (const SchedWorker *worker, SchedStage *stage)
{
  stage->image = interference_find_image (worker->sched->interference, stage->step->image);
  stage->has_image = TRUE;
}

SchedTailsPeek
sched_tails_peek_begin (SchedWorker *worker)
{
  SchedTailsPeek peek = { worker, g_ptr_array_new (), worker->has_outdated_predictions };

  for (guint i = 0; i < worker->tasks->len; i++)
    {
      SchedStage *stage = ((SchedTask *) g_ptr_array_index (worker->tasks, i))->stage;
      if (stage->has_image)
        continue;
      peek_image (worker, stage);
      g_ptr_array_add (peek.stages, stage);
    }
  return peek;
}

void
sched_tails_peek_end (SchedTailsPeek *peek)
{
  for (guint i = 0; i < peek->stages->len; i++)
    ((SchedStage *) g_ptr_array_index (peek->stages, i))->has_image = FALSE;
  g_ptr_array_unref (peek->stages);
  peek->worker->has_outdated_predictions = peek->was_outdated;
}

double
sched_tails_headroom_with (SchedWorker *worker, const SchedTask *best_effort, double share)
{
  const Interference *model = worker->sched->interference;
  uint32_t image = image_of (worker, best_effort->stage);
  double least = UNBOUNDED;

  if (worker->n_serving == 0)
    return least;
  update_predictions (worker);
  for (guint i = 0; i < worker->tasks->len; i++)
    {
      const SchedTask *task = g_ptr_array_index (worker->tasks, i);
      if (!sched_is_serving (task))
        continue;
      InterferenceEstimate impact = interference_pair (model, task->stage->image, image);
      InterferenceEstimate predicted = task->predicted;
      if ((impact.mean + sqrt (impact.variance)) * share <= IMPACT_MIN)
        continue;
      subtract_impact (&predicted, impact, share, ACTIVITY_MEAN);
      least = MIN (least, lower_bound (predicted));
    }
  return least;
}

static gboolean
is_known (InterferenceEstimate impact)
{
  return sqrt (impact.variance) <= KNOWN_DEVIATION * impact.mean;
}

gboolean
sched_tails_is_impact_known (const SchedWorker *worker, const SchedTask *best_effort)
{
  const Interference *model = worker->sched->interference;
  uint32_t image = image_of (worker, best_effort->stage);

  for (guint i = 0; i < worker->tasks->len; i++)
    {
      const SchedTask *task = g_ptr_array_index (worker->tasks, i);
      if (sched_is_serving (task)
          && is_known (interference_pair (model, image_of (worker, task->stage), image)))
        return TRUE;
    }
  return FALSE;
}

double
sched_tails_headroom_instead (SchedWorker *worker,
                              const SchedTask *best_effort,
                              const SchedTask *running)
{
  const Interference *model = worker->sched->interference;
  uint32_t image = image_of (worker, best_effort->stage);
  uint32_t spared_image = image_of (worker, running->stage);
  double share = full_share (worker, best_effort);
  double spared_share = sched_tails_share (worker, running, running->cpu_limit)
                        * predicted_activity (running->activity);
  double least = UNBOUNDED;

  update_predictions (worker);
  for (guint i = 0; i < worker->tasks->len; i++)
    {
      const SchedTask *task = g_ptr_array_index (worker->tasks, i);
      if (!sched_is_serving (task))
        continue;
      InterferenceEstimate impact = interference_pair (model, task->stage->image, image);
      InterferenceEstimate spared = interference_pair (model, task->stage->image, spared_image);
      InterferenceEstimate predicted = task->predicted;
      subtract_impact (&predicted, impact, share, ACTIVITY_MEAN);
      if (is_known (spared))
        predicted.mean += spared.mean * spared_share;
      least = MIN (least, lower_bound (predicted));
    }
  return least;
}

double
sched_tails_headroom_use (SchedWorker *worker, const SchedTask *best_effort)
{
  const Interference *model = worker->sched->interference;
  uint32_t image = image_of (worker, best_effort->stage);
  double share = full_share (worker, best_effort);
  double most = 0;

  if (worker->n_serving == 0)
    return 0;
  update_predictions (worker);
  for (guint i = 0; i < worker->tasks->len; i++)
    {
      const SchedTask *task = g_ptr_array_index (worker->tasks, i);
      if (!sched_is_serving (task))
        continue;
      InterferenceEstimate pair = interference_pair (model, task->stage->image, image);
      double impact = (pair.mean + sqrt (pair.variance)) * share * ACTIVITY_MEAN;
      if (impact > IMPACT_MIN)
        most = MAX (most, impact / MAX (lower_bound (task->predicted) - 1.0, 0.1));
    }
  return most;
}

double
sched_tails_share (const SchedWorker *worker, const SchedTask *best_effort, uint32_t percent)
{
  return full_share (worker, best_effort) * percent / PERCENT;
}

double
sched_tails_impact (const SchedWorker *worker,
                    const SchedTask *serving,
                    const SchedTask *best_effort)
{
  return interference_impact (worker->sched->interference, image_of (worker, serving->stage),
                              image_of (worker, best_effort->stage))
         * sched_tails_share (worker, best_effort, best_effort->cpu_limit) * best_effort->activity;
}

double
sched_tails_total_impact (const SchedWorker *worker, const SchedTask *serving)
{
  double sum = 0;

  for (guint i = 0; i < worker->tasks->len; i++)
    {
      const SchedTask *best_effort = g_ptr_array_index (worker->tasks, i);
      if (best_effort->stage->step->is_best_effort)
        sum += sched_tails_impact (worker, serving, best_effort);
    }
  return sum;
}
