#include "support/fleet.h"

#include <math.h>
#include <string.h>
#include <time.h>

#include "batch/message.h"
#include "batch/sched.h"

#define STEP_MS 10
#define TICK_MS 100
#define REPORT_MS 400
#define FLUSH_MS 20
#define MEASUREMENT_MS 500
#define SAMPLE_MS 2000
/** Time that is emulated after the last arrival. */
#define DRAIN_MS 30000
/** Serving jobs are submitted this long before other jobs. */
#define LEAD_MS 6000
#define START_MS 20
#define THROTTLE_MS 100
#define LATE_VALUE 0.15
/** Value of a job to its caller: a fixed part, and one in proportion to its work, up to a maximum.
 */
#define VALUE_PER_JOB 0.3
#define VALUE_WORK 0.7
#define VALUE_MAX 4.0
#define LATE_FACTOR 3
#define OVER_TARGET_FACTOR 4.0
#define HEADROOM_FLOOR 0.07
/** Impact of a light image. */
#define LIGHT_IMPACT 0.5
/** Variance of impacts that are known from the start. */
#define KNOWN_VARIANCE 0.01
#define MEASUREMENT_ERROR 0.03
#define TASK_NAME_MAX 40
#define SERVICE "service"
/** Target latency of serving tasks. */
#define TARGET_MS 100

typedef struct
{
  char name[TASK_NAME_MAX];
  int64_t run;
  uint32_t kind;
  uint32_t image;
  double cpu_m;
  double left_ms; /**< remaining time on idle processors */
  double all_ms;
  uint32_t cpu_limit;
  uint32_t next_cpu_limit;
  int64_t cpu_limit_at_ms;
  int64_t begin_ms; /**< when it starts to run */
  gboolean will_fail;
  gboolean saves;
  double phase;         /**< phase of a serving task's load */
  gboolean is_light;    /**< a best-effort task is in its light phase */
  int64_t phase_end_ms; /**< when the phase or burst ends */
  double spike;         /**< current additional load of the replica */
  double use_sum;       /**< sum of a best-effort task's CPU use over the window */
  double use;           /**< CPU use in the newest measurement */
  double headroom;
  double sum;
  uint32_t n_samples;
  int64_t measured_ms;
  int64_t reported_percent;
  gboolean is_changed;
  gboolean is_over_target;
} Task;

typedef struct
{
  int64_t number;
  char name[TASK_NAME_MAX];
  int64_t run;
  WorkerEndHow how;
  char saved[24]; /**< work in ms that the checkpoint contains; "" for none */
} End;

typedef struct
{
  char name[16];
  char rack[16];
  double cpu_m;
  double mem_mb;
  GArray *tasks; /**< Task */
  GArray *ends;  /**< End, not reported yet */
  int64_t next_end;
  int64_t report_ms; /**< when the next report is due */
  uint64_t version;
  uint64_t done_number;
  gboolean is_urgent;
} Worker;

typedef struct
{
  uint32_t first; /**< index of its first task in the job's durations */
  double cpu_m;
} Step;

typedef struct
{
  char id[JOB_ID_CHARS + 1];
  uint32_t kind;
  uint32_t image;
  int64_t arrival_ms;
  int64_t objective_ms;
  uint32_t n_left;
  int64_t end_ms;    /**< 0: not yet */
  GArray *durations; /**< double, by step, then by index */
  GArray *steps;     /**< Step */
  uint32_t n_wanted; /**< number of tasks */
  double phase;      /**< phase of a serving job's load */
  double sampled;
} Job;

typedef struct
{
  const FleetOptions *options;
  FleetResult *result;
  GRand *rand;  /**< draws the submitted jobs and the workers */
  GRand *noise; /**< draws effects of decisions, so that these do not change the load */
  Sched *sched;
  QueueConfig *config;
  Worker *workers;
  GHashTable *jobs; /**< id -> Job */
  GPtrArray *list;  /**< Job, owned */
  double *impacts;  /**< by serving and best-effort image */
  int64_t now_ms;
  uint32_t n_made;
} Fleet;

static double
draw_normal (GRand *rand)
{
  double u = g_rand_double_range (rand, 1e-9, 1.0);

  return sqrt (-2.0 * log (u)) * cos (2.0 * G_PI * g_rand_double (rand));
}

/* Lognormal with the given mean; @p most is an upper bound, 0 for none. */
static double
draw_around (GRand *rand, double mean, double spread, double most)
{
  double value = mean * exp (spread * draw_normal (rand) - spread * spread / 2.0);

  return most > 0 ? MIN (value, most) : value;
}

static uint32_t
draw_count (GRand *rand, double mean, double spread, double most)
{
  double value = draw_around (rand, mean, spread, most) + 0.5;

  return value < 1.0 ? 1 : (uint32_t) value;
}

static void
add_queue (Fleet *fleet, const FleetKind *kind)
{
  Queue *queue = queue_new ();

  queue->name = g_strdup (kind->name);
  queue->host = g_strdup ("host.example");
  queue->prefix = g_strdup_printf ("/%s/", kind->name);
  queue->service = g_strdup (SERVICE);
  queue->priority = kind->priority;
  queue->attempts_max = kind->attempts_max;
  queue->stretch = kind->stretch;
  queue->target_ms = kind->target_ms;
  queue_config_add (fleet->config, queue);
}

static void
add_workers (Fleet *fleet)
{
  const FleetOptions *options = fleet->options;

  fleet->workers = g_new0 (Worker, options->n_workers);
  for (uint32_t i = 0; i < options->n_workers; i++)
    {
      Worker *worker = &fleet->workers[i];
      double size = i % 3 == 2 ? 1.5 : 1.0;
      (void) g_snprintf (worker->name, sizeof worker->name, "w%u", i);
      (void) g_snprintf (worker->rack, sizeof worker->rack, "r%u", i / options->per_rack);
      worker->cpu_m = options->cpu_m * size;
      worker->mem_mb = options->mem_mb * size;
      worker->tasks = g_array_new (FALSE, TRUE, sizeof (Task));
      worker->ends = g_array_new (FALSE, TRUE, sizeof (End));
      worker->report_ms = g_rand_int_range (fleet->rand, 0, REPORT_MS);
      (void) sched_add_agent (fleet->sched, worker->name);
    }
}

static void
add_impacts (Fleet *fleet)
{
  uint32_t n_serving = fleet->options->kinds[FLEET_SERVING].n_images;
  uint32_t n_best_effort = fleet->options->kinds[FLEET_HEAVY].n_images;

  fleet->impacts = g_new0 (double, n_serving *n_best_effort);
  for (uint32_t i = 0; i < n_serving * n_best_effort; i++)
    fleet->impacts[i]
        = fleet->options->impact * exp (fleet->options->impact_spread * draw_normal (fleet->rand));
  for (uint32_t i = 0; i < n_best_effort * fleet->options->light_share; i++)
    {
      for (uint32_t k = 0; k < n_serving; k++)
        fleet->impacts[k * n_best_effort + i] = LIGHT_IMPACT;
    }
}

static void
job_free (gpointer data)
{
  Job *job = data;

  g_array_unref (job->durations);
  g_array_unref (job->steps);
  g_free (job);
}

static void
add_step (Fleet *fleet, Job *job, JobSpec *spec, uint32_t index)
{
  const FleetKind *kind = &fleet->options->kinds[job->kind];
  JobStep *step = job_spec_add_step (spec);
  Step row = { .first = job->durations->len };
  double work_ms = draw_around (fleet->rand, kind->work_ms, kind->work_spread, kind->work_max_ms);

  step->n_tasks = draw_count (fleet->rand, kind->width, kind->width_spread, kind->width_max);
  step->size.cpu_m = (int64_t) draw_around (fleet->rand, kind->cpu_m, kind->cpu_spread, 0);
  step->size.mem_mb = (int64_t) kind->mem_mb;
  row.cpu_m = (double) step->size.cpu_m;
  g_array_append_val (job->steps, row);
  step->estimate_ms = (int64_t) draw_around (fleet->rand, work_ms, 0.2, 0);
  step->image = g_strdup_printf ("%s-%u", kind->name, job->image);
  step->is_best_effort = kind->is_best_effort;
  step->has_checkpoints = kind->has_checkpoints;
  step->is_continuous = kind->is_continuous;
  step->tail_target_ms = kind->is_continuous ? TARGET_MS : 0;
  if (index > 0)
    {
      uint32_t before = index - 1;
      g_array_append_val (step->after, before);
    }
  for (uint32_t i = 0; i < step->n_tasks; i++)
    {
      double duration = draw_around (fleet->rand, work_ms, 0.15, 0);
      g_array_append_val (job->durations, duration);
    }
  job->n_left += step->n_tasks;
  job->n_wanted += step->n_tasks;
  job->objective_ms += (int64_t) (kind->stretch * work_ms);
}

static void
add_job (Fleet *fleet, uint32_t kind_index)
{
  const FleetKind *kind = &fleet->options->kinds[kind_index];
  Job *job = g_new0 (Job, 1);
  JobSpec *spec = job_spec_new ();
  uint32_t n_steps = draw_count (fleet->rand, kind->steps, 0.3, 5.0);

  (void) g_snprintf (job->id, sizeof job->id, "%016x", fleet->n_made++);
  job->kind = kind_index;
  job->image = (uint32_t) g_rand_int_range (fleet->rand, 0, (gint32) kind->n_images);
  job->phase = fleet->options->is_load_shared ? g_rand_double (fleet->rand) : 0;
  job->arrival_ms = fleet->now_ms;
  job->objective_ms = kind->target_ms;
  job->durations = g_array_new (FALSE, FALSE, sizeof (double));
  job->steps = g_array_new (FALSE, FALSE, sizeof (Step));
  spec->spec = g_strdup ("s");
  for (uint32_t i = 0; i < n_steps; i++)
    add_step (fleet, job, spec, i);
  g_ptr_array_add (fleet->list, job);
  g_hash_table_insert (fleet->jobs, job->id, job);
  const SchedNewJob wanted
      = { .id = job->id, .queue = kind->name, .accepted_wall_ms = fleet->now_ms, .spec = spec };
  sched_add_job (fleet->sched, &wanted);
}

static void
submit_jobs (Fleet *fleet)
{
  const FleetOptions *options = fleet->options;

  for (uint32_t i = 0; i < FLEET_KINDS; i++)
    {
      const FleetKind *kind = &options->kinds[i];
      double per_step = kind->per_s * STEP_MS / 1000.0;
      gboolean is_burst = fleet->now_ms >= options->burst_at_ms
                          && fleet->now_ms < options->burst_at_ms + options->burst_ms;
      if (i == FLEET_HEAVY && is_burst)
        per_step *= options->burst_factor;
      if (fleet->now_ms < LEAD_MS || fleet->now_ms >= LEAD_MS + options->length_ms)
        continue;
      uint32_t n_arrivals = (uint32_t) per_step;
      n_arrivals += g_rand_double (fleet->rand) < per_step - n_arrivals;
      for (uint32_t k = 0; k < n_arrivals; k++)
        add_job (fleet, i);
    }
}

static Job *
job_of (const Fleet *fleet, const char *task)
{
  g_autofree char *id = g_strndup (task, JOB_ID_CHARS);

  return g_hash_table_lookup (fleet->jobs, id);
}

static void
add_end (Worker *worker, guint index, WorkerEndHow how)
{
  const Task *task = &g_array_index (worker->tasks, Task, index);
  End end = { .number = ++worker->next_end, .run = task->run, .how = how };

  (void) g_strlcpy (end.name, task->name, sizeof end.name);
  if (how == WORKER_END_STOPPED && task->saves)
    (void) g_snprintf (end.saved, sizeof end.saved, "%.0f", task->all_ms - task->left_ms);
  g_array_append_val (worker->ends, end);
  g_array_remove_index_fast (worker->tasks, index);
  worker->is_urgent = TRUE;
}

static void
end_task (Fleet *fleet, Worker *worker, guint index)
{
  const Task *task = &g_array_index (worker->tasks, Task, index);
  Job *job = job_of (fleet, task->name);

  if (task->will_fail)
    {
      fleet->result->wasted_core_s += task->cpu_m * task->all_ms / 1e6;
      add_end (worker, index, WORKER_END_FAILED);
      return;
    }
  add_end (worker, index, WORKER_END_DONE);
  if (--job->n_left == 0)
    job->end_ms = fleet->now_ms;
}

static double
serving_load (const Fleet *fleet, const Task *task)
{
  const FleetOptions *options = fleet->options;
  double angle = 2.0 * G_PI * ((double) fleet->now_ms / 1000.0 / options->swing_s + task->phase);

  return options->load * (1.0 + options->swing * sin (angle)) + task->spike;
}

/* Changes the phase of a best-effort task, or begins and ends a burst of a replica. */
static void
change_phase (Fleet *fleet, Task *task)
{
  const FleetOptions *options = fleet->options;

  if (fleet->now_ms < task->phase_end_ms)
    return;
  if (task->kind == FLEET_HEAVY && options->phase_s > 0)
    {
      task->is_light = g_rand_boolean (fleet->noise);
      task->phase_end_ms = fleet->now_ms + (int64_t) (options->phase_s * 1000.0);
    }
  else if (task->kind == FLEET_SERVING && options->spike_share > 0)
    {
      gboolean is_spike = g_rand_double (fleet->noise) < options->spike_share;
      task->spike = is_spike ? options->spike_load : 0;
      task->phase_end_ms = fleet->now_ms + (int64_t) (options->spike_s * 1000.0);
    }
}

static double
interference_on (const Fleet *fleet, const Worker *worker, const Task *serving)
{
  uint32_t n_best_effort = fleet->options->kinds[FLEET_HEAVY].n_images;
  double sum = 0;

  for (guint i = 0; i < worker->tasks->len; i++)
    {
      const Task *task = &g_array_index (worker->tasks, Task, i);
      if (task->kind == FLEET_HEAVY && task->begin_ms <= fleet->now_ms)
        sum += fleet->impacts[serving->image * n_best_effort + task->image] * task->cpu_m
               / worker->cpu_m * task->cpu_limit / 100.0
               * (task->is_light ? fleet->options->phase_impact : 1.0);
    }
  return sum;
}

static void
measure (Fleet *fleet, Worker *worker, Task *task)
{
  double alone = fleet->options->target_headroom * (1.0 - serving_load (fleet, task));
  double headroom = MAX (alone - interference_on (fleet, worker, task), HEADROOM_FLOOR);

  task->is_over_target = headroom < 1.0 && alone >= 1.0;
  if (task->is_over_target)
    fleet->result->interference_s += STEP_MS / 1000.0;
  task->sum += 1.0 / headroom;
  task->n_samples++;
  if (fleet->now_ms % MEASUREMENT_MS != 0)
    return;
  task->headroom
      = task->n_samples / task->sum * (1.0 + MEASUREMENT_ERROR * draw_normal (fleet->noise));
  task->sum = 0;
  task->n_samples = 0;
  task->is_changed = TRUE;
}

static void
measure_use (const Fleet *fleet, Task *task)
{
  task->use_sum += task->cpu_limit / 100.0 * (task->is_light ? fleet->options->phase_use : 1.0);
  task->n_samples++;
  if (fleet->now_ms % MEASUREMENT_MS != 0)
    return;
  task->use = task->use_sum / task->n_samples;
  task->use_sum = 0;
  task->n_samples = 0;
}

/* Speed of best-effort tasks, which share the processors that others leave. */
static double
best_effort_speed (const Fleet *fleet, const Worker *worker)
{
  double left_m = worker->cpu_m;
  double wanted_m = 0;

  for (guint i = 0; i < worker->tasks->len; i++)
    {
      const Task *task = &g_array_index (worker->tasks, Task, i);
      if (task->kind == FLEET_HEAVY)
        wanted_m += task->cpu_m * task->cpu_limit / 100.0;
      else if (task->kind == FLEET_SERVING)
        left_m -= task->cpu_m * serving_load (fleet, task);
      else
        left_m -= task->cpu_m;
    }
  return wanted_m <= left_m ? 1.0 : MAX (left_m, 0.0) / wanted_m;
}

static void
advance_task (Fleet *fleet, Worker *worker, guint index, double speed)
{
  Task *task = &g_array_index (worker->tasks, Task, index);

  if (fleet->now_ms < task->begin_ms)
    return;
  if (task->next_cpu_limit != task->cpu_limit && fleet->now_ms >= task->cpu_limit_at_ms)
    task->cpu_limit = task->next_cpu_limit;
  change_phase (fleet, task);
  if (task->kind == FLEET_HEAVY && fleet->options->phase_s > 0)
    measure_use (fleet, task);
  if (task->kind == FLEET_SERVING && task->left_ms <= 0)
    {
      measure (fleet, worker, task);
      return;
    }
  task->left_ms -= STEP_MS * (task->kind == FLEET_HEAVY ? speed * task->cpu_limit / 100.0 : 1.0);
  int64_t percent = (int64_t) (100.0 * (1.0 - MAX (task->left_ms, 0.0) / task->all_ms));
  if (percent - task->reported_percent >= 5)
    {
      task->reported_percent = percent;
      task->is_changed = TRUE;
    }
  if (task->left_ms <= 0 && task->kind != FLEET_SERVING)
    end_task (fleet, worker, index);
}

static void
advance (Fleet *fleet, Worker *worker)
{
  double speed = best_effort_speed (fleet, worker);

  for (guint i = worker->tasks->len; i-- > 0;)
    advance_task (fleet, worker, i, speed);
}

static int64_t
percent_of (const Task *task)
{
  return (int64_t) (100.0 * (1.0 - MAX (task->left_ms, 0.0) / task->all_ms));
}

static Batch__Worker *
make_info (const Worker *worker)
{
  Batch__Worker *info = message_alloc (sizeof *info);

  batch__worker__init (info);
  info->id = message_strdup (worker->name);
  info->service = message_strdup (SERVICE);
  info->data_centre = message_strdup ("");
  info->instance = message_strdup ("");
  info->labels = message_alloc (sizeof *info->labels);
  info->labels[info->n_labels++] = message_strdup (worker->rack);
  info->cpu_m = (int64_t) worker->cpu_m;
  info->mem_mb = (int64_t) worker->mem_mb;
  return info;
}

static void
add_running (Batch__Report *report, Worker *worker)
{
  report->running = message_alloc (worker->tasks->len * sizeof *report->running);
  for (guint i = 0; i < worker->tasks->len; i++)
    {
      Task *task = &g_array_index (worker->tasks, Task, i);
      if (!task->is_changed)
        continue;
      task->is_changed = FALSE;
      Batch__Running *row = message_alloc (sizeof *row);
      batch__running__init (row);
      row->task = message_strdup (task->name);
      row->run = task->run;
      row->saved = message_strdup ("");
      row->percent = (int32_t) percent_of (task);
      row->figure
          = (int64_t) (task->headroom > 0 ? TARGET_MS / task->headroom : task->use * task->cpu_m);
      report->running[report->n_running++] = row;
    }
}

static void
add_ends (Batch__Report *report, Worker *worker)
{
  report->ended = message_alloc (worker->ends->len * sizeof *report->ended);
  report->gone = message_alloc (worker->ends->len * sizeof *report->gone);
  for (guint i = 0; i < worker->ends->len; i++)
    {
      const End *end = &g_array_index (worker->ends, End, i);
      Batch__Ended *row = message_alloc (sizeof *row);
      Batch__Gone *gone = message_alloc (sizeof *gone);
      batch__ended__init (row);
      row->number = end->number;
      row->task = message_strdup (end->name);
      row->run = end->run;
      row->how = (uint32_t) end->how;
      row->saved = message_strdup (end->saved);
      report->ended[report->n_ended++] = row;
      batch__gone__init (gone);
      gone->task = message_strdup (end->name);
      gone->run = end->run;
      report->gone[report->n_gone++] = gone;
    }
  g_array_set_size (worker->ends, 0);
}

/* Each report is applied immediately, so the next one contains the changes since. */
static void
send_report (Fleet *fleet, Worker *worker)
{
  Batch__Report *report = message_alloc (sizeof *report);

  batch__report__init (report);
  report->boot = 1;
  report->life = 1;
  report->clock_us = fleet->now_ms * 1000;
  report->looked_us = fleet->now_ms / MEASUREMENT_MS * MEASUREMENT_MS * 1000;
  report->done_number = worker->done_number;
  report->since = worker->version;
  report->version = ++worker->version;
  if (report->since == 0)
    report->worker = make_info (worker);
  add_running (report, worker);
  add_ends (report, worker);
  sched_apply_report (fleet->sched, worker->name, report, fleet->now_ms * 1000);
  batch__report__free_unpacked (report, NULL);
  worker->report_ms = fleet->now_ms + REPORT_MS;
  worker->is_urgent = FALSE;
}

static void
begin_task (Fleet *fleet, Worker *worker, const Batch__Start *start)
{
  Job *job = job_of (fleet, start->task);
  const FleetKind *kind = &fleet->options->kinds[job->kind];
  JobTaskName name;
  Task task = { .run = start->run, .cpu_limit = 100, .next_cpu_limit = 100, .is_changed = TRUE };

  (void) job_task_name_parse (start->task, &name);
  (void) g_strlcpy (task.name, start->task, sizeof task.name);
  task.kind = job->kind;
  task.image = job->image;
  const Step *step = &g_array_index (job->steps, Step, name.step);
  task.cpu_m = step->cpu_m;
  task.all_ms = g_array_index (job->durations, double, step->first + name.index);
  task.left_ms = task.all_ms - g_ascii_strtod (start->saved, NULL);
  task.begin_ms = fleet->now_ms + START_MS;
  task.saves = kind->has_checkpoints;
  task.will_fail = g_rand_double (fleet->noise) < kind->fail_share;
  task.phase = fleet->options->is_load_shared ? job->phase
                                              : (double) job->image / (double) kind->n_images
                                                    + g_rand_double_range (fleet->noise, 0.0, 0.2);
  g_array_append_val (worker->tasks, task);
  fleet->result->n_starts++;
}

static guint
find_task (const Worker *worker, const char *name, int64_t run)
{
  for (guint i = 0; i < worker->tasks->len; i++)
    {
      const Task *task = &g_array_index (worker->tasks, Task, i);
      if (task->run == run && strcmp (task->name, name) == 0)
        return i;
    }
  return G_MAXUINT;
}

static void
stop_task (Fleet *fleet, Worker *worker, const Batch__Stop *stop)
{
  guint index = find_task (worker, stop->task, stop->run);

  if (index == G_MAXUINT)
    return;
  const Task *task = &g_array_index (worker->tasks, Task, index);
  fleet->result->n_stops++;
  if (!task->saves)
    fleet->result->wasted_core_s += task->cpu_m * (task->all_ms - task->left_ms) / 1e6;
  add_end (worker, index, WORKER_END_STOPPED);
}

static void
throttle_task (Fleet *fleet, Worker *worker, const Batch__Pace *pace)
{
  guint index = find_task (worker, pace->task, pace->run);

  if (index == G_MAXUINT)
    return;
  Task *task = &g_array_index (worker->tasks, Task, index);
  task->next_cpu_limit = pace->percent;
  task->cpu_limit_at_ms = fleet->now_ms + THROTTLE_MS;
  fleet->result->n_throttles++;
}

static void
execute_orders (Fleet *fleet, Worker *worker)
{
  Batch__Orders orders = BATCH__ORDERS__INIT;

  if (!sched_orders (fleet->sched, worker->name, &orders))
    return;
  for (size_t i = 0; i < orders.n_orders; i++)
    {
      const Batch__Order *order = orders.orders[i];
      if (order->number <= worker->done_number)
        continue;
      worker->done_number = order->number;
      if (order->what_case == BATCH__ORDER__WHAT_START)
        begin_task (fleet, worker, order->start);
      else if (order->what_case == BATCH__ORDER__WHAT_STOP)
        stop_task (fleet, worker, order->stop);
      else
        throttle_task (fleet, worker, order->pace);
    }
}

static int64_t
thread_time_us (void)
{
  struct timespec time = { 0 };

  (void) clock_gettime (CLOCK_THREAD_CPUTIME_ID, &time);
  return time.tv_sec * 1000000 + time.tv_nsec / 1000;
}

static void
decide (Fleet *fleet)
{
  int64_t started_us = thread_time_us ();

  sched_tick (fleet->sched, fleet->now_ms * 1000, fleet->now_ms);
  int64_t took_us = thread_time_us () - started_us;
  fleet->result->decide_us += took_us;
  fleet->result->tick_worst_us = MAX (fleet->result->tick_worst_us, took_us);
  fleet->result->n_ticks++;
  for (uint32_t i = 0; i < fleet->options->n_workers; i++)
    execute_orders (fleet, &fleet->workers[i]);
}

static void
flush (Fleet *fleet)
{
  int64_t started_us = thread_time_us ();
  SchedFlush *changes = sched_flush_begin (fleet->sched);

  if (changes != NULL)
    sched_flush_end (fleet->sched, changes, TRUE);
  fleet->result->decide_us += thread_time_us () - started_us;
}

static gboolean
apply_reports (Fleet *fleet)
{
  gboolean is_any = FALSE;
  int64_t started_us = thread_time_us ();

  for (uint32_t i = 0; i < fleet->options->n_workers; i++)
    {
      Worker *worker = &fleet->workers[i];
      if (!worker->is_urgent && fleet->now_ms < worker->report_ms)
        continue;
      send_report (fleet, worker);
      is_any = TRUE;
    }
  fleet->result->decide_us += thread_time_us () - started_us;
  return is_any;
}

/* Samples the value of each serving job for the last two seconds. */
static void
sample_serving (Fleet *fleet)
{
  for (guint i = 0; i < fleet->list->len; i++)
    ((Job *) g_ptr_array_index (fleet->list, i))->sampled = 0;
  for (uint32_t i = 0; i < fleet->options->n_workers; i++)
    {
      const Worker *worker = &fleet->workers[i];
      for (guint k = 0; k < worker->tasks->len; k++)
        {
          const Task *task = &g_array_index (worker->tasks, Task, k);
          if (task->kind == FLEET_SERVING && task->left_ms <= 0)
            job_of (fleet, task->name)->sampled
                += task->is_over_target ? 1.0 - OVER_TARGET_FACTOR : 1.0;
        }
    }
  for (guint i = 0; i < fleet->list->len; i++)
    {
      const Job *job = g_ptr_array_index (fleet->list, i);
      FleetKindResult *kind = &fleet->result->kinds[FLEET_SERVING];
      if (job->kind != FLEET_SERVING || fleet->now_ms - job->arrival_ms < SAMPLE_MS)
        continue;
      double share = CLAMP (job->sampled / job->n_wanted, 0.0, 1.0);
      kind->n_jobs++;
      kind->n_in_time += share > 0.99;
      kind->n_late += share <= 0.99 && share > 0.0;
      fleet->result->serving_value += share;
    }
}

/* Core milliseconds of a job on idle processors. */
static double
work_of (const Job *job)
{
  double work = 0;

  for (guint i = 0; i < job->steps->len; i++)
    {
      const Step *step = &g_array_index (job->steps, Step, i);
      guint end = i + 1 < job->steps->len ? g_array_index (job->steps, Step, i + 1).first
                                          : job->durations->len;
      for (guint k = step->first; k < end; k++)
        work += step->cpu_m * g_array_index (job->durations, double, k) / 1000.0;
    }
  return work;
}

static double
value_of (const Job *job, double mean_work)
{
  return MIN (VALUE_PER_JOB + VALUE_WORK * work_of (job) / mean_work, VALUE_MAX);
}

static void
set_mean_work (const Fleet *fleet, double mean_work[FLEET_KINDS])
{
  uint32_t counts[FLEET_KINDS] = { 0 };

  for (guint i = 0; i < fleet->list->len; i++)
    {
      const Job *job = g_ptr_array_index (fleet->list, i);
      mean_work[job->kind] += work_of (job);
      counts[job->kind]++;
    }
  for (guint i = 0; i < FLEET_KINDS; i++)
    mean_work[i] /= MAX (counts[i], 1);
}

static gint
compare_work (gconstpointer a, gconstpointer b)
{
  double left = work_of (*(const Job *const *) a);
  double right = work_of (*(const Job *const *) b);

  return left > right ? -1 : left < right;
}

static gboolean
is_served (const Job *job)
{
  return job->end_ms != 0 && job->end_ms - job->arrival_ms <= job->objective_ms * LATE_FACTOR;
}

static FleetSize
size_at (guint index, guint n_jobs)
{
  if (index * 10 < n_jobs)
    return FLEET_SIZE_LARGEST;
  return index * 10 < n_jobs * 3 ? FLEET_SIZE_LARGE : FLEET_SIZE_REST;
}

static void
count_sizes (const Fleet *fleet, uint32_t kind_index)
{
  g_autoptr (GPtrArray) jobs = g_ptr_array_new ();

  for (guint i = 0; i < fleet->list->len; i++)
    {
      Job *job = g_ptr_array_index (fleet->list, i);
      if (job->kind == kind_index)
        g_ptr_array_add (jobs, job);
    }
  g_ptr_array_sort (jobs, compare_work);
  for (guint i = 0; i < jobs->len; i++)
    {
      FleetSizeResult *row = &fleet->result->kinds[kind_index].sizes[size_at (i, jobs->len)];
      row->n_jobs++;
      row->n_served += is_served (g_ptr_array_index (jobs, i));
    }
}

static void
count_jobs (Fleet *fleet)
{
  double mean_work[FLEET_KINDS] = { 0 };

  set_mean_work (fleet, mean_work);
  for (guint i = 0; i < fleet->list->len; i++)
    {
      const Job *job = g_ptr_array_index (fleet->list, i);
      FleetKindResult *kind = &fleet->result->kinds[job->kind];
      if (job->kind == FLEET_SERVING)
        continue;
      double value = value_of (job, mean_work[job->kind]);
      kind->n_jobs++;
      kind->value_owed += value;
      if (job->end_ms == 0)
        continue;
      int64_t took_ms = job->end_ms - job->arrival_ms;
      if (took_ms <= job->objective_ms)
        {
          kind->n_in_time++;
          kind->value_earned += value;
        }
      else if (is_served (job))
        {
          kind->n_late++;
          kind->value_earned += LATE_VALUE * value;
        }
    }
  count_sizes (fleet, FLEET_SHORT);
  count_sizes (fleet, FLEET_HEAVY);
  if (fleet->result->kinds[FLEET_SERVING].n_jobs > 0)
    fleet->result->serving_value /= fleet->result->kinds[FLEET_SERVING].n_jobs;
}

static char *
image_name (const Fleet *fleet, FleetKindIndex kind, uint32_t image)
{
  g_autofree char *name = g_strdup_printf ("%s-%u", fleet->options->kinds[kind].name, image);

  return message_strdup (name);
}

/* Passes the true impacts to the scheduler, as a previous owner would. */
static void
restore_impacts (const Fleet *fleet)
{
  uint32_t n_serving = fleet->options->kinds[FLEET_SERVING].n_images;
  uint32_t n_best_effort = fleet->options->kinds[FLEET_HEAVY].n_images;
  Batch__Learned *learned = message_alloc (sizeof *learned);

  batch__learned__init (learned);
  learned->images = message_alloc ((n_serving + n_best_effort) * sizeof *learned->images);
  for (uint32_t i = 0; i < n_serving; i++)
    learned->images[learned->n_images++] = image_name (fleet, FLEET_SERVING, i);
  for (uint32_t i = 0; i < n_best_effort; i++)
    learned->images[learned->n_images++] = image_name (fleet, FLEET_HEAVY, i);
  learned->pairs = message_alloc ((size_t) n_serving * n_best_effort * sizeof *learned->pairs);
  for (uint32_t i = 0; i < n_serving; i++)
    {
      for (uint32_t k = 0; k < n_best_effort; k++)
        {
          Batch__PairTake *row = message_alloc (sizeof *row);
          batch__pair_take__init (row);
          row->serving = i;
          row->filling = n_serving + k;
          row->take = (float) fleet->impacts[i * n_best_effort + k];
          row->variance = KNOWN_VARIANCE;
          learned->pairs[learned->n_pairs++] = row;
        }
    }
  sched_restore_learned (fleet->sched, learned);
  batch__learned__free_unpacked (learned, NULL);
}

static void
fleet_open (Fleet *fleet)
{
  const SchedOptions options = { .report_age_max_ms = 1300,
                                 .lease_expiry_ms = 5000,
                                 .gang_timeout_ms = 3000,
                                 .reserves_gaps = fleet->options->reserves_gaps };

  fleet->rand = g_rand_new_with_seed (fleet->options->seed);
  fleet->noise = g_rand_new_with_seed (g_rand_int (fleet->rand));
  fleet->sched = sched_new (&options);
  fleet->config = queue_config_new (1);
  (void) queue_config_add_service (fleet->config, SERVICE);
  for (uint32_t i = 0; i < FLEET_KINDS; i++)
    add_queue (fleet, &fleet->options->kinds[i]);
  sched_set_config (fleet->sched, fleet->config);
  sched_begin_term (fleet->sched, 1, 1);
  fleet->jobs = g_hash_table_new (g_str_hash, g_str_equal);
  fleet->list = g_ptr_array_new_with_free_func (job_free);
  add_impacts (fleet);
  if (fleet->options->are_impacts_known)
    restore_impacts (fleet);
  add_workers (fleet);
}

static void
fleet_close (Fleet *fleet)
{
  for (uint32_t i = 0; i < fleet->options->n_workers; i++)
    {
      g_array_unref (fleet->workers[i].tasks);
      g_array_unref (fleet->workers[i].ends);
    }
  g_free (fleet->workers);
  g_free (fleet->impacts);
  g_hash_table_destroy (fleet->jobs);
  g_ptr_array_unref (fleet->list);
  sched_free (fleet->sched);
  queue_config_free (fleet->config);
  g_rand_free (fleet->noise);
  g_rand_free (fleet->rand);
}

void
fleet_simulate (const FleetOptions *options, FleetResult *result)
{
  Fleet fleet = { .options = options, .result = result, .now_ms = REPORT_MS };
  int64_t end_ms = LEAD_MS + options->length_ms + DRAIN_MS;

  memset (result, 0, sizeof *result);
  fleet_open (&fleet);
  for (; fleet.now_ms < end_ms; fleet.now_ms += STEP_MS)
    {
      if (fleet.now_ms == REPORT_MS + REPORT_MS)
        {
          for (uint32_t i = 0; i < options->kinds[FLEET_SERVING].n_at_start; i++)
            add_job (&fleet, FLEET_SERVING);
        }
      submit_jobs (&fleet);
      for (uint32_t i = 0; i < options->n_workers; i++)
        advance (&fleet, &fleet.workers[i]);
      if (apply_reports (&fleet) || fleet.now_ms % TICK_MS == 0)
        decide (&fleet);
      if (fleet.now_ms % FLUSH_MS == 0)
        flush (&fleet);
      if (fleet.now_ms >= LEAD_MS && fleet.now_ms < LEAD_MS + options->length_ms
          && fleet.now_ms % SAMPLE_MS == 0)
        sample_serving (&fleet);
    }
  count_jobs (&fleet);
  fleet_close (&fleet);
}

double
fleet_size_ratio (const FleetKindResult *kind, FleetSize size)
{
  const FleetSizeResult *row = &kind->sizes[size];
  uint32_t n_served = kind->n_in_time + kind->n_late;

  if (n_served == 0 || row->n_jobs == 0)
    return 1.0;
  return (double) row->n_served / row->n_jobs / n_served * kind->n_jobs;
}

double
fleet_value (const FleetResult *result, const double weights[FLEET_KINDS])
{
  double worth = weights[FLEET_SERVING] * result->serving_value;
  double sum = weights[FLEET_SERVING];

  for (uint32_t i = 0; i < FLEET_SERVING; i++)
    {
      const FleetKindResult *kind = &result->kinds[i];
      sum += weights[i];
      if (kind->n_jobs > 0)
        worth += weights[i] * (kind->n_in_time + LATE_VALUE * kind->n_late) / kind->n_jobs;
    }
  return worth / sum;
}
