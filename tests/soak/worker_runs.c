#include <string.h>

#include "common/clk.h"
#include "worker_private.h"

#define CHECKPOINT_MS 1000
/** Probability that a run of a task that can succeed fails, in percent. */
#define FAIL_PERCENT 3
/** A capacity that has shrunk counts once the contact time and one report interval have passed. */
#define SHRUNK_COUNTS_MS (3000 + WORKER_REPORT_MS)

void
worker_run_free (gpointer data)
{
  WorkerRun *run = data;

  g_free (run->task);
  g_free (run->checkpoint);
  g_free (run);
}

void
worker_ending_free (gpointer data)
{
  WorkerEnding *ending = data;

  g_free (ending->task);
  g_free (ending->checkpoint);
  g_free (ending);
}

int64_t
worker_clock_ms (const Worker *worker)
{
  double passed = (double) (clk_now_us () - worker->started_us) * worker->rate;

  return worker->offset_ms + (int64_t) passed / CLK_US_PER_MS;
}

WorkerRun *
worker_find_run (const Worker *worker, const char *task)
{
  for (guint i = 0; i < worker->runs->len; i++)
    {
      WorkerRun *run = g_ptr_array_index (worker->runs, i);
      if (strcmp (run->task, task) == 0)
        return run;
    }
  return NULL;
}

void
worker_note_highest (Worker *worker, const char *task, int64_t run)
{
  int64_t *highest = g_hash_table_lookup (worker->highest, task);

  if (highest == NULL)
    {
      highest = g_new0 (int64_t, 1);
      g_hash_table_insert (worker->highest, g_strdup (task), highest);
    }
  *highest = MAX (*highest, run);
}

void
worker_end_run (Worker *worker, WorkerRun *run, CheckerRunEnd end)
{
  WorkerEnding *ending = g_new0 (WorkerEnding, 1);

  ending->number = ++worker->n_endings;
  ending->task = g_strdup (run->task);
  ending->run = run->run;
  ending->end = end;
  ending->checkpoint = g_strdup (run->checkpoint);
  worker_note_highest (worker, run->task, run->run);
  checker_run_ended (worker->workers->options.checker, worker->index, run->task, run->run, end);
  g_ptr_array_add (worker->endings, ending);
  (void) g_ptr_array_remove_fast (worker->runs, run);
}

WorkerRun *
worker_begin_run (Worker *worker, const char *task, int64_t number, const char *checkpoint)
{
  Checker *checker = worker->workers->options.checker;
  WorkerRun *run = g_new0 (WorkerRun, 1);
  uint32_t index = 0;

  run->task = g_strdup (task);
  run->run = number;
  run->step = checker_find_step (checker, task, &index);
  run->checkpoint = g_strdup (checkpoint);
  run->percent = 100;
  if (run->step != NULL)
    {
      run->need_us = run->step->work_ms * CLK_US_PER_MS;
      run->fails = (run->step->fails && index == 0)
                   || (!run->step->is_continuous && g_random_int_range (0, 100) < FAIL_PERCENT);
      if (run->step->crash_ms > 0 && index == 0)
        run->crash_us = clk_now_us () + run->step->crash_ms * CLK_US_PER_MS;
    }
  if (*checkpoint != '\0')
    run->done_us = g_ascii_strtoll (strrchr (checkpoint, '-') + 1, NULL, 10);
  run->checkpoint_us = run->done_us;
  g_ptr_array_add (worker->runs, run);
  return run;
}

const char *
worker_deadly_task (const Worker *worker)
{
  for (guint i = 0; i < worker->runs->len; i++)
    {
      const WorkerRun *run = g_ptr_array_index (worker->runs, i);
      if (run->crash_us != 0 && clk_now_us () >= run->crash_us)
        return run->task;
    }
  return NULL;
}

int64_t
worker_used_m (const Worker *worker)
{
  int64_t used_m = 0;

  for (guint i = 0; i < worker->runs->len; i++)
    {
      const WorkerRun *run = g_ptr_array_index (worker->runs, i);
      used_m += run->step != NULL ? run->step->cpu_m : 0;
    }
  return used_m;
}

static int64_t
used_mem_mb (const Worker *worker)
{
  int64_t used_mb = 0;

  for (guint i = 0; i < worker->runs->len; i++)
    {
      const WorkerRun *run = g_ptr_array_index (worker->runs, i);
      used_mb += run->step != NULL ? run->step->mem_mb : 0;
    }
  return used_mb;
}

void
worker_check_capacity (Worker *worker)
{
  gboolean counts_shrunk = !worker->is_call_late
                           && clk_now_us () - worker->shrunk_us > SHRUNK_COUNTS_MS * CLK_US_PER_MS;
  const CheckerCapacity capacity = { counts_shrunk ? worker->cpu_m : WORKER_CPU_M,
                                     counts_shrunk ? worker->mem_mb : WORKER_MEM_MB };
  const CheckerCapacity used = { worker_used_m (worker), used_mem_mb (worker) };

  checker_check_capacity (worker->workers->options.checker, worker->index, &used, &capacity);
}

static void
save_checkpoint (Worker *worker, WorkerRun *run)
{
  if (run->step == NULL || !run->step->has_checkpoints || run->checkpoint_us == run->done_us)
    return;
  g_free (run->checkpoint);
  run->checkpoint = g_strdup_printf ("%s-%" G_GINT64_FORMAT, run->task, run->done_us);
  run->checkpoint_us = run->done_us;
  checker_checkpoint_saved (worker->workers->options.checker, run->task, run->checkpoint);
}

static void
advance_progress (Worker *worker, WorkerRun *run, int64_t passed_us)
{
  run->done_us += passed_us * run->percent / 100;
  if (run->done_us - run->checkpoint_us >= CHECKPOINT_MS * CLK_US_PER_MS)
    save_checkpoint (worker, run);
}

static void
advance_run (Worker *worker, WorkerRun *run, int64_t passed_us)
{
  advance_progress (worker, run, passed_us);
  if (run->stop_us != 0 && clk_now_us () >= run->stop_us)
    {
      save_checkpoint (worker, run);
      worker_end_run (worker, run, CHECKER_STOPPED);
    }
  else if (run->crash_us != 0)
    return;
  else if (run->fails && run->done_us >= run->need_us / 2)
    worker_end_run (worker, run, CHECKER_FAILED);
  else if (run->step != NULL && !run->step->is_continuous && run->done_us >= run->need_us)
    worker_end_run (worker, run, CHECKER_DONE);
}

/* The lease belongs to the worker and expires also while nothing runs. */
static void
expire_lease (Worker *worker)
{
  if (!worker->has_no_lease)
    soak_log (worker->workers->options.soak, "worker %u: lease expired", worker->index);
  worker->has_no_lease = TRUE;
  for (guint i = 0; i < worker->endings->len; i++)
    ((WorkerEnding *) g_ptr_array_index (worker->endings, i))->lease_expired = TRUE;
  while (worker->runs->len > 0)
    {
      worker_end_run (worker, g_ptr_array_index (worker->runs, 0), CHECKER_EXPIRED);
      ((WorkerEnding *) g_ptr_array_index (worker->endings, worker->endings->len - 1))
          ->lease_expired
          = TRUE;
    }
}

void
worker_advance (Worker *worker)
{
  int64_t now_us = clk_now_us ();
  int64_t passed_us = now_us - worker->advanced_us;

  worker->advanced_us = now_us;
  if (worker->is_down)
    return;
  if (worker_clock_ms (worker) >= worker->lease_end_ms)
    expire_lease (worker);
  else
    worker->has_no_lease = FALSE;
  for (guint i = worker->runs->len; i > 0; i--)
    advance_run (worker, g_ptr_array_index (worker->runs, i - 1), passed_us);
}

void
worker_acknowledge (Worker *worker, int64_t last_seen)
{
  while (worker->endings->len > 0)
    {
      const WorkerEnding *ending = g_ptr_array_index (worker->endings, 0);
      if (ending->number > last_seen)
        return;
      if (!ending->lease_expired)
        checker_end_acknowledged (worker->workers->options.checker, ending->task, ending->run,
                                  ending->end);
      g_ptr_array_remove_index (worker->endings, 0);
    }
}

gboolean
worker_has_new_endings (const Worker *worker, int64_t last_seen)
{
  /* Ends that were acknowledged before last_seen was lost are no longer listed. */
  return worker->endings->len > 0 && worker->n_endings > last_seen;
}
