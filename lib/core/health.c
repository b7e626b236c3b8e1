#include "core/tables.h"

#define HEALTH_PROVEN_AFTER_US (5 * CLK_US_PER_S)
#define HEALTH_STREAK_QUARANTINE 3U
#define HEALTH_PROBE_FIRST_US (30 * CLK_US_PER_S)
#define HEALTH_PROBE_MAX_US (600 * CLK_US_PER_S)

/* Whether the job can run: a task of it is done, or an attempt on another worker than @p except_row
 * has run for more than 5 s plus twice the longest failed run. */
static gboolean
has_proven_run (const Core *core, const CoreJob *job, uint32_t except_row)
{
  if (job != NULL && job->count[TASK_DONE] > 0)
    return TRUE;
  if (job == NULL || job->tasks == NULL)
    return FALSE;
  int64_t proven_after_us = HEALTH_PROVEN_AFTER_US + 2 * job->failed_run_us;
  for (uint32_t i = 0; i < job->n_tasks; i++)
    {
      const CoreTask *task = &job->tasks[i];
      if (task->worker != CORE_NONE && task->worker != except_row
          && core->now_us - task->started_us > proven_after_us)
        return TRUE;
    }
  return FALSE;
}

static gboolean
is_bad_job (const Core *core, const CoreJob *job)
{
  return job == NULL || job->is_given_up
         || (job->n_failed_on >= 2 && !has_proven_run (core, job, CORE_NONE));
}

static void
record_failed_on (CoreJob *job, uint32_t row)
{
  for (uint32_t i = 0; i < job->n_failed_on; i++)
    {
      if (job->failed_on[i] == row)
        return;
    }
  if (job->n_failed_on < CORE_FAILED_ON_MAX)
    job->failed_on[job->n_failed_on++] = row;
}

static void
remove_failed_on (CoreJob *job, uint32_t row)
{
  for (uint32_t i = 0; i < job->n_failed_on; i++)
    {
      if (job->failed_on[i] == row)
        job->failed_on[i--] = job->failed_on[--job->n_failed_on];
    }
}

/* Drops the failures of jobs that fail on several instances: they do not indicate a fault of this
 * one.
 */
static void
drop_failing_jobs (const Core *core, CoreWorker *worker)
{
  uint32_t kept = 0;

  for (uint32_t i = 0; i < worker->n_streak; i++)
    {
      if (!is_bad_job (core, tables_job (core, worker->streak[i].job)))
        worker->streak[kept++] = worker->streak[i];
    }
  worker->n_streak = kept;
}

static uint32_t
count_jobs (const CoreWorker *worker)
{
  uint32_t n = 0;

  for (uint32_t i = 0; i < worker->n_streak; i++)
    {
      gboolean is_first = TRUE;
      for (uint32_t j = 0; j < i; j++)
        {
          if (worker->streak[j].job == worker->streak[i].job)
            is_first = FALSE;
        }
      if (is_first)
        n++;
    }
  return n;
}

static gboolean
is_bad_worker (const Core *core, const CoreWorker *worker)
{
  if (worker->n_streak < HEALTH_STREAK_QUARANTINE)
    return FALSE;
  return count_jobs (worker) >= 2
         || has_proven_run (core, tables_job (core, worker->streak[0].job), worker->row);
}

/* Subtracts the failures that a faulty worker caused, so that they do not use up the tasks'
 * retries.
 */
static void
refund_retries (const Core *core, const CoreWorker *worker)
{
  for (uint32_t i = 0; i < worker->n_streak; i++)
    {
      CoreJob *job = tables_job (core, worker->streak[i].job);
      if (job == NULL || job->tasks == NULL)
        continue;
      CoreTask *task = &job->tasks[worker->streak[i].index];
      if (task->failures > 0)
        task->failures--;
      task->not_before_us = 0;
      remove_failed_on (job, worker->row);
    }
}

static void
quarantine (Core *core, CoreWorker *worker)
{
  CoreCommand command = emit_command (CORE_DO_QUARANTINE, CORE_REASON_WORKER_FAILS);

  command.numbers[0] = worker->n_streak;
  command.numbers[1] = count_jobs (worker);
  g_strlcpy (command.worker, worker->id, sizeof command.worker);
  refund_retries (core, worker);
  worker->n_streak = 0;
  worker->is_quarantined = TRUE;
  worker->quarantined_us = core->now_us;
  worker->probe_backoff_us = HEALTH_PROBE_FIRST_US;
  worker->probe_at_us = core->now_us + worker->probe_backoff_us;
  g_ptr_array_add (core->quarantined, worker);
  emit (core, &command);
}

static void
release (Core *core, CoreWorker *worker)
{
  CoreCommand command = emit_command (CORE_DO_RELEASE, CORE_REASON_PROBE_WORKER);

  command.numbers[0] = (core->now_us - worker->quarantined_us) / CLK_US_PER_MS;
  g_strlcpy (command.worker, worker->id, sizeof command.worker);
  worker->is_quarantined = FALSE;
  worker->is_probing = FALSE;
  worker->n_streak = 0;
  emit (core, &command);
}

static void
postpone_probe (Core *core, CoreWorker *worker)
{
  worker->is_probing = FALSE;
  worker->probe_backoff_us = MIN (2 * worker->probe_backoff_us, HEALTH_PROBE_MAX_US);
  worker->probe_at_us = core->now_us + worker->probe_backoff_us;
}

/* The failure limit applies once a second instance has confirmed the failure, or if only one may
 * run the job. */
static gboolean
is_beyond_limit (Core *core, CoreTask *task)
{
  CoreJob *job = task->job;

  if (task->failures < job->max_failures)
    return FALSE;
  if (!tables_has_mechanism (core, CORE_MECHANISM_FAULT_ATTRIBUTION))
    return TRUE;
  return job->n_failed_on >= 2 || job->n_failed_on == 0
         || rules_candidates (core, job->constraints)->len < 2;
}

static void
give_up (Core *core, CoreTask *task)
{
  CoreJob *job = task->job;
  CoreCommand command = emit_command (CORE_DO_GIVE_UP, CORE_REASON_TASK_FAILS);
  CoreCommand stop = emit_command (CORE_DO_STOP, CORE_REASON_TASK_FAILS);

  command.numbers[0] = task->failures;
  command.numbers[1] = job->max_failures;
  command.numbers[2] = job->n_failed_on;
  job->is_given_up = TRUE;
  emit_task (core, task, command);
  for (uint32_t i = 0; i < job->n_tasks; i++)
    {
      CoreTask *other = &job->tasks[i];
      if (other->state == TASK_WAITING)
        tables_set_state (core, other, TASK_GIVEN_UP);
      else if (other->state == TASK_LIVE && other != task)
        reclaim_stop (core, other, CORE_DO_STOP, &stop);
    }
}

static void
attribute_to_worker (Core *core, CoreTask *task, CoreWorker *worker)
{
  if (worker->n_recent_starts > 0)
    worker->n_recent_starts--;
  if (task->is_probe)
    {
      task->failures--;
      postpone_probe (core, worker);
      return;
    }
  if (worker->is_quarantined)
    {
      task->failures--;
      task->not_before_us = 0;
      return;
    }
  if (worker->n_streak < CORE_STREAK_MAX)
    worker->streak[worker->n_streak++] = (CoreFailure){ task->job->id, task->index };
  drop_failing_jobs (core, worker);
  if (is_bad_worker (core, worker))
    quarantine (core, worker);
}

void
health_failed (Core *core, CoreTask *task, CoreWorker *worker)
{
  CoreJob *job = task->job;

  if (worker != NULL)
    {
      gboolean counts = !worker->is_quarantined && !task->is_probe;
      task->failed_on = worker->row;
      job->failed_run_us = MAX (job->failed_run_us, core->now_us - task->started_us);
      if (counts)
        record_failed_on (job, worker->row);
      if (tables_has_mechanism (core, CORE_MECHANISM_FAULT_ATTRIBUTION))
        attribute_to_worker (core, task, worker);
    }
  if (!job->is_given_up && !job->is_cancelled && is_beyond_limit (core, task))
    give_up (core, task);
}

void
health_done (Core *core, CoreTask *task, CoreWorker *worker)
{
  CoreClass *batch_class = tables_class_row (core, task->job->class_row);
  int64_t ran_ms = task->progress_ms + (core->now_us - task->started_us) / CLK_US_PER_MS;

  learn_add (&batch_class->run, ran_ms, task->job->run_ms);
  worker->n_streak = 0;
  if (worker->n_recent_starts > 0)
    worker->n_recent_starts--;
  if (worker->is_quarantined && task->is_probe)
    {
      (void) g_ptr_array_remove (core->quarantined, worker);
      release (core, worker);
    }
}

static void
expire_recent_starts (const Core *core, CoreWorker *worker)
{
  while (worker->n_recent_starts > 0
         && core->now_us - worker->recent_starts_us[0] >= HEALTH_PROVEN_AFTER_US)
    {
      worker->n_recent_starts--;
      for (uint32_t i = 0; i < worker->n_recent_starts; i++)
        worker->recent_starts_us[i] = worker->recent_starts_us[i + 1];
    }
}

uint32_t
health_start_allowance (Core *core, CoreWorker *worker)
{
  if (!tables_has_mechanism (core, CORE_MECHANISM_FAULT_ATTRIBUTION))
    return CORE_RECENT_STARTS_MAX;
  if (worker->is_quarantined)
    return !worker->is_probing && core->now_us >= worker->probe_at_us ? 1 : 0;
  expire_recent_starts (core, worker);
  if (worker->n_streak > 0)
    drop_failing_jobs (core, worker);
  if (is_bad_worker (core, worker))
    {
      quarantine (core, worker);
      return 0;
    }
  uint32_t unproven = worker->n_recent_starts + worker->n_streak;
  return unproven < CORE_RECENT_STARTS_MAX ? CORE_RECENT_STARTS_MAX - unproven : 0;
}

gboolean
health_allows_job (Core *core, const CoreJob *job)
{
  if (!tables_has_mechanism (core, CORE_MECHANISM_FAULT_ATTRIBUTION) || job->n_failed_on == 0)
    return TRUE;
  if (job->count[TASK_LIVE] + job->count[TASK_STOPPING] == 0)
    return TRUE;
  return has_proven_run (core, job, CORE_NONE);
}

void
health_started (Core *core, CoreWorker *worker, const CoreTask *task)
{
  if (task->is_probe)
    {
      worker->is_probing = TRUE;
      return;
    }
  expire_recent_starts (core, worker);
  if (worker->n_recent_starts < CORE_RECENT_STARTS_MAX)
    worker->recent_starts_us[worker->n_recent_starts++] = core->now_us;
}

static const CoreTask *
find_probe (const CoreWorker *worker)
{
  for (guint i = 0; i < worker->tasks->len; i++)
    {
      const CoreTask *task = g_ptr_array_index (worker->tasks, i);
      if (task->is_probe)
        return task;
    }
  return NULL;
}

/* Schedules another probe if the probe ended for an unrelated reason. Releases the worker once the
 * probe has run for long enough. */
static void
check_probe (Core *core, CoreWorker *worker)
{
  const CoreTask *probe = find_probe (worker);

  if (probe == NULL)
    {
      worker->is_probing = FALSE;
      worker->probe_at_us = MAX (worker->probe_at_us, core->now_us + HEALTH_PROVEN_AFTER_US);
      return;
    }
  if (core->now_us - probe->started_us >= 2 * HEALTH_PROVEN_AFTER_US)
    release (core, worker);
}

void
health_run (Core *core)
{
  for (guint i = 0; i < core->quarantined->len; i++)
    {
      CoreWorker *worker = g_ptr_array_index (core->quarantined, i);
      if (worker->is_quarantined && worker->is_probing)
        check_probe (core, worker);
      if (!worker->is_quarantined)
        g_ptr_array_remove_index (core->quarantined, i--);
    }
}
