#include "core/tables.h"

#include <stdlib.h>

#define TAIL_RELIEVED_SHARE                                                                        \
  0.98 /**< throttles are lifted while the predicted tail is below this share of the target */
#define TAIL_THROTTLE_MIN 200U
#define TAIL_GOAL_SHARE 1.0 /**< share of the target that throttling aims at */
#define TAIL_SETTLE_US CLK_US_PER_S
#define TAIL_PERMILLE 1000.0

/** A task that could be throttled or evicted. */
typedef struct
{
  CoreTask *task;
  double relief;
  double lost_ms;
} Mitigation;

/* Lists the tasks that add to the endpoint's tail, with the relief and the loss of stopping each.
 */
static GArray *
list_mitigations (const Core *core, const CoreWorker *worker, const CoreEndpoint *endpoint)
{
  GArray *mitigations = g_array_new (FALSE, FALSE, sizeof (Mitigation));

  for (guint i = 0; i < worker->tasks->len; i++)
    {
      CoreTask *task = g_ptr_array_index (worker->tasks, i);
      double growth = 0;
      if (task->state != TASK_LIVE)
        continue;
      (void) interference_growth_of (core, endpoint->service, task->job->class_row, endpoint->band,
                                     &growth);
      Mitigation mitigation = { task, growth * task->throttle_permille / TAIL_PERMILLE,
                                (double) learn_lost_ms (core, task) };
      if (mitigation.relief > 0)
        g_array_append_val (mitigations, mitigation);
    }
  return mitigations;
}

static int
by_task (const CoreTask *a, const CoreTask *b)
{
  if (a->job->id != b->job->id)
    return a->job->id < b->job->id ? -1 : 1;
  return a->index < b->index ? -1 : (a->index > b->index ? 1 : 0);
}

static int
by_relief (const void *a, const void *b)
{
  const Mitigation *x = a;
  const Mitigation *y = b;

  if (x->relief != y->relief)
    return x->relief > y->relief ? -1 : 1;
  return by_task (x->task, y->task);
}

static int
by_relief_per_loss (const void *a, const void *b)
{
  const Mitigation *x = a;
  const Mitigation *y = b;
  double value_x = x->relief / (x->lost_ms + 1000.0);
  double value_y = y->relief / (y->lost_ms + 1000.0);

  if (value_x != value_y)
    return value_x > value_y ? -1 : 1;
  return by_task (x->task, y->task);
}

static CoreCommand
tail_command (const Core *core, CoreCommandType type, CoreReason why, const CoreEndpoint *endpoint)
{
  const CoreService *service = tables_service_row (core, endpoint->service);
  CoreCommand command = emit_command (type, why);

  command.numbers[0] = endpoint->p99_us;
  command.numbers[1] = service->target_us;
  g_strlcpy (command.rule, service->name, sizeof command.rule);
  return command;
}

static gboolean
throttle (Core *core, const GArray *mitigations, const CoreEndpoint *endpoint, double needed)
{
  gboolean has_acted = FALSE;

  for (guint i = 0; i < mitigations->len && needed > 0; i++)
    {
      const Mitigation *mitigation = &g_array_index (mitigations, Mitigation, i);
      CoreTask *task = mitigation->task;
      if (task->throttle_permille <= TAIL_THROTTLE_MIN || task->job->priority == DOC_URGENT)
        continue;
      double keep = MAX (1.0 - needed / mitigation->relief, 0.0);
      uint32_t permille = (uint32_t) (keep * task->throttle_permille);
      permille = MAX (permille, TAIL_THROTTLE_MIN);
      double relief = mitigation->relief * (1.0 - (double) permille / task->throttle_permille);
      CoreCommand command = tail_command (core, CORE_DO_THROTTLE, CORE_REASON_TAIL_OVER, endpoint);
      command.numbers[2] = (int64_t) (relief * TAIL_PERMILLE);
      tables_set_throttle (core, task, permille);
      emit_task (core, task, command);
      needed -= relief;
      has_acted = TRUE;
    }
  return has_acted;
}

static gboolean
evict_one (Core *core, const GArray *mitigations, const CoreEndpoint *endpoint)
{
  for (guint i = 0; i < mitigations->len; i++)
    {
      const Mitigation *mitigation = &g_array_index (mitigations, Mitigation, i);
      CoreCommand command
          = tail_command (core, CORE_DO_CHECKPOINT, CORE_REASON_TAIL_OVER, endpoint);
      command.numbers[2] = (int64_t) (mitigation->relief * TAIL_PERMILLE);
      command.numbers[3] = (int64_t) mitigation->lost_ms;
      if (mitigation->task->job->priority != DOC_URGENT
          && reclaim_evict (core, mitigation->task, &command, FALSE))
        return TRUE;
    }
  return FALSE;
}

static void
handle_over_target (Core *core, CoreWorker *worker, const CoreEndpoint *endpoint)
{
  const CoreService *service = tables_service_row (core, endpoint->service);
  double baseline_us = MAX (interference_baseline_of (service, endpoint->band), 1.0);
  double limit_us = TAIL_GOAL_SHARE * (double) service->target_us;
  double needed = ((double) endpoint->p99_us - limit_us) / baseline_us;
  int64_t cooldown_us = core->config.policy.cooldown_ms * CLK_US_PER_MS;
  int64_t throttle_wait_us = MIN (cooldown_us, 2 * worker->lag_us);
  gboolean is_seen = endpoint->measured_us > worker->last_action_us + TAIL_SETTLE_US;

  if (worker->last_action_us > 0
      && (!is_seen || core->now_us - worker->last_action_us < throttle_wait_us))
    return;
  GArray *mitigations = list_mitigations (core, worker, endpoint);
  g_array_sort (mitigations, by_relief);
  gboolean has_acted = tables_has_mechanism (core, CORE_MECHANISM_THROTTLE)
                       && throttle (core, mitigations, endpoint, needed);
  if (!has_acted
      && (worker->last_action_us == 0 || core->now_us - worker->last_action_us >= cooldown_us))
    {
      g_array_sort (mitigations, by_relief_per_loss);
      has_acted = evict_one (core, mitigations, endpoint);
    }
  if (has_acted)
    worker->last_action_us = core->now_us;
  g_array_free (mitigations, TRUE);
}

/* Lifts the throttle of one task if the forecast stays under the limit. */
static void
restore_throttled (Core *core, CoreWorker *worker, const CoreEndpoint *endpoint)
{
  const CoreService *service = tables_service_row (core, endpoint->service);
  double sum = interference_current (core, worker, endpoint->service, endpoint->band);
  double baseline_us = interference_baseline_of (service, endpoint->band);
  double limit_us = TAIL_RELIEVED_SHARE * (double) service->target_us;

  if (endpoint->measured_us <= worker->last_action_us + TAIL_SETTLE_US)
    return;
  for (guint i = 0; i < worker->tasks->len; i++)
    {
      CoreTask *task = g_ptr_array_index (worker->tasks, i);
      double growth = 0;
      if (task->state != TASK_LIVE || task->throttle_permille == CORE_FULL_PERMILLE)
        continue;
      (void) interference_growth_of (core, endpoint->service, task->job->class_row, endpoint->band,
                                     &growth);
      double more = growth * (CORE_FULL_PERMILLE - task->throttle_permille) / TAIL_PERMILLE;
      if (baseline_us * (1.0 + sum + more) > limit_us)
        continue;
      CoreCommand command = tail_command (core, CORE_DO_THROTTLE, CORE_REASON_RELIEVED, endpoint);
      command.numbers[2] = (core->now_us - task->throttled_us) / CLK_US_PER_MS;
      tables_set_throttle (core, task, CORE_FULL_PERMILLE);
      emit_task (core, task, command);
      worker->last_action_us = core->now_us;
      return;
    }
}

/* Reactive baseline: evicts the newest task whenever a tail is over its target. */
static void
evict_newest (Core *core, CoreWorker *worker, const CoreEndpoint *endpoint)
{
  CoreTask *newest = NULL;

  for (guint i = 0; i < worker->tasks->len; i++)
    {
      CoreTask *task = g_ptr_array_index (worker->tasks, i);
      if (task->state == TASK_LIVE && (newest == NULL || task->started_us > newest->started_us))
        newest = task;
    }
  if (newest == NULL)
    return;
  CoreCommand command = tail_command (core, CORE_DO_CHECKPOINT, CORE_REASON_TAIL_OVER, endpoint);
  command.numbers[3] = learn_lost_ms (core, newest);
  (void) reclaim_evict (core, newest, &command, TRUE);
}

static void
handle_report (Core *core, CoreWorker *worker, CoreEndpoint *endpoint)
{
  const CoreService *service = tables_service_row (core, endpoint->service);

  if (!endpoint->has_new_report)
    return;
  endpoint->has_new_report = FALSE;
  if (core->options.reactive)
    {
      if (service->target_us > 0 && endpoint->p99_us > service->target_us)
        evict_newest (core, worker, endpoint);
      return;
    }
  if (!tables_has_mechanism (core, CORE_MECHANISM_INTERFERENCE))
    return;
  if (endpoint->is_over)
    handle_over_target (core, worker, endpoint);
  else if (service->target_us > 0)
    restore_throttled (core, worker, endpoint);
}

void
tail_run (Core *core)
{
  for (guint i = 0; i < core->reported->len; i++)
    {
      CoreWorker *worker = g_ptr_array_index (core->reported, i);
      worker->has_new_reports = FALSE;
      for (guint j = 0; j < worker->endpoints->len; j++)
        handle_report (core, worker, &g_array_index (worker->endpoints, CoreEndpoint, j));
    }
  g_ptr_array_set_size (core->reported, 0);
}
