#include <string.h>

#include "batch/message.h"
#include "batch/sched_tables.h"

/** Shortest and longest quarantine of a worker; each one is twice as long as the previous one. */
#define QUARANTINE_FIRST_MS 2000
#define QUARANTINE_MAX_MS 16000

static void
order_free (gpointer data)
{
  batch__order__free_unpacked (data, NULL);
}

SchedWorker *
sched_worker_new (Sched *sched, const char *name)
{
  SchedWorker *worker = g_new0 (SchedWorker, 1);

  worker->sched = sched;
  worker->name = g_strdup (name);
  worker->orders = g_ptr_array_new_with_free_func (order_free);
  worker->tasks = g_ptr_array_new ();
  worker->orphaned_runs = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  worker->exposures = g_array_new (FALSE, FALSE, sizeof (SchedExposure));
  worker->next_number = 1;
  return worker;
}

void
sched_worker_free (gpointer data)
{
  SchedWorker *worker = data;

  g_array_unref (worker->exposures);
  g_clear_pointer (&worker->confined, g_hash_table_destroy);
  g_ptr_array_unref (worker->tasks);
  g_hash_table_destroy (worker->orphaned_runs);
  g_ptr_array_unref (worker->orders);
  worker_info_free (worker->info);
  g_free (worker->name);
  g_free (worker);
}

gboolean
sched_is_evacuated (const Sched *sched, const SchedWorker *worker)
{
  return sched->evacuations != NULL && worker->info != NULL
         && evacuations_contains (sched->evacuations, worker->info->data_centre);
}

gboolean
sched_is_report_outdated (const Sched *sched, const SchedWorker *worker)
{
  return sched->now_us - worker->report_us > sched->options.report_age_max_ms * 1000;
}

SchedRefusal
sched_worker_refusal (const Sched *sched, const SchedWorker *worker)
{
  if (worker->report_us == 0 || worker->report_version == 0)
    return SCHED_REFUSES_SILENT;
  if (sched_is_report_outdated (sched, worker))
    return SCHED_REFUSES_OUTDATED;
  if (sched_is_published (sched, worker))
    return SCHED_REFUSES_PUBLISHED;
  if (worker->info->is_draining)
    return SCHED_REFUSES_DRAINING;
  if (worker->is_leaving)
    return SCHED_REFUSES_LEAVING;
  if (sched_is_evacuated (sched, worker))
    return SCHED_REFUSES_EVACUATED;
  if (g_hash_table_size (worker->orphaned_runs) > 0)
    return SCHED_REFUSES_ORPHANED_RUNS;
  if (sched->now_us < worker->quarantine_until_us)
    return SCHED_REFUSES_QUARANTINED;
  if (sched->now_us < worker->refused_until_us)
    return SCHED_REFUSES_STARTS;
  return sched->are_starts_held ? SCHED_REFUSES_HELD : SCHED_ACCEPTS;
}

static void
account (SchedWorker *worker, const SchedTask *task, int64_t sign)
{
  const JobStep *step = task->stage->step;

  if (step->is_best_effort)
    worker->best_effort_cpu_m += sign * step->size.cpu_m;
  else
    worker->used.cpu_m += sign * step->size.cpu_m;
  worker->used.mem_mb += sign * step->size.mem_mb;
  worker->used.gpus += sign * step->size.gpus;
  if (!step->is_continuous)
    task->stage->job->running_cpu_m += sign * step->size.cpu_m;
  if (sched_is_serving (task))
    {
      worker->n_serving += (uint32_t) sign;
      worker->serving_cpu_m += sign * step->size.cpu_m;
    }
}

void
sched_attach (SchedWorker *worker, SchedTask *task, int64_t now_us)
{
  if (task->state == TASK_WAITING)
    task->stage->n_waiting--;
  task->state = TASK_PLACED;
  task->worker = worker;
  task->placed_us = now_us;
  task->percent = 0;
  task->percent_us = now_us;
  task->measurement = 0;
  task->cpu_limit = SCHED_CPU_LIMIT_NONE;
  task->cpu_limit_us = 0;
  task->kept_us = 0;
  task->offset = (InterferenceTask){ 0 };
  task->activity = SCHED_ACTIVITY_DEFAULT;
  task->over_us = 0;
  task->is_starting = TRUE;
  task->is_stopping = FALSE;
  task->stage->job->n_changes++;
  g_ptr_array_add (worker->tasks, task);
  account (worker, task, 1);
  sched_tails_attach (worker, task);
}

/* Whether a later run of the task may be at an agent that has not reported in this term. */
static gboolean
may_run_elsewhere (const Sched *sched, const SchedTask *task)
{
  return sched->reconcile_until_us != 0 && task->stage->job->is_old;
}

void
sched_detach (SchedTask *task, TaskState state)
{
  SchedWorker *worker = task->worker;

  g_assert (worker != NULL);
  sched_tails_detach (worker, task);
  account (worker, task, -1);
  (void) g_ptr_array_remove_fast (worker->tasks, task);
  worker->has_suspect &= worker->tasks->len > 0;
  task->stage->job->n_changes++;
  task->worker = NULL;
  task->state = state;
  task->order_number = 0;
  task->is_stopping = FALSE;
  if (state != TASK_WAITING)
    return;
  if (may_run_elsewhere (worker->sched, task))
    task->state = TASK_UNCONFIRMED;
  else
    sched_release_task (task);
}

/* The agent refuses the start if the worker's capacity has shrunk below that meanwhile. The
 * processors of a best-effort task do not count. */
static void
add_needs (Batch__Start *start, const SchedWorker *worker, const SchedTask *task)
{
  start->has_needs = TRUE;
  start->needs_cpu_m = task->stage->step->is_best_effort ? 0 : worker->used.cpu_m;
  start->needs_mem_mb = worker->used.mem_mb;
  start->needs_gpus = worker->used.gpus;
}

void
sched_order_start (Sched *sched, SchedWorker *worker, SchedTask *task)
{
  SchedJob *job = task->stage->job;
  SchedStage *first = sched_find_stage (job, task->stage->occurrence, 0);
  Batch__Order *order = sched_order_new (BATCH__ORDER__WHAT_START);
  g_autofree char *name = sched_task_name (task);

  order->start = message_alloc (sizeof *order->start);
  batch__start__init (order->start);
  order->start->task = message_strdup (name);
  order->start->run = task->run;
  order->start->spec = message_strdup (job->spec->spec);
  order->start->saved = message_strdup (task->checkpoint);
  order->start->ticket = message_strdup ("");
  sched_attach (worker, task, sched->now_us);
  if (first->started_wall_ms == 0)
    first->started_wall_ms = sched->wall_ms;
  if (!job->has_begun)
    job->ordered_us = sched->now_us;
  add_needs (order->start, worker, task);
  task->order_number = sched_order_add (worker, order);
  worker->has_suspect |= sched_is_suspect (task);
  sched_note (sched, "start", job->id,
              "task=%s run=%" G_GINT64_FORMAT " worker=%s used_cpu_m=%" G_GINT64_FORMAT
              " report_age_ms=%" G_GINT64_FORMAT,
              name, task->run, worker->name, worker->used.cpu_m,
              (sched->now_us - worker->report_us) / 1000);
}

void
sched_mark_begun (Sched *sched, SchedJob *job)
{
  if (job->has_begun)
    return;
  job->has_begun = TRUE;
  sched_note_first_start (sched, job);
  sched_mark_dirty (sched, job);
}

void
sched_order_stop_run (SchedWorker *worker, const char *task, int64_t run)
{
  Batch__Order *order = sched_order_new (BATCH__ORDER__WHAT_STOP);

  order->stop = message_alloc (sizeof *order->stop);
  batch__stop__init (order->stop);
  order->stop->task = message_strdup (task);
  order->stop->run = run;
  (void) sched_order_add (worker, order);
}

void
sched_order_stop (Sched *sched, SchedTask *task, const char *reason)
{
  g_autofree char *name = sched_task_name (task);

  if (task->is_stopping || task->worker == NULL)
    return;
  task->is_stopping = TRUE;
  sched_order_stop_run (task->worker, name, task->run);
  sched_note (sched, "stop", task->stage->job->id,
              "task=%s run=%" G_GINT64_FORMAT " worker=%s reason=%s percent=%" G_GINT64_FORMAT,
              name, task->run, task->worker->name, reason, task->percent);
}

void
sched_order_cpu_limit (Sched *sched, SchedTask *task, uint32_t percent)
{
  g_autofree char *name = sched_task_name (task);

  if (task->cpu_limit == percent)
    return;
  Batch__Order *order = sched_order_new (BATCH__ORDER__WHAT_PACE);
  order->pace = message_alloc (sizeof *order->pace);
  batch__pace__init (order->pace);
  order->pace->task = message_strdup (name);
  order->pace->run = task->run;
  order->pace->percent = percent;
  (void) sched_order_add (task->worker, order);
  task->cpu_limit = percent;
  task->cpu_limit_us = sched->now_us;
  sched_tails_cpu_limit (task->worker, task);
  task->percent_us = sched->now_us;
  sched_note (sched, "pace", task->stage->job->id, "task=%s worker=%s percent=%u", name,
              task->worker->name, percent);
}

void
sched_lose_worker (Sched *sched, SchedWorker *worker, const char *reason)
{
  sched_note (sched, "worker_lost", "-",
              "worker=%s reason=%s tasks=%u report_age_ms=%" G_GINT64_FORMAT, worker->name, reason,
              worker->tasks->len, (sched->now_us - worker->report_us) / 1000);
  while (worker->tasks->len > 0)
    {
      SchedTask *task = g_ptr_array_index (worker->tasks, 0);
      sched_detach (task, TASK_WAITING);
      sched_complete_if_done_elsewhere (sched, task);
    }
  sched_orders_clear (worker);
  worker->boot = 0;
  worker->incarnation = 0;
  worker->report_us = 0;
  worker->no_report_us = sched->now_us;
  worker->report_version = 0;
  g_hash_table_remove_all (worker->orphaned_runs);
}

void
sched_quarantine_worker (Sched *sched, SchedWorker *worker, const char *reason)
{
  worker->quarantine_ms = CLAMP (worker->quarantine_ms * 2, QUARANTINE_FIRST_MS, QUARANTINE_MAX_MS);
  worker->quarantine_until_us = sched->now_us + worker->quarantine_ms * 1000;
  sched_note (sched, "worker_shunned", "-",
              "worker=%s reason=%s for_ms=%" G_GINT64_FORMAT " failures=%u", worker->name, reason,
              worker->quarantine_ms, worker->fail_streak);
}
