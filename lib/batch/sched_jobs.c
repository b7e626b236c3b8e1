#include <string.h>

#include "batch/sched_tables.h"

/** A job that repeats has no more occurrences made while this many tasks of its first steps wait. A
 * pass over all waiting tasks takes time in proportion to them, and other jobs share that time. */
#define OCCURRENCE_TASKS_WAITING_MAX 1000
/** Most steps of its occurrences that are open at once: each has a part in the progress record. */
#define OCCURRENCE_STAGES_MAX 8192

void
sched_stage_free (gpointer data)
{
  SchedStage *stage = data;

  for (uint32_t i = 0; i < stage->step->n_tasks; i++)
    {
      g_free (stage->tasks[i].checkpoint);
      g_clear_pointer (&stage->tasks[i].crashes, g_array_unref);
    }
  g_free (stage->tasks);
  g_array_unref (stage->failed);
  interference_service_free (stage->service);
  g_free (stage);
}

void
sched_job_free (gpointer data)
{
  SchedJob *job = data;

  g_ptr_array_unref (job->stages);
  job_spec_free (job->spec);
  shares_unref (job->origin);
  queue_unref (job->queue);
  g_free (job->data_centre);
  g_free (job->queue_name);
  g_free (job->id);
  g_free (job);
}

gboolean
sched_job_is_open (const SchedJob *job)
{
  return job->state == SCHED_QUEUED || job->state == SCHED_RUNNING;
}

SchedStage *
sched_find_stage (const SchedJob *job, uint32_t occurrence, uint32_t step)
{
  uint32_t n_steps = job->spec->steps->len;

  if (occurrence < job->occurrences_done || step >= n_steps)
    return NULL;
  uint64_t index = (uint64_t) (occurrence - job->occurrences_done) * n_steps + step;
  return index < job->stages->len ? g_ptr_array_index (job->stages, index) : NULL;
}

/* A previous owner may have made, and started, occurrences that this one has not reached. */
static void
make_named_occurrence (const Sched *sched, SchedJob *job, uint32_t occurrence)
{
  if (sched_job_is_open (job) && occurrence >= job->occurrences_made
      && occurrence < job_spec_occurrences (job->spec)
      && sched_due_wall_ms (job, occurrence) <= sched->wall_ms)
    sched_make_occurrences_to (job, occurrence);
}

SchedTask *
sched_find_task (Sched *sched, const char *text)
{
  JobTaskName name;

  if (!job_task_name_parse (text, &name))
    return NULL;
  SchedJob *job = g_hash_table_lookup (sched->jobs, name.job);
  if (job == NULL)
    return NULL;
  make_named_occurrence (sched, job, name.occurrence);
  SchedStage *stage = sched_find_stage (job, name.occurrence, name.step);
  return stage != NULL && name.index < stage->step->n_tasks ? &stage->tasks[name.index] : NULL;
}

char *
sched_task_name (const SchedTask *task)
{
  JobTaskName name = { .occurrence = task->stage->occurrence,
                       .step = task->stage->step_index,
                       .index = task->index };

  (void) g_strlcpy (name.job, task->stage->job->id, sizeof name.job);
  return job_task_name_format (&name);
}

void
sched_mark_dirty (Sched *sched, SchedJob *job)
{
  (void) g_hash_table_add (sched->dirty, job);
}

static SchedStage *
stage_new (SchedJob *job, uint32_t occurrence, uint32_t step_index)
{
  SchedStage *stage = g_new0 (SchedStage, 1);

  stage->job = job;
  stage->step = g_ptr_array_index (job->spec->steps, step_index);
  stage->occurrence = occurrence;
  stage->step_index = step_index;
  stage->tasks = g_new0 (SchedTask, stage->step->n_tasks);
  stage->failed = g_array_new (FALSE, FALSE, sizeof (FailedRow));
  for (uint32_t i = 0; i < stage->step->n_tasks; i++)
    {
      stage->tasks[i].stage = stage;
      stage->tasks[i].index = i;
      stage->tasks[i].cpu_limit = SCHED_CPU_LIMIT_NONE;
      stage->tasks[i].state = job->is_old ? TASK_UNCONFIRMED : TASK_WAITING;
      stage->tasks[i].checkpoint = g_strdup ("");
    }
  stage->n_waiting = job->is_old ? 0 : stage->step->n_tasks;
  g_ptr_array_add (job->stages, stage);
  return stage;
}

static void
make_occurrence (SchedJob *job)
{
  for (uint32_t i = 0; i < job->spec->steps->len; i++)
    (void) stage_new (job, job->occurrences_made, i);
  job->occurrences_made++;
}

/* Whether the tasks of another occurrence may be in memory beside those of the job's open ones. */
static gboolean
can_make_occurrence (const SchedJob *job)
{
  uint64_t n_tasks = 0;

  if (job->occurrences_made >= job_spec_occurrences (job->spec))
    return FALSE;
  for (guint i = 0; i < job->spec->steps->len; i++)
    n_tasks += ((const JobStep *) g_ptr_array_index (job->spec->steps, i))->n_tasks;
  return n_tasks * (job->occurrences_made - job->occurrences_done + 1) <= JOB_TASKS_MAX;
}

int64_t
sched_due_wall_ms (const SchedJob *job, uint32_t occurrence)
{
  if (job->spec->n_repeats == 0)
    return job->accepted_wall_ms;
  return job->spec->start_wall_ms + (int64_t) occurrence * job->spec->interval_ms;
}

/* Tasks of steps that wait for no other step, and are not at a worker. While it is not known what
 * runs, all that are not done count. */
static uint64_t
count_waiting (const SchedJob *job)
{
  uint64_t n_waiting = 0;

  for (guint i = 0; i < job->stages->len; i++)
    {
      const SchedStage *stage = g_ptr_array_index (job->stages, i);
      if (stage->step->after->len == 0)
        n_waiting += job->is_old ? stage->step->n_tasks - stage->n_done : stage->n_waiting;
    }
  return n_waiting;
}

static uint64_t
count_first_tasks (const SchedJob *job)
{
  uint64_t n_tasks = 0;

  for (guint i = 0; i < job->spec->steps->len; i++)
    {
      const JobStep *step = g_ptr_array_index (job->spec->steps, i);
      n_tasks += step->after->len == 0 ? step->n_tasks : 0;
    }
  return n_tasks;
}

void
sched_make_occurrences (Sched *sched, SchedJob *job)
{
  uint64_t n_first = count_first_tasks (job);
  uint64_t n_waiting = count_waiting (job);

  while (can_make_occurrence (job))
    {
      if (job->spec->n_repeats > 0
          && (sched_due_wall_ms (job, job->occurrences_made) > sched->wall_ms
              || n_waiting >= OCCURRENCE_TASKS_WAITING_MAX
              || job->stages->len >= OCCURRENCE_STAGES_MAX))
        return;
      make_occurrence (job);
      n_waiting += n_first;
    }
}

void
sched_make_occurrences_to (SchedJob *job, uint32_t occurrence)
{
  while (occurrence >= job->occurrences_made && can_make_occurrence (job))
    make_occurrence (job);
}

gboolean
sched_stage_is_ready (const SchedStage *stage)
{
  for (guint i = 0; i < stage->step->after->len; i++)
    {
      uint32_t earlier = g_array_index (stage->step->after, uint32_t, i);
      const SchedStage *before = sched_find_stage (stage->job, stage->occurrence, earlier);
      if (before != NULL && before->n_done < before->step->n_tasks)
        return FALSE;
    }
  return TRUE;
}

static void
stop_stage (Sched *sched, SchedStage *stage, const char *reason)
{
  for (uint32_t i = 0; i < stage->step->n_tasks; i++)
    {
      if (stage->tasks[i].state == TASK_PLACED)
        sched_order_stop (sched, &stage->tasks[i], reason);
    }
}

static void
note_results (Sched *sched, const SchedJob *job, SchedJobState state)
{
  for (guint i = 0; i < job->stages->len; i++)
    {
      SchedStage *stage = g_ptr_array_index (job->stages, i);
      if (stage->step_index == 0)
        sched_note_result (sched, stage, state);
    }
}

void
sched_end_job (Sched *sched, SchedJob *job, SchedJobState state)
{
  static const char *const names[] = { "queued", "running", "completed", "failed", "cancelled" };

  job->state = state;
  (void) g_hash_table_remove (sched->open, job);
  g_queue_push_tail (sched->ended, job);
  sched_mark_dirty (sched, job);
  sched_note (sched, "job_ended", job->id, "state=%s", names[state]);
  note_results (sched, job, state);
  if (state == SCHED_COMPLETED)
    return;
  for (guint i = 0; i < job->stages->len; i++)
    stop_stage (sched, g_ptr_array_index (job->stages, i), names[state]);
}

/* Moves the first stages of the job to those that sched_reap() frees. Callers may hold their tasks.
 */
static void
drop_stages (Sched *sched, SchedJob *job, guint n_stages)
{
  for (guint i = 0; i < n_stages; i++)
    g_ptr_array_add (sched->dropped, g_ptr_array_index (job->stages, i));
  g_ptr_array_set_free_func (job->stages, NULL);
  g_ptr_array_remove_range (job->stages, 0, n_stages);
  g_ptr_array_set_free_func (job->stages, sched_stage_free);
}

/* Drops leading occurrences that are done, so that the state of a periodic job does not grow. */
static void
drop_done_occurrences (Sched *sched, SchedJob *job)
{
  uint32_t n_steps = job->spec->steps->len;
  guint n_done = 0;

  while (n_done < job->stages->len)
    {
      const SchedStage *stage = g_ptr_array_index (job->stages, n_done);
      if (stage->n_done < stage->step->n_tasks)
        break;
      n_done++;
    }
  n_done -= n_done % n_steps;
  if (n_done == 0)
    return;
  job->occurrences_done += n_done / n_steps;
  drop_stages (sched, job, n_done);
}

void
sched_reap (Sched *sched)
{
  for (guint i = 0; i < sched->dropped->len; i++)
    {
      const SchedStage *stage = g_ptr_array_index (sched->dropped, i);
      for (uint32_t k = 0; k < stage->step->n_tasks; k++)
        g_assert (stage->tasks[k].state == TASK_DONE && stage->tasks[k].worker == NULL);
    }
  g_ptr_array_set_size (sched->dropped, 0);
}

static gboolean
is_complete (const SchedJob *job)
{
  if (job->occurrences_made < job_spec_occurrences (job->spec))
    return FALSE;
  for (guint i = 0; i < job->stages->len; i++)
    {
      const SchedStage *stage = g_ptr_array_index (job->stages, i);
      if (stage->n_done < stage->step->n_tasks)
        return FALSE;
    }
  return TRUE;
}

static gboolean
is_occurrence_done (const SchedJob *job, uint32_t occurrence)
{
  for (uint32_t i = 0; i < job->spec->steps->len; i++)
    {
      const SchedStage *stage = sched_find_stage (job, occurrence, i);
      if (stage == NULL || stage->n_done < stage->step->n_tasks)
        return FALSE;
    }
  return TRUE;
}

static void
set_done (Sched *sched, SchedTask *task)
{
  if (task->state == TASK_DONE)
    return;
  if (task->state == TASK_PLACED)
    sched_detach (task, TASK_DONE);
  else
    {
      if (task->state == TASK_WAITING)
        task->stage->n_waiting--;
      task->state = TASK_DONE;
    }
  task->stage->n_done++;
  task->stage->job->n_changes++;
  sched_mark_dirty (sched, task->stage->job);
}

void
sched_task_done (Sched *sched, SchedTask *task)
{
  SchedStage *stage = task->stage;
  SchedJob *job = stage->job;

  if (stage->step->is_gang)
    {
      for (uint32_t i = 0; i < stage->step->n_tasks; i++)
        set_done (sched, &stage->tasks[i]);
    }
  else
    set_done (sched, task);
  if (!sched_job_is_open (job))
    return;
  if (is_occurrence_done (job, stage->occurrence))
    sched_note_result (sched, sched_find_stage (job, stage->occurrence, 0), SCHED_COMPLETED);
  if (is_complete (job))
    sched_end_job (sched, job, SCHED_COMPLETED);
  else if (stage->n_done == stage->step->n_tasks && job->spec->n_repeats > 0)
    drop_done_occurrences (sched, job);
}

void
sched_complete_if_done_elsewhere (Sched *sched, SchedTask *task)
{
  if (task->is_done_elsewhere && task->state != TASK_PLACED && task->state != TASK_DONE)
    sched_task_done (sched, task);
}

static gboolean
is_known_failure (const SchedStage *stage, uint32_t index, int64_t run)
{
  for (guint i = 0; i < stage->failed->len; i++)
    {
      const FailedRow *row = &g_array_index (stage->failed, FailedRow, i);
      if (row->run == run && (row->index == index || stage->step->is_gang))
        return TRUE;
    }
  return FALSE;
}

static void
count_failure (SchedTask *task, int64_t run)
{
  FailedRow row = { task->index, run };

  g_array_append_val (task->stage->failed, row);
  if (!task->stage->step->is_gang)
    {
      task->n_failed++;
      return;
    }
  for (uint32_t i = 0; i < task->stage->step->n_tasks; i++)
    task->stage->tasks[i].n_failed++;
}

void
sched_release_task (SchedTask *task)
{
  task->state = task->failure == SCHED_FAILURE_WRITTEN ? TASK_WAITING : TASK_UNWRITTEN;
  if (task->state == TASK_WAITING)
    task->stage->n_waiting++;
}

static void
hold_task (SchedTask *task)
{
  task->failure = SCHED_FAILURE_PENDING;
  if (task->state != TASK_WAITING)
    return;
  task->stage->n_waiting--;
  task->state = TASK_UNWRITTEN;
}

/* The next attempt starts once the failure is written. An owner that follows before that might
 * start one attempt too many. */
static void
hold_until_written (SchedTask *task)
{
  SchedStage *stage = task->stage;

  stage->job->has_unwritten_failures = TRUE;
  if (!stage->step->is_gang)
    {
      hold_task (task);
      return;
    }
  for (uint32_t i = 0; i < stage->step->n_tasks; i++)
    hold_task (&stage->tasks[i]);
}

void
sched_flush_failures (SchedJob *job)
{
  for (guint i = 0; job->has_unwritten_failures && i < job->stages->len; i++)
    {
      SchedStage *stage = g_ptr_array_index (job->stages, i);
      for (uint32_t k = 0; k < stage->step->n_tasks; k++)
        {
          if (stage->tasks[k].failure == SCHED_FAILURE_PENDING)
            stage->tasks[k].failure = SCHED_FAILURE_FLUSHING;
        }
    }
}

/* Returns whether the task still has an unwritten failure. */
static gboolean
failure_flushed (SchedTask *task, gboolean is_written)
{
  if (task->failure != SCHED_FAILURE_FLUSHING)
    return task->failure == SCHED_FAILURE_PENDING;
  task->failure = is_written ? SCHED_FAILURE_WRITTEN : SCHED_FAILURE_PENDING;
  if (is_written && task->state == TASK_UNWRITTEN)
    sched_release_task (task);
  return !is_written;
}

void
sched_failures_flushed (SchedJob *job, gboolean is_written)
{
  gboolean has_unwritten = FALSE;

  for (guint i = 0; job->has_unwritten_failures && i < job->stages->len; i++)
    {
      SchedStage *stage = g_ptr_array_index (job->stages, i);
      for (uint32_t k = 0; k < stage->step->n_tasks; k++)
        has_unwritten |= failure_flushed (&stage->tasks[k], is_written);
    }
  job->has_unwritten_failures = has_unwritten;
}

/* Returns whether the job ended since the task has used up its attempts. */
static gboolean
end_if_spent (Sched *sched, const SchedTask *task, int64_t run)
{
  SchedJob *job = task->stage->job;

  if (!sched_job_is_open (job) || task->n_failed < job->queue->attempts_max)
    return FALSE;
  sched_note (sched, "attempts_spent", job->id,
              "task=%u.%u.%u run=%" G_GINT64_FORMAT " failures=%u", task->stage->occurrence,
              task->stage->step_index, task->index, run, task->n_failed);
  sched_end_job (sched, job, SCHED_FAILED);
  return TRUE;
}

void
sched_task_failed (Sched *sched, SchedTask *task, int64_t run)
{
  SchedJob *job = task->stage->job;

  if (task->stage->step->is_continuous || is_known_failure (task->stage, task->index, run))
    return;
  count_failure (task, run);
  hold_until_written (task);
  sched_mark_dirty (sched, job);
  (void) end_if_spent (sched, task, run);
}

static gboolean
end_if_stage_spent (Sched *sched, const SchedStage *stage)
{
  for (guint i = 0; !stage->step->is_continuous && i < stage->failed->len; i++)
    {
      const FailedRow *row = &g_array_index (stage->failed, FailedRow, i);
      const SchedTask *task = &stage->tasks[row->index];
      if (task->state != TASK_DONE && !task->is_done_elsewhere
          && end_if_spent (sched, task, row->run))
        return TRUE;
    }
  return FALSE;
}

void
sched_end_if_spent (Sched *sched, SchedJob *job)
{
  for (guint i = 0; i < job->stages->len; i++)
    {
      if (end_if_stage_spent (sched, g_ptr_array_index (job->stages, i)))
        return;
    }
}

/* Encoding and decoding of progress records. */

static void
encode_stage (Batch__Part *row, const SchedStage *stage, GPtrArray *allocations)
{
  uint32_t n_tasks = stage->step->n_tasks;

  batch__part__init (row);
  row->occurrence = stage->occurrence;
  row->step = stage->step_index;
  row->done.len = (n_tasks + 7) / 8;
  row->done.data = g_malloc0 (row->done.len);
  g_ptr_array_add (allocations, row->done.data);
  row->saved = g_new0 (Batch__Checkpoint *, n_tasks);
  g_ptr_array_add (allocations, row->saved);
  for (uint32_t i = 0; i < n_tasks; i++)
    {
      const SchedTask *task = &stage->tasks[i];
      gboolean is_done = task->state == TASK_DONE || task->is_done_elsewhere;
      if (is_done)
        row->done.data[i / 8] |= (uint8_t) (1U << (i % 8));
      if (is_done || *task->checkpoint == '\0')
        continue;
      Batch__Checkpoint *checkpoint = g_new (Batch__Checkpoint, 1);
      batch__checkpoint__init (checkpoint);
      checkpoint->index = i;
      checkpoint->value = task->checkpoint;
      row->saved[row->n_saved++] = checkpoint;
      g_ptr_array_add (allocations, checkpoint);
    }
  row->failed = g_new0 (Batch__FailedRun *, stage->failed->len);
  g_ptr_array_add (allocations, row->failed);
  for (guint i = 0; i < stage->failed->len; i++)
    {
      const FailedRow *failure = &g_array_index (stage->failed, FailedRow, i);
      Batch__FailedRun *entry = g_new (Batch__FailedRun, 1);
      batch__failed_run__init (entry);
      entry->index = failure->index;
      entry->run = failure->run;
      row->failed[row->n_failed++] = entry;
      g_ptr_array_add (allocations, entry);
    }
}

static gboolean
has_done_elsewhere (const SchedStage *stage)
{
  for (uint32_t i = 0; i < stage->step->n_tasks; i++)
    {
      if (stage->tasks[i].is_done_elsewhere)
        return TRUE;
    }
  return FALSE;
}

GBytes *
sched_encode_progress (const SchedJob *job)
{
  g_autoptr (GPtrArray) allocations = g_ptr_array_new_with_free_func (g_free);
  Batch__Progress message = BATCH__PROGRESS__INIT;

  message.state = job->has_begun && job->state == SCHED_QUEUED ? SCHED_RUNNING : job->state;
  message.occurrences_done = job->occurrences_done;
  if (sched_job_is_open (job))
    {
      message.parts = g_new0 (Batch__Part *, job->stages->len);
      g_ptr_array_add (allocations, message.parts);
      for (guint i = 0; i < job->stages->len; i++)
        {
          const SchedStage *stage = g_ptr_array_index (job->stages, i);
          if (stage->n_done == 0 && stage->failed->len == 0 && !stage->step->has_checkpoints
              && !has_done_elsewhere (stage))
            continue;
          Batch__Part *row = g_new (Batch__Part, 1);
          g_ptr_array_add (allocations, row);
          encode_stage (row, stage, allocations);
          message.parts[message.n_parts++] = row;
        }
    }
  size_t size = batch__progress__get_packed_size (&message);
  uint8_t *bytes = g_malloc (MAX (size, 1));
  (void) batch__progress__pack (&message, bytes);
  return g_bytes_new_take (bytes, size);
}

static void
restore_stage (SchedStage *stage, const Batch__Part *row)
{
  for (uint32_t i = 0; i < stage->step->n_tasks && i / 8 < row->done.len; i++)
    {
      SchedTask *task = &stage->tasks[i];
      if ((row->done.data[i / 8] & (1U << (i % 8))) == 0 || task->state == TASK_DONE)
        continue;
      if (task->state == TASK_WAITING)
        stage->n_waiting--;
      task->state = TASK_DONE;
      stage->n_done++;
    }
  for (size_t i = 0; i < row->n_failed; i++)
    {
      const Batch__FailedRun *failure = row->failed[i];
      if (failure->index < stage->step->n_tasks)
        count_failure (&stage->tasks[failure->index], failure->run);
    }
  for (size_t i = 0; i < row->n_saved; i++)
    {
      const Batch__Checkpoint *checkpoint = row->saved[i];
      if (checkpoint->index >= stage->step->n_tasks)
        continue;
      SchedTask *task = &stage->tasks[checkpoint->index];
      g_free (task->checkpoint);
      task->checkpoint = g_strdup (checkpoint->value);
    }
}

static void
restore (SchedJob *job, const Batch__Progress *progress)
{
  job->state = (SchedJobState) MIN (progress->state, SCHED_CANCELLED);
  job->has_begun = job->state != SCHED_QUEUED;
  job->occurrences_done = progress->occurrences_done;
  job->occurrences_made = progress->occurrences_done;
  for (size_t i = 0; i < progress->n_parts; i++)
    {
      const Batch__Part *row = progress->parts[i];
      sched_make_occurrences_to (job, row->occurrence);
      SchedStage *stage = sched_find_stage (job, row->occurrence, row->step);
      if (stage != NULL)
        restore_stage (stage, row);
    }
}

void
sched_add_job (Sched *sched, const SchedNewJob *wanted)
{
  if (g_hash_table_contains (sched->jobs, wanted->id))
    {
      job_spec_free (wanted->spec);
      return;
    }
  SchedJob *job = g_new0 (SchedJob, 1);
  job->id = g_strdup (wanted->id);
  job->queue_name = g_strdup (wanted->queue);
  job->data_centre = g_strdup (wanted->data_centre != NULL ? wanted->data_centre : "");
  job->accepted_wall_ms = CLAMP (wanted->accepted_wall_ms, 0, JOB_WALL_MAX_MS);
  job->spec = wanted->spec;
  job->is_old = wanted->may_have_started;
  job->stages = g_ptr_array_new_with_free_func (sched_stage_free);
  job->n_changes = 1;
  sched_set_terms (sched, job, wanted->terms);
  if (wanted->progress != NULL)
    restore (job, wanted->progress);
  g_hash_table_insert (sched->jobs, job->id, job);
  if (!sched_job_is_open (job))
    {
      g_queue_push_tail (sched->ended, job);
      return;
    }
  (void) g_hash_table_add (sched->open, job);
  if (job->spec->n_repeats == 0)
    sched_make_occurrences (sched, job);
  if (wanted->crashes != NULL)
    sched_restore_crashes (sched, job, wanted->crashes);
  if (is_complete (job))
    sched_end_job (sched, job, SCHED_COMPLETED);
  else
    sched_end_if_spent (sched, job);
}

void
sched_cancel_job (Sched *sched, const char *id)
{
  SchedJob *job = g_hash_table_lookup (sched->jobs, id);

  if (job != NULL && sched_job_is_open (job))
    sched_end_job (sched, job, SCHED_CANCELLED);
}
