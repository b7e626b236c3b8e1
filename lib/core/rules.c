#include "core/tables.h"

#include <string.h>

#define RULES_ALLOWED (-1)
#define RULES_UNKNOWN (-2)

void
rules_constraints_free (void *data)
{
  CoreConstraints *constraints = data;

  lab_free (constraints->labels);
  g_array_free (constraints->allowed, TRUE);
  g_array_free (constraints->candidates, TRUE);
  g_free (constraints);
}

CoreConstraints *
rules_constraints (Core *core, const LabSet *labels)
{
  char *text = lab_print (labels);
  CoreConstraints *constraints = g_hash_table_lookup (core->constraints_by_labels, text);

  if (constraints != NULL)
    {
      g_free (text);
      return constraints;
    }
  constraints = g_new0 (CoreConstraints, 1);
  constraints->labels = lab_copy (labels);
  constraints->allowed = g_array_new (FALSE, FALSE, sizeof (int32_t));
  constraints->candidates = g_array_new (FALSE, FALSE, sizeof (uint32_t));
  g_hash_table_insert (core->constraints_by_labels, text, constraints);
  return constraints;
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
  doc_apply_labels (core->config.label_rules, worker->labels);
  GHashTableIter iter;
  void *value = NULL;
  g_hash_table_iter_init (&iter, core->constraints_by_labels);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      CoreConstraints *constraints = value;
      constraints->has_candidates = FALSE;
      if (worker->row < constraints->allowed->len)
        g_array_index (constraints->allowed, int32_t, worker->row) = RULES_UNKNOWN;
    }
}

static int32_t
find_forbidding_rule (const Core *core,
                      const CoreConstraints *constraints,
                      const CoreWorker *worker)
{
  for (guint i = 0; i < core->config.rules->len; i++)
    {
      const CoreRule *rule = g_ptr_array_index (core->config.rules, i);
      if (rule->effect != DOC_MAY && rule->effect != DOC_MAY_NOT)
        continue;
      if (!sel_match (rule->work, constraints->labels))
        continue;
      if (sel_match (rule->instances, worker->labels) != (rule->effect == DOC_MAY))
        return (int32_t) i;
    }
  return RULES_ALLOWED;
}

static void
refresh_constraints (const Core *core, CoreConstraints *constraints)
{
  if (constraints->generation == core->config.generation
      && constraints->allowed->len == core->workers->len)
    return;
  if (constraints->generation != core->config.generation)
    g_array_set_size (constraints->allowed, 0);
  for (guint i = constraints->allowed->len; i < core->workers->len; i++)
    {
      int32_t unknown = RULES_UNKNOWN;
      g_array_append_val (constraints->allowed, unknown);
    }
  constraints->generation = core->config.generation;
  constraints->has_candidates = FALSE;
}

int32_t
rules_forbid (Core *core, CoreConstraints *constraints, const CoreWorker *worker)
{
  refresh_constraints (core, constraints);
  int32_t *allowed = &g_array_index (constraints->allowed, int32_t, worker->row);

  if (*allowed == RULES_UNKNOWN)
    *allowed = find_forbidding_rule (core, constraints, worker);
  return *allowed;
}

const GArray *
rules_candidates (Core *core, CoreConstraints *constraints)
{
  refresh_constraints (core, constraints);
  if (constraints->has_candidates)
    return constraints->candidates;
  g_array_set_size (constraints->candidates, 0);
  for (uint32_t i = 0; i < core->workers->len; i++)
    {
      const CoreWorker *worker = tables_worker_row (core, i);
      if (worker->state == WORKER_LIVE && rules_forbid (core, constraints, worker) == RULES_ALLOWED)
        g_array_append_val (constraints->candidates, i);
    }
  constraints->has_candidates = TRUE;
  return constraints->candidates;
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
has_forbidden_neighbour (const Core *core,
                         const CoreRule *rule,
                         const CoreJob *job,
                         const CoreWorker *worker,
                         const CoreTask *self)
{
  for (guint i = 0; i < worker->tasks->len; i++)
    {
      const CoreTask *task = g_ptr_array_index (worker->tasks, i);
      if (task != self
          && are_apart (rule, job->constraints->labels, task->job->constraints->labels))
        return TRUE;
    }
  for (guint i = 0; i < worker->endpoints->len; i++)
    {
      uint32_t row = g_array_index (worker->endpoints, CoreEndpoint, i).service;
      if (are_apart (rule, job->constraints->labels, tables_service_row (core, row)->labels))
        return TRUE;
    }
  return FALSE;
}

const CoreRule *
rules_broken_by_neighbours (Core *core,
                            const CoreJob *job,
                            const CoreWorker *worker,
                            const CoreTask *self)
{
  for (guint i = 0; i < core->config.rules->len; i++)
    {
      const CoreRule *rule = g_ptr_array_index (core->config.rules, i);
      if (rule->effect == DOC_APART && sel_match (rule->work, job->constraints->labels)
          && is_spread_full (core, rule, job, worker, self))
        return rule;
      if (rule->effect == DOC_NOT_BESIDE && has_forbidden_neighbour (core, rule, job, worker, self))
        return rule;
    }
  return NULL;
}
