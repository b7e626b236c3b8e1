#include <string.h>

#include "batch/sched_tables.h"
#include "common/clk.h"
#include "platform/runner.h"

/** Assumed age of the measurements in a report that does not state it: half of the report interval.
 */
#define MEASUREMENT_AGE_MS 200
/** Largest age of the measurements: agents that have not polled for longer do not report. */
#define MEASUREMENT_AGE_MAX_MS 1500
/** Shortest and longest pause after a refused start; each one is twice as long as the previous one.
 */
#define REFUSAL_PAUSE_MIN_MS 200
#define REFUSAL_PAUSE_MAX_MS 800
#define PERCENT_MAX 100
/** Consecutive failures after which a worker is quarantined. */
#define FAIL_STREAK_MAX 2
/** Largest number of a run, an end or a report, and latest clock: larger ones are not exact in
 * JSON.
 */
#define NUMBER_MAX (INT64_C (1) << 53)

static WorkerInfo *
to_info (const Batch__Worker *row)
{
  WorkerInfo *info = worker_info_new ();

  info->id = g_strdup (row->id);
  info->started_wall_ms = row->born_wall_ms;
  info->service = g_strdup (row->service);
  info->data_centre = g_strdup (row->data_centre);
  info->instance = g_strdup (row->instance);
  info->labels = g_new0 (char *, row->n_labels + 1);
  for (size_t i = 0; i < row->n_labels; i++)
    info->labels[i] = g_strdup (row->labels[i]);
  info->capacity
      = (JobSize){ CLAMP (row->cpu_m, 0, JOB_SIZE_MAX), CLAMP (row->mem_mb, 0, JOB_SIZE_MAX),
                   CLAMP (row->gpus, 0, JOB_SIZE_MAX) };
  info->is_draining = row->is_draining;
  info->remaining_ms = row->remaining_ms;
  return info;
}

static void
keep_checkpoint (SchedTask *task, const char *checkpoint)
{
  if (*checkpoint == '\0' || strcmp (task->checkpoint, checkpoint) == 0)
    return;
  g_free (task->checkpoint);
  task->checkpoint = g_strdup (checkpoint);
}

static gboolean
is_in_range (int64_t number)
{
  return number > 0 && number <= NUMBER_MAX;
}

static gboolean
is_placed_as (const SchedTask *task, const SchedWorker *worker, int64_t run)
{
  return task->state == TASK_PLACED && task->worker == worker && task->run == run;
}

static void
note_end (Sched *sched, const SchedWorker *worker, const Batch__Ended *end)
{
  char job[JOB_ID_CHARS + 1];

  (void) g_strlcpy (job, end->task, sizeof job);
  sched_note (sched, "end", job, "task=%s run=%" G_GINT64_FORMAT " worker=%s how=%s", end->task,
              end->run, worker->name,
              end->how < WORKER_END_COUNT ? worker_end_name ((WorkerEndHow) end->how) : "unknown");
}

static void
apply_failure (Sched *sched, SchedWorker *worker, SchedTask *task, int64_t run)
{
  task->avoid = worker;
  worker->fail_streak++;
  if (worker->fail_streak >= FAIL_STREAK_MAX && sched->now_us >= worker->quarantine_until_us)
    sched_quarantine_worker (sched, worker, "failures");
  sched_task_failed (sched, task, run);
}

static void
apply_end (Sched *sched, SchedWorker *worker, const Batch__Ended *end)
{
  SchedTask *task = sched_find_task (sched, end->task);

  note_end (sched, worker, end);
  if (task == NULL || task->state == TASK_DONE)
    return;
  sched_mark_begun (sched, task->stage->job);
  gboolean is_ours = is_placed_as (task, worker, end->run);
  task->run = MAX (task->run, end->run);
  if (end->how == WORKER_END_DONE && !task->stage->step->is_continuous)
    {
      if (task->state == TASK_PLACED && !is_ours)
        {
          sched_order_stop (sched, task, "done_elsewhere");
          task->is_done_elsewhere = TRUE;
          sched_mark_dirty (sched, task->stage->job);
          return;
        }
      worker->fail_streak = 0;
      worker->quarantine_ms = 0;
      if (is_ours && task->order_number != 0 && task->cpu_limit_us == 0
          && *task->checkpoint == '\0')
        sched_learn_duration (sched, task, (sched->now_us - task->placed_us) / 1000);
      sched_task_done (sched, task);
      return;
    }
  if (end->how == WORKER_END_STOPPED || end->how == WORKER_END_EXPIRED)
    keep_checkpoint (task, end->saved);
  if (is_ours)
    {
      sched_clear_by_end (sched, task);
      sched_detach (task, TASK_WAITING);
      sched_complete_if_done_elsewhere (sched, task);
    }
  if (task->state == TASK_DONE)
    return;
  if (end->how == WORKER_END_FAILED)
    apply_failure (sched, worker, task, end->run);
}

static gboolean
may_adopt (const SchedTask *task, int64_t run)
{
  return (task->state == TASK_UNCONFIRMED || task->state == TASK_WAITING
          || task->state == TASK_UNWRITTEN)
         && run >= task->run && is_in_range (run) && sched_job_is_open (task->stage->job);
}

/* A previous owner may have throttled a best-effort task, which would otherwise stay throttled. */
static void
adopt_cpu_limit (Sched *sched, SchedWorker *worker, SchedTask *task, const Batch__Running *row)
{
  if (!task->stage->step->is_best_effort)
    return;
  if (row->pace_known == 0)
    {
      task->cpu_limit = 0;
      sched_order_cpu_limit (sched, task, SCHED_CPU_LIMIT_NONE);
      return;
    }
  task->cpu_limit = MIN (row->pace_known - 1, SCHED_CPU_LIMIT_NONE);
  sched_tails_cpu_limit (worker, task);
}

static void
adopt (Sched *sched, SchedWorker *worker, SchedTask *task, const Batch__Running *row)
{
  task->run = row->run;
  sched_attach (worker, task, sched->now_us);
  adopt_cpu_limit (sched, worker, task, row);
  worker->has_suspect |= sched_is_suspect (task);
  sched_note (sched, "adopt", task->stage->job->id, "task=%s run=%" G_GINT64_FORMAT " worker=%s",
              row->task, row->run, worker->name);
}

static char *
run_key (const char *task, int64_t run)
{
  return g_strdup_printf ("%s %" G_GINT64_FORMAT, task, run);
}

/* Stops a run that should not exist; the stop is repeated until the run is gone. */
static void
stop_orphaned_run (SchedWorker *worker, const Batch__Running *row)
{
  (void) g_hash_table_add (worker->orphaned_runs, run_key (row->task, row->run));
  for (guint i = 0; i < worker->orders->len; i++)
    {
      const Batch__Order *order = g_ptr_array_index (worker->orders, i);
      if (order->what_case == BATCH__ORDER__WHAT_STOP && order->stop->run == row->run
          && strcmp (order->stop->task, row->task) == 0)
        return;
    }
  sched_order_stop_run (worker, row->task, row->run);
}

static void
apply_running (Sched *sched, SchedWorker *worker, const Batch__Running *row)
{
  SchedTask *task = sched_find_task (sched, row->task);

  if (task != NULL && !is_placed_as (task, worker, row->run) && may_adopt (task, row->run))
    adopt (sched, worker, task, row);
  if (task == NULL || !is_placed_as (task, worker, row->run))
    {
      stop_orphaned_run (worker, row);
      return;
    }
  if (task->is_starting && !row->is_starting)
    worker->refused_ms = 0;
  if (!row->is_starting)
    sched_mark_begun (sched, task->stage->job);
  task->is_listed = TRUE;
  task->is_starting = row->is_starting;
  task->measurement = row->figure;
  keep_checkpoint (task, row->saved);
  int32_t percent = CLAMP (row->percent, 0, PERCENT_MAX);
  if (task->percent != percent || row->is_starting)
    task->percent_us = sched->now_us;
  task->percent = percent;
  if (!sched_job_is_open (task->stage->job))
    sched_order_stop (sched, task, "job_ended");
}

/* Whether the refusal is about the task or the run, not about the state of the worker. */
static gboolean
is_refusal_of_task (uint32_t outcome)
{
  return outcome == RUNNER_MALFORMED || outcome == RUNNER_NO_TICKET || outcome == RUNNER_OLD_RUN;
}

/* Ordered again at once, a start would be refused again, and each try uses up a run number. */
static void
pause_starts (const Sched *sched, SchedWorker *worker, uint32_t outcome)
{
  if (sched->now_us < worker->refused_until_us || is_refusal_of_task (outcome))
    return;
  worker->refused_ms = CLAMP (worker->refused_ms * 2, REFUSAL_PAUSE_MIN_MS, REFUSAL_PAUSE_MAX_MS);
  worker->refused_until_us = sched->now_us + worker->refused_ms * CLK_US_PER_MS;
}

static void
note_refusals (Sched *sched, SchedWorker *worker, const Batch__Report *report)
{
  for (size_t i = 0; i < report->n_refused; i++)
    {
      const Batch__Refused *row = report->refused[i];
      SchedTask *task = sched_find_task (sched, row->task);
      if (task == NULL || task->run != row->run || task->worker != worker)
        continue;
      task->avoid = task->worker;
      pause_starts (sched, worker, row->outcome);
      sched_note (sched, "refused", task->stage->job->id,
                  "task=%s run=%" G_GINT64_FORMAT " worker=%s outcome=%u", row->task, row->run,
                  worker->name, row->outcome);
    }
}

static void
apply_gone (Sched *sched, SchedWorker *worker, const Batch__Gone *row)
{
  SchedTask *task = sched_find_task (sched, row->task);
  g_autofree char *key = run_key (row->task, row->run);

  (void) g_hash_table_remove (worker->orphaned_runs, key);
  if (task == NULL || !is_placed_as (task, worker, row->run))
    return;
  sched_detach (task, TASK_WAITING);
  sched_complete_if_done_elsewhere (sched, task);
}

static void
clear_listed (SchedWorker *worker)
{
  for (guint i = 0; i < worker->tasks->len; i++)
    ((SchedTask *) g_ptr_array_index (worker->tasks, i))->is_listed = FALSE;
}

static void
drop_unlisted (Sched *sched, SchedWorker *worker)
{
  for (guint i = worker->tasks->len; i-- > 0;)
    {
      /* The end of a gang removes several tasks from the list. */
      if (i >= worker->tasks->len)
        continue;
      SchedTask *task = g_ptr_array_index (worker->tasks, i);
      if (task->is_listed || task->order_number > worker->done_number)
        continue;
      sched_detach (task, TASK_WAITING);
      sched_complete_if_done_elsewhere (sched, task);
    }
}

static void
begin_incarnation (Sched *sched, SchedWorker *worker, const Batch__Report *report)
{
  if (worker->boot != report->boot)
    {
      worker->crashes_applied = 0;
      worker->crashes_written = 0;
    }
  worker->boot = report->boot;
  worker->incarnation = report->life;
  worker->report_version = 0;
  worker->ends_applied = 0;
  worker->ends_written = 0;
  worker->sent_number = 0;
  worker->fail_streak = 0;
  worker->is_message_due = TRUE;
  /* An agent that was forgotten and added again skips the numbers that it has executed. */
  worker->next_number = MAX (worker->next_number, report->done_number + 1);
  sched_orders_clear (worker);
  for (guint i = 0; i < worker->tasks->len; i++)
    {
      SchedTask *task = g_ptr_array_index (worker->tasks, i);
      task->order_number = 0;
      /* The order was lost with the old incarnation; the stop is repeated if the task still runs.
       */
      task->is_stopping = FALSE;
    }
  sched_note (sched, "worker_found", "-",
              "worker=%s boot=%" G_GUINT64_FORMAT " life=%" G_GUINT64_FORMAT
              " running=%zu ended=%zu",
              worker->name, report->boot, report->life, report->n_running, report->n_ended);
}

static void
note_draining (Sched *sched, SchedWorker *worker, gboolean was_draining)
{
  if (!was_draining && worker->info->is_draining)
    sched_note (sched, "worker_drains", "-", "worker=%s remaining_ms=%" G_GINT64_FORMAT,
                worker->name, worker->info->remaining_ms);
}

static void
note_capacity (Sched *sched, const SchedWorker *worker, JobSize before)
{
  const JobSize *now = &worker->info->capacity;

  if (before.cpu_m != now->cpu_m || before.mem_mb != now->mem_mb || before.gpus != now->gpus)
    sched_note (sched, "worker_resized", "-",
                "worker=%s cpu_m=%" G_GINT64_FORMAT " used_m=%" G_GINT64_FORMAT
                " mem_mb=%" G_GINT64_FORMAT " used_mem_mb=%" G_GINT64_FORMAT,
                worker->name, now->cpu_m, worker->used.cpu_m, now->mem_mb, worker->used.mem_mb);
}

static gboolean
is_same_incarnation (const SchedWorker *worker, const Batch__Report *report)
{
  return worker->boot == report->boot && worker->incarnation == report->life;
}

/* Whether the report is based on a state that was applied; a full report always is. */
static gboolean
can_apply (SchedWorker *worker, const Batch__Report *report)
{
  if (report->since == 0)
    return report->worker != NULL;
  return is_same_incarnation (worker, report) && report->since <= worker->report_version;
}

/* Whether later reports can have a later clock and a higher version. */
static gboolean
is_dated (Sched *sched, const SchedWorker *worker, const Batch__Report *report)
{
  if (report->clock_us >= 0 && report->clock_us <= NUMBER_MAX && report->version <= NUMBER_MAX)
    return TRUE;
  sched_note (sched, "report_malformed", "-",
              "worker=%s clock_us=%" G_GINT64_FORMAT " version=%" G_GUINT64_FORMAT, worker->name,
              report->clock_us, report->version);
  return FALSE;
}

static gboolean
is_older (const SchedWorker *worker, const Batch__Report *report)
{
  return worker->boot == report->boot
         && (report->clock_us < worker->clock_us
             || (worker->incarnation == report->life && report->version < worker->report_version));
}

static void
apply_info (Sched *sched, SchedWorker *worker, const Batch__Worker *row)
{
  gboolean was_draining = worker->info != NULL && worker->info->is_draining;
  gboolean is_known = worker->info != NULL;
  JobSize before = is_known ? worker->info->capacity : (JobSize){ 0 };

  worker_info_free (worker->info);
  worker->info = to_info (row);
  note_draining (sched, worker, was_draining);
  if (is_known)
    note_capacity (sched, worker, before);
}

static void
apply_ends (Sched *sched, SchedWorker *worker, const Batch__Report *report)
{
  int64_t newest = worker->ends_applied;

  for (size_t i = 0; i < report->n_ended; i++)
    {
      const Batch__Ended *end = report->ended[i];
      if (!is_in_range (end->number) || !is_in_range (end->run))
        {
          sched_note (sched, "end_malformed", "-",
                      "worker=%s number=%" G_GINT64_FORMAT " run=%" G_GINT64_FORMAT, worker->name,
                      end->number, end->run);
          continue;
        }
      newest = MAX (newest, end->number);
      if (end->number > worker->ends_applied)
        apply_end (sched, worker, end);
      /* An end can make and complete an occurrence, and a report has many ends. */
      sched_reap (sched);
    }
  worker->ends_applied = newest;
}

static void
apply_rows (Sched *sched, SchedWorker *worker, const Batch__Report *report)
{
  gboolean is_whole = report->since == 0;

  if (is_whole)
    {
      g_hash_table_remove_all (worker->orphaned_runs);
      clear_listed (worker);
    }
  for (size_t i = 0; i < report->n_gone; i++)
    apply_gone (sched, worker, report->gone[i]);
  for (size_t i = 0; i < report->n_running; i++)
    apply_running (sched, worker, report->running[i]);
  if (is_whole && !report->has_more_ends)
    drop_unlisted (sched, worker);
}

static int64_t
measurement_age_us (const Batch__Report *report)
{
  uint64_t age_us = (uint64_t) report->clock_us - (uint64_t) report->looked_us;

  if (report->looked_us == 0)
    return MEASUREMENT_AGE_MS * CLK_US_PER_MS;
  if (report->looked_us > report->clock_us)
    return 0;
  return (int64_t) MIN (age_us, MEASUREMENT_AGE_MAX_MS * CLK_US_PER_MS);
}

static void
note_more_ends (Sched *sched, SchedWorker *worker, const Batch__Report *report)
{
  if (worker->has_more_ends != report->has_more_ends)
    sched_note (sched, report->has_more_ends ? "ends_cut_off" : "ends_complete", "-",
                "worker=%s running=%zu ended=%zu placed=%u ends_written=%" G_GINT64_FORMAT,
                worker->name, report->n_running, report->n_ended, worker->tasks->len,
                worker->ends_written);
  worker->has_more_ends = report->has_more_ends;
}

void
sched_apply_report (Sched *sched, const char *agent, const Batch__Report *report, int64_t now_us)
{
  SchedWorker *worker = g_hash_table_lookup (sched->workers, agent);
  gboolean was_draining = worker != NULL && worker->info != NULL && worker->info->is_draining;

  sched->now_us = now_us;
  sched->first_us = sched->first_us != 0 ? sched->first_us : now_us;
  if (worker == NULL || report->life == 0 || !is_dated (sched, worker, report)
      || is_older (worker, report))
    return;
  if (!can_apply (worker, report))
    {
      worker->report_version = 0;
      worker->is_message_due = TRUE;
      return;
    }
  if (report->worker != NULL)
    apply_info (sched, worker, report->worker);
  worker->clock_us = report->clock_us;
  worker->is_leaving = report->is_leaving;
  if (!is_same_incarnation (worker, report))
    {
      if (worker->incarnation != 0 && worker->incarnation != report->life && !was_draining
          && !worker->info->is_draining)
        sched_note_lost_worker (sched, worker);
      if (report->level == 0 && worker->boot == report->boot && !was_draining
          && !worker->info->is_draining)
        sched_assume_crash (sched, worker);
      begin_incarnation (sched, worker, report);
    }
  worker->report_version = report->version;
  /* Only a full report shows which of the runs that it did not list before are gone. */
  if (worker->has_more_ends && !report->has_more_ends && report->since != 0)
    worker->report_version = 0;
  note_more_ends (sched, worker, report);
  worker->done_number = report->done_number;
  worker->report_us = now_us;
  worker->has_reported = TRUE;
  if (!worker->has_more_ends)
    g_clear_pointer (&worker->confined, g_hash_table_destroy);
  worker->measured_us = now_us - measurement_age_us (report);
  worker->no_report_us = 0;
  worker->is_message_due = TRUE;
  sched_orders_confirm (worker, worker->done_number);
  note_refusals (sched, worker, report);
  apply_ends (sched, worker, report);
  apply_rows (sched, worker, report);
  sched_apply_crashes (sched, worker, report);
  sched_tails_learn (worker);
  sched_reap (sched);
}
