#include "bench/fake_private.h"

#include <math.h>
#include <string.h>

#define FAKE_TAIL_NOISE 0.03
#define FAKE_TASK_SPREAD 1.25
#define FAKE_REFERENCE_CPU 16000.0 /**< of the instance that FakeKind.growth refers to */
#define FAKE_REPORT_MS INT64_C (5000)
#define FAKE_LAG_MIN_MS 2000
#define FAKE_LAG_MAX_MS 30000
#define FAKE_LEASE_MS INT64_C (10000)
#define FAKE_SILENCE_MS INT64_C (60000)
#define FAKE_CHECKPOINT_COST_MS INT64_C (1000)
#define FAKE_FAIL_MS INT64_C (1000)
#define FAKE_CPU_PRESSURE 2.0

static const FakeKind *
kind_of (CoreTaskKey key)
{
  return &fake_kinds[key.job / FAKE_KIND_STEP];
}

/* Returns a number in [0, 1) that depends on the task, @p salt and the seed alone, so that it does
 * not change with the policy. */
static double
task_random (const Fake *fake, CoreTaskKey key, uint32_t salt)
{
  uint64_t x = key.job * UINT64_C (0x9e3779b97f4a7c15) + key.index + fake->seed * 7919U + salt;

  x ^= x >> 31;
  x *= UINT64_C (0xbf58476d1ce4e5b9);
  x ^= x >> 27;
  x *= UINT64_C (0x94d049bb133111eb);
  x ^= x >> 31;
  return (double) (x >> 11) / (double) (UINT64_C (1) << 53);
}

/* Returns a factor from 1/error to error for the kind of the task, times a small factor for the
 * task. */
static double
factor (const Fake *fake, CoreTaskKey key, uint32_t salt, double error)
{
  CoreTaskKey kind = { .job = key.job / FAKE_KIND_STEP };
  double of_kind = (2 * task_random (fake, kind, salt) - 1) * log (error);
  double of_task = (2 * task_random (fake, key, salt) - 1) * log (FAKE_TASK_SPREAD);

  return exp (of_kind + of_task);
}

static double
load_now (const Fake *fake)
{
  gboolean is_after
      = fake->bench->load_change_s > 0 && fake->now_ms >= fake->bench->load_change_s * CLK_MS_PER_S;

  return is_after ? fake->bench->load_after : fake->bench->load;
}

Fake *
fake_new (const BenchCase *bench, const BenchDeployment *deployment, uint32_t seed)
{
  Fake *fake = g_new0 (Fake, 1);

  fake->bench = bench;
  fake->deployment = deployment;
  fake->seed = seed;
  fake->rand = g_rand_new_with_seed (seed);
  fake->tasks = g_array_new (FALSE, TRUE, sizeof (FakeTask));
  fake->reports = g_array_new (FALSE, TRUE, sizeof (FakeReport));
  fake->remaining = g_hash_table_new_full (g_int64_hash, g_int64_equal, g_free, g_free);
  fake->done = g_array_new (FALSE, TRUE, sizeof (CoreTaskKey));
  for (guint i = 0; i < G_N_ELEMENTS (fake->growth_factors); i++)
    fake->growth_factors[i] = g_rand_double_range (fake->rand, 0.7, 1.4);
  for (uint32_t i = 0; i < FAKE_WORKERS; i++)
    {
      FakeWorker *worker = &fake->workers[i];
      (void) g_snprintf (worker->id, sizeof worker->id, "runner-%02u", i);
      (void) g_snprintf (worker->rack, sizeof worker->rack, "rack-%u", i / FAKE_PER_RACK);
      worker->lag_ms = g_rand_int_range (fake->rand, FAKE_LAG_MIN_MS, FAKE_LAG_MAX_MS);
      worker->next_report_ms = g_rand_int_range (fake->rand, 0, (gint32) FAKE_REPORT_MS);
    }
  return fake;
}

void
fake_free (Fake *fake)
{
  g_rand_free (fake->rand);
  g_array_free (fake->tasks, TRUE);
  g_array_free (fake->reports, TRUE);
  g_array_free (fake->done, TRUE);
  g_hash_table_destroy (fake->remaining);
  g_free (fake);
}

void
fake_announce (Fake *fake, GArray *inputs, gboolean has_services)
{
  static const char *const services[] = { "mixdesk", NULL };

  for (uint32_t i = 0; i < FAKE_WORKERS; i++)
    {
      FakeWorker *worker = &fake->workers[i];
      CoreInput input = { .type = CORE_IN_WORKER };
      if (worker->is_dead)
        continue;
      input.worker.id = worker->id;
      input.worker.incarnation = 1;
      input.worker.data_centre = "cuenca";
      input.worker.rack = worker->rack;
      input.worker.capacity
          = (DocSize){ fake->deployment->cpu_milli, fake->deployment->memory_mb, 0 };
      input.worker.services = has_services ? services : NULL;
      g_array_append_val (inputs, input);
    }
}

static void
append_task_event (GArray *inputs, const Fake *fake, const FakeTask *task, CoreTaskEvent event)
{
  CoreInput input = { .type = CORE_IN_TASK };

  input.task.task = task->key;
  input.task.attempt = task->attempt;
  input.task.worker = fake->workers[task->worker].id;
  input.task.event = event;
  g_array_append_val (inputs, input);
}

void
fake_take_over (Fake *fake, GArray *inputs)
{
  for (guint i = 0; i < fake->tasks->len; i++)
    append_task_event (inputs, fake, &g_array_index (fake->tasks, FakeTask, i), CORE_TASK_RUNNING);
  for (guint i = 0; i < fake->done->len; i++)
    {
      CoreInput input = { .type = CORE_IN_TASK };
      input.task.task = g_array_index (fake->done, CoreTaskKey, i);
      input.task.attempt = 1;
      input.task.event = CORE_TASK_DONE;
      g_array_append_val (inputs, input);
    }
}

static uint64_t
remaining_key (CoreTaskKey key)
{
  return key.job * 1000 + key.index;
}

double
fake_remaining_ms (const Fake *fake, CoreTaskKey key)
{
  uint64_t id = remaining_key (key);
  const double *remaining = g_hash_table_lookup (fake->remaining, &id);

  if (remaining != NULL)
    return *remaining;
  return (double) kind_of (key)->run_ms * factor (fake, key, 1, fake->bench->run_error);
}

static void
set_remaining (Fake *fake, CoreTaskKey key, double remaining_ms)
{
  uint64_t id = remaining_key (key);

  g_hash_table_insert (fake->remaining, g_memdup2 (&id, sizeof id),
                       g_memdup2 (&remaining_ms, sizeof remaining_ms));
}

static double
cpu_of (const Fake *fake, const FakeTask *task)
{
  double cpu = (double) kind_of (task->key)->size.cpu_milli;

  return cpu * factor (fake, task->key, 2, fake->bench->size_error) * task->throttle / 1000.0;
}

static DocSize
used_by (const Fake *fake, const FakeTask *task)
{
  const FakeKind *kind = kind_of (task->key);
  double memory = (double) kind->size.memory_mb;

  memory *= factor (fake, task->key, 3, fake->bench->size_error);
  return (DocSize){ (int64_t) cpu_of (fake, task), (int64_t) memory, 0 };
}

/* Computes the tail of the service and the speed of the tasks on one instance from its load. */
static double
evaluate_worker (Fake *fake, uint32_t row, double *speed)
{
  double load = load_now (fake);
  double growth = 0;
  double cpu = FAKE_SERVICE_CPU * load;
  double scale = FAKE_REFERENCE_CPU / (double) fake->deployment->cpu_milli;

  for (guint i = 0; i < fake->tasks->len; i++)
    {
      const FakeTask *task = &g_array_index (fake->tasks, FakeTask, i);
      if (task->worker != row || !task->is_running)
        continue;
      const FakeKind *kind = kind_of (task->key);
      growth += kind->growth * fake->growth_factors[kind - fake_kinds] * scale * (0.4 + 1.2 * load)
                * task->throttle / 1000.0;
      cpu += cpu_of (fake, task);
    }
  double pressure = cpu / (double) fake->deployment->cpu_milli;
  *speed = pressure > 1 ? 1 / pressure : 1;
  growth += pressure > 1 ? FAKE_CPU_PRESSURE * (pressure - 1) : 0;
  return fake_isolated_tail_us (load) * (1 + growth);
}

static void
send_later (Fake *fake, int64_t lag_ms, const CoreInput *input)
{
  FakeReport report = { fake->now_ms + lag_ms, *input };

  g_array_append_val (fake->reports, report);
}

static void
report (Fake *fake, uint32_t row)
{
  FakeWorker *worker = &fake->workers[row];
  CoreInput input = { .type = CORE_IN_SERVICE };
  double noise
      = 1
        + FAKE_TAIL_NOISE
              * (g_rand_double_range (fake->rand, -1, 1) + g_rand_double_range (fake->rand, -1, 1));
  int64_t silent_ms = fake->bench->silent_from_s * CLK_MS_PER_S;
  int64_t jitter_ms = g_rand_int_range (fake->rand, 0, 1000);

  worker->next_report_ms += FAKE_REPORT_MS;
  if (silent_ms > 0 && fake->now_ms >= silent_ms && fake->now_ms < silent_ms + FAKE_SILENCE_MS)
    return;
  input.service.worker = worker->id;
  input.service.service = "mixdesk";
  input.service.p99_us = (int64_t) (worker->p99_us * noise);
  input.service.load_permille = (uint32_t) (1000 * load_now (fake));
  input.service.measured_us = fake->now_ms * CLK_US_PER_MS;
  send_later (fake, worker->lag_ms + jitter_ms, &input);
  for (guint i = 0; i < fake->tasks->len; i++)
    {
      const FakeTask *task = &g_array_index (fake->tasks, FakeTask, i);
      CoreInput usage = { .type = CORE_IN_USAGE };
      if (task->worker != row || !task->is_running)
        continue;
      usage.usage.worker = worker->id;
      usage.usage.task = task->key;
      usage.usage.attempt = task->attempt;
      usage.usage.used = used_by (fake, task);
      usage.usage.measured_us = fake->now_ms * CLK_US_PER_MS;
      send_later (fake, worker->lag_ms + jitter_ms, &usage);
    }
}

static void
deliver (Fake *fake, GArray *inputs)
{
  guint kept = 0;

  for (guint i = 0; i < fake->reports->len; i++)
    {
      FakeReport *waiting = &g_array_index (fake->reports, FakeReport, i);
      if (waiting->at_ms <= fake->now_ms)
        g_array_append_val (inputs, waiting->input);
      else
        g_array_index (fake->reports, FakeReport, kept++) = *waiting;
    }
  g_array_set_size (fake->reports, kept);
}

/* Advances an attempt by one step, reports its state changes to the core and counts its work.
 * Returns whether the attempt has ended. */
static gboolean
advance (Fake *fake, FakeTask *task, double speed, GArray *inputs)
{
  const FakeKind *kind = kind_of (task->key);
  double cores = (double) kind->size.cpu_milli / 1000.0;
  gboolean is_doomed
      = (int) task->worker + 1 == fake->bench->failing_worker || strcmp (kind->name, "bad") == 0;

  if (task->state == FAKE_STOPPING && fake->now_ms >= task->due_ms)
    {
      gboolean is_checkpointed = task->stop_with == CORE_DO_CHECKPOINT && kind->checkpoint_ms > 0;
      double all = fake_remaining_ms (fake, task->key);
      double lost_ms = is_checkpointed ? FAKE_CHECKPOINT_COST_MS : all - task->remaining_ms;
      if (is_checkpointed)
        set_remaining (fake, task->key, MIN (task->remaining_ms + lost_ms, all));
      fake->measures.evict_lost_s += cores * lost_ms / 1000.0;
      append_task_event (inputs, fake, task,
                         is_checkpointed ? CORE_TASK_CHECKPOINTED : CORE_TASK_STOPPED);
      return TRUE;
    }
  if (!task->is_running && fake->now_ms >= task->due_ms)
    {
      task->is_running = TRUE;
      append_task_event (inputs, fake, task, CORE_TASK_RUNNING);
    }
  if (!task->is_running)
    return FALSE;
  if (is_doomed && fake->now_ms - task->began_ms >= FAKE_FAIL_MS)
    {
      if ((int) task->worker + 1 == fake->bench->failing_worker)
        fake->measures.failing_worker_starts++;
      append_task_event (inputs, fake, task, CORE_TASK_FAILED);
      return TRUE;
    }
  task->remaining_ms -= (double) FAKE_STEP_MS * speed * task->throttle / 1000.0;
  if (task->checkpoint_remaining_ms - task->remaining_ms >= (double) kind->checkpoint_ms
      && kind->checkpoint_ms > 0)
    task->checkpoint_remaining_ms = task->remaining_ms;
  if (task->remaining_ms > 0)
    return FALSE;
  fake->measures.done++;
  fake->measures.work_s += cores * (double) kind->run_ms
                           * factor (fake, task->key, 1, fake->bench->run_error) / 1000.0;
  g_array_append_val (fake->done, task->key);
  append_task_event (inputs, fake, task, CORE_TASK_DONE);
  return TRUE;
}

static void
expire_leases (Fake *fake, GArray *inputs)
{
  for (uint32_t i = 0; i < FAKE_WORKERS; i++)
    {
      FakeWorker *worker = &fake->workers[i];
      CoreInput input = { .type = CORE_IN_WORKER_LOST };
      if (!worker->is_dead || worker->lost_at_ms == 0 || fake->now_ms < worker->lost_at_ms)
        continue;
      worker->lost_at_ms = 0;
      input.worker_id = worker->id;
      g_array_append_val (inputs, input);
    }
}

void
fake_step (Fake *fake, int64_t now_us, GArray *inputs)
{
  double speed[FAKE_WORKERS];

  fake->now_ms = now_us / CLK_US_PER_MS;
  for (uint32_t i = 0; i < FAKE_WORKERS; i++)
    {
      FakeWorker *worker = &fake->workers[i];
      speed[i] = 1;
      if (worker->is_dead)
        continue;
      worker->p99_us = evaluate_worker (fake, i, &speed[i]);
      fake_count_tail (&fake->measures.tails, worker->p99_us, load_now (fake));
      fake_count_tail (&fake->measures.alone, fake_isolated_tail_us (load_now (fake)),
                       load_now (fake));
      if (fake->now_ms >= worker->next_report_ms)
        report (fake, i);
    }
  for (guint i = 0; i < fake->tasks->len; i++)
    {
      FakeTask *task = &g_array_index (fake->tasks, FakeTask, i);
      if (advance (fake, task, speed[task->worker], inputs))
        g_array_remove_index_fast (fake->tasks, i--);
    }
  expire_leases (fake, inputs);
  deliver (fake, inputs);
}

void
fake_kill (Fake *fake, uint32_t row)
{
  fake->workers[row].is_dead = TRUE;
  fake->workers[row].lost_at_ms = fake->now_ms + FAKE_LEASE_MS;
  for (guint i = 0; i < fake->tasks->len; i++)
    {
      FakeTask *task = &g_array_index (fake->tasks, FakeTask, i);
      if (task->worker != row)
        continue;
      fake->measures.lost_s += (task->checkpoint_remaining_ms - task->remaining_ms) / 1000.0;
      set_remaining (fake, task->key, task->checkpoint_remaining_ms);
      g_array_remove_index_fast (fake->tasks, i--);
    }
}

const FakeMeasures *
fake_measures (const Fake *fake)
{
  return &fake->measures;
}
