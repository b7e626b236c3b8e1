#include "bench/run.h"

#include <string.h>
#include <time.h>

#define RUN_HUGE_KIND 9U
#define RUN_REFERENCE_CPU                                                                          \
  16000 /**< CPU of an instance to which the cases' numbers of jobs apply                          \
         */

#define RUN_ACACIA(bits)                                                                           \
  {                                                                                                \
    .seed = 1, .policy = CORE_POLICY_ACACIA, .mechanisms = (bits)                                  \
  }

const RunPolicy run_policies[] = {
  { "acacia", RUN_ACACIA (CORE_MECHANISM_ALL), TRUE },
  { "first-fit", { .seed = 1, .policy = CORE_POLICY_FIRST_FIT }, TRUE },
  { "least-loaded", { .seed = 1, .policy = CORE_POLICY_LEAST_LOADED }, TRUE },
  { "static-split", { .seed = 1, .policy = CORE_POLICY_STATIC_SPLIT }, TRUE },
  { "reactive", { .seed = 1, .policy = CORE_POLICY_LEAST_LOADED, .reactive = TRUE }, TRUE },
  { "batch-alone", { .seed = 1, .policy = CORE_POLICY_LEAST_LOADED }, FALSE },
};
const guint n_run_policies = G_N_ELEMENTS (run_policies);

/** The last eviction of a task; a repeated command for the same attempt is the same eviction. */
typedef struct
{
  int64_t at_us;
  uint32_t attempt;
} RunEviction;

/** A job that was submitted in this run. */
typedef struct
{
  uint64_t id;
  int64_t at_us;
  int64_t deadline_us;
  int64_t started_us;  /**< first start; 0: not started */
  int64_t reported_us; /**< time at which the core reported it as impossible */
  int64_t done_us;
  uint32_t n_done;
  uint32_t n_tasks;
  gboolean is_given_up;
} RunJob;

/** State of one run. */
typedef struct
{
  const BenchCase *bench;
  const BenchDeployment *site;
  const RunPolicy *policy;
  Fake *fake;
  Core *core;
  DocDocument *document;
  GArray *inputs;
  GArray *commands;
  GArray *jobs;        /**< RunJob */
  GHashTable *evicted; /**< last eviction by task */
  int64_t now_us;
  uint32_t next[RUN_HUGE_KIND + 1];
  double core_s;
  double n_commands;
  RunResult *result;
} Run;

static double
cpu_seconds (void)
{
  struct timespec at;

  (void) clock_gettime (CLOCK_THREAD_CPUTIME_ID, &at);
  return (double) at.tv_sec + (double) at.tv_nsec * 1e-9;
}

static void
submit (Run *run, uint32_t kind, int64_t deadline_s)
{
  const char *name = kind == RUN_HUGE_KIND ? "huge" : fake_kinds[kind].name;
  const DocJob *definition = doc_job (run->document, name);
  CoreInput input = { .type = CORE_IN_JOB };
  RunJob job = { .at_us = run->now_us, .n_tasks = (uint32_t) definition->tasks };

  job.id = (uint64_t) kind * FAKE_KIND_STEP + run->next[kind]++;
  job.deadline_us = deadline_s > 0 ? deadline_s * CLK_US_PER_S : 0;
  input.job.job = job.id;
  input.job.definition = definition;
  input.job.submitted_us
      = run->now_us + run->jobs->len; /* keeps the submission order within this second */
  input.job.deadline_us = job.deadline_us;
  g_array_append_val (run->inputs, input);
  g_array_append_val (run->jobs, job);
}

static void
submit_many (Run *run, uint32_t kind, int n, int64_t deadline_s)
{
  for (int i = 0; i < n; i++)
    submit (run, kind, deadline_s);
}

/* Cancels every other job. */
static void
cancel_half (Run *run)
{
  for (guint i = 0; i < run->jobs->len; i += 2)
    {
      CoreInput input = { .type = CORE_IN_CANCEL };
      input.cancelled_job = g_array_index (run->jobs, RunJob, i).id;
      g_array_append_val (run->inputs, input);
    }
}

/* Simulates a new owner: replaces the core by an empty one and gives it the accepted jobs, and the
 * running and completed tasks. */
static void
take_over (Run *run)
{
  core_free (run->core);
  run->core = core_new (&run->policy->options);
  core_set_document (run->core, run->document);
  g_array_set_size (run->inputs, 0);
  fake_announce (run->fake, run->inputs, run->policy->has_services);
  for (guint i = 0; i < run->jobs->len; i++)
    {
      const RunJob *job = &g_array_index (run->jobs, RunJob, i);
      CoreInput input = { .type = CORE_IN_JOB };
      input.job.job = job->id;
      input.job.definition = doc_job (run->document, fake_kinds[job->id / FAKE_KIND_STEP].name);
      input.job.submitted_us = job->at_us;
      input.job.deadline_us = job->deadline_us;
      g_array_append_val (run->inputs, input);
    }
  fake_take_over (run->fake, run->inputs);
}

static gboolean
is_every (int64_t second, int period_s)
{
  return period_s > 0 && second > 0 && second % period_s == 0;
}

/* Called at the start of each second. */
static void
run_events (Run *run, int64_t second)
{
  const BenchCase *bench = run->bench;
  int scale = (int) (run->site->cpu_milli / RUN_REFERENCE_CPU);

  if (is_every (second, bench->wave_s) && second < RUN_SECONDS - bench->wave_s / 2)
    submit_many (run, FAKE_NOISY, bench->wave_jobs * scale, 0);
  if (is_every (second, bench->urgent_every_s))
    submit_many (run, FAKE_URGENT, 1, 0);
  if (second > 0 && second == bench->cancel_s)
    cancel_half (run);
  if (second > 0 && second == bench->worker_dies_s)
    fake_kill (run->fake, 5);
  for (uint32_t i = 0; second > 0 && second == bench->rack_dies_s && i < FAKE_PER_RACK; i++)
    fake_kill (run->fake, FAKE_PER_RACK + i);
  if (second > 0 && second == bench->takeover_s)
    take_over (run);
}

static void
run_begin (Run *run)
{
  const BenchCase *bench = run->bench;

  int scale = (int) (run->site->cpu_milli / RUN_REFERENCE_CPU);

  fake_announce (run->fake, run->inputs, run->policy->has_services);
  submit_many (run, FAKE_BAD, bench->bad_jobs, 0);
  submit_many (run, RUN_HUGE_KIND, bench->impossible, 0);
  submit_many (run, FAKE_ACCRUAL, bench->accruals * scale, bench->deadline_s);
  for (int i = 0; i < bench->renders * scale; i++)
    {
      submit (run, FAKE_RENDER, 0);
      if (i * bench->noisy / bench->renders != (i + 1) * bench->noisy / bench->renders)
        submit (run, FAKE_NOISY, 0);
    }
}

static RunJob *
find_job (Run *run, uint64_t id)
{
  for (guint i = 0; i < run->jobs->len; i++)
    {
      RunJob *job = &g_array_index (run->jobs, RunJob, i);
      if (job->id == id)
        return job;
    }
  return NULL;
}

static void
note_eviction (Run *run, const CoreCommand *command)
{
  uint64_t key = command->task.job * 1000 + command->task.index;
  const RunEviction *last = g_hash_table_lookup (run->evicted, &key);
  RunEviction now = { run->now_us, command->attempt };

  if (last != NULL && last->attempt == now.attempt)
    return;
  if (last != NULL && now.at_us - last->at_us < CLK_US_PER_S * 60
      && run->policy->options.policy == CORE_POLICY_ACACIA)
    run->result->early_evictions++;
  g_hash_table_insert (run->evicted, g_memdup2 (&key, sizeof key), g_memdup2 (&now, sizeof now));
}

static void
note_command (Run *run, const CoreCommand *command)
{
  RunJob *job = find_job (run, command->task.job);

  if (command->type == CORE_DO_START)
    run->result->starts++;
  if (command->type == CORE_DO_START && job->started_us == 0)
    job->started_us = run->now_us;
  if (command->type == CORE_DO_UNPLACEABLE && job->reported_us == 0)
    job->reported_us = run->now_us;
  if (command->type == CORE_DO_GIVE_UP)
    job->is_given_up = TRUE;
  if (command->type == CORE_DO_QUARANTINE && run->result->bad_starts == 0)
    run->result->bad_starts = fake_measures (run->fake)->failing_worker_starts;
  if (command->type == CORE_DO_QUARANTINE
      && (run->bench->failing_worker == 0 || !g_str_has_suffix (command->worker, "04")))
    run->result->wrongly_quarantined++;
  if (command->type == CORE_DO_CHECKPOINT)
    note_eviction (run, command);
}

static void
note_inputs (Run *run)
{
  for (guint i = 0; i < run->inputs->len; i++)
    {
      const CoreInput *input = &g_array_index (run->inputs, CoreInput, i);
      if (input->type != CORE_IN_TASK || input->task.event != CORE_TASK_DONE)
        continue;
      RunJob *job = find_job (run, input->task.task.job);
      if (++job->n_done == job->n_tasks)
        job->done_us = run->now_us;
    }
}

static void
check_reservations (Run *run)
{
  const BenchDeployment *site = run->site;

  for (uint32_t i = 0; i < FAKE_WORKERS; i++)
    {
      char id[16];
      DocSize reserved;
      (void) g_snprintf (id, sizeof id, "runner-%02u", i);
      if (!core_reserved (run->core, id, &reserved))
        continue;
      if (reserved.cpu_milli > site->cpu_milli || reserved.memory_mb > site->memory_mb)
        run->result->overcommits++;
    }
}

static void
tick (Run *run)
{
  g_array_set_size (run->commands, 0);
  double before_s = cpu_seconds ();
  core_tick (run->core, run->now_us, (const CoreInput *) (void *) run->inputs->data,
             run->inputs->len, run->commands);
  run->core_s += cpu_seconds () - before_s;
  run->n_commands += run->commands->len;
  for (guint i = 0; i < run->commands->len; i++)
    note_command (run, &g_array_index (run->commands, CoreCommand, i));
  fake_execute (run->fake, run->commands);
  g_array_set_size (run->inputs, 0);
}

static void
summarise_jobs (Run *run)
{
  RunResult *result = run->result;
  double met = 0;
  double with_deadline = 0;

  for (guint i = 0; i < run->jobs->len; i++)
    {
      const RunJob *job = &g_array_index (run->jobs, RunJob, i);
      int64_t waited_us = (job->started_us > 0 ? job->started_us : run->now_us) - job->at_us;
      with_deadline += job->deadline_us > 0;
      met += job->deadline_us > 0 && job->done_us > 0 && job->done_us <= job->deadline_us;
      if (job->id / FAKE_KIND_STEP == FAKE_URGENT)
        result->urgent_ms = MAX (result->urgent_ms, (double) waited_us / 1000.0);
      if (job->id / FAKE_KIND_STEP == FAKE_BAD)
        result->given_up += job->is_given_up;
      if (job->id / FAKE_KIND_STEP == RUN_HUGE_KIND && job->reported_us == 0)
        result->reported_ms = -1;
      else if (job->id / FAKE_KIND_STEP == RUN_HUGE_KIND && result->reported_ms >= 0)
        result->reported_ms
            = MAX (result->reported_ms, (double) (job->reported_us - job->at_us) / 1000.0);
    }
  result->deadlines = with_deadline > 0 ? met / with_deadline : 1;
}

static void
fill_result (Run *run)
{
  const FakeMeasures *measures = fake_measures (run->fake);
  RunResult *result = run->result;

  result->p99_ratio
      = fake_quantile_us (&measures->tails, 0.99) / fake_quantile_us (&measures->alone, 0.99);
  result->p999_ratio
      = fake_quantile_us (&measures->tails, 0.999) / fake_quantile_us (&measures->alone, 0.999);
  result->work_s = measures->work_s;
  result->evictions = measures->evictions;
  result->lost_s = measures->evict_lost_s + measures->lost_s;
  if (result->bad_starts == 0)
    result->bad_starts = measures->failing_worker_starts;
  result->double_starts = measures->double_starts;
  result->decisions_per_s = run->core_s > 0 ? run->n_commands / run->core_s : 0;
  summarise_jobs (run);
}

static void
run_end (Run *run)
{
  core_free (run->core);
  fake_free (run->fake);
  doc_free (run->document);
  g_array_free (run->inputs, TRUE);
  g_array_free (run->commands, TRUE);
  g_array_free (run->jobs, TRUE);
  g_hash_table_destroy (run->evicted);
}

void
run_case (const BenchCase *bench,
          const BenchDeployment *site,
          const RunPolicy *policy,
          uint32_t seed,
          RunResult *result)
{
  g_autofree char *text = fake_document (bench, site, policy->has_services);
  Run run = { .bench = bench, .site = site, .policy = policy, .result = result };
  GError *error = NULL;

  memset (result, 0, sizeof *result);
  run.document = doc_parse (text, strlen (text), bench->name, &error);
  if (run.document == NULL)
    g_error ("%s", error->message);
  run.fake = fake_new (bench, site, seed);
  run.core = core_new (&policy->options);
  core_set_document (run.core, run.document);
  run.inputs = g_array_new (FALSE, TRUE, sizeof (CoreInput));
  run.commands = g_array_new (FALSE, TRUE, sizeof (CoreCommand));
  run.jobs = g_array_new (FALSE, TRUE, sizeof (RunJob));
  run.evicted = g_hash_table_new_full (g_int64_hash, g_int64_equal, g_free, g_free);
  run_begin (&run);
  for (int64_t ms = 0; ms < RUN_SECONDS * CLK_MS_PER_S; ms += FAKE_STEP_MS)
    {
      run.now_us = ms * CLK_US_PER_MS;
      if (ms % CLK_MS_PER_S == 0)
        run_events (&run, ms / CLK_MS_PER_S);
      fake_step (run.fake, run.now_us, run.inputs);
      note_inputs (&run);
      tick (&run);
      check_reservations (&run);
    }
  fill_result (&run);
  run_end (&run);
}
