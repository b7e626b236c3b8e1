/**
 * @file fold_jobs.c
 * Jobs of the fold and the ends of their tasks.
 */
#include "state/fold_private.h"

static void
job_row_free (void *data)
{
  FoldJobRow *row = data;

  for (uint32_t i = 0; i < row->job.n_tasks; i++)
    g_free (row->job.tasks[i].checkpoint);
  g_free (row->job.tasks);
  g_free (row->job.name);
  g_free (row->job.submitter);
  g_bytes_unref (row->job.definition);
  g_free (row);
}

void
fold_init_jobs (Fold *fold)
{
  fold->jobs = g_ptr_array_new_with_free_func (job_row_free);
  fold->job_by_id = g_hash_table_new (g_int64_hash, g_int64_equal);
  g_queue_init (&fold->ended_jobs);
}

void
fold_clear_jobs (Fold *fold)
{
  g_queue_clear (&fold->ended_jobs);
  g_hash_table_unref (fold->job_by_id);
  g_ptr_array_unref (fold->jobs);
}

const GPtrArray *
fold_jobs (const Fold *fold)
{
  return fold->jobs;
}

const FoldJob *
fold_job (const Fold *fold, uint64_t job)
{
  const FoldJobRow *row = g_hash_table_lookup (fold->job_by_id, &job);

  return row != NULL ? &row->job : NULL;
}

static gboolean
is_final (Record__TaskEnd end)
{
  return end == RECORD__TASK_END__END_DONE || end == RECORD__TASK_END__END_CANCELLED
         || end == RECORD__TASK_END__END_GIVEN_UP;
}

static gboolean
job_fits (const Fold *fold, const Record__Job *record)
{
  return record->job != 0 && record->shard < fold->options.shards && record->tasks > 0
         && record->tasks <= FOLD_JOB_TASKS_MAX
         && record->definition.len <= FOLD_DEFINITION_BYTES_MAX
         && fold_text_fits (record->name, 1, FOLD_NAME_BYTES_MAX)
         && fold_text_fits (record->submitter, 0, FOLD_NAME_BYTES_MAX);
}

static FoldJobRow *
add_job (Fold *fold, const Record__Job *record)
{
  FoldJobRow *row = g_new0 (FoldJobRow, 1);

  row->job.job = record->job;
  row->job.name = g_strdup (record->name);
  row->job.submitter = g_strdup (record->submitter);
  row->job.shard = record->shard;
  row->job.submitted_ms = record->submitted_ms;
  row->job.deadline_ms = record->deadline_ms;
  row->job.n_tasks = record->tasks;
  row->job.tasks = g_new0 (FoldTask, record->tasks);
  row->job.definition = g_bytes_new (record->definition.data, record->definition.len);
  g_ptr_array_add (fold->jobs, row);
  g_hash_table_insert (fold->job_by_id, &row->job.job, row);
  fold->n_tasks += record->tasks;
  return row;
}

FoldResult
fold_apply_job (Fold *fold, const Record__Job *record)
{
  if (!job_fits (fold, record))
    return FOLD_MALFORMED;
  if (fold_job (fold, record->job) != NULL || fold->n_tasks + record->tasks > FOLD_TASKS_MAX)
    return FOLD_REFUSED;
  (void) add_job (fold, record);
  return FOLD_APPLIED;
}

FoldResult
fold_apply_cancel (Fold *fold, const Record__JobCancel *cancel)
{
  FoldJobRow *row = g_hash_table_lookup (fold->job_by_id, &cancel->job);

  if (row == NULL || row->ended != 0 || row->job.cancelled)
    return FOLD_REFUSED;
  row->job.cancelled = TRUE;
  return FOLD_APPLIED;
}

static void
drop_oldest_ended (Fold *fold)
{
  FoldJobRow *row = g_queue_pop_head (&fold->ended_jobs);

  fold->n_tasks -= row->job.n_tasks;
  g_hash_table_remove (fold->job_by_id, &row->job.job);
  g_ptr_array_remove (fold->jobs, row);
}

static void
add_ended_job (Fold *fold, FoldJobRow *row)
{
  row->ended = ++fold->sequence;
  g_queue_push_tail (&fold->ended_jobs, row);
  while (fold->ended_jobs.length > fold->options.ended_jobs_max)
    drop_oldest_ended (fold);
}

/* Whether the owner decided the end, as opposed to an attempt having ended. */
static gboolean
is_owner_decision (Record__TaskEnd end)
{
  return end == RECORD__TASK_END__END_CANCELLED || end == RECORD__TASK_END__END_GIVEN_UP
         || end == RECORD__TASK_END__END_UNPLACEABLE;
}

/* A final end never changes, and the first end of an attempt wins. */
static gboolean
accepts_outcome (const FoldTask *task, const Record__TaskOutcome *outcome)
{
  if (is_final (task->end) || outcome->state == RECORD__TASK_END__END_NONE)
    return FALSE;
  if (is_owner_decision (outcome->state))
    return outcome->attempt >= task->attempts;
  return outcome->attempt > task->attempts;
}

static gboolean
outcome_fits (const Record__TaskOutcome *outcome)
{
  return outcome->state >= RECORD__TASK_END__END_DONE
         && outcome->state <= RECORD__TASK_END__END_UNPLACEABLE
         && fold_text_fits (outcome->checkpoint, 0, FOLD_TEXT_BYTES_MAX)
         && outcome->progress_ms >= 0;
}

static gboolean
apply_task_outcome (Fold *fold, uint32_t shard, const Record__TaskOutcome *outcome)
{
  FoldJobRow *row = g_hash_table_lookup (fold->job_by_id, &outcome->job);

  if (row == NULL || row->job.shard != shard || outcome->index >= row->job.n_tasks
      || !outcome_fits (outcome))
    return FALSE;
  FoldTask *task = &row->job.tasks[outcome->index];
  if (!accepts_outcome (task, outcome))
    return FALSE;
  task->end = outcome->state;
  task->attempts = outcome->attempt;
  if (outcome->state == RECORD__TASK_END__END_FAILED)
    task->failures++;
  if (outcome->checkpoint[0] != '\0')
    {
      g_free (task->checkpoint);
      task->checkpoint = g_strdup (outcome->checkpoint);
      task->progress_ms = outcome->progress_ms;
    }
  if (is_final (task->end) && ++row->job.n_final == row->job.n_tasks)
    add_ended_job (fold, row);
  return TRUE;
}

FoldResult
fold_apply_tasks (Fold *fold, const Record__TaskBatch *batch)
{
  FoldResult result = FOLD_REFUSED;

  if (batch->shard >= fold->options.shards)
    return FOLD_MALFORMED;
  if (batch->epoch == 0 || batch->epoch != fold->claims[batch->shard].epoch)
    return FOLD_REFUSED;
  for (size_t i = 0; i < batch->n_outcomes; i++)
    {
      if (apply_task_outcome (fold, batch->shard, batch->outcomes[i]))
        result = FOLD_APPLIED;
    }
  return result;
}

static gboolean
load_task (FoldTask *task, const Record__SnapshotTask *row)
{
  if (row->end < RECORD__TASK_END__END_NONE || row->end > RECORD__TASK_END__END_UNPLACEABLE
      || !fold_text_fits (row->checkpoint, 0, FOLD_TEXT_BYTES_MAX))
    return FALSE;
  task->end = row->end;
  task->attempts = row->attempts;
  task->failures = row->failures;
  task->progress_ms = row->progress_ms;
  if (row->checkpoint[0] != '\0')
    task->checkpoint = g_strdup (row->checkpoint);
  return TRUE;
}

gboolean
fold_load_job (Fold *fold, const Record__SnapshotJob *row)
{
  if (row->job == NULL || !job_fits (fold, row->job) || row->n_tasks != row->job->tasks
      || fold_job (fold, row->job->job) != NULL || fold->n_tasks + row->job->tasks > FOLD_TASKS_MAX)
    return FALSE;
  FoldJobRow *loaded = add_job (fold, row->job);
  loaded->job.cancelled = row->cancelled;
  loaded->ended = row->ended;
  for (uint32_t i = 0; i < loaded->job.n_tasks; i++)
    {
      if (!load_task (&loaded->job.tasks[i], row->tasks[i]))
        return FALSE;
      loaded->job.n_final += is_final (loaded->job.tasks[i].end) ? 1 : 0;
    }
  gboolean is_ended = loaded->job.n_final == loaded->job.n_tasks;
  if (is_ended)
    g_queue_push_tail (&fold->ended_jobs, loaded);
  return is_ended == (loaded->ended != 0) && loaded->ended <= fold->sequence;
}
