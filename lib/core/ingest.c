#include "core/tables.h"

#include <string.h>

#define INGEST_RETRY_FIRST_US (CLK_US_PER_S / 2)
#define INGEST_RETRY_SHIFT_MAX 6U

static gboolean
same_endpoints (const Core *core, const CoreWorker *worker, const CoreWorkerIn *in)
{
  guint n = 0;

  while (in->services != NULL && in->services[n] != NULL)
    {
      if (n >= worker->endpoints->len)
        return FALSE;
      uint32_t row = g_array_index (worker->endpoints, CoreEndpoint, n).service;
      if (strcmp (tables_service_row (core, row)->name, in->services[n]) != 0)
        return FALSE;
      n++;
    }
  return n == worker->endpoints->len;
}

static void
set_endpoints (Core *core, CoreWorker *worker, const CoreWorkerIn *in)
{
  if (same_endpoints (core, worker, in))
    return;
  GArray *old = worker->endpoints;
  worker->endpoints = g_array_new (FALSE, TRUE, sizeof (CoreEndpoint));
  for (guint n = 0; in->services != NULL && in->services[n] != NULL; n++)
    {
      CoreEndpoint endpoint = { .service = tables_service (core, in->services[n]) };
      for (guint i = 0; i < old->len; i++)
        {
          const CoreEndpoint *known = &g_array_index (old, CoreEndpoint, i);
          if (known->service == endpoint.service)
            endpoint = *known;
        }
      g_array_append_val (worker->endpoints, endpoint);
    }
  g_array_free (old, TRUE);
}

static gboolean
is_same_worker (const Core *core, const CoreWorker *worker, const CoreWorkerIn *in)
{
  return worker->incarnation == in->incarnation && worker->state == WORKER_LIVE
         && g_strcmp0 (worker->data_centre, in->data_centre) == 0
         && g_strcmp0 (worker->rack, in->rack) == 0
         && memcmp (&worker->capacity, &in->capacity, sizeof in->capacity) == 0
         && (in->labels != NULL) == (worker->announced != NULL)
         && (in->labels == NULL || lab_equal (worker->announced, in->labels))
         && same_endpoints (core, worker, in);
}

/* A new incarnation starts without a failure history. The tasks that it still runs are reported one
 * by one. */
static void
reset_health (Core *core, CoreWorker *worker)
{
  (void) g_ptr_array_remove (core->quarantined, worker);
  worker->first_seen_us = core->now_us;
  worker->n_streak = 0;
  worker->n_recent_starts = 0;
  worker->is_quarantined = FALSE;
  worker->is_probing = FALSE;
  worker->probe_backoff_us = 0;
  worker->trial_until_us = 0;
}

static void
handle_worker (Core *core, const CoreWorkerIn *in)
{
  CoreWorker *worker = tables_worker (core, in->id);

  if (worker != NULL && is_same_worker (core, worker, in))
    return;
  /* A leaving incarnation does not return, so a late announcement of it is ignored. */
  if (worker != NULL
      && (in->incarnation < worker->incarnation
          || (worker->state == WORKER_LEAVING && in->incarnation == worker->incarnation)))
    return;
  if (worker == NULL)
    worker = tables_worker_add (core, in->id);
  else
    core->fleet = size_sub (core->fleet, worker->capacity);
  if (worker->incarnation != in->incarnation)
    reset_health (core, worker);
  worker->state = WORKER_LIVE;
  worker->incarnation = in->incarnation;
  g_free (worker->data_centre);
  g_free (worker->rack);
  worker->data_centre = g_strdup (in->data_centre);
  worker->rack = g_strdup (in->rack);
  lab_free (worker->announced);
  worker->announced = in->labels != NULL ? lab_copy (in->labels) : NULL;
  worker->capacity = in->capacity;
  core->fleet = size_add (core->fleet, worker->capacity);
  set_endpoints (core, worker, in);
  rules_label_worker (core, worker);
  tables_grant_endpoints (core, worker);
  core->generation++;
}

static void
handle_worker_left (Core *core, const char *id)
{
  CoreWorker *worker = tables_worker (core, id);

  if (worker == NULL || worker->state != WORKER_LIVE)
    return;
  worker->state = WORKER_LEAVING;
  rules_label_worker (core, worker);
  core->generation++;
}

/* Ends an attempt that did not succeed: the task gets the state @p default_state, unless its job is
 * cancelled or given up. */
static void
end_attempt (Core *core, CoreTask *task, CoreTaskState default_state)
{
  CoreTaskState state = default_state;

  if (task->job->is_given_up)
    state = TASK_GIVEN_UP;
  if (task->job->is_cancelled)
    state = TASK_CANCELLED;
  CoreCommand command = emit_command (CORE_DO_CANCELLED, CORE_REASON_CANCEL);
  command.numbers[0] = (core->now_us - task->started_us) / CLK_US_PER_MS;
  if (task->worker != CORE_NONE)
    tables_release (core, task, state);
  else
    tables_set_state (core, task, state);
  if (state == TASK_CANCELLED)
    emit_task (core, task, command);
}

static void
handle_worker_lost (Core *core, const char *id)
{
  CoreWorker *worker = tables_worker (core, id);

  if (worker == NULL)
    return;
  core->interruptions += worker->tasks->len;
  while (worker->tasks->len > 0)
    end_attempt (core, g_ptr_array_index (worker->tasks, worker->tasks->len - 1), TASK_WAITING);
  tables_worker_remove (core, worker);
  rules_label_worker (core, worker);
  core->generation++;
}

static void
handle_usage (Core *core, const CoreUsageIn *in)
{
  CoreTask *task = tables_task (core, in->task);

  if (task == NULL || task->worker == CORE_NONE || task->attempt != in->attempt)
    return;
  CoreWorker *worker = tables_worker_row (core, task->worker);
  if (g_strcmp0 (worker->id, in->worker) != 0 || in->measured_us < task->started_us)
    return;
  CoreClass *batch_class = tables_class_row (core, task->job->class_row);
  tables_set_used (core, task, in->used);
  learn_add (&batch_class->cpu, in->used.cpu_milli, task->job->size.cpu_milli);
  learn_add (&batch_class->memory, in->used.memory_mb, task->job->size.memory_mb);
}

static void
handle_service (Core *core, const CoreServiceIn *in)
{
  CoreWorker *worker = tables_worker (core, in->worker);

  if (worker != NULL)
    interference_report (core, worker, in);
}

static void
handle_job (Core *core, const CoreJobIn *in)
{
  if (in->definition != NULL && tables_job (core, in->job) == NULL)
    (void) tables_job_add (core, in);
}

static void
handle_cancel (Core *core, uint64_t id)
{
  CoreJob *job = tables_job (core, id);

  if (job == NULL || job->is_cancelled || job->finished_us != 0)
    return;
  job->is_cancelled = TRUE;
  g_ptr_array_add (core->cancels, job);
}

/* Stops an attempt that was superseded by a newer one. */
static void
stop_stale (Core *core, const CoreTask *task, const CoreTaskIn *in)
{
  CoreCommand command = emit_command (CORE_DO_STOP, CORE_REASON_STALE);

  if (in->worker == NULL)
    return;
  command.task = in->task;
  command.attempt = in->attempt;
  command.numbers[0] = task->attempt;
  g_strlcpy (command.worker, in->worker, sizeof command.worker);
  emit (core, &command);
}

/* Takes over a running attempt that an earlier owner started. */
static void
adopt_running (Core *core, CoreTask *task, const CoreTaskIn *in)
{
  CoreWorker *worker = tables_worker (core, in->worker);

  if (worker == NULL)
    {
      tables_set_state (core, task, TASK_HELD);
      return;
    }
  DocSize available = size_max (size_sub (worker->capacity, worker->tasks_size), (DocSize){ 0 });
  worker->endpoints_size = (DocSize){ 0 };
  tables_assign (core, task, worker, size_min (learn_size (core, task->job), available));
  tables_grant_endpoints (core, worker);
  CoreCommand stop = emit_command (CORE_DO_STOP, CORE_REASON_CANCEL);
  if (task->job->is_given_up)
    stop.why = CORE_REASON_TASK_FAILS;
  if (task->job->is_cancelled || task->job->is_given_up)
    reclaim_stop (core, task, CORE_DO_STOP, &stop);
}

static void
handle_running (Core *core, CoreTask *task, const CoreTaskIn *in)
{
  const CoreWorker *worker = tables_worker_row (core, task->worker);
  gboolean is_here = worker != NULL && g_strcmp0 (worker->id, in->worker) == 0;
  gboolean is_over
      = task->state == TASK_DONE || task->state == TASK_CANCELLED || task->state == TASK_GIVEN_UP;

  if (is_here && task->attempt == in->attempt)
    return;
  if (is_over || in->attempt < task->attempt || (worker != NULL && in->attempt == task->attempt))
    {
      stop_stale (core, task, in);
      return;
    }
  if (worker != NULL)
    tables_release (core, task, TASK_WAITING);
  task->attempt = in->attempt;
  task->progress_ms = MAX (task->progress_ms, in->progress_ms);
  adopt_running (core, task, in);
}

static void
handle_done (Core *core, CoreTask *task)
{
  CoreWorker *worker = tables_worker_row (core, task->worker);

  if (worker != NULL)
    {
      health_done (core, task, worker);
      tables_release (core, task, TASK_DONE);
    }
  else
    {
      tables_set_state (core, task, TASK_DONE);
    }
}

static void
handle_failed (Core *core, CoreTask *task)
{
  CoreWorker *worker = tables_worker_row (core, task->worker);

  task->failures++;
  task->not_before_us
      = core->now_us + (INGEST_RETRY_FIRST_US << MIN (task->failures - 1, INGEST_RETRY_SHIFT_MAX));
  health_failed (core, task, worker);
  end_attempt (core, task, TASK_WAITING);
}

static void
handle_stopped (Core *core, CoreTask *task, const CoreTaskIn *in)
{
  if (in->event == CORE_TASK_CHECKPOINTED)
    task->progress_ms = MAX (task->progress_ms, in->progress_ms);
  else if (in->event == CORE_TASK_STOPPED && task->job->checkpoint_ms == 0)
    task->progress_ms = 0;
  if (in->event != CORE_TASK_REFUSED && task->state == TASK_LIVE)
    core->interruptions++;
  if (in->event == CORE_TASK_REFUSED)
    task->not_before_us = core->now_us + INGEST_RETRY_FIRST_US;
  end_attempt (core, task, TASK_WAITING);
}

static gboolean
is_over (const CoreTask *task)
{
  return task->state == TASK_DONE || task->state == TASK_CANCELLED || task->state == TASK_GIVEN_UP;
}

/* Whether a report comes from another instance than the one the task is on; such a report belongs
 * to an earlier attempt. */
static gboolean
is_elsewhere (const Core *core, const CoreTask *task, const CoreTaskIn *in)
{
  const CoreWorker *worker = tables_worker_row (core, task->worker);

  return worker != NULL && in->worker != NULL && strcmp (worker->id, in->worker) != 0;
}

static void
handle_task (Core *core, const CoreTaskIn *in)
{
  CoreTask *task = tables_task (core, in->task);

  if (task == NULL)
    return;
  if (in->event == CORE_TASK_RUNNING)
    {
      handle_running (core, task, in);
      return;
    }
  if (is_over (task) || is_elsewhere (core, task, in))
    return;
  if (task->worker != CORE_NONE && in->attempt < task->attempt)
    return;
  task->attempt = MAX (task->attempt, in->attempt);
  switch (in->event)
    {
    case CORE_TASK_DONE:
      handle_done (core, task);
      break;
    case CORE_TASK_FAILED:
      handle_failed (core, task);
      break;
    case CORE_TASK_CHECKPOINTED:
    case CORE_TASK_STOPPED:
    case CORE_TASK_REFUSED:
      handle_stopped (core, task, in);
      break;
    case CORE_TASK_HELD:
      if (task->worker == CORE_NONE)
        tables_set_state (core, task, TASK_HELD);
      break;
    case CORE_TASK_FREE:
      end_attempt (core, task, TASK_WAITING);
      break;
    case CORE_TASK_RUNNING:
      break;
    }
}

void
ingest_run (Core *core, const CoreInput *inputs, size_t n_inputs)
{
  for (size_t i = 0; i < n_inputs; i++)
    {
      const CoreInput *input = &inputs[i];
      switch (input->type)
        {
        case CORE_IN_WORKER:
          handle_worker (core, &input->worker);
          break;
        case CORE_IN_WORKER_LEFT:
          handle_worker_left (core, input->worker_id);
          break;
        case CORE_IN_WORKER_LOST:
          handle_worker_lost (core, input->worker_id);
          break;
        case CORE_IN_USAGE:
          handle_usage (core, &input->usage);
          break;
        case CORE_IN_SERVICE:
          handle_service (core, &input->service);
          break;
        case CORE_IN_JOB:
          handle_job (core, &input->job);
          break;
        case CORE_IN_CANCEL:
          handle_cancel (core, input->cancelled_job);
          break;
        case CORE_IN_TASK:
          handle_task (core, &input->task);
          break;
        }
    }
}
