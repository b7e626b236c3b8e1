#include "core/tables.h"

#include <jansson.h>

#define EXPLAIN_TASKS_MAX 1000U

static const char *const explain_states[TASK_STATE_COUNT] = {
  [TASK_WAITING] = "waiting",   [TASK_LIVE] = "running", [TASK_STOPPING] = "stopping",
  [TASK_HELD] = "held",         [TASK_DONE] = "done",    [TASK_CANCELLED] = "cancelled",
  [TASK_GIVEN_UP] = "given_up",
};

static json_t *
size_json (DocSize size)
{
  return json_pack ("{s:I,s:I,s:I}", "cpu_milli", (json_int_t) size.cpu_milli, "memory_mb",
                    (json_int_t) size.memory_mb, "accelerators", (json_int_t) size.accelerators);
}

static const char *
waits_for (const Core *core, const CoreTask *task)
{
  if (task->job->is_unplaceable)
    return core_reason_name (task->job->unplaceable_why);
  if (core->now_us < task->not_before_us)
    return "a while after a failure or refusal";
  return task->job->waits_for;
}

static json_t *
task_json (const Core *core, const CoreTask *task)
{
  const CoreWorker *worker = tables_worker_row (core, task->worker);
  const CoreWorker *placed = tables_worker_row (core, task->placed_on);
  json_t *object
      = json_pack ("{s:i,s:s,s:i,s:i,s:I}", "index", (int) task->index, "state",
                   explain_states[task->state], "attempt", (int) task->attempt, "failures",
                   (int) task->failures, "progress_ms", (json_int_t) task->progress_ms);

  if (worker != NULL)
    {
      json_object_set_new (object, "instance", json_string (worker->id));
      json_object_set_new (object, "reserved", size_json (task->reserved));
      json_object_set_new (object, "throttle_permille",
                           json_integer ((json_int_t) task->throttle_permille));
    }
  if (placed != NULL)
    {
      json_object_set_new (object, "placed_on", json_string (placed->id));
      json_object_set_new (object, "placed_for", json_string (core_reason_name (task->placed_why)));
    }
  if (task->state == TASK_WAITING)
    json_object_set_new (object, "waits_for", json_string (waits_for (core, task)));
  if (task->state == TASK_STOPPING)
    json_object_set_new (object, "stopping_for", json_string (core_reason_name (task->stop_why)));
  return object;
}

/* Names of the rules that apply to the job, by their work selector. */
static json_t *
rules_json (const Core *core, const CoreJob *job)
{
  json_t *names = json_array ();

  for (guint i = 0; i < core->config.rules->len; i++)
    {
      const CoreRule *rule = g_ptr_array_index (core->config.rules, i);
      if (sel_match (rule->work, job->constraints->labels))
        json_array_append_new (names, json_string (rule->name));
    }
  return names;
}

static json_t *
counts_json (const CoreJob *job)
{
  json_t *counts = json_object ();

  for (int i = 0; i < TASK_STATE_COUNT; i++)
    json_object_set_new (counts, explain_states[i], json_integer ((json_int_t) job->count[i]));
  return counts;
}

char *
core_explain_job (const Core *core, uint64_t id)
{
  const CoreJob *job = tables_job (core, id);

  if (job == NULL)
    return NULL;
  json_t *root = json_pack ("{s:s,s:s,s:b,s:b,s:b}", "name", job->name, "team", job->team,
                            "cancelled", (int) job->is_cancelled, "given_up",
                            (int) job->is_given_up, "unplaceable", (int) job->is_unplaceable);
  json_t *tasks = json_array ();
  g_autofree char *hex = g_strdup_printf ("%016" G_GINT64_MODIFIER "x", job->id);
  json_object_set_new (root, "job", json_string (hex));
  if (job->is_unplaceable)
    json_object_set_new (root, "why", json_string (core_reason_name (job->unplaceable_why)));
  if (job->is_unplaceable && job->rule[0] != '\0')
    json_object_set_new (root, "rule", json_string (job->rule));
  json_object_set_new (root, "declared", size_json (job->size));
  json_object_set_new (root, "reserves", size_json (learn_size (core, job)));
  json_object_set_new (root, "expected_run_ms",
                       json_integer ((json_int_t) learn_run_ms (core, job, 500)));
  json_object_set_new (root, "rules", rules_json (core, job));
  json_object_set_new (root, "counts", counts_json (job));
  for (uint32_t i = 0; job->tasks != NULL && i < MIN (job->n_tasks, EXPLAIN_TASKS_MAX); i++)
    json_array_append_new (tasks, task_json (core, &job->tasks[i]));
  json_object_set_new (root, "tasks", tasks);
  char *dumped = json_dumps (root, JSON_COMPACT);
  char *text = g_strdup (dumped);
  free (dumped);
  json_decref (root);
  return text;
}
