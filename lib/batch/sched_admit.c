/* Whether a worker admits a task, and what the task waits for if none does. */
#include <string.h>

#include "batch/sched_tables.h"

/** One in this many of a worker's processors is reserved for the most urgent queues. */
#define RESERVE_DIVISOR 16
/** Best-effort tasks may request this percentage of the remaining CPU: they rarely all run at once.
 */
#define BEST_EFFORT_PERCENT_MAX 130
/** Best-effort tasks start beside serving tasks only if these are predicted to keep this headroom.
 */
#define HEADROOM_MIN 1.1
/** Share of their reservation that serving tasks leave idle on average, in percent. */
#define SERVING_IDLE_PERCENT 50

static const char *const wait_names[SCHED_WAITS] = { "none",        "worker",      "memory",
                                                     "processors",  "over_target", "headroom",
                                                     "reservation", "orders" };

gboolean
sched_has_label (const WorkerInfo *info, const char *label)
{
  return g_strv_contains ((const char *const *) info->labels, label);
}

static uint32_t
count_of_stage (const SchedWorker *worker, const SchedStage *stage)
{
  uint32_t count = 0;

  for (guint i = 0; i < worker->tasks->len; i++)
    count += ((SchedTask *) g_ptr_array_index (worker->tasks, i))->stage == stage;
  return count;
}

static gboolean
may_run (const SchedWorker *worker, const SchedStage *stage)
{
  const JobStep *step = stage->step;

  return strcmp (worker->info->service, stage->job->queue->service) == 0
         && (step->label == NULL || sched_has_label (worker->info, step->label))
         && (step->per_worker_max == 0 || count_of_stage (worker, stage) < step->per_worker_max);
}

/* @p freed is what a best-effort task will have given back. */
static gboolean
has_memory (const SchedWorker *worker, const JobStep *step, JobSize freed)
{
  const JobSize *capacity = &worker->info->capacity;

  return step->size.mem_mb <= capacity->mem_mb - worker->used.mem_mb + freed.mem_mb
         && step->size.gpus <= capacity->gpus - worker->used.gpus + freed.gpus;
}

/* Best-effort tasks share what the others leave; with too many of them, all would be late. */
static int64_t
left_for_best_effort (const SchedWorker *worker)
{
  int64_t left_m = worker->info->capacity.cpu_m - worker->used.cpu_m
                   + worker->serving_cpu_m * SERVING_IDLE_PERCENT / 100;

  return left_m * BEST_EFFORT_PERCENT_MAX / 100;
}

static gboolean
has_best_effort_processors (const SchedWorker *worker, const JobStep *step, JobSize freed)
{
  return worker->best_effort_cpu_m + step->size.cpu_m - freed.cpu_m
         <= left_for_best_effort (worker);
}

static SchedWait
admit_best_effort (SchedWorker *worker, const SchedTask *task)
{
  double share = sched_tails_share (worker, task, SCHED_CPU_LIMIT_NONE);

  if (!has_best_effort_processors (worker, task->stage->step, (JobSize){ 0 }))
    return SCHED_WAIT_PROCESSORS;
  if (worker->is_over_target)
    return SCHED_WAIT_OVER_TARGET;
  return sched_tails_headroom_with (worker, task, share) >= HEADROOM_MIN ? SCHED_WAIT_NONE
                                                                         : SCHED_WAIT_HEADROOM;
}

static int64_t
left_for_reserved (const SchedWorker *worker, const SchedStage *stage)
{
  int64_t capacity_m = worker->info->capacity.cpu_m;
  int64_t cpu_m = capacity_m - worker->used.cpu_m;

  if (stage->job->queue->priority > 0 && !stage->step->is_continuous)
    cpu_m -= capacity_m / RESERVE_DIVISOR;
  return cpu_m;
}

static SchedWait
admit_reserved (const SchedWorker *worker, const SchedStage *stage)
{
  return stage->step->size.cpu_m <= left_for_reserved (worker, stage) ? SCHED_WAIT_NONE
                                                                      : SCHED_WAIT_PROCESSORS;
}

gboolean
sched_may_admit_later (SchedWorker *worker, const SchedTask *task)
{
  if (!may_run (worker, task->stage) || sched_is_guarded (worker, task))
    return FALSE;
  if (!task->stage->step->is_best_effort)
    return TRUE;
  double share = sched_tails_share (worker, task, SCHED_CPU_LIMIT_NONE);
  return worker->info->capacity.cpu_m > 0 && !worker->is_over_target
         && sched_tails_headroom_with (worker, task, share) >= HEADROOM_MIN;
}

JobSize
sched_free_for (const SchedWorker *worker, const SchedStage *stage)
{
  const JobSize *capacity = &worker->info->capacity;
  JobSize room = { .mem_mb = capacity->mem_mb - worker->used.mem_mb,
                   .gpus = capacity->gpus - worker->used.gpus };

  room.cpu_m = stage->step->is_best_effort
                   ? left_for_best_effort (worker) - worker->best_effort_cpu_m
                   : left_for_reserved (worker, stage);
  return room;
}

JobSize
sched_size_for (const JobStep *step, gboolean is_best_effort)
{
  JobSize size = step->size;

  if (!is_best_effort && step->is_best_effort)
    size.cpu_m = 0;
  else if (is_best_effort && !step->is_best_effort)
    size.cpu_m = size.cpu_m * BEST_EFFORT_PERCENT_MAX / 100;
  return size;
}

/* A task of a starved stage is admitted wherever it fits. */
static SchedWait
admit_starved (const SchedWorker *worker, const JobStep *step)
{
  if (step->is_best_effort)
    return worker->is_over_target ? SCHED_WAIT_OVER_TARGET : SCHED_WAIT_NONE;
  return step->size.cpu_m <= worker->info->capacity.cpu_m - worker->used.cpu_m
             ? SCHED_WAIT_NONE
             : SCHED_WAIT_PROCESSORS;
}

static SchedWait
admit_resources (SchedWorker *worker, const SchedTask *task, gboolean is_starved)
{
  const SchedStage *stage = task->stage;

  if (!has_memory (worker, stage->step, (JobSize){ 0 }))
    return SCHED_WAIT_MEMORY;
  if (stage->step->is_best_effort && worker->info->capacity.cpu_m <= 0)
    return SCHED_WAIT_PROCESSORS;
  if (is_starved)
    return admit_starved (worker, stage->step);
  return stage->step->is_best_effort ? admit_best_effort (worker, task)
                                     : admit_reserved (worker, stage);
}

SchedWait
sched_admit (SchedWorker *worker, const SchedTask *task, gboolean is_starved)
{
  if (!may_run (worker, task->stage) || sched_is_guarded (worker, task))
    return SCHED_WAIT_WORKER;
  SchedWait wait = admit_resources (worker, task, is_starved);
  /* Members of a gang wait for each other at their workers, not here. */
  if (wait == SCHED_WAIT_NONE && !task->stage->step->is_gang && !sched_has_room_for_orders (worker))
    return SCHED_WAIT_ORDERS;
  return wait;
}

static uint32_t
count_within (const JobSize *room, const JobSize *size, uint32_t n_most)
{
  int64_t n_fit = n_most;

  if (room->cpu_m < size->cpu_m || room->mem_mb < size->mem_mb || room->gpus < size->gpus)
    return 0;
  if (size->cpu_m > 0)
    n_fit = MIN (n_fit, room->cpu_m / size->cpu_m);
  if (size->mem_mb > 0)
    n_fit = MIN (n_fit, room->mem_mb / size->mem_mb);
  if (size->gpus > 0)
    n_fit = MIN (n_fit, room->gpus / size->gpus);
  return (uint32_t) n_fit;
}

static uint32_t
most_on_one (const SchedWorker *worker, const SchedStage *stage)
{
  const JobStep *step = stage->step;

  if (step->per_worker_max == 0)
    return step->n_tasks;
  return MIN (step->n_tasks, step->per_worker_max - count_of_stage (worker, stage));
}

uint32_t
sched_count_free (const SchedWorker *worker, const SchedStage *stage)
{
  const JobSize room = sched_free_for (worker, stage);

  return count_within (&room, &stage->step->size, most_on_one (worker, stage));
}

uint32_t
sched_count_empty (const SchedWorker *worker, const SchedStage *stage)
{
  const JobStep *step = stage->step;
  g_autoptr (GPtrArray) none = g_ptr_array_new ();
  const SchedWorker empty = { .sched = worker->sched, .info = worker->info, .tasks = none };

  if (!may_run (&empty, stage) || (step->is_best_effort && worker->info->capacity.cpu_m <= 0))
    return 0;
  uint32_t count = sched_count_free (&empty, stage);
  if (step->is_gang)
    return step->is_best_effort
               ? count
               : count_within (&empty.info->capacity, &step->size, most_on_one (&empty, stage));
  /* Alone, a task starts there if it does not wait for others: see SCHED_STARVED_MS. */
  if (count == 0 && has_memory (&empty, step, (JobSize){ 0 }))
    count = admit_starved (&empty, step) == SCHED_WAIT_NONE;
  return count;
}

gboolean
sched_fits_instead (SchedWorker *worker, const SchedTask *task, const SchedTask *running)
{
  const JobStep *step = task->stage->step;
  JobSize freed = running->stage->step->size;

  return may_run (worker, task->stage) && !sched_is_guarded (worker, task)
         && has_memory (worker, step, freed) && has_best_effort_processors (worker, step, freed)
         && sched_tails_headroom_instead (worker, task, running) >= HEADROOM_MIN;
}

static SchedWaitKind
kind_of (const JobStep *step)
{
  if (step->is_continuous)
    return SCHED_WAIT_SERVING;
  return step->is_best_effort ? SCHED_WAIT_BEST_EFFORT : SCHED_WAIT_RESERVED;
}

void
sched_count_waiting (Sched *sched, const SchedStage *stage)
{
  if (stage->n_waiting > 0)
    sched->waited_ms[kind_of (stage->step)][stage->waits_for] += sched->pass_ms * stage->n_waiting;
}

void
sched_note_waiting (Sched *sched)
{
  static const char *const kinds[SCHED_WAIT_KINDS] = { "reserved", "best_effort", "serving" };

  for (guint kind = 0; kind < SCHED_WAIT_KINDS; kind++)
    {
      g_autoptr (GString) text = g_string_new (NULL);
      int64_t sum_ms = 0;
      for (guint wait = SCHED_WAIT_WORKER; wait < SCHED_WAITS; wait++)
        {
          sum_ms += sched->waited_ms[kind][wait];
          g_string_append_printf (text, " %s_ms=%" G_GINT64_FORMAT, wait_names[wait],
                                  sched->waited_ms[kind][wait]);
        }
      if (sum_ms > 0)
        sched_note (sched, "waited", "-", "kind=%s%s", kinds[kind], text->str);
    }
  memset (sched->waited_ms, 0, sizeof sched->waited_ms);
}
