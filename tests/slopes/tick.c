#include "slopes/slopes.h"

#include <string.h>

#include "common/clk.h"
#include "core/core.h"

#define NAME_PREFIX "agent-"
#define TICK_US (100 * CLK_US_PER_MS)
#define TICKS 50
#define TASKS_PER_WORKER 16
#define WARM_UP_TICKS 400

static const char document_text[] = "[job.steady]\ntasks = 16\ncpu_milli = 900\nmemory_mb = 3000\n"
                                    "run_ms = 3600000\ncheckpoint_ms = 1000\n"
                                    "[policy]\nstarts_per_tick = 1000000\n";

/** A core with its pending inputs and the placement of its tasks. */
typedef struct
{
  Core *core;
  DocDocument *document;
  GArray *inputs;
  GArray *commands;
  GPtrArray *names;
  const char **placed; /**< instance that runs each task; strings owned by names */
  LabSet *labels;
  int64_t now_us;
  double cpu_us;
  uint64_t starts;
} Bench;

/* Records the instance of a started task; its number is part of its name. */
static void
record_placement (Bench *bench, const CoreCommand *command)
{
  uint64_t task = (command->task.job - 1) * TASKS_PER_WORKER + command->task.index;
  guint64 worker = g_ascii_strtoull (command->worker + strlen (NAME_PREFIX), NULL, 10);

  bench->placed[task] = g_ptr_array_index (bench->names, (guint) worker);
}

/* Runs a tick and queues the input CORE_TASK_RUNNING for each started task. */
static void
tick (Bench *bench)
{
  double start_us = slopes_cpu_us ();
  const CoreInput *inputs = (const CoreInput *) (const void *) bench->inputs->data;

  bench->now_us += TICK_US;
  g_array_set_size (bench->commands, 0);
  core_tick (bench->core, bench->now_us, inputs, bench->inputs->len, bench->commands);
  bench->cpu_us += slopes_cpu_us () - start_us;
  g_array_set_size (bench->inputs, 0);
  for (guint i = 0; i < bench->commands->len; i++)
    {
      const CoreCommand *command = &g_array_index (bench->commands, CoreCommand, i);
      if (command->type != CORE_DO_START)
        continue;
      CoreInput input = { .type = CORE_IN_TASK };
      input.task.task = command->task;
      input.task.attempt = command->attempt;
      input.task.event = CORE_TASK_RUNNING;
      g_array_append_val (bench->inputs, input);
      record_placement (bench, command);
      bench->starts++;
    }
}

static void
add_worker (Bench *bench, uint32_t index)
{
  CoreInput input = { .type = CORE_IN_WORKER };
  char *name = g_strdup_printf (NAME_PREFIX "%u", index);

  g_ptr_array_add (bench->names, name);
  input.worker.id = name;
  input.worker.incarnation = 1;
  input.worker.data_centre = "quito-norte";
  input.worker.rack = "rack-1";
  input.worker.labels = bench->labels;
  input.worker.capacity = (DocSize){ 16000, 61440, 2 };
  g_array_append_val (bench->inputs, input);
}

static void
add_job (Bench *bench, uint64_t id)
{
  CoreInput input = { .type = CORE_IN_JOB };

  input.job.job = id;
  input.job.definition = doc_job (bench->document, "steady");
  input.job.submitted_us = bench->now_us;
  g_array_append_val (bench->inputs, input);
}

/* Adds usage reports of the tasks of one in @p phases jobs, so that each running task is reported
 * once per heartbeat interval. */
static void
add_usage (Bench *bench, uint32_t workers, uint32_t phase, uint32_t phases)
{
  for (uint32_t job = phase; job < workers; job += phases)
    {
      for (uint32_t index = 0; index < TASKS_PER_WORKER; index++)
        {
          CoreInput input = { .type = CORE_IN_USAGE };
          input.usage.task = (CoreTaskKey){ .job = job + 1, .index = index };
          input.usage.worker = bench->placed[(size_t) job * TASKS_PER_WORKER + index];
          input.usage.attempt = 1;
          input.usage.used = (DocSize){ 800, 2900, 0 };
          input.usage.measured_us = bench->now_us;
          g_array_append_val (bench->inputs, input);
        }
    }
}

static void
print_scaled (const char *name, uint32_t workers, double value, const char *unit)
{
  g_autofree char *text = g_strdup_printf ("tick.%s_%u", name, workers);

  slopes_print (text, value, unit);
}

static void
measure (uint32_t workers)
{
  enum
  {
    HEARTBEAT_TICKS = 5
  };
  Bench bench = { .core = core_new (NULL), .now_us = CLK_US_PER_S };

  bench.document = doc_parse (document_text, strlen (document_text), "slopes", NULL);
  g_assert (bench.document != NULL);
  bench.inputs = g_array_new (FALSE, TRUE, sizeof (CoreInput));
  bench.commands = g_array_new (FALSE, TRUE, sizeof (CoreCommand));
  bench.names = g_ptr_array_new_with_free_func (g_free);
  bench.labels = lab_new ();
  bench.placed = g_new0 (const char *, (size_t) workers *TASKS_PER_WORKER);
  double heap = slopes_heap_bytes ();
  core_set_document (bench.core, bench.document);
  for (uint32_t i = 0; i < workers; i++)
    add_worker (&bench, i);
  for (uint32_t i = 0; i < workers; i++)
    add_job (&bench, i + 1);
  for (uint32_t i = 0; i < WARM_UP_TICKS && bench.starts < (uint64_t) workers * TASKS_PER_WORKER;
       i++)
    tick (&bench);
  print_scaled ("start_cpu", workers, bench.cpu_us / (double) MAX (bench.starts, 1), "us");
  print_scaled ("started", workers, (double) bench.starts, "tasks");
  tick (&bench);
  bench.cpu_us = 0;
  for (uint32_t i = 0; i < TICKS; i++)
    tick (&bench);
  print_scaled ("idle_cpu", workers, bench.cpu_us / TICKS, "us");
  bench.cpu_us = 0;
  for (uint32_t i = 0; i < TICKS; i++)
    {
      add_usage (&bench, workers, i % HEARTBEAT_TICKS, HEARTBEAT_TICKS);
      tick (&bench);
    }
  print_scaled ("usage_cpu", workers, bench.cpu_us / TICKS, "us");
  print_scaled ("memory_a_worker", workers, (slopes_heap_bytes () - heap) / workers, "bytes");
  core_free (bench.core);
  doc_free (bench.document);
  g_array_free (bench.inputs, TRUE);
  g_array_free (bench.commands, TRUE);
  g_ptr_array_free (bench.names, TRUE);
  lab_free (bench.labels);
  g_free (bench.placed);
}

void
slopes_tick (void)
{
  static const uint32_t scales[] = { 115, 460, 1840, 11000 };

  for (size_t i = 0; i < G_N_ELEMENTS (scales); i++)
    measure (scales[i]);
}
