#include "bench/bench.h"

#include <malloc.h>
#include <string.h>
#include <time.h>

#define SCALE_TICK_MS 100
#define SCALE_FULL_WORKERS 11000U
#define SCALE_FULL_BATCH 180000U
#define SCALE_FULL_STARTS 8000U /**< per second */
#define SCALE_SERVICES 6U       /**< endpoints per instance: 64,000 at full size */
#define SCALE_TASKS_PER_JOB 20U
#define SCALE_REPORT_TICKS 50U
#define SCALE_WARM_UP_TICKS 400
#define SCALE_MEASURED_TICKS 50
#define SCALE_SHARE_PERMILLE 35
#define SCALE_BYTES_PER_MB 1048576.0

/** State of one size: the core and its load. */
typedef struct
{
  uint32_t n_workers;
  Core *core;
  DocDocument *document;
  GArray *inputs;
  GArray *commands;
  GQueue *running; /**< start commands (CoreCommand) of running tasks, oldest first */
  GPtrArray *ids;
  int64_t now_us;
  uint64_t next_job;
  uint32_t tick;
} Scale;

static double
cpu_ms (void)
{
  struct timespec at;

  (void) clock_gettime (CLOCK_THREAD_CPUTIME_ID, &at);
  return (double) at.tv_sec * 1e3 + (double) at.tv_nsec * 1e-6;
}

static uint32_t
in_proportion (const Scale *scale, uint32_t full)
{
  return (uint32_t) ((uint64_t) full * scale->n_workers / SCALE_FULL_WORKERS);
}

static void
load_document (Scale *scale)
{
  GString *text = g_string_new ("[policy]\nstarts_per_tick = 2000\n");

  for (uint32_t i = 0; i < SCALE_SERVICES; i++)
    g_string_append_printf (text,
                            "[service.s%u]\ncpu_milli = 1000\nmemory_mb = 1000\n"
                            "target_p99_us = 50000\n",
                            i);
  for (uint32_t i = 0; i < 40; i++)
    g_string_append_printf (text,
                            "[job.j%u]\ntasks = %u\ncpu_milli = 1000\nmemory_mb = 1000\n"
                            "run_ms = 20000\ncheckpoint_ms = 1000\n",
                            i, SCALE_TASKS_PER_JOB);
  scale->document = doc_parse (text->str, text->len, "scale", NULL);
  g_assert_nonnull (scale->document);
  core_set_document (scale->core, scale->document);
  g_string_free (text, TRUE);
}

static void
add_workers (Scale *scale)
{
  static const char *const services[] = { "s0", "s1", "s2", "s3", "s4", "s5", NULL };

  for (uint32_t i = 0; i < scale->n_workers; i++)
    {
      char *id = g_strdup_printf ("instance-%05u", i);
      CoreInput input = { .type = CORE_IN_WORKER };
      g_ptr_array_add (scale->ids, id);
      input.worker.id = id;
      input.worker.incarnation = 1;
      input.worker.data_centre = "wien-ost";
      input.worker.rack = "rack-1";
      input.worker.capacity = (DocSize){ 32000, 125000, 0 };
      input.worker.services = services;
      g_array_append_val (scale->inputs, input);
    }
}

/* Adds the tails of all services on one in SCALE_REPORT_TICKS instances, rotating by tick. */
static void
add_reports (Scale *scale)
{
  for (uint32_t i = scale->tick % SCALE_REPORT_TICKS; i < scale->n_workers; i += SCALE_REPORT_TICKS)
    for (uint32_t s = 0; s < SCALE_SERVICES; s++)
      {
        static const char *const names[] = { "s0", "s1", "s2", "s3", "s4", "s5" };
        CoreInput input = { .type = CORE_IN_SERVICE };
        input.service.worker = g_ptr_array_index (scale->ids, i);
        input.service.service = names[s];
        input.service.p99_us = 20000;
        input.service.load_permille = 500;
        input.service.measured_us = scale->now_us - 2 * CLK_US_PER_S;
        g_array_append_val (scale->inputs, input);
      }
}

static void
add_usage (Scale *scale)
{
  guint n = g_queue_get_length (scale->running) / SCALE_REPORT_TICKS;
  GList *at = scale->running->head;

  for (guint i = 0; i < n && at != NULL; i++, at = at->next)
    {
      const CoreCommand *start = at->data;
      CoreInput input = { .type = CORE_IN_USAGE };
      input.usage.worker = start->worker;
      input.usage.task = start->task;
      input.usage.attempt = start->attempt;
      input.usage.used = (DocSize){ 900, 900, 0 };
      input.usage.measured_us = scale->now_us;
      g_array_append_val (scale->inputs, input);
    }
}

static void
add_jobs (Scale *scale, uint32_t tasks)
{
  for (uint32_t i = 0; i < tasks; i += SCALE_TASKS_PER_JOB)
    {
      char name[16];
      CoreInput input = { .type = CORE_IN_JOB };
      (void) g_snprintf (name, sizeof name, "j%u", (uint32_t) (scale->next_job % 40));
      input.job.job = ++scale->next_job;
      input.job.definition = doc_job (scale->document, name);
      input.job.submitted_us = scale->now_us;
      g_array_append_val (scale->inputs, input);
    }
}

/* Ends the @p n oldest tasks. The inputs point into the returned start commands until the tick has
 * run, so the caller frees them afterwards. */
static GPtrArray *
end_tasks (Scale *scale, uint32_t n)
{
  GPtrArray *ended = g_ptr_array_new_with_free_func (g_free);

  for (uint32_t i = 0; i < n && !g_queue_is_empty (scale->running); i++)
    {
      CoreCommand *start = g_queue_pop_head (scale->running);
      CoreInput input = { .type = CORE_IN_TASK };
      input.task.task = start->task;
      input.task.attempt = start->attempt;
      input.task.worker = start->worker;
      input.task.event = CORE_TASK_DONE;
      g_array_append_val (scale->inputs, input);
      g_ptr_array_add (ended, start);
    }
  return ended;
}

/* Runs one tick, adds its starts to @p starts and returns its CPU time in milliseconds. */
static double
run_tick (Scale *scale, uint32_t ends, uint32_t arrivals, uint32_t *starts)
{
  scale->now_us += SCALE_TICK_MS * CLK_US_PER_MS;
  scale->tick++;
  g_array_set_size (scale->commands, 0);
  add_reports (scale);
  add_usage (scale);
  add_jobs (scale, arrivals);
  GPtrArray *ended = end_tasks (scale, ends);
  double before_ms = cpu_ms ();
  core_tick (scale->core, scale->now_us, (const CoreInput *) (void *) scale->inputs->data,
             scale->inputs->len, scale->commands);
  double spent_ms = cpu_ms () - before_ms;
  g_ptr_array_free (ended, TRUE);
  g_array_set_size (scale->inputs, 0);
  for (guint i = 0; i < scale->commands->len; i++)
    {
      const CoreCommand *command = &g_array_index (scale->commands, CoreCommand, i);
      if (command->type != CORE_DO_START)
        continue;
      *starts += 1;
      g_queue_push_tail (scale->running, g_memdup2 (command, sizeof *command));
    }
  return spent_ms;
}

typedef struct
{
  double tick_ms;
  double worst_ms;
  double memory_mb;
  double starts_per_s;
  uint32_t running;
} ScaleResult;

static void
measure (uint32_t n_workers, ScaleResult *result)
{
  Scale scale = { .n_workers = n_workers };
  double spent[SCALE_MEASURED_TICKS];
  uint32_t starts = 0;

  size_t before = mallinfo2 ().uordblks + mallinfo2 ().hblkhd;
  scale.core = core_new (NULL);
  scale.inputs = g_array_new (FALSE, TRUE, sizeof (CoreInput));
  scale.commands = g_array_new (FALSE, TRUE, sizeof (CoreCommand));
  scale.running = g_queue_new ();
  scale.ids = g_ptr_array_new_with_free_func (g_free);
  load_document (&scale);
  add_workers (&scale);
  uint32_t batch = in_proportion (&scale, SCALE_FULL_BATCH);
  uint32_t per_tick = in_proportion (&scale, SCALE_FULL_STARTS * SCALE_TICK_MS / 1000);
  add_jobs (&scale, batch);
  for (int i = 0; i < SCALE_WARM_UP_TICKS; i++)
    (void) run_tick (&scale, 0, 0, &starts);
  starts = 0;
  for (int i = 0; i < SCALE_MEASURED_TICKS; i++)
    spent[i] = run_tick (&scale, per_tick, per_tick, &starts);
  result->memory_mb
      = (double) (mallinfo2 ().uordblks + mallinfo2 ().hblkhd - before) / SCALE_BYTES_PER_MB;
  result->running = g_queue_get_length (scale.running);
  result->memory_mb
      -= (double) result->running * (sizeof (CoreCommand) + sizeof (GList)) / SCALE_BYTES_PER_MB;
  result->tick_ms = bench_quantile (spent, SCALE_MEASURED_TICKS, 0.5);
  result->worst_ms = spent[SCALE_MEASURED_TICKS - 1];
  result->starts_per_s = starts * 1000.0 / (SCALE_TICK_MS * SCALE_MEASURED_TICKS);
  core_free (scale.core);
  doc_free (scale.document);
  g_array_free (scale.inputs, TRUE);
  g_array_free (scale.commands, TRUE);
  g_queue_free_full (scale.running, g_free);
  g_ptr_array_free (scale.ids, TRUE);
}

void
scale_run (const BenchOptions *options, BenchTargets *targets)
{
  FILE *csv = bench_open (options, "scale.csv");
  double last_share = 0;
  uint32_t last_workers = 0;
  uint32_t slice = 0;
  double wanted = SCALE_SHARE_PERMILLE / 10.0;

  (void) printf ("\n%9s %9s %10s %9s %9s %10s %8s\n", "instances", "running", "starts/s", "tick ms",
                 "worst ms", "memory MB", "core %%");
  for (uint32_t n = 11; n <= options->scale_max; n *= 10)
    {
      ScaleResult result;
      measure (n, &result);
      double share = 100.0 * result.tick_ms / SCALE_TICK_MS;
      (void) printf ("%9u %9u %10.0f %9.3f %9.3f %10.1f %8.2f\n", n, result.running,
                     result.starts_per_s, result.tick_ms, result.worst_ms, result.memory_mb, share);
      if (csv != NULL)
        (void) fprintf (csv, "%u,%u,%g,%g,%g,%g\n", n, result.running, result.starts_per_s,
                        result.tick_ms, result.worst_ms, result.memory_mb);
      last_share = share;
      last_workers = n;
      if (share <= wanted)
        slice = n;
    }
  if (csv != NULL)
    (void) fclose (csv);
  (void) printf (
      "slices of %u instances stay within %.1f %% of a core, for the decisions alone: %u "
      "instances need %u owners\n",
      slice, wanted, last_workers, slice > 0 ? last_workers / slice : 0);
  bench_target (targets, last_share <= wanted, "%u instances on one node: %.1f %% of a core",
                last_workers, last_share);
}
