#include "core/tables.h"

#include <string.h>

#define RULES_ALLOWED (-1)
#define RULES_UNKNOWN (-2)

void
rules_shape_free (void *data)
{
  CoreShape *shape = data;

  lab_free (shape->labels);
  g_array_free (shape->allowed, TRUE);
  g_array_free (shape->candidates, TRUE);
  g_free (shape);
}

CoreShape *
rules_shape (Core *core, const LabSet *labels)
{
  char *text = lab_print (labels);
  CoreShape *shape = g_hash_table_lookup (core->shapes, text);

  if (shape != NULL)
    {
      g_free (text);
      return shape;
    }
  shape = g_new0 (CoreShape, 1);
  shape->labels = lab_copy (labels);
  shape->allowed = g_array_new (FALSE, FALSE, sizeof (int32_t));
  shape->candidates = g_array_new (FALSE, FALSE, sizeof (uint32_t));
  g_hash_table_insert (core->shapes, text, shape);
  return shape;
}

void
rules_label_worker (Core *core, CoreWorker *worker)
{
  lab_free (worker->labels);
  worker->labels = worker->announced != NULL ? lab_copy (worker->announced) : lab_new ();
  if (worker->rack != NULL && lab_get (worker->labels, "rack") == NULL)
    (void) lab_set (worker->labels, "rack", worker->rack, NULL);
  if (worker->data_centre != NULL && lab_get (worker->labels, "data_centre") == NULL)
    (void) lab_set (worker->labels, "data_centre", worker->data_centre, NULL);
  doc_apply_labels (core->config.label_only, worker->labels);
  GHashTableIter iter;
  void *value = NULL;
  g_hash_table_iter_init (&iter, core->shapes);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      CoreShape *shape = value;
      shape->has_candidates = FALSE;
      if (worker->row < shape->allowed->len)
        g_array_index (shape->allowed, int32_t, worker->row) = RULES_UNKNOWN;
    }
}

static int32_t
first_forbidding (const Core *core, const CoreShape *shape, const CoreWorker *worker)
{
  for (guint i = 0; i < core->config.rules->len; i++)
    {
      const CoreRule *rule = g_ptr_array_index (core->config.rules, i);
      if (rule->effect != DOC_MAY && rule->effect != DOC_MAY_NOT)
        continue;
      if (!sel_match (rule->work, shape->labels))
        continue;
      if (sel_match (rule->instances, worker->labels) != (rule->effect == DOC_MAY))
        return (int32_t) i;
    }
  return RULES_ALLOWED;
}

static void
refresh_shape (const Core *core, CoreShape *shape)
{
  if (shape->generation == core->config.generation && shape->allowed->len == core->workers->len)
    return;
  if (shape->generation != core->config.generation)
    g_array_set_size (shape->allowed, 0);
  for (guint i = shape->allowed->len; i < core->workers->len; i++)
    {
      int32_t unknown = RULES_UNKNOWN;
      g_array_append_val (shape->allowed, unknown);
    }
  shape->generation = core->config.generation;
  shape->has_candidates = FALSE;
}

int32_t
rules_forbid (Core *core, CoreShape *shape, const CoreWorker *worker)
{
  refresh_shape (core, shape);
  int32_t *allowed = &g_array_index (shape->allowed, int32_t, worker->row);

  if (*allowed == RULES_UNKNOWN)
    *allowed = first_forbidding (core, shape, worker);
  return *allowed;
}

const GArray *
rules_candidates (Core *core, CoreShape *shape)
{
  refresh_shape (core, shape);
  if (shape->has_candidates)
    return shape->candidates;
  g_array_set_size (shape->candidates, 0);
  for (uint32_t i = 0; i < core->workers->len; i++)
    {
      const CoreWorker *worker = tables_worker_row (core, i);
      if (worker->state == WORKER_LIVE && rules_forbid (core, shape, worker) == RULES_ALLOWED)
        g_array_append_val (shape->candidates, i);
    }
  shape->has_candidates = TRUE;
  return shape->candidates;
}

static gboolean
same_spread (const CoreRule *rule, const CoreWorker *a, const CoreWorker *b)
{
  if (rule->spread == DOC_BY_DATA_CENTRE)
    return g_strcmp0 (a->data_centre, b->data_centre) == 0;
  return g_strcmp0 (a->data_centre, b->data_centre) == 0 && g_strcmp0 (a->rack, b->rack) == 0;
}

static gboolean
is_spread_full (const Core *core,
                const CoreRule *rule,
                const CoreJob *job,
                const CoreWorker *worker,
                const CoreTask *self)
{
  int64_t here = 0;

  for (uint32_t i = 0; i < job->n_tasks; i++)
    {
      const CoreWorker *other = tables_worker_row (core, job->tasks[i].worker);
      if (other != NULL && &job->tasks[i] != self && same_spread (rule, other, worker))
        here++;
    }
  return here >= rule->max_each;
}

/* Whether the rule forbids work with @p labels and with @p other on the same instance. */
static gboolean
are_apart (const CoreRule *rule, const LabSet *labels, const LabSet *other)
{
  if (labels == NULL || other == NULL)
    return FALSE;
  return (sel_match (rule->work, labels) && sel_match (rule->beside, other))
         || (sel_match (rule->beside, labels) && sel_match (rule->work, other));
}

static gboolean
has_unwanted_neighbour (const Core *core,
                        const CoreRule *rule,
                        const CoreJob *job,
                        const CoreWorker *worker,
                        const CoreTask *self)
{
  for (guint i = 0; i < worker->tasks->len; i++)
    {
      const CoreTask *task = g_ptr_array_index (worker->tasks, i);
      if (task != self && are_apart (rule, job->shape->labels, task->job->shape->labels))
        return TRUE;
    }
  for (guint i = 0; i < worker->endpoints->len; i++)
    {
      uint32_t row = g_array_index (worker->endpoints, CoreEndpoint, i).service;
      if (are_apart (rule, job->shape->labels, tables_service_row (core, row)->labels))
        return TRUE;
    }
  return FALSE;
}

const CoreRule *
rules_neighbour (Core *core, const CoreJob *job, const CoreWorker *worker, const CoreTask *self)
{
  for (guint i = 0; i < core->config.rules->len; i++)
    {
      const CoreRule *rule = g_ptr_array_index (core->config.rules, i);
      if (rule->effect == DOC_APART && sel_match (rule->work, job->shape->labels)
          && is_spread_full (core, rule, job, worker, self))
        return rule;
      if (rule->effect == DOC_NOT_BESIDE && has_unwanted_neighbour (core, rule, job, worker, self))
        return rule;
    }
  return NULL;
}
