#include "common/clk.h"
#include "entry/jobs.h"
#include "entry/shard_private.h"

guint
shard_task_hash (gconstpointer data)
{
  const CoreTaskKey *key = data;

  return (guint) (key->job ^ key->job >> 32) * 31U + key->index;
}

gboolean
shard_task_equal (gconstpointer a, gconstpointer b)
{
  const CoreTaskKey *left = a;
  const CoreTaskKey *right = b;

  return left->job == right->job && left->index == right->index;
}

void
shard_start_free (void *data)
{
  StartRow *row = data;

  g_free (row->agent);
  g_free (row->batch_class);
  g_free (row->checkpoint);
  g_free (row->job_name);
  g_free (row);
}

static void
progress_clear (void *data)
{
  TaskProgress *progress = data;

  g_free (progress->checkpoint);
}

void
shard_job_free (void *data)
{
  JobRow *job = data;

  doc_free (job->document);
  g_free (job->name);
  g_array_free (job->checkpoints, TRUE);
  g_free (job);
}

static gboolean
ends_task (Record__TaskEnd end, CoreTaskEvent *event)
{
  switch (end)
    {
    case RECORD__TASK_END__END_DONE:
    case RECORD__TASK_END__END_CANCELLED:
    case RECORD__TASK_END__END_GIVEN_UP:
      *event = CORE_TASK_DONE;
      return TRUE;
    case RECORD__TASK_END__END_FAILED:
      *event = CORE_TASK_FAILED;
      return FALSE;
    case RECORD__TASK_END__END_CHECKPOINT:
      *event = CORE_TASK_CHECKPOINTED;
      return FALSE;
    default:
      *event = CORE_TASK_FREE;
      return FALSE;
    }
}

/* Adds a task's state in the log to the inputs; a task that may still run elsewhere is held. */
static void
add_task (Shard *shard, const FoldJob *job, uint32_t index, gboolean may_run)
{
  const FoldTask *task = &job->tasks[index];
  CoreTaskKey key = { job->job, index };
  CoreTaskEvent event = CORE_TASK_FREE;
  gboolean is_over = ends_task (task->end, &event);
  uint32_t times = event == CORE_TASK_FAILED ? MAX (task->failures, 1) : 1;

  for (uint32_t i = 0; event != CORE_TASK_FREE && i < times; i++)
    {
      CoreInput *input = inputs_task (shard->inputs, key, task->attempts, event);
      input->task.progress_ms = task->progress_ms;
      input->task.checkpoint = inputs_keep (shard->inputs, task->checkpoint);
    }
  if (is_over || !may_run)
    return;
  HeldRow *held = g_new0 (HeldRow, 1);
  held->task = key;
  g_hash_table_insert (shard->held, &held->task, held);
  inputs_task (shard->inputs, key, task->attempts, CORE_TASK_HELD);
}

static void
add_progress (JobRow *row, const FoldJob *job)
{
  for (uint32_t i = 0; i < job->n_tasks; i++)
    {
      TaskProgress progress = { g_strdup (job->tasks[i].checkpoint), job->tasks[i].progress_ms, 0 };
      g_array_append_val (row->checkpoints, progress);
    }
}

static void
add_job (Shard *shard, const FoldJob *job, gboolean may_run, int64_t now_us)
{
  gsize size = 0;
  const void *data = g_bytes_get_data (job->definition, &size);
  DocDocument *document = jobs_parse (job->name, data, size);
  CoreInput input = { .type = CORE_IN_JOB };

  if (document == NULL)
    return;
  JobRow *row = g_new0 (JobRow, 1);
  uint64_t *key = g_new (uint64_t, 1);
  *key = job->job;
  row->document = document;
  row->name = g_strdup (job->name);
  row->checkpoints = g_array_new (FALSE, TRUE, sizeof (TaskProgress));
  g_array_set_clear_func (row->checkpoints, progress_clear);
  add_progress (row, job);
  g_hash_table_insert (shard->jobs, key, row);
  input.job.job = job->job;
  input.job.definition = doc_job (document, job->name);
  input.job.submitted_us = (job->submitted_ms - shard->options.wall_offset_ms) * CLK_US_PER_MS;
  input.job.submitted_us = MIN (input.job.submitted_us, now_us);
  if (job->deadline_ms != 0)
    input.job.deadline_us = (job->deadline_ms - shard->options.wall_offset_ms) * CLK_US_PER_MS;
  g_array_append_val (shard->inputs->rows, input);
  for (uint32_t i = 0; i < job->n_tasks; i++)
    add_task (shard, job, i, may_run);
}

void
shard_add_job (Shard *shard, const FoldJob *job, gboolean may_run, int64_t now_us)
{
  CoreInput input = { .type = CORE_IN_CANCEL };
  JobRow *row = g_hash_table_lookup (shard->jobs, &job->job);

  if (row == NULL && job->n_final < job->n_tasks)
    {
      add_job (shard, job, may_run, now_us);
      row = g_hash_table_lookup (shard->jobs, &job->job);
    }
  if (row == NULL || row->is_cancelled || !job->cancelled)
    return;
  input.cancelled_job = job->job;
  row->is_cancelled = TRUE;
  g_array_append_val (shard->inputs->rows, input);
}

TaskProgress *
shard_progress (const Shard *shard, CoreTaskKey task)
{
  const JobRow *job = g_hash_table_lookup (shard->jobs, &task.job);

  if (job == NULL || task.index >= job->checkpoints->len)
    return NULL;
  return &g_array_index (job->checkpoints, TaskProgress, task.index);
}

void
shard_store_checkpoint (Shard *shard, const Wire__TaskStatus *status)
{
  TaskProgress *progress = shard_progress (shard, (CoreTaskKey){ status->job, status->index });

  if (progress == NULL || *status->checkpoint == '\0')
    return;
  g_free (progress->checkpoint);
  progress->checkpoint = g_strdup (status->checkpoint);
  progress->progress_ms = status->progress_ms;
}
