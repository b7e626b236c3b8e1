#include <string.h>

#include "batch/sched_tables.h"

static void
part_free (gpointer data)
{
  SchedPart *part = data;

  for (uint32_t i = 0; i < part->step->n_tasks; i++)
    g_free (part->tasks[i].saved);
  g_free (part->tasks);
  g_array_unref (part->failed);
  interference_service_free (part->service);
  g_free (part);
}

void
sched_job_free (gpointer data)
{
  SchedJob *job = data;

  g_ptr_array_unref (job->parts);
  job_spec_free (job->spec);
  g_free (job->queue_name);
  g_free (job->id);
  g_free (job);
}

gboolean
sched_job_is_open (const SchedJob *job)
{
  return job->state == SCHED_QUEUED || job->state == SCHED_RUNNING;
}

SchedPart *
sched_find_part (const SchedJob *job, uint32_t occurrence, uint32_t step)
{
  for (guint i = 0; i < job->parts->len; i++)
    {
      SchedPart *part = g_ptr_array_index (job->parts, i);
      if (part->occurrence == occurrence && part->step_index == step)
        return part;
    }
  return NULL;
}

SchedTask *
sched_find_task (Sched *sched, const char *text)
{
  JobTaskName name;

  if (!job_task_name_parse (text, &name))
    return NULL;
  const SchedJob *job = g_hash_table_lookup (sched->jobs, name.job);
  if (job == NULL)
    return NULL;
  SchedPart *part = sched_find_part (job, name.occurrence, name.step);
  return part != NULL && name.index < part->step->n_tasks ? &part->tasks[name.index] : NULL;
}

char *
sched_task_name (const SchedTask *task)
{
  JobTaskName name = { .occurrence = task->part->occurrence,
                       .step = task->part->step_index,
                       .index = task->index };

  (void) g_strlcpy (name.job, task->part->job->id, sizeof name.job);
  return job_task_name_format (&name);
}

void
sched_mark_dirty (Sched *sched, SchedJob *job)
{
  (void) g_hash_table_add (sched->dirty, job);
}

static SchedPart *
part_new (SchedJob *job, uint32_t occurrence, uint32_t step_index)
{
  SchedPart *part = g_new0 (SchedPart, 1);

  part->job = job;
  part->step = g_ptr_array_index (job->spec->steps, step_index);
  part->occurrence = occurrence;
  part->step_index = step_index;
  part->tasks = g_new0 (SchedTask, part->step->n_tasks);
  part->failed = g_array_new (FALSE, FALSE, sizeof (FailedRow));
  for (uint32_t i = 0; i < part->step->n_tasks; i++)
    {
      part->tasks[i].part = part;
      part->tasks[i].index = i;
      part->tasks[i].pace = SCHED_FULL_PACE;
      part->tasks[i].state = job->is_old ? TASK_UNSURE : TASK_WAITING;
      part->tasks[i].saved = g_strdup ("");
    }
  part->n_waiting = job->is_old ? 0 : part->step->n_tasks;
  g_ptr_array_add (job->parts, part);
  return part;
}

static void
make_occurrence (SchedJob *job)
{
  for (uint32_t i = 0; i < job->spec->steps->len; i++)
    (void) part_new (job, job->occurrences_made, i);
  job->occurrences_made++;
}

int64_t
sched_due_wall_ms (const SchedJob *job, uint32_t occurrence)
{
  if (job->spec->n_repeats == 0)
    return job->accepted_wall_ms;
  return job->spec->start_wall_ms + (int64_t) occurrence * job->spec->interval_ms;
}

void
sched_make_occurrences (Sched *sched, SchedJob *job)
{
  uint32_t n_occurrences = job_spec_occurrences (job->spec);

  while (job->occurrences_made < n_occurrences)
    {
      if (job->spec->n_repeats > 0
          && sched_due_wall_ms (job, job->occurrences_made) > sched->wall_ms)
        return;
      make_occurrence (job);
    }
}

gboolean
sched_part_is_ready (const SchedPart *part)
{
  for (guint i = 0; i < part->step->after->len; i++)
    {
      uint32_t earlier = g_array_index (part->step->after, uint32_t, i);
      const SchedPart *before = sched_find_part (part->job, part->occurrence, earlier);
      if (before != NULL && before->n_done < before->step->n_tasks)
        return FALSE;
    }
  return TRUE;
}

static void
stop_part (Sched *sched, SchedPart *part, const char *reason)
{
  for (uint32_t i = 0; i < part->step->n_tasks; i++)
    {
      if (part->tasks[i].state == TASK_PLACED)
        sched_order_stop (sched, &part->tasks[i], reason);
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
  if (state == SCHED_COMPLETED)
    return;
  for (guint i = 0; i < job->parts->len; i++)
    stop_part (sched, g_ptr_array_index (job->parts, i), names[state]);
}

/* Drops leading occurrences that are done, so that the state of a periodic job does not grow. */
static void
drop_done_occurrences (SchedJob *job)
{
  uint32_t n_steps = job->spec->steps->len;

  while (job->parts->len >= n_steps)
    {
      for (uint32_t i = 0; i < n_steps; i++)
        {
          const SchedPart *part = g_ptr_array_index (job->parts, i);
          if (part->n_done < part->step->n_tasks)
            return;
        }
      job->occurrences_done++;
      g_ptr_array_remove_range (job->parts, 0, n_steps);
    }
}

static gboolean
is_complete (const SchedJob *job)
{
  for (guint i = 0; i < job->parts->len; i++)
    {
      const SchedPart *part = g_ptr_array_index (job->parts, i);
      if (part->n_done < part->step->n_tasks)
        return FALSE;
    }
  return job->occurrences_made >= job_spec_occurrences (job->spec);
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
        task->part->n_waiting--;
      task->state = TASK_DONE;
    }
  task->part->n_done++;
  task->part->job->n_changes++;
  sched_mark_dirty (sched, task->part->job);
}

void
sched_task_done (Sched *sched, SchedTask *task)
{
  SchedPart *part = task->part;
  SchedJob *job = part->job;

  if (part->step->is_gang)
    {
      for (uint32_t i = 0; i < part->step->n_tasks; i++)
        set_done (sched, &part->tasks[i]);
    }
  else
    set_done (sched, task);
  if (!sched_job_is_open (job))
    return;
  if (is_complete (job))
    sched_end_job (sched, job, SCHED_COMPLETED);
  else if (part->n_done == part->step->n_tasks && job->spec->n_repeats > 0)
    drop_done_occurrences (job);
}

void
sched_task_settle (Sched *sched, SchedTask *task)
{
  if (task->is_done_elsewhere && task->state == TASK_WAITING)
    sched_task_done (sched, task);
}

static gboolean
is_known_failure (const SchedPart *part, uint32_t index, int64_t run)
{
  for (guint i = 0; i < part->failed->len; i++)
    {
      const FailedRow *row = &g_array_index (part->failed, FailedRow, i);
      if (row->run == run && (row->index == index || part->step->is_gang))
        return TRUE;
    }
  return FALSE;
}

static void
count_failure (SchedTask *task, int64_t run)
{
  FailedRow row = { task->index, run };

  g_array_append_val (task->part->failed, row);
  if (!task->part->step->is_gang)
    {
      task->n_failed++;
      return;
    }
  for (uint32_t i = 0; i < task->part->step->n_tasks; i++)
    task->part->tasks[i].n_failed++;
}

void
sched_task_failed (Sched *sched, SchedTask *task, int64_t run)
{
  SchedJob *job = task->part->job;

  if (task->part->step->lasts || is_known_failure (task->part, task->index, run))
    return;
  count_failure (task, run);
  sched_mark_dirty (sched, job);
  if (sched_job_is_open (job) && job->queue != NULL && task->n_failed >= job->queue->attempts_max)
    {
      sched_note (sched, "attempts_spent", job->id,
                  "task=%u.%u.%u run=%" G_GINT64_FORMAT " failures=%u", task->part->occurrence,
                  task->part->step_index, task->index, run, task->n_failed);
      sched_end_job (sched, job, SCHED_FAILED);
    }
}

/* Encoding and decoding of progress records. */

static void
encode_part (Batch__Part *row, const SchedPart *part, GPtrArray *garbage)
{
  uint32_t n_tasks = part->step->n_tasks;

  batch__part__init (row);
  row->occurrence = part->occurrence;
  row->step = part->step_index;
  row->done.len = (n_tasks + 7) / 8;
  row->done.data = g_malloc0 (row->done.len);
  g_ptr_array_add (garbage, row->done.data);
  row->saved = g_new0 (Batch__Checkpoint *, n_tasks);
  g_ptr_array_add (garbage, row->saved);
  for (uint32_t i = 0; i < n_tasks; i++)
    {
      const SchedTask *task = &part->tasks[i];
      gboolean is_done = task->state == TASK_DONE || task->is_done_elsewhere;
      if (is_done)
        row->done.data[i / 8] |= (uint8_t) (1U << (i % 8));
      if (is_done || *task->saved == '\0')
        continue;
      Batch__Checkpoint *saved = g_new (Batch__Checkpoint, 1);
      batch__checkpoint__init (saved);
      saved->index = i;
      saved->value = task->saved;
      row->saved[row->n_saved++] = saved;
      g_ptr_array_add (garbage, saved);
    }
  row->failed = g_new0 (Batch__FailedRun *, part->failed->len);
  g_ptr_array_add (garbage, row->failed);
  for (guint i = 0; i < part->failed->len; i++)
    {
      const FailedRow *failure = &g_array_index (part->failed, FailedRow, i);
      Batch__FailedRun *entry = g_new (Batch__FailedRun, 1);
      batch__failed_run__init (entry);
      entry->index = failure->index;
      entry->run = failure->run;
      row->failed[row->n_failed++] = entry;
      g_ptr_array_add (garbage, entry);
    }
}

static gboolean
has_done_elsewhere (const SchedPart *part)
{
  for (uint32_t i = 0; i < part->step->n_tasks; i++)
    {
      if (part->tasks[i].is_done_elsewhere)
        return TRUE;
    }
  return FALSE;
}

GBytes *
sched_encode_progress (const SchedJob *job)
{
  g_autoptr (GPtrArray) garbage = g_ptr_array_new_with_free_func (g_free);
  Batch__Progress message = BATCH__PROGRESS__INIT;

  message.state = job->has_begun && job->state == SCHED_QUEUED ? SCHED_RUNNING : job->state;
  message.occurrences_done = job->occurrences_done;
  if (sched_job_is_open (job))
    {
      message.parts = g_new0 (Batch__Part *, job->parts->len);
      g_ptr_array_add (garbage, message.parts);
      for (guint i = 0; i < job->parts->len; i++)
        {
          const SchedPart *part = g_ptr_array_index (job->parts, i);
          if (part->n_done == 0 && part->failed->len == 0 && !part->step->saves
              && !has_done_elsewhere (part))
            continue;
          Batch__Part *row = g_new (Batch__Part, 1);
          g_ptr_array_add (garbage, row);
          encode_part (row, part, garbage);
          message.parts[message.n_parts++] = row;
        }
    }
  size_t size = batch__progress__get_packed_size (&message);
  uint8_t *bytes = g_malloc (MAX (size, 1));
  (void) batch__progress__pack (&message, bytes);
  return g_bytes_new_take (bytes, size);
}

static void
restore_part (SchedPart *part, const Batch__Part *row)
{
  for (uint32_t i = 0; i < part->step->n_tasks && i / 8 < row->done.len; i++)
    {
      SchedTask *task = &part->tasks[i];
      if ((row->done.data[i / 8] & (1U << (i % 8))) == 0 || task->state == TASK_DONE)
        continue;
      if (task->state == TASK_WAITING)
        part->n_waiting--;
      task->state = TASK_DONE;
      part->n_done++;
    }
  for (size_t i = 0; i < row->n_failed; i++)
    {
      const Batch__FailedRun *failure = row->failed[i];
      if (failure->index < part->step->n_tasks)
        count_failure (&part->tasks[failure->index], failure->run);
    }
  for (size_t i = 0; i < row->n_saved; i++)
    {
      const Batch__Checkpoint *saved = row->saved[i];
      if (saved->index >= part->step->n_tasks)
        continue;
      SchedTask *task = &part->tasks[saved->index];
      g_free (task->saved);
      task->saved = g_strdup (saved->value);
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
      while (row->occurrence >= job->occurrences_made
             && job->occurrences_made < job_spec_occurrences (job->spec))
        make_occurrence (job);
      SchedPart *part = sched_find_part (job, row->occurrence, row->step);
      if (part != NULL)
        restore_part (part, row);
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
  job->queue = sched->config != NULL ? queue_config_find (sched->config, wanted->queue) : NULL;
  job->accepted_wall_ms = wanted->accepted_wall_ms;
  job->spec = wanted->spec;
  job->is_old = wanted->is_old;
  job->parts = g_ptr_array_new_with_free_func (part_free);
  job->n_changes = 1;
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
  if (is_complete (job))
    sched_end_job (sched, job, SCHED_COMPLETED);
}

void
sched_cancel_job (Sched *sched, const char *id)
{
  SchedJob *job = g_hash_table_lookup (sched->jobs, id);

  if (job != NULL && sched_job_is_open (job))
    sched_end_job (sched, job, SCHED_CANCELLED);
}
