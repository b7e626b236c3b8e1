/*
 * Tails of serving tasks beside tasks that fill. A serving task's tail, in percent of its target,
 * is modelled as a base of its own and an increase for each core of each image that fills beside
 * it. The increases are learned from what workers report, by normalized least mean squares.
 */
#include "batch/sched_tables.h"

/** Increase by a core of an image that was never seen beside a serving one, in percent. */
#define FIRST_INCREASE 5.0
#define INCREASE_MAX 80.0
/** Share of an error that corrects the base, and the increases. */
#define BASE_RATE 0.15
#define INCREASE_RATE 0.25
/** A base without anything beside it follows the tail at this rate. */
#define ALONE_RATE 0.4
/** An increase up to this does not count as one, in percent of the target. */
#define HARMLESS_PERCENT 2.0
/** Larger tails come from a worker in trouble, not from its neighbours. */
#define TAIL_PERCENT_MAX 600
/** A task's share in the tail shows in reports this long after its start or its pacing. */
#define LAG_MS 500
#define MILLI 1000.0

static const char *
image_of (const SchedTask *task)
{
  const char *image = task->part->step->image;

  return image != NULL ? image : "";
}

static double *
increase_of (Sched *sched, const SchedTask *serving, const SchedTask *fill)
{
  GHashTable *row = g_hash_table_lookup (sched->increases, image_of (serving));

  if (row == NULL)
    {
      row = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
      g_hash_table_insert (sched->increases, g_strdup (image_of (serving)), row);
    }
  double *increase = g_hash_table_lookup (row, image_of (fill));
  if (increase == NULL)
    {
      increase = g_new (double, 1);
      *increase = FIRST_INCREASE;
      g_hash_table_insert (row, g_strdup (image_of (fill)), increase);
    }
  return increase;
}

gboolean
sched_is_serving (const SchedTask *task)
{
  return task->part->step->lasts && task->part->step->tail_target_ms > 0;
}

static double
cores_at (const SchedTask *fill, uint32_t pace)
{
  return (double) fill->part->step->size.cpu_m * pace / MILLI / 100.0;
}

/* Whether reports show the task's present pace already. */
static gboolean
shows (const Sched *sched, const SchedTask *fill)
{
  return !fill->is_starting && sched->now_us - fill->placed_us >= LAG_MS * 1000
         && sched->now_us - fill->pace_us >= LAG_MS * 1000;
}

int64_t
sched_tail_percent (const SchedTask *serving)
{
  if (serving->percent < 100 || serving->figure <= 0)
    return 0;
  return serving->figure * 100 / serving->part->step->tail_target_ms;
}

static void
learn_from (Sched *sched, const SchedWorker *worker, SchedTask *serving)
{
  double tail = (double) sched_tail_percent (serving);
  double expected = serving->base_tail;
  double norm = 1.0;

  if (tail <= 0 || tail > TAIL_PERCENT_MAX)
    return;
  if (serving->base_tail <= 0)
    {
      serving->base_tail = tail;
      return;
    }
  for (guint i = 0; i < worker->tasks->len; i++)
    {
      const SchedTask *fill = g_ptr_array_index (worker->tasks, i);
      if (!fill->part->step->fills)
        continue;
      if (!shows (sched, fill))
        return;
      double cores = cores_at (fill, fill->pace);
      expected += *increase_of (sched, serving, fill) * cores;
      norm += cores * cores;
    }
  double error = tail - expected;
  if (worker->fill_cpu_m == 0)
    {
      serving->base_tail += ALONE_RATE * error;
      return;
    }
  serving->base_tail = MAX (serving->base_tail + BASE_RATE * error, 1.0);
  for (guint i = 0; i < worker->tasks->len; i++)
    {
      const SchedTask *fill = g_ptr_array_index (worker->tasks, i);
      if (!fill->part->step->fills)
        continue;
      double *increase = increase_of (sched, serving, fill);
      double step = INCREASE_RATE * error * cores_at (fill, fill->pace) / norm;
      *increase = CLAMP (*increase + step, 0.0, INCREASE_MAX);
    }
}

void
sched_tails_learn (Sched *sched, const SchedWorker *worker)
{
  if (worker->n_serving == 0)
    return;
  for (guint i = 0; i < worker->tasks->len; i++)
    {
      SchedTask *task = g_ptr_array_index (worker->tasks, i);
      if (sched_is_serving (task))
        learn_from (sched, worker, task);
    }
}

double
sched_tail_share (Sched *sched, const SchedTask *serving, const SchedTask *fill)
{
  return *increase_of (sched, serving, fill) * cores_at (fill, fill->pace);
}

/* Of one serving task: what is reported, and what has begun beside it since. */
static double
present_tail (Sched *sched, const SchedWorker *worker, const SchedTask *serving)
{
  double tail = MAX ((double) sched_tail_percent (serving), serving->base_tail);

  for (guint i = 0; i < worker->tasks->len; i++)
    {
      const SchedTask *fill = g_ptr_array_index (worker->tasks, i);
      if (fill->part->step->fills && !shows (sched, fill))
        tail += sched_tail_share (sched, serving, fill);
    }
  return tail;
}

double
sched_tails_expected (Sched *sched, const SchedWorker *worker, const SchedTask *added)
{
  double worst = 0;

  for (guint i = 0; i < worker->tasks->len && worker->n_serving > 0; i++)
    {
      const SchedTask *task = g_ptr_array_index (worker->tasks, i);
      if (!sched_is_serving (task))
        continue;
      double more = *increase_of (sched, task, added) * cores_at (added, 100);
      if (more > HARMLESS_PERCENT)
        worst = MAX (worst, present_tail (sched, worker, task) + more);
    }
  return worst;
}

double
sched_tails_shares (Sched *sched, const SchedWorker *worker, const SchedTask *serving)
{
  double sum = 0;

  for (guint i = 0; i < worker->tasks->len; i++)
    {
      const SchedTask *fill = g_ptr_array_index (worker->tasks, i);
      if (fill->part->step->fills)
        sum += sched_tail_share (sched, serving, fill);
    }
  return sum;
}
