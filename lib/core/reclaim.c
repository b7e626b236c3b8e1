#include "core/tables.h"

#include <stdlib.h>

#define RECLAIM_RESEND_US (5 * CLK_US_PER_S)
#define RECLAIM_SCAN_PER_TICK 1100U /**< instances that the periodic scan visits in a tick */
#define RECLAIM_MOVES_PER_SCAN 2U   /**< tasks moved off one instance in one visit */
#define RECLAIM_VICTIM_COST_MS 1000
#define RECLAIM_MS_PER_MINUTE 60000.0

/** The cheapest set of evictions that frees enough capacity on an instance. */
typedef struct
{
  CoreWorker *worker;
  GPtrArray *victims; /**< CoreTask, cheapest first; evicting the first @c n_victims is enough */
  guint n_victims;
  int64_t cost_ms;
} EvictionPlan;

static int64_t
cooldown_us (const Core *core)
{
  return core->config.policy.cooldown_ms * CLK_US_PER_MS;
}

static gboolean
may_evict (const Core *core, const CoreTask *task)
{
  return task->state == TASK_LIVE
         && (task->evicted_us == 0 || core->now_us - task->evicted_us >= cooldown_us (core));
}

static void
refill_budget (Core *core)
{
  double per_ms = (double) core->config.policy.evictions_per_minute / RECLAIM_MS_PER_MINUTE;
  double passed_ms = (double) (core->now_us - core->budget_us) / (double) CLK_US_PER_MS;

  if (core->budget_us == 0)
    core->budget = (double) core->config.policy.evictions_per_minute;
  else
    core->budget += per_ms * passed_ms;
  core->budget = MIN (core->budget, (double) core->config.policy.evictions_per_minute);
  core->budget_us = core->now_us;
}

void
reclaim_stop (Core *core, CoreTask *task, CoreCommandType type, const CoreCommand *reason)
{
  CoreCommand command = *reason;

  command.type = type;
  task->stop_type = type;
  task->stop_why = reason->why;
  task->stop_sent_us = core->now_us;
  tables_set_state (core, task, TASK_STOPPING);
  emit_task (core, task, command);
}

gboolean
reclaim_evict (Core *core, CoreTask *task, const CoreCommand *reason, gboolean is_mandatory)
{
  gboolean has_budget
      = core->budget >= 1.0 || !tables_has_mechanism (core, CORE_MECHANISM_EVICTION_BUDGET);

  if (!may_evict (core, task) || !(has_budget || is_mandatory))
    return FALSE;
  core->budget = MAX (core->budget - 1.0, 0.0);
  core->evictions++;
  task->evicted_us = core->now_us;
  reclaim_stop (core, task, task->job->checkpoint_ms > 0 ? CORE_DO_CHECKPOINT : CORE_DO_STOP,
                reason);
  return TRUE;
}

static int
by_loss (gconstpointer a, gconstpointer b, gpointer data)
{
  const CoreTask *x = *(CoreTask *const *) a;
  const CoreTask *y = *(CoreTask *const *) b;
  const Core *core = data;
  int64_t lost_x = learn_lost_ms (core, x);
  int64_t lost_y = learn_lost_ms (core, y);

  if (lost_x != lost_y)
    return lost_x < lost_y ? -1 : 1;
  if (x->job->id != y->job->id)
    return x->job->id < y->job->id ? -1 : 1;
  return x->index < y->index ? -1 : 1;
}

/* Finds the tasks to evict from @p worker. FALSE if evicting all of them is not enough. */
static gboolean
find_victims (Core *core, const CoreJob *job, CoreWorker *worker, EvictionPlan *plan)
{
  DocSize wanted = place_size (core, job, worker);
  DocSize free = tables_free_size (worker);

  plan->worker = worker;
  plan->n_victims = 0;
  plan->cost_ms = 0;
  g_ptr_array_set_size (plan->victims, 0);
  for (guint i = 0; i < worker->tasks->len; i++)
    {
      CoreTask *task = g_ptr_array_index (worker->tasks, i);
      if (task->job->priority != DOC_URGENT && may_evict (core, task))
        g_ptr_array_add (plan->victims, task);
    }
  g_ptr_array_sort_with_data (plan->victims, by_loss, core);
  while (!size_fits (wanted, free))
    {
      if (plan->n_victims >= plan->victims->len)
        return FALSE;
      const CoreTask *victim = g_ptr_array_index (plan->victims, plan->n_victims++);
      free = size_add (free, victim->reserved);
      plan->cost_ms += learn_lost_ms (core, victim) + RECLAIM_VICTIM_COST_MS;
    }
  return TRUE;
}

static void
evict_victims (Core *core, const CoreTask *task, const EvictionPlan *plan)
{
  for (guint i = 0; i < plan->n_victims; i++)
    {
      CoreTask *victim = g_ptr_array_index (plan->victims, i);
      CoreCommand command = emit_command (CORE_DO_CHECKPOINT, CORE_REASON_PREEMPTION);
      command.numbers[0] = (int64_t) task->job->id;
      command.numbers[1] = learn_lost_ms (core, victim);
      command.numbers[2] = task->job->size.cpu_milli;
      command.numbers[3] = task->job->size.memory_mb;
      g_strlcpy (command.rule, task->job->name, sizeof command.rule);
      (void) reclaim_evict (core, victim, &command, TRUE);
    }
}

uint32_t
reclaim_evict_for (Core *core, CoreTask *task)
{
  const GArray *candidates = rules_candidates (core, task->job->constraints);
  guint n = place_scan_length (candidates);
  EvictionPlan best = { .victims = g_ptr_array_new () };
  EvictionPlan plan = { .victims = g_ptr_array_new () };

  for (guint i = 0; i < n; i++)
    {
      CoreWorker *worker = place_candidate (core, candidates, i);
      if (worker->is_quarantined || health_start_allowance (core, worker) == 0
          || !place_is_open (core, task->job, worker)
          || !find_victims (core, task->job, worker, &plan))
        continue;
      if (best.worker != NULL && plan.cost_ms >= best.cost_ms)
        continue;
      EvictionPlan other = best;
      best = plan;
      plan = other;
    }
  if (best.worker != NULL)
    evict_victims (core, task, &best);
  g_ptr_array_free (best.victims, TRUE);
  g_ptr_array_free (plan.victims, TRUE);
  return best.worker != NULL ? best.worker->row : CORE_NONE;
}

static void
cancel_task (Core *core, CoreTask *task)
{
  CoreCommand command = emit_command (CORE_DO_CANCELLED, CORE_REASON_CANCEL);
  CoreCommand stop = emit_command (CORE_DO_STOP, CORE_REASON_CANCEL);

  if (task->state == TASK_WAITING)
    {
      tables_set_state (core, task, TASK_CANCELLED);
      emit_task (core, task, command);
    }
  else if (task->state == TASK_LIVE)
    {
      stop.numbers[0] = (core->now_us - task->started_us) / CLK_US_PER_MS;
      reclaim_stop (core, task, CORE_DO_STOP, &stop);
    }
}

/* Spreads a burst of cancellations over several ticks. Tasks of cancelled jobs cannot start in
 * between. */
static void
run_cancels (Core *core)
{
  uint32_t left = (uint32_t) core->config.policy.starts_per_tick;

  while (core->cancels->len > 0 && left > 0)
    {
      CoreJob *job = g_ptr_array_index (core->cancels, 0);
      while (job->tasks != NULL && job->cancel_next < job->n_tasks && left > 0)
        {
          cancel_task (core, &job->tasks[job->cancel_next++]);
          left--;
        }
      if (job->tasks == NULL || job->cancel_next >= job->n_tasks)
        g_ptr_array_remove_index (core->cancels, 0);
    }
}

static void
evict_with_reason (Core *core, CoreTask *task, CoreReason why, const char *rule)
{
  CoreCommand command = emit_command (CORE_DO_CHECKPOINT, why);

  command.numbers[0] = (core->now_us - task->started_us) / CLK_US_PER_MS;
  command.numbers[1] = learn_lost_ms (core, task);
  if (rule != NULL)
    g_strlcpy (command.rule, rule, sizeof command.rule);
  (void) reclaim_evict (core, task, &command, TRUE);
}

/* The rule that forbids @p task on the instance it runs on; NULL for none. */
static const char *
find_broken_rule (Core *core, const CoreTask *task, const CoreWorker *worker)
{
  int32_t row = rules_forbid (core, task->job->constraints, worker);

  if (row >= 0)
    return ((CoreRule *) g_ptr_array_index (core->config.rules, (guint) row))->name;
  const CoreRule *rule = rules_broken_by_neighbours (core, task->job, worker, task);
  return rule != NULL ? rule->name : NULL;
}

static void
resend_stop (Core *core, CoreTask *task)
{
  CoreCommand command = emit_command (task->stop_type, task->stop_why);

  if (core->now_us - task->stop_sent_us < RECLAIM_RESEND_US)
    return;
  task->stop_sent_us = core->now_us;
  emit_task (core, task, command);
}

static gboolean
is_overcommitted (const Core *core, const CoreWorker *worker)
{
  return !size_fits (tables_endpoints_demand (core, worker), worker->endpoints_size)
         || !size_fits (worker->tasks_size, worker->capacity);
}

static void
scan_worker (Core *core, CoreWorker *worker)
{
  uint32_t moves = 0;
  gboolean is_over_capacity = is_overcommitted (core, worker);

  for (guint i = 0; i < worker->tasks->len; i++)
    {
      CoreTask *task = g_ptr_array_index (worker->tasks, i);
      if (task->state == TASK_STOPPING)
        resend_stop (core, task);
      if (!may_evict (core, task) || moves >= RECLAIM_MOVES_PER_SCAN)
        continue;
      const char *rule = find_broken_rule (core, task, worker);
      if (rule != NULL)
        evict_with_reason (core, task, CORE_REASON_RULE, rule);
      else if (worker->state == WORKER_LEAVING && task->job->checkpoint_ms > 0)
        evict_with_reason (core, task, CORE_REASON_LEAVING, NULL);
      else if (is_over_capacity)
        evict_with_reason (core, task, CORE_REASON_PREEMPTION, NULL);
      else
        continue;
      moves++;
    }
}

static void
scan_workers (Core *core)
{
  guint n = MIN (core->workers->len, RECLAIM_SCAN_PER_TICK);

  for (guint i = 0; i < n; i++)
    {
      if (core->next_scan_row >= core->workers->len)
        core->next_scan_row = 0;
      CoreWorker *worker = tables_worker_row (core, core->next_scan_row++);
      if (worker->state != WORKER_GONE)
        scan_worker (core, worker);
    }
}

void
reclaim_run (Core *core)
{
  refill_budget (core);
  run_cancels (core);
  scan_workers (core);
}
