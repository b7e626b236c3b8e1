/*
 * Tail latencies of serving tasks beside best-effort tasks. The best-effort tasks of a worker are
 * recorded as exposures over the last seconds, since a worker's measurements are averages over the
 * half second before them.
 */
#include <math.h>

#include "batch/sched_tables.h"
#include "common/clk.h"

/** Window of a measurement. */
#define FIGURE_MS 500
/** Delay from an order to its effect at the worker. */
#define START_LAG_MS 30
#define PACE_LAG_MS 100
/** Exposures that ended longer ago do not affect any measurement that is still to come. */
#define KEEP_MS 2000
/** Smaller impacts are ignored: otherwise a task that is over its target for another reason would
 * exclude harmless neighbours. */
#define HARMLESS 0.03
/** Headroom of a worker without affected serving tasks. */
#define UNBOUNDED 1000.0
/** A tail over this multiple of its target comes from a faulty worker, not from interference. */
#define TARGETS_MAX 30
#define PERCENT 100.0
/** A best-effort task interferes most, with an activity of 1, while it uses all its processors. Its
 * activity falls linearly with its use, down to ACTIVITY_LEAST at USE_LEAST. */
#define USE_LEAST 0.66
#define ACTIVITY_LEAST 0.25
/** Prior mean of the activity, and variance of a prediction of it. */
#define ACTIVITY_MEAN SCHED_ACTIVITY_FIRST
#define ACTIVITY_VARIANCE 0.12
/** Weight of the current activity in a prediction: activity changes while a task runs. */
#define ACTIVITY_KEPT 0.5
/** Headroom is predicted for now and this much later, which is about the duration of a short task.
 */
#define AHEAD_MS 1500
/** Standard deviations that are subtracted from a predicted headroom. */
#define ROOM_DEVIATIONS 0.5

gboolean
sched_is_serving (const SchedTask *task)
{
  return task->part->step->lasts && task->part->step->tail_target_ms > 0;
}

double
sched_headroom (const SchedTask *serving)
{
  if (serving->percent < 100 || serving->figure <= 0)
    return 0;
  return (double) serving->part->step->tail_target_ms / (double) serving->figure;
}

static uint32_t
image_of (const SchedWorker *worker, SchedPart *part)
{
  if (!part->has_image)
    part->image = interference_image (worker->sched->interference, part->step->image);
  part->has_image = TRUE;
  return part->image;
}

static InterferenceService *
service_of (const SchedWorker *worker, SchedPart *part)
{
  if (part->service == NULL)
    part->service = interference_service_new (worker->sched->interference, image_of (worker, part));
  return part->service;
}

/* Share of the worker's processors without throttling. */
static double
full_share (const SchedWorker *worker, const SchedTask *fill)
{
  return (double) fill->part->step->size.cpu_m / (double) MAX (worker->info->capacity.cpu_m, 1);
}

static void
add_exposure (SchedWorker *worker, SchedTask *fill, int64_t from_us)
{
  const SchedExposure row = { .task = fill,
                              .image = image_of (worker, fill->part),
                              .share = full_share (worker, fill) * fill->pace / PERCENT,
                              .activity = fill->activity,
                              .from_us = from_us };

  g_array_append_val (worker->exposures, row);
  worker->has_old_rooms = TRUE;
}

static void
end_exposure (SchedWorker *worker, const SchedTask *fill, int64_t to_us)
{
  for (guint i = 0; i < worker->exposures->len; i++)
    {
      SchedExposure *row = &g_array_index (worker->exposures, SchedExposure, i);
      if (row->task == fill && row->to_us == 0)
        row->to_us = to_us;
    }
  worker->has_old_rooms = TRUE;
}

void
sched_tails_attach (SchedWorker *worker, SchedTask *task)
{
  if (task->part->step->fills)
    add_exposure (worker, task, worker->sched->now_us + START_LAG_MS * CLK_US_PER_MS);
  worker->has_old_rooms = TRUE;
}

void
sched_tails_detach (SchedWorker *worker, const SchedTask *task)
{
  if (task->part->step->fills)
    end_exposure (worker, task, MAX (worker->sched->now_us, 1));
  worker->has_old_rooms = TRUE;
}

void
sched_tails_pace (SchedWorker *worker, SchedTask *task)
{
  int64_t at_us = worker->sched->now_us + PACE_LAG_MS * CLK_US_PER_MS;

  end_exposure (worker, task, at_us);
  add_exposure (worker, task, at_us);
}

static void
drop_old_exposures (SchedWorker *worker)
{
  int64_t before_us = worker->sched->now_us - KEEP_MS * CLK_US_PER_MS;

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
activity_of (const SchedTask *fill)
{
  double full_m = (double) fill->part->step->size.cpu_m * fill->pace / PERCENT;
  double use = (double) fill->figure / MAX (full_m, 1.0);
  double share = (use - USE_LEAST) / (1.0 - USE_LEAST);

  return CLAMP (ACTIVITY_LEAST + share * (1.0 - ACTIVITY_LEAST), ACTIVITY_LEAST, 1.0);
}

static void
renew_activities (SchedWorker *worker)
{
  int64_t before_us = worker->figures_us - FIGURE_MS * CLK_US_PER_MS;

  for (guint i = 0; i < worker->exposures->len; i++)
    {
      SchedExposure *row = &g_array_index (worker->exposures, SchedExposure, i);
      if (row->to_us != 0 || row->share <= 0 || row->task->figure <= 0)
        continue;
      /* A measurement from before a change of the CPU limit does not apply to the new limit. */
      if (row->from_us < before_us || row->task->pace_us == 0)
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
loads_of_figures (const SchedWorker *worker, InterferenceLoad *loads)
{
  int64_t to_us = worker->figures_us;
  int64_t from_us = to_us - FIGURE_MS * CLK_US_PER_MS;
  uint32_t n_loads = 0;

  for (guint i = 0; i < worker->exposures->len; i++)
    {
      const SchedExposure *row = &g_array_index (worker->exposures, SchedExposure, i);
      int64_t end_us = row->to_us == 0 ? to_us : MIN (row->to_us, to_us);
      int64_t common_us = end_us - MAX (row->from_us, from_us);
      if (common_us > 0 && row->share > 0)
        n_loads = add_load (loads, n_loads, row->image,
                            row->share * row->activity * (double) common_us
                                / (FIGURE_MS * CLK_US_PER_MS));
    }
  return n_loads;
}

void
sched_tails_learn (SchedWorker *worker)
{
  InterferenceLoad loads[INTERFERENCE_LOADS_MAX];
  uint32_t n_loads = 0;

  drop_old_exposures (worker);
  renew_activities (worker);
  if (worker->n_serving == 0)
    return;
  n_loads = loads_of_figures (worker, loads);
  for (guint i = 0; i < worker->tasks->len; i++)
    {
      SchedTask *task = g_ptr_array_index (worker->tasks, i);
      double headroom = sched_is_serving (task) ? sched_headroom (task) : 0;
      if (headroom <= 1.0 / TARGETS_MAX)
        continue;
      interference_observe (service_of (worker, task->part), &task->own, headroom, loads, n_loads,
                            worker->figures_us - FIGURE_MS * CLK_US_PER_MS / 2);
    }
  worker->has_old_rooms = TRUE;
}

/* Predicted activity of a task for the near future. */
static double
later_activity (const SchedExposure *row)
{
  return ACTIVITY_KEPT * row->activity + (1.0 - ACTIVITY_KEPT) * ACTIVITY_MEAN;
}

static InterferenceEstimate
least_alone (const SchedTask *serving, int64_t now_us)
{
  const InterferenceService *service = serving->part->service;
  InterferenceEstimate soon = interference_alone (service, &serving->own, now_us);
  InterferenceEstimate later
      = interference_alone (service, &serving->own, now_us + AHEAD_MS * CLK_US_PER_MS);
  return soon.mean < later.mean ? soon : later;
}

/* Subtracts the impact of an image that uses @p share of the worker's processors. */
static void
take_from (InterferenceEstimate *room, InterferenceEstimate take, double share, double activity)
{
  double spread = take.mean * share;

  room->mean -= take.mean * share * activity;
  room->variance
      += take.variance * share * share * activity * activity + spread * spread * ACTIVITY_VARIANCE;
}

/* Predicted headroom of a serving task beside all current best-effort tasks. */
static InterferenceEstimate
room_of (const SchedWorker *worker, const SchedTask *serving)
{
  const Interference *model = worker->sched->interference;
  InterferenceEstimate room = least_alone (serving, worker->sched->now_us);

  for (guint i = 0; i < worker->exposures->len; i++)
    {
      const SchedExposure *row = &g_array_index (worker->exposures, SchedExposure, i);
      if (row->to_us == 0)
        take_from (&room, interference_pair (model, serving->part->image, row->image), row->share,
                   later_activity (row));
    }
  return room;
}

double
sched_tails_now (const SchedWorker *worker, const SchedTask *serving)
{
  return interference_alone (serving->part->service, &serving->own, worker->sched->now_us).mean
         - sched_tails_takes (worker, serving);
}

static void
renew_old_rooms (SchedWorker *worker)
{
  if (!worker->has_old_rooms)
    return;
  for (guint i = 0; i < worker->tasks->len; i++)
    {
      SchedTask *task = g_ptr_array_index (worker->tasks, i);
      if (!sched_is_serving (task))
        continue;
      (void) image_of (worker, task->part);
      task->room = room_of (worker, task);
    }
  worker->has_old_rooms = FALSE;
}

static double
with_doubt (InterferenceEstimate room)
{
  return room.mean - ROOM_DEVIATIONS * sqrt (room.variance);
}

double
sched_tails_room (SchedWorker *worker, const SchedTask *fill, double share)
{
  const Interference *model = worker->sched->interference;
  uint32_t image = image_of (worker, fill->part);
  double least = UNBOUNDED;

  if (worker->n_serving == 0)
    return least;
  renew_old_rooms (worker);
  for (guint i = 0; i < worker->tasks->len; i++)
    {
      const SchedTask *task = g_ptr_array_index (worker->tasks, i);
      if (!sched_is_serving (task))
        continue;
      InterferenceEstimate take = interference_pair (model, task->part->image, image);
      InterferenceEstimate room = task->room;
      if ((take.mean + sqrt (take.variance)) * share <= HARMLESS)
        continue;
      take_from (&room, take, share, ACTIVITY_MEAN);
      least = MIN (least, with_doubt (room));
    }
  return least;
}

double
sched_tails_use (SchedWorker *worker, const SchedTask *fill)
{
  const Interference *model = worker->sched->interference;
  uint32_t image = image_of (worker, fill->part);
  double share = full_share (worker, fill);
  double most = 0;

  if (worker->n_serving == 0)
    return 0;
  renew_old_rooms (worker);
  for (guint i = 0; i < worker->tasks->len; i++)
    {
      const SchedTask *task = g_ptr_array_index (worker->tasks, i);
      if (!sched_is_serving (task))
        continue;
      InterferenceEstimate pair = interference_pair (model, task->part->image, image);
      double take = (pair.mean + sqrt (pair.variance)) * share * ACTIVITY_MEAN;
      if (take > HARMLESS)
        most = MAX (most, take / MAX (with_doubt (task->room) - 1.0, 0.1));
    }
  return most;
}

double
sched_tails_share (const SchedWorker *worker, const SchedTask *fill, uint32_t percent)
{
  return full_share (worker, fill) * percent / PERCENT;
}

double
sched_tails_take (const SchedWorker *worker, const SchedTask *serving, const SchedTask *fill)
{
  return interference_take (worker->sched->interference, image_of (worker, serving->part),
                            image_of (worker, fill->part))
         * sched_tails_share (worker, fill, fill->pace) * fill->activity;
}

double
sched_tails_takes (const SchedWorker *worker, const SchedTask *serving)
{
  double sum = 0;

  for (guint i = 0; i < worker->tasks->len; i++)
    {
      const SchedTask *fill = g_ptr_array_index (worker->tasks, i);
      if (fill->part->step->fills)
        sum += sched_tails_take (worker, serving, fill);
    }
  return sum;
}
