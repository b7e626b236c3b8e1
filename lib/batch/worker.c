#include "batch/worker.h"

#include <string.h>

WorkerInfo *
worker_info_new (void)
{
  return g_new0 (WorkerInfo, 1);
}

void
worker_info_free (WorkerInfo *info)
{
  if (info == NULL)
    return;
  g_free (info->id);
  g_free (info->service);
  g_free (info->data_centre);
  g_free (info->instance);
  g_strfreev (info->labels);
  g_free (info);
}

gboolean
worker_info_same_incarnation (const WorkerInfo *a, const WorkerInfo *b)
{
  return strcmp (a->id, b->id) == 0 && a->started_wall_ms == b->started_wall_ms;
}

gboolean
worker_info_same_offer (const WorkerInfo *a, const WorkerInfo *b)
{
  return strcmp (a->service, b->service) == 0 && strcmp (a->data_centre, b->data_centre) == 0
         && a->is_draining == b->is_draining && a->capacity.cpu_m == b->capacity.cpu_m
         && a->capacity.mem_mb == b->capacity.mem_mb && a->capacity.gpus == b->capacity.gpus
         && g_strv_equal ((const char *const *) a->labels, (const char *const *) b->labels);
}

const char *
worker_end_name (WorkerEndHow how)
{
  static const char *const names[WORKER_END_COUNT]
      = { "done", "failed", "stopped", "lapsed", "broken", "alone", "other" };

  return names[how];
}

void
worker_task_clear (WorkerTask *task)
{
  g_free (task->task);
  g_free (task->checkpoint);
}

void
worker_end_clear (WorkerEnd *end)
{
  g_free (end->task);
  g_free (end->checkpoint);
}

GArray *
worker_tasks_new (void)
{
  GArray *tasks = g_array_new (FALSE, TRUE, sizeof (WorkerTask));

  g_array_set_clear_func (tasks, (GDestroyNotify) worker_task_clear);
  return tasks;
}

GArray *
worker_ends_new (void)
{
  GArray *ends = g_array_new (FALSE, TRUE, sizeof (WorkerEnd));

  g_array_set_clear_func (ends, (GDestroyNotify) worker_end_clear);
  return ends;
}
