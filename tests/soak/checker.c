#include "checker.h"

#include <stdarg.h>
#include <string.h>

/** Longest time that a due job may have no running task while workers are free. */
#define IDLE_MAX_MS 3000
/** A job may be given up once this many workers have crashed under one of its tasks. */
#define GIVEN_UP_CRASHES 2
/** After so many workers have crashed under it, a task may be started less than so many times. */
#define CRASHES_MAX 3
#define STARTS_AFTER_CRASHES 3

typedef struct
{
  uint32_t worker;
  int64_t run;
} CheckerRun;

struct CheckerTask
{
  CheckerJob *job;
  const CheckerStep *step;
  uint32_t step_index;
  GArray *runs;                 /**< CheckerRun, running */
  GArray *workers;              /**< uint32_t, where it was started */
  gboolean is_done;             /**< a run has completed */
  gboolean is_end_acknowledged; /**< the completed end was acknowledged */
  int64_t done_start;           /**< n_starts at the newest completed end */
  int64_t n_starts;
  uint32_t n_failed_acknowledged; /**< failed ends that were acknowledged */
  uint32_t n_failed;
  uint32_t n_crashes;              /**< crashes of a worker on which it ran */
  uint32_t n_crashes_caused;       /**< those that it caused */
  uint32_t n_starts_after_crashes; /**< starts after CRASHES_MAX of these */
  GHashTable *checkpoints;
};

struct Checker
{
  const Soak *soak;
  GPtrArray *jobs;   /**< CheckerJob */
  GHashTable *by_id; /**< CheckerJob */
  uint32_t n_violations;
  uint32_t n_starts;
  const CheckerJob *wide_job;
};

static void
task_free (gpointer data)
{
  CheckerTask *task = data;

  g_array_unref (task->runs);
  g_array_unref (task->workers);
  g_hash_table_unref (task->checkpoints);
  g_free (task);
}

static void
job_free (gpointer data)
{
  CheckerJob *job = data;

  g_hash_table_unref (job->tasks);
  g_array_unref (job->steps);
  g_free (job->id);
  g_free (job->spec);
  g_free (job);
}

Checker *
checker_new (const Soak *soak)
{
  Checker *checker = g_new0 (Checker, 1);

  checker->soak = soak;
  checker->jobs = g_ptr_array_new_with_free_func (job_free);
  checker->by_id = g_hash_table_new (g_str_hash, g_str_equal);
  return checker;
}

void
checker_free (Checker *checker)
{
  g_hash_table_unref (checker->by_id);
  g_ptr_array_unref (checker->jobs);
  g_free (checker);
}

static void report_violation (Checker *checker, const char *guarantee, const char *format, ...)
    G_GNUC_PRINTF (3, 4);

static void
report_violation (Checker *checker, const char *guarantee, const char *format, ...)
{
  va_list arguments;

  va_start (arguments, format);
  g_autofree char *text = g_strdup_vprintf (format, arguments);
  va_end (arguments);
  checker->n_violations++;
  soak_log (checker->soak, "BROKEN %s: %s", guarantee, text);
}

CheckerJob *
checker_add_job (Checker *checker, char *id, char *spec, GArray *steps)
{
  CheckerJob *job = g_new0 (CheckerJob, 1);

  job->id = id;
  job->spec = spec;
  job->steps = steps;
  job->tasks = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, task_free);
  g_ptr_array_add (checker->jobs, job);
  g_hash_table_insert (checker->by_id, job->id, job);
  return job;
}

static CheckerTask *
task_new (CheckerJob *job, uint32_t step_index)
{
  CheckerTask *task = g_new0 (CheckerTask, 1);

  task->job = job;
  task->step = &g_array_index (job->steps, CheckerStep, step_index);
  task->step_index = step_index;
  task->runs = g_array_new (FALSE, FALSE, sizeof (CheckerRun));
  task->workers = g_array_new (FALSE, FALSE, sizeof (uint32_t));
  task->checkpoints = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  return task;
}

/* Task names have the form ID.OCCURRENCE.STEP.INDEX; jobs of the soak have one occurrence. */
static CheckerTask *
find_task (Checker *checker, const char *name)
{
  g_auto (GStrv) parts = g_strsplit (name, ".", 0);
  guint64 step = 0;
  guint64 index = 0;

  if (g_strv_length (parts) != 4 || strcmp (parts[1], "0") != 0
      || !g_ascii_string_to_unsigned (parts[2], 10, 0, G_MAXUINT32, &step, NULL)
      || !g_ascii_string_to_unsigned (parts[3], 10, 0, G_MAXUINT32, &index, NULL))
    return NULL;
  CheckerJob *job = g_hash_table_lookup (checker->by_id, parts[0]);
  if (job == NULL || step >= job->steps->len
      || index >= g_array_index (job->steps, CheckerStep, step).n_tasks)
    return NULL;
  CheckerTask *task = g_hash_table_lookup (job->tasks, name);
  if (task == NULL)
    {
      task = task_new (job, (uint32_t) step);
      g_hash_table_insert (job->tasks, g_strdup (name), task);
    }
  return task;
}

const CheckerStep *
checker_find_step (Checker *checker, const char *task, uint32_t *index)
{
  const CheckerTask *known = find_task (checker, task);
  const char *dot = strrchr (task, '.');

  if (known == NULL)
    return NULL;
  *index = (uint32_t) g_ascii_strtoull (dot + 1, NULL, 10);
  return known->step;
}

static uint32_t
count_done (const CheckerJob *job, uint32_t step_index)
{
  uint32_t n_done = 0;
  GHashTableIter iter;
  gpointer value = NULL;

  g_hash_table_iter_init (&iter, job->tasks);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const CheckerTask *task = value;
      n_done += task->step_index == step_index && task->is_done;
    }
  return n_done;
}

static gboolean
is_step_done (const CheckerJob *job, uint32_t step_index)
{
  return count_done (job, step_index)
         == g_array_index (job->steps, CheckerStep, step_index).n_tasks;
}

static void
check_job_of_start (Checker *checker, const CheckerTask *task, const char *name, const char *spec)
{
  const CheckerJob *job = task->job;

  if (strcmp (job->spec, spec) != 0)
    report_violation (checker, "not_asked", "task %s started with another spec", name);
  if (!job->is_accepted && job->n_unknown == 0)
    report_violation (checker, "refused_but_ran",
                      "task %s started although each submission of its job was refused", name);
  if (task->step->has_after && !is_step_done (job, task->step_index - 1))
    report_violation (checker, "step_order", "task %s started before the preceding step was done",
                      name);
}

void
checker_run_started (Checker *checker,
                     uint32_t worker,
                     const char *name,
                     int64_t run,
                     const char *spec,
                     const char *checkpoint)
{
  CheckerTask *task = find_task (checker, name);
  const CheckerRun entry = { worker, run };

  soak_log (checker->soak, "start %s run %" G_GINT64_FORMAT " at worker %u from '%s'", name, run,
            worker, checkpoint);
  if (task == NULL)
    {
      report_violation (checker, "not_asked", "task %s was never submitted", name);
      return;
    }
  checker->n_starts++;
  check_job_of_start (checker, task, name, spec);
  if (*checkpoint != '\0' && !g_hash_table_contains (task->checkpoints, checkpoint))
    report_violation (checker, "not_asked",
                      "task %s started from '%s', which is not its checkpoint", name, checkpoint);
  if (task->runs->len > 0)
    report_violation (checker, "double_run",
                      "task %s run %" G_GINT64_FORMAT " at worker %u overlaps run %" G_GINT64_FORMAT
                      " at worker %u",
                      name, run, worker, g_array_index (task->runs, CheckerRun, 0).run,
                      g_array_index (task->runs, CheckerRun, 0).worker);
  if (task->is_end_acknowledged)
    report_violation (checker, "double_run", "task %s started after its end was acknowledged",
                      name);
  if (!task->step->is_continuous && task->n_failed_acknowledged >= SOAK_ATTEMPTS_MAX)
    report_violation (checker, "attempts", "task %s started after %u failures", name,
                      task->n_failed_acknowledged);
  task->n_starts++;
  g_array_append_val (task->runs, entry);
  g_array_append_val (task->workers, worker);
}

void
checker_check_capacity (Checker *checker,
                        uint32_t worker,
                        const CheckerCapacity *used,
                        const CheckerCapacity *capacity)
{
  if (used->cpu_m > capacity->cpu_m || used->mem_mb > capacity->mem_mb)
    report_violation (checker, "over_capacity",
                      "worker %u has %" G_GINT64_FORMAT " of %" G_GINT64_FORMAT
                      " m and %" G_GINT64_FORMAT " of %" G_GINT64_FORMAT " MB in use",
                      worker, used->cpu_m, capacity->cpu_m, used->mem_mb, capacity->mem_mb);
}

gboolean
checker_check_crashes (Checker *checker, const char *name)
{
  CheckerTask *task = find_task (checker, name);

  if (task == NULL || task->n_crashes_caused < CRASHES_MAX
      || ++task->n_starts_after_crashes < STARTS_AFTER_CRASHES)
    return TRUE;
  report_violation (checker, "budget", "task %s was started %u times after %u workers crashed",
                    name, task->n_starts_after_crashes, CRASHES_MAX);
  return FALSE;
}

void
checker_polled_too_often (Checker *checker, uint32_t worker, uint32_t n_polls)
{
  report_violation (checker, "polls", "worker %u was polled %u times within a second", worker,
                    n_polls);
}

void
checker_worker_crashed_by (Checker *checker, const char *name)
{
  CheckerTask *task = find_task (checker, name);

  if (task != NULL)
    task->n_crashes_caused++;
}

static void
remove_run (CheckerTask *task, uint32_t worker, int64_t run)
{
  for (guint i = task->runs->len; i > 0; i--)
    {
      const CheckerRun *entry = &g_array_index (task->runs, CheckerRun, i - 1);
      if (entry->worker == worker && entry->run == run)
        g_array_remove_index_fast (task->runs, i - 1);
    }
}

void
checker_run_ended (
    Checker *checker, uint32_t worker, const char *name, int64_t run, CheckerRunEnd end)
{
  static const char *const names[] = { "done", "failed", "stopped", "lapsed", "crashed", "moved" };
  CheckerTask *task = find_task (checker, name);

  soak_log (checker->soak, "end %s run %" G_GINT64_FORMAT " at worker %u: %s", name, run, worker,
            names[end]);
  if (task == NULL)
    return;
  remove_run (task, worker, run);
  if (end == CHECKER_DONE)
    {
      task->is_done = TRUE;
      task->done_start = task->n_starts;
    }
  task->n_failed += end == CHECKER_FAILED;
  task->n_crashes += end == CHECKER_CRASHED;
}

void
checker_end_acknowledged (Checker *checker, const char *name, int64_t run, CheckerRunEnd end)
{
  CheckerTask *task = find_task (checker, name);

  if (task == NULL)
    return;
  soak_log (checker->soak, "acknowledged %s run %" G_GINT64_FORMAT, name, run);
  if (end == CHECKER_FAILED)
    task->n_failed_acknowledged++;
  if (end != CHECKER_DONE)
    return;
  if (!task->is_end_acknowledged && task->n_starts > task->done_start)
    report_violation (checker, "double_run",
                      "task %s started after the end that is now acknowledged", name);
  task->is_end_acknowledged = TRUE;
}

void
checker_checkpoint_saved (Checker *checker, const char *name, const char *checkpoint)
{
  CheckerTask *task = find_task (checker, name);

  if (task != NULL)
    g_hash_table_add (task->checkpoints, g_strdup (checkpoint));
}

static gboolean
has_failed (const CheckerJob *job)
{
  GHashTableIter iter;
  gpointer value = NULL;

  g_hash_table_iter_init (&iter, job->tasks);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const CheckerTask *task = value;
      if (task->n_failed >= SOAK_ATTEMPTS_MAX)
        return TRUE;
    }
  return FALSE;
}

/* Whether a task of the job crashes its workers and has done so often enough to be given up. */
static gboolean
may_be_given_up (const CheckerJob *job)
{
  GHashTableIter iter;
  gpointer value = NULL;

  g_hash_table_iter_init (&iter, job->tasks);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const CheckerTask *task = value;
      if (task->n_crashes_caused > 0 && task->n_crashes >= GIVEN_UP_CRASHES)
        return TRUE;
    }
  return FALSE;
}

static gboolean
is_done (const CheckerJob *job)
{
  for (guint i = 0; i < job->steps->len; i++)
    {
      if (!is_step_done (job, i))
        return FALSE;
    }
  return TRUE;
}

void
checker_check_state (Checker *checker, CheckerJob *job, const char *state)
{
  if (state == NULL)
    {
      if (job->is_accepted && !job->was_cancelled)
        report_violation (checker, "lost", "job %s was accepted and is unknown", job->id);
      return;
    }
  if (strcmp (state, "completed") == 0 && !is_done (job))
    report_violation (checker, "wrong_state",
                      "job %s is reported as completed before its tasks were done", job->id);
  if (strcmp (state, "failed") == 0 && !has_failed (job) && !may_be_given_up (job))
    report_violation (checker, "wrong_state",
                      "job %s is reported as failed without a task that used up its attempts or "
                      "crashed two workers",
                      job->id);
  if (strcmp (state, "cancelled") == 0 && !job->was_cancelled)
    report_violation (checker, "wrong_state",
                      "job %s is reported as cancelled without a cancel request", job->id);
  if (strcmp (state, "queued") != 0 && strcmp (state, "running") != 0)
    job->has_ended = TRUE;
}

static uint32_t
count_running (const CheckerJob *job)
{
  uint32_t n_running = 0;
  GHashTableIter iter;
  gpointer value = NULL;

  g_hash_table_iter_init (&iter, job->tasks);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    n_running += ((const CheckerTask *) value)->runs->len;
  return n_running;
}

static gboolean
is_deadly (const CheckerJob *job)
{
  for (guint i = 0; i < job->steps->len; i++)
    {
      if (g_array_index (job->steps, CheckerStep, i).crash_ms > 0)
        return TRUE;
    }
  return FALSE;
}

/* Whether the job is expected to end: not long-running, not cancelled, without a task that crashes
 * its workers, and not known to have ended. */
static gboolean
is_due (const CheckerJob *job)
{
  return job->is_accepted && !job->was_cancelled && !job->has_ended && !is_deadly (job)
         && !g_array_index (job->steps, CheckerStep, 0).is_continuous;
}

static void
check_job_idle (Checker *checker, CheckerJob *job, int64_t now_ms, gboolean has_capacity)
{
  if (!has_capacity || !is_due (job) || is_done (job) || has_failed (job)
      || count_running (job) > 0)
    job->idle_since_ms = 0;
  else if (job->idle_since_ms == 0)
    job->idle_since_ms = now_ms;
  else if (now_ms - job->idle_since_ms > IDLE_MAX_MS)
    {
      report_violation (checker, "lost",
                        "job %s has no running task for %d ms while workers are free", job->id,
                        IDLE_MAX_MS);
      job->idle_since_ms = 0;
    }
}

void
checker_check_idle (Checker *checker, int64_t now_ms, gboolean has_capacity)
{
  for (guint i = 0; i < checker->jobs->len; i++)
    check_job_idle (checker, g_ptr_array_index (checker->jobs, i), now_ms, has_capacity);
}

gboolean
checker_all_ended (const Checker *checker)
{
  for (guint i = 0; i < checker->jobs->len; i++)
    {
      if (is_due (g_ptr_array_index (checker->jobs, i)))
        return FALSE;
    }
  return TRUE;
}

void
checker_set_wide_job (Checker *checker, const CheckerJob *job)
{
  checker->wide_job = job;
}

gboolean
checker_is_finished (const Checker *checker)
{
  return checker->wide_job != NULL && checker->wide_job->has_ended && checker_all_ended (checker);
}

/* Counts the workers on which a task of the job has run. */
static uint32_t
count_workers (const CheckerJob *job)
{
  g_autoptr (GHashTable) workers = g_hash_table_new (NULL, NULL);
  GHashTableIter iter;
  gpointer value = NULL;

  g_hash_table_iter_init (&iter, job->tasks);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const CheckerTask *task = value;
      for (guint i = 0; i < task->workers->len; i++)
        g_hash_table_add (workers, GUINT_TO_POINTER (g_array_index (task->workers, uint32_t, i)));
    }
  return g_hash_table_size (workers);
}

static void
check_wide_job (Checker *checker)
{
  uint32_t n_workers = checker->soak->options->n_workers;

  if (checker->wide_job != NULL && count_workers (checker->wide_job) != n_workers)
    report_violation (checker, "lost", "the tasks of the wide job %s ran on %u of %u workers",
                      checker->wide_job->id, count_workers (checker->wide_job), n_workers);
}

static void
check_job_at_end (Checker *checker, const CheckerJob *job)
{
  const CheckerStep *first = &g_array_index (job->steps, CheckerStep, 0);

  if (job->is_cancel_known && count_running (job) > 0)
    report_violation (checker, "not_asked", "job %s was cancelled and still runs", job->id);
  if (!job->is_accepted || job->was_cancelled)
    return;
  if (first->is_continuous && count_running (job) != first->n_tasks)
    report_violation (checker, "lost", "long-running job %s has %u of %u tasks running", job->id,
                      count_running (job), first->n_tasks);
  if (is_due (job))
    report_violation (checker, "lost", "job %s has not ended: %u tasks run, done %s", job->id,
                      count_running (job), is_done (job) ? "all" : "not all");
}

void
checker_check_end (Checker *checker)
{
  for (guint i = 0; i < checker->jobs->len; i++)
    check_job_at_end (checker, g_ptr_array_index (checker->jobs, i));
  check_wide_job (checker);
}

uint32_t
checker_n_violations (const Checker *checker)
{
  return checker->n_violations;
}

char *
checker_summary (Checker *checker)
{
  uint32_t n_accepted = 0;
  uint32_t n_over = 0;

  for (guint i = 0; i < checker->jobs->len; i++)
    {
      const CheckerJob *job = g_ptr_array_index (checker->jobs, i);
      n_accepted += job->is_accepted;
      n_over += job->has_ended;
    }
  return g_strdup_printf ("jobs=%u accepted=%u ended=%u starts=%u broken=%u", checker->jobs->len,
                          n_accepted, n_over, checker->n_starts, checker->n_violations);
}
