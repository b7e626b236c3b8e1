#include "core/tables.h"

#include <string.h>

#define TABLES_TASKS_MAX 1000000U

static void
worker_free (void *data)
{
  CoreWorker *worker = data;

  g_free (worker->id);
  g_free (worker->data_centre);
  g_free (worker->rack);
  lab_free (worker->announced);
  lab_free (worker->labels);
  g_array_free (worker->endpoints, TRUE);
  g_ptr_array_free (worker->tasks, TRUE);
  g_array_free (worker->changes, TRUE);
  g_array_free (worker->weights, TRUE);
  g_free (worker);
}

static void
job_free (void *data)
{
  CoreJob *job = data;

  g_free (job->name);
  g_free (job->team);
  g_free (job->tasks);
  g_free (job);
}

static void
team_free (void *data)
{
  CoreTeam *team = data;

  g_free (team->name);
  g_free (team);
}

static void
service_free (void *data)
{
  CoreService *service = data;

  g_free (service->name);
  lab_free (service->labels);
  g_array_free (service->pairs, TRUE);
  g_free (service);
}

static void
class_free (void *data)
{
  CoreClass *batch_class = data;

  g_free (batch_class->name);
  g_free (batch_class);
}

void
tables_init (Core *core)
{
  core->workers = g_ptr_array_new_with_free_func (worker_free);
  core->worker_rows = g_hash_table_new (g_str_hash, g_str_equal);
  core->jobs_by_id = g_hash_table_new_full (g_int64_hash, g_int64_equal, NULL, job_free);
  core->ready = g_ptr_array_new ();
  core->order = g_ptr_array_new ();
  core->deadlines = g_ptr_array_new ();
  core->teams = g_ptr_array_new_with_free_func (team_free);
  core->team_rows = g_hash_table_new (g_str_hash, g_str_equal);
  core->services = g_ptr_array_new_with_free_func (service_free);
  core->service_rows = g_hash_table_new (g_str_hash, g_str_equal);
  core->classes = g_ptr_array_new_with_free_func (class_free);
  core->class_rows = g_hash_table_new (g_str_hash, g_str_equal);
  core->constraints_by_labels
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, rules_constraints_free);
  core->cancels = g_ptr_array_new ();
  core->finished = g_ptr_array_new ();
  core->ended = g_ptr_array_new ();
  core->quarantined = g_ptr_array_new ();
  core->reported = g_ptr_array_new ();
  core->scratch = g_array_new (FALSE, TRUE, sizeof (double));
  core->free_rows = g_array_new (FALSE, FALSE, sizeof (uint32_t));
}

void
tables_clear (Core *core)
{
  g_ptr_array_free (core->cancels, TRUE);
  g_ptr_array_free (core->finished, TRUE);
  g_ptr_array_free (core->ended, TRUE);
  g_array_free (core->free_rows, TRUE);
  g_ptr_array_free (core->quarantined, TRUE);
  g_ptr_array_free (core->reported, TRUE);
  g_array_free (core->scratch, TRUE);
  g_ptr_array_free (core->order, TRUE);
  g_ptr_array_free (core->deadlines, TRUE);
  g_ptr_array_free (core->ready, TRUE);
  g_hash_table_destroy (core->jobs_by_id);
  g_hash_table_destroy (core->constraints_by_labels);
  g_hash_table_destroy (core->worker_rows);
  g_ptr_array_free (core->workers, TRUE);
  g_hash_table_destroy (core->team_rows);
  g_ptr_array_free (core->teams, TRUE);
  g_hash_table_destroy (core->service_rows);
  g_ptr_array_free (core->services, TRUE);
  g_hash_table_destroy (core->class_rows);
  g_ptr_array_free (core->classes, TRUE);
}

/* The hash table stores row + 1, since a missing key reads as 0. CORE_NONE if the name is unknown.
 */
static uint32_t
find_row (GHashTable *rows, const char *name)
{
  return GPOINTER_TO_UINT (g_hash_table_lookup (rows, name)) - 1;
}

static uint32_t
add_row (GPtrArray *table, GHashTable *rows, char *name, void *row)
{
  g_ptr_array_add (table, row);
  g_hash_table_insert (rows, name, GUINT_TO_POINTER (table->len));
  return table->len - 1;
}

CoreWorker *
tables_worker_row (const Core *core, uint32_t row)
{
  return row < core->workers->len ? g_ptr_array_index (core->workers, row) : NULL;
}

CoreWorker *
tables_worker (const Core *core, const char *id)
{
  return id == NULL ? NULL : tables_worker_row (core, find_row (core->worker_rows, id));
}

static CoreWorker *
new_worker (void)
{
  CoreWorker *worker = g_new0 (CoreWorker, 1);

  worker->endpoints = g_array_new (FALSE, TRUE, sizeof (CoreEndpoint));
  worker->tasks = g_ptr_array_new ();
  worker->changes = g_array_new (FALSE, TRUE, sizeof (CoreChange));
  worker->weights = g_array_new (FALSE, TRUE, sizeof (int32_t));
  return worker;
}

CoreWorker *
tables_worker_add (Core *core, const char *id)
{
  CoreWorker *worker = new_worker ();

  worker->id = g_strdup (id);
  if (core->free_rows->len == 0)
    {
      worker->row = add_row (core->workers, core->worker_rows, worker->id, worker);
      return worker;
    }
  worker->row = g_array_index (core->free_rows, uint32_t, core->free_rows->len - 1);
  g_array_set_size (core->free_rows, core->free_rows->len - 1);
  worker_free (core->workers->pdata[worker->row]);
  core->workers->pdata[worker->row] = worker;
  g_hash_table_insert (core->worker_rows, worker->id, GUINT_TO_POINTER (worker->row + 1));
  return worker;
}

void
tables_worker_remove (Core *core, CoreWorker *worker)
{
  g_assert (worker->tasks->len == 0);
  worker->state = WORKER_GONE;
  (void) g_ptr_array_remove (core->quarantined, worker);
  (void) g_ptr_array_remove (core->reported, worker);
  core->fleet = size_sub (core->fleet, worker->capacity);
  g_hash_table_remove (core->worker_rows, worker->id);
  g_array_append_val (core->free_rows, worker->row);
}

uint32_t
tables_service (Core *core, const char *name)
{
  uint32_t row = find_row (core->service_rows, name);

  if (row != CORE_NONE)
    return row;
  CoreService *service = g_new0 (CoreService, 1);
  service->name = g_strdup (name);
  service->pairs = g_array_new (FALSE, TRUE, sizeof (CorePair));
  return add_row (core->services, core->service_rows, service->name, service);
}

CoreService *
tables_service_row (const Core *core, uint32_t row)
{
  return g_ptr_array_index (core->services, row);
}

uint32_t
tables_class (Core *core, const char *name)
{
  uint32_t row = find_row (core->class_rows, name);

  if (row != CORE_NONE)
    return row;
  CoreClass *batch_class = g_new0 (CoreClass, 1);
  batch_class->name = g_strdup (name);
  return add_row (core->classes, core->class_rows, batch_class->name, batch_class);
}

CoreClass *
tables_class_row (const Core *core, uint32_t row)
{
  return g_ptr_array_index (core->classes, row);
}

uint32_t
tables_team (Core *core, const char *name)
{
  uint32_t row = find_row (core->team_rows, name);

  if (row != CORE_NONE)
    return row;
  CoreTeam *team = g_new0 (CoreTeam, 1);
  team->name = g_strdup (name);
  team->weight = 1;
  return add_row (core->teams, core->team_rows, team->name, team);
}

CoreTeam *
tables_team_row (const Core *core, uint32_t row)
{
  return g_ptr_array_index (core->teams, row);
}

CoreJob *
tables_job (const Core *core, uint64_t id)
{
  return g_hash_table_lookup (core->jobs_by_id, &id);
}

CoreTask *
tables_task (const Core *core, CoreTaskKey key)
{
  CoreJob *job = tables_job (core, key.job);

  if (job == NULL || job->tasks == NULL || key.index >= job->n_tasks)
    return NULL;
  return &job->tasks[key.index];
}

static void
make_tasks (Core *core, CoreJob *job)
{
  job->tasks = g_new0 (CoreTask, job->n_tasks);
  for (uint32_t i = 0; i < job->n_tasks; i++)
    {
      CoreTask *task = &job->tasks[i];
      task->job = job;
      task->index = i;
      task->worker = CORE_NONE;
      task->failed_on = CORE_NONE;
      task->placed_on = CORE_NONE;
      task->eviction_worker = CORE_NONE;
      task->throttle_permille = CORE_FULL_PERMILLE;
    }
  job->count[TASK_WAITING] = job->n_tasks;
  core->total[TASK_WAITING] += job->n_tasks;
}

CoreJob *
tables_job_add (Core *core, const CoreJobIn *in)
{
  const DocJob *definition = in->definition;
  CoreJob *job = g_new0 (CoreJob, 1);

  job->id = in->job;
  job->name = g_strdup (definition->name);
  job->team = g_strdup (definition->team);
  job->team_row = tables_team (core, definition->team);
  job->class_row = tables_class (core, definition->batch_class);
  job->constraints = rules_constraints (core, definition->labels);
  job->priority = definition->priority;
  job->size = definition->size;
  job->run_ms = MAX (definition->run_ms, 1);
  job->checkpoint_ms = definition->checkpoint_ms;
  job->max_failures = (uint32_t) definition->max_failures;
  job->submitted_us = in->submitted_us;
  job->deadline_us = in->deadline_us;
  job->n_tasks = (uint32_t) CLAMP (definition->tasks, 1, TABLES_TASKS_MAX);
  job->first_seen_us = core->now_us;
  job->waits_for = "not looked at yet";
  make_tasks (core, job);
  g_hash_table_insert (core->jobs_by_id, &job->id, job);
  job->ready_index = core->ready->len;
  g_ptr_array_add (core->ready, job);
  core->is_ready_changed = TRUE;
  return job;
}

static void
update_ready (Core *core, CoreJob *job)
{
  gboolean should = job->count[TASK_WAITING] > 0;

  if (should == (job->ready_index != CORE_NONE))
    return;
  if (should)
    {
      core->is_ready_changed = TRUE;
      job->ready_index = core->ready->len;
      g_ptr_array_add (core->ready, job);
      return;
    }
  CoreJob *last = g_ptr_array_index (core->ready, core->ready->len - 1);
  core->ready->pdata[job->ready_index] = last;
  last->ready_index = job->ready_index;
  g_ptr_array_set_size (core->ready, (int) core->ready->len - 1);
  job->ready_index = CORE_NONE;
}

static void
update_finished (Core *core, CoreJob *job)
{
  uint32_t over = job->count[TASK_DONE] + job->count[TASK_CANCELLED] + job->count[TASK_GIVEN_UP];

  if (over < job->n_tasks || job->finished_us != 0)
    return;
  job->finished_us = MAX (core->now_us, 1);
  g_ptr_array_add (core->finished, job);
}

void
tables_set_state (Core *core, CoreTask *task, CoreTaskState state)
{
  CoreJob *job = task->job;

  job->count[task->state]--;
  core->total[task->state]--;
  task->state = state;
  job->count[state]++;
  core->total[state]++;
  if (state == TASK_WAITING)
    job->first_waiting = MIN (job->first_waiting, task->index);
  update_ready (core, job);
  update_finished (core, job);
}

static DocSize
task_excess (const CoreTask *task)
{
  return size_max (size_sub (task->used, task->reserved), (DocSize){ 0 });
}

DocSize
tables_free_size (const CoreWorker *worker)
{
  DocSize used = size_add (size_add (worker->endpoints_size, worker->tasks_size), worker->excess);

  return size_sub (worker->capacity, used);
}

void
tables_assign (Core *core, CoreTask *task, CoreWorker *worker, DocSize size)
{
  CoreTeam *team = tables_team_row (core, task->job->team_row);

  g_assert (task->worker == CORE_NONE);
  task->worker = worker->row;
  task->list_index = worker->tasks->len;
  task->reserved = size;
  task->used = (DocSize){ 0 };
  task->throttle_permille = CORE_FULL_PERMILLE;
  task->started_us = core->now_us;
  g_ptr_array_add (worker->tasks, task);
  worker->tasks_size = size_add (worker->tasks_size, size);
  team->used = size_add (team->used, size);
  interference_change (core, worker, task->job->class_row, CORE_FULL_PERMILLE);
  tables_set_state (core, task, TASK_LIVE);
}

void
tables_release (Core *core, CoreTask *task, CoreTaskState state)
{
  CoreWorker *worker = tables_worker_row (core, task->worker);
  CoreTeam *team = tables_team_row (core, task->job->team_row);

  g_assert (worker != NULL && worker->tasks->pdata[task->list_index] == task);
  worker->excess = size_sub (worker->excess, task_excess (task));
  worker->tasks_size = size_sub (worker->tasks_size, task->reserved);
  team->used = size_sub (team->used, task->reserved);
  CoreTask *last = g_ptr_array_index (worker->tasks, worker->tasks->len - 1);
  worker->tasks->pdata[task->list_index] = last;
  last->list_index = task->list_index;
  g_ptr_array_set_size (worker->tasks, (int) worker->tasks->len - 1);
  interference_change (core, worker, task->job->class_row, -(int32_t) task->throttle_permille);
  task->worker = CORE_NONE;
  task->reserved = (DocSize){ 0 };
  task->used = (DocSize){ 0 };
  task->throttle_permille = CORE_FULL_PERMILLE;
  task->is_probe = FALSE;
  tables_set_state (core, task, state);
  tables_grant_endpoints (core, worker);
}

void
tables_set_used (Core *core, CoreTask *task, DocSize used)
{
  CoreWorker *worker = tables_worker_row (core, task->worker);

  worker->excess = size_sub (worker->excess, task_excess (task));
  task->used = used;
  worker->excess = size_add (worker->excess, task_excess (task));
}

void
tables_set_throttle (Core *core, CoreTask *task, uint32_t permille)
{
  CoreWorker *worker = tables_worker_row (core, task->worker);
  int32_t delta = (int32_t) permille - (int32_t) task->throttle_permille;

  task->throttle_permille = permille;
  task->throttled_us = core->now_us;
  interference_change (core, worker, task->job->class_row, delta);
}

DocSize
tables_endpoints_demand (const Core *core, const CoreWorker *worker)
{
  DocSize wanted = { 0 };

  for (guint i = 0; i < worker->endpoints->len; i++)
    {
      const CoreEndpoint *endpoint = &g_array_index (worker->endpoints, CoreEndpoint, i);
      wanted = size_add (wanted, tables_service_row (core, endpoint->service)->size);
    }
  return wanted;
}

void
tables_grant_endpoints (Core *core, CoreWorker *worker)
{
  DocSize available = size_max (size_sub (worker->capacity, worker->tasks_size), (DocSize){ 0 });

  worker->endpoints_size = size_min (tables_endpoints_demand (core, worker), available);
}

int64_t
tables_lag_us (const Core *core)
{
  return core->config.policy.report_lag_ms * CLK_US_PER_MS;
}

gboolean
tables_has_mechanism (const Core *core, CoreMechanism mechanism)
{
  return core->options.policy == CORE_POLICY_ACACIA
         && (core->options.mechanisms & (uint32_t) mechanism) != 0;
}

/* xorshift64*: gives the same sequence on every machine. */
uint32_t
tables_random (Core *core, uint32_t below)
{
  uint64_t x = core->random;

  x ^= x >> 12;
  x ^= x << 25;
  x ^= x >> 27;
  core->random = x;
  return (uint32_t) (((x * UINT64_C (2685821657736338717)) >> 32) % MAX (below, 1));
}
